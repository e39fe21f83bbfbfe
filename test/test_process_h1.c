/*
 * HTTP/1.1 passed through: answers that are torn, extra, late, without
 * length or early, and requests that are cut, doubled or smuggled.
 */
#include <check.h>
#include <errno.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/h1.h"
#include "dragonflyfall/program.h"

#define SERVER_PORT 18731
#define SERVER_ADDR "127.0.0.1:18731"
#define STUB_PORT   18732
#define STUB_ADDR   "127.0.0.1:18732"
#define PROBE_TOKEN 7

static dff_ctx_t *ctx;
static uv_loop_t loop;

/* ---- a server that answers as told ---- */

typedef enum stub_end {
	STUB_STAYS,
	STUB_CLOSES,
	STUB_RESETS
} stub_end_t;

typedef struct stub {
	uv_tcp_t listener;
	uv_tcp_t conns[8];
	const char *answers[8]; /* one for each read, NULL for none */
	stub_end_t end;
	int count;
	int reads;
} stub_t;

static stub_t stub;

static void
stub_write(uv_stream_t *stream, const char *text)
{
	uv_buf_t buf =
	    uv_buf_init((char *)(uintptr_t)text, (unsigned)strlen(text));

	ck_assert_int_eq(uv_try_write(stream, &buf, 1), (int)strlen(text));
}

static void
stub_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	static char bytes[65536];

	(void)handle;
	(void)size;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void
stub_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
	const char *answer;

	(void)buf;
	if (got < 0) {
		if (!uv_is_closing((uv_handle_t *)stream))
			uv_close((uv_handle_t *)stream, NULL);
		return;
	}
	answer = stub.answers[stub.reads++];
	if (answer == NULL)
		return;
	stub_write(stream, answer);
	switch (stub.end) {
	case STUB_STAYS:
		break;
	case STUB_CLOSES:
		uv_close((uv_handle_t *)stream, NULL);
		break;
	case STUB_RESETS:
		(void)uv_tcp_close_reset((uv_tcp_t *)stream, NULL);
		break;
	}
}

static void
stub_connection(uv_stream_t *listener, int status)
{
	uv_tcp_t *tcp = &stub.conns[stub.count++];

	ck_assert_int_eq(status, 0);
	(void)uv_tcp_init(&loop, tcp);
	ck_assert_int_eq(uv_accept(listener, (uv_stream_t *)tcp), 0);
	(void)uv_read_start((uv_stream_t *)tcp, stub_alloc, stub_read);
}

static void
stub_start(stub_end_t end, const char *first, const char *second)
{
	struct sockaddr_in sa;

	memset(&stub, 0, sizeof(stub));
	stub.answers[0] = first;
	stub.answers[1] = second;
	stub.end = end;
	(void)uv_tcp_init(&loop, &stub.listener);
	(void)uv_ip4_addr("127.0.0.1", STUB_PORT, &sa);
	ck_assert_int_eq(
	    uv_tcp_bind(&stub.listener, (struct sockaddr *)&sa, 0), 0);
	ck_assert_int_eq(
	    uv_listen((uv_stream_t *)&stub.listener, 8, stub_connection), 0);
}

/* ---- the client under test ---- */

typedef struct seen {
	int status;
	GString *body;
	dff_h1c_end_t end;
	bool ended;
} seen_t;

static void
on_head(void *arg, const dff_h1_head_t *head)
{
	((seen_t *)arg)->status = head->status;
}

static void
on_data(void *arg, const char *data, size_t len)
{
	g_string_append_len(((seen_t *)arg)->body, data, (gssize)len);
}

static void
on_end(void *arg, dff_h1c_end_t end)
{
	seen_t *seen = arg;

	ck_assert(!seen->ended);
	seen->end = end;
	seen->ended = true;
}

static const dff_h1c_handlers_t client_handlers = {on_head, on_data, on_end};

static void
run_until(const bool *done, dff_time_t time)
{
	dff_time_t end = dff_program_now() + time;

	while (!*done && dff_program_now() < end) {
		(void)uv_run(&loop, UV_RUN_NOWAIT);
		g_usleep(500);
	}
}

