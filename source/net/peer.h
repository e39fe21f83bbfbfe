/*
 * Links to the system's other processes over TCP: a four-byte big-endian
 * length, then a protobuf frame. The side that connects sends; each pair of
 * processes has one connection per direction.
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
 * @retry_min: first delay before connecting again
 * @retry_max: longest such delay
 * @queue_max: most bytes queued for one peer
 * @idle_max: time without frames after which a link is closed and freed
 */
typedef struct dff_peers_config {
	const char *listen;
	dff_time_t tcp_timeout;
	dff_time_t retry_min;
	dff_time_t retry_max;
	size_t queue_max;
	dff_time_t idle_max;
} dff_peers_config_t;

/** dff_peers_defaults() - default settings, for a small fleet */
void dff_peers_defaults(dff_peers_config_t *config);

/**
 * struct dff_peers_counts - counters of the links
 * @connects: outgoing links established
 * @accepted: incoming links accepted
 * @bad: incoming links closed because of invalid bytes or no first frame
 * @dropped: frames not sent because the link was down or the queue full
 * @replaced: queued frames replaced by a newer one
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
 * dff_peers_new() - start listening
 * @peers: set to the links, which the caller drops; NULL on failure
 *
 * Return: 0 or a negative error number.
 */
int dff_peers_new(dff_ctx_t *ctx, uv_loop_t *loop,
    const dff_peers_config_t *config, const dff_sink_t *sink,
    dff_peers_t **peers);

/** dff_peers_drop() - close all links; NULL is allowed */
void dff_peers_drop(dff_peers_t *peers);

/** dff_peers_send() - send a frame, or queue it for the link */
void dff_peers_send(dff_peers_t *peers, const dff_fx_peer_send_t *send);

/** dff_peers_counts() - copy the counters */
void dff_peers_counts(const dff_peers_t *peers, dff_peers_counts_t *counts);

/** dff_peers_unsent() - bytes queued on links that are up */
size_t dff_peers_unsent(const dff_peers_t *peers);

#endif
