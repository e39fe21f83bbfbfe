/*
 * The choice of an upstream. For each candidate the time to the first
 * token, the gap between tokens and the time to the whole answer are
 * forecast; among those that meet the class's time the one with the least
 * cost wins.
 */
#include <math.h>
#include <string.h>

#include "policy/state.h"

/* Candidates up to which all are looked at. */
#define LOOK_AT_ALL 16
/* Candidates drawn from a larger pool. */
#define DRAW_COUNT 8
#define DRAW_TRIES 24
/* Time that the way to another failure domain and back costs. */
#define DOMAIN_COST (10 * DFF_MSEC)
/* Quantile of the output length that a whole answer is planned with. */
#define OUTPUT_QUANTILE 0.8
/* Part of a class's time that a forecast may use up. */
#define TIME_MARGIN 0.9
/* Work ahead on an engine beyond which calls wait at the node. */
#define AHEAD_MAX (200 * DFF_MSEC)
/* Slots taken for granted at a plain service that told none. */
#define SERVICE_SLOTS 8
/* Cost of each other call that would share an engine with a suspect. */
#define SUSPECT_COST (2 * DFF_SEC)

static void
forecast_service(const dff_policy_t *policy, const dff_work_t *work,
    upstream_t *up, dff_time_t now, forecast_t *forecast)
{
	const entry_state_t *entry = policy->entry_at[work->entry];
	load_t load = dff_fleet_load(policy, up, now);
	double slots;
	double over;

	slots = up->total_pieces > 0 ? up->total_pieces : SERVICE_SLOTS;
	over = MAX(load.running + 1 - slots, 0);
	forecast->batch = load.running;
	forecast->ahead_us = over * entry->service_us / slots;
	forecast->cost = entry->service_us;
	forecast->first = (dff_time_t)(forecast->ahead_us + entry->service_us);
	forecast->whole = forecast->first;
	forecast->room = load.running < slots;
	forecast->score = (double)forecast->first + load.running;
}

/* Memory pieces still free, less those that later work will take. */
static double
free_pieces(
    const dff_policy_t *policy, const upstream_t *up, const pool_state_t *pool)
{
	double since;

	(void)policy;
	since = up->own.prefill + up->peers.prefill - up->base.prefill;
	return up->free_pieces - dff_cost_pieces(pool, MAX(since, 0));
}

static void
forecast_engine(const dff_policy_t *policy, const dff_work_t *work,
    upstream_t *up, dff_time_t now, forecast_t *forecast)
{
	const pool_state_t *pool = policy->pool_at[up->pool];
	load_t load = dff_fleet_load(policy, up, now);
	double prefill = dff_cost_prefill(policy, up);
	double tokens = work->prompt_tokens + work->delivered;
	double output = dff_cost_output(policy, work, OUTPUT_QUANTILE);
	double fresh;
	double step;

	if (part_on(policy, DFF_PART_AFFINITY))
		forecast->cached = MIN(dff_cache_match(&up->cache, work->prefix,
					   work->prefix_count, now),
		    work->prompt_tokens);
	fresh = tokens - forecast->cached;
	step = dff_cost_step(policy, up, load.running + 1);
	forecast->batch = load.running;
	forecast->ahead_us = load.prefill * prefill;
	forecast->cost =
	    fresh * prefill + output * step / MAX(load.running + 1, 1);
	forecast->first =
	    (dff_time_t)((forecast->ahead_us + fresh * prefill + step) *
		dff_cost_bias(pool, now));
	forecast->gap = (dff_time_t)step;
	forecast->whole = forecast->first + (dff_time_t)(output * step);
	forecast->room = forecast->ahead_us < (double)AHEAD_MAX;
	if (up->total_pieces > 0 &&
	    free_pieces(policy, up, pool) <
		dff_cost_pieces(pool, fresh + output) &&
	    load.running >= 1)
		forecast->room = false;
	forecast->score = (double)forecast->whole;
}

static bool
meets_class(const dff_policy_t *policy, const dff_work_t *work, dff_time_t now,
    const forecast_t *forecast)
{
	const dff_entry_t *entry = &policy->entries[work->entry];
	const dff_class_t *cls = &policy->classes[entry->cls];
	dff_time_t past = now - work->arrived;

	if (work->delivered == 0 &&
	    (double)(past + forecast->first) >
		TIME_MARGIN * (double)cls->first_token)
		return false;
	if ((double)forecast->gap > TIME_MARGIN * (double)cls->token_gap)
		return false;
	return (double)(past + forecast->whole) <=
	    TIME_MARGIN * (double)cls->whole;
}

void
dff_choose_forecast(const dff_policy_t *policy, const dff_work_t *work,
    upstream_t *up, dff_time_t now, forecast_t *forecast)
{
	memset(forecast, 0, sizeof(*forecast));
	forecast->up = up;
	if (policy->pools[up->pool].kind == DFF_VM_SERVICE)
		forecast_service(policy, work, up, now, forecast);
	else
		forecast_engine(policy, work, up, now, forecast);
	if (strcmp(up->vm.domain, policy->config.domain) != 0)
		forecast->score += DOMAIN_COST;
	if (work->suspect)
		forecast->score += forecast->batch * (double)SUSPECT_COST;
	forecast->in_time = meets_class(policy, work, now, forecast);
}

/* Whether @a is to be taken rather than @b. */
static bool
better(const dff_work_t *work, const forecast_t *a, const forecast_t *b)
{
	bool a_avoid = strcmp(a->up->vm.id, work->avoid) == 0;
	bool b_avoid = strcmp(b->up->vm.id, work->avoid) == 0;

	if (a_avoid != b_avoid)
		return b_avoid;
	if ((a->up->suspects > 0) != (b->up->suspects > 0))
		return b->up->suspects > 0;
	if ((a->room && a->in_time) != (b->room && b->in_time))
		return a->room && a->in_time;
	if (a->in_time != b->in_time)
		return a->in_time;
	return a->score < b->score;
}

static void
look_at(dff_policy_t *policy, const dff_work_t *work, upstream_t *up,
    dff_time_t now, forecast_t *best)
{
	forecast_t forecast;

	if (!dff_fleet_usable(policy, up, now) || up->role != DFF_ROLE_MIXED)
		return;
	dff_choose_forecast(policy, work, up, now, &forecast);
	if (best->up == NULL || better(work, &forecast, best))
		*best = forecast;
}

bool
dff_choose_upstream(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_work_t *work, dff_time_t now, forecast_t *best)
{
	const GPtrArray *ups;
	guint start;

	ups = policy->pool_at[policy->entries[work->entry].pool]->upstreams;
	memset(best, 0, sizeof(*best));
	if (ups->len == 0)
		return false;
	start = dff_rand_below(ctx, ups->len);
	if (ups->len <= LOOK_AT_ALL || !part_on(policy, DFF_PART_SAMPLING)) {
		for (guint i = 0; i < ups->len; i++)
			look_at(policy, work,
			    g_ptr_array_index(ups, (start + i) % ups->len), now,
			    best);
		return best->up != NULL;
	}
	for (guint i = 0; i < DRAW_TRIES; i++) {
		if (i >= DRAW_COUNT && best->up != NULL)
			break;
		look_at(policy, work,
		    g_ptr_array_index(ups, dff_rand_below(ctx, ups->len)), now,
		    best);
	}
	return best->up != NULL;
}
