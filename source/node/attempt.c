/*
 * Tries: one call sent to one upstream once. Each try has its own number;
 * what comes for an older one is dropped.
 */
#include "parts.h"

#include <inttypes.h>
#include <string.h>

#define PART "route"

/* The most tries of one call. */
#define TRIES_MAX 5
/* When to come back if every upstream that was tried failed. */
#define RETRY_UPSTREAM (1 * DFF_SEC)

static uint64_t
next_attempt(dff_node_t *node)
{
	node->attempt_count++;
	return node->attempt_base | node->attempt_count;
}

static uint64_t
process_of(const dff_node_t *node, const char *vm)
{
	uint64_t *incarnation;

	incarnation = g_hash_table_lookup(node->processes, vm);
	return incarnation != NULL ? *incarnation : 0;
}

static dff_time_t
silence_of(const dff_node_t *node, const call_t *call)
{
	if (call->kind == DFF_CALL_SERVICE)
		return MAX(node->config.try_silence, call->cls.whole);
	return node->config.try_silence;
}

static void
add_start(const dff_node_t *node, const call_t *call, const char *addr,
    dff_effects_t *fx)
{
	dff_fx_try_start_t *start;

	start = &dff_effects_add(fx, DFF_FX_TRY_START)->u.try_start;
	start->attempt = call->attempt;
	start->call = call->shell;
	start->vm = dff_effects_text(fx, call->vm);
	start->addr = dff_effects_text(fx, addr);
	start->kind = call->kind;
	start->phase = call->phase;
	start->resume_at =
	    DFF_FAULT(RESUME_FROM_START) ? 0 : call->work.delivered;
	start->max_tokens = call->work.max_tokens;
	start->priority = call->cls.priority;
	start->model = dff_effects_text(fx, call->model);
	start->idem_key = dff_effects_text(fx, call->idem_key);
	start->path = dff_effects_text(fx, call->path);
	start->kv_addr = dff_effects_text(
	    fx, call->phase == DFF_PHASE_DECODE ? call->kv_addr : "");
	start->kv_attempt = call->kv_attempt;
	start->timeout = silence_of(node, call);
}

/* Send the phase that is set in the call to call->vm. */
static void
send_phase(dff_ctx_t *ctx, dff_node_t *node, call_t *call, const char *addr,
    uint32_t cached, dff_time_t now, dff_effects_t *fx)
{
	dff_work_t work = call->work;

	call->state = CALL_RUNNING;
	call->attempt = next_attempt(node);
	call->vm_incarnation = process_of(node, call->vm);
	g_hash_table_insert(node->by_attempt,
	    g_memdup2(&call->attempt, sizeof(call->attempt)),
	    g_memdup2(&call->handle, sizeof(call->handle)));
	if (call->phase == DFF_PHASE_PREFILL)
		work.max_tokens = work.delivered;
	dff_policy_begin(
	    ctx, node->policy, call->attempt, &work, call->vm, cached, now);
	node->counters[DFF_COUNT_TRIES]++;
	add_start(node, call, addr, fx);
}

void
attempt_start(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    const dff_decision_t *decision, dff_time_t now, dff_effects_t *fx)
{
	const char *addr = decision->addr;

	call->work.tries++;
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
	    node->config.id, call->shell, call->entry, call->owner, call->vm,
	    call->work.tries, call->work.delivered,
	    decision->first_token / DFF_MSEC, decision->whole / DFF_MSEC,
	    decision->cached_tokens, decision->why);
	send_phase(ctx, node, call, addr, decision->cached_tokens, now, fx);
}

/* The try under way is over; events of it that still come are old. */
static void
finish_try(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    dff_try_outcome_t outcome, const dff_ev_try_end_t *usage, dff_time_t now)
{
	dff_policy_end(ctx, node->policy, call->attempt, outcome, usage, now);
	g_hash_table_remove(node->by_attempt, &call->attempt);
	call->attempt = 0;
}

void
attempt_cancel(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    dff_try_outcome_t outcome, dff_time_t now, dff_effects_t *fx)
{
	if (call->attempt == 0)
		return;
	dff_effects_add(fx, DFF_FX_TRY_CANCEL)->u.try_cancel.attempt =
	    call->attempt;
	finish_try(ctx, node, call, outcome, NULL, now);
}

