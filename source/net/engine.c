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
/* Refusals after which a request has not run. */
static const char *const refusals[] = {"role", "model", "away", "full", NULL};

struct dff_engine {
	dff_ctx_t *ctx;
	dff_httpc_t *httpc;
	dff_sink_t sink;
	GHashTable *open; /* number of a try to try_t */
	GQueue all; /* also those whose answer ended but not the request */
};

typedef struct
try {
	dff_engine_t *engine;
	uint64_t attempt;
	dff_httpc_req_t *req; /* NULL once the request is over */
	GList link;
	int status;
	GString *line; /* the line that is not yet whole, or a refusal */
	uint32_t next; /* index of the next token */
	uint32_t first; /* index of the first token of @text */
	GString *text; /* tokens that were not told yet */
	bool in_handler;
	bool closed; /* no more events */
}
try_t;

/* ---- life of a try ---- */

static void
free_try(try_t *try)
{
	g_queue_unlink(&try->engine->all, &try->link);
	(void)g_string_free(try->line, TRUE);
	(void)g_string_free(try->text, TRUE);
	g_free(try);
}

/* No more events of a try; its number is forgotten. */
static void
close_try(try_t *try)
{
	if (try->closed)
		return;
	try->closed = true;
	(void)g_hash_table_remove(try->engine->open, &try->attempt);
}

/* Break a try off; it is freed here, or on return from its handler. */
static void
break_try(try_t *try)
{
	close_try(try);
	if (try->req != NULL)
		dff_httpc_cancel(try->req);
	try->req = NULL;
	if (!try->in_handler)
		free_try(try);
}

static void
fail_try(
    try_t *try, dff_attempt_failure_t reason, bool sent, dff_time_t retry_after)
{
	const dff_event_t event = {.type = DFF_EV_ATTEMPT_FAILED,
	    .u.attempt_failed = {.attempt = try->attempt,
		.reason = reason,
		.sent = sent,
		.retry_after = retry_after}};
	dff_sink_t sink = try->engine->sink;

	if (try->closed)
		return;
	close_try(try);
	sink.feed(sink.arg, &event);
}

/* ---- the answer ---- */

static void
tell_tokens(try_t *try)
{
	const dff_event_t event = {.type = DFF_EV_ATTEMPT_TOKENS,
	    .u.attempt_tokens = {.attempt = try->attempt,
		.first = try->first,
		.count = try->next - try->first,
		.text = try->text->str,
		.len = try->text->len}};

	if (try->closed || try->next == try->first)
		return;
	try->engine->sink.feed(try->engine->sink.arg, &event);
	try->first = try->next;
	g_string_truncate(try->text, 0);
}

static bool
take_end(try_t *try, const json_t *body)
{
	const char *why = json_get_text(body, "end");
	dff_event_t event = {.type = DFF_EV_ATTEMPT_END};
	dff_ev_attempt_end_t *end = &event.u.attempt_end;

	end->attempt = try->attempt;
	if (strcmp(why, "stop") == 0)
		end->finish = DFF_FINISH_STOP;
	else if (strcmp(why, "length") == 0)
		end->finish = DFF_FINISH_LENGTH;
	else
		return false;
	if (!json_read_u32(body, "prompt", &end->prompt_tokens) ||
	    !json_read_u32(body, "cached", &end->cached_tokens) ||
	    !json_read_u32(body, "output", &end->output_tokens))
		return false;
	tell_tokens(try);
	if (try->closed)
		return true;
	close_try(try);
	try->engine->sink.feed(try->engine->sink.arg, &event);
	return true;
}

static bool
take_token(try_t *try, const json_t *body)
{
	const json_t *text = json_object_get(body, "t");
	uint32_t index;

	if (!json_read_u32(body, "i", &index) || !json_is_string(text))
		return false;
	if (index != try->next)
		return false;
	try->next++;
	g_string_append_len(try->text, json_string_value(text),
	    (gssize)json_string_length(text));
	return true;
}

static bool
take_line(try_t *try, const char *line, size_t len)
{
	json_t *body = json_loadb(line, len, 0, NULL);
	bool good;

	if (json_object_get(body, "end") != NULL)
		good = take_end(try, body);
	else
		good = take_token(try, body);
	json_decref(body);
	return good;
}

