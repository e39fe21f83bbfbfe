#include "net/answer.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define JSON_TYPE "application/json"
#define DONE_LINE "data: [DONE]\n\n"

static const char *
finish_name(dff_finish_t finish)
{
	return finish == DFF_FINISH_STOP ? "stop" : "length";
}

/* A JSON string; bytes that are not valid UTF-8 are replaced. */
static json_t *
make_text(const char *text, size_t len)
{
	json_t *value = json_stringn(text, len);
	char *valid;

	if (value != NULL)
		return value;
	valid = g_utf8_make_valid(text, (gssize)len);
	value = json_string(valid);
	g_free(valid);
	return value;
}

static json_t *
make_usage(const dff_fx_call_end_t *end)
{
	return json_pack("{s:I,s:I,s:I}", "prompt_tokens",
	    (json_int_t)end->prompt_tokens, "cached_tokens",
	    (json_int_t)end->cached_tokens, "output_tokens",
	    (json_int_t)end->output_tokens);
}

/* {"error": {...}}; the caller releases it. */
static json_t *
make_error(const char *code, dff_execution_t execution, dff_time_t retry_after,
    const char *text)
{
	json_t *error = json_pack("{s:s,s:s,s:s}", "code", code, "ran",
	    dff_execution_name(execution), "message", text);

	if (retry_after > 0)
		json_object_set_new(error, "retry_after_ms",
		    json_integer((retry_after + DFF_MSEC - 1) / DFF_MSEC));
	return json_pack("{s:o}", "error", error);
}

static void
write_event(dff_httpd_req_t *req, json_t *object, const char *more)
{
	char *text = json_dumps(object, JSON_COMPACT);
	char *event = g_strdup_printf("data: %s\n\n%s", text, more);

	dff_httpd_write(req, event, strlen(event));
	g_free(event);
	free(text);
	json_decref(object);
}

static void
answer_object(dff_httpd_req_t *req, int status, json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT);

	dff_httpd_answer(req, status, JSON_TYPE, text, strlen(text));
	free(text);
	json_decref(object);
}

void
dff_answer_error(dff_httpd_req_t *req, int status, const char *code,
    dff_execution_t execution, dff_time_t retry_after, const char *text)
{
	char seconds[24];

	if (retry_after > 0) {
		(void)snprintf(seconds, sizeof(seconds), "%" PRId64,
		    (retry_after + DFF_SEC - 1) / DFF_SEC);
		dff_httpd_add_header(req, "retry-after", seconds);
	}
	answer_object(
	    req, status, make_error(code, execution, retry_after, text));
}

void
dff_answer_completion(dff_httpd_req_t *req, const char *entry,
    const GString *text, const dff_fx_call_end_t *end)
{
	json_t *object = json_object();

	json_object_set_new(object, "entry", json_string(entry));
	json_object_set_new(object, "text", make_text(text->str, text->len));
	json_object_set_new(
	    object, "finish", json_string(finish_name(end->finish)));
	json_object_set_new(object, "usage", make_usage(end));
	answer_object(req, 200, object);
}

void
dff_answer_tokens(dff_httpd_req_t *req, const dff_fx_call_tokens_t *tokens)
{
	json_t *object = json_object();

	json_object_set_new(object, "i", json_integer(tokens->first));
	json_object_set_new(
	    object, "text", make_text(tokens->text, tokens->len));
	write_event(req, object, "");
}

void
dff_answer_stream_end(dff_httpd_req_t *req, const dff_fx_call_end_t *end)
{
	write_event(req,
	    json_pack("{s:s,s:o}", "finish", finish_name(end->finish), "usage",
		make_usage(end)),
	    DONE_LINE);
	dff_httpd_end(req);
}

void
dff_answer_stream_error(
    dff_httpd_req_t *req, const dff_fx_call_refuse_t *refuse)
{
	write_event(req,
	    make_error(refuse->code, refuse->execution, refuse->retry_after,
		refuse->text),
	    "");
	dff_httpd_end(req);
}
