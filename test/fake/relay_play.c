#include "relay_play.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define ENGINES 6
#define PREFILL 2 /* the first engines; the others decode */
#define CALLS	8192
/* Tokens of own parts; one in ten is long. */
#define OWN_SHORT 500
#define OWN_LONG  6000
/* Tokens that a prefill engine reads in one tick; others read half, and
 * half of that between the steps of answers. */
#define TICK_TOKENS 100.0
/* Time from the first byte to the end of an answer. */
#define ANSWER_TIME (200 * DFF_MSEC)
#define AIM	    (300 * DFF_MSEC)

/* What an engine has to do for a send. */
typedef struct job {
	int relay;
	uint64_t send;
	dff_step_t step;
	uint64_t shared;
	uint32_t own;
	int donor; /* engine to fetch from; -1 for none */
	bool started;
	double tokens; /* still to be read */
	dff_time_t ends; /* of its answer, once it began */
} job_t;

typedef struct engine {
	GQueue queue; /* job_t that wait or are read */
	GQueue answers; /* job_t whose answer has begun */
	GHashTable *kept; /* shared parts */
} engine_t;

/* One request of a caller. */
typedef struct asked {
	dff_time_t at;
	dff_time_t first; /* of its first byte; 0 before */
	dff_time_t answered; /* by the relay itself; 0 if not */
	int status;
	uint64_t shared;
	uint32_t own;
	bool again; /* its caller was turned away before */
} asked_t;

/* A caller who was turned away, until it returns. */
typedef struct turned_away {
	dff_time_t returns_at;
	uint64_t shared;
	uint32_t own;
} turned_away_t;

typedef struct frame {
	int from;
	char addr[DFF_ADDR_MAX];
	GByteArray *bytes;
} frame_t;

static relay_bench_t *relays[PLAY_RELAYS];
static engine_t engines[ENGINES];
static asked_t asked[PLAY_RELAYS][CALLS];
static GQueue frames = G_QUEUE_INIT;
static GQueue away = G_QUEUE_INIT; /* turned_away_t */
static bool callers_return;
/* Which engines are to tell a relay what they keep. */
static bool lists[PLAY_RELAYS][ENGINES];
static dff_time_t now;
static GRand *dice;
static double tokens_read;
static double shared_read;

static void take_effects(int relay);

static int
engine_of(const char *id)
{
	return atoi(id + 1);
}

/* Relays that know nothing yet. */
static void
start_relays(void)
{
	char addr[PLAY_RELAYS][32];

	for (int i = 0; i < PLAY_RELAYS; i++) {
		(void)g_snprintf(addr[i], sizeof(addr[i]), "10.0.0.%d:7000", i);
		relays[i] = relay_bench_new_as(addr[i], "a", addr[i], 100);
		relay_bench_load_route(relays[i], 1);
		for (int e = 0; e < ENGINES; e++) {
			char id[8];

			(void)g_snprintf(id, sizeof(id), "e%d", e);
			relay_bench_upstream(relays[i], id, "llm",
			    e < PREFILL ? DFF_ROLE_PREFILL : DFF_ROLE_DECODE,
			    "a", 1);
			take_effects(i);
		}
	}
	for (int i = 0; i < PLAY_RELAYS; i++) {
		for (int k = 0; k < PLAY_RELAYS; k++)
			dff_relay_add_peer(
			    relays[i]->relay, addr[k], "a", 100, now);
	}
}

void
play_setup(void)
{
	memset(asked, 0, sizeof(asked));
	memset(lists, 0, sizeof(lists));
	callers_return = false;
	now = 1000 * DFF_SEC;
	dice = g_rand_new_with_seed(1);
	tokens_read = 0;
	shared_read = 0;
	for (int e = 0; e < ENGINES; e++) {
		g_queue_init(&engines[e].queue);
		g_queue_init(&engines[e].answers);
		engines[e].kept =
		    g_hash_table_new(g_direct_hash, g_direct_equal);
	}
	start_relays();
}

static void
free_frame(void *data)
{
	frame_t *frame = data;

	g_byte_array_unref(frame->bytes);
	g_free(frame);
}

