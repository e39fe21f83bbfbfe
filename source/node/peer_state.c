/*
 * State received from peers: its sums, its encoding and its use by the policy.
 */
#include "peers.h"

#include <string.h>

/* Rate in calls a second below which an owner counts as idle. */
#define RATE_IDLE 0.05

void
peer_state_free(void *arg)
{
	peer_state_t *state = arg;

	g_array_unref(state->work);
	g_array_unref(state->use);
	g_free(state);
}

peer_state_t *
peer_state_new(void)
{
	peer_state_t *state;

	state = g_new0(peer_state_t, 1);
	state->work = g_array_new(FALSE, TRUE, sizeof(dff_upstream_load_t));
	state->use = g_array_new(FALSE, TRUE, sizeof(dff_owner_use_t));
	return state;
}

peers_t *
peers_new(void)
{
	peers_t *peers;

	peers = g_new0(peers_t, 1);
	peers->same_domain = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, peer_state_free);
	peers->other_domains = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, peer_state_free);
	peers->in_policy = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, peer_state_free);
	return peers;
}

void
peers_drop(peers_t *peers)
{
	if (peers == NULL)
		return;
	g_hash_table_unref(peers->same_domain);
	g_hash_table_unref(peers->other_domains);
	g_hash_table_unref(peers->in_policy);
	g_free(peers);
}

peer_state_t *
peer_state_refresh(GHashTable *table, const char *name, dff_time_t now)
{
	peer_state_t *state;

	state = g_hash_table_lookup(table, name);
	if (state == NULL) {
		state = peer_state_new();
		g_hash_table_insert(table, g_strdup(name), state);
	}
	state->at = now;
	return state;
}

/* Sorts by load, highest first: frames are cut off at a number of rows. */
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
	const dff_upstream_load_t *x = a;
	const dff_upstream_load_t *y = b;
	uint64_t load_x = x->prefill_tokens + x->decode_tokens;
	uint64_t load_y = y->prefill_tokens + y->decode_tokens;

	if (load_x != load_y)
		return load_x > load_y ? -1 : 1;
	return strcmp(x->vm, y->vm);
}

static void
sort_rows(peer_state_t *state)
{
	g_array_sort(state->use, compare_use);
	g_array_sort(state->work, compare_work);
}

/* Removes rows of owners without calls and with a negligible rate. */
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

peer_state_t *
peer_state_of_node(const dff_node_t *node)
{
	peer_state_t *state;
	size_t count;

	state = peer_state_new();
	state->live = 1;
	count = dff_policy_list_loads(node->policy, NULL, 0);
	g_array_set_size(state->work, (guint)count);
	(void)dff_policy_list_loads(node->policy,
	    (dff_upstream_load_t *)(void *)state->work->data, count);
	count = dff_policy_list_owner_uses(node->policy, NULL, 0);
	g_array_set_size(state->use, (guint)count);
	(void)dff_policy_list_owner_uses(
	    node->policy, (dff_owner_use_t *)(void *)state->use->data, count);
	drop_idle(state->use);
	sort_rows(state);
	for (int i = 0; i < DFF_STREAM_COUNT; i++)
		state->offsets[i] = stream_applied(node, (dff_stream_t)i);
	return state;
}

/* A sum in progress; the tables map the name of a row to its index plus one. */
typedef struct sums {
	peer_state_t *sum;
	GHashTable *work_at;
	GHashTable *use_at;
} sums_t;

static void
add_work(sums_t *sums, const dff_upstream_load_t *row)
{
	GArray *work = sums->sum->work;
	dff_upstream_load_t *total;
	guint at;

	at = GPOINTER_TO_UINT(g_hash_table_lookup(sums->work_at, row->vm));
	if (at == 0) {
		g_array_append_vals(work, row, 1);
		g_hash_table_insert(sums->work_at, g_strdup(row->vm),
		    GUINT_TO_POINTER(work->len));
		return;
	}
	total = &g_array_index(work, dff_upstream_load_t, at - 1);
	total->running += row->running;
	total->prefill_tokens += row->prefill_tokens;
	total->decode_tokens += row->decode_tokens;
}

