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
/* How much of the older first tokens the line keeps at each new one. */
#define FIRST_KEEP 0.99
/* First tokens seen before the line through them is trusted. */
#define FIRST_TRUST 10.0
/* Steepest and flattest line, as a multiple of the bare prefill time. */
#define FIRST_STEEP 4.0
/* Part of the first tokens that come no later than the margin allows. */
#define MARGIN_QUANTILE 0.8
#define MARGIN_GAIN	0.05
#define MARGIN_MIN	1.0
#define MARGIN_MAX	3.0
/* Weight of one answer in the stretch of the steps, and its bounds. */
#define STRETCH_GAIN 0.05
#define STRETCH_MIN  1.0
#define STRETCH_MAX  6.0
/* Fewest tokens from which a pace is read. */
#define PACE_TOKENS 4
/* Tokens in one memory piece, which is one prefix block. */
#define PIECE_TOKENS ((double)DFF_PREFIX_BLOCK_BYTES / DFF_BYTES_PER_TOKEN)

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
	double base = up->step_us;
	double slope = up->step_us * FIT_SLOPE;

	if (!part_on(policy, DFF_PART_LEARNING) || up->pool < 0)
		return up->step_us;
	if (dff_fit_line(&policy->pool_at[up->pool]->step, &base, &slope))
		return (base + slope * batch) * up->slowness;
	return base + slope * batch;
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

/* Time to the first token with so many prompt tokens ahead and of its own. */
double
dff_cost_first(const dff_policy_t *policy, const upstream_t *up, double tokens)
{
	const pool_state_t *pool = policy->pool_at[up->pool];
	double base = up->step_us;
	double slope = up->prefill_us;

	if (part_on(policy, DFF_PART_LEARNING) && pool->first.n > FIRST_TRUST)
		(void)dff_fit_line(&pool->first, &base, &slope);
	if (up->prefill_us > 0)
		slope =
		    CLAMP(slope, up->prefill_us, up->prefill_us * FIRST_STEEP);
	return base + slope * tokens;
}

double
dff_cost_margin(const dff_policy_t *policy, const pool_state_t *pool)
{
	if (!part_on(policy, DFF_PART_LEARNING))
		return MARGIN_MIN;
	return MAX(pool->first_margin, MARGIN_MIN);
}

double
dff_cost_stretch(const dff_policy_t *policy, const pool_state_t *pool)
{
	if (!part_on(policy, DFF_PART_LEARNING))
		return STRETCH_MIN;
	return MAX(pool->stretch, STRETCH_MIN);
}

void
dff_cost_learn_first(
    pool_state_t *pool, const attempt_t *attempt, dff_time_t now)
{
	double seen = (double)(now - attempt->began);
	double margin = MAX(pool->first_margin, MARGIN_MIN);
	double within = seen <= margin * attempt->first_us ? 1 : 0;

	dff_fit_add(&pool->first, attempt->queued_tokens, seen, FIRST_KEEP);
	margin += MARGIN_GAIN * (MARGIN_QUANTILE - within);
	pool->first_margin = CLAMP(margin, MARGIN_MIN, MARGIN_MAX);
}

void
dff_cost_learn_pace(
    pool_state_t *pool, const attempt_t *attempt, dff_time_t now)
{
	double pace;
	double seen;

	if (attempt->tokens < PACE_TOKENS || attempt->step_us <= 0)
		return;
	pace = (double)(now - attempt->first_at) / (attempt->tokens - 1);
	seen = CLAMP(pace / attempt->step_us, STRETCH_MIN, STRETCH_MAX);
	pool->stretch = MAX(pool->stretch, STRETCH_MIN);
	pool->stretch += STRETCH_GAIN * (seen - pool->stretch);
}

double
dff_cost_pieces(double tokens)
{
	return ceil(tokens / PIECE_TOKENS);
}
