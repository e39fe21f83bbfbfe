/*
 * Upstreams that limit the rate of requests that they accept from all nodes
 * together.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fake/limit_sim.h"
#include "proto/dragonflyfall.pb-c.h"

/* Time after the first answer that names a limit until it must hold. */
#define IN_FORCE (3 * DFF_SEC)
/* Share of its limit that an upstream gets under demand. */
#define USE_MIN 0.7
/* Longest time to a refusal: the rounds of permit requests of one call. */
#define REFUSAL_TIME (400 * DFF_MSEC)

static const limit_sim_config_t default_config = {.nodes = 9,
    .domains = 1,
    .upstreams = 6,
    .target = "/read/x",
    .per_s = 60,
    .answer_time = 300 * DFF_MSEC};

/* Answers that come before a request would be repeated. */
static const limit_sim_config_t fast_config = {.nodes = 9,
    .domains = 1,
    .upstreams = 6,
    .target = "/read/x",
    .per_s = 60,
    .answer_time = 100 * DFF_MSEC};

static void
teardown(void)
{
	limit_sim_stop();
}

/* Most requests in 4 s that a limit allows. */
static int
allowed(double rate)
{
	return (int)(1.5 * rate * 4 + 5);
}

/* All upstreams up to @count name a limit. */
static void
set_limits(int count, double rate)
{
	for (int i = 0; i < count; i++)
		limit_sim_set_limit(i, rate);
}

/* Runs until limits named now must hold; returns that moment. */
static dff_time_t
run_until_in_force(void)
{
	limit_sim_run(IN_FORCE + 2 * default_config.answer_time);
	return limit_sim_now();
}

static void
check_peaks(int count, double rate, dff_time_t since)
{
	for (int i = 0; i < count; i++)
		ck_assert_int_le(limit_sim_peak(i, since), allowed(rate));
}

/* ---- the bound ---- */

START_TEST(upstream_gets_no_more_than_its_limit)
{
	dff_time_t since;

	limit_sim_start(&default_config);
	set_limits(1, 1.3);
	since = run_until_in_force();
	limit_sim_run(20 * DFF_SEC);
	check_peaks(1, 1.3, since);
}
END_TEST

START_TEST(limit_holds_for_requests_that_run_once)
{
	limit_sim_config_t config = default_config;
	dff_time_t since;

	config.target = "/order/x";
	limit_sim_start(&config);
	set_limits(1, 1.2);
	since = run_until_in_force();
	limit_sim_run(20 * DFF_SEC);
	check_peaks(1, 1.2, since);
}
END_TEST

START_TEST(limits_hold_where_all_upstreams_have_one)
{
	dff_time_t since;

	limit_sim_start(&default_config);
	set_limits(6, 5);
	since = run_until_in_force();
	limit_sim_run(20 * DFF_SEC);
	check_peaks(6, 5, since);
}
END_TEST

START_TEST(limit_that_falls_holds)
{
	dff_time_t since;

	limit_sim_start(&default_config);
	set_limits(1, 6);
	limit_sim_run(10 * DFF_SEC);
	set_limits(1, 0.5);
	since = run_until_in_force();
	limit_sim_run(20 * DFF_SEC);
	check_peaks(1, 0.5, since);
}
END_TEST

/* Prefills, handovers, whole generations, freed memory and lists of cached
 * parts. */
START_TEST(limits_hold_for_all_stages_of_generations)
{
	limit_sim_config_t config = default_config;
	dff_time_t since;

	config.engines = true;
	config.target = "/talk/x";
	limit_sim_start(&config);
	set_limits(2, 1.3);
	since = run_until_in_force();
	limit_sim_run(20 * DFF_SEC);
	check_peaks(2, 1.3, since);
}
END_TEST

/* ---- use of the limit ---- */

static void
check_use(int upstream, double rate, dff_time_t since)
{
	ck_assert_double_ge(limit_sim_rate(upstream, since), USE_MIN * rate);
	/* In the long run it is never exceeded; the rest is the bucket. */
	ck_assert_double_le(limit_sim_rate(upstream, since), 1.1 * rate);
}

