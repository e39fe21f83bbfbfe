#include "relay/reach.h"

#include <string.h>

#include "base/fault.h"
#include "relay/peers.h"
#include "relay/suspect.h"

/* A node is cut off if so many random upstreams, or all, accept no connection.
 * With half of the upstreams down, chance alone does this in less than one of
 * 1000 cases. */
#define FAILURES_MIN 8
/* A peer that reports all upstreams of a pool as unreachable, or so many, does
 * not reach it: a node that is cut off from a pool reports all of it, as far as
 * a frame has room. */
#define REPORTED_MIN (UNREACHABLE_MAX / 2)
/* Probes of one round. */
#define PROBES 4
/* Time between rounds while cut off, and shortest time between a round that
 * found upstreams and the next. */
#define PROBE_INTERVAL (250 * DFF_MSEC)
/* Accepted probes, with no failed one between them, that end a cut. */
#define ACCEPTED_MIN 2
/* Silence of all upstreams, while sends are in flight, after which one is
 * probed. */
#define QUIET_TIME (800 * DFF_MSEC)

typedef char pool_name_t[DFF_NAME_MAX];

/**
 * struct reach - see reach.h
 * @failed: uint32_t, hashes of upstreams whose probes failed since one was
 *	reached
 * @cut_since: 0 if this node is not cut off
 * @reached_at: last sign of an upstream
 * @failed_at: last failure to reach one
 * @probed_at: last round of probes
 * @accepted: accepted probes since the last failed one
 * @pools: pool_name_t, pools of which no upstream can be reached
 */
struct reach {
	GArray *failed;
	GArray *pools;
	dff_time_t cut_since;
	dff_time_t reached_at;
	dff_time_t failed_at;
	dff_time_t probed_at;
	uint32_t accepted;
};

reach_t *
reach_new(void)
{
	reach_t *reach = g_new0(reach_t, 1);

	reach->failed = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	reach->pools = g_array_new(FALSE, FALSE, sizeof(pool_name_t));
	return reach;
}

void
reach_drop(reach_t *reach)
{
	g_array_unref(reach->failed);
	g_array_unref(reach->pools);
	g_free(reach);
}

bool
reach_is_cut_off(const dff_relay_t *relay)
{
	return relay->reach->cut_since != 0 && !DFF_FAULT(RELAY_CUT_UNNOTICED);
}

bool
reach_is_proved(const dff_relay_t *relay, dff_time_t since, dff_time_t now)
{
	return relay->reach->reached_at >= since ||
	    upstreams_count_serving(relay->upstreams, now) < 2 ||
	    DFF_FAULT(RELAY_CUT_IS_CRASH);
}

/* ---- pools ---- */

static bool
is_in_pool(const upstream_t *up, const char *pool, dff_time_t now)
{
	return upstream_is_listed(up, now) &&
	    strcmp(up->record.pool, pool) == 0;
}

/* Whether so many of the pool's upstreams, or all, could not be reached after one
 * of them last was. */
static bool
has_failed_for(const dff_relay_t *relay, const char *pool, dff_time_t now)
{
	dff_time_t reached_at = 0;
	uint32_t listed = 0;
	uint32_t failing = 0;
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		if (is_in_pool(up, pool, now))
			reached_at = MAX(reached_at, up->reached_at);
	}
	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		if (!is_in_pool(up, pool, now))
			continue;
		listed++;
		failing += upstream_is_failing(up, now) &&
		    up->unreached_at > reached_at;
	}
	return listed > 0 && failing >= MIN(FAILURES_MIN, listed);
}

static guint
find_pool(const reach_t *reach, const char *pool)
{
	guint i = 0;

	while (i < reach->pools->len &&
	    strcmp(g_array_index(reach->pools, pool_name_t, i), pool) != 0)
		i++;
	return i;
}

bool
reach_pool_is_cut_off(const dff_relay_t *relay, const char *pool)
{
	return find_pool(relay->reach, pool) < relay->reach->pools->len;
}

