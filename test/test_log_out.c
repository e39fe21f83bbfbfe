/*
 * Log output to a slow or stalled reader: the buffer is bounded, and writing
 * does not block.
 */
#include <check.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "dragonflyfall/log_out.h"
#include "dragonflyfall/program.h"

#define RATE  50
#define LINES 20000
/* Bound on the lines that reach a reader in a flood: a burst of two seconds
 * and the lines of one more second. */
#define PASSED_MAX (4 * RATE)

static int ends[2];

static void
setup(void)
{
	ck_assert_int_eq(pipe(ends), 0);
}

static void
teardown(void)
{
	(void)close(ends[0]);
	(void)close(ends[1]);
}

static char *
read_all(void)
{
	GString *text = g_string_new(NULL);
	char bytes[4096];
	ssize_t got;

	(void)fcntl(ends[0], F_SETFL, O_NONBLOCK);
	while ((got = read(ends[0], bytes, sizeof(bytes))) > 0)
		g_string_append_len(text, bytes, got);
	return g_string_free(text, FALSE);
}

static size_t
count_lines(const char *text)
{
	size_t count = 0;

	for (; *text != '\0'; text++)
		count += *text == '\n';
	return count;
}

START_TEST(line_has_its_fields)
{
	dff_log_out_t *out = dff_log_out_new(ends[1], "prog", RATE);
	char *text;

	dff_log_out_line(out, DFF_LOG_INFO, "call", "request sent id=7");
	dff_log_out_flush(out);
	text = read_all();
	ck_assert(g_str_has_prefix(text, "time="));
	ck_assert(g_str_has_suffix(
	    text, " level=info program=prog part=call: request sent id=7\n"));
	g_free(text);
	dff_log_out_drop(out);
}
END_TEST

START_TEST(flood_is_bounded_and_counted)
{
	dff_log_out_t *out = dff_log_out_new(ends[1], "prog", RATE);
	char *text;

	for (int i = 0; i < LINES; i++) {
		dff_log_out_line(out, DFF_LOG_INFO, "call", "flood");
		dff_log_out_flush(out);
	}
	text = read_all();
	ck_assert_uint_le(count_lines(text), PASSED_MAX);
	ck_assert_uint_ge(dff_log_out_dropped(out), LINES - PASSED_MAX);
	g_free(text);
	g_usleep(100000);
	dff_log_out_line(out, DFF_LOG_INFO, "call", "after");
	dff_log_out_flush(out);
	text = read_all();
	ck_assert_ptr_nonnull(strstr(text, "lines left out count="));
	g_free(text);
	dff_log_out_drop(out);
}
END_TEST

START_TEST(notices_pass_beyond_the_rate)
{
	dff_log_out_t *out = dff_log_out_new(ends[1], "prog", RATE);
	char *text;

	for (int i = 0; i < 3 * RATE; i++)
		dff_log_out_line(out, DFF_LOG_INFO, "call", "flood");
	dff_log_out_line(out, DFF_LOG_NOTICE, "process", "stopping calls=0");
	dff_log_out_flush(out);
	text = read_all();
	ck_assert_ptr_nonnull(strstr(text, "stopping"));
	g_free(text);
	dff_log_out_drop(out);
}
END_TEST

START_TEST(stalled_reader_does_not_block)
{
	dff_log_out_t *out = dff_log_out_new(ends[1], "prog", 1000000);
	dff_time_t start = dff_program_now();
	char line[1000];

	memset(line, 'x', sizeof(line) - 1);
	line[sizeof(line) - 1] = '\0';
	for (int i = 0; i < 5000; i++) {
		dff_log_out_line(out, DFF_LOG_INFO, "call", line);
		dff_log_out_flush(out);
	}
	/* 5 MB are far more than the pipe and the buffer hold. */
	ck_assert_uint_gt(dff_log_out_dropped(out), 4000);
	ck_assert_int_lt(dff_program_now() - start, 5 * DFF_SEC);
	dff_log_out_drop(out);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("log_out");
	TCase *tcase = tcase_create("log_out");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, line_has_its_fields);
	tcase_add_test(tcase, flood_is_bounded_and_counted);
	tcase_add_test(tcase, notices_pass_beyond_the_rate);
	tcase_add_test(tcase, stalled_reader_does_not_block);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
