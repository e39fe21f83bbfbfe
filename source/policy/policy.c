/*
 * Entry points of the policy: they take calls, decide at once whether each
 * runs, waits or is refused, and follow the attempts to their ends.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy/state.h"

/* Fraction of a class's time to the first token that a call may wait here. */
#define WAIT_FRACTION 0.5
/* Time between two checks of the waiting calls when nothing happens. */
#define CHECK_INTERVAL (20 * DFF_MSEC)
/*
 * Time between two counts of a pool's usable upstreams and of the calls that
 * wait for it at peers.
 */
#define COUNT_INTERVAL (100 * DFF_MSEC)
/* Bounds of the time after which a refused caller may retry. */
#define RETRY_AFTER_MIN (100 * DFF_MSEC)
#define RETRY_AFTER_MAX (30 * DFF_SEC)
/* Retry budget of a pool: tokens earned per call, and the most it may hold. */
#define RETRY_TOKENS_PER_CALL 0.2
#define RETRY_TOKENS_MAX      64.0
/* Weight of one reply in a service's learned time. */
#define SERVICE_GAIN 0.1

/* ---- creation and release ---- */

static void
drop_pool_state(gpointer data)
{
	pool_state_t *pool = data;

	g_ptr_array_unref(pool->upstreams);
	g_free(pool);
}

static void
drop_attempt(gpointer data)
{
	attempt_t *attempt = data;

	g_free(attempt->prefix);
	g_free(attempt);
}

static GHashTable *
new_name_table(GDestroyNotify drop)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, drop);
}

dff_policy_t *
dff_policy_new(dff_ctx_t *ctx, const dff_policy_config_t *config)
{
	dff_policy_t *policy;

	(void)ctx;
	policy = g_new0(dff_policy_t, 1);
	policy->config = *config;
	policy->visible_nodes = 1;
	policy->total_nodes = 1;
	policy->upstreams = new_name_table(dff_upstream_drop);
	policy->peer_ids = new_name_table(NULL);
	policy->entry_states = new_name_table(g_free);
	policy->pool_states = new_name_table(drop_pool_state);
	policy->pairs = new_name_table(dff_limit_drop_pair);
	policy->owner_accounts = new_name_table(g_free);
	policy->attempts = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, drop_attempt);
	policy->waiting = g_ptr_array_new_with_free_func(g_free);
	return policy;
}

void
dff_policy_drop(dff_policy_t *policy)
{
	if (policy == NULL)
		return;
	g_ptr_array_unref(policy->waiting);
	g_hash_table_unref(policy->attempts);
	g_hash_table_unref(policy->owner_accounts);
	g_hash_table_unref(policy->pairs);
	g_hash_table_unref(policy->pool_states);
	g_hash_table_unref(policy->entry_states);
	g_hash_table_unref(policy->peer_ids);
	g_hash_table_unref(policy->upstreams);
	g_free(policy->pool_by_index);
	g_free(policy->entry_by_index);
	g_free(policy->owner_by_index);
	dff_catalogue_drop(policy->cat);
	g_free(policy);
}

/* ---- the catalogue ---- */

static pool_state_t *
pool_state(dff_policy_t *policy, const char *name)
{
	pool_state_t *pool = g_hash_table_lookup(policy->pool_states, name);

	if (pool != NULL)
		return pool;
	pool = g_new0(pool_state_t, 1);
	pool->upstreams = g_ptr_array_new();
	pool->retry_tokens = RETRY_TOKENS_MAX;
	g_hash_table_insert(policy->pool_states, g_strdup(name), pool);
	return pool;
}

static entry_state_t *
entry_state(dff_policy_t *policy, const char *name)
{
	entry_state_t *entry = g_hash_table_lookup(policy->entry_states, name);

	if (entry != NULL)
		return entry;
	entry = g_new0(entry_state_t, 1);
	g_hash_table_insert(policy->entry_states, g_strdup(name), entry);
	return entry;
}

/*
 * Entry names of the waiting calls, taken before the old catalogue is released.
 */
static GPtrArray *
waiting_names(const dff_policy_t *policy)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < policy->waiting->len; i++) {
		const waiting_t *wait = g_ptr_array_index(policy->waiting, i);
		const char *name = "";

		if (!wait->entry_removed)
			name = policy->entries[wait->call.entry].name;
		g_ptr_array_add(names, g_strdup(name));
	}
	return names;
}

