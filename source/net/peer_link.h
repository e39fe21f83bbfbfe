/*
 * One outgoing link to a peer: connects, tries again after a break, and
 * sends what waits.
 */
#ifndef DFF_NET_PEER_LINK_H
#define DFF_NET_PEER_LINK_H

#include "net/peer.h"

/** typedef peer_link_t - an outgoing link */
typedef struct peer_link peer_link_t;

/**
 * struct peer_link_owner - what a link is handed by its owner
 * @ctx: context
 * @loop: loop
 * @config: settings, borrowed
 * @sink: takes DFF_EV_PEER_UP and DFF_EV_PEER_DOWN, from the loop
 * @counts: counters, borrowed
 */
typedef struct peer_link_owner {
	dff_ctx_t *ctx;
	uv_loop_t *loop;
	const dff_peers_config_t *config;
	dff_sink_t sink;
	dff_peers_counts_t *counts;
} peer_link_owner_t;

/** peer_link_new() - begin to connect; dropped by peer_link_drop() */
peer_link_t *peer_link_new(
    const peer_link_owner_t *owner, const char *id, const char *addr);

/** peer_link_drop() - close without an event; freed by the loop later */
void peer_link_drop(peer_link_t *link);

/** peer_link_send() - send a frame, or let it wait if it is a newest one */
void peer_link_send(peer_link_t *link, const dff_fx_peer_send_t *send);

/** peer_link_unsent() - bytes that wait, if the link is up */
size_t peer_link_unsent(const peer_link_t *link);

/** peer_link_used() - moment at which a frame was last given */
dff_time_t peer_link_used(const peer_link_t *link);

#endif
