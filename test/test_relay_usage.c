/*
 * Requests counted by organisation and window, and the reports of the holder of
 * the duty.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/organisation.h"
#include "fake/relay_net.h"

#define WINDOW (5 * DFF_SEC)
#define LATE   (10 * DFF_SEC)
/* Milliseconds since 1970 at the nodes' time 0: the beginning of a window. */
#define EPOCH_MS UINT64_C(1767265200000)

static relay_net_t net;
static uint64_t stored_end;
static uint64_t era;

/* What the platform got, by window: dff_usage_report_t with own rows. */
typedef struct sent {
	uint64_t window;
	uint64_t token;
	uint32_t big;
	uint32_t small;
} sent_t;

static GArray *sent;
static GArray *stored; /* sent_t */
static bool cloud_is_silent;
static bool next_keep_is_lost;

static const dff_duty_config_t duty_config = {
    .names = {DFF_DUTY_USAGE}, .count = 1, .lease_time = 3 * DFF_SEC};
static const dff_usage_config_t usage_config = {WINDOW, LATE};

/* The log of duties, which one node writes to. */
static uint64_t duty_end;
static dff_duty_record_t duty_log[512];

static void
load_routing(relay_bench_t *bench)
{
	dff_relay_event_t event = {.type = DFF_RELAY_ROUTING};
	const dff_organisation_t big = {.name = "big"};
	const dff_organisation_t small = {.name = "small"};

	event.routing = relay_bench_new_routing(1);
	event.routing->organisations = dff_organisations_new();
	dff_organisations_add_key(event.routing->organisations,
	    dff_organisations_add(event.routing->organisations, &big), "kb");
	dff_organisations_add_key(event.routing->organisations,
	    dff_organisations_add(event.routing->organisations, &small), "ks");
	relay_bench_step(bench, &event);
	dff_routing_drop(event.routing);
}

static void
set_wall(int node, int64_t off_ms)
{
	relay_bench_t *bench = net.nodes[node];

	dff_relay_set_wall(bench->relay,
	    EPOCH_MS + (uint64_t)(bench->now / DFF_MSEC + off_ms), bench->now);
}

/* Nodes of one domain that know each other and the true time. */
static void
start(int nodes)
{
	sent = g_array_new(FALSE, TRUE, sizeof(sent_t));
	stored = g_array_new(FALSE, TRUE, sizeof(sent_t));
	stored_end = 0;
	duty_end = 0;
	era = 0;
	cloud_is_silent = false;
	next_keep_is_lost = false;
	for (int i = 1; i <= nodes; i++)
		relay_net_add(&net, "a", i, i == 1 ? 200 : 10);
	relay_net_add_all_peers(&net);
	for (int i = 0; i < nodes; i++) {
		relay_bench_t *bench = net.nodes[i];

		load_routing(bench);
		relay_bench_load_upstream(
		    bench, "p1", "plain", DFF_ROLE_MIXED, "a", 1);
		relay_bench_load_upstream(
		    bench, "e1", "llm", DFF_ROLE_MIXED, "a", 1);
		set_wall(i, 0);
	}
}

static void
enable(int node)
{
	relay_bench_t *bench = net.nodes[node];

	dff_relay_set_duties(
	    bench->relay, &duty_config, &usage_config, bench->now);
}

/* Two domains of seven nodes, whose frames stay within their domain. */
static void
start_large(void)
{
	start(0);
	for (int i = 0; i < 14; i++)
		relay_net_add(
		    &net, i < 7 ? "a" : "b", 1 + i % 7, i % 7 == 0 ? 200 : 10);
	relay_net_add_all_peers(&net);
	for (int i = 0; i < 14; i++) {
		load_routing(net.nodes[i]);
		relay_bench_load_upstream(net.nodes[i], "p1", "plain",
		    DFF_ROLE_MIXED, i < 7 ? "a" : "b", 1);
		set_wall(i, 0);
		enable(i);
	}
}

