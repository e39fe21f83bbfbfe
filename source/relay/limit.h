/*
 * Rate limits that upstreams name for all nodes together.
 */
#ifndef DFF_RELAY_LIMIT_H
#define DFF_RELAY_LIMIT_H

#include "relay/internal.h"

/** limit_note_answer() - process what an answer to a request sent at @sent_at
 *	says of the upstream's rate limit */
void limit_note_answer(step_t *step, upstream_t *up,
    const dff_upstream_notice_t *notice, dff_time_t sent_at);

#endif
