#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#include "dragonflyfall/catalogue.h"
#include "dragonflyfall/http.h"

#define PLATFORM_PORT 23000
#define PLATFORM      "127.0.0.1:23000"
/* Peer ports in the VM list; the status pages are HTTP_OFFSET above. */
#define NODE_PORT   23010
#define HTTP_OFFSET "100"
#define STATUS_PORT 23110
#define NODES	    2
/* Entry process of entry_applies_an_edit. */
#define ENTRY_PORT	23012
#define ENTRY_HTTP_PORT 23112
#define VMS_FILE	"test_process_ctl.vms.json"

/* Two nodes that serve only a status page, in one child process. */
typedef struct fake_nodes {
	pid_t pid;
	volatile uint64_t *revision; /* of each page; shared memory */
} fake_nodes_t;

typedef struct page {
	int index;
} page_t;

/* Exit status and output of one run of the tool. */
typedef struct run {
	int status;
	char *out;
	char *err;
} run_t;

static fake_nodes_t nodes;
static GPid platform;

/* ---- nodes ---- */

static void
on_request(void *arg, dff_httpd_req_t *req)
{
	const page_t *page = arg;
	char *text;

	text = g_strdup_printf("{\"id\":\"vm-%d\",\"domain\":\"north\","
			       "\"ready\":true,\"why\":\"\",\"revision\":%llu,"
			       "\"leases\":[{\"shard\":\"stock-models@north\","
			       "\"holder\":\"vm-%d\",\"fence\":%d}],"
			       "\"upstreams\":\"e1 pool=stock-models "
			       "domain=north role=mixed running=3\\n\"}",
	    page->index, (unsigned long long)nodes.revision[page->index],
	    page->index, 5 + page->index);
	dff_httpd_answer(req, 200, "application/json", text, strlen(text));
	g_free(text);
}

static void
serve_nodes(bool both)
{
	static const dff_httpd_handlers_t handlers = {on_request, NULL};
	dff_ctx_t *ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	page_t pages[NODES];
	uv_loop_t loop;

	(void)uv_loop_init(&loop);
	for (int i = 0; i < (both ? NODES : 1); i++) {
		char *addr = g_strdup_printf("127.0.0.1:%d", STATUS_PORT + i);
		dff_httpd_config_t config = {.addr = addr,
		    .body_max = 1024,
		    .unread_max = 65536,
		    .header_time = DFF_SEC};
		dff_httpd_t *httpd;

		pages[i].index = i;
		if (dff_httpd_new(
			ctx, &loop, &config, &handlers, &pages[i], &httpd) < 0)
			_exit(1);
		g_free(addr);
	}
	(void)uv_run(&loop, UV_RUN_DEFAULT);
	_exit(0);
}

static int
open_socket(int port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0)
		return fd;
	(void)close(fd);
	return -1;
}

static void
wait_for_port(int port)
{
	int fd = open_socket(port);

	for (int i = 0; i < 500 && fd < 0; i++) {
		g_usleep(20000);
		fd = open_socket(port);
	}
	ck_assert_int_ge(fd, 0);
	(void)close(fd);
}

/* Wait until no server uses the port: one of an earlier run may still be
 * stopping. */
static void
wait_until_free(int port)
{
	int fd = open_socket(port);

	for (int i = 0; i < 250 && fd >= 0; i++) {
		(void)close(fd);
		g_usleep(100000);
		fd = open_socket(port);
	}
	ck_assert_int_lt(fd, 0);
}

