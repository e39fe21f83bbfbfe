#include "process.h"

#include <check.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "dragonflyfall/program.h"
#include "proto/dragonflyfall.pb-c.h"

/* Longest times for a process to end and without bytes of an answer. */
#define END_TIMEOUT  (15 * DFF_SEC)
#define CALL_TIMEOUT (5 * DFF_SEC)

/* ---- processes ---- */

static const char *
build_folder(void)
{
	const char *folder = getenv("DFF_BUILD");

	return folder != NULL ? folder : "build/plain";
}

static void
exec_child(const process_t *process, char **argv)
{
	char *path = g_build_filename(build_folder(), argv[0], NULL);
	int fd = open(process->log, O_WRONLY | O_CREAT | O_TRUNC, 0600);

	/* The process ends with its test, also if the test is killed. */
	(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (fd < 0 || dup2(fd, STDERR_FILENO) < 0)
		_exit(127);
	(void)execv(path, argv);
	_exit(127);
}

void
process_start(process_t *process, const char *fmt, ...)
{
	char **argv;
	char *line;
	va_list args;
	int fd;

	va_start(args, fmt);
	line = g_strdup_vprintf(fmt, args);
	va_end(args);
	argv = g_strsplit(line, " ", -1);
	(void)g_snprintf(process->log, sizeof(process->log),
	    "%s/dff-test-XXXXXX", g_get_tmp_dir());
	fd = mkstemp(process->log);
	ck_assert_int_ge(fd, 0);
	close(fd);
	process->pid = fork();
	ck_assert_int_ge(process->pid, 0);
	if (process->pid == 0)
		exec_child(process, argv);
	g_strfreev(argv);
	g_free(line);
}

static int
exit_code(int status)
{
	if (WIFSIGNALED(status))
		return 128 + WTERMSIG(status);
	return WEXITSTATUS(status);
}

int
process_stop(process_t *process, int signum)
{
	dff_time_t until = dff_program_now() + END_TIMEOUT;
	int status;

	if (process->pid == 0)
		return 0;
	(void)kill(process->pid, signum);
	while (waitpid(process->pid, &status, WNOHANG) == 0) {
		if (dff_program_now() > until) {
			(void)kill(process->pid, SIGKILL);
			(void)waitpid(process->pid, &status, 0);
			break;
		}
		g_usleep(5000);
	}
	process->pid = 0;
	if (exit_code(status) != 0 && exit_code(status) != 2 &&
	    signum != SIGKILL) {
		char *log = process_log(process);

		(void)fprintf(stderr, "%s\n", log);
		g_free(log);
	}
	(void)unlink(process->log);
	return exit_code(status);
}

static void
on_kill_timer(uv_timer_t *timer)
{
	const process_t *process = timer->data;

	(void)kill(process->pid, SIGKILL);
	uv_close((uv_handle_t *)timer, (uv_close_cb)g_free);
}

void
process_kill_later(netloop_t *net, process_t *process, dff_time_t time)
{
	uv_timer_t *timer = g_new0(uv_timer_t, 1);

	timer->data = process;
	(void)uv_timer_init(&net->loop, timer);
	(void)uv_timer_start(
	    timer, on_kill_timer, (uint64_t)(time / DFF_MSEC), 0);
}

bool
process_ended(process_t *process)
{
	siginfo_t info = {0};

	return waitid(P_PID, (id_t)process->pid, &info,
		   WEXITED | WNOHANG | WNOWAIT) == 0 &&
	    info.si_pid != 0;
}

char *
process_log(const process_t *process)
{
	char *text = NULL;

	if (!g_file_get_contents(process->log, &text, NULL, NULL))
		return g_strdup("");
	return text;
}

/* ---- requests ---- */

/* A request without a whole answer. */
typedef struct pending {
	reply_t *reply;
	GString *body;
	int ends;
} pending_t;

static void
on_head(void *arg, dff_httpc_req_t *req, int status)
{
	pending_t *pending = arg;

	pending->reply->status = status;
	pending->reply->retry_after =
	    g_strdup(dff_httpc_header(req, "retry-after"));
}

static void
on_data(void *arg, dff_httpc_req_t *req, const char *data, size_t len)
{
	pending_t *pending = arg;

	(void)req;
	g_string_append_len(pending->body, data, (gssize)len);
}

static void
on_end(void *arg, dff_httpc_req_t *req, dff_httpc_end_t end)
{
	pending_t *pending = arg;

	(void)req;
	pending->reply->end = end;
	pending->ends++;
}

void
reply_clear(reply_t *reply)
{
	g_free(reply->body);
	g_free(reply->retry_after);
	memset(reply, 0, sizeof(*reply));
}

void
http_call(netloop_t *net, const char *addr, const char *path,
    const char *headers, const char *body, reply_t *reply)
{
	static const dff_httpc_handlers_t handlers = {on_head, on_data, on_end};
	const dff_httpc_call_t call = {.addr = addr,
	    .method = body != NULL ? "POST" : "GET",
	    .path = path,
	    .content_type = body != NULL ? "application/json" : NULL,
	    .headers = headers,
	    .body = body,
	    .len = body != NULL ? strlen(body) : 0,
	    .idle_timeout = CALL_TIMEOUT};
	pending_t pending = {.reply = reply, .body = g_string_new(NULL)};

	memset(reply, 0, sizeof(*reply));
	ck_assert_ptr_nonnull(
	    dff_httpc_start(net->httpc, &call, &handlers, &pending));
	netloop_until(net, &pending.ends, 1);
	reply->body = g_string_free(pending.body, FALSE);
}

void
http_wait(netloop_t *net, const char *addr, const char *path, int status)
{
	dff_time_t until = dff_program_now() + 10 * DFF_SEC;
	reply_t reply;
	int last;

	do {
		http_call(net, addr, path, NULL, NULL, &reply);
		last = reply.status;
		reply_clear(&reply);
		if (last != status)
			netloop_run(net, 20 * DFF_MSEC);
	} while (last != status && dff_program_now() < until);
	ck_assert_msg(last == status, "%s%s answers %d, not %d", addr, path,
	    last, status);
}

static int
post_record(netloop_t *net, const char *addr, const uint8_t *data, size_t len)
{
	static const dff_httpc_handlers_t handlers = {on_head, on_data, on_end};
	const dff_httpc_call_t call = {.addr = addr,
	    .method = "POST",
	    .path = "/log/catalogue",
	    .body = data,
	    .len = len,
	    .idle_timeout = CALL_TIMEOUT};
	reply_t reply = {0};
	pending_t pending = {.reply = &reply, .body = g_string_new(NULL)};
	int status;

	ck_assert_ptr_nonnull(
	    dff_httpc_start(net->httpc, &call, &handlers, &pending));
	netloop_until(net, &pending.ends, 1);
	status = reply.status;
	reply_clear(&reply);
	g_string_free(pending.body, TRUE);
	return status;
}

void
publish_catalogue(netloop_t *net, const char *platform, const char *edit_id,
    uint64_t against, const char *text)
{
	Dff__Record record = DFF__RECORD__INIT;
	Dff__CatalogueEdit edit = DFF__CATALOGUE_EDIT__INIT;
	uint8_t *data;
	size_t len;

	edit.edit_id = (char *)edit_id;
	edit.against = against;
	edit.text = (char *)text;
	edit.author = (char *)"test";
	record.version = 1;
	record.writer = (char *)"test";
	record.incarnation = 1;
	record.body_case = DFF__RECORD__BODY_EDIT;
	record.edit = &edit;
	data = g_malloc(dff__record__get_packed_size(&record));
	len = dff__record__pack(&record, data);
	ck_assert_int_eq(post_record(net, platform, data, len), 200);
	g_free(data);
}

char *
read_file(const char *name)
{
	char *text = NULL;

	ck_assert_msg(g_file_get_contents(name, &text, NULL, NULL),
	    "%s cannot be read", name);
	return text;
}
