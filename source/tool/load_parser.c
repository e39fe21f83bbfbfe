#include <jansson.h>
#include <string.h>

#include "load.h"

void
load_parser_init(load_parser_t *parser, load_side_t side)
{
	memset(parser, 0, sizeof(*parser));
	parser->side = side;
	parser->line = g_string_new(NULL);
	parser->text = g_string_new(NULL);
}

void
load_parser_clear(load_parser_t *parser)
{
	g_string_free(parser->line, TRUE);
	g_string_free(parser->text, TRUE);
}

static const char *
get_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text != NULL ? text : "";
}

/* Add a token event. Its index shows missing and repeated tokens. */
static bool
add_tokens(load_parser_t *parser, const json_t *event, const char *text)
{
	json_int_t first = json_integer_value(json_object_get(event, "i"));

	/* An entry may join several tokens to one event, which has only the
	 * index of the first. */
	if (parser->finished || first < (json_int_t)parser->next_index ||
	    (parser->side == LOAD_ENGINE &&
		first != (json_int_t)parser->next_index))
		parser->invalid = true;
	parser->next_index = (uint32_t)first + 1;
	parser->events++;
	g_string_append(parser->text, text);
	return true;
}

static bool
parse_entry_event(load_parser_t *parser, const json_t *event)
{
	const json_t *usage;

	if (json_object_get(event, "error") != NULL) {
		(void)g_strlcpy(parser->code,
		    get_string(json_object_get(event, "error"), "code"),
		    sizeof(parser->code));
		parser->invalid = true;
		return false;
	}
	if (json_object_get(event, "i") != NULL)
		return add_tokens(parser, event, get_string(event, "text"));
	usage = json_object_get(event, "usage");
	if (usage == NULL)
		return false;
	parser->output_tokens = (uint32_t)json_integer_value(
	    json_object_get(usage, "output_tokens"));
	return false;
}

static bool
parse_engine_event(load_parser_t *parser, const json_t *event)
{
	if (json_object_get(event, "end") == NULL)
		return add_tokens(parser, event, get_string(event, "t"));
	parser->output_tokens =
	    (uint32_t)json_integer_value(json_object_get(event, "output"));
	parser->finished = true;
	return false;
}

/* Return: true if the line was a token event. */
static bool
parse_line(load_parser_t *parser, const char *line)
{
	json_t *event;
	bool has_tokens;

	if (parser->side == LOAD_ENTRY) {
		if (!g_str_has_prefix(line, "data: "))
			return false;
		line += strlen("data: ");
		if (strcmp(line, "[DONE]") == 0) {
			parser->finished = true;
			return false;
		}
	}
	if (*line == '\0')
		return false;
	event = json_loads(line, 0, NULL);
	if (event == NULL) {
		parser->invalid = true;
		return false;
	}
	has_tokens = parser->side == LOAD_ENTRY ?
	    parse_entry_event(parser, event) :
	    parse_engine_event(parser, event);
	json_decref(event);
	return has_tokens;
}

uint32_t
load_parser_feed(load_parser_t *parser, const char *data, size_t len)
{
	uint32_t events = 0;

	while (len > 0) {
		const char *end = memchr(data, '\n', len);
		size_t part = end != NULL ? (size_t)(end - data) : len;

		g_string_append_len(parser->line, data, (gssize)part);
		if (end == NULL)
			return events;
		g_strchomp(parser->line->str);
		events += parse_line(parser, parser->line->str);
		g_string_truncate(parser->line, 0);
		data += part + 1;
		len -= part + 1;
	}
	return events;
}
