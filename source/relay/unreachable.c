/*
 * Upstreams that nodes cannot reach, told between nodes that hear each other
 * directly. Load answered: many engines crash at once, and their records
 * stand until they lapse; a node that finds each of them by itself loses one
 * request's time a dead engine.
 *
 * A node names those that it failed to reach itself, never others' word, so
 * that no rumour outlives its witnesses. The witnesses go on trying, each with
 * one request at a time; the others follow when these are heard no more.
 */
#include "base/fault.h"
#include "relay/parts.h"

size_t
unreachable_list(const dff_relay_t *relay, uint32_t *rows, dff_time_t now)
{
	size_t count = 0;
	upstream_t *up;

	if (DFF_FAULT(RELAY_UNREACHABLE_UNTOLD))
		return 0;
	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		if (count == UNREACHABLE_MAX)
			break;
		if (upstream_is_listed(up, now) && upstream_is_failing(up, now))
			rows[count++] = up->hash;
	}
	return count;
}

static bool
has_row(const GArray *rows, uint32_t hash)
{
	for (guint i = 0; i < rows->len; i++) {
		if (g_array_index(rows, uint32_t, i) == hash)
			return true;
	}
	return false;
}

/* One peer more or less cannot reach an upstream. */
static void
count_witness(step_t *step, const peer_t *peer, uint32_t hash, bool failing)
{
	upstream_t *up = upstreams_find(step->relay->upstreams, hash);
	bool took;

	if (up == NULL)
		return;
	took = upstream_takes_work(up, step->now);
	if (failing)
		up->peers_failing++;
	else
		up->peers_failing -= MIN(up->peers_failing, 1);
	if (upstream_takes_work(up, step->now) == took)
		return;
	dff_log(step->ctx, DFF_LOG_NOTICE, "upstream",
	    "upstream %s peers' reach id=%s peers=%u told_by=%s",
	    took ? "out of" : "back in", up->news.id, up->peers_failing,
	    peer->node != NULL ? peer->node : peer->addr);
}

void
unreachable_load(step_t *step, peer_t *peer, const uint32_t *rows, size_t count)
{
	GArray *old = peer->unreachable;
	GArray *told;

	/* Nothing before and nothing now is the usual case. */
	if (count == 0 && old->len == 0)
		return;
	told = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (size_t i = 0; i < count; i++) {
		if (!has_row(told, rows[i]))
			g_array_append_val(told, rows[i]);
	}
	for (guint i = 0; i < told->len; i++) {
		uint32_t hash = g_array_index(told, uint32_t, i);

		if (!has_row(old, hash))
			count_witness(step, peer, hash, true);
	}
	for (guint i = 0; i < old->len; i++) {
		uint32_t hash = g_array_index(old, uint32_t, i);

		if (!has_row(told, hash))
			count_witness(step, peer, hash, false);
	}
	peer->unreachable = told;
	g_array_unref(old);
}
