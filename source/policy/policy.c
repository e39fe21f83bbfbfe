/*
 * The policy's face: it takes calls, decides at once whether each runs,
 * waits or is refused, and follows the tries to their ends.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy/state.h"

/* Part of a class's time to the first token that a call may wait here. */
#define WAIT_PART 0.5
/* Time between two looks at the waiting calls when nothing happens. */
#define LOOK_EVERY (20 * DFF_MSEC)
/* Time between two counts of a pool's usable upstreams and its queues. */
#define COUNT_EVERY (100 * DFF_MSEC)
/* Shortest and longest time after which a refused caller may come back. */
#define RETRY_LEAST (100 * DFF_MSEC)
#define RETRY_MOST  (30 * DFF_SEC)
/* Retries a pool may make for each call, and what it may save up. */
#define RETRY_EARN 0.2
#define RETRY_SAVE 64.0
/* Weight of one reply in a service's learned time. */
#define SERVICE_GAIN 0.1

/* ---- life ---- */

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
table_by_name(GDestroyNotify drop)
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
	policy->seen = 1;
	policy->all = 1;
	policy->upstreams = table_by_name(dff_upstream_drop);
	policy->peer_ids = table_by_name(NULL);
	policy->entry_states = table_by_name(g_free);
	policy->pool_states = table_by_name(drop_pool_state);
	policy->pairs = table_by_name(dff_limit_drop_pair);
	policy->owner_accounts = table_by_name(g_free);
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
	g_free(policy->pool_at);
	g_free(policy->entry_at);
	g_free(policy->owner_at);
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
	pool->retry_tokens = RETRY_SAVE;
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

/* Name the waiting calls' entries before the old catalogue goes. */
static GPtrArray *
waiting_names(const dff_policy_t *policy)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < policy->waiting->len; i++) {
		const waiting_t *wait = g_ptr_array_index(policy->waiting, i);
		const char *name = "";

		if (!wait->orphan)
			name = policy->entries[wait->work.entry].name;
		g_ptr_array_add(names, g_strdup(name));
	}
	return names;
}

static void
count_waiting(dff_policy_t *policy, const waiting_t *wait, int by)
{
	const dff_entry_t *entry = &policy->entries[wait->work.entry];
	account_pair_t *pair;

	pair = dff_limit_pair(
	    policy, policy->owners[entry->owner].name, entry->name);
	pair->here.waiting += (uint32_t)by;
	policy->owner_at[entry->owner]->waiting += (uint32_t)by;
	policy->pool_at[entry->pool]->waiting += (uint32_t)by;
}

static void
uncount_all(dff_policy_t *policy)
{
	for (guint i = 0; i < policy->waiting->len; i++) {
		const waiting_t *wait = g_ptr_array_index(policy->waiting, i);

		if (!wait->orphan)
			count_waiting(policy, wait, -1);
	}
}

static void
recount_all(dff_policy_t *policy, const GPtrArray *names)
{
	for (guint i = 0; i < policy->waiting->len; i++) {
		waiting_t *wait = g_ptr_array_index(policy->waiting, i);
		int entry = -1;

		if (policy->cat != NULL)
			entry = dff_catalogue_find_entry(
			    policy->cat, g_ptr_array_index(names, i));
		wait->orphan = entry < 0;
		if (wait->orphan)
			continue;
		wait->work.entry = (uint32_t)entry;
		wait->owner = policy->entries[entry].owner;
		wait->pool = policy->entries[entry].pool;
		wait->due = dff_queue_due(policy, &wait->work);
		count_waiting(policy, wait, 1);
	}
	dff_queue_sort(policy);
}

static void
index_catalogue(dff_policy_t *policy)
{
	dff_catalogue_t *cat = policy->cat;
	uint32_t classes = 0;

	g_free(policy->pool_at);
	g_free(policy->entry_at);
	g_free(policy->owner_at);
	policy->pool_at = NULL;
	policy->entry_at = NULL;
	policy->owner_at = NULL;
	policy->pool_count = 0;
	policy->entry_count = 0;
	policy->owner_count = 0;
	if (cat == NULL)
		return;
	policy->entries = dff_catalogue_entries(cat, &policy->entry_count);
	policy->pools = dff_catalogue_pools(cat, &policy->pool_count);
	policy->owners = dff_catalogue_owners(cat, &policy->owner_count);
	policy->classes = dff_catalogue_classes(cat, &classes);
	policy->pool_at = g_new0(pool_state_t *, policy->pool_count);
	policy->entry_at = g_new0(entry_state_t *, policy->entry_count);
	policy->owner_at = g_new0(account_t *, policy->owner_count);
	for (uint32_t i = 0; i < policy->pool_count; i++)
		policy->pool_at[i] = pool_state(policy, policy->pools[i].name);
	for (uint32_t i = 0; i < policy->entry_count; i++)
		policy->entry_at[i] =
		    entry_state(policy, policy->entries[i].name);
	for (uint32_t i = 0; i < policy->owner_count; i++)
		policy->owner_at[i] =
		    dff_limit_owner(policy, policy->owners[i].name);
}

