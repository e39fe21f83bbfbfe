/*
 * Questions between nodes up to which moment their configuration is confirmed.
 */
#ifndef DFF_RELAY_CONFIRM_H
#define DFF_RELAY_CONFIRM_H

#include "proto/dragonflyfall.pb-c.h"
#include "relay/internal.h"

/* Subject of the timer DFF_TIMER_FLEET_TICK. */
#define TICK_CONFIRM 3

confirm_t *confirm_new(void);
void confirm_drop(confirm_t *confirm);

/** confirm_age() - time since the moment up to which the routing in force is
 *	confirmed as the newest; DFF_TIME_NEVER if it never was */
dff_time_t confirm_age(const dff_relay_t *relay, dff_time_t now);

/** confirm_note_source() - the source of records answered this node */
void confirm_note_source(step_t *step, const dff_relay_confirmed_t *confirmed);

/** confirm_note_routing() - a version of the routing is in force now */
void confirm_note_routing(step_t *step);

/** confirm_run_timer() - the timer is due: ask a peer if an answer is needed */
void confirm_run_timer(step_t *step);

/** confirm_receive() - process the questions and replies of a frame */
void confirm_receive(step_t *step, const dff_relay_heartbeat_t *datagram,
    const Dff__RelayBeat *frame);

#endif
