#include "net/run_parts.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

#include "dragonflyfall/program.h"
#include "net/address.h"

/* Bytes that may wait for a caller that reads slowly. */
#define UNREAD_MAX ((size_t)2 << 20)
/* Limits before a routing states them. */
#define HEAD_MAX  ((size_t)16384)
#define BODY_MAX  ((size_t)4 << 20)
#define IDLE_TIME (15 * DFF_SEC)
/* Time between looks whether a stop is complete. */
#define DRAIN_LOOK_MSEC 50

/* ---- callers ---- */

/* Callers that left in this step are not found. */
static dff_h1d_req_t *
find_req(const dff_run_t *run, uint64_t number)
{
	const run_call_t *call = g_hash_table_lookup(run->calls, &number);

	return call != NULL ? call->req : NULL;
}

static void
end_call(dff_run_t *run, uint64_t number)
{
	(void)g_hash_table_remove(run->calls, &number);
}

/* The request of a call that gets its last answer now. */
static dff_h1d_req_t *
take_call(dff_run_t *run, uint64_t number)
{
	dff_h1d_req_t *req = find_req(run, number);

	end_call(run, number);
	return req;
}

static void
answer_call(dff_run_t *run, const dff_relay_answer_t *answer)
{
	dff_h1d_req_t *req = take_call(run, answer->call);
	char fields[64] = "";

	if (req == NULL)
		return;
	if (answer->retry_after > 0)
		(void)g_snprintf(fields, sizeof(fields),
		    "Retry-After: %.3f\r\n",
		    (double)answer->retry_after / DFF_SEC);
	dff_h1d_answer(req, answer->status, fields, "", 0);
}

static void
pass_head(dff_run_t *run, const dff_relay_forward_t *pass)
{
	dff_h1d_req_t *req = find_req(run, pass->call);
	run_send_t *send = g_hash_table_lookup(run->sends, &pass->send);

	if (req != NULL && send != NULL)
		dff_h1d_begin(
		    req, send->status, send->fields->str, send->length);
}

static void
pass_data(dff_run_t *run, const dff_relay_forward_t *pass)
{
	dff_h1d_req_t *req = find_req(run, pass->call);

	if (req != NULL)
		dff_h1d_write(req, pass->bytes, pass->len);
}

static void
pass_end(dff_run_t *run, uint64_t number)
{
	dff_h1d_req_t *req = take_call(run, number);

	if (req != NULL)
		dff_h1d_end(req);
}

static void
break_call(dff_run_t *run, uint64_t number)
{
	dff_h1d_req_t *req = take_call(run, number);

	if (req != NULL)
		dff_h1d_abort(req);
}

static void
on_request(void *arg, dff_h1d_req_t *req)
{
	dff_run_t *run = arg;
	dff_relay_event_t event = {.type = DFF_RELAY_OPEN};
	char host[DFF_HOST_MAX];
	run_call_t *call;
	int status;

	status = run->wire.decode_request(
	    dff_h1d_head(req), dff_h1d_body(req), &event.open, host);
	if (status != 0) {
		dff_log(run->ctx, DFF_LOG_INFO, "call",
		    "request cannot be understood status=%d target=%.48s",
		    status, dff_h1d_head(req)->target);
		dff_h1d_answer(req, status, "", "", 0);
		return;
	}
	call = g_new0(run_call_t, 1);
	call->number = ++run->next_call;
	call->req = req;
	dff_h1d_set_data(req, call->number);
	g_hash_table_insert(run->calls, &call->number, call);
	event.open.call = call->number;
	dff_run_feed(run, &event);
}

static void
on_caller_gone(void *arg, dff_h1d_req_t *req)
{
	dff_run_t *run = arg;
	dff_relay_event_t event = {.type = DFF_RELAY_CALLER_GONE};

	event.caller_gone = dff_h1d_data(req);
	/* Timers may give the call up in this same step: it must not be
	 * found any more. */
	end_call(run, event.caller_gone);
	dff_run_feed(run, &event);
}

/* ---- health ---- */

static void
on_health(void *arg, dff_h1d_req_t *req)
{
	dff_run_t *run = arg;
	const char *why;
	bool ready = dff_relay_ready(run->relay, dff_program_now(), &why);

	if (ready != run->ready)
		dff_log(run->ctx, DFF_LOG_NOTICE, "health",
		    "readiness changed ready=%d why=%s calls=%zu", ready, why,
		    dff_relay_calls(run->relay));
	run->ready = ready;
	dff_h1d_answer(req, ready ? 200 : 503, "", why, strlen(why));
}

/* ---- peers ---- */

static void
send_frame(dff_run_t *run, const dff_relay_frame_t *frame)
{
	struct sockaddr_storage sa;
	uv_buf_t buf =
	    uv_buf_init((char *)(uintptr_t)frame->bytes, (unsigned)frame->len);

	if (dff_address_parse(frame->addr, &sa) < 0)
		return;
	/* A frame that cannot be sent now is made good by the next one. */
	(void)uv_udp_try_send(&run->udp, &buf, 1, (const struct sockaddr *)&sa);
}

