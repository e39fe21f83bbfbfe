#include "authority/state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/fault.h"

static const char *const outcome_names[] = {"none", "done", "refused",
    "crashed", "busy", "unreachable", "cancelled", "failed"};

const char *
outcome_name(order_outcome_t outcome)
{
	return outcome < G_N_ELEMENTS(outcome_names) ? outcome_names[outcome] :
						       "?";
}

gint
name_compare(gconstpointer a, gconstpointer b, gpointer arg)
{
	(void)arg;
	return strcmp(a, b);
}

static void
free_intent(gpointer value)
{
	intent_t *intent = value;

	g_array_unref(intent->senders);
	g_free(intent);
}

void
authority_state_init(authority_state_t *state)
{
	memset(state, 0, sizeof(*state));
	state->leases = g_tree_new_full(name_compare, NULL, NULL, g_free);
	state->marks = g_tree_new_full(name_compare, NULL, NULL, g_free);
	state->intents = g_ptr_array_new_with_free_func(free_intent);
}

void
authority_state_clear(authority_state_t *state)
{
	g_tree_unref(state->leases);
	g_tree_unref(state->marks);
	g_ptr_array_unref(state->intents);
}

/* ---- queries ---- */

lease_t *
authority_state_lease(const authority_state_t *state, const char *shard)
{
	return g_tree_lookup(state->leases, shard);
}

const drain_mark_t *
authority_state_engine_mark(const authority_state_t *state, const char *vm)
{
	return g_tree_lookup(state->marks, vm);
}

const drain_mark_t *
authority_state_shard_mark(const authority_state_t *state, const char *shard)
{
	for (GTreeNode *node = g_tree_node_first(state->marks); node != NULL;
	     node = g_tree_node_next(node)) {
		const drain_mark_t *mark = g_tree_node_value(node);

		if (strcmp(mark->shard, shard) == 0)
			return mark;
	}
	return NULL;
}

static intent_t *
intent_at(const authority_state_t *state, guint i)
{
	return g_ptr_array_index(state->intents, i);
}

static intent_t *
find_open(const authority_state_t *state, const char *shard)
{
	for (guint i = 0; i < state->intents->len; i++) {
		intent_t *intent = intent_at(state, i);

		if (intent->open && strcmp(intent->shard, shard) == 0)
			return intent;
	}
	return NULL;
}

const intent_t *
authority_state_open_order(const authority_state_t *state, const char *shard)
{
	return find_open(state, shard);
}

const intent_t *
authority_state_order(const authority_state_t *state, uint64_t order)
{
	for (guint i = 0; i < state->intents->len; i++) {
		if (intent_at(state, i)->order == order)
			return intent_at(state, i);
	}
	return NULL;
}

bool
lease_is_held_by(const lease_t *lease, const char *node, uint64_t incarnation)
{
	return lease != NULL && !lease->released &&
	    lease->incarnation == incarnation &&
	    strcmp(lease->holder, node) == 0;
}

/* ---- orders ---- */

static void
set_sender(
    intent_t *intent, const char *node, uint64_t incarnation, uint64_t fence)
{
	sender_t sender = {.incarnation = incarnation, .fence = fence};

	(void)dff_name_copy(sender.node, node);
	for (guint i = 0; i < intent->senders->len; i++) {
		sender_t *old = &g_array_index(intent->senders, sender_t, i);

		if (old->incarnation == incarnation &&
		    strcmp(old->node, node) == 0) {
			old->fence = fence;
			return;
		}
	}
	g_array_append_val(intent->senders, sender);
}

static void
remove_sender(
    intent_t *intent, const char *node, uint64_t incarnation, uint64_t fence)
{
	for (guint i = intent->senders->len; i-- > 0;) {
		const sender_t *sender =
		    &g_array_index(intent->senders, sender_t, i);

		if (sender->incarnation == incarnation &&
		    sender->fence <= fence && strcmp(sender->node, node) == 0)
			g_array_remove_index(intent->senders, i);
	}
}

/* Removes closed orders of which no copy can arrive any more. */
static void
remove_finished_orders(authority_state_t *state)
{
	for (guint i = state->intents->len; i-- > 0;) {
		const intent_t *intent = intent_at(state, i);

		if (!intent->open && intent->senders->len == 0)
			g_ptr_array_remove_index(state->intents, i);
	}
}

static bool
name_fits(const char *name, size_t max)
{
	size_t len = strlen(name);

	return len > 0 && len < max;
}

/* The lease whose fencing number a record carries, if it is still current. */
static lease_t *
lease_of_writer(const authority_state_t *state, const Dff__Record *record,
    const char *shard, uint64_t fence)
{
	lease_t *lease = authority_state_lease(state, shard);

	if (!lease_is_held_by(lease, record->writer, record->incarnation))
		return NULL;
	if (lease->fence != fence && !DFF_FAULT(STALE_FENCE_COUNTS))
		return NULL;
	return lease;
}

/* ---- records ---- */

