#include "net/h1_conn.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "base/fault.h"
#include "net/address.h"

/* TCP_USER_TIMEOUT: longest time written bytes may stay unacknowledged. */
#define UNACKED_MSEC 2500
/* Part of the keep-alive time announced by a server that is used, in percent:
 * the server measures the time by its own clock and may close earlier. */
#define KEEP_ALIVE_PERCENT 70
/* Stale answers (to earlier requests) allowed before the expected one. */
#define STALE_ANSWERS_MAX 4
/* Largest body of a stale answer in bytes. */
#define STALE_BODY_MAX (1u << 20)

void
h1_free_when_done(dff_h1c_t *h1c)
{
	if (h1c->dropped && h1c->handles == 0)
		g_free(h1c);
}

/* ---- connections ---- */

static void
on_conn_closed(uv_handle_t *handle)
{
	conn_t *conn = (conn_t *)handle;
	dff_h1c_t *h1c = conn->h1c;

	h1_reader_clear(&conn->reader);
	g_free(conn->key);
	g_free(conn);
	h1c->handles--;
	h1_free_when_done(h1c);
}

void
h1_conn_close(conn_t *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	conn->h1c->connections--;
	if (conn->idle)
		g_queue_unlink(&conn->h1c->idle, &conn->link);
	conn->idle = false;
	conn->req = NULL;
	uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

void
h1_conn_set_idle(conn_t *conn)
{
	conn->req = NULL;
	conn->idle = true;
	conn->idle_since = uv_now(conn->h1c->loop);
	conn->stale_answers = 0;
	g_queue_push_tail_link(&conn->h1c->idle, &conn->link);
}

/* ---- ends ---- */

static void
on_req_closed(uv_handle_t *handle)
{
	dff_h1c_req_t *req = handle->data;
	dff_h1c_t *h1c = req->h1c;

	if (req->bytes != NULL)
		g_byte_array_unref(req->bytes);
	g_free(req->echo_name);
	g_free(req->echo_value);
	g_free(req);
	h1c->handles--;
	h1_free_when_done(h1c);
}

void
h1_req_drop(dff_h1c_req_t *req)
{
	g_queue_unlink(&req->h1c->reqs, &req->link);
	req->h1c->end_pending -= req->end_pending;
	uv_close((uv_handle_t *)&req->timer, on_req_closed);
}

static void
on_end(uv_timer_t *timer)
{
	dff_h1c_req_t *req = timer->data;

	req->cancelled = true;
	h1_req_drop(req);
	req->handlers.end(req->arg, req->end);
}

void
h1_req_end(dff_h1c_req_t *req, dff_h1c_end_t end)
{
	req->conn = NULL;
	req->end = end;
	req->h1c->end_pending += !req->end_pending;
	req->end_pending = true;
	(void)uv_timer_start(&req->timer, on_end, 0, 0);
}

void
h1_req_on_timeout(uv_timer_t *timer)
{
	dff_h1c_req_t *req = timer->data;

	h1_conn_fail(req->conn);
}

/* The connection failed; its request, if it has one, ends with it. */
void
h1_conn_fail(conn_t *conn)
{
	dff_h1c_req_t *req = conn->req;

	h1_conn_close(conn);
	if (req != NULL)
		h1_req_end(req, req->sent ? DFF_H1C_BROKEN : DFF_H1C_UNSENT);
}

/* ---- reading ---- */

static conn_t *
conn_of(http_parser *parser)
{
	return parser->data;
}

static bool
is_stray(const dff_h1c_req_t *req, const dff_h1_head_t *head)
{
	const char *echo;

	if (req->echo_name == NULL || DFF_FAULT(H1_STRAY_ANSWERS))
		return false;
	echo = dff_h1_field(head, req->echo_name);
	return echo != NULL && strcmp(echo, req->echo_value) != 0;
}

/* Whether an answer that must name its request does not, on a connection on
 * which it may also be a late one to an earlier request. */
static bool
is_unattributable(const conn_t *conn, const dff_h1_head_t *head)
{
	const dff_h1c_req_t *req = conn->req;

	if (!conn->answered || req->echo_name == NULL ||
	    dff_h1_field(head, req->echo_name) != NULL ||
	    DFF_FAULT(H1_STRAY_ANSWERS))
		return false;
	dff_log(conn->h1c->ctx, DFF_LOG_WARNING, "http",
	    "answer names no request on a used connection peer=\"%s\" "
	    "status=%d",
	    conn->key, head->status);
	return true;
}

/* "timeout=5" of a Keep-Alive field, or 0. */
static uint64_t
stated_keep_ms(const dff_h1_head_t *head)
{
	const char *text = dff_h1_field(head, "keep-alive");

	text = text != NULL ? strcasestr(text, "timeout=") : NULL;
	return text != NULL ? strtoull(text + 8, NULL, 10) * 1000 : 0;
}

static int
on_head(http_parser *parser)
{
	conn_t *conn = conn_of(parser);
	dff_h1_head_t *head = &conn->reader.head;
	dff_h1c_req_t *req = conn->req;
	uint64_t keep = stated_keep_ms(head);

	head->status = parser->status_code;
	conn->body_bytes = 0;
	if (keep > 0)
		conn->keep_alive_ms = keep * KEEP_ALIVE_PERCENT / 100;
	if (parser->status_code < 100 && !DFF_FAULT(H1_NO_STATUS_IS_INTERIM))
		return -1;
	if (parser->status_code < 200)
		return 0;
	if (req == NULL)
		return -1;
	if (is_stray(req, head)) {
		conn->stale = true;
		return 0;
	}
	if (is_unattributable(conn, head))
		return -1;
	if (req->handlers.head != NULL)
		req->handlers.head(req->arg, head);
	return req->head_only ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	conn_t *conn = conn_of(parser);
	dff_h1c_req_t *req = conn->req;
	size_t limit;

	if (req == NULL)
		return 0;
	conn->body_bytes += len;
	limit = conn->stale ? STALE_BODY_MAX : req->body_max;
	if (limit != 0 && conn->body_bytes > limit)
		return -1;
	if (!conn->stale && req->handlers.data != NULL)
		req->handlers.data(req->arg, at, len);
	return 0;
}

static int
on_message(http_parser *parser)
{
	conn_t *conn = conn_of(parser);

	if (!http_should_keep_alive(parser) || parser->upgrade)
		conn->close_after = true;
	conn->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_header_field = h1_reader_name,
    .on_header_value = h1_reader_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_message,
};

/* Whether a part of the request is still held for a server that does not read
 * it. The account of the node counts it only until the request ends. */
static bool
has_unsent(const conn_t *conn)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp) >
	    0 &&
	    !DFF_FAULT(CROWD_KEEPS_UNSENT);
}

