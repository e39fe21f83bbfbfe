/* Snapshots of the authority stream. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "authority/state.h"

/* ---- encode ---- */

static Dff__Lease *
encode_lease(const lease_t *lease)
{
	Dff__Lease *out = g_new(Dff__Lease, 1);

	dff__lease__init(out);
	out->shard = g_strdup(lease->shard);
	out->holder = g_strdup(lease->holder);
	out->incarnation = lease->incarnation;
	out->term_ms = (uint64_t)(lease->term / DFF_MSEC);
	out->fence = lease->fence;
	out->after = lease->last_offset;
	out->released = lease->released;
	return out;
}

static Dff__DrainMark *
encode_mark(const drain_mark_t *mark)
{
	Dff__DrainMark *out = g_new(Dff__DrainMark, 1);

	dff__drain_mark__init(out);
	out->shard = g_strdup(mark->shard);
	out->vm = g_strdup(mark->vm);
	out->on = true;
	out->mark = mark->offset;
	out->weights = mark->loads_weights;
	return out;
}

static Dff__Lease *
encode_sender(const sender_t *sender)
{
	Dff__Lease *out = g_new(Dff__Lease, 1);

	dff__lease__init(out);
	out->holder = g_strdup(sender->node);
	out->incarnation = sender->incarnation;
	out->fence = sender->fence;
	return out;
}

static Dff__IntentHeld *
encode_intent(const intent_t *intent)
{
	Dff__IntentHeld *out = g_new(Dff__IntentHeld, 1);
	Dff__OrderIntent *order = g_new(Dff__OrderIntent, 1);
	guint count = intent->senders->len;

	dff__order_intent__init(order);
	order->shard = g_strdup(intent->shard);
	order->fence = intent->writer.fence;
	order->vm = g_strdup(intent->vm);
	order->vm_incarnation = intent->vm_incarnation;
	order->kind = intent->kind;
	order->target = g_strdup(intent->target);
	dff__intent_held__init(out);
	out->order = intent->order;
	out->intent = order;
	out->open = intent->open;
	out->sequence = intent->sequence;
	out->writer = encode_sender(&intent->writer);
	out->n_senders = count;
	out->senders = g_new(Dff__Lease *, count + 1);
	for (guint i = 0; i < count; i++)
		out->senders[i] =
		    encode_sender(&g_array_index(intent->senders, sender_t, i));
	return out;
}

static uint64_t
hash_snapshot(Dff__AuthoritySnapshot *snapshot)
{
	uint64_t hash;
	uint8_t *data;
	size_t len;

	snapshot->hash = 0;
	len = dff__authority_snapshot__get_packed_size(snapshot);
	data = g_malloc(len + 1);
	(void)dff__authority_snapshot__pack(snapshot, data);
	hash = dff_hash(data, len, 0);
	g_free(data);
	return hash;
}

static Dff__AuthoritySnapshot *
encode_state(const authority_state_t *state)
{
	Dff__AuthoritySnapshot *out = g_new(Dff__AuthoritySnapshot, 1);

	dff__authority_snapshot__init(out);
	out->through = state->applied;
	out->leases =
	    g_new(Dff__Lease *, (gsize)g_tree_nnodes(state->leases) + 1);
	for (GTreeNode *node = g_tree_node_first(state->leases); node != NULL;
	     node = g_tree_node_next(node))
		out->leases[out->n_leases++] =
		    encode_lease(g_tree_node_value(node));
	out->drains =
	    g_new(Dff__DrainMark *, (gsize)g_tree_nnodes(state->marks) + 1);
	for (GTreeNode *node = g_tree_node_first(state->marks); node != NULL;
	     node = g_tree_node_next(node))
		out->drains[out->n_drains++] =
		    encode_mark(g_tree_node_value(node));
	out->intents = g_new(Dff__IntentHeld *, state->intents->len + 1);
	for (guint i = 0; i < state->intents->len; i++)
		out->intents[out->n_intents++] =
		    encode_intent(g_ptr_array_index(state->intents, i));
	out->hash = hash_snapshot(out);
	return out;
}

size_t
authority_state_save(const authority_state_t *state, const char *writer,
    uint64_t incarnation, uint8_t **data)
{
	Dff__Record record = DFF__RECORD__INIT;
	size_t len;

	record.version = AUTHORITY_RECORD_VERSION;
	record.writer = (char *)writer;
	record.incarnation = incarnation;
	record.body_case = DFF__RECORD__BODY_AUTHORITY_SNAPSHOT;
	record.authority_snapshot = encode_state(state);
	len = dff__record__get_packed_size(&record);
	*data = malloc(len + 1);
	if (*data == NULL)
		abort();
	(void)dff__record__pack(&record, *data);
	/* All of it was allocated by malloc(), as in an unpacked message. */
	dff__authority_snapshot__free_unpacked(record.authority_snapshot, NULL);
	return len;
}

