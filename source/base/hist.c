#include "dragonflyfall/hist.h"

#include <glib.h>

/* Values below 2^SUB_BITS have a bucket each; each octave has 2^SUB_BITS. */
#define SUB_BITS    7
#define SUB_BUCKETS (1 << SUB_BITS)
/* Octaves above 2^SUB_BITS: up to 2^47 microseconds, about four years. */
#define OCTAVES 40
#define BUCKETS ((OCTAVES + 1) * SUB_BUCKETS)

struct dff_hist {
	uint64_t count;
	double sum;
	dff_time_t max;
	uint64_t buckets[BUCKETS];
};

dff_hist_t *
dff_hist_new(void)
{
	return g_new0(dff_hist_t, 1);
}

void
dff_hist_drop(dff_hist_t *hist)
{
	g_free(hist);
}

static size_t
bucket_of(uint64_t value)
{
	int octave;
	size_t bucket;

	if (value < SUB_BUCKETS)
		return (size_t)value;
	octave = 63 - __builtin_clzll(value) - SUB_BITS;
	bucket = (size_t)(octave + 1) * SUB_BUCKETS +
	    (size_t)((value >> octave) - SUB_BUCKETS);
	return MIN(bucket, (size_t)BUCKETS - 1);
}

/* The largest value that falls into a bucket. */
static uint64_t
bucket_top(size_t bucket)
{
	uint64_t sub = bucket % SUB_BUCKETS;
	size_t octave = bucket / SUB_BUCKETS;

	if (octave == 0)
		return sub;
	return ((SUB_BUCKETS + sub + 1) << (octave - 1)) - 1;
}

void
dff_hist_add(dff_hist_t *hist, dff_time_t value)
{
	value = MAX(value, 0);
	hist->count++;
	hist->sum += (double)value;
	hist->max = MAX(hist->max, value);
	hist->buckets[bucket_of((uint64_t)value)]++;
}

void
dff_hist_merge(dff_hist_t *hist, const dff_hist_t *from)
{
	hist->count += from->count;
	hist->sum += from->sum;
	hist->max = MAX(hist->max, from->max);
	for (size_t i = 0; i < BUCKETS; i++)
		hist->buckets[i] += from->buckets[i];
}

uint64_t
dff_hist_count(const dff_hist_t *hist)
{
	return hist->count;
}

dff_time_t
dff_hist_max(const dff_hist_t *hist)
{
	return hist->max;
}

double
dff_hist_mean(const dff_hist_t *hist)
{
	return hist->count > 0 ? hist->sum / (double)hist->count : 0;
}

dff_time_t
dff_hist_quantile(const dff_hist_t *hist, double q)
{
	uint64_t below = 0;
	double wanted = CLAMP(q, 0, 1) * (double)hist->count;

	for (size_t i = 0; i < BUCKETS; i++) {
		if (hist->buckets[i] == 0)
			continue;
		below += hist->buckets[i];
		if ((double)below >= wanted)
			return MIN((dff_time_t)bucket_top(i), hist->max);
	}
	return hist->max;
}