static void
count_waiting(dff_policy_t *policy, const waiting_t *wait, int delta)
{
	const dff_entry_t *entry = &policy->entries[wait->call.entry];
	account_pair_t *pair;

	pair = dff_limit_pair(
	    policy, policy->owners[entry->owner].name, entry->name);
	pair->local.waiting += (uint32_t)delta;
	policy->owner_by_index[entry->owner]->waiting += (uint32_t)delta;
	policy->pool_by_index[entry->pool]->waiting += (uint32_t)delta;
}

static void
uncount_waiting(dff_policy_t *policy)
{
	for (guint i = 0; i < policy->waiting->len; i++) {
		const waiting_t *wait = g_ptr_array_index(policy->waiting, i);

		if (!wait->entry_removed)
			count_waiting(policy, wait, -1);
	}
}

static void
recount_waiting(dff_policy_t *policy, const GPtrArray *names)
{
	for (guint i = 0; i < policy->waiting->len; i++) {
		waiting_t *wait = g_ptr_array_index(policy->waiting, i);
		int entry = -1;

		if (policy->cat != NULL)
			entry = dff_catalogue_find_entry(
			    policy->cat, g_ptr_array_index(names, i));
		wait->entry_removed = entry < 0;
		if (wait->entry_removed)
			continue;
		wait->call.entry = (uint32_t)entry;
		wait->owner = policy->entries[entry].owner;
		wait->pool = policy->entries[entry].pool;
		wait->due = dff_queue_due(policy, &wait->call);
		count_waiting(policy, wait, 1);
	}
	dff_queue_sort(policy);
}

static void
index_catalogue(dff_policy_t *policy)
{
	dff_catalogue_t *cat = policy->cat;
	uint32_t classes = 0;

	g_free(policy->pool_by_index);
	g_free(policy->entry_by_index);
	g_free(policy->owner_by_index);
	policy->pool_by_index = NULL;
	policy->entry_by_index = NULL;
	policy->owner_by_index = NULL;
	policy->pool_count = 0;
	policy->entry_count = 0;
	policy->owner_count = 0;
	if (cat == NULL)
		return;
	policy->entries = dff_catalogue_entries(cat, &policy->entry_count);
	policy->pools = dff_catalogue_pools(cat, &policy->pool_count);
	policy->owners = dff_catalogue_owners(cat, &policy->owner_count);
	policy->classes = dff_catalogue_classes(cat, &classes);
	policy->pool_by_index = g_new0(pool_state_t *, policy->pool_count);
	policy->entry_by_index = g_new0(entry_state_t *, policy->entry_count);
	policy->owner_by_index = g_new0(account_t *, policy->owner_count);
	for (uint32_t i = 0; i < policy->pool_count; i++)
		policy->pool_by_index[i] =
		    pool_state(policy, policy->pools[i].name);
	for (uint32_t i = 0; i < policy->entry_count; i++)
		policy->entry_by_index[i] =
		    entry_state(policy, policy->entries[i].name);
	for (uint32_t i = 0; i < policy->owner_count; i++)
		policy->owner_by_index[i] =
		    dff_limit_owner(policy, policy->owners[i].name);
}

void
dff_policy_set_catalogue(
    dff_ctx_t *ctx, dff_policy_t *policy, dff_catalogue_t *cat)
{
	dff_catalogue_t *old = policy->cat;
	GPtrArray *names = waiting_names(policy);

	(void)ctx;
	policy->epoch++;
	uncount_waiting(policy);
	policy->cat = cat == NULL ? NULL : dff_catalogue_keep(cat);
	index_catalogue(policy);
	recount_waiting(policy, names);
	dff_fleet_index(policy);
	g_ptr_array_unref(names);
	dff_catalogue_drop(old);
}

/* ---- decisions ---- */

static void
decide_refuse(dff_decision_t *decision, int status, const char *code,
    dff_time_t retry_after)
{
	decision->kind = DFF_DECISION_REFUSE;
	decision->status = status;
	decision->code = code;
	decision->retry_after = retry_after;
}

/* Add jitter, so that refused callers do not all retry at once. */
static dff_time_t
jittered_retry_after(dff_ctx_t *ctx, double wait_us)
{
	dff_time_t base;

	base = (dff_time_t)CLAMP(
	    wait_us, (double)RETRY_AFTER_MIN, (double)RETRY_AFTER_MAX);
	return base + (dff_time_t)(dff_rand_unit(ctx) * (double)base / 2);
}

