/*
 * The callers' HTTP API: turns requests into events and effects into answers.
 * It owns the body of each call until the call ends.
 */
#ifndef DFF_NET_FRONT_H
#define DFF_NET_FRONT_H

#include <uv.h>

#include "dragonflyfall/http.h"
#include "net/body.h"
#include "net/sink.h"

/**
 * struct dff_front_config - settings
 * @listen: "ip:port"
 * @serve: whether calls are accepted; else only the pages for operators
 * @body_max: largest request body
 * @unread_max: bytes that may be queued for a slow reader
 * @header_time: longest time to receive a complete request
 */
typedef struct dff_front_config {
	const char *listen;
	bool serve;
	size_t body_max;
	size_t unread_max;
	dff_time_t header_time;
} dff_front_config_t;

/**
 * struct dff_front_pages - callbacks that make the pages for operators;
 *	the front frees their results with free()
 * @status: JSON for /status
 * @metrics: text for /metrics
 * @arg: passed to both
 */
typedef struct dff_front_pages {
	char *(*status)(void *arg);
	char *(*metrics)(void *arg);
	void *arg;
} dff_front_pages_t;

/** typedef dff_front_t - the callers' API of one process */
typedef struct dff_front dff_front_t;

/**
 * dff_front_new() - listen
 * @front: set to the front, which the caller drops
 *
 * Return: 0 or a negative error number.
 */
int dff_front_new(dff_ctx_t *ctx, uv_loop_t *loop,
    const dff_front_config_t *config, const dff_front_pages_t *pages,
    const dff_sink_t *sink, dff_front_t **front);

/** dff_front_stop_accepting() - accept no new connections */
void dff_front_stop_accepting(dff_front_t *front);

/** dff_front_drop() - close all connections and free the front; NULL is
 *	allowed */
void dff_front_drop(dff_front_t *front);

/** dff_front_count_open() - number of requests whose answer has not ended */
size_t dff_front_count_open(const dff_front_t *front);

/** dff_front_body() - body of a call, valid until the call ends; NULL if
 *	unknown */
const dff_body_t *dff_front_body(const dff_front_t *front, uint64_t call);

/** dff_front_begin() - begin a streamed answer. This and the next four
 *	functions carry out an effect on a call and ignore an unknown call. */
void dff_front_begin(dff_front_t *front, const dff_fx_call_begin_t *begin);

/** dff_front_tokens() - add tokens to a model's answer */
void dff_front_tokens(dff_front_t *front, const dff_fx_call_tokens_t *tokens);

/** dff_front_end() - end a model's answer */
void dff_front_end(dff_front_t *front, const dff_fx_call_end_t *end);

/** dff_front_reply() - answer a service call */
void dff_front_reply(dff_front_t *front, const dff_fx_call_reply_t *reply);

/** dff_front_refuse() - end a call with an error */
void dff_front_refuse(dff_front_t *front, const dff_fx_call_refuse_t *refuse);

/** dff_front_abort_calls() - end all calls of a stopping node with an error
 *	that reports their outcome as unknown */
void dff_front_abort_calls(dff_front_t *front);

/** dff_front_set_health() - set the answer of the health check */
void dff_front_set_health(dff_front_t *front, const dff_fx_health_t *health);

#endif
