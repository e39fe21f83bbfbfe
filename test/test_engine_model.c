#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/model_engine.h"

/* An engine under test, and all that it gave so far. */
typedef struct bench {
	dff_ctx_t *ctx;
	dff_engine_model_t *model;
	GArray *out;
	dff_time_t now;
} bench_t;

static bench_t
bench_new(const dff_engine_config_t *config)
{
	bench_t bench = {0};

	bench.ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	bench.model = dff_engine_model_new(bench.ctx, config, 0);
	bench.out = g_array_new(FALSE, TRUE, sizeof(dff_engine_out_t));
	return bench;
}

static void
bench_drop(bench_t *bench)
{
	dff_engine_model_drop(bench->model);
	g_array_unref(bench->out);
	dff_ctx_drop(bench->ctx);
}

static void
run_until(bench_t *bench, dff_time_t until)
{
	bench->now = until;
	dff_engine_model_advance(bench->ctx, bench->model, until, bench->out);
}

static void
run_idle(bench_t *bench)
{
	dff_time_t next;

	while ((next = dff_engine_model_next(bench->model)) != DFF_TIME_NEVER)
		run_until(bench, next);
}

static size_t
count_out(const bench_t *bench, dff_engine_out_type_t type, uint64_t id)
{
	size_t count = 0;

	for (guint i = 0; i < bench->out->len; i++) {
		const dff_engine_out_t *item;

		item = &g_array_index(bench->out, dff_engine_out_t, i);
		count += item->type == type && item->id == id;
	}
	return count;
}

static dff_engine_out_t *
find_out(const bench_t *bench, dff_engine_out_type_t type, uint64_t id)
{
	for (guint i = 0; i < bench->out->len; i++) {
		dff_engine_out_t *item;

		item = &g_array_index(bench->out, dff_engine_out_t, i);
		if (item->type == type && item->id == id)
			return item;
	}
	return NULL;
}

static dff_engine_request_t
request_of(uint64_t id, uint32_t prompt, uint32_t max)
{
	dff_engine_request_t request = {.id = id,
	    .model = "model",
	    .prompt_hash = id * 77,
	    .prompt_tokens = prompt,
	    .max_tokens = max};

	return request;
}

static dff_engine_verdict_t
submit(bench_t *bench, const dff_engine_request_t *request)
{
	return dff_engine_model_submit(
	    bench->ctx, bench->model, request, bench->now);
}

static dff_order_answer_t
order_role(bench_t *bench, uint64_t order, uint64_t fence, const char *role)
{
	return dff_engine_model_order(bench->model, order, fence,
	    DFF_ORDER_ROLE, role, bench->now, bench->out);
}

START_TEST(answer_is_whole_and_in_order)
{
	dff_engine_config_t config;
	bench_t bench;
	dff_engine_request_t request = request_of(7, 100, 20);
	uint32_t next = 0;

	dff_engine_config_defaults(&config);
	bench = bench_new(&config);
	ck_assert_int_eq(submit(&bench, &request), DFF_ENGINE_TAKEN);
	run_idle(&bench);
	for (guint i = 0; i < bench.out->len; i++) {
		const dff_engine_out_t *item;

		item = &g_array_index(bench.out, dff_engine_out_t, i);
		if (item->type == DFF_ENGINE_OUT_TOKEN)
			ck_assert_uint_eq(item->index, next++);
	}
	ck_assert_uint_eq(next, 20);
	ck_assert_uint_eq(
	    find_out(&bench, DFF_ENGINE_OUT_END, 7)->output_tokens, 20);
	ck_assert_int_eq(
	    find_out(&bench, DFF_ENGINE_OUT_END, 7)->finish, DFF_FINISH_LENGTH);
	bench_drop(&bench);
}
END_TEST

START_TEST(resume_goes_on_at_the_token)
{
	dff_engine_config_t config;
	bench_t bench;
	dff_engine_request_t request = request_of(7, 100, 20);

	dff_engine_config_defaults(&config);
	bench = bench_new(&config);
	request.resume_at = 15;
	submit(&bench, &request);
	run_idle(&bench);
	ck_assert_uint_eq(count_out(&bench, DFF_ENGINE_OUT_TOKEN, 7), 5);
	ck_assert_uint_eq(find_out(&bench, DFF_ENGINE_OUT_TOKEN, 7)->index, 15);
	ck_assert_uint_eq(
	    find_out(&bench, DFF_ENGINE_OUT_END, 7)->output_tokens, 20);
	bench_drop(&bench);
}
END_TEST

