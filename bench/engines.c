/*
 * Engines and services of the virtual fleet, their faults, and the change
 * of role: mark, drain, order, back to work.
 */
#include <string.h>

#include "fleet_state.h"

/* Extra time of a packet that was lost and sent again. */
#define RESEND_TIME (200 * DFF_MSEC)
/* Time that a call runs at a plain service. */
#define SERVICE_TIME (20 * DFF_MSEC)
/* Time between the notice of a withdrawal and its end. */
#define WITHDRAW_NOTICE (20 * DFF_SEC)
/* Age of the VM list as nodes see it. */
#define LIST_LAG (3 * DFF_SEC)
/* Time after which a refused connection is told. */
#define REFUSED_TIME (1 * DFF_MSEC)

dff_time_t
engine_link(world_t *world, uint32_t node, uint32_t machine)
{
	dff_time_t time = world->load->link;

	if (world->members[node].domain == world->machines[machine].domain)
		return DFF_MSEC / 2;
	time += (dff_time_t)(dff_rand_unit(world->ctx) * (double)time / 4);
	if (dff_rand_unit(world->ctx) < world->load->link_loss)
		time += RESEND_TIME;
	return time;
}

void
engine_watch(world_t *world, uint32_t index)
{
	machine_t *machine = &world->machines[index];
	dff_time_t next = dff_engine_model_next(machine->model);

	if (next >= machine->next)
		return;
	machine->next = next;
	what_push(world, WHAT_ENGINE, next)->place = index;
}

/* Bytes of one try arrive in the order in which they were sent. */
static dff_time_t
arrival(world_t *world, visit_t *visit)
{
	dff_time_t at;

	at = world->now + engine_link(world, visit->node, visit->engine);
	visit->link_until = MAX(visit->link_until, at);
	return visit->link_until;
}

static void
spend_token(world_t *world, visit_t *visit)
{
	const dff_engine_config_t *engine = &world->load->engine;

	visit->spent +=
	    (engine->request_us + engine->step_us / engine->batch_max) /
	    (double)DFF_SEC;
}

static void
spend_prefill(world_t *world, visit_t *visit)
{
	visit->spent += bench_fluid_seconds(&world->load->engine,
	    visit->work.prompt_tokens + visit->work.delivered, 0);
}

static void
give_token(world_t *world, visit_t *visit, const dff_engine_out_t *out)
{
	what_t *what;

	if (visit->told == 0 && visit->phase != DFF_PHASE_DECODE)
		spend_prefill(world, visit);
	spend_token(world, visit);
	if (visit->token_at > 0)
		visit->gap = MAX(visit->gap, world->now - visit->token_at);
	visit->token_at = world->now;
	visit->told++;
	if (visit->told > 1 && visit->told % TOKEN_GROUP != 0)
		return;
	what = what_push(world, WHAT_TOKENS, arrival(world, visit));
	what->id = out->id;
	what->count = visit->told == 1 ? 1 : TOKEN_GROUP;
	if (visit->told == TOKEN_GROUP)
		what->count--;
}

static void
give(world_t *world, const dff_engine_out_t *out)
{
	visit_t *visit = g_hash_table_lookup(world->attempts, &out->id);
	what_t *what;

	if (out->type == DFF_ENGINE_OUT_CRASH)
		world->result->crashes++;
	if (visit == NULL)
		return;
	switch (out->type) {
	case DFF_ENGINE_OUT_TOKEN:
		give_token(world, visit, out);
		return;
	case DFF_ENGINE_OUT_END:
		if (visit->phase == DFF_PHASE_PREFILL)
			spend_prefill(world, visit);
		what = what_push(world, WHAT_END, arrival(world, visit));
		what->id = out->id;
		what->out = *out;
		return;
	case DFF_ENGINE_OUT_ABORTED:
		what = what_push(world, WHAT_BROKEN, arrival(world, visit));
		what->id = out->id;
		return;
	case DFF_ENGINE_OUT_LOAD_REQUEST:
	case DFF_ENGINE_OUT_CRASH:
	case DFF_ENGINE_OUT_RESTARTED:
		return;
	}
}

