/*
 * Engines and plain services behind links, and the shell's part towards
 * them: tries, load reports, questions and orders.
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

static attempt_t *
find_attempt(const dff_world_t *world, uint64_t id)
{
	return g_hash_table_lookup(world->attempts, &id);
}

static bool
is_up(const upstream_t *up)
{
	return up->is_engine ? dff_engine_model_up(up->engine) :
			       dff_service_model_up(up->service);
}

static parcel_t *
parcel_for(const attempt_t *attempt)
{
	parcel_t *parcel = g_new0(parcel_t, 1);

	parcel->node = attempt->node;
	parcel->epoch = attempt->epoch;
	parcel->up = attempt->up;
	parcel->id = attempt->id;
	return parcel;
}

static void
send_to_node(dff_world_t *world, upstream_t *up, parcel_t *parcel, arrive_fn fn)
{
	world_send(
	    world, &up->place, &parcel->node->place, parcel->node, fn, parcel);
}

/* ---- what a try gives to its node ---- */

static void
close_attempt(attempt_t *attempt)
{
	attempt->open = false;
}

static void
feed_failed(
    dff_world_t *world, attempt_t *attempt, dff_try_fail_t reason, bool sent)
{
	dff_event_t event = {.type = DFF_EV_TRY_FAILED};

	close_attempt(attempt);
	event.u.try_failed.attempt = attempt->id;
	event.u.try_failed.reason = reason;
	event.u.try_failed.sent = sent;
	node_feed(world, attempt->node, &event);
}

static attempt_t *
open_attempt(dff_world_t *world, const parcel_t *parcel)
{
	attempt_t *attempt = find_attempt(world, parcel->id);

	if (attempt == NULL || !attempt->open)
		return NULL;
	attempt->heard = world->now;
	return attempt;
}

static void
on_failed(dff_world_t *world, parcel_t *parcel)
{
	attempt_t *attempt = open_attempt(world, parcel);

	if (attempt != NULL)
		feed_failed(world, attempt, (dff_try_fail_t)parcel->code,
		    parcel->code != DFF_FAIL_CONNECT);
}

static void
on_token(dff_world_t *world, parcel_t *parcel)
{
	dff_event_t event = {.type = DFF_EV_TRY_TOKENS};

	if (open_attempt(world, parcel) == NULL)
		return;
	event.u.try_tokens.attempt = parcel->id;
	event.u.try_tokens.first = (uint32_t)parcel->from;
	event.u.try_tokens.count = 1;
	event.u.try_tokens.text = parcel->text;
	event.u.try_tokens.len = strlen(parcel->text);
	node_feed(world, parcel->node, &event);
}

static void
on_end(dff_world_t *world, parcel_t *parcel)
{
	dff_event_t event = {.type = DFF_EV_TRY_END};
	attempt_t *attempt = open_attempt(world, parcel);
	const dff_engine_out_t *end;

	if (attempt == NULL)
		return;
	close_attempt(attempt);
	end = &g_array_index(parcel->list, dff_engine_out_t, 0);
	event.u.try_end.attempt = parcel->id;
	event.u.try_end.finish = end->finish;
	event.u.try_end.prompt_tokens = end->prompt_tokens;
	event.u.try_end.cached_tokens = end->cached_tokens;
	event.u.try_end.output_tokens = end->output_tokens;
	node_feed(world, parcel->node, &event);
}

static void
on_reply(dff_world_t *world, parcel_t *parcel)
{
	dff_event_t event = {.type = DFF_EV_TRY_REPLY};
	attempt_t *attempt = open_attempt(world, parcel);

	if (attempt == NULL)
		return;
	close_attempt(attempt);
	event.u.try_reply.attempt = parcel->id;
	event.u.try_reply.status = parcel->code;
	event.u.try_reply.content_type = "text/plain";
	event.u.try_reply.body = (const uint8_t *)parcel->text;
	event.u.try_reply.len = strlen(parcel->text);
	node_feed(world, parcel->node, &event);
}

static void
answer_failed(
    dff_world_t *world, const attempt_t *attempt, dff_try_fail_t reason)
{
	parcel_t *parcel = parcel_for(attempt);

	parcel->code = (int)reason;
	send_to_node(world, attempt->up, parcel, on_failed);
}

/* ---- what the models give ---- */