static void
teardown(void)
{
	relay_net_drop(&net);
	g_clear_pointer(&sent, g_array_unref);
	g_clear_pointer(&stored, g_array_unref);
}

/* ---- the world of the holder ---- */

/* Position in the present era, as of reports. */
static uint64_t
log_position(uint64_t offset)
{
	return era << DFF_POSITION_OFFSET_BITS | offset;
}

static void
answer_log(relay_bench_t *bench, const dff_duty_request_t *request)
{
	dff_relay_event_t event = {.type = DFF_RELAY_DUTY_READ};

	if (!request->append) {
		/* A read from a position of another era reads all. */
		uint64_t offset = dff_position_era(request->position) == era ?
		    request->position - log_position(0) :
		    0;

		event.duty_read.answered = true;
		event.duty_read.end = log_position(duty_end);
		event.duty_read.records = duty_log + offset;
		event.duty_read.count = duty_end - offset;
	} else {
		event.type = DFF_RELAY_DUTY_APPENDED;
		event.duty_appended.result = DFF_DUTY_REJECTED;
		if (request->position == log_position(duty_end)) {
			duty_log[duty_end] = request->record;
			duty_log[duty_end].position = request->position;
			event.duty_appended.result = DFF_DUTY_ACCEPTED;
			event.duty_appended.position = request->position;
			duty_end++;
		}
	}
	relay_bench_step(bench, &event);
}

static sent_t
read_report(const dff_usage_report_t *report, uint64_t token)
{
	sent_t row = {.window = report->window, .token = token};

	for (size_t i = 0; i < report->count; i++) {
		if (strcmp(report->rows[i].organisation, "big") == 0)
			row.big = report->rows[i].count;
		if (strcmp(report->rows[i].organisation, "small") == 0)
			row.small = report->rows[i].count;
	}
	return row;
}

static void
answer_keep(relay_bench_t *bench, const dff_usage_call_t *call)
{
	dff_relay_event_t event = {.type = DFF_RELAY_USAGE};
	sent_t row = read_report(&call->report, 0);

	event.usage.type = DFF_USAGE_KEEP;
	event.usage.window = call->report.window;
	event.usage.kept.result = DFF_DUTY_REJECTED;
	if (call->position == (era << DFF_POSITION_OFFSET_BITS | stored_end)) {
		event.usage.kept.result =
		    next_keep_is_lost ? DFF_DUTY_UNKNOWN : DFF_DUTY_ACCEPTED;
		event.usage.kept.position =
		    era << DFF_POSITION_OFFSET_BITS | stored_end++;
		g_array_append_val(stored, row);
	}
	next_keep_is_lost = false;
	relay_bench_step(bench, &event);
}

static void
answer_list(relay_bench_t *bench)
{
	dff_relay_event_t event = {.type = DFF_RELAY_USAGE};
	dff_usage_report_t reports[64];
	dff_usage_row_t rows[64][2];

	for (guint i = 0; i < stored->len; i++) {
		const sent_t *row = &g_array_index(stored, sent_t, i);

		rows[i][0] = (dff_usage_row_t){"big", row->big};
		rows[i][1] = (dff_usage_row_t){"small", row->small};
		reports[i] = (dff_usage_report_t){.era = era,
		    .window = row->window,
		    .rows = rows[i],
		    .count = 2};
	}
	event.usage.type = DFF_USAGE_LIST;
	event.usage.answered = true;
	event.usage.end = era << DFF_POSITION_OFFSET_BITS | stored_end;
	event.usage.reports = reports;
	event.usage.count = stored->len;
	relay_bench_step(bench, &event);
}

static void
answer_send(relay_bench_t *bench, const dff_usage_call_t *call)
{
	dff_relay_event_t event = {.type = DFF_RELAY_USAGE};
	sent_t row = read_report(&call->report, call->token);

	g_array_append_val(sent, row);
	event.usage.type = DFF_USAGE_SEND;
	event.usage.window = call->report.window;
	event.usage.sent =
	    cloud_is_silent ? DFF_USAGE_UNANSWERED : DFF_USAGE_ACCEPTED;
	relay_bench_step(bench, &event);
}

