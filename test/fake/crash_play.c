#include "crash_play.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#define UPSTREAMS_MAX 32
#define CALLS_MAX     4096
/* Ages are told in whole ms, and no tick takes so many. */
#define TICK (1999 * DFF_USEC)
/* From the first byte of a send to the crash, and to a harmless answer. */
#define CRASH_AFTER  (50 * DFF_MSEC)
#define ANSWER_AFTER (100 * DFF_MSEC)
/* From the start of an upstream until nodes hear its record. */
#define RECORD_LAG (1 * DFF_SEC)
/* From then on sends count as late. */
#define LATE_AFTER (3 * DFF_SEC)

typedef struct upstream_play {
	char id[16];
	uint64_t born;
	bool alive;
	bool unreached; /* from the node that is far, next time */
	dff_time_t back_at;
	dff_time_t lapse_at;
	dff_time_t record_at;
} upstream_play_t;

/** enum job_state - of a send */
typedef enum job_state {
	JOB_WAITS, /* until it leaves its node */
	JOB_RUNS,
	JOB_HANGS, /* until its node gives up */
	JOB_BREAKS, /* its end is told at the next tick */
	JOB_UNREACHED,
} job_state_t;

typedef struct job {
	int node;
	int upstream;
	uint64_t send;
	uint64_t content;
	dff_stage_t step;
	job_state_t state;
	dff_time_t ends_at;
} job_t;

typedef struct probe {
	int node;
	int upstream;
} probe_t;

static crash_plan_t plan;
static relay_net_t net;
static upstream_play_t ups[UPSTREAMS_MAX];
static GArray *jobs;
static GArray *probes; /* probe_t, answered at the next tick */
static uint64_t contents[NODES_MAX][CALLS_MAX];
static int statuses[NODES_MAX];
static dff_time_t retries[NODES_MAX];
static crash_tally_t tally;
static dff_time_t third_at;
static dff_crash_report_t kept; /* the newest that was to be kept */
static dff_time_t kept_at;
static uint32_t runs;

static void take_effects(int node);

static void
feed(int node, const dff_relay_event_t *event)
{
	relay_bench_step(net.nodes[node], event);
	take_effects(node);
}

/* ---- records ---- */

static void
tell_record(int node, const upstream_play_t *up, bool gone)
{
	dff_relay_event_t event = {.type = DFF_RELAY_UPSTREAM};
	dff_upstream_record_t *news = &event.upstream;
	int index = (int)(up - ups);

	g_strlcpy(news->id, up->id, sizeof(news->id));
	(void)g_snprintf(
	    news->addr, sizeof(news->addr), "10.9.0.%d:80", index + 1);
	g_strlcpy(news->domain, "a", sizeof(news->domain));
	g_strlcpy(
	    news->pool, plan.engines ? "llm" : "plain", sizeof(news->pool));
	if (plan.engines)
		news->role =
		    index % 2 == 0 ? DFF_ROLE_PREFILL : DFF_ROLE_DECODE;
	news->slots = 64;
	news->started_ms = up->born;
	news->seq = 1;
	news->removed = gone;
	feed(node, &event);
}

static void
tell_all(const upstream_play_t *up, bool gone)
{
	for (int i = 0; i < net.count; i++)
		tell_record(i, up, gone);
}

/* ---- upstreams ---- */

static dff_time_t
now(void)
{
	return net.nodes[0]->now;
}

static void
crash(int upstream)
{
	upstream_play_t *up = &ups[upstream];

	if (!up->alive)
		return;
	up->alive = false;
	up->back_at = now() + plan.back;
	if (plan.lapse != DFF_TIME_NEVER)
		up->lapse_at = now() + plan.lapse;
	tally.ended++;
	if (tally.ended == 3)
		third_at = now();
	for (guint i = 0; i < jobs->len; i++) {
		job_t *job = &g_array_index(jobs, job_t, i);

		if (job->upstream == upstream && job->state == JOB_RUNS)
			job->state = plan.dark ? JOB_HANGS : JOB_BREAKS;
	}
}

static bool
crashes(const job_t *job)
{
	return job->content == CRASH_CONTENT &&
	    !(plan.spares_readers && job->step == DFF_STAGE_PREFILL);
}

