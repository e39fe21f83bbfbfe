/*
 * A run over time as CSV and as a self-contained SVG.
 */
#ifndef BENCH_PLOT_H
#define BENCH_PLOT_H

#include "fleet.h"

/** plot_write() - write NAME.csv and NAME.svg of a run into a folder */
void plot_write(const char *folder, const bench_workload_t *load,
    const bench_result_t *result);

#endif
