/*
 * Workers answer resumable streams with a length. One worker breaks off one
 * stream in fifty; it goes on at another worker, whose part has another length,
 * under the first one's Content-Length.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig.h"

/* Callers with kept connections, and the requests of each one. */
#define CALLERS	 4
#define REQUESTS 200
/* The worker that breaks streams off: one in so many of those that it begins. */
#define BREAKS_AT   "e-1"
#define BREAK_EVERY 50
/* Tokens of an answer; a first run puts several into one event. */
#define TOKENS	     10
#define FIRST_STRIDE 2
/* Events before the break, and how long it comes after them. */
#define EVENTS_BEFORE 2
#define BREAK_MS      50
#define DEADLINE_MS   3000

static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r-call\",\"host\":\"f.example\","
    "\"pathPrefix\":\"/call/\",\"kind\":\"streaming\",\"timeoutMs\":3000,"
    "\"targetLatencyMs\":500,\"priority\":1,\"service\":\"models\","
    "\"maxAttempts\":2,\"sessionAffinity\":true,\"resumable\":true,"
    "\"targetGapMs\":250}],\"services\":[{\"name\":\"models\","
    "\"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\","
    "\"tlsEnabled\":false,\"engineKind\":{\"capacitySlots\":64,"
    "\"kvCapacity\":514669,\"tokenKvBytes\":327680,"
    "\"linkMbps\":3800000.0,\"migrations\":true,\"kvBackups\":true,"
    "\"stride\":10,\"most\":12,\"handleTtlS\":5.0,\"switchS\":3.0,"
    "\"pinMs\":4000.0,\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static bool trouble;
static int front;
static int left = CALLERS;
static int begun; /* streams at the worker that breaks some off */
static int broken_runs;
static int whole;
static int short_answers; /* complete by their framing, without the last token */
static int stray_bytes; /* connections on which bytes came that are no answer */
static int unanswered; /* not complete by the deadline, or refused */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Whether this stream of the worker is broken off. */
static bool
is_broken_off(const rig_worker_t *worker)
{
	bool breaks;

	if (!trouble || strcmp(worker->id, BREAKS_AT) != 0)
		return false;
	(void)pthread_mutex_lock(&lock);
	breaks = ++begun % BREAK_EVERY == 0;
	broken_runs += breaks;
	(void)pthread_mutex_unlock(&lock);
	return breaks;
}

/* Writes the events of tokens from @first on; an event has the number of its
 * last token. Returns their length; @stops gets where each one ends. */
static size_t
write_events(char *text, int first, int stride, size_t *stops)
{
	size_t len = 0;
	int event = 0;

	for (int at = first; at < TOKENS; at += stride) {
		int last = at + stride < TOKENS ? at + stride - 1 : TOKENS - 1;

		len += (size_t)sprintf(text + len, "id: %d\ndata:", last);
		for (int token = at; token <= last; token++)
			len += (size_t)sprintf(text + len, " token-%d", token);
		len += (size_t)sprintf(text + len, "\n\n");
		stops[event++] = len;
	}
	return len;
}

static bool
run(rig_worker_t *worker, rig_conn_t *conn, const rig_message_t *request)
{
	char id[64];
	char resumed[32];
	char text[4096];
	char events[2048];
	size_t stops[TOKENS];
	bool is_resumed;
	bool breaks;
	size_t len;

	(void)rig_field(request, "X-Attempt-Id", id, sizeof(id));
	(void)rig_field(request, "Last-Event-Id", resumed, sizeof(resumed));
	is_resumed = *resumed != '\0';
	breaks = !is_resumed && is_broken_off(worker);
	len = is_resumed ?
	    write_events(events, atoi(resumed) + 1, 1, stops) :
	    write_events(events, 0, FIRST_STRIDE, stops);
	(void)snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	    "Content-Length: %zu\r\nX-Attempt-Id: %s\r\n"
	    "X-Server-Stamp: %s.%s\r\n\r\n",
	    len, id, worker->id, id);
	if (breaks || is_resumed)
		rig_record("worker %s runs %s after=%s length=%zu%s",
		    worker->id, id, is_resumed ? resumed : "-", len,
		    breaks ? ", breaks off after two events" : "");
	if (!rig_write(conn, text, strlen(text)) ||
	    !rig_write(
		conn, events, breaks ? stops[EVENTS_BEFORE - 1] : len))
		return false;
	if (breaks) {
		struct linger reset = {1, 0};

		rig_sleep_ms(BREAK_MS);
		(void)setsockopt(
		    conn->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	}
	return !breaks;
}

