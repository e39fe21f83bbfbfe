#include "review/common-2/rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "dragonflyfall/program.h"

#define PROGRAM	   "target/dff-edge"
#define READY_TIME (15 * DFF_SEC)
#define HEAD_MAX   8192

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

/* ---- record ---- */

long
rig_ms(const rig_t *rig)
{
	return (long)((dff_program_now() - rig->started_at) / DFF_MSEC);
}

void
rig_note(rig_t *rig, const char *fmt, ...)
{
	char text[600];
	va_list args;

	va_start(args, fmt);
	(void)vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	(void)pthread_mutex_lock(&record_lock);
	fprintf(record, "%7ld ms  %s\n", rig_ms(rig), text);
	printf("%7ld ms  %s\n", rig_ms(rig), text);
	(void)fflush(record);
	(void)fflush(stdout);
	(void)pthread_mutex_unlock(&record_lock);
}

void
rig_fail(rig_t *rig, const char *why)
{
	rig_note(rig, "the case could not run: %s", why);
	rig_end(rig);
	exit(RIG_FAILED);
}

/* ---- the rig ---- */

rig_t *
rig_new(const char *record_path)
{
	rig_t *rig = g_new0(rig_t, 1);
	const char *trouble = getenv("TROUBLE");
	char *addr;

	(void)signal(SIGPIPE, SIG_IGN);
	record = fopen(record_path, "w");
	if (record == NULL) {
		perror(record_path);
		exit(RIG_FAILED);
	}
	rig->started_at = dff_program_now();
	rig->trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	rig->net = 100 + (int)(getpid() % 100);
	rig->folder = g_dir_make_tmp("dff-review-XXXXXX", NULL);
	rig->ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	(void)uv_loop_init(&rig->loop);
	addr = g_strdup_printf("127.%d.2.1:8142", rig->net);
	rig->store = standin_new(rig->ctx, &rig->loop, addr);
	g_free(addr);
	rig_note(rig, "trouble=%d", rig->trouble);
	return rig;
}

void
rig_end(rig_t *rig)
{
	for (int i = 0; i < RIG_EDGES_MAX; i++) {
		char *path = g_strdup_printf("%s/edge-%d.conf", rig->folder, i);
		char *log = g_strdup_printf("%s/edge-%d.log", rig->folder, i);

		if (rig->edges[i] != 0) {
			(void)kill(rig->edges[i], SIGKILL);
			(void)waitpid(rig->edges[i], NULL, 0);
			rig->edges[i] = 0;
		}
		(void)unlink(path);
		(void)unlink(log);
		g_free(path);
		g_free(log);
	}
	(void)rmdir(rig->folder);
}

void
rig_run(rig_t *rig, dff_time_t time)
{
	dff_time_t until = dff_program_now() + time;

	while (dff_program_now() < until) {
		(void)uv_run(&rig->loop, UV_RUN_NOWAIT);
		g_usleep(500);
	}
}

char *
rig_worker_addr(const rig_t *rig, int number)
{
	return g_strdup_printf("127.%d.3.%d:9000", rig->net, number);
}

/* ---- processes ---- */

static char *
edge_addr(const rig_t *rig, int index, int port, char *addr)
{
	(void)g_snprintf(
	    addr, DFF_ADDR_MAX, "127.%d.1.%d:%d", rig->net, index + 1, port);
	return addr;
}

char *
rig_front(const rig_t *rig, int index, char *addr)
{
	return edge_addr(rig, index, 8149, addr);
}

