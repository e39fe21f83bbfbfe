/*
 * What upstreams say of themselves: that they are leaving, and that they want
 * nothing for a while.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_net.h"
#include "relay/peers.h"

static const dff_upstream_notice_t leaving = {.leaving = true};

static relay_bench_t *bench;
static relay_net_t net;

static void
setup(void)
{
	bench = relay_bench_new();
	relay_bench_load_routing(bench, 1);
	relay_bench_load_upstream(bench, "p1", "plain", DFF_ROLE_MIXED, "a", 1);
	relay_bench_load_upstream(bench, "p2", "plain", DFF_ROLE_MIXED, "a", 1);
}

static void
teardown(void)
{
	relay_bench_drop(bench);
	relay_net_drop(&net);
}

static dff_upstream_notice_t
away(dff_time_t time)
{
	return (dff_upstream_notice_t){.backoff = time};
}

/* Where the last step sends a request; "" if nowhere. */
static const char *
place_of(const relay_bench_t *node)
{
	const dff_relay_effect_t *fx =
	    relay_bench_find(node, DFF_RELAY_FX_SEND);

	return fx != NULL ? fx->send.upstream : "";
}

/* A whole good answer to the last send, with a word in its head. */
static void
answer_well(relay_bench_t *node, dff_upstream_notice_t word)
{
	uint64_t send = relay_bench_send(node);

	relay_bench_head_notice(node, send, 200, false, word);
	relay_bench_end(node, send, DFF_SEND_DONE, NULL);
}

/* Another start of an upstream, or another record of the same. */
static void
load_record(relay_bench_t *node, const char *id, uint64_t born, uint64_t seq)
{
	dff_relay_event_t event = {.type = DFF_RELAY_UPSTREAM};
	dff_upstream_record_t *news = &event.upstream;

	g_strlcpy(news->id, id, sizeof(news->id));
	g_strlcpy(news->addr, "10.9.0.1:80", sizeof(news->addr));
	g_strlcpy(news->domain, "a", sizeof(news->domain));
	g_strlcpy(news->pool, "plain", sizeof(news->pool));
	news->slots = 64;
	news->started_ms = born;
	news->seq = seq;
	relay_bench_step(node, &event);
}

/* How many of ten requests that come together go to an upstream. */
static int
count_at(relay_bench_t *node, const char *id)
{
	uint64_t sends[10];
	int count = 0;
	int sent = 0;

	for (uint64_t i = 0; i < G_N_ELEMENTS(sends); i++) {
		(void)relay_bench_open(node, "/order/x", 100 + i);
		if (relay_bench_send(node) == 0)
			continue;
		count += strcmp(place_of(node), id) == 0;
		sends[sent++] = relay_bench_send(node);
	}
	for (int i = 0; i < sent; i++) {
		relay_bench_head(node, sends[i], 200, false);
		relay_bench_end(node, sends[i], DFF_SEND_DONE, NULL);
	}
	return count;
}

/* ---- leaving ---- */

START_TEST(leaving_upstream_gets_no_new_work)
{
	char id[DFF_NAME_MAX];

	(void)relay_bench_open(bench, "/order/x", 1);
	g_strlcpy(id, place_of(bench), sizeof(id));
	answer_well(bench, leaving);
	ck_assert_int_eq(count_at(bench, id), 0);
	/* A record of the same start that says otherwise is older news. */
	load_record(bench, id, 1, 9);
	ck_assert_int_eq(count_at(bench, id), 0);
	load_record(bench, id, 2, 1);
	ck_assert_int_gt(count_at(bench, id), 0);
}
END_TEST

START_TEST(kept_connections_to_it_are_closed)
{
	const dff_relay_effect_t *fx;
	char id[DFF_NAME_MAX];

	(void)relay_bench_open(bench, "/order/x", 1);
	g_strlcpy(id, place_of(bench), sizeof(id));
	relay_bench_head_notice(
	    bench, relay_bench_send(bench), 200, false, leaving);
	fx = relay_bench_find(bench, DFF_RELAY_FX_CLOSE_IDLE);
	ck_assert_ptr_nonnull(fx);
	ck_assert_str_eq(fx->upstream, id);
}
END_TEST

