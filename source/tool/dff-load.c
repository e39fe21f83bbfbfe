/*
 * Load generator: sends requests in an open loop to entries, to engines or to
 * both, and reports latencies and errors as callers see them.
 */
#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "load.h"

/* Exit statuses. */
#define EXIT_DONE    0
#define EXIT_INVALID 1 /* some answers were incomplete or wrong */
#define EXIT_USAGE   2
/* Upper bound of the settings for time limits. */
#define TIME_MAX_MSEC 3600000

typedef struct settings {
	char *entry;
	char *engine;
	char *mix;
	char *csv;
	char *watch;
	double rate;
	int64_t requests;
	int64_t seed;
	int64_t connections;
	int64_t retries;
	dff_time_t first_token_limit;
	dff_time_t token_gap_limit;
	dff_time_t total_limit;
	dff_time_t idle_timeout;
} settings_t;

/* Schedule of the remaining arrivals. */
typedef struct arrivals {
	load_t *load;
	uv_timer_t timer;
	double rate;
	int64_t remaining;
	dff_time_t next_at;
} arrivals_t;

static char **
split_addrs(const char *text)
{
	GPtrArray *addrs = g_ptr_array_new();
	char **words = g_strsplit(text, ",", -1);

	for (size_t i = 0; words[i] != NULL; i++) {
		if (*g_strstrip(words[i]) != '\0')
			g_ptr_array_add(addrs, g_strdup(words[i]));
	}
	g_strfreev(words);
	g_ptr_array_add(addrs, NULL);
	return (char **)g_ptr_array_free(addrs, FALSE);
}

/* Send one drawn request to each side. Requests to plain services are not
 * sent to engines. */
static void
send_next(arrivals_t *arrivals)
{
	load_t *load = arrivals->load;
	load_draw_t draw;
	uint32_t count;

	load_mix_draw(load->ctx, load->mix, &draw);
	for (int side = 0; side < LOAD_SIDES; side++) {
		if (load->addrs[side][0] == NULL ||
		    (side == LOAD_ENGINE &&
			load_mix_groups(load->mix, &count)[draw.group].service))
			continue;
		load_request_start(
		    load, &draw, (load_side_t)side, arrivals->next_at);
	}
	arrivals->remaining--;
	arrivals->next_at += (dff_time_t)(-log(1 - dff_rand_unit(load->ctx)) /
	    arrivals->rate * DFF_SEC);
}

static void
on_arrivals(uv_timer_t *timer)
{
	arrivals_t *arrivals = timer->data;
	dff_time_t now = dff_program_now();
	dff_time_t wait;

	while (arrivals->remaining > 0 && arrivals->next_at <= now)
		send_next(arrivals);
	if (arrivals->remaining == 0) {
		uv_close((uv_handle_t *)timer, NULL);
		return;
	}
	wait = dff_program_time_until(arrivals->next_at);
	uv_update_time(timer->loop);
	(void)uv_timer_start(
	    timer, on_arrivals, (uint64_t)(wait / DFF_MSEC), 0);
}

static dff_time_t
run_arrivals(load_t *load, const settings_t *settings)
{
	dff_time_t started = dff_program_now();
	arrivals_t arrivals = {.load = load,
	    .rate = settings->rate,
	    .remaining = settings->requests,
	    .next_at = started};

	(void)uv_timer_init(&load->loop, &arrivals.timer);
	arrivals.timer.data = &arrivals;
	(void)uv_timer_start(&arrivals.timer, on_arrivals, 0, 0);
	while (arrivals.remaining > 0 || load->unfinished > 0)
		(void)uv_run(&load->loop, UV_RUN_ONCE);
	return dff_program_now() - started;
}

static int
run_load(load_t *load, const settings_t *settings)
{
	load_watch_t *watch = load_watch_new(settings->watch);
	dff_time_t duration;

	load->ctx = dff_program_ctx("dff-load", (uint32_t)settings->seed);
	(void)g_snprintf(load->run_id, sizeof(load->run_id), "%" PRIx64,
	    dff_program_wall_ms());
	(void)uv_loop_init(&load->loop);
	load->httpc = dff_httpc_new(load->ctx, &load->loop);
	duration = run_arrivals(load, settings);
	load_report_print(load->report, duration);
	load_watch_print(watch, duration);
	load_watch_drop(watch);
	dff_httpc_drop(load->httpc);
	(void)uv_run(&load->loop, UV_RUN_DEFAULT);
	(void)uv_loop_close(&load->loop);
	dff_ctx_drop(load->ctx);
	return load_report_count_invalid(load->report) > 0 ? EXIT_INVALID :
							     EXIT_DONE;
}

