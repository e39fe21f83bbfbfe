#include <string.h>

#include "base/fault.h"
#include "relay/parts.h"

/* Sends of one request, rejected and failed ones counted. */
#define SENDS_MAX 6
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
/* Largest answer that is held back until it is whole. */
#define HELD_MAX (1u << 20)
/* Share of a caller's patience within which a first byte must be expected. */
#define PATIENCE_SHARE 0.8
/* Callers leave a stream after a gap of this length, or these multiples of
 * its aim and pause. */
#define GAP_LEAVE      (2 * DFF_SEC)
#define GAP_LEAVE_AIMS 4
#define GAP_LEAVE_GAPS 8
/* Share of its aim that a generation may wait for others' prompts: beyond,
 * it would be late for certain and make those behind it late. */
#define QUEUE_SHARE 0.6
/* In a large fleet the load of other failure domains is known late: their
 * upstreams must look better by this much. */
#define FAR_TIME (80 * DFF_MSEC)
/* Times that a decode is tried with one handle. */
#define HANDLE_TRIES 2

/* ---- what is counted at an upstream while a send is under way ---- */

static void
count_send(step_t *step, call_t *call, upstream_t *up, uint32_t uncached)
{
	send_t *send = &call->send;

	up->running++;
	send->ahead = (uint32_t)MIN(
	    up->backlog + up->peer_backlog, (uint64_t)UINT32_MAX / 2);
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
		beat_note_part(step->relay, up,
		    chain_hash(&call->prompt, i + 1),
		    call->prompt.parts[i].tokens, step->now);
	beat_note_send(step);
	upstream_keep(up, &call->prompt,
	    call->spec != NULL ? call->spec->kv_tokens : 0, step->now);
}

static void
uncount_backlog(step_t *step, send_t *send)
{
	upstream_t *up = upstreams_get(step->relay->upstreams, send->upstream);

	if (up != NULL)
		up->backlog -= MIN(up->backlog, send->backlog);
	send->backlog = 0;
}

/* The send is over; its number is not known any more. */
static void
uncount_send(step_t *step, call_t *call)
{
	send_t *send = &call->send;
	upstream_t *up = upstreams_get(step->relay->upstreams, send->upstream);

	uncount_backlog(step, send);
	if (up != NULL) {
		up->running -= MIN(up->running, 1);
		up->memory -= MIN(up->memory, send->memory);
	}
	(void)g_hash_table_remove(step->relay->by_send, &send->number);
	dff_timers_cancel(step->relay->timers, DFF_TIMER_TRY, call->self);
	send->number = 0;
}

void
relay_send_cancel(step_t *step, call_t *call)
{
	dff_relay_effect_t *fx;

	if (call->send.number == 0)
		return;
	fx = relay_add_fx(step, DFF_RELAY_FX_CANCEL);
	fx->cancel = call->send.number;
	uncount_send(step, call);
}

/* ---- sending ---- */

static void
avoid(call_t *call, dff_handle_t upstream)
{
	if (call->avoid_count < AVOID_MAX)
		call->avoid[call->avoid_count++] = upstream;
}

/* Whether a second run is allowed after one that may have run. */
static bool
may_repeat(const call_t *call)
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
	else if (call->route->kind == DFF_ROUTE_REPEATABLE && may_repeat(call))
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
	send->number = ++relay->next_send;
	send->step = place->step;
	send->upstream = place->upstream;
	g_strlcpy(send->id, up->news.id, sizeof(send->id));
	g_strlcpy(send->addr, up->news.addr, sizeof(send->addr));
	send->at = step->now;
	send->predicted = place->wait;
	count_send(step, call, up, place->uncached);
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
	    up->peer_running, up->errors);
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
	ask->hop = step->relay->config.hop;
	ask->far = beat_is_large(step->relay) ? FAR_TIME : 0;
	memcpy(ask->avoid, call->avoid, sizeof(ask->avoid));
	ask->avoid_count = call->avoid_count;
	ask->whole_only = call->whole_only || call->after_event >= 0;
	ask->prefilled_at = call->handle[0] != '\0' ? call->prefilled_at : 0;
}

