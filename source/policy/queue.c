/*
 * Calls that wait at this node. They are sorted by due time, so that the one
 * with the least slack is first. An owner that used more than its weighted
 * share comes after the others.
 */
#include <string.h>

#include "policy/state.h"

/* Time after which a waiting call is decided on again in any case. */
#define RECHECK_INTERVAL (100 * DFF_MSEC)

static uint32_t
pool_of(const dff_policy_t *policy, const dff_policy_call_t *call)
{
	return policy->entries[call->entry].pool;
}

dff_time_t
dff_queue_due(const dff_policy_t *policy, const dff_policy_call_t *call)
{
	const dff_entry_t *entry = &policy->entries[call->entry];
	const dff_class_t *cls = &policy->classes[entry->cls];

	if (!feature_enabled(policy, DFF_FEATURE_SLACK))
		return call->arrived_at;
	return call->arrived_at +
	    (call->delivered > 0 ? cls->token_gap : cls->first_token);
}

static account_t *
account_of(dff_policy_t *policy, const waiting_t *wait)
{
	return policy->owner_by_index[wait->owner];
}

static account_pair_t *
pair_of(dff_policy_t *policy, const waiting_t *wait)
{
	return dff_limit_pair(policy, policy->owners[wait->owner].name,
	    policy->entries[wait->call.entry].name);
}

void
dff_queue_add(dff_policy_t *policy, const dff_policy_call_t *call, double cost,
    dff_time_t now)
{
	pool_state_t *pool = policy->pool_by_index[pool_of(policy, call)];
	waiting_t *wait;
	guint low = 0;
	guint high = policy->waiting->len;

	wait = g_new0(waiting_t, 1);
	wait->call = *call;
	wait->due = dff_queue_due(policy, call);
	wait->decided_at = now;
	wait->epoch = policy->epoch;
	wait->cost = cost;
	wait->owner = policy->entries[call->entry].owner;
	wait->pool = pool_of(policy, call);
	while (low < high) {
		guint mid = (low + high) / 2;
		const waiting_t *other;

		other = g_ptr_array_index(policy->waiting, mid);
		if (other->due <= wait->due)
			low = mid + 1;
		else
			high = mid;
	}
	g_ptr_array_insert(policy->waiting, (gint)low, wait);
	pool->waiting++;
	account_of(policy, wait)->waiting++;
	pair_of(policy, wait)->local.waiting++;
}

void
dff_queue_remove(dff_policy_t *policy, guint index)
{
	waiting_t *wait = g_ptr_array_index(policy->waiting, index);
	pool_state_t *pool;

	if (!wait->entry_removed) {
		pool = policy->pool_by_index[wait->pool];
		pool->waiting--;
		account_of(policy, wait)->waiting--;
		pair_of(policy, wait)->local.waiting--;
	}
	g_ptr_array_remove_index(policy->waiting, index);
}

int
dff_queue_find(const dff_policy_t *policy, uint64_t call)
{
	for (guint i = 0; i < policy->waiting->len; i++) {
		const waiting_t *wait = g_ptr_array_index(policy->waiting, i);

		if (wait->call.handle == call)
			return (int)i;
	}
	return -1;
}

double
dff_queue_ahead(dff_policy_t *policy, const dff_policy_call_t *call,
    dff_time_t due, dff_time_t now)
{
	uint32_t pool = pool_of(policy, call);
	uint32_t owner = policy->entries[call->entry].owner;
	bool weighted = feature_enabled(policy, DFF_FEATURE_WEIGHTS);
	double served = 0;
	double sum = 0;

	if (weighted)
		served = dff_limit_weighted_use(policy, owner, now);
	for (guint i = 0; i < policy->waiting->len; i++) {
		const waiting_t *wait = g_ptr_array_index(policy->waiting, i);
		double other;

		if (wait->entry_removed || wait->pool != pool ||
		    wait->call.handle == call->handle)
			continue;
		if (weighted && wait->owner != owner) {
			other =
			    dff_limit_weighted_use(policy, wait->owner, now);
			if (other > served * WEIGHT_TOLERANCE)
				continue;
			if (served > other * WEIGHT_TOLERANCE) {
				sum += wait->cost;
				continue;
			}
		}
		if (wait->due <= due)
			sum += wait->cost;
	}
	return sum;
}

/*
 * Whether to decide on a waiting call again. While nothing has changed, or no
 * engine takes any call, RECHECK_INTERVAL is enough: hundreds of calls may
 * wait, and each decision walks the queue.
 */
static bool
needs_decision(
    const dff_policy_t *policy, const waiting_t *wait, dff_time_t now)
{
	if (now - wait->decided_at >= RECHECK_INTERVAL)
		return true;
	if (wait->epoch == policy->epoch)
		return false;
	return policy->pool_by_index[wait->pool]->full_epoch != policy->epoch;
}

guint
dff_queue_pick(dff_policy_t *policy, dff_time_t now)
{
	guint best = policy->waiting->len;
	double least_use = 0;

	for (guint i = 0; i < policy->waiting->len; i++) {
		const waiting_t *wait = g_ptr_array_index(policy->waiting, i);
		double served;

		if (wait->entry_removed)
			return i;
		if (!needs_decision(policy, wait, now))
			continue;
		if (!feature_enabled(policy, DFF_FEATURE_WEIGHTS))
			return i;
		served = dff_limit_weighted_use(policy, wait->owner, now);
		if (best == policy->waiting->len ||
		    served * WEIGHT_TOLERANCE < least_use) {
			best = i;
			least_use = served;
		}
	}
	return best;
}

static gint
compare_due(gconstpointer a, gconstpointer b)
{
	const waiting_t *left = *(waiting_t *const *)a;
	const waiting_t *right = *(waiting_t *const *)b;

	return (left->due > right->due) - (left->due < right->due);
}

void
dff_queue_sort(dff_policy_t *policy)
{
	g_ptr_array_sort(policy->waiting, compare_due);
}
