/*
 * Permits that a coordinator issues under an upstream's rate limit.
 */
#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "relay/rate_limit.h"

#define START  (1000 * DFF_SEC)
#define WINDOW (4 * DFF_SEC)

static rate_limit_t limit;

/* A coordinator of an upstream that just named @rate. */
static void
begin(double rate)
{
	limit = (rate_limit_t){.own = {START, rate}};
	rate_limit_begin(&limit, START);
	rate_limit_coordinate(&limit, 1, START);
}

/* Issues what is due at random moments; returns the times. */
static GArray *
issue_for(dff_time_t time, GRand *rng)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(dff_time_t));

	for (dff_time_t now = START; now < START + time;
	     now += g_rand_int_range(rng, 1, 300) * DFF_MSEC) {
		while (rate_limit_issue(&limit, now))
			g_array_append_val(times, now);
	}
	return times;
}

static int
find_peak(const GArray *times)
{
	int peak = 0;

	for (guint i = 0, first = 0; i < times->len; i++) {
		while (g_array_index(times, dff_time_t, i) -
			g_array_index(times, dff_time_t, first) >
		    WINDOW)
			first++;
		peak = MAX(peak, (int)(i - first + 1));
	}
	return peak;
}

START_TEST(issued_permits_keep_the_rate)
{
	static const double rates[] = {0.1, 0.5, 1.3, 5, 20, 1000};
	GRand *rng = g_rand_new_with_seed(1);

	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		GArray *times;

		begin(rates[i]);
		times = issue_for(60 * DFF_SEC, rng);
		/* A permit may be used up to a second later. */
		ck_assert_int_le(
		    find_peak(times), (int)(6 * rates[i] + 5 - rates[i]));
		ck_assert_int_ge((int)times->len, (int)(55 * rates[i]));
		g_array_unref(times);
	}
	g_rand_free(rng);
}
END_TEST

START_TEST(nothing_is_issued_at_once)
{
	begin(5);
	ck_assert(!rate_limit_issue(&limit, START));
	ck_assert(!rate_limit_has_permit(&limit, START));
	ck_assert(rate_limit_issue(&limit, START + DFF_SEC));
}
END_TEST

/* A coordinator that begins does not know what the former one issued. */
START_TEST(new_coordinator_starts_with_nothing)
{
	begin(5);
	rate_limit_coordinate(&limit, 0, START + 10 * DFF_SEC);
	ck_assert(!rate_limit_issue(&limit, START + 20 * DFF_SEC));
	rate_limit_coordinate(&limit, 1, START + 30 * DFF_SEC);
	ck_assert(!rate_limit_issue(&limit, START + 30 * DFF_SEC));
	ck_assert(rate_limit_issue(&limit, START + 31 * DFF_SEC));
}
END_TEST

START_TEST(wait_is_the_time_to_the_next_permit)
{
	static const double rates[] = {0.5, 1.3, 5, 20};

	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		dff_time_t now = START + 10 * DFF_SEC;
		dff_time_t wait;

		begin(rates[i]);
		while (rate_limit_issue(&limit, now))
			continue;
		wait = rate_limit_issue_wait(&limit, now);
		ck_assert_int_gt(wait, 0);
		ck_assert(!rate_limit_issue(&limit, now + wait - 2 * DFF_MSEC));
		ck_assert(rate_limit_issue(&limit, now + wait));
	}
}
END_TEST

START_TEST(wait_is_bounded)
{
	begin(0.1);
	rate_limit_coordinate(&limit, 0.001, START);
	ck_assert_int_gt(rate_limit_issue_wait(&limit, START), DFF_SEC);
	ck_assert_int_le(rate_limit_issue_wait(&limit, START), 10 * DFF_SEC);
}
END_TEST

START_TEST(part_of_the_rate_is_issued)
{
	GRand *rng = g_rand_new_with_seed(2);
	GArray *times;

	begin(10);
	rate_limit_coordinate(&limit, 0.25, START);
	times = issue_for(40 * DFF_SEC, rng);
	ck_assert_int_ge((int)times->len, 90);
	ck_assert_int_le((int)times->len, 105);
	g_array_unref(times);
	g_rand_free(rng);
}
END_TEST

START_TEST(granted_permit_is_used_once_and_expires)
{
	begin(1);
	rate_limit_coordinate(&limit, 0, START);
	rate_limit_add_permit(&limit, START + DFF_SEC);
	ck_assert(rate_limit_has_permit(&limit, START));
	ck_assert(rate_limit_take_permit(&limit, START));
	ck_assert(!rate_limit_take_permit(&limit, START));
	rate_limit_add_permit(&limit, START + DFF_SEC);
	rate_limit_add_permit(&limit, START + 2 * DFF_SEC);
	ck_assert(rate_limit_take_permit(&limit, START + DFF_SEC));
	ck_assert(!rate_limit_take_permit(&limit, START + DFF_SEC));
}
END_TEST

START_TEST(number_of_granted_permits_is_bounded)
{
	int taken = 0;

	begin(1);
	rate_limit_coordinate(&limit, 0, START);
	for (int i = 0; i < 1000; i++)
		rate_limit_add_permit(&limit, START + DFF_SEC);
	while (rate_limit_take_permit(&limit, START))
		taken++;
	ck_assert_int_eq(taken, PERMITS_MAX);
}
END_TEST

START_TEST(newest_statement_counts)
{
	limit = (rate_limit_t){.own = {START, 5}, .peers = {START + 1, 0}};
	ck_assert(!rate_limit_is_set(&limit));
	limit.domains = (rate_statement_t){START + 2, 3};
	ck_assert_double_eq(rate_limit_newest(&limit)->rate, 3);
	limit.own.at = START + 3;
	ck_assert_double_eq(rate_limit_newest(&limit)->rate, 5);
}
END_TEST

START_TEST(no_permit_is_needed_without_a_limit)
{
	limit = (rate_limit_t){.denied_until = START + DFF_SEC};
	ck_assert(rate_limit_has_permit(&limit, START));
	ck_assert(!rate_limit_is_denied(&limit, START));
	ck_assert(rate_limit_take_permit(&limit, START));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("rate_limit");
	TCase *tcase = tcase_create("rate_limit");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, issued_permits_keep_the_rate);
	tcase_add_test(tcase, nothing_is_issued_at_once);
	tcase_add_test(tcase, new_coordinator_starts_with_nothing);
	tcase_add_test(tcase, wait_is_the_time_to_the_next_permit);
	tcase_add_test(tcase, wait_is_bounded);
	tcase_add_test(tcase, part_of_the_rate_is_issued);
	tcase_add_test(tcase, granted_permit_is_used_once_and_expires);
	tcase_add_test(tcase, number_of_granted_permits_is_bounded);
	tcase_add_test(tcase, newest_statement_counts);
	tcase_add_test(tcase, no_permit_is_needed_without_a_limit);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
