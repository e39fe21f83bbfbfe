#include <check.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "dragonflyfall/http.h"
#include "dragonflyfall/program.h"
#include "fake/h2.h"
#include "fake/netloop.h"

#define ADDR	    "127.0.0.1:21101"
#define PORT	    21101
#define DEAD_ADDR   "127.0.0.1:21102"
#define BODY_MAX    4096
#define UNREAD_MAX  (64 * 1024)
#define HEADER_TIME (300 * DFF_MSEC)

/* A server whose answers depend on the path, and what it saw. */
typedef struct bench {
	uv_loop_t loop;
	dff_ctx_t *ctx;
	dff_httpd_t *httpd;
	dff_httpc_t *httpc;
	uv_timer_t limit;
	uv_timer_t tick;
	dff_httpd_req_t *held;
	dff_time_t gone_at;
	int requests;
	int gone;
	/* of the client */
	GString *body;
	int status;
	int ends;
	dff_httpc_end_t end;
	bool cancel_in_data;
	bool done;
} bench_t;

static void
answer_text(dff_httpd_req_t *req, const char *text)
{
	dff_httpd_answer(req, 200, "text/plain", text, strlen(text));
}

static void
on_request(void *arg, dff_httpd_req_t *req)
{
	bench_t *bench = arg;
	const char *path = dff_httpd_path(req);
	const char *body;
	size_t len;

	bench->requests++;
	if (strcmp(path, "/echo") == 0) {
		body = dff_httpd_body(req, &len);
		dff_httpd_add_header(req, "X-Word",
		    dff_httpd_header(req, "x-word") != NULL ?
			dff_httpd_header(req, "x-word") :
			"none");
		dff_httpd_answer(req, 201, "text/plain", body, len);
	} else if (strcmp(path, "/query") == 0) {
		answer_text(req, dff_httpd_query(req, "b"));
	} else if (strcmp(path, "/stream") == 0) {
		dff_httpd_begin(req, 200, "text/plain");
		dff_httpd_write(req, "one,", 4);
		dff_httpd_write(req, "two", 3);
		dff_httpd_end(req);
	} else if (strcmp(path, "/cut") == 0) {
		dff_httpd_begin(req, 200, "text/plain");
		dff_httpd_write(req, "half", 4);
		dff_httpd_abort(req);
	} else {
		/* Held: the test decides. */
		bench->held = req;
		if (strcmp(path, "/begin") == 0) {
			dff_httpd_begin(req, 200, "text/plain");
			dff_httpd_write(req, "first", 5);
		}
	}
}

static void
on_gone(void *arg, dff_httpd_req_t *req)
{
	bench_t *bench = arg;

	bench->gone++;
	bench->gone_at = dff_program_now();
	if (bench->held == req)
		bench->held = NULL;
}

static void
on_limit(uv_timer_t *timer)
{
	(void)timer;
	ck_abort_msg("the test took too long");
}

static void
bench_open(bench_t *bench)
{
	const dff_httpd_config_t config = {.addr = ADDR,
	    .body_max = BODY_MAX,
	    .unread_max = UNREAD_MAX,
	    .header_time = HEADER_TIME};
	const dff_httpd_handlers_t handlers = {on_request, on_gone};

	memset(bench, 0, sizeof(*bench));
	signal(SIGPIPE, SIG_IGN);
	bench->ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	bench->body = g_string_new(NULL);
	uv_loop_init(&bench->loop);
	uv_timer_init(&bench->loop, &bench->limit);
	uv_timer_start(&bench->limit, on_limit, 10000, 0);
	uv_timer_init(&bench->loop, &bench->tick);
	ck_assert_int_eq(dff_httpd_new(bench->ctx, &bench->loop, &config,
			     &handlers, bench, &bench->httpd),
	    0);
	bench->httpc = dff_httpc_new(bench->ctx, &bench->loop);
}

static void
bench_close(bench_t *bench)
{
	dff_httpc_drop(bench->httpc);
	dff_httpd_drop(bench->httpd);
	uv_close((uv_handle_t *)&bench->limit, NULL);
	uv_close((uv_handle_t *)&bench->tick, NULL);
	uv_run(&bench->loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&bench->loop), 0);
	g_string_free(bench->body, TRUE);
	dff_ctx_drop(bench->ctx);
}

static void
on_tick(uv_timer_t *timer)
{
	(void)timer;
}

