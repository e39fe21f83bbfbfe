/*
 * Entry nodes: each has a policy, carries out what it decides, and tells
 * the others at each beat what it has sent.
 */
#include <string.h>

#include "fleet_state.h"

/* Rows that a node tells at a beat. */
#define TOLD_MAX 4096
/* Crashes under a request after which it is refused. */
#define POISON_CRASHES 2
/* Time that the news of a change in the VM list takes. */
#define SILENT_RETRY (1 * DFF_SEC)

static uint32_t
machine_of(const world_t *world, const char *vm)
{
	uint32_t index = (uint32_t)g_ascii_strtoull(vm + 1, NULL, 10);

	g_assert(index < world->machine_count);
	return index;
}

static void
send_try(world_t *world, visit_t *visit, uint32_t machine, uint32_t cached)
{
	dff_policy_call_t work = visit->work;

	visit->engine = machine;
	visit->attempt = ++world->attempt_count;
	visit->link_until = 0;
	visit->told = 0;
	g_hash_table_insert(world->attempts,
	    g_memdup2(&visit->attempt, sizeof(visit->attempt)), visit);
	if (visit->phase == DFF_PHASE_PREFILL)
		work.max_tokens = work.delivered;
	dff_policy_begin_attempt(world->policy_ctx,
	    world->members[visit->node].policy, visit->attempt, &work,
	    world->machines[machine].vm.id, cached, world->now);
	what_push(world, WHAT_SUBMIT,
	    world->now + engine_link(world, visit->node, machine))
	    ->id = visit->attempt;
}

static void
carry_out(world_t *world, visit_t *visit, const dff_decision_t *decision)
{
	world->result->decisions++;
	visit->waiting = false;
	switch (decision->kind) {
	case DFF_DECISION_WAIT:
		visit->waiting = true;
		return;
	case DFF_DECISION_REFUSE:
		callers_refused(world, visit, decision->retry_after);
		return;
	case DFF_DECISION_RUN:
		break;
	}
	visit->work.attempts++;
	visit->phase = DFF_PHASE_WHOLE;
	if (decision->prefill_vm[0] != '\0') {
		visit->phase = DFF_PHASE_PREFILL;
		visit->decode_engine = machine_of(world, decision->vm);
		send_try(world, visit, machine_of(world, decision->prefill_vm),
		    decision->cached_tokens);
		return;
	}
	send_try(world, visit, machine_of(world, decision->vm),
	    decision->cached_tokens);
}

static void
set_wake(world_t *world, uint32_t node)
{
	member_t *member = &world->members[node];
	dff_time_t at = dff_policy_next_check(member->policy, world->now);

	if (at == DFF_TIME_NEVER || at >= member->wake_at)
		return;
	member->wake_at = MAX(at, world->now + 1);
	what_push(world, WHAT_WAKE, member->wake_at)->place = node;
}

void
member_pump(world_t *world, uint32_t node)
{
	member_t *member = &world->members[node];
	dff_decision_t decision;

	if (member->wake_at <= world->now)
		member->wake_at = DFF_TIME_NEVER;
	while (dff_policy_decide_next(
	    world->policy_ctx, member->policy, world->now, &decision))
		carry_out(world,
		    g_ptr_array_index(world->visits, decision.call), &decision);
	set_wake(world, node);
}

void
member_offer(world_t *world, visit_t *visit)
{
	const request_t *request =
	    g_ptr_array_index(world->requests, visit->request);
	dff_decision_t decision;

	if (request->crashes >= POISON_CRASHES ||
	    visit->work.attempts >= TRIES_MAX) {
		world->result->failed += request->counted;
		callers_refused(world, visit, 0);
		return;
	}
	visit->work.suspect = request->crashes > 0;
	dff_policy_offer(world->policy_ctx, world->members[visit->node].policy,
	    &visit->work, world->now, &decision);
	carry_out(world, visit, &decision);
	member_pump(world, visit->node);
}

void
member_end_try(world_t *world, visit_t *visit, dff_attempt_outcome_t outcome,
    const dff_ev_attempt_end_t *usage)
{
	dff_policy_end_attempt(world->policy_ctx,
	    world->members[visit->node].policy, visit->attempt, outcome, usage,
	    world->now);
	g_hash_table_remove(world->attempts, &visit->attempt);
	visit->attempt = 0;
}

