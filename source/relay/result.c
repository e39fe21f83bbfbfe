/*
 * Results of a send: an answer, a statement that the request did not run, or a
 * broken connection.
 */
#include <string.h>

#include "base/fault.h"
#include "relay/answer_end.h"
#include "relay/forward.h"
#include "relay/identity.h"
#include "relay/kv_room.h"
#include "relay/origin.h"
#include "relay/pace.h"
#include "relay/permit.h"
#include "relay/reach.h"
#include "relay/result.h"
#include "relay/send.h"
#include "relay/suspect.h"
#include "relay/usage.h"

/* Largest answer that is buffered until it is complete. */
#define BUFFERED_MAX (1u << 20)
/* Largest event of a stream. */
#define EVENT_MAX (64u << 10)
/* Decode attempts with one handle. */
#define HANDLE_TRIES 2

static call_t *
call_of_send(dff_relay_t *relay, uint64_t number)
{
	return g_hash_table_lookup(relay->by_send, &number);
}

static dff_relay_effect_t *
add_forward(step_t *step, const call_t *call, dff_relay_effect_type_t type)
{
	dff_relay_effect_t *fx = relay_add_fx(step, type);

	fx->forward.call = call->number;
	fx->forward.send = call->send.number;
	return fx;
}

void
result_forward(step_t *step, const call_t *call, dff_relay_effect_type_t type,
    const char *bytes, size_t len)
{
	dff_relay_effect_t *fx = add_forward(step, call, type);

	fx->forward.bytes = bytes;
	fx->forward.len = len;
}

static void
note_first_byte(step_t *step, call_t *call)
{
	if (call->first_byte_at != 0)
		return;
	call->first_byte_at = step->now;
	dff_hist_add(
	    step->relay->first_byte_time, step->now - call->arrived_at);
}

/* Whether the rest of the answer may come from another send. */
static bool
may_go_on_elsewhere(const call_t *call)
{
	return dff_route_is_resumable(call->route) &&
	    result_is_good(&call->send) && !DFF_FAULT(RELAY_FIRST_LENGTH);
}

void
result_begin_answer(step_t *step, call_t *call)
{
	dff_relay_effect_t *fx;

	if (call->progress != DFF_PROGRESS_ANSWERING) {
		fx = add_forward(step, call, DFF_RELAY_FX_FORWARD_HEAD);
		fx->forward.open_length = may_go_on_elsewhere(call);
	}
	call->progress = DFF_PROGRESS_ANSWERING;
	note_first_byte(step, call);
}

/* Add the time that the upstream took for the head of its answer. */
static void
add_answer_time(step_t *step, const call_t *call, upstream_t *up)
{
	const send_t *send = &call->send;
	pool_stats_t *stats = &step->relay->pool_stats;
	dff_time_t took = step->now - send->sent_at;

	if (strcmp(up->record.domain, step->relay->config.domain) != 0)
		took -= 2 * step->relay->config.cross_domain_latency;
	if (call->prompt.count == 0)
		pool_stats_add_plain(
		    stats, up, send->in_flight, took, step->now);
	else if (send->stage != DFF_STAGE_DECODE)
		pool_stats_add_prefill(stats, up, send->backlog_ahead,
		    send->uncached, took, step->now);
}

bool
result_is_good(const send_t *send)
{
	return send->status >= 200 && send->status < 300 && send->stamped &&
	    (!send->other_type || DFF_FAULT(RELAY_ANY_CONTINUATION));
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
	if (call->progress == DFF_PROGRESS_ANSWERING)
		send->other_type = head->events != call->has_events;
	else
		call->has_events = head->events;
	up = upstreams_get(step->relay->upstreams, send->upstream);
	if (send->to_peer)
		forward_note_head(send, head);
	if (up != NULL) {
		reach_note_bytes(step);
		upstream_note_reached(up, step->now);
		upstream_note_byte(up, step->now);
		suspect_note_byte(step, send->upstream);
		notice_receive(step, send->upstream, send->upstream_started_ms,
		    send->sent_at, &head->notice);
	}
	if (up != NULL && up->record.started_ms == send->upstream_started_ms)
		pace_note_head(step, up, head);
	if (up != NULL && !head->not_run && head->status == 200) {
		upstream_note_answer(up, step->now);
		add_answer_time(step, call, up);
		upstream_note_prompt_read(up, &call->prompt, step->now);
	}
	send_release_backlog(step, send);
	if (send->stage == DFF_STAGE_PREFILL)
		return;
	/* Of a prompt, the first token counts. */
	if (!head->not_run && call->prompt.count == 0)
		usage_note_begin(step, call);
	dff_timers_cancel(
	    step->relay->timers, DFF_TIMER_ATTEMPT, call->table_handle);
	if (result_is_good(send) && send->stage == DFF_STAGE_DECODE) {
		call->kv_handle[0] = '\0';
		kv_release_handle(step, call);
	}
	if (result_is_good(send) &&
	    (call->route->kind == DFF_ROUTE_STREAM ||
		DFF_FAULT(RELAY_HALF_ANSWERS)))
		result_begin_answer(step, call);
	if (result_is_good(send) && up != NULL)
		identity_ask(step, call, up);
}

