/*
 * The HTTP/1.1 client with a server that stops in the head of its answer, and
 * the server with answers that do not have the length that they state.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include "dragonflyfall/h1.h"
#include "dragonflyfall/program.h"
#include "fake/cut_server.h"

#define STUB_PORT   18773
#define STUB_ADDR   "127.0.0.1:18773"
#define SERVER_PORT 18774
#define SERVER_ADDR "127.0.0.1:18774"

#define REQUEST "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

static dff_ctx_t *ctx;
static uv_loop_t loop;
static cut_server_t stub;

/* ---- the client ---- */

static struct {
	int heads;
	size_t bytes;
	bool ended;
	dff_h1c_end_t end;
} seen;

static void
on_head(void *arg, const dff_h1_head_t *head)
{
	(void)arg;
	(void)head;
	seen.heads++;
}

static void
on_data(void *arg, const char *data, size_t len)
{
	(void)arg;
	(void)data;
	seen.bytes += len;
}

static void
on_end(void *arg, dff_h1c_end_t end)
{
	(void)arg;
	seen.end = end;
	seen.ended = true;
}

static void
run_until_ended(void)
{
	dff_time_t deadline = dff_program_now() + 5 * DFF_SEC;

	while (!seen.ended && dff_program_now() < deadline)
		(void)uv_run(&loop, UV_RUN_ONCE);
	ck_assert(seen.ended);
}

static void
ask(dff_h1c_t *client)
{
	static const dff_h1c_handlers_t handlers = {on_head, on_data, on_end};
	dff_h1c_call_t call = {
	    .addr = STUB_ADDR, .peer = "stub", .connect_time = DFF_SEC};

	memset(&seen, 0, sizeof(seen));
	call.bytes = g_byte_array_new();
	g_byte_array_append(
	    call.bytes, (const guint8 *)REQUEST, sizeof(REQUEST) - 1);
	ck_assert_ptr_nonnull(dff_h1c_start(client, &call, &handlers, NULL));
	run_until_ended();
}

static void
on_walk(uv_handle_t *handle, void *arg)
{
	(void)arg;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static void
setup(void)
{
	ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	(void)uv_loop_init(&loop);
}

static void
teardown(void)
{
	uv_walk(&loop, on_walk, NULL);
	(void)uv_run(&loop, UV_RUN_DEFAULT);
	(void)uv_loop_close(&loop);
	dff_ctx_drop(ctx);
}

/* A server stopped in its answer's head and closed; callers got 200 with an
 * empty or short body. */
START_TEST(answer_that_stops_in_its_head_is_broken)
{
	const char *head = cut_heads[_i % cut_heads_count];
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);

	cut_server_start(&stub, &loop, STUB_PORT);
	stub.resets = _i >= cut_heads_count;
	stub.answer = head;
	for (stub.len = 0; stub.len < strlen(head); stub.len++) {
		ask(client);
		ck_assert_msg(seen.end == DFF_H1C_BROKEN, "%zu bytes: end %d",
		    stub.len, (int)seen.end);
		ck_assert_int_eq(seen.heads, 0);
		ck_assert_uint_eq(seen.bytes, 0);
	}
	dff_h1c_drop(client);
}
END_TEST

/* ---- the server ---- */

static struct {
	dff_h1d_t *server;
	int64_t stated;
	size_t pieces; /* of four bytes */
	int requests;
} served;

static void
on_request(void *arg, dff_h1d_req_t *req)
{
	(void)arg;
	served.requests++;
	dff_h1d_begin(req, 200, "", served.stated);
	for (size_t i = 0; i < served.pieces; i++)
		dff_h1d_write(req, "part", 4);
	dff_h1d_end(req);
}

/* Sends two requests on one connection; returns what comes back until it
 * closes. */
static GString *
talk(void)
{
	GString *back = g_string_new(NULL);
	struct sockaddr_in sa;
	char bytes[1024];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	(void)uv_ip4_addr("127.0.0.1", SERVER_PORT, &sa);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	ck_assert_int_eq((int)send(fd, REQUEST REQUEST,
			     2 * (sizeof(REQUEST) - 1), MSG_NOSIGNAL),
	    2 * (int)(sizeof(REQUEST) - 1));
	for (int turn = 0; turn < 200; turn++) {
		ssize_t got;

		(void)uv_run(&loop, UV_RUN_NOWAIT);
		got = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (got > 0)
			g_string_append_len(back, bytes, got);
		if (got == 0)
			break;
		g_usleep(500);
	}
	(void)close(fd);
	return back;
}

static GString *
serve_and_talk(int64_t stated, size_t pieces)
{
	static const dff_h1d_handlers_t handlers = {.request = on_request};
	const dff_h1d_limits_t limits = {1024, 1000, 65536, 10 * DFF_SEC};
	GString *back;

	memset(&served, 0, sizeof(served));
	served.stated = stated;
	served.pieces = pieces;
	ck_assert_int_eq(dff_h1d_new(ctx, &loop, SERVER_ADDR, &limits,
			     &handlers, NULL, &served.server),
	    0);
	back = talk();
	dff_h1d_drop(served.server);
	return back;
}

static size_t
body_len(const GString *back)
{
	const char *body = strstr(back->str, "\r\n\r\n");

	ck_assert_ptr_nonnull(body);
	return strlen(body + 4);
}

START_TEST(answer_of_the_stated_length_keeps_its_connection)
{
	GString *back = serve_and_talk(8, 2);

	ck_assert_int_eq(served.requests, 2);
	ck_assert(g_str_has_suffix(back->str, "\r\n\r\npartpart"));
	(void)g_string_free(back, TRUE);
}
END_TEST

/* The caller waited for the rest. */
START_TEST(answer_shorter_than_stated_is_broken_off)
{
	GString *back = serve_and_talk(9, 2);

	ck_assert_int_eq(served.requests, 1);
	ck_assert_uint_lt(body_len(back), 9);
	(void)g_string_free(back, TRUE);
}
END_TEST

/* The answer was complete without its end, which was taken for the beginning of
 * the next one. */
START_TEST(answer_longer_than_stated_is_broken_off)
{
	GString *back = serve_and_talk(6, 3);

	ck_assert_int_eq(served.requests, 1);
	ck_assert_uint_lt(body_len(back), 6);
	(void)g_string_free(back, TRUE);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("process_h1_head");
	TCase *tcase = tcase_create("process_h1_head");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, answer_that_stops_in_its_head_is_broken, 0,
	    2 * cut_heads_count);
	tcase_add_test(tcase, answer_of_the_stated_length_keeps_its_connection);
	tcase_add_test(tcase, answer_shorter_than_stated_is_broken_off);
	tcase_add_test(tcase, answer_longer_than_stated_is_broken_off);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
