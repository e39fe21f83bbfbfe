/*
 * Results of a send: an answer, a statement that the request did not run, or a
 * broken connection.
 */
#include <string.h>

#include "base/fault.h"
#include "relay/permit.h"
#include "relay/send.h"
#include "relay/suspect.h"

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

static void
forward(step_t *step, const call_t *call, dff_relay_effect_type_t type,
    const char *bytes, size_t len)
{
	dff_relay_effect_t *fx = relay_add_fx(step, type);

	fx->forward.call = call->number;
	fx->forward.send = call->send.number;
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

static void
begin_answer(step_t *step, call_t *call)
{
	if (call->progress != DFF_PROGRESS_ANSWERING)
		forward(step, call, DFF_RELAY_FX_FORWARD_HEAD, NULL, 0);
	call->progress = DFF_PROGRESS_ANSWERING;
	note_first_byte(step, call);
}

static void
add_prefill_time(step_t *step, const call_t *call, upstream_t *up)
{
	const send_t *send = &call->send;
	dff_time_t took = step->now - send->sent_at;

	if (strcmp(up->record.domain, step->relay->config.domain) != 0)
		took -= 2 * step->relay->config.cross_domain_latency;
	if (call->prompt.count > 0 && send->stage != DFF_STAGE_DECODE)
		pool_stats_add_prefill(&step->relay->pool_stats, up,
		    send->backlog_ahead + send->uncached, took);
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
		notice_receive(step, send->upstream, send->upstream_started_ms,
		    send->sent_at, &head->notice);
	}
	if (up != NULL && !head->not_run && head->status == 200) {
		add_prefill_time(step, call, up);
		upstream_note_prompt_read(up, &call->prompt, step->now);
	}
	send_release_backlog(step, send);
	if (send->stage == DFF_STAGE_PREFILL)
		return;
	dff_timers_cancel(
	    step->relay->timers, DFF_TIMER_ATTEMPT, call->table_handle);
	if (is_good(send) && send->stage == DFF_STAGE_DECODE)
		call->kv_handle[0] = '\0';
	if (is_good(send) &&
	    (call->route->kind == DFF_ROUTE_STREAM ||
		DFF_FAULT(RELAY_HALF_ANSWERS)))
		begin_answer(step, call);
}

