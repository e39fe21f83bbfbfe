/*
 * The relay's reducer: the sends, answers and statuses of requests.
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
	relay_bench_load_upstream(bench, "f1", "llm", DFF_ROLE_PREFILL, "a", 1);
	relay_bench_load_upstream(bench, "d1", "llm", DFF_ROLE_DECODE, "a", 1);
	relay_bench_load_upstream(bench, "d2", "llm", DFF_ROLE_DECODE, "a", 1);
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

/* ---- cache queries ---- */

START_TEST(new_engine_is_queried_for_its_cache)
{
	const dff_relay_effect_t *fx;

	/* Engines of setup(): one that prefills, two that decode. */
	relay_bench_wait(bench, 50 * DFF_MSEC);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_CACHE_QUERY), 3);
	relay_bench_load_upstream(bench, "f2", "llm", DFF_ROLE_PREFILL, "a", 1);
	relay_bench_wait(bench, 50 * DFF_MSEC);
	fx = relay_bench_find(bench, DFF_RELAY_FX_CACHE_QUERY);
	ck_assert_ptr_nonnull(fx);
	ck_assert_str_eq(fx->cache_query.upstream, "f2");
	/* No query for a further record of it, nor for a plain service. */
	relay_bench_load_upstream(bench, "f2", "llm", DFF_ROLE_PREFILL, "a", 2);
	relay_bench_wait(bench, 50 * DFF_MSEC);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_CACHE_QUERY), 0);
	relay_bench_load_upstream(bench, "p3", "plain", DFF_ROLE_MIXED, "a", 1);
	relay_bench_wait(bench, 50 * DFF_MSEC);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_CACHE_QUERY), 0);
}
END_TEST

/* Without the limit, a thousand starting nodes would open a million
 * connections. */
START_TEST(few_of_many_engines_are_queried)
{
	for (int i = 0; i < 500; i++) {
		char id[16];

		(void)g_snprintf(id, sizeof(id), "e%d", i);
		relay_bench_load_upstream(
		    bench, id, "llm", DFF_ROLE_DECODE, "a", 1);
	}
	relay_bench_wait(bench, 50 * DFF_MSEC);
	ck_assert_uint_ge(
	    relay_bench_count(bench, DFF_RELAY_FX_CACHE_QUERY), 24);
	ck_assert_uint_le(
	    relay_bench_count(bench, DFF_RELAY_FX_CACHE_QUERY), 48);
}
END_TEST

START_TEST(prompt_goes_to_the_engine_that_lists_its_parts)
{
	const dff_part_t part = {77, 20000};
	dff_relay_event_t event = {.type = DFF_RELAY_CACHE_LIST};

	event.cache_list.upstream = "d2";
	event.cache_list.parts = &part;
	event.cache_list.count = 1;
	relay_bench_step(bench, &event);
	(void)relay_bench_open_prompt(bench, "/talk/x", 77, 20000, 78, 100);
	ck_assert_str_eq(upstream_of_send(), "d2");
	/* A list of an unknown engine is ignored. */
	event.cache_list.upstream = "gone";
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

START_TEST(route_is_split_by_weights)
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
	relay_bench_load_routing(bench, 7);
	relay_bench_load_routing(bench, 5);
	ck_assert_uint_eq(dff_relay_routing(bench->relay)->version, 7);
}
END_TEST

START_TEST(missing_routing_gives_503_and_unknown_route_404)
{
	relay_bench_t *fresh = relay_bench_new();

	(void)relay_bench_open(fresh, "/read/x", 1);
	ck_assert_int_eq(relay_bench_answer(fresh), 503);
	relay_bench_drop(fresh);
	(void)relay_bench_open(bench, "/nowhere/x", 1);
	ck_assert_int_eq(relay_bench_answer(bench), 404);
}
END_TEST

