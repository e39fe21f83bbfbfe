#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "dragonflyfall/program.h"

static char *text;
static char *addr;
static char *choice;
static int64_t number;
static dff_time_t wait;
static double ratio;
static bool flag;

static const dff_setting_t settings[] = {
    {"some-text", DFF_SETTING_TEXT, &text, "abc", 0, 0, NULL, NULL, "text"},
    {"some-addr", DFF_SETTING_ADDR, &addr, NULL, 0, 0, NULL, NULL, "address"},
    {"some-choice", DFF_SETTING_CHOICE, &choice, "a", 0, 0, "a|b", NULL,
	"choice"},
    {"some-number", DFF_SETTING_INT, &number, "5", 1, 10, NULL, "calls",
	"number"},
    {"some-wait", DFF_SETTING_MSEC, &wait, "250", 1, 60000, NULL, NULL, "time"},
    {"some-ratio", DFF_SETTING_REAL, &ratio, "0.5", 0, 1, NULL, NULL, "ratio"},
    {"some-flag", DFF_SETTING_FLAG, &flag, "false", 0, 0, NULL, NULL, "flag"},
    {NULL, DFF_SETTING_TEXT, NULL, NULL, 0, 0, NULL, NULL, NULL}};

/* Captures what is written to a descriptor. */
typedef struct capture {
	int fd;
	int saved;
	int ends[2];
	char output[16 * 1024];
} capture_t;

static void
capture_begin(capture_t *capture, int fd)
{
	fflush(stdout);
	capture->fd = fd;
	capture->saved = dup(fd);
	ck_assert_int_eq(pipe(capture->ends), 0);
	ck_assert_int_ge(dup2(capture->ends[1], fd), 0);
	close(capture->ends[1]);
}

static void
capture_end(capture_t *capture)
{
	ssize_t len;

	fflush(stdout);
	ck_assert_int_ge(dup2(capture->saved, capture->fd), 0);
	close(capture->saved);
	len = read(
	    capture->ends[0], capture->output, sizeof(capture->output) - 1);
	capture->output[len > 0 ? len : 0] = '\0';
	close(capture->ends[0]);
}

/* Loads the settings from a command line, split at spaces. */
static int
load(capture_t *capture, int fd, const char *line)
{
	char **words = g_strsplit(line, " ", -1);
	char **argv = g_new0(char *, g_strv_length(words) + 1);
	int argc = (int)g_strv_length(words);
	char **left = argv;
	int rc;

	for (int i = 0; i < argc; i++)
		argv[i] = words[i];
	capture_begin(capture, fd);
	rc = dff_settings_load("Tests settings.", settings, &argc, &left);
	capture_end(capture);
	g_free(argv);
	g_strfreev(words);
	return rc;
}

START_TEST(settings_take_flag_then_environment_then_default)
{
	capture_t capture;

	setenv("DFF_SOME_NUMBER", "7", 1);
	setenv("DFF_SOME_WAIT", "8", 1);
	ck_assert_int_eq(load(&capture, STDERR_FILENO,
			     "x --some-addr 127.0.0.1:80 --some-wait=9 "
			     "--some-flag --some-ratio 0.25 --some-choice b"),
	    0);
	ck_assert_str_eq(text, "abc");
	ck_assert_str_eq(addr, "127.0.0.1:80");
	ck_assert_str_eq(choice, "b");
	ck_assert_int_eq(number, 7);
	ck_assert_int_eq(wait, 9 * DFF_MSEC);
	ck_assert_double_eq(ratio, 0.25);
	ck_assert(flag);
	dff_settings_drop(settings);
	ck_assert_ptr_null(text);
}
END_TEST

