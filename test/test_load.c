#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "tool/load.h"

#define MIX_FILE "test_load.mix"
#define DRAWS	 20000

static dff_ctx_t *ctx;

static void
setup(void)
{
	ctx = dff_ctx_new(11, DFF_LOG_ERR, NULL, NULL);
}

static void
teardown(void)
{
	dff_ctx_drop(ctx);
	(void)unlink(MIX_FILE);
}

static load_mix_t *
read_mix(const char *text)
{
	static const load_group_t defaults = {.stream = true,
	    .first_token_limit = DFF_SEC,
	    .token_gap_limit = DFF_SEC,
	    .total_limit = 10 * DFF_SEC};

	ck_assert(g_file_set_contents(MIX_FILE, text, -1, NULL));
	return load_mix_read(MIX_FILE, &defaults);
}

START_TEST(mix_is_read)
{
	load_mix_t *mix = read_mix("[entry a]\nshare=3\nkey=k\nmodel=m\n"
				   "first_token_ms=5\n[entry b]\n"
				   "kind=service\nstream=false\n");
	const load_group_t *groups;
	uint32_t count;

	ck_assert_ptr_nonnull(mix);
	groups = load_mix_groups(mix, &count);
	ck_assert_uint_eq(count, 2);
	ck_assert_str_eq(groups[0].name, "a");
	ck_assert_str_eq(groups[0].model, "m");
	ck_assert_int_eq(groups[0].first_token_limit, 5 * DFF_MSEC);
	ck_assert_int_eq(groups[0].total_limit, 10 * DFF_SEC);
	ck_assert(groups[0].stream && !groups[0].service);
	ck_assert(!groups[1].stream && groups[1].service);
	load_mix_drop(mix);
}
END_TEST

START_TEST(bad_mix_is_refused)
{
	ck_assert_ptr_null(read_mix(""));
	ck_assert_ptr_null(read_mix("[owner a]\n"));
	ck_assert_ptr_null(read_mix("[entry a]\ncolour=red\n"));
	ck_assert_ptr_null(read_mix("[entry a]\nshare=-1\n"));
	ck_assert_ptr_null(read_mix("[entry a]\nshare=0\n"));
	ck_assert_ptr_null(read_mix("[entry a]\nprompt_tokens=many\n"));
	ck_assert_ptr_null(read_mix("[entry a]\nkind=both\n"));
	ck_assert_ptr_null(read_mix("[entry a]\nstream=maybe\n"));
	ck_assert_ptr_null(load_mix_read("no-such-file", NULL));
}
END_TEST

static int
compare_sizes(const void *a, const void *b)
{
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;

	return left < right ? -1 : left > right;
}

START_TEST(draws_follow_the_mix)
{
	load_mix_t *mix = read_mix("[entry a]\nshare=3\nprompt_tokens=1000\n"
				   "prompt_sigma=0.5\nprompt_max=3000\n"
				   "output_tokens=20\n[entry b]\nshare=1\n");
	uint32_t *sizes = g_new(uint32_t, DRAWS);
	uint32_t count_a = 0;

	for (int i = 0; i < DRAWS; i++) {
		load_draw_t draw;

		load_mix_draw(ctx, mix, &draw);
		if (draw.group != 0)
			continue;
		ck_assert_uint_eq(draw.max_tokens, 20);
		sizes[count_a++] = draw.prompt_bytes / DFF_BYTES_PER_TOKEN;
	}
	qsort(sizes, count_a, sizeof(sizes[0]), compare_sizes);
	ck_assert_uint_gt(count_a, DRAWS * 73 / 100);
	ck_assert_uint_lt(count_a, DRAWS * 77 / 100);
	/* Median, and the 84th percentile one sigma above: e^0.5 = 1.649. */
	ck_assert_uint_gt(sizes[count_a / 2], 970);
	ck_assert_uint_lt(sizes[count_a / 2], 1030);
	ck_assert_uint_gt(sizes[count_a * 8413 / 10000], 1590);
	ck_assert_uint_lt(sizes[count_a * 8413 / 10000], 1710);
	ck_assert_uint_eq(sizes[count_a - 1], 3000);
	g_free(sizes);
	load_mix_drop(mix);
}
END_TEST

START_TEST(same_seed_draws_same_requests)
{
	load_mix_t *mix = read_mix("[entry a]\nprompt_sigma=1\nprefixes=2\n");
	dff_ctx_t *other = dff_ctx_new(11, DFF_LOG_ERR, NULL, NULL);

	for (int i = 0; i < 100; i++) {
		load_draw_t first;
		load_draw_t second;
		char *left;
		char *right;
		char *engine_prompt;

		load_mix_draw(ctx, mix, &first);
		load_mix_draw(other, mix, &second);
		left = load_mix_prompt(mix, &first, LOAD_ENTRY);
		right = load_mix_prompt(mix, &second, LOAD_ENTRY);
		engine_prompt = load_mix_prompt(mix, &first, LOAD_ENGINE);
		ck_assert_str_eq(left, right);
		ck_assert_uint_eq(strlen(left), first.prompt_bytes);
		ck_assert_uint_eq(strlen(engine_prompt), first.prompt_bytes);
		g_free(left);
		g_free(right);
		g_free(engine_prompt);
	}
	dff_ctx_drop(other);
	load_mix_drop(mix);
}
END_TEST

