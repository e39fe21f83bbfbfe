#include "dragonflyfall/catalogue.h"

#include <errno.h>
#include <string.h>

#include <glib.h>

#include "base/fault.h"
#include "catalogue/edit.h"

static const char *const verdict_names[] = {
    "none", "accepted", "beaten", "bad"};

/* An edit whose verdict is kept. */
typedef struct kept_edit {
	char edit_id[DFF_NAME_MAX];
	uint64_t offset;
	dff_edit_verdict_t verdict;
	uint64_t beaten_by;
} kept_edit_t;

struct dff_history {
	uint64_t applied;
	uint64_t revision;
	uint64_t skipped;
	char *text;
	dff_catalogue_t *cat;
	GQueue *order; /* kept_edit_t, oldest first */
	GHashTable *by_id; /* edit id to the same kept_edit_t */
};

const char *
dff_edit_verdict_name(dff_edit_verdict_t verdict)
{
	return verdict < G_N_ELEMENTS(verdict_names) ? verdict_names[verdict] :
						       "?";
}

dff_history_t *
dff_history_new(dff_ctx_t *ctx)
{
	dff_history_t *history;

	(void)ctx;
	history = g_new0(dff_history_t, 1);
	history->order = g_queue_new();
	history->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return history;
}

void
dff_history_drop(dff_history_t *history)
{
	if (history == NULL)
		return;
	g_hash_table_unref(history->by_id);
	g_queue_free_full(history->order, g_free);
	dff_catalogue_drop(history->cat);
	g_free(history->text);
	g_free(history);
}

static void
keep_edit(dff_history_t *history, const kept_edit_t *kept)
{
	kept_edit_t *copy;

	if (g_queue_get_length(history->order) >= DFF_EDITS_KEPT) {
		kept_edit_t *oldest = g_queue_pop_head(history->order);

		g_hash_table_remove(history->by_id, oldest->edit_id);
		g_free(oldest);
	}
	copy = g_memdup2(kept, sizeof(*kept));
	g_queue_push_tail(history->order, copy);
	g_hash_table_insert(history->by_id, copy->edit_id, copy);
}

static void
drop_edits(dff_history_t *history)
{
	g_hash_table_remove_all(history->by_id);
	g_queue_clear_full(history->order, g_free);
}

/* Put a file in force; takes ownership of the reference @cat. */
static void
set_in_force(dff_history_t *history, uint64_t revision, const char *text,
    dff_catalogue_t *cat)
{
	dff_catalogue_drop(history->cat);
	g_free(history->text);
	history->cat = cat;
	history->text = g_strdup(text);
	history->revision = revision;
}

static int
skip(
    dff_ctx_t *ctx, dff_history_t *history, uint64_t offset, const char *reason)
{
	history->skipped++;
	dff_log(ctx, DFF_LOG_WARNING, "catalogue",
	    "record skipped offset=%llu why=\"%s\"", (unsigned long long)offset,
	    reason);
	return -EINVAL;
}

/* Check an edit that is not a duplicate; sets @cat if it is accepted. */
static dff_edit_verdict_t
check_edit(dff_ctx_t *ctx, const dff_history_t *history,
    const Dff__CatalogueEdit *edit, dff_catalogue_t **cat, char *reason,
    size_t size)
{
	dff_problem_t problem;
	size_t count;

	if (edit->against < history->revision && !DFF_FAULT(EDIT_NOT_CHECKED))
		return DFF_EDIT_BEATEN;
	/* Revisions are offsets of accepted edits, so none can be higher. */
	if (edit->against > history->revision) {
		(void)g_snprintf(reason, size,
		    "edit against revision %llu, which never was in force",
		    (unsigned long long)edit->against);
		return DFF_EDIT_BAD;
	}
	switch (dff_catalogue_load(
	    ctx, edit->text, strlen(edit->text), &problem, 1, &count, cat)) {
	case 0:
		return DFF_EDIT_ACCEPTED;
	case -EFBIG:
		(void)g_snprintf(reason, size, "file of more than %d bytes",
		    DFF_CATALOGUE_BYTES_MAX);
		return DFF_EDIT_BAD;
	default:
		(void)g_snprintf(reason, size, "line %u: [%s] %s: %s",
		    problem.line, problem.group, problem.key, problem.text);
		return DFF_EDIT_BAD;
	}
}

