/*
 * Owners' and entries' limits over all nodes, and owners' weights.
 *
 * There is no coordinator: each node hears what its peers run and are
 * asked for. A node's share of a limit is its part of the demand; what is
 * left of the limit may be borrowed. A node that sees only some of the
 * others keeps to that fraction of each limit.
 */
#include <math.h>
#include <string.h>

#include "policy/state.h"

/* Time in which an owner's past use, and a rate, fade by half. */
#define SERVED_FADE (10 * DFF_SEC)
#define RATE_FADE   (2 * DFF_SEC)
/* Longest burst that a rate limit lets through, as time of its rate. */
#define BURST_TIME (1 * DFF_SEC)
/* Least share of a rate that a node keeps, for demand not yet heard of. */
#define SHARE_LEAST 0.05
/* Part of a limit that is not lent beyond a node's own share. */
#define LEND_KEEP 0.1

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
dff_policy_set_alone(dff_policy_t *policy, uint32_t seen, uint32_t all)
{
	policy->seen = MAX(seen, 1);
	policy->all = MAX(all, policy->seen);
}

static double
faded(double value, dff_time_t age, dff_time_t half)
{
	return value * exp2(-(double)MAX(age, 0) / (double)half);
}

/* The rate is a decayed count: one call adds ln 2 over the fading time. */
static double
rate_now(const account_t *account, dff_time_t now)
{
	return faded(account->rate, now - account->rate_at, RATE_FADE);
}

static void
rate_add(account_t *account, dff_time_t now)
{
	double one = M_LN2 / ((double)RATE_FADE / (double)DFF_SEC);

	account->rate = rate_now(account, now) + one;
	account->rate_at = now;
}

void
dff_limit_offered(
    dff_policy_t *policy, const dff_entry_t *entry, dff_time_t now)
{
	const char *owner = policy->owners[entry->owner].name;

	rate_add(&dff_limit_pair(policy, owner, entry->name)->here, now);
	rate_add(dff_limit_owner(policy, owner), now);
}

static use_t
peers_of_pair(const account_pair_t *pair, dff_time_t now)
{
	GHashTableIter iter;
	gpointer value;
	use_t sum = {0};

	g_hash_table_iter_init(&iter, pair->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const use_t *use = value;

		if (now - use->at > PEER_STALE)
			continue;
		sum.running += use->running;
		sum.waiting += use->waiting;
		sum.rate += use->rate;
	}
	return sum;
}

static use_t
peers_of_owner(dff_policy_t *policy, const char *owner, dff_time_t now)
{
	const account_pair_t *pair;
	use_t sum = {0};

	for (pair = dff_limit_owner(policy, owner)->pairs; pair != NULL;
	     pair = pair->next) {
		use_t use = peers_of_pair(pair, now);

		sum.running += use.running;
		sum.waiting += use.waiting;
		sum.rate += use.rate;
	}
	return sum;
}

/* What this node may use of a limit, before its share is taken. */
static double
limit_here(const dff_policy_t *policy, double limit)
{
	return limit * policy->seen / policy->all;
}

static bool
running_fits(const dff_policy_t *policy, const account_t *here, use_t peers,
    uint32_t limit)
{
	double left;
	double demand;
	double share;

	if (limit == 0)
		return true;
	left = limit_here(policy, limit) - here->running - peers.running;
	if (left < 1)
		return false;
	demand = here->running + here->waiting + 1;
	share = limit_here(policy, limit) * demand /
	    (demand + peers.running + peers.waiting);
	if (here->running + 1 <= share)
		return true;
	return left >= 1 + limit * LEND_KEEP;
}

