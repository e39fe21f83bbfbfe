/*
 * Asks the watched upstreams of one kind the same question again and again, one
 * question at a time to each.
 */
#ifndef DFF_NET_POLL_H
#define DFF_NET_POLL_H

#include <jansson.h>

#include "dragonflyfall/event.h"
#include "net/fetch.h"

/**
 * struct dff_poll_config - what is asked
 * @kind: kind of VM that is asked
 * @path: path and query of the question
 * @numbered: a number is added to @path, see dff_poll_fn
 * @every: time between questions to one VM
 * @silence: longest silence of an answer
 */
typedef struct dff_poll_config {
	dff_vm_kind_t kind;
	const char *path;
	bool numbered;
	dff_time_t every;
	dff_time_t silence;
} dff_poll_config_t;

/**
 * typedef dff_poll_fn - takes one answer
 * @arg: what dff_poll_new() was given
 * @vm: VM id
 * @asked: moment at which the question was sent
 * @body: the answer, an object
 * @number: of a numbered poll, the number asked with; to be set to the one
 *	to ask with next
 */
typedef void (*dff_poll_fn)(void *arg, const char *vm, dff_time_t asked,
    const json_t *body, uint64_t *number);

/** typedef dff_poll_t - a poll of all VMs of one kind */
typedef struct dff_poll dff_poll_t;

/** dff_poll_new() - a poll without VMs; the caller drops it */
dff_poll_t *dff_poll_new(dff_ctx_t *ctx, uv_loop_t *loop, dff_httpc_t *httpc,
    const dff_poll_config_t *config, dff_poll_fn fn, void *arg);

/** dff_poll_drop() - stop asking; NULL is allowed */
void dff_poll_drop(dff_poll_t *poll);

/** dff_poll_watch() - begin or end to ask one VM, if it is of this kind */
void dff_poll_watch(dff_poll_t *poll, const dff_fx_engine_watch_t *watch);

/** dff_poll_failed() - questions without a sound answer so far */
uint64_t dff_poll_failed(const dff_poll_t *poll);

#endif
