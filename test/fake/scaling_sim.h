/*
 * Simulation of a pool whose upstreams are ordered: a platform with four domains
 * of two kinds of upstreams, and a load that needs a tenth of the whole fleet on
 * average, in virtual time. Each order is checked.
 */
#ifndef DFF_FAKE_SCALING_SIM_H
#define DFF_FAKE_SCALING_SIM_H

#include <glib.h>

#include "relay/scaling.h"

#define SCALING_SIM_DOMAINS 4
/* Upstreams of a domain at the beginning, and the fewest. */
#define SCALING_SIM_WHOLE 35
#define SCALING_SIM_MIN	  1
#define SCALING_SIM_BOOT  (4 * DFF_SEC)

/**
 * struct scaling_sim - the platform, its upstreams and the load
 * @queue, @work, @late: in seconds of an upstream
 * @seconds, @price: of upstreams so far
 * @fewest: upstreams that served at any time
 * @refused_share: of orders, with too many calls
 * @lost_share: of orders, without an answer
 * @dry_until: no reclaimable upstreams are to be had before
 * @factor: of the load
 */
typedef struct scaling_sim {
	scaling_t *scaling;
	GArray *servers;
	GArray *calls;
	GRand *rng;
	dff_time_t now;
	double queue;
	double work;
	double late;
	double seconds;
	double price;
	uint32_t orders;
	uint32_t orders_for_fewer;
	uint32_t fewest;
	dff_time_t dry_until[SCALING_SIM_DOMAINS];
	double refused_share;
	double lost_share;
	bool idle;
	double factor;
} scaling_sim_t;

/** scaling_sim_new() - the whole fleet serves; the caller drops it */
scaling_sim_t *scaling_sim_new(void);
void scaling_sim_drop(scaling_sim_t *world);

/** scaling_sim_run() - let time pass */
void scaling_sim_run(scaling_sim_t *world, dff_time_t time);

/** scaling_sim_reclaim() - the reclaimable upstreams of a domain go, and there
 *	are none to be had for a time */
void scaling_sim_reclaim(scaling_sim_t *world, uint32_t domain, dff_time_t dry);

/** scaling_sim_count() - upstreams of a kind that stay, of any if @kind is
 *	negative */
uint32_t scaling_sim_count(
    const scaling_sim_t *world, uint32_t domain, int kind, bool serving);
uint32_t scaling_sim_serving(const scaling_sim_t *world);
uint32_t scaling_sim_regular(const scaling_sim_t *world);

/** scaling_sim_late_share() - of the work since @work and @late were 0 */
double scaling_sim_late_share(const scaling_sim_t *world);

/** scaling_sim_view() - what the holder knows at this moment */
void scaling_sim_view(const scaling_sim_t *world, scaling_view_t *view);

#endif
