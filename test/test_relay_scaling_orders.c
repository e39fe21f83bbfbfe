/*
 * Single orders of upstreams: what is asked for, repeated, corrected or taken
 * back, by what is listed and answered.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "relay/scaling.h"

#define START	(1000 * DFF_SEC)
#define TICK	(100 * DFF_MSEC)
#define DOMAINS 4
#define WHOLE	35 /* upstreams a domain at the beginning */
#define BOOT	(4 * DFF_SEC)

static const dff_scaling_t bounds = {.enabled = true,
    .min = 1,
    .max = 70,
    .boot_time = BOOT,
    .reclaimable_price = 0.22,
    .prices = {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}, {"d", 0.9}},
    .price_count = DOMAINS};

START_TEST(two_domains_bear_the_loss_of_one)
{
	scaling_t *scaling = scaling_new(1);
	dff_scaling_t dear = bounds;
	scaling_view_t view = {.bounds = &dear, .need = 20, .loaded = true};
	const scaling_plan_t *plan = scaling_plan(scaling);
	scaling_order_t order;

	dear.reclaimable_price = 0.6;
	scaling_view_domain(&view, "a")->listed[SCALING_REGULAR] = 5;
	scaling_view_domain(&view, "b")->listed[SCALING_REGULAR] = 5;
	scaling_begin(scaling, &view);
	scaling_observe(scaling, &view, START);
	(void)scaling_next_order(scaling, &view, START, &order);
	for (uint32_t d = 0; d < 2; d++)
		ck_assert_uint_ge(
		    plan->targets[d].wanted[SCALING_RECLAIMABLE], 14);
	scaling_drop(scaling);
}
END_TEST

/* Orders for more were refused all the time; then many are not needed. */
START_TEST(refused_orders_leave_room_for_others)
{
	static const char *const names[] = {
	    "a", "b", "c", "d", "e", "f", "g", "h"};
	scaling_t *scaling = scaling_new(1);
	scaling_view_t view = {.bounds = &bounds, .need = 40, .loaded = true};
	scaling_order_t order;
	uint32_t refused = 0;
	dff_time_t now = START;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		scaling_view_domain(&view, names[i])->listed[SCALING_REGULAR] =
		    5;
	scaling_begin(scaling, &view);
	for (; now < START + 55 * DFF_SEC; now += TICK) {
		scaling_observe(scaling, &view, now);
		if (!scaling_next_order(scaling, &view, now, &order))
			continue;
		ck_assert_int_eq(order.kind, SCALING_RECLAIMABLE);
		ck_assert(scaling_note_result(
		    scaling, order.number, DFF_ORDERED_NONE_AVAILABLE, now));
		refused++;
	}
	ck_assert_uint_gt(refused, SCALING_ORDERS_MAX * 3 / 4);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		view.domains[i].listed[SCALING_RECLAIMABLE] = 20;
	ck_assert(scaling_next_order(scaling, &view, now, &order));
	ck_assert_str_eq(order.why, "too_many");
	scaling_drop(scaling);
}
END_TEST

/* Late copies do not undo newer orders: an older number is not outstanding
 * when another is sent. */
START_TEST(an_unanswered_order_is_repeated_as_it_is)
{
	scaling_t *scaling = scaling_new(1);
	scaling_view_t view = {.bounds = &bounds, .need = 30, .loaded = true};
	scaling_order_t first;
	scaling_order_t again;
	dff_time_t now = START;

	for (uint32_t d = 0; d < DOMAINS; d++)
		scaling_view_domain(&view, bounds.prices[d].domain)
		    ->listed[SCALING_RECLAIMABLE] = d == 0 ? 1 : 12;
	scaling_begin(scaling, &view);
	for (; now < START + 32 * DFF_SEC; now += TICK)
		scaling_observe(scaling, &view, now);
	ck_assert(scaling_next_order(scaling, &view, now, &first));
	ck_assert_str_eq(first.domain, "a");
	ck_assert(!scaling_next_order(scaling, &view, now, &again));
	ck_assert(scaling_note_result(
	    scaling, first.number, DFF_ORDERED_UNANSWERED, now));
	ck_assert(!scaling_note_result(
	    scaling, first.number, DFF_ORDERED_ACCEPTED, now));
	/* More is wanted now, but first the same number is sent again. */
	view.need = 60;
	for (; now < START + 37 * DFF_SEC; now += TICK)
		scaling_observe(scaling, &view, now);
	do {
		ck_assert(scaling_next_order(scaling, &view, now, &again));
	} while (strcmp(again.domain, "a") != 0);
	ck_assert_uint_eq(again.count, first.count);
	ck_assert_uint_ne(again.number, first.number);
	scaling_drop(scaling);
}
END_TEST

