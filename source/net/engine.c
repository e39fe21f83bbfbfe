#include "net/engine.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>
#include "net/json_read.h"

/* Longest line of an answer. */
#define LINE_MAX_BYTES (64 * 1024)
/* Largest body of a refusal. */
#define REFUSAL_MAX 4096

static const char *const phase_names[] = {"whole", "prefill", "decode"};
/* Errors which mean that the request was not run. */
static const char *const refusals[] = {"role", "model", "away", "full", NULL};

struct dff_engine {
	dff_ctx_t *ctx;
	dff_httpc_t *httpc;
	dff_sink_t sink;
	GHashTable *open; /* attempt's number to attempt_t */
	GQueue all; /* also those whose answer ended before the request */
};

typedef struct attempt {
	dff_engine_t *engine;
	uint64_t id;
	dff_httpc_req_t *req; /* NULL once the request has ended */
	GList link;
	int status;
	GString *line; /* incomplete line, or the body of a refusal */
	uint32_t next; /* index of the next token */
	uint32_t first; /* index of the first token of @text */
	GString *text; /* text of the tokens not yet reported */
	bool in_handler;
	bool closed; /* no more events */
} attempt_t;

/* ---- lifetime of an attempt ---- */

static void
free_attempt(attempt_t *attempt)
{
	g_queue_unlink(&attempt->engine->all, &attempt->link);
	(void)g_string_free(attempt->line, TRUE);
	(void)g_string_free(attempt->text, TRUE);
	g_free(attempt);
}

/* Ends the events of an attempt and removes its number. */
static void
close_attempt(attempt_t *attempt)
{
	if (attempt->closed)
		return;
	attempt->closed = true;
	(void)g_hash_table_remove(attempt->engine->open, &attempt->id);
}

/* Cancels an attempt; it is freed here, or on return from its handler. */
static void
abort_attempt(attempt_t *attempt)
{
	close_attempt(attempt);
	if (attempt->req != NULL)
		dff_httpc_cancel(attempt->req);
	attempt->req = NULL;
	if (!attempt->in_handler)
		free_attempt(attempt);
}

static void
fail_attempt(attempt_t *attempt, dff_attempt_failure_t reason, bool sent,
    dff_time_t retry_after)
{
	const dff_event_t event = {.type = DFF_EV_ATTEMPT_FAILED,
	    .u.attempt_failed = {.attempt = attempt->id,
		.reason = reason,
		.sent = sent,
		.retry_after = retry_after}};
	dff_sink_t sink = attempt->engine->sink;

	if (attempt->closed)
		return;
	close_attempt(attempt);
	sink.feed(sink.arg, &event);
}

/* ---- the answer ---- */

static void
report_tokens(attempt_t *attempt)
{
	const dff_event_t event = {.type = DFF_EV_ATTEMPT_TOKENS,
	    .u.attempt_tokens = {.attempt = attempt->id,
		.first = attempt->first,
		.count = attempt->next - attempt->first,
		.text = attempt->text->str,
		.len = attempt->text->len}};

	if (attempt->closed || attempt->next == attempt->first)
		return;
	attempt->engine->sink.feed(attempt->engine->sink.arg, &event);
	attempt->first = attempt->next;
	g_string_truncate(attempt->text, 0);
}

static bool
parse_end(attempt_t *attempt, const json_t *body)
{
	const char *finish = json_get_text(body, "end");
	dff_event_t event = {.type = DFF_EV_ATTEMPT_END};
	dff_ev_attempt_end_t *end = &event.u.attempt_end;

	end->attempt = attempt->id;
	if (strcmp(finish, "stop") == 0)
		end->finish = DFF_FINISH_STOP;
	else if (strcmp(finish, "length") == 0)
		end->finish = DFF_FINISH_LENGTH;
	else
		return false;
	if (!json_read_u32(body, "prompt", &end->prompt_tokens) ||
	    !json_read_u32(body, "cached", &end->cached_tokens) ||
	    !json_read_u32(body, "output", &end->output_tokens))
		return false;
	report_tokens(attempt);
	if (attempt->closed)
		return true;
	close_attempt(attempt);
	attempt->engine->sink.feed(attempt->engine->sink.arg, &event);
	return true;
}

