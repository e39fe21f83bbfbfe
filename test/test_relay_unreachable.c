/*
 * Unreachable upstreams: retries of one request, and reports between nodes.
 * Many engines crash at once, and their records remain for some seconds.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_net.h"

#define CRASHED 8

#define CONNECT_TIME (350 * DFF_MSEC)
#define ANSWER_TIME  (300 * DFF_MSEC)
#define PENDING_MAX  1000

/* A send in flight that ends with a failed connection or with an answer. */
typedef struct pending {
	relay_bench_t *node;
	uint64_t send;
	bool dead;
	dff_time_t ends_at;
} pending_t;

static pending_t pending[PENDING_MAX];
static int pending_count;

static relay_bench_t *bench;
static relay_net_t net;

static void
setup(void)
{
	bench = relay_bench_new();
	relay_bench_load_routing(bench, 1);
}

static void
teardown(void)
{
	relay_bench_drop(bench);
	relay_net_drop(&net);
	pending_count = 0;
}

/* Upstreams "x0", "x1", ... of the plain pool. */
static void
add_upstreams(relay_bench_t *node, int count)
{
	for (int i = 0; i < count; i++) {
		char id[16];

		(void)snprintf(id, sizeof(id), "x%d", i);
		relay_bench_load_upstream(
		    node, id, "plain", DFF_ROLE_MIXED, "a", 1);
	}
}

START_TEST(request_is_retried_past_many_dead_upstreams)
{
	int tried = 0;

	add_upstreams(bench, CRASHED + 1);
	(void)relay_bench_open(bench, "/order/x", 1);
	/* The last one to be tried is alive. */
	for (; tried < CRASHED; tried++) {
		ck_assert_int_eq(relay_bench_answer(bench), 0);
		relay_bench_end(
		    bench, relay_bench_send(bench), DFF_SEND_UNSENT, NULL);
	}
	ck_assert_int_eq(relay_bench_answer(bench), 0);
	ck_assert_uint_ne(relay_bench_send(bench), 0);
}
END_TEST

START_TEST(request_is_refused_when_all_are_unreachable)
{
	int tried = 0;

	add_upstreams(bench, 3);
	(void)relay_bench_open(bench, "/order/x", 1);
	while (relay_bench_answer(bench) == 0 && tried++ < 10)
		relay_bench_end(
		    bench, relay_bench_send(bench), DFF_SEND_UNSENT, NULL);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	ck_assert_int_eq(tried, 3);
	/* The next request tries one of them, and is refused when that
	 * fails. */
	(void)relay_bench_open(bench, "/order/x", 2);
	ck_assert_int_eq(relay_bench_answer(bench), 0);
	relay_bench_end(bench, relay_bench_send(bench), DFF_SEND_UNSENT, NULL);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
}
END_TEST

/* A stream of which the caller has a part is retried at each remaining
 * upstream. */
START_TEST(started_stream_tries_all_remaining_upstreams)
{
	uint64_t send;

	for (int i = 0; i < 3; i++) {
		char id[] = {'e', (char)('0' + i), '\0'};

		relay_bench_load_upstream(
		    bench, id, "llm", DFF_ROLE_MIXED, "a", 1);
	}
	/* Another request finds two of three unreachable. */
	(void)relay_bench_open(bench, "/talk/x", 1);
	for (int i = 0; i < 2; i++)
		relay_bench_end(
		    bench, relay_bench_send(bench), DFF_SEND_UNSENT, NULL);
	(void)relay_bench_open(bench, "/resume/x", 2);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 200, false);
	relay_bench_data(bench, send, "id: 1\ndata: a\n\n");
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	for (int i = 0; i < 2; i++) {
		ck_assert_ptr_null(relay_bench_find(bench, DFF_RELAY_FX_ABORT));
		relay_bench_end(
		    bench, relay_bench_send(bench), DFF_SEND_UNSENT, NULL);
	}
	ck_assert_ptr_nonnull(relay_bench_find(bench, DFF_RELAY_FX_ABORT));
}
END_TEST

START_TEST(rejected_sends_are_bounded)
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

/* The answer to a prefill and a rejection also show that an engine is
 * reachable. */