static void
decide_run(const forecast_t *forecast, dff_decision_t *decision)
{
	const upstream_t *up = forecast->up;

	decision->kind = DFF_DECISION_RUN;
	(void)dff_name_copy(decision->vm, up->vm.id);
	(void)g_strlcpy(decision->addr, up->vm.addr, sizeof(decision->addr));
	if (forecast->prefill_up != NULL) {
		(void)dff_name_copy(
		    decision->prefill_vm, forecast->prefill_up->vm.id);
		(void)g_strlcpy(decision->prefill_addr,
		    forecast->prefill_up->vm.addr,
		    sizeof(decision->prefill_addr));
	}
	decision->first_token = forecast->first_token;
	decision->total_time = forecast->total_time;
	decision->cached_tokens = forecast->cached_tokens;
	(void)g_snprintf(decision->reason, sizeof(decision->reason),
	    "first_ms=%.1f gap_ms=%.1f whole_ms=%.1f ahead_ms=%.1f batch=%.0f "
	    "cached=%u",
	    (double)forecast->first_token / DFF_MSEC,
	    (double)forecast->token_gap / DFF_MSEC,
	    (double)forecast->total_time / DFF_MSEC,
	    forecast->backlog_us / DFF_MSEC, forecast->batch,
	    forecast->cached_tokens);
}

/* Refresh counts that would be too expensive to make for each call. */
static void
count_pool(dff_policy_t *policy, uint32_t index, dff_time_t now)
{
	pool_state_t *pool = policy->pool_by_index[index];

	if (pool->counted_at != 0 && now - pool->counted_at < COUNT_INTERVAL)
		return;
	pool->counted_at = now;
	pool->usable = 0;
	for (guint i = 0; i < pool->upstreams->len; i++)
		if (dff_fleet_is_usable(
			policy, g_ptr_array_index(pool->upstreams, i), now))
			pool->usable++;
	pool->peers_waiting = dff_limit_peers_waiting(policy, index, now);
}

/* Predicted time until a call that waits here would reach an engine. */
static double
queue_wait(dff_policy_t *policy, const dff_policy_call_t *call, dff_time_t now)
{
	uint32_t index = policy->entries[call->entry].pool;
	const pool_state_t *pool = policy->pool_by_index[index];
	double ahead;
	double peers_waiting = 0;
	double share;

	count_pool(policy, index, now);
	ahead = dff_queue_ahead(policy, call, dff_queue_due(policy, call), now);
	if (feature_enabled(policy, DFF_FEATURE_PEERS))
		peers_waiting = pool->peers_waiting;
	share = (pool->waiting + 1) / (pool->waiting + 1 + peers_waiting);
	return ahead / (MAX(pool->usable, 1) * share);
}

static void
decide_wait_or_refuse(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_policy_call_t *call, const forecast_t *best, dff_time_t now,
    dff_decision_t *decision)
{
	const dff_entry_t *entry = &policy->entries[call->entry];
	const dff_class_t *cls = &policy->classes[entry->cls];
	dff_time_t elapsed = now - call->arrived_at;
	double wait = queue_wait(policy, call, now);
	double max_wait = WAIT_FRACTION * (double)cls->first_token;
	double excess;

	excess = MAX((double)elapsed + wait + (double)best->first_token_bound -
		(double)cls->first_token,
	    (double)elapsed + wait - max_wait);
	/*
	 * An answer that has begun may wait as long as it can still end in
	 * time.
	 */
	if (call->delivered > 0)
		excess = (double)elapsed + wait + (double)best->total_time -
		    (double)cls->whole;
	(void)g_snprintf(decision->reason, sizeof(decision->reason),
	    "wait_ms=%.1f first_ms=%.1f past_ms=%.1f ahead_ms=%.1f room=%d "
	    "in_time=%d",
	    wait / DFF_MSEC, (double)best->first_token / DFF_MSEC,
	    (double)elapsed / DFF_MSEC, best->backlog_us / DFF_MSEC,
	    best->has_room, best->in_time);
	decision->kind = DFF_DECISION_WAIT;
	if (!feature_enabled(policy, DFF_FEATURE_ADMISSION))
		return;
	if (excess <= 0)
		return;
	decide_refuse(decision, 503, "queue_full",
	    jittered_retry_after(ctx, excess + wait));
}

static bool
retry_allowed(dff_policy_t *policy, const dff_policy_call_t *call)
{
	pool_state_t *pool;

	pool = policy->pool_by_index[policy->entries[call->entry].pool];
	if (call->attempts == 0) {
		pool->retry_tokens =
		    MIN(pool->retry_tokens + RETRY_TOKENS_PER_CALL,
			RETRY_TOKENS_MAX);
		return true;
	}
	if (pool->retry_tokens < 1)
		return false;
	pool->retry_tokens -= 1;
	return true;
}

