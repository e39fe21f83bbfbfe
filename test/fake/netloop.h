/*
 * A loop for tests of the shell: a client, a bound on the test's time, and
 * raw sockets.
 */
#ifndef FAKE_NETLOOP_H
#define FAKE_NETLOOP_H

#include <glib.h>

#include "dragonflyfall/http.h"
#include "net/sink.h"

/** struct netloop - what a test of the shell runs on */
typedef struct netloop {
	uv_loop_t loop;
	dff_ctx_t *ctx;
	dff_httpc_t *httpc;
	uv_timer_t limit;
	uv_timer_t tick;
	GString *events; /* what netloop_sink() took, a line each */
	int count; /* how many */
} netloop_t;

/** netloop_open() - begin; a test of more than 20 s is ended */
void netloop_open(netloop_t *net);

/** netloop_close() - end; whatever the test opened must be dropped before.
 *	Fails if a handle is still open. */
void netloop_close(netloop_t *net);

/** netloop_run() - run the loop for a time */
void netloop_run(netloop_t *net, dff_time_t time);

/** netloop_until() - run the loop until a counter has a value */
void netloop_until(netloop_t *net, const int *counter, int value);

/** netloop_sink() - a sink that writes each event as one line */
dff_sink_t netloop_sink(netloop_t *net);

/** netloop_expect() - run until there are as many events, compare all */
void netloop_expect(netloop_t *net, int count, const char *lines);

/** netloop_connect() - a plain socket to a port here, which sends @text */
int netloop_connect(int port, const void *text, size_t len);

/** netloop_read() - what has come on a socket; NULL if nothing yet, "" at
 *	the end of the connection; good until the next call */
const char *netloop_read(int fd);

/** netloop_read_all() - what comes on a socket until its end; freed with
 *	g_free() */
char *netloop_read_all(netloop_t *net, int fd);

#endif