START_TEST(text_depends_on_prompt_and_index_only)
{
	char a[DFF_TOKEN_TEXT_MAX];
	char b[DFF_TOKEN_TEXT_MAX];
	uint64_t hash = dff_model_prompt_hash("m", "abc", 3);
	uint64_t sum = 0;

	ck_assert_uint_eq(
	    dff_model_token(hash, 3, a), dff_model_token(hash, 3, b));
	ck_assert_str_eq(a, b);
	ck_assert_uint_ne(hash, dff_model_prompt_hash("n", "abc", 3));
	ck_assert_uint_eq(dff_model_prompt_tokens(9), 3);
	for (uint64_t i = 0; i < 10000; i++)
		sum += dff_model_answer_tokens(i, 100);
	ck_assert_uint_gt(sum, 95 * 10000);
	ck_assert_uint_lt(sum, 105 * 10000);
}
END_TEST

START_TEST(step_time_grows_with_the_batch)
{
	dff_engine_config_t config;
	bench_t bench;
	dff_time_t alone;

	dff_engine_config_defaults(&config);
	bench = bench_new(&config);
	for (uint64_t id = 1; id <= 1; id++) {
		dff_engine_request_t request = request_of(id, 64, 100);

		submit(&bench, &request);
	}
	run_idle(&bench);
	alone = bench.now;
	for (uint64_t id = 2; id <= 17; id++) {
		dff_engine_request_t request = request_of(id, 64, 100);

		submit(&bench, &request);
	}
	run_idle(&bench);
	ck_assert_int_gt(bench.now - alone, alone * 5 / 4);
	ck_assert_int_lt(bench.now - alone, alone * 4);
	bench_drop(&bench);
}
END_TEST

START_TEST(admission_waits_for_pieces)
{
	dff_engine_config_t config;
	bench_t bench;
	dff_engine_report_t report;

	dff_engine_config_defaults(&config);
	config.pieces = 10;
	config.report_lag = 0;
	config.report_every = 0;
	bench = bench_new(&config);
	for (uint64_t id = 1; id <= 3; id++) {
		dff_engine_request_t request = request_of(id, 192, 64);

		ck_assert_int_eq(submit(&bench, &request), DFF_ENGINE_TAKEN);
	}
	run_until(&bench, dff_engine_model_next(bench.model));
	dff_engine_model_report(bench.model, bench.now, &report);
	ck_assert_uint_eq(report.running, 2);
	ck_assert_uint_eq(report.waiting, 1);
	ck_assert_uint_eq(report.free_pieces, 2);
	run_idle(&bench);
	ck_assert_uint_eq(count_out(&bench, DFF_ENGINE_OUT_END, 3), 1);
	dff_engine_model_report(bench.model, bench.now, &report);
	ck_assert_uint_eq(report.free_pieces, 10);
	bench_drop(&bench);
}
END_TEST

START_TEST(priority_goes_first)
{
	dff_engine_config_t config;
	bench_t bench;
	dff_engine_request_t low = request_of(1, 64, 10);
	dff_engine_request_t low2 = request_of(2, 64, 10);
	dff_engine_request_t high = request_of(3, 64, 10);
	const dff_engine_out_t *end2;
	const dff_engine_out_t *end3;

	dff_engine_config_defaults(&config);
	config.batch_max = 1;
	bench = bench_new(&config);
	low.priority = low2.priority = 5;
	submit(&bench, &low);
	submit(&bench, &low2);
	submit(&bench, &high);
	run_idle(&bench);
	end2 = find_out(&bench, DFF_ENGINE_OUT_END, 2);
	end3 = find_out(&bench, DFF_ENGINE_OUT_END, 3);
	ck_assert(end3 < end2);
	bench_drop(&bench);
}
END_TEST

