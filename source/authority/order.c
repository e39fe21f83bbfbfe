/*
 * A change of one engine, in steps: add a drain mark so that no node sends
 * the engine new requests; wait until the engine reports that it runs none;
 * append the order to the log as an intent and read it back; send it; wait
 * until the engine reports the ordered state; record the outcome, which also
 * removes the mark.
 *
 * A node that has not read the mark may still send a request. The order does
 * not interrupt it: an engine refuses an order while requests run or queue,
 * and refuses requests without running them while it is changing.
 *
 * At most one copy of an order is in flight: it is sent again only after the
 * last copy was answered, or has timed out and had no effect.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "authority/internal.h"

static const char *const phase_names[] = {
    "none", "mark", "drain", "intent", "send", "settle", "close", "unmark"};

static bool
loads_weights(dff_order_kind_t kind)
{
	return kind != DFF_ORDER_ROLE;
}

/* Whether a change of the pool that was marked before offset @before loads
 * weights. The weight store is rate-limited, so only one at a time may. */
static bool
pool_loads_weights(
    const dff_authority_t *auth, const char *pool, uint64_t before)
{
	size_t len = strlen(pool);

	if (DFF_FAULT(POOL_UNCHECKED))
		return false;
	for (GTreeNode *node = g_tree_node_first(auth->state.marks);
	     node != NULL; node = g_tree_node_next(node)) {
		const drain_mark_t *mark = g_tree_node_value(node);

		if (mark->loads_weights && mark->offset < before &&
		    strncmp(mark->shard, pool, len) == 0 &&
		    mark->shard[len] == '@')
			return true;
	}
	return false;
}

/*
 * Whether the engine would ignore a copy of an order that a former holder
 * may still send: the engine has already received that order, or it knows a
 * higher fencing number.
 */
static bool
is_copy_ignored(const dff_authority_t *auth, const shard_t *shard,
    const intent_t *intent, const sender_t *sender)
{
	const order_report_t *report;

	if (pool_fencing(auth, shard->pool) == DFF_FENCING_IGNORED)
		return false;
	report = g_hash_table_lookup(auth->order_reports, intent->vm);
	return report != NULL &&
	    (report->fence > sender->fence ||
		report->last_order == intent->order);
}

/* An order of a former holder may still take effect at this engine. */
static bool
may_get_late_order(
    const dff_authority_t *auth, const shard_t *shard, const char *vm)
{
	if (DFF_FAULT(NO_HOLD_BACK))
		return false;
	for (guint i = 0; i < auth->state.intents->len; i++) {
		const intent_t *intent =
		    g_ptr_array_index(auth->state.intents, i);

		if (intent->open || strcmp(intent->vm, vm) != 0)
			continue;
		for (guint k = 0; k < intent->senders->len; k++) {
			if (!is_copy_ignored(auth, shard, intent,
				&g_array_index(intent->senders, sender_t, k)))
				return true;
		}
	}
	return false;
}

int
change_may_start(const dff_authority_t *auth, const shard_t *shard,
    const dff_vm_t *vm, dff_order_kind_t kind, dff_time_t now)
{
	if (!lease_valid(auth, shard, now) || auth->stopping)
		return -EPERM;
	if (shard->change.phase != CHANGE_NONE ||
	    authority_state_shard_mark(&auth->state, shard->name) != NULL ||
	    authority_state_open_order(&auth->state, shard->name) != NULL)
		return -EBUSY;
	if (loads_weights(kind) &&
	    pool_loads_weights(auth, shard->pool, UINT64_MAX))
		return -EBUSY;
	if (may_get_late_order(auth, shard, vm->id))
		return -EBUSY;
	return 0;
}

static void
enter_phase(dff_ctx_t *ctx, const dff_authority_t *auth, shard_t *shard,
    change_phase_t phase, dff_time_t now)
{
	change_t *change = &shard->change;

	dff_log(ctx, DFF_LOG_INFO, "order",
	    "change enters its next phase. vm=%s kind=%s target=%s "
	    "from=%s to=%s order=%" G_GUINT64_FORMAT,
	    change->vm, dff_order_kind_name(change->kind), change->target,
	    phase_names[change->phase], phase_names[phase], change->order);
	change->phase = phase;
	change->next_append_at = now;
	change->next_ask_at = now;
	change->problem_since = DFF_TIME_NEVER;
	change->deadline = now + auth->config.drain_timeout;
}

