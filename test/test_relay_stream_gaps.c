/*
 * A load simulation with one relay, one prefill engine and two decode engines
 * that read prompts between the decoding steps of their streams. Beside a
 * steady load of short streams come bursts of long prompts that are not cached.
 * Streams must not pause for longer than their route's target_gap.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_bench.h"

#define TICK (5 * DFF_MSEC)
/* Of the routes of relay_bench_new_routing(). */
#define GAP (200 * DFF_MSEC)
/* Prompt tokens a millisecond, by role. */
#define READ_PREFILL 50
#define READ_DECODE  12
/* Time between events of an undisturbed stream, and their number. */
#define EVENT_TIME (60 * DFF_MSEC)
#define EVENTS	   10
/* Relative speed of a stream while its engine reads a prompt. */
#define READING_SHARE 0.2

#define ENGINES	       3
#define PREFILL_ENGINE 0
#define SENDS_MAX      4000

/* A request at an engine. */
typedef struct job {
	uint64_t send; /* 0 once it has ended */
	int engine;
	double unread; /* tokens */
	double progress; /* towards the next event, microseconds */
	int events;
	dff_time_t last_event_at;
	bool prefill;
	bool late;
	bool has_begun;
} job_t;

static relay_bench_t *bench;
static job_t jobs[SENDS_MAX];
static int job_count;
static int streams_done;
static int streams_late;
static int refused;
static uint64_t next_part;

static const char *const engine_ids[ENGINES] = {"f1", "d1", "d2"};

static void
setup(void)
{
	bench = relay_bench_new();
	relay_bench_load_routing(bench, 1);
	for (int e = 0; e < ENGINES; e++)
		relay_bench_load_upstream(bench, engine_ids[e], "llm",
		    e == PREFILL_ENGINE ? DFF_ROLE_PREFILL : DFF_ROLE_DECODE,
		    "a", 1);
	memset(jobs, 0, sizeof(jobs));
	job_count = streams_done = streams_late = refused = 0;
	next_part = 1;
}

static void
teardown(void)
{
	relay_bench_drop(bench);
}

/* Queue the send of the last step at its engine. @unread: tokens of the prompt
 * that are not cached. */
static void
queue_send(double unread)
{
	const dff_relay_effect_t *fx =
	    relay_bench_find(bench, DFF_RELAY_FX_SEND);
	job_t *job;

	refused += relay_bench_answer(bench) == 503;
	if (fx == NULL)
		return;
	ck_assert_int_lt(job_count, SENDS_MAX);
	job = &jobs[job_count++];
	job->send = fx->send.send;
	job->prefill = fx->send.stage == DFF_STAGE_PREFILL;
	job->unread = fx->send.stage == DFF_STAGE_DECODE ? 0 : unread;
	for (int e = 0; e < ENGINES; e++) {
		if (strcmp(fx->send.upstream, engine_ids[e]) == 0)
			job->engine = e;
	}
}

static void
make_request(uint32_t own)
{
	next_part += 2;
	(void)relay_bench_open_prompt(
	    bench, "/talk/x", next_part, 50, next_part + 1, own);
	queue_send(own + 50);
}

/* The job whose prompt an engine reads; it reads one at a time. */
static job_t *
job_being_read(int engine)
{
	for (int i = 0; i < job_count; i++) {
		if (jobs[i].send != 0 && jobs[i].engine == engine &&
		    jobs[i].unread > 0)
			return &jobs[i];
	}
	return NULL;
}

static void
send_event(job_t *job)
{
	if (!job->has_begun)
		relay_bench_head(bench, job->send, 200, false);
	else if (bench->now - job->last_event_at > GAP)
		job->late = true;
	job->has_begun = true;
	job->last_event_at = bench->now;
	relay_bench_data(bench, job->send, "data: x\n\n");
	if (++job->events < EVENTS)
		return;
	relay_bench_end(bench, job->send, DFF_SEND_DONE, NULL);
	job->send = 0;
	streams_done++;
	streams_late += job->late;
}

static void
end_prefill(job_t *job)
{
	uint64_t send = job->send;

	job->send = 0;
	relay_bench_head(bench, send, 200, false);
	relay_bench_end(bench, send, DFF_SEND_DONE, "h");
	queue_send(0);
}

static void
run_job(job_t *job, bool engine_reads)
{
	if (job->send == 0 || job->unread > 0)
		return;
	if (job->prefill) {
		end_prefill(job);
		return;
	}
	job->progress += (double)TICK * (engine_reads ? READING_SHARE : 1);
	if (job->progress < (double)EVENT_TIME)
		return;
	job->progress -= (double)EVENT_TIME;
	send_event(job);
}

static void
tick(void)
{
	bool reads[ENGINES] = {false};

	for (int e = 0; e < ENGINES; e++) {
		job_t *job = job_being_read(e);

		reads[e] = job != NULL;
		if (job != NULL)
			job->unread -= (double)TICK / (double)DFF_MSEC *
			    (e == PREFILL_ENGINE ? READ_PREFILL : READ_DECODE);
	}
	for (int i = 0; i < job_count; i++)
		run_job(&jobs[i], reads[jobs[i].engine]);
	relay_bench_wait(bench, TICK);
}

/* Simulate @seconds with 20 short streams a second and, each half second,
 * @burst prompts of 1,800 tokens at once. */
static void
simulate(int seconds, int burst)
{
	const int ticks = (int)(DFF_SEC / TICK);

	for (int i = 0; i < seconds * ticks; i++) {
		if (i % (ticks / 20) == 0)
			make_request(150);
		for (int k = 0; i % (ticks / 2) == 0 && k < burst; k++)
			make_request(1800);
		tick();
	}
	for (int i = 0; i < 5 * ticks; i++)
		tick();
}

START_TEST(long_prompts_do_not_pause_streams)
{
	int in_time;

	simulate(20, 9);
	in_time = streams_done - streams_late;
	ck_assert_msg(10 * streams_late <= streams_done,
	    "%d of %d streams had a long gap", streams_late, streams_done);
	ck_assert_msg(10 * in_time >= 8 * (streams_done + refused),
	    "%d of %d in time, %d refused", in_time, streams_done, refused);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_stream_gaps");
	TCase *tcase = tcase_create("relay_stream_gaps");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, long_prompts_do_not_pause_streams);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
