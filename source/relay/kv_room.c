#include "relay/kv_room.h"

#include "base/fault.h"

/* Share of an engine's memory for requests that are not under way yet. */
#define NEW_SHARE 0.9

static uint32_t
send_tokens_out(const call_t *call)
{
	return call->send.stage == DFF_STAGE_PREFILL ? 0 :
						       call->prompt.tokens_out;
}

void
kv_hold_send(upstream_t *up, call_t *call, dff_time_t now)
{
	kv_held_add(&up->held, &call->prompt, send_tokens_out(call), now);
	call->send.holds = true;
}

void
kv_release_send(upstream_t *up, call_t *call, dff_time_t now)
{
	if (call->send.holds)
		kv_held_remove(
		    &up->held, &call->prompt, send_tokens_out(call), now);
	call->send.holds = false;
}

void
kv_hold_handle(step_t *step, call_t *call)
{
	upstream_t *up =
	    upstreams_get(step->relay->upstreams, call->prefill_engine);

	if (up == NULL || DFF_FAULT(RELAY_HANDLES_HOLD_NOTHING))
		return;
	kv_held_add(&up->held, &call->prompt, 0, step->now);
	call->kv_handle_held = true;
}

void
kv_release_handle(step_t *step, call_t *call)
{
	upstream_t *up =
	    upstreams_get(step->relay->upstreams, call->prefill_engine);

	if (up != NULL && call->kv_handle_held)
		kv_held_remove(&up->held, &call->prompt, 0, step->now);
	call->kv_handle_held = false;
}

bool
kv_has_room(upstream_t *up, const placement_request_t *request, bool decodes,
    dff_time_t now)
{
	const dff_prompt_t *prompt = request->prompt;
	uint32_t tokens_out = decodes ? prompt->tokens_out : 0;
	uint64_t others = up->peer_sends.unshared;
	double room;

	if (request->pool_config == NULL ||
	    request->pool_config->kv_tokens == 0 ||
	    DFF_FAULT(RELAY_KV_ROOM_IGNORED))
		return true;
	room = (double)request->pool_config->kv_tokens;
	/* A large request must fit at least where there is no other. */
	if (!request->under_way && up->held.unshared + others > 0)
		room *= NEW_SHARE;
	/* Mostly there is room without a look at what is shared. */
	if ((double)(up->held.unshared + up->held.shared + others +
		prompt->tokens + tokens_out) <= room)
		return true;
	if (up->peer_sends.running == 0 && others == 0 &&
	    !DFF_FAULT(RELAY_IDLE_PEERS_HOLD))
		kv_held_forget_peers(&up->held, now);
	return (double)kv_held_with(
		   &up->held, others, prompt, tokens_out, now) <= room;
}