/* Forward the first @len buffered bytes, the complete events of a resumable
 * stream. */
static void
forward_events(step_t *step, call_t *call, size_t len)
{
	GByteArray *passing = step->relay->forward_buffer;

	g_byte_array_set_size(passing, 0);
	g_byte_array_append(passing, call->buffered->data, (guint)len);
	g_byte_array_remove_range(call->buffered, 0, (guint)len);
	if (call->events.last_id >= 0)
		call->after_event = call->events.last_id;
	result_forward(step, call, DFF_RELAY_FX_FORWARD_DATA,
	    (const char *)passing->data, len);
}

/* Note whether a stream pauses longer than its route's target_gap. */
static void
note_gap(const step_t *step, call_t *call)
{
	if (call->last_bytes_at != 0 &&
	    step->now - call->last_bytes_at > call->route->target_gap)
		call->had_long_gap = true;
	call->last_bytes_at = step->now;
}

void
result_retry(step_t *step, call_t *call, dff_failure_t failure, const char *why)
{
	g_byte_array_set_size(call->buffered, 0);
	if (origin_wait_withdrawal(step, call))
		return;
	if (call->progress >= DFF_PROGRESS_MAY_HAVE_RUN &&
	    !send_may_repeat(call)) {
		relay_call_give_up(step, call, failure, 0, why);
		return;
	}
	if (call->progress == DFF_PROGRESS_ANSWERING)
		step->relay->counts[COUNT_RESUMES]++;
	relay_send_place(step, call);
}

/* Handle an upstream's statement that it did not run the request. */
static void
handle_rejection(step_t *step, call_t *call)
{
	send_t *send = &call->send;

	step->relay->counts[COUNT_REJECTED]++;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "upstream rejected request id=%s upstream=%s step=%d status=%d",
	    call->id, send->id, (int)send->stage, send->status);
	if (send->stage == DFF_STAGE_PREFILL)
		call->counted_sends++;
	else
		call->runs--;
	if (send->stage == DFF_STAGE_DECODE &&
	    ++call->kv_handle_tries >= HANDLE_TRIES)
		call->kv_handle[0] = '\0';
	send_avoid(call, send->upstream);
	if (call->progress < DFF_PROGRESS_REJECTED)
		call->progress = DFF_PROGRESS_REJECTED;
	result_retry(step, call, DFF_FAILURE_BUSY, "rejected");
}

/* Retry now, or wait for the upstream's probe if one more crash would get the
 * request refused. */
static void
retry_after_break(step_t *step, call_t *call, dff_handle_t upstream)
{
	if (suspect_depends_on_probe(step, call, upstream) &&
	    (call->progress < DFF_PROGRESS_MAY_HAVE_RUN ||
		send_may_repeat(call))) {
		call->awaited_probe = upstream;
		return;
	}
	call->awaited_probe = 0;
	if (call->progress < DFF_PROGRESS_MAY_HAVE_RUN)
		result_retry(step, call, DFF_FAILURE_BUSY, "prefill_broken");
	else
		result_retry(step, call, DFF_FAILURE_UPSTREAM, "broken");
}

void
relay_send_probed(step_t *step, dff_handle_t upstream)
{
	call_t *call;

	for (dff_handle_t h = 0; (h = dff_table_next(step->relay->calls, h,
				      (void **)&call)) != 0;) {
		if (call->awaited_probe == upstream)
			retry_after_break(step, call, upstream);
	}
}

