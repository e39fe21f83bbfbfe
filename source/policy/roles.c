/*
 * The controller that proposes role changes.
 *
 * For each pool that allows role changes it compares the load of the prefilling
 * and of the decoding engines with their capacity. If one role is short of
 * engines and the other has some to spare, an engine of the latter is changed
 * to mixed: a mixed engine serves both, so the reverse shift needs no further
 * change. The gain over the predicted rest of the shift, estimated from the
 * length of earlier shifts, must exceed the cost of the drain, the time the
 * engine is away and the pool's price of a change. No change is proposed if a
 * report is stale, while an earlier change is pending, or if it would leave a
 * role that is needed without engines.
 */
#include <math.h>
#include <string.h>

#include <glib.h>

#include "dragonflyfall/policy.h"

/* Age from which a report is too old to decide on. */
#define REPORT_MAX_AGE (4 * DFF_SEC)
/* Weight of a new report in an engine's load. */
#define LOAD_GAIN 0.1
/* Upper bound of a load, so that the average falls soon after a peak. */
#define LOAD_MAX 1.5
/* Backlog of an engine that is busy but not overloaded. */
#define BACKLOG_NORMAL (60 * DFF_MSEC)
/*
 * Backlog above BACKLOG_NORMAL that counts as the load of one more engine.
 * Nodes hold calls back when an engine has a backlog of a few hundred
 * milliseconds, so it never gets much longer.
 */
#define BACKLOG_TIME (300 * DFF_MSEC)
/* Utilisation of the engines of a role beyond which it is short of engines. */
#define UTILISATION_MAX 0.85
/* Smallest gain of a change, in engine-seconds per second. */
#define GAIN_MIN 0.3
/* Time without a shortage after which a shift has ended. */
#define SHIFT_END_DELAY (5 * DFF_SEC)
/* Assumed duration of a drain. */
#define DRAIN_TIME (5 * DFF_SEC)
/* The gain must exceed the cost by this factor. */
#define HYSTERESIS 1.25
/* Weight of the last shift in the learned length of shifts. */
#define SHIFT_LENGTH_GAIN 0.5
/*
 * Shortest time between two changes in a pool, in addition to the time an
 * engine is away.
 */
#define CHANGE_INTERVAL (30 * DFF_SEC)
/* The same as a multiple of the price, if that is longer. */
#define PRICE_INTERVAL_FACTOR 2.0
/* Time after which a change that no report has shown is no longer awaited. */
#define CHANGE_TIMEOUT (120 * DFF_SEC)

/** struct engine - what is known of an engine */
typedef struct engine {
	dff_vm_t vm;
	bool has_report;
	dff_time_t report_taken_at;
	dff_role_t role;
	bool changing_role;
	double load;
} engine_t;

/** struct shift - a shortage of engines of one role, and the usual length */
typedef struct shift {
	dff_time_t started_at;
	dff_time_t needed_at;
	double length;
} shift_t;

/** struct pool_view - state of a pool, kept by name */
typedef struct pool_view {
	shift_t shifts[DFF_ROLE_COUNT];
	dff_time_t changed_at;
	char vm[DFF_NAME_MAX];
	dff_role_t role;
	bool pending;
} pool_view_t;

/** struct group - the engines of one role in a pool */
typedef struct group {
	uint32_t count;
	double load;
} group_t;

struct dff_roles {
	dff_catalogue_t *cat;
	GHashTable *engines; /* VM id to engine_t */
	GHashTable *views; /* pool name to pool_view_t */
};

dff_roles_t *
dff_roles_new(dff_ctx_t *ctx)
{
	dff_roles_t *roles = g_new0(dff_roles_t, 1);

	(void)ctx;
	roles->engines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	roles->views =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return roles;
}

void
dff_roles_drop(dff_roles_t *roles)
{
	if (roles == NULL)
		return;
	g_hash_table_unref(roles->engines);
	g_hash_table_unref(roles->views);
	dff_catalogue_drop(roles->cat);
	g_free(roles);
}

void
dff_roles_set_catalogue(dff_roles_t *roles, dff_catalogue_t *cat)
{
	dff_catalogue_t *old = roles->cat;

	roles->cat = cat == NULL ? NULL : dff_catalogue_keep(cat);
	dff_catalogue_drop(old);
}

void
dff_roles_set_vms(
    dff_roles_t *roles, const dff_vm_t *vms, size_t count, dff_time_t now)
{
	GHashTable *engines;

	(void)now;
	engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	for (size_t i = 0; i < count; i++) {
		const engine_t *old;
		engine_t *engine;

		if (vms[i].kind != DFF_VM_ENGINE)
			continue;
		engine = g_new0(engine_t, 1);
		old = g_hash_table_lookup(roles->engines, vms[i].id);
		if (old != NULL && old->vm.incarnation == vms[i].incarnation)
			*engine = *old;
		engine->vm = vms[i];
		g_hash_table_replace(engines, engine->vm.id, engine);
	}
	g_hash_table_unref(roles->engines);
	roles->engines = engines;
}