static void
give_all(world_t *world)
{
	for (guint i = 0; i < world->out->len; i++)
		give(world, &g_array_index(world->out, dff_engine_out_t, i));
	g_array_set_size(world->out, 0);
}

void
engine_run(world_t *world, uint32_t index)
{
	machine_t *machine = &world->machines[index];

	if (machine->withdrawn || machine->next > world->now)
		return;
	machine->next = DFF_TIME_NEVER;
	dff_engine_model_advance(
	    world->ctx, machine->model, world->now, world->out);
	give_all(world);
	engine_watch(world, index);
}

static void
submit_service(world_t *world, visit_t *visit)
{
	machine_t *machine = &world->machines[visit->engine];
	dff_time_t time = SERVICE_TIME;

	machine->running++;
	time += (dff_time_t)(dff_rand_unit(world->ctx) * (double)time);
	what_push(world, WHAT_SERVICE, world->now + time)->id = visit->attempt;
}

void
service_done(world_t *world, const what_t *what)
{
	visit_t *visit = g_hash_table_lookup(world->attempts, &what->id);

	if (visit == NULL)
		return;
	world->machines[visit->engine].running--;
	member_end_try(world, visit, DFF_ATTEMPT_DONE, NULL);
	callers_done(world, visit);
}

static bool
take_request(world_t *world, visit_t *visit)
{
	const request_t *request =
	    g_ptr_array_index(world->requests, visit->request);
	machine_t *machine = &world->machines[visit->engine];
	const dff_entry_t *entry = &world->entries[request->entry];
	dff_engine_request_t ask = {0};

	if (machine->withdrawn || !dff_engine_model_up(machine->model))
		return false;
	ask.id = visit->attempt;
	ask.model = "";
	ask.prompt_hash = visit->request + 1;
	ask.prompt_tokens = request->prompt;
	ask.max_tokens = entry->max_output_tokens;
	ask.answer_tokens = request->output;
	ask.resume_at = visit->work.delivered;
	ask.priority = world->classes[entry->cls].priority;
	ask.phase = visit->phase;
	ask.prefix = request->prefix;
	ask.prefix_count = request->prefix_count;
	ask.poison = request->poison;
	return dff_engine_model_submit(world->ctx, machine->model, &ask,
		   world->now) == DFF_ENGINE_ACCEPTED;
}

/* Ask the engine that prefilled for the KV cache. */
static void
fetch_cache(world_t *world, visit_t *visit)
{
	machine_t *from = &world->machines[visit->kv_engine];
	machine_t *to = &world->machines[visit->engine];
	uint32_t pieces = 0;
	dff_time_t time;
	what_t *what;

	time = dff_engine_model_export(
	    from->model, visit->kv_attempt, world->now, &pieces);
	if (time < 0) {
		what = what_push(world, WHAT_BROKEN, arrival(world, visit));
		what->id = visit->attempt;
		return;
	}
	time += dff_engine_model_transfer_time(
	    from->model, pieces, from->domain == to->domain);
	what = what_push(world, WHAT_IMPORT, world->now + time);
	what->id = visit->attempt;
	what->place = visit->engine;
	what->count = pieces;
}

void
engine_import(world_t *world, const what_t *what)
{
	machine_t *machine = &world->machines[what->place];

	if (dff_engine_model_import(
		machine->model, what->id, what->count, world->now) == 0)
		engine_watch(world, what->place);
}

void
engine_submit(world_t *world, uint64_t attempt)
{
	visit_t *visit = g_hash_table_lookup(world->attempts, &attempt);

	if (visit == NULL)
		return;
	if (visit->engine >= world->load->engines) {
		submit_service(world, visit);
		return;
	}
	if (!take_request(world, visit)) {
		what_push(
		    world, WHAT_REJECTED, arrival(world, visit) + REFUSED_TIME)
		    ->id = attempt;
		return;
	}
	if (visit->phase == DFF_PHASE_DECODE)
		fetch_cache(world, visit);
	engine_watch(world, visit->engine);
}

