#include "net/h1_head.h"

#include <string.h>
#include <strings.h>

/* Size of a read buffer in bytes. */
#define READ_MAX 16384

void
h1_head_init(dff_h1_head_t *head)
{
	memset(head, 0, sizeof(*head));
	head->fields = g_array_new(FALSE, FALSE, sizeof(dff_h1_field_t));
}

static void
clear_fields(dff_h1_head_t *head)
{
	for (guint i = 0; i < head->fields->len; i++) {
		dff_h1_field_t *field =
		    &g_array_index(head->fields, dff_h1_field_t, i);

		g_free(field->name);
		g_free(field->value);
	}
	g_array_set_size(head->fields, 0);
}

void
h1_head_clear(dff_h1_head_t *head)
{
	if (head->fields == NULL)
		return;
	clear_fields(head);
	g_array_free(head->fields, TRUE);
	g_free(head->method);
	g_free(head->target);
	memset(head, 0, sizeof(*head));
}

void
h1_reader_init(h1_reader_t *reader, enum http_parser_type type)
{
	http_parser_init(&reader->parser, type);
	h1_head_init(&reader->head);
	reader->head_bytes = 0;
	reader->in_value = false;
}

void
h1_reader_clear(h1_reader_t *reader)
{
	h1_head_clear(&reader->head);
}

void
h1_reader_reset(h1_reader_t *reader)
{
	clear_fields(&reader->head);
	g_clear_pointer(&reader->head.method, g_free);
	g_clear_pointer(&reader->head.target, g_free);
	reader->head.status = 0;
	reader->head_bytes = 0;
	reader->in_value = false;
}

/* Append @len bytes to a string that may be NULL. */
static void
append(char **text, const char *at, size_t len)
{
	size_t old_len = *text != NULL ? strlen(*text) : 0;

	*text = g_realloc(*text, old_len + len + 1);
	memcpy(*text + old_len, at, len);
	(*text)[old_len + len] = '\0';
}

int
h1_reader_url(http_parser *parser, const char *at, size_t len)
{
	h1_reader_t *reader = (h1_reader_t *)parser;
	reader->head_bytes += len;
	append(&reader->head.target, at, len);
	return 0;
}

int
h1_reader_name(http_parser *parser, const char *at, size_t len)
{
	h1_reader_t *reader = (h1_reader_t *)parser;
	GArray *fields = reader->head.fields;
	dff_h1_field_t field = {0};

	if (reader->in_value || fields->len == 0) {
		field.value = g_strdup("");
		g_array_append_val(fields, field);
		reader->in_value = false;
	}
	reader->head_bytes += len;
	append(&g_array_index(fields, dff_h1_field_t, fields->len - 1).name, at,
	    len);
	return 0;
}

int
h1_reader_value(http_parser *parser, const char *at, size_t len)
{
	h1_reader_t *reader = (h1_reader_t *)parser;
	GArray *fields = reader->head.fields;

	reader->in_value = true;
	reader->head_bytes += len;
	append(&g_array_index(fields, dff_h1_field_t, fields->len - 1).value,
	    at, len);
	return 0;
}

void
h1_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(g_malloc(READ_MAX), READ_MAX);
}

const char *
dff_h1_field(const dff_h1_head_t *head, const char *name)
{
	for (guint i = 0; i < head->fields->len; i++) {
		const dff_h1_field_t *field =
		    &g_array_index(head->fields, dff_h1_field_t, i);

		if (strcasecmp(field->name, name) == 0)
			return field->value;
	}
	return NULL;
}

/* Whether a comma-separated list contains @word, in any case. */
static bool
list_contains(const char *list, const char *word)
{
	char **words = g_strsplit(list, ",", -1);
	bool found = false;

	for (size_t i = 0; words[i] != NULL && !found; i++)
		found = strcasecmp(g_strstrip(words[i]), word) == 0;
	g_strfreev(words);
	return found;
}

bool
dff_h1_is_hop_by_hop(const dff_h1_head_t *head, const char *name)
{
	static const char *const names[] = {"connection", "keep-alive",
	    "proxy-connection", "proxy-authenticate", "proxy-authorization",
	    "te", "trailer", "transfer-encoding", "upgrade", "content-length",
	    "expect"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcasecmp(name, names[i]) == 0)
			return true;
	}
	for (guint i = 0; i < head->fields->len; i++) {
		const dff_h1_field_t *field =
		    &g_array_index(head->fields, dff_h1_field_t, i);

		if (strcasecmp(field->name, "connection") == 0 &&
		    list_contains(field->value, name))
			return true;
	}
	return false;
}

bool
h1_status_has_no_body(int status)
{
	return status == 204 || status == 304 ||
	    (status >= 100 && status < 200);
}

const char *
dff_h1_reason(int status)
{
	const char *reason = http_status_str((enum http_status)status);

	return reason[0] != '<' ? reason : "Status";
}
