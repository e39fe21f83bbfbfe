#include "ctl.h"

#include <stdio.h>
#include <string.h>

/*
 * Explanation of one kind of log line, which is recognised by its sentence.
 * Each {field} in @format is replaced by the value of that field of the line.
 */
typedef struct explanation {
	const char *sentence;
	const char *format;
} explanation_t;

static const explanation_t explanations[] = {
    {"claim asked.",
	"it may run at most once, so its key was looked up: {state}"},
    {"decided.", "its key is {state}, by the record at offset {offset}"},
    {"ended.", "its claim ended as {outcome}"},
    {"call waits.",
	"queued: no engine could take it at once; the reasons follow in the "
	"line"},
    {"call sent.",
	"routed to {vm} as attempt {try}: first token predicted in "
	"{first_token_ms} ms, the whole answer in {whole_ms} ms, {cached} "
	"prompt tokens expected in its cache, resumed at token {resume_at}"},
    {"call refused.",
	"refused with {code}; the work: {ran}; come back after "
	"{retry_after_ms} ms; because: {why}"},
    {"call done.", "answered by {vm} after {took_ms} ms"},
    {"answer given again.",
	"a call with its key was done before; that answer was given again"},
    {"try failed.",
	"attempt {try} at {vm} failed: {reason}; bytes may "
	"have been sent: {sent}"},
    {"prefill handed over.",
	"its prompt was prefilled on {kv_from}, its answer comes from {vm}"},
    {"request suspected.",
	"{vm} crashed while it ran; crashes with it so far: {crashes}"},
    {"answer does not fit.",
	"{vm} answered something that does not follow what was delivered; "
	"that answer was dropped"},
    {"caller went away.", "its caller closed the connection"},
};

/* Value of a field, or NULL; "why" takes the rest of the line. The caller
 * frees it. */
static char *
field_value(const char *line, const char *name)
{
	char *key = g_strdup_printf(" %s=", name);
	const char *start = strstr(line, key);
	char *value = NULL;

	if (start != NULL) {
		start += strlen(key);
		value = strcmp(name, "why") == 0 ?
		    g_strdup(start) :
		    g_strndup(start, strcspn(start, " "));
	}
	g_free(key);
	return value;
}

/* Print a format, filled in with the field values of a line. */
static void
print_format(const char *format, const char *line)
{
	while (*format != '\0') {
		size_t len = strcspn(format, "{");
		char *name;
		char *value;

		(void)printf("%.*s", (int)len, format);
		format += len;
		if (*format == '\0')
			break;
		len = strcspn(format, "}");
		name = g_strndup(format + 1, len - 1);
		value = field_value(line, name);
		(void)printf("%s", value != NULL ? value : "?");
		g_free(value);
		g_free(name);
		format += len + 1;
	}
	(void)printf("\n");
}

/* The line without its "<priority>" prefix. */
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
	char *call = field_value(line, "call");
	bool found = call != NULL && strcmp(call, id) == 0;

	g_free(call);
	if (!found)
		return false;
	(void)printf("%u. ", number);
	for (size_t i = 0; i < G_N_ELEMENTS(explanations); i++) {
		if (strstr(line, explanations[i].sentence) == NULL)
			continue;
		print_format(explanations[i].format, line);
		(void)printf("   ");
		break;
	}
	(void)printf("%s\n", skip_priority(line));
	return true;
}

/* Explain the lines of one file. @number lines were explained before; returns
 * the new total. */
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
