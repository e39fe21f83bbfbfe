/*
 * Several nodes' policies over one fleet of engine models, in virtual time.
 * Each node has its own stale view: reports lag, peers' work comes by beats
 * over links that take time and lose packets. Same seed, same run.
 */
#ifndef BENCH_FLEET_H
#define BENCH_FLEET_H

#include "dragonflyfall/policy.h"
#include "fluid.h"
#include "workload.h"

/* Buckets of the histograms of times, sixteen to a doubling. */
#define BENCH_TIME_BUCKETS 512

/** struct bench_options - how a workload is run */
typedef struct bench_options {
	dff_policy_kind_t kind;
	uint32_t parts_off;
	bool roles;
	uint32_t seed;
} bench_options_t;

/** struct bench_second - one second of a run, for the plot */
typedef struct bench_second {
	uint32_t offered;
	uint32_t good;
	uint32_t refused;
	uint32_t late;
	uint32_t waiting;
	uint32_t running;
	uint32_t roles[DFF_ROLE_COUNT];
	uint64_t prompt_tokens;
	uint64_t output_tokens;
} bench_second_t;

/** struct bench_share - what became of one owner's requests */
typedef struct bench_share {
	char owner[DFF_NAME_MAX];
	uint32_t offered;
	uint32_t good;
	double good_seconds;
} bench_share_t;

/**
 * struct bench_result - what a run gave
 * @offered: requests, each counted once however often its caller came back
 * @good: answered whole and within the class's time
 * @offered_seconds: least engine-seconds of the offered requests
 * @good_seconds: the same of the good ones
 * @refused: refusals, each with a time to come back
 * @refused_blank: refusals without one
 * @late: calls that ran and came too late, or were left by their callers
 * @late_first: those of them whose first token was too late, or never came
 * @late_gap: those with a gap between tokens that was too long
 * @failed: given up after crashes
 * @wasted_seconds: engine-seconds for answers nobody accepted
 * @busy: part of the engines' time that the good answers took
 */
typedef struct bench_result {
	uint32_t offered;
	uint32_t good;
	double offered_seconds;
	double good_seconds;
	uint32_t refused;
	uint32_t refused_blank;
	uint32_t late;
	uint32_t late_first;
	uint32_t late_gap;
	uint32_t failed;
	double wasted_seconds;
	uint32_t role_changes;
	uint32_t crashes;
	uint32_t first_count[BENCH_TIME_BUCKETS];
	uint32_t gap_count[BENCH_TIME_BUCKETS];
	uint64_t decisions;
	bench_bound_t bound;
	GArray *shares; /* bench_share_t */
	GArray *seconds; /* bench_second_t */
} bench_result_t;

/** bench_fleet_run() - run a workload; the caller drops the result */
bench_result_t *bench_fleet_run(
    const bench_workload_t *workload, const bench_options_t *options);

/** bench_result_drop() - free a result; NULL is allowed */
void bench_result_drop(bench_result_t *result);

/** bench_result_quantile() - quantile of a histogram, in milliseconds */
double bench_result_quantile(const uint32_t *counts, double quantile);

/** bench_result_goodput() - good part of the bound, in requests */
double bench_result_goodput(const bench_result_t *result);

/** bench_result_fairness() - Jain's index of owners' good parts */
double bench_result_fairness(const bench_result_t *result);

#endif
