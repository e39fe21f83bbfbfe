/*
 * The relay's reducer: what becomes of requests, and what callers are told.
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
	relay_bench_load_route(bench, 1);
	relay_bench_upstream(bench, "p1", "plain", DFF_ROLE_MIXED, "a", 1);
	relay_bench_upstream(bench, "p2", "plain", DFF_ROLE_MIXED, "a", 1);
	relay_bench_upstream(bench, "f1", "llm", DFF_ROLE_PREFILL, "a", 1);
	relay_bench_upstream(bench, "d1", "llm", DFF_ROLE_DECODE, "a", 1);
	relay_bench_upstream(bench, "d2", "llm", DFF_ROLE_DECODE, "a", 1);
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

/* ---- what engines keep ---- */

START_TEST(engine_that_is_met_is_asked_what_it_keeps)
{
	const dff_relay_effect_t *fx;

	/* Those of the set-up: one that prefills, two that decode. */
	relay_bench_wait(bench, 50 * DFF_MSEC);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_LIST), 3);
	relay_bench_upstream(bench, "f2", "llm", DFF_ROLE_PREFILL, "a", 1);
	relay_bench_wait(bench, 50 * DFF_MSEC);
	fx = relay_bench_find(bench, DFF_RELAY_FX_LIST);
	ck_assert_ptr_nonnull(fx);
	ck_assert_str_eq(fx->list.upstream, "f2");
	/* Not at each record of it, and no plain service. */
	relay_bench_upstream(bench, "f2", "llm", DFF_ROLE_PREFILL, "a", 2);
	relay_bench_wait(bench, 50 * DFF_MSEC);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_LIST), 0);
	relay_bench_upstream(bench, "p3", "plain", DFF_ROLE_MIXED, "a", 1);
	relay_bench_wait(bench, 50 * DFF_MSEC);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_LIST), 0);
}
END_TEST

/* A thousand nodes that start would else open a million connections. */
START_TEST(few_of_many_engines_are_asked)
{
	for (int i = 0; i < 500; i++) {
		char id[16];

		(void)g_snprintf(id, sizeof(id), "e%d", i);
		relay_bench_upstream(bench, id, "llm", DFF_ROLE_DECODE, "a", 1);
	}
	relay_bench_wait(bench, 50 * DFF_MSEC);
	ck_assert_uint_ge(relay_bench_count(bench, DFF_RELAY_FX_LIST), 24);
	ck_assert_uint_le(relay_bench_count(bench, DFF_RELAY_FX_LIST), 48);
}
END_TEST

START_TEST(prompt_goes_where_its_parts_are_said_to_be)
{
	const dff_part_t part = {77, 20000};
	dff_relay_event_t event = {.type = DFF_RELAY_KEPT};

	event.kept.upstream = "d2";
	event.kept.parts = &part;
	event.kept.count = 1;
	relay_bench_step(bench, &event);
	(void)relay_bench_open_prompt(bench, "/talk/x", 77, 20000, 78, 100);
	ck_assert_str_eq(upstream_of_send(), "d2");
	/* Who is not known any more changes nothing. */
	event.kept.upstream = "gone";
	relay_bench_step(bench, &event);
}
END_TEST

/* ---- routing ---- */

START_TEST(longest_prefix_of_the_host_is_chosen)
{
	dff_routing_t *routing = dff_routing_new(1);
	const dff_route_t *route;

	(void)dff_routing_add_route(routing, "h", "/a/");
	(void)dff_routing_add_route(routing, "h", "/a/b/");
	(void)dff_routing_add_route(routing, "other", "/a/b/c/");
	route = dff_routing_match(routing, "H", "/a/b/c/d?x=/a/");
	ck_assert_str_eq(route->prefix, "/a/b/");
	ck_assert_str_eq(
	    dff_routing_match(routing, "h", "/a/bc")->prefix, "/a/");
	ck_assert_ptr_null(dff_routing_match(routing, "h", "/a"));
	ck_assert_ptr_null(dff_routing_match(routing, "none", "/a/"));
	dff_routing_drop(routing);
}
END_TEST

