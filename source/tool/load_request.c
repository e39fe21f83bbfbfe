#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "dragonflyfall/model_engine.h"
#include "load.h"

/* Delay of a retry where the refusal names none. */
#define DEFAULT_RETRY_TIME DFF_SEC

/* One request with all its attempts. */
typedef struct request {
	load_t *load;
	const load_group_t *group;
	load_draw_t draw;
	load_result_t result;
	char *prompt;
	load_parser_t parser;
	GByteArray *body; /* of unstreamed answers and of errors */
	dff_time_t last_tokens; /* time of the last token event */
	uv_timer_t retry_timer;
} request_t;

const char *
load_side_name(load_side_t side)
{
	return side == LOAD_ENTRY ? "entry" : "engine";
}

static void send_request(request_t *req);

/* ---- end of an attempt ---- */

static void
on_retry_closed(uv_handle_t *handle)
{
	request_t *req = handle->data;

	load_parser_clear(&req->parser);
	g_byte_array_unref(req->body);
	g_free(req->prompt);
	g_free(req);
}

/* Compare with the expected text: the stand-in derives each token from model,
 * prompt and index. */
static bool
text_matches(const request_t *req, const char *text, uint32_t tokens)
{
	GString *expected = g_string_new(NULL);
	char token[DFF_TOKEN_TEXT_MAX];
	uint64_t hash;
	bool matches;

	if (req->group->model[0] == '\0')
		return true;
	hash = dff_model_prompt_hash(
	    req->group->model, req->prompt, strlen(req->prompt));
	for (uint32_t i = 0; i < tokens; i++) {
		(void)dff_model_token(hash, i, token);
		g_string_append(expected, token);
	}
	matches = strcmp(expected->str, text) == 0;
	g_string_free(expected, TRUE);
	return matches;
}

static load_outcome_t
classify_stream(request_t *req)
{
	const load_parser_t *parser = &req->parser;

	req->result.tokens = parser->output_tokens;
	if (!parser->finished || parser->invalid) {
		(void)g_strlcpy(
		    req->result.code, parser->code, sizeof(req->result.code));
		return LOAD_BROKEN;
	}
	return text_matches(req, parser->text->str, parser->output_tokens) ?
	    LOAD_DONE :
	    LOAD_WRONG;
}

static load_outcome_t
classify_unstreamed(request_t *req)
{
	json_t *answer;
	const json_t *usage;
	const char *text;
	load_outcome_t outcome = LOAD_BROKEN;

	if (req->group->service)
		return LOAD_DONE;
	answer =
	    json_loadb((const char *)req->body->data, req->body->len, 0, NULL);
	text = json_string_value(json_object_get(answer, "text"));
	usage = json_object_get(answer, "usage");
	if (text != NULL && usage != NULL) {
		req->result.tokens = (uint32_t)json_integer_value(
		    json_object_get(usage, "output_tokens"));
		outcome = text_matches(req, text, req->result.tokens) ?
		    LOAD_DONE :
		    LOAD_WRONG;
	}
	json_decref(answer);
	return outcome;
}

/* Read the code of an error, whether the request ran and the retry delay. */
static load_outcome_t
classify_error(request_t *req, dff_time_t *retry_after)
{
	json_t *answer =
	    json_loadb((const char *)req->body->data, req->body->len, 0, NULL);
	const json_t *error = json_object_get(answer, "error");
	const json_t *details = json_is_object(error) ? error : answer;
	const char *code = json_is_object(error) ?
	    json_string_value(json_object_get(error, "code")) :
	    json_string_value(error);
	const char *ran_status =
	    json_string_value(json_object_get(details, "ran"));
	bool not_run;

	(void)g_strlcpy(req->result.code, code != NULL ? code : "?",
	    sizeof(req->result.code));
	*retry_after = (dff_time_t)json_integer_value(
			   json_object_get(details, "retry_after_ms")) *
	    DFF_MSEC;
	/* A request that an engine or a stand-in refuses has not run. */
	not_run = ran_status != NULL ? strcmp(ran_status, "not_run") == 0 :
				       req->result.side == LOAD_ENGINE;
	json_decref(answer);
	return not_run ? LOAD_REFUSED : LOAD_FAILED;
}

