/*
 * The account of what a node holds: who is refused, and in which order.
 */
#include <check.h>
#include <stdlib.h>

#include "dragonflyfall/account.h"

#define MEBIBYTE ((size_t)1 << 20)
#define ADDR_A	 1u
#define ADDR_B	 2u

static dff_account_t *account;
static dff_holder_t holders[8];

static void
setup(void)
{
	const dff_account_limits_t limits = {{8 * MEBIBYTE, 8 * MEBIBYTE}, 4};

	account = dff_account_new(&limits);
	for (guint i = 0; i < G_N_ELEMENTS(holders); i++)
		holders[i] = (dff_holder_t){.passed_on = false};
}

static void
teardown(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(holders); i++)
		dff_account_leave(account, &holders[i]);
	ck_assert_uint_eq(dff_account_held(account, DFF_ACCOUNT_REQUESTS), 0);
	ck_assert_uint_eq(dff_account_held(account, DFF_ACCOUNT_ANSWERS), 0);
	ck_assert_int_eq(dff_account_connections(account), 0);
	dff_account_drop(account);
}

static void
enter(int number, uint32_t addr, size_t bytes)
{
	dff_account_enter(account, &holders[number], addr);
	dff_account_hold(
	    account, &holders[number], DFF_ACCOUNT_REQUESTS, bytes);
}

START_TEST(nobody_is_refused_within_the_limits)
{
	enter(0, ADDR_A, 4 * MEBIBYTE);
	enter(1, ADDR_A, 2 * MEBIBYTE);
	ck_assert_ptr_null(dff_account_unfinished(account));
	ck_assert_ptr_null(dff_account_surplus(account));
	ck_assert_ptr_null(dff_account_slow_reader(account));
}
END_TEST

START_TEST(longest_idle_request_is_refused_first)
{
	enter(0, ADDR_A, 3 * MEBIBYTE);
	enter(1, ADDR_A, 3 * MEBIBYTE);
	enter(2, ADDR_A, 3 * MEBIBYTE);
	dff_account_active(account, &holders[0]);
	ck_assert_ptr_eq(dff_account_unfinished(account), &holders[1]);
	dff_account_leave(account, &holders[1]);
	ck_assert_ptr_null(dff_account_unfinished(account));
}
END_TEST

START_TEST(request_that_was_passed_on_is_never_refused)
{
	enter(0, ADDR_A, 4 * MEBIBYTE);
	enter(1, ADDR_A, 4 * MEBIBYTE);
	holders[0].passed_on = true;
	ck_assert_ptr_eq(dff_account_unfinished(account), &holders[1]);
	holders[1].passed_on = true;
	ck_assert_ptr_null(dff_account_unfinished(account));
}
END_TEST

START_TEST(address_that_holds_most_is_refused_first)
{
	enter(0, ADDR_B, 2 * MEBIBYTE);
	enter(1, ADDR_A, 3 * MEBIBYTE);
	enter(2, ADDR_A, 3 * MEBIBYTE);
	ck_assert_ptr_eq(dff_account_unfinished(account), &holders[1]);
}
END_TEST

START_TEST(small_requests_have_room_beside_large_ones)
{
	enter(0, ADDR_A, 4 * MEBIBYTE);
	enter(1, ADDR_A, 2 * MEBIBYTE);
	holders[0].passed_on = true;
	holders[1].passed_on = true;
	enter(2, ADDR_A, 1000);
	ck_assert_ptr_null(dff_account_unfinished(account));
	enter(3, ADDR_B, MEBIBYTE);
	ck_assert_ptr_eq(dff_account_unfinished(account), &holders[3]);
}
END_TEST

START_TEST(longest_idle_connection_gives_way)
{
	for (int i = 0; i < 4; i++)
		enter(i, i < 2 ? ADDR_A : ADDR_B, 0);
	ck_assert_ptr_null(dff_account_surplus(account));
	holders[0].passed_on = true;
	enter(4, ADDR_B, 0);
	ck_assert_ptr_eq(dff_account_surplus(account), &holders[2]);
	for (int i = 0; i < 5; i++)
		holders[i].passed_on = true;
	ck_assert_ptr_null(dff_account_surplus(account));
}
END_TEST

START_TEST(reader_that_holds_most_is_closed_first)
{
	enter(0, ADDR_A, 0);
	enter(1, ADDR_A, 0);
	dff_account_hold(
	    account, &holders[0], DFF_ACCOUNT_ANSWERS, 2 * MEBIBYTE);
	dff_account_hold(
	    account, &holders[1], DFF_ACCOUNT_ANSWERS, 3 * MEBIBYTE);
	ck_assert_ptr_null(dff_account_slow_reader(account));
	dff_account_add(account, DFF_ACCOUNT_ANSWERS, (int64_t)MEBIBYTE + 1);
	ck_assert_ptr_eq(dff_account_slow_reader(account), &holders[1]);
	ck_assert(dff_account_has_room(
	    account, DFF_ACCOUNT_ANSWERS, 2 * MEBIBYTE - 1));
	ck_assert(
	    !dff_account_has_room(account, DFF_ACCOUNT_ANSWERS, 2 * MEBIBYTE));
	dff_account_add(account, DFF_ACCOUNT_ANSWERS, -(int64_t)MEBIBYTE - 1);
}
END_TEST

START_TEST(limits_follow_the_machine)
{
	dff_account_limits_t limits = dff_account_limits(120 * MEBIBYTE, 2875);

	ck_assert_uint_eq(limits.bytes[DFF_ACCOUNT_REQUESTS], 40 * MEBIBYTE);
	ck_assert_uint_eq(limits.bytes[DFF_ACCOUNT_ANSWERS], 20 * MEBIBYTE);
	ck_assert_int_eq(dff_account_kept(2875), 359);
	ck_assert_int_eq(limits.connections, 1258);
	limits = dff_account_limits(0, 0);
	ck_assert_uint_eq(limits.bytes[DFF_ACCOUNT_REQUESTS], 0);
	ck_assert_int_eq(limits.connections, 0);
}
END_TEST

START_TEST(without_limits_nobody_is_refused)
{
	const dff_account_limits_t limits = dff_account_limits(0, 0);

	dff_account_set_limits(account, &limits);
	for (int i = 0; i < 8; i++)
		enter(i, ADDR_A, 100 * MEBIBYTE);
	ck_assert_ptr_null(dff_account_unfinished(account));
	ck_assert_ptr_null(dff_account_surplus(account));
	ck_assert(dff_account_has_room(
	    account, DFF_ACCOUNT_ANSWERS, 1000 * MEBIBYTE));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("account");
	TCase *tcase = tcase_create("account");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, nobody_is_refused_within_the_limits);
	tcase_add_test(tcase, longest_idle_request_is_refused_first);
	tcase_add_test(tcase, request_that_was_passed_on_is_never_refused);
	tcase_add_test(tcase, address_that_holds_most_is_refused_first);
	tcase_add_test(tcase, small_requests_have_room_beside_large_ones);
	tcase_add_test(tcase, longest_idle_connection_gives_way);
	tcase_add_test(tcase, reader_that_holds_most_is_closed_first);
	tcase_add_test(tcase, limits_follow_the_machine);
	tcase_add_test(tcase, without_limits_nobody_is_refused);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