static int
apply_edit(dff_ctx_t *ctx, dff_history_t *history, uint64_t offset,
    const Dff__CatalogueEdit *edit)
{
	kept_edit_t kept = {.offset = offset};
	dff_catalogue_t *cat = NULL;
	char reason[512];

	if (!dff_edit_id_valid(edit->edit_id))
		return skip(ctx, history, offset, "edit id is not valid");
	if (g_hash_table_contains(history->by_id, edit->edit_id)) {
		dff_log(ctx, DFF_LOG_INFO, "catalogue",
		    "duplicate edit ignored offset=%llu edit=%s",
		    (unsigned long long)offset, edit->edit_id);
		return 0;
	}
	(void)dff_name_copy(kept.edit_id, edit->edit_id);
	kept.verdict =
	    check_edit(ctx, history, edit, &cat, reason, sizeof(reason));
	if (kept.verdict == DFF_EDIT_BEATEN)
		kept.beaten_by = history->revision;
	keep_edit(history, &kept);
	if (kept.verdict == DFF_EDIT_BAD)
		return skip(ctx, history, offset, reason);
	dff_log(ctx, DFF_LOG_NOTICE, "catalogue",
	    "edit %s offset=%llu against=%llu edit=%s beaten_by=%llu",
	    dff_edit_verdict_name(kept.verdict), (unsigned long long)offset,
	    (unsigned long long)edit->against, kept.edit_id,
	    (unsigned long long)kept.beaten_by);
	if (kept.verdict == DFF_EDIT_BEATEN)
		return 0;
	set_in_force(history, offset, edit->text, cat);
	return 1;
}

static int
apply_record(dff_ctx_t *ctx, dff_history_t *history, uint64_t offset,
    const Dff__Record *record)
{
	if (record->version == 0 || record->version > DFF_RECORD_VERSION)
		return skip(ctx, history, offset, "version is not known here");
	switch (record->body_case) {
	case DFF__RECORD__BODY_EDIT:
		return apply_edit(ctx, history, offset, record->edit);
	case DFF__RECORD__BODY_CATALOGUE_SNAPSHOT:
		/* Its contents were already applied from earlier records. */
		return 0;
	default:
		return skip(ctx, history, offset, "kind is not known here");
	}
}

int
dff_history_apply(dff_ctx_t *ctx, dff_history_t *history, uint64_t offset,
    const uint8_t *data, size_t len, uint64_t time_ms)
{
	Dff__Record *record;
	int result;

	(void)time_ms;
	if (offset <= history->applied)
		return -EALREADY;
	if (offset > history->applied + 1)
		return -ERANGE;
	history->applied = offset;
	record = dff__record__unpack(NULL, len, data);
	if (record == NULL)
		return skip(ctx, history, offset, "record cannot be decoded");
	result = apply_record(ctx, history, offset, record);
	dff__record__free_unpacked(record, NULL);
	return result;
}

/* Whether a snapshot's edits can result from a prefix of the stream. */
static bool
edits_valid(const Dff__CatalogueSnapshot *snapshot)
{
	uint64_t last = 0;

	if (snapshot->n_edits > DFF_EDITS_KEPT)
		return false;
	for (size_t i = 0; i < snapshot->n_edits; i++) {
		const Dff__EditSeen *edit = snapshot->edits[i];

		if (!dff_edit_id_valid(edit->edit_id) || edit->offset <= last ||
		    edit->offset > snapshot->through)
			return false;
		if (edit->verdict < DFF_EDIT_ACCEPTED ||
		    edit->verdict > DFF_EDIT_BAD)
			return false;
		if (edit->verdict == DFF_EDIT_ACCEPTED &&
		    edit->offset > snapshot->revision)
			return false;
		last = edit->offset;
	}
	return true;
}

static bool
snapshot_valid(
    const dff_history_t *history, const Dff__CatalogueSnapshot *snapshot)
{
	if (snapshot->hash != dff_snapshot_hash(snapshot))
		return false;
	if (snapshot->revision > snapshot->through ||
	    snapshot->revision < history->revision)
		return false;
	if ((snapshot->revision == 0) != (*snapshot->text == '\0'))
		return false;
	return edits_valid(snapshot);
}

static void
load_edits(dff_history_t *history, const Dff__CatalogueSnapshot *snapshot)
{
	drop_edits(history);
	for (size_t i = 0; i < snapshot->n_edits; i++) {
		const Dff__EditSeen *edit = snapshot->edits[i];
		kept_edit_t kept = {
		    .offset = edit->offset,
		    .verdict = (dff_edit_verdict_t)edit->verdict,
		    .beaten_by = edit->beaten_by,
		};

		(void)dff_name_copy(kept.edit_id, edit->edit_id);
		keep_edit(history, &kept);
	}
}

