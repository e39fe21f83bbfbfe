/*
 * Requests that crash each upstream that begins them and are repeated at any
 * node, and other requests at these upstreams, which must be served.
 */
#include <check.h>
#include <stdlib.h>

#include "fake/crash_sim.h"

/* Most sends to live upstreams later than 3 s after the third crash. */
#define LATE_SENDS_MAX 3

static const crash_sim_config_t default_config = {.nodes = 9,
    .upstreams = 12,
    .restart_delay = 2 * DFF_SEC,
    .record_expiry = 3 * DFF_SEC};

static void
teardown(void)
{
	crash_sim_stop();
}

/* Nodes get different loads, so that concurrent copies go to different
 * upstreams. */
static void
keep_busy(int node, int requests)
{
	static uint64_t harmless = CRASH_CONTENT;

	for (int i = 0; i < requests; i++)
		crash_sim_request(node, "/order/y", ++harmless);
}

/* The request is repeated for 40 s, @copies at a time, at the nodes in turn. */
static void
repeat_request(const char *target, int copies, dff_time_t every, int nodes)
{
	int index = 0;

	for (dff_time_t t = 0; t < 40 * DFF_SEC; t += every) {
		for (int i = 0; i < copies; i++) {
			int node = index++ % nodes;

			keep_busy(node, i);
			crash_sim_request(node, target, CRASH_CONTENT);
		}
		crash_sim_advance(every);
	}
}

static void
check_crashes(int crashes_max)
{
	ck_assert_int_le(crash_sim_counts()->late_sends, LATE_SENDS_MAX);
	ck_assert_int_le(crash_sim_counts()->crashes, crashes_max);
}

START_TEST(repeated_request_crashes_few_upstreams)
{
	crash_sim_start(&default_config);
	repeat_request("/order/x", 1, DFF_SEC, default_config.nodes);
	check_crashes(3);
}
END_TEST

START_TEST(repeated_idempotent_request_crashes_few_upstreams)
{
	crash_sim_start(&default_config);
	repeat_request("/read/x", 1, DFF_SEC, default_config.nodes);
	check_crashes(3);
}
END_TEST

START_TEST(concurrent_copies_at_all_nodes_cause_no_later_crashes)
{
	crash_sim_start(&default_config);
	repeat_request("/order/x", 9, 4 * DFF_SEC, default_config.nodes);
	check_crashes(9);
}
END_TEST

START_TEST(concurrent_copies_in_large_fleet_cause_no_later_crashes)
{
	crash_sim_config_t config = default_config;

	config.nodes = 27;
	crash_sim_start(&config);
	repeat_request("/order/x", 5, 4 * DFF_SEC, config.nodes);
	check_crashes(5);
}
END_TEST

START_TEST(crashes_count_while_records_are_late)
{
	crash_sim_config_t config = default_config;

	config.restart_delay = 8 * DFF_SEC;
	config.record_expiry = 6 * DFF_SEC;
	crash_sim_start(&config);
	repeat_request("/order/x", 1, 2 * DFF_SEC, config.nodes);
	check_crashes(3);
}
END_TEST

START_TEST(crashes_count_without_any_record)
{
	crash_sim_config_t config = default_config;

	config.record_expiry = DFF_TIME_NEVER;
	crash_sim_start(&config);
	repeat_request("/order/x", 1, DFF_SEC, config.nodes);
	check_crashes(3);
}
END_TEST

START_TEST(crashes_without_connection_reset_count)
{
	crash_sim_config_t config = default_config;

	config.silent_crash = true;
	config.restart_delay = 6 * DFF_SEC;
	config.record_expiry = 5 * DFF_SEC;
	crash_sim_start(&config);
	repeat_request("/order/x", 1, 4 * DFF_SEC, config.nodes);
	check_crashes(3);
}
END_TEST

/* Callers wait for less than the time after which an upstream counts as
 * silent. */
START_TEST(crashes_of_requests_that_were_given_up_count)
{
	crash_sim_config_t config = default_config;

	config.silent_crash = true;
	config.restart_delay = 3 * DFF_SEC;
	config.record_expiry = 4 * DFF_SEC;
	crash_sim_start(&config);
	for (int i = 0; i < 40; i++) {
		crash_sim_request(i % config.nodes, "/order/x", CRASH_CONTENT);
		crash_sim_advance(200 * DFF_MSEC);
		crash_sim_hang_up(i % config.nodes);
		crash_sim_advance(800 * DFF_MSEC);
	}
	check_crashes(6);
}
END_TEST

/* The callers of a sound request hang up, and their upstreams crash for other
 * reasons after they have answered others. */
