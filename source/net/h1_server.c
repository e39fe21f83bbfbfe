#include "net/h1_server.h"

#include <errno.h>

#include "net/address.h"

/* Length of the queue of connections not yet accepted. */
#define BACKLOG 1024
/* TCP_USER_TIMEOUT: longest time written bytes may stay unacknowledged; the
 * caller then counts as disconnected. */
#define UNACKED_MSEC 10000
/* Interval at which idle and slow connections are checked. */
#define SWEEP_MSEC 500

static void
free_when_empty(dff_h1d_t *h1d)
{
	if (h1d->dropped && h1d->handles == 0 && h1d->conns.length == 0)
		g_free(h1d);
}

static void
on_conn_closed(uv_handle_t *handle)
{
	conn_t *conn = (conn_t *)handle;
	dff_h1d_t *h1d = conn->h1d;

	g_queue_unlink(&h1d->conns, &conn->link);
	h1_reader_clear(&conn->reader);
	g_byte_array_unref(conn->body);
	g_byte_array_unref(conn->input);
	g_free(conn);
	free_when_empty(h1d);
}

void
h1d_close_conn(conn_t *conn)
{
	dff_h1d_req_t *req = conn->req;

	if (conn->closing)
		return;
	conn->closing = true;
	conn->req = NULL;
	h1d_set_not_ready(conn);
	h1_guard_leave(&conn->h1d->guard, &conn->holder);
	/* An end in order would complete an answer that was broken off. */
	if (!conn->ends_answer ||
	    uv_tcp_close_reset(&conn->tcp, on_conn_closed) != 0)
		uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
	if (req == NULL)
		return;
	if (!conn->h1d->dropped && conn->h1d->handlers.disconnected != NULL)
		conn->h1d->handlers.disconnected(conn->h1d->arg, req);
	g_free(req);
}

static void
on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
	conn_t *conn = (conn_t *)stream;

	if (got > 0 && !conn->closing)
		h1d_take_bytes(conn, buf->base, (size_t)got);
	g_free(buf->base);
	if (got < 0)
		h1d_close_conn(conn);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	dff_h1d_t *h1d = listener->data;
	conn_t *conn;

	if (status < 0) {
		dff_log(h1d->ctx, DFF_LOG_WARNING, "front",
		    "connection cannot be accepted error=%s",
		    uv_strerror(status));
		return;
	}
	conn = g_new0(conn_t, 1);
	conn->h1d = h1d;
	conn->link.data = conn;
	conn->ready_link.data = conn;
	conn->body = g_byte_array_new();
	conn->input = g_byte_array_new();
	conn->idle_since = uv_now(h1d->loop);
	h1_reader_init(&conn->reader, HTTP_REQUEST);
	conn->reader.parser.data = conn;
	(void)uv_tcp_init(h1d->loop, &conn->tcp);
	g_queue_push_tail_link(&h1d->conns, &conn->link);
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) != 0) {
		h1d_close_conn(conn);
		return;
	}
	dff_tcp_set_options(&conn->tcp, UNACKED_MSEC);
	h1d_enter_account(conn);
	if (!conn->closing &&
	    uv_read_start((uv_stream_t *)&conn->tcp, h1_alloc, on_read) != 0)
		h1d_close_conn(conn);
}

static void
on_sweep(uv_timer_t *timer)
{
	dff_h1d_t *h1d = timer->data;
	uint64_t now = uv_now(h1d->loop);
	uint64_t limit = (uint64_t)(h1d->limits.idle_time / DFF_MSEC);
	GList *next;

	for (GList *link = h1d->conns.head; link != NULL; link = next) {
		conn_t *conn = link->data;

		next = link->next;
		if (conn->closing)
			continue;
		if (h1d_reads_too_slowly(conn))
			h1d_close_conn(conn);
		else if (h1d_head_is_late(conn, now))
			h1d_evict(conn, DFF_ACCOUNT_SLOW_HEADS);
		else if (conn->req == NULL && now - conn->idle_since > limit)
			h1d_close_conn(conn);
	}
	h1_guard_log(&h1d->guard, h1d->ctx, now);
}

static void
on_handle_closed(uv_handle_t *handle)
{
	dff_h1d_t *h1d = handle->data;

	h1d->handles--;
	free_when_empty(h1d);
}

int
dff_h1d_new(dff_ctx_t *ctx, uv_loop_t *loop, const char *addr,
    const dff_h1d_limits_t *limits, const dff_h1d_handlers_t *handlers,
    void *arg, dff_h1d_t **out)
{
	struct sockaddr_storage sa;
	dff_h1d_t *h1d;
	int err;

	*out = NULL;
	if (dff_address_parse(addr, &sa) < 0)
		return -EINVAL;
	h1d = g_new0(dff_h1d_t, 1);
	h1d->ctx = ctx;
	h1d->loop = loop;
	h1d->limits = *limits;
	h1d->handlers = *handlers;
	h1d->arg = arg;
	h1d->handles = 4;
	h1d->listener.data = h1d;
	h1d->sweep.data = h1d;
	h1d->parse.data = h1d;
	h1d->shed.data = h1d;
	g_queue_init(&h1d->conns);
	g_queue_init(&h1d->ready);
	(void)uv_tcp_init(loop, &h1d->listener);
	(void)uv_timer_init(loop, &h1d->sweep);
	(void)uv_idle_init(loop, &h1d->parse);
	(void)uv_timer_init(loop, &h1d->shed);
	err = uv_tcp_bind(&h1d->listener, (const struct sockaddr *)&sa, 0);
	if (err == 0)
		err = uv_listen(
		    (uv_stream_t *)&h1d->listener, BACKLOG, on_connection);
	if (err < 0) {
		dff_h1d_drop(h1d);
		return err;
	}
	(void)uv_timer_start(&h1d->sweep, on_sweep, SWEEP_MSEC, SWEEP_MSEC);
	*out = h1d;
	return 0;
}

void
dff_h1d_set_limits(dff_h1d_t *h1d, const dff_h1d_limits_t *limits)
{
	h1d->limits = *limits;
}

void
dff_h1d_set_guard(dff_h1d_t *h1d, const dff_h1d_guard_t *guard)
{
	h1d->guard.account = guard->account;
	h1d->guard.head_ms = (uint64_t)(guard->head_time / DFF_MSEC);
}

void
dff_h1d_drain(dff_h1d_t *h1d)
{
	h1d->draining = true;
}

void
dff_h1d_drop(dff_h1d_t *h1d)
{
	if (h1d == NULL || h1d->dropped)
		return;
	h1d->dropped = true;
	uv_close((uv_handle_t *)&h1d->listener, on_handle_closed);
	uv_close((uv_handle_t *)&h1d->sweep, on_handle_closed);
	uv_close((uv_handle_t *)&h1d->parse, on_handle_closed);
	uv_close((uv_handle_t *)&h1d->shed, on_handle_closed);
	for (GList *link = h1d->conns.head; link != NULL; link = link->next)
		h1d_close_conn(link->data);
}
