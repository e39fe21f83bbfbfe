/*
 * Whether an answer that has ended is complete. The end of its framing, or of
 * its connection if it has none, is not enough: a stream that ends inside an
 * event was broken off.
 */
#include "relay/answer_end.h"

#include "base/fault.h"
#include "relay/result.h"
#include "relay/send.h"
#include "relay/suspect.h"

/* Statuses that state "not run": forwarded only if the upstream said so. */
static bool
status_means_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static const char *
end_name(dff_send_result_t result)
{
	return result == DFF_SEND_CLOSED ? "closed" : "framed";
}

static void
forward_answer(step_t *step, call_t *call, dff_send_result_t result)
{
	dff_relay_t *relay = step->relay;

	result_begin_answer(step, call);
	if (call->buffered->len > 0) {
		g_byte_array_set_size(relay->forward_buffer, 0);
		g_byte_array_append(relay->forward_buffer, call->buffered->data,
		    call->buffered->len);
		result_forward(step, call, DFF_RELAY_FX_FORWARD_DATA,
		    (const char *)relay->forward_buffer->data,
		    relay->forward_buffer->len);
	}
	result_forward(step, call, DFF_RELAY_FX_FORWARD_END, NULL, 0);
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
	    (step->now - call->arrived_at) / DFF_MSEC, end_name(result),
	    call->events.partial);
}

/* Handle a complete answer of an upstream that ran the request. */
static void
handle_answer(step_t *step, call_t *call, dff_send_result_t result)
{
	const send_t *send = &call->send;
	upstream_t *up = upstreams_get(step->relay->upstreams, send->upstream);
	bool good = send->stamped && send->status < 500;
	bool failed_resumption =
	    call->progress == DFF_PROGRESS_ANSWERING && !result_is_good(send);

	if (up != NULL)
		upstream_note_result(up, good);
	if (call->progress != DFF_PROGRESS_ANSWERING)
		call->progress = DFF_PROGRESS_MAY_HAVE_RUN;
	if (!good && send_may_repeat(call) &&
	    budget_left(step->relay->budget, call->pool, step->now) >= 1) {
		send_avoid(call, send->upstream);
		send_release(step, call);
		result_retry(step, call, DFF_FAILURE_UPSTREAM, "failed");
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
answer_end_receive(step_t *step, call_t *call, dff_send_result_t result)
{
	upstream_t *up =
	    upstreams_get(step->relay->upstreams, call->send.upstream);

	if (result_is_good(&call->send) &&
	    call->route->kind == DFF_ROUTE_STREAM &&
	    events_inside(&call->events) &&
	    !DFF_FAULT(RELAY_STREAM_ENDS_ANYWHERE)) {
		send_release(step, call);
		result_break(step, call, up, SEND_BREAK_INSIDE_EVENT);
		return;
	}
	handle_answer(step, call, result);
}
