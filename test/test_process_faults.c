#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "dragonflyfall/program.h"
#include "fake/fleet.h"

/* Returns the text of a streamed answer's events. */
static char *
stream_text(const char *answer)
{
	GString *text = g_string_new(NULL);

	while ((answer = strstr(answer, "data: {")) != NULL) {
		json_t *event;

		answer += strlen("data: ");
		event = json_loads(answer, JSON_DISABLE_EOF_CHECK, NULL);
		if (json_object_get(event, "text") != NULL)
			g_string_append(text,
			    json_string_value(json_object_get(event, "text")));
		json_decref(event);
	}
	return g_string_free(text, FALSE);
}

static process_t *
busy_engine(fleet_t *fleet)
{
	if (fleet_engine_running(fleet, FLEET_ENGINE) > 0)
		return &fleet->engine;
	return &fleet->engine2;
}

/* Sends @signum to the engine that runs a call; another engine must resume it,
 * and the caller's answer must be complete and unchanged. */
static void
check_resumed(int signum)
{
	process_t *engine;
	fleet_t fleet;
	char *undisturbed;
	char *answer;
	char *text;
	int fd;

	fleet_open(&fleet, 60);
	fd = fleet_send_call("condition-assessment", 100, 60);
	answer = netloop_read_all(&fleet.net, fd);
	close(fd);
	undisturbed = stream_text(answer);
	g_free(answer);
	fd = fleet_send_call("condition-assessment", 100, 60);
	fleet_wait_running(&fleet, 1);
	netloop_run(&fleet.net, 150 * DFF_MSEC);
	engine = busy_engine(&fleet);
	ck_assert_int_eq(kill(engine->pid, signum), 0);
	answer = netloop_read_all(&fleet.net, fd);
	close(fd);
	text = stream_text(answer);
	ck_assert_msg(strstr(answer, "data: [DONE]") != NULL, "%s", answer);
	ck_assert_str_eq(text, undisturbed);
	ck_assert_int_ge(
	    fleet_metric(&fleet, FLEET_ENTRY, "dff_resumes_total"), 1);
	(void)process_stop(engine, SIGKILL);
	g_free(undisturbed);
	g_free(answer);
	g_free(text);
	fleet_close(&fleet);
}

START_TEST(faults_engine_killed_in_an_answer)
{
	check_resumed(SIGKILL);
}
END_TEST

START_TEST(faults_engine_paused_in_an_answer)
{
	check_resumed(SIGSTOP);
}
END_TEST

START_TEST(faults_service_killed_in_a_payout)
{
	fleet_t fleet;
	reply_t reply;
	json_t *body;

	fleet_open(&fleet, 60);
	/* A payout takes 3 s; the service is killed while it runs. */
	ck_assert_int_eq(process_stop(&fleet.service, SIGTERM), 0);
	process_start(&fleet.service,
	    "dff-service --addr " FLEET_SERVICE
	    " --id s1 --run-time 3000 --restart-away 0");
	http_wait(&fleet.net, FLEET_SERVICE, "/load", 200);
	netloop_run(&fleet.net, 300 * DFF_MSEC);
	process_kill_later(&fleet.net, &fleet.service, 500 * DFF_MSEC);
	http_call(&fleet.net, FLEET_ENTRY, "/service/seller-payout",
	    FLEET_OWNER "idempotency-key: k7\r\n", "{\"pay\":1}", &reply);
	ck_assert_msg(strstr(reply.body, "\"ran\":\"unknown\"") != NULL,
	    "%d %s", reply.status, reply.body);
	reply_clear(&reply);
	(void)process_stop(&fleet.service, SIGKILL);
	fleet_start_service(&fleet);
	http_wait(&fleet.net, FLEET_SERVICE, "/load", 200);
	netloop_run(&fleet.net, 500 * DFF_MSEC);
	/* It is not run again, even if the caller repeats it. */
	for (int i = 0; i < 3; i++) {
		http_call(&fleet.net, FLEET_ENTRY, "/service/seller-payout",
		    FLEET_OWNER "idempotency-key: k7\r\n", "{\"pay\":1}",
		    &reply);
		ck_assert_msg(strstr(reply.body, "\"ran\":\"unknown\"") != NULL,
		    "%d %s", reply.status, reply.body);
		reply_clear(&reply);
	}
	/* A payout with another key runs, as the first in the new process. */
	http_call(&fleet.net, FLEET_ENTRY, "/service/seller-payout",
	    FLEET_OWNER "idempotency-key: k8\r\n", "{\"pay\":1}", &reply);
	ck_assert_msg(reply.status == 200, "%s", reply.body);
	body = json_loads(reply.body, 0, NULL);
	ck_assert_int_eq(json_integer_value(json_object_get(body, "ran")), 1);
	json_decref(body);
	reply_clear(&reply);
	fleet_close(&fleet);
}
END_TEST

