/*
 * State of the holder's reports, shared by their files.
 */
#ifndef DFF_RELAY_USAGE_PARTS_H
#define DFF_RELAY_USAGE_PARTS_H

#include "relay/usage.h"

/* A stored report. */
typedef struct kept {
	uint64_t window;
	uint64_t era;
	GArray *rows; /* dff_usage_row_t */
	bool sent;
	uint32_t tries;
	dff_time_t retry_at;
} kept_t;

/* A node that was asked for its counts. */
typedef struct asked {
	char addr[DFF_ADDR_MAX];
	char domain[DFF_NAME_MAX];
	bool pending;
	bool answered;
} asked_t;

struct usage_reports {
	uint64_t token; /* under which the state below was read */
	bool listed; /* the stored reports are known */
	uint64_t end; /* position at which their topic ends */
	GPtrArray *kept; /* kept_t */
	bool busy; /* a call other than DFF_USAGE_ASK is under way */
	dff_time_t retry_at;
	uint64_t collecting; /* window; 0 for none */
	dff_time_t collect_until; /* the report is stored then at the latest */
	GArray *asked; /* asked_t */
	GArray *rows; /* of the report that is being stored */
	uint64_t sent;
	uint64_t unanswered;
	uint64_t refused;
	uint64_t missed;
	uint64_t incomplete;
	uint64_t next; /* windows before it are settled or were missed */
};

/** usage_add_call() - add the effect of a call */
dff_usage_call_t *usage_add_call(step_t *step, dff_usage_call_type_t type);

/** usage_collect() - ask nodes for the counts of the window that is being
 *	collected; returns whether enough have answered, or all that can be
 *	asked */
bool usage_collect(step_t *step);

/** usage_apply_counts() - the answer of a node */
void usage_apply_counts(step_t *step, const dff_usage_result_t *result);

#endif