START_TEST(prefix_cache_saves_prefill)
{
	dff_engine_config_t config;
	bench_t bench;
	uint64_t hashes[DFF_PREFIX_BLOCKS_MAX];
	char prompt[DFF_PREFIX_BLOCK_BYTES * 10 + 4];
	dff_engine_request_t request = request_of(1, 641, 10);
	GArray *stored = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t last;
	bool gap;

	dff_engine_config_defaults(&config);
	config.cache_loss = 0;
	bench = bench_new(&config);
	memset(prompt, 'x', sizeof(prompt));
	request.prefix = hashes;
	request.prefix_count = dff_model_prefix(prompt, sizeof(prompt), hashes);
	ck_assert_uint_eq(request.prefix_count, 10);
	submit(&bench, &request);
	run_idle(&bench);
	request.id = 2;
	submit(&bench, &request);
	run_idle(&bench);
	ck_assert_uint_eq(
	    find_out(&bench, DFF_ENGINE_OUT_END, 1)->cached_tokens, 0);
	ck_assert_uint_eq(
	    find_out(&bench, DFF_ENGINE_OUT_END, 2)->cached_tokens, 640);
	last = dff_engine_model_cache(bench.model, 0, 0, stored, evicted, &gap);
	ck_assert_uint_eq(last, 0);
	last = dff_engine_model_cache(
	    bench.model, 0, bench.now + DFF_SEC, stored, evicted, &gap);
	ck_assert_uint_eq(last, 10);
	ck_assert_uint_eq(stored->len, 10);
	ck_assert(!gap);
	g_array_unref(stored);
	g_array_unref(evicted);
	bench_drop(&bench);
}
END_TEST

START_TEST(cache_evicts_and_events_have_gaps)
{
	dff_engine_config_t config;
	bench_t bench;
	GArray *stored = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	bool gap;

	dff_engine_config_defaults(&config);
	config.pieces = 20;
	config.cache_loss = 0.5;
	bench = bench_new(&config);
	for (uint64_t id = 1; id <= 10; id++) {
		uint64_t hashes[5] = {id * 10, id * 10 + 1, id * 10 + 2,
		    id * 10 + 3, id * 10 + 4};
		dff_engine_request_t request = request_of(id, 320, 10);

		request.prefix = hashes;
		request.prefix_count = 5;
		submit(&bench, &request);
		run_idle(&bench);
	}
	dff_engine_model_cache(
	    bench.model, 0, bench.now + 10 * DFF_SEC, stored, evicted, &gap);
	ck_assert(gap);
	ck_assert_uint_gt(evicted->len, 0);
	ck_assert_uint_lt(stored->len, 50);
	g_array_unref(stored);
	g_array_unref(evicted);
	bench_drop(&bench);
}
END_TEST

START_TEST(cancel_frees_pieces)
{
	dff_engine_config_t config;
	bench_t bench;
	dff_engine_request_t request = request_of(1, 640, 640);
	dff_engine_state_t state;

	dff_engine_config_defaults(&config);
	bench = bench_new(&config);
	submit(&bench, &request);
	run_until(&bench, 100 * DFF_MSEC);
	dff_engine_model_cancel(bench.model, 1, bench.now);
	dff_engine_model_state(bench.model, &state);
	ck_assert_uint_eq(state.running, 0);
	run_idle(&bench);
	ck_assert_uint_eq(count_out(&bench, DFF_ENGINE_OUT_END, 1), 0);
	bench_drop(&bench);
}
END_TEST

START_TEST(old_fence_is_refused_only_where_checked)
{
	dff_engine_config_t config;

	dff_engine_config_defaults(&config);
	for (int check = 0; check < 2; check++) {
		bench_t bench;

		config.check_fence = check == 1;
		bench = bench_new(&config);
		ck_assert_int_eq(
		    order_role(&bench, 10, 5, "prefill"), DFF_ORDER_ACCEPTED);
		run_idle(&bench);
		ck_assert_int_eq(order_role(&bench, 9, 4, "decode"),
		    check == 1 ? DFF_ORDER_FENCED : DFF_ORDER_ACCEPTED);
		bench_drop(&bench);
	}
}
END_TEST

