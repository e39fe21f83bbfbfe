/*
 * Adapter to the engines: attempts, orders, state queries, load reports and
 * cache events. Only engine*.c implement the engines' protocol.
 */
#ifndef DFF_NET_ENGINE_H
#define DFF_NET_ENGINE_H

#include "net/body.h"
#include "net/fetch.h"
#include "net/sink.h"

/**
 * struct dff_engine_config - settings of the adapter
 * @load_interval: time between polls of one engine's load
 * @cache_interval: time between polls of one engine's cache events; 0 to
 *	poll none
 * @poll_idle_timeout: longest time without bytes from the engine during a
 *	poll
 * @order_idle_timeout: longest time without bytes from the engine after an
 *	order or a state query
 */
typedef struct dff_engine_config {
	dff_time_t load_interval;
	dff_time_t cache_interval;
	dff_time_t poll_idle_timeout;
	dff_time_t order_idle_timeout;
} dff_engine_config_t;

/* ---- attempts: engine.c ---- */

/** typedef dff_engine_t - the attempts in progress at engines */
typedef struct dff_engine dff_engine_t;

/** dff_engine_new() - the caller drops it before @httpc */
dff_engine_t *dff_engine_new(
    dff_ctx_t *ctx, dff_httpc_t *httpc, const dff_sink_t *sink);

/** dff_engine_drop() - cancel all attempts; NULL is allowed */
void dff_engine_drop(dff_engine_t *engine);

/** dff_engine_start() - send an attempt; its outcome is reported by events */
void dff_engine_start(dff_engine_t *engine, const dff_fx_attempt_start_t *start,
    const dff_body_t *body);

/** dff_engine_cancel() - cancel an attempt; false if it is not in progress */
bool dff_engine_cancel(dff_engine_t *engine, uint64_t attempt);

/** dff_engine_open_count() - number of attempts in progress */
size_t dff_engine_open_count(const dff_engine_t *engine);

/* ---- orders and state queries: engine_control.c ---- */

/** typedef dff_control_t - orders and state queries in progress */
typedef struct dff_control dff_control_t;

/** dff_control_new() - the caller drops it before @httpc */
dff_control_t *dff_control_new(dff_httpc_t *httpc,
    const dff_engine_config_t *config, const dff_sink_t *sink);

/** dff_control_drop() - cancel all; NULL is allowed */
void dff_control_drop(dff_control_t *control);

/** dff_control_order() - send an order; its answer is an event */
void dff_control_order(
    dff_control_t *control, const dff_fx_order_send_t *order);

/** dff_control_query() - query an engine's state; its answer is an event */
void dff_control_query(
    dff_control_t *control, const dff_fx_engine_query_t *query);

/* ---- load reports and cache events: engine_report.c ---- */

/** typedef dff_reports_t - polls of the watched engines */
typedef struct dff_reports dff_reports_t;

/** dff_reports_new() - the caller drops it before @httpc */
dff_reports_t *dff_reports_new(dff_ctx_t *ctx, uv_loop_t *loop,
    dff_httpc_t *httpc, const dff_engine_config_t *config,
    const dff_sink_t *sink);

/** dff_reports_drop() - stop polling; NULL is allowed */
void dff_reports_drop(dff_reports_t *reports);

/** dff_reports_watch() - start or stop polling one engine */
void dff_reports_watch(
    dff_reports_t *reports, const dff_fx_engine_watch_t *watch);

/** dff_reports_failed() - number of polls without a valid answer */
uint64_t dff_reports_failed(const dff_reports_t *reports);

#endif
