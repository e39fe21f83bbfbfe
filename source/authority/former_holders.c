/*
 * Former holders of leases. An engine that ignores the fencing number would
 * carry out an order that a paused process sends late. So after a change of
 * holder, the engine gets no other order until no former sender of its last
 * order can send it any more: the sender has acknowledged the loss of its
 * lease, a later process has replaced it, or its VM is gone, and the bytes
 * that it sent have timed out.
 */
#include <string.h>

#include "authority/internal.h"

bool
order_in_flight(const dff_authority_t *auth, uint64_t order, dff_time_t now)
{
	const sent_order_t *sent_order =
	    g_hash_table_lookup(auth->sent_orders, &order);

	return sent_order != NULL &&
	    (!sent_order->answered || now < sent_order->in_flight_until);
}

/* ---- VMs of other nodes ---- */

static presence_t *
get_presence(dff_authority_t *auth, const char *node)
{
	presence_t *presence = g_hash_table_lookup(auth->presence, node);

	if (presence != NULL)
		return presence;
	presence = g_new0(presence_t, 1);
	presence->absent_since = DFF_TIME_NEVER;
	g_hash_table_insert(auth->presence, g_strdup(node), presence);
	return presence;
}

void
former_holders_note_claim(
    dff_authority_t *auth, const char *node, dff_time_t now)
{
	get_presence(auth, node)->last_claim_at = now;
}

/* Tracks the presence of the nodes from which orders may still arrive. */
static void
track_senders(dff_authority_t *auth)
{
	for (guint i = 0; i < auth->state.intents->len; i++) {
		const intent_t *intent =
		    g_ptr_array_index(auth->state.intents, i);

		for (guint k = 0; k < intent->senders->len; k++)
			(void)get_presence(auth,
			    g_array_index(intent->senders, sender_t, k).node);
	}
}

void
former_holders_load_vms(dff_authority_t *auth, dff_time_t now)
{
	GHashTableIter iter;
	gpointer key, value;

	track_senders(auth);
	g_hash_table_iter_init(&iter, auth->presence);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		presence_t *presence = value;
		char id[DFF_NAME_MAX];

		vm_id_of_node(key, id);
		if (find_vm(auth, id) != NULL)
			presence->absent_since = DFF_TIME_NEVER;
		else if (presence->absent_since == DFF_TIME_NEVER)
			presence->absent_since = now;
	}
}

/*
 * The VM list lags, so a new VM may not be in it yet. A VM counts as gone
 * only if the lists lack it for longer than the lag, counted from the node's
 * last claim if that is later than the first list without the VM.
 */
static bool
vm_is_gone(dff_authority_t *auth, const char *node, dff_time_t now)
{
	const presence_t *presence = get_presence(auth, node);
	dff_time_t from;

	if (presence->absent_since == DFF_TIME_NEVER)
		return false;
	from = MAX(presence->absent_since, presence->last_claim_at) +
	    VM_LIST_MAX_LAG;
	return auth->vms_loaded_at >= from &&
	    now >= from + auth->config.tcp_timeout;
}

/* ---- acknowledgements ---- */

static void
acknowledge(dff_ctx_t *ctx, dff_authority_t *auth, const intent_t *intent,
    const sender_t *sender, const char *why, dff_time_t now, dff_effects_t *fx)
{
	Dff__Lease body = DFF__LEASE__INIT;

	body.shard = (char *)intent->shard;
	body.holder = (char *)sender->node;
	body.incarnation = sender->incarnation;
	body.fence = sender->fence;
	(void)append_lease(auth, APPEND_ACK, &body, now, fx);
	auth->next_ack_at = now + append_retry_delay(auth);
	dff_log(ctx, DFF_LOG_NOTICE, "lease",
	    "former holder can send no more orders. shard=%s node=%s "
	    "fence=%" G_GUINT64_FORMAT " why=%s",
	    intent->shard, sender->node, sender->fence, why);
}

/* Why a former sender can no longer send the order; NULL if it still may. */
static const char *
ack_reason(dff_authority_t *auth, const intent_t *intent,
    const sender_t *sender, dff_time_t now)
{
	const lease_t *lease =
	    authority_state_lease(&auth->state, intent->shard);

	if (lease_is_held_by(lease, sender->node, sender->incarnation) &&
	    lease->fence == sender->fence)
		return NULL;
	if (strcmp(sender->node, auth->config.node) == 0) {
		if (sender->incarnation < auth->config.incarnation)
			return now >=
				auth->started_at + auth->config.tcp_timeout ?
			    "later_process" :
			    NULL;
		if (sender->incarnation > auth->config.incarnation)
			return NULL;
		if (order_in_flight(auth, intent->order, now) &&
		    !DFF_FAULT(ACK_EARLY))
			return NULL;
		return "lease_lost";
	}
	if (lease_is_held_by(
		lease, auth->config.node, auth->config.incarnation) &&
	    vm_is_gone(auth, sender->node, now))
		return "vm_gone";
	return NULL;
}

void
former_holders_step(
    dff_ctx_t *ctx, dff_authority_t *auth, dff_time_t now, dff_effects_t *fx)
{
	if (now < auth->next_ack_at)
		return;
	for (guint i = 0; i < auth->state.intents->len; i++) {
		const intent_t *intent =
		    g_ptr_array_index(auth->state.intents, i);

		for (guint k = 0; k < intent->senders->len; k++) {
			const sender_t *sender =
			    &g_array_index(intent->senders, sender_t, k);
			const char *why = ack_reason(auth, intent, sender, now);

			if (why != NULL)
				acknowledge(
				    ctx, auth, intent, sender, why, now, fx);
		}
	}
}