/* Feed a stream in chunks of one length; returns the number of token events. */
static uint32_t
feed(
    load_parser_t *parser, load_side_t side, const char *text, size_t chunk_len)
{
	uint32_t events = 0;
	size_t len = strlen(text);

	load_parser_init(parser, side);
	for (size_t at = 0; at < len; at += chunk_len)
		events += load_parser_feed(
		    parser, text + at, MIN(chunk_len, len - at));
	return events;
}

START_TEST(entry_stream_is_parsed_in_any_chunks)
{
	static const char stream[] =
	    "data: {\"i\":0,\"text\":\"a b\"}\n\n: still here\n\n"
	    "data: {\"i\":2,\"text\":\" c\"}\n\n"
	    "data: {\"finish\":\"stop\",\"usage\":{\"output_tokens\":3}}\n\n"
	    "data: [DONE]\n\n";

	for (size_t chunk_len = 1; chunk_len <= sizeof(stream); chunk_len++) {
		load_parser_t parser;

		ck_assert_uint_eq(
		    feed(&parser, LOAD_ENTRY, stream, chunk_len), 2);
		ck_assert(parser.finished && !parser.invalid);
		ck_assert_uint_eq(parser.output_tokens, 3);
		ck_assert_str_eq(parser.text->str, "a b c");
		load_parser_clear(&parser);
	}
}
END_TEST

START_TEST(engine_stream_is_parsed_in_any_chunks)
{
	static const char stream[] =
	    "{\"i\":0,\"t\":\"a\"}\n{\"i\":1,\"t\":\" b\"}\n"
	    "{\"end\":\"stop\",\"prompt\":5,\"cached\":0,\"output\":2}\n";

	for (size_t chunk_len = 1; chunk_len <= sizeof(stream); chunk_len++) {
		load_parser_t parser;

		ck_assert_uint_eq(
		    feed(&parser, LOAD_ENGINE, stream, chunk_len), 2);
		ck_assert(parser.finished && !parser.invalid);
		ck_assert_uint_eq(parser.output_tokens, 2);
		load_parser_clear(&parser);
	}
}
END_TEST

static void
expect_malformed(
    load_side_t side, const char *stream, bool finished, const char *code)
{
	load_parser_t parser;

	(void)feed(&parser, side, stream, 7);
	ck_assert_msg(parser.invalid || !parser.finished, "%s", stream);
	ck_assert_msg(parser.finished == finished, "%s", stream);
	ck_assert_str_eq(parser.code, code);
	load_parser_clear(&parser);
}

START_TEST(malformed_streams_are_detected)
{
	expect_malformed(
	    LOAD_ENTRY, "data: {\"i\":0,\"text\":\"a\"}\n\n", false, "");
	expect_malformed(LOAD_ENTRY,
	    "data: {\"i\":0,\"text\":\"a\"}\n\ndata: "
	    "{\"error\":{\"code\":\"broken_off\",\"ran\":\"ran\"}}\n\n",
	    false, "broken_off");
	expect_malformed(LOAD_ENTRY,
	    "data: {\"i\":0,\"text\":\"a\"}\n\n"
	    "data: {\"i\":0,\"text\":\"a\"}\n\ndata: [DONE]\n\n",
	    true, "");
	expect_malformed(
	    LOAD_ENTRY, "data: {\"i\":0,\n\ndata: [DONE]\n\n", true, "");
	expect_malformed(LOAD_ENGINE,
	    "{\"i\":0,\"t\":\"a\"}\n{\"i\":2,\"t\":\"c\"}\n{\"end\":\"stop\"}\n",
	    true, "");
	expect_malformed(LOAD_ENGINE, "{\"i\":0,\"t\":\"a\"}\n", false, "");
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("load");
	TCase *tcase = tcase_create("load");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, mix_is_read);
	tcase_add_test(tcase, bad_mix_is_refused);
	tcase_add_test(tcase, draws_follow_the_mix);
	tcase_add_test(tcase, same_seed_draws_same_requests);
	tcase_add_test(tcase, entry_stream_is_parsed_in_any_chunks);
	tcase_add_test(tcase, engine_stream_is_parsed_in_any_chunks);
	tcase_add_test(tcase, malformed_streams_are_detected);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
