/*
 * HTTP requests of the engine stand-in.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "engine_internal.h"

static dff_phase_t
parse_phase(const char *text)
{
	if (strcmp(text, "prefill") == 0)
		return DFF_PHASE_PREFILL;
	if (strcmp(text, "decode") == 0)
		return DFF_PHASE_DECODE;
	return DFF_PHASE_WHOLE;
}

static generation_t *
add_generation(engine_t *engine, uint64_t id, dff_httpd_req_t *req)
{
	generation_t *generation;

	generation = g_new0(generation_t, 1);
	generation->engine = engine;
	generation->id = id;
	generation->req = req;
	g_hash_table_insert(engine->generations, &generation->id, generation);
	dff_httpd_set_data(req, generation);
	return generation;
}

static void
refuse(dff_httpd_req_t *req, dff_engine_submit_result_t result)
{
	bool retryable =
	    result == DFF_ENGINE_UNAVAILABLE || result == DFF_ENGINE_FULL;

	standin_answer_error(req, retryable ? 503 : 409,
	    dff_engine_submit_result_name(result), retryable ? DFF_SEC : 0);
}

static void
begin(engine_t *engine, dff_httpd_req_t *req, const json_t *body,
    const dff_engine_request_t *request)
{
	generation_t *generation = add_generation(engine, request->id, req);

	engine_set_timer(engine);
	if (request->phase != DFF_PHASE_DECODE) {
		dff_httpd_begin(req, 200, "application/x-ndjson");
		return;
	}
	if (engine_fetch_kv(generation, standin_get_string(body, "kv_addr"),
		(uint64_t)standin_get_int(body, "kv_id", 0)) < 0)
		engine_fail_import(generation);
}

static dff_engine_submit_result_t
submit(engine_t *engine, const json_t *body, dff_engine_request_t *request)
{
	const char *poison = engine->settings->poison;
	const char *prompt = standin_get_string(body, "prompt");
	const char *model = standin_get_string(body, "model");
	uint64_t prefix[DFF_PREFIX_BLOCKS_MAX];
	size_t len = strlen(prompt);

	if (engine->standin.stopping)
		return DFF_ENGINE_UNAVAILABLE;
	request->id = (uint64_t)standin_get_int(body, "id", 0);
	if (request->id == 0)
		request->id = ++engine->last_id;
	request->model = model;
	request->prompt_hash = dff_model_prompt_hash(model, prompt, len);
	request->prompt_tokens = dff_model_prompt_tokens(len);
	request->max_tokens = (uint32_t)CLAMP(
	    standin_get_int(body, "max_tokens", 16), 1, 1 << 20);
	request->resume_at =
	    (uint32_t)CLAMP(standin_get_int(body, "resume_at", 0), 0, 1 << 20);
	request->priority =
	    (uint32_t)CLAMP(standin_get_int(body, "priority", 0), 0, 1 << 20);
	request->phase = parse_phase(standin_get_string(body, "phase"));
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
	dff_engine_submit_result_t result;
	json_t *body;

	body = standin_parse_body(req);
	if (body == NULL)
		return;
	result = submit(engine, body, &request);
	dff_log(engine->standin.ctx, DFF_LOG_INFO, "generate",
	    "request id=%" PRIu64 " verdict=%s prompt=%" PRIu32 " max=%" PRIu32
	    " resume_at=%" PRIu32,
	    request.id, dff_engine_submit_result_name(result),
	    request.prompt_tokens, request.max_tokens, request.resume_at);
	if (result == DFF_ENGINE_ACCEPTED)
		begin(engine, req, body, &request);
	else
		refuse(req, result);
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
		(json_int_t)((now - report.sampled_at) / DFF_MSEC), "role",
		dff_role_name(report.role), "changing",
		(int)report.reconfiguring, "model", report.model, "version",
		(int)report.version, "running", (int)report.running, "waiting",
		(int)report.waiting, "backlog_tokens",
		(json_int_t)report.backlog_tokens, "free_pieces",
		(int)report.free_pieces, "total_pieces", (int)config->pieces,
		"token_us", report.token_us, "prefill_us", config->prefill_us,
		"fence", (json_int_t)report.fence));
}

static json_t *
hashes_to_json(GArray *hashes)
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

	next = dff_engine_model_cache_events(engine->model,
	    since != NULL ? g_ascii_strtoull(since, NULL, 10) : 0,
	    dff_program_now(), stored, evicted, &gap);
	dff_engine_model_state(engine->model, &state);
	standin_answer(req, 200,
	    json_pack("{s:I,s:I,s:b,s:o,s:o}", "incarnation",
		(json_int_t)state.incarnation, "next", (json_int_t)next, "gap",
		(int)gap, "stored", hashes_to_json(stored), "evicted",
		hashes_to_json(evicted)));
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
		(int)state.reconfiguring, "running", (int)state.running,
		"last_order", (json_int_t)state.last_order, "fence",
		(json_int_t)state.fence));
}

static int
parse_order_kind(const char *text)
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

	body = standin_parse_body(req);
	if (body == NULL)
		return;
	kind = parse_order_kind(standin_get_string(body, "kind"));
	if (kind >= 0) {
		answer = dff_engine_model_order(engine->model,
		    (uint64_t)standin_get_int(body, "order", 0),
		    (uint64_t)standin_get_int(body, "fence", 0),
		    (dff_order_kind_t)kind, standin_get_string(body, "target"),
		    dff_program_now(), engine->outputs);
	}
	dff_log(engine->standin.ctx, DFF_LOG_NOTICE, "order",
	    "order=%" PRId64 " fence=%" PRId64 " kind=%s target=%s answer=%s",
	    (int64_t)standin_get_int(body, "order", 0),
	    (int64_t)standin_get_int(body, "fence", 0),
	    standin_get_string(body, "kind"),
	    standin_get_string(body, "target"), dff_order_answer_name(answer));
	answer_order(engine, req, answer);
	json_decref(body);
	engine_apply_outputs(engine);
	engine_set_timer(engine);
}

static void
on_export(engine_t *engine, dff_httpd_req_t *req)
{
	uint32_t pieces;
	dff_time_t time;
	json_t *body;
	char *bytes;

	body = standin_parse_body(req);
	if (body == NULL)
		return;
	time = dff_engine_model_export(engine->model,
	    (uint64_t)standin_get_int(body, "id", 0), dff_program_now(),
	    &pieces);
	json_decref(body);
	if (time < 0) {
		standin_answer_error(req, 404, "kv", 0);
		return;
	}
	dff_httpd_add_header(req, "x-domain", engine->settings->domain);
	bytes = g_malloc0((size_t)pieces * KV_PIECE_BYTES);
	standin_answer_delayed(&engine->standin, req, 200,
	    "application/octet-stream", bytes, (size_t)pieces * KV_PIECE_BYTES,
	    time);
	g_free(bytes);
	engine_set_timer(engine);
}

/* List the orders that the engine received, for tests. */
static void
on_journal(engine_t *engine, dff_httpd_req_t *req)
{
	json_t *list = json_array();
	const dff_engine_journal_entry_t *notes;
	size_t count;

	notes = dff_engine_model_journal(engine->model, &count);
	for (size_t i = 0; i < count; i++) {
		if (notes[i].type != DFF_ENGINE_JOURNAL_ORDER)
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
	if (standin_request_is(req, "GET", "/control/journal")) {
		on_journal(engine, req);
		return;
	}
	if (standin_request_is(req, "POST", "/control/crash-in-change"))
		dff_engine_model_crash_next_reconfig(engine->model);
	else if (standin_request_is(req, "POST", "/control/crash"))
		/* The crash drops the server, which must not happen inside
		 * one of its handlers: the timer does it. */
		engine->crash_requested = true;
	else {
		standin_answer_error(req, 404, "unknown", 0);
		return;
	}
	standin_answer(req, 200, json_object());
	engine_set_timer(engine);
}

void
engine_on_request(void *arg, dff_httpd_req_t *req)
{
	engine_t *engine = arg;

	if (standin_request_is(req, "POST", "/v1/generate"))
		on_generate(engine, req);
	else if (standin_request_is(req, "GET", "/v1/load"))
		on_load(engine, req);
	else if (standin_request_is(req, "GET", "/v1/cache"))
		on_cache(engine, req);
	else if (standin_request_is(req, "GET", "/v1/state"))
		on_state(engine, req);
	else if (standin_request_is(req, "POST", "/v1/orders"))
		on_order(engine, req);
	else if (standin_request_is(req, "POST", "/v1/kv/export"))
		on_export(engine, req);
	else if (g_str_has_prefix(dff_httpd_path(req), "/control/"))
		on_control(engine, req);
	else
		standin_answer_error(req, 404, "unknown", 0);
}

void
engine_on_disconnect(void *arg, dff_httpd_req_t *req)
{
	engine_t *engine = arg;
	generation_t *generation = dff_httpd_data(req);

	standin_cancel_delayed(&engine->standin, req);
	if (generation == NULL)
		return;
	dff_log(engine->standin.ctx, DFF_LOG_INFO, "generate",
	    "request cancelled id=%" PRIu64, generation->id);
	dff_engine_model_cancel(
	    engine->model, generation->id, dff_program_now());
	engine_remove_generation(engine, generation);
	engine_set_timer(engine);
}
