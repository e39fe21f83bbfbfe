/*
 * Frames between relays. Each tells its own sends under way at upstreams,
 * the parts that it had read lately, the requests that crash upstreams and
 * how far it knows the record source. In a large fleet frames stay within
 * a failure domain; its relay tells the sum of its loads to the relays of
 * the other domains, which hand it on unchanged. A lost frame is made good
 * by the next one.
 */
#include <string.h>

#include "base/fault.h"
#include "relay/peers.h"

/* Sends that were begun within this time are told in one frame. */
#define TELL_TOGETHER (3 * DFF_MSEC)
/* Silent peers are told more rarely, until they are forgotten. */
#define SILENT_TELL (500 * DFF_MSEC)
/* A part is told for so long: some beats, as frames get lost. */
#define PART_TELL (450 * DFF_MSEC)
/* A part that was told is not told again for so long. */
#define PART_AGAIN (3 * DFF_SEC)
/* Sends to other domains' upstreams are summed for so long. */
#define TELL_FAR_TOGETHER (12 * DFF_MSEC)
/* Rows of one frame. */
#define LOADS_MAX   80
#define PARTS_MAX   100
#define CRASHES_MAX 10
/* A crash is told for so long after it was noticed. */
#define CRASH_TELL (2 * DFF_SEC)
/* Nodes of another domain that are told the sum: its relay and the next. */
#define RELAYS_TOLD 2
/* Time between fetches of one feed: an answer takes some round trips. */
#define FETCH_EVERY (150 * DFF_MSEC)
/* Beats of silence after which another speaks for a node or a domain. */
#define SUCCEED_BEATS 3
/* Subjects of the timer that tells sends. */
#define TELL_OWN 0
#define TELL_FAR 1
/* A source age that says "never". */
#define AGE_NEVER UINT32_MAX

/* A part that is told already is not told again. */
static void
add_told(GArray *parts, const told_part_t *part)
{
	for (guint i = parts->len; i-- > 0;) {
		const told_part_t *one = &g_array_index(parts, told_part_t, i);

		if (one->part == part->part && one->upstream == part->upstream)
			return;
	}
	g_array_append_vals(parts, part, 1);
}

static bool
is_far(const dff_relay_t *relay, const upstream_t *up)
{
	return strcmp(up->news.domain, relay->config.domain) != 0;
}

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
		upstream_keep_part(up, row->part, row->tokens,
		    pool != NULL ? pool->kv_tokens : 0, step->now);
	}
}

/* How far the peer knows the record source; fetch what is missing here. */
static void
take_marks(step_t *step, peer_t *peer, const Dff__RelayBeat *beat)
{
	dff_relay_t *relay = step->relay;

	if (beat->source_age_ms != AGE_NEVER) {
		peer->source_heard =
		    step->now - (dff_time_t)beat->source_age_ms * DFF_MSEC;
		/* A node that does not read tells an age that only grows. */
		if (step->now - peer->source_heard < READER_FRESH ||
		    DFF_FAULT(RELAY_OLD_READER))
			relay_note_source(step, peer->source_heard);
	}
	for (size_t i = 0; i < beat->n_marks && i < DFF_FEED_COUNT; i++) {
		dff_relay_effect_t *fx;

		if (beat->marks[i] <= relay->known[i] ||
		    step->now - relay->fetched[i] < FETCH_EVERY)
			continue;
		relay->fetched[i] = step->now;
		fx = relay_add_fx(step, DFF_RELAY_FX_FETCH);
		fx->fetch.feed = (dff_feed_t)i;
		g_strlcpy(
		    fx->fetch.addr, beat->records, sizeof(fx->fetch.addr));
	}
}

/* Hand a domain's sum on to the nodes of this domain. */
static void
hand_on(step_t *step, const dff_relay_beat_t *in)
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
		told_part_t part = {.upstream = beat->kept[i]->upstream,
		    .part = beat->kept[i]->part,
		    .tokens = beat->kept[i]->tokens,
		    .at = step->now};

		add_told(relay->summary_parts, &part);
	}
}

