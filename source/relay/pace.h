/*
 * Times of upstreams and their statements of how long work takes, as they reach
 * this node: in answers and in peers' frames.
 */
#ifndef DFF_RELAY_PACE_H
#define DFF_RELAY_PACE_H

#include "relay/peers.h"

/* Most rows of one frame. */
#define PACE_ROWS_MAX 32

/** pace_note_head() - process what the head of an answer says of the pace of
 *	its upstream */
void pace_note_head(step_t *step, upstream_t *up, const dff_relay_head_t *head);

/** pace_apply_frame() - add the times and statements that a frame reports */
void pace_apply_frame(step_t *step, const Dff__RelayBeat *frame);

/**
 * pace_list() - list times and statements not reported yet, of pools whose
 *	upstreams differ, for a frame
 * @summary: for a summary of the domain; otherwise only those to this node
 * @rows: room for PACE_ROWS_MAX; others are left for the next frame
 *
 * Return: number of rows.
 */
size_t pace_list(
    dff_relay_t *relay, bool summary, Dff__RelayPace *rows, dff_time_t now);

#endif
