#include "relay/identity.h"

#include <string.h>

#include "base/fault.h"
#include "relay/origin.h"
#include "relay/permit.h"
#include "relay/result.h"

/* A plain upstream has no request for this. */
static bool
can_be_asked(const upstream_t *up)
{
	return up->record.role != DFF_ROLE_MIXED && up->record.started_ms != 0;
}

void
identity_ask(step_t *step, call_t *call, upstream_t *up)
{
	send_t *send = &call->send;
	dff_relay_effect_t *fx;

	if (!call->route->resumable || !call->stream_begun || send->to_peer ||
	    !can_be_asked(up) || DFF_FAULT(RELAY_PROCESS_UNPROVED))
		return;
	/* Such a request counts at an upstream that limits them. */
	if (!permit_take_at_hand(step, up))
		return;
	send->unidentified = true;
	step->relay->counts[COUNT_IDENTITIES_ASKED]++;
	fx = relay_add_fx(step, DFF_RELAY_FX_IDENTIFY);
	g_strlcpy(
	    fx->identify.upstream, send->id, sizeof(fx->identify.upstream));
	g_strlcpy(fx->identify.addr, send->addr, sizeof(fx->identify.addr));
	fx->identify.send = send->number;
}

bool
identity_hold_end(call_t *call, dff_send_result_t result)
{
	send_t *send = &call->send;

	if (!send->unidentified ||
	    (result != DFF_SEND_DONE && result != DFF_SEND_CLOSED))
		return false;
	send->ended = true;
	send->result = result;
	return true;
}

/* Without a statement of its start the record counts, unless the upstream does
 * not even answer or was out of reach since the record. */
static bool
is_proved(const step_t *step, const send_t *send,
    const dff_relay_identified_t *identified)
{
	const upstream_t *up =
	    upstreams_get(step->relay->upstreams, send->upstream);

	if (identified->said)
		return identified->started_ms == send->upstream_started_ms;
	return identified->answered && up != NULL && upstream_is_recorded(up);
}

static void
reject(step_t *step, call_t *call, const dff_relay_identified_t *identified)
{
	upstream_t *up =
	    upstreams_get(step->relay->upstreams, call->send.upstream);

	step->relay->counts[COUNT_STREAM_EVENTS_REJECTED]++;
	dff_log(step->ctx, DFF_LOG_WARNING, "call",
	    "answer of another process not forwarded id=%s upstream=%s "
	    "answered=%d started_ms=%" G_GUINT64_FORMAT
	    " recorded_ms=%" G_GUINT64_FORMAT,
	    call->id, call->send.id, identified->answered,
	    identified->started_ms, call->send.upstream_started_ms);
	if (up != NULL &&
	    up->record.started_ms == call->send.upstream_started_ms)
		upstream_doubt_process(up, step->now);
	relay_send_cancel(step, call);
	result_break(step, call, up, SEND_BREAK_SOFTWARE);
}

void
identity_apply(step_t *step, const dff_relay_identified_t *identified)
{
	call_t *call =
	    g_hash_table_lookup(step->relay->by_send, &identified->send);
	dff_relay_end_t end = {.send = identified->send};
	send_t *send;

	if (call == NULL || !call->send.unidentified)
		return;
	send = &call->send;
	send->unidentified = false;
	if (!is_proved(step, send, identified)) {
		reject(step, call, identified);
		return;
	}
	if (send->identified_len > 0 &&
	    !result_forward_events(step, call, send->identified_len))
		return;
	end.result = send->result;
	if (send->ended)
		relay_send_end(step, &end);
}
