/*
 * dff-soak runs dff-edge processes and injects faults from outside; the seed
 * chooses the faults and the requests.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak/soak.h"

/* Time for nodes to start and read the records before requests and faults
 * begin. */
#define WARMUP_TIME (3 * DFF_SEC)
/* Time without faults at the end: the nodes recover, then requests count for
 * the recovery check. */
#define RECOVERY_TIME (10 * DFF_SEC)
/* Interval of on_tick(). */
#define TICK_MSEC 10
/* If a tick is later than this, time measurements of this program are not
 * reliable. */
#define STALL_LIMIT (200 * DFF_MSEC)
/* Mean time between two faults. */
#define FAULT_MEAN_INTERVAL (600 * DFF_MSEC)
/* Upper bound of the duration of a fault. */
#define FAULT_MAX_MSEC 3000
/* Time for which an edge is cut off from all upstreams. */
#define CUT_MSEC 5000
/* Value of the setting "keys" by which the seed decides. The seeds that were
 * found before there were keys have none. */
#define KEYS_BY_SEED 2

void
soak_trace(soak_t *soak, const char *fmt, ...)
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
	soak->violations++;
	soak_trace(soak, "BROKEN %s", text);
	(void)printf("seed=%u broken at=%.3f %s\n", soak->seed,
	    (double)(dff_program_now() - soak->start) / DFF_SEC, text);
	g_free(text);
}

/* ---- faults ---- */

/* What a timer reverts at the end of a fault. */
typedef struct undo {
	uv_timer_t timer;
	soak_t *soak;
	edge_proc_t *edge;
	edge_proc_t *store_link; /* edge whose link to the store fails */
	edge_proc_t *cut; /* edge that is cut off from all upstreams */
	soak_upstream_t *up;
	bool store;
	bool corruption;
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

	if (undo->store_link != NULL)
		proxy_set(undo->store_link->store_proxy,
		    undo->store_link->index, LINK_OK);
	if (undo->up != NULL) {
		undo->up->last_fault = now;
		undo->up->link = LINK_OK;
		upstreams_set_links(soak);
	}
	if (undo->cut != NULL) {
		undo->cut->cut_since = 0;
		undo->cut->last_fault = now;
		upstreams_set_links(soak);
	}
	if (undo->edge != NULL)
		edge_resume(soak, undo->edge);
	if (undo->store) {
		standin_set_fault(soak->store, keys_store_fault(soak));
		soak->store_last_fault = now;
	}
	if (undo->corruption)
		upstreams_set_corrupt_share(soak, 0);
	soak_trace(soak, "fault ends");
	uv_close((uv_handle_t *)timer, on_undo_closed);
}

static undo_t *
schedule_undo(soak_t *soak)
{
	undo_t *undo = g_new0(undo_t, 1);

	undo->soak = soak;
	undo->timer.data = undo;
	(void)uv_timer_init(&soak->loop, &undo->timer);
	(void)uv_timer_start(&undo->timer, on_undo,
	    (uint64_t)g_rand_int_range(soak->rng, 100, FAULT_MAX_MSEC), 0);
	return undo;
}

static link_fault_t
random_link_fault(soak_t *soak)
{
	return (link_fault_t)g_rand_int_range(
	    soak->rng, LINK_STALLED, LINK_REFUSED + 1);
}

static void
fault_store_link(soak_t *soak, edge_proc_t *edge)
{
	link_fault_t fault = random_link_fault(soak);
	undo_t *undo = schedule_undo(soak);

	undo->store_link = edge;
	undo->edge = edge;
	edge->last_fault = dff_program_now();
	soak_trace(soak, "link fault=%d to=store", (int)fault);
	proxy_set(edge->store_proxy, edge->index, fault);
}

static void
fault_upstream_link(soak_t *soak, soak_upstream_t *up)
{
	up->link = random_link_fault(soak);
	up->last_fault = dff_program_now();
	schedule_undo(soak)->up = up;
	soak_trace(soak, "link fault=%d to=%s", (int)up->link, up->id);
	upstreams_set_links(soak);
}

/* Cuts an edge off from all upstreams, for long enough that it must serve its
 * callers through others. */
static void
fault_cut(soak_t *soak, edge_proc_t *edge)
{
	undo_t *undo;

	if (edge->cut_since != 0)
		return;
	undo = schedule_undo(soak);
	(void)uv_timer_start(&undo->timer, on_undo, CUT_MSEC, 0);
	undo->cut = edge;
	edge->cut_since = dff_program_now();
	edge->last_fault = edge->cut_since;
	soak->cuts++;
	soak_trace(soak, "edge index=%d is cut off", edge->index);
	upstreams_set_links(soak);
}

static void
fault_store(soak_t *soak)
{
	standin_fault_t fault = (standin_fault_t)g_rand_int_range(
	    soak->rng, STANDIN_BUSY, STANDIN_LOSES_ANSWERS + 1);

	schedule_undo(soak)->store = true;
	soak->store_last_fault = dff_program_now();
	soak_trace(soak, "store fault=%d", (int)fault);
	standin_set_fault(soak->store, fault);
}

static void
fault_pause(soak_t *soak, edge_proc_t *edge)
{
	if (edge->paused || !edge->running)
		return;
	edge->paused = true;
	edge_signal(soak, edge, SIGSTOP);
	schedule_undo(soak)->edge = edge;
}

