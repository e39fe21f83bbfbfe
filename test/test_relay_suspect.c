/*
 * Requests that crash each upstream that begins them and come again at any
 * node; and their neighbours, which are to be served.
 */
#include <check.h>
#include <stdlib.h>

#include "fake/crash_play.h"

/* Sends at live upstreams later than 3 s after the third crash. */
#define SENT_LATE_MAX 3

static const crash_plan_t usual = {
    .nodes = 9, .upstreams = 12, .back = 2 * DFF_SEC, .lapse = 3 * DFF_SEC};

static void
teardown(void)
{
	crash_play_stop();
}

/* Copies that come at one moment meet nodes that are busy in different ways,
 * so that they go to different upstreams. */
static void
keep_busy(int node, int requests)
{
	static uint64_t harmless = CRASH_CONTENT;

	for (int i = 0; i < requests; i++)
		crash_play_ask(node, "/order/y", ++harmless);
}

/* The request comes again for 40 s, @copies at once, by turns at the nodes. */
static void
ask_again_and_again(const char *target, int copies, dff_time_t every, int nodes)
{
	int turn = 0;

	for (dff_time_t t = 0; t < 40 * DFF_SEC; t += every) {
		for (int i = 0; i < copies; i++) {
			int node = turn++ % nodes;

			keep_busy(node, i);
			crash_play_ask(node, target, CRASH_CONTENT);
		}
		crash_play_pass(every);
	}
}

static void
check_few_ends(int most)
{
	ck_assert_int_le(crash_play_tally()->sent_late, SENT_LATE_MAX);
	ck_assert_int_le(crash_play_tally()->ended, most);
}

START_TEST(copy_after_copy_ends_few_upstreams)
{
	crash_play_start(&usual);
	ask_again_and_again("/order/x", 1, DFF_SEC, usual.nodes);
	check_few_ends(3);
}
END_TEST

START_TEST(repeatable_copy_after_copy_ends_few_upstreams)
{
	crash_play_start(&usual);
	ask_again_and_again("/read/x", 1, DFF_SEC, usual.nodes);
	check_few_ends(3);
}
END_TEST

START_TEST(copies_at_once_at_all_nodes_end_no_more_later)
{
	crash_play_start(&usual);
	ask_again_and_again("/order/x", 9, 4 * DFF_SEC, usual.nodes);
	check_few_ends(9);
}
END_TEST

START_TEST(copies_at_once_in_a_large_fleet_end_no_more_later)
{
	crash_plan_t plan = usual;

	plan.nodes = 27;
	crash_play_start(&plan);
	ask_again_and_again("/order/x", 5, 4 * DFF_SEC, plan.nodes);
	check_few_ends(5);
}
END_TEST

START_TEST(crashes_count_while_records_are_late)
{
	crash_plan_t plan = usual;

	plan.back = 8 * DFF_SEC;
	plan.lapse = 6 * DFF_SEC;
	crash_play_start(&plan);
	ask_again_and_again("/order/x", 1, 2 * DFF_SEC, plan.nodes);
	check_few_ends(3);
}
END_TEST

START_TEST(crashes_count_while_no_record_is_heard)
{
	crash_plan_t plan = usual;

	plan.lapse = DFF_TIME_NEVER;
	crash_play_start(&plan);
	ask_again_and_again("/order/x", 1, DFF_SEC, plan.nodes);
	check_few_ends(3);
}
END_TEST

START_TEST(crashes_that_look_like_silence_count)
{
	crash_plan_t plan = usual;

	plan.dark = true;
	plan.back = 6 * DFF_SEC;
	plan.lapse = 5 * DFF_SEC;
	crash_play_start(&plan);
	ask_again_and_again("/order/x", 1, 4 * DFF_SEC, plan.nodes);
	check_few_ends(3);
}
END_TEST

START_TEST(prompt_ends_few_of_the_engines_that_read_it)
{
	crash_plan_t plan = usual;

	plan.engines = true;
	crash_play_start(&plan);
	for (int i = 0; i < 40; i++) {
		crash_play_prompt(i % plan.nodes, CRASH_CONTENT);
		crash_play_pass(DFF_SEC);
	}
	check_few_ends(3);
}
END_TEST

/* Two upstreams end, and all nodes that hear each other know of it. */
static void
let_it_be_refused(void)
{
	for (int i = 0; i < 4; i++) {
		crash_play_ask(i, "/order/x", CRASH_CONTENT);
		crash_play_pass(5 * DFF_SEC);
	}
	ck_assert_int_eq(crash_play_status(3), 503);
}

START_TEST(node_that_starts_learns_what_is_refused)
{
	int ended;

	crash_play_start(&usual);
	let_it_be_refused();
	ended = crash_play_tally()->ended;
	crash_play_restart(7);
	crash_play_pass(3 * DFF_SEC);
	crash_play_ask(7, "/order/x", CRASH_CONTENT);
	crash_play_pass(DFF_SEC);
	ck_assert_int_eq(crash_play_status(7), 503);
	ck_assert_int_eq(crash_play_tally()->ended, ended);
}
END_TEST

