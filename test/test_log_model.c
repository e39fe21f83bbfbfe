#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/model_log.h"

static dff_log_model_t *
log_new(void)
{
	dff_log_config_t config;

	dff_log_config_defaults(&config);
	return dff_log_model_new(&config);
}

static dff_log_status_t
append(dff_log_model_t *log, const char *text, dff_time_t now, uint64_t *offset)
{
	return dff_log_model_append(
	    log, DFF_STREAM_CLAIMS, text, strlen(text), now, offset);
}

static dff_log_range_t
range_of(dff_log_model_t *log, dff_time_t now)
{
	dff_log_range_t range = {0, 0};

	ck_assert_int_eq(
	    dff_log_model_range(log, DFF_STREAM_CLAIMS, now, &range),
	    DFF_LOG_OK);
	return range;
}

START_TEST(offsets_grow_per_stream)
{
	dff_log_model_t *log = log_new();
	dff_log_entry_t entry;
	uint64_t offset;

	ck_assert_int_eq(append(log, "a", 0, &offset), DFF_LOG_OK);
	ck_assert_uint_eq(offset, 1);
	append(log, "bc", 5 * DFF_MSEC, &offset);
	ck_assert_uint_eq(offset, 2);
	dff_log_model_append(log, DFF_STREAM_CATALOGUE, "x", 1, 0, &offset);
	ck_assert_uint_eq(offset, 1);
	ck_assert(dff_log_model_get(log, DFF_STREAM_CLAIMS, 2, &entry));
	ck_assert_uint_eq(entry.len, 2);
	ck_assert_int_eq(memcmp(entry.data, "bc", 2), 0);
	ck_assert_uint_eq(
	    entry.time_ms, dff_log_model_config(log)->wall_start_ms + 5);
	ck_assert(!dff_log_model_get(log, DFF_STREAM_CLAIMS, 3, &entry));
	dff_log_model_drop(log);
}
END_TEST

START_TEST(records_past_retention_are_dropped)
{
	dff_log_model_t *log = log_new();
	dff_log_entry_t entry;
	dff_log_range_t range;
	uint64_t offset;

	dff_log_model_config(log)->retention = 10 * DFF_SEC;
	append(log, "a", 0, &offset);
	append(log, "b", 5 * DFF_SEC, &offset);
	range = range_of(log, 9 * DFF_SEC);
	ck_assert_uint_eq(range.first, 1);
	range = range_of(log, 11 * DFF_SEC);
	ck_assert_uint_eq(range.first, 2);
	ck_assert(!dff_log_model_get(log, DFF_STREAM_CLAIMS, 1, &entry));
	range = range_of(log, 20 * DFF_SEC);
	ck_assert_uint_eq(range.first, 3);
	ck_assert_uint_eq(range.next, 3);
	append(log, "c", 20 * DFF_SEC, &offset);
	ck_assert_uint_eq(offset, 3);
	dff_log_model_drop(log);
}
END_TEST

START_TEST(appends_are_rate_limited)
{
	dff_log_model_t *log = log_new();
	uint64_t offset;
	int accepted = 0;

	for (int ms = 0; ms < 2000; ms++)
		accepted +=
		    append(log, "a", ms * DFF_MSEC, &offset) == DFF_LOG_OK;
	ck_assert_int_ge(accepted, 890);
	ck_assert_int_le(accepted, 900);
	dff_log_model_drop(log);
}
END_TEST

START_TEST(append_in_outage_has_no_effect)
{
	dff_log_model_t *log = log_new();
	dff_log_range_t range;
	uint64_t offset;

	dff_log_model_set_outage(log, true, true);
	ck_assert_int_eq(append(log, "a", 0, &offset), DFF_LOG_UNAVAILABLE);
	ck_assert_int_eq(dff_log_model_range(log, DFF_STREAM_CLAIMS, 0, &range),
	    DFF_LOG_UNAVAILABLE);
	dff_log_model_set_outage(log, false, false);
	ck_assert_uint_eq(range_of(log, 0).next, 1);
	dff_log_model_drop(log);
}
END_TEST

START_TEST(append_with_lost_answer_takes_effect)
{
	dff_log_model_t *log = log_new();
	uint64_t offset;

	dff_log_model_lose_answers(log, 1);
	ck_assert_int_eq(append(log, "a", 0, &offset), DFF_LOG_NO_ANSWER);
	ck_assert_uint_eq(range_of(log, 0).next, 2);
	ck_assert_int_eq(append(log, "b", 0, &offset), DFF_LOG_OK);
	dff_log_model_drop(log);
}
END_TEST

START_TEST(delayed_append_takes_effect_later)
{
	dff_log_model_t *log = log_new();
	uint64_t offset;

	dff_log_model_delay_appends(log, 1, 3 * DFF_SEC);
	ck_assert_int_eq(append(log, "a", 0, &offset), DFF_LOG_NO_ANSWER);
	ck_assert_int_eq(append(log, "b", DFF_SEC, &offset), DFF_LOG_OK);
	ck_assert_uint_eq(offset, 1);
	ck_assert_int_eq(dff_log_model_next(log), 3 * DFF_SEC);
	ck_assert_uint_eq(dff_log_model_advance(log, 2 * DFF_SEC), 0);
	ck_assert_uint_eq(dff_log_model_advance(log, 3 * DFF_SEC), 1);
	ck_assert_uint_eq(range_of(log, 3 * DFF_SEC).next, 3);
	ck_assert_int_eq(dff_log_model_next(log), DFF_TIME_NEVER);
	dff_log_model_drop(log);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("log_model");
	TCase *tcase = tcase_create("log_model");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, offsets_grow_per_stream);
	tcase_add_test(tcase, records_past_retention_are_dropped);
	tcase_add_test(tcase, appends_are_rate_limited);
	tcase_add_test(tcase, append_in_outage_has_no_effect);
	tcase_add_test(tcase, append_with_lost_answer_takes_effect);
	tcase_add_test(tcase, delayed_append_takes_effect_later);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