void
dff_policy_set_catalogue(
    dff_ctx_t *ctx, dff_policy_t *policy, dff_catalogue_t *cat)
{
	dff_catalogue_t *old = policy->cat;
	GPtrArray *names = waiting_names(policy);

	(void)ctx;
	policy->round++;
	uncount_all(policy);
	policy->cat = cat == NULL ? NULL : dff_catalogue_keep(cat);
	index_catalogue(policy);
	recount_all(policy, names);
	dff_fleet_index(policy);
	g_ptr_array_unref(names);
	dff_catalogue_drop(old);
}

/* ---- decisions ---- */

static void
decide_refuse(dff_decision_t *decision, int status, const char *code,
    dff_time_t retry_after)
{
	decision->what = DFF_DECIDE_REFUSE;
	decision->status = status;
	decision->code = code;
	decision->retry_after = retry_after;
}

/* Spread those who come back, so that they do not come all at once. */
static dff_time_t
come_back(dff_ctx_t *ctx, double wait_us)
{
	dff_time_t base;

	base =
	    (dff_time_t)CLAMP(wait_us, (double)RETRY_LEAST, (double)RETRY_MOST);
	return base + (dff_time_t)(dff_rand_unit(ctx) * (double)base / 2);
}

static void
decide_run(const forecast_t *forecast, dff_decision_t *decision)
{
	const upstream_t *up = forecast->up;

	decision->what = DFF_DECIDE_RUN;
	(void)dff_name_copy(decision->vm, up->vm.id);
	(void)g_strlcpy(decision->addr, up->vm.addr, sizeof(decision->addr));
	if (forecast->prefill_up != NULL) {
		(void)dff_name_copy(
		    decision->prefill_vm, forecast->prefill_up->vm.id);
		(void)g_strlcpy(decision->prefill_addr,
		    forecast->prefill_up->vm.addr,
		    sizeof(decision->prefill_addr));
	}
	decision->first_token = forecast->first;
	decision->whole = forecast->whole;
	decision->cached_tokens = forecast->cached;
	(void)g_snprintf(decision->why, sizeof(decision->why),
	    "first_ms=%.1f gap_ms=%.1f whole_ms=%.1f ahead_ms=%.1f batch=%.0f "
	    "cached=%u",
	    (double)forecast->first / DFF_MSEC,
	    (double)forecast->gap / DFF_MSEC,
	    (double)forecast->whole / DFF_MSEC, forecast->ahead_us / DFF_MSEC,
	    forecast->batch, forecast->cached);
}

/* Count now and then what would cost too much to count for each call. */
static void
count_pool(dff_policy_t *policy, uint32_t index, dff_time_t now)
{
	pool_state_t *pool = policy->pool_at[index];

	if (pool->counted_at != 0 && now - pool->counted_at < COUNT_EVERY)
		return;
	pool->counted_at = now;
	pool->usable = 0;
	for (guint i = 0; i < pool->upstreams->len; i++)
		if (dff_fleet_usable(
			policy, g_ptr_array_index(pool->upstreams, i), now))
			pool->usable++;
	pool->peers_waiting = dff_limit_peers_waiting(policy, index, now);
}

/* Time until a call that waits here would reach an engine. */
static double
queue_wait(dff_policy_t *policy, const dff_work_t *work, dff_time_t now)
{
	uint32_t index = policy->entries[work->entry].pool;
	const pool_state_t *pool = policy->pool_at[index];
	double ahead;
	double others = 0;
	double share;

	count_pool(policy, index, now);
	ahead = dff_queue_ahead(policy, work, dff_queue_due(policy, work), now);
	if (part_on(policy, DFF_PART_PEERS))
		others = pool->peers_waiting;
	share = (pool->waiting + 1) / (pool->waiting + 1 + others);
	return ahead / (MAX(pool->usable, 1) * share);
}

