/*
 * Workloads as data files: a fleet, shapes of requests, phases of the mix
 * and faults. A file may name another as its base; its own keys go first.
 */
#ifndef BENCH_WORKLOAD_H
#define BENCH_WORKLOAD_H

#include <glib.h>

#include "dragonflyfall/model_engine.h"

/** struct bench_shape - one kind of request */
typedef struct bench_shape {
	char name[DFF_NAME_MAX];
	char entry[DFF_NAME_MAX];
	double prompt_mean;
	double prompt_spread;
	double output_mean;
	double output_spread;
	uint32_t prefixes;
	uint32_t prefix_tokens;
} bench_shape_t;

/** struct bench_phase - a mix that holds for a while; phases repeat */
typedef struct bench_phase {
	dff_time_t length;
	double load;
	GArray *mix; /* double, a relative rate for each shape */
} bench_phase_t;

/** enum bench_fault_kind - what goes wrong */
typedef enum bench_fault_kind {
	BENCH_FAULT_WITHDRAW,
	BENCH_FAULT_CRASH,
	BENCH_FAULT_POISON,
} bench_fault_kind_t;

/** struct bench_fault - one fault */
typedef struct bench_fault {
	bench_fault_kind_t kind;
	dff_time_t at;
	uint32_t engine;
} bench_fault_t;

/**
 * struct bench_workload - a workload
 * @load: offered load as a part of the fluid capacity of the mix
 * @retries: how often a caller comes back after a refusal or a late answer
 * @patience: times a class's bound on the whole answer after which a caller
 *	leaves
 */
typedef struct bench_workload {
	char name[DFF_NAME_MAX];
	char *catalogue;
	char engine_pool[DFF_NAME_MAX];
	char service_pool[DFF_NAME_MAX];
	uint32_t nodes;
	uint32_t domains;
	uint32_t engines;
	uint32_t services;
	dff_time_t link;
	double link_loss;
	dff_time_t report_lag;
	dff_time_t report_every;
	dff_time_t beat;
	dff_time_t length;
	dff_time_t warm;
	double load;
	double service_rate;
	uint32_t retries;
	uint32_t prefill_engines;
	uint32_t decode_engines;
	dff_engine_config_t engine;
	GArray *shapes; /* bench_shape_t */
	GArray *phases; /* bench_phase_t */
	GArray *faults; /* bench_fault_t */
} bench_workload_t;

/**
 * bench_workload_load() - read a workload file
 * @path: file; a base is looked for beside it, the catalogue beside the
 *	folder above it
 *
 * Return: the workload, or NULL after a line on standard error.
 */
bench_workload_t *bench_workload_load(const char *path);

/** bench_workload_drop() - free a workload; NULL is allowed */
void bench_workload_drop(bench_workload_t *workload);

/** bench_workload_phase() - phase in force at a moment from the start */
const bench_phase_t *bench_workload_phase(
    const bench_workload_t *workload, dff_time_t at);

/** bench_workload_rate() - requests a second offered in a phase */
double bench_workload_rate(
    const bench_workload_t *workload, const bench_phase_t *phase);

#endif