START_TEST(limit_is_used_by_many_nodes)
{
	static const double rates[] = {0.5, 1.3, 5};
	dff_time_t since;

	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		limit_sim_start(&fast_config);
		set_limits(1, rates[i]);
		since = run_until_in_force();
		limit_sim_run(20 * DFF_SEC);
		check_peaks(1, rates[i], since);
		check_use(0, rates[i], since);
		limit_sim_stop();
	}
}
END_TEST

START_TEST(limit_is_used_by_one_node_with_all_requests)
{
	limit_sim_config_t config = fast_config;
	dff_time_t since;

	config.busy_nodes = 1;
	for (int up = 0; up < config.upstreams; up++) {
		limit_sim_start(&config);
		limit_sim_set_limit(up, 1.3);
		since = run_until_in_force();
		limit_sim_run(20 * DFF_SEC);
		ck_assert_int_le(limit_sim_peak(up, since), allowed(1.3));
		check_use(up, 1.3, since);
		limit_sim_stop();
	}
}
END_TEST

START_TEST(limit_that_rises_is_used)
{
	dff_time_t since;

	limit_sim_start(&fast_config);
	set_limits(1, 0.5);
	(void)run_until_in_force();
	set_limits(1, 5);
	since = run_until_in_force();
	limit_sim_run(20 * DFF_SEC);
	check_peaks(1, 5, since);
	check_use(0, 5, since);
}
END_TEST

START_TEST(other_upstreams_take_the_requests)
{
	limit_sim_counts_t counts;

	limit_sim_start(&fast_config);
	set_limits(3, 1.3);
	limit_sim_run(20 * DFF_SEC);
	counts = limit_sim_counts(0);
	ck_assert_int_gt(counts.requests, 1000);
	ck_assert_int_eq(counts.refused + counts.failed, 0);
}
END_TEST

/* Requests whose answers are late are repeated, and wait for a permit while
 * other requests use up the retry budget. */
START_TEST(request_that_waits_for_a_permit_keeps_its_budget)
{
	limit_sim_config_t config = default_config;

	config.per_s = 240;
	limit_sim_start(&config);
	set_limits(1, 20);
	limit_sim_run(20 * DFF_SEC);
	ck_assert_int_eq(limit_sim_counts(0).failed, 0);
}
END_TEST

START_TEST(generations_move_to_other_engines)
{
	limit_sim_config_t config = fast_config;
	limit_sim_counts_t counts;

	config.engines = true;
	config.target = "/talk/x";
	config.per_s = 15;
	limit_sim_start(&config);
	set_limits(2, 0.5);
	limit_sim_run(20 * DFF_SEC);
	counts = limit_sim_counts(0);
	ck_assert_int_ge(counts.requests, 250);
	ck_assert_int_eq(counts.refused + counts.failed, 0);
}
END_TEST

/* ---- nodes that fail ---- */

typedef void disturb_t(int node, bool begin);

static void
kill_and_start(int node, bool begin)
{
	if (begin)
		limit_sim_kill_node(node);
	else
		limit_sim_start_node(node);
}

static void
split_fleet(int node, bool begin)
{
	limit_sim_split(begin ? 1 + node % 5 : 0);
}

/* Disturbs nodes in turn for 60 s. */
static void
check_disturbed(disturb_t *disturb, dff_time_t time, dff_time_t pause)
{
	static const double rates[] = {0.5, 1.3, 5};

	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		dff_time_t since;

		limit_sim_start(&fast_config);
		set_limits(2, rates[i]);
		since = run_until_in_force();
		for (int k = 0; limit_sim_now() < since + 60 * DFF_SEC; k++) {
			int node = k * 5 % fast_config.nodes;

			disturb(node, true);
			limit_sim_run(time);
			disturb(node, false);
			limit_sim_run(pause);
		}
		check_peaks(2, rates[i], since);
		limit_sim_stop();
	}
}

START_TEST(limit_holds_while_nodes_restart)
{
	check_disturbed(kill_and_start, 1500 * DFF_MSEC, 500 * DFF_MSEC);
	check_disturbed(kill_and_start, 100 * DFF_MSEC, 300 * DFF_MSEC);
}
END_TEST

