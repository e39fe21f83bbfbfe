/*
 * Runs the model of the engine stand-in: its timer, its outputs as lines of
 * answers, and requests to the weight store before weights are loaded.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "engine_internal.h"

/* Delay of a retry where the weight store gave no answer or no delay. */
#define WEIGHTS_RETRY_TIME (1 * DFF_SEC)

void
engine_set_timer(engine_t *engine)
{
	dff_time_t next = dff_engine_model_next(engine->model);
	dff_time_t wait;

	if (engine->crash_requested)
		next = dff_program_now();
	if (next == DFF_TIME_NEVER) {
		(void)uv_timer_stop(&engine->timer);
		return;
	}
	wait = dff_program_time_until(next);
	uv_update_time(engine->standin.loop);
	(void)uv_timer_start(&engine->timer, engine_on_timer,
	    (uint64_t)((wait + DFF_MSEC - 1) / DFF_MSEC), 0);
}

/* ---- running requests ---- */

static void
on_transfer_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

void
engine_free_generation(gpointer data)
{
	generation_t *generation = data;

	if (generation->fetch != NULL)
		dff_httpc_cancel(generation->fetch);
	if (generation->transfer_timer != NULL)
		uv_close((uv_handle_t *)generation->transfer_timer,
		    on_transfer_timer_closed);
	g_free(generation);
}

void
engine_remove_generation(engine_t *engine, generation_t *generation)
{
	uint64_t id = generation->id;

	dff_httpd_set_data(generation->req, NULL);
	g_hash_table_remove(engine->generations, &id);
}

static generation_t *
find_generation(engine_t *engine, uint64_t id)
{
	return g_hash_table_lookup(engine->generations, &id);
}

/* ---- outputs of the model ---- */

static void
write_token(engine_t *engine, const dff_engine_out_t *output)
{
	generation_t *generation = find_generation(engine, output->id);
	char text[DFF_TOKEN_TEXT_MAX];
	char line[64];
	int len;

	if (generation == NULL)
		return;
	(void)dff_model_token(output->prompt_hash, output->index, text);
	len = g_snprintf(line, sizeof(line),
	    "{\"i\":%" PRIu32 ",\"t\":\"%s\"}\n", output->index, text);
	dff_httpd_write(generation->req, line, (size_t)len);
}

static void
finish_answer(engine_t *engine, const dff_engine_out_t *output)
{
	generation_t *generation = find_generation(engine, output->id);
	char line[128];
	int len;

	if (generation == NULL)
		return;
	len = g_snprintf(line, sizeof(line),
	    "{\"end\":\"%s\",\"prompt\":%" PRIu32 ",\"cached\":%" PRIu32
	    ",\"output\":%" PRIu32 "}\n",
	    output->finish == DFF_FINISH_STOP ? "stop" : "length",
	    output->prompt_tokens, output->cached_tokens,
	    output->output_tokens);
	dff_httpd_write(generation->req, line, (size_t)len);
	dff_httpd_end(generation->req);
	engine_remove_generation(engine, generation);
}

static void
abort_answer(engine_t *engine, uint64_t id)
{
	generation_t *generation = find_generation(engine, id);

	if (generation == NULL)
		return;
	dff_httpd_abort(generation->req);
	engine_remove_generation(engine, generation);
}

/* ---- requests to the weight store ---- */

typedef struct weights_request {
	engine_t *engine;
	int status;
	GString *body;
} weights_request_t;

static void
on_weights_head(void *arg, dff_httpc_req_t *req, int status)
{
	weights_request_t *request = arg;

	(void)req;
	request->status = status;
}

static void
on_weights_data(void *arg, dff_httpc_req_t *req, const char *data, size_t len)
{
	weights_request_t *request = arg;

	(void)req;
	g_string_append_len(request->body, data, (gssize)len);
}

