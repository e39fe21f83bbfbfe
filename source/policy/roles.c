/*
 * The controller of role changes.
 *
 * It weighs, for each pool that allows it, what prefilling and decoding
 * engines have to do against what they can do. An engine of the role with
 * engines to spare is changed to mixed when the other role lacks some: a
 * mixed engine serves both, so the next shift back needs no change. The
 * gain over the time that the shift will go on, judged by how long earlier
 * ones lasted, must beat the drain, the time away and the pool's price.
 * No change is proposed on an old view, nor a second one before the first
 * has shown, nor one that would leave a role that is needed without engines.
 */
#include <math.h>
#include <string.h>

#include <glib.h>

#include "dragonflyfall/policy.h"

/* A report older than this makes the view of its pool old. */
#define VIEW_OLD (4 * DFF_SEC)
/* Weight of a new report in an engine's load. */
#define LOAD_GAIN 0.1
/* Load beyond which an engine counts as no more, so that it soon falls. */
#define LOAD_MOST 1.5
/* Backlog of an engine that is just busy. */
#define BACKLOG_FREE (60 * DFF_MSEC)
/*
 * What is beyond that, as engines: nodes hold calls back when an engine has
 * a backlog of a few hundred milliseconds, so it never gets much longer.
 */
#define BACKLOG_TIME (300 * DFF_MSEC)
/* Part of an engine's time that a role may be busy before it lacks one. */
#define BUSY_MOST 0.85
/* Engine-seconds a second that a change must bring at least. */
#define GAIN_LEAST 0.3
/* Time without the need after which a shift counts as over. */
#define SHIFT_GAP (5 * DFF_SEC)
/* Time that a drain is reckoned with. */
#define DRAIN_TIME (5 * DFF_SEC)
/* The gain must beat the cost by this factor. */
#define HYSTERESIS 1.25
/* Weight of the last shift in the length of shifts. */
#define SHIFT_GAIN 0.5
/* Least time between two changes in a pool, beyond the time away. */
#define CHANGE_EVERY (30 * DFF_SEC)
/* The same as a multiple of the price, where that is longer. */
#define PRICE_PACE 2.0
/* Time after which a change that has not shown is given up. */
#define CHANGE_MOST (120 * DFF_SEC)

/** struct engine - what is known of an engine */
typedef struct engine {
	dff_vm_t vm;
	bool reported;
	dff_time_t taken;
	dff_role_t role;
	bool changing;
	double load;
} engine_t;

/** struct shift - a need for engines of one role, and earlier ones */
typedef struct shift {
	dff_time_t since;
	dff_time_t last;
	double length;
} shift_t;

/** struct pool_view - what is known of a pool, kept by name */
typedef struct pool_view {
	shift_t shifts[DFF_ROLE_COUNT];
	dff_time_t changed;
	char vm[DFF_NAME_MAX];
	dff_role_t role;
	bool open;
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
dff_roles_load_vms(
    dff_roles_t *roles, const dff_vm_t *vms, size_t count, dff_time_t now)
{
	GHashTable *fresh;

	(void)now;
	fresh = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
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
		g_hash_table_replace(fresh, engine->vm.id, engine);
	}
	g_hash_table_unref(roles->engines);
	roles->engines = fresh;
}

/* How much an engine has to do, in engines: above one is a backlog. */
static double
load_of(const dff_ev_engine_report_t *report)
{
	double backlog;
	double used = 0;

	backlog = (double)report->backlog_tokens * report->prefill_us -
	    (double)BACKLOG_FREE;
	backlog = MAX(backlog, 0) / (double)BACKLOG_TIME;
	if (report->total_pieces > 0)
		used = 1 - (double)report->free_pieces / report->total_pieces;
	if (report->role == DFF_ROLE_PREFILL)
		return backlog + (report->running > 0 ? BUSY_MOST : 0);
	if (report->running > 0)
		used += (double)report->waiting / report->running;
	return used;
}

void
dff_roles_load_report(dff_ctx_t *ctx, dff_roles_t *roles,
    const dff_ev_engine_report_t *report, dff_time_t now)
{
	engine_t *engine = g_hash_table_lookup(roles->engines, report->vm);
	double load;

	(void)ctx;
	if (engine == NULL || report->sampled_at > now ||
	    (engine->reported && report->sampled_at < engine->taken))
		return;
	load = MIN(load_of(report), LOAD_MOST);
	if (!engine->reported || engine->role != report->role)
		engine->load = load;
	engine->load += LOAD_GAIN * (load - engine->load);
	engine->reported = true;
	engine->taken = report->sampled_at;
	engine->role = report->role;
	engine->changing = report->reconfiguring;
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

/* Return: false if the view is too old to decide on. */
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
		if (!engine->reported || now - engine->taken > VIEW_OLD ||
		    engine->changing)
			return false;
		groups[engine->role].count++;
		groups[engine->role].load += engine->load;
	}
	return true;
}

