/*
 * Frames to other relays; frame_receive.c describes their content. A node of a
 * large fleet may send many prompts a second over a slow link. Frames that
 * report new sends therefore contain only changes and are limited to a share
 * of the link; all loads are sent once a second.
 */
#include <string.h>

#include "base/fault.h"
#include "relay/duty.h"
#include "relay/scaling_run.h"
#include "relay/reach.h"
#include "relay/limit.h"
#include "relay/pace.h"
#include "relay/notice.h"
#include "relay/share_calls.h"
#include "relay/suspect.h"
#include "relay/usage.h"

/* Sends that start within this time are reported in one frame. */
#define UPDATE_DELAY (3 * DFF_MSEC)
/* Share of a node's link for frames that report its new sends. */
#define LINK_SHARE 0.12
/* Bytes a second of a link of 1 Mbit/s. */
#define BYTES_PER_MBIT 125000
/* Header bytes of a datagram. */
#define DATAGRAM_HEADER 28
/* Time between frames with all loads. */
#define FULL_FRAME_INTERVAL DFF_SEC
/* Time between frames to a silent peer, until it is removed. */
#define SILENT_PEER_INTERVAL (500 * DFF_MSEC)
/* A part is reported at once and in the next full frame, as frames get lost. */
#define PART_REPORT_TIME (FULL_FRAME_INTERVAL + 200 * DFF_MSEC)
/* A part is reported for this time in summaries, that is in several of them. */
#define SUMMARY_PART_TIME (450 * DFF_MSEC)
/* Time after which a reported part may be reported again. */
#define PART_REPEAT_AFTER (3 * DFF_SEC)
/* Sends to upstreams of other domains that are reported within this time go
 * into one summary. */
#define REMOTE_UPDATE_DELAY (12 * DFF_MSEC)
/* Most rows of one frame. */
#define LOADS_MAX 80
#define PARTS_MAX 100
/* Subjects of the timer DFF_TIMER_MEMBER_UPDATE. */
#define UPDATE_OWN    0
#define UPDATE_REMOTE 1

/** enum extent - how much one of this node's own frames contains */
typedef enum extent {
	EXTENT_FULL, /* everything */
	EXTENT_STATE, /* everything except unchanged loads */
	EXTENT_CHANGES, /* changed loads, new parts, crashes */
} extent_t;

/* A frame that is being built. */
typedef struct draft {
	Dff__RelayBeat frame;
	Dff__RelayLoad loads[LOADS_MAX];
	Dff__RelayLoad *load_rows[LOADS_MAX];
	Dff__RelayKept parts[PARTS_MAX];
	Dff__RelayKept *part_rows[PARTS_MAX];
	Dff__RelayCrash crashes[CRASH_ROWS_MAX];
	Dff__RelayCrash *crash_rows[CRASH_ROWS_MAX];
	uint32_t unreachable[UNREACHABLE_MAX];
	Dff__RelayWord notices[NOTICE_ROWS_MAX];
	Dff__RelayWord *notice_rows[NOTICE_ROWS_MAX];
	Dff__RelayLimit limits[LIMIT_ROWS_MAX];
	Dff__RelayLimit *limit_rows[LIMIT_ROWS_MAX];
	Dff__RelayPace paces[PACE_ROWS_MAX];
	Dff__RelayPace *pace_rows[PACE_ROWS_MAX];
	share_rows_t shares;
	char node[2 * DFF_NAME_MAX];
	Dff__RelayDuty duty;
	Dff__RelayReading readings[PEER_READINGS_MAX];
	Dff__RelayReading *reading_rows[PEER_READINGS_MAX];
	Dff__RelayUsage usage[USAGE_ROWS_MAX];
	Dff__RelayUsage *usage_rows[USAGE_ROWS_MAX];
} draft_t;

/* A part that is queued already is not added again. */
void
frame_queue_part(GArray *parts, const recent_part_t *part)
{
	for (guint i = parts->len; i-- > 0;) {
		const recent_part_t *queued =
		    &g_array_index(parts, recent_part_t, i);

		if (queued->part == part->part &&
		    queued->upstream == part->upstream)
			return;
	}
	g_array_append_vals(parts, part, 1);
}

