#include "limit_sim.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#define TICK DFF_MSEC
/* Ticks ahead for which events can be scheduled. */
#define HORIZON 16384
/* Delays of frames and of requests to upstreams, in ticks. */
#define DELAY_MIN 1
#define DELAY_MAX 6
/* Windows of the rule that the upstreams' limits are checked by. */
#define WINDOW	   (4 * DFF_SEC)
#define TOLD_AFTER (500 * DFF_MSEC)

typedef enum event_type {
	EVENT_FRAME,
	EVENT_ARRIVAL, /* a request arrives at an upstream */
	EVENT_ANSWER, /* an upstream's answer arrives at a node */
	EVENT_ASIDE, /* an answer that belongs to no caller's request */
	EVENT_RETURN, /* a refused caller comes back */
} event_type_t;

typedef struct event {
	event_type_t type;
	int node;
	int upstream;
	uint32_t life; /* of the node */
	uint64_t send;
	dff_stage_t stage;
	dff_upstream_notice_t notice;
	int from; /* node that sent a frame */
	GByteArray *bytes;
} event_t;

typedef struct arrival {
	dff_time_t at;
	int upstream;
	int node;
	bool told;
} arrival_t;

typedef enum outcome {
	OUTCOME_OPEN,
	OUTCOME_SERVED,
	OUTCOME_REFUSED,
	OUTCOME_FAILED,
} outcome_t;

typedef struct request {
	dff_time_t opened_at;
	dff_time_t ended_at;
	dff_time_t retry_after;
	bool returning;
	outcome_t outcome;
} request_t;

typedef struct sim_node {
	relay_bench_t *bench; /* NULL while it is down */
	uint32_t life;
	bool frozen;
	bool cut;
	GHashTable *calls; /* number to index of a request */
	GHashTable *cancelled; /* numbers of sends */
	dff_time_t told_at[LIMIT_SIM_UPSTREAMS_MAX];
} sim_node_t;

typedef struct sim_upstream {
	char id[DFF_NAME_MAX];
	double limit; /* negative: names none */
	uint64_t started_ms;
} sim_upstream_t;

static limit_sim_config_t config;
static sim_node_t nodes[LIMIT_SIM_NODES_MAX];
static sim_upstream_t ups[LIMIT_SIM_UPSTREAMS_MAX];
static GArray *slots[HORIZON];
static GArray *arrivals;
static GArray *requests;
static GRand *rng;
static int64_t tick;
static double owed; /* requests due, with a fraction */
static int split;
static double frame_loss;
static uint64_t frame_bytes;

static void take_effects(int node);

dff_time_t
limit_sim_now(void)
{
	return tick * TICK;
}

static void
schedule(int64_t ticks, const event_t *event)
{
	int64_t at = tick + CLAMP(ticks, 1, HORIZON - 1);

	g_array_append_vals(slots[at % HORIZON], event, 1);
}

static int64_t
delay(void)
{
	return g_rand_int_range(rng, DELAY_MIN, DELAY_MAX + 1);
}

static bool
is_up(int node)
{
	return nodes[node].bench != NULL && !nodes[node].frozen;
}

static void
feed(int node, const dff_relay_event_t *event)
{
	relay_bench_step(nodes[node].bench, event);
	take_effects(node);
}

/* ---- nodes ---- */

static char
domain_of(int index)
{
	return (char)('a' + index % config.domains);
}

static void
get_node_addr(int node, char *addr, size_t size)
{
	(void)g_snprintf(
	    addr, size, "10.%d.%d.1:7000", node / 200, node % 200 + 1);
}

static int
find_node(const char *addr)
{
	int high;
	int low;

	if (sscanf(addr, "10.%d.%d.1:7000", &high, &low) != 2)
		return -1;
	return high * 200 + low - 1;
}

static void
send_record(int node, int index, bool removed)
{
	const sim_upstream_t *up = &ups[index];
	dff_relay_event_t event = {.type = DFF_RELAY_UPSTREAM};
	dff_upstream_record_t *record = &event.upstream;

	g_strlcpy(record->id, up->id, sizeof(record->id));
	(void)g_snprintf(
	    record->addr, sizeof(record->addr), "10.9.9.%d:80", index + 1);
	record->domain[0] = domain_of(index);
	g_strlcpy(record->pool, config.engines ? "llm" : "plain",
	    sizeof(record->pool));
	if (config.engines)
		record->role =
		    index % 2 == 0 ? DFF_ROLE_PREFILL : DFF_ROLE_DECODE;
	record->slots = 64;
	record->started_ms = up->started_ms;
	record->seq = 1;
	record->removed = removed;
	feed(node, &event);
}

