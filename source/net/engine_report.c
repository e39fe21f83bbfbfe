#include "net/engine.h"

#include <string.h>

#include <glib.h>

#include "net/json_read.h"
#include "net/poll.h"

/* Hexadecimal digits of a prefix hash. */
#define HASH_DIGITS 16

struct dff_reports {
	dff_sink_t sink;
	dff_poll_t *load;
	dff_poll_t *cache;
	GHashTable *incarnations; /* VM id to incarnation of cache events */
};

static void
on_load(void *arg, const char *vm, dff_time_t sent_at, const json_t *body,
    uint64_t *cursor)
{
	dff_reports_t *reports = arg;
	int role = dff_role_parse(json_get_text(body, "role"));
	dff_time_t age = json_get_u32(body, "age_ms") * DFF_MSEC;
	dff_event_t event = {.type = DFF_EV_ENGINE_REPORT};
	dff_ev_engine_report_t *report = &event.u.engine_report;

	(void)cursor;
	if (role < 0)
		return;
	report->vm = vm;
	report->incarnation = json_get_u64(body, "incarnation");
	report->sampled_at = sent_at - age;
	report->role = (dff_role_t)role;
	report->reconfiguring = json_get_flag(body, "changing");
	report->model = json_get_text(body, "model");
	report->version = json_get_u32(body, "version");
	report->running = json_get_u32(body, "running");
	report->waiting = json_get_u32(body, "waiting");
	report->backlog_tokens = json_get_u64(body, "backlog_tokens");
	report->free_pieces = json_get_u32(body, "free_pieces");
	report->total_pieces = json_get_u32(body, "total_pieces");
	report->token_us = json_get_real(body, "token_us");
	report->prefill_us = json_get_real(body, "prefill_us");
	report->fence = json_get_u64(body, "fence");
	reports->sink.feed(reports->sink.arg, &event);
}

static GArray *
read_hashes(const json_t *list)
{
	GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const json_t *item;
	size_t i;

	json_array_foreach((json_t *)list, i, item)
	{
		const char *text = json_string_value(item);
		uint64_t hash;
		char *end;

		if (text == NULL || strlen(text) != HASH_DIGITS)
			continue;
		hash = g_ascii_strtoull(text, &end, 16);
		if (*end == '\0')
			g_array_append_val(hashes, hash);
	}
	return hashes;
}

/* Records an engine's incarnation; true if it replaced another one. */
static bool
is_new_process(dff_reports_t *reports, const char *vm, uint64_t incarnation)
{
	uint64_t *known = g_hash_table_lookup(reports->incarnations, vm);

	if (known != NULL && *known == incarnation)
		return false;
	g_hash_table_insert(reports->incarnations, g_strdup(vm),
	    g_memdup2(&incarnation, sizeof(incarnation)));
	return known != NULL;
}

static void
on_cache(void *arg, const char *vm, dff_time_t sent_at, const json_t *body,
    uint64_t *cursor)
{
	dff_reports_t *reports = arg;
	GArray *stored;
	GArray *evicted;
	dff_event_t event = {.type = DFF_EV_ENGINE_CACHE};
	dff_ev_engine_cache_t *cache = &event.u.engine_cache;

	(void)sent_at;
	cache->vm = vm;
	cache->gap = json_get_flag(body, "gap");
	*cursor = json_get_u64(body, "next");
	if (is_new_process(reports, vm, json_get_u64(body, "incarnation"))) {
		/* The cursor is of an earlier process: start again. */
		cache->gap = true;
		*cursor = 0;
	}
	stored = read_hashes(json_object_get(body, "stored"));
	evicted = read_hashes(json_object_get(body, "evicted"));
	cache->stored = (const uint64_t *)(void *)stored->data;
	cache->stored_count = stored->len;
	cache->evicted = (const uint64_t *)(void *)evicted->data;
	cache->evicted_count = evicted->len;
	if (cache->gap || stored->len > 0 || evicted->len > 0)
		reports->sink.feed(reports->sink.arg, &event);
	g_array_unref(stored);
	g_array_unref(evicted);
}

dff_reports_t *
dff_reports_new(dff_ctx_t *ctx, uv_loop_t *loop, dff_httpc_t *httpc,
    const dff_engine_config_t *config, const dff_sink_t *sink)
{
	const dff_poll_config_t load = {.kind = DFF_VM_ENGINE,
	    .path = "/v1/load",
	    .interval = config->load_interval,
	    .idle_timeout = config->poll_idle_timeout};
	const dff_poll_config_t cache = {.kind = DFF_VM_ENGINE,
	    .path = "/v1/cache?since=",
	    .has_cursor = true,
	    .interval = config->cache_interval,
	    .idle_timeout = config->poll_idle_timeout};
	dff_reports_t *reports = g_new0(dff_reports_t, 1);

	reports->sink = *sink;
	reports->incarnations =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	reports->load = dff_poll_new(ctx, loop, httpc, &load, on_load, reports);
	if (config->cache_interval > 0)
		reports->cache =
		    dff_poll_new(ctx, loop, httpc, &cache, on_cache, reports);
	return reports;
}

void
dff_reports_drop(dff_reports_t *reports)
{
	if (reports == NULL)
		return;
	dff_poll_drop(reports->load);
	dff_poll_drop(reports->cache);
	g_hash_table_unref(reports->incarnations);
	g_free(reports);
}

void
dff_reports_watch(dff_reports_t *reports, const dff_fx_engine_watch_t *watch)
{
	dff_poll_watch(reports->load, watch);
	if (reports->cache != NULL)
		dff_poll_watch(reports->cache, watch);
	if (!watch->enabled)
		(void)g_hash_table_remove(reports->incarnations, watch->vm);
}

uint64_t
dff_reports_failed(const dff_reports_t *reports)
{
	uint64_t failed = dff_poll_failed(reports->load);

	if (reports->cache != NULL)
		failed += dff_poll_failed(reports->cache);
	return failed;
}
