/*
 * The fleet: upstreams by VM id and by pool, their load reports, the load of
 * this node and its peers on them, and which of them may get calls.
 *
 * A report describes the moment at which it was taken. The change of the load
 * of this node and its peers since then is added: samples of that load are
 * kept, so that its value at the time of the report can be looked up.
 */
#include <math.h>
#include <string.h>

#include "base/fault.h"
#include "policy/state.h"

/* Consecutive failures after which an upstream is ejected. */
#define EJECT_FAILURES 3
/* Length of the first ejection; each further one is twice as long. */
#define EJECT_TIME	(1 * DFF_SEC)
#define EJECT_DOUBLINGS 5
/* Weight of a new report in the learned speeds. */
#define SPEED_GAIN 0.3
/*
 * Memory does not limit a batch if more than 1 / BATCH_FREE_DIVISOR of it is
 * free.
 */
#define BATCH_FREE_DIVISOR 4
/* Age from which a batch cap that was not confirmed is dropped. */
#define BATCH_CAP_MAX_AGE (10 * DFF_SEC)
/* Factor by which older reports decay in a pool's line at each new one. */
#define FIT_DECAY 0.995

upstream_t *
dff_fleet_find(const dff_policy_t *policy, const char *vm)
{
	return g_hash_table_lookup(policy->upstreams, vm);
}

static upstream_t *
upstream_new(const dff_vm_t *vm)
{
	upstream_t *up;

	up = g_new0(upstream_t, 1);
	up->vm = *vm;
	up->pool = -1;
	up->slowness = 1;
	up->peer_loads = g_array_new(FALSE, TRUE, sizeof(peer_load_t));
	dff_cache_init(&up->cache);
	return up;
}

void
dff_upstream_drop(gpointer data)
{
	upstream_t *up = data;

	g_array_unref(up->peer_loads);
	dff_cache_fini(&up->cache);
	g_free(up);
}

/* Another VM or process took over: drop what was learned of the old one. */
static void
upstream_reset(upstream_t *up)
{
	up->has_report = false;
	up->changing_role = false;
	up->model_mismatch = false;
	up->role = DFF_ROLE_MIXED;
	up->slowness = 1;
	up->failures = 0;
	up->ejections = 0;
	up->ejected_until = 0;
	dff_cache_clear(&up->cache);
}

static gint
compare_id(gconstpointer a, gconstpointer b)
{
	const upstream_t *left = *(upstream_t *const *)a;
	const upstream_t *right = *(upstream_t *const *)b;

	return strcmp(left->vm.id, right->vm.id);
}

/* Sort the pools, as the order of a hash table is not deterministic. */
static void
sort_pools(dff_policy_t *policy)
{
	for (uint32_t i = 0; i < policy->pool_count; i++) {
		GPtrArray *ups = policy->pool_by_index[i]->upstreams;

		g_ptr_array_sort(ups, compare_id);
		for (guint j = 0; j < ups->len; j++)
			((upstream_t *)g_ptr_array_index(ups, j))
			    ->pool_position = j;
	}
}

void
dff_fleet_index(dff_policy_t *policy)
{
	GHashTableIter iter;
	gpointer value;

	for (uint32_t i = 0; i < policy->pool_count; i++)
		g_ptr_array_set_size(policy->pool_by_index[i]->upstreams, 0);
	g_hash_table_iter_init(&iter, policy->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		upstream_t *up = value;

		up->pool = -1;
		if (policy->cat == NULL)
			continue;
		up->pool = dff_catalogue_find_pool(policy->cat, up->vm.pool);
		if (up->pool >= 0 && !up->removed)
			g_ptr_array_add(
			    policy->pool_by_index[up->pool]->upstreams, up);
	}
	sort_pools(policy);
}

static gboolean
is_removed_and_idle(gpointer key, gpointer value, gpointer data)
{
	const upstream_t *up = value;

	(void)key;
	(void)data;
	return up->removed && up->own_load.running < 1;
}