static int
load_snapshot(dff_ctx_t *ctx, dff_history_t *history,
    const Dff__CatalogueSnapshot *snapshot, uint64_t first)
{
	dff_catalogue_t *cat = NULL;
	dff_problem_t problem;
	size_t count;

	if (snapshot->through <= history->applied &&
	    !DFF_FAULT(OLDER_SNAPSHOT_WINS))
		return -EALREADY;
	if (!snapshot_valid(history, snapshot))
		return -EINVAL;
	if (first > snapshot->through + 1)
		return -ERANGE;
	if (snapshot->revision > history->revision) {
		if (dff_catalogue_load(ctx, snapshot->text,
			strlen(snapshot->text), &problem, 1, &count, &cat) < 0)
			return -EINVAL;
		set_in_force(history, snapshot->revision, snapshot->text, cat);
	}
	load_edits(history, snapshot);
	history->applied = snapshot->through;
	dff_log(ctx, DFF_LOG_NOTICE, "catalogue",
	    "snapshot loaded through=%llu revision=%llu",
	    (unsigned long long)snapshot->through,
	    (unsigned long long)snapshot->revision);
	return 0;
}

int
dff_history_load(dff_ctx_t *ctx, dff_history_t *history, const uint8_t *data,
    size_t len, uint64_t first)
{
	Dff__Record *record;
	int err = -EINVAL;

	record = dff__record__unpack(NULL, len, data);
	if (record == NULL)
		return -EINVAL;
	if (record->body_case == DFF__RECORD__BODY_CATALOGUE_SNAPSHOT &&
	    record->version > 0 && record->version <= DFF_RECORD_VERSION)
		err = load_snapshot(
		    ctx, history, record->catalogue_snapshot, first);
	dff__record__free_unpacked(record, NULL);
	return err;
}

/* Fills @rows with the kept edits; the ids are borrowed from the state. */
static Dff__EditSeen **
edits_of(const dff_history_t *history, Dff__EditSeen *rows)
{
	Dff__EditSeen **edits = g_new0(Dff__EditSeen *, DFF_EDITS_KEPT);
	size_t i = 0;

	for (GList *at = history->order->head; at != NULL; at = at->next) {
		kept_edit_t *kept = at->data;

		dff__edit_seen__init(&rows[i]);
		rows[i].edit_id = kept->edit_id;
		rows[i].offset = kept->offset;
		rows[i].verdict = kept->verdict;
		rows[i].beaten_by = kept->beaten_by;
		edits[i] = &rows[i];
		i++;
	}
	return edits;
}

int
dff_history_save(dff_ctx_t *ctx, const dff_history_t *history,
    const char *writer, uint64_t incarnation, uint8_t **data)
{
	Dff__Record record = DFF__RECORD__INIT;
	Dff__CatalogueSnapshot body = DFF__CATALOGUE_SNAPSHOT__INIT;
	Dff__EditSeen *rows;
	char *name;
	int len;

	(void)ctx;
	*data = NULL;
	if (history->applied == 0)
		return -ENODATA;
	rows = g_new0(Dff__EditSeen, DFF_EDITS_KEPT);
	name = g_strdup(writer);
	body.through = history->applied;
	body.revision = history->revision;
	if (history->text != NULL)
		body.text = history->text;
	body.edits = edits_of(history, rows);
	body.n_edits = g_queue_get_length(history->order);
	body.hash = dff_snapshot_hash(&body);
	record.version = DFF_RECORD_VERSION;
	record.writer = name;
	record.incarnation = incarnation;
	record.body_case = DFF__RECORD__BODY_CATALOGUE_SNAPSHOT;
	record.catalogue_snapshot = &body;
	len = dff_record_pack(&record, data);
	g_free(body.edits);
	g_free(rows);
	g_free(name);
	return len;
}

uint64_t
dff_history_applied(const dff_history_t *history)
{
	return history->applied;
}

uint64_t
dff_history_revision(const dff_history_t *history)
{
	return history->revision;
}

dff_catalogue_t *
dff_history_catalogue(const dff_history_t *history)
{
	return history->cat;
}

const char *
dff_history_text(const dff_history_t *history)
{
	return history->text;
}

dff_edit_verdict_t
dff_history_find(const dff_history_t *history, const char *edit_id,
    uint64_t *offset, uint64_t *beaten_by)
{
	const kept_edit_t *kept;

	*offset = 0;
	*beaten_by = 0;
	kept = g_hash_table_lookup(history->by_id, edit_id);
	if (kept == NULL)
		return DFF_EDIT_NONE;
	*offset = kept->offset;
	*beaten_by = kept->beaten_by;
	return kept->verdict;
}

uint64_t
dff_history_skipped(const dff_history_t *history)
{
	return history->skipped;
}

int
dff_history_rebase(dff_history_t *history, uint64_t applied)
{
	if (history->applied != 0)
		return -EALREADY;
	history->applied = applied;
	return 0;
}