/* A send has left its node. */
static void
arrive(job_t *job)
{
	upstream_play_t *up = &ups[job->upstream];

	if (!up->alive) {
		job->state = JOB_UNREACHED;
		return;
	}
	if (plan.far != 0 && job->node == plan.far) {
		up->unreached = !up->unreached;
		job->state = up->unreached ? JOB_BREAKS : JOB_UNREACHED;
		return;
	}
	job->state = JOB_RUNS;
	if (!crashes(job)) {
		job->ends_at = now() + ANSWER_AFTER;
		return;
	}
	job->ends_at = now() + CRASH_AFTER;
	if (third_at != 0 && now() - third_at > LATE_AFTER)
		tally.sent_late++;
}

void
crash_play_crash_all(void)
{
	for (int i = 0; i < plan.upstreams; i++)
		crash(i);
}

static void
come_back(upstream_play_t *up)
{
	up->alive = true;
	up->born++;
	up->back_at = 0;
	if (plan.lapse != DFF_TIME_NEVER)
		up->record_at = now() + RECORD_LAG;
}

static void
run_upstreams(void)
{
	for (int i = 0; i < plan.upstreams; i++) {
		upstream_play_t *up = &ups[i];

		if (up->back_at != 0 && now() >= up->back_at)
			come_back(up);
		if (up->record_at != 0 && now() >= up->record_at) {
			up->record_at = 0;
			up->lapse_at = 0;
			tell_all(up, false);
		}
		if (up->lapse_at != 0 && now() >= up->lapse_at) {
			up->lapse_at = 0;
			tell_all(up, true);
		}
	}
}

/* ---- sends ---- */

static void
answer(const job_t *job)
{
	dff_relay_event_t head = {.type = DFF_RELAY_HEAD};
	dff_relay_event_t end = {.type = DFF_RELAY_END};

	head.head.send = job->send;
	head.head.status = 200;
	head.head.stamped = job->step != DFF_STAGE_PREFILL;
	feed(job->node, &head);
	end.end.send = job->send;
	end.end.result = DFF_SEND_DONE;
	if (job->step == DFF_STAGE_PREFILL)
		g_strlcpy(end.end.handle, "h", sizeof(end.end.handle));
	feed(job->node, &end);
}

static void
end_job(const job_t *job, dff_send_result_t how)
{
	dff_relay_event_t end = {.type = DFF_RELAY_END};

	end.end.send = job->send;
	end.end.result = how;
	feed(job->node, &end);
}

/* A job that runs has come to its end. */
static void
finish(guint index)
{
	job_t job = g_array_index(jobs, job_t, index);

	if (crashes(&job)) {
		crash(job.upstream);
		return;
	}
	g_array_remove_index(jobs, index);
	if (plan.lost != 0 && ++runs % plan.lost == 0)
		end_job(&job, DFF_SEND_BROKEN);
	else
		answer(&job);
}

/* A send leaves unless its node thinks better of it. */
static void
leave(uint64_t send, int node)
{
	const dff_relay_event_t due = {
	    .type = DFF_RELAY_BEFORE_SEND, .before_send = send};

	feed(node, &due);
	for (guint i = 0; i < jobs->len; i++) {
		job_t *job = &g_array_index(jobs, job_t, i);

		if (job->send == send && job->node == node)
			arrive(job);
	}
}

static void
run_jobs(void)
{
	for (guint i = 0; i < jobs->len;) {
		job_t job = g_array_index(jobs, job_t, i);

		if (job.state == JOB_WAITS) {
			leave(job.send, job.node);
			i++;
			continue;
		}
		if (job.state == JOB_HANGS ||
		    (job.state == JOB_RUNS && now() < job.ends_at)) {
			i++;
			continue;
		}
		if (job.state == JOB_RUNS) {
			finish(i);
			continue;
		}
		g_array_remove_index(jobs, i);
		end_job(&job,
		    job.state == JOB_BREAKS ? DFF_SEND_BROKEN :
					      DFF_SEND_UNSENT);
	}
}