/* All nodes start again at once, and the request comes to each. */
static void
start_fleet_anew(void)
{
	for (int i = 0; i < usual.nodes; i++)
		crash_play_restart(i);
	for (int i = 0; i < usual.nodes; i++)
		crash_play_ask(i, "/order/x", CRASH_CONTENT);
	crash_play_pass(DFF_SEC);
}

START_TEST(fleet_that_starts_anew_remembers_what_is_refused)
{
	int ended;

	crash_play_start(&usual);
	let_it_be_refused();
	ended = crash_play_tally()->ended;
	start_fleet_anew();
	ck_assert_int_eq(crash_play_tally()->ended, ended);
	ck_assert_int_eq(crash_play_status(0), 503);
}
END_TEST

START_TEST(fleet_that_starts_anew_remembers_copies_at_once)
{
	int ended;

	crash_play_start(&usual);
	for (int i = 0; i < usual.nodes; i++) {
		keep_busy(i, i);
		crash_play_ask(i, "/order/x", CRASH_CONTENT);
	}
	crash_play_pass(5 * DFF_SEC);
	ended = crash_play_tally()->ended;
	ck_assert_int_gt(ended, 2);
	start_fleet_anew();
	ck_assert_int_eq(crash_play_tally()->ended, ended);
}
END_TEST

START_TEST(node_that_was_cut_off_learns_what_is_refused)
{
	crash_play_start(&usual);
	crash_play_cut(7, true);
	let_it_be_refused();
	crash_play_cut(7, false);
	crash_play_pass(3 * DFF_SEC);
	crash_play_ask(7, "/order/x", CRASH_CONTENT);
	ck_assert_int_eq(crash_play_status(7), 503);
}
END_TEST

START_TEST(refusal_says_when_it_ends)
{
	dff_time_t left;

	crash_play_start(&usual);
	let_it_be_refused();
	crash_play_ask(5, "/order/x", CRASH_CONTENT);
	left = crash_play_retry_after(5);
	ck_assert_int_gt(left, 30 * DFF_SEC);
	crash_play_pass(left);
	crash_play_ask(6, "/order/x", CRASH_CONTENT);
	ck_assert_int_eq(crash_play_status(6), 0);
}
END_TEST

START_TEST(refusal_ends_when_the_request_stays_away)
{
	crash_play_start(&usual);
	let_it_be_refused();
	crash_play_pass(5 * 60 * DFF_SEC);
	crash_play_ask(0, "/order/x", CRASH_CONTENT);
	ck_assert_int_eq(crash_play_status(0), 0);
}
END_TEST

/* A request that is under way when others of its content are found out. */
START_TEST(prompt_that_was_read_meanwhile_is_not_sent_on)
{
	crash_plan_t plan = usual;

	plan.engines = true;
	plan.spares_readers = true;
	crash_play_start(&plan);
	crash_play_prompt(0, CRASH_CONTENT);
	crash_play_pass(160 * DFF_MSEC);
	crash_play_prompt(1, CRASH_CONTENT);
	crash_play_pass(130 * DFF_MSEC);
	/* The second crash is noticed while this prompt is being read. */
	crash_play_prompt(2, CRASH_CONTENT);
	crash_play_pass(5 * DFF_SEC);
	ck_assert_int_eq(crash_play_tally()->ended, 2);
	ck_assert_int_eq(crash_play_status(2), 503);
	ck_assert_int_gt(crash_play_retry_after(2), 30 * DFF_SEC);
}
END_TEST

/* ---- requests that crash nothing ---- */

START_TEST(neighbour_of_a_crash_is_served)
{
	crash_play_start(&usual);
	for (int i = 0; i < usual.nodes; i++) {
		crash_play_ask(i, "/read/y", CRASH_CONTENT + 1);
		crash_play_ask(i, "/read/y", CRASH_CONTENT + 2);
	}
	crash_play_ask(0, "/order/x", CRASH_CONTENT);
	crash_play_pass(10 * DFF_SEC);
	ck_assert_int_eq(crash_play_tally()->refused, 0);
	ck_assert_int_eq(crash_play_tally()->answered, 2 * usual.nodes);
}
END_TEST

/* Its connections break off and no new one stands, to any upstream. */
START_TEST(node_that_is_cut_off_from_upstreams_makes_no_suspect)
{
	crash_plan_t plan = usual;

	plan.far = 4;
	plan.upstreams = 3;
	crash_play_start(&plan);
	for (int i = 0; i < 10; i++) {
		crash_play_ask(4, "/read/y", CRASH_CONTENT + 1);
		crash_play_pass(DFF_SEC);
	}
	crash_play_ask(5, "/read/y", CRASH_CONTENT + 1);
	crash_play_pass(DFF_SEC);
	ck_assert_int_eq(crash_play_tally()->answered, 1);
}
END_TEST

