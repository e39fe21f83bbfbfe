/*
 * Frames from other relays. Each reports its node's sends in flight at
 * upstreams, the prompt parts that upstreams recently read for it, requests
 * that crash upstreams, and how far it has read the record source. In a large
 * fleet frames stay within a failure domain; the leader of the domain sends
 * summaries of its loads to the leaders of other domains, which forward them
 * unchanged. A lost frame is repaired by a later one with all loads.
 */
#include <string.h>

#include "base/fault.h"
#include "relay/confirm.h"
#include "relay/duty.h"
#include "relay/scaling_run.h"
#include "relay/limit.h"
#include "relay/notice.h"
#include "relay/origin_tell.h"
#include "relay/pace.h"
#include "relay/permit.h"
#include "relay/share_calls.h"
#include "relay/suspect.h"
#include "relay/usage.h"

/* Shortest time between fetches of one feed: an answer takes several round
 * trips. */
#define FETCH_INTERVAL_MIN (150 * DFF_MSEC)
/* Frame intervals of silence after which frames of a node's other incarnation
 * or of another domain leader are accepted. */
#define TAKEOVER_INTERVALS 3

static void
apply_parts(step_t *step, const Dff__RelayBeat *frame)
{
	dff_relay_t *relay = step->relay;

	for (size_t i = 0; i < frame->n_kept; i++) {
		const Dff__RelayKept *row = frame->kept[i];
		upstream_t *up =
		    upstreams_find(relay->upstreams, row->upstream);
		const dff_pool_t *pool = NULL;

		if (up == NULL)
			continue;
		if (relay->routing != NULL)
			pool =
			    dff_routing_pool(relay->routing, up->record.pool);
		upstream_cache_part(up, row->part, row->tokens,
		    pool != NULL ? pool->kv_tokens : 0, step->now);
		kv_held_note_peer(&up->held, row->part, row->tokens, step->now);
	}
}

/* Notes how far the peer has read the record source, and fetches records that
 * this node lacks. */
static void
apply_marks(step_t *step, peer_t *peer, const Dff__RelayBeat *frame)
{
	dff_relay_t *relay = step->relay;

	if (frame->source_age_ms != AGE_NEVER) {
		peer->source_read_at =
		    step->now - (dff_time_t)frame->source_age_ms * DFF_MSEC;
		/* The age that a node reports grows while it does not read. */
		if (step->now - peer->source_read_at <
			(frame->summary ? DOMAIN_READ_AGE_MAX :
					  READER_AGE_MAX) ||
		    DFF_FAULT(RELAY_OLD_READER))
			relay_note_source_answer(step, peer->source_read_at);
	}
	/* Records are fetched from another domain by a few nodes only. */
	if (frame->summary && !peers_receives_summaries(relay, step->now))
		return;
	for (size_t i = 0; i < frame->n_marks && i < DFF_FEED_COUNT; i++) {
		dff_relay_effect_t *fx;

		if (frame->marks[i] <= relay->read_offsets[i] ||
		    step->now - relay->fetched_at[i] < FETCH_INTERVAL_MIN)
			continue;
		relay->fetched_at[i] = step->now;
		fx = relay_add_fx(step, DFF_RELAY_FX_FETCH);
		fx->fetch.feed = (dff_feed_t)i;
		g_strlcpy(
		    fx->fetch.addr, frame->records, sizeof(fx->fetch.addr));
	}
}

/* Forwards a domain's summary to the nodes of this domain. */
static void
forward_summary(step_t *step, const dff_relay_heartbeat_t *datagram)
{
	dff_relay_t *relay = step->relay;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		if (!peer_is_direct(relay, peer) ||
		    !peer_is_alive(relay, peer, step->now))
			continue;
		frame_send_bytes(
		    step, peer->addr, datagram->bytes, datagram->len);
	}
}

/* Parts recently read for this domain are reported in its summary. */
static void
queue_summary_parts(step_t *step, const Dff__RelayBeat *frame)
{
	dff_relay_t *relay = step->relay;

	if (!peers_sends_summaries(relay, step->now))
		return;
	for (size_t i = 0; i < frame->n_kept; i++) {
		recent_part_t part = {.upstream = frame->kept[i]->upstream,
		    .part = frame->kept[i]->part,
		    .tokens = frame->kept[i]->tokens,
		    .sent_at = step->now};

		frame_queue_part(relay->summary_parts, &part);
	}
}

/* Schedules a summary if the peer has sends at upstreams of other domains. */
static void
note_remote_loads(step_t *step, const peer_t *peer)
{
	dff_relay_t *relay = step->relay;

	if (relay->far_sends_report_at != 0 ||
	    !peers_sends_summaries(relay, step->now))
		return;
	for (guint i = 0; i < peer->loads->len; i++) {
		const upstream_t *up = upstreams_find(relay->upstreams,
		    g_array_index(peer->loads, peer_load_t, i).upstream);

		if (up != NULL && peers_upstream_is_remote(relay, up)) {
			frame_schedule_remote_update(step);
			return;
		}
	}
}