/* Load of an engine, in engines: more than one means a backlog. */
static double
report_load(const dff_ev_engine_report_t *report)
{
	double backlog;
	double used = 0;

	backlog = (double)report->backlog_tokens * report->prefill_us -
	    (double)BACKLOG_NORMAL;
	backlog = MAX(backlog, 0) / (double)BACKLOG_TIME;
	if (report->total_pieces > 0)
		used = 1 - (double)report->free_pieces / report->total_pieces;
	if (report->role == DFF_ROLE_PREFILL)
		return backlog + (report->running > 0 ? UTILISATION_MAX : 0);
	if (report->running > 0)
		used += (double)report->waiting / report->running;
	return used;
}

void
dff_roles_apply_report(dff_ctx_t *ctx, dff_roles_t *roles,
    const dff_ev_engine_report_t *report, dff_time_t now)
{
	engine_t *engine = g_hash_table_lookup(roles->engines, report->vm);
	double load;

	(void)ctx;
	if (engine == NULL || report->sampled_at > now ||
	    (engine->has_report &&
		report->sampled_at < engine->report_taken_at))
		return;
	load = MIN(report_load(report), LOAD_MAX);
	if (!engine->has_report || engine->role != report->role)
		engine->load = load;
	engine->load += LOAD_GAIN * (load - engine->load);
	engine->has_report = true;
	engine->report_taken_at = report->sampled_at;
	engine->role = report->role;
	engine->changing_role = report->reconfiguring;
}

static pool_view_t *
view_of(dff_roles_t *roles, const char *pool)
{
	pool_view_t *view = g_hash_table_lookup(roles->views, pool);

	if (view == NULL) {
		view = g_new0(pool_view_t, 1);
		g_hash_table_insert(roles->views, g_strdup(pool), view);
	}
	return view;
}

/* Return: false if a report is too old, or an engine is changing its role. */
static bool
count_groups(
    const dff_roles_t *roles, const char *pool, dff_time_t now, group_t *groups)
{
	GHashTableIter iter;
	gpointer value;

	memset(groups, 0, sizeof(*groups) * DFF_ROLE_COUNT);
	g_hash_table_iter_init(&iter, roles->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const engine_t *engine = value;

		if (strcmp(engine->vm.pool, pool) != 0 || engine->vm.leaving)
			continue;
		if (!engine->has_report ||
		    now - engine->report_taken_at > REPORT_MAX_AGE ||
		    engine->changing_role)
			return false;
		groups[engine->role].count++;
		groups[engine->role].load += engine->load;
	}
	return true;
}

/*
 * Update a shift: it starts with a shortage and ends SHIFT_END_DELAY after it.
 */
static void
update_shift(shift_t *shift, bool needed, dff_time_t now)
{
	if (needed) {
		if (shift->started_at == 0)
			shift->started_at = now;
		shift->needed_at = now;
		return;
	}
	if (shift->started_at == 0 || now - shift->needed_at < SHIFT_END_DELAY)
		return;
	if (shift->length <= 0)
		shift->length = (double)(shift->needed_at - shift->started_at);
	else
		shift->length += SHIFT_LENGTH_GAIN *
		    ((double)(shift->needed_at - shift->started_at) -
			shift->length);
	shift->started_at = 0;
}

/*
 * Predicted rest of a shift: up to the usual length if it is younger than that,
 * otherwise as long as it has lasted so far.
 */
static double
remaining_time(const shift_t *shift, dff_time_t now)
{
	double age = (double)(now - shift->started_at);

	if (shift->started_at == 0)
		return 0;
	if (age < shift->length)
		return shift->length - age;
	return age;
}

/* Engines that a role is short of; negative if it has some to spare. */
static double
shortage(const group_t *group)
{
	return group->load / UTILISATION_MAX - group->count;
}

/* Gain, in engine-seconds per second, of moving one engine between roles. */
static double
change_gain(const group_t *from, const group_t *to)
{
	double relief = MIN(shortage(to), 1);
	double harm = MAX(shortage(from) + 1, 0);

	return relief - harm;
}

static double
change_cost(const dff_pool_t *pool)
{
	return pool->role_change_price * (double)DFF_SEC +
	    (double)pool->role_change_away + (double)DRAIN_TIME;
}