START_TEST(faults_platform_killed)
{
	fleet_t fleet;
	reply_t reply;

	fleet_open(&fleet, 60);
	(void)process_stop(&fleet.platform, SIGKILL);
	netloop_run(&fleet.net, 300 * DFF_MSEC);
	/* Calls that need no log are served; those that need it are refused. */
	fleet_ask(&fleet, FLEET_OWNER,
	    "{\"model\":\"serial-lookup\",\"prompt\":\"x\",\"max_tokens\":2}",
	    &reply);
	ck_assert_msg(reply.status == 200, "%s", reply.body);
	reply_clear(&reply);
	http_call(&fleet.net, FLEET_ENTRY, "/service/seller-payout",
	    FLEET_OWNER "idempotency-key: k9\r\n", "{\"pay\":1}", &reply);
	ck_assert_int_eq(reply.status, 503);
	ck_assert_ptr_nonnull(strstr(reply.body, "\"ran\":\"not_run\""));
	ck_assert_ptr_nonnull(reply.retry_after);
	reply_clear(&reply);
	/* Without peers and the log the entry soon accepts no calls at all. */
	http_wait(&fleet.net, FLEET_ENTRY, "/healthz", 503);
	fleet_close(&fleet);
}
END_TEST

START_TEST(faults_stop_is_bounded)
{
	dff_time_t start;
	fleet_t fleet;
	char *answer;
	int fd;

	/* 1.5 s of prefill, then 0.6 s of tokens, against 500 ms of
	 * draining. */
	fleet_open(&fleet, 1500);
	ck_assert_int_eq(process_stop(&fleet.entry, SIGTERM), 0);
	process_start(&fleet.entry,
	    "dff-entry --id e1 --domain d1 --listen " FLEET_ENTRY
	    " --peer-listen " FLEET_ENTRY_PEER " --platform " FLEET_PLATFORM
	    " --drain-time 500");
	http_wait(&fleet.net, FLEET_ENTRY, "/healthz", 200);
	netloop_run(&fleet.net, 500 * DFF_MSEC);
	fd = fleet_send_call("condition-assessment", 4000, 50);
	fleet_wait_running(&fleet, 1);
	start = dff_program_now();
	ck_assert_int_eq(kill(fleet.entry.pid, SIGTERM), 0);
	answer = netloop_read_all(&fleet.net, fd);
	ck_assert_ptr_nonnull(strstr(answer, "\"error\":"));
	ck_assert_ptr_null(strstr(answer, "[DONE]"));
	while (!process_ended(&fleet.entry))
		netloop_run(&fleet.net, 10 * DFF_MSEC);
	ck_assert_int_lt(dff_program_now() - start, 1500 * DFF_MSEC);
	/* The engine's attempt is cancelled too. */
	fleet_wait_running(&fleet, 0);
	ck_assert_int_lt(dff_program_now() - start, 1800 * DFF_MSEC);
	close(fd);
	g_free(answer);
	fleet_close(&fleet);
}
END_TEST

START_TEST(faults_second_signal_ends_at_once)
{
	dff_time_t start;
	fleet_t fleet;
	int fd;

	fleet_open(&fleet, 1500);
	fd = fleet_send_call("condition-assessment", 4000, 50);
	fleet_wait_running(&fleet, 1);
	ck_assert_int_eq(kill(fleet.entry.pid, SIGTERM), 0);
	netloop_run(&fleet.net, 100 * DFF_MSEC);
	ck_assert(!process_ended(&fleet.entry));
	start = dff_program_now();
	ck_assert_int_eq(process_stop(&fleet.entry, SIGTERM), 130);
	ck_assert_int_lt(dff_program_now() - start, 200 * DFF_MSEC);
	close(fd);
	fleet_close(&fleet);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("faults");
	TCase *tcase = tcase_create("faults");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, faults_engine_killed_in_an_answer);
	tcase_add_test(tcase, faults_engine_paused_in_an_answer);
	tcase_add_test(tcase, faults_service_killed_in_a_payout);
	tcase_add_test(tcase, faults_platform_killed);
	tcase_add_test(tcase, faults_stop_is_bounded);
	tcase_add_test(tcase, faults_second_signal_ends_at_once);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
