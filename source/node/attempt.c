/*
 * Attempts: each sends one call to one upstream once and has its own id.
 * Events of an attempt that has ended are dropped.
 */
#include "internal.h"

#include <inttypes.h>
#include <string.h>

#define PART "route"

/* Maximum number of attempts of one call. */
#define ATTEMPTS_MAX 5
/* Retry-After if every attempt failed. */
#define RETRY_UPSTREAM_FAILED (1 * DFF_SEC)

static uint64_t
next_attempt(dff_node_t *node)
{
	node->attempt_count++;
	return node->attempt_base | node->attempt_count;
}

static uint64_t
last_incarnation(const dff_node_t *node, const char *vm)
{
	uint64_t *incarnation;

	incarnation = g_hash_table_lookup(node->incarnations, vm);
	return incarnation != NULL ? *incarnation : 0;
}

static dff_time_t
idle_timeout(const dff_node_t *node, const call_t *call)
{
	if (call->kind == DFF_CALL_SERVICE)
		return MAX(node->config.attempt_idle_timeout, call->cls.whole);
	return node->config.attempt_idle_timeout;
}

static void
add_attempt_start(const dff_node_t *node, const call_t *call, const char *addr,
    dff_effects_t *fx)
{
	dff_fx_attempt_start_t *start;

	start = &dff_effects_add(fx, DFF_FX_ATTEMPT_START)->u.attempt_start;
	start->attempt = call->attempt;
	start->call = call->id;
	start->vm = dff_effects_strdup(fx, call->vm);
	start->addr = dff_effects_strdup(fx, addr);
	start->kind = call->kind;
	start->phase = call->phase;
	start->resume_at =
	    DFF_FAULT(RESUME_FROM_START) ? 0 : call->work.delivered;
	start->max_tokens = call->work.max_tokens;
	start->priority = call->cls.priority;
	start->model = dff_effects_strdup(fx, call->model);
	start->idem_key = dff_effects_strdup(fx, call->idem_key);
	start->path = dff_effects_strdup(fx, call->path);
	start->kv_addr = dff_effects_strdup(
	    fx, call->phase == DFF_PHASE_DECODE ? call->kv_addr : "");
	start->kv_attempt = call->kv_attempt;
	start->timeout = idle_timeout(node, call);
}

/* Sends call->phase of the call to call->vm. */
static void
send_phase(dff_ctx_t *ctx, dff_node_t *node, call_t *call, const char *addr,
    uint32_t cached, dff_time_t now, dff_effects_t *fx)
{
	dff_policy_call_t work = call->work;

	call->state = CALL_RUNNING;
	call->attempt = next_attempt(node);
	call->vm_incarnation = last_incarnation(node, call->vm);
	g_hash_table_insert(node->calls_by_attempt,
	    g_memdup2(&call->attempt, sizeof(call->attempt)),
	    g_memdup2(&call->handle, sizeof(call->handle)));
	if (call->phase == DFF_PHASE_PREFILL)
		work.max_tokens = work.delivered;
	dff_policy_begin_attempt(
	    ctx, node->policy, call->attempt, &work, call->vm, cached, now);
	node->counters[DFF_COUNT_ATTEMPTS]++;
	add_attempt_start(node, call, addr, fx);
}