void
frame_note_part(dff_relay_t *relay, const upstream_t *up, uint64_t part,
    uint32_t tokens, dff_time_t now)
{
	recent_part_t queued = {.upstream = up->hash,
	    .part = part,
	    .tokens = tokens,
	    .sent_at = now};

	frame_queue_part(relay->recent_parts, &queued);
	if (peers_sends_summaries(relay, now))
		frame_queue_part(relay->summary_parts, &queued);
}

static void
expire_parts(GArray *parts, dff_time_t now)
{
	guint old = 0;

	while (old < parts->len &&
	    now - g_array_index(parts, recent_part_t, old).sent_at >
		PART_REPEAT_AFTER)
		old++;
	if (old > 0)
		g_array_remove_range(parts, 0, old);
}

static void
init_draft(draft_t *draft)
{
	dff__relay_beat__init(&draft->frame);
	for (size_t i = 0; i < LOADS_MAX; i++)
		draft->load_rows[i] = &draft->loads[i];
	for (size_t i = 0; i < PARTS_MAX; i++)
		draft->part_rows[i] = &draft->parts[i];
	for (size_t i = 0; i < CRASH_ROWS_MAX; i++)
		draft->crash_rows[i] = &draft->crashes[i];
	for (size_t i = 0; i < NOTICE_ROWS_MAX; i++)
		draft->notice_rows[i] = &draft->notices[i];
	for (size_t i = 0; i < LIMIT_ROWS_MAX; i++)
		draft->limit_rows[i] = &draft->limits[i];
	for (size_t i = 0; i < PACE_ROWS_MAX; i++)
		draft->pace_rows[i] = &draft->paces[i];
	draft->frame.paces = draft->pace_rows;
	draft->frame.words = draft->notice_rows;
	draft->frame.limits = draft->limit_rows;
	draft->frame.shares = draft->shares.rows;
	draft->frame.loads = draft->load_rows;
	draft->frame.kept = draft->part_rows;
	draft->frame.crashes = draft->crash_rows;
	draft->frame.source_age_ms = AGE_NEVER;
}

/*
 * Adds a row unless the load is unchanged. Rows that do not fit are left for
 * the next frame of changes.
 */
static void
add_load(draft_t *draft, const upstream_t *up, const in_flight_t *sends,
    in_flight_t *reported)
{
	static const in_flight_t none;
	const in_flight_t *known = draft->frame.changes ? reported : &none;
	Dff__RelayLoad *row;

	if (memcmp(sends, known, sizeof(*sends)) == 0 ||
	    draft->frame.n_loads == LOADS_MAX) {
		*reported = *known;
		return;
	}
	row = &draft->loads[draft->frame.n_loads++];
	dff__relay_load__init(row);
	row->upstream = up->hash;
	row->running = sends->running;
	row->backlog = sends->backlog;
	row->memory = sends->memory;
	row->unshared = sends->unshared;
	*reported = *sends;
}

/* Numbers above 32 bits are reported as UINT32_MAX. */
static in_flight_t
sum_sends(
    uint64_t running, uint64_t backlog, uint64_t memory, uint64_t unshared)
{
	return (in_flight_t){(uint32_t)MIN(running, UINT32_MAX),
	    (uint32_t)MIN(backlog, UINT32_MAX),
	    (uint32_t)MIN(memory, UINT32_MAX),
	    (uint32_t)MIN(unshared, UINT32_MAX)};
}

/* Adds the parts that were read since @since. */
static void
add_parts(const GArray *parts, draft_t *draft, dff_time_t since)
{
	/* Newest first: older ones were reported before. */
	for (guint i = parts->len;
	     i-- > 0 && draft->frame.n_kept < PARTS_MAX;) {
		const recent_part_t *part =
		    &g_array_index(parts, recent_part_t, i);
		Dff__RelayKept *row;

		if (part->sent_at < since)
			break;
		row = &draft->parts[draft->frame.n_kept++];
		dff__relay_kept__init(row);
		row->upstream = part->upstream;
		row->part = part->part;
		row->tokens = part->tokens;
	}
}