START_TEST(word_counts_in_a_rejection_too)
{
	char id[DFF_NAME_MAX];
	uint64_t send;

	(void)relay_bench_open(bench, "/order/x", 1);
	g_strlcpy(id, place_of(bench), sizeof(id));
	send = relay_bench_send(bench);
	relay_bench_head_notice(bench, send, 503, true, leaving);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_str_ne(place_of(bench), id);
	answer_well(bench, away(0));
	ck_assert_int_eq(count_at(bench, id), 0);
}
END_TEST

START_TEST(what_runs_at_a_leaving_upstream_ends_normally)
{
	uint64_t send;

	relay_bench_load_upstream(bench, "d1", "llm", DFF_ROLE_DECODE, "a", 1);
	(void)relay_bench_open(bench, "/talk/x", 1);
	send = relay_bench_send(bench);
	relay_bench_head_notice(bench, send, 200, false, leaving);
	relay_bench_data(bench, send, "id: 1\ndata: a\n\n");
	ck_assert_ptr_nonnull(
	    relay_bench_find(bench, DFF_RELAY_FX_FORWARD_DATA));
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_ptr_nonnull(
	    relay_bench_find(bench, DFF_RELAY_FX_FORWARD_END));
	/* It was the only one: the next is refused at once. */
	(void)relay_bench_open(bench, "/talk/x", 2);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
}
END_TEST

/* A prompt that is read at an engine when another answer tells of it: its
 * memory is taken over, the rest goes to engines that stay. */
START_TEST(prompt_read_at_a_leaving_engine_is_answered_elsewhere)
{
	uint64_t read;

	relay_bench_load_upstream(bench, "f1", "llm", DFF_ROLE_PREFILL, "a", 1);
	relay_bench_load_upstream(bench, "d1", "llm", DFF_ROLE_DECODE, "a", 1);
	(void)relay_bench_open_prompt(bench, "/talk/x", 7, 9000, 8, 900);
	ck_assert_str_eq(place_of(bench), "f1");
	read = relay_bench_send(bench);
	relay_bench_head_notice(bench, read, 200, false, leaving);
	relay_bench_end(bench, read, DFF_SEND_DONE, "h1");
	ck_assert_str_eq(place_of(bench), "d1");
	ck_assert_int_eq(relay_bench_find(bench, DFF_RELAY_FX_SEND)->send.stage,
	    DFF_STAGE_DECODE);
	(void)relay_bench_open_prompt(bench, "/talk/x", 7, 9000, 9, 900);
	ck_assert_str_eq(place_of(bench), "d1");
}
END_TEST

START_TEST(word_of_an_earlier_start_does_not_count)
{
	char id[DFF_NAME_MAX];
	uint64_t send;

	(void)relay_bench_open(bench, "/order/x", 1);
	g_strlcpy(id, place_of(bench), sizeof(id));
	send = relay_bench_send(bench);
	load_record(bench, id, 2, 1);
	relay_bench_head_notice(bench, send, 200, false, leaving);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_int_gt(count_at(bench, id), 0);
}
END_TEST

START_TEST(word_beside_requests_counts)
{
	dff_relay_event_t event = {.type = DFF_RELAY_NOTICE};

	event.notice.upstream = "p1";
	event.notice.notice = leaving;
	relay_bench_step(bench, &event);
	ck_assert_int_eq(count_at(bench, "p1"), 0);
	event.notice.upstream = "unknown";
	relay_bench_step(bench, &event);
}
END_TEST

/* ---- what peers are told ---- */

static void
start_nodes(void)
{
	for (int i = 1; i <= 10; i++) {
		relay_net_add(&net, "a", i, i == 1 ? 200 : 10);
		relay_net_add(&net, "b", i, i == 1 ? 200 : 10);
	}
	relay_net_add_all_peers(&net);
	for (int i = 0; i < net.count; i++) {
		relay_bench_load_routing(net.nodes[i], 1);
		load_record(net.nodes[i], "p1", 1, 1);
		load_record(net.nodes[i], "p2", 1, 1);
	}
	relay_net_advance(&net, 2 * DFF_SEC);
}

static void
say(int node, const char *id, dff_upstream_notice_t word)
{
	dff_relay_event_t event = {.type = DFF_RELAY_NOTICE};

	event.notice.upstream = id;
	event.notice.notice = word;
	relay_bench_step(net.nodes[node], &event);
}

