#include <string.h>

#include "base/fault.h"
#include "relay/confirm.h"
#include "relay/forward.h"
#include "relay/key_check.h"
#include "relay/kv_room.h"
#include "relay/origin.h"
#include "relay/permit.h"
#include "relay/reach.h"
#include "relay/suspect.h"

/* Retry time while there is no routing: it is read within seconds of a start.
 */
#define RETRY_NO_ROUTING (500 * DFF_MSEC)
/* The same while the configuration is not confirmed, and the time over which
 * such retries are spread: they mostly reach another node. */
#define RETRY_UNCONFIRMED	 (300 * DFF_MSEC)
#define RETRY_UNCONFIRMED_SPREAD (200 * DFF_MSEC)
/* Shortest retry time sent to a caller. */
#define RETRY_MIN (100 * DFF_MSEC)
/* New requests are refused from this time after a stop: the end of the process
 * could cut them off. By then callers connect to other nodes. */
#define STOP_ACCEPT_TIME (3 * DFF_SEC)

/* Whether the caller has events of a stream that may go on. */
static bool
resumes_stream(const dff_relay_open_t *open, const dff_route_t *route)
{
	return dff_route_is_resumable(route) && open->after_event >= 0;
}

/* Hash of the id of the attempt that began the stream; 0 if it is not named. */
static uint64_t
stream_of(const dff_relay_open_t *open, const dff_route_t *route)
{
	const char *id = resumes_stream(open, route) ? open->resumes : open->id;

	return *id != '\0' ? dff_hash(id, strlen(id), 0) : 0;
}

/* Send the final answer to a request for which no call was made. */
static void
answer_without_call(step_t *step, const dff_relay_open_t *open, int status,
    dff_time_t retry_after, const char *why)
{
	dff_relay_effect_t *fx = relay_add_fx(step, DFF_RELAY_FX_ANSWER);

	fx->answer.call = open->call;
	fx->answer.status = status;
	fx->answer.retry_after = retry_after;
	step->relay->counts[COUNT_REFUSED]++;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "request refused on arrival id=%s status=%d why=%s version=%" G_GUINT64_FORMAT
	    " host=%s target=%.48s content=%016" G_GINT64_MODIFIER "x",
	    open->id, status, why,
	    step->relay->routing != NULL ? step->relay->routing->version : 0,
	    open->host, open->target, open->content_hash);
}

/* ---- keys ---- */

/* The configuration of another node may be newer than that of this one. */
static key_verdict_t
check_key(step_t *step, const dff_relay_open_t *open, const dff_route_t *route,
    const dff_organisation_t **organisation)
{
	const dff_relay_t *relay = step->relay;
	const dff_organisations_t *all = relay->routing->organisations;
	const key_rules_t rules = {.age = confirm_age(relay, step->now),
	    .strict = relay->config.revoke_strictly,
	    .revoke_time = relay->config.revoke_time,
	    .config_time = relay->config.config_time};
	key_verdict_t verdict;

	*organisation = NULL;
	if (all == NULL || route->is_public)
		return KEY_ACCEPTED;
	if (open->from_peer && open->organisation[0] != '\0') {
		*organisation =
		    dff_organisations_find_name(all, open->organisation);
		return KEY_ACCEPTED;
	}
	verdict = key_check(all, open->credential, &rules, organisation);
	if (open->from_peer && verdict != KEY_ACCEPTED)
		return KEY_UNCONFIRMED;
	return verdict;
}

/* Answers a request that its key does not allow. */
static void
refuse_key(step_t *step, const dff_relay_open_t *open, key_verdict_t verdict)
{
	dff_relay_t *relay = step->relay;

	switch (verdict) {
	case KEY_ACCEPTED:
		return;
	case KEY_MISSING:
		relay->counts[COUNT_REFUSED_NO_KEY]++;
		answer_without_call(step, open, 401, 0, "no_key");
		return;
	case KEY_UNKNOWN:
		relay->counts[COUNT_REFUSED_UNKNOWN_KEY]++;
		answer_without_call(step, open, 401, 0, "unknown_key");
		return;
	case KEY_UNCONFIRMED:
		relay->counts[COUNT_REFUSED_UNCONFIRMED]++;
		answer_without_call(step, open, 503,
		    RETRY_UNCONFIRMED +
			(dff_time_t)(dff_rand_unit(step->ctx) *
			    (double)RETRY_UNCONFIRMED_SPREAD),
		    "configuration_unconfirmed");
		return;
	}
}

