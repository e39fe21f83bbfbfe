/*
 * The HTTP/1.1 client with a server in trouble: answers that are reset while
 * the request is still being written, and statuses that are none.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "dragonflyfall/h1.h"
#include "dragonflyfall/program.h"

#define ADDR	  "127.0.0.1:18771"
#define PORT	  18771
#define BODY_SIZE ((gsize)8 << 20)
#define ROUNDS	  20

static dff_ctx_t *ctx;
static uv_loop_t loop;
static dff_h1c_t *client;

/* A server that answers the first bytes of a request, then resets. */
static struct {
	uv_tcp_t listener;
	uv_tcp_t conn;
	uv_timer_t timer;
	const char *answer;
	uint64_t reset_after_ms; /* 0 for at once */
	bool resets;
} server;

static struct {
	int status;
	bool ended;
	dff_h1c_end_t end;
} seen;

static void
reset(uv_timer_t *timer)
{
	(void)timer;
	(void)uv_tcp_close_reset(&server.conn, NULL);
}

static void
allocate(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	static char bytes[4096];

	(void)handle;
	(void)size;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_server_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
	uv_buf_t answer = uv_buf_init(
	    (char *)(uintptr_t)server.answer, (unsigned)strlen(server.answer));

	(void)buf;
	(void)uv_read_stop(stream);
	if (got < 0)
		return;
	ck_assert_int_eq(
	    uv_try_write(stream, &answer, 1), (int)strlen(server.answer));
	if (!server.resets)
		return;
	if (server.reset_after_ms > 0)
		(void)uv_timer_start(
		    &server.timer, reset, server.reset_after_ms, 0);
	else
		reset(&server.timer);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	ck_assert_int_eq(status, 0);
	(void)uv_tcp_init(&loop, &server.conn);
	ck_assert_int_eq(uv_accept(listener, (uv_stream_t *)&server.conn), 0);
	(void)uv_read_start(
	    (uv_stream_t *)&server.conn, allocate, on_server_read);
}

static void
on_head(void *arg, const dff_h1_head_t *head)
{
	(void)arg;
	seen.status = head->status;
}

static void
on_end(void *arg, dff_h1c_end_t end)
{
	(void)arg;
	seen.end = end;
	seen.ended = true;
}

static void
setup(void)
{
	struct sockaddr_in sa;

	ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	(void)uv_loop_init(&loop);
	client = dff_h1c_new(ctx, &loop);
	memset(&server, 0, sizeof(server));
	(void)uv_timer_init(&loop, &server.timer);
	(void)uv_tcp_init(&loop, &server.listener);
	(void)uv_ip4_addr("127.0.0.1", PORT, &sa);
	ck_assert_int_eq(
	    uv_tcp_bind(&server.listener, (struct sockaddr *)&sa, 0), 0);
	ck_assert_int_eq(
	    uv_listen((uv_stream_t *)&server.listener, 8, on_connection), 0);
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
	dff_h1c_drop(client);
	uv_walk(&loop, on_walk, NULL);
	(void)uv_run(&loop, UV_RUN_DEFAULT);
	(void)uv_loop_close(&loop);
	dff_ctx_drop(ctx);
}

/* Sends a request with a body and waits for its end. */
static void
ask(gsize body)
{
	static const dff_h1c_handlers_t handlers = {on_head, NULL, on_end};
	dff_h1c_call_t call = {.addr = ADDR,
	    .peer = "server",
	    .connect_time = 300 * DFF_MSEC,
	    .bytes = g_byte_array_new()};
	dff_time_t deadline = dff_program_now() + 2 * DFF_SEC;
	char *text = g_strdup_printf("POST / HTTP/1.1\r\nHost: h\r\n"
				     "Content-Length: %zu\r\n\r\n",
	    body);

	memset(&seen, 0, sizeof(seen));
	g_byte_array_append(
	    call.bytes, (const guint8 *)text, (guint)strlen(text));
	g_byte_array_set_size(call.bytes, call.bytes->len + (guint)body);
	g_free(text);
	ck_assert_ptr_nonnull(dff_h1c_start(client, &call, &handlers, NULL));
	while (!seen.ended && dff_program_now() < deadline) {
		(void)uv_run(&loop, UV_RUN_NOWAIT);
		g_usleep(200);
	}
	ck_assert(seen.ended);
}

START_TEST(reset_answer_to_an_unfinished_request_ends_as_broken)
{
	server.answer = "HTTP/1.1 200 OK\r\n\r\na part of the body";
	server.resets = true;
	server.reset_after_ms = (uint64_t)_i;
	for (int i = 0; i < ROUNDS; i++) {
		ask(BODY_SIZE);
		ck_assert_int_eq(seen.end, DFF_H1C_BROKEN);
	}
}
END_TEST

START_TEST(answer_without_a_status_ends_as_broken)
{
	server.answer = "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nab";
	ask(0);
	ck_assert_int_eq(seen.end, DFF_H1C_BROKEN);
	ck_assert_int_eq(seen.status, 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("process_h1_spoiled");
	TCase *tcase = tcase_create("process_h1_spoiled");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(
	    tcase, reset_answer_to_an_unfinished_request_ends_as_broken, 0, 4);
	tcase_add_test(tcase, answer_without_a_status_ends_as_broken);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
