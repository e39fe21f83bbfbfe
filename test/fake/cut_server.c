#include "cut_server.h"

#include <check.h>
#include <string.h>

const char *const cut_heads[] = {
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nX-Id: 7\r\n\r\n",
    "HTTP/1.0 200 OK\r\nConnection: close\r\nX-Id: 7\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 200 OK\nX-Id: 7\n\n",
};
const int cut_heads_count = sizeof(cut_heads) / sizeof(cut_heads[0]);

static void
allocate(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	static char bytes[4096];

	(void)handle;
	(void)size;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
	cut_server_t *server = stream->data;
	uv_buf_t answer = uv_buf_init(
	    (char *)(uintptr_t)server->answer, (unsigned)server->len);

	(void)buf;
	(void)uv_read_stop(stream);
	if (got > 0 && server->len > 0)
		ck_assert_int_eq(
		    uv_try_write(stream, &answer, 1), (int)server->len);
	if (server->resets)
		(void)uv_tcp_close_reset((uv_tcp_t *)stream, NULL);
	else
		uv_close((uv_handle_t *)stream, NULL);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	cut_server_t *server = listener->data;

	ck_assert_int_eq(status, 0);
	(void)uv_tcp_init(listener->loop, &server->conn);
	server->conn.data = server;
	ck_assert_int_eq(uv_accept(listener, (uv_stream_t *)&server->conn), 0);
	(void)uv_read_start((uv_stream_t *)&server->conn, allocate, on_read);
}

void
cut_server_start(cut_server_t *server, uv_loop_t *loop, int port)
{
	struct sockaddr_in sa;

	memset(server, 0, sizeof(*server));
	(void)uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	(void)uv_ip4_addr("127.0.0.1", port, &sa);
	ck_assert_int_eq(
	    uv_tcp_bind(&server->listener, (struct sockaddr *)&sa, 0), 0);
	ck_assert_int_eq(
	    uv_listen((uv_stream_t *)&server->listener, 8, on_connection), 0);
}

void
cut_server_stop(cut_server_t *server)
{
	uv_close((uv_handle_t *)&server->listener, NULL);
}
