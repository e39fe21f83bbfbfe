/*
 * Import of KV cache from another engine in the engine stand-in.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "engine_internal.h"

void
engine_fail_import(generation_t *generation)
{
	engine_t *engine = generation->engine;

	dff_engine_model_cancel(
	    engine->model, generation->id, dff_program_now());
	standin_answer_error(generation->req, 409, "kv", 0);
	engine_remove_generation(engine, generation);
}

static uint32_t
kv_pieces(const generation_t *generation)
{
	return (uint32_t)(generation->kv_bytes / KV_PIECE_BYTES);
}

static void
on_transferred(uv_timer_t *timer)
{
	generation_t *generation = timer->data;
	engine_t *engine = generation->engine;

	if (dff_engine_model_import(engine->model, generation->id,
		kv_pieces(generation), dff_program_now()) < 0) {
		engine_fail_import(generation);
		return;
	}
	dff_httpd_begin(generation->req, 200, "application/x-ndjson");
	engine_set_timer(engine);
}

static void
on_fetch_head(void *arg, dff_httpc_req_t *req, int status)
{
	generation_t *generation = arg;
	const char *domain = dff_httpc_header(req, "x-domain");

	generation->fetch_succeeded = status == 200;
	generation->same_domain = domain != NULL &&
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
	if (end != DFF_HTTPC_DONE || !generation->fetch_succeeded) {
		engine_fail_import(generation);
		return;
	}
	time = dff_engine_model_transfer_time(
	    engine->model, kv_pieces(generation), generation->same_domain);
	generation->transfer_timer = g_new0(uv_timer_t, 1);
	(void)uv_timer_init(engine->standin.loop, generation->transfer_timer);
	generation->transfer_timer->data = generation;
	(void)uv_timer_start(generation->transfer_timer, on_transferred,
	    (uint64_t)(time / DFF_MSEC), 0);
}

int
engine_fetch_kv(generation_t *generation, const char *addr, uint64_t kv_id)
{
	static const dff_httpc_handlers_t handlers = {
	    on_fetch_head, on_fetch_data, on_fetch_end};
	dff_httpc_call_t call = {.addr = addr,
	    .method = "POST",
	    .path = "/v1/kv/export",
	    .content_type = "application/json",
	    .idle_timeout = CLIENT_IDLE_TIMEOUT};
	char body[64];

	call.body = body;
	call.len = (size_t)g_snprintf(
	    body, sizeof(body), "{\"id\":%" PRId64 "}", (int64_t)kv_id);
	generation->fetch = dff_httpc_start(
	    generation->engine->client, &call, &handlers, generation);
	return generation->fetch != NULL ? 0 : -EINVAL;
}
