#include "readers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define READERS	 10
#define PAUSE_MS 100

static int front;
static bool stopped;
static int reads;
static int overdue; /* without an answer at the route's timeout */
static int lost; /* nor half a second later */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static bool
run(rig_worker_t *worker, rig_conn_t *conn, const rig_message_t *request)
{
	return rig_answer_run(worker, conn, request, "answer", 6);
}

void
readers_workers(void)
{
	(void)rig_worker_start("l-1", "ledger", NULL, 6, run);
	(void)rig_worker_start("l-2", "ledger", NULL, 6, run);
}

/* One read at a time on a kept connection. */
static void *
run_reader(void *arg)
{
	int reader = (int)(intptr_t)arg;
	rig_message_t *answer = calloc(1, sizeof(*answer));
	rig_conn_t *conn = NULL;

	for (int i = 0; !stopped; i++) {
		char text[256];
		int len = snprintf(text, sizeof(text),
		    "GET /read/%d HTTP/1.1\r\nHost: f.example\r\n"
		    "X-Attempt-Id: read-%d-%d\r\nX-Deadline-Ms: 3000\r\n\r\n",
		    i, reader, i);
		double at;
		double took;
		bool answered;

		if (conn == NULL)
			conn = rig_connect(front, false);
		if (conn == NULL) {
			rig_sleep_ms(PAUSE_MS);
			continue;
		}
		at = rig_ms();
		answered = rig_write(conn, text, (size_t)len) &&
		    rig_read_answer(conn, answer,
			READERS_TIMEOUT_MS + READERS_SLACK_MS) &&
		    answer->complete;
		took = rig_ms() - at;
		(void)pthread_mutex_lock(&lock);
		reads++;
		/* A connection that ends before the timeout is another matter. */
		overdue += took > READERS_TIMEOUT_MS;
		lost += !answered &&
		    took >= READERS_TIMEOUT_MS + READERS_SLACK_MS;
		(void)pthread_mutex_unlock(&lock);
		if (!answered) {
			rig_record("read-%d-%d has NO ANSWER after_ms=%.0f",
			    reader, i, took);
			rig_close(conn);
			conn = NULL;
		}
		rig_sleep_ms(PAUSE_MS);
	}
	rig_close(conn);
	return NULL;
}

void
readers_start(int port)
{
	front = port;
	for (int i = 0; i < READERS; i++)
		rig_thread(run_reader, (void *)(intptr_t)i);
}

void
readers_stop(void)
{
	stopped = true;
}

int
readers_overdue(void)
{
	int count;

	(void)pthread_mutex_lock(&lock);
	count = overdue;
	(void)pthread_mutex_unlock(&lock);
	return count;
}

void
readers_end(void)
{
	readers_stop();
	rig_record("reads=%d unanswered_at_timeout=%d "
		   "nor_half_a_second_later=%d",
	    reads, overdue, lost);
	if (reads < 50)
		rig_end(RIG_FAILED);
	rig_end(overdue >= READERS_LEAST && 2 * lost > overdue ? RIG_BROKEN :
								 RIG_HELD);
}