START_TEST(any_answer_ends_connect_failures)
{
	uint64_t send;

	relay_bench_load_upstream(bench, "d1", "llm", DFF_ROLE_DECODE, "a", 1);
	relay_bench_load_upstream(bench, "q1", "llm", DFF_ROLE_PREFILL, "a", 1);
	/* It fails once; then, 0.5 s later, it reads a prompt. */
	(void)relay_bench_open_prompt(bench, "/talk/x", 7, 5000, 8, 900);
	relay_bench_end(bench, relay_bench_send(bench), DFF_SEND_UNSENT, NULL);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 200, false);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	relay_bench_wait(bench, 600 * DFF_MSEC);
	(void)relay_bench_open_prompt(bench, "/talk/x", 7, 5000, 9, 900);
	send = relay_bench_send(bench);
	ck_assert_str_eq(
	    relay_bench_find(bench, DFF_RELAY_FX_SEND)->send.upstream, "q1");
	relay_bench_head(bench, send, 200, false);
	relay_bench_end(bench, send, DFF_SEND_DONE, "h1");
	/* The time reserved for one trying send is over; the next two do not
	 * wait for each other. */
	relay_bench_wait(bench, 500 * DFF_MSEC);
	for (uint64_t i = 0; i < 2; i++) {
		(void)relay_bench_open_prompt(
		    bench, "/talk/x", 20 + i, 5000, 10 + i, 900);
		ck_assert_str_eq(
		    relay_bench_find(bench, DFF_RELAY_FX_SEND)->send.upstream,
		    "q1");
	}
}
END_TEST

/* ---- several nodes ---- */

/* Nodes of one domain with a pool of upstreams, CRASHED of them dead. */
static void
start_nodes(int nodes, int upstreams)
{
	for (int i = 1; i <= nodes; i++)
		relay_net_add(&net, "a", i, 100);
	relay_net_add_all_peers(&net);
	for (int i = 0; i < nodes; i++) {
		relay_bench_load_routing(net.nodes[i], 1);
		add_upstreams(net.nodes[i], upstreams);
	}
	relay_net_advance(&net, DFF_SEC);
}

/* Whether the node's last send goes to a dead upstream. */
static bool
goes_to_dead(const relay_bench_t *node)
{
	const dff_relay_effect_t *fx =
	    relay_bench_find(node, DFF_RELAY_FX_SEND);

	return fx != NULL && atoi(fx->send.upstream + 1) < CRASHED;
}

/* ---- sends in flight ---- */

/* Records the node's last send; returns whether its upstream is dead. */
static bool
add_pending(relay_bench_t *node)
{
	bool dead = goes_to_dead(node);

	if (relay_bench_send(node) == 0)
		return false;
	ck_assert_int_lt(pending_count, PENDING_MAX);
	pending[pending_count++] = (pending_t){.node = node,
	    .send = relay_bench_send(node),
	    .dead = dead,
	    .ends_at = node->now + (dead ? CONNECT_TIME : ANSWER_TIME)};
	return dead;
}

/* Ends sends that are due, or all; returns how many of them are retried at
 * another dead upstream. */
static int
end_pending(bool all)
{
	int tried = 0;

	for (int i = 0; i < pending_count; i++) {
		pending_t ended = pending[i];

		if (ended.node->now < ended.ends_at && !all)
			continue;
		pending[i--] = pending[--pending_count];
		if (ended.dead) {
			relay_bench_end(
			    ended.node, ended.send, DFF_SEND_UNSENT, NULL);
			tried += add_pending(ended.node);
			continue;
		}
		relay_bench_head(ended.node, ended.send, 200, false);
		relay_bench_end(ended.node, ended.send, DFF_SEND_DONE, NULL);
	}
	return tried;
}

/* Runs one request until it is at a live upstream or refused; dead upstreams
 * refuse connections at once. Returns how many of them it tried. */
static int
run_request(relay_bench_t *node, uint64_t content)
{
	int tried = 0;

	(void)relay_bench_open(node, "/order/x", content);
	while (relay_bench_send(node) != 0 && goes_to_dead(node)) {
		tried++;
		relay_bench_end(
		    node, relay_bench_send(node), DFF_SEND_UNSENT, NULL);
	}
	(void)add_pending(node);
	return tried;
}

/* Runs requests until a node has tried all dead upstreams. */
static void
try_all_dead(relay_bench_t *node)
{
	int tried = 0;

	for (uint64_t i = 0; i < 400 && tried < CRASHED; i++)
		tried += run_request(node, i);
	ck_assert_int_eq(tried, CRASHED);
	(void)end_pending(true);
}

/* Returns how many dead upstreams a node's next requests try. */
static int
count_tried_dead(relay_bench_t *node)
{
	int tried = 0;

	for (uint64_t i = 0; i < 50; i++)
		tried += run_request(node, 1000 + i);
	(void)end_pending(true);
	return tried;
}

