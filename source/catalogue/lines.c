#include "catalogue/lines.h"

#include <string.h>

#include <glib.h>

struct dff_lines {
	GHashTable *at; /* "group" or "group\nkey" to a line */
};

/* State of one walk. */
typedef struct scan {
	dff_lines_t *lines;
	dff_problems_t *problems;
	char *group; /* NULL before the first */
	bool broken; /* keys of this group would be told for nothing */
	uint32_t line;
} scan_t;

static bool
is_key(const char *text)
{
	if (*text == '\0' || strlen(text) >= DFF_NAME_MAX)
		return false;
	for (const char *at = text; *at != '\0'; at++) {
		if (!g_ascii_islower(*at) && !g_ascii_isdigit(*at) &&
		    *at != '_')
			return false;
	}
	return true;
}

/* A group's name is passed to GKeyFile: printable ASCII, no brackets. */
static bool
is_group(const char *text)
{
	if (*text == '\0')
		return false;
	for (const char *at = text; *at != '\0'; at++) {
		if (!g_ascii_isprint(*at) || *at == '[' || *at == ']')
			return false;
	}
	return true;
}

/* Note where something stands; false if it stands somewhere already. */
static bool
note(scan_t *scan, char *name, const char *key, const char *what)
{
	gpointer before;

	before = g_hash_table_lookup(scan->lines->at, name);
	if (before != NULL) {
		dff_problems_add(scan->problems, scan->line, scan->group, key,
		    "this %s stands on line %u already; each may be given once",
		    what, GPOINTER_TO_UINT(before));
		g_free(name);
		return false;
	}
	g_hash_table_insert(
	    scan->lines->at, name, GUINT_TO_POINTER(scan->line));
	return true;
}

static void
scan_group(scan_t *scan, char *text)
{
	size_t len = strlen(text);

	g_free(scan->group);
	scan->group = g_strdup("");
	scan->broken = true;
	if (text[len - 1] != ']') {
		dff_problems_add(scan->problems, scan->line, NULL, NULL,
		    "a group begins with [ and ends with ] on the same line");
		return;
	}
	text[len - 1] = '\0';
	if (!is_group(text + 1)) {
		dff_problems_add(scan->problems, scan->line, NULL, NULL,
		    "a group's name is printable ASCII without brackets");
		return;
	}
	g_free(scan->group);
	scan->group = g_strdup(text + 1);
	scan->broken = !note(scan, g_strdup(scan->group), NULL, "group");
}

static void
scan_key(scan_t *scan, char *text)
{
	char *equals;

	equals = strchr(text, '=');
	if (equals == NULL) {
		dff_problems_add(scan->problems, scan->line, scan->group, NULL,
		    "a line is [GROUP], KEY=VALUE, # COMMENT or empty");
		return;
	}
	*equals = '\0';
	g_strchomp(text);
	if (!is_key(text)) {
		dff_problems_add(scan->problems, scan->line, scan->group, NULL,
		    "a key has lower-case letters, digits and _ only");
		return;
	}
	if (scan->group == NULL) {
		dff_problems_add(scan->problems, scan->line, NULL, text,
		    "a key stands in a group; none has begun here");
		return;
	}
	if (scan->broken)
		return;
	(void)note(
	    scan, g_strconcat(scan->group, "\n", text, NULL), text, "key");
}

static void
scan_line(scan_t *scan, char *text)
{
	g_strstrip(text);
	switch (*text) {
	case '\0':
	case '#':
		return;
	case '[':
		scan_group(scan, text);
		return;
	default:
		scan_key(scan, text);
		return;
	}
}

dff_lines_t *
dff_lines_scan(const char *text, dff_problems_t *problems)
{
	scan_t scan = {.problems = problems};
	const char *at = text;

	scan.lines = g_new0(dff_lines_t, 1);
	scan.lines->at =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	while (*at != '\0') {
		size_t len = strcspn(at, "\n");
		char *line = g_strndup(at, len);

		scan.line++;
		scan_line(&scan, line);
		g_free(line);
		at += len + (at[len] == '\n');
	}
	g_free(scan.group);
	return scan.lines;
}

void
dff_lines_drop(dff_lines_t *lines)
{
	if (lines == NULL)
		return;
	g_hash_table_unref(lines->at);
	g_free(lines);
}

uint32_t
dff_lines_find(const dff_lines_t *lines, const char *group, const char *key)
{
	gpointer line = NULL;

	if (key != NULL) {
		char *name = g_strconcat(group, "\n", key, NULL);

		line = g_hash_table_lookup(lines->at, name);
		g_free(name);
	}
	if (line == NULL)
		line = g_hash_table_lookup(lines->at, group);
	return GPOINTER_TO_UINT(line);
}
