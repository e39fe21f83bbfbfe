/*
 * The rate limit of one upstream: what is known of it, and the permits to send
 * requests under it.
 *
 * One node, the upstream's coordinator, issues permits at the rate of the
 * limit. The other nodes hold permits that it granted, each for one request
 * and for a short time.
 */
#ifndef DFF_RELAY_RATE_LIMIT_H
#define DFF_RELAY_RATE_LIMIT_H

#include "dragonflyfall/base.h"

/* Granted permits that a node holds for one upstream; more are dropped. */
#define PERMITS_MAX 16

/**
 * struct rate_statement - an upstream's statement of its rate limit
 * @at: when its answer arrived; 0 for none
 * @rate: requests a second from all nodes together; 0 for no limit
 */
typedef struct rate_statement {
	dff_time_t at;
	double rate;
} rate_statement_t;

/**
 * struct rate_limit - the rate limit of one upstream
 * @own: its last statement to this node
 * @peers: to nodes that send frames to this one
 * @domains: to other domains, by their summaries
 * @own_changed_at: when the rate of @own last changed
 * @share: part of the rate at which this node issues permits; 0 if it is not
 *	the coordinator
 * @bucket: permits that may be issued at @bucket_at
 * @permits: times until which the granted permits are valid
 * @permit_count: number of these
 * @denied_until: no permit is available before this moment
 * @used: permits that this node used
 */
typedef struct rate_limit {
	rate_statement_t own;
	rate_statement_t peers;
	rate_statement_t domains;
	dff_time_t own_changed_at;
	double share;
	double bucket;
	dff_time_t bucket_at;
	dff_time_t permits[PERMITS_MAX];
	uint32_t permit_count;
	dff_time_t denied_until;
	uint64_t used;
} rate_limit_t;

/** rate_limit_newest() - the newest statement, whoever received it */
const rate_statement_t *rate_limit_newest(const rate_limit_t *limit);

/** rate_limit_is_set() - there is a limit */
bool rate_limit_is_set(const rate_limit_t *limit);

/** rate_limit_begin() - the upstream named its first limit: nothing may be
 *	sent before a permit is issued */
void rate_limit_begin(rate_limit_t *limit, dff_time_t now);

/** rate_limit_coordinate() - set the part of the rate at which this node issues
 *	permits, 0 to stop; it begins with an empty bucket */
void rate_limit_coordinate(rate_limit_t *limit, double share, dff_time_t now);

/** rate_limit_issue() - issue one permit at the coordinator; false if none is
 *	due */
bool rate_limit_issue(rate_limit_t *limit, dff_time_t now);

/** rate_limit_issue_wait() - time until the coordinator may issue a permit */
dff_time_t rate_limit_issue_wait(const rate_limit_t *limit, dff_time_t now);

/** rate_limit_add_permit() - add a permit that the coordinator granted */
void rate_limit_add_permit(rate_limit_t *limit, dff_time_t expires_at);

/** rate_limit_has_permit() - there is no limit, or a request may be sent now
 *	without asking another node */
bool rate_limit_has_permit(const rate_limit_t *limit, dff_time_t now);

/** rate_limit_take_permit() - use up a permit; false if there is none */
bool rate_limit_take_permit(rate_limit_t *limit, dff_time_t now);

/** rate_limit_is_denied() - there is no permit, and none is to be had before
 *	denied_until */
bool rate_limit_is_denied(const rate_limit_t *limit, dff_time_t now);

#endif