START_TEST(request_keeps_the_routing_version_of_its_arrival)
{
	uint64_t send;

	(void)relay_bench_open(bench, "/read/x", 1);
	send = relay_bench_send(bench);
	relay_bench_load_routing(bench, 2);
	relay_bench_head(bench, send, 200, false);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_ptr_nonnull(
	    relay_bench_find(bench, DFF_RELAY_FX_FORWARD_END));
}
END_TEST

/* ---- statuses of final answers ---- */

START_TEST(status_follows_progress)
{
	ck_assert_int_eq(
	    dff_relay_status(DFF_PROGRESS_UNSENT, DFF_FAILURE_BUSY), 503);
	ck_assert_int_eq(
	    dff_relay_status(DFF_PROGRESS_UNSENT, DFF_FAILURE_TIMEOUT), 503);
	ck_assert_int_eq(
	    dff_relay_status(DFF_PROGRESS_REJECTED, DFF_FAILURE_BUSY), 503);
	ck_assert_int_eq(
	    dff_relay_status(DFF_PROGRESS_PREFILLED, DFF_FAILURE_TIMEOUT), 503);
	ck_assert_int_eq(
	    dff_relay_status(DFF_PROGRESS_MAY_HAVE_RUN, DFF_FAILURE_UPSTREAM),
	    502);
	ck_assert_int_eq(
	    dff_relay_status(DFF_PROGRESS_MAY_HAVE_RUN, DFF_FAILURE_TIMEOUT),
	    504);
	ck_assert_int_eq(
	    dff_relay_status(DFF_PROGRESS_ANSWERING, DFF_FAILURE_UPSTREAM), 0);
}
END_TEST

START_TEST(refused_connections_move_the_send_then_give_503)
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

START_TEST(rejections_move_the_send_then_give_503)
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

START_TEST(order_running_at_the_timeout_gets_504)
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

START_TEST(unmarked_503_of_an_upstream_is_not_forwarded)
{
	uint64_t send;

	(void)relay_bench_open(bench, "/order/x", 1);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 503, false);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_int_eq(relay_bench_answer(bench), 502);
}
END_TEST

START_TEST(success_without_signature_is_not_forwarded)
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

START_TEST(failed_read_is_retried_once)
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
	ck_assert_ptr_nonnull(
	    relay_bench_find(bench, DFF_RELAY_FX_FORWARD_HEAD));
}
END_TEST

START_TEST(incomplete_answer_is_never_forwarded)
{
	uint64_t send;

	(void)relay_bench_open(bench, "/order/x", 1);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 200, false);
	relay_bench_data(bench, send, "half");
	ck_assert_ptr_null(relay_bench_find(bench, DFF_RELAY_FX_FORWARD_DATA));
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	ck_assert_int_eq(relay_bench_answer(bench), 502);
}
END_TEST

START_TEST(late_answer_of_an_old_send_is_ignored)
{
	uint64_t first;

	(void)relay_bench_open(bench, "/read/x", 1);
	first = relay_bench_send(bench);
	relay_bench_end(bench, first, DFF_SEND_BROKEN, NULL);
	ck_assert_uint_ne(relay_bench_send(bench), first);
	relay_bench_head(bench, first, 200, false);
	relay_bench_data(bench, first, "old");
	relay_bench_end(bench, first, DFF_SEND_DONE, NULL);
	ck_assert_ptr_null(relay_bench_find(bench, DFF_RELAY_FX_FORWARD_END));
}
END_TEST

START_TEST(caller_disconnect_cancels_the_send)
{
	dff_relay_event_t event = {.type = DFF_RELAY_CALLER_GONE};

	event.caller_gone = relay_bench_open(bench, "/talk/x", 1);
	relay_bench_step(bench, &event);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_CANCEL), 1);
	ck_assert_uint_eq(dff_relay_calls(bench->relay), 0);
}
END_TEST

/* ---- streams ---- */

START_TEST(broken_stream_is_aborted_for_its_caller)
{
	uint64_t send;

	(void)relay_bench_open(bench, "/talk/x", 1);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 200, false);
	ck_assert_ptr_nonnull(
	    relay_bench_find(bench, DFF_RELAY_FX_FORWARD_HEAD));
	relay_bench_data(bench, send, "id: 1\n\n");
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	ck_assert_ptr_nonnull(relay_bench_find(bench, DFF_RELAY_FX_ABORT));
}
END_TEST