/* How long until the predicted wait has shrunk to what is of use. */
static dff_time_t
time_to_return(step_t *step, dff_time_t over)
{
	return over + (dff_time_t)(dff_rand_unit(step->ctx) * (double)over / 2);
}

void
relay_send_place(step_t *step, call_t *call)
{
	dff_relay_t *relay = step->relay;
	dff_time_t waited = step->now - call->arrived;
	dff_time_t limit = first_byte_limit(call);
	place_ask_t ask;
	place_t place;

	if (call->give_up - step->now < TIME_LEFT_MIN) {
		relay_call_give_up(
		    step, call, DFF_TROUBLE_TIME, 0, "no_time_left");
		return;
	}
	if (call->sends >= SENDS_MAX) {
		relay_call_give_up(
		    step, call, DFF_TROUBLE_BUSY, DFF_SEC, "sends");
		return;
	}
	fill_ask(step, call, &ask);
	place_request(relay->upstreams, &relay->pace, &ask, step->now, &place);
	if (place.upstream == 0) {
		relay_call_give_up(
		    step, call, DFF_TROUBLE_BUSY, DFF_SEC, "no_upstream");
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

/* ---- what becomes of a send ---- */

static call_t *
call_of_send(dff_relay_t *relay, uint64_t number)
{
	return g_hash_table_lookup(relay->by_send, &number);
}

static void
pass(step_t *step, const call_t *call, dff_relay_effect_type_t type,
    const char *bytes, size_t len)
{
	dff_relay_effect_t *fx = relay_add_fx(step, type);

	fx->pass.call = call->number;
	fx->pass.send = call->send.number;
	fx->pass.bytes = bytes;
	fx->pass.len = len;
}

static void
note_first_byte(step_t *step, call_t *call)
{
	if (call->first_at != 0)
		return;
	call->first_at = step->now;
	dff_hist_add(step->relay->first_byte, step->now - call->arrived);
}

static void
begin_answer(step_t *step, call_t *call)
{
	if (call->fate != DFF_FATE_BEGUN)
		pass(step, call, DFF_RELAY_FX_PASS_HEAD, NULL, 0);
	call->fate = DFF_FATE_BEGUN;
	note_first_byte(step, call);
}

static void
learn_pace(step_t *step, const call_t *call, upstream_t *up)
{
	const send_t *send = &call->send;
	dff_time_t took = step->now - send->at;

	if (strcmp(up->news.domain, step->relay->config.domain) != 0)
		took -= 2 * step->relay->config.hop;
	if (call->prompt.count > 0 && send->step != DFF_STEP_DECODE)
		pace_learn(
		    &step->relay->pace, up, send->ahead + send->uncached, took);
}

static bool
is_good(const send_t *send)
{
	return send->status >= 200 && send->status < 300 && send->stamped;
}

void
relay_send_head(step_t *step, const dff_relay_head_t *head)
{
	call_t *call = call_of_send(step->relay, head->send);
	upstream_t *up;
	send_t *send;

	if (call == NULL)
		return;
	send = &call->send;
	send->head_seen = true;
	send->status = head->status;
	send->not_run = head->not_run;
	send->stamped = head->stamped;
	up = upstreams_get(step->relay->upstreams, send->upstream);
	if (up != NULL && !head->not_run && head->status == 200)
		learn_pace(step, call, up);
	uncount_backlog(step, send);
	if (send->step == DFF_STEP_PREFILL)
		return;
	dff_timers_cancel(step->relay->timers, DFF_TIMER_TRY, call->self);
	if (is_good(send) && send->step == DFF_STEP_DECODE)
		call->handle[0] = '\0';
	if (is_good(send) &&
	    (call->route->kind == DFF_ROUTE_STREAM ||
		DFF_FAULT(RELAY_HALF_ANSWERS)))
		begin_answer(step, call);
}

/* Pass on what is whole of a stream that may be resumed. */
static void
pass_events(step_t *step, call_t *call)
{
	GByteArray *passing = step->relay->passing;
	size_t whole = events_whole(call->held, &call->after_event);

	if (whole == 0)
		return;
	g_byte_array_set_size(passing, 0);
	g_byte_array_append(passing, call->held->data, (guint)whole);
	g_byte_array_remove_range(call->held, 0, (guint)whole);
	pass(step, call, DFF_RELAY_FX_PASS_DATA, (const char *)passing->data,
	    whole);
}

void
relay_send_data(step_t *step, const dff_relay_data_t *data)
{
	call_t *call = call_of_send(step->relay, data->send);

	if (call == NULL || call->send.step == DFF_STEP_PREFILL)
		return;
	if (call->fate == DFF_FATE_BEGUN && !is_good(&call->send))
		return;
	if (call->fate == DFF_FATE_BEGUN && !call->route->resumable) {
		pass(
		    step, call, DFF_RELAY_FX_PASS_DATA, data->bytes, data->len);
		return;
	}
	if (call->held->len + data->len > HELD_MAX) {
		call->fate = MAX(call->fate, DFF_FATE_OPEN);
		relay_call_give_up(
		    step, call, DFF_TROUBLE_LOST, 0, "too_large");
		return;
	}
	g_byte_array_append(
	    call->held, (const guint8 *)data->bytes, (guint)data->len);
	if (call->fate == DFF_FATE_BEGUN)
		pass_events(step, call);
}

/* Send it again, or tell its caller what is known of it. */
static void
try_again(step_t *step, call_t *call, dff_trouble_t trouble, const char *why)
{
	g_byte_array_set_size(call->held, 0);
	if (call->fate >= DFF_FATE_OPEN && !may_repeat(call)) {
		relay_call_give_up(step, call, trouble, 0, why);
		return;
	}
	if (call->fate == DFF_FATE_BEGUN)
		step->relay->counts[COUNT_RESUMES]++;
	relay_send_place(step, call);
}

/* The upstream promised that it did not run the request. */
static void
take_rejection(step_t *step, call_t *call)
{
	send_t *send = &call->send;

	step->relay->counts[COUNT_REJECTED]++;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "upstream rejected request id=%s upstream=%s step=%d status=%d",
	    call->id, send->id, (int)send->step, send->status);
	if (send->step == DFF_STEP_PREFILL)
		call->arrivals++;
	else
		call->runs--;
	if (send->step == DFF_STEP_DECODE &&
	    ++call->handle_tries >= HANDLE_TRIES)
		call->handle[0] = '\0';
	avoid(call, send->upstream);
	if (call->fate < DFF_FATE_REFUSED)
		call->fate = DFF_FATE_REFUSED;
	try_again(step, call, DFF_TROUBLE_BUSY, "rejected");
}

static void
take_break(step_t *step, call_t *call, upstream_t *up)
{
	send_t *send = &call->send;

	step->relay->counts[COUNT_BROKEN]++;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "send broke off id=%s upstream=%s step=%d head=%d after_ms=%" G_GINT64_FORMAT,
	    call->id, send->id, (int)send->step, send->head_seen,
	    (step->now - send->at) / DFF_MSEC);
	if (up != NULL)
		upstream_note_result(up, false);
	avoid(call, send->upstream);
	if (send->step == DFF_STEP_PREFILL) {
		call->arrivals++;
		try_again(step, call, DFF_TROUBLE_BUSY, "prefill_broken");
		return;
	}
	suspect_note(step, call);
	if (call->fate != DFF_FATE_BEGUN)
		call->fate = DFF_FATE_OPEN;
	call->handle[0] = '\0';
	if (suspect_is_poison(step->relay, call->content, step->now)) {
		relay_call_give_up(
		    step, call, DFF_TROUBLE_LOST, 0, "breaks_upstreams");
		return;
	}
	try_again(step, call, DFF_TROUBLE_LOST, "broken");
}

