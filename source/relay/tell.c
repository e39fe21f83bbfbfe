/*
 * Frames to other relays: see beat.c for what they are for. Load answered: a
 * node of a large fleet with a slow link that sends many prompts a second. A
 * frame that tells of new sends names only what changed and comes as often
 * as a share of the link allows; all loads are told once a second.
 */
#include <string.h>

#include "base/fault.h"
#include "relay/suspect.h"
#include "relay/word.h"

/* Sends that were begun within this time are told in one frame. */
#define TELL_TOGETHER (3 * DFF_MSEC)
/* Share of a node's link for frames that tell of its new sends. */
#define LINK_SHARE 0.12
/* Bytes a second of a link of 1 Mbit/s. */
#define BYTES_PER_MBIT 125000
/* Bytes of a datagram beside its content. */
#define DATAGRAM_HEAD 28
/* Time between frames that tell all loads. */
#define WHOLE_EVERY DFF_SEC
/* Silent peers are told more rarely, until they are forgotten. */
#define SILENT_TELL (500 * DFF_MSEC)
/* A part is told at once and in the next frame that tells all, as frames get
 * lost. */
#define PART_TELL (WHOLE_EVERY + 200 * DFF_MSEC)
/* The same in sums of domains: in some of them. */
#define SUM_PART_TELL (450 * DFF_MSEC)
/* A part that was told is not told again for so long. */
#define PART_AGAIN (3 * DFF_SEC)
/* Sends to other domains' upstreams are summed for so long. */
#define TELL_FAR_TOGETHER (12 * DFF_MSEC)
/* Rows of one frame. */
#define LOADS_MAX 80
#define PARTS_MAX 100
/* Subjects of the timer that tells sends. */
#define TELL_OWN 0
#define TELL_FAR 1

/** enum extent - how much one of this node's own frames tells */
typedef enum extent {
	EXTENT_WHOLE, /* all */
	EXTENT_STATE, /* all but loads that have not changed */
	EXTENT_SENDS, /* changed loads, parts read since, crashes */
} extent_t;

/* One frame while it is made. */
typedef struct draft {
	Dff__RelayBeat beat;
	Dff__RelayLoad loads[LOADS_MAX];
	Dff__RelayLoad *load_rows[LOADS_MAX];
	Dff__RelayKept parts[PARTS_MAX];
	Dff__RelayKept *part_rows[PARTS_MAX];
	Dff__RelayCrash crashes[CRASHES_MAX];
	Dff__RelayCrash *crash_rows[CRASHES_MAX];
	uint32_t unreachable[UNREACHABLE_MAX];
	Dff__RelayWord words[WORDS_MAX];
	Dff__RelayWord *word_rows[WORDS_MAX];
	char node[2 * DFF_NAME_MAX];
} draft_t;

/* A part that is told already is not told again. */
void
tell_add_part(GArray *parts, const recent_part_t *part)
{
	for (guint i = parts->len; i-- > 0;) {
		const recent_part_t *one =
		    &g_array_index(parts, recent_part_t, i);

		if (one->part == part->part && one->upstream == part->upstream)
			return;
	}
	g_array_append_vals(parts, part, 1);
}

void
tell_note_part(dff_relay_t *relay, const upstream_t *up, uint64_t part,
    uint32_t tokens, dff_time_t now)
{
	recent_part_t told = {.upstream = up->hash,
	    .part = part,
	    .tokens = tokens,
	    .sent_at = now};

	tell_add_part(relay->recent_parts, &told);
	if (peers_speaks(relay, now))
		tell_add_part(relay->summary_parts, &told);
}

static void
forget_old_parts(GArray *parts, dff_time_t now)
{
	guint old = 0;

	while (old < parts->len &&
	    now - g_array_index(parts, recent_part_t, old).sent_at > PART_AGAIN)
		old++;
	if (old > 0)
		g_array_remove_range(parts, 0, old);
}

