/*
 * Upstreams that cannot be reached: what one request is tried for, and what
 * nodes tell each other. The load is a crash of many engines at once, whose
 * records stand for some seconds more.
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

/* A send under way: a connection that will fail, or an answer that comes. */
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

/* What its caller has of a stream is worth a try at each that is left. */
START_TEST(stream_that_has_begun_goes_on_trying)
{
	uint64_t send;

	for (int i = 0; i < 3; i++) {
		char id[] = {'e', (char)('0' + i), '\0'};

		relay_bench_load_upstream(
		    bench, id, "llm", DFF_ROLE_MIXED, "a", 1);
	}
	/* Another request finds two of three out of reach. */
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

/* Engines that prefill and those that reject are reached as well. */
START_TEST(any_answer_shows_that_an_upstream_is_reached)
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
	/* The waiting time of the trial is over; the next two do not wait for
	 * each other. */
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

/* Whether the node's last send goes to one of the dead. */
static bool
goes_to_dead(const relay_bench_t *node)
{
	const dff_relay_effect_t *fx =
	    relay_bench_find(node, DFF_RELAY_FX_SEND);

	return fx != NULL && atoi(fx->send.upstream + 1) < CRASHED;
}

/* ---- sends under way ---- */

/* Note where the node's last send goes; whether it is dead. */
static bool
note_send(relay_bench_t *node)
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

/* Ends what is due, or all; returns how many sends meet a dead one anew. */
static int
end_pending(bool all)
{
	int met = 0;

	for (int i = 0; i < pending_count; i++) {
		pending_t one = pending[i];

		if (one.node->now < one.ends_at && !all)
			continue;
		pending[i--] = pending[--pending_count];
		if (one.dead) {
			relay_bench_end(
			    one.node, one.send, DFF_SEND_UNSENT, NULL);
			met += note_send(one.node);
			continue;
		}
		relay_bench_head(one.node, one.send, 200, false);
		relay_bench_end(one.node, one.send, DFF_SEND_DONE, NULL);
	}
	return met;
}

/* One request until it is at a live upstream, or refused; dead ones refuse
 * connections at once. Returns how many dead ones it met. */
static int
play_request(relay_bench_t *node, uint64_t content)
{
	int met = 0;

	(void)relay_bench_open(node, "/order/x", content);
	while (relay_bench_send(node) != 0 && goes_to_dead(node)) {
		met++;
		relay_bench_end(
		    node, relay_bench_send(node), DFF_SEND_UNSENT, NULL);
	}
	(void)note_send(node);
	return met;
}

/* Requests until a node has met all of the dead. */
static void
meet_all_dead(relay_bench_t *node)
{
	int met = 0;

	for (uint64_t i = 0; i < 400 && met < CRASHED; i++)
		met += play_request(node, i);
	ck_assert_int_eq(met, CRASHED);
	(void)end_pending(true);
}

/* How many dead upstreams a node's next requests meet. */
static int
count_met(relay_bench_t *node)
{
	int met = 0;

	for (uint64_t i = 0; i < 50; i++)
		met += play_request(node, 1000 + i);
	(void)end_pending(true);
	return met;
}

START_TEST(what_two_peers_cannot_reach_is_left_alone)
{
	start_nodes(4, CRASHED + 4);
	meet_all_dead(net.nodes[0]);
	meet_all_dead(net.nodes[1]);
	relay_net_advance(&net, 200 * DFF_MSEC);
	ck_assert_int_eq(count_met(net.nodes[2]), 0);
	ck_assert_int_eq(count_met(net.nodes[3]), 0);
	/* The word of both ends with their own waiting time. */
	relay_net_advance(&net, 2 * DFF_SEC);
	ck_assert_int_gt(count_met(net.nodes[2]), 0);
}
END_TEST

START_TEST(one_peer_alone_is_not_believed)
{
	start_nodes(4, CRASHED + 4);
	meet_all_dead(net.nodes[0]);
	relay_net_advance(&net, 200 * DFF_MSEC);
	ck_assert_int_gt(count_met(net.nodes[2]), 0);
}
END_TEST

START_TEST(silent_peers_are_no_witnesses)
{
	start_nodes(4, CRASHED + 4);
	/* Long enough to outlast the nodes' silence. */
	for (int round = 0; round < 3; round++) {
		meet_all_dead(net.nodes[0]);
		meet_all_dead(net.nodes[1]);
		relay_net_advance(
		    &net, round == 2 ? 200 * DFF_MSEC : 3 * DFF_SEC);
	}
	ck_assert_int_eq(count_met(net.nodes[2]), 0);
	net.isolated[0] = true;
	net.isolated[1] = true;
	relay_net_advance(&net, DFF_SEC);
	ck_assert_int_gt(count_met(net.nodes[2]), 0);
}
END_TEST

/* ---- the load ---- */

/* Requests at all nodes, one each in @gap, for 3 s, in which the records of
 * the dark upstreams stand; returns how many sends meet one. */
static int
play_crash(dff_time_t gap)
{
	int met = 0;

	for (int i = 0; i < 3 * DFF_SEC / gap; i++) {
		for (int k = 0; k < net.count; k++) {
			(void)relay_bench_open(net.nodes[k], "/order/x",
			    (uint64_t)(i * net.count + k));
			met += note_send(net.nodes[k]);
			relay_net_advance(&net, gap / net.count);
			met += end_pending(false);
		}
	}
	return met;
}

/* Each node tries a dark upstream once by each of its waiting times, which
 * are over after 0.5 and 1.5 s, and by chance until the first has failed. */
START_TEST(busy_nodes_try_dark_upstreams_one_by_one)
{
	enum {
		NODES = 6,
		REQUESTS = 18,
		UPSTREAMS = CRASHED * 3
	};

	start_nodes(NODES, UPSTREAMS);
	ck_assert_int_le(play_crash(30 * DFF_MSEC),
	    NODES * (REQUESTS * CRASHED / UPSTREAMS + 2 * CRASHED));
}
END_TEST

/* By itself each node would find each of them. */
START_TEST(idle_nodes_hear_of_dark_upstreams)
{
	int nodes = 12;

	start_nodes(nodes, CRASHED * 3);
	ck_assert_int_lt(play_crash(300 * DFF_MSEC), nodes * CRASHED);
}
END_TEST

/* ---- upstreams that fall silent on kept connections ---- */

/* Sends an order; returns the upstream that it goes to, and in @anew
 * whether a new connection is asked for. */
static const char *
send_order(uint64_t content, bool *anew)
{
	const dff_relay_effect_t *fx;

	(void)relay_bench_open(bench, "/order/x", content);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	*anew = fx->send.fresh_connection;
	return fx->send.upstream;
}

/* Whether one of the next requests goes to an upstream, and @anew of it; the
 * others are answered. */
static bool
gets_work(const char *id, bool *anew)
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
	ck_assert(gets_work(silent, &anew));
	ck_assert(!anew);
	relay_bench_wait(bench, 1100 * DFF_MSEC);
	ck_assert(!gets_work(silent, &anew));
	/* Then one request tries it, on a connection of its own. */
	relay_bench_wait(bench, 600 * DFF_MSEC);
	ck_assert(gets_work(silent, &anew));
	ck_assert(anew);
	ck_assert(!gets_work(silent, &anew));
}
END_TEST

