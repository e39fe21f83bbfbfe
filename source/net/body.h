/*
 * The request of a caller, owned by the front until the call ends and borrowed
 * by the adapters that forward it.
 */
#ifndef DFF_NET_BODY_H
#define DFF_NET_BODY_H

#include "dragonflyfall/event.h"

/**
 * struct dff_body - a caller's request
 * @kind: model or service call
 * @prompt: of a model call
 * @method: of a service call
 * @content_type: of a service call, or ""
 * @data: body of a service call
 * @len: bytes at @data
 */
typedef struct dff_body {
	dff_call_kind_t kind;
	const char *prompt;
	const char *method;
	const char *content_type;
	const char *data;
	size_t len;
} dff_body_t;

#endif
