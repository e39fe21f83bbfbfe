/*
 * HTTP/1.1 server and client on a libuv loop that forward messages
 * unchanged: heads keep their fields in order, targets and bodies stay byte
 * for byte. Used for forwarded messages; http.h is for messages that the
 * project itself writes and reads.
 */
#ifndef DRAGONFLYFALL_H1_H
#define DRAGONFLYFALL_H1_H

#include <glib.h>
#include <uv.h>

#include "dragonflyfall/account.h"

/**
 * struct dff_h1_field - one header field
 * @name: as received
 * @value: without surrounding white space
 */
typedef struct dff_h1_field {
	char *name;
	char *value;
} dff_h1_field_t;

/**
 * struct dff_h1_head - the head of a request or an answer
 * @method: of a request, else NULL
 * @target: of a request, path and query as received, else NULL
 * @status: of an answer
 * @fields: GArray of dff_h1_field_t, owned
 */
typedef struct dff_h1_head {
	char *method;
	char *target;
	int status;
	GArray *fields;
} dff_h1_head_t;

/** dff_h1_field() - value of a field, NULL if absent; @name is
 *	compared without regard to case */
const char *dff_h1_field(const dff_h1_head_t *head, const char *name);

/** dff_h1_is_hop_by_hop() - whether a field applies to one connection
 *	only and must not be forwarded */
bool dff_h1_is_hop_by_hop(const dff_h1_head_t *head, const char *name);

/** dff_h1_reason() - reason phrase of a status */
const char *dff_h1_reason(int status);

/* ---- server ---- */

/** typedef dff_h1d_t - a listening server */
typedef struct dff_h1d dff_h1d_t;

/** typedef dff_h1d_req_t - one request, valid until its answer ends or its
 *	caller disconnects */
typedef struct dff_h1d_req dff_h1d_req_t;

/**
 * struct dff_h1d_handlers - callbacks of a server
 * @request: a complete request arrived; answer it now or later; called by the
 *	loop, never from inside a function of the server
 * @disconnected: the caller closed the connection before its answer ended;
 *	the request must not be used afterwards; called by the loop, never from
 *	inside a function of the server; may be NULL
 */
typedef struct dff_h1d_handlers {
	void (*request)(void *arg, dff_h1d_req_t *req);
	void (*disconnected)(void *arg, dff_h1d_req_t *req);
} dff_h1d_handlers_t;

/**
 * struct dff_h1d_limits - limits on callers
 * @head_max: largest head in bytes; a larger one gets 431
 * @body_max: largest body in bytes; a larger one gets 413
 * @unread_max: bytes that may be queued for a slow reader
 * @idle_time: time without a request after which a connection is closed
 */
typedef struct dff_h1d_limits {
	size_t head_max;
	size_t body_max;
	size_t unread_max;
	dff_time_t idle_time;
} dff_h1d_limits_t;

/**
 * struct dff_h1d_guard - bounds that several servers of a node share
 * @account: of what is held for their callers; must outlive the servers; NULL
 *	for no bounds
 * @head_time: longest time from the first byte of a head to its end; a later
 *	one gets 408; 0 for no limit
 */
typedef struct dff_h1d_guard {
	dff_account_t *account;
	dff_time_t head_time;
} dff_h1d_guard_t;

/**
 * dff_h1d_new() - listen on "ip:port"
 *
 * Return: 0 with @h1d set, which the caller drops, or a negative error
 * number.
 */
int dff_h1d_new(dff_ctx_t *ctx, uv_loop_t *loop, const char *addr,
    const dff_h1d_limits_t *limits, const dff_h1d_handlers_t *handlers,
    void *arg, dff_h1d_t **h1d);

/** dff_h1d_set_limits() - change the limits of later input */
void dff_h1d_set_limits(dff_h1d_t *h1d, const dff_h1d_limits_t *limits);

/**
 * dff_h1d_set_guard() - bound what is held for callers
 *
 * A request that is refused for it gets 503 and was not passed to the handler.
 * Its connection is closed, and that of a caller that reads too slowly.
 */
void dff_h1d_set_guard(dff_h1d_t *h1d, const dff_h1d_guard_t *guard);

/** dff_h1d_drain() - close each connection after its next answer */
void dff_h1d_drain(dff_h1d_t *h1d);

/** dff_h1d_drop() - close the server and its connections; NULL is
 *	allowed */
void dff_h1d_drop(dff_h1d_t *h1d);

/** dff_h1d_head() - head of a request, borrowed until the request ends */
const dff_h1_head_t *dff_h1d_head(const dff_h1d_req_t *req);

/** dff_h1d_body() - body of a request, borrowed until the request ends */
const GByteArray *dff_h1d_body(const dff_h1d_req_t *req);

/** dff_h1d_set_data() - attach a value to a request */
void dff_h1d_set_data(dff_h1d_req_t *req, uint64_t data);

/** dff_h1d_data() - value attached to a request, 0 if none */
uint64_t dff_h1d_data(const dff_h1d_req_t *req);

/* Length of a body that ends with its connection. */
#define DFF_H1D_UNTIL_CLOSE (-2)

/**
 * dff_h1d_begin() - begin an answer
 * @fields: "name: value\r\n" lines without framing, borrowed
 * @length: bytes of the body, -1 if not known, or DFF_H1D_UNTIL_CLOSE
 */
void dff_h1d_begin(
    dff_h1d_req_t *req, int status, const char *fields, int64_t length);

/** dff_h1d_write() - add bytes of the body, copied */
void dff_h1d_write(dff_h1d_req_t *req, const void *data, size_t len);

