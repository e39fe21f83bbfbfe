#include "net/front.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "dragonflyfall/program.h"
#include "net/answer.h"

/* Longest Idempotency-Key in bytes. */
#define IDEM_KEY_MAX 200
#define JSON_TYPE    "application/json"
#define TEXT_TYPE    "text/plain; charset=utf-8"
#define SSE_TYPE     "text/event-stream"
#define SERVICE_PATH "/service/"

/* A caller's request, until its answer ends or the caller disconnects. */
typedef struct call {
	uint64_t id;
	dff_httpd_req_t *req;
	dff_body_t body;
	char *prompt;
	char *entry;
	bool stream;
	bool begun;
	GString *text; /* collected answer of a call that is not streamed */
} call_t;

struct dff_front {
	dff_ctx_t *ctx;
	dff_front_config_t config;
	dff_front_pages_t pages;
	dff_sink_t sink;
	dff_httpd_t *httpd;
	GHashTable *calls; /* id to call_t */
	uint64_t last_call;
	bool ready;
	char *health_reason;
};

/* ---- calls ---- */

static void
free_call(void *data)
{
	call_t *call = data;

	g_free(call->prompt);
	g_free(call->entry);
	if (call->text != NULL)
		(void)g_string_free(call->text, TRUE);
	g_free(call);
}

static call_t *
find_call(const dff_front_t *front, uint64_t id)
{
	return g_hash_table_lookup(front->calls, &id);
}

static void
drop_call(dff_front_t *front, call_t *call)
{
	dff_httpd_set_data(call->req, NULL);
	(void)g_hash_table_remove(front->calls, &call->id);
}

static call_t *
new_call(dff_front_t *front, dff_httpd_req_t *req, dff_call_kind_t kind)
{
	call_t *call = g_new0(call_t, 1);

	call->id = ++front->last_call;
	call->req = req;
	call->body.kind = kind;
	call->body.method = dff_httpd_method(req);
	call->body.content_type = dff_httpd_header(req, "content-type");
	if (call->body.content_type == NULL)
		call->body.content_type = "";
	call->body.data = dff_httpd_body(req, &call->body.len);
	call->body.prompt = "";
	dff_httpd_set_data(req, call);
	g_hash_table_insert(front->calls, &call->id, call);
	return call;
}

static const char *
header_or_empty(dff_httpd_req_t *req, const char *name)
{
	const char *value = dff_httpd_header(req, name);

	return value != NULL ? value : "";
}

/* The key of "Authorization: Bearer KEY", or "". */
static const char *
bearer_key(dff_httpd_req_t *req)
{
	static const char scheme[] = "Bearer ";
	const char *value = header_or_empty(req, "authorization");

	if (g_ascii_strncasecmp(value, scheme, sizeof(scheme) - 1) != 0)
		return "";
	return value + sizeof(scheme) - 1;
}

/* Hash of all parts of a request that must be equal in a repetition with the
 * same key. */
static uint64_t
hash_call(const call_t *call, const char *entry, uint32_t max_tokens)
{
	const dff_body_t *body = &call->body;
	uint64_t hash = body->kind;

	hash = dff_hash(entry, strlen(entry) + 1, hash);
	if (body->kind == DFF_CALL_MODEL) {
		hash = dff_hash(&max_tokens, sizeof(max_tokens), hash);
		return dff_hash(body->prompt, strlen(body->prompt), hash);
	}
	hash = dff_hash(body->method, strlen(body->method) + 1, hash);
	hash =
	    dff_hash(body->content_type, strlen(body->content_type) + 1, hash);
	return dff_hash(body->data, body->len, hash);
}

static size_t
hash_prefix(const char *prompt, size_t len, uint64_t *prefix)
{
	uint64_t hash = 0;
	size_t count = 0;

	while (len >= DFF_PREFIX_BLOCK_BYTES && count < DFF_PREFIX_BLOCKS_MAX) {
		hash = dff_hash(prompt, DFF_PREFIX_BLOCK_BYTES, hash);
		prefix[count++] = hash;
		prompt += DFF_PREFIX_BLOCK_BYTES;
		len -= DFF_PREFIX_BLOCK_BYTES;
	}
	return count;
}

