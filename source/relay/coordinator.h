/*
 * Coordinators: the nodes that issue the permits for upstreams with a rate
 * limit.
 */
#ifndef DFF_RELAY_COORDINATOR_H
#define DFF_RELAY_COORDINATOR_H

#include "relay/internal.h"

/** coordinator_addr() - address of an upstream's coordinator as this node sees
 *	it, borrowed; "" if it cannot be reached */
const char *coordinator_addr(
    const dff_relay_t *relay, const upstream_t *up, dff_time_t now);

/** coordinator_update() - start or stop issuing permits for an upstream */
void coordinator_update(step_t *step, upstream_t *up);

/** coordinator_update_all() - the same for all upstreams, at each heartbeat */
void coordinator_update_all(step_t *step);

#endif
