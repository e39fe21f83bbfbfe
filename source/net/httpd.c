#include "dragonflyfall/http.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>
#include <h2o.h>

#include "net/address.h"

/* Length of the queue of connections not yet accepted. */
#define BACKLOG 1024
/* Interval at which the sockets of open requests are checked. */
#define SWEEP_MSEC 100
/* TCP_USER_TIMEOUT: longest time written bytes may stay unacknowledged. */
#define UNACKED_MSEC 30000
/* Idle time after which TCP keep-alive probes a connection. */
#define KEEPALIVE_SEC 30
/* h2o versions from this value on are HTTP/2. */
#define HTTP2_VERSION 0x200
/* Status of an answer whose caller has disconnected. */
#define STATUS_ABANDONED 503

/* One accepted connection; h2o closes it. */
typedef struct connection {
	uv_tcp_t tcp; /* first, so that a handle is a connection */
	dff_httpd_t *httpd;
	GList link;
} connection_t;

struct dff_httpd {
	dff_ctx_t *ctx;
	uv_loop_t *loop;
	dff_httpd_handlers_t handlers;
	void *arg;
	size_t unread_max;
	uv_tcp_t listener;
	uv_prepare_t flush; /* sends the bytes written in this loop iteration */
	uv_timer_t sweep; /* detects callers that disconnected */
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	GQueue connections;
	GQueue open; /* requests not yet released by h2o */
	GQueue dirty; /* requests with something to send */
	size_t unanswered;
	bool stopped_accepting;
	bool dropped;
	bool disposed;
};

/* h2o handler with a pointer to its server. */
typedef struct handler {
	h2o_handler_t super; /* first, as h2o requires */
	dff_httpd_t *httpd;
} handler_t;

/*
 * A request exists as long as the h2o request. It ends for its user earlier:
 * at the end of the answer, or when the caller has disconnected.
 */
struct dff_httpd_req {
	h2o_generator_t generator; /* first, as h2o requires */
	h2o_req_t *h2o;
	dff_httpd_t *httpd;
	GList open_link;
	GList dirty_link;
	GPtrArray *texts; /* strings returned to the user */
	char *method;
	char *path;
	GByteArray *waiting; /* written, not yet passed to h2o */
	GByteArray *sending; /* passed to h2o, not yet sent */
	void *data;
	bool begun;
	bool head_sent;
	bool in_flight;
	bool ended;
	bool aborted;
	bool too_slow;
	bool is_dirty;
	bool finished;
};

static void dispose_httpd(dff_httpd_t *httpd);

/* ---- sending ---- */

static void
mark_dirty(dff_httpd_req_t *req)
{
	if (req->is_dirty || req->finished)
		return;
	req->is_dirty = true;
	g_queue_push_tail_link(&req->httpd->dirty, &req->dirty_link);
}

static void
unmark_dirty(dff_httpd_req_t *req)
{
	if (!req->is_dirty)
		return;
	req->is_dirty = false;
	g_queue_unlink(&req->httpd->dirty, &req->dirty_link);
}

static void
set_ended(dff_httpd_req_t *req)
{
	if (req->ended)
		return;
	req->ended = true;
	req->httpd->unanswered--;
}

static const char *
status_reason(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 202:
		return "Accepted";
	case 204:
		return "No Content";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 403:
		return "Forbidden";
	case 404:
		return "Not Found";
	case 405:
		return "Method Not Allowed";
	case 409:
		return "Conflict";
	case 413:
		return "Payload Too Large";
	case 422:
		return "Unprocessable Entity";
	case 429:
		return "Too Many Requests";
	case 500:
		return "Internal Server Error";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Status";
	}
}

static void
begin_answer(dff_httpd_req_t *req, int status, const char *content_type)
{
	h2o_req_t *h2o = req->h2o;
	h2o_iovec_t type;

	req->begun = true;
	h2o->res.status = status;
	h2o->res.reason = status_reason(status);
	if (content_type != NULL && *content_type != '\0') {
		type = h2o_strdup(&h2o->pool, content_type, SIZE_MAX);
		h2o_add_header(&h2o->pool, &h2o->res.headers,
		    H2O_TOKEN_CONTENT_TYPE, NULL, type.base, type.len);
	}
}