/* The try is over without a whole answer: resume elsewhere or give up. */
static void
try_again(dff_ctx_t *ctx, dff_node_t *node, call_t *call, dff_time_t now,
    dff_effects_t *fx)
{
	if (call->gone) {
		if (call->claimed)
			dff_claims_finish(ctx, node->claims, call->key,
			    call->ever_sent ? DFF_CLAIM_UNKNOWN :
					      DFF_CLAIM_DOWN,
			    NULL, now, fx);
		call_close(node, call);
		return;
	}
	if (call->ever_sent && !call->may_repeat &&
	    !DFF_FAULT(RETRY_AFTER_SEND)) {
		call_refuse(ctx, node, call, 504, "outcome_unknown",
		    DFF_RAN_UNKNOWN, 0,
		    "the upstream did not answer; the call may have run", fx);
		return;
	}
	if (call->work.tries >= TRIES_MAX) {
		call_refuse(ctx, node, call, 502, "upstream_failed",
		    call_ran(call), RETRY_UPSTREAM,
		    "every upstream that was tried failed", fx);
		return;
	}
	(void)dff_name_copy(call->work.avoid, call->vm);
	call_offer(ctx, node, call, now, fx);
}

static void
drop_late(dff_node_t *node)
{
	node->counters[DFF_COUNT_LATE_DROPPED]++;
}

static void
begin_answer(call_t *call, dff_effects_t *fx)
{
	if (call->begun)
		return;
	call->begun = true;
	dff_effects_add(fx, DFF_FX_CALL_BEGIN)->u.call_begin.call = call->shell;
}

/* An engine said something that cannot be part of the answer. */
static void
bad_answer(dff_ctx_t *ctx, dff_node_t *node, call_t *call, const char *what,
    dff_time_t now, dff_effects_t *fx)
{
	dff_log(ctx, DFF_LOG_WARNING, PART,
	    "answer does not fit. call=%s-%" PRIu64 " vm=%s delivered=%u %s",
	    node->config.id, call->shell, call->vm, call->work.delivered, what);
	call->ever_sent = true;
	attempt_cancel(ctx, node, call, DFF_TRY_BROKEN, now, fx);
	try_again(ctx, node, call, now, fx);
}

void
attempt_tokens(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_try_tokens_t *ev,
    dff_time_t now, dff_effects_t *fx)
{
	dff_fx_call_tokens_t *tokens;
	call_t *call;

	call = call_of_attempt(node, ev->attempt);
	if (call == NULL) {
		drop_late(node);
		return;
	}
	if ((ev->first != call->work.delivered &&
		!DFF_FAULT(TOKENS_UNCHECKED)) ||
	    ev->count > call->work.max_tokens - call->work.delivered) {
		bad_answer(ctx, node, call, "token out of turn", now, fx);
		return;
	}
	call->ever_sent = true;
	begin_answer(call, fx);
	dff_policy_tokens(ctx, node->policy, ev->attempt, ev->count, now);
	call->work.delivered += ev->count;
	node->counters[DFF_COUNT_TOKENS] += ev->count;
	tokens = &dff_effects_add(fx, DFF_FX_CALL_TOKENS)->u.call_tokens;
	tokens->call = call->shell;
	tokens->first = ev->first;
	tokens->count = ev->count;
	tokens->text = dff_effects_copy(fx, ev->text, ev->len);
	tokens->len = ev->len;
}

/* The KV cache is ready at the prefilling engine: go on at the next. */
static void
prefill_done(dff_ctx_t *ctx, dff_node_t *node, call_t *call,
    const dff_ev_try_end_t *ev, dff_time_t now, dff_effects_t *fx)
{
	call->kv_attempt = call->attempt;
	finish_try(ctx, node, call, DFF_TRY_DONE, ev, now);
	call->phase = DFF_PHASE_DECODE;
	(void)dff_name_copy(call->vm, call->next_vm);
	dff_log(ctx, DFF_LOG_INFO, PART,
	    "prefill handed over. call=%s-%" PRIu64 " vm=%s kv_from=%s",
	    node->config.id, call->shell, call->vm, call->kv_addr);
	send_phase(ctx, node, call, call->next_addr, call->work.prompt_tokens,
	    now, fx);
}

void
attempt_end(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_try_end_t *ev,
    dff_time_t now, dff_effects_t *fx)
{
	dff_fx_call_end_t *end;
	call_t *call;

	call = call_of_attempt(node, ev->attempt);
	if (call == NULL) {
		drop_late(node);
		return;
	}
	if (call->phase == DFF_PHASE_PREFILL) {
		prefill_done(ctx, node, call, ev, now, fx);
		return;
	}
	if (ev->output_tokens != call->work.delivered &&
	    !DFF_FAULT(TOKENS_UNCHECKED)) {
		bad_answer(ctx, node, call, "end out of turn", now, fx);
		return;
	}
	begin_answer(call, fx);
	poison_clear(node->poison, call->work.body_hash);
	finish_try(ctx, node, call, DFF_TRY_DONE, ev, now);
	node->counters[DFF_COUNT_DONE]++;
	end = &dff_effects_add(fx, DFF_FX_CALL_END)->u.call_end;
	end->call = call->shell;
	end->finish = ev->finish;
	end->prompt_tokens = ev->prompt_tokens;
	end->cached_tokens = ev->cached_tokens;
	end->output_tokens = ev->output_tokens;
	dff_log(ctx, DFF_LOG_INFO, "call",
	    "call done. call=%s-%" PRIu64 " entry=%s vm=%s tokens=%u"
	    " took_ms=%" PRId64,
	    node->config.id, call->shell, call->entry, call->vm,
	    ev->output_tokens, (now - call->work.arrived) / DFF_MSEC);
	call_close(node, call);
}