static void
decide_wait_or_refuse(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_work_t *work, const forecast_t *best, dff_time_t now,
    dff_decision_t *decision)
{
	const dff_entry_t *entry = &policy->entries[work->entry];
	const dff_class_t *cls = &policy->classes[entry->cls];
	dff_time_t past = now - work->arrived;
	double wait = queue_wait(policy, work, now);
	double most = WAIT_PART * (double)cls->first_token;
	double over;

	over = MAX((double)past + wait + (double)best->first_safe -
		(double)cls->first_token,
	    (double)past + wait - most);
	/* An answer that has begun waits as long as it can still be whole. */
	if (work->delivered > 0)
		over = (double)past + wait + (double)best->whole -
		    (double)cls->whole;
	(void)g_snprintf(decision->why, sizeof(decision->why),
	    "wait_ms=%.1f first_ms=%.1f past_ms=%.1f ahead_ms=%.1f room=%d "
	    "in_time=%d",
	    wait / DFF_MSEC, (double)best->first / DFF_MSEC,
	    (double)past / DFF_MSEC, best->ahead_us / DFF_MSEC, best->room,
	    best->in_time);
	decision->what = DFF_DECIDE_WAIT;
	if (!part_on(policy, DFF_PART_ADMISSION))
		return;
	if (over <= 0)
		return;
	decide_refuse(decision, 503, "queue_full", come_back(ctx, over + wait));
}

static bool
retry_allowed(dff_policy_t *policy, const dff_work_t *work)
{
	pool_state_t *pool;

	pool = policy->pool_at[policy->entries[work->entry].pool];
	if (work->tries == 0) {
		pool->retry_tokens =
		    MIN(pool->retry_tokens + RETRY_EARN, RETRY_SAVE);
		return true;
	}
	if (pool->retry_tokens < 1)
		return false;
	pool->retry_tokens -= 1;
	return true;
}

static void
decide_baseline(dff_ctx_t *ctx, dff_policy_t *policy, const dff_work_t *work,
    dff_time_t now, dff_decision_t *decision)
{
	upstream_t *up = dff_baseline_choose(ctx, policy, work, now);
	forecast_t forecast;

	if (up == NULL) {
		decide_refuse(
		    decision, 503, "no_upstream", come_back(ctx, DFF_SEC));
		return;
	}
	dff_choose_forecast(policy, work, up, now, &forecast);
	decide_run(&forecast, decision);
}

static void
decide(dff_ctx_t *ctx, dff_policy_t *policy, const dff_work_t *work,
    dff_time_t now, dff_decision_t *decision, double *cost)
{
	const dff_entry_t *entry = &policy->entries[work->entry];
	forecast_t best;

	*cost = 0;
	if (policy->config.kind != DFF_POLICY_PREDICT) {
		decide_baseline(ctx, policy, work, now, decision);
		return;
	}
	if (!dff_choose_upstream(ctx, policy, work, now, &best)) {
		decide_refuse(
		    decision, 503, "no_upstream", come_back(ctx, DFF_SEC));
		return;
	}
	*cost = best.cost;
	if (best.full && !work->suspect)
		policy->pool_at[entry->pool]->full_round = policy->round;
	if (!dff_limit_running(policy, entry, now))
		best.room = false;
	if (best.room && best.in_time) {
		decide_run(&best, decision);
		return;
	}
	/* What has begun goes on, late or not: it would be cut else. */
	if (best.room &&
	    (work->delivered > 0 || !part_on(policy, DFF_PART_ADMISSION))) {
		decide_run(&best, decision);
		return;
	}
	decide_wait_or_refuse(ctx, policy, work, &best, now, decision);
}

void
dff_policy_offer(dff_ctx_t *ctx, dff_policy_t *policy, const dff_work_t *work,
    dff_time_t now, dff_decision_t *decision)
{
	const dff_entry_t *entry;
	dff_time_t wait;
	double cost;

	memset(decision, 0, sizeof(*decision));
	decision->call = work->call;
	if (work->entry >= policy->entry_count) {
		decide_refuse(decision, 404, "unknown_entry", 0);
		return;
	}
	entry = &policy->entries[work->entry];
	if (work->tries == 0)
		dff_limit_offered(policy, entry, now);
	if (entry->max_prompt_tokens > 0 &&
	    work->prompt_tokens > entry->max_prompt_tokens) {
		decide_refuse(decision, 413, "prompt_too_long", 0);
		return;
	}
	wait = work->tries > 0 ? 0 : dff_limit_rate(policy, entry, now);
	if (wait > 0) {
		decide_refuse(
		    decision, 429, "rate_limit", come_back(ctx, (double)wait));
		return;
	}
	if (!retry_allowed(policy, work)) {
		decide_refuse(
		    decision, 503, "retry_budget", come_back(ctx, DFF_SEC));
		return;
	}
	decide(ctx, policy, work, now, decision, &cost);
	if (decision->what == DFF_DECIDE_WAIT)
		dff_queue_add(policy, work, cost, now);
}

