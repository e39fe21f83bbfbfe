#include "net/relay_host_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

#include "dragonflyfall/program.h"
#include "net/address.h"

/* Bytes buffered for a caller that reads slowly. */
#define UNREAD_MAX ((size_t)2 << 20)
/* Limits until a routing sets them. */
#define HEAD_MAX  ((size_t)16384)
#define BODY_MAX  ((size_t)4 << 20)
#define IDLE_TIME (15 * DFF_SEC)
#define HEAD_TIME (10 * DFF_SEC)
/* Size of the fields that a peer adds to a caller's request. */
#define PEER_FIELDS_MAX ((size_t)512)
/* Bytes held for each class of health checks' bytes, and the part of the kept
 * sockets that they may take. */
#define HEALTH_BYTES   ((size_t)256 << 10)
#define HEALTH_DIVISOR 4
/* Time between checks whether a stop is complete. */
#define DRAIN_POLL_MSEC 50

/* ---- health ---- */

static void
on_health(void *arg, dff_h1d_req_t *req)
{
	dff_relay_host_t *host = arg;
	const char *why;
	bool ready = dff_relay_ready(host->relay, dff_program_now(), &why);

	if (ready != host->ready)
		dff_log(host->ctx, DFF_LOG_NOTICE, "health",
		    "readiness changed ready=%d why=%s calls=%zu", ready, why,
		    dff_relay_calls(host->relay));
	host->ready = ready;
	dff_h1d_answer(req, ready ? 200 : 503, "", why, strlen(why));
}

/* ---- peers ---- */

static void
send_frame(dff_relay_host_t *host, const dff_relay_frame_t *frame)
{
	struct sockaddr_storage sa;
	uv_buf_t buf =
	    uv_buf_init((char *)(uintptr_t)frame->bytes, (unsigned)frame->len);

	if (dff_address_parse(frame->addr, &sa) < 0)
		return;
	/* A frame that cannot be sent now is superseded by the next one. */
	(void)uv_udp_try_send(
	    &host->udp, &buf, 1, (const struct sockaddr *)&sa);
}

static void
on_udp_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	dff_relay_host_t *host = handle->data;

	(void)size;
	*buf = uv_buf_init(host->frame, sizeof(host->frame));
}

static void
on_frame(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
    const struct sockaddr *sa, unsigned flags)
{
	dff_relay_host_t *host = udp->data;
	dff_relay_event_t event = {.type = DFF_RELAY_HEARTBEAT};
	char ip[INET_ADDRSTRLEN];
	char addr[DFF_ADDR_MAX];
	const struct sockaddr_in *in = (const struct sockaddr_in *)sa;

	(void)flags;
	if (len <= 0 || sa == NULL || sa->sa_family != AF_INET)
		return;
	(void)uv_ip4_name(in, ip, sizeof(ip));
	(void)g_snprintf(addr, sizeof(addr), "%s:%d", ip, ntohs(in->sin_port));
	event.heartbeat.addr = addr;
	event.heartbeat.bytes = (const uint8_t *)buf->base;
	event.heartbeat.len = (size_t)len;
	dff_relay_host_feed(host, &event);
}

/* ---- the reducer ---- */