START_TEST(requests_given_up_before_an_answer_of_the_upstream_are_no_evidence)
{
	crash_sim_config_t config = default_config;

	config.silent_crash = true;
	config.upstreams = 2;
	config.nodes = 2;
	crash_sim_start(&config);
	for (int i = 0; i < 6; i++) {
		crash_sim_request(0, "/order/y", CRASH_CONTENT + 1);
		crash_sim_advance(20 * DFF_MSEC);
		crash_sim_hang_up(0);
		for (int k = 0; k < 4; k++)
			crash_sim_request(
			    0, "/order/z", CRASH_CONTENT + 10 + i * 4 + k);
		crash_sim_advance(300 * DFF_MSEC);
		crash_sim_crash_all();
		crash_sim_advance(10 * DFF_SEC);
	}
	crash_sim_request(0, "/order/y", CRASH_CONTENT + 1);
	crash_sim_advance(DFF_SEC);
	ck_assert_int_eq(crash_sim_counts()->suspected, 0);
	ck_assert_int_gt(crash_sim_served(0), 0);
}
END_TEST

START_TEST(prompt_crashes_few_engines)
{
	crash_sim_config_t config = default_config;

	config.engines = true;
	crash_sim_start(&config);
	for (int i = 0; i < 40; i++) {
		crash_sim_request_prompt(i % config.nodes, CRASH_CONTENT);
		crash_sim_advance(DFF_SEC);
	}
	check_crashes(3);
}
END_TEST

/* Two upstreams crash, and all nodes that exchange frames know of it. */
static void
cause_refusal(void)
{
	for (int i = 0; i < 4; i++) {
		crash_sim_request(i, "/order/x", CRASH_CONTENT);
		crash_sim_advance(5 * DFF_SEC);
	}
	ck_assert_int_eq(crash_sim_status(3), 503);
}

START_TEST(started_node_learns_refused_requests)
{
	int crashes;

	crash_sim_start(&default_config);
	cause_refusal();
	crashes = crash_sim_counts()->crashes;
	crash_sim_restart(7);
	crash_sim_advance(3 * DFF_SEC);
	crash_sim_request(7, "/order/x", CRASH_CONTENT);
	crash_sim_advance(DFF_SEC);
	ck_assert_int_eq(crash_sim_status(7), 503);
	ck_assert_int_eq(crash_sim_counts()->crashes, crashes);
}
END_TEST

/* All nodes restart at once, and each receives the request. */
static void
restart_fleet(void)
{
	for (int i = 0; i < default_config.nodes; i++)
		crash_sim_restart(i);
	for (int i = 0; i < default_config.nodes; i++)
		crash_sim_request(i, "/order/x", CRASH_CONTENT);
	crash_sim_advance(DFF_SEC);
}

START_TEST(restarted_fleet_remembers_refused_request)
{
	int crashes;

	crash_sim_start(&default_config);
	cause_refusal();
	crashes = crash_sim_counts()->crashes;
	restart_fleet();
	ck_assert_int_eq(crash_sim_counts()->crashes, crashes);
	ck_assert_int_eq(crash_sim_status(0), 503);
}
END_TEST

START_TEST(restarted_fleet_remembers_concurrent_copies)
{
	int crashes;

	crash_sim_start(&default_config);
	for (int i = 0; i < default_config.nodes; i++) {
		keep_busy(i, i);
		crash_sim_request(i, "/order/x", CRASH_CONTENT);
	}
	crash_sim_advance(5 * DFF_SEC);
	crashes = crash_sim_counts()->crashes;
	ck_assert_int_gt(crashes, 2);
	restart_fleet();
	ck_assert_int_eq(crash_sim_counts()->crashes, crashes);
}
END_TEST

START_TEST(node_after_partition_learns_refused_requests)
{
	crash_sim_start(&default_config);
	crash_sim_partition(7, true);
	cause_refusal();
	crash_sim_partition(7, false);
	crash_sim_advance(3 * DFF_SEC);
	crash_sim_request(7, "/order/x", CRASH_CONTENT);
	ck_assert_int_eq(crash_sim_status(7), 503);
}
END_TEST

START_TEST(refusal_retry_after_is_its_end)
{
	dff_time_t left;

	crash_sim_start(&default_config);
	cause_refusal();
	crash_sim_request(5, "/order/x", CRASH_CONTENT);
	left = crash_sim_retry_after(5);
	ck_assert_int_gt(left, 30 * DFF_SEC);
	crash_sim_advance(left);
	crash_sim_request(6, "/order/x", CRASH_CONTENT);
	ck_assert_int_eq(crash_sim_status(6), 0);
}
END_TEST

