/*
 * What peers told, summed and in its form on the wire.
 */
#include "told.h"

#include <string.h>

/* Calls a second below which an owner counts as idle. */
#define RATE_IDLE 0.05

void
told_free(void *arg)
{
	told_t *told = arg;

	g_array_unref(told->work);
	g_array_unref(told->use);
	g_free(told);
}

told_t *
told_new(void)
{
	told_t *told;

	told = g_new0(told_t, 1);
	told->work = g_array_new(FALSE, TRUE, sizeof(dff_policy_use_t));
	told->use = g_array_new(FALSE, TRUE, sizeof(dff_owner_use_t));
	return told;
}

peers_t *
peers_new(void)
{
	peers_t *peers;

	peers = g_new0(peers_t, 1);
	peers->near =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, told_free);
	peers->far =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, told_free);
	peers->loaded =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, told_free);
	return peers;
}

void
peers_drop(peers_t *peers)
{
	if (peers == NULL)
		return;
	g_hash_table_unref(peers->near);
	g_hash_table_unref(peers->far);
	g_hash_table_unref(peers->loaded);
	g_free(peers);
}

told_t *
told_of(GHashTable *table, const char *name, dff_time_t now)
{
	told_t *told;

	told = g_hash_table_lookup(table, name);
	if (told == NULL) {
		told = told_new();
		g_hash_table_insert(table, g_strdup(name), told);
	}
	told->at = now;
	return told;
}

/* What this node itself has to tell. */
/* Most load first, so that a cut loses little. */
static gint
compare_use(gconstpointer a, gconstpointer b)
{
	const dff_owner_use_t *x = a;
	const dff_owner_use_t *y = b;
	int order;

	if (x->running + x->waiting != y->running + y->waiting)
		return x->running + x->waiting > y->running + y->waiting ? -1 :
									   1;
	order = strcmp(x->owner, y->owner);
	return order != 0 ? order : strcmp(x->entry, y->entry);
}

static gint
compare_work(gconstpointer a, gconstpointer b)
{
	const dff_policy_use_t *x = a;
	const dff_policy_use_t *y = b;
	uint64_t load_x = x->prefill_tokens + x->decode_tokens;
	uint64_t load_y = y->prefill_tokens + y->decode_tokens;

	if (load_x != load_y)
		return load_x > load_y ? -1 : 1;
	return strcmp(x->vm, y->vm);
}

static void
order_rows(told_t *told)
{
	g_array_sort(told->use, compare_use);
	g_array_sort(told->work, compare_work);
}

/* Owners without use now need no row. */
static void
drop_idle(GArray *use)
{
	for (guint i = use->len; i > 0; i--) {
		const dff_owner_use_t *row =
		    &g_array_index(use, dff_owner_use_t, i - 1);

		if (row->running + row->waiting == 0 && row->rate < RATE_IDLE)
			g_array_remove_index_fast(use, i - 1);
	}
}

told_t *
told_self(const dff_node_t *node)
{
	told_t *told;
	size_t count;

	told = told_new();
	told->live = 1;
	count = dff_policy_work(node->policy, NULL, 0);
	g_array_set_size(told->work, (guint)count);
	(void)dff_policy_work(
	    node->policy, (dff_policy_use_t *)(void *)told->work->data, count);
	count = dff_policy_owners(node->policy, NULL, 0);
	g_array_set_size(told->use, (guint)count);
	(void)dff_policy_owners(
	    node->policy, (dff_owner_use_t *)(void *)told->use->data, count);
	drop_idle(told->use);
	order_rows(told);
	for (int i = 0; i < DFF_STREAM_COUNT; i++)
		told->offsets[i] = stream_applied(node, (dff_stream_t)i);
	return told;
}

/* Sums under way: indexes plus one by the name of a row. */
typedef struct adder {
	told_t *sum;
	GHashTable *work_at;
	GHashTable *use_at;
} adder_t;

