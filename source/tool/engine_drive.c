/*
 * The engine stand-in's model: its clock, its outputs as lines of answers,
 * and the leave that it asks of the weight store.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "engine_parts.h"

/* Wait before the weight store is asked again after it gave no answer. */
#define ASK_AGAIN (1 * DFF_SEC)

void
engine_set_timer(engine_t *engine)
{
	dff_time_t next = dff_engine_model_next(engine->model);
	dff_time_t wait;

	if (engine->crash_asked)
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

/* ---- requests whose answer has not ended ---- */

static void
on_link_closed(uv_handle_t *handle)
{
	g_free(handle);
}

void
engine_free_generation(gpointer data)
{
	generation_t *generation = data;

	if (generation->fetch != NULL)
		dff_httpc_cancel(generation->fetch);
	if (generation->link != NULL)
		uv_close((uv_handle_t *)generation->link, on_link_closed);
	g_free(generation);
}

void
engine_forget(engine_t *engine, generation_t *generation)
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
	engine_forget(engine, generation);
}

static void
break_off(engine_t *engine, uint64_t id)
{
	generation_t *generation = find(engine, id);

	if (generation == NULL)
		return;
	dff_httpd_abort(generation->req);
	engine_forget(engine, generation);
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
	engine_set_timer(engine);
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
	    .idle_timeout = ASK_SILENCE};
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

void
engine_carry_out(engine_t *engine)
{
	for (guint i = 0; i < engine->out->len; i++) {
		carry_out_one(
		    engine, &g_array_index(engine->out, dff_engine_out_t, i));
	}
	g_array_set_size(engine->out, 0);
}

void
engine_on_timer(uv_timer_t *timer)
{
	engine_t *engine = timer->data;
	dff_time_t now = dff_program_now();

	dff_engine_model_advance(
	    engine->standin.ctx, engine->model, now, engine->out);
	if (engine->crash_asked) {
		engine->crash_asked = false;
		dff_engine_model_crash(engine->model, now, engine->out);
	}
	engine_carry_out(engine);
	engine_set_timer(engine);
}
