#include "relay/origin_table.h"
#include "relay/origin_tell.h"

#include <string.h>

#include "base/fault.h"

/* Most origins that are kept. */
#define ORIGINS_MAX 65536
/* Share of the store's rate of writes that origins of all nodes may take. */
#define STORE_SHARE 0.25
/* Rows of one batch: a record of the store has at most 256 KiB. */
#define BATCH_ROWS 1000
/* Time for which rows are collected for one write. */
#define STORE_DELAY (5 * DFF_MSEC)
/* Shortest time between two writes of a node while each pool has one software
 * version, and once it has been so for a while: then this node and most others
 * need no rows. */
#define STORE_INTERVAL_ONE  (250 * DFF_MSEC)
#define STORE_INTERVAL_CALM DFF_SEC
/* Time between reads while a row that was not found may only be late. */
#define LOOKUP_INTERVAL (60 * DFF_MSEC)

origins_t *
origins_new(void)
{
	origins_t *origins = g_new0(origins_t, 1);

	origins->by_attempt =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	origins->versions_read =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	origins->unstored =
	    g_array_new(FALSE, FALSE, sizeof(dff_stream_origin_t));
	origins->untold = g_array_new(FALSE, FALSE, sizeof(untold_t));
	return origins;
}

void
origins_drop(origins_t *origins)
{
	g_hash_table_unref(origins->by_attempt);
	g_hash_table_unref(origins->versions_read);
	g_array_unref(origins->unstored);
	g_array_unref(origins->untold);
	g_free(origins);
}

/* ---- the table ---- */

static bool
is_same(const dff_stream_origin_t *stream, const dff_stream_origin_t *other)
{
	return strcmp(stream->pool, other->pool) == 0 &&
	    strcmp(stream->software, other->software) == 0;
}

static origin_t *
insert(step_t *step, const dff_stream_origin_t *stream)
{
	origins_t *origins = step->relay->origins;
	origin_t *origin;

	if (g_hash_table_size(origins->by_attempt) >= ORIGINS_MAX)
		return NULL;
	origin = g_new0(origin_t, 1);
	origin->stream = *stream;
	g_hash_table_insert(
	    origins->by_attempt, &origin->stream.attempt, origin);
	return origin;
}

static void
note(step_t *step, const dff_stream_origin_t *stream, bool own)
{
	origin_t *origin = g_hash_table_lookup(
	    step->relay->origins->by_attempt, &stream->attempt);

	if (origin == NULL)
		origin = insert(step, stream);
	if (origin == NULL)
		return;
	origin->shared |= stream->run != origin->stream.run;
	if (origin->shared && !is_same(stream, &origin->stream))
		origin->ambiguous = true;
	if (stream->run == origin->stream.run &&
	    (own || stream->revision > origin->stream.revision))
		origin->stream = *stream;
	origin->own |= own;
	if (own)
		origin->stored = false;
	origin->expires_at = step->now + DFF_ORIGIN_TIME;
}

const origin_t *
origin_find(step_t *step, uint64_t attempt, uint64_t read)
{
	const origins_t *origins = step->relay->origins;
	origin_t *origin = g_hash_table_lookup(origins->by_attempt, &attempt);

	if (origin == NULL || (!origin->own && origins->known_read < read))
		return NULL;
	origin->expires_at = step->now + DFF_ORIGIN_TIME;
	return origin;
}

void
origin_sweep(step_t *step)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, step->relay->origins->by_attempt);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((origin_t *)value)->expires_at <= step->now)
			g_hash_table_iter_remove(&iter);
	}
}

/* ---- to the store ---- */

void
origin_set_timer(step_t *step)
{
	const origins_t *origins = step->relay->origins;
	dff_time_t at = DFF_TIME_NEVER;

	if (origins->store_at != 0)
		at = origins->store_at;
	if (origins->lookup_at != 0)
		at = MIN(at, origins->lookup_at);
	at = MIN(at, origin_tell_time(origins));
	if (at != DFF_TIME_NEVER)
		dff_timers_set(step->relay->timers, DFF_TIMER_FLEET_TICK,
		    TICK_ORIGINS, at);
}

/* Whether a pool has upstreams of two software versions, or had until those
 * that are gone are forgotten. */
