/*
 * Following the three streams of the log. A stream's state begins at offset
 * 1 or at a snapshot, takes each record once and in order, and never goes
 * back, wherever a record came from.
 */
#include "told.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>

#define PART "log"

/* How long a peer's or another node's snapshot is waited for. */
#define HOLLOW_WAIT (10 * DFF_SEC)

void
stream_init(dff_node_t *node)
{
	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		stream_t *stream = &node->streams[i];

		stream->id = (dff_stream_t)i;
		stream->head_at = -1;
		stream->hollow_since = -1;
		stream->snapshot_at = -1;
		g_queue_init(&stream->recent);
	}
	node->streams[DFF_STREAM_CATALOGUE].wanted = true;
	node->streams[DFF_STREAM_AUTHORITY].wanted = true;
	node->streams[DFF_STREAM_CLAIMS].wanted = node->config.serve;
}

static void
recent_free(recent_t *recent)
{
	g_bytes_unref(recent->data);
	g_free(recent);
}

void
stream_free(dff_node_t *node)
{
	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		recent_t *recent;

		while ((recent = g_queue_pop_head(&node->streams[i].recent)) !=
		    NULL)
			recent_free(recent);
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
apply(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_log_record_t *ev,
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
load(dff_ctx_t *ctx, dff_node_t *node, dff_stream_t id, const uint8_t *data,
    size_t len, uint64_t first, dff_time_t now)
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

/* The state of a stream has moved in a way that other parts must hear of. */
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

		if (!stream->wanted)
			continue;
		stream->snapshot_at = now;
		follow_from(stream, 1, fx);
	}
}

static void
check_caught_up(dff_ctx_t *ctx, dff_node_t *node, stream_t *stream)
{
	if (stream->caught_up || stream->target == 0)
		return;
	if (!stream->based ||
	    stream_applied(node, stream->id) + 1 < stream->target)
		return;
	stream->caught_up = true;
	dff_log(ctx, DFF_LOG_NOTICE, PART,
	    "stream read up to its end. stream=%s offset=%" PRIu64,
	    dff_stream_name(stream->id), stream_applied(node, stream->id));
}

static void
remember(stream_t *stream, const dff_ev_log_record_t *ev)
{
	recent_t *recent;

	recent = g_new0(recent_t, 1);
	recent->offset = ev->offset;
	recent->time_ms = ev->time_ms;
	recent->data = g_bytes_new(ev->data, ev->len);
	g_queue_push_tail(&stream->recent, recent);
	stream->recent_bytes += ev->len;
	while (stream->recent.length > RECENT_MAX ||
	    (stream->recent_bytes > RECENT_BYTES_MAX &&
		stream->recent.length > 1)) {
		recent = g_queue_pop_head(&stream->recent);
		stream->recent_bytes -= g_bytes_get_size(recent->data);
		recent_free(recent);
	}
}

/* Offset that a snapshot record speaks for; 0 for any other record. */
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

/* A paused writer's old snapshot must not put the next good one off. */
static void
note_snapshot(stream_t *stream, const uint8_t *data, size_t len, dff_time_t now)
{
	uint64_t through = snapshot_through(data, len);

	if (through <= stream->snapshot_through)
		return;
	stream->snapshot_through = through;
	stream->snapshot_at = now;
}