void
member_cancel(world_t *world, visit_t *visit)
{
	what_t *what;

	if (visit->waiting)
		dff_policy_remove_waiting(
		    world->members[visit->node].policy, visit->id);
	visit->waiting = false;
	if (visit->attempt == 0)
		return;
	what = what_push(world, WHAT_CANCEL,
	    world->now + engine_link(world, visit->node, visit->engine));
	what->place = visit->engine;
	what->id = visit->attempt;
	member_end_try(world, visit, DFF_ATTEMPT_CANCELLED, NULL);
	member_pump(world, visit->node);
}

static void
take_tokens(world_t *world, visit_t *visit, uint32_t count)
{
	if (visit->work.delivered == 0)
		visit->first_at = world->now;
	visit->work.delivered += count;
	dff_policy_add_tokens(world->policy_ctx,
	    world->members[visit->node].policy, visit->attempt, count,
	    world->now);
}

static void
take_end(world_t *world, visit_t *visit, const dff_engine_out_t *out)
{
	dff_ev_attempt_end_t usage = {0};

	usage.prompt_tokens = out->prompt_tokens;
	usage.cached_tokens = out->cached_tokens;
	usage.output_tokens = out->output_tokens;
	visit->kv_attempt = visit->attempt;
	visit->kv_engine = visit->engine;
	member_end_try(world, visit, DFF_ATTEMPT_DONE, &usage);
	if (visit->phase != DFF_PHASE_PREFILL) {
		callers_done(world, visit);
		return;
	}
	visit->phase = DFF_PHASE_DECODE;
	send_try(world, visit, visit->decode_engine, visit->work.prompt_tokens);
}

static void
try_again(world_t *world, visit_t *visit, dff_attempt_outcome_t outcome)
{
	member_end_try(world, visit, outcome, NULL);
	(void)dff_name_copy(
	    visit->work.avoid_vm, world->machines[visit->engine].vm.id);
	member_offer(world, visit);
}

void
member_take(world_t *world, const what_t *what)
{
	visit_t *visit = g_hash_table_lookup(world->attempts, &what->id);
	request_t *request;

	if (visit == NULL)
		return;
	request = g_ptr_array_index(world->requests, visit->request);
	switch (what->kind) {
	case WHAT_TOKENS:
		take_tokens(world, visit, what->count);
		break;
	case WHAT_END:
		take_end(world, visit, &what->out);
		break;
	case WHAT_REJECTED:
		try_again(world, visit, DFF_ATTEMPT_REJECTED);
		break;
	case WHAT_BROKEN:
		if (!request->service)
			request->crashes++;
		try_again(world, visit, DFF_ATTEMPT_BROKEN);
		break;
	default:
		return;
	}
	member_pump(world, visit->node);
}

/* ---- what nodes tell each other ---- */

static told_t *
tell(const world_t *world, uint32_t node)
{
	const dff_policy_t *policy = world->members[node].policy;
	told_t *told = g_new0(told_t, 1);

	told->refs = 1;
	told->from = node;
	told->work = g_array_new(FALSE, TRUE, sizeof(dff_upstream_load_t));
	told->use = g_array_new(FALSE, TRUE, sizeof(dff_owner_use_t));
	g_array_set_size(told->work, TOLD_MAX);
	g_array_set_size(told->use, TOLD_MAX);
	g_array_set_size(told->work,
	    (guint)dff_policy_list_loads(policy,
		(dff_upstream_load_t *)(void *)told->work->data, TOLD_MAX));
	g_array_set_size(told->use,
	    (guint)dff_policy_list_owner_uses(
		policy, (dff_owner_use_t *)(void *)told->use->data, TOLD_MAX));
	return told;
}

static dff_time_t
peer_link(world_t *world, uint32_t from, uint32_t to)
{
	if (world->members[from].domain == world->members[to].domain)
		return DFF_MSEC / 2;
	return world->load->link;
}

void
member_beat(world_t *world, uint32_t node)
{
	told_t *told = tell(world, node);

	for (uint32_t i = 0; i < world->load->nodes; i++) {
		bool far =
		    world->members[i].domain != world->members[node].domain;
		what_t *what;

		if (i == node ||
		    (far && dff_rand_unit(world->ctx) < world->load->link_loss))
			continue;
		what = what_push(
		    world, WHAT_TOLD, world->now + peer_link(world, node, i));
		what->place = i;
		what->told = told;
		told->refs++;
	}
	if (--told->refs == 0) {
		g_array_unref(told->work);
		g_array_unref(told->use);
		g_free(told);
	}
	what_push(world, WHAT_BEAT, world->now + world->load->beat)->place =
	    node;
}

