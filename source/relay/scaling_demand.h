/*
 * Demand for upstreams of one pool: what is in flight at this moment, and the
 * most of the last minute.
 */
#ifndef DFF_RELAY_SCALING_DEMAND_H
#define DFF_RELAY_SCALING_DEMAND_H

#include "dragonflyfall/event.h"

/* Spans that are remembered: a minute. */
#define SCALING_DEMAND_SPANS 30

/** struct scaling_role - requests at the upstreams of one role */
typedef struct scaling_role {
	uint32_t upstreams; /* that serve */
	uint32_t slots; /* requests that they run at once */
	uint32_t running;
} scaling_role_t;

/**
 * struct scaling_load - what a pool has to do at a moment
 * @roles: by role
 * @speed: prompt tokens that its upstreams read in a second, if they do nothing
 *	else
 * @reading: prompt tokens that they are to read in a second
 */
typedef struct scaling_load {
	scaling_role_t roles[DFF_ROLE_COUNT];
	double speed;
	double reading;
} scaling_load_t;

/** scaling_demand_need() - upstreams that this load needs; an order names no
 *	role, so that each role is taken to keep its share */
double scaling_demand_need(const scaling_load_t *load);

/**
 * struct scaling_demand - demand of the last minute
 * @since: first sample
 * @loaded_since: first sample with a request in flight; 0 for none
 * @span: number of the span of time that is being added up
 * @sum: sum of its samples
 * @samples: their number
 * @means: mean of each span, by number
 * @spans: spans that are complete, at most as many as are remembered
 */
typedef struct scaling_demand {
	dff_time_t since;
	dff_time_t loaded_since;
	int64_t span;
	double sum;
	uint32_t samples;
	double means[SCALING_DEMAND_SPANS];
	uint32_t spans;
} scaling_demand_t;

/** scaling_demand_add() - add the need of one moment */
void scaling_demand_add(
    scaling_demand_t *demand, double need, bool loaded, dff_time_t now);

/** scaling_demand_is_known() - it was observed for long enough to take
 *	upstreams away */
bool scaling_demand_is_known(const scaling_demand_t *demand, dff_time_t now);

/** scaling_demand_peak() - upstreams needed in the span of the last minute that
 *	needed most */
double scaling_demand_peak(const scaling_demand_t *demand);

#endif