/* The least loaded engine; ties go to the lowest VM id. */
static const engine_t *
least_loaded(const dff_roles_t *roles, const char *pool, const char *domain,
    dff_role_t role)
{
	GHashTableIter iter;
	gpointer value;
	const engine_t *best = NULL;

	g_hash_table_iter_init(&iter, roles->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const engine_t *engine = value;

		if (strcmp(engine->vm.pool, pool) != 0 ||
		    engine->role != role || engine->vm.leaving ||
		    (domain[0] != '\0' &&
			strcmp(engine->vm.domain, domain) != 0))
			continue;
		if (best == NULL || engine->load < best->load ||
		    (engine->load <= best->load &&
			strcmp(engine->vm.id, best->vm.id) < 0))
			best = engine;
	}
	return best;
}

/* Time between two changes in a pool; it grows with the price. */
static dff_time_t
change_interval(const dff_pool_t *pool)
{
	dff_time_t priced;

	priced = (dff_time_t)(PRICE_INTERVAL_FACTOR * pool->role_change_price *
	    (double)DFF_SEC);
	return pool->role_change_away + MAX(CHANGE_INTERVAL, priced);
}

/* Whether the last change is pending or too recent for another one. */
static bool
change_pending(const dff_roles_t *roles, pool_view_t *view,
    const dff_pool_t *pool, dff_time_t now)
{
	const engine_t *engine;

	if (view->changed_at == 0)
		return false;
	engine = g_hash_table_lookup(roles->engines, view->vm);
	if (engine == NULL || engine->role == view->role ||
	    now - view->changed_at > CHANGE_TIMEOUT)
		view->pending = false;
	return view->pending || now - view->changed_at < change_interval(pool);
}

static bool
evaluate_change(dff_roles_t *roles, const dff_pool_t *pool,
    const group_t *groups, const char *domain, dff_role_t from, dff_role_t to,
    dff_time_t now, dff_role_change_t *change)
{
	pool_view_t *view = view_of(roles, pool->name);
	double gain = change_gain(&groups[from], &groups[to]);
	double remaining;
	const engine_t *engine;

	update_shift(
	    &view->shifts[to], groups[from].count > 0 && gain >= GAIN_MIN, now);
	remaining = remaining_time(&view->shifts[to], now);
	if (gain < GAIN_MIN || groups[from].count < 2 ||
	    gain * remaining < HYSTERESIS * change_cost(pool) ||
	    change_pending(roles, view, pool, now))
		return false;
	engine = least_loaded(roles, pool->name, domain, from);
	if (engine == NULL)
		return false;
	(void)dff_name_copy(change->vm, engine->vm.id);
	change->role = DFF_ROLE_MIXED;
	(void)g_snprintf(change->reason, sizeof(change->reason),
	    "from=%s short_of=%s gain=%.2f left_s=%.0f cost_s=%.0f "
	    "load_from=%.2f load_to=%.2f",
	    dff_role_name(from), dff_role_name(to), gain,
	    remaining / (double)DFF_SEC, change_cost(pool) / (double)DFF_SEC,
	    groups[from].load, groups[to].load);
	return true;
}

static bool
propose_in_pool(dff_roles_t *roles, const dff_pool_t *pool, const char *domain,
    dff_time_t now, dff_role_change_t *change)
{
	group_t groups[DFF_ROLE_COUNT];

	if (!pool->roles || !count_groups(roles, pool->name, now, groups))
		return false;
	return evaluate_change(roles, pool, groups, domain, DFF_ROLE_DECODE,
		   DFF_ROLE_PREFILL, now, change) ||
	    evaluate_change(roles, pool, groups, domain, DFF_ROLE_PREFILL,
		DFF_ROLE_DECODE, now, change);
}

bool
dff_roles_propose(dff_ctx_t *ctx, dff_roles_t *roles, const char *domain,
    dff_time_t now, dff_role_change_t *change)
{
	const dff_pool_t *pools;
	uint32_t count;

	(void)ctx;
	memset(change, 0, sizeof(*change));
	if (roles->cat == NULL)
		return false;
	pools = dff_catalogue_pools(roles->cat, &count);
	for (uint32_t i = 0; i < count; i++)
		if (propose_in_pool(roles, &pools[i], domain, now, change))
			return true;
	return false;
}

void
dff_roles_record_change(
    dff_roles_t *roles, const dff_role_change_t *change, dff_time_t now)
{
	const engine_t *engine =
	    g_hash_table_lookup(roles->engines, change->vm);
	pool_view_t *view;

	if (engine == NULL)
		return;
	view = view_of(roles, engine->vm.pool);
	view->changed_at = now;
	view->pending = true;
	view->role = change->role;
	(void)dff_name_copy(view->vm, change->vm);
}
