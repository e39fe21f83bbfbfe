/*
 * The log lines with which docs/OPERATIONS.md traces an id to a cause: the
 * relay writes each line shown there, with all of its fields.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_bench.h"

static GPtrArray *lines; /* "part=P: text" */

static void
store_line(void *arg, dff_level_t level, const char *part, const char *text)
{
	(void)arg;
	(void)level;
	g_ptr_array_add(lines, g_strdup_printf("part=%s: %s", part, text));
}

/* Report the crash of an upstream whose run broke off. */
/* Deliver a peer's frame with a crash of another upstream under the same
 * request. */
static void
deliver_crash_of_peer(relay_bench_t *bench)
{
	relay_bench_t *peer =
	    relay_bench_new_as("a2", "a", "10.0.0.2:7000", 100);
	dff_relay_event_t event = {.type = DFF_RELAY_HEARTBEAT};
	const dff_relay_effect_t *fx;

	dff_relay_add_peer(peer->relay, "10.0.0.1:7000", "a", 100, peer->now);
	relay_bench_load_routing(peer, 1);
	relay_bench_load_upstream(peer, "p2", "plain", DFF_ROLE_MIXED, "a", 1);
	(void)relay_bench_open(peer, "/order/x", 2);
	relay_bench_end(peer, relay_bench_send(peer), DFF_SEND_BROKEN, NULL);
	relay_bench_refuse_probe(peer);
	relay_bench_wait(peer, 500 * DFF_MSEC);
	fx = relay_bench_find(peer, DFF_RELAY_FX_FRAME);
	ck_assert_ptr_nonnull(fx);
	event.heartbeat.addr = "10.0.0.2:7000";
	event.heartbeat.bytes = fx->frame.bytes;
	event.heartbeat.len = fx->frame.len;
	relay_bench_step(bench, &event);
	relay_bench_drop(peer);
}

/* An upstream names a rate limit in its answer; the next request finds no
 * permit. */
static void
exceed_rate_limit(void)
{
	const dff_upstream_notice_t notice = {
	    .rate = DFF_RATE_LIMITED, .rate_max = 1.4};
	relay_bench_t *bench = relay_bench_new();
	uint64_t send;

	dff_ctx_drop(bench->ctx);
	bench->ctx = dff_ctx_new(1, DFF_LOG_DEBUG, store_line, NULL);
	relay_bench_load_routing(bench, 1);
	relay_bench_load_upstream(bench, "p1", "plain", DFF_ROLE_MIXED, "a", 1);
	(void)relay_bench_open(bench, "/read/x", 3);
	send = relay_bench_send(bench);
	relay_bench_head_notice(bench, send, 200, false, notice);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	(void)relay_bench_open(bench, "/read/x", 4);
	relay_bench_drop(bench);
}

/* Requests with one part in common crash three upstreams. */
static void
crash_by_part(void)
{
	static const char *const ids[] = {"d1", "d2", "d3"};
	relay_bench_t *bench = relay_bench_new();

	dff_ctx_drop(bench->ctx);
	bench->ctx = dff_ctx_new(1, DFF_LOG_DEBUG, store_line, NULL);
	relay_bench_load_routing(bench, 1);
	for (guint i = 0; i < G_N_ELEMENTS(ids); i++)
		relay_bench_load_upstream(
		    bench, ids[i], "llm", DFF_ROLE_DECODE, "a", 1);
	for (uint64_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		const dff_relay_effect_t *fx;
		char id[DFF_NAME_MAX];

		(void)relay_bench_open_prompt(
		    bench, "/talk/x", 7, 100, 200 + i, 100);
		fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
		ck_assert_ptr_nonnull(fx);
		g_strlcpy(id, fx->send.upstream, sizeof(id));
		relay_bench_end(bench, fx->send.send, DFF_SEND_BROKEN, NULL);
		relay_bench_refuse_probe(bench);
	}
	(void)relay_bench_open_prompt(bench, "/talk/x", 7, 100, 300, 100);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	relay_bench_drop(bench);
}

/* No upstream accepts a connection, and later all do. */
static void
cut_off(void)
{
	relay_bench_t *bench = relay_bench_new();

	dff_ctx_drop(bench->ctx);
	bench->ctx = dff_ctx_new(1, DFF_LOG_DEBUG, store_line, NULL);
	relay_bench_load_routing(bench, 1);
	relay_bench_load_upstream(bench, "p1", "plain", DFF_ROLE_MIXED, "a", 1);
	relay_bench_load_upstream(bench, "p2", "plain", DFF_ROLE_MIXED, "a", 1);
	(void)relay_bench_open(bench, "/read/x", 5);
	relay_bench_end(bench, relay_bench_send(bench), DFF_SEND_UNSENT, NULL);
	relay_bench_end_probes(bench, DFF_PROBE_REFUSED, DFF_PROBE_REFUSED);
	relay_bench_wait(bench, DFF_SEC);
	relay_bench_end_probes(bench, DFF_PROBE_ACCEPTED, DFF_PROBE_ACCEPTED);
	relay_bench_drop(bench);
}

/* Requests of one organisation, of which the pool has room for a few. Some
 * callers leave, and further requests come. */
