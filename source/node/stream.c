/*
 * Reads the three streams of the log. The state of a stream is built from
 * offset 1 or from a snapshot, applies each record once and in order, and never
 * returns to an earlier offset, whether records come from the log or a peer.
 */
#include "peers.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>

#define PART "log"

/* Time to wait for a snapshot before a stream restarts empty. */
#define BASE_WAIT (10 * DFF_SEC)

void
stream_init(dff_node_t *node)
{
	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		stream_t *stream = &node->streams[i];

		stream->id = (dff_stream_t)i;
		stream->last_read_at = -1;
		stream->no_base_since = -1;
		stream->snapshot_at = -1;
		g_queue_init(&stream->recent);
	}
	node->streams[DFF_STREAM_CATALOGUE].followed = true;
	node->streams[DFF_STREAM_AUTHORITY].followed = true;
	node->streams[DFF_STREAM_CLAIMS].followed = node->config.serve;
}

static void
recent_record_free(recent_record_t *recent)
{
	g_bytes_unref(recent->data);
	g_free(recent);
}

void
stream_free(dff_node_t *node)
{
	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		recent_record_t *recent;

		while ((recent = g_queue_pop_head(&node->streams[i].recent)) !=
		    NULL)
			recent_record_free(recent);
	}
}

uint64_t
stream_applied(const dff_node_t *node, dff_stream_t id)
{
	switch (id) {
	case DFF_STREAM_CATALOGUE:
		return dff_history_applied(node->history);
	case DFF_STREAM_AUTHORITY:
		return dff_authority_applied(node->authority);
	case DFF_STREAM_CLAIMS:
		return dff_claims_applied(node->claims);
	case DFF_STREAM_COUNT:
		break;
	}
	return 0;
}

static int
apply_record(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_log_record_t *ev,
    dff_time_t now, dff_effects_t *fx)
{
	switch (ev->stream) {
	case DFF_STREAM_CATALOGUE:
		return dff_history_apply(ctx, node->history, ev->offset,
		    ev->data, ev->len, ev->time_ms);
	case DFF_STREAM_AUTHORITY:
		return dff_authority_apply(ctx, node->authority, ev->offset,
		    ev->data, ev->len, ev->time_ms, now, fx);
	case DFF_STREAM_CLAIMS:
		return dff_claims_apply(ctx, node->claims, ev->offset, ev->data,
		    ev->len, ev->time_ms, now, fx);
	case DFF_STREAM_COUNT:
		break;
	}
	return -EINVAL;
}

static int
load_snapshot(dff_ctx_t *ctx, dff_node_t *node, dff_stream_t id,
    const uint8_t *data, size_t len, uint64_t first, dff_time_t now)
{
	switch (id) {
	case DFF_STREAM_CATALOGUE:
		return dff_history_load(ctx, node->history, data, len, first);
	case DFF_STREAM_AUTHORITY:
		return dff_authority_load(
		    ctx, node->authority, data, len, first, now);
	case DFF_STREAM_CLAIMS:
		return dff_claims_load(ctx, node->claims, data, len, first);
	case DFF_STREAM_COUNT:
		break;
	}
	return -EINVAL;
}

int
stream_save(
    dff_ctx_t *ctx, const dff_node_t *node, dff_stream_t id, uint8_t **data)
{
	switch (id) {
	case DFF_STREAM_CATALOGUE:
		return dff_history_save(ctx, node->history, node->config.id,
		    node->config.incarnation, data);
	case DFF_STREAM_AUTHORITY:
		return dff_authority_save(ctx, node->authority, data);
	case DFF_STREAM_CLAIMS:
		return dff_claims_save(ctx, node->claims, data);
	case DFF_STREAM_COUNT:
		break;
	}
	return -EINVAL;
}

/* Passes a changed state of a stream to the modules that depend on it. */
static void
state_changed(dff_ctx_t *ctx, dff_node_t *node, dff_stream_t id)
{
	switch (id) {
	case DFF_STREAM_CATALOGUE:
		node_catalogue_changed(ctx, node);
		break;
	case DFF_STREAM_AUTHORITY:
		node_drains_changed(ctx, node);
		break;
	case DFF_STREAM_CLAIMS:
	case DFF_STREAM_COUNT:
		break;
	}
}