static void
ask_on(dff_h1c_t *client, const char *text, bool anew, seen_t *seen)
{
	dff_h1c_call_t call = {.addr = STUB_ADDR,
	    .peer = "stub",
	    .echo_name = "X-Id",
	    .echo_value = "7",
	    .connect_time = 300 * DFF_MSEC,
	    .new_connection = anew};

	memset(seen, 0, sizeof(*seen));
	seen->body = g_string_new(NULL);
	call.bytes = g_byte_array_new();
	g_byte_array_append(
	    call.bytes, (const guint8 *)text, (guint)strlen(text));
	ck_assert_ptr_nonnull(
	    dff_h1c_start(client, &call, &client_handlers, seen));
	run_until(&seen->ended, DFF_SEC);
}

static void
ask(dff_h1c_t *client, const char *text, seen_t *seen)
{
	ask_on(client, text, false, seen);
}

#define REQUEST "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

static void
expect(const char *answer, stub_end_t stub_end, dff_h1c_end_t end,
    const char *body)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);
	seen_t seen;

	stub_start(stub_end, answer, NULL);
	ask(client, REQUEST, &seen);
	ck_assert(seen.ended);
	ck_assert_int_eq(seen.end, end);
	ck_assert_str_eq(seen.body->str, body);
	(void)g_string_free(seen.body, TRUE);
	dff_h1c_drop(client);
}

START_TEST(answer_with_length_ends_as_done)
{
	expect("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", STUB_STAYS,
	    DFF_H1C_DONE, "ab");
}
END_TEST

START_TEST(chunked_answer_ends_as_done)
{
	expect("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	       "2\r\nab\r\n0\r\n\r\n",
	    STUB_STAYS, DFF_H1C_DONE, "ab");
}
END_TEST

START_TEST(answer_without_length_ends_with_its_connection)
{
	expect("HTTP/1.1 200 OK\r\n\r\nab", STUB_CLOSES, DFF_H1C_CLOSED, "ab");
}
END_TEST

START_TEST(reset_answer_without_length_ends_as_broken)
{
	expect("HTTP/1.1 200 OK\r\n\r\nab", STUB_RESETS, DFF_H1C_BROKEN, "ab");
}
END_TEST

START_TEST(truncated_body_ends_as_broken)
{
	expect("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", STUB_CLOSES,
	    DFF_H1C_BROKEN, "ab");
}
END_TEST

START_TEST(truncated_chunk_ends_as_broken)
{
	expect("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	       "9\r\nab",
	    STUB_CLOSES, DFF_H1C_BROKEN, "ab");
}
END_TEST

START_TEST(malformed_answer_ends_as_broken)
{
	expect("\x01\x02garbage\r\n\r\n", STUB_STAYS, DFF_H1C_BROKEN, "");
}
END_TEST

START_TEST(refused_connection_ends_as_unsent)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);
	seen_t seen;

	ask(client, REQUEST, &seen);
	ck_assert(seen.ended);
	ck_assert_int_eq(seen.end, DFF_H1C_UNSENT);
	(void)g_string_free(seen.body, TRUE);
	dff_h1c_drop(client);
}
END_TEST

/* ---- bytes without end ---- */

/* What a client may read of bytes that are no answer. */
#define FLOOD_READ_MAX (4u << 20)
/* Bytes of one write. */
#define FLOOD_PIECE 16384

typedef struct flood {
	uv_write_t write;
	uv_stream_t *stream;
	GString *piece;
	size_t bytes;
	bool over; /* the other side closed */
} flood_t;

static flood_t flood;

static void
on_flooded(uv_write_t *write, int status)
{
	uv_buf_t buf =
	    uv_buf_init(flood.piece->str, (unsigned)flood.piece->len);

	if (status < 0) {
		flood.over = true;
		return;
	}
	flood.bytes += buf.len;
	(void)uv_write(write, flood.stream, &buf, 1, on_flooded);
}

static void
flood_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
	uv_buf_t first;

	(void)buf;
	if (got <= 0 || flood.stream != NULL)
		return;
	flood.stream = stream;
	first = uv_buf_init((char *)(uintptr_t)stub.answers[0],
	    (unsigned)strlen(stub.answers[0]));
	(void)uv_write(&flood.write, stream, &first, 1, on_flooded);
}

static void
flood_connection(uv_stream_t *listener, int status)
{
	uv_tcp_t *tcp = &stub.conns[stub.count++];

	ck_assert_int_eq(status, 0);
	(void)uv_tcp_init(&loop, tcp);
	ck_assert_int_eq(uv_accept(listener, (uv_stream_t *)tcp), 0);
	(void)uv_read_start((uv_stream_t *)tcp, stub_alloc, flood_read);
}