static bool
parse_token(attempt_t *attempt, const json_t *body)
{
	const json_t *text = json_object_get(body, "t");
	uint32_t index;

	if (!json_read_u32(body, "i", &index) || !json_is_string(text))
		return false;
	if (index != attempt->next)
		return false;
	attempt->next++;
	g_string_append_len(attempt->text, json_string_value(text),
	    (gssize)json_string_length(text));
	return true;
}

static bool
parse_line(attempt_t *attempt, const char *line, size_t len)
{
	json_t *body = json_loadb(line, len, 0, NULL);
	bool valid;

	if (json_object_get(body, "end") != NULL)
		valid = parse_end(attempt, body);
	else
		valid = parse_token(attempt, body);
	json_decref(body);
	return valid;
}

/* Parses the complete lines received so far. */
static bool
parse_lines(attempt_t *attempt, const char *data, size_t len)
{
	const char *end;

	while (len > 0 && !attempt->closed) {
		end = memchr(data, '\n', len);
		if (attempt->line->len + len > LINE_MAX_BYTES && end == NULL)
			return false;
		if (end == NULL) {
			g_string_append_len(attempt->line, data, (gssize)len);
			return true;
		}
		g_string_append_len(attempt->line, data, end - data);
		if (!parse_line(
			attempt, attempt->line->str, attempt->line->len))
			return false;
		g_string_truncate(attempt->line, 0);
		len -= (size_t)(end + 1 - data);
		data = end + 1;
	}
	return true;
}

static bool
parse_data(attempt_t *attempt, const char *data, size_t len)
{
	bool valid;

	if (attempt->status == 200) {
		valid = parse_lines(attempt, data, len);
		/* Tokens received before an invalid line are still reported. */
		report_tokens(attempt);
		return valid;
	}
	if (attempt->line->len + len > REFUSAL_MAX)
		return false;
	g_string_append_len(attempt->line, data, (gssize)len);
	return true;
}

static void
on_head(void *arg, dff_httpc_req_t *req, int status)
{
	attempt_t *attempt = arg;

	(void)req;
	attempt->status = status;
}

static void
on_data(void *arg, dff_httpc_req_t *req, const char *data, size_t len)
{
	attempt_t *attempt = arg;

	(void)req;
	if (attempt->closed)
		return;
	attempt->in_handler = true;
	if (!parse_data(attempt, data, len)) {
		fail_attempt(attempt, DFF_FAIL_PROTOCOL, true, 0);
		if (attempt->req != NULL)
			abort_attempt(attempt);
	}
	attempt->in_handler = false;
	if (attempt->req == NULL)
		free_attempt(attempt);
}

/* ---- the end ---- */

static bool
is_refusal(const char *error)
{
	for (size_t i = 0; refusals[i] != NULL; i++) {
		if (strcmp(error, refusals[i]) == 0)
			return true;
	}
	return false;
}

/* Parses a complete answer other than 200: a refusal or a protocol error. */
static void
parse_refusal(attempt_t *attempt)
{
	json_t *body =
	    json_loadb(attempt->line->str, attempt->line->len, 0, NULL);
	const char *error = json_get_text(body, "error");
	uint32_t wait_ms = json_get_u32(body, "retry_after_ms");

	if ((attempt->status == 409 || attempt->status == 503) &&
	    is_refusal(error))
		fail_attempt(
		    attempt, DFF_FAIL_REJECTED, true, wait_ms * DFF_MSEC);
	else
		fail_attempt(attempt, DFF_FAIL_PROTOCOL, true, 0);
	json_decref(body);
}

