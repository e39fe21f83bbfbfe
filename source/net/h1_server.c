#include <errno.h>
#include <string.h>
#include <strings.h>

#include "base/fault.h"
#include "net/address.h"
#include "net/h1_guard.h"

/* Length of the queue of connections not yet accepted. */
#define BACKLOG 1024
/* TCP_USER_TIMEOUT: longest time written bytes may stay unacknowledged; the
 * caller then counts as disconnected. */
#define UNACKED_MSEC 10000
/* Bytes of further requests that are read while one is being answered. */
#define PIPELINED_MAX 65536
/* Unsent bytes of answers with which a connection's next request waits. */
#define UNSENT_MAX 65536
/* Interval at which idle and slow connections are checked. */
#define SWEEP_MSEC 500

typedef struct conn {
	uv_tcp_t tcp; /* first, so that a handle is a connection */
	dff_h1d_t *h1d;
	GList link;
	GList ready_link;
	h1_reader_t reader;
	GByteArray *body;
	GByteArray *input; /* read, not yet parsed */
	dff_h1d_req_t *req; /* request being answered */
	dff_holder_t holder; /* its part of the account */
	uint64_t head_since; /* first byte of the request; 0 before it */
	uint64_t idle_since;
	size_t unsent; /* bytes written that are not yet sent */
	int error_status; /* error status for a request over a limit, or 0 */
	bool head_done;
	bool head_late; /* its head was late at the last sweep */
	bool complete; /* the parser has read a complete request */
	bool parsing;
	bool ready; /* in the server's queue @ready */
	bool close_after; /* close after this answer */
	bool ends_answer; /* its end is that of the answer in progress */
	bool closing;
} conn_t;

struct dff_h1d {
	dff_ctx_t *ctx;
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_timer_t sweep;
	uv_idle_t parse; /* active while @ready is not empty */
	uv_timer_t shed; /* due when slow readers have to be closed */
	dff_h1d_limits_t limits;
	h1_guard_t guard;
	dff_h1d_handlers_t handlers;
	void *arg;
	GQueue conns;
	GQueue ready; /* connections with input after a finished request */
	int handles;
	bool draining;
	bool dropped;
};

struct dff_h1d_req {
	conn_t *conn;
	uint64_t data;
	bool chunked;
	bool no_body; /* the answer has no body */
};

typedef struct write_req {
	uv_write_t super; /* first, so that a uv_write_t can be cast */
	conn_t *conn;
	GString *bytes;
} write_req_t;

static void parse_input(conn_t *conn);
static void charge(conn_t *conn);

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

static void
set_not_ready(conn_t *conn)
{
	if (conn->ready)
		g_queue_unlink(&conn->h1d->ready, &conn->ready_link);
	conn->ready = false;
}

static void
close_conn(conn_t *conn)
{
	dff_h1d_req_t *req = conn->req;

	if (conn->closing)
		return;
	conn->closing = true;
	conn->req = NULL;
	set_not_ready(conn);
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

/* ---- writing ---- */

static void on_shed(uv_timer_t *timer);

/* Accounts for what the caller has not read. The relay may be in a step, so
 * that connections are closed later. */
static void
note_unsent(conn_t *conn)
{
	dff_h1d_t *h1d = conn->h1d;

	h1_guard_hold(
	    &h1d->guard, &conn->holder, DFF_ACCOUNT_ANSWERS, conn->unsent);
	if ((conn->unsent > h1d->limits.unread_max ||
		h1_guard_answers_press(&h1d->guard)) &&
	    !h1d->dropped && !uv_is_active((uv_handle_t *)&h1d->shed))
		(void)uv_timer_start(&h1d->shed, on_shed, 0, 0);
}

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
	note_unsent(conn);
	if (status < 0 ||
	    (conn->close_after && conn->req == NULL && conn->unsent == 0))
		close_conn(conn);
	else if (conn->req == NULL && !conn->parsing)
		parse_input(conn);
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

static void
send_bytes(conn_t *conn, GString *bytes)
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
	note_unsent(conn);
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
	send_bytes(conn, head);
}

void
dff_h1d_write(dff_h1d_req_t *req, const void *data, size_t len)
{
	conn_t *conn = req->conn;
	GString *bytes;

	if (len == 0 || req->no_body)
		return;
	bytes = g_string_sized_new(len + 16);
	if (req->chunked)
		g_string_append_printf(bytes, "%zx\r\n", len);
	g_string_append_len(bytes, data, (gssize)len);
	if (req->chunked)
		g_string_append(bytes, "\r\n");
	send_bytes(conn, bytes);
}

static void
on_parse(uv_idle_t *idle)
{
	dff_h1d_t *h1d = idle->data;

	for (guint i = h1d->ready.length; i-- > 0 && h1d->ready.length > 0;) {
		conn_t *conn = h1d->ready.head->data;

		set_not_ready(conn);
		parse_input(conn);
	}
	if (h1d->ready.length == 0)
		(void)uv_idle_stop(idle);
}

/* Whoever ends an answer must not be called back meanwhile. */
static void
parse_later(conn_t *conn)
{
	dff_h1d_t *h1d = conn->h1d;

	if (conn->ready || h1d->dropped)
		return;
	conn->ready = true;
	g_queue_push_tail_link(&h1d->ready, &conn->ready_link);
	(void)uv_idle_start(&h1d->parse, on_parse);
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
	charge(conn);
	if (conn->close_after) {
		if (conn->unsent == 0)
			close_conn(conn);
		return;
	}
	if (conn->input->len > 0 && !conn->parsing)
		parse_later(conn);
}