/* Forward the complete events of a resumable stream. */
static void
forward_events(step_t *step, call_t *call)
{
	GByteArray *passing = step->relay->forward_buffer;
	size_t complete =
	    events_complete_len(call->buffered, &call->after_event);

	if (complete == 0)
		return;
	g_byte_array_set_size(passing, 0);
	g_byte_array_append(passing, call->buffered->data, (guint)complete);
	g_byte_array_remove_range(call->buffered, 0, (guint)complete);
	forward(step, call, DFF_RELAY_FX_FORWARD_DATA,
	    (const char *)passing->data, complete);
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

/* Send the call again, or give it up if it may not run again. */
static void
retry(step_t *step, call_t *call, dff_failure_t failure, const char *why)
{
	g_byte_array_set_size(call->buffered, 0);
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
	retry(step, call, DFF_FAILURE_BUSY, "rejected");
}

/* Retry now, or wait for the upstream's probe if one more crash would get the
 * request refused. */
static void
retry_after_break(step_t *step, call_t *call, dff_handle_t upstream)
{
	if (suspect_depends_on_probe(step, call->content_hash, upstream) &&
	    (call->progress < DFF_PROGRESS_MAY_HAVE_RUN ||
		send_may_repeat(call))) {
		call->awaited_probe = upstream;
		return;
	}
	call->awaited_probe = 0;
	if (call->progress < DFF_PROGRESS_MAY_HAVE_RUN)
		retry(step, call, DFF_FAILURE_BUSY, "prefill_broken");
	else
		retry(step, call, DFF_FAILURE_UPSTREAM, "broken");
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

/* @closed: the connection broke; else this node gave up waiting */
static void
handle_break(step_t *step, call_t *call, upstream_t *up, bool closed)
{
	send_t *send = &call->send;

	step->relay->counts[COUNT_BROKEN]++;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "send broke off id=%s upstream=%s step=%d head=%d "
	    "after_ms=%" G_GINT64_FORMAT " content=%016" G_GINT64_MODIFIER "x",
	    call->id, send->id, (int)send->stage, send->head_seen,
	    (step->now - send->sent_at) / DFF_MSEC, call->content_hash);
	if (up != NULL)
		upstream_note_result(up, false);
	send_avoid(call, send->upstream);
	if (closed)
		suspect_start_probe(step, send->upstream);
	/* A late prefill is no sign that its engine crashed. */
	if (closed || send->stage != DFF_STAGE_PREFILL)
		suspect_add_broken_run(step, call);
	if (send->stage == DFF_STAGE_PREFILL)
		call->counted_sends++;
	else {
		call->kv_handle[0] = '\0';
		call->progress = MAX(call->progress, DFF_PROGRESS_MAY_HAVE_RUN);
	}
	retry_after_break(step, call, send->upstream);
}

/* Track more bytes of a stream; true if its current event is too large. */
static bool
event_is_too_large(call_t *call, const char *bytes, size_t len)
{
	events_track(&call->partial_event, bytes, len);
	return call->partial_event.bytes > EVENT_MAX &&
	    !DFF_FAULT(RELAY_FLOOD_PASSES);
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
	if (call->send.stage == DFF_STAGE_PREFILL)
		return;
	note_gap(step, call);
	if (call->progress == DFF_PROGRESS_ANSWERING &&
	    event_is_too_large(call, data->bytes, data->len)) {
		relay_send_cancel(step, call);
		handle_break(step, call, up, false);
		return;
	}
	if (call->progress == DFF_PROGRESS_ANSWERING && !is_good(&call->send))
		return;
	if (call->progress == DFF_PROGRESS_ANSWERING &&
	    !call->route->resumable) {
		forward(step, call, DFF_RELAY_FX_FORWARD_DATA, data->bytes,
		    data->len);
		return;
	}
	if (call->buffered->len + data->len > BUFFERED_MAX) {
		call->progress = MAX(call->progress, DFF_PROGRESS_MAY_HAVE_RUN);
		relay_call_give_up(
		    step, call, DFF_FAILURE_UPSTREAM, 0, "too_large");
		return;
	}
	g_byte_array_append(
	    call->buffered, (const guint8 *)data->bytes, (guint)data->len);
	if (call->progress == DFF_PROGRESS_ANSWERING)
		forward_events(step, call);
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
	if (suspect_has_broken_run(step, send->upstream))
		suspect_start_probe(step, send->upstream);
	send_avoid(call, send->upstream);
	if (send->stage != DFF_STAGE_PREFILL) {
		call->counted_sends--;
		call->runs--;
	}
	retry(step, call, DFF_FAILURE_BUSY, "unreachable");
}

static void
handle_prefill(step_t *step, call_t *call, const dff_relay_end_t *end)
{
	send_t *send = &call->send;

	if (call->prefill_accepted)
		call->counted_sends++;
	call->prefill_accepted = true;
	dff_hist_add(step->relay->prefill_time, step->now - send->sent_at);
	call->prefill_engine = send->upstream;
	g_strlcpy(call->kv_addr, send->addr, sizeof(call->kv_addr));
	g_strlcpy(call->kv_handle, end->handle, sizeof(call->kv_handle));
	call->kv_handle_tries = 0;
	call->kv_handle_at = step->now;
	call->avoid_count = 0;
	if (call->progress < DFF_PROGRESS_PREFILLED)
		call->progress = DFF_PROGRESS_PREFILLED;
	relay_send_place(step, call);
}

/* Statuses that state "not run": forwarded only if the upstream said so. */
static bool
status_means_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static const char *
result_name(dff_send_result_t result)
{
	switch (result) {
	case DFF_SEND_DONE:
		return "framed";
	case DFF_SEND_CLOSED:
		return "closed";
	case DFF_SEND_UNSENT:
		return "unsent";
	case DFF_SEND_BROKEN:
		return "broken";
	}
	g_assert_not_reached();
}

static void
forward_answer(step_t *step, call_t *call, dff_send_result_t result)
{
	dff_relay_t *relay = step->relay;

	begin_answer(step, call);
	if (call->buffered->len > 0) {
		g_byte_array_set_size(relay->forward_buffer, 0);
		g_byte_array_append(relay->forward_buffer, call->buffered->data,
		    call->buffered->len);
		forward(step, call, DFF_RELAY_FX_FORWARD_DATA,
		    (const char *)relay->forward_buffer->data,
		    relay->forward_buffer->len);
	}
	forward(step, call, DFF_RELAY_FX_FORWARD_END, NULL, 0);
	if (call->route->kind == DFF_ROUTE_STREAM &&
	    call->route->target_gap > 0)
		pool_stats_add_stream(&relay->pool_stats, call->had_long_gap);
	relay->counts[COUNT_DONE]++;
	dff_hist_add(relay->answer_time, step->now - call->arrived_at);
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "request answered id=%s route=%s upstream=%s status=%d "
	    "first_ms=%" G_GINT64_FORMAT " whole_ms=%" G_GINT64_FORMAT
	    " end=%s partial=%zu",
	    call->id, call->route->name, call->send.id, call->send.status,
	    (call->first_byte_at - call->arrived_at) / DFF_MSEC,
	    (step->now - call->arrived_at) / DFF_MSEC, result_name(result),
	    call->partial_event.bytes);
}