bool
dff_policy_next(dff_ctx_t *ctx, dff_policy_t *policy, dff_time_t now,
    dff_decision_t *decision)
{
	guint index;
	double cost;

	while ((index = dff_queue_pick(policy, now)) < policy->waiting->len) {
		waiting_t *wait = g_ptr_array_index(policy->waiting, index);

		memset(decision, 0, sizeof(*decision));
		decision->call = wait->work.call;
		wait->tried = now;
		wait->round = policy->round;
		if (wait->orphan)
			decide_refuse(decision, 404, "unknown_entry", 0);
		else
			decide(ctx, policy, &wait->work, now, decision, &cost);
		if (decision->what == DFF_DECIDE_WAIT)
			continue;
		dff_queue_remove(policy, index);
		return true;
	}
	return false;
}

dff_time_t
dff_policy_wake(const dff_policy_t *policy, dff_time_t now)
{
	return policy->waiting->len > 0 ? now + LOOK_EVERY : DFF_TIME_NEVER;
}

void
dff_policy_leave(dff_policy_t *policy, uint64_t call)
{
	int index = dff_queue_find(policy, call);

	if (index >= 0)
		dff_queue_remove(policy, (guint)index);
}

/* ---- tries ---- */

static void
count_running(dff_policy_t *policy, const attempt_t *attempt, int by)
{
	account_pair_t *pair;

	pair = dff_limit_pair(policy, attempt->owner, attempt->entry);
	pair->here.running += (uint32_t)by;
	dff_limit_owner(policy, attempt->owner)->running += (uint32_t)by;
}

/* What the try will do at its engine, by the engine's role. */
static void
plan_engine(dff_policy_t *policy, const dff_work_t *work, attempt_t *row,
    dff_time_t now)
{
	upstream_t *up = row->up;

	if (up->role != DFF_ROLE_DECODE) {
		row->left.prefill = work->prompt_tokens - row->cached_tokens;
		dff_cache_store(
		    &up->cache, work->prefix, work->prefix_count, now);
	}
	if (up->role != DFF_ROLE_PREFILL)
		row->left.decode = dff_cost_output(policy, work, 0.5);
}

void
dff_policy_begin(dff_ctx_t *ctx, dff_policy_t *policy, uint64_t attempt,
    const dff_work_t *work, const char *vm, uint32_t cached_tokens,
    dff_time_t now)
{
	upstream_t *up = dff_fleet_find(policy, vm);
	attempt_t *row;
	forecast_t forecast;
	const dff_entry_t *entry;

	(void)ctx;
	if (up == NULL || up->pool < 0 || work->entry >= policy->entry_count)
		return;
	entry = &policy->entries[work->entry];
	dff_choose_forecast(policy, work, up, now, &forecast);
	row = g_new0(attempt_t, 1);
	row->up = up;
	(void)dff_name_copy(row->entry, entry->name);
	(void)dff_name_copy(row->owner, policy->owners[entry->owner].name);
	row->prompt_tokens = work->prompt_tokens;
	row->cached_tokens = MIN(cached_tokens, work->prompt_tokens);
	row->began = now;
	row->first_us = (double)forecast.first;
	row->queued_tokens = forecast.queued_tokens;
	row->step_us = forecast.step_us;
	row->cost = forecast.cost;
	row->suspect = work->suspect;
	row->prefix = g_memdup2(
	    work->prefix, work->prefix_count * sizeof(work->prefix[0]));
	row->prefix_count = work->prefix_count;
	row->left.running = 1;
	if (policy->pools[up->pool].kind == DFF_VM_ENGINE)
		plan_engine(policy, work, row, now);
	up->touched = now;
	up->own.running += 1;
	up->own.prefill += row->left.prefill;
	up->own.decode += row->left.decode;
	up->suspects += work->suspect ? 1 : 0;
	count_running(policy, row, 1);
	dff_limit_serve(policy, row->owner, row->cost, now);
	dff_fleet_sample(policy, up, now);
	g_hash_table_insert(
	    policy->attempts, g_memdup2(&attempt, sizeof(attempt)), row);
}

