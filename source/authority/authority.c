/* Interface of the authority part: its events, and the steps of each shard. */
#include "dragonflyfall/authority.h"

#include <errno.h>
#include <string.h>

#include "authority/internal.h"

/* Appends not read back within this many terms are forgotten. */
#define APPEND_LIFETIME_TERMS 4

dff_authority_t *
dff_authority_new(
    dff_ctx_t *ctx, const dff_authority_config_t *config, dff_timers_t *timers)
{
	dff_authority_t *auth;

	(void)ctx;
	auth = g_new0(dff_authority_t, 1);
	auth->config = *config;
	auth->timers = timers;
	auth->next_tick_at = DFF_TIME_NEVER;
	authority_state_init(&auth->state);
	auth->vms = g_array_new(FALSE, FALSE, sizeof(dff_vm_t));
	auth->shards = g_tree_new_full(name_compare, NULL, NULL, g_free);
	auth->appends =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	auth->sent_orders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	auth->order_reports =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	auth->presence =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	auth->retry_at =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return auth;
}

void
dff_authority_drop(dff_authority_t *auth)
{
	if (auth == NULL)
		return;
	authority_state_clear(&auth->state);
	dff_catalogue_drop(auth->cat);
	g_array_unref(auth->vms);
	g_tree_unref(auth->shards);
	g_hash_table_unref(auth->appends);
	g_hash_table_unref(auth->sent_orders);
	g_hash_table_unref(auth->order_reports);
	g_hash_table_unref(auth->presence);
	g_hash_table_unref(auth->retry_at);
	g_free(auth);
}

/* ---- VMs, shards and pools ---- */

/* The id of a placer is its VM's id followed by ".placer". */
void
vm_id_of_node(const char *node, char id[DFF_NAME_MAX])
{
	static const char suffix[] = ".placer";
	size_t len = strlen(node);

	(void)dff_name_copy(id, node);
	if (g_str_has_suffix(node, suffix))
		id[len - (sizeof(suffix) - 1)] = '\0';
}

const dff_vm_t *
find_vm(const dff_authority_t *auth, const char *id)
{
	for (guint i = 0; i < auth->vms->len; i++) {
		const dff_vm_t *vm = &g_array_index(auth->vms, dff_vm_t, i);

		if (strcmp(vm->id, id) == 0)
			return vm;
	}
	return NULL;
}

dff_fencing_t
pool_fencing(const dff_authority_t *auth, const char *pool)
{
	const dff_pool_t *pools;
	uint32_t count;
	int index;

	/* Without a declaration, the engine is assumed not to check it. */
	if (auth->cat == NULL)
		return DFF_FENCING_IGNORED;
	index = dff_catalogue_find_pool(auth->cat, pool);
	if (index < 0)
		return DFF_FENCING_IGNORED;
	pools = dff_catalogue_pools(auth->cat, &count);
	return pools[index].fencing;
}

static void
shard_name(char *name, const char *pool, const char *domain)
{
	g_strlcpy(name, pool, SHARD_NAME_MAX);
	g_strlcat(name, "@", SHARD_NAME_MAX);
	g_strlcat(name, domain, SHARD_NAME_MAX);
}

shard_t *
shard_of_vm(const dff_authority_t *auth, const dff_vm_t *vm)
{
	char name[SHARD_NAME_MAX];

	if (vm->kind != DFF_VM_ENGINE)
		return NULL;
	shard_name(name, vm->pool, vm->domain);
	return g_tree_lookup(auth->shards, name);
}

static shard_t *
add_shard(dff_authority_t *auth, const char *name, dff_time_t now)
{
	shard_t *shard = g_tree_lookup(auth->shards, name);
	const char *at = strrchr(name, '@');

	if (shard != NULL || at == NULL || (size_t)(at - name) >= DFF_NAME_MAX)
		return shard;
	shard = g_new0(shard_t, 1);
	g_strlcpy(shard->name, name, sizeof(shard->name));
	g_strlcpy(shard->pool, name, (gsize)(at - name) + 1);
	g_strlcpy(shard->domain, at + 1, sizeof(shard->domain));
	shard->first_seen_at = now;
	g_tree_insert(auth->shards, shard->name, shard);
	return shard;
}

