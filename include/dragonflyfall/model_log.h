/*
 * A model of the platform's append-only log, without I/O or clock: streams
 * with offsets from 1, a limit on appends a second, retention by time,
 * outages, answers lost after the effect, and appends that land late.
 */
#ifndef DRAGONFLYFALL_MODEL_LOG_H
#define DRAGONFLYFALL_MODEL_LOG_H

#include "dragonflyfall/event.h"

/**
 * struct dff_log_config - settings of the log
 * @append_rate: appends a second, all streams together
 * @append_burst: appends at once
 * @retention: age at which a record is forgotten
 * @wall_ms: wall clock at moment 0, in milliseconds since 1970
 */
typedef struct dff_log_config {
	double append_rate;
	double append_burst;
	dff_time_t retention;
	uint64_t wall_ms;
} dff_log_config_t;

/** dff_log_config_defaults() - a log as the brief describes it */
void dff_log_config_defaults(dff_log_config_t *config);

/** enum dff_log_status - what the log says to an append or a read */
typedef enum dff_log_status {
	DFF_LOG_OK,
	DFF_LOG_LIMITED, /* too many appends; no effect */
	DFF_LOG_OUT, /* outage; no effect */
	DFF_LOG_SILENT, /* no answer; it may take effect, even later */
} dff_log_status_t;

/**
 * struct dff_log_entry - one record as a reader gets it
 * @offset: offset
 * @time_ms: platform's wall clock when it was taken
 * @data: its bytes, borrowed
 * @len: how many
 */
typedef struct dff_log_entry {
	uint64_t offset;
	uint64_t time_ms;
	const uint8_t *data;
	size_t len;
} dff_log_entry_t;

/** struct dff_log_range - what a stream holds */
typedef struct dff_log_range {
	uint64_t first; /* first offset retained */
	uint64_t next; /* offset of the next append */
} dff_log_range_t;

/** typedef dff_log_model_t - the log */
typedef struct dff_log_model dff_log_model_t;

/** dff_log_model_new() - an empty log; the caller drops it */
dff_log_model_t *dff_log_model_new(const dff_log_config_t *config);

/** dff_log_model_drop() - free the log; NULL is allowed */
void dff_log_model_drop(dff_log_model_t *log);

/** dff_log_model_config() - its settings, which may be changed */
dff_log_config_t *dff_log_model_config(dff_log_model_t *log);

/** dff_log_model_append() - append a record; @offset is set with DFF_LOG_OK */
dff_log_status_t dff_log_model_append(dff_log_model_t *log, dff_stream_t stream,
    const void *data, size_t len, dff_time_t now, uint64_t *offset);

/** dff_log_model_range() - what a stream holds; not by outage */
dff_log_status_t dff_log_model_range(dff_log_model_t *log, dff_stream_t stream,
    dff_time_t now, dff_log_range_t *range);

/**
 * dff_log_model_get() - a retained record
 *
 * Return: true with @entry set, good until the next append; false if the
 * offset is not retained or not there yet.
 */
bool dff_log_model_get(const dff_log_model_t *log, dff_stream_t stream,
    uint64_t offset, dff_log_entry_t *entry);

/** dff_log_model_next() - when an append lands late, or DFF_TIME_NEVER */
dff_time_t dff_log_model_next(const dff_log_model_t *log);

/** dff_log_model_advance() - land the late appends that are due; returns how
 *	many */
size_t dff_log_model_advance(dff_log_model_t *log, dff_time_t now);

/** dff_log_model_set_outage() - refuse appends, fail reads */
void dff_log_model_set_outage(dff_log_model_t *log, bool appends, bool reads);

/** dff_log_model_lose_answers() - the next appends take effect unanswered */
void dff_log_model_lose_answers(dff_log_model_t *log, uint32_t count);

/** dff_log_model_delay_appends() - the next appends land late, unanswered */
void dff_log_model_delay_appends(
    dff_log_model_t *log, uint32_t count, dff_time_t delay);

/** dff_log_model_appends() - appends that took effect so far */
uint64_t dff_log_model_appends(const dff_log_model_t *log);

#endif
