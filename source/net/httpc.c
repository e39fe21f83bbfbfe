#include "dragonflyfall/http.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include <glib.h>
#include <h2o.h>

#include "net/address.h"

/* Keep-alive time of idle connections; shorter than that of servers. */
#define KEEP_ALIVE_MSEC 2000
/* Time after which the pool of an address without requests is freed. */
#define POOL_IDLE_MSEC 60000
/* Timeout inside h2o, never reached: each request has its own timer. */
#define H2O_IO_MSEC (24 * 3600 * 1000)

/* The connections to one address. */
typedef struct pool {
	h2o_socketpool_t sockets;
	dff_httpc_t *httpc;
	uv_timer_t closer;
	bool closed_once;
	size_t active;
	uint64_t idle_since;
} pool_t;

struct dff_httpc {
	dff_ctx_t *ctx;
	uv_loop_t *loop;
	h2o_http1client_ctx_t h2o;
	h2o_timeout_t io_timeout;
	dff_time_t tcp_timeout;
	GHashTable *pools; /* address to pool_t */
	GQueue reqs;
	size_t live; /* requests and pools not yet freed */
	uv_timer_t closer;
	bool closed_once;
	bool dropped;
};

struct dff_httpc_req {
	dff_httpc_t *httpc;
	h2o_http1client_t *client; /* NULL once h2o is done with it */
	pool_t *pool;
	dff_httpc_handlers_t handlers;
	void *arg;
	GList link;
	uv_timer_t
	    timer; /* idle timeout, then the deferred call of the end handler */
	uint64_t idle_timeout_ms;
	GString *head;
	GByteArray *body;
	h2o_iovec_t bufs[2];
	GPtrArray *headers; /* name, value, name, value, ... */
	bool is_head;
	bool sent;
	bool has_framing; /* the answer has a length or is chunked */
	bool in_handler;
	bool cancelled;
	bool ended;
	dff_httpc_end_t end;
};

static void on_idle_timeout(uv_timer_t *timer);
static void check_all_freed(dff_httpc_t *httpc);

/* ---- pools ---- */

static void
on_pool_closed(uv_handle_t *handle)
{
	pool_t *pool = handle->data;
	dff_httpc_t *httpc = pool->httpc;

	/* h2o closed a timer inside the pool: wait one more loop iteration
	 * for it. */
	if (!pool->closed_once) {
		pool->closed_once = true;
		(void)uv_timer_init(httpc->loop, &pool->closer);
		uv_close(handle, on_pool_closed);
		return;
	}
	g_free(pool);
	httpc->live--;
	check_all_freed(httpc);
}

static void
drop_pool(void *data)
{
	pool_t *pool = data;

	h2o_socketpool_dispose(&pool->sockets);
	uv_close((uv_handle_t *)&pool->closer, on_pool_closed);
}

static gboolean
is_idle_pool(void *key, void *value, void *data)
{
	const pool_t *pool = value;
	uint64_t now = *(uint64_t *)data;

	(void)key;
	return pool->active == 0 && now - pool->idle_since > POOL_IDLE_MSEC;
}

static pool_t *
new_pool(dff_httpc_t *httpc, const char *text)
{
	uint64_t now = uv_now(httpc->loop);
	struct sockaddr_storage addr;
	pool_t *pool;
	int len;

	len = dff_address_parse(text, &addr);
	if (len < 0)
		return NULL;
	(void)g_hash_table_foreach_remove(httpc->pools, is_idle_pool, &now);
	pool = g_new0(pool_t, 1);
	pool->httpc = httpc;
	pool->closer.data = pool;
	(void)uv_timer_init(httpc->loop, &pool->closer);
	h2o_socketpool_init_by_address(&pool->sockets, (struct sockaddr *)&addr,
	    (socklen_t)len, 0, SIZE_MAX);
	h2o_socketpool_set_timeout(
	    &pool->sockets, httpc->loop, KEEP_ALIVE_MSEC);
	httpc->live++;
	g_hash_table_insert(httpc->pools, g_strdup(text), pool);
	return pool;
}

static pool_t *
get_pool(dff_httpc_t *httpc, const char *addr)
{
	pool_t *pool;

	pool = g_hash_table_lookup(httpc->pools, addr);
	return pool != NULL ? pool : new_pool(httpc, addr);
}

/* ---- requests ---- */

static void
on_req_closed(uv_handle_t *handle)
{
	dff_httpc_req_t *req = handle->data;
	dff_httpc_t *httpc = req->httpc;

	(void)g_string_free(req->head, TRUE);
	g_byte_array_unref(req->body);
	g_ptr_array_unref(req->headers);
	g_free(req);
	httpc->live--;
	check_all_freed(httpc);
}

static void
drop_req(dff_httpc_req_t *req)
{
	g_queue_unlink(&req->httpc->reqs, &req->link);
	req->pool->active--;
	req->pool->idle_since = uv_now(req->httpc->loop);
	uv_close((uv_handle_t *)&req->timer, on_req_closed);
}

