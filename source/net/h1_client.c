#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "base/fault.h"
#include "net/address.h"
#include "net/h1_head.h"

/* Longest time that written bytes may stay without acknowledgement. */
#define UNACKED_MSEC 2500
/* How long a connection is kept whose server did not say. */
#define KEEP_DEFAULT_MSEC 4000
/* Share of the time a server said, in percent: it closes by its own clock. */
#define KEEP_PERCENT 70
/* Kept connections are looked over this often. */
#define SWEEP_MSEC 250
/* Answers to earlier requests that may come before the one that is due. */
#define STRAY_MAX 4

typedef struct conn {
	uv_tcp_t tcp; /* first, so that a handle is a connection */
	dff_h1c_t *h1c;
	GList link; /* in idle, or unlinked */
	char *key; /* address and peer */
	h1_reader_t reader;
	dff_h1c_req_t *req;
	uv_connect_t connect;
	uint64_t idle_since;
	uint64_t keep_ms;
	int writes; /* under way */
	int strays;
	bool idle;
	bool stray; /* the answer under way belongs to an earlier request */
	bool last; /* the server closes after this answer */
	bool whole;
	bool closing;
} conn_t;

struct dff_h1c {
	dff_ctx_t *ctx;
	uv_loop_t *loop;
	GQueue idle;
	GQueue reqs;
	uv_timer_t sweep;
	uint64_t opened;
	int handles; /* handles and requests not yet freed */
	bool dropped;
};

struct dff_h1c_req {
	dff_h1c_t *h1c;
	conn_t *conn;
	GList link;
	uv_timer_t timer;
	uint64_t connect_ms;
	dff_h1c_handlers_t handlers;
	void *arg;
	GByteArray *bytes;
	char *echo_name;
	char *echo_value;
	dff_h1c_end_t end;
	bool sent;
	bool head_only; /* a HEAD request: its answer bears no body */
	bool ended; /* the end handler is on its way */
	bool cancelled;
};

typedef struct write_req {
	uv_write_t super; /* first, so that a uv request is ours */
	conn_t *conn;
	GByteArray *bytes;
} write_req_t;

static void
free_when_done(dff_h1c_t *h1c)
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
	free_when_done(h1c);
}

static void
close_conn(conn_t *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	if (conn->idle)
		g_queue_unlink(&conn->h1c->idle, &conn->link);
	conn->idle = false;
	conn->req = NULL;
	uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

static void
keep_conn(conn_t *conn)
{
	conn->req = NULL;
	conn->idle = true;
	conn->idle_since = uv_now(conn->h1c->loop);
	conn->strays = 0;
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
	free_when_done(h1c);
}

static void
drop_req(dff_h1c_req_t *req)
{
	g_queue_unlink(&req->h1c->reqs, &req->link);
	uv_close((uv_handle_t *)&req->timer, on_req_closed);
}

static void
on_end(uv_timer_t *timer)
{
	dff_h1c_req_t *req = timer->data;

	req->cancelled = true;
	drop_req(req);
	req->handlers.end(req->arg, req->end);
}

static void
end_req(dff_h1c_req_t *req, dff_h1c_end_t end)
{
	req->conn = NULL;
	req->ended = true;
	req->end = end;
	(void)uv_timer_start(&req->timer, on_end, 0, 0);
}

/* The connection failed; its request, if it has one, ends with it. */
static void
fail_conn(conn_t *conn)
{
	dff_h1c_req_t *req = conn->req;

	close_conn(conn);
	if (req != NULL)
		end_req(req, req->sent ? DFF_H1C_BROKEN : DFF_H1C_UNSENT);
}

/* ---- reading ---- */

static conn_t *
conn_of(http_parser *parser)
{
	return parser->data;
}

static int
on_name(http_parser *parser, const char *at, size_t len)
{
	h1_reader_name(&conn_of(parser)->reader, at, len);
	return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
	h1_reader_value(&conn_of(parser)->reader, at, len);
	return 0;
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
	if (keep > 0)
		conn->keep_ms = keep * KEEP_PERCENT / 100;
	if (parser->status_code < 200)
		return 0;
	if (req == NULL)
		return -1;
	if (is_stray(req, head)) {
		conn->stray = true;
		return 0;
	}
	req->handlers.head(req->arg, head);
	return req->head_only ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	conn_t *conn = conn_of(parser);

	if (conn->req != NULL && !conn->stray)
		conn->req->handlers.data(conn->req->arg, at, len);
	return 0;
}

static int
on_message(http_parser *parser)
{
	conn_t *conn = conn_of(parser);

	if (!http_should_keep_alive(parser) || parser->upgrade)
		conn->last = true;
	conn->whole = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_message,
};

/* A whole answer stands: it ends the request unless it was another's. */
static void
take_answer(conn_t *conn)
{
	dff_h1c_req_t *req = conn->req;
	bool passed_over = conn->stray || conn->reader.head.status < 200;

	conn->whole = false;
	h1_reader_next(&conn->reader);
	if (passed_over) {
		conn->stray = false;
		if (conn->last || ++conn->strays > STRAY_MAX)
			fail_conn(conn);
		return;
	}
	if (conn->last || conn->strays > 0)
		close_conn(conn);
	else
		keep_conn(conn);
	end_req(req, DFF_H1C_DONE);
}

static void
parse(conn_t *conn, const char *data, size_t len)
{
	http_parser *parser = &conn->reader.parser;
	size_t used;

	while (len > 0 && !conn->closing) {
		/* Bytes behind a whole answer belong to no request. */
		if (conn->req == NULL) {
			close_conn(conn);
			return;
		}
		used = http_parser_execute(parser, &parser_settings, data, len);
		if (conn->closing)
			return;
		if (!conn->whole) {
			if (HTTP_PARSER_ERRNO(parser) != HPE_OK)
				fail_conn(conn);
			return;
		}
		http_parser_pause(parser, 0);
		data += used;
		len -= used;
		take_answer(conn);
	}
}

/*
 * libuv reports a reset that comes right behind data as an end of file; only
 * the socket tells them apart.
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

/* The server will send no more; some answers end this way. */
static void
take_eof(conn_t *conn)
{
	if (conn->req == NULL) {
		close_conn(conn);
		return;
	}
	if (is_reset(conn) && !DFF_FAULT(H1_RESET_IS_END)) {
		fail_conn(conn);
		return;
	}
	(void)http_parser_execute(
	    &conn->reader.parser, &parser_settings, NULL, 0);
	if (conn->closing)
		return;
	if (!conn->whole) {
		fail_conn(conn);
		return;
	}
	conn->last = true;
	take_answer(conn);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	buf->len = 16384;
	buf->base = g_malloc(buf->len);
}

static void
on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
	conn_t *conn = (conn_t *)stream;

	if (!conn->closing) {
		if (got > 0)
			parse(conn, buf->base, (size_t)got);
		else if (got == UV_EOF)
			take_eof(conn);
		else if (got < 0)
			fail_conn(conn);
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
		fail_conn(conn);
	else if (status < 0)
		close_conn(conn);
}

static void
send_req(conn_t *conn)
{
	dff_h1c_req_t *req = conn->req;
	write_req_t *write = g_new0(write_req_t, 1);
	uv_buf_t buf;

	(void)uv_timer_stop(&req->timer);
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
	fail_conn(conn);
}

static void
on_connected(uv_connect_t *connect, int status)
{
	conn_t *conn = connect->data;
	unsigned unacked = UNACKED_MSEC;
	uv_os_fd_t fd;

	if (conn->closing)
		return;
	if (status < 0) {
		fail_conn(conn);
		return;
	}
	conn->h1c->opened++;
	(void)uv_tcp_nodelay(&conn->tcp, 1);
	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) == 0)
		(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked,
		    sizeof(unacked));
	if (uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read) != 0) {
		fail_conn(conn);
		return;
	}
	send_req(conn);
}

