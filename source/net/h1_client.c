#include "net/h1_conn.h"

#include <string.h>

#include "net/address.h"

/* Keep-alive time of connections whose server announced none. */
#define KEEP_ALIVE_DEFAULT_MSEC 4000
/* Interval at which expired idle connections are closed. */
#define SWEEP_MSEC 250

static conn_t *
take_idle(dff_h1c_t *h1c, const char *key)
{
	uint64_t now = uv_now(h1c->loop);

	/* Take the most recently used one, so that surplus ones expire. */
	for (GList *link = h1c->idle.tail; link != NULL; link = link->prev) {
		conn_t *conn = link->data;

		if (strcmp(conn->key, key) != 0 || conn->writes > 0 ||
		    now - conn->idle_since >= conn->keep_alive_ms)
			continue;
		g_queue_unlink(&h1c->idle, &conn->link);
		conn->idle = false;
		return conn;
	}
	return NULL;
}

/* Idle connections are reused for one peer at one address. */
static char *
make_key(const dff_h1c_call_t *call)
{
	return g_strdup_printf("%s %s", call->addr, call->peer);
}

static void
make_room(dff_h1c_t *h1c)
{
	if (h1c->connections_max > 0 &&
	    h1c->connections >= h1c->connections_max && h1c->idle.head != NULL)
		h1_conn_close(h1c->idle.head->data);
}

conn_t *
h1_conn_open(
    dff_h1c_t *h1c, const dff_h1c_call_t *call, const struct sockaddr *sa)
{
	conn_t *conn = g_new0(conn_t, 1);

	make_room(h1c);
	h1c->connections++;
	conn->h1c = h1c;
	conn->key = make_key(call);
	conn->link.data = conn;
	conn->connect.data = conn;
	conn->keep_alive_ms = KEEP_ALIVE_DEFAULT_MSEC;
	h1_reader_init(&conn->reader, HTTP_RESPONSE);
	conn->reader.parser.data = conn;
	h1c->handles++;
	(void)uv_tcp_init(h1c->loop, &conn->tcp);
	if (uv_tcp_connect(&conn->connect, &conn->tcp, sa, h1_conn_connected) ==
	    0)
		return conn;
	h1_conn_close(conn);
	return NULL;
}

static dff_h1c_req_t *
new_req(dff_h1c_t *h1c, const dff_h1c_call_t *call,
    const dff_h1c_handlers_t *handlers, void *arg)
{
	dff_h1c_req_t *req = g_new0(dff_h1c_req_t, 1);

	req->h1c = h1c;
	req->link.data = req;
	req->timer.data = req;
	req->handlers = *handlers;
	req->arg = arg;
	req->bytes = call->bytes;
	req->head_only =
	    call->bytes->len > 5 && memcmp(call->bytes->data, "HEAD ", 5) == 0;
	req->echo_name = g_strdup(call->echo_name);
	req->echo_value = g_strdup(call->echo_value);
	req->body_max = call->body_max;
	req->answer_ms = (uint64_t)(call->answer_time / DFF_MSEC);
	h1c->handles++;
	(void)uv_timer_init(h1c->loop, &req->timer);
	g_queue_push_tail_link(&h1c->reqs, &req->link);
	return req;
}

dff_h1c_req_t *
dff_h1c_start(dff_h1c_t *h1c, const dff_h1c_call_t *call,
    const dff_h1c_handlers_t *handlers, void *arg)
{
	struct sockaddr_storage sa;
	dff_h1c_req_t *req;
	char *key;

	if (dff_address_parse(call->addr, &sa) < 0) {
		g_byte_array_unref(call->bytes);
		return NULL;
	}
	if (call->new_connection)
		dff_h1c_close_idle(h1c, call->peer);
	/* The time limits count from now, not from the loop's last turn. */
	uv_update_time(h1c->loop);
	req = new_req(h1c, call, handlers, arg);
	key = make_key(call);
	req->conn = take_idle(h1c, key);
	g_free(key);
	if (req->conn != NULL) {
		req->conn->req = req;
		h1_conn_send(req->conn);
		return req;
	}
	req->conn = h1_conn_open(h1c, call, (const struct sockaddr *)&sa);
	if (req->conn == NULL) {
		h1_req_end(req, DFF_H1C_UNSENT);
		return req;
	}
	req->conn->req = req;
	(void)uv_timer_start(&req->timer, h1_req_on_timeout,
	    (uint64_t)(call->connect_time / DFF_MSEC), 0);
	return req;
}