START_TEST(peers_of_all_domains_hear_of_leaving)
{
	start_nodes();
	/* One node knows a later start already. */
	load_record(net.nodes[9], "p1", 2, 1);
	say(4, "p1", leaving);
	relay_net_advance(&net, DFF_SEC);
	for (int i = 0; i < net.count; i++) {
		int at = count_at(net.nodes[i], "p1");

		if (i == 9)
			ck_assert_int_gt(at, 0);
		else
			ck_assert_int_eq(at, 0);
	}
}
END_TEST

/* Nobody tells it for long, nor as another's word, so that a worker's next
 * start is not taken for it. */
START_TEST(leaving_is_no_rumour)
{
	start_nodes();
	say(4, "p1", leaving);
	relay_net_advance(&net, 4 * DFF_SEC);
	relay_net_add(&net, "a", 11, 10);
	net.nodes[net.count - 1]->now = net.nodes[0]->now;
	relay_net_add_all_peers(&net);
	relay_bench_load_routing(net.nodes[net.count - 1], 1);
	load_record(net.nodes[net.count - 1], "p1", 1, 1);
	relay_net_advance(&net, DFF_SEC);
	ck_assert_int_gt(count_at(net.nodes[net.count - 1], "p1"), 0);
}
END_TEST

/* Others prefer another upstream, and take this one if there is none. */
START_TEST(time_away_is_a_hint_to_peers)
{
	dff_relay_event_t gone = {.type = DFF_RELAY_UPSTREAM};

	start_nodes();
	say(4, "p1", away(3 * DFF_SEC));
	relay_net_advance(&net, 500 * DFF_MSEC);
	ck_assert_int_eq(count_at(net.nodes[2], "p1"), 0);
	g_strlcpy(gone.upstream.id, "p2", sizeof(gone.upstream.id));
	gone.upstream.removed = true;
	relay_bench_step(net.nodes[2], &gone);
	ck_assert_int_gt(count_at(net.nodes[2], "p1"), 0);
	/* The one that was told so does not. */
	relay_bench_step(net.nodes[4], &gone);
	(void)relay_bench_open(net.nodes[4], "/order/x", 1);
	ck_assert_int_eq(relay_bench_answer(net.nodes[4]), 503);
}
END_TEST

/* ---- wanting nothing for a while ---- */

/* The upstream that gets the next request turns it away for so long. */
static void
turn_away(dff_time_t time, char *id)
{
	uint64_t send;

	(void)relay_bench_open(bench, "/order/x", 1);
	g_strlcpy(id, place_of(bench), DFF_NAME_MAX);
	send = relay_bench_send(bench);
	relay_bench_head_notice(bench, send, 503, true, away(time));
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
}

START_TEST(nothing_is_sent_until_the_time_is_over)
{
	char first[DFF_NAME_MAX];

	turn_away(2 * DFF_SEC, first);
	ck_assert_str_ne(place_of(bench), first);
	answer_well(bench, away(0));
	for (int i = 0; i < 19; i++) {
		ck_assert_int_eq(count_at(bench, first), 0);
		relay_bench_wait(bench, 100 * DFF_MSEC);
	}
	relay_bench_wait(bench, 200 * DFF_MSEC);
	ck_assert_int_gt(count_at(bench, first), 0);
}
END_TEST

/* Both want nothing: refused at once, with a time at which one is back. */
START_TEST(refused_at_once_with_a_true_time)
{
	const dff_relay_effect_t *fx;
	char id[DFF_NAME_MAX];

	turn_away(3 * DFF_SEC, id);
	relay_bench_head_notice(
	    bench, relay_bench_send(bench), 503, true, away(2 * DFF_SEC));
	relay_bench_end(bench, relay_bench_send(bench), DFF_SEND_DONE, NULL);
	(void)relay_bench_open(bench, "/order/x", 2);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	fx = relay_bench_find(bench, DFF_RELAY_FX_ANSWER);
	ck_assert_int_ge(fx->answer.retry_after, 2 * DFF_SEC);
	relay_bench_wait(bench, fx->answer.retry_after);
	(void)relay_bench_open(bench, "/order/x", 3);
	ck_assert_int_eq(relay_bench_answer(bench), 0);
}
END_TEST

