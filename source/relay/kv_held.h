/*
 * KV memory that requests hold at one engine, in tokens: parts of prompts that
 * several requests share count once, whichever node sent them, and all else by
 * request. No clock; the caller says when.
 */
#ifndef DFF_RELAY_KV_HELD_H
#define DFF_RELAY_KV_HELD_H

#include "dragonflyfall/relay.h"

/**
 * struct kv_held - what is held
 * @unshared: by own requests, without shared parts
 * @shared: by shared parts
 * @parts: id of a shared part (uint64_t) to what is known of it; NULL before
 *	the first
 * @peers_until: no part counts as held by peers from then on
 * @sweep_at: parts of peers are looked through again from then on
 */
typedef struct kv_held {
	uint64_t unshared;
	uint64_t shared;
	GHashTable *parts;
	dff_time_t peers_until;
	dff_time_t sweep_at;
} kv_held_t;

/** kv_held_clear() - free what it refers to */
void kv_held_clear(kv_held_t *held);

/** prompt_shared_tokens() - tokens of the parts that other requests may share:
 *	all but the last */
uint32_t prompt_shared_tokens(const dff_prompt_t *prompt);

/** kv_held_add() - a request of this node begins to hold its prompt and
 *	@tokens_out tokens of an answer */
void kv_held_add(kv_held_t *held, const dff_prompt_t *prompt,
    uint32_t tokens_out, dff_time_t now);

/** kv_held_remove() - it ends */
void kv_held_remove(kv_held_t *held, const dff_prompt_t *prompt,
    uint32_t tokens_out, dff_time_t now);

/** kv_held_note_peer() - a peer reports that it sent a request with a shared
 *	part; the part counts as held for some seconds, as peers do not report
 *	its end */
void kv_held_note_peer(
    kv_held_t *held, uint64_t part, uint32_t tokens, dff_time_t now);

/** kv_held_forget_peers() - no peer has a request there any more */
void kv_held_forget_peers(kv_held_t *held, dff_time_t now);

/**
 * kv_held_with() - tokens held if a request is added
 * @others: tokens that requests of other nodes hold without shared parts
 */
uint64_t kv_held_with(kv_held_t *held, uint64_t others,
    const dff_prompt_t *prompt, uint32_t tokens_out, dff_time_t now);

#endif