/* Bytes forwarded of a stream with an event that does not end, until its send
 * is cancelled. */
static size_t
bytes_passed_of_flood(const char *target)
{
	char piece[1025] = {0};
	size_t passed = 0;
	uint64_t send;

	relay_bench_load_upstream(bench, "e1", "llm", DFF_ROLE_MIXED, "a", 1);
	memset(piece, 'x', sizeof(piece) - 1);
	(void)relay_bench_open(bench, target, 1);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 200, false);
	relay_bench_data(bench, send, "id: 1\ndata: a\n\n");
	for (int i = 0; i < 4096; i++) {
		relay_bench_data(bench, send, piece);
		if (relay_bench_find(bench, DFF_RELAY_FX_CANCEL) != NULL)
			return passed;
		if (relay_bench_find(bench, DFF_RELAY_FX_FORWARD_DATA) != NULL)
			passed += sizeof(piece) - 1;
	}
	ck_abort_msg("%zu bytes forwarded without a cancel", passed);
}

START_TEST(unbounded_event_is_aborted)
{
	ck_assert_uint_le(bytes_passed_of_flood("/talk/x"), 65536);
	ck_assert_ptr_nonnull(relay_bench_find(bench, DFF_RELAY_FX_ABORT));
}
END_TEST

START_TEST(unbounded_event_stays_out_of_a_resumable_stream)
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
	fx = relay_bench_find(bench, DFF_RELAY_FX_FORWARD_DATA);
	ck_assert_uint_eq(fx->forward.len, strlen("id: 1\ndata: a\n\n"));
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_ptr_nonnull(fx);
	ck_assert_int_eq(fx->send.after_event, 1);
	send = fx->send.send;
	relay_bench_head(bench, send, 200, false);
	ck_assert_ptr_null(relay_bench_find(bench, DFF_RELAY_FX_FORWARD_HEAD));
	relay_bench_identify(bench, send);
	relay_bench_data(bench, send, "id: 2\ndata: b\n\n");
	ck_assert_ptr_nonnull(
	    relay_bench_find(bench, DFF_RELAY_FX_FORWARD_DATA));
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_ptr_nonnull(
	    relay_bench_find(bench, DFF_RELAY_FX_FORWARD_END));
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
	ck_assert_ptr_null(relay_bench_find(bench, DFF_RELAY_FX_FORWARD_DATA));
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_ptr_nonnull(relay_bench_find(bench, DFF_RELAY_FX_ABORT));
}
END_TEST

/* ---- prefill and decode at two engines ---- */

START_TEST(prefilled_memory_is_taken_over)
{
	const dff_relay_effect_t *fx;

	(void)relay_bench_open_prompt(bench, "/talk/x", 1, 13000, 2, 4000);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_int_eq(fx->send.stage, DFF_STAGE_PREFILL);
	ck_assert_str_eq(fx->send.upstream, "f1");
	relay_bench_head(bench, fx->send.send, 200, false);
	relay_bench_end(bench, 1, DFF_SEND_DONE, "h1");
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_int_eq(fx->send.stage, DFF_STAGE_DECODE);
	ck_assert_str_eq(fx->send.kv_handle, "h1");
	relay_bench_head(bench, fx->send.send, 200, false);
	relay_bench_end(bench, 2, DFF_SEND_DONE, NULL);
	ck_assert_ptr_nonnull(
	    relay_bench_find(bench, DFF_RELAY_FX_FORWARD_END));
	ck_assert_ptr_null(relay_bench_find(bench, DFF_RELAY_FX_RELEASE));
}
END_TEST

