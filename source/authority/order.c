/*
 * A change of one engine, step by step: mark it so that no node sends it
 * new work; wait until it says itself that it runs nothing; write the order
 * to the log as an intent and read it back; send it; wait until the engine
 * shows what was ordered; record the outcome, which ends the mark as well.
 *
 * A node that cannot hear the mark may still send a request. It is not cut:
 * an engine refuses an order while requests run or queue there, and a
 * request that comes to an engine that is away is refused unrun.
 *
 * One copy of an order is under way at most: it is sent again only when the
 * last copy was answered, or has timed out and did not take effect.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "authority/parts.h"

static const char *const phase_names[] = {
    "none", "mark", "drain", "intent", "send", "settle", "close", "unmark"};

static bool
loads_weights(dff_order_kind_t kind)
{
	return kind != DFF_ORDER_ROLE;
}

/* A change that loads weights goes on elsewhere in the pool since before
 * offset @before; the weight store is rate-limited. */
static bool
pool_loads(const dff_authority_t *auth, const char *pool, uint64_t before)
{
	size_t len = strlen(pool);

	if (DFF_FAULT(POOL_UNCHECKED))
		return false;
	for (GTreeNode *node = g_tree_node_first(auth->state.marks);
	     node != NULL; node = g_tree_node_next(node)) {
		const mark_t *mark = g_tree_node_value(node);

		if (mark->weights && mark->offset < before &&
		    strncmp(mark->shard, pool, len) == 0 &&
		    mark->shard[len] == '@')
			return true;
	}
	return false;
}

/*
 * Whether a copy of an order that a former holder may still send would do
 * nothing at the engine: it had that order and knows it, or it knows a
 * newer number.
 */
static bool
bounces(const dff_authority_t *auth, const shard_t *shard,
    const intent_t *intent, const sender_t *sender)
{
	const seen_t *seen;

	if (pool_fencing(auth, shard->pool) == DFF_FENCING_IGNORED)
		return false;
	seen = g_hash_table_lookup(auth->seen, intent->vm);
	return seen != NULL &&
	    (seen->fence > sender->fence || seen->last_order == intent->order);
}