static GTreeNode *
first_shard_node(const dff_authority_t *auth)
{
	return g_tree_node_first(auth->shards);
}

static void
update_shards(dff_authority_t *auth, dff_time_t now)
{
	char name[SHARD_NAME_MAX];

	for (GTreeNode *node = first_shard_node(auth); node != NULL;
	     node = g_tree_node_next(node))
		((shard_t *)g_tree_node_value(node))->engine_count = 0;
	for (guint i = 0; i < auth->vms->len; i++) {
		const dff_vm_t *vm = &g_array_index(auth->vms, dff_vm_t, i);
		shard_t *shard;

		if (vm->kind != DFF_VM_ENGINE)
			continue;
		shard_name(name, vm->pool, vm->domain);
		shard = add_shard(auth, name, now);
		if (shard != NULL && !vm->leaving)
			shard->engine_count++;
	}
	for (GTreeNode *node = first_shard_node(auth); node != NULL;
	     node = g_tree_node_next(node)) {
		shard_t *shard = g_tree_node_value(node);

		shard->rank = lease_rank(auth, shard);
	}
}

void
dff_authority_load_vms(dff_ctx_t *ctx, dff_authority_t *auth,
    const dff_vm_t *vms, size_t count, dff_time_t now)
{
	(void)ctx;
	auth->now = now;
	auth->vms_loaded_at = now;
	g_array_set_size(auth->vms, 0);
	if (count > 0)
		g_array_append_vals(auth->vms, vms, (guint)count);
	update_shards(auth, now);
	former_holders_load_vms(auth, now);
}

void
dff_authority_set_catalogue(dff_authority_t *auth, dff_catalogue_t *cat)
{
	dff_catalogue_drop(auth->cat);
	auth->cat = cat != NULL ? dff_catalogue_keep(cat) : NULL;
	/* After an operator's edit, failed changes are tried again at once. */
	g_hash_table_remove_all(auth->retry_at);
}

/* ---- ticks ---- */

static bool
needs_short_ticks(const dff_authority_t *auth)
{
	if (auth->stopping)
		return true;
	for (GTreeNode *node = first_shard_node(auth); node != NULL;
	     node = g_tree_node_next(node)) {
		const shard_t *shard = g_tree_node_value(node);

		if (shard->change.phase != CHANGE_NONE)
			return true;
	}
	return false;
}

static void
schedule_tick(dff_authority_t *auth, dff_time_t now)
{
	dff_time_t interval =
	    MIN(IDLE_TICK_INTERVAL, append_retry_delay(auth) / 2);

	if (!auth->started)
		return;
	if (needs_short_ticks(auth))
		interval = MIN(interval, CHANGE_POLL_INTERVAL);
	if (now + interval >= auth->next_tick_at)
		return;
	auth->next_tick_at = now + interval;
	dff_timers_set(
	    auth->timers, DFF_TIMER_AUTHORITY_TICK, 0, auth->next_tick_at);
}

static gboolean
is_expired_append(gpointer key, gpointer value, gpointer arg)
{
	const append_t *append = value;
	const dff_authority_t *auth = arg;

	(void)key;
	return auth->now - append->appended_at >
	    APPEND_LIFETIME_TERMS * auth->config.term;
}

static gboolean
is_finished_order(gpointer key, gpointer value, gpointer arg)
{
	const sent_order_t *sent_order = value;
	const dff_authority_t *auth = arg;

	(void)key;
	return sent_order->answered &&
	    auth->now >= sent_order->in_flight_until &&
	    authority_state_order(&auth->state, sent_order->order) == NULL;
}

/* Adds shards that are not in the VM list but still have a drain mark. */
static void
add_marked_shards(dff_authority_t *auth, dff_time_t now)
{
	for (GTreeNode *node = g_tree_node_first(auth->state.marks);
	     node != NULL; node = g_tree_node_next(node)) {
		const drain_mark_t *mark = g_tree_node_value(node);

		if (g_tree_lookup(auth->shards, mark->shard) != NULL)
			continue;
		if (add_shard(auth, mark->shard, now) != NULL)
			update_shards(auth, now);
	}
}