void
dff_policy_set_vms(dff_ctx_t *ctx, dff_policy_t *policy, const dff_vm_t *vms,
    size_t count, dff_time_t now)
{
	GHashTableIter iter;
	gpointer value;

	(void)ctx;
	(void)now;
	policy->epoch++;
	g_hash_table_iter_init(&iter, policy->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((upstream_t *)value)->removed = true;
	for (size_t i = 0; i < count; i++) {
		upstream_t *up;

		if (vms[i].kind == DFF_VM_ENTRY)
			continue;
		up = dff_fleet_find(policy, vms[i].id);
		if (up == NULL) {
			up = upstream_new(&vms[i]);
			g_hash_table_insert(
			    policy->upstreams, g_strdup(vms[i].id), up);
		} else if (up->vm.incarnation != vms[i].incarnation) {
			upstream_reset(up);
		}
		up->vm = vms[i];
		up->removed = false;
	}
	g_hash_table_foreach_remove(
	    policy->upstreams, is_removed_and_idle, NULL);
	dff_fleet_index(policy);
}

void
dff_fleet_remove_if_idle(dff_policy_t *policy, upstream_t *up)
{
	if (up->removed && up->own_load.running < 1)
		g_hash_table_remove(policy->upstreams, up->vm.id);
}

/* The load of this node and its peers, which corrects a report. */
static load_t
outstanding_now(const dff_policy_t *policy, const upstream_t *up)
{
	load_t sum = {0};

	if (feature_enabled(policy, DFF_FEATURE_CORRECTION))
		sum = up->own_load;
	if (feature_enabled(policy, DFF_FEATURE_PEERS)) {
		sum.running += up->peers_load.running;
		sum.prefill += up->peers_load.prefill;
		sum.decode += up->peers_load.decode;
	}
	return sum;
}

void
dff_fleet_sample(const dff_policy_t *policy, upstream_t *up, dff_time_t now)
{
	sample_t *last;

	last =
	    &up->samples[(up->sample_next + SAMPLE_COUNT - 1) % SAMPLE_COUNT];
	if (now - last->at < SAMPLE_INTERVAL && last->at != 0) {
		last->outstanding = outstanding_now(policy, up);
		return;
	}
	up->samples[up->sample_next].at = now;
	up->samples[up->sample_next].outstanding = outstanding_now(policy, up);
	up->sample_next = (up->sample_next + 1) % SAMPLE_COUNT;
}

/* That load at @at: the last sample before it. */
static load_t
outstanding_at(const upstream_t *up, dff_time_t at)
{
	load_t zero = {0};
	const sample_t *oldest = NULL;

	for (uint32_t i = 1; i <= SAMPLE_COUNT; i++) {
		const sample_t *sample;

		sample = &up->samples[(up->sample_next + SAMPLE_COUNT - i) %
		    SAMPLE_COUNT];
		if (sample->at == 0)
			return zero;
		if (sample->at <= at)
			return sample->outstanding;
		oldest = sample;
	}
	return oldest->outstanding;
}

bool
dff_fleet_has_fresh_report(const upstream_t *up, dff_time_t now)
{
	return up->has_report && now - up->report_taken_at < REPORT_MAX_AGE;
}

load_t
dff_fleet_load(const dff_policy_t *policy, const upstream_t *up, dff_time_t now)
{
	load_t sum = outstanding_now(policy, up);

	if (!dff_fleet_has_fresh_report(up, now))
		return sum;
	sum.running += up->reported_load.running - up->load_at_report.running;
	sum.prefill += up->reported_load.prefill - up->load_at_report.prefill;
	sum.decode = MAX(sum.decode, 0);
	if (feature_enabled(policy, DFF_FEATURE_CORRECTION)) {
		sum.running = MAX(sum.running, up->own_load.running);
		sum.prefill = MAX(sum.prefill, up->own_load.prefill);
	}
	sum.running = MAX(sum.running, 0);
	sum.prefill = MAX(sum.prefill, 0);
	return sum;
}

static void
learn_speeds(
    dff_policy_t *policy, upstream_t *up, const dff_ev_engine_report_t *report)
{
	pool_state_t *pool;
	double base;
	double slope;
	double ratio;

	if (report->prefill_us > 0 && up->prefill_us > 0)
		up->prefill_us +=
		    SPEED_GAIN * (report->prefill_us - up->prefill_us);
	else if (report->prefill_us > 0)
		up->prefill_us = report->prefill_us;
	if (report->token_us <= 0)
		return;
	up->step_us = report->token_us;
	if (up->pool < 0 || report->running == 0)
		return;
	pool = policy->pool_by_index[up->pool];
	dff_fit_add(&pool->step, report->running, report->token_us, FIT_DECAY);
	if (!dff_fit_line(&pool->step, &base, &slope))
		return;
	ratio = report->token_us / MAX(base + slope * report->running, 1);
	up->slowness += SPEED_GAIN * (CLAMP(ratio, 0.2, 5) - up->slowness);
}

/*
 * Calls that wait although memory is free show the largest batch that the
 * engine runs. New calls also wait for the next step, so one report is not
 * enough: the batch must have the same size in two reports in a row.
 */
static void
learn_batch_cap(
    dff_policy_t *policy, upstream_t *up, const dff_ev_engine_report_t *report)
{
	bool batch_full = report->waiting > 0 && report->running > 0 &&
	    report->free_pieces > report->total_pieces / BATCH_FREE_DIVISOR;
	pool_state_t *pool;

	if (up->pool < 0)
		return;
	pool = policy->pool_by_index[up->pool];
	if (report->running > pool->batch_cap && pool->batch_cap > 0)
		pool->batch_cap = report->running;
	if (batch_full && up->prev_batch_full &&
	    up->prev_running == report->running) {
		pool->batch_cap = MAX(pool->batch_cap, report->running);
		pool->batch_cap_at = report->sampled_at;
	}
	if (report->sampled_at - pool->batch_cap_at > BATCH_CAP_MAX_AGE)
		pool->batch_cap = 0;
	up->prev_batch_full = batch_full;
	up->prev_running = report->running;
}

static bool
model_differs(const dff_policy_t *policy, const upstream_t *up,
    const dff_ev_engine_report_t *report)
{
	const dff_pool_t *pool;

	if (up->pool < 0 || report->model == NULL || report->model[0] == '\0')
		return false;
	pool = &policy->pools[up->pool];
	return pool->model[0] != '\0' &&
	    strcmp(pool->model, report->model) != 0;
}

void
dff_policy_apply_report(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_ev_engine_report_t *report, dff_time_t now)
{
	upstream_t *up = dff_fleet_find(policy, report->vm);

	(void)ctx;
	if (up == NULL || report->sampled_at > now)
		return;
	policy->epoch++;
	dff_fleet_sample(policy, up, now);
	if (up->has_report && report->incarnation != up->incarnation)
		upstream_reset(up);
	else if (up->has_report && report->sampled_at < up->report_taken_at)
		return;
	up->has_report = true;
	up->incarnation = report->incarnation;
	up->report_taken_at = report->sampled_at;
	up->role = report->role;
	up->changing_role = report->reconfiguring;
	up->model_mismatch = model_differs(policy, up, report);
	up->reported_load.running = report->running + report->waiting;
	up->reported_load.prefill = report->backlog_tokens;
	up->waiting = report->waiting;
	up->free_pieces = report->free_pieces;
	up->total_pieces = report->total_pieces;
	up->load_at_report = outstanding_at(up, report->sampled_at);
	learn_speeds(policy, up, report);
	learn_batch_cap(policy, up, report);
}

void
dff_policy_set_drain(
    dff_ctx_t *ctx, dff_policy_t *policy, const char *vm, bool on)
{
	upstream_t *up = dff_fleet_find(policy, vm);

	(void)ctx;
	policy->epoch++;
	if (up != NULL)
		up->drained = on;
}

/* ---- peers ---- */

static uint32_t
peer_number(dff_policy_t *policy, const char *peer)
{
	gpointer value;
	guint number;

	value = g_hash_table_lookup(policy->peer_ids, peer);
	if (value != NULL)
		return GPOINTER_TO_UINT(value);
	number = g_hash_table_size(policy->peer_ids) + 1;
	g_hash_table_insert(
	    policy->peer_ids, g_strdup(peer), GUINT_TO_POINTER(number));
	return number;
}

static void
update_peers_load(upstream_t *up, dff_time_t now)
{
	load_t sum = {0};

	for (guint i = up->peer_loads->len; i-- > 0;) {
		const peer_load_t *entry;

		entry = &g_array_index(up->peer_loads, peer_load_t, i);
		if (now - entry->at > PEER_MAX_AGE) {
			g_array_remove_index_fast(up->peer_loads, i);
			continue;
		}
		sum.running += entry->load.running;
		sum.prefill += entry->load.prefill;
		sum.decode += entry->load.decode;
	}
	up->peers_load = sum;
}

void
dff_policy_set_peer_load(dff_ctx_t *ctx, dff_policy_t *policy, const char *peer,
    const char *vm, uint32_t running, uint64_t prefill_tokens,
    uint64_t decode_tokens, dff_time_t now)
{
	peer_load_t entry = {.at = now};
	upstream_t *up = dff_fleet_find(policy, vm);

	(void)ctx;
	if (up == NULL)
		return;
	entry.peer = peer_number(policy, peer);
	entry.load.running = running;
	entry.load.prefill = (double)prefill_tokens;
	entry.load.decode = (double)decode_tokens;
	for (guint i = 0; i < up->peer_loads->len; i++) {
		if (g_array_index(up->peer_loads, peer_load_t, i).peer ==
		    entry.peer) {
			g_array_remove_index_fast(up->peer_loads, i);
			break;
		}
	}
	g_array_append_val(up->peer_loads, entry);
	update_peers_load(up, now);
	dff_fleet_sample(policy, up, now);
}

static void
remove_peer_load(upstream_t *up, uint32_t peer)
{
	for (guint i = 0; i < up->peer_loads->len; i++) {
		if (g_array_index(up->peer_loads, peer_load_t, i).peer ==
		    peer) {
			g_array_remove_index_fast(up->peer_loads, i);
			return;
		}
	}
}

void
dff_policy_drop_peer(dff_ctx_t *ctx, dff_policy_t *policy, const char *peer)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t number = peer_number(policy, peer);

	(void)ctx;
	g_hash_table_iter_init(&iter, policy->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		remove_peer_load(value, number);
		update_peers_load(value, 0);
	}
	g_hash_table_iter_init(&iter, policy->pairs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_remove(((account_pair_t *)value)->peers, peer);
}

/* ---- eligibility ---- */

bool
dff_fleet_is_usable(
    const dff_policy_t *policy, const upstream_t *up, dff_time_t now)
{
	if (up->removed || up->drained ||
	    (up->vm.leaving && !DFF_FAULT(LEAVING_GETS_WORK)) ||
	    up->changing_role || up->model_mismatch)
		return false;
	if (!feature_enabled(policy, DFF_FEATURE_EJECTION))
		return true;
	if (now < up->ejected_until)
		return false;
	/* After an ejection, probe it with one call at a time. */
	return up->failures < EJECT_FAILURES || up->own_load.running < 1;
}

void
dff_fleet_record_failure(dff_policy_t *policy, upstream_t *up,
    dff_attempt_outcome_t outcome, dff_time_t now)
{
	uint32_t doublings;

	(void)policy;
	up->failures++;
	/* A refused connection is certain; a broken one may be chance. */
	if (outcome == DFF_ATTEMPT_CONNECT_FAILED)
		up->failures = MAX(up->failures, EJECT_FAILURES);
	if (up->failures < EJECT_FAILURES || now < up->ejected_until)
		return;
	doublings = MIN(up->ejections, EJECT_DOUBLINGS);
	up->ejected_until = now + (EJECT_TIME << doublings);
	up->ejections++;
}

void
dff_fleet_record_success(upstream_t *up)
{
	up->failures = 0;
	up->ejections = 0;
	up->ejected_until = 0;
}
