/*
 * Callers: they arrive, leave, and come back after a refusal.
 */
#include <math.h>
#include <string.h>

#include "fleet_state.h"

/* Pause before a caller whose answer came too late asks again. */
#define LATE_PAUSE (1 * DFF_SEC)

bench_second_t *
callers_second(world_t *world)
{
	guint second = (guint)((world->now - world->start) / DFF_SEC);

	if (world->result->seconds->len <= second)
		g_array_set_size(world->result->seconds, second + 1);
	return &g_array_index(world->result->seconds, bench_second_t, second);
}

static double
normal(dff_ctx_t *ctx)
{
	double u = MAX(dff_rand_unit(ctx), 1e-12);

	return sqrt(-2 * log(u)) * cos(2 * M_PI * dff_rand_unit(ctx));
}

/* A lognormal number with the mean asked for. */
static uint32_t
draw_length(dff_ctx_t *ctx, double mean, double spread, uint32_t most)
{
	double value;

	value = mean * exp(spread * normal(ctx) - spread * spread / 2);
	return (uint32_t)CLAMP(value, 1, most);
}

static uint32_t
draw_shape(world_t *world, const bench_phase_t *phase)
{
	double total = 0;
	double at;

	for (guint i = 0; i < phase->mix->len; i++)
		total += g_array_index(phase->mix, double, i);
	at = dff_rand_unit(world->ctx) * total;
	for (guint i = 0; i < phase->mix->len; i++) {
		at -= g_array_index(phase->mix, double, i);
		if (at < 0)
			return i;
	}
	return 0;
}

static void
make_prefix(world_t *world, request_t *request, const bench_shape_t *shape)
{
	uint32_t shared;
	uint64_t hash;

	request->prefix_count =
	    MIN(request->prompt / DFF_PIECE_TOKENS, DFF_PREFIX_BLOCKS_MAX);
	request->prefix = g_new0(uint64_t, request->prefix_count + 1);
	shared = shape->prefix_tokens / DFF_PIECE_TOKENS;
	hash = dff_hash(shape->name, strlen(shape->name),
	    dff_rand_below(world->ctx, shape->prefixes));
	for (uint32_t i = 0; i < request->prefix_count; i++) {
		uint64_t salt = 0;

		if (i >= shared)
			salt = world->requests->len + 1;
		hash = dff_hash(&salt, sizeof(salt), hash);
		request->prefix[i] = hash;
	}
}

static uint32_t
add_request(world_t *world, request_t *request)
{
	g_ptr_array_add(world->requests, request);
	return world->requests->len - 1;
}

static uint32_t
draw_request(world_t *world, const bench_phase_t *phase)
{
	request_t *request = g_new0(request_t, 1);
	const bench_shape_t *shape;
	const dff_entry_t *entry;
	int index;

	request->shape = draw_shape(world, phase);
	shape =
	    &g_array_index(world->load->shapes, bench_shape_t, request->shape);
	index = dff_catalogue_find_entry(world->cat, shape->entry);
	g_assert(index >= 0);
	request->entry = (uint32_t)index;
	entry = &world->entries[index];
	request->prompt = draw_length(world->ctx, shape->prompt_mean,
	    shape->prompt_spread, entry->max_prompt_tokens);
	request->output = draw_length(world->ctx, shape->output_mean,
	    shape->output_spread, entry->max_output_tokens);
	make_prefix(world, request, shape);
	request->seconds = bench_fluid_seconds(
	    &world->load->engine, request->prompt, request->output);
	return add_request(world, request);
}

static uint32_t
draw_service_request(world_t *world)
{
	request_t *request;
	uint32_t count;

	(void)dff_catalogue_entries(world->cat, &count);
	for (uint32_t i = 0; i < count; i++) {
		if (world->entries[i].path[0] == '\0' ||
		    !world->entries[i].may_repeat)
			continue;
		request = g_new0(request_t, 1);
		request->entry = i;
		request->service = true;
		request->prompt = 1;
		return add_request(world, request);
	}
	return 0;
}

void
callers_arrive(world_t *world)
{
	const bench_phase_t *phase;
	double rate;
	double all;

	phase = bench_workload_phase(world->load, world->now - world->start);
	rate = bench_workload_rate(world->load, phase);
	all = rate + world->load->service_rate;
	if (world->now > world->start) {
		bool service = dff_rand_unit(world->ctx) * all > rate;

		callers_visit(world,
		    service ? draw_service_request(world) :
			      draw_request(world, phase));
	}
	what_push(world, WHAT_ARRIVE,
	    world->now +
		(dff_time_t)(-log(MAX(dff_rand_unit(world->ctx), 1e-12)) / all *
		    (double)DFF_SEC) +
		1);
}

/* Whether a request counts: neither warming up nor cut by the end. */
static bool
counts(const world_t *world)
{
	dff_time_t at = world->now - world->start;

	return at >= world->load->warm &&
	    at < world->load->length - world->load->warm;
}

static bench_share_t *
share_of(world_t *world, const request_t *request)
{
	return &g_array_index(world->result->shares, bench_share_t,
	    world->entries[request->entry].owner);
}

static void
first_visit(world_t *world, request_t *request)
{
	bench_second_t *second = callers_second(world);

	second->offered++;
	second->prompt_tokens += request->prompt;
	second->output_tokens += request->output;
	request->counted = counts(world);
	if (!request->counted)
		return;
	world->result->offered++;
	world->result->offered_seconds += request->seconds;
	share_of(world, request)->offered++;
}

