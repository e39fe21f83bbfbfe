/*
 * Measured performance of the engines of a pool. The time to read a prompt is
 * a start, the same for all prompts, and a time for each token.
 */
#include "relay/place.h"

#include <math.h>
#include <string.h>

#include "base/fault.h"

/* Speed before any is learned, in tokens a millisecond. */
#define SPEED_START 50.0
/* The start has a share in the time of shorter prompts that hides the time for
 * each token. */
#define LEARN_TOKENS_MIN 1000
/* The start is taken from the times of prompts below this length that found no
 * others there. */
#define START_TOKENS_MAX 2500
/* Share of these times that were shorter: others did have to wait. */
#define START_QUANTILE 0.1
/* Before this number of times the start counts as 0. */
#define START_SAMPLES_MIN 3
/* Before any is measured, an engine that decodes reads prompts at half the
 * speed, and its decoding steps take half of the time. */
#define DECODE_READ_SHARE 0.25
/* Times for which the assumed speeds count. */
#define ASSUMED_COUNT 10.0
/* Weight of the newest stream, and the share before the first one. */
#define LONG_GAP_WEIGHT	     0.02
#define LONG_GAP_SHARE_START 0.0
/* Plain requests differ in their work by themselves: a smaller difference of
 * the logarithms says nothing of an upstream. */
#define PLAIN_LOG_MIN 0.25

void
pool_stats_init(pool_stats_t *stats)
{
	memset(stats, 0, sizeof(*stats));
	stats->learns = true;
	stats->tokens_per_ms = SPEED_START;
	stats->long_gap_share = LONG_GAP_SHARE_START;
}

void
pool_stats_add_stream(pool_stats_t *stats, bool long_gap)
{
	stats->long_gap_share +=
	    ((long_gap ? 1.0 : 0.0) - stats->long_gap_share) * LONG_GAP_WEIGHT;
}

static bool
decodes(const upstream_t *up)
{
	return up->record.role == DFF_ROLE_DECODE;
}

static uint64_t
mean_key(const upstream_t *up)
{
	uint64_t key =
	    dff_hash(up->record.pool, strlen(up->record.pool), decodes(up));

	return MAX(key, 1);
}

static const capacity_mean_t *
find_mean(const pool_stats_t *stats, uint64_t key)
{
	for (size_t i = 0; i < CAPACITY_POOLS_MAX; i++) {
		if (stats->means[i].pool == key)
			return &stats->means[i];
	}
	return NULL;
}

capacity_mean_t *
pool_stats_mean(pool_stats_t *stats, const upstream_t *up)
{
	uint64_t key = mean_key(up);
	const capacity_mean_t *known = find_mean(stats, key);

	if (known == NULL) {
		known = find_mean(stats, 0);
		if (known == NULL)
			return NULL;
		stats->means[known - stats->means].pool = key;
	}
	return &stats->means[known - stats->means];
}

/* Time for each token at a usual engine of its role, in milliseconds. */
static double
usual_token_time(const pool_stats_t *stats, const upstream_t *up)
{
	return 1 /
	    (stats->tokens_per_ms * (decodes(up) ? DECODE_READ_SHARE : 1));
}

/* The usual time of engines begins with an assumed one. */
static capacity_mean_t *
read_mean(pool_stats_t *stats, const upstream_t *up)
{
	capacity_mean_t *mean = pool_stats_mean(stats, up);

	if (mean != NULL && mean->samples <= 0) {
		mean->log_time = log(usual_token_time(stats, up));
		mean->samples = ASSUMED_COUNT;
	}
	return mean;
}

static int
compare_times(const void *a, const void *b)
{
	dff_time_t left = *(const dff_time_t *)a;
	dff_time_t right = *(const dff_time_t *)b;

	return (left > right) - (left < right);
}

/* The times of prompts of any length contain the start. */
static void
note_start(pool_stats_t *stats, dff_time_t rest)
{
	dff_time_t sorted[START_SAMPLES];
	uint32_t count = MIN(stats->start_count + 1, START_SAMPLES);

	stats->starts[stats->start_count++ % START_SAMPLES] = MAX(rest, 0);
	if (count < START_SAMPLES_MIN || DFF_FAULT(RELAY_NO_START))
		return;
	memcpy(sorted, stats->starts, count * sizeof(*sorted));
	qsort(sorted, count, sizeof(*sorted), compare_times);
	stats->start_time = sorted[(uint32_t)(START_QUANTILE * count)];
}

