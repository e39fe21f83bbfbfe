/*
 * Stand-in for a model engine: the engine model behind HTTP. After a crash
 * its port is closed until the model is back.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/model_engine.h"
#include "standin.h"

/* Bytes that stand for one piece of KV cache on the wire. */
#define KV_PIECE_BYTES 256
/* Silence after which the weight store or an exporting engine is given up. */
#define ASK_SILENCE (5 * DFF_SEC)
/* Wait before the weight store is asked again after it gave no answer. */
#define ASK_AGAIN (1 * DFF_SEC)

typedef struct settings {
	const char *addr;
	const char *id;
	const char *domain;
	const char *platform;
	const char *role;
	const char *model;
	const char *poison;
	int64_t model_version;
	int64_t incarnation;
	bool check_fence;
	bool cut_on_order;
	bool crash_in_change;
	int64_t pieces;
	int64_t batch;
	int64_t queue;
	int64_t chunk;
	double prefill_us;
	double step_us;
	double request_us;
	dff_time_t role_away;
	dff_time_t load_away;
	dff_time_t restart_away;
	dff_time_t report_lag;
	dff_time_t cache_lag;
	double cache_loss;
	int64_t output_mean;
	int64_t seed;
	dff_time_t drain_time;
} settings_t;

typedef struct engine {
	const settings_t *settings;
	standin_t standin;
	dff_engine_model_t *model;
	dff_httpc_t *client;
	GArray *out;
	GHashTable *open; /* try -> generation_t */
	uv_timer_t timer;
	bool crash_asked;
	uint64_t last_id; /* for requests that bring none */
} engine_t;

/* One request whose answer has not ended. */
typedef struct generation {
	engine_t *engine;
	uint64_t id;
	dff_httpd_req_t *req;
	dff_httpc_req_t *fetch; /* KV cache under way, or NULL */
	bool fetched_well;
	bool near;
	size_t kv_bytes;
	uv_timer_t *link; /* KV cache on the link, or NULL */
} generation_t;

static void on_timer(uv_timer_t *timer);

static void
set_timer(engine_t *engine)
{
	dff_time_t next = dff_engine_model_next(engine->model);
	dff_time_t wait;

	if (engine->crash_asked)
		next = dff_program_now();
	if (next == DFF_TIME_NEVER) {
		(void)uv_timer_stop(&engine->timer);
		return;
	}
	wait = dff_program_until(next);
	uv_update_time(engine->standin.loop);
	(void)uv_timer_start(&engine->timer, on_timer,
	    (uint64_t)((wait + DFF_MSEC - 1) / DFF_MSEC), 0);
}

/* ---- requests whose answer has not ended ---- */

static void
on_link_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void
free_generation(gpointer data)
{
	generation_t *generation = data;

	if (generation->fetch != NULL)
		dff_httpc_cancel(generation->fetch);
	if (generation->link != NULL)
		uv_close((uv_handle_t *)generation->link, on_link_closed);
	g_free(generation);
}

static void
forget(engine_t *engine, generation_t *generation)
{
	uint64_t id = generation->id;

	dff_httpd_set_data(generation->req, NULL);
	g_hash_table_remove(engine->open, &id);
}

static generation_t *
find(engine_t *engine, uint64_t id)
{
	return g_hash_table_lookup(engine->open, &id);
}

/* ---- outputs of the model ---- */

static void
write_token(engine_t *engine, const dff_engine_out_t *item)
{
	generation_t *generation = find(engine, item->id);
	char text[DFF_TOKEN_TEXT_MAX];
	char line[64];
	int len;

	if (generation == NULL)
		return;
	(void)dff_model_token(item->prompt_hash, item->index, text);
	len = g_snprintf(line, sizeof(line),
	    "{\"i\":%" PRIu32 ",\"t\":\"%s\"}\n", item->index, text);
	dff_httpd_write(generation->req, line, (size_t)len);
}