static bool
has_mixed_versions(const upstreams_t *upstreams)
{
	GHashTable *by_pool = g_hash_table_new(g_str_hash, g_str_equal);
	bool mixed = false;
	upstream_t *up;

	for (dff_handle_t h = 0;
	     !mixed && (h = upstreams_next(upstreams, h, &up)) != 0;) {
		const char *software =
		    g_hash_table_lookup(by_pool, up->record.pool);

		if (software == NULL)
			g_hash_table_insert(
			    by_pool, up->record.pool, up->record.software);
		else
			mixed = strcmp(software, up->record.software) != 0;
	}
	g_hash_table_unref(by_pool);
	return mixed;
}

bool
origin_is_calm(const step_t *step)
{
	return !has_mixed_versions(step->relay->upstreams) &&
	    step->now - step->relay->origins->unchanged_since >=
	    DFF_ORIGIN_TIME;
}

/* Time between two writes of one node. */
static dff_time_t
store_interval(const step_t *step)
{
	const dff_relay_t *relay = step->relay;
	double rate = STORE_SHARE * relay->config.store_writes_rate;
	dff_time_t interval =
	    (dff_time_t)((relay->peers->len + 1) / rate * (double)DFF_SEC);

	if (has_mixed_versions(relay->upstreams))
		return interval;
	if (step->now - relay->origins->unchanged_since < DFF_ORIGIN_TIME)
		return MAX(interval, STORE_INTERVAL_ONE);
	return MAX(interval, STORE_INTERVAL_CALM);
}

/* Plans the next write, earlier than planned if versions are mixed now. */
static void
schedule_store(step_t *step)
{
	origins_t *origins = step->relay->origins;
	dff_time_t at = MAX(
	    step->now + STORE_DELAY, origins->stored_at + store_interval(step));

	if (origins->store_at == 0 || at < origins->store_at)
		origins->store_at = at;
	origin_set_timer(step);
}

static void
store_soon(step_t *step, const dff_stream_origin_t *stream)
{
	origins_t *origins = step->relay->origins;

	g_array_append_val(origins->unstored, *stream);
	if (origins->store_at == 0)
		schedule_store(step);
}

void
origin_note_versions(step_t *step)
{
	if (step->relay->origins->unstored->len > 0)
		schedule_store(step);
}

void
origin_add(step_t *step, const dff_stream_origin_t *stream)
{
	note(step, stream, true);
	store_soon(step, stream);
	origin_tell(step, stream);
}

void
origin_add_helped(step_t *step, const dff_stream_origin_t *stream)
{
	GHashTable *by_attempt = step->relay->origins->by_attempt;
	origin_t *origin = g_hash_table_lookup(by_attempt, &stream->attempt);

	/* Told before, or an own stream, which this node stores itself. */
	if (origin != NULL && origin->helped &&
	    origin->stream.run == stream->run &&
	    origin->stream.revision >= stream->revision)
		return;
	note(step, stream, false);
	origin = g_hash_table_lookup(by_attempt, &stream->attempt);
	if (origin != NULL && origin->stream.run == stream->run)
		origin->helped = true;
	store_soon(step, stream);
}

void
origin_restore(step_t *step)
{
	origins_t *origins = step->relay->origins;
	GHashTableIter iter;
	gpointer value;

	g_array_set_size(origins->unstored, 0);
	g_hash_table_iter_init(&iter, origins->by_attempt);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		origin_t *origin = value;

		if (origin->own || origin->helped) {
			origin->stored = false;
			store_soon(step, &origin->stream);
		} else
			g_hash_table_iter_remove(&iter);
	}
	origins->known_read = 0;
}

void
origin_store_urgently(step_t *step)
{
	step->relay->origins->store_at = step->now + STORE_DELAY;
	origin_set_timer(step);
}

static dff_stream_origin_t *
find_unstored(const dff_relay_t *relay, uint64_t run)
{
	GArray *rows = relay->origins->unstored;

	for (guint i = 0; i < rows->len; i++) {
		dff_stream_origin_t *row =
		    &g_array_index(rows, dff_stream_origin_t, i);

		if (row->run == run)
			return row;
	}
	return NULL;
}

