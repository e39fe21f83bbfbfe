/*
 * Upstreams that cannot be reached: what one request is tried for, and what
 * nodes tell each other. The load is a crash of many engines at once, whose
 * records stand for some seconds more.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_bench.h"

#define CRASHED 8

static relay_bench_t *bench;

static void
setup(void)
{
	bench = relay_bench_new();
	relay_bench_load_route(bench, 1);
}

static void
teardown(void)
{
	relay_bench_drop(bench);
}

/* Upstreams "x0", "x1", ... of the plain pool. */
static void
add_upstreams(relay_bench_t *node, int count)
{
	for (int i = 0; i < count; i++) {
		char id[16];

		(void)snprintf(id, sizeof(id), "x%d", i);
		relay_bench_upstream(node, id, "plain", DFF_ROLE_MIXED, "a", 1);
	}
}

START_TEST(request_passes_many_dead_upstreams)
{
	int tried = 0;

	add_upstreams(bench, CRASHED + 1);
	(void)relay_bench_open(bench, "/order/x", 1);
	/* The last one to be tried lives. */
	for (; tried < CRASHED; tried++) {
		ck_assert_int_eq(relay_bench_answer(bench), 0);
		relay_bench_end(
		    bench, relay_bench_send(bench), DFF_SEND_UNSENT, NULL);
	}
	ck_assert_int_eq(relay_bench_answer(bench), 0);
	ck_assert_uint_ne(relay_bench_send(bench), 0);
}
END_TEST

START_TEST(request_is_refused_when_all_were_out_of_reach)
{
	int tried = 0;

	add_upstreams(bench, 3);
	(void)relay_bench_open(bench, "/order/x", 1);
	while (relay_bench_answer(bench) == 0 && tried++ < 10)
		relay_bench_end(
		    bench, relay_bench_send(bench), DFF_SEND_UNSENT, NULL);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	ck_assert_int_eq(tried, 3);
	/* The next one tries one of them, and is refused as that fails. */
	(void)relay_bench_open(bench, "/order/x", 2);
	ck_assert_int_eq(relay_bench_answer(bench), 0);
	relay_bench_end(bench, relay_bench_send(bench), DFF_SEND_UNSENT, NULL);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
}
END_TEST

START_TEST(rejected_sends_are_bounded_as_before)
{
	int tried = 0;

	add_upstreams(bench, CRASHED + 1);
	(void)relay_bench_open(bench, "/read/x", 1);
	while (relay_bench_answer(bench) == 0 && tried < 10) {
		uint64_t send = relay_bench_send(bench);

		tried++;
		relay_bench_head(bench, send, 503, true);
		relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	}
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	ck_assert_int_le(tried, 6);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_unreachable");
	TCase *tcase = tcase_create("core");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, request_passes_many_dead_upstreams);
	tcase_add_test(tcase, request_is_refused_when_all_were_out_of_reach);
	tcase_add_test(tcase, rejected_sends_are_bounded_as_before);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
