/*
 * What the modules of the engine stand-in share.
 */
#ifndef TOOL_ENGINE_PARTS_H
#define TOOL_ENGINE_PARTS_H

#include "dragonflyfall/model_engine.h"
#include "standin.h"

/* Bytes that stand for one piece of KV cache on the wire. */
#define KV_PIECE_BYTES 256
/* Silence after which the weight store or an exporting engine is given up. */
#define ASK_SILENCE (5 * DFF_SEC)

/** struct settings - flags of the program */
typedef struct settings {
	const char *addr;
	const char *id;
	const char *domain;
	const char *platform;
	const char *role;
	const char *model;
	const char *poison;
	int64_t model_version;
	int64_t incarnation;
	bool check_fence;
	bool cut_on_order;
	bool crash_in_change;
	int64_t pieces;
	int64_t batch;
	int64_t queue;
	int64_t chunk;
	double prefill_us;
	double step_us;
	double request_us;
	dff_time_t role_away;
	dff_time_t load_away;
	dff_time_t restart_away;
	dff_time_t report_lag;
	dff_time_t cache_lag;
	double cache_loss;
	int64_t output_mean;
	int64_t seed;
	dff_time_t drain_time;
} settings_t;

/** struct engine - the model and what surrounds it */
typedef struct engine {
	const settings_t *settings;
	standin_t standin;
	dff_engine_model_t *model;
	dff_httpc_t *client;
	GArray *out;
	GHashTable *open; /* try -> generation_t */
	uv_timer_t timer;
	bool crash_asked;
	uint64_t last_id; /* for requests that bring none */
} engine_t;

/** struct generation - one request whose answer has not ended */
typedef struct generation {
	engine_t *engine;
	uint64_t id;
	dff_httpd_req_t *req;
	dff_httpc_req_t *fetch; /* KV cache under way, or NULL */
	bool fetched_well;
	bool near;
	size_t kv_bytes;
	uv_timer_t *link; /* KV cache on the link, or NULL */
} generation_t;

/* ---- engine_drive.c: the model's clock and its outputs ---- */

/** engine_set_timer() - wake when the model wants to go on */
void engine_set_timer(engine_t *engine);

/** engine_on_timer() - the model's moment has come */
void engine_on_timer(uv_timer_t *timer);

/** engine_carry_out() - carry out what the model put out */
void engine_carry_out(engine_t *engine);

/** engine_forget() - an answer has ended */
void engine_forget(engine_t *engine, generation_t *generation);

/** engine_free_generation() - free one; fits GDestroyNotify */
void engine_free_generation(gpointer generation);

/* ---- engine_kv.c: import of KV cache ---- */

/** engine_refuse_import() - the KV cache did not come */
void engine_refuse_import(generation_t *generation);

/** engine_fetch_kv() - ask another engine for a try's KV cache */
int engine_fetch_kv(generation_t *generation, const char *addr, uint64_t kv_id);

/* ---- engine_serve.c: calls ---- */

/** engine_on_request() - a request came */
void engine_on_request(void *arg, dff_httpd_req_t *req);

/** engine_on_gone() - a caller went away */
void engine_on_gone(void *arg, dff_httpd_req_t *req);

#endif