void
change_start(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_vm_t *vm, dff_order_kind_t kind, const char *target,
    dff_time_t now, dff_effects_t *fx)
{
	change_t *change = &shard->change;

	memset(change, 0, sizeof(*change));
	(void)dff_name_copy(change->vm, vm->id);
	g_strlcpy(change->addr, vm->addr, sizeof(change->addr));
	change->kind = kind;
	(void)dff_name_copy(change->target, target);
	enter_phase(ctx, auth, shard, CHANGE_MARK, now);
	change_step(ctx, auth, shard, now, fx);
}

static void
end_change(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const char *result, dff_time_t now)
{
	change_t *change = &shard->change;

	dff_log(ctx, DFF_LOG_NOTICE, "order",
	    "change ended. vm=%s kind=%s target=%s order=%" G_GUINT64_FORMAT
	    " outcome=%s",
	    change->vm, dff_order_kind_name(change->kind), change->target,
	    change->order, result);
	if (change->outcome != OUTCOME_DONE) {
		dff_time_t retry_at = now +
		    (change->yielded ? YIELD_RETRY_DELAY : CHANGE_RETRY_DELAY);

		g_hash_table_insert(auth->retry_at, g_strdup(change->vm),
		    g_memdup2(&retry_at, sizeof(retry_at)));
	}
	memset(change, 0, sizeof(*change));
}

void
change_lease_lost(dff_ctx_t *ctx, shard_t *shard)
{
	change_t *change = &shard->change;

	if (change->phase == CHANGE_NONE)
		return;
	dff_log(ctx, DFF_LOG_NOTICE, "order",
	    "change left to the next holder. vm=%s order=%" G_GUINT64_FORMAT
	    " phase=%s",
	    change->vm, change->order, phase_names[change->phase]);
	memset(change, 0, sizeof(*change));
}

static void
close_change(dff_ctx_t *ctx, const dff_authority_t *auth, shard_t *shard,
    order_outcome_t outcome, dff_time_t now)
{
	shard->change.outcome = outcome;
	enter_phase(ctx, auth, shard, CHANGE_CLOSE, now);
}

/* ---- unfinished changes of former holders ---- */

/* Continues an order without outcome, unchanged, whichever process wrote it. */
static void
adopt_order(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const intent_t *intent, dff_time_t now)
{
	change_t *change = &shard->change;
	const lease_t *lease = authority_state_lease(&auth->state, shard->name);
	const dff_vm_t *vm = find_vm(auth, intent->vm);

	(void)dff_name_copy(change->vm, intent->vm);
	if (vm != NULL)
		g_strlcpy(change->addr, vm->addr, sizeof(change->addr));
	change->kind = intent->kind;
	(void)dff_name_copy(change->target, intent->target);
	change->vm_incarnation = intent->vm_incarnation;
	change->order = intent->order;
	change->min_asked_at = now;
	/* An intent of this lease that reached the log after its change was
	 * given up was never sent. */
	if (intent->writer.fence == lease->fence &&
	    g_hash_table_lookup(auth->sent_orders, &intent->order) == NULL) {
		close_change(ctx, auth, shard, OUTCOME_CANCELLED, now);
		return;
	}
	if (DFF_FAULT(SUCCESSOR_CANCELS)) {
		close_change(ctx, auth, shard, OUTCOME_CANCELLED, now);
		return;
	}
	enter_phase(ctx, auth, shard, CHANGE_DRAIN, now);
	change->drain_deadline = change->deadline;
}

static void
adopt_change(
    dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard, dff_time_t now)
{
	const intent_t *open =
	    authority_state_open_order(&auth->state, shard->name);
	const drain_mark_t *mark;

	if (open != NULL) {
		adopt_order(ctx, auth, shard, open, now);
		return;
	}
	/* For a mark without an intent, no order can have been sent. */
	mark = authority_state_shard_mark(&auth->state, shard->name);
	if (mark == NULL)
		return;
	(void)dff_name_copy(shard->change.vm, mark->vm);
	enter_phase(ctx, auth, shard, CHANGE_UNMARK, now);
}

/* ---- steps ---- */