static lease_t *
new_lease(authority_state_t *state, const char *shard)
{
	lease_t *lease = g_new0(lease_t, 1);

	g_strlcpy(lease->shard, shard, sizeof(lease->shard));
	g_tree_insert(state->leases, lease->shard, lease);
	return lease;
}

static void
grant_lease(lease_t *lease, const Dff__Record *record, const Dff__Lease *body,
    uint64_t fence)
{
	(void)dff_name_copy(lease->holder, record->writer);
	lease->incarnation = record->incarnation;
	lease->term = (dff_time_t)body->term_ms * DFF_MSEC;
	lease->fence = fence;
	lease->released = false;
}

static bool
term_fits(const Dff__Lease *body)
{
	return body->term_ms > 0 && body->term_ms <= INT32_MAX;
}

/*
 * A claim names the last record of the lease that its writer had read. If
 * the lease was renewed or claimed since, the claim is ignored.
 */
static int
apply_claim(authority_state_t *state, const Dff__Record *record,
    const Dff__Lease *claim, uint64_t offset, dff_time_t now)
{
	lease_t *lease = authority_state_lease(state, claim->shard);
	intent_t *open;

	if (!term_fits(claim))
		return -EINVAL;
	if (lease == NULL)
		lease = new_lease(state, claim->shard);
	if (claim->after != lease->last_offset && !DFF_FAULT(CLAIM_UNCHECKED))
		return 0;
	grant_lease(lease, record, claim, offset);
	lease->last_offset = offset;
	lease->read_at = now;
	open = find_open(state, claim->shard);
	if (open != NULL)
		set_sender(open, lease->holder, lease->incarnation, offset);
	return 0;
}

/*
 * Accepts a renewal with a fencing number that is not known here: the claim
 * precedes the offset after which this state starts (see
 * dff_authority_rebase()). Only the holder renews a lease.
 */
static lease_t *
learn_lease(authority_state_t *state, const Dff__Record *record,
    const Dff__Lease *renewal)
{
	lease_t *lease = authority_state_lease(state, renewal->shard);

	if (lease != NULL && renewal->fence <= lease->fence)
		return NULL;
	if (lease == NULL)
		lease = new_lease(state, renewal->shard);
	grant_lease(lease, record, renewal, renewal->fence);
	return lease;
}

static int
apply_renewal(authority_state_t *state, const Dff__Record *record,
    const Dff__Lease *renewal, uint64_t offset, dff_time_t now)
{
	lease_t *lease =
	    lease_of_writer(state, record, renewal->shard, renewal->fence);

	if (!term_fits(renewal) || renewal->fence >= offset)
		return -EINVAL;
	if (lease == NULL)
		lease = learn_lease(state, record, renewal);
	if (lease == NULL)
		return 0;
	lease->last_offset = offset;
	lease->read_at = now;
	return 0;
}

static int
apply_release(authority_state_t *state, const Dff__Record *record,
    const Dff__Lease *release, uint64_t offset, dff_time_t now)
{
	lease_t *lease =
	    lease_of_writer(state, record, release->shard, release->fence);

	if (lease == NULL)
		return 0;
	lease->released = true;
	lease->last_offset = offset;
	lease->read_at = now;
	return 0;
}

/*
 * Whether the writer may acknowledge that a former holder sends no more
 * orders: the former holder itself, a later process of its node, or the
 * current holder, which found the former holder's VM gone.
 */
static bool
may_acknowledge(const authority_state_t *state, const Dff__Record *record,
    const Dff__Lease *ack)
{
	if (strcmp(record->writer, ack->holder) == 0)
		return record->incarnation >= ack->incarnation;
	return lease_is_held_by(authority_state_lease(state, ack->shard),
	    record->writer, record->incarnation);
}

static int
apply_ack(
    authority_state_t *state, const Dff__Record *record, const Dff__Lease *ack)
{
	if (!may_acknowledge(state, record, ack))
		return 0;
	for (guint i = 0; i < state->intents->len; i++) {
		intent_t *intent = intent_at(state, i);

		if (strcmp(intent->shard, ack->shard) == 0)
			remove_sender(
			    intent, ack->holder, ack->incarnation, ack->fence);
	}
	remove_finished_orders(state);
	return 0;
}

static int
apply_mark(authority_state_t *state, const Dff__Record *record,
    const Dff__DrainMark *in, uint64_t offset)
{
	drain_mark_t *mark;

	if (!name_fits(in->vm, DFF_NAME_MAX))
		return -EINVAL;
	if (lease_of_writer(state, record, in->shard, in->fence) == NULL)
		return 0;
	mark = g_tree_lookup(state->marks, in->vm);
	if (!in->on) {
		if (mark == NULL || mark->offset != in->mark)
			return 0;
		g_tree_remove(state->marks, in->vm);
		return 1;
	}
	/* A shard has one change at a time. */
	if (mark != NULL ||
	    authority_state_shard_mark(state, in->shard) != NULL)
		return 0;
	mark = g_new0(drain_mark_t, 1);
	(void)dff_name_copy(mark->vm, in->vm);
	g_strlcpy(mark->shard, in->shard, sizeof(mark->shard));
	mark->offset = offset;
	mark->loads_weights = in->weights;
	g_tree_insert(state->marks, mark->vm, mark);
	return 1;
}