bool
dff_limit_running(
    dff_policy_t *policy, const dff_entry_t *entry, dff_time_t now)
{
	const dff_owner_t *owner = &policy->owners[entry->owner];
	const account_pair_t *pair;
	use_t peers;

	if (owner->max_running == 0 && entry->max_running == 0)
		return true;
	pair = dff_limit_pair(policy, owner->name, entry->name);
	if (entry->max_running > 0 &&
	    !running_fits(policy, &pair->here, peers_of_pair(pair, now),
		entry->max_running))
		return false;
	if (owner->max_running == 0)
		return true;
	peers = peers_of_owner(policy, owner->name, now);
	return running_fits(policy, dff_limit_owner(policy, owner->name), peers,
	    owner->max_running);
}

/* Fill a bucket up to now by this node's share of the rate. */
static double
bucket_fill(const dff_policy_t *policy, account_t *here, double peers_rate,
    double limit, dff_time_t now)
{
	double mine = rate_now(here, now);
	double share = 1;
	double rate;
	double burst;

	if (mine + peers_rate > 0)
		share = mine / (mine + peers_rate);
	share = MAX(share, SHARE_LEAST / policy->seen);
	rate = limit_here(policy, limit) * share;
	burst = MAX(rate * (double)BURST_TIME / (double)DFF_SEC, 1);
	if (here->bucket_at == 0)
		here->bucket = burst;
	else
		here->bucket +=
		    rate * (double)(now - here->bucket_at) / (double)DFF_SEC;
	here->bucket = MIN(here->bucket, burst);
	here->bucket_at = MAX(now, 1);
	return rate;
}

/* Time until a bucket has one call's worth. */
static dff_time_t
bucket_wait(const account_t *here, double rate)
{
	if (here->bucket >= 1)
		return 0;
	return (dff_time_t)((1 - here->bucket) / MAX(rate, 1e-3) *
		   (double)DFF_SEC) +
	    1;
}

dff_time_t
dff_limit_rate(dff_policy_t *policy, const dff_entry_t *entry, dff_time_t now)
{
	const dff_owner_t *owner = &policy->owners[entry->owner];
	account_t *whole = dff_limit_owner(policy, owner->name);
	account_pair_t *pair;
	dff_time_t wait = 0;
	double rate;

	if (owner->rate_per_s <= 0 && entry->rate_per_s <= 0)
		return 0;
	pair = dff_limit_pair(policy, owner->name, entry->name);
	if (entry->rate_per_s > 0) {
		rate = bucket_fill(policy, &pair->here,
		    peers_of_pair(pair, now).rate, entry->rate_per_s, now);
		wait = bucket_wait(&pair->here, rate);
	}
	if (owner->rate_per_s > 0) {
		rate = bucket_fill(policy, whole,
		    peers_of_owner(policy, owner->name, now).rate,
		    owner->rate_per_s, now);
		wait = MAX(wait, bucket_wait(whole, rate));
	}
	if (wait > 0)
		return wait;
	if (entry->rate_per_s > 0)
		pair->here.bucket -= 1;
	if (owner->rate_per_s > 0)
		whole->bucket -= 1;
	return 0;
}

void
dff_limit_serve(
    dff_policy_t *policy, const char *owner, double cost, dff_time_t now)
{
	account_t *account = dff_limit_owner(policy, owner);

	account->served =
	    faded(account->served, now - account->served_at, SERVED_FADE) +
	    cost;
	account->served_at = now;
}

double
dff_limit_served(dff_policy_t *policy, uint32_t owner, dff_time_t now)
{
	const account_t *account = policy->owner_at[owner];

	return faded(account->served, now - account->served_at, SERVED_FADE) /
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
			sum += peers_of_pair(value, now).waiting;
	}
	return sum;
}

size_t
dff_policy_owners(const dff_policy_t *policy, dff_owner_use_t *uses, size_t max)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, policy->pairs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const account_pair_t *pair = value;

		if (pair->here.rate_at == 0)
			continue;
		if (count < max) {
			(void)dff_name_copy(uses[count].owner, pair->owner);
			(void)dff_name_copy(uses[count].entry, pair->entry);
			uses[count].running = pair->here.running;
			uses[count].waiting = pair->here.waiting;
			uses[count].rate = pair->here.rate;
		}
		count++;
	}
	return count;
}
