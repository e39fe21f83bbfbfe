/*
 * Where an upstream's answer ends, and whether it is complete: streams cut at
 * every byte, in every line ending, split in every way.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_bench.h"

/* A stream and the lengths at which it is between two events. */
typedef struct stream_text {
	const char *text;
	size_t ends[4]; /* after each of its events */
} stream_text_t;

static const stream_text_t streams[] = {
    {"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n", {15, 38}},
    {"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", {18, 36}},
    {"id:1\rdata:a\r\rid:2\rdata:b\r\r", {13, 26}},
};

/* Sizes of the pieces in which a stream arrives. */
static const size_t pieces[] = {1, 2, 3, 7, 100};

static const char *const stream_targets[] = {"/talk/x", "/resume/x"};

static relay_bench_t *bench;
static GString *forwarded;

static void
setup(void)
{
	bench = relay_bench_new();
	relay_bench_load_routing(bench, 1);
	relay_bench_load_upstream(bench, "d1", "llm", DFF_ROLE_DECODE, "a", 1);
	relay_bench_load_upstream(bench, "d2", "llm", DFF_ROLE_DECODE, "a", 1);
	forwarded = g_string_new(NULL);
}

static void
teardown(void)
{
	(void)g_string_free(forwarded, TRUE);
	relay_bench_drop(bench);
}

static void
note_forwarded(void)
{
	for (guint i = 0; i < bench->fx->len; i++) {
		const dff_relay_effect_t *fx =
		    &g_array_index(bench->fx, dff_relay_effect_t, i);

		if (fx->type == DFF_RELAY_FX_FORWARD_DATA)
			g_string_append_len(forwarded, fx->forward.bytes,
			    (gssize)fx->forward.len);
	}
}

/* Begins a stream at an upstream and passes the first @len bytes of it. */
static uint64_t
begin_stream(const char *target, const char *text, size_t len, size_t piece)
{
	uint64_t send;

	(void)relay_bench_open_prompt(bench, target, 1, 100, 2, 100);
	send = relay_bench_send(bench);
	ck_assert_uint_ne(send, 0);
	relay_bench_head(bench, send, 200, false);
	g_string_truncate(forwarded, 0);
	for (size_t at = 0; at < len; at += piece) {
		char *bytes = g_strndup(text + at, MIN(piece, len - at));

		relay_bench_data(bench, send, bytes);
		note_forwarded();
		g_free(bytes);
	}
	return send;
}

/* Length of the complete events in the first @len bytes. */
static size_t
whole_len(const stream_text_t *stream, size_t len)
{
	size_t whole = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(stream->ends); i++) {
		if (stream->ends[i] <= len)
			whole = MAX(whole, stream->ends[i]);
	}
	return whole;
}

/* Whether the last step ended the answer as complete. */
static bool
ended_complete(void)
{
	return relay_bench_count(bench, DFF_RELAY_FX_FORWARD_END) > 0;
}

static void
check_cut(const stream_text_t *stream, size_t len, size_t piece,
    dff_send_result_t result)
{
	uint64_t send = begin_stream("/talk/x", stream->text, len, piece);

	relay_bench_end(bench, send, result, NULL);
	ck_assert_msg(!ended_complete(), "\"%.*s\" ends as complete", (int)len,
	    stream->text);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_ABORT), 1);
}

static void
check_cut_resumed(const stream_text_t *stream, size_t len, size_t piece,
    dff_send_result_t result)
{
	uint64_t send = begin_stream("/resume/x", stream->text, len, piece);
	size_t whole = whole_len(stream, len);
	const dff_relay_effect_t *fx;

	ck_assert_uint_eq(forwarded->len, whole);
	relay_bench_end(bench, send, result, NULL);
	ck_assert(!ended_complete());
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_FORWARD_DATA), 0);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_ptr_nonnull(fx);
	ck_assert_int_eq(fx->send.after_event,
	    whole == 0			 ? -1 :
		whole == stream->ends[0] ? 1 :
					   2);
	/* The rest from the other upstream completes it. */
	send = fx->send.send;
	relay_bench_head(bench, send, 200, false);
	relay_bench_identify(bench, send);
	relay_bench_data(bench, send, stream->text + whole);
	note_forwarded();
	ck_assert_str_eq(forwarded->str, stream->text);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert(ended_complete());
}

