#include "relay_sim.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define ENGINES		6
#define PREFILL_ENGINES 2 /* the first engines; the others decode */
#define CALLS_MAX	8192
/* Tokens of own parts; one in ten is long. */
#define OWN_SHORT 500
#define OWN_LONG  6000
/* Tokens that a prefill engine reads in one tick; others read half, and half of
 * that while they decode answers. */
#define TICK_TOKENS 100.0
/* Time from the first byte to the end of an answer. */
#define ANSWER_TIME    (200 * DFF_MSEC)
#define TARGET_LATENCY (300 * DFF_MSEC)

/* A send at an engine. */
typedef struct job {
	int relay;
	uint64_t send;
	dff_stage_t step;
	uint64_t shared;
	uint32_t own;
	int donor; /* engine to fetch from; -1 for none */
	bool started;
	double tokens; /* still to be read */
	dff_time_t ends_at; /* end of its answer, once it has begun */
} job_t;

typedef struct engine {
	GQueue queue; /* job_t that wait or whose prompt is being read */
	GQueue answers; /* job_t whose answer has begun */
	GHashTable *cached; /* shared parts */
} engine_t;

/* One request of a caller. */
typedef struct request {
	dff_time_t made_at;
	dff_time_t first_byte_at; /* time of its first byte; 0 before */
	dff_time_t answered_at; /* time of the relay's own answer; 0 if none */
	int status;
	uint64_t shared;
	uint32_t own;
	bool is_retry; /* its caller was refused before */
} request_t;

/* A refused caller until its retry. */
typedef struct refused_caller {
	dff_time_t retry_at;
	uint64_t shared;
	uint32_t own;
} refused_caller_t;

typedef struct frame {
	int from;
	char addr[DFF_ADDR_MAX];
	GByteArray *bytes;
} frame_t;

static relay_bench_t *relays[SIM_RELAYS];
static engine_t engines[ENGINES];
static request_t requests[SIM_RELAYS][CALLS_MAX];
static GQueue frames = G_QUEUE_INIT;
static GQueue refused_callers = G_QUEUE_INIT; /* refused_caller_t */
static bool retries_enabled;
/* Pending cache queries of each relay to each engine. */
static bool cache_queries[SIM_RELAYS][ENGINES];
static dff_time_t now;
static GRand *random_source;
static double tokens_read;
static double shared_read;

static void apply_effects(int relay);

static int
engine_by_id(const char *id)
{
	return atoi(id + 1);
}

/* Make relays with empty state. */
static void
make_relays(void)
{
	char addr[SIM_RELAYS][32];

	for (int i = 0; i < SIM_RELAYS; i++) {
		(void)g_snprintf(addr[i], sizeof(addr[i]), "10.0.0.%d:7000", i);
		relays[i] = relay_bench_new_as(addr[i], "a", addr[i], 100);
		relay_bench_load_routing(relays[i], 1);
		for (int e = 0; e < ENGINES; e++) {
			char id[8];

			(void)g_snprintf(id, sizeof(id), "e%d", e);
			relay_bench_load_upstream(relays[i], id, "llm",
			    e < PREFILL_ENGINES ? DFF_ROLE_PREFILL :
						  DFF_ROLE_DECODE,
			    "a", 1);
			apply_effects(i);
		}
	}
	for (int i = 0; i < SIM_RELAYS; i++) {
		for (int k = 0; k < SIM_RELAYS; k++)
			dff_relay_add_peer(
			    relays[i]->relay, addr[k], "a", 100, now);
	}
}

void
relay_sim_setup(void)
{
	memset(requests, 0, sizeof(requests));
	memset(cache_queries, 0, sizeof(cache_queries));
	retries_enabled = false;
	now = 1000 * DFF_SEC;
	random_source = g_rand_new_with_seed(1);
	tokens_read = 0;
	shared_read = 0;
	for (int e = 0; e < ENGINES; e++) {
		g_queue_init(&engines[e].queue);
		g_queue_init(&engines[e].answers);
		engines[e].cached =
		    g_hash_table_new(g_direct_hash, g_direct_equal);
	}
	make_relays();
}

static void
free_frame(void *data)
{
	frame_t *frame = data;

	g_byte_array_unref(frame->bytes);
	g_free(frame);
}

void
relay_sim_teardown(void)
{
	for (int i = 0; i < SIM_RELAYS; i++)
		relay_bench_drop(relays[i]);
	for (int e = 0; e < ENGINES; e++) {
		g_queue_clear_full(&engines[e].queue, g_free);
		g_queue_clear_full(&engines[e].answers, g_free);
		g_hash_table_unref(engines[e].cached);
	}
	g_queue_clear_full(&frames, free_frame);
	g_queue_clear_full(&refused_callers, g_free);
	g_rand_free(random_source);
}

