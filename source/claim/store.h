/*
 * State built from the claims stream: the claimed keys, their holders and the
 * outcome of each call. It depends on the applied prefix of the stream alone,
 * and not on the calls that wait at this node.
 */
#ifndef CLAIM_STORE_H
#define CLAIM_STORE_H

#include <glib.h>

#include "dragonflyfall/claim.h"
#include "proto/dragonflyfall.pb-c.h"

/* Most bytes of stored answers; beyond this the oldest are discarded. */
#define CLAIM_ANSWER_BYTES_MAX (4 * 1024 * 1024)
/* Size of a stored content type, including the NUL. */
#define CLAIM_CONTENT_TYPE_MAX 128
/* Version of the records written and read. */
#define CLAIM_RECORD_VERSION 1

/** enum claim_outcome - ClaimOutcome.state, as written in records */
typedef enum claim_outcome {
	CLAIM_OUTCOME_NONE = 0, /* no outcome recorded */
	CLAIM_OUTCOME_DONE = 1,
	CLAIM_OUTCOME_RELEASED = 2, /* in records only; frees the key */
	CLAIM_OUTCOME_UNKNOWN = 3,
} claim_outcome_t;

/**
 * struct claimed_key - one key with a claim
 * @key: key
 * @body_hash: hash of the request that claimed it
 * @offset: offset of the claim
 * @holder: VM id of the node that may execute the call
 * @incarnation: incarnation of the holder's process
 * @time_ms: platform's clock at the last record that changed it
 * @outcome: outcome of the call
 * @status: HTTP status of a completed call
 * @content_type: content type of the answer, owned, or NULL
 * @body: body of the answer, owned, or NULL
 * @body_len: size of @body in bytes
 * @not_kept: completed, but the answer is not stored
 * @update_link: link in claim_store_t.by_last_update
 */
typedef struct claimed_key {
	dff_key_t key;
	uint64_t body_hash;
	uint64_t offset;
	char holder[DFF_NAME_MAX];
	uint64_t incarnation;
	uint64_t time_ms;
	claim_outcome_t outcome;
	int status;
	char *content_type;
	uint8_t *body;
	size_t body_len;
	bool not_kept;
	GList *update_link;
} claimed_key_t;

/** typedef claim_store_t - the claimed keys */
typedef struct claim_store {
	GHashTable *by_key; /* dff_key_t -> claimed_key_t, owned */
	GQueue by_last_update; /* claimed_key_t, least recent first */
	uint64_t clock_ms;
	uint64_t applied;
	size_t answer_bytes;
} claim_store_t;

/** claim_key_hash() - hash of a dff_key_t, for GHashTable */
guint claim_key_hash(gconstpointer key);

/** claim_key_equal() - whether two dff_key_t are the same */
gboolean claim_key_equal(gconstpointer a, gconstpointer b);

/** claim_store_init() - initialise an empty store */
void claim_store_init(claim_store_t *store);

/** claim_store_clear() - free what the store owns */
void claim_store_clear(claim_store_t *store);

/** claim_store_find() - look up a claimed key; NULL if it is free */
claimed_key_t *claim_store_find(const claim_store_t *store, dff_key_t key);

/** claim_store_advance_clock() - set the clock and remove expired keys */
void claim_store_advance_clock(
    claim_store_t *store, uint64_t time_ms, uint64_t retention_ms);

/** claim_store_batch_valid() - whether a batch is well formed */
bool claim_store_batch_valid(const Dff__ClaimBatch *batch);

/**
 * claim_store_apply_claim() - apply one claim
 *
 * Return: true if it won, that is, if the key was free.
 */
bool claim_store_apply_claim(claim_store_t *store, const Dff__Claim *claim,
    uint64_t offset, const char *writer, uint64_t incarnation);

/**
 * claim_store_apply_outcome() - apply one outcome
 *
 * Return: true if it was accepted: it names the claim that holds the key,
 * comes from the process that made the claim, and is the first outcome.
 */
bool claim_store_apply_outcome(claim_store_t *store,
    const Dff__ClaimOutcome *outcome, const char *writer, uint64_t incarnation);

/** claim_store_save() - encode as a snapshot record; returns its length */
size_t claim_store_save(const claim_store_t *store, const char *writer,
    uint64_t incarnation, uint8_t **data);

/** claim_store_load() - replace the state; see dff_claims_load() */
int claim_store_load(
    claim_store_t *store, const uint8_t *data, size_t len, uint64_t first);

#endif