static const char *
break_name(send_break_t why)
{
	switch (why) {
	case SEND_BREAK_CONNECTION:
		return "connection";
	case SEND_BREAK_INSIDE_EVENT:
		return "inside_event";
	case SEND_BREAK_NO_EVENT:
		return "no_event";
	case SEND_BREAK_UPSTREAM_DOWN:
		return "upstream_down";
	case SEND_BREAK_EVENT_SIZE:
		return "event_size";
	case SEND_BREAK_LATE:
		return "late";
	case SEND_BREAK_SOFTWARE:
		return "other_software";
	}
	g_assert_not_reached();
}

void
result_break(step_t *step, call_t *call, upstream_t *up, send_break_t why)
{
	/* Otherwise this node ended it. */
	bool closed = why != SEND_BREAK_EVENT_SIZE && why != SEND_BREAK_LATE &&
	    why != SEND_BREAK_SOFTWARE;
	send_t *send = &call->send;

	if (send->to_peer) {
		forward_end(step, call, DFF_SEND_BROKEN);
		return;
	}
	step->relay->counts[COUNT_BROKEN]++;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "send broke off id=%s upstream=%s step=%d head=%d "
	    "after_ms=%" G_GINT64_FORMAT " content=%016" G_GINT64_MODIFIER
	    "x end=%s",
	    call->id, send->id, (int)send->stage, send->head_seen,
	    (step->now - send->sent_at) / DFF_MSEC, call->content_hash,
	    break_name(why));
	if (up != NULL)
		upstream_note_result(up, false);
	origin_note_break(step, call);
	send_avoid(call, send->upstream);
	if (closed)
		suspect_start_probe(step, send->upstream);
	/* A late prefill is no sign that its engine crashed, nor is another
	 * software version. */
	if (closed ||
	    (send->stage != DFF_STAGE_PREFILL && why != SEND_BREAK_SOFTWARE))
		suspect_add_broken_run(step, call);
	if (send->stage == DFF_STAGE_PREFILL)
		call->counted_sends++;
	else {
		call->kv_handle[0] = '\0';
		call->progress = MAX(call->progress, DFF_PROGRESS_MAY_HAVE_RUN);
	}
	if (why == SEND_BREAK_SOFTWARE)
		result_retry(step, call, DFF_FAILURE_UPSTREAM, break_name(why));
	else
		retry_after_break(step, call, send->upstream);
}

/* Breaks the send off if the events that have arrived from it may not be
 * forwarded. */
static bool
accept_events(step_t *step, call_t *call)
{
	upstream_t *up =
	    upstreams_get(step->relay->upstreams, call->send.upstream);

	if (call->events.events == 0 || origin_note_event(step, call))
		return true;
	relay_send_cancel(step, call);
	result_break(step, call, up, SEND_BREAK_SOFTWARE);
	return false;
}

bool
result_forward_events(step_t *step, call_t *call, size_t len)
{
	if (!accept_events(step, call))
		return false;
	forward_events(step, call, len);
	return true;
}

static bool
event_is_too_large(const call_t *call)
{
	return call->events.partial > EVENT_MAX &&
	    !DFF_FAULT(RELAY_FLOOD_PASSES);
}

/* Handle more bytes of a stream whose head was forwarded. */
static void
receive_stream(
    step_t *step, call_t *call, upstream_t *up, const dff_relay_data_t *data)
{
	size_t before = call->buffered->len;
	size_t complete = events_scan(&call->events, data->bytes, data->len);

	if (event_is_too_large(call)) {
		relay_send_cancel(step, call);
		result_break(step, call, up, SEND_BREAK_EVENT_SIZE);
		return;
	}
	if (!result_is_good(&call->send))
		return;
	if (!call->route->resumable) {
		result_forward(step, call, DFF_RELAY_FX_FORWARD_DATA,
		    data->bytes, data->len);
		return;
	}
	g_byte_array_append(
	    call->buffered, (const guint8 *)data->bytes, (guint)data->len);
	if (complete == 0)
		return;
	if (!accept_events(step, call))
		return;
	if (call->send.unidentified)
		call->send.identified_len = before + complete;
	else
		forward_events(step, call, before + complete);
}

