/*
 * Runs the stand-in programs as processes and calls them with the HTTP client
 * of the project.
 */
#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#include "dragonflyfall/http.h"
#include "dragonflyfall/program.h"

#define PLATFORM "127.0.0.1:22101"
#define ENGINE	 "127.0.0.1:22102"
#define ENGINE2	 "127.0.0.1:22103"
#define SERVICE	 "127.0.0.1:22104"

/* Longest wait until a program listens. */
#define START_TIME (10 * DFF_SEC)

/* One answer; the body grows as it is received. */
typedef struct answer {
	dff_httpc_end_t end;
	int status;
	GString *body;
	bool done;
} answer_t;

static uv_loop_t *loop;
static dff_ctx_t *ctx;
static dff_httpc_t *client;
static GArray *children; /* pid_t */

static void
on_head(void *arg, dff_httpc_req_t *req, int status)
{
	answer_t *answer = arg;

	(void)req;
	answer->status = status;
}

static void
on_data(void *arg, dff_httpc_req_t *req, const char *data, size_t len)
{
	answer_t *answer = arg;

	(void)req;
	g_string_append_len(answer->body, data, (gssize)len);
}

static void
on_end(void *arg, dff_httpc_req_t *req, dff_httpc_end_t end)
{
	answer_t *answer = arg;

	(void)req;
	answer->end = end;
	answer->done = true;
}

static const dff_httpc_handlers_t handlers = {on_head, on_data, on_end};

static answer_t *
send_request(
    const char *addr, const char *path, const char *body, const char *headers)
{
	answer_t *answer = g_new0(answer_t, 1);
	dff_httpc_call_t call = {.addr = addr,
	    .method = body != NULL ? "POST" : "GET",
	    .path = path,
	    .headers = headers,
	    .body = body,
	    .len = body != NULL ? strlen(body) : 0,
	    .idle_timeout = 5 * DFF_SEC};

	answer->body = g_string_new(NULL);
	ck_assert_ptr_nonnull(
	    dff_httpc_start(client, &call, &handlers, answer));
	return answer;
}

static void
wait_for_end(answer_t *answer)
{
	while (!answer->done)
		(void)uv_run(loop, UV_RUN_ONCE);
}

static void
free_answer(answer_t *answer)
{
	g_string_free(answer->body, TRUE);
	g_free(answer);
}

static answer_t *
send_and_wait(const char *addr, const char *path, const char *body)
{
	answer_t *answer = send_request(addr, path, body, NULL);

	wait_for_end(answer);
	return answer;
}

/* Send a request; expect a status and a text in the body. */
static void
expect_answer(const char *addr, const char *path, const char *body, int status,
    const char *text)
{
	answer_t *answer = send_and_wait(addr, path, body);

	ck_assert_int_eq(answer->end, DFF_HTTPC_DONE);
	ck_assert_msg(answer->status == status, "%s: status %d, %s", path,
	    answer->status, answer->body->str);
	ck_assert_msg(strstr(answer->body->str, text) != NULL,
	    "%s: no %s in %s", path, text, answer->body->str);
	free_answer(answer);
}

static void
wait_until_listening(const char *addr)
{
	dff_time_t until = dff_program_now() + START_TIME;

	for (;;) {
		/* A plain service runs a request for any other path. */
		answer_t *answer = send_and_wait(addr, "/load", NULL);
		dff_httpc_end_t end = answer->end;

		free_answer(answer);
		if (end == DFF_HTTPC_DONE)
			return;
		ck_assert_msg(
		    dff_program_now() < until, "%s does not listen", addr);
		g_usleep(20 * 1000);
	}
}

