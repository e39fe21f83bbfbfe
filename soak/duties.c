/*
 * The platform's API as it sees the holders of duties: it carries calls out,
 * refuses them, loses answers, or carries them out late, and checks that there
 * is one holder at a time and one report of each window.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "soak/soak.h"

/* lease_ms of the settings: holders may not alternate within it. */
#define LEASE_MSEC 3000
/* thaw_ms of the settings: calls of a process do not count so soon after it was
 * stopped. */
#define THAW_MSEC 300
/* Longest time by which a call without an answer is carried out late. */
#define LATE_MAX_MSEC 2000
/* Time after a stall of this program in which calls do not count. */
#define STALL_EFFECT_TIME (3 * DFF_SEC)
/* Share of calls that each fault befalls. */
#define FAULT_SHARE 0.08
/* Upper bound of the time until a holder that acts is killed, stopped or cut off
 * from the store. */
#define HIT_MAX_MSEC 6000
/* Bounds of the time of a stop or cut: up to longer than a lease. */
#define STOP_MIN_MSEC 3000
#define STOP_MAX_MSEC 12000

/* A call as it arrived. */
typedef struct duty_call {
	uv_timer_t timer; /* first: until it is carried out */
	soak_t *soak;
	int edge;
	uint64_t token;
	json_int_t window;
	char *counts;
} duty_call_t;

/* An address of the API, for one edge: a name could be another machine's. */
typedef struct duty_api {
	soak_t *soak;
	int edge;
	dff_h1d_t *server;
} duty_api_t;

struct duties_sim {
	GRand *rng;
	bool fence; /* calls with a lower token are refused */
	duty_api_t apis[EDGES];
	GHashTable *holders; /* token to edge + 1 */
	GHashTable *reports; /* window to counts */
	uint64_t highest;
	int last_edge; /* that acted; -1 before any */
	dff_time_t acted_at[EDGES];
	dff_time_t next_hit; /* 0 until a holder acts */
	int stopped_edge;
	dff_time_t stopped_until; /* 0 if none is stopped or cut by this */
	int calls;
	int late;
	int refused;
	int changes; /* of the holder */
};

static bool
counts_in_time(const soak_t *soak, int edge, dff_time_t now)
{
	const edge_proc_t *sender = &soak->edges[edge];

	return !sender->paused &&
	    (sender->thawed_at == 0 ||
		now - sender->thawed_at > THAW_MSEC * DFF_MSEC) &&
	    (soak->last_stall == 0 ||
		now - soak->last_stall > STALL_EFFECT_TIME);
}

/* Without a check of tokens by the platform. */
static void
check_order(soak_t *soak, const duty_call_t *call, dff_time_t now)
{
	const duties_sim_t *duties = soak->duties;
	dff_time_t acted_at = duties->acted_at[call->edge];

	if (duties->fence || !counts_in_time(soak, call->edge, now))
		return;
	if (call->token < duties->highest)
		soak_fail(soak,
		    "lower token after a higher one edge=%d "
		    "token=%" G_GUINT64_FORMAT " highest=%" G_GUINT64_FORMAT,
		    call->edge, call->token, duties->highest);
	if (duties->last_edge != call->edge && acted_at != 0 &&
	    now - acted_at < LEASE_MSEC * DFF_MSEC)
		soak_fail(soak,
		    "holders alternate edge=%d between=%d "
		    "within_ms=%" G_GINT64_FORMAT,
		    call->edge, duties->last_edge, (now - acted_at) / DFF_MSEC);
}

static void
check_holder(soak_t *soak, const duty_call_t *call)
{
	GHashTable *holders = soak->duties->holders;
	int holder =
	    GPOINTER_TO_INT(g_hash_table_lookup(holders, &call->token));

	if (holder == 0)
		g_hash_table_insert(holders,
		    g_memdup2(&call->token, sizeof(call->token)),
		    GINT_TO_POINTER(call->edge + 1));
	else if (holder != call->edge + 1)
		soak_fail(soak,
		    "two holders with one token token=%" G_GUINT64_FORMAT
		    " edges=%d,%d",
		    call->token, holder - 1, call->edge);
}