static bool
is_streamed(const request_t *req)
{
	return !req->group->service &&
	    (req->group->stream || req->result.side == LOAD_ENGINE);
}

static load_outcome_t
classify(request_t *req, dff_httpc_end_t end, dff_time_t *retry_after)
{
	*retry_after = 0;
	if (end == DFF_HTTPC_CONNECT_FAILED) {
		(void)g_strlcpy(
		    req->result.code, "connect", sizeof(req->result.code));
		return LOAD_REFUSED;
	}
	if (req->result.status >= 400 && !req->group->service)
		return classify_error(req, retry_after);
	if (end != DFF_HTTPC_DONE) {
		(void)classify_stream(req);
		if (req->result.code[0] == '\0')
			(void)g_strlcpy(req->result.code,
			    end == DFF_HTTPC_TIMEOUT ? "silent" : "broken",
			    sizeof(req->result.code));
		return LOAD_BROKEN;
	}
	if (req->result.status >= 400)
		return classify_error(req, retry_after);
	return is_streamed(req) ? classify_stream(req) :
				  classify_unstreamed(req);
}

static void
start_next_waiting(load_t *load, load_side_t side)
{
	request_t *next;

	if (load->running[side] >= (uint64_t)load->connections)
		return;
	next = g_queue_pop_head(&load->waiting[side]);
	if (next != NULL)
		send_request(next);
}

static void
on_retry(uv_timer_t *timer)
{
	request_t *req = timer->data;

	if (req->load->running[req->result.side] <
	    (uint64_t)req->load->connections)
		send_request(req);
	else
		g_queue_push_tail(&req->load->waiting[req->result.side], req);
}

static void
on_end(void *arg, dff_httpc_req_t *http, dff_httpc_end_t end)
{
	request_t *req = arg;
	load_t *load = req->load;
	load_side_t side = req->result.side;
	dff_time_t retry_after;

	(void)http;
	req->result.ended = dff_program_now();
	req->result.outcome = classify(req, end, &retry_after);
	load->running[side]--;
	if (req->result.outcome == LOAD_REFUSED &&
	    req->result.attempts <= load->retries) {
		if (retry_after == 0)
			retry_after = DEFAULT_RETRY_TIME;
		uv_update_time(&load->loop);
		(void)uv_timer_start(&req->retry_timer, on_retry,
		    (uint64_t)(retry_after / DFF_MSEC), 0);
	} else {
		load_report_add(load->report, &req->result);
		load->unfinished--;
		uv_close((uv_handle_t *)&req->retry_timer, on_retry_closed);
	}
	start_next_waiting(load, side);
}

/* ---- start of an attempt ---- */

static void
on_head(void *arg, dff_httpc_req_t *http, int status)
{
	request_t *req = arg;

	(void)http;
	req->result.status = status;
}

static void
on_data(void *arg, dff_httpc_req_t *http, const char *data, size_t len)
{
	request_t *req = arg;
	dff_time_t now = dff_program_now();

	(void)http;
	if (!is_streamed(req) || req->result.status >= 400) {
		if (req->result.first_token == 0 && req->result.status < 400)
			req->result.first_token = now;
		g_byte_array_append(
		    req->body, (const guint8 *)data, (guint)len);
		return;
	}
	if (load_parser_feed(&req->parser, data, len) == 0)
		return;
	if (req->result.first_token == 0) {
		req->result.first_token = now;
	} else {
		load_report_add_gap(req->load->report, req->result.side,
		    now - req->last_tokens);
		req->result.longest_gap =
		    MAX(req->result.longest_gap, now - req->last_tokens);
	}
	req->last_tokens = now;
}