/* A server that begins like an answer and then sends one piece for ever. */
static void
expect_flood_ends(const char *begin, const char *piece)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);
	dff_h1c_call_t call = {.addr = STUB_ADDR,
	    .peer = "stub",
	    .echo_name = "X-Id",
	    .echo_value = "7",
	    .connect_time = 300 * DFF_MSEC,
	    .body_max = 4096};
	seen_t seen = {.body = g_string_new(NULL)};

	memset(&flood, 0, sizeof(flood));
	flood.piece = g_string_new(NULL);
	while (flood.piece->len < FLOOD_PIECE)
		(void)g_string_append(flood.piece, piece);
	stub_start(STUB_STAYS, begin, NULL);
	stub.listener.connection_cb = flood_connection;
	call.bytes = g_byte_array_new();
	g_byte_array_append(
	    call.bytes, (const guint8 *)REQUEST, sizeof(REQUEST) - 1);
	ck_assert_ptr_nonnull(
	    dff_h1c_start(client, &call, &client_handlers, &seen));
	run_until(&seen.ended, 2 * DFF_SEC);
	ck_assert(seen.ended);
	run_until(&flood.over, 2 * DFF_SEC);
	ck_assert(flood.over);
	ck_assert_uint_lt(flood.bytes, FLOOD_READ_MAX);
	(void)g_string_free(flood.piece, TRUE);
	ck_assert_uint_le(seen.body->len, call.body_max);
	(void)g_string_free(seen.body, TRUE);
	dff_h1c_drop(client);
}

START_TEST(endless_head_is_aborted)
{
	expect_flood_ends("HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxxxxxxxxxxxxxxx");
}
END_TEST

START_TEST(endless_fields_are_aborted)
{
	expect_flood_ends("HTTP/1.1 200 OK\r\n", "X: y\r\nX: y\r\nX: y\r\n");
}
END_TEST

START_TEST(endless_empty_lines_are_aborted)
{
	expect_flood_ends("\r\n", "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n");
}
END_TEST

START_TEST(endless_interim_answers_are_aborted)
{
	expect_flood_ends(
	    "HTTP/1.1 103 Early\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n");
}
END_TEST

START_TEST(endless_chunk_extension_is_aborted)
{
	expect_flood_ends(
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
	    "xxxxxxxxxxxxxxxxxxxxxxxxxx");
}
END_TEST

START_TEST(endless_trailers_are_aborted)
{
	expect_flood_ends(
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	    "X: y\r\nX: y\r\nX: y\r\n");
}
END_TEST

START_TEST(body_over_limit_is_aborted)
{
	expect_flood_ends(
	    "HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxxxxxxxxxxxxxxxxxx");
}
END_TEST

START_TEST(chunked_body_over_limit_is_aborted)
{
	expect_flood_ends(
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	    "8\r\nxxxxxxxx\r\n");
}
END_TEST

START_TEST(endless_stale_answer_is_aborted)
{
	expect_flood_ends(
	    "HTTP/1.1 200 OK\r\nX-Id: 6\r\n\r\n", "xxxxxxxxxxxxxxxxxxxxxxxxxx");
}
END_TEST

START_TEST(answer_over_time_limit_is_aborted)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);
	dff_h1c_call_t call = {.addr = STUB_ADDR,
	    .peer = "stub",
	    .connect_time = 300 * DFF_MSEC,
	    .answer_time = 100 * DFF_MSEC};
	seen_t seen = {.body = g_string_new(NULL)};

	stub_start(STUB_STAYS, "HTTP/1.1 200 OK\r\n", NULL);
	call.bytes = g_byte_array_new();
	g_byte_array_append(
	    call.bytes, (const guint8 *)REQUEST, sizeof(REQUEST) - 1);
	ck_assert_ptr_nonnull(
	    dff_h1c_start(client, &call, &client_handlers, &seen));
	run_until(&seen.ended, DFF_SEC);
	ck_assert(seen.ended);
	ck_assert_int_eq(seen.end, DFF_H1C_BROKEN);
	(void)g_string_free(seen.body, TRUE);
	dff_h1c_drop(client);
}
END_TEST

/* ---- probes ---- */

typedef struct probed {
	dff_h1c_probe_result_t reach;
	bool done;
} probed_t;

static void
on_probed(
    void *arg, const char *peer, uint64_t token, dff_h1c_probe_result_t reach)
{
	probed_t *probed = arg;

	ck_assert_str_eq(peer, "stub");
	ck_assert_uint_eq(token, PROBE_TOKEN);
	ck_assert(!probed->done);
	probed->reach = reach;
	probed->done = true;
}

