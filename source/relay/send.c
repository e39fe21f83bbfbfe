#include <string.h>

#include "base/fault.h"
#include "relay/send.h"
#include "relay/suspect.h"

/* Sends of one request that left this node, rejected and failed ones
 * counted. */
#define SENDS_MAX 6
/* Upstreams that one request may fail to reach. */
#define UNREACHED_MAX 12
/* Less time than this is no chance for an upstream. */
#define TIME_LEFT_MIN (15 * DFF_MSEC)
/* Kept back of a caller's time for the answer's way back. */
#define WAY_BACK (5 * DFF_MSEC)
/* Longest time for a connection: some round trips and the handshake. */
#define CONNECT_TIME (350 * DFF_MSEC)
/* A prefill is taken as lost after this many times its predicted time, and
 * not before the least. */
#define PREFILL_LATE	 4
#define PREFILL_LATE_MIN (800 * DFF_MSEC)
/* A repeatable request that is not answered after this share of its aim is
 * sent elsewhere. */
#define REPEAT_LATE_SHARE 0.6
/* Share of a caller's patience within which a first byte must be expected. */
#define PATIENCE_SHARE 0.8
/* Callers leave a stream after a gap of this length, or these multiples of
 * its aim and pause. */
#define GAP_LEAVE      (2 * DFF_SEC)
#define GAP_LEAVE_AIMS 4
#define GAP_LEAVE_GAPS 8
/* Share of its aim that a generation may wait for others' prompts: beyond,
 * it would be late for certain and make those behind it late. */
#define QUEUE_SHARE 0.8
/* A queue that gets new work all the while takes this many times its excess to
 * shrink, and no less than the reading of a long prompt. */
#define RETURN_FACTOR 2
#define RETURN_MIN    (300 * DFF_MSEC)
/* An estimate of more than this says little. */
#define RETURN_MAX (5 * DFF_SEC)
/* Callers that are turned away together return over this time, and over the
 * time that the queue takes to shrink. */
#define RETURN_SPREAD (500 * DFF_MSEC)
/* In a large fleet the load of other failure domains is known late: their
 * upstreams must look better by this much. */
#define FAR_TIME (80 * DFF_MSEC)

/* ---- what is counted at an upstream while a send is under way ---- */

static void
count_send(step_t *step, call_t *call, upstream_t *up, uint32_t uncached)
{
	send_t *send = &call->send;

	up->running++;
	send->ahead = (uint32_t)MIN(
	    up->backlog + up->peers.backlog, (uint64_t)UINT32_MAX / 2);
	send->uncached = uncached;
	if (call->prompt.count == 0)
		return;
	send->backlog = send->step == DFF_STEP_DECODE ? 0 : uncached;
	send->memory = call->prompt.tokens +
	    (send->step == DFF_STEP_PREFILL ? 0 : call->prompt.tokens_out);
	up->backlog += send->backlog;
	up->memory += send->memory;
	/* The last part is the request's own; no other will ask for it. */
	for (uint32_t i = 0; i + 1 < call->prompt.count; i++)
		tell_note_part(step->relay, up, call->prompt.parts[i].id,
		    call->prompt.parts[i].tokens, step->now);
	tell_note_send(step);
	upstream_keep(up, &call->prompt,
	    call->spec != NULL ? call->spec->kv_tokens : 0, step->now);
}

void
send_uncount_backlog(step_t *step, send_t *send)
{
	upstream_t *up = upstreams_get(step->relay->upstreams, send->upstream);

	if (up != NULL)
		up->backlog -= MIN(up->backlog, send->backlog);
	send->backlog = 0;
}

/* The send is over; its number is not known any more. */
void
send_uncount(step_t *step, call_t *call)
{
	send_t *send = &call->send;
	upstream_t *up = upstreams_get(step->relay->upstreams, send->upstream);

	send_uncount_backlog(step, send);
	if (up != NULL) {
		upstream_note_end(up);
		up->memory -= MIN(up->memory, send->memory);
	}
	(void)g_hash_table_remove(step->relay->by_send, &send->number);
	dff_timers_cancel(step->relay->timers, DFF_TIMER_TRY, call->self);
	send->number = 0;
}

