#include "catalogue/draft.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bounds of settings, in the unit of the setting. */
#define CLASS_MS_MAX	    3600000 /* an hour */
#define ROLE_CHANGE_MS_MAX  600000 /* ten minutes */
#define RETRY_WINDOW_MS_MIN 1000
#define RETRY_WINDOW_MS_MAX 86400000 /* a day */
#define CALLS_MAX	    1000000
#define RATE_MAX	    1000000
#define TOKENS_MAX	    10000000
#define PRICE_MAX	    100000 /* engine-seconds */
#define WEIGHT_MIN	    0.01
#define WEIGHT_MAX	    1000
#define PRIORITY_MAX	    9
#define VERSION_MAX	    1000000
#define SECRET_SHA256_SIZE  64

/* Type of a value; each comment gives the C type at the field's offset. */
typedef enum field_kind {
	FIELD_NAME, /* char[DFF_NAME_MAX] */
	FIELD_PATH, /* char[128] */
	FIELD_HEX, /* char[65] */
	FIELD_COUNT, /* uint32_t */
	FIELD_REAL, /* double */
	FIELD_MSEC, /* dff_time_t */
	FIELD_BOOL, /* bool: false for the first choice, true for the second */
	FIELD_VM_KIND, /* dff_vm_kind_t */
	FIELD_FENCING, /* dff_fencing_t */
} field_kind_t;

/*
 * One key of a section. A number has bounds, a choice has its allowed words,
 * separated by "|". A key whose default is NULL must be given; the default ""
 * leaves the field zero.
 */
typedef struct field {
	const char *key;
	field_kind_t kind;
	size_t offset;
	const char *default_text;
	double min;
	double max;
	const char *choices;
} field_t;

static const field_t file_fields[] = {
    {"format", FIELD_COUNT, offsetof(dff_draft_t, format), NULL,
	DFF_CATALOGUE_FORMAT, DFF_CATALOGUE_FORMAT, NULL},
    {NULL, 0, 0, NULL, 0, 0, NULL},
};

static const field_t owner_fields[] = {
    {"secret_sha256", FIELD_HEX, offsetof(dff_owner_t, secret_sha256), NULL, 0,
	0, NULL},
    {"weight", FIELD_REAL, offsetof(dff_owner_t, weight), "1", WEIGHT_MIN,
	WEIGHT_MAX, NULL},
    {"max_running", FIELD_COUNT, offsetof(dff_owner_t, max_running), "0", 0,
	CALLS_MAX, NULL},
    {"rate_per_s", FIELD_REAL, offsetof(dff_owner_t, rate_per_s), "0", 0,
	RATE_MAX, NULL},
    {NULL, 0, 0, NULL, 0, 0, NULL},
};

static const field_t class_fields[] = {
    {"first_token_ms", FIELD_MSEC, offsetof(dff_class_t, first_token), NULL, 1,
	CLASS_MS_MAX, NULL},
    {"token_gap_ms", FIELD_MSEC, offsetof(dff_class_t, token_gap), NULL, 1,
	CLASS_MS_MAX, NULL},
    {"whole_ms", FIELD_MSEC, offsetof(dff_class_t, whole), NULL, 1,
	CLASS_MS_MAX, NULL},
    {"priority", FIELD_COUNT, offsetof(dff_class_t, priority), NULL, 0,
	PRIORITY_MAX, NULL},
    {NULL, 0, 0, NULL, 0, 0, NULL},
};

