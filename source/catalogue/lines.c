#include "catalogue/lines.h"

#include <string.h>

#include <glib.h>

struct dff_lines {
	GHashTable *numbers; /* "group" or "group\nkey" to a line number */
};

/* State of a scan. */
typedef struct scan {
	dff_lines_t *lines;
	dff_problems_t *problems;
	char *group; /* NULL before the first group */
	bool group_invalid; /* keys of this group are not recorded */
	uint32_t line;
} scan_t;

static bool
is_valid_key(const char *text)
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

/* GKeyFile requires group names of printable ASCII without brackets. */
static bool
is_valid_group(const char *text)
{
	if (*text == '\0')
		return false;
	for (const char *at = text; *at != '\0'; at++) {
		if (!g_ascii_isprint(*at) || *at == '[' || *at == ']')
			return false;
	}
	return true;
}

/* Record the line of a group or key; false if it is a duplicate. */
static bool
record_line(scan_t *scan, char *name, const char *key, const char *type)
{
	gpointer first_line;

	first_line = g_hash_table_lookup(scan->lines->numbers, name);
	if (first_line != NULL) {
		dff_problems_add(scan->problems, scan->line, scan->group, key,
		    "this %s is a duplicate of line %u; each may be given once",
		    type, GPOINTER_TO_UINT(first_line));
		g_free(name);
		return false;
	}
	g_hash_table_insert(
	    scan->lines->numbers, name, GUINT_TO_POINTER(scan->line));
	return true;
}

static void
scan_group(scan_t *scan, char *text)
{
	size_t len = strlen(text);

	g_free(scan->group);
	scan->group = g_strdup("");
	scan->group_invalid = true;
	if (text[len - 1] != ']') {
		dff_problems_add(scan->problems, scan->line, NULL, NULL,
		    "a group line begins with [ and ends with ]");
		return;
	}
	text[len - 1] = '\0';
	if (!is_valid_group(text + 1)) {
		dff_problems_add(scan->problems, scan->line, NULL, NULL,
		    "a group name must be printable ASCII without brackets");
		return;
	}
	g_free(scan->group);
	scan->group = g_strdup(text + 1);
	scan->group_invalid =
	    !record_line(scan, g_strdup(scan->group), NULL, "group");
}

static void
scan_key(scan_t *scan, char *text)
{
	char *equals;

	equals = strchr(text, '=');
	if (equals == NULL) {
		dff_problems_add(scan->problems, scan->line, scan->group, NULL,
		    "a line must be [GROUP], KEY=VALUE, # COMMENT or empty");
		return;
	}
	*equals = '\0';
	g_strchomp(text);
	if (!is_valid_key(text)) {
		dff_problems_add(scan->problems, scan->line, scan->group, NULL,
		    "a key has at most 63 lower-case letters, digits and _");
		return;
	}
	if (scan->group == NULL) {
		dff_problems_add(scan->problems, scan->line, NULL, text,
		    "a key must be in a group; no group precedes this line");
		return;
	}
	if (scan->group_invalid)
		return;
	(void)record_line(
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
	scan.lines->numbers =
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
	g_hash_table_unref(lines->numbers);
	g_free(lines);
}

uint32_t
dff_lines_find(const dff_lines_t *lines, const char *group, const char *key)
{
	gpointer line = NULL;

	if (key != NULL) {
		char *name = g_strconcat(group, "\n", key, NULL);

		line = g_hash_table_lookup(lines->numbers, name);
		g_free(name);
	}
	if (line == NULL)
		line = g_hash_table_lookup(lines->numbers, group);
	return GPOINTER_TO_UINT(line);
}
