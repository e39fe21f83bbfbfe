/*
 * Orders of upstreams of a relay: gathers what this node knows of each pool
 * with scaling, and sends orders while it holds the duty.
 */
#ifndef DFF_RELAY_SCALING_RUN_H
#define DFF_RELAY_SCALING_RUN_H

#include "proto/dragonflyfall.pb-c.h"
#include "relay/internal.h"

/** scalers_new() - no pools; the caller drops it */
scalers_t *scalers_new(void);

/** scalers_drop() - free them */
void scalers_drop(scalers_t *scalers);

/** scaling_run() - at each heartbeat: observe the demand, and order what is
 *	due */
void scaling_run(step_t *step);

/** scaling_note_read() - an upstream of the pool is to read prompt tokens for
 *	this node; @pool may be NULL */
void scaling_note_read(
    dff_relay_t *relay, const dff_pool_t *pool, uint32_t tokens);

/** scaling_fill_frame() - rates of reading for a frame, of this node or of its
 *	domain; both arrays have room for PEER_READINGS_MAX; returns their
 *	number */
size_t scaling_fill_frame(step_t *step, bool summary, Dff__RelayReading *rows,
    Dff__RelayReading **pointers);

/** scaling_receive_frame() - rates of reading of a peer, or of a domain */
void scaling_receive_frame(peer_t *peer, const Dff__RelayBeat *frame);

/** scaling_receive_result() - the result of an order */
void scaling_receive_result(step_t *step, const dff_relay_ordered_t *ordered);

/** scaling_add_metrics() - gauges, as text */
void scaling_add_metrics(const dff_relay_t *relay, GString *text);

#endif