START_TEST(limit_holds_while_nodes_freeze)
{
	check_disturbed(limit_sim_freeze_node, 1500 * DFF_MSEC, 500 * DFF_MSEC);
}
END_TEST

START_TEST(limit_holds_while_nodes_are_cut_off)
{
	check_disturbed(limit_sim_cut_node, 1500 * DFF_MSEC, 500 * DFF_MSEC);
}
END_TEST

START_TEST(limit_holds_in_a_partitioned_fleet)
{
	check_disturbed(split_fleet, 5 * DFF_SEC, 1500 * DFF_MSEC);
}
END_TEST

START_TEST(limit_holds_where_frames_are_lost)
{
	dff_time_t since;

	for (int percent = 10; percent <= 90; percent += 40) {
		limit_sim_start(&fast_config);
		limit_sim_lose_frames(percent / 100.0);
		set_limits(2, 1.3);
		since = run_until_in_force();
		limit_sim_run(30 * DFF_SEC);
		check_peaks(2, 1.3, since);
		ck_assert_int_eq(limit_sim_counts(since).refused, 0);
		limit_sim_stop();
	}
}
END_TEST

START_TEST(limit_holds_when_all_nodes_restart)
{
	dff_time_t since;

	limit_sim_start(&fast_config);
	set_limits(1, 1.3);
	since = run_until_in_force();
	for (int k = 0; k < 6; k++) {
		for (int i = 0; i < fast_config.nodes; i++)
			limit_sim_kill_node(i);
		limit_sim_run(500 * DFF_MSEC);
		for (int i = 0; i < fast_config.nodes; i++)
			limit_sim_start_node(i);
		limit_sim_run(5 * DFF_SEC);
	}
	check_peaks(1, 1.3, since);
}
END_TEST

/* Nodes that start while the record source is down know only the seeds. */
START_TEST(limit_holds_while_nodes_do_not_know_each_other)
{
	static const double rates[] = {0.5, 1.3, 5};
	limit_sim_config_t config = fast_config;
	dff_time_t since;

	for (config.seeds = 1; config.seeds <= 3; config.seeds++) {
		for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
			limit_sim_start(&config);
			set_limits(2, rates[i]);
			since = run_until_in_force();
			limit_sim_run(20 * DFF_SEC);
			check_peaks(2, rates[i], since);
			limit_sim_stop();
		}
	}
}
END_TEST

/* A call waits for a node that does not reply only briefly. */
START_TEST(lost_coordinator_delays_requests_briefly)
{
	limit_sim_counts_t counts;

	for (int node = 1; node < fast_config.nodes; node++) {
		dff_time_t since;

		limit_sim_start(&fast_config);
		set_limits(6, 20);
		since = run_until_in_force();
		limit_sim_freeze_node(node, true);
		limit_sim_run(500 * DFF_MSEC);
		limit_sim_freeze_node(node, false);
		limit_sim_run(2 * DFF_SEC);
		counts = limit_sim_counts(since);
		ck_assert_int_eq(counts.failed, 0);
		ck_assert_int_le(
		    counts.slowest_refusal, REFUSAL_TIME + 500 * DFF_MSEC);
		ck_assert_int_ge(counts.served, counts.requests * 9 / 10);
		limit_sim_stop();
	}
}
END_TEST

/* ---- large fleets ---- */

static void
check_large_fleet(int nodes, int domains, int busy_nodes)
{
	limit_sim_config_t config = fast_config;
	dff_time_t since;

	config.nodes = nodes;
	config.domains = domains;
	config.upstreams = 12;
	config.per_s = 240;
	config.busy_nodes = busy_nodes;
	limit_sim_start(&config);
	set_limits(2, 1.3);
	since = run_until_in_force();
	limit_sim_run(6 * DFF_SEC);
	for (int i = 0; i < 2; i++) {
		ck_assert_int_le(limit_sim_peak_of_all(i, since), allowed(1.3));
		ck_assert_double_ge(limit_sim_rate(i, since), USE_MIN * 1.3);
	}
}

START_TEST(limit_holds_at_195_nodes)
{
	check_large_fleet(195, 3, 0);
}
END_TEST

