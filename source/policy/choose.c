/*
 * The choice of an upstream. For each candidate the time to the first
 * token, the gap between tokens and the time to the whole answer are
 * forecast; among those that meet the class's time the one with the least
 * cost wins.
 */
#include <math.h>
#include <string.h>

#include "policy/state.h"

/* Candidates looked at: as many as this, and more while none fits. */
#define LOOK_ENOUGH 2
#define LOOK_MOST   16
/* Time that the way to another failure domain and back costs. */
#define DOMAIN_COST (10 * DFF_MSEC)
/* Quantile of the output length that a whole answer is planned with. */
#define OUTPUT_QUANTILE 0.8
/* Part of a class's time that a forecast may use up. */
#define TIME_MARGIN 0.9
/* Work ahead on an engine beyond which calls wait at the node. */
#define AHEAD_MAX (200 * DFF_MSEC)
/* Time to move one piece of KV cache inside and across failure domains. */
#define KV_PIECE_NEAR (400 * DFF_USEC)
#define KV_PIECE_FAR  (1200 * DFF_USEC)
/* Slots taken for granted at a plain service that told none. */
#define SERVICE_SLOTS 8
/* Cost of each other call that would share an engine with a suspect. */
#define SUSPECT_COST (2 * DFF_SEC)
/* Cost of sending a suspect where those of the other kind go. */
#define MIXED_COST (60 * DFF_SEC)

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
	forecast->first_safe = forecast->first;
	forecast->whole = forecast->first;
	forecast->room = load.running < slots;
	forecast->score = (double)forecast->first + load.running;
}

/* Memory pieces still free, less those that work sent since will take. */
static double
free_pieces(const upstream_t *up)
{
	double since;

	since = up->own.prefill + up->peers.prefill - up->base.prefill;
	return up->free_pieces - dff_cost_pieces(MAX(since, 0));
}

/* Whether the engine would not take up any call soon after it gets it. */
static bool
is_full(const pool_state_t *pool, const forecast_t *forecast)
{
	if (forecast->ahead_us >= (double)AHEAD_MAX)
		return true;
	if (forecast->batch < 1 || pool->batch_cap <= 0)
		return false;
	return forecast->batch >= pool->batch_cap;
}

static bool
has_room(const dff_policy_t *policy, const dff_work_t *work,
    const upstream_t *up, const forecast_t *forecast)
{
	double pieces;

	if (forecast->full)
		return false;
	if (forecast->batch < 1)
		return true;
	pieces = dff_cost_pieces((double)work->prompt_tokens +
	    MAX(work->max_tokens,
		policy->entries[work->entry].max_output_tokens));
	return up->total_pieces == 0 || free_pieces(up) >= pieces;
}

