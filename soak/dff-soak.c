/*
 * dff-soak: real processes under faults from outside, by seed.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak/soak.h"

/* Nodes are up and records read before traffic and faults begin. */
#define WARM_TIME (3 * DFF_SEC)
/* Quiet time at the end: recovery, then a look at what is served. */
#define CALM_TIME (10 * DFF_SEC)
/* One tick of the callers. */
#define TICK_MSEC 10
/* A lag of this program beyond which its own timings prove nothing. */
#define STALL (200 * DFF_MSEC)
/* Mean time between two faults. */
#define FAULT_EVERY (600 * DFF_MSEC)
/* Longest fault. */
#define FAULT_MAX_MSEC 3000

void
soak_note(soak_t *soak, const char *fmt, ...)
{
	va_list args;
	char *text;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	g_ptr_array_add(soak->trace,
	    g_strdup_printf("%8.3f %s",
		(double)(dff_program_now() - soak->start) / DFF_SEC, text));
	g_free(text);
}

void
soak_fail(soak_t *soak, const char *fmt, ...)
{
	va_list args;
	char *text;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	soak->broken++;
	soak_note(soak, "BROKEN %s", text);
	(void)printf("seed=%u broken at=%.3f %s\n", soak->seed,
	    (double)(dff_program_now() - soak->start) / DFF_SEC, text);
	g_free(text);
}

/* ---- faults ---- */

/* The end of a fault. */
typedef struct undo {
	uv_timer_t timer;
	soak_t *soak;
	proxy_t *proxy;
	edge_proc_t *edge;
	bool store;
	bool spoil;
} undo_t;

static void
on_undo_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void
on_undo(uv_timer_t *timer)
{
	undo_t *undo = timer->data;
	soak_t *soak = undo->soak;
	dff_time_t now = dff_program_now();

	if (undo->proxy != NULL)
		proxy_set(undo->proxy, LINK_WELL);
	if (undo->edge != NULL) {
		undo->edge->disturbed = now;
		if (undo->edge->paused && undo->edge->running) {
			undo->edge->paused = false;
			edge_signal(soak, undo->edge, SIGCONT);
		}
	}
	if (undo->store) {
		standin_set_fault(soak->store, STANDIN_HEALTHY);
		soak->store_disturbed = now;
	}
	if (undo->spoil)
		upstream_spoil(soak, 0);
	soak_note(soak, "fault ends");
	uv_close((uv_handle_t *)timer, on_undo_closed);
}

static undo_t *
undo_later(soak_t *soak)
{
	undo_t *undo = g_new0(undo_t, 1);

	undo->soak = soak;
	undo->timer.data = undo;
	(void)uv_timer_init(&soak->loop, &undo->timer);
	(void)uv_timer_start(&undo->timer, on_undo,
	    (uint64_t)g_rand_int_range(soak->dice, 100, FAULT_MAX_MSEC), 0);
	return undo;
}

static void
fault_link(soak_t *soak, proxy_t *proxy, edge_proc_t *edge, const char *name)
{
	link_fault_t fault = (link_fault_t)g_rand_int_range(
	    soak->dice, LINK_STALLED, LINK_REFUSED + 1);
	undo_t *undo = undo_later(soak);

	undo->proxy = proxy;
	undo->edge = edge;
	if (edge != NULL)
		edge->disturbed = dff_program_now();
	soak_note(soak, "link fault=%d to=%s", (int)fault, name);
	proxy_set(proxy, fault);
}

static void
fault_store(soak_t *soak)
{
	standin_fault_t fault = (standin_fault_t)g_rand_int_range(
	    soak->dice, STANDIN_BUSY, STANDIN_LOSES_ANSWERS + 1);

	undo_later(soak)->store = true;
	soak->store_disturbed = dff_program_now();
	soak_note(soak, "store fault=%d", (int)fault);
	standin_set_fault(soak->store, fault);
}

static void
fault_pause(soak_t *soak, edge_proc_t *edge)
{
	if (edge->paused || !edge->running)
		return;
	edge->paused = true;
	edge_signal(soak, edge, SIGSTOP);
	undo_later(soak)->edge = edge;
}

static void
inject(soak_t *soak)
{
	edge_proc_t *edge =
	    &soak->edges[g_rand_int_range(soak->dice, 0, EDGES)];
	soak_upstream_t *up =
	    &soak->upstreams[g_rand_int_range(soak->dice, 0, UPSTREAMS)];

	switch (g_rand_int_range(soak->dice, 0, 11)) {
	case 0:
		edge_signal(soak, edge, SIGKILL);
		break;
	case 1:
		edge_signal(soak, edge, SIGTERM);
		break;
	case 2:
		fault_pause(soak, edge);
		break;
	case 3:
		edge_write_settings(soak, edge);
		edge_signal(soak, edge, SIGHUP);
		break;
	case 4:
		fault_link(soak, edge->store, edge, "store");
		break;
	case 5:
		if (!up->dead)
			fault_link(soak, up->proxy, NULL, up->id);
		break;
	case 6:
		fault_store(soak);
		break;
	case 7:
		upstream_leave(soak, up);
		break;
	case 8:
		upstream_crash(soak, up);
		break;
	case 9:
		soak->moved_to_other = !soak->moved_to_other;
		config_write(soak);
		break;
	default:
		upstream_spoil(soak, 0.2);
		undo_later(soak)->spoil = true;
		break;
	}
}