START_TEST(limit_is_used_by_one_of_73_nodes)
{
	check_large_fleet(73, 3, 1);
}
END_TEST

START_TEST(limit_holds_at_340_nodes)
{
	check_large_fleet(340, 5, 0);
}
END_TEST

/* ---- what the limit follows ---- */

/* Without a limit each upstream gets a sixth of the requests. */
static void
check_unlimited(int upstream, dff_time_t since)
{
	ck_assert_double_ge(
	    limit_sim_rate(upstream, since), fast_config.per_s / 6 / 2);
}

START_TEST(revoked_limit_ends)
{
	dff_time_t since;

	limit_sim_start(&fast_config);
	set_limits(1, 1.3);
	(void)run_until_in_force();
	set_limits(1, -1);
	limit_sim_run(3 * DFF_SEC);
	since = limit_sim_now();
	limit_sim_run(5 * DFF_SEC);
	check_unlimited(0, since);
}
END_TEST

START_TEST(limit_of_zero_can_be_revoked)
{
	dff_time_t since;

	limit_sim_start(&fast_config);
	set_limits(1, 0);
	since = run_until_in_force();
	limit_sim_run(20 * DFF_SEC);
	check_peaks(1, 0, since);
	ck_assert_double_gt(limit_sim_rate(0, since), 0);
	set_limits(1, -1);
	limit_sim_run(15 * DFF_SEC);
	since = limit_sim_now();
	limit_sim_run(5 * DFF_SEC);
	check_unlimited(0, since);
}
END_TEST

START_TEST(huge_limit_does_no_harm)
{
	dff_time_t since;

	limit_sim_start(&fast_config);
	set_limits(6, 1e6);
	since = run_until_in_force();
	limit_sim_run(5 * DFF_SEC);
	ck_assert_int_eq(limit_sim_counts(since).refused, 0);
	ck_assert_int_eq(limit_sim_counts(since).failed, 0);
	check_unlimited(0, since);
}
END_TEST

START_TEST(restarted_upstream_has_no_limit)
{
	dff_time_t since;

	limit_sim_start(&fast_config);
	set_limits(1, 0.5);
	(void)run_until_in_force();
	limit_sim_restart_upstream(0);
	since = limit_sim_now();
	limit_sim_run(5 * DFF_SEC);
	check_unlimited(0, since);
}
END_TEST

START_TEST(removed_upstream_with_limit_fails_no_request)
{
	limit_sim_start(&fast_config);
	set_limits(1, 1.3);
	(void)run_until_in_force();
	limit_sim_remove_upstream(0);
	limit_sim_run(5 * DFF_SEC);
	ck_assert_int_eq(limit_sim_counts(0).failed, 0);
	ck_assert_int_eq(limit_sim_counts(0).refused, 0);
}
END_TEST

/* A node that has received no answer of the upstream itself. */
START_TEST(restarted_node_learns_limit_from_peers)
{
	limit_sim_config_t config = fast_config;
	dff_time_t since;

	config.target = "/order/x";
	config.answer_time = 1500 * DFF_MSEC;
	limit_sim_start(&config);
	set_limits(1, 0.5);
	limit_sim_run(6 * DFF_SEC);
	limit_sim_set_load(0, 0);
	limit_sim_kill_node(0);
	limit_sim_run(3 * DFF_SEC);
	limit_sim_start_node(0);
	limit_sim_run(2 * DFF_SEC);
	since = limit_sim_now();
	limit_sim_set_load(60, 1);
	limit_sim_run(8 * DFF_SEC);
	ck_assert_int_le(limit_sim_peak_of_all(0, since), allowed(0.5));
}
END_TEST

/* ---- callers where all upstreams are limited ---- */

START_TEST(requests_within_the_limits_are_served)
{
	limit_sim_config_t config = fast_config;
	limit_sim_counts_t counts;
	dff_time_t since;

	config.per_s = 20;
	limit_sim_start(&config);
	set_limits(6, 5);
	since = run_until_in_force();
	limit_sim_run(20 * DFF_SEC);
	counts = limit_sim_counts(since);
	ck_assert_int_eq(counts.failed, 0);
	ck_assert_int_le(counts.refused, counts.requests / 50);
}
END_TEST

