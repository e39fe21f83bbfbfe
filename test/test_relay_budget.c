/*
 * The retry budget: in any window all nodes together may have at most
 * ratio x requests + slack extra sends.
 */
#include <check.h>
#include <stdlib.h>

#include "relay/budget.h"

#define NODES  7
#define WINDOW (10 * DFF_SEC)
#define RATIO  0.2
#define SLACK  54.0
#define STEP   (10 * DFF_MSEC)
#define STEPS  6000

static budget_t *budgets[NODES];

static void
setup(void)
{
	for (int i = 0; i < NODES; i++) {
		budgets[i] = budget_new();
		budget_set(budgets[i], WINDOW, RATIO, SLACK, NODES);
	}
}

static void
teardown(void)
{
	for (int i = 0; i < NODES; i++)
		budget_drop(budgets[i]);
}

/*
 * For a minute every node asks for an extra send at each request. Requests are
 * uneven: each other node gets a tenth as many as the first one.
 */
START_TEST(no_window_exceeds_the_budget_of_all_nodes)
{
	static int requests[STEPS];
	static int extras[STEPS];
	const int length = (int)(WINDOW / STEP);

	for (int t = 0; t < STEPS; t++) {
		dff_time_t now = 1000 * DFF_SEC + t * STEP;

		for (int i = 0; i < NODES; i++) {
			if (t % (i == 0 ? 5 : 50) != 0)
				continue;
			budget_note_request(budgets[i], "p", now);
			requests[t]++;
			if (budget_take(budgets[i], "p", now))
				extras[t]++;
		}
	}
	for (int from = 0; from + length <= STEPS; from++) {
		int requested = 0;
		int spent = 0;

		for (int t = from; t < from + length; t++) {
			requested += requests[t];
			spent += extras[t];
		}
		ck_assert_msg(spent <= RATIO * requested + SLACK,
		    "from=%d asked=%d spent=%d", from, requested, spent);
	}
}
END_TEST

START_TEST(spent_budget_returns_after_the_window)
{
	dff_time_t now = 1000 * DFF_SEC;
	int taken = 0;

	while (budget_take(budgets[0], "p", now))
		taken++;
	ck_assert_int_eq(taken, (int)(0.8 * SLACK / NODES));
	ck_assert(!budget_take(budgets[0], "p", now + WINDOW / 2));
	ck_assert(budget_take(budgets[0], "p", now + WINDOW + DFF_SEC));
}
END_TEST

START_TEST(pools_have_separate_budgets)
{
	dff_time_t now = 1000 * DFF_SEC;

	while (budget_take(budgets[0], "p", now))
		continue;
	ck_assert(budget_take(budgets[0], "q", now));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_budget");
	TCase *tcase = tcase_create("relay_budget");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, no_window_exceeds_the_budget_of_all_nodes);
	tcase_add_test(tcase, spent_budget_returns_after_the_window);
	tcase_add_test(tcase, pools_have_separate_budgets);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
