#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/model_engine.h"

/* An engine under test and its outputs so far. */
typedef struct fixture {
	dff_ctx_t *ctx;
	dff_engine_model_t *model;
	GArray *out;
	dff_time_t now;
} fixture_t;

static fixture_t
fixture_new(const dff_engine_config_t *config)
{
	fixture_t fixture = {0};

	fixture.ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	fixture.model = dff_engine_model_new(fixture.ctx, config, 0);
	fixture.out = g_array_new(FALSE, TRUE, sizeof(dff_engine_out_t));
	return fixture;
}

static void
fixture_drop(fixture_t *fixture)
{
	dff_engine_model_drop(fixture->model);
	g_array_unref(fixture->out);
	dff_ctx_drop(fixture->ctx);
}

static void
run_until(fixture_t *fixture, dff_time_t until)
{
	fixture->now = until;
	dff_engine_model_advance(
	    fixture->ctx, fixture->model, until, fixture->out);
}

static void
run_idle(fixture_t *fixture)
{
	dff_time_t next;

	while ((next = dff_engine_model_next(fixture->model)) != DFF_TIME_NEVER)
		run_until(fixture, next);
}

static size_t
count_out(const fixture_t *fixture, dff_engine_out_type_t type, uint64_t id)
{
	size_t count = 0;

	for (guint i = 0; i < fixture->out->len; i++) {
		const dff_engine_out_t *item;

		item = &g_array_index(fixture->out, dff_engine_out_t, i);
		count += item->type == type && item->id == id;
	}
	return count;
}