/* ---- decode ---- */

static bool
load_sender(const Dff__Lease *in, sender_t *sender)
{
	if (in == NULL || dff_name_copy(sender->node, in->holder) != 0)
		return false;
	sender->incarnation = in->incarnation;
	sender->fence = in->fence;
	return true;
}

static bool
load_lease(authority_state_t *state, const Dff__Lease *in, dff_time_t now)
{
	lease_t *lease = g_new0(lease_t, 1);

	if (strlen(in->shard) >= SHARD_NAME_MAX ||
	    dff_name_copy(lease->holder, in->holder) != 0 ||
	    in->term_ms > INT32_MAX) {
		g_free(lease);
		return false;
	}
	g_strlcpy(lease->shard, in->shard, sizeof(lease->shard));
	lease->incarnation = in->incarnation;
	lease->fence = in->fence;
	lease->last_offset = in->after;
	lease->term = (dff_time_t)in->term_ms * DFF_MSEC;
	lease->released = in->released;
	lease->read_at = now;
	g_tree_insert(state->leases, lease->shard, lease);
	return true;
}

static bool
load_mark(authority_state_t *state, const Dff__DrainMark *in)
{
	drain_mark_t *mark = g_new0(drain_mark_t, 1);

	if (strlen(in->shard) >= SHARD_NAME_MAX ||
	    dff_name_copy(mark->vm, in->vm) != 0) {
		g_free(mark);
		return false;
	}
	g_strlcpy(mark->shard, in->shard, sizeof(mark->shard));
	mark->offset = in->mark;
	mark->loads_weights = in->weights;
	g_tree_insert(state->marks, mark->vm, mark);
	return true;
}

static bool
fill_intent(intent_t *intent, const Dff__IntentHeld *in)
{
	const Dff__OrderIntent *order = in->intent;
	sender_t sender;

	if (order == NULL || strlen(order->shard) >= SHARD_NAME_MAX ||
	    order->kind > DFF_ORDER_VERSION ||
	    dff_name_copy(intent->vm, order->vm) != 0 ||
	    dff_name_copy(intent->target, order->target) != 0 ||
	    !load_sender(in->writer, &intent->writer))
		return false;
	g_strlcpy(intent->shard, order->shard, sizeof(intent->shard));
	intent->order = in->order;
	intent->vm_incarnation = order->vm_incarnation;
	intent->kind = (dff_order_kind_t)order->kind;
	intent->sequence = in->sequence;
	intent->open = in->open;
	for (size_t i = 0; i < in->n_senders; i++) {
		if (!load_sender(in->senders[i], &sender))
			return false;
		g_array_append_val(intent->senders, sender);
	}
	return true;
}

static bool
load_intent(authority_state_t *state, const Dff__IntentHeld *in)
{
	intent_t *intent = g_new0(intent_t, 1);

	intent->senders = g_array_new(FALSE, FALSE, sizeof(sender_t));
	g_ptr_array_add(state->intents, intent);
	return fill_intent(intent, in);
}

static int
decode_state(
    authority_state_t *state, Dff__AuthoritySnapshot *in, dff_time_t now)
{
	uint64_t hash = in->hash;

	if (hash_snapshot(in) != hash)
		return -EINVAL;
	state->applied = in->through;
	for (size_t i = 0; i < in->n_leases; i++) {
		if (!load_lease(state, in->leases[i], now))
			return -EINVAL;
	}
	for (size_t i = 0; i < in->n_drains; i++) {
		if (!load_mark(state, in->drains[i]))
			return -EINVAL;
	}
	for (size_t i = 0; i < in->n_intents; i++) {
		if (!load_intent(state, in->intents[i]))
			return -EINVAL;
	}
	return 0;
}

int
authority_state_load(authority_state_t *state, const uint8_t *data, size_t len,
    uint64_t first, dff_time_t now)
{
	authority_state_t loaded;
	Dff__Record *record;
	int err = -EINVAL;

	record = dff__record__unpack(NULL, len, data);
	if (record == NULL)
		return -EINVAL;
	if (record->version != AUTHORITY_RECORD_VERSION ||
	    record->body_case != DFF__RECORD__BODY_AUTHORITY_SNAPSHOT)
		goto out;
	err = -EALREADY;
	if (record->authority_snapshot->through <= state->applied)
		goto out;
	err = -ERANGE;
	if (record->authority_snapshot->through + 1 < first)
		goto out;
	authority_state_init(&loaded);
	err = decode_state(&loaded, record->authority_snapshot, now);
	if (err != 0) {
		authority_state_clear(&loaded);
		goto out;
	}
	authority_state_clear(state);
	*state = loaded;
out:
	dff__record__free_unpacked(record, NULL);
	return err;
}
