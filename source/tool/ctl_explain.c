#include "ctl.h"

#include <stdio.h>
#include <string.h>

/*
 * What a log line says of a request: its sentence, and words in which
 * {field} stands for the value of a field of the line.
 */
typedef struct meaning {
	const char *sentence;
	const char *words;
} meaning_t;

static const meaning_t meanings[] = {
    {"claim asked.",
	"it may run at most once, so its key was looked up: {state}"},
    {"decided.", "its key is {state}, by the record at offset {offset}"},
    {"ended.", "its claim ended as {outcome}"},
    {"call waits.",
	"queued: no engine could take it at once; the reasons follow in the "
	"line"},
    {"call sent.",
	"routed to {vm} as try {try}: first token predicted in "
	"{first_token_ms} ms, the whole answer in {whole_ms} ms, {cached} "
	"prompt tokens believed cached there, resumed at token {resume_at}"},
    {"call refused.",
	"refused with {code}; the work: {ran}; come back after "
	"{retry_after_ms} ms; because: {why}"},
    {"call done.", "answered by {vm} after {took_ms} ms"},
    {"answer given again.",
	"a call with its key was done before; that answer was given again"},
    {"try failed.",
	"try {try} at {vm} failed: {reason}; bytes may have left: {sent}"},
    {"prefill handed over.",
	"its prompt was prefilled on {kv_from}, its answer comes from {vm}"},
    {"request suspected.",
	"{vm} crashed while it ran; crashes with it so far: {crashes}"},
    {"answer does not fit.",
	"{vm} answered something that does not follow what was delivered; "
	"that answer was dropped"},
    {"caller went away.", "its caller hung up"},
};

/* Value of a field; "why" takes the rest of the line. The caller frees it. */
static char *
field_of(const char *line, const char *name)
{
	char *key = g_strdup_printf(" %s=", name);
	const char *at = strstr(line, key);
	char *value = NULL;

	if (at != NULL) {
		at += strlen(key);
		value = strcmp(name, "why") == 0 ?
		    g_strdup(at) :
		    g_strndup(at, strcspn(at, " "));
	}
	g_free(key);
	return value;
}

/* Print a meaning's words with the line's values. */
static void
print_words(const char *words, const char *line)
{
	while (*words != '\0') {
		size_t len = strcspn(words, "{");
		char *name;
		char *value;

		(void)printf("%.*s", (int)len, words);
		words += len;
		if (*words == '\0')
			break;
		len = strcspn(words, "}");
		name = g_strndup(words + 1, len - 1);
		value = field_of(line, name);
		(void)printf("%s", value != NULL ? value : "?");
		g_free(value);
		g_free(name);
		words += len + 1;
	}
	(void)printf("\n");
}

/* The line without its priority. */
static const char *
skip_priority(const char *line)
{
	const char *end;

	if (*line != '<')
		return line;
	end = strchr(line, '>');
	return end != NULL ? end + 1 : line;
}

static bool
explain_line(const char *id, const char *line, unsigned int number)
{
	char *call = field_of(line, "call");
	bool found = call != NULL && strcmp(call, id) == 0;

	g_free(call);
	if (!found)
		return false;
	(void)printf("%u. ", number);
	for (size_t i = 0; i < G_N_ELEMENTS(meanings); i++) {
		if (strstr(line, meanings[i].sentence) == NULL)
			continue;
		print_words(meanings[i].words, line);
		(void)printf("   ");
		break;
	}
	(void)printf("%s\n", skip_priority(line));
	return true;
}

/* Explain the lines of one file; returns how many concern the request. */
static unsigned int
explain_file(const char *id, FILE *file, unsigned int number)
{
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, file) >= 0) {
		g_strchomp(line);
		if (explain_line(id, line, number + 1))
			number++;
	}
	g_free(line);
	return number;
}

int
ctl_explain(const char *id, char **paths, int count)
{
	unsigned int found = 0;

	if (count == 0)
		found = explain_file(id, stdin, 0);
	for (int i = 0; i < count; i++) {
		FILE *file = fopen(paths[i], "r");

		if (file == NULL) {
			(void)fprintf(
			    stderr, "dff-ctl: cannot read %s\n", paths[i]);
			return CTL_USAGE;
		}
		found = explain_file(id, file, found);
		(void)fclose(file);
	}
	if (found == 0) {
		(void)fprintf(stderr,
		    "dff-ctl: no line concerns call %s; the entry's log at "
		    "level info has them\n",
		    id);
		return CTL_NOT_FOUND;
	}
	return CTL_OK;
}
