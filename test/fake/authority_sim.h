/*
 * Simulation of several placers, the log and engines in virtual time. Faults
 * are drawn from a seed. The checks use what the log and the engines received.
 */
#ifndef FAKE_AUTHORITY_SIM_H
#define FAKE_AUTHORITY_SIM_H

#include "dragonflyfall/base.h"

/**
 * struct authority_sim_config - one run
 * @seed: seed; runs with the same seed and settings are identical
 * @nodes: number of placers
 * @engines: number of engines, in two failure domains
 * @check_fence: engines check the fencing number
 * @cut_on_order: engines carry out an order while requests run, and cut them
 * @slow_log: nodes at times read the log one record at a time, and cannot
 *	append
 * @send_requests: placers' VMs send requests to engines without a drain mark
 * @pauses: processes are paused and resumed
 * @kills: processes are killed; their VMs restart or are replaced
 * @log_outages: the log is down at times
 * @lost_appends: appends lose their answer; they land in time, late or never
 * @lost_orders: orders and their answers are lost or late
 * @engine_crashes: engines crash, also during a change
 * @log_partitions: nodes lose their connection to the log and still send
 *	requests
 * @late_orders: short and frequent changes, and orders that are often late
 * @upgrade: the catalogue declares another version than the engines have
 * @fault_time: time with faults
 * @recovery_time: time after that for the system to settle
 * @term: length of a lease; 0 for the default
 * @kill_holder_at: time at which the holder of a lease is killed; 0 for never
 * @print_log: print log lines
 */
typedef struct authority_sim_config {
	uint32_t seed;
	uint32_t nodes;
	uint32_t engines;
	bool check_fence;
	bool cut_on_order;
	bool send_requests;
	bool pauses;
	bool kills;
	bool log_outages;
	bool lost_appends;
	bool lost_orders;
	bool engine_crashes;
	bool log_partitions;
	bool slow_log;
	bool late_orders;
	bool upgrade;
	dff_time_t fault_time;
	dff_time_t recovery_time;
	dff_time_t term;
	dff_time_t kill_holder_at;
	bool print_log;
} authority_sim_config_t;

/**
 * struct authority_sim_result - result of a run
 * @failed_check: the check that failed, or NULL
 * @failed_at: time at which it failed
 * @orders_received: orders that engines received
 * @orders_done: orders that engines carried out
 * @orders_fenced: orders refused because of their fencing number
 * @orders_late: orders carried out after an outcome was recorded for them
 * @requests_cut: requests cut by an order
 * @requests: requests accepted by engines
 * @appends: appends that took effect
 * @grants: lease claims that were granted
 * @failover_time: time from the killing of a holder to the next granted claim
 *	of its lease; 0 if there was none
 * @proposals_refused: proposals refused with -EBUSY
 */
typedef struct authority_sim_result {
	const char *failed_check;
	dff_time_t failed_at;
	uint64_t orders_received;
	uint64_t orders_done;
	uint64_t orders_fenced;
	uint64_t orders_late;
	uint64_t requests_cut;
	uint64_t requests;
	uint64_t appends;
	uint64_t grants;
	dff_time_t failover_time;
	uint64_t proposals_refused;
} authority_sim_result_t;

/** authority_sim_all_faults() - configure a run with all faults */
void authority_sim_all_faults(authority_sim_config_t *config, uint32_t seed);

/** authority_sim_late_orders() - configure frequent changes, late orders */
void authority_sim_late_orders(authority_sim_config_t *config, uint32_t seed);

/** authority_sim_upgrade() - configure a rolling version change, some faults */
void authority_sim_upgrade(authority_sim_config_t *config, uint32_t seed);

/** authority_sim_run() - do one run */
void authority_sim_run(
    const authority_sim_config_t *config, authority_sim_result_t *result);

#endif
