/*
 * Usage reports: the requests of each organisation that began in a window.
 */
#ifndef DRAGONFLYFALL_USAGE_H
#define DRAGONFLYFALL_USAGE_H

#include "dragonflyfall/base.h"
#include "dragonflyfall/duty.h"

/**
 * struct dff_usage_config - windows of usage reports
 * @window: length of a window; window k begins k windows after the beginning of
 *	1970 in true time; 0 if nothing is reported
 * @late: time after a window's end by which its report is due
 */
typedef struct dff_usage_config {
	dff_time_t window;
	dff_time_t late;
} dff_usage_config_t;

/** struct dff_usage_row - a row of a report */
typedef struct dff_usage_row {
	char organisation[DFF_NAME_MAX];
	uint32_t count;
} dff_usage_row_t;

/**
 * struct dff_usage_report - a report, as it is stored and sent
 * @window: number of the window
 * @era: era of the store in which it was stored
 * @rows: by name; borrowed
 * @count: rows
 */
typedef struct dff_usage_report {
	uint64_t window;
	uint64_t era;
	const dff_usage_row_t *rows;
	size_t count;
} dff_usage_report_t;

/**
 * struct dff_usage_count - what one process of a node has counted
 * @node: hash of the node's name and its incarnation
 * @organisation: hash of its name
 * @count: requests that began in the window
 */
typedef struct dff_usage_count {
	uint64_t node;
	uint32_t organisation;
	uint32_t count;
} dff_usage_count_t;

/** enum dff_usage_call_type - calls for usage reports */
typedef enum dff_usage_call_type {
	DFF_USAGE_ASK, /* ask a peer for counts of a window */
	DFF_USAGE_LIST, /* list the reports in the store */
	DFF_USAGE_KEEP, /* store a report, if the topic ends at a position */
	DFF_USAGE_SEND, /* send a stored report to the platform */
} dff_usage_call_type_t;

/**
 * struct dff_usage_call - one call; its result follows as an event
 * @type: which
 * @addr: of DFF_USAGE_ASK, where the peer serves its counts
 * @position: of DFF_USAGE_KEEP
 * @token: of DFF_USAGE_SEND, the fencing token
 * @report: the report, borrowed until the next step; of DFF_USAGE_ASK only its
 *	window is set
 */
typedef struct dff_usage_call {
	dff_usage_call_type_t type;
	char addr[DFF_ADDR_MAX];
	uint64_t position;
	uint64_t token;
	dff_usage_report_t report;
} dff_usage_call_t;

/** enum dff_usage_sent - the platform's answer to a report */
typedef enum dff_usage_sent {
	DFF_USAGE_ACCEPTED,
	DFF_USAGE_OUTDATED, /* it has seen a higher token */
	DFF_USAGE_REFUSED, /* it did not take the call */
	DFF_USAGE_UNANSWERED, /* it may still carry it out */
} dff_usage_sent_t;

/**
 * struct dff_usage_result - the result of a call; pointers are borrowed
 * @type: of the call
 * @answered: of DFF_USAGE_ASK and DFF_USAGE_LIST, there is an answer
 * @addr: of the call
 * @window: of the call
 * @counts: answer to DFF_USAGE_ASK
 * @reports: answer to DFF_USAGE_LIST
 * @count: number of these
 * @end: of DFF_USAGE_LIST, position at which the topic ends
 * @kept: of DFF_USAGE_KEEP
 * @sent: of DFF_USAGE_SEND
 */
typedef struct dff_usage_result {
	dff_usage_call_type_t type;
	bool answered;
	const char *addr;
	uint64_t window;
	const dff_usage_count_t *counts;
	const dff_usage_report_t *reports;
	size_t count;
	uint64_t end;
	dff_duty_appended_t kept;
	dff_usage_sent_t sent;
} dff_usage_result_t;

#endif
