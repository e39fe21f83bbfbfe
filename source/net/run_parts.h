/*
 * A running relay, shared by its callers' side and its upstreams' side.
 */
#ifndef DFF_NET_RUN_PARTS_H
#define DFF_NET_RUN_PARTS_H

#include "dragonflyfall/relay_run.h"

struct dff_run {
	dff_ctx_t *ctx;
	uv_loop_t *loop;
	dff_run_config_t config;
	dff_wire_t wire;
	dff_relay_t *relay;
	dff_h1c_t *client;
	dff_h1d_t *front;
	dff_h1d_t *health;
	uv_udp_t udp;
	uv_timer_t timer;
	uv_timer_t drain;
	uv_idle_t turn; /* while it is active, the loop does not wait */
	uv_check_t check;
	GArray *outbox; /* outgoing_t, sends that have not left */
	bool wake_due;
	int turns; /* for which what is due has waited */
	int handles; /* open ones of the above */
	GHashTable *calls; /* number to run_call_t */
	GHashTable *sends; /* number to run_send_t */
	uint64_t next_call;
	dff_time_t stop_at; /* 0 while it runs */
	void (*done)(void *arg);
	void *done_arg;
	void (*fetch)(void *arg, const dff_relay_fetch_t *fetch);
	void *fetch_arg;
	void (*keep)(void *arg, const dff_crash_report_t *evidence);
	void *keep_arg;
	bool ready; /* as last told */
	char frame[65536];
};

/* A caller's request that has no final answer. */
typedef struct run_call {
	uint64_t number;
	dff_h1d_req_t *req;
} run_call_t;

/* A send under way. */
typedef struct run_send {
	uint64_t number;
	dff_run_t *run;
	dff_h1c_req_t *req;
	dff_stage_t step;
	char upstream[DFF_NAME_MAX];
	int status;
	GString *fields; /* what is passed on of the answer's head */
	int64_t length; /* of the answer's body, -1 if not told */
	GByteArray *body; /* of a prefill's answer */
} run_send_t;

/* A send that waits for the end of the loop's turn. */
typedef struct outgoing {
	dff_relay_send_t send;
	dff_time_t at;
	bool cancelled;
} outgoing_t;

/** run_init_outbox() - begin; handles are counted in @run */
void run_init_outbox(dff_run_t *run);

/** run_wake() - the relay's moment has come: it is told of it at the end of
 *	the turn */
void run_wake(dff_run_t *run);

/** run_queue_send() - a send leaves at the end of the turn */
void run_queue_send(dff_run_t *run, const dff_relay_send_t *fx);

/** run_unqueue_send() - it is not to leave; false if it has left */
bool run_unqueue_send(dff_run_t *run, uint64_t number);

/** run_free_send() - free a run_send_t */
void run_free_send(void *data);

/** run_start_send() - send as an effect says */
void run_start_send(dff_run_t *run, const dff_relay_send_t *fx);

/** run_cancel_send() - break a send off, if it is still under way */
void run_cancel_send(dff_run_t *run, uint64_t number);

/** run_list_kept() - ask an engine which parts it keeps */
void run_list_kept(dff_run_t *run, const dff_relay_cache_query_t *fx);

/** run_probe() - see whether an upstream takes connections */
void run_probe(dff_run_t *run, const dff_relay_probe_t *fx);

/** run_free_memory() - tell an engine that its memory is not needed */
void run_free_memory(dff_run_t *run, const dff_relay_release_t *release);

#endif
