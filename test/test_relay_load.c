/*
 * The relay under load, simulated in virtual time. The tests check the results
 * that callers get.
 */
#include <check.h>
#include <stdlib.h>

#include "fake/relay_sim.h"

/* Reading the shared parts for each request would take more time than the
 * engines have. */
START_TEST(shared_parts_are_read_about_once)
{
	relay_sim_tally_t tally;

	relay_sim_load(20 * DFF_SEC, 60, 40);
	relay_sim_load(2 * DFF_SEC, 0, 40);
	relay_sim_count(&tally, 0);
	/* 40 parts; some more where two nodes send one at the same time. */
	ck_assert_msg(relay_sim_shared_reads() <= 60.0, "read %.0f times",
	    relay_sim_shared_reads());
	ck_assert_msg(tally.in_target >= 0.9 * tally.requests,
	    "in target %d of %d, late %d, refused %d", tally.in_target,
	    tally.requests, tally.late, tally.refused);
	ck_assert_int_eq(tally.failed, 0);
}
END_TEST

/* At twice the engines' capacity, admitted requests are served, nearly always
 * in time, and the others are refused at once. */
START_TEST(admitted_requests_are_served_in_time_under_overload)
{
	double per_s = 2 * relay_sim_capacity();
	relay_sim_tally_t tally;

	relay_sim_load(3 * DFF_SEC, 60, 20);
	relay_sim_load(8 * DFF_SEC, per_s, 20);
	relay_sim_load(2 * DFF_SEC, 0, 20);
	relay_sim_count(&tally, 0);
	ck_assert_int_eq(tally.failed, 0);
	ck_assert_msg(tally.late <= 0.25 * tally.requests,
	    "late %d of %d, in target %d", tally.late, tally.requests,
	    tally.in_target);
	ck_assert_msg(tally.in_target >= 0.3 * tally.requests,
	    "in target %d of %d, late %d, refused %d", tally.in_target,
	    tally.requests, tally.late, tally.refused);
	ck_assert_int_le(relay_sim_slowest_refusal(), SIM_TICK);
	/* Long prompts are not starved. */
	ck_assert_msg(2 * tally.long_served * tally.requests >=
		(tally.in_target + tally.late) * tally.long_requests,
	    "long %d of %d, all %d of %d", tally.long_served,
	    tally.long_requests, tally.in_target + tally.late, tally.requests);
}
END_TEST

/* In bursts of 1 s at 1.5 times the engines' capacity, refused callers retry
 * once, and most of them are served then. */
START_TEST(refused_callers_are_served_on_retry)
{
	double per_s = relay_sim_capacity();
	relay_sim_tally_t tally;

	relay_sim_enable_retries();
	relay_sim_load(3 * DFF_SEC, 60, 20);
	for (int i = 0; i < 4; i++) {
		relay_sim_load(DFF_SEC, 1.5 * per_s, 20);
		relay_sim_load(2 * DFF_SEC, 0.3 * per_s, 20);
	}
	relay_sim_load(3 * DFF_SEC, 0, 20);
	relay_sim_count(&tally, 0);
	ck_assert_int_gt(tally.retried, 50);
	ck_assert_msg(3 * tally.retries_refused <= tally.retried,
	    "%d of %d were refused again", tally.retries_refused,
	    tally.retried);
}
END_TEST

/* All nodes send a new part while an engine still reads it for the first of
 * them. It cannot be fetched yet, so another engine would read it again. */
START_TEST(part_that_is_being_read_is_not_read_elsewhere)
{
	const int parts = 30;

	for (int part = 1; part <= parts; part++) {
		for (int i = 0; i < SIM_RELAYS; i++) {
			relay_sim_request(i, (uint64_t)part, 500);
			relay_sim_load(16 * DFF_MSEC, 0, 1);
		}
		relay_sim_load(600 * DFF_MSEC, 0, 1);
	}
	ck_assert_msg(relay_sim_shared_reads() <= 1.1 * parts,
	    "%d parts read %.0f times", parts, relay_sim_shared_reads());
}
END_TEST

/* Engines still have parts cached from before a restart of all nodes. */
START_TEST(restarted_nodes_have_little_read_again)
{
	double before;

	relay_sim_load(4 * DFF_SEC, 60, 20);
	relay_sim_load(2 * DFF_SEC, 0, 20);
	before = relay_sim_shared_reads();
	relay_sim_restart_relays();
	relay_sim_load(3 * DFF_SEC, 60, 20);
	relay_sim_load(2 * DFF_SEC, 0, 20);
	ck_assert_msg(relay_sim_shared_reads() - before <= 2.0,
	    "read again %.0f times", relay_sim_shared_reads() - before);
}
END_TEST

/* Many requests arrive within a short time at several nodes. */
START_TEST(burst_is_spread_over_the_engines)
{
	dff_time_t warm_at;
	relay_sim_tally_t tally;

	relay_sim_load(3 * DFF_SEC, 40, 4);
	warm_at = relay_sim_now();
	for (int i = 0; i < 24; i++) {
		relay_sim_request(i % SIM_RELAYS, (uint64_t)(i % 4 + 1), 500);
		relay_sim_tick();
	}
	ck_assert_uint_le(relay_sim_longest_queue(), 8);
	relay_sim_load(2 * DFF_SEC, 0, 4);
	relay_sim_count(&tally, warm_at);
	ck_assert_int_eq(tally.requests, 24);
	ck_assert_msg(tally.in_target >= 0.95 * tally.requests,
	    "in target %d of %d", tally.in_target, tally.requests);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_load");
	TCase *tcase = tcase_create("relay_load");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, relay_sim_setup, relay_sim_teardown);
	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, shared_parts_are_read_about_once);
	tcase_add_test(
	    tcase, admitted_requests_are_served_in_time_under_overload);
	tcase_add_test(tcase, refused_callers_are_served_on_retry);
	tcase_add_test(tcase, part_that_is_being_read_is_not_read_elsewhere);
	tcase_add_test(tcase, restarted_nodes_have_little_read_again);
	tcase_add_test(tcase, burst_is_spread_over_the_engines);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
