/*
 * Life cycle of a call, from the caller's request to its final answer.
 */
#include "admission.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#define PART "call"

/* Retry-After while a call with the same Idempotency-Key is in progress. */
#define RETRY_IN_PROGRESS (1 * DFF_SEC)
/* Retry-After while the log does not answer. */
#define RETRY_LOG_DOWN (5 * DFF_SEC)
/* A model's answer is cancelled after this multiple of its class's time. */
#define OVERTIME_FACTOR 3

static void
add_refusal(uint64_t id, const refusal_t *refusal, dff_execution_t execution,
    dff_effects_t *fx)
{
	dff_effect_t *effect;

	effect = dff_effects_add(fx, DFF_FX_CALL_REFUSE);
	effect->u.call_refuse.call = id;
	effect->u.call_refuse.status = refusal->status;
	effect->u.call_refuse.code = refusal->code;
	effect->u.call_refuse.execution = execution;
	effect->u.call_refuse.retry_after = refusal->retry_after;
	effect->u.call_refuse.text = refusal->text;
}

call_t *
call_by_attempt(dff_node_t *node, uint64_t attempt)
{
	dff_handle_t *handle;

	handle = g_hash_table_lookup(node->calls_by_attempt, &attempt);
	if (handle == NULL)
		return NULL;
	return dff_table_get(node->calls, *handle);
}

static call_t *
call_by_id(dff_node_t *node, uint64_t id)
{
	dff_handle_t *handle;

	handle = g_hash_table_lookup(node->calls_by_id, &id);
	if (handle == NULL)
		return NULL;
	return dff_table_get(node->calls, *handle);
}

void
call_close(dff_node_t *node, call_t *call)
{
	dff_timers_cancel(node->timers, DFF_TIMER_CALL_DEADLINE, call->handle);
	if (call->attempt != 0)
		g_hash_table_remove(node->calls_by_attempt, &call->attempt);
	g_hash_table_remove(node->calls_by_id, &call->id);
	g_free(call->idem_key);
	g_free(call->prefix);
	dff_table_give(node->calls, call->handle);
}

void
call_refuse(dff_ctx_t *ctx, dff_node_t *node, call_t *call, int status,
    const char *code, dff_execution_t execution, dff_time_t retry_after,
    const char *text, dff_effects_t *fx)
{
	refusal_t refusal = {status, code, text, retry_after};

	if (call->claimed) {
		dff_claims_finish(ctx, node->claims, call->key,
		    execution == DFF_EXECUTION_NOT_RUN ?
			DFF_CLAIM_NOT_EXECUTED :
			DFF_CLAIM_UNKNOWN,
		    NULL, node->now, fx);
		call->claimed = false;
	}
	dff_log(ctx, DFF_LOG_INFO, PART,
	    "call refused. call=%s-%" PRIu64 " entry=%s owner=%s code=%s"
	    " ran=%s retry_after_ms=%" PRId64 " why=%s",
	    node->config.id, call->id, call->entry, call->owner, code,
	    dff_execution_name(execution), retry_after / DFF_MSEC, text);
	node->counters[execution == DFF_EXECUTION_NOT_RUN ? DFF_COUNT_REFUSED :
							    DFF_COUNT_FAILED]++;
	if (!call->disconnected) {
		refusal.text = dff_effects_strdup(fx, text);
		add_refusal(call->id, &refusal, execution, fx);
	}
	call_close(node, call);
}

static void
set_work(call_t *call, const dff_entry_t *entry, int index,
    const dff_ev_call_open_t *ev, dff_time_t now)
{
	dff_policy_call_t *work = &call->work;

	call->prefix =
	    g_memdup2(ev->prefix, ev->prefix_count * sizeof(ev->prefix[0]));
	work->handle = call->handle;
	work->entry = (uint32_t)index;
	work->arrived_at = now;
	work->prompt_tokens =
	    (ev->prompt_len + DFF_BYTES_PER_TOKEN - 1) / DFF_BYTES_PER_TOKEN;
	work->max_tokens =
	    ev->max_tokens != 0 ? ev->max_tokens : entry->max_output_tokens;
	work->body_hash = ev->body_hash;
	work->prefix = call->prefix;
	work->prefix_count = ev->prefix_count;
}