void
dff_authority_due(
    dff_ctx_t *ctx, dff_authority_t *auth, dff_time_t now, dff_effects_t *fx)
{
	auth->now = now;
	auth->next_tick_at = DFF_TIME_NEVER;
	if (!auth->started)
		return;
	add_marked_shards(auth, now);
	for (GTreeNode *node = first_shard_node(auth); node != NULL;
	     node = g_tree_node_next(node)) {
		shard_t *shard = g_tree_node_value(node);

		lease_step(ctx, auth, shard, now, fx);
		if (!lease_valid(auth, shard, now) && !DFF_FAULT(SEND_LAPSED))
			continue;
		change_step(ctx, auth, shard, now, fx);
		if (shard->change.phase == CHANGE_NONE && !auth->stopping)
			reconcile_step(auth, shard, now, fx);
	}
	former_holders_step(ctx, auth, now, fx);
	g_hash_table_foreach_remove(auth->appends, is_expired_append, auth);
	g_hash_table_foreach_remove(auth->sent_orders, is_finished_order, auth);
	schedule_tick(auth, now);
}

void
dff_authority_start(dff_authority_t *auth, dff_time_t now)
{
	auth->now = now;
	if (!auth->config.can_hold_leases || auth->started)
		return;
	auth->started = true;
	auth->started_at = now;
	schedule_tick(auth, now);
}

void
dff_authority_stop(
    dff_ctx_t *ctx, dff_authority_t *auth, dff_time_t now, dff_effects_t *fx)
{
	auth->stopping = true;
	dff_authority_due(ctx, auth, now, fx);
}

bool
dff_authority_idle(const dff_authority_t *auth)
{
	if (!auth->started)
		return true;
	for (GTreeNode *node = first_shard_node(auth); node != NULL;
	     node = g_tree_node_next(node)) {
		if (lease_valid(auth, g_tree_node_value(node), auth->now))
			return false;
	}
	return true;
}

/* ---- events ---- */

int
dff_authority_propose(dff_ctx_t *ctx, dff_authority_t *auth, const char *vm,
    dff_order_kind_t kind, const char *target, dff_time_t now,
    dff_effects_t *fx)
{
	const dff_vm_t *engine = find_vm(auth, vm);
	shard_t *shard;
	int err;

	auth->now = now;
	if (engine == NULL || engine->leaving)
		return -ENOENT;
	shard = shard_of_vm(auth, engine);
	if (shard == NULL)
		return -ENOENT;
	if (target[0] == '\0' || strlen(target) >= DFF_NAME_MAX ||
	    (kind == DFF_ORDER_ROLE && dff_role_parse(target) < 0))
		return -EINVAL;
	err = change_may_start(auth, shard, engine, kind, now);
	if (err != 0)
		return err;
	change_start(ctx, auth, shard, engine, kind, target, now, fx);
	schedule_tick(auth, now);
	return 0;
}

void
dff_authority_appended(dff_ctx_t *ctx, dff_authority_t *auth,
    const dff_ev_log_appended_t *ev, dff_time_t now, dff_effects_t *fx)
{
	uint64_t sequence = ev->id & ~DFF_AUTHORITY_APPEND_TAG;
	const append_t *append;
	shard_t *shard;

	(void)ctx;
	(void)fx;
	auth->now = now;
	/* Only reading the stream shows whether other appends took effect. */
	if ((ev->id & DFF_AUTHORITY_APPEND_TAG) != DFF_AUTHORITY_APPEND_TAG ||
	    ev->outcome != DFF_APPEND_REFUSED)
		return;
	append = g_hash_table_lookup(auth->appends, &sequence);
	if (append == NULL)
		return;
	shard = g_tree_lookup(auth->shards, append->shard);
	if (shard != NULL)
		change_append_refused(shard, append, now);
	g_hash_table_remove(auth->appends, &sequence);
}

