/*
 * The choice of an upstream. For each candidate it predicts the time to the
 * first token, the gap between tokens and the time to the whole answer. Of the
 * candidates that have room and meet the times of the call's class, the one
 * with the lowest score wins.
 */
#include <math.h>
#include <string.h>

#include "policy/state.h"

/*
 * Candidates considered: at least CANDIDATES_ENOUGH, then up to CANDIDATES_MAX
 * until one fits.
 */
#define CANDIDATES_ENOUGH 2
#define CANDIDATES_MAX	  16
/* Round trip time added by another failure domain. */
#define CROSS_DOMAIN_COST (10 * DFF_MSEC)
/* Quantile of the output length used to predict the total time. */
#define OUTPUT_QUANTILE 0.8
/* Fraction of a class's time that a prediction may use up. */
#define TIME_FRACTION 0.9
/* Backlog of an engine beyond which calls wait at the node instead. */
#define BACKLOG_MAX (200 * DFF_MSEC)
/* Time to transfer one piece of KV cache within and between failure domains. */
#define KV_PIECE_SAME_DOMAIN  (400 * DFF_USEC)
#define KV_PIECE_CROSS_DOMAIN (1200 * DFF_USEC)
/* Slots assumed for a plain service that reported none. */
#define SERVICE_SLOTS_DEFAULT 8
/* Cost of each other call that would share an engine with a suspect. */
#define SUSPECT_COST (2 * DFF_SEC)
/*
 * Cost of sending a suspect to an upstream reserved for the other kind of
 * suspect.
 */
#define SUSPECT_KIND_COST (60 * DFF_SEC)

static void
forecast_service(const dff_policy_t *policy, const dff_policy_call_t *call,
    upstream_t *up, dff_time_t now, forecast_t *forecast)
{
	const entry_state_t *entry = policy->entry_by_index[call->entry];
	load_t load = dff_fleet_load(policy, up, now);
	double slots;
	double excess;

	slots = up->total_pieces > 0 ? up->total_pieces : SERVICE_SLOTS_DEFAULT;
	excess = MAX(load.running + 1 - slots, 0);
	forecast->batch = load.running;
	forecast->backlog_us = excess * entry->service_us / slots;
	forecast->cost = entry->service_us;
	forecast->first_token =
	    (dff_time_t)(forecast->backlog_us + entry->service_us);
	forecast->first_token_bound = forecast->first_token;
	forecast->total_time = forecast->first_token;
	forecast->has_room = load.running < slots;
	forecast->score = (double)forecast->first_token + load.running;
}

/* Free memory pieces, less those that calls sent since the report will take. */
static double
free_pieces(const upstream_t *up)
{
	double sent_since;

	sent_since = up->own_load.prefill + up->peers_load.prefill -
	    up->load_at_report.prefill;
	return up->free_pieces - dff_cost_pieces(MAX(sent_since, 0));
}

/* Whether the engine could not start any call soon. */
static bool
is_full(const pool_state_t *pool, const forecast_t *forecast)
{
	if (forecast->backlog_us >= (double)BACKLOG_MAX)
		return true;
	if (forecast->batch < 1 || pool->batch_cap <= 0)
		return false;
	return forecast->batch >= pool->batch_cap;
}

static bool
has_room(const dff_policy_t *policy, const dff_policy_call_t *call,
    const upstream_t *up, const forecast_t *forecast)
{
	double pieces;

	if (forecast->full)
		return false;
	if (forecast->batch < 1)
		return true;
	pieces = dff_cost_pieces((double)call->prompt_tokens +
	    MAX(call->max_tokens,
		policy->entries[call->entry].max_output_tokens));
	return up->total_pieces == 0 || free_pieces(up) >= pieces;
}

static void
forecast_engine(const dff_policy_t *policy, const dff_policy_call_t *call,
    upstream_t *up, dff_time_t now, forecast_t *forecast)
{
	const pool_state_t *pool = policy->pool_by_index[up->pool];
	load_t load = dff_fleet_load(policy, up, now);
	double output = dff_cost_output_tokens(policy, call, OUTPUT_QUANTILE);
	double uncached = call->prompt_tokens + call->delivered;
	double pace;

	if (feature_enabled(policy, DFF_FEATURE_AFFINITY))
		forecast->cached_tokens =
		    MIN(dff_cache_match(
			    &up->cache, call->prefix, call->prefix_count, now),
			call->prompt_tokens);
	uncached -= forecast->cached_tokens;
	if (up->role == DFF_ROLE_DECODE)
		uncached = 0;
	if (up->role == DFF_ROLE_PREFILL)
		output = 0;
	forecast->batch = load.running;
	forecast->step_us = dff_cost_step_time(policy, up, load.running + 1);
	forecast->queued_tokens = load.prefill + uncached;
	pace = forecast->step_us;
	if (up->role == DFF_ROLE_MIXED)
		pace *= dff_cost_pace_ratio(policy, pool);
	forecast->backlog_us = load.prefill * up->prefill_us;
	forecast->cost = uncached * up->prefill_us +
	    output * forecast->step_us / MAX(load.running + 1, 1);
	forecast->first_token = (dff_time_t)dff_cost_first_token(
	    policy, up, forecast->queued_tokens);
	forecast->first_token_bound =
	    (dff_time_t)((double)forecast->first_token *
		dff_cost_first_token_margin(policy, pool));
	forecast->token_gap = (dff_time_t)forecast->step_us;
	forecast->total_time =
	    forecast->first_token + (dff_time_t)(output * pace);
	forecast->full = is_full(pool, forecast);
	forecast->has_room = has_room(policy, call, up, forecast);
	forecast->score = (double)forecast->total_time;
}