static void
exceed_share(void)
{
	relay_bench_t *bench = relay_bench_new();
	dff_organisation_t organisation = {.name = "o"};
	dff_relay_event_t event = {.type = DFF_RELAY_ROUTING};

	dff_ctx_drop(bench->ctx);
	bench->ctx = dff_ctx_new(1, DFF_LOG_DEBUG, store_line, NULL);
	event.routing = relay_bench_new_routing(1);
	event.routing->organisations = dff_organisations_new();
	dff_organisations_add_key(event.routing->organisations,
	    dff_organisations_add(event.routing->organisations, &organisation),
	    "key");
	relay_bench_step(bench, &event);
	dff_routing_drop(event.routing);
	relay_bench_load_upstream(bench, "m1", "llm", DFF_ROLE_MIXED, "a", 1);
	event = (dff_relay_event_t){.type = DFF_RELAY_OPEN};
	event.open.id = "id";
	event.open.host = "h";
	event.open.target = "/talk/x";
	event.open.timeout = 3 * DFF_SEC;
	event.open.after_event = -1;
	event.open.resumes = "";
	event.open.credential = "key";
	event.open.organisation = "";
	event.open.prompt =
	    (dff_prompt_t){.parts = {{1, 3000}}, .count = 1, .tokens = 3000};
	for (uint64_t i = 1; i <= 60; i++) {
		const dff_relay_event_t gone = {
		    .type = DFF_RELAY_CALLER_GONE, .caller_gone = 1};

		event.open.call = i;
		event.open.content_hash = 1000 + i;
		event.open.prompt.parts[0].id = 1000 + i;
		relay_bench_step(bench, &event);
		if (i != 40)
			continue;
		relay_bench_wait(bench, 300 * DFF_MSEC);
		relay_bench_step(bench, &gone);
	}
	relay_bench_drop(bench);
}

/* Run the kinds of failed requests that the page describes. */
static void
run_failed_requests(void)
{
	relay_bench_t *bench = relay_bench_new();
	uint64_t send;

	dff_ctx_drop(bench->ctx);
	bench->ctx = dff_ctx_new(1, DFF_LOG_DEBUG, store_line, NULL);
	(void)relay_bench_open(bench, "/order/x", 1);
	relay_bench_load_routing(bench, 1);
	relay_bench_load_upstream(bench, "p1", "plain", DFF_ROLE_MIXED, "a", 1);
	relay_bench_load_upstream(bench, "d1", "llm", DFF_ROLE_DECODE, "a", 1);
	(void)relay_bench_open(bench, "/order/x", 2);
	send = relay_bench_send(bench);
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	relay_bench_refuse_probe(bench);
	deliver_crash_of_peer(bench);
	for (uint64_t i = 0; i < 50 && relay_bench_answer(bench) != 503; i++)
		(void)relay_bench_open_prompt(
		    bench, "/talk/x", 1, 5000, 100 + i, 2000);
	(void)relay_bench_open(bench, "/order/x", 2);
	relay_bench_drop(bench);
	exceed_rate_limit();
	cut_off();
	crash_by_part();
	exceed_share();
}

/* Whether a line has the part, the words and the fields of the one shown. */
static bool
matches(const char *line, const char *shown)
{
	char **words = g_strsplit(shown, " ", -1);
	bool same = true;

	for (size_t i = 0; words[i] != NULL && same; i++) {
		char *equals = strchr(words[i], '=');

		if (i == 0 || equals == NULL) {
			same = strstr(line, words[i]) != NULL;
			continue;
		}
		equals[1] = '\0';
		same = strstr(line, words[i]) != NULL;
	}
	g_strfreev(words);
	return same;
}

START_TEST(log_lines_in_operations_page_are_written)
{
	char *page = NULL;
	char **shown;
	int checked = 0;

	lines = g_ptr_array_new_with_free_func(g_free);
	run_failed_requests();
	ck_assert(g_file_get_contents("docs/OPERATIONS.md", &page, NULL, NULL));
	shown = g_strsplit(page, "\n", -1);
	for (size_t i = 0; shown[i] != NULL; i++) {
		bool found = false;

		if (!g_str_has_prefix(shown[i], "    part="))
			continue;
		for (guint k = 0; k < lines->len && !found; k++)
			found = matches(lines->pdata[k], shown[i] + 4);
		ck_assert_msg(found, "%s", shown[i]);
		checked++;
	}
	ck_assert_int_ge(checked, 4);
	g_strfreev(shown);
	g_free(page);
	g_ptr_array_unref(lines);
}
END_TEST

START_TEST(causes_in_operations_page_are_logged)
{
	static const char *const causes[] = {"why=queue ", "why=broken ",
	    "why=no_routing ", "why=breaks_upstreams ", "why=limited ",
	    "why=share "};

	lines = g_ptr_array_new_with_free_func(g_free);
	run_failed_requests();
	for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
		bool found = false;

		for (guint k = 0; k < lines->len && !found; k++)
			found = strstr(lines->pdata[k], causes[i]) != NULL;
		ck_assert_msg(found, "%s", causes[i]);
	}
	g_ptr_array_unref(lines);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_log_lines");
	TCase *tcase = tcase_create("relay_log_lines");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, log_lines_in_operations_page_are_written);
	tcase_add_test(tcase, causes_in_operations_page_are_logged);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