/* ---- engines ---- */

static int
engine_by_addr(const char *addr)
{
	for (int e = 0; e < ENGINES; e++) {
		char engine_addr[DFF_ADDR_MAX];

		(void)g_snprintf(
		    engine_addr, sizeof(engine_addr), "10.9.0.%u:80", '0' + e);
		if (strcmp(engine_addr, addr) == 0)
			return e;
	}
	return -1;
}

static void
enqueue(int relay, const dff_relay_send_t *send)
{
	const request_t *call = &requests[relay][send->call];
	job_t *job = g_new0(job_t, 1);

	job->relay = relay;
	job->send = send->send;
	job->step = send->stage;
	job->shared = call->shared;
	job->own = call->own;
	job->donor = engine_by_addr(send->donor);
	g_queue_push_tail(&engines[engine_by_id(send->upstream)].queue, job);
}

static bool
has_cached(int e, uint64_t shared)
{
	return e >= 0 &&
	    g_hash_table_contains(
		engines[e].cached, GUINT_TO_POINTER((guint)shared));
}

/* Begin a job; which tokens it has to read is decided only now. */
static void
start_job(int e, job_t *job)
{
	bool cached =
	    has_cached(e, job->shared) || has_cached(job->donor, job->shared);

	if (job->started)
		return;
	job->started = true;
	if (job->step == DFF_STAGE_DECODE)
		return;
	job->tokens = job->own + (cached ? 0 : SIM_SHARED_TOKENS);
	tokens_read += job->tokens;
	shared_read += cached ? 0 : SIM_SHARED_TOKENS;
}

static void
remove_job(GQueue *queue, int relay, uint64_t send)
{
	for (GList *link = queue->head; link != NULL; link = link->next) {
		job_t *job = link->data;

		if (job->relay != relay || job->send != send)
			continue;
		g_queue_delete_link(queue, link);
		g_free(job);
		return;
	}
}

/* End the reading of a job's prompt and begin its answer. */
static void
begin_answer(engine_t *engine, job_t *job)
{
	int relay = job->relay;
	uint64_t send = job->send;
	char handle[32];

	(void)g_hash_table_add(
	    engine->cached, GUINT_TO_POINTER((guint)job->shared));
	if (job->step == DFF_STAGE_PREFILL) {
		g_free(job);
		(void)g_snprintf(
		    handle, sizeof(handle), "h%" G_GUINT64_FORMAT, send);
		relay_bench_head(relays[relay], send, 200, false);
		apply_effects(relay);
		relay_bench_end(relays[relay], send, DFF_SEND_DONE, handle);
	} else {
		job->ends_at = now + ANSWER_TIME;
		g_queue_push_tail(&engine->answers, job);
		relay_bench_head(relays[relay], send, 200, false);
	}
	apply_effects(relay);
}

static double
tick_tokens(const engine_t *engine, bool decodes)
{
	if (!decodes)
		return TICK_TOKENS;
	return engine->answers.length == 0 ? TICK_TOKENS / 2 : TICK_TOKENS / 4;
}

static void
run_engine(int e)
{
	engine_t *engine = &engines[e];
	double left = tick_tokens(engine, e >= PREFILL_ENGINES);
	job_t *job;

	while ((job = g_queue_peek_head(&engine->queue)) != NULL) {
		double part;

		start_job(e, job);
		part = MIN(left, job->tokens);
		job->tokens -= part;
		left -= part;
		if (job->tokens > 0)
			break;
		(void)g_queue_pop_head(&engine->queue);
		begin_answer(engine, job);
	}
	while ((job = g_queue_peek_head(&engine->answers)) != NULL &&
	    job->ends_at <= now) {
		int relay = job->relay;
		uint64_t send = job->send;

		(void)g_queue_pop_head(&engine->answers);
		g_free(job);
		relay_bench_end(relays[relay], send, DFF_SEND_DONE, NULL);
		apply_effects(relay);
	}
}

/* ---- relays ---- */

static void
queue_frame(int relay, const dff_relay_frame_t *fx)
{
	frame_t *frame = g_new0(frame_t, 1);

	frame->from = relay;
	g_strlcpy(frame->addr, fx->addr, sizeof(frame->addr));
	frame->bytes = g_byte_array_new();
	g_byte_array_append(frame->bytes, fx->bytes, (guint)fx->len);
	g_queue_push_tail(&frames, frame);
}