/* Start a program of the build folder under test and wait until it listens. */
static pid_t
start_program(const char *addr, const char *command)
{
	const char *folder = g_getenv("DFF_BUILD");
	char *line = g_strdup_printf("%s/%s --addr=%s --log-level=err",
	    folder != NULL ? folder : "build/plain", command, addr);
	char **argv;
	pid_t pid;

	ck_assert(g_shell_parse_argv(line, NULL, &argv, NULL));
	pid = fork();
	ck_assert_int_ge(pid, 0);
	if (pid == 0) {
		(void)execv(argv[0], argv);
		_exit(127);
	}
	g_strfreev(argv);
	g_free(line);
	g_array_append_val(children, pid);
	wait_until_listening(addr);
	return pid;
}

static void
set_up(void)
{
	loop = uv_default_loop();
	ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	client = dff_httpc_new(ctx, loop);
	children = g_array_new(FALSE, FALSE, sizeof(pid_t));
	(void)signal(SIGPIPE, SIG_IGN);
}

static void
tear_down(void)
{
	for (guint i = 0; i < children->len; i++) {
		pid_t pid = g_array_index(children, pid_t, i);

		(void)kill(pid, SIGKILL);
		(void)waitpid(pid, NULL, 0);
	}
	g_array_unref(children);
	dff_httpc_drop(client);
	for (int i = 0; i < 50; i++)
		(void)uv_run(loop, UV_RUN_NOWAIT);
	dff_ctx_drop(ctx);
}

START_TEST(log_keeps_records_and_fails_on_demand)
{
	answer_t *waiting;
	answer_t *lost;

	start_program(PLATFORM, "dff-platform");
	expect_answer(PLATFORM, "/log/claims", "abc", 200, "\"offset\":1");
	expect_answer(PLATFORM, "/log/claims?from=1", NULL, 200, "\"YWJj\"");
	expect_answer(PLATFORM, "/log/nonsense", "abc", 404, "unknown");
	waiting = send_request(
	    PLATFORM, "/log/claims?from=2&wait_ms=4000", NULL, NULL);
	expect_answer(PLATFORM, "/log/claims", "second", 200, "\"offset\":2");
	wait_for_end(waiting);
	ck_assert_ptr_nonnull(strstr(waiting->body->str, "\"offset\":2"));
	free_answer(waiting);
	expect_answer(
	    PLATFORM, "/control/lose-answers", "{\"count\":1}", 200, "{}");
	lost = send_and_wait(PLATFORM, "/log/claims", "third");
	ck_assert_int_eq(lost->end, DFF_HTTPC_BROKEN);
	free_answer(lost);
	expect_answer(
	    PLATFORM, "/log/claims?from=3", NULL, 200, "\"offset\":3");
	expect_answer(PLATFORM, "/control/outage",
	    "{\"appends\":true,\"reads\":true,\"vms\":true}", 200, "{}");
	expect_answer(PLATFORM, "/log/claims", "x", 503, "out");
	expect_answer(PLATFORM, "/log/claims?from=1", NULL, 503, "out");
	expect_answer(PLATFORM, "/vms", NULL, 503, "out");
	expect_answer(PLATFORM, "/control/outage", "{}", 200, "{}");
	expect_answer(PLATFORM, "/log/claims?from=4", NULL, 200, "\"next\":4");
}
END_TEST

START_TEST(vm_list_and_weight_loads_are_served)
{
	start_program(
	    PLATFORM, "dff-platform --vm-lag=0 --weights-every=60000");
	expect_answer(PLATFORM, "/control/vm",
	    "{\"id\":\"e1\",\"addr\":\"127.0.0.1:9\",\"domain\":\"a\","
	    "\"pool\":\"p\",\"kind\":\"engine\"}",
	    200, "{}");
	expect_answer(PLATFORM, "/vms", NULL, 200, "\"state\":\"live\"");
	expect_answer(PLATFORM, "/control/vm",
	    "{\"id\":\"e1\",\"state\":\"leaving\"}", 200, "{}");
	expect_answer(PLATFORM, "/vms", NULL, 200, "\"state\":\"leaving\"");
	expect_answer(PLATFORM, "/control/vm",
	    "{\"id\":\"e1\",\"state\":\"gone\"}", 200, "{}");
	expect_answer(PLATFORM, "/vms", NULL, 200, "{\"vms\":[]}");
	expect_answer(PLATFORM, "/weights",
	    "{\"model\":\"m\",\"engine\":\"e1\"}", 200, "{}");
	expect_answer(PLATFORM, "/weights",
	    "{\"model\":\"m\",\"engine\":\"e2\"}", 429, "retry_after_ms");
}
END_TEST