/* Refused command lines, and texts that the error message must contain. */
static const struct {
	const char *line;
	const char *texts[3];
} refused[] = {
    {"x", {"--some-addr", "missing", "ip:port"}},
    {"x --some-addr 127.0.0.1", {"--some-addr", "127.0.0.1", "ip:port"}},
    {"x --some-addr 127.0.0.1:70000", {"--some-addr", "70000", "ip:port"}},
    {"x --some-addr 1.2.3.4:5 --some-number 11",
	{"--some-number", "\"11\"", "from 1 to 10 calls"}},
    {"x --some-addr 1.2.3.4:5 --some-number 1.5",
	{"--some-number", "\"1.5\"", "whole number"}},
    {"x --some-addr 1.2.3.4:5 --some-wait 5s",
	{"--some-wait", "\"5s\"", "from 1 to 60000 ms"}},
    {"x --some-addr 1.2.3.4:5 --some-ratio nan",
	{"--some-ratio", "\"nan\"", "from 0 to 1"}},
    {"x --some-addr 1.2.3.4:5 --some-choice c",
	{"--some-choice", "\"c\"", "a|b"}},
    {"x --some-addr 1.2.3.4:5 --some-flag=maybe",
	{"--some-flag", "\"maybe\"", "true or false"}},
    {"x --some-addr 1.2.3.4:5 --log-level loud",
	{"--log-level", "\"loud\"", "err|warning"}},
    {"x --some-addr 1.2.3.4:5 --other 1", {"--other", "Unknown", "--help"}},
};

START_TEST(settings_name_what_is_wrong)
{
	capture_t capture;

	ck_assert_int_eq(
	    load(&capture, STDERR_FILENO, refused[_i].line), -EINVAL);
	for (size_t i = 0; i < G_N_ELEMENTS(refused[_i].texts); i++)
		ck_assert_msg(
		    strstr(capture.output, refused[_i].texts[i]) != NULL,
		    "%s: no %s in %s", refused[_i].line, refused[_i].texts[i],
		    capture.output);
	dff_settings_drop(settings);
}
END_TEST

START_TEST(settings_help_names_units_and_defaults)
{
	static const char *const texts[] = {"--some-wait=MS",
	    "from 1 to 60000 ms", "default 250", "DFF_SOME_WAIT",
	    "must be given", "--log-level", "--check", "--version"};
	capture_t capture;

	ck_assert_int_eq(load(&capture, STDOUT_FILENO, "x --help"), 1);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		ck_assert_msg(strstr(capture.output, texts[i]) != NULL,
		    "no %s in %s", texts[i], capture.output);
	ck_assert_int_eq(load(&capture, STDOUT_FILENO, "x --version"), 1);
	ck_assert_int_eq(
	    load(&capture, STDOUT_FILENO, "x --check --some-addr 1.2.3.4:5"),
	    1);
	ck_assert_int_eq(load(&capture, STDERR_FILENO, "x --check"), -EINVAL);
	dff_settings_drop(settings);
}
END_TEST

static int
count_words(const char *output, const char *word)
{
	int count = 0;

	while ((output = strstr(output, word)) != NULL) {
		count++;
		output += strlen(word);
	}
	return count;
}

START_TEST(log_suppresses_repeats_but_no_decisions)
{
	dff_ctx_t *ctx = dff_program_ctx("dff-test", 1);
	capture_t capture;

	capture_begin(&capture, STDERR_FILENO);
	for (int i = 0; i < 50; i++) {
		dff_log(ctx, DFF_LOG_INFO, "peer", "link is down peer=%d", i);
		dff_log(ctx, DFF_LOG_INFO, "route", "call runs call=%d", i);
	}
	g_usleep(1100 * 1000);
	dff_log(ctx, DFF_LOG_WARNING, "peer", "other");
	capture_end(&capture);
	dff_ctx_drop(ctx);
	ck_assert_int_eq(
	    count_words(capture.output, "<6>dff-test route: call runs"), 50);
	ck_assert_int_eq(
	    count_words(capture.output, "<6>dff-test peer: link is down peer="),
	    10);
	ck_assert_ptr_nonnull(strstr(capture.output, "count=40"));
	ck_assert_ptr_nonnull(
	    strstr(capture.output, "<4>dff-test peer: other\n"));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("program");
	TCase *tcase = tcase_create("program");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, settings_take_flag_then_environment_then_default);
	tcase_add_loop_test(
	    tcase, settings_name_what_is_wrong, 0, G_N_ELEMENTS(refused));
	tcase_add_test(tcase, settings_help_names_units_and_defaults);
	tcase_add_test(tcase, log_suppresses_repeats_but_no_decisions);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