/* Sends to other domains' upstreams are told there soon. */
static void
note_far_loads(step_t *step, const peer_t *peer)
{
	dff_relay_t *relay = step->relay;

	if (relay->tell_far_at != 0 || !peers_speaks(relay, step->now))
		return;
	for (guint i = 0; i < peer->loads->len; i++) {
		const upstream_t *up = upstreams_find(relay->upstreams,
		    g_array_index(peer->loads, peer_load_t, i).upstream);

		if (up == NULL || !is_far(relay, up))
			continue;
		relay->tell_far_at =
		    step->now + peers_sum_time(relay, TELL_FAR_TOGETHER);
		dff_timers_set(relay->timers, DFF_TIMER_MEMBER_TELL, TELL_FAR,
		    relay->tell_far_at);
		return;
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
	return now - peer->heard > SUCCEED_BEATS * peer_interval(relay, peer);
}

static void
take_frame(step_t *step, const dff_relay_beat_t *in, const Dff__RelayBeat *beat)
{
	dff_relay_t *relay = step->relay;
	peer_t *peer;

	if (beat->summary)
		peer = peers_find_summary(relay, beat->node);
	else {
		beat_add_peer(
		    relay, in->addr, beat->domain, beat->link_mbps, step->now);
		peer = peers_find(relay, in->addr);
	}
	if (peer == NULL || !is_new(relay, peer, beat, step->now))
		return;
	relay->counts[COUNT_BEATS_IN]++;
	if (!peer_is_alive(relay, peer, step->now))
		dff_log(step->ctx, DFF_LOG_NOTICE, "peer",
		    "peer heard node=%s addr=%s version=%" G_GUINT64_FORMAT,
		    beat->node, in->addr, (guint64)beat->version);
	if (g_strcmp0(peer->node, beat->node) != 0) {
		g_free(peer->node);
		peer->node = g_strdup(beat->node);
	}
	peer->incarnation = beat->incarnation;
	peer->sequence = beat->sequence;
	peer->heard = step->now;
	peer_load_frame(relay, peer, beat);
	unreachable_load(step, peer, beat->unreachable, beat->n_unreachable);
	take_parts(step, beat);
	for (size_t i = 0; i < beat->n_crashes; i++)
		suspect_load(relay, beat->crashes[i]->content,
		    beat->crashes[i]->count, step->now);
	if (!beat->summary) {
		take_marks(step, peer, beat);
		keep_for_summary(step, beat);
		note_far_loads(step, peer);
	} else if (peers_is_relay(relay, step->now))
		hand_on(step, in);
}

void
beat_take(step_t *step, const dff_relay_beat_t *in)
{
	dff_relay_t *relay = step->relay;
	Dff__RelayBeat *beat =
	    dff__relay_beat__unpack(NULL, in->len, in->bytes);

	if (beat == NULL) {
		relay->counts[COUNT_BEATS_BAD]++;
		dff_log(step->ctx, DFF_LOG_WARNING, "peer",
		    "frame cannot be read from=%s bytes=%zu", in->addr,
		    in->len);
		return;
	}
	if (!beat->summary || strcmp(beat->domain, relay->config.domain) != 0)
		take_frame(step, in, beat);
	dff__relay_beat__free_unpacked(beat, NULL);
}

/* ---- telling ---- */

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
	char node[2 * DFF_NAME_MAX];
} draft_t;

void
beat_note_part(dff_relay_t *relay, const upstream_t *up, uint64_t part,
    uint32_t tokens, dff_time_t now)
{
	told_part_t told = {
	    .upstream = up->hash, .part = part, .tokens = tokens, .at = now};

	add_told(relay->told_parts, &told);
	if (peers_speaks(relay, now))
		add_told(relay->summary_parts, &told);
}