static int
apply_intent(authority_state_t *state, const Dff__Record *record,
    const Dff__OrderIntent *in, uint64_t offset)
{
	const drain_mark_t *mark;
	intent_t *intent;

	if (!name_fits(in->vm, DFF_NAME_MAX) ||
	    !name_fits(in->target, DFF_NAME_MAX) ||
	    in->kind > DFF_ORDER_VERSION)
		return -EINVAL;
	if (lease_of_writer(state, record, in->shard, in->fence) == NULL)
		return 0;
	mark = authority_state_engine_mark(state, in->vm);
	if (mark == NULL || strcmp(mark->shard, in->shard) != 0 ||
	    find_open(state, in->shard) != NULL)
		return 0;
	intent = g_new0(intent_t, 1);
	intent->order = offset;
	g_strlcpy(intent->shard, in->shard, sizeof(intent->shard));
	(void)dff_name_copy(intent->vm, in->vm);
	intent->vm_incarnation = in->vm_incarnation;
	intent->kind = (dff_order_kind_t)in->kind;
	(void)dff_name_copy(intent->target, in->target);
	(void)dff_name_copy(intent->writer.node, record->writer);
	intent->writer.incarnation = record->incarnation;
	intent->writer.fence = in->fence;
	intent->sequence = record->sequence;
	intent->open = true;
	intent->senders = g_array_new(FALSE, FALSE, sizeof(sender_t));
	set_sender(intent, record->writer, record->incarnation, in->fence);
	g_ptr_array_add(state->intents, intent);
	return 0;
}

/*
 * A process that records an outcome has no copy of the order in flight.
 * Former holders of the shard have not acknowledged that yet.
 */
static int
apply_outcome(authority_state_t *state, const Dff__Record *record,
    const Dff__OrderOutcome *outcome)
{
	intent_t *intent = find_open(state, outcome->shard);

	if (outcome->outcome < OUTCOME_DONE ||
	    outcome->outcome > OUTCOME_FAILED)
		return -EINVAL;
	if (lease_of_writer(state, record, outcome->shard, outcome->fence) ==
		NULL ||
	    intent == NULL || intent->order != outcome->order)
		return 0;
	intent->open = false;
	remove_sender(
	    intent, record->writer, record->incarnation, outcome->fence);
	g_tree_remove(state->marks, intent->vm);
	remove_finished_orders(state);
	return 1;
}

/* The shard to which a record belongs, or NULL. */
static const char *
record_shard(const Dff__Record *record)
{
	switch (record->body_case) {
	case DFF__RECORD__BODY_LEASE_CLAIM:
		return record->lease_claim->shard;
	case DFF__RECORD__BODY_LEASE_RENEW:
		return record->lease_renew->shard;
	case DFF__RECORD__BODY_LEASE_RELEASE:
		return record->lease_release->shard;
	case DFF__RECORD__BODY_LEASE_ACK:
		return record->lease_ack->shard;
	case DFF__RECORD__BODY_DRAIN:
		return record->drain->shard;
	case DFF__RECORD__BODY_INTENT:
		return record->intent->shard;
	case DFF__RECORD__BODY_ORDER_OUTCOME:
		return record->order_outcome->shard;
	default:
		return NULL;
	}
}

int
authority_state_apply(authority_state_t *state, const Dff__Record *record,
    uint64_t offset, dff_time_t now)
{
	const char *shard = record_shard(record);

	if (record->version != AUTHORITY_RECORD_VERSION ||
	    !name_fits(record->writer, DFF_NAME_MAX))
		return -EINVAL;
	if (record->body_case == DFF__RECORD__BODY_AUTHORITY_SNAPSHOT)
		return 0;
	if (shard == NULL || !name_fits(shard, SHARD_NAME_MAX))
		return -EINVAL;
	switch (record->body_case) {
	case DFF__RECORD__BODY_LEASE_CLAIM:
		return apply_claim(
		    state, record, record->lease_claim, offset, now);
	case DFF__RECORD__BODY_LEASE_RENEW:
		return apply_renewal(
		    state, record, record->lease_renew, offset, now);
	case DFF__RECORD__BODY_LEASE_RELEASE:
		return apply_release(
		    state, record, record->lease_release, offset, now);
	case DFF__RECORD__BODY_LEASE_ACK:
		return apply_ack(state, record, record->lease_ack);
	case DFF__RECORD__BODY_DRAIN:
		return apply_mark(state, record, record->drain, offset);
	case DFF__RECORD__BODY_INTENT:
		return apply_intent(state, record, record->intent, offset);
	case DFF__RECORD__BODY_ORDER_OUTCOME:
		return apply_outcome(state, record, record->order_outcome);
	default:
		return -EINVAL;
	}
}