START_TEST(weights_share_a_route_out)
{
	dff_routing_t *routing = dff_routing_new(1);
	dff_route_t *route = dff_routing_add_route(routing, "h", "/");
	dff_route_share_t shares[] = {{"x", 90}, {"y", 10}};
	int y = 0;

	g_array_append_vals(route->shares, shares, 2);
	for (uint64_t hash = 0; hash < 1000; hash++)
		y += strcmp(dff_route_pool(route, hash), "y") == 0;
	ck_assert_int_eq(y, 100);
	dff_routing_drop(routing);
}
END_TEST

START_TEST(version_never_goes_back)
{
	relay_bench_load_route(bench, 7);
	relay_bench_load_route(bench, 5);
	ck_assert_uint_eq(dff_relay_routing(bench->relay)->version, 7);
}
END_TEST

START_TEST(without_routing_all_is_refused_and_none_not_found)
{
	relay_bench_t *fresh = relay_bench_new();

	(void)relay_bench_open(fresh, "/read/x", 1);
	ck_assert_int_eq(relay_bench_answer(fresh), 503);
	relay_bench_drop(fresh);
	(void)relay_bench_open(bench, "/nowhere/x", 1);
	ck_assert_int_eq(relay_bench_answer(bench), 404);
}
END_TEST

START_TEST(request_keeps_the_version_it_came_under)
{
	uint64_t send;

	(void)relay_bench_open(bench, "/read/x", 1);
	send = relay_bench_send(bench);
	relay_bench_load_route(bench, 2);
	relay_bench_head(bench, send, 200, false);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_ptr_nonnull(relay_bench_find(bench, DFF_RELAY_FX_PASS_END));
}
END_TEST

/* ---- what a caller may be told, one check a row ---- */

START_TEST(status_follows_fate)
{
	ck_assert_int_eq(
	    dff_relay_status(DFF_FATE_UNSENT, DFF_TROUBLE_BUSY), 503);
	ck_assert_int_eq(
	    dff_relay_status(DFF_FATE_UNSENT, DFF_TROUBLE_TIME), 503);
	ck_assert_int_eq(
	    dff_relay_status(DFF_FATE_REFUSED, DFF_TROUBLE_BUSY), 503);
	ck_assert_int_eq(
	    dff_relay_status(DFF_FATE_PREFILLED, DFF_TROUBLE_TIME), 503);
	ck_assert_int_eq(
	    dff_relay_status(DFF_FATE_OPEN, DFF_TROUBLE_LOST), 502);
	ck_assert_int_eq(
	    dff_relay_status(DFF_FATE_OPEN, DFF_TROUBLE_TIME), 504);
	ck_assert_int_eq(dff_relay_status(DFF_FATE_BEGUN, DFF_TROUBLE_LOST), 0);
}
END_TEST

START_TEST(refused_connections_are_tried_elsewhere_then_not_run)
{
	(void)relay_bench_open(bench, "/order/x", 1);
	relay_bench_end(bench, relay_bench_send(bench), DFF_SEND_UNSENT, NULL);
	ck_assert_uint_ne(relay_bench_send(bench), 0);
	relay_bench_end(bench, relay_bench_send(bench), DFF_SEND_UNSENT, NULL);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	ck_assert(
	    relay_bench_find(bench, DFF_RELAY_FX_ANSWER)->answer.retry_after >
	    0);
}
END_TEST

START_TEST(rejection_is_tried_elsewhere_then_not_run)
{
	uint64_t first;

	(void)relay_bench_open(bench, "/order/x", 1);
	first = relay_bench_send(bench);
	relay_bench_head(bench, first, 503, true);
	relay_bench_end(bench, first, DFF_SEND_DONE, NULL);
	ck_assert_uint_ne(relay_bench_send(bench), first);
	relay_bench_head(bench, relay_bench_send(bench), 503, true);
	relay_bench_end(bench, first + 1, DFF_SEND_BROKEN, NULL);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
}
END_TEST

