/*
 * When a call is given up instead of sent: its content, its time, its sends,
 * the queue and the retry budget. Each function answers the call and returns
 * true if it gives it up.
 */
#ifndef DFF_RELAY_GIVE_UP_H
#define DFF_RELAY_GIVE_UP_H

#include "relay/internal.h"

/** give_up_if_refused() - other requests with the same content or part may
 *	have crashed upstreams since */
bool give_up_if_refused(step_t *step, call_t *call);

/** give_up_if_spent() - no upstream can serve it, whatever its state */
bool give_up_if_spent(step_t *step, call_t *call);

/** give_up_if_unservable() - its best upstream, if there is one, cannot serve
 *	it in time, or too much is queued ahead of it */
bool give_up_if_unservable(
    step_t *step, call_t *call, const placement_t *place);

/** give_up_if_over_budget() - the retry budget has no room for another send; it
 *	is taken before the call waits for a permit, since other calls could use
 *	it up meanwhile */
bool give_up_if_over_budget(step_t *step, call_t *call);

#endif
