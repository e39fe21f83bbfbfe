/*
 * The authority part under seeded faults, and with its mechanisms turned
 * off one by one: each time a check must find it. DFF_RUNS sets how many
 * seeds are run with everything on.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

/** enum planted - a mechanism that is turned off */
typedef enum planted {
	FAULT_NONE,
	FAULT_TERM_FROM_READ,
	FAULT_NO_TERM_WAIT,
	FAULT_CLAIM_UNCHECKED,
	FAULT_STALE_FENCE_COUNTS,
	FAULT_SEND_LAPSED,
	FAULT_NO_HOLD_BACK,
	FAULT_SUCCESSOR_CANCELS,
	FAULT_UNKNOWN_IS_FAILED,
	FAULT_RESEND_EARLY,
	FAULT_ACK_EARLY,
	FAULT_CLOSE_EARLY,
	FAULT_NUMBER_NOT_RAISED,
	FAULT_NO_DRAIN,
	FAULT_POOL_UNCHECKED,
	FAULT_COUNT,
} planted_t;

static planted_t planted;

#define DFF_FAULT(name) (planted == FAULT_##name)

#include "../source/authority/append.c"
#include "../source/authority/authority.c"
#include "../source/authority/desire.c"
#include "../source/authority/harmless.c"
#include "../source/authority/lease.c"
#include "../source/authority/order.c"
#include "../source/authority/snapshot.c"
#include "../source/authority/state.c"

#include "fake/authority_sim.h"

/* Seeds run with everything on, and at most to find a planted fault. */
#define RUNS	  300
#define FIND_RUNS 1500

static uint32_t
runs(void)
{
	const char *text = getenv("DFF_RUNS");

	return text != NULL ? (uint32_t)strtoul(text, NULL, 10) : RUNS;
}

/* Work without faults, at engines that would cut it: only draining helps. */
static void
drain_only(authority_sim_config_t *config, uint32_t seed)
{
	authority_sim_chaos(config, seed);
	config->cut_on_order = true;
	config->pauses = false;
	config->kills = false;
	config->outages = false;
	config->lost_appends = false;
	config->lost_orders = false;
	config->crashes = false;
	config->deaf = false;
	config->slow = false;
}

/* Run seeds until one fails; 0 if none does. */
static uint32_t
find(void (*configure)(authority_sim_config_t *, uint32_t), uint32_t count,
    authority_sim_result_t *result)
{
	for (uint32_t seed = 1; seed <= count; seed++) {
		authority_sim_config_t config;

		configure(&config, seed);
		authority_sim_run(&config, result);
		if (result->broken != NULL)
			return seed;
	}
	return 0;
}

static uint32_t found;

static void
find_fault(planted_t fault, const char *name,
    void (*configure)(authority_sim_config_t *, uint32_t))
{
	authority_sim_result_t result;
	uint32_t seed;

	planted = fault;
	seed = find(configure, FIND_RUNS, &result);
	planted = FAULT_NONE;
	printf("planted %-20s found by \"%s\" seed=%u at=%.3f s\n", name,
	    seed != 0 ? result.broken : "nothing", seed,
	    (double)result.at / DFF_SEC);
	found += seed != 0;
}

START_TEST(nothing_is_found_with_everything_on)
{
	authority_sim_result_t result;
	uint32_t seed = find(authority_sim_chaos, runs(), &result);

	ck_assert_msg(seed == 0, "seed %u: %s at %.3f s", seed, result.broken,
	    (double)result.at / DFF_SEC);
}
END_TEST

START_TEST(nothing_is_found_in_a_hurry)
{
	authority_sim_result_t result;
	uint32_t seed = find(authority_sim_hurry, runs(), &result);

	ck_assert_msg(seed == 0, "seed %u: %s at %.3f s", seed, result.broken,
	    (double)result.at / DFF_SEC);
}
END_TEST

START_TEST(declared_version_rolls_out)
{
	authority_sim_result_t result;
	uint32_t seed = find(authority_sim_upgrade, runs() / 3, &result);

	ck_assert_msg(seed == 0, "seed %u: %s at %.3f s", seed, result.broken,
	    (double)result.at / DFF_SEC);
}
END_TEST

START_TEST(draining_alone_cuts_nothing)
{
	authority_sim_result_t result;
	uint32_t seed = find(drain_only, runs(), &result);

	ck_assert_msg(seed == 0, "seed %u: %s at %.3f s", seed, result.broken,
	    (double)result.at / DFF_SEC);
}
END_TEST

START_TEST(each_planted_fault_is_found)
{
	find_fault(FAULT_TERM_FROM_READ, "term_from_read", authority_sim_chaos);
	find_fault(FAULT_NO_TERM_WAIT, "no_term_wait", authority_sim_chaos);
	find_fault(
	    FAULT_CLAIM_UNCHECKED, "claim_unchecked", authority_sim_chaos);
	find_fault(FAULT_STALE_FENCE_COUNTS, "stale_fence_counts",
	    authority_sim_chaos);
	find_fault(FAULT_SEND_LAPSED, "send_lapsed", authority_sim_chaos);
	find_fault(FAULT_NO_HOLD_BACK, "no_hold_back", authority_sim_chaos);
	find_fault(
	    FAULT_SUCCESSOR_CANCELS, "successor_cancels", authority_sim_chaos);
	find_fault(
	    FAULT_UNKNOWN_IS_FAILED, "unknown_is_failed", authority_sim_chaos);
	find_fault(FAULT_RESEND_EARLY, "resend_early", authority_sim_hurry);
	find_fault(FAULT_CLOSE_EARLY, "close_early", authority_sim_hurry);
	find_fault(FAULT_ACK_EARLY, "ack_early", authority_sim_hurry);
	find_fault(
	    FAULT_NUMBER_NOT_RAISED, "number_not_raised", authority_sim_chaos);
	find_fault(FAULT_NO_DRAIN, "no_drain", drain_only);
	find_fault(
	    FAULT_POOL_UNCHECKED, "pool_unchecked", authority_sim_upgrade);
	ck_assert_uint_eq(found, FAULT_COUNT - 1);
}
END_TEST

static void
engines_cut(authority_sim_config_t *config, uint32_t seed)
{
	authority_sim_chaos(config, seed);
	config->cut_on_order = true;
}

/* A node that cannot hear the mark: the engine's refusal protects it. */
START_TEST(deaf_nodes_need_engines_that_refuse)
{
	authority_sim_result_t result;
	uint32_t seed = find(engines_cut, FIND_RUNS, &result);

	printf("planted %-20s found by \"%s\" seed=%u at=%.3f s\n",
	    "engine_not_busy", seed != 0 ? result.broken : "nothing", seed,
	    (double)result.at / DFF_SEC);
	ck_assert_uint_ne(seed, 0);
	ck_assert_str_eq(result.broken, "request cut");
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("authority_faults");
	TCase *tcase = tcase_create("authority_faults");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 500);
	tcase_add_test(tcase, nothing_is_found_with_everything_on);
	tcase_add_test(tcase, nothing_is_found_in_a_hurry);
	tcase_add_test(tcase, declared_version_rolls_out);
	tcase_add_test(tcase, draining_alone_cuts_nothing);
	tcase_add_test(tcase, each_planted_fault_is_found);
	tcase_add_test(tcase, deaf_nodes_need_engines_that_refuse);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
