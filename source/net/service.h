/*
 * Adapter to the plain services: attempts and load reports.
 */
#ifndef DFF_NET_SERVICE_H
#define DFF_NET_SERVICE_H

#include "net/body.h"
#include "net/fetch.h"
#include "net/sink.h"

/**
 * struct dff_service_config - settings of the adapter
 * @load_interval: time between polls of one service's load
 * @poll_idle_timeout: longest time without bytes from the service during a
 *	poll
 * @reply_max: largest forwarded reply, in bytes
 */
typedef struct dff_service_config {
	dff_time_t load_interval;
	dff_time_t poll_idle_timeout;
	size_t reply_max;
} dff_service_config_t;

/** typedef dff_service_t - the attempts in progress at plain services */
typedef struct dff_service dff_service_t;

/** dff_service_new() - the caller drops it before @httpc */
dff_service_t *dff_service_new(dff_ctx_t *ctx, uv_loop_t *loop,
    dff_httpc_t *httpc, const dff_service_config_t *config,
    const dff_sink_t *sink);

/** dff_service_drop() - cancel all attempts; NULL is allowed */
void dff_service_drop(dff_service_t *service);

/** dff_service_start() - send an attempt; its outcome is reported by an
 *	event */
void dff_service_start(dff_service_t *service,
    const dff_fx_attempt_start_t *start, const dff_body_t *body);

/** dff_service_cancel() - cancel an attempt; false if it is not in progress */
bool dff_service_cancel(dff_service_t *service, uint64_t attempt);

/** dff_service_watch() - start or stop polling one service */
void dff_service_watch(
    dff_service_t *service, const dff_fx_engine_watch_t *watch);

#endif
