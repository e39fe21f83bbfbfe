/*
 * Adapter to the platform: its append-only log and its VM list.
 */
#ifndef DFF_NET_PLATFORM_H
#define DFF_NET_PLATFORM_H

#include <uv.h>

#include "dragonflyfall/http.h"
#include "net/sink.h"

/**
 * struct dff_platform_config - settings of the adapter
 * @addr: "ip:port" of the platform
 * @vms_interval: time between reads of the VM list
 * @poll_wait: time that a read of a stream waits for a record
 * @idle_timeout: longest time without bytes of an answer, beyond @poll_wait
 */
typedef struct dff_platform_config {
	const char *addr;
	dff_time_t vms_interval;
	dff_time_t poll_wait;
	dff_time_t idle_timeout;
} dff_platform_config_t;

/** typedef dff_platform_t - the client of the platform */
typedef struct dff_platform dff_platform_t;

/** dff_platform_new() - the caller drops it before @httpc */
dff_platform_t *dff_platform_new(dff_ctx_t *ctx, uv_loop_t *loop,
    dff_httpc_t *httpc, const dff_platform_config_t *config,
    const dff_sink_t *sink);

/** dff_platform_drop() - cancel all requests; NULL is allowed */
void dff_platform_drop(dff_platform_t *platform);

/** dff_platform_follow() - read a stream from an offset on, without end; a
 *	second call for a stream replaces the first */
void dff_platform_follow(
    dff_platform_t *platform, const dff_fx_log_follow_t *follow);

/** dff_platform_append() - append a record; its outcome is reported by one
 *	event */
void dff_platform_append(
    dff_platform_t *platform, const dff_fx_log_append_t *append);

#endif
