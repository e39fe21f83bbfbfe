/*
 * Structured log lines, written without blocking: lines wait in a bounded
 * buffer, and lines beyond a rate or the buffer are dropped and counted.
 */
#ifndef DRAGONFLYFALL_LOG_OUT_H
#define DRAGONFLYFALL_LOG_OUT_H

#include <uv.h>

#include "dragonflyfall/base.h"

/** typedef dff_log_out_t - a sink for log lines */
typedef struct dff_log_out dff_log_out_t;

/**
 * dff_log_out_new() - new sink on a file descriptor, which becomes non-blocking
 * @program: name of the program, written on each line
 * @rate: lines a second in the long run; lines of level notice and more
 *	severe pass beyond it
 */
dff_log_out_t *dff_log_out_new(int fd, const char *program, uint32_t rate);

/** dff_log_out_drop() - write what can be written without blocking, and free
 *	the sink */
void dff_log_out_drop(dff_log_out_t *out);

/** dff_log_out_line() - add a line; a dff_log_fn whose @arg is the sink */
void dff_log_out_line(
    void *arg, dff_level_t level, const char *part, const char *text);

/** dff_log_out_flush() - write buffered lines, without blocking */
void dff_log_out_flush(dff_log_out_t *out);

/** dff_log_out_dropped() - number of lines dropped */
uint64_t dff_log_out_dropped(const dff_log_out_t *out);

#endif
