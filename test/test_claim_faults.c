/*
 * Runs the claims module in simulations with random faults. With each of its
 * mechanisms disabled in turn, a check must fail; with all enabled, none may.
 * DFF_RUNS sets the number of seeds for the latter.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

/** enum planted_fault - a mechanism that is disabled */
typedef enum planted_fault {
	FAULT_NONE,
	FAULT_LOSER_RUNS,
	FAULT_LATE_CLAIM_KEPT,
	FAULT_ABANDONED_WINS,
	FAULT_GONE_IS_NOT_RUN,
	FAULT_BODY_UNCHECKED,
	FAULT_OUTCOME_ONCE,
	FAULT_PRUNED_EARLY,
	FAULT_COUNT,
} planted_fault_t;

static planted_fault_t planted_fault;

#define DFF_FAULT(name) (planted_fault == FAULT_##name)

#include "../source/claim/claim.c"
#include "../source/claim/store.c"

#include "fake/claim_sim.h"

/* Seeds without a planted fault, and at most per planted fault. */
#define SEEDS_WITHOUT_FAULT 500
#define SEEDS_PER_FAULT	    1000

static uint32_t
seeds_without_fault(void)
{
	const char *text = getenv("DFF_RUNS");

	return text != NULL ? (uint32_t)strtoul(text, NULL, 10) :
			      SEEDS_WITHOUT_FAULT;
}

/* Returns the first seed whose run fails a check, or 0. */
static uint32_t
find_failing_seed(uint32_t count, claim_sim_result_t *result)
{
	for (uint32_t seed = 1; seed <= count; seed++) {
		claim_sim_config_t config;

		claim_sim_config_faults(&config, seed);
		claim_sim_run(&config, result);
		if (result->failed_check != NULL)
			return seed;
	}
	return 0;
}

static uint32_t faults_detected;

static void
detect_fault(planted_fault_t fault, const char *name)
{
	claim_sim_result_t result;
	uint32_t seed;

	planted_fault = fault;
	seed = find_failing_seed(SEEDS_PER_FAULT, &result);
	planted_fault = FAULT_NONE;
	printf("planted %-20s found by \"%s\" seed=%u at=%.3f s\n", name,
	    seed != 0 ? result.failed_check : "nothing", seed,
	    (double)result.failed_at / DFF_SEC);
	faults_detected += seed != 0;
}

START_TEST(no_violation_without_planted_faults)
{
	claim_sim_result_t result;
	uint32_t seed = find_failing_seed(seeds_without_fault(), &result);

	ck_assert_msg(seed == 0, "seed %u: %s at %.3f s", seed,
	    result.failed_check, (double)result.failed_at / DFF_SEC);
}
END_TEST

START_TEST(each_planted_fault_is_detected)
{
	detect_fault(FAULT_LOSER_RUNS, "loser_runs");
	detect_fault(FAULT_LATE_CLAIM_KEPT, "late_claim_kept");
	detect_fault(FAULT_ABANDONED_WINS, "abandoned_wins");
	detect_fault(FAULT_GONE_IS_NOT_RUN, "gone_is_not_run");
	detect_fault(FAULT_BODY_UNCHECKED, "body_unchecked");
	detect_fault(FAULT_OUTCOME_ONCE, "outcome_once");
	detect_fault(FAULT_PRUNED_EARLY, "pruned_early");
	ck_assert_uint_eq(faults_detected, FAULT_COUNT - 1);
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
	tcase_add_test(tcase, no_violation_without_planted_faults);
	tcase_add_test(tcase, each_planted_fault_is_detected);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