static void
add_work(adder_t *adder, const dff_policy_use_t *row)
{
	GArray *work = adder->sum->work;
	dff_policy_use_t *have;
	guint at;

	at = GPOINTER_TO_UINT(g_hash_table_lookup(adder->work_at, row->vm));
	if (at == 0) {
		g_array_append_vals(work, row, 1);
		g_hash_table_insert(adder->work_at, g_strdup(row->vm),
		    GUINT_TO_POINTER(work->len));
		return;
	}
	have = &g_array_index(work, dff_policy_use_t, at - 1);
	have->running += row->running;
	have->prefill_tokens += row->prefill_tokens;
	have->decode_tokens += row->decode_tokens;
}

static void
add_use(adder_t *adder, const dff_owner_use_t *row)
{
	GArray *use = adder->sum->use;
	dff_owner_use_t *have;
	char *name;
	guint at;

	name = g_strconcat(row->owner, "/", row->entry, NULL);
	at = GPOINTER_TO_UINT(g_hash_table_lookup(adder->use_at, name));
	if (at == 0) {
		g_array_append_vals(use, row, 1);
		g_hash_table_insert(
		    adder->use_at, name, GUINT_TO_POINTER(use->len));
		return;
	}
	g_free(name);
	have = &g_array_index(use, dff_owner_use_t, at - 1);
	have->running += row->running;
	have->waiting += row->waiting;
	have->rate += row->rate;
}

static void
add_told(adder_t *adder, const told_t *part)
{
	told_t *sum = adder->sum;

	sum->live += part->live;
	for (guint i = 0; i < part->work->len; i++)
		add_work(
		    adder, &g_array_index(part->work, dff_policy_use_t, i));
	for (guint i = 0; i < part->use->len; i++)
		add_use(adder, &g_array_index(part->use, dff_owner_use_t, i));
	for (int i = 0; i < DFF_STREAM_COUNT; i++)
		sum->offsets[i] = MAX(sum->offsets[i], part->offsets[i]);
}

told_t *
told_sum(GHashTable *table, dff_time_t since, const told_t *more)
{
	adder_t adder;
	GHashTableIter iter;
	void *value;

	adder.sum = told_new();
	adder.work_at =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	adder.use_at =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (more != NULL)
		add_told(&adder, more);
	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const told_t *part = value;

		if (part->at >= since)
			add_told(&adder, part);
	}
	g_hash_table_unref(adder.work_at);
	g_hash_table_unref(adder.use_at);
	order_rows(adder.sum);
	return adder.sum;
}

static const char *
owner_name(const dff_node_t *node, const dff_entry_t *entry)
{
	uint32_t count;

	return dff_catalogue_owners(node_catalogue(node), &count)[entry->owner]
	    .name;
}

void
told_set_rows(const dff_node_t *node, told_t *told, size_t n_work,
    Dff__EngineWork **work, size_t n_use, Dff__OwnerUse **use)
{
	g_array_set_size(told->work, 0);
	g_array_set_size(told->use, 0);
	for (size_t i = 0; i < MIN(n_work, BEAT_ROWS_MAX); i++) {
		const dff_vm_t *vm = names_vm(node, work[i]->vm);
		dff_policy_use_t row = {.running = work[i]->running,
		    .prefill_tokens = work[i]->prefill_tokens,
		    .decode_tokens = work[i]->decode_tokens};

		if (vm == NULL)
			continue;
		(void)dff_name_copy(row.vm, vm->id);
		g_array_append_val(told->work, row);
	}
	for (size_t i = 0; i < MIN(n_use, BEAT_ROWS_MAX); i++) {
		const dff_entry_t *entry = names_entry(node, use[i]->entry);
		dff_owner_use_t row = {.running = use[i]->running,
		    .waiting = use[i]->waiting,
		    .rate = use[i]->rate};

		if (entry == NULL)
			continue;
		(void)dff_name_copy(row.entry, entry->name);
		(void)dff_name_copy(row.owner, owner_name(node, entry));
		g_array_append_val(told->use, row);
	}
}

