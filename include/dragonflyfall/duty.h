/*
 * Duties that one node of the fleet has at a time: settings, and the calls to
 * the platform's store that decide who has them.
 */
#ifndef DRAGONFLYFALL_DUTY_H
#define DRAGONFLYFALL_DUTY_H

#include "dragonflyfall/base.h"

/* Most duties of a fleet. */
#define DFF_DUTIES_MAX 8

/* Names of the duties that the product knows. */
#define DFF_DUTY_USAGE	 "usage"
#define DFF_DUTY_SCALING "scaling"

/**
 * struct dff_duty_config - duties of the fleet
 * @names: their names
 * @count: number of names; 0 if there are none
 * @lease_time: time within which holders may not alternate
 * @fence_required: the platform rejects calls with an outdated token
 */
typedef struct dff_duty_config {
	char names[DFF_DUTIES_MAX][DFF_NAME_MAX];
	size_t count;
	dff_time_t lease_time;
	bool fence_required;
} dff_duty_config_t;

/** enum dff_duty_kind - kinds of records in the log of duties */
typedef enum dff_duty_kind {
	DFF_DUTY_CLAIM,
	DFF_DUTY_RENEW,
	DFF_DUTY_RELEASE,
} dff_duty_kind_t;

/**
 * struct dff_duty_record - one record
 * @kind: what it does
 * @node: node that wrote it
 * @incarnation: of the node's process
 * @number: number of the record among those of the process
 * @era: era of the store in which it was written, as far as the writer knew
 * @token: token that it renews or releases; 0 for a claim
 * @quiet: of a release, time until no call under the token can still be
 *	carried out
 * @position: position in the log; set when it is read
 */
typedef struct dff_duty_record {
	dff_duty_kind_t kind;
	char node[DFF_NAME_MAX];
	uint64_t incarnation;
	uint64_t number;
	uint64_t era;
	uint64_t token;
	dff_time_t quiet;
	uint64_t position;
} dff_duty_record_t;

/**
 * struct dff_duty_request - a call to the store
 * @append: append @record; else read
 * @position: append only if the log ends here; read from here
 */
typedef struct dff_duty_request {
	bool append;
	uint64_t position;
	dff_duty_record_t record;
} dff_duty_request_t;

/**
 * struct dff_duty_read - answer to a read
 * @answered: the store answered
 * @end: position at which the log ends
 * @records: the records from the position asked on, without those that have
 *	expired, in order; borrowed
 */
typedef struct dff_duty_read {
	bool answered;
	uint64_t end;
	const dff_duty_record_t *records;
	size_t count;
} dff_duty_read_t;

/** enum dff_duty_result - result of an append */
typedef enum dff_duty_result {
	DFF_DUTY_ACCEPTED,
	DFF_DUTY_REJECTED, /* the log ends elsewhere */
	DFF_DUTY_NOT_DONE, /* nothing was appended, and nothing will be */
	DFF_DUTY_UNKNOWN, /* no answer: it may still be appended */
} dff_duty_result_t;

/**
 * struct dff_duty_appended - answer to an append
 * @position: of the record, with DFF_DUTY_ACCEPTED
 */
typedef struct dff_duty_appended {
	dff_duty_result_t result;
	uint64_t position;
} dff_duty_appended_t;

/* Number of bits of an offset in a position; those above are the era. */
#define DFF_POSITION_OFFSET_BITS 40

/** dff_position_era() - era of a position in the store */
static inline uint64_t
dff_position_era(uint64_t position)
{
	return position >> DFF_POSITION_OFFSET_BITS;
}

#endif