START_TEST(order_is_taken_once)
{
	dff_engine_config_t config;
	bench_t bench;
	const dff_engine_note_t *notes;
	dff_engine_state_t state;
	dff_engine_request_t request = request_of(1, 64, 10);
	size_t count;

	dff_engine_config_defaults(&config);
	bench = bench_new(&config);
	ck_assert_int_eq(
	    order_role(&bench, 10, 5, "prefill"), DFF_ORDER_ACCEPTED);
	ck_assert_int_eq(
	    order_role(&bench, 10, 5, "prefill"), DFF_ORDER_ACCEPTED);
	ck_assert_int_eq(order_role(&bench, 11, 5, "decode"), DFF_ORDER_BUSY);
	ck_assert_int_eq(submit(&bench, &request), DFF_ENGINE_AWAY);
	run_idle(&bench);
	dff_engine_model_state(bench.model, &state);
	ck_assert_int_eq(state.role, DFF_ROLE_PREFILL);
	ck_assert_uint_eq(state.last_order, 10);
	ck_assert_int_eq(submit(&bench, &request), DFF_ENGINE_WRONG_ROLE);
	ck_assert_int_eq(order_role(&bench, 12, 5, "chief"), DFF_ORDER_REFUSED);
	notes = dff_engine_model_journal(bench.model, &count);
	ck_assert_uint_eq(count, 5);
	ck_assert(notes[1].repeated);
	ck_assert_int_eq(notes[3].type, DFF_ENGINE_NOTE_DONE);
	bench_drop(&bench);
}
END_TEST

START_TEST(order_waits_for_requests_or_cuts_them)
{
	dff_engine_config_t config;
	bench_t bench;
	dff_engine_request_t request = request_of(1, 64, 1000);

	dff_engine_config_defaults(&config);
	bench = bench_new(&config);
	submit(&bench, &request);
	ck_assert_int_eq(order_role(&bench, 1, 1, "decode"), DFF_ORDER_BUSY);
	dff_engine_model_config(bench.model)->cut_on_order = true;
	ck_assert_int_eq(
	    order_role(&bench, 1, 1, "decode"), DFF_ORDER_ACCEPTED);
	ck_assert_uint_eq(count_out(&bench, DFF_ENGINE_OUT_BROKEN, 1), 1);
	bench_drop(&bench);
}
END_TEST

START_TEST(model_load_asks_for_leave)
{
	dff_engine_config_t config;
	bench_t bench;
	dff_engine_state_t state;

	dff_engine_config_defaults(&config);
	bench = bench_new(&config);
	ck_assert_int_eq(dff_engine_model_order(bench.model, 1, 1,
			     DFF_ORDER_MODEL, "other", 0, bench.out),
	    DFF_ORDER_ACCEPTED);
	run_until(&bench, 0);
	ck_assert_uint_eq(count_out(&bench, DFF_ENGINE_OUT_LEAVE, 0), 1);
	dff_engine_model_leave(bench.model, DFF_SEC, 0);
	run_until(&bench, DFF_SEC);
	ck_assert_uint_eq(count_out(&bench, DFF_ENGINE_OUT_LEAVE, 0), 2);
	dff_engine_model_leave(bench.model, 0, DFF_SEC);
	run_idle(&bench);
	ck_assert_int_eq(bench.now, DFF_SEC + config.load_away);
	dff_engine_model_state(bench.model, &state);
	ck_assert_str_eq(state.model, "other");
	bench_drop(&bench);
}
END_TEST

START_TEST(poison_breaks_all_and_engine_comes_back)
{
	dff_engine_config_t config;
	bench_t bench;
	dff_engine_request_t good = request_of(1, 64, 1000);
	dff_engine_request_t bad = request_of(2, 64, 10);
	dff_engine_state_t state;
	dff_engine_report_t report;

	dff_engine_config_defaults(&config);
	bench = bench_new(&config);
	bad.poison = true;
	submit(&bench, &good);
	submit(&bench, &bad);
	run_until(&bench, DFF_SEC);
	ck_assert(!dff_engine_model_up(bench.model));
	ck_assert_uint_eq(count_out(&bench, DFF_ENGINE_OUT_BROKEN, 1), 1);
	ck_assert_uint_eq(count_out(&bench, DFF_ENGINE_OUT_BROKEN, 2), 1);
	ck_assert_int_eq(submit(&bench, &good), DFF_ENGINE_AWAY);
	run_idle(&bench);
	ck_assert(dff_engine_model_up(bench.model));
	dff_engine_model_state(bench.model, &state);
	ck_assert_uint_eq(state.incarnation, 2);
	ck_assert_uint_eq(state.running, 0);
	/* Its first report is its own, though reports lag. */
	dff_engine_model_report(bench.model, bench.now, &report);
	ck_assert_uint_eq(report.incarnation, 2);
	ck_assert_int_eq(submit(&bench, &good), DFF_ENGINE_TAKEN);
	bench_drop(&bench);
}
END_TEST