static void
decide_baseline(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_policy_call_t *call, dff_time_t now, dff_decision_t *decision)
{
	upstream_t *up = dff_baseline_choose(ctx, policy, call, now);
	forecast_t forecast;

	if (up == NULL) {
		decide_refuse(decision, 503, "no_upstream",
		    jittered_retry_after(ctx, DFF_SEC));
		return;
	}
	dff_choose_forecast(policy, call, up, now, &forecast);
	decide_run(&forecast, decision);
}

static void
decide(dff_ctx_t *ctx, dff_policy_t *policy, const dff_policy_call_t *call,
    dff_time_t now, dff_decision_t *decision, double *cost)
{
	const dff_entry_t *entry = &policy->entries[call->entry];
	forecast_t best;

	*cost = 0;
	if (policy->config.kind != DFF_POLICY_PREDICT) {
		decide_baseline(ctx, policy, call, now, decision);
		return;
	}
	if (!dff_choose_upstream(ctx, policy, call, now, &best)) {
		decide_refuse(decision, 503, "no_upstream",
		    jittered_retry_after(ctx, DFF_SEC));
		return;
	}
	*cost = best.cost;
	if (best.full && !call->suspect)
		policy->pool_by_index[entry->pool]->full_epoch = policy->epoch;
	if (!dff_limit_allows_running(policy, entry, now))
		best.has_room = false;
	if (best.has_room && best.in_time) {
		decide_run(&best, decision);
		return;
	}
	/*
	 * An answer that has begun continues even if late, as it would be cut
	 * off otherwise.
	 */
	if (best.has_room &&
	    (call->delivered > 0 ||
		!feature_enabled(policy, DFF_FEATURE_ADMISSION))) {
		decide_run(&best, decision);
		return;
	}
	decide_wait_or_refuse(ctx, policy, call, &best, now, decision);
}

void
dff_policy_offer(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_policy_call_t *call, dff_time_t now, dff_decision_t *decision)
{
	const dff_entry_t *entry;
	dff_time_t wait;
	double cost;

	memset(decision, 0, sizeof(*decision));
	decision->call = call->handle;
	if (call->entry >= policy->entry_count) {
		decide_refuse(decision, 404, "unknown_entry", 0);
		return;
	}
	entry = &policy->entries[call->entry];
	if (call->attempts == 0)
		dff_limit_count_arrival(policy, entry, now);
	if (entry->max_prompt_tokens > 0 &&
	    call->prompt_tokens > entry->max_prompt_tokens) {
		decide_refuse(decision, 413, "prompt_too_long", 0);
		return;
	}
	wait = call->attempts > 0 ? 0 : dff_limit_take_rate(policy, entry, now);
	if (wait > 0) {
		decide_refuse(decision, 429, "rate_limit",
		    jittered_retry_after(ctx, (double)wait));
		return;
	}
	if (!retry_allowed(policy, call)) {
		decide_refuse(decision, 503, "retry_budget",
		    jittered_retry_after(ctx, DFF_SEC));
		return;
	}
	decide(ctx, policy, call, now, decision, &cost);
	if (decision->kind == DFF_DECISION_WAIT)
		dff_queue_add(policy, call, cost, now);
}

bool
dff_policy_decide_next(dff_ctx_t *ctx, dff_policy_t *policy, dff_time_t now,
    dff_decision_t *decision)
{
	guint index;
	double cost;

	while ((index = dff_queue_pick(policy, now)) < policy->waiting->len) {
		waiting_t *wait = g_ptr_array_index(policy->waiting, index);

		memset(decision, 0, sizeof(*decision));
		decision->call = wait->call.handle;
		wait->decided_at = now;
		wait->epoch = policy->epoch;
		if (wait->entry_removed)
			decide_refuse(decision, 404, "unknown_entry", 0);
		else
			decide(ctx, policy, &wait->call, now, decision, &cost);
		if (decision->kind == DFF_DECISION_WAIT)
			continue;
		dff_queue_remove(policy, index);
		return true;
	}
	return false;
}

dff_time_t
dff_policy_next_check(const dff_policy_t *policy, dff_time_t now)
{
	return policy->waiting->len > 0 ? now + CHECK_INTERVAL : DFF_TIME_NEVER;
}