void
relay_send_cancel(step_t *step, call_t *call)
{
	const upstream_t *up;
	dff_relay_effect_t *fx;

	if (call->send.number == 0)
		return;
	up = upstreams_get(step->relay->upstreams, call->send.upstream);
	/* Its end may look like this where nothing is heard any more. */
	if (up != NULL && up->silent)
		suspect_note(step, call);
	fx = relay_add_fx(step, DFF_RELAY_FX_CANCEL);
	fx->cancel = call->send.number;
	send_uncount(step, call);
}

/* ---- sending ---- */

void
send_avoid(call_t *call, dff_handle_t upstream)
{
	if (call->avoid_count < AVOID_MAX)
		call->avoid[call->avoid_count++] = upstream;
}

/* Whether a second run is allowed after one that may have run. */
bool
send_may_repeat(const call_t *call)
{
	switch (call->route->kind) {
	case DFF_ROUTE_REPEATABLE:
		return call->runs < call->route->runs_max;
	case DFF_ROUTE_STREAM:
		return call->route->resumable &&
		    call->runs < call->route->runs_max;
	case DFF_ROUTE_ONCE:
		return DFF_FAULT(RELAY_REPEAT_ONCE);
	}
	g_assert_not_reached();
}

static void
set_late_timer(step_t *step, call_t *call)
{
	const send_t *send = &call->send;
	dff_time_t late;

	if (send->step == DFF_STEP_PREFILL)
		late = MAX(PREFILL_LATE * send->predicted, PREFILL_LATE_MIN);
	else if (call->route->kind == DFF_ROUTE_REPEATABLE &&
	    send_may_repeat(call))
		late =
		    (dff_time_t)(REPEAT_LATE_SHARE * (double)call->route->aim);
	else
		return;
	dff_timers_set(
	    step->relay->timers, DFF_TIMER_TRY, call->self, step->now + late);
}

static void
start_send(step_t *step, call_t *call, const place_t *place)
{
	dff_relay_t *relay = step->relay;
	upstream_t *up = upstreams_get(relay->upstreams, place->upstream);
	dff_relay_effect_t *fx = relay_add_fx(step, DFF_RELAY_FX_SEND);
	const upstream_t *donor;
	send_t *send = &call->send;

	memset(send, 0, sizeof(*send));
	memset(&call->tail, 0, sizeof(call->tail));
	send->number = ++relay->next_send;
	send->step = place->step;
	send->upstream = place->upstream;
	g_strlcpy(send->id, up->news.id, sizeof(send->id));
	g_strlcpy(send->addr, up->news.addr, sizeof(send->addr));
	send->born = up->news.born;
	send->at = step->now;
	send->predicted = place->wait;
	count_send(step, call, up, place->uncached);
	upstream_note_send(up, MAX(place->wait, call->route->aim), step->now);
	g_hash_table_insert(relay->by_send, &send->number, call);
	call->sends++;
	relay->counts[COUNT_SENDS]++;
	if (place->step == DFF_STEP_PREFILL)
		relay->counts[COUNT_PREFILLS]++;
	else {
		call->arrivals++;
		call->runs++;
	}
	fx->send.call = call->number;
	fx->send.send = send->number;
	g_strlcpy(fx->send.upstream, up->news.id, sizeof(fx->send.upstream));
	g_strlcpy(fx->send.addr, up->news.addr, sizeof(fx->send.addr));
	fx->send.step = place->step;
	if (place->step == DFF_STEP_DECODE) {
		g_strlcpy(
		    fx->send.source, call->source, sizeof(fx->send.source));
		g_strlcpy(
		    fx->send.handle, call->handle, sizeof(fx->send.handle));
	}
	donor = upstreams_get(relay->upstreams, place->donor);
	if (donor != NULL)
		g_strlcpy(
		    fx->send.donor, donor->news.addr, sizeof(fx->send.donor));
	fx->send.time_left = call->give_up - step->now - WAY_BACK;
	fx->send.after_event =
	    DFF_FAULT(RELAY_RESUME_FROM_START) ? -1 : call->after_event;
	fx->send.rank = call->route->rank;
	fx->send.connect_time = CONNECT_TIME;
	fx->send.anew = up->failures > 0;
	set_late_timer(step, call);
	dff_log(step->ctx, DFF_LOG_INFO, "place",
	    "request sent id=%s route=%s version=%" G_GUINT64_FORMAT
	    " upstream=%s step=%d send=%u wait_ms=%" G_GINT64_FORMAT
	    " uncached=%u tokens=%u donor=%s ahead=%u running=%u peers=%u "
	    "errors=%.2f",
	    call->id, call->route->name, call->routing->version, up->news.id,
	    (int)place->step, call->sends, place->wait / DFF_MSEC,
	    place->uncached, call->prompt.tokens,
	    donor != NULL ? donor->news.id : "-", send->ahead, up->running,
	    up->peers.running, up->errors);
}

