#include "scaling_sim.h"

#include <check.h>
#include <math.h>
#include <string.h>

#define START	 (1000 * DFF_SEC)
#define TICK	 (100 * DFF_MSEC)
#define DRAIN	 (2 * DFF_SEC)
#define WAIT_MAX (250 * DFF_MSEC)
/* Prompt tokens that an upstream reads in a second. */
#define SPEED	 60000.0
#define MAX_HERE 70

static const dff_scaling_t bounds = {.enabled = true,
    .min = SCALING_SIM_MIN,
    .max = MAX_HERE,
    .boot_time = SCALING_SIM_BOOT,
    .reclaimable_price = 0.22,
    .prices = {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}, {"d", 0.9}},
    .price_count = SCALING_SIM_DOMAINS};

typedef struct server {
	uint32_t domain;
	scaling_kind_t kind;
	dff_time_t serves_at;
	dff_time_t leaves_at; /* DFF_TIME_NEVER while it stays */
	bool leaving;
} server_t;

/* An order on its way. */
typedef struct call {
	uint64_t number;
	uint32_t domain;
	scaling_kind_t kind;
	uint32_t count;
	dff_time_t done_at; /* when it is carried out */
	dff_time_t answered_at;
	dff_order_result_t result;
	bool answered;
	bool done;
} call_t;

static void
add_server(
    scaling_sim_t *world, uint32_t domain, scaling_kind_t kind, dff_time_t at)
{
	server_t server = {.domain = domain,
	    .kind = kind,
	    .serves_at = at,
	    .leaves_at = DFF_TIME_NEVER};

	g_array_append_val(world->servers, server);
}

uint32_t
scaling_sim_count(
    const scaling_sim_t *world, uint32_t domain, int kind, bool serving)
{
	uint32_t found = 0;

	for (guint i = 0; i < world->servers->len; i++) {
		const server_t *server =
		    &g_array_index(world->servers, server_t, i);

		found += server->domain == domain && !server->leaving &&
		    (kind < 0 || (int)server->kind == kind) &&
		    (!serving || server->serves_at <= world->now);
	}
	return found;
}

uint32_t
scaling_sim_serving(const scaling_sim_t *world)
{
	uint32_t found = 0;

	for (uint32_t d = 0; d < SCALING_SIM_DOMAINS; d++)
		found += scaling_sim_count(world, d, -1, true);
	return found;
}

scaling_sim_t *
scaling_sim_new(void)
{
	scaling_sim_t *world = g_new0(scaling_sim_t, 1);

	world->scaling = scaling_new(1);
	world->servers = g_array_new(FALSE, FALSE, sizeof(server_t));
	world->calls = g_array_new(FALSE, FALSE, sizeof(call_t));
	world->rng = g_rand_new_with_seed(1);
	world->now = START;
	world->factor = 1;
	world->fewest = UINT32_MAX;
	for (uint32_t d = 0; d < SCALING_SIM_DOMAINS; d++) {
		for (int i = 0; i < SCALING_SIM_WHOLE; i++)
			add_server(world, d, SCALING_REGULAR, START);
	}
	return world;
}

void
scaling_sim_drop(scaling_sim_t *world)
{
	scaling_drop(world->scaling);
	g_array_unref(world->servers);
	g_array_unref(world->calls);
	g_rand_free(world->rng);
	g_free(world);
}

/* Upstreams that the load keeps busy at a moment: a wave, and a mix that
 * alternates. */
static double
load_at(const scaling_sim_t *world)
{
	double at = (double)(world->now - START) / DFF_SEC;
	double mix = fmod(at, 5.6) < 2.8 ? 1.2 : 0.85;

	if (world->idle)
		return 0;
	return 12 * mix * world->factor *
	    (1 + 0.27 * sin(2 * G_PI * at / 11.0));
}

void
scaling_sim_view(const scaling_sim_t *world, scaling_view_t *view)
{
	scaling_load_t pool = {0};
	uint32_t serving = scaling_sim_serving(world);
	double load = load_at(world);

	/* Work beyond what they can do is refused, and not counted. */
	pool.roles[DFF_ROLE_MIXED] = (scaling_role_t){.upstreams = serving,
	    .slots = serving * 48,
	    .running = (uint32_t)ceil(load * 2)};
	pool.speed = serving * SPEED;
	pool.reading = MIN(load, serving) * SPEED;
	*view = (scaling_view_t){.bounds = &bounds,
	    .need = scaling_demand_need(&pool),
	    .loaded = load > 0,
	    .keeps_parts = load > 0};
	for (uint32_t d = 0; d < SCALING_SIM_DOMAINS; d++) {
		scaling_domain_t *domain =
		    scaling_view_domain(view, bounds.prices[d].domain);

		for (int kind = 0; kind < SCALING_KIND_COUNT; kind++)
			domain->listed[kind] =
			    scaling_sim_count(world, d, kind, true);
	}
}

/* Whatever is ordered, the bounds hold and no domain has two orders in
 * flight. */