static void
check_report(soak_t *soak, const duty_call_t *call)
{
	GHashTable *reports = soak->duties->reports;
	const char *earlier = g_hash_table_lookup(reports, &call->window);

	if (earlier == NULL)
		g_hash_table_insert(reports,
		    g_memdup2(&call->window, sizeof(call->window)),
		    g_strdup(call->counts));
	else if (strcmp(earlier, call->counts) != 0)
		soak_fail(soak,
		    "two reports of a window=%" JSON_INTEGER_FORMAT
		    " edge=%d first=%s then=%s",
		    call->window, call->edge, earlier, call->counts);
}

/* Returns the status of the answer. */
static int
carry_out(soak_t *soak, const duty_call_t *call)
{
	duties_sim_t *duties = soak->duties;
	dff_time_t now = dff_program_now();

	soak_trace(soak,
	    "duty edge=%d token=%" G_GUINT64_FORMAT
	    " window=%" JSON_INTEGER_FORMAT " counts=%s",
	    call->edge, call->token, call->window, call->counts);
	check_holder(soak, call);
	if (duties->fence && call->token < duties->highest) {
		duties->refused++;
		return 409;
	}
	check_order(soak, call, now);
	check_report(soak, call);
	duties->changes +=
	    duties->last_edge >= 0 && duties->last_edge != call->edge;
	duties->calls++;
	duties->highest = MAX(duties->highest, call->token);
	duties->last_edge = call->edge;
	if (duties->next_hit == 0)
		duties->next_hit = now +
		    g_rand_int_range(duties->rng, 0, HIT_MAX_MSEC) * DFF_MSEC;
	duties->acted_at[call->edge] = now;
	return 200;
}

static void
on_call_closed(uv_handle_t *handle)
{
	duty_call_t *call = (duty_call_t *)handle;

	free(call->counts);
	g_free(call);
}

static void
on_late(uv_timer_t *timer)
{
	duty_call_t *call = (duty_call_t *)timer;

	call->soak->duties->late++;
	(void)carry_out(call->soak, call);
	uv_close((uv_handle_t *)timer, on_call_closed);
}

/* NULL if it is none of a holder of the edge. */
static duty_call_t *
read_call(const duty_api_t *api, const dff_h1d_req_t *req)
{
	const dff_h1_head_t *head = dff_h1d_head(req);
	const GByteArray *body = dff_h1d_body(req);
	const char *token = dff_h1_field(head, "X-Fencing-Token");
	json_t *root = json_loadb((const char *)body->data, body->len, 0, NULL);
	const json_t *counts = json_object_get(root, "instanceCounts");
	const json_t *window = json_object_get(root, "window");
	duty_call_t *call = NULL;

	if (strcmp(head->target, "/usage") == 0 && token != NULL &&
	    json_is_object(counts) && json_is_integer(window)) {
		call = g_new0(duty_call_t, 1);
		call->soak = api->soak;
		call->edge = api->edge;
		call->token = strtoull(token, NULL, 10);
		call->window = json_integer_value(window);
		call->counts =
		    json_dumps(counts, JSON_COMPACT | JSON_SORT_KEYS);
	}
	json_decref(root);
	return call;
}

static void
on_call(void *arg, dff_h1d_req_t *req)
{
	const duty_api_t *api = arg;
	soak_t *soak = api->soak;
	duties_sim_t *duties = soak->duties;
	duty_call_t *call = read_call(api, req);
	uint64_t delay = 0;
	double draw = dff_program_now() < soak->faults_end ?
	    g_rand_double(duties->rng) :
	    1;
	int status = 503;

	if (call == NULL) {
		soak_fail(
		    soak, "call of a duty cannot be read edge=%d", api->edge);
		dff_h1d_answer(req, 400, "", "", 0);
		return;
	}
	(void)uv_timer_init(&soak->loop, &call->timer);
	if (draw < FAULT_SHARE) {
		/* Carried out late, without an answer. */
		delay =
		    (uint64_t)g_rand_int_range(duties->rng, 1, LATE_MAX_MSEC);
		(void)uv_timer_start(&call->timer, on_late, delay, 0);
		return;
	}
	if (draw >= 2 * FAULT_SHARE)
		status = carry_out(soak, call);
	if (draw >= 3 * FAULT_SHARE || draw < 2 * FAULT_SHARE)
		dff_h1d_answer(req, status, "", "", 0);
	uv_close((uv_handle_t *)&call->timer, on_call_closed);
}