static void
reject_request(
    dff_httpd_req_t *req, int status, const char *code, const char *text)
{
	dff_answer_error(req, status, code, DFF_EXECUTION_NOT_RUN, 0, text);
}

/* Answers invalid headers with an error before a call is created. */
static bool
check_headers(dff_httpd_req_t *req)
{
	const char *key = header_or_empty(req, "idempotency-key");
	const char *date = header_or_empty(req, "idempotency-date");

	if (strlen(key) > IDEM_KEY_MAX) {
		reject_request(req, 400, "bad_request",
		    "Idempotency-Key is longer than 200 bytes.");
		return false;
	}
	for (const char *c = key; *c != '\0'; c++) {
		if (g_ascii_isprint(*c))
			continue;
		reject_request(req, 400, "bad_request",
		    "Idempotency-Key must be printable ASCII.");
		return false;
	}
	if (*date != '\0' &&
	    !g_ascii_string_to_unsigned(date, 10, 0, G_MAXINT64, NULL, NULL)) {
		reject_request(req, 400, "bad_request",
		    "Idempotency-Date must be milliseconds since 1970.");
		return false;
	}
	return true;
}

static void
open_call(
    dff_front_t *front, call_t *call, const char *entry, uint32_t max_tokens)
{
	dff_httpd_req_t *req = call->req;
	size_t prompt_len = strlen(call->body.prompt);
	uint64_t prefix[DFF_PREFIX_BLOCKS_MAX];
	dff_event_t event = {.type = DFF_EV_CALL_OPEN};
	dff_ev_call_open_t *open = &event.u.call_open;

	call->entry = g_strdup(entry);
	open->call = call->id;
	open->kind = call->body.kind;
	open->secret = bearer_key(req);
	open->entry = call->entry;
	open->idem_key = header_or_empty(req, "idempotency-key");
	open->key_created_ms = g_ascii_strtoull(
	    header_or_empty(req, "idempotency-date"), NULL, 10);
	open->now_ms = dff_program_wall_ms();
	open->stream = call->stream;
	open->prompt_len = (uint32_t)prompt_len;
	open->max_tokens = max_tokens;
	open->body_hash = hash_call(call, entry, max_tokens);
	open->prefix = prefix;
	open->prefix_count = hash_prefix(call->body.prompt, prompt_len, prefix);
	front->sink.feed(front->sink.arg, &event);
}

/* ---- requests ---- */

/* The fields of a model call; the strings belong to the JSON object. */
typedef struct completion {
	const char *model;
	const char *prompt;
	uint32_t max_tokens;
	bool stream;
} completion_t;

/* Read the fields of a model call; @error is set if they are invalid. */
static bool
read_completion(
    const json_t *body, completion_t *completion, const char **error)
{
	const json_t *max_tokens = json_object_get(body, "max_tokens");
	const json_t *stream = json_object_get(body, "stream");
	json_int_t number = 0;

	if (!json_is_object(body)) {
		*error = "The body is not a JSON object.";
		return false;
	}
	completion->model = json_string_value(json_object_get(body, "model"));
	completion->prompt = json_string_value(json_object_get(body, "prompt"));
	if (completion->model == NULL || completion->prompt == NULL) {
		*error = "The texts \"model\" and \"prompt\" must be given.";
		return false;
	}
	if (max_tokens != NULL)
		number = json_integer_value(max_tokens);
	if (max_tokens != NULL &&
	    (!json_is_integer(max_tokens) || number < 1 ||
		number > UINT32_MAX)) {
		*error = "\"max_tokens\" must be a whole number above 0.";
		return false;
	}
	if (stream != NULL && !json_is_boolean(stream)) {
		*error = "\"stream\" must be true or false.";
		return false;
	}
	completion->max_tokens = (uint32_t)number;
	completion->stream = json_is_true(stream);
	return true;
}