static void
record_order_report(dff_authority_t *auth, const dff_ev_engine_state_t *ev)
{
	order_report_t *report =
	    g_hash_table_lookup(auth->order_reports, ev->vm);

	if (report == NULL) {
		report = g_new0(order_report_t, 1);
		g_hash_table_insert(
		    auth->order_reports, g_strdup(ev->vm), report);
	}
	report->fence = ev->fence;
	report->last_order = ev->last_order;
}

void
dff_authority_engine_state(dff_ctx_t *ctx, dff_authority_t *auth,
    const dff_ev_engine_state_t *ev, dff_time_t now, dff_effects_t *fx)
{
	const dff_vm_t *vm = find_vm(auth, ev->vm);
	const drain_mark_t *mark =
	    authority_state_engine_mark(&auth->state, ev->vm);
	shard_t *shard = NULL;

	auth->now = now;
	if (ev->ok)
		record_order_report(auth, ev);
	/* The engine of a change may no longer be in the VM list. */
	if (mark != NULL)
		shard = g_tree_lookup(auth->shards, mark->shard);
	else if (vm != NULL)
		shard = shard_of_vm(auth, vm);
	if (shard == NULL || !lease_valid(auth, shard, now))
		return;
	if (strcmp(shard->change.vm, ev->vm) == 0)
		change_engine_state(ctx, auth, shard, ev, now, fx);
	else if (shard->change.phase == CHANGE_NONE)
		reconcile_engine_state(ctx, auth, shard, ev, now, fx);
	schedule_tick(auth, now);
}

void
dff_authority_order_answer(dff_ctx_t *ctx, dff_authority_t *auth,
    const dff_ev_order_answer_t *ev, dff_time_t now, dff_effects_t *fx)
{
	const intent_t *intent = authority_state_order(&auth->state, ev->order);
	sent_order_t *sent_order =
	    g_hash_table_lookup(auth->sent_orders, &ev->order);
	shard_t *shard;

	auth->now = now;
	if (sent_order != NULL) {
		sent_order->answered = true;
		sent_order->in_flight_until = now;
		if (ev->answer == DFF_ORDER_UNKNOWN)
			sent_order->in_flight_until += auth->config.tcp_timeout;
	}
	dff_log(ctx, DFF_LOG_INFO, "order",
	    "order answered. order=%" G_GUINT64_FORMAT " answer=%s", ev->order,
	    dff_order_answer_name(ev->answer));
	if (intent == NULL)
		return;
	shard = g_tree_lookup(auth->shards, intent->shard);
	if (shard != NULL)
		change_order_answer(ctx, auth, shard, ev, now, fx);
	schedule_tick(auth, now);
}

void
dff_authority_caught_up(dff_authority_t *auth, dff_time_t asked)
{
	auth->caught_up_at = MAX(auth->caught_up_at, asked);
}

bool
dff_authority_is_draining(const dff_authority_t *auth, const char *vm)
{
	return authority_state_engine_mark(&auth->state, vm) != NULL;
}

size_t
dff_authority_leases(
    const dff_authority_t *auth, dff_lease_view_t *views, size_t max)
{
	size_t count = 0;

	for (GTreeNode *node = g_tree_node_first(auth->state.leases);
	     node != NULL; node = g_tree_node_next(node)) {
		const lease_t *lease = g_tree_node_value(node);
		const shard_t *shard =
		    g_tree_lookup(auth->shards, lease->shard);

		if (lease->released)
			continue;
		if (count < max) {
			dff_lease_view_t *view = &views[count];

			g_strlcpy(
			    view->shard, lease->shard, sizeof(view->shard));
			g_strlcpy(
			    view->holder, lease->holder, sizeof(view->holder));
			view->incarnation = lease->incarnation;
			view->fence = lease->fence;
			view->held_here = shard != NULL &&
			    lease_valid(auth, shard, auth->now);
		}
		count++;
	}
	return count;
}

/* ---- the stream ---- */

