/*
 * Connections and requests of the HTTP/1.1 server, shared by its files.
 */
#ifndef DFF_NET_H1_SERVER_H
#define DFF_NET_H1_SERVER_H

#include "net/h1_guard.h"

typedef struct conn {
	uv_tcp_t tcp; /* first, so that a handle is a connection */
	dff_h1d_t *h1d;
	GList link;
	GList ready_link;
	h1_reader_t reader;
	GByteArray *body;
	GByteArray *input; /* read, not yet parsed */
	dff_h1d_req_t *req; /* request being answered */
	dff_holder_t holder; /* its part of the account */
	uint64_t head_since; /* first byte of the request; 0 before it */
	uint64_t idle_since;
	size_t unsent; /* bytes written that are not yet sent */
	int error_status; /* error status for a request over a limit, or 0 */
	bool head_done;
	bool head_late; /* its head was late at the last sweep */
	bool complete; /* the parser has read a complete request */
	bool parsing;
	bool ready; /* in the server's queue @ready */
	bool close_after; /* close after this answer */
	bool ends_answer; /* its end is that of the answer in progress */
	bool closing;
} conn_t;

struct dff_h1d {
	dff_ctx_t *ctx;
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_timer_t sweep;
	uv_idle_t parse; /* active while @ready is not empty */
	uv_timer_t shed; /* due when slow readers have to be closed */
	dff_h1d_limits_t limits;
	h1_guard_t guard;
	dff_h1d_handlers_t handlers;
	void *arg;
	GQueue conns;
	GQueue ready; /* connections with input after a finished request */
	int handles;
	bool draining;
	bool dropped;
};

struct dff_h1d_req {
	conn_t *conn;
	uint64_t data;
	bool chunked;
	bool no_body; /* the answer has no body */
	bool has_length; /* the head states the length of the body */
	bool mismatched; /* the body would be longer */
	uint64_t left; /* bytes of the stated length not yet written */
};

/* ---- h1_server.c ---- */

/** h1d_close_conn() - close a connection; a request that is being answered is
 *	reported as disconnected */
void h1d_close_conn(conn_t *conn);

/* ---- h1_server_request.c ---- */

/** h1d_take_bytes() - bytes were read */
void h1d_take_bytes(conn_t *conn, const char *bytes, size_t len);

/** h1d_parse() - parse what was read, up to a request that is not answered at
 *	once */
void h1d_parse(conn_t *conn);

/** h1d_parse_later() - parse it in the loop's next iteration: whoever ends an
 *	answer must not be called back meanwhile */
void h1d_parse_later(conn_t *conn);

/** h1d_set_not_ready() - undo h1d_parse_later() */
void h1d_set_not_ready(conn_t *conn);

/** h1d_refuse() - answer a request that was not passed on; its connection ends
 *	with it */
void h1d_refuse(conn_t *conn, int status);

/* ---- h1_server_answer.c ---- */

/** h1d_send_bytes() - send or queue bytes, taken */
void h1d_send_bytes(conn_t *conn, GString *bytes);

/* ---- h1_server_account.c ---- */

/** h1d_enter_account() - make room for a new connection, or close it again */
void h1d_enter_account(conn_t *conn);

/** h1d_charge() - account for the bytes of a request; refuse others, or this
 *	one, if there are too many */
void h1d_charge(conn_t *conn);

/** h1d_note_unsent() - account for what the caller has not read; the relay may
 *	be in a step, so that connections are closed later */
void h1d_note_unsent(conn_t *conn);

/** h1d_reads_too_slowly() - whether more is unsent than the limit */
bool h1d_reads_too_slowly(const conn_t *conn);

/** h1d_head_is_late() - whether a head was late at two sweeps: a process that
 *	was paused reads its sockets between two sweeps */
bool h1d_head_is_late(conn_t *conn, uint64_t now);

/** h1d_evict() - close a connection whose request was not passed on */
void h1d_evict(conn_t *conn, dff_account_count_t why);

#endif