static void
run_probes(void)
{
	GArray *due = probes;

	probes = g_array_new(FALSE, FALSE, sizeof(probe_t));
	for (guint i = 0; i < due->len; i++) {
		const probe_t *probe = &g_array_index(due, probe_t, i);
		const upstream_play_t *up = &ups[probe->upstream];
		dff_relay_event_t event = {.type = DFF_RELAY_PROBED};

		event.probed.upstream = up->id;
		if (plan.far != 0 && probe->node == plan.far)
			event.probed.result = DFF_PROBE_INCONCLUSIVE;
		else if (up->alive)
			event.probed.result = DFF_PROBE_ACCEPTED;
		else
			event.probed.result = plan.dark ?
			    DFF_PROBE_INCONCLUSIVE :
			    DFF_PROBE_REFUSED;
		feed(probe->node, &event);
	}
	g_array_unref(due);
}

static void
cancel(int node, uint64_t send)
{
	for (guint i = 0; i < jobs->len; i++) {
		job_t *job = &g_array_index(jobs, job_t, i);

		if (job->node == node && job->send == send) {
			g_array_remove_index(jobs, i);
			return;
		}
	}
}

/* ---- nodes ---- */

static int
find_upstream(const char *id)
{
	for (int i = 0; i < plan.upstreams; i++) {
		if (strcmp(ups[i].id, id) == 0)
			return i;
	}
	ck_abort_msg("no upstream %s", id);
}

static void
start_probe(int node, const dff_relay_probe_t *fx)
{
	probe_t probe = {node, find_upstream(fx->upstream)};

	g_array_append_val(probes, probe);
}

static void
start_send(int node, const dff_relay_send_t *fx)
{
	job_t job = {.node = node,
	    .upstream = find_upstream(fx->upstream),
	    .send = fx->send,
	    .content = contents[node][fx->call],
	    .step = fx->stage,
	    .state = JOB_WAITS};

	statuses[node] = 0;
	g_array_append_val(jobs, job);
}

static void
take_answer(int node, const dff_relay_answer_t *fx)
{
	statuses[node] = fx->status;
	retries[node] = fx->retry_after;
	if (contents[node][fx->call] == CRASH_CONTENT)
		return;
	tally.refused += fx->status == 503;
	tally.failed += fx->status != 503;
}

static void
deliver(int from, const dff_relay_frame_t *fx)
{
	dff_relay_event_t event = {.type = DFF_RELAY_HEARTBEAT};
	int to = relay_net_find(&net, fx->addr);

	net.bytes_sent[from] += fx->len;
	if (to < 0 || net.isolated[to] || net.isolated[from])
		return;
	event.heartbeat.addr = net.nodes[from]->frame_addr;
	event.heartbeat.bytes = fx->bytes;
	event.heartbeat.len = fx->len;
	feed(to, &event);
}

static void
take_effect(int node, const dff_relay_effect_t *fx)
{
	switch (fx->type) {
	case DFF_RELAY_FX_SEND:
		start_send(node, &fx->send);
		break;
	case DFF_RELAY_FX_CANCEL:
		cancel(node, fx->cancel);
		break;
	case DFF_RELAY_FX_ANSWER:
		take_answer(node, &fx->answer);
		break;
	case DFF_RELAY_FX_ABORT:
		tally.failed += contents[node][fx->call] != CRASH_CONTENT;
		break;
	case DFF_RELAY_FX_FORWARD_END:
		tally.answered++;
		break;
	case DFF_RELAY_FX_FRAME:
		deliver(node, &fx->frame);
		break;
	case DFF_RELAY_FX_STORE_CRASHES:
		kept = fx->crash_report;
		kept_at = now();
		break;
	case DFF_RELAY_FX_PROBE:
		start_probe(node, &fx->probe);
		break;
	case DFF_RELAY_FX_FORWARD_HEAD:
	case DFF_RELAY_FX_FORWARD_DATA:
	case DFF_RELAY_FX_RELEASE:
	case DFF_RELAY_FX_CACHE_QUERY:
	case DFF_RELAY_FX_CLOSE_IDLE:
	case DFF_RELAY_FX_FETCH:
		break;
	}
}

static void
take_effects(int node)
{
	GArray *fx = net.nodes[node]->fx;

	net.nodes[node]->fx =
	    g_array_new(FALSE, FALSE, sizeof(dff_relay_effect_t));
	for (guint i = 0; i < fx->len; i++)
		take_effect(node, &g_array_index(fx, dff_relay_effect_t, i));
	g_array_unref(fx);
}

