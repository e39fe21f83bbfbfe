#include <string.h>

#include "base/fault.h"
#include "relay/forward.h"
#include "relay/give_up.h"
#include "relay/kv_room.h"
#include "relay/origin.h"
#include "relay/permit.h"
#include "relay/reach.h"
#include "relay/scaling_run.h"
#include "relay/send.h"
#include "relay/share_calls.h"
#include "relay/suspect.h"

/* Reserved of a caller's time for the answer's transfer. */
#define ANSWER_TRANSFER_TIME (5 * DFF_MSEC)
/* Timeout for a connection: some round trips and the handshake. */
#define CONNECT_TIME (350 * DFF_MSEC)
/* A prefill is given up after this multiple of its predicted time, but not
 * before the minimum. */
#define PREFILL_LATE	 4
#define PREFILL_LATE_MIN (800 * DFF_MSEC)
/* A repeatable request without an answer after this share of its
 * target_latency is sent to another upstream. */
#define REPEAT_LATE_SHARE 0.6
/* Share of requests that may find out whether an upstream is still slow, and
 * how many of them may come together. */
#define EXPLORE_SHARE (1.0 / 128)
#define EXPLORE_MAX   1.0
/* In a large fleet the load of other failure domains is known with delay:
 * their upstreams must look better by this much. */
#define CROSS_DOMAIN_PENALTY (80 * DFF_MSEC)

/* ---- load of an upstream by sends in flight ---- */

static void
count_send(step_t *step, call_t *call, upstream_t *up, uint32_t uncached)
{
	send_t *send = &call->send;

	up->running++;
	send->in_flight = up->running + up->peer_sends.running;
	send->backlog_ahead = (uint32_t)MIN(
	    up->backlog + up->peer_sends.backlog, (uint64_t)UINT32_MAX / 2);
	send->uncached = uncached;
	if (call->prompt.count == 0)
		return;
	send->backlog = send->stage == DFF_STAGE_DECODE ? 0 : uncached;
	send->memory = call->prompt.tokens +
	    (send->stage == DFF_STAGE_PREFILL ? 0 : call->prompt.tokens_out);
	scaling_note_read(step->relay, call->pool_config, send->backlog);
	up->backlog += send->backlog;
	up->memory += send->memory;
	kv_hold_send(up, call, step->now);
	/* The last part is specific to this request; no other needs it. */
	for (uint32_t i = 0; i + 1 < call->prompt.count; i++)
		frame_note_part(step->relay, up, call->prompt.parts[i].id,
		    call->prompt.parts[i].tokens, step->now);
	frame_schedule_update(step);
	upstream_cache_prompt(up, &call->prompt,
	    call->pool_config != NULL ? call->pool_config->kv_tokens : 0,
	    step->now);
}

void
send_release_backlog(step_t *step, send_t *send)
{
	upstream_t *up = upstreams_get(step->relay->upstreams, send->upstream);

	if (up != NULL)
		up->backlog -= MIN(up->backlog, send->backlog);
	send->backlog = 0;
}

void
send_release(step_t *step, call_t *call)
{
	send_t *send = &call->send;
	upstream_t *up = upstreams_get(step->relay->upstreams, send->upstream);

	send_release_backlog(step, send);
	if (up != NULL) {
		upstream_note_end(up);
		up->memory -= MIN(up->memory, send->memory);
		kv_release_send(up, call, step->now);
	}
	(void)g_hash_table_remove(step->relay->by_send, &send->number);
	dff_timers_cancel(
	    step->relay->timers, DFF_TIMER_ATTEMPT, call->table_handle);
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
	/* A crash of an upstream that cannot be reached any more looks like
	 * silence, so the run may have ended by one. */
	if (up != NULL && up->silent)
		suspect_add_broken_run(step, call);
	fx = relay_add_fx(step, DFF_RELAY_FX_CANCEL);
	fx->cancel = call->send.number;
	send_release(step, call);
}

/* ---- sending ---- */

void
send_avoid(call_t *call, dff_handle_t upstream)
{
	if (call->avoid_count < AVOID_MAX)
		call->avoid[call->avoid_count++] = upstream;
}

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
set_retry_timer(step_t *step, call_t *call)
{
	const send_t *send = &call->send;
	dff_time_t late;

	if (send->stage == DFF_STAGE_PREFILL)
		late =
		    MAX(PREFILL_LATE * send->predicted_wait, PREFILL_LATE_MIN);
	else if (call->route->kind == DFF_ROUTE_REPEATABLE &&
	    send_may_repeat(call))
		late = (dff_time_t)(REPEAT_LATE_SHARE *
		    (double)call->route->target_latency);
	else
		return;
	dff_timers_set(step->relay->timers, DFF_TIMER_ATTEMPT,
	    call->table_handle, step->now + late);
}

void
send_note_answered(call_t *call)
{
	if (call->answered_by_count < SENDS_MAX)
		call->answered_by[call->answered_by_count++] =
		    call->send.upstream;
}

