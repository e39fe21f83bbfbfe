/*
 * Simulation of a model engine, without I/O or clock: continuous batching,
 * chunked prefill, memory pieces, a prefix cache, roles, orders and crashes.
 * The engine stand-in drives it with a timer, tests and benchmarks with virtual
 * time: they call dff_engine_model_advance() at dff_engine_model_next().
 */
#ifndef DRAGONFLYFALL_MODEL_ENGINE_H
#define DRAGONFLYFALL_MODEL_ENGINE_H

#include <glib.h>

#include "dragonflyfall/event.h"

/* Tokens per memory piece and per prefix block. */
#define DFF_PIECE_TOKENS (DFF_PREFIX_BLOCK_BYTES / DFF_BYTES_PER_TOKEN)
/* Size of the longest token text, including its NUL. */
#define DFF_TOKEN_TEXT_MAX 16

/**
 * struct dff_engine_config - settings of an engine
 * @incarnation: first incarnation of the process; each crash adds one
 * @role: role at the start of the process, also after a crash
 * @model: model loaded at the start
 * @version: version of @model
 * @check_fence: refuse orders whose fencing number is below the highest seen
 * @abort_on_order: abort running requests to carry out an order; otherwise
 *	answer busy
 * @pieces: total memory pieces
 * @batch_max: maximum requests in the batch
 * @queue_max: maximum requests waiting for the batch
 * @chunk_tokens: maximum prompt tokens prefilled in one step
 * @prefill_us: time to prefill one token
 * @step_us: time of a decode step with an empty batch
 * @request_us: time added to a step by each decoding request
 * @kv_piece_us: time to export or import one piece of KV cache
 * @kv_same_domain_us: time to transfer one piece within a failure domain
 * @kv_cross_domain_us: time to transfer one piece between failure domains
 * @kv_hold_time: how long the KV cache of a prefill phase waits for its export
 * @role_downtime: downtime of a change of role
 * @load_downtime: downtime of loading a model, adapter or version
 * @restart_downtime: downtime after a crash
 * @report_lag: delay until a load report is published
 * @report_period: minimum time between two samples for load reports
 * @cache_lag: delay until a cache event is published
 * @cache_loss: fraction of cache events that are lost, 0 to 1
 * @output_mean: mean tokens of an answer that ends before its limit; 0: all
 *	answers run to their limit
 * @journal_requests: add requests to the journal, not only orders
 */
typedef struct dff_engine_config {
	uint64_t incarnation;
	dff_role_t role;
	char model[DFF_NAME_MAX];
	uint32_t version;
	bool check_fence;
	bool abort_on_order;
	uint32_t pieces;
	uint32_t batch_max;
	uint32_t queue_max;
	uint32_t chunk_tokens;
	double prefill_us;
	double step_us;
	double request_us;
	double kv_piece_us;
	double kv_same_domain_us;
	double kv_cross_domain_us;
	dff_time_t kv_hold_time;
	dff_time_t role_downtime;
	dff_time_t load_downtime;
	dff_time_t restart_downtime;
	dff_time_t report_lag;
	dff_time_t report_period;
	dff_time_t cache_lag;
	double cache_loss;
	uint32_t output_mean;
	bool journal_requests;
} dff_engine_config_t;

/** dff_engine_config_defaults() - settings of a typical engine */
void dff_engine_config_defaults(dff_engine_config_t *config);

/**
 * struct dff_engine_request - one request
 * @id: id of the attempt
 * @model: requested model; "" for any
 * @prompt_hash: hash of the whole prompt
 * @prompt_tokens: tokens of the prompt
 * @max_tokens: limit on the whole answer
 * @answer_tokens: length of the answer without the limit; 0: computed by
 *	dff_model_answer_tokens()
 * @resume_at: index of the first token to generate
 * @priority: 0 is the most urgent
 * @phase: phases to run; with DFF_PHASE_DECODE the request waits for
 *	dff_engine_model_import()
 * @prefix: prefix hashes, copied
 * @prefix_count: length of @prefix
 * @poison: the request crashes the engine at the end of its prefill
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

/** enum dff_engine_submit_result - outcome of dff_engine_model_submit() */
typedef enum dff_engine_submit_result {
	DFF_ENGINE_ACCEPTED,
	DFF_ENGINE_WRONG_ROLE,
	DFF_ENGINE_WRONG_MODEL,
	DFF_ENGINE_UNAVAILABLE, /* reconfiguring, or down after a crash */
	DFF_ENGINE_FULL,
} dff_engine_submit_result_t;

