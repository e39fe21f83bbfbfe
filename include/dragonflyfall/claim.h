/*
 * Idempotency claims, for calls that may be executed at most once. A node
 * appends a claim on the call's key to the claims stream before it sends the
 * call; the first claim in offset order wins, and only its writer may execute
 * the call, once.
 */
#ifndef DRAGONFLYFALL_CLAIM_H
#define DRAGONFLYFALL_CLAIM_H

#include "dragonflyfall/event.h"
#include "dragonflyfall/timer.h"

/* Largest answer body that is stored for replay, in bytes. */
#define DFF_CLAIM_BODY_MAX (16 * 1024)

/*
 * Top byte of the append ids of this module; it separates them from the
 * append ids of other modules of the node.
 */
#define DFF_CLAIM_APPEND_TAG ((uint64_t)0xc1 << 56)

/*
 * Status of a replay whose call completed but whose answer is not stored,
 * because it was too large or was evicted by later answers. The state is
 * DFF_CLAIM_REPLAYED and the body is a JSON error with code "answer_not_kept"
 * and "ran" set to "ran".
 */
#define DFF_CLAIM_NOT_KEPT_STATUS 410

/** struct dff_key - hash of owner, entry and the caller's idempotency key */
typedef struct dff_key {
	uint64_t hi;
	uint64_t lo;
} dff_key_t;

/** dff_key_make() - hash an owner, an entry and an idempotency key */
dff_key_t dff_key_make(
    const char *owner, const char *entry, const char *idempotency_key);

/** enum dff_claim_state - state of a key, as seen by one call */
typedef enum dff_claim_state {
	DFF_CLAIM_WAIT, /* undecided; a verdict follows */
	DFF_CLAIM_WON, /* this call may be executed, once */
	DFF_CLAIM_REPLAYED, /* completed earlier; its answer is returned */
	DFF_CLAIM_RUNNING, /* another call with this key is in progress */
	DFF_CLAIM_UNKNOWN, /* may have been executed; must not be retried */
	DFF_CLAIM_MISMATCH, /* the key was used with a different body */
	DFF_CLAIM_NOT_EXECUTED, /* log down; not executed and will not be */
} dff_claim_state_t;

/** dff_claim_state_name() - "wait", "won", "repeated", ... */
const char *dff_claim_state_name(dff_claim_state_t state);

/**
 * struct dff_claim_answer - an answer stored for replay
 * @status: HTTP status
 * @content_type: borrowed
 * @body: borrowed
 * @len: size of @body in bytes
 */
typedef struct dff_claim_answer {
	int status;
	const char *content_type;
	const uint8_t *body;
	size_t len;
} dff_claim_answer_t;

/**
 * struct dff_claim_verdict - decision on a call that was in DFF_CLAIM_WAIT
 * @call: call handle
 * @state: never DFF_CLAIM_WAIT
 * @answer: set with DFF_CLAIM_REPLAYED
 */
typedef struct dff_claim_verdict {
	uint64_t call;
	dff_claim_state_t state;
	dff_claim_answer_t answer;
} dff_claim_verdict_t;

/**
 * struct dff_claims_config - settings of the claims module
 * @node: VM id of this node
 * @incarnation: incarnation of this process
 * @batch_delay: how long a claim waits for others before it is appended
 * @batch_max: most claims and outcomes in one append
 * @decision_timeout: how long a claim may stay undecided before its call is
 *	answered as not executed, and an outcome unconfirmed before it is
 *	appended again
 * @key_retention_ms: how long a key is retained, by the platform's clock
 */
typedef struct dff_claims_config {
	char node[DFF_NAME_MAX];
	uint64_t incarnation;
	dff_time_t batch_delay;
	uint32_t batch_max;
	dff_time_t decision_timeout;
	uint64_t key_retention_ms;
} dff_claims_config_t;

/** typedef dff_claims_t - state of the claims stream and this node's claims */
typedef struct dff_claims dff_claims_t;

/** dff_claims_new() - create an empty state; @timers is borrowed until drop */
dff_claims_t *dff_claims_new(
    dff_ctx_t *ctx, const dff_claims_config_t *config, dff_timers_t *timers);