static dff_time_t
weights_delay(const weights_request_t *request, dff_httpc_end_t end)
{
	dff_time_t wait;
	json_t *body;

	if (end != DFF_HTTPC_DONE)
		return WEIGHTS_RETRY_TIME;
	if (request->status == 200)
		return 0;
	body = json_loadb(request->body->str, request->body->len, 0, NULL);
	wait = standin_get_int(body, "retry_after_ms", 0) * DFF_MSEC;
	json_decref(body);
	return wait > 0 ? wait : WEIGHTS_RETRY_TIME;
}

static void
on_weights_end(void *arg, dff_httpc_req_t *req, dff_httpc_end_t end)
{
	weights_request_t *request = arg;
	engine_t *engine = request->engine;
	dff_time_t wait = weights_delay(request, end);

	(void)req;
	dff_log(engine->standin.ctx, DFF_LOG_INFO, "weights",
	    "weight store answered wait_ms=%" PRId64,
	    (int64_t)(wait / DFF_MSEC));
	dff_engine_model_load_reply(engine->model, wait, dff_program_now());
	g_string_free(request->body, TRUE);
	g_free(request);
	engine_set_timer(engine);
}

static void
request_weights(engine_t *engine)
{
	static const dff_httpc_handlers_t handlers = {
	    on_weights_head, on_weights_data, on_weights_end};
	dff_httpc_call_t call = {.addr = engine->settings->platform,
	    .method = "POST",
	    .path = "/weights",
	    .content_type = "application/json",
	    .idle_timeout = CLIENT_IDLE_TIMEOUT};
	dff_engine_state_t state;
	weights_request_t *request;
	json_t *body;
	char *text;

	if (engine->settings->platform[0] == '\0') {
		dff_engine_model_load_reply(
		    engine->model, 0, dff_program_now());
		return;
	}
	dff_engine_model_state(engine->model, &state);
	body = json_pack(
	    "{s:s,s:s}", "model", state.model, "engine", engine->settings->id);
	text = json_dumps(body, JSON_COMPACT);
	call.body = text;
	call.len = strlen(text);
	request = g_new0(weights_request_t, 1);
	request->engine = engine;
	request->body = g_string_new(NULL);
	(void)dff_httpc_start(engine->client, &call, &handlers, request);
	free(text);
	json_decref(body);
}

static void
apply_output(engine_t *engine, const dff_engine_out_t *output)
{
	switch (output->type) {
	case DFF_ENGINE_OUT_TOKEN:
		write_token(engine, output);
		break;
	case DFF_ENGINE_OUT_END:
		finish_answer(engine, output);
		break;
	case DFF_ENGINE_OUT_ABORTED:
		abort_answer(engine, output->id);
		break;
	case DFF_ENGINE_OUT_LOAD_REQUEST:
		request_weights(engine);
		break;
	case DFF_ENGINE_OUT_CRASH:
		dff_log(
		    engine->standin.ctx, DFF_LOG_WARNING, "engine", "crashed");
		standin_close(&engine->standin);
		break;
	case DFF_ENGINE_OUT_RESTARTED:
		dff_log(
		    engine->standin.ctx, DFF_LOG_NOTICE, "engine", "is back");
		(void)standin_listen(&engine->standin);
		break;
	}
}

void
engine_apply_outputs(engine_t *engine)
{
	for (guint i = 0; i < engine->outputs->len; i++) {
		apply_output(engine,
		    &g_array_index(engine->outputs, dff_engine_out_t, i));
	}
	g_array_set_size(engine->outputs, 0);
}

void
engine_on_timer(uv_timer_t *timer)
{
	engine_t *engine = timer->data;
	dff_time_t now = dff_program_now();

	dff_engine_model_advance(
	    engine->standin.ctx, engine->model, now, engine->outputs);
	if (engine->crash_requested) {
		engine->crash_requested = false;
		dff_engine_model_crash(engine->model, now, engine->outputs);
	}
	engine_apply_outputs(engine);
	engine_set_timer(engine);
}
