/*
 * Queries to engines for their cached parts. A node that starts does not know
 * what long-running engines have cached; without the query, parts would be
 * read again at other engines. Nodes may start one by one or all at once.
 */
#include <string.h>

#include "base/fault.h"
#include "relay/permit.h"

/* Engines listed within this time, as by the pages of one read of the records,
 * are queried together. */
#define QUERY_DELAY (20 * DFF_MSEC)
/* Time after which an engine is tried again that limits its requests. */
#define LIMITED_RETRY_TIME DFF_SEC
/* Engines that one node queries until it ends, chosen by hash if there are
 * more: enough for a failure domain of the present size, and a bound on
 * connections. */
#define QUERIES_MAX 48

/* In a large fleet an engine is queried only by nodes of its own domain. */
static bool
should_query(const dff_relay_t *relay, const upstream_t *up, dff_time_t now)
{
	if (up->cache_list_requested || up->record.role == DFF_ROLE_MIXED ||
	    !upstream_is_listed(up, now))
		return false;
	return !peers_fleet_is_large(relay) ||
	    strcmp(up->record.domain, relay->config.domain) == 0;
}

void
cache_query_schedule(step_t *step, const upstream_t *up)
{
	dff_relay_t *relay = step->relay;

	if (relay->cache_queries >= QUERIES_MAX ||
	    DFF_FAULT(RELAY_KEPT_NOT_ASKED) ||
	    !should_query(relay, up, step->now))
		return;
	dff_timers_set(relay->timers, DFF_TIMER_FLEET_TICK, TICK_CACHE_QUERY,
	    step->now + QUERY_DELAY);
}

static void
send_query(step_t *step, const upstream_t *up)
{
	dff_relay_effect_t *fx = relay_add_fx(step, DFF_RELAY_FX_CACHE_QUERY);

	g_strlcpy(fx->cache_query.upstream, up->record.id,
	    sizeof(fx->cache_query.upstream));
	g_strlcpy(fx->cache_query.addr, up->record.addr,
	    sizeof(fx->cache_query.addr));
	step->relay->cache_queries++;
}

void
cache_query_send_due(step_t *step)
{
	dff_relay_t *relay = step->relay;
	uint64_t own_hash =
	    dff_hash(relay->config.id, strlen(relay->config.id), 0);
	uint64_t left = QUERIES_MAX - relay->cache_queries;
	uint64_t count = 0;
	dff_time_t pause_end = DFF_TIME_NEVER;
	upstream_t *up;
	bool chosen;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;)
		count += should_query(relay, up, step->now);
	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		if (!should_query(relay, up, step->now))
			continue;
		if (!upstream_is_available(up, step->now)) {
			pause_end = MIN(pause_end, up->pause_until);
			continue;
		}
		chosen = relay->cache_queries < QUERIES_MAX &&
		    dff_hash(&up->hash, sizeof(up->hash), own_hash) % count <
			left;
		if (chosen && !permit_take_at_hand(step, up)) {
			pause_end =
			    MIN(pause_end, step->now + LIMITED_RETRY_TIME);
			continue;
		}
		up->cache_list_requested = true;
		if (chosen)
			send_query(step, up);
	}
	if (pause_end != DFF_TIME_NEVER)
		dff_timers_set(relay->timers, DFF_TIMER_FLEET_TICK,
		    TICK_CACHE_QUERY, pause_end);
}

void
cache_query_load_list(step_t *step, const dff_relay_cache_list_t *list)
{
	dff_relay_t *relay = step->relay;
	upstream_t *up =
	    upstreams_find(relay->upstreams, upstream_hash(list->upstream));
	const dff_pool_t *pool = NULL;

	if (up != NULL && relay->routing != NULL)
		pool = dff_routing_pool(relay->routing, up->record.pool);
	if (pool == NULL)
		return;
	upstream_load_cache(
	    up, list->parts, list->count, pool->kv_tokens, step->now);
	dff_log(step->ctx, DFF_LOG_INFO, "upstream",
	    "engine listed its cached parts id=%s parts=%zu believed=%u "
	    "tokens=%" G_GUINT64_FORMAT,
	    up->record.id, list->count, g_hash_table_size(up->cached_parts),
	    (guint64)up->cached_tokens);
}