void
engine_cancel(world_t *world, const what_t *what)
{
	machine_t *machine = &world->machines[what->place];

	if (machine->model == NULL || machine->withdrawn)
		return;
	dff_engine_model_cancel(machine->model, what->id, world->now);
	engine_watch(world, what->place);
}

/* ---- faults ---- */

static void
send_poison(world_t *world)
{
	request_t *request = g_new0(request_t, 1);
	const bench_shape_t *shape =
	    &g_array_index(world->load->shapes, bench_shape_t, 0);

	request->poison = true;
	request->prompt = (uint32_t)shape->prompt_mean;
	request->output = (uint32_t)shape->output_mean;
	request->entry =
	    (uint32_t)dff_catalogue_find_entry(world->cat, shape->entry);
	request->prefix = g_new0(uint64_t, 1);
	g_ptr_array_add(world->requests, request);
	callers_visit(world, world->requests->len - 1);
}

/* First the notice, then, on the second call, the end. */
static void
withdraw(world_t *world, const bench_fault_t *fault)
{
	machine_t *machine = &world->machines[fault->engine];

	if (!machine->vm.leaving) {
		machine->vm.leaving = true;
		what_push(world, WHAT_VMS, world->now + LIST_LAG);
		what_push(world, WHAT_FAULT, world->now + WITHDRAW_NOTICE)
		    ->place = (uint32_t)(fault -
		    (const bench_fault_t *)(const void *)
			world->load->faults->data);
		return;
	}
	dff_engine_model_crash(machine->model, world->now, world->out);
	give_all(world);
	machine->withdrawn = true;
	what_push(world, WHAT_VMS, world->now + LIST_LAG);
}

void
engine_fault(world_t *world, const bench_fault_t *fault)
{
	switch (fault->kind) {
	case BENCH_FAULT_WITHDRAW:
		withdraw(world, fault);
		return;
	case BENCH_FAULT_POISON:
		send_poison(world);
		return;
	case BENCH_FAULT_CRASH:
		dff_engine_model_crash(world->machines[fault->engine].model,
		    world->now, world->out);
		give_all(world);
		engine_watch(world, fault->engine);
		return;
	}
}

/* ---- changes of role ---- */

static void
mark(world_t *world, bool on)
{
	for (uint32_t i = 0; i < world->load->nodes; i++)
		dff_policy_set_drain(world->policy_ctx,
		    world->members[i].policy, world->rolling.change.vm, on);
}

void
engine_role_tick(world_t *world)
{
	rolling_t *rolling = &world->rolling;

	what_push(world, WHAT_ROLE_TICK, world->now + DFF_SEC);
	if (rolling->open ||
	    !dff_roles_propose(world->policy_ctx, world->roles, "", world->now,
		&rolling->change))
		return;
	rolling->open = true;
	rolling->ordered = false;
	rolling->since = world->now;
	rolling->engine =
	    (uint32_t)g_ascii_strtoull(rolling->change.vm + 1, NULL, 10);
	world->result->role_changes++;
	dff_roles_record_change(world->roles, &rolling->change, world->now);
	mark(world, true);
	what_push(world, WHAT_ROLE_LOOK, world->now + DRAIN_SEEN);
}

void
engine_role_look(world_t *world)
{
	rolling_t *rolling = &world->rolling;
	machine_t *machine = &world->machines[rolling->engine];
	dff_engine_state_t state;

	dff_engine_model_state(machine->model, &state);
	if (rolling->ordered && !state.reconfiguring) {
		mark(world, false);
		rolling->open = false;
		return;
	}
	if (world->now - rolling->since > DRAIN_MOST || machine->withdrawn) {
		mark(world, false);
		rolling->open = false;
		return;
	}
	if (!rolling->ordered && state.running == 0) {
		rolling->ordered =
		    dff_engine_model_order(machine->model, ++rolling->order, 1,
			DFF_ORDER_ROLE, dff_role_name(rolling->change.role),
			world->now, world->out) == DFF_ORDER_ACCEPTED;
		give_all(world);
		engine_watch(world, rolling->engine);
	}
	what_push(world, WHAT_ROLE_LOOK, world->now + DRAIN_LOOK);
}
