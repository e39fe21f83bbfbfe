/*
 * The fleet: upstreams by VM id and by pool, what they reported, what this
 * node and its peers have there, and which of them may get new work.
 *
 * A report says what was true when it was taken. The work that this node
 * and its peers sent or saw done since is added: samples of the sent work
 * are kept, so that the sum known at the report's time can be looked up.
 */
#include <math.h>
#include <string.h>

#include "base/fault.h"
#include "policy/state.h"

/* Failures in a row after which an upstream is ejected. */
#define EJECT_FAILURES 3
/* Length of a first ejection; each further one is twice as long. */
#define EJECT_TIME	(1 * DFF_SEC)
#define EJECT_DOUBLINGS 5
/* Weight of a new report in the learned speeds. */
#define SPEED_GAIN 0.3
/* Part of the memory that is free when it is not what calls wait for. */
#define BATCH_MEMORY 4
/* Time after which a batch size that was not seen again is forgotten. */
#define BATCH_CAP_TIME (10 * DFF_SEC)
/* How much of the older reports a pool's line keeps at each new one. */
#define FIT_KEEP 0.995

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

/* Another VM or process took over: nothing learned of the old one holds. */
static void
upstream_reset(upstream_t *up)
{
	up->reported = false;
	up->changing = false;
	up->wrong_model = false;
	up->role = DFF_ROLE_MIXED;
	up->slowness = 1;
	up->failures = 0;
	up->ejections = 0;
	up->ejected_until = 0;
	dff_cache_clear(&up->cache);
}

static gint
by_id(gconstpointer a, gconstpointer b)
{
	const upstream_t *left = *(upstream_t *const *)a;
	const upstream_t *right = *(upstream_t *const *)b;

	return strcmp(left->vm.id, right->vm.id);
}

/* The order of a hash table is no order: sort, so that runs repeat. */
static void
sort_pools(dff_policy_t *policy)
{
	for (uint32_t i = 0; i < policy->pool_count; i++) {
		GPtrArray *ups = policy->pool_at[i]->upstreams;

		g_ptr_array_sort(ups, by_id);
		for (guint j = 0; j < ups->len; j++)
			((upstream_t *)g_ptr_array_index(ups, j))->place = j;
	}
}

void
dff_fleet_index(dff_policy_t *policy)
{
	GHashTableIter iter;
	gpointer value;

	for (uint32_t i = 0; i < policy->pool_count; i++)
		g_ptr_array_set_size(policy->pool_at[i]->upstreams, 0);
	g_hash_table_iter_init(&iter, policy->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		upstream_t *up = value;

		up->pool = -1;
		if (policy->cat == NULL)
			continue;
		up->pool = dff_catalogue_find_pool(policy->cat, up->vm.pool);
		if (up->pool >= 0 && !up->gone)
			g_ptr_array_add(
			    policy->pool_at[up->pool]->upstreams, up);
	}
	sort_pools(policy);
}

static gboolean
gone_and_idle(gpointer key, gpointer value, gpointer data)
{
	const upstream_t *up = value;

	(void)key;
	(void)data;
	return up->gone && up->own.running < 1;
}

void
dff_policy_load_vms(dff_ctx_t *ctx, dff_policy_t *policy, const dff_vm_t *vms,
    size_t count, dff_time_t now)
{
	GHashTableIter iter;
	gpointer value;

	(void)ctx;
	(void)now;
	policy->round++;
	g_hash_table_iter_init(&iter, policy->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((upstream_t *)value)->gone = true;
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
		up->gone = false;
	}
	g_hash_table_foreach_remove(policy->upstreams, gone_and_idle, NULL);
	dff_fleet_index(policy);
}

void
dff_fleet_release(dff_policy_t *policy, upstream_t *up)
{
	if (up->gone && up->own.running < 1)
		g_hash_table_remove(policy->upstreams, up->vm.id);
}