static void
follow_from(const stream_t *stream, uint64_t from, dff_effects_t *fx)
{
	dff_effect_t *effect;

	effect = dff_effects_add(fx, DFF_FX_LOG_FOLLOW);
	effect->u.log_follow.stream = stream->id;
	effect->u.log_follow.from = from;
}

void
stream_start(dff_node_t *node, dff_time_t now, dff_effects_t *fx)
{
	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		stream_t *stream = &node->streams[i];

		if (!stream->followed)
			continue;
		stream->snapshot_at = now;
		follow_from(stream, 1, fx);
	}
}

static void
check_caught_up(dff_ctx_t *ctx, dff_node_t *node, stream_t *stream)
{
	if (stream->caught_up || stream->catch_up_offset == 0)
		return;
	if (!stream->has_base ||
	    stream_applied(node, stream->id) + 1 < stream->catch_up_offset)
		return;
	stream->caught_up = true;
	dff_log(ctx, DFF_LOG_NOTICE, PART,
	    "stream read up to its end. stream=%s offset=%" PRIu64,
	    dff_stream_name(stream->id), stream_applied(node, stream->id));
}

static void
keep_record(stream_t *stream, const dff_ev_log_record_t *ev)
{
	recent_record_t *recent;

	recent = g_new0(recent_record_t, 1);
	recent->offset = ev->offset;
	recent->time_ms = ev->time_ms;
	recent->data = g_bytes_new(ev->data, ev->len);
	g_queue_push_tail(&stream->recent, recent);
	stream->recent_bytes += ev->len;
	while (stream->recent.length > RECENT_RECORDS_MAX ||
	    (stream->recent_bytes > RECENT_BYTES_MAX &&
		stream->recent.length > 1)) {
		recent = g_queue_pop_head(&stream->recent);
		stream->recent_bytes -= g_bytes_get_size(recent->data);
		recent_record_free(recent);
	}
}

/* Last offset covered by a snapshot record; 0 for any other record. */
static uint64_t
snapshot_through(const uint8_t *data, size_t len)
{
	Dff__Record *record;
	uint64_t through = 0;

	record = dff__record__unpack(NULL, len, data);
	if (record == NULL)
		return 0;
	if (record->body_case == DFF__RECORD__BODY_CATALOGUE_SNAPSHOT)
		through = record->catalogue_snapshot->through;
	else if (record->body_case == DFF__RECORD__BODY_AUTHORITY_SNAPSHOT)
		through = record->authority_snapshot->through;
	else if (record->body_case == DFF__RECORD__BODY_CLAIMS_SNAPSHOT)
		through = record->claims_snapshot->through;
	dff__record__free_unpacked(record, NULL);
	return through;
}

/* An old snapshot from a paused writer must not delay the next one. */
static void
update_snapshot_time(
    stream_t *stream, const uint8_t *data, size_t len, dff_time_t now)
{
	uint64_t through = snapshot_through(data, len);

	if (through <= stream->snapshot_through)
		return;
	stream->snapshot_through = through;
	stream->snapshot_at = now;
}

/* Records before this one are missing, so only a snapshot can be applied. */
static void
load_after_gap(dff_ctx_t *ctx, dff_node_t *node, stream_t *stream,
    const dff_ev_log_record_t *ev, dff_time_t now, dff_effects_t *fx)
{
	int err;

	if (ev->from_peer)
		return;
	stream->last_scanned = ev->offset;
	if (stream->has_base)
		dff_log(ctx, DFF_LOG_ERR, PART,
		    "records expired unread. stream=%s applied=%" PRIu64
		    " offset=%" PRIu64,
		    dff_stream_name(stream->id),
		    stream_applied(node, stream->id), ev->offset);
	stream->has_base = false;
	if (stream->first_retained == 0)
		stream->first_retained = ev->offset;
	err = load_snapshot(ctx, node, stream->id, ev->data, ev->len,
	    stream->first_retained, now);
	if (err != 0)
		return;
	stream->has_base = true;
	stream->snapshot_at = now;
	dff_log(ctx, DFF_LOG_NOTICE, PART,
	    "snapshot loaded. stream=%s through=%" PRIu64,
	    dff_stream_name(stream->id), stream_applied(node, stream->id));
	follow_from(stream, stream_applied(node, stream->id) + 1, fx);
	state_changed(ctx, node, stream->id);
}