void
dff_policy_remove_waiting(dff_policy_t *policy, uint64_t call)
{
	int index = dff_queue_find(policy, call);

	if (index >= 0)
		dff_queue_remove(policy, (guint)index);
}

/* ---- attempts ---- */

static void
count_running(dff_policy_t *policy, const attempt_t *attempt, int delta)
{
	account_pair_t *pair;

	pair = dff_limit_pair(policy, attempt->owner, attempt->entry);
	pair->local.running += (uint32_t)delta;
	dff_limit_owner(policy, attempt->owner)->running += (uint32_t)delta;
}

/* Set the load that the attempt adds, by the engine's role. */
static void
plan_engine_load(dff_policy_t *policy, const dff_policy_call_t *call,
    attempt_t *attempt, dff_time_t now)
{
	upstream_t *up = attempt->up;

	if (up->role != DFF_ROLE_DECODE) {
		attempt->remaining.prefill =
		    call->prompt_tokens - attempt->cached_tokens;
		dff_cache_store(
		    &up->cache, call->prefix, call->prefix_count, now);
	}
	if (up->role != DFF_ROLE_PREFILL)
		attempt->remaining.decode =
		    dff_cost_output_tokens(policy, call, 0.5);
}

void
dff_policy_begin_attempt(dff_ctx_t *ctx, dff_policy_t *policy,
    uint64_t attempt_id, const dff_policy_call_t *call, const char *vm,
    uint32_t cached_tokens, dff_time_t now)
{
	upstream_t *up = dff_fleet_find(policy, vm);
	attempt_t *attempt;
	forecast_t forecast;
	const dff_entry_t *entry;

	(void)ctx;
	if (up == NULL || up->pool < 0 || call->entry >= policy->entry_count)
		return;
	entry = &policy->entries[call->entry];
	dff_choose_forecast(policy, call, up, now, &forecast);
	attempt = g_new0(attempt_t, 1);
	attempt->up = up;
	(void)dff_name_copy(attempt->entry, entry->name);
	(void)dff_name_copy(attempt->owner, policy->owners[entry->owner].name);
	attempt->prompt_tokens = call->prompt_tokens;
	attempt->cached_tokens = MIN(cached_tokens, call->prompt_tokens);
	attempt->started_at = now;
	attempt->predicted_first_us = (double)forecast.first_token;
	attempt->queued_tokens = forecast.queued_tokens;
	attempt->step_us = forecast.step_us;
	attempt->cost = forecast.cost;
	attempt->suspect = call->suspect;
	attempt->prefix = g_memdup2(
	    call->prefix, call->prefix_count * sizeof(call->prefix[0]));
	attempt->prefix_count = call->prefix_count;
	attempt->remaining.running = 1;
	if (policy->pools[up->pool].kind == DFF_VM_ENGINE)
		plan_engine_load(policy, call, attempt, now);
	up->last_used_at = now;
	up->own_load.running += 1;
	up->own_load.prefill += attempt->remaining.prefill;
	up->own_load.decode += attempt->remaining.decode;
	up->suspects += call->suspect ? 1 : 0;
	count_running(policy, attempt, 1);
	dff_limit_charge(policy, attempt->owner, attempt->cost, now);
	dff_fleet_sample(policy, up, now);
	g_hash_table_insert(policy->attempts,
	    g_memdup2(&attempt_id, sizeof(attempt_id)), attempt);
}

void
dff_policy_add_tokens(dff_ctx_t *ctx, dff_policy_t *policy, uint64_t attempt_id,
    uint32_t count, dff_time_t now)
{
	attempt_t *attempt = g_hash_table_lookup(policy->attempts, &attempt_id);
	double done;

	(void)ctx;
	if (attempt == NULL || count == 0)
		return;
	if (attempt->tokens == 0) {
		if (attempt->up->pool >= 0 &&
		    attempt->up->role == DFF_ROLE_MIXED)
			dff_cost_learn_first_token(
			    policy->pool_by_index[attempt->up->pool], attempt,
			    now);
		attempt->first_token_at = now;
		attempt->up->own_load.prefill -= attempt->remaining.prefill;
		attempt->remaining.prefill = 0;
	}
	attempt->tokens += count;
	done = MIN(count, attempt->remaining.decode);
	attempt->remaining.decode -= done;
	attempt->up->own_load.decode -= done;
	dff_fleet_sample(policy, attempt->up, now);
}

