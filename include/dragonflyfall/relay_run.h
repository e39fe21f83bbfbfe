/*
 * Runs a relay on a libuv loop: callers' and upstreams' connections, frames
 * between peers, timers. How requests and answers are written on the wire
 * is the adapter's: see struct dff_wire.
 */
#ifndef DRAGONFLYFALL_RELAY_RUN_H
#define DRAGONFLYFALL_RELAY_RUN_H

#include "dragonflyfall/h1.h"
#include "dragonflyfall/relay.h"

/* The longest host name of a request, with its NUL. */
#define DFF_HOST_MAX 256

/**
 * struct dff_wire - an adapter's translations; none of them decides
 * @echo_field: field of a request that its answer repeats
 * @decode_request: read a caller's request; @host is a buffer of
 *	DFF_HOST_MAX bytes for its host. Returns 0, or the HTTP status of a
 *	request that cannot be understood
 * @encode_send: the bytes of a send
 * @decode_head: read an answer's head; the send's number is filled in.
 *	Returns the name of a field that cannot be read and counts as absent,
 *	or NULL
 * @is_private: a field of an answer that is not for its caller
 * @decode_prefill: read a prefill's answer; -EBADMSG if it is none
 * @encode_free: the bytes that free an engine's memory
 * @encode_list: the bytes that ask an engine which parts it keeps
 * @decode_kept: read its answer, adding dff_part_t to @parts; -EBADMSG if it
 *	is none
 */
typedef struct dff_wire {
	const char *echo_field;
	int (*decode_request)(const dff_h1_head_t *head, const GByteArray *body,
	    dff_relay_open_t *open, char *host);
	GByteArray *(*encode_send)(const dff_h1_head_t *head,
	    const GByteArray *body, const dff_relay_send_t *send);
	const char *(*decode_head)(
	    const dff_h1_head_t *head, dff_relay_head_t *out);
	bool (*is_private)(const char *field);
	int (*decode_prefill)(
	    const char *body, size_t len, dff_relay_end_t *end);
	GByteArray *(*encode_free)(const dff_relay_release_t *release);
	GByteArray *(*encode_list)(const dff_relay_cache_query_t *list);
	int (*decode_kept)(const char *body, size_t len, GArray *parts);
} dff_wire_t;

/**
 * struct dff_run_config - settings of a run
 * @front: "ip:port" for callers
 * @health: "ip:port" that tells whether new connections are wanted
 * @peers: "ip:port" for frames of peers, UDP; also in @relay
 * @drain_min: least time between a stop and the end of the process: until
 *	new connections go elsewhere
 * @drain_max: most time between a stop and the end
 * @relay: settings of the relay
 */
typedef struct dff_run_config {
	const char *front;
	const char *health;
	const char *peers;
	dff_time_t drain_min;
	dff_time_t drain_max;
	dff_relay_config_t relay;
} dff_run_config_t;

/** typedef dff_run_t - a running relay */
typedef struct dff_run dff_run_t;

/**
 * dff_run_new() - listen and begin
 *
 * Return: 0 with @run set, which the caller drops, or a negative error
 * number.
 */
int dff_run_new(dff_ctx_t *ctx, uv_loop_t *loop, const dff_run_config_t *config,
    const dff_wire_t *wire, dff_run_t **run);

/** dff_run_on_fetch() - whom to ask to get a feed's records from a peer */
void dff_run_on_fetch(dff_run_t *run,
    void (*fetch)(void *arg, const dff_relay_fetch_t *fetch), void *arg);

/** dff_run_on_keep() - who keeps evidence for a fleet that starts anew */
void dff_run_on_keep(dff_run_t *run,
    void (*keep)(void *arg, const dff_crash_report_t *evidence), void *arg);

/** dff_run_drop() - close everything */
void dff_run_drop(dff_run_t *run);

/** dff_run_feed() - one event from an adapter; @event is borrowed */
void dff_run_feed(dff_run_t *run, const dff_relay_event_t *event);

/** dff_run_relay() - the relay, borrowed */
dff_relay_t *dff_run_relay(dff_run_t *run);

/** dff_run_client() - the client for connections, borrowed */
dff_h1c_t *dff_run_client(dff_run_t *run);

/** dff_run_stop() - drain, then call @done */
void dff_run_stop(dff_run_t *run, void (*done)(void *arg), void *arg);

/** dff_run_set() - settings changed; addresses stay */
void dff_run_set(dff_run_t *run, const dff_run_config_t *config);

#endif
