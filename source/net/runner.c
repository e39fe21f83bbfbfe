#include "net/runner.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "dragonflyfall/program.h"

#define PART "shell"

/* Added to the node's drain time to bound a graceful stop. */
#define STOP_MARGIN (5 * DFF_SEC)
/* Longest time to send the last bytes after the node has stopped. */
#define FLUSH_TIME (1 * DFF_SEC)
/* Time between checks whether they were sent. */
#define FLUSH_POLL_MSEC 10
/* Longest wake-up timer; a later wake-up is set again when it fires. */
#define WAKE_MAX_MSEC (24 * 3600 * 1000)

typedef struct runner {
	dff_ctx_t *ctx;
	const dff_runner_config_t *config;
	uv_loop_t loop;
	dff_node_t *node;
	dff_effects_t *fx;
	dff_httpc_t *httpc;
	dff_front_t *front;
	dff_engine_t *engine;
	dff_control_t *control;
	dff_reports_t *reports;
	dff_service_t *service;
	dff_platform_t *platform;
	dff_peers_t *peers;
	uv_timer_t wake;
	uv_timer_t stop;
	dff_time_t now; /* of the last step */
	dff_time_t flush_until;
	bool in_step; /* a step or its effects are in progress */
	bool stopped;
	int rc;
} runner_t;

static void feed(void *arg, const dff_event_t *event);

/* ---- effects ---- */

static void
on_wake(uv_timer_t *timer)
{
	const dff_event_t event = {.type = DFF_EV_WAKE};

	feed(timer->data, &event);
}

static void
set_wake(runner_t *runner, dff_time_t at)
{
	dff_time_t delay = dff_program_time_until(at);
	/* Rounded up: a timer that fires early would have to be set again. */
	uint64_t msec = (uint64_t)((delay + DFF_MSEC - 1) / DFF_MSEC);

	if (at == DFF_TIME_NEVER) {
		(void)uv_timer_stop(&runner->wake);
		return;
	}
	uv_update_time(&runner->loop);
	(void)uv_timer_start(
	    &runner->wake, on_wake, MIN(msec, WAKE_MAX_MSEC), 0);
}

/* The front no longer has the call: its caller has disconnected. */
static void
log_unknown_call(runner_t *runner, uint64_t attempt)
{
	dff_log(runner->ctx, DFF_LOG_DEBUG, PART,
	    "attempt of an unknown call is not sent try=%" PRIu64, attempt);
}

static void
start_attempt(runner_t *runner, const dff_fx_attempt_start_t *start)
{
	const dff_body_t *body = dff_front_body(runner->front, start->call);

	if (body == NULL)
		log_unknown_call(runner, start->attempt);
	else if (start->kind == DFF_CALL_MODEL)
		dff_engine_start(runner->engine, start, body);
	else
		dff_service_start(runner->service, start, body);
}

static void
cancel_attempt(runner_t *runner, uint64_t attempt)
{
	if (!dff_engine_cancel(runner->engine, attempt))
		(void)dff_service_cancel(runner->service, attempt);
}

static void
set_health(runner_t *runner, const dff_fx_health_t *health)
{
	dff_log(runner->ctx, DFF_LOG_NOTICE, PART, "health is %s why=\"%s\"",
	    health->ready ? "good" : "bad",
	    health->reason != NULL ? health->reason : "");
	dff_front_set_health(runner->front, health);
}

static void
on_flush_poll(uv_timer_t *timer)
{
	runner_t *runner = timer->data;

	if (dff_program_now() < runner->flush_until &&
	    (dff_front_count_open(runner->front) > 0 ||
		dff_peers_unsent(runner->peers) > 0))
		return;
	uv_stop(&runner->loop);
}