START_TEST(answers_that_are_lost_make_no_suspect)
{
	crash_plan_t plan = usual;

	plan.lost = 2;
	crash_play_start(&plan);
	for (int i = 0; i < 30; i++) {
		crash_play_ask(i % plan.nodes, "/order/y", CRASH_CONTENT + 1);
		crash_play_pass(DFF_SEC);
	}
	ck_assert_int_eq(crash_play_tally()->refused, 0);
	ck_assert_int_eq(crash_play_tally()->answered, 15);
}
END_TEST

START_TEST(request_that_is_answered_is_no_suspect_any_more)
{
	crash_play_start(&usual);
	/* It is on an upstream that crashes, again and again, and is answered
	 * in between at other nodes. */
	for (int i = 0; i < 6; i++) {
		crash_play_ask(i, "/order/y", CRASH_CONTENT + 1);
		crash_play_pass(50 * DFF_MSEC);
		crash_play_crash_all();
		crash_play_pass(6 * DFF_SEC);
		crash_play_ask(
		    (i + 3) % usual.nodes, "/order/y", CRASH_CONTENT + 1);
		crash_play_pass(DFF_SEC);
	}
	ck_assert_int_eq(crash_play_tally()->refused, 0);
	ck_assert_int_eq(crash_play_tally()->answered, 6);
}
END_TEST

/* Bytes of frames in a time in which nothing happens; one beat more or less
 * is under 1 %. */
static uint64_t
bytes_of_quiet_time(void)
{
	uint64_t before = crash_play_bytes();

	crash_play_pass(30 * DFF_SEC);
	return crash_play_bytes() - before;
}

START_TEST(news_of_answers_does_not_go_round_for_ever)
{
	crash_plan_t plan = usual;
	uint64_t quiet;

	plan.nodes = 27;
	crash_play_start(&plan);
	/* Numbers of frames take more bytes after a while. */
	crash_play_pass(60 * DFF_SEC);
	quiet = bytes_of_quiet_time();
	crash_play_ask(0, "/order/y", CRASH_CONTENT + 1);
	crash_play_pass(50 * DFF_MSEC);
	crash_play_crash_all();
	crash_play_pass(6 * DFF_SEC);
	crash_play_ask(1, "/order/y", CRASH_CONTENT + 1);
	crash_play_pass(20 * DFF_SEC);
	ck_assert_int_eq(crash_play_tally()->answered, 1);
	ck_assert_uint_le(bytes_of_quiet_time(), quiet + quiet / 50);
}
END_TEST

START_TEST(crashes_after_an_answer_count_again)
{
	crash_plan_t plan = usual;

	plan.nodes = 27;
	crash_play_start(&plan);
	for (int i = 0; i < 4; i++) {
		crash_play_ask(i, "/order/y", CRASH_CONTENT + 1);
		crash_play_pass(50 * DFF_MSEC);
		/* The second of them is answered. */
		if (i != 1)
			crash_play_crash_all();
		crash_play_pass(30 * DFF_SEC);
	}
	ck_assert_int_eq(crash_play_tally()->answered, 1);
	crash_play_ask(4, "/order/y", CRASH_CONTENT + 1);
	ck_assert_int_eq(crash_play_status(4), 503);
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
	tcase_add_test(tcase, copy_after_copy_ends_few_upstreams);
	tcase_add_test(tcase, repeatable_copy_after_copy_ends_few_upstreams);
	tcase_add_test(tcase, copies_at_once_at_all_nodes_end_no_more_later);
	tcase_add_test(
	    tcase, copies_at_once_in_a_large_fleet_end_no_more_later);
	tcase_add_test(tcase, crashes_count_while_records_are_late);
	tcase_add_test(tcase, crashes_count_while_no_record_is_heard);
	tcase_add_test(tcase, crashes_that_look_like_silence_count);
	tcase_add_test(tcase, prompt_ends_few_of_the_engines_that_read_it);
	tcase_add_test(tcase, node_that_starts_learns_what_is_refused);
	tcase_add_test(tcase, fleet_that_starts_anew_remembers_what_is_refused);
	tcase_add_test(tcase, fleet_that_starts_anew_remembers_copies_at_once);
	tcase_add_test(tcase, node_that_was_cut_off_learns_what_is_refused);
	tcase_add_test(tcase, refusal_says_when_it_ends);
	tcase_add_test(tcase, refusal_ends_when_the_request_stays_away);
	tcase_add_test(tcase, prompt_that_was_read_meanwhile_is_not_sent_on);
	tcase_add_test(tcase, neighbour_of_a_crash_is_served);
	tcase_add_test(
	    tcase, node_that_is_cut_off_from_upstreams_makes_no_suspect);
	tcase_add_test(tcase, answers_that_are_lost_make_no_suspect);
	tcase_add_test(tcase, request_that_is_answered_is_no_suspect_any_more);
	tcase_add_test(tcase, news_of_answers_does_not_go_round_for_ever);
	tcase_add_test(tcase, crashes_after_an_answer_count_again);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
