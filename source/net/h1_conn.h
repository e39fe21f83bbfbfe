/*
 * Connections of the HTTP/1.1 client, below its requests.
 */
#ifndef DFF_NET_H1_CONN_H
#define DFF_NET_H1_CONN_H

#include "net/h1_head.h"

typedef struct probe probe_t;

typedef struct conn {
	uv_tcp_t tcp; /* first, so that a handle is a connection */
	dff_h1c_t *h1c;
	GList link; /* in idle, or unlinked */
	char *key; /* address and peer */
	h1_reader_t reader;
	dff_h1c_req_t *req;
	probe_t *probe; /* which it was made for, until it is kept */
	uv_connect_t connect;
	uint64_t idle_since;
	uint64_t keep_ms;
	int writes; /* under way */
	int strays;
	size_t body_bytes; /* of the answer under way */
	bool idle;
	bool stray; /* the answer under way belongs to an earlier request */
	bool last; /* the server closes after this answer */
	bool whole;
	bool closing;
} conn_t;

struct dff_h1c {
	dff_ctx_t *ctx;
	uv_loop_t *loop;
	GQueue idle;
	GQueue reqs;
	GQueue probes; /* probe_t */
	uv_timer_t sweep;
	uint64_t opened;
	int ending; /* requests that ended, their handlers not called yet */
	int handles; /* handles and requests not yet freed */
	bool dropped;
};

struct dff_h1c_req {
	dff_h1c_t *h1c;
	conn_t *conn;
	GList link;
	uv_timer_t timer;
	uint64_t connect_ms;
	dff_h1c_handlers_t handlers;
	void *arg;
	GByteArray *bytes;
	char *echo_name;
	char *echo_value;
	size_t body_max;
	uint64_t answer_ms;
	dff_h1c_end_t end;
	bool sent;
	bool head_only; /* a HEAD request: its answer bears no body */
	bool ending;
	bool cancelled;
};

/* A connection that is made to see whether its server takes it. */
struct probe {
	dff_h1c_t *h1c;
	conn_t *conn;
	GList link;
	uv_timer_t timer;
	char *peer;
	dff_h1c_probed_t done;
	void *arg;
};

typedef struct write_req {
	uv_write_t super; /* first, so that a uv request is ours */
	conn_t *conn;
	GByteArray *bytes;
} write_req_t;

/** h1_free_when_done() - free a dropped client once nothing is left of it */
void h1_free_when_done(dff_h1c_t *h1c);

/** h1_conn_open() - begin to connect as a call says; NULL if that fails */
conn_t *h1_conn_open(
    dff_h1c_t *h1c, const dff_h1c_call_t *call, const struct sockaddr *sa);

/** h1_conn_listen() - a connection stands: read what comes; negative if that
 *	fails */
int h1_conn_listen(conn_t *conn);

/** h1_conn_keep() - it is free for the next request */
void h1_conn_keep(conn_t *conn);

/** h1_probe_connected() - the connection of a probe was made, or not */
void h1_probe_connected(conn_t *conn, int status);

/** h1_probe_read() - its connection was closed, or spoke unasked */
void h1_probe_read(conn_t *conn);

/** h1_probe_drop() - end a probe without a call back */
void h1_probe_drop(probe_t *probe);

/** h1_conn_connected() - a uv_connect_cb: send the request that waits */
void h1_conn_connected(uv_connect_t *connect, int status);

/** h1_conn_send() - send the connection's request */
void h1_conn_send(conn_t *conn);

/** h1_conn_close() - close, without a word to its request */
void h1_conn_close(conn_t *conn);

/** h1_conn_fail() - close; its request ends */
void h1_conn_fail(conn_t *conn);

/** h1_req_late() - a uv_timer_cb: the request's time is over */
void h1_req_late(uv_timer_t *timer);

/** h1_req_end() - tell the end of a request from the loop */
void h1_req_end(dff_h1c_req_t *req, dff_h1c_end_t end);

/** h1_req_drop() - forget a request */
void h1_req_drop(dff_h1c_req_t *req);

#endif