/** dff_engine_submit_result_name() - "taken", "role", "model", "away",
 *	"full" */
const char *dff_engine_submit_result_name(dff_engine_submit_result_t result);

/** enum dff_engine_out_type - tag of struct dff_engine_out */
typedef enum dff_engine_out_type {
	DFF_ENGINE_OUT_TOKEN,
	DFF_ENGINE_OUT_END,
	DFF_ENGINE_OUT_ABORTED, /* by a crash or an order */
	DFF_ENGINE_OUT_LOAD_REQUEST, /* asks for permission to load weights */
	DFF_ENGINE_OUT_CRASH, /* all requests are aborted, the engine is down */
	DFF_ENGINE_OUT_RESTARTED, /* a new incarnation is running */
} dff_engine_out_type_t;

/**
 * struct dff_engine_out - one output of an engine
 * @type: tag
 * @finish: with END
 * @id: request, with TOKEN, END and ABORTED
 * @prompt_hash: with TOKEN; dff_model_token() gives the text
 * @index: index of the token, with TOKEN
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
 * struct dff_engine_report - load report of an engine
 * @sampled_at: time to which the report applies
 *
 * The other members are as in struct dff_ev_engine_report; @model is a copy.
 */
typedef struct dff_engine_report {
	dff_time_t sampled_at;
	uint64_t incarnation;
	dff_role_t role;
	bool reconfiguring;
	char model[DFF_NAME_MAX];
	uint32_t version;
	uint32_t running;
	uint32_t waiting;
	uint64_t backlog_tokens;
	uint32_t free_pieces;
	double token_us;
	uint64_t fence;
} dff_engine_report_t;

/** struct dff_engine_state - current state, without lag */
typedef struct dff_engine_state {
	uint64_t incarnation;
	dff_role_t role;
	const char *model;
	uint32_t version;
	const char *adapter;
	bool reconfiguring;
	uint32_t running;
	uint64_t last_order;
	uint64_t fence;
} dff_engine_state_t;

/** enum dff_engine_journal_type - type of a journal entry */
typedef enum dff_engine_journal_type {
	DFF_ENGINE_JOURNAL_ORDER, /* an order arrived, accepted or not */
	DFF_ENGINE_JOURNAL_ORDER_DONE, /* an order was carried out */
	DFF_ENGINE_JOURNAL_GENERATE, /* a request was accepted */
	DFF_ENGINE_JOURNAL_ABORTED, /* an order aborted a request */
	DFF_ENGINE_JOURNAL_CRASH,
} dff_engine_journal_type_t;

/**
 * struct dff_engine_journal_entry - one journal entry
 * @type: tag
 * @at: time of the entry
 * @incarnation: incarnation of the engine at @at
 * @id: request, with GENERATE and ABORTED; with CRASH the poison request or 0
 * @order: with ORDER and ORDER_DONE
 * @fence: with ORDER
 * @kind: with ORDER
 * @target: with ORDER
 * @answer: with ORDER
 * @repeated: with ORDER, the order had been accepted before
 */
typedef struct dff_engine_journal_entry {
	dff_engine_journal_type_t type;
	dff_time_t at;
	uint64_t incarnation;
	uint64_t id;
	uint64_t order;
	uint64_t fence;
	dff_order_kind_t kind;
	char target[DFF_NAME_MAX];
	dff_order_answer_t answer;
	bool repeated;
} dff_engine_journal_entry_t;

/** typedef dff_engine_model_t - an engine */
typedef struct dff_engine_model dff_engine_model_t;

/** dff_engine_model_new() - an idle engine; the caller drops it */
dff_engine_model_t *dff_engine_model_new(
    dff_ctx_t *ctx, const dff_engine_config_t *config, dff_time_t now);

/** dff_engine_model_drop() - free an engine; NULL is allowed */
void dff_engine_model_drop(dff_engine_model_t *model);

/** dff_engine_model_config() - settings, which the caller may change */
dff_engine_config_t *dff_engine_model_config(dff_engine_model_t *model);

/** dff_engine_model_next() - time of the next event */
dff_time_t dff_engine_model_next(const dff_engine_model_t *model);

/**
 * dff_engine_model_advance() - run all events that are due
 * @now: current time
 * @out: the outputs (dff_engine_out_t) are appended here
 */
void dff_engine_model_advance(
    dff_ctx_t *ctx, dff_engine_model_t *model, dff_time_t now, GArray *out);

