#include "crash_sim.h"

#include "relay/internal.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#define UPSTREAMS_MAX 32
#define CALLS_MAX     8192
/* Length of a tick: not a whole number of ms, as ages are reported in whole
 * ms. */
#define TICK (1999 * DFF_USEC)
/* Time from the arrival of a send to the crash, and to a harmless answer. */
#define CRASH_AFTER  (50 * DFF_MSEC)
#define ANSWER_AFTER (100 * DFF_MSEC)
/* Time from the start of an upstream until nodes get its record. */
#define RECORD_LAG (1 * DFF_SEC)
/* Crash after which sends count as late, and the time after it. */
#define LATE_CRASH 3
#define LATE_AFTER (3 * DFF_SEC)
/* Refusals for any other reason than crashes have a shorter retry time. */
#define LOAD_RETRY_MAX (6 * DFF_SEC)
/* Time after which a connection that hangs is given up. */
#define CONNECT_TIME (350 * DFF_MSEC)
/* Tokens of each part of a prompt. */
#define PART_TOKENS 2000

typedef struct sim_upstream {
	char id[16];
	uint64_t born;
	bool alive;
	/* The next send of the unreliable node fails to connect. */
	bool unreached;
	dff_time_t restart_at;
	dff_time_t expires_at;
	dff_time_t record_at;
} sim_upstream_t;

/** enum job_state - state of a send */
typedef enum job_state {
	JOB_WAITS, /* has not left its node */
	JOB_RUNS,
	JOB_HANGS, /* until its node gives up */
	JOB_BREAKS, /* breaks off at the next tick */
	JOB_UNREACHED, /* fails to connect at the next tick */
} job_state_t;

typedef struct job {
	int node;
	int upstream;
	uint64_t send;
	uint64_t content;
	dff_stage_t step;
	job_state_t state;
	bool fresh; /* it opens a connection */
	dff_time_t ends_at;
} job_t;

typedef struct probe {
	int node;
	int upstream;
	dff_time_t due;
} probe_t;

static crash_sim_config_t config;
static relay_net_t net;
static sim_upstream_t ups[UPSTREAMS_MAX];
static GArray *jobs;
static GArray *probes; /* probe_t, answered at the next tick */
static uint64_t contents[NODES_MAX][CALLS_MAX];
static crash_sim_cut_t cuts[NODES_MAX];
static int served[NODES_MAX];
static uint64_t forwarded;
static GHashTable *begun; /* contents that upstreams began */
static int statuses[NODES_MAX];
static dff_time_t retries[NODES_MAX];
static crash_sim_counts_t counts;
static dff_time_t late_crash_at;
static dff_crash_report_t stored; /* the evidence that was stored last */
static dff_time_t stored_at;
static uint32_t runs;
static uint64_t next_content;

static void take_effects(int node);

static void
apply_event(int node, const dff_relay_event_t *event)
{
	relay_bench_step(net.nodes[node], event);
	take_effects(node);
}

/* Whether an upstream is in the pool that cuts do not concern. */
static bool
is_uncut(int upstream)
{
	return upstream >= config.upstreams - config.uncut;
}

static crash_sim_cut_t
cut_between(int node, int upstream)
{
	return is_uncut(upstream) ? CRASH_SIM_NOT_CUT : cuts[node];
}

/* ---- records ---- */

static void
send_record(int node, const sim_upstream_t *up, bool gone)
{
	dff_relay_event_t event = {.type = DFF_RELAY_UPSTREAM};
	dff_upstream_record_t *record = &event.upstream;
	int index = (int)(up - ups);

	g_strlcpy(record->id, up->id, sizeof(record->id));
	(void)g_snprintf(
	    record->addr, sizeof(record->addr), "10.9.0.%d:80", index + 1);
	g_strlcpy(record->domain, "a", sizeof(record->domain));
	g_strlcpy(record->pool,
	    config.engines || is_uncut(index) ? "llm" : "plain",
	    sizeof(record->pool));
	if (config.engines)
		record->role =
		    index % 2 == 0 ? DFF_ROLE_PREFILL : DFF_ROLE_DECODE;
	record->slots = 64;
	record->started_ms = up->born;
	record->seq = 1;
	record->removed = gone;
	apply_event(node, &event);
}

