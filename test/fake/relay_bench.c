#include "relay_bench.h"

#include <string.h>

relay_bench_t *
relay_bench_new_restarted(const char *id, const char *domain, const char *addr,
    uint32_t link_mbps, uint64_t incarnation)
{
	relay_bench_t *bench = g_new0(relay_bench_t, 1);
	dff_relay_config_t config;

	dff_relay_defaults(&config);
	g_strlcpy(config.id, id, sizeof(config.id));
	g_strlcpy(config.domain, domain, sizeof(config.domain));
	g_strlcpy(config.addr, addr, sizeof(config.addr));
	g_strlcpy(config.records, addr, sizeof(config.records));
	config.incarnation = incarnation;
	config.link_mbps = link_mbps;
	bench->ctx = dff_ctx_new(1, DFF_LOG_DEBUG, NULL, NULL);
	bench->relay = dff_relay_new(bench->ctx, &config);
	bench->fx = g_array_new(FALSE, FALSE, sizeof(dff_relay_effect_t));
	bench->rows = g_ptr_array_new_with_free_func(g_free);
	bench->strings = g_string_chunk_new(1024);
	bench->opens =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	bench->now = 1000 * DFF_SEC;
	return bench;
}

relay_bench_t *
relay_bench_new_as(
    const char *id, const char *domain, const char *addr, uint32_t link_mbps)
{
	return relay_bench_new_restarted(id, domain, addr, link_mbps, 1);
}

relay_bench_t *
relay_bench_new(void)
{
	return relay_bench_new_as("a1", "a", "10.0.0.1:7000", 100);
}

void
relay_bench_drop(relay_bench_t *bench)
{
	dff_relay_drop(bench->relay);
	dff_ctx_drop(bench->ctx);
	g_array_unref(bench->fx);
	g_ptr_array_unref(bench->rows);
	g_hash_table_unref(bench->opens);
	g_string_chunk_free(bench->strings);
	g_free(bench);
}

/* Rows that an effect borrows are gone with the next step; tests read them
 * after several. */
static void
run_step(relay_bench_t *bench, const dff_relay_event_t *event)
{
	guint first = bench->fx->len;

	dff_relay_step(bench->ctx, bench->relay, event, bench->now, bench->fx);
	for (guint i = first; i < bench->fx->len; i++) {
		dff_relay_effect_t *fx =
		    &g_array_index(bench->fx, dff_relay_effect_t, i);

		if (fx->type != DFF_RELAY_FX_STORE_ORIGINS)
			continue;
		fx->origins.rows = g_memdup2(fx->origins.rows,
		    fx->origins.count * sizeof(*fx->origins.rows));
		g_ptr_array_add(bench->rows, (gpointer)fx->origins.rows);
	}
}

static const char *
keep_text(relay_bench_t *bench, const char *text)
{
	return text != NULL ?
	    g_string_chunk_insert_const(bench->strings, text) :
	    NULL;
}

static void
keep_open(relay_bench_t *bench, const dff_relay_open_t *open)
{
	dff_relay_open_t *kept = g_memdup2(open, sizeof(*open));

	kept->id = keep_text(bench, open->id);
	kept->host = keep_text(bench, open->host);
	kept->target = keep_text(bench, open->target);
	kept->resumes = keep_text(bench, open->resumes);
	kept->credential = keep_text(bench, open->credential);
	kept->organisation = keep_text(bench, open->organisation);
	g_hash_table_replace(bench->opens, &kept->call, kept);
}

void
relay_bench_step(relay_bench_t *bench, const dff_relay_event_t *event)
{
	if (event->type == DFF_RELAY_OPEN)
		keep_open(bench, &event->open);
	g_array_set_size(bench->fx, 0);
	run_step(bench, event);
}

void
relay_bench_wait(relay_bench_t *bench, dff_time_t time)
{
	const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};
	dff_time_t end = bench->now + time;

	g_array_set_size(bench->fx, 0);
	while (dff_relay_wake(bench->relay) <= end) {
		bench->now = MAX(bench->now, dff_relay_wake(bench->relay));
		run_step(bench, &wake);
	}
	bench->now = end;
}

