/*
 * Learned costs: the time of a decode step as a line over the batch, the
 * time to prefill a token, output lengths per entry as a histogram, memory
 * pieces per token, and how far forecasts of the first token were off.
 */
#include <math.h>

#include "policy/state.h"

/* Weight that the histogram keeps at each new length. */
#define LENGTH_KEEP 0.998
/* Buckets to a doubling of the length. */
#define LENGTH_FINE 4.0
/* Lengths seen before they are trusted. */
#define LENGTH_TRUST 8.0
/* Spread of batches below which no slope is read from them. */
#define FIT_SPREAD 0.5
/* Slope taken for granted until there is a spread, as a part of a step. */
#define FIT_SLOPE 0.02
/* Weight of one first token in the bias of the forecasts. */
#define BIAS_GAIN 0.05
#define BIAS_MIN  0.5
#define BIAS_MAX  3.0
/* Time in which a bias that nothing confirms fades by half. */
#define BIAS_FADE (10 * DFF_SEC)
/* Tokens in one memory piece until reports tell. */
#define PIECE_TOKENS 16.0

void
dff_lengths_add(lengths_t *lengths, uint32_t tokens)
{
	int bucket;

	bucket = (int)(log2((double)tokens + 1) * LENGTH_FINE);
	bucket = CLAMP(bucket, 0, LENGTH_BUCKETS - 1);
	for (int i = 0; i < LENGTH_BUCKETS; i++)
		lengths->count[i] *= LENGTH_KEEP;
	lengths->count[bucket] += 1;
	lengths->total = lengths->total * LENGTH_KEEP + 1;
	lengths->mean += (tokens - lengths->mean) / lengths->total;
}

double
dff_lengths_quantile(const lengths_t *lengths, double quantile)
{
	double sum = 0;

	if (lengths->total < LENGTH_TRUST)
		return -1;
	for (int i = 0; i < LENGTH_BUCKETS; i++) {
		sum += lengths->count[i];
		if (sum >= quantile * lengths->total)
			return exp2((i + 1) / LENGTH_FINE) - 1;
	}
	return exp2(LENGTH_BUCKETS / LENGTH_FINE) - 1;
}

void
dff_fit_add(fit_t *fit, double x, double y, double keep)
{
	fit->n = fit->n * keep + 1;
	fit->x = fit->x * keep + x;
	fit->y = fit->y * keep + y;
	fit->xx = fit->xx * keep + x * x;
	fit->xy = fit->xy * keep + x * y;
}

bool
dff_fit_line(const fit_t *fit, double *base, double *slope)
{
	double mean_x;
	double mean_y;
	double spread;

	if (fit->n < 1)
		return false;
	mean_x = fit->x / fit->n;
	mean_y = fit->y / fit->n;
	spread = fit->xx / fit->n - mean_x * mean_x;
	*slope = FIT_SLOPE * mean_y;
	if (spread > FIT_SPREAD)
		*slope = (fit->xy / fit->n - mean_x * mean_y) / spread;
	*slope = MAX(*slope, 0);
	*base = MAX(mean_y - *slope * mean_x, 0);
	return true;
}

double
dff_cost_step(const dff_policy_t *policy, const upstream_t *up, double batch)
{
	double base;
	double slope;

	if (!part_on(policy, DFF_PART_LEARNING) || up->pool < 0)
		return up->step_us;
	if (!dff_fit_line(&policy->pool_at[up->pool]->step, &base, &slope))
		return up->step_us;
	return (base + slope * batch) * up->slowness;
}

double
dff_cost_prefill(const dff_policy_t *policy, const upstream_t *up)
{
	(void)policy;
	return up->prefill_us;
}

double
dff_cost_output(
    const dff_policy_t *policy, const dff_work_t *work, double quantile)
{
	const entry_state_t *entry = policy->entry_at[work->entry];
	double bound = work->max_tokens;
	double guess = -1;

	if (bound <= 0)
		bound = policy->entries[work->entry].max_output_tokens;
	if (part_on(policy, DFF_PART_LEARNING))
		guess = dff_lengths_quantile(&entry->lengths, quantile);
	if (guess < 0 || guess > bound)
		guess = bound;
	return MAX(guess - work->delivered, 1);
}

double
dff_cost_bias(const pool_state_t *pool, dff_time_t now)
{
	double age;

	if (pool->bias <= 0)
		return 1;
	age = (double)(now - pool->bias_at) / (double)BIAS_FADE;
	return 1 + (pool->bias - 1) * exp2(-MAX(age, 0));
}

void
dff_cost_learn_first(
    pool_state_t *pool, dff_time_t expected, dff_time_t seen, dff_time_t now)
{
	double bias = dff_cost_bias(pool, now);
	double ratio;

	if (expected <= 0)
		return;
	/* The forecast had the bias in it already. */
	ratio = bias * (double)seen / (double)expected;
	bias += BIAS_GAIN * (CLAMP(ratio, BIAS_MIN, BIAS_MAX) - bias);
	pool->bias = CLAMP(bias, BIAS_MIN, BIAS_MAX);
	pool->bias_at = now;
}

double
dff_cost_pieces(const pool_state_t *pool, double tokens)
{
	(void)pool;
	return ceil(tokens / PIECE_TOKENS);
}