static dff_engine_out_t *
find_out(const fixture_t *fixture, dff_engine_out_type_t type, uint64_t id)
{
	for (guint i = 0; i < fixture->out->len; i++) {
		dff_engine_out_t *item;

		item = &g_array_index(fixture->out, dff_engine_out_t, i);
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

static dff_engine_submit_result_t
submit(fixture_t *fixture, const dff_engine_request_t *request)
{
	return dff_engine_model_submit(
	    fixture->ctx, fixture->model, request, fixture->now);
}

static dff_order_answer_t
order_role(fixture_t *fixture, uint64_t order, uint64_t fence, const char *role)
{
	return dff_engine_model_order(fixture->model, order, fence,
	    DFF_ORDER_ROLE, role, fixture->now, fixture->out);
}

START_TEST(answer_is_complete_and_in_order)
{
	dff_engine_config_t config;
	fixture_t fixture;
	dff_engine_request_t request = request_of(7, 100, 20);
	uint32_t next = 0;

	dff_engine_config_defaults(&config);
	fixture = fixture_new(&config);
	ck_assert_int_eq(submit(&fixture, &request), DFF_ENGINE_ACCEPTED);
	run_idle(&fixture);
	for (guint i = 0; i < fixture.out->len; i++) {
		const dff_engine_out_t *item;

		item = &g_array_index(fixture.out, dff_engine_out_t, i);
		if (item->type == DFF_ENGINE_OUT_TOKEN)
			ck_assert_uint_eq(item->index, next++);
	}
	ck_assert_uint_eq(next, 20);
	ck_assert_uint_eq(
	    find_out(&fixture, DFF_ENGINE_OUT_END, 7)->output_tokens, 20);
	ck_assert_int_eq(find_out(&fixture, DFF_ENGINE_OUT_END, 7)->finish,
	    DFF_FINISH_LENGTH);
	fixture_drop(&fixture);
}
END_TEST

START_TEST(resume_starts_at_given_token)
{
	dff_engine_config_t config;
	fixture_t fixture;
	dff_engine_request_t request = request_of(7, 100, 20);

	dff_engine_config_defaults(&config);
	fixture = fixture_new(&config);
	request.resume_at = 15;
	submit(&fixture, &request);
	run_idle(&fixture);
	ck_assert_uint_eq(count_out(&fixture, DFF_ENGINE_OUT_TOKEN, 7), 5);
	ck_assert_uint_eq(
	    find_out(&fixture, DFF_ENGINE_OUT_TOKEN, 7)->index, 15);
	ck_assert_uint_eq(
	    find_out(&fixture, DFF_ENGINE_OUT_END, 7)->output_tokens, 20);
	fixture_drop(&fixture);
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
	fixture_t fixture;
	dff_time_t alone;

	dff_engine_config_defaults(&config);
	fixture = fixture_new(&config);
	for (uint64_t id = 1; id <= 1; id++) {
		dff_engine_request_t request = request_of(id, 64, 100);

		submit(&fixture, &request);
	}
	run_idle(&fixture);
	alone = fixture.now;
	for (uint64_t id = 2; id <= 17; id++) {
		dff_engine_request_t request = request_of(id, 64, 100);

		submit(&fixture, &request);
	}
	run_idle(&fixture);
	ck_assert_int_gt(fixture.now - alone, alone * 5 / 4);
	ck_assert_int_lt(fixture.now - alone, alone * 4);
	fixture_drop(&fixture);
}
END_TEST

START_TEST(admission_waits_for_pieces)
{
	dff_engine_config_t config;
	fixture_t fixture;
	dff_engine_report_t report;

	dff_engine_config_defaults(&config);
	config.pieces = 10;
	config.report_lag = 0;
	config.report_period = 0;
	fixture = fixture_new(&config);
	for (uint64_t id = 1; id <= 3; id++) {
		dff_engine_request_t request = request_of(id, 192, 64);

		ck_assert_int_eq(
		    submit(&fixture, &request), DFF_ENGINE_ACCEPTED);
	}
	run_until(&fixture, dff_engine_model_next(fixture.model));
	dff_engine_model_report(fixture.model, fixture.now, &report);
	ck_assert_uint_eq(report.running, 2);
	ck_assert_uint_eq(report.waiting, 1);
	ck_assert_uint_eq(report.free_pieces, 2);
	run_idle(&fixture);
	ck_assert_uint_eq(count_out(&fixture, DFF_ENGINE_OUT_END, 3), 1);
	dff_engine_model_report(fixture.model, fixture.now, &report);
	ck_assert_uint_eq(report.free_pieces, 10);
	fixture_drop(&fixture);
}
END_TEST

START_TEST(urgent_request_runs_first)
{
	dff_engine_config_t config;
	fixture_t fixture;
	dff_engine_request_t low = request_of(1, 64, 10);
	dff_engine_request_t low2 = request_of(2, 64, 10);
	dff_engine_request_t high = request_of(3, 64, 10);
	const dff_engine_out_t *end2;
	const dff_engine_out_t *end3;

	dff_engine_config_defaults(&config);
	config.batch_max = 1;
	fixture = fixture_new(&config);
	low.priority = low2.priority = 5;
	submit(&fixture, &low);
	submit(&fixture, &low2);
	submit(&fixture, &high);
	run_idle(&fixture);
	end2 = find_out(&fixture, DFF_ENGINE_OUT_END, 2);
	end3 = find_out(&fixture, DFF_ENGINE_OUT_END, 3);
	ck_assert(end3 < end2);
	fixture_drop(&fixture);
}
END_TEST

START_TEST(prefix_cache_saves_prefill)
{
	dff_engine_config_t config;
	fixture_t fixture;
	uint64_t hashes[DFF_PREFIX_BLOCKS_MAX];
	char prompt[DFF_PREFIX_BLOCK_BYTES * 10 + 4];
	dff_engine_request_t request = request_of(1, 641, 10);
	GArray *stored = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t last;
	bool gap;

	dff_engine_config_defaults(&config);
	config.cache_loss = 0;
	fixture = fixture_new(&config);
	memset(prompt, 'x', sizeof(prompt));
	request.prefix = hashes;
	request.prefix_count = dff_model_prefix(prompt, sizeof(prompt), hashes);
	ck_assert_uint_eq(request.prefix_count, 10);
	submit(&fixture, &request);
	run_idle(&fixture);
	request.id = 2;
	submit(&fixture, &request);
	run_idle(&fixture);
	ck_assert_uint_eq(
	    find_out(&fixture, DFF_ENGINE_OUT_END, 1)->cached_tokens, 0);
	ck_assert_uint_eq(
	    find_out(&fixture, DFF_ENGINE_OUT_END, 2)->cached_tokens, 640);
	last = dff_engine_model_cache_events(
	    fixture.model, 0, 0, stored, evicted, &gap);
	ck_assert_uint_eq(last, 0);
	last = dff_engine_model_cache_events(
	    fixture.model, 0, fixture.now + DFF_SEC, stored, evicted, &gap);
	ck_assert_uint_eq(last, 10);
	ck_assert_uint_eq(stored->len, 10);
	ck_assert(!gap);
	g_array_unref(stored);
	g_array_unref(evicted);
	fixture_drop(&fixture);
}
END_TEST

START_TEST(cache_evicts_and_events_have_gaps)
{
	dff_engine_config_t config;
	fixture_t fixture;
	GArray *stored = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *evicted = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	bool gap;

	dff_engine_config_defaults(&config);
	config.pieces = 20;
	config.cache_loss = 0.5;
	fixture = fixture_new(&config);
	for (uint64_t id = 1; id <= 10; id++) {
		uint64_t hashes[5] = {id * 10, id * 10 + 1, id * 10 + 2,
		    id * 10 + 3, id * 10 + 4};
		dff_engine_request_t request = request_of(id, 320, 10);

		request.prefix = hashes;
		request.prefix_count = 5;
		submit(&fixture, &request);
		run_idle(&fixture);
	}
	dff_engine_model_cache_events(fixture.model, 0,
	    fixture.now + 10 * DFF_SEC, stored, evicted, &gap);
	ck_assert(gap);
	ck_assert_uint_gt(evicted->len, 0);
	ck_assert_uint_lt(stored->len, 50);
	g_array_unref(stored);
	g_array_unref(evicted);
	fixture_drop(&fixture);
}
END_TEST

START_TEST(cancel_frees_pieces)
{
	dff_engine_config_t config;
	fixture_t fixture;
	dff_engine_request_t request = request_of(1, 640, 640);
	dff_engine_state_t state;

	dff_engine_config_defaults(&config);
	fixture = fixture_new(&config);
	submit(&fixture, &request);
	run_until(&fixture, 100 * DFF_MSEC);
	dff_engine_model_cancel(fixture.model, 1, fixture.now);
	dff_engine_model_state(fixture.model, &state);
	ck_assert_uint_eq(state.running, 0);
	run_idle(&fixture);
	ck_assert_uint_eq(count_out(&fixture, DFF_ENGINE_OUT_END, 1), 0);
	fixture_drop(&fixture);
}
END_TEST

START_TEST(old_fence_is_refused_only_where_checked)
{
	dff_engine_config_t config;

	dff_engine_config_defaults(&config);
	for (int check = 0; check < 2; check++) {
		fixture_t fixture;

		config.check_fence = check == 1;
		fixture = fixture_new(&config);
		ck_assert_int_eq(
		    order_role(&fixture, 10, 5, "prefill"), DFF_ORDER_ACCEPTED);
		run_idle(&fixture);
		ck_assert_int_eq(order_role(&fixture, 9, 4, "decode"),
		    check == 1 ? DFF_ORDER_FENCED : DFF_ORDER_ACCEPTED);
		fixture_drop(&fixture);
	}
}
END_TEST

START_TEST(repeated_order_is_carried_out_once)
{
	dff_engine_config_t config;
	fixture_t fixture;
	const dff_engine_journal_entry_t *entries;
	dff_engine_state_t state;
	dff_engine_request_t request = request_of(1, 64, 10);
	size_t count;

	dff_engine_config_defaults(&config);
	fixture = fixture_new(&config);
	ck_assert_int_eq(
	    order_role(&fixture, 10, 5, "prefill"), DFF_ORDER_ACCEPTED);
	ck_assert_int_eq(
	    order_role(&fixture, 10, 5, "prefill"), DFF_ORDER_ACCEPTED);
	ck_assert_int_eq(order_role(&fixture, 11, 5, "decode"), DFF_ORDER_BUSY);
	ck_assert_int_eq(submit(&fixture, &request), DFF_ENGINE_UNAVAILABLE);
	run_idle(&fixture);
	dff_engine_model_state(fixture.model, &state);
	ck_assert_int_eq(state.role, DFF_ROLE_PREFILL);
	ck_assert_uint_eq(state.last_order, 10);
	ck_assert_int_eq(submit(&fixture, &request), DFF_ENGINE_WRONG_ROLE);
	ck_assert_int_eq(
	    order_role(&fixture, 12, 5, "chief"), DFF_ORDER_REFUSED);
	entries = dff_engine_model_journal(fixture.model, &count);
	ck_assert_uint_eq(count, 5);
	ck_assert(entries[1].repeated);
	ck_assert_int_eq(entries[3].type, DFF_ENGINE_JOURNAL_ORDER_DONE);
	fixture_drop(&fixture);
}
END_TEST

START_TEST(order_is_busy_or_aborts_requests)
{
	dff_engine_config_t config;
	fixture_t fixture;
	dff_engine_request_t request = request_of(1, 64, 1000);

	dff_engine_config_defaults(&config);
	fixture = fixture_new(&config);
	submit(&fixture, &request);
	ck_assert_int_eq(order_role(&fixture, 1, 1, "decode"), DFF_ORDER_BUSY);
	dff_engine_model_config(fixture.model)->abort_on_order = true;
	ck_assert_int_eq(
	    order_role(&fixture, 1, 1, "decode"), DFF_ORDER_ACCEPTED);
	ck_assert_uint_eq(count_out(&fixture, DFF_ENGINE_OUT_ABORTED, 1), 1);
	fixture_drop(&fixture);
}
END_TEST

START_TEST(model_load_waits_for_weight_store)
{
	dff_engine_config_t config;
	fixture_t fixture;
	dff_engine_state_t state;

	dff_engine_config_defaults(&config);
	fixture = fixture_new(&config);
	ck_assert_int_eq(dff_engine_model_order(fixture.model, 1, 1,
			     DFF_ORDER_MODEL, "other", 0, fixture.out),
	    DFF_ORDER_ACCEPTED);
	run_until(&fixture, 0);
	ck_assert_uint_eq(
	    count_out(&fixture, DFF_ENGINE_OUT_LOAD_REQUEST, 0), 1);
	dff_engine_model_load_reply(fixture.model, DFF_SEC, 0);
	run_until(&fixture, DFF_SEC);
	ck_assert_uint_eq(
	    count_out(&fixture, DFF_ENGINE_OUT_LOAD_REQUEST, 0), 2);
	dff_engine_model_load_reply(fixture.model, 0, DFF_SEC);
	run_idle(&fixture);
	ck_assert_int_eq(fixture.now, DFF_SEC + config.load_downtime);
	dff_engine_model_state(fixture.model, &state);
	ck_assert_str_eq(state.model, "other");
	fixture_drop(&fixture);
}
END_TEST

START_TEST(poison_aborts_all_and_engine_restarts)
{
	dff_engine_config_t config;
	fixture_t fixture;
	dff_engine_request_t bystander = request_of(1, 64, 1000);
	dff_engine_request_t poison_request = request_of(2, 64, 10);
	dff_engine_state_t state;
	dff_engine_report_t report;

	dff_engine_config_defaults(&config);
	fixture = fixture_new(&config);
	poison_request.poison = true;
	submit(&fixture, &bystander);
	submit(&fixture, &poison_request);
	run_until(&fixture, DFF_SEC);
	ck_assert(!dff_engine_model_up(fixture.model));
	ck_assert_uint_eq(count_out(&fixture, DFF_ENGINE_OUT_ABORTED, 1), 1);
	ck_assert_uint_eq(count_out(&fixture, DFF_ENGINE_OUT_ABORTED, 2), 1);
	ck_assert_int_eq(submit(&fixture, &bystander), DFF_ENGINE_UNAVAILABLE);
	run_idle(&fixture);
	ck_assert(dff_engine_model_up(fixture.model));
	dff_engine_model_state(fixture.model, &state);
	ck_assert_uint_eq(state.incarnation, 2);
	ck_assert_uint_eq(state.running, 0);
	/* The first report is from the new incarnation, despite the lag. */
	dff_engine_model_report(fixture.model, fixture.now, &report);
	ck_assert_uint_eq(report.incarnation, 2);
	ck_assert_int_eq(submit(&fixture, &bystander), DFF_ENGINE_ACCEPTED);
	fixture_drop(&fixture);
}
END_TEST

START_TEST(crash_while_reconfiguring_keeps_old_role)
{
	dff_engine_config_t config;
	fixture_t fixture;
	dff_engine_state_t state;

	dff_engine_config_defaults(&config);
	fixture = fixture_new(&config);
	dff_engine_model_crash_next_reconfig(fixture.model);
	order_role(&fixture, 1, 1, "prefill");
	run_idle(&fixture);
	dff_engine_model_state(fixture.model, &state);
	ck_assert_int_eq(state.role, DFF_ROLE_MIXED);
	ck_assert_uint_eq(state.incarnation, 2);
	ck_assert(!state.reconfiguring);
	fixture_drop(&fixture);
}
END_TEST

START_TEST(kv_cache_moves_from_prefill_to_decode)
{
	dff_engine_config_t config;
	fixture_t from;
	fixture_t to;
	dff_engine_request_t request = request_of(1, 640, 20);
	uint32_t pieces;
	dff_time_t export_time;

	dff_engine_config_defaults(&config);
	from = fixture_new(&config);
	to = fixture_new(&config);
	request.phase = DFF_PHASE_PREFILL;
	submit(&from, &request);
	run_until(&from, DFF_SEC);
	ck_assert_uint_eq(count_out(&from, DFF_ENGINE_OUT_TOKEN, 1), 0);
	ck_assert_uint_eq(count_out(&from, DFF_ENGINE_OUT_END, 1), 1);
	export_time = dff_engine_model_export(from.model, 1, from.now, &pieces);
	ck_assert_int_eq(export_time, (dff_time_t)(10 * config.kv_piece_us));
	ck_assert_int_eq(
	    dff_engine_model_export(from.model, 1, from.now, &pieces), -ENOENT);
	ck_assert_int_lt(dff_engine_model_transfer_time(to.model, pieces, true),
	    dff_engine_model_transfer_time(to.model, pieces, false));
	request.phase = DFF_PHASE_DECODE;
	submit(&to, &request);
	run_idle(&to);
	ck_assert_uint_eq(to.out->len, 0);
	ck_assert_int_eq(
	    dff_engine_model_import(to.model, 1, pieces, to.now), 0);
	run_idle(&to);
	ck_assert_uint_eq(count_out(&to, DFF_ENGINE_OUT_TOKEN, 1), 20);
	fixture_drop(&from);
	fixture_drop(&to);
}
END_TEST

START_TEST(reports_lag)
{
	dff_engine_config_t config;
	fixture_t fixture;
	dff_engine_request_t request = request_of(1, 64, 1000);
	dff_engine_report_t report;

	dff_engine_config_defaults(&config);
	config.report_lag = 2 * DFF_SEC;
	fixture = fixture_new(&config);
	run_until(&fixture, 10 * DFF_SEC);
	submit(&fixture, &request);
	run_until(&fixture, 11 * DFF_SEC);
	dff_engine_model_report(fixture.model, fixture.now, &report);
	ck_assert_uint_eq(report.running, 0);
	ck_assert_int_eq(report.sampled_at, 9 * DFF_SEC);
	run_until(&fixture, 12 * DFF_SEC + 200 * DFF_MSEC);
	dff_engine_model_report(fixture.model, fixture.now, &report);
	ck_assert_uint_eq(report.running, 1);
	fixture_drop(&fixture);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("engine_model");
	TCase *tcase = tcase_create("engine_model");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, answer_is_complete_and_in_order);
	tcase_add_test(tcase, resume_starts_at_given_token);
	tcase_add_test(tcase, text_depends_on_prompt_and_index_only);
	tcase_add_test(tcase, step_time_grows_with_the_batch);
	tcase_add_test(tcase, admission_waits_for_pieces);
	tcase_add_test(tcase, urgent_request_runs_first);
	tcase_add_test(tcase, prefix_cache_saves_prefill);
	tcase_add_test(tcase, cache_evicts_and_events_have_gaps);
	tcase_add_test(tcase, cancel_frees_pieces);
	tcase_add_test(tcase, old_fence_is_refused_only_where_checked);
	tcase_add_test(tcase, repeated_order_is_carried_out_once);
	tcase_add_test(tcase, order_is_busy_or_aborts_requests);
	tcase_add_test(tcase, model_load_waits_for_weight_store);
	tcase_add_test(tcase, poison_aborts_all_and_engine_restarts);
	tcase_add_test(tcase, crash_while_reconfiguring_keeps_old_role);
	tcase_add_test(tcase, kv_cache_moves_from_prefill_to_decode);
	tcase_add_test(tcase, reports_lag);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