static void
start_nodes(bool both)
{
	wait_until_free(STATUS_PORT);
	nodes.revision = mmap(NULL, NODES * sizeof(*nodes.revision),
	    PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
	ck_assert_ptr_ne((void *)(uintptr_t)nodes.revision, MAP_FAILED);
	nodes.pid = fork();
	ck_assert_int_ge(nodes.pid, 0);
	if (nodes.pid == 0)
		serve_nodes(both);
	for (int i = 0; i < (both ? NODES : 1); i++)
		wait_for_port(STATUS_PORT + i);
}

static void
stop_nodes(void)
{
	ck_assert_int_eq(kill(nodes.pid, SIGKILL), 0);
	ck_assert_int_eq(waitpid(nodes.pid, NULL, 0), nodes.pid);
	(void)munmap(
	    (void *)(uintptr_t)nodes.revision, NODES * sizeof(*nodes.revision));
}

/* ---- platform ---- */

static char *
program_path(const char *name)
{
	const char *build = getenv("DFF_BUILD");

	return g_strdup_printf(
	    "%s/%s", build != NULL ? build : "build/plain", name);
}

/* Send a request; returns the whole response. */
static char *
send_request(int port, const char *method, const char *path, const void *body,
    size_t len)
{
	GString *response = g_string_new(NULL);
	char *head;
	char part[4096];
	ssize_t received;
	int fd = open_socket(port);

	ck_assert_int_ge(fd, 0);
	head = g_strdup_printf("%s %s HTTP/1.1\r\nHost: p\r\nConnection: "
			       "close\r\nContent-Length: %zu\r\n\r\n",
	    method, path, len);
	ck_assert_int_eq(write(fd, head, strlen(head)), (ssize_t)strlen(head));
	if (len > 0)
		ck_assert_int_eq(write(fd, body, len), (ssize_t)len);
	while ((received = read(fd, part, sizeof(part))) > 0)
		g_string_append_len(response, part, received);
	(void)close(fd);
	g_free(head);
	return g_string_free(response, FALSE);
}

static char *
request_platform(
    const char *method, const char *path, const void *body, size_t len)
{
	return send_request(PLATFORM_PORT, method, path, body, len);
}

static void
control(const char *name, const char *json)
{
	char *path = g_strdup_printf("/control/%s", name);
	char *response = request_platform("POST", path, json, strlen(json));

	ck_assert_msg(
	    strstr(response, " 200 ") != NULL, "%s: %s", name, response);
	g_free(response);
	g_free(path);
}

static uint64_t
count_log_records(void)
{
	char *response =
	    request_platform("GET", "/log/catalogue?from=1&max=1", NULL, 0);
	const char *next = strstr(response, "\"next\":");
	uint64_t count;

	ck_assert_ptr_nonnull(next);
	count = g_ascii_strtoull(next + strlen("\"next\":"), NULL, 10) - 1;
	g_free(response);
	return count;
}

static void
start_platform(void)
{
	char *path = program_path("dff-platform");
	char *argv[] = {path, "--addr=" PLATFORM, "--vms=" VMS_FILE,
	    "--log-level=err", NULL};
	GString *vms = g_string_new("{\"vms\":[");

	for (int i = 0; i < NODES; i++)
		g_string_append_printf(vms,
		    "{\"id\":\"vm-%d\",\"addr\":\"127.0.0.1:%d\","
		    "\"domain\":\"north\",\"pool\":\"\",\"kind\":\"entry\","
		    "\"incarnation\":1,\"state\":\"live\"},",
		    i, NODE_PORT + i);
	g_string_append(vms,
	    "{\"id\":\"e1\",\"addr\":\"127.0.0.1:23900\","
	    "\"domain\":\"north\",\"pool\":\"stock-models\","
	    "\"kind\":\"engine\",\"incarnation\":1,\"state\":\"live\"}]}");
	ck_assert(g_file_set_contents(VMS_FILE, vms->str, -1, NULL));
	g_string_free(vms, TRUE);
	wait_until_free(PLATFORM_PORT);
	ck_assert(g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
	    NULL, NULL, &platform, NULL));
	wait_for_port(PLATFORM_PORT);
	/* The platform still runs, so no other process answered on its port. */
	ck_assert_int_eq(waitpid(platform, NULL, WNOHANG), 0);
	g_free(path);
}