/* Handles an own record that was read from the stream. */
static void
handle_read_back(dff_ctx_t *ctx, dff_authority_t *auth,
    const Dff__Record *record, uint64_t offset, dff_time_t now)
{
	const append_t *append;
	shard_t *shard;

	if (record->incarnation != auth->config.incarnation ||
	    strcmp(record->writer, auth->config.node) != 0)
		return;
	append = g_hash_table_lookup(auth->appends, &record->sequence);
	if (append == NULL)
		return;
	shard = g_tree_lookup(auth->shards, append->shard);
	if (shard != NULL &&
	    (append->kind == APPEND_CLAIM || append->kind == APPEND_RENEW))
		lease_read_back(ctx, auth, shard, append, offset, now);
	g_hash_table_remove(auth->appends, &record->sequence);
}

/* Handles a claim, by which another process may have got the lease. */
static void
handle_claim(dff_ctx_t *ctx, dff_authority_t *auth, const Dff__Record *record,
    dff_time_t now)
{
	const lease_t *lease =
	    authority_state_lease(&auth->state, record->lease_claim->shard);
	shard_t *shard =
	    g_tree_lookup(auth->shards, record->lease_claim->shard);

	former_holders_note_claim(auth, record->writer, now);
	if (shard == NULL ||
	    lease_is_held_by(
		lease, auth->config.node, auth->config.incarnation))
		return;
	if (shard->lease_valid_until != 0)
		dff_log(ctx, DFF_LOG_NOTICE, "lease",
		    "lease lost. shard=%s holder=%s fence=%" G_GUINT64_FORMAT,
		    shard->name, lease->holder, lease->fence);
	shard->lease_valid_until = 0;
	change_lease_lost(ctx, shard);
}

int
dff_authority_apply(dff_ctx_t *ctx, dff_authority_t *auth, uint64_t offset,
    const uint8_t *data, size_t len, uint64_t time_ms, dff_time_t now,
    dff_effects_t *fx)
{
	Dff__Record *record;
	int changed;

	(void)time_ms;
	auth->now = now;
	if (offset <= auth->state.applied)
		return -EALREADY;
	if (offset != auth->state.applied + 1)
		return -ERANGE;
	auth->state.applied = offset;
	record = dff__record__unpack(NULL, len, data);
	if (record == NULL)
		return -EINVAL;
	changed = authority_state_apply(&auth->state, record, offset, now);
	if (changed >= 0) {
		if (record->body_case == DFF__RECORD__BODY_LEASE_CLAIM)
			handle_claim(ctx, auth, record, now);
		handle_read_back(ctx, auth, record, offset, now);
	}
	dff__record__free_unpacked(record, NULL);
	if (!auth->started)
		return changed;
	for (GTreeNode *node = first_shard_node(auth); node != NULL;
	     node = g_tree_node_next(node))
		change_step(ctx, auth, g_tree_node_value(node), now, fx);
	schedule_tick(auth, now);
	return changed;
}

int
dff_authority_load(dff_ctx_t *ctx, dff_authority_t *auth, const uint8_t *data,
    size_t len, uint64_t first, dff_time_t now)
{
	int err;

	auth->now = now;
	err = authority_state_load(&auth->state, data, len, first, now);
	if (err != 0)
		return err;
	/* Open changes of this process have ended, or will be adopted. */
	for (GTreeNode *node = first_shard_node(auth); node != NULL;
	     node = g_tree_node_next(node)) {
		shard_t *shard = g_tree_node_value(node);

		shard->lease_valid_until = 0;
		change_lease_lost(ctx, shard);
	}
	return 0;
}

int
dff_authority_save(dff_ctx_t *ctx, const dff_authority_t *auth, uint8_t **data)
{
	(void)ctx;
	if (auth->state.applied == 0)
		return -ENODATA;
	return (int)authority_state_save(
	    &auth->state, auth->config.node, auth->config.incarnation, data);
}

uint64_t
dff_authority_applied(const dff_authority_t *auth)
{
	return auth->state.applied;
}

int
dff_authority_rebase(dff_authority_t *auth, uint64_t applied)
{
	if (auth->state.applied != 0)
		return -EALREADY;
	auth->state.applied = applied;
	auth->rebased_at = MAX(auth->now, 1);
	return 0;
}

bool
dff_authority_holds_lease(const dff_authority_t *auth, const char *name)
{
	const shard_t *shard = g_tree_lookup(auth->shards, name);

	return shard != NULL && lease_valid(auth, shard, auth->now);
}
