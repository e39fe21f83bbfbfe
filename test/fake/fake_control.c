/*
 * The shell's part towards upstreams beside tries: load reports, questions
 * and orders.
 */
#include <errno.h>
#include <string.h>

#include "parts.h"

/* How often load reports are read. */
#define REPORT_EVERY (500 * DFF_MSEC)
/* Silence after which a question counts as unanswered. */
#define ASK_SILENCE (2 * DFF_SEC)
/* Silence after which an order's outcome is unknown. */
#define ORDER_SILENCE (3 * DFF_SEC)

/* ---- load reports ---- */

static void
on_report_answer(dff_world_t *world, parcel_t *parcel)
{
	dff_event_t event = {.type = DFF_EV_ENGINE_REPORT};
	dff_ev_engine_report_t *ev = &event.u.engine_report;
	const dff_engine_config_t *config = &world->config.engine;
	const dff_engine_report_t *report;

	report = &g_array_index(parcel->list, dff_engine_report_t, 0);
	ev->vm = parcel->up->place.name;
	ev->incarnation = report->incarnation;
	ev->sampled_at = node_clock(parcel->node, report->sampled_at);
	ev->role = report->role;
	ev->reconfiguring = report->reconfiguring;
	ev->model = report->model;
	ev->version = report->version;
	ev->running = report->running;
	ev->waiting = report->waiting;
	ev->backlog_tokens = report->backlog_tokens;
	ev->free_pieces = report->free_pieces;
	ev->total_pieces = parcel->up->is_engine ? config->pieces : 0;
	ev->token_us = report->token_us;
	ev->prefill_us = parcel->up->is_engine ? config->prefill_us : 0;
	ev->fence = report->fence;
	node_feed(world, parcel->node, &event);
}

static void
on_report(dff_world_t *world, parcel_t *parcel)
{
	upstream_t *up = parcel->up;
	dff_engine_report_t report = {.sampled_at = world->now};
	parcel_t *answer;

	if (!upstream_is_up(up))
		return;
	if (up->is_engine)
		dff_engine_model_report(up->engine, world->now, &report);
	else {
		report.incarnation = dff_service_model_incarnation(up->service);
		dff_service_model_load(
		    up->service, &report.running, &report.waiting);
	}
	answer = g_new0(parcel_t, 1);
	answer->node = parcel->node;
	answer->epoch = parcel->epoch;
	answer->up = up;
	answer->list = g_array_new(FALSE, FALSE, sizeof(report));
	g_array_append_val(answer->list, report);
	upstream_send(world, up, answer, on_report_answer);
}

static void
on_poll(dff_world_t *world, parcel_t *parcel)
{
	upstream_poll(world, parcel->node);
}

void
upstream_poll(dff_world_t *world, fake_node_t *node)
{
	for (guint i = 0; i < world->upstreams->len; i++) {
		upstream_t *up = g_ptr_array_index(world->upstreams, i);
		parcel_t *parcel;

		if (world_link(world, &node->place, &up->place)->cut)
			continue;
		parcel = parcel_new(node);
		parcel->up = up;
		world_send(
		    world, &node->place, &up->place, NULL, on_report, parcel);
	}
	world_timer(world, node, REPORT_EVERY, on_poll, parcel_new(node));
}

/* ---- questions ---- */

static void
feed_state(dff_world_t *world, fake_node_t *node, upstream_t *up,
    const dff_engine_state_t *state)
{
	dff_event_t event = {.type = DFF_EV_ENGINE_STATE};
	dff_ev_engine_state_t *ev = &event.u.engine_state;
	dff_time_t *asked;

	asked = g_hash_table_lookup(node->asks, up->place.name);
	if (asked == NULL)
		return;
	ev->vm = up->place.name;
	ev->sent_at = node_clock(node, *asked);
	g_hash_table_remove(node->asks, up->place.name);
	ev->ok = state != NULL;
	ev->model = ev->adapter = "";
	if (state != NULL) {
		ev->incarnation = state->incarnation;
		ev->role = state->role;
		ev->model = state->model;
		ev->version = state->version;
		ev->adapter = state->adapter;
		ev->reconfiguring = state->reconfiguring;
		ev->running = state->running;
		ev->last_order = state->last_order;
		ev->fence = state->fence;
	}
	node_feed(world, node, &event);
}

static bool
ask_stands(const parcel_t *parcel)
{
	const dff_time_t *asked;

	asked = g_hash_table_lookup(parcel->node->asks, parcel->up->place.name);
	return asked != NULL && *asked == parcel->asked;
}