/* The sent work that counts as correction of a report. */
static load_t
sent_now(const dff_policy_t *policy, const upstream_t *up)
{
	load_t sum = {0};

	if (part_on(policy, DFF_PART_CORRECTION))
		sum = up->own;
	if (part_on(policy, DFF_PART_PEERS)) {
		sum.running += up->peers.running;
		sum.prefill += up->peers.prefill;
		sum.decode += up->peers.decode;
	}
	return sum;
}

void
dff_fleet_sample(const dff_policy_t *policy, upstream_t *up, dff_time_t now)
{
	sample_t *last;

	last =
	    &up->samples[(up->sample_next + SAMPLE_COUNT - 1) % SAMPLE_COUNT];
	if (now - last->at < SAMPLE_EVERY && last->at != 0) {
		last->sent = sent_now(policy, up);
		return;
	}
	up->samples[up->sample_next].at = now;
	up->samples[up->sample_next].sent = sent_now(policy, up);
	up->sample_next = (up->sample_next + 1) % SAMPLE_COUNT;
}

/* The sent work that was known at @at: that of the last sample before it. */
static load_t
sent_at(const upstream_t *up, dff_time_t at)
{
	load_t none = {0};
	const sample_t *oldest = NULL;

	for (uint32_t i = 1; i <= SAMPLE_COUNT; i++) {
		const sample_t *sample;

		sample = &up->samples[(up->sample_next + SAMPLE_COUNT - i) %
		    SAMPLE_COUNT];
		if (sample->at == 0)
			return none;
		if (sample->at <= at)
			return sample->sent;
		oldest = sample;
	}
	return oldest->sent;
}

bool
dff_fleet_fresh(const upstream_t *up, dff_time_t now)
{
	return up->reported && now - up->taken < REPORT_STALE;
}