static void
take_unsent(step_t *step, call_t *call, upstream_t *up)
{
	send_t *send = &call->send;

	step->relay->counts[COUNT_UNREACHABLE]++;
	dff_log(step->ctx, DFF_LOG_NOTICE, "call",
	    "upstream cannot be reached id=%s upstream=%s addr=%s", call->id,
	    send->id, send->addr);
	if (up != NULL)
		upstream_note_unreachable(up, step->now);
	suspect_confirm(step, send->upstream);
	avoid(call, send->upstream);
	if (send->step != DFF_STEP_PREFILL) {
		call->arrivals--;
		call->runs--;
	}
	try_again(step, call, DFF_TROUBLE_BUSY, "unreachable");
}

static void
take_prefill(step_t *step, call_t *call, const dff_relay_end_t *end)
{
	send_t *send = &call->send;

	if (call->prefill_taken)
		call->arrivals++;
	call->prefill_taken = true;
	dff_hist_add(step->relay->prefill, step->now - send->at);
	call->prefilled_at = send->upstream;
	g_strlcpy(call->source, send->addr, sizeof(call->source));
	g_strlcpy(call->handle, end->handle, sizeof(call->handle));
	call->handle_tries = 0;
	call->avoid_count = 0;
	if (call->fate < DFF_FATE_PREFILLED)
		call->fate = DFF_FATE_PREFILLED;
	relay_send_place(step, call);
}

