/*
 * Frames from other relays. Each tells its own sends under way at upstreams,
 * the parts that it had read lately, the requests that crash upstreams and
 * how far it knows the record source. In a large fleet frames stay within
 * a failure domain; its relay tells the sum of its loads to the relays of
 * the other domains, which hand it on unchanged. A lost frame is made good
 * by a later one that tells all loads.
 */
#include <string.h>

#include "base/fault.h"
#include "relay/suspect.h"
#include "relay/word.h"

/* Time between fetches of one feed: an answer takes some round trips. */
#define FETCH_EVERY (150 * DFF_MSEC)
/* Beats of silence after which another speaks for a node or a domain. */
#define SUCCEED_BEATS 3

/* ---- taking ---- */

static void
take_parts(step_t *step, const Dff__RelayBeat *beat)
{
	dff_relay_t *relay = step->relay;

	for (size_t i = 0; i < beat->n_kept; i++) {
		const Dff__RelayKept *row = beat->kept[i];
		upstream_t *up =
		    upstreams_find(relay->upstreams, row->upstream);
		const dff_pool_t *pool = NULL;

		if (up == NULL)
			continue;
		if (relay->routing != NULL)
			pool = dff_routing_pool(relay->routing, up->news.pool);
		upstream_cache_part(up, row->part, row->tokens,
		    pool != NULL ? pool->kv_tokens : 0, step->now);
	}
}

/* How far the peer knows the record source; fetch what is missing here. */
static void
take_marks(step_t *step, peer_t *peer, const Dff__RelayBeat *beat)
{
	dff_relay_t *relay = step->relay;

	if (beat->source_age_ms != AGE_NEVER) {
		peer->source_read_at =
		    step->now - (dff_time_t)beat->source_age_ms * DFF_MSEC;
		/* A node that does not read tells an age that only grows. */
		if (step->now - peer->source_read_at <
			(beat->summary ? DOMAIN_FRESH : READER_FRESH) ||
		    DFF_FAULT(RELAY_OLD_READER))
			relay_note_source_answer(step, peer->source_read_at);
	}
	/* What another domain knows is fetched once for this one. */
	if (beat->summary && !peers_hears_domains(relay, step->now))
		return;
	for (size_t i = 0; i < beat->n_marks && i < DFF_FEED_COUNT; i++) {
		dff_relay_effect_t *fx;

		if (beat->marks[i] <= relay->read_offsets[i] ||
		    step->now - relay->fetched_at[i] < FETCH_EVERY)
			continue;
		relay->fetched_at[i] = step->now;
		fx = relay_add_fx(step, DFF_RELAY_FX_FETCH);
		fx->fetch.feed = (dff_feed_t)i;
		g_strlcpy(
		    fx->fetch.addr, beat->records, sizeof(fx->fetch.addr));
	}
}

/* Hand a domain's sum on to the nodes of this domain. */
static void
hand_on(step_t *step, const dff_relay_heartbeat_t *in)
{
	dff_relay_t *relay = step->relay;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];
		dff_relay_effect_t *fx;

		if (!peer_is_direct(relay, peer) ||
		    !peer_is_alive(relay, peer, step->now))
			continue;
		fx = relay_add_fx(step, DFF_RELAY_FX_FRAME);
		g_strlcpy(fx->frame.addr, peer->addr, sizeof(fx->frame.addr));
		fx->frame.bytes = in->bytes;
		fx->frame.len = in->len;
	}
}

/* What this domain had read lately is told to the others in its sum. */
static void
keep_for_summary(step_t *step, const Dff__RelayBeat *beat)
{
	dff_relay_t *relay = step->relay;

	if (!peers_speaks(relay, step->now))
		return;
	for (size_t i = 0; i < beat->n_kept; i++) {
		recent_part_t part = {.upstream = beat->kept[i]->upstream,
		    .part = beat->kept[i]->part,
		    .tokens = beat->kept[i]->tokens,
		    .sent_at = step->now};

		tell_add_part(relay->summary_parts, &part);
	}
}