load_t
dff_fleet_load(const dff_policy_t *policy, const upstream_t *up, dff_time_t now)
{
	load_t sum = sent_now(policy, up);

	if (!dff_fleet_fresh(up, now))
		return sum;
	sum.running += up->said.running - up->base.running;
	sum.prefill += up->said.prefill - up->base.prefill;
	sum.decode = MAX(sum.decode, 0);
	if (part_on(policy, DFF_PART_CORRECTION)) {
		sum.running = MAX(sum.running, up->own.running);
		sum.prefill = MAX(sum.prefill, up->own.prefill);
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
	double want;

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
	pool = policy->pool_at[up->pool];
	dff_fit_add(&pool->step, report->running, report->token_us, FIT_KEEP);
	if (!dff_fit_line(&pool->step, &base, &slope))
		return;
	want = report->token_us / MAX(base + slope * report->running, 1);
	up->slowness += SPEED_GAIN * (CLAMP(want, 0.2, 5) - up->slowness);
}

/*
 * Calls that wait although memory is free tell how large a batch gets. One
 * report does not: calls that have just come wait for the next step as well.
 * So the batch must have stood still while calls waited.
 */
static void
learn_batch_cap(
    dff_policy_t *policy, upstream_t *up, const dff_ev_engine_report_t *report)
{
	bool full = report->waiting > 0 && report->running > 0 &&
	    report->free_pieces > report->total_pieces / BATCH_MEMORY;
	pool_state_t *pool;

	if (up->pool < 0)
		return;
	pool = policy->pool_at[up->pool];
	if (report->running > pool->batch_cap && pool->batch_cap > 0)
		pool->batch_cap = report->running;
	if (full && up->was_full && up->was_running == report->running) {
		pool->batch_cap = MAX(pool->batch_cap, report->running);
		pool->batch_cap_at = report->sampled_at;
	}
	if (report->sampled_at - pool->batch_cap_at > BATCH_CAP_TIME)
		pool->batch_cap = 0;
	up->was_full = full;
	up->was_running = report->running;
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
dff_policy_load_report(dff_ctx_t *ctx, dff_policy_t *policy,
    const dff_ev_engine_report_t *report, dff_time_t now)
{
	upstream_t *up = dff_fleet_find(policy, report->vm);

	(void)ctx;
	if (up == NULL || report->sampled_at > now)
		return;
	policy->round++;
	dff_fleet_sample(policy, up, now);
	if (up->reported && report->incarnation != up->incarnation)
		upstream_reset(up);
	else if (up->reported && report->sampled_at < up->taken)
		return;
	up->reported = true;
	up->incarnation = report->incarnation;
	up->taken = report->sampled_at;
	up->role = report->role;
	up->changing = report->reconfiguring;
	up->wrong_model = model_differs(policy, up, report);
	up->said.running = report->running + report->waiting;
	up->said.prefill = report->backlog_tokens;
	up->waiting = report->waiting;
	up->free_pieces = report->free_pieces;
	up->total_pieces = report->total_pieces;
	up->base = sent_at(up, report->sampled_at);
	learn_speeds(policy, up, report);
	learn_batch_cap(policy, up, report);
}

void
dff_policy_set_drain(
    dff_ctx_t *ctx, dff_policy_t *policy, const char *vm, bool on)
{
	upstream_t *up = dff_fleet_find(policy, vm);

	(void)ctx;
	policy->round++;
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
sum_peers(upstream_t *up, dff_time_t now)
{
	load_t sum = {0};

	for (guint i = up->peer_loads->len; i-- > 0;) {
		const peer_load_t *said;

		said = &g_array_index(up->peer_loads, peer_load_t, i);
		if (now - said->at > PEER_STALE) {
			g_array_remove_index_fast(up->peer_loads, i);
			continue;
		}
		sum.running += said->load.running;
		sum.prefill += said->load.prefill;
		sum.decode += said->load.decode;
	}
	up->peers = sum;
}

void
dff_policy_set_peer_work(dff_ctx_t *ctx, dff_policy_t *policy, const char *peer,
    const char *vm, uint32_t running, uint64_t prefill_tokens,
    uint64_t decode_tokens, dff_time_t now)
{
	peer_load_t fresh = {.at = now};
	upstream_t *up = dff_fleet_find(policy, vm);

	(void)ctx;
	if (up == NULL)
		return;
	fresh.peer = peer_number(policy, peer);
	fresh.load.running = running;
	fresh.load.prefill = (double)prefill_tokens;
	fresh.load.decode = (double)decode_tokens;
	for (guint i = 0; i < up->peer_loads->len; i++) {
		if (g_array_index(up->peer_loads, peer_load_t, i).peer ==
		    fresh.peer) {
			g_array_remove_index_fast(up->peer_loads, i);
			break;
		}
	}
	g_array_append_val(up->peer_loads, fresh);
	sum_peers(up, now);
	dff_fleet_sample(policy, up, now);
}

static void
forget_peer(upstream_t *up, uint32_t peer)
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
		forget_peer(value, number);
		sum_peers(value, 0);
	}
	g_hash_table_iter_init(&iter, policy->pairs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_remove(((account_pair_t *)value)->peers, peer);
}

/* ---- which may get work ---- */

bool
dff_fleet_usable(
    const dff_policy_t *policy, const upstream_t *up, dff_time_t now)
{
	if (up->gone || up->drained ||
	    (up->vm.leaving && !DFF_FAULT(LEAVING_GETS_WORK)) || up->changing ||
	    up->wrong_model)
		return false;
	if (!part_on(policy, DFF_PART_EJECTION))
		return true;
	if (now < up->ejected_until)
		return false;
	/* After an ejection one call at a time tries it again. */
	return up->failures < EJECT_FAILURES || up->own.running < 1;
}

void
dff_fleet_failed(dff_policy_t *policy, upstream_t *up,
    dff_try_outcome_t outcome, dff_time_t now)
{
	uint32_t doublings;

	(void)policy;
	up->failures++;
	/* A refused connection is certain; a broken one may be chance. */
	if (outcome == DFF_TRY_CONNECT)
		up->failures = MAX(up->failures, EJECT_FAILURES);
	if (up->failures < EJECT_FAILURES || now < up->ejected_until)
		return;
	doublings = MIN(up->ejections, EJECT_DOUBLINGS);
	up->ejected_until = now + (EJECT_TIME << doublings);
	up->ejections++;
}

void
dff_fleet_worked(upstream_t *up)
{
	up->failures = 0;
	up->ejections = 0;
	up->ejected_until = 0;
}