START_TEST(order_that_broke_off_is_not_repeated)
{
	(void)relay_bench_open(bench, "/order/x", 1);
	relay_bench_end(bench, relay_bench_send(bench), DFF_SEND_BROKEN, NULL);
	ck_assert_uint_eq(relay_bench_send(bench), 0);
	ck_assert_int_eq(relay_bench_answer(bench), 502);
}
END_TEST

START_TEST(order_under_way_as_time_ends_is_unknown)
{
	(void)relay_bench_open(bench, "/order/x", 1);
	relay_bench_wait(bench, 4 * DFF_SEC);
	ck_assert_int_eq(relay_bench_answer(bench), 504);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_CANCEL), 1);
}
END_TEST

START_TEST(final_answer_comes_at_the_timeout)
{
	dff_time_t start = bench->now;

	(void)relay_bench_open(bench, "/order/x", 1);
	relay_bench_wait(bench, 2990 * DFF_MSEC);
	ck_assert_int_eq(relay_bench_answer(bench), 0);
	relay_bench_wait(bench, 20 * DFF_MSEC);
	ck_assert_int_eq(relay_bench_answer(bench), 504);
	ck_assert_int_le(bench->now - start, 3020 * DFF_MSEC);
}
END_TEST

START_TEST(promise_without_the_upstreams_word_is_not_passed_on)
{
	uint64_t send;

	(void)relay_bench_open(bench, "/order/x", 1);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 503, false);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_int_eq(relay_bench_answer(bench), 502);
}
END_TEST

START_TEST(success_without_signature_is_not_passed_on)
{
	dff_relay_event_t event = {.type = DFF_RELAY_HEAD};
	uint64_t send;

	(void)relay_bench_open(bench, "/order/x", 1);
	send = relay_bench_send(bench);
	event.head.send = send;
	event.head.status = 200;
	relay_bench_step(bench, &event);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_int_eq(relay_bench_answer(bench), 502);
}
END_TEST

START_TEST(failure_of_a_read_is_tried_once_more)
{
	uint64_t send;

	(void)relay_bench_open(bench, "/read/x", 1);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 500, false);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	send = relay_bench_send(bench);
	ck_assert_uint_ne(send, 0);
	relay_bench_head(bench, send, 500, false);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_uint_eq(relay_bench_send(bench), 0);
	ck_assert_ptr_nonnull(relay_bench_find(bench, DFF_RELAY_FX_PASS_HEAD));
}
END_TEST

START_TEST(half_an_answer_is_never_passed_on)
{
	uint64_t send;

	(void)relay_bench_open(bench, "/order/x", 1);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 200, false);
	relay_bench_data(bench, send, "half");
	ck_assert_ptr_null(relay_bench_find(bench, DFF_RELAY_FX_PASS_DATA));
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	ck_assert_int_eq(relay_bench_answer(bench), 502);
}
END_TEST

START_TEST(late_word_of_an_old_send_counts_for_nothing)
{
	uint64_t first;

	(void)relay_bench_open(bench, "/read/x", 1);
	first = relay_bench_send(bench);
	relay_bench_end(bench, first, DFF_SEND_BROKEN, NULL);
	ck_assert_uint_ne(relay_bench_send(bench), first);
	relay_bench_head(bench, first, 200, false);
	relay_bench_data(bench, first, "old");
	relay_bench_end(bench, first, DFF_SEND_DONE, NULL);
	ck_assert_ptr_null(relay_bench_find(bench, DFF_RELAY_FX_PASS_END));
}
END_TEST

START_TEST(caller_that_leaves_stops_the_work)
{
	dff_relay_event_t event = {.type = DFF_RELAY_GONE};

	event.gone = relay_bench_open(bench, "/talk/x", 1);
	relay_bench_step(bench, &event);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_CANCEL), 1);
	ck_assert_uint_eq(dff_relay_calls(bench->relay), 0);
}
END_TEST

