/*
 * Complete events of a stream, wherever its bytes are split.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "relay/internal.h"

static size_t
complete_len(const char *text, size_t len, int64_t *last)
{
	GByteArray *bytes = g_byte_array_new();
	size_t complete;

	g_byte_array_append(bytes, (const guint8 *)text, (guint)len);
	complete = events_complete_len(bytes, last);
	g_byte_array_unref(bytes);
	return complete;
}

START_TEST(every_cut_yields_only_complete_events)
{
	const char *text = "x-weight-versions: 2\nid: 1\ndata: a\n\n"
			   "id: 22\ndata: id: 7\n\n";
	const size_t first = strlen("x-weight-versions: 2\nid: 1\ndata: a\n\n");
	const size_t all = strlen(text);

	for (size_t len = 0; len <= all; len++) {
		int64_t last = -1;
		size_t complete = complete_len(text, len, &last);
		size_t want = len < first ? 0 : len < all ? first : all;

		ck_assert_uint_eq(complete, want);
		ck_assert_int_eq(last, want == 0 ? -1 : want == first ? 1 : 22);
	}
}
END_TEST

START_TEST(crlf_blank_lines_end_events)
{
	const char *text = "id: 3\r\ndata: a\r\n\r\nid: 4\r\n";
	int64_t last = -1;

	ck_assert_uint_eq(complete_len(text, strlen(text), &last),
	    strlen("id: 3\r\ndata: a\r\n\r\n"));
	ck_assert_int_eq(last, 3);
}
END_TEST

START_TEST(event_without_id_keeps_the_last_id)
{
	int64_t last = 5;

	ck_assert_uint_eq(complete_len(": beat\n\n", 8, &last), 8);
	ck_assert_int_eq(last, 5);
}
END_TEST

START_TEST(bytes_count_from_the_last_complete_event)
{
	partial_event_t tail = {0};

	events_track(&tail, "id: 1\ndata: a\n", 14);
	ck_assert_uint_eq(tail.bytes, 14);
	events_track(&tail, "\ndata", 5);
	ck_assert_uint_eq(tail.bytes, 4);
	events_track(&tail, ": b\r\n\r\n", 7);
	ck_assert_uint_eq(tail.bytes, 0);
	/* Empty lines are no events. */
	events_track(&tail, "\n\n\n\n\n\n", 6);
	ck_assert_uint_eq(tail.bytes, 6);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_events");
	TCase *tcase = tcase_create("relay_events");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, every_cut_yields_only_complete_events);
	tcase_add_test(tcase, crlf_blank_lines_end_events);
	tcase_add_test(tcase, event_without_id_keeps_the_last_id);
	tcase_add_test(tcase, bytes_count_from_the_last_complete_event);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