void
stream_record(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_log_record_t *ev,
    dff_time_t now, dff_effects_t *fx)
{
	stream_t *stream = &node->streams[ev->stream];
	uint64_t applied;
	int changed;

	if (!stream->followed)
		return;
	applied = stream_applied(node, ev->stream);
	if (ev->offset <= applied)
		return;
	if (ev->offset != applied + 1 ||
	    (!stream->has_base && ev->offset != 1)) {
		load_after_gap(ctx, node, stream, ev, now, fx);
		check_caught_up(ctx, node, stream);
		return;
	}
	stream->has_base = true;
	changed = apply_record(ctx, node, ev, now, fx);
	node->counters[DFF_COUNT_RECORDS]++;
	if (changed == -EINVAL)
		node->counters[DFF_COUNT_RECORDS_BAD]++;
	keep_record(stream, ev);
	update_snapshot_time(stream, ev->data, ev->len, now);
	if (changed > 0)
		state_changed(ctx, node, ev->stream);
	check_caught_up(ctx, node, stream);
}

void
stream_read_answered(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_log_head_t *ev, dff_time_t now)
{
	stream_t *stream = &node->streams[ev->stream];

	if (!stream->followed)
		return;
	if (stream->down)
		dff_log(ctx, DFF_LOG_NOTICE, PART,
		    "log answers again. stream=%s",
		    dff_stream_name(stream->id));
	stream->down = false;
	stream->last_read_at = now;
	stream->first_retained = ev->first;
	if (stream->catch_up_offset == 0)
		stream->catch_up_offset = ev->next;
	if (ev->next == 1)
		stream->has_base = true;
	if (stream->has_base)
		stream->no_base_since = -1;
	else if (MAX(stream->last_scanned + 1, ev->first) >= ev->next &&
	    stream->no_base_since < 0)
		stream->no_base_since = now;
	check_caught_up(ctx, node, stream);
	if (ev->stream == DFF_STREAM_AUTHORITY &&
	    stream_applied(node, ev->stream) + 1 >= ev->next)
		dff_authority_caught_up(node->authority, ev->sent_at);
}

void
stream_read_failed(dff_ctx_t *ctx, dff_node_t *node, dff_stream_t id)
{
	stream_t *stream = &node->streams[id];

	if (!stream->followed || stream->down)
		return;
	stream->down = true;
	dff_log(ctx, DFF_LOG_WARNING, PART, "log does not answer. stream=%s",
	    dff_stream_name(id));
}

bool
stream_is_ready(const dff_node_t *node, dff_stream_t id, dff_time_t now)
{
	const stream_t *stream = &node->streams[id];

	(void)now;
	return stream->followed && stream->caught_up && !stream->down &&
	    stream->has_base;
}

static int
rebase_stream(dff_node_t *node, dff_stream_t id, uint64_t applied)
{
	switch (id) {
	case DFF_STREAM_CATALOGUE:
		/* Only a node that sends its offsets to peers may restart. */
		if (!node->config.serve)
			return -EPERM;
		return dff_history_rebase(node->history, applied);
	case DFF_STREAM_AUTHORITY:
		return dff_authority_rebase(node->authority, applied);
	case DFF_STREAM_CLAIMS:
		return dff_claims_rebase(node->claims, applied);
	case DFF_STREAM_COUNT:
		break;
	}
	return -EINVAL;
}

