/*
 * Programs of this build as processes of a test, and calls to them.
 */
#ifndef FAKE_PROCESS_H
#define FAKE_PROCESS_H

#include <sys/types.h>

#include "netloop.h"

/** struct process - one program that runs */
typedef struct process {
	pid_t pid;
	char log[256]; /* file with what it says on standard error */
} process_t;

/**
 * process_start() - start a program of this build
 * @process: set to it; ended by process_stop()
 * @fmt: the program's name and its arguments, parted by blanks
 */
void process_start(process_t *process, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** process_stop() - send a signal and wait; returns the exit status, or
 *	128 and the signal that ended it */
int process_stop(process_t *process, int signum);

/** process_kill_later() - SIGKILL it after a time, while the loop runs */
void process_kill_later(netloop_t *net, process_t *process, dff_time_t time);

/** process_ended() - whether it has ended by itself */
bool process_ended(process_t *process);

/** process_log() - what it said so far; the caller frees it with g_free() */
char *process_log(const process_t *process);

/** struct reply - answer to a call */
typedef struct reply {
	dff_httpc_end_t end;
	int status;
	char *body; /* freed by reply_clear() */
	char *retry_after;
} reply_t;

/** reply_clear() - free what an answer holds */
void reply_clear(reply_t *reply);

/** http_call() - one request, waiting for its whole answer; GET if @body is
 *	NULL. @headers are "name: value\r\n" lines, or NULL. */
void http_call(netloop_t *net, const char *addr, const char *path,
    const char *headers, const char *body, reply_t *reply);

/** http_wait() - call until the status is as wanted; fails after 10 s */
void http_wait(netloop_t *net, const char *addr, const char *path, int status);

/** publish() - append a catalogue edit to the log of a platform */
void publish(netloop_t *net, const char *platform, const char *edit_id,
    uint64_t against, const char *text);

/** read_file() - the text of a file of the project, freed with g_free() */
char *read_file(const char *name);

#endif