static const dff_h1c_call_t probe_call = {
    .addr = STUB_ADDR, .peer = "stub", .connect_time = 300 * DFF_MSEC};

/* Returns the result of a probe of the stub. */
static dff_h1c_probe_result_t
probe_stub(dff_h1c_t *client)
{
	probed_t probed = {.done = false};

	dff_h1c_probe(client, &probe_call, PROBE_TOKEN, on_probed, &probed);
	run_until(&probed.done, DFF_SEC);
	ck_assert(probed.done);
	return probed.reach;
}

START_TEST(probe_reports_refused_connection)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);

	ck_assert_int_eq(probe_stub(client), DFF_H1C_REFUSED);
	dff_h1c_drop(client);
}
END_TEST

/* Without a turn of the loop, which knows the time of its last turn. */
static void
hold_up(void)
{
	(void)uv_run(&loop, UV_RUN_NOWAIT);
	g_usleep(2 * 300 * 1000);
}

START_TEST(held_up_client_has_its_time_to_connect)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);
	seen_t seen;

	stub_start(
	    STUB_STAYS, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", NULL);
	hold_up();
	ask(client, REQUEST, &seen);
	ck_assert_int_eq(seen.end, DFF_H1C_DONE);
	ck_assert_int_eq(seen.status, 200);
	(void)g_string_free(seen.body, TRUE);
	dff_h1c_drop(client);
}
END_TEST

START_TEST(held_up_client_has_its_time_to_probe)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);

	stub_start(STUB_STAYS, NULL, NULL);
	hold_up();
	ck_assert_int_eq(probe_stub(client), DFF_H1C_REACHED);
	dff_h1c_drop(client);
}
END_TEST

START_TEST(probe_connection_is_reused)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);
	seen_t seen;

	stub_start(
	    STUB_STAYS, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", NULL);
	ck_assert_int_eq(probe_stub(client), DFF_H1C_REACHED);
	ask(client, REQUEST, &seen);
	ck_assert_int_eq(seen.end, DFF_H1C_DONE);
	ck_assert_int_eq(stub.count, 1);
	(void)g_string_free(seen.body, TRUE);
	dff_h1c_drop(client);
}
END_TEST

static void
on_close_time(uv_timer_t *timer)
{
	(void)timer;
	(void)uv_tcp_close_reset(&stub.conns[stub.count - 1], NULL);
}

/* After the other side has seen it stand. */
static void
close_connection(uv_stream_t *listener, int status)
{
	static uv_timer_t timer;

	stub_connection(listener, status);
	(void)uv_timer_init(&loop, &timer);
	(void)uv_timer_start(&timer, on_close_time, 5, 0);
}

START_TEST(probe_reports_connection_closed_at_once)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);

	stub_start(STUB_STAYS, NULL, NULL);
	stub.listener.connection_cb = close_connection;
	ck_assert_int_eq(probe_stub(client), DFF_H1C_UNREACHABLE);
	dff_h1c_drop(client);
}
END_TEST

/* As of a server that crashes. */
static void
close_connection_and_listener(uv_stream_t *listener, int status)
{
	close_connection(listener, status);
	uv_close((uv_handle_t *)listener, NULL);
}

START_TEST(probe_during_a_crash_reports_refused_connection)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);

	stub_start(STUB_STAYS, NULL, NULL);
	stub.listener.connection_cb = close_connection_and_listener;
	ck_assert_int_eq(probe_stub(client), DFF_H1C_REFUSED);
	dff_h1c_drop(client);
}
END_TEST

START_TEST(probe_of_invalid_address_ends_later)
{
	static const dff_h1c_call_t call = {
	    .addr = "nowhere", .peer = "stub", .connect_time = DFF_SEC};
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);
	probed_t probed = {.done = false};

	dff_h1c_probe(client, &call, PROBE_TOKEN, on_probed, &probed);
	ck_assert(!probed.done);
	run_until(&probed.done, DFF_SEC);
	ck_assert(probed.done);
	ck_assert_int_eq(probed.reach, DFF_H1C_UNREACHABLE);
	dff_h1c_drop(client);
}
END_TEST

START_TEST(dropped_client_skips_probe_callback)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);
	probed_t probed = {.done = false};

	stub_start(STUB_STAYS, NULL, NULL);
	dff_h1c_probe(client, &probe_call, PROBE_TOKEN, on_probed, &probed);
	dff_h1c_drop(client);
	run_until(&probed.done, 50 * DFF_MSEC);
	ck_assert(!probed.done);
}
END_TEST