/* Finds a live peer that has the state of a stream; NULL if there is none. */
static const dff_member_t *
find_peer_with_state(const dff_node_t *node, dff_stream_t id)
{
	size_t count = dff_members_count(node->members);

	for (size_t i = 0; i < count; i++) {
		const dff_member_t *peer = dff_members_at(node->members, i);

		if (peer->state == DFF_MEMBER_LIVE && peer->offsets[id] > 0)
			return peer;
	}
	return NULL;
}

void
stream_check_base(
    dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx)
{
	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		stream_t *stream = &node->streams[i];
		const dff_member_t *peer;

		if (!stream->followed || stream->has_base ||
		    stream->no_base_since < 0)
			continue;
		peer = find_peer_with_state(node, stream->id);
		if (peer != NULL) {
			peer_records_request_snapshot(
			    node, peer, stream->id, fx);
			continue;
		}
		if (now - stream->no_base_since < BASE_WAIT ||
		    rebase_stream(
			node, stream->id, stream->first_retained - 1) != 0)
			continue;
		stream->has_base = true;
		stream->no_base_since = -1;
		dff_log(ctx, DFF_LOG_ERR, PART,
		    "stream restarts empty: no snapshot is left. stream=%s"
		    " first=%" PRIu64,
		    dff_stream_name(stream->id), stream->first_retained);
		follow_from(stream, stream->first_retained, fx);
		check_caught_up(ctx, node, stream);
	}
}

static bool
writes_snapshots(const dff_node_t *node, dff_stream_t id)
{
	if (id == DFF_STREAM_AUTHORITY)
		return node->config.place;
	return node->config.serve;
}

/*
 * A node that restarted the catalogue empty writes no snapshot: it would
 * replace one with a revision that other nodes still hold.
 */
static bool
has_state(const dff_node_t *node, dff_stream_t id)
{
	return id != DFF_STREAM_CATALOGUE ||
	    dff_history_revision(node->history) > 0;
}

void
stream_snapshot(dff_ctx_t *ctx, dff_node_t *node, dff_stream_t id,
    dff_time_t now, dff_effects_t *fx)
{
	stream_t *stream = &node->streams[id];
	dff_time_t every = node->config.snapshot_period;
	dff_time_t wait;
	dff_effect_t *effect;
	uint8_t *data = NULL;
	int len;

	/* The random delay of up to a period lets one node write for all. */
	wait = every + (dff_time_t)(dff_rand_unit(ctx) * (double)every);
	dff_timers_set(node->timers, DFF_TIMER_SNAPSHOT, id, now + wait);
	if (!writes_snapshots(node, id) || !has_state(node, id) ||
	    !stream_is_ready(node, id, now))
		return;
	if (now - stream->snapshot_at < every)
		return;
	len = stream_save(ctx, node, id, &data);
	if (len < 0)
		return;
	effect = dff_effects_add(fx, DFF_FX_LOG_APPEND);
	effect->u.log_append.id = node_append_id(node);
	effect->u.log_append.stream = id;
	effect->u.log_append.data = dff_effects_copy(fx, data, (size_t)len);
	effect->u.log_append.len = (size_t)len;
	dff_log(ctx, DFF_LOG_INFO, PART,
	    "snapshot written. stream=%s through=%" PRIu64 " bytes=%d",
	    dff_stream_name(id), stream_applied(node, id), len);
	free(data);
}

void
stream_load_snapshot(dff_ctx_t *ctx, dff_node_t *node, dff_stream_t id,
    const uint8_t *data, size_t len, dff_time_t now, dff_effects_t *fx)
{
	stream_t *stream = &node->streams[id];

	/* The peer also has the later records: retention does not matter. */
	if (!stream->followed ||
	    load_snapshot(ctx, node, id, data, len, 0, now) != 0)
		return;
	stream->has_base = true;
	if (stream->catch_up_offset == 0)
		stream->catch_up_offset = stream_applied(node, id) + 1;
	dff_log(ctx, DFF_LOG_NOTICE, PART,
	    "snapshot of a peer loaded. stream=%s through=%" PRIu64,
	    dff_stream_name(id), stream_applied(node, id));
	follow_from(stream, stream_applied(node, id) + 1, fx);
	state_changed(ctx, node, id);
	check_caught_up(ctx, node, stream);
}
