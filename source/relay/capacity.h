/*
 * How much work an upstream takes well, learned from its answers: how long work
 * takes there beside the other upstreams of its pool, and up to how many
 * requests at once its times do not grow. Nodes report their own measurements
 * to each other; each node draws its own conclusion from all of them.
 */
#ifndef DFF_RELAY_CAPACITY_H
#define DFF_RELAY_CAPACITY_H

#include "dragonflyfall/base.h"

/* Pools, engines of each role counted separately, for which a usual time is
 * kept; upstreams of further ones count as equally fast. */
#define CAPACITY_POOLS_MAX 16

/**
 * struct capacity_mean - usual time of the upstreams of one pool
 * @pool: hash of its name and role, 0 for none
 * @log_time: mean of the logarithms of their times
 * @samples: measurements so far, up to a bound
 * @spread: mean square of the logarithms of the upstreams' factors
 * @paced: upstreams said that work does not take the usual time
 */
typedef struct capacity_mean {
	uint64_t pool;
	double log_time;
	double samples;
	double spread;
	bool paced;
} capacity_mean_t;

/**
 * struct capacity_report - measurements that have not been reported yet
 * @sum: sum of the logarithms of the times
 * @count: number of times, those that say little counting less than 1
 * @pace: the upstream's statement is newer than the last report
 */
typedef struct capacity_report {
	double sum;
	double count;
	bool pace;
} capacity_report_t;

/**
 * struct capacity - what is known of one upstream
 * @recent: mean of the logarithms of recent times
 * @weight: recent times, older ones counting less
 * @weighed_at: moment at which @weight holds
 * @prior: mean over a longer time
 * @prior_weight: certainty of @prior; 0 before the first time
 * @measured_at: newest time, measured here or by a peer
 * @pace: its own statement of how long work takes at the moment, 1 as usual; 0
 *	if it made none
 * @pace_at: when it made that
 * @pace_mean: mean of its statements; 0 before the first
 * @pace_count: statements in it, up to a bound
 * @distrust: how much worse its statements explain its times than their mean
 * @takes_well: requests at once that it answers about as fast as few; 0 before
 *	it is known
 * @own: for this node's frames
 * @domain: for summaries of this failure domain
 */
typedef struct capacity {
	double recent;
	double weight;
	dff_time_t weighed_at;
	double prior;
	double prior_weight;
	dff_time_t measured_at;
	double pace;
	dff_time_t pace_at;
	double pace_mean;
	double pace_count;
	double distrust;
	double takes_well;
	capacity_report_t own;
	capacity_report_t domain;
} capacity_t;

/** capacity_restart() - its process was replaced: what is known becomes a
 *	guess that few new times replace */
void capacity_restart(capacity_t *capacity);

/** capacity_note_pace() - note the upstream's statement of how long work takes
 *	there, 1 as usual; older ones than the known are ignored */
void capacity_note_pace(capacity_t *capacity, double pace, dff_time_t at);

/** capacity_add() - add @count times with a mean logarithm of @log_time, each
 *	divided by what the upstream said of its pace */
void capacity_add(
    capacity_t *capacity, double log_time, double count, dff_time_t now);

/** capacity_add_own() - add a time measured by this node, in any unit that all
 *	times of the pool share, and note it for reports; it counts as @count
 *	times */
void capacity_add_own(capacity_t *capacity, capacity_mean_t *mean, double time,
    double count, dff_time_t now);

/** capacity_note_mean() - add times to the usual time of a pool */
void capacity_note_mean(capacity_mean_t *mean, double log_time, double count);

/** capacity_is_uneven() - its upstreams differ, or change with time */
bool capacity_is_uneven(const capacity_mean_t *mean);

/**
 * capacity_factor() - how long work takes there now, beside the usual time of
 * its pool
 * @mean: usual time of the pool, or NULL
 *
 * Return: 1 for as usual, 2 for twice as long.
 */
double capacity_factor(
    const capacity_t *capacity, const capacity_mean_t *mean, dff_time_t now);

/** capacity_pace() - the part of capacity_factor() that is its own statement */
double capacity_pace(const capacity_t *capacity, dff_time_t now);

/** capacity_mean_factor() - the same without its own statement */
double capacity_mean_factor(
    const capacity_t *capacity, const capacity_mean_t *mean, dff_time_t now);

/**
 * capacity_note_in_flight() - learn how many requests at once it takes well
 * @time: time of an answer in the unit of capacity_add_own()
 * @in_flight: requests in flight there when that one was sent, itself included
 * @slots: requests that it runs at once
 */
void capacity_note_in_flight(capacity_t *capacity, const capacity_mean_t *mean,
    double time, uint32_t in_flight, uint32_t slots, dff_time_t now);

/** capacity_takes_well() - requests at once that it answers about as fast as
 *	few; @slots if it is not known to slow down before */
double capacity_takes_well(const capacity_t *capacity, uint32_t slots);

/** capacity_is_doubtful() - it is believed to be slow, and nobody has measured
 *	it for a while */
bool capacity_is_doubtful(
    const capacity_t *capacity, const capacity_mean_t *mean, dff_time_t now);

#endif