const GByteArray *
frame_pack(dff_relay_t *relay, Dff__RelayBeat *frame)
{
	GByteArray *bytes = g_byte_array_new();

	g_ptr_array_add(relay->frames, bytes);
	frame->incarnation = relay->config.incarnation;
	frame->sequence = ++relay->sequence;
	g_byte_array_set_size(
	    bytes, (guint)dff__relay_beat__get_packed_size(frame));
	(void)dff__relay_beat__pack(frame, bytes->data);
	return bytes;
}

const GByteArray *
frame_pack_rows(dff_relay_t *relay, Dff__RelayBeat *frame)
{
	frame->brief = true;
	frame->changes = true;
	return frame_pack(relay, frame);
}

/* Adds how far and when the record source was read, and the address that serves
 * its records. */
static void
add_feeds(step_t *step, draft_t *draft, dff_time_t read_at)
{
	dff_relay_t *relay = step->relay;

	draft->frame.records = relay->config.records;
	draft->frame.n_marks = DFF_FEED_COUNT;
	draft->frame.marks = relay->changed_offsets;
	if (read_at != 0)
		draft->frame.source_age_ms = (uint32_t)MIN(
		    (step->now - read_at) / DFF_MSEC, AGE_NEVER - 1);
}

/* Adds this node's identity and its state beside its own sends. */
static void
add_state(step_t *step, draft_t *draft, bool full)
{
	dff_relay_t *relay = step->relay;

	draft->frame.node = relay->config.id;
	draft->frame.domain = relay->config.domain;
	draft->frame.link_mbps = relay->config.link_mbps;
	draft->frame.cut_off = reach_is_cut_off(relay);
	draft->frame.nodes = 1 + peers_count_direct(relay, step->now);
	draft->frame.version =
	    relay->routing != NULL ? relay->routing->version : 0;
	add_feeds(step, draft, relay->source_read_at);
	draft->frame.n_words =
	    notice_list(relay, NOTICE_ORIGIN_SELF, draft->notices, step->now);
	draft->frame.n_limits =
	    limit_list(relay, false, full, draft->limits, step->now);
	duty_fill_frame(step, &draft->frame, &draft->duty);
	usage_fill_frame(step, &draft->frame, draft->usage, draft->usage_rows);
	if (full)
		draft->frame.n_shares =
		    share_list_frame(relay, false, &draft->shares, step->now);
	draft->frame.reading = draft->reading_rows;
	draft->frame.n_reading = scaling_fill_frame(
	    step, false, draft->readings, draft->reading_rows);
	draft->frame.unreachable = draft->unreachable;
	draft->frame.n_unreachable =
	    unreachable_list(relay, draft->unreachable, step->now);
}

/* Builds a frame of this node's own sends and state. */
static const GByteArray *
make_own_frame(step_t *step, extent_t extent)
{
	dff_relay_t *relay = step->relay;
	draft_t draft;
	upstream_t *up;

	init_draft(&draft);
	draft.frame.changes = extent != EXTENT_FULL;
	draft.frame.brief = extent == EXTENT_CHANGES;
	if (!draft.frame.brief)
		add_state(step, &draft, extent == EXTENT_FULL);
	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		in_flight_t sends = sum_sends(
		    up->running, up->backlog, up->memory, up->held.unshared);

		add_load(&draft, up, &sends, &up->reported);
	}
	expire_parts(relay->recent_parts, step->now);
	add_parts(relay->recent_parts, &draft,
	    draft.frame.changes ? relay->broadcast_at :
				  step->now - PART_REPORT_TIME);
	draft.frame.n_crashes = suspect_list(relay, draft.crashes,
	    extent == EXTENT_FULL ? EVIDENCE_OWN_AND_REFUSED : EVIDENCE_OWN,
	    step->now);
	draft.frame.n_paces = pace_list(relay, false, draft.paces, step->now);
	relay->broadcast_at = step->now;
	return frame_pack(relay, &draft.frame);
}

/* Sums up the sends of this domain's nodes at an upstream. */
static in_flight_t
sum_domain_sends(const upstream_t *up)
{
	return sum_sends(
	    up->running + up->peer_sends.running - up->domain_sends.running,
	    up->backlog + up->peer_sends.backlog - up->domain_sends.backlog,
	    up->memory + up->peer_sends.memory - up->domain_sends.memory,
	    up->held.unshared + up->peer_sends.unshared -
		up->domain_sends.unshared);
}

