/*
 * A model of a model engine, without I/O or clock: continuous batching,
 * chunked prefill, memory pieces, a prefix cache, roles, orders, crashes.
 * The engine stand-in drives it by a timer, tests and benches by virtual
 * time: call dff_engine_model_advance() at dff_engine_model_next().
 */
#ifndef DRAGONFLYFALL_MODEL_ENGINE_H
#define DRAGONFLYFALL_MODEL_ENGINE_H

#include <glib.h>

#include "dragonflyfall/event.h"

/* Tokens that one memory piece holds; also those of one prefix block. */
#define DFF_PIECE_TOKENS (DFF_PREFIX_BLOCK_BYTES / DFF_BYTES_PER_TOKEN)
/* The longest text of a token, with its NUL. */
#define DFF_TOKEN_TEXT_MAX 16

/**
 * struct dff_engine_config - settings of an engine
 * @incarnation: of its process; grows by one at each crash
 * @role: role at its start, also after a crash
 * @model: model loaded at its start
 * @version: version of it
 * @check_fence: refuse orders with a lower fencing number than seen
 * @cut_on_order: carry out an order although requests run, and cut them;
 *	else say busy
 * @pieces: memory pieces
 * @batch_max: requests in the batch
 * @queue_max: requests that wait for the batch
 * @chunk_tokens: prompt tokens prefilled in one step
 * @prefill_us: time to prefill one token
 * @step_us: time of a decode step with an empty batch
 * @request_us: time that each decoding request adds to a step
 * @kv_piece_us: time to export or import one piece of KV cache
 * @kv_near_us: time of one piece on the link inside a failure domain
 * @kv_far_us: the same across failure domains
 * @kv_keep: how long KV cache of a prefill phase waits for its export
 * @role_away: time away for a change of role
 * @load_away: time away for a load of a model, adapter or version
 * @restart_away: time away after a crash
 * @report_lag: age of a load report
 * @report_every: time between two states that reports can tell
 * @cache_lag: age of a cache event
 * @cache_loss: share of cache events that are lost, 0 to 1
 * @output_mean: mean tokens of an answer that ends by itself; 0: answers
 *	run up to their bound
 * @keep_journal: note each request, not only orders
 */
typedef struct dff_engine_config {
	uint64_t incarnation;
	dff_role_t role;
	char model[DFF_NAME_MAX];
	uint32_t version;
	bool check_fence;
	bool cut_on_order;
	uint32_t pieces;
	uint32_t batch_max;
	uint32_t queue_max;
	uint32_t chunk_tokens;
	double prefill_us;
	double step_us;
	double request_us;
	double kv_piece_us;
	double kv_near_us;
	double kv_far_us;
	dff_time_t kv_keep;
	dff_time_t role_away;
	dff_time_t load_away;
	dff_time_t restart_away;
	dff_time_t report_lag;
	dff_time_t report_every;
	dff_time_t cache_lag;
	double cache_loss;
	uint32_t output_mean;
	bool keep_journal;
} dff_engine_config_t;

/** dff_engine_config_defaults() - an engine as in today's fleets */
void dff_engine_config_defaults(dff_engine_config_t *config);

/**
 * struct dff_engine_request - one request
 * @id: number of the try
 * @model: model wanted; "" for any
 * @prompt_hash: hash of the whole prompt
 * @prompt_tokens: tokens of it
 * @max_tokens: bound on the whole answer
 * @answer_tokens: where the answer ends by itself; 0 leaves it to
 *	dff_model_answer_tokens()
 * @resume_at: index of the first token wanted
 * @priority: 0 is the most urgent
 * @phase: part of the work; with DFF_PHASE_DECODE it waits for
 *	dff_engine_model_import()
 * @prefix: prefix hashes, copied
 * @prefix_count: how many
 * @poison: it crashes the engine when its prefill ends
 */
typedef struct dff_engine_request {
	uint64_t id;
	const char *model;
	uint64_t prompt_hash;
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	uint32_t answer_tokens;
	uint32_t resume_at;
	uint32_t priority;
	dff_phase_t phase;
	const uint64_t *prefix;
	size_t prefix_count;
	bool poison;
} dff_engine_request_t;

/** enum dff_engine_verdict - whether a request was taken */
typedef enum dff_engine_verdict {
	DFF_ENGINE_TAKEN,
	DFF_ENGINE_WRONG_ROLE,
	DFF_ENGINE_WRONG_MODEL,
	DFF_ENGINE_AWAY, /* for a change, or after a crash */
	DFF_ENGINE_FULL,
} dff_engine_verdict_t;