START_TEST(requests_beyond_all_limits_are_refused_at_once)
{
	limit_sim_counts_t counts;
	dff_time_t since;

	limit_sim_start(&fast_config);
	set_limits(6, 5);
	since = run_until_in_force();
	limit_sim_run(20 * DFF_SEC);
	counts = limit_sim_counts(since);
	ck_assert_int_eq(counts.failed, 0);
	ck_assert_int_le(counts.slowest_refusal, REFUSAL_TIME);
	ck_assert_int_ge(counts.shortest_retry, 100 * DFF_MSEC);
	ck_assert_int_ge(counts.served, (int)(USE_MIN * 6 * 5 * 20));
	check_peaks(6, 5, since);
}
END_TEST

/* A burst beyond the limits ends: callers that come back when told are
 * served. */
START_TEST(refused_callers_are_served_when_they_come_back)
{
	limit_sim_config_t config = fast_config;
	limit_sim_counts_t counts;
	dff_time_t since;

	config.per_s = 12;
	config.retries = true;
	limit_sim_start(&config);
	set_limits(6, 3);
	since = run_until_in_force();
	limit_sim_set_load(50, 0);
	limit_sim_run(700 * DFF_MSEC);
	limit_sim_set_load(5, 0);
	limit_sim_run(5 * DFF_SEC);
	counts = limit_sim_counts(since);
	ck_assert_int_gt(counts.returns, 3);
	ck_assert_int_le(counts.returns_refused, counts.returns / 2);
}
END_TEST

/* ---- one node ---- */

/* A reply of the coordinator at 10.0.0.2 to the permit request in a frame. */
static void
reply_to_request(relay_bench_t *bench, const dff_relay_effect_t *frame,
    bool granted, uint32_t wait_ms)
{
	Dff__RelayBeat *request =
	    dff__relay_beat__unpack(NULL, frame->frame.len, frame->frame.bytes);
	dff_relay_event_t event = {.type = DFF_RELAY_HEARTBEAT};
	uint8_t bytes[256];

	ck_assert_ptr_nonnull(request);
	ck_assert_uint_eq(request->n_permits, 1);
	request->permits[0]->reply = true;
	request->permits[0]->granted = granted;
	request->permits[0]->wait_ms = wait_ms;
	event.heartbeat.addr = "10.0.0.2:7000";
	event.heartbeat.bytes = bytes;
	event.heartbeat.len = dff__relay_beat__pack(request, bytes);
	dff__relay_beat__free_unpacked(request, NULL);
	relay_bench_step(bench, &event);
}

/* A node whose only plain upstream is limited and coordinated by a peer. */
static relay_bench_t *
new_limited_bench(void)
{
	relay_bench_t *bench = relay_bench_new();
	relay_bench_t *peer =
	    relay_bench_new_as("a2", "a", "10.0.0.2:7000", 100);
	const dff_upstream_notice_t notice = {
	    .rate = DFF_RATE_LIMITED, .rate_max = 0.5};
	dff_relay_event_t event = {.type = DFF_RELAY_NOTICE};
	const dff_relay_effect_t *fx;
	char id[DFF_NAME_MAX];

	relay_bench_load_routing(bench, 1);
	dff_relay_add_peer(peer->relay, "10.0.0.1:7000", "a", 100, peer->now);
	relay_bench_wait(peer, 500 * DFF_MSEC);
	fx = relay_bench_find(peer, DFF_RELAY_FX_FRAME);
	ck_assert_ptr_nonnull(fx);
	event.type = DFF_RELAY_HEARTBEAT;
	event.heartbeat.addr = "10.0.0.2:7000";
	event.heartbeat.bytes = fx->frame.bytes;
	event.heartbeat.len = fx->frame.len;
	relay_bench_step(bench, &event);
	relay_bench_drop(peer);
	/* Names until one is found that the peer coordinates. */
	for (int i = 0; i < 64; i++) {
		(void)g_snprintf(id, sizeof(id), "p%d", i);
		relay_bench_load_upstream(
		    bench, id, "plain", DFF_ROLE_MIXED, "a", 1);
		event.type = DFF_RELAY_NOTICE;
		event.notice.upstream = id;
		event.notice.notice = notice;
		relay_bench_step(bench, &event);
		(void)relay_bench_open(bench, "/order/x", 1);
		if (relay_bench_find(bench, DFF_RELAY_FX_FRAME) != NULL)
			return bench;
		event.type = DFF_RELAY_UPSTREAM;
		memset(&event.upstream, 0, sizeof(event.upstream));
		g_strlcpy(event.upstream.id, id, sizeof(event.upstream.id));
		event.upstream.removed = true;
		relay_bench_step(bench, &event);
	}
	ck_abort_msg("no upstream is coordinated by the peer");
	return NULL;
}

