/*
 * Frames from and to the other entry nodes: heartbeats with detail inside
 * the failure domain, summaries between domains by relays, records for
 * peers that lost the log, and suspects.
 */
#include "parts.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "peer"

/* Heartbeats between two summaries of a relay. */
#define FAR_EVERY 2
/* The most domains that a relay tells. */
#define RELAYS_MAX 64
/* Records in one answer to a peer. */
#define RECORDS_MAX 64
/* Bytes of records in one answer to a peer, but for a single large one. */
#define RECORDS_BYTES_MAX (512 * 1024)
/* Name under which the policy keeps what is told of all other domains. */
#define FAR_PEER "@far"

/* What one near peer, or the relay of one far domain, told last. */
typedef struct told {
	GArray *work; /* dff_policy_use_t */
	GArray *use; /* dff_owner_use_t */
	uint32_t live;
	uint64_t offsets[DFF_STREAM_COUNT];
	dff_time_t at;
} told_t;

struct peers {
	GHashTable *near; /* VM id -> told_t */
	GHashTable *far; /* domain -> told_t */
};

static void
told_free(void *arg)
{
	told_t *told = arg;

	g_array_unref(told->work);
	g_array_unref(told->use);
	g_free(told);
}

static told_t *
told_new(void)
{
	told_t *told;

	told = g_new0(told_t, 1);
	told->work = g_array_new(FALSE, TRUE, sizeof(dff_policy_use_t));
	told->use = g_array_new(FALSE, TRUE, sizeof(dff_owner_use_t));
	return told;
}

peers_t *
peers_new(void)
{
	peers_t *peers;

	peers = g_new0(peers_t, 1);
	peers->near =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, told_free);
	peers->far =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, told_free);
	return peers;
}

void
peers_drop(peers_t *peers)
{
	if (peers == NULL)
		return;
	g_hash_table_unref(peers->near);
	g_hash_table_unref(peers->far);
	g_free(peers);
}

/* ---- sending ---- */

static void
send_frame(dff_node_t *node, const dff_member_t *peer, Dff__Frame *frame,
    bool newest, dff_effects_t *fx)
{
	dff_fx_peer_send_t *send;
	uint8_t *data;
	size_t len;

	frame->version = FRAME_VERSION;
	frame->from = node->config.id;
	frame->incarnation = node->config.incarnation;
	len = dff__frame__get_packed_size(frame);
	data = g_malloc(len);
	(void)dff__frame__pack(frame, data);
	send = &dff_effects_add(fx, DFF_FX_PEER_SEND)->u.peer_send;
	send->peer = dff_effects_text(fx, peer->id);
	send->addr = dff_effects_text(fx, peer->addr);
	send->newest = newest;
	send->data = dff_effects_copy(fx, data, len);
	send->len = len;
	g_free(data);
	node->counters[DFF_COUNT_FRAMES_OUT]++;
	node->counters[DFF_COUNT_BYTES_OUT] += len;
}

static void
send_near(dff_node_t *node, Dff__Frame *frame, bool newest, dff_effects_t *fx)
{
	size_t count = dff_members_count(node->members);

	for (size_t i = 0; i < count; i++) {
		const dff_member_t *peer = dff_members_at(node->members, i);

		if (peer->near && peer->state != DFF_MEMBER_LEFT)
			send_frame(node, peer, frame, newest, fx);
	}
}

static void
send_relays(dff_node_t *node, Dff__Frame *frame, bool newest, dff_effects_t *fx)
{
	const dff_member_t *relays[RELAYS_MAX];
	size_t count;

	count =
	    dff_members_relays(node->members, node->now, relays, RELAYS_MAX);
	for (size_t i = 0; i < count; i++)
		send_frame(node, relays[i], frame, newest, fx);
}

/* Rows as protobuf-c wants them: an array of pointers to messages. */
typedef struct packed_rows {
	Dff__EngineWork work[BEAT_ROWS_MAX];
	Dff__EngineWork *work_at[BEAT_ROWS_MAX];
	Dff__OwnerUse use[BEAT_ROWS_MAX];
	Dff__OwnerUse *use_at[BEAT_ROWS_MAX];
	Dff__StreamOffset offset[DFF_STREAM_COUNT];
	Dff__StreamOffset *offset_at[DFF_STREAM_COUNT];
	size_t work_count;
	size_t use_count;
} packed_rows_t;