START_TEST(crash_in_change_leaves_the_old_role)
{
	dff_engine_config_t config;
	bench_t bench;
	dff_engine_state_t state;

	dff_engine_config_defaults(&config);
	bench = bench_new(&config);
	dff_engine_model_crash_in_change(bench.model);
	order_role(&bench, 1, 1, "prefill");
	run_idle(&bench);
	dff_engine_model_state(bench.model, &state);
	ck_assert_int_eq(state.role, DFF_ROLE_MIXED);
	ck_assert_uint_eq(state.incarnation, 2);
	ck_assert(!state.changing);
	bench_drop(&bench);
}
END_TEST

START_TEST(kv_goes_from_prefill_to_decode)
{
	dff_engine_config_t config;
	bench_t from;
	bench_t to;
	dff_engine_request_t request = request_of(1, 640, 20);
	uint32_t pieces;
	dff_time_t spent;

	dff_engine_config_defaults(&config);
	from = bench_new(&config);
	to = bench_new(&config);
	request.phase = DFF_PHASE_PREFILL;
	submit(&from, &request);
	run_until(&from, DFF_SEC);
	ck_assert_uint_eq(count_out(&from, DFF_ENGINE_OUT_TOKEN, 1), 0);
	ck_assert_uint_eq(count_out(&from, DFF_ENGINE_OUT_END, 1), 1);
	spent = dff_engine_model_export(from.model, 1, from.now, &pieces);
	ck_assert_int_eq(spent, (dff_time_t)(10 * config.kv_piece_us));
	ck_assert_int_eq(
	    dff_engine_model_export(from.model, 1, from.now, &pieces), -ENOENT);
	ck_assert_int_lt(dff_engine_model_link_time(to.model, pieces, true),
	    dff_engine_model_link_time(to.model, pieces, false));
	request.phase = DFF_PHASE_DECODE;
	submit(&to, &request);
	run_idle(&to);
	ck_assert_uint_eq(to.out->len, 0);
	ck_assert_int_eq(
	    dff_engine_model_import(to.model, 1, pieces, to.now), 0);
	run_idle(&to);
	ck_assert_uint_eq(count_out(&to, DFF_ENGINE_OUT_TOKEN, 1), 20);
	bench_drop(&from);
	bench_drop(&to);
}
END_TEST

START_TEST(reports_lag)
{
	dff_engine_config_t config;
	bench_t bench;
	dff_engine_request_t request = request_of(1, 64, 1000);
	dff_engine_report_t report;

	dff_engine_config_defaults(&config);
	config.report_lag = 2 * DFF_SEC;
	bench = bench_new(&config);
	run_until(&bench, 10 * DFF_SEC);
	submit(&bench, &request);
	run_until(&bench, 11 * DFF_SEC);
	dff_engine_model_report(bench.model, bench.now, &report);
	ck_assert_uint_eq(report.running, 0);
	ck_assert_int_eq(report.taken, 9 * DFF_SEC);
	run_until(&bench, 12 * DFF_SEC + 200 * DFF_MSEC);
	dff_engine_model_report(bench.model, bench.now, &report);
	ck_assert_uint_eq(report.running, 1);
	bench_drop(&bench);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("engine_model");
	TCase *tcase = tcase_create("engine_model");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, answer_is_whole_and_in_order);
	tcase_add_test(tcase, resume_goes_on_at_the_token);
	tcase_add_test(tcase, text_depends_on_prompt_and_index_only);
	tcase_add_test(tcase, step_time_grows_with_the_batch);
	tcase_add_test(tcase, admission_waits_for_pieces);
	tcase_add_test(tcase, priority_goes_first);
	tcase_add_test(tcase, prefix_cache_saves_prefill);
	tcase_add_test(tcase, cache_evicts_and_events_have_gaps);
	tcase_add_test(tcase, cancel_frees_pieces);
	tcase_add_test(tcase, old_fence_is_refused_only_where_checked);
	tcase_add_test(tcase, order_is_taken_once);
	tcase_add_test(tcase, order_waits_for_requests_or_cuts_them);
	tcase_add_test(tcase, model_load_asks_for_leave);
	tcase_add_test(tcase, poison_breaks_all_and_engine_comes_back);
	tcase_add_test(tcase, crash_in_change_leaves_the_old_role);
	tcase_add_test(tcase, kv_goes_from_prefill_to_decode);
	tcase_add_test(tcase, reports_lag);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
