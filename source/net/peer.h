/*
 * Links to the system's other processes: TCP, a four-byte big-endian
 * length, then a protobuf frame. Whoever connects sends; each pair of
 * processes has one connection a direction.
 */
#ifndef DFF_NET_PEER_H
#define DFF_NET_PEER_H

#include <uv.h>

#include "net/sink.h"

/* Largest frame. */
#define DFF_FRAME_MAX (1024 * 1024)

/**
 * struct dff_peers_config - settings of the links
 * @listen: "ip:port" to listen on, or "" for none
 * @tcp_timeout: longest time that sent bytes may stay unacknowledged
 * @retry_min: first wait before another try to connect
 * @retry_max: longest such wait
 * @queue_max: bytes that may wait for one peer
 * @idle_max: a link without frames for so long is closed and forgotten
 */
typedef struct dff_peers_config {
	const char *listen;
	dff_time_t tcp_timeout;
	dff_time_t retry_min;
	dff_time_t retry_max;
	size_t queue_max;
	dff_time_t idle_max;
} dff_peers_config_t;

/** dff_peers_defaults() - settings that suit a small fleet */
void dff_peers_defaults(dff_peers_config_t *config);

/**
 * struct dff_peers_counts - what the links count
 * @connects: outgoing links that came up
 * @accepted: incoming links
 * @bad: incoming links closed because of what they sent
 * @dropped: frames that were not sent: link down, or queue full
 * @replaced: frames that a newer one took the place of
 */
typedef struct dff_peers_counts {
	uint64_t connects;
	uint64_t accepted;
	uint64_t bad;
	uint64_t dropped;
	uint64_t replaced;
} dff_peers_counts_t;

/** typedef dff_peers_t - all links of this process */
typedef struct dff_peers dff_peers_t;

/**
 * dff_peers_new() - listen
 * @peers: set to the links, which the caller drops
 *
 * Return: 0 or a negative error number.
 */
int dff_peers_new(dff_ctx_t *ctx, uv_loop_t *loop,
    const dff_peers_config_t *config, const dff_sink_t *sink,
    dff_peers_t **peers);

/** dff_peers_drop() - close all; NULL is allowed */
void dff_peers_drop(dff_peers_t *peers);

/** dff_peers_send() - send a frame, or let it wait for the link */
void dff_peers_send(dff_peers_t *peers, const dff_fx_peer_send_t *send);

/** dff_peers_counts() - the counters */
void dff_peers_counts(const dff_peers_t *peers, dff_peers_counts_t *counts);

/** dff_peers_unsent() - bytes that wait on links that are up */
size_t dff_peers_unsent(const dff_peers_t *peers);

#endif
