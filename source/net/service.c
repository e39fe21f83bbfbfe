#include "net/service.h"

#include <string.h>

#include <glib.h>

#include "net/json_read.h"
#include "net/poll.h"

struct dff_service {
	dff_service_config_t config;
	dff_sink_t sink;
	dff_fetcher_t *fetcher;
	dff_poll_t *load;
	GHashTable *open; /* attempt's number to dff_fetch_t */
};

static void
report_failure(dff_service_t *service, uint64_t attempt,
    dff_attempt_failure_t reason, bool sent)
{
	const dff_event_t event = {.type = DFF_EV_ATTEMPT_FAILED,
	    .u.attempt_failed = {
		.attempt = attempt, .reason = reason, .sent = sent}};

	service->sink.feed(service->sink.arg, &event);
}

static void
report_reply(
    dff_service_t *service, uint64_t attempt, const dff_fetch_result_t *fetched)
{
	const dff_event_t event = {.type = DFF_EV_ATTEMPT_REPLY,
	    .u.attempt_reply = {.attempt = attempt,
		.status = fetched->status,
		.content_type = fetched->content_type,
		.body = (const uint8_t *)fetched->body,
		.len = fetched->len}};

	service->sink.feed(service->sink.arg, &event);
}

static void
on_reply(void *arg, void *data, const dff_fetch_result_t *fetched)
{
	dff_service_t *service = arg;
	uint64_t attempt = *(uint64_t *)data;

	(void)g_hash_table_remove(service->open, &attempt);
	if (fetched->too_large) {
		report_failure(service, attempt, DFF_FAIL_PROTOCOL, true);
		return;
	}
	switch (fetched->end) {
	case DFF_HTTPC_DONE:
		report_reply(service, attempt, fetched);
		break;
	case DFF_HTTPC_CONNECT_FAILED:
		report_failure(service, attempt, DFF_FAIL_CONNECT, false);
		break;
	case DFF_HTTPC_BROKEN:
		report_failure(service, attempt, DFF_FAIL_BROKEN, true);
		break;
	case DFF_HTTPC_TIMEOUT:
		report_failure(service, attempt, DFF_FAIL_TIMEOUT, true);
		break;
	}
}

void
dff_service_start(dff_service_t *service, const dff_fx_attempt_start_t *start,
    const dff_body_t *body)
{
	uint64_t *attempt = g_memdup2(&start->attempt, sizeof(start->attempt));
	char *headers = NULL;
	dff_httpc_call_t call = {.addr = start->addr,
	    .method = body->method,
	    .path = start->path[0] != '\0' ? start->path : "/",
	    .content_type = body->content_type,
	    .body = body->data,
	    .len = body->len,
	    .idle_timeout = start->timeout};

	if (start->idem_key[0] != '\0')
		headers =
		    g_strdup_printf("idempotency-key: %s\r\n", start->idem_key);
	call.headers = headers;
	/* The fetch owns the number; the table borrows it. */
	g_hash_table_insert(service->open, attempt,
	    dff_fetch_start(service->fetcher, &call, service->config.reply_max,
		on_reply, attempt));
	g_free(headers);
}

bool
dff_service_cancel(dff_service_t *service, uint64_t attempt)
{
	dff_fetch_t *fetch = g_hash_table_lookup(service->open, &attempt);

	if (fetch == NULL)
		return false;
	(void)g_hash_table_remove(service->open, &attempt);
	dff_fetch_cancel(fetch);
	return true;
}

/* A service's slots are reported as an engine's memory pieces. */
static void
on_load(void *arg, const char *vm, dff_time_t sent_at, const json_t *body,
    uint64_t *cursor)
{
	dff_service_t *service = arg;
	dff_event_t event = {.type = DFF_EV_ENGINE_REPORT};
	dff_ev_engine_report_t *report = &event.u.engine_report;

	(void)cursor;
	if (!json_read_u64(body, "incarnation", &report->incarnation) ||
	    !json_read_u32(body, "running", &report->running) ||
	    !json_read_u32(body, "waiting", &report->waiting) ||
	    !json_read_u32(body, "slots", &report->total_pieces))
		return;
	report->vm = vm;
	report->sampled_at = sent_at - json_get_u32(body, "age_ms") * DFF_MSEC;
	report->role = DFF_ROLE_MIXED;
	report->model = "";
	report->free_pieces =
	    report->total_pieces - MIN(report->running, report->total_pieces);
	service->sink.feed(service->sink.arg, &event);
}

void
dff_service_watch(dff_service_t *service, const dff_fx_engine_watch_t *watch)
{
	dff_poll_watch(service->load, watch);
}

dff_service_t *
dff_service_new(dff_ctx_t *ctx, uv_loop_t *loop, dff_httpc_t *httpc,
    const dff_service_config_t *config, const dff_sink_t *sink)
{
	const dff_poll_config_t load = {.kind = DFF_VM_SERVICE,
	    .path = "/load",
	    .interval = config->load_interval,
	    .idle_timeout = config->poll_idle_timeout};
	dff_service_t *service = g_new0(dff_service_t, 1);

	service->config = *config;
	service->sink = *sink;
	service->fetcher = dff_fetcher_new(httpc, service);
	service->open = g_hash_table_new(g_int64_hash, g_int64_equal);
	service->load = dff_poll_new(ctx, loop, httpc, &load, on_load, service);
	return service;
}

void
dff_service_drop(dff_service_t *service)
{
	if (service == NULL)
		return;
	dff_poll_drop(service->load);
	g_hash_table_unref(service->open);
	dff_fetcher_drop(service->fetcher);
	g_free(service);
}