/* Handle a complete answer of an upstream that ran the request. */
static void
handle_answer(
    step_t *step, call_t *call, upstream_t *up, dff_send_result_t result)
{
	const send_t *send = &call->send;
	bool good = send->stamped && send->status < 500;
	bool failed_resumption =
	    call->progress == DFF_PROGRESS_ANSWERING && !is_good(send);

	if (up != NULL)
		upstream_note_result(up, good);
	if (call->progress != DFF_PROGRESS_ANSWERING)
		call->progress = DFF_PROGRESS_MAY_HAVE_RUN;
	if (!good && send_may_repeat(call) &&
	    budget_left(step->relay->budget, call->pool, step->now) >= 1) {
		send_avoid(call, send->upstream);
		send_release(step, call);
		retry(step, call, DFF_FAILURE_UPSTREAM, "failed");
		return;
	}
	if (!send->stamped || status_means_not_run(send->status) ||
	    failed_resumption) {
		send_release(step, call);
		relay_call_give_up(
		    step, call, DFF_FAILURE_UPSTREAM, 0, "no_signature");
		return;
	}
	if (good)
		suspect_clear_answered(step, call->content_hash);
	forward_answer(step, call, result);
	send_release(step, call);
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
	if ((end->result == DFF_SEND_DONE || end->result == DFF_SEND_CLOSED) &&
	    !send->not_run && send->stage != DFF_STAGE_PREFILL) {
		handle_answer(step, call, up, end->result);
		return;
	}
	send_release(step, call);
	if (end->result == DFF_SEND_UNSENT)
		handle_unsent(step, call, up);
	else if (send->not_run)
		handle_rejection(step, call);
	else if (send->status == 200 && end->handle[0] != '\0')
		handle_prefill(step, call, end);
	else
		handle_break(step, call, up, true);
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
	if (call == NULL || call->send.number == 0)
		return;
	if (budget_left(step->relay->budget, call->pool, step->now) < 1)
		return;
	/* Without an alternative, its answer may still come. */
	if (!send_has_alternative(step, call) && !DFF_FAULT(RELAY_LATE_IS_CUT))
		return;
	up = upstreams_get(step->relay->upstreams, call->send.upstream);
	relay_send_cancel(step, call);
	handle_break(step, call, up, false);
}
