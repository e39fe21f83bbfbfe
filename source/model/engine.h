/*
 * The parts of the engine model among themselves.
 */
#ifndef MODEL_ENGINE_H
#define MODEL_ENGINE_H

#include "dragonflyfall/model_engine.h"

/* ---- prefix cache ---- */

/** typedef cache_t - prefix blocks in the pieces that no request holds */
typedef struct cache cache_t;

/** cache_new() - an empty cache; the caller drops it */
cache_t *cache_new(void);

/** cache_drop() - free a cache */
void cache_drop(cache_t *cache);

/** cache_clear() - forget all blocks, and all events about them */
void cache_clear(cache_t *cache);

/** cache_match() - how many leading blocks are held; they become newest */
size_t cache_match(cache_t *cache, const uint64_t *hashes, size_t count);

/** cache_shrink() - evict the oldest until no more than @room are held */
void cache_shrink(
    dff_ctx_t *ctx, cache_t *cache, size_t room, dff_time_t now, double loss);

/** cache_store() - hold blocks as far as there is room, oldest evicted */
void cache_store(dff_ctx_t *ctx, cache_t *cache, const uint64_t *hashes,
    size_t count, size_t room, dff_time_t now, double loss);

/** cache_events() - events numbered after @since that are from @until or
 *	before; returns the number of the last one given */
uint64_t cache_events(cache_t *cache, uint64_t since, dff_time_t until,
    GArray *stored, GArray *evicted, bool *gap);

/* ---- the engine ---- */

/** enum job_state - where a request stands */
typedef enum job_state {
	JOB_WAIT,
	JOB_IMPORT,
	JOB_PREFILL,
	JOB_DECODE,
} job_state_t;

/** struct job - one request */
typedef struct job {
	uint64_t id;
	uint64_t order; /* of arrival */
	uint64_t prompt_hash;
	uint32_t prompt_tokens;
	uint32_t priority;
	uint32_t pieces;
	uint32_t cached;
	uint32_t prefill_left;
	uint32_t chunk; /* prompt tokens prefilled in this step */
	uint32_t next; /* index of the next token */
	uint32_t stop; /* tokens of the whole answer */
	dff_finish_t finish;
	double import_us;
	dff_phase_t phase;
	job_state_t state;
	bool poison;
	uint32_t prefix_count;
	uint64_t prefix[];
} job_t;

/** struct kept_kv - KV cache that waits for its export */
typedef struct kept_kv {
	uint64_t id;
	uint32_t pieces;
	dff_time_t until;
} kept_kv_t;

/** struct change - the order that is being carried out */
typedef struct change {
	bool open;
	uint64_t order;
	dff_order_kind_t kind;
	char target[DFF_NAME_MAX];
	dff_time_t ask_at; /* for leave at the weight store */
	dff_time_t crash_at;
	dff_time_t done_at;
} change_t;

struct dff_engine_model {
	dff_engine_config_t config;
	uint64_t incarnation;
	dff_role_t role;
	char name[DFF_NAME_MAX]; /* of the model loaded */
	uint32_t version;
	char adapter[DFF_NAME_MAX];
	uint64_t last_order;
	uint64_t fence;
	bool crash_next;
	change_t change;
	dff_time_t back_at; /* after a crash; else never */
	dff_time_t step_end; /* never while idle */
	uint64_t arrivals;
	uint32_t held; /* pieces of requests and of kept KV */
	GHashTable *jobs; /* by id; owns them */
	GPtrArray *batch; /* by admission */
	GPtrArray *waiting; /* by priority, then arrival */
	GPtrArray *importing;
	GArray *kept; /* kept_kv_t */
	cache_t *cache;
	GQueue reports; /* dff_engine_report_t, oldest first */
	bool report_due;
	dff_time_t report_from;
	GArray *journal;
};

/** engine_note() - add a journal line */
dff_engine_note_t *engine_note(
    dff_engine_model_t *model, dff_engine_note_type_t type, dff_time_t now);

/** engine_touch() - the state has changed; reports may tell it */
void engine_touch(dff_engine_model_t *model, dff_time_t now);

/** engine_break_all() - end all requests as broken; returns how many */
uint32_t engine_break_all(dff_engine_model_t *model, GArray *out);

/** engine_emit() - add an output */
void engine_emit(GArray *out, dff_engine_out_type_t type, uint64_t id);

/** engine_change_due() - carry on with an order, if its time has come */
void engine_change_due(dff_engine_model_t *model, dff_time_t now, GArray *out);

/** engine_change_next() - when engine_change_due() has something to do */
dff_time_t engine_change_next(const dff_engine_model_t *model);

/** engine_set_loaded() - as at a start of the process */
void engine_set_loaded(dff_engine_model_t *model);

#endif
