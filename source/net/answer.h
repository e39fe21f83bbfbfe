/*
 * How answers to callers look: JSON objects and server-sent events.
 */
#ifndef DFF_NET_ANSWER_H
#define DFF_NET_ANSWER_H

#include <glib.h>

#include "dragonflyfall/event.h"
#include "dragonflyfall/http.h"

/** dff_answer_error() - answer with an error; @retry_after 0 for none */
void dff_answer_error(dff_httpd_req_t *req, int status, const char *code,
    dff_execution_t ran, dff_time_t retry_after, const char *text);

/** dff_answer_whole() - answer with a whole model's answer */
void dff_answer_whole(dff_httpd_req_t *req, const char *entry,
    const GString *text, const dff_fx_call_end_t *end);

/** dff_answer_tokens() - write one group of tokens of a stream */
void dff_answer_tokens(
    dff_httpd_req_t *req, const dff_fx_call_tokens_t *tokens);

/** dff_answer_stream_end() - end a stream whose answer is whole */
void dff_answer_stream_end(dff_httpd_req_t *req, const dff_fx_call_end_t *end);

/** dff_answer_stream_error() - end a stream whose answer broke off */
void dff_answer_stream_error(
    dff_httpd_req_t *req, const dff_fx_call_refuse_t *refuse);

#endif
