/*
 * Frames between nodes of a large fleet: how much of its slow link a busy node
 * spends on them, and which loads its peers know meanwhile.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_net.h"
#include "relay/peers.h"

#define NODES	  27
#define ENGINES	  60
#define LINK_MBPS 10
/* Index of the node under load. */
#define BUSY 4
/* Header bytes of a datagram. */
#define DATAGRAM_HEADER 28

static relay_net_t net;

static void
setup(void)
{
	for (int i = 1; i <= NODES; i++)
		relay_net_add(&net, "a", i, LINK_MBPS);
	relay_net_add_all_peers(&net);
	for (int i = 0; i < net.count; i++) {
		relay_bench_load_routing(net.nodes[i], 1);
		for (int k = 0; k < ENGINES; k++) {
			char id[16];

			(void)snprintf(id, sizeof(id), "e%d", k);
			relay_bench_load_upstream(net.nodes[i], id, "llm",
			    DFF_ROLE_DECODE, k % 3 == 0 ? "a" : "b", 1);
		}
	}
	relay_net_advance(&net, 2 * DFF_SEC);
}

static void
teardown(void)
{
	relay_net_drop(&net);
}

/* Number of sends of its peers that a node knows to be in flight; only the busy
 * node has any. */
static uint64_t
count_reported_sends(int node)
{
	const dff_relay_t *relay = net.nodes[node]->relay;
	uint64_t sum = 0;
	upstream_t *up;

	for (dff_handle_t h = 0;
	     (h = upstreams_next(relay->upstreams, h, &up)) != 0;)
		sum += up->peer_sends.running;
	return sum;
}

/* Sends a prompt of which nothing is cached. */
static uint64_t
send_prompt(uint64_t number)
{
	(void)relay_bench_open_prompt(
	    net.nodes[BUSY], "/talk/x", 1000 + number, 50, 2000 + number, 200);
	return relay_bench_send(net.nodes[BUSY]);
}

/*
 * A burst of short prompts at a node with a slow link, each in flight for a
 * second. The rest of the link is needed for the prompts.
 */
START_TEST(busy_node_spends_a_fifth_of_its_link)
{
	enum {
		A_SECOND = 100,
		SECONDS = 4,
		UNDER_WAY = 100
	};
	uint64_t sends[A_SECOND * SECONDS];
	uint64_t bytes;

	net.bytes_sent[BUSY] = 0;
	net.frames_sent[BUSY] = 0;
	for (int i = 0; i < A_SECOND * SECONDS; i++) {
		sends[i] = send_prompt((uint64_t)i);
		if (i >= UNDER_WAY && sends[i - UNDER_WAY] != 0)
			relay_bench_end(net.nodes[BUSY], sends[i - UNDER_WAY],
			    DFF_SEND_BROKEN, NULL);
		relay_net_advance(&net, DFF_SEC / A_SECOND);
	}
	bytes = net.bytes_sent[BUSY] + DATAGRAM_HEADER * net.frames_sent[BUSY];
	ck_assert_uint_le(bytes / SECONDS, LINK_MBPS * 125000 / 5);
	/* Its peers still know of most sends. */
	ck_assert_uint_ge(count_reported_sends(0), UNDER_WAY * 9 / 10);
}
END_TEST

START_TEST(end_of_send_is_reported)
{
	uint64_t send = send_prompt(1);

	relay_net_advance(&net, 20 * DFF_MSEC);
	ck_assert_uint_eq(count_reported_sends(0), 1);
	relay_bench_head(net.nodes[BUSY], send, 200, false);
	relay_bench_end(net.nodes[BUSY], send, DFF_SEND_DONE, NULL);
	relay_net_advance(&net, 250 * DFF_MSEC);
	ck_assert_uint_eq(count_reported_sends(0), 0);
}
END_TEST

/* The frame that reports the send is lost. */
START_TEST(lost_update_is_repaired_within_a_second)
{
	net.isolated[0] = true;
	(void)send_prompt(1);
	relay_net_advance(&net, 300 * DFF_MSEC);
	net.isolated[0] = false;
	relay_net_advance(&net, 1200 * DFF_MSEC);
	ck_assert_uint_eq(count_reported_sends(0), 1);
}
END_TEST

/* Rows that do not fit into one frame are reported in the next ones. */
START_TEST(many_loads_are_split_over_several_frames)
{
	for (uint64_t i = 0; i < 300; i++)
		(void)send_prompt(i);
	relay_net_advance(&net, 500 * DFF_MSEC);
	ck_assert_uint_eq(
	    count_reported_sends(0), dff_relay_calls(net.nodes[BUSY]->relay));
}
END_TEST

/* A restarted node receives brief frames before it knows their sender. */
START_TEST(brief_frame_of_unknown_node_is_ignored)
{
	relay_bench_t *fresh =
	    relay_bench_new_as("a99", "a", "10.0.97.99:7000", LINK_MBPS);
	Dff__RelayBeat beat = DFF__RELAY_BEAT__INIT;
	dff_relay_event_t event = {.type = DFF_RELAY_HEARTBEAT};
	uint8_t bytes[64];

	beat.incarnation = 1;
	beat.sequence = 1;
	beat.changes = true;
	beat.brief = true;
	event.heartbeat.addr = "10.0.97.98:7000";
	event.heartbeat.len = dff__relay_beat__pack(&beat, bytes);
	event.heartbeat.bytes = bytes;
	relay_bench_step(fresh, &event);
	ck_assert_uint_eq(peers_count_alive(fresh->relay, fresh->now), 0);
	relay_bench_drop(fresh);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_frame_send");
	TCase *tcase = tcase_create("relay_frame_send");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, busy_node_spends_a_fifth_of_its_link);
	tcase_add_test(tcase, end_of_send_is_reported);
	tcase_add_test(tcase, lost_update_is_repaired_within_a_second);
	tcase_add_test(tcase, many_loads_are_split_over_several_frames);
	tcase_add_test(tcase, brief_frame_of_unknown_node_is_ignored);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