static void
answer_ask(relay_bench_t *bench, const dff_usage_call_t *call)
{
	dff_relay_event_t event = {.type = DFF_RELAY_USAGE};
	GArray *counts = NULL;
	int asked = -1;

	for (int i = 0; i < net.count; i++) {
		const char *colon = strchr(net.nodes[i]->frame_addr, ':');

		if (strncmp(net.nodes[i]->frame_addr, call->addr,
			(size_t)(colon - net.nodes[i]->frame_addr)) == 0)
			asked = i;
	}
	event.usage.type = DFF_USAGE_ASK;
	event.usage.addr = call->addr;
	event.usage.window = call->report.window;
	if (asked >= 0 && !net.isolated[asked]) {
		counts = dff_relay_usage(
		    net.nodes[asked]->relay, call->report.window);
		event.usage.answered = true;
		event.usage.counts =
		    (const dff_usage_count_t *)(void *)counts->data;
		event.usage.count = counts->len;
	}
	relay_bench_step(bench, &event);
	g_clear_pointer(&counts, g_array_unref);
}

static void
answer_usage(relay_bench_t *bench, const dff_usage_call_t *call)
{
	switch (call->type) {
	case DFF_USAGE_ASK:
		answer_ask(bench, call);
		break;
	case DFF_USAGE_LIST:
		answer_list(bench);
		break;
	case DFF_USAGE_KEEP:
		answer_keep(bench, call);
		break;
	case DFF_USAGE_SEND:
		answer_send(bench, call);
		break;
	}
}

/* Delivers a node's frames and answers its calls, and those that follow. */
static void
serve(int node)
{
	relay_bench_t *bench = net.nodes[node];
	GArray *fx = g_array_copy(bench->fx);

	relay_net_deliver(&net, node);
	for (guint i = 0; i < fx->len; i++) {
		const dff_relay_effect_t *effect =
		    &g_array_index(fx, dff_relay_effect_t, i);

		if (effect->type == DFF_RELAY_FX_DUTY_LOG)
			answer_log(bench, &effect->duty_request);
		else if (effect->type == DFF_RELAY_FX_USAGE)
			answer_usage(bench, &effect->usage);
		else
			continue;
		serve(node);
	}
	g_array_unref(fx);
}

static void
advance(dff_time_t time)
{
	const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};

	for (dff_time_t t = 0; t < time; t += 50 * DFF_MSEC) {
		for (int i = 0; i < net.count; i++) {
			net.nodes[i]->now += 50 * DFF_MSEC;
			if (net.isolated[i] ||
			    dff_relay_wake(net.nodes[i]->relay) >
				net.nodes[i]->now)
				continue;
			relay_bench_step(net.nodes[i], &wake);
			serve(i);
		}
	}
}

/* Opens a request of an organisation; returns its send. */
static uint64_t
open_request(int node, const char *key, const char *target, uint32_t parts)
{
	static uint64_t content = 1000;
	relay_bench_t *bench = net.nodes[node];
	dff_relay_event_t event = {.type = DFF_RELAY_OPEN};
	uint64_t send;

	event.open.prompt = (dff_prompt_t){
	    .parts = {{1, 100}, {2, 50}}, .count = parts, .tokens = 75 * parts};
	event.open.call = ++bench->next_call;
	event.open.id = "x";
	event.open.host = "h";
	event.open.target = target;
	event.open.content_hash = ++content;
	event.open.timeout = 2 * DFF_SEC;
	event.open.after_event = -1;
	event.open.resumes = "";
	event.open.credential = key;
	event.open.organisation = "";
	relay_bench_step(bench, &event);
	send = relay_bench_send(bench);
	ck_assert_uint_ne(send, 0);
	return send;
}

