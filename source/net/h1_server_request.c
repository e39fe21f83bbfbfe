#include "net/h1_server.h"

#include <string.h>
#include <strings.h>

/* Bytes of further requests that are read while one is being answered. */
#define PIPELINED_MAX 65536
/* Unsent bytes of answers with which a connection's next request waits. */
#define UNSENT_MAX 65536

void
h1d_set_not_ready(conn_t *conn)
{
	if (conn->ready)
		g_queue_unlink(&conn->h1d->ready, &conn->ready_link);
	conn->ready = false;
}

static void
on_parse(uv_idle_t *idle)
{
	dff_h1d_t *h1d = idle->data;

	for (guint i = h1d->ready.length; i-- > 0 && h1d->ready.length > 0;) {
		conn_t *conn = h1d->ready.head->data;

		h1d_set_not_ready(conn);
		h1d_parse(conn);
	}
	if (h1d->ready.length == 0)
		(void)uv_idle_stop(idle);
}

void
h1d_parse_later(conn_t *conn)
{
	dff_h1d_t *h1d = conn->h1d;

	if (conn->ready || h1d->dropped)
		return;
	conn->ready = true;
	g_queue_push_tail_link(&h1d->ready, &conn->ready_link);
	(void)uv_idle_start(&h1d->parse, on_parse);
}

static conn_t *
conn_of(http_parser *parser)
{
	return parser->data;
}

static int
check_head(conn_t *conn)
{
	if (conn->reader.head_bytes <= conn->h1d->limits.head_max)
		return 0;
	conn->error_status = 431;
	return -1;
}

static int
on_name(http_parser *parser, const char *at, size_t len)
{
	(void)h1_reader_name(parser, at, len);
	return check_head(conn_of(parser));
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
	(void)h1_reader_value(parser, at, len);
	return check_head(conn_of(parser));
}

static int
on_head(http_parser *parser)
{
	conn_t *conn = conn_of(parser);
	const char *expect = dff_h1_field(&conn->reader.head, "expect");

	conn->head_done = true;
	conn->reader.head.method =
	    g_strdup(http_method_str((enum http_method)parser->method));
	if (parser->content_length != ULLONG_MAX &&
	    parser->content_length > conn->h1d->limits.body_max) {
		conn->error_status = 413;
		return -1;
	}
	if (expect != NULL && strcasecmp(expect, "100-continue") == 0)
		h1d_send_bytes(
		    conn, g_string_new("HTTP/1.1 100 Continue\r\n\r\n"));
	return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	conn_t *conn = conn_of(parser);

	if (conn->body->len + len > conn->h1d->limits.body_max) {
		conn->error_status = 413;
		return -1;
	}
	g_byte_array_append(conn->body, (const guint8 *)at, (guint)len);
	return 0;
}

static int
on_message(http_parser *parser)
{
	conn_t *conn = conn_of(parser);

	conn->complete = true;
	if (!http_should_keep_alive(parser) || parser->upgrade)
		conn->close_after = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_url = h1_reader_url,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_message,
};

void
h1d_refuse(conn_t *conn, int status)
{
	dff_h1d_req_t *req = g_new0(dff_h1d_req_t, 1);

	req->conn = conn;
	conn->req = req;
	conn->close_after = true;
	dff_h1d_answer(req, status, "", "", 0);
}

static void
reject_request(conn_t *conn)
{
	int status = conn->error_status != 0 ? conn->error_status : 400;

	dff_log(conn->h1d->ctx, DFF_LOG_INFO, "front",
	    "request refused before routing status=%d parser=%s", status,
	    http_errno_name(HTTP_PARSER_ERRNO(&conn->reader.parser)));
	h1d_refuse(conn, status);
}

static void
take_request(conn_t *conn)
{
	dff_h1d_req_t *req = g_new0(dff_h1d_req_t, 1);

	req->conn = conn;
	conn->req = req;
	conn->holder.passed_on = true;
	conn->h1d->handlers.request(conn->h1d->arg, req);
}

void
h1d_parse(conn_t *conn)
{
	http_parser *parser = &conn->reader.parser;
	size_t before = conn->input->len;
	size_t used;

	conn->parsing = true;
	while (!conn->closing && !conn->close_after && conn->req == NULL &&
	    conn->unsent <= UNSENT_MAX && conn->input->len > 0) {
		if (conn->head_since == 0)
			conn->head_since = MAX(uv_now(conn->h1d->loop), 1);
		http_parser_pause(parser, 0);
		used = http_parser_execute(parser, &parser_settings,
		    (const char *)conn->input->data, conn->input->len);
		g_byte_array_remove_range(conn->input, 0, (guint)used);
		if (HTTP_PARSER_ERRNO(parser) == HPE_OK || conn->complete)
			h1d_charge(conn);
		if (conn->closing)
			break;
		if (conn->complete) {
			take_request(conn);
			continue;
		}
		if (HTTP_PARSER_ERRNO(parser) != HPE_OK) {
			reject_request(conn);
			break;
		}
	}
	if (conn->input->len == 0)
		h1_guard_clear(&conn->input, before);
	conn->parsing = false;
}

void
h1d_take_bytes(conn_t *conn, const char *bytes, size_t len)
{
	/* Nothing is read after the last answer. */
	if (conn->close_after && conn->req == NULL)
		return;
	g_byte_array_append(conn->input, (const guint8 *)bytes, (guint)len);
	conn->idle_since = uv_now(conn->h1d->loop);
	h1_guard_active(&conn->h1d->guard, &conn->holder);
	if (conn->req == NULL)
		h1d_parse(conn);
	if (!conn->closing && conn->input->len > PIPELINED_MAX)
		h1d_close_conn(conn);
	h1d_charge(conn);
}

const dff_h1_head_t *
dff_h1d_head(const dff_h1d_req_t *req)
{
	return &req->conn->reader.head;
}

const GByteArray *
dff_h1d_body(const dff_h1d_req_t *req)
{
	return req->conn->body;
}

void
dff_h1d_set_data(dff_h1d_req_t *req, uint64_t data)
{
	req->data = data;
}

uint64_t
dff_h1d_data(const dff_h1d_req_t *req)
{
	return req->data;
}
