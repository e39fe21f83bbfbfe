/*
 * Selects the upstreams whose load reports this node reads. In a small fleet
 * every node reads all reports. In a large one the upstreams of a failure
 * domain are partitioned among its nodes by rendezvous hashing; each node sends
 * the reports that it read to its domain, and the relay sends those of the
 * least loaded engines to the other domains.
 */
#include "peers.h"

#include <string.h>

/* Maximum number of upstreams of which every node reads all reports. */
#define WATCH_ALL_MAX 64
/* Reports older than this are not sent to peers. */
#define REPORT_AGE_MAX (5 * DFF_SEC)

/* A report with the strings that it points to. */
typedef struct kept_report {
	dff_ev_engine_report_t report;
	char vm[DFF_NAME_MAX];
	char model[DFF_NAME_MAX];
	bool read_locally;
} kept_report_t;

struct watch {
	GHashTable *watched; /* VM id -> address */
	GHashTable *reports; /* VM id -> kept_report_t */
	bool partitioned;
};

watch_t *
watch_new(void)
{
	watch_t *watch;

	watch = g_new0(watch_t, 1);
	watch->watched =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	watch->reports =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return watch;
}

void
watch_drop(watch_t *watch)
{
	if (watch == NULL)
		return;
	g_hash_table_unref(watch->watched);
	g_hash_table_unref(watch->reports);
	g_free(watch);
}

bool
watch_is_partitioned(const dff_node_t *node)
{
	return node->watch->partitioned;
}

static uint64_t
share_rank(const char *vm, const char *node)
{
	return dff_hash(node, strlen(node), dff_hash(vm, strlen(vm), 0));
}

/* Whether this node has the highest rank among the live nodes of its domain. */
static bool
is_in_own_share(const dff_node_t *node, const dff_vm_t *vm)
{
	size_t count = dff_members_count(node->members);
	uint64_t own = share_rank(vm->id, node->config.id);

	for (size_t i = 0; i < count; i++) {
		const dff_member_t *peer = dff_members_at(node->members, i);

		if (peer->same_domain && peer->state == DFF_MEMBER_LIVE &&
		    share_rank(vm->id, peer->id) > own)
			return false;
	}
	return true;
}

static bool
holds_shard(const dff_node_t *node, const dff_vm_t *vm)
{
	char shard[DFF_NAME_MAX * 2];

	(void)g_snprintf(shard, sizeof(shard), "%s@%s", vm->pool, vm->domain);
	return dff_authority_holds_lease(node->authority, shard);
}

static bool
should_watch(const dff_node_t *node, const dff_vm_t *vm)
{
	if (vm->kind == DFF_VM_ENTRY)
		return false;
	if (!node->watch->partitioned)
		return true;
	if (node->config.place && holds_shard(node, vm))
		return true;
	return node->config.serve &&
	    strcmp(vm->domain, node->config.domain) == 0 &&
	    is_in_own_share(node, vm);
}

static void
add_watch_effect(const char *id, const char *addr, dff_vm_kind_t kind,
    bool enabled, dff_effects_t *fx)
{
	dff_fx_engine_watch_t *effect;

	effect = &dff_effects_add(fx, DFF_FX_ENGINE_WATCH)->u.engine_watch;
	effect->vm = dff_effects_strdup(fx, id);
	effect->addr = dff_effects_strdup(fx, addr);
	effect->kind = kind;
	effect->enabled = enabled;
}

static void
stop_watching(dff_node_t *node, dff_effects_t *fx)
{
	GHashTableIter iter;
	void *id;
	void *addr;

	g_hash_table_iter_init(&iter, node->watch->watched);
	while (g_hash_table_iter_next(&iter, &id, &addr)) {
		const dff_vm_t *vm = names_vm_by_id(node, id);

		if (vm != NULL && should_watch(node, vm) &&
		    strcmp(vm->addr, addr) == 0)
			continue;
		add_watch_effect(id, addr, DFF_VM_ENGINE, false, fx);
		g_hash_table_iter_remove(&iter);
	}
}

void
watch_update(dff_node_t *node, dff_time_t now, dff_effects_t *fx)
{
	watch_t *watch = node->watch;
	size_t upstreams = 0;

	(void)now;
	for (guint i = 0; i < node->vms->len; i++)
		upstreams +=
		    g_array_index(node->vms, dff_vm_t, i).kind != DFF_VM_ENTRY;
	watch->partitioned = upstreams > WATCH_ALL_MAX;
	stop_watching(node, fx);
	for (guint i = 0; i < node->vms->len; i++) {
		const dff_vm_t *vm = &g_array_index(node->vms, dff_vm_t, i);

		if (!should_watch(node, vm) ||
		    g_hash_table_contains(watch->watched, vm->id))
			continue;
		g_hash_table_insert(
		    watch->watched, g_strdup(vm->id), g_strdup(vm->addr));
		add_watch_effect(vm->id, vm->addr, vm->kind, true, fx);
	}
}

static kept_report_t *
keep_report(watch_t *watch, const dff_ev_engine_report_t *report)
{
	kept_report_t *kept;

	kept = g_hash_table_lookup(watch->reports, report->vm);
	if (kept == NULL) {
		kept = g_new0(kept_report_t, 1);
		(void)dff_name_copy(kept->vm, report->vm);
		g_hash_table_insert(watch->reports, kept->vm, kept);
	}
	(void)dff_name_copy(kept->model, report->model);
	kept->report = *report;
	kept->report.vm = kept->vm;
	kept->report.model = kept->model;
	return kept;
}

