/*
 * Max-min shares: how much of a scarce room each organisation gets.
 */
#ifndef DFF_RELAY_SHARE_LEVEL_H
#define DFF_RELAY_SHARE_LEVEL_H

#include <stddef.h>
#include <stdint.h>

/**
 * struct share_demand - what an organisation, or several that are alike, ask
 *	for
 * @organisation: hash of its name; 0 for several
 * @rank: priority of the organisation; 0 is the most urgent
 * @members: number of organisations
 * @offered: engine time that the requests of each ask for, per second
 * @granted: set to the share of the room of each, at most @offered
 */
typedef struct share_demand {
	uint32_t organisation;
	uint32_t rank;
	uint32_t members;
	double offered;
	double granted;
} share_demand_t;

/**
 * share_level_fill() - divide a room between organisations
 * @demands: their demands, which are sorted
 * @count: number of @demands
 * @room: engine time per second that there is
 *
 * Organisations of one rank get the same, unless they ask for less. A rank gets
 * what the more urgent ones leave, but each organisation gets at least half of
 * its max-min share over all ranks.
 */
void share_level_fill(share_demand_t *demands, size_t count, double room);

#endif