/* A node alone, which issues all permits itself, and its only upstream. */
static relay_bench_t *
new_bench_alone(void)
{
	relay_bench_t *bench = relay_bench_new();

	relay_bench_load_routing(bench, 1);
	relay_bench_load_upstream(bench, "p1", "plain", DFF_ROLE_MIXED, "a", 1);
	return bench;
}

static void
answer(relay_bench_t *bench, uint64_t send, dff_rate_notice_t rate,
    double rate_max)
{
	const dff_upstream_notice_t notice = {
	    .rate = rate, .rate_max = rate_max};

	relay_bench_head_notice(bench, send, 200, false, notice);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
}

static uint64_t
send_request(relay_bench_t *bench)
{
	(void)relay_bench_open(bench, "/order/x", bench->next_call);
	return relay_bench_send(bench);
}

/* An answer that overtook the one that names the limit, or was overtaken. */
START_TEST(answer_to_earlier_request_does_not_revoke_limit)
{
	relay_bench_t *bench = new_bench_alone();
	uint64_t earlier = send_request(bench);
	uint64_t naming = send_request(bench);

	relay_bench_wait(bench, 100 * DFF_MSEC);
	answer(bench, naming, DFF_RATE_LIMITED, 1);
	answer(bench, earlier, DFF_RATE_UNLIMITED, 0);
	ck_assert_uint_eq(send_request(bench), 0);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	relay_bench_wait(bench, 1100 * DFF_MSEC);
	earlier = send_request(bench);
	ck_assert_uint_ne(earlier, 0);
	answer(bench, earlier, DFF_RATE_UNLIMITED, 0);
	for (int i = 0; i < 5; i++)
		ck_assert_uint_ne(send_request(bench), 0);
	relay_bench_drop(bench);
}
END_TEST

START_TEST(answer_that_states_nothing_keeps_limit)
{
	relay_bench_t *bench = new_bench_alone();
	uint64_t send;

	answer(bench, send_request(bench), DFF_RATE_LIMITED, 1);
	relay_bench_wait(bench, 1100 * DFF_MSEC);
	send = send_request(bench);
	ck_assert_uint_ne(send, 0);
	answer(bench, send, DFF_RATE_UNSTATED, 0);
	ck_assert_uint_eq(send_request(bench), 0);
	relay_bench_drop(bench);
}
END_TEST

/* Memory of prompts is not freed and lists of cached parts are not asked for
 * beyond the limit. */
START_TEST(requests_without_a_caller_count)
{
	relay_bench_t *bench = new_bench_alone();
	dff_relay_event_t event = {.type = DFF_RELAY_NOTICE};
	uint64_t read;
	uint64_t call;

	relay_bench_load_upstream(bench, "f1", "llm", DFF_ROLE_PREFILL, "a", 1);
	relay_bench_load_upstream(bench, "d1", "llm", DFF_ROLE_DECODE, "a", 1);
	event.notice.upstream = "f1";
	event.notice.notice.rate = DFF_RATE_LIMITED;
	event.notice.notice.rate_max = 0.5;
	relay_bench_step(bench, &event);
	relay_bench_wait(bench, 500 * DFF_MSEC);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_CACHE_QUERY), 1);
	ck_assert_str_eq(relay_bench_find(bench, DFF_RELAY_FX_CACHE_QUERY)
			     ->cache_query.upstream,
	    "d1");
	/* The one permit of the next two seconds goes to the list. */
	relay_bench_wait(bench, 2500 * DFF_MSEC);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_CACHE_QUERY), 1);
	relay_bench_wait(bench, 2 * DFF_SEC);
	call = relay_bench_open_prompt(bench, "/talk/x", 7, 9000, 8, 900);
	read = relay_bench_send(bench);
	ck_assert_uint_ne(read, 0);
	relay_bench_head(bench, read, 200, false);
	relay_bench_end(bench, read, DFF_SEND_DONE, "h1");
	event.type = DFF_RELAY_CALLER_GONE;
	event.caller_gone = call;
	relay_bench_step(bench, &event);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_RELEASE), 0);
	relay_bench_drop(bench);
}
END_TEST