/** dff_engine_verdict_name() - "taken", "role", "model", "away", "full" */
const char *dff_engine_verdict_name(dff_engine_verdict_t verdict);

/** enum dff_engine_out_type - tag of struct dff_engine_out */
typedef enum dff_engine_out_type {
	DFF_ENGINE_OUT_TOKEN,
	DFF_ENGINE_OUT_END,
	DFF_ENGINE_OUT_BROKEN, /* by a crash or a cut */
	DFF_ENGINE_OUT_LEAVE, /* wants leave to load weights */
	DFF_ENGINE_OUT_CRASH, /* all requests are broken, it is away */
	DFF_ENGINE_OUT_BACK, /* a new incarnation runs */
} dff_engine_out_type_t;

/**
 * struct dff_engine_out - one thing that an engine gave
 * @type: tag
 * @finish: with END
 * @id: request, with TOKEN, END and BROKEN
 * @prompt_hash: with TOKEN; its text is dff_model_token()'s
 * @index: with TOKEN
 * @prompt_tokens: with END
 * @cached_tokens: with END
 * @output_tokens: with END, tokens of the whole answer
 */
typedef struct dff_engine_out {
	dff_engine_out_type_t type;
	dff_finish_t finish;
	uint64_t id;
	uint64_t prompt_hash;
	uint32_t index;
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t output_tokens;
} dff_engine_out_t;

/**
 * struct dff_engine_report - load report
 * @taken: moment at which it was true
 *
 * The rest is as in struct dff_ev_engine_report; @model is a copy.
 */
typedef struct dff_engine_report {
	dff_time_t taken;
	uint64_t incarnation;
	dff_role_t role;
	bool changing;
	char model[DFF_NAME_MAX];
	uint32_t version;
	uint32_t running;
	uint32_t waiting;
	uint64_t backlog_tokens;
	uint32_t free_pieces;
	double token_us;
	uint64_t fence;
} dff_engine_report_t;

/** struct dff_engine_state - answer to a direct question */
typedef struct dff_engine_state {
	uint64_t incarnation;
	dff_role_t role;
	const char *model;
	uint32_t version;
	const char *adapter;
	bool changing;
	uint32_t running;
	uint64_t last_order;
	uint64_t fence;
} dff_engine_state_t;

/** enum dff_engine_note_type - what a journal line tells */
typedef enum dff_engine_note_type {
	DFF_ENGINE_NOTE_ORDER, /* an order arrived, whatever the answer */
	DFF_ENGINE_NOTE_DONE, /* an order was carried out */
	DFF_ENGINE_NOTE_GENERATE, /* a request was taken */
	DFF_ENGINE_NOTE_CUT, /* an order cut a request */
	DFF_ENGINE_NOTE_CRASH,
} dff_engine_note_type_t;

/**
 * struct dff_engine_note - one line of the journal
 * @type: tag
 * @at: moment
 * @incarnation: of the engine
 * @id: request, with GENERATE and CUT; with CRASH the poison request or 0
 * @order: with ORDER and DONE
 * @fence: with ORDER
 * @kind: with ORDER
 * @target: with ORDER
 * @answer: with ORDER
 * @repeated: with ORDER, it had been accepted before
 */
typedef struct dff_engine_note {
	dff_engine_note_type_t type;
	dff_time_t at;
	uint64_t incarnation;
	uint64_t id;
	uint64_t order;
	uint64_t fence;
	dff_order_kind_t kind;
	char target[DFF_NAME_MAX];
	dff_order_answer_t answer;
	bool repeated;
} dff_engine_note_t;

/** typedef dff_engine_model_t - an engine */
typedef struct dff_engine_model dff_engine_model_t;

/** dff_engine_model_new() - an idle engine; the caller drops it */
dff_engine_model_t *dff_engine_model_new(
    dff_ctx_t *ctx, const dff_engine_config_t *config, dff_time_t now);

/** dff_engine_model_drop() - free an engine; NULL is allowed */
void dff_engine_model_drop(dff_engine_model_t *model);

/** dff_engine_model_config() - its settings, which may be changed */
dff_engine_config_t *dff_engine_model_config(dff_engine_model_t *model);

/** dff_engine_model_next() - next moment at which it does something */
dff_time_t dff_engine_model_next(const dff_engine_model_t *model);

