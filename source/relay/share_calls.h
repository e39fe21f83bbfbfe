/*
 * Shares of scarce room, as calls and frames use them.
 */
#ifndef DFF_RELAY_SHARE_CALLS_H
#define DFF_RELAY_SHARE_CALLS_H

#include "relay/peers.h"

/* Most pools of which one frame reports use. */
#define SHARE_POOLS_MAX 4

/** struct share_rows - use of pools in a frame that is being built */
typedef struct share_rows {
	Dff__RelayShare reports[SHARE_POOLS_MAX];
	Dff__RelayShare *rows[SHARE_POOLS_MAX];
	uint32_t organisations[SHARE_POOLS_MAX][SHARE_ROWS_MAX];
	uint32_t uses[SHARE_POOLS_MAX][SHARE_ROWS_MAX];
	uint32_t ranks[SHARE_POOLS_MAX][SHARE_ROWS_MAX];
} share_rows_t;

/**
 * share_call_decide() - count a call and decide how long it may wait, at its
 *	first placement
 * @wait: longest time that it may wait for others
 *
 * Does nothing for calls of no organisation.
 */
void share_call_decide(
    step_t *step, call_t *call, const placement_t *place, dff_time_t wait);

/** share_call_limit() - longest time that a call may wait; @wait without
 *	scarce room */
dff_time_t share_call_limit(const call_t *call, dff_time_t wait);

/** share_call_note_sent() - a call is sent to an upstream */
void share_call_note_sent(step_t *step, call_t *call);

/** share_call_note_refused() - a call is refused for want of room */
void share_call_note_refused(step_t *step, const call_t *call);

/** share_call_retry_time() - retry time of a call beyond its share; @drain: the
 *	same by the queue */
dff_time_t share_call_retry_time(
    step_t *step, const call_t *call, dff_time_t drain);

/** share_list_frame() - list the use of pools where room is short; @domain: of
 *	the whole domain; returns the number of rows */
size_t share_list_frame(
    dff_relay_t *relay, bool domain, share_rows_t *rows, dff_time_t now);

/** share_apply_frame() - apply the use that a frame reports */
void share_apply_frame(
    step_t *step, const peer_t *peer, const Dff__RelayBeat *frame);

#endif
