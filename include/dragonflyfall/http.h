/*
 * HTTP server and client on a libuv loop, implemented with h2o. Used by every
 * program; only httpd.c and httpc.c call h2o.
 */
#ifndef DRAGONFLYFALL_HTTP_H
#define DRAGONFLYFALL_HTTP_H

#include <uv.h>

#include "dragonflyfall/base.h"

/* ---- server ---- */

/** typedef dff_httpd_t - a listening server */
typedef struct dff_httpd dff_httpd_t;

/** typedef dff_httpd_req_t - one request, valid until its answer has ended */
typedef struct dff_httpd_req dff_httpd_req_t;

/**
 * struct dff_httpd_handlers - callbacks of a server
 * @request: a complete request arrived; it must be answered, now or later
 * @disconnected: the caller closed the connection or left more than
 *	@unread_max bytes unread before the answer ended; the request must not
 *	be used afterwards.
 *	May be NULL.
 */
typedef struct dff_httpd_handlers {
	void (*request)(void *arg, dff_httpd_req_t *req);
	void (*disconnected)(void *arg, dff_httpd_req_t *req);
} dff_httpd_handlers_t;

/**
 * struct dff_httpd_config - settings of a server
 * @addr: "ip:port" to listen on
 * @body_max: largest request body; a larger one gets 413
 * @unread_max: bytes that may be queued for a slow reader
 * @header_time: longest time to receive a complete request
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

/** dff_httpd_stop_accepting() - accept no new connections; open
 *	ones continue */
void dff_httpd_stop_accepting(dff_httpd_t *httpd);

/** dff_httpd_drop() - close the server and its connections; NULL is
 *	allowed */
void dff_httpd_drop(dff_httpd_t *httpd);

/** dff_httpd_count_open() - number of requests whose answer has not ended */
size_t dff_httpd_count_open(const dff_httpd_t *httpd);

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

/** dff_httpd_set_data() - attach a pointer to a request */
void dff_httpd_set_data(dff_httpd_req_t *req, void *data);

/** dff_httpd_data() - pointer attached to a request, or NULL */
void *dff_httpd_data(const dff_httpd_req_t *req);

/** dff_httpd_add_header() - add a header to the answer, before it begins */
void dff_httpd_add_header(
    dff_httpd_req_t *req, const char *name, const char *value);

/** dff_httpd_answer() - send a complete answer; the request ends */
void dff_httpd_answer(dff_httpd_req_t *req, int status,
    const char *content_type, const void *body, size_t len);

/** dff_httpd_begin() - begin a streamed answer */
void dff_httpd_begin(
    dff_httpd_req_t *req, int status, const char *content_type);

/** dff_httpd_write() - add bytes, which are copied */
void dff_httpd_write(dff_httpd_req_t *req, const void *data, size_t len);

/** dff_httpd_end() - end a streamed answer; the request ends */
void dff_httpd_end(dff_httpd_req_t *req);

/** dff_httpd_abort() - abort a streamed answer, so that the caller sees
 *	that it is incomplete; the request ends */
void dff_httpd_abort(dff_httpd_req_t *req);

/* ---- client ---- */

/** typedef dff_httpc_t - a client with its idle connections */
typedef struct dff_httpc dff_httpc_t;

/** typedef dff_httpc_req_t - one request in progress */
typedef struct dff_httpc_req dff_httpc_req_t;

/** enum dff_httpc_end - how a request ended */
typedef enum dff_httpc_end {
	DFF_HTTPC_DONE, /* the complete answer arrived */
	DFF_HTTPC_CONNECT_FAILED, /* no connection; nothing was sent */
	DFF_HTTPC_BROKEN, /* failed after sending began */
	DFF_HTTPC_TIMEOUT, /* no bytes for too long after sending began */
} dff_httpc_end_t;

/**
 * struct dff_httpc_handlers - callbacks of a client
 * @head: status and headers arrived; may be NULL
 * @data: bytes of the body arrived; may be NULL
 * @end: the request ended and must not be used afterwards; called exactly
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
 * @headers: additional headers as "name: value\r\n" lines, or NULL
 * @body: body, copied
 * @len: bytes at @body
 * @idle_timeout: longest time without a byte of the answer; also the time
 *	limit for connecting
 */
typedef struct dff_httpc_call {
	const char *addr;
	const char *method;
	const char *path;
	const char *content_type;
	const char *headers;
	const void *body;
	size_t len;
	dff_time_t idle_timeout;
} dff_httpc_call_t;

/** dff_httpc_new() - a client; the caller drops it */
dff_httpc_t *dff_httpc_new(dff_ctx_t *ctx, uv_loop_t *loop);

/** dff_httpc_set_tcp_timeout() - longest time for which sent bytes may stay
 *	unacknowledged before their connection fails; 0, the initial value, for
 *	the system's default */
void dff_httpc_set_tcp_timeout(dff_httpc_t *httpc, dff_time_t timeout);

/** dff_httpc_drop() - end all requests without calling their handlers;
 *	NULL is allowed */
void dff_httpc_drop(dff_httpc_t *httpc);

/**
 * dff_httpc_start() - send a request
 *
 * Return: the request, owned by the client until its end; NULL if the
 * address is invalid.
 */
dff_httpc_req_t *dff_httpc_start(dff_httpc_t *httpc,
    const dff_httpc_call_t *call, const dff_httpc_handlers_t *handlers,
    void *arg);

/** dff_httpc_cancel() - cancel a request; no handler is called afterwards.
 *	Allowed from inside a handler. */
void dff_httpc_cancel(dff_httpc_req_t *req);

/** dff_httpc_header() - value of an answer's header (lower case), or NULL;
 *	valid from the head handler to the end handler */
const char *dff_httpc_header(const dff_httpc_req_t *req, const char *name);

#endif