START_TEST(answer_without_id_is_not_believed_on_a_used_connection)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);
	seen_t seen;

	stub_start(STUB_STAYS,
	    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 1\r\n\r\na",
	    "HTTP/1.1 503 x\r\nContent-Length: 1\r\n\r\nb");
	ask(client, REQUEST, &seen);
	ck_assert_int_eq(seen.end, DFF_H1C_DONE);
	(void)g_string_free(seen.body, TRUE);
	ask(client, REQUEST, &seen);
	ck_assert_int_eq(stub.count, 1);
	ck_assert_int_eq(seen.end, DFF_H1C_BROKEN);
	ck_assert_int_eq(seen.status, 0);
	(void)g_string_free(seen.body, TRUE);
	dff_h1c_drop(client);
}
END_TEST

START_TEST(stale_answer_is_skipped)
{
	expect("HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 3\r\n\r\nold"
	       "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 3\r\n\r\nnew",
	    STUB_STAYS, DFF_H1C_DONE, "new");
}
END_TEST

/* Two requests to one server, the second @anew, take so many connections. */
static void
ask_twice(bool anew, int connections)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);
	seen_t seen;

	stub_start(STUB_STAYS,
	    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 1\r\n\r\na",
	    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 1\r\n\r\nb");
	for (int i = 0; i < 2; i++) {
		ask_on(client, REQUEST, anew && i == 1, &seen);
		ck_assert_int_eq(seen.end, DFF_H1C_DONE);
		ck_assert_str_eq(seen.body->str, i == 0 ? "a" : "b");
		(void)g_string_free(seen.body, TRUE);
	}
	ck_assert_int_eq(stub.count, connections);
	ck_assert_uint_eq(
	    dff_h1c_connections_opened(client), (uint64_t)connections);
	dff_h1c_drop(client);
}

START_TEST(idle_connection_is_reused)
{
	ask_twice(false, 1);
}
END_TEST

START_TEST(new_connection_closes_idle_one)
{
	ask_twice(true, 2);
}
END_TEST

START_TEST(connection_with_extra_bytes_is_not_reused)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);
	seen_t seen;

	stub_start(STUB_STAYS,
	    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK",
	    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
	for (int i = 0; i < 2; i++) {
		ask(client, REQUEST, &seen);
		ck_assert_int_eq(seen.end, DFF_H1C_DONE);
		ck_assert_str_eq(seen.body->str, i == 0 ? "a" : "b");
		(void)g_string_free(seen.body, TRUE);
	}
	ck_assert_int_eq(stub.count, 2);
	dff_h1c_drop(client);
}
END_TEST

START_TEST(connection_marked_close_is_not_reused)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);
	seen_t seen;

	stub_start(STUB_STAYS,
	    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na",
	    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
	for (int i = 0; i < 2; i++) {
		ask(client, REQUEST, &seen);
		(void)g_string_free(seen.body, TRUE);
	}
	ck_assert_int_eq(stub.count, 2);
	dff_h1c_drop(client);
}
END_TEST

START_TEST(cancelled_request_calls_no_handler)
{
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);
	dff_h1c_call_t call = {
	    .addr = STUB_ADDR, .peer = "stub", .connect_time = DFF_SEC};
	seen_t seen = {.body = g_string_new(NULL)};
	dff_h1c_req_t *req;

	stub_start(STUB_STAYS, NULL, NULL);
	call.bytes = g_byte_array_new();
	g_byte_array_append(
	    call.bytes, (const guint8 *)REQUEST, sizeof(REQUEST) - 1);
	req = dff_h1c_start(client, &call, &client_handlers, &seen);
	run_until(&seen.ended, 50 * DFF_MSEC);
	dff_h1c_cancel(req);
	run_until(&seen.ended, 50 * DFF_MSEC);
	ck_assert(!seen.ended);
	(void)g_string_free(seen.body, TRUE);
	dff_h1c_drop(client);
}
END_TEST

/* ---- the server under test ---- */

typedef struct served {
	dff_h1d_t *server;
	dff_h1d_req_t *waiting;
	int requests;
	int gone;
	bool hold; /* answer later */
	bool stream; /* answer with a body of unknown length */
	bool abort; /* break that answer off */
	char target[64];
	guint body;
} served_t;

static served_t served;

static void
answer_stream(dff_h1d_req_t *req)
{
	dff_h1d_begin(req, 200, "", -1);
	dff_h1d_write(req, "part", 4);
	if (served.abort)
		dff_h1d_abort(req);
	else
		dff_h1d_end(req);
}

