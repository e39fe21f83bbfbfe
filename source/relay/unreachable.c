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
#include "relay/internal.h"

/* A node that looks this many beats later than it should was stopped. */
#define STALL_BEATS 3

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

/* Reading a prompt may be repeated; what may have run stays where it is. */
static void
move_prefills(step_t *step, dff_handle_t upstream)
{
	call_t *call;

	for (dff_handle_t h = 0; (h = dff_table_next(step->relay->calls, h,
				      (void **)&call)) != 0;) {
		if (call->send.number != 0 && call->send.upstream == upstream &&
		    call->send.stage == DFF_STAGE_PREFILL)
			relay_call_retry_late(step, h);
	}
}

void
unreachable_find_silent(step_t *step)
{
	dff_relay_t *relay = step->relay;
	dff_time_t since = step->now - relay->silence_checked_at;
	upstream_t *up;

	relay->silence_checked_at = step->now;
	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		if (!upstream_is_overdue(up, step->now))
			continue;
		/* This node was stopped itself: what came is not read yet. */
		if (since > STALL_BEATS * beat_interval(relay)) {
			upstream_note_byte(up, step->now);
			continue;
		}
		dff_log(step->ctx, DFF_LOG_NOTICE, "upstream",
		    "upstream is silent id=%s running=%u awaited_ms=%" G_GINT64_FORMAT
		    " failures=%u",
		    up->news.id, up->running, up->awaited / DFF_MSEC,
		    up->failures);
		upstream_note_silent(up, step->now);
		move_prefills(step, h);
	}
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
