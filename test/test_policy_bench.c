/*
 * The goals for the policy as bounds, on short runs in virtual time, so the
 * figures are the same on every machine and in every build. The sanitizer build
 * is slow and therefore runs only one test of each kind, to check for memory
 * errors.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "../bench/fleet.h"

#define SEED 1
#ifdef __SANITIZE_ADDRESS__
#define SLOW_BUILD true
#else
#define SLOW_BUILD false
#endif
#define WARM_UP_TIME (5 * DFF_SEC)

/* Goals, as fractions of the bound or of another run. */
#define STEADY_MIN	       0.90
#define SWING_MIN	       0.80
#define OVERLOAD_MIN	       0.95
#define GAIN_OVER_BASELINE_MIN 1.3
#define NEAR_BOUND_MIN	       0.90
/*
 * Ratio of the bound to the least outstanding baseline from which a gain is
 * required.
 */
#define BOUND_OVER_BASELINE_MIN 1.5

static bench_result_t *
run(const char *name, dff_policy_kind_t kind, dff_time_t length)
{
	bench_options_t options = {.kind = kind, .seed = SEED};
	bench_workload_t *load;
	bench_result_t *result;
	char *path = g_strdup_printf("bench/workloads/%s.conf", name);

	options.roles = kind == DFF_POLICY_PREDICT;
	load = bench_workload_load(path);
	ck_assert_ptr_nonnull(load);
	load->length = length;
	load->warm = WARM_UP_TIME;
	result = bench_fleet_run(load, &options);
	ck_assert_ptr_nonnull(result);
	(void)printf("%s kind=%d good=%u of %u bound=%.0f refused=%u late=%u "
		     "roles=%u\n",
	    name, kind, result->good, result->offered, result->bound.requests,
	    result->refused, result->late, result->role_changes);
	bench_workload_drop(load);
	g_free(path);
	return result;
}

static double
goodput_ratio(const char *name, dff_time_t length)
{
	bench_result_t *result = run(name, DFF_POLICY_PREDICT, length);
	double ratio = bench_result_goodput(result);

	ck_assert_uint_eq(result->refused_blank, 0);
	bench_result_drop(result);
	return ratio;
}

START_TEST(steady_keelwater)
{
	ck_assert_double_ge(
	    goodput_ratio("keelwater-steady", 30 * DFF_SEC), STEADY_MIN);
}
END_TEST

START_TEST(steady_katalyst)
{
	ck_assert_double_ge(
	    goodput_ratio("katalyst-steady", 30 * DFF_SEC), STEADY_MIN);
}
END_TEST

START_TEST(swing_keelwater)
{
	ck_assert_double_ge(
	    goodput_ratio("keelwater-swing", 65 * DFF_SEC), SWING_MIN);
}
END_TEST

START_TEST(swing_katalyst)
{
	ck_assert_double_ge(
	    goodput_ratio("katalyst-swing", 65 * DFF_SEC), SWING_MIN);
}
END_TEST

static void
check_overload(const char *at_capacity, const char *above)
{
	bench_result_t *full;
	bench_result_t *over;

	full = run(at_capacity, DFF_POLICY_PREDICT, 30 * DFF_SEC);
	over = run(above, DFF_POLICY_PREDICT, 30 * DFF_SEC);
	ck_assert_double_ge(
	    over->good_seconds, OVERLOAD_MIN * full->good_seconds);
	ck_assert_uint_ge(over->good, (uint32_t)(OVERLOAD_MIN * full->good));
	bench_result_drop(full);
	bench_result_drop(over);
}

START_TEST(overload_keelwater)
{
	check_overload("keelwater-capacity", "keelwater-overload30");
}
END_TEST

START_TEST(overload_katalyst)
{
	check_overload("katalyst-capacity", "katalyst-overload30");
}
END_TEST

static void
check_gain(const char *name)
{
	bench_result_t *baseline;
	bench_result_t *policy;

	baseline = run(name, DFF_POLICY_LEAST_OUTSTANDING, 65 * DFF_SEC);
	policy = run(name, DFF_POLICY_PREDICT, 65 * DFF_SEC);
	ck_assert_double_ge(
	    (double)policy->good, GAIN_OVER_BASELINE_MIN * baseline->good);
	bench_result_drop(baseline);
	bench_result_drop(policy);
}

/*
 * At this load the least outstanding baseline comes near the bound, so the test
 * compares with the bound itself.
 */
START_TEST(swing_keelwater_near_the_bound)
{
	ck_assert_double_ge(
	    goodput_ratio("keelwater-swing", 65 * DFF_SEC), NEAR_BOUND_MIN);
}
END_TEST

/* The same load swing at a load that leaves room for a gain. */
START_TEST(swing_keelwater_beats_least_outstanding)
{
	bench_result_t *baseline;

	baseline = run(
	    "keelwater-swing10", DFF_POLICY_LEAST_OUTSTANDING, 65 * DFF_SEC);
	ck_assert_double_ge(
	    baseline->bound.requests, BOUND_OVER_BASELINE_MIN * baseline->good);
	bench_result_drop(baseline);
	check_gain("keelwater-swing10");
}
END_TEST

START_TEST(swing_katalyst_beats_least_outstanding)
{
	check_gain("katalyst-swing");
}
END_TEST

START_TEST(one_role_change_for_a_lasting_shift)
{
	bench_result_t *result;

	result = run("keelwater-roleshift", DFF_POLICY_PREDICT, 230 * DFF_SEC);
	ck_assert_uint_eq(result->role_changes, 1);
	bench_result_drop(result);
}
END_TEST

START_TEST(no_role_change_for_a_swing)
{
	bench_result_t *result;

	result = run("keelwater-roleswing", DFF_POLICY_PREDICT, 160 * DFF_SEC);
	ck_assert_uint_eq(result->role_changes, 0);
	bench_result_drop(result);
}
END_TEST

START_TEST(same_seed_same_run)
{
	bench_result_t *first;
	bench_result_t *second;

	first = run("keelwater-burst", DFF_POLICY_PREDICT, 40 * DFF_SEC);
	second = run("keelwater-burst", DFF_POLICY_PREDICT, 40 * DFF_SEC);
	ck_assert_uint_eq(first->good, second->good);
	ck_assert_uint_eq(first->refused, second->refused);
	ck_assert_uint_eq(first->decisions, second->decisions);
	bench_result_drop(first);
	bench_result_drop(second);
}
END_TEST

static void
add_slow_tests(TCase *tcase)
{
	tcase_add_test(tcase, steady_katalyst);
	tcase_add_test(tcase, swing_keelwater);
	tcase_add_test(tcase, swing_katalyst);
	tcase_add_test(tcase, overload_keelwater);
	tcase_add_test(tcase, overload_katalyst);
	tcase_add_test(tcase, swing_keelwater_near_the_bound);
	tcase_add_test(tcase, swing_keelwater_beats_least_outstanding);
	tcase_add_test(tcase, swing_katalyst_beats_least_outstanding);
	tcase_add_test(tcase, one_role_change_for_a_lasting_shift);
	tcase_add_test(tcase, same_seed_same_run);
}

int
main(void)
{
	Suite *suite = suite_create("policy_bench");
	TCase *tcase = tcase_create("policy_bench");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, steady_keelwater);
	tcase_add_test(tcase, no_role_change_for_a_swing);
	if (!SLOW_BUILD)
		add_slow_tests(tcase);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
