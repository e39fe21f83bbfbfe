/*
 * Rig of the cases in review/6 to review/10: a store and workers on loopback
 * (the stand-ins of platform/test/), processes of dff-edge, and callers, each
 * in a thread with a blocking socket. A case steps the loop of the stand-ins
 * with rig_run(); callers go on meanwhile.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <sys/types.h>

#include "platform/test/standin.h"
#include "platform/test/worker.h"

/* Exit statuses of a case. */
#define RIG_HELD   0
#define RIG_BROKEN 1
#define RIG_FAILED 2

#define RIG_EDGES_MAX 4

typedef struct rig {
	uv_loop_t loop;
	dff_ctx_t *ctx;
	standin_t *store;
	bool trouble; /* false with TROUBLE=0 */
	int net; /* second byte of all addresses */
	char *folder;
	pid_t edges[RIG_EDGES_MAX]; /* 0: not running */
	dff_time_t started_at;
} rig_t;

typedef struct caller {
	/* Set before the start. */
	char addr[DFF_ADDR_MAX];
	char *request;
	int segment; /* TCP_MAXSEG, as on a network; 0: as it is */
	int window; /* SO_RCVBUF; 0: as it is */
	long rate; /* bytes read per second; 0: as fast as they come */
	/* Valid when done. */
	pthread_t thread;
	volatile bool done;
	bool connected;
	int status; /* 0: no answer */
	char stamp[64];
	long length; /* stated; -1: none */
	long got; /* bytes of the body */
	bool whole; /* the answer has come to its stated end */
	dff_time_t sent_at;
	dff_time_t ended_at;
	char end[32]; /* how the connection ended */
	char body[4096]; /* the body's beginning */
} caller_t;

/* Makes the loop, the store and a temporary folder; exits with RIG_FAILED where
 * that fails. */
rig_t *rig_new(const char *record_path);
/* Kills the processes that still run and removes the folder. */
void rig_end(rig_t *rig);

/* Milliseconds since the start. */
long rig_ms(const rig_t *rig);
/* Writes a line to the record and to standard output. */
void rig_note(rig_t *rig, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* "127.NET.3.N:9000", for worker N; the caller frees it. */
char *rig_worker_addr(const rig_t *rig, int number);

void rig_run(rig_t *rig, dff_time_t time);

/* Starts process N; @lines are settings in place of the defaults, by key. */
void rig_start_edge(rig_t *rig, int index, const char *lines);
/* Runs until the process answers its readiness check with 200. */
void rig_wait_ready(rig_t *rig, int index);
void rig_signal(rig_t *rig, int index, int signal);
/* Runs until the process has ended; kills it at the deadline. Returns its wait
 * status. */
int rig_wait_exit(rig_t *rig, int index, dff_time_t longest);
char *rig_front(const rig_t *rig, int index, char *addr);

void rig_start_caller(rig_t *rig, caller_t *caller);
void rig_wait_caller(rig_t *rig, caller_t *caller, dff_time_t longest);

/* Ends the case with RIG_FAILED. */
void rig_fail(rig_t *rig, const char *why) __attribute__((noreturn));

#endif