void
attempt_start(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    const dff_decision_t *decision, dff_time_t now, dff_effects_t *fx)
{
	const char *addr = decision->addr;

	call->work.attempts++;
	call->phase = DFF_PHASE_WHOLE;
	(void)dff_name_copy(call->vm, decision->vm);
	if (decision->prefill_vm[0] != '\0') {
		call->phase = DFF_PHASE_PREFILL;
		(void)dff_name_copy(call->vm, decision->prefill_vm);
		(void)dff_name_copy(call->next_vm, decision->vm);
		(void)g_strlcpy(
		    call->next_addr, decision->addr, sizeof(call->next_addr));
		(void)g_strlcpy(call->kv_addr, decision->prefill_addr,
		    sizeof(call->kv_addr));
		addr = decision->prefill_addr;
	}
	if (call->work.delivered > 0)
		node->counters[DFF_COUNT_RESUMES]++;
	dff_log(ctx, DFF_LOG_INFO, PART,
	    "call sent. call=%s-%" PRIu64 " entry=%s owner=%s vm=%s try=%u"
	    " resume_at=%u first_token_ms=%" PRId64 " whole_ms=%" PRId64
	    " cached=%u %s",
	    node->config.id, call->id, call->entry, call->owner, call->vm,
	    call->work.attempts, call->work.delivered,
	    decision->first_token / DFF_MSEC, decision->total_time / DFF_MSEC,
	    decision->cached_tokens, decision->reason);
	send_phase(ctx, node, call, addr, decision->cached_tokens, now, fx);
}

/* Ends the attempt in progress; later events of it are dropped. */
static void
finish_attempt(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    dff_attempt_outcome_t outcome, const dff_ev_attempt_end_t *usage,
    dff_time_t now)
{
	dff_policy_end_attempt(
	    ctx, node->policy, call->attempt, outcome, usage, now);
	g_hash_table_remove(node->calls_by_attempt, &call->attempt);
	call->attempt = 0;
}

void
attempt_cancel(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    dff_attempt_outcome_t outcome, dff_time_t now, dff_effects_t *fx)
{
	if (call->attempt == 0)
		return;
	dff_effects_add(fx, DFF_FX_ATTEMPT_CANCEL)->u.attempt_cancel.attempt =
	    call->attempt;
	finish_attempt(ctx, node, call, outcome, NULL, now);
}

/*
 * After an attempt without a complete answer: dispatches the call again,
 * avoiding its last upstream, or ends it with an error.
 */
static void
retry_or_fail(dff_ctx_t *ctx, dff_node_t *node, call_t *call, dff_time_t now,
    dff_effects_t *fx)
{
	if (call->disconnected) {
		if (call->claimed)
			dff_claims_finish(ctx, node->claims, call->key,
			    call->ever_sent ? DFF_CLAIM_UNKNOWN :
					      DFF_CLAIM_NOT_EXECUTED,
			    NULL, now, fx);
		call_close(node, call);
		return;
	}
	if (call->ever_sent && !call->may_repeat &&
	    !DFF_FAULT(RETRY_AFTER_SEND)) {
		call_refuse(ctx, node, call, 504, "outcome_unknown",
		    DFF_EXECUTION_UNKNOWN, 0,
		    "the upstream did not answer; the call may have run", fx);
		return;
	}
	if (call->work.attempts >= ATTEMPTS_MAX) {
		call_refuse(ctx, node, call, 502, "upstream_failed",
		    call_execution(call), RETRY_UPSTREAM_FAILED,
		    "every upstream that was tried failed", fx);
		return;
	}
	(void)dff_name_copy(call->work.avoid_vm, call->vm);
	call_dispatch(ctx, node, call, now, fx);
}

static void
count_late_event(dff_node_t *node)
{
	node->counters[DFF_COUNT_LATE_EVENTS]++;
}

static void
start_answer(call_t *call, dff_effects_t *fx)
{
	if (call->answer_started)
		return;
	call->answer_started = true;
	dff_effects_add(fx, DFF_FX_CALL_BEGIN)->u.call_begin.call = call->id;
}

/* An engine sent something that does not continue the delivered answer. */
static void
reject_answer(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    const char *problem, dff_time_t now, dff_effects_t *fx)
{
	dff_log(ctx, DFF_LOG_WARNING, PART,
	    "answer does not fit. call=%s-%" PRIu64 " vm=%s delivered=%u %s",
	    node->config.id, call->id, call->vm, call->work.delivered, problem);
	call->ever_sent = true;
	attempt_cancel(ctx, node, call, DFF_ATTEMPT_BROKEN, now, fx);
	retry_or_fail(ctx, node, call, now, fx);
}

