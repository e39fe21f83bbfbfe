/*
 * Upstreams that limit the rate of requests that they accept from all nodes
 * together.
 */
#include <check.h>
#include <stdlib.h>

#include "fake/limit_sim.h"

/* Time after the first answer that names a limit until it must hold. */
#define IN_FORCE (3 * DFF_SEC)

static const limit_sim_config_t default_config = {.nodes = 9,
    .domains = 1,
    .upstreams = 6,
    .target = "/read/x",
    .per_s = 60,
    .answer_time = 300 * DFF_MSEC};

static void
teardown(void)
{
	limit_sim_stop();
}

/* Most requests in 4 s that a limit allows. */
static int
allowed(double rate)
{
	return (int)(1.5 * rate * 4 + 5);
}

/* All upstreams up to @count name a limit. */
static void
set_limits(int count, double rate)
{
	for (int i = 0; i < count; i++)
		limit_sim_set_limit(i, rate);
}

/* Runs until limits named now must hold; returns that moment. */
static dff_time_t
run_until_in_force(void)
{
	limit_sim_run(IN_FORCE + 2 * default_config.answer_time);
	return limit_sim_now();
}

static void
check_peaks(int count, double rate, dff_time_t since)
{
	for (int i = 0; i < count; i++)
		ck_assert_int_le(limit_sim_peak(i, since), allowed(rate));
}

/* ---- the bound ---- */

START_TEST(upstream_gets_no_more_than_its_limit)
{
	dff_time_t since;

	limit_sim_start(&default_config);
	set_limits(1, 1.3);
	since = run_until_in_force();
	limit_sim_run(20 * DFF_SEC);
	check_peaks(1, 1.3, since);
}
END_TEST

START_TEST(limit_holds_for_requests_that_run_once)
{
	limit_sim_config_t config = default_config;
	dff_time_t since;

	config.target = "/order/x";
	limit_sim_start(&config);
	set_limits(1, 1.2);
	since = run_until_in_force();
	limit_sim_run(20 * DFF_SEC);
	check_peaks(1, 1.2, since);
}
END_TEST

START_TEST(limits_hold_where_all_upstreams_have_one)
{
	dff_time_t since;

	limit_sim_start(&default_config);
	set_limits(6, 5);
	since = run_until_in_force();
	limit_sim_run(20 * DFF_SEC);
	check_peaks(6, 5, since);
}
END_TEST

START_TEST(limit_that_falls_holds)
{
	dff_time_t since;

	limit_sim_start(&default_config);
	set_limits(1, 6);
	limit_sim_run(10 * DFF_SEC);
	set_limits(1, 0.5);
	since = run_until_in_force();
	limit_sim_run(20 * DFF_SEC);
	check_peaks(1, 0.5, since);
}
END_TEST

/* Prefills, handovers, whole generations, freed memory and lists of cached
 * parts. */
START_TEST(limits_hold_for_all_stages_of_generations)
{
	limit_sim_config_t config = default_config;
	dff_time_t since;

	config.engines = true;
	config.target = "/talk/x";
	limit_sim_start(&config);
	set_limits(2, 1.3);
	since = run_until_in_force();
	limit_sim_run(20 * DFF_SEC);
	check_peaks(2, 1.3, since);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_limit");
	TCase *tcase = tcase_create("relay_limit");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, NULL, teardown);
	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, upstream_gets_no_more_than_its_limit);
	tcase_add_test(tcase, limit_holds_for_requests_that_run_once);
	tcase_add_test(tcase, limits_hold_where_all_upstreams_have_one);
	tcase_add_test(tcase, limit_that_falls_holds);
	tcase_add_test(tcase, limits_hold_for_all_stages_of_generations);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
