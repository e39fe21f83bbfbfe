/*
 * Which nodes read the record source in a large fleet, and how a change
 * propagates from them to all nodes.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_net.h"
#include "relay/peers.h"

#define DOMAINS		 5
#define NODES_EACH	 13
#define NODES_EACH_LARGE 60

static relay_net_t net;
static int fetches[NODES_MAX];
static bool refused[NODES_MAX]; /* nodes that the source refuses */

static void
teardown(void)
{
	relay_net_drop(&net);
	memset(fetches, 0, sizeof(fetches));
	memset(refused, 0, sizeof(refused));
}

static void
answer_from_source(int i)
{
	const dff_relay_event_t heard = {.type = DFF_RELAY_SOURCE_ANSWERED};

	relay_bench_step(net.nodes[i], &heard);
}

static bool
reads(int i)
{
	return dff_relay_reads_source(net.nodes[i]->relay, net.nodes[i]->now);
}

static int
count_readers(void)
{
	int readers = 0;

	for (int i = 0; i < net.count; i++)
		readers += reads(i);
	return readers;
}

/* In a domain of the largest fleet, not all nodes may poll a source that is
 * down. */
START_TEST(few_nodes_poll_unavailable_source)
{
	const char *why;

	for (int i = 1; i <= 39; i++)
		relay_net_add(&net, "a", i, 100);
	relay_net_add_all_peers(&net);
	for (int i = 0; i < net.count; i++) {
		relay_bench_load_routing(net.nodes[i], 1);
		relay_bench_load_upstream(
		    net.nodes[i], "p1", "plain", DFF_ROLE_MIXED, "a", 1);
		answer_from_source(i);
	}
	relay_net_advance(&net, 4 * DFF_SEC);
	for (int round = 0; round < 60; round++) {
		ck_assert_int_le(count_readers(), 5);
		relay_net_advance(&net, 100 * DFF_MSEC);
	}
	for (int i = 0; i < net.count; i++)
		ck_assert(dff_relay_ready(
		    net.nodes[i]->relay, net.nodes[i]->now, &why));
}
END_TEST

/* The source refuses half of the nodes, among them the highest-ranking. */
START_TEST(refused_readers_are_replaced_within_1500_ms)
{
	dff_time_t heard = 0;

	for (int i = 1; i <= 39; i++)
		relay_net_add(&net, "a", i, 100);
	relay_net_add_all_peers(&net);
	relay_net_advance(&net, 4 * DFF_SEC);
	for (int round = 0; heard == 0 && round < 40; round++) {
		int tried = 0;

		for (int i = 0; i < net.count; i++) {
			bool reads = dff_relay_reads_source(
			    net.nodes[i]->relay, net.nodes[i]->now);

			tried += reads;
			if (!reads || i % 2 == 0 || tried <= 2)
				continue;
			answer_from_source(i);
			heard = round * 100 * DFF_MSEC;
		}
		relay_net_advance(&net, 100 * DFF_MSEC);
	}
	ck_assert_int_gt(heard, 0);
	ck_assert_int_le(heard, 1500 * DFF_MSEC);
	/* It goes on reading, and a second one reads too. */
	for (int round = 0; round < 40; round++) {
		for (int i = 1; i < net.count; i += 2) {
			if (dff_relay_reads_source(
				net.nodes[i]->relay, net.nodes[i]->now))
				answer_from_source(i);
		}
		relay_net_advance(&net, 100 * DFF_MSEC);
	}
	ck_assert_int_le(count_readers(), 6);
}
END_TEST

/* ---- several domains ---- */

/* Gives a node the routing and the mark of the node that it fetches from. */
static void
on_fetch(int node, const dff_relay_fetch_t *fetch)
{
	int from = relay_net_find(&net, fetch->addr);
	const dff_routing_t *routing;

	ck_assert_int_ge(from, 0);
	fetches[node]++;
	routing = dff_relay_routing(net.nodes[from]->relay);
	if (net.isolated[from] || routing == NULL)
		return;
	relay_bench_load_routing(net.nodes[node], routing->version);
	dff_relay_set_feed_offset(net.nodes[node]->relay, DFF_FEED_ROUTING,
	    net.nodes[from]->relay->changed_offsets[DFF_FEED_ROUTING]);
}

static void
start_domains(int nodes_each)
{
	for (int i = 1; i <= nodes_each; i++) {
		for (int k = 0; k < DOMAINS; k++) {
			char domain[] = {(char)('a' + k), '\0'};

			relay_net_add(&net, domain, i, i == 1 ? 200 : 20);
		}
	}
	relay_net_add_all_peers(&net);
	for (int i = 0; i < net.count; i++) {
		relay_bench_load_routing(net.nodes[i], 1);
		dff_relay_set_feed_offset(
		    net.nodes[i]->relay, DFF_FEED_ROUTING, 1);
	}
	net.fetch = on_fetch;
}