/* Run the loop for a while. */
static void
run_for(bench_t *bench, dff_time_t time)
{
	dff_time_t until = dff_program_now() + time;

	uv_timer_start(&bench->tick, on_tick, 1, 1);
	while (dff_program_now() < until)
		uv_run(&bench->loop, UV_RUN_ONCE);
	uv_timer_stop(&bench->tick);
}

static void
run_until(bench_t *bench, const int *counter, int value)
{
	while (*counter < value)
		uv_run(&bench->loop, UV_RUN_ONCE);
}

static void
on_head(void *arg, dff_httpc_req_t *req, int status)
{
	bench_t *bench = arg;
	const char *word = dff_httpc_header(req, "x-word");

	bench->status = status;
	if (word != NULL)
		g_string_append_printf(bench->body, "[%s]", word);
}

static void
on_data(void *arg, dff_httpc_req_t *req, const char *data, size_t len)
{
	bench_t *bench = arg;

	g_string_append_len(bench->body, data, (gssize)len);
	if (bench->cancel_in_data)
		dff_httpc_cancel(req);
}

static void
on_end(void *arg, dff_httpc_req_t *req, dff_httpc_end_t end)
{
	bench_t *bench = arg;

	(void)req;
	bench->end = end;
	bench->ends++;
}

static dff_httpc_req_t *
call(bench_t *bench, const char *addr, const char *path, const char *body)
{
	static const dff_httpc_handlers_t handlers = {on_head, on_data, on_end};
	const dff_httpc_call_t call = {.addr = addr,
	    .method = body != NULL ? "POST" : "GET",
	    .path = path,
	    .content_type = body != NULL ? "text/plain" : NULL,
	    .headers = "x-word: hello\r\n",
	    .body = body,
	    .len = body != NULL ? strlen(body) : 0,
	    .idle_timeout = 500 * DFF_MSEC};

	return dff_httpc_start(bench->httpc, &call, &handlers, bench);
}

static int
raw_open(const char *text)
{
	return netloop_connect(PORT, text, strlen(text));
}

START_TEST(http_answers_whole)
{
	bench_t bench;

	bench_open(&bench);
	ck_assert_ptr_nonnull(call(&bench, ADDR, "/echo", "some body"));
	run_until(&bench, &bench.ends, 1);
	ck_assert_int_eq(bench.end, DFF_HTTPC_DONE);
	ck_assert_int_eq(bench.status, 201);
	ck_assert_str_eq(bench.body->str, "[hello]some body");
	ck_assert_uint_eq(dff_httpd_count_open(bench.httpd), 0);
	ck_assert_int_eq(bench.gone, 0);
	bench_close(&bench);
}
END_TEST

START_TEST(http_reads_query)
{
	bench_t bench;

	bench_open(&bench);
	call(&bench, ADDR, "/query?a=1&b=x%20y&c", NULL);
	run_until(&bench, &bench.ends, 1);
	ck_assert_str_eq(bench.body->str, "x y");
	bench_close(&bench);
}
END_TEST

START_TEST(http_streams)
{
	bench_t bench;

	bench_open(&bench);
	for (int i = 1; i <= 3; i++) {
		g_string_truncate(bench.body, 0);
		call(&bench, ADDR, "/stream", NULL);
		run_until(&bench, &bench.ends, i);
		ck_assert_int_eq(bench.end, DFF_HTTPC_DONE);
		ck_assert_str_eq(bench.body->str, "one,two");
	}
	bench_close(&bench);
}
END_TEST

START_TEST(http_streams_as_written)
{
	bench_t bench;

	bench_open(&bench);
	call(&bench, ADDR, "/begin", NULL);
	run_for(&bench, 50 * DFF_MSEC);
	ck_assert_str_eq(bench.body->str, "first");
	dff_httpd_write(bench.held, ",second", 7);
	run_for(&bench, 50 * DFF_MSEC);
	ck_assert_str_eq(bench.body->str, "first,second");
	dff_httpd_end(bench.held);
	run_until(&bench, &bench.ends, 1);
	ck_assert_int_eq(bench.end, DFF_HTTPC_DONE);
	bench_close(&bench);
}
END_TEST