static void
stop_platform(void)
{
	int status;

	ck_assert_int_eq(kill(platform, SIGTERM), 0);
	ck_assert_int_eq(waitpid(platform, &status, 0), platform);
	(void)unlink(VMS_FILE);
}

static void
setup(void)
{
	(void)signal(SIGPIPE, SIG_IGN);
	start_platform();
	start_nodes(true);
}

static void
teardown(void)
{
	stop_nodes();
	stop_platform();
}

/* ---- the tool ---- */

/* Command line of the tool: the common flags, then @args, which are separated
 * by blanks. */
static char **
tool_argv(const char *args)
{
	char *path = program_path("dff-ctl");
	char *line = g_strdup_printf("%s --platform=" PLATFORM
				     " --http-offset=" HTTP_OFFSET
				     " --confirm-time=300 --log-level=err %s",
	    path, args);
	char **argv = g_strsplit(line, " ", -1);

	g_free(line);
	g_free(path);
	return argv;
}

static void
run_tool(run_t *run, const char *args)
{
	char **argv = tool_argv(args);
	GError *error = NULL;
	int status;

	if (!g_spawn_sync(NULL, argv, NULL, 0, NULL, NULL, &run->out, &run->err,
		&status, &error))
		ck_abort_msg("%s", error->message);
	ck_assert_msg(
	    WIFEXITED(status), "%s: status %d: %s", args, status, run->err);
	run->status = WEXITSTATUS(status);
	g_strfreev(argv);
}

static void
clear_run(run_t *run)
{
	g_free(run->out);
	g_free(run->err);
}

/* Check that the tool exits with @status and prints @text on standard output
 * or standard error. */
static void
expect(const char *args, int status, const char *text)
{
	run_t run;

	run_tool(&run, args);
	ck_assert_msg(run.status == status, "%s: exit status %d, not %d\n%s%s",
	    args, run.status, status, run.out, run.err);
	ck_assert_msg(
	    strstr(run.out, text) != NULL || strstr(run.err, text) != NULL,
	    "%s: \"%s\" is not in\n%s%s", args, text, run.out, run.err);
	clear_run(&run);
}

static void
set_node_revisions(uint64_t first, uint64_t second)
{
	nodes.revision[0] = first;
	nodes.revision[1] = second;
}

START_TEST(edit_is_applied_and_confirmed)
{
	set_node_revisions(1, 1);
	expect("apply catalogues/keelwater.conf", 0,
	    "in force at revision 1 on 2 of 2 nodes");
	expect("show", 0, "[entry transfer-order]");
	expect("show --revision 1", 0, "[pool stock-models]");
	expect("show --revision 2", 6, "not in the log");
	expect("history", 0, "in force");
	expect("diff catalogues/keelwater.conf", 0, "0 differences");
	expect("diff catalogues/katalyst.conf", 1, "- [entry transfer-order]");
	expect("status", 0, "revision in force: 1");
	expect("status", 0, "holder=vm-1 fence=6");
	expect("status", 0, "role=mixed running=3");
	ck_assert_uint_eq(count_log_records(), 1);
}
END_TEST

START_TEST(node_without_revision_is_listed)
{
	set_node_revisions(1, 0);
	expect("apply catalogues/keelwater.conf", 4,
	    "in force at revision 1 on 1 of 2 nodes");
	expect("status", 4, "vm-1");
	set_node_revisions(1, 1);
	/* A second run finds the conflict in the log and appends nothing. */
	expect("apply catalogues/keelwater.conf --edit-id x --against 0", 3,
	    "nothing was sent");
	ck_assert_uint_eq(count_log_records(), 1);
	stop_nodes();
	start_nodes(false);
	set_node_revisions(2, 0);
	expect("apply catalogues/katalyst.conf", 4, "vm-1: does not answer");
	ck_assert_uint_eq(count_log_records(), 2);
}
END_TEST