/* An older order, carried out late, takes away what a newer one brought. */
START_TEST(an_older_order_carried_out_late_is_corrected)
{
	scaling_t *scaling = scaling_new(1);
	scaling_view_t view = {.bounds = &bounds, .need = 60, .loaded = true};
	scaling_order_t order;
	dff_time_t now = START;

	for (uint32_t d = 0; d < DOMAINS; d++)
		scaling_view_domain(&view, bounds.prices[d].domain)
		    ->listed[SCALING_RECLAIMABLE] = 24;
	view.domains[1].listed[SCALING_RECLAIMABLE] = 8;
	scaling_begin(scaling, &view);
	for (; now < START + 32 * DFF_SEC; now += TICK)
		scaling_observe(scaling, &view, now);
	ck_assert(scaling_next_order(scaling, &view, now, &order));
	ck_assert_str_eq(order.domain, "b");
	ck_assert(scaling_note_result(
	    scaling, order.number, DFF_ORDERED_ACCEPTED, now));
	view.domains[1].listed[SCALING_RECLAIMABLE] = order.count;
	now += BOOT;
	scaling_observe(scaling, &view, now);
	ck_assert(!scaling_next_order(scaling, &view, now, &order));
	view.domains[1].listed[SCALING_RECLAIMABLE] = 8;
	now += TICK;
	scaling_observe(scaling, &view, now);
	ck_assert(scaling_next_order(scaling, &view, now, &order));
	ck_assert_str_eq(order.domain, "b");
	scaling_drop(scaling);
}
END_TEST

/* Upstreams are listed as they start, 30 a second, the first ones after a second.
 */
START_TEST(upstreams_that_are_being_listed_are_waited_for)
{
	scaling_t *scaling = scaling_new(1);
	scaling_view_t view = {.bounds = &bounds};
	scaling_order_t order;
	dff_time_t now = START;
	uint32_t orders = 0;

	for (uint32_t d = 0; d < DOMAINS; d++)
		(void)scaling_view_domain(&view, bounds.prices[d].domain);
	scaling_begin(scaling, &view);
	for (; now < START + 8 * DFF_SEC; now += TICK) {
		if ((now - START) % (500 * DFF_MSEC) == 0 &&
		    now >= START + DFF_SEC && now < START + 6 * DFF_SEC) {
			for (uint32_t d = 0; d < DOMAINS; d++)
				view.domains[d].listed[SCALING_REGULAR] = MIN(
				    view.domains[d].listed[SCALING_REGULAR] + 4,
				    WHOLE);
		}
		scaling_observe(scaling, &view, now);
		while (scaling_next_order(scaling, &view, now, &order)) {
			ck_assert_int_eq(order.kind, SCALING_RECLAIMABLE);
			ck_assert_uint_eq(order.count, WHOLE);
			orders++;
		}
	}
	ck_assert_uint_eq(orders, DOMAINS);
	scaling_drop(scaling);
}
END_TEST

/* Engines keep nothing, so that many leave at once: enough remain, also while
 * the others still boot and those that leave are still listed. */
START_TEST(all_that_leave_at_once_are_not_needed)
{
	scaling_t *scaling = scaling_new(1);
	scaling_view_t view = {.bounds = &bounds, .need = 30, .loaded = true};
	scaling_order_t order;
	dff_time_t now = START;
	uint32_t left = DOMAINS * 15;

	for (uint32_t d = 0; d < DOMAINS; d++)
		scaling_view_domain(&view, bounds.prices[d].domain)
		    ->listed[SCALING_REGULAR] = 15;
	scaling_begin(scaling, &view);
	for (; now < START + 32 * DFF_SEC; now += TICK)
		scaling_observe(scaling, &view, now);
	for (; now < START + 35 * DFF_SEC; now += TICK) {
		scaling_observe(scaling, &view, now);
		while (scaling_next_order(scaling, &view, now, &order)) {
			if (order.kind == SCALING_REGULAR)
				left -= order.listed - order.count;
			ck_assert(scaling_note_result(
			    scaling, order.number, DFF_ORDERED_ACCEPTED, now));
		}
	}
	ck_assert_uint_ge(left, 30);
	scaling_drop(scaling);
}
END_TEST

