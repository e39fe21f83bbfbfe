/*
 * Records of upstreams that come late, twice, after a restart or not at
 * all, and what engines are believed to keep.
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

static news_effect_t
load(uint64_t born, uint64_t seq, bool leaving, bool gone,
    dff_time_t settled_at, dff_time_t now)
{
	dff_upstream_record_t news = {.id = "u",
	    .pool = "p",
	    .addr = "10.0.0.1:80",
	    .domain = "a",
	    .slots = 4,
	    .started_ms = born,
	    .seq = seq,
	    .leaving = leaving,
	    .removed = gone};

	return upstreams_load(ups, &news, settled_at, now, &handle);
}

static bool
takes_work(dff_time_t now)
{
	return upstream_takes_work(upstreams_get(ups, handle), now);
}

START_TEST(old_record_changes_nothing)
{
	ck_assert_int_eq(load(5, 10, false, false, 0, 0), NEWS_ADDED);
	ck_assert_int_eq(load(5, 11, true, false, 0, 0), NEWS_LEAVING);
	ck_assert_int_eq(load(5, 9, false, false, 0, 0), NEWS_NOTHING);
	ck_assert(!takes_work(1));
	/* Who said that it leaves does not return under the same start. */
	ck_assert_int_eq(load(5, 12, false, false, 0, 0), NEWS_SAME);
	ck_assert(!takes_work(1));
}
END_TEST

START_TEST(old_record_does_not_bring_the_dead_back)
{
	(void)load(5, 10, false, false, 0, 0);
	ck_assert_int_eq(load(0, 0, false, true, 0, 1), NEWS_GONE);
	ck_assert_int_eq(load(5, 10, false, false, 0, 2), NEWS_NOTHING);
	ck_assert(!takes_work(2));
}
END_TEST

START_TEST(new_start_under_an_old_id_knows_nothing)
{
	const dff_prompt_t prompt = {
	    .parts = {{1, 100}}, .count = 1, .tokens = 100};

	(void)load(5, 10, true, false, 0, 0);
	upstream_cache_prompt(upstreams_get(ups, handle), &prompt, 10000, 0);
	ck_assert_uint_eq(
	    upstream_cached_tokens(upstreams_get(ups, handle), &prompt), 100);
	ck_assert_int_eq(load(6, 1, false, false, 0, 1), NEWS_RESTARTED);
	ck_assert(takes_work(1));
	ck_assert_uint_eq(
	    upstream_cached_tokens(upstreams_get(ups, handle), &prompt), 0);
	ck_assert_int_eq(load(5, 99, false, false, 0, 2), NEWS_NOTHING);
}
END_TEST

START_TEST(missing_after_an_outage_holds_for_a_while)
{
	(void)load(5, 10, false, false, 0, 0);
	ck_assert_int_eq(
	    load(0, 0, false, true, 2 * DFF_SEC, DFF_SEC), NEWS_MISSING);
	ck_assert(takes_work(DFF_SEC));
	ck_assert(!takes_work(2 * DFF_SEC));
	ck_assert_int_eq(
	    load(5, 11, false, false, 2 * DFF_SEC, DFF_SEC), NEWS_SAME);
	ck_assert(takes_work(3 * DFF_SEC));
}
END_TEST

START_TEST(leaving_one_that_goes_missing_is_gone_at_once)
{
	(void)load(5, 10, true, false, 0, 0);
	ck_assert_int_eq(
	    load(0, 0, false, true, 2 * DFF_SEC, DFF_SEC), NEWS_GONE);
	ck_assert(!takes_work(DFF_SEC));
}
END_TEST