/* A status that promises "not run" may only be the upstream's own promise. */
static bool
is_promise(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
pass_whole(step_t *step, call_t *call)
{
	dff_relay_t *relay = step->relay;

	begin_answer(step, call);
	if (call->held->len > 0) {
		g_byte_array_set_size(relay->passing, 0);
		g_byte_array_append(
		    relay->passing, call->held->data, call->held->len);
		pass(step, call, DFF_RELAY_FX_PASS_DATA,
		    (const char *)relay->passing->data, relay->passing->len);
	}
	pass(step, call, DFF_RELAY_FX_PASS_END, NULL, 0);
	relay->counts[COUNT_DONE]++;
	dff_hist_add(relay->whole, step->now - call->arrived);
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "request answered id=%s route=%s upstream=%s status=%d "
	    "first_ms=%" G_GINT64_FORMAT " whole_ms=%" G_GINT64_FORMAT,
	    call->id, call->route->name, call->send.id, call->send.status,
	    (call->first_at - call->arrived) / DFF_MSEC,
	    (step->now - call->arrived) / DFF_MSEC);
}

/* A whole answer that the upstream has run the request for. */
static void
take_answer(step_t *step, call_t *call, upstream_t *up)
{
	const send_t *send = &call->send;
	bool good = send->stamped && send->status < 500;
	bool resumed_badly = call->fate == DFF_FATE_BEGUN && !is_good(send);

	if (up != NULL)
		upstream_note_result(up, good);
	if (call->fate != DFF_FATE_BEGUN)
		call->fate = DFF_FATE_OPEN;
	if (!good && may_repeat(call) &&
	    budget_left(step->relay->budget, call->pool, step->now) >= 1) {
		avoid(call, send->upstream);
		uncount_send(step, call);
		try_again(step, call, DFF_TROUBLE_LOST, "failed");
		return;
	}
	if (!send->stamped || is_promise(send->status) || resumed_badly) {
		uncount_send(step, call);
		relay_call_give_up(
		    step, call, DFF_TROUBLE_LOST, 0, "no_signature");
		return;
	}
	pass_whole(step, call);
	uncount_send(step, call);
	relay_call_close(step, call);
}

void
relay_send_end(step_t *step, const dff_relay_end_t *end)
{
	call_t *call = call_of_send(step->relay, end->send);
	upstream_t *up;
	send_t *send;

	if (call == NULL)
		return;
	send = &call->send;
	up = upstreams_get(step->relay->upstreams, send->upstream);
	if (end->how == DFF_SEND_DONE && !send->not_run &&
	    send->step != DFF_STEP_PREFILL) {
		take_answer(step, call, up);
		return;
	}
	uncount_send(step, call);
	if (end->how == DFF_SEND_UNSENT)
		take_unsent(step, call, up);
	else if (send->not_run)
		take_rejection(step, call);
	else if (end->how == DFF_SEND_DONE && send->status == 200 &&
	    end->handle[0] != '\0')
		take_prefill(step, call, end);
	else
		take_break(step, call, up);
}

void
relay_call_late(step_t *step, dff_handle_t handle)
{
	call_t *call = dff_table_get(step->relay->calls, handle);
	upstream_t *up;

	if (call == NULL || call->send.number == 0)
		return;
	if (budget_left(step->relay->budget, call->pool, step->now) < 1)
		return;
	up = upstreams_get(step->relay->upstreams, call->send.upstream);
	relay_send_cancel(step, call);
	take_break(step, call, up);
}