static void
execute_effect(dff_relay_host_t *host, const dff_relay_effect_t *fx)
{
	switch (fx->type) {
	case DFF_RELAY_FX_SEND:
		host_queue_send(host, &fx->send);
		break;
	case DFF_RELAY_FX_CANCEL:
		host_cancel_send(host, fx->cancel);
		break;
	case DFF_RELAY_FX_ANSWER:
		host_answer_call(host, &fx->answer);
		break;
	case DFF_RELAY_FX_FORWARD_HEAD:
		host_forward_head(host, &fx->forward);
		break;
	case DFF_RELAY_FX_FORWARD_DATA:
		host_forward_data(host, &fx->forward);
		break;
	case DFF_RELAY_FX_FORWARD_END:
		host_forward_end(host, fx->forward.call);
		break;
	case DFF_RELAY_FX_ABORT:
		host_abort_call(host, fx->call);
		break;
	case DFF_RELAY_FX_RELEASE:
		host_release_memory(host, &fx->release);
		break;
	case DFF_RELAY_FX_CACHE_QUERY:
		host_query_cache(host, &fx->cache_query);
		break;
	case DFF_RELAY_FX_PROBE:
		host_probe(host, &fx->probe);
		break;
	case DFF_RELAY_FX_IDENTIFY:
		host_identify(host, &fx->identify);
		break;
	case DFF_RELAY_FX_STORE_CRASHES:
		if (host->store_crashes != NULL)
			host->store_crashes(
			    host->store_crashes_arg, &fx->crash_report);
		break;
	case DFF_RELAY_FX_STORE_ORIGINS:
		if (host->origins.store != NULL)
			host->origins.store(host->origins_arg, &fx->origins);
		break;
	case DFF_RELAY_FX_READ_ORIGINS:
		if (host->origins.read != NULL)
			host->origins.read(host->origins_arg);
		break;
	case DFF_RELAY_FX_CLOSE_IDLE:
		dff_h1c_close_idle(host->client, fx->upstream);
		break;
	case DFF_RELAY_FX_FRAME:
		send_frame(host, &fx->frame);
		break;
	case DFF_RELAY_FX_FETCH:
		if (host->fetch != NULL)
			host->fetch(host->fetch_arg, &fx->fetch);
		break;
	case DFF_RELAY_FX_ORDER_UPSTREAMS:
		if (host->order != NULL)
			host->order(host->order_arg, &fx->order);
		break;
	case DFF_RELAY_FX_DUTY_LOG:
		if (host->duties.log != NULL)
			host->duties.log(host->duties_arg, &fx->duty_request);
		break;
	case DFF_RELAY_FX_USAGE:
		if (host->duties.usage != NULL)
			host->duties.usage(host->duties_arg, &fx->usage);
		break;
	}
}

static void on_timer(uv_timer_t *timer);

static void
set_timer(dff_relay_host_t *host)
{
	dff_time_t at = dff_relay_wake(host->relay);
	dff_time_t left;

	if (at == DFF_TIME_NEVER)
		return;
	left = dff_program_time_until(at);
	(void)uv_timer_start(&host->timer, on_timer,
	    (uint64_t)((left + DFF_MSEC - 1) / DFF_MSEC), 0);
}

/* Bounds what is held for callers by the machine; a part of the sockets is
 * kept for health checks. */
static void
apply_machine(dff_relay_host_t *host)
{
	const dff_account_limits_t limits =
	    dff_account_limits(host->config.memory, host->config.sockets);
	dff_account_limits_t health = {
	    .connections =
		dff_account_kept(host->config.sockets) / HEALTH_DIVISOR};

	for (int i = 0; i < DFF_ACCOUNT_CLASSES; i++)
		health.bytes[i] = MIN(limits.bytes[i], HEALTH_BYTES);
	dff_account_set_limits(host->account, &limits);
	dff_account_set_limits(host->health_account, &health);
	/* Each caller's connection needs one to an upstream at most. */
	dff_h1c_set_connections(host->client, limits.connections);
}

static void
set_guards(dff_relay_host_t *host, dff_time_t head_time)
{
	dff_h1d_guard_t guard = {host->account, head_time};

	dff_h1d_set_guard(host->front, &guard);
	dff_h1d_set_guard(host->peer_front, &guard);
	guard.account = host->health_account;
	dff_h1d_set_guard(host->health, &guard);
}

/* Applies the limits of the routing in force to callers' requests. */
static void
apply_limits(dff_relay_host_t *host)
{
	const dff_routing_t *routing = dff_relay_routing(host->relay);
	dff_h1d_limits_t limits = {.unread_max = UNREAD_MAX};

	if (routing == NULL)
		return;
	limits.head_max = routing->head_max;
	limits.body_max = routing->body_max;
	limits.idle_time = routing->idle_time;
	dff_h1d_set_limits(host->front, &limits);
	limits.head_max += PEER_FIELDS_MAX;
	dff_h1d_set_limits(host->peer_front, &limits);
	set_guards(host, routing->head_time);
}

