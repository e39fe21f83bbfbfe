/*
 * HTTP/1.1 messages on a libuv loop, passed through as they came: heads
 * keep their fields in order, targets and bodies stay byte for byte. Used
 * where a message belongs to somebody else; http.h is for messages that the
 * project itself writes and reads.
 */
#ifndef DRAGONFLYFALL_H1_H
#define DRAGONFLYFALL_H1_H

#include <glib.h>
#include <uv.h>

#include "dragonflyfall/base.h"

/**
 * struct dff_h1_field - one header field
 * @name: as it came
 * @value: without the space around it
 */
typedef struct dff_h1_field {
	char *name;
	char *value;
} dff_h1_field_t;

/**
 * struct dff_h1_head - the head of a request or an answer
 * @method: of a request, else NULL
 * @target: of a request, path and query as they came, else NULL
 * @status: of an answer
 * @fields: GArray of dff_h1_field_t, owned
 */
typedef struct dff_h1_head {
	char *method;
	char *target;
	int status;
	GArray *fields;
} dff_h1_head_t;

/** dff_h1_field() - value of a field, any case of name; NULL if absent */
const char *dff_h1_field(const dff_h1_head_t *head, const char *name);

/** dff_h1_is_hop() - whether a field concerns one connection only */
bool dff_h1_is_hop(const dff_h1_head_t *head, const char *name);

/** dff_h1_reason() - reason phrase of a status */
const char *dff_h1_reason(int status);

/* ---- server ---- */

/** typedef dff_h1d_t - a listening server */
typedef struct dff_h1d dff_h1d_t;

/** typedef dff_h1d_req_t - one request, until its answer ended or its
 *	caller went */
typedef struct dff_h1d_req dff_h1d_req_t;

/**
 * struct dff_h1d_handlers - what a server calls
 * @request: a request arrived whole; answer it now or later
 * @gone: the caller hung up before its answer ended; the request must not
 *	be used afterwards; may be NULL
 */
typedef struct dff_h1d_handlers {
	void (*request)(void *arg, dff_h1d_req_t *req);
	void (*gone)(void *arg, dff_h1d_req_t *req);
} dff_h1d_handlers_t;

/**
 * struct dff_h1d_limits - what callers may send, and how slowly
 * @head_max: bytes of a head; more get 431
 * @body_max: bytes of a body; more get 413
 * @unread_max: bytes that may wait for a slow reader
 * @idle_time: longest time without a request
 */
typedef struct dff_h1d_limits {
	size_t head_max;
	size_t body_max;
	size_t unread_max;
	dff_time_t idle_time;
} dff_h1d_limits_t;

/**
 * dff_h1d_new() - listen on "ip:port"
 *
 * Return: 0 with @h1d set, which the caller drops, or a negative error
 * number.
 */
int dff_h1d_new(dff_ctx_t *ctx, uv_loop_t *loop, const char *addr,
    const dff_h1d_limits_t *limits, const dff_h1d_handlers_t *handlers,
    void *arg, dff_h1d_t **h1d);

/** dff_h1d_set_limits() - limits for what arrives from now on */
void dff_h1d_set_limits(dff_h1d_t *h1d, const dff_h1d_limits_t *limits);

/** dff_h1d_leave() - answers from now on are the last of their connection */
void dff_h1d_leave(dff_h1d_t *h1d);

/** dff_h1d_drop() - close everything; NULL is allowed */
void dff_h1d_drop(dff_h1d_t *h1d);

/** dff_h1d_head() - head of a request, borrowed until it is over */
const dff_h1_head_t *dff_h1d_head(const dff_h1d_req_t *req);

/** dff_h1d_body() - body of a request, borrowed until it is over */
const GByteArray *dff_h1d_body(const dff_h1d_req_t *req);

/** dff_h1d_set_data() - hang something on a request */
void dff_h1d_set_data(dff_h1d_req_t *req, uint64_t data);

/** dff_h1d_data() - what hangs on a request */
uint64_t dff_h1d_data(const dff_h1d_req_t *req);

/**
 * dff_h1d_begin() - begin an answer
 * @fields: "name: value\r\n" lines without framing, borrowed
 * @length: bytes of the body, or -1 if not known
 */
void dff_h1d_begin(
    dff_h1d_req_t *req, int status, const char *fields, int64_t length);

