/*
 * Runs a relay on a libuv loop: connections of callers and upstreams, frames
 * between peers, timers. An adapter defines the wire format of requests and
 * answers: see struct dff_wire.
 */
#ifndef DRAGONFLYFALL_RELAY_HOST_H
#define DRAGONFLYFALL_RELAY_HOST_H

#include "dragonflyfall/h1.h"
#include "dragonflyfall/relay.h"

/* Size of a request's longest host name, with its NUL. */
#define DFF_HOST_NAME_MAX 256

/**
 * struct dff_wire - an adapter's encoders and decoders, which take no decisions
 * @echo_field: header field of a request that its answer repeats
 * @decode_request: decode a caller's request; @host_name is a buffer of
 *	DFF_HOST_NAME_MAX bytes for its host name. Returns 0, or the HTTP status
 *	with which an invalid request is refused
 * @encode_send: encode the request of a send
 * @encode_forward: encode the request of a send to a peer, from which the peer
 *	decodes the same request as from the caller itself
 * @decode_head: decode an answer's head; the host sets the send's number.
 *	Returns the name of an invalid field, which counts as absent, or NULL
 * @is_private: whether an answer's field is not forwarded to the caller
 * @decode_prefill: decode a prefill's answer; -EBADMSG if it is invalid
 * @encode_release: encode a request that frees KV memory of an engine
 * @encode_cache_query: encode a request for an engine's list of cached parts
 * @decode_cache_list: decode its answer, adding dff_part_t to @parts;
 *	-EBADMSG if it is invalid
 * @encode_identify: encode a request for the start of an upstream's process
 * @decode_identity: decode its answer: returns whether it states that moment,
 *	and sets that, or 0 if the answer is of another upstream
 */
typedef struct dff_wire {
	const char *echo_field;
	int (*decode_request)(const dff_h1_head_t *head, const GByteArray *body,
	    dff_relay_open_t *open, char *host_name);
	GByteArray *(*encode_send)(const dff_h1_head_t *head,
	    const GByteArray *body, const dff_relay_send_t *send);
	GByteArray *(*encode_forward)(const dff_h1_head_t *head,
	    const GByteArray *body, const dff_relay_send_t *send);
	const char *(*decode_head)(
	    const dff_h1_head_t *head, dff_relay_head_t *out);
	bool (*is_private)(const char *field);
	int (*decode_prefill)(
	    const char *body, size_t len, dff_relay_end_t *end);
	GByteArray *(*encode_release)(const dff_relay_release_t *release);
	GByteArray *(*encode_cache_query)(const dff_relay_cache_query_t *query);
	int (*decode_cache_list)(const char *body, size_t len, GArray *parts);
	GByteArray *(*encode_identify)(const dff_relay_identify_t *identify);
	bool (*decode_identity)(
	    int status, const char *body, size_t len, uint64_t *started_ms);
} dff_wire_t;

/**
 * struct dff_relay_host_config - settings of a relay host
 * @front: "ip:port" that callers connect to
 * @health: "ip:port" that answers whether new connections are accepted
 * @peers: "ip:port" for peers, of frames over UDP and of requests that they
 *	pass on over TCP; also in @relay. Callers must not reach it
 * @drain_min: least time between a stop and the end of the process, in which
 *	new connections are directed to other nodes
 * @drain_max: longest time between a stop and the end of the process
 * @relay: settings of the relay
 * @memory: memory of the machine in bytes, 0: what is held has no limit
 * @sockets: sockets that the process may open, 0: no limit
 */
typedef struct dff_relay_host_config {
	const char *front;
	const char *health;
	const char *peers;
	dff_time_t drain_min;
	dff_time_t drain_max;
	dff_relay_config_t relay;
	size_t memory;
	int sockets;
} dff_relay_host_config_t;

/** typedef dff_relay_host_t - a relay with its connections and timers */
typedef struct dff_relay_host dff_relay_host_t;

/**
 * dff_relay_host_new() - start listening and run the relay
 *
 * Return: 0 with @host set, which the caller drops, or a negative error
 * number.
 */
int dff_relay_host_new(dff_ctx_t *ctx, uv_loop_t *loop,
    const dff_relay_host_config_t *config, const dff_wire_t *wire,
    dff_relay_host_t **host);

/** dff_relay_host_on_fetch() - set the handler that fetches a feed's records
 *	from a peer */
void dff_relay_host_on_fetch(dff_relay_host_t *host,
    void (*fetch)(void *arg, const dff_relay_fetch_t *fetch), void *arg);

/** dff_relay_host_on_order() - set the handler that orders upstreams; its result
 *	comes back as DFF_RELAY_UPSTREAMS_ORDERED */
void dff_relay_host_on_order(dff_relay_host_t *host,
    void (*order)(void *arg, const dff_relay_order_t *order), void *arg);

/** dff_relay_host_on_store_crashes() - set the handler that stores
 *	crash reports for a fleet that restarts */
void dff_relay_host_on_store_crashes(dff_relay_host_t *host,
    void (*store_crashes)(void *arg, const dff_crash_report_t *report),
    void *arg);

/** struct dff_relay_host_origins - handlers for origins of streams; @read is
 *	followed by DFF_RELAY_ORIGINS_READ */
typedef struct dff_relay_host_origins {
	void (*store)(void *arg, const dff_relay_origins_t *origins);
	void (*read)(void *arg);
} dff_relay_host_origins_t;

/** dff_relay_host_on_origins() - set the handlers that store and read them */
void dff_relay_host_on_origins(dff_relay_host_t *host,
    const dff_relay_host_origins_t *handlers, void *arg);

/** struct dff_relay_host_duties - handlers for duties: calls to the store, which
 *	are followed by DFF_RELAY_DUTY_READ or DFF_RELAY_DUTY_APPENDED, and those
 *	for usage reports, which are followed by DFF_RELAY_USAGE */
typedef struct dff_relay_host_duties {
	void (*log)(void *arg, const dff_duty_request_t *request);
	void (*usage)(void *arg, const dff_usage_call_t *call);
} dff_relay_host_duties_t;

/** dff_relay_host_on_duties() - set the handlers of duties */
void dff_relay_host_on_duties(
    dff_relay_host_t *host, const dff_relay_host_duties_t *handlers, void *arg);

/** dff_relay_host_drop() - close all connections and free the relay */
void dff_relay_host_drop(dff_relay_host_t *host);

/** dff_relay_host_feed() - pass an event to the relay; @event is borrowed */
void dff_relay_host_feed(
    dff_relay_host_t *host, const dff_relay_event_t *event);

/** dff_relay_host_relay() - the relay, borrowed */
dff_relay_t *dff_relay_host_relay(dff_relay_host_t *host);

/** dff_relay_host_client() - the client of its upstreams, borrowed */
dff_h1c_t *dff_relay_host_client(dff_relay_host_t *host);

/** dff_relay_host_account() - what is held for callers, borrowed */
const dff_account_t *dff_relay_host_account(const dff_relay_host_t *host);

/** dff_relay_host_stop() - stop gracefully, then call @done */
void dff_relay_host_stop(
    dff_relay_host_t *host, void (*done)(void *arg), void *arg);

/** dff_relay_host_set_config() - change the settings except the
 *	addresses */
void dff_relay_host_set_config(
    dff_relay_host_t *host, const dff_relay_host_config_t *config);

#endif