START_TEST(unused_prefill_memory_is_released)
{
	dff_relay_event_t event = {.type = DFF_RELAY_CALLER_GONE};
	const dff_relay_effect_t *fx;

	event.caller_gone =
	    relay_bench_open_prompt(bench, "/talk/x", 1, 13000, 2, 4000);
	relay_bench_head(bench, 1, 200, false);
	relay_bench_end(bench, 1, DFF_SEND_DONE, "h1");
	relay_bench_step(bench, &event);
	fx = relay_bench_find(bench, DFF_RELAY_FX_RELEASE);
	ck_assert_ptr_nonnull(fx);
	ck_assert_str_eq(fx->release.handle, "h1");
	ck_assert_str_eq(fx->release.upstream, "f1");
}
END_TEST

START_TEST(prefill_that_broke_off_has_not_run)
{
	(void)relay_bench_open_prompt(bench, "/talk/x", 1, 13000, 2, 4000);
	relay_bench_end(bench, 1, DFF_SEND_BROKEN, NULL);
	/* The prompt may be read again, here by a decode engine. */
	ck_assert_uint_ne(relay_bench_send(bench), 0);
	relay_bench_head(bench, 2, 503, true);
	relay_bench_end(bench, 2, DFF_SEND_DONE, NULL);
	relay_bench_head(bench, 3, 503, true);
	relay_bench_end(bench, 3, DFF_SEND_DONE, NULL);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
}
END_TEST

START_TEST(handle_rejected_twice_is_dropped)
{
	const dff_relay_effect_t *fx;

	relay_bench_load_upstream(bench, "d3", "llm", DFF_ROLE_DECODE, "a", 1);
	(void)relay_bench_open_prompt(bench, "/talk/x", 1, 13000, 2, 4000);
	relay_bench_head(bench, 1, 200, false);
	relay_bench_end(bench, 1, DFF_SEND_DONE, "h1");
	relay_bench_head(bench, 2, 503, true);
	relay_bench_end(bench, 2, DFF_SEND_DONE, NULL);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_int_eq(fx->send.stage, DFF_STAGE_DECODE);
	relay_bench_head(bench, 3, 503, true);
	relay_bench_end(bench, 3, DFF_SEND_DONE, NULL);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_ptr_nonnull(fx);
	ck_assert_int_ne(fx->send.stage, DFF_STAGE_DECODE);
}
END_TEST

START_TEST(expired_memory_is_not_used)
{
	const dff_relay_effect_t *fx;

	relay_bench_load_upstream(bench, "d3", "llm", DFF_ROLE_DECODE, "a", 1);
	(void)relay_bench_open_prompt(bench, "/talk/x", 1, 13000, 2, 4000);
	relay_bench_head(bench, 1, 200, false);
	relay_bench_end(bench, 1, DFF_SEND_DONE, "h1");
	relay_bench_wait(bench, 1100 * DFF_MSEC);
	relay_bench_head(bench, 2, 503, true);
	relay_bench_end(bench, 2, DFF_SEND_DONE, NULL);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_ptr_nonnull(fx);
	ck_assert_int_ne(fx->send.stage, DFF_STAGE_DECODE);
}
END_TEST

/* Five nodes share ten connections of an upstream: two each. */
START_TEST(upstream_connections_are_divided_among_nodes)
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

/* ---- leaving upstreams, stopping nodes, crashing requests ---- */

START_TEST(leaving_upstream_gets_no_new_work)
{
	dff_relay_event_t event = {.type = DFF_RELAY_UPSTREAM};

	g_strlcpy(event.upstream.id, "p1", sizeof(event.upstream.id));
	g_strlcpy(event.upstream.pool, "plain", sizeof(event.upstream.pool));
	event.upstream.started_ms = 1;
	event.upstream.seq = 2;
	event.upstream.leaving = true;
	relay_bench_step(bench, &event);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_CLOSE_IDLE), 1);
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