/* ---- the run ---- */

bool
soak_is_stalled(soak_t *soak)
{
	dff_time_t now = dff_program_now();
	bool stalled = now - soak->ticked > STALL;

	if (stalled)
		soak->stalled = now;
	return stalled;
}

static dff_time_t last_beat;
static dff_time_t next_fault;

static void
on_tick(uv_timer_t *timer)
{
	soak_t *soak = timer->data;
	dff_time_t now = dff_program_now();

	(void)soak_is_stalled(soak);
	soak->ticked = now;
	edges_tick(soak);
	if (now - last_beat > 700 * DFF_MSEC) {
		last_beat = now;
		upstreams_beat(soak);
	}
	if (now - soak->start > WARM_TIME)
		callers_tick(soak);
	if (now > next_fault && now < soak->calm_from) {
		inject(soak);
		next_fault = now +
		    (dff_time_t)(2 * g_rand_double(soak->dice) * FAULT_EVERY);
	}
	if (now > soak->end)
		uv_stop(&soak->loop);
}

static void
write_trace(const soak_t *soak)
{
	char *path = g_strdup_printf("%s/trace.txt", soak->folder);
	FILE *file = fopen(path, "w");

	for (guint i = 0; file != NULL && i < soak->trace->len; i++)
		(void)fprintf(file, "%s\n", (char *)soak->trace->pdata[i]);
	if (file != NULL)
		(void)fclose(file);
	(void)printf("seed=%u trace=%s and the processes' logs beside it\n",
	    soak->seed, path);
	g_free(path);
}

static void
remove_folder(const soak_t *soak)
{
	GDir *dir = g_dir_open(soak->folder, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *path = g_build_filename(soak->folder, name, NULL);

		(void)unlink(path);
		g_free(path);
	}
	if (dir != NULL)
		g_dir_close(dir);
	(void)rmdir(soak->folder);
}

static void
run(soak_t *soak, dff_time_t faults)
{
	char *store = g_strdup_printf("127.%d.5.1:8142", soak->net);
	uv_timer_t tick = {.data = soak};

	(void)uv_loop_init(&soak->loop);
	soak->loop.data = soak;
	soak->start = dff_program_now();
	soak->calm_from = soak->start + WARM_TIME + faults;
	soak->end = soak->calm_from + CALM_TIME;
	soak->store = standin_new(soak->ctx, &soak->loop, store);
	soak->client = dff_h1c_new(soak->ctx, &soak->loop);
	config_write(soak);
	upstreams_start(soak);
	edges_start(soak);
	soak->ticked = soak->start;
	next_fault = soak->start + WARM_TIME;
	(void)uv_timer_init(&soak->loop, &tick);
	(void)uv_timer_start(&tick, on_tick, TICK_MSEC, TICK_MSEC);
	(void)uv_run(&soak->loop, UV_RUN_DEFAULT);
	callers_check_all(soak);
	edges_end(soak);
	g_free(store);
}

int
main(int argc, char **argv)
{
	static soak_t soak;
	int64_t seed = 1;
	int64_t seconds = 15;
	int64_t net = 0;
	char *program = NULL;
	const dff_setting_t settings[] = {
	    {.name = "seed",
		.kind = DFF_SETTING_INT,
		.value = &seed,
		.fallback = "1",
		.min = 1,
		.max = 4294967295.0,
		.help = "seed of the faults and requests"},
	    {.name = "seconds",
		.kind = DFF_SETTING_INT,
		.value = &seconds,
		.fallback = "15",
		.min = 1,
		.max = 3600,
		.unit = "s",
		.help = "time with faults; some quiet time is added"},
	    {.name = "net",
		.kind = DFF_SETTING_INT,
		.value = &net,
		.fallback = "0",
		.min = 0,
		.max = 250,
		.help = "second byte of the loopback addresses; 0: by seed"},
	    {.name = "program",
		.kind = DFF_SETTING_TEXT,
		.value = &program,
		.fallback = "build/plain/dff-edge",
		.help = "path of dff-edge"},
	    {.name = NULL}};
	char template[] = "/tmp/dff-soak-XXXXXX";

	if (dff_settings_load("Runs dff-edge under faults from outside.",
		settings, &argc, &argv) != 0)
		return 2;
	(void)signal(SIGPIPE, SIG_IGN);
	soak.seed = (uint32_t)seed;
	soak.net = net != 0 ? (int)net : (int)(seed % 240) + 10;
	soak.program = program;
	soak.folder = mkdtemp(template);
	soak.dice = g_rand_new_with_seed(soak.seed);
	soak.ctx = dff_ctx_new(soak.seed, DFF_LOG_ERR, NULL, NULL);
	soak.attempts = g_hash_table_new(g_str_hash, g_str_equal);
	soak.trace = g_ptr_array_new();
	run(&soak, seconds * DFF_SEC);
	(void)printf("seed=%u asked=%d served=%d calm=%d/%d ended=%d late=%d "
		     "broken=%d\n",
	    soak.seed, soak.asked, soak.served, soak.calm_served,
	    soak.calm_asked, soak.bad_ended, soak.bad_late, soak.broken);
	if (soak.broken > 0)
		write_trace(&soak);
	else
		remove_folder(&soak);
	return soak.broken > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}