static void
add_route(dff_routing_t *routing, const char *prefix, dff_route_kind_t kind,
    bool resumable, uint32_t runs_max, const char *pool)
{
	dff_route_t *route = dff_routing_add_route(routing, "h", prefix);
	dff_route_share_t share = {.weight = 1};

	g_strlcpy(route->name, prefix, sizeof(route->name));
	route->kind = kind;
	route->resumable = resumable;
	route->runs_max = runs_max;
	route->timeout = 3 * DFF_SEC;
	route->target_latency = 300 * DFF_MSEC;
	route->target_gap = 200 * DFF_MSEC;
	g_strlcpy(share.pool, pool, sizeof(share.pool));
	g_array_append_val(route->shares, share);
}

dff_routing_t *
relay_bench_new_routing(uint64_t version)
{
	dff_routing_t *routing = dff_routing_new(version);
	dff_pool_t plain = {.name = "plain", .conns_max = 10};
	dff_pool_t llm = {.name = "llm",
	    .slots = 64,
	    .kv_tokens = 500000,
	    .token_bytes = 327680,
	    .handle_lifetime = DFF_SEC,
	    .link_mbps = 3800000};

	add_route(routing, "/read/", DFF_ROUTE_REPEATABLE, false, 2, "plain");
	add_route(routing, "/order/", DFF_ROUTE_ONCE, false, 1, "plain");
	add_route(routing, "/talk/", DFF_ROUTE_STREAM, false, 1, "llm");
	add_route(routing, "/resume/", DFF_ROUTE_STREAM, true, 2, "llm");
	g_array_append_val(routing->pools, plain);
	g_array_append_val(routing->pools, llm);
	return routing;
}

void
relay_bench_load_routing(relay_bench_t *bench, uint64_t version)
{
	dff_relay_event_t event = {.type = DFF_RELAY_ROUTING};

	event.routing = relay_bench_new_routing(version);
	relay_bench_step(bench, &event);
	dff_routing_drop(event.routing);
}

void
relay_bench_load_upstream(relay_bench_t *bench, const char *id,
    const char *pool, dff_role_t role, const char *domain, uint64_t seq)
{
	relay_bench_load_software(bench, id, pool, role, domain, seq, "v1");
}

dff_upstream_record_t
relay_bench_make_record(const char *id, const char *pool, dff_role_t role,
    const char *domain, uint64_t seq, const char *software)
{
	dff_upstream_record_t record = {
	    .role = role, .slots = 64, .started_ms = 1, .seq = seq};

	g_strlcpy(record.id, id, sizeof(record.id));
	(void)g_snprintf(record.addr, sizeof(record.addr), "10.9.0.%u:80",
	    (unsigned)(id[strlen(id) - 1]));
	g_strlcpy(record.domain, domain, sizeof(record.domain));
	g_strlcpy(record.pool, pool, sizeof(record.pool));
	g_strlcpy(record.software, software, sizeof(record.software));
	return record;
}

void
relay_bench_load_record(
    relay_bench_t *bench, const dff_upstream_record_t *record)
{
	dff_relay_event_t event = {.type = DFF_RELAY_UPSTREAM};

	event.upstream = *record;
	relay_bench_step(bench, &event);
}

void
relay_bench_load_software(relay_bench_t *bench, const char *id,
    const char *pool, dff_role_t role, const char *domain, uint64_t seq,
    const char *software)
{
	const dff_upstream_record_t record =
	    relay_bench_make_record(id, pool, role, domain, seq, software);

	relay_bench_load_record(bench, &record);
}

static uint64_t
open_request(relay_bench_t *bench, const char *target, uint64_t content,
    const dff_prompt_t *prompt)
{
	dff_relay_event_t event = {.type = DFF_RELAY_OPEN};

	event.open.call = ++bench->next_call;
	event.open.id = "id";
	event.open.host = "h";
	event.open.target = target;
	event.open.content_hash = content;
	event.open.timeout = 3 * DFF_SEC;
	event.open.after_event = -1;
	event.open.resumes = "";
	event.open.credential = "";
	event.open.organisation = "";
	if (prompt != NULL)
		event.open.prompt = *prompt;
	relay_bench_step(bench, &event);
	return event.open.call;
}

uint64_t
relay_bench_open(relay_bench_t *bench, const char *target, uint64_t content)
{
	return open_request(bench, target, content, NULL);
}

uint64_t
relay_bench_open_prompt(relay_bench_t *bench, const char *target,
    uint64_t shared_id, uint32_t shared, uint64_t own_id, uint32_t own)
{
	const dff_prompt_t prompt = {
	    .parts = {{shared_id, shared}, {own_id, own}},
	    .count = 2,
	    .tokens = shared + own,
	    .tokens_out = 100};

	return open_request(bench, target, own_id, &prompt);
}