static void
write_end(engine_t *engine, const dff_engine_out_t *item)
{
	generation_t *generation = find(engine, item->id);
	char line[128];
	int len;

	if (generation == NULL)
		return;
	len = g_snprintf(line, sizeof(line),
	    "{\"end\":\"%s\",\"prompt\":%" PRIu32 ",\"cached\":%" PRIu32
	    ",\"output\":%" PRIu32 "}\n",
	    item->finish == DFF_FINISH_STOP ? "stop" : "length",
	    item->prompt_tokens, item->cached_tokens, item->output_tokens);
	dff_httpd_write(generation->req, line, (size_t)len);
	dff_httpd_end(generation->req);
	forget(engine, generation);
}

static void
break_off(engine_t *engine, uint64_t id)
{
	generation_t *generation = find(engine, id);

	if (generation == NULL)
		return;
	dff_httpd_abort(generation->req);
	forget(engine, generation);
}

/* ---- leave to load weights ---- */

typedef struct asking {
	engine_t *engine;
	int status;
	GString *body;
} asking_t;

static void
on_leave_head(void *arg, dff_httpc_req_t *req, int status)
{
	asking_t *asking = arg;

	(void)req;
	asking->status = status;
}

static void
on_leave_data(void *arg, dff_httpc_req_t *req, const char *data, size_t len)
{
	asking_t *asking = arg;

	(void)req;
	g_string_append_len(asking->body, data, (gssize)len);
}

static dff_time_t
leave_wait(const asking_t *asking, dff_httpc_end_t end)
{
	dff_time_t wait;
	json_t *body;

	if (end != DFF_HTTPC_DONE)
		return ASK_AGAIN;
	if (asking->status == 200)
		return 0;
	body = json_loadb(asking->body->str, asking->body->len, 0, NULL);
	wait = standin_number(body, "retry_after_ms", 0) * DFF_MSEC;
	json_decref(body);
	return wait > 0 ? wait : ASK_AGAIN;
}

static void
on_leave_end(void *arg, dff_httpc_req_t *req, dff_httpc_end_t end)
{
	asking_t *asking = arg;
	engine_t *engine = asking->engine;
	dff_time_t wait = leave_wait(asking, end);

	(void)req;
	dff_log(engine->standin.ctx, DFF_LOG_INFO, "weights",
	    "store answered wait_ms=%" PRId64, (int64_t)(wait / DFF_MSEC));
	dff_engine_model_leave(engine->model, wait, dff_program_now());
	g_string_free(asking->body, TRUE);
	g_free(asking);
	set_timer(engine);
}

static void
ask_leave(engine_t *engine)
{
	static const dff_httpc_handlers_t handlers = {
	    on_leave_head, on_leave_data, on_leave_end};
	dff_httpc_call_t call = {.addr = engine->settings->platform,
	    .method = "POST",
	    .path = "/weights",
	    .content_type = "application/json",
	    .silence = ASK_SILENCE};
	dff_engine_state_t state;
	asking_t *asking;
	json_t *body;
	char *text;

	if (engine->settings->platform[0] == '\0') {
		dff_engine_model_leave(engine->model, 0, dff_program_now());
		return;
	}
	dff_engine_model_state(engine->model, &state);
	body = json_pack(
	    "{s:s,s:s}", "model", state.model, "engine", engine->settings->id);
	text = json_dumps(body, JSON_COMPACT);
	call.body = text;
	call.len = strlen(text);
	asking = g_new0(asking_t, 1);
	asking->engine = engine;
	asking->body = g_string_new(NULL);
	(void)dff_httpc_start(engine->client, &call, &handlers, asking);
	free(text);
	json_decref(body);
}

static void
carry_out_one(engine_t *engine, const dff_engine_out_t *item)
{
	switch (item->type) {
	case DFF_ENGINE_OUT_TOKEN:
		write_token(engine, item);
		break;
	case DFF_ENGINE_OUT_END:
		write_end(engine, item);
		break;
	case DFF_ENGINE_OUT_BROKEN:
		break_off(engine, item->id);
		break;
	case DFF_ENGINE_OUT_LEAVE:
		ask_leave(engine);
		break;
	case DFF_ENGINE_OUT_CRASH:
		dff_log(
		    engine->standin.ctx, DFF_LOG_WARNING, "engine", "crashed");
		standin_vanish(&engine->standin);
		break;
	case DFF_ENGINE_OUT_BACK:
		dff_log(
		    engine->standin.ctx, DFF_LOG_NOTICE, "engine", "is back");
		(void)standin_open(&engine->standin);
		break;
	}
}

