/*
 * Origins of resumable streams: the software version that began each. A caller
 * may resume a stream at any node, also after all nodes have restarted, so
 * origins are stored outside the fleet. A stream whose origin is not known does
 * not go on, unless its pool has run one version only.
 *
 * An origin is recorded with the first send of a stream, as that is well before
 * its first event. If the stream begins at another version after all, because
 * the first upstream did not run it, that send waits until the store has
 * accepted the new origin.
 */
#ifndef DFF_RELAY_ORIGIN_H
#define DFF_RELAY_ORIGIN_H

#include "relay/internal.h"

/* Subject of the timer DFF_TIMER_FLEET_TICK. */
#define TICK_ORIGINS 2

/** origins_new() - an empty table; the caller drops it */
origins_t *origins_new(void);

/** origins_drop() - free the table */
void origins_drop(origins_t *origins);

/* ---- streams that begin ---- */

/** origin_bound_software() - the only software version at which the call's
 *	stream may run; "" for any */
const char *origin_bound_software(const call_t *call);

/** origin_wait_store() - store a new origin if the call's stream was recorded
 *	at another version than that of @up; returns whether the call waits for
 *	it, after which it is placed again */
bool origin_wait_store(step_t *step, call_t *call, const upstream_t *up);

/** origin_note_send() - the call's send leaves: record it as the stream's
 *	origin, unless the stream has begun */
void origin_note_send(step_t *step, call_t *call);

/**
 * origin_note_event() - an event of the call's stream has arrived from its send
 *
 * The first one binds the stream to the software version that made it.
 *
 * Return: false if the event must not be forwarded, as it is or may be of
 * another version than those before it.
 */
bool origin_note_event(step_t *step, call_t *call);

/** origin_note_break() - the call's send has broken off; withdraws the origin of
 *	the stream that it began if its upstream may have run other software */
void origin_note_break(step_t *step, call_t *call);

/**
 * origin_wait_withdrawal() - whether the call waits until the store has accepted
 * that its stream's origin was withdrawn
 *
 * Its caller may resume the stream at another node as soon as it breaks off, and
 * that node would find the old origin. The call is given up then, or after a
 * while.
 */
bool origin_wait_withdrawal(step_t *step, call_t *call);

/** origin_apply_stored() - the store has accepted or refused a batch */
void origin_apply_stored(step_t *step, const dff_relay_stored_t *stored);

/** origin_time_out() - a call has waited too long for the store */
void origin_time_out(step_t *step, call_t *call);

/* ---- streams that are resumed ---- */

/** origin_note_start() - the record source has answered for the first time:
 *	streams may have begun before this process */
void origin_note_start(step_t *step);

/** origin_note_change() - the origins of streams that begin from now on may
 *	differ from earlier ones in a way that this node may not have seen */
void origin_note_change(step_t *step);

/** origin_note_versions() - an upstream was listed or has restarted: once a pool
 *	has two software versions, new origins are stored sooner */
void origin_note_versions(step_t *step);

/** origin_note_routing() - the same if a resumable route has other pools in
 *	@next than in @routing, which is NULL at first */
void origin_note_routing(
    step_t *step, const dff_routing_t *routing, const dff_routing_t *next);

/** origin_resume() - bind a call to the origin of the stream that it resumes,
 *	and place it. If its pool may have run more than one version, the call
 *	waits for a lookup unless this node began the stream, and is refused if
 *	that finds nothing, or at once if its caller names no attempt */
void origin_resume(step_t *step, call_t *call);

/** origin_apply_read() - apply the origins that a lookup found */
void origin_apply_read(step_t *step, const dff_relay_origins_t *read);

/** origin_restore() - the store may have lost origins: store those of this node
 *	again, and forget those of others */
void origin_restore(step_t *step);

/** origin_run_timer() - store new origins, and refuse calls whose lookup takes
 *	too long */
void origin_run_timer(step_t *step);

/** origin_sweep() - remove origins of streams that have ended */
void origin_sweep(step_t *step);

#endif