/* A plain request that is answered at once. */
static void
request(int node, const char *key, int status)
{
	uint64_t send = open_request(node, key, "/read/1", 0);

	relay_bench_head(net.nodes[node], send, status, false);
	relay_bench_end(net.nodes[node], send, DFF_SEND_DONE, NULL);
}

static uint64_t
window_now(void)
{
	return (EPOCH_MS * DFF_MSEC + (uint64_t)net.nodes[0]->now) / WINDOW;
}

static uint32_t
count_at(int node, uint64_t window)
{
	GArray *rows = dff_relay_usage(net.nodes[node]->relay, window);
	uint32_t sum = 0;

	for (guint i = 0; i < rows->len; i++)
		sum += g_array_index(rows, dff_usage_count_t, i).count;
	g_array_unref(rows);
	return sum;
}

static const sent_t *
find_sent(uint64_t window)
{
	for (guint i = 0; i < sent->len; i++) {
		if (g_array_index(sent, sent_t, i).window == window)
			return &g_array_index(sent, sent_t, i);
	}
	return NULL;
}

/* ---- counting ---- */

START_TEST(request_counts_once_in_the_window_of_its_begin)
{
	uint64_t window;

	start(3);
	enable(0);
	advance(DFF_SEC);
	window = window_now();
	request(0, "kb", 200);
	request(0, "kb", 500);
	ck_assert_uint_eq(count_at(0, window), 2);
	advance(5 * DFF_SEC);
	request(0, "kb", 200);
	ck_assert_uint_eq(count_at(0, window), 2);
	ck_assert_uint_eq(count_at(0, window + 1), 1);
}
END_TEST

START_TEST(stream_counts_with_its_first_token)
{
	uint64_t window;
	uint64_t send;

	start(1);
	enable(0);
	advance(WINDOW - 200 * DFF_MSEC);
	window = window_now();
	send = open_request(0, "kb", "/talk/1", 2);
	relay_bench_head(net.nodes[0], send, 200, false);
	ck_assert_uint_eq(count_at(0, window), 0);
	advance(400 * DFF_MSEC);
	relay_bench_data(net.nodes[0], send, "id: 1\ndata: a\n\n");
	relay_bench_data(net.nodes[0], send, "id: 2\ndata: b\n\n");
	ck_assert_uint_eq(count_at(0, window), 0);
	ck_assert_uint_eq(count_at(0, window + 1), 1);
	send = open_request(0, "kb", "/read/1", 0);
	relay_bench_head(net.nodes[0], send, 503, true);
	ck_assert_uint_eq(count_at(0, window + 1), 1);
}
END_TEST

START_TEST(peers_have_the_counts_of_a_killed_node)
{
	uint64_t window;

	start(3);
	for (int i = 0; i < 3; i++)
		enable(i);
	advance(DFF_SEC);
	window = window_now();
	request(1, "ks", 200);
	request(1, "kb", 200);
	request(1, "kb", 200);
	advance(300 * DFF_MSEC);
	net.isolated[1] = true;
	ck_assert_uint_eq(count_at(0, window), 3);
	ck_assert_uint_eq(count_at(2, window), 3);
}
END_TEST

/* Mean size of the frames that a node sends within a time. */
static double
frame_size(int node, dff_time_t time)
{
	uint64_t frames = net.frames_sent[node];
	uint64_t bytes = net.bytes_sent[node];

	advance(time);
	ck_assert_uint_gt(net.frames_sent[node], frames);
	return (double)(net.bytes_sent[node] - bytes) /
	    (double)(net.frames_sent[node] - frames);
}

START_TEST(count_is_sent_in_a_few_frames)
{
	double before;
	double with;

	start(3);
	for (int i = 0; i < 3; i++)
		enable(i);
	advance(3 * DFF_SEC);
	before = frame_size(1, 300 * DFF_MSEC);
	request(1, "ks", 200);
	with = frame_size(1, 300 * DFF_MSEC);
	ck_assert_double_gt(with, before + 5);
	advance(500 * DFF_MSEC);
	ck_assert_double_lt(frame_size(1, 300 * DFF_MSEC), before + 5);
}
END_TEST