static bool
meets_class_times(const dff_policy_t *policy, const dff_policy_call_t *call,
    dff_time_t now, const forecast_t *forecast)
{
	const dff_entry_t *entry = &policy->entries[call->entry];
	const dff_class_t *cls = &policy->classes[entry->cls];
	dff_time_t elapsed = now - call->arrived_at;

	if (call->delivered == 0 &&
	    (double)(elapsed + forecast->first_token) >
		TIME_FRACTION * (double)cls->first_token)
		return false;
	if ((double)forecast->token_gap >
	    TIME_FRACTION * (double)cls->token_gap)
		return false;
	return (double)(elapsed + forecast->total_time) <=
	    TIME_FRACTION * (double)cls->whole;
}

/*
 * Cost of running a suspect at an upstream. A node does not know the suspects
 * of other nodes. A suspect that has delivered no token may well be the cause
 * of the crash, so such suspects go to even positions of the pool and all
 * others to odd ones, and their hash keeps them apart from each other.
 */
static double
suspect_cost(const dff_policy_call_t *call, const upstream_t *up, double batch)
{
	double cost = batch * (double)SUSPECT_COST;
	uint64_t hash;

	if (call->delivered > 0)
		return cost +
		    (up->pool_position % 2 == 0 ? (double)SUSPECT_KIND_COST :
						  0);
	hash = dff_hash(up->vm.id, strlen(up->vm.id), call->body_hash);
	cost += (double)(hash % 16) / 16 * (double)SUSPECT_COST;
	return cost +
	    (up->pool_position % 2 == 1 ? (double)SUSPECT_KIND_COST : 0);
}

void
dff_choose_forecast(const dff_policy_t *policy, const dff_policy_call_t *call,
    upstream_t *up, dff_time_t now, forecast_t *forecast)
{
	memset(forecast, 0, sizeof(*forecast));
	forecast->up = up;
	if (policy->pools[up->pool].kind == DFF_VM_SERVICE)
		forecast_service(policy, call, up, now, forecast);
	else
		forecast_engine(policy, call, up, now, forecast);
	if (strcmp(up->vm.domain, policy->config.domain) != 0)
		forecast->score += CROSS_DOMAIN_COST;
	if (call->suspect)
		forecast->score += suspect_cost(call, up, forecast->batch);
	forecast->in_time = meets_class_times(policy, call, now, forecast);
}

/* Whether @a is a better choice than @b. */
static bool
is_better(
    const dff_policy_call_t *call, const forecast_t *a, const forecast_t *b)
{
	bool a_avoid = strcmp(a->up->vm.id, call->avoid_vm) == 0;
	bool b_avoid = strcmp(b->up->vm.id, call->avoid_vm) == 0;

	if (a_avoid != b_avoid)
		return b_avoid;
	if ((a->up->suspects > 0) != (b->up->suspects > 0))
		return b->up->suspects > 0;
	if ((a->has_room && a->in_time) != (b->has_room && b->in_time))
		return a->has_room && a->in_time;
	if (a->in_time != b->in_time)
		return a->in_time;
	return a->score < b->score;
}

/** struct best_by_role - the best candidate of each role so far */
typedef struct best_by_role {
	forecast_t mixed;
	forecast_t prefill;
	forecast_t decode;
} best_by_role_t;

static void
keep_best(const dff_policy_call_t *call, const forecast_t *candidate,
    forecast_t *best)
{
	if (best->up == NULL || is_better(call, candidate, best))
		*best = *candidate;
}

static void
consider(dff_policy_t *policy, const dff_policy_call_t *call, upstream_t *up,
    dff_time_t now, best_by_role_t *by_role)
{
	forecast_t forecast;

	if (!dff_fleet_is_usable(policy, up, now))
		return;
	dff_choose_forecast(policy, call, up, now, &forecast);
	switch (up->role) {
	case DFF_ROLE_PREFILL:
		keep_best(call, &forecast, &by_role->prefill);
		return;
	case DFF_ROLE_DECODE:
		keep_best(call, &forecast, &by_role->decode);
		return;
	default:
		keep_best(call, &forecast, &by_role->mixed);
		return;
	}
}

