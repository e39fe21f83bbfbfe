#include "relay/origin_table.h"
#include "relay/origin_tell.h"

#include <string.h>

#include "base/fault.h"

/* Time after which a lookup is given up. An origin that is missing may only be
 * late, as its node may store it a little later than the first event. */
#define LOOKUP_TIME (400 * DFF_MSEC)
/* Time after which a call gives up waiting for the store. */
#define STORE_TIME (400 * DFF_MSEC)
/* Time after its start in which a node has listed all upstreams, by reading
 * them itself or from peers. */
#define TABLE_TIME	 (500 * DFF_MSEC)
#define TABLE_TIME_PEERS (3 * DFF_SEC)
/* Retry time of a stream that cannot go on: its caller may begin anew. */
#define RETRY_NEW_STREAM (100 * DFF_MSEC)

/* ---- streams that begin ---- */

const char *
origin_bound_software(const call_t *call)
{
	return call->stream_begun || call->origin_revision > 1 ?
	    call->stream_software :
	    "";
}

/* Number of the call's run among those of all nodes. */
static uint64_t
run_of(const dff_relay_t *relay, const call_t *call)
{
	uint64_t node = dff_hash(relay->config.id, strlen(relay->config.id),
	    relay->config.incarnation);

	return dff_hash(&call->number, sizeof(call->number), node);
}

static void
fill_row(const dff_relay_t *relay, const call_t *call, const char *software,
    dff_stream_origin_t *row)
{
	memset(row, 0, sizeof(*row));
	row->attempt = call->stream;
	row->run = run_of(relay, call);
	row->revision = call->origin_revision;
	g_strlcpy(row->pool, call->pool, sizeof(row->pool));
	g_strlcpy(row->software, software, sizeof(row->software));
}

/* Records that the call's stream is of @software. */
static void
record_origin(step_t *step, call_t *call, const char *software)
{
	dff_stream_origin_t row;

	g_strlcpy(
	    call->stream_software, software, sizeof(call->stream_software));
	/* A stream without an id cannot be resumed at all. */
	if (call->stream == 0)
		return;
	fill_row(step->relay, call, software, &row);
	if (call->origin_revision > 0 && origin_replace_unstored(step, &row))
		return;
	row.revision = ++call->origin_revision;
	origin_add(step, &row);
}

/* Whether the call's stream may begin at @software and has another origin on
 * record, or none. */
static bool
is_new_origin(const call_t *call, const char *software)
{
	return dff_route_is_resumable(call->route) && !call->stream_begun &&
	    strcmp(call->stream_software, software) != 0;
}

bool
origin_wait_store(step_t *step, call_t *call, const upstream_t *up)
{
	const char *software = upstream_software(up);

	if (call->origin_revision == 0 || !is_new_origin(call, software) ||
	    origin_is_unstored(step->relay, run_of(step->relay, call)) ||
	    DFF_FAULT(RELAY_ORIGIN_NOT_AWAITED))
		return false;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "stream waits for its new origin id=%s software=%s before=%s "
	    "revision=%u",
	    call->id, software, call->stream_software,
	    call->origin_revision + 1);
	record_origin(step, call, software);
	call->awaited_batch = origin_store_now(step);
	dff_timers_set(step->relay->timers, DFF_TIMER_ATTEMPT,
	    call->table_handle, step->now + STORE_TIME);
	return true;
}

void
origin_note_send(step_t *step, call_t *call)
{
	if (is_new_origin(call, call->send.software))
		record_origin(step, call, call->send.software);
}

static void
end_wait(step_t *step, call_t *call, bool accepted)
{
	call->awaited_batch = 0;
	dff_timers_cancel(
	    step->relay->timers, DFF_TIMER_ATTEMPT, call->table_handle);
	if (accepted)
		relay_send_place(step, call);
	else
		relay_call_give_up(step, call, DFF_FAILURE_BUSY,
		    RETRY_NEW_STREAM, "origin_not_stored");
}

bool
origin_wait_withdrawal(step_t *step, call_t *call)
{
	if (!call->stream_begun || call->stream_software[0] != '\0' ||
	    call->origin_revision == 0 ||
	    origin_is_stored(step->relay, call->stream) ||
	    DFF_FAULT(RELAY_WITHDRAWAL_NOT_AWAITED))
		return false;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "broken stream waits until its origin is withdrawn id=%s "
	    "revision=%u",
	    call->id, call->origin_revision);
	call->awaits_withdrawal = true;
	origin_store_urgently(step);
	dff_timers_set(step->relay->timers, DFF_TIMER_ATTEMPT,
	    call->table_handle, step->now + STORE_TIME);
	return true;
}

static void
end_withdrawal(step_t *step, call_t *call)
{
	relay_call_give_up(
	    step, call, DFF_FAILURE_BUSY, 0, "stream_software_unknown");
}

