/*
 * Permits to send requests to upstreams with a rate limit. All requests to an
 * upstream take one first, whatever they are for.
 */
#ifndef DFF_RELAY_PERMIT_H
#define DFF_RELAY_PERMIT_H

#include "relay/peers.h"

/* Permit requests of one call; after these it goes to upstreams for which a
 * permit is at hand. */
#define PERMIT_REQUESTS_MAX 3

/** enum permit_result - result of taking a permit */
typedef enum permit_result {
	PERMIT_TAKEN, /* the request may be sent now */
	PERMIT_REQUESTED, /* the coordinator was asked for one */
	PERMIT_DENIED, /* none is available; denied_until is set */
} permit_result_t;

/** permit_take() - take a permit for one request, or ask for one */
permit_result_t permit_take(step_t *step, upstream_t *up);

/** permit_take_at_hand() - the same without asking; false if there is none */
bool permit_take_at_hand(step_t *step, upstream_t *up);

/** permit_log() - log that a call "waits for" a permit or "finds no" permit */
void permit_log(
    step_t *step, const call_t *call, const upstream_t *up, const char *what);

/** permit_wait() - let a call wait for the coordinator's reply */
void permit_wait(step_t *step, call_t *call, dff_handle_t upstream);

/** permit_stop_waiting() - the call is placed again, or ends */
void permit_stop_waiting(step_t *step, call_t *call);

/** permit_time_out() - no reply came in time: place the call again */
void permit_time_out(step_t *step, call_t *call);

/** permit_wake_all() - place the calls again that wait for a permit for @up */
void permit_wake_all(step_t *step, upstream_t *up);

/** permit_receive() - process a frame with permit requests or replies */
void permit_receive(step_t *step, const dff_relay_heartbeat_t *datagram,
    const Dff__RelayBeat *frame);

#endif
