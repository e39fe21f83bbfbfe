/*
 * Permits to send requests to upstreams with a rate limit. Each limited
 * upstream has a coordinator, which issues permits at the rate of the limit;
 * the other nodes ask it for each request. So the fleet as a whole keeps the
 * limit, and whoever has the requests gets the permits. A permit that is not
 * used in time is lost, as is one whose reply is lost: the coordinator counts
 * it as used.
 *
 * A call waits for a reply for a few milliseconds, as it would for a round
 * trip to an upstream. While a coordinator does not answer, its upstreams get
 * nothing from this node.
 */
#include <string.h>

#include "base/fault.h"
#include "relay/coordinator.h"
#include "relay/limit.h"
#include "relay/permit.h"

/* Time for which a call waits for a reply: some round trips between domains. */
#define REPLY_TIME (100 * DFF_MSEC)
/* Time from a request without a permit or a reply to the next one. */
#define RETRY_TIME (200 * DFF_MSEC)
/* A permit is used within this time after it was asked for. */
#define PERMIT_LIFETIME DFF_SEC

static void
send_row(step_t *step, const char *addr, Dff__RelayPermit *row)
{
	Dff__RelayBeat frame = DFF__RELAY_BEAT__INIT;

	frame.permits = &row;
	frame.n_permits = 1;
	(void)frame_send_rows(step, addr, &frame);
}

static void
send_request(step_t *step, const upstream_t *up, const char *addr)
{
	const rate_statement_t *limit = rate_limit_newest(&up->limit);
	Dff__RelayPermit row = DFF__RELAY_PERMIT__INIT;

	step->relay->counts[COUNT_PERMITS_REQUESTED]++;
	row.upstream = up->hash;
	row.born = up->record.started_ms;
	row.asked_at = (uint64_t)step->now;
	row.rate = limit->rate;
	row.age_ms = (uint32_t)((step->now - limit->at) / DFF_MSEC);
	send_row(step, addr, &row);
}

static void
deny_until(step_t *step, upstream_t *up, dff_time_t wait)
{
	step->relay->counts[COUNT_PERMITS_DENIED]++;
	up->limit.denied_until = step->now + MAX(wait, DFF_MSEC);
}

permit_result_t
permit_take(step_t *step, upstream_t *up)
{
	const char *addr;

	if (permit_take_at_hand(step, up))
		return PERMIT_TAKEN;
	if (up->limit.share > 0) {
		deny_until(
		    step, up, rate_limit_issue_wait(&up->limit, step->now));
		return PERMIT_DENIED;
	}
	addr = coordinator_addr(step->relay, up, step->now);
	/* This node is about to be the coordinator. */
	if (strcmp(addr, step->relay->config.addr) == 0) {
		deny_until(step, up, RETRY_TIME);
		return PERMIT_DENIED;
	}
	send_request(step, up, addr);
	return PERMIT_REQUESTED;
}

bool
permit_take_at_hand(step_t *step, upstream_t *up)
{
	if (!rate_limit_is_set(&up->limit) || DFF_FAULT(RELAY_LIMIT_IGNORED))
		return true;
	if (!rate_limit_take_permit(&up->limit, step->now))
		return false;
	step->relay->counts[COUNT_PERMITS_USED]++;
	up->limit.used++;
	return true;
}

void
permit_log(
    step_t *step, const call_t *call, const upstream_t *up, const char *what)
{
	dff_log(step->ctx, DFF_LOG_INFO, "place",
	    "request %s permit id=%s upstream=%s limit=%.2f share=%.2f "
	    "used=%" G_GUINT64_FORMAT " wait_ms=%" G_GINT64_FORMAT,
	    what, call->id, up->record.id, rate_limit_newest(&up->limit)->rate,
	    up->limit.share, up->limit.used,
	    MAX(up->limit.denied_until - step->now, 0) / DFF_MSEC);
}

/* ---- calls that wait ---- */

void
permit_wait(step_t *step, call_t *call, dff_handle_t upstream)
{
	permit_log(step, call, upstreams_get(step->relay->upstreams, upstream),
	    "waits for");
	call->awaited_permit = upstream;
	call->permit_requests++;
	dff_timers_set(step->relay->timers, DFF_TIMER_ATTEMPT,
	    call->table_handle, step->now + REPLY_TIME);
}

