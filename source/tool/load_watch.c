#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "load.h"

/* CPU time and memory of one process at one time. */
typedef struct usage {
	bool known;
	double cpu_seconds;
	double rss_kib;
} usage_t;

typedef struct process {
	long pid;
	usage_t start_usage;
} process_t;

struct load_watch {
	GArray *processes;
};

/* Read /proc/PID/stat: fields 14, 15 and 24 of proc(5). */
static usage_t
read_usage(long pid)
{
	usage_t usage = {0};
	char path[64];
	char *text = NULL;
	const char *fields;
	unsigned long user;
	unsigned long system;
	long pages;

	(void)snprintf(path, sizeof(path), "/proc/%ld/stat", pid);
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return usage;
	/* The program name, in parentheses, may contain blanks. */
	fields = strrchr(text, ')');
	if (fields != NULL &&
	    sscanf(fields,
		") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu %*d "
		"%*d %*d %*d %*d %*d %*u %*u %ld",
		&user, &system, &pages) == 3) {
		usage.known = true;
		usage.cpu_seconds =
		    (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
		usage.rss_kib =
		    (double)pages * (double)sysconf(_SC_PAGESIZE) / 1024;
	}
	g_free(text);
	return usage;
}

load_watch_t *
load_watch_new(const char *pids)
{
	load_watch_t *watch = g_new0(load_watch_t, 1);
	char **ids = g_strsplit(pids, ",", -1);

	watch->processes = g_array_new(FALSE, TRUE, sizeof(process_t));
	for (size_t i = 0; ids[i] != NULL; i++) {
		process_t process = {.pid = strtol(ids[i], NULL, 10)};

		if (process.pid <= 0)
			continue;
		process.start_usage = read_usage(process.pid);
		g_array_append_val(watch->processes, process);
	}
	g_strfreev(ids);
	return watch;
}

void
load_watch_print(const load_watch_t *watch, dff_time_t duration)
{
	for (guint i = 0; i < watch->processes->len; i++) {
		const process_t *process =
		    &g_array_index(watch->processes, process_t, i);
		usage_t usage = read_usage(process->pid);

		if (!usage.known || !process->start_usage.known) {
			(void)printf("pid %ld: not running\n", process->pid);
			continue;
		}
		(void)printf("pid %ld: cpu_s=%.2f core_share=%.2f%% "
			     "rss_kib=%.0f grown_kib=%.0f\n",
		    process->pid,
		    usage.cpu_seconds - process->start_usage.cpu_seconds,
		    100 *
			(usage.cpu_seconds - process->start_usage.cpu_seconds) *
			DFF_SEC / (double)duration,
		    usage.rss_kib,
		    usage.rss_kib - process->start_usage.rss_kib);
	}
}

void
load_watch_drop(load_watch_t *watch)
{
	if (watch == NULL)
		return;
	g_array_unref(watch->processes);
	g_free(watch);
}