/** dff_h1d_end() - end the answer; the request ends with it. An answer that does
 *	not have its stated length is broken off instead */
void dff_h1d_end(dff_h1d_req_t *req);

/** dff_h1d_abort() - close the connection so that the caller sees an
 *	incomplete answer; the request ends */
void dff_h1d_abort(dff_h1d_req_t *req);

/** dff_h1d_answer() - send a complete answer; the request ends */
void dff_h1d_answer(dff_h1d_req_t *req, int status, const char *fields,
    const void *body, size_t len);

/* ---- client ---- */

/** typedef dff_h1c_t - a client with its idle connections */
typedef struct dff_h1c dff_h1c_t;

/** typedef dff_h1c_req_t - one request in progress */
typedef struct dff_h1c_req dff_h1c_req_t;

/** enum dff_h1c_end - how a request ended */
typedef enum dff_h1c_end {
	DFF_H1C_DONE, /* the answer arrived with all that its framing states */
	DFF_H1C_CLOSED, /* the server closed the connection in order during an
			 * answer with neither a length nor chunks, which may
			 * be complete */
	DFF_H1C_UNSENT, /* no connection; no byte was sent */
	DFF_H1C_BROKEN, /* failed after bytes may have been sent */
} dff_h1c_end_t;

/** dff_h1c_may_be_whole() - whether the answer may be complete; for bodies that
 *	show by themselves whether they are */
bool dff_h1c_may_be_whole(dff_h1c_end_t end);

/**
 * struct dff_h1c_handlers - callbacks of a client
 * @head: the answer's head arrived; borrowed until @end; may be NULL
 * @data: bytes of the body arrived; may be NULL
 * @end: the request ended; called once, never from inside
 *	dff_h1c_start() or dff_h1c_cancel()
 */
typedef struct dff_h1c_handlers {
	void (*head)(void *arg, const dff_h1_head_t *head);
	void (*data)(void *arg, const char *data, size_t len);
	void (*end)(void *arg, dff_h1c_end_t end);
} dff_h1c_handlers_t;

/**
 * struct dff_h1c_call - one request to send
 * @addr: "ip:port"
 * @peer: name of the server expected there; idle connections are reused only
 *	for the same name
 * @bytes: complete request, head and body; the client takes the reference
 * @echo_name: field that an answer repeats from its request, or NULL; an
 *	answer with another value belongs to an earlier request and is
 *	skipped; one without it breaks the request off on a connection that
 *	has carried others
 * @echo_value: value of that field
 * @connect_time: longest time to establish a connection
 * @new_connection: close idle connections to this peer and open a new
 *	one
 * @body_max: largest body of an answer in bytes; a larger one is aborted; 0
 *	for no limit: the handlers then have to cancel the request
 * @answer_time: longest time from sending it to the end of its answer; 0 for
 *	no limit
 */
typedef struct dff_h1c_call {
	const char *addr;
	const char *peer;
	GByteArray *bytes;
	const char *echo_name;
	const char *echo_value;
	dff_time_t connect_time;
	bool new_connection;
	size_t body_max;
	dff_time_t answer_time;
} dff_h1c_call_t;

/** dff_h1c_new() - a client; the caller drops it */
dff_h1c_t *dff_h1c_new(dff_ctx_t *ctx, uv_loop_t *loop);

/** dff_h1c_drop() - end all requests and probes without calling their
 *	handlers; NULL is allowed */
void dff_h1c_drop(dff_h1c_t *h1c);

/** dff_h1c_start() - send a request; NULL if its address is invalid */
dff_h1c_req_t *dff_h1c_start(dff_h1c_t *h1c, const dff_h1c_call_t *call,
    const dff_h1c_handlers_t *handlers, void *arg);

/** dff_h1c_cancel() - cancel a request and close its connection; no
 *	handler is called afterwards */
void dff_h1c_cancel(dff_h1c_req_t *req);

/** enum dff_h1c_probe_result - result of a probe */
typedef enum dff_h1c_probe_result {
	DFF_H1C_REACHED, /* connected; the connection is kept for a request */
	DFF_H1C_REFUSED, /* connection refused: nothing listens there */
	DFF_H1C_UNREACHABLE, /* no connection in time, or closed at once */
} dff_h1c_probe_result_t;

/** dff_h1c_probe_done_fn() - called when a probe of a peer ends */
typedef void (*dff_h1c_probe_done_fn)(
    void *arg, const char *peer, uint64_t token, dff_h1c_probe_result_t reach);

/**
 * dff_h1c_probe() - test whether a server accepts connections
 * @call: only address, peer and connect time are used
 * @token: passed to @done
 * @done: called once, never from inside this call or dff_h1c_drop(); a probe
 *	that cannot be started ends as DFF_H1C_UNREACHABLE
 */
void dff_h1c_probe(dff_h1c_t *h1c, const dff_h1c_call_t *call, uint64_t token,
    dff_h1c_probe_done_fn done, void *arg);

/** dff_h1c_close_idle() - close idle connections to one peer */
void dff_h1c_close_idle(dff_h1c_t *h1c, const char *peer);

/** dff_h1c_set_connections() - most connections, 0 for no limit: beyond it a
 *	new one replaces the one that has been idle longest, if one is idle */
void dff_h1c_set_connections(dff_h1c_t *h1c, int max);

/** dff_h1c_ends_delivered() - whether the end handler of every ended
 *	request has been called */
bool dff_h1c_ends_delivered(const dff_h1c_t *h1c);

/** dff_h1c_connections_opened() - connections made since the start */
uint64_t dff_h1c_connections_opened(const dff_h1c_t *h1c);

#endif
