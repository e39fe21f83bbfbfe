#include "net/h1_server.h"

#include "base/fault.h"

typedef struct write_req {
	uv_write_t super; /* first, so that a uv_write_t can be cast */
	conn_t *conn;
	GString *bytes;
} write_req_t;

static void
on_written(uv_write_t *super, int status)
{
	write_req_t *write = (write_req_t *)super;
	conn_t *conn = write->conn;

	conn->unsent -= write->bytes->len;
	(void)g_string_free(write->bytes, TRUE);
	g_free(write);
	if (conn->closing)
		return;
	h1d_note_unsent(conn);
	if (status < 0 ||
	    (conn->close_after && conn->req == NULL && conn->unsent == 0))
		h1d_close_conn(conn);
	else if (conn->req == NULL && !conn->parsing)
		h1d_parse(conn);
}

/* The part that was not sent, without the memory of the part that was. */
static GString *
copy_rest(GString *bytes, size_t sent)
{
	GString *rest =
	    g_string_new_len(bytes->str + sent, (gssize)(bytes->len - sent));

	(void)g_string_free(bytes, TRUE);
	return rest;
}

void
h1d_send_bytes(conn_t *conn, GString *bytes)
{
	uv_buf_t buf = uv_buf_init(bytes->str, (unsigned)bytes->len);
	write_req_t *write;
	int sent = 0;

	if (conn->unsent == 0)
		sent = uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);
	if (sent == (int)bytes->len) {
		(void)g_string_free(bytes, TRUE);
		return;
	}
	if (sent > 0)
		bytes = copy_rest(bytes, (size_t)sent);
	write = g_new0(write_req_t, 1);
	write->conn = conn;
	write->bytes = bytes;
	conn->unsent += bytes->len;
	buf = uv_buf_init(bytes->str, (unsigned)bytes->len);
	if (uv_write(&write->super, (uv_stream_t *)&conn->tcp, &buf, 1,
		on_written) != 0) {
		conn->unsent -= bytes->len;
		(void)g_string_free(bytes, TRUE);
		g_free(write);
		conn->close_after = true;
	}
	h1d_note_unsent(conn);
}

/* Callers of HTTP/1.0 do not know chunks. */
static bool
reads_chunks(const conn_t *conn)
{
	const http_parser *parser = &conn->reader.parser;

	return parser->http_major > 1 || parser->http_minor > 0;
}

void
dff_h1d_begin(
    dff_h1d_req_t *req, int status, const char *fields, int64_t length)
{
	conn_t *conn = req->conn;
	GString *head = g_string_sized_new(512);

	if (conn->h1d->draining)
		conn->close_after = true;
	req->no_body = h1_status_has_no_body(status) ||
	    conn->reader.parser.method == HTTP_HEAD;
	req->chunked = length < 0 && length != DFF_H1D_UNTIL_CLOSE &&
	    !req->no_body && reads_chunks(conn);
	req->has_length =
	    length >= 0 && !req->no_body && !DFF_FAULT(H1_LENGTH_UNCHECKED);
	req->left = req->has_length ? (uint64_t)length : 0;
	conn->ends_answer = length < 0 && !req->no_body && !req->chunked;
	if (conn->ends_answer)
		conn->close_after = true;
	g_string_append_printf(head, "HTTP/1.1 %d %s\r\n%s", status,
	    dff_h1_reason(status), fields);
	if (length >= 0 && !h1_status_has_no_body(status))
		g_string_append_printf(
		    head, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
	else if (req->chunked)
		g_string_append(head, "Transfer-Encoding: chunked\r\n");
	if (conn->close_after)
		g_string_append(head, "Connection: close\r\n");
	g_string_append(head, "\r\n");
	h1d_send_bytes(conn, head);
}

/* Counts bytes against the stated length. Of a body that is longer nothing more
 * is sent, so that the answer does not look complete. */
static bool
fits_length(dff_h1d_req_t *req, size_t len)
{
	if (!req->has_length)
		return true;
	req->mismatched |= len > req->left;
	if (!req->mismatched)
		req->left -= len;
	return !req->mismatched;
}

void
dff_h1d_write(dff_h1d_req_t *req, const void *data, size_t len)
{
	conn_t *conn = req->conn;
	GString *bytes;

	if (len == 0 || req->no_body || !fits_length(req, len))
		return;
	bytes = g_string_sized_new(len + 16);
	if (req->chunked)
		g_string_append_printf(bytes, "%zx\r\n", len);
	g_string_append_len(bytes, data, (gssize)len);
	if (req->chunked)
		g_string_append(bytes, "\r\n");
	h1d_send_bytes(conn, bytes);
}

/* Prepare for the next request; keep no large buffer for it. */
static void
reset_request(conn_t *conn)
{
	h1_reader_reset(&conn->reader);
	h1_guard_clear(&conn->body, conn->body->len);
	conn->complete = false;
	conn->head_done = false;
	conn->head_late = false;
	conn->head_since = 0;
}

/* End a request: close the connection or prepare for the next request. */
static void
finish_req(dff_h1d_req_t *req)
{
	conn_t *conn = req->conn;

	conn->req = NULL;
	conn->holder.passed_on = conn->unsent > 0;
	g_free(req);
	conn->idle_since = uv_now(conn->h1d->loop);
	reset_request(conn);
	h1d_charge(conn);
	if (conn->close_after) {
		if (conn->unsent == 0)
			h1d_close_conn(conn);
		return;
	}
	if (conn->input->len > 0 && !conn->parsing)
		h1d_parse_later(conn);
}

void
dff_h1d_abort(dff_h1d_req_t *req)
{
	conn_t *conn = req->conn;

	conn->req = NULL;
	g_free(req);
	h1d_close_conn(conn);
}

void
dff_h1d_end(dff_h1d_req_t *req)
{
	if (req->mismatched || req->left > 0) {
		dff_log(req->conn->h1d->ctx, DFF_LOG_ERR, "http",
		    "answer does not have its stated length "
		    "missing=%" G_GUINT64_FORMAT " longer=%d",
		    req->left, req->mismatched);
		dff_h1d_abort(req);
		return;
	}
	req->conn->ends_answer = false;
	if (req->chunked)
		h1d_send_bytes(req->conn, g_string_new("0\r\n\r\n"));
	finish_req(req);
}

void
dff_h1d_answer(dff_h1d_req_t *req, int status, const char *fields,
    const void *body, size_t len)
{
	dff_h1d_begin(req, status, fields, (int64_t)len);
	dff_h1d_write(req, body, len);
	dff_h1d_end(req);
}