static const lease_t *
own_lease(const dff_authority_t *auth, const shard_t *shard)
{
	return authority_state_lease(&auth->state, shard->name);
}

static void
append_mark_record(dff_authority_t *auth, shard_t *shard, bool on,
    uint64_t mark, dff_time_t now, dff_effects_t *fx)
{
	Dff__DrainMark body = DFF__DRAIN_MARK__INIT;

	if (now < shard->change.next_append_at)
		return;
	body.shard = shard->name;
	body.fence = own_lease(auth, shard)->fence;
	body.vm = shard->change.vm;
	body.on = on;
	body.mark = mark;
	body.weights = loads_weights(shard->change.kind);
	(void)append_mark(auth, &body, now, fx);
	shard->change.next_append_at = now + append_retry_delay(auth);
}

static void
step_mark(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard, dff_time_t now,
    dff_effects_t *fx)
{
	change_t *change = &shard->change;
	const drain_mark_t *mark =
	    authority_state_engine_mark(&auth->state, change->vm);

	if (mark != NULL) {
		/* Of two changes in a pool, the earlier continues. */
		if (mark->loads_weights &&
		    pool_loads_weights(auth, shard->pool, mark->offset)) {
			change->yielded = true;
			enter_phase(ctx, auth, shard, CHANGE_UNMARK, now);
			return;
		}
		enter_phase(ctx, auth, shard, CHANGE_DRAIN, now);
		change->drain_deadline = change->deadline;
		change->next_ask_at = now + MARK_PROPAGATION_TIME;
		change->min_asked_at = now + MARK_PROPAGATION_TIME;
		return;
	}
	if (now >= change->deadline || auth->stopping) {
		end_change(ctx, auth, shard, "not_marked", now);
		return;
	}
	append_mark_record(auth, shard, true, 0, now, fx);
}

static void
query_engine(const change_t *change, dff_effects_t *fx)
{
	dff_effect_t *effect = dff_effects_add(fx, DFF_FX_ENGINE_QUERY);

	effect->u.engine_query.vm = dff_effects_strdup(fx, change->vm);
	effect->u.engine_query.addr = dff_effects_strdup(fx, change->addr);
}

/*
 * Whether a copy that a former holder may still send could take effect at an
 * engine that checks fencing numbers. The engine then gets the unchanged
 * order again from this holder, so that it knows the new number and refuses
 * all late copies.
 */
static bool
must_raise_fence(const dff_authority_t *auth, const shard_t *shard)
{
	const intent_t *intent =
	    authority_state_order(&auth->state, shard->change.order);
	const order_report_t *report =
	    g_hash_table_lookup(auth->order_reports, shard->change.vm);

	if (intent == NULL || intent->senders->len < 2 ||
	    DFF_FAULT(NUMBER_NOT_RAISED) ||
	    pool_fencing(auth, shard->pool) == DFF_FENCING_IGNORED ||
	    find_vm(auth, shard->change.vm) == NULL)
		return false;
	return report == NULL || report->fence < own_lease(auth, shard)->fence;
}

/* Gives up waiting for an engine to drain. */
static void
give_up_drain(
    dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard, dff_time_t now)
{
	change_t *change = &shard->change;

	if (change->order == 0) {
		enter_phase(ctx, auth, shard, CHANGE_UNMARK, now);
		return;
	}
	if (must_raise_fence(auth, shard)) {
		change->drain_deadline = now + auth->config.drain_timeout;
		return;
	}
	if (order_in_flight(auth, change->order, now))
		return;
	close_change(ctx, auth, shard,
	    change->problem_since == DFF_TIME_NEVER ? OUTCOME_BUSY :
						      OUTCOME_UNREACHABLE,
	    now);
}

static void
step_drain(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    dff_time_t now, dff_effects_t *fx)
{
	change_t *change = &shard->change;

	if (now >= change->drain_deadline ||
	    (auth->stopping && change->order == 0)) {
		give_up_drain(ctx, auth, shard, now);
		return;
	}
	if (now < change->next_ask_at)
		return;
	query_engine(change, fx);
	change->next_ask_at = now + CHANGE_POLL_INTERVAL;
}

/* The open intent belongs to this change and not to an earlier one. */
static bool
is_own_intent(const change_t *change, const intent_t *open)
{
	return change->intent_sequence != 0 &&
	    open->sequence == change->intent_sequence;
}