/* ---- streams ---- */

START_TEST(stream_that_breaks_is_broken_for_its_caller)
{
	uint64_t send;

	(void)relay_bench_open(bench, "/talk/x", 1);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 200, false);
	ck_assert_ptr_nonnull(relay_bench_find(bench, DFF_RELAY_FX_PASS_HEAD));
	relay_bench_data(bench, send, "id: 1\n\n");
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	ck_assert_ptr_nonnull(relay_bench_find(bench, DFF_RELAY_FX_BREAK));
}
END_TEST

/* What callers get of a stream whose events end in bytes without end. */
static size_t
bytes_passed_of_flood(const char *target)
{
	char piece[1025] = {0};
	size_t passed = 0;
	uint64_t send;

	relay_bench_upstream(bench, "e1", "llm", DFF_ROLE_MIXED, "a", 1);
	memset(piece, 'x', sizeof(piece) - 1);
	(void)relay_bench_open(bench, target, 1);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 200, false);
	relay_bench_data(bench, send, "id: 1\ndata: a\n\n");
	for (int i = 0; i < 4096; i++) {
		relay_bench_data(bench, send, piece);
		if (relay_bench_find(bench, DFF_RELAY_FX_CANCEL) != NULL)
			return passed;
		if (relay_bench_find(bench, DFF_RELAY_FX_PASS_DATA) != NULL)
			passed += sizeof(piece) - 1;
	}
	ck_abort_msg("%zu bytes passed on, and no end", passed);
}

START_TEST(stream_of_bytes_without_end_is_broken_off)
{
	ck_assert_uint_le(bytes_passed_of_flood("/talk/x"), 65536);
	ck_assert_ptr_nonnull(relay_bench_find(bench, DFF_RELAY_FX_BREAK));
}
END_TEST

START_TEST(bytes_without_end_stay_out_of_a_stream_that_may_resume)
{
	const dff_relay_effect_t *fx;

	ck_assert_uint_eq(bytes_passed_of_flood("/resume/x"), 0);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_ptr_nonnull(fx);
	ck_assert_int_eq(fx->send.after_event, 1);
}
END_TEST

START_TEST(stream_resumes_after_the_last_whole_event)
{
	const dff_relay_effect_t *fx;
	uint64_t send;

	(void)relay_bench_open(bench, "/resume/x", 1);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 200, false);
	relay_bench_data(bench, send, "id: 1\ndata: a\n\nid: 2\nda");
	fx = relay_bench_find(bench, DFF_RELAY_FX_PASS_DATA);
	ck_assert_uint_eq(fx->pass.len, strlen("id: 1\ndata: a\n\n"));
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_ptr_nonnull(fx);
	ck_assert_int_eq(fx->send.after_event, 1);
	send = fx->send.send;
	relay_bench_head(bench, send, 200, false);
	ck_assert_ptr_null(relay_bench_find(bench, DFF_RELAY_FX_PASS_HEAD));
	relay_bench_data(bench, send, "id: 2\ndata: b\n\n");
	ck_assert_ptr_nonnull(relay_bench_find(bench, DFF_RELAY_FX_PASS_DATA));
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_ptr_nonnull(relay_bench_find(bench, DFF_RELAY_FX_PASS_END));
}
END_TEST

START_TEST(error_of_a_resumption_stays_out_of_the_stream)
{
	uint64_t send;

	(void)relay_bench_open(bench, "/resume/x", 1);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 200, false);
	relay_bench_data(bench, send, "id: 1\n\n");
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 500, false);
	relay_bench_data(bench, send, "oops\n\n");
	ck_assert_ptr_null(relay_bench_find(bench, DFF_RELAY_FX_PASS_DATA));
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_ptr_nonnull(relay_bench_find(bench, DFF_RELAY_FX_BREAK));
}
END_TEST

/* ---- two steps ---- */

