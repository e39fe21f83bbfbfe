/*
 * Limits of owners and entries across all nodes, and owners' weights.
 *
 * There is no coordinator: peers report their running and waiting calls and
 * request rates. A node's share of a limit is its fraction of the demand; what
 * others leave unused may be borrowed. A node that sees only some of the entry
 * nodes uses only that fraction of each limit.
 */
#include <math.h>
#include <string.h>

#include "policy/state.h"

/* Half-lives of an owner's past use and of a request rate. */
#define SERVED_HALF_LIFE (10 * DFF_SEC)
#define RATE_HALF_LIFE	 (2 * DFF_SEC)
/* Largest burst that a rate limit allows, as time at that rate. */
#define BURST_TIME (1 * DFF_SEC)
/*
 * Smallest share of a rate that a node keeps, for demand that is not counted
 * yet; divided by the number of visible nodes.
 */
#define SHARE_MIN 0.05
/* Fraction of a limit that is not lent beyond a node's own share. */
#define LEND_RESERVE 0.1

account_t *
dff_limit_owner(dff_policy_t *policy, const char *owner)
{
	account_t *account;

	account = g_hash_table_lookup(policy->owner_accounts, owner);
	if (account == NULL) {
		account = g_new0(account_t, 1);
		g_hash_table_insert(
		    policy->owner_accounts, g_strdup(owner), account);
	}
	return account;
}

void
dff_limit_drop_pair(gpointer data)
{
	account_pair_t *pair = data;

	g_hash_table_unref(pair->peers);
	g_free(pair);
}

account_pair_t *
dff_limit_pair(dff_policy_t *policy, const char *owner, const char *entry)
{
	char key[DFF_NAME_MAX * 2];
	account_pair_t *pair;
	account_t *account;

	(void)g_snprintf(key, sizeof(key), "%s\n%s", owner, entry);
	pair = g_hash_table_lookup(policy->pairs, key);
	if (pair != NULL)
		return pair;
	pair = g_new0(account_pair_t, 1);
	(void)dff_name_copy(pair->owner, owner);
	(void)dff_name_copy(pair->entry, entry);
	pair->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(policy->pairs, g_strdup(key), pair);
	account = dff_limit_owner(policy, owner);
	pair->next = account->pairs;
	account->pairs = pair;
	return pair;
}

void
dff_policy_set_peer_use(dff_ctx_t *ctx, dff_policy_t *policy, const char *peer,
    const char *owner, const char *entry, uint32_t running, uint32_t waiting,
    double rate, dff_time_t now)
{
	account_pair_t *pair = dff_limit_pair(policy, owner, entry);
	use_t *use;

	(void)ctx;
	use = g_hash_table_lookup(pair->peers, peer);
	if (use == NULL) {
		use = g_new0(use_t, 1);
		g_hash_table_insert(pair->peers, g_strdup(peer), use);
	}
	use->running = running;
	use->waiting = waiting;
	use->rate = rate;
	use->at = now;
}

void
dff_policy_set_visible_nodes(
    dff_policy_t *policy, uint32_t visible, uint32_t total)
{
	policy->visible_nodes = MAX(visible, 1);
	policy->total_nodes = MAX(total, policy->visible_nodes);
}

static double
decayed(double value, dff_time_t age, dff_time_t half_life)
{
	return value * exp2(-(double)MAX(age, 0) / (double)half_life);
}

/* The rate is a decaying count: one call adds ln 2 / half-life. */
static double
rate_now(const account_t *account, dff_time_t now)
{
	return decayed(account->rate, now - account->rate_at, RATE_HALF_LIFE);
}

static void
rate_add(account_t *account, dff_time_t now)
{
	double increment = M_LN2 / ((double)RATE_HALF_LIFE / (double)DFF_SEC);

	account->rate = rate_now(account, now) + increment;
	account->rate_at = now;
}

void
dff_limit_count_arrival(
    dff_policy_t *policy, const dff_entry_t *entry, dff_time_t now)
{
	const char *owner = policy->owners[entry->owner].name;

	rate_add(&dff_limit_pair(policy, owner, entry->name)->local, now);
	rate_add(dff_limit_owner(policy, owner), now);
}

static use_t
sum_pair_peers(const account_pair_t *pair, dff_time_t now)
{
	GHashTableIter iter;
	gpointer value;
	use_t sum = {0};

	g_hash_table_iter_init(&iter, pair->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const use_t *use = value;

		if (now - use->at > PEER_MAX_AGE)
			continue;
		sum.running += use->running;
		sum.waiting += use->waiting;
		sum.rate += use->rate;
	}
	return sum;
}

static use_t
sum_owner_peers(dff_policy_t *policy, const char *owner, dff_time_t now)
{
	const account_pair_t *pair;
	use_t sum = {0};

	for (pair = dff_limit_owner(policy, owner)->pairs; pair != NULL;
	     pair = pair->next) {
		use_t use = sum_pair_peers(pair, now);

		sum.running += use.running;
		sum.waiting += use.waiting;
		sum.rate += use.rate;
	}
	return sum;
}

/* Fraction of a limit that the visible nodes may use together. */
static double
visible_limit(const dff_policy_t *policy, double limit)
{
	return limit * policy->visible_nodes / policy->total_nodes;
}

