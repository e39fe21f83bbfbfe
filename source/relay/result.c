/*
 * What becomes of a send: its answer, a promise that it did not run, a break.
 */
#include <string.h>

#include "base/fault.h"
#include "relay/send.h"
#include "relay/suspect.h"

/* Largest answer that is held back until it is whole. */
#define HELD_MAX (1u << 20)
/* Largest event of a stream. */
#define EVENT_MAX (64u << 10)
/* Times that a decode is tried with one handle. */
#define HANDLE_TRIES 2

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
	if (up != NULL) {
		upstream_note_reached(up);
		upstream_note_byte(up, step->now);
		word_take(step, send->upstream, send->born, &head->word);
	}
	if (up != NULL && !head->not_run && head->status == 200) {
		learn_pace(step, call, up);
		upstream_note_read(up, &call->prompt, step->now);
	}
	send_uncount_backlog(step, send);
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

/* Whether a stream's callers wait too long between its events. */
static void
note_pause(const step_t *step, call_t *call)
{
	if (call->last_at != 0 && step->now - call->last_at > call->route->gap)
		call->paused = true;
	call->last_at = step->now;
}

/* Send it again, or tell its caller what is known of it. */
static void
try_again(step_t *step, call_t *call, dff_trouble_t trouble, const char *why)
{
	g_byte_array_set_size(call->held, 0);
	if (call->fate >= DFF_FATE_OPEN && !send_may_repeat(call)) {
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
	send_avoid(call, send->upstream);
	if (call->fate < DFF_FATE_REFUSED)
		call->fate = DFF_FATE_REFUSED;
	try_again(step, call, DFF_TROUBLE_BUSY, "rejected");
}

/* A further try waits where it may be the one too many. */
static void
go_on_after_break(step_t *step, call_t *call, dff_handle_t upstream)
{
	if (suspect_hangs_on_probe(step, call->content, upstream) &&
	    (call->fate < DFF_FATE_OPEN || send_may_repeat(call))) {
		call->awaits = upstream;
		return;
	}
	call->awaits = 0;
	if (call->fate < DFF_FATE_OPEN)
		try_again(step, call, DFF_TROUBLE_BUSY, "prefill_broken");
	else
		try_again(step, call, DFF_TROUBLE_LOST, "broken");
}

void
relay_send_probed(step_t *step, dff_handle_t upstream)
{
	call_t *call;

	for (dff_handle_t h = 0; (h = dff_table_next(step->relay->calls, h,
				      (void **)&call)) != 0;) {
		if (call->awaits == upstream)
			go_on_after_break(step, call, upstream);
	}
}

/* @closed: its connection broke; else this node gave up waiting */
static void
take_break(step_t *step, call_t *call, upstream_t *up, bool closed)
{
	send_t *send = &call->send;

	step->relay->counts[COUNT_BROKEN]++;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "send broke off id=%s upstream=%s step=%d head=%d "
	    "after_ms=%" G_GINT64_FORMAT " content=%016" G_GINT64_MODIFIER "x",
	    call->id, send->id, (int)send->step, send->head_seen,
	    (step->now - send->at) / DFF_MSEC, call->content);
	if (up != NULL)
		upstream_note_result(up, false);
	send_avoid(call, send->upstream);
	if (closed)
		suspect_probe(step, send->upstream);
	/* A prompt that is read late says nothing of its engine. */
	if (closed || send->step != DFF_STEP_PREFILL)
		suspect_note(step, call);
	if (send->step == DFF_STEP_PREFILL)
		call->arrivals++;
	else {
		call->handle[0] = '\0';
		call->fate = MAX(call->fate, DFF_FATE_OPEN);
	}
	go_on_after_break(step, call, send->upstream);
}

/* More came of a stream: are these events? */
static bool
is_flood(call_t *call, const char *bytes, size_t len)
{
	events_note(&call->tail, bytes, len);
	return call->tail.bytes > EVENT_MAX && !DFF_FAULT(RELAY_FLOOD_PASSES);
}

void
relay_send_data(step_t *step, const dff_relay_data_t *data)
{
	call_t *call = call_of_send(step->relay, data->send);
	upstream_t *up;

	if (call == NULL)
		return;
	up = upstreams_get(step->relay->upstreams, call->send.upstream);
	if (up != NULL)
		upstream_note_byte(up, step->now);
	if (call->send.step == DFF_STEP_PREFILL)
		return;
	note_pause(step, call);
	if (call->fate == DFF_FATE_BEGUN &&
	    is_flood(call, data->bytes, data->len)) {
		relay_send_cancel(step, call);
		take_break(step, call, up, false);
		return;
	}
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

static void
take_unsent(step_t *step, call_t *call, upstream_t *up)
{
	send_t *send = &call->send;

	step->relay->counts[COUNT_UNREACHABLE]++;
	call->unreached++;
	dff_log(step->ctx, DFF_LOG_NOTICE, "call",
	    "upstream cannot be reached id=%s upstream=%s addr=%s", call->id,
	    send->id, send->addr);
	if (up != NULL)
		upstream_note_unreachable(up, step->now);
	if (suspect_waits(step, send->upstream))
		suspect_probe(step, send->upstream);
	send_avoid(call, send->upstream);
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
	call->handle_at = step->now;
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
	if (call->route->kind == DFF_ROUTE_STREAM && call->route->gap > 0)
		pace_note_stream(&relay->pace, call->paused);
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
	if (!good && send_may_repeat(call) &&
	    budget_left(step->relay->budget, call->pool, step->now) >= 1) {
		send_avoid(call, send->upstream);
		send_uncount(step, call);
		try_again(step, call, DFF_TROUBLE_LOST, "failed");
		return;
	}
	if (!send->stamped || is_promise(send->status) || resumed_badly) {
		send_uncount(step, call);
		relay_call_give_up(
		    step, call, DFF_TROUBLE_LOST, 0, "no_signature");
		return;
	}
	if (good)
		suspect_clear(step, call->content);
	pass_whole(step, call);
	send_uncount(step, call);
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
	send_uncount(step, call);
	if (end->how == DFF_SEND_UNSENT)
		take_unsent(step, call, up);
	else if (send->not_run)
		take_rejection(step, call);
	else if (end->how == DFF_SEND_DONE && send->status == 200 &&
	    end->handle[0] != '\0')
		take_prefill(step, call, end);
	else
		take_break(step, call, up, true);
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
	/* It may be answered yet. */
	if (!send_has_other(step, call) && !DFF_FAULT(RELAY_LATE_IS_CUT))
		return;
	up = upstreams_get(step->relay->upstreams, call->send.upstream);
	relay_send_cancel(step, call);
	take_break(step, call, up, false);
}