static void
start_model_call(dff_front_t *front, dff_httpd_req_t *req)
{
	size_t len;
	const char *data = dff_httpd_body(req, &len);
	json_t *body = json_loadb(data, len, 0, NULL);
	completion_t completion;
	const char *error = "";
	call_t *call;

	if (!read_completion(body, &completion, &error)) {
		reject_request(req, 400, "bad_request", error);
	} else if (strlen(completion.model) >= DFF_NAME_MAX) {
		reject_request(
		    req, 404, "unknown_entry", "There is no such entry.");
	} else if (check_headers(req)) {
		call = new_call(front, req, DFF_CALL_MODEL);
		call->prompt = g_strdup(completion.prompt);
		call->body.prompt = call->prompt;
		call->stream = completion.stream;
		if (!completion.stream)
			call->text = g_string_new(NULL);
		open_call(front, call, completion.model, completion.max_tokens);
	}
	json_decref(body);
}

static void
start_service_call(dff_front_t *front, dff_httpd_req_t *req, const char *entry)
{
	if (*entry == '\0' || strchr(entry, '/') != NULL ||
	    strlen(entry) >= DFF_NAME_MAX) {
		reject_request(
		    req, 404, "unknown_entry", "There is no such entry.");
		return;
	}
	if (check_headers(req))
		open_call(
		    front, new_call(front, req, DFF_CALL_SERVICE), entry, 0);
}

static void
answer_health(const dff_front_t *front, dff_httpd_req_t *req)
{
	char *text = g_strdup_printf(
	    "%s\n", front->ready ? "ready" : front->health_reason);

	dff_httpd_answer(
	    req, front->ready ? 200 : 503, TEXT_TYPE, text, strlen(text));
	g_free(text);
}

static void
answer_page(dff_front_t *front, dff_httpd_req_t *req, char *(*page)(void *arg),
    const char *type)
{
	char *text = page(front->pages.arg);

	dff_httpd_answer(req, 200, type, text, strlen(text));
	free(text);
}

static void
on_request(void *arg, dff_httpd_req_t *req)
{
	dff_front_t *front = arg;
	const char *path = dff_httpd_path(req);
	bool get = strcmp(dff_httpd_method(req), "GET") == 0;

	if (get && strcmp(path, "/healthz") == 0)
		answer_health(front, req);
	else if (get && strcmp(path, "/metrics") == 0)
		answer_page(front, req, front->pages.metrics, TEXT_TYPE);
	else if (get && strcmp(path, "/status") == 0)
		answer_page(front, req, front->pages.status, JSON_TYPE);
	else if (!front->config.serve)
		reject_request(req, 404, "unknown_path", "Nothing is here.");
	else if (g_str_has_prefix(path, SERVICE_PATH))
		start_service_call(front, req, path + strlen(SERVICE_PATH));
	else if (strcmp(path, "/v1/completions") != 0)
		reject_request(req, 404, "unknown_path", "Nothing is here.");
	else if (strcmp(dff_httpd_method(req), "POST") != 0)
		reject_request(req, 405, "bad_method", "Only POST is allowed.");
	else
		start_model_call(front, req);
}

static void
on_gone(void *arg, dff_httpd_req_t *req)
{
	dff_front_t *front = arg;
	call_t *call = dff_httpd_data(req);
	dff_event_t event = {.type = DFF_EV_CALL_DISCONNECTED};

	if (call == NULL)
		return;
	event.u.call_disconnected.call = call->id;
	drop_call(front, call);
	front->sink.feed(front->sink.arg, &event);
}

/* ---- answers ---- */

void
dff_front_begin(dff_front_t *front, const dff_fx_call_begin_t *begin)
{
	call_t *call = find_call(front, begin->call);

	if (call == NULL || !call->stream || call->begun)
		return;
	call->begun = true;
	dff_httpd_add_header(call->req, "cache-control", "no-cache");
	dff_httpd_begin(call->req, 200, SSE_TYPE);
}

