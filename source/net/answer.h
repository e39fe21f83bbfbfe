/*
 * Encoding of answers to callers as JSON objects and server-sent events.
 */
#ifndef DFF_NET_ANSWER_H
#define DFF_NET_ANSWER_H

#include <glib.h>

#include "dragonflyfall/event.h"
#include "dragonflyfall/http.h"

/** dff_answer_error() - answer with an error; no retry time if @retry_after
 *	is 0 */
void dff_answer_error(dff_httpd_req_t *req, int status, const char *code,
    dff_execution_t execution, dff_time_t retry_after, const char *text);

/** dff_answer_completion() - answer a model call that is not streamed */
void dff_answer_completion(dff_httpd_req_t *req, const char *entry,
    const GString *text, const dff_fx_call_end_t *end);

/** dff_answer_tokens() - write one group of tokens of a stream */
void dff_answer_tokens(
    dff_httpd_req_t *req, const dff_fx_call_tokens_t *tokens);

/** dff_answer_stream_end() - end the stream of a complete answer */
void dff_answer_stream_end(dff_httpd_req_t *req, const dff_fx_call_end_t *end);

/** dff_answer_stream_error() - end a stream whose answer was aborted
 *	with an error event */
void dff_answer_stream_error(
    dff_httpd_req_t *req, const dff_fx_call_refuse_t *refuse);

#endif
