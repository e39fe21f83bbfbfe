/*
 * Requests that were on engines when those crashed: what counts, whoever saw
 * it.
 */
#include <check.h>
#include <stdlib.h>

#include "node/parts.h"

#define BODY 77
#define NOW  (1000 * DFF_SEC)

static poison_t *poison;

static void
setup(void)
{
	poison = poison_new();
}

static void
teardown(void)
{
	poison_drop(poison);
}

static bool
break_off(const char *vm, uint64_t incarnation)
{
	return poison_note_broken(
	    poison, BODY, poison_process(vm, incarnation), NOW);
}

START_TEST(crashes_that_different_nodes_saw_add_up)
{
	ck_assert(break_off("e1", 5));
	ck_assert(break_off("e2", 5));
	ck_assert_uint_eq(poison_crashes(poison, BODY, NOW), 2);
	ck_assert_uint_eq(poison_crashes(poison, BODY + 1, NOW), 0);
}
END_TEST

START_TEST(crash_that_two_nodes_saw_counts_once)
{
	ck_assert(break_off("e1", 5));
	ck_assert(!break_off("e1", 5));
	ck_assert_uint_eq(poison_crashes(poison, BODY, NOW), 1);
	/* It crashed again after it had come back. */
	ck_assert(break_off("e1", 6));
	ck_assert_uint_eq(poison_crashes(poison, BODY, NOW), 2);
}
END_TEST

START_TEST(engine_that_still_runs_has_not_crashed)
{
	(void)break_off("e1", 5);
	(void)break_off("e2", 5);
	poison_note_report(poison, "e1", 5, NOW);
	ck_assert_uint_eq(poison_crashes(poison, BODY, NOW), 2);
	poison_note_report(poison, "e1", 5, NOW + DFF_MSEC);
	ck_assert_uint_eq(poison_crashes(poison, BODY, NOW), 1);
	poison_note_report(poison, "e2", 6, NOW + DFF_MSEC);
	ck_assert_uint_eq(poison_crashes(poison, BODY, NOW), 1);
}
END_TEST

START_TEST(answer_clears_and_time_does)
{
	(void)break_off("e1", 5);
	poison_clear(poison, BODY);
	ck_assert_uint_eq(poison_crashes(poison, BODY, NOW), 0);
	(void)break_off("e1", 5);
	ck_assert_uint_eq(
	    poison_crashes(poison, BODY, NOW + 3600 * DFF_SEC), 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("poison");
	TCase *tcase = tcase_create("poison");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, crashes_that_different_nodes_saw_add_up);
	tcase_add_test(tcase, crash_that_two_nodes_saw_counts_once);
	tcase_add_test(tcase, engine_that_still_runs_has_not_crashed);
	tcase_add_test(tcase, answer_clears_and_time_does);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
