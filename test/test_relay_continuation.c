/*
 * Answers to the request that continues a broken stream at another upstream:
 * only events of that stream may follow those that its caller has.
 */
#include <check.h>
#include <stdlib.h>

#include "fake/relay_bench.h"

static relay_bench_t *bench;

static void
setup(void)
{
	bench = relay_bench_new();
	relay_bench_load_routing(bench, 1);
	for (int i = 0; i < 3; i++) {
		char id[] = {'d', (char)('0' + i), '\0'};

		relay_bench_load_upstream(
		    bench, id, "llm", DFF_ROLE_DECODE, "a", 1);
	}
}

static void
teardown(void)
{
	relay_bench_drop(bench);
}

static void
pass_head(uint64_t send, int status, bool stamped, bool events)
{
	dff_relay_event_t event = {.type = DFF_RELAY_HEAD};

	event.head.send = send;
	event.head.status = status;
	event.head.stamped = stamped;
	event.head.events = events;

	relay_bench_step(bench, &event);
}

/* Begins a stream that breaks off after an event; returns the send that
 * continues it. */
static uint64_t
break_stream(void)
{
	const dff_relay_effect_t *fx;
	uint64_t send;

	(void)relay_bench_open_stream(bench, "/resume/x", "one", "", -1);
	send = relay_bench_send(bench);
	pass_head(send, 200, true, true);
	relay_bench_data(bench, send, "id: 1\ndata: x\n\n");
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_ptr_nonnull(fx);
	ck_assert_int_eq(fx->send.after_event, 1);
	return fx->send.send;
}

static const struct {
	int status;
	bool stamped;
	bool events;
	dff_send_result_t end;
} failures[] = {
    {500, true, false, DFF_SEND_DONE},
    {500, true, true, DFF_SEND_DONE},
    {500, true, false, DFF_SEND_CLOSED},
    {500, false, false, DFF_SEND_BROKEN},
    {404, true, false, DFF_SEND_DONE},
    {404, true, true, DFF_SEND_CLOSED},
    {200, false, true, DFF_SEND_DONE},
    {200, true, false, DFF_SEND_DONE},
    {200, true, false, DFF_SEND_CLOSED},
    {200, false, false, DFF_SEND_CLOSED},
};

/* Of no such answer a byte is forwarded, and the stream does not end with it
 * as complete. */
START_TEST(failed_continuation_is_not_forwarded)
{
	uint64_t send = break_stream();

	pass_head(send, failures[_i].status, failures[_i].stamped,
	    failures[_i].events);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_FORWARD_HEAD), 0);
	relay_bench_data(
	    bench, send, "upstream failed\n\nid: 2\ndata: failed\n\n");
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_FORWARD_DATA), 0);
	relay_bench_end(bench, send, failures[_i].end, NULL);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_FORWARD_DATA), 0);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_FORWARD_END), 0);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_ABORT), 1);
}
END_TEST

START_TEST(failed_continuation_is_retried_at_another_upstream)
{
	dff_relay_event_t event = {.type = DFF_RELAY_ROUTING};
	const dff_relay_effect_t *fx;
	dff_route_t *route;
	uint64_t send;

	event.routing = relay_bench_new_routing(2);
	route = event.routing->routes->pdata[3];
	ck_assert_str_eq(route->prefix, "/resume/");
	route->runs_max = 3;
	relay_bench_step(bench, &event);
	dff_routing_drop(event.routing);
	send = break_stream();
	pass_head(send, failures[_i].status, failures[_i].stamped,
	    failures[_i].events);
	relay_bench_end(bench, send, failures[_i].end, NULL);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_ptr_nonnull(fx);
	ck_assert_int_eq(fx->send.after_event, 1);
}
END_TEST

START_TEST(continuation_is_forwarded)
{
	uint64_t send = break_stream();

	pass_head(send, 200, true, true);
	relay_bench_identify(bench, send);
	relay_bench_data(bench, send, "id: 2\ndata: y\n\n");
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_FORWARD_DATA), 1);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_FORWARD_END), 1);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_continuation");
	TCase *tcase = tcase_create("relay_continuation");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_loop_test(tcase, failed_continuation_is_not_forwarded, 0,
	    G_N_ELEMENTS(failures));
	tcase_add_loop_test(tcase,
	    failed_continuation_is_retried_at_another_upstream, 0,
	    G_N_ELEMENTS(failures));
	tcase_add_test(tcase, continuation_is_forwarded);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
