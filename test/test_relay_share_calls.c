/*
 * Shares of scarce room in the relay: who is refused, what callers and
 * operators see, and what nodes tell each other.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_net.h"
#include "relay/share_calls.h"

#define OWN_TOKENS 3000

static relay_net_t net;
static uint64_t next_part;
static int status; /* of the last answer by a relay */
static dff_time_t retry_after; /* likewise */

static void
load(relay_bench_t *bench, bool organisations)
{
	static const char *const names[] = {"large", "small"};
	dff_relay_event_t event = {.type = DFF_RELAY_ROUTING};

	event.routing = relay_bench_new_routing(1);
	if (organisations)
		event.routing->organisations = dff_organisations_new();
	for (size_t i = 0; organisations && i < G_N_ELEMENTS(names); i++) {
		dff_organisation_t organisation = {0};

		g_strlcpy(
		    organisation.name, names[i], sizeof(organisation.name));
		dff_organisations_add_key(event.routing->organisations,
		    dff_organisations_add(
			event.routing->organisations, &organisation),
		    names[i]);
	}
	relay_bench_step(bench, &event);
	dff_routing_drop(event.routing);
	relay_bench_load_upstream(bench, "e1", "llm", DFF_ROLE_MIXED, "a", 1);
}

static void
make_nodes(int count, bool organisations)
{
	for (int i = 1; i <= count; i++)
		relay_net_add(&net, "a", i, 100);
	relay_net_add_all_peers(&net);
	for (int i = 0; i < count; i++)
		load(net.nodes[i], organisations);
	relay_net_advance(&net, 300 * DFF_MSEC);
}

static void
setup(void)
{
	memset(&net, 0, sizeof(net));
}

static void
teardown(void)
{
	relay_net_drop(&net);
}

/* Opens a request of an organisation; returns its send, or 0 if refused. */
static uint64_t
ask(int node, const char *key)
{
	relay_bench_t *bench = net.nodes[node];
	dff_relay_event_t event = {.type = DFF_RELAY_OPEN};
	const dff_relay_effect_t *fx;
	uint64_t send;

	event.open.call = ++bench->next_call;
	event.open.id = "id";
	event.open.host = "h";
	event.open.target = "/talk/x";
	event.open.content_hash = ++next_part;
	event.open.timeout = 3 * DFF_SEC;
	event.open.after_event = -1;
	event.open.resumes = "";
	event.open.credential = key;
	event.open.organisation = "";
	event.open.prompt.parts[0] = (dff_part_t){next_part, 10};
	event.open.prompt.parts[1] = (dff_part_t){++next_part, OWN_TOKENS};
	event.open.prompt.count = 2;
	event.open.prompt.tokens = OWN_TOKENS + 10;
	event.open.prompt.tokens_out = 10;
	relay_bench_step(bench, &event);
	send = relay_bench_send(bench);
	status = relay_bench_answer(bench);
	fx = relay_bench_find(bench, DFF_RELAY_FX_ANSWER);
	retry_after = fx != NULL ? fx->answer.retry_after : 0;
	relay_net_deliver(&net, node);
	return send;
}

static bool
metrics_have(int node, const char *line)
{
	char *text =
	    dff_relay_metrics(net.nodes[node]->relay, net.nodes[node]->now);
	bool found = strstr(text, line) != NULL;

	g_free(text);
	return found;
}

/* A caller closes its connection, so that the engine's queue is shorter. */
static void
leave(int node, uint64_t call)
{
	dff_relay_event_t event = {.type = DFF_RELAY_CALLER_GONE};

	event.caller_gone = call;
	relay_bench_step(net.nodes[node], &event);
	relay_net_deliver(&net, node);
}

/* Fills the engine's queue and has as many requests refused again. Returns the
 * first call, which waits. */
static uint64_t
flood(int node, const char *key)
{
	uint64_t first = net.nodes[node]->next_call + 1;

	for (int i = 0; i < 30; i++)
		(void)ask(node, key);
	return first;
}

