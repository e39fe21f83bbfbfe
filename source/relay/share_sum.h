/*
 * Sums over the last seconds, for averages of what organisations use.
 */
#ifndef DFF_RELAY_SHARE_SUM_H
#define DFF_RELAY_SHARE_SUM_H

#include <stdbool.h>

#include "dragonflyfall/base.h"

/* Times over which the two sums decay to 1/e. */
#define SHARE_TIME	(5 * DFF_SEC)
#define SHARE_TIME_SLOW (30 * DFF_SEC)

/** struct share_sum - the same amounts summed up over two times */
typedef struct share_sum {
	double fast;
	double slow;
	dff_time_t at;
} share_sum_t;

/** share_sum_decay() - advance the sums to @now */
void share_sum_decay(share_sum_t *sum, dff_time_t now);

/** share_sum_add() - add an amount */
void share_sum_add(share_sum_t *sum, double amount, dff_time_t now);

/** share_sum_rate() - amount per second, over the longer time if @slow */
double share_sum_rate(share_sum_t *sum, bool slow, dff_time_t now);

#endif
