/*
 * An event loop for tests of source/net: an HTTP client, a time limit of the
 * test, and raw sockets.
 */
#ifndef FAKE_NETLOOP_H
#define FAKE_NETLOOP_H

#include <glib.h>

#include "dragonflyfall/http.h"
#include "net/sink.h"

/** struct netloop - event loop, client and recorded events of a test */
typedef struct netloop {
	uv_loop_t loop;
	dff_ctx_t *ctx;
	dff_httpc_t *httpc;
	uv_timer_t limit;
	uv_timer_t tick;
	GString *events; /* events that netloop_sink() received, one per line */
	int count; /* number of events */
} netloop_t;

/** netloop_open() - set up; the test fails after 20 s */
void netloop_open(netloop_t *net);

/** netloop_close() - clean up; fails if a handle is still open, so the test
 *	drops what it opened before */
void netloop_close(netloop_t *net);

/** netloop_run() - run the loop for a time */
void netloop_run(netloop_t *net, dff_time_t time);

/** netloop_until() - run the loop until a counter has reached a value */
void netloop_until(netloop_t *net, const int *counter, int value);

/** netloop_sink() - a sink that writes each event as one line */
dff_sink_t netloop_sink(netloop_t *net);

/** netloop_expect() - run until @count events are recorded, compare
 *	all of them and clear them */
void netloop_expect(netloop_t *net, int count, const char *lines);

/** netloop_connect() - connect a plain socket to a local port and send
 *	@text */
int netloop_connect(int port, const void *text, size_t len);

/** netloop_read() - bytes received on a socket; NULL if there are none yet, ""
 *	at the end of the connection; valid until the next call */
const char *netloop_read(int fd);

/** netloop_read_all() - all bytes received on a socket until its end; freed
 *	with g_free() */
char *netloop_read_all(netloop_t *net, int fd);

#endif