START_TEST(unreachable_one_is_shunned_ever_longer)
{
	upstream_t *up;

	(void)load(5, 10, false, false, 0, 0);
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

START_TEST(part_counts_only_behind_all_before_it)
{
	const dff_prompt_t both = {
	    .parts = {{1, 100}, {2, 50}}, .count = 2, .tokens = 150};
	const dff_prompt_t other = {
	    .parts = {{3, 100}, {2, 50}}, .count = 2, .tokens = 150};
	const dff_prompt_t longer = {
	    .parts = {{1, 100}, {2, 50}, {9, 70}}, .count = 3, .tokens = 220};
	upstream_t *up;

	(void)load(5, 10, false, false, 0, 0);
	up = upstreams_get(ups, handle);
	upstream_cache_prompt(up, &both, 10000, 0);
	ck_assert_uint_eq(upstream_cached_tokens(up, &both), 150);
	ck_assert_uint_eq(upstream_cached_tokens(up, &other), 0);
	ck_assert_uint_eq(upstream_cached_tokens(up, &longer), 150);
}
END_TEST

/* What is being read cannot be fetched yet. */
START_TEST(part_is_there_for_others_once_it_was_read)
{
	const dff_prompt_t prompt = {
	    .parts = {{1, 100}, {2, 50}}, .count = 2, .tokens = 150};
	upstream_t *up;

	(void)load(5, 10, false, false, 0, 0);
	up = upstreams_get(ups, handle);
	upstream_cache_prompt(up, &prompt, 10000, 0);
	ck_assert_uint_eq(upstream_cached_tokens(up, &prompt), 150);
	ck_assert_uint_eq(upstream_fetchable_tokens(up, &prompt, DFF_MSEC), 0);
	upstream_note_prompt_read(up, &prompt, 50 * DFF_MSEC);
	ck_assert_uint_eq(
	    upstream_fetchable_tokens(up, &prompt, 49 * DFF_MSEC), 0);
	ck_assert_uint_eq(
	    upstream_fetchable_tokens(up, &prompt, 50 * DFF_MSEC), 150);
	/* Asked for again, it is still there. */
	upstream_cache_prompt(up, &prompt, 10000, DFF_SEC);
	ck_assert_uint_eq(upstream_fetchable_tokens(up, &prompt, DFF_SEC), 150);
}
END_TEST

/* Peers tell what they had read, not when it was done. */
START_TEST(part_of_a_peer_is_there_after_some_time)
{
	const dff_prompt_t prompt = {
	    .parts = {{1, 100}}, .count = 1, .tokens = 100};
	upstream_t *up;

	(void)load(5, 10, false, false, 0, 0);
	up = upstreams_get(ups, handle);
	upstream_cache_part(up, 1, 100, 10000, 0);
	ck_assert_uint_eq(
	    upstream_fetchable_tokens(up, &prompt, 100 * DFF_MSEC), 0);
	ck_assert_uint_eq(upstream_fetchable_tokens(up, &prompt, DFF_SEC), 100);
}
END_TEST

START_TEST(parts_that_it_names_are_there_at_once)
{
	const dff_prompt_t prompt = {
	    .parts = {{1, 100}, {2, 50}, {3, 10}}, .count = 3, .tokens = 160};
	const dff_part_t named[] = {{1, 100}, {2, 30}, {3, 10}};
	upstream_t *up;

	(void)load(5, 10, false, false, 0, 0);
	up = upstreams_get(ups, handle);
	upstream_load_cache(up, named, 3, 10000, DFF_SEC);
	/* Half of the second part is gone, so the third is of no use. */
	ck_assert_uint_eq(upstream_fetchable_tokens(up, &prompt, DFF_SEC), 130);
}
END_TEST

START_TEST(least_recently_used_part_yields)
{
	dff_prompt_t prompt = {.count = 1, .tokens = 100};
	upstream_t *up;

	(void)load(5, 10, false, false, 0, 0);
	up = upstreams_get(ups, handle);
	for (uint64_t id = 1; id <= 20; id++) {
		prompt.parts[0] = (dff_part_t){id, 100};
		upstream_cache_prompt(up, &prompt, 1000, (dff_time_t)id);
	}
	ck_assert_uint_le(up->kept_tokens, 1000);
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
	tcase_add_test(tcase, old_record_does_not_bring_the_dead_back);
	tcase_add_test(tcase, new_start_under_an_old_id_knows_nothing);
	tcase_add_test(tcase, missing_after_an_outage_holds_for_a_while);
	tcase_add_test(tcase, leaving_one_that_goes_missing_is_gone_at_once);
	tcase_add_test(tcase, unreachable_one_is_shunned_ever_longer);
	tcase_add_test(tcase, part_counts_only_behind_all_before_it);
	tcase_add_test(tcase, part_is_there_for_others_once_it_was_read);
	tcase_add_test(tcase, part_of_a_peer_is_there_after_some_time);
	tcase_add_test(tcase, parts_that_it_names_are_there_at_once);
	tcase_add_test(tcase, least_recently_used_part_yields);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