static void
send_record_to_all(const sim_upstream_t *up, bool gone)
{
	for (int i = 0; i < net.count; i++)
		send_record(i, up, gone);
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
	sim_upstream_t *up = &ups[upstream];

	if (!up->alive)
		return;
	up->alive = false;
	up->restart_at = now() + config.restart_delay;
	if (config.record_expiry != DFF_TIME_NEVER)
		up->expires_at = now() + config.record_expiry;
	counts.crashes++;
	if (counts.crashes ==
	    (config.late_crash > 0 ? config.late_crash : LATE_CRASH))
		late_crash_at = now();
	for (guint i = 0; i < jobs->len; i++) {
		job_t *job = &g_array_index(jobs, job_t, i);

		if (job->upstream == upstream && job->state == JOB_RUNS)
			job->state =
			    config.silent_crash ? JOB_HANGS : JOB_BREAKS;
	}
}

static bool
causes_crash(const job_t *job)
{
	return job->content == CRASH_CONTENT &&
	    !(config.prefill_is_safe && job->step == DFF_STAGE_PREFILL);
}

/* A send of a node that is cut off: every other one has an old connection.
 * Returns whether it is lost. */
static bool
is_lost_in_cut(job_t *job)
{
	bool old = job->send % 2 == 0 && !job->fresh;

	switch (cut_between(job->node, job->upstream)) {
	case CRASH_SIM_NOT_CUT:
		return false;
	case CRASH_SIM_RESET:
		job->state = JOB_UNREACHED;
		return true;
	case CRASH_SIM_HANG:
		job->state = old ? JOB_HANGS : JOB_UNREACHED;
		job->ends_at = now() + CONNECT_TIME;
		return true;
	case CRASH_SIM_HALF_OPEN:
		job->state = JOB_UNREACHED;
		return !old;
	}
	g_assert_not_reached();
}

static void
count_repeated(const job_t *job)
{
	uint64_t *content;

	if (job->content == CRASH_CONTENT || job->step == DFF_STAGE_PREFILL)
		return;
	content = g_memdup2(&job->content, sizeof(job->content));
	counts.repeated += !g_hash_table_add(begun, content);
}

/* A send arrives at its upstream. */
static void
arrive(job_t *job)
{
	sim_upstream_t *up = &ups[job->upstream];

	if (is_lost_in_cut(job))
		return;
	if (!up->alive) {
		job->state = config.dead_accept ? JOB_BREAKS : JOB_UNREACHED;
		return;
	}
	if (config.unreliable_node != 0 &&
	    job->node == config.unreliable_node) {
		up->unreached = !up->unreached;
		job->state = up->unreached ? JOB_BREAKS : JOB_UNREACHED;
		return;
	}
	job->state = JOB_RUNS;
	count_repeated(job);
	if (!causes_crash(job)) {
		job->ends_at = now() + ANSWER_AFTER;
		return;
	}
	job->ends_at = now() + CRASH_AFTER;
	if (late_crash_at != 0 && now() - late_crash_at > LATE_AFTER)
		counts.late_sends++;
}

void
crash_sim_crash(int upstream)
{
	crash(upstream);
}

void
crash_sim_crash_all(void)
{
	for (int i = 0; i < config.upstreams; i++)
		crash(i);
}

static void
restart_upstream(sim_upstream_t *up)
{
	up->alive = true;
	up->born++;
	up->restart_at = 0;
	if (config.record_expiry != DFF_TIME_NEVER)
		up->record_at = now() + RECORD_LAG;
}