static void
carry_out(engine_t *engine)
{
	for (guint i = 0; i < engine->out->len; i++) {
		carry_out_one(
		    engine, &g_array_index(engine->out, dff_engine_out_t, i));
	}
	g_array_set_size(engine->out, 0);
}

static void
on_timer(uv_timer_t *timer)
{
	engine_t *engine = timer->data;
	dff_time_t now = dff_program_now();

	dff_engine_model_advance(
	    engine->standin.ctx, engine->model, now, engine->out);
	if (engine->crash_asked) {
		engine->crash_asked = false;
		dff_engine_model_crash(engine->model, now, engine->out);
	}
	carry_out(engine);
	set_timer(engine);
}

/* ---- import of KV cache ---- */

static void
refuse_import(generation_t *generation)
{
	engine_t *engine = generation->engine;

	dff_engine_model_cancel(
	    engine->model, generation->id, dff_program_now());
	standin_answer_error(generation->req, 409, "kv", 0);
	forget(engine, generation);
}

static uint32_t
kv_pieces(const generation_t *generation)
{
	return (uint32_t)(generation->kv_bytes / KV_PIECE_BYTES);
}

static void
on_link(uv_timer_t *timer)
{
	generation_t *generation = timer->data;
	engine_t *engine = generation->engine;

	if (dff_engine_model_import(engine->model, generation->id,
		kv_pieces(generation), dff_program_now()) < 0) {
		refuse_import(generation);
		return;
	}
	dff_httpd_begin(generation->req, 200, "application/x-ndjson");
	set_timer(engine);
}

static void
on_fetch_head(void *arg, dff_httpc_req_t *req, int status)
{
	generation_t *generation = arg;
	const char *domain = dff_httpc_header(req, "x-domain");

	generation->fetched_well = status == 200;
	generation->near = domain != NULL &&
	    strcmp(domain, generation->engine->settings->domain) == 0;
}

static void
on_fetch_data(void *arg, dff_httpc_req_t *req, const char *data, size_t len)
{
	generation_t *generation = arg;

	(void)req;
	(void)data;
	generation->kv_bytes += len;
}

static void
on_fetch_end(void *arg, dff_httpc_req_t *req, dff_httpc_end_t end)
{
	generation_t *generation = arg;
	engine_t *engine = generation->engine;
	dff_time_t time;

	(void)req;
	generation->fetch = NULL;
	if (end != DFF_HTTPC_DONE || !generation->fetched_well) {
		refuse_import(generation);
		return;
	}
	time = dff_engine_model_link_time(
	    engine->model, kv_pieces(generation), generation->near);
	generation->link = g_new0(uv_timer_t, 1);
	(void)uv_timer_init(engine->standin.loop, generation->link);
	generation->link->data = generation;
	(void)uv_timer_start(
	    generation->link, on_link, (uint64_t)(time / DFF_MSEC), 0);
}

static int
fetch_kv(generation_t *generation, const char *addr, uint64_t kv_id)
{
	static const dff_httpc_handlers_t handlers = {
	    on_fetch_head, on_fetch_data, on_fetch_end};
	dff_httpc_call_t call = {.addr = addr,
	    .method = "POST",
	    .path = "/v1/kv/export",
	    .content_type = "application/json",
	    .silence = ASK_SILENCE};
	char body[64];

	call.body = body;
	call.len = (size_t)g_snprintf(
	    body, sizeof(body), "{\"id\":%" PRId64 "}", (int64_t)kv_id);
	generation->fetch = dff_httpc_start(
	    generation->engine->client, &call, &handlers, generation);
	return generation->fetch != NULL ? 0 : -EINVAL;
}

/* ---- calls ---- */

