/*
 * The log lines that docs/OPERATIONS.md leads from an id to a cause by: each
 * one shown there is written by the relay, with all of its fields.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_bench.h"

static GPtrArray *lines; /* "part=P: text" */

static void
keep_line(void *arg, dff_level_t level, const char *part, const char *text)
{
	(void)arg;
	(void)level;
	g_ptr_array_add(lines, g_strdup_printf("part=%s: %s", part, text));
}

/* The upstream of a run that broke off has crashed. */
static void
refuse_probe(relay_bench_t *bench, const char *id)
{
	dff_relay_event_t event = {.type = DFF_RELAY_PROBED};

	event.probed.upstream = id;
	event.probed.reach = DFF_REACH_REFUSED;
	relay_bench_step(bench, &event);
}

/* A peer tells of a crash of another upstream under the same request. */
static void
hear_of_crash(relay_bench_t *bench)
{
	relay_bench_t *peer =
	    relay_bench_new_as("a2", "a", "10.0.0.2:7000", 100);
	dff_relay_event_t event = {.type = DFF_RELAY_BEAT};
	const dff_relay_effect_t *fx;

	dff_relay_add_peer(peer->relay, "10.0.0.1:7000", "a", 100, peer->now);
	relay_bench_load_route(peer, 1);
	relay_bench_upstream(peer, "p2", "plain", DFF_ROLE_MIXED, "a", 1);
	(void)relay_bench_open(peer, "/order/x", 2);
	relay_bench_end(peer, relay_bench_send(peer), DFF_SEND_BROKEN, NULL);
	refuse_probe(peer, "p2");
	relay_bench_wait(peer, 500 * DFF_MSEC);
	fx = relay_bench_find(peer, DFF_RELAY_FX_FRAME);
	ck_assert_ptr_nonnull(fx);
	event.beat.addr = "10.0.0.2:7000";
	event.beat.bytes = fx->frame.bytes;
	event.beat.len = fx->frame.len;
	relay_bench_step(bench, &event);
	relay_bench_drop(peer);
}

/* The kinds of failed request of that page. */
static void
play(void)
{
	relay_bench_t *bench = relay_bench_new();
	uint64_t send;

	dff_ctx_drop(bench->ctx);
	bench->ctx = dff_ctx_new(1, DFF_LOG_DEBUG, keep_line, NULL);
	(void)relay_bench_open(bench, "/order/x", 1);
	relay_bench_load_route(bench, 1);
	relay_bench_upstream(bench, "p1", "plain", DFF_ROLE_MIXED, "a", 1);
	relay_bench_upstream(bench, "d1", "llm", DFF_ROLE_DECODE, "a", 1);
	(void)relay_bench_open(bench, "/order/x", 2);
	send = relay_bench_send(bench);
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	refuse_probe(bench, "p1");
	hear_of_crash(bench);
	for (uint64_t i = 0; i < 50 && relay_bench_answer(bench) != 503; i++)
		(void)relay_bench_open_prompt(
		    bench, "/talk/x", 1, 5000, 100 + i, 2000);
	(void)relay_bench_open(bench, "/order/x", 2);
	relay_bench_drop(bench);
}

/* Whether a line has the shown one's part, sentence and fields. */
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

START_TEST(lines_shown_in_operations_are_written)
{
	char *page = NULL;
	char **shown;
	int checked = 0;

	lines = g_ptr_array_new_with_free_func(g_free);
	play();
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

START_TEST(causes_named_in_operations_are_given)
{
	static const char *const causes[] = {"why=queue ", "why=broken ",
	    "why=no_routing ", "why=breaks_upstreams "};

	lines = g_ptr_array_new_with_free_func(g_free);
	play();
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
	Suite *suite = suite_create("relay_lines");
	TCase *tcase = tcase_create("relay_lines");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, lines_shown_in_operations_are_written);
	tcase_add_test(tcase, causes_named_in_operations_are_given);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
