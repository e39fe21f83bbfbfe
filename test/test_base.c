#include <check.h>
#include <stdlib.h>

#include "dragonflyfall/event.h"
#include "dragonflyfall/table.h"
#include "dragonflyfall/timer.h"

START_TEST(table_rejects_stale_handle)
{
	dff_table_t *table = dff_table_new(sizeof(int));
	dff_handle_t first;
	dff_handle_t second;
	int *row;

	row = dff_table_take(table, &first);
	*row = 7;
	ck_assert_int_eq(*(int *)dff_table_get(table, first), 7);
	dff_table_give(table, first);
	ck_assert_ptr_null(dff_table_get(table, first));
	row = dff_table_take(table, &second);
	ck_assert_int_eq(*row, 0);
	ck_assert_uint_ne(first, second);
	ck_assert_ptr_null(dff_table_get(table, first));
	dff_table_give(table, first);
	ck_assert_uint_eq(dff_table_count(table), 1);
	dff_table_drop(table);
}
END_TEST

START_TEST(table_rows_have_stable_addresses)
{
	dff_table_t *table = dff_table_new(sizeof(int));
	dff_handle_t handle;
	int *first;
	size_t seen = 0;

	first = dff_table_take(table, &handle);
	*first = 42;
	for (int i = 0; i < 1000; i++) {
		dff_handle_t other;

		dff_table_take(table, &other);
	}
	ck_assert_ptr_eq(dff_table_get(table, handle), first);
	for (dff_handle_t h = 0; (h = dff_table_next(table, h, NULL)) != 0;)
		seen++;
	ck_assert_uint_eq(seen, 1001);
	dff_table_drop(table);
}
END_TEST

START_TEST(timers_pop_in_deadline_order)
{
	dff_timers_t *timers = dff_timers_new();
	dff_timer_t due;

	dff_timers_set(timers, DFF_TIMER_ATTEMPT, 1, 30);
	dff_timers_set(timers, DFF_TIMER_ATTEMPT, 2, 10);
	dff_timers_set(timers, DFF_TIMER_DRAIN, 1, 10);
	dff_timers_set(timers, DFF_TIMER_ATTEMPT, 1, 20);
	ck_assert_int_eq(dff_timers_next(timers), 10);
	ck_assert(!dff_timers_pop(timers, 9, &due));
	ck_assert(dff_timers_pop(timers, 100, &due));
	ck_assert_uint_eq(due.subject, 2);
	ck_assert(dff_timers_pop(timers, 100, &due));
	ck_assert_int_eq(due.kind, DFF_TIMER_DRAIN);
	dff_timers_cancel(timers, DFF_TIMER_ATTEMPT, 1);
	ck_assert(!dff_timers_pop(timers, 100, &due));
	ck_assert_int_eq(dff_timers_next(timers), DFF_TIME_NEVER);
	dff_timers_drop(timers);
}
END_TEST

START_TEST(effects_copy_their_data)
{
	dff_effects_t *fx = dff_effects_new();
	char text[] = "abc";
	char big[40000] = {1};
	dff_effect_t *effect;

	effect = dff_effects_add(fx, DFF_FX_ATTEMPT_START);
	effect->u.attempt_start.vm = dff_effects_strdup(fx, text);
	text[0] = 'x';
	(void)dff_effects_copy(fx, big, sizeof(big));
	ck_assert_str_eq(dff_effects_at(fx, 0)->u.attempt_start.vm, "abc");
	dff_effects_clear(fx);
	ck_assert_uint_eq(dff_effects_count(fx), 0);
	dff_effects_drop(fx);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("base");
	TCase *tcase = tcase_create("base");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, table_rejects_stale_handle);
	tcase_add_test(tcase, table_rows_have_stable_addresses);
	tcase_add_test(tcase, timers_pop_in_deadline_order);
	tcase_add_test(tcase, effects_copy_their_data);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