static bool
has_answered(const call_t *call, dff_handle_t upstream)
{
	for (uint32_t i = 0; i < call->answered_by_count; i++) {
		if (call->answered_by[i] == upstream)
			return !DFF_FAULT(RELAY_CONNECTION_KEPT);
	}
	return false;
}

static void
start_send(step_t *step, call_t *call, const placement_t *place)
{
	dff_relay_t *relay = step->relay;
	upstream_t *up = upstreams_get(relay->upstreams, place->upstream);
	dff_relay_effect_t *fx = relay_add_fx(step, DFF_RELAY_FX_SEND);
	const upstream_t *donor;
	send_t *send = &call->send;

	memset(send, 0, sizeof(*send));
	events_begin(&call->events);
	send->number = ++relay->next_send;
	send->stage = place->stage;
	send->upstream = place->upstream;
	g_strlcpy(send->id, up->record.id, sizeof(send->id));
	g_strlcpy(send->addr, up->record.addr, sizeof(send->addr));
	g_strlcpy(
	    send->software, upstream_software(up), sizeof(send->software));
	send->upstream_started_ms = up->record.started_ms;
	send->sent_at = step->now;
	send->predicted_wait = place->wait;
	count_send(step, call, up, place->uncached);
	upstream_note_send(
	    up, MAX(place->wait, call->route->target_latency), step->now);
	g_hash_table_insert(relay->by_send, &send->number, call);
	share_call_note_sent(step, call);
	call->sends++;
	relay->counts[COUNT_SENDS]++;
	if (place->stage == DFF_STAGE_PREFILL)
		relay->counts[COUNT_PREFILLS]++;
	else {
		call->counted_sends++;
		call->runs++;
	}
	if (place->explored) {
		relay->counts[COUNT_EXPLORED]++;
		relay->explore_credit -= 1;
	}
	relay->used_version = MAX(relay->used_version, call->routing->version);
	origin_note_send(step, call);
	fx->send.call = call->number;
	fx->send.send = send->number;
	g_strlcpy(fx->send.upstream, up->record.id, sizeof(fx->send.upstream));
	g_strlcpy(fx->send.addr, up->record.addr, sizeof(fx->send.addr));
	fx->send.stage = place->stage;
	if (place->stage == DFF_STAGE_DECODE) {
		g_strlcpy(
		    fx->send.kv_addr, call->kv_addr, sizeof(fx->send.kv_addr));
		g_strlcpy(fx->send.kv_handle, call->kv_handle,
		    sizeof(fx->send.kv_handle));
	}
	donor = upstreams_get(relay->upstreams, place->donor);
	if (donor != NULL)
		g_strlcpy(
		    fx->send.donor, donor->record.addr, sizeof(fx->send.donor));
	fx->send.time_left = call->deadline - step->now - ANSWER_TRANSFER_TIME;
	fx->send.after_event =
	    DFF_FAULT(RELAY_RESUME_FROM_START) ? -1 : call->after_event;
	fx->send.priority = call->priority;
	g_strlcpy(fx->send.organisation, call->organisation,
	    sizeof(fx->send.organisation));
	fx->send.checks_keys = call->routing->organisations != NULL ||
	    call->organisation[0] != '\0';
	fx->send.connect_time = CONNECT_TIME;
	fx->send.fresh_connection =
	    up->connect_failures > 0 || has_answered(call, place->upstream);
	set_retry_timer(step, call);
	dff_log(step->ctx, DFF_LOG_INFO, "place",
	    "request sent id=%s route=%s version=%" G_GUINT64_FORMAT
	    " upstream=%s software=%s step=%d send=%u wait_ms=%" G_GINT64_FORMAT
	    " uncached=%u tokens=%u donor=%s ahead=%u running=%u peers=%u "
	    "errors=%.2f limit=%.2f speed=%.2f pace=%.2f explored=%d",
	    call->id, call->route->name, call->routing->version, up->record.id,
	    up->record.software, (int)place->stage, call->sends,
	    place->wait / DFF_MSEC, place->uncached, call->prompt.tokens,
	    donor != NULL ? donor->record.id : "-", send->backlog_ahead,
	    up->running, up->peer_sends.running, up->error_rate,
	    rate_limit_newest(&up->limit)->rate,
	    1 / pool_stats_mean_factor(&relay->pool_stats, up, step->now),
	    capacity_pace(&up->capacity, step->now), place->explored);
}

static void
fill_placement_request(
    step_t *step, const call_t *call, placement_request_t *request)
{
	memset(request, 0, sizeof(*request));
	request->pool = call->pool;
	request->domain = step->relay->config.domain;
	request->pool_config = call->pool_config;
	request->prompt = &call->prompt;
	request->target_gap = call->route->target_gap;
	request->cross_domain_latency =
	    step->relay->config.cross_domain_latency;
	if (call->pool_config != NULL && call->pool_config->conns_max > 0)
		request->sends_max = MAX(call->pool_config->conns_max /
			(step->relay->peers->len + 1),
		    1);
	request->cross_domain_penalty =
	    peers_fleet_is_large(step->relay) ? CROSS_DOMAIN_PENALTY : 0;
	memcpy(request->avoid, call->avoid, sizeof(request->avoid));
	request->avoid_count = call->avoid_count;
	request->software = origin_bound_software(call);
	request->permit_at_hand = call->permit_requests >= PERMIT_REQUESTS_MAX;
	request->under_way = call->sends > 0 || call->stream_begun;
	request->whole_only = call->after_event >= 0;
	request->prefill_engine =
	    call->kv_handle[0] != '\0' ? call->prefill_engine : 0;
}