static void
pack_rows(packed_rows_t *rows, const GArray *work, const GArray *use,
    const uint64_t *offsets)
{
	rows->work_count = MIN(work->len, BEAT_ROWS_MAX);
	for (size_t i = 0; i < rows->work_count; i++) {
		dff_policy_use_t *from =
		    &g_array_index(work, dff_policy_use_t, i);
		Dff__EngineWork *to = &rows->work[i];

		dff__engine_work__init(to);
		to->vm = from->vm;
		to->running = from->running;
		to->prefill_tokens = from->prefill_tokens;
		to->decode_tokens = from->decode_tokens;
		rows->work_at[i] = to;
	}
	rows->use_count = MIN(use->len, BEAT_ROWS_MAX);
	for (size_t i = 0; i < rows->use_count; i++) {
		dff_owner_use_t *from = &g_array_index(use, dff_owner_use_t, i);
		Dff__OwnerUse *to = &rows->use[i];

		dff__owner_use__init(to);
		to->owner = from->owner;
		to->entry = from->entry;
		to->running = from->running;
		to->waiting = from->waiting;
		to->rate = from->rate;
		rows->use_at[i] = to;
	}
	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		dff__stream_offset__init(&rows->offset[i]);
		rows->offset[i].stream = (uint32_t)i;
		rows->offset[i].applied = offsets[i];
		rows->offset_at[i] = &rows->offset[i];
	}
}

/* What this node itself has to tell. */
static told_t *
tell_self(const dff_node_t *node)
{
	told_t *told;
	size_t count;

	told = told_new();
	told->live = 1;
	g_array_set_size(told->work, BEAT_ROWS_MAX);
	count = dff_policy_work(node->policy,
	    (dff_policy_use_t *)(void *)told->work->data, BEAT_ROWS_MAX);
	g_array_set_size(told->work, (guint)MIN(count, BEAT_ROWS_MAX));
	g_array_set_size(told->use, BEAT_ROWS_MAX);
	count = dff_policy_owners(node->policy,
	    (dff_owner_use_t *)(void *)told->use->data, BEAT_ROWS_MAX);
	g_array_set_size(told->use, (guint)MIN(count, BEAT_ROWS_MAX));
	for (int i = 0; i < DFF_STREAM_COUNT; i++)
		told->offsets[i] = stream_applied(node, (dff_stream_t)i);
	return told;
}

static void
beat_near(dff_node_t *node, const told_t *self, dff_effects_t *fx)
{
	Dff__Heartbeat beat = DFF__HEARTBEAT__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;
	packed_rows_t *rows;

	rows = g_new0(packed_rows_t, 1);
	pack_rows(rows, self->work, self->use, self->offsets);
	beat.sequence = node->beat_count;
	beat.domain = node->config.domain;
	beat.log_down = node->streams[DFF_STREAM_CATALOGUE].down;
	beat.draining = node->stopping;
	beat.n_offsets = DFF_STREAM_COUNT;
	beat.offsets = rows->offset_at;
	beat.n_work = rows->work_count;
	beat.work = rows->work_at;
	beat.n_use = rows->use_count;
	beat.use = rows->use_at;
	frame.body_case = DFF__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &beat;
	send_near(node, &frame, true, fx);
	g_free(rows);
}

static void
add_work(GArray *sum, const dff_policy_use_t *row)
{
	for (guint i = 0; i < sum->len; i++) {
		dff_policy_use_t *have =
		    &g_array_index(sum, dff_policy_use_t, i);

		if (strcmp(have->vm, row->vm) != 0)
			continue;
		have->running += row->running;
		have->prefill_tokens += row->prefill_tokens;
		have->decode_tokens += row->decode_tokens;
		return;
	}
	g_array_append_vals(sum, row, 1);
}

static void
add_use(GArray *sum, const dff_owner_use_t *row)
{
	for (guint i = 0; i < sum->len; i++) {
		dff_owner_use_t *have = &g_array_index(sum, dff_owner_use_t, i);

		if (strcmp(have->entry, row->entry) != 0 ||
		    strcmp(have->owner, row->owner) != 0)
			continue;
		have->running += row->running;
		have->waiting += row->waiting;
		have->rate += row->rate;
		return;
	}
	g_array_append_vals(sum, row, 1);
}

/* The owners with the most load come first, so that a cut loses little. */
static gint
compare_use(gconstpointer a, gconstpointer b)
{
	const dff_owner_use_t *x = a;
	const dff_owner_use_t *y = b;
	int order;

	if (x->running + x->waiting != y->running + y->waiting)
		return x->running + x->waiting > y->running + y->waiting ? -1 :
									   1;
	order = strcmp(x->owner, y->owner);
	return order != 0 ? order : strcmp(x->entry, y->entry);
}