/* Records before this one are missing: only a snapshot can help. */
static void
bridge_gap(dff_ctx_t *ctx, dff_node_t *node, stream_t *stream,
    const dff_ev_log_record_t *ev, dff_time_t now, dff_effects_t *fx)
{
	int err;

	if (ev->from_peer)
		return;
	stream->scanned = ev->offset;
	if (stream->based)
		dff_log(ctx, DFF_LOG_ERR, PART,
		    "records expired unread. stream=%s applied=%" PRIu64
		    " offset=%" PRIu64,
		    dff_stream_name(stream->id),
		    stream_applied(node, stream->id), ev->offset);
	stream->based = false;
	if (stream->first == 0)
		stream->first = ev->offset;
	err =
	    load(ctx, node, stream->id, ev->data, ev->len, stream->first, now);
	if (err != 0)
		return;
	stream->based = true;
	stream->snapshot_at = now;
	dff_log(ctx, DFF_LOG_NOTICE, PART,
	    "snapshot taken over. stream=%s through=%" PRIu64,
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

	if (!stream->wanted)
		return;
	applied = stream_applied(node, ev->stream);
	if (ev->offset <= applied)
		return;
	if (ev->offset != applied + 1 || (!stream->based && ev->offset != 1)) {
		bridge_gap(ctx, node, stream, ev, now, fx);
		check_caught_up(ctx, node, stream);
		return;
	}
	stream->based = true;
	changed = apply(ctx, node, ev, now, fx);
	node->counters[DFF_COUNT_RECORDS]++;
	if (changed == -EINVAL)
		node->counters[DFF_COUNT_RECORDS_BAD]++;
	remember(stream, ev);
	note_snapshot(stream, ev->data, ev->len, now);
	if (changed > 0)
		state_changed(ctx, node, ev->stream);
	check_caught_up(ctx, node, stream);
}

void
stream_head(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_log_head_t *ev,
    dff_time_t now)
{
	stream_t *stream = &node->streams[ev->stream];

	if (!stream->wanted)
		return;
	if (stream->down)
		dff_log(ctx, DFF_LOG_NOTICE, PART,
		    "log answers again. stream=%s",
		    dff_stream_name(stream->id));
	stream->down = false;
	stream->head_at = now;
	stream->first = ev->first;
	if (stream->target == 0)
		stream->target = ev->next;
	if (ev->next == 1)
		stream->based = true;
	if (stream->based)
		stream->hollow_since = -1;
	else if (MAX(stream->scanned + 1, ev->first) >= ev->next &&
	    stream->hollow_since < 0)
		stream->hollow_since = now;
	check_caught_up(ctx, node, stream);
	if (ev->stream == DFF_STREAM_AUTHORITY &&
	    stream_applied(node, ev->stream) + 1 >= ev->next)
		dff_authority_head(node->authority, ev->asked);
}

void
stream_down(dff_ctx_t *ctx, dff_node_t *node, dff_stream_t id)
{
	stream_t *stream = &node->streams[id];

	if (!stream->wanted || stream->down)
		return;
	stream->down = true;
	dff_log(ctx, DFF_LOG_WARNING, PART, "log does not answer. stream=%s",
	    dff_stream_name(id));
}

bool
stream_up(const dff_node_t *node, dff_stream_t id, dff_time_t now)
{
	const stream_t *stream = &node->streams[id];

	(void)now;
	return stream->wanted && stream->caught_up && !stream->down &&
	    stream->based;
}

static int
rebase(dff_node_t *node, dff_stream_t id, uint64_t applied)
{
	switch (id) {
	case DFF_STREAM_CATALOGUE:
		/* Only who tells its peers what it has may begin anew. */
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

/* A peer that has the stream's state, or NULL. */
static const dff_member_t *
peer_with_state(const dff_node_t *node, dff_stream_t id)
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

		if (!stream->wanted || stream->based ||
		    stream->hollow_since < 0)
			continue;
		peer = peer_with_state(node, stream->id);
		if (peer != NULL) {
			help_ask_snapshot(node, peer, stream->id, fx);
			continue;
		}
		if (now - stream->hollow_since < HOLLOW_WAIT ||
		    rebase(node, stream->id, stream->first - 1) != 0)
			continue;
		stream->based = true;
		stream->hollow_since = -1;
		dff_log(ctx, DFF_LOG_ERR, PART,
		    "stream begins anew: no snapshot is left. stream=%s"
		    " first=%" PRIu64,
		    dff_stream_name(stream->id), stream->first);
		follow_from(stream, stream->first, fx);
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
 * A node that began the catalogue anew has nothing to hand on: its snapshot
 * would take the place of one with a revision that others still hold.
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
	dff_time_t every = node->config.snapshot_every;
	dff_time_t wait;
	dff_effect_t *effect;
	uint8_t *data = NULL;
	int len;

	/* Spread over a second period, so that one node writes for all. */
	wait = every + (dff_time_t)(dff_rand_unit(ctx) * (double)every);
	dff_timers_set(node->timers, DFF_TIMER_SNAPSHOT, id, now + wait);
	if (!writes_snapshots(node, id) || !has_state(node, id) ||
	    !stream_up(node, id, now))
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

	/* The peer hands on the records after it, so retention is no matter. */
	if (!stream->wanted || load(ctx, node, id, data, len, 0, now) != 0)
		return;
	stream->based = true;
	if (stream->target == 0)
		stream->target = stream_applied(node, id) + 1;
	dff_log(ctx, DFF_LOG_NOTICE, PART,
	    "snapshot of a peer taken over. stream=%s through=%" PRIu64,
	    dff_stream_name(id), stream_applied(node, id));
	follow_from(stream, stream_applied(node, id) + 1, fx);
	state_changed(ctx, node, id);
	check_caught_up(ctx, node, stream);
}
