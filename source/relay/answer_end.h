/*
 * Whether an answer that has ended is complete.
 */
#ifndef DFF_RELAY_ANSWER_END_H
#define DFF_RELAY_ANSWER_END_H

#include "relay/internal.h"

/** answer_end_receive() - the answer of the call's send has ended, either as
 *	its framing states or with its connection */
void answer_end_receive(step_t *step, call_t *call, dff_send_result_t result);

/** answer_end_apply_probe() - the upstream of an answer that ended with its
 *	connection was probed */
void answer_end_apply_probe(step_t *step, const dff_relay_probed_t *probed);

#endif