START_TEST(counts_heard_again_are_not_added)
{
	uint64_t window;

	start(2);
	enable(0);
	enable(1);
	advance(DFF_SEC);
	window = window_now();
	request(1, "kb", 200);
	advance(2 * DFF_SEC);
	ck_assert_uint_eq(count_at(0, window), 1);
}
END_TEST

START_TEST(window_is_that_of_the_median_clock)
{
	uint64_t window;

	start(5);
	for (int i = 0; i < 5; i++)
		enable(i);
	set_wall(0, 6000);
	set_wall(1, -6000);
	advance(DFF_SEC);
	window = window_now();
	request(0, "kb", 200);
	request(1, "kb", 200);
	advance(500 * DFF_MSEC);
	ck_assert_uint_eq(count_at(2, window), 2);
	/* A clock jumps. */
	set_wall(2, 5500);
	advance(300 * DFF_MSEC);
	request(2, "kb", 200);
	ck_assert_uint_eq(count_at(2, window), 3);
}
END_TEST

START_TEST(nothing_is_counted_or_sent_without_a_duty)
{
	start(3);
	advance(DFF_SEC);
	request(0, "kb", 200);
	ck_assert_uint_eq(count_at(0, window_now()), 0);
	advance(20 * DFF_SEC);
	ck_assert_uint_eq(sent->len, 0);
	ck_assert_uint_eq(duty_end, 0);
}
END_TEST

/* ---- reports ---- */

/* A node becomes the holder; returns the window that has just begun. */
static uint64_t
gain(void)
{
	guint before = sent->len;

	for (int i = 0; i < 400 && sent->len == before; i++)
		advance(50 * DFF_MSEC);
	ck_assert_uint_gt(sent->len, before);
	while ((net.nodes[0]->now + 100 * DFF_MSEC) % WINDOW > 200 * DFF_MSEC)
		advance(50 * DFF_MSEC);
	advance(300 * DFF_MSEC);
	return window_now();
}

START_TEST(holder_reports_each_window_in_time)
{
	uint64_t window;
	const sent_t *report;

	start(3);
	for (int i = 0; i < 3; i++)
		enable(i);
	window = gain();
	request(0, "kb", 200);
	request(1, "kb", 200);
	request(2, "ks", 200);
	advance(WINDOW + 3 * DFF_SEC);
	report = find_sent(window);
	ck_assert_ptr_nonnull(report);
	ck_assert_uint_eq(report->big, 2);
	ck_assert_uint_eq(report->small, 1);
	ck_assert_uint_eq(report->token, 1);
	advance(10 * WINDOW);
	for (uint64_t k = window; k < window + 9; k++)
		ck_assert_ptr_nonnull(find_sent(k));
}
END_TEST

START_TEST(nodes_of_other_domains_are_asked)
{
	uint64_t window;
	const sent_t *report;

	start_large();
	window = gain();
	request(5, "kb", 200);
	request(12, "kb", 200);
	request(9, "ks", 200);
	advance(WINDOW + 2 * DFF_SEC);
	report = find_sent(window);
	ck_assert_ptr_nonnull(report);
	ck_assert_uint_eq(report->big, 2);
	ck_assert_uint_eq(report->small, 1);
}
END_TEST

START_TEST(nodes_are_asked_also_by_a_holder_that_froze)
{
	uint64_t window;
	const sent_t *report;

	start_large();
	window = gain();
	request(5, "kb", 200);
	request(12, "kb", 200);
	advance(WINDOW - DFF_SEC);
	net.isolated[0] = true;
	advance(6 * DFF_SEC);
	net.isolated[0] = false;
	advance(3 * DFF_SEC);
	report = find_sent(window);
	ck_assert_ptr_nonnull(report);
	ck_assert_uint_eq(report->big, 2);
}
END_TEST