uint64_t
relay_bench_open_parts(relay_bench_t *bench, const char *target,
    uint64_t content, const dff_prompt_t *prompt)
{
	return open_request(bench, target, content, prompt);
}

uint64_t
relay_bench_open_stream(relay_bench_t *bench, const char *target,
    const char *id, const char *resumes, int64_t after_event)
{
	dff_relay_event_t event = {.type = DFF_RELAY_OPEN};

	event.open.call = ++bench->next_call;
	event.open.id = id;
	event.open.host = "h";
	event.open.target = target;
	event.open.timeout = 3 * DFF_SEC;
	event.open.after_event = after_event;
	event.open.resumes = resumes;
	event.open.credential = "";
	event.open.organisation = "";
	relay_bench_step(bench, &event);
	return event.open.call;
}

const dff_relay_effect_t *
relay_bench_find(const relay_bench_t *bench, dff_relay_effect_type_t type)
{
	for (guint i = bench->fx->len; i-- > 0;) {
		const dff_relay_effect_t *fx =
		    &g_array_index(bench->fx, dff_relay_effect_t, i);

		if (fx->type == type)
			return fx;
	}
	return NULL;
}

size_t
relay_bench_count(const relay_bench_t *bench, dff_relay_effect_type_t type)
{
	size_t count = 0;

	for (guint i = 0; i < bench->fx->len; i++) {
		if (g_array_index(bench->fx, dff_relay_effect_t, i).type ==
		    type)
			count++;
	}
	return count;
}

uint64_t
relay_bench_send(const relay_bench_t *bench)
{
	const dff_relay_effect_t *fx =
	    relay_bench_find(bench, DFF_RELAY_FX_SEND);

	return fx != NULL ? fx->send.send : 0;
}

void
relay_bench_head(relay_bench_t *bench, uint64_t send, int status, bool not_run)
{
	relay_bench_head_notice(
	    bench, send, status, not_run, (dff_upstream_notice_t){0});
}

void
relay_bench_head_notice(relay_bench_t *bench, uint64_t send, int status,
    bool not_run, dff_upstream_notice_t notice)
{
	dff_relay_event_t event = {.type = DFF_RELAY_HEAD};

	event.head.send = send;
	event.head.status = status;
	event.head.not_run = not_run;
	event.head.stamped = !not_run;
	event.head.notice = notice;
	relay_bench_step(bench, &event);
}

void
relay_bench_data(relay_bench_t *bench, uint64_t send, const char *text)
{
	dff_relay_event_t event = {.type = DFF_RELAY_DATA};

	event.data.send = send;
	event.data.bytes = text;
	event.data.len = strlen(text);
	relay_bench_step(bench, &event);
}

void
relay_bench_end(relay_bench_t *bench, uint64_t send, dff_send_result_t result,
    const char *handle)
{
	dff_relay_event_t event = {.type = DFF_RELAY_END};

	event.end.send = send;
	event.end.result = result;
	if (handle != NULL)
		g_strlcpy(event.end.handle, handle, sizeof(event.end.handle));
	relay_bench_step(bench, &event);
}

void
relay_bench_end_probes(
    relay_bench_t *bench, dff_probe_result_t result, dff_probe_result_t next)
{
	dff_relay_event_t event = {.type = DFF_RELAY_PROBED};
	GArray *fx = bench->fx;

	event.probed.result = result;
	bench->fx = g_array_new(FALSE, FALSE, sizeof(dff_relay_effect_t));
	for (guint i = 0; i < fx->len; i++) {
		const dff_relay_effect_t *effect =
		    &g_array_index(fx, dff_relay_effect_t, i);

		if (effect->type != DFF_RELAY_FX_PROBE)
			continue;
		event.probed.upstream = effect->probe.upstream;
		relay_bench_step(bench, &event);
		relay_bench_end_probes(bench, next, next);
	}
	g_array_unref(fx);
}

void
relay_bench_refuse_probe(relay_bench_t *bench)
{
	relay_bench_end_probes(bench, DFF_PROBE_REFUSED, DFF_PROBE_ACCEPTED);
}

int
relay_bench_answer(const relay_bench_t *bench)
{
	const dff_relay_effect_t *fx =
	    relay_bench_find(bench, DFF_RELAY_FX_ANSWER);

	return fx != NULL ? fx->answer.status : 0;
}