static void
forget_old_parts(GArray *parts, dff_time_t now)
{
	guint old = 0;

	while (old < parts->len &&
	    now - g_array_index(parts, told_part_t, old).at > PART_AGAIN)
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
	draft->beat.loads = draft->load_rows;
	draft->beat.kept = draft->part_rows;
	draft->beat.crashes = draft->crash_rows;
	draft->beat.incarnation = relay->config.incarnation;
	draft->beat.domain = (char *)(uintptr_t)relay->config.domain;
	draft->beat.source_age_ms = AGE_NEVER;
}

static void
add_load(draft_t *draft, const upstream_t *up, uint32_t running,
    uint64_t backlog, uint64_t memory)
{
	Dff__RelayLoad *row;

	if (running == 0 || draft->beat.n_loads == LOADS_MAX)
		return;
	row = &draft->loads[draft->beat.n_loads++];
	dff__relay_load__init(row);
	row->upstream = up->hash;
	row->running = running;
	row->backlog = (uint32_t)MIN(backlog, UINT32_MAX);
	row->memory = (uint32_t)MIN(memory, UINT32_MAX);
}

static void
add_parts(const GArray *parts, draft_t *draft, dff_time_t told, dff_time_t now)
{
	/* The newest first: older ones were told before. */
	for (guint i = parts->len; i-- > 0 && draft->beat.n_kept < PARTS_MAX;) {
		const told_part_t *part = &g_array_index(parts, told_part_t, i);
		Dff__RelayKept *row;

		if (now - part->at > told)
			break;
		row = &draft->parts[draft->beat.n_kept++];
		dff__relay_kept__init(row);
		row->upstream = part->upstream;
		row->part = part->part;
		row->tokens = part->tokens;
	}
}

static void
add_crashes(const dff_relay_t *relay, draft_t *draft, dff_time_t now)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, relay->suspects);
	while (draft->beat.n_crashes < CRASHES_MAX &&
	    g_hash_table_iter_next(&iter, &key, &value)) {
		const suspect_t *suspect = value;
		Dff__RelayCrash *row;

		if (now - suspect->last > CRASH_TELL)
			continue;
		row = &draft->crashes[draft->beat.n_crashes++];
		dff__relay_crash__init(row);
		row->content = *(uint64_t *)key;
		row->count = suspect->count;
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

/* What this node itself has under way and knows. */
static GByteArray *
make_own_frame(step_t *step)
{
	dff_relay_t *relay = step->relay;
	draft_t draft;
	upstream_t *up;

	init_draft(relay, &draft);
	draft.beat.node = relay->config.id;
	draft.beat.records = relay->config.records;
	draft.beat.link_mbps = relay->config.link_mbps;
	draft.beat.version =
	    relay->routing != NULL ? relay->routing->version : 0;
	if (relay->source_heard != 0)
		draft.beat.source_age_ms =
		    (uint32_t)MIN((step->now - relay->source_heard) / DFF_MSEC,
			AGE_NEVER - 1);
	draft.beat.n_marks = DFF_FEED_COUNT;
	draft.beat.marks = relay->marks;
	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;)
		add_load(&draft, up, up->running, up->backlog, up->memory);
	forget_old_parts(relay->told_parts, step->now);
	add_parts(relay->told_parts, &draft, PART_TELL, step->now);
	add_crashes(relay, &draft, step->now);
	draft.beat.unreachable = draft.unreachable;
	draft.beat.n_unreachable =
	    unreachable_list(relay, draft.unreachable, step->now);
	return pack(relay, &draft);
}

/* Take what other domains told of an upstream out of its sums. */
static void
take_out_domains(
    const dff_relay_t *relay, const upstream_t *up, peer_load_t *sum)
{
	for (guint i = 0; i < relay->peers->len; i++) {
		const peer_t *peer = relay->peers->pdata[i];

		if (*peer->addr != '\0')
			continue;
		for (guint k = 0; k < peer->loads->len; k++) {
			const peer_load_t *load =
			    &g_array_index(peer->loads, peer_load_t, k);

			if (load->upstream != up->hash)
				continue;
			sum->running -= MIN(sum->running, load->running);
			sum->backlog -= MIN(sum->backlog, load->backlog);
			sum->memory -= MIN(sum->memory, load->memory);
		}
	}
}