static void
on_connect_late(uv_timer_t *timer)
{
	dff_h1c_req_t *req = timer->data;

	fail_conn(req->conn);
}

/* ---- requests ---- */

static conn_t *
take_kept(dff_h1c_t *h1c, const char *key)
{
	uint64_t now = uv_now(h1c->loop);

	/* The one used last: the others may lapse. */
	for (GList *link = h1c->idle.tail; link != NULL; link = link->prev) {
		conn_t *conn = link->data;

		if (strcmp(conn->key, key) != 0 || conn->writes > 0 ||
		    now - conn->idle_since >= conn->keep_ms)
			continue;
		g_queue_unlink(&h1c->idle, &conn->link);
		conn->idle = false;
		return conn;
	}
	return NULL;
}

static conn_t *
open_conn(dff_h1c_t *h1c, const char *key, const struct sockaddr *sa)
{
	conn_t *conn = g_new0(conn_t, 1);

	conn->h1c = h1c;
	conn->key = g_strdup(key);
	conn->link.data = conn;
	conn->connect.data = conn;
	conn->keep_ms = KEEP_DEFAULT_MSEC;
	h1_reader_init(&conn->reader, HTTP_RESPONSE);
	conn->reader.parser.data = conn;
	h1c->handles++;
	(void)uv_tcp_init(h1c->loop, &conn->tcp);
	if (uv_tcp_connect(&conn->connect, &conn->tcp, sa, on_connected) == 0)
		return conn;
	close_conn(conn);
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
	req = new_req(h1c, call, handlers, arg);
	key = g_strdup_printf("%s %s", call->addr, call->peer);
	req->conn = call->fresh ? NULL : take_kept(h1c, key);
	if (req->conn != NULL) {
		req->conn->req = req;
		send_req(req->conn);
		g_free(key);
		return req;
	}
	req->conn = open_conn(h1c, key, (const struct sockaddr *)&sa);
	g_free(key);
	if (req->conn == NULL) {
		end_req(req, DFF_H1C_UNSENT);
		return req;
	}
	req->conn->req = req;
	(void)uv_timer_start(&req->timer, on_connect_late,
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
		close_conn(req->conn);
	req->conn = NULL;
	(void)uv_timer_stop(&req->timer);
	drop_req(req);
}

void
dff_h1c_forget(dff_h1c_t *h1c, const char *peer)
{
	GList *next;

	for (GList *link = h1c->idle.head; link != NULL; link = next) {
		conn_t *conn = link->data;
		const char *name = strchr(conn->key, ' ');

		next = link->next;
		if (strcmp(name + 1, peer) == 0)
			close_conn(conn);
	}
}

uint64_t
dff_h1c_opened(const dff_h1c_t *h1c)
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
		if (now - conn->idle_since >= conn->keep_ms)
			close_conn(conn);
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
	free_when_done(h1c);
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
	while ((link = h1c->idle.head) != NULL)
		close_conn(link->data);
	uv_close((uv_handle_t *)&h1c->sweep, on_sweep_closed);
}