START_TEST(late_byte_ends_the_silence)
{
	char silent[DFF_NAME_MAX];
	uint64_t send;
	bool anew;

	add_upstreams(bench, 3);
	g_strlcpy(silent, send_order(1, &anew), sizeof(silent));
	send = relay_bench_send(bench);
	relay_bench_wait(bench, 1100 * DFF_MSEC);
	ck_assert(!gets_work(silent, &anew));
	relay_bench_head(bench, send, 200, false);
	ck_assert(gets_work(silent, &anew));
	ck_assert(!anew);
}
END_TEST

START_TEST(upstream_that_answers_others_is_not_silent)
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
	ck_assert(gets_work(slow, &anew));
}
END_TEST

/* A stop of this node itself: what came in meanwhile is not read yet. */
START_TEST(node_that_was_stopped_blames_nobody)
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
	ck_assert(gets_work(id, &anew));
}
END_TEST

START_TEST(prompt_at_a_silent_engine_is_read_elsewhere)
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
	/* Before four times the predicted time, about 250 ms, are over. */
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
	tcase_add_test(tcase, request_passes_many_dead_upstreams);
	tcase_add_test(tcase, request_is_refused_when_all_were_out_of_reach);
	tcase_add_test(tcase, stream_that_has_begun_goes_on_trying);
	tcase_add_test(tcase, rejected_sends_are_bounded_as_before);
	tcase_add_test(tcase, what_two_peers_cannot_reach_is_left_alone);
	tcase_add_test(tcase, one_peer_alone_is_not_believed);
	tcase_add_test(tcase, silent_peers_are_no_witnesses);
	tcase_add_test(tcase, busy_nodes_try_dark_upstreams_one_by_one);
	tcase_add_test(tcase, idle_nodes_hear_of_dark_upstreams);
	tcase_add_test(tcase, any_answer_shows_that_an_upstream_is_reached);
	tcase_add_test(tcase, silent_upstream_gets_no_new_work);
	tcase_add_test(tcase, late_byte_ends_the_silence);
	tcase_add_test(tcase, upstream_that_answers_others_is_not_silent);
	tcase_add_test(tcase, node_that_was_stopped_blames_nobody);
	tcase_add_test(tcase, prompt_at_a_silent_engine_is_read_elsewhere);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
