#include <check.h>
#include <stdlib.h>

#include <glib.h>

#include "dragonflyfall/hist.h"

#define VALUES 20000

static int
compare_times(const void *a, const void *b)
{
	dff_time_t left = *(const dff_time_t *)a;
	dff_time_t right = *(const dff_time_t *)b;

	return left < right ? -1 : left > right;
}

START_TEST(empty_histogram_returns_zero)
{
	dff_hist_t *hist = dff_hist_new();

	ck_assert_uint_eq(dff_hist_count(hist), 0);
	ck_assert_int_eq(dff_hist_quantile(hist, 0.5), 0);
	ck_assert_int_eq(dff_hist_max(hist), 0);
	ck_assert(dff_hist_mean(hist) == 0);
	dff_hist_drop(hist);
}
END_TEST

START_TEST(small_values_are_exact)
{
	dff_hist_t *hist = dff_hist_new();

	for (dff_time_t value = 1; value <= 100; value++)
		dff_hist_add(hist, value);
	dff_hist_add(hist, -5);
	ck_assert_int_eq(dff_hist_quantile(hist, 0), 0);
	ck_assert_int_eq(dff_hist_quantile(hist, 50.0 / 101), 49);
	ck_assert_int_eq(dff_hist_quantile(hist, 1), 100);
	ck_assert(dff_hist_mean(hist) == 50);
	dff_hist_drop(hist);
}
END_TEST

/* Compares with exact quantiles over twelve orders of magnitude. */
START_TEST(quantiles_within_one_percent)
{
	static const double shares[] = {0.01, 0.25, 0.5, 0.9, 0.99, 0.999, 1};
	dff_ctx_t *ctx = dff_ctx_new(5, DFF_LOG_ERR, NULL, NULL);
	dff_time_t *values = g_new(dff_time_t, VALUES);
	dff_hist_t *halves[2] = {dff_hist_new(), dff_hist_new()};

	for (int i = 0; i < VALUES; i++) {
		values[i] = (dff_time_t)(dff_rand_u64(ctx) >>
		    (24 + dff_rand_below(ctx, 40)));
		dff_hist_add(halves[i % 2], values[i]);
	}
	dff_hist_merge(halves[0], halves[1]);
	qsort(values, VALUES, sizeof(values[0]), compare_times);
	ck_assert_uint_eq(dff_hist_count(halves[0]), VALUES);
	ck_assert_int_eq(dff_hist_max(halves[0]), values[VALUES - 1]);
	for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
		size_t rank = (size_t)(shares[i] * VALUES);
		dff_time_t exact = values[rank - 1];
		dff_time_t got = dff_hist_quantile(halves[0], shares[i]);

		ck_assert_int_ge(got, exact);
		ck_assert_int_le(got, exact + exact / 100 + 1);
	}
	dff_hist_drop(halves[0]);
	dff_hist_drop(halves[1]);
	g_free(values);
	dff_ctx_drop(ctx);
}
END_TEST

START_TEST(huge_values_use_last_bucket)
{
	dff_hist_t *hist = dff_hist_new();

	dff_hist_add(hist, INT64_MAX);
	dff_hist_add(hist, 1);
	ck_assert_int_eq(dff_hist_max(hist), INT64_MAX);
	ck_assert_int_gt(dff_hist_quantile(hist, 1), DFF_SEC);
	dff_hist_drop(hist);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("hist");
	TCase *tcase = tcase_create("hist");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, empty_histogram_returns_zero);
	tcase_add_test(tcase, small_values_are_exact);
	tcase_add_test(tcase, quantiles_within_one_percent);
	tcase_add_test(tcase, huge_values_use_last_bucket);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