static call_t *
call_new(
    dff_node_t *node, const dff_ev_call_open_t *ev, int index, dff_time_t now)
{
	const dff_catalogue_t *cat = node_catalogue(node);
	const dff_entry_t *entry;
	const dff_pool_t *pool;
	dff_handle_t handle;
	uint32_t count;
	call_t *call;

	entry = &dff_catalogue_entries(cat, &count)[index];
	pool = &dff_catalogue_pools(cat, &count)[entry->pool];
	call = dff_table_take(node->calls, &handle);
	call->handle = handle;
	call->id = ev->call;
	call->kind = ev->kind;
	call->cls = dff_catalogue_classes(cat, &count)[entry->cls];
	call->may_repeat = entry->may_repeat;
	call->idem_key = g_strdup(ev->idem_key);
	(void)dff_name_copy(call->entry, entry->name);
	(void)dff_name_copy(
	    call->owner, dff_catalogue_owners(cat, &count)[entry->owner].name);
	(void)dff_name_copy(call->pool, pool->name);
	(void)dff_name_copy(call->model, pool->model);
	(void)g_strlcpy(call->path, entry->path, sizeof(call->path));
	set_work(call, entry, index, ev, now);
	call->deadline = now + call->cls.whole;
	g_hash_table_insert(node->calls_by_id,
	    g_memdup2(&call->id, sizeof(call->id)),
	    g_memdup2(&handle, sizeof(handle)));
	dff_timers_set(
	    node->timers, DFF_TIMER_CALL_DEADLINE, handle, call->deadline);
	return call;
}

static void
replay_reply(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    const dff_claim_answer_t *answer, dff_effects_t *fx)
{
	dff_effect_t *effect;

	dff_log(ctx, DFF_LOG_INFO, PART,
	    "answer given again. call=%s-%" PRIu64 " entry=%s status=%d",
	    node->config.id, call->id, call->entry, answer->status);
	node->counters[DFF_COUNT_REPLAYED]++;
	if (!call->disconnected) {
		effect = dff_effects_add(fx, DFF_FX_CALL_REPLY);
		effect->u.call_reply.call = call->id;
		effect->u.call_reply.status = answer->status;
		effect->u.call_reply.content_type =
		    dff_effects_strdup(fx, answer->content_type);
		effect->u.call_reply.body =
		    dff_effects_copy(fx, answer->body, answer->len);
		effect->u.call_reply.len = answer->len;
		effect->u.call_reply.replayed = true;
	}
	call_close(node, call);
}

/* Runs, answers or refuses a call according to the state of its claim. */
static void
apply_claim_state(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    dff_claim_state_t state, const dff_claim_answer_t *answer, dff_time_t now,
    dff_effects_t *fx)
{
	switch (state) {
	case DFF_CLAIM_WAIT:
		return;
	case DFF_CLAIM_WON:
		call->claimed = true;
		call_dispatch(ctx, node, call, now, fx);
		return;
	case DFF_CLAIM_REPLAYED:
		replay_reply(ctx, node, call, answer, fx);
		return;
	case DFF_CLAIM_RUNNING:
		call_refuse(ctx, node, call, 409, "in_progress",
		    DFF_EXECUTION_UNKNOWN, RETRY_IN_PROGRESS,
		    "a call with this key is under way", fx);
		return;
	case DFF_CLAIM_UNKNOWN:
		call_refuse(ctx, node, call, 409, "outcome_unknown",
		    DFF_EXECUTION_UNKNOWN, 0,
		    "a call with this key may have run; it is not run again",
		    fx);
		return;
	case DFF_CLAIM_MISMATCH:
		call_refuse(ctx, node, call, 422, "key_reused",
		    DFF_EXECUTION_NOT_RUN, 0,
		    "the key was used with another request", fx);
		return;
	case DFF_CLAIM_NOT_EXECUTED:
		call_refuse(ctx, node, call, 503, "log_down",
		    DFF_EXECUTION_NOT_RUN, RETRY_LOG_DOWN,
		    "the log does not answer, so this may not run now", fx);
		return;
	}
}