void
dff_h1d_end(dff_h1d_req_t *req)
{
	req->conn->ends_answer = false;
	if (req->chunked)
		send_bytes(req->conn, g_string_new("0\r\n\r\n"));
	finish_req(req);
}

void
dff_h1d_abort(dff_h1d_req_t *req)
{
	conn_t *conn = req->conn;

	conn->req = NULL;
	g_free(req);
	close_conn(conn);
}

void
dff_h1d_answer(dff_h1d_req_t *req, int status, const char *fields,
    const void *body, size_t len)
{
	dff_h1d_begin(req, status, fields, (int64_t)len);
	dff_h1d_write(req, body, len);
	dff_h1d_end(req);
}

/* ---- reading ---- */

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
		send_bytes(conn, g_string_new("HTTP/1.1 100 Continue\r\n\r\n"));
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

/* Answer a request that was not passed on; its connection ends with it. */
static void
refuse(conn_t *conn, int status)
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
	refuse(conn, status);
}

/* Close a connection whose request was not passed on. */
static void
evict(conn_t *conn, dff_account_count_t why)
{
	h1_guard_count(&conn->h1d->guard, why);
	if (conn->head_since != 0 && conn->unsent == 0 && !conn->close_after)
		refuse(conn, why == DFF_ACCOUNT_SLOW_HEADS ? 408 : 503);
	close_conn(conn);
	/* Its handle is freed only at the end of the loop's iteration. */
	h1_guard_clear(&conn->body, SIZE_MAX);
	h1_guard_clear(&conn->input, SIZE_MAX);
}

/* Account for the bytes of a request; refuse others, or this one, if there are
 * too many. */
static void
charge(conn_t *conn)
{
	h1_guard_t *guard = &conn->h1d->guard;
	dff_holder_t *victim;

	if (conn->closing || guard->account == NULL ||
	    DFF_FAULT(CROWD_UNBOUNDED_REQUESTS))
		return;
	h1_guard_hold(guard, &conn->holder, DFF_ACCOUNT_REQUESTS,
	    h1_guard_cost(
		&conn->reader, conn->body, conn->input, conn->complete));
	while ((victim = dff_account_unfinished(guard->account)) != NULL)
		evict(victim->owner, DFF_ACCOUNT_REFUSED_BYTES);
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

static void
parse_input(conn_t *conn)
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
			charge(conn);
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

static void
take_bytes(conn_t *conn, const char *bytes, size_t len)
{
	/* Nothing is read after the last answer. */
	if (conn->close_after && conn->req == NULL)
		return;
	g_byte_array_append(conn->input, (const guint8 *)bytes, (guint)len);
	conn->idle_since = uv_now(conn->h1d->loop);
	h1_guard_active(&conn->h1d->guard, &conn->holder);
	if (conn->req == NULL)
		parse_input(conn);
	if (!conn->closing && conn->input->len > PIPELINED_MAX)
		close_conn(conn);
	charge(conn);
}

static void
on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
	conn_t *conn = (conn_t *)stream;

	if (got > 0 && !conn->closing)
		take_bytes(conn, buf->base, (size_t)got);
	g_free(buf->base);
	if (got < 0)
		close_conn(conn);
}

/* ---- server ---- */

/* Make room for a new connection, or close it again. */
static void
enter_account(conn_t *conn)
{
	h1_guard_t *guard = &conn->h1d->guard;
	dff_holder_t *victim;

	if (guard->account == NULL)
		return;
	conn->holder.owner = conn;
	dff_account_enter(
	    guard->account, &conn->holder, h1_guard_client(&conn->tcp));
	while ((victim = dff_account_surplus(guard->account)) != NULL &&
	    !DFF_FAULT(CROWD_UNBOUNDED_CONNECTIONS))
		evict(victim->owner, DFF_ACCOUNT_REFUSED_CONNECTIONS);
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
		close_conn(conn);
		return;
	}
	dff_tcp_set_options(&conn->tcp, UNACKED_MSEC);
	enter_account(conn);
	if (!conn->closing &&
	    uv_read_start((uv_stream_t *)&conn->tcp, h1_alloc, on_read) != 0)
		close_conn(conn);
}

static bool
reads_too_slowly(const conn_t *conn)
{
	return conn->unsent > conn->h1d->limits.unread_max;
}

static void
on_shed(uv_timer_t *timer)
{
	dff_h1d_t *h1d = timer->data;
	dff_holder_t *victim;

	for (GList *link = h1d->conns.head; link != NULL; link = link->next) {
		conn_t *conn = link->data;

		if (conn->closing || !reads_too_slowly(conn))
			continue;
		h1_guard_count(&h1d->guard, DFF_ACCOUNT_SLOW_READERS);
		close_conn(conn);
	}
	while ((victim = h1_guard_slow_reader(&h1d->guard)) != NULL) {
		h1_guard_count(&h1d->guard, DFF_ACCOUNT_SLOW_READERS);
		close_conn(victim->owner);
	}
}

/* Whether a head is late; a process that was paused reads its sockets between
 * two sweeps. */
static bool
head_is_late(conn_t *conn, uint64_t now)
{
	uint64_t limit = conn->h1d->guard.head_ms;
	bool late_before = conn->head_late;

	conn->head_late = limit > 0 && conn->req == NULL && conn->unsent == 0 &&
	    !conn->head_done && conn->head_since != 0 &&
	    now - conn->head_since > limit;
	return conn->head_late && late_before;
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
		if (reads_too_slowly(conn))
			close_conn(conn);
		else if (head_is_late(conn, now))
			evict(conn, DFF_ACCOUNT_SLOW_HEADS);
		else if (conn->req == NULL && now - conn->idle_since > limit)
			close_conn(conn);
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
		close_conn(link->data);
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