static char *
build_body(const request_t *req)
{
	json_t *object;
	char *text;

	if (req->result.side == LOAD_ENGINE)
		object = json_pack("{s:I,s:s,s:s,s:i,s:i,s:i,s:s}", "id",
		    (json_int_t)(req->draw.serial >> 2 | req->result.attempts),
		    "model", req->group->model, "prompt", req->prompt,
		    "max_tokens", (int)req->draw.max_tokens, "resume_at", 0,
		    "priority", 1, "phase", "whole");
	else
		object = json_pack("{s:s,s:s,s:i,s:b}", "model",
		    req->group->name, "prompt", req->prompt, "max_tokens",
		    (int)req->draw.max_tokens, "stream", req->group->stream);
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

static char *
build_headers(const request_t *req)
{
	GString *headers = g_string_new(NULL);

	if (req->group->key[0] != '\0')
		g_string_append_printf(
		    headers, "authorization: Bearer %s\r\n", req->group->key);
	/* All attempts have the same key, so that the request runs once. */
	if (req->group->idempotent)
		g_string_append_printf(headers,
		    "idempotency-key: %s-%016" PRIx64 "\r\n", req->load->run_id,
		    req->draw.serial);
	return g_string_free(headers, FALSE);
}

static char *
request_path(const request_t *req)
{
	if (req->group->service)
		return g_strdup_printf("/service/%s", req->group->name);
	return g_strdup(req->result.side == LOAD_ENGINE ? "/v1/generate" :
							  "/v1/completions");
}

static const char *
next_addr(load_t *load, load_side_t side)
{
	uint32_t count = g_strv_length(load->addrs[side]);

	return load->addrs[side][load->next_addr[side]++ % count];
}

static void
send_request(request_t *req)
{
	static const dff_httpc_handlers_t handlers = {on_head, on_data, on_end};
	load_t *load = req->load;
	load_side_t side = req->result.side;
	char *headers = build_headers(req);
	char *path = request_path(req);
	char *body = build_body(req);
	dff_httpc_call_t call = {
	    .addr = next_addr(load, side),
	    .method = "POST",
	    .path = path,
	    .content_type = "application/json",
	    .headers = headers,
	    .body = body,
	    .len = strlen(body),
	    .idle_timeout = load->idle_timeout,
	};

	load_parser_clear(&req->parser);
	load_parser_init(&req->parser, side);
	g_byte_array_set_size(req->body, 0);
	req->result.code[0] = '\0';
	req->result.status = 0;
	req->result.first_token = 0;
	req->result.attempts++;
	req->result.sent = dff_program_now();
	load->running[side]++;
	if (dff_httpc_start(load->httpc, &call, &handlers, req) == NULL)
		on_end(req, NULL, DFF_HTTPC_CONNECT_FAILED);
	free(body);
	g_free(path);
	g_free(headers);
}

void
load_request_start(
    load_t *load, const load_draw_t *draw, load_side_t side, dff_time_t arrived)
{
	request_t *req = g_new0(request_t, 1);
	uint32_t count;

	req->load = load;
	req->group = &load_mix_groups(load->mix, &count)[draw->group];
	req->draw = *draw;
	req->prompt = load_mix_prompt(load->mix, draw, side);
	req->body = g_byte_array_new();
	load_parser_init(&req->parser, side);
	req->result.side = side;
	req->result.group = draw->group;
	req->result.serial = draw->serial;
	req->result.prompt_tokens =
	    dff_model_prompt_tokens(strlen(req->prompt));
	req->result.arrived = arrived;
	(void)uv_timer_init(&load->loop, &req->retry_timer);
	req->retry_timer.data = req;
	load->unfinished++;
	if (load->running[side] < (uint64_t)load->connections)
		send_request(req);
	else
		g_queue_push_tail(&load->waiting[side], req);
}