/* Adds what this domain knows beside its nodes' sends. */
static void
add_domain_state(step_t *step, draft_t *draft)
{
	dff_relay_t *relay = step->relay;
	bool all_limits =
	    step->now - relay->limits_summarized_at >= FULL_FRAME_INTERVAL;

	expire_parts(relay->summary_parts, step->now);
	add_parts(relay->summary_parts, draft,
	    step->now - peers_scale_summary_time(relay, SUMMARY_PART_TIME));
	draft->frame.n_crashes =
	    suspect_list(relay, draft->crashes, EVIDENCE_ALL, step->now);
	add_feeds(step, draft, peers_last_source_read(relay));
	draft->frame.n_words =
	    notice_list(relay, NOTICE_ORIGIN_PEER, draft->notices, step->now);
	draft->frame.leader = relay->config.addr;
	duty_fill_frame(step, &draft->frame, &draft->duty);
	draft->frame.reading = draft->reading_rows;
	draft->frame.n_reading = scaling_fill_frame(
	    step, true, draft->readings, draft->reading_rows);
	draft->frame.n_limits =
	    limit_list(relay, true, all_limits, draft->limits, step->now);
	draft->frame.n_paces = pace_list(relay, true, draft->paces, step->now);
	if (all_limits)
		relay->limits_summarized_at = step->now;
	draft->frame.n_shares =
	    share_list_frame(relay, true, &draft->shares, step->now);
}

/*
 * Builds a summary over the nodes of this domain, one for upstreams here and
 * one for upstreams in other domains. The nodes there cannot know the latter
 * loads, so that these are also reported at once.
 */
static const GByteArray *
make_summary(step_t *step, bool remote, bool changes)
{
	dff_relay_t *relay = step->relay;
	draft_t draft;
	upstream_t *up;

	init_draft(&draft);
	(void)g_snprintf(draft.node, sizeof(draft.node), "domain %s %s",
	    relay->config.domain, remote ? "far" : "near");
	draft.frame.node = draft.node;
	draft.frame.domain = relay->config.domain;
	draft.frame.summary = true;
	draft.frame.changes = changes;
	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		in_flight_t sum;

		if (peers_upstream_is_remote(relay, up) != remote)
			continue;
		sum = sum_domain_sends(up);
		add_load(&draft, up, &sum, &up->domain_reported);
	}
	if (!remote)
		add_domain_state(step, &draft);
	return frame_pack(relay, &draft.frame);
}

void
frame_send_bytes(
    step_t *step, const char *addr, const uint8_t *bytes, size_t len)
{
	dff_relay_effect_t *fx = relay_add_fx(step, DFF_RELAY_FX_FRAME);

	g_strlcpy(fx->frame.addr, addr, sizeof(fx->frame.addr));
	fx->frame.bytes = bytes;
	fx->frame.len = len;
}

size_t
frame_send_rows(step_t *step, const char *addr, Dff__RelayBeat *frame)
{
	const GByteArray *bytes = frame_pack_rows(step->relay, frame);

	frame_send_bytes(step, addr, bytes->data, bytes->len);
	return bytes->len;
}

static void
send_frame(step_t *step, peer_t *peer, const GByteArray *frame)
{
	step->relay->counts[COUNT_HEARTBEATS_OUT]++;
	step->relay->counts[COUNT_HEARTBEAT_BYTES_OUT] += frame->len;
	frame_send_bytes(step, peer->addr, frame->data, frame->len);
}

/* Number of nodes of a peer's domain that rank above it. */
static uint32_t
count_higher_ranked(const dff_relay_t *relay, const peer_t *peer)
{
	uint64_t own = peer_rank(peer->addr, peer->link_mbps);
	uint32_t higher = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *other = relay->peers->pdata[i];

		if (*other->addr != '\0' &&
		    strcmp(other->domain, peer->domain) == 0 &&
		    peer_rank(other->addr, other->link_mbps) > own)
			higher++;
	}
	return higher;
}