static void
on_udp_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	dff_run_t *run = handle->data;

	(void)size;
	*buf = uv_buf_init(run->frame, sizeof(run->frame));
}

static void
on_frame(uv_udp_t *udp, ssize_t got, const uv_buf_t *buf,
    const struct sockaddr *sa, unsigned flags)
{
	dff_run_t *run = udp->data;
	dff_relay_event_t event = {.type = DFF_RELAY_HEARTBEAT};
	char ip[INET_ADDRSTRLEN];
	char addr[DFF_ADDR_MAX];
	const struct sockaddr_in *in = (const struct sockaddr_in *)sa;

	(void)flags;
	if (got <= 0 || sa == NULL || sa->sa_family != AF_INET)
		return;
	(void)uv_ip4_name(in, ip, sizeof(ip));
	(void)g_snprintf(addr, sizeof(addr), "%s:%d", ip, ntohs(in->sin_port));
	event.heartbeat.addr = addr;
	event.heartbeat.bytes = (const uint8_t *)buf->base;
	event.heartbeat.len = (size_t)got;
	dff_run_feed(run, &event);
}

/* ---- the reducer ---- */

static void
carry_out(dff_run_t *run, const dff_relay_effect_t *fx)
{
	switch (fx->type) {
	case DFF_RELAY_FX_SEND:
		run_queue_send(run, &fx->send);
		break;
	case DFF_RELAY_FX_CANCEL:
		run_cancel_send(run, fx->cancel);
		break;
	case DFF_RELAY_FX_ANSWER:
		answer_call(run, &fx->answer);
		break;
	case DFF_RELAY_FX_FORWARD_HEAD:
		pass_head(run, &fx->forward);
		break;
	case DFF_RELAY_FX_FORWARD_DATA:
		pass_data(run, &fx->forward);
		break;
	case DFF_RELAY_FX_FORWARD_END:
		pass_end(run, fx->forward.call);
		break;
	case DFF_RELAY_FX_ABORT:
		break_call(run, fx->call);
		break;
	case DFF_RELAY_FX_RELEASE:
		run_free_memory(run, &fx->release);
		break;
	case DFF_RELAY_FX_CACHE_QUERY:
		run_list_kept(run, &fx->cache_query);
		break;
	case DFF_RELAY_FX_PROBE:
		run_probe(run, &fx->probe);
		break;
	case DFF_RELAY_FX_STORE_CRASHES:
		if (run->keep != NULL)
			run->keep(run->keep_arg, &fx->crash_report);
		break;
	case DFF_RELAY_FX_CLOSE_IDLE:
		dff_h1c_forget(run->client, fx->upstream);
		break;
	case DFF_RELAY_FX_FRAME:
		send_frame(run, &fx->frame);
		break;
	case DFF_RELAY_FX_FETCH:
		if (run->fetch != NULL)
			run->fetch(run->fetch_arg, &fx->fetch);
		break;
	}
}

static void on_timer(uv_timer_t *timer);

static void
set_timer(dff_run_t *run)
{
	dff_time_t at = dff_relay_wake(run->relay);
	dff_time_t left;

	if (at == DFF_TIME_NEVER)
		return;
	left = dff_program_until(at);
	(void)uv_timer_start(&run->timer, on_timer,
	    (uint64_t)((left + DFF_MSEC - 1) / DFF_MSEC), 0);
}

/* What callers may send follows the routing in force. */
static void
follow_limits(dff_run_t *run)
{
	const dff_routing_t *routing = dff_relay_routing(run->relay);
	dff_h1d_limits_t limits = {.unread_max = UNREAD_MAX};

	if (routing == NULL)
		return;
	limits.head_max = routing->head_max;
	limits.body_max = routing->body_max;
	limits.idle_time = routing->idle_time;
	dff_h1d_set_limits(run->front, &limits);
}

void
dff_run_feed(dff_run_t *run, const dff_relay_event_t *event)
{
	GArray *fx = g_array_new(FALSE, FALSE, sizeof(dff_relay_effect_t));

	dff_relay_step(run->ctx, run->relay, event, dff_program_now(), fx);
	for (guint i = 0; i < fx->len; i++)
		carry_out(run, &g_array_index(fx, dff_relay_effect_t, i));
	g_array_unref(fx);
	if (event->type == DFF_RELAY_ROUTING)
		follow_limits(run);
	set_timer(run);
}

static void
on_timer(uv_timer_t *timer)
{
	run_wake(timer->data);
}

/* ---- the run ---- */

static int
listen_for_peers(dff_run_t *run, const char *text)
{
	struct sockaddr_storage sa;
	int err;

	if (dff_address_parse(text, &sa) < 0)
		return -EINVAL;
	err = uv_udp_bind(&run->udp, (const struct sockaddr *)&sa, 0);
	if (err < 0)
		return err;
	return uv_udp_recv_start(&run->udp, on_udp_alloc, on_frame);
}

