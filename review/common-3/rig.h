/*
 * Stand-ins for the scripts of review 3: the platform's store, workers, clients
 * and a proxy, as threads of one process that starts dff-edge as separate
 * processes. All addresses are on loopback, all ports are free ones.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Exit statuses of a case. */
#define RIG_HELD   0
#define RIG_BROKEN 1
#define RIG_FAILED 2

/* Longest run of a case in seconds; after it the case counts as failed. */
#define RIG_TIME_MAX 115

/** rig_begin() - open the record, start the watchdog; returns whether the
 *	disruption is played (TROUBLE is not 0) */
bool rig_begin(int argc, char **argv);

/** rig_end() - end all processes and exit with @status */
void rig_end(int status) __attribute__((noreturn));

/** rig_record() - write a line to the record, with the time in ms */
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** rig_ms() - milliseconds since the start of the case */
double rig_ms(void);

void rig_sleep_ms(double ms);

/** rig_sleep_until() - sleep until a time of rig_ms() */
void rig_sleep_until(double ms);

void rig_thread(void *(*run)(void *arg), void *arg);

/* ---- connections ---- */

/** struct rig_conn - a connection with what was read and not yet used */
typedef struct rig_conn {
	int fd;
	unsigned long serial; /* no two connections of a run share one */
	size_t at;
	size_t len;
	char buf[65536];
} rig_conn_t;

/** struct rig_message - a request or an answer */
typedef struct rig_message {
	char head[65536]; /* lines, without the empty one */
	char method[32];
	char target[1024];
	int status;
	char *body;
	size_t body_len;
	bool complete;
} rig_message_t;

/** rig_field() - copy a field's value; "" if there is none */
const char *rig_field(const rig_message_t *message, const char *name,
    char *value, size_t size);

void rig_message_clear(rig_message_t *message);

/** rig_connect() - connect to 127.0.0.1; NULL on failure. @small: like a
 *	caller on a slow link, with the segments of an Ethernet and a small
 *	receive buffer */
rig_conn_t *rig_connect(int port, bool small);

void rig_close(rig_conn_t *conn);

bool rig_write(rig_conn_t *conn, const void *bytes, size_t len);

/** rig_read_answer() - read an answer to its end; false if none came in time */
bool rig_read_answer(rig_conn_t *conn, rig_message_t *answer, int timeout_ms);

/** rig_answer() - write an answer with a length */
bool rig_answer(rig_conn_t *conn, int status, const char *fields,
    const void *body, size_t len);

/* ---- the store ---- */

/** rig_store_start() - start the store; returns its port */
int rig_store_start(void);

/** rig_store_put() - append a record to a keyed topic, as the operator and the
 *	workers do; acknowledged when it returns */
void rig_store_put(const char *topic, const char *key, const char *value);

/** rig_store_copy() - make a copy of the store, from which it may come back */
void rig_store_copy(void);

/** rig_store_away() - break all connections off and answer nothing from now on,
 *	or serve again */
void rig_store_away(bool away);

/** rig_store_return() - replace what the store has by its copy; Store-Era, which
 *	all answers name, rises by one */
void rig_store_return(void);

/* ---- the proxy ---- */

/** rig_proxy_start() - pass connections on to @port; returns its own port */
int rig_proxy_start(int port);

/** rig_proxy_cut() - hold all bytes back from now on, or pass them on again */
void rig_proxy_cut(bool cut);

/* ---- workers ---- */

typedef struct rig_worker rig_worker_t;

/** rig_run_fn - answer a request that the worker runs; false closes the
 *	connection */
typedef bool (*rig_run_fn)(
    rig_worker_t *worker, rig_conn_t *conn, const rig_message_t *request);

struct rig_worker {
	char id[32];
	char service[32];
	const char *stage; /* NULL for a plain service */
	int slots;
	int port;
	rig_run_fn run;
	uint64_t born;
	unsigned seq;
};

/** rig_worker_start() - start a worker, which registers itself */
rig_worker_t *rig_worker_start(const char *id, const char *service,
    const char *stage, int slots, rig_run_fn run);

/** rig_answer_run() - a success answer to a request that has run */
bool rig_answer_run(rig_worker_t *worker, rig_conn_t *conn,
    const rig_message_t *request, const void *body, size_t len);

/* ---- dff-edge ---- */

/** struct rig_edge - one process on one machine of class edge */
typedef struct rig_edge {
	pid_t pid;
	int front;
	int ready;
	int control;
	char settings[512]; /* path */
} rig_edge_t;

/** struct rig_value - a value for a placeholder of deploy/settings.conf */
typedef struct rig_value {
	const char *name;
	const char *value;
} rig_value_t;

/** rig_edge_start() - fill in the settings and start the process; @values go
 *	before the defaults, a NULL name ends them */
void rig_edge_start(
    rig_edge_t *edge, int store_port, const rig_value_t *values);

/** rig_edge_restart() - start the process again after its end, with the same
 *	settings */
void rig_edge_restart(rig_edge_t *edge);

/** rig_edge_wait_ready() - wait until its readiness check gives 200 */
bool rig_edge_wait_ready(const rig_edge_t *edge, int timeout_ms);

/** rig_edge_wait_exit() - wait for its end; false if it still runs */
bool rig_edge_wait_exit(rig_edge_t *edge, int timeout_ms);

#endif