void
attempt_tokens(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_attempt_tokens_t *ev, dff_time_t now, dff_effects_t *fx)
{
	dff_fx_call_tokens_t *tokens;
	call_t *call;

	call = call_by_attempt(node, ev->attempt);
	if (call == NULL) {
		count_late_event(node);
		return;
	}
	if ((ev->first != call->work.delivered &&
		!DFF_FAULT(TOKENS_UNCHECKED)) ||
	    ev->count > call->work.max_tokens - call->work.delivered) {
		reject_answer(ctx, node, call,
		    "unexpected token index or count", now, fx);
		return;
	}
	call->ever_sent = true;
	start_answer(call, fx);
	dff_policy_add_tokens(ctx, node->policy, ev->attempt, ev->count, now);
	call->work.delivered += ev->count;
	node->counters[DFF_COUNT_TOKENS] += ev->count;
	tokens = &dff_effects_add(fx, DFF_FX_CALL_TOKENS)->u.call_tokens;
	tokens->call = call->id;
	tokens->first = ev->first;
	tokens->count = ev->count;
	tokens->text = dff_effects_copy(fx, ev->text, ev->len);
	tokens->len = ev->len;
}

/* The KV cache is ready at the prefill engine: starts the decode phase. */
static void
prefill_done(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    const dff_ev_attempt_end_t *ev, dff_time_t now, dff_effects_t *fx)
{
	call->kv_attempt = call->attempt;
	finish_attempt(ctx, node, call, DFF_ATTEMPT_DONE, ev, now);
	call->phase = DFF_PHASE_DECODE;
	(void)dff_name_copy(call->vm, call->next_vm);
	dff_log(ctx, DFF_LOG_INFO, PART,
	    "prefill handed over. call=%s-%" PRIu64 " vm=%s kv_from=%s",
	    node->config.id, call->id, call->vm, call->kv_addr);
	send_phase(ctx, node, call, call->next_addr, call->work.prompt_tokens,
	    now, fx);
}

void
attempt_end(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_attempt_end_t *ev,
    dff_time_t now, dff_effects_t *fx)
{
	dff_fx_call_end_t *end;
	call_t *call;

	call = call_by_attempt(node, ev->attempt);
	if (call == NULL) {
		count_late_event(node);
		return;
	}
	if (call->phase == DFF_PHASE_PREFILL) {
		prefill_done(ctx, node, call, ev, now, fx);
		return;
	}
	if (ev->output_tokens != call->work.delivered &&
	    !DFF_FAULT(TOKENS_UNCHECKED)) {
		reject_answer(ctx, node, call,
		    "token count at the end differs from the tokens delivered",
		    now, fx);
		return;
	}
	start_answer(call, fx);
	poison_clear(node->poison, call->work.body_hash);
	finish_attempt(ctx, node, call, DFF_ATTEMPT_DONE, ev, now);
	node->counters[DFF_COUNT_DONE]++;
	end = &dff_effects_add(fx, DFF_FX_CALL_END)->u.call_end;
	end->call = call->id;
	end->finish = ev->finish;
	end->prompt_tokens = ev->prompt_tokens;
	end->cached_tokens = ev->cached_tokens;
	end->output_tokens = ev->output_tokens;
	dff_log(ctx, DFF_LOG_INFO, "call",
	    "call done. call=%s-%" PRIu64 " entry=%s vm=%s tokens=%u"
	    " took_ms=%" PRId64,
	    node->config.id, call->id, call->entry, call->vm, ev->output_tokens,
	    (now - call->work.arrived_at) / DFF_MSEC);
	call_close(node, call);
}

static void
add_reply(
    const call_t *call, const dff_ev_attempt_reply_t *ev, dff_effects_t *fx)
{
	dff_fx_call_reply_t *reply;

	reply = &dff_effects_add(fx, DFF_FX_CALL_REPLY)->u.call_reply;
	reply->call = call->id;
	reply->status = ev->status;
	reply->content_type = dff_effects_strdup(fx, ev->content_type);
	reply->body = dff_effects_copy(fx, ev->body, ev->len);
	reply->len = ev->len;
}

