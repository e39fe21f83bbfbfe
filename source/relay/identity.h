/*
 * Proof of the process that goes on with a stream. A record says which software
 * an upstream's process runs, and may be of a process before. What the upstream
 * says of its start, asked once its answer has begun, is of the process that
 * answers or of a later one: if it is the start in the record, the record's
 * software is that of the answer. Until then its events are held back.
 */
#ifndef DFF_RELAY_IDENTITY_H
#define DFF_RELAY_IDENTITY_H

#include "relay/internal.h"

/** identity_ask() - the head of a good answer has arrived: ask its upstream for
 *	its start if the answer goes on with a stream */
void identity_ask(step_t *step, call_t *call, upstream_t *up);

/** identity_hold_end() - keep the end of a send until its upstream is
 *	identified; returns false if it need not wait */
bool identity_hold_end(call_t *call, dff_send_result_t result);

/** identity_apply() - an upstream has stated its start, or could not be asked:
 *	forward what was held back, or break the send off */
void identity_apply(step_t *step, const dff_relay_identified_t *identified);

#endif