/* Readers poll every 650 ms, as dff-edge does. */
static void
advance(dff_time_t time)
{
	for (dff_time_t t = 0; t < time; t += 50 * DFF_MSEC) {
		for (int i = 0; i < net.count; i++) {
			dff_time_t since = net.nodes[i]->now -
			    net.nodes[i]->relay->source_read_at;

			if (reads(i) && !refused[i] && !net.isolated[i] &&
			    since >= 650 * DFF_MSEC)
				answer_from_source(i);
		}
		relay_net_advance(&net, 50 * DFF_MSEC);
	}
}

/* Number of nodes that read and get an answer. */
static int
count_successful_readers(void)
{
	int count = 0;

	for (int i = 0; i < net.count; i++)
		count += reads(i) && !refused[i] && !net.isolated[i];
	return count;
}

START_TEST(two_nodes_of_two_domains_read_for_all)
{
	start_domains(NODES_EACH);
	advance(5 * DFF_SEC);
	for (int round = 0; round < 20; round++) {
		ck_assert_int_le(count_readers(), 2);
		advance(100 * DFF_MSEC);
	}
	ck_assert_int_eq(count_readers(), 2);
	for (int i = 0; i < net.count; i++)
		ck_assert_int_le(
		    net.nodes[i]->now - net.nodes[i]->relay->source_answered_at,
		    2 * DFF_SEC);
}
END_TEST

/* In the largest fleets each domain reads for itself. */
START_TEST(two_nodes_of_each_domain_read_in_the_largest_fleet)
{
	start_domains(NODES_EACH_LARGE);
	advance(3 * DFF_SEC);
	ck_assert_int_eq(count_readers(), 2 * DOMAINS);
}
END_TEST

START_TEST(change_reaches_all_domains_in_time)
{
	int far_fetches = 0;

	start_domains(NODES_EACH);
	advance(5 * DFF_SEC);
	memset(fetches, 0, sizeof(fetches));
	for (int i = 0; i < net.count; i++) {
		if (!reads(i))
			continue;
		relay_bench_load_routing(net.nodes[i], 2);
		dff_relay_set_feed_offset(
		    net.nodes[i]->relay, DFF_FEED_ROUTING, 2);
	}
	advance(1200 * DFF_MSEC);
	for (int i = 0; i < net.count; i++) {
		ck_assert_uint_eq(
		    dff_relay_routing(net.nodes[i]->relay)->version, 2);
		far_fetches += fetches[i];
	}
	/* About one fetch a node, within its domain except for the first
	 * nodes. */
	ck_assert_int_le(far_fetches, 2 * net.count);
}
END_TEST

/* ---- a large configuration over slow links ---- */

/* Time in which a change has to be in force, to receive the configuration over
 * a link of 10 Mbit/s, between checks whether a node is to read, and after which
 * a node reads the source instead of a peer. */
#define CHANGE_TIME   (3 * DFF_SEC)
#define TRANSFER_TIME (400 * DFF_MSEC)
#define CHECK_PERIOD  (250 * DFF_MSEC)
#define PEER_TIME     (500 * DFF_MSEC)
#define STEP	      (50 * DFF_MSEC)
#define VERSION	      2
#define SOURCE	      (-1)

/* What each node receives; a node sends over its own link. */
static struct transfer {
	bool active;
	int from;
	dff_time_t began_at;
	dff_time_t left;
} transfers[NODES_MAX];

static bool
has_change(int node)
{
	return dff_relay_routing(net.nodes[node]->relay)->version == VERSION;
}

static void
start_transfer(int node, int from, dff_time_t time)
{
	if (!transfers[node].active && !has_change(node))
		transfers[node] =
		    (struct transfer){true, from, net.nodes[node]->now, time};
}

static void
on_slow_fetch(int node, const dff_relay_fetch_t *fetch)
{
	start_transfer(node, relay_net_find(&net, fetch->addr), TRANSFER_TIME);
}

static void
load_change(int node)
{
	relay_bench_load_routing(net.nodes[node], VERSION);
	dff_relay_set_feed_offset(
	    net.nodes[node]->relay, DFF_FEED_ROUTING, VERSION);
}

/* Transfers that share the slower of the links of two nodes. */
static dff_time_t
count_sharing(int from)
{
	dff_time_t count = 0;

	if (from == SOURCE || net.nodes[from]->relay->config.link_mbps >= 200)
		return 1;
	for (int i = 0; i < net.count; i++)
		count += transfers[i].active && transfers[i].from == from;
	return count;
}

static void
run_transfer(int node)
{
	struct transfer *transfer = &transfers[node];

	if (transfer->from == SOURCE || !net.isolated[transfer->from])
		transfer->left -= STEP / count_sharing(transfer->from);
	if (transfer->left <= 0) {
		transfer->active = false;
		load_change(node);
		if (transfer->from == SOURCE)
			answer_from_source(node);
	} else if (transfer->from != SOURCE &&
	    net.nodes[node]->now - transfer->began_at >= PEER_TIME)
		*transfer = (struct transfer){
		    true, SOURCE, net.nodes[node]->now, TRANSFER_TIME};
}

