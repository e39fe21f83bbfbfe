/*
 * Adapter to the model engines: tries, orders, questions, load reports and
 * cache events. Only the engine_*.c files know the engines' protocol.
 */
#ifndef DFF_NET_ENGINE_H
#define DFF_NET_ENGINE_H

#include "net/body.h"
#include "net/fetch.h"
#include "net/sink.h"

/**
 * struct dff_engine_config - settings of the adapter
 * @load_every: time between load reports of one engine
 * @cache_every: time between questions for cache events; 0 for none
 * @poll_silence: longest silence of a load report or cache events
 * @order_silence: longest silence after an order or a question
 */
typedef struct dff_engine_config {
	dff_time_t load_every;
	dff_time_t cache_every;
	dff_time_t poll_silence;
	dff_time_t order_silence;
} dff_engine_config_t;

/* ---- tries: engine.c ---- */

/** typedef dff_engine_t - the tries under way at engines */
typedef struct dff_engine dff_engine_t;

/** dff_engine_new() - the caller drops it before @httpc */
dff_engine_t *dff_engine_new(
    dff_ctx_t *ctx, dff_httpc_t *httpc, const dff_sink_t *sink);

/** dff_engine_drop() - cancel all tries; NULL is allowed */
void dff_engine_drop(dff_engine_t *engine);

/** dff_engine_start() - send a try; its outcome comes as events */
void dff_engine_start(dff_engine_t *engine, const dff_fx_attempt_start_t *start,
    const dff_body_t *body);

/** dff_engine_cancel() - break a try off; false if it is none of these */
bool dff_engine_cancel(dff_engine_t *engine, uint64_t attempt);

/** dff_engine_open() - tries under way */
size_t dff_engine_open(const dff_engine_t *engine);

/* ---- orders and questions: engine_control.c ---- */

/** typedef dff_control_t - orders and questions under way */
typedef struct dff_control dff_control_t;

/** dff_control_new() - the caller drops it before @httpc */
dff_control_t *dff_control_new(dff_httpc_t *httpc,
    const dff_engine_config_t *config, const dff_sink_t *sink);

/** dff_control_drop() - break all off; NULL is allowed */
void dff_control_drop(dff_control_t *control);

/** dff_control_order() - send an order */
void dff_control_order(
    dff_control_t *control, const dff_fx_order_send_t *order);

/** dff_control_ask() - ask an engine for its state */
void dff_control_ask(dff_control_t *control, const dff_fx_engine_query_t *ask);

/* ---- load reports and cache events: engine_report.c ---- */

/** typedef dff_reports_t - the polling of the engines watched */
typedef struct dff_reports dff_reports_t;

/** dff_reports_new() - the caller drops it before @httpc */
dff_reports_t *dff_reports_new(dff_ctx_t *ctx, uv_loop_t *loop,
    dff_httpc_t *httpc, const dff_engine_config_t *config,
    const dff_sink_t *sink);

/** dff_reports_drop() - stop polling; NULL is allowed */
void dff_reports_drop(dff_reports_t *reports);

/** dff_reports_watch() - begin or end to poll one engine */
void dff_reports_watch(
    dff_reports_t *reports, const dff_fx_engine_watch_t *watch);

/** dff_reports_failed() - questions without a sound answer so far */
uint64_t dff_reports_failed(const dff_reports_t *reports);

#endif