static void
count(int *counter)
{
	(void)pthread_mutex_lock(&lock);
	(*counter)++;
	(void)pthread_mutex_unlock(&lock);
}

/* Judges an answer; returns whether its connection may be used further. */
static bool
judge(rig_conn_t *conn, const rig_message_t *answer, const char *id)
{
	char last[32];
	char own[64];

	(void)snprintf(last, sizeof(last), "token-%d\n\n", TOKENS - 1);
	if (answer->status != 200 || !answer->complete) {
		rig_record("caller: %s is not answered status=%d bytes=%zu",
		    id, answer->status, answer->body_len);
		count(&unanswered);
		return false;
	}
	if (strcmp(rig_field(answer, "X-Attempt-Id", own, sizeof(own)), id) !=
	    0)
		rig_record("caller: %s gets the answer of %s", id, own);
	if (strstr(answer->body, last) != NULL)
		count(&whole);
	else {
		rig_record("caller: %s IS COMPLETE BY ITS FRAMING WITHOUT ITS "
			   "LAST EVENT bytes=%zu end=\"%.*s\"",
		    id, answer->body_len, 12,
		    answer->body + answer->body_len - 12);
		count(&short_answers);
	}
	/* No request waits now. */
	rig_sleep_ms(20);
	if (conn->at < conn->len ||
	    recv(conn->fd, own, 1, MSG_PEEK | MSG_DONTWAIT) == 1) {
		rig_record("caller: BYTES THAT ARE NO ANSWER follow %s: "
			   "\"%.*s\"",
		    id, conn->len - conn->at > 40 ? 40 :
						    (int)(conn->len - conn->at),
		    conn->buf + conn->at);
		count(&stray_bytes);
		return false;
	}
	return true;
}

static void *
run_caller(void *arg)
{
	int caller = (int)(intptr_t)arg;
	rig_message_t *answer = calloc(1, sizeof(*answer));
	rig_conn_t *conn = NULL;

	for (int i = 0; i < REQUESTS; i++) {
		char text[512];
		char id[64];
		int len;

		(void)snprintf(id, sizeof(id), "call-%d-%d", caller, i);
		len = snprintf(text, sizeof(text),
		    "POST /call/%d HTTP/1.1\r\nHost: f.example\r\n"
		    "X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Model: m\r\n"
		    "X-Token-Count: 64,%d\r\n"
		    "X-Prompt-Prefix: 77:32,%x:32\r\nContent-Length: 0\r\n\r\n",
		    i, id, DEADLINE_MS, TOKENS, caller << 16 | i);
		if (conn == NULL)
			conn = rig_connect(front, false);
		if (conn == NULL || !rig_write(conn, text, (size_t)len))
			rig_end(RIG_FAILED);
		if (!rig_read_answer(conn, answer, DEADLINE_MS))
			answer->complete = false;
		if (!judge(conn, answer, id)) {
			rig_close(conn);
			conn = NULL;
		}
	}
	rig_close(conn);
	(void)pthread_mutex_lock(&lock);
	left--;
	(void)pthread_mutex_unlock(&lock);
	return NULL;
}

int
main(int argc, char **argv)
{
	rig_edge_t edge;
	int store;

	trouble = rig_begin(argc, argv);
	store = rig_store_start();
	(void)rig_worker_start("e-1", "models", "decode", 64, run);
	(void)rig_worker_start("e-2", "models", "decode", 64, run);
	(void)rig_worker_start("e-3", "models", "decode", 64, run);
	rig_store_put("keyed.op", "config", config);
	rig_edge_start(&edge, store, NULL);
	if (!rig_edge_wait_ready(&edge, 15000))
		rig_end(RIG_FAILED);
	front = edge.front;
	rig_sleep_ms(2000);
	for (int i = 0; i < CALLERS; i++)
		rig_thread(run_caller, (void *)(intptr_t)i);
	while (left > 0)
		rig_sleep_ms(20);
	rig_record("requests=%d broken_off=%d whole=%d short=%d stray=%d "
		   "unanswered=%d",
	    CALLERS * REQUESTS, broken_runs, whole, short_answers, stray_bytes,
	    unanswered);
	if (whole < CALLERS * REQUESTS / 2 || (trouble && broken_runs == 0))
		rig_end(RIG_FAILED);
	/* Stray bytes alone are excused where a worker broke off. */
	rig_end(short_answers > 0 ? RIG_BROKEN : RIG_HELD);
}
