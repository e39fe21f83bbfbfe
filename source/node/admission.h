/*
 * Checks that a request must pass before it becomes a call. Private to
 * source/node.
 */
#ifndef DFF_NODE_ADMISSION_H
#define DFF_NODE_ADMISSION_H

#include "internal.h"

/**
 * struct refusal - error that a request is refused with
 * @status: HTTP status
 * @code: stable code
 * @text: one sentence for people
 * @retry_after: time to wait before a retry; 0 if a retry is of no use
 */
typedef struct refusal {
	int status;
	const char *code;
	const char *text;
	dff_time_t retry_after;
} refusal_t;

/**
 * admission_check() - check a request against node, catalogue and owner
 * @index: set to the index of its catalogue entry
 *
 * Return: NULL if the request may become a call, else a constant refusal.
 * A refused request has not run.
 */
const refusal_t *admission_check(
    const dff_node_t *node, const dff_ev_call_open_t *ev, int *index);

#endif
