/*
 * Several relays that exchange frames: what they learn of each other, who
 * reads the record source, and how loads travel between domains.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_net.h"
#include "relay/peers.h"

static relay_net_t net;

static void
teardown(void)
{
	relay_net_drop(&net);
}

static void
answer_from_source(int i)
{
	const dff_relay_event_t heard = {.type = DFF_RELAY_SOURCE_ANSWERED};

	relay_bench_step(net.nodes[i], &heard);
}

static int
count_readers(void)
{
	int readers = 0;

	for (int i = 0; i < net.count; i++)
		readers += dff_relay_reads_source(
		    net.nodes[i]->relay, net.nodes[i]->now);
	return readers;
}

START_TEST(two_nodes_read_for_all)
{
	for (int i = 1; i <= 7; i++)
		relay_net_add(&net, "a", i, 100);
	relay_net_add_all_peers(&net);
	ck_assert_int_eq(count_readers(), 7);
	for (int round = 0; round < 20; round++) {
		for (int i = 0; i < net.count; i++) {
			if (dff_relay_reads_source(
				net.nodes[i]->relay, net.nodes[i]->now))
				answer_from_source(i);
		}
		relay_net_advance(&net, 100 * DFF_MSEC);
	}
	ck_assert_int_eq(count_readers(), 2);
}
END_TEST

/* Other nodes replace readers that the source refuses. */
START_TEST(readers_refused_by_source_are_replaced)
{
	bool refused[NODES_MAX] = {false};

	for (int i = 1; i <= 7; i++)
		relay_net_add(&net, "a", i, 100);
	relay_net_add_all_peers(&net);
	for (int round = 0; round < 40; round++) {
		for (int i = 0; i < net.count; i++) {
			bool reads = dff_relay_reads_source(
			    net.nodes[i]->relay, net.nodes[i]->now);

			if (round == 20 && reads)
				refused[i] = true;
			if (reads && !refused[i])
				answer_from_source(i);
		}
		relay_net_advance(&net, 100 * DFF_MSEC);
	}
	/* The two refused nodes go on trying, two others read. */
	ck_assert_int_eq(count_readers(), 4);
}
END_TEST

START_TEST(partitioned_node_reads_source_and_becomes_not_ready)
{
	const char *why;

	for (int i = 1; i <= 5; i++)
		relay_net_add(&net, "a", i, 100);
	relay_net_add_all_peers(&net);
	for (int i = 0; i < net.count; i++) {
		relay_bench_load_routing(net.nodes[i], 1);
		relay_bench_load_upstream(
		    net.nodes[i], "p1", "plain", DFF_ROLE_MIXED, "a", 1);
		answer_from_source(i);
	}
	relay_net_advance(&net, DFF_SEC);
	net.isolated[3] = true;
	for (int round = 0; round < 50; round++) {
		answer_from_source(0);
		answer_from_source(1);
		relay_net_advance(&net, 100 * DFF_MSEC);
	}
	ck_assert(
	    dff_relay_reads_source(net.nodes[3]->relay, net.nodes[3]->now));
	ck_assert(
	    !dff_relay_ready(net.nodes[3]->relay, net.nodes[3]->now, &why));
	ck_assert(
	    dff_relay_ready(net.nodes[2]->relay, net.nodes[2]->now, &why));
	net.isolated[3] = false;
	answer_from_source(0);
	relay_net_advance(&net, 3 * DFF_SEC);
	answer_from_source(0);
	relay_net_advance(&net, 200 * DFF_MSEC);
	ck_assert(
	    dff_relay_ready(net.nodes[3]->relay, net.nodes[3]->now, &why));
}
END_TEST

/*
 * A started node first receives a frame of a node that read the source long
 * ago, then one of a node that reads it. The age in between must not count as
 * an outage, so that an upstream whose record is missing is gone at once.
 */
START_TEST(old_read_time_is_not_an_outage)
{
	dff_relay_event_t gone = {.type = DFF_RELAY_UPSTREAM};

	relay_net_add(&net, "a", 1, 100);
	relay_net_add(&net, "a", 2, 100);
	relay_net_add_all_peers(&net);
	answer_from_source(0);
	relay_net_advance(&net, 10 * DFF_SEC);
	relay_net_add(&net, "a", 3, 100);
	net.nodes[2]->now = net.nodes[0]->now;
	relay_net_add_all_peers(&net);
	relay_net_advance(&net, DFF_SEC);
	answer_from_source(1);
	relay_net_advance(&net, 300 * DFF_MSEC);
	relay_bench_load_upstream(
	    net.nodes[2], "p1", "plain", DFF_ROLE_MIXED, "a", 1);
	relay_bench_load_routing(net.nodes[2], 1);
	g_strlcpy(gone.upstream.id, "p1", sizeof(gone.upstream.id));
	gone.upstream.removed = true;
	relay_bench_step(net.nodes[2], &gone);
	(void)relay_bench_open(net.nodes[2], "/order/x", 1);
	ck_assert_int_eq(relay_bench_answer(net.nodes[2]), 503);
}
END_TEST