/**
 * dff_engine_model_advance() - do all that is due up to a moment
 * @now: moment
 * @out: dff_engine_out_t are added here
 */
void dff_engine_model_advance(
    dff_ctx_t *ctx, dff_engine_model_t *model, dff_time_t now, GArray *out);

/** dff_engine_model_submit() - offer a request */
dff_engine_verdict_t dff_engine_model_submit(dff_ctx_t *ctx,
    dff_engine_model_t *model, const dff_engine_request_t *request,
    dff_time_t now);

/** dff_engine_model_cancel() - stop a request; unknown ones are passed over */
void dff_engine_model_cancel(
    dff_engine_model_t *model, uint64_t id, dff_time_t now);

/**
 * dff_engine_model_export() - give the KV cache of a prefill phase away
 * @id: its try
 * @pieces: set to its size
 *
 * Return: time that the export takes, or -ENOENT.
 */
dff_time_t dff_engine_model_export(
    dff_engine_model_t *model, uint64_t id, dff_time_t now, uint32_t *pieces);

/** dff_engine_model_link_time() - time of KV cache on the link */
dff_time_t dff_engine_model_link_time(
    const dff_engine_model_t *model, uint32_t pieces, bool near);

/**
 * dff_engine_model_import() - KV cache for a decode phase arrived
 * @id: the waiting request
 *
 * Return: 0, or -ENOENT for a request that does not wait for it.
 */
int dff_engine_model_import(
    dff_engine_model_t *model, uint64_t id, uint32_t pieces, dff_time_t now);

/**
 * dff_engine_model_order() - give an order
 * @out: with @cut_on_order, requests broken by it
 */
dff_order_answer_t dff_engine_model_order(dff_engine_model_t *model,
    uint64_t order, uint64_t fence, dff_order_kind_t kind, const char *target,
    dff_time_t now, GArray *out);

/** dff_engine_model_leave() - the weight store answered; @wait is the time to
 *	ask again, or 0 for leave */
void dff_engine_model_leave(
    dff_engine_model_t *model, dff_time_t wait, dff_time_t now);

/** dff_engine_model_crash() - crash now */
void dff_engine_model_crash(
    dff_engine_model_t *model, dff_time_t now, GArray *out);

/** dff_engine_model_crash_in_change() - crash in the middle of the next
 *	change */
void dff_engine_model_crash_in_change(dff_engine_model_t *model);

/** dff_engine_model_up() - it runs; false after a crash */
bool dff_engine_model_up(const dff_engine_model_t *model);

/** dff_engine_model_report() - load report that it publishes now */
void dff_engine_model_report(
    dff_engine_model_t *model, dff_time_t now, dff_engine_report_t *report);

/** dff_engine_model_state() - its state right now */
void dff_engine_model_state(
    const dff_engine_model_t *model, dff_engine_state_t *state);

/**
 * dff_engine_model_cache() - cache events that are published by now
 * @since: number of the last event that the asker has; 0 none
 * @stored: hashes (uint64_t) are added here
 * @evicted: likewise
 * @gap: set if events before these were lost
 *
 * Return: number to ask with next time.
 */
uint64_t dff_engine_model_cache(dff_engine_model_t *model, uint64_t since,
    dff_time_t now, GArray *stored, GArray *evicted, bool *gap);

/** dff_engine_model_journal() - what it received; good until the next call */
const dff_engine_note_t *dff_engine_model_journal(
    const dff_engine_model_t *model, size_t *count);

/* ---- what any engine with a model answers ---- */

/** dff_model_prompt_hash() - hash of model and prompt */
uint64_t dff_model_prompt_hash(
    const char *model, const char *prompt, size_t len);

/** dff_model_prompt_tokens() - tokens of a prompt of @len bytes */
uint32_t dff_model_prompt_tokens(size_t len);

/** dff_model_prefix() - prefix hashes of a prompt, at most DFF_PREFIX_BLOCKS_MAX */
size_t dff_model_prefix(
    const char *prompt, size_t len, uint64_t hashes[DFF_PREFIX_BLOCKS_MAX]);

/** dff_model_answer_tokens() - tokens after which an answer ends by itself;
 *	UINT32_MAX for a mean of 0 */
uint32_t dff_model_answer_tokens(uint64_t prompt_hash, uint32_t mean);

/** dff_model_token() - text of a token; returns its length */
size_t dff_model_token(
    uint64_t prompt_hash, uint32_t index, char text[DFF_TOKEN_TEXT_MAX]);

#endif
