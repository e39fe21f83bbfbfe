/*
 * Simulation of the platform's append-only log, without I/O or clock: streams
 * with offsets from 1, a limit on appends per second, retention by time,
 * outages, answers lost after the append took effect, and delayed appends.
 */
#ifndef DRAGONFLYFALL_MODEL_LOG_H
#define DRAGONFLYFALL_MODEL_LOG_H

#include "dragonflyfall/event.h"

/**
 * struct dff_log_config - settings of the log
 * @append_rate: appends per second, over all streams
 * @append_burst: capacity of the token bucket for appends
 * @retention: age at which a record is dropped
 * @wall_start_ms: wall clock at time 0, in milliseconds since 1970
 */
typedef struct dff_log_config {
	double append_rate;
	double append_burst;
	dff_time_t retention;
	uint64_t wall_start_ms;
} dff_log_config_t;

/** dff_log_config_defaults() - settings as specified for the platform's log */
void dff_log_config_defaults(dff_log_config_t *config);

/** enum dff_log_status - result of an append or a read */
typedef enum dff_log_status {
	DFF_LOG_OK,
	DFF_LOG_RATE_LIMITED, /* too many appends; no effect */
	DFF_LOG_UNAVAILABLE, /* outage; no effect */
	DFF_LOG_NO_ANSWER, /* no answer; the append may still take effect */
} dff_log_status_t;

/**
 * struct dff_log_entry - one record as returned to a reader
 * @offset: offset
 * @time_ms: platform's wall clock when the record was stored
 * @data: content, borrowed
 * @len: length of @data in bytes
 */
typedef struct dff_log_entry {
	uint64_t offset;
	uint64_t time_ms;
	const uint8_t *data;
	size_t len;
} dff_log_entry_t;

/** struct dff_log_range - offsets retained in a stream */
typedef struct dff_log_range {
	uint64_t first; /* first retained offset */
	uint64_t next; /* offset of the next append */
} dff_log_range_t;

/** typedef dff_log_model_t - the log */
typedef struct dff_log_model dff_log_model_t;

/** dff_log_model_new() - an empty log; the caller drops it */
dff_log_model_t *dff_log_model_new(const dff_log_config_t *config);

/** dff_log_model_drop() - free the log; NULL is allowed */
void dff_log_model_drop(dff_log_model_t *log);

/** dff_log_model_config() - settings, which the caller may change */
dff_log_config_t *dff_log_model_config(dff_log_model_t *log);

/** dff_log_model_append() - append a record; @offset is set with DFF_LOG_OK */
dff_log_status_t dff_log_model_append(dff_log_model_t *log, dff_stream_t stream,
    const void *data, size_t len, dff_time_t now, uint64_t *offset);

/** dff_log_model_range() - get the retained offsets of a stream; fails in an
 *	outage */
dff_log_status_t dff_log_model_range(dff_log_model_t *log, dff_stream_t stream,
    dff_time_t now, dff_log_range_t *range);

/**
 * dff_log_model_get() - get a retained record
 *
 * Return: true with @entry set, valid until the next append; false if the
 * offset is no longer retained or not written yet.
 */
bool dff_log_model_get(const dff_log_model_t *log, dff_stream_t stream,
    uint64_t offset, dff_log_entry_t *entry);

/** dff_log_model_next() - when the next delayed append takes effect, or
 *	DFF_TIME_NEVER */
dff_time_t dff_log_model_next(const dff_log_model_t *log);

/** dff_log_model_advance() - store the delayed appends that are due;
 *	returns their number */
size_t dff_log_model_advance(dff_log_model_t *log, dff_time_t now);

/** dff_log_model_set_outage() - choose whether appends and reads fail */
void dff_log_model_set_outage(dff_log_model_t *log, bool appends, bool reads);

/** dff_log_model_lose_answers() - the next @count appends take effect without
 *	an answer */
void dff_log_model_lose_answers(dff_log_model_t *log, uint32_t count);

/** dff_log_model_delay_appends() - the next @count appends take effect only
 *	after @delay, without an answer */
void dff_log_model_delay_appends(
    dff_log_model_t *log, uint32_t count, dff_time_t delay);

/** dff_log_model_append_count() - number of appends that took effect */
uint64_t dff_log_model_append_count(const dff_log_model_t *log);

#endif
