/*
 * An upper bound on goodput, computed with everything known in advance:
 * the fluid limit of prefill, decode steps and memory of all engines.
 */
#ifndef BENCH_FLUID_H
#define BENCH_FLUID_H

#include "dragonflyfall/model_engine.h"

/**
 * struct bench_demand - one request
 * @at: arrival
 * @prompt: prompt tokens that must be prefilled at least
 * @output: output tokens
 * @pieces: memory pieces that it holds
 * @first: bound on its first token
 * @whole: bound on its whole answer
 */
typedef struct bench_demand {
	dff_time_t at;
	double prompt;
	double output;
	double pieces;
	dff_time_t first;
	dff_time_t whole;
} bench_demand_t;

/** struct bench_bound - bound in requests and in engine-seconds */
typedef struct bench_bound {
	double requests;
	double seconds;
} bench_bound_t;

/** bench_fluid_cost() - least engine time of a mean request, microseconds */
double bench_fluid_cost(
    const dff_engine_config_t *engine, double prompt, double output);

/** bench_fluid_seconds() - engine-seconds that a request is counted with */
double bench_fluid_seconds(
    const dff_engine_config_t *engine, double prompt, double output);

/**
 * bench_fluid_bound() - upper bound on goodput
 * @engines: engine-seconds a second that there are
 * @demands: requests by arrival
 * @count: how many
 * @spread: callers come back, so that a request may be served at any time
 */
bench_bound_t bench_fluid_bound(const dff_engine_config_t *engine,
    double engines, const bench_demand_t *demands, size_t count, bool spread);

#endif