START_TEST(http_abort_is_detected)
{
	bench_t bench;

	bench_open(&bench);
	call(&bench, ADDR, "/cut", NULL);
	run_until(&bench, &bench.ends, 1);
	ck_assert_int_eq(bench.end, DFF_HTTPC_BROKEN);
	ck_assert_str_eq(bench.body->str, "half");
	ck_assert_int_eq(bench.gone, 0);
	bench_close(&bench);
}
END_TEST

START_TEST(http_refused_connection_sent_nothing)
{
	bench_t bench;

	bench_open(&bench);
	ck_assert_ptr_nonnull(call(&bench, DEAD_ADDR, "/echo", "x"));
	run_until(&bench, &bench.ends, 1);
	ck_assert_int_eq(bench.end, DFF_HTTPC_CONNECT_FAILED);
	ck_assert_ptr_null(call(&bench, "no address", "/echo", "x"));
	bench_close(&bench);
}
END_TEST

START_TEST(http_silence_times_out)
{
	bench_t bench;
	dff_time_t start;

	bench_open(&bench);
	start = dff_program_now();
	call(&bench, ADDR, "/held", "x");
	run_until(&bench, &bench.ends, 1);
	ck_assert_int_eq(bench.end, DFF_HTTPC_TIMEOUT);
	ck_assert_int_ge(dff_program_now() - start, 490 * DFF_MSEC);
	/* The connection was closed, which the server sees. */
	run_until(&bench, &bench.gone, 1);
	bench_close(&bench);
}
END_TEST

START_TEST(http_cancel_closes_connection)
{
	bench_t bench;
	dff_httpc_req_t *req;

	bench_open(&bench);
	req = call(&bench, ADDR, "/held", "x");
	run_until(&bench, &bench.requests, 1);
	dff_httpc_cancel(req);
	run_until(&bench, &bench.gone, 1);
	ck_assert_int_eq(bench.ends, 0);
	/* From inside a handler, and before the connection stands. */
	bench.cancel_in_data = true;
	call(&bench, ADDR, "/begin", "x");
	run_until(&bench, &bench.gone, 2);
	ck_assert_str_eq(bench.body->str, "first");
	req = call(&bench, ADDR, "/held", "x");
	dff_httpc_cancel(req);
	run_for(&bench, 50 * DFF_MSEC);
	ck_assert_int_eq(bench.ends, 0);
	bench_close(&bench);
}
END_TEST

START_TEST(http_large_body_is_413)
{
	bench_t bench;
	char *body = g_strnfill(BODY_MAX + 1, 'x');
	char *text;
	int fd;

	bench_open(&bench);
	text = g_strdup_printf("POST /echo HTTP/1.1\r\nhost: a\r\n"
			       "content-length: %d\r\n\r\n%s",
	    BODY_MAX + 1, body);
	fd = raw_open(text);
	run_for(&bench, 100 * DFF_MSEC);
	ck_assert_ptr_nonnull(strstr(netloop_read(fd), " 413 "));
	ck_assert_int_eq(bench.requests, 0);
	close(fd);
	g_free(body);
	g_free(text);
	bench_close(&bench);
}
END_TEST

START_TEST(http_half_sent_request_times_out)
{
	static const char *const halves[] = {"POST /echo HT",
	    "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc"};
	bench_t bench;
	const char *text;
	int fd;

	for (size_t i = 0; i < G_N_ELEMENTS(halves); i++) {
		bench_open(&bench);
		fd = raw_open(halves[i]);
		run_for(&bench, HEADER_TIME + 400 * DFF_MSEC);
		text = netloop_read(fd);
		ck_assert_msg(text != NULL, "case %zu is still open", i);
		ck_assert_int_eq(bench.requests, 0);
		close(fd);
		bench_close(&bench);
	}
}
END_TEST

START_TEST(http_slow_reader_is_disconnected)
{
	bench_t bench;
	char *block = g_strnfill(16 * 1024, 'x');
	int fd;

	bench_open(&bench);
	fd = raw_open("GET /begin HTTP/1.1\r\nhost: a\r\n\r\n");
	run_until(&bench, &bench.requests, 1);
	/* Far more than the sockets' own buffers take. */
	for (int i = 0; i < 4000 && bench.held != NULL; i++) {
		dff_httpd_write(bench.held, block, 16 * 1024);
		uv_run(&bench.loop, UV_RUN_NOWAIT);
	}
	ck_assert_int_eq(bench.gone, 1);
	ck_assert_uint_eq(dff_httpd_count_open(bench.httpd), 0);
	close(fd);
	g_free(block);
	bench_close(&bench);
}
END_TEST