static void
forecast_engine(const dff_policy_t *policy, const dff_work_t *work,
    upstream_t *up, dff_time_t now, forecast_t *forecast)
{
	const pool_state_t *pool = policy->pool_at[up->pool];
	load_t load = dff_fleet_load(policy, up, now);
	double output = dff_cost_output(policy, work, OUTPUT_QUANTILE);
	double fresh = work->prompt_tokens + work->delivered;
	double pace;

	if (part_on(policy, DFF_PART_AFFINITY))
		forecast->cached = MIN(dff_cache_match(&up->cache, work->prefix,
					   work->prefix_count, now),
		    work->prompt_tokens);
	fresh -= forecast->cached;
	if (up->role == DFF_ROLE_DECODE)
		fresh = 0;
	if (up->role == DFF_ROLE_PREFILL)
		output = 0;
	forecast->batch = load.running;
	forecast->step_us = dff_cost_step(policy, up, load.running + 1);
	forecast->queued_tokens = load.prefill + fresh;
	pace = forecast->step_us;
	if (up->role == DFF_ROLE_MIXED)
		pace *= dff_cost_stretch(policy, pool);
	forecast->ahead_us = load.prefill * up->prefill_us;
	forecast->cost = fresh * up->prefill_us +
	    output * forecast->step_us / MAX(load.running + 1, 1);
	forecast->first =
	    (dff_time_t)dff_cost_first(policy, up, forecast->queued_tokens);
	forecast->first_safe = (dff_time_t)((double)forecast->first *
	    dff_cost_margin(policy, pool));
	forecast->gap = (dff_time_t)forecast->step_us;
	forecast->whole = forecast->first + (dff_time_t)(output * pace);
	forecast->full = is_full(pool, forecast);
	forecast->room = has_room(policy, work, up, forecast);
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

/*
 * What is at stake when a suspect runs at an upstream. No node knows the
 * suspects of the others, so those that gave no token yet, of which one may
 * well be the cause, are kept apart from the rest by the upstream's place
 * in the pool, and from each other by their hash.
 */
static double
suspect_cost(const dff_work_t *work, const upstream_t *up, double batch)
{
	double cost = batch * (double)SUSPECT_COST;
	uint64_t hash;

	if (work->delivered > 0)
		return cost + (up->place % 2 == 0 ? (double)MIXED_COST : 0);
	hash = dff_hash(up->vm.id, strlen(up->vm.id), work->body_hash);
	cost += (double)(hash % 16) / 16 * (double)SUSPECT_COST;
	return cost + (up->place % 2 == 1 ? (double)MIXED_COST : 0);
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
		forecast->score += suspect_cost(work, up, forecast->batch);
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

/** struct pick - the best so far of each role */
typedef struct pick {
	forecast_t mixed;
	forecast_t prefill;
	forecast_t decode;
} pick_t;

static void
keep_better(const dff_work_t *work, const forecast_t *fresh, forecast_t *best)
{
	if (best->up == NULL || better(work, fresh, best))
		*best = *fresh;
}

static void
look_at(dff_policy_t *policy, const dff_work_t *work, upstream_t *up,
    dff_time_t now, pick_t *pick)
{
	forecast_t forecast;

	if (!dff_fleet_usable(policy, up, now))
		return;
	dff_choose_forecast(policy, work, up, now, &forecast);
	switch (up->role) {
	case DFF_ROLE_PREFILL:
		keep_better(work, &forecast, &pick->prefill);
		return;
	case DFF_ROLE_DECODE:
		keep_better(work, &forecast, &pick->decode);
		return;
	default:
		keep_better(work, &forecast, &pick->mixed);
		return;
	}
}

/* Time that the KV cache of a call takes between two engines. */
static dff_time_t
handover_time(
    const dff_work_t *work, const upstream_t *from, const upstream_t *to)
{
	double pieces = dff_cost_pieces(work->prompt_tokens + work->delivered);
	bool near = strcmp(from->vm.domain, to->vm.domain) == 0;

	return (dff_time_t)(pieces * (near ? KV_PIECE_NEAR : KV_PIECE_FAR));
}

/* Prefill at one engine, then decode at the other. */
static forecast_t
join(const dff_policy_t *policy, const dff_work_t *work, dff_time_t now,
    const forecast_t *prefill, const forecast_t *decode)
{
	forecast_t joined = *decode;
	dff_time_t handover = handover_time(work, prefill->up, decode->up);

	joined.prefill_up = prefill->up;
	joined.cached = prefill->cached;
	joined.ahead_us = prefill->ahead_us;
	joined.first = prefill->first + handover + decode->first;
	joined.first_safe = prefill->first_safe + handover + decode->first;
	joined.whole = prefill->first + handover + decode->whole;
	joined.cost = prefill->cost + decode->cost;
	joined.score = prefill->score + (double)handover + decode->score;
	joined.room = prefill->room && decode->room;
	joined.in_time = meets_class(policy, work, now, &joined);
	return joined;
}

static bool
fits(const forecast_t *forecast)
{
	return forecast->up != NULL && forecast->room && forecast->in_time;
}

/* Whether more candidates need not be looked at. */
static bool
satisfied(const pick_t *pick)
{
	return fits(&pick->mixed) ||
	    (fits(&pick->prefill) && fits(&pick->decode));
}

/* A step that visits every row of a table of this length once. */
static guint
stride_of(dff_ctx_t *ctx, guint len)
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

/* How far a look at a pool goes, and in which order. */
typedef struct walk {
	guint start;
	guint stride;
	guint most; /* candidates at most */
	guint enough; /* candidates, if one of them fits */
} walk_t;

static upstream_t *
walk_at(const walk_t *walk, const GPtrArray *ups, guint i)
{
	return g_ptr_array_index(
	    ups, (walk->start + (guint64)i * walk->stride) % ups->len);
}

/* Look at those whose load is known; returns how many there were. */
static guint
look_at_known(dff_policy_t *policy, const dff_work_t *work,
    const GPtrArray *ups, const walk_t *walk, dff_time_t now, pick_t *pick)
{
	guint looked = 0;

	for (guint i = 0; i < ups->len && looked < walk->most; i++) {
		upstream_t *up = walk_at(walk, ups, i);

		if (!dff_fleet_fresh(up, now))
			continue;
		if (looked >= walk->enough && satisfied(pick) && !work->suspect)
			break;
		look_at(policy, work, up, now, pick);
		looked++;
	}
	return looked;
}

/*
 * Look at candidates from a random one on until one fits. In a large fleet
 * a node knows the load of few engines in other domains: one that told
 * nothing is no candidate while others did.
 */
static void
look_around(dff_ctx_t *ctx, dff_policy_t *policy, const dff_work_t *work,
    const GPtrArray *ups, dff_time_t now, pick_t *pick)
{
	bool sampling = part_on(policy, DFF_PART_SAMPLING);
	walk_t walk = {.most = sampling ? MIN(ups->len, LOOK_MOST) : ups->len,
	    .enough = sampling ? LOOK_ENOUGH : ups->len};

	walk.start = dff_rand_below(ctx, ups->len);
	walk.stride = stride_of(ctx, ups->len);
	if (ups->len > LOOK_MOST &&
	    look_at_known(policy, work, ups, &walk, now, pick) > 0)
		return;
	for (guint i = 0; i < walk.most; i++) {
		if (i >= walk.enough && satisfied(pick) && !work->suspect)
			return;
		look_at(policy, work, walk_at(&walk, ups, i), now, pick);
	}
}

bool
dff_choose_upstream(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_work_t *work, dff_time_t now, forecast_t *best)
{
	const GPtrArray *ups;
	pick_t pick;

	ups = policy->pool_at[policy->entries[work->entry].pool]->upstreams;
	memset(&pick, 0, sizeof(pick));
	if (ups->len > 0)
		look_around(ctx, policy, work, ups, now, &pick);
	*best = pick.mixed;
	if (pick.prefill.up != NULL && pick.decode.up != NULL) {
		forecast_t joined =
		    join(policy, work, now, &pick.prefill, &pick.decode);

		keep_better(work, &joined, best);
	}
	return best->up != NULL;
}