bool
origin_is_unstored(const dff_relay_t *relay, uint64_t run)
{
	return find_unstored(relay, run) != NULL;
}

bool
origin_replace_unstored(step_t *step, const dff_stream_origin_t *stream)
{
	dff_stream_origin_t *row = find_unstored(step->relay, stream->run);

	if (row == NULL)
		return false;
	*row = *stream;
	note(step, stream, true);
	origin_tell(step, stream);
	return true;
}

void
origin_note_stored(step_t *step, const dff_relay_stored_t *stored)
{
	const origins_t *origins = step->relay->origins;
	GHashTableIter iter;
	gpointer value;

	origin_note_store_answer(step, stored);
	g_hash_table_iter_init(&iter, origins->by_attempt);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		origin_t *origin = value;

		if ((!origin->own && !origin->helped) ||
		    origin->batch != stored->batch ||
		    origin_is_unstored(step->relay, origin->stream.run))
			continue;
		if (stored->accepted)
			origin->stored = true;
		else if (!DFF_FAULT(RELAY_REFUSED_ORIGINS_DROPPED))
			store_soon(step, &origin->stream);
	}
}

bool
origin_is_stored(const dff_relay_t *relay, uint64_t attempt)
{
	const origin_t *origin =
	    g_hash_table_lookup(relay->origins->by_attempt, &attempt);

	return origin != NULL && origin->stored;
}

/* Notes the batch of each row's origin. */
static void
note_batch(const origins_t *origins, const dff_relay_origins_t *batch)
{
	for (size_t i = 0; i < batch->count; i++) {
		origin_t *origin = g_hash_table_lookup(
		    origins->by_attempt, &batch->rows[i].attempt);

		if (origin != NULL && origin->stream.run == batch->rows[i].run)
			origin->batch = batch->batch;
	}
}

uint64_t
origin_store_now(step_t *step)
{
	origins_t *origins = step->relay->origins;
	GArray *rows = origins->unstored;

	g_ptr_array_add(step->relay->batches, rows);
	origins->unstored =
	    g_array_new(FALSE, FALSE, sizeof(dff_stream_origin_t));
	origins->store_at = 0;
	origins->stored_at = step->now;
	if (origins->unanswered_since == 0)
		origins->unanswered_since = step->now;
	for (guint at = 0; at < rows->len; at += BATCH_ROWS) {
		dff_relay_effect_t *fx =
		    relay_add_fx(step, DFF_RELAY_FX_STORE_ORIGINS);

		fx->origins.batch = ++origins->batch;
		fx->origins.rows =
		    &g_array_index(rows, dff_stream_origin_t, at);
		fx->origins.count = MIN(rows->len - at, BATCH_ROWS);
		note_batch(origins, &fx->origins);
		step->relay->counts[COUNT_ORIGIN_WRITES]++;
	}
	return origins->batch;
}

/* ---- from the store ---- */

void
origin_read_now(step_t *step)
{
	origins_t *origins = step->relay->origins;

	if (origins->reading)
		return;
	origins->reading = true;
	origins->reads++;
	step->relay->counts[COUNT_ORIGIN_READS]++;
	(void)relay_add_fx(step, DFF_RELAY_FX_READ_ORIGINS);
}

void
origin_read_later(step_t *step)
{
	step->relay->origins->lookup_at = step->now + LOOKUP_INTERVAL;
	origin_set_timer(step);
}

static void
note_version_read(origins_t *origins, const dff_stream_origin_t *stream)
{
	const char *software =
	    g_hash_table_lookup(origins->versions_read, stream->pool);

	if (software != NULL && strcmp(software, stream->software) == 0)
		return;
	g_hash_table_replace(origins->versions_read, g_strdup(stream->pool),
	    g_strdup(software == NULL ? stream->software : ""));
}

void
origin_note_read(step_t *step, const dff_relay_origins_t *read)
{
	origins_t *origins = step->relay->origins;

	origins->reading = false;
	for (size_t i = 0; i < read->count; i++) {
		note(step, &read->rows[i], false);
		note_version_read(origins, &read->rows[i]);
	}
	if (read->complete)
		origins->known_read = origins->reads;
}