START_TEST(answer_is_complete_and_resumable)
{
	answer_t *whole;
	answer_t *rest;

	start_program(ENGINE, "dff-engine --step-us=2000");
	whole = send_and_wait(ENGINE, "/v1/generate",
	    "{\"id\":1,\"model\":\"model\",\"prompt\":\"abc\","
	    "\"max_tokens\":8}");
	rest = send_and_wait(ENGINE, "/v1/generate",
	    "{\"id\":2,\"model\":\"model\",\"prompt\":\"abc\","
	    "\"max_tokens\":8,\"resume_at\":5}");
	ck_assert(g_str_has_prefix(whole->body->str, "{\"i\":0,"));
	ck_assert(g_str_has_prefix(rest->body->str, "{\"i\":5,"));
	ck_assert_ptr_nonnull(strstr(whole->body->str, rest->body->str));
	ck_assert_ptr_nonnull(strstr(rest->body->str, "\"output\":8}\n"));
	free_answer(whole);
	free_answer(rest);
	expect_answer(ENGINE, "/v1/generate",
	    "{\"id\":3,\"model\":\"other\",\"prompt\":\"abc\"}", 409, "model");
	expect_answer(ENGINE, "/v1/generate", "no JSON", 400, "malformed");
}
END_TEST

START_TEST(orders_are_checked)
{
	start_program(ENGINE, "dff-engine --check-fence --role-away=100");
	expect_answer(ENGINE, "/v1/orders",
	    "{\"order\":7,\"fence\":5,\"kind\":\"role\","
	    "\"target\":\"prefill\"}",
	    202, "accepted");
	expect_answer(ENGINE, "/v1/generate",
	    "{\"id\":1,\"model\":\"model\",\"prompt\":\"abc\"}", 503, "away");
	g_usleep(200 * 1000);
	expect_answer(ENGINE, "/v1/state", NULL, 200, "\"role\":\"prefill\"");
	expect_answer(ENGINE, "/v1/generate",
	    "{\"id\":1,\"model\":\"model\",\"prompt\":\"abc\"}", 409, "role");
	expect_answer(ENGINE, "/v1/orders",
	    "{\"order\":6,\"fence\":4,\"kind\":\"role\","
	    "\"target\":\"decode\"}",
	    409, "\"fence\":5");
	expect_answer(ENGINE, "/v1/orders",
	    "{\"order\":8,\"fence\":5,\"kind\":\"role\",\"target\":\"chief\"}",
	    422, "refused");
}
END_TEST

START_TEST(poison_crashes_engine_until_restart)
{
	answer_t *answer;

	start_program(ENGINE, "dff-engine --poison=BAD --restart-away=600");
	answer = send_and_wait(ENGINE, "/v1/generate",
	    "{\"id\":1,\"model\":\"model\",\"prompt\":\"so BAD\"}");
	ck_assert_int_eq(answer->end, DFF_HTTPC_BROKEN);
	free_answer(answer);
	answer = send_and_wait(ENGINE, "/v1/state", NULL);
	ck_assert_int_eq(answer->end, DFF_HTTPC_CONNECT_FAILED);
	free_answer(answer);
	wait_until_listening(ENGINE);
	expect_answer(ENGINE, "/v1/generate",
	    "{\"id\":2,\"model\":\"model\",\"prompt\":\"good\"}", 200, "end");
}
END_TEST