static dff_phase_t
phase_of(const char *text)
{
	if (strcmp(text, "prefill") == 0)
		return DFF_PHASE_PREFILL;
	if (strcmp(text, "decode") == 0)
		return DFF_PHASE_DECODE;
	return DFF_PHASE_WHOLE;
}

static generation_t *
remember(engine_t *engine, uint64_t id, dff_httpd_req_t *req)
{
	generation_t *generation;

	generation = g_new0(generation_t, 1);
	generation->engine = engine;
	generation->id = id;
	generation->req = req;
	g_hash_table_insert(engine->open, &generation->id, generation);
	dff_httpd_set_data(req, generation);
	return generation;
}

static void
refuse(dff_httpd_req_t *req, dff_engine_verdict_t verdict)
{
	bool come_back =
	    verdict == DFF_ENGINE_AWAY || verdict == DFF_ENGINE_FULL;

	standin_answer_error(req, come_back ? 503 : 409,
	    dff_engine_verdict_name(verdict), come_back ? DFF_SEC : 0);
}

static void
begin(engine_t *engine, dff_httpd_req_t *req, const json_t *body,
    const dff_engine_request_t *request)
{
	generation_t *generation = remember(engine, request->id, req);

	set_timer(engine);
	if (request->phase != DFF_PHASE_DECODE) {
		dff_httpd_begin(req, 200, "application/x-ndjson");
		return;
	}
	if (fetch_kv(generation, standin_text(body, "kv_addr"),
		(uint64_t)standin_number(body, "kv_id", 0)) < 0)
		refuse_import(generation);
}

static dff_engine_verdict_t
submit(engine_t *engine, const json_t *body, dff_engine_request_t *request)
{
	const char *poison = engine->settings->poison;
	const char *prompt = standin_text(body, "prompt");
	const char *model = standin_text(body, "model");
	uint64_t prefix[DFF_PREFIX_MAX];
	size_t len = strlen(prompt);

	if (engine->standin.stopping)
		return DFF_ENGINE_AWAY;
	request->id = (uint64_t)standin_number(body, "id", 0);
	if (request->id == 0)
		request->id = ++engine->last_id;
	request->model = model;
	request->prompt_hash = dff_model_prompt_hash(model, prompt, len);
	request->prompt_tokens = dff_model_prompt_tokens(len);
	request->max_tokens =
	    (uint32_t)CLAMP(standin_number(body, "max_tokens", 16), 1, 1 << 20);
	request->resume_at =
	    (uint32_t)CLAMP(standin_number(body, "resume_at", 0), 0, 1 << 20);
	request->priority =
	    (uint32_t)CLAMP(standin_number(body, "priority", 0), 0, 1 << 20);
	request->phase = phase_of(standin_text(body, "phase"));
	request->prefix = prefix;
	request->prefix_count = dff_model_prefix(prompt, len, prefix);
	request->poison = poison[0] != '\0' && strstr(prompt, poison) != NULL;
	return dff_engine_model_submit(
	    engine->standin.ctx, engine->model, request, dff_program_now());
}

static void
on_generate(engine_t *engine, dff_httpd_req_t *req)
{
	dff_engine_request_t request = {0};
	dff_engine_verdict_t verdict;
	json_t *body;

	body = standin_body(req);
	if (body == NULL)
		return;
	verdict = submit(engine, body, &request);
	dff_log(engine->standin.ctx, DFF_LOG_INFO, "generate",
	    "request id=%" PRIu64 " verdict=%s prompt=%" PRIu32 " max=%" PRIu32
	    " resume_at=%" PRIu32,
	    request.id, dff_engine_verdict_name(verdict), request.prompt_tokens,
	    request.max_tokens, request.resume_at);
	if (verdict == DFF_ENGINE_TAKEN)
		begin(engine, req, body, &request);
	else
		refuse(req, verdict);
	json_decref(body);
}