void
play_teardown(void)
{
	for (int i = 0; i < PLAY_RELAYS; i++)
		relay_bench_drop(relays[i]);
	for (int e = 0; e < ENGINES; e++) {
		g_queue_clear_full(&engines[e].queue, g_free);
		g_queue_clear_full(&engines[e].answers, g_free);
		g_hash_table_unref(engines[e].kept);
	}
	g_queue_clear_full(&frames, free_frame);
	g_queue_clear_full(&away, g_free);
	g_rand_free(dice);
}

/* ---- engines ---- */

static int
engine_at(const char *addr)
{
	for (int e = 0; e < ENGINES; e++) {
		char one[DFF_ADDR_MAX];

		(void)g_snprintf(one, sizeof(one), "10.9.0.%u:80", '0' + e);
		if (strcmp(one, addr) == 0)
			return e;
	}
	return -1;
}

static void
enqueue(int relay, const dff_relay_send_t *send)
{
	const asked_t *call = &asked[relay][send->call];
	job_t *job = g_new0(job_t, 1);

	job->relay = relay;
	job->send = send->send;
	job->step = send->step;
	job->shared = call->shared;
	job->own = call->own;
	job->donor = engine_at(send->donor);
	g_queue_push_tail(&engines[engine_of(send->upstream)].queue, job);
}

static bool
keeps(int e, uint64_t shared)
{
	return e >= 0 &&
	    g_hash_table_contains(
		engines[e].kept, GUINT_TO_POINTER((guint)shared));
}

/* What it has to read is known once it is its turn. */
static void
start_job(int e, job_t *job)
{
	bool kept = keeps(e, job->shared) || keeps(job->donor, job->shared);

	if (job->started)
		return;
	job->started = true;
	if (job->step == DFF_STEP_DECODE)
		return;
	job->tokens = job->own + (kept ? 0 : PLAY_SHARED);
	tokens_read += job->tokens;
	shared_read += kept ? 0 : PLAY_SHARED;
}

static void
forget_job(GQueue *queue, int relay, uint64_t send)
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

/* A job's prompt was read. */
static void
begin_answer(engine_t *engine, job_t *job)
{
	int relay = job->relay;
	uint64_t send = job->send;
	char handle[32];

	(void)g_hash_table_add(
	    engine->kept, GUINT_TO_POINTER((guint)job->shared));
	if (job->step == DFF_STEP_PREFILL) {
		g_free(job);
		(void)g_snprintf(
		    handle, sizeof(handle), "h%" G_GUINT64_FORMAT, send);
		relay_bench_head(relays[relay], send, 200, false);
		take_effects(relay);
		relay_bench_end(relays[relay], send, DFF_SEND_DONE, handle);
	} else {
		job->ends = now + ANSWER_TIME;
		g_queue_push_tail(&engine->answers, job);
		relay_bench_head(relays[relay], send, 200, false);
	}
	take_effects(relay);
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
	double left = tick_tokens(engine, e >= PREFILL);
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
	    job->ends <= now) {
		int relay = job->relay;
		uint64_t send = job->send;

		(void)g_queue_pop_head(&engine->answers);
		g_free(job);
		relay_bench_end(relays[relay], send, DFF_SEND_DONE, NULL);
		take_effects(relay);
	}
}

/* ---- relays ---- */

static void
keep_frame(int relay, const dff_relay_frame_t *fx)
{
	frame_t *frame = g_new0(frame_t, 1);

	frame->from = relay;
	g_strlcpy(frame->addr, fx->addr, sizeof(frame->addr));
	frame->bytes = g_byte_array_new();
	g_byte_array_append(frame->bytes, fx->bytes, (guint)fx->len);
	g_queue_push_tail(&frames, frame);
}