START_TEST(large_organisation_is_refused_where_small_one_is_served)
{
	uint64_t first;

	make_nodes(1, true);
	ck_assert_uint_ne(ask(0, "small"), 0);
	leave(0, net.nodes[0]->next_call);
	first = flood(0, "large");
	ck_assert(metrics_have(0, "dff_relay_refused_share_total 0\n"));
	relay_net_advance(&net, 300 * DFF_MSEC);
	ck_assert(metrics_have(0, "dff_relay_pools_short 1\n"));
	/* There is room for one more request, but not for any. */
	leave(0, first);
	for (int i = 0; i < 20 && ask(0, "large") != 0; i++)
		leave(0, net.nodes[0]->next_call);
	ck_assert(!metrics_have(0, "dff_relay_refused_share_total 0\n"));
	ck_assert_int_eq(status, 503);
	ck_assert_int_ge(retry_after, DFF_SEC);
	ck_assert_uint_ne(ask(0, "small"), 0);
}
END_TEST

START_TEST(nodes_tell_each_other_where_room_is_short)
{
	make_nodes(3, true);
	(void)flood(0, "large");
	ck_assert(metrics_have(1, "dff_relay_pools_short 0\n"));
	relay_net_advance(&net, 1500 * DFF_MSEC);
	ck_assert(metrics_have(1, "dff_relay_pools_short 1\n"));
	ck_assert(metrics_have(2, "dff_relay_pools_short 1\n"));
	/* Without further refusals it ends. */
	relay_net_advance(&net, 40 * DFF_SEC);
	for (int i = 0; i < 3; i++)
		ck_assert(metrics_have(i, "dff_relay_pools_short 0\n"));
}
END_TEST

/* Bytes of frames that a node sends in some seconds after a flood. */
static uint64_t
frame_bytes(bool organisations)
{
	uint64_t before;

	make_nodes(3, organisations);
	(void)flood(0, organisations ? "large" : "");
	before = net.bytes_sent[0];
	relay_net_advance(&net, 3 * DFF_SEC);
	return net.bytes_sent[0] - before;
}

START_TEST(nothing_is_reported_without_organisations)
{
	uint64_t with = frame_bytes(true);
	uint64_t without;

	relay_net_drop(&net);
	setup();
	without = frame_bytes(false);
	ck_assert(!metrics_have(0, "dff_relay_pools_short"));
	ck_assert_uint_gt(with, without);
	/* Three reports of one organisation to two peers. */
	ck_assert_uint_le(with - without, (uint64_t)3 * 2 * 64);
}
END_TEST

/* With many organisations a report names only those that ask for most. */
START_TEST(reports_stay_small_with_2500_organisations)
{
	share_request_t request = {.pool = "llm",
	    .rank = SHARE_RANK_DEFAULT,
	    .cost = 60 * DFF_MSEC,
	    .wait = 240 * DFF_MSEC};
	share_verdict_t verdict;
	share_rows_t rows;
	dff_relay_t *relay;

	make_nodes(1, true);
	relay = net.nodes[0]->relay;
	for (uint32_t i = 1; i <= 2500; i++) {
		request.organisation = dff_hash(&i, sizeof(i), 0) & UINT32_MAX;
		shares_decide(
		    relay->shares, &request, 0.5, net.nodes[0]->now, &verdict);
	}
	net.nodes[0]->now += 5 * DFF_SEC;
	for (int domain = 0; domain < 2; domain++) {
		size_t size;

		ck_assert_uint_eq(
		    share_list_frame(relay, domain, &rows, net.nodes[0]->now),
		    1);
		size = dff__relay_share__get_packed_size(&rows.reports[0]);
		if (getenv("DFF_SHOW") != NULL)
			g_print("domain %d: %zu bytes\n", domain, size);
		ck_assert_uint_le(size, domain ? 128 : 96);
	}
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_share_calls");
	TCase *tcase = tcase_create("relay_share_calls");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(
	    tcase, large_organisation_is_refused_where_small_one_is_served);
	tcase_add_test(tcase, nodes_tell_each_other_where_room_is_short);
	tcase_add_test(tcase, nothing_is_reported_without_organisations);
	tcase_add_test(tcase, reports_stay_small_with_2500_organisations);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