static void
on_load(engine_t *engine, dff_httpd_req_t *req)
{
	const dff_engine_config_t *config;
	dff_time_t now = dff_program_now();
	dff_engine_report_t report;

	config = dff_engine_model_config(engine->model);
	dff_engine_model_report(engine->model, now, &report);
	standin_answer(req, 200,
	    json_pack("{s:I,s:I,s:s,s:b,s:s,s:i,s:i,s:i,s:I,s:i,s:i,s:f,s:f,"
		      "s:I}",
		"incarnation", (json_int_t)report.incarnation, "age_ms",
		(json_int_t)((now - report.taken) / DFF_MSEC), "role",
		dff_role_name(report.role), "changing", (int)report.changing,
		"model", report.model, "version", (int)report.version,
		"running", (int)report.running, "waiting", (int)report.waiting,
		"backlog_tokens", (json_int_t)report.backlog_tokens,
		"free_pieces", (int)report.free_pieces, "total_pieces",
		(int)config->pieces, "token_us", report.token_us, "prefill_us",
		config->prefill_us, "fence", (json_int_t)report.fence));
}

static json_t *
hash_list(GArray *hashes)
{
	json_t *list = json_array();

	for (guint i = 0; i < hashes->len; i++) {
		char text[17];

		g_snprintf(text, sizeof(text), "%016" PRIx64,
		    g_array_index(hashes, uint64_t, i));
		json_array_append_new(list, json_string(text));
	}
	g_array_unref(hashes);
	return list;
}

static void
on_cache(engine_t *engine, dff_httpd_req_t *req)
{
	GArray *stored = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const char *since = dff_httpd_query(req, "since");
	dff_engine_state_t state;
	uint64_t next;
	bool gap;

	next = dff_engine_model_cache(engine->model,
	    since != NULL ? g_ascii_strtoull(since, NULL, 10) : 0,
	    dff_program_now(), stored, evicted, &gap);
	dff_engine_model_state(engine->model, &state);
	standin_answer(req, 200,
	    json_pack("{s:I,s:I,s:b,s:o,s:o}", "incarnation",
		(json_int_t)state.incarnation, "next", (json_int_t)next, "gap",
		(int)gap, "stored", hash_list(stored), "evicted",
		hash_list(evicted)));
}

static void
on_state(engine_t *engine, dff_httpd_req_t *req)
{
	dff_engine_state_t state;

	dff_engine_model_state(engine->model, &state);
	standin_answer(req, 200,
	    json_pack("{s:I,s:s,s:s,s:i,s:s,s:b,s:i,s:I,s:I}", "incarnation",
		(json_int_t)state.incarnation, "role",
		dff_role_name(state.role), "model", state.model, "version",
		(int)state.version, "adapter", state.adapter, "changing",
		(int)state.changing, "running", (int)state.running,
		"last_order", (json_int_t)state.last_order, "fence",
		(json_int_t)state.fence));
}

static int
order_kind(const char *text)
{
	for (int kind = DFF_ORDER_ROLE; kind <= DFF_ORDER_VERSION; kind++) {
		if (strcmp(text, dff_order_kind_name(kind)) == 0)
			return kind;
	}
	return -EINVAL;
}

static void
answer_order(engine_t *engine, dff_httpd_req_t *req, dff_order_answer_t answer)
{
	dff_engine_state_t state;

	switch (answer) {
	case DFF_ORDER_ACCEPTED:
		standin_answer(req, 202, json_pack("{s:b}", "accepted", 1));
		return;
	case DFF_ORDER_FENCED:
		dff_engine_model_state(engine->model, &state);
		standin_answer(req, 409,
		    json_pack("{s:s,s:I}", "error", "fenced", "fence",
			(json_int_t)state.fence));
		return;
	case DFF_ORDER_BUSY:
		standin_answer_error(req, 409, "busy", 0);
		return;
	case DFF_ORDER_REFUSED:
	case DFF_ORDER_NOT_SENT:
	case DFF_ORDER_UNKNOWN:
		standin_answer_error(req, 422, "refused", 0);
		return;
	}
}