bool
send_has_alternative(step_t *step, const call_t *call)
{
	placement_request_t request;
	placement_t place;

	fill_placement_request(step, call, &request);
	if (request.avoid_count < AVOID_MAX)
		request.avoid[request.avoid_count++] = call->send.upstream;
	request.permit_at_hand = true;
	place_request(step->relay->upstreams, &step->relay->pool_stats,
	    &request, step->now, &place);
	return place.upstream != 0 && !place.recently_failed &&
	    place.upstream != call->send.upstream;
}

/* KV memory that has expired at its engine cannot be used. */
static void
drop_expired_handle(step_t *step, call_t *call)
{
	dff_time_t lifetime =
	    call->pool_config != NULL ? call->pool_config->handle_lifetime : 0;

	if (lifetime == 0 || step->now - call->kv_handle_at < lifetime)
		return;
	call->kv_handle[0] = '\0';
	if (!DFF_FAULT(RELAY_EXPIRED_HANDLES_HOLD))
		kv_release_handle(step, call);
}

/* Sends the call to its upstream, which has room for it. */
static void
send_placed(step_t *step, call_t *call, const placement_t *place)
{
	if (call->budget_taken)
		step->relay->counts[COUNT_EXTRA_SENDS]++;
	call->budget_taken = false;
	start_send(step, call, place);
}

void
relay_send_place(step_t *step, call_t *call)
{
	dff_relay_t *relay = step->relay;
	placement_request_t request;
	placement_t place;
	upstream_t *up;

	permit_stop_waiting(step, call);
	if (give_up_if_refused(step, call))
		return;
	drop_expired_handle(step, call);
	if (give_up_if_spent(step, call))
		return;
	if (forward_to_peer(step, call))
		return;
	fill_placement_request(step, call, &request);
	if (call->sends == 0)
		relay->explore_credit =
		    MIN(relay->explore_credit + EXPLORE_SHARE, EXPLORE_MAX);
	request.explores = call->sends == 0 && relay->explore_credit >= 1;
	for (;;) {
		place_request(relay->upstreams, &relay->pool_stats, &request,
		    step->now, &place);
		if (give_up_if_unservable(step, call, &place) ||
		    give_up_if_over_budget(step, call))
			return;
		up = upstreams_get(relay->upstreams, place.upstream);
		if (origin_wait_store(step, call, up))
			return;
		switch (permit_take(step, up)) {
		case PERMIT_TAKEN:
			send_placed(step, call, &place);
			return;
		case PERMIT_REQUESTED:
			permit_wait(step, call, place.upstream);
			return;
		case PERMIT_DENIED:
			permit_log(step, call, up, "finds no");
			break;
		}
	}
}

/* Whether the call goes on with a stream of which the upstream's process may not
 * be of the software version any more. */
static bool
is_in_doubt(const call_t *call, const upstream_t *up)
{
	const char *software = origin_bound_software(call);

	return software[0] != '\0' &&
	    strcmp(upstream_software(up), software) != 0 &&
	    !DFF_FAULT(RELAY_DUE_SOFTWARE_UNCHECKED);
}

void
relay_send_recheck(step_t *step, uint64_t number)
{
	dff_relay_t *relay = step->relay;
	call_t *call = g_hash_table_lookup(relay->by_send, &number);
	const upstream_t *up;

	if (call == NULL || (call->send.to_peer && step->now < call->deadline))
		return;
	up = upstreams_get(relay->upstreams, call->send.upstream);
	if (step->now < call->deadline && up != NULL &&
	    upstream_is_available(up, step->now) && !is_in_doubt(call, up) &&
	    (suspect_refusal_time(relay, call->content_hash, &call->prompt,
		 step->now, NULL) == 0 ||
		DFF_FAULT(RELAY_VERDICT_ON_ARRIVAL)))
		return;
	if (DFF_FAULT(RELAY_DUE_UNCHECKED))
		return;
	dff_log(step->ctx, DFF_LOG_INFO, "place",
	    "send cancelled before it left id=%s upstream=%s accepts=%d "
	    "in_doubt=%d time_left_ms=%" G_GINT64_FORMAT,
	    call->id, call->send.id,
	    up != NULL && upstream_is_available(up, step->now),
	    up != NULL && is_in_doubt(call, up),
	    (call->deadline - step->now) / DFF_MSEC);
	relay_send_cancel(step, call);
	call->sends--;
	if (call->send.stage != DFF_STAGE_PREFILL && !call->send.to_peer) {
		call->counted_sends--;
		call->runs--;
	}
	send_avoid(call, call->send.upstream);
	relay_send_place(step, call);
}