static void
inject_fault(soak_t *soak)
{
	edge_proc_t *edge = &soak->edges[g_rand_int_range(soak->rng, 0, EDGES)];
	soak_upstream_t *up =
	    &soak->upstreams[g_rand_int_range(soak->rng, 0, UPSTREAMS)];

	switch (g_rand_int_range(soak->rng, 0, 12)) {
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
		fault_store_link(soak, edge);
		break;
	case 5:
		if (!up->crashed)
			fault_upstream_link(soak, up);
		break;
	case 6:
		fault_store(soak);
		break;
	case 7:
		upstream_drain(soak, up);
		break;
	case 8:
		upstream_crash(soak, up);
		break;
	case 9:
		fault_cut(soak, edge);
		break;
	case 10:
		soak->move_uses_other = !soak->move_uses_other;
		config_write(soak);
		break;
	default:
		upstreams_set_corrupt_share(soak, 0.2);
		schedule_undo(soak)->corruption = true;
		break;
	}
}

/* ---- the run ---- */

bool
soak_is_stalled(soak_t *soak)
{
	dff_time_t now = dff_program_now();
	bool stalled = now - soak->last_tick > STALL_LIMIT;

	if (stalled)
		soak->last_stall = now;
	return stalled;
}

static dff_time_t last_refresh;
static dff_time_t next_fault;

static void
on_tick(uv_timer_t *timer)
{
	soak_t *soak = timer->data;
	dff_time_t now = dff_program_now();

	(void)soak_is_stalled(soak);
	soak->last_tick = now;
	edges_tick(soak);
	if (now - last_refresh > 700 * DFF_MSEC) {
		last_refresh = now;
		upstreams_refresh_records(soak);
	}
	if (now - soak->start > WARMUP_TIME) {
		limits_tick(soak);
		returns_tick(soak);
		keys_tick(soak);
		duties_tick(soak);
		callers_tick(soak);
	}
	if (now > next_fault && now < soak->faults_end) {
		inject_fault(soak);
		next_fault = now +
		    (dff_time_t)(2 * g_rand_double(soak->rng) *
			FAULT_MEAN_INTERVAL);
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
run_soak(soak_t *soak, dff_time_t faults, bool with_keys)
{
	char *store = g_strdup_printf("127.%d.5.1:8142", soak->net);
	uv_timer_t tick = {.data = soak};

	(void)uv_loop_init(&soak->loop);
	soak->loop.data = soak;
	soak->start = dff_program_now();
	soak->faults_end = soak->start + WARMUP_TIME + faults;
	soak->end = soak->faults_end + RECOVERY_TIME;
	soak->store = standin_new(soak->ctx, &soak->loop, store);
	soak->client = dff_h1c_new(soak->ctx, &soak->loop);
	if (with_keys) {
		keys_start(soak);
		/* The store is silent for long in the others. */
		if (soak->seed % 2 == 1)
			duties_start(soak);
	}
	config_write(soak);
	limits_start(soak);
	returns_start(soak);
	upstreams_start(soak);
	edges_start(soak);
	soak->last_tick = soak->start;
	next_fault = soak->start + WARMUP_TIME;
	(void)uv_timer_init(&soak->loop, &tick);
	(void)uv_timer_start(&tick, on_tick, TICK_MSEC, TICK_MSEC);
	(void)uv_run(&soak->loop, UV_RUN_DEFAULT);
	callers_check_all(soak);
	edges_kill(soak);
	g_free(store);
}

int
main(int argc, char **argv)
{
	static soak_t soak;
	int64_t seed = 1;
	int64_t seconds = 15;
	int64_t net = 0;
	int64_t keys = KEYS_BY_SEED;
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
	    {.name = "keys",
		.kind = DFF_SETTING_INT,
		.value = &keys,
		.fallback = "2",
		.min = 0,
		.max = KEYS_BY_SEED,
		.help = "1: requests need keys; 0: not; 2: for a fifth of the "
			"seeds"},
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
	soak.rng = g_rand_new_with_seed(soak.seed);
	soak.ctx = dff_ctx_new(soak.seed, DFF_LOG_ERR, NULL, NULL);
	soak.attempts = g_hash_table_new(g_str_hash, g_str_equal);
	soak.trace = g_ptr_array_new();
	run_soak(&soak, seconds * DFF_SEC,
	    keys == KEYS_BY_SEED ? seed % 5 == 2 : keys > 0);
	keys_print(&soak);
	duties_print(&soak);
	(void)printf("seed=%u asked=%d served=%d calm=%d/%d ended=%d late=%d "
		     "part_ended=%d part_late=%d "
		     "limited=%d returns=%d resumed=%d went_on=%d "
		     "cuts=%d cut_served=%d/%d others_served=%d/%d "
		     "broken=%d\n",
	    soak.seed, soak.requests, soak.served, soak.recovery_served,
	    soak.recovery_requests, soak.bad.crashes, soak.bad.late,
	    soak.part.crashes, soak.part.late, soak.limited_requests,
	    soak.returns, soak.resumed, soak.went_on, soak.cuts,
	    soak.cut_served, soak.cut_first, soak.others_served,
	    soak.others_first, soak.violations);
	if (soak.violations > 0)
		write_trace(&soak);
	else
		remove_folder(&soak);
	return soak.violations > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}