/** dff_engine_model_submit() - submit a request */
dff_engine_submit_result_t dff_engine_model_submit(dff_ctx_t *ctx,
    dff_engine_model_t *model, const dff_engine_request_t *request,
    dff_time_t now);

/** dff_engine_model_cancel() - cancel a request; unknown ids are ignored */
void dff_engine_model_cancel(
    dff_engine_model_t *model, uint64_t id, dff_time_t now);

/**
 * dff_engine_model_export() - export the KV cache of a prefill phase
 * @id: attempt of the prefill phase
 * @pieces: set to the size of the KV cache
 *
 * Return: duration of the export, or -ENOENT.
 */
dff_time_t dff_engine_model_export(
    dff_engine_model_t *model, uint64_t id, dff_time_t now, uint32_t *pieces);

/** dff_engine_model_transfer_time() - time to transfer KV cache between
 *	engines */
dff_time_t dff_engine_model_transfer_time(
    const dff_engine_model_t *model, uint32_t pieces, bool same_domain);

/**
 * dff_engine_model_import() - deliver the KV cache for a decode phase
 * @id: the waiting request
 *
 * Return: 0, or -ENOENT if the request is not waiting for KV cache.
 */
int dff_engine_model_import(
    dff_engine_model_t *model, uint64_t id, uint32_t pieces, dff_time_t now);

/**
 * dff_engine_model_order() - send an order to the engine
 * @out: with @abort_on_order, the aborted requests are appended here
 */
dff_order_answer_t dff_engine_model_order(dff_engine_model_t *model,
    uint64_t order, uint64_t fence, dff_order_kind_t kind, const char *target,
    dff_time_t now, GArray *out);

/** dff_engine_model_load_reply() - answer of the weight store
 *	to DFF_ENGINE_OUT_LOAD_REQUEST; @wait is 0 for permission, else the
 *	time after which to ask again */
void dff_engine_model_load_reply(
    dff_engine_model_t *model, dff_time_t wait, dff_time_t now);

/** dff_engine_model_crash() - crash immediately */
void dff_engine_model_crash(
    dff_engine_model_t *model, dff_time_t now, GArray *out);

/** dff_engine_model_crash_next_reconfig() - crash halfway through the next
 *	reconfiguration */
void dff_engine_model_crash_next_reconfig(dff_engine_model_t *model);

/** dff_engine_model_up() - false between a crash and the restart */
bool dff_engine_model_up(const dff_engine_model_t *model);

/** dff_engine_model_report() - the load report published at @now */
void dff_engine_model_report(
    dff_engine_model_t *model, dff_time_t now, dff_engine_report_t *report);

/** dff_engine_model_state() - current state */
void dff_engine_model_state(
    const dff_engine_model_t *model, dff_engine_state_t *state);

/**
 * dff_engine_model_cache_events() - cache events published up to @now
 * @since: number of the last event the caller has; 0 for none
 * @stored: hashes (uint64_t) of stored blocks are appended here
 * @evicted: hashes of evicted blocks are appended here
 * @gap: set if some events are missing
 *
 * Return: @since for the next call.
 */
uint64_t dff_engine_model_cache_events(dff_engine_model_t *model,
    uint64_t since, dff_time_t now, GArray *stored, GArray *evicted, bool *gap);

/** dff_engine_model_journal() - all journal entries; valid until the
 *	next call */
const dff_engine_journal_entry_t *dff_engine_model_journal(
    const dff_engine_model_t *model, size_t *count);

/* ---- answers, the same on all engines with the same model ---- */

/** dff_model_prompt_hash() - hash of model and prompt */
uint64_t dff_model_prompt_hash(
    const char *model, const char *prompt, size_t len);

/** dff_model_prompt_tokens() - number of tokens in a prompt of @len bytes */
uint32_t dff_model_prompt_tokens(size_t len);

/** dff_model_prefix() - prefix hashes of a prompt, at most
 *	DFF_PREFIX_BLOCKS_MAX; returns their number */
size_t dff_model_prefix(
    const char *prompt, size_t len, uint64_t hashes[DFF_PREFIX_BLOCKS_MAX]);

/** dff_model_answer_tokens() - length of an answer without the request's
 *	limit; UINT32_MAX for a mean of 0 */
uint32_t dff_model_answer_tokens(uint64_t prompt_hash, uint32_t mean);

/** dff_model_token() - text of a token; returns its length */
size_t dff_model_token(
    uint64_t prompt_hash, uint32_t index, char text[DFF_TOKEN_TEXT_MAX]);

#endif
