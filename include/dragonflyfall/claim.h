/*
 * Idempotency claims: calls that may run at most once. A call's key is
 * claimed in the claims stream before the call may leave; the first claim
 * in offset order wins and only its writer may run the call, once.
 */
#ifndef DRAGONFLYFALL_CLAIM_H
#define DRAGONFLYFALL_CLAIM_H

#include "dragonflyfall/event.h"
#include "dragonflyfall/timer.h"

/* The largest answer that is kept to be given again. */
#define DFF_CLAIM_BODY_MAX (16 * 1024)

/*
 * The top byte of the ids of this part's appends, so that the node can tell
 * them from those of other parts.
 */
#define DFF_CLAIM_APPEND_TAG ((uint64_t)0xc1 << 56)

/*
 * What a repeat gets when the call was done but its answer was not kept
 * (too large, or too many since): DFF_CLAIM_REPEATED with this status and a
 * JSON error whose code is "answer_not_kept" and whose "ran" is "ran".
 */
#define DFF_CLAIM_NOT_KEPT_STATUS 410

/** struct dff_key - hash of owner, entry and the caller's key */
typedef struct dff_key {
	uint64_t hi;
	uint64_t lo;
} dff_key_t;

/** dff_key_make() - key of an owner's call to an entry */
dff_key_t dff_key_make(
    const char *owner, const char *entry, const char *idem_key);

/** enum dff_claim_state - what is known of a key */
typedef enum dff_claim_state {
	DFF_CLAIM_WAIT, /* a verdict will come */
	DFF_CLAIM_WON, /* this call may run, once */
	DFF_CLAIM_REPEATED, /* done before; the answer is at hand */
	DFF_CLAIM_RUNNING, /* another call with this key is under way */
	DFF_CLAIM_UNKNOWN, /* it may have run; never run it again */
	DFF_CLAIM_MISMATCH, /* the key was used with another body */
	DFF_CLAIM_DOWN, /* the log is down; it did not and will not run */
} dff_claim_state_t;

/** dff_claim_state_name() - "wait", "won", "repeated", ... */
const char *dff_claim_state_name(dff_claim_state_t state);

/**
 * struct dff_claim_answer - an answer kept to be given again
 * @status: HTTP status
 * @content_type: borrowed
 * @body: borrowed
 * @len: bytes at @body
 */
typedef struct dff_claim_answer {
	int status;
	const char *content_type;
	const uint8_t *body;
	size_t len;
} dff_claim_answer_t;

/**
 * struct dff_claim_verdict - what became of a call that waited
 * @call: call handle
 * @state: never DFF_CLAIM_WAIT
 * @answer: with DFF_CLAIM_REPEATED
 */
typedef struct dff_claim_verdict {
	uint64_t call;
	dff_claim_state_t state;
	dff_claim_answer_t answer;
} dff_claim_verdict_t;

/**
 * struct dff_claims_config - settings of the claims part
 * @node: VM id of this node
 * @incarnation: this process's incarnation
 * @batch_time: how long a claim waits for others before it is appended
 * @batch_max: claims and outcomes in one append
 * @give_up: how long an append may stay undecided before the call is told
 * @window_ms: how long a key is remembered, by the platform's clock
 */
typedef struct dff_claims_config {
	char node[DFF_NAME_MAX];
	uint64_t incarnation;
	dff_time_t batch_time;
	uint32_t batch_max;
	dff_time_t give_up;
	uint64_t window_ms;
} dff_claims_config_t;

/** typedef dff_claims_t - state of the claims stream, and what waits here */
typedef struct dff_claims dff_claims_t;

/** dff_claims_new() - empty state; @timers is borrowed for its life */
dff_claims_t *dff_claims_new(
    dff_ctx_t *ctx, const dff_claims_config_t *config, dff_timers_t *timers);

/** dff_claims_drop() - free the state; NULL is allowed */
void dff_claims_drop(dff_claims_t *claims);

/**
 * dff_claims_begin() - ask whether a call may run
 * @call: handle that comes back in the verdict
 * @log_up: the claims stream answers
 * @answer: set with DFF_CLAIM_REPEATED; good until the next call here
 *
 * Return: the state; with DFF_CLAIM_WAIT a verdict follows.
 */
dff_claim_state_t dff_claims_begin(dff_ctx_t *ctx, dff_claims_t *claims,
    dff_key_t key, uint64_t body_hash, uint64_t call, bool log_up,
    dff_time_t now, dff_effects_t *fx, dff_claim_answer_t *answer);

/**
 * dff_claims_abandon() - a waiting call was told that it did not run
 *
 * Should its claim still win, it is released and never runs.
 */
void dff_claims_abandon(dff_ctx_t *ctx, dff_claims_t *claims, uint64_t call);

/**
 * dff_claims_finish() - record the outcome of a claim that was won
 * @state: DFF_CLAIM_REPEATED for done (with @answer), DFF_CLAIM_DOWN for
 *	released because nothing was sent, DFF_CLAIM_UNKNOWN
 */
void dff_claims_finish(dff_ctx_t *ctx, dff_claims_t *claims, dff_key_t key,
    dff_claim_state_t state, const dff_claim_answer_t *answer, dff_time_t now,
    dff_effects_t *fx);

/** dff_claims_next_verdict() - take one verdict; false if there is none */
bool dff_claims_next_verdict(
    dff_claims_t *claims, dff_claim_verdict_t *verdict);

/** dff_claims_appended() - an append of this part ended; others are ignored */
void dff_claims_appended(dff_ctx_t *ctx, dff_claims_t *claims,
    const dff_ev_log_appended_t *ev, dff_time_t now, dff_effects_t *fx);

/** dff_claims_due() - a timer of kind DFF_TIMER_CLAIM_* is due */
void dff_claims_due(dff_ctx_t *ctx, dff_claims_t *claims,
    const dff_timer_t *timer, dff_time_t now, dff_effects_t *fx);

/**
 * dff_claims_holder_gone() - a node's process is known to have ended
 * @node: VM id
 * @incarnation: the process, and all earlier ones; UINT64_MAX for those that
 *	wrote claims so far, where the VM itself is gone
 *
 * Its claims without outcome are unknown from now on. Should it have been
 * alive after all, that was too careful, and never wrong.
 */
void dff_claims_holder_gone(dff_ctx_t *ctx, dff_claims_t *claims,
    const char *node, uint64_t incarnation);

/** dff_claims_open() - claims of this node that have no outcome recorded */
size_t dff_claims_open(const dff_claims_t *claims);

/** dff_claims_apply() - as dff_history_apply(), for the claims stream */
int dff_claims_apply(dff_ctx_t *ctx, dff_claims_t *claims, uint64_t offset,
    const uint8_t *data, size_t len, uint64_t time_ms, dff_time_t now,
    dff_effects_t *fx);

/** dff_claims_load() - as dff_history_load() */
int dff_claims_load(dff_ctx_t *ctx, dff_claims_t *claims, const uint8_t *data,
    size_t len, uint64_t first);

/** dff_claims_save() - as dff_history_save() */
int dff_claims_save(dff_ctx_t *ctx, const dff_claims_t *claims, uint8_t **data);

/**
 * dff_claims_rebase() - begin after an offset, with nothing before it
 *
 * For a stream whose beginning has expired without a usable snapshot.
 *
 * Return: 0, or -EALREADY if records have been applied.
 */
int dff_claims_rebase(dff_claims_t *claims, uint64_t applied);

/** dff_claims_applied() - last offset applied; 0 none */
uint64_t dff_claims_applied(const dff_claims_t *claims);

#endif