/* What a node that starts reads of the record source. */
static void
load_all(int node)
{
	dff_relay_event_t event = {.type = DFF_RELAY_CRASH_REPORT};

	relay_bench_load_routing(net.nodes[node], 1);
	take_effects(node);
	for (int i = 0; i < plan.upstreams; i++)
		tell_record(node, &ups[i], false);
	if (kept.count > 0) {
		event.crash_report = kept;
		event.crash_report.age += now() - kept_at;
		feed(node, &event);
	}
}

void
crash_play_start(const crash_plan_t *given)
{
	int domains = given->nodes > 9 ? 3 : 1;

	plan = *given;
	memset(&tally, 0, sizeof(tally));
	memset(statuses, 0, sizeof(statuses));
	memset(ups, 0, sizeof(ups));
	third_at = 0;
	memset(&kept, 0, sizeof(kept));
	runs = 0;
	jobs = g_array_new(FALSE, FALSE, sizeof(job_t));
	probes = g_array_new(FALSE, FALSE, sizeof(probe_t));
	for (int i = 0; i < plan.upstreams; i++) {
		(void)snprintf(ups[i].id, sizeof(ups[i].id), "u%d", i);
		ups[i].born = 1;
		ups[i].alive = true;
	}
	for (int i = 0; i < plan.nodes; i++) {
		const char domain[2] = {(char)('a' + i % domains), '\0'};

		relay_net_add(&net, domain, i / domains + 1, 100);
	}
	relay_net_add_all_peers(&net);
	for (int i = 0; i < plan.nodes; i++)
		load_all(i);
	crash_play_pass(2 * DFF_SEC);
}

void
crash_play_stop(void)
{
	relay_net_drop(&net);
	g_array_unref(jobs);
	g_array_unref(probes);
}

void
crash_play_pass(dff_time_t time)
{
	const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};

	for (dff_time_t t = 0; t < time; t += TICK) {
		for (int i = 0; i < net.count; i++)
			net.nodes[i]->now += TICK;
		for (int i = 0; i < net.count; i++) {
			if (dff_relay_wake(net.nodes[i]->relay) <=
			    net.nodes[i]->now)
				feed(i, &wake);
		}
		run_upstreams();
		run_probes();
		run_jobs();
	}
}

static uint64_t
note_call(int node, uint64_t content)
{
	uint64_t call = net.nodes[node]->next_call + 1;

	ck_assert_uint_lt(call, CALLS_MAX);
	contents[node][call] = content;
	return call;
}

void
crash_play_ask(int node, const char *target, uint64_t content)
{
	(void)note_call(node, content);
	(void)relay_bench_open(net.nodes[node], target, content);
	take_effects(node);
}

void
crash_play_prompt(int node, uint64_t content)
{
	(void)note_call(node, content);
	(void)relay_bench_open_prompt(
	    net.nodes[node], "/talk/x", 1, 8000, content, 2000);
	take_effects(node);
}

void
crash_play_restart(int node)
{
	relay_bench_t *old = net.nodes[node];
	relay_bench_t *bench =
	    relay_bench_new_as("again", "a", old->frame_addr, 100);

	for (guint i = jobs->len; i-- > 0;) {
		if (g_array_index(jobs, job_t, i).node == node)
			g_array_remove_index(jobs, i);
	}
	bench->now = old->now;
	g_strlcpy(
	    bench->frame_addr, old->frame_addr, sizeof(bench->frame_addr));
	relay_bench_drop(old);
	net.nodes[node] = bench;
	relay_net_add_all_peers(&net);
	load_all(node);
}

void
crash_play_cut(int node, bool cut)
{
	net.isolated[node] = cut;
}

const crash_tally_t *
crash_play_tally(void)
{
	return &tally;
}

int
crash_play_status(int node)
{
	return statuses[node];
}

dff_time_t
crash_play_retry_after(int node)
{
	return retries[node];
}

uint64_t
crash_play_bytes(void)
{
	uint64_t bytes = 0;

	for (int i = 0; i < net.count; i++)
		bytes += net.bytes_sent[i];
	return bytes;
}
