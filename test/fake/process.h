/*
 * Runs programs of this build as processes of a test, and sends HTTP requests
 * to them.
 */
#ifndef FAKE_PROCESS_H
#define FAKE_PROCESS_H

#include <sys/types.h>

#include "netloop.h"

/** struct process - one running program */
typedef struct process {
	pid_t pid;
	char log[256]; /* file with its standard error */
} process_t;

/**
 * process_start() - start a program of this build
 * @process: set to the process; ended by process_stop()
 * @fmt: the program's name and its arguments, separated by spaces
 */
void process_start(process_t *process, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** process_stop() - send a signal and wait; returns the exit status, or
 *	128 plus the signal that ended the process */
int process_stop(process_t *process, int signum);

/** process_kill_later() - send SIGKILL after a time, while the loop runs */
void process_kill_later(netloop_t *net, process_t *process, dff_time_t time);

/** process_ended() - whether the process has ended */
bool process_ended(process_t *process);

/** process_log() - standard error so far; the caller frees it with g_free() */
char *process_log(const process_t *process);

/** struct reply - answer to a request */
typedef struct reply {
	dff_httpc_end_t end;
	int status;
	char *body; /* freed by reply_clear() */
	char *retry_after;
} reply_t;

/** reply_clear() - free the texts of an answer */
void reply_clear(reply_t *reply);

/** http_call() - send one request and wait for its whole answer; GET if @body
 *	is NULL. @headers are "name: value\r\n" lines, or NULL. */
void http_call(netloop_t *net, const char *addr, const char *path,
    const char *headers, const char *body, reply_t *reply);

/** http_wait() - send GET requests until the status is @status; fails after
 *	10 s */
void http_wait(netloop_t *net, const char *addr, const char *path, int status);

/** publish() - append a catalogue edit to a platform's log */
void publish_catalogue(netloop_t *net, const char *platform,
    const char *edit_id, uint64_t against, const char *text);

/** read_file() - text of a file of the project; freed with g_free() */
char *read_file(const char *name);

#endif