START_TEST(upstream_unreachable_for_two_peers_is_avoided)
{
	start_nodes(4, CRASHED + 4);
	try_all_dead(net.nodes[0]);
	try_all_dead(net.nodes[1]);
	relay_net_advance(&net, 200 * DFF_MSEC);
	ck_assert_int_eq(count_tried_dead(net.nodes[2]), 0);
	ck_assert_int_eq(count_tried_dead(net.nodes[3]), 0);
	/* Both stop reporting them after their own backoff. */
	relay_net_advance(&net, 2 * DFF_SEC);
	ck_assert_int_gt(count_tried_dead(net.nodes[2]), 0);
}
END_TEST

START_TEST(upstream_unreachable_for_one_peer_is_tried)
{
	start_nodes(4, CRASHED + 4);
	try_all_dead(net.nodes[0]);
	relay_net_advance(&net, 200 * DFF_MSEC);
	ck_assert_int_gt(count_tried_dead(net.nodes[2]), 0);
}
END_TEST

START_TEST(reports_of_silent_peers_do_not_count)
{
	start_nodes(4, CRASHED + 4);
	/* The backoff becomes longer than the time until the nodes count as
	 * silent. */
	for (int round = 0; round < 3; round++) {
		try_all_dead(net.nodes[0]);
		try_all_dead(net.nodes[1]);
		relay_net_advance(
		    &net, round == 2 ? 200 * DFF_MSEC : 3 * DFF_SEC);
	}
	ck_assert_int_eq(count_tried_dead(net.nodes[2]), 0);
	net.isolated[0] = true;
	net.isolated[1] = true;
	relay_net_advance(&net, DFF_SEC);
	ck_assert_int_gt(count_tried_dead(net.nodes[2]), 0);
}
END_TEST

/* ---- crashes under load ---- */

/* Each node gets a request every @gap for 3 s, in which the records of the
 * unreachable upstreams remain; returns how many sends try one of them. */
static int
run_load(dff_time_t gap)
{
	int tried = 0;

	for (int i = 0; i < 3 * DFF_SEC / gap; i++) {
		for (int k = 0; k < net.count; k++) {
			(void)relay_bench_open(net.nodes[k], "/order/x",
			    (uint64_t)(i * net.count + k));
			tried += add_pending(net.nodes[k]);
			relay_net_advance(&net, gap / net.count);
			tried += end_pending(false);
		}
	}
	return tried;
}

/* Each node tries an unreachable upstream once after each backoff, which ends
 * after 0.5 and 1.5 s, and any number of times before the first failure. */
START_TEST(busy_nodes_limit_tries_of_unreachable_upstreams)
{
	enum {
		NODES = 6,
		REQUESTS = 18,
		UPSTREAMS = CRASHED * 3
	};

	start_nodes(NODES, UPSTREAMS);
	ck_assert_int_le(run_load(30 * DFF_MSEC),
	    NODES * (REQUESTS * CRASHED / UPSTREAMS + 2 * CRASHED));
}
END_TEST

/* Without reports each node would try each of them. */
START_TEST(idle_nodes_learn_unreachable_upstreams_from_peers)
{
	int nodes = 12;

	start_nodes(nodes, CRASHED * 3);
	ck_assert_int_lt(run_load(300 * DFF_MSEC), nodes * CRASHED);
}
END_TEST

/* ---- upstreams that become silent on idle connections ---- */

/* Sends an order; returns its upstream, and in @anew whether a new connection
 * is required. */
static const char *
send_order(uint64_t content, bool *anew)
{
	const dff_relay_effect_t *fx;

	(void)relay_bench_open(bench, "/order/x", content);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	*anew = fx->send.fresh_connection;
	return fx->send.upstream;
}

/* Returns whether one of the next requests goes to an upstream, with @anew of
 * that request; the others are answered. */
static bool
receives_request(const char *id, bool *anew)
{
	uint64_t sends[20];
	size_t count = 0;
	bool found = false;

	while (!found && count < G_N_ELEMENTS(sends)) {
		found = strcmp(send_order(100 + count, anew), id) == 0;
		sends[count++] = relay_bench_send(bench);
	}
	for (size_t i = 0; i < count - found; i++) {
		relay_bench_head(bench, sends[i], 200, false);
		relay_bench_end(bench, sends[i], DFF_SEND_DONE, NULL);
	}
	return found;
}

START_TEST(silent_upstream_gets_no_new_work)
{
	char silent[DFF_NAME_MAX];
	bool anew;

	add_upstreams(bench, 3);
	g_strlcpy(silent, send_order(1, &anew), sizeof(silent));
	ck_assert(receives_request(silent, &anew));
	ck_assert(!anew);
	relay_bench_wait(bench, 1100 * DFF_MSEC);
	ck_assert(!receives_request(silent, &anew));
	/* After the backoff one request tries it, on a new connection. */
	relay_bench_wait(bench, 600 * DFF_MSEC);
	ck_assert(receives_request(silent, &anew));
	ck_assert(anew);
	ck_assert(!receives_request(silent, &anew));
}
END_TEST

