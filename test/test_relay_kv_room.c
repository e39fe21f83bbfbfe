/*
 * Memory of engines under load, in virtual time: nodes of one fleet send
 * prompts whose answers take long, so that an engine's memory is taken before
 * its slots. The engines here know what they hold, shared parts once; no engine
 * may have to hold more than it has, and the room must be used.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_net.h"
#include "proto/dragonflyfall.pb-c.h"
#include "relay/kv_room.h"

#define NODES	     6
#define ENGINES_MAX  8
#define KV_TOKENS    500000
#define SLOTS	     256
#define TICK	     (5 * DFF_MSEC)
#define TARGET	     (1500 * DFF_MSEC)
#define SHARED_PARTS 5
#define SHARED	     8000
#define OWN	     6000
#define OUT	     100
#define SEEDS	     5

/* A send at an engine, or a handle that waits there. */
typedef struct job {
	int node;
	uint64_t send;
	uint64_t call;
	int engine;
	dff_stage_t stage;
	uint64_t shared;
	dff_time_t head_at; /* 0 after it */
	dff_time_t ends_at; /* of its answer */
	bool is_handle;
} job_t;

static relay_net_t net;
static GArray *jobs; /* job_t */
static GRand *random_source;
static int engine_count;
static uint64_t most_held[ENGINES_MAX];
static double held_sum; /* of samples, of all engines */
static int samples;
static int served;
static int refused;
static uint64_t next_part;
static dff_time_t read_time; /* from a send to the end of the reading */
static dff_time_t fetch_time; /* from a handover to the first byte */
static dff_time_t answer_time;

static void
load_routing(relay_bench_t *bench)
{
	dff_relay_event_t event = {.type = DFF_RELAY_ROUTING};
	dff_route_t *route;

	event.routing = relay_bench_new_routing(1);
	route = (dff_route_t *)(uintptr_t)dff_routing_match(
	    event.routing, "h", "/talk/x");
	route->target_latency = TARGET;
	relay_bench_step(bench, &event);
	dff_routing_drop(event.routing);
}

static void
load_engine(relay_bench_t *bench, int engine, dff_role_t role)
{
	char id[8];
	dff_upstream_record_t record;

	(void)g_snprintf(id, sizeof(id), "e%d", engine);
	record = relay_bench_make_record(id, "llm", role, "a", 1, "v1");
	record.slots = SLOTS;
	relay_bench_load_record(bench, &record);
}

static void
start_fleet(int readers, int decoders, uint32_t seed)
{
	engine_count = readers + decoders;
	jobs = g_array_new(FALSE, FALSE, sizeof(job_t));
	random_source = g_rand_new_with_seed(seed);
	memset(most_held, 0, sizeof(most_held));
	held_sum = 0;
	samples = served = refused = 0;
	next_part = 1000;
	for (int i = 0; i < NODES; i++) {
		relay_net_add(&net, "a", i + 1, 100);
		load_routing(net.nodes[i]);
		for (int e = 0; e < engine_count; e++)
			load_engine(net.nodes[i], e,
			    e < readers ? DFF_ROLE_PREFILL : DFF_ROLE_DECODE);
	}
	relay_net_add_all_peers(&net);
	relay_net_advance(&net, DFF_SEC);
}

static void
stop_fleet(void)
{
	relay_net_drop(&net);
	g_array_unref(jobs);
	g_rand_free(random_source);
}

/* ---- engines ---- */

static uint64_t
held_by(int engine)
{
	bool parts[SHARED_PARTS] = {false};
	uint64_t tokens = 0;

	for (guint i = 0; i < jobs->len; i++) {
		const job_t *job = &g_array_index(jobs, job_t, i);

		if (job->engine != engine)
			continue;
		tokens += OWN + (job->stage == DFF_STAGE_PREFILL ? 0 : OUT);
		parts[job->shared] = true;
	}
	for (int i = 0; i < SHARED_PARTS; i++)
		tokens += parts[i] ? SHARED : 0;
	return tokens;
}

static void
sample(void)
{
	for (int e = 0; e < engine_count; e++) {
		uint64_t held = held_by(e);

		most_held[e] = MAX(most_held[e], held);
		held_sum += (double)held;
	}
	samples++;
}

static int
find_job(int node, uint64_t send)
{
	for (guint i = 0; i < jobs->len; i++) {
		const job_t *job = &g_array_index(jobs, job_t, i);

		if (job->node == node && job->send == send && !job->is_handle)
			return (int)i;
	}
	return -1;
}

