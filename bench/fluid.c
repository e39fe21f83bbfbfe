/*
 * An engine's step takes step_us, plus request_us for each request that
 * decodes, plus prefill_us for each prompt token of at most a chunk. So P
 * prompt and D output tokens need N steps with N >= P / chunk and
 * N >= D / batch, hence N >= l * P / chunk + (1 - l) * D / batch for any l
 * from 0 to 1: each l prices a request by itself, and the least bound over
 * several l holds.
 */
#include "fluid.h"

#include <math.h>
#include <stdlib.h>

#define LAMBDAS 11

/** struct item - a request for the fractional knapsack */
typedef struct item {
	double cost;
	double value;
} item_t;

static double
priced(const dff_engine_config_t *engine, double prompt, double output,
    double lambda)
{
	return prompt *
	    (engine->prefill_us +
		lambda * engine->step_us / engine->chunk_tokens) +
	    output *
	    (engine->request_us +
		(1 - lambda) * engine->step_us / engine->batch_max);
}

double
bench_fluid_cost(
    const dff_engine_config_t *engine, double prompt, double output)
{
	double steps;

	steps = MAX(prompt / engine->chunk_tokens, output / engine->batch_max);
	return steps * engine->step_us + prompt * engine->prefill_us +
	    output * engine->request_us;
}

double
bench_fluid_seconds(
    const dff_engine_config_t *engine, double prompt, double output)
{
	return bench_fluid_cost(engine, prompt, output) / (double)DFF_SEC;
}

static int
by_density(const void *a, const void *b)
{
	const item_t *left = a;
	const item_t *right = b;
	double l = left->cost * right->value;
	double r = right->cost * left->value;

	return (l > r) - (l < r);
}

/* The most value that fits, the last item in part. */
static double
knapsack(item_t *items, size_t count, double room)
{
	double value = 0;

	qsort(items, count, sizeof(items[0]), by_density);
	for (size_t i = 0; i < count; i++) {
		if (items[i].cost > room)
			return value + items[i].value * room / items[i].cost;
		room -= items[i].cost;
		value += items[i].value;
	}
	return value;
}

/** enum price - what an item is priced by */
typedef enum price {
	PRICE_WORK,
	PRICE_PREFILL,
	PRICE_MEMORY,
} price_t;

static double
cost_of(const dff_engine_config_t *engine, const bench_demand_t *demand,
    price_t price, double lambda)
{
	switch (price) {
	case PRICE_WORK:
		return priced(engine, demand->prompt, demand->output, lambda);
	case PRICE_PREFILL:
		return priced(engine, demand->prompt, 0, 1);
	case PRICE_MEMORY:
		return demand->pieces / engine->pieces *
		    (demand->prompt / engine->chunk_tokens + demand->output) *
		    engine->step_us;
	}
	return 0;
}

static double
block_bound(const dff_engine_config_t *engine, const bench_demand_t *demands,
    size_t count, bool seconds, price_t price, double lambda, double room)
{
	item_t *items = g_new(item_t, count);
	double value;

	for (size_t i = 0; i < count; i++) {
		items[i].cost = cost_of(engine, &demands[i], price, lambda);
		items[i].value = 1;
		if (seconds)
			items[i].value = bench_fluid_seconds(
			    engine, demands[i].prompt, demands[i].output);
	}
	value = knapsack(items, count, room);
	g_free(items);
	return value;
}

/* The bound of the requests that arrive in one block of time. */
static double
block_least(const dff_engine_config_t *engine, double engines,
    const bench_demand_t *demands, size_t count, dff_time_t length,
    bool seconds)
{
	dff_time_t first = 0;
	dff_time_t whole = 0;
	double least = INFINITY;
	double room;

	for (size_t i = 0; i < count; i++) {
		first = MAX(first, demands[i].first);
		whole = MAX(whole, demands[i].whole);
	}
	room = engines * (double)(length + whole);
	for (int i = 0; i < LAMBDAS; i++)
		least = MIN(least,
		    block_bound(engine, demands, count, seconds, PRICE_WORK,
			i / (LAMBDAS - 1.0), room));
	least = MIN(least,
	    block_bound(
		engine, demands, count, seconds, PRICE_MEMORY, 0, room));
	return MIN(least,
	    block_bound(engine, demands, count, seconds, PRICE_PREFILL, 0,
		engines * (double)(length + first)));
}

static double
partition_bound(const dff_engine_config_t *engine, double engines,
    const bench_demand_t *demands, size_t count, dff_time_t length,
    bool seconds)
{
	dff_time_t start = count > 0 ? demands[0].at : 0;
	double sum = 0;
	size_t from = 0;

	while (from < count) {
		size_t to = from;

		while (to < count && demands[to].at < start + length)
			to++;
		if (to > from)
			sum += block_least(engine, engines, demands + from,
			    to - from, length, seconds);
		from = to;
		start += length;
	}
	return sum;
}

static double
least_bound(const dff_engine_config_t *engine, double engines,
    const bench_demand_t *demands, size_t count, bool spread, bool seconds)
{
	static const int lengths_s[] = {5, 10, 20, 40, 80};
	dff_time_t all;
	double least;

	if (count == 0)
		return 0;
	all = demands[count - 1].at - demands[0].at + 1;
	least = partition_bound(engine, engines, demands, count, all, seconds);
	if (spread)
		return least;
	for (size_t i = 0; i < G_N_ELEMENTS(lengths_s); i++)
		least = MIN(least,
		    partition_bound(engine, engines, demands, count,
			lengths_s[i] * DFF_SEC, seconds));
	return least;
}

bench_bound_t
bench_fluid_bound(const dff_engine_config_t *engine, double engines,
    const bench_demand_t *demands, size_t count, bool spread)
{
	bench_bound_t bound;

	bound.requests =
	    least_bound(engine, engines, demands, count, spread, false);
	bound.seconds =
	    least_bound(engine, engines, demands, count, spread, true);
	return bound;
}