static int
run(const settings_t *settings)
{
	const load_group_t defaults = {
	    .stream = true,
	    .first_token_limit = settings->first_token_limit,
	    .token_gap_limit = settings->token_gap_limit,
	    .total_limit = settings->total_limit,
	};
	load_t load = {
	    .connections = settings->connections,
	    .retries = settings->retries,
	    .idle_timeout = settings->idle_timeout,
	};
	int rc = EXIT_USAGE;

	load.addrs[LOAD_ENTRY] = split_addrs(settings->entry);
	load.addrs[LOAD_ENGINE] = split_addrs(settings->engine);
	load.mix = load_mix_read(settings->mix, &defaults);
	if (load.mix != NULL)
		load.report = load_report_new(load.mix, settings->csv);
	if (load.addrs[LOAD_ENTRY][0] == NULL &&
	    load.addrs[LOAD_ENGINE][0] == NULL)
		(void)fprintf(stderr,
		    "dff-load: --entry or --engine must "
		    "name an address\n");
	else if (load.report != NULL)
		rc = run_load(&load, settings);
	load_report_drop(load.report);
	load_mix_drop(load.mix);
	g_strfreev(load.addrs[LOAD_ENTRY]);
	g_strfreev(load.addrs[LOAD_ENGINE]);
	return rc;
}

int
main(int argc, char **argv)
{
	settings_t s = {0};
	const dff_setting_t settings[] = {
	    {"entry", DFF_SETTING_TEXT, &s.entry, "", 0, 0, NULL, NULL,
		"entries to use in turn, ip:port separated by commas"},
	    {"engine", DFF_SETTING_TEXT, &s.engine, "", 0, 0, NULL, NULL,
		"engines to use in turn, without an entry in between, "
		"ip:port separated by commas"},
	    {"mix", DFF_SETTING_TEXT, &s.mix, NULL, 0, 0, NULL, NULL,
		"file of groups [entry NAME] that describe the requests"},
	    {"rate", DFF_SETTING_REAL, &s.rate, "10", 0.001, 100000, NULL,
		"1/s", "mean arrival rate of requests at each side"},
	    {"requests", DFF_SETTING_INT, &s.requests, "100", 1, 1e9, NULL,
		NULL, "total number of requests at each side"},
	    {"seed", DFF_SETTING_INT, &s.seed, "1", 0, 4294967295.0, NULL, NULL,
		"seed of arrival times and sizes"},
	    {"connections", DFF_SETTING_INT, &s.connections, "256", 1, 100000,
		NULL, NULL,
		"maximum number of requests in flight at each side; others wait"},
	    {"retries", DFF_SETTING_INT, &s.retries, "0", 0, 100, NULL, NULL,
		"maximum number of retries of a refused request, each after the "
		"delay that the refusal names, or 1 s"},
	    {"first-token", DFF_SETTING_MSEC, &s.first_token_limit, "2000", 1,
		TIME_MAX_MSEC, NULL, NULL,
		"limit for the first token where the mix gives none"},
	    {"token-gap", DFF_SETTING_MSEC, &s.token_gap_limit, "500", 1,
		TIME_MAX_MSEC, NULL, NULL,
		"limit between two token events where the mix gives none"},
	    {"whole", DFF_SETTING_MSEC, &s.total_limit, "20000", 1,
		TIME_MAX_MSEC, NULL, NULL,
		"limit for the complete answer where the mix gives none"},
	    {"silence", DFF_SETTING_MSEC, &s.idle_timeout, "60000", 100,
		TIME_MAX_MSEC, NULL, NULL,
		"longest time without data from a server"},
	    {"csv", DFF_SETTING_TEXT, &s.csv, "", 0, 0, NULL, NULL,
		"CSV file to which each result is written"},
	    {"watch", DFF_SETTING_TEXT, &s.watch, "", 0, 0, NULL, NULL,
		"ids of processes, separated by commas, whose CPU time and "
		"memory are reported"},
	    {NULL, DFF_SETTING_TEXT, NULL, NULL, 0, 0, NULL, NULL, NULL},
	};
	int rc;

	(void)signal(SIGPIPE, SIG_IGN);
	rc = dff_settings_load(
	    "Load generator: sends requests at a rate that does not depend "
	    "on the answers.",
	    settings, &argc, &argv);
	if (rc == 0)
		rc = run(&s);
	else
		rc = rc > 0 ? EXIT_DONE : EXIT_USAGE;
	dff_settings_drop(settings);
	return rc;
}