static void
step_intent(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    dff_time_t now, dff_effects_t *fx)
{
	change_t *change = &shard->change;
	const intent_t *open =
	    authority_state_open_order(&auth->state, shard->name);
	Dff__OrderIntent body = DFF__ORDER_INTENT__INIT;

	if (open != NULL && !is_own_intent(change, open)) {
		/* adopt_order() cancels the open order. */
		end_change(ctx, auth, shard, "overtaken", now);
		return;
	}
	if (open != NULL) {
		change->order = open->order;
		if (auth->stopping)
			close_change(ctx, auth, shard, OUTCOME_CANCELLED, now);
		else
			enter_phase(ctx, auth, shard, CHANGE_SEND, now);
		return;
	}
	if (now >= change->deadline) {
		/* adopt_order() cancels an intent that is logged later. */
		enter_phase(ctx, auth, shard, CHANGE_UNMARK, now);
		return;
	}
	if (change->intent_sequence != 0 || now < change->next_append_at)
		return;
	body.shard = shard->name;
	body.fence = own_lease(auth, shard)->fence;
	body.vm = change->vm;
	body.vm_incarnation = change->vm_incarnation;
	body.kind = change->kind;
	body.target = change->target;
	change->intent_sequence = append_intent(auth, &body, now, fx);
}

static void
send_order(
    dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard, dff_effects_t *fx)
{
	change_t *change = &shard->change;
	sent_order_t *sent_order = g_new0(sent_order_t, 1);
	dff_effect_t *effect;

	sent_order->order = change->order;
	g_hash_table_replace(auth->sent_orders, &sent_order->order, sent_order);
	effect = dff_effects_add(fx, DFF_FX_ORDER_SEND);
	effect->u.order_send.order = change->order;
	effect->u.order_send.vm = dff_effects_strdup(fx, change->vm);
	effect->u.order_send.addr = dff_effects_strdup(fx, change->addr);
	effect->u.order_send.kind = change->kind;
	effect->u.order_send.target = dff_effects_strdup(fx, change->target);
	effect->u.order_send.fence = own_lease(auth, shard)->fence;
	change->awaiting_answer = true;
	dff_log(ctx, DFF_LOG_NOTICE, "order",
	    "order sent. vm=%s kind=%s target=%s order=%" G_GUINT64_FORMAT
	    " fence=%" G_GUINT64_FORMAT,
	    change->vm, dff_order_kind_name(change->kind), change->target,
	    change->order, own_lease(auth, shard)->fence);
}

static void
step_send(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard, dff_time_t now,
    dff_effects_t *fx)
{
	if (shard->change.awaiting_answer)
		return;
	if (now - shard->change.drained_at > DRAINED_MAX_AGE)
		enter_phase(ctx, auth, shard, CHANGE_DRAIN, now);
	else
		send_order(ctx, auth, shard, fx);
}

static void
step_settle(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    dff_time_t now, dff_effects_t *fx)
{
	change_t *change = &shard->change;

	if (now >= change->deadline) {
		close_change(ctx, auth, shard, OUTCOME_UNREACHABLE, now);
		return;
	}
	if (now < change->next_ask_at)
		return;
	query_engine(change, fx);
	change->next_ask_at = now + CHANGE_POLL_INTERVAL;
}

/*
 * Whether this process's own copy may still arrive. If the intent was written
 * under the current lease, all copies are this process's, and an engine that
 * reports the order has received the last one. Otherwise the engine may have
 * received a former holder's copy.
 */
static bool
own_copy_in_flight(const dff_authority_t *auth, const shard_t *shard,
    const intent_t *intent, dff_time_t now)
{
	if (intent->writer.fence == own_lease(auth, shard)->fence ||
	    DFF_FAULT(CLOSE_EARLY))
		return false;
	return order_in_flight(auth, intent->order, now);
}

static void
step_close(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    dff_time_t now, dff_effects_t *fx)
{
	change_t *change = &shard->change;
	const intent_t *intent =
	    authority_state_order(&auth->state, change->order);
	Dff__OrderOutcome body = DFF__ORDER_OUTCOME__INIT;

	if (intent == NULL || !intent->open) {
		end_change(
		    ctx, auth, shard, outcome_name(change->outcome), now);
		return;
	}
	if (now < change->next_append_at ||
	    own_copy_in_flight(auth, shard, intent, now))
		return;
	body.shard = shard->name;
	body.fence = own_lease(auth, shard)->fence;
	body.order = change->order;
	body.outcome = change->outcome;
	(void)append_outcome(auth, &body, now, fx);
	change->next_append_at = now + append_retry_delay(auth);
}