void
origin_apply_stored(step_t *step, const dff_relay_stored_t *stored)
{
	call_t *call;

	origin_note_stored(step, stored);
	for (dff_handle_t h = 0; (h = dff_table_next(step->relay->calls, h,
				      (void **)&call)) != 0;) {
		if (call->awaited_batch != 0 &&
		    call->awaited_batch == stored->batch)
			end_wait(step, call, stored->accepted);
		else if (call->awaits_withdrawal &&
		    origin_is_stored(step->relay, call->stream))
			end_withdrawal(step, call);
	}
}

void
origin_time_out(step_t *step, call_t *call)
{
	if (call->awaits_withdrawal)
		end_withdrawal(step, call);
	else
		end_wait(step, call, false);
}

/* Software version of the process that answers a send; "" if not certain. */
static const char *
software_of_send(const step_t *step, const send_t *send)
{
	const upstream_t *up =
	    upstreams_get(step->relay->upstreams, send->upstream);

	if (up != NULL && up->record.started_ms != send->upstream_started_ms &&
	    strcmp(up->record.software, send->software) != 0 &&
	    !DFF_FAULT(RELAY_RESTART_KEEPS_SOFTWARE))
		return "";
	return send->software;
}

void
origin_note_break(step_t *step, call_t *call)
{
	if (call->stream_begun && call->stream_begun_by == call->sends &&
	    strcmp(software_of_send(step, &call->send),
		call->stream_software) != 0)
		record_origin(step, call, "");
}

static bool
reject_event(step_t *step, call_t *call, const char *software)
{
	step->relay->counts[COUNT_STREAM_EVENTS_REJECTED]++;
	dff_log(step->ctx, DFF_LOG_WARNING, "call",
	    "event of another software version not forwarded id=%s "
	    "upstream=%s software=%s stream_software=%s",
	    call->id, call->send.id, software, call->stream_software);
	return false;
}

bool
origin_note_event(step_t *step, call_t *call)
{
	const char *software = software_of_send(step, &call->send);

	/* The peer sees to it. */
	if (call->send.to_peer)
		return true;
	if (call->stream_begun) {
		return strcmp(software, call->stream_software) == 0 ||
		    DFF_FAULT(RELAY_STREAM_SOFTWARE_IGNORED) ||
		    reject_event(step, call, software);
	}
	if (strcmp(software, call->stream_software) != 0)
		record_origin(step, call, software);
	call->stream_begun = true;
	call->stream_begun_by = call->sends;
	return true;
}

static bool
route_has_pool(const dff_route_t *route, const char *pool)
{
	for (guint i = 0; i < route->shares->len; i++) {
		if (strcmp(
			g_array_index(route->shares, dff_route_share_t, i).pool,
			pool) == 0)
			return true;
	}
	return false;
}

/* ---- streams that can have one origin only ---- */

void
origin_note_start(step_t *step)
{
	origins_t *origins = step->relay->origins;

	origins->unchanged_since = step->relay->config.fleet_is_new ?
	    step->now - DFF_ORIGIN_TIME :
	    step->now;
	origins->only_started = true;
	origins->started_at = step->now;
	if (!step->relay->config.fleet_is_new)
		origin_read_now(step);
}

void
origin_note_change(step_t *step)
{
	step->relay->origins->unchanged_since = step->now;
	step->relay->origins->only_started = false;
}

static bool
has_same_pools(const dff_route_t *route, const dff_route_t *other)
{
	if (other == NULL || other->shares->len != route->shares->len)
		return false;
	for (guint i = 0; i < other->shares->len; i++) {
		if (!route_has_pool(route,
			g_array_index(other->shares, dff_route_share_t, i)
			    .pool))
			return false;
	}
	return true;
}

/* Whether each resumable route of @routing has the same pools in @other. */
static bool
keeps_pools(const dff_routing_t *routing, const dff_routing_t *other)
{
	for (guint i = 0; i < routing->routes->len; i++) {
		const dff_route_t *route = routing->routes->pdata[i];

		if (dff_route_is_resumable(route) &&
		    !has_same_pools(route,
			dff_routing_match(other, route->host, route->prefix)))
			return false;
	}
	return true;
}

void
origin_note_routing(
    step_t *step, const dff_routing_t *routing, const dff_routing_t *next)
{
	if (routing != NULL &&
	    (!keeps_pools(routing, next) || !keeps_pools(next, routing)))
		origin_note_change(step);
}

/* Whether all upstreams have been listed since the start. */
static bool
table_is_complete(const step_t *step)
{
	const dff_relay_t *relay = step->relay;
	dff_time_t since = relay->origins->started_at;

	return relay->source_answered_at != 0 &&
	    step->now - since >=
	    (relay->source_read_at != 0 ? TABLE_TIME : TABLE_TIME_PEERS);
}

/* The version of all upstreams of a pool, with those that are gone, which remain
 * in the table for longer than a stream lasts; NULL if there are more. */
static const char *
listed_software(const upstreams_t *upstreams, const char *pool)
{
	const char *software = NULL;
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(upstreams, h, &up)) != 0;) {
		if (strcmp(up->record.pool, pool) != 0)
			continue;
		if (software != NULL &&
		    strcmp(up->record.software, software) != 0)
			return NULL;
		software = up->record.software;
	}
	return software;
}

