/*
 * HTTP on a libuv loop, by h2o: a small server and a small client. Used by
 * every program; only these two modules know h2o.
 */
#ifndef DRAGONFLYFALL_HTTP_H
#define DRAGONFLYFALL_HTTP_H

#include <uv.h>

#include "dragonflyfall/base.h"

/* ---- server ---- */

/** typedef dff_httpd_t - a listening server */
typedef struct dff_httpd dff_httpd_t;

/** typedef dff_httpd_req_t - one request, until its answer has ended */
typedef struct dff_httpd_req dff_httpd_req_t;

/**
 * struct dff_httpd_handlers - what a server calls
 * @request: a request has arrived whole; it must be answered, now or later
 * @gone: the caller hung up, or lets more than the bound wait unread,
 *	before the answer ended; the request must not be used afterwards.
 *	May be NULL.
 */
typedef struct dff_httpd_handlers {
	void (*request)(void *arg, dff_httpd_req_t *req);
	void (*gone)(void *arg, dff_httpd_req_t *req);
} dff_httpd_handlers_t;

/**
 * struct dff_httpd_config - settings of a server
 * @addr: "ip:port" to listen on
 * @body_max: largest request body; a larger one gets 413
 * @unread_max: bytes that may wait for a slow reader
 * @header_time: longest time for a request to arrive whole
 */
typedef struct dff_httpd_config {
	const char *addr;
	size_t body_max;
	size_t unread_max;
	dff_time_t header_time;
} dff_httpd_config_t;

/**
 * dff_httpd_new() - listen
 * @httpd: set to the server, which the caller drops
 *
 * Return: 0 or a negative error number, such as -EADDRINUSE.
 */
int dff_httpd_new(dff_ctx_t *ctx, uv_loop_t *loop,
    const dff_httpd_config_t *config, const dff_httpd_handlers_t *handlers,
    void *arg, dff_httpd_t **httpd);

/** dff_httpd_shut() - take no new connections; those open run on */
void dff_httpd_shut(dff_httpd_t *httpd);

/** dff_httpd_drop() - close all; NULL is allowed */
void dff_httpd_drop(dff_httpd_t *httpd);

/** dff_httpd_open() - requests whose answer has not ended */
size_t dff_httpd_open(const dff_httpd_t *httpd);

/** dff_httpd_method() - "GET", "POST", ... */
const char *dff_httpd_method(const dff_httpd_req_t *req);

/** dff_httpd_path() - path without query, NUL-terminated */
const char *dff_httpd_path(const dff_httpd_req_t *req);

/** dff_httpd_query() - value of a query parameter, or NULL */
const char *dff_httpd_query(dff_httpd_req_t *req, const char *name);

/** dff_httpd_header() - value of a request header (name in lower case), or
 *	NULL */
const char *dff_httpd_header(dff_httpd_req_t *req, const char *name);

/** dff_httpd_body() - the body; @len is set to its length */
const char *dff_httpd_body(const dff_httpd_req_t *req, size_t *len);

/** dff_httpd_set_data() - hang something on a request */
void dff_httpd_set_data(dff_httpd_req_t *req, void *data);

/** dff_httpd_data() - what hangs on a request, or NULL */
void *dff_httpd_data(const dff_httpd_req_t *req);

/** dff_httpd_add_header() - add a header to the answer, before it begins */
void dff_httpd_add_header(
    dff_httpd_req_t *req, const char *name, const char *value);

/** dff_httpd_answer() - answer whole; the request is over */
void dff_httpd_answer(dff_httpd_req_t *req, int status,
    const char *content_type, const void *body, size_t len);

/** dff_httpd_begin() - begin a streamed answer */
void dff_httpd_begin(
    dff_httpd_req_t *req, int status, const char *content_type);

/** dff_httpd_write() - add bytes, which are copied */
void dff_httpd_write(dff_httpd_req_t *req, const void *data, size_t len);

/** dff_httpd_end() - end a streamed answer; the request is over */
void dff_httpd_end(dff_httpd_req_t *req);

/** dff_httpd_abort() - break a streamed answer off, so that the caller sees
 *	that it is not whole; the request is over */
void dff_httpd_abort(dff_httpd_req_t *req);

/* ---- client ---- */

/** typedef dff_httpc_t - a client with its kept connections */
typedef struct dff_httpc dff_httpc_t;

/** typedef dff_httpc_req_t - one request under way */
typedef struct dff_httpc_req dff_httpc_req_t;

/** enum dff_httpc_end - how a request ended */
typedef enum dff_httpc_end {
	DFF_HTTPC_DONE, /* the answer arrived whole */
	DFF_HTTPC_CONNECT, /* no connection; nothing was sent */
	DFF_HTTPC_BROKEN, /* broken off after the send began */
	DFF_HTTPC_TIMEOUT, /* silent for too long after the send began */
} dff_httpc_end_t;

/**
 * struct dff_httpc_handlers - what a client calls
 * @head: status and headers arrived; may be NULL
 * @data: bytes of the body arrived; may be NULL
 * @end: the request is over and must not be used afterwards; called exactly
 *	once, never from inside dff_httpc_start() or dff_httpc_cancel()
 */
typedef struct dff_httpc_handlers {
	void (*head)(void *arg, dff_httpc_req_t *req, int status);
	void (*data)(
	    void *arg, dff_httpc_req_t *req, const char *data, size_t len);
	void (*end)(void *arg, dff_httpc_req_t *req, dff_httpc_end_t end);
} dff_httpc_handlers_t;

/**
 * struct dff_httpc_call - one request to send
 * @addr: "ip:port"
 * @method: method
 * @path: path and query
 * @content_type: of the body, or NULL
 * @headers: more headers as "name: value\r\n" lines, or NULL
 * @body: body, copied
 * @len: bytes at @body
 * @silence: longest time without a byte of answer; also for connecting
 */
typedef struct dff_httpc_call {
	const char *addr;
	const char *method;
	const char *path;
	const char *content_type;
	const char *headers;
	const void *body;
	size_t len;
	dff_time_t silence;
} dff_httpc_call_t;

/** dff_httpc_new() - a client; the caller drops it */
dff_httpc_t *dff_httpc_new(dff_ctx_t *ctx, uv_loop_t *loop);

/** dff_httpc_set_tcp_timeout() - longest time for which sent bytes may stay
 *	unacknowledged before their connection is broken; 0, as at first, for
 *	the system's own */
void dff_httpc_set_tcp_timeout(dff_httpc_t *httpc, dff_time_t timeout);

/** dff_httpc_drop() - end all requests without a call back; NULL is allowed */
void dff_httpc_drop(dff_httpc_t *httpc);

/**
 * dff_httpc_start() - send a request
 *
 * Return: the request, owned by the client until its end; NULL with an
 * address that cannot be understood.
 */
dff_httpc_req_t *dff_httpc_start(dff_httpc_t *httpc,
    const dff_httpc_call_t *call, const dff_httpc_handlers_t *handlers,
    void *arg);

/** dff_httpc_cancel() - break a request off; no handler is called any more.
 *	Allowed from inside a handler. */
void dff_httpc_cancel(dff_httpc_req_t *req);

/** dff_httpc_header() - value of an answer's header (lower case), or NULL;
 *	good from head to end */
const char *dff_httpc_header(const dff_httpc_req_t *req, const char *name);

#endif
