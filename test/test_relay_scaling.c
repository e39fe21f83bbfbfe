/*
 * Ordering upstreams: a platform with four domains of two kinds of upstreams,
 * and a load that needs a tenth of the whole fleet on average.
 */
#include <check.h>
#include <stdlib.h>

#include "fake/scaling_sim.h"

/* From an order to the records: a call, a boot, a listing; and a second until
 * the demand is seen. */
#define REACTION (3 * DFF_SEC)

/* Including the change from the whole fleet in its first half a minute, and
 * from then on. */
START_TEST(the_fleet_follows_the_load)
{
	scaling_sim_t *world = scaling_sim_new();

	scaling_sim_run(world, 120 * DFF_SEC);
	ck_assert_double_lt(scaling_sim_late_share(world), 0.005);
	ck_assert_double_lt(
	    world->price, 0.25 * 120 * SCALING_SIM_DOMAINS * SCALING_SIM_WHOLE);
	world->seconds = 0;
	scaling_sim_run(world, 120 * DFF_SEC);
	ck_assert_double_lt(world->seconds,
	    0.5 * 120 * SCALING_SIM_DOMAINS * SCALING_SIM_WHOLE);
	ck_assert_double_lt(scaling_sim_late_share(world), 0.005);
	scaling_sim_drop(world);
}
END_TEST

START_TEST(a_steady_load_needs_few_orders)
{
	scaling_sim_t *world = scaling_sim_new();

	scaling_sim_run(world, 60 * DFF_SEC);
	ck_assert_uint_le(world->orders, 40);
	world->orders = 0;
	scaling_sim_run(world, 60 * DFF_SEC);
	ck_assert_uint_le(world->orders, 8);
	scaling_sim_drop(world);
}
END_TEST

START_TEST(a_burst_is_served)
{
	scaling_sim_t *world = scaling_sim_new();

	scaling_sim_run(world, 70 * DFF_SEC);
	world->factor = 1.9;
	world->work = world->late = 0;
	scaling_sim_run(world, 14 * DFF_SEC);
	world->factor = 1;
	scaling_sim_run(world, 10 * DFF_SEC);
	ck_assert_double_lt(scaling_sim_late_share(world), 0.01);
	scaling_sim_drop(world);
}
END_TEST

/* The busiest domain goes, and there are none to be had for 11 s. */
START_TEST(a_reclaimed_domain_is_borne)
{
	scaling_sim_t *world = scaling_sim_new();
	uint32_t before;

	for (uint32_t d = 0; d < SCALING_SIM_DOMAINS; d++) {
		scaling_sim_run(world, 70 * DFF_SEC);
		before = scaling_plan(world->scaling)->need;
		world->work = world->late = 0;
		scaling_sim_reclaim(world, d, 11 * DFF_SEC);
		ck_assert_double_ge(scaling_sim_serving(world), 0.7 * before);
		scaling_sim_run(world, SCALING_SIM_BOOT + REACTION);
		ck_assert_double_lt(scaling_sim_late_share(world), 0.01);
		/* Room for a burst is there again. */
		ck_assert_uint_ge(scaling_sim_serving(world), before);
		scaling_sim_run(world, 20 * DFF_SEC);
	}
	scaling_sim_drop(world);
}
END_TEST

START_TEST(where_none_are_to_be_had_is_asked_seldom)
{
	scaling_sim_t *world = scaling_sim_new();

	scaling_sim_run(world, 70 * DFF_SEC);
	scaling_sim_reclaim(world, 1, 60 * DFF_SEC);
	world->orders = 0;
	scaling_sim_run(world, 30 * DFF_SEC);
	ck_assert_uint_le(world->orders, 16);
	scaling_sim_drop(world);
}
END_TEST

START_TEST(regular_ones_are_ordered_without_reclaimable_ones)
{
	scaling_sim_t *world = scaling_sim_new();

	scaling_sim_run(world, 70 * DFF_SEC);
	for (uint32_t d = 0; d < SCALING_SIM_DOMAINS; d++)
		scaling_sim_reclaim(world, d, 60 * DFF_SEC);
	scaling_sim_run(world, SCALING_SIM_BOOT + 2 * REACTION);
	world->work = world->late = 0;
	scaling_sim_run(world, 20 * DFF_SEC);
	ck_assert_double_lt(scaling_sim_late_share(world), 0.01);
	scaling_sim_drop(world);
}
END_TEST

/* A domain goes, no reclaimable ones are to be had anywhere for 11 s, and the
 * load rises meanwhile and until after that: regular ones help out, and no
 * longer. */
START_TEST(regular_ones_help_out_while_there_are_no_others)
{
	for (uint32_t d = 0; d < SCALING_SIM_DOMAINS; d++) {
		scaling_sim_t *world = scaling_sim_new();
		uint32_t regular;

		scaling_sim_run(world, 46 * DFF_SEC);
		scaling_sim_reclaim(world, d, 11 * DFF_SEC);
		for (uint32_t i = 0; i < SCALING_SIM_DOMAINS; i++)
			world->dry_until[i] = world->dry_until[d];
		scaling_sim_run(world, 2 * DFF_SEC);
		world->work = world->late = 0;
		world->factor = 1.4;
		scaling_sim_run(world, 6500 * DFF_MSEC);
		world->factor = 1.9;
		scaling_sim_run(world, 2500 * DFF_MSEC);
		regular = scaling_sim_regular(world);
		ck_assert_uint_gt(regular, 0);
		scaling_sim_run(world, SCALING_SIM_BOOT);
		ck_assert_msg(scaling_sim_regular(world) <= regular,
		    "%u regular ones, then %u", regular,
		    scaling_sim_regular(world));
		scaling_sim_run(world, SCALING_SIM_BOOT + 2 * REACTION);
		ck_assert_uint_eq(scaling_sim_regular(world), 0);
		ck_assert_double_lt(scaling_sim_late_share(world), 0.01);
		scaling_sim_drop(world);
	}
}
END_TEST

