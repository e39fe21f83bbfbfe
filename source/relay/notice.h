/*
 * Notices of upstreams in frames between nodes.
 */
#ifndef DFF_RELAY_NOTICE_H
#define DFF_RELAY_NOTICE_H

#include "relay/peers.h"

/* Most rows of one frame. */
#define NOTICE_ROWS_MAX 40

/** notice_apply_frame() - apply the notices that a frame reports */
void notice_apply_frame(
    step_t *step, const peer_t *peer, const Dff__RelayBeat *frame);

/**
 * notice_list() - list the notices for a frame
 * @farthest: most distant origin of the listed notices of leaving: a node
 *	reports its own, a domain's summary those of its nodes, and nobody those
 *	of another domain
 * @rows: room for NOTICE_ROWS_MAX
 *
 * Return: number of rows.
 */
size_t notice_list(const dff_relay_t *relay, notice_origin_t farthest,
    Dff__RelayWord *rows, dff_time_t now);

#endif