START_TEST(granted_permit_sends_the_waiting_request)
{
	relay_bench_t *bench = new_limited_bench();

	ck_assert_uint_eq(relay_bench_send(bench), 0);
	reply_to_request(
	    bench, relay_bench_find(bench, DFF_RELAY_FX_FRAME), true, 0);
	ck_assert_uint_ne(relay_bench_send(bench), 0);
	relay_bench_drop(bench);
}
END_TEST

START_TEST(denied_permit_refuses_the_waiting_request_at_once)
{
	relay_bench_t *bench = new_limited_bench();
	const dff_relay_effect_t *fx;

	reply_to_request(
	    bench, relay_bench_find(bench, DFF_RELAY_FX_FRAME), false, 1500);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	fx = relay_bench_find(bench, DFF_RELAY_FX_ANSWER);
	ck_assert_int_ge(fx->answer.retry_after, 1500 * DFF_MSEC);
	/* Until then others are refused without a question. */
	relay_bench_wait(bench, DFF_SEC);
	(void)relay_bench_open(bench, "/order/x", 2);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	relay_bench_drop(bench);
}
END_TEST

START_TEST(request_without_reply_is_refused_soon)
{
	relay_bench_t *bench = new_limited_bench();

	relay_bench_wait(bench, 110 * DFF_MSEC);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	relay_bench_drop(bench);
}
END_TEST

START_TEST(late_permit_is_not_used)
{
	relay_bench_t *bench = new_limited_bench();
	Dff__RelayBeat *request;
	dff_relay_effect_t frame = *relay_bench_find(bench, DFF_RELAY_FX_FRAME);
	uint8_t bytes[256];

	memcpy(bytes, frame.frame.bytes, frame.frame.len);
	frame.frame.bytes = bytes;
	request =
	    dff__relay_beat__unpack(NULL, frame.frame.len, frame.frame.bytes);
	ck_assert_uint_eq(request->n_permits, 1);
	dff__relay_beat__free_unpacked(request, NULL);
	relay_bench_wait(bench, 1100 * DFF_MSEC);
	reply_to_request(bench, &frame, true, 0);
	(void)relay_bench_open(bench, "/order/x", 2);
	ck_assert_uint_eq(relay_bench_send(bench), 0);
	relay_bench_drop(bench);
}
END_TEST

START_TEST(most_urgent_request_gets_the_permit)
{
	relay_bench_t *bench = new_limited_bench();
	dff_relay_event_t event = {.type = DFF_RELAY_ROUTING};
	dff_relay_effect_t frame = *relay_bench_find(bench, DFF_RELAY_FX_FRAME);
	uint8_t bytes[256];
	uint64_t urgent;

	memcpy(bytes, frame.frame.bytes, frame.frame.len);
	frame.frame.bytes = bytes;
	/* The request that waits already has the old routing's priority, 0. */
	event.routing = relay_bench_new_routing(2);
	for (guint i = 0; i < event.routing->routes->len; i++) {
		dff_route_t *route = event.routing->routes->pdata[i];

		route->priority = strcmp(route->prefix, "/read/") == 0 ? 3 : 7;
	}
	relay_bench_step(bench, &event);
	dff_routing_drop(event.routing);
	reply_to_request(bench, &frame, true, 0);
	(void)relay_bench_open(bench, "/order/x", 2);
	urgent = relay_bench_open(bench, "/read/x", 3);
	frame = *relay_bench_find(bench, DFF_RELAY_FX_FRAME);
	reply_to_request(bench, &frame, true, 0);
	ck_assert_uint_eq(
	    relay_bench_find(bench, DFF_RELAY_FX_SEND)->send.call, urgent);
	relay_bench_drop(bench);
}
END_TEST