void
dff_relay_host_feed(dff_relay_host_t *host, const dff_relay_event_t *event)
{
	GArray *fx;

	/* A step frees what the effects of the one before may still use. */
	g_assert(!host->stepping);
	host->stepping = true;
	if (event->type == DFF_RELAY_WAKE && host->duties.usage != NULL)
		dff_relay_set_wall(
		    host->relay, dff_program_wall_ms(), dff_program_now());
	fx = g_array_new(FALSE, FALSE, sizeof(dff_relay_effect_t));
	dff_relay_step(host->ctx, host->relay, event, dff_program_now(), fx);
	for (guint i = 0; i < fx->len; i++)
		execute_effect(host, &g_array_index(fx, dff_relay_effect_t, i));
	g_array_unref(fx);
	host->stepping = false;
	if (event->type == DFF_RELAY_ROUTING)
		apply_limits(host);
	set_timer(host);
}

static void
on_timer(uv_timer_t *timer)
{
	host_schedule_wake(timer->data);
}

/* ---- start and stop ---- */

static int
listen_for_peers(dff_relay_host_t *host, const char *text)
{
	struct sockaddr_storage sa;
	int err;

	if (dff_address_parse(text, &sa) < 0)
		return -EINVAL;
	err = uv_udp_bind(&host->udp, (const struct sockaddr *)&sa, 0);
	if (err < 0)
		return err;
	return uv_udp_recv_start(&host->udp, on_udp_alloc, on_frame);
}

static int
listen_all(dff_relay_host_t *host)
{
	static const dff_h1d_handlers_t front = {
	    host_on_request, host_on_caller_gone};
	static const dff_h1d_handlers_t peers = {
	    host_on_peer_request, host_on_caller_gone};
	static const dff_h1d_handlers_t health = {.request = on_health};
	const dff_h1d_limits_t limits = {
	    HEAD_MAX, BODY_MAX, UNREAD_MAX, IDLE_TIME};
	int err;

	err = listen_for_peers(host, host->config.peers);
	if (err == 0)
		err = dff_h1d_new(host->ctx, host->loop, host->config.front,
		    &limits, &front, host, &host->front);
	if (err == 0)
		err = dff_h1d_new(host->ctx, host->loop, host->config.peers,
		    &limits, &peers, host, &host->peer_front);
	if (err == 0)
		err = dff_h1d_new(host->ctx, host->loop, host->config.health,
		    &limits, &health, host, &host->health);
	if (err == 0)
		set_guards(host, HEAD_TIME);
	return err;
}

int
dff_relay_host_new(dff_ctx_t *ctx, uv_loop_t *loop,
    const dff_relay_host_config_t *config, const dff_wire_t *wire,
    dff_relay_host_t **out)
{
	static const dff_account_limits_t no_limits = {{0}, 0};
	dff_relay_host_t *host = g_new0(dff_relay_host_t, 1);
	int err;

	*out = NULL;
	host->ctx = ctx;
	host->loop = loop;
	host->config = *config;
	host->wire = *wire;
	host->relay = dff_relay_new(ctx, &config->relay);
	host->client = dff_h1c_new(ctx, loop);
	host->account = dff_account_new(&no_limits);
	host->health_account = dff_account_new(&no_limits);
	apply_machine(host);
	host->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	host->sends = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, host_free_send);
	host->udp.data = host;
	host->timer.data = host;
	host->drain.data = host;
	(void)uv_udp_init(loop, &host->udp);
	(void)uv_timer_init(loop, &host->timer);
	(void)uv_timer_init(loop, &host->drain);
	host->open_handles = 3;
	host_init_outbox(host);
	err = listen_all(host);
	if (err < 0) {
		dff_relay_host_drop(host);
		return err;
	}
	on_timer(&host->timer);
	*out = host;
	return 0;
}

static void
on_handle_closed(uv_handle_t *handle)
{
	dff_relay_host_t *host = handle->data;

	if (--host->open_handles == 0)
		g_free(host);
}