static void
add_told(told_t *sum, const told_t *part)
{
	sum->live += part->live;
	for (guint i = 0; i < part->work->len; i++)
		add_work(
		    sum->work, &g_array_index(part->work, dff_policy_use_t, i));
	for (guint i = 0; i < part->use->len; i++)
		add_use(
		    sum->use, &g_array_index(part->use, dff_owner_use_t, i));
	for (int i = 0; i < DFF_STREAM_COUNT; i++)
		sum->offsets[i] = MAX(sum->offsets[i], part->offsets[i]);
}

static told_t *
sum_of(GHashTable *table, dff_time_t since)
{
	GHashTableIter iter;
	told_t *sum;
	void *value;

	sum = told_new();
	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const told_t *part = value;

		if (part->at >= since)
			add_told(sum, part);
	}
	g_array_sort(sum->use, compare_use);
	return sum;
}

static void
send_summary(
    dff_node_t *node, const told_t *sum, bool merged, dff_effects_t *fx)
{
	Dff__Summary summary = DFF__SUMMARY__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;
	packed_rows_t *rows;

	rows = g_new0(packed_rows_t, 1);
	pack_rows(rows, sum->work, sum->use, sum->offsets);
	summary.sequence = node->beat_count;
	summary.domain = node->config.domain;
	summary.live = sum->live;
	summary.merged = merged;
	summary.n_offsets = DFF_STREAM_COUNT;
	summary.offsets = rows->offset_at;
	summary.n_work = rows->work_count;
	summary.work = rows->work_at;
	summary.n_use = MIN(rows->use_count, SUMMARY_OWNERS_MAX);
	summary.use = rows->use_at;
	frame.body_case = DFF__FRAME__BODY_SUMMARY;
	frame.summary = &summary;
	if (merged)
		send_near(node, &frame, true, fx);
	else
		send_relays(node, &frame, true, fx);
	g_free(rows);
}

static void
load_policy(dff_ctx_t *ctx, dff_node_t *node, const char *peer,
    const told_t *told, dff_time_t now)
{
	dff_policy_drop_peer(ctx, node->policy, peer);
	for (guint i = 0; i < told->work->len; i++) {
		const dff_policy_use_t *row =
		    &g_array_index(told->work, dff_policy_use_t, i);

		dff_policy_set_peer_work(ctx, node->policy, peer, row->vm,
		    row->running, row->prefill_tokens, row->decode_tokens, now);
	}
	for (guint i = 0; i < told->use->len; i++) {
		const dff_owner_use_t *row =
		    &g_array_index(told->use, dff_owner_use_t, i);

		dff_policy_set_peer_use(ctx, node->policy, peer, row->owner,
		    row->entry, row->running, row->waiting, row->rate, now);
	}
}

/* A relay tells its domain to the others, and the others to its domain. */
static void
beat_far(dff_ctx_t *ctx, dff_node_t *node, const told_t *self, dff_time_t now,
    dff_effects_t *fx)
{
	dff_time_t since = now - node->config.dead_after;
	told_t *sum;

	if (!dff_members_is_relay(node->members))
		return;
	sum = sum_of(node->peers->near, since);
	add_told(sum, self);
	send_summary(node, sum, false, fx);
	told_free(sum);
	sum = sum_of(node->peers->far, since);
	load_policy(ctx, node, FAR_PEER, sum, now);
	send_summary(node, sum, true, fx);
	told_free(sum);
}

static void
ask_records(dff_node_t *node, const dff_member_t *peer, dff_stream_t id,
    dff_effects_t *fx)
{
	Dff__RecordsWanted wanted = DFF__RECORDS_WANTED__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;

	wanted.stream = id;
	wanted.from =
	    node->streams[id].based ? stream_applied(node, id) + 1 : 0;
	frame.body_case = DFF__FRAME__BODY_WANTED;
	frame.wanted = &wanted;
	send_frame(node, peer, &frame, false, fx);
}

/* A peer has records that the log does not give this node. */
static void
ask_if_behind(dff_node_t *node, const dff_member_t *peer, dff_effects_t *fx)
{
	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		const stream_t *stream = &node->streams[i];

		if (!stream->wanted || !stream->down)
			continue;
		if (peer->offsets[i] > stream_applied(node, (dff_stream_t)i))
			ask_records(node, peer, (dff_stream_t)i, fx);
	}
}