static void
on_end(uv_timer_t *timer)
{
	dff_httpc_req_t *req = timer->data;

	req->cancelled = true;
	drop_req(req);
	req->handlers.end(req->arg, req, req->end);
}

/* h2o has ended a request: call the end handler from the loop, not from inside
 * h2o. */
static void
finish_req(dff_httpc_req_t *req, dff_httpc_end_t end)
{
	req->client = NULL;
	if (req->cancelled) {
		drop_req(req);
		return;
	}
	req->ended = true;
	req->end = end;
	(void)uv_timer_start(&req->timer, on_end, 0, 0);
}

static void
on_idle_timeout(uv_timer_t *timer)
{
	dff_httpc_req_t *req = timer->data;
	h2o_http1client_t *client = req->client;

	finish_req(
	    req, req->sent ? DFF_HTTPC_TIMEOUT : DFF_HTTPC_CONNECT_FAILED);
	h2o_http1client_cancel(client);
}

static void
restart_idle_timer(dff_httpc_req_t *req)
{
	(void)uv_timer_start(
	    &req->timer, on_idle_timeout, req->idle_timeout_ms, 0);
}

/* Pass received bytes to the handler and remove them from h2o's buffer. */
static void
deliver_data(dff_httpc_req_t *req)
{
	h2o_buffer_t **input;

	if (req->client->sock == NULL)
		return;
	input = &req->client->sock->input;
	if ((*input)->size == 0)
		return;
	if (req->handlers.data != NULL) {
		req->in_handler = true;
		req->handlers.data(
		    req->arg, req, (*input)->bytes, (*input)->size);
		req->in_handler = false;
	}
	h2o_buffer_consume(input, (*input)->size);
}

static int
on_body(h2o_http1client_t *client, const char *errstr)
{
	dff_httpc_req_t *req = client->data;

	if (errstr != NULL && errstr != h2o_http1client_error_is_eos) {
		finish_req(req, DFF_HTTPC_BROKEN);
		return -1;
	}
	deliver_data(req);
	if (errstr != NULL) {
		finish_req(
		    req, req->has_framing ? DFF_HTTPC_DONE : DFF_HTTPC_BROKEN);
		return 0;
	}
	if (req->cancelled) {
		finish_req(req, DFF_HTTPC_BROKEN);
		return -1;
	}
	restart_idle_timer(req);
	return 0;
}

static void
copy_headers(dff_httpc_req_t *req, const h2o_header_t *headers, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		char *name = g_ascii_strdown(
		    headers[i].name->base, (gssize)headers[i].name->len);
		char *value =
		    g_strndup(headers[i].value.base, headers[i].value.len);

		g_ptr_array_add(req->headers, name);
		g_ptr_array_add(req->headers, value);
	}
}

static bool
has_framing(const dff_httpc_req_t *req)
{
	const char *coding = dff_httpc_header(req, "transfer-encoding");

	if (dff_httpc_header(req, "content-length") != NULL)
		return true;
	return coding != NULL && strcasecmp(coding, "chunked") == 0;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *errstr, int minor_version,
    int status, h2o_iovec_t msg, h2o_header_t *headers, size_t count, int rlen)
{
	dff_httpc_req_t *req = client->data;

	(void)minor_version;
	(void)msg;
	(void)rlen;
	if (errstr != NULL && errstr != h2o_http1client_error_is_eos) {
		finish_req(req, DFF_HTTPC_BROKEN);
		return NULL;
	}
	restart_idle_timer(req);
	copy_headers(req, headers, count);
	req->has_framing = has_framing(req);
	if (req->handlers.head != NULL) {
		req->in_handler = true;
		req->handlers.head(req->arg, req, status);
		req->in_handler = false;
	}
	if (errstr != NULL || req->cancelled) {
		finish_req(req, DFF_HTTPC_DONE);
		return NULL;
	}
	return on_body;
}

/*
 * The kernel continues to send the bytes that a paused or killed process left
 * in a socket. This limits for how long.
 */
static void
set_tcp_timeout(const dff_httpc_t *httpc, h2o_socket_t *sock)
{
	unsigned timeout = (unsigned)(httpc->tcp_timeout / DFF_MSEC);
	int fd = h2o_socket_get_fd(sock);

	if (timeout == 0 || fd < 0)
		return;
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *errstr, h2o_iovec_t **bufs,
    size_t *count, int *is_head)
{
	dff_httpc_req_t *req = client->data;

	if (errstr != NULL) {
		finish_req(req, DFF_HTTPC_CONNECT_FAILED);
		return NULL;
	}
	req->sent = true;
	restart_idle_timer(req);
	set_tcp_timeout(req->httpc, client->sock);
	req->bufs[0] = h2o_iovec_init(req->head->str, req->head->len);
	req->bufs[1] = h2o_iovec_init(req->body->data, req->body->len);
	*bufs = req->bufs;
	*count = req->body->len > 0 ? 2 : 1;
	*is_head = req->is_head;
	return on_head;
}

