/*
 * Shares of scarce room between organisations.
 *
 * The load that it answers: callers of many organisations ask for more engine
 * time than a pool has, and a few large organisations ask for most of it. Each
 * organisation has a max-min share of what the pool takes in the whole fleet.
 * Requests within the share may wait as long as any; those beyond it only
 * where the wait is short, so that what others leave unused is lent at once.
 * While the pool refuses nothing, no request is treated differently.
 */
#ifndef DFF_RELAY_SHARES_H
#define DFF_RELAY_SHARES_H

#include <stdbool.h>

#include "dragonflyfall/base.h"

/* Most organisations in one report. */
#define SHARE_ROWS_MAX 12
/* Most of them in a report of a single node. */
#define SHARE_NODE_ROWS_MAX 8

/** typedef shares_t - use of all pools by organisations */
typedef struct shares shares_t;

/**
 * struct share_request - a request whose turn is decided
 * @pool: its pool
 * @organisation: hash of the organisation's name, from share_key()
 * @rank: priority of the organisation, or SHARE_RANK_DEFAULT without one
 * @priority: its own priority; 0 is the most urgent
 * @content: hash of its content, by which a repeat is recognised
 * @cost: engine time that it needs
 * @wait: longest time that requests of its kind may wait for others
 */
typedef struct share_request {
	const char *pool;
	uint32_t organisation;
	uint32_t rank;
	uint32_t priority;
	uint64_t content;
	dff_time_t cost;
	dff_time_t wait;
} share_request_t;

/* Rank of organisations without a priority of their own: the middle of 0 to
 * 9. */
#define SHARE_RANK_DEFAULT 5

/**
 * struct share_verdict - how long a request may wait for others
 * @beyond: room is short, and the request is beyond its organisation's share
 * @limit: longest time that it may wait for others
 * @use: engine time per second that its organisation asks for
 * @level: engine time per second that is its share; 0 if room is not short
 * @retry: time until the organisation is within its share again if it asks for
 *	nothing more; 0 if it is
 */
typedef struct share_verdict {
	bool beyond;
	dff_time_t limit;
	double use;
	double level;
	dff_time_t retry;
} share_verdict_t;

/** struct share_row - one organisation's use in a report */
typedef struct share_row {
	uint32_t organisation;
	uint32_t rank;
	double offered; /* engine time per second, in milliseconds */
} share_row_t;

/**
 * struct share_report - use of a pool, as one or several nodes saw it
 * @pool: hash of its name
 * @nodes: nodes that it covers
 * @offered: engine time per second that requests asked for, in milliseconds
 * @admitted: the part of it that was sent to engines
 * @rows: organisations that asked for most
 * @row_count: number of @rows
 */
typedef struct share_report {
	uint32_t pool;
	uint32_t nodes;
	double offered;
	double admitted;
	share_row_t rows[SHARE_ROWS_MAX];
	uint32_t row_count;
} share_report_t;

/** shares_new() - make an empty table; the caller drops it */
shares_t *shares_new(void);

/** shares_drop() - free a table */
void shares_drop(shares_t *shares);

/** share_key() - hash of a pool's or an organisation's name */
uint32_t share_key(const char *name);

/** shares_set_fleet() - set the number of nodes in the fleet, and that of
 *	organisations in the configuration */
void shares_set_fleet(shares_t *shares, uint32_t nodes, uint32_t organisations);

/** shares_count_short() - number of pools where room is short */
uint32_t shares_count_short(shares_t *shares, dff_time_t now);

/**
 * shares_decide() - count a request and decide how long it may wait
 * @draw: random number in [0, 1), which decides which requests of an
 *	organisation are within its share
 *
 * A request beyond its organisation's share may wait for a part of the time
 * that the least patient kind of requests in the pool may wait, so that it does
 * not delay requests within their shares for too long. A repeat of a request
 * that this node refused is not counted again.
 */
void shares_decide(shares_t *shares, const share_request_t *request,
    double draw, dff_time_t now, share_verdict_t *verdict);

/** shares_note_admitted() - the request was sent to an engine */
void shares_note_admitted(
    shares_t *shares, const share_request_t *request, dff_time_t now);

/** shares_note_refused() - the request was refused for want of room */
void shares_note_refused(
    shares_t *shares, const share_request_t *request, dff_time_t now);

/**
 * shares_list() - reports on the pools where some node refuses requests
 * @domain: reports of this node and of all with a source of the domain, as one;
 *	else of this node only
 * @reports: room for @max reports
 *
 * Return: number of reports.
 */
size_t shares_list(shares_t *shares, bool domain, share_report_t *reports,
    size_t max, dff_time_t now);

/**
 * shares_apply() - apply a report, in place of the same source's last one
 * @source: hash that identifies the reporting node, or the domain
 * @in_domain: the source is a node of this domain
 */
void shares_apply(shares_t *shares, uint64_t source, bool in_domain,
    const share_report_t *report, dff_time_t now);

#endif