static int
request_fd(const dff_httpd_req_t *req)
{
	h2o_conn_t *conn = req->h2o->conn;

	return h2o_socket_get_fd(conn->callbacks->get_socket(conn));
}

/*
 * Make h2o release a request whose caller has disconnected. Over HTTP/2 the
 * connection may carry other requests, so a write in progress is left to
 * end; the bytes that it holds are bounded.
 */
static void
abort_req(dff_httpd_req_t *req)
{
	set_ended(req);
	req->aborted = true;
	g_byte_array_set_size(req->waiting, 0);
	if (!req->begun)
		begin_answer(req, STATUS_ABANDONED, NULL);
	if (req->in_flight && req->h2o->version < HTTP2_VERSION)
		(void)shutdown(request_fd(req), SHUT_RDWR);
	mark_dirty(req);
}

static void
report_disconnect(dff_httpd_req_t *req)
{
	dff_httpd_t *httpd = req->httpd;

	if (req->ended)
		return;
	set_ended(req);
	if (!httpd->dropped && httpd->handlers.disconnected != NULL)
		httpd->handlers.disconnected(httpd->arg, req);
}

static h2o_send_state_t
send_state(const dff_httpd_req_t *req)
{
	if (req->aborted)
		return H2O_SEND_STATE_ERROR;
	return req->ended ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS;
}

/*
 * h2o sends chunks with status 200 only; any other streamed answer would
 * end with the connection, so that a caller could not distinguish a complete
 * answer from a truncated one. Such an answer is held back until its length
 * is known.
 */
static bool
is_held_back(const dff_httpd_req_t *req)
{
	return !req->head_sent && !req->ended && req->h2o->res.status != 200 &&
	    req->waiting->len <= req->httpd->unread_max;
}

/* Pass the waiting bytes to h2o. The request may be freed by this. */
static void
flush_req(dff_httpd_req_t *req)
{
	GByteArray *bytes = req->waiting;
	h2o_send_state_t state;
	h2o_iovec_t vec;

	if (req->too_slow && !req->ended) {
		report_disconnect(req);
		abort_req(req);
		unmark_dirty(req);
	}
	if (!req->begun || req->in_flight || req->finished || is_held_back(req))
		return;
	state = send_state(req);
	if (bytes->len == 0 && req->head_sent &&
	    state == H2O_SEND_STATE_IN_PROGRESS)
		return;
	req->waiting = req->sending;
	req->sending = bytes;
	g_byte_array_set_size(req->waiting, 0);
	if (!req->head_sent && state == H2O_SEND_STATE_FINAL)
		req->h2o->res.content_length = bytes->len;
	if (!req->head_sent)
		h2o_start_response(req->h2o, &req->generator);
	req->head_sent = true;
	req->in_flight = state == H2O_SEND_STATE_IN_PROGRESS;
	req->finished = !req->in_flight;
	vec = h2o_iovec_init(bytes->data, bytes->len);
	h2o_send(req->h2o, &vec, bytes->len > 0 ? 1 : 0, state);
}

static void
on_flush(uv_prepare_t *handle)
{
	dff_httpd_t *httpd = handle->data;
	GList *link;

	while ((link = g_queue_peek_head_link(&httpd->dirty)) != NULL) {
		dff_httpd_req_t *req = link->data;

		unmark_dirty(req);
		flush_req(req);
	}
}

/* h2o has sent the bytes passed to it. */
static void
on_proceed(h2o_generator_t *generator, h2o_req_t *h2o)
{
	dff_httpd_req_t *req = (dff_httpd_req_t *)generator;

	(void)h2o;
	req->in_flight = false;
	if (req->waiting->len > 0 || req->ended)
		mark_dirty(req);
}

/* ---- requests ---- */

/* h2o releases a request, for any reason. */
static void
on_req_dispose(void *shared)
{
	dff_httpd_req_t *req = shared;
	dff_httpd_t *httpd = req->httpd;

	req->finished = true;
	unmark_dirty(req);
	g_queue_unlink(&httpd->open, &req->open_link);
	if (httpd->open.length == 0 && !httpd->disposed)
		(void)uv_timer_stop(&httpd->sweep);
	report_disconnect(req);
	g_byte_array_unref(req->waiting);
	g_byte_array_unref(req->sending);
	g_ptr_array_unref(req->texts);
	g_free(req->method);
	g_free(req->path);
}

