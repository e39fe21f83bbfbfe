/*
 * What the stand-ins share: a server that can vanish and come back, answers
 * that are given later, JSON bodies, and a graceful stop.
 */
#ifndef TOOL_STANDIN_H
#define TOOL_STANDIN_H

#include <glib.h>
#include <jansson.h>

#include "dragonflyfall/http.h"
#include "dragonflyfall/program.h"

/**
 * struct standin - one stand-in
 * @ctx: context
 * @loop: loop
 * @addr: where it listens
 * @drain_time: bound on a graceful stop
 * @handlers: as for a server; @gone must call standin_forget()
 * @arg: handed to @handlers
 * @httpd: server, or NULL while it has vanished
 * @stopping: a graceful stop is under way
 *
 * The rest is private.
 */
typedef struct standin {
	dff_ctx_t *ctx;
	uv_loop_t *loop;
	const char *addr;
	dff_time_t drain_time;
	dff_httpd_handlers_t handlers;
	void *arg;
	dff_httpd_t *httpd;
	bool stopping;
	GQueue later;
	uv_timer_t later_timer;
	uv_timer_t stop_timer;
	dff_time_t stop_at;
} standin_t;

/** standin_start() - listen, and stop gracefully at SIGTERM */
int standin_start(standin_t *standin);

/** standin_open() - listen (again) */
int standin_open(standin_t *standin);

/** standin_vanish() - close all connections and the port, as a crash does */
void standin_vanish(standin_t *standin);

/** standin_drop() - free what the stand-in holds */
void standin_drop(standin_t *standin);

/** standin_answer() - answer with a JSON object, which is stolen */
void standin_answer(dff_httpd_req_t *req, int status, json_t *body);

/** standin_answer_error() - answer {"error":WORD,"retry_after_ms":N}; no time
 *	with 0 */
void standin_answer_error(
    dff_httpd_req_t *req, int status, const char *word, dff_time_t retry);

/** standin_answer_later() - answer after a time; @data is copied */
void standin_answer_later(standin_t *standin, dff_httpd_req_t *req, int status,
    const char *type, const void *data, size_t len, dff_time_t delay);

/** standin_forget() - a request is gone */
void standin_forget(standin_t *standin, dff_httpd_req_t *req);

/** standin_body() - JSON object of the body, which the caller drops; NULL
 *	after it was answered with 400 */
json_t *standin_body(dff_httpd_req_t *req);

/** standin_is() - whether a request has this method and path */
bool standin_is(
    const dff_httpd_req_t *req, const char *method, const char *path);

/** standin_number() - a number of an object, or a fallback */
int64_t standin_number(const json_t *object, const char *key, int64_t fallback);

/** standin_text() - a string of an object, or "" */
const char *standin_text(const json_t *object, const char *key);

#endif