void
limit_sim_start_node(int node)
{
	sim_node_t *n = &nodes[node];
	char id[32];
	char addr[32];
	char domain[2] = {domain_of(node), '\0'};
	int known = config.seeds > 0 ? config.seeds : config.nodes;

	(void)g_snprintf(id, sizeof(id), "%s%d", domain, node);
	get_node_addr(node, addr, sizeof(addr));
	n->life++;
	n->bench = relay_bench_new_restarted(id, domain, addr, 100, n->life);
	n->bench->now += limit_sim_now();
	n->frozen = false;
	memset(n->told_at, 0, sizeof(n->told_at));
	for (int i = 0; i < known; i++) {
		char peer_domain[2] = {domain_of(i), '\0'};

		get_node_addr(i, addr, sizeof(addr));
		dff_relay_add_peer(
		    n->bench->relay, addr, peer_domain, 100, n->bench->now);
	}
	relay_bench_load_routing(n->bench, 1);
	for (int i = 0; i < config.upstreams; i++)
		send_record(node, i, false);
}

static void
fail_open_calls(sim_node_t *n)
{
	GHashTableIter iter;
	void *index;

	g_hash_table_iter_init(&iter, n->calls);
	while (g_hash_table_iter_next(&iter, NULL, &index)) {
		request_t *request = &g_array_index(
		    requests, request_t, GPOINTER_TO_UINT(index));

		request->outcome = OUTCOME_FAILED;
		request->ended_at = limit_sim_now();
	}
	g_hash_table_remove_all(n->calls);
	g_hash_table_remove_all(n->cancelled);
}

void
limit_sim_kill_node(int node)
{
	sim_node_t *n = &nodes[node];

	fail_open_calls(n);
	relay_bench_drop(n->bench);
	n->bench = NULL;
}

void
limit_sim_freeze_node(int node, bool frozen)
{
	nodes[node].frozen = frozen;
}

void
limit_sim_cut_node(int node, bool cut)
{
	nodes[node].cut = cut;
}

void
limit_sim_split(int count)
{
	split = count;
}

void
limit_sim_lose_frames(double share)
{
	frame_loss = share;
}

static bool
reaches(int from, int to)
{
	if (nodes[from].cut || nodes[to].cut)
		return false;
	if (frame_loss > 0 && g_rand_double(rng) < frame_loss)
		return false;
	return split == 0 || (from < split) == (to < split);
}

/* ---- upstreams ---- */

void
limit_sim_set_limit(int upstream, double rate)
{
	ups[upstream].limit = rate;
}

void
limit_sim_restart_upstream(int upstream)
{
	ups[upstream].started_ms++;
	ups[upstream].limit = -1;
	for (int i = 0; i < config.nodes; i++) {
		nodes[i].told_at[upstream] = 0;
		if (is_up(i))
			send_record(i, upstream, false);
	}
}

void
limit_sim_remove_upstream(int upstream)
{
	for (int i = 0; i < config.nodes; i++) {
		if (is_up(i))
			send_record(i, upstream, true);
	}
}

static int
find_upstream(const char *id)
{
	int index = -1;

	ck_assert_int_eq(sscanf(id, "u%d", &index), 1);
	return index;
}

static dff_upstream_notice_t
notice_of(int upstream)
{
	dff_upstream_notice_t notice = {.rate = DFF_RATE_UNLIMITED};

	if (ups[upstream].limit < 0)
		return notice;
	notice.rate = DFF_RATE_LIMITED;
	notice.rate_max = ups[upstream].limit;
	return notice;
}

static void
note_arrival(int node, int upstream)
{
	dff_time_t told_at = nodes[node].told_at[upstream];
	arrival_t arrival = {.at = limit_sim_now(),
	    .upstream = upstream,
	    .node = node,
	    .told = told_at != 0 && limit_sim_now() - told_at >= TOLD_AFTER};

	g_array_append_val(arrivals, arrival);
}

static void
note_told(int node, int upstream, const dff_upstream_notice_t *notice)
{
	dff_time_t *told_at = &nodes[node].told_at[upstream];

	if (notice->rate != DFF_RATE_LIMITED)
		*told_at = 0;
	else if (*told_at == 0)
		*told_at = limit_sim_now();
}