/* Settings as deploy/settings.conf yields them on a small deployment. */
static char *
settings_text(const rig_t *rig, int index, const char *lines)
{
	GString *text = g_string_new("[dragonflyfall]\n");
	GHashTable *own =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	char **rows = g_strsplit(lines, "\n", -1);
	char addr[DFF_ADDR_MAX];
	const char *plain[] = {"domain=erie-dock", "store_writes_per_s=400",
	    "stop_s=8", "budget_window_s=10", "budget_ratio=0.2",
	    "budget_slack=54", "config_apply_ms=2000", "link_mbps=1000",
	    "first_start=false", "strict_revoke=", "revoke_ms=", "cloud=",
	    "duties=", "duty_per_s=", "fence_required=true", "lease_ms=3000",
	    "thaw_ms=300", "usage_window_s=", "usage_late_s=", "memory_mb=260",
	    "max_fds=4100"};

	for (size_t i = 0; rows[i] != NULL; i++) {
		char *equals = strchr(rows[i], '=');

		if (equals != NULL)
			g_hash_table_replace(own,
			    g_strndup(rows[i], (gsize)(equals - rows[i])),
			    g_strdup(rows[i]));
	}
	g_strfreev(rows);
	g_string_append_printf(text, "node=edge-erie-dock-%d\n", index + 1);
	g_string_append_printf(
	    text, "front=%s\n", edge_addr(rig, index, 8149, addr));
	g_string_append_printf(
	    text, "health=%s\n", edge_addr(rig, index, 8141, addr));
	g_string_append_printf(
	    text, "control=%s\n", edge_addr(rig, index, 8144, addr));
	g_string_append_printf(
	    text, "peers=%s\n", edge_addr(rig, index, 7380, addr));
	g_string_append_printf(
	    text, "metrics=%s\n", edge_addr(rig, index, 7395, addr));
	g_string_append_printf(
	    text, "seeds=%s,", edge_addr(rig, 0, 8144, addr));
	g_string_append_printf(text, "%s\n", edge_addr(rig, 1, 8144, addr));
	g_string_append_printf(text, "store=127.%d.2.1:8142\n", rig->net);
	for (size_t i = 0; i < G_N_ELEMENTS(plain); i++) {
		char *key = g_strndup(plain[i], strcspn(plain[i], "="));

		if (!g_hash_table_contains(own, key))
			g_string_append_printf(text, "%s\n", plain[i]);
		g_free(key);
	}
	g_string_append(text, lines);
	g_hash_table_unref(own);
	return g_string_free(text, FALSE);
}

void
rig_start_edge(rig_t *rig, int index, const char *lines)
{
	char *path = g_strdup_printf("%s/edge-%d.conf", rig->folder, index);
	char *log = g_strdup_printf("%s/edge-%d.log", rig->folder, index);
	char *text = settings_text(rig, index, lines);
	pid_t pid;

	if (!g_file_set_contents(path, text, -1, NULL))
		rig_fail(rig, "settings cannot be written");
	pid = fork();
	if (pid < 0)
		rig_fail(rig, "no process");
	if (pid == 0) {
		(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (freopen(log, "a", stdout) == NULL ||
		    setenv("DRAGONFLYFALL_BOOT", path, 1) != 0)
			_exit(127);
		(void)execl(PROGRAM, PROGRAM, NULL);
		_exit(127);
	}
	rig->edges[index] = pid;
	rig_note(rig, "process %d is started", index);
	g_free(path);
	g_free(log);
	g_free(text);
}

void
rig_wait_ready(rig_t *rig, int index)
{
	dff_time_t until = dff_program_now() + READY_TIME;

	for (;;) {
		caller_t caller = {.request = "GET /ready HTTP/1.1\r\n"
					      "Host: x\r\nConnection: close\r\n"
					      "\r\n"};

		(void)edge_addr(rig, index, 8141, caller.addr);
		rig_start_caller(rig, &caller);
		rig_wait_caller(rig, &caller, 5 * DFF_SEC);
		if (caller.status == 200)
			break;
		if (dff_program_now() > until)
			rig_fail(rig, "a process does not become ready");
		rig_run(rig, 50 * DFF_MSEC);
	}
	rig_note(rig, "process %d is ready", index);
}

void
rig_signal(rig_t *rig, int index, int signal)
{
	rig_note(rig, "process %d gets %s", index, strsignal(signal));
	(void)kill(rig->edges[index], signal);
}

int
rig_wait_exit(rig_t *rig, int index, dff_time_t longest)
{
	dff_time_t until = dff_program_now() + longest;
	bool killed = false;
	int status = 0;

	while (waitpid(rig->edges[index], &status, WNOHANG) == 0) {
		if (dff_program_now() > until && !killed) {
			rig_signal(rig, index, SIGKILL);
			killed = true;
		}
		rig_run(rig, 5 * DFF_MSEC);
	}
	rig->edges[index] = 0;
	rig_note(rig, "process %d has ended: %s %d", index,
	    WIFEXITED(status) ? "exit status" : "signal",
	    WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status));
	return status;
}

/* ---- callers ---- */