static GString *
make_head(const dff_httpc_call_t *call)
{
	GString *head = g_string_new(NULL);

	g_string_append_printf(head, "%s %s HTTP/1.1\r\nhost: %s\r\n",
	    call->method, call->path, call->addr);
	if (call->content_type != NULL && *call->content_type != '\0')
		g_string_append_printf(
		    head, "content-type: %s\r\n", call->content_type);
	if (call->len > 0 || strcmp(call->method, "GET") != 0)
		g_string_append_printf(
		    head, "content-length: %zu\r\n", call->len);
	if (call->headers != NULL)
		g_string_append(head, call->headers);
	g_string_append(head, "\r\n");
	return head;
}

static dff_httpc_req_t *
new_req(dff_httpc_t *httpc, pool_t *pool, const dff_httpc_call_t *call,
    const dff_httpc_handlers_t *handlers, void *arg)
{
	dff_httpc_req_t *req = g_new0(dff_httpc_req_t, 1);

	req->httpc = httpc;
	req->pool = pool;
	req->handlers = *handlers;
	req->arg = arg;
	req->link.data = req;
	req->timer.data = req;
	req->idle_timeout_ms = (uint64_t)(call->idle_timeout / DFF_MSEC);
	req->head = make_head(call);
	req->body = g_byte_array_new();
	if (call->len > 0)
		g_byte_array_append(req->body, call->body, (guint)call->len);
	req->headers = g_ptr_array_new_with_free_func(g_free);
	req->is_head = strcmp(call->method, "HEAD") == 0;
	(void)uv_timer_init(httpc->loop, &req->timer);
	g_queue_push_tail_link(&httpc->reqs, &req->link);
	pool->active++;
	httpc->live++;
	return req;
}

dff_httpc_req_t *
dff_httpc_start(dff_httpc_t *httpc, const dff_httpc_call_t *call,
    const dff_httpc_handlers_t *handlers, void *arg)
{
	h2o_http1client_t *client = NULL;
	dff_httpc_req_t *req;
	pool_t *pool;

	pool = get_pool(httpc, call->addr);
	if (pool == NULL)
		return NULL;
	req = new_req(httpc, pool, call, handlers, arg);
	restart_idle_timer(req);
	h2o_http1client_connect_with_pool(
	    &client, req, &httpc->h2o, &pool->sockets, on_connect);
	/* If connecting failed at once, the request has already ended. */
	if (!req->ended)
		req->client = client;
	return req;
}

void
dff_httpc_cancel(dff_httpc_req_t *req)
{
	if (req->cancelled)
		return;
	req->cancelled = true;
	/* h2o must not be called from inside its own callback; the callback
	 * ends the request on return. */
	if (req->in_handler)
		return;
	if (req->client != NULL)
		h2o_http1client_cancel(req->client);
	req->client = NULL;
	drop_req(req);
}

const char *
dff_httpc_header(const dff_httpc_req_t *req, const char *name)
{
	for (guint i = 0; i + 1 < req->headers->len; i += 2) {
		if (strcmp(g_ptr_array_index(req->headers, i), name) == 0)
			return g_ptr_array_index(req->headers, i + 1);
	}
	return NULL;
}

/* ---- client ---- */

dff_httpc_t *
dff_httpc_new(dff_ctx_t *ctx, uv_loop_t *loop)
{
	dff_httpc_t *httpc = g_new0(dff_httpc_t, 1);

	httpc->ctx = ctx;
	httpc->loop = loop;
	httpc->closer.data = httpc;
	g_queue_init(&httpc->reqs);
	httpc->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, drop_pool);
	h2o_timeout_init(loop, &httpc->io_timeout, H2O_IO_MSEC);
	httpc->h2o.loop = loop;
	httpc->h2o.io_timeout = &httpc->io_timeout;
	(void)uv_timer_init(loop, &httpc->closer);
	return httpc;
}

void
dff_httpc_set_tcp_timeout(dff_httpc_t *httpc, dff_time_t timeout)
{
	httpc->tcp_timeout = timeout;
}

static void
on_httpc_closed(uv_handle_t *handle)
{
	dff_httpc_t *httpc = handle->data;

	if (httpc->closed_once) {
		g_free(httpc);
		return;
	}
	httpc->closed_once = true;
	(void)uv_timer_init(httpc->loop, &httpc->closer);
	uv_close(handle, on_httpc_closed);
}

static void
check_all_freed(dff_httpc_t *httpc)
{
	if (!httpc->dropped || httpc->live > 0)
		return;
	h2o_timeout_dispose(httpc->loop, &httpc->io_timeout);
	uv_close((uv_handle_t *)&httpc->closer, on_httpc_closed);
}

void
dff_httpc_drop(dff_httpc_t *httpc)
{
	GList *link;

	if (httpc == NULL || httpc->dropped)
		return;
	while ((link = httpc->reqs.head) != NULL)
		dff_httpc_cancel(link->data);
	httpc->dropped = true;
	g_hash_table_unref(httpc->pools);
	check_all_freed(httpc);
}