static void
add_use(sums_t *sums, const dff_owner_use_t *row)
{
	GArray *use = sums->sum->use;
	dff_owner_use_t *total;
	char *name;
	guint at;

	name = g_strconcat(row->owner, "/", row->entry, NULL);
	at = GPOINTER_TO_UINT(g_hash_table_lookup(sums->use_at, name));
	if (at == 0) {
		g_array_append_vals(use, row, 1);
		g_hash_table_insert(
		    sums->use_at, name, GUINT_TO_POINTER(use->len));
		return;
	}
	g_free(name);
	total = &g_array_index(use, dff_owner_use_t, at - 1);
	total->running += row->running;
	total->waiting += row->waiting;
	total->rate += row->rate;
}

static void
add_state(sums_t *sums, const peer_state_t *part)
{
	peer_state_t *sum = sums->sum;

	sum->live += part->live;
	for (guint i = 0; i < part->work->len; i++)
		add_work(
		    sums, &g_array_index(part->work, dff_upstream_load_t, i));
	for (guint i = 0; i < part->use->len; i++)
		add_use(sums, &g_array_index(part->use, dff_owner_use_t, i));
	for (int i = 0; i < DFF_STREAM_COUNT; i++)
		sum->offsets[i] = MAX(sum->offsets[i], part->offsets[i]);
}

peer_state_t *
peer_state_sum(GHashTable *table, dff_time_t since, const peer_state_t *more)
{
	sums_t sums;
	GHashTableIter iter;
	void *value;

	sums.sum = peer_state_new();
	sums.work_at =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	sums.use_at =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (more != NULL)
		add_state(&sums, more);
	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_state_t *part = value;

		if (part->at >= since)
			add_state(&sums, part);
	}
	g_hash_table_unref(sums.work_at);
	g_hash_table_unref(sums.use_at);
	sort_rows(sums.sum);
	return sums.sum;
}

static const char *
owner_name(const dff_node_t *node, const dff_entry_t *entry)
{
	uint32_t count;

	return dff_catalogue_owners(node_catalogue(node), &count)[entry->owner]
	    .name;
}

void
peer_state_set_rows(const dff_node_t *node, peer_state_t *state, size_t n_work,
    Dff__EngineWork **work, size_t n_use, Dff__OwnerUse **use)
{
	g_array_set_size(state->work, 0);
	g_array_set_size(state->use, 0);
	for (size_t i = 0; i < MIN(n_work, FRAME_ROWS_MAX); i++) {
		const dff_vm_t *vm = names_vm_by_hash(node, work[i]->vm);
		dff_upstream_load_t row = {.running = work[i]->running,
		    .prefill_tokens = work[i]->prefill_tokens,
		    .decode_tokens = work[i]->decode_tokens};

		if (vm == NULL)
			continue;
		(void)dff_name_copy(row.vm, vm->id);
		g_array_append_val(state->work, row);
	}
	for (size_t i = 0; i < MIN(n_use, FRAME_ROWS_MAX); i++) {
		const dff_entry_t *entry =
		    names_entry_by_hash(node, use[i]->entry);
		dff_owner_use_t row = {.running = use[i]->running,
		    .waiting = use[i]->waiting,
		    .rate = use[i]->rate};

		if (entry == NULL)
			continue;
		(void)dff_name_copy(row.entry, entry->name);
		(void)dff_name_copy(row.owner, owner_name(node, entry));
		g_array_append_val(state->use, row);
	}
}

void
peer_state_set_offsets(
    uint64_t *applied, size_t count, Dff__StreamOffset **offsets)
{
	for (size_t i = 0; i < count; i++) {
		if (offsets[i]->stream < DFF_STREAM_COUNT)
			applied[offsets[i]->stream] = offsets[i]->applied;
	}
}

