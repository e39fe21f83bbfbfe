/*
 * The peers of a relay and what they have under way.
 */
#ifndef DFF_RELAY_PEERS_H
#define DFF_RELAY_PEERS_H

#include "proto/dragonflyfall.pb-c.h"
#include "relay/internal.h"

/* A reader that did not read for so long does not count. */
#define READER_FRESH (1300 * DFF_MSEC)
/* A domain whose nodes did not read for so long does not count: its sums come
 * at some distance. */
#define DOMAIN_FRESH (2200 * DFF_MSEC)
/* Nodes of another domain that are told the sum: its relay and the next. */
#define RELAYS_TOLD 2
/* A source age that says "never". */
#define AGE_NEVER UINT32_MAX

/** peers_find() - by address; NULL if unknown */
peer_t *peers_find(const dff_relay_t *relay, const char *addr);

/** peers_find_summary() - what is told of a domain, made if unknown */
peer_t *peers_find_summary(dff_relay_t *relay, const char *node);

/** peer_is_alive() - heard lately */
bool peer_is_alive(
    const dff_relay_t *relay, const peer_t *peer, dff_time_t now);

/** peer_is_direct() - it gets this node's own frames */
bool peer_is_direct(const dff_relay_t *relay, const peer_t *peer);

/** peers_is_far() - an upstream is in another failure domain */
bool peers_is_far(const dff_relay_t *relay, const upstream_t *up);

/** peer_rank() - order among nodes, the same everywhere: fast links first */
uint64_t peer_rank(const char *addr, uint32_t link_mbps);

/** peers_is_relay() - this node is first in its domain */
bool peers_is_relay(const dff_relay_t *relay, dff_time_t now);

/** peers_speaks() - this node speaks for its domain, in a large fleet */
bool peers_speaks(const dff_relay_t *relay, dff_time_t now);

/** peers_hears_domains() - this node is to fetch what other domains read: it
 *	is one of those that they tell their sums to */
bool peers_hears_domains(const dff_relay_t *relay, dff_time_t now);

/** peers_source_heard() - when this domain last read the record source; 0 if
 *	never */
dff_time_t peers_source_heard(const dff_relay_t *relay);

/** peers_sum_time() - a time of the sums of domains, in a fleet of this size:
 *	they are handed on to all nodes, so more nodes hear them more rarely */
dff_time_t peers_sum_time(const dff_relay_t *relay, dff_time_t usual);

/** peer_interval() - time between a peer's beats, or a domain's sums */
dff_time_t peer_interval(const dff_relay_t *relay, const peer_t *peer);

/** peers_sweep() - forget silent peers, and their loads at once */
void peers_sweep(step_t *step);

/** peer_load_frame() - take what a frame tells of upstreams */
void peer_load_frame(
    dff_relay_t *relay, peer_t *peer, const Dff__RelayBeat *beat);

#endif