static int
open_socket(caller_t *caller)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	struct timeval timeout = {.tv_sec = 40};
	char **parts = g_strsplit(caller->addr, ":", 2);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_port = htons((uint16_t)atoi(parts[1]));
	(void)inet_pton(AF_INET, parts[0], &sa.sin_addr);
	g_strfreev(parts);
	if (caller->segment > 0)
		(void)setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &caller->segment,
		    sizeof(caller->segment));
	if (caller->window > 0)
		(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &caller->window,
		    sizeof(caller->window));
	(void)setsockopt(
	    fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		return fd;
	(void)close(fd);
	return -1;
}

static void
copy_field(const char *head, const char *name, char *dst, size_t size)
{
	const char *at = strcasestr(head, name);
	size_t len;

	*dst = '\0';
	if (at == NULL)
		return;
	at += strlen(name);
	len = strcspn(at, "\r\n");
	g_strlcpy(dst, at, MIN(size, len + 1));
}

static void
read_head(caller_t *caller, const char *head)
{
	char length[32];

	caller->status = atoi(head + strlen("HTTP/1.1 "));
	copy_field(
	    head, "\r\nX-Server-Stamp: ", caller->stamp, sizeof(caller->stamp));
	copy_field(head, "\r\nContent-Length: ", length, sizeof(length));
	caller->length = *length != '\0' ? atol(length) : -1;
}

static void
add_body(caller_t *caller, const char *bytes, long len)
{
	long room = (long)sizeof(caller->body) - 1 - caller->got;

	if (room > 0)
		memcpy(
		    caller->body + caller->got, bytes, (size_t)MIN(room, len));
	caller->got += len;
}

/* The end of an answer in chunks is its last one; no other bytes of the
 * stand-ins look like it. */
static bool
is_whole(const caller_t *caller, const char *tail, long tail_len)
{
	if (caller->length >= 0)
		return caller->got >= caller->length;
	return tail_len >= 5 &&
	    memcmp(tail + tail_len - 5, "0\r\n\r\n", 5) == 0;
}

static void
receive(caller_t *caller, int fd)
{
	char head[HEAD_MAX + 1] = "";
	size_t head_len = 0;
	bool head_done = false;
	char bytes[4096];

	while (!caller->whole) {
		ssize_t got = recv(fd, bytes, sizeof(bytes), 0);
		const char *from = bytes;
		long len = got;

		if (got <= 0) {
			g_strlcpy(caller->end,
			    got == 0 ? "closed" : strerror(errno),
			    sizeof(caller->end));
			return;
		}
		if (!head_done) {
			const char *end;
			size_t copied = MIN((size_t)got, HEAD_MAX - head_len);

			memcpy(head + head_len, bytes, copied);
			head[head_len + copied] = '\0';
			end = strstr(head, "\r\n\r\n");
			if (end == NULL) {
				head_len += copied;
				continue;
			}
			head_done = true;
			read_head(caller, head);
			from = bytes + (end + 4 - head) - head_len;
			len = got - (from - bytes);
		}
		add_body(caller, from, len);
		caller->whole = is_whole(caller, from, len);
		if (caller->rate > 0)
			g_usleep((gulong)(got * G_USEC_PER_SEC / caller->rate));
	}
	g_strlcpy(caller->end, "whole", sizeof(caller->end));
}

static void *
run_caller(void *arg)
{
	caller_t *caller = arg;
	int fd = open_socket(caller);

	caller->sent_at = dff_program_now();
	caller->length = -1;
	if (fd >= 0) {
		caller->connected = true;
		if (send(fd, caller->request, strlen(caller->request),
			MSG_NOSIGNAL) > 0)
			receive(caller, fd);
		(void)close(fd);
	} else
		g_strlcpy(caller->end, "no connection", sizeof(caller->end));
	caller->ended_at = dff_program_now();
	caller->done = true;
	return NULL;
}

void
rig_start_caller(rig_t *rig, caller_t *caller)
{
	caller->done = false;
	if (pthread_create(&caller->thread, NULL, run_caller, caller) != 0)
		rig_fail(rig, "no thread");
}

void
rig_wait_caller(rig_t *rig, caller_t *caller, dff_time_t longest)
{
	dff_time_t until = dff_program_now() + longest;

	while (!caller->done) {
		if (dff_program_now() > until)
			rig_fail(rig, "a caller does not end");
		rig_run(rig, DFF_MSEC);
	}
	(void)pthread_join(caller->thread, NULL);
}