void
permit_stop_waiting(step_t *step, call_t *call)
{
	if (call->awaited_permit == 0)
		return;
	call->awaited_permit = 0;
	dff_timers_cancel(
	    step->relay->timers, DFF_TIMER_ATTEMPT, call->table_handle);
}

void
permit_time_out(step_t *step, call_t *call)
{
	upstream_t *up =
	    upstreams_get(step->relay->upstreams, call->awaited_permit);

	step->relay->counts[COUNT_PERMITS_UNANSWERED]++;
	if (up != NULL) {
		deny_until(step, up, RETRY_TIME);
		dff_log(step->ctx, DFF_LOG_NOTICE, "place",
		    "no reply to permit request id=%s upstream=%s "
		    "coordinator=%s limit=%.2f",
		    call->id, up->record.id,
		    coordinator_addr(step->relay, up, step->now),
		    rate_limit_newest(&up->limit)->rate);
	}
	relay_send_place(step, call);
}

void
permit_wake_all(step_t *step, upstream_t *up)
{
	call_t *call;

	for (dff_handle_t h = 0; (h = dff_table_next(step->relay->calls, h,
				      (void **)&call)) != 0;) {
		if (call->awaited_permit != 0 &&
		    upstreams_get(
			step->relay->upstreams, call->awaited_permit) == up)
			relay_send_place(step, call);
	}
}

/* Places the most urgent of the calls that wait for a permit for @up. */
static void
wake_one(step_t *step, const upstream_t *up)
{
	call_t *first = NULL;
	call_t *call;

	for (dff_handle_t h = 0; (h = dff_table_next(step->relay->calls, h,
				      (void **)&call)) != 0;) {
		if (call->awaited_permit == 0 ||
		    upstreams_get(
			step->relay->upstreams, call->awaited_permit) != up)
			continue;
		if (first == NULL || call->priority < first->priority)
			first = call;
	}
	if (first != NULL)
		relay_send_place(step, first);
}

/* ---- requests and replies ---- */

static void
handle_request(step_t *step, const char *addr, const Dff__RelayPermit *request)
{
	dff_relay_t *relay = step->relay;
	upstream_t *up = upstreams_find(relay->upstreams, request->upstream);
	Dff__RelayPermit reply = DFF__RELAY_PERMIT__INIT;
	dff_time_t wait = RETRY_TIME;

	reply.upstream = request->upstream;
	reply.born = request->born;
	reply.asked_at = request->asked_at;
	reply.reply = true;
	if (up != NULL && up->record.started_ms == request->born) {
		limit_note_request(step, up, request, addr);
		coordinator_update(step, up);
		reply.granted = !rate_limit_is_set(&up->limit) ||
		    rate_limit_issue(&up->limit, step->now);
		if (up->limit.share > 0)
			wait = rate_limit_issue_wait(&up->limit, step->now);
	}
	if (reply.granted)
		relay->counts[COUNT_PERMITS_ISSUED]++;
	else
		reply.wait_ms = (uint32_t)(wait / DFF_MSEC) + 1;
	send_row(step, addr, &reply);
}

static void
handle_reply(step_t *step, const char *addr, const Dff__RelayPermit *reply)
{
	upstream_t *up =
	    upstreams_find(step->relay->upstreams, reply->upstream);
	dff_time_t asked_at = (dff_time_t)reply->asked_at;

	if (up == NULL || up->record.started_ms != reply->born)
		return;
	dff_log(step->ctx, DFF_LOG_INFO, "place",
	    "reply to permit request upstream=%s coordinator=%s granted=%d "
	    "wait_ms=%u age_ms=%" G_GINT64_FORMAT " limit=%.2f",
	    up->record.id, addr, reply->granted, reply->wait_ms,
	    (step->now - asked_at) / DFF_MSEC,
	    rate_limit_newest(&up->limit)->rate);
	if (!reply->granted) {
		deny_until(step, up, reply->wait_ms * DFF_MSEC);
		permit_wake_all(step, up);
		return;
	}
	rate_limit_add_permit(
	    &up->limit, MIN(asked_at, step->now) + PERMIT_LIFETIME);
	wake_one(step, up);
}

void
permit_receive(step_t *step, const dff_relay_heartbeat_t *datagram,
    const Dff__RelayBeat *frame)
{
	for (size_t i = 0; i < frame->n_permits; i++) {
		if (frame->permits[i]->reply)
			handle_reply(step, datagram->addr, frame->permits[i]);
		else
			handle_request(step, datagram->addr, frame->permits[i]);
	}
}
