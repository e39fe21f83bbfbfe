/*
 * Requests whose complete answer is collected, up to a largest size.
 */
#ifndef DFF_NET_FETCH_H
#define DFF_NET_FETCH_H

#include "dragonflyfall/http.h"

/** typedef dff_fetcher_t - the fetches of one adapter */
typedef struct dff_fetcher dff_fetcher_t;

/** typedef dff_fetch_t - one fetch in progress */
typedef struct dff_fetch dff_fetch_t;

/**
 * struct dff_fetch_result - result of a fetch
 * @end: how the request ended
 * @too_large: the body is larger than allowed; the answer was aborted
 * @status: HTTP status, with DFF_HTTPC_DONE
 * @content_type: of the body, or ""
 * @body: body, NUL-terminated, borrowed
 * @len: bytes at @body
 */
typedef struct dff_fetch_result {
	dff_httpc_end_t end;
	bool too_large;
	int status;
	const char *content_type;
	const char *body;
	size_t len;
} dff_fetch_result_t;

/**
 * typedef dff_fetch_done_fn - called once, from the loop, unless cancelled
 * @arg: argument of dff_fetcher_new()
 * @data: argument of dff_fetch_start(); freed on return
 */
typedef void (*dff_fetch_done_fn)(
    void *arg, void *data, const dff_fetch_result_t *fetched);

/** dff_fetcher_new() - a fetcher that uses a client; the caller drops the
 *	fetcher before the client */
dff_fetcher_t *dff_fetcher_new(dff_httpc_t *httpc, void *arg);

/** dff_fetcher_drop() - cancel all; NULL is allowed */
void dff_fetcher_drop(dff_fetcher_t *fetcher);

/**
 * dff_fetch_start() - send a request
 * @call: request; an invalid address is treated as one that refuses
 *	connections
 * @max: largest body accepted, in bytes
 * @data: passed to @fn; the fetch frees it with g_free()
 */
dff_fetch_t *dff_fetch_start(dff_fetcher_t *fetcher,
    const dff_httpc_call_t *call, size_t max, dff_fetch_done_fn fn, void *data);

/** dff_fetch_cancel() - cancel a fetch; its function is not called */
void dff_fetch_cancel(dff_fetch_t *fetch);

/** dff_httpc_start_nonnull() - dff_httpc_start() that never returns NULL: an
 *	invalid address is treated as one that refuses connections */
dff_httpc_req_t *dff_httpc_start_nonnull(dff_httpc_t *httpc,
    const dff_httpc_call_t *call, const dff_httpc_handlers_t *handlers,
    void *arg);

#endif