void
dff_h1c_cancel(dff_h1c_req_t *req)
{
	if (req->cancelled)
		return;
	req->cancelled = true;
	if (req->conn != NULL)
		h1_conn_close(req->conn);
	req->conn = NULL;
	(void)uv_timer_stop(&req->timer);
	h1_req_drop(req);
}

void
dff_h1c_close_idle(dff_h1c_t *h1c, const char *peer)
{
	GList *next;

	for (GList *link = h1c->idle.head; link != NULL; link = next) {
		conn_t *conn = link->data;
		const char *name = strchr(conn->key, ' ');

		next = link->next;
		if (strcmp(name + 1, peer) == 0)
			h1_conn_close(conn);
	}
}

bool
dff_h1c_may_be_whole(dff_h1c_end_t end)
{
	switch (end) {
	case DFF_H1C_DONE:
	case DFF_H1C_CLOSED:
		return true;
	case DFF_H1C_UNSENT:
	case DFF_H1C_BROKEN:
		return false;
	}
	g_assert_not_reached();
}

void
dff_h1c_set_connections(dff_h1c_t *h1c, int max)
{
	h1c->connections_max = max;
}

bool
dff_h1c_ends_delivered(const dff_h1c_t *h1c)
{
	return h1c->end_pending == 0;
}

uint64_t
dff_h1c_connections_opened(const dff_h1c_t *h1c)
{
	return h1c->opened;
}

static void
on_sweep(uv_timer_t *timer)
{
	dff_h1c_t *h1c = timer->data;
	uint64_t now = uv_now(h1c->loop);
	GList *next;

	for (GList *link = h1c->idle.head; link != NULL; link = next) {
		conn_t *conn = link->data;

		next = link->next;
		if (now - conn->idle_since >= conn->keep_alive_ms)
			h1_conn_close(conn);
	}
}

dff_h1c_t *
dff_h1c_new(dff_ctx_t *ctx, uv_loop_t *loop)
{
	dff_h1c_t *h1c = g_new0(dff_h1c_t, 1);

	h1c->ctx = ctx;
	h1c->loop = loop;
	h1c->sweep.data = h1c;
	h1c->handles = 1;
	g_queue_init(&h1c->idle);
	g_queue_init(&h1c->reqs);
	g_queue_init(&h1c->probes);
	(void)uv_timer_init(loop, &h1c->sweep);
	(void)uv_timer_start(&h1c->sweep, on_sweep, SWEEP_MSEC, SWEEP_MSEC);
	uv_unref((uv_handle_t *)&h1c->sweep);
	return h1c;
}

static void
on_sweep_closed(uv_handle_t *handle)
{
	dff_h1c_t *h1c = handle->data;

	h1c->handles--;
	h1_free_when_done(h1c);
}

void
dff_h1c_drop(dff_h1c_t *h1c)
{
	GList *link;

	if (h1c == NULL || h1c->dropped)
		return;
	h1c->dropped = true;
	while ((link = h1c->reqs.head) != NULL)
		dff_h1c_cancel(link->data);
	while ((link = h1c->probes.head) != NULL)
		h1_probe_drop(link->data);
	while ((link = h1c->idle.head) != NULL)
		h1_conn_close(link->data);
	uv_close((uv_handle_t *)&h1c->sweep, on_sweep_closed);
}