/* An order of a former holder may still come to this engine. */
static bool
held_back(const dff_authority_t *auth, const shard_t *shard, const char *vm)
{
	if (DFF_FAULT(NO_HOLD_BACK))
		return false;
	for (guint i = 0; i < auth->state.intents->len; i++) {
		const intent_t *intent =
		    g_ptr_array_index(auth->state.intents, i);

		if (intent->open || strcmp(intent->vm, vm) != 0)
			continue;
		for (guint k = 0; k < intent->senders->len; k++) {
			if (!bounces(auth, shard, intent,
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
	    authority_state_marked(&auth->state, shard->name) != NULL ||
	    authority_state_open(&auth->state, shard->name) != NULL)
		return -EBUSY;
	if (loads_weights(kind) && pool_loads(auth, shard->pool, UINT64_MAX))
		return -EBUSY;
	if (held_back(auth, shard, vm->id))
		return -EBUSY;
	return 0;
}

static void
enter(dff_ctx_t *ctx, const dff_authority_t *auth, shard_t *shard,
    change_phase_t phase, dff_time_t now)
{
	change_t *change = &shard->change;

	dff_log(ctx, DFF_LOG_INFO, "order",
	    "goes on. vm=%s kind=%s target=%s from=%s to=%s "
	    "order=%" G_GUINT64_FORMAT,
	    change->vm, dff_order_kind_name(change->kind), change->target,
	    phase_names[change->phase], phase_names[phase], change->order);
	change->phase = phase;
	change->append_at = now;
	change->ask_at = now;
	change->odd_since = DFF_TIME_NEVER;
	change->deadline = now + auth->config.drain_time;
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
	enter(ctx, auth, shard, CHANGE_MARK, now);
	change_step(ctx, auth, shard, now, fx);
}

static void
end_change(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const char *how, dff_time_t now)
{
	change_t *change = &shard->change;

	dff_log(ctx, DFF_LOG_NOTICE, "order",
	    "ended. vm=%s kind=%s target=%s order=%" G_GUINT64_FORMAT
	    " outcome=%s",
	    change->vm, dff_order_kind_name(change->kind), change->target,
	    change->order, how);
	if (change->outcome != OUTCOME_DONE) {
		dff_time_t at =
		    now + (change->yielded ? YIELD_RETRY : CHANGE_RETRY);

		g_hash_table_insert(auth->retry_at, g_strdup(change->vm),
		    g_memdup2(&at, sizeof(at)));
	}
	memset(change, 0, sizeof(*change));
}

void
change_lost(dff_ctx_t *ctx, shard_t *shard)
{
	change_t *change = &shard->change;

	if (change->phase == CHANGE_NONE)
		return;
	dff_log(ctx, DFF_LOG_NOTICE, "order",
	    "left to the next holder. vm=%s order=%" G_GUINT64_FORMAT
	    " phase=%s",
	    change->vm, change->order, phase_names[change->phase]);
	memset(change, 0, sizeof(*change));
}

static void
close_change(dff_ctx_t *ctx, const dff_authority_t *auth, shard_t *shard,
    order_outcome_t outcome, dff_time_t now)
{
	shard->change.outcome = outcome;
	enter(ctx, auth, shard, CHANGE_CLOSE, now);
}

/* ---- what a former holder left behind ---- */

/* Take up an order without outcome, unchanged, whoever wrote it. */
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
	change->trust_after = now;
	/* An intent of this lease that landed after its change was given up
	 * was never sent. */
	if (intent->writer.fence == lease->fence &&
	    g_hash_table_lookup(auth->flights, &intent->order) == NULL) {
		close_change(ctx, auth, shard, OUTCOME_CANCELLED, now);
		return;
	}
	if (DFF_FAULT(SUCCESSOR_CANCELS)) {
		close_change(ctx, auth, shard, OUTCOME_CANCELLED, now);
		return;
	}
	enter(ctx, auth, shard, CHANGE_DRAIN, now);
	change->dry_deadline = change->deadline;
}

static void
adopt(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard, dff_time_t now)
{
	const intent_t *open = authority_state_open(&auth->state, shard->name);
	const mark_t *mark;

	if (open != NULL) {
		adopt_order(ctx, auth, shard, open, now);
		return;
	}
	/* A mark without an order: nothing can have been sent. */
	mark = authority_state_marked(&auth->state, shard->name);
	if (mark == NULL)
		return;
	(void)dff_name_copy(shard->change.vm, mark->vm);
	enter(ctx, auth, shard, CHANGE_UNMARK, now);
}

/* ---- steps ---- */

static const lease_t *
own_lease(const dff_authority_t *auth, const shard_t *shard)
{
	return authority_state_lease(&auth->state, shard->name);
}

static void
add_mark(dff_authority_t *auth, shard_t *shard, bool on, uint64_t mark,
    dff_time_t now, dff_effects_t *fx)
{
	Dff__DrainMark body = DFF__DRAIN_MARK__INIT;

	if (now < shard->change.append_at)
		return;
	body.shard = shard->name;
	body.fence = own_lease(auth, shard)->fence;
	body.vm = shard->change.vm;
	body.on = on;
	body.mark = mark;
	body.weights = loads_weights(shard->change.kind);
	(void)append_mark(auth, &body, now, fx);
	shard->change.append_at = now + append_retry(auth);
}

static void
step_mark(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard, dff_time_t now,
    dff_effects_t *fx)
{
	change_t *change = &shard->change;
	const mark_t *mark = authority_state_mark(&auth->state, change->vm);

	if (mark != NULL) {
		/* Of two that began at once in a pool the first goes on. */
		if (mark->weights &&
		    pool_loads(auth, shard->pool, mark->offset)) {
			change->yielded = true;
			enter(ctx, auth, shard, CHANGE_UNMARK, now);
			return;
		}
		enter(ctx, auth, shard, CHANGE_DRAIN, now);
		change->dry_deadline = change->deadline;
		change->ask_at = now + MARK_SPREAD;
		change->trust_after = now + MARK_SPREAD;
		return;
	}
	if (now >= change->deadline || auth->stopping) {
		end_change(ctx, auth, shard, "not_marked", now);
		return;
	}
	add_mark(auth, shard, true, 0, now, fx);
}

static void
ask(const change_t *change, dff_effects_t *fx)
{
	dff_effect_t *effect = dff_effects_add(fx, DFF_FX_ENGINE_QUERY);

	effect->u.engine_query.vm = dff_effects_strdup(fx, change->vm);
	effect->u.engine_query.addr = dff_effects_strdup(fx, change->addr);
}

/*
 * A copy that a former holder may still send would have effect. An engine
 * that checks numbers gets the order once more from this holder, unchanged,
 * so that it knows the new number and all late copies bounce.
 */
static bool
must_raise(const dff_authority_t *auth, const shard_t *shard)
{
	const intent_t *intent =
	    authority_state_order(&auth->state, shard->change.order);
	const seen_t *seen = g_hash_table_lookup(auth->seen, shard->change.vm);

	if (intent == NULL || intent->senders->len < 2 ||
	    DFF_FAULT(NUMBER_NOT_RAISED) ||
	    pool_fencing(auth, shard->pool) == DFF_FENCING_IGNORED ||
	    find_vm(auth, shard->change.vm) == NULL)
		return false;
	return seen == NULL || seen->fence < own_lease(auth, shard)->fence;
}

/* Give up waiting for an engine to run dry. */
static void
give_up_drain(
    dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard, dff_time_t now)
{
	change_t *change = &shard->change;

	if (change->order == 0) {
		enter(ctx, auth, shard, CHANGE_UNMARK, now);
		return;
	}
	if (must_raise(auth, shard)) {
		change->dry_deadline = now + auth->config.drain_time;
		return;
	}
	if (flight_under_way(auth, change->order, now))
		return;
	close_change(ctx, auth, shard,
	    change->odd_since == DFF_TIME_NEVER ? OUTCOME_BUSY :
						  OUTCOME_UNREACHABLE,
	    now);
}

static void
step_drain(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    dff_time_t now, dff_effects_t *fx)
{
	change_t *change = &shard->change;

	if (now >= change->dry_deadline ||
	    (auth->stopping && change->order == 0)) {
		give_up_drain(ctx, auth, shard, now);
		return;
	}
	if (now < change->ask_at)
		return;
	ask(change, fx);
	change->ask_at = now + CHANGE_TICK;
}

/* A copy of this change's own intent, not of an earlier change's. */
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
	const intent_t *open = authority_state_open(&auth->state, shard->name);
	Dff__OrderIntent body = DFF__ORDER_INTENT__INIT;

	if (open != NULL && !is_own_intent(change, open)) {
		/* It is taken up and cancelled: see adopt_order(). */
		end_change(ctx, auth, shard, "overtaken", now);
		return;
	}
	if (open != NULL) {
		change->order = open->order;
		if (auth->stopping)
			close_change(ctx, auth, shard, OUTCOME_CANCELLED, now);
		else
			enter(ctx, auth, shard, CHANGE_SEND, now);
		return;
	}
	if (now >= change->deadline) {
		/* Should it still land, it is cancelled: see adopt_order(). */
		enter(ctx, auth, shard, CHANGE_UNMARK, now);
		return;
	}
	if (change->intent_sequence != 0 || now < change->append_at)
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
	flight_t *flight = g_new0(flight_t, 1);
	dff_effect_t *effect;

	flight->order = change->order;
	g_hash_table_replace(auth->flights, &flight->order, flight);
	effect = dff_effects_add(fx, DFF_FX_ORDER_SEND);
	effect->u.order_send.order = change->order;
	effect->u.order_send.vm = dff_effects_strdup(fx, change->vm);
	effect->u.order_send.addr = dff_effects_strdup(fx, change->addr);
	effect->u.order_send.kind = change->kind;
	effect->u.order_send.target = dff_effects_strdup(fx, change->target);
	effect->u.order_send.fence = own_lease(auth, shard)->fence;
	change->sent = true;
	dff_log(ctx, DFF_LOG_NOTICE, "order",
	    "sent. vm=%s kind=%s target=%s order=%" G_GUINT64_FORMAT
	    " fence=%" G_GUINT64_FORMAT,
	    change->vm, dff_order_kind_name(change->kind), change->target,
	    change->order, own_lease(auth, shard)->fence);
}

static void
step_send(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard, dff_time_t now,
    dff_effects_t *fx)
{
	if (shard->change.sent)
		return;
	if (now - shard->change.dry_at > DRY_FRESH)
		enter(ctx, auth, shard, CHANGE_DRAIN, now);
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
	if (now < change->ask_at)
		return;
	ask(change, fx);
	change->ask_at = now + CHANGE_TICK;
}

/*
 * Whether this process's own copy may still arrive. If all copies came from
 * this term of holding, an engine that shows the order has got that copy;
 * else it may have been a former holder's.
 */
static bool
copy_under_way(const dff_authority_t *auth, const shard_t *shard,
    const intent_t *intent, dff_time_t now)
{
	if (intent->writer.fence == own_lease(auth, shard)->fence ||
	    DFF_FAULT(CLOSE_EARLY))
		return false;
	return flight_under_way(auth, intent->order, now);
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
	if (now < change->append_at || copy_under_way(auth, shard, intent, now))
		return;
	body.shard = shard->name;
	body.fence = own_lease(auth, shard)->fence;
	body.order = change->order;
	body.outcome = change->outcome;
	(void)append_outcome(auth, &body, now, fx);
	change->append_at = now + append_retry(auth);
}

static void
step_unmark(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    dff_time_t now, dff_effects_t *fx)
{
	const mark_t *mark = authority_state_marked(&auth->state, shard->name);

	/* The intent landed after all: see adopt_order(). */
	if (mark == NULL ||
	    authority_state_open(&auth->state, shard->name) != NULL) {
		end_change(ctx, auth, shard, "given_up", now);
		return;
	}
	add_mark(auth, shard, false, mark->offset, now, fx);
}

void
change_step(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    dff_time_t now, dff_effects_t *fx)
{
	change_phase_t before;

	if (!lease_valid(auth, shard, now) && !DFF_FAULT(SEND_LAPSED))
		return;
	/* Some steps lead to the next at once. */
	do {
		before = shard->change.phase;
		switch (before) {
		case CHANGE_NONE:
			adopt(ctx, auth, shard, now);
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

/* ---- what the engine says ---- */

static bool
shows_target(const change_t *change, const dff_ev_engine_state_t *st)
{
	switch (change->kind) {
	case DFF_ORDER_ROLE:
		return (int)st->role == dff_role_parse(change->target);
	case DFF_ORDER_MODEL:
		return strcmp(st->model, change->target) == 0;
	case DFF_ORDER_ADAPTER:
		return strcmp(st->adapter, change->target) == 0;
	case DFF_ORDER_VERSION:
		return st->version == strtoul(change->target, NULL, 10);
	}
	return false;
}

/* With an order: has it arrived, and is this the process that it is for? */
static bool
judge_order(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_engine_state_t *st, dff_time_t now)
{
	change_t *change = &shard->change;

	if (st->last_order == change->order) {
		enter(ctx, auth, shard, CHANGE_SETTLE, now);
		return true;
	}
	/* What the engine said while bytes were under way proves nothing. */
	if (flight_under_way(auth, change->order, st->sent_at) &&
	    !DFF_FAULT(RESEND_EARLY))
		return true;
	if (st->incarnation == change->vm_incarnation)
		return false;
	change->vm_incarnation = st->incarnation;
	if (must_raise(auth, shard))
		return false;
	close_change(ctx, auth, shard, OUTCOME_CRASHED, now);
	return true;
}

static void
drain_state(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_engine_state_t *st, dff_time_t now)
{
	change_t *change = &shard->change;

	if (!st->ok) {
		change->odd_since = MIN(change->odd_since, now);
		return;
	}
	change->odd_since = DFF_TIME_NEVER;
	if (st->sent_at < change->trust_after)
		return;
	if (change->order != 0 && judge_order(ctx, auth, shard, st, now))
		return;
	if (st->reconfiguring)
		return;
	if (shows_target(change, st) && !must_raise(auth, shard)) {
		if (change->order == 0)
			enter(ctx, auth, shard, CHANGE_UNMARK, now);
		else
			close_change(ctx, auth, shard, OUTCOME_DONE, now);
		return;
	}
	if (change->order == 0 && held_back(auth, shard, change->vm)) {
		enter(ctx, auth, shard, CHANGE_UNMARK, now);
		return;
	}
	if (st->running > 0 && !DFF_FAULT(NO_DRAIN))
		return;
	change->dry_at = now;
	if (change->order != 0) {
		enter(ctx, auth, shard, CHANGE_SEND, now);
		return;
	}
	change->vm_incarnation = st->incarnation;
	enter(ctx, auth, shard, CHANGE_INTENT, now);
}

static void
settle_state(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_engine_state_t *st, dff_time_t now)
{
	change_t *change = &shard->change;

	if (!st->ok || st->sent_at < change->trust_after)
		return;
	change->deadline = now + auth->config.drain_time;
	if (st->incarnation != change->vm_incarnation) {
		change->vm_incarnation = st->incarnation;
		if (must_raise(auth, shard))
			enter(ctx, auth, shard, CHANGE_DRAIN, now);
		else
			close_change(ctx, auth, shard, OUTCOME_CRASHED, now);
		return;
	}
	if (st->reconfiguring) {
		change->odd_since = DFF_TIME_NEVER;
		return;
	}
	if (shows_target(change, st)) {
		close_change(ctx, auth, shard, OUTCOME_DONE, now);
		return;
	}
	change->odd_since = MIN(change->odd_since, now);
	if (now - change->odd_since >= SETTLE_GRACE)
		close_change(ctx, auth, shard, OUTCOME_FAILED, now);
}

void
change_state(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_engine_state_t *st, dff_time_t now, dff_effects_t *fx)
{
	if (shard->change.phase == CHANGE_DRAIN)
		drain_state(ctx, auth, shard, st, now);
	else if (shard->change.phase == CHANGE_SETTLE)
		settle_state(ctx, auth, shard, st, now);
	else
		return;
	change_step(ctx, auth, shard, now, fx);
}

/* The engine knows a newer number: this process has lost its lease, or the
 * engine is not of this fleet. The stream tells which. */
static void
fenced(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard, dff_time_t now)
{
	change_t *change = &shard->change;

	change->fenced++;
	if (change->fenced > 1) {
		close_change(ctx, auth, shard, OUTCOME_REFUSED, now);
		return;
	}
	shard->valid_until = 0;
	enter(ctx, auth, shard, CHANGE_DRAIN, now);
}

void
change_answer(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_order_answer_t *ev, dff_time_t now, dff_effects_t *fx)
{
	change_t *change = &shard->change;

	if (change->phase != CHANGE_SEND || change->order != ev->order)
		return;
	change->sent = false;
	switch (ev->answer) {
	case DFF_ORDER_ACCEPTED:
		enter(ctx, auth, shard, CHANGE_SETTLE, now);
		change->trust_after = now;
		break;
	case DFF_ORDER_FENCED:
		fenced(ctx, auth, shard, now);
		break;
	case DFF_ORDER_REFUSED:
		close_change(ctx, auth, shard, OUTCOME_REFUSED, now);
		break;
	case DFF_ORDER_UNKNOWN:
		if (DFF_FAULT(UNKNOWN_IS_FAILED)) {
			close_change(ctx, auth, shard, OUTCOME_FAILED, now);
			break;
		}
		enter(ctx, auth, shard, CHANGE_DRAIN, now);
		change->dry_deadline += auth->config.tcp_timeout;
		break;
	case DFF_ORDER_BUSY:
	case DFF_ORDER_NOT_SENT:
		enter(ctx, auth, shard, CHANGE_DRAIN, now);
		change->ask_at = now + CHANGE_TICK;
		break;
	}
	change_step(ctx, auth, shard, now, fx);
}

void
change_refused(shard_t *shard, const append_t *append, dff_time_t now)
{
	change_t *change = &shard->change;

	/* Without effect, so it may be appended anew. */
	if (append->kind == APPEND_INTENT &&
	    append->sequence == change->intent_sequence)
		change->intent_sequence = 0;
	change->append_at = MAX(change->append_at, now + CHANGE_TICK);
}