static void
on_end(void *arg, dff_httpc_req_t *req, dff_httpc_end_t end)
{
	attempt_t *attempt = arg;

	(void)req;
	attempt->req = NULL;
	attempt->in_handler = true;
	if (end == DFF_HTTPC_CONNECT_FAILED)
		fail_attempt(attempt, DFF_FAIL_CONNECT, false, 0);
	else if (end == DFF_HTTPC_TIMEOUT)
		fail_attempt(attempt, DFF_FAIL_TIMEOUT, true, 0);
	else if (end == DFF_HTTPC_DONE && attempt->status != 200 &&
	    !attempt->closed)
		parse_refusal(attempt);
	else
		/* Also an answer that ended without its end line. */
		fail_attempt(attempt, DFF_FAIL_BROKEN, true, 0);
	attempt->in_handler = false;
	free_attempt(attempt);
}

/* ---- the request ---- */

static char *
make_body(const dff_fx_attempt_start_t *start, const dff_body_t *body)
{
	json_t *object = json_object();
	char *text;

	json_object_set_new(
	    object, "id", json_integer((json_int_t)start->attempt));
	json_object_set_new(object, "model", json_string(start->model));
	json_object_set_new(object, "prompt", json_string(body->prompt));
	json_object_set_new(
	    object, "max_tokens", json_integer(start->max_tokens));
	json_object_set_new(
	    object, "resume_at", json_integer(start->resume_at));
	json_object_set_new(object, "priority", json_integer(start->priority));
	json_object_set_new(
	    object, "phase", json_string(phase_names[start->phase]));
	if (start->phase == DFF_PHASE_DECODE) {
		json_object_set_new(
		    object, "kv_addr", json_string(start->kv_addr));
		json_object_set_new(object, "kv_id",
		    json_integer((json_int_t)start->kv_attempt));
	}
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

static attempt_t *
new_attempt(dff_engine_t *engine, const dff_fx_attempt_start_t *start)
{
	attempt_t *attempt = g_new0(attempt_t, 1);

	attempt->engine = engine;
	attempt->id = start->attempt;
	attempt->link.data = attempt;
	attempt->line = g_string_new(NULL);
	attempt->text = g_string_new(NULL);
	attempt->next = start->resume_at;
	attempt->first = start->resume_at;
	g_queue_push_tail_link(&engine->all, &attempt->link);
	g_hash_table_insert(engine->open, &attempt->id, attempt);
	return attempt;
}

void
dff_engine_start(dff_engine_t *engine, const dff_fx_attempt_start_t *start,
    const dff_body_t *body)
{
	static const dff_httpc_handlers_t handlers = {on_head, on_data, on_end};
	char *headers = NULL;
	char *text = make_body(start, body);
	dff_httpc_call_t call = {.addr = start->addr,
	    .method = "POST",
	    .path = "/v1/generate",
	    .content_type = "application/json",
	    .body = text,
	    .len = strlen(text),
	    .idle_timeout = start->timeout};
	attempt_t *attempt = new_attempt(engine, start);

	if (start->idem_key[0] != '\0')
		headers =
		    g_strdup_printf("idempotency-key: %s\r\n", start->idem_key);
	call.headers = headers;
	attempt->req =
	    dff_httpc_start_nonnull(engine->httpc, &call, &handlers, attempt);
	g_free(headers);
	free(text);
}

bool
dff_engine_cancel(dff_engine_t *engine, uint64_t id)
{
	attempt_t *attempt = g_hash_table_lookup(engine->open, &id);

	if (attempt == NULL)
		return false;
	abort_attempt(attempt);
	return true;
}

size_t
dff_engine_open_count(const dff_engine_t *engine)
{
	return g_hash_table_size(engine->open);
}

dff_engine_t *
dff_engine_new(dff_ctx_t *ctx, dff_httpc_t *httpc, const dff_sink_t *sink)
{
	dff_engine_t *engine = g_new0(dff_engine_t, 1);

	engine->ctx = ctx;
	engine->httpc = httpc;
	engine->sink = *sink;
	engine->open = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&engine->all);
	return engine;
}

void
dff_engine_drop(dff_engine_t *engine)
{
	GList *link;

	if (engine == NULL)
		return;
	while ((link = engine->all.head) != NULL)
		abort_attempt(link->data);
	g_hash_table_unref(engine->open);
	g_free(engine);
}
