/*
 * Whether and how a call is sent: again to the same upstream, and to one with a
 * queue.
 */
#include <check.h>
#include <stdlib.h>

#include "fake/relay_bench.h"

static relay_bench_t *bench;

static void
setup(void)
{
	bench = relay_bench_new();
	relay_bench_load_routing(bench, 1);
}

static void
teardown(void)
{
	relay_bench_drop(bench);
}

/* The earlier answer may be repeated on its connection, with the same id. */
START_TEST(second_send_to_an_upstream_opens_a_connection)
{
	GHashTable *tried =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	int repeated = 0;

	for (int i = 0; i < 5; i++) {
		char id[] = {'p', (char)('0' + i), '\0'};

		relay_bench_load_upstream(
		    bench, id, "plain", DFF_ROLE_MIXED, "a", 1);
	}
	(void)relay_bench_open(bench, "/read/x", 1);
	for (;;) {
		const dff_relay_effect_t *fx =
		    relay_bench_find(bench, DFF_RELAY_FX_SEND);
		bool again;
		uint64_t send;

		if (fx == NULL)
			break;
		again = !g_hash_table_add(tried, g_strdup(fx->send.upstream));
		ck_assert_int_eq(fx->send.fresh_connection, again);
		repeated += again;
		send = fx->send.send;
		relay_bench_head(bench, send, 503, true);
		relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	}
	ck_assert_int_ge(repeated, 1);
	g_hash_table_unref(tried);
}
END_TEST

/* Opens a request for a stream with a prompt of 2000 tokens. */
static void
open_generation(const char *id, const char *resumes, int64_t after_event)
{
	static uint64_t part = 1;
	dff_relay_event_t event = {.type = DFF_RELAY_OPEN};

	event.open.call = ++bench->next_call;
	event.open.id = id;
	event.open.host = "h";
	event.open.target = "/resume/x";
	event.open.timeout = 3 * DFF_SEC;
	event.open.content_hash = ++part;
	event.open.after_event = after_event;
	event.open.resumes = resumes;
	event.open.credential = "";
	event.open.organisation = "";
	event.open.prompt = (dff_prompt_t){.parts = {{part, 2000}},
	    .count = 1,
	    .tokens = 2000,
	    .tokens_out = 100};
	relay_bench_step(bench, &event);
}

START_TEST(begun_stream_is_resumed_where_a_new_one_is_refused)
{
	dff_relay_event_t gone = {.type = DFF_RELAY_CALLER_GONE};
	uint64_t send;

	relay_bench_load_upstream(bench, "d1", "llm", DFF_ROLE_DECODE, "a", 1);
	open_generation("first", "", -1);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 200, false);
	relay_bench_data(bench, send, "id: 1\ndata: x\n\n");
	gone.caller_gone = bench->next_call;
	relay_bench_step(bench, &gone);
	for (int i = 0; i < 100 && relay_bench_answer(bench) == 0; i++)
		open_generation("new", "", -1);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	open_generation("second", "first", 1);
	ck_assert_uint_ne(relay_bench_send(bench), 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_send");
	TCase *tcase = tcase_create("relay_send");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, second_send_to_an_upstream_opens_a_connection);
	tcase_add_test(
	    tcase, begun_stream_is_resumed_where_a_new_one_is_refused);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
