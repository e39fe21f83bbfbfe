/*
 * Origins of streams that a node cannot store: peers store them in its place.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_net.h"
#include "relay/origin_table.h"

static relay_net_t net;
static uint64_t answered[NODES_MAX]; /* last batch of each node */

static void
teardown(void)
{
	relay_net_drop(&net);
	memset(answered, 0, sizeof(answered));
}

/* Nodes of one fleet, before engines of two versions if @mixed. */
static void
start_nodes(int count, bool mixed)
{
	const dff_relay_event_t source = {.type = DFF_RELAY_SOURCE_ANSWERED};

	for (int i = 0; i < count; i++) {
		relay_net_add(&net, "a", i, 0);
		relay_bench_load_routing(net.nodes[i], 1);
		relay_bench_load_software(
		    net.nodes[i], "d1", "llm", DFF_ROLE_DECODE, "a", 1, "v1");
		if (mixed)
			relay_bench_load_software(net.nodes[i], "d2", "llm",
			    DFF_ROLE_DECODE, "a", 1, "v2");
		relay_bench_step(net.nodes[i], &source);
	}
	relay_net_add_all_peers(&net);
	relay_net_advance(&net, DFF_SEC);
}

/* Rows of the stream @id that a node hands to the store within @time; each
 * batch that it hands over is accepted, refused or not answered at all. */
typedef enum answer {
	ANSWER_ACCEPTED,
	ANSWER_REFUSED,
	ANSWER_NONE,
} answer_t;

/* Answers a batch that a node has just handed over. */
static void
answer_batch(int node, uint64_t batch, answer_t answer)
{
	dff_relay_event_t event = {.type = DFF_RELAY_ORIGINS_STORED};

	if (answer == ANSWER_NONE)
		return;
	event.stored.batch = batch;
	event.stored.accepted = answer == ANSWER_ACCEPTED;
	relay_bench_step(net.nodes[node], &event);
	relay_net_deliver(&net, node);
}

static int
count_rows(int node, const char *id, dff_time_t time, const answer_t *answers)
{
	uint64_t attempt = dff_hash(id, strlen(id), 0);
	int rows = 0;

	for (dff_time_t at = 0; at < time; at += 5 * DFF_MSEC) {
		relay_net_advance(&net, 5 * DFF_MSEC);
		for (int i = 0; i < net.count; i++) {
			const origins_t *origins = net.nodes[i]->relay->origins;
			const origin_t *origin =
			    g_hash_table_lookup(origins->by_attempt, &attempt);
			uint64_t batch = origins->batch;

			if (batch == answered[i])
				continue;
			answered[i] = batch;
			rows += i == node && origin != NULL &&
			    origin->batch == batch;
			answer_batch(i, batch, answers[i]);
		}
	}
	return rows;
}

static void
begin_stream_at_first_node(const char *id)
{
	(void)relay_bench_open_stream(net.nodes[0], "/resume/x", id, "", -1);
	ck_assert_uint_ne(relay_bench_send(net.nodes[0]), 0);
	relay_net_deliver(&net, 0);
}

static const answer_t first_is_cut_off[] = {ANSWER_NONE, ANSWER_ACCEPTED,
    ANSWER_ACCEPTED, ANSWER_ACCEPTED, ANSWER_ACCEPTED, ANSWER_ACCEPTED};

START_TEST(peer_stores_a_row_that_its_node_cannot_store)
{
	start_nodes(2, true);
	begin_stream_at_first_node("one");
	ck_assert_int_eq(count_rows(1, "one", DFF_SEC, first_is_cut_off), 1);
	/* It is known now that the store fails. */
	begin_stream_at_first_node("two");
	ck_assert_int_eq(
	    count_rows(1, "two", 100 * DFF_MSEC, first_is_cut_off), 1);
	ck_assert_int_eq(count_rows(1, "two", DFF_SEC, first_is_cut_off), 0);
}
END_TEST

START_TEST(peer_stores_a_row_that_the_store_refused)
{
	static const answer_t answers[] = {ANSWER_REFUSED, ANSWER_ACCEPTED};

	start_nodes(2, true);
	begin_stream_at_first_node("one");
	ck_assert_int_eq(count_rows(1, "one", 200 * DFF_MSEC, answers), 1);
}
END_TEST

START_TEST(peer_stores_a_row_again_that_the_store_refused)
{
	static const answer_t answers[] = {ANSWER_NONE, ANSWER_REFUSED};

	start_nodes(2, true);
	begin_stream_at_first_node("one");
	ck_assert_int_gt(count_rows(1, "one", 2 * DFF_SEC, answers), 1);
}
END_TEST

START_TEST(few_peers_store_a_row)
{
	int nodes = 0;

	start_nodes(6, true);
	begin_stream_at_first_node("one");
	/* Each of three frames goes to up to three peers. */
	for (int i = 0; i < 2; i++)
		(void)count_rows(1, "one", 500 * DFF_MSEC, first_is_cut_off);
	for (int i = 1; i < 6; i++)
		nodes += g_hash_table_size(
			     net.nodes[i]->relay->origins->by_attempt) > 0;
	ck_assert_int_ge(nodes, 3);
}
END_TEST

START_TEST(peers_do_not_store_rows_that_the_store_takes)
{
	static const answer_t answers[] = {ANSWER_ACCEPTED, ANSWER_ACCEPTED};

	start_nodes(2, true);
	begin_stream_at_first_node("one");
	ck_assert_int_eq(count_rows(1, "one", 2 * DFF_SEC, answers), 0);
	ck_assert(!net.nodes[0]->relay->origins->store_fails);
}
END_TEST

/* Where one version alone has run for long, most nodes need no rows. */
START_TEST(peers_store_no_rows_while_one_version_serves)
{
	start_nodes(2, false);
	relay_net_advance(&net, DFF_ORIGIN_TIME);
	begin_stream_at_first_node("one");
	ck_assert_int_eq(
	    count_rows(1, "one", 5 * DFF_SEC, first_is_cut_off), 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_origin_tell");
	TCase *tcase = tcase_create("core");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, NULL, teardown);
	tcase_add_test(tcase, peer_stores_a_row_that_its_node_cannot_store);
	tcase_add_test(tcase, peer_stores_a_row_that_the_store_refused);
	tcase_add_test(tcase, peer_stores_a_row_again_that_the_store_refused);
	tcase_add_test(tcase, few_peers_store_a_row);
	tcase_add_test(tcase, peers_do_not_store_rows_that_the_store_takes);
	tcase_add_test(tcase, peers_store_no_rows_while_one_version_serves);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
