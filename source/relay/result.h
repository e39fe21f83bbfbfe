/*
 * Functions on the result of a send that result.c and answer_end.c share.
 */
#ifndef DFF_RELAY_RESULT_H
#define DFF_RELAY_RESULT_H

#include "relay/internal.h"

/** enum send_break - why a send ended without a complete answer */
typedef enum send_break {
	SEND_BREAK_CONNECTION, /* reset, or ended before its framing states */
	SEND_BREAK_INSIDE_EVENT, /* the stream ended inside an event */
	SEND_BREAK_NO_EVENT, /* the connection ended before the first event */
	SEND_BREAK_UPSTREAM_DOWN, /* no framing, and its upstream is down */
	SEND_BREAK_EVENT_SIZE, /* ended by this node: an event is too large */
	SEND_BREAK_LATE, /* ended by this node: no answer in time */
	SEND_BREAK_SOFTWARE, /* ended by this node: not the software version
			      * that made the stream's earlier events */
} send_break_t;

/** result_is_good() - whether the send's answer is a success with its
 *	upstream's signature */
bool result_is_good(const send_t *send);

/** result_forward() - forward part of the send's answer to the caller */
void result_forward(step_t *step, const call_t *call,
    dff_relay_effect_type_t type, const char *bytes, size_t len);

/** result_begin_answer() - forward the head, unless that was done */
void result_begin_answer(step_t *step, call_t *call);

/** result_retry() - send the call again, or give it up if it may not run
 *	again */
void result_retry(
    step_t *step, call_t *call, dff_failure_t failure, const char *why);

/** result_break() - the send, which was released, ended without a complete
 *	answer; @up may be NULL */
void result_break(step_t *step, call_t *call, upstream_t *up, send_break_t why);

/** result_forward_events() - forward the first @len buffered bytes, complete
 *	events of a resumable stream; returns false if they are or may be of
 *	another software version than those before, so that the send was
 *	broken off */
bool result_forward_events(step_t *step, call_t *call, size_t len);

#endif