void
callers_visit(world_t *world, uint32_t index)
{
	request_t *request = g_ptr_array_index(world->requests, index);
	const dff_entry_t *entry = &world->entries[request->entry];
	visit_t *visit = g_new0(visit_t, 1);

	if (request->visits++ == 0)
		first_visit(world, request);
	visit->id = world->visits->len;
	visit->request = index;
	visit->node = dff_rand_below(world->ctx, world->load->nodes);
	visit->work.handle = visit->id;
	visit->work.entry = request->entry;
	visit->work.arrived_at = world->now;
	visit->work.prompt_tokens = request->prompt;
	visit->work.max_tokens = entry->max_output_tokens;
	visit->work.body_hash = index + 1;
	visit->work.prefix = request->prefix;
	visit->work.prefix_count = request->prefix_count;
	g_ptr_array_add(world->visits, visit);
	what_push(
	    world, WHAT_LEAVE, world->now + world->classes[entry->cls].whole)
	    ->id = visit->id;
	member_offer(world, visit);
}

static void
come_back(world_t *world, const visit_t *visit, dff_time_t pause)
{
	const request_t *request =
	    g_ptr_array_index(world->requests, visit->request);

	if (request->visits > world->load->retries || request->good)
		return;
	what_push(world, WHAT_VISIT, world->now + pause)->place =
	    visit->request;
}

static void
count_time(uint32_t *counts_of, dff_time_t time)
{
	int bucket = (int)(log2((double)MAX(time, 1)) * 16);

	counts_of[CLAMP(bucket, 0, BENCH_TIME_BUCKETS - 1)]++;
}

/* A call ran for nothing: note it, and why. */
static void
note_late(world_t *world, const visit_t *visit)
{
	const request_t *request =
	    g_ptr_array_index(world->requests, visit->request);
	const dff_class_t *cls =
	    &world->classes[world->entries[request->entry].cls];

	callers_second(world)->late++;
	if (request->counted) {
		world->result->late++;
		if (visit->first_at == 0 ||
		    visit->first_at - visit->work.arrived_at > cls->first_token)
			world->result->late_first++;
		else if (visit->gap > cls->token_gap)
			world->result->late_gap++;
	}
	world->result->wasted_seconds += visit->spent;
	come_back(world, visit, LATE_PAUSE);
}

void
callers_done(world_t *world, visit_t *visit)
{
	request_t *request = g_ptr_array_index(world->requests, visit->request);
	const dff_class_t *cls =
	    &world->classes[world->entries[request->entry].cls];
	dff_time_t first = visit->first_at - visit->work.arrived_at;
	bool good;

	visit->over = true;
	if (request->service)
		first = world->now - visit->work.arrived_at;
	good = first <= cls->first_token && visit->gap <= cls->token_gap &&
	    world->now - visit->work.arrived_at <= cls->whole;
	if (request->counted && !request->service) {
		count_time(world->result->first_count, first);
		count_time(world->result->gap_count, visit->gap);
	}
	if (!good) {
		note_late(world, visit);
		return;
	}
	callers_second(world)->good++;
	request->good = true;
	if (!request->counted)
		return;
	world->result->good++;
	world->result->good_seconds += request->seconds;
	share_of(world, request)->good++;
	share_of(world, request)->good_seconds += request->seconds;
}

void
callers_refused(world_t *world, visit_t *visit, dff_time_t retry_after)
{
	const request_t *request =
	    g_ptr_array_index(world->requests, visit->request);

	visit->over = true;
	callers_second(world)->refused++;
	if (request->counted) {
		world->result->refused++;
		world->result->refused_blank += retry_after == 0;
	}
	world->result->wasted_seconds += visit->spent;
	come_back(world, visit, retry_after > 0 ? retry_after : LATE_PAUSE);
}

void
callers_leave(world_t *world, uint64_t id)
{
	visit_t *visit = g_ptr_array_index(world->visits, id);

	if (visit->over)
		return;
	member_cancel(world, visit);
	visit->over = true;
	note_late(world, visit);
}

static void
add_demand(world_t *world, GArray *demands, const request_t *request,
    dff_time_t arrived)
{
	const dff_class_t *cls =
	    &world->classes[world->entries[request->entry].cls];
	bench_demand_t demand = {.at = arrived};
	uint32_t cached = 0;

	/* A prefix that was ever seen before may be cached for nothing. */
	for (uint32_t i = 0; i < request->prefix_count; i++) {
		if (g_hash_table_contains(
			world->prefixes_seen, &request->prefix[i]))
			cached += DFF_PIECE_TOKENS;
		else
			g_hash_table_add(world->prefixes_seen,
			    g_memdup2(&request->prefix[i], sizeof(uint64_t)));
	}
	if (!request->counted)
		return;
	demand.prompt = MAX((double)request->prompt - cached, 1);
	demand.output = request->output;
	demand.pieces = ceil(
	    ((double)request->prompt + request->output) / DFF_PIECE_TOKENS);
	demand.first = cls->first_token;
	demand.whole = cls->whole;
	g_array_append_val(demands, demand);
}

void
callers_account(world_t *world)
{
	GArray *demands = g_array_new(FALSE, TRUE, sizeof(bench_demand_t));
	uint32_t services = 0;

	for (guint i = 0; i < world->visits->len; i++) {
		const visit_t *visit = g_ptr_array_index(world->visits, i);
		request_t *request =
		    g_ptr_array_index(world->requests, visit->request);

		/* Each request once, by its first visit. */
		if (request->visits == 0)
			continue;
		request->visits = 0;
		if (request->service)
			services += request->counted;
		else
			add_demand(
			    world, demands, request, visit->work.arrived_at);
	}
	world->result->bound = bench_fluid_bound(&world->load->engine,
	    world->load->engines, (bench_demand_t *)(void *)demands->data,
	    demands->len, world->load->retries > 0);
	world->result->bound.requests += services;
	g_array_unref(demands);
}
