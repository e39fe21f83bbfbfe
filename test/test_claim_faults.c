/*
 * The claims part under seeded faults, and with its mechanisms turned off
 * one by one: each time a check must find it. DFF_RUNS sets how many seeds
 * are run with everything on.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

/** enum planted - a mechanism that is turned off */
typedef enum planted {
	FAULT_NONE,
	FAULT_LOSER_RUNS,
	FAULT_LATE_CLAIM_KEPT,
	FAULT_ABANDONED_WINS,
	FAULT_GONE_IS_NOT_RUN,
	FAULT_BODY_UNCHECKED,
	FAULT_OUTCOME_ONCE,
	FAULT_PRUNED_EARLY,
	FAULT_COUNT,
} planted_t;

static planted_t planted;

#define DFF_FAULT(name) (planted == FAULT_##name)

#include "../source/claim/claim.c"
#include "../source/claim/store.c"

#include "fake/claim_sim.h"

/* Seeds run with everything on, and at most to find a planted fault. */
#define RUNS	  500
#define FIND_RUNS 1000

static uint32_t
runs(void)
{
	const char *text = getenv("DFF_RUNS");

	return text != NULL ? (uint32_t)strtoul(text, NULL, 10) : RUNS;
}

/* Run seeds until one fails; 0 if none does. */
static uint32_t
find(uint32_t count, claim_sim_result_t *result)
{
	for (uint32_t seed = 1; seed <= count; seed++) {
		claim_sim_config_t config;

		claim_sim_chaos(&config, seed);
		claim_sim_run(&config, result);
		if (result->broken != NULL)
			return seed;
	}
	return 0;
}

static uint32_t found;

static void
find_fault(planted_t fault, const char *name)
{
	claim_sim_result_t result;
	uint32_t seed;

	planted = fault;
	seed = find(FIND_RUNS, &result);
	planted = FAULT_NONE;
	printf("planted %-20s found by \"%s\" seed=%u at=%.3f s\n", name,
	    seed != 0 ? result.broken : "nothing", seed,
	    (double)result.at / DFF_SEC);
	found += seed != 0;
}

START_TEST(nothing_is_found_with_everything_on)
{
	claim_sim_result_t result;
	uint32_t seed = find(runs(), &result);

	ck_assert_msg(seed == 0, "seed %u: %s at %.3f s", seed, result.broken,
	    (double)result.at / DFF_SEC);
}
END_TEST

START_TEST(each_planted_fault_is_found)
{
	find_fault(FAULT_LOSER_RUNS, "loser_runs");
	find_fault(FAULT_LATE_CLAIM_KEPT, "late_claim_kept");
	find_fault(FAULT_ABANDONED_WINS, "abandoned_wins");
	find_fault(FAULT_GONE_IS_NOT_RUN, "gone_is_not_run");
	find_fault(FAULT_BODY_UNCHECKED, "body_unchecked");
	find_fault(FAULT_OUTCOME_ONCE, "outcome_once");
	find_fault(FAULT_PRUNED_EARLY, "pruned_early");
	ck_assert_uint_eq(found, FAULT_COUNT - 1);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("claim_faults");
	TCase *tcase = tcase_create("claim_faults");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 500);
	tcase_add_test(tcase, nothing_is_found_with_everything_on);
	tcase_add_test(tcase, each_planted_fault_is_found);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
