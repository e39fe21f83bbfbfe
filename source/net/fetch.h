/*
 * Requests whose whole answer is wanted at once, with a bound on its size.
 */
#ifndef DFF_NET_FETCH_H
#define DFF_NET_FETCH_H

#include "dragonflyfall/http.h"

/** typedef dff_fetcher_t - the fetches of one adapter */
typedef struct dff_fetcher dff_fetcher_t;

/** typedef dff_fetch_t - one fetch under way */
typedef struct dff_fetch dff_fetch_t;

/**
 * struct dff_fetched - how a fetch ended
 * @end: how the request ended
 * @too_large: the answer is larger than the bound and was broken off
 * @status: HTTP status, with DFF_HTTPC_DONE
 * @content_type: of the body, or ""
 * @body: body, NUL-terminated, borrowed
 * @len: bytes at @body
 */
typedef struct dff_fetched {
	dff_httpc_end_t end;
	bool too_large;
	int status;
	const char *content_type;
	const char *body;
	size_t len;
} dff_fetched_t;

/**
 * typedef dff_fetched_fn - called once, from the loop, unless cancelled
 * @arg: what dff_fetcher_new() was given
 * @data: what dff_fetch_start() was given; freed on return
 */
typedef void (*dff_fetched_fn)(
    void *arg, void *data, const dff_fetched_t *fetched);

/** dff_fetcher_new() - fetches by a client; the caller drops it first */
dff_fetcher_t *dff_fetcher_new(dff_httpc_t *httpc, void *arg);

/** dff_fetcher_drop() - cancel all; NULL is allowed */
void dff_fetcher_drop(dff_fetcher_t *fetcher);

/**
 * dff_fetch_start() - send a request
 * @call: request; an address that cannot be understood counts as one where
 *	nothing listens
 * @max: largest body taken
 * @data: handed to @fn; the fetch frees it with g_free()
 */
dff_fetch_t *dff_fetch_start(dff_fetcher_t *fetcher,
    const dff_httpc_call_t *call, size_t max, dff_fetched_fn fn, void *data);

/** dff_fetch_cancel() - break it off; its function is not called */
void dff_fetch_cancel(dff_fetch_t *fetch);

/** dff_http_start() - dff_httpc_start(), with an address that cannot be
 *	understood as one where nothing listens; never NULL */
dff_httpc_req_t *dff_http_start(dff_httpc_t *httpc,
    const dff_httpc_call_t *call, const dff_httpc_handlers_t *handlers,
    void *arg);

#endif