static void
on_order(engine_t *engine, dff_httpd_req_t *req)
{
	dff_order_answer_t answer = DFF_ORDER_REFUSED;
	json_t *body;
	int kind;

	body = standin_body(req);
	if (body == NULL)
		return;
	kind = order_kind(standin_text(body, "kind"));
	if (kind >= 0) {
		answer = dff_engine_model_order(engine->model,
		    (uint64_t)standin_number(body, "order", 0),
		    (uint64_t)standin_number(body, "fence", 0),
		    (dff_order_kind_t)kind, standin_text(body, "target"),
		    dff_program_now(), engine->out);
	}
	dff_log(engine->standin.ctx, DFF_LOG_NOTICE, "order",
	    "order=%" PRId64 " fence=%" PRId64 " kind=%s target=%s answer=%s",
	    (int64_t)standin_number(body, "order", 0),
	    (int64_t)standin_number(body, "fence", 0),
	    standin_text(body, "kind"), standin_text(body, "target"),
	    dff_order_answer_name(answer));
	answer_order(engine, req, answer);
	json_decref(body);
	carry_out(engine);
	set_timer(engine);
}

static void
on_export(engine_t *engine, dff_httpd_req_t *req)
{
	uint32_t pieces;
	dff_time_t time;
	json_t *body;
	char *bytes;

	body = standin_body(req);
	if (body == NULL)
		return;
	time = dff_engine_model_export(engine->model,
	    (uint64_t)standin_number(body, "id", 0), dff_program_now(),
	    &pieces);
	json_decref(body);
	if (time < 0) {
		standin_answer_error(req, 404, "kv", 0);
		return;
	}
	dff_httpd_add_header(req, "x-domain", engine->settings->domain);
	bytes = g_malloc0((size_t)pieces * KV_PIECE_BYTES);
	standin_answer_later(&engine->standin, req, 200,
	    "application/octet-stream", bytes, (size_t)pieces * KV_PIECE_BYTES,
	    time);
	g_free(bytes);
	set_timer(engine);
}

/* What the engine received, for tests. */
static void
on_journal(engine_t *engine, dff_httpd_req_t *req)
{
	json_t *list = json_array();
	const dff_engine_note_t *notes;
	size_t count;

	notes = dff_engine_model_journal(engine->model, &count);
	for (size_t i = 0; i < count; i++) {
		if (notes[i].type != DFF_ENGINE_NOTE_ORDER)
			continue;
		json_array_append_new(list,
		    json_pack("{s:I,s:I,s:I,s:s,s:s,s:s}", "incarnation",
			(json_int_t)notes[i].incarnation, "order",
			(json_int_t)notes[i].order, "fence",
			(json_int_t)notes[i].fence, "kind",
			dff_order_kind_name(notes[i].kind), "target",
			notes[i].target, "answer",
			dff_order_answer_name(notes[i].answer)));
	}
	standin_answer(req, 200, json_pack("{s:o}", "orders", list));
}

static void
on_control(engine_t *engine, dff_httpd_req_t *req)
{
	if (standin_is(req, "GET", "/control/journal")) {
		on_journal(engine, req);
		return;
	}
	if (standin_is(req, "POST", "/control/crash-in-change"))
		dff_engine_model_crash_in_change(engine->model);
	else if (standin_is(req, "POST", "/control/crash"))
		/* Not from inside a handler of the server it drops. */
		engine->crash_asked = true;
	else {
		standin_answer_error(req, 404, "unknown", 0);
		return;
	}
	standin_answer(req, 200, json_object());
	set_timer(engine);
}

static void
on_request(void *arg, dff_httpd_req_t *req)
{
	engine_t *engine = arg;

	if (standin_is(req, "POST", "/v1/generate"))
		on_generate(engine, req);
	else if (standin_is(req, "GET", "/v1/load"))
		on_load(engine, req);
	else if (standin_is(req, "GET", "/v1/cache"))
		on_cache(engine, req);
	else if (standin_is(req, "GET", "/v1/state"))
		on_state(engine, req);
	else if (standin_is(req, "POST", "/v1/orders"))
		on_order(engine, req);
	else if (standin_is(req, "POST", "/v1/kv/export"))
		on_export(engine, req);
	else if (g_str_has_prefix(dff_httpd_path(req), "/control/"))
		on_control(engine, req);
	else
		standin_answer_error(req, 404, "unknown", 0);
}

