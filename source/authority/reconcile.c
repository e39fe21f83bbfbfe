/*
 * Brings engines to the model, version and adapter that the catalogue
 * declares for their pool. The holder of a shard's lease checks one engine
 * at a time and starts a change for what find_difference.
 */
#include <stdio.h>
#include <string.h>

#include "authority/internal.h"

/* The engine at index @n of a shard, or NULL. */
static const dff_vm_t *
engine_at(const dff_authority_t *auth, const shard_t *shard, uint32_t n)
{
	for (guint i = 0; i < auth->vms->len; i++) {
		const dff_vm_t *vm = &g_array_index(auth->vms, dff_vm_t, i);

		if (vm->leaving || shard_of_vm(auth, vm) != shard)
			continue;
		if (n-- == 0)
			return vm;
	}
	return NULL;
}

void
reconcile_step(
    dff_authority_t *auth, shard_t *shard, dff_time_t now, dff_effects_t *fx)
{
	const dff_vm_t *vm;
	dff_effect_t *effect;

	if (now < shard->next_check_at || shard->engine_count == 0 ||
	    auth->cat == NULL)
		return;
	shard->next_check_at =
	    now + ENGINE_CHECK_INTERVAL / shard->engine_count;
	shard->check_index = (shard->check_index + 1) % shard->engine_count;
	vm = engine_at(auth, shard, shard->check_index);
	if (vm == NULL)
		return;
	effect = dff_effects_add(fx, DFF_FX_ENGINE_QUERY);
	effect->u.engine_query.vm = dff_effects_strdup(fx, vm->id);
	effect->u.engine_query.addr = dff_effects_strdup(fx, vm->addr);
}

/* Finds the first property that is not as declared; the model comes first. */
static bool
find_difference(const dff_pool_t *pool, const dff_ev_engine_state_t *st,
    dff_order_kind_t *kind, char target[DFF_NAME_MAX])
{
	if (pool->model[0] != '\0' && strcmp(pool->model, st->model) != 0) {
		*kind = DFF_ORDER_MODEL;
		return dff_name_copy(target, pool->model) == 0;
	}
	if (pool->version != 0 && pool->version != st->version) {
		*kind = DFF_ORDER_VERSION;
		(void)snprintf(target, DFF_NAME_MAX, "%u", pool->version);
		return true;
	}
	if (pool->adapter[0] != '\0' &&
	    strcmp(pool->adapter, st->adapter) != 0) {
		*kind = DFF_ORDER_ADAPTER;
		return dff_name_copy(target, pool->adapter) == 0;
	}
	return false;
}

void
reconcile_engine_state(dff_ctx_t *ctx, dff_authority_t *auth, shard_t *shard,
    const dff_ev_engine_state_t *st, dff_time_t now, dff_effects_t *fx)
{
	const dff_vm_t *vm = find_vm(auth, st->vm);
	const dff_time_t *retry_at;
	const dff_pool_t *pools;
	char target[DFF_NAME_MAX];
	dff_order_kind_t kind;
	uint32_t count;
	int pool;

	if (!st->ok || st->reconfiguring || auth->cat == NULL || vm == NULL)
		return;
	pool = dff_catalogue_find_pool(auth->cat, shard->pool);
	if (pool < 0)
		return;
	pools = dff_catalogue_pools(auth->cat, &count);
	retry_at = g_hash_table_lookup(auth->retry_at, st->vm);
	if (!find_difference(&pools[pool], st, &kind, target) ||
	    (retry_at != NULL && now < *retry_at) ||
	    change_may_start(auth, shard, vm, kind, now) != 0)
		return;
	change_start(ctx, auth, shard, vm, kind, target, now, fx);
}
