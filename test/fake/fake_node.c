/*
 * A node's process: its steps, and its effects carried out by the fakes.
 */
#include <errno.h>
#include <string.h>

#include "parts.h"

dff_time_t
node_clock(const fake_node_t *node, dff_time_t moment)
{
	return moment + node->skew + (dff_time_t)((double)moment * node->rate);
}

static dff_time_t
clock_of(const dff_world_t *world, const fake_node_t *node)
{
	return node_clock(node, world->now);
}

/* ---- frames to peers ---- */

static void
on_frame(dff_world_t *world, parcel_t *parcel)
{
	dff_event_t event = {.type = DFF_EV_PEER_FRAME};

	event.u.peer.id = parcel->text;
	event.u.peer.data = g_bytes_get_data(parcel->bytes, &event.u.peer.len);
	node_feed(world, parcel->node, &event);
}

static void
send_frame(
    dff_world_t *world, fake_node_t *node, const dff_fx_peer_send_t *send)
{
	fake_node_t *peer = world_node(world, send->peer);
	parcel_t *parcel;

	if (peer == NULL || peer->node == NULL)
		return;
	/* A newer frame would replace it before the link is back. */
	if (send->replace_queued &&
	    world_link(world, &node->place, &peer->place)->cut)
		return;
	parcel = parcel_new(peer);
	parcel->text = g_strdup(node->place.name);
	parcel->bytes = g_bytes_new(send->data, send->len);
	world_send(world, &node->place, &peer->place, peer, on_frame, parcel);
}

/* ---- waking ---- */

static void
on_wake(dff_world_t *world, parcel_t *parcel)
{
	dff_event_t event = {.type = DFF_EV_WAKE};

	if (parcel->number == parcel->node->wake_number)
		node_feed(world, parcel->node, &event);
}

static void
set_wake(dff_world_t *world, fake_node_t *node, dff_time_t at)
{
	parcel_t *parcel;

	node->wake_number++;
	if (at == DFF_TIME_NEVER)
		return;
	parcel = parcel_new(node);
	parcel->number = node->wake_number;
	world_timer(
	    world, node, MAX(at - clock_of(world, node), 0), on_wake, parcel);
}

/* ---- orders ---- */

static void
on_order_leaves(dff_world_t *world, parcel_t *parcel)
{
	dff_fx_order_send_t order = {.order = parcel->id,
	    .vm = parcel->text,
	    .kind = (dff_order_kind_t)parcel->kind,
	    .fence = parcel->number};

	order.target = g_bytes_get_data(parcel->bytes, NULL);
	upstream_order(world, parcel->node, &order);
}

static void
send_order(
    dff_world_t *world, fake_node_t *node, const dff_fx_order_send_t *order)
{
	parcel_t *parcel;

	if (!node->pause_at_order) {
		upstream_order(world, node, order);
		return;
	}
	node->pause_at_order = false;
	parcel = parcel_new(node);
	parcel->id = order->order;
	parcel->text = g_strdup(order->vm);
	parcel->kind = (int)order->kind;
	parcel->number = order->fence;
	parcel->bytes = g_bytes_new(order->target, strlen(order->target) + 1);
	world_timer(world, node, 0, on_order_leaves, parcel);
	(void)dff_world_pause(world, node->place.name);
}

/* ---- ends of processes ---- */

static void
end_process(dff_world_t *world, fake_node_t *node, bool planned)
{
	uint64_t epoch = node->epoch;

	dff_node_drop(node->node);
	node->node = NULL;
	node->epoch++;
	node->paused = false;
	node->pause_at_order = false;
	node->ready = false;
	node->stopping = false;
	node->reach_since = DFF_TIME_NEVER;
	world_replay(world, node);
	g_hash_table_remove_all(node->appends);
	g_hash_table_remove_all(node->orders);
	g_hash_table_remove_all(node->asks);
	g_hash_table_remove_all(node->told_leaving);
	upstream_process_gone(world, node, epoch);
	caller_process_gone(world, node, epoch, planned);
}

static void
on_stopped(dff_world_t *world, parcel_t *parcel)
{
	end_process(world, parcel->node, true);
}

/* ---- steps ---- */