static void
step_unmark(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    dff_time_t now, dff_effects_t *fx)
{
	const drain_mark_t *mark =
	    authority_state_shard_mark(&auth->state, shard->name);

	/* If the intent reached the log, adopt_order() cancels it. */
	if (mark == NULL ||
	    authority_state_open_order(&auth->state, shard->name) != NULL) {
		end_change(ctx, auth, shard, "given_up", now);
		return;
	}
	append_mark_record(auth, shard, false, mark->offset, now, fx);
}

void
change_step(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    dff_time_t now, dff_effects_t *fx)
{
	change_phase_t before;

	if (!lease_valid(auth, shard, now) && !DFF_FAULT(SEND_LAPSED))
		return;
	/* Some steps are followed by the next one immediately. */
	do {
		before = shard->change.phase;
		switch (before) {
		case CHANGE_NONE:
			adopt_change(ctx, auth, shard, now);
			break;
		case CHANGE_MARK:
			step_mark(ctx, auth, shard, now, fx);
			break;
		case CHANGE_DRAIN:
			step_drain(ctx, auth, shard, now, fx);
			break;
		case CHANGE_INTENT:
			step_intent(ctx, auth, shard, now, fx);
			break;
		case CHANGE_SEND:
			step_send(ctx, auth, shard, now, fx);
			break;
		case CHANGE_SETTLE:
			step_settle(ctx, auth, shard, now, fx);
			break;
		case CHANGE_CLOSE:
			step_close(ctx, auth, shard, now, fx);
			break;
		case CHANGE_UNMARK:
			step_unmark(ctx, auth, shard, now, fx);
			break;
		}
	} while (shard->change.phase != before);
}

/* ---- answers of the engine ---- */

static bool
reports_target(const change_t *change, const dff_ev_engine_state_t *state)
{
	switch (change->kind) {
	case DFF_ORDER_ROLE:
		return (int)state->role == dff_role_parse(change->target);
	case DFF_ORDER_MODEL:
		return strcmp(state->model, change->target) == 0;
	case DFF_ORDER_ADAPTER:
		return strcmp(state->adapter, change->target) == 0;
	case DFF_ORDER_VERSION:
		return state->version == strtoul(change->target, NULL, 10);
	}
	return false;
}

/*
 * Handles an engine state after the order was written: whether the engine
 * received it, and whether its process is still the same. Returns false if
 * the order remains to be sent.
 */
static bool
check_order(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_engine_state_t *state, dff_time_t now)
{
	change_t *change = &shard->change;

	if (state->last_order == change->order) {
		enter_phase(ctx, auth, shard, CHANGE_SETTLE, now);
		return true;
	}
	/* With bytes in flight, the order may arrive after this state. */
	if (order_in_flight(auth, change->order, state->sent_at) &&
	    !DFF_FAULT(RESEND_EARLY))
		return true;
	if (state->incarnation == change->vm_incarnation)
		return false;
	change->vm_incarnation = state->incarnation;
	if (must_raise_fence(auth, shard))
		return false;
	close_change(ctx, auth, shard, OUTCOME_CRASHED, now);
	return true;
}

static void
handle_drain_state(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_engine_state_t *state, dff_time_t now)
{
	change_t *change = &shard->change;

	if (!state->ok) {
		change->problem_since = MIN(change->problem_since, now);
		return;
	}
	change->problem_since = DFF_TIME_NEVER;
	if (state->sent_at < change->min_asked_at)
		return;
	if (change->order != 0 && check_order(ctx, auth, shard, state, now))
		return;
	if (state->reconfiguring)
		return;
	if (reports_target(change, state) && !must_raise_fence(auth, shard)) {
		if (change->order == 0)
			enter_phase(ctx, auth, shard, CHANGE_UNMARK, now);
		else
			close_change(ctx, auth, shard, OUTCOME_DONE, now);
		return;
	}
	if (change->order == 0 && may_get_late_order(auth, shard, change->vm)) {
		enter_phase(ctx, auth, shard, CHANGE_UNMARK, now);
		return;
	}
	if (state->running > 0 && !DFF_FAULT(NO_DRAIN))
		return;
	change->drained_at = now;
	if (change->order != 0) {
		enter_phase(ctx, auth, shard, CHANGE_SEND, now);
		return;
	}
	change->vm_incarnation = state->incarnation;
	enter_phase(ctx, auth, shard, CHANGE_INTENT, now);
}