static void
on_request(void *arg, dff_h1d_req_t *req)
{
	(void)arg;
	served.requests++;
	g_strlcpy(
	    served.target, dff_h1d_head(req)->target, sizeof(served.target));
	served.body = dff_h1d_body(req)->len;
	if (served.hold)
		served.waiting = req;
	else if (served.stream)
		answer_stream(req);
	else
		dff_h1d_answer(req, 200, "X-A: b\r\n", "ok", 2);
}

static void
on_gone(void *arg, dff_h1d_req_t *req)
{
	(void)arg;
	ck_assert_ptr_eq(req, served.waiting);
	served.waiting = NULL;
	served.gone++;
}

static void
serve(void)
{
	static const dff_h1d_handlers_t handlers = {on_request, on_gone};
	const dff_h1d_limits_t limits = {1024, 1000, 65536, 10 * DFF_SEC};

	memset(&served, 0, sizeof(served));
	ck_assert_int_eq(dff_h1d_new(ctx, &loop, SERVER_ADDR, &limits,
			     &handlers, NULL, &served.server),
	    0);
}

/* How the last connection of talk() ended. */
static enum {
	TALK_OPEN,
	TALK_CLOSED,
	TALK_RESET
} talk_end;

/* Time between two turns of the loop. */
#define TURN_TIME (500 * DFF_USEC)

/* Turns the loop for at least this time. The turns count, not the clock: the
 * test itself may be held up, and the server with it. */
static void
run_for(dff_time_t time)
{
	for (dff_time_t past = 0; past < time; past += TURN_TIME) {
		(void)uv_run(&loop, UV_RUN_NOWAIT);
		g_usleep(TURN_TIME / DFF_USEC);
	}
}

/* Send bytes to the server; what comes back, until it closes or is quiet.
 * Returns the connection, which the caller closes. */
static int
send_and_read(const char *text, GString *back)
{
	struct sockaddr_in sa;
	char bytes[4096];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	(void)uv_ip4_addr("127.0.0.1", SERVER_PORT, &sa);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	ck_assert_int_eq(
	    (int)send(fd, text, strlen(text), MSG_NOSIGNAL), (int)strlen(text));
	talk_end = TALK_OPEN;
	for (dff_time_t past = 0;
	     past < 100 * DFF_MSEC && talk_end == TALK_OPEN;
	     past += TURN_TIME) {
		ssize_t got;

		run_for(TURN_TIME);
		got = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (got > 0)
			g_string_append_len(back, bytes, got);
		if (got == 0)
			talk_end = TALK_CLOSED;
		else if (got < 0 && errno == ECONNRESET)
			talk_end = TALK_RESET;
	}
	return fd;
}

static void
talk(const char *text, GString *back)
{
	(void)close(send_and_read(text, back));
	run_for(10 * DFF_MSEC);
}

static int
count_of(const GString *text, const char *word)
{
	int count = 0;

	for (const char *at = text->str; (at = strstr(at, word)) != NULL; at++)
		count++;
	return count;
}

/* @requests reach the handler, and the answers begin with @first. */
static void
expect_served(const char *text, int requests, const char *first)
{
	GString *back = g_string_new(NULL);

	serve();
	talk(text, back);
	ck_assert_int_eq(served.requests, requests);
	ck_assert_msg(g_str_has_prefix(back->str, first), "%s", back->str);
	dff_h1d_drop(served.server);
	(void)g_string_free(back, TRUE);
}

START_TEST(target_and_body_are_unchanged)
{
	expect_served("POST /a%2Fb//c?x=%20&y HTTP/1.1\r\nHost: h\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n"
		      "3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n",
	    1, "HTTP/1.1 200 ");
	ck_assert_str_eq(served.target, "/a%2Fb//c?x=%20&y");
	ck_assert_uint_eq(served.body, 4);
}
END_TEST

START_TEST(pipelined_requests_are_answered_in_turn)
{
	expect_served(REQUEST REQUEST, 2, "HTTP/1.1 200 ");
}
END_TEST

/* Whoever ends an answer may be in the middle of a step, so that its handlers
 * must not be called meanwhile. */
