/*
 * Simulates nodes that claim calls, the log and a service that records its
 * executions in a journal, in virtual time. The checks compare the journal
 * with the answers that callers got.
 */
#ifndef FAKE_CLAIM_SIM_H
#define FAKE_CLAIM_SIM_H

#include "dragonflyfall/base.h"

/**
 * struct claim_sim_config - settings of one run
 * @seed: random seed; runs with equal settings and seed are identical
 * @nodes: number of nodes
 * @keys: number of keys that callers choose from; 0: a new key per call
 * @calls_per_s: calls per second at each node
 * @batch_delay: as in struct dff_claims_config
 * @faults: inject kills, pauses, outages, lost, late and refused appends,
 *	slow reads, abandoned calls, calls that fail before and after the send
 * @fault_time: duration of the phase with calls and faults
 * @recovery_time: duration of the phase after it, without either
 * @log: print log lines
 */
typedef struct claim_sim_config {
	uint32_t seed;
	uint32_t nodes;
	uint32_t keys;
	double calls_per_s;
	dff_time_t batch_delay;
	bool faults;
	dff_time_t fault_time;
	dff_time_t recovery_time;
	bool log;
} claim_sim_config_t;

/**
 * struct claim_sim_result - result of one run
 * @failed_check: the check that failed, or NULL
 * @failed_at: time at which it failed
 * @calls: calls that arrived
 * @executed: calls that the service executed
 * @not_executed: calls answered as not executed
 * @replayed: calls answered with an earlier call's answer
 * @unknown: calls answered with an unknown outcome
 * @running: calls refused because another one is in progress
 * @appends: appends that took effect
 * @decision_time: sum of the times from a call's arrival to its verdict
 * @verdicts: number of verdicts in @decision_time
 */
typedef struct claim_sim_result {
	const char *failed_check;
	dff_time_t failed_at;
	uint64_t calls;
	uint64_t executed;
	uint64_t not_executed;
	uint64_t replayed;
	uint64_t unknown;
	uint64_t running;
	uint64_t appends;
	dff_time_t decision_time;
	uint64_t verdicts;
} claim_sim_result_t;

/** claim_sim_config_faults() - settings of a run with all faults */
void claim_sim_config_faults(claim_sim_config_t *config, uint32_t seed);

/** claim_sim_run() - simulate one run */
void claim_sim_run(
    const claim_sim_config_t *config, claim_sim_result_t *result);

#endif
