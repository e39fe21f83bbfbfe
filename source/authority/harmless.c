/*
 * Former holders. An engine that ignores the fencing number would carry out
 * an order that a paused process sends late, so after a change of holder it
 * gets no other order until each former sender of its last one is known to
 * be harmless: it acknowledged the loss of its lease, a later process runs
 * in its place, or its VM is gone, and sent bytes have timed out.
 */
#include <string.h>

#include "authority/parts.h"

bool
flight_under_way(const dff_authority_t *auth, uint64_t order, dff_time_t now)
{
	const flight_t *flight = g_hash_table_lookup(auth->flights, &order);

	return flight != NULL && (!flight->answered || now < flight->clear_at);
}

/* ---- VMs of other nodes ---- */

static presence_t *
presence_of(dff_authority_t *auth, const char *node)
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
harmless_note_claim(dff_authority_t *auth, const char *node, dff_time_t now)
{
	presence_of(auth, node)->wrote_at = now;
}

/* Nodes that orders may still come from. */
static void
note_senders(dff_authority_t *auth)
{
	for (guint i = 0; i < auth->state.intents->len; i++) {
		const intent_t *intent =
		    g_ptr_array_index(auth->state.intents, i);

		for (guint k = 0; k < intent->senders->len; k++)
			(void)presence_of(auth,
			    g_array_index(intent->senders, sender_t, k).node);
	}
}

void
harmless_load_vms(dff_authority_t *auth, dff_time_t now)
{
	GHashTableIter iter;
	gpointer key, value;

	note_senders(auth);
	g_hash_table_iter_init(&iter, auth->presence);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		presence_t *presence = value;
		char id[DFF_NAME_MAX];

		vm_of_node(key, id);
		if (find_vm(auth, id) != NULL)
			presence->absent_since = DFF_TIME_NEVER;
		else if (presence->absent_since == DFF_TIME_NEVER)
			presence->absent_since = now;
	}
}

/*
 * The VM list lags: a young VM may not be in it yet. So it counts only if
 * lists went on to come without the VM for longer than that, after the last
 * word that was heard of the node.
 */
static bool
is_gone(dff_authority_t *auth, const char *node, dff_time_t now)
{
	const presence_t *presence = presence_of(auth, node);
	dff_time_t from;

	if (presence->absent_since == DFF_TIME_NEVER)
		return false;
	from = MAX(presence->absent_since, presence->wrote_at) + VM_LIST_LAG;
	return auth->vms_at >= from && now >= from + auth->config.tcp_timeout;
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
	auth->ack_at = now + append_retry(auth);
	dff_log(ctx, DFF_LOG_NOTICE, "lease",
	    "former holder is harmless. shard=%s node=%s "
	    "fence=%" G_GUINT64_FORMAT " why=%s",
	    intent->shard, sender->node, sender->fence, why);
}

/* Why a former sender is known to be harmless, or NULL. */
static const char *
judge(dff_authority_t *auth, const intent_t *intent, const sender_t *sender,
    dff_time_t now)
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
		if (flight_under_way(auth, intent->order, now) &&
		    !DFF_FAULT(ACK_EARLY))
			return NULL;
		return "lease_lost";
	}
	if (lease_is_held_by(
		lease, auth->config.node, auth->config.incarnation) &&
	    is_gone(auth, sender->node, now))
		return "vm_gone";
	return NULL;
}

void
harmless_step(
    dff_ctx_t *ctx, dff_authority_t *auth, dff_time_t now, dff_effects_t *fx)
{
	if (now < auth->ack_at)
		return;
	for (guint i = 0; i < auth->state.intents->len; i++) {
		const intent_t *intent =
		    g_ptr_array_index(auth->state.intents, i);

		for (guint k = 0; k < intent->senders->len; k++) {
			const sender_t *sender =
			    &g_array_index(intent->senders, sender_t, k);
			const char *why = judge(auth, intent, sender, now);

			if (why != NULL)
				acknowledge(
				    ctx, auth, intent, sender, why, now, fx);
		}
	}
}