void
attempt_reply(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_attempt_reply_t *ev, dff_time_t now, dff_effects_t *fx)
{
	dff_claim_answer_t answer = {
	    ev->status, ev->content_type, ev->body, ev->len};
	call_t *call;

	call = call_by_attempt(node, ev->attempt);
	if (call == NULL) {
		count_late_event(node);
		return;
	}
	finish_attempt(ctx, node, call, DFF_ATTEMPT_DONE, NULL, now);
	if (call->claimed) {
		dff_claims_finish(ctx, node->claims, call->key,
		    DFF_CLAIM_REPLAYED, &answer, now, fx);
		call->claimed = false;
	}
	node->counters[DFF_COUNT_DONE]++;
	if (!call->disconnected)
		add_reply(call, ev, fx);
	dff_log(ctx, DFF_LOG_INFO, "call",
	    "call done. call=%s-%" PRIu64 " entry=%s vm=%s status=%d"
	    " took_ms=%" PRId64,
	    node->config.id, call->id, call->entry, call->vm, ev->status,
	    (now - call->work.arrived_at) / DFF_MSEC);
	call_close(node, call);
}

static dff_attempt_outcome_t
attempt_outcome(dff_attempt_failure_t reason)
{
	switch (reason) {
	case DFF_FAIL_CONNECT:
		return DFF_ATTEMPT_CONNECT_FAILED;
	case DFF_FAIL_REJECTED:
		return DFF_ATTEMPT_REJECTED;
	case DFF_FAIL_BROKEN:
		return DFF_ATTEMPT_BROKEN;
	case DFF_FAIL_TIMEOUT:
		return DFF_ATTEMPT_TIMEOUT;
	case DFF_FAIL_PROTOCOL:
		return DFF_ATTEMPT_BROKEN;
	}
	return DFF_ATTEMPT_BROKEN;
}

/* The connection broke during a request, which may have crashed the engine. */
static void
add_crash(dff_ctx_t *ctx, dff_node_t *node, const call_t *call, dff_time_t now,
    dff_effects_t *fx)
{
	uint64_t process = poison_process_hash(call->vm, call->vm_incarnation);

	if (call->kind != DFF_CALL_MODEL)
		return;
	(void)poison_add_crash(
	    node->poison, call->work.body_hash, process, now);
	dff_log(ctx, DFF_LOG_NOTICE, PART,
	    "request suspected. call=%s-%" PRIu64 " vm=%s crashes=%u",
	    node->config.id, call->id, call->vm,
	    poison_crash_count(node->poison, call->work.body_hash, now));
	peer_report_suspect(ctx, node, call->work.body_hash, process, fx);
}

void
attempt_failed(dff_ctx_t *ctx, dff_node_t *node,
    const dff_ev_attempt_failed_t *ev, dff_time_t now, dff_effects_t *fx)
{
	bool ran;
	call_t *call;

	call = call_by_attempt(node, ev->attempt);
	if (call == NULL) {
		count_late_event(node);
		return;
	}
	ran = ev->sent && ev->reason != DFF_FAIL_REJECTED;
	dff_log(ctx, DFF_LOG_NOTICE, PART,
	    "try failed. call=%s-%" PRIu64 " vm=%s try=%u reason=%s sent=%d",
	    node->config.id, call->id, call->vm, call->work.attempts,
	    dff_attempt_failure_name(ev->reason), ran);
	finish_attempt(ctx, node, call, attempt_outcome(ev->reason), NULL, now);
	if (ran)
		call->ever_sent = true;
	if (ran && ev->reason == DFF_FAIL_BROKEN)
		add_crash(ctx, node, call, now, fx);
	retry_or_fail(ctx, node, call, now, fx);
}