START_TEST(kv_cache_is_transferred)
{
	answer_t *whole;
	answer_t *decoded;

	start_program(ENGINE, "dff-engine --role=prefill");
	start_program(ENGINE2, "dff-engine");
	expect_answer(ENGINE, "/v1/generate",
	    "{\"id\":11,\"model\":\"model\",\"prompt\":\"abc\","
	    "\"max_tokens\":6,\"phase\":\"prefill\"}",
	    200, "\"output\":0");
	decoded = send_and_wait(ENGINE2, "/v1/generate",
	    "{\"id\":12,\"model\":\"model\",\"prompt\":\"abc\","
	    "\"max_tokens\":6,\"phase\":\"decode\",\"kv_addr\":\"" ENGINE
	    "\",\"kv_id\":11}");
	whole = send_and_wait(ENGINE2, "/v1/generate",
	    "{\"id\":13,\"model\":\"model\",\"prompt\":\"abc\","
	    "\"max_tokens\":6}");
	ck_assert_int_eq(decoded->status, 200);
	ck_assert_ptr_nonnull(strstr(decoded->body->str, "\"i\":5,"));
	ck_assert_ptr_nonnull(strstr(decoded->body->str, "\"cached\":1"));
	ck_assert_int_eq(strncmp(decoded->body->str, whole->body->str, 60), 0);
	free_answer(decoded);
	free_answer(whole);
	expect_answer(ENGINE2, "/v1/generate",
	    "{\"id\":14,\"model\":\"model\",\"prompt\":\"abc\","
	    "\"max_tokens\":6,\"phase\":\"decode\",\"kv_addr\":\"" ENGINE
	    "\",\"kv_id\":11}",
	    409, "kv");
}
END_TEST

START_TEST(service_keeps_a_journal)
{
	answer_t *answer;

	start_program(SERVICE, "dff-service");
	answer =
	    send_request(SERVICE, "/pay", "crate", "idempotency-key: k1\r\n");
	wait_for_end(answer);
	ck_assert_int_eq(answer->status, 200);
	ck_assert_ptr_nonnull(strstr(answer->body->str, "\"ran\":1"));
	free_answer(answer);
	expect_answer(SERVICE, "/control/journal", NULL, 200, "[\"k1\"]");
	expect_answer(SERVICE, "/load", NULL, 200, "\"slots\":8");
}
END_TEST

START_TEST(stop_waits_for_running_answer)
{
	pid_t pid = start_program(ENGINE, "dff-engine --step-us=20000");
	answer_t *answer;
	int status;

	answer = send_request(ENGINE, "/v1/generate",
	    "{\"id\":1,\"model\":\"model\",\"prompt\":\"abc\","
	    "\"max_tokens\":30}",
	    NULL);
	while (answer->body->len == 0)
		(void)uv_run(loop, UV_RUN_ONCE);
	ck_assert_int_eq(kill(pid, SIGTERM), 0);
	wait_for_end(answer);
	ck_assert_int_eq(answer->end, DFF_HTTPC_DONE);
	ck_assert_ptr_nonnull(strstr(answer->body->str, "\"output\":30}"));
	free_answer(answer);
	ck_assert_int_eq(waitpid(pid, &status, 0), pid);
	ck_assert(WIFEXITED(status));
	ck_assert_int_eq(WEXITSTATUS(status), 0);
	g_array_set_size(children, 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("process_standins");
	TCase *tcase = tcase_create("process_standins");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase, log_keeps_records_and_fails_on_demand);
	tcase_add_test(tcase, vm_list_and_weight_loads_are_served);
	tcase_add_test(tcase, answer_is_complete_and_resumable);
	tcase_add_test(tcase, orders_are_checked);
	tcase_add_test(tcase, poison_crashes_engine_until_restart);
	tcase_add_test(tcase, kv_cache_is_transferred);
	tcase_add_test(tcase, service_keeps_a_journal);
	tcase_add_test(tcase, stop_waits_for_running_answer);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