/* The node has stopped: send the last bytes, then end the loop. */
static void
begin_exit(runner_t *runner)
{
	if (runner->stopped)
		return;
	runner->stopped = true;
	runner->flush_until = dff_program_now() + FLUSH_TIME;
	/* Calls that remain have exceeded the drain time. */
	dff_front_abort_calls(runner->front);
	dff_front_stop_accepting(runner->front);
	(void)uv_timer_start(
	    &runner->stop, on_flush_poll, FLUSH_POLL_MSEC, FLUSH_POLL_MSEC);
}

static void
execute_effect(runner_t *runner, const dff_effect_t *effect)
{
	switch (effect->type) {
	case DFF_FX_WAKE_AT:
		set_wake(runner, effect->u.wake_at.at);
		break;
	case DFF_FX_LOG_FOLLOW:
		dff_platform_follow(runner->platform, &effect->u.log_follow);
		break;
	case DFF_FX_LOG_APPEND:
		dff_platform_append(runner->platform, &effect->u.log_append);
		break;
	case DFF_FX_PEER_SEND:
		dff_peers_send(runner->peers, &effect->u.peer_send);
		break;
	case DFF_FX_CALL_BEGIN:
		dff_front_begin(runner->front, &effect->u.call_begin);
		break;
	case DFF_FX_CALL_TOKENS:
		dff_front_tokens(runner->front, &effect->u.call_tokens);
		break;
	case DFF_FX_CALL_END:
		dff_front_end(runner->front, &effect->u.call_end);
		break;
	case DFF_FX_CALL_REPLY:
		dff_front_reply(runner->front, &effect->u.call_reply);
		break;
	case DFF_FX_CALL_REFUSE:
		dff_front_refuse(runner->front, &effect->u.call_refuse);
		break;
	case DFF_FX_ATTEMPT_START:
		start_attempt(runner, &effect->u.attempt_start);
		break;
	case DFF_FX_ATTEMPT_CANCEL:
		cancel_attempt(runner, effect->u.attempt_cancel.attempt);
		break;
	case DFF_FX_ORDER_SEND:
		dff_control_order(runner->control, &effect->u.order_send);
		break;
	case DFF_FX_ENGINE_QUERY:
		dff_control_query(runner->control, &effect->u.engine_query);
		break;
	case DFF_FX_ENGINE_WATCH:
		/* Each polls only its own kind of VM. */
		dff_reports_watch(runner->reports, &effect->u.engine_watch);
		dff_service_watch(runner->service, &effect->u.engine_watch);
		break;
	case DFF_FX_HEALTH:
		set_health(runner, &effect->u.health);
		break;
	case DFF_FX_STOPPED:
		begin_exit(runner);
		break;
	}
}

/* ---- events ---- */

static void
feed(void *arg, const dff_event_t *event)
{
	runner_t *runner = arg;
	int err;

	/* An adapter must not feed an event while it executes an effect. */
	if (runner->in_step)
		g_error("event %d inside a step", (int)event->type);
	if (runner->stopped)
		return;
	runner->in_step = true;
	runner->now = MAX(runner->now, dff_program_now());
	err = dff_node_step(
	    runner->ctx, runner->node, event, runner->now, runner->fx);
	if (err < 0)
		dff_log(runner->ctx, DFF_LOG_WARNING, PART,
		    "event refused type=%d error=%s", (int)event->type,
		    dff_strerror(err));
	for (size_t i = 0; i < dff_effects_count(runner->fx); i++)
		execute_effect(runner, dff_effects_at(runner->fx, i));
	dff_effects_clear(runner->fx);
	runner->in_step = false;
}

/* ---- pages ---- */

static char *
make_status(void *arg)
{
	runner_t *runner = arg;

	return dff_node_status(runner->node, dff_program_now());
}

static void
add_metric(GString *text, const char *name, const char *type, uint64_t value)
{
	g_string_append_printf(
	    text, "# TYPE %s %s\n%s %" PRIu64 "\n", name, type, name, value);
}