/* The handle of a call is used, freed, or left to expire. */
static void
drop_handle(int node, uint64_t call)
{
	for (guint i = jobs->len; i-- > 0;) {
		const job_t *job = &g_array_index(jobs, job_t, i);

		if (job->is_handle && job->node == node && job->call == call)
			g_array_remove_index_fast(jobs, i);
	}
}

static void
begin_send(int node, const dff_relay_send_t *send, uint64_t shared)
{
	dff_time_t now = net.nodes[node]->now;
	job_t job = {.node = node,
	    .send = send->send,
	    .call = send->call,
	    .engine = atoi(send->upstream + 1),
	    .stage = send->stage,
	    .shared = shared,
	    .head_at = now +
		(send->stage == DFF_STAGE_DECODE ? fetch_time : read_time)};

	job.ends_at = job.head_at + answer_time;
	g_array_append_val(jobs, job);
}

/* Carries out the effects of a node's last step and delivers its frames. */
static void
apply(int node, uint64_t shared)
{
	GArray *fx = net.nodes[node]->fx;

	for (guint i = 0; i < fx->len; i++) {
		const dff_relay_effect_t *effect =
		    &g_array_index(fx, dff_relay_effect_t, i);
		int index;

		switch (effect->type) {
		case DFF_RELAY_FX_SEND:
			begin_send(node, &effect->send, shared);
			break;
		case DFF_RELAY_FX_CANCEL:
			index = find_job(node, effect->cancel);
			if (index >= 0)
				g_array_remove_index_fast(jobs, (guint)index);
			break;
		case DFF_RELAY_FX_ANSWER:
			refused++;
			drop_handle(node, effect->answer.call);
			break;
		case DFF_RELAY_FX_FORWARD_END:
			served++;
			break;
		default:
			break;
		}
	}
	relay_net_deliver(&net, node);
}

static void
open_request(int node)
{
	uint64_t shared =
	    (uint64_t)g_rand_int_range(random_source, 0, SHARED_PARTS);

	(void)relay_bench_open_prompt(
	    net.nodes[node], "/talk/x", shared + 1, SHARED, ++next_part, OWN);
	apply(node, shared);
}

/* Sends the head of a job's answer; a prefill ends with it. */
static void
answer(job_t job, int index)
{
	relay_bench_t *bench = net.nodes[job.node];

	if (job.stage == DFF_STAGE_PREFILL) {
		g_array_index(jobs, job_t, index).is_handle = true;
		relay_bench_head(bench, job.send, 200, false);
		apply(job.node, job.shared);
		relay_bench_end(bench, job.send, DFF_SEND_DONE, "handle");
	} else {
		if (job.stage == DFF_STAGE_DECODE)
			drop_handle(job.node, job.call);
		relay_bench_head(bench, job.send, 200, false);
	}
	apply(job.node, job.shared);
}

static void
end(job_t job, int index)
{
	g_array_remove_index_fast(jobs, (guint)index);
	relay_bench_end(net.nodes[job.node], job.send, DFF_SEND_DONE, NULL);
	apply(job.node, job.shared);
}

static void
run_engines(void)
{
	for (guint i = 0; i < jobs->len; i++) {
		job_t *job = &g_array_index(jobs, job_t, i);
		dff_time_t now = net.nodes[job->node]->now;

		if (job->is_handle)
			continue;
		if (job->head_at != 0 && job->head_at <= now) {
			job->head_at = 0;
			answer(*job, (int)i);
		} else if (job->head_at == 0 && job->ends_at <= now)
			end(*job, (int)i);
	}
}

static void
load(dff_time_t time, double per_s)
{
	double due = 0;

	for (dff_time_t t = 0; t < time; t += TICK) {
		due += per_s * (double)TICK / DFF_SEC;
		for (; due >= 1; due--) {
			open_request(g_rand_int_range(random_source, 0, NODES));
			sample();
		}
		run_engines();
		relay_net_advance(&net, TICK);
	}
}

static void
expect_bounded(uint32_t seed)
{
	for (int e = 0; e < engine_count; e++)
		ck_assert_msg(most_held[e] <= KV_TOKENS,
		    "seed %u: engine %d held %" G_GUINT64_FORMAT
		    " of %d tokens",
		    seed, e, most_held[e], KV_TOKENS);
	ck_assert_int_gt(refused, 0);
	ck_assert_int_gt(served, 0);
}