static void
give_reply(const call_t *call, const dff_ev_try_reply_t *ev, dff_effects_t *fx)
{
	dff_fx_call_reply_t *reply;

	reply = &dff_effects_add(fx, DFF_FX_CALL_REPLY)->u.call_reply;
	reply->call = call->shell;
	reply->status = ev->status;
	reply->content_type = dff_effects_text(fx, ev->content_type);
	reply->body = dff_effects_copy(fx, ev->body, ev->len);
	reply->len = ev->len;
}

void
attempt_reply(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_try_reply_t *ev,
    dff_time_t now, dff_effects_t *fx)
{
	dff_claim_answer_t answer = {
	    ev->status, ev->content_type, ev->body, ev->len};
	call_t *call;

	call = call_of_attempt(node, ev->attempt);
	if (call == NULL) {
		drop_late(node);
		return;
	}
	finish_try(ctx, node, call, DFF_TRY_DONE, NULL, now);
	if (call->claimed) {
		dff_claims_finish(ctx, node->claims, call->key,
		    DFF_CLAIM_REPEATED, &answer, now, fx);
		call->claimed = false;
	}
	node->counters[DFF_COUNT_DONE]++;
	if (!call->gone)
		give_reply(call, ev, fx);
	dff_log(ctx, DFF_LOG_INFO, "call",
	    "call done. call=%s-%" PRIu64 " entry=%s vm=%s status=%d"
	    " took_ms=%" PRId64,
	    node->config.id, call->shell, call->entry, call->vm, ev->status,
	    (now - call->work.arrived) / DFF_MSEC);
	call_close(node, call);
}

static dff_try_outcome_t
outcome_of(dff_try_fail_t reason)
{
	switch (reason) {
	case DFF_FAIL_CONNECT:
		return DFF_TRY_CONNECT;
	case DFF_FAIL_REJECTED:
		return DFF_TRY_REJECTED;
	case DFF_FAIL_BROKEN:
		return DFF_TRY_BROKEN;
	case DFF_FAIL_TIMEOUT:
		return DFF_TRY_TIMEOUT;
	case DFF_FAIL_PROTOCOL:
		return DFF_TRY_BROKEN;
	}
	return DFF_TRY_BROKEN;
}

/* An engine broke off under a request: it may have crashed by it. */
static void
note_break(dff_ctx_t *ctx, dff_node_t *node, const call_t *call, dff_time_t now,
    dff_effects_t *fx)
{
	uint64_t process = poison_process(call->vm, call->vm_incarnation);

	if (call->kind != DFF_CALL_MODEL)
		return;
	(void)poison_note_broken(
	    node->poison, call->work.body_hash, process, now);
	dff_log(ctx, DFF_LOG_NOTICE, PART,
	    "request suspected. call=%s-%" PRIu64 " vm=%s crashes=%u",
	    node->config.id, call->shell, call->vm,
	    poison_crashes(node->poison, call->work.body_hash, now));
	peer_tell_suspect(ctx, node, call->work.body_hash, process, fx);
}

void
attempt_failed(dff_ctx_t *ctx, dff_node_t *node, const dff_ev_try_failed_t *ev,
    dff_time_t now, dff_effects_t *fx)
{
	bool ran;
	call_t *call;

	call = call_of_attempt(node, ev->attempt);
	if (call == NULL) {
		drop_late(node);
		return;
	}
	ran = ev->sent && ev->reason != DFF_FAIL_REJECTED;
	dff_log(ctx, DFF_LOG_NOTICE, PART,
	    "try failed. call=%s-%" PRIu64 " vm=%s try=%u reason=%s sent=%d",
	    node->config.id, call->shell, call->vm, call->work.tries,
	    dff_try_fail_name(ev->reason), ran);
	finish_try(ctx, node, call, outcome_of(ev->reason), NULL, now);
	if (ran)
		call->ever_sent = true;
	if (ran && ev->reason == DFF_FAIL_BROKEN)
		note_break(ctx, node, call, now, fx);
	try_again(ctx, node, call, now, fx);
}