static void
run_arrival(event_t *event)
{
	if (g_hash_table_remove(nodes[event->node].cancelled, &event->send))
		return;
	note_arrival(event->node, event->upstream);
	event->type = EVENT_ANSWER;
	event->notice = notice_of(event->upstream);
	schedule(config.answer_time / TICK, event);
}

static void
run_answer(const event_t *event)
{
	relay_bench_t *bench = nodes[event->node].bench;
	bool prefill = event->stage == DFF_STAGE_PREFILL;

	note_told(event->node, event->upstream, &event->notice);
	relay_bench_head_notice(bench, event->send, 200, false, event->notice);
	take_effects(event->node);
	relay_bench_end(
	    bench, event->send, DFF_SEND_DONE, prefill ? "h1" : NULL);
	take_effects(event->node);
}

static void
run_aside(const event_t *event)
{
	dff_relay_event_t notice = {.type = DFF_RELAY_NOTICE};

	note_told(event->node, event->upstream, &event->notice);
	notice.notice.upstream = ups[event->upstream].id;
	notice.notice.notice = event->notice;
	if (event->notice.rate == DFF_RATE_LIMITED)
		feed(event->node, &notice);
}

/* ---- callers ---- */

static void
open_request(int node, bool returning)
{
	request_t request = {
	    .opened_at = limit_sim_now(), .returning = returning};
	relay_bench_t *bench = nodes[node].bench;
	uint64_t number = bench->next_call + 1;

	g_array_append_val(requests, request);
	g_hash_table_insert(nodes[node].calls,
	    g_memdup2(&number, sizeof(number)),
	    GUINT_TO_POINTER(requests->len - 1));
	if (config.engines)
		(void)relay_bench_open_prompt(bench, config.target,
		    1 + g_rand_int_range(rng, 0, 20), 8000, requests->len + 100,
		    900);
	else
		(void)relay_bench_open(bench, config.target, requests->len);
	take_effects(node);
}

static int
pick_node(int count)
{
	for (int i = 0; i < 20; i++) {
		int node = g_rand_int_range(rng, 0, count);

		if (is_up(node))
			return node;
	}
	return -1;
}

static void
run_return(void)
{
	int node =
	    pick_node(config.busy_nodes > 0 ? config.busy_nodes : config.nodes);

	if (node >= 0)
		open_request(node, true);
}

static void
end_request(int node, uint64_t call, outcome_t outcome, dff_time_t retry_after)
{
	void *index;
	request_t *request;
	event_t event = {.type = EVENT_RETURN};

	if (!g_hash_table_lookup_extended(
		nodes[node].calls, &call, NULL, &index))
		return;
	request = &g_array_index(requests, request_t, GPOINTER_TO_UINT(index));
	request->outcome = outcome;
	request->ended_at = limit_sim_now();
	request->retry_after = retry_after;
	(void)g_hash_table_remove(nodes[node].calls, &call);
	if (outcome == OUTCOME_REFUSED && config.retries && !request->returning)
		schedule(retry_after / TICK + 1, &event);
}

/* ---- effects ---- */

static void
take_send(int node, const dff_relay_send_t *send)
{
	event_t event = {.type = EVENT_ARRIVAL,
	    .node = node,
	    .upstream = find_upstream(send->upstream),
	    .life = nodes[node].life,
	    .send = send->send,
	    .stage = send->stage};

	schedule(delay(), &event);
}

static void
take_aside(int node, const char *id)
{
	event_t event = {.type = EVENT_ASIDE,
	    .node = node,
	    .upstream = find_upstream(id),
	    .life = nodes[node].life,
	    .notice = notice_of(find_upstream(id))};

	note_arrival(node, event.upstream);
	schedule(2 * delay(), &event);
}

static void
take_frame(int node, const dff_relay_frame_t *frame)
{
	int to = find_node(frame->addr);
	event_t event = {.type = EVENT_FRAME, .node = to, .from = node};

	frame_bytes += frame->len;
	ck_assert_int_ge(to, 0);
	if (!reaches(node, to))
		return;
	event.bytes = g_byte_array_sized_new((guint)frame->len);
	g_byte_array_append(event.bytes, frame->bytes, (guint)frame->len);
	schedule(delay(), &event);
}

