/*
 * Callers send requests whose heads are as large as the configuration allows,
 * of many short fields and a long Connection field. For each field the process
 * splits the Connection field and looks at all other fields, and stands still.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "readers.h"

/* The configuration's maxHeaderBytes, which each head stays within. */
#define HEAD_MAX 16384
/* Callers with such requests, each with one at a time, and short fields of a
 * request; the rest of its head is the Connection field. */
#define CROWD	     6
#define SHORT_FIELDS 1000
#define FIELD	     "a:\r\n"
#define OPTION	     "b,"
/* Time that they wait for an answer, and the pause before the next one. */
#define CROWD_WAIT_MS  3000
#define CROWD_PAUSE_MS 50
#define PLAY_MS	       25000

static const char config[] =
    "{\"version\":7,\"routes\":[" READERS_ROUTE "],"
    "\"services\":[" READERS_SERVICE "],\"limits\":" READERS_LIMITS "}";

static bool trouble;
static int front;
static bool stop_crowd;
static int crowd_sent;

/* Without the trouble a head of the same size is one long field. */
static size_t
write_head(char *head, int caller, int number)
{
	size_t len = (size_t)sprintf(head,
	    "GET /read/crowd HTTP/1.1\r\nHost: f.example\r\n"
	    "X-Attempt-Id: crowd-%d-%d\r\nX-Deadline-Ms: %d\r\n",
	    caller, number, CROWD_WAIT_MS);
	size_t end = HEAD_MAX - 4;

	if (trouble) {
		for (int i = 0; i < SHORT_FIELDS; i++)
			len += (size_t)sprintf(head + len, FIELD);
		len += (size_t)sprintf(head + len, "Connection: ");
		while (len + sizeof(OPTION) < end)
			len += (size_t)sprintf(head + len, OPTION);
		len += (size_t)sprintf(head + len, "b");
	} else {
		len += (size_t)sprintf(head + len, "X-Long: ");
		while (len < end)
			head[len++] = 'a';
	}
	return len + (size_t)sprintf(head + len, "\r\n\r\n");
}

static void *
run_crowd(void *arg)
{
	int caller = (int)(intptr_t)arg;
	rig_message_t *answer = calloc(1, sizeof(*answer));
	char *head = malloc(2 * HEAD_MAX);

	for (int i = 0; !stop_crowd; i++) {
		rig_conn_t *conn = rig_connect(front, false);
		size_t len = write_head(head, caller, i);
		double at = rig_ms();
		bool answered = conn != NULL && rig_write(conn, head, len) &&
		    rig_read_answer(conn, answer, CROWD_WAIT_MS);

		crowd_sent++;
		if (i < 3)
			rig_record("crowd-%d-%d head_bytes=%zu answered=%d "
				   "status=%d after_ms=%.0f",
			    caller, i, len, answered, answer->status,
			    rig_ms() - at);
		rig_close(conn);
		rig_sleep_ms(CROWD_PAUSE_MS);
	}
	return NULL;
}

int
main(int argc, char **argv)
{
	rig_edge_t edge;
	double until;
	int store;

	trouble = rig_begin(argc, argv);
	store = rig_store_start();
	readers_workers();
	rig_store_put("keyed.op", "config", config);
	rig_edge_start(&edge, store, NULL);
	if (!rig_edge_wait_ready(&edge, 15000))
		rig_end(RIG_FAILED);
	front = edge.front;
	readers_start(front);
	rig_sleep_ms(1500);
	rig_record("the crowd begins overdue=%d", readers_overdue());
	for (int i = 0; i < CROWD; i++)
		rig_thread(run_crowd, (void *)(intptr_t)i);
	until = rig_ms() + PLAY_MS;
	while (rig_ms() < until && readers_overdue() < READERS_ENOUGH)
		rig_sleep_ms(20);
	(void)rig_edge_wait_ready(&edge, 2000);
	stop_crowd = true;
	rig_record("requests of the crowd=%d", crowd_sent);
	readers_end();
}