/* Time to transfer the KV cache of a call between two engines. */
static dff_time_t
kv_transfer_time(
    const dff_policy_call_t *call, const upstream_t *from, const upstream_t *to)
{
	double pieces = dff_cost_pieces(call->prompt_tokens + call->delivered);
	bool same_domain = strcmp(from->vm.domain, to->vm.domain) == 0;

	return (dff_time_t)(pieces *
	    (same_domain ? KV_PIECE_SAME_DOMAIN : KV_PIECE_CROSS_DOMAIN));
}

/* Combine prefill at one engine with decode at another. */
static forecast_t
combine_stages(const dff_policy_t *policy, const dff_policy_call_t *call,
    dff_time_t now, const forecast_t *prefill, const forecast_t *decode)
{
	forecast_t combined = *decode;
	dff_time_t transfer = kv_transfer_time(call, prefill->up, decode->up);

	combined.prefill_up = prefill->up;
	combined.cached_tokens = prefill->cached_tokens;
	combined.backlog_us = prefill->backlog_us;
	combined.first_token =
	    prefill->first_token + transfer + decode->first_token;
	combined.first_token_bound =
	    prefill->first_token_bound + transfer + decode->first_token;
	combined.total_time =
	    prefill->first_token + transfer + decode->total_time;
	combined.cost = prefill->cost + decode->cost;
	combined.score = prefill->score + (double)transfer + decode->score;
	combined.has_room = prefill->has_room && decode->has_room;
	combined.in_time = meets_class_times(policy, call, now, &combined);
	return combined;
}

static bool
fits(const forecast_t *forecast)
{
	return forecast->up != NULL && forecast->has_room && forecast->in_time;
}

/* Whether a candidate that fits was found. */
static bool
fit_found(const best_by_role_t *by_role)
{
	return fits(&by_role->mixed) ||
	    (fits(&by_role->prefill) && fits(&by_role->decode));
}

/* A stride coprime to @len, so that it visits each index once. */
static guint
coprime_stride(dff_ctx_t *ctx, guint len)
{
	guint stride = 1 + dff_rand_below(ctx, len);
	guint a = stride;
	guint b = len;

	while (b != 0) {
		guint rest = a % b;

		a = b;
		b = rest;
	}
	return a == 1 ? stride : 1;
}

/** struct scan_order - order in which a pool is searched, and how far */
typedef struct scan_order {
	guint start;
	guint stride;
	guint max; /* most candidates to consider */
	guint enough; /* candidates to consider if one of them fits */
} scan_order_t;

static upstream_t *
upstream_in_order(const scan_order_t *order, const GPtrArray *ups, guint i)
{
	return g_ptr_array_index(
	    ups, (order->start + (guint64)i * order->stride) % ups->len);
}

/* Consider upstreams with a fresh report; returns how many there were. */
static guint
consider_reported(dff_policy_t *policy, const dff_policy_call_t *call,
    const GPtrArray *ups, const scan_order_t *order, dff_time_t now,
    best_by_role_t *by_role)
{
	guint considered = 0;

	for (guint i = 0; i < ups->len && considered < order->max; i++) {
		upstream_t *up = upstream_in_order(order, ups, i);

		if (!dff_fleet_has_fresh_report(up, now))
			continue;
		if (considered >= order->enough && fit_found(by_role) &&
		    !call->suspect)
			break;
		consider(policy, call, up, now, by_role);
		considered++;
	}
	return considered;
}

/*
 * Consider candidates from a random one on until one fits. In a large fleet a
 * node has reports of few engines in other domains, so an engine without a
 * fresh report is considered only if no engine has one.
 */
static void
consider_pool(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_policy_call_t *call, const GPtrArray *ups, dff_time_t now,
    best_by_role_t *by_role)
{
	bool sampling = feature_enabled(policy, DFF_FEATURE_SAMPLING);
	scan_order_t order = {
	    .max = sampling ? MIN(ups->len, CANDIDATES_MAX) : ups->len,
	    .enough = sampling ? CANDIDATES_ENOUGH : ups->len};

	order.start = dff_rand_below(ctx, ups->len);
	order.stride = coprime_stride(ctx, ups->len);
	if (ups->len > CANDIDATES_MAX &&
	    consider_reported(policy, call, ups, &order, now, by_role) > 0)
		return;
	for (guint i = 0; i < order.max; i++) {
		if (i >= order.enough && fit_found(by_role) && !call->suspect)
			return;
		consider(policy, call, upstream_in_order(&order, ups, i), now,
		    by_role);
	}
}

bool
dff_choose_upstream(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_policy_call_t *call, dff_time_t now, forecast_t *best)
{
	const GPtrArray *ups;
	best_by_role_t by_role;

	ups =
	    policy->pool_by_index[policy->entries[call->entry].pool]->upstreams;
	memset(&by_role, 0, sizeof(by_role));
	if (ups->len > 0)
		consider_pool(ctx, policy, call, ups, now, &by_role);
	*best = by_role.mixed;
	if (by_role.prefill.up != NULL && by_role.decode.up != NULL) {
		forecast_t combined = combine_stages(
		    policy, call, now, &by_role.prefill, &by_role.decode);

		keep_best(call, &combined, best);
	}
	return best->up != NULL;
}
