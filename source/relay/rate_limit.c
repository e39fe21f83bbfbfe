/*
 * The permits that a coordinator issues in any 4 s stay within 1.5 times the
 * limit and five more: at most 4 s of the rate, the bucket's size, and one
 * lifetime of a permit, as permits of an earlier second may be used late. What
 * is left of the bound is for a change of the coordinator, in which both the
 * former and the new one may issue permits for a moment.
 */
#include <glib.h>

#include "base/fault.h"
#include "relay/rate_limit.h"

/* Size of the bucket: permits, and seconds of the rate. */
#define BUCKET_PERMITS 2.0
#define BUCKET_TIME    0.5
/* Longest wait that is reported: the limit may change before. */
#define WAIT_MAX (10 * DFF_SEC)

const rate_statement_t *
rate_limit_newest(const rate_limit_t *limit)
{
	const rate_statement_t *newest = &limit->own;

	if (limit->peers.at > newest->at)
		newest = &limit->peers;
	if (limit->domains.at > newest->at)
		newest = &limit->domains;
	return newest;
}

bool
rate_limit_is_set(const rate_limit_t *limit)
{
	return rate_limit_newest(limit)->rate > 0;
}

void
rate_limit_begin(rate_limit_t *limit, dff_time_t now)
{
	limit->share = 0;
	limit->bucket = 0;
	limit->bucket_at = now;
	limit->permit_count = 0;
	limit->denied_until = 0;
}

/* Requests a second for which this node issues permits. */
static double
issue_rate(const rate_limit_t *limit)
{
	return limit->share * rate_limit_newest(limit)->rate;
}

static double
bucket_now(const rate_limit_t *limit, dff_time_t now)
{
	double rate = issue_rate(limit);
	dff_time_t passed = now - limit->bucket_at;

	return MIN(limit->bucket + rate * (double)passed / DFF_SEC,
	    BUCKET_PERMITS + rate * BUCKET_TIME);
}

static void
refill(rate_limit_t *limit, dff_time_t now)
{
	limit->bucket = bucket_now(limit, now);
	limit->bucket_at = now;
}

void
rate_limit_coordinate(rate_limit_t *limit, double share, dff_time_t now)
{
	if (limit->share == 0 && share > 0) {
		limit->bucket = DFF_FAULT(RELAY_BUCKET_FULL) ? 100 : 0;
		limit->bucket_at = now;
		limit->denied_until = 0;
	} else
		refill(limit, now);
	limit->share = share;
}

bool
rate_limit_issue(rate_limit_t *limit, dff_time_t now)
{
	refill(limit, now);
	if (limit->share == 0 || limit->bucket < 1)
		return false;
	limit->bucket -= 1;
	return true;
}

dff_time_t
rate_limit_issue_wait(const rate_limit_t *limit, dff_time_t now)
{
	double lacking = 1 - bucket_now(limit, now);
	double rate = issue_rate(limit);

	if (lacking <= 0)
		return 0;
	if (lacking * DFF_SEC >= rate * WAIT_MAX)
		return WAIT_MAX;
	return (dff_time_t)(lacking / rate * DFF_SEC) + 1;
}

void
rate_limit_add_permit(rate_limit_t *limit, dff_time_t expires_at)
{
	if (limit->permit_count < PERMITS_MAX)
		limit->permits[limit->permit_count++] = expires_at;
}

static uint32_t
count_valid(const rate_limit_t *limit, dff_time_t now)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < limit->permit_count; i++)
		count += now < limit->permits[i];
	return count;
}

bool
rate_limit_has_permit(const rate_limit_t *limit, dff_time_t now)
{
	return !rate_limit_is_set(limit) || count_valid(limit, now) > 0 ||
	    (limit->share > 0 && bucket_now(limit, now) >= 1);
}

bool
rate_limit_take_permit(rate_limit_t *limit, dff_time_t now)
{
	while (limit->permit_count > 0) {
		if (now < limit->permits[--limit->permit_count])
			return true;
	}
	return !rate_limit_is_set(limit) || rate_limit_issue(limit, now);
}

bool
rate_limit_is_denied(const rate_limit_t *limit, dff_time_t now)
{
	return now < limit->denied_until && !rate_limit_has_permit(limit, now);
}
