/*
 * Upstreams that nodes cannot reach, reported between nodes that send frames
 * to each other. When many engines crash at once, their records remain until
 * they expire; a node that had to find each of them by itself would delay one
 * request for each dead engine.
 *
 * A node reports only upstreams that it failed to reach itself, not those
 * that others report, so that no report outlives the failures behind it. The
 * reporting nodes go on trying, each with one request at a time; the others
 * use the upstream again when too few peers report it.
 */
#include "base/fault.h"
#include "relay/internal.h"
#include "relay/reach.h"

/* A node whose checks are this many frame intervals apart was stalled. */
#define STALL_INTERVALS 3

size_t
unreachable_list(const dff_relay_t *relay, uint32_t *rows, dff_time_t now)
{
	size_t count = 0;
	upstream_t *up;

	if (reach_is_cut_off(relay) || DFF_FAULT(RELAY_UNREACHABLE_UNTOLD))
		return 0;
	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		if (count == UNREACHABLE_MAX)
			break;
		/* A node that reached none since may be cut off itself. */
		if (upstream_is_listed(up, now) &&
		    (reach_pool_is_cut_off(relay, up->record.pool) ||
			(upstream_is_failing(up, now) &&
			    reach_is_proved(relay, up->failing_since, now))))
			rows[count++] = up->hash;
	}
	return count;
}

/* Moves prefills to other engines, as reading a prompt may be repeated;
 * requests that may have run stay where they are. */
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
unreachable_check_silent(step_t *step)
{
	dff_relay_t *relay = step->relay;
	dff_time_t since = step->now - relay->silence_checked_at;
	upstream_t *up;

	relay->silence_checked_at = step->now;
	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		if (!upstream_is_overdue(up, step->now))
			continue;
		/* This node itself was stalled and has not read yet what came
		 * in meanwhile. */
		if (since > STALL_INTERVALS * peers_frame_interval(relay)) {
			upstream_note_byte(up, step->now);
			continue;
		}
		dff_log(step->ctx, DFF_LOG_NOTICE, "upstream",
		    "upstream is silent id=%s running=%u awaited_ms=%" G_GINT64_FORMAT
		    " failures=%u",
		    up->record.id, up->running, up->max_expected / DFF_MSEC,
		    up->connect_failures);
		upstream_note_silent(up, step->now);
		reach_note_failure(step);
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

/* Adds or removes one peer that cannot reach an upstream. */
static void
count_failing_peer(
    step_t *step, const peer_t *peer, uint32_t hash, bool failing)
{
	upstream_t *up = upstreams_find(step->relay->upstreams, hash);
	bool took_work;

	if (up == NULL)
		return;
	took_work = upstream_takes_work(up, step->now);
	if (failing) {
		up->failing_peers++;
		upstream_note_peer_failure(up, step->now);
	} else
		up->failing_peers -= MIN(up->failing_peers, 1);
	if (upstream_takes_work(up, step->now) == took_work)
		return;
	dff_log(step->ctx, DFF_LOG_NOTICE, "upstream",
	    "upstream %s peers' reach id=%s peers=%u told_by=%s",
	    took_work ? "out of" : "back in", up->record.id, up->failing_peers,
	    peer->node != NULL ? peer->node : peer->addr);
}

void
unreachable_apply_peer(
    step_t *step, peer_t *peer, const uint32_t *rows, size_t count)
{
	GArray *previous = peer->unreachable;
	GArray *reported;

	/* In the usual case neither the previous nor the new list has rows. */
	if (count == 0 && previous->len == 0)
		return;
	reported = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (size_t i = 0; i < count; i++) {
		if (!has_row(reported, rows[i]))
			g_array_append_val(reported, rows[i]);
	}
	for (guint i = 0; i < reported->len; i++) {
		uint32_t hash = g_array_index(reported, uint32_t, i);

		if (!has_row(previous, hash))
			count_failing_peer(step, peer, hash, true);
	}
	for (guint i = 0; i < previous->len; i++) {
		uint32_t hash = g_array_index(previous, uint32_t, i);

		if (!has_row(reported, hash))
			count_failing_peer(step, peer, hash, false);
	}
	peer->unreachable = reported;
	g_array_unref(previous);
}