static void
begin_claim(dff_ctx_t *ctx, dff_node_t *node, call_t *call, uint64_t body_hash,
    dff_time_t now, dff_effects_t *fx)
{
	dff_claim_answer_t answer = {0};
	dff_claim_state_t state;

	call->state = CALL_CLAIMING;
	call->key = dff_key_make(call->owner, call->entry, call->idem_key);
	state = dff_claims_begin(ctx, node->claims, call->key, body_hash,
	    call->handle, stream_is_ready(node, DFF_STREAM_CLAIMS, now), now,
	    fx, &answer);
	dff_log(ctx, DFF_LOG_INFO, "claim",
	    "claim asked. call=%s-%" PRIu64 " entry=%s state=%s",
	    node->config.id, call->id, call->entry,
	    dff_claim_state_name(state));
	apply_claim_state(ctx, node, call, state, &answer, now, fx);
}

void
call_open(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_call_open_t *ev,
    dff_time_t now, dff_effects_t *fx)
{
	const refusal_t *refusal;
	call_t *call;
	int index = 0;

	node->counters[DFF_COUNT_CALLS]++;
	refusal = admission_check(node, ev, &index);
	if (refusal != NULL) {
		node->counters[DFF_COUNT_REFUSED]++;
		dff_log(ctx, DFF_LOG_INFO, PART,
		    "call refused. call=%s-%" PRIu64 " entry=%s code=%s"
		    " ran=not_run why=%s",
		    node->config.id, ev->call, ev->entry, refusal->code,
		    refusal->text);
		add_refusal(ev->call, refusal, DFF_EXECUTION_NOT_RUN, fx);
		return;
	}
	call = call_new(node, ev, index, now);
	if (call->may_repeat)
		call_dispatch(ctx, node, call, now, fx);
	else
		begin_claim(ctx, node, call, ev->body_hash, now, fx);
}

void
call_disconnected(dff_ctx_t *ctx, dff_node_t *node, uint64_t id, dff_time_t now,
    dff_effects_t *fx)
{
	call_t *call;

	call = call_by_id(node, id);
	if (call == NULL)
		return;
	node->counters[DFF_COUNT_DISCONNECTS]++;
	call->disconnected = true;
	dff_log(ctx, DFF_LOG_INFO, PART,
	    "caller went away. call=%s-%" PRIu64 " entry=%s", node->config.id,
	    call->id, call->entry);
	switch (call->state) {
	case CALL_CLAIMING:
		dff_claims_abandon(ctx, node->claims, call->handle);
		break;
	case CALL_WAITING:
		dff_policy_remove_waiting(node->policy, call->handle);
		break;
	case CALL_RUNNING:
		/* Claimed work runs on: its outcome must be recorded. */
		if (call->claimed)
			return;
		attempt_cancel(ctx, node, call, DFF_ATTEMPT_CANCELLED, now, fx);
		break;
	}
	if (call->claimed)
		dff_claims_finish(ctx, node->claims, call->key,
		    DFF_CLAIM_NOT_EXECUTED, NULL, now, fx);
	call_close(node, call);
}

dff_execution_t
call_execution(const call_t *call)
{
	if (call->answer_started)
		return DFF_EXECUTION_RAN;
	if (call->ever_sent && !DFF_FAULT(SENT_IS_NOT_RUN))
		return DFF_EXECUTION_UNKNOWN;
	return DFF_EXECUTION_NOT_RUN;
}

static void
apply_decision(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    const dff_decision_t *decision, dff_time_t now, dff_effects_t *fx)
{
	switch (decision->kind) {
	case DFF_DECISION_RUN:
		attempt_start(ctx, node, call, decision, now, fx);
		return;
	case DFF_DECISION_WAIT:
		call->state = CALL_WAITING;
		dff_log(ctx, DFF_LOG_INFO, "route",
		    "call waits. call=%s-%" PRIu64 " entry=%s %s",
		    node->config.id, call->id, call->entry, decision->reason);
		return;
	case DFF_DECISION_REFUSE:
		call_refuse(ctx, node, call, decision->status, decision->code,
		    call_execution(call), decision->retry_after,
		    decision->reason, fx);
		return;
	}
}