static void
api_addr(const soak_t *soak, int edge, char *text, size_t size)
{
	(void)g_snprintf(
	    text, size, "127.%d.5.%d:8150", soak->net, EDGES + 2 + edge);
}

void
duties_start(soak_t *soak)
{
	static const dff_h1d_handlers_t handlers = {.request = on_call};
	const dff_h1d_limits_t limits = {4096, 65536, 65536, 10 * DFF_SEC};
	duties_sim_t *duties = g_new0(duties_sim_t, 1);

	soak->duties = duties;
	duties->rng = g_rand_new_with_seed(soak->seed + 4);
	duties->fence = soak->seed / 10 % 2 == 1;
	duties->holders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	duties->reports =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	duties->last_edge = -1;
	for (int i = 0; i < EDGES; i++) {
		duty_api_t *api = &duties->apis[i];
		char addr[32];

		api->soak = soak;
		api->edge = i;
		api_addr(soak, i, addr, sizeof(addr));
		if (dff_h1d_new(soak->ctx, &soak->loop, addr, &limits,
			&handlers, api, &api->server) < 0)
			g_error("API cannot listen addr=%s", addr);
	}
}

static void
hit_holder(soak_t *soak, edge_proc_t *edge, dff_time_t now)
{
	duties_sim_t *duties = soak->duties;
	int how = g_rand_int_range(duties->rng, 0, 4);

	duties->next_hit = 0;
	if (edge->paused || !edge->running)
		return;
	if (how == 0) {
		edge_signal(soak, edge, SIGKILL);
		return;
	}
	duties->stopped_edge = edge->index;
	duties->stopped_until = MIN(soak->faults_end,
	    now +
		g_rand_int_range(duties->rng, STOP_MIN_MSEC, STOP_MAX_MSEC) *
		    DFF_MSEC);
	if (how > 1) {
		soak_trace(soak, "holder is cut off from the store");
		proxy_set(edge->store_proxy, edge->index, LINK_SILENT);
		return;
	}
	edge->paused = true;
	edge_signal(soak, edge, SIGSTOP);
}

void
duties_tick(soak_t *soak)
{
	duties_sim_t *duties = soak->duties;
	dff_time_t now = dff_program_now();

	if (duties == NULL)
		return;
	if (duties->stopped_until != 0)
		soak->edges[duties->stopped_edge].last_fault = now;
	if (duties->stopped_until != 0 && now >= duties->stopped_until) {
		duties->stopped_until = 0;
		proxy_set(soak->edges[duties->stopped_edge].store_proxy,
		    duties->stopped_edge, LINK_OK);
		edge_resume(soak, &soak->edges[duties->stopped_edge]);
	}
	if (duties->stopped_until == 0 && duties->next_hit != 0 &&
	    now >= duties->next_hit && now < soak->faults_end)
		hit_holder(soak, &soak->edges[duties->last_edge], now);
}

char *
duties_settings(const soak_t *soak, int edge)
{
	char addr[32];

	if (soak->duties == NULL)
		return g_strdup("");
	api_addr(soak, edge, addr, sizeof(addr));
	return g_strdup_printf(
	    "cloud=%s\nduties=usage_report\nfence_required=%s\nlease_ms=%d\n"
	    "thaw_ms=%d\nusage_window_s=1\nusage_late_s=10\n",
	    addr, soak->duties->fence ? "true" : "false", LEASE_MSEC,
	    THAW_MSEC);
}

void
duties_print(const soak_t *soak)
{
	const duties_sim_t *duties = soak->duties;

	if (duties != NULL)
		(void)printf("seed=%u duties fence=%d calls=%d late=%d "
			     "refused=%d holders=%u changes=%d windows=%u\n",
		    soak->seed, duties->fence, duties->calls, duties->late,
		    duties->refused, g_hash_table_size(duties->holders),
		    duties->changes, g_hash_table_size(duties->reports));
}