/* Take the lines that are whole by now. */
static bool
take_lines(try_t *try, const char *data, size_t len)
{
	const char *end;

	while (len > 0 && !try->closed) {
		end = memchr(data, '\n', len);
		if (try->line->len + len > LINE_MAX_BYTES && end == NULL)
			return false;
		if (end == NULL) {
			g_string_append_len(try->line, data, (gssize)len);
			return true;
		}
		g_string_append_len(try->line, data, end - data);
		if (!take_line(try, try->line->str, try->line->len))
			return false;
		g_string_truncate(try->line, 0);
		len -= (size_t)(end + 1 - data);
		data = end + 1;
	}
	return true;
}

static bool
take_data(try_t *try, const char *data, size_t len)
{
	bool good;

	if (try->status == 200) {
		good = take_lines(try, data, len);
		/* What was sound before the fault is still told. */
		tell_tokens(try);
		return good;
	}
	if (try->line->len + len > REFUSAL_MAX)
		return false;
	g_string_append_len(try->line, data, (gssize)len);
	return true;
}

static void
on_head(void *arg, dff_httpc_req_t *req, int status)
{
	try_t *try = arg;

	(void)req;
	try->status = status;
}

static void
on_data(void *arg, dff_httpc_req_t *req, const char *data, size_t len)
{
	try_t *try = arg;

	(void)req;
	if (try->closed)
		return;
	try->in_handler = true;
	if (!take_data(try, data, len)) {
		fail_try(try, DFF_FAIL_PROTOCOL, true, 0);
		if (try->req != NULL)
			break_try(try);
	}
	try->in_handler = false;
	if (try->req == NULL)
		free_try(try);
}

/* ---- the end ---- */

static bool
is_refusal(const char *word)
{
	for (size_t i = 0; refusals[i] != NULL; i++) {
		if (strcmp(word, refusals[i]) == 0)
			return true;
	}
	return false;
}

/* A whole answer other than 200: a refusal, or something not understood. */
static void
take_refusal(try_t *try)
{
	json_t *body = json_loadb(try->line->str, try->line->len, 0, NULL);
	const char *word = json_get_text(body, "error");
	uint32_t wait_ms = json_get_u32(body, "retry_after_ms");

	if ((try->status == 409 || try->status == 503) && is_refusal(word))
		fail_try(try, DFF_FAIL_REJECTED, true, wait_ms * DFF_MSEC);
	else
		fail_try(try, DFF_FAIL_PROTOCOL, true, 0);
	json_decref(body);
}

static void
on_end(void *arg, dff_httpc_req_t *req, dff_httpc_end_t end)
{
	try_t *try = arg;

	(void)req;
	try->req = NULL;
	try->in_handler = true;
	if (end == DFF_HTTPC_CONNECT)
		fail_try(try, DFF_FAIL_CONNECT, false, 0);
	else if (end == DFF_HTTPC_TIMEOUT)
		fail_try(try, DFF_FAIL_TIMEOUT, true, 0);
	else if (end == DFF_HTTPC_DONE && try->status != 200 && !try->closed)
		take_refusal(try);
	else
		/* Also an answer that ended without its end line. */
		fail_try(try, DFF_FAIL_BROKEN, true, 0);
	try->in_handler = false;
	free_try(try);
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

static try_t *
new_try(dff_engine_t *engine, const dff_fx_attempt_start_t *start)
{
	try_t *try = g_new0(try_t, 1);

	try->engine = engine;
	try->attempt = start->attempt;
	try->link.data = try;
	try->line = g_string_new(NULL);
	try->text = g_string_new(NULL);
	try->next = start->resume_at;
	try->first = start->resume_at;
	g_queue_push_tail_link(&engine->all, &try->link);
	g_hash_table_insert(engine->open, &try->attempt, try);
	return try;
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
	    .silence = start->timeout};
	try_t *try = new_try(engine, start);

	if (start->idem_key[0] != '\0')
		headers =
		    g_strdup_printf("idempotency-key: %s\r\n", start->idem_key);
	call.headers = headers;
	try->req = dff_http_start(engine->httpc, &call, &handlers, try);
	g_free(headers);
	free(text);
}

bool
dff_engine_cancel(dff_engine_t *engine, uint64_t attempt)
{
	try_t *try = g_hash_table_lookup(engine->open, &attempt);

	if (try == NULL)
		return false;
	break_try(try);
	return true;
}

size_t
dff_engine_open(const dff_engine_t *engine)
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
		break_try(link->data);
	g_hash_table_unref(engine->open);
	g_free(engine);
}