static void
take_effect(int node, const dff_relay_effect_t *fx)
{
	switch (fx->type) {
	case DFF_RELAY_FX_SEND:
		take_send(node, &fx->send);
		break;
	case DFF_RELAY_FX_CANCEL:
		(void)g_hash_table_add(nodes[node].cancelled,
		    g_memdup2(&fx->cancel, sizeof(fx->cancel)));
		break;
	case DFF_RELAY_FX_ANSWER:
		end_request(node, fx->answer.call,
		    fx->answer.status == 503 ? OUTCOME_REFUSED : OUTCOME_FAILED,
		    fx->answer.retry_after);
		break;
	case DFF_RELAY_FX_ABORT:
		end_request(node, fx->call, OUTCOME_FAILED, 0);
		break;
	case DFF_RELAY_FX_FORWARD_END:
		end_request(node, fx->forward.call, OUTCOME_SERVED, 0);
		break;
	case DFF_RELAY_FX_RELEASE:
		take_aside(node, fx->release.upstream);
		break;
	case DFF_RELAY_FX_CACHE_QUERY:
		take_aside(node, fx->cache_query.upstream);
		break;
	case DFF_RELAY_FX_FRAME:
		take_frame(node, &fx->frame);
		break;
	case DFF_RELAY_FX_FORWARD_HEAD:
	case DFF_RELAY_FX_FORWARD_DATA:
	case DFF_RELAY_FX_PROBE:
	case DFF_RELAY_FX_STORE_CRASHES:
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
	GArray *fx = nodes[node].bench->fx;

	for (guint i = 0; i < fx->len; i++)
		take_effect(node, &g_array_index(fx, dff_relay_effect_t, i));
	g_array_set_size(fx, 0);
}

/* ---- time ---- */

static void
run_frame(const event_t *event)
{
	dff_relay_event_t frame = {.type = DFF_RELAY_HEARTBEAT};
	char addr[32];

	get_node_addr(event->from, addr, sizeof(addr));
	frame.heartbeat.addr = addr;
	frame.heartbeat.bytes = event->bytes->data;
	frame.heartbeat.len = event->bytes->len;
	feed(event->node, &frame);
}

static void
run_event(event_t *event)
{
	const sim_node_t *node = &nodes[event->node];
	bool for_node =
	    event->type != EVENT_ARRIVAL && event->type != EVENT_RETURN;

	/* What reaches a frozen node waits in its sockets. */
	if (for_node && node->frozen) {
		schedule(1, event);
		return;
	}
	if (event->type == EVENT_RETURN)
		run_return();
	else if (event->type == EVENT_FRAME && node->bench != NULL)
		run_frame(event);
	else if (node->bench != NULL && event->life == node->life) {
		if (event->type == EVENT_ARRIVAL)
			run_arrival(event);
		else if (event->type == EVENT_ANSWER)
			run_answer(event);
		else if (event->type == EVENT_ASIDE)
			run_aside(event);
	}
	if (event->bytes != NULL)
		g_byte_array_unref(event->bytes);
}

static void
run_events(void)
{
	GArray *due = slots[tick % HORIZON];

	slots[tick % HORIZON] = g_array_new(FALSE, FALSE, sizeof(event_t));
	for (guint i = 0; i < due->len; i++)
		run_event(&g_array_index(due, event_t, i));
	g_array_unref(due);
}

static void
run_nodes(void)
{
	const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};

	for (int i = 0; i < config.nodes; i++) {
		relay_bench_t *bench = nodes[i].bench;

		if (!is_up(i))
			continue;
		bench->now += TICK;
		if (dff_relay_wake(bench->relay) <= bench->now)
			feed(i, &wake);
	}
}

static void
open_due_requests(void)
{
	owed += config.per_s * TICK / DFF_SEC;
	while (owed >= 1) {
		int node = pick_node(
		    config.busy_nodes > 0 ? config.busy_nodes : config.nodes);

		owed -= 1;
		if (node >= 0)
			open_request(node, false);
	}
}

void
limit_sim_run(dff_time_t time)
{
	dff_time_t end = limit_sim_now() + time;

	while (limit_sim_now() < end) {
		tick++;
		run_nodes();
		run_events();
		open_due_requests();
	}
}

void
limit_sim_set_load(double per_s, int busy_nodes)
{
	config.per_s = per_s;
	config.busy_nodes = busy_nodes;
}