static void
check_order(
    const scaling_sim_t *world, const scaling_order_t *order, uint32_t domain)
{
	uint32_t other =
	    scaling_sim_count(world, domain, 1 - (int)order->kind, false);

	ck_assert_uint_le(order->count, MAX_HERE);
	ck_assert_uint_le(order->count + other, MAX_HERE);
	if (order->why[0] != 'u')
		ck_assert_uint_ge(order->count + other, SCALING_SIM_MIN);
	for (guint i = 0; i < world->calls->len; i++) {
		const call_t *call = &g_array_index(world->calls, call_t, i);

		ck_assert_msg(call->answered || call->domain != domain,
		    "two orders in flight");
	}
}

static void
send_order(scaling_sim_t *world, const scaling_order_t *order)
{
	call_t call = {.number = order->number,
	    .kind = order->kind,
	    .count = order->count,
	    .done_at = world->now + 100 * DFF_MSEC,
	    .answered_at = world->now + 100 * DFF_MSEC};

	while (strcmp(bounds.prices[call.domain].domain, order->domain) != 0)
		call.domain++;
	check_order(world, order, call.domain);
	world->orders++;
	world->orders_for_fewer += strcmp(order->why, "too_many") == 0;
	if (g_rand_double(world->rng) < world->refused_share) {
		call.result = DFF_ORDERED_TOO_MANY;
		call.done = true;
	} else if (g_rand_double(world->rng) < world->lost_share) {
		call.result = DFF_ORDERED_UNANSWERED;
		call.answered_at = world->now + DFF_SEC;
		call.done_at = world->now +
		    g_rand_int_range(world->rng, 1, 6000) * DFF_MSEC;
	}
	g_array_append_val(world->calls, call);
}

static void
carry_out(scaling_sim_t *world, call_t *call)
{
	uint32_t there =
	    scaling_sim_count(world, call->domain, (int)call->kind, false);

	call->done = true;
	if (call->count > there && call->kind == SCALING_RECLAIMABLE &&
	    world->now < world->dry_until[call->domain]) {
		if (call->result == DFF_ORDERED_ACCEPTED)
			call->result = DFF_ORDERED_NONE_AVAILABLE;
		return;
	}
	for (; there < call->count; there++)
		add_server(world, call->domain, call->kind,
		    world->now + SCALING_SIM_BOOT);
	for (guint i = world->servers->len; i-- > 0 && there > call->count;) {
		server_t *server = &g_array_index(world->servers, server_t, i);

		if (server->domain != call->domain ||
		    server->kind != call->kind || server->leaving)
			continue;
		server->leaving = true;
		server->leaves_at = world->now + DRAIN;
		there--;
	}
}

static void
run_calls(scaling_sim_t *world)
{
	for (guint i = 0; i < world->calls->len; i++) {
		call_t *call = &g_array_index(world->calls, call_t, i);

		if (!call->done && world->now >= call->done_at)
			carry_out(world, call);
		if (call->answered || world->now < call->answered_at)
			continue;
		call->answered = true;
		ck_assert(scaling_note_result(
		    world->scaling, call->number, call->result, world->now));
	}
}

static void
serve(scaling_sim_t *world)
{
	double serving = scaling_sim_serving(world);
	double tick = (double)TICK / DFF_SEC;
	double work = load_at(world) * tick;

	for (guint i = world->servers->len; i-- > 0;) {
		const server_t *server =
		    &g_array_index(world->servers, server_t, i);

		if (world->now >= server->leaves_at)
			g_array_remove_index_fast(world->servers, i);
		else {
			world->seconds += tick;
			world->price += tick *
			    bounds.prices[server->domain].price *
			    (server->kind == SCALING_RECLAIMABLE ?
				    bounds.reclaimable_price :
				    1);
		}
	}
	world->fewest = MIN(world->fewest, scaling_sim_serving(world));
	world->work += work;
	world->queue = MAX(world->queue + work - serving * tick, 0);
	/* Requests arrive by chance: queues form before all are busy. */
	if (serving == 0 ||
	    world->queue / serving > (double)WAIT_MAX / DFF_SEC ||
	    work > 0.85 * serving * tick)
		world->late += work;
}

void
scaling_sim_run(scaling_sim_t *world, dff_time_t time)
{
	for (dff_time_t until = world->now + time; world->now < until;
	     world->now += TICK) {
		scaling_view_t view;
		scaling_order_t order;

		run_calls(world);
		scaling_sim_view(world, &view);
		if (world->now == START)
			scaling_begin(world->scaling, &view);
		scaling_observe(world->scaling, &view, world->now);
		while (scaling_next_order(
		    world->scaling, &view, world->now, &order))
			send_order(world, &order);
		serve(world);
	}
}

double
scaling_sim_late_share(const scaling_sim_t *world)
{
	return world->late / world->work;
}

void
scaling_sim_reclaim(scaling_sim_t *world, uint32_t domain, dff_time_t dry)
{
	for (guint i = 0; i < world->servers->len; i++) {
		server_t *server = &g_array_index(world->servers, server_t, i);

		if (server->domain != domain ||
		    server->kind != SCALING_RECLAIMABLE || server->leaving)
			continue;
		server->leaving = true;
		server->leaves_at = world->now + DRAIN;
	}
	world->dry_until[domain] = world->now + dry;
}

uint32_t
scaling_sim_regular(const scaling_sim_t *world)
{
	uint32_t found = 0;

	for (uint32_t d = 0; d < SCALING_SIM_DOMAINS; d++)
		found += scaling_sim_count(world, d, SCALING_REGULAR, false);
	return found;
}