static const field_t pool_fields[] = {
    {"kind", FIELD_VM_KIND, offsetof(dff_pool_t, kind), NULL, 0, 0,
	"engine|service"},
    {"model", FIELD_NAME, offsetof(dff_pool_t, model), "", 0, 0, NULL},
    {"version", FIELD_COUNT, offsetof(dff_pool_t, version), "0", 0, VERSION_MAX,
	NULL},
    {"adapter", FIELD_NAME, offsetof(dff_pool_t, adapter), "", 0, 0, NULL},
    {"fencing", FIELD_FENCING, offsetof(dff_pool_t, fencing), "ignored", 0, 0,
	"ignored|checked"},
    {"roles", FIELD_BOOL, offsetof(dff_pool_t, roles), "mixed", 0, 0,
	"mixed|any"},
    {"role_change_price", FIELD_REAL, offsetof(dff_pool_t, role_change_price),
	"0", 0, PRICE_MAX, NULL},
    {"role_change_away_ms", FIELD_MSEC, offsetof(dff_pool_t, role_change_away),
	"0", 0, ROLE_CHANGE_MS_MAX, NULL},
    {NULL, 0, 0, NULL, 0, 0, NULL},
};

static const field_t entry_fields[] = {
    {"owner", FIELD_NAME, offsetof(dff_draft_entry_t, owner), NULL, 0, 0, NULL},
    {"class", FIELD_NAME, offsetof(dff_draft_entry_t, cls), NULL, 0, 0, NULL},
    {"pool", FIELD_NAME, offsetof(dff_draft_entry_t, pool), NULL, 0, 0, NULL},
    {"path", FIELD_PATH, offsetof(dff_draft_entry_t, entry.path), "", 0, 0,
	NULL},
    {"may_repeat", FIELD_BOOL, offsetof(dff_draft_entry_t, entry.may_repeat),
	"true", 0, 0, "false|true"},
    {"retry_window_ms", FIELD_MSEC,
	offsetof(dff_draft_entry_t, entry.retry_window), "0",
	RETRY_WINDOW_MS_MIN, RETRY_WINDOW_MS_MAX, NULL},
    {"max_running", FIELD_COUNT, offsetof(dff_draft_entry_t, entry.max_running),
	"0", 0, CALLS_MAX, NULL},
    {"rate_per_s", FIELD_REAL, offsetof(dff_draft_entry_t, entry.rate_per_s),
	"0", 0, RATE_MAX, NULL},
    {"max_prompt_tokens", FIELD_COUNT,
	offsetof(dff_draft_entry_t, entry.max_prompt_tokens), "0", 1,
	TOKENS_MAX, NULL},
    {"max_output_tokens", FIELD_COUNT,
	offsetof(dff_draft_entry_t, entry.max_output_tokens), "0", 1,
	TOKENS_MAX, NULL},
    {NULL, 0, 0, NULL, 0, 0, NULL},
};

/* A section: the first word of its groups' names, its keys, its row layout. */
typedef struct section_rule {
	const char *keyword;
	const field_t *fields;
	size_t row_size;
	size_t name_offset;
} section_rule_t;

static const section_rule_t sections[DFF_SECTION_COUNT] = {
    {"dragonflyfall", file_fields, 0, 0},
    {"owner", owner_fields, sizeof(dff_owner_t), offsetof(dff_owner_t, name)},
    {"class", class_fields, sizeof(dff_class_t), offsetof(dff_class_t, name)},
    {"pool", pool_fields, sizeof(dff_pool_t), offsetof(dff_pool_t, name)},
    {"entry", entry_fields, sizeof(dff_draft_entry_t),
	offsetof(dff_draft_entry_t, entry.name)},
};

/* A value during parsing. */
typedef struct value {
	dff_draft_t *draft;
	const char *group;
	const field_t *field;
	const char *text;
	char *row;
	bool given; /* in the file; bounds do not apply to defaults */
} value_t;

const char *
dff_section_name(dff_section_t section)
{
	return sections[section].keyword;
}

static bool
is_valid_name(const char *text)
{
	if (!g_ascii_isalnum(*text) || strlen(text) >= DFF_NAME_MAX)
		return false;
	for (const char *at = text; *at != '\0'; at++) {
		if (!g_ascii_isalnum(*at) && strchr("._-", *at) == NULL)
			return false;
	}
	return true;
}

