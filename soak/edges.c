#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak/soak.h"

/* Delay before a process that exited is started again. */
#define RESTART_TIME (300 * DFF_MSEC)
/* Time that a process has to stop after SIGTERM: stop_s of its settings. */
#define STOP_SECONDS 8
/* Longest time from the spawn of a process to its main(). */
#define EXEC_TIME (200 * DFF_MSEC)

static void start_edge(soak_t *soak, edge_proc_t *edge);

void
edge_write_settings(soak_t *soak, edge_proc_t *edge)
{
	char *duties = duties_settings(soak, edge->index);
	char *text = g_strdup_printf(
	    "[dragonflyfall]\nnode=edge-%d\ndomain=z\n"
	    "front=%s\nhealth=127.%d.1.%d:8001\ncontrol=127.%d.1.%d:8002\n"
	    "peers=127.%d.1.%d:8003\nmetrics=127.%d.1.%d:8004\n"
	    "seeds=127.%d.1.1:8002\nstore=127.%d.2.%d:8142\nstop_s=%d\n"
	    "budget_window_s=10\nbudget_ratio=0.2\nbudget_slack=50\n"
	    "config_apply_ms=2000\nlink_mbps=100\n%s%s# %" G_GINT64_FORMAT "\n",
	    edge->index, edge->front, soak->net, edge->index + 1, soak->net,
	    edge->index + 1, soak->net, edge->index + 1, soak->net,
	    edge->index + 1, soak->net, soak->net, edge->index + 1,
	    STOP_SECONDS, keys_settings(soak), duties,
	    (gint64)dff_program_now());

	if (!g_file_set_contents(edge->settings, text, -1, NULL))
		g_error("settings cannot be written path=%s", edge->settings);
	g_free(text);
	g_free(duties);
}

static void
on_exit_closed(uv_handle_t *handle)
{
	edge_proc_t *edge = handle->data;

	edge->running = false;
	edge->paused = false;
	edge->stopping = false;
	edge->start_at = dff_program_now() + RESTART_TIME;
}

static void
on_process_exit(uv_process_t *process, int64_t status, int signal)
{
	edge_proc_t *edge = process->data;
	soak_t *soak = process->loop->data;

	soak_trace(soak, "edge ends index=%d status=%d signal=%d", edge->index,
	    (int)status, signal);
	/* Only a SIGKILL of this program may kill the process. SIGTERM is
	 * handled by the process, so it may kill it only before main(). */
	if (signal != 0 && signal != SIGKILL &&
	    !(signal == SIGTERM && edge->stopping &&
		dff_program_now() - edge->started < EXEC_TIME))
		soak_fail(soak, "edge crashed index=%d signal=%d", edge->index,
		    signal);
	if (signal == 0 && !edge->stopping)
		soak_fail(soak, "edge ended by itself index=%d status=%d",
		    edge->index, (int)status);
	edge->last_fault = dff_program_now();
	uv_close((uv_handle_t *)process, on_exit_closed);
}

static void
start_edge(soak_t *soak, edge_proc_t *edge)
{
	char *log =
	    g_strdup_printf("%s/edge-%d.log", soak->folder, edge->index);
	char *variable =
	    g_strdup_printf("DRAGONFLYFALL_BOOT=%s", edge->settings);
	char *args[] = {(char *)(uintptr_t)soak->program, NULL};
	char *planted = g_strdup_printf("DFF_PLANTED=%s",
	    getenv("DFF_PLANTED") != NULL ? getenv("DFF_PLANTED") : "");
	char *env[] = {variable, planted, NULL};
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	uv_stdio_container_t stdio[3] = {{.flags = UV_IGNORE},
	    {.flags = UV_INHERIT_FD, .data.fd = fd},
	    {.flags = UV_INHERIT_FD, .data.fd = fd}};
	uv_process_options_t options = {.exit_cb = on_process_exit,
	    .file = soak->program,
	    .args = args,
	    .env = env,
	    .stdio_count = 3,
	    .stdio = stdio};
	int err;

	edge->process.data = edge;
	err = uv_spawn(&soak->loop, &edge->process, &options);
	if (err != 0)
		g_error("edge cannot be started error=%s", uv_strerror(err));
	(void)close(fd);
	edge->running = true;
	edge->started = dff_program_now();
	edge->start_at = 0;
	edge->last_fault = dff_program_now();
	soak_trace(soak, "edge starts index=%d pid=%d", edge->index,
	    edge->process.pid);
	g_free(log);
	g_free(variable);
	g_free(planted);
}

void
edges_start(soak_t *soak)
{
	char store[32];

	(void)g_snprintf(store, sizeof(store), "127.%d.5.1:8142", soak->net);
	for (int i = 0; i < EDGES; i++) {
		edge_proc_t *edge = &soak->edges[i];
		char from[32];

		edge->index = i;
		(void)g_snprintf(edge->front, sizeof(edge->front),
		    "127.%d.1.%d:8000", soak->net, i + 1);
		edge->settings =
		    g_strdup_printf("%s/edge-%d.conf", soak->folder, i);
		(void)g_snprintf(
		    from, sizeof(from), "127.%d.2.%d:8142", soak->net, i + 1);
		edge->store_proxy = proxy_new(soak, from, store);
		edge_write_settings(soak, edge);
		start_edge(soak, edge);
	}
}

void
edges_tick(soak_t *soak)
{
	dff_time_t now = dff_program_now();

	for (int i = 0; i < EDGES; i++) {
		edge_proc_t *edge = &soak->edges[i];

		if (edge->start_at != 0 && now >= edge->start_at)
			start_edge(soak, edge);
	}
}

void
edge_signal(soak_t *soak, edge_proc_t *edge, int signal)
{
	/* Before main() runs, no handler is installed and SIGHUP kills the
	 * process. */
	if (!edge->running ||
	    (signal == SIGHUP && dff_program_now() - edge->started < EXEC_TIME))
		return;
	soak_trace(soak, "edge index=%d gets signal=%d", edge->index, signal);
	edge->last_fault = dff_program_now();
	if (signal == SIGTERM)
		edge->stopping = true;
	(void)uv_process_kill(&edge->process, signal);
}

void
edge_resume(soak_t *soak, edge_proc_t *edge)
{
	edge->last_fault = dff_program_now();
	if (!edge->paused || !edge->running)
		return;
	edge->paused = false;
	edge->thawed_at = edge->last_fault;
	edge_signal(soak, edge, SIGCONT);
}

/* Kills only the processes that this program started, by process id. */
void
edges_kill(soak_t *soak)
{
	for (int i = 0; i < EDGES; i++) {
		edge_proc_t *edge = &soak->edges[i];

		if (edge->running)
			(void)uv_process_kill(&edge->process, SIGKILL);
	}
}