static void
add_peer_metrics(GString *text, const runner_t *runner)
{
	dff_peers_counts_t counts;

	dff_peers_counts(runner->peers, &counts);
	add_metric(text, "dff_peer_connects_total", "counter", counts.connects);
	add_metric(text, "dff_peer_accepted_total", "counter", counts.accepted);
	add_metric(text, "dff_peer_bad_total", "counter", counts.bad);
	add_metric(
	    text, "dff_peer_frames_dropped_total", "counter", counts.dropped);
	add_metric(
	    text, "dff_peer_frames_replaced_total", "counter", counts.replaced);
}

static char *
make_metrics(void *arg)
{
	runner_t *runner = arg;
	GString *text = g_string_new(NULL);
	const char *why;
	char name[128];

	for (int i = 0; i < DFF_COUNT_COUNT; i++) {
		dff_counter_t counter = (dff_counter_t)i;

		(void)snprintf(
		    name, sizeof(name), "dff_%s", dff_counter_name(counter));
		add_metric(text, name, "counter",
		    dff_node_counter(runner->node, counter));
	}
	add_peer_metrics(text, runner);
	add_metric(text, "dff_polls_failed_total", "counter",
	    dff_reports_failed(runner->reports));
	add_metric(text, "dff_tries_open", "gauge",
	    dff_engine_open_count(runner->engine));
	add_metric(text, "dff_requests_open", "gauge",
	    dff_front_count_open(runner->front));
	add_metric(text, "dff_ready", "gauge",
	    dff_node_ready(runner->node, &why) ? 1 : 0);
	add_metric(text, "dff_catalogue_revision", "gauge",
	    dff_node_revision(runner->node));
	return g_string_free(text, FALSE);
}

/* ---- start and stop ---- */

static void
on_stop_timeout(uv_timer_t *timer)
{
	runner_t *runner = timer->data;

	dff_log(runner->ctx, DFF_LOG_ERR, PART, "stop took too long open=%zu",
	    dff_front_count_open(runner->front));
	runner->rc = -ETIMEDOUT;
	uv_stop(&runner->loop);
}

static void
on_stop(void *arg)
{
	runner_t *runner = arg;
	const dff_event_t event = {.type = DFF_EV_STOP};
	dff_time_t timeout = runner->config->node.drain_time + STOP_MARGIN;

	dff_log(runner->ctx, DFF_LOG_NOTICE, PART, "stop requested");
	(void)uv_timer_start(
	    &runner->stop, on_stop_timeout, (uint64_t)(timeout / DFF_MSEC), 0);
	feed(runner, &event);
}

static int
open_listeners(runner_t *runner, const dff_sink_t *sink)
{
	const dff_runner_config_t *config = runner->config;
	const dff_front_pages_t pages = {
	    .status = make_status, .metrics = make_metrics, .arg = runner};
	int err;

	err = dff_front_new(runner->ctx, &runner->loop, &config->front, &pages,
	    sink, &runner->front);
	if (err < 0) {
		dff_log(runner->ctx, DFF_LOG_ERR, PART,
		    "cannot listen addr=%s error=%s", config->front.listen,
		    dff_strerror(err));
		return err;
	}
	err = dff_peers_new(
	    runner->ctx, &runner->loop, &config->peers, sink, &runner->peers);
	if (err < 0)
		dff_log(runner->ctx, DFF_LOG_ERR, PART,
		    "cannot listen for peers addr=%s error=%s",
		    config->peers.listen, dff_strerror(err));
	return err;
}

static void
open_adapters(runner_t *runner, const dff_sink_t *sink)
{
	const dff_runner_config_t *config = runner->config;
	dff_ctx_t *ctx = runner->ctx;
	uv_loop_t *loop = &runner->loop;

	runner->httpc = dff_httpc_new(ctx, loop);
	dff_httpc_set_tcp_timeout(
	    runner->httpc, config->node.authority.tcp_timeout);
	runner->engine = dff_engine_new(ctx, runner->httpc, sink);
	runner->control = dff_control_new(runner->httpc, &config->engine, sink);
	runner->reports =
	    dff_reports_new(ctx, loop, runner->httpc, &config->engine, sink);
	runner->service =
	    dff_service_new(ctx, loop, runner->httpc, &config->service, sink);
	runner->platform =
	    dff_platform_new(ctx, loop, runner->httpc, &config->platform, sink);
}

