#include "fleet_state.h"

#include <math.h>
#include <string.h>

/* Moment at which a world starts; 0 stands for "never" in some places. */
#define START (1000 * DFF_SEC)

/* ---- events to come ---- */

static bool
before(const what_t *a, const what_t *b)
{
	if (a->at != b->at)
		return a->at < b->at;
	return a->order < b->order;
}

static what_t *
what_at(const world_t *world, guint i)
{
	return &g_array_index(world->whats, what_t, i);
}

static void
swap(world_t *world, guint a, guint b)
{
	what_t kept = *what_at(world, a);

	*what_at(world, a) = *what_at(world, b);
	*what_at(world, b) = kept;
}

what_t *
what_push(world_t *world, what_kind_t kind, dff_time_t at)
{
	what_t fresh = {.at = at, .kind = kind};
	guint i = world->whats->len;

	fresh.order = world->orders++;
	g_array_append_val(world->whats, fresh);
	while (
	    i > 0 && before(what_at(world, i), what_at(world, (i - 1) / 2))) {
		swap(world, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
	return what_at(world, i);
}

bool
what_pop(world_t *world, what_t *what)
{
	guint len = world->whats->len;
	guint i = 0;

	if (len == 0)
		return false;
	*what = *what_at(world, 0);
	*what_at(world, 0) = *what_at(world, --len);
	g_array_set_size(world->whats, len);
	while (2 * i + 1 < len) {
		guint child = 2 * i + 1;

		if (child + 1 < len &&
		    before(what_at(world, child + 1), what_at(world, child)))
			child++;
		if (!before(what_at(world, child), what_at(world, i)))
			break;
		swap(world, i, child);
		i = child;
	}
	return true;
}

/* ---- making a world ---- */

static bool
make_catalogue(world_t *world)
{
	dff_problem_t problem;
	size_t problems;
	uint32_t count;
	const char *text = world->load->catalogue;

	if (dff_catalogue_load(world->ctx, text, strlen(text), &problem, 1,
		&problems, &world->cat) != 0)
		return false;
	world->entries = dff_catalogue_entries(world->cat, &count);
	world->classes = dff_catalogue_classes(world->cat, &count);
	world->owners = dff_catalogue_owners(world->cat, &count);
	for (uint32_t i = 0; i < count; i++) {
		bench_share_t share = {0};

		(void)dff_name_copy(share.owner, world->owners[i].name);
		g_array_append_val(world->result->shares, share);
	}
	return true;
}

static dff_role_t
role_at_start(const bench_workload_t *load, uint32_t i)
{
	if (i < load->prefill_engines)
		return DFF_ROLE_PREFILL;
	if (i < load->prefill_engines + load->decode_engines)
		return DFF_ROLE_DECODE;
	return DFF_ROLE_MIXED;
}

static const char *
model_of(const world_t *world)
{
	const dff_pool_t *pools;
	uint32_t count;
	int pool;

	pools = dff_catalogue_pools(world->cat, &count);
	pool = dff_catalogue_find_pool(world->cat, world->load->engine_pool);
	return pool < 0 ? "" : pools[pool].model;
}

static void
make_machines(world_t *world)
{
	const bench_workload_t *load = world->load;
	dff_engine_config_t config = load->engine;

	(void)dff_name_copy(config.model, model_of(world));
	config.version = 0;
	world->machine_count = load->engines + load->services;
	world->machines = g_new0(machine_t, world->machine_count);
	for (uint32_t i = 0; i < world->machine_count; i++) {
		machine_t *machine = &world->machines[i];
		bool engine = i < load->engines;

		machine->domain = i % load->domains;
		machine->next = DFF_TIME_NEVER;
		(void)g_snprintf(machine->vm.id, sizeof(machine->vm.id),
		    "%c%04u", engine ? 'e' : 's', i);
		(void)g_snprintf(
		    machine->vm.addr, sizeof(machine->vm.addr), "%u", i);
		(void)g_snprintf(machine->vm.domain, sizeof(machine->vm.domain),
		    "d%u", machine->domain);
		(void)dff_name_copy(machine->vm.pool,
		    engine ? load->engine_pool : load->service_pool);
		machine->vm.kind = engine ? DFF_VM_ENGINE : DFF_VM_SERVICE;
		machine->vm.incarnation = 1;
		config.role = role_at_start(load, i);
		if (engine)
			machine->model = dff_engine_model_new(
			    world->ctx, &config, world->now);
	}
}

static void
make_members(world_t *world)
{
	dff_policy_config_t config = {0};

	config.kind = world->options.kind;
	config.features_off = world->options.parts_off;
	world->members = g_new0(member_t, world->load->nodes);
	for (uint32_t i = 0; i < world->load->nodes; i++) {
		member_t *member = &world->members[i];

		member->domain = i % world->load->domains;
		member->wake_at = DFF_TIME_NEVER;
		(void)g_snprintf(member->id, sizeof(member->id), "n%03u", i);
		(void)g_snprintf(config.domain, sizeof(config.domain), "d%u",
		    member->domain);
		member->policy = dff_policy_new(world->policy_ctx, &config);
		dff_policy_set_catalogue(
		    world->policy_ctx, member->policy, world->cat);
		dff_policy_set_visible_nodes(
		    member->policy, world->load->nodes, world->load->nodes);
		what_push(world, WHAT_BEAT,
		    world->now +
			(dff_time_t)(dff_rand_unit(world->ctx) *
			    (double)world->load->beat))
		    ->place = i;
	}
	world->roles = dff_roles_new(world->policy_ctx);
	dff_roles_set_catalogue(world->roles, world->cat);
}

static world_t *
world_new(const bench_workload_t *load, const bench_options_t *options)
{
	world_t *world = g_new0(world_t, 1);

	world->load = load;
	world->options = *options;
	world->ctx = dff_ctx_new(options->seed, DFF_LOG_ERR, NULL, NULL);
	world->policy_ctx =
	    dff_ctx_new(options->seed + 1, DFF_LOG_ERR, NULL, NULL);
	world->now = START;
	world->start = START;
	world->whats = g_array_new(FALSE, TRUE, sizeof(what_t));
	world->requests = g_ptr_array_new_with_free_func(g_free);
	world->visits = g_ptr_array_new_with_free_func(g_free);
	world->attempts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	world->prefixes_seen =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	world->out = g_array_new(FALSE, TRUE, sizeof(dff_engine_out_t));
	world->result = g_new0(bench_result_t, 1);
	world->result->shares = g_array_new(FALSE, TRUE, sizeof(bench_share_t));
	world->result->seconds =
	    g_array_new(FALSE, TRUE, sizeof(bench_second_t));
	return world;
}

static void
drop_told(told_t *told)
{
	if (told == NULL || --told->refs > 0)
		return;
	g_array_unref(told->work);
	g_array_unref(told->use);
	g_free(told);
}

static void
world_drop(world_t *world)
{
	for (guint i = 0; i < world->whats->len; i++)
		drop_told(what_at(world, i)->told);
	for (uint32_t i = 0; i < world->machine_count; i++)
		dff_engine_model_drop(world->machines[i].model);
	for (uint32_t i = 0; world->members != NULL && i < world->load->nodes;
	     i++)
		dff_policy_drop(world->members[i].policy);
	for (guint i = 0; i < world->requests->len; i++)
		g_free(((request_t *)g_ptr_array_index(world->requests, i))
			   ->prefix);
	dff_roles_drop(world->roles);
	g_free(world->members);
	g_free(world->machines);
	g_array_unref(world->whats);
	g_array_unref(world->out);
	g_ptr_array_unref(world->requests);
	g_ptr_array_unref(world->visits);
	g_hash_table_unref(world->attempts);
	g_hash_table_unref(world->prefixes_seen);
	dff_catalogue_drop(world->cat);
	dff_ctx_drop(world->ctx);
	dff_ctx_drop(world->policy_ctx);
	g_free(world);
}

/* ---- running it ---- */

static void
sample_second(world_t *world)
{
	bench_second_t *second = callers_second(world);

	for (guint i = 0; i < world->visits->len; i++) {
		const visit_t *visit = g_ptr_array_index(world->visits, i);

		if (visit->over)
			continue;
		if (visit->waiting)
			second->waiting++;
		else
			second->running++;
	}
	for (uint32_t i = 0; i < world->load->engines; i++) {
		dff_engine_state_t state;

		if (world->machines[i].withdrawn)
			continue;
		dff_engine_model_state(world->machines[i].model, &state);
		second->roles[state.role]++;
	}
	what_push(world, WHAT_SECOND, world->now + DFF_SEC);
}

static void
start(world_t *world)
{
	member_vms(world);
	what_push(world, WHAT_ARRIVE, world->now);
	what_push(world, WHAT_REPORTS, world->now);
	what_push(world, WHAT_CACHE, world->now);
	what_push(world, WHAT_SECOND, world->now + DFF_SEC / 2);
	if (world->options.roles)
		what_push(world, WHAT_ROLE_TICK, world->now + DFF_SEC);
	for (guint i = 0; i < world->load->faults->len; i++) {
		const bench_fault_t *fault;

		fault = &g_array_index(world->load->faults, bench_fault_t, i);
		what_push(world, WHAT_FAULT, world->start + fault->at)->place =
		    i;
	}
}

static void
step(world_t *world, const what_t *what)
{
	switch (what->kind) {
	case WHAT_ARRIVE:
		callers_arrive(world);
		return;
	case WHAT_VISIT:
		callers_visit(world, what->place);
		return;
	case WHAT_LEAVE:
		callers_leave(world, what->id);
		return;
	case WHAT_SUBMIT:
		engine_submit(world, what->id);
		return;
	case WHAT_CANCEL:
		engine_cancel(world, what);
		return;
	case WHAT_IMPORT:
		engine_import(world, what);
		return;
	case WHAT_ENGINE:
		engine_run(world, what->place);
		return;
	case WHAT_SERVICE:
		service_done(world, what);
		return;
	case WHAT_REJECTED:
	case WHAT_TOKENS:
	case WHAT_END:
	case WHAT_BROKEN:
		member_take(world, what);
		return;
	case WHAT_WAKE:
		member_pump(world, what->place);
		return;
	case WHAT_REPORTS:
		member_reports(world);
		return;
	case WHAT_CACHE:
		member_cache(world);
		return;
	case WHAT_BEAT:
		member_beat(world, what->place);
		return;
	case WHAT_TOLD:
		member_told(world, what);
		drop_told(what->told);
		return;
	case WHAT_VMS:
		member_vms(world);
		return;
	case WHAT_FAULT:
		engine_fault(world,
		    &g_array_index(
			world->load->faults, bench_fault_t, what->place));
		return;
	case WHAT_ROLE_TICK:
		engine_role_tick(world);
		return;
	case WHAT_ROLE_LOOK:
		engine_role_look(world);
		return;
	case WHAT_SECOND:
		sample_second(world);
		return;
	}
}

bench_result_t *
bench_fleet_run(const bench_workload_t *load, const bench_options_t *options)
{
	world_t *world = world_new(load, options);
	bench_result_t *result = world->result;
	dff_time_t end;
	what_t what;

	if (!make_catalogue(world)) {
		world_drop(world);
		bench_result_drop(result);
		return NULL;
	}
	make_machines(world);
	make_members(world);
	start(world);
	end = world->start + load->length;
	while (what_pop(world, &what) && what.at <= end) {
		world->now = what.at;
		step(world, &what);
	}
	drop_told(what.at > end ? what.told : NULL);
	callers_account(world);
	world_drop(world);
	return result;
}

void
bench_result_drop(bench_result_t *result)
{
	if (result == NULL)
		return;
	g_array_unref(result->shares);
	g_array_unref(result->seconds);
	g_free(result);
}

double
bench_result_quantile(const uint32_t *counts, double quantile)
{
	double total = 0;
	double sum = 0;

	for (int i = 0; i < BENCH_TIME_BUCKETS; i++)
		total += counts[i];
	for (int i = 0; i < BENCH_TIME_BUCKETS; i++) {
		sum += counts[i];
		if (total > 0 && sum >= quantile * total)
			return exp2((i + 0.5) / 16) / (double)DFF_MSEC;
	}
	return 0;
}

double
bench_result_goodput(const bench_result_t *result)
{
	return result->bound.requests > 0 ?
	    result->good / result->bound.requests :
	    0;
}

double
bench_result_fairness(const bench_result_t *result)
{
	double sum = 0;
	double squares = 0;
	double count = 0;

	for (guint i = 0; i < result->shares->len; i++) {
		const bench_share_t *share;
		double part;

		share = &g_array_index(result->shares, bench_share_t, i);
		if (share->offered == 0)
			continue;
		part = (double)share->good / share->offered;
		sum += part;
		squares += part * part;
		count += 1;
	}
	return squares > 0 ? sum * sum / (count * squares) : 1;
}