START_TEST(prefilled_memory_is_taken_over)
{
	const dff_relay_effect_t *fx;

	(void)relay_bench_open_prompt(bench, "/talk/x", 1, 13000, 2, 4000);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_int_eq(fx->send.step, DFF_STEP_PREFILL);
	ck_assert_str_eq(fx->send.upstream, "f1");
	relay_bench_head(bench, fx->send.send, 200, false);
	relay_bench_end(bench, 1, DFF_SEND_DONE, "h1");
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_int_eq(fx->send.step, DFF_STEP_DECODE);
	ck_assert_str_eq(fx->send.handle, "h1");
	relay_bench_head(bench, fx->send.send, 200, false);
	relay_bench_end(bench, 2, DFF_SEND_DONE, NULL);
	ck_assert_ptr_nonnull(relay_bench_find(bench, DFF_RELAY_FX_PASS_END));
	ck_assert_ptr_null(relay_bench_find(bench, DFF_RELAY_FX_FREE));
}
END_TEST

START_TEST(memory_that_nobody_takes_is_freed)
{
	dff_relay_event_t event = {.type = DFF_RELAY_GONE};
	const dff_relay_effect_t *fx;

	event.gone =
	    relay_bench_open_prompt(bench, "/talk/x", 1, 13000, 2, 4000);
	relay_bench_head(bench, 1, 200, false);
	relay_bench_end(bench, 1, DFF_SEND_DONE, "h1");
	relay_bench_step(bench, &event);
	fx = relay_bench_find(bench, DFF_RELAY_FX_FREE);
	ck_assert_ptr_nonnull(fx);
	ck_assert_str_eq(fx->release.handle, "h1");
	ck_assert_str_eq(fx->release.upstream, "f1");
}
END_TEST

START_TEST(prefill_that_broke_off_has_not_run)
{
	(void)relay_bench_open_prompt(bench, "/talk/x", 1, 13000, 2, 4000);
	relay_bench_end(bench, 1, DFF_SEND_BROKEN, NULL);
	/* The prompt may be read again, here by an engine that decodes. */
	ck_assert_uint_ne(relay_bench_send(bench), 0);
	relay_bench_head(bench, 2, 503, true);
	relay_bench_end(bench, 2, DFF_SEND_DONE, NULL);
	relay_bench_head(bench, 3, 503, true);
	relay_bench_end(bench, 3, DFF_SEND_DONE, NULL);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
}
END_TEST

START_TEST(handle_that_is_refused_twice_is_given_up)
{
	const dff_relay_effect_t *fx;

	relay_bench_upstream(bench, "d3", "llm", DFF_ROLE_DECODE, "a", 1);
	(void)relay_bench_open_prompt(bench, "/talk/x", 1, 13000, 2, 4000);
	relay_bench_head(bench, 1, 200, false);
	relay_bench_end(bench, 1, DFF_SEND_DONE, "h1");
	relay_bench_head(bench, 2, 503, true);
	relay_bench_end(bench, 2, DFF_SEND_DONE, NULL);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_int_eq(fx->send.step, DFF_STEP_DECODE);
	relay_bench_head(bench, 3, 503, true);
	relay_bench_end(bench, 3, DFF_SEND_DONE, NULL);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_ptr_nonnull(fx);
	ck_assert_int_ne(fx->send.step, DFF_STEP_DECODE);
}
END_TEST

START_TEST(lapsed_memory_is_not_asked_for)
{
	const dff_relay_effect_t *fx;

	relay_bench_upstream(bench, "d3", "llm", DFF_ROLE_DECODE, "a", 1);
	(void)relay_bench_open_prompt(bench, "/talk/x", 1, 13000, 2, 4000);
	relay_bench_head(bench, 1, 200, false);
	relay_bench_end(bench, 1, DFF_SEND_DONE, "h1");
	relay_bench_wait(bench, 1100 * DFF_MSEC);
	relay_bench_head(bench, 2, 503, true);
	relay_bench_end(bench, 2, DFF_SEND_DONE, NULL);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_ptr_nonnull(fx);
	ck_assert_int_ne(fx->send.step, DFF_STEP_DECODE);
}
END_TEST