/* The first node reads a record; then its next periodic frame is due. */
static void
read_upstream_record(void)
{
	relay_bench_load_upstream(
	    net.nodes[0], "p1", "plain", DFF_ROLE_MIXED, "a", 1);
	net.nodes[0]->now += peers_frame_interval(net.nodes[0]->relay);
	net.nodes[1]->now = net.nodes[0]->now;
}

/* Returns what the second node fetches on frames of the first, or NULL. */
static const dff_relay_effect_t *
wait_for_fetch(void)
{
	const dff_relay_effect_t *fx = NULL;

	for (int i = 0; i < 60 && fx == NULL; i++) {
		const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};

		net.nodes[0]->now += 5 * DFF_MSEC;
		net.nodes[1]->now += 5 * DFF_MSEC;
		relay_bench_step(net.nodes[0], &wake);
		for (guint k = 0; k < net.nodes[0]->fx->len; k++) {
			const dff_relay_effect_t *effect = &g_array_index(
			    net.nodes[0]->fx, dff_relay_effect_t, k);
			dff_relay_event_t event = {.type = DFF_RELAY_HEARTBEAT};

			if (effect->type != DFF_RELAY_FX_FRAME)
				continue;
			event.heartbeat.addr = net.nodes[0]->frame_addr;
			event.heartbeat.bytes = effect->frame.bytes;
			event.heartbeat.len = effect->frame.len;
			relay_bench_step(net.nodes[1], &event);
			fx = relay_bench_find(net.nodes[1], DFF_RELAY_FX_FETCH);
		}
	}
	return fx;
}

START_TEST(change_is_fetched_from_peer_that_has_it)
{
	const dff_relay_effect_t *fx;

	relay_net_add(&net, "a", 1, 100);
	relay_net_add(&net, "a", 2, 100);
	read_upstream_record();
	relay_net_add_all_peers(&net);
	dff_relay_set_feed_offset(net.nodes[0]->relay, DFF_FEED_UPSTREAMS, 40);
	dff_relay_set_feed_offset(net.nodes[1]->relay, DFF_FEED_UPSTREAMS, 39);
	fx = wait_for_fetch();
	ck_assert_ptr_nonnull(fx);
	ck_assert_int_eq(fx->fetch.feed, DFF_FEED_UPSTREAMS);
	ck_assert_str_eq(fx->fetch.addr, net.nodes[0]->frame_addr);
}
END_TEST

/* Reading one feed may end between two pages of the other. */
START_TEST(change_is_reported_after_read_of_other_feed)
{
	const dff_relay_effect_t *fx;

	relay_net_add(&net, "a", 1, 100);
	relay_net_add(&net, "a", 2, 100);
	read_upstream_record();
	relay_net_add_all_peers(&net);
	dff_relay_set_feed_offset(net.nodes[0]->relay, DFF_FEED_ROUTING, 7);
	dff_relay_set_feed_offset(net.nodes[0]->relay, DFF_FEED_UPSTREAMS, 40);
	fx = wait_for_fetch();
	ck_assert_ptr_nonnull(fx);
	ck_assert_int_eq(fx->fetch.feed, DFF_FEED_UPSTREAMS);
}
END_TEST

/* Heartbeats without changes are not fetched. */
START_TEST(read_without_change_is_not_reported)
{
	relay_net_add(&net, "a", 1, 100);
	relay_net_add(&net, "a", 2, 100);
	relay_net_add_all_peers(&net);
	dff_relay_set_feed_offset(net.nodes[0]->relay, DFF_FEED_UPSTREAMS, 40);
	ck_assert_ptr_null(wait_for_fetch());
	read_upstream_record();
	dff_relay_set_feed_offset(net.nodes[0]->relay, DFF_FEED_UPSTREAMS, 41);
	ck_assert_ptr_nonnull(wait_for_fetch());
	dff_relay_set_feed_offset(net.nodes[1]->relay, DFF_FEED_UPSTREAMS, 41);
	dff_relay_set_feed_offset(net.nodes[0]->relay, DFF_FEED_UPSTREAMS, 42);
	ck_assert_ptr_null(wait_for_fetch());
}
END_TEST

