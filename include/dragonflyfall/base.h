/*
 * Context, errors, logging, random numbers and time, used by every part of
 * the library. Nothing here reads a clock or does I/O by itself.
 */
#ifndef DRAGONFLYFALL_BASE_H
#define DRAGONFLYFALL_BASE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * typedef dff_time_t - a point in time or a duration in microseconds
 *
 * Points in time count from an epoch that the caller chose; the programs
 * use a clock that keeps running while the machine is suspended.
 */
typedef int64_t dff_time_t;

#define DFF_USEC       ((dff_time_t)1)
#define DFF_MSEC       ((dff_time_t)1000)
#define DFF_SEC	       ((dff_time_t)1000000)
#define DFF_TIME_NEVER INT64_MAX

/* The longest VM, owner, entry, pool, domain or class name, with its NUL. */
#define DFF_NAME_MAX 64
/* The longest "a.b.c.d:port", with its NUL. */
#define DFF_ADDR_MAX 64

/**
 * enum dff_level - severity of a log line, numbered as in syslog(3)
 */
typedef enum dff_level {
	DFF_LOG_ERR = 3,
	DFF_LOG_WARNING = 4,
	DFF_LOG_NOTICE = 5,
	DFF_LOG_INFO = 6,
	DFF_LOG_DEBUG = 7,
} dff_level_t;

/**
 * typedef dff_log_fn - receives one formatted log line
 * @arg: the argument passed to dff_ctx_new()
 * @level: severity
 * @part: name of the part that logs the line, such as "route"
 * @text: a short sentence, then key=value fields; no newline
 */
typedef void (*dff_log_fn)(
    void *arg, dff_level_t level, const char *part, const char *text);

/**
 * typedef dff_ctx_t - the context, first argument of every part
 *
 * Holds the log sink and the random number generator. One context serves
 * one thread. Owned by the caller of dff_ctx_new().
 */
typedef struct dff_ctx dff_ctx_t;

/**
 * dff_ctx_new() - make a context
 * @seed: seed of the random number generator; same seed, same numbers
 * @level: lines less severe than this are not formatted
 * @log: sink for log lines, or NULL for none
 * @arg: passed to @log
 *
 * Return: the context, which the caller drops with dff_ctx_drop().
 */
dff_ctx_t *dff_ctx_new(
    uint32_t seed, dff_level_t level, dff_log_fn log, void *arg);

/** dff_ctx_drop() - free a context; NULL is allowed */
void dff_ctx_drop(dff_ctx_t *ctx);

/**
 * dff_log() - write one log line
 * @ctx: context; a line below its level costs one comparison
 * @level: severity
 * @part: name of the part, a string constant
 * @fmt: a short sentence, then key=value fields
 */
void dff_log(dff_ctx_t *ctx, dff_level_t level, const char *part,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/** dff_log_enabled() - whether a line of this level would be logged */
bool dff_log_enabled(const dff_ctx_t *ctx, dff_level_t level);

/** dff_rand_u64() - a random number over the whole range */
uint64_t dff_rand_u64(dff_ctx_t *ctx);

/** dff_rand_below() - a random number in [0, bound); 0 for a bound of 0 */
uint32_t dff_rand_below(dff_ctx_t *ctx, uint32_t bound);

/** dff_rand_unit() - a random number in [0, 1) */
double dff_rand_unit(dff_ctx_t *ctx);

/** dff_hash() - 64-bit hash of @len bytes, chained from @seed */
uint64_t dff_hash(const void *data, size_t len, uint64_t seed);

/**
 * dff_name_copy() - copy a name into a fixed buffer
 * @dst: buffer of DFF_NAME_MAX bytes
 * @src: the name; NULL is copied as ""
 *
 * Return: 0, or -ENAMETOOLONG with @dst set to "".
 */
int dff_name_copy(char *dst, const char *src);

/** dff_strerror() - text of a negative error number */
const char *dff_strerror(int err);

#endif