static void
begin_pool_cut(step_t *step, const char *pool)
{
	pool_name_t name;

	g_strlcpy(name, pool, sizeof(name));
	g_array_append_val(step->relay->reach->pools, name);
	dff_log(step->ctx, DFF_LOG_WARNING, "upstream",
	    "no upstream of the pool can be reached pool=%s peers=%u", pool,
	    peers_count_alive(step->relay, step->now));
	frame_send_soon(step);
}

/* Its other upstreams are tried again, too. */
static void
end_pool_cut(step_t *step, const char *pool)
{
	reach_t *reach = step->relay->reach;
	upstream_t *up;

	dff_log(step->ctx, DFF_LOG_NOTICE, "upstream",
	    "upstreams of the pool can be reached again pool=%s", pool);
	for (dff_handle_t h = 0;
	     (h = upstreams_next(step->relay->upstreams, h, &up)) != 0;) {
		if (is_in_pool(up, pool, step->now))
			upstream_forget_failures(up);
	}
	g_array_remove_index_fast(reach->pools, find_pool(reach, pool));
	frame_send_soon(step);
}

static void
check_pools(step_t *step)
{
	const dff_relay_t *relay = step->relay;
	upstream_t *up;

	if (DFF_FAULT(RELAY_POOL_CUT_UNNOTICED))
		return;
	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		if (upstream_is_failing(up, step->now) &&
		    !reach_pool_is_cut_off(relay, up->record.pool) &&
		    has_failed_for(relay, up->record.pool, step->now))
			begin_pool_cut(step, up->record.pool);
	}
}

static bool
has_reported(const peer_t *peer, uint32_t upstream)
{
	for (guint i = 0; i < peer->unreachable->len; i++) {
		if (g_array_index(peer->unreachable, uint32_t, i) == upstream)
			return true;
	}
	return false;
}

bool
reach_peer_reaches(const dff_relay_t *relay, const peer_t *peer,
    const char *pool, dff_time_t now)
{
	uint32_t listed = 0;
	uint32_t reported = 0;
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		if (!is_in_pool(up, pool, now))
			continue;
		listed++;
		reported += has_reported(peer, up->hash);
	}
	return listed == 0 || reported < MIN(listed, REPORTED_MIN);
}

/* ---- probes ---- */

static bool
has_failed(const reach_t *reach, const upstream_t *up)
{
	for (guint i = 0; i < reach->failed->len; i++) {
		if (g_array_index(reach->failed, uint32_t, i) == up->hash)
			return true;
	}
	return false;
}

/* A random upstream that may be probed; 0 if there is none. */
static dff_handle_t
pick_upstream(step_t *step, bool failed)
{
	const dff_relay_t *relay = step->relay;
	dff_handle_t picked = 0;
	uint32_t seen = 0;
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		if (!upstream_is_listed(up, step->now) || up->probing ||
		    has_failed(relay->reach, up) != failed)
			continue;
		if (dff_rand_below(step->ctx, ++seen) == 0)
			picked = h;
	}
	return picked;
}

static void
probe_upstreams(step_t *step, uint32_t count)
{
	step->relay->reach->probed_at = step->now;
	for (uint32_t i = 0; i < count; i++) {
		dff_handle_t upstream = pick_upstream(step, false);

		if (upstream == 0)
			upstream = pick_upstream(step, true);
		if (upstream != 0)
			suspect_start_probe(step, upstream);
	}
}

/* Upstreams of pools that are cut off, while others are reached. */
static void
probe_cut_pools(step_t *step)
{
	const dff_relay_t *relay = step->relay;
	uint32_t started = 0;
	upstream_t *up;

	for (dff_handle_t h = 0; relay->reach->pools->len > 0 &&
	     started < PROBES &&
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		if (up->probing || step->now < up->backoff_until ||
		    !upstream_is_listed(up, step->now) ||
		    !reach_pool_is_cut_off(relay, up->record.pool))
			continue;
		suspect_start_probe(step, h);
		started++;
	}
}

/* ---- the verdict ---- */

/* Old connections may be dead, and what the node believes of its upstreams
 * comes from the cut. */