/* Pass an engine's list of cached parts to a relay. */
static void
pass_cache_list(int relay, int e)
{
	char id[8];
	dff_relay_event_t event = {.type = DFF_RELAY_CACHE_LIST};
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(dff_part_t));
	GHashTableIter iter;
	gpointer key;

	(void)g_snprintf(id, sizeof(id), "e%d", e);
	g_hash_table_iter_init(&iter, engines[e].cached);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		dff_part_t part = {GPOINTER_TO_UINT(key), SIM_SHARED_TOKENS};

		g_array_append_val(parts, part);
	}
	event.cache_list.upstream = id;
	event.cache_list.parts = (const dff_part_t *)(void *)parts->data;
	event.cache_list.count = parts->len;
	relay_bench_step(relays[relay], &event);
	apply_effects(relay);
	g_array_unref(parts);
}

/* Answer the cache queries of earlier steps. */
static void
answer_cache_queries(void)
{
	for (int i = 0; i < SIM_RELAYS; i++) {
		for (int e = 0; e < ENGINES; e++) {
			if (!cache_queries[i][e])
				continue;
			cache_queries[i][e] = false;
			pass_cache_list(i, e);
		}
	}
}

/* Let a refused caller retry once, at the time that the refusal gave. */
static void
schedule_retry(const request_t *request, dff_time_t retry_after)
{
	refused_caller_t *caller;

	if (!retries_enabled || request->is_retry || request->status != 503)
		return;
	caller = g_new0(refused_caller_t, 1);
	caller->retry_at = now + retry_after;
	caller->shared = request->shared;
	caller->own = request->own;
	g_queue_push_tail(&refused_callers, caller);
}

static void
apply_effect(int relay, const dff_relay_effect_t *fx)
{
	switch (fx->type) {
	case DFF_RELAY_FX_SEND:
		enqueue(relay, &fx->send);
		break;
	case DFF_RELAY_FX_CANCEL:
		for (int e = 0; e < ENGINES; e++) {
			remove_job(&engines[e].queue, relay, fx->cancel);
			remove_job(&engines[e].answers, relay, fx->cancel);
		}
		break;
	case DFF_RELAY_FX_ANSWER:
		requests[relay][fx->answer.call].answered_at = now;
		requests[relay][fx->answer.call].status = fx->answer.status;
		schedule_retry(
		    &requests[relay][fx->answer.call], fx->answer.retry_after);
		break;
	case DFF_RELAY_FX_FORWARD_HEAD:
		requests[relay][fx->forward.call].first_byte_at = now;
		break;
	case DFF_RELAY_FX_FRAME:
		queue_frame(relay, &fx->frame);
		break;
	case DFF_RELAY_FX_FORWARD_DATA:
	case DFF_RELAY_FX_FORWARD_END:
	case DFF_RELAY_FX_ABORT:
	case DFF_RELAY_FX_RELEASE:
	case DFF_RELAY_FX_CACHE_QUERY:
		cache_queries[relay][engine_by_id(fx->cache_query.upstream)] =
		    true;
		break;
	case DFF_RELAY_FX_PROBE:
	case DFF_RELAY_FX_IDENTIFY:
	case DFF_RELAY_FX_STORE_ORIGINS:
	case DFF_RELAY_FX_READ_ORIGINS:
	case DFF_RELAY_FX_CLOSE_IDLE:
	case DFF_RELAY_FX_FETCH:
	case DFF_RELAY_FX_ORDER_UPSTREAMS:
	case DFF_RELAY_FX_DUTY_LOG:
	case DFF_RELAY_FX_USAGE:
	case DFF_RELAY_FX_STORE_CRASHES:
		break;
	}
}

static void
apply_effects(int relay)
{
	GArray *fx = relays[relay]->fx;

	relays[relay]->fx =
	    g_array_new(FALSE, FALSE, sizeof(dff_relay_effect_t));
	for (guint i = 0; i < fx->len; i++)
		apply_effect(relay, &g_array_index(fx, dff_relay_effect_t, i));
	g_array_unref(fx);
}

static void
deliver_frames(void)
{
	frame_t *frame;

	while ((frame = g_queue_pop_head(&frames)) != NULL) {
		int to = atoi(frame->addr + strlen("10.0.0."));
		dff_relay_event_t event = {.type = DFF_RELAY_HEARTBEAT};
		char addr[32];

		(void)g_snprintf(
		    addr, sizeof(addr), "10.0.0.%d:7000", frame->from);
		event.heartbeat.addr = addr;
		event.heartbeat.bytes = frame->bytes->data;
		event.heartbeat.len = frame->bytes->len;
		relay_bench_step(relays[to], &event);
		apply_effects(to);
		free_frame(frame);
	}
}