static void
advance_transfers(dff_time_t time)
{
	for (dff_time_t t = 0; t < time; t += STEP) {
		for (int i = 0; i < net.count; i++) {
			if (net.isolated[i])
				continue;
			if (transfers[i].active)
				run_transfer(i);
			if (reads(i))
				start_transfer(
				    i, SOURCE, CHECK_PERIOD + TRANSFER_TIME);
		}
		advance(STEP);
	}
}

/* The node of a domain that ranks highest among those not isolated. */
static int
highest_ranking(char domain)
{
	int highest = -1;
	uint64_t rank = 0;

	for (int i = 0; i < net.count; i++) {
		const dff_relay_config_t *config = &net.nodes[i]->relay->config;
		uint64_t own = peer_rank(config->addr, config->link_mbps);

		if (net.isolated[i] || config->domain[0] != domain ||
		    own <= rank)
			continue;
		highest = i;
		rank = own;
	}
	return highest;
}

/* The two nodes that receive other domains' summaries fail at the change. */
START_TEST(change_is_in_time_in_a_domain_that_lost_its_best_nodes)
{
	start_domains(NODES_EACH);
	memset(transfers, 0, sizeof(transfers));
	net.fetch = on_slow_fetch;
	advance(5 * DFF_SEC);
	for (int i = 0; i < net.count; i++) {
		if (reads(i))
			load_change(i);
	}
	for (int lost = 0; lost < SUMMARY_RECEIVERS; lost++)
		net.isolated[highest_ranking((char)('a' + _i))] = true;
	advance_transfers(CHANGE_TIME);
	for (int i = 0; i < net.count; i++)
		ck_assert_msg(net.isolated[i] || has_change(i),
		    "node %s has no change", net.nodes[i]->frame_addr);
}
END_TEST

/* The reading domains are lost, one after the other. */
START_TEST(other_domains_read_when_reading_domain_is_lost)
{
	start_domains(NODES_EACH);
	advance(5 * DFF_SEC);
	for (int lost = 0; lost < 3; lost++) {
		char domain = '\0';

		for (int i = 0; i < net.count; i++) {
			if (reads(i) && !net.isolated[i])
				domain = net.nodes[i]->relay->config.domain[0];
		}
		for (int i = 0; i < net.count; i++) {
			if (net.nodes[i]->relay->config.domain[0] == domain)
				net.isolated[i] = true;
		}
		/* The lost domain may be the only one that has read so far. */
		advance(3 * DFF_SEC);
		ck_assert_int_ge(count_successful_readers(), 1);
		for (int i = 0; i < net.count; i++) {
			if (!net.isolated[i])
				ck_assert_int_le(net.nodes[i]->now -
					net.nodes[i]->relay->source_answered_at,
				    2 * DFF_SEC);
		}
	}
}
END_TEST

/* The source refuses a third of the nodes, among them the readers. */
START_TEST(refused_readers_in_several_domains_are_replaced)
{
	start_domains(NODES_EACH);
	advance(5 * DFF_SEC);
	for (int i = 0; i < net.count; i++)
		refused[i] = reads(i) || i % 3 == 0;
	advance(3 * DFF_SEC);
	ck_assert_int_ge(count_successful_readers(), 1);
	for (int i = 0; i < net.count; i++)
		ck_assert_int_le(
		    net.nodes[i]->now - net.nodes[i]->relay->source_answered_at,
		    2 * DFF_SEC);
}
END_TEST

START_TEST(isolated_node_reads_source_itself)
{
	start_domains(NODES_EACH);
	advance(5 * DFF_SEC);
	net.isolated[7] = true;
	advance(2500 * DFF_MSEC);
	ck_assert(reads(7));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_readers");
	TCase *tcase = tcase_create("relay_readers");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, NULL, teardown);
	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, few_nodes_poll_unavailable_source);
	tcase_add_test(tcase, refused_readers_are_replaced_within_1500_ms);
	tcase_add_test(tcase, two_nodes_of_two_domains_read_for_all);
	tcase_add_test(
	    tcase, two_nodes_of_each_domain_read_in_the_largest_fleet);
	tcase_add_test(tcase, change_reaches_all_domains_in_time);
	tcase_add_loop_test(tcase,
	    change_is_in_time_in_a_domain_that_lost_its_best_nodes, 0, DOMAINS);
	tcase_add_test(tcase, other_domains_read_when_reading_domain_is_lost);
	tcase_add_test(tcase, refused_readers_in_several_domains_are_replaced);
	tcase_add_test(tcase, isolated_node_reads_source_itself);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