START_TEST(http_hang_up_is_detected_without_a_write)
{
	static const char *const paths[] = {"/held", "/begin"};
	bench_t bench;
	dff_time_t start;
	char *text;
	int fd;

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		bench_open(&bench);
		text = g_strdup_printf(
		    "GET %s HTTP/1.1\r\nhost: a\r\n\r\n", paths[i]);
		fd = raw_open(text);
		run_until(&bench, &bench.requests, 1);
		run_for(&bench, 50 * DFF_MSEC);
		start = dff_program_now();
		close(fd);
		run_until(&bench, &bench.gone, 1);
		ck_assert_int_lt(bench.gone_at - start, 300 * DFF_MSEC);
		g_free(text);
		bench_close(&bench);
	}
}
END_TEST

/* ---- h2c ---- */

static int
h2_open(uint32_t streams, const char *path)
{
	GByteArray *out = g_byte_array_new();
	int fd;

	h2_begin(out);
	for (uint32_t i = 0; i < streams; i++)
		h2_get(out, 1 + 2 * i, path);
	fd = netloop_connect(PORT, out->data, out->len);
	g_byte_array_unref(out);
	return fd;
}

START_TEST(http_h2c_hang_up_is_detected_without_a_write)
{
	bench_t bench;
	dff_time_t start;
	int fd;

	bench_open(&bench);
	fd = h2_open(1, "/held");
	run_until(&bench, &bench.requests, 1);
	start = dff_program_now();
	close(fd);
	run_until(&bench, &bench.gone, 1);
	ck_assert_int_lt(bench.gone_at - start, 300 * DFF_MSEC);
	bench_close(&bench);
}
END_TEST

START_TEST(http_h2c_reset_ends_one_stream)
{
	static const uint8_t cancel[] = {0, 0, 0, 8};
	bench_t bench;
	GByteArray *out = g_byte_array_new();
	int fd;

	bench_open(&bench);
	fd = h2_open(2, "/held");
	run_until(&bench, &bench.requests, 2);
	h2_frame(out, H2_RST_STREAM, 0, 1, cancel, sizeof(cancel));
	ck_assert_int_eq(send(fd, out->data, out->len, 0), (int)out->len);
	run_until(&bench, &bench.gone, 1);
	run_for(&bench, 200 * DFF_MSEC);
	ck_assert_int_eq(bench.gone, 1);
	ck_assert_uint_eq(dff_httpd_count_open(bench.httpd), 1);
	/* The other stream is answered whole. */
	ck_assert_ptr_nonnull(bench.held);
	answer_text(bench.held, "whole");
	run_for(&bench, 50 * DFF_MSEC);
	ck_assert_uint_eq(dff_httpd_count_open(bench.httpd), 0);
	close(fd);
	g_byte_array_unref(out);
	bench_close(&bench);
}
END_TEST

/* A caller whose window is shut: only its stream is given up. */
START_TEST(http_h2c_slow_reader_is_disconnected)
{
	static const uint8_t no_window[] = {0, 4, 0, 0, 0, 0};
	GByteArray *out = g_byte_array_new();
	char *block = g_strnfill(16 * 1024, 'x');
	dff_httpd_req_t *other;
	bench_t bench;
	int fd;

	bench_open(&bench);
	h2_begin(out);
	h2_frame(out, H2_SETTINGS, 0, 0, no_window, sizeof(no_window));
	h2_get(out, 1, "/held");
	fd = netloop_connect(PORT, out->data, out->len);
	run_until(&bench, &bench.requests, 1);
	other = bench.held;
	g_byte_array_set_size(out, 0);
	h2_get(out, 3, "/begin");
	ck_assert_int_eq(send(fd, out->data, out->len, 0), (int)out->len);
	run_until(&bench, &bench.requests, 2);
	for (int i = 0; i < 100 && bench.gone == 0; i++) {
		dff_httpd_write(bench.held, block, 16 * 1024);
		run_for(&bench, 2 * DFF_MSEC);
	}
	ck_assert_int_eq(bench.gone, 1);
	ck_assert_ptr_null(bench.held);
	answer_text(other, "");
	run_for(&bench, 50 * DFF_MSEC);
	ck_assert_int_eq(bench.gone, 1);
	ck_assert_uint_eq(dff_httpd_count_open(bench.httpd), 0);
	close(fd);
	g_free(block);
	g_byte_array_unref(out);
	bench_close(&bench);
}
END_TEST