void
peer_beat(dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx)
{
	const dff_member_t *dead;
	uint32_t seen;
	uint32_t all;
	told_t *self;

	while ((dead = dff_members_sweep(ctx, node->members, now)) != NULL) {
		g_hash_table_remove(node->peers->near, dead->id);
		dff_policy_drop_peer(ctx, node->policy, dead->id);
		dff_claims_holder_gone(
		    ctx, node->claims, dead->id, dead->incarnation);
	}
	seen = dff_members_seen(node->members, now, &all);
	dff_policy_set_alone(node->policy, seen, all);
	self = tell_self(node);
	beat_near(node, self, fx);
	if (node->beat_count % FAR_EVERY == 0)
		beat_far(ctx, node, self, now, fx);
	told_free(self);
	node->beat_count++;
	dff_timers_set(
	    node->timers, DFF_TIMER_MEMBER_BEAT, 0, now + node->config.beat);
}

void
peer_leave(dff_ctx_t *ctx, dff_node_t *node, dff_effects_t *fx)
{
	Dff__Leave leave = DFF__LEAVE__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;

	(void)ctx;
	leave.sequence = node->beat_count;
	frame.body_case = DFF__FRAME__BODY_LEAVE;
	frame.leave = &leave;
	send_near(node, &frame, false, fx);
	if (dff_members_is_relay(node->members))
		send_relays(node, &frame, false, fx);
}

static void
send_suspect(dff_node_t *node, uint64_t body_hash, uint32_t crashes,
    bool relays, dff_effects_t *fx)
{
	Dff__Suspect suspect = DFF__SUSPECT__INIT;
	Dff__Suspect *list[] = {&suspect};
	Dff__Suspects suspects = DFF__SUSPECTS__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;

	suspect.body_hash = body_hash;
	suspect.crashes = crashes;
	suspects.n_suspects = 1;
	suspects.suspects = list;
	frame.body_case = DFF__FRAME__BODY_SUSPECTS;
	frame.suspects = &suspects;
	send_near(node, &frame, false, fx);
	if (relays)
		send_relays(node, &frame, false, fx);
}

void
peer_tell_suspect(dff_ctx_t *ctx, dff_node_t *node, uint64_t body_hash,
    uint32_t crashes, dff_effects_t *fx)
{
	(void)ctx;
	send_suspect(node, body_hash, crashes, true, fx);
}

/* ---- receiving ---- */

static void
set_rows(told_t *told, size_t n_work, Dff__EngineWork **work, size_t n_use,
    Dff__OwnerUse **use)
{
	g_array_set_size(told->work, 0);
	g_array_set_size(told->use, 0);
	for (size_t i = 0; i < MIN(n_work, BEAT_ROWS_MAX); i++) {
		dff_policy_use_t row = {.running = work[i]->running,
		    .prefill_tokens = work[i]->prefill_tokens,
		    .decode_tokens = work[i]->decode_tokens};

		if (dff_name_copy(row.vm, work[i]->vm) == 0)
			g_array_append_val(told->work, row);
	}
	for (size_t i = 0; i < MIN(n_use, BEAT_ROWS_MAX); i++) {
		dff_owner_use_t row = {.running = use[i]->running,
		    .waiting = use[i]->waiting,
		    .rate = use[i]->rate};

		if (dff_name_copy(row.owner, use[i]->owner) == 0 &&
		    dff_name_copy(row.entry, use[i]->entry) == 0)
			g_array_append_val(told->use, row);
	}
}

static void
set_offsets(uint64_t *to, size_t count, Dff__StreamOffset **offsets)
{
	for (size_t i = 0; i < count; i++) {
		if (offsets[i]->stream < DFF_STREAM_COUNT)
			to[offsets[i]->stream] = offsets[i]->applied;
	}
}

static told_t *
told_of(GHashTable *table, const char *name, dff_time_t now)
{
	told_t *told;

	told = g_hash_table_lookup(table, name);
	if (told == NULL) {
		told = told_new();
		g_hash_table_insert(table, g_strdup(name), told);
	}
	told->at = now;
	return told;
}