static int
listen_all(dff_run_t *run)
{
	static const dff_h1d_handlers_t front = {on_request, on_caller_gone};
	static const dff_h1d_handlers_t health = {.request = on_health};
	const dff_h1d_limits_t limits = {
	    HEAD_MAX, BODY_MAX, UNREAD_MAX, IDLE_TIME};
	int err;

	err = listen_for_peers(run, run->config.peers);
	if (err == 0)
		err = dff_h1d_new(run->ctx, run->loop, run->config.front,
		    &limits, &front, run, &run->front);
	if (err == 0)
		err = dff_h1d_new(run->ctx, run->loop, run->config.health,
		    &limits, &health, run, &run->health);
	return err;
}

int
dff_run_new(dff_ctx_t *ctx, uv_loop_t *loop, const dff_run_config_t *config,
    const dff_wire_t *wire, dff_run_t **out)
{
	dff_run_t *run = g_new0(dff_run_t, 1);
	int err;

	*out = NULL;
	run->ctx = ctx;
	run->loop = loop;
	run->config = *config;
	run->wire = *wire;
	run->relay = dff_relay_new(ctx, &config->relay);
	run->client = dff_h1c_new(ctx, loop);
	run->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	run->sends = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, run_free_send);
	run->udp.data = run;
	run->timer.data = run;
	run->drain.data = run;
	(void)uv_udp_init(loop, &run->udp);
	(void)uv_timer_init(loop, &run->timer);
	(void)uv_timer_init(loop, &run->drain);
	run->handles = 3;
	run_init_outbox(run);
	err = listen_all(run);
	if (err < 0) {
		dff_run_drop(run);
		return err;
	}
	on_timer(&run->timer);
	*out = run;
	return 0;
}

static void
on_handle_closed(uv_handle_t *handle)
{
	dff_run_t *run = handle->data;

	if (--run->handles == 0)
		g_free(run);
}

void
dff_run_drop(dff_run_t *run)
{
	dff_h1d_drop(run->front);
	dff_h1d_drop(run->health);
	dff_h1c_drop(run->client);
	dff_relay_drop(run->relay);
	g_hash_table_unref(run->calls);
	g_hash_table_unref(run->sends);
	g_array_unref(run->outbox);
	uv_close((uv_handle_t *)&run->udp, on_handle_closed);
	uv_close((uv_handle_t *)&run->timer, on_handle_closed);
	uv_close((uv_handle_t *)&run->drain, on_handle_closed);
	uv_close((uv_handle_t *)&run->turn, on_handle_closed);
	uv_close((uv_handle_t *)&run->check, on_handle_closed);
}

void
dff_run_on_fetch(dff_run_t *run,
    void (*fetch)(void *arg, const dff_relay_fetch_t *fetch), void *arg)
{
	run->fetch = fetch;
	run->fetch_arg = arg;
}

void
dff_run_on_keep(dff_run_t *run,
    void (*keep)(void *arg, const dff_crash_report_t *evidence), void *arg)
{
	run->keep = keep;
	run->keep_arg = arg;
}

dff_relay_t *
dff_run_relay(dff_run_t *run)
{
	return run->relay;
}

dff_h1c_t *
dff_run_client(dff_run_t *run)
{
	return run->client;
}

/*
 * Callers keep their connections until the end, since a request may be on
 * its way on any of them.
 */
static void
on_drain(uv_timer_t *timer)
{
	dff_run_t *run = timer->data;
	dff_time_t since = dff_program_now() - run->stop_at;
	size_t calls = dff_relay_calls(run->relay);

	if (since < run->config.drain_max &&
	    (calls > 0 || since < run->config.drain_min))
		return;
	(void)uv_timer_stop(timer);
	dff_log(run->ctx, calls > 0 ? DFF_LOG_WARNING : DFF_LOG_NOTICE,
	    "process", "drained calls_left=%zu after_ms=%" G_GINT64_FORMAT,
	    calls, since / DFF_MSEC);
	run->done(run->done_arg);
}

void
dff_run_stop(dff_run_t *run, void (*done)(void *arg), void *arg)
{
	dff_relay_event_t event = {.type = DFF_RELAY_STOP};

	if (run->stop_at != 0)
		return;
	run->stop_at = dff_program_now();
	run->done = done;
	run->done_arg = arg;
	dff_run_feed(run, &event);
	dff_h1d_leave(run->front);
	(void)uv_timer_start(
	    &run->drain, on_drain, DRAIN_LOOK_MSEC, DRAIN_LOOK_MSEC);
}

void
dff_run_set(dff_run_t *run, const dff_run_config_t *config)
{
	run->config.drain_min = config->drain_min;
	run->config.drain_max = config->drain_max;
	dff_relay_set_config(run->relay, &config->relay);
}