/* The store came back from an older copy, which the second node started from,
 * and the operator wrote the version of the first node again. */
START_TEST(version_that_is_written_again_is_fetched)
{
	const dff_relay_effect_t *fx;

	relay_net_add(&net, "a", 1, 100);
	relay_net_add(&net, "a", 2, 100);
	relay_bench_load_routing(net.nodes[0], 6);
	relay_bench_load_routing(net.nodes[1], 3);
	relay_net_add_all_peers(&net);
	dff_relay_set_feed_offset(net.nodes[0]->relay, DFF_FEED_ROUTING, 40);
	dff_relay_set_feed_offset(net.nodes[1]->relay, DFF_FEED_ROUTING, 40);
	ck_assert_ptr_null(wait_for_fetch());
	relay_bench_load_routing(net.nodes[0], 6);
	dff_relay_set_feed_offset(net.nodes[0]->relay, DFF_FEED_ROUTING, 41);
	fx = wait_for_fetch();
	ck_assert_ptr_nonnull(fx);
	ck_assert_int_eq(fx->fetch.feed, DFF_FEED_ROUTING);
}
END_TEST

static const upstream_t *
engine_at(int node)
{
	return upstreams_find(
	    net.nodes[node]->relay->upstreams, upstream_hash("d1"));
}

/* Several nodes may send prompts to one engine at the same time. */
START_TEST(sends_are_known_to_peers_within_20_ms)
{
	for (int i = 1; i <= 3; i++)
		relay_net_add(&net, "a", i, 100);
	relay_net_add_all_peers(&net);
	for (int i = 0; i < net.count; i++) {
		relay_bench_load_routing(net.nodes[i], 1);
		relay_bench_load_upstream(
		    net.nodes[i], "d1", "llm", DFF_ROLE_DECODE, "a", 1);
	}
	relay_net_advance(&net, DFF_SEC);
	(void)relay_bench_open_prompt(net.nodes[0], "/talk/x", 1, 9000, 2, 500);
	ck_assert_uint_ne(relay_bench_send(net.nodes[0]), 0);
	relay_net_advance(&net, 20 * DFF_MSEC);
	for (int i = 1; i < net.count; i++) {
		const dff_prompt_t prompt = {
		    .parts = {{1, 9000}}, .count = 1, .tokens = 9000};

		ck_assert_uint_eq(engine_at(i)->peer_sends.backlog, 9500);
		ck_assert_uint_eq(
		    upstream_cached_tokens(engine_at(i), &prompt), 9000);
	}
	/* The loads of a dead peer no longer count. */
	net.isolated[0] = true;
	relay_net_advance(&net, 2 * DFF_SEC);
	ck_assert_uint_eq(engine_at(1)->peer_sends.backlog, 0);
}
END_TEST

/* Two domains of 10 nodes: each domain's summaries reach every node of the
 * other once, forwarded by the nodes with fast links. */
START_TEST(summaries_reach_other_domains_once)
{
	for (int i = 1; i <= 10; i++) {
		relay_net_add(&net, "a", i, i == 1 ? 200 : 10);
		relay_net_add(&net, "b", i, i == 1 ? 200 : 10);
	}
	relay_net_add_all_peers(&net);
	for (int i = 0; i < net.count; i++) {
		relay_bench_load_routing(net.nodes[i], 1);
		relay_bench_load_upstream(
		    net.nodes[i], "d1", "llm", DFF_ROLE_DECODE, "b", 1);
	}
	relay_net_advance(&net, 2 * DFF_SEC);
	(void)relay_bench_open_prompt(net.nodes[4], "/talk/x", 1, 9000, 2, 500);
	ck_assert_uint_ne(relay_bench_send(net.nodes[4]), 0);
	relay_net_advance(&net, 100 * DFF_MSEC);
	for (int i = 0; i < net.count; i++) {
		if (i != 4)
			ck_assert_uint_eq(
			    engine_at(i)->peer_sends.backlog, 9500);
	}
	relay_net_advance(&net, 2 * DFF_SEC);
	for (int i = 0; i < net.count; i++) {
		if (i != 4)
			ck_assert_uint_eq(
			    engine_at(i)->peer_sends.backlog, 9500);
	}
}
END_TEST

#define DOMAINS 8

/*
 * For 1 s a domain sends requests to an upstream of another domain, which is
 * reported to all domains; returns the number of frames sent by the node that
 * forwards them in a third domain.
 */
