/*
 * Whether this node reaches upstreams at all, and those of each pool. A node
 * that is cut off from all of them sees each as if it had crashed; it must not
 * tell so. Callers whose pool cannot be reached are served through peers.
 */
#ifndef DFF_RELAY_REACH_H
#define DFF_RELAY_REACH_H

#include "relay/internal.h"

/** reach_new() - a node that reaches its upstreams */
reach_t *reach_new(void);

/** reach_drop() - free it */
void reach_drop(reach_t *reach);

/** reach_is_cut_off() - whether no upstream accepts connections of this node */
bool reach_is_cut_off(const dff_relay_t *relay);

/** reach_pool_is_cut_off() - whether no upstream of the pool accepts connections
 *	of this node, as far as it has tried */
bool reach_pool_is_cut_off(const dff_relay_t *relay, const char *pool);

/** reach_peer_reaches() - whether a peer may reach upstreams of the pool: it has
 *	not reported all of them as unreachable */
bool reach_peer_reaches(const dff_relay_t *relay, const peer_t *peer,
    const char *pool, dff_time_t now);

/**
 * reach_is_proved() - whether this node has reached some upstream since then
 *
 * Until it has, a failure to reach one may be this node's own. With a single
 * upstream nothing can tell the two apart, and the failure counts.
 */
bool reach_is_proved(
    const dff_relay_t *relay, dff_time_t since, dff_time_t now);

/** reach_note_failure() - an upstream could not be reached: probe some, unless
 *	one was reached just now */
void reach_note_failure(step_t *step);

/** reach_note_refused() - an upstream has not accepted a probe, and none was
 *	reached meanwhile: probe others, or this node is cut off */
void reach_note_refused(step_t *step, const upstream_t *up);

/** reach_note_bytes() - bytes of an upstream have arrived */
void reach_note_bytes(step_t *step);

/** reach_note_accepted() - an upstream has accepted a probe */
void reach_note_accepted(step_t *step, upstream_t *up);

/** reach_check() - periodic check: while cut off, probe for its end; otherwise
 *	probe if sends are in flight and nothing at all arrives */
void reach_check(step_t *step);

#endif
