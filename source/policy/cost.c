/*
 * Learned costs: the time of a decode step as a line over the batch size, the
 * time to prefill a token, a histogram of output lengths per entry, memory
 * pieces per token, and the error of predicted times to the first token.
 */
#include <math.h>

#include "policy/state.h"

/* Factor by which older lengths decay at each new one. */
#define LENGTH_DECAY 0.998
/* Buckets per doubling of the length. */
#define BUCKETS_PER_DOUBLING 4.0
/* Lengths needed before a quantile is used. */
#define LENGTH_MIN_COUNT 8.0
/* Variance of the x values below which no slope is computed. */
#define FIT_MIN_VARIANCE 0.5
/* Slope assumed below that variance, as a fraction of the mean. */
#define FIT_DEFAULT_SLOPE 0.02
/* Factor by which older first tokens decay at each new one. */
#define FIRST_TOKEN_DECAY 0.99
/* First tokens needed before the line through them is used. */
#define FIRST_TOKEN_MIN_COUNT 10.0
/*
 * Upper bound of the slope, as a multiple of the prefill time per token, which
 * is the lower bound.
 */
#define FIRST_TOKEN_MAX_STEEPNESS 4.0
/* Fraction of first tokens that should come within the margin. */
#define MARGIN_QUANTILE 0.8
#define MARGIN_GAIN	0.05
#define MARGIN_MIN	1.0
#define MARGIN_MAX	3.0
/* Weight of one answer in the pace ratio, and its bounds. */
#define PACE_RATIO_GAIN 0.05
#define PACE_RATIO_MIN	1.0
#define PACE_RATIO_MAX	6.0
/* Fewest tokens from which a pace is computed. */
#define PACE_MIN_TOKENS 4
/* Tokens in one memory piece, which is one prefix block. */
#define PIECE_TOKENS ((double)DFF_PREFIX_BLOCK_BYTES / DFF_BYTES_PER_TOKEN)

void
dff_lengths_add(lengths_t *lengths, uint32_t tokens)
{
	int bucket;

	bucket = (int)(log2((double)tokens + 1) * BUCKETS_PER_DOUBLING);
	bucket = CLAMP(bucket, 0, LENGTH_BUCKETS - 1);
	for (int i = 0; i < LENGTH_BUCKETS; i++)
		lengths->count[i] *= LENGTH_DECAY;
	lengths->count[bucket] += 1;
	lengths->total = lengths->total * LENGTH_DECAY + 1;
	lengths->mean += (tokens - lengths->mean) / lengths->total;
}

double
dff_lengths_quantile(const lengths_t *lengths, double quantile)
{
	double sum = 0;

	if (lengths->total < LENGTH_MIN_COUNT)
		return -1;
	for (int i = 0; i < LENGTH_BUCKETS; i++) {
		sum += lengths->count[i];
		if (sum >= quantile * lengths->total)
			return exp2((i + 1) / BUCKETS_PER_DOUBLING) - 1;
	}
	return exp2(LENGTH_BUCKETS / BUCKETS_PER_DOUBLING) - 1;
}

void
dff_fit_add(fit_t *fit, double x, double y, double decay)
{
	fit->n = fit->n * decay + 1;
	fit->x = fit->x * decay + x;
	fit->y = fit->y * decay + y;
	fit->xx = fit->xx * decay + x * x;
	fit->xy = fit->xy * decay + x * y;
}

bool
dff_fit_line(const fit_t *fit, double *base, double *slope)
{
	double mean_x;
	double mean_y;
	double variance;

	if (fit->n < 1)
		return false;
	mean_x = fit->x / fit->n;
	mean_y = fit->y / fit->n;
	variance = fit->xx / fit->n - mean_x * mean_x;
	*slope = FIT_DEFAULT_SLOPE * mean_y;
	if (variance > FIT_MIN_VARIANCE)
		*slope = (fit->xy / fit->n - mean_x * mean_y) / variance;
	*slope = MAX(*slope, 0);
	*base = MAX(mean_y - *slope * mean_x, 0);
	return true;
}

