#include "ctl.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>

/* Largest number of records in one read. */
#define READ_RECORDS 100

static void
clear_record(gpointer data)
{
	ctl_record_t *record = data;

	g_bytes_unref(record->data);
}

ctl_log_t *
ctl_log_new(void)
{
	ctl_log_t *log = g_new0(ctl_log_t, 1);

	log->records = g_array_new(FALSE, TRUE, sizeof(ctl_record_t));
	g_array_set_clear_func(log->records, clear_record);
	log->next = 1;
	/* Verdicts are printed by the subcommands, not logged. */
	log->history_ctx = dff_ctx_new(0, DFF_LOG_ERR, NULL, NULL);
	log->history = dff_history_new(log->history_ctx);
	return log;
}

void
ctl_log_drop(ctl_log_t *log)
{
	if (log == NULL)
		return;
	g_array_unref(log->records);
	dff_history_drop(log->history);
	dff_ctx_drop(log->history_ctx);
	g_free(log);
}

static int
add_record(ctl_log_t *log, const json_t *item)
{
	ctl_record_t record = {.offset = ctl_json_number(item, "offset")};
	const char *text = ctl_json_text(item, "data");
	guchar *data;
	gsize len;

	if (record.offset < log->next)
		return 0;
	if (record.offset == 0)
		return -EIO;
	data = g_base64_decode(text, &len);
	record.time_ms = ctl_json_number(item, "time_ms");
	record.data = g_bytes_new_take(data, len);
	g_array_append_val(log->records, record);
	log->next = record.offset + 1;
	return 0;
}

/* Read one page of records. @head is set to the offset after the stream's
 * last record. */
static int
read_page(ctl_t *ctl, ctl_log_t *log, dff_time_t wait, uint64_t *head)
{
	const json_t *records;
	const json_t *item;
	json_t *page;
	char path[128];
	size_t i;
	int err = 0;

	(void)snprintf(path, sizeof(path),
	    "/log/catalogue?from=%" PRIu64 "&max=%d&wait_ms=%" PRId64,
	    log->next, READ_RECORDS, wait / DFF_MSEC);
	page = ctl_get_json(ctl, ctl->platform, path);
	if (page == NULL)
		return -EIO;
	log->first = ctl_json_number(page, "first");
	*head = ctl_json_number(page, "next");
	records = json_object_get(page, "records");
	if (!json_is_array(records) || *head == 0)
		err = -EIO;
	json_array_foreach(records, i, item)
	{
		if (err == 0)
			err = add_record(log, item);
	}
	json_decref(page);
	return err;
}

/* Load the newest usable snapshot into the history, if there is one. */
static void
load_snapshot(ctl_log_t *log)
{
	for (guint i = 0; i < log->records->len; i++) {
		const ctl_record_t *record =
		    &g_array_index(log->records, ctl_record_t, i);
		gsize len;
		const uint8_t *data = g_bytes_get_data(record->data, &len);

		if (dff_history_load(log->history_ctx, log->history, data, len,
			log->first) == 0)
			log->has_base = true;
	}
}

static void
apply_records(ctl_log_t *log)
{
	for (guint i = 0; i < log->records->len; i++) {
		const ctl_record_t *record =
		    &g_array_index(log->records, ctl_record_t, i);
		gsize len;
		const uint8_t *data = g_bytes_get_data(record->data, &len);

		if (record->offset > dff_history_applied(log->history))
			(void)dff_history_apply(log->history_ctx, log->history,
			    record->offset, data, len, record->time_ms);
	}
}

int
ctl_log_read(ctl_t *ctl, ctl_log_t *log, dff_time_t wait)
{
	uint64_t head = 0;
	int err;

	do {
		uint64_t before = log->next;

		err = read_page(ctl, log, wait, &head);
		if (err < 0)
			return err;
		/* Records that expired between two reads are not returned;
		 * stop if there is no progress. */
		if (log->next == before)
			break;
	} while (log->next < head);
	if (!log->has_base)
		log->has_base = head == 1 ||
		    (log->records->len > 0 &&
			g_array_index(log->records, ctl_record_t, 0).offset ==
			    1);
	if (!log->has_base)
		load_snapshot(log);
	if (!log->has_base)
		return -ENODATA;
	apply_records(log);
	return 0;
}

ctl_log_t *
ctl_log_open(ctl_t *ctl)
{
	ctl_log_t *log = ctl_log_new();
	int err;

	err = ctl_log_read(ctl, log, 0);
	if (err == 0)
		return log;
	if (err == -ENODATA)
		(void)fprintf(stderr,
		    "dff-ctl: the beginning of the catalogue stream has "
		    "expired and no snapshot replaces it\n");
	else
		(void)fprintf(stderr,
		    "dff-ctl: the platform at %s does not answer\n",
		    ctl->platform);
	ctl_log_drop(log);
	return NULL;
}