/* Sends to other domains' upstreams are told there soon. */
static void
note_far_loads(step_t *step, const peer_t *peer)
{
	dff_relay_t *relay = step->relay;

	if (relay->far_sends_report_at != 0 || !peers_speaks(relay, step->now))
		return;
	for (guint i = 0; i < peer->loads->len; i++) {
		const upstream_t *up = upstreams_find(relay->upstreams,
		    g_array_index(peer->loads, peer_load_t, i).upstream);

		if (up != NULL && peers_is_far(relay, up)) {
			tell_note_far(step);
			return;
		}
	}
}

/*
 * Frames may overtake each other, and come twice when handed on. Another
 * start of a node, or another relay of a domain, is heard once the one
 * before has fallen silent: incarnations follow the time of day, which may
 * jump, and two relays may speak at once while nodes find each other.
 */
static bool
is_new(const dff_relay_t *relay, const peer_t *peer, const Dff__RelayBeat *beat,
    dff_time_t now)
{
	if (beat->incarnation == peer->incarnation)
		return beat->sequence > peer->sequence;
	if (!beat->summary && beat->incarnation > peer->incarnation)
		return true;
	return now - peer->heard_at >
	    SUCCEED_BEATS * peer_interval(relay, peer);
}

/* A brief frame does not say who sends it: another must have come before. */
static peer_t *
find_sender(
    step_t *step, const dff_relay_heartbeat_t *in, const Dff__RelayBeat *beat)
{
	dff_relay_t *relay = step->relay;
	peer_t *peer;

	if (beat->summary) {
		peer = peers_find_summary(relay, beat->node);
		g_strlcpy(peer->domain, beat->domain, sizeof(peer->domain));
		return peer;
	}
	if (beat->brief) {
		peer = peers_find(relay, in->addr);
		return peer != NULL && peer->node != NULL ? peer : NULL;
	}
	beat_add_peer(
	    relay, in->addr, beat->domain, beat->link_mbps, step->now);
	return peers_find(relay, in->addr);
}

static void
take_frame(
    step_t *step, const dff_relay_heartbeat_t *in, const Dff__RelayBeat *beat)
{
	dff_relay_t *relay = step->relay;
	peer_t *peer = find_sender(step, in, beat);

	if (peer == NULL || !is_new(relay, peer, beat, step->now))
		return;
	relay->counts[COUNT_HEARTBEATS_IN]++;
	relay->counts[COUNT_HEARTBEAT_BYTES_IN] += in->len;
	if (!peer_is_alive(relay, peer, step->now))
		dff_log(step->ctx, DFF_LOG_NOTICE, "peer",
		    "peer heard node=%s addr=%s version=%" G_GUINT64_FORMAT,
		    beat->brief ? peer->node : beat->node, in->addr,
		    (guint64)beat->version);
	if (!beat->brief && g_strcmp0(peer->node, beat->node) != 0) {
		g_free(peer->node);
		peer->node = g_strdup(beat->node);
	}
	peer->incarnation = beat->incarnation;
	peer->sequence = beat->sequence;
	peer->heard_at = step->now;
	peer_load_frame(relay, peer, beat);
	if (!beat->brief)
		unreachable_load(
		    step, peer, beat->unreachable, beat->n_unreachable);
	word_load(step, peer, beat);
	take_parts(step, beat);
	for (size_t i = 0; i < beat->n_crashes; i++)
		suspect_load(step, peer, beat->crashes[i]);
	if (!beat->brief)
		take_marks(step, peer, beat);
	if (!beat->summary) {
		keep_for_summary(step, beat);
		note_far_loads(step, peer);
	} else if (peers_is_relay(relay, step->now))
		hand_on(step, in);
}

void
beat_take(step_t *step, const dff_relay_heartbeat_t *in)
{
	dff_relay_t *relay = step->relay;
	Dff__RelayBeat *beat =
	    dff__relay_beat__unpack(NULL, in->len, in->bytes);

	if (beat == NULL) {
		relay->counts[COUNT_HEARTBEATS_BAD]++;
		dff_log(step->ctx, DFF_LOG_WARNING, "peer",
		    "frame cannot be read from=%s bytes=%zu", in->addr,
		    in->len);
		return;
	}
	if (!beat->summary || strcmp(beat->domain, relay->config.domain) != 0)
		take_frame(step, in, beat);
	dff__relay_beat__free_unpacked(beat, NULL);
}
