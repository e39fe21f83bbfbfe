#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "load.h"

/* Processor time and memory of one process at one moment. */
typedef struct use {
	bool known;
	double seconds;
	double rss_kib;
} use_t;

typedef struct process {
	long pid;
	use_t before;
} process_t;

struct load_watch {
	GArray *processes;
};

/* Read /proc/PID/stat: fields 14, 15 and 24 of proc(5). */
static use_t
read_use(long pid)
{
	use_t use = {0};
	char path[64];
	char *text = NULL;
	const char *after;
	unsigned long user;
	unsigned long system;
	long pages;

	(void)snprintf(path, sizeof(path), "/proc/%ld/stat", pid);
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return use;
	/* The program's name, in brackets, may have blanks in it. */
	after = strrchr(text, ')');
	if (after != NULL &&
	    sscanf(after,
		") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu %*d "
		"%*d %*d %*d %*d %*d %*u %*u %ld",
		&user, &system, &pages) == 3) {
		use.known = true;
		use.seconds =
		    (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
		use.rss_kib =
		    (double)pages * (double)sysconf(_SC_PAGESIZE) / 1024;
	}
	g_free(text);
	return use;
}

load_watch_t *
load_watch_new(const char *pids)
{
	load_watch_t *watch = g_new0(load_watch_t, 1);
	char **words = g_strsplit(pids, ",", -1);

	watch->processes = g_array_new(FALSE, TRUE, sizeof(process_t));
	for (size_t i = 0; words[i] != NULL; i++) {
		process_t process = {.pid = strtol(words[i], NULL, 10)};

		if (process.pid <= 0)
			continue;
		process.before = read_use(process.pid);
		g_array_append_val(watch->processes, process);
	}
	g_strfreev(words);
	return watch;
}

void
load_watch_print(const load_watch_t *watch, dff_time_t time)
{
	for (guint i = 0; i < watch->processes->len; i++) {
		const process_t *process =
		    &g_array_index(watch->processes, process_t, i);
		use_t use = read_use(process->pid);

		if (!use.known || !process->before.known) {
			(void)printf("pid %ld: not running\n", process->pid);
			continue;
		}
		(void)printf("pid %ld: cpu_s=%.2f core_share=%.2f%% "
			     "rss_kib=%.0f grown_kib=%.0f\n",
		    process->pid, use.seconds - process->before.seconds,
		    100 * (use.seconds - process->before.seconds) * DFF_SEC /
			(double)time,
		    use.rss_kib, use.rss_kib - process->before.rss_kib);
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