void
relay_sim_tick(void)
{
	const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};

	now += SIM_TICK;
	for (int i = 0; i < SIM_RELAYS; i++) {
		relays[i]->now = now;
		if (dff_relay_wake(relays[i]->relay) > now)
			continue;
		relay_bench_step(relays[i], &wake);
		apply_effects(i);
	}
	deliver_frames();
	answer_cache_queries();
	for (int e = 0; e < ENGINES; e++)
		run_engine(e);
}

static void
make_request(int relay, uint64_t shared, uint32_t own, bool is_retry)
{
	uint64_t call = relays[relay]->next_call + 1;
	request_t *request = &requests[relay][call];

	ck_assert_uint_lt(call, CALLS_MAX);
	request->made_at = now;
	request->shared = shared;
	request->own = own;
	request->is_retry = is_retry;
	(void)relay_bench_open_prompt(relays[relay], "/talk/x", shared,
	    SIM_SHARED_TOKENS, 1000000 + call * SIM_RELAYS + (uint64_t)relay,
	    own);
	apply_effects(relay);
}

void
relay_sim_request(int relay, uint64_t shared, uint32_t own)
{
	make_request(relay, shared, own, false);
}

/* Make the retries that are due, each at a random relay. */
static void
make_due_retries(void)
{
	GList *next;

	for (GList *link = refused_callers.head; link != NULL; link = next) {
		refused_caller_t *caller = link->data;

		next = link->next;
		if (caller->retry_at > now)
			continue;
		g_queue_delete_link(&refused_callers, link);
		make_request(g_rand_int_range(random_source, 0, SIM_RELAYS),
		    caller->shared, caller->own, true);
		g_free(caller);
	}
}

void
relay_sim_load(dff_time_t time, double per_s, int parts)
{
	dff_time_t end = now + time;

	while (now < end) {
		double chance = per_s * (double)SIM_TICK / DFF_SEC;

		while (g_rand_double(random_source) < chance) {
			uint32_t own =
			    g_rand_int_range(random_source, 0, 10) == 0 ?
			    OWN_LONG :
			    OWN_SHORT;

			relay_sim_request(
			    g_rand_int_range(random_source, 0, SIM_RELAYS),
			    (uint64_t)g_rand_int_range(
				random_source, 1, parts + 1),
			    own);
			chance -= 1;
		}
		make_due_retries();
		relay_sim_tick();
	}
}

void
relay_sim_count(relay_sim_tally_t *tally, dff_time_t since)
{
	memset(tally, 0, sizeof(*tally));
	for (int i = 0; i < SIM_RELAYS; i++) {
		for (uint64_t c = 1; c <= relays[i]->next_call; c++) {
			const request_t *request = &requests[i][c];
			bool served = request->first_byte_at != 0;

			if (request->made_at < since)
				continue;
			tally->requests++;
			tally->retried += request->is_retry;
			tally->retries_refused +=
			    request->is_retry && request->status == 503;
			tally->long_requests += request->own > 1000;
			tally->long_served += served && request->own > 1000;
			if (served &&
			    request->first_byte_at - request->made_at <=
				TARGET_LATENCY)
				tally->in_target++;
			else if (served)
				tally->late++;
			else if (request->status == 503)
				tally->refused++;
			else
				tally->failed++;
		}
	}
}

void
relay_sim_restart_relays(void)
{
	for (int i = 0; i < SIM_RELAYS; i++)
		relay_bench_drop(relays[i]);
	make_relays();
	memset(requests, 0, sizeof(requests));
}

void
relay_sim_enable_retries(void)
{
	retries_enabled = true;
}

double
relay_sim_capacity(void)
{
	double tokens = (PREFILL_ENGINES + (ENGINES - PREFILL_ENGINES) / 2.0) *
	    TICK_TOKENS * DFF_SEC / SIM_TICK;

	return tokens / (0.9 * OWN_SHORT + 0.1 * OWN_LONG);
}

dff_time_t
relay_sim_now(void)
{
	return now;
}

dff_time_t
relay_sim_slowest_refusal(void)
{
	dff_time_t slowest = 0;

	for (int i = 0; i < SIM_RELAYS; i++) {
		for (uint64_t c = 1; c <= relays[i]->next_call; c++) {
			const request_t *request = &requests[i][c];

			if (request->status == 503)
				slowest = MAX(slowest,
				    request->answered_at - request->made_at);
		}
	}
	return slowest;
}

double
relay_sim_shared_reads(void)
{
	return shared_read / SIM_SHARED_TOKENS;
}

size_t
relay_sim_longest_queue(void)
{
	size_t longest = 0;

	for (int e = 0; e < ENGINES; e++)
		longest = MAX(longest, engines[e].queue.length);
	return longest;
}