void
limit_sim_start(const limit_sim_config_t *with)
{
	double per_s = with->per_s;

	config = *with;
	tick = 0;
	owed = 0;
	split = 0;
	frame_loss = 0;
	frame_bytes = 0;
	rng = g_rand_new_with_seed(30);
	arrivals = g_array_new(FALSE, FALSE, sizeof(arrival_t));
	requests = g_array_new(FALSE, FALSE, sizeof(request_t));
	for (int i = 0; i < HORIZON; i++)
		slots[i] = g_array_new(FALSE, FALSE, sizeof(event_t));
	for (int i = 0; i < config.upstreams; i++) {
		(void)g_snprintf(ups[i].id, sizeof(ups[i].id), "u%d", i);
		ups[i].limit = -1;
		ups[i].started_ms = 1;
	}
	memset(nodes, 0, sizeof(nodes));
	for (int i = 0; i < config.nodes; i++) {
		nodes[i].calls = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, g_free, NULL);
		nodes[i].cancelled = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, g_free, NULL);
		limit_sim_start_node(i);
	}
	/* Nodes find each other before the load begins. */
	config.per_s = 0;
	limit_sim_run(2 * DFF_SEC);
	config.per_s = per_s;
}

void
limit_sim_stop(void)
{
	if (rng == NULL)
		return;
	for (int i = 0; i < config.nodes; i++) {
		if (nodes[i].bench != NULL)
			relay_bench_drop(nodes[i].bench);
		g_hash_table_unref(nodes[i].calls);
		g_hash_table_unref(nodes[i].cancelled);
	}
	for (int i = 0; i < HORIZON; i++) {
		for (guint k = 0; k < slots[i]->len; k++) {
			const event_t *event =
			    &g_array_index(slots[i], event_t, k);

			if (event->bytes != NULL)
				g_byte_array_unref(event->bytes);
		}
		g_array_unref(slots[i]);
	}
	g_array_unref(arrivals);
	g_array_unref(requests);
	g_rand_free(rng);
	rng = NULL;
}

/* ---- results ---- */

static int
find_peak(int upstream, dff_time_t from, bool told_only)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(dff_time_t));
	int peak = 0;
	guint first = 0;

	for (guint i = 0; i < arrivals->len; i++) {
		const arrival_t *arrival =
		    &g_array_index(arrivals, arrival_t, i);

		if (arrival->upstream == upstream && arrival->at >= from &&
		    (arrival->told || !told_only))
			g_array_append_val(times, arrival->at);
	}
	for (guint i = 0; i < times->len; i++) {
		while (g_array_index(times, dff_time_t, i) -
			g_array_index(times, dff_time_t, first) >
		    WINDOW)
			first++;
		peak = MAX(peak, (int)(i - first + 1));
	}
	g_array_unref(times);
	return peak;
}

int
limit_sim_peak(int upstream, dff_time_t from)
{
	return find_peak(upstream, from, true);
}

int
limit_sim_peak_of_all(int upstream, dff_time_t from)
{
	return find_peak(upstream, from, false);
}

static double
find_rate(int upstream, int node, dff_time_t from)
{
	int count = 0;

	for (guint i = 0; i < arrivals->len; i++) {
		const arrival_t *arrival =
		    &g_array_index(arrivals, arrival_t, i);

		count += arrival->upstream == upstream && arrival->at >= from &&
		    (node < 0 || arrival->node == node);
	}
	return (double)count * DFF_SEC / (double)(limit_sim_now() - from);
}

double
limit_sim_rate(int upstream, dff_time_t from)
{
	return find_rate(upstream, -1, from);
}

double
limit_sim_rate_of(int upstream, int node, dff_time_t from)
{
	return find_rate(upstream, node, from);
}

static void
count_request(limit_sim_counts_t *counts, const request_t *request)
{
	dff_time_t took = request->ended_at - request->opened_at;

	if (request->returning)
		counts->returns++;
	else
		counts->requests++;
	switch (request->outcome) {
	case OUTCOME_OPEN:
		break;
	case OUTCOME_SERVED:
		counts->served++;
		break;
	case OUTCOME_REFUSED:
		if (request->returning)
			counts->returns_refused++;
		else
			counts->refused++;
		counts->slowest_refusal = MAX(counts->slowest_refusal, took);
		counts->shortest_retry =
		    MIN(counts->shortest_retry, request->retry_after);
		break;
	case OUTCOME_FAILED:
		counts->failed++;
		break;
	}
}

limit_sim_counts_t
limit_sim_counts(dff_time_t from)
{
	limit_sim_counts_t counts = {.shortest_retry = DFF_TIME_NEVER};

	for (guint i = 0; i < requests->len; i++) {
		const request_t *request =
		    &g_array_index(requests, request_t, i);

		if (request->opened_at >= from)
			count_request(&counts, request);
	}
	return counts;
}

uint64_t
limit_sim_bytes(void)
{
	return frame_bytes;
}
