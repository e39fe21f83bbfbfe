/*
 * Several nodes that claim calls, the log, and a service that keeps a
 * journal, in virtual time. The checks judge by the journal and by what
 * callers were told.
 */
#ifndef FAKE_CLAIM_SIM_H
#define FAKE_CLAIM_SIM_H

#include "dragonflyfall/base.h"

/**
 * struct claim_sim_config - one run
 * @seed: same seed, same run
 * @nodes: nodes
 * @keys: keys that callers draw from; 0: each call has its own
 * @calls_per_s: calls a second at each node
 * @batch_time: as in struct dff_claims_config
 * @faults: kills, pauses, outages, lost, late and refused appends, slow
 *	reads, calls given up, calls that fail before and after the send
 * @chaos: time with calls and faults
 * @calm: time after that
 * @log: print log lines
 */
typedef struct claim_sim_config {
	uint32_t seed;
	uint32_t nodes;
	uint32_t keys;
	double calls_per_s;
	dff_time_t batch_time;
	bool faults;
	dff_time_t chaos;
	dff_time_t calm;
	bool log;
} claim_sim_config_t;

/**
 * struct claim_sim_result - what a run gave
 * @broken: the check that failed, or NULL
 * @at: moment at which it failed
 * @calls: calls begun
 * @ran: calls that the service ran
 * @not_run: calls told that they did not run
 * @repeated: calls that got an earlier answer
 * @unknown: calls told that it is unknown
 * @running: calls told that another one is under way
 * @appends: appends that took effect
 * @wait: sum of the times from a call's begin to its verdict
 * @decided: verdicts in @wait
 */
typedef struct claim_sim_result {
	const char *broken;
	dff_time_t at;
	uint64_t calls;
	uint64_t ran;
	uint64_t not_run;
	uint64_t repeated;
	uint64_t unknown;
	uint64_t running;
	uint64_t appends;
	dff_time_t wait;
	uint64_t decided;
} claim_sim_result_t;

/** claim_sim_chaos() - a run with all faults on */
void claim_sim_chaos(claim_sim_config_t *config, uint32_t seed);

/** claim_sim_run() - one run */
void claim_sim_run(
    const claim_sim_config_t *config, claim_sim_result_t *result);

#endif
