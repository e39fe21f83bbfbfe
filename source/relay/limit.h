/*
 * Rate limits that upstreams name for all nodes together, as they reach this
 * node: in answers and in peers' frames.
 */
#ifndef DFF_RELAY_LIMIT_H
#define DFF_RELAY_LIMIT_H

#include "relay/peers.h"

/* Most rows of one frame. */
#define LIMIT_ROWS_MAX 40

/** limit_note_answer() - process what an answer to a request sent at @sent_at
 *	says of the upstream's rate limit */
void limit_note_answer(step_t *step, upstream_t *up,
    const dff_upstream_notice_t *notice, dff_time_t sent_at);

/** limit_note_request() - process the limit that a permit request names, if
 *	this node knows of none */
void limit_note_request(step_t *step, upstream_t *up,
    const Dff__RelayPermit *request, const char *addr);

/** limit_apply_frame() - apply the statements that a frame reports */
void limit_apply_frame(
    step_t *step, const peer_t *peer, const Dff__RelayBeat *frame);

/**
 * limit_list() - list statements for a frame
 * @summary: for a summary of the domain; otherwise only statements to this node
 * @all: all limits; otherwise only those that changed recently
 * @rows: room for LIMIT_ROWS_MAX; with more statements, calls list them in turn
 *
 * Return: number of rows.
 */
size_t limit_list(dff_relay_t *relay, bool summary, bool all,
    Dff__RelayLimit *rows, dff_time_t now);

#endif