/* Five nodes share ten connections of an upstream: two for each. */
START_TEST(connections_of_an_upstream_are_shared_out)
{
	int sends = 0;

	for (int i = 2; i <= 5; i++) {
		char addr[32];

		(void)g_snprintf(addr, sizeof(addr), "10.0.0.%d:7000", i);
		dff_relay_add_peer(bench->relay, addr, "a", 0, bench->now);
	}
	for (int i = 0; i < 4; i++) {
		(void)relay_bench_open(bench, "/order/x", (uint64_t)i);
		sends += strcmp(upstream_of_send(), "p1") == 0;
	}
	ck_assert_int_eq(sends, 2);
}
END_TEST

/* ---- leaving, stopping, poison ---- */

START_TEST(leaving_upstream_gets_no_new_work)
{
	dff_relay_event_t event = {.type = DFF_RELAY_UPSTREAM};

	g_strlcpy(event.upstream.id, "p1", sizeof(event.upstream.id));
	g_strlcpy(event.upstream.pool, "plain", sizeof(event.upstream.pool));
	event.upstream.born = 1;
	event.upstream.seq = 2;
	event.upstream.leaving = true;
	relay_bench_step(bench, &event);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_FORGET), 1);
	for (int i = 0; i < 8; i++) {
		(void)relay_bench_open(bench, "/order/x", (uint64_t)i);
		ck_assert_str_eq(upstream_of_send(), "p2");
	}
}
END_TEST

START_TEST(stopping_node_serves_on_then_refuses)
{
	const dff_relay_event_t stop = {.type = DFF_RELAY_STOP};
	const char *why;

	relay_bench_step(bench, &stop);
	ck_assert(!dff_relay_ready(bench->relay, bench->now, &why));
	ck_assert_str_eq(why, "stopping");
	(void)relay_bench_open(bench, "/order/x", 1);
	ck_assert_uint_ne(relay_bench_send(bench), 0);
	relay_bench_wait(bench, 3100 * DFF_MSEC);
	(void)relay_bench_open(bench, "/order/x", 2);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
}
END_TEST

/* Nobody listens where the last step looks. */
static void
refuse_probe(void)
{
	const dff_relay_effect_t *fx =
	    relay_bench_find(bench, DFF_RELAY_FX_PROBE);
	dff_relay_event_t event = {.type = DFF_RELAY_PROBED};
	char id[DFF_NAME_MAX];

	if (fx == NULL)
		return;
	g_strlcpy(id, fx->probe.upstream, sizeof(id));
	event.probed.upstream = id;
	event.probed.reach = DFF_REACH_REFUSED;
	relay_bench_step(bench, &event);
}

START_TEST(request_that_crashes_upstreams_stops_at_the_third)
{
	int sent = 0;

	relay_bench_upstream(bench, "p3", "plain", DFF_ROLE_MIXED, "a", 1);
	relay_bench_upstream(bench, "p4", "plain", DFF_ROLE_MIXED, "a", 1);
	for (int i = 0; i < 4; i++) {
		uint64_t send;

		(void)relay_bench_open(bench, "/order/x", 77);
		send = relay_bench_send(bench);
		if (send == 0)
			break;
		sent++;
		relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
		refuse_probe();
		relay_bench_wait(bench, 4 * DFF_SEC);
	}
	ck_assert_int_le(sent, 3);
	(void)relay_bench_open(bench, "/order/x", 77);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
}
END_TEST