/** dff_h1d_write() - add bytes of the body, copied */
void dff_h1d_write(dff_h1d_req_t *req, const void *data, size_t len);

/** dff_h1d_end() - the answer is whole; the request is over */
void dff_h1d_end(dff_h1d_req_t *req);

/** dff_h1d_abort() - close the connection so that the answer does not look
 *	whole; the request is over */
void dff_h1d_abort(dff_h1d_req_t *req);

/** dff_h1d_answer() - a whole answer at once; the request is over */
void dff_h1d_answer(dff_h1d_req_t *req, int status, const char *fields,
    const void *body, size_t len);

/* ---- client ---- */

/** typedef dff_h1c_t - a client with its kept connections */
typedef struct dff_h1c dff_h1c_t;

/** typedef dff_h1c_req_t - one request under way */
typedef struct dff_h1c_req dff_h1c_req_t;

/** enum dff_h1c_end - how a request ended */
typedef enum dff_h1c_end {
	DFF_H1C_DONE, /* the answer arrived whole */
	DFF_H1C_UNSENT, /* no connection; no byte left */
	DFF_H1C_BROKEN, /* broken off after bytes may have left */
} dff_h1c_end_t;

/**
 * struct dff_h1c_handlers - what a client calls
 * @head: the answer's head arrived; borrowed until @end; may be NULL
 * @data: bytes of the body arrived; may be NULL
 * @end: the request is over; called once, never from inside
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
 * @peer: name of who is expected there; connections are kept for one name
 * @bytes: the whole request, head and body; handed over
 * @echo_name: field that an answer repeats from its request, or NULL; an
 *	answer that bears another value belongs to an earlier request and is
 *	passed over
 * @echo_value: the value
 * @connect_time: longest time for a connection to be made
 * @anew: close what is kept for this peer and connect
 * @body_max: bytes of an answer's body beyond which it is broken off; 0 for
 *	as many as come: the handlers have to tell when it is enough
 * @answer_time: longest time from sending it to the end of its answer; 0 for
 *	as long as it takes
 */
typedef struct dff_h1c_call {
	const char *addr;
	const char *peer;
	GByteArray *bytes;
	const char *echo_name;
	const char *echo_value;
	dff_time_t connect_time;
	bool anew;
	size_t body_max;
	dff_time_t answer_time;
} dff_h1c_call_t;

/** dff_h1c_new() - a client; the caller drops it */
dff_h1c_t *dff_h1c_new(dff_ctx_t *ctx, uv_loop_t *loop);

/** dff_h1c_drop() - end all without a call back; NULL is allowed */
void dff_h1c_drop(dff_h1c_t *h1c);

/** dff_h1c_start() - send a request; NULL with a bad address */
dff_h1c_req_t *dff_h1c_start(dff_h1c_t *h1c, const dff_h1c_call_t *call,
    const dff_h1c_handlers_t *handlers, void *arg);

/** dff_h1c_cancel() - break a request off with its connection; no handler
 *	is called any more */
void dff_h1c_cancel(dff_h1c_req_t *req);

/** enum dff_h1c_reach - what became of a connection that was tried */
typedef enum dff_h1c_reach {
	DFF_H1C_REACHED, /* it stands and is kept for a request */
	DFF_H1C_REFUSED, /* nobody listens there */
	DFF_H1C_SILENT, /* neither, or it was closed again at once */
} dff_h1c_reach_t;

/** dff_h1c_probed_t() - the end of a probe of a peer */
typedef void (*dff_h1c_probed_t)(
    void *arg, const char *peer, dff_h1c_reach_t reach);

/**
 * dff_h1c_probe() - see whether a server takes connections
 * @call: its address, peer and connect time count
 * @done: called once, never from inside this call or dff_h1c_drop()
 *
 * Return: 0, or a negative error number if it cannot be tried.
 */
int dff_h1c_probe(dff_h1c_t *h1c, const dff_h1c_call_t *call,
    dff_h1c_probed_t done, void *arg);

/** dff_h1c_forget() - close the kept connections to one name */
void dff_h1c_forget(dff_h1c_t *h1c, const char *peer);

/** dff_h1c_is_settled() - no request has ended whose handler is yet to be
 *	called */
bool dff_h1c_is_settled(const dff_h1c_t *h1c);

/** dff_h1c_opened() - connections made since the start */
uint64_t dff_h1c_opened(const dff_h1c_t *h1c);

#endif