static bool
allows_one_more(const dff_policy_t *policy, const account_t *local, use_t peers,
    uint32_t limit)
{
	double available;
	double demand;
	double share;

	if (limit == 0)
		return true;
	available =
	    visible_limit(policy, limit) - local->running - peers.running;
	if (available < 1)
		return false;
	demand = local->running + local->waiting + 1;
	share = visible_limit(policy, limit) * demand /
	    (demand + peers.running + peers.waiting);
	if (local->running + 1 <= share)
		return true;
	return available >= 1 + limit * LEND_RESERVE;
}

bool
dff_limit_allows_running(
    dff_policy_t *policy, const dff_entry_t *entry, dff_time_t now)
{
	const dff_owner_t *owner = &policy->owners[entry->owner];
	const account_pair_t *pair;
	use_t peers;

	if (owner->max_running == 0 && entry->max_running == 0)
		return true;
	pair = dff_limit_pair(policy, owner->name, entry->name);
	if (entry->max_running > 0 &&
	    !allows_one_more(policy, &pair->local, sum_pair_peers(pair, now),
		entry->max_running))
		return false;
	if (owner->max_running == 0)
		return true;
	peers = sum_owner_peers(policy, owner->name, now);
	return allows_one_more(policy, dff_limit_owner(policy, owner->name),
	    peers, owner->max_running);
}

/* Refill a bucket at this node's share of the rate. */
static double
bucket_fill(const dff_policy_t *policy, account_t *local, double peers_rate,
    double limit, dff_time_t now)
{
	double local_rate = rate_now(local, now);
	double share = 1;
	double rate;
	double burst;

	if (local_rate + peers_rate > 0)
		share = local_rate / (local_rate + peers_rate);
	share = MAX(share, SHARE_MIN / policy->visible_nodes);
	rate = visible_limit(policy, limit) * share;
	burst = MAX(rate * (double)BURST_TIME / (double)DFF_SEC, 1);
	if (local->bucket_at == 0)
		local->bucket = burst;
	else
		local->bucket +=
		    rate * (double)(now - local->bucket_at) / (double)DFF_SEC;
	local->bucket = MIN(local->bucket, burst);
	local->bucket_at = MAX(now, 1);
	return rate;
}

/* Time until a bucket holds enough for one call. */
static dff_time_t
bucket_wait(const account_t *local, double rate)
{
	if (local->bucket >= 1)
		return 0;
	return (dff_time_t)((1 - local->bucket) / MAX(rate, 1e-3) *
		   (double)DFF_SEC) +
	    1;
}

dff_time_t
dff_limit_take_rate(
    dff_policy_t *policy, const dff_entry_t *entry, dff_time_t now)
{
	const dff_owner_t *owner = &policy->owners[entry->owner];
	account_t *owner_account = dff_limit_owner(policy, owner->name);
	account_pair_t *pair;
	dff_time_t wait = 0;
	double rate;

	if (owner->rate_per_s <= 0 && entry->rate_per_s <= 0)
		return 0;
	pair = dff_limit_pair(policy, owner->name, entry->name);
	if (entry->rate_per_s > 0) {
		rate = bucket_fill(policy, &pair->local,
		    sum_pair_peers(pair, now).rate, entry->rate_per_s, now);
		wait = bucket_wait(&pair->local, rate);
	}
	if (owner->rate_per_s > 0) {
		rate = bucket_fill(policy, owner_account,
		    sum_owner_peers(policy, owner->name, now).rate,
		    owner->rate_per_s, now);
		wait = MAX(wait, bucket_wait(owner_account, rate));
	}
	if (wait > 0)
		return wait;
	if (entry->rate_per_s > 0)
		pair->local.bucket -= 1;
	if (owner->rate_per_s > 0)
		owner_account->bucket -= 1;
	return 0;
}

void
dff_limit_charge(
    dff_policy_t *policy, const char *owner, double cost, dff_time_t now)
{
	account_t *account = dff_limit_owner(policy, owner);

	account->served = decayed(account->served, now - account->served_at,
			      SERVED_HALF_LIFE) +
	    cost;
	account->served_at = now;
}

double
dff_limit_weighted_use(dff_policy_t *policy, uint32_t owner, dff_time_t now)
{
	const account_t *account = policy->owner_by_index[owner];

	return decayed(account->served, now - account->served_at,
		   SERVED_HALF_LIFE) /
	    MAX(policy->owners[owner].weight, 1e-3);
}

uint32_t
dff_limit_peers_waiting(
    const dff_policy_t *policy, uint32_t pool, dff_time_t now)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t sum = 0;

	g_hash_table_iter_init(&iter, policy->pairs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		int entry;

		entry = dff_catalogue_find_entry(
		    policy->cat, ((account_pair_t *)value)->entry);
		if (entry >= 0 && policy->entries[entry].pool == pool)
			sum += sum_pair_peers(value, now).waiting;
	}
	return sum;
}

size_t
dff_policy_list_owner_uses(
    const dff_policy_t *policy, dff_owner_use_t *uses, size_t max)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, policy->pairs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const account_pair_t *pair = value;

		if (pair->local.rate_at == 0)
			continue;
		if (count < max) {
			(void)dff_name_copy(uses[count].owner, pair->owner);
			(void)dff_name_copy(uses[count].entry, pair->entry);
			uses[count].running = pair->local.running;
			uses[count].waiting = pair->local.waiting;
			uses[count].rate = pair->local.rate;
		}
		count++;
	}
	return count;
}