static void
on_gone(void *arg, dff_httpd_req_t *req)
{
	engine_t *engine = arg;
	generation_t *generation = dff_httpd_data(req);

	standin_forget(&engine->standin, req);
	if (generation == NULL)
		return;
	dff_log(engine->standin.ctx, DFF_LOG_INFO, "generate",
	    "cancelled id=%" PRIu64, generation->id);
	dff_engine_model_cancel(
	    engine->model, generation->id, dff_program_now());
	forget(engine, generation);
	set_timer(engine);
}

/* ---- life ---- */

static void
fill_config(const settings_t *settings, dff_engine_config_t *config)
{
	dff_engine_config_defaults(config);
	config->incarnation = settings->incarnation != 0 ?
	    (uint64_t)settings->incarnation :
	    dff_program_wall_ms();
	config->role = (dff_role_t)dff_role_parse(settings->role);
	(void)dff_name_copy(config->model, settings->model);
	config->version = (uint32_t)settings->model_version;
	config->check_fence = settings->check_fence;
	config->cut_on_order = settings->cut_on_order;
	config->pieces = (uint32_t)settings->pieces;
	config->batch_max = (uint32_t)settings->batch;
	config->queue_max = (uint32_t)settings->queue;
	config->chunk_tokens = (uint32_t)settings->chunk;
	config->prefill_us = settings->prefill_us;
	config->step_us = settings->step_us;
	config->request_us = settings->request_us;
	config->role_away = settings->role_away;
	config->load_away = settings->load_away;
	config->restart_away = settings->restart_away;
	config->report_lag = settings->report_lag;
	config->cache_lag = settings->cache_lag;
	config->cache_loss = settings->cache_loss;
	config->output_mean = (uint32_t)settings->output_mean;
}

static void
set_standin(engine_t *engine)
{
	standin_t *standin = &engine->standin;

	standin->ctx = dff_program_ctx(
	    engine->settings->id, (uint32_t)engine->settings->seed);
	standin->loop = uv_default_loop();
	standin->addr = engine->settings->addr;
	standin->drain_time = engine->settings->drain_time;
	standin->handlers.request = on_request;
	standin->handlers.gone = on_gone;
	standin->arg = engine;
}