/* As before, and the load rises no more when there are reclaimable ones again.
 */
START_TEST(regular_ones_do_not_stay_long)
{
	scaling_sim_t *world = scaling_sim_new();

	scaling_sim_run(world, 46 * DFF_SEC);
	scaling_sim_reclaim(world, 0, 16 * DFF_SEC);
	for (uint32_t d = 0; d < SCALING_SIM_DOMAINS; d++)
		world->dry_until[d] = world->dry_until[0];
	world->factor = 1.8;
	world->orders_for_fewer = 0;
	scaling_sim_run(world, 16 * DFF_SEC);
	ck_assert_uint_gt(scaling_sim_regular(world), 0);
	ck_assert_uint_eq(world->orders_for_fewer, 0);
	world->orders = 0;
	scaling_sim_run(world, 16 * DFF_SEC);
	ck_assert_uint_eq(scaling_sim_regular(world), 0);
	ck_assert_uint_le(world->orders, 32);
	scaling_sim_drop(world);
}
END_TEST

/* Refusals, lost answers, orders carried out up to 6 s late. */
START_TEST(lost_and_refused_calls_do_no_harm)
{
	for (uint32_t seed = 1; seed <= 40; seed++) {
		scaling_sim_t *world = scaling_sim_new();

		g_rand_set_seed(world->rng, seed);
		world->refused_share = 0.2;
		world->lost_share = 0.4;
		scaling_sim_run(world, 60 * DFF_SEC);
		world->factor = 1.9;
		scaling_sim_run(world, 14 * DFF_SEC);
		world->factor = 1;
		scaling_sim_reclaim(
		    world, seed % SCALING_SIM_DOMAINS, 11 * DFF_SEC);
		scaling_sim_run(world, 46 * DFF_SEC);
		ck_assert_msg(scaling_sim_late_share(world) < 0.02,
		    "seed %u: %.3f late", seed, scaling_sim_late_share(world));
		ck_assert_uint_le(world->orders, 2 * SCALING_ORDERS_MAX);
		ck_assert_double_lt(world->price,
		    0.5 * 120 * SCALING_SIM_DOMAINS * SCALING_SIM_WHOLE);
		scaling_sim_drop(world);
	}
}
END_TEST

/* A holder that knows nothing of earlier orders or of the demand changes
 * nothing at first. */
START_TEST(a_new_holder_begins_with_the_records)
{
	scaling_sim_t *world = scaling_sim_new();
	uint32_t before;

	scaling_sim_run(world, 60 * DFF_SEC);
	before = scaling_sim_serving(world);
	scaling_drop(world->scaling);
	world->scaling = scaling_new(1);
	{
		scaling_view_t view;

		scaling_sim_view(world, &view);
		scaling_begin(world->scaling, &view);
	}
	world->orders = 0;
	scaling_sim_run(world, 8 * DFF_SEC);
	ck_assert_uint_eq(world->orders, 0);
	ck_assert_uint_ge(scaling_sim_serving(world), before);
	scaling_sim_drop(world);
}
END_TEST

START_TEST(a_silent_start_takes_nothing_away)
{
	scaling_sim_t *world = scaling_sim_new();
	uint32_t total = SCALING_SIM_DOMAINS * SCALING_SIM_WHOLE;

	world->idle = true;
	scaling_sim_run(world, 12 * DFF_SEC);
	/* Reclaimable ones replace the others, one for one. */
	ck_assert_uint_ge(scaling_sim_serving(world), total);
	for (uint32_t d = 0; d < SCALING_SIM_DOMAINS; d++)
		ck_assert_uint_eq(
		    scaling_sim_count(world, d, SCALING_REGULAR, true), 0);
	ck_assert_uint_ge(world->fewest, total);
	world->idle = false;
	scaling_sim_run(world, 5 * DFF_SEC);
	ck_assert_uint_ge(scaling_sim_serving(world), total);
	scaling_sim_drop(world);
}
END_TEST

START_TEST(an_idle_pool_shrinks_to_its_minimum)
{
	scaling_sim_t *world = scaling_sim_new();

	world->idle = true;
	scaling_sim_run(world, 90 * DFF_SEC);
	for (uint32_t d = 0; d < SCALING_SIM_DOMAINS; d++)
		ck_assert_uint_eq(
		    scaling_sim_count(world, d, -1, true), SCALING_SIM_MIN);
	scaling_sim_drop(world);
}
END_TEST

static Suite *
suite(void)
{
	Suite *s = suite_create("scaling");
	TCase *tc = tcase_create("scaling");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, the_fleet_follows_the_load);
	tcase_add_test(tc, a_steady_load_needs_few_orders);
	tcase_add_test(tc, a_burst_is_served);
	tcase_add_test(tc, a_reclaimed_domain_is_borne);
	tcase_add_test(tc, where_none_are_to_be_had_is_asked_seldom);
	tcase_add_test(tc, regular_ones_are_ordered_without_reclaimable_ones);
	tcase_add_test(tc, regular_ones_help_out_while_there_are_no_others);
	tcase_add_test(tc, regular_ones_do_not_stay_long);
	tcase_add_test(tc, lost_and_refused_calls_do_no_harm);
	tcase_add_test(tc, a_new_holder_begins_with_the_records);
	tcase_add_test(tc, a_silent_start_takes_nothing_away);
	tcase_add_test(tc, an_idle_pool_shrinks_to_its_minimum);
	suite_add_tcase(s, tc);
	return s;
}

int
main(void)
{
	SRunner *runner = srunner_create(suite());
	int failed;

	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
