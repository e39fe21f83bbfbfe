/*
 * Several placers, the log, and engines in virtual time. Faults are drawn
 * from a seed; the checks judge by what the log and the engines received.
 */
#ifndef FAKE_AUTHORITY_SIM_H
#define FAKE_AUTHORITY_SIM_H

#include "dragonflyfall/base.h"

/**
 * struct authority_sim_config - one run
 * @seed: same seed, same run
 * @nodes: placers
 * @engines: engines, over two failure domains
 * @check_fence: engines check the fencing number
 * @cut_on_order: engines carry out an order while requests run
 * @slow: nodes read the log a record at a time, and cannot append
 * @work: placers' VMs send requests to engines that they hold for open
 * @pauses: processes are paused and wake
 * @kills: processes are killed; their VMs come back or vanish
 * @outages: the log is down now and then
 * @lost_appends: appends without answer, in time, late or never
 * @lost_orders: orders and answers are lost or slow
 * @crashes: engines crash, also in mid-change
 * @deaf: nodes are cut off from the log and still send requests
 * @hurry: short changes, proposed often, and orders that are often slow
 * @upgrade: the catalogue wants another version than the engines have
 * @chaos: time with faults
 * @calm: time after that, for everything to come to rest
 * @term: length of a lease; 0 for a short one
 * @kill_holder_at: kill the holder of a lease then; 0 never
 * @log: print log lines
 */
typedef struct authority_sim_config {
	uint32_t seed;
	uint32_t nodes;
	uint32_t engines;
	bool check_fence;
	bool cut_on_order;
	bool work;
	bool pauses;
	bool kills;
	bool outages;
	bool lost_appends;
	bool lost_orders;
	bool crashes;
	bool deaf;
	bool slow;
	bool hurry;
	bool upgrade;
	dff_time_t chaos;
	dff_time_t calm;
	dff_time_t term;
	dff_time_t kill_holder_at;
	bool log;
} authority_sim_config_t;

/**
 * struct authority_sim_result - what a run gave
 * @broken: the check that failed, or NULL
 * @at: moment at which it failed
 * @orders: orders that engines received
 * @done: orders that engines carried out
 * @fenced: orders that bounced off the fencing number
 * @late: orders carried out after an outcome was recorded for them
 * @cut: requests cut by an order
 * @requests: requests taken by engines
 * @appends: appends that took effect
 * @grants: claims of leases that won
 * @to_authority: from the killing of a holder to the next one's claim read
 *	back; 0 if there was none
 * @held_back: proposals turned down since an engine was held back
 */
typedef struct authority_sim_result {
	const char *broken;
	dff_time_t at;
	uint64_t orders;
	uint64_t done;
	uint64_t fenced;
	uint64_t late;
	uint64_t cut;
	uint64_t requests;
	uint64_t appends;
	uint64_t grants;
	dff_time_t to_authority;
	uint64_t held_back;
} authority_sim_result_t;

/** authority_sim_chaos() - a run with all faults on */
void authority_sim_chaos(authority_sim_config_t *config, uint32_t seed);

/** authority_sim_hurry() - orders that come late, one after another */
void authority_sim_hurry(authority_sim_config_t *config, uint32_t seed);

/** authority_sim_upgrade() - a rolling change of version, some faults */
void authority_sim_upgrade(authority_sim_config_t *config, uint32_t seed);

/** authority_sim_run() - one run */
void authority_sim_run(
    const authority_sim_config_t *config, authority_sim_result_t *result);

#endif
