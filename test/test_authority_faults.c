/*
 * The authority part under seeded faults, and with its mechanisms disabled
 * one at a time: a check of the simulation must then fail. DFF_RUNS sets the
 * number of seeds that are run with all mechanisms enabled.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

/** enum mechanism - a mechanism that can be disabled, or FAULT_NONE */
typedef enum mechanism {
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
} mechanism_t;

static mechanism_t disabled_mechanism;

#define DFF_FAULT(name) (disabled_mechanism == FAULT_##name)

#include "../source/authority/append.c"
#include "../source/authority/authority.c"
#include "../source/authority/reconcile.c"
#include "../source/authority/former_holders.c"
#include "../source/authority/lease.c"
#include "../source/authority/order.c"
#include "../source/authority/snapshot.c"
#include "../source/authority/state.c"

#include "fake/authority_sim.h"

/* Seeds run with all mechanisms enabled; most seeds to detect one disabled. */
#define SEED_COUNT	  300
#define DETECT_SEED_COUNT 1500

static uint32_t
seed_count(void)
{
	const char *text = getenv("DFF_RUNS");

	return text != NULL ? (uint32_t)strtoul(text, NULL, 10) : SEED_COUNT;
}

/*
 * Requests without faults, at engines that cut them on an order: draining
 * alone protects the requests.
 */
static void
configure_drain_only(authority_sim_config_t *config, uint32_t seed)
{
	authority_sim_all_faults(config, seed);
	config->cut_on_order = true;
	config->pauses = false;
	config->kills = false;
	config->log_outages = false;
	config->lost_appends = false;
	config->lost_orders = false;
	config->engine_crashes = false;
	config->log_partitions = false;
	config->slow_log = false;
}

/* Runs seeds until a check fails. Returns that seed, or 0 if none fails. */
static uint32_t
find_failing_seed(void (*configure)(authority_sim_config_t *, uint32_t),
    uint32_t count, authority_sim_result_t *result)
{
	for (uint32_t seed = 1; seed <= count; seed++) {
		authority_sim_config_t config;

		configure(&config, seed);
		authority_sim_run(&config, result);
		if (result->failed_check != NULL)
			return seed;
	}
	return 0;
}

static uint32_t detected_count;

static void
detect_disabled(mechanism_t mechanism, const char *name,
    void (*configure)(authority_sim_config_t *, uint32_t))
{
	authority_sim_result_t result;
	uint32_t seed;

	disabled_mechanism = mechanism;
	seed = find_failing_seed(configure, DETECT_SEED_COUNT, &result);
	disabled_mechanism = FAULT_NONE;
	printf("planted %-20s found by \"%s\" seed=%u at=%.3f s\n", name,
	    seed != 0 ? result.failed_check : "nothing", seed,
	    (double)result.failed_at / DFF_SEC);
	detected_count += seed != 0;
}

START_TEST(checks_hold_under_all_faults)
{
	authority_sim_result_t result;
	uint32_t seed =
	    find_failing_seed(authority_sim_all_faults, seed_count(), &result);

	ck_assert_msg(seed == 0, "seed %u: %s at %.3f s", seed,
	    result.failed_check, (double)result.failed_at / DFF_SEC);
}
END_TEST

START_TEST(checks_hold_with_late_orders)
{
	authority_sim_result_t result;
	uint32_t seed =
	    find_failing_seed(authority_sim_late_orders, seed_count(), &result);

	ck_assert_msg(seed == 0, "seed %u: %s at %.3f s", seed,
	    result.failed_check, (double)result.failed_at / DFF_SEC);
}
END_TEST

START_TEST(declared_version_rolls_out)
{
	authority_sim_result_t result;
	uint32_t seed =
	    find_failing_seed(authority_sim_upgrade, seed_count() / 3, &result);

	ck_assert_msg(seed == 0, "seed %u: %s at %.3f s", seed,
	    result.failed_check, (double)result.failed_at / DFF_SEC);
}
END_TEST

START_TEST(draining_cuts_no_request)
{
	authority_sim_result_t result;
	uint32_t seed =
	    find_failing_seed(configure_drain_only, seed_count(), &result);

	ck_assert_msg(seed == 0, "seed %u: %s at %.3f s", seed,
	    result.failed_check, (double)result.failed_at / DFF_SEC);
}
END_TEST

START_TEST(each_disabled_mechanism_is_detected)
{
	detect_disabled(
	    FAULT_TERM_FROM_READ, "term_from_read", authority_sim_all_faults);
	detect_disabled(
	    FAULT_NO_TERM_WAIT, "no_term_wait", authority_sim_all_faults);
	detect_disabled(
	    FAULT_CLAIM_UNCHECKED, "claim_unchecked", authority_sim_all_faults);
	detect_disabled(FAULT_STALE_FENCE_COUNTS, "stale_fence_counts",
	    authority_sim_all_faults);
	detect_disabled(
	    FAULT_SEND_LAPSED, "send_lapsed", authority_sim_all_faults);
	detect_disabled(
	    FAULT_NO_HOLD_BACK, "no_hold_back", authority_sim_all_faults);
	detect_disabled(FAULT_SUCCESSOR_CANCELS, "successor_cancels",
	    authority_sim_all_faults);
	detect_disabled(FAULT_UNKNOWN_IS_FAILED, "unknown_is_failed",
	    authority_sim_all_faults);
	detect_disabled(
	    FAULT_RESEND_EARLY, "resend_early", authority_sim_late_orders);
	detect_disabled(
	    FAULT_CLOSE_EARLY, "close_early", authority_sim_late_orders);
	detect_disabled(
	    FAULT_ACK_EARLY, "ack_early", authority_sim_late_orders);
	detect_disabled(FAULT_NUMBER_NOT_RAISED, "number_not_raised",
	    authority_sim_all_faults);
	detect_disabled(FAULT_NO_DRAIN, "no_drain", configure_drain_only);
	detect_disabled(
	    FAULT_POOL_UNCHECKED, "pool_unchecked", authority_sim_upgrade);
	ck_assert_uint_eq(detected_count, FAULT_COUNT - 1);
}
END_TEST

static void
configure_cut_on_order(authority_sim_config_t *config, uint32_t seed)
{
	authority_sim_all_faults(config, seed);
	config->cut_on_order = true;
}

/*
 * A node that cannot read the drain mark still sends requests. Only engines
 * that refuse orders while requests run protect those.
 */
START_TEST(partitioned_nodes_need_engines_that_refuse)
{
	authority_sim_result_t result;
	uint32_t seed = find_failing_seed(
	    configure_cut_on_order, DETECT_SEED_COUNT, &result);

	printf("planted %-20s found by \"%s\" seed=%u at=%.3f s\n",
	    "engine_not_busy", seed != 0 ? result.failed_check : "nothing",
	    seed, (double)result.failed_at / DFF_SEC);
	ck_assert_uint_ne(seed, 0);
	ck_assert_str_eq(result.failed_check, "request cut");
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
	tcase_add_test(tcase, checks_hold_under_all_faults);
	tcase_add_test(tcase, checks_hold_with_late_orders);
	tcase_add_test(tcase, declared_version_rolls_out);
	tcase_add_test(tcase, draining_cuts_no_request);
	tcase_add_test(tcase, each_disabled_mechanism_is_detected);
	tcase_add_test(tcase, partitioned_nodes_need_engines_that_refuse);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