static int
run(const settings_t *settings)
{
	engine_t engine = {.settings = settings};
	dff_engine_config_t config;
	int err;

	fill_config(settings, &config);
	set_standin(&engine);
	engine.model = dff_engine_model_new(
	    engine.standin.ctx, &config, dff_program_now());
	if (settings->crash_in_change)
		dff_engine_model_crash_in_change(engine.model);
	engine.client = dff_httpc_new(engine.standin.ctx, engine.standin.loop);
	engine.out = g_array_new(FALSE, TRUE, sizeof(dff_engine_out_t));
	engine.open = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_generation);
	(void)uv_timer_init(engine.standin.loop, &engine.timer);
	engine.timer.data = &engine;
	err = standin_start(&engine.standin);
	if (err == 0)
		(void)uv_run(engine.standin.loop, UV_RUN_DEFAULT);
	g_hash_table_unref(engine.open);
	standin_drop(&engine.standin);
	dff_httpc_drop(engine.client);
	dff_engine_model_drop(engine.model);
	g_array_unref(engine.out);
	dff_ctx_drop(engine.standin.ctx);
	return err == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
	settings_t s = {0};
	const dff_setting_t settings[] = {
	    {"addr", DFF_SETTING_ADDR, &s.addr, NULL, 0, 0, NULL, NULL,
		"where it listens"},
	    {"id", DFF_SETTING_TEXT, &s.id, "engine", 0, 0, NULL, NULL,
		"VM id"},
	    {"domain", DFF_SETTING_TEXT, &s.domain, "a", 0, 0, NULL, NULL,
		"failure domain"},
	    {"platform", DFF_SETTING_TEXT, &s.platform, "", 0, 0, NULL, NULL,
		"address of the weight store; none gives leave at once"},
	    {"role", DFF_SETTING_CHOICE, &s.role, "mixed", 0, 0,
		"mixed|prefill|decode", NULL, "role at its start"},
	    {"model", DFF_SETTING_TEXT, &s.model, "model", 0, 0, NULL, NULL,
		"model loaded at its start"},
	    {"model-version", DFF_SETTING_INT, &s.model_version, "1", 1, 1e9,
		NULL, NULL, "version of that model"},
	    {"poison", DFF_SETTING_TEXT, &s.poison, "", 0, 0, NULL, NULL,
		"a prompt with this word crashes it; none does"},
	    {"incarnation", DFF_SETTING_INT, &s.incarnation, "0", 0, 9e15, NULL,
		NULL, "of this process; 0 takes the wall clock"},
	    {"check-fence", DFF_SETTING_FLAG, &s.check_fence, "false", 0, 0,
		NULL, NULL, "refuse orders with an old fencing number"},
	    {"cut-on-order", DFF_SETTING_FLAG, &s.cut_on_order, "false", 0, 0,
		NULL, NULL, "an order cuts running requests"},
	    {"crash-in-change", DFF_SETTING_FLAG, &s.crash_in_change, "false",
		0, 0, NULL, NULL, "crash in the first change"},
	    {"pieces", DFF_SETTING_INT, &s.pieces, "1000", 1, 1e7, NULL,
		"pieces", "memory"},
	    {"batch", DFF_SETTING_INT, &s.batch, "32", 1, 10000, NULL,
		"requests", "requests in the batch"},
	    {"queue", DFF_SETTING_INT, &s.queue, "256", 1, 100000, NULL,
		"requests", "requests that wait for the batch"},
	    {"chunk", DFF_SETTING_INT, &s.chunk, "512", 1, 1e6, NULL, "tokens",
		"prompt tokens prefilled in one step"},
	    {"prefill-us", DFF_SETTING_REAL, &s.prefill_us, "60", 0, 1e6, NULL,
		"us", "time to prefill one token"},
	    {"step-us", DFF_SETTING_REAL, &s.step_us, "12000", 1, 1e7, NULL,
		"us", "time of a step with an empty batch"},
	    {"request-us", DFF_SETTING_REAL, &s.request_us, "400", 0, 1e6, NULL,
		"us", "time that each decoding request adds to a step"},
	    {"role-away", DFF_SETTING_MSEC, &s.role_away, "4000", 0, 600000,
		NULL, "ms", "time away for a change of role"},
	    {"load-away", DFF_SETTING_MSEC, &s.load_away, "15000", 0, 600000,
		NULL, "ms", "time away for a load of weights"},
	    {"restart-away", DFF_SETTING_MSEC, &s.restart_away, "10000", 0,
		600000, NULL, "ms", "time away after a crash"},
	    {"report-lag", DFF_SETTING_MSEC, &s.report_lag, "500", 0, 60000,
		NULL, "ms", "age of load reports"},
	    {"cache-lag", DFF_SETTING_MSEC, &s.cache_lag, "1000", 0, 60000,
		NULL, "ms", "age of cache events"},
	    {"cache-loss", DFF_SETTING_REAL, &s.cache_loss, "0.02", 0, 1, NULL,
		"share", "cache events that are lost"},
	    {"output-mean", DFF_SETTING_INT, &s.output_mean, "0", 0, 1e6, NULL,
		"tokens", "mean of answers that end by themselves; 0: none do"},
	    {"seed", DFF_SETTING_INT, &s.seed, "1", 0, 4294967295.0, NULL, NULL,
		"seed of its random numbers"},
	    {"drain-time", DFF_SETTING_MSEC, &s.drain_time, "30000", 0, 600000,
		NULL, "ms", "bound on a graceful stop"},
	    {NULL, DFF_SETTING_TEXT, NULL, NULL, 0, 0, NULL, NULL, NULL}};
	int status;
	int err;

	err = dff_settings_load(
	    "Stand-in for a model engine.", settings, &argc, &argv);
	if (err != 0)
		return err > 0 ? EXIT_SUCCESS : 2;
	status = run(&s);
	dff_settings_drop(settings);
	return status;
}
