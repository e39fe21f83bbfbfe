/*
 * Orders of upstreams of a relay: gathers what this node knows of each pool
 * with scaling, and sends orders while it holds the duty.
 */
#ifndef DFF_RELAY_SCALING_RUN_H
#define DFF_RELAY_SCALING_RUN_H

#include "relay/internal.h"

/** scalers_new() - no pools; the caller drops it */
scalers_t *scalers_new(void);

/** scalers_drop() - free them */
void scalers_drop(scalers_t *scalers);

/** scaling_run() - at each heartbeat: observe the demand, and order what is
 *	due */
void scaling_run(step_t *step);

/** scaling_receive_result() - the result of an order */
void scaling_receive_result(step_t *step, const dff_relay_ordered_t *ordered);

/** scaling_add_metrics() - gauges, as text */
void scaling_add_metrics(const dff_relay_t *relay, GString *text);

#endif
