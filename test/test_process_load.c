#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#define ENGINE_PORT 23300
#define ENGINE	    "127.0.0.1:23300"
#define MIX_FILE    "test_process_load.mix"
#define CSV_FILE    "test_process_load.csv"
#define MIX                                                           \
	"[entry note]\nmodel=%s\nprompt_tokens=40\noutput_tokens=8\n" \
	"prompt_sigma=0.3\n"

static GPid engine;

static char *
program_path(const char *name)
{
	const char *build = getenv("DFF_BUILD");

	return g_strdup_printf(
	    "%s/%s", build != NULL ? build : "build/plain", name);
}

static bool
is_listening(int port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool listening =
	    connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0;

	(void)close(fd);
	return listening;
}

static void
setup(void)
{
	char *path = program_path("dff-engine");
	char *argv[] = {path, "--addr=" ENGINE, "--model=note-model",
	    "--prefill-us=10", "--step-us=1000", "--log-level=err", NULL};

	ck_assert(g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
	    NULL, NULL, &engine, NULL));
	for (int i = 0; i < 500 && !is_listening(ENGINE_PORT); i++)
		g_usleep(20000);
	ck_assert(is_listening(ENGINE_PORT));
	g_free(path);
}

static void
teardown(void)
{
	int status;

	ck_assert_int_eq(kill(engine, SIGTERM), 0);
	ck_assert_int_eq(waitpid(engine, &status, 0), engine);
	(void)unlink(MIX_FILE);
	(void)unlink(CSV_FILE);
}

/* Run the load tool with a mix of one model; returns its exit status. */
static int
run_load(const char *model, const char *addr, const char *retries, char **out)
{
	char *mix = g_strdup_printf(MIX, model);
	char *path = program_path("dff-load");
	char *engine_flag = g_strdup_printf("--engine=%s", addr);
	char *argv[] = {path, engine_flag, "--mix=" MIX_FILE, "--rate=200",
	    "--requests=60", "--csv=" CSV_FILE, "--log-level=err",
	    (char *)(uintptr_t)retries, NULL};
	int status;

	ck_assert(g_file_set_contents(MIX_FILE, mix, -1, NULL));
	ck_assert(g_spawn_sync(
	    NULL, argv, NULL, 0, NULL, NULL, out, NULL, &status, NULL));
	ck_assert(WIFEXITED(status));
	g_free(mix);
	g_free(path);
	g_free(engine_flag);
	return WEXITSTATUS(status);
}

static size_t
count_csv_lines(const char *pattern)
{
	size_t count = 0;
	char **lines;
	char *text;

	ck_assert(g_file_get_contents(CSV_FILE, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (size_t i = 0; lines[i] != NULL; i++)
		count += strstr(lines[i], pattern) != NULL;
	g_strfreev(lines);
	g_free(text);
	return count;
}

START_TEST(answers_are_counted_and_checked)
{
	char *out;

	ck_assert_int_eq(
	    run_load("note-model", ENGINE, "--retries=0", &out), 0);
	ck_assert_uint_eq(count_csv_lines(",done,1"), 60);
	ck_assert_ptr_nonnull(strstr(out, "gap_ms"));
	g_free(out);
}
END_TEST

/* The engine serves another model and refuses every request without running
 * it. */
START_TEST(refusals_are_counted)
{
	char *out;

	ck_assert_int_eq(run_load("other", ENGINE, "--retries=0", &out), 0);
	ck_assert_uint_eq(count_csv_lines(",model,refused,0"), 60);
	ck_assert_ptr_nonnull(strstr(out, "error engine refused model: 60"));
	g_free(out);
}
END_TEST

START_TEST(refused_requests_are_retried)
{
	char *out;

	ck_assert_int_eq(
	    run_load("note-model", "127.0.0.1:23301", "--retries=1", &out), 0);
	ck_assert_uint_eq(count_csv_lines(",2,0,connect,refused,0"), 60);
	g_free(out);
}
END_TEST

/* The ports are fixed: another run on this machine has to wait for this one. */
static void
lock_ports(void)
{
	char *path =
	    g_build_filename(g_get_tmp_dir(), "dragonflyfall-23300.lock", NULL);
	int fd = open(path, O_CREAT | O_RDWR | O_CLOEXEC, 0666);

	if (fd < 0 || flock(fd, LOCK_EX) < 0)
		abort();
	g_free(path);
}

int
main(void)
{
	Suite *suite = suite_create("process_load");
	TCase *tcase = tcase_create("process_load");
	SRunner *runner;
	int failed;

	lock_ports();
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, answers_are_counted_and_checked);
	tcase_add_test(tcase, refusals_are_counted);
	tcase_add_test(tcase, refused_requests_are_retried);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
