/*
 * Timing of sends: the check before a send leaves, when all events that arrived
 * earlier have been processed, and sends without an answer in time.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_bench.h"

static relay_bench_t *bench;

static void
setup(void)
{
	bench = relay_bench_new();
	relay_bench_load_routing(bench, 1);
	relay_bench_load_upstream(bench, "p1", "plain", DFF_ROLE_MIXED, "a", 1);
	relay_bench_load_upstream(bench, "p2", "plain", DFF_ROLE_MIXED, "a", 1);
}

static void
teardown(void)
{
	relay_bench_drop(bench);
}

static const char *
upstream_of_send(void)
{
	const dff_relay_effect_t *fx =
	    relay_bench_find(bench, DFF_RELAY_FX_SEND);

	ck_assert_ptr_nonnull(fx);
	return fx->send.upstream;
}

static void
pass_before_send(uint64_t send)
{
	dff_relay_event_t event = {.type = DFF_RELAY_BEFORE_SEND};

	event.before_send = send;
	relay_bench_step(bench, &event);
}

static void
remove_upstream(const char *id)
{
	dff_relay_event_t event = {.type = DFF_RELAY_UPSTREAM};

	g_strlcpy(event.upstream.id, id, sizeof(event.upstream.id));
	event.upstream.removed = true;
	relay_bench_step(bench, &event);
}

START_TEST(valid_send_leaves)
{
	(void)relay_bench_open(bench, "/order/x", 1);
	pass_before_send(relay_bench_send(bench));
	ck_assert_uint_eq(bench->fx->len, 0);
}
END_TEST

/* The send has not left, so even a request that may run only once can move to
 * another upstream. */
START_TEST(send_moves_if_its_upstream_was_removed)
{
	char first[DFF_NAME_MAX];
	uint64_t send;

	(void)relay_bench_open(bench, "/order/x", 1);
	send = relay_bench_send(bench);
	g_strlcpy(first, upstream_of_send(), sizeof(first));
	remove_upstream(first);
	pass_before_send(send);
	ck_assert_ptr_nonnull(relay_bench_find(bench, DFF_RELAY_FX_CANCEL));
	ck_assert_str_ne(upstream_of_send(), first);
	/* The second upstream answers; the first has no effect any more. */
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 200, false);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_ptr_nonnull(
	    relay_bench_find(bench, DFF_RELAY_FX_FORWARD_END));
}
END_TEST

/* The process was delayed beyond the caller's timeout: nothing is sent, so the
 * answer 503, "not run", is true. */
START_TEST(expired_send_does_not_leave)
{
	uint64_t send;

	(void)relay_bench_open(bench, "/order/x", 1);
	send = relay_bench_send(bench);
	bench->now += 4 * DFF_SEC;
	pass_before_send(send);
	ck_assert_ptr_nonnull(relay_bench_find(bench, DFF_RELAY_FX_CANCEL));
	ck_assert_ptr_null(relay_bench_find(bench, DFF_RELAY_FX_SEND));
	ck_assert_int_eq(relay_bench_answer(bench), 503);
}
END_TEST

/* After a delay of the process, arrived events are handled before expired
 * timers. */
START_TEST(answer_is_handled_before_expired_timers)
{
	uint64_t send;

	(void)relay_bench_open(bench, "/read/x", 1);
	send = relay_bench_send(bench);
	bench->now += 4 * DFF_SEC;
	relay_bench_head(bench, send, 200, false);
	ck_assert_ptr_null(relay_bench_find(bench, DFF_RELAY_FX_SEND));
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_ptr_nonnull(
	    relay_bench_find(bench, DFF_RELAY_FX_FORWARD_END));
}
END_TEST

/* ---- late sends ---- */

/* The answer may still come; a cancel would be worse for the caller. */
START_TEST(late_send_stays_without_an_alternative)
{
	uint64_t send;

	remove_upstream("p2");
	(void)relay_bench_open(bench, "/read/x", 1);
	send = relay_bench_send(bench);
	relay_bench_wait(bench, 250 * DFF_MSEC);
	ck_assert_ptr_null(relay_bench_find(bench, DFF_RELAY_FX_CANCEL));
	ck_assert_int_eq(relay_bench_answer(bench), 0);
	relay_bench_head(bench, send, 200, false);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_ptr_nonnull(
	    relay_bench_find(bench, DFF_RELAY_FX_FORWARD_END));
}
END_TEST

START_TEST(late_send_goes_to_another)
{
	char first[DFF_NAME_MAX];

	(void)relay_bench_open(bench, "/read/x", 1);
	g_strlcpy(first, upstream_of_send(), sizeof(first));
	relay_bench_wait(bench, 250 * DFF_MSEC);
	ck_assert_str_ne(upstream_of_send(), first);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_send_timing");
	TCase *tcase = tcase_create("relay_send_timing");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, valid_send_leaves);
	tcase_add_test(tcase, send_moves_if_its_upstream_was_removed);
	tcase_add_test(tcase, expired_send_does_not_leave);
	tcase_add_test(tcase, answer_is_handled_before_expired_timers);
	tcase_add_test(tcase, late_send_stays_without_an_alternative);
	tcase_add_test(tcase, late_send_goes_to_another);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