/* An engine tells which parts it keeps. */
static void
tell_kept(int relay, int e)
{
	char id[8];
	dff_relay_event_t event = {.type = DFF_RELAY_KEPT};
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(dff_part_t));
	GHashTableIter iter;
	gpointer key;

	(void)g_snprintf(id, sizeof(id), "e%d", e);
	g_hash_table_iter_init(&iter, engines[e].kept);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		dff_part_t part = {GPOINTER_TO_UINT(key), PLAY_SHARED};

		g_array_append_val(parts, part);
	}
	event.kept.upstream = id;
	event.kept.parts = (const dff_part_t *)(void *)parts->data;
	event.kept.count = parts->len;
	relay_bench_step(relays[relay], &event);
	take_effects(relay);
	g_array_unref(parts);
}

/* Answers come after the step that asked. */
static void
answer_lists(void)
{
	for (int i = 0; i < PLAY_RELAYS; i++) {
		for (int e = 0; e < ENGINES; e++) {
			if (!lists[i][e])
				continue;
			lists[i][e] = false;
			tell_kept(i, e);
		}
	}
}

/* Its caller comes back once, when it was told to. */
static void
turn_away(const asked_t *one, dff_time_t retry_after)
{
	turned_away_t *caller;

	if (!callers_return || one->again || one->status != 503)
		return;
	caller = g_new0(turned_away_t, 1);
	caller->returns_at = now + retry_after;
	caller->shared = one->shared;
	caller->own = one->own;
	g_queue_push_tail(&away, caller);
}

static void
take_effect(int relay, const dff_relay_effect_t *fx)
{
	switch (fx->type) {
	case DFF_RELAY_FX_SEND:
		enqueue(relay, &fx->send);
		break;
	case DFF_RELAY_FX_CANCEL:
		for (int e = 0; e < ENGINES; e++) {
			forget_job(&engines[e].queue, relay, fx->cancel);
			forget_job(&engines[e].answers, relay, fx->cancel);
		}
		break;
	case DFF_RELAY_FX_ANSWER:
		asked[relay][fx->answer.call].answered = now;
		asked[relay][fx->answer.call].status = fx->answer.status;
		turn_away(
		    &asked[relay][fx->answer.call], fx->answer.retry_after);
		break;
	case DFF_RELAY_FX_PASS_HEAD:
		asked[relay][fx->pass.call].first = now;
		break;
	case DFF_RELAY_FX_FRAME:
		keep_frame(relay, &fx->frame);
		break;
	case DFF_RELAY_FX_PASS_DATA:
	case DFF_RELAY_FX_PASS_END:
	case DFF_RELAY_FX_BREAK:
	case DFF_RELAY_FX_FREE:
	case DFF_RELAY_FX_LIST:
		lists[relay][engine_of(fx->list.upstream)] = true;
		break;
	case DFF_RELAY_FX_PROBE:
	case DFF_RELAY_FX_FORGET:
	case DFF_RELAY_FX_FETCH:
	case DFF_RELAY_FX_KEEP:
		break;
	}
}

static void
take_effects(int relay)
{
	GArray *fx = relays[relay]->fx;

	relays[relay]->fx =
	    g_array_new(FALSE, FALSE, sizeof(dff_relay_effect_t));
	for (guint i = 0; i < fx->len; i++)
		take_effect(relay, &g_array_index(fx, dff_relay_effect_t, i));
	g_array_unref(fx);
}

static void
deliver_frames(void)
{
	frame_t *frame;

	while ((frame = g_queue_pop_head(&frames)) != NULL) {
		int to = atoi(frame->addr + strlen("10.0.0."));
		dff_relay_event_t event = {.type = DFF_RELAY_BEAT};
		char addr[32];

		(void)g_snprintf(
		    addr, sizeof(addr), "10.0.0.%d:7000", frame->from);
		event.beat.addr = addr;
		event.beat.bytes = frame->bytes->data;
		event.beat.len = frame->bytes->len;
		relay_bench_step(relays[to], &event);
		take_effects(to);
		free_frame(frame);
	}
}

void
play_tick(void)
{
	const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};

	now += PLAY_TICK;
	for (int i = 0; i < PLAY_RELAYS; i++) {
		relays[i]->now = now;
		if (dff_relay_wake(relays[i]->relay) > now)
			continue;
		relay_bench_step(relays[i], &wake);
		take_effects(i);
	}
	deliver_frames();
	answer_lists();
	for (int e = 0; e < ENGINES; e++)
		run_engine(e);
}

