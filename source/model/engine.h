/*
 * Internal declarations of the engine model.
 */
#ifndef MODEL_ENGINE_H
#define MODEL_ENGINE_H

#include "dragonflyfall/model_engine.h"

/* ---- prefix cache ---- */

/** typedef cache_t - LRU prefix cache in the memory pieces that are free */
typedef struct cache cache_t;

/** cache_new() - an empty cache; free it with cache_drop() */
cache_t *cache_new(void);

/** cache_drop() - free a cache */
void cache_drop(cache_t *cache);

/** cache_clear() - remove all blocks and all events */
void cache_clear(cache_t *cache);

/** cache_match() - number of leading blocks in the cache; they become the
 *	most recently used */
size_t cache_match(cache_t *cache, const uint64_t *hashes, size_t count);

/** cache_shrink() - evict the least recently used blocks until at most
 *	@max_blocks remain */
void cache_shrink(dff_ctx_t *ctx, cache_t *cache, size_t max_blocks,
    dff_time_t now, double loss);

/** cache_store() - add the first @max_blocks of the blocks, and evict the least
 *	recently used blocks beyond @max_blocks */
void cache_store(dff_ctx_t *ctx, cache_t *cache, const uint64_t *hashes,
    size_t count, size_t max_blocks, dff_time_t now, double loss);

/** cache_events() - get the events after number @since up to time @until;
 *	returns the number of the last one */
uint64_t cache_events(cache_t *cache, uint64_t since, dff_time_t until,
    GArray *stored, GArray *evicted, bool *gap);

/* ---- the engine ---- */

/** enum job_state - state of a request */
typedef enum job_state {
	JOB_WAITING,
	JOB_IMPORTING,
	JOB_PREFILL,
	JOB_DECODE,
} job_state_t;

/** struct job - one request */
typedef struct job {
	uint64_t id;
	uint64_t arrival; /* sequence number by arrival */
	uint64_t prompt_hash;
	uint32_t prompt_tokens;
	uint32_t priority;
	uint32_t pieces;
	uint32_t cached;
	uint32_t prefill_remaining;
	uint32_t step_tokens; /* prompt tokens prefilled in the current step */
	uint32_t next_token; /* index */
	uint32_t end_token; /* length of the whole answer */
	dff_finish_t finish;
	double import_us;
	dff_phase_t phase;
	job_state_t state;
	bool poison;
	uint32_t prefix_count;
	uint64_t prefix[];
} job_t;

/** struct pending_export - KV cache waiting for its export */
typedef struct pending_export {
	uint64_t id;
	uint32_t pieces;
	dff_time_t expires_at;
} pending_export_t;

/** struct reconfig - the order being carried out */
typedef struct reconfig {
	bool active;
	uint64_t order;
	dff_order_kind_t kind;
	char target[DFF_NAME_MAX];
	dff_time_t load_request_at; /* when to ask the weight store */
	dff_time_t crash_at;
	dff_time_t done_at;
} reconfig_t;

struct dff_engine_model {
	dff_engine_config_t config;
	uint64_t incarnation;
	dff_role_t role;
	char model_name[DFF_NAME_MAX]; /* loaded model */
	uint32_t version;
	char adapter[DFF_NAME_MAX];
	uint64_t last_order;
	uint64_t fence;
	bool crash_next_reconfig;
	reconfig_t reconfig;
	dff_time_t restart_at; /* after a crash, else DFF_TIME_NEVER */
	dff_time_t step_end; /* DFF_TIME_NEVER while idle */
	uint64_t arrivals;
	uint32_t pieces_used; /* by requests and pending exports */
	GHashTable *jobs; /* by id; owns them */
	GPtrArray *batch; /* in order of admission */
	GPtrArray *waiting; /* by priority, then arrival */
	GPtrArray *importing;
	GArray *pending_exports; /* pending_export_t */
	cache_t *cache;
	GQueue reports; /* dff_engine_report_t, oldest first */
	bool report_pending;
	dff_time_t pending_sampled_at;
	GArray *journal;
};

/** engine_journal_add() - add a journal entry */
dff_engine_journal_entry_t *engine_journal_add(
    dff_engine_model_t *model, dff_engine_journal_type_t type, dff_time_t now);

/** engine_state_changed() - sample the changed state for load reports */
void engine_state_changed(dff_engine_model_t *model, dff_time_t now);

/** engine_abort_all() - abort all requests; returns their number */
uint32_t engine_abort_all(dff_engine_model_t *model, GArray *out);

/** engine_emit() - append an output */
void engine_emit(GArray *out, dff_engine_out_type_t type, uint64_t id);

/** engine_reconfig_advance() - run the steps of an order that are due */
void engine_reconfig_advance(
    dff_engine_model_t *model, dff_time_t now, GArray *out);

/** engine_reconfig_next() - time of the next step of an order, or
 *	DFF_TIME_NEVER */
dff_time_t engine_reconfig_next(const dff_engine_model_t *model);

/** engine_reset_state() - set the state of a newly started process */
void engine_reset_state(dff_engine_model_t *model);

#endif