START_TEST(request_whose_caller_left_takes_no_permit)
{
	relay_bench_t *bench = new_limited_bench();
	dff_relay_event_t gone = {.type = DFF_RELAY_CALLER_GONE};
	dff_relay_effect_t frame = *relay_bench_find(bench, DFF_RELAY_FX_FRAME);
	uint8_t bytes[256];

	memcpy(bytes, frame.frame.bytes, frame.frame.len);
	frame.frame.bytes = bytes;
	gone.caller_gone = bench->next_call;
	relay_bench_step(bench, &gone);
	reply_to_request(bench, &frame, true, 0);
	ck_assert_uint_eq(relay_bench_send(bench), 0);
	/* The next request uses it. */
	(void)relay_bench_open(bench, "/order/x", 2);
	ck_assert_uint_ne(relay_bench_send(bench), 0);
	relay_bench_drop(bench);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_limit");
	TCase *tcase = tcase_create("relay_limit");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, NULL, teardown);
	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, upstream_gets_no_more_than_its_limit);
	tcase_add_test(tcase, limit_holds_for_requests_that_run_once);
	tcase_add_test(tcase, limits_hold_where_all_upstreams_have_one);
	tcase_add_test(tcase, limit_that_falls_holds);
	tcase_add_test(tcase, limits_hold_for_all_stages_of_generations);
	tcase_add_test(tcase, limit_is_used_by_many_nodes);
	tcase_add_test(tcase, limit_is_used_by_one_node_with_all_requests);
	tcase_add_test(tcase, limit_that_rises_is_used);
	tcase_add_test(tcase, other_upstreams_take_the_requests);
	tcase_add_test(tcase, request_that_waits_for_a_permit_keeps_its_budget);
	tcase_add_test(tcase, generations_move_to_other_engines);
	tcase_add_test(tcase, limit_holds_while_nodes_restart);
	tcase_add_test(tcase, limit_holds_while_nodes_freeze);
	tcase_add_test(tcase, limit_holds_while_nodes_are_cut_off);
	tcase_add_test(tcase, limit_holds_in_a_partitioned_fleet);
	tcase_add_test(tcase, limit_holds_where_frames_are_lost);
	tcase_add_test(tcase, limit_holds_when_all_nodes_restart);
	tcase_add_test(tcase, limit_holds_while_nodes_do_not_know_each_other);
	tcase_add_test(tcase, lost_coordinator_delays_requests_briefly);
	tcase_add_test(tcase, limit_holds_at_195_nodes);
	tcase_add_test(tcase, limit_is_used_by_one_of_73_nodes);
	tcase_add_test(tcase, limit_holds_at_340_nodes);
	tcase_add_test(tcase, revoked_limit_ends);
	tcase_add_test(tcase, limit_of_zero_can_be_revoked);
	tcase_add_test(tcase, huge_limit_does_no_harm);
	tcase_add_test(tcase, restarted_upstream_has_no_limit);
	tcase_add_test(tcase, removed_upstream_with_limit_fails_no_request);
	tcase_add_test(tcase, restarted_node_learns_limit_from_peers);
	tcase_add_test(tcase, requests_within_the_limits_are_served);
	tcase_add_test(tcase, requests_beyond_all_limits_are_refused_at_once);
	tcase_add_test(tcase, refused_callers_are_served_when_they_come_back);
	tcase_add_test(tcase, answer_to_earlier_request_does_not_revoke_limit);
	tcase_add_test(tcase, answer_that_states_nothing_keeps_limit);
	tcase_add_test(tcase, requests_without_a_caller_count);
	tcase_add_test(tcase, granted_permit_sends_the_waiting_request);
	tcase_add_test(
	    tcase, denied_permit_refuses_the_waiting_request_at_once);
	tcase_add_test(tcase, request_without_reply_is_refused_soon);
	tcase_add_test(tcase, late_permit_is_not_used);
	tcase_add_test(tcase, most_urgent_request_gets_the_permit);
	tcase_add_test(tcase, request_whose_caller_left_takes_no_permit);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
