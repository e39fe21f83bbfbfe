#include "relay/forward.h"

#include <string.h>

#include "base/fault.h"
#include "relay/origin.h"
#include "relay/peers.h"
#include "relay/reach.h"
#include "relay/send.h"

/* Longest time for a connection to a peer: some round trips. */
#define CONNECT_TIME (350 * DFF_MSEC)
/* Reserved of a caller's time for the way back. */
#define TRANSFER_TIME (10 * DFF_MSEC)
/* ---- choice of a peer ---- */

static bool
was_tried(const call_t *call, const peer_t *peer)
{
	uint64_t hash = dff_hash(peer->addr, strlen(peer->addr), 0);

	for (uint32_t i = 0; i < call->peers_tried_count; i++) {
		if (call->peers_tried[i] == hash)
			return true;
	}
	return false;
}

/* Whether a peer may reach upstreams and has this configuration or a newer one.
 * Those of other failure domains of a large fleet send no frames to this node;
 * they are known by the node list. */
static bool
is_candidate(const step_t *step, const call_t *call, const peer_t *peer,
    bool direct, uint64_t version)
{
	const dff_relay_t *relay = step->relay;

	if (*peer->addr == '\0' || peer_is_direct(relay, peer) != direct ||
	    was_tried(call, peer))
		return false;
	return !direct ||
	    (peer_is_alive(relay, peer, step->now) && !peer->cut_off &&
		(peer->version >= version || DFF_FAULT(RELAY_OLD_PEER)) &&
		reach_peer_reaches(relay, peer, call->pool, step->now));
}

static const peer_t *
pick_among(step_t *step, const call_t *call, bool direct, uint64_t version)
{
	const dff_relay_t *relay = step->relay;
	const peer_t *picked = NULL;
	uint32_t seen = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		if (is_candidate(step, call, peer, direct, version) &&
		    dff_rand_below(step->ctx, ++seen) == 0)
			picked = peer;
	}
	return picked;
}

/* A random one, so that the calls of a cut are spread. A caller must not meet an
 * older configuration than one that it has met. */
static const peer_t *
pick_peer(step_t *step, const call_t *call)
{
	const dff_relay_t *relay = step->relay;
	const peer_t *peer;

	if (call->peers_tried_count >= PEERS_TRIED_MAX)
		return NULL;
	peer = pick_among(
	    step, call, true, MAX(call->routing->version, relay->used_version));
	if (peer == NULL)
		peer = pick_among(step, call, true, relay->used_version);
	return peer != NULL ? peer : pick_among(step, call, false, 0);
}

/* ---- sending ---- */

static void
start_send(step_t *step, call_t *call, const peer_t *peer)
{
	dff_relay_t *relay = step->relay;
	dff_relay_effect_t *fx = relay_add_fx(step, DFF_RELAY_FX_SEND);
	send_t *send = &call->send;

	memset(send, 0, sizeof(*send));
	events_begin(&call->events);
	send->number = ++relay->next_send;
	send->to_peer = true;
	g_strlcpy(send->id, peer->node != NULL ? peer->node : peer->addr,
	    sizeof(send->id));
	g_strlcpy(send->addr, peer->addr, sizeof(send->addr));
	send->sent_at = step->now;
	g_hash_table_insert(relay->by_send, &send->number, call);
	call->sends++;
	call->peers_tried[call->peers_tried_count++] =
	    dff_hash(peer->addr, strlen(peer->addr), 0);
	relay->counts[COUNT_FORWARDED]++;
	relay->used_version = MAX(relay->used_version, peer->version);
	fx->send.call = call->number;
	fx->send.send = send->number;
	g_strlcpy(fx->send.upstream, peer->addr, sizeof(fx->send.upstream));
	g_strlcpy(fx->send.addr, peer->addr, sizeof(fx->send.addr));
	fx->send.to_peer = true;
	fx->send.time_left = call->deadline - step->now - TRANSFER_TIME;
	fx->send.after_event = call->after_event;
	fx->send.priority = call->priority;
	g_strlcpy(fx->send.organisation, call->organisation,
	    sizeof(fx->send.organisation));
	fx->send.checks_keys = call->routing->organisations != NULL ||
	    call->organisation[0] != '\0';
	fx->send.connect_time = CONNECT_TIME;
	dff_log(step->ctx, DFF_LOG_INFO, "place",
	    "request forwarded to a peer id=%s route=%s peer=%s send=%u "
	    "time_left_ms=%" G_GINT64_FORMAT " after_event=%" G_GINT64_FORMAT,
	    call->id, call->route->name, send->id, call->sends,
	    fx->send.time_left / DFF_MSEC, call->after_event);
}

bool
forward_is_due(const step_t *step, const call_t *call)
{
	return reach_is_cut_off(step->relay) ||
	    reach_pool_is_cut_off(step->relay, call->pool);
}

bool
forward_to_peer(step_t *step, call_t *call)
{
	const peer_t *peer;

	if (!forward_is_due(step, call) || call->from_peer ||
	    call->deadline - step->now <= TRANSFER_TIME ||
	    DFF_FAULT(RELAY_CUT_NOT_FORWARDED))
		return false;
	peer = pick_peer(step, call);
	if (peer == NULL)
		return false;
	start_send(step, call, peer);
	return true;
}

/* ---- answers ---- */

void
forward_note_head(send_t *send, const dff_relay_head_t *head)
{
	send->not_run = head->status == 503 && !head->stamped;
	send->retry_after = head->notice.pause;
}

static void
handle_refusal(step_t *step, call_t *call)
{
	if (call->progress < DFF_PROGRESS_REJECTED)
		call->progress = DFF_PROGRESS_REJECTED;
	relay_call_give_up(step, call, DFF_FAILURE_BUSY, call->send.retry_after,
	    "refused_by_peer");
}

void
forward_end(step_t *step, call_t *call, dff_send_result_t result)
{
	send_t *send = &call->send;

	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "peer did not serve request id=%s peer=%s end=%d status=%d "
	    "after_ms=%" G_GINT64_FORMAT,
	    call->id, send->id, (int)result, send->status,
	    (step->now - send->sent_at) / DFF_MSEC);
	if (result == DFF_SEND_UNSENT || DFF_FAULT(RELAY_FORWARDED_AGAIN)) {
		call->unreachable_sends++;
		/* A stream that its caller resumes is bound to no software
		 * version yet. */
		if (forward_to_peer(step, call))
			return;
		if (call->after_event >= 0 && !call->stream_begun)
			origin_resume(step, call);
		else
			relay_send_place(step, call);
	} else if (send->not_run)
		handle_refusal(step, call);
	else {
		call->progress = MAX(call->progress, DFF_PROGRESS_MAY_HAVE_RUN);
		relay_call_give_up(step, call,
		    send->status == 504 ? DFF_FAILURE_TIMEOUT :
					  DFF_FAILURE_UPSTREAM,
		    0, "broken_at_peer");
	}
}