static void
init_draft(const dff_relay_t *relay, draft_t *draft)
{
	dff__relay_beat__init(&draft->beat);
	for (size_t i = 0; i < LOADS_MAX; i++)
		draft->load_rows[i] = &draft->loads[i];
	for (size_t i = 0; i < PARTS_MAX; i++)
		draft->part_rows[i] = &draft->parts[i];
	for (size_t i = 0; i < CRASHES_MAX; i++)
		draft->crash_rows[i] = &draft->crashes[i];
	for (size_t i = 0; i < WORDS_MAX; i++)
		draft->word_rows[i] = &draft->words[i];
	draft->beat.words = draft->word_rows;
	draft->beat.loads = draft->load_rows;
	draft->beat.kept = draft->part_rows;
	draft->beat.crashes = draft->crash_rows;
	draft->beat.incarnation = relay->config.incarnation;
	draft->beat.source_age_ms = AGE_NEVER;
}

/*
 * One row, unless it says nothing new. What does not fit is left for the next
 * frame of changes.
 */
static void
add_load(draft_t *draft, const upstream_t *up, const under_way_t *sends,
    under_way_t *told)
{
	static const under_way_t none;
	const under_way_t *known = draft->beat.changes ? told : &none;
	Dff__RelayLoad *row;

	if (memcmp(sends, known, sizeof(*sends)) == 0 ||
	    draft->beat.n_loads == LOADS_MAX) {
		*told = *known;
		return;
	}
	row = &draft->loads[draft->beat.n_loads++];
	dff__relay_load__init(row);
	row->upstream = up->hash;
	row->running = sends->running;
	row->backlog = sends->backlog;
	row->memory = sends->memory;
	*told = *sends;
}

/* Numbers that do not fit are told as the most that does. */
static under_way_t
sum_sends(uint64_t running, uint64_t backlog, uint64_t memory)
{
	return (under_way_t){(uint32_t)MIN(running, UINT32_MAX),
	    (uint32_t)MIN(backlog, UINT32_MAX),
	    (uint32_t)MIN(memory, UINT32_MAX)};
}

/* Parts that were read since @since. */
static void
add_parts(const GArray *parts, draft_t *draft, dff_time_t since)
{
	/* The newest first: older ones were told before. */
	for (guint i = parts->len; i-- > 0 && draft->beat.n_kept < PARTS_MAX;) {
		const recent_part_t *part =
		    &g_array_index(parts, recent_part_t, i);
		Dff__RelayKept *row;

		if (part->sent_at < since)
			break;
		row = &draft->parts[draft->beat.n_kept++];
		dff__relay_kept__init(row);
		row->upstream = part->upstream;
		row->part = part->part;
		row->tokens = part->tokens;
	}
}

/* The frame lives until the next step. */
static GByteArray *
pack(dff_relay_t *relay, draft_t *draft)
{
	GByteArray *frame = g_byte_array_new();

	g_ptr_array_add(relay->frames, frame);
	draft->beat.sequence = ++relay->sequence;
	g_byte_array_set_size(
	    frame, (guint)dff__relay_beat__get_packed_size(&draft->beat));
	(void)dff__relay_beat__pack(&draft->beat, frame->data);
	return frame;
}

/* How far the record source was read, when, and who serves its records. */
static void
add_feeds(step_t *step, draft_t *draft, dff_time_t heard)
{
	dff_relay_t *relay = step->relay;

	draft->beat.records = relay->config.records;
	draft->beat.n_marks = DFF_FEED_COUNT;
	draft->beat.marks = relay->changed_offsets;
	if (heard != 0)
		draft->beat.source_age_ms = (uint32_t)MIN(
		    (step->now - heard) / DFF_MSEC, AGE_NEVER - 1);
}

