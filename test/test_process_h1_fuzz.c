/*
 * HTTP/1.1 messages that are cut and changed at random, to the server and to
 * the client: both go on, and the next message is taken as it is.
 */
#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dragonflyfall/h1.h"
#include "dragonflyfall/program.h"

#define SERVER_PORT 18741
#define SERVER_ADDR "127.0.0.1:18741"
#define STUB_PORT   18742
#define STUB_ADDR   "127.0.0.1:18742"

#define RUNS 2000
/* Bytes that are changed in one message, at most. */
#define CHANGES 4

static dff_ctx_t *ctx;
static uv_loop_t loop;
static GRand *dice;
static GByteArray *message; /* the spoiled one */

static void
setup(void)
{
	(void)signal(SIGPIPE, SIG_IGN);
	ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	(void)uv_loop_init(&loop);
	dice = g_rand_new_with_seed(21);
	message = g_byte_array_new();
}

static void
on_walk(uv_handle_t *handle, void *arg)
{
	(void)arg;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static void
run_for(dff_time_t time)
{
	dff_time_t until = dff_program_now() + time;

	while (dff_program_now() < until) {
		(void)uv_run(&loop, UV_RUN_NOWAIT);
		g_usleep(200);
	}
}

static void
teardown(void)
{
	uv_walk(&loop, on_walk, NULL);
	run_for(20 * DFF_MSEC);
	(void)uv_loop_close(&loop);
	g_rand_free(dice);
	g_byte_array_unref(message);
	dff_ctx_drop(ctx);
}

/* Some bytes changed, some cut out of the middle, perhaps cut short. */
static void
spoil(const char *text)
{
	guint len = (guint)strlen(text);
	int changes = g_rand_int_range(dice, 1, CHANGES + 1);

	g_byte_array_set_size(message, 0);
	g_byte_array_append(message, (const guint8 *)text, len);
	for (int i = 0; i < changes; i++)
		message->data[g_rand_int_range(dice, 0, (gint32)len)] =
		    (guint8)g_rand_int_range(dice, 0, 256);
	if (g_rand_boolean(dice)) {
		guint at = (guint)g_rand_int_range(dice, 0, (gint32)len);

		g_byte_array_remove_range(message, at,
		    (guint)g_rand_int_range(dice, 0, (gint32)(len - at)));
	}
	if (g_rand_boolean(dice))
		g_byte_array_set_size(message,
		    (guint)g_rand_int_range(dice, 0, (gint32)message->len + 1));
}

/* ---- the server ---- */

static void
on_request(void *arg, dff_h1d_req_t *req)
{
	(void)arg;
	dff_h1d_answer(req, 200, "", "ok", 2);
}

/* What comes back until the server closes, or for @time. */
static void
talk(const void *bytes, size_t len, dff_time_t time, GString *back)
{
	dff_time_t until = dff_program_now() + time;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in sa;
	char got[4096];
	ssize_t count = -1;

	(void)uv_ip4_addr("127.0.0.1", SERVER_PORT, &sa);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	(void)send(fd, bytes, len, MSG_NOSIGNAL);
	(void)shutdown(fd, SHUT_WR);
	while (count != 0 && dff_program_now() < until) {
		(void)uv_run(&loop, UV_RUN_NOWAIT);
		count = recv(fd, got, sizeof(got), MSG_DONTWAIT);
		if (count > 0)
			g_string_append_len(back, got, count);
		g_usleep(100);
	}
	(void)close(fd);
}

START_TEST(server_survives_corrupted_requests)
{
	static const dff_h1d_handlers_t handlers = {.request = on_request};
	static const char *const texts[] = {
	    "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n"
	    "Content-Length: 5\r\n\r\nhello",
	    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n",
	    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	};
	static const char good[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
	const dff_h1d_limits_t limits = {1024, 1000, 65536, 10 * DFF_SEC};
	GString *back = g_string_new(NULL);
	dff_h1d_t *server;

	ck_assert_int_eq(dff_h1d_new(ctx, &loop, SERVER_ADDR, &limits,
			     &handlers, NULL, &server),
	    0);
	for (int i = 0; i < RUNS; i++) {
		spoil(texts[(guint)i % G_N_ELEMENTS(texts)]);
		talk(message->data, message->len, 20 * DFF_MSEC, back);
		/* Each answer is whole and its own. */
		ck_assert(
		    back->len == 0 || g_str_has_prefix(back->str, "HTTP/1.1 "));
		(void)g_string_truncate(back, 0);
	}
	talk(good, sizeof(good) - 1, 5 * DFF_SEC, back);
	ck_assert_msg(
	    g_str_has_prefix(back->str, "HTTP/1.1 200 "), "%s", back->str);
	(void)g_string_free(back, TRUE);
	dff_h1d_drop(server);
}
END_TEST

/* Sockets with unfinished, pipelined or unread requests, beyond the limits of
 * the account. */
#define CROWD	    64
#define CROWD_STEP  512
#define CROWD_OPEN  8
#define CROWD_BYTES 2048

static void
crowd_step(int *fd, const struct sockaddr_in *sa)
{
	static const char *const heads[] = {
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n",
	    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "1\r\na\r\n2\r\nbc\r\n",
	    "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\n\r\nGET",
	    "GET / HTTP/1.1\r\na:\r\nb:\r\nc:\r\nd:\r\ne:\r\nf:\r\n"};
	char got[CROWD_STEP];
	const char *text;

	if (*fd < 0) {
		*fd = socket(AF_INET, SOCK_STREAM, 0);
		ck_assert_int_eq(
		    connect(*fd, (const struct sockaddr *)sa, sizeof(*sa)), 0);
	}
	text = heads[g_rand_int_range(dice, 0, G_N_ELEMENTS(heads))];
	if (g_rand_boolean(dice))
		spoil(text);
	else {
		g_byte_array_set_size(message, 0);
		g_byte_array_append(
		    message, (const guint8 *)text, (guint)strlen(text));
	}
	(void)send(
	    *fd, message->data, message->len, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (g_rand_boolean(dice))
		(void)recv(*fd, got, sizeof(got), MSG_DONTWAIT);
	if (g_rand_int_range(dice, 0, 8) != 0)
		return;
	(void)close(*fd);
	*fd = -1;
}

START_TEST(server_survives_a_crowd_beyond_its_account)
{
	static const dff_h1d_handlers_t handlers = {.request = on_request};
	static const char good[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
	const dff_h1d_limits_t limits = {1024, 1000, 4096, 10 * DFF_SEC};
	const dff_account_limits_t few = {{CROWD_BYTES, 8192}, CROWD_OPEN};
	dff_h1d_guard_t guard = {dff_account_new(&few), 20 * DFF_MSEC};
	GString *back = g_string_new(NULL);
	struct sockaddr_in sa;
	dff_h1d_t *server;
	int fds[CROWD];

	(void)uv_ip4_addr("127.0.0.1", SERVER_PORT, &sa);
	ck_assert_int_eq(dff_h1d_new(ctx, &loop, SERVER_ADDR, &limits,
			     &handlers, NULL, &server),
	    0);
	dff_h1d_set_guard(server, &guard);
	memset(fds, -1, sizeof(fds));
	for (int i = 0; i < 4 * RUNS; i++) {
		crowd_step(&fds[g_rand_int_range(dice, 0, CROWD)], &sa);
		(void)uv_run(&loop, UV_RUN_NOWAIT);
		ck_assert_int_le(
		    dff_account_connections(guard.account), CROWD_OPEN);
		ck_assert_uint_le(
		    dff_account_held(guard.account, DFF_ACCOUNT_REQUESTS),
		    CROWD_BYTES);
	}
	talk(good, sizeof(good) - 1, 5 * DFF_SEC, back);
	ck_assert_msg(
	    g_str_has_prefix(back->str, "HTTP/1.1 200 "), "%s", back->str);
	ck_assert_uint_gt(
	    dff_account_counted(guard.account, DFF_ACCOUNT_REFUSED_CONNECTIONS),
	    0);
	ck_assert_uint_gt(
	    dff_account_counted(guard.account, DFF_ACCOUNT_REFUSED_BYTES), 0);
	for (int i = 0; i < CROWD; i++) {
		if (fds[i] >= 0)
			(void)close(fds[i]);
	}
	(void)g_string_free(back, TRUE);
	dff_h1d_drop(server);
	dff_account_drop(guard.account);
}
END_TEST

/* ---- the client ---- */

static uv_tcp_t listener;

static void
on_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	static char bytes[65536];

	(void)handle;
	(void)size;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
	uv_buf_t out = uv_buf_init((char *)message->data, message->len);

	(void)buf;
	if (got > 0 && message->len > 0)
		(void)uv_try_write(stream, &out, 1);
	if (got != 0 && !uv_is_closing((uv_handle_t *)stream))
		uv_close((uv_handle_t *)stream, on_closed);
}

static void
on_connection(uv_stream_t *stream, int status)
{
	uv_tcp_t *tcp = g_new0(uv_tcp_t, 1);

	ck_assert_int_eq(status, 0);
	(void)uv_tcp_init(&loop, tcp);
	ck_assert_int_eq(uv_accept(stream, (uv_stream_t *)tcp), 0);
	(void)uv_read_start((uv_stream_t *)tcp, on_alloc, on_read);
}

typedef struct seen {
	bool ended;
	dff_h1c_end_t end;
	size_t bytes;
} seen_t;

static void
on_data(void *arg, const char *data, size_t len)
{
	(void)data;
	((seen_t *)arg)->bytes += len;
}

static void
on_end(void *arg, dff_h1c_end_t end)
{
	seen_t *seen = arg;

	ck_assert(!seen->ended);
	seen->ended = true;
	seen->end = end;
}

static seen_t
ask(dff_h1c_t *client)
{
	static const char text[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
	static const dff_h1c_handlers_t handlers = {
	    .data = on_data, .end = on_end};
	dff_time_t until = dff_program_now() + 5 * DFF_SEC;
	dff_h1c_call_t call = {.addr = STUB_ADDR,
	    .peer = "stub",
	    .echo_name = "X-Id",
	    .echo_value = "7",
	    .connect_time = DFF_SEC};
	seen_t seen = {0};

	call.bytes = g_byte_array_new();
	g_byte_array_append(call.bytes, (const guint8 *)text, sizeof(text) - 1);
	ck_assert_ptr_nonnull(dff_h1c_start(client, &call, &handlers, &seen));
	while (!seen.ended && dff_program_now() < until) {
		(void)uv_run(&loop, UV_RUN_NOWAIT);
		g_usleep(100);
	}
	ck_assert(seen.ended);
	return seen;
}

START_TEST(client_survives_corrupted_answers)
{
	static const char *const texts[] = {
	    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 5\r\n\r\nhello",
	    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "5\r\nhello\r\n0\r\n\r\n",
	    "HTTP/1.1 503 No\r\nX-Id: 6\r\nContent-Length: 0\r\n\r\n"
	    "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nhello",
	};
	dff_h1c_t *client = dff_h1c_new(ctx, &loop);
	struct sockaddr_in sa;
	seen_t seen;

	(void)uv_tcp_init(&loop, &listener);
	(void)uv_ip4_addr("127.0.0.1", STUB_PORT, &sa);
	ck_assert_int_eq(uv_tcp_bind(&listener, (struct sockaddr *)&sa, 0), 0);
	ck_assert_int_eq(
	    uv_listen((uv_stream_t *)&listener, 64, on_connection), 0);
	for (int i = 0; i < RUNS; i++) {
		spoil(texts[(guint)i % G_N_ELEMENTS(texts)]);
		(void)ask(client);
	}
	g_byte_array_set_size(message, 0);
	g_byte_array_append(
	    message, (const guint8 *)texts[0], (guint)strlen(texts[0]));
	seen = ask(client);
	ck_assert_int_eq(seen.end, DFF_H1C_DONE);
	ck_assert_uint_eq(seen.bytes, 5);
	dff_h1c_drop(client);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("process_h1_fuzz");
	TCase *tcase = tcase_create("process_h1_fuzz");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, server_survives_corrupted_requests);
	tcase_add_test(tcase, server_survives_a_crowd_beyond_its_account);
	tcase_add_test(tcase, client_survives_corrupted_answers);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