/*
 * Sums over the nodes of this domain, apart for upstreams here and those in
 * other domains: the latter are what the nodes there cannot know, and are
 * told at once.
 */
static GByteArray *
make_summary(step_t *step, bool far)
{
	dff_relay_t *relay = step->relay;
	draft_t draft;
	upstream_t *up;

	init_draft(relay, &draft);
	(void)g_snprintf(draft.node, sizeof(draft.node), "domain %s %s",
	    relay->config.domain, far ? "far" : "near");
	draft.beat.node = draft.node;
	draft.beat.summary = true;
	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;) {
		peer_load_t sum = {.running = up->running + up->peer_running,
		    .backlog = (uint32_t)(up->backlog + up->peer_backlog),
		    .memory = (uint32_t)(up->memory + up->peer_memory)};

		if (is_far(relay, up) != far || sum.running == 0)
			continue;
		take_out_domains(relay, up, &sum);
		add_load(&draft, up, sum.running, sum.backlog, sum.memory);
	}
	if (!far) {
		forget_old_parts(relay->summary_parts, step->now);
		add_parts(relay->summary_parts, &draft,
		    peers_sum_time(relay, PART_TELL), step->now);
		add_crashes(relay, &draft, step->now);
	}
	return pack(relay, &draft);
}

static void
tell(step_t *step, peer_t *peer, const GByteArray *frame)
{
	dff_relay_effect_t *fx = relay_add_fx(step, DFF_RELAY_FX_FRAME);

	step->relay->counts[COUNT_BEATS_OUT]++;
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
tell_domains(step_t *step, bool far)
{
	dff_relay_t *relay = step->relay;
	GByteArray *frame = make_summary(step, far);

	for (guint i = 0; i < relay->peers->len; i++) {
		peer_t *peer = relay->peers->pdata[i];

		if (*peer->addr == '\0' || peer_is_direct(relay, peer) ||
		    count_before(relay, peer) >= RELAYS_TOLD)
			continue;
		tell(step, peer, frame);
	}
}

/* Tell this node's own frame to peers; silent ones not at each time. */
static void
tell_own(step_t *step, bool also_silent)
{
	dff_relay_t *relay = step->relay;
	GByteArray *frame = make_own_frame(step);

	for (guint i = 0; i < relay->peers->len; i++) {
		peer_t *peer = relay->peers->pdata[i];

		if (!peer_is_direct(relay, peer))
			continue;
		if (!peer_is_alive(relay, peer, step->now) &&
		    (!also_silent || step->now - peer->told < SILENT_TELL))
			continue;
		peer->told = step->now;
		tell(step, peer, frame);
	}
}

void
beat_note_send(step_t *step)
{
	dff_relay_t *relay = step->relay;

	if (relay->tell_at != 0 || DFF_FAULT(RELAY_SENDS_UNTOLD))
		return;
	relay->tell_at = step->now + TELL_TOGETHER;
	dff_timers_set(
	    relay->timers, DFF_TIMER_MEMBER_TELL, TELL_OWN, relay->tell_at);
}

void
beat_tell_sends(step_t *step, uint64_t what)
{
	dff_relay_t *relay = step->relay;

	if (what == TELL_FAR) {
		relay->tell_far_at = 0;
		tell_domains(step, true);
		return;
	}
	relay->tell_at = 0;
	tell_own(step, false);
}

void
beat_send(step_t *step)
{
	dff_relay_t *relay = step->relay;

	peers_sweep(step);
	unreachable_find_silent(step);
	tell_own(step, true);
	if (!peers_speaks(relay, step->now) || step->now < relay->sum_at)
		return;
	relay->sum_at = step->now + peers_sum_time(relay, beat_interval(relay));
	tell_domains(step, false);
	tell_domains(step, true);
}
