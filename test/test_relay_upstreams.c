/*
 * Records of upstreams that arrive late, twice, after a restart or not at all,
 * and the prompt parts that engines are believed to cache.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "relay/upstream.h"

static upstreams_t *ups;
static dff_handle_t handle;

static void
setup(void)
{
	ups = upstreams_new();
}

static void
teardown(void)
{
	upstreams_drop(ups);
}

static record_effect_t
apply_record(uint64_t born, uint64_t seq, bool leaving, bool gone,
    dff_time_t settled_at, dff_time_t now)
{
	dff_upstream_record_t record = {.id = "u",
	    .pool = "p",
	    .addr = "10.0.0.1:80",
	    .domain = "a",
	    .slots = 4,
	    .started_ms = born,
	    .seq = seq,
	    .leaving = leaving,
	    .removed = gone};

	return upstreams_apply_record(ups, &record, settled_at, now, &handle);
}

static bool
takes_work(dff_time_t now)
{
	return upstream_takes_work(upstreams_get(ups, handle), now);
}

START_TEST(old_record_changes_nothing)
{
	ck_assert_int_eq(apply_record(5, 10, false, false, 0, 0), RECORD_ADDED);
	ck_assert_int_eq(
	    apply_record(5, 11, true, false, 0, 0), RECORD_LEAVING);
	ck_assert_int_eq(
	    apply_record(5, 9, false, false, 0, 0), RECORD_OUTDATED);
	ck_assert(!takes_work(1));
	/* A leaving upstream does not return under the same start. */
	ck_assert_int_eq(apply_record(5, 12, false, false, 0, 0), RECORD_SAME);
	ck_assert(!takes_work(1));
}
END_TEST

START_TEST(old_record_does_not_restore_removed_upstream)
{
	(void)apply_record(5, 10, false, false, 0, 0);
	ck_assert_int_eq(apply_record(0, 0, false, true, 0, 1), RECORD_GONE);
	ck_assert_int_eq(
	    apply_record(5, 10, false, false, 0, 2), RECORD_OUTDATED);
	ck_assert(!takes_work(2));
}
END_TEST

START_TEST(restart_under_same_id_resets_state)
{
	const dff_prompt_t prompt = {
	    .parts = {{1, 100}}, .count = 1, .tokens = 100};

	(void)apply_record(5, 10, true, false, 0, 0);
	upstream_cache_prompt(upstreams_get(ups, handle), &prompt, 10000, 0);
	ck_assert_uint_eq(
	    upstream_cached_tokens(upstreams_get(ups, handle), &prompt), 100);
	ck_assert_int_eq(
	    apply_record(6, 1, false, false, 0, 1), RECORD_RESTARTED);
	ck_assert(takes_work(1));
	ck_assert_uint_eq(
	    upstream_cached_tokens(upstreams_get(ups, handle), &prompt), 0);
	ck_assert_int_eq(
	    apply_record(5, 99, false, false, 0, 2), RECORD_OUTDATED);
}
END_TEST

START_TEST(missing_upstream_is_kept_for_a_while_after_outage)
{
	(void)apply_record(5, 10, false, false, 0, 0);
	ck_assert_int_eq(apply_record(0, 0, false, true, 2 * DFF_SEC, DFF_SEC),
	    RECORD_MISSING);
	ck_assert(takes_work(DFF_SEC));
	ck_assert(!takes_work(2 * DFF_SEC));
	ck_assert_int_eq(
	    apply_record(5, 11, false, false, 2 * DFF_SEC, DFF_SEC),
	    RECORD_SAME);
	ck_assert(takes_work(3 * DFF_SEC));
}
END_TEST

START_TEST(leaving_upstream_that_is_missing_is_gone_at_once)
{
	(void)apply_record(5, 10, true, false, 0, 0);
	ck_assert_int_eq(
	    apply_record(0, 0, false, true, 2 * DFF_SEC, DFF_SEC), RECORD_GONE);
	ck_assert(!takes_work(DFF_SEC));
}
END_TEST

START_TEST(backoff_of_unreachable_upstream_doubles)
{
	upstream_t *up;

	(void)apply_record(5, 10, false, false, 0, 0);
	up = upstreams_get(ups, handle);
	upstream_note_unreachable(up, 0);
	ck_assert(!takes_work(400 * DFF_MSEC));
	ck_assert(takes_work(500 * DFF_MSEC));
	upstream_note_unreachable(up, DFF_SEC);
	ck_assert(!takes_work(1900 * DFF_MSEC));
	ck_assert(takes_work(2 * DFF_SEC));
	upstream_note_result(up, true);
	upstream_note_unreachable(up, 3 * DFF_SEC);
	ck_assert(takes_work(3500 * DFF_MSEC));
}
END_TEST

