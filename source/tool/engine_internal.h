/*
 * Interfaces shared by the files of the engine stand-in.
 */
#ifndef TOOL_ENGINE_INTERNAL_H
#define TOOL_ENGINE_INTERNAL_H

#include "dragonflyfall/model_engine.h"
#include "standin.h"

/* Bytes that represent one piece of KV cache on the wire. */
#define KV_PIECE_BYTES 256
/* Time without data after which a call to the weight store or an exporting
 * engine fails. */
#define CLIENT_IDLE_TIMEOUT (5 * DFF_SEC)

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
	bool abort_on_order;
	bool crash_next_reconfig;
	int64_t pieces;
	int64_t batch;
	int64_t queue;
	int64_t chunk;
	double prefill_us;
	double step_us;
	double request_us;
	dff_time_t role_downtime;
	dff_time_t load_downtime;
	dff_time_t restart_downtime;
	dff_time_t report_lag;
	dff_time_t cache_lag;
	double cache_loss;
	int64_t output_mean;
	int64_t seed;
	dff_time_t drain_time;
} settings_t;

/** struct engine - engine model with its server, client and timer */
typedef struct engine {
	const settings_t *settings;
	standin_t standin;
	dff_engine_model_t *model;
	dff_httpc_t *client;
	GArray *outputs;
	GHashTable *generations; /* attempt id -> generation_t */
	uv_timer_t timer;
	bool crash_requested;
	uint64_t last_id; /* for requests without an id */
} engine_t;

/** struct generation - one request whose answer has not ended */
typedef struct generation {
	engine_t *engine;
	uint64_t id;
	dff_httpd_req_t *req;
	dff_httpc_req_t *fetch; /* running fetch of KV cache, or NULL */
	bool fetch_succeeded;
	bool same_domain;
	size_t kv_bytes;
	uv_timer_t *transfer_timer; /* time of the transfer, or NULL */
} generation_t;

/* ---- engine_drive.c: timer and outputs of the model ---- */

/** engine_set_timer() - set the timer to the next event of the model */
void engine_set_timer(engine_t *engine);

/** engine_on_timer() - advance the model */
void engine_on_timer(uv_timer_t *timer);

/** engine_apply_outputs() - act on the outputs of the model */
void engine_apply_outputs(engine_t *engine);

/** engine_remove_generation() - remove a request whose answer has ended */
void engine_remove_generation(engine_t *engine, generation_t *generation);

/** engine_free_generation() - free a generation_t; a GDestroyNotify */
void engine_free_generation(gpointer generation);

/* ---- engine_kv.c: import of KV cache ---- */

/** engine_fail_import() - refuse a request whose KV cache is not available */
void engine_fail_import(generation_t *generation);

/** engine_fetch_kv() - fetch the KV cache of attempt @kv_id from the engine
 *	at @addr */
int engine_fetch_kv(generation_t *generation, const char *addr, uint64_t kv_id);

/* ---- engine_serve.c: HTTP requests ---- */

/** engine_on_request() - handle a request */
void engine_on_request(void *arg, dff_httpd_req_t *req);

/** engine_on_disconnect() - cancel the request of a closed connection */
void engine_on_disconnect(void *arg, dff_httpd_req_t *req);

#endif