static void
take_heartbeat(dff_ctx_t *ctx, dff_node_t *node, dff_member_t *peer,
    const Dff__Heartbeat *beat, dff_time_t now, dff_effects_t *fx)
{
	told_t *told;

	if (!peer->near)
		return;
	told = told_of(node->peers->near, peer->id, now);
	told->live = 1;
	set_rows(told, beat->n_work, beat->work, beat->n_use, beat->use);
	set_offsets(told->offsets, beat->n_offsets, beat->offsets);
	set_offsets(peer->offsets, beat->n_offsets, beat->offsets);
	peer->log_down = beat->log_down;
	load_policy(ctx, node, peer->id, told, now);
	ask_if_behind(node, peer, fx);
}

static void
take_summary(dff_ctx_t *ctx, dff_node_t *node, dff_member_t *peer,
    const Dff__Summary *summary, dff_time_t now, dff_effects_t *fx)
{
	told_t *told;

	if (summary->merged != peer->near)
		return;
	peer->far_live = summary->live;
	if (!peer->near)
		set_offsets(
		    peer->offsets, summary->n_offsets, summary->offsets);
	if (summary->merged) {
		told = told_new();
		set_rows(told, summary->n_work, summary->work, summary->n_use,
		    summary->use);
		load_policy(ctx, node, FAR_PEER, told, now);
		told_free(told);
	} else {
		told = told_of(node->peers->far, peer->domain, now);
		told->live = summary->live;
		set_rows(told, summary->n_work, summary->work, summary->n_use,
		    summary->use);
		set_offsets(
		    told->offsets, summary->n_offsets, summary->offsets);
	}
	ask_if_behind(node, peer, fx);
}

static void
take_suspects(dff_ctx_t *ctx, dff_node_t *node, const dff_member_t *peer,
    const Dff__Suspects *suspects, dff_time_t now, dff_effects_t *fx)
{
	(void)ctx;
	for (size_t i = 0; i < suspects->n_suspects; i++) {
		const Dff__Suspect *suspect = suspects->suspects[i];
		uint32_t known;

		known = poison_crashes(node->poison, suspect->body_hash, now);
		poison_note_told(
		    node->poison, suspect->body_hash, suspect->crashes, now);
		/* What came from another domain is passed on in this one. */
		if (!peer->near && suspect->crashes > known)
			send_suspect(node, suspect->body_hash, suspect->crashes,
			    false, fx);
	}
}

static void
give_snapshot(dff_ctx_t *ctx, dff_node_t *node, const dff_member_t *peer,
    dff_stream_t id, dff_effects_t *fx)
{
	Dff__PeerRecord record = DFF__PEER_RECORD__INIT;
	Dff__PeerRecord *list[] = {&record};
	Dff__Records records = DFF__RECORDS__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;
	uint8_t *data = NULL;
	int len;

	len = stream_save(ctx, node, id, &data);
	if (len < 0)
		return;
	record.stream = id;
	record.data.data = data;
	record.data.len = (size_t)len;
	records.n_records = 1;
	records.records = list;
	frame.body_case = DFF__FRAME__BODY_RECORDS;
	frame.records = &records;
	send_frame(node, peer, &frame, false, fx);
	free(data);
}

static void
give_records(dff_node_t *node, const dff_member_t *peer, dff_stream_t id,
    uint64_t from, dff_effects_t *fx)
{
	Dff__PeerRecord rows[RECORDS_MAX];
	Dff__PeerRecord *list[RECORDS_MAX];
	Dff__Records records = DFF__RECORDS__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;
	size_t bytes = 0;
	size_t count = 0;

	for (GList *at = node->streams[id].recent.head; at != NULL;
	     at = at->next) {
		const recent_t *recent = at->data;
		Dff__PeerRecord *row = &rows[count];
		gsize size;

		if (recent->offset < from)
			continue;
		dff__peer_record__init(row);
		row->stream = id;
		row->offset = recent->offset;
		row->time_ms = recent->time_ms;
		row->data.data =
		    (uint8_t *)(uintptr_t)g_bytes_get_data(recent->data, &size);
		row->data.len = size;
		bytes += size;
		if (count > 0 && bytes > RECORDS_BYTES_MAX)
			break;
		list[count++] = row;
		if (count == RECORDS_MAX)
			break;
	}
	if (count == 0)
		return;
	records.n_records = count;
	records.records = list;
	frame.body_case = DFF__FRAME__BODY_RECORDS;
	frame.records = &records;
	send_frame(node, peer, &frame, false, fx);
}

static bool
has_recent(const stream_t *stream, uint64_t from)
{
	const recent_t *oldest;

	oldest = g_queue_peek_head((GQueue *)(uintptr_t)&stream->recent);
	return oldest != NULL && oldest->offset <= from;
}

