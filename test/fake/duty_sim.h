/*
 * Nodes that hold a duty, the platform's store and its API, in virtual time.
 */
#ifndef FAKE_DUTY_SIM_H
#define FAKE_DUTY_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "dragonflyfall/base.h"

/** enum duty_sim_faults - kinds of faults of a run */
typedef enum duty_sim_faults {
	DUTY_SIM_QUIET = 0,
	DUTY_SIM_NODES = 1, /* kills, stops, freezes, restarts */
	DUTY_SIM_STORE = 2, /* outages, slow and lost answers, compaction */
	DUTY_SIM_CUTS = 4, /* nodes cut off from the store or from frames */
	DUTY_SIM_RETURNS = 8, /* the store comes back as an older copy */
	DUTY_SIM_ALL = 15,
} duty_sim_faults_t;

/**
 * struct duty_sim_result - what a run has shown
 * @problem: the rule that was broken; NULL for none
 * @at: when
 * @calls: calls that the platform carried out
 * @holders: changes of the holder
 * @store_calls: calls to the store
 * @longest_rest: longest time without a call that was carried out
 * @rest_at_end: time from the last call to the end
 */
typedef struct duty_sim_result {
	const char *problem;
	dff_time_t at;
	uint32_t calls;
	uint32_t holders;
	uint32_t store_calls;
	dff_time_t longest_rest;
	dff_time_t rest_at_end;
} duty_sim_result_t;

/** duty_sim_run() - run @time of virtual time, the last third without faults;
 *	@fence_required: the platform rejects calls with an outdated token */
duty_sim_result_t duty_sim_run(
    uint32_t seed, unsigned faults, bool fence_required, dff_time_t time);

/** duty_sim_kill_holder() - time from the death of a holder to the next call
 *	of another one; with @stop it is stopped in order */
dff_time_t duty_sim_kill_holder(uint32_t seed, bool fence_required, bool stop);

#endif