/* Sends a summary of this domain to a few nodes of each other domain. */
static void
send_summaries(step_t *step, bool remote, bool changes)
{
	dff_relay_t *relay = step->relay;
	const GByteArray *frame = make_summary(step, remote, changes);

	for (guint i = 0; i < relay->peers->len; i++) {
		peer_t *peer = relay->peers->pdata[i];

		if (*peer->addr == '\0' || peer_is_direct(relay, peer) ||
		    count_higher_ranked(relay, peer) >= SUMMARY_RECEIVERS)
			continue;
		send_frame(step, peer, frame);
	}
}

/* Sends this node's own frame to peers, less often to silent ones. Returns the
 * bytes that this takes of the link. */
static uint64_t
send_own_frames(step_t *step, extent_t extent)
{
	dff_relay_t *relay = step->relay;
	const GByteArray *frame = make_own_frame(step, extent);
	uint64_t bytes = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		peer_t *peer = relay->peers->pdata[i];

		if (!peer_is_direct(relay, peer))
			continue;
		if (!peer_is_alive(relay, peer, step->now) &&
		    (extent == EXTENT_CHANGES ||
			step->now - peer->sent_at < SILENT_PEER_INTERVAL))
			continue;
		peer->sent_at = step->now;
		bytes += frame->len + DATAGRAM_HEADER;
		send_frame(step, peer, frame);
	}
	return bytes;
}

/* The next frame of new sends is due when these frames have used up their share
 * of the link. */
static void
send_own_update(step_t *step)
{
	dff_relay_t *relay = step->relay;
	uint64_t bytes = send_own_frames(step, EXTENT_CHANGES);
	double share = relay->config.link_mbps * BYTES_PER_MBIT * LINK_SHARE;

	if (share > 0 && !DFF_FAULT(RELAY_TELLS_UNBOUND))
		relay->sends_report_allowed_at =
		    step->now + (dff_time_t)((double)bytes * DFF_SEC / share);
}

void
frame_schedule_update(step_t *step)
{
	dff_relay_t *relay = step->relay;

	if (relay->sends_report_at != 0 || DFF_FAULT(RELAY_SENDS_UNTOLD))
		return;
	relay->sends_report_at =
	    MAX(step->now + UPDATE_DELAY, relay->sends_report_allowed_at);
	dff_timers_set(relay->timers, DFF_TIMER_MEMBER_UPDATE, UPDATE_OWN,
	    relay->sends_report_at);
}

void
frame_send_soon(step_t *step)
{
	dff_timers_set(step->relay->timers, DFF_TIMER_MEMBER_HEARTBEAT, 0,
	    step->now + UPDATE_DELAY);
}

void
frame_schedule_remote_update(step_t *step)
{
	dff_relay_t *relay = step->relay;

	relay->far_sends_report_at =
	    step->now + peers_scale_summary_time(relay, REMOTE_UPDATE_DELAY);
	dff_timers_set(relay->timers, DFF_TIMER_MEMBER_UPDATE, UPDATE_REMOTE,
	    relay->far_sends_report_at);
}

void
frame_send_update(step_t *step, uint64_t subject)
{
	dff_relay_t *relay = step->relay;

	if (subject == UPDATE_REMOTE) {
		relay->far_sends_report_at = 0;
		send_summaries(step, true, true);
		return;
	}
	relay->sends_report_at = 0;
	send_own_update(step);
}

void
frame_send_periodic(step_t *step)
{
	dff_relay_t *relay = step->relay;
	extent_t extent = EXTENT_STATE;

	peers_sweep(step);
	unreachable_check_silent(step);
	reach_check(step);
	if (step->now >= relay->full_frame_at) {
		extent = EXTENT_FULL;
		relay->full_frame_at = step->now + FULL_FRAME_INTERVAL;
	}
	(void)send_own_frames(step, extent);
	if (!peers_sends_summaries(relay, step->now) ||
	    step->now < relay->summary_at)
		return;
	relay->summary_at = step->now +
	    peers_scale_summary_time(relay, peers_frame_interval(relay));
	send_summaries(step, false, false);
	send_summaries(step, true, false);
}