START_TEST(next_request_does_not_begin_inside_the_end_of_an_answer)
{
	GString *back = g_string_new(NULL);
	dff_h1d_req_t *first;
	int fd;

	serve();
	served.hold = true;
	fd = send_and_read(REQUEST REQUEST REQUEST, back);
	ck_assert_int_eq(served.requests, 1);
	for (int i = 1; i < 3; i++) {
		first = served.waiting;
		served.waiting = NULL;
		dff_h1d_answer(first, 200, "", "ok", 2);
		ck_assert_int_eq(served.requests, i);
		ck_assert_ptr_null(served.waiting);
		run_for(20 * DFF_MSEC);
		ck_assert_int_eq(served.requests, i + 1);
		ck_assert_ptr_nonnull(served.waiting);
	}
	/* A connection that closes meanwhile is not parsed any more. */
	first = served.waiting;
	dff_h1d_abort(first);
	run_for(20 * DFF_MSEC);
	ck_assert_int_eq(served.requests, 3);
	ck_assert_int_eq(served.gone, 0);
	(void)close(fd);
	dff_h1d_drop(served.server);
	(void)g_string_free(back, TRUE);
}
END_TEST

/* The server closes while requests wait to be parsed. */
START_TEST(dropped_server_parses_no_more_requests)
{
	GString *back = g_string_new(NULL);
	int fd;

	serve();
	served.hold = true;
	fd = send_and_read(REQUEST REQUEST, back);
	dff_h1d_answer(served.waiting, 200, "", "ok", 2);
	served.waiting = NULL;
	dff_h1d_drop(served.server);
	run_for(20 * DFF_MSEC);
	(void)close(fd);
	ck_assert_int_eq(served.requests, 1);
	(void)g_string_free(back, TRUE);
}
END_TEST

START_TEST(two_lengths_are_refused)
{
	expect_served("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
		      "Content-Length: 30\r\n\r\nab",
	    0, "HTTP/1.1 400 ");
}
END_TEST

START_TEST(length_and_chunks_are_refused)
{
	expect_served("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" REQUEST,
	    0, "HTTP/1.1 400 ");
}
END_TEST

START_TEST(smuggled_request_is_a_body)
{
	expect_served(
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 27\r\n\r\n" REQUEST,
	    1, "HTTP/1.1 200 ");
}
END_TEST

START_TEST(head_and_body_limits_are_enforced)
{
	GString *text = g_string_new("GET / HTTP/1.1\r\nHost: h\r\nX: ");

	for (int i = 0; i < 2000; i++)
		g_string_append_c(text, 'x');
	g_string_append(text, "\r\n\r\n");
	expect_served(text->str, 0, "HTTP/1.1 431 ");
	(void)g_string_free(text, TRUE);
	expect_served("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n"
		      "\r\n",
	    0, "HTTP/1.1 413 ");
}
END_TEST

START_TEST(caller_disconnect_is_reported)
{
	GString *back = g_string_new(NULL);

	serve();
	served.hold = true;
	talk(REQUEST, back);
	ck_assert_int_eq(served.requests, 1);
	ck_assert_int_eq(served.gone, 1);
	dff_h1d_drop(served.server);
	(void)g_string_free(back, TRUE);
}
END_TEST

/* Requests a body of unknown length; returns the answer. */
static GString *
talk_stream(const char *version, bool abort)
{
	GString *back = g_string_new(NULL);
	char *text = g_strdup_printf("GET / HTTP/%s\r\nHost: h\r\n"
				     "Connection: keep-alive\r\n\r\n",
	    version);

	serve();
	served.stream = true;
	served.abort = abort;
	talk(text, back);
	dff_h1d_drop(served.server);
	g_free(text);
	return back;
}

START_TEST(caller_of_http_1_0_gets_no_chunks)
{
	GString *back = talk_stream("1.0", false);

	ck_assert_ptr_null(strstr(back->str, "chunked"));
	ck_assert_ptr_nonnull(strstr(back->str, "Connection: close\r\n"));
	ck_assert(g_str_has_suffix(back->str, "\r\n\r\npart"));
	ck_assert_int_eq(talk_end, TALK_CLOSED);
	(void)g_string_free(back, TRUE);
}
END_TEST

START_TEST(answer_broken_off_for_caller_of_http_1_0_is_reset)
{
	GString *back = talk_stream("1.0", true);

	ck_assert_int_eq(talk_end, TALK_RESET);
	(void)g_string_free(back, TRUE);
}
END_TEST

START_TEST(answer_broken_off_has_no_last_chunk)
{
	GString *back = talk_stream("1.1", true);

	ck_assert(g_str_has_suffix(back->str, "4\r\npart\r\n"));
	ck_assert_int_eq(talk_end, TALK_CLOSED);
	(void)g_string_free(back, TRUE);
}
END_TEST