static uint64_t
count_forwarded_frames(int nodes_each)
{
	uint64_t sends[200];
	uint64_t before;

	for (int i = 1; i <= nodes_each; i++) {
		for (int k = 0; k < DOMAINS; k++) {
			char domain[] = {(char)('a' + k), '\0'};

			relay_net_add(&net, domain, i, i == 1 ? 200 : 10);
		}
	}
	relay_net_add_all_peers(&net);
	for (int i = 0; i < net.count; i++) {
		relay_bench_load_routing(net.nodes[i], 1);
		relay_bench_load_upstream(
		    net.nodes[i], "d1", "llm", DFF_ROLE_DECODE, "b", 1);
	}
	relay_net_advance(&net, DFF_SEC);
	before = net.frames_sent[2];
	for (int i = 0; i < 200; i++) {
		relay_bench_t *node = net.nodes[i % 8 * DOMAINS];

		(void)relay_bench_open_prompt(
		    node, "/talk/x", 1, 1, (uint64_t)(100 + i), 1);
		sends[i] = relay_bench_send(node);
		/* Eight are in flight at any time. */
		if (i >= 8)
			relay_bench_end(
			    node, sends[i - 8], DFF_SEND_BROKEN, NULL);
		relay_net_advance(&net, 5 * DFF_MSEC);
	}
	return net.frames_sent[2] - before;
}

/* A node forwards no more frames in a fleet four times as large, apart from its
 * own periodic ones: forwarding takes link and processor time. */
START_TEST(forwarded_frames_do_not_grow_with_the_fleet)
{
	uint64_t usual = count_forwarded_frames(10);

	relay_net_drop(&net);
	ck_assert_uint_le(count_forwarded_frames(40), 2 * usual);
}
END_TEST

START_TEST(next_node_sends_summaries_when_leader_dies)
{
	for (int i = 1; i <= 10; i++) {
		relay_net_add(&net, "a", i, i == 1 ? 200 : 10);
		relay_net_add(&net, "b", i, i == 1 ? 200 : 10);
	}
	relay_net_add_all_peers(&net);
	for (int i = 0; i < net.count; i++) {
		relay_bench_load_routing(net.nodes[i], 1);
		relay_bench_load_upstream(
		    net.nodes[i], "d1", "llm", DFF_ROLE_DECODE, "b", 1);
	}
	relay_net_advance(&net, 2 * DFF_SEC);
	net.isolated[0] = true; /* a1 led domain a */
	net.isolated[1] = true; /* b1 led domain b */
	relay_net_advance(&net, 4 * DFF_SEC);
	(void)relay_bench_open_prompt(net.nodes[4], "/talk/x", 1, 9000, 2, 500);
	relay_net_advance(&net, 500 * DFF_MSEC);
	ck_assert_uint_eq(engine_at(7)->peer_sends.backlog, 9500);
}
END_TEST

START_TEST(malformed_frame_is_counted)
{
	dff_relay_event_t event = {.type = DFF_RELAY_HEARTBEAT};
	char *text;

	relay_net_add(&net, "a", 1, 100);
	event.heartbeat.addr = "10.0.9.9:7000";
	event.heartbeat.bytes = (const uint8_t *)"\xff\xff\xff";
	event.heartbeat.len = 3;
	relay_bench_step(net.nodes[0], &event);
	text = dff_relay_metrics(net.nodes[0]->relay, net.nodes[0]->now);
	ck_assert_ptr_nonnull(strstr(text, "dff_relay_beats_bad_total 1\n"));
	g_free(text);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_frame_receive");
	TCase *tcase = tcase_create("relay_frame_receive");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, NULL, teardown);
	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, two_nodes_read_for_all);
	tcase_add_test(tcase, readers_refused_by_source_are_replaced);
	tcase_add_test(
	    tcase, partitioned_node_reads_source_and_becomes_not_ready);
	tcase_add_test(tcase, old_read_time_is_not_an_outage);
	tcase_add_test(tcase, change_is_fetched_from_peer_that_has_it);
	tcase_add_test(tcase, change_is_reported_after_read_of_other_feed);
	tcase_add_test(tcase, read_without_change_is_not_reported);
	tcase_add_test(tcase, version_that_is_written_again_is_fetched);
	tcase_add_test(tcase, sends_are_known_to_peers_within_20_ms);
	tcase_add_test(tcase, summaries_reach_other_domains_once);
	tcase_add_test(tcase, forwarded_frames_do_not_grow_with_the_fleet);
	tcase_add_test(tcase, next_node_sends_summaries_when_leader_dies);
	tcase_add_test(tcase, malformed_frame_is_counted);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
