/*
 * Calls that a node passes on to a peer, as it reaches no upstream that may
 * serve them. The peer serves such a call like one of its own callers', but
 * passes it on to nobody.
 */
#ifndef DFF_RELAY_FORWARD_H
#define DFF_RELAY_FORWARD_H

#include "relay/internal.h"

/** forward_is_due() - whether this node is cut off from all upstreams or from
 *	those of the call's pool */
bool forward_is_due(const step_t *step, const call_t *call);

/** forward_to_peer() - send the call to a peer if that is due and a peer may
 *	serve it; returns whether it was sent */
bool forward_to_peer(step_t *step, call_t *call);

/**
 * forward_note_head() - the head of a peer's answer
 *
 * A peer's own 503 has no upstream's signature and states that the request did
 * not run and will not.
 */
void forward_note_head(send_t *send, const dff_relay_head_t *head);

/** forward_end() - the peer has not served the call: it could not be reached,
 *	refused it, or its answer broke off; the send was released */
void forward_end(step_t *step, call_t *call, dff_send_result_t result);

#endif
