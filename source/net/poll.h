/*
 * Polls the watched upstreams of one kind periodically, with one request at a
 * time to each.
 */
#ifndef DFF_NET_POLL_H
#define DFF_NET_POLL_H

#include <jansson.h>

#include "dragonflyfall/event.h"
#include "net/fetch.h"

/**
 * struct dff_poll_config - settings of a poll
 * @kind: kind of the polled VMs
 * @path: path and query of the request
 * @has_cursor: a cursor is appended to @path, see dff_poll_fn
 * @interval: time between requests to one VM
 * @idle_timeout: longest time without bytes of an answer
 */
typedef struct dff_poll_config {
	dff_vm_kind_t kind;
	const char *path;
	bool has_cursor;
	dff_time_t interval;
	dff_time_t idle_timeout;
} dff_poll_config_t;

/**
 * typedef dff_poll_fn - handles one answer
 * @arg: argument passed to dff_poll_new()
 * @vm: VM id
 * @sent_at: time at which the request was sent
 * @body: the answer, a JSON object
 * @cursor: of a poll with a cursor, the cursor of this request; to be set to
 *	that of the next one
 */
typedef void (*dff_poll_fn)(void *arg, const char *vm, dff_time_t sent_at,
    const json_t *body, uint64_t *cursor);

/** typedef dff_poll_t - a poll of all VMs of one kind */
typedef struct dff_poll dff_poll_t;

/** dff_poll_new() - new poll without VMs; the caller drops it */
dff_poll_t *dff_poll_new(dff_ctx_t *ctx, uv_loop_t *loop, dff_httpc_t *httpc,
    const dff_poll_config_t *config, dff_poll_fn fn, void *arg);

/** dff_poll_drop() - stop polling; NULL is allowed */
void dff_poll_drop(dff_poll_t *poll);

/** dff_poll_watch() - start or stop polling one VM, if it is of this kind */
void dff_poll_watch(dff_poll_t *poll, const dff_fx_engine_watch_t *watch);

/** dff_poll_failed() - number of requests without a valid answer */
uint64_t dff_poll_failed(const dff_poll_t *poll);

#endif