static void
take_wanted(dff_ctx_t *ctx, dff_node_t *node, const dff_member_t *peer,
    const Dff__RecordsWanted *wanted, dff_effects_t *fx)
{
	dff_stream_t id;

	if (wanted->stream >= DFF_STREAM_COUNT)
		return;
	id = (dff_stream_t)wanted->stream;
	if (!node->streams[id].based || stream_applied(node, id) < wanted->from)
		return;
	if (wanted->from != 0 && has_recent(&node->streams[id], wanted->from))
		give_records(node, peer, id, wanted->from, fx);
	else
		give_snapshot(ctx, node, peer, id, fx);
}

static void
take_records(dff_ctx_t *ctx, dff_node_t *node, const Dff__Records *records,
    dff_time_t now, dff_effects_t *fx)
{
	for (size_t i = 0; i < records->n_records; i++) {
		const Dff__PeerRecord *record = records->records[i];
		dff_ev_log_record_t ev = {
		    .stream = (dff_stream_t)record->stream,
		    .offset = record->offset,
		    .data = record->data.data,
		    .len = record->data.len,
		    .time_ms = record->time_ms,
		    .from_peer = true};

		if (record->stream >= DFF_STREAM_COUNT)
			continue;
		if (record->offset == 0)
			stream_load_snapshot(
			    ctx, node, ev.stream, ev.data, ev.len, now, fx);
		else
			stream_record(ctx, node, &ev, now, fx);
	}
}

static void
take_leave(dff_ctx_t *ctx, dff_node_t *node, const dff_member_t *peer)
{
	dff_members_left(ctx, node->members, peer->id);
	g_hash_table_remove(node->peers->near, peer->id);
	dff_policy_drop_peer(ctx, node->policy, peer->id);
}

static void
take_body(dff_ctx_t *ctx, dff_node_t *node, dff_member_t *peer,
    const Dff__Frame *frame, dff_time_t now, dff_effects_t *fx)
{
	switch (frame->body_case) {
	case DFF__FRAME__BODY_HEARTBEAT:
		take_heartbeat(ctx, node, peer, frame->heartbeat, now, fx);
		return;
	case DFF__FRAME__BODY_SUMMARY:
		take_summary(ctx, node, peer, frame->summary, now, fx);
		return;
	case DFF__FRAME__BODY_LEAVE:
		take_leave(ctx, node, peer);
		return;
	case DFF__FRAME__BODY_WANTED:
		take_wanted(ctx, node, peer, frame->wanted, fx);
		return;
	case DFF__FRAME__BODY_RECORDS:
		take_records(ctx, node, frame->records, now, fx);
		return;
	case DFF__FRAME__BODY_SUSPECTS:
		take_suspects(ctx, node, peer, frame->suspects, now, fx);
		return;
	case DFF__FRAME__BODY__NOT_SET:
	case _DFF__FRAME__BODY__CASE_IS_INT_SIZE:
		/* A later release may send what this one does not know. */
		node->counters[DFF_COUNT_FRAMES_BAD]++;
		return;
	}
}

void
peer_frame(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_peer_t *ev,
    dff_time_t now, dff_effects_t *fx)
{
	dff_member_t *peer = NULL;
	Dff__Frame *frame;
	uint64_t before = 0;
	const dff_member_t *known;
	dff_heard_t heard;

	node->counters[DFF_COUNT_FRAMES_IN]++;
	frame = dff__frame__unpack(NULL, ev->len, ev->data);
	if (frame == NULL || strcmp(frame->from, ev->id) != 0) {
		node->counters[DFF_COUNT_FRAMES_BAD]++;
		dff_log(ctx, DFF_LOG_NOTICE, PART,
		    "frame not understood. peer=%s bytes=%zu", ev->id, ev->len);
		if (frame != NULL)
			dff__frame__free_unpacked(frame, NULL);
		return;
	}
	known = dff_members_find(node->members, ev->id);
	if (known != NULL)
		before = known->incarnation;
	heard = dff_members_hear(
	    ctx, node->members, ev->id, frame->incarnation, now, &peer);
	if (heard == DFF_HEARD_NEW)
		dff_claims_holder_gone(ctx, node->claims, ev->id, before);
	if (heard == DFF_HEARD_ALIEN || heard == DFF_HEARD_STALE)
		node->counters[DFF_COUNT_FRAMES_BAD]++;
	else
		take_body(ctx, node, peer, frame, now, fx);
	dff__frame__free_unpacked(frame, NULL);
}