/* Runs @check for each cut inside an event and each split. */
static void
for_each_cut(const stream_text_t *stream, dff_send_result_t result,
    void (*check)(const stream_text_t *, size_t, size_t, dff_send_result_t))
{
	for (size_t len = 1; len < strlen(stream->text); len++) {
		if (whole_len(stream, len) == len)
			continue;
		for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
			teardown();
			setup();
			check(stream, len, pieces[i], result);
		}
	}
}

START_TEST(stream_closed_inside_an_event_is_broken_off)
{
	for_each_cut(&streams[_i], DFF_SEND_CLOSED, check_cut);
}
END_TEST

START_TEST(framed_stream_that_ends_inside_an_event_is_broken_off)
{
	for_each_cut(&streams[_i], DFF_SEND_DONE, check_cut);
}
END_TEST

START_TEST(stream_closed_inside_an_event_is_resumed)
{
	for_each_cut(&streams[_i], DFF_SEND_CLOSED, check_cut_resumed);
}
END_TEST

START_TEST(framed_stream_that_ends_inside_an_event_is_resumed)
{
	for_each_cut(&streams[_i], DFF_SEND_DONE, check_cut_resumed);
}
END_TEST

START_TEST(framed_stream_that_ends_after_an_event_is_complete)
{
	for (size_t i = 0;
	     i < G_N_ELEMENTS(stream_targets) * G_N_ELEMENTS(pieces); i++) {
		const char *text = streams[_i].text;
		uint64_t send = begin_stream(
		    stream_targets[i % 2], text, strlen(text), pieces[i / 2]);

		relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
		note_forwarded();
		ck_assert(ended_complete());
		ck_assert_str_eq(forwarded->str, text);
	}
}
END_TEST

/* ---- the end of the connection where nothing else tells ---- */

/* The upstream of a whole stream without framing closes its connection. */
static uint64_t
close_whole_stream(const char *target)
{
	const char *text = streams[0].text;
	uint64_t send = begin_stream(target, text, strlen(text), 100);
	const dff_relay_effect_t *fx;

	relay_bench_end(bench, send, DFF_SEND_CLOSED, NULL);
	ck_assert(!ended_complete());
	fx = relay_bench_find(bench, DFF_RELAY_FX_PROBE);
	ck_assert_ptr_nonnull(fx);
	ck_assert_uint_eq(fx->probe.send, send);
	return send;
}

static void
end_probe(uint64_t send, dff_probe_result_t result)
{
	dff_relay_event_t event = {.type = DFF_RELAY_PROBED};

	event.probed.upstream = "d1";
	event.probed.send = send;
	event.probed.result = result;
	relay_bench_step(bench, &event);
}

START_TEST(closed_stream_of_live_upstream_is_complete)
{
	uint64_t send = close_whole_stream(stream_targets[_i]);

	end_probe(send, DFF_PROBE_ACCEPTED);
	ck_assert(ended_complete());
	/* A second result is ignored. */
	end_probe(send, DFF_PROBE_REFUSED);
	ck_assert_uint_eq(bench->fx->len, 0);
}
END_TEST

START_TEST(closed_stream_is_complete_if_its_probe_times_out)
{
	end_probe(
	    close_whole_stream(stream_targets[_i]), DFF_PROBE_INCONCLUSIVE);
	ck_assert(ended_complete());
}
END_TEST

START_TEST(closed_stream_of_ended_upstream_is_broken_off)
{
	end_probe(close_whole_stream("/talk/x"), DFF_PROBE_REFUSED);
	ck_assert(!ended_complete());
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_ABORT), 1);
}
END_TEST

START_TEST(closed_stream_of_ended_upstream_is_resumed)
{
	const dff_relay_effect_t *fx;
	uint64_t send;

	end_probe(close_whole_stream("/resume/x"), DFF_PROBE_REFUSED);
	ck_assert(!ended_complete());
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	ck_assert_ptr_nonnull(fx);
	ck_assert_int_eq(fx->send.after_event, 2);
	/* The stream had been whole: nothing follows. */
	send = fx->send.send;
	relay_bench_head(bench, send, 200, false);
	relay_bench_identify(bench, send);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert(ended_complete());
}
END_TEST

START_TEST(closed_stream_without_an_event_is_broken_off)
{
	uint64_t send = begin_stream("/talk/x", "", 0, 1);

	relay_bench_end(bench, send, DFF_SEND_CLOSED, NULL);
	ck_assert(!ended_complete());
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_ABORT), 1);
}
END_TEST