START_TEST(bad_file_is_not_sent)
{
	static const char file[] = "test_process_ctl.conf";

	ck_assert(g_file_set_contents(
	    file, "[dragonflyfall]\nformat=1\n[owner x]\n", -1, NULL));
	expect("check test_process_ctl.conf", 1,
	    "test_process_ctl.conf:3: [owner x] secret_sha256:");
	expect("apply test_process_ctl.conf", 1, "must be given");
	ck_assert_uint_eq(count_log_records(), 0);
	expect("check catalogues/katalyst.conf", 0, "no problems");
	expect("apply no-such-file", 2, "no-such-file");
	(void)unlink(file);
}
END_TEST

START_TEST(bad_arguments_are_reported)
{
	expect("", 2, "usage:");
	expect("apply", 2, "usage:");
	expect("reboot", 2, "usage:");
	expect("show --revision x", 2, "revision");
	expect("apply catalogues/keelwater.conf --edit-id a", 2, "--against");
	expect("apply catalogues/keelwater.conf --edit-id a\tb --against 0", 2,
	    "printable");
	expect("show", 6, "no revision");
	ck_assert_uint_eq(count_log_records(), 0);
}
END_TEST

/* Of two concurrent edits of revision 1 one is accepted; the tool reports to
 * the other operator that the edit has no effect. */
START_TEST(one_of_two_concurrent_edits_is_accepted)
{
	char **argv[2];
	GPid pids[2];
	int accepted = 0;
	int beaten = 0;

	set_node_revisions(1, 1);
	expect("apply catalogues/keelwater.conf", 0, "revision 1");
	set_node_revisions(3, 3);
	argv[0] = tool_argv("apply catalogues/katalyst.conf --against 1");
	argv[1] = tool_argv("apply catalogues/keelwater.conf --against 1");
	for (int i = 0; i < 2; i++)
		ck_assert(g_spawn_async(NULL, argv[i], NULL,
		    G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL |
			G_SPAWN_STDERR_TO_DEV_NULL,
		    NULL, NULL, &pids[i], NULL));
	for (int i = 0; i < 2; i++) {
		int status;

		ck_assert_int_eq(waitpid(pids[i], &status, 0), pids[i]);
		accepted += WEXITSTATUS(status) == 0;
		beaten += WEXITSTATUS(status) == 3;
		g_strfreev(argv[i]);
	}
	ck_assert_int_eq(accepted, 1);
	ck_assert_int_eq(beaten, 1);
	expect("apply catalogues/keelwater.conf --against 1", 3,
	    "nothing was sent");
}
END_TEST

START_TEST(edit_is_found_after_lost_response)
{
	set_node_revisions(1, 1);
	control("lose-answers", "{\"count\":1}");
	expect("apply catalogues/keelwater.conf --edit-id one --against 0", 0,
	    "accepted as revision 1");
	ck_assert_uint_eq(count_log_records(), 1);
	/* A repeated run finds the edit in the log and does not append it. */
	expect("apply catalogues/keelwater.conf --edit-id one --against 0", 0,
	    "accepted as revision 1");
	ck_assert_uint_eq(count_log_records(), 1);
}
END_TEST

/* The delayed append takes effect after the tool has resent the edit. */
START_TEST(delayed_duplicate_takes_effect_once)
{
	set_node_revisions(9, 9);
	control("delay-appends", "{\"count\":1,\"ms\":3500}");
	expect("apply catalogues/keelwater.conf", 0, "accepted as revision 1");
	expect("apply catalogues/katalyst.conf", 0, "accepted as revision 2");
	for (int i = 0; i < 100 && count_log_records() < 3; i++)
		g_usleep(50000);
	ck_assert_uint_eq(count_log_records(), 3);
	expect("history", 0, "repeat of 1");
	expect("show", 0, "Katalyst");
	expect("history", 0, "revision in force: 2");
}
END_TEST