void
relay_send_data(step_t *step, const dff_relay_data_t *data)
{
	call_t *call = call_of_send(step->relay, data->send);
	upstream_t *up;

	if (call == NULL)
		return;
	up = upstreams_get(step->relay->upstreams, call->send.upstream);
	if (up != NULL) {
		reach_note_bytes(step);
		upstream_note_byte(up, step->now);
		suspect_note_byte(step, call->send.upstream);
	}
	if (call->send.stage == DFF_STAGE_PREFILL)
		return;
	if (call->send.status == 200 && !call->send.not_run)
		usage_note_begin(step, call);
	note_gap(step, call);
	if (call->progress == DFF_PROGRESS_ANSWERING) {
		receive_stream(step, call, up, data);
		return;
	}
	if (call->buffered->len + data->len > BUFFERED_MAX || data->no_room) {
		call->progress = MAX(call->progress, DFF_PROGRESS_MAY_HAVE_RUN);
		relay_call_give_up(step, call, DFF_FAILURE_UPSTREAM, 0,
		    data->no_room ? "no_room" : "too_large");
		return;
	}
	g_byte_array_append(
	    call->buffered, (const guint8 *)data->bytes, (guint)data->len);
}

static void
handle_unsent(step_t *step, call_t *call, upstream_t *up)
{
	send_t *send = &call->send;

	step->relay->counts[COUNT_UNREACHABLE]++;
	call->unreachable_sends++;
	dff_log(step->ctx, DFF_LOG_NOTICE, "call",
	    "upstream cannot be reached id=%s upstream=%s addr=%s", call->id,
	    send->id, send->addr);
	if (up != NULL)
		upstream_note_unreachable(up, step->now);
	reach_note_failure(step);
	if (suspect_has_broken_run(step, send->upstream))
		suspect_start_probe(step, send->upstream);
	send_avoid(call, send->upstream);
	if (send->stage != DFF_STAGE_PREFILL) {
		call->counted_sends--;
		call->runs--;
	}
	result_retry(step, call, DFF_FAILURE_BUSY, "unreachable");
}

static void
handle_prefill(step_t *step, call_t *call, const dff_relay_end_t *end)
{
	send_t *send = &call->send;

	if (call->prefill_accepted)
		call->counted_sends++;
	call->prefill_accepted = true;
	dff_hist_add(step->relay->prefill_time, step->now - send->sent_at);
	kv_release_handle(step, call);
	call->prefill_engine = send->upstream;
	kv_hold_handle(step, call);
	g_strlcpy(call->kv_addr, send->addr, sizeof(call->kv_addr));
	g_strlcpy(call->kv_handle, end->handle, sizeof(call->kv_handle));
	call->kv_handle_tries = 0;
	call->kv_handle_at = step->now;
	call->avoid_count = 0;
	if (call->progress < DFF_PROGRESS_PREFILLED)
		call->progress = DFF_PROGRESS_PREFILLED;
	relay_send_place(step, call);
}

void
relay_send_end(step_t *step, const dff_relay_end_t *end)
{
	call_t *call = call_of_send(step->relay, end->send);
	upstream_t *up;
	send_t *send;

	if (call == NULL)
		return;
	if (identity_hold_end(call, end->result))
		return;
	send = &call->send;
	up = upstreams_get(step->relay->upstreams, send->upstream);
	if (end->result == DFF_SEND_DONE)
		send_note_answered(call);
	if ((end->result == DFF_SEND_DONE || end->result == DFF_SEND_CLOSED) &&
	    !send->not_run && send->stage != DFF_STAGE_PREFILL &&
	    (send->stamped || !send->to_peer)) {
		answer_end_receive(step, call, end->result);
		return;
	}
	send_release(step, call);
	if (send->to_peer)
		forward_end(step, call, end->result);
	else if (end->result == DFF_SEND_UNSENT)
		handle_unsent(step, call, up);
	else if (send->not_run)
		handle_rejection(step, call);
	else if (send->status == 200 && end->handle[0] != '\0')
		handle_prefill(step, call, end);
	else
		result_break(step, call, up, SEND_BREAK_CONNECTION);
}

void
relay_call_retry_late(step_t *step, dff_handle_t handle)
{
	call_t *call = dff_table_get(step->relay->calls, handle);
	upstream_t *up;

	if (call != NULL && call->awaited_permit != 0) {
		permit_time_out(step, call);
		return;
	}
	if (call != NULL &&
	    (call->awaited_batch != 0 || call->awaits_withdrawal)) {
		origin_time_out(step, call);
		return;
	}
	if (call == NULL || call->send.number == 0)
		return;
	if (budget_left(step->relay->budget, call->pool, step->now) < 1)
		return;
	/* Without an alternative, its answer may still come. */
	if (!send_has_alternative(step, call) && !DFF_FAULT(RELAY_LATE_IS_CUT))
		return;
	up = upstreams_get(step->relay->upstreams, call->send.upstream);
	relay_send_cancel(step, call);
	result_break(step, call, up, SEND_BREAK_LATE);
}