/*
 * Frames may overtake each other, and arrive twice when forwarded. Frames of
 * another incarnation of a node, or of another leader of a domain, are accepted
 * once the previous one is silent: incarnations follow the time of day, which
 * may jump, and a domain may briefly have two leaders while nodes discover
 * each other. A node's higher incarnation is accepted at once.
 */
static bool
is_new(const dff_relay_t *relay, const peer_t *peer,
    const Dff__RelayBeat *frame, dff_time_t now)
{
	if (frame->incarnation == peer->incarnation)
		return frame->sequence > peer->sequence;
	if (!frame->summary && frame->incarnation > peer->incarnation)
		return true;
	return now - peer->heard_at >
	    TAKEOVER_INTERVALS * peer_frame_interval(relay, peer);
}

/* A brief frame does not name its sender, which must be known from an earlier
 * frame. */
static peer_t *
find_sender(step_t *step, const dff_relay_heartbeat_t *datagram,
    const Dff__RelayBeat *frame)
{
	dff_relay_t *relay = step->relay;
	peer_t *peer;

	if (frame->summary) {
		peer = peers_find_or_add_summary(relay, frame->node);
		g_strlcpy(peer->domain, frame->domain, sizeof(peer->domain));
		g_strlcpy(peer->leader, frame->leader, sizeof(peer->leader));
		return peer;
	}
	if (frame->brief) {
		peer = peers_find(relay, datagram->addr);
		return peer != NULL && peer->node != NULL ? peer : NULL;
	}
	peers_add(
	    relay, datagram->addr, frame->domain, frame->link_mbps, step->now);
	return peers_find(relay, datagram->addr);
}

static void
apply_frame(step_t *step, const dff_relay_heartbeat_t *datagram,
    const Dff__RelayBeat *frame)
{
	dff_relay_t *relay = step->relay;
	peer_t *peer = find_sender(step, datagram, frame);

	if (peer == NULL || !is_new(relay, peer, frame, step->now))
		return;
	relay->counts[COUNT_HEARTBEATS_IN]++;
	relay->counts[COUNT_HEARTBEAT_BYTES_IN] += datagram->len;
	if (!peer_is_alive(relay, peer, step->now))
		dff_log(step->ctx, DFF_LOG_NOTICE, "peer",
		    "peer is alive node=%s addr=%s version=%" G_GUINT64_FORMAT,
		    frame->brief ? peer->node : frame->node, datagram->addr,
		    (guint64)frame->version);
	if (!frame->brief && g_strcmp0(peer->node, frame->node) != 0) {
		g_free(peer->node);
		peer->node = g_strdup(frame->node);
	}
	peer->incarnation = frame->incarnation;
	peer->sequence = frame->sequence;
	peer->heard_at = step->now;
	peer_apply_loads(relay, peer, frame);
	if (!frame->brief)
		unreachable_apply_peer(
		    step, peer, frame->unreachable, frame->n_unreachable);
	notice_apply_frame(step, peer, frame);
	limit_apply_frame(step, peer, frame);
	pace_apply_frame(step, frame);
	share_apply_frame(step, peer, frame);
	apply_parts(step, frame);
	for (size_t i = 0; i < frame->n_crashes; i++)
		suspect_apply_peer_crash(step, peer, frame->crashes[i]);
	if (!frame->brief) {
		peer->nodes = frame->nodes;
		peer->cut_off = frame->cut_off;
		peer->version = frame->version;
		duty_receive_frame(step, peer, frame);
		usage_receive_frame(step, peer, frame);
		scaling_receive_frame(peer, frame);
		apply_marks(step, peer, frame);
	}
	if (!frame->summary) {
		queue_summary_parts(step, frame);
		note_remote_loads(step, peer);
	} else if (peers_is_domain_leader(relay, step->now))
		forward_summary(step, datagram);
}

void
frame_receive(step_t *step, const dff_relay_heartbeat_t *datagram)
{
	dff_relay_t *relay = step->relay;
	Dff__RelayBeat *frame =
	    dff__relay_beat__unpack(NULL, datagram->len, datagram->bytes);

	if (frame == NULL) {
		relay->counts[COUNT_HEARTBEATS_BAD]++;
		dff_log(step->ctx, DFF_LOG_WARNING, "peer",
		    "malformed frame from=%s bytes=%zu", datagram->addr,
		    datagram->len);
		return;
	}
	if (frame->n_permits > 0)
		permit_receive(step, datagram, frame);
	else if (frame->n_origins > 0)
		origin_receive(step, frame);
	else if (frame->n_confirms > 0)
		confirm_receive(step, datagram, frame);
	else if (!frame->summary ||
	    strcmp(frame->domain, relay->config.domain) != 0)
		apply_frame(step, datagram, frame);
	dff__relay_beat__free_unpacked(frame, NULL);
}
