/*
 * Functions shared by the stand-ins: a server that can close and reopen its
 * port, delayed answers, JSON bodies and a graceful stop.
 */
#ifndef TOOL_STANDIN_H
#define TOOL_STANDIN_H

#include <glib.h>
#include <jansson.h>

#include "dragonflyfall/http.h"
#include "dragonflyfall/program.h"

/**
 * struct standin - HTTP server of a stand-in program
 * @ctx: context
 * @loop: event loop
 * @addr: address on which it listens
 * @drain_time: time limit of a graceful stop
 * @handlers: handlers of the server; the one for closed connections must call
 *	standin_cancel_delayed()
 * @arg: argument of @handlers
 * @httpd: server, or NULL while the port is closed
 * @stopping: a graceful stop is running
 *
 * The other members are private.
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
	GQueue delayed;
	uv_timer_t delayed_timer;
	uv_timer_t stop_timer;
	dff_time_t stop_deadline;
} standin_t;

/** standin_start() - listen, and stop gracefully on SIGTERM */
int standin_start(standin_t *standin);

/** standin_listen() - open the port, at the start or after a crash */
int standin_listen(standin_t *standin);

/** standin_close() - close all connections and the port, as a crash does */
void standin_close(standin_t *standin);

/** standin_drop() - close the port and free the resources of the stand-in */
void standin_drop(standin_t *standin);

/** standin_answer() - answer with a JSON object and drop the object */
void standin_answer(dff_httpd_req_t *req, int status, json_t *body);

/** standin_answer_error() - answer {"error":@error,"retry_after_ms":N}; the
 *	second member is left out if @retry is 0 */
void standin_answer_error(
    dff_httpd_req_t *req, int status, const char *error, dff_time_t retry);

/** standin_answer_delayed() - answer after @delay; @data is copied */
void standin_answer_delayed(standin_t *standin, dff_httpd_req_t *req,
    int status, const char *type, const void *data, size_t len,
    dff_time_t delay);

/** standin_cancel_delayed() - cancel the delayed answers of a request */
void standin_cancel_delayed(standin_t *standin, dff_httpd_req_t *req);

/** standin_parse_body() - JSON object of the body, which the caller drops;
 *	answers a malformed body with 400 and returns NULL */
json_t *standin_parse_body(dff_httpd_req_t *req);

/** standin_request_is() - true if a request has this method and path */
bool standin_request_is(
    const dff_httpd_req_t *req, const char *method, const char *path);

/** standin_get_int() - integer member of an object, or @fallback */
int64_t standin_get_int(
    const json_t *object, const char *key, int64_t fallback);

/** standin_get_string() - string member of an object, or "" */
const char *standin_get_string(const json_t *object, const char *key);

#endif
