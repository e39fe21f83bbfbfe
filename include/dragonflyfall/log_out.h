/*
 * Structured log lines on standard output that never block: lines wait in a
 * bounded buffer, and lines beyond a rate or the buffer are left out and
 * counted.
 */
#ifndef DRAGONFLYFALL_LOG_OUT_H
#define DRAGONFLYFALL_LOG_OUT_H

#include <uv.h>

#include "dragonflyfall/base.h"

/** typedef dff_log_out_t - the sink */
typedef struct dff_log_out dff_log_out_t;

/**
 * dff_log_out_new() - a sink on a file descriptor, set to not block
 * @program: on each line
 * @rate: lines a second that pass in the long run; errors and notices pass
 *	beyond it
 */
dff_log_out_t *dff_log_out_new(int fd, const char *program, uint32_t rate);

/** dff_log_out_drop() - write what can be written, free the rest */
void dff_log_out_drop(dff_log_out_t *out);

/** dff_log_out_line() - a dff_log_fn; @arg is the sink */
void dff_log_out_line(
    void *arg, dff_level_t level, const char *part, const char *text);

/** dff_log_out_flush() - write what waits, without blocking */
void dff_log_out_flush(dff_log_out_t *out);

/** dff_log_out_left_out() - lines left out so far */
uint64_t dff_log_out_left_out(const dff_log_out_t *out);

#endif