START_TEST(late_byte_ends_backoff_of_silent_upstream)
{
	char silent[DFF_NAME_MAX];
	uint64_t send;
	bool anew;

	add_upstreams(bench, 3);
	g_strlcpy(silent, send_order(1, &anew), sizeof(silent));
	send = relay_bench_send(bench);
	relay_bench_wait(bench, 1100 * DFF_MSEC);
	ck_assert(!receives_request(silent, &anew));
	relay_bench_head(bench, send, 200, false);
	ck_assert(receives_request(silent, &anew));
	ck_assert(!anew);
}
END_TEST

START_TEST(upstream_that_answers_other_requests_is_not_silent)
{
	char slow[DFF_NAME_MAX];
	uint64_t other = 0;
	bool anew;

	add_upstreams(bench, 2);
	g_strlcpy(slow, send_order(1, &anew), sizeof(slow));
	for (uint64_t i = 2; i < 20 && other == 0; i++) {
		if (strcmp(send_order(i, &anew), slow) == 0)
			other = relay_bench_send(bench);
	}
	relay_bench_head(bench, other, 200, false);
	for (int i = 0; i < 10; i++) {
		relay_bench_wait(bench, 200 * DFF_MSEC);
		relay_bench_data(bench, other, "x");
	}
	ck_assert(receives_request(slow, &anew));
}
END_TEST

/* The node itself is stalled, and what came in meanwhile is not read yet. */
START_TEST(stalled_node_does_not_mark_upstreams_silent)
{
	const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};
	char id[DFF_NAME_MAX];
	uint64_t send;
	bool anew;

	add_upstreams(bench, 2);
	g_strlcpy(id, send_order(1, &anew), sizeof(id));
	send = relay_bench_send(bench);
	relay_bench_wait(bench, 200 * DFF_MSEC);
	bench->now += 2 * DFF_SEC;
	relay_bench_step(bench, &wake);
	relay_bench_head(bench, send, 200, false);
	ck_assert(receives_request(id, &anew));
}
END_TEST

START_TEST(prompt_at_silent_engine_moves_to_another)
{
	char silent[DFF_NAME_MAX];

	relay_bench_load_upstream(bench, "d1", "llm", DFF_ROLE_DECODE, "a", 1);
	relay_bench_load_upstream(bench, "q1", "llm", DFF_ROLE_PREFILL, "a", 1);
	relay_bench_load_upstream(bench, "q2", "llm", DFF_ROLE_PREFILL, "a", 1);
	(void)relay_bench_open_prompt(bench, "/talk/x", 7, 10000, 8, 900);
	ck_assert_int_eq(relay_bench_find(bench, DFF_RELAY_FX_SEND)->send.stage,
	    DFF_STAGE_PREFILL);
	g_strlcpy(silent,
	    relay_bench_find(bench, DFF_RELAY_FX_SEND)->send.upstream,
	    sizeof(silent));
	/* Sooner than four times the predicted time of about 250 ms. */
	relay_bench_wait(bench, 950 * DFF_MSEC);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_CANCEL), 1);
	ck_assert_str_ne(
	    relay_bench_find(bench, DFF_RELAY_FX_SEND)->send.upstream, silent);
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
	tcase_add_test(tcase, request_is_retried_past_many_dead_upstreams);
	tcase_add_test(tcase, request_is_refused_when_all_are_unreachable);
	tcase_add_test(tcase, started_stream_tries_all_remaining_upstreams);
	tcase_add_test(tcase, rejected_sends_are_bounded);
	tcase_add_test(tcase, upstream_unreachable_for_two_peers_is_avoided);
	tcase_add_test(tcase, upstream_unreachable_for_one_peer_is_tried);
	tcase_add_test(tcase, reports_of_silent_peers_do_not_count);
	tcase_add_test(tcase, busy_nodes_limit_tries_of_unreachable_upstreams);
	tcase_add_test(
	    tcase, idle_nodes_learn_unreachable_upstreams_from_peers);
	tcase_add_test(tcase, any_answer_ends_connect_failures);
	tcase_add_test(tcase, silent_upstream_gets_no_new_work);
	tcase_add_test(tcase, late_byte_ends_backoff_of_silent_upstream);
	tcase_add_test(
	    tcase, upstream_that_answers_other_requests_is_not_silent);
	tcase_add_test(tcase, stalled_node_does_not_mark_upstreams_silent);
	tcase_add_test(tcase, prompt_at_silent_engine_moves_to_another);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
