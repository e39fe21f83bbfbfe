/*
 * What a request must pass before it becomes a call. Private to source/node.
 */
#ifndef DFF_NODE_ARRIVAL_H
#define DFF_NODE_ARRIVAL_H

#include "parts.h"

/**
 * struct refusal - what a request is refused with
 * @status: HTTP status
 * @code: stable code
 * @text: one sentence for people
 * @retry_after: when to come back; 0 where that makes no sense
 */
typedef struct refusal {
	int status;
	const char *code;
	const char *text;
	dff_time_t retry_after;
} refusal_t;

/**
 * arrival_check() - check a request against node, catalogue and owner
 * @index: set to the index of its entry
 *
 * Return: NULL if it may become a call, else a constant refusal; nothing ran.
 */
const refusal_t *arrival_check(
    const dff_node_t *node, const dff_ev_call_open_t *ev, int *index);

#endif