static bool
is_valid_path(const char *text)
{
	if (*text != '/' || strlen(text) >= sizeof(((dff_entry_t *)0)->path))
		return false;
	for (const char *at = text; *at != '\0'; at++) {
		if (!g_ascii_isgraph(*at) || strchr("?#\"\\", *at) != NULL)
			return false;
	}
	return true;
}

static bool
is_sha256_hex(const char *text)
{
	return strlen(text) == SECRET_SHA256_SIZE &&
	    strspn(text, "0123456789abcdef") == SECRET_SHA256_SIZE;
}

static void
add_value_problem(const value_t *value, const char *requirement)
{
	dff_problems_add(value->draft->problems,
	    dff_lines_find(
		value->draft->lines, value->group, value->field->key),
	    value->group, value->field->key, "\"%.40s\" is not allowed; %s",
	    value->text, requirement);
}

/*
 * Parse a decimal number within the field's bounds; if invalid, add a problem
 * and return -1.
 */
static double
parse_number(const value_t *value, bool whole)
{
	const field_t *field = value->field;
	char requirement[96];
	char *end;
	double number;

	number = g_ascii_strtod(value->text, &end);
	/* strtod accepts "inf", "0x1f" and " 5", which are not allowed. */
	if (strspn(value->text, whole ? "0123456789" : "0123456789.") ==
		strlen(value->text) &&
	    end != value->text && *end == '\0' &&
	    (!value->given || (number >= field->min && number <= field->max)))
		return number;
	(void)snprintf(requirement, sizeof(requirement),
	    "a %snumber from %g to %.10g is required", whole ? "whole " : "",
	    field->min, field->max);
	add_value_problem(value, requirement);
	return -1;
}

static void
store_text(const value_t *value, bool valid, const char *requirement)
{
	if (!valid) {
		add_value_problem(value, requirement);
		return;
	}
	strcpy(value->row + value->field->offset, value->text);
}

/*
 * Index of the value among the field's choices; if it is none of them, add a
 * problem and return -1.
 */
static int
find_choice(const value_t *value)
{
	char requirement[96];
	char **choices = g_strsplit(value->field->choices, "|", -1);
	int index = -1;

	for (int i = 0; choices[i] != NULL; i++) {
		if (strcmp(choices[i], value->text) == 0)
			index = i;
	}
	g_strfreev(choices);
	if (index >= 0)
		return index;
	(void)snprintf(requirement, sizeof(requirement),
	    "one of %s is required", value->field->choices);
	add_value_problem(value, requirement);
	return -1;
}

static void
store_choice(const value_t *value)
{
	void *target = value->row + value->field->offset;
	int index = find_choice(value);

	if (index < 0)
		return;
	switch (value->field->kind) {
	case FIELD_VM_KIND:
		*(dff_vm_kind_t *)target =
		    index == 0 ? DFF_VM_ENGINE : DFF_VM_SERVICE;
		return;
	case FIELD_FENCING:
		*(dff_fencing_t *)target =
		    index == 0 ? DFF_FENCING_IGNORED : DFF_FENCING_CHECKED;
		return;
	default:
		*(bool *)target = index == 1;
		return;
	}
}

static void
store_number(const value_t *value)
{
	void *target = value->row + value->field->offset;
	double number;

	number = parse_number(value, value->field->kind != FIELD_REAL);
	if (number < 0)
		return;
	if (value->field->kind == FIELD_COUNT)
		*(uint32_t *)target = (uint32_t)number;
	else if (value->field->kind == FIELD_MSEC)
		*(dff_time_t *)target = (dff_time_t)number * DFF_MSEC;
	else
		*(double *)target = number;
}