void
told_set_offsets(uint64_t *to, size_t count, Dff__StreamOffset **offsets)
{
	for (size_t i = 0; i < count; i++) {
		if (offsets[i]->stream < DFF_STREAM_COUNT)
			to[offsets[i]->stream] = offsets[i]->applied;
	}
}

void
told_pack(packed_rows_t *rows, const told_t *told)
{
	const GArray *work = told->work;
	const GArray *use = told->use;

	rows->work_count = MIN(work->len, BEAT_ROWS_MAX);
	for (size_t i = 0; i < rows->work_count; i++) {
		dff_policy_use_t *from =
		    &g_array_index(work, dff_policy_use_t, i);
		Dff__EngineWork *to = &rows->work[i];

		dff__engine_work__init(to);
		to->vm = names_hash(from->vm);
		to->running = from->running;
		to->prefill_tokens = from->prefill_tokens;
		to->decode_tokens = from->decode_tokens;
		rows->work_at[i] = to;
	}
	rows->use_count = MIN(use->len, BEAT_ROWS_MAX);
	for (size_t i = 0; i < rows->use_count; i++) {
		dff_owner_use_t *from = &g_array_index(use, dff_owner_use_t, i);
		Dff__OwnerUse *to = &rows->use[i];

		dff__owner_use__init(to);
		to->entry = names_hash(from->entry);
		to->running = from->running;
		to->waiting = from->waiting;
		to->rate = (float)from->rate;
		rows->use_at[i] = to;
	}
	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		dff__stream_offset__init(&rows->offset[i]);
		rows->offset[i].stream = (uint32_t)i;
		rows->offset[i].applied = told->offsets[i];
		rows->offset_at[i] = &rows->offset[i];
	}
}

/* What a peer told before no longer counts. */
static void
unload(dff_ctx_t *ctx, dff_node_t *node, const char *peer, const told_t *old,
    dff_time_t now)
{
	for (guint i = 0; i < old->work->len; i++)
		dff_policy_set_peer_work(ctx, node->policy, peer,
		    g_array_index(old->work, dff_policy_use_t, i).vm, 0, 0, 0,
		    now);
	for (guint i = 0; i < old->use->len; i++) {
		const dff_owner_use_t *row =
		    &g_array_index(old->use, dff_owner_use_t, i);

		dff_policy_set_peer_use(ctx, node->policy, peer, row->owner,
		    row->entry, 0, 0, 0, now);
	}
}

static void
load(dff_ctx_t *ctx, dff_node_t *node, const char *peer, const told_t *told,
    dff_time_t now)
{
	for (guint i = 0; i < told->work->len; i++) {
		const dff_policy_use_t *row =
		    &g_array_index(told->work, dff_policy_use_t, i);

		dff_policy_set_peer_work(ctx, node->policy, peer, row->vm,
		    row->running, row->prefill_tokens, row->decode_tokens, now);
	}
	for (guint i = 0; i < told->use->len; i++) {
		const dff_owner_use_t *row =
		    &g_array_index(told->use, dff_owner_use_t, i);

		dff_policy_set_peer_use(ctx, node->policy, peer, row->owner,
		    row->entry, row->running, row->waiting, row->rate, now);
	}
}

void
told_load(dff_ctx_t *ctx, dff_node_t *node, const char *peer,
    const told_t *told, dff_time_t now)
{
	told_t *old;

	/* Row by row: to drop the peer would walk the whole fleet. */
	old = g_hash_table_lookup(node->peers->loaded, peer);
	if (old != NULL)
		unload(ctx, node, peer, old, now);
	load(ctx, node, peer, told, now);
	old = told_new();
	g_array_append_vals(old->work, told->work->data, told->work->len);
	g_array_append_vals(old->use, told->use->data, told->use->len);
	g_hash_table_insert(node->peers->loaded, g_strdup(peer), old);
}

void
told_drop(dff_ctx_t *ctx, dff_node_t *node, const char *peer)
{
	g_hash_table_remove(node->peers->near, peer);
	g_hash_table_remove(node->peers->loaded, peer);
	dff_policy_drop_peer(ctx, node->policy, peer);
}