static void
close_all(runner_t *runner)
{
	dff_engine_drop(runner->engine);
	dff_control_drop(runner->control);
	dff_reports_drop(runner->reports);
	dff_service_drop(runner->service);
	dff_platform_drop(runner->platform);
	dff_peers_drop(runner->peers);
	dff_front_drop(runner->front);
	dff_httpc_drop(runner->httpc);
	uv_close((uv_handle_t *)&runner->wake, NULL);
	uv_close((uv_handle_t *)&runner->stop, NULL);
}

static void
close_handle(uv_handle_t *handle, void *arg)
{
	(void)arg;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

/* Runs the pending close callbacks, then closes the remaining handles. */
static void
close_loop(runner_t *runner)
{
	(void)uv_run(&runner->loop, UV_RUN_DEFAULT);
	uv_walk(&runner->loop, close_handle, NULL);
	(void)uv_run(&runner->loop, UV_RUN_DEFAULT);
	if (uv_loop_close(&runner->loop) != 0)
		dff_log(runner->ctx, DFF_LOG_WARNING, PART,
		    "handles are still open at the end");
}

int
dff_runner_run(dff_ctx_t *ctx, const dff_runner_config_t *config)
{
	const dff_event_t start = {.type = DFF_EV_START};
	runner_t runner = {.ctx = ctx, .config = config};
	const dff_sink_t sink = {.feed = feed, .arg = &runner};

	(void)uv_loop_init(&runner.loop);
	runner.wake.data = &runner;
	runner.stop.data = &runner;
	(void)uv_timer_init(&runner.loop, &runner.wake);
	(void)uv_timer_init(&runner.loop, &runner.stop);
	runner.node = dff_node_new(ctx, &config->node);
	runner.fx = dff_effects_new();
	open_adapters(&runner, &sink);
	runner.rc = open_listeners(&runner, &sink);
	if (runner.rc == 0)
		runner.rc = dff_program_on_stop(&runner.loop, on_stop, &runner);
	if (runner.rc == 0) {
		dff_log(ctx, DFF_LOG_NOTICE, PART,
		    "started id=%s domain=%s listen=%s peers=%s",
		    config->node.id, config->node.domain, config->front.listen,
		    config->peers.listen);
		feed(&runner, &start);
		(void)uv_run(&runner.loop, UV_RUN_DEFAULT);
		dff_log(ctx, DFF_LOG_NOTICE, PART, "ended");
	}
	close_all(&runner);
	close_loop(&runner);
	dff_effects_drop(runner.fx);
	dff_node_drop(runner.node);
	return runner.rc;
}

void
dff_runner_defaults(dff_runner_config_t *config)
{
	memset(config, 0, sizeof(*config));
	dff_node_defaults(&config->node);
	dff_peers_defaults(&config->peers);
	config->front.body_max = 8 * 1024 * 1024;
	config->front.unread_max = 1024 * 1024;
	config->front.header_time = 10 * DFF_SEC;
	config->platform.vms_interval = 500 * DFF_MSEC;
	config->platform.poll_wait = 1 * DFF_SEC;
	config->platform.idle_timeout = 2 * DFF_SEC;
	config->engine.load_interval = 200 * DFF_MSEC;
	config->engine.cache_interval = 500 * DFF_MSEC;
	config->engine.poll_idle_timeout = 2 * DFF_SEC;
	config->engine.order_idle_timeout = 5 * DFF_SEC;
	config->service.load_interval = 200 * DFF_MSEC;
	config->service.poll_idle_timeout = 2 * DFF_SEC;
	config->service.reply_max = 8 * 1024 * 1024;
}