/** dff_claims_drop() - free the state; NULL is allowed */
void dff_claims_drop(dff_claims_t *claims);

/**
 * dff_claims_begin() - ask whether a call may be executed
 * @call: handle that the verdict returns
 * @log_up: whether the claims stream is reachable
 * @answer: set with DFF_CLAIM_REPLAYED; valid until the next call on @claims
 *
 * Return: the state; with DFF_CLAIM_WAIT a verdict follows.
 */
dff_claim_state_t dff_claims_begin(dff_ctx_t *ctx, dff_claims_t *claims,
    dff_key_t key, uint64_t body_hash, uint64_t call, bool log_up,
    dff_time_t now, dff_effects_t *fx, dff_claim_answer_t *answer);

/**
 * dff_claims_abandon() - a waiting call was answered as not executed
 *
 * If its claim still wins, the claim is released and the call is never
 * executed.
 */
void dff_claims_abandon(dff_ctx_t *ctx, dff_claims_t *claims, uint64_t call);

/**
 * dff_claims_finish() - record the outcome of a won claim
 * @state: DFF_CLAIM_REPLAYED if completed (with @answer),
 *	DFF_CLAIM_NOT_EXECUTED to release the key because nothing was sent, or
 *	DFF_CLAIM_UNKNOWN
 */
void dff_claims_finish(dff_ctx_t *ctx, dff_claims_t *claims, dff_key_t key,
    dff_claim_state_t state, const dff_claim_answer_t *answer, dff_time_t now,
    dff_effects_t *fx);

/** dff_claims_next_verdict() - take one verdict; false if there is none */
bool dff_claims_next_verdict(
    dff_claims_t *claims, dff_claim_verdict_t *verdict);

/**
 * dff_claims_appended() - handle the result of an append
 *
 * Appends of other modules are ignored.
 */
void dff_claims_appended(dff_ctx_t *ctx, dff_claims_t *claims,
    const dff_ev_log_appended_t *ev, dff_time_t now, dff_effects_t *fx);

/** dff_claims_timer_due() - handle an expired DFF_TIMER_CLAIM_* timer */
void dff_claims_timer_due(dff_ctx_t *ctx, dff_claims_t *claims,
    const dff_timer_t *timer, dff_time_t now, dff_effects_t *fx);

/**
 * dff_claims_holder_ended() - a node's process is known to have ended
 * @node: VM id
 * @incarnation: the last incarnation that has ended, which includes all
 *	earlier ones; UINT64_MAX, for a removed VM, stands for every
 *	incarnation that has written claims so far
 *
 * Its claims without an outcome are reported as unknown from now on. That is
 * safe even if the process is still alive, only more cautious than needed.
 */
void dff_claims_holder_ended(dff_ctx_t *ctx, dff_claims_t *claims,
    const char *node, uint64_t incarnation);

/**
 * dff_claims_open_count() - count this node's unfinished work on the stream
 *
 * Return: claims without a recorded outcome plus appends without a result.
 */
size_t dff_claims_open_count(const dff_claims_t *claims);

/** dff_claims_apply() - like dff_history_apply(), for the claims stream */
int dff_claims_apply(dff_ctx_t *ctx, dff_claims_t *claims, uint64_t offset,
    const uint8_t *data, size_t len, uint64_t time_ms, dff_time_t now,
    dff_effects_t *fx);

/** dff_claims_load() - like dff_history_load() */
int dff_claims_load(dff_ctx_t *ctx, dff_claims_t *claims, const uint8_t *data,
    size_t len, uint64_t first);

/** dff_claims_save() - like dff_history_save() */
int dff_claims_save(dff_ctx_t *ctx, const dff_claims_t *claims, uint8_t **data);

/**
 * dff_claims_rebase() - start after offset @applied with an empty state
 *
 * Used for a stream whose beginning has expired without a usable snapshot.
 *
 * Return: 0, or -EALREADY if records have been applied.
 */
int dff_claims_rebase(dff_claims_t *claims, uint64_t applied);

/** dff_claims_applied() - last offset applied, or 0 */
uint64_t dff_claims_applied(const dff_claims_t *claims);

#endif
