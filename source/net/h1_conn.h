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
	GList link; /* in the client's list of idle connections, or unlinked */
	char *key; /* address and peer */
	h1_reader_t reader;
	dff_h1c_req_t *req;
	probe_t *probe; /* probe that opened the connection, or NULL */
	uv_connect_t connect;
	uint64_t idle_since;
	uint64_t keep_alive_ms;
	int writes; /* in progress */
	int stale_answers;
	bool answered; /* it has carried a request and its answer before */
	size_t body_bytes; /* of the current answer */
	bool idle;
	bool stale; /* the current answer belongs to an earlier request */
	bool close_after; /* the connection ends with this answer */
	bool complete;
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
	int connections; /* open now */
	int connections_max; /* 0: no limit */
	int end_pending; /* ended requests with handlers not called yet */
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
	bool head_only; /* a HEAD request: its answer has no body */
	bool end_pending;
	bool cancelled;
};

/* A connection that is opened to test whether its server accepts it. */
struct probe {
	dff_h1c_t *h1c;
	conn_t *conn;
	GList link;
	uv_timer_t timer;
	char *addr;
	struct sockaddr_storage sa; /* @addr */
	char *peer;
	uint64_t until; /* end of its connect time, on the loop's clock */
	int tries_left;
	uint64_t token;
	dff_h1c_probe_done_fn done;
	void *arg;
};

typedef struct write_req {
	uv_write_t super; /* first, so that a uv_write_t can be cast */
	conn_t *conn;
	GByteArray *bytes;
} write_req_t;

/** h1_free_when_done() - free a dropped client once all its handles are
 *	closed */
void h1_free_when_done(dff_h1c_t *h1c);

/** h1_conn_open() - start to connect to the address of a call; NULL if that
 *	fails */
conn_t *h1_conn_open(
    dff_h1c_t *h1c, const dff_h1c_call_t *call, const struct sockaddr *sa);

/** h1_conn_start_reading() - start to read from an established connection;
 *	negative if that fails */
int h1_conn_start_reading(conn_t *conn);

/** h1_conn_set_idle() - keep an idle connection for the next request */
void h1_conn_set_idle(conn_t *conn);

/** h1_probe_connected() - the connection of a probe was established or
 *	failed */
void h1_probe_connected(conn_t *conn, int status);

/** h1_probe_read() - the connection of a probe was closed or sent bytes
 *	without a request */
void h1_probe_read(conn_t *conn);

/** h1_probe_drop() - end a probe without calling its callback */
void h1_probe_drop(probe_t *probe);

/** h1_conn_connected() - a uv_connect_cb: send the pending request */
void h1_conn_connected(uv_connect_t *connect, int status);

/** h1_conn_send() - send the connection's request */
void h1_conn_send(conn_t *conn);

/** h1_conn_close() - close a connection without ending its request */
void h1_conn_close(conn_t *conn);

/** h1_conn_fail() - close a connection and end its request as broken */
void h1_conn_fail(conn_t *conn);

/** h1_req_on_timeout() - a uv_timer_cb: connecting or the answer took too
 *	long */
void h1_req_on_timeout(uv_timer_t *timer);

/** h1_req_end() - end a request; its handler is called from the loop */
void h1_req_end(dff_h1c_req_t *req, dff_h1c_end_t end);

/** h1_req_drop() - remove a request and free it */
void h1_req_drop(dff_h1c_req_t *req);

#endif