/* Latest time after arrival at which a first byte is of use. */
static dff_time_t
first_byte_limit(const call_t *call)
{
	const dff_route_t *route = call->route;
	dff_time_t limit = call->give_up - call->arrived;
	dff_time_t leave = GAP_LEAVE;

	if (route->kind == DFF_ROUTE_STREAM) {
		leave = MAX(leave, GAP_LEAVE_AIMS * route->aim);
		leave = MAX(leave, GAP_LEAVE_GAPS * route->gap);
		limit = MIN(limit, leave);
	}
	return (dff_time_t)(PATIENCE_SHARE * (double)limit);
}

/*
 * Longest time that others' work may take ahead of it. What a long prompt
 * takes by itself does not count, or it would never be served.
 */
static dff_time_t
queue_limit(const call_t *call)
{
	return (dff_time_t)(QUEUE_SHARE * (double)call->route->aim);
}

static void
fill_ask(step_t *step, const call_t *call, place_ask_t *ask)
{
	memset(ask, 0, sizeof(*ask));
	ask->pool = call->pool;
	ask->domain = step->relay->config.domain;
	ask->spec = call->spec;
	ask->prompt = &call->prompt;
	ask->gap = call->route->gap;
	ask->hop = step->relay->config.hop;
	if (call->spec != NULL && call->spec->conns_max > 0)
		ask->sends_max = MAX(
		    call->spec->conns_max / (step->relay->peers->len + 1), 1);
	ask->far = beat_is_large(step->relay) ? FAR_TIME : 0;
	memcpy(ask->avoid, call->avoid, sizeof(ask->avoid));
	ask->avoid_count = call->avoid_count;
	ask->whole_only = call->after_event >= 0;
	ask->prefilled_at = call->handle[0] != '\0' ? call->prefilled_at : 0;
}

bool
send_has_other(step_t *step, const call_t *call)
{
	place_ask_t ask;
	place_t place;

	fill_ask(step, call, &ask);
	if (ask.avoid_count < AVOID_MAX)
		ask.avoid[ask.avoid_count++] = call->send.upstream;
	place_request(step->relay->upstreams, &step->relay->pace, &ask,
	    step->now, &place);
	return place.upstream != 0 && !place.shunned &&
	    place.upstream != call->send.upstream;
}

/* How long until the predicted wait, @over too long now, is of use again;
 * spread, so that those turned away together do not return together. */
static dff_time_t
time_to_return(step_t *step, dff_time_t over)
{
	dff_time_t shrinks = RETURN_FACTOR * over;
	double spread = (double)(shrinks + RETURN_SPREAD);

	return MIN(RETURN_MIN + shrinks +
		(dff_time_t)(dff_rand_unit(step->ctx) * spread),
	    RETURN_MAX);
}

/* Memory that has lapsed at its engine is not asked for. */
static void
drop_lapsed_handle(const step_t *step, call_t *call)
{
	dff_time_t life = call->spec != NULL ? call->spec->handle_life : 0;

	if (life > 0 && step->now - call->handle_at >= life)
		call->handle[0] = '\0';
}

/* Other requests with its content may have been found out meanwhile. */
static bool
give_up_suspect(step_t *step, call_t *call)
{
	dff_time_t refused =
	    suspect_refused_for(step->relay, call->content, step->now);

	if (refused == 0 || DFF_FAULT(RELAY_VERDICT_ON_ARRIVAL))
		return false;
	step->relay->counts[COUNT_POISON]++;
	relay_call_give_up(step, call,
	    call->fate < DFF_FATE_OPEN ? DFF_TROUBLE_BUSY : DFF_TROUBLE_LOST,
	    refused, "breaks_upstreams");
	return true;
}