/*
 * Over HTTP/1.1 h2o does not read while a request is being answered, so a
 * disconnect is not detected until the next write. The state of the TCP
 * connection shows it, also when there are unread bytes.
 */
static bool
has_hung_up(const dff_httpd_req_t *req)
{
	struct tcp_info info;
	socklen_t len = sizeof(info);
	int fd;

	if (req->h2o->version >= HTTP2_VERSION)
		return false;
	fd = request_fd(req);
	if (fd < 0)
		return false;
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) < 0)
		return false;
	return info.tcpi_state != TCP_ESTABLISHED;
}

static void
on_sweep(uv_timer_t *timer)
{
	dff_httpd_t *httpd = timer->data;
	GList *next;

	for (GList *link = httpd->open.head; link != NULL; link = next) {
		dff_httpd_req_t *req = link->data;

		next = link->next;
		if (req->ended || !has_hung_up(req))
			continue;
		report_disconnect(req);
		abort_req(req);
	}
}

static dff_httpd_req_t *
new_req(dff_httpd_t *httpd, h2o_req_t *h2o)
{
	dff_httpd_req_t *req;

	req = h2o_mem_alloc_shared(&h2o->pool, sizeof(*req), on_req_dispose);
	memset(req, 0, sizeof(*req));
	req->generator.proceed = on_proceed;
	req->h2o = h2o;
	req->httpd = httpd;
	req->open_link.data = req;
	req->dirty_link.data = req;
	req->texts = g_ptr_array_new_with_free_func(g_free);
	req->waiting = g_byte_array_new();
	req->sending = g_byte_array_new();
	req->method = g_strndup(h2o->method.base, h2o->method.len);
	req->path =
	    g_strndup(h2o->path_normalized.base, h2o->path_normalized.len);
	g_queue_push_tail_link(&httpd->open, &req->open_link);
	httpd->unanswered++;
	return req;
}

static int
on_req(h2o_handler_t *handler, h2o_req_t *h2o)
{
	dff_httpd_t *httpd = ((handler_t *)handler)->httpd;
	dff_httpd_req_t *req = new_req(httpd, h2o);

	if (httpd->dropped) {
		abort_req(req);
		return 0;
	}
	if (!uv_is_active((uv_handle_t *)&httpd->sweep))
		(void)uv_timer_start(
		    &httpd->sweep, on_sweep, SWEEP_MSEC, SWEEP_MSEC);
	httpd->handlers.request(httpd->arg, req);
	return 0;
}

const char *
dff_httpd_method(const dff_httpd_req_t *req)
{
	return req->method;
}

const char *
dff_httpd_path(const dff_httpd_req_t *req)
{
	return req->path;
}

/* Keep a string that is returned to the user until the request is freed. */
static const char *
keep_text(dff_httpd_req_t *req, char *text)
{
	if (text != NULL)
		g_ptr_array_add(req->texts, text);
	return text;
}

static const char *
keep_query_value(dff_httpd_req_t *req, const char *pair, size_t name_len)
{
	char *value;

	value = g_uri_unescape_string(
	    pair[name_len] == '=' ? pair + name_len + 1 : "", NULL);
	return keep_text(req, value);
}

const char *
dff_httpd_query(dff_httpd_req_t *req, const char *name)
{
	h2o_req_t *h2o = req->h2o;
	const char *found = NULL;
	size_t len = strlen(name);
	char *query;
	char **pairs;

	if (h2o->query_at == SIZE_MAX)
		return NULL;
	query = g_strndup(h2o->path.base + h2o->query_at + 1,
	    h2o->path.len - h2o->query_at - 1);
	pairs = g_strsplit(query, "&", -1);
	for (size_t i = 0; pairs[i] != NULL && found == NULL; i++) {
		if (strncmp(pairs[i], name, len) != 0)
			continue;
		if (pairs[i][len] == '=' || pairs[i][len] == '\0')
			found = keep_query_value(req, pairs[i], len);
	}
	g_strfreev(pairs);
	g_free(query);
	return found;
}

const char *
dff_httpd_header(dff_httpd_req_t *req, const char *name)
{
	h2o_headers_t *headers = &req->h2o->headers;
	ssize_t i;

	i = h2o_find_header_by_str(headers, name, strlen(name), -1);
	if (i < 0)
		return NULL;
	return keep_text(req,
	    g_strndup(
		headers->entries[i].value.base, headers->entries[i].value.len));
}

