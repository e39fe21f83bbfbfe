/*
 * The peers of a relay and the requests that they have in flight.
 */
#ifndef DFF_RELAY_PEERS_H
#define DFF_RELAY_PEERS_H

#include "proto/dragonflyfall.pb-c.h"
#include "relay/internal.h"

/* A node that has not read the record source for this time is not counted
 * among its readers. */
#define READER_AGE_MAX (1300 * DFF_MSEC)
/* The same for the nodes of another domain, whose summaries come less often
 * than frames. */
#define DOMAIN_READ_AGE_MAX (2200 * DFF_MSEC)
/* Nodes of another domain that receive summaries: its leader and the next. */
#define SUMMARY_RECEIVERS 2
/* Source age of a node that has never read the record source. */
#define AGE_NEVER UINT32_MAX

/** peers_find() - look a peer up by address; NULL if unknown */
peer_t *peers_find(const dff_relay_t *relay, const char *addr);

/** peers_find_or_add_summary() - entry of a domain's summary, added if
 *	unknown */
peer_t *peers_find_or_add_summary(dff_relay_t *relay, const char *node);

/** peer_is_alive() - a frame of the peer came recently */
bool peer_is_alive(
    const dff_relay_t *relay, const peer_t *peer, dff_time_t now);

/** peer_is_direct() - the peer receives this node's own frames */
bool peer_is_direct(const dff_relay_t *relay, const peer_t *peer);

/** peers_upstream_is_remote() - the upstream is in another failure domain */
bool peers_upstream_is_remote(const dff_relay_t *relay, const upstream_t *up);

/** peer_rank() - rank of a node, the same on all nodes; nodes with faster
 *	links rank higher */
uint64_t peer_rank(const char *addr, uint32_t link_mbps);

/** peers_is_domain_leader() - this node ranks highest in its domain */
bool peers_is_domain_leader(const dff_relay_t *relay, dff_time_t now);

/** peers_sends_summaries() - the fleet is large and this node leads its
 *	domain, so that it sends summaries to other domains */
bool peers_sends_summaries(const dff_relay_t *relay, dff_time_t now);

/** peers_receives_summaries() - this node is one of those that other domains
 *	send summaries to, and fetches the records that they have read */
bool peers_receives_summaries(const dff_relay_t *relay, dff_time_t now);

/** peers_last_source_read() - when a node of this domain last read the record
 *	source; 0 if none did */
dff_time_t peers_last_source_read(const dff_relay_t *relay);

/** peers_scale_summary_time() - scale a time of domain summaries to the size
 *	of the fleet: summaries are forwarded to all nodes, so that a larger
 *	fleet sends them less often */
dff_time_t peers_scale_summary_time(const dff_relay_t *relay, dff_time_t usual);

/** peer_frame_interval() - time between a peer's periodic frames, or between
 *	a domain's summaries */
dff_time_t peer_frame_interval(const dff_relay_t *relay, const peer_t *peer);

/** frame_pack() - encode a frame of this node, valid until the next step */
const GByteArray *frame_pack(dff_relay_t *relay, Dff__RelayBeat *frame);

/** frame_pack_rows() - encode a frame that has rows alone and no state of this
 *	node, valid until the next step */
const GByteArray *frame_pack_rows(dff_relay_t *relay, Dff__RelayBeat *frame);

/** frame_send_bytes() - send an encoded frame to an address; @bytes are borrowed
 *	until the next step */
void frame_send_bytes(
    step_t *step, const char *addr, const uint8_t *bytes, size_t len);

/**
 * frame_send_rows() - send a frame that has rows alone to an address
 *
 * Return: its bytes.
 */
size_t frame_send_rows(step_t *step, const char *addr, Dff__RelayBeat *frame);

/** peers_sweep() - clear the loads of silent peers, and remove peers that are
 *	silent for long */
void peers_sweep(step_t *step);

/** peer_apply_loads() - apply the loads at upstreams that a frame reports */
void peer_apply_loads(
    dff_relay_t *relay, peer_t *peer, const Dff__RelayBeat *frame);

#endif