static void
run_upstreams(void)
{
	for (int i = 0; i < config.upstreams; i++) {
		sim_upstream_t *up = &ups[i];

		if (up->restart_at != 0 && now() >= up->restart_at)
			restart_upstream(up);
		if (up->record_at != 0 && now() >= up->record_at) {
			up->record_at = 0;
			up->expires_at = 0;
			send_record_to_all(up, false);
		}
		if (up->expires_at != 0 && now() >= up->expires_at) {
			up->expires_at = 0;
			send_record_to_all(up, true);
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
	apply_event(job->node, &head);
	end.end.send = job->send;
	end.end.result = DFF_SEND_DONE;
	if (job->step == DFF_STAGE_PREFILL)
		g_strlcpy(end.end.handle, "h", sizeof(end.end.handle));
	apply_event(job->node, &end);
}

static void
end_job(const job_t *job, dff_send_result_t how)
{
	dff_relay_event_t end = {.type = DFF_RELAY_END};

	end.end.send = job->send;
	end.end.result = how;
	apply_event(job->node, &end);
}

/* Ends a running job. */
static void
finish(guint index)
{
	job_t job = g_array_index(jobs, job_t, index);

	if (causes_crash(&job)) {
		crash(job.upstream);
		return;
	}
	g_array_remove_index(jobs, index);
	if (config.lost_every != 0 && ++runs % config.lost_every == 0)
		end_job(&job, DFF_SEND_BROKEN);
	else
		answer(&job);
}

/* A send leaves its node unless the node cancels it when it is due. */
static void
send_job(uint64_t send, int node)
{
	const dff_relay_event_t due = {
	    .type = DFF_RELAY_BEFORE_SEND, .before_send = send};

	apply_event(node, &due);
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
			send_job(job.send, job.node);
			i++;
			continue;
		}
		if (job.state == JOB_HANGS || now() < job.ends_at) {
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
		const sim_upstream_t *up = &ups[probe->upstream];
		crash_sim_cut_t cut = cut_between(probe->node, probe->upstream);
		dff_relay_event_t event = {.type = DFF_RELAY_PROBED};

		if (now() < probe->due) {
			g_array_append_val(probes, *probe);
			continue;
		}
		event.probed.upstream = up->id;
		if (config.unreliable_node != 0 &&
		    probe->node == config.unreliable_node)
			event.probed.result = DFF_PROBE_INCONCLUSIVE;
		else if (cut != CRASH_SIM_NOT_CUT)
			event.probed.result = cut == CRASH_SIM_HANG ?
			    DFF_PROBE_INCONCLUSIVE :
			    DFF_PROBE_REFUSED;
		else if (up->alive)
			event.probed.result = DFF_PROBE_ACCEPTED;
		else
			event.probed.result = config.silent_crash ?
			    DFF_PROBE_INCONCLUSIVE :
			    DFF_PROBE_REFUSED;
		apply_event(probe->node, &event);
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
	for (int i = 0; i < config.upstreams; i++) {
		if (strcmp(ups[i].id, id) == 0)
			return i;
	}
	ck_abort_msg("no upstream %s", id);
}

static void
start_probe(int node, const dff_relay_probe_t *fx)
{
	probe_t probe = {node, find_upstream(fx->upstream), 0};

	if (cut_between(node, probe.upstream) == CRASH_SIM_HANG)
		probe.due = now() + fx->connect_time;

	g_array_append_val(probes, probe);
}

static void
start_job(int node, const dff_relay_send_t *fx)
{
	job_t job = {.node = node,
	    .upstream = find_upstream(fx->upstream),
	    .send = fx->send,
	    .content = contents[node][fx->call],
	    .step = fx->stage,
	    .fresh = fx->fresh_connection,
	    .state = JOB_WAITS};

	statuses[node] = 0;
	g_array_append_val(jobs, job);
}

static void
send_to_peer(int node, const dff_relay_send_t *fx)
{
	const relay_link_t *link = relay_net_send_to_peer(&net, node, fx);

	statuses[node] = 0;
	forwarded++;
	if (link == NULL) {
		job_t job = {
		    .node = node, .send = fx->send, .state = JOB_UNREACHED};

		g_array_append_val(jobs, job);
		return;
	}
	contents[link->to][link->call] = contents[node][fx->call];
	take_effects(link->to);
}

static void
take_answer(int node, const dff_relay_answer_t *fx)
{
	statuses[node] = fx->status;
	retries[node] = fx->retry_after;
	if (contents[node][fx->call] == CRASH_CONTENT)
		return;
	counts.refused += fx->status == 503;
	counts.suspected +=
	    fx->status == 503 && fx->retry_after > LOAD_RETRY_MAX;
	counts.failed += fx->status != 503;
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
	apply_event(to, &event);
}

static void
take_effect(int node, const dff_relay_effect_t *fx)
{
	int from = relay_net_answer_peer(&net, node, fx);

	if (from >= 0) {
		take_effects(from);
		return;
	}
	switch (fx->type) {
	case DFF_RELAY_FX_SEND:
		if (fx->send.to_peer)
			send_to_peer(node, &fx->send);
		else
			start_job(node, &fx->send);
		break;
	case DFF_RELAY_FX_CANCEL:
		cancel(node, fx->cancel);
		break;
	case DFF_RELAY_FX_ANSWER:
		take_answer(node, &fx->answer);
		break;
	case DFF_RELAY_FX_ABORT:
		counts.failed += contents[node][fx->call] != CRASH_CONTENT;
		break;
	case DFF_RELAY_FX_FORWARD_END:
		counts.answered++;
		served[node]++;
		break;
	case DFF_RELAY_FX_FRAME:
		deliver(node, &fx->frame);
		break;
	case DFF_RELAY_FX_STORE_CRASHES:
		stored = fx->crash_report;
		stored_at = now();
		break;
	case DFF_RELAY_FX_PROBE:
		start_probe(node, &fx->probe);
		break;
	case DFF_RELAY_FX_FORWARD_HEAD:
	case DFF_RELAY_FX_FORWARD_DATA:
	case DFF_RELAY_FX_RELEASE:
	case DFF_RELAY_FX_CACHE_QUERY:
	case DFF_RELAY_FX_IDENTIFY:
	case DFF_RELAY_FX_STORE_ORIGINS:
	case DFF_RELAY_FX_READ_ORIGINS:
	case DFF_RELAY_FX_CLOSE_IDLE:
	case DFF_RELAY_FX_FETCH:
	case DFF_RELAY_FX_ORDER_UPSTREAMS:
	case DFF_RELAY_FX_DUTY_LOG:
	case DFF_RELAY_FX_USAGE:
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

/* A started node reads the record source. */
static void
load_node(int node)
{
	dff_relay_event_t event = {.type = DFF_RELAY_CRASH_REPORT};

	relay_bench_load_routing(net.nodes[node], 1);
	take_effects(node);
	for (int i = 0; i < config.upstreams; i++)
		send_record(node, &ups[i], false);
	if (stored.count > 0) {
		event.crash_report = stored;
		event.crash_report.age += now() - stored_at;
		apply_event(node, &event);
	}
}

void
crash_sim_start(const crash_sim_config_t *new_config)
{
	int domains = new_config->nodes > 9 ? 3 : 1;

	config = *new_config;
	memset(&counts, 0, sizeof(counts));
	memset(statuses, 0, sizeof(statuses));
	memset(cuts, 0, sizeof(cuts));
	memset(served, 0, sizeof(served));
	forwarded = 0;
	begun =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	memset(ups, 0, sizeof(ups));
	late_crash_at = 0;
	memset(&stored, 0, sizeof(stored));
	runs = 0;
	next_content = 1000 * CRASH_CONTENT;
	jobs = g_array_new(FALSE, FALSE, sizeof(job_t));
	probes = g_array_new(FALSE, FALSE, sizeof(probe_t));
	for (int i = 0; i < config.upstreams; i++) {
		(void)snprintf(ups[i].id, sizeof(ups[i].id), "u%d", i);
		ups[i].born = 1;
		ups[i].alive = true;
	}
	for (int i = 0; i < config.nodes; i++) {
		const char domain[2] = {(char)('a' + i % domains), '\0'};

		relay_net_add(&net, domain, i / domains + 1, 100);
	}
	relay_net_add_all_peers(&net);
	for (int i = 0; i < config.nodes; i++)
		load_node(i);
	crash_sim_advance(2 * DFF_SEC);
}

void
crash_sim_stop(void)
{
	relay_net_drop(&net);
	g_array_unref(jobs);
	g_array_unref(probes);
	g_hash_table_unref(begun);
}

void
crash_sim_advance(dff_time_t time)
{
	const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};

	for (dff_time_t t = 0; t < time; t += TICK) {
		for (int i = 0; i < net.count; i++)
			net.nodes[i]->now += TICK;
		for (int i = 0; i < net.count; i++) {
			if (dff_relay_wake(net.nodes[i]->relay) <=
			    net.nodes[i]->now)
				apply_event(i, &wake);
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
crash_sim_request(int node, const char *target, uint64_t content)
{
	(void)note_call(node, content);
	(void)relay_bench_open(net.nodes[node], target, content);
	take_effects(node);
}

void
crash_sim_hang_up(int node)
{
	const dff_relay_event_t gone = {.type = DFF_RELAY_CALLER_GONE,
	    .caller_gone = net.nodes[node]->next_call};

	apply_event(node, &gone);
}

void
crash_sim_request_prompt(int node, uint64_t content)
{
	(void)note_call(node, content);
	(void)relay_bench_open_prompt(
	    net.nodes[node], "/talk/x", 1, 8000, content, 2000);
	take_effects(node);
}

void
crash_sim_request_parts(
    int node, const uint64_t *parts, uint32_t count, bool crashes)
{
	uint64_t content = ++next_content;
	dff_prompt_t prompt = {
	    .count = count, .tokens = count * PART_TOKENS, .tokens_out = 100};

	ck_assert_uint_le(count, DFF_PARTS_MAX);
	for (uint32_t i = 0; i < count; i++) {
		prompt.parts[i].id = parts[i];
		prompt.parts[i].tokens = PART_TOKENS;
	}
	(void)note_call(node, crashes ? CRASH_CONTENT : content);
	(void)relay_bench_open_parts(
	    net.nodes[node], "/talk/x", content, &prompt);
	take_effects(node);
}

void
crash_sim_restart(int node)
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
	load_node(node);
}

void
crash_sim_partition(int node, bool cut)
{
	net.isolated[node] = cut;
}

void
crash_sim_cut(int node, crash_sim_cut_t cut)
{
	cuts[node] = cut;
	for (guint i = 0; i < jobs->len; i++) {
		job_t *job = &g_array_index(jobs, job_t, i);

		if (job->node != node || job->state != JOB_RUNS ||
		    is_uncut(job->upstream))
			continue;
		if (cut == CRASH_SIM_RESET)
			job->state = JOB_BREAKS;
		else if (cut == CRASH_SIM_HANG)
			job->state = JOB_HANGS;
	}
}

uint64_t
crash_sim_forwarded(void)
{
	return forwarded;
}

uint64_t
crash_sim_from_peers(int node)
{
	return net.nodes[node]->relay->counts[COUNT_FROM_PEERS];
}

void
crash_sim_configure(int node, uint64_t version)
{
	relay_bench_load_routing(net.nodes[node], version);
}

int
crash_sim_served(int node)
{
	return served[node];
}

const crash_sim_counts_t *
crash_sim_counts(void)
{
	return &counts;
}

int
crash_sim_status(int node)
{
	return statuses[node];
}

dff_time_t
crash_sim_retry_after(int node)
{
	return retries[node];
}

uint64_t
crash_sim_bytes(void)
{
	uint64_t bytes = 0;

	for (int i = 0; i < net.count; i++)
		bytes += net.bytes_sent[i];
	return bytes;
}
