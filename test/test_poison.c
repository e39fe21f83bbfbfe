/*
 * Tests of the count of engine crashes under a request, seen by this node or
 * reported by peers.
 */
#include <check.h>
#include <stdlib.h>

#include "node/internal.h"

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
add_crash(const char *vm, uint64_t incarnation)
{
	return poison_add_crash(
	    poison, BODY, poison_process_hash(vm, incarnation), NOW);
}

START_TEST(crashes_seen_by_different_nodes_are_summed)
{
	ck_assert(add_crash("e1", 5));
	ck_assert(add_crash("e2", 5));
	ck_assert_uint_eq(poison_crash_count(poison, BODY, NOW), 2);
	ck_assert_uint_eq(poison_crash_count(poison, BODY + 1, NOW), 0);
}
END_TEST

START_TEST(crash_seen_by_two_nodes_counts_once)
{
	ck_assert(add_crash("e1", 5));
	ck_assert(!add_crash("e1", 5));
	ck_assert_uint_eq(poison_crash_count(poison, BODY, NOW), 1);
	/* It crashed again after a restart. */
	ck_assert(add_crash("e1", 6));
	ck_assert_uint_eq(poison_crash_count(poison, BODY, NOW), 2);
}
END_TEST

START_TEST(engine_that_still_runs_has_not_crashed)
{
	(void)add_crash("e1", 5);
	(void)add_crash("e2", 5);
	poison_apply_report(poison, "e1", 5, NOW);
	ck_assert_uint_eq(poison_crash_count(poison, BODY, NOW), 2);
	poison_apply_report(poison, "e1", 5, NOW + DFF_MSEC);
	ck_assert_uint_eq(poison_crash_count(poison, BODY, NOW), 1);
	poison_apply_report(poison, "e2", 6, NOW + DFF_MSEC);
	ck_assert_uint_eq(poison_crash_count(poison, BODY, NOW), 1);
}
END_TEST

START_TEST(answer_or_expiry_clears_crashes)
{
	(void)add_crash("e1", 5);
	poison_clear(poison, BODY);
	ck_assert_uint_eq(poison_crash_count(poison, BODY, NOW), 0);
	(void)add_crash("e1", 5);
	ck_assert_uint_eq(
	    poison_crash_count(poison, BODY, NOW + 3600 * DFF_SEC), 0);
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
	tcase_add_test(tcase, crashes_seen_by_different_nodes_are_summed);
	tcase_add_test(tcase, crash_seen_by_two_nodes_counts_once);
	tcase_add_test(tcase, engine_that_still_runs_has_not_crashed);
	tcase_add_test(tcase, answer_or_expiry_clears_crashes);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