static void
on_state_answer(dff_world_t *world, parcel_t *parcel)
{
	dff_engine_state_t state;

	if (!ask_stands(parcel))
		return;
	if (parcel->code < 0) {
		feed_state(world, parcel->node, parcel->up, NULL);
		return;
	}
	state = g_array_index(parcel->list, dff_engine_state_t, 0);
	state.model = parcel->text;
	state.adapter = "";
	feed_state(world, parcel->node, parcel->up, &state);
}

static void
on_ask(dff_world_t *world, parcel_t *parcel)
{
	dff_engine_state_t state;
	parcel_t *answer = g_new0(parcel_t, 1);

	upstream_pump(world, parcel->up);
	answer->node = parcel->node;
	answer->epoch = parcel->epoch;
	answer->up = parcel->up;
	answer->asked = parcel->asked;
	if (!upstream_is_up(parcel->up))
		answer->code = -ECONNREFUSED;
	else {
		dff_engine_model_state(parcel->up->engine, &state);
		answer->text = g_strdup(state.model);
		answer->list = g_array_new(FALSE, FALSE, sizeof(state));
		g_array_append_val(answer->list, state);
	}
	upstream_send(world, parcel->up, answer, on_state_answer);
}

static void
on_ask_silence(dff_world_t *world, parcel_t *parcel)
{
	if (ask_stands(parcel))
		feed_state(world, parcel->node, parcel->up, NULL);
}

void
upstream_ask(dff_world_t *world, fake_node_t *node, const char *vm)
{
	upstream_t *up = world_upstream(world, vm);
	parcel_t *parcel;

	if (up == NULL || !up->is_engine)
		return;
	g_hash_table_insert(node->asks, g_strdup(up->place.name),
	    g_memdup2(&world->now, sizeof(world->now)));
	parcel = parcel_new(node);
	parcel->up = up;
	parcel->asked = world->now;
	world_send(world, &node->place, &up->place, NULL, on_ask, parcel);
	parcel = parcel_new(node);
	parcel->up = up;
	parcel->asked = world->now;
	world_timer(world, node, ASK_SILENCE, on_ask_silence, parcel);
}

/* ---- orders ---- */

static void
on_order_answer(dff_world_t *world, parcel_t *parcel)
{
	dff_event_t event = {.type = DFF_EV_ORDER_ANSWER};

	if (!g_hash_table_remove(parcel->node->orders, &parcel->id))
		return;
	event.u.order_answer.order = parcel->id;
	event.u.order_answer.answer = (dff_order_answer_t)parcel->code;
	event.u.order_answer.fence = parcel->number;
	node_feed(world, parcel->node, &event);
}

static void
on_order(dff_world_t *world, parcel_t *parcel)
{
	upstream_t *up = parcel->up;
	dff_engine_state_t state;
	parcel_t *answer = g_new0(parcel_t, 1);

	upstream_pump(world, up);
	answer->node = parcel->node;
	answer->epoch = parcel->epoch;
	answer->id = parcel->id;
	answer->code = (int)dff_engine_model_order(up->engine, parcel->id,
	    parcel->number, (dff_order_kind_t)parcel->kind, parcel->text,
	    world->now, world->engine_outs);
	dff_engine_model_state(up->engine, &state);
	answer->number = state.fence;
	upstream_pump(world, up);
	upstream_send(world, up, answer, on_order_answer);
}

void
upstream_order(
    dff_world_t *world, fake_node_t *node, const dff_fx_order_send_t *order)
{
	upstream_t *up = world_upstream(world, order->vm);
	parcel_t *parcel;

	if (up == NULL || !up->is_engine) {
		world_problem(world, "%s gave an order to unknown %s",
		    node->place.name, order->vm);
		return;
	}
	g_hash_table_add(
	    node->orders, g_memdup2(&order->order, sizeof(uint64_t)));
	parcel = parcel_new(node);
	parcel->up = up;
	parcel->id = order->order;
	parcel->number = order->fence;
	parcel->kind = (int)order->kind;
	parcel->text = g_strdup(order->target);
	world_send(world, &node->place, &up->place, NULL, on_order, parcel);
	parcel = parcel_new(node);
	parcel->id = order->order;
	parcel->code = DFF_ORDER_UNKNOWN;
	world_timer(world, node, ORDER_SILENCE, on_order_answer, parcel);
}