/* Whether the stored origins name no other version of a pool; a node that has
 * just started knows no other history. */
static bool
rows_agree(const origins_t *origins, const char *pool, const char *software)
{
	const char *read = g_hash_table_lookup(origins->versions_read, pool);

	return origins->only_started && origins->known_read > 0 &&
	    (read == NULL || strcmp(read, software) == 0);
}

/* The version at which all streams of the call's route began that may still go
 * on, or NULL if there may be more than one. */
static const char *
only_software(const step_t *step, const call_t *call)
{
	const dff_relay_t *relay = step->relay;
	const char *software;

	if (!table_is_complete(step) || call->route->shares->len != 1)
		return NULL;
	software = listed_software(relay->upstreams, call->pool);
	if (software == NULL ||
	    step->now - relay->origins->unchanged_since >= DFF_ORIGIN_TIME)
		return software;
	return call->stream == 0 &&
		rows_agree(relay->origins, call->pool, software) ?
	    software :
	    NULL;
}

/* ---- streams that are resumed ---- */

static void
resume_at(step_t *step, call_t *call, const char *software, const char *origin)
{
	call->awaits_origin = false;
	call->stream_begun = true;
	g_strlcpy(
	    call->stream_software, software, sizeof(call->stream_software));
	step->relay->counts[COUNT_STREAMS_RESUMED]++;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "stream is resumed id=%s pool=%s software=%s origin=%s "
	    "after_ms=%" G_GINT64_FORMAT,
	    call->id, call->pool, call->stream_software, origin,
	    (step->now - call->arrived_at) / DFF_MSEC);
	relay_send_place(step, call);
}

static void
refuse(step_t *step, call_t *call, const char *why)
{
	call->awaits_origin = false;
	step->relay->counts[COUNT_STREAMS_UNKNOWN]++;
	relay_call_give_up(step, call, DFF_FAILURE_BUSY, RETRY_NEW_STREAM, why);
}

static void
resume_at_origin(step_t *step, call_t *call, const origin_t *origin)
{
	const dff_stream_origin_t *stream = &origin->stream;

	if (origin->ambiguous) {
		refuse(step, call, "stream_id_not_unique");
		return;
	}
	if (stream->software[0] == '\0') {
		refuse(step, call, "stream_software_unknown");
		return;
	}
	if (!route_has_pool(call->route, stream->pool)) {
		refuse(step, call, "stream_of_another_pool");
		return;
	}
	g_strlcpy(call->pool, stream->pool, sizeof(call->pool));
	call->pool_config = dff_routing_pool(call->routing, call->pool);
	resume_at(
	    step, call, stream->software, origin->own ? "own" : "recorded");
}

/* A call waits for a read, which begins now or at the next lookup. */
static void
await_read(step_t *step, bool now)
{
	if (now)
		origin_read_now(step);
	if (step->relay->origins->lookup_at == 0)
		origin_read_later(step);
}

void
origin_resume(step_t *step, call_t *call)
{
	const char *software = only_software(step, call);
	const origin_t *origin;

	/* A read that has begun may miss rows of before the request. */
	call->origin_read = step->relay->origins->reads + 1;
	origin = origin_find(step, call->stream, call->origin_read);

	if (DFF_FAULT(RELAY_ORIGINS_IGNORED))
		relay_send_place(step, call);
	else if (software != NULL)
		resume_at(step, call, software, "only");
	else if (call->stream == 0)
		refuse(step, call, "stream_unnamed");
	else if (origin != NULL)
		resume_at_origin(step, call, origin);
	else {
		call->awaits_origin = true;
		await_read(step, true);
	}
}

/* Continues the calls whose origin is known now and refuses those that have
 * waited too long. The others need another read: those that no read has
 * answered yet at once, all of them if @again. */
static void
continue_waiting(step_t *step, bool again)
{
	dff_relay_t *relay = step->relay;
	const origin_t *origin;
	call_t *call;

	relay->origins->lookup_at = 0;
	for (dff_handle_t h = 0;
	     (h = dff_table_next(relay->calls, h, (void **)&call)) != 0;) {
		if (!call->awaits_origin)
			continue;
		origin = origin_find(step, call->stream, call->origin_read);
		if (origin != NULL)
			resume_at_origin(step, call, origin);
		else if (step->now - call->arrived_at >= LOOKUP_TIME)
			refuse(step, call, "stream_unknown");
		else
			await_read(step,
			    again || call->origin_read > relay->origins->reads);
	}
}

void
origin_apply_read(step_t *step, const dff_relay_origins_t *read)
{
	origin_note_read(step, read);
	continue_waiting(step, false);
}

void
origin_run_timer(step_t *step)
{
	origins_t *origins = step->relay->origins;

	if (origins->store_at != 0 && step->now >= origins->store_at)
		(void)origin_store_now(step);
	if (origins->lookup_at != 0 && step->now >= origins->lookup_at)
		continue_waiting(step, true);
	origin_tell_due(step);
	origin_set_timer(step);
}
