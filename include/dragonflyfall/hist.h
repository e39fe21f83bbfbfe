/*
 * A histogram of durations with logarithmic buckets: constant memory,
 * quantiles within one percent of the value.
 */
#ifndef DRAGONFLYFALL_HIST_H
#define DRAGONFLYFALL_HIST_H

#include "dragonflyfall/base.h"

/** typedef dff_hist_t - a histogram */
typedef struct dff_hist dff_hist_t;

/** dff_hist_new() - make an empty histogram; the caller drops it */
dff_hist_t *dff_hist_new(void);

/** dff_hist_drop() - free a histogram; NULL is allowed */
void dff_hist_drop(dff_hist_t *hist);

/** dff_hist_add() - count a value; a negative one counts as 0 */
void dff_hist_add(dff_hist_t *hist, dff_time_t value);

/** dff_hist_merge() - add all values of @from to @hist */
void dff_hist_merge(dff_hist_t *hist, const dff_hist_t *from);

/** dff_hist_count() - number of values added */
uint64_t dff_hist_count(const dff_hist_t *hist);

/** dff_hist_max() - the largest value, exact; 0 if there is none */
dff_time_t dff_hist_max(const dff_hist_t *hist);

/** dff_hist_mean() - mean of the values, exact; 0 if there is none */
double dff_hist_mean(const dff_hist_t *hist);

/**
 * dff_hist_quantile() - a quantile of the values
 * @q: 0 to 1
 *
 * Return: a value that at least a share @q of the values does not exceed by
 * more than one percent; 0 if there is none.
 */
dff_time_t dff_hist_quantile(const dff_hist_t *hist, double q);

#endif