const char *
dff_httpd_body(const dff_httpd_req_t *req, size_t *len)
{
	*len = req->h2o->entity.len;
	return req->h2o->entity.base != NULL ? req->h2o->entity.base : "";
}

void
dff_httpd_set_data(dff_httpd_req_t *req, void *data)
{
	req->data = data;
}

void *
dff_httpd_data(const dff_httpd_req_t *req)
{
	return req->data;
}

void
dff_httpd_add_header(dff_httpd_req_t *req, const char *name, const char *value)
{
	h2o_mem_pool_t *pool = &req->h2o->pool;
	h2o_iovec_t key = h2o_strdup(pool, name, SIZE_MAX);
	h2o_iovec_t text = h2o_strdup(pool, value, SIZE_MAX);

	h2o_strtolower(key.base, key.len);
	h2o_add_header_by_str(pool, &req->h2o->res.headers, key.base, key.len,
	    1, NULL, text.base, text.len);
}

void
dff_httpd_answer(dff_httpd_req_t *req, int status, const char *content_type,
    const void *body, size_t len)
{
	if (req->ended)
		return;
	begin_answer(req, status, content_type);
	req->h2o->res.content_length = len;
	if (len > 0)
		g_byte_array_append(req->waiting, body, (guint)len);
	set_ended(req);
	mark_dirty(req);
}

void
dff_httpd_begin(dff_httpd_req_t *req, int status, const char *content_type)
{
	if (req->ended)
		return;
	begin_answer(req, status, content_type);
	mark_dirty(req);
}

void
dff_httpd_write(dff_httpd_req_t *req, const void *data, size_t len)
{
	if (req->ended || req->too_slow || len == 0)
		return;
	/* A caller cannot be slow before h2o has something to send. */
	if (req->in_flight &&
	    req->waiting->len + len > req->httpd->unread_max) {
		g_byte_array_set_size(req->waiting, 0);
		req->too_slow = true;
	} else
		g_byte_array_append(req->waiting, data, (guint)len);
	mark_dirty(req);
}

void
dff_httpd_end(dff_httpd_req_t *req)
{
	if (req->ended)
		return;
	set_ended(req);
	mark_dirty(req);
}

void
dff_httpd_abort(dff_httpd_req_t *req)
{
	if (req->ended)
		return;
	set_ended(req);
	req->aborted = true;
	if (!req->begun)
		begin_answer(req, STATUS_ABANDONED, NULL);
	mark_dirty(req);
}

/* ---- server ---- */

static void
on_connection_closed(uv_handle_t *handle)
{
	connection_t *connection = (connection_t *)handle;
	dff_httpd_t *httpd = connection->httpd;

	g_queue_unlink(&httpd->connections, &connection->link);
	g_free(connection);
	if (httpd->dropped && httpd->connections.length == 0)
		dispose_httpd(httpd);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	dff_httpd_t *httpd = listener->data;
	connection_t *connection;
	h2o_socket_t *sock;

	if (status < 0) {
		dff_log(httpd->ctx, DFF_LOG_WARNING, "http",
		    "connection cannot be accepted error=%s",
		    uv_strerror(status));
		return;
	}
	connection = g_new0(connection_t, 1);
	connection->httpd = httpd;
	connection->link.data = connection;
	(void)uv_tcp_init(httpd->loop, &connection->tcp);
	g_queue_push_tail_link(&httpd->connections, &connection->link);
	if (uv_accept(listener, (uv_stream_t *)&connection->tcp) != 0) {
		uv_close((uv_handle_t *)&connection->tcp, on_connection_closed);
		return;
	}
	dff_tcp_set_options(&connection->tcp, UNACKED_MSEC);
	(void)uv_tcp_keepalive(&connection->tcp, 1, KEEPALIVE_SEC);
	sock = h2o_uv_socket_create(
	    (uv_stream_t *)&connection->tcp, on_connection_closed);
	h2o_accept(&httpd->accept, sock);
}