START_TEST(latest_end_of_several_counts)
{
	dff_relay_event_t event = {.type = DFF_RELAY_NOTICE};

	event.notice.upstream = "p1";
	event.notice.notice = away(3 * DFF_SEC);
	relay_bench_step(bench, &event);
	event.notice.notice = away(DFF_SEC);
	relay_bench_step(bench, &event);
	relay_bench_wait(bench, 2 * DFF_SEC);
	ck_assert_int_eq(count_at(bench, "p1"), 0);
	relay_bench_wait(bench, 1100 * DFF_MSEC);
	ck_assert_int_gt(count_at(bench, "p1"), 0);
}
END_TEST

START_TEST(absurd_time_has_a_bound)
{
	dff_relay_event_t event = {.type = DFF_RELAY_NOTICE};

	event.notice.upstream = "p1";
	event.notice.notice = away(1000000000 * DFF_SEC);
	relay_bench_step(bench, &event);
	relay_bench_wait(bench, 60 * DFF_SEC);
	ck_assert_int_eq(count_at(bench, "p1"), 0);
	relay_bench_wait(bench, 3600 * DFF_SEC);
	ck_assert_int_gt(count_at(bench, "p1"), 0);
}
END_TEST

START_TEST(another_start_is_not_bound)
{
	char id[DFF_NAME_MAX];

	turn_away(60 * DFF_SEC, id);
	answer_well(bench, away(0));
	load_record(bench, id, 2, 1);
	ck_assert_int_gt(count_at(bench, id), 0);
}
END_TEST

/* Steps of generations, memory to be freed and lists are requests, too. */
START_TEST(all_kinds_of_calls_keep_away)
{
	dff_relay_event_t event = {.type = DFF_RELAY_NOTICE};
	uint64_t read;

	relay_bench_load_upstream(bench, "f1", "llm", DFF_ROLE_PREFILL, "a", 1);
	relay_bench_load_upstream(bench, "d1", "llm", DFF_ROLE_DECODE, "a", 1);
	event.notice.upstream = "d1";
	event.notice.notice = away(2 * DFF_SEC);
	relay_bench_step(bench, &event);
	relay_bench_wait(bench, 50 * DFF_MSEC);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_CACHE_QUERY), 1);
	ck_assert_str_eq(relay_bench_find(bench, DFF_RELAY_FX_CACHE_QUERY)
			     ->cache_query.upstream,
	    "f1");
	/* No engine could answer: the prompt is not read in vain. */
	(void)relay_bench_open_prompt(bench, "/talk/x", 7, 9000, 8, 900);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	relay_bench_wait(bench, 2 * DFF_SEC);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_CACHE_QUERY), 1);
	(void)relay_bench_open_prompt(bench, "/talk/x", 7, 9000, 8, 900);
	ck_assert_str_eq(place_of(bench), "f1");
	read = relay_bench_send(bench);
	relay_bench_head_notice(bench, read, 200, false, away(0));
	event.notice.upstream = "f1";
	relay_bench_step(bench, &event);
	event.notice.upstream = "d1";
	relay_bench_step(bench, &event);
	relay_bench_end(bench, read, DFF_SEND_DONE, "h1");
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_RELEASE), 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_word");
	TCase *tcase = tcase_create("relay_word");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, leaving_upstream_gets_no_new_work);
	tcase_add_test(tcase, kept_connections_to_it_are_closed);
	tcase_add_test(tcase, word_counts_in_a_rejection_too);
	tcase_add_test(tcase, what_runs_at_a_leaving_upstream_ends_normally);
	tcase_add_test(
	    tcase, prompt_read_at_a_leaving_engine_is_answered_elsewhere);
	tcase_add_test(tcase, word_of_an_earlier_start_does_not_count);
	tcase_add_test(tcase, word_beside_requests_counts);
	tcase_add_test(tcase, peers_of_all_domains_hear_of_leaving);
	tcase_add_test(tcase, leaving_is_no_rumour);
	tcase_add_test(tcase, time_away_is_a_hint_to_peers);
	tcase_add_test(tcase, nothing_is_sent_until_the_time_is_over);
	tcase_add_test(tcase, refused_at_once_with_a_true_time);
	tcase_add_test(tcase, latest_end_of_several_counts);
	tcase_add_test(tcase, absurd_time_has_a_bound);
	tcase_add_test(tcase, another_start_is_not_bound);
	tcase_add_test(tcase, all_kinds_of_calls_keep_away);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
