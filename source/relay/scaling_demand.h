/*
 * Demand for upstreams of one pool: what is in flight at this moment, and the
 * most of the last minute.
 */
#ifndef DFF_RELAY_SCALING_DEMAND_H
#define DFF_RELAY_SCALING_DEMAND_H

#include "dragonflyfall/event.h"

/* Seconds that are remembered. */
#define SCALING_DEMAND_SECONDS 60

/**
 * struct scaling_load - what is in flight at the upstreams of one role
 * @upstreams: upstreams that serve
 * @busy: of these, those that have prompts to read
 * @running: requests in flight
 * @slots: requests that they run at once
 * @reading: time in which one upstream would read all queued prompts
 */
typedef struct scaling_load {
	uint32_t upstreams;
	uint32_t busy;
	uint32_t running;
	uint32_t slots;
	dff_time_t reading;
} scaling_load_t;

/**
 * scaling_demand_need() - upstreams that a moment's load needs
 * @loads: by role; the platform does not let a role be ordered, so that each
 *	role is taken to keep its share
 * @wait_max: longest time that a prompt may wait for others
 */
double scaling_demand_need(
    const scaling_load_t loads[DFF_ROLE_COUNT], dff_time_t wait_max);

/**
 * struct scaling_demand - demand of the last minute
 * @since: first sample
 * @loaded_since: first sample with a request in flight; 0 for none
 * @second: the second that is being added up
 * @sum: sum of its samples
 * @samples: their number
 * @means: mean of each second, by second
 * @seconds: seconds that are complete, at most as many as are remembered
 */
typedef struct scaling_demand {
	dff_time_t since;
	dff_time_t loaded_since;
	int64_t second;
	double sum;
	uint32_t samples;
	double means[SCALING_DEMAND_SECONDS];
	uint32_t seconds;
} scaling_demand_t;

/** scaling_demand_add() - add the need of one moment */
void scaling_demand_add(
    scaling_demand_t *demand, double need, bool loaded, dff_time_t now);

/** scaling_demand_is_known() - it was observed for long enough to take
 *	upstreams away */
bool scaling_demand_is_known(const scaling_demand_t *demand, dff_time_t now);

/** scaling_demand_peak() - upstreams needed in the second of the last minute
 *	that needed most */
double scaling_demand_peak(const scaling_demand_t *demand);

#endif
