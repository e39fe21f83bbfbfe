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
text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text != NULL ? text : "";
}

/* Tokens: the index says whether one is missing or came twice. */
static bool
take_tokens(load_parser_t *parser, const json_t *event, const char *text)
{
	json_int_t first = json_integer_value(json_object_get(event, "i"));

	/* An entry may join tokens to one event; only the start is told. */
	if (parser->finished || first < (json_int_t)parser->next ||
	    (parser->side == LOAD_ENGINE && first != (json_int_t)parser->next))
		parser->broken = true;
	parser->next = (uint32_t)first + 1;
	parser->events++;
	g_string_append(parser->text, text);
	return true;
}

static bool
take_entry_event(load_parser_t *parser, const json_t *event)
{
	const json_t *usage;

	if (json_object_get(event, "error") != NULL) {
		(void)g_strlcpy(parser->code,
		    text_of(json_object_get(event, "error"), "code"),
		    sizeof(parser->code));
		parser->broken = true;
		return false;
	}
	if (json_object_get(event, "i") != NULL)
		return take_tokens(parser, event, text_of(event, "text"));
	usage = json_object_get(event, "usage");
	if (usage == NULL)
		return false;
	parser->tokens = (uint32_t)json_integer_value(
	    json_object_get(usage, "output_tokens"));
	return false;
}

static bool
take_engine_event(load_parser_t *parser, const json_t *event)
{
	if (json_object_get(event, "end") == NULL)
		return take_tokens(parser, event, text_of(event, "t"));
	parser->tokens =
	    (uint32_t)json_integer_value(json_object_get(event, "output"));
	parser->finished = true;
	return false;
}

/* Return: whether the line was an event of tokens. */
static bool
take_line(load_parser_t *parser, const char *line)
{
	json_t *event;
	bool tokens;

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
		parser->broken = true;
		return false;
	}
	tokens = parser->side == LOAD_ENTRY ? take_entry_event(parser, event) :
					      take_engine_event(parser, event);
	json_decref(event);
	return tokens;
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
		events += take_line(parser, parser->line->str);
		g_string_truncate(parser->line, 0);
		data += part + 1;
		len -= part + 1;
	}
	return events;
}