void
dff_relay_host_drop(dff_relay_host_t *host)
{
	dff_h1d_drop(host->front);
	dff_h1d_drop(host->peer_front);
	dff_h1d_drop(host->health);
	dff_h1c_drop(host->client);
	dff_relay_drop(host->relay);
	g_hash_table_unref(host->calls);
	g_hash_table_unref(host->sends);
	dff_account_drop(host->account);
	dff_account_drop(host->health_account);
	g_array_unref(host->outbox);
	uv_close((uv_handle_t *)&host->udp, on_handle_closed);
	uv_close((uv_handle_t *)&host->timer, on_handle_closed);
	uv_close((uv_handle_t *)&host->drain, on_handle_closed);
	uv_close((uv_handle_t *)&host->no_wait, on_handle_closed);
	uv_close((uv_handle_t *)&host->check, on_handle_closed);
}

void
dff_relay_host_on_fetch(dff_relay_host_t *host,
    void (*fetch)(void *arg, const dff_relay_fetch_t *fetch), void *arg)
{
	host->fetch = fetch;
	host->fetch_arg = arg;
}

void
dff_relay_host_on_order(dff_relay_host_t *host,
    void (*order)(void *arg, const dff_relay_order_t *order), void *arg)
{
	host->order = order;
	host->order_arg = arg;
}

void
dff_relay_host_on_store_crashes(dff_relay_host_t *host,
    void (*store_crashes)(void *arg, const dff_crash_report_t *report),
    void *arg)
{
	host->store_crashes = store_crashes;
	host->store_crashes_arg = arg;
}

void
dff_relay_host_on_origins(
    dff_relay_host_t *host, const dff_relay_host_origins_t *handlers, void *arg)
{
	host->origins = *handlers;
	host->origins_arg = arg;
}

void
dff_relay_host_on_duties(
    dff_relay_host_t *host, const dff_relay_host_duties_t *handlers, void *arg)
{
	host->duties = *handlers;
	host->duties_arg = arg;
}

dff_relay_t *
dff_relay_host_relay(dff_relay_host_t *host)
{
	return host->relay;
}

dff_h1c_t *
dff_relay_host_client(dff_relay_host_t *host)
{
	return host->client;
}

const dff_account_t *
dff_relay_host_account(const dff_relay_host_t *host)
{
	return host->account;
}

/*
 * Callers' connections stay open until the end, since a request may be in
 * transit on any of them.
 */
static void
on_drain(uv_timer_t *timer)
{
	dff_relay_host_t *host = timer->data;
	dff_time_t since = dff_program_now() - host->stopping_since;
	size_t calls = dff_relay_calls(host->relay);

	if (since < host->config.drain_max &&
	    (calls > 0 || since < host->config.drain_min))
		return;
	(void)uv_timer_stop(timer);
	dff_log(host->ctx, calls > 0 ? DFF_LOG_WARNING : DFF_LOG_NOTICE,
	    "process", "drained calls_left=%zu after_ms=%" G_GINT64_FORMAT,
	    calls, since / DFF_MSEC);
	host->done(host->done_arg);
}

void
dff_relay_host_stop(dff_relay_host_t *host, void (*done)(void *arg), void *arg)
{
	dff_relay_event_t event = {.type = DFF_RELAY_STOP};

	if (host->stopping_since != 0)
		return;
	host->stopping_since = dff_program_now();
	host->done = done;
	host->done_arg = arg;
	dff_relay_host_feed(host, &event);
	dff_h1d_drain(host->front);
	dff_h1d_drain(host->peer_front);
	(void)uv_timer_start(
	    &host->drain, on_drain, DRAIN_POLL_MSEC, DRAIN_POLL_MSEC);
}

void
dff_relay_host_set_config(
    dff_relay_host_t *host, const dff_relay_host_config_t *config)
{
	host->config.drain_min = config->drain_min;
	host->config.drain_max = config->drain_max;
	host->config.memory = config->memory;
	host->config.sockets = config->sockets;
	apply_machine(host);
	dff_relay_set_config(host->relay, &config->relay);
}