/* How much a time says of the engine, beside the start. */
static double
sample_count(const pool_stats_t *stats, double read_time)
{
	double share;

	if (stats->start_time <= 0)
		return 1;
	share = read_time / (double)stats->start_time;
	return CLAMP(share * share, 0, 1);
}

static void
apply_mean(
    pool_stats_t *stats, const upstream_t *up, const capacity_mean_t *mean)
{
	if (!decodes(up))
		stats->tokens_per_ms = exp(-mean->log_time);
}

void
pool_stats_add_reported(pool_stats_t *stats, upstream_t *up, double log_time,
    double count, dff_time_t now)
{
	/* An upstream without a role may run plain requests. */
	bool reads = up->record.role != DFF_ROLE_MIXED;
	capacity_mean_t *mean =
	    reads ? read_mean(stats, up) : pool_stats_mean(stats, up);

	if (mean == NULL || count <= 0)
		return;
	capacity_note_mean(mean, log_time, count);
	capacity_add(&up->capacity, log_time, count, now);
	if (reads)
		apply_mean(stats, up, mean);
}

void
pool_stats_add_prefill(pool_stats_t *stats, upstream_t *up, uint32_t ahead,
    uint32_t uncached, dff_time_t took, dff_time_t now)
{
	uint32_t tokens = ahead + uncached;
	capacity_mean_t *mean = read_mean(stats, up);
	dff_time_t predicted = pool_stats_read_time(stats, up, tokens, now);
	double token_time;

	if (took <= 0 || mean == NULL)
		return;
	if (ahead == 0 && tokens < START_TOKENS_MAX)
		note_start(stats, took - predicted);
	if (tokens < LEARN_TOKENS_MIN)
		return;
	token_time = (double)MAX(took - stats->start_time, took / 8) /
	    (double)DFF_MSEC / tokens;
	capacity_add_own(&up->capacity, mean, token_time,
	    sample_count(stats, (double)predicted), now);
	apply_mean(stats, up, mean);
}

void
pool_stats_add_plain(pool_stats_t *stats, upstream_t *up, uint32_t in_flight,
    dff_time_t took, dff_time_t now)
{
	capacity_mean_t *mean = pool_stats_mean(stats, up);
	uint32_t slots = MAX(up->record.slots, 1);
	double time = (double)took / (double)DFF_MSEC;

	if (took <= 0 || mean == NULL)
		return;
	/* Those beyond its slots have to wait by themselves. */
	if (in_flight > slots)
		time *= (double)slots / in_flight;
	if (in_flight <= capacity_takes_well(&up->capacity, slots))
		capacity_add_own(&up->capacity, mean, time, 1, now);
	capacity_note_in_flight(
	    &up->capacity, mean, time, in_flight, slots, now);
}

double
pool_stats_factor(
    const pool_stats_t *stats, const upstream_t *up, dff_time_t now)
{
	if (!stats->learns)
		return 1;
	return capacity_factor(
	    &up->capacity, find_mean(stats, mean_key(up)), now);
}

double
pool_stats_mean_factor(
    const pool_stats_t *stats, const upstream_t *up, dff_time_t now)
{
	return capacity_mean_factor(
	    &up->capacity, find_mean(stats, mean_key(up)), now);
}

double
pool_stats_plain_factor(
    const pool_stats_t *stats, const upstream_t *up, dff_time_t now)
{
	double difference;

	if (!stats->learns)
		return 1;
	difference = log(capacity_mean_factor(
	    &up->capacity, find_mean(stats, mean_key(up)), now));
	if (fabs(difference) < PLAIN_LOG_MIN)
		difference = 0;
	return exp(difference) * capacity_pace(&up->capacity, now);
}

dff_time_t
pool_stats_plain_time(const pool_stats_t *stats, const upstream_t *up)
{
	const capacity_mean_t *mean = find_mean(stats, mean_key(up));

	if (mean == NULL || mean->samples <= 0)
		return 0;
	return (dff_time_t)(exp(mean->log_time) * (double)DFF_MSEC);
}

bool
pool_stats_is_doubtful(
    const pool_stats_t *stats, const upstream_t *up, dff_time_t now)
{
	return stats->learns &&
	    capacity_is_doubtful(
		&up->capacity, find_mean(stats, mean_key(up)), now);
}

dff_time_t
pool_stats_read_time(const pool_stats_t *stats, const upstream_t *up,
    double tokens, dff_time_t now)
{
	return (dff_time_t)(tokens * usual_token_time(stats, up) *
	    pool_stats_factor(stats, up, now) * (double)DFF_MSEC);
}
