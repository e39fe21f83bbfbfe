/*
 * The HTTP client of the own interface with a server that stops in the head of
 * its answer.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fake/cut_server.h"
#include "fake/netloop.h"

#define PORT 21161
#define ADDR "127.0.0.1:21161"

static struct {
	int heads;
	size_t bytes;
	int ends;
	dff_httpc_end_t end;
} seen;

static void
on_head(void *arg, dff_httpc_req_t *req, int status)
{
	(void)arg;
	(void)req;
	(void)status;
	seen.heads++;
}

static void
on_data(void *arg, dff_httpc_req_t *req, const char *data, size_t len)
{
	(void)arg;
	(void)req;
	(void)data;
	seen.bytes += len;
}

static void
on_end(void *arg, dff_httpc_req_t *req, dff_httpc_end_t end)
{
	(void)arg;
	(void)req;
	seen.ends++;
	seen.end = end;
}

/* A server stopped in its answer's head and closed; callers got 200 with an
 * empty or short body. */
START_TEST(answer_that_stops_in_its_head_is_broken)
{
	static const dff_httpc_handlers_t handlers = {on_head, on_data, on_end};
	const dff_httpc_call_t call = {.addr = ADDR,
	    .method = "GET",
	    .path = "/",
	    .idle_timeout = 5 * DFF_SEC};
	const char *head = cut_heads[_i % cut_heads_count];
	cut_server_t server;
	netloop_t net;

	netloop_open(&net);
	cut_server_start(&server, &net.loop, PORT);
	server.resets = _i >= cut_heads_count;
	server.answer = head;
	for (server.len = 0; server.len < strlen(head); server.len++) {
		memset(&seen, 0, sizeof(seen));
		ck_assert_ptr_nonnull(
		    dff_httpc_start(net.httpc, &call, &handlers, NULL));
		netloop_until(&net, &seen.ends, 1);
		ck_assert_msg(seen.end == DFF_HTTPC_BROKEN, "%zu bytes: end %d",
		    server.len, (int)seen.end);
		ck_assert_int_eq(seen.heads, 0);
		ck_assert_uint_eq(seen.bytes, 0);
	}
	cut_server_stop(&server);
	netloop_close(&net);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("process_http_head");
	TCase *tcase = tcase_create("process_http_head");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, answer_that_stops_in_its_head_is_broken, 0,
	    2 * cut_heads_count);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