/* Nearly twice as many requests as there is room for. */
START_TEST(engines_hold_no_more_than_their_memory)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		double used;

		read_time = 10 * DFF_MSEC;
		answer_time = 2 * DFF_SEC;
		start_fleet(0, 3, seed);
		load(3 * DFF_SEC, 180);
		held_sum = 0;
		samples = 0;
		load(4 * DFF_SEC, 180);
		used = held_sum / samples / engine_count / KV_TOKENS;
		expect_bounded(seed);
		ck_assert_msg(used >= 0.8, "seed %u: %.2f of the memory used",
		    seed, used);
		stop_fleet();
	}
}
END_TEST

/* Prompts that were read wait at their engines until they are handed over. */
START_TEST(engines_hold_prompts_until_their_handover)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		read_time = 60 * DFF_MSEC;
		fetch_time = 900 * DFF_MSEC;
		answer_time = 200 * DFF_MSEC;
		start_fleet(2, 6, seed);
		load(4 * DFF_SEC, 260);

		expect_bounded(seed);
		stop_fleet();
	}
}
END_TEST

/* A node of the version before reports no tokens without shared parts. */
static void
receive_old_frame(int node, uint32_t memory)
{
	Dff__RelayLoad row = DFF__RELAY_LOAD__INIT;
	Dff__RelayLoad *rows[] = {&row};
	Dff__RelayBeat frame = DFF__RELAY_BEAT__INIT;
	dff_relay_event_t event = {.type = DFF_RELAY_HEARTBEAT};
	uint8_t bytes[256];

	row.upstream = upstream_hash("e0");
	row.running = 30;
	row.memory = memory;
	frame.node = (char *)(uintptr_t) "old";
	frame.domain = (char *)(uintptr_t) "a";
	frame.incarnation = 1;
	frame.sequence = 1;
	frame.source_age_ms = UINT32_MAX;
	frame.loads = rows;
	frame.n_loads = 1;
	ck_assert_uint_le(
	    dff__relay_beat__get_packed_size(&frame), sizeof(bytes));
	event.heartbeat.len = dff__relay_beat__pack(&frame, bytes);
	event.heartbeat.bytes = bytes;
	event.heartbeat.addr = "10.0.97.99:7000";
	relay_bench_step(net.nodes[node], &event);
}

START_TEST(memory_that_older_nodes_report_counts)
{
	start_fleet(0, 1, 1);
	receive_old_frame(0, 440000);
	open_request(0);
	ck_assert_int_eq(refused, 1);
	ck_assert_uint_eq(jobs->len, 0);
	open_request(1);
	ck_assert_uint_eq(jobs->len, 1);
	stop_fleet();
}
END_TEST

/* ---- what is held ---- */

START_TEST(large_request_fits_where_there_is_no_other)
{
	const dff_pool_t pool = {.kv_tokens = KV_TOKENS};
	const dff_prompt_t prompt = {.parts = {{1, 470000}},
	    .count = 1,
	    .tokens = 470000,
	    .tokens_out = OUT};
	placement_request_t request = {.pool_config = &pool, .prompt = &prompt};
	upstream_t up = {.running = 0};

	ck_assert(kv_has_room(&up, &request, true, 0));
	up.peer_sends.unshared = 1;
	ck_assert(!kv_has_room(&up, &request, true, 0));
	request.under_way = true;
	ck_assert(kv_has_room(&up, &request, true, 0));
	up.peer_sends.unshared = 30000;
	ck_assert(!kv_has_room(&up, &request, true, 0));
}
END_TEST

/* Parts that peers reported lately are not held once they report that none of
 * their requests is there. */
START_TEST(large_request_fits_when_peers_have_ended)
{
	const dff_pool_t pool = {.kv_tokens = KV_TOKENS};
	const dff_prompt_t prompt = {.parts = {{1, 470000}},
	    .count = 1,
	    .tokens = 470000,
	    .tokens_out = OUT};
	placement_request_t request = {.pool_config = &pool, .prompt = &prompt};
	upstream_t up = {.peer_sends = {.running = 1}};

	kv_held_note_peer(&up.held, 7, 40000, 0);
	ck_assert(!kv_has_room(&up, &request, true, 10 * DFF_MSEC));
	up.peer_sends.running = 0;
	ck_assert(kv_has_room(&up, &request, true, 20 * DFF_MSEC));
	kv_held_clear(&up.held);
}
END_TEST