START_TEST(refusal_ends_without_further_requests)
{
	crash_sim_start(&default_config);
	cause_refusal();
	crash_sim_advance(5 * 60 * DFF_SEC);
	crash_sim_request(0, "/order/x", CRASH_CONTENT);
	ck_assert_int_eq(crash_sim_status(0), 0);
}
END_TEST

/* A request in flight when other requests with its content cause the
 * refusal. */
START_TEST(prompt_refused_during_prefill_is_not_decoded)
{
	crash_sim_config_t config = default_config;

	config.engines = true;
	config.prefill_is_safe = true;
	crash_sim_start(&config);
	crash_sim_request_prompt(0, CRASH_CONTENT);
	crash_sim_advance(160 * DFF_MSEC);
	crash_sim_request_prompt(1, CRASH_CONTENT);
	crash_sim_advance(130 * DFF_MSEC);
	/* The second crash is detected while this prompt is being read. */
	crash_sim_request_prompt(2, CRASH_CONTENT);
	crash_sim_advance(5 * DFF_SEC);
	ck_assert_int_eq(crash_sim_counts()->crashes, 2);
	ck_assert_int_eq(crash_sim_status(2), 503);
	ck_assert_int_gt(crash_sim_retry_after(2), 30 * DFF_SEC);
}
END_TEST

/* ---- requests that crash nothing ---- */

START_TEST(other_requests_at_crashed_upstream_are_served)
{
	crash_sim_start(&default_config);
	for (int i = 0; i < default_config.nodes; i++) {
		crash_sim_request(i, "/read/y", CRASH_CONTENT + 1);
		crash_sim_request(i, "/read/y", CRASH_CONTENT + 2);
	}
	crash_sim_request(0, "/order/x", CRASH_CONTENT);
	crash_sim_advance(10 * DFF_SEC);
	ck_assert_int_eq(crash_sim_counts()->refused, 0);
	ck_assert_int_eq(
	    crash_sim_counts()->answered, 2 * default_config.nodes);
}
END_TEST

/* Its connections break off and no new one can be made, to any upstream. */
START_TEST(node_without_upstream_connections_adds_no_evidence)
{
	crash_sim_config_t config = default_config;

	config.unreliable_node = 4;
	config.upstreams = 3;
	crash_sim_start(&config);
	for (int i = 0; i < 10; i++) {
		crash_sim_request(4, "/read/y", CRASH_CONTENT + 1);
		crash_sim_advance(DFF_SEC);
	}
	crash_sim_request(5, "/read/y", CRASH_CONTENT + 1);
	crash_sim_advance(DFF_SEC);
	ck_assert_int_eq(crash_sim_served(5), 1);
	ck_assert_int_eq(crash_sim_counts()->suspected, 0);
}
END_TEST

START_TEST(lost_answers_add_no_evidence)
{
	crash_sim_config_t config = default_config;

	config.lost_every = 2;
	crash_sim_start(&config);
	for (int i = 0; i < 30; i++) {
		crash_sim_request(
		    i % config.nodes, "/order/y", CRASH_CONTENT + 1);
		crash_sim_advance(DFF_SEC);
	}
	ck_assert_int_eq(crash_sim_counts()->refused, 0);
	ck_assert_int_eq(crash_sim_counts()->answered, 15);
}
END_TEST

START_TEST(answered_request_is_no_longer_suspected)
{
	crash_sim_start(&default_config);
	/* Its upstream crashes repeatedly, and other nodes get answers in
	 * between. */
	for (int i = 0; i < 6; i++) {
		crash_sim_request(i, "/order/y", CRASH_CONTENT + 1);
		crash_sim_advance(50 * DFF_MSEC);
		crash_sim_crash_all();
		crash_sim_advance(6 * DFF_SEC);
		crash_sim_request((i + 3) % default_config.nodes, "/order/y",
		    CRASH_CONTENT + 1);
		crash_sim_advance(DFF_SEC);
	}
	ck_assert_int_eq(crash_sim_counts()->refused, 0);
	ck_assert_int_eq(crash_sim_counts()->answered, 6);
}
END_TEST

/* Bytes of frames in a time without requests; one periodic frame more or less
 * is below 1 %. */
static uint64_t
count_idle_bytes(void)
{
	uint64_t before = crash_sim_bytes();

	crash_sim_advance(30 * DFF_SEC);
	return crash_sim_bytes() - before;
}

