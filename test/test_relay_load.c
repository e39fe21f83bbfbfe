/*
 * The relay under load, played in virtual time. Checked is what callers get.
 */
#include <check.h>
#include <stdlib.h>

#include "fake/relay_play.h"

/* Load answered: shared parts that would take more time than there is if
 * each request had them read. */
START_TEST(shared_parts_are_read_about_once)
{
	play_tally_t tally;

	play_load(20 * DFF_SEC, 60, 40);
	play_load(2 * DFF_SEC, 0, 40);
	play_count(&tally, 0);
	/* 40 parts; a few more where two nodes ask in the same moment. */
	ck_assert_msg(
	    play_shared_read() <= 60.0, "read %.0f times", play_shared_read());
	ck_assert_msg(tally.in_aim >= 0.9 * tally.asked,
	    "in aim %d of %d, late %d, refused %d", tally.in_aim, tally.asked,
	    tally.late, tally.refused);
	ck_assert_int_eq(tally.failed, 0);
}
END_TEST

/* Load answered: twice what the engines can read. Who is let in is served,
 * nearly always in time; who is not hears it at once. */
START_TEST(overload_serves_in_time_what_it_lets_in)
{
	double per_s = 2 * play_capacity();
	play_tally_t tally;

	play_load(3 * DFF_SEC, 60, 20);
	play_load(8 * DFF_SEC, per_s, 20);
	play_load(2 * DFF_SEC, 0, 20);
	play_count(&tally, 0);
	ck_assert_int_eq(tally.failed, 0);
	ck_assert_msg(tally.late <= 0.25 * tally.asked,
	    "late %d of %d, in aim %d", tally.late, tally.asked, tally.in_aim);
	ck_assert_msg(tally.in_aim >= 0.3 * tally.asked,
	    "in aim %d of %d, late %d, refused %d", tally.in_aim, tally.asked,
	    tally.late, tally.refused);
	ck_assert_int_le(play_slowest_refusal(), PLAY_TICK);
	/* Long prompts are not starved. */
	ck_assert_msg(2 * tally.long_served * tally.asked >=
		(tally.in_aim + tally.late) * tally.long_asked,
	    "long %d of %d, all %d of %d", tally.long_served, tally.long_asked,
	    tally.in_aim + tally.late, tally.asked);
}
END_TEST

/* Load answered: bursts of 1.5 times what the engines can read, 1 s long.
 * Who is turned away comes back once, and mostly finds room then. */
START_TEST(callers_that_are_turned_away_find_room_later)
{
	double per_s = play_capacity();
	play_tally_t tally;

	play_return_callers();
	play_load(3 * DFF_SEC, 60, 20);
	for (int i = 0; i < 4; i++) {
		play_load(DFF_SEC, 1.5 * per_s, 20);
		play_load(2 * DFF_SEC, 0.3 * per_s, 20);
	}
	play_load(3 * DFF_SEC, 0, 20);
	play_count(&tally, 0);
	ck_assert_int_gt(tally.again, 50);
	ck_assert_msg(3 * tally.again_refused <= tally.again,
	    "%d of %d were turned away again", tally.again_refused,
	    tally.again);
}
END_TEST

/* Load answered: new parts, each asked for by all nodes while the first of
 * them still has it read: who fetches it then reads it again. */
START_TEST(part_that_is_being_read_is_not_read_elsewhere)
{
	const int parts = 30;

	for (int part = 1; part <= parts; part++) {
		for (int i = 0; i < PLAY_RELAYS; i++) {
			play_ask(i, (uint64_t)part, 500);
			play_load(16 * DFF_MSEC, 0, 1);
		}
		play_load(600 * DFF_MSEC, 0, 1);
	}
	ck_assert_msg(play_shared_read() <= 1.1 * parts,
	    "%d parts read %.0f times", parts, play_shared_read());
}
END_TEST

/* Load answered: what the engines kept before all nodes started again. */
START_TEST(nodes_that_start_again_have_little_read_anew)
{
	double before;

	play_load(4 * DFF_SEC, 60, 20);
	play_load(2 * DFF_SEC, 0, 20);
	before = play_shared_read();
	play_restart_relays();
	play_load(3 * DFF_SEC, 60, 20);
	play_load(2 * DFF_SEC, 0, 20);
	ck_assert_msg(play_shared_read() - before <= 2.0,
	    "read %.0f times again", play_shared_read() - before);
}
END_TEST

/* Load answered: many requests at one moment, at several nodes. */
START_TEST(burst_is_spread_over_the_engines)
{
	dff_time_t warm;
	play_tally_t tally;

	play_load(3 * DFF_SEC, 40, 4);
	warm = play_now();
	for (int i = 0; i < 24; i++) {
		play_ask(i % PLAY_RELAYS, (uint64_t)(i % 4 + 1), 500);
		play_tick();
	}
	ck_assert_uint_le(play_longest_queue(), 8);
	play_load(2 * DFF_SEC, 0, 4);
	play_count(&tally, warm);
	ck_assert_int_eq(tally.asked, 24);
	ck_assert_msg(tally.in_aim >= 0.95 * tally.asked, "in aim %d of %d",
	    tally.in_aim, tally.asked);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_load");
	TCase *tcase = tcase_create("relay_load");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, play_setup, play_teardown);
	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, shared_parts_are_read_about_once);
	tcase_add_test(tcase, overload_serves_in_time_what_it_lets_in);
	tcase_add_test(tcase, callers_that_are_turned_away_find_room_later);
	tcase_add_test(tcase, part_that_is_being_read_is_not_read_elsewhere);
	tcase_add_test(tcase, nodes_that_start_again_have_little_read_anew);
	tcase_add_test(tcase, burst_is_spread_over_the_engines);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
