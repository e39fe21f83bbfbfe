/*
 * Parts of prompts that were answered recently.
 */
#include <check.h>
#include <stdlib.h>

#include "relay/answered_parts.h"

static answered_parts_t *parts;

static void
setup(void)
{
	parts = answered_parts_new();
}

static void
teardown(void)
{
	answered_parts_drop(parts);
}

START_TEST(answer_is_recent_for_a_while)
{
	const dff_time_t at = 100 * DFF_SEC;

	ck_assert(!answered_parts_is_recent(parts, 1, at));
	answered_parts_note(parts, 1, at);
	ck_assert(answered_parts_is_recent(parts, 1, at + DFF_SEC));
	ck_assert(!answered_parts_is_recent(parts, 1, at + 3 * DFF_SEC));
	ck_assert(!answered_parts_is_recent(parts, 2, at));
	answered_parts_note(parts, 1, at + 3 * DFF_SEC);
	ck_assert(answered_parts_is_recent(parts, 1, at + 4 * DFF_SEC));
}
END_TEST

START_TEST(last_answer_is_remembered_longer)
{
	const dff_time_t at = 100 * DFF_SEC;

	ck_assert_int_eq(answered_parts_last(parts, 1), 0);
	answered_parts_note(parts, 1, at);
	answered_parts_sweep(parts, at + 30 * DFF_SEC);
	ck_assert_int_eq(answered_parts_last(parts, 1), at);
	answered_parts_sweep(parts, at + 60 * DFF_SEC);
	ck_assert_int_eq(answered_parts_last(parts, 1), 0);
}
END_TEST

START_TEST(table_is_bounded)
{
	for (uint64_t key = 1; key <= 20000; key++)
		answered_parts_note(parts, key, 100 * DFF_SEC);
	ck_assert_int_ne(answered_parts_last(parts, 8000), 0);
	ck_assert_int_eq(answered_parts_last(parts, 20000), 0);
	/* Known parts are still updated. */
	answered_parts_note(parts, 1, 101 * DFF_SEC);
	ck_assert_int_eq(answered_parts_last(parts, 1), 101 * DFF_SEC);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("answered_parts");
	TCase *tcase = tcase_create("answered_parts");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, answer_is_recent_for_a_while);
	tcase_add_test(tcase, last_answer_is_remembered_longer);
	tcase_add_test(tcase, table_is_bounded);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
