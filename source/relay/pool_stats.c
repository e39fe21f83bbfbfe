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
/* The start hides the time for each token of shorter prompts. */
#define LEARN_TOKENS_MIN 1000
/* The same while the start is not known. */
#define LEARN_TOKENS_FIRST 4000
/* Times from which start and speed are computed. */
#define FIT_SAMPLES_MIN 8
/* Difference in tokens of two prompts that are compared, and pairs of them that
 * it takes. */
#define FIT_TOKENS_MIN 1500.0
#define FIT_PAIRS_MIN  12
/* Share of the times that would have been shorter without other requests. */
#define START_QUANTILE 0.3
/* Bounds of the speed. */
#define SPEED_MIN 1.0
#define SPEED_MAX 10000.0
/* Before any is measured, an engine that decodes reads prompts at half the
 * speed, and its decoding steps take half of the time. */
#define DECODE_READ_SHARE 0.25
/* Longest measured times beside those of engines with few requests: prompts of
 * which this node does not know yet are ahead of others. */
#define QUEUE_FACTOR_MAX 2.0
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
	const capacity_mean_t *mean = find_mean(stats, mean_key(up));
	double token_time = 1 / stats->tokens_per_ms;

	if (decodes(up))
		token_time /= DECODE_READ_SHARE;
	if (mean == NULL || mean->samples <= 0)
		return token_time;
	return CLAMP(
	    exp(mean->log_time), token_time, token_time * QUEUE_FACTOR_MAX);
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
compare(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

/* Time for each token by two prompts, if they differ enough in length. */
static bool
slope(const read_time_t *one, const read_time_t *other, double *value)
{
	double tokens = one->tokens - other->tokens;

	if (fabs((double)one->length - other->length) < FIT_TOKENS_MIN ||
	    fabs(tokens) < FIT_TOKENS_MIN)
		return false;
	*value = (one->time - other->time) / tokens;
	return true;
}

/* The time for each token is the median over pairs of prompts of different
 * length, the start what is left of the shorter times: requests that the
 * engine had from elsewhere do not change them much. */
static void
fit(pool_stats_t *stats)
{
	double values[FIT_SAMPLES * FIT_SAMPLES / 2];
	uint32_t count = MIN(stats->fit_count, FIT_SAMPLES);
	uint32_t pairs = 0;
	double token_time;

	for (uint32_t i = 0; i < count; i++) {
		for (uint32_t k = 0; k < i; k++) {
			if (slope(&stats->fits[i], &stats->fits[k],
				&values[pairs]))
				pairs++;
		}
	}
	if (pairs < FIT_PAIRS_MIN)
		return;
	qsort(values, pairs, sizeof(*values), compare);
	token_time = CLAMP(values[pairs / 2], 1 / SPEED_MAX, 1 / SPEED_MIN);
	for (uint32_t i = 0; i < count; i++)
		values[i] =
		    stats->fits[i].time - stats->fits[i].tokens * token_time;
	qsort(values, count, sizeof(*values), compare);
	stats->tokens_per_ms = 1 / token_time;
	stats->start_known = true;
	stats->start_time =
	    (dff_time_t)(MAX(values[(uint32_t)(START_QUANTILE * count)], 0) *
		(double)DFF_MSEC);
}

/* Note the time of a prompt that found few others. */
static void
note_for_fit(
    pool_stats_t *stats, uint32_t length, double factor, dff_time_t took)
{
	read_time_t *sample = &stats->fits[stats->fit_count++ % FIT_SAMPLES];

	sample->length = length;
	sample->tokens = length * factor;
	sample->time = (double)took / (double)DFF_MSEC;
	if (stats->fit_count >= FIT_SAMPLES_MIN)
		fit(stats);
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
}

void
pool_stats_add_prefill(pool_stats_t *stats, upstream_t *up, uint32_t ahead,
    uint32_t uncached, dff_time_t took, dff_time_t now)
{
	uint32_t tokens = ahead + uncached;
	capacity_mean_t *mean = read_mean(stats, up);
	dff_time_t predicted = pool_stats_read_time(stats, up, tokens, now);
	uint32_t shortest =
	    stats->start_known ? LEARN_TOKENS_MIN : LEARN_TOKENS_FIRST;
	double token_time;

	if (took <= 0 || mean == NULL)
		return;
	if (ahead <= uncached && !decodes(up))
		note_for_fit(
		    stats, tokens, pool_stats_factor(stats, up, now), took);
	if (tokens < shortest)
		return;
	token_time = (double)MAX(took - stats->start_time, took / 8) /
	    (double)DFF_MSEC / tokens;
	capacity_add_own(&up->capacity, mean, token_time,
	    sample_count(stats, (double)predicted), now);
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

double
pool_stats_spread(const pool_stats_t *stats)
{
	double spread = 0;

	for (size_t i = 0; i < CAPACITY_POOLS_MAX; i++)
		spread = MAX(spread, stats->means[i].spread);
	return exp(sqrt(spread));
}

bool
pool_stats_is_doubtful(
    const pool_stats_t *stats, const upstream_t *up, dff_time_t now)
{
	return stats->learns &&
	    capacity_is_doubtful(
		&up->capacity, find_mean(stats, mean_key(up)), now);
}

double
pool_stats_token_time(const pool_stats_t *stats, const upstream_t *up)
{
	return usual_token_time(stats, up) * (double)DFF_MSEC;
}

dff_time_t
pool_stats_read_time(const pool_stats_t *stats, const upstream_t *up,
    double tokens, dff_time_t now)
{
	return (dff_time_t)(tokens * pool_stats_token_time(stats, up) *
	    pool_stats_factor(stats, up, now));
}
