/*
 * Engines and plain services behind links, and the shell's part of a try.
 */
#include <errno.h>
#include <string.h>

#include "parts.h"

static attempt_t *
find_attempt(const dff_world_t *world, uint64_t id)
{
	return g_hash_table_lookup(world->attempts, &id);
}

bool
upstream_is_up(const upstream_t *up)
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

void
upstream_send(
    dff_world_t *world, upstream_t *up, parcel_t *parcel, arrive_fn fn)
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
feed_failed(dff_world_t *world, attempt_t *attempt,
    dff_attempt_failure_t reason, bool sent)
{
	dff_event_t event = {.type = DFF_EV_ATTEMPT_FAILED};

	close_attempt(attempt);
	event.u.attempt_failed.attempt = attempt->id;
	event.u.attempt_failed.reason = reason;
	event.u.attempt_failed.sent = sent;
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
		feed_failed(world, attempt, (dff_attempt_failure_t)parcel->code,
		    parcel->code != DFF_FAIL_CONNECT);
}

static void
on_token(dff_world_t *world, parcel_t *parcel)
{
	dff_event_t event = {.type = DFF_EV_ATTEMPT_TOKENS};

	if (open_attempt(world, parcel) == NULL)
		return;
	event.u.attempt_tokens.attempt = parcel->id;
	event.u.attempt_tokens.first = (uint32_t)parcel->from;
	event.u.attempt_tokens.count = 1;
	event.u.attempt_tokens.text = parcel->text;
	event.u.attempt_tokens.len = strlen(parcel->text);
	node_feed(world, parcel->node, &event);
}

static void
on_end(dff_world_t *world, parcel_t *parcel)
{
	dff_event_t event = {.type = DFF_EV_ATTEMPT_END};
	attempt_t *attempt = open_attempt(world, parcel);
	const dff_engine_out_t *end;

	if (attempt == NULL)
		return;
	close_attempt(attempt);
	end = &g_array_index(parcel->list, dff_engine_out_t, 0);
	event.u.attempt_end.attempt = parcel->id;
	event.u.attempt_end.finish = end->finish;
	event.u.attempt_end.prompt_tokens = end->prompt_tokens;
	event.u.attempt_end.cached_tokens = end->cached_tokens;
	event.u.attempt_end.output_tokens = end->output_tokens;
	node_feed(world, parcel->node, &event);
}

static void
on_reply(dff_world_t *world, parcel_t *parcel)
{
	dff_event_t event = {.type = DFF_EV_ATTEMPT_REPLY};
	attempt_t *attempt = open_attempt(world, parcel);

	if (attempt == NULL)
		return;
	close_attempt(attempt);
	event.u.attempt_reply.attempt = parcel->id;
	event.u.attempt_reply.status = parcel->code;
	event.u.attempt_reply.content_type = "text/plain";
	event.u.attempt_reply.body = (const uint8_t *)parcel->text;
	event.u.attempt_reply.len = strlen(parcel->text);
	node_feed(world, parcel->node, &event);
}

static void
answer_failed(
    dff_world_t *world, const attempt_t *attempt, dff_attempt_failure_t reason)
{
	parcel_t *parcel = parcel_for(attempt);

	parcel->code = (int)reason;
	upstream_send(world, attempt->up, parcel, on_failed);
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
	upstream_send(world, attempt->up, parcel, on_token);
}

static void
give_end(
    dff_world_t *world, const attempt_t *attempt, const dff_engine_out_t *item)
{
	parcel_t *parcel = parcel_for(attempt);

	parcel->list = g_array_new(FALSE, FALSE, sizeof(*item));
	g_array_append_vals(parcel->list, item, 1);
	upstream_send(world, attempt->up, parcel, on_end);
}

static void
ask_leave(dff_world_t *world, upstream_t *up)
{
	dff_engine_model_load_reply(up->engine,
	    dff_weights_model_acquire(world->weights, world->now), world->now);
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
	case DFF_ENGINE_OUT_ABORTED:
		answer_failed(world, attempt, DFF_FAIL_BROKEN);
		return;
	case DFF_ENGINE_OUT_LOAD_REQUEST:
		ask_leave(world, up);
		return;
	case DFF_ENGINE_OUT_CRASH:
		world->crashes++;
		return;
	case DFF_ENGINE_OUT_RESTARTED:
		return;
	}
}

static void
take_service_out(dff_world_t *world, const dff_service_out_t *item)
{
	attempt_t *attempt = find_attempt(world, item->id);
	parcel_t *parcel;

	if (item->type == DFF_SERVICE_OUT_ABORTED)
		answer_failed(world, attempt, DFF_FAIL_BROKEN);
	if (item->type != DFF_SERVICE_OUT_DONE)
		return;
	parcel = parcel_for(attempt);
	parcel->code = 200;
	parcel->text =
	    g_strdup_printf("done %016" G_GINT64_MODIFIER "x", item->body_hash);
	upstream_send(world, attempt->up, parcel, on_reply);
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
	time += dff_engine_model_transfer_time(up->engine, pieces,
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
	uint64_t prefix[DFF_PREFIX_BLOCKS_MAX];
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
		&request, world->now) != DFF_ENGINE_ACCEPTED) {
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
	upstream_send(world, attempt->up, parcel, on_reply);
}

static void
on_request(dff_world_t *world, parcel_t *parcel)
{
	attempt_t *attempt = find_attempt(world, parcel->id);

	upstream_pump(world, attempt->up);
	if (!upstream_is_up(attempt->up))
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
    dff_world_t *world, attempt_t *attempt, const dff_fx_attempt_start_t *start)
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
    dff_world_t *world, fake_node_t *node, const dff_fx_attempt_start_t *start)
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

void
upstream_free(upstream_t *up)
{
	dff_engine_model_drop(up->engine);
	dff_service_model_drop(up->service);
	dff_ctx_drop(up->ctx);
	g_free(up);
}