START_TEST(report_without_an_answer_is_repeated_exactly)
{
	uint64_t window;
	guint times = 0;

	start(2);
	enable(0);
	enable(1);
	window = gain();
	request(0, "kb", 200);
	cloud_is_silent = true;
	advance(WINDOW + 2 * DFF_SEC);
	/* Later counts change nothing. */
	request(1, "kb", 200);
	advance(3 * DFF_SEC);
	for (guint i = 0; i < sent->len; i++) {
		const sent_t *row = &g_array_index(sent, sent_t, i);

		if (row->window != window)
			continue;
		times++;
		ck_assert_uint_eq(row->big, 1);
	}
	ck_assert_uint_ge(times, 3);
}
END_TEST

START_TEST(successor_repeats_what_is_stored)
{
	uint64_t window;
	const sent_t *last;

	start(3);
	for (int i = 0; i < 3; i++)
		enable(i);
	window = gain();
	request(0, "kb", 200);
	request(2, "kb", 200);
	advance(WINDOW + 1700 * DFF_MSEC);
	ck_assert_ptr_nonnull(find_sent(window));
	net.isolated[0] = true;
	/* It would count more now. */
	{
		dff_relay_event_t event = {.type = DFF_RELAY_USAGE};
		const dff_usage_count_t more = {99, 7, 50};

		event.usage.type = DFF_USAGE_ASK;
		event.usage.addr = "";
		event.usage.answered = true;
		event.usage.window = window;
		event.usage.counts = &more;
		event.usage.count = 1;
		relay_bench_step(net.nodes[1], &event);
	}
	g_array_set_size(sent, 0);
	(void)gain();
	last = find_sent(window);
	ck_assert(last == NULL || last->big == 2);
	ck_assert_ptr_nonnull(find_sent(window + 1));
	ck_assert_uint_gt(find_sent(window + 1)->token, 1);
}
END_TEST

START_TEST(report_whose_storing_got_no_answer_is_read_back)
{
	uint64_t window;

	start(2);
	enable(0);
	enable(1);
	window = gain();
	request(0, "kb", 200);
	next_keep_is_lost = true;
	advance(WINDOW + 4 * DFF_SEC);
	ck_assert_ptr_nonnull(find_sent(window));
	for (guint i = 0; i < stored->len; i++) {
		for (guint k = 0; k < i; k++)
			ck_assert_uint_ne(
			    g_array_index(stored, sent_t, i).window,
			    g_array_index(stored, sent_t, k).window);
	}
}
END_TEST

START_TEST(windows_whose_reports_an_older_copy_may_lack_are_left_out)
{
	uint64_t first;

	start(2);
	enable(0);
	enable(1);
	era = 1;
	first = window_now();
	(void)gain();
	for (guint i = 0; i < sent->len; i++)
		ck_assert_uint_gt(g_array_index(sent, sent_t, i).window, first);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_usage");
	TCase *tcase = tcase_create("relay_usage");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, NULL, teardown);
	tcase_add_test(tcase, request_counts_once_in_the_window_of_its_begin);
	tcase_add_test(tcase, stream_counts_with_its_first_token);
	tcase_add_test(tcase, peers_have_the_counts_of_a_killed_node);
	tcase_add_test(tcase, count_is_sent_in_a_few_frames);
	tcase_add_test(tcase, counts_heard_again_are_not_added);
	tcase_add_test(tcase, window_is_that_of_the_median_clock);
	tcase_add_test(tcase, nothing_is_counted_or_sent_without_a_duty);
	tcase_add_test(tcase, holder_reports_each_window_in_time);
	tcase_add_test(tcase, nodes_of_other_domains_are_asked);
	tcase_add_test(tcase, nodes_are_asked_also_by_a_holder_that_froze);
	tcase_add_test(tcase, report_without_an_answer_is_repeated_exactly);
	tcase_add_test(tcase, successor_repeats_what_is_stored);
	tcase_add_test(tcase, report_whose_storing_got_no_answer_is_read_back);
	tcase_add_test(
	    tcase, windows_whose_reports_an_older_copy_may_lack_are_left_out);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