void
dff_policy_tokens(dff_ctx_t *ctx, dff_policy_t *policy, uint64_t attempt,
    uint32_t count, dff_time_t now)
{
	attempt_t *row = g_hash_table_lookup(policy->attempts, &attempt);
	double done;

	(void)ctx;
	if (row == NULL || count == 0)
		return;
	if (row->tokens == 0) {
		if (row->up->pool >= 0 && row->up->role == DFF_ROLE_MIXED)
			dff_cost_learn_first(
			    policy->pool_at[row->up->pool], row, now);
		row->first_at = now;
		row->up->own.prefill -= row->left.prefill;
		row->left.prefill = 0;
	}
	row->tokens += count;
	done = MIN(count, row->left.decode);
	row->left.decode -= done;
	row->up->own.decode -= done;
	dff_fleet_sample(policy, row->up, now);
}

static void
learn_end(dff_policy_t *policy, const attempt_t *row,
    const dff_ev_attempt_end_t *usage, dff_time_t now)
{
	entry_state_t *entry = entry_state(policy, row->entry);
	double took = (double)(now - row->began);

	if (usage == NULL) {
		entry->service_us += entry->service_us == 0 ?
		    took :
		    SERVICE_GAIN * (took - entry->service_us);
		return;
	}
	if (row->up->pool >= 0 && row->up->role == DFF_ROLE_PREFILL)
		dff_cost_learn_first(policy->pool_at[row->up->pool], row, now);
	if (row->tokens > 0)
		dff_lengths_add(&entry->lengths, usage->output_tokens);
	if (row->up->pool >= 0 && row->up->role == DFF_ROLE_MIXED)
		dff_cost_learn_pace(policy->pool_at[row->up->pool], row, now);
	if (row->up->role == DFF_ROLE_DECODE)
		return;
	dff_cache_correct(&row->up->cache, row->cached_tokens,
	    usage->cached_tokens, row->prefix, row->prefix_count, now);
}

void
dff_policy_end(dff_ctx_t *ctx, dff_policy_t *policy, uint64_t attempt,
    dff_try_outcome_t outcome, const dff_ev_attempt_end_t *usage,
    dff_time_t now)
{
	attempt_t *row = g_hash_table_lookup(policy->attempts, &attempt);
	upstream_t *up;

	(void)ctx;
	if (row == NULL)
		return;
	policy->round++;
	up = row->up;
	up->touched = now;
	up->own.running -= 1;
	up->own.prefill -= row->left.prefill;
	up->own.decode -= row->left.decode;
	up->suspects -= row->suspect ? 1 : 0;
	count_running(policy, row, -1);
	dff_fleet_sample(policy, up, now);
	switch (outcome) {
	case DFF_TRY_DONE:
		learn_end(policy, row, usage, now);
		dff_fleet_worked(up);
		break;
	case DFF_TRY_CANCELLED:
	case DFF_TRY_REJECTED:
		break;
	case DFF_TRY_BROKEN:
	case DFF_TRY_TIMEOUT:
	case DFF_TRY_CONNECT:
		dff_cache_clear(&up->cache);
		dff_fleet_failed(policy, up, outcome, now);
		break;
	}
	g_hash_table_remove(policy->attempts, &attempt);
	dff_fleet_release(policy, up);
}

/* ---- what is told ---- */

size_t
dff_policy_work(const dff_policy_t *policy, dff_policy_use_t *uses, size_t max)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, policy->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const upstream_t *up = value;

		if (up->touched == 0)
			continue;
		if (count < max) {
			(void)dff_name_copy(uses[count].vm, up->vm.id);
			uses[count].running = (uint32_t)up->own.running;
			uses[count].prefill_tokens =
			    (uint64_t)MAX(up->own.prefill, 0);
			uses[count].decode_tokens =
			    (uint64_t)MAX(up->own.decode, 0);
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
		    dff_role_name(up->role), dff_fleet_usable(policy, up, now),
		    up->drained, up->vm.leaving, up->changing, load.running,
		    load.prefill, up->own.running, up->peers.running,
		    up->reported ? (double)(now - up->taken) / DFF_MSEC : -1.0,
		    up->failures);
	}
	copy = strdup(text->str);
	g_string_free(text, TRUE);
	return copy;
}
