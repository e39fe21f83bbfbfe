/*
 * One outgoing link to a peer: connects, reconnects after a failure, and
 * sends queued frames.
 */
#ifndef DFF_NET_PEER_LINK_H
#define DFF_NET_PEER_LINK_H

#include "net/peer.h"

/** typedef peer_link_t - an outgoing link */
typedef struct peer_link peer_link_t;

/**
 * struct peer_link_env - environment that all outgoing links share
 * @ctx: context
 * @loop: event loop
 * @config: settings, borrowed
 * @sink: receives DFF_EV_PEER_UP and DFF_EV_PEER_DOWN, from the loop
 * @counts: counters, borrowed
 */
typedef struct peer_link_env {
	dff_ctx_t *ctx;
	uv_loop_t *loop;
	const dff_peers_config_t *config;
	dff_sink_t sink;
	dff_peers_counts_t *counts;
} peer_link_env_t;

/** peer_link_new() - start connecting; freed by peer_link_drop() */
peer_link_t *peer_link_new(
    const peer_link_env_t *env, const char *id, const char *addr);

/** peer_link_drop() - close without an event; freed by the loop later */
void peer_link_drop(peer_link_t *link);

/** peer_link_send() - send a frame; while the link is down, only a
 *	replaceable frame is queued */
void peer_link_send(peer_link_t *link, const dff_fx_peer_send_t *send);

/** peer_link_unsent() - queued bytes if the link is up, else 0 */
size_t peer_link_unsent(const peer_link_t *link);

/** peer_link_last_used() - time of the last peer_link_send() */
dff_time_t peer_link_last_used(const peer_link_t *link);

#endif