static int
start_listening(dff_httpd_t *httpd, const char *text)
{
	struct sockaddr_storage addr;
	int err;

	if (dff_address_parse(text, &addr) < 0)
		return -EINVAL;
	err = uv_tcp_bind(&httpd->listener, (const struct sockaddr *)&addr, 0);
	if (err < 0)
		return err;
	return uv_listen(
	    (uv_stream_t *)&httpd->listener, BACKLOG, on_connection);
}

static void
init_h2o(dff_httpd_t *httpd, const dff_httpd_config_t *config)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	handler_t *handler;

	h2o_config_init(&httpd->config);
	httpd->config.server_name = h2o_iovec_init(H2O_STRLIT("dragonflyfall"));
	httpd->config.max_request_entity_size = config->body_max;
	httpd->config.http1.req_timeout =
	    (uint64_t)(config->header_time / DFF_MSEC);
	host = h2o_config_register_host(
	    &httpd->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (handler_t *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_req;
	handler->httpd = httpd;
	h2o_context_init(&httpd->context, httpd->loop, &httpd->config);
	httpd->accept.ctx = &httpd->context;
	httpd->accept.hosts = httpd->config.hosts;
}

int
dff_httpd_new(dff_ctx_t *ctx, uv_loop_t *loop, const dff_httpd_config_t *config,
    const dff_httpd_handlers_t *handlers, void *arg, dff_httpd_t **httpd)
{
	dff_httpd_t *new = g_new0(dff_httpd_t, 1);
	int err;

	new->ctx = ctx;
	new->loop = loop;
	new->handlers = *handlers;
	new->arg = arg;
	new->unread_max = config->unread_max;
	new->listener.data = new;
	new->flush.data = new;
	new->sweep.data = new;
	g_queue_init(&new->connections);
	g_queue_init(&new->open);
	g_queue_init(&new->dirty);
	init_h2o(new, config);
	(void)uv_tcp_init(loop, &new->listener);
	(void)uv_timer_init(loop, &new->sweep);
	(void)uv_prepare_init(loop, &new->flush);
	(void)uv_prepare_start(&new->flush, on_flush);
	uv_unref((uv_handle_t *)&new->sweep);
	uv_unref((uv_handle_t *)&new->flush);
	err = start_listening(new, config->addr);
	if (err < 0) {
		dff_httpd_drop(new);
		new = NULL;
	}
	*httpd = new;
	return err;
}

void
dff_httpd_stop_accepting(dff_httpd_t *httpd)
{
	if (httpd->stopped_accepting)
		return;
	httpd->stopped_accepting = true;
	uv_close((uv_handle_t *)&httpd->listener, NULL);
	h2o_context_request_shutdown(&httpd->context);
}

static void
on_last_close(uv_handle_t *handle)
{
	g_free(handle->data);
}

/* All handles that h2o closed earlier are closed by now. The second close waits
 * one more loop iteration to be sure. */
static void
on_flush_closed(uv_handle_t *handle)
{
	dff_httpd_t *httpd = handle->data;

	uv_close((uv_handle_t *)&httpd->sweep, on_last_close);
}

static void
dispose_httpd(dff_httpd_t *httpd)
{
	if (httpd->disposed)
		return;
	httpd->disposed = true;
	(void)uv_timer_stop(&httpd->sweep);
	/* h2o_context_dispose() requires that no timeout is pending. */
	h2o_timeout_unlink(&httpd->context.http2._graceful_shutdown_timeout);
	h2o_context_dispose(&httpd->context);
	h2o_config_dispose(&httpd->config);
	uv_close((uv_handle_t *)&httpd->flush, on_flush_closed);
}

void
dff_httpd_drop(dff_httpd_t *httpd)
{
	uv_os_fd_t fd;

	if (httpd == NULL || httpd->dropped)
		return;
	dff_httpd_stop_accepting(httpd);
	httpd->dropped = true;
	for (GList *link = httpd->open.head; link != NULL; link = link->next)
		abort_req(link->data);
	for (GList *link = httpd->connections.head; link != NULL;
	     link = link->next) {
		connection_t *connection = link->data;

		if (uv_fileno((uv_handle_t *)&connection->tcp, &fd) == 0)
			(void)shutdown(fd, SHUT_RDWR);
	}
	if (httpd->connections.length == 0)
		dispose_httpd(httpd);
}

size_t
dff_httpd_count_open(const dff_httpd_t *httpd)
{
	return httpd->unanswered;
}