static void
set_organisation(call_t *call, const dff_relay_open_t *open,
    const dff_organisation_t *organisation)
{
	if (organisation != NULL)
		g_strlcpy(call->organisation, organisation->name,
		    sizeof(call->organisation));
	else if (open->from_peer)
		g_strlcpy(call->organisation, open->organisation,
		    sizeof(call->organisation));
	call->priority = organisation != NULL && organisation->has_priority ?
	    organisation->priority :
	    call->route->priority;
}

/* ---- new requests ---- */

static call_t *
new_call(step_t *step, const dff_relay_open_t *open, const dff_route_t *route)
{
	dff_relay_t *relay = step->relay;
	dff_handle_t handle;
	call_t *call = dff_table_take(relay->calls, &handle);
	dff_time_t timeout = route->timeout;

	if (open->timeout > 0)
		timeout = MIN(timeout, open->timeout);
	call->table_handle = handle;
	call->number = open->call;
	g_strlcpy(call->id, open->id, sizeof(call->id));
	call->routing = dff_routing_keep(relay->routing);
	call->route = route;
	g_strlcpy(call->pool,
	    dff_route_pool(route, dff_hash(open->id, strlen(open->id), 0)),
	    sizeof(call->pool));
	call->pool_config = dff_routing_pool(relay->routing, call->pool);
	call->content_hash = open->content_hash;
	call->prompt = open->prompt;
	call->after_event = open->after_event;
	call->stream = stream_of(open, route);
	call->from_peer = open->from_peer;
	if (open->after_event >= 0)
		dff_log(step->ctx, DFF_LOG_INFO, "call",
		    "caller resumes its stream id=%s route=%s resumes=%s "
		    "after_event=%" G_GINT64_FORMAT,
		    call->id, route->name, open->resumes, open->after_event);
	call->arrived_at = step->now;
	call->deadline = step->now + timeout;
	call->progress = DFF_PROGRESS_UNSENT;
	call->buffered = g_byte_array_new();
	g_hash_table_insert(relay->by_number, &call->number, call);
	dff_timers_set(
	    relay->timers, DFF_TIMER_CALL_DEADLINE, handle, call->deadline);
	return call;
}

void
relay_call_open(step_t *step, const dff_relay_open_t *open)
{
	dff_relay_t *relay = step->relay;
	const dff_route_t *route;
	const dff_organisation_t *organisation;
	key_verdict_t verdict;
	dff_time_t refused_for;
	uint64_t key = 0;
	call_t *call;

	relay->counts[COUNT_REQUESTS]++;
	if (relay->stop_at != 0 &&
	    step->now - relay->stop_at > STOP_ACCEPT_TIME &&
	    !DFF_FAULT(RELAY_STOP_TAKES_ALL)) {
		answer_without_call(step, open, 503, RETRY_MIN, "stopping");
		return;
	}
	if (relay->routing == NULL) {
		answer_without_call(
		    step, open, 503, RETRY_NO_ROUTING, "no_routing");
		return;
	}
	route = dff_routing_match(relay->routing, open->host, open->target);
	if (route == NULL) {
		answer_without_call(step, open, 404, 0, "no_route");
		return;
	}
	verdict = check_key(step, open, route, &organisation);
	if (verdict != KEY_ACCEPTED) {
		refuse_key(step, open, verdict);
		return;
	}
	refused_for = suspect_refusal_time(
	    relay, open->content_hash, &open->prompt, step->now, &key);
	if (refused_for > 0) {
		suspect_note_refusal(step, open->id, key);
		answer_without_call(
		    step, open, 503, refused_for, "breaks_upstreams");
		return;
	}
	call = new_call(step, open, route);
	set_organisation(call, open, organisation);
	organisation_counts_note(
	    relay->organisation_counts, call->organisation);
	if (open->from_peer) {
		relay->counts[COUNT_FROM_PEERS]++;
		dff_log(step->ctx, DFF_LOG_INFO, "call",
		    "request of a peer id=%s route=%s", call->id, route->name);
	}
	/* The peer that serves the call counts it. */
	if (!forward_is_due(step, call))
		budget_note_request(relay->budget, call->pool, step->now);
	if (forward_to_peer(step, call))
		return;
	if (resumes_stream(open, route))
		origin_resume(step, call);
	else
		relay_send_place(step, call);
}

