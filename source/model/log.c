/*
 * Simulation of the platform's log.
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
	GArray *records; /* retained record_t, oldest first */
	uint64_t next_offset;
} stream_t;

typedef struct delayed {
	dff_stream_t stream;
	dff_time_t at;
	GBytes *bytes;
} delayed_t;

struct dff_log_model {
	dff_log_config_t config;
	stream_t streams[DFF_STREAM_COUNT];
	GArray *delayed; /* delayed_t, in order of arrival */
	bool append_outage;
	bool read_outage;
	uint32_t answers_to_lose;
	uint32_t appends_to_delay;
	dff_time_t delay;
	double tokens;
	dff_time_t refilled_at;
	uint64_t append_count;
};

void
dff_log_config_defaults(dff_log_config_t *config)
{
	config->append_rate = 400;
	config->append_burst = 100;
	config->retention = 3600 * DFF_SEC;
	config->wall_start_ms = 1700000000000ULL;
}

static void
clear_record(gpointer data)
{
	record_t *record = data;

	g_bytes_unref(record->bytes);
}

static void
clear_delayed(gpointer data)
{
	delayed_t *delayed = data;

	g_bytes_unref(delayed->bytes);
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
		log->streams[i].next_offset = 1;
	}
	log->delayed = g_array_new(FALSE, FALSE, sizeof(delayed_t));
	g_array_set_clear_func(log->delayed, clear_delayed);
	return log;
}

void
dff_log_model_drop(dff_log_model_t *log)
{
	if (log == NULL)
		return;
	for (int i = 0; i < DFF_STREAM_COUNT; i++)
		g_array_unref(log->streams[i].records);
	g_array_unref(log->delayed);
	g_free(log);
}

dff_log_config_t *
dff_log_model_config(dff_log_model_t *log)
{
	return &log->config;
}

static void
drop_expired(dff_log_model_t *log, stream_t *stream, dff_time_t now)
{
	guint expired = 0;

	while (expired < stream->records->len) {
		const record_t *record;

		record = &g_array_index(stream->records, record_t, expired);
		if (record->at + log->config.retention > now)
			break;
		expired++;
	}
	if (expired > 0)
		g_array_remove_range(stream->records, 0, expired);
}

static uint64_t
store_record(
    dff_log_model_t *log, dff_stream_t stream_id, GBytes *bytes, dff_time_t now)
{
	stream_t *stream = &log->streams[stream_id];
	record_t record = {.offset = stream->next_offset++, .at = now};

	record.bytes = bytes;
	g_array_append_val(stream->records, record);
	log->append_count++;
	return record.offset;
}

static bool
consume_token(dff_log_model_t *log, dff_time_t now)
{
	double elapsed = (double)(now - log->refilled_at) / (double)DFF_SEC;

	if (elapsed > 0) {
		log->tokens = MIN(log->config.append_burst,
		    log->tokens + elapsed * log->config.append_rate);
		log->refilled_at = now;
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

	if (log->append_outage)
		return DFF_LOG_UNAVAILABLE;
	if (!consume_token(log, now))
		return DFF_LOG_RATE_LIMITED;
	bytes = g_bytes_new(data, len);
	if (log->appends_to_delay > 0) {
		delayed_t delayed = {.stream = stream, .at = now + log->delay};

		log->appends_to_delay--;
		delayed.bytes = bytes;
		g_array_append_val(log->delayed, delayed);
		return DFF_LOG_NO_ANSWER;
	}
	*offset = store_record(log, stream, bytes, now);
	if (log->answers_to_lose == 0)
		return DFF_LOG_OK;
	log->answers_to_lose--;
	return DFF_LOG_NO_ANSWER;
}

dff_log_status_t
dff_log_model_range(dff_log_model_t *log, dff_stream_t stream_id,
    dff_time_t now, dff_log_range_t *range)
{
	stream_t *stream = &log->streams[stream_id];

	if (log->read_outage)
		return DFF_LOG_UNAVAILABLE;
	drop_expired(log, stream, now);
	range->next = stream->next_offset;
	range->first = stream->next_offset - stream->records->len;
	return DFF_LOG_OK;
}

bool
dff_log_model_get(const dff_log_model_t *log, dff_stream_t stream_id,
    uint64_t offset, dff_log_entry_t *entry)
{
	const stream_t *stream = &log->streams[stream_id];
	uint64_t first = stream->next_offset - stream->records->len;
	const record_t *record;

	if (offset < first || offset >= stream->next_offset)
		return false;
	record = &g_array_index(stream->records, record_t, offset - first);
	entry->offset = offset;
	entry->time_ms =
	    log->config.wall_start_ms + (uint64_t)(record->at / DFF_MSEC);
	entry->data = g_bytes_get_data(record->bytes, &entry->len);
	return true;
}

dff_time_t
dff_log_model_next(const dff_log_model_t *log)
{
	dff_time_t next = DFF_TIME_NEVER;

	for (guint i = 0; i < log->delayed->len; i++)
		next = MIN(next, g_array_index(log->delayed, delayed_t, i).at);
	return next;
}

size_t
dff_log_model_advance(dff_log_model_t *log, dff_time_t now)
{
	size_t stored = 0;
	guint i = 0;

	while (i < log->delayed->len) {
		const delayed_t *delayed =
		    &g_array_index(log->delayed, delayed_t, i);

		if (delayed->at > now) {
			i++;
			continue;
		}
		store_record(
		    log, delayed->stream, g_bytes_ref(delayed->bytes), now);
		g_array_remove_index(log->delayed, i);
		stored++;
	}
	return stored;
}

void
dff_log_model_set_outage(dff_log_model_t *log, bool appends, bool reads)
{
	log->append_outage = appends;
	log->read_outage = reads;
}

void
dff_log_model_lose_answers(dff_log_model_t *log, uint32_t count)
{
	log->answers_to_lose = count;
}

void
dff_log_model_delay_appends(
    dff_log_model_t *log, uint32_t count, dff_time_t delay)
{
	log->appends_to_delay = count;
	log->delay = delay;
}

uint64_t
dff_log_model_append_count(const dff_log_model_t *log)
{
	return log->append_count;
}
