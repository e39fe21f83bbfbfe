#include "relay/origin_tell.h"

#include <string.h>

#include "base/fault.h"
#include "relay/peers.h"

/* Time within which the store answers a write unless it fails. */
#define ANSWER_TIME (250 * DFF_MSEC)
/* Rows of one frame, which fits into a datagram, and time between frames. */
#define TELL_ROWS     20
#define TELL_INTERVAL (40 * DFF_MSEC)
#define TELL_DELAY    (5 * DFF_MSEC)
/* A row is told so often, as frames get lost, to so many peers. */
#define TELL_TIMES 3
#define TELL_PEERS 3
/* Most rows that wait to be told. */
#define UNTOLD_MAX 4096
/* A peer that has read the record source within this time reaches the store. */
#define READ_AGE_MAX (2 * DFF_SEC)

static void
queue_row(step_t *step, const dff_stream_origin_t *row, uint32_t times)
{
	origins_t *origins = step->relay->origins;
	untold_t untold = {.row = *row, .times = times};

	if (origins->untold->len >= UNTOLD_MAX)
		return;
	g_array_append_val(origins->untold, untold);
	if (origins->tell_at != 0)
		return;
	origins->tell_at = step->now + TELL_DELAY;
	origin_set_timer(step);
}

void
origin_tell(step_t *step, const dff_stream_origin_t *row)
{
	if (step->relay->origins->store_fails && !origin_is_calm(step) &&
	    !DFF_FAULT(RELAY_ORIGINS_UNTOLD))
		queue_row(step, row, TELL_TIMES);
}

/* Tells all rows that are not stored. */
static void
note_failure(step_t *step)
{
	origins_t *origins = step->relay->origins;
	GHashTableIter iter;
	gpointer value;

	if (origins->store_fails)
		return;
	origins->store_fails = true;
	dff_log(step->ctx, DFF_LOG_NOTICE, "store",
	    "origins of streams are not stored, peers are to store them "
	    "unanswered_ms=%" G_GINT64_FORMAT " calm=%d",
	    (step->now - origins->unanswered_since) / DFF_MSEC,
	    origin_is_calm(step));
	g_hash_table_iter_init(&iter, origins->by_attempt);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const origin_t *origin = value;

		if (origin->own && !origin->stored)
			origin_tell(step, &origin->stream);
	}
}

void
origin_note_store_answer(step_t *step, const dff_relay_stored_t *stored)
{
	origins_t *origins = step->relay->origins;

	if (!stored->accepted) {
		note_failure(step);
		return;
	}
	origins->unanswered_since =
	    stored->batch < origins->batch ? step->now : 0;
	if (!origins->store_fails)
		return;
	origins->store_fails = false;
	dff_log(step->ctx, DFF_LOG_NOTICE, "store",
	    "origins of streams are stored again untold=%u",
	    origins->untold->len);
	g_array_set_size(origins->untold, 0);
	origins->tell_at = 0;
}

dff_time_t
origin_tell_time(const origins_t *origins)
{
	dff_time_t at = DFF_TIME_NEVER;

	if (origins->tell_at != 0)
		at = origins->tell_at;
	if (origins->unanswered_since != 0 && !origins->store_fails)
		at = MIN(at, origins->unanswered_since + ANSWER_TIME);
	return at;
}

/* ---- frames ---- */

static bool
reaches_store(const peer_t *peer, dff_time_t now)
{
	return peer->source_read_at != 0 &&
	    now - peer->source_read_at < READ_AGE_MAX;
}

/* Sends the frame to some peers, first to those that reach the store. */
static void
send_frame(step_t *step, const GByteArray *frame)
{
	const dff_relay_t *relay = step->relay;
	guint count = relay->peers->len;
	guint first = count > 0 ? (guint)dff_rand_below(step->ctx, count) : 0;
	uint32_t sent = 0;

	for (guint i = 0; i < 2 * count && sent < TELL_PEERS; i++) {
		const peer_t *peer = relay->peers->pdata[(first + i) % count];

		if (!peer_is_direct(relay, peer) ||
		    !peer_is_alive(relay, peer, step->now) ||
		    reaches_store(peer, step->now) != (i < count))
			continue;
		sent++;
		frame_send_bytes(step, peer->addr, frame->data, frame->len);
	}
}

static void
tell_rows(step_t *step)
{
	origins_t *origins = step->relay->origins;
	Dff__RelayBeat frame = DFF__RELAY_BEAT__INIT;
	Dff__RelayOrigin rows[TELL_ROWS];
	Dff__RelayOrigin *pointers[TELL_ROWS];
	untold_t told[TELL_ROWS];
	guint count = MIN(origins->untold->len, TELL_ROWS);

	origins->tell_at = 0;
	for (guint i = 0; i < count; i++) {
		told[i] = g_array_index(origins->untold, untold_t, i);
		dff__relay_origin__init(&rows[i]);
		rows[i].attempt = told[i].row.attempt;
		rows[i].run = told[i].row.run;
		rows[i].revision = told[i].row.revision;
		rows[i].pool = told[i].row.pool;
		rows[i].software = told[i].row.software;
		pointers[i] = &rows[i];
	}
	frame.origins = pointers;
	frame.n_origins = count;
	step->relay->counts[COUNT_ORIGINS_TOLD] += count;
	send_frame(step, frame_pack_rows(step->relay, &frame));
	g_array_remove_range(origins->untold, 0, count);
	for (guint i = 0; i < count; i++) {
		if (told[i].times > 1)
			queue_row(step, &told[i].row, told[i].times - 1);
	}
	if (origins->untold->len > 0)
		origins->tell_at = step->now + TELL_INTERVAL;
}

void
origin_tell_due(step_t *step)
{
	const origins_t *origins = step->relay->origins;

	if (origins->unanswered_since != 0 && !origins->store_fails &&
	    step->now >= origins->unanswered_since + ANSWER_TIME)
		note_failure(step);
	if (origins->tell_at != 0 && step->now >= origins->tell_at)
		tell_rows(step);
}

void
origin_receive(step_t *step, const Dff__RelayBeat *frame)
{
	for (size_t i = 0; i < frame->n_origins; i++) {
		const Dff__RelayOrigin *told = frame->origins[i];
		dff_stream_origin_t row = {.attempt = told->attempt,
		    .run = told->run,
		    .revision = told->revision};

		g_strlcpy(row.pool, told->pool, sizeof(row.pool));
		g_strlcpy(row.software, told->software, sizeof(row.software));
		origin_add_helped(step, &row);
		step->relay->counts[COUNT_ORIGINS_HELPED]++;
	}
}