/* Release the call's KV memory, which no engine will use. */
static void
release_handle(step_t *step, const call_t *call)
{
	upstream_t *up;
	dff_relay_effect_t *fx;

	if (call->kv_handle[0] == '\0')
		return;
	up = upstreams_get(step->relay->upstreams, call->prefill_engine);
	/* Memory that is not freed expires. */
	if (up == NULL || !upstream_is_available(up, step->now) ||
	    !permit_take_at_hand(step, up))
		return;
	fx = relay_add_fx(step, DFF_RELAY_FX_RELEASE);
	g_strlcpy(
	    fx->release.upstream, up->record.id, sizeof(fx->release.upstream));
	g_strlcpy(fx->release.addr, call->kv_addr, sizeof(fx->release.addr));
	g_strlcpy(
	    fx->release.handle, call->kv_handle, sizeof(fx->release.handle));
}

static void
free_call(dff_relay_t *relay, call_t *call)
{
	(void)g_hash_table_remove(relay->by_number, &call->number);
	dff_timers_cancel(
	    relay->timers, DFF_TIMER_CALL_DEADLINE, call->table_handle);
	dff_timers_cancel(relay->timers, DFF_TIMER_ATTEMPT, call->table_handle);
	g_byte_array_unref(call->buffered);
	dff_routing_drop(call->routing);
	dff_table_give(relay->calls, call->table_handle);
}

void
relay_call_close(step_t *step, call_t *call)
{
	suspect_add_cancelled_run(step, call);
	relay_send_cancel(step, call);
	release_handle(step, call);
	kv_release_handle(step, call);
	free_call(step->relay, call);
}

void
relay_call_give_up(step_t *step, call_t *call, dff_failure_t failure,
    dff_time_t retry_after, const char *why)
{
	dff_relay_effect_t *fx;
	int status;

	/* A send in flight may run at its upstream even after a cancel. */
	if (call->send.number != 0 && call->send.stage != DFF_STAGE_PREFILL &&
	    !DFF_FAULT(RELAY_UNDER_WAY_IS_UNSENT))
		call->progress = MAX(call->progress, DFF_PROGRESS_MAY_HAVE_RUN);
	status = dff_relay_status(call->progress, failure);
	suspect_add_cancelled_run(step, call);
	relay_send_cancel(step, call);
	if (status == 0) {
		fx = relay_add_fx(step, DFF_RELAY_FX_ABORT);
		fx->call = call->number;
	} else {
		fx = relay_add_fx(step, DFF_RELAY_FX_ANSWER);
		fx->answer.call = call->number;
		fx->answer.status = status;
		if (status == 503)
			fx->answer.retry_after = MAX(retry_after, RETRY_MIN);
	}
	step->relay->counts[status == 503 ? COUNT_REFUSED : COUNT_FAILED]++;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "request given up id=%s route=%s status=%d why=%s sends=%u "
	    "runs=%u after_ms=%" G_GINT64_FORMAT " retry_ms=%" G_GINT64_FORMAT
	    " content=%016" G_GINT64_MODIFIER "x",
	    call->id, call->route->name, status, why, call->sends, call->runs,
	    (step->now - call->arrived_at) / DFF_MSEC,
	    status == 503 ? fx->answer.retry_after / DFF_MSEC : 0,
	    call->content_hash);
	relay_call_close(step, call);
}

void
relay_call_caller_gone(step_t *step, uint64_t number)
{
	call_t *call = g_hash_table_lookup(step->relay->by_number, &number);

	if (call == NULL || DFF_FAULT(RELAY_GONE_RUNS_ON))
		return;
	step->relay->counts[COUNT_CALLERS_GONE]++;
	dff_log(step->ctx, DFF_LOG_INFO, "call",
	    "caller disconnected id=%s route=%s upstream=%s after_ms=%" G_GINT64_FORMAT,
	    call->id, call->route->name, call->send.id,
	    (step->now - call->arrived_at) / DFF_MSEC);
	relay_call_close(step, call);
}

void
relay_call_deadline(step_t *step, dff_handle_t handle)
{
	call_t *call = dff_table_get(step->relay->calls, handle);

	if (call != NULL)
		relay_call_give_up(
		    step, call, DFF_FAILURE_TIMEOUT, RETRY_MIN, "time");
}

void
relay_call_free_all(dff_relay_t *relay)
{
	call_t *call;

	for (dff_handle_t h = 0;
	     (h = dff_table_next(relay->calls, h, (void **)&call)) != 0;)
		free_call(relay, call);
}