/* Handle a complete answer: it ends the request unless it is stale or
 * interim. */
static void
take_answer(conn_t *conn, dff_h1c_end_t end)
{
	dff_h1c_req_t *req = conn->req;
	bool skip = conn->stale || conn->reader.head.status < 200;

	conn->complete = false;
	h1_reader_reset(&conn->reader);
	if (skip) {
		conn->stale = false;
		if (conn->close_after ||
		    ++conn->stale_answers > STALE_ANSWERS_MAX)
			h1_conn_fail(conn);
		return;
	}
	conn->answered = true;
	if (conn->close_after || conn->stale_answers > 0 || has_unsent(conn))
		h1_conn_close(conn);
	else
		h1_conn_set_idle(conn);
	h1_req_end(req, end);
}

static void
parse(conn_t *conn, const char *data, size_t len)
{
	http_parser *parser = &conn->reader.parser;
	size_t used;

	while (len > 0 && !conn->closing) {
		/* Bytes after a complete answer belong to no request. */
		if (conn->req == NULL) {
			h1_conn_close(conn);
			return;
		}
		used = http_parser_execute(parser, &parser_settings, data, len);
		if (conn->closing)
			return;
		if (!conn->complete) {
			if (HTTP_PARSER_ERRNO(parser) != HPE_OK)
				h1_conn_fail(conn);
			return;
		}
		http_parser_pause(parser, 0);
		data += used;
		len -= used;
		take_answer(conn, DFF_H1C_DONE);
	}
}

/*
 * libuv reports a reset directly after data as end of file; only a read from
 * the socket distinguishes the two.
 */
static bool
is_reset(const conn_t *conn)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd) != 0)
		return true;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
}

/* Handle end of file; it ends an answer with neither a length nor chunks. */
static void
take_eof(conn_t *conn)
{
	if (conn->req == NULL) {
		h1_conn_close(conn);
		return;
	}
	if (is_reset(conn) && !DFF_FAULT(H1_RESET_IS_END)) {
		h1_conn_fail(conn);
		return;
	}
	(void)http_parser_execute(
	    &conn->reader.parser, &parser_settings, NULL, 0);
	if (conn->closing)
		return;
	if (!conn->complete) {
		h1_conn_fail(conn);
		return;
	}
	conn->close_after = true;
	take_answer(conn, DFF_H1C_CLOSED);
}

static void
on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
	conn_t *conn = (conn_t *)stream;

	if (!conn->closing && conn->probe != NULL && got != 0)
		h1_probe_read(conn);
	else if (!conn->closing) {
		if (got > 0)
			parse(conn, buf->base, (size_t)got);
		else if (got == UV_EOF)
			take_eof(conn);
		else if (got < 0)
			h1_conn_fail(conn);
	}
	g_free(buf->base);
}

/* ---- writing ---- */

static void
on_written(uv_write_t *super, int status)
{
	write_req_t *write = (write_req_t *)super;
	conn_t *conn = write->conn;

	conn->writes--;
	g_byte_array_unref(write->bytes);
	g_free(write);
	if (status < 0 && !conn->closing && !conn->idle)
		h1_conn_fail(conn);
	else if (status < 0)
		h1_conn_close(conn);
}

void
h1_conn_send(conn_t *conn)
{
	dff_h1c_req_t *req = conn->req;
	write_req_t *write = g_new0(write_req_t, 1);
	uv_buf_t buf;

	(void)uv_timer_stop(&req->timer);
	if (req->answer_ms > 0)
		(void)uv_timer_start(
		    &req->timer, h1_req_on_timeout, req->answer_ms, 0);
	write->conn = conn;
	write->bytes = g_steal_pointer(&req->bytes);
	buf = uv_buf_init((char *)write->bytes->data, write->bytes->len);
	req->sent = true;
	if (uv_write(&write->super, (uv_stream_t *)&conn->tcp, &buf, 1,
		on_written) == 0) {
		conn->writes++;
		return;
	}
	g_byte_array_unref(write->bytes);
	g_free(write);
	h1_conn_fail(conn);
}

int
h1_conn_start_reading(conn_t *conn)
{
	conn->h1c->opened++;
	dff_tcp_set_options(&conn->tcp, UNACKED_MSEC);
	return uv_read_start((uv_stream_t *)&conn->tcp, h1_alloc, on_read);
}

void
h1_conn_connected(uv_connect_t *connect, int status)
{
	conn_t *conn = connect->data;

	if (conn->closing)
		return;
	if (conn->probe != NULL)
		h1_probe_connected(conn, status);
	else if (status < 0 || h1_conn_start_reading(conn) != 0)
		h1_conn_fail(conn);
	else
		h1_conn_send(conn);
}