static void
handle_settle_state(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_engine_state_t *state, dff_time_t now)
{
	change_t *change = &shard->change;

	if (!state->ok || state->sent_at < change->min_asked_at)
		return;
	change->deadline = now + auth->config.drain_timeout;
	if (state->incarnation != change->vm_incarnation) {
		change->vm_incarnation = state->incarnation;
		if (must_raise_fence(auth, shard))
			enter_phase(ctx, auth, shard, CHANGE_DRAIN, now);
		else
			close_change(ctx, auth, shard, OUTCOME_CRASHED, now);
		return;
	}
	if (state->reconfiguring) {
		change->problem_since = DFF_TIME_NEVER;
		return;
	}
	if (reports_target(change, state)) {
		close_change(ctx, auth, shard, OUTCOME_DONE, now);
		return;
	}
	change->problem_since = MIN(change->problem_since, now);
	if (now - change->problem_since >= SETTLE_GRACE)
		close_change(ctx, auth, shard, OUTCOME_FAILED, now);
}

void
change_engine_state(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_engine_state_t *state, dff_time_t now, dff_effects_t *fx)
{
	if (shard->change.phase == CHANGE_DRAIN)
		handle_drain_state(ctx, auth, shard, state, now);
	else if (shard->change.phase == CHANGE_SETTLE)
		handle_settle_state(ctx, auth, shard, state, now);
	else
		return;
	change_step(ctx, auth, shard, now, fx);
}

/* The engine knows a higher fencing number: either this process has lost its
 * lease, or the engine belongs to another fleet. The stream shows which. */
static void
handle_fenced(
    dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard, dff_time_t now)
{
	change_t *change = &shard->change;

	change->fenced_count++;
	if (change->fenced_count > 1) {
		close_change(ctx, auth, shard, OUTCOME_REFUSED, now);
		return;
	}
	shard->lease_valid_until = 0;
	enter_phase(ctx, auth, shard, CHANGE_DRAIN, now);
}

void
change_order_answer(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_order_answer_t *ev, dff_time_t now, dff_effects_t *fx)
{
	change_t *change = &shard->change;

	if (change->phase != CHANGE_SEND || change->order != ev->order)
		return;
	change->awaiting_answer = false;
	switch (ev->answer) {
	case DFF_ORDER_ACCEPTED:
		enter_phase(ctx, auth, shard, CHANGE_SETTLE, now);
		change->min_asked_at = now;
		break;
	case DFF_ORDER_FENCED:
		handle_fenced(ctx, auth, shard, now);
		break;
	case DFF_ORDER_REFUSED:
		close_change(ctx, auth, shard, OUTCOME_REFUSED, now);
		break;
	case DFF_ORDER_UNKNOWN:
		if (DFF_FAULT(UNKNOWN_IS_FAILED)) {
			close_change(ctx, auth, shard, OUTCOME_FAILED, now);
			break;
		}
		enter_phase(ctx, auth, shard, CHANGE_DRAIN, now);
		change->drain_deadline += auth->config.tcp_timeout;
		break;
	case DFF_ORDER_BUSY:
	case DFF_ORDER_NOT_SENT:
		enter_phase(ctx, auth, shard, CHANGE_DRAIN, now);
		change->next_ask_at = now + CHANGE_POLL_INTERVAL;
		break;
	}
	change_step(ctx, auth, shard, now, fx);
}

void
change_append_refused(shard_t *shard, const append_t *append, dff_time_t now)
{
	change_t *change = &shard->change;

	/* The append had no effect, so the intent may be appended again. */
	if (append->kind == APPEND_INTENT &&
	    append->sequence == change->intent_sequence)
		change->intent_sequence = 0;
	change->next_append_at =
	    MAX(change->next_append_at, now + CHANGE_POLL_INTERVAL);
}