static void
store_value(const value_t *value)
{
	switch (value->field->kind) {
	case FIELD_NAME:
		store_text(value, is_valid_name(value->text),
		    "a name has at most 63 letters, digits, . _ - and begins "
		    "with a letter or digit");
		return;
	case FIELD_PATH:
		store_text(value, is_valid_path(value->text),
		    "a path begins with /, has at most 127 printable "
		    "characters and no ? # \" or backslash");
		return;
	case FIELD_HEX:
		store_text(value, is_sha256_hex(value->text),
		    "64 lower-case hex digits are required");
		return;
	case FIELD_COUNT:
	case FIELD_REAL:
	case FIELD_MSEC:
		store_number(value);
		return;
	case FIELD_BOOL:
	case FIELD_VM_KIND:
	case FIELD_FENCING:
		store_choice(value);
		return;
	}
}

static void
read_field(
    dff_draft_t *draft, const char *group, const field_t *field, void *row)
{
	value_t value = {
	    .draft = draft, .group = group, .field = field, .row = row};
	char *text;

	if (g_key_file_has_key(draft->file, group, field->key, NULL)) {
		text =
		    g_key_file_get_string(draft->file, group, field->key, NULL);
		value.text = text != NULL ? text : "";
		value.given = true;
		store_value(&value);
		g_free(text);
		return;
	}
	if (field->default_text == NULL) {
		dff_problems_add(draft->problems,
		    dff_lines_find(draft->lines, group, NULL), group,
		    field->key, "this key must be given");
		return;
	}
	if (*field->default_text == '\0')
		return;
	value.text = field->default_text;
	store_value(&value);
}

static bool
is_known_key(const section_rule_t *rule, const char *key)
{
	for (const field_t *field = rule->fields; field->key != NULL; field++) {
		if (strcmp(field->key, key) == 0)
			return true;
	}
	return false;
}

static void
add_unknown_key_problem(dff_draft_t *draft, const char *group,
    const section_rule_t *rule, const char *key)
{
	GString *known = g_string_new(NULL);

	for (const field_t *field = rule->fields; field->key != NULL; field++)
		g_string_append_printf(
		    known, "%s%s", known->len > 0 ? ", " : "", field->key);
	dff_problems_add(draft->problems,
	    dff_lines_find(draft->lines, group, key), group, key,
	    "unknown key; known in this group: %s", known->str);
	g_string_free(known, TRUE);
}

static void
check_unknown_keys(
    dff_draft_t *draft, const char *group, const section_rule_t *rule)
{
	char **keys = g_key_file_get_keys(draft->file, group, NULL, NULL);

	for (size_t i = 0; keys != NULL && keys[i] != NULL; i++) {
		if (!is_known_key(rule, keys[i]))
			add_unknown_key_problem(draft, group, rule, keys[i]);
	}
	g_strfreev(keys);
}

static GArray *
section_rows(dff_draft_t *draft, dff_section_t section)
{
	switch (section) {
	case DFF_SECTION_OWNER:
		return draft->owners;
	case DFF_SECTION_CLASS:
		return draft->classes;
	case DFF_SECTION_POOL:
		return draft->pools;
	case DFF_SECTION_ENTRY:
		return draft->entries;
	default:
		return NULL;
	}
}

static void
read_group(dff_draft_t *draft, const char *group, dff_section_t section,
    const char *name)
{
	const section_rule_t *rule = &sections[section];
	GArray *rows = section_rows(draft, section);
	char *row = (char *)draft;

	check_unknown_keys(draft, group, rule);
	if (rows != NULL) {
		if (!is_valid_name(name)) {
			dff_problems_add(draft->problems,
			    dff_lines_find(draft->lines, group, NULL), group,
			    NULL,
			    "a name has at most 63 letters, digits, . _ - "
			    "and begins with a letter or digit");
			return;
		}
		g_array_set_size(rows, rows->len + 1);
		row = rows->data + (size_t)(rows->len - 1) * rule->row_size;
		strcpy(row + rule->name_offset, name);
	}
	for (const field_t *field = rule->fields; field->key != NULL; field++)
		read_field(draft, group, field, row);
}

/*
 * Section of a group, or DFF_SECTION_COUNT if unknown; @name is set to the text
 * after the group's first word.
 */