/* Follow a need: a shift begins with it and is over some time after it. */
static void
follow_shift(shift_t *shift, bool need, dff_time_t now)
{
	if (need) {
		if (shift->since == 0)
			shift->since = now;
		shift->last = now;
		return;
	}
	if (shift->since == 0 || now - shift->last < SHIFT_GAP)
		return;
	if (shift->length <= 0)
		shift->length = (double)(shift->last - shift->since);
	else
		shift->length += SHIFT_GAIN *
		    ((double)(shift->last - shift->since) - shift->length);
	shift->since = 0;
}

/*
 * Time that a shift will go on: up to the usual length if it is younger
 * than that; else about as long as it has lasted.
 */
static double
time_left(const shift_t *shift, dff_time_t now)
{
	double age = (double)(now - shift->since);

	if (shift->since == 0)
		return 0;
	if (age < shift->length)
		return shift->length - age;
	return age;
}

/* Engines that a role lacks; below 0 are engines to spare. */
static double
lack_of(const group_t *group)
{
	return group->load / BUSY_MOST - group->count;
}

/* Engine-seconds a second that one engine brings when it leaves a role. */
static double
gain_of(const group_t *from, const group_t *to)
{
	double lack = MIN(lack_of(to), 1);
	double harm = MAX(lack_of(from) + 1, 0);

	return lack - harm;
}

static double
cost_of(const dff_pool_t *pool)
{
	return pool->role_change_price * (double)DFF_SEC +
	    (double)pool->role_change_away + (double)DRAIN_TIME;
}

/* The engine with the least to do, by name where that is equal. */
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

/* Time between two changes in a pool: the dearer, the longer. */
static dff_time_t
change_every(const dff_pool_t *pool)
{
	dff_time_t priced;

	priced = (dff_time_t)(PRICE_PACE * pool->role_change_price *
	    (double)DFF_SEC);
	return pool->role_change_away + MAX(CHANGE_EVERY, priced);
}

/* Whether the last change has not shown yet, or was a moment ago. */
static bool
change_open(const dff_roles_t *roles, pool_view_t *view, const dff_pool_t *pool,
    dff_time_t now)
{
	const engine_t *engine;

	if (view->changed == 0)
		return false;
	engine = g_hash_table_lookup(roles->engines, view->vm);
	if (engine == NULL || engine->role == view->role ||
	    now - view->changed > CHANGE_MOST)
		view->open = false;
	return view->open || now - view->changed < change_every(pool);
}

static bool
weigh(dff_roles_t *roles, const dff_pool_t *pool, const group_t *groups,
    const char *domain, dff_role_t from, dff_role_t to, dff_time_t now,
    dff_role_change_t *change)
{
	pool_view_t *view = view_of(roles, pool->name);
	double gain = gain_of(&groups[from], &groups[to]);
	double left;
	const engine_t *engine;

	follow_shift(&view->shifts[to],
	    groups[from].count > 0 && gain >= GAIN_LEAST, now);
	left = time_left(&view->shifts[to], now);
	if (gain < GAIN_LEAST || groups[from].count < 2 ||
	    gain * left < HYSTERESIS * cost_of(pool) ||
	    change_open(roles, view, pool, now))
		return false;
	engine = least_loaded(roles, pool->name, domain, from);
	if (engine == NULL)
		return false;
	(void)dff_name_copy(change->vm, engine->vm.id);
	change->role = DFF_ROLE_MIXED;
	(void)g_snprintf(change->why, sizeof(change->why),
	    "from=%s short_of=%s gain=%.2f left_s=%.0f cost_s=%.0f "
	    "load_from=%.2f load_to=%.2f",
	    dff_role_name(from), dff_role_name(to), gain,
	    left / (double)DFF_SEC, cost_of(pool) / (double)DFF_SEC,
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
	return weigh(roles, pool, groups, domain, DFF_ROLE_DECODE,
		   DFF_ROLE_PREFILL, now, change) ||
	    weigh(roles, pool, groups, domain, DFF_ROLE_PREFILL,
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
dff_roles_note(
    dff_roles_t *roles, const dff_role_change_t *change, dff_time_t now)
{
	const engine_t *engine =
	    g_hash_table_lookup(roles->engines, change->vm);
	pool_view_t *view;

	if (engine == NULL)
		return;
	view = view_of(roles, engine->vm.pool);
	view->changed = now;
	view->open = true;
	view->role = change->role;
	(void)dff_name_copy(view->vm, change->vm);
}