/* A pool of 3,000 upstreams of which half are not needed, and whose nodes can
 * learn of 30 changes in a second. */
START_TEST(orders_change_no_more_than_nodes_can_learn_of)
{
	enum {
		PER_S = 30,
		SECONDS = 20
	};
	scaling_t *scaling = scaling_new(1);
	dff_scaling_t large = bounds;
	scaling_view_t view = {.bounds = &large,
	    .need = 500,
	    .loaded = true,
	    .changes_per_s = PER_S};
	scaling_order_t order;
	uint32_t changes = 0;
	uint32_t orders = 0;
	dff_time_t now = START;

	large.max = 1500;
	for (uint32_t d = 0; d < DOMAINS; d++)
		scaling_view_domain(&view, bounds.prices[d].domain)
		    ->listed[SCALING_REGULAR] = 750;
	scaling_begin(scaling, &view);
	for (; now < START + 35 * DFF_SEC; now += TICK)
		scaling_observe(scaling, &view, now);
	for (dff_time_t end = now + SECONDS * DFF_SEC; now < end; now += TICK) {
		scaling_observe(scaling, &view, now);
		while (scaling_next_order(scaling, &view, now, &order)) {
			uint32_t *listed =
			    &scaling_view_domain(&view, order.domain)
				 ->listed[order.kind];

			changes += order.count > *listed ?
			    order.count - *listed :
			    *listed - order.count;
			orders++;
			*listed = order.count;
			ck_assert(scaling_note_result(
			    scaling, order.number, DFF_ORDERED_ACCEPTED, now));
		}
	}
	ck_assert_uint_le(changes, PER_S * (SECONDS + 1));
	ck_assert_uint_ge(changes, PER_S * (SECONDS - 2));
	ck_assert_uint_le(orders, SECONDS + 1);
	scaling_drop(scaling);
}
END_TEST

START_TEST(changes_of_refused_orders_are_left)
{
	enum {
		PER_S = 10
	};
	scaling_pace_t pace = {.refilled_at = 0};

	scaling_pace_refill(&pace, PER_S, START);
	scaling_pace_note(&pace, 1, START);
	scaling_pace_take(&pace, 1, 6);
	scaling_pace_note(&pace, 2, START);
	scaling_pace_take(&pace, 2, 4);
	ck_assert_uint_eq(scaling_pace_limit(&pace, PER_S, 1), 0);
	scaling_pace_forget(&pace, 1);
	ck_assert_uint_eq(scaling_pace_limit(&pace, PER_S, 6), 6);
	ck_assert_uint_eq(scaling_pace_limit(&pace, PER_S, 7), 0);
	scaling_pace_forget(&pace, 1);
	ck_assert_uint_eq(scaling_pace_limit(&pace, PER_S, 7), 0);
	ck_assert_uint_eq(scaling_pace_recent(&pace, START), 1);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("relay_scaling_orders");
	TCase *tc = tcase_create("relay_scaling_orders");
	SRunner *runner;
	int failed;

	tcase_add_test(tc, two_domains_bear_the_loss_of_one);
	tcase_add_test(tc, refused_orders_leave_room_for_others);
	tcase_add_test(tc, an_unanswered_order_is_repeated_as_it_is);
	tcase_add_test(tc, an_older_order_carried_out_late_is_corrected);
	tcase_add_test(tc, upstreams_that_are_being_listed_are_waited_for);
	tcase_add_test(tc, all_that_leave_at_once_are_not_needed);
	tcase_add_test(tc, orders_change_no_more_than_nodes_can_learn_of);
	tcase_add_test(tc, changes_of_refused_orders_are_left);
	suite_add_tcase(s, tc);
	runner = srunner_create(s);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
