/*
 * Random scenarios. DFF_EXPLORE_RUNS sets how many, DFF_EXPLORE_SEED the
 * first seed, DFF_EXPLORE_FAILURES after how many failures to end.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "fake/explore.h"

/* Runs unless the environment says otherwise. */
#ifdef __SANITIZE_ADDRESS__
#define RUNS 150
#else
#define RUNS 1500
#endif
/* Failures after which the rest is not run. */
#define FAILURES_MAX 5

static uint32_t
from_environment(const char *name, uint32_t fallback)
{
	const char *text = getenv(name);

	return text != NULL ? (uint32_t)strtoul(text, NULL, 10) : fallback;
}

START_TEST(random_scenarios_break_nothing)
{
	uint32_t first = from_environment("DFF_EXPLORE_SEED", 1);
	uint32_t runs = from_environment("DFF_EXPLORE_RUNS", RUNS);
	uint32_t most = from_environment("DFF_EXPLORE_FAILURES", FAILURES_MAX);
	uint32_t failures = 0;
	uint32_t done = 0;

	for (; done < runs && failures < most; done++) {
		char *why = dff_explore_run(first + done);

		if (why != NULL) {
			printf("%s\n", why);
			failures++;
		}
		g_free(why);
	}
	printf("%u random scenarios from seed %u, %u failed\n", done, first,
	    failures);
	(void)fflush(stdout);
	ck_assert_uint_eq(failures, 0);
}
END_TEST

START_TEST(same_seed_same_script)
{
	char *a = dff_explore_script(5);
	char *b = dff_explore_script(5);

	ck_assert_str_eq(a, b);
	g_free(a);
	g_free(b);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("explore");
	TCase *tcase = tcase_create("explore");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 0);
	tcase_add_test(tcase, same_seed_same_script);
	tcase_add_test(tcase, random_scenarios_break_nothing);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
