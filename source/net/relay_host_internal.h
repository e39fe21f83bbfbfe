/*
 * Internals of the relay's host, shared by its sources.
 */
#ifndef DFF_NET_RELAY_HOST_INTERNAL_H
#define DFF_NET_RELAY_HOST_INTERNAL_H

#include "dragonflyfall/relay_host.h"

struct dff_relay_host {
	dff_ctx_t *ctx;
	uv_loop_t *loop;
	dff_relay_host_config_t config;
	dff_wire_t wire;
	dff_relay_t *relay;
	dff_h1c_t *client;
	dff_h1d_t *front;
	dff_h1d_t *peer_front; /* requests that peers pass on */
	dff_h1d_t *health;
	dff_account_t *account; /* of @front and @peer_front */
	dff_account_t *health_account;
	uv_udp_t udp;
	uv_timer_t timer;
	uv_timer_t drain;
	uv_idle_t no_wait; /* while it is active, the loop does not block */
	uv_check_t check;
	GArray *outbox; /* queued_send_t, sends that were not started */
	bool wake_pending; /* a wake event is due at the end of the iteration */
	int deferred; /* loop iterations for which due work was deferred */
	int open_handles; /* of the above */
	GHashTable *calls; /* number to host_call_t */
	GHashTable *sends; /* number to host_send_t */
	uint64_t next_call;
	dff_time_t stopping_since; /* time of the stop request; 0 before it */
	void (*done)(void *arg);
	void *done_arg;
	void (*fetch)(void *arg, const dff_relay_fetch_t *fetch);
	void *fetch_arg;
	void (*order)(void *arg, const dff_relay_order_t *order);
	void *order_arg;
	void (*store_crashes)(void *arg, const dff_crash_report_t *report);
	void *store_crashes_arg;
	dff_relay_host_origins_t origins;
	void *origins_arg;
	bool stepping; /* the effects of an event are being executed */
	dff_relay_host_duties_t duties;
	void *duties_arg;
	bool ready; /* as last answered */
	char frame[65536];
};

/* A caller's request without a final answer. */
typedef struct host_call {
	uint64_t number;
	dff_h1d_req_t *req;
} host_call_t;

/* A send in progress. */
typedef struct host_send {
	uint64_t number;
	dff_relay_host_t *host;
	dff_h1c_req_t *req;
	dff_stage_t stage;
	char upstream[DFF_NAME_MAX];
	int status;
	GString *fields; /* forwarded header fields of the answer */
	int64_t length; /* of the answer's body, -1 if unknown */
	GByteArray *body; /* of a prefill's answer */
	size_t held; /* bytes in the account that were not forwarded */
	bool probed_after_end; /* it has ended and is kept until its upstream
				* was probed */
} host_send_t;

/* A send that waits for the end of the loop's iteration. */
typedef struct queued_send {
	dff_relay_send_t send;
	dff_time_t at; /* time at which it was queued */
	bool cancelled;
} queued_send_t;

/* ---- relay_host_calls.c: requests of callers and their answers ---- */

/** host_on_request() - handler of the server of callers */
void host_on_request(void *arg, dff_h1d_req_t *req);

/** host_on_peer_request() - handler of the server of peers */
void host_on_peer_request(void *arg, dff_h1d_req_t *req);

/** host_on_caller_gone() - handler of both: a caller has disconnected */
void host_on_caller_gone(void *arg, dff_h1d_req_t *req);

/** host_answer_call() - answer a call with a status of the relay's own */
void host_answer_call(dff_relay_host_t *host, const dff_relay_answer_t *answer);

/** host_forward_head() - begin a call's answer with that of its send */
void host_forward_head(
    dff_relay_host_t *host, const dff_relay_forward_t *forward);

/** host_forward_data() - pass on bytes of the answer's body */
void host_forward_data(
    dff_relay_host_t *host, const dff_relay_forward_t *forward);

/** host_forward_end() - the answer is whole */
void host_forward_end(dff_relay_host_t *host, uint64_t number);

/** host_abort_call() - break the answer off */
void host_abort_call(dff_relay_host_t *host, uint64_t number);

/* ---- relay_host_outbox.c and relay_host_sends.c ---- */

/** host_init_outbox() - set up; its handles are counted in @host */
void host_init_outbox(dff_relay_host_t *host);

/** host_schedule_wake() - feed a wake event at the end of the loop's
 *	iteration */
void host_schedule_wake(dff_relay_host_t *host);

/** host_queue_send() - start a send at the end of the loop's iteration */
void host_queue_send(dff_relay_host_t *host, const dff_relay_send_t *fx);

/** host_unqueue_send() - remove a queued send; false if it was started */
bool host_unqueue_send(dff_relay_host_t *host, uint64_t number);

/** host_hold() - account for bytes of an answer that are kept until it is
 *	whole; negative to release */
void host_hold(host_send_t *send, int64_t bytes);

/** host_free_send() - free a host_send_t */
void host_free_send(void *data);

/** host_start_send() - start the send of an effect */
void host_start_send(dff_relay_host_t *host, const dff_relay_send_t *fx);

/** host_cancel_send() - cancel a send that is queued or in progress */
void host_cancel_send(dff_relay_host_t *host, uint64_t number);

/** host_query_cache() - request an engine's list of cached parts */
void host_query_cache(
    dff_relay_host_t *host, const dff_relay_cache_query_t *fx);

/** host_identify() - ask an upstream for the start of its process */
void host_identify(dff_relay_host_t *host, const dff_relay_identify_t *fx);

/** host_probe() - check whether an upstream accepts connections */
void host_probe(dff_relay_host_t *host, const dff_relay_probe_t *fx);

/** host_release_memory() - have an engine free the KV memory of a prompt */
void host_release_memory(
    dff_relay_host_t *host, const dff_relay_release_t *release);

#endif
