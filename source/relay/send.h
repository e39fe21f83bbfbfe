/*
 * Functions on sends that send.c and result.c share.
 */
#ifndef DFF_RELAY_SEND_H
#define DFF_RELAY_SEND_H

#include "relay/internal.h"

/** send_release_backlog() - a send's prompt was read: subtract its tokens from
 *	the upstream's backlog */
void send_release_backlog(step_t *step, send_t *send);

/** send_release() - the call's send has ended: subtract it from the upstream's
 *	load and forget its number */
void send_release(step_t *step, call_t *call);

/** send_avoid() - exclude an upstream from the call's further sends */
void send_avoid(call_t *call, dff_handle_t upstream);

/** send_note_answered() - the upstream of the call's send has answered it on a
 *	connection that may be used again */
void send_note_answered(call_t *call);

/** send_may_repeat() - whether a call that may have run may run again */
bool send_may_repeat(const call_t *call);

/** send_has_alternative() - whether an upstream other than the current one
 *	could take the call */
bool send_has_alternative(step_t *step, const call_t *call);

#endif
