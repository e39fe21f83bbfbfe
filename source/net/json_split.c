#include "net/json_split.h"

#include <stdbool.h>
#include <string.h>

typedef struct scan {
	const char *at;
	const char *end;
} scan_t;

static void
skip_space(scan_t *scan)
{
	while (scan->at < scan->end && g_ascii_isspace(*scan->at))
		scan->at++;
}

/* Skips one character, after space. */
static bool
skip_char(scan_t *scan, char c)
{
	skip_space(scan);
	if (scan->at == scan->end || *scan->at != c)
		return false;
	scan->at++;
	return true;
}

static bool
skip_string(scan_t *scan)
{
	if (!skip_char(scan, '"'))
		return false;
	while (scan->at < scan->end && *scan->at != '"') {
		if (*scan->at == '\\' && scan->end - scan->at > 1)
			scan->at++;
		scan->at++;
	}
	if (scan->at == scan->end)
		return false;
	scan->at++;
	return true;
}

/* Skips up to the comma or bracket after a value. */
static bool
skip_value(scan_t *scan)
{
	const char *start = scan->at;
	size_t depth = 0;

	while (scan->at < scan->end) {
		char c = *scan->at;
		bool opens = c == '[' || c == '{';
		bool closes = c == ']' || c == '}';

		if (depth == 0 && (closes || c == ','))
			return scan->at > start;
		if (c == '"') {
			if (!skip_string(scan))
				return false;
			continue;
		}
		depth += opens;
		depth -= closes;
		scan->at++;
	}
	return false;
}

static bool
split(scan_t *scan, GArray *elements)
{
	if (!skip_char(scan, '['))
		return false;
	if (skip_char(scan, ']'))
		return true;
	do {
		json_text_t element;

		skip_space(scan);
		element.start = scan->at;
		if (!skip_value(scan))
			return false;
		element.len = (size_t)(scan->at - element.start);
		g_array_append_val(elements, element);
	} while (skip_char(scan, ','));
	return skip_char(scan, ']');
}

/* Skips a member of the object; collects the elements if it is the list. */
static bool
take_member(scan_t *scan, const char *name, GArray *elements, bool *found)
{
	const char *start;
	size_t len;

	skip_space(scan);
	start = scan->at;
	if (!skip_string(scan))
		return false;
	/* Without the quotes. */
	len = (size_t)(scan->at - start) - 2;
	if (!skip_char(scan, ':'))
		return false;
	if (*found || len != strlen(name) || memcmp(start + 1, name, len) != 0)
		return skip_value(scan);
	*found = true;
	return split(scan, elements);
}

GArray *
json_split_list(const char *text, size_t len, const char *name)
{
	GArray *elements = g_array_new(FALSE, FALSE, sizeof(json_text_t));
	scan_t scan = {text, text + len};
	bool found = false;
	bool valid = skip_char(&scan, '{');

	if (valid && !skip_char(&scan, '}')) {
		do
			valid = take_member(&scan, name, elements, &found);
		while (valid && skip_char(&scan, ','));
		valid = valid && skip_char(&scan, '}');
	}
	skip_space(&scan);
	if (valid && found && scan.at == scan.end)
		return elements;
	g_array_unref(elements);
	return NULL;
}
