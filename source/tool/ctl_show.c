#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "proto/dragonflyfall.pb-c.h"

/* ---- show ---- */

/* Text of the edit if it was accepted as @revision, else NULL. */
static char *
edit_text(const ctl_log_t *log, const Dff__CatalogueEdit *edit, uint64_t offset,
    uint64_t revision)
{
	uint64_t found;
	uint64_t beaten_by;

	if (offset != revision)
		return NULL;
	if (dff_history_find(log->history, edit->edit_id, &found, &beaten_by) !=
		DFF_EDIT_ACCEPTED ||
	    found != offset)
		return NULL;
	return g_strdup(edit->text);
}

static char *
record_text(const ctl_log_t *log, const ctl_record_t *item, uint64_t revision)
{
	Dff__Record *record;
	char *text = NULL;
	gsize len;
	const uint8_t *data = g_bytes_get_data(item->data, &len);

	record = dff__record__unpack(NULL, len, data);
	if (record == NULL)
		return NULL;
	if (record->body_case == DFF__RECORD__BODY_EDIT)
		text = edit_text(log, record->edit, item->offset, revision);
	else if (record->body_case == DFF__RECORD__BODY_CATALOGUE_SNAPSHOT &&
	    record->catalogue_snapshot->revision == revision)
		text = g_strdup(record->catalogue_snapshot->text);
	dff__record__free_unpacked(record, NULL);
	return text;
}

/* Catalogue file of a revision, which the caller frees, or NULL. */
static char *
revision_text(const ctl_log_t *log, uint64_t revision)
{
	if (revision == dff_history_revision(log->history))
		return g_strdup(dff_history_text(log->history));
	for (guint i = 0; i < log->records->len; i++) {
		char *text = record_text(log,
		    &g_array_index(log->records, ctl_record_t, i), revision);

		if (text != NULL)
			return text;
	}
	return NULL;
}

int
ctl_show(ctl_t *ctl)
{
	ctl_log_t *log = ctl_log_open(ctl);
	uint64_t revision;
	char *text;

	if (log == NULL)
		return CTL_UNDECIDED;
	revision = ctl->revision > 0 ? (uint64_t)ctl->revision :
				       dff_history_revision(log->history);
	text = revision > 0 ? revision_text(log, revision) : NULL;
	if (revision == 0)
		(void)fprintf(stderr, "no revision is in force yet\n");
	else if (text == NULL)
		(void)fprintf(stderr,
		    "revision %" PRIu64 " is not in the log: it never was in "
		    "force, or it has expired\n",
		    revision);
	else {
		(void)fprintf(stderr, "revision %" PRIu64 "\n", revision);
		(void)fputs(text, stdout);
	}
	ctl_log_drop(log);
	if (text == NULL)
		return CTL_NOT_FOUND;
	g_free(text);
	return CTL_OK;
}

/* ---- history ---- */

static void
format_time(uint64_t ms, char *text, size_t size)
{
	time_t seconds = (time_t)(ms / 1000);
	struct tm tm;

	if (gmtime_r(&seconds, &tm) == NULL ||
	    strftime(text, size, "%Y-%m-%dT%H:%M:%SZ", &tm) == 0)
		(void)g_strlcpy(text, "?", size);
}

/* Verdict on the edit in a record. A repeat of an earlier edit shows the
 * offset of the record that counts. */
static void
format_verdict(const ctl_log_t *log, const Dff__CatalogueEdit *edit,
    uint64_t offset, char *text, size_t size)
{
	dff_edit_verdict_t verdict;
	uint64_t found;
	uint64_t beaten_by;

	verdict =
	    dff_history_find(log->history, edit->edit_id, &found, &beaten_by);
	if (verdict == DFF_EDIT_NONE)
		(void)g_strlcpy(text, "forgotten", size);
	else if (found != offset)
		(void)g_snprintf(
		    text, (gulong)size, "repeat of %" PRIu64, found);
	else if (verdict == DFF_EDIT_BEATEN)
		(void)g_snprintf(
		    text, (gulong)size, "beaten by %" PRIu64, beaten_by);
	else if (offset == dff_history_revision(log->history))
		(void)g_strlcpy(text, "in force", size);
	else
		(void)g_strlcpy(text, dff_edit_verdict_name(verdict), size);
}

static void
print_edit(const ctl_log_t *log, const ctl_record_t *item,
    const Dff__CatalogueEdit *edit)
{
	char verdict[48];
	char time_text[32];

	format_time(item->time_ms, time_text, sizeof(time_text));
	format_verdict(log, edit, item->offset, verdict, sizeof(verdict));
	(void)printf("%8" PRIu64 " %-20s %8" PRIu64 " %-16s %-12s %s %s\n",
	    item->offset, time_text, edit->against, verdict, edit->author,
	    edit->edit_id, edit->note);
}

static void
print_record(const ctl_log_t *log, const ctl_record_t *item)
{
	Dff__Record *record;
	gsize len;
	const uint8_t *data = g_bytes_get_data(item->data, &len);

	record = dff__record__unpack(NULL, len, data);
	if (record == NULL) {
		(void)printf("%8" PRIu64 " cannot be decoded, skipped by every "
			     "node; %zu bytes\n",
		    item->offset, (size_t)len);
		return;
	}
	if (record->body_case == DFF__RECORD__BODY_EDIT)
		print_edit(log, item, record->edit);
	else if (record->body_case != DFF__RECORD__BODY_CATALOGUE_SNAPSHOT)
		(void)printf("%8" PRIu64 " is of unknown kind, skipped by "
			     "every node\n",
		    item->offset);
	dff__record__free_unpacked(record, NULL);
}

int
ctl_history(ctl_t *ctl)
{
	ctl_log_t *log = ctl_log_open(ctl);

	if (log == NULL)
		return CTL_UNDECIDED;
	(void)printf("%8s %-20s %8s %-16s %-12s %s\n", "offset", "time",
	    "against", "verdict", "author", "edit-id note");
	for (guint i = 0; i < log->records->len; i++)
		print_record(
		    log, &g_array_index(log->records, ctl_record_t, i));
	(void)printf("revision in force: %" PRIu64 "\n",
	    dff_history_revision(log->history));
	ctl_log_drop(log);
	return CTL_OK;
}
