/*
 * The callers' API: requests become events, effects become answers. It
 * keeps the body of each call until the call ends.
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
 * @serve: calls are taken; else only the pages for operators
 * @body_max: largest request body
 * @unread_max: bytes that may wait for a slow reader
 * @header_time: longest time for a request to arrive whole
 */
typedef struct dff_front_config {
	const char *listen;
	bool serve;
	size_t body_max;
	size_t unread_max;
	dff_time_t header_time;
} dff_front_config_t;

/**
 * struct dff_front_pages - texts for operators; the front frees what they
 *	return with free()
 * @status: JSON for /status
 * @metrics: text for /metrics
 * @arg: handed to both
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

/** dff_front_shut() - take no new connections */
void dff_front_shut(dff_front_t *front);

/** dff_front_drop() - close all; NULL is allowed */
void dff_front_drop(dff_front_t *front);

/** dff_front_open() - requests that are not answered whole */
size_t dff_front_open(const dff_front_t *front);

/** dff_front_body() - body of a call, good until it ends; NULL if unknown */
const dff_body_t *dff_front_body(const dff_front_t *front, uint64_t call);

/** dff_front_begin() - carry out an effect on a call; so do the next four.
 *	A call that is unknown by now is passed over. */
void dff_front_begin(dff_front_t *front, const dff_fx_call_begin_t *begin);

/** dff_front_tokens() - more of a model's answer */
void dff_front_tokens(dff_front_t *front, const dff_fx_call_tokens_t *tokens);

/** dff_front_end() - a model's answer is whole */
void dff_front_end(dff_front_t *front, const dff_fx_call_end_t *end);

/** dff_front_reply() - a service's reply */
void dff_front_reply(dff_front_t *front, const dff_fx_call_reply_t *reply);

/** dff_front_refuse() - an error */
void dff_front_refuse(dff_front_t *front, const dff_fx_call_refuse_t *refuse);

/** dff_front_break_calls() - end all calls with an error that says that
 *	their outcome is unknown; the node has stopped */
void dff_front_break_calls(dff_front_t *front);

/** dff_front_set_health() - what the health check answers from now on */
void dff_front_set_health(dff_front_t *front, const dff_fx_health_t *health);

#endif