void
relay_send_place(step_t *step, call_t *call)
{
	dff_relay_t *relay = step->relay;
	dff_time_t waited = step->now - call->arrived;
	dff_time_t limit = first_byte_limit(call);
	place_ask_t ask;
	place_t place;

	if (give_up_suspect(step, call))
		return;
	drop_lapsed_handle(step, call);
	if (call->give_up - step->now < TIME_LEFT_MIN) {
		relay_call_give_up(
		    step, call, DFF_TROUBLE_TIME, 0, "no_time_left");
		return;
	}
	if (call->sends - call->unreached >= SENDS_MAX ||
	    call->unreached >= UNREACHED_MAX) {
		relay_call_give_up(
		    step, call, DFF_TROUBLE_BUSY, DFF_SEC, "sends");
		return;
	}
	fill_ask(step, call, &ask);
	place_request(relay->upstreams, &relay->pace, &ask, step->now, &place);
	if (place.upstream == 0) {
		relay_call_give_up(step, call, DFF_TROUBLE_BUSY,
		    place.away > 0 ? time_to_return(step, place.away) : DFF_SEC,
		    place.away > 0 ? "upstreams_away" : "no_upstream");
		return;
	}
	/* All that could take it were out of reach lately, as this one was. */
	if (place.shunned && call->unreached > 0 &&
	    call->fate != DFF_FATE_BEGUN) {
		relay_call_give_up(
		    step, call, DFF_TROUBLE_BUSY, DFF_SEC, "unreachable");
		return;
	}
	if (call->fate != DFF_FATE_BEGUN && call->fate != DFF_FATE_PREFILLED &&
	    waited + place.wait > limit) {
		relay_call_give_up(step, call, DFF_TROUBLE_BUSY,
		    time_to_return(step, waited + place.wait - limit), "late");
		return;
	}
	if (call->sends == 0 && call->prompt.count > 0 &&
	    place.ahead > queue_limit(call) && !DFF_FAULT(RELAY_ADMIT_ALL)) {
		relay_call_give_up(step, call, DFF_TROUBLE_BUSY,
		    time_to_return(step, place.ahead - queue_limit(call)),
		    "queue");
		return;
	}
	if (call->arrivals > 0) {
		if (!budget_take(relay->budget, call->pool, step->now)) {
			relay->counts[COUNT_BUDGET_EMPTY]++;
			relay_call_give_up(
			    step, call, DFF_TROUBLE_BUSY, DFF_SEC, "budget");
			return;
		}
		relay->counts[COUNT_EXTRA_SENDS]++;
	}
	start_send(step, call, &place);
}

void
relay_send_due(step_t *step, uint64_t number)
{
	dff_relay_t *relay = step->relay;
	call_t *call = g_hash_table_lookup(relay->by_send, &number);
	const upstream_t *up;

	if (call == NULL)
		return;
	up = upstreams_get(relay->upstreams, call->send.upstream);
	if (step->now < call->give_up && up != NULL &&
	    upstream_accepts(up, step->now) &&
	    (suspect_refused_for(relay, call->content, step->now) == 0 ||
		DFF_FAULT(RELAY_VERDICT_ON_ARRIVAL)))
		return;
	if (DFF_FAULT(RELAY_DUE_UNCHECKED))
		return;
	dff_log(step->ctx, DFF_LOG_INFO, "place",
	    "send does not leave id=%s upstream=%s accepts=%d "
	    "time_left_ms=%" G_GINT64_FORMAT,
	    call->id, call->send.id,
	    up != NULL && upstream_accepts(up, step->now),
	    (call->give_up - step->now) / DFF_MSEC);
	relay_send_cancel(step, call);
	call->sends--;
	if (call->send.step != DFF_STEP_PREFILL) {
		call->arrivals--;
		call->runs--;
	}
	send_avoid(call, call->send.upstream);
	relay_send_place(step, call);
}