START_TEST(outage_is_reported_as_undecided)
{
	set_node_revisions(1, 1);
	control("outage", "{\"appends\":true,\"reads\":true}");
	expect("apply catalogues/keelwater.conf", 5, "nothing was sent");
	expect("show", 5, "does not answer");
	control("outage", "{\"appends\":true,\"reads\":false}");
	expect("apply catalogues/keelwater.conf --timeout 600 --edit-id late "
	       "--against 0",
	    5, "--edit-id late --against 0");
	ck_assert_uint_eq(count_log_records(), 0);
	control("outage", "{\"appends\":false,\"reads\":false}");
	expect("apply catalogues/keelwater.conf --edit-id late --against 0", 0,
	    "accepted as revision 1");
	ck_assert_uint_eq(count_log_records(), 1);
}
END_TEST

/* The edit in force has expired; a snapshot and the records after it remain. */
START_TEST(snapshot_replaces_expired_records)
{
	dff_ctx_t *ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	dff_history_t *history = dff_history_new(ctx);
	dff_edit_t edit = {.edit_id = "first",
	    .text = "[dragonflyfall]\nformat=1\n# the first\n",
	    .author = "kim"};
	uint8_t *data;
	int len;

	control("retention", "{\"ms\":4000}");
	len = dff_edit_pack(&edit, &data);
	g_free(request_platform("POST", "/log/catalogue", data, (size_t)len));
	ck_assert_int_eq(
	    dff_history_apply(ctx, history, 1, data, (size_t)len, 1), 1);
	free(data);
	g_usleep(3000000);
	len = dff_history_save(ctx, history, "vm-0", 1, &data);
	g_free(request_platform("POST", "/log/catalogue", data, (size_t)len));
	free(data);
	g_usleep(1300000);
	expect("show", 0, "# the first");
	expect("show --revision 1", 0, "# the first");
	set_node_revisions(3, 3);
	expect("apply catalogues/keelwater.conf", 0, "accepted as revision 3");
	g_usleep(4300000);
	expect("show", 5, "expired");
	dff_history_drop(history);
	dff_ctx_drop(ctx);
}
END_TEST

START_TEST(bad_records_are_listed)
{
	set_node_revisions(2, 2);
	g_free(request_platform("POST", "/log/catalogue", "\xff\xff", 2));
	expect("apply catalogues/keelwater.conf", 0, "accepted as revision 2");
	expect("history", 0, "cannot be decoded");
	expect("status", 0, "bad records skipped: 1");
}
END_TEST

START_TEST(decisions_are_explained)
{
	static const char file[] = "test_process_ctl.log";

	ck_assert(g_file_set_contents(file,
	    "<6>vm-1 route: call sent. call=vm-1-17 entry=tank-grade "
	    "owner=keelwater vm=e3 try=1 resume_at=0 first_token_ms=230 "
	    "whole_ms=900 cached=12 sampled=3\n"
	    "<6>vm-1 call: call refused. call=vm-1-170 entry=tank-grade "
	    "owner=keelwater code=late ran=not_run retry_after_ms=400 "
	    "why=no engine meets the time\n"
	    "<7>vm-1 claim: decided. call=vm-1-18 key=00ff state=mine "
	    "offset=41\n"
	    "<6>vm-1 claim: ended. call=vm-1-18 offset=41 outcome=done\n",
	    -1, NULL));
	expect("explain vm-1-18 test_process_ctl.log", 0,
	    "its key is mine, by the record at offset 41");
	expect("explain vm-1-18 test_process_ctl.log", 0, "ended as done");
	expect("explain vm-1-17 test_process_ctl.log", 0, "routed to e3");
	expect("explain vm-1-170 test_process_ctl.log", 0,
	    "because: no engine meets the time");
	expect("explain vm-1-1 test_process_ctl.log", 6, "no line concerns");
	expect("explain vm-1-1 no-such-file", 2, "no-such-file");
	(void)unlink(file);
}
END_TEST

