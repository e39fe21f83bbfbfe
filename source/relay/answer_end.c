/*
 * Whether an answer that has ended is complete. The end of its framing, or of
 * its connection if it has none, is not enough: a stream that ends inside an
 * event was broken off, and the connection may have ended with its upstream.
 */
#include "relay/answer_end.h"

#include "base/fault.h"
#include "relay/result.h"
#include "relay/send.h"
#include "relay/suspect.h"

/* Longest time for the connection of a probe: several round trips. Its caller
 * waits for the end of its answer meanwhile. */
#define PROBE_TIME (150 * DFF_MSEC)

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
forward_answer(step_t *step, call_t *call, const char *end)
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
	    (step->now - call->arrived_at) / DFF_MSEC, end,
	    call->events.partial);
}

/* Handle a complete answer of an upstream that ran the request; @end says how
 * it ended, for the log. */
static void
handle_answer(step_t *step, call_t *call, const char *end)
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
	if ((!good || failed_resumption) && !send->to_peer &&
	    send_may_repeat(call) &&
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
		suspect_clear_answered(step, call);
	forward_answer(step, call, end);
	send_release(step, call);
	relay_call_close(step, call);
}

static void
break_off(step_t *step, call_t *call, send_break_t why)
{
	upstream_t *up =
	    upstreams_get(step->relay->upstreams, call->send.upstream);

	send_release(step, call);
	result_break(step, call, up, why);
}

/* An upstream that crashes may close its connections in order: probe whether
 * it still listens before its answer without framing is called complete. */
static void
start_probe(step_t *step, const call_t *call)
{
	dff_relay_effect_t *fx = relay_add_fx(step, DFF_RELAY_FX_PROBE);

	step->relay->counts[COUNT_END_PROBES]++;
	g_strlcpy(
	    fx->probe.upstream, call->send.id, sizeof(fx->probe.upstream));
	g_strlcpy(fx->probe.addr, call->send.addr, sizeof(fx->probe.addr));
	fx->probe.send = call->send.number;
	fx->probe.connect_time = PROBE_TIME;
}

void
answer_end_receive(step_t *step, call_t *call, dff_send_result_t result)
{
	bool closed = result == DFF_SEND_CLOSED;
	bool is_stream = call->route->kind == DFF_ROUTE_STREAM;

	if (!result_is_good(&call->send)) {
		handle_answer(step, call, end_name(result));
		return;
	}
	if (is_stream && events_inside(&call->events) &&
	    !DFF_FAULT(RELAY_STREAM_ENDS_ANYWHERE))
		break_off(step, call, SEND_BREAK_INSIDE_EVENT);
	else if (is_stream && closed && call->events.events == 0 &&
	    call->after_event < 0)
		break_off(step, call, SEND_BREAK_NO_EVENT);
	else if (closed && !DFF_FAULT(RELAY_CLOSED_IS_COMPLETE))
		start_probe(step, call);
	else
		handle_answer(step, call, end_name(result));
}

void
answer_end_apply_probe(step_t *step, const dff_relay_probed_t *probed)
{
	call_t *call = g_hash_table_lookup(step->relay->by_send, &probed->send);

	/* The call may have ended meanwhile. */
	if (call == NULL)
		return;
	switch (probed->result) {
	case DFF_PROBE_ACCEPTED:
		handle_answer(step, call, "closed_probe_accepted");
		break;
	case DFF_PROBE_REFUSED:
		break_off(step, call, SEND_BREAK_UPSTREAM_DOWN);
		break;
	case DFF_PROBE_INCONCLUSIVE:
		/* Nothing contradicts the upstream's own statement. */
		handle_answer(step, call, "closed_probe_silent");
		break;
	}
}