/* Who this node is, and what it knows beside its own sends. */
static void
add_state(step_t *step, draft_t *draft)
{
	dff_relay_t *relay = step->relay;

	draft->beat.node = relay->config.id;
	draft->beat.domain = relay->config.domain;
	draft->beat.link_mbps = relay->config.link_mbps;
	draft->beat.version =
	    relay->routing != NULL ? relay->routing->version : 0;
	add_feeds(step, draft, relay->source_read_at);
	draft->beat.n_words =
	    word_list(relay, WITNESS_SELF, draft->words, step->now);
	draft->beat.unreachable = draft->unreachable;
	draft->beat.n_unreachable =
	    unreachable_list(relay, draft->unreachable, step->now);
}

/* What this node itself has under way and knows. */
static GByteArray *
make_own_frame(step_t *step, extent_t extent)
{
	dff_relay_t *relay = step->relay;
	draft_t draft;
	upstream_t *up;

	init_draft(relay, &draft);
	draft.beat.changes = extent != EXTENT_WHOLE;
	draft.beat.brief = extent == EXTENT_SENDS;
	if (!draft.beat.brief)
		add_state(step, &draft);
	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		under_way_t sends =
		    sum_sends(up->running, up->backlog, up->memory);

		add_load(&draft, up, &sends, &up->told);
	}
	forget_old_parts(relay->recent_parts, step->now);
	add_parts(relay->recent_parts, &draft,
	    draft.beat.changes ? relay->broadcast_at : step->now - PART_TELL);
	draft.beat.n_crashes = suspect_list(relay, draft.crashes,
	    extent == EXTENT_WHOLE ? EVIDENCE_REFUSED : EVIDENCE_SEEN,
	    step->now);
	relay->broadcast_at = step->now;
	return pack(relay, &draft);
}

/* Sends of this domain's nodes at an upstream. */
static under_way_t
sum_of_domain(const upstream_t *up)
{
	return sum_sends(up->running + up->peers.running - up->domains.running,
	    up->backlog + up->peers.backlog - up->domains.backlog,
	    up->memory + up->peers.memory - up->domains.memory);
}

/*
 * Sums over the nodes of this domain, apart for upstreams here and those in
 * other domains: the latter are what the nodes there cannot know, and are
 * told at once.
 */
static GByteArray *
make_summary(step_t *step, bool far, bool changes)
{
	dff_relay_t *relay = step->relay;
	draft_t draft;
	upstream_t *up;

	init_draft(relay, &draft);
	(void)g_snprintf(draft.node, sizeof(draft.node), "domain %s %s",
	    relay->config.domain, far ? "far" : "near");
	draft.beat.node = draft.node;
	draft.beat.domain = relay->config.domain;
	draft.beat.summary = true;
	draft.beat.changes = changes;
	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		under_way_t sum;

		if (peers_is_far(relay, up) != far)
			continue;
		sum = sum_of_domain(up);
		add_load(&draft, up, &sum, &up->told_sum);
	}
	if (!far) {
		forget_old_parts(relay->summary_parts, step->now);
		add_parts(relay->summary_parts, &draft,
		    step->now - peers_sum_time(relay, SUM_PART_TELL));
		draft.beat.n_crashes = suspect_list(
		    relay, draft.crashes, EVIDENCE_HEARD, step->now);
		add_feeds(step, &draft, peers_source_heard(relay));
		draft.beat.n_words =
		    word_list(relay, WITNESS_PEER, draft.words, step->now);
	}
	return pack(relay, &draft);
}

static void
tell(step_t *step, peer_t *peer, const GByteArray *frame)
{
	dff_relay_effect_t *fx = relay_add_fx(step, DFF_RELAY_FX_FRAME);

	step->relay->counts[COUNT_HEARTBEATS_OUT]++;
	step->relay->counts[COUNT_HEARTBEAT_BYTES_OUT] += frame->len;
	g_strlcpy(fx->frame.addr, peer->addr, sizeof(fx->frame.addr));
	fx->frame.bytes = frame->data;
	fx->frame.len = frame->len;
}

/* How many nodes of a peer's domain rank before it. */
static uint32_t
count_before(const dff_relay_t *relay, const peer_t *peer)
{
	uint64_t own = peer_rank(peer->addr, peer->link_mbps);
	uint32_t before = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *other = relay->peers->pdata[i];

		if (*other->addr != '\0' &&
		    strcmp(other->domain, peer->domain) == 0 &&
		    peer_rank(other->addr, other->link_mbps) > own)
			before++;
	}
	return before;
}