static void
ask_as(int relay, uint64_t shared, uint32_t own, bool again)
{
	uint64_t call = relays[relay]->next_call + 1;
	asked_t *one = &asked[relay][call];

	ck_assert_uint_lt(call, CALLS);
	one->at = now;
	one->shared = shared;
	one->own = own;
	one->again = again;
	(void)relay_bench_open_prompt(relays[relay], "/talk/x", shared,
	    PLAY_SHARED, 1000000 + call * PLAY_RELAYS + (uint64_t)relay, own);
	take_effects(relay);
}

void
play_ask(int relay, uint64_t shared, uint32_t own)
{
	ask_as(relay, shared, own, false);
}

/* Callers whose time has come return, at any node. */
static void
take_returns(void)
{
	GList *next;

	for (GList *link = away.head; link != NULL; link = next) {
		turned_away_t *caller = link->data;

		next = link->next;
		if (caller->returns_at > now)
			continue;
		g_queue_delete_link(&away, link);
		ask_as(g_rand_int_range(dice, 0, PLAY_RELAYS), caller->shared,
		    caller->own, true);
		g_free(caller);
	}
}

void
play_load(dff_time_t time, double per_s, int parts)
{
	dff_time_t end = now + time;

	while (now < end) {
		double chance = per_s * (double)PLAY_TICK / DFF_SEC;

		while (g_rand_double(dice) < chance) {
			uint32_t own = g_rand_int_range(dice, 0, 10) == 0 ?
			    OWN_LONG :
			    OWN_SHORT;

			play_ask(g_rand_int_range(dice, 0, PLAY_RELAYS),
			    (uint64_t)g_rand_int_range(dice, 1, parts + 1),
			    own);
			chance -= 1;
		}
		take_returns();
		play_tick();
	}
}

void
play_count(play_tally_t *tally, dff_time_t since)
{
	memset(tally, 0, sizeof(*tally));
	for (int i = 0; i < PLAY_RELAYS; i++) {
		for (uint64_t c = 1; c <= relays[i]->next_call; c++) {
			const asked_t *one = &asked[i][c];
			bool served = one->first != 0;

			if (one->at < since)
				continue;
			tally->asked++;
			tally->again += one->again;
			tally->again_refused +=
			    one->again && one->status == 503;
			tally->long_asked += one->own > 1000;
			tally->long_served += served && one->own > 1000;
			if (served && one->first - one->at <= AIM)
				tally->in_aim++;
			else if (served)
				tally->late++;
			else if (one->status == 503)
				tally->refused++;
			else
				tally->failed++;
		}
	}
}

void
play_restart_relays(void)
{
	for (int i = 0; i < PLAY_RELAYS; i++)
		relay_bench_drop(relays[i]);
	start_relays();
	memset(asked, 0, sizeof(asked));
}

void
play_return_callers(void)
{
	callers_return = true;
}

double
play_capacity(void)
{
	double tokens = (PREFILL + (ENGINES - PREFILL) / 2.0) * TICK_TOKENS *
	    DFF_SEC / PLAY_TICK;

	return tokens / (0.9 * OWN_SHORT + 0.1 * OWN_LONG);
}

dff_time_t
play_now(void)
{
	return now;
}

dff_time_t
play_slowest_refusal(void)
{
	dff_time_t slowest = 0;

	for (int i = 0; i < PLAY_RELAYS; i++) {
		for (uint64_t c = 1; c <= relays[i]->next_call; c++) {
			const asked_t *one = &asked[i][c];

			if (one->status == 503)
				slowest = MAX(slowest, one->answered - one->at);
		}
	}
	return slowest;
}

double
play_shared_read(void)
{
	return shared_read / PLAY_SHARED;
}

size_t
play_longest_queue(void)
{
	size_t longest = 0;

	for (int e = 0; e < ENGINES; e++)
		longest = MAX(longest, engines[e].queue.length);
	return longest;
}