double
dff_cost_step_time(
    const dff_policy_t *policy, const upstream_t *up, double batch)
{
	double base = up->step_us;
	double slope = up->step_us * FIT_DEFAULT_SLOPE;

	if (!feature_enabled(policy, DFF_FEATURE_LEARNING) || up->pool < 0)
		return up->step_us;
	if (dff_fit_line(&policy->pool_by_index[up->pool]->step, &base, &slope))
		return (base + slope * batch) * up->slowness;
	return base + slope * batch;
}

double
dff_cost_output_tokens(
    const dff_policy_t *policy, const dff_policy_call_t *call, double quantile)
{
	const entry_state_t *entry = policy->entry_by_index[call->entry];
	double bound = call->max_tokens;
	double estimate = -1;

	if (bound <= 0)
		bound = policy->entries[call->entry].max_output_tokens;
	if (feature_enabled(policy, DFF_FEATURE_LEARNING))
		estimate = dff_lengths_quantile(&entry->lengths, quantile);
	if (estimate < 0 || estimate > bound)
		estimate = bound;
	return MAX(estimate - call->delivered, 1);
}

/* Time to the first token, with @tokens prompt tokens to prefill up to it. */
double
dff_cost_first_token(
    const dff_policy_t *policy, const upstream_t *up, double tokens)
{
	const pool_state_t *pool = policy->pool_by_index[up->pool];
	double base = up->step_us;
	double slope = up->prefill_us;

	if (feature_enabled(policy, DFF_FEATURE_LEARNING) &&
	    pool->first_token.n > FIRST_TOKEN_MIN_COUNT)
		(void)dff_fit_line(&pool->first_token, &base, &slope);
	if (up->prefill_us > 0)
		slope = CLAMP(slope, up->prefill_us,
		    up->prefill_us * FIRST_TOKEN_MAX_STEEPNESS);
	return base + slope * tokens;
}

double
dff_cost_first_token_margin(
    const dff_policy_t *policy, const pool_state_t *pool)
{
	if (!feature_enabled(policy, DFF_FEATURE_LEARNING))
		return MARGIN_MIN;
	return MAX(pool->first_token_margin, MARGIN_MIN);
}

double
dff_cost_pace_ratio(const dff_policy_t *policy, const pool_state_t *pool)
{
	if (!feature_enabled(policy, DFF_FEATURE_LEARNING))
		return PACE_RATIO_MIN;
	return MAX(pool->pace_ratio, PACE_RATIO_MIN);
}

void
dff_cost_learn_first_token(
    pool_state_t *pool, const attempt_t *attempt, dff_time_t now)
{
	double observed = (double)(now - attempt->started_at);
	double margin = MAX(pool->first_token_margin, MARGIN_MIN);
	double within =
	    observed <= margin * attempt->predicted_first_us ? 1 : 0;

	dff_fit_add(&pool->first_token, attempt->queued_tokens, observed,
	    FIRST_TOKEN_DECAY);
	margin += MARGIN_GAIN * (MARGIN_QUANTILE - within);
	pool->first_token_margin = CLAMP(margin, MARGIN_MIN, MARGIN_MAX);
}

void
dff_cost_learn_pace(
    pool_state_t *pool, const attempt_t *attempt, dff_time_t now)
{
	double pace;
	double observed;

	if (attempt->tokens < PACE_MIN_TOKENS || attempt->step_us <= 0)
		return;
	pace = (double)(now - attempt->first_token_at) / (attempt->tokens - 1);
	observed =
	    CLAMP(pace / attempt->step_us, PACE_RATIO_MIN, PACE_RATIO_MAX);
	pool->pace_ratio = MAX(pool->pace_ratio, PACE_RATIO_MIN);
	pool->pace_ratio += PACE_RATIO_GAIN * (observed - pool->pace_ratio);
}

double
dff_cost_pieces(double tokens)
{
	return ceil(tokens / PIECE_TOKENS);
}