static void
give_token(
    dff_world_t *world, const attempt_t *attempt, const dff_engine_out_t *item)
{
	parcel_t *parcel = parcel_for(attempt);

	parcel->from = item->index;
	parcel->text = g_malloc(DFF_TOKEN_TEXT_MAX);
	(void)dff_model_token(item->prompt_hash, item->index, parcel->text);
	send_to_node(world, attempt->up, parcel, on_token);
}

static void
give_end(
    dff_world_t *world, const attempt_t *attempt, const dff_engine_out_t *item)
{
	parcel_t *parcel = parcel_for(attempt);

	parcel->list = g_array_new(FALSE, FALSE, sizeof(*item));
	g_array_append_vals(parcel->list, item, 1);
	send_to_node(world, attempt->up, parcel, on_end);
}

static void
ask_leave(dff_world_t *world, upstream_t *up)
{
	dff_engine_model_leave(up->engine,
	    dff_weights_model_ask(world->weights, world->now), world->now);
}

static void
take_engine_out(
    dff_world_t *world, upstream_t *up, const dff_engine_out_t *item)
{
	attempt_t *attempt = find_attempt(world, item->id);

	switch (item->type) {
	case DFF_ENGINE_OUT_TOKEN:
		give_token(world, attempt, item);
		return;
	case DFF_ENGINE_OUT_END:
		give_end(world, attempt, item);
		return;
	case DFF_ENGINE_OUT_BROKEN:
		answer_failed(world, attempt, DFF_FAIL_BROKEN);
		return;
	case DFF_ENGINE_OUT_LEAVE:
		ask_leave(world, up);
		return;
	case DFF_ENGINE_OUT_CRASH:
		world->crashes++;
		return;
	case DFF_ENGINE_OUT_BACK:
		return;
	}
}

static void
take_service_out(dff_world_t *world, const dff_service_out_t *item)
{
	attempt_t *attempt = find_attempt(world, item->id);
	parcel_t *parcel;

	if (item->type == DFF_SERVICE_OUT_BROKEN)
		answer_failed(world, attempt, DFF_FAIL_BROKEN);
	if (item->type != DFF_SERVICE_OUT_DONE)
		return;
	parcel = parcel_for(attempt);
	parcel->code = 200;
	parcel->text =
	    g_strdup_printf("done %016" G_GINT64_MODIFIER "x", item->body_hash);
	send_to_node(world, attempt->up, parcel, on_reply);
}

static void
on_moment(dff_world_t *world, parcel_t *parcel)
{
	upstream_t *up = parcel->up;

	if (up->wake_at <= world->now) {
		up->wake_at = DFF_TIME_NEVER;
		upstream_pump(world, up);
	}
}

static void
set_moment(dff_world_t *world, upstream_t *up)
{
	dff_time_t next = up->is_engine ? dff_engine_model_next(up->engine) :
					  dff_service_model_next(up->service);
	parcel_t *parcel;

	if (next >= up->wake_at)
		return;
	up->wake_at = next;
	parcel = parcel_new(NULL);
	parcel->up = up;
	world_timer(world, NULL, MAX(next - world->now, 0), on_moment, parcel);
}

void
upstream_pump(dff_world_t *world, upstream_t *up)
{
	GArray *engine_outs = world->engine_outs;
	GArray *service_outs = world->service_outs;

	if (up->is_engine)
		dff_engine_model_advance(
		    up->ctx, up->engine, world->now, engine_outs);
	else
		dff_service_model_advance(
		    up->service, world->now, service_outs);
	for (guint i = 0; i < engine_outs->len; i++)
		take_engine_out(world, up,
		    &g_array_index(engine_outs, dff_engine_out_t, i));
	for (guint i = 0; i < service_outs->len; i++)
		take_service_out(
		    world, &g_array_index(service_outs, dff_service_out_t, i));
	g_array_set_size(engine_outs, 0);
	g_array_set_size(service_outs, 0);
	check_upstream(world, up);
	set_moment(world, up);
}

/* ---- calls to engines ---- */

static void
on_kv_arrived(dff_world_t *world, parcel_t *parcel)
{
	(void)dff_engine_model_import(parcel->up->engine, parcel->id,
	    (uint32_t)parcel->number, world->now);
	upstream_pump(world, parcel->up);
}

