#include <string.h>

#include "net/address.h"
#include "soak/soak.h"

typedef struct conn connection_t;

/* One end of a proxied connection. */
typedef struct end {
	uv_tcp_t tcp; /* first: handles are cast to endpoint_t */
	connection_t *conn;
	struct end *other;
	bool to_caller; /* data read here is sent to the caller */
	bool open;
	bool lost; /* bytes read here were dropped: nothing may follow them */
} endpoint_t;

struct conn {
	proxy_t *proxy;
	endpoint_t ends[2];
	uv_connect_t connect;
	GList link;
	int closing;
	bool connected;
	int edge; /* that opened it */
};

struct proxy {
	soak_t *soak;
	uv_tcp_t listener;
	struct sockaddr_storage to;
	link_fault_t faults[EDGES];
	GQueue connections;
};

typedef struct write_req {
	uv_write_t write; /* first: uv_write_t is cast to write_req_t */
	char *bytes;
} write_req_t;

static link_fault_t
fault_of(const connection_t *conn)
{
	return conn->proxy->faults[conn->edge];
}

static void
on_closed(uv_handle_t *handle)
{
	connection_t *conn = ((endpoint_t *)handle)->conn;

	if (--conn->closing > 0)
		return;
	g_queue_unlink(&conn->proxy->connections, &conn->link);
	g_free(conn);
}

static void
close_connection(connection_t *conn, bool reset)
{
	for (int i = 0; i < 2; i++) {
		endpoint_t *end = &conn->ends[i];

		if (!end->open)
			continue;
		end->open = false;
		if (!reset || uv_tcp_close_reset(&end->tcp, on_closed) != 0)
			uv_close((uv_handle_t *)&end->tcp, on_closed);
	}
}

static void
on_written(uv_write_t *write, int status)
{
	write_req_t *write_req = (write_req_t *)write;

	(void)status;
	g_free(write_req->bytes);
	g_free(write_req);
}

static void
write_to(endpoint_t *end, const char *bytes, size_t len)
{
	write_req_t *write_req = g_new0(write_req_t, 1);
	uv_buf_t buf;

	write_req->bytes = g_memdup2(bytes, len);
	buf = uv_buf_init(write_req->bytes, (unsigned)len);
	if (uv_write(&write_req->write, (uv_stream_t *)&end->tcp, &buf, 1,
		on_written) != 0)
		on_written(&write_req->write, -1);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	static char bytes[65536];

	(void)handle;
	(void)size;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
	endpoint_t *end = (endpoint_t *)stream;
	link_fault_t fault = fault_of(end->conn);

	end->lost |=
	    fault == LINK_SILENT || (fault == LINK_ONE_WAY && end->to_caller);
	if (got < 0) {
		/* A silent link does not report that the peer has closed. */
		if (!end->lost)
			close_connection(end->conn, got == UV_ECONNRESET);
		else
			(void)uv_read_stop(stream);
		return;
	}
	if (!end->lost && end->other->open)
		write_to(end->other, buf->base, (size_t)got);
}

/* Starts or stops reading. Data sent over a stalled link stays in the socket
 * buffers and is delivered when the stall ends. */
static void
set_reading(connection_t *conn, bool enable)
{
	for (int i = 0; i < 2; i++) {
		uv_stream_t *stream = (uv_stream_t *)&conn->ends[i].tcp;

		if (!conn->ends[i].open || !conn->connected)
			continue;
		if (enable)
			(void)uv_read_start(stream, on_alloc, on_read);
		else
			(void)uv_read_stop(stream);
	}
}

static void
on_connected(uv_connect_t *connect, int status)
{
	connection_t *conn = connect->data;

	if (!conn->ends[0].open)
		return;
	if (status < 0) {
		close_connection(conn, true);
		return;
	}
	conn->connected = true;
	if (fault_of(conn) != LINK_STALLED)
		set_reading(conn, true);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	proxy_t *proxy = listener->data;
	connection_t *conn;
	int owner;

	if (status < 0)
		return;
	conn = g_new0(connection_t, 1);
	conn->proxy = proxy;
	conn->link.data = conn;
	conn->connect.data = conn;
	conn->closing = 2;
	g_queue_push_tail_link(&proxy->connections, &conn->link);
	for (int i = 0; i < 2; i++) {
		endpoint_t *end = &conn->ends[i];

		(void)uv_tcp_init(&proxy->soak->loop, &end->tcp);
		end->conn = conn;
		end->other = &conn->ends[1 - i];
		end->to_caller = i == 1;
		end->open = true;
	}
	if (uv_accept(listener, (uv_stream_t *)&conn->ends[0].tcp) != 0 ||
	    (owner = edges_find_owner(proxy->soak, &conn->ends[0].tcp)) < 0) {
		close_connection(conn, true);
		return;
	}
	conn->edge = owner;
	if (fault_of(conn) == LINK_REFUSED ||
	    uv_tcp_connect(&conn->connect, &conn->ends[1].tcp,
		(const struct sockaddr *)&proxy->to, on_connected) != 0)
		close_connection(conn, true);
}

proxy_t *
proxy_new(soak_t *soak, const char *from, const char *to)
{
	proxy_t *proxy = g_new0(proxy_t, 1);
	struct sockaddr_storage sa;

	proxy->soak = soak;
	proxy->listener.data = proxy;
	g_queue_init(&proxy->connections);
	(void)dff_address_parse(from, &sa);
	(void)dff_address_parse(to, &proxy->to);
	(void)uv_tcp_init(&soak->loop, &proxy->listener);
	if (uv_tcp_bind(&proxy->listener, (struct sockaddr *)&sa, 0) != 0 ||
	    uv_listen((uv_stream_t *)&proxy->listener, 128, on_connection) != 0)
		g_error("proxy cannot listen addr=%s", from);
	return proxy;
}

void
proxy_set(proxy_t *proxy, int edge, link_fault_t fault)
{
	link_fault_t before = proxy->faults[edge];
	GList *next;

	proxy->faults[edge] = fault;
	for (GList *link = proxy->connections.head; link != NULL; link = next) {
		connection_t *conn = link->data;

		next = link->next;
		if (conn->edge != edge)
			continue;
		if (fault == LINK_REFUSED)
			close_connection(conn, true);
		else if (fault == LINK_STALLED || before == LINK_STALLED)
			set_reading(conn, fault != LINK_STALLED);
	}
}