/* Callers that leave at any moment, with or without a reset. */
START_TEST(http_random_hang_ups)
{
	static const char text[] =
	    "POST /begin HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc";
	const struct linger reset = {.l_onoff = 1};
	GRand *rand = g_rand_new_with_seed(7);
	bench_t bench;

	bench_open(&bench);
	for (int i = 0; i < 300; i++) {
		size_t len =
		    (size_t)g_rand_int_range(rand, 1, (int)sizeof(text));
		int fd = netloop_connect(PORT, text, len);

		run_for(&bench, g_rand_int_range(rand, 0, 2000));
		if (g_rand_boolean(rand))
			(void)setsockopt(
			    fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		close(fd);
	}
	run_for(&bench, 300 * DFF_MSEC);
	ck_assert_int_gt(bench.requests, 0);
	ck_assert_int_eq(bench.gone, bench.requests);
	ck_assert_uint_eq(dff_httpd_count_open(bench.httpd), 0);
	g_rand_free(rand);
	bench_close(&bench);
}
END_TEST

START_TEST(http_stop_accepting_lets_open_requests_end)
{
	bench_t bench;

	bench_open(&bench);
	call(&bench, ADDR, "/begin", "x");
	run_until(&bench, &bench.requests, 1);
	dff_httpd_stop_accepting(bench.httpd);
	run_for(&bench, 50 * DFF_MSEC);
	ck_assert_uint_eq(dff_httpd_count_open(bench.httpd), 1);
	dff_httpd_end(bench.held);
	run_until(&bench, &bench.ends, 1);
	ck_assert_int_eq(bench.end, DFF_HTTPC_DONE);
	ck_assert_str_eq(bench.body->str, "first");
	/* A new connection is refused now. */
	run_for(&bench, 50 * DFF_MSEC);
	bench_close(&bench);
}
END_TEST

START_TEST(http_drop_with_open_requests)
{
	bench_t bench;
	int fd;

	bench_open(&bench);
	fd = raw_open("GET /begin HTTP/1.1\r\nhost: a\r\n\r\n");
	call(&bench, ADDR, "/held", "x");
	run_until(&bench, &bench.requests, 2);
	bench_close(&bench);
	ck_assert_int_eq(bench.gone, 0);
	ck_assert_int_eq(bench.ends, 0);
	close(fd);
}
END_TEST

START_TEST(http_port_in_use_is_reported)
{
	const dff_httpd_config_t config = {.addr = ADDR,
	    .body_max = BODY_MAX,
	    .unread_max = UNREAD_MAX,
	    .header_time = HEADER_TIME};
	const dff_httpd_handlers_t handlers = {on_request, on_gone};
	dff_httpd_t *second;
	bench_t bench;

	bench_open(&bench);
	ck_assert_int_eq(dff_httpd_new(bench.ctx, &bench.loop, &config,
			     &handlers, &bench, &second),
	    -EADDRINUSE);
	ck_assert_ptr_null(second);
	bench_close(&bench);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("http");
	TCase *tcase = tcase_create("http");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, http_answers_whole);
	tcase_add_test(tcase, http_reads_query);
	tcase_add_test(tcase, http_streams);
	tcase_add_test(tcase, http_streams_as_written);
	tcase_add_test(tcase, http_abort_is_detected);
	tcase_add_test(tcase, http_refused_connection_sent_nothing);
	tcase_add_test(tcase, http_silence_times_out);
	tcase_add_test(tcase, http_cancel_closes_connection);
	tcase_add_test(tcase, http_large_body_is_413);
	tcase_add_test(tcase, http_half_sent_request_times_out);
	tcase_add_test(tcase, http_slow_reader_is_disconnected);
	tcase_add_test(tcase, http_hang_up_is_detected_without_a_write);
	tcase_add_test(tcase, http_h2c_hang_up_is_detected_without_a_write);
	tcase_add_test(tcase, http_h2c_reset_ends_one_stream);
	tcase_add_test(tcase, http_h2c_slow_reader_is_disconnected);
	tcase_add_test(tcase, http_random_hang_ups);
	tcase_add_test(tcase, http_stop_accepting_lets_open_requests_end);
	tcase_add_test(tcase, http_drop_with_open_requests);
	tcase_add_test(tcase, http_port_in_use_is_reported);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