START_TEST(readiness_ends_when_nothing_is_heard)
{
	const dff_relay_event_t heard = {.type = DFF_RELAY_HEARD};
	const char *why;

	relay_bench_step(bench, &heard);
	ck_assert(dff_relay_ready(bench->relay, bench->now, &why));
	relay_bench_wait(bench, 5 * DFF_SEC);
	ck_assert(!dff_relay_ready(bench->relay, bench->now, &why));
	ck_assert_str_eq(why, "stale");
	relay_bench_step(bench, &heard);
	ck_assert(dff_relay_ready(bench->relay, bench->now, &why));
}
END_TEST

START_TEST(metrics_name_what_happened)
{
	char *text;

	(void)relay_bench_open(bench, "/order/x", 1);
	relay_bench_head(bench, 1, 200, false);
	relay_bench_end(bench, 1, DFF_SEND_DONE, NULL);
	text = dff_relay_metrics(bench->relay, bench->now);
	ck_assert_ptr_nonnull(strstr(text, "dff_relay_requests_total 1\n"));
	ck_assert_ptr_nonnull(strstr(text, "dff_relay_answered_total 1\n"));
	ck_assert_ptr_nonnull(strstr(text, "dff_relay_whole_seconds_count 1"));
	g_free(text);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay");
	TCase *tcase = tcase_create("relay");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, engine_that_is_met_is_asked_what_it_keeps);
	tcase_add_test(tcase, few_of_many_engines_are_asked);
	tcase_add_test(tcase, prompt_goes_where_its_parts_are_said_to_be);
	tcase_add_test(tcase, longest_prefix_of_the_host_is_chosen);
	tcase_add_test(tcase, weights_share_a_route_out);
	tcase_add_test(tcase, version_never_goes_back);
	tcase_add_test(
	    tcase, without_routing_all_is_refused_and_none_not_found);
	tcase_add_test(tcase, request_keeps_the_version_it_came_under);
	tcase_add_test(tcase, status_follows_fate);
	tcase_add_test(
	    tcase, refused_connections_are_tried_elsewhere_then_not_run);
	tcase_add_test(tcase, rejection_is_tried_elsewhere_then_not_run);
	tcase_add_test(tcase, order_that_broke_off_is_not_repeated);
	tcase_add_test(tcase, order_under_way_as_time_ends_is_unknown);
	tcase_add_test(tcase, final_answer_comes_at_the_timeout);
	tcase_add_test(
	    tcase, promise_without_the_upstreams_word_is_not_passed_on);
	tcase_add_test(tcase, success_without_signature_is_not_passed_on);
	tcase_add_test(tcase, failure_of_a_read_is_tried_once_more);
	tcase_add_test(tcase, half_an_answer_is_never_passed_on);
	tcase_add_test(tcase, late_word_of_an_old_send_counts_for_nothing);
	tcase_add_test(tcase, caller_that_leaves_stops_the_work);
	tcase_add_test(tcase, stream_that_breaks_is_broken_for_its_caller);
	tcase_add_test(tcase, stream_of_bytes_without_end_is_broken_off);
	tcase_add_test(
	    tcase, bytes_without_end_stay_out_of_a_stream_that_may_resume);
	tcase_add_test(tcase, stream_resumes_after_the_last_whole_event);
	tcase_add_test(tcase, error_of_a_resumption_stays_out_of_the_stream);
	tcase_add_test(tcase, prefilled_memory_is_taken_over);
	tcase_add_test(tcase, memory_that_nobody_takes_is_freed);
	tcase_add_test(tcase, prefill_that_broke_off_has_not_run);
	tcase_add_test(tcase, handle_that_is_refused_twice_is_given_up);
	tcase_add_test(tcase, lapsed_memory_is_not_asked_for);
	tcase_add_test(tcase, connections_of_an_upstream_are_shared_out);
	tcase_add_test(tcase, leaving_upstream_gets_no_new_work);
	tcase_add_test(tcase, stopping_node_serves_on_then_refuses);
	tcase_add_test(
	    tcase, request_that_crashes_upstreams_stops_at_the_third);
	tcase_add_test(tcase, readiness_ends_when_nothing_is_heard);
	tcase_add_test(tcase, metrics_name_what_happened);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