static void
fetch_kv(dff_world_t *world, const attempt_t *attempt)
{
	upstream_t *from = world_upstream(world, attempt->kv_addr);
	upstream_t *up = attempt->up;
	dff_time_t time = -ENOENT;
	uint32_t pieces = 0;
	parcel_t *parcel;

	if (from != NULL && from->is_engine)
		time = dff_engine_model_export(
		    from->engine, attempt->kv_attempt, world->now, &pieces);
	if (time < 0) {
		dff_engine_model_cancel(up->engine, attempt->id, world->now);
		answer_failed(world, attempt, DFF_FAIL_REJECTED);
		return;
	}
	time += dff_engine_model_link_time(up->engine, pieces,
	    strcmp(from->place.domain, up->place.domain) == 0);
	parcel = parcel_new(NULL);
	parcel->up = up;
	parcel->id = attempt->id;
	parcel->number = pieces;
	world_timer(world, NULL, time, on_kv_arrived, parcel);
}

static void
run_at_engine(dff_world_t *world, attempt_t *attempt)
{
	const caller_t *caller = attempt->caller;
	uint64_t prefix[DFF_PREFIX_MAX];
	size_t len = strlen(caller->prompt);
	dff_engine_request_t request = {.id = attempt->id,
	    .model = attempt->model,
	    .prompt_hash =
		dff_model_prompt_hash(attempt->model, caller->prompt, len),
	    .prompt_tokens = dff_model_prompt_tokens(len),
	    .max_tokens = attempt->max_tokens,
	    .resume_at = attempt->resume_at,
	    .priority = attempt->priority,
	    .phase = attempt->phase,
	    .prefix = prefix,
	    .poison = caller->poison};

	request.prefix_count = dff_model_prefix(caller->prompt, len, prefix);
	if (dff_engine_model_submit(attempt->up->ctx, attempt->up->engine,
		&request, world->now) != DFF_ENGINE_TAKEN) {
		answer_failed(world, attempt, DFF_FAIL_REJECTED);
		return;
	}
	if (attempt->phase == DFF_PHASE_DECODE)
		fetch_kv(world, attempt);
}

static void
run_at_service(dff_world_t *world, attempt_t *attempt)
{
	parcel_t *parcel;

	if (dff_service_model_submit(attempt->up->service, attempt->id,
		attempt->key, attempt->caller->body_hash, world->now) == 0)
		return;
	parcel = parcel_for(attempt);
	parcel->code = 503;
	parcel->text = g_strdup("full");
	send_to_node(world, attempt->up, parcel, on_reply);
}

static void
on_request(dff_world_t *world, parcel_t *parcel)
{
	attempt_t *attempt = find_attempt(world, parcel->id);

	upstream_pump(world, attempt->up);
	if (!is_up(attempt->up))
		answer_failed(world, attempt, DFF_FAIL_CONNECT);
	else if (attempt->up->is_engine)
		run_at_engine(world, attempt);
	else
		run_at_service(world, attempt);
	upstream_pump(world, attempt->up);
}

static void
on_silence(dff_world_t *world, parcel_t *parcel)
{
	attempt_t *attempt = find_attempt(world, parcel->id);
	dff_time_t left;
	parcel_t *again;

	if (!attempt->open)
		return;
	left = attempt->heard + attempt->timeout - world->now;
	if (left > 0) {
		again = parcel_new(attempt->node);
		again->id = attempt->id;
		world_timer(world, attempt->node, left, on_silence, again);
		return;
	}
	upstream_cancel(world, attempt->node, attempt->id);
	feed_failed(world, attempt, DFF_FAIL_TIMEOUT, true);
}

static void
fill_attempt(
    dff_world_t *world, attempt_t *attempt, const dff_fx_try_start_t *start)
{
	attempt->id = start->attempt;
	attempt->up = world_upstream(world, start->vm);
	attempt->caller = caller_of(world, start->call);
	attempt->open = true;
	attempt->sent = attempt->heard = world->now;
	attempt->timeout = start->timeout;
	attempt->phase = start->phase;
	attempt->kind = start->kind;
	attempt->resume_at = start->resume_at;
	attempt->max_tokens = start->max_tokens;
	attempt->priority = start->priority;
	attempt->kv_attempt = start->kv_attempt;
	g_strlcpy(attempt->model, start->model, sizeof(attempt->model));
	g_strlcpy(attempt->kv_addr, start->kv_addr, sizeof(attempt->kv_addr));
	g_strlcpy(attempt->key, start->idem_key, sizeof(attempt->key));
}

