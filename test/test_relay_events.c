/*
 * Complete events of a stream, wherever its bytes are split.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "relay/events.h"

/* Scans a stream in pieces; returns the length of its complete events. */
static size_t
scan_pieces(event_scan_t *scan, const char *text, size_t len, size_t piece)
{
	size_t complete = 0;

	events_begin(scan);
	for (size_t at = 0; at < len; at += piece) {
		size_t size = piece < len - at ? piece : len - at;
		size_t ends = events_scan(scan, text + at, size);

		if (ends > 0)
			complete = at + ends;
	}
	return complete;
}

static size_t
complete_len(const char *text, size_t len, int64_t *last)
{
	event_scan_t scan;
	size_t complete = scan_pieces(&scan, text, len, len);

	for (size_t piece = 1; piece < len; piece++) {
		event_scan_t split;

		ck_assert_uint_eq(
		    scan_pieces(&split, text, len, piece), complete);
		ck_assert_mem_eq(&split, &scan, sizeof(scan));
	}
	*last = scan.last_id;
	ck_assert_uint_eq(scan.partial, len - complete);
	return complete;
}

static bool
ends_inside(const char *text)
{
	event_scan_t scan;

	(void)scan_pieces(&scan, text, strlen(text), strlen(text));
	return events_inside(&scan);
}

START_TEST(every_cut_yields_only_complete_events)
{
	const char *text = "x-weight-versions: 2\nid: 1\ndata: a\n\n"
			   "id: 22\ndata: id: 7\n\n";
	const size_t first = strlen("x-weight-versions: 2\nid: 1\ndata: a\n\n");
	const size_t all = strlen(text);

	for (size_t len = 1; len <= all; len++) {
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

START_TEST(cr_blank_lines_end_events)
{
	const char *text = "id: 3\rdata: a\r\rid: 4\r";
	int64_t last = -1;

	ck_assert_uint_eq(complete_len(text, strlen(text), &last),
	    strlen("id: 3\rdata: a\r\r"));
	ck_assert_int_eq(last, 3);
}
END_TEST

/* Only the LF after the CR of a blank line completes an event. */
START_TEST(crlf_is_not_split_between_events)
{
	const char *text = "id: 3\r\ndata: a\r\n\r";
	int64_t last = -1;

	ck_assert_uint_eq(complete_len(text, strlen(text), &last), 0);
	ck_assert(ends_inside(text));
	ck_assert(!ends_inside("id: 3\r\ndata: a\r\n\r\n"));
	ck_assert(!ends_inside("id: 3\rdata: a\r\r"));
}
END_TEST

START_TEST(event_without_id_keeps_the_last_id)
{
	const char *text = "id: 5\ndata: a\n\n: beat\n\nid:\ndata: b\n\n";
	int64_t last = -1;

	ck_assert_uint_eq(
	    complete_len(text, strlen(text), &last), strlen(text));
	ck_assert_int_eq(last, 5);
}
END_TEST

START_TEST(id_is_read_after_byte_order_mark)
{
	const char *text = "\xef\xbb\xbf"
			   "id:12 x3\n\n";
	int64_t last = -1;

	ck_assert_uint_eq(
	    complete_len(text, strlen(text), &last), strlen(text));
	ck_assert_int_eq(last, 12);
}
END_TEST

START_TEST(id_of_many_digits_does_not_overflow)
{
	const char *text = "id: 99999999999999999999999999\n\n";
	int64_t last = -1;

	ck_assert_uint_eq(
	    complete_len(text, strlen(text), &last), strlen(text));
	ck_assert_int_gt(last, 0);
}
END_TEST

START_TEST(comment_is_no_event)
{
	event_scan_t scan;

	ck_assert(!ends_inside("data: a\n\n: beat\n"));
	ck_assert(!ends_inside("data: a\n\n: beat\n\n"));
	ck_assert(ends_inside("data: a\n\n: be"));
	ck_assert(ends_inside(": beat\ndata: a\n"));
	(void)scan_pieces(&scan, ": beat\n\n", 8, 8);
	ck_assert_uint_eq(scan.events, 0);
}
END_TEST

START_TEST(bytes_count_from_the_last_complete_event)
{
	event_scan_t scan;

	events_begin(&scan);
	(void)events_scan(&scan, "id: 1\ndata: a\n", 14);
	ck_assert_uint_eq(scan.partial, 14);
	(void)events_scan(&scan, "\ndata", 5);
	ck_assert_uint_eq(scan.partial, 4);
	(void)events_scan(&scan, ": b\r\n\r\n", 7);
	ck_assert_uint_eq(scan.partial, 0);
	/* Empty lines are no events. */
	(void)events_scan(&scan, "\n\n\n\n\n\n", 6);
	ck_assert_uint_eq(scan.partial, 6);
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
	tcase_add_test(tcase, cr_blank_lines_end_events);
	tcase_add_test(tcase, crlf_is_not_split_between_events);
	tcase_add_test(tcase, event_without_id_keeps_the_last_id);
	tcase_add_test(tcase, id_is_read_after_byte_order_mark);
	tcase_add_test(tcase, id_of_many_digits_does_not_overflow);
	tcase_add_test(tcase, comment_is_no_event);
	tcase_add_test(tcase, bytes_count_from_the_last_complete_event);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