static void
forget_failures(step_t *step)
{
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(step->relay->upstreams, h, &up)) != 0;)
		upstream_forget_failures(up);
}

static void
close_idle_connections(step_t *step)
{
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(step->relay->upstreams, h, &up)) != 0;)
		relay_close_idle(step, up->record.id);
}

static void
begin_cut(step_t *step)
{
	reach_t *reach = step->relay->reach;

	reach->cut_since = step->now;
	reach->accepted = 0;
	step->relay->counts[COUNT_CUTS]++;
	dff_log(step->ctx, DFF_LOG_WARNING, "upstream",
	    "no upstream can be reached failed=%u listed=%zu "
	    "reached_ms_ago=%" G_GINT64_FORMAT " peers=%u",
	    reach->failed->len, upstreams_count_listed(step->relay->upstreams),
	    (step->now - reach->reached_at) / DFF_MSEC,
	    peers_count_alive(step->relay, step->now));
	close_idle_connections(step);
	suspect_release_probed(step);
	frame_send_soon(step);
}

static void
end_cut(step_t *step)
{
	reach_t *reach = step->relay->reach;

	dff_log(step->ctx, DFF_LOG_NOTICE, "upstream",
	    "upstreams can be reached again after_ms=%" G_GINT64_FORMAT,
	    (step->now - reach->cut_since) / DFF_MSEC);
	reach->cut_since = 0;
	g_array_set_size(reach->failed, 0);
	forget_failures(step);
	suspect_forget_probes(step);
	frame_send_soon(step);
}

static bool
is_probing(const dff_relay_t *relay)
{
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		if (up->probing)
			return true;
	}
	return false;
}

void
reach_note_failure(step_t *step)
{
	reach_t *reach = step->relay->reach;

	reach->failed_at = step->now;
	if (reach->cut_since == 0 && !is_probing(step->relay) &&
	    step->now - MAX(reach->reached_at, reach->probed_at) >=
		PROBE_INTERVAL)
		probe_upstreams(step, PROBES);
}

void
reach_note_refused(step_t *step, const upstream_t *up)
{
	reach_t *reach = step->relay->reach;
	size_t listed =
	    upstreams_count_serving(step->relay->upstreams, step->now);

	reach->accepted = 0;
	if (!has_failed(reach, up))
		g_array_append_val(reach->failed, up->hash);
	if (reach->cut_since != 0 || listed < 2)
		return;
	if (reach->failed->len >= MIN(FAILURES_MIN, listed))
		begin_cut(step);
	else if (!is_probing(step->relay))
		probe_upstreams(step, PROBES);
}

void
reach_note_bytes(step_t *step)
{
	reach_t *reach = step->relay->reach;

	reach->reached_at = step->now;
	/* While cut off: old connections may live on while new ones are
	 * refused. */
	if (reach->failed->len == 0 || reach->cut_since != 0)
		return;
	g_array_set_size(reach->failed, 0);
	suspect_settle_probes(step);
}

void
reach_note_accepted(step_t *step, upstream_t *accepted)
{
	reach_t *reach = step->relay->reach;

	if (reach_pool_is_cut_off(step->relay, accepted->record.pool))
		end_pool_cut(step, accepted->record.pool);
	accepted->reached_at = step->now;
	if (reach->cut_since != 0 && ++reach->accepted < ACCEPTED_MIN)
		return;
	if (reach->cut_since != 0)
		end_cut(step);
	reach_note_bytes(step);
}

static bool
has_sends(const dff_relay_t *relay)
{
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		if (up->running > 0)
			return true;
	}
	return false;
}

void
reach_check(step_t *step)
{
	const reach_t *reach = step->relay->reach;
	dff_time_t since = step->now - reach->probed_at;

	if (reach->cut_since != 0 || reach->failed_at > reach->reached_at) {
		if (since >= PROBE_INTERVAL)
			probe_upstreams(step, PROBES);
		return;
	}
	check_pools(step);
	probe_cut_pools(step);
	if (MIN(since, step->now - reach->reached_at) >= QUIET_TIME &&
	    has_sends(step->relay))
		probe_upstreams(step, 1);
}
