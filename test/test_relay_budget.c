/*
 * The budget of extra sends, against the rule that it has to keep: in any
 * window, over all nodes, no more than ratio x requests + slack.
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
 * Every node wants an extra send for each request, for a minute, with
 * requests that come unevenly: a tenth of them at the first node's peers.
 */
START_TEST(no_window_of_all_nodes_is_overspent)
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
		int asked = 0;
		int spent = 0;

		for (int t = from; t < from + length; t++) {
			asked += requests[t];
			spent += extras[t];
		}
		ck_assert_msg(spent <= RATIO * asked + SLACK,
		    "from=%d asked=%d spent=%d", from, asked, spent);
	}
}
END_TEST

START_TEST(what_was_spent_comes_back_with_the_window)
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

START_TEST(pools_have_budgets_of_their_own)
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
	tcase_add_test(tcase, no_window_of_all_nodes_is_overspent);
	tcase_add_test(tcase, what_was_spent_comes_back_with_the_window);
	tcase_add_test(tcase, pools_have_budgets_of_their_own);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
