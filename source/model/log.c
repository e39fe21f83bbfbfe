/*
 * The log model.
 */
#include "dragonflyfall/model_log.h"

#include <string.h>

#include <glib.h>

typedef struct record {
	uint64_t offset;
	dff_time_t at;
	GBytes *bytes;
} record_t;

typedef struct stream {
	GArray *records; /* record_t; retained ones, oldest first */
	uint64_t next;
} stream_t;

typedef struct late {
	dff_stream_t stream;
	dff_time_t at;
	GBytes *bytes;
} late_t;

struct dff_log_model {
	dff_log_config_t config;
	stream_t streams[DFF_STREAM_COUNT];
	GArray *late; /* late_t, as they came */
	bool appends_out;
	bool reads_out;
	uint32_t lose;
	uint32_t delay_count;
	dff_time_t delay;
	double tokens;
	dff_time_t filled;
	uint64_t appends;
};

void
dff_log_config_defaults(dff_log_config_t *config)
{
	config->append_rate = 400;
	config->append_burst = 100;
	config->retention = 3600 * DFF_SEC;
	config->wall_ms = 1700000000000ULL;
}

static void
clear_record(gpointer data)
{
	record_t *record = data;

	g_bytes_unref(record->bytes);
}

static void
clear_late(gpointer data)
{
	late_t *late = data;

	g_bytes_unref(late->bytes);
}

dff_log_model_t *
dff_log_model_new(const dff_log_config_t *config)
{
	dff_log_model_t *log;

	log = g_new0(dff_log_model_t, 1);
	log->config = *config;
	log->tokens = config->append_burst;
	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		GArray *records;

		records = g_array_new(FALSE, FALSE, sizeof(record_t));
		g_array_set_clear_func(records, clear_record);
		log->streams[i].records = records;
		log->streams[i].next = 1;
	}
	log->late = g_array_new(FALSE, FALSE, sizeof(late_t));
	g_array_set_clear_func(log->late, clear_late);
	return log;
}

void
dff_log_model_drop(dff_log_model_t *log)
{
	if (log == NULL)
		return;
	for (int i = 0; i < DFF_STREAM_COUNT; i++)
		g_array_unref(log->streams[i].records);
	g_array_unref(log->late);
	g_free(log);
}

dff_log_config_t *
dff_log_model_config(dff_log_model_t *log)
{
	return &log->config;
}

static void
forget_old(dff_log_model_t *log, stream_t *stream, dff_time_t now)
{
	guint old = 0;

	while (old < stream->records->len) {
		const record_t *record;

		record = &g_array_index(stream->records, record_t, old);
		if (record->at + log->config.retention > now)
			break;
		old++;
	}
	if (old > 0)
		g_array_remove_range(stream->records, 0, old);
}

static uint64_t
land(dff_log_model_t *log, dff_stream_t which, GBytes *bytes, dff_time_t now)
{
	stream_t *stream = &log->streams[which];
	record_t record = {.offset = stream->next++, .at = now};

	record.bytes = bytes;
	g_array_append_val(stream->records, record);
	log->appends++;
	return record.offset;
}

static bool
take_token(dff_log_model_t *log, dff_time_t now)
{
	double elapsed = (double)(now - log->filled) / (double)DFF_SEC;

	if (elapsed > 0) {
		log->tokens = MIN(log->config.append_burst,
		    log->tokens + elapsed * log->config.append_rate);
		log->filled = now;
	}
	if (log->tokens < 1)
		return false;
	log->tokens -= 1;
	return true;
}

dff_log_status_t
dff_log_model_append(dff_log_model_t *log, dff_stream_t stream,
    const void *data, size_t len, dff_time_t now, uint64_t *offset)
{
	GBytes *bytes;

	if (log->appends_out)
		return DFF_LOG_OUT;
	if (!take_token(log, now))
		return DFF_LOG_LIMITED;
	bytes = g_bytes_new(data, len);
	if (log->delay_count > 0) {
		late_t late = {.stream = stream, .at = now + log->delay};

		log->delay_count--;
		late.bytes = bytes;
		g_array_append_val(log->late, late);
		return DFF_LOG_SILENT;
	}
	*offset = land(log, stream, bytes, now);
	if (log->lose == 0)
		return DFF_LOG_OK;
	log->lose--;
	return DFF_LOG_SILENT;
}

dff_log_status_t
dff_log_model_range(dff_log_model_t *log, dff_stream_t which, dff_time_t now,
    dff_log_range_t *range)
{
	stream_t *stream = &log->streams[which];

	if (log->reads_out)
		return DFF_LOG_OUT;
	forget_old(log, stream, now);
	range->next = stream->next;
	range->first = stream->next - stream->records->len;
	return DFF_LOG_OK;
}

bool
dff_log_model_get(const dff_log_model_t *log, dff_stream_t which,
    uint64_t offset, dff_log_entry_t *entry)
{
	const stream_t *stream = &log->streams[which];
	uint64_t first = stream->next - stream->records->len;
	const record_t *record;

	if (offset < first || offset >= stream->next)
		return false;
	record = &g_array_index(stream->records, record_t, offset - first);
	entry->offset = offset;
	entry->time_ms =
	    log->config.wall_ms + (uint64_t)(record->at / DFF_MSEC);
	entry->data = g_bytes_get_data(record->bytes, &entry->len);
	return true;
}

dff_time_t
dff_log_model_next(const dff_log_model_t *log)
{
	dff_time_t next = DFF_TIME_NEVER;

	for (guint i = 0; i < log->late->len; i++)
		next = MIN(next, g_array_index(log->late, late_t, i).at);
	return next;
}

size_t
dff_log_model_advance(dff_log_model_t *log, dff_time_t now)
{
	size_t landed = 0;
	guint i = 0;

	while (i < log->late->len) {
		const late_t *late = &g_array_index(log->late, late_t, i);

		if (late->at > now) {
			i++;
			continue;
		}
		land(log, late->stream, g_bytes_ref(late->bytes), now);
		g_array_remove_index(log->late, i);
		landed++;
	}
	return landed;
}

void
dff_log_model_set_outage(dff_log_model_t *log, bool appends, bool reads)
{
	log->appends_out = appends;
	log->reads_out = reads;
}

void
dff_log_model_lose_answers(dff_log_model_t *log, uint32_t count)
{
	log->lose = count;
}

void
dff_log_model_delay_appends(
    dff_log_model_t *log, uint32_t count, dff_time_t delay)
{
	log->delay_count = count;
	log->delay = delay;
}

uint64_t
dff_log_model_appends(const dff_log_model_t *log)
{
	return log->appends;
}