/* The prompt is read again, without the memory that has expired. */
START_TEST(memory_that_has_expired_is_not_held)
{
	relay_bench_t *bench;
	const upstream_t *reader;

	start_fleet(1, 3, 1);
	bench = net.nodes[0];
	(void)relay_bench_open_prompt(bench, "/talk/x", 1, SHARED, 2, OWN);
	relay_bench_head(bench, 1, 200, false);
	relay_bench_end(bench, 1, DFF_SEND_DONE, "handle");
	reader = upstreams_find(bench->relay->upstreams, upstream_hash("e0"));
	ck_assert_uint_eq(reader->held.unshared, OWN);
	relay_bench_wait(bench, 1100 * DFF_MSEC);
	relay_bench_head(bench, 2, 503, true);
	relay_bench_end(bench, 2, DFF_SEND_DONE, NULL);
	ck_assert_int_eq(relay_bench_find(bench, DFF_RELAY_FX_SEND)->send.stage,
	    DFF_STAGE_PREFILL);
	ck_assert_uint_eq(reader->held.unshared, OWN);
	stop_fleet();
}
END_TEST

static dff_prompt_t
make_prompt(uint64_t shared, uint64_t own)
{
	return (dff_prompt_t){.parts = {{shared, SHARED}, {own, OWN}},
	    .count = 2,
	    .tokens = SHARED + OWN,
	    .tokens_out = OUT};
}

START_TEST(shared_parts_are_held_once)
{
	kv_held_t held = {0};
	dff_prompt_t one = make_prompt(1, 10);
	dff_prompt_t two = make_prompt(1, 11);
	dff_prompt_t other = make_prompt(2, 12);

	kv_held_add(&held, &one, OUT, 0);
	kv_held_add(&held, &two, OUT, 0);
	ck_assert_uint_eq(
	    held.shared + held.unshared, SHARED + 2 * (OWN + OUT));
	ck_assert_uint_eq(
	    kv_held_with(&held, 0, &one, OUT, 0), SHARED + 3 * (OWN + OUT));
	ck_assert_uint_eq(kv_held_with(&held, 700, &other, 0, 0),
	    2 * SHARED + 2 * (OWN + OUT) + OWN + 700);
	kv_held_remove(&held, &one, OUT, 0);
	ck_assert_uint_eq(held.shared + held.unshared, SHARED + OWN + OUT);
	kv_held_remove(&held, &two, OUT, 0);
	ck_assert_uint_eq(held.shared + held.unshared, 0);
	kv_held_clear(&held);
}
END_TEST

START_TEST(parts_of_peers_are_held_for_a_time)
{
	kv_held_t held = {0};
	dff_prompt_t one = make_prompt(1, 10);

	kv_held_note_peer(&held, 1, SHARED, 0);
	ck_assert_uint_eq(
	    kv_held_with(&held, 0, &one, 0, DFF_SEC), SHARED + OWN);
	kv_held_add(&held, &one, 0, DFF_SEC);
	kv_held_remove(&held, &one, 0, 2 * DFF_SEC);
	ck_assert_uint_eq(held.shared, SHARED);
	(void)kv_held_with(&held, 0, &one, 0, 10 * DFF_SEC);
	ck_assert_uint_eq(held.shared, 0);
	kv_held_clear(&held);
}
END_TEST

/* A node that sends no requests of its own hears of parts without end. */
START_TEST(parts_of_peers_are_forgotten_without_own_requests)
{
	kv_held_t held = {0};

	for (uint64_t i = 0; i < 1000; i++)
		kv_held_note_peer(&held, i, SHARED, (dff_time_t)i * DFF_SEC);
	ck_assert_uint_le(g_hash_table_size(held.parts), 6);
	ck_assert_uint_le(held.shared, 6 * SHARED);
	kv_held_clear(&held);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_kv_room");
	TCase *tcase = tcase_create("relay_kv_room");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, engines_hold_no_more_than_their_memory);
	tcase_add_test(tcase, engines_hold_prompts_until_their_handover);
	tcase_add_test(tcase, memory_that_older_nodes_report_counts);
	tcase_add_test(tcase, large_request_fits_where_there_is_no_other);
	tcase_add_test(tcase, large_request_fits_when_peers_have_ended);
	tcase_add_test(tcase, memory_that_has_expired_is_not_held);
	tcase_add_test(tcase, shared_parts_are_held_once);
	tcase_add_test(tcase, parts_of_peers_are_held_for_a_time);
	tcase_add_test(
	    tcase, parts_of_peers_are_forgotten_without_own_requests);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