void
call_dispatch(dff_ctx_t *ctx, dff_node_t *node, call_t *call, dff_time_t now,
    dff_effects_t *fx)
{
	dff_decision_t decision;
	int index;

	index = dff_catalogue_find_entry(node_catalogue(node), call->entry);
	if (index < 0) {
		call_refuse(ctx, node, call, 404, "unknown_entry",
		    call_execution(call), 0, "the entry has been withdrawn",
		    fx);
		return;
	}
	call->work.entry = (uint32_t)index;
	if (!DFF_FAULT(POISON_RUNS_ON) &&
	    poison_crash_count(node->poison, call->work.body_hash, now) >=
		POISON_CRASHES_MAX) {
		node->counters[DFF_COUNT_POISON]++;
		call_refuse(ctx, node, call, 422, "poison",
		    call_execution(call), 0,
		    "engines crashed under this request", fx);
		return;
	}
	call->work.suspect =
	    poison_crash_count(node->poison, call->work.body_hash, now) > 0;
	memset(&decision, 0, sizeof(decision));
	dff_policy_offer(ctx, node->policy, &call->work, now, &decision);
	apply_decision(ctx, node, call, &decision, now, fx);
}

static void
apply_claim_verdicts(
    dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx)
{
	dff_claim_verdict_t verdict;

	while (dff_claims_next_verdict(node->claims, &verdict)) {
		call_t *call;

		call = dff_table_get(node->calls, verdict.call);
		if (call == NULL || call->state != CALL_CLAIMING)
			continue;
		dff_log(ctx, DFF_LOG_INFO, "claim",
		    "claim decided. call=%s-%" PRIu64 " entry=%s state=%s",
		    node->config.id, call->id, call->entry,
		    dff_claim_state_name(verdict.state));
		apply_claim_state(
		    ctx, node, call, verdict.state, &verdict.answer, now, fx);
	}
}

void
call_apply_decisions(
    dff_ctx_t *ctx, dff_node_t *node, dff_time_t now, dff_effects_t *fx)
{
	dff_decision_t decision;

	apply_claim_verdicts(ctx, node, now, fx);
	memset(&decision, 0, sizeof(decision));
	while (dff_policy_decide_next(ctx, node->policy, now, &decision)) {
		call_t *call;

		call = dff_table_get(node->calls, decision.call);
		if (call != NULL && call->state == CALL_WAITING)
			apply_decision(ctx, node, call, &decision, now, fx);
		memset(&decision, 0, sizeof(decision));
	}
}

static void
deadline_passed(dff_ctx_t *ctx, dff_node_t *node, call_t *call, dff_time_t now,
    dff_effects_t *fx)
{
	dff_time_t bound =
	    call->work.arrived_at + OVERTIME_FACTOR * call->cls.whole;

	switch (call->state) {
	case CALL_CLAIMING:
		dff_claims_abandon(ctx, node->claims, call->handle);
		call_refuse(ctx, node, call, 503, "log_slow",
		    DFF_EXECUTION_NOT_RUN, RETRY_LOG_DOWN,
		    "the log did not answer in time", fx);
		return;
	case CALL_WAITING:
		dff_policy_remove_waiting(node->policy, call->handle);
		call_refuse(ctx, node, call, 503, "too_late",
		    call_execution(call), call->cls.first_token,
		    "the time of its class has passed in the queue", fx);
		return;
	case CALL_RUNNING:
		if (call->kind == DFF_CALL_SERVICE)
			return;
		if (now < bound) {
			dff_timers_set(node->timers, DFF_TIMER_CALL_DEADLINE,
			    call->handle, bound);
			return;
		}
		attempt_cancel(ctx, node, call, DFF_ATTEMPT_TIMEOUT, now, fx);
		call_refuse(ctx, node, call, 504, "overtime",
		    call->answer_started ? DFF_EXECUTION_RAN :
					   DFF_EXECUTION_UNKNOWN,
		    0, "the answer took many times the time of its class", fx);
		return;
	}
}

void
call_timer_due(dff_ctx_t *ctx, dff_node_t *node, const dff_timer_t *timer,
    dff_time_t now, dff_effects_t *fx)
{
	call_t *call;

	call = dff_table_get(node->calls, timer->subject);
	if (call != NULL)
		deadline_passed(ctx, node, call, now, fx);
}
