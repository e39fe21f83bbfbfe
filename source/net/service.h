/*
 * Adapter to the plain services: tries and load reports.
 */
#ifndef DFF_NET_SERVICE_H
#define DFF_NET_SERVICE_H

#include "net/body.h"
#include "net/fetch.h"
#include "net/sink.h"

/**
 * struct dff_service_config - settings of the adapter
 * @load_every: time between load reports of one service
 * @poll_silence: longest silence of a load report
 * @reply_max: largest reply passed on
 */
typedef struct dff_service_config {
	dff_time_t load_every;
	dff_time_t poll_silence;
	size_t reply_max;
} dff_service_config_t;

/** typedef dff_service_t - tries under way at plain services */
typedef struct dff_service dff_service_t;

/** dff_service_new() - the caller drops it before @httpc */
dff_service_t *dff_service_new(dff_ctx_t *ctx, uv_loop_t *loop,
    dff_httpc_t *httpc, const dff_service_config_t *config,
    const dff_sink_t *sink);

/** dff_service_drop() - cancel all tries; NULL is allowed */
void dff_service_drop(dff_service_t *service);

/** dff_service_start() - send a try; its outcome comes as an event */
void dff_service_start(dff_service_t *service,
    const dff_fx_attempt_start_t *start, const dff_body_t *body);

/** dff_service_cancel() - break a try off; false if it is none of these */
bool dff_service_cancel(dff_service_t *service, uint64_t attempt);

/** dff_service_watch() - begin or end to poll one service */
void dff_service_watch(
    dff_service_t *service, const dff_fx_engine_watch_t *watch);

#endif