START_TEST(answer_evidence_is_not_sent_forever)
{
	crash_sim_config_t config = default_config;
	uint64_t idle_bytes;

	config.nodes = 27;
	crash_sim_start(&config);
	/* Sequence numbers of frames need more bytes after a while. */
	crash_sim_advance(60 * DFF_SEC);
	idle_bytes = count_idle_bytes();
	crash_sim_request(0, "/order/y", CRASH_CONTENT + 1);
	crash_sim_advance(50 * DFF_MSEC);
	crash_sim_crash_all();
	crash_sim_advance(6 * DFF_SEC);
	crash_sim_request(1, "/order/y", CRASH_CONTENT + 1);
	crash_sim_advance(20 * DFF_SEC);
	ck_assert_int_eq(crash_sim_counts()->answered, 1);
	ck_assert_uint_le(count_idle_bytes(), idle_bytes + idle_bytes / 50);
}
END_TEST

START_TEST(crashes_after_an_answer_count_again)
{
	crash_sim_config_t config = default_config;

	config.nodes = 27;
	crash_sim_start(&config);
	for (int i = 0; i < 4; i++) {
		crash_sim_request(i, "/order/y", CRASH_CONTENT + 1);
		crash_sim_advance(50 * DFF_MSEC);
		/* The second request is answered. */
		if (i != 1)
			crash_sim_crash_all();
		crash_sim_advance(30 * DFF_SEC);
	}
	ck_assert_int_eq(crash_sim_counts()->answered, 1);
	crash_sim_request(4, "/order/y", CRASH_CONTENT + 1);
	ck_assert_int_eq(crash_sim_status(4), 503);
}
END_TEST

START_TEST(stored_evidence_past_its_retention_is_not_loaded)
{
	relay_bench_t *bench = relay_bench_new();
	dff_relay_event_t event = {.type = DFF_RELAY_CRASH_REPORT};

	bench->now = 2 * 3600 * DFF_SEC;
	relay_bench_load_routing(bench, 1);
	relay_bench_load_upstream(bench, "p1", "plain", DFF_ROLE_MIXED, "a", 1);
	event.crash_report.content_hash = CRASH_CONTENT;
	event.crash_report.age = 3600 * DFF_SEC;
	event.crash_report.count = 1;
	event.crash_report.crashes[0].upstream = 1;
	event.crash_report.crashes[0].count = 2;
	relay_bench_step(bench, &event);
	/* One more crash would refuse the request if the report counted. */
	event.crash_report.age = DFF_SEC;
	event.crash_report.crashes[0].upstream = 2;
	event.crash_report.crashes[0].count = 1;
	relay_bench_step(bench, &event);
	(void)relay_bench_open(bench, "/read/x", CRASH_CONTENT);
	ck_assert_int_eq(relay_bench_answer(bench), 0);
	relay_bench_drop(bench);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_suspect");
	TCase *tcase = tcase_create("relay_suspect");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, NULL, teardown);
	tcase_add_test(tcase, repeated_request_crashes_few_upstreams);
	tcase_add_test(
	    tcase, repeated_idempotent_request_crashes_few_upstreams);
	tcase_add_test(
	    tcase, concurrent_copies_at_all_nodes_cause_no_later_crashes);
	tcase_add_test(
	    tcase, concurrent_copies_in_large_fleet_cause_no_later_crashes);
	tcase_add_test(tcase, crashes_count_while_records_are_late);
	tcase_add_test(tcase, crashes_count_without_any_record);
	tcase_add_test(tcase, crashes_without_connection_reset_count);
	tcase_add_test(tcase, crashes_of_requests_that_were_given_up_count);
	tcase_add_test(tcase,
	    requests_given_up_before_an_answer_of_the_upstream_are_no_evidence);
	tcase_add_test(tcase, prompt_crashes_few_engines);
	tcase_add_test(tcase, started_node_learns_refused_requests);
	tcase_add_test(tcase, restarted_fleet_remembers_refused_request);
	tcase_add_test(tcase, restarted_fleet_remembers_concurrent_copies);
	tcase_add_test(tcase, node_after_partition_learns_refused_requests);
	tcase_add_test(tcase, refusal_retry_after_is_its_end);
	tcase_add_test(tcase, refusal_ends_without_further_requests);
	tcase_add_test(tcase, prompt_refused_during_prefill_is_not_decoded);
	tcase_add_test(tcase, other_requests_at_crashed_upstream_are_served);
	tcase_add_test(
	    tcase, node_without_upstream_connections_adds_no_evidence);
	tcase_add_test(tcase, lost_answers_add_no_evidence);
	tcase_add_test(tcase, answered_request_is_no_longer_suspected);
	tcase_add_test(tcase, answer_evidence_is_not_sent_forever);
	tcase_add_test(tcase, crashes_after_an_answer_count_again);
	suite_add_tcase(suite, tcase);
	tcase = tcase_create("one_relay");
	tcase_add_test(tcase, stored_evidence_past_its_retention_is_not_loaded);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