START_TEST(part_counts_only_after_all_preceding_parts)
{
	const dff_prompt_t both = {
	    .parts = {{1, 100}, {2, 50}}, .count = 2, .tokens = 150};
	const dff_prompt_t other = {
	    .parts = {{3, 100}, {2, 50}}, .count = 2, .tokens = 150};
	const dff_prompt_t longer = {
	    .parts = {{1, 100}, {2, 50}, {9, 70}}, .count = 3, .tokens = 220};
	upstream_t *up;

	(void)apply_record(5, 10, false, false, 0, 0);
	up = upstreams_get(ups, handle);
	upstream_cache_prompt(up, &both, 10000, 0);
	ck_assert_uint_eq(upstream_cached_tokens(up, &both), 150);
	ck_assert_uint_eq(upstream_cached_tokens(up, &other), 0);
	ck_assert_uint_eq(upstream_cached_tokens(up, &longer), 150);
}
END_TEST

/* A part that is still being read cannot be fetched yet. */
START_TEST(part_can_be_fetched_once_it_was_read)
{
	const dff_prompt_t prompt = {
	    .parts = {{1, 100}, {2, 50}}, .count = 2, .tokens = 150};
	upstream_t *up;

	(void)apply_record(5, 10, false, false, 0, 0);
	up = upstreams_get(ups, handle);
	upstream_cache_prompt(up, &prompt, 10000, 0);
	ck_assert_uint_eq(upstream_cached_tokens(up, &prompt), 150);
	ck_assert_uint_eq(upstream_fetchable_tokens(up, &prompt, DFF_MSEC), 0);
	upstream_note_prompt_read(up, &prompt, 50 * DFF_MSEC);
	ck_assert_uint_eq(
	    upstream_fetchable_tokens(up, &prompt, 49 * DFF_MSEC), 0);
	ck_assert_uint_eq(
	    upstream_fetchable_tokens(up, &prompt, 50 * DFF_MSEC), 150);
	/* It can still be fetched while it is requested again. */
	upstream_cache_prompt(up, &prompt, 10000, DFF_SEC);
	ck_assert_uint_eq(upstream_fetchable_tokens(up, &prompt, DFF_SEC), 150);
}
END_TEST

/* Peers report parts given to an engine, not when it has read them. */
START_TEST(part_reported_by_peer_can_be_fetched_after_read_time)
{
	const dff_prompt_t prompt = {
	    .parts = {{1, 100}}, .count = 1, .tokens = 100};
	upstream_t *up;

	(void)apply_record(5, 10, false, false, 0, 0);
	up = upstreams_get(ups, handle);
	upstream_cache_part(up, 1, 100, 10000, 0);
	ck_assert_uint_eq(
	    upstream_fetchable_tokens(up, &prompt, 100 * DFF_MSEC), 0);
	ck_assert_uint_eq(upstream_fetchable_tokens(up, &prompt, DFF_SEC), 100);
}
END_TEST

START_TEST(parts_listed_by_engine_can_be_fetched_at_once)
{
	const dff_prompt_t prompt = {
	    .parts = {{1, 100}, {2, 50}, {3, 10}}, .count = 3, .tokens = 160};
	const dff_part_t named[] = {{1, 100}, {2, 30}, {3, 10}};
	upstream_t *up;

	(void)apply_record(5, 10, false, false, 0, 0);
	up = upstreams_get(ups, handle);
	upstream_load_cache(up, named, 3, 10000, DFF_SEC);
	/* Part of the second part is missing, so that the third is of no
	 * use. */
	ck_assert_uint_eq(upstream_fetchable_tokens(up, &prompt, DFF_SEC), 130);
}
END_TEST

START_TEST(least_recently_used_part_is_evicted)
{
	dff_prompt_t prompt = {.count = 1, .tokens = 100};
	upstream_t *up;

	(void)apply_record(5, 10, false, false, 0, 0);
	up = upstreams_get(ups, handle);
	for (uint64_t id = 1; id <= 20; id++) {
		prompt.parts[0] = (dff_part_t){id, 100};
		upstream_cache_prompt(up, &prompt, 1000, (dff_time_t)id);
	}
	ck_assert_uint_le(up->cached_tokens, 1000);
	ck_assert_uint_eq(upstream_cached_tokens(up, &prompt), 100);
	prompt.parts[0] = (dff_part_t){1, 100};
	ck_assert_uint_eq(upstream_cached_tokens(up, &prompt), 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_upstreams");
	TCase *tcase = tcase_create("relay_upstreams");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, old_record_changes_nothing);
	tcase_add_test(tcase, old_record_does_not_restore_removed_upstream);
	tcase_add_test(tcase, restart_under_same_id_resets_state);
	tcase_add_test(
	    tcase, missing_upstream_is_kept_for_a_while_after_outage);
	tcase_add_test(tcase, leaving_upstream_that_is_missing_is_gone_at_once);
	tcase_add_test(tcase, backoff_of_unreachable_upstream_doubles);
	tcase_add_test(tcase, part_counts_only_after_all_preceding_parts);
	tcase_add_test(tcase, part_can_be_fetched_once_it_was_read);
	tcase_add_test(
	    tcase, part_reported_by_peer_can_be_fetched_after_read_time);
	tcase_add_test(tcase, parts_listed_by_engine_can_be_fetched_at_once);
	tcase_add_test(tcase, least_recently_used_part_is_evicted);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
