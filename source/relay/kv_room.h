/*
 * Room in the KV memory of engines: what requests of this node and, by frames,
 * of others hold there, and whether one more fits. An engine that holds more
 * than its memory throws requests out or crashes. Loads that this answers: long
 * prompts with long answers, which take an engine's memory before its slots;
 * and handovers that wait at their prefill engines.
 */
#ifndef DFF_RELAY_KV_ROOM_H
#define DFF_RELAY_KV_ROOM_H

#include "relay/internal.h"
#include "relay/place.h"

/* A caller that is refused for want of room returns after this time, and that
 * of the spread: a usual answer ends and frees its memory. */
#define KV_ROOM_TIME (400 * DFF_MSEC)

/** kv_hold_send() - the call's send begins to hold memory of its engine */
void kv_hold_send(upstream_t *up, call_t *call, dff_time_t now);

/** kv_release_send() - it ends */
void kv_release_send(upstream_t *up, call_t *call, dff_time_t now);

/** kv_hold_handle() - the engine that read the call's prompt holds it until it
 *	is handed over */
void kv_hold_handle(step_t *step, call_t *call);

/** kv_release_handle() - the handover has ended, or there will be none */
void kv_release_handle(step_t *step, call_t *call);

/**
 * kv_has_room() - whether a request fits into an engine's memory
 * @decodes: the engine also makes the answer
 *
 * A part of the memory is kept for requests that other nodes are sending and
 * have not reported yet, and for those that are under way.
 */
bool kv_has_room(upstream_t *up, const placement_request_t *request,
    bool decodes, dff_time_t now);

#endif
