/*
 * Baselines to compare the policy with: round robin, and fewest outstanding
 * calls of this node. They send each call at once and never let one wait.
 */
#include "policy/state.h"

static upstream_t *
round_robin(dff_policy_t *policy, pool_state_t *pool, dff_time_t now)
{
	for (guint i = 0; i < pool->upstreams->len; i++) {
		upstream_t *up;

		up = g_ptr_array_index(
		    pool->upstreams, pool->next_index++ % pool->upstreams->len);
		if (dff_fleet_is_usable(policy, up, now) &&
		    up->role == DFF_ROLE_MIXED)
			return up;
	}
	return NULL;
}

static upstream_t *
least_outstanding(dff_ctx_t *ctx, dff_policy_t *policy,
    const pool_state_t *pool, dff_time_t now)
{
	upstream_t *best = NULL;
	guint start;

	start = dff_rand_below(ctx, pool->upstreams->len);
	for (guint i = 0; i < pool->upstreams->len; i++) {
		upstream_t *up;

		up = g_ptr_array_index(
		    pool->upstreams, (start + i) % pool->upstreams->len);
		if (!dff_fleet_is_usable(policy, up, now) ||
		    up->role != DFF_ROLE_MIXED)
			continue;
		if (best == NULL ||
		    up->own_load.running < best->own_load.running)
			best = up;
	}
	return best;
}

upstream_t *
dff_baseline_choose(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_policy_call_t *call, dff_time_t now)
{
	pool_state_t *pool;

	pool = policy->pool_by_index[policy->entries[call->entry].pool];
	if (pool->upstreams->len == 0)
		return NULL;
	if (policy->config.kind == DFF_POLICY_ROUND_ROBIN)
		return round_robin(policy, pool, now);
	return least_outstanding(ctx, policy, pool, now);
}