void
upstream_try(
    dff_world_t *world, fake_node_t *node, const dff_fx_try_start_t *start)
{
	attempt_t *attempt;
	parcel_t *parcel;

	if (find_attempt(world, start->attempt) != NULL) {
		world_problem(
		    world, "%s used a try's number twice", node->place.name);
		return;
	}
	attempt = g_new0(attempt_t, 1);
	attempt->node = node;
	attempt->epoch = node->epoch;
	fill_attempt(world, attempt, start);
	g_hash_table_insert(world->attempts, &attempt->id, attempt);
	if (attempt->up == NULL || attempt->caller == NULL) {
		world_problem(world,
		    "%s sent call %" G_GUINT64_FORMAT " to unknown %s",
		    node->place.name, start->call, start->vm);
		return;
	}
	if (attempt->caller->model[0] == '\0')
		g_strlcpy(attempt->caller->model, start->model,
		    sizeof(attempt->caller->model));
	world_send(world, &node->place, &attempt->up->place, NULL, on_request,
	    parcel_for(attempt));
	parcel = parcel_for(attempt);
	world_timer(world, node, attempt->timeout, on_silence, parcel);
}

static void
on_cancel(dff_world_t *world, parcel_t *parcel)
{
	upstream_pump(world, parcel->up);
	/* A plain service runs on: only the answer is lost. */
	if (parcel->up->is_engine)
		dff_engine_model_cancel(
		    parcel->up->engine, parcel->id, world->now);
	upstream_pump(world, parcel->up);
}

static void
send_cancel(dff_world_t *world, attempt_t *attempt)
{
	close_attempt(attempt);
	world_send(world, &attempt->node->place, &attempt->up->place, NULL,
	    on_cancel, parcel_for(attempt));
}

void
upstream_cancel(dff_world_t *world, fake_node_t *node, uint64_t id)
{
	attempt_t *attempt = find_attempt(world, id);

	(void)node;
	if (attempt != NULL && attempt->open)
		send_cancel(world, attempt);
}

static gint
compare_attempts(gconstpointer a, gconstpointer b)
{
	const attempt_t *x = *(const attempt_t *const *)a;
	const attempt_t *y = *(const attempt_t *const *)b;

	return x->id < y->id ? -1 : x->id > y->id;
}

void
upstream_process_gone(dff_world_t *world, fake_node_t *node, uint64_t epoch)
{
	GPtrArray *gone = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, world->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		attempt_t *attempt = value;

		if (attempt->node == node && attempt->epoch == epoch &&
		    attempt->open)
			g_ptr_array_add(gone, attempt);
	}
	/* Each sending draws random numbers, so their order matters. */
	g_ptr_array_sort(gone, compare_attempts);
	for (guint i = 0; i < gone->len; i++)
		send_cancel(world, g_ptr_array_index(gone, i));
	g_ptr_array_unref(gone);
}

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
	ev->taken = report->taken + parcel->node->skew;
	ev->role = report->role;
	ev->changing = report->changing;
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
	dff_engine_report_t report = {.taken = world->now};
	parcel_t *answer;

	if (!is_up(up))
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
	send_to_node(world, up, answer, on_report_answer);
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
	ev->asked = *asked + node->skew;
	g_hash_table_remove(node->asks, up->place.name);
	ev->ok = state != NULL;
	ev->model = ev->adapter = "";
	if (state != NULL) {
		ev->incarnation = state->incarnation;
		ev->role = state->role;
		ev->model = state->model;
		ev->version = state->version;
		ev->adapter = state->adapter;
		ev->changing = state->changing;
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
	if (!is_up(parcel->up))
		answer->code = -ECONNREFUSED;
	else {
		dff_engine_model_state(parcel->up->engine, &state);
		answer->text = g_strdup(state.model);
		answer->list = g_array_new(FALSE, FALSE, sizeof(state));
		g_array_append_val(answer->list, state);
	}
	send_to_node(world, parcel->up, answer, on_state_answer);
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
	send_to_node(world, up, answer, on_order_answer);
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

void
upstream_free(upstream_t *up)
{
	dff_engine_model_drop(up->engine);
	dff_service_model_drop(up->service);
	dff_ctx_drop(up->ctx);
	g_free(up);
}