static void
learn_end(dff_policy_t *policy, const attempt_t *attempt,
    const dff_ev_attempt_end_t *usage, dff_time_t now)
{
	entry_state_t *entry = entry_state(policy, attempt->entry);
	double duration = (double)(now - attempt->started_at);

	if (usage == NULL) {
		entry->service_us += entry->service_us == 0 ?
		    duration :
		    SERVICE_GAIN * (duration - entry->service_us);
		return;
	}
	if (attempt->up->pool >= 0 && attempt->up->role == DFF_ROLE_PREFILL)
		dff_cost_learn_first_token(
		    policy->pool_by_index[attempt->up->pool], attempt, now);
	if (attempt->tokens > 0)
		dff_lengths_add(&entry->lengths, usage->output_tokens);
	if (attempt->up->pool >= 0 && attempt->up->role == DFF_ROLE_MIXED)
		dff_cost_learn_pace(
		    policy->pool_by_index[attempt->up->pool], attempt, now);
	if (attempt->up->role == DFF_ROLE_DECODE)
		return;
	dff_cache_correct(&attempt->up->cache, attempt->cached_tokens,
	    usage->cached_tokens, attempt->prefix, attempt->prefix_count, now);
}

void
dff_policy_end_attempt(dff_ctx_t *ctx, dff_policy_t *policy,
    uint64_t attempt_id, dff_attempt_outcome_t outcome,
    const dff_ev_attempt_end_t *usage, dff_time_t now)
{
	attempt_t *attempt = g_hash_table_lookup(policy->attempts, &attempt_id);
	upstream_t *up;

	(void)ctx;
	if (attempt == NULL)
		return;
	policy->epoch++;
	up = attempt->up;
	up->last_used_at = now;
	up->own_load.running -= 1;
	up->own_load.prefill -= attempt->remaining.prefill;
	up->own_load.decode -= attempt->remaining.decode;
	up->suspects -= attempt->suspect ? 1 : 0;
	count_running(policy, attempt, -1);
	dff_fleet_sample(policy, up, now);
	switch (outcome) {
	case DFF_ATTEMPT_DONE:
		learn_end(policy, attempt, usage, now);
		dff_fleet_record_success(up);
		break;
	case DFF_ATTEMPT_CANCELLED:
	case DFF_ATTEMPT_REJECTED:
		break;
	case DFF_ATTEMPT_BROKEN:
	case DFF_ATTEMPT_TIMEOUT:
	case DFF_ATTEMPT_CONNECT_FAILED:
		dff_cache_clear(&up->cache);
		dff_fleet_record_failure(policy, up, outcome, now);
		break;
	}
	g_hash_table_remove(policy->attempts, &attempt_id);
	dff_fleet_remove_if_idle(policy, up);
}

/* ---- listings ---- */

size_t
dff_policy_list_loads(
    const dff_policy_t *policy, dff_upstream_load_t *loads, size_t max)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, policy->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const upstream_t *up = value;

		if (up->last_used_at == 0)
			continue;
		if (count < max) {
			(void)dff_name_copy(loads[count].vm, up->vm.id);
			loads[count].running = (uint32_t)up->own_load.running;
			loads[count].prefill_tokens =
			    (uint64_t)MAX(up->own_load.prefill, 0);
			loads[count].decode_tokens =
			    (uint64_t)MAX(up->own_load.decode, 0);
		}
		count++;
	}
	return count;
}

char *
dff_policy_status(const dff_policy_t *policy, dff_time_t now)
{
	GString *text = g_string_new(NULL);
	GHashTableIter iter;
	gpointer value;
	char *copy;

	g_hash_table_iter_init(&iter, policy->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const upstream_t *up = value;
		load_t load = dff_fleet_load(policy, up, now);

		g_string_append_printf(text,
		    "%s pool=%s domain=%s role=%s usable=%d drained=%d "
		    "leaving=%d changing=%d running=%.0f prefill=%.0f own=%.0f "
		    "peers=%.0f report_age_ms=%.0f failures=%u\n",
		    up->vm.id, up->vm.pool, up->vm.domain,
		    dff_role_name(up->role),
		    dff_fleet_is_usable(policy, up, now), up->drained,
		    up->vm.leaving, up->changing_role, load.running,
		    load.prefill, up->own_load.running, up->peers_load.running,
		    up->has_report ?
			(double)(now - up->report_taken_at) / DFF_MSEC :
			-1.0,
		    up->failures);
	}
	copy = strdup(text->str);
	g_string_free(text, TRUE);
	return copy;
}