void
dff_front_tokens(dff_front_t *front, const dff_fx_call_tokens_t *tokens)
{
	call_t *call = find_call(front, tokens->call);

	if (call == NULL)
		return;
	if (call->stream)
		dff_answer_tokens(call->req, tokens);
	else
		g_string_append_len(
		    call->text, tokens->text, (gssize)tokens->len);
}

void
dff_front_end(dff_front_t *front, const dff_fx_call_end_t *end)
{
	call_t *call = find_call(front, end->call);
	dff_httpd_req_t *req;

	if (call == NULL)
		return;
	req = call->req;
	if (call->stream)
		dff_answer_stream_end(req, end);
	else
		dff_answer_completion(req, call->entry, call->text, end);
	drop_call(front, call);
}

void
dff_front_reply(dff_front_t *front, const dff_fx_call_reply_t *reply)
{
	call_t *call = find_call(front, reply->call);
	dff_httpd_req_t *req;

	if (call == NULL)
		return;
	req = call->req;
	if (reply->replayed)
		dff_httpd_add_header(req, "idempotency-replayed", "true");
	dff_httpd_answer(
	    req, reply->status, reply->content_type, reply->body, reply->len);
	drop_call(front, call);
}

void
dff_front_refuse(dff_front_t *front, const dff_fx_call_refuse_t *refuse)
{
	call_t *call = find_call(front, refuse->call);
	dff_httpd_req_t *req;

	if (call == NULL)
		return;
	req = call->req;
	if (call->begun)
		dff_answer_stream_error(req, refuse);
	else
		dff_answer_error(req, refuse->status, refuse->code,
		    refuse->execution, refuse->retry_after, refuse->text);
	drop_call(front, call);
}

void
dff_front_abort_calls(dff_front_t *front)
{
	dff_fx_call_refuse_t refuse = {.status = 503,
	    .code = "stopped",
	    .execution = DFF_EXECUTION_UNKNOWN,
	    .text = "This node had to stop before the answer was whole."};
	GHashTableIter iter;
	void *value;

	for (;;) {
		g_hash_table_iter_init(&iter, front->calls);
		if (!g_hash_table_iter_next(&iter, NULL, &value))
			return;
		refuse.call = ((const call_t *)value)->id;
		dff_front_refuse(front, &refuse);
	}
}

void
dff_front_set_health(dff_front_t *front, const dff_fx_health_t *health)
{
	front->ready = health->ready;
	g_free(front->health_reason);
	front->health_reason =
	    g_strdup(health->reason != NULL ? health->reason : "");
}

const dff_body_t *
dff_front_body(const dff_front_t *front, uint64_t id)
{
	const call_t *call = find_call(front, id);

	return call != NULL ? &call->body : NULL;
}

/* ---- the front ---- */

int
dff_front_new(dff_ctx_t *ctx, uv_loop_t *loop, const dff_front_config_t *config,
    const dff_front_pages_t *pages, const dff_sink_t *sink, dff_front_t **front)
{
	static const dff_httpd_handlers_t handlers = {on_request, on_gone};
	const dff_httpd_config_t httpd = {.addr = config->listen,
	    .body_max = config->body_max,
	    .unread_max = config->unread_max,
	    .header_time = config->header_time};
	dff_front_t *new = g_new0(dff_front_t, 1);
	int err;

	new->ctx = ctx;
	new->config = *config;
	new->pages = *pages;
	new->sink = *sink;
	new->health_reason = g_strdup("starting");
	new->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
	err = dff_httpd_new(ctx, loop, &httpd, &handlers, new, &new->httpd);
	if (err < 0) {
		dff_front_drop(new);
		new = NULL;
	}
	*front = new;
	return err;
}

void
dff_front_stop_accepting(dff_front_t *front)
{
	dff_httpd_stop_accepting(front->httpd);
}

void
dff_front_drop(dff_front_t *front)
{
	if (front == NULL)
		return;
	dff_httpd_drop(front->httpd);
	g_hash_table_unref(front->calls);
	g_free(front->health_reason);
	g_free(front);
}

size_t
dff_front_count_open(const dff_front_t *front)
{
	return dff_httpd_count_open(front->httpd);
}