static dff_section_t
find_section(const char *group, const char **name)
{
	size_t len = strcspn(group, " ");

	*name = group[len] == ' ' ? group + len + 1 : "";
	for (int i = 0; i < DFF_SECTION_COUNT; i++) {
		if (strlen(sections[i].keyword) != len ||
		    strncmp(sections[i].keyword, group, len) != 0)
			continue;
		if ((i == DFF_SECTION_FILE) == (group[len] == '\0'))
			return (dff_section_t)i;
	}
	return DFF_SECTION_COUNT;
}

static void
read_groups(dff_draft_t *draft)
{
	char **groups = g_key_file_get_groups(draft->file, NULL);
	bool file_seen = false;

	for (size_t i = 0; groups[i] != NULL; i++) {
		const char *name;
		dff_section_t section = find_section(groups[i], &name);

		if (section == DFF_SECTION_COUNT) {
			dff_problems_add(draft->problems,
			    dff_lines_find(draft->lines, groups[i], NULL),
			    groups[i], NULL,
			    "unknown group; known groups: [dragonflyfall], "
			    "[owner NAME], [class NAME], [pool NAME], "
			    "[entry NAME]");
			continue;
		}
		file_seen = file_seen || section == DFF_SECTION_FILE;
		read_group(draft, groups[i], section, name);
	}
	if (!file_seen)
		dff_problems_add(draft->problems, 0, "dragonflyfall", "format",
		    "the file must have a group [dragonflyfall] with format=%d",
		    DFF_CATALOGUE_FORMAT);
	g_strfreev(groups);
}

dff_draft_t *
dff_draft_parse(const char *text, dff_problems_t *problems)
{
	dff_draft_t *draft = g_new0(dff_draft_t, 1);
	GError *error = NULL;

	draft->problems = problems;
	draft->file = g_key_file_new();
	draft->owners = g_array_new(FALSE, TRUE, sizeof(dff_owner_t));
	draft->classes = g_array_new(FALSE, TRUE, sizeof(dff_class_t));
	draft->pools = g_array_new(FALSE, TRUE, sizeof(dff_pool_t));
	draft->entries = g_array_new(FALSE, TRUE, sizeof(dff_draft_entry_t));
	draft->lines = dff_lines_scan(text, problems);
	if (dff_problems_count(problems) > 0)
		return draft;
	if (!g_key_file_load_from_data(
		draft->file, text, strlen(text), G_KEY_FILE_NONE, &error)) {
		dff_problems_add(problems, 0, NULL, NULL, "%s", error->message);
		g_error_free(error);
		return draft;
	}
	read_groups(draft);
	return draft;
}

void
dff_draft_drop(dff_draft_t *draft)
{
	if (draft == NULL)
		return;
	g_key_file_free(draft->file);
	dff_lines_drop(draft->lines);
	g_array_unref(draft->owners);
	g_array_unref(draft->classes);
	g_array_unref(draft->pools);
	g_array_unref(draft->entries);
	g_free(draft);
}

static char *
group_name(dff_section_t section, const char *name)
{
	if (section == DFF_SECTION_FILE)
		return g_strdup(sections[section].keyword);
	return g_strconcat(sections[section].keyword, " ", name, NULL);
}

bool
dff_draft_has(const dff_draft_t *draft, dff_section_t section, const char *name,
    const char *key)
{
	char *group = group_name(section, name);
	bool has = g_key_file_has_key(draft->file, group, key, NULL);

	g_free(group);
	return has;
}

void
dff_draft_problem(dff_draft_t *draft, dff_section_t section, const char *name,
    const char *key, const char *fmt, ...)
{
	char *group = group_name(section, name);
	char *text;
	va_list args;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	dff_problems_add(draft->problems,
	    dff_lines_find(draft->lines, group, key), group, key, "%s", text);
	g_free(text);
	g_free(group);
}