void
peer_state_pack(packed_rows_t *rows, const peer_state_t *state)
{
	const GArray *work = state->work;
	const GArray *use = state->use;

	rows->work_count = MIN(work->len, FRAME_ROWS_MAX);
	for (size_t i = 0; i < rows->work_count; i++) {
		dff_upstream_load_t *row =
		    &g_array_index(work, dff_upstream_load_t, i);
		Dff__EngineWork *message = &rows->work[i];

		dff__engine_work__init(message);
		message->vm = names_hash(row->vm);
		message->running = row->running;
		message->prefill_tokens = row->prefill_tokens;
		message->decode_tokens = row->decode_tokens;
		rows->work_at[i] = message;
	}
	rows->use_count = MIN(use->len, FRAME_ROWS_MAX);
	for (size_t i = 0; i < rows->use_count; i++) {
		dff_owner_use_t *row = &g_array_index(use, dff_owner_use_t, i);
		Dff__OwnerUse *message = &rows->use[i];

		dff__owner_use__init(message);
		message->entry = names_hash(row->entry);
		message->running = row->running;
		message->waiting = row->waiting;
		message->rate = (float)row->rate;
		rows->use_at[i] = message;
	}
	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		dff__stream_offset__init(&rows->offset[i]);
		rows->offset[i].stream = (uint32_t)i;
		rows->offset[i].applied = state->offsets[i];
		rows->offset_at[i] = &rows->offset[i];
	}
}

/* Sets the rows that the policy holds for a peer to zero. */
static void
remove_from_policy(dff_ctx_t *ctx, dff_node_t *node, const char *peer,
    const peer_state_t *old, dff_time_t now)
{
	for (guint i = 0; i < old->work->len; i++)
		dff_policy_set_peer_load(ctx, node->policy, peer,
		    g_array_index(old->work, dff_upstream_load_t, i).vm, 0, 0,
		    0, now);
	for (guint i = 0; i < old->use->len; i++) {
		const dff_owner_use_t *row =
		    &g_array_index(old->use, dff_owner_use_t, i);

		dff_policy_set_peer_use(ctx, node->policy, peer, row->owner,
		    row->entry, 0, 0, 0, now);
	}
}

static void
add_to_policy(dff_ctx_t *ctx, dff_node_t *node, const char *peer,
    const peer_state_t *state, dff_time_t now)
{
	for (guint i = 0; i < state->work->len; i++) {
		const dff_upstream_load_t *row =
		    &g_array_index(state->work, dff_upstream_load_t, i);

		dff_policy_set_peer_load(ctx, node->policy, peer, row->vm,
		    row->running, row->prefill_tokens, row->decode_tokens, now);
	}
	for (guint i = 0; i < state->use->len; i++) {
		const dff_owner_use_t *row =
		    &g_array_index(state->use, dff_owner_use_t, i);

		dff_policy_set_peer_use(ctx, node->policy, peer, row->owner,
		    row->entry, row->running, row->waiting, row->rate, now);
	}
}

void
peer_state_load_policy(dff_ctx_t *ctx, dff_node_t *node, const char *peer,
    const peer_state_t *state, dff_time_t now)
{
	peer_state_t *old;

	/* Row by row, as dff_policy_drop_peer() walks the whole fleet. */
	old = g_hash_table_lookup(node->peers->in_policy, peer);
	if (old != NULL)
		remove_from_policy(ctx, node, peer, old, now);
	add_to_policy(ctx, node, peer, state, now);
	old = peer_state_new();
	g_array_append_vals(old->work, state->work->data, state->work->len);
	g_array_append_vals(old->use, state->use->data, state->use->len);
	g_hash_table_insert(node->peers->in_policy, g_strdup(peer), old);
}

void
peer_state_forget(dff_ctx_t *ctx, dff_node_t *node, const char *peer)
{
	g_hash_table_remove(node->peers->same_domain, peer);
	g_hash_table_remove(node->peers->in_policy, peer);
	dff_policy_drop_peer(ctx, node->policy, peer);
}