START_TEST(crashing_request_stops_at_the_third_upstream)
{
	int sent = 0;

	relay_bench_load_upstream(bench, "p3", "plain", DFF_ROLE_MIXED, "a", 1);
	relay_bench_load_upstream(bench, "p4", "plain", DFF_ROLE_MIXED, "a", 1);
	for (int i = 0; i < 4; i++) {
		uint64_t send;

		(void)relay_bench_open(bench, "/order/x", 77);
		send = relay_bench_send(bench);
		if (send == 0)
			break;
		sent++;
		relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
		relay_bench_refuse_probe(bench);
		relay_bench_wait(bench, 4 * DFF_SEC);
	}
	ck_assert_int_le(sent, 3);
	(void)relay_bench_open(bench, "/order/x", 77);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
}
END_TEST

START_TEST(readiness_ends_after_silence_of_source_and_peers)
{
	const dff_relay_event_t source_answered = {
	    .type = DFF_RELAY_SOURCE_ANSWERED};
	const char *why;

	relay_bench_step(bench, &source_answered);
	ck_assert(dff_relay_ready(bench->relay, bench->now, &why));
	relay_bench_wait(bench, 5 * DFF_SEC);
	ck_assert(!dff_relay_ready(bench->relay, bench->now, &why));
	ck_assert_str_eq(why, "stale");
	relay_bench_step(bench, &source_answered);
	ck_assert(dff_relay_ready(bench->relay, bench->now, &why));
}
END_TEST

START_TEST(metrics_count_answered_requests)
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
	tcase_add_test(tcase, new_engine_is_queried_for_its_cache);
	tcase_add_test(tcase, few_of_many_engines_are_queried);
	tcase_add_test(tcase, prompt_goes_to_the_engine_that_lists_its_parts);
	tcase_add_test(tcase, longest_prefix_of_the_host_is_chosen);
	tcase_add_test(tcase, route_is_split_by_weights);
	tcase_add_test(tcase, version_never_goes_back);
	tcase_add_test(tcase, missing_routing_gives_503_and_unknown_route_404);
	tcase_add_test(tcase, request_keeps_the_routing_version_of_its_arrival);
	tcase_add_test(tcase, status_follows_progress);
	tcase_add_test(tcase, refused_connections_move_the_send_then_give_503);
	tcase_add_test(tcase, rejections_move_the_send_then_give_503);
	tcase_add_test(tcase, order_that_broke_off_is_not_repeated);
	tcase_add_test(tcase, order_running_at_the_timeout_gets_504);
	tcase_add_test(tcase, final_answer_comes_at_the_timeout);
	tcase_add_test(tcase, unmarked_503_of_an_upstream_is_not_forwarded);
	tcase_add_test(tcase, success_without_signature_is_not_forwarded);
	tcase_add_test(tcase, failed_read_is_retried_once);
	tcase_add_test(tcase, incomplete_answer_is_never_forwarded);
	tcase_add_test(tcase, late_answer_of_an_old_send_is_ignored);
	tcase_add_test(tcase, caller_disconnect_cancels_the_send);
	tcase_add_test(tcase, broken_stream_is_aborted_for_its_caller);
	tcase_add_test(tcase, unbounded_event_is_aborted);
	tcase_add_test(tcase, unbounded_event_stays_out_of_a_resumable_stream);
	tcase_add_test(tcase, stream_resumes_after_the_last_whole_event);
	tcase_add_test(tcase, error_of_a_resumption_stays_out_of_the_stream);
	tcase_add_test(tcase, prefilled_memory_is_taken_over);
	tcase_add_test(tcase, unused_prefill_memory_is_released);
	tcase_add_test(tcase, prefill_that_broke_off_has_not_run);
	tcase_add_test(tcase, handle_rejected_twice_is_dropped);
	tcase_add_test(tcase, expired_memory_is_not_used);
	tcase_add_test(tcase, upstream_connections_are_divided_among_nodes);
	tcase_add_test(tcase, leaving_upstream_gets_no_new_work);
	tcase_add_test(tcase, stopping_node_serves_on_then_refuses);
	tcase_add_test(tcase, crashing_request_stops_at_the_third_upstream);
	tcase_add_test(tcase, readiness_ends_after_silence_of_source_and_peers);
	tcase_add_test(tcase, metrics_count_answered_requests);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
