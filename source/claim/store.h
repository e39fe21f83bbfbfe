/*
 * The claims stream as state: which keys are held, by whom, and what became
 * of each call. A pure function of the stream's prefix; it knows nothing of
 * the calls that wait at this node.
 */
#ifndef CLAIM_STORE_H
#define CLAIM_STORE_H

#include <glib.h>

#include "dragonflyfall/claim.h"
#include "proto/dragonflyfall.pb-c.h"

/* Bytes of kept answers in all; beyond it the oldest are forgotten. */
#define CLAIM_KEPT_MAX (4 * 1024 * 1024)
/* The longest content type that is kept with an answer. */
#define CLAIM_TYPE_MAX 128
/* Version of the records written and read. */
#define CLAIM_RECORD_VERSION 1

/** enum held_state - ClaimOutcome.state, as written in records */
typedef enum held_state {
	HELD_OPEN = 0, /* no outcome recorded */
	HELD_DONE = 1,
	HELD_RELEASED = 2, /* in records only: the key is free again */
	HELD_UNKNOWN = 3,
} held_state_t;

/**
 * struct held - one key that is held
 * @key: key
 * @body_hash: hash of the request that claimed it
 * @offset: offset of the claim
 * @holder: VM id of the node that may run it
 * @incarnation: process of that node
 * @time_ms: platform's clock at the last record about it
 * @state: outcome
 * @status: HTTP status of a done call
 * @content_type: of the answer, owned, or NULL
 * @body: the answer, owned, or NULL
 * @len: bytes at @body
 * @not_kept: done, but the answer is not at hand
 * @link: its place in the order of age
 */
typedef struct held {
	dff_key_t key;
	uint64_t body_hash;
	uint64_t offset;
	char holder[DFF_NAME_MAX];
	uint64_t incarnation;
	uint64_t time_ms;
	held_state_t state;
	int status;
	char *content_type;
	uint8_t *body;
	size_t len;
	bool not_kept;
	GList *link;
} held_t;

/** typedef claim_store_t - the keys held */
typedef struct claim_store {
	GHashTable *by_key; /* dff_key_t -> held_t, owned */
	GQueue by_age; /* held_t, the longest untouched first */
	uint64_t clock_ms;
	uint64_t applied;
	size_t kept_bytes;
} claim_store_t;

/** claim_key_hash() - hash of a dff_key_t, for GLib's tables */
guint claim_key_hash(gconstpointer key);

/** claim_key_equal() - whether two dff_key_t are the same */
gboolean claim_key_equal(gconstpointer a, gconstpointer b);

/** claim_store_init() - no key is held */
void claim_store_init(claim_store_t *store);

/** claim_store_clear() - free what the store owns */
void claim_store_clear(claim_store_t *store);

/** claim_store_find() - the key's claim, or NULL */
held_t *claim_store_find(const claim_store_t *store, dff_key_t key);

/** claim_store_tick() - take in the platform's clock and prune by it */
void claim_store_tick(
    claim_store_t *store, uint64_t time_ms, uint64_t window_ms);

/** claim_store_check() - whether a batch is well formed */
bool claim_store_check(const Dff__ClaimBatch *batch);

/**
 * claim_store_claim() - apply one claim
 *
 * Return: true if it won, that is, the key was free.
 */
bool claim_store_claim(claim_store_t *store, const Dff__Claim *claim,
    uint64_t offset, const char *writer, uint64_t incarnation);

/**
 * claim_store_outcome() - apply one outcome
 *
 * Return: true if it counted: it names the claim that holds the key, comes
 * from the process that made that claim, and is the first.
 */
bool claim_store_outcome(claim_store_t *store, const Dff__ClaimOutcome *outcome,
    const char *writer, uint64_t incarnation);

/** claim_store_save() - encode as a snapshot record; returns its length */
size_t claim_store_save(const claim_store_t *store, const char *writer,
    uint64_t incarnation, uint8_t **data);

/** claim_store_load() - take over a snapshot, as dff_claims_load() */
int claim_store_load(
    claim_store_t *store, const uint8_t *data, size_t len, uint64_t first);

#endif