static void
carry_out(dff_world_t *world, fake_node_t *node, const dff_effect_t *effect)
{
	switch (effect->type) {
	case DFF_FX_WAKE_AT:
		set_wake(world, node, effect->u.wake_at.at);
		return;
	case DFF_FX_LOG_FOLLOW:
		platform_follow(world, node, effect->u.log_follow.stream,
		    effect->u.log_follow.from);
		return;
	case DFF_FX_LOG_APPEND:
		platform_append(world, node, &effect->u.log_append);
		return;
	case DFF_FX_PEER_SEND:
		send_frame(world, node, &effect->u.peer_send);
		return;
	case DFF_FX_ATTEMPT_START:
		upstream_try(world, node, &effect->u.attempt_start);
		return;
	case DFF_FX_ATTEMPT_CANCEL:
		upstream_cancel(world, node, effect->u.attempt_cancel.attempt);
		return;
	case DFF_FX_ORDER_SEND:
		send_order(world, node, &effect->u.order_send);
		return;
	case DFF_FX_ENGINE_QUERY:
		upstream_ask(world, node, effect->u.engine_query.vm);
		return;
	case DFF_FX_ENGINE_WATCH:
		/* Fleets here are small, so that every node reads them
		 * whole. */
		return;
	case DFF_FX_HEALTH:
		node->ready = effect->u.health.ready;
		return;
	case DFF_FX_STOPPED:
		/* Not from inside its own step. */
		world_timer(world, node, 0, on_stopped, parcel_new(node));
		return;
	case DFF_FX_CALL_BEGIN:
	case DFF_FX_CALL_TOKENS:
	case DFF_FX_CALL_END:
	case DFF_FX_CALL_REPLY:
	case DFF_FX_CALL_REFUSE:
		caller_effect(world, node, effect);
		return;
	}
}

void
node_feed(dff_world_t *world, fake_node_t *node, const dff_event_t *event)
{
	if (node->node == NULL)
		return;
	world->steps++;
	dff_effects_clear(node->fx);
	(void)dff_node_step(
	    node->ctx, node->node, event, clock_of(world, node), node->fx);
	for (size_t i = 0; i < dff_effects_count(node->fx); i++)
		carry_out(world, node, dff_effects_at(node->fx, i));
	check_node(world, node);
}

void
node_start(dff_world_t *world, fake_node_t *node)
{
	dff_event_t event = {.type = DFF_EV_START};

	node->config.incarnation++;
	node->node = dff_node_new(node->ctx, &node->config);
	node->reach_since = world->now;
	node->awake_since = world->now;
	memset(node->follow, 0, sizeof(node->follow));
	node_feed(world, node, &event);
	platform_poll(world, node);
	upstream_poll(world, node);
}

void
node_free(fake_node_t *node)
{
	item_t *item;

	while ((item = g_queue_pop_head(&node->held)) != NULL) {
		parcel_drop(item->parcel);
		g_free(item);
	}
	dff_node_drop(node->node);
	dff_effects_drop(node->fx);
	dff_ctx_drop(node->ctx);
	g_hash_table_unref(node->appends);
	g_hash_table_unref(node->orders);
	g_hash_table_unref(node->asks);
	g_hash_table_unref(node->told_leaving);
	g_free(node);
}

/* ---- what a test does to nodes ---- */

int
dff_world_kill(dff_world_t *world, const char *name)
{
	fake_node_t *node = world_node(world, name);

	if (node == NULL)
		return -ENOENT;
	if (node->node == NULL)
		return -EALREADY;
	end_process(world, node, false);
	return 0;
}

int
dff_world_restart(dff_world_t *world, const char *name)
{
	fake_node_t *node = world_node(world, name);

	if (node == NULL)
		return -ENOENT;
	if (node->node != NULL)
		end_process(world, node, false);
	node_start(world, node);
	return 0;
}

int
dff_world_pause(dff_world_t *world, const char *name)
{
	fake_node_t *node = world_node(world, name);

	if (node == NULL || node->node == NULL)
		return -ENOENT;
	if (node->paused)
		return -EALREADY;
	node->paused = true;
	node->reach_since = DFF_TIME_NEVER;
	(void)world;
	return 0;
}

int
dff_world_wake(dff_world_t *world, const char *name)
{
	fake_node_t *node = world_node(world, name);

	if (node == NULL || node->node == NULL)
		return -ENOENT;
	if (!node->paused)
		return -EALREADY;
	node->paused = false;
	node->reach_since = world->now;
	node->awake_since = world->now;
	world_replay(world, node);
	return 0;
}

int
dff_world_pause_at_order(dff_world_t *world, const char *name)
{
	fake_node_t *node = world_node(world, name);

	if (node == NULL || node->node == NULL)
		return -ENOENT;
	node->pause_at_order = true;
	return 0;
}

static void
on_stop(dff_world_t *world, parcel_t *parcel)
{
	dff_event_t event = {.type = DFF_EV_STOP};

	parcel->node->stopping = true;
	node_feed(world, parcel->node, &event);
}

int
dff_world_stop(dff_world_t *world, const char *name)
{
	fake_node_t *node = world_node(world, name);

	if (node == NULL || node->node == NULL)
		return -ENOENT;
	world_timer(world, node, 0, on_stop, parcel_new(node));
	return 0;
}

bool
dff_world_up(const dff_world_t *world, const char *name)
{
	const fake_node_t *node = world_node(world, name);

	return node != NULL && node->node != NULL;
}

const dff_node_t *
dff_world_node(const dff_world_t *world, const char *name)
{
	const fake_node_t *node = world_node(world, name);

	return node != NULL ? node->node : NULL;
}
