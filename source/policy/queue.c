/*
 * Calls that wait at this node. They are kept by the moment at which they
 * are due, so that the one with the least slack is first. An owner that
 * used more than its weight's part comes after the others.
 */
#include <string.h>

#include "policy/state.h"

/* Time after which a waiting call is decided on anew in any case. */
#define SWEEP_EVERY (100 * DFF_MSEC)

static uint32_t
pool_of(const dff_policy_t *policy, const dff_work_t *work)
{
	return policy->entries[work->entry].pool;
}

dff_time_t
dff_queue_due(const dff_policy_t *policy, const dff_work_t *work)
{
	const dff_entry_t *entry = &policy->entries[work->entry];
	const dff_class_t *cls = &policy->classes[entry->cls];

	if (!part_on(policy, DFF_PART_SLACK))
		return work->arrived;
	return work->arrived +
	    (work->delivered > 0 ? cls->token_gap : cls->first_token);
}

static account_t *
account_of(dff_policy_t *policy, const waiting_t *wait)
{
	return policy->owner_at[wait->owner];
}

static account_pair_t *
pair_of(dff_policy_t *policy, const waiting_t *wait)
{
	return dff_limit_pair(policy, policy->owners[wait->owner].name,
	    policy->entries[wait->work.entry].name);
}

void
dff_queue_add(
    dff_policy_t *policy, const dff_work_t *work, double cost, dff_time_t now)
{
	pool_state_t *pool = policy->pool_at[pool_of(policy, work)];
	waiting_t *wait;
	guint low = 0;
	guint high = policy->waiting->len;

	wait = g_new0(waiting_t, 1);
	wait->work = *work;
	wait->due = dff_queue_due(policy, work);
	wait->tried = now;
	wait->round = policy->round;
	wait->cost = cost;
	wait->owner = policy->entries[work->entry].owner;
	wait->pool = pool_of(policy, work);
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
	pair_of(policy, wait)->here.waiting++;
}

void
dff_queue_remove(dff_policy_t *policy, guint index)
{
	waiting_t *wait = g_ptr_array_index(policy->waiting, index);
	pool_state_t *pool;

	if (!wait->orphan) {
		pool = policy->pool_at[wait->pool];
		pool->waiting--;
		account_of(policy, wait)->waiting--;
		pair_of(policy, wait)->here.waiting--;
	}
	g_ptr_array_remove_index(policy->waiting, index);
}

int
dff_queue_find(const dff_policy_t *policy, uint64_t call)
{
	for (guint i = 0; i < policy->waiting->len; i++) {
		const waiting_t *wait = g_ptr_array_index(policy->waiting, i);

		if (wait->work.call == call)
			return (int)i;
	}
	return -1;
}

double
dff_queue_ahead(dff_policy_t *policy, const dff_work_t *work, dff_time_t due,
    dff_time_t now)
{
	uint32_t pool = pool_of(policy, work);
	uint32_t owner = policy->entries[work->entry].owner;
	bool weighted = part_on(policy, DFF_PART_WEIGHTS);
	double served = 0;
	double sum = 0;

	if (weighted)
		served = dff_limit_served(policy, owner, now);
	for (guint i = 0; i < policy->waiting->len; i++) {
		const waiting_t *wait = g_ptr_array_index(policy->waiting, i);
		double other;

		if (wait->orphan || wait->pool != pool ||
		    wait->work.call == work->call)
			continue;
		if (weighted && wait->owner != owner) {
			other = dff_limit_served(policy, wait->owner, now);
			if (other > served * WEIGHT_SLACK)
				continue;
			if (served > other * WEIGHT_SLACK) {
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
 * Whether a waiting call should be decided on anew. While nothing has changed,
 * or no engine takes any call, once in a while is enough: there may be
 * hundreds, and each decision walks the queue.
 */
static bool
is_due(const dff_policy_t *policy, const waiting_t *wait, dff_time_t now)
{
	if (now - wait->tried >= SWEEP_EVERY)
		return true;
	if (wait->round == policy->round)
		return false;
	return policy->pool_at[wait->pool]->full_round != policy->round;
}

guint
dff_queue_pick(dff_policy_t *policy, dff_time_t now)
{
	guint best = policy->waiting->len;
	double least = 0;

	for (guint i = 0; i < policy->waiting->len; i++) {
		const waiting_t *wait = g_ptr_array_index(policy->waiting, i);
		double served;

		if (wait->orphan)
			return i;
		if (!is_due(policy, wait, now))
			continue;
		if (!part_on(policy, DFF_PART_WEIGHTS))
			return i;
		served = dff_limit_served(policy, wait->owner, now);
		if (best == policy->waiting->len ||
		    served * WEIGHT_SLACK < least) {
			best = i;
			least = served;
		}
	}
	return best;
}

static gint
by_due(gconstpointer a, gconstpointer b)
{
	const waiting_t *left = *(waiting_t *const *)a;
	const waiting_t *right = *(waiting_t *const *)b;

	return (left->due > right->due) - (left->due < right->due);
}

void
dff_queue_sort(dff_policy_t *policy)
{
	g_ptr_array_sort(policy->waiting, by_due);
}