/* Tell the sum of this domain to some nodes of each other domain. */
static void
tell_domains(step_t *step, bool far, bool changes)
{
	dff_relay_t *relay = step->relay;
	GByteArray *frame = make_summary(step, far, changes);

	for (guint i = 0; i < relay->peers->len; i++) {
		peer_t *peer = relay->peers->pdata[i];

		if (*peer->addr == '\0' || peer_is_direct(relay, peer) ||
		    count_before(relay, peer) >= RELAYS_TOLD)
			continue;
		tell(step, peer, frame);
	}
}

/* Tell this node's own frame to peers; silent ones not at each time. Returns
 * the bytes that it takes of this node's link. */
static uint64_t
tell_own(step_t *step, extent_t extent)
{
	dff_relay_t *relay = step->relay;
	GByteArray *frame = make_own_frame(step, extent);
	uint64_t bytes = 0;

	for (guint i = 0; i < relay->peers->len; i++) {
		peer_t *peer = relay->peers->pdata[i];

		if (!peer_is_direct(relay, peer))
			continue;
		if (!peer_is_alive(relay, peer, step->now) &&
		    (extent == EXTENT_SENDS ||
			step->now - peer->sent_at < SILENT_TELL))
			continue;
		peer->sent_at = step->now;
		bytes += frame->len + DATAGRAM_HEAD;
		tell(step, peer, frame);
	}
	return bytes;
}

/* Sends are told again when the link has carried the last frames. */
static void
tell_own_sends(step_t *step)
{
	dff_relay_t *relay = step->relay;
	uint64_t bytes = tell_own(step, EXTENT_SENDS);
	double share = relay->config.link_mbps * BYTES_PER_MBIT * LINK_SHARE;

	if (share > 0 && !DFF_FAULT(RELAY_TELLS_UNBOUND))
		relay->sends_report_allowed_at =
		    step->now + (dff_time_t)((double)bytes * DFF_SEC / share);
}

void
tell_note_send(step_t *step)
{
	dff_relay_t *relay = step->relay;

	if (relay->sends_report_at != 0 || DFF_FAULT(RELAY_SENDS_UNTOLD))
		return;
	relay->sends_report_at =
	    MAX(step->now + TELL_TOGETHER, relay->sends_report_allowed_at);
	dff_timers_set(relay->timers, DFF_TIMER_MEMBER_TELL, TELL_OWN,
	    relay->sends_report_at);
}

void
tell_note_far(step_t *step)
{
	dff_relay_t *relay = step->relay;

	relay->far_sends_report_at =
	    step->now + peers_sum_time(relay, TELL_FAR_TOGETHER);
	dff_timers_set(relay->timers, DFF_TIMER_MEMBER_TELL, TELL_FAR,
	    relay->far_sends_report_at);
}

void
tell_sends(step_t *step, uint64_t what)
{
	dff_relay_t *relay = step->relay;

	if (what == TELL_FAR) {
		relay->far_sends_report_at = 0;
		tell_domains(step, true, true);
		return;
	}
	relay->sends_report_at = 0;
	tell_own_sends(step);
}

void
tell_beat(step_t *step)
{
	dff_relay_t *relay = step->relay;
	extent_t extent = EXTENT_STATE;

	peers_sweep(step);
	unreachable_find_silent(step);
	if (step->now >= relay->full_frame_at) {
		extent = EXTENT_WHOLE;
		relay->full_frame_at = step->now + WHOLE_EVERY;
	}
	(void)tell_own(step, extent);
	if (!peers_speaks(relay, step->now) || step->now < relay->summary_at)
		return;
	relay->summary_at =
	    step->now + peers_sum_time(relay, beat_interval(relay));
	tell_domains(step, false, false);
	tell_domains(step, true, false);
}