/* Start an entry process beside the two fake nodes. */
static GPid
start_entry(const char *log)
{
	char *path = program_path("dff-entry");
	char *line = g_strdup_printf("exec %s --id=vm-2 --domain=north "
				     "--listen=127.0.0.1:%d "
				     "--peer-listen=127.0.0.1:%d "
				     "--platform=" PLATFORM " 2>%s",
	    path, ENTRY_HTTP_PORT, ENTRY_PORT, log);
	char *argv[] = {"/bin/sh", "-c", line, NULL};
	GPid pid;

	wait_until_free(ENTRY_HTTP_PORT);
	ck_assert(g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
	    NULL, NULL, &pid, NULL));
	wait_for_port(ENTRY_HTTP_PORT);
	g_free(line);
	g_free(path);
	return pid;
}

START_TEST(entry_applies_an_edit)
{
	static const char body[] =
	    "{\"model\":\"tank-grade\",\"prompt\":\"x\"}";
	static const char log[] = "test_process_ctl.log";
	char *response;
	GPid entry;
	int status;

	set_node_revisions(1, 1);
	control("vm-lag", "{\"ms\":0}");
	control("vm",
	    "{\"id\":\"vm-2\",\"addr\":\"127.0.0.1:23012\","
	    "\"domain\":\"north\",\"kind\":\"entry\"}");
	expect("status", 4, "vm-2             does not answer");
	entry = start_entry(log);
	expect("apply catalogues/keelwater.conf --confirm-time 5000", 0,
	    "vm-2: has it");
	expect("status", 0, "vm-2             domain=north revision=1");
	response = send_request(
	    ENTRY_HTTP_PORT, "POST", "/v1/completions", body, strlen(body));
	ck_assert_msg(strstr(response, "unknown_key") != NULL, "%s", response);
	g_free(response);
	expect("explain vm-2-1 test_process_ctl.log", 0,
	    "refused with unknown_key; the work: not_run");
	ck_assert_int_eq(kill(entry, SIGTERM), 0);
	ck_assert_int_eq(waitpid(entry, &status, 0), entry);
	ck_assert(WIFEXITED(status));
	ck_assert_int_eq(WEXITSTATUS(status), 0);
	expect("status", 4, "vm-2             does not answer");
	(void)unlink(log);
}
END_TEST

/* Serialise runs of this test on one machine, as it uses fixed ports. */
static void
lock_ports(void)
{
	char *path =
	    g_build_filename(g_get_tmp_dir(), "dragonflyfall-23000.lock", NULL);
	int fd = open(path, O_CREAT | O_RDWR | O_CLOEXEC, 0666);

	if (fd < 0 || flock(fd, LOCK_EX) < 0)
		abort();
	g_free(path);
}

int
main(void)
{
	Suite *suite = suite_create("process_ctl");
	TCase *tcase = tcase_create("process_ctl");
	SRunner *runner;
	int failed;

	lock_ports();
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, edit_is_applied_and_confirmed);
	tcase_add_test(tcase, node_without_revision_is_listed);
	tcase_add_test(tcase, bad_file_is_not_sent);
	tcase_add_test(tcase, bad_arguments_are_reported);
	tcase_add_test(tcase, one_of_two_concurrent_edits_is_accepted);
	tcase_add_test(tcase, edit_is_found_after_lost_response);
	tcase_add_test(tcase, delayed_duplicate_takes_effect_once);
	tcase_add_test(tcase, outage_is_reported_as_undecided);
	tcase_add_test(tcase, snapshot_replaces_expired_records);
	tcase_add_test(tcase, bad_records_are_listed);
	tcase_add_test(tcase, decisions_are_explained);
	tcase_add_test(tcase, entry_applies_an_edit);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