START_TEST(caller_that_leaves_during_the_probe_frees_the_answer)
{
	uint64_t send = close_whole_stream("/talk/x");
	dff_relay_event_t event = {.type = DFF_RELAY_CALLER_GONE};
	const dff_relay_effect_t *fx;

	event.caller_gone = bench->next_call;
	relay_bench_step(bench, &event);
	fx = relay_bench_find(bench, DFF_RELAY_FX_CANCEL);
	ck_assert_ptr_nonnull(fx);
	ck_assert_uint_eq(fx->cancel, send);
	end_probe(send, DFF_PROBE_ACCEPTED);
	ck_assert_uint_eq(bench->fx->len, 0);
}
END_TEST

/* Closes the connection of a plain answer without framing. */
static uint64_t
close_plain_answer(const char *target)
{
	uint64_t send;

	relay_bench_load_upstream(bench, "p1", "plain", DFF_ROLE_MIXED, "a", 1);
	relay_bench_load_upstream(bench, "p2", "plain", DFF_ROLE_MIXED, "a", 1);
	(void)relay_bench_open(bench, target, 1);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 200, false);
	relay_bench_data(bench, send, "body");
	relay_bench_end(bench, send, DFF_SEND_CLOSED, NULL);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_FORWARD_HEAD), 0);
	return send;
}

START_TEST(closed_answer_of_live_upstream_is_complete)
{
	end_probe(close_plain_answer("/order/x"), DFF_PROBE_ACCEPTED);
	note_forwarded();
	ck_assert(ended_complete());
	ck_assert_str_eq(forwarded->str, "body");
}
END_TEST

START_TEST(closed_answer_of_ended_upstream_is_repeated)
{
	uint64_t send = close_plain_answer("/read/x");

	end_probe(send, DFF_PROBE_REFUSED);
	ck_assert(!ended_complete());
	ck_assert_uint_gt(relay_bench_send(bench), send);
}
END_TEST

START_TEST(closed_answer_of_ended_upstream_fails_if_it_may_not_run_again)
{
	end_probe(close_plain_answer("/order/x"), DFF_PROBE_REFUSED);
	ck_assert_int_eq(relay_bench_answer(bench), 502);
	ck_assert_uint_eq(relay_bench_send(bench), 0);
}
END_TEST

START_TEST(closed_failure_is_forwarded_at_once)
{
	uint64_t send;

	(void)relay_bench_open_prompt(bench, "/talk/x", 1, 100, 2, 100);
	send = relay_bench_send(bench);
	relay_bench_head(bench, send, 404, false);
	relay_bench_data(bench, send, "none");
	relay_bench_end(bench, send, DFF_SEND_CLOSED, NULL);
	note_forwarded();
	ck_assert(ended_complete());
	ck_assert_str_eq(forwarded->str, "none");
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_answer_end");
	TCase *tcase = tcase_create("relay_answer_end");
	const int count = (int)G_N_ELEMENTS(streams);
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 30);
	tcase_add_loop_test(
	    tcase, stream_closed_inside_an_event_is_broken_off, 0, count);
	tcase_add_loop_test(tcase,
	    framed_stream_that_ends_inside_an_event_is_broken_off, 0, count);
	tcase_add_loop_test(
	    tcase, stream_closed_inside_an_event_is_resumed, 0, count);
	tcase_add_loop_test(tcase,
	    framed_stream_that_ends_inside_an_event_is_resumed, 0, count);
	tcase_add_loop_test(tcase,
	    framed_stream_that_ends_after_an_event_is_complete, 0, count);
	tcase_add_loop_test(
	    tcase, closed_stream_of_live_upstream_is_complete, 0, 2);
	tcase_add_loop_test(
	    tcase, closed_stream_is_complete_if_its_probe_times_out, 0, 2);
	tcase_add_test(tcase, closed_stream_of_ended_upstream_is_broken_off);
	tcase_add_test(tcase, closed_stream_of_ended_upstream_is_resumed);
	tcase_add_test(tcase, closed_stream_without_an_event_is_broken_off);
	tcase_add_test(
	    tcase, caller_that_leaves_during_the_probe_frees_the_answer);
	tcase_add_test(tcase, closed_answer_of_live_upstream_is_complete);
	tcase_add_test(tcase, closed_answer_of_ended_upstream_is_repeated);
	tcase_add_test(tcase,
	    closed_answer_of_ended_upstream_fails_if_it_may_not_run_again);
	tcase_add_test(tcase, closed_failure_is_forwarded_at_once);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