START_TEST(draining_server_closes_after_answer)
{
	GString *back = g_string_new(NULL);

	serve();
	dff_h1d_drain(served.server);
	talk(REQUEST, back);
	ck_assert_int_eq(count_of(back, "Connection: close"), 1);
	ck_assert_int_eq(count_of(back, "ok"), 1);
	dff_h1d_drop(served.server);
	(void)g_string_free(back, TRUE);
}
END_TEST

static void
setup(void)
{
	(void)signal(SIGPIPE, SIG_IGN);
	ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	(void)uv_loop_init(&loop);
}

static void
on_walk(uv_handle_t *handle, void *arg)
{
	(void)arg;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static void
teardown(void)
{
	bool never = false;

	uv_walk(&loop, on_walk, NULL);
	run_until(&never, 20 * DFF_MSEC);
	(void)uv_loop_close(&loop);
	dff_ctx_drop(ctx);
}

int
main(void)
{
	Suite *suite = suite_create("process_h1");
	TCase *tcase = tcase_create("process_h1");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, answer_with_length_ends_as_done);
	tcase_add_test(tcase, chunked_answer_ends_as_done);
	tcase_add_test(tcase, answer_without_length_ends_with_its_connection);
	tcase_add_test(tcase, reset_answer_without_length_ends_as_broken);
	tcase_add_test(tcase, truncated_body_ends_as_broken);
	tcase_add_test(tcase, truncated_chunk_ends_as_broken);
	tcase_add_test(tcase, malformed_answer_ends_as_broken);
	tcase_add_test(tcase, refused_connection_ends_as_unsent);
	tcase_add_test(tcase, endless_head_is_aborted);
	tcase_add_test(tcase, endless_fields_are_aborted);
	tcase_add_test(tcase, endless_empty_lines_are_aborted);
	tcase_add_test(tcase, endless_interim_answers_are_aborted);
	tcase_add_test(tcase, endless_chunk_extension_is_aborted);
	tcase_add_test(tcase, endless_trailers_are_aborted);
	tcase_add_test(tcase, body_over_limit_is_aborted);
	tcase_add_test(tcase, chunked_body_over_limit_is_aborted);
	tcase_add_test(tcase, endless_stale_answer_is_aborted);
	tcase_add_test(tcase, answer_over_time_limit_is_aborted);
	tcase_add_test(tcase, probe_reports_refused_connection);
	tcase_add_test(tcase, held_up_client_has_its_time_to_connect);
	tcase_add_test(tcase, held_up_client_has_its_time_to_probe);
	tcase_add_test(tcase, probe_connection_is_reused);
	tcase_add_test(tcase, probe_reports_connection_closed_at_once);
	tcase_add_test(tcase, probe_during_a_crash_reports_refused_connection);
	tcase_add_test(tcase, probe_of_invalid_address_ends_later);
	tcase_add_test(tcase, dropped_client_skips_probe_callback);
	tcase_add_test(
	    tcase, answer_without_id_is_not_believed_on_a_used_connection);
	tcase_add_test(tcase, stale_answer_is_skipped);
	tcase_add_test(tcase, idle_connection_is_reused);
	tcase_add_test(tcase, new_connection_closes_idle_one);
	tcase_add_test(tcase, connection_with_extra_bytes_is_not_reused);
	tcase_add_test(tcase, connection_marked_close_is_not_reused);
	tcase_add_test(tcase, cancelled_request_calls_no_handler);
	tcase_add_test(tcase, target_and_body_are_unchanged);
	tcase_add_test(tcase, pipelined_requests_are_answered_in_turn);
	tcase_add_test(
	    tcase, next_request_does_not_begin_inside_the_end_of_an_answer);
	tcase_add_test(tcase, dropped_server_parses_no_more_requests);
	tcase_add_test(tcase, two_lengths_are_refused);
	tcase_add_test(tcase, length_and_chunks_are_refused);
	tcase_add_test(tcase, smuggled_request_is_a_body);
	tcase_add_test(tcase, head_and_body_limits_are_enforced);
	tcase_add_test(tcase, caller_disconnect_is_reported);
	tcase_add_test(tcase, caller_of_http_1_0_gets_no_chunks);
	tcase_add_test(
	    tcase, answer_broken_off_for_caller_of_http_1_0_is_reset);
	tcase_add_test(tcase, answer_broken_off_has_no_last_chunk);
	tcase_add_test(tcase, draining_server_closes_after_answer);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