void
watch_add_report(
    dff_node_t *node, const dff_ev_engine_report_t *report, dff_time_t now)
{
	(void)now;
	if (node->watch->partitioned)
		keep_report(node->watch, report)->read_locally = true;
}

/* The model that the catalogue names for the pool of a VM, or "". */
static const char *
pool_model(const dff_node_t *node, const char *id)
{
	const dff_catalogue_t *cat = node_catalogue(node);
	const dff_vm_t *vm = names_vm_by_id(node, id);
	uint32_t count;
	int pool;

	if (cat == NULL || vm == NULL)
		return "";
	pool = dff_catalogue_find_pool(cat, vm->pool);
	return pool < 0 ? "" : dff_catalogue_pools(cat, &count)[pool].model;
}

static void
pack_report(const dff_node_t *node, Dff__EngineReport *to, kept_report_t *kept,
    dff_time_t now)
{
	const dff_ev_engine_report_t *from = &kept->report;

	dff__engine_report__init(to);
	to->vm = names_hash(kept->vm);
	to->incarnation = from->incarnation;
	to->age_ms = (uint32_t)(MAX(now - from->sampled_at, 0) / DFF_MSEC);
	to->role = from->role;
	to->changing = from->reconfiguring;
	if (strcmp(kept->model, pool_model(node, kept->vm)) != 0)
		to->model = kept->model;
	to->version = from->version;
	to->running = from->running;
	to->waiting = from->waiting;
	to->backlog_tokens = from->backlog_tokens;
	to->free_pieces = from->free_pieces;
	to->total_pieces = from->total_pieces;
	to->token_us = (float)from->token_us;
	to->prefill_us = (float)from->prefill_us;
}

static gint
compare_load(gconstpointer a, gconstpointer b)
{
	const kept_report_t *const *x = a;
	const kept_report_t *const *y = b;
	uint32_t load_x = (*x)->report.running + (*x)->report.waiting;
	uint32_t load_y = (*y)->report.running + (*y)->report.waiting;

	if (load_x != load_y)
		return load_x < load_y ? -1 : 1;
	return strcmp((*x)->vm, (*y)->vm);
}

static bool
is_sent(const dff_node_t *node, const kept_report_t *kept, watch_scope_t scope)
{
	const dff_vm_t *vm;

	if (node->now - kept->report.sampled_at > REPORT_AGE_MAX)
		return false;
	if (scope == WATCH_READ_LOCALLY)
		return kept->read_locally;
	vm = names_vm_by_id(node, kept->vm);
	if (vm == NULL)
		return false;
	return (strcmp(vm->domain, node->config.domain) == 0) ==
	    (scope == WATCH_OWN_DOMAIN);
}

size_t
watch_pack_reports(const dff_node_t *node, watch_scope_t scope,
    Dff__EngineReport *rows, Dff__EngineReport **at, size_t max)
{
	GHashTableIter iter;
	GPtrArray *list;
	size_t count;
	void *value;

	if (!node->watch->partitioned)
		return 0;
	list = g_ptr_array_new();
	g_hash_table_iter_init(&iter, node->watch->reports);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_sent(node, value, scope))
			g_ptr_array_add(list, value);
	}
	g_ptr_array_sort(list, compare_load);
	count = MIN(list->len, max);
	for (size_t i = 0; i < count; i++) {
		pack_report(
		    node, &rows[i], g_ptr_array_index(list, i), node->now);
		at[i] = &rows[i];
	}
	g_ptr_array_unref(list);
	return count;
}

static void
receive_report(dff_ctx_t *ctx, dff_node_t *node, const Dff__EngineReport *row,
    dff_time_t now)
{
	const dff_vm_t *vm = names_vm_by_hash(node, row->vm);
	dff_ev_engine_report_t report = {.incarnation = row->incarnation,
	    .sampled_at = now - (dff_time_t)row->age_ms * DFF_MSEC,
	    .role = (dff_role_t)MIN(row->role, DFF_ROLE_DECODE),
	    .reconfiguring = row->changing,
	    .model = row->model,
	    .version = row->version,
	    .running = row->running,
	    .waiting = row->waiting,
	    .backlog_tokens = row->backlog_tokens,
	    .free_pieces = row->free_pieces,
	    .total_pieces = row->total_pieces,
	    .token_us = row->token_us,
	    .prefill_us = row->prefill_us};

	/* Reports read by this node are newer than those received. */
	if (vm == NULL || g_hash_table_contains(node->watch->watched, vm->id))
		return;
	report.vm = vm->id;
	if (row->model[0] == '\0')
		report.model = pool_model(node, vm->id);
	if (node->watch->partitioned)
		keep_report(node->watch, &report)->read_locally = false;
	node_load_report(ctx, node, &report, now);
}

void
watch_receive_reports(dff_ctx_t *ctx, dff_node_t *node, size_t count,
    Dff__EngineReport **rows, dff_time_t now)
{
	for (size_t i = 0; i < count; i++)
		receive_report(ctx, node, rows[i], now);
}