void
member_told(world_t *world, const what_t *what)
{
	dff_policy_t *policy = world->members[what->place].policy;
	const told_t *told = what->told;
	const char *from = world->members[told->from].id;

	for (guint i = 0; i < told->work->len; i++) {
		const dff_upstream_load_t *row;

		row = &g_array_index(told->work, dff_upstream_load_t, i);
		dff_policy_set_peer_load(world->policy_ctx, policy, from,
		    row->vm, row->running, row->prefill_tokens,
		    row->decode_tokens, world->now);
	}
	for (guint i = 0; i < told->use->len; i++) {
		const dff_owner_use_t *row;

		row = &g_array_index(told->use, dff_owner_use_t, i);
		dff_policy_set_peer_use(world->policy_ctx, policy, from,
		    row->owner, row->entry, row->running, row->waiting,
		    row->rate, world->now);
	}
	member_pump(world, what->place);
}

static void
report_one(world_t *world, const machine_t *machine)
{
	dff_engine_report_t said;
	dff_ev_engine_report_t report = {0};

	if (!dff_engine_model_up(machine->model))
		return;
	dff_engine_model_report(machine->model, world->now, &said);
	report.vm = machine->vm.id;
	report.incarnation = said.incarnation;
	report.sampled_at = said.sampled_at;
	report.role = said.role;
	report.reconfiguring = said.reconfiguring;
	report.model = said.model;
	report.version = said.version;
	report.running = said.running;
	report.waiting = said.waiting;
	report.backlog_tokens = said.backlog_tokens;
	report.free_pieces = said.free_pieces;
	report.total_pieces = world->load->engine.pieces;
	report.token_us = said.token_us;
	report.prefill_us = world->load->engine.prefill_us;
	report.fence = said.fence;
	for (uint32_t i = 0; i < world->load->nodes; i++)
		dff_policy_apply_report(world->policy_ctx,
		    world->members[i].policy, &report, world->now);
	dff_roles_apply_report(
	    world->policy_ctx, world->roles, &report, world->now);
}

void
member_reports(world_t *world)
{
	for (uint32_t i = 0; i < world->load->engines; i++)
		if (!world->machines[i].withdrawn)
			report_one(world, &world->machines[i]);
	for (uint32_t i = 0; i < world->load->nodes; i++)
		member_pump(world, i);
	what_push(world, WHAT_REPORTS, world->now + world->load->report_every);
}

static void
cache_one(world_t *world, machine_t *machine)
{
	GArray *stored = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	dff_ev_engine_cache_t cache = {.vm = machine->vm.id};

	machine->cache_seen = dff_engine_model_cache_events(machine->model,
	    machine->cache_seen, world->now, stored, evicted, &cache.gap);
	cache.stored = (const uint64_t *)(const void *)stored->data;
	cache.stored_count = stored->len;
	cache.evicted = (const uint64_t *)(const void *)evicted->data;
	cache.evicted_count = evicted->len;
	for (uint32_t i = 0; i < world->load->nodes; i++)
		dff_policy_apply_cache_events(world->policy_ctx,
		    world->members[i].policy, &cache, world->now);
	g_array_unref(stored);
	g_array_unref(evicted);
}

void
member_cache(world_t *world)
{
	for (uint32_t i = 0; i < world->load->engines; i++)
		if (!world->machines[i].withdrawn)
			cache_one(world, &world->machines[i]);
	what_push(world, WHAT_CACHE, world->now + DFF_SEC);
}

void
member_vms(world_t *world)
{
	dff_vm_t *vms = g_new0(dff_vm_t, world->machine_count);
	size_t count = 0;

	for (uint32_t i = 0; i < world->machine_count; i++)
		if (!world->machines[i].withdrawn)
			vms[count++] = world->machines[i].vm;
	for (uint32_t i = 0; i < world->load->nodes; i++)
		dff_policy_set_vms(world->policy_ctx, world->members[i].policy,
		    vms, count, world->now);
	dff_roles_set_vms(world->roles, vms, count, world->now);
	g_free(vms);
}
