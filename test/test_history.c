#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "dragonflyfall/catalogue.h"
#include "proto/dragonflyfall.pb-c.h"

#define FILE_FORMAT "[dragonflyfall]\nformat=1\n# %s\n"
#define BAD_FILE    "[dragonflyfall]\nformat=one\n"

/* Rounds of the random tests, and records in each. */
#define ROUNDS	150
#define RECORDS 120

typedef struct log_record {
	uint8_t *data;
	size_t len;
} log_record_t;

/* A stream of the platform's log; offset 1 is at index 0. */
typedef struct stream {
	GArray *records;
} stream_t;

static dff_ctx_t *ctx;
static stream_t stream;
static dff_history_t *history;

static void
stream_init(stream_t *s)
{
	s->records = g_array_new(FALSE, TRUE, sizeof(log_record_t));
}

static void
stream_drop(stream_t *s)
{
	for (guint i = 0; i < s->records->len; i++)
		free(g_array_index(s->records, log_record_t, i).data);
	g_array_unref(s->records);
}

static uint64_t
append(stream_t *s, uint8_t *data, size_t len)
{
	log_record_t record = {data, len};

	g_array_append_val(s->records, record);
	return s->records->len;
}

static uint64_t
append_edit(stream_t *s, const char *id, uint64_t against, const char *text)
{
	dff_edit_t edit = {
	    .edit_id = id, .against = against, .text = text, .author = "kim"};
	uint8_t *data;
	int len;

	len = dff_edit_pack(&edit, &data);
	ck_assert_int_gt(len, 0);
	return append(s, data, (size_t)len);
}

static uint64_t
append_named(stream_t *s, const char *id, uint64_t against, const char *name)
{
	char *text = g_strdup_printf(FILE_FORMAT, name);
	uint64_t offset;

	offset = append_edit(s, id, against, text);
	g_free(text);
	return offset;
}

static int
apply_at(dff_history_t *replica, const stream_t *s, uint64_t offset)
{
	const log_record_t *record =
	    &g_array_index(s->records, log_record_t, offset - 1);

	return dff_history_apply(
	    ctx, replica, offset, record->data, record->len, offset * 1000);
}

static int
load_at(
    dff_history_t *replica, const stream_t *s, uint64_t offset, uint64_t first)
{
	const log_record_t *record =
	    &g_array_index(s->records, log_record_t, offset - 1);

	return dff_history_load(ctx, replica, record->data, record->len, first);
}

static void
apply_all(dff_history_t *replica, const stream_t *s)
{
	for (uint64_t offset = dff_history_applied(replica) + 1;
	     offset <= s->records->len; offset++)
		ck_assert_int_ne(apply_at(replica, s, offset), -ERANGE);
}

static uint64_t
append_snapshot(stream_t *s, const dff_history_t *replica, const char *writer)
{
	uint8_t *data;
	int len;

	len = dff_history_save(ctx, replica, writer, 7, &data);
	ck_assert_int_gt(len, 0);
	return append(s, data, (size_t)len);
}

static void
expect_verdict(const dff_history_t *replica, const char *id,
    dff_edit_verdict_t verdict, uint64_t offset, uint64_t beaten_by)
{
	uint64_t found_offset;
	uint64_t found_beaten_by;

	ck_assert_int_eq(
	    dff_history_find(replica, id, &found_offset, &found_beaten_by),
	    verdict);
	ck_assert_uint_eq(found_offset, offset);
	ck_assert_uint_eq(found_beaten_by, beaten_by);
}

/* Compare states by their snapshots, which depend on the state only. */
static void
expect_same(const dff_history_t *left, const dff_history_t *right)
{
	uint8_t *first;
	uint8_t *second;
	int len;

	len = dff_history_save(ctx, left, "w", 1, &first);
	ck_assert_int_eq(dff_history_save(ctx, right, "w", 1, &second), len);
	if (len > 0)
		ck_assert_int_eq(memcmp(first, second, (size_t)len), 0);
	free(first);
	free(second);
}

static void
setup(void)
{
	ctx = dff_ctx_new(20, DFF_LOG_DEBUG, NULL, NULL);
	stream_init(&stream);
	history = dff_history_new(ctx);
}

static void
teardown(void)
{
	dff_history_drop(history);
	stream_drop(&stream);
	dff_ctx_drop(ctx);
}

START_TEST(first_of_two_edits_is_accepted)
{
	append_named(&stream, "first", 0, "a");
	append_named(&stream, "north", 1, "b");
	append_named(&stream, "south", 1, "c");
	ck_assert_int_eq(apply_at(history, &stream, 1), 1);
	ck_assert_int_eq(apply_at(history, &stream, 2), 1);
	ck_assert_int_eq(apply_at(history, &stream, 3), 0);
	ck_assert_uint_eq(dff_history_revision(history), 2);
	ck_assert_str_eq(
	    dff_history_text(history), "[dragonflyfall]\nformat=1\n# b\n");
	expect_verdict(history, "north", DFF_EDIT_ACCEPTED, 2, 0);
	expect_verdict(history, "south", DFF_EDIT_BEATEN, 3, 2);
	expect_verdict(history, "west", DFF_EDIT_NONE, 0, 0);
	ck_assert_ptr_nonnull(dff_history_catalogue(history));
	ck_assert_uint_eq(dff_history_skipped(history), 0);
}
END_TEST

START_TEST(duplicate_edit_is_ignored)
{
	append_named(&stream, "one", 0, "a");
	append_named(&stream, "one", 0, "a");
	append_named(&stream, "two", 1, "b");
	append_named(&stream, "one", 0, "a");
	/* Also ignored with another base and another file. */
	append_named(&stream, "one", 3, "c");
	apply_all(history, &stream);
	ck_assert_uint_eq(dff_history_revision(history), 3);
	expect_verdict(history, "one", DFF_EDIT_ACCEPTED, 1, 0);
	expect_verdict(history, "two", DFF_EDIT_ACCEPTED, 3, 0);
}
END_TEST

START_TEST(duplicate_of_dropped_edit_is_beaten)
{
	uint64_t last;
	char id[32];

	append_named(&stream, "first", 0, "a");
	append_named(&stream, "second", 1, "b");
	for (int i = 0; i < DFF_EDITS_KEPT; i++) {
		(void)g_snprintf(id, sizeof(id), "late-%d", i);
		append_named(&stream, id, 0, "c");
	}
	last = append_named(&stream, "first", 0, "a");
	apply_all(history, &stream);
	ck_assert_uint_eq(dff_history_revision(history), 2);
	expect_verdict(history, "first", DFF_EDIT_BEATEN, last, 2);
	expect_verdict(history, "second", DFF_EDIT_NONE, 0, 0);
}
END_TEST

START_TEST(edit_base_must_be_in_force)
{
	append_named(&stream, "early", 5, "a");
	append_named(&stream, "one", 0, "b");
	append_named(&stream, "gap", 1, "c");
	apply_all(history, &stream);
	ck_assert_uint_eq(dff_history_revision(history), 2);
	expect_verdict(history, "early", DFF_EDIT_BAD, 1, 0);
	expect_verdict(history, "gap", DFF_EDIT_BEATEN, 3, 2);
	ck_assert_uint_eq(dff_history_skipped(history), 1);
}
END_TEST

START_TEST(bad_file_leaves_previous_in_force)
{
	append_named(&stream, "one", 0, "a");
	append_edit(&stream, "two", 1, BAD_FILE);
	append_named(&stream, "three", 1, "b");
	ck_assert_int_eq(apply_at(history, &stream, 1), 1);
	ck_assert_int_eq(apply_at(history, &stream, 2), -EINVAL);
	ck_assert_uint_eq(dff_history_applied(history), 2);
	ck_assert_uint_eq(dff_history_revision(history), 1);
	ck_assert_int_eq(apply_at(history, &stream, 3), 1);
	expect_verdict(history, "two", DFF_EDIT_BAD, 2, 0);
	ck_assert_uint_eq(dff_history_skipped(history), 1);
}
END_TEST

START_TEST(offsets_are_applied_once_and_in_order)
{
	append_named(&stream, "one", 0, "a");
	append_named(&stream, "two", 1, "b");
	append_named(&stream, "three", 2, "c");
	ck_assert_int_eq(apply_at(history, &stream, 2), -ERANGE);
	ck_assert_uint_eq(dff_history_applied(history), 0);
	ck_assert_int_eq(apply_at(history, &stream, 1), 1);
	ck_assert_int_eq(apply_at(history, &stream, 3), -ERANGE);
	ck_assert_int_eq(apply_at(history, &stream, 1), -EALREADY);
	ck_assert_int_eq(apply_at(history, &stream, 2), 1);
	ck_assert_int_eq(apply_at(history, &stream, 1), -EALREADY);
	ck_assert_uint_eq(dff_history_revision(history), 2);
}
END_TEST

static void
append_raw(const Dff__Record *record, const void *tail, size_t tail_len)
{
	size_t len = dff__record__get_packed_size(record);
	uint8_t *data = malloc(len + tail_len);

	(void)dff__record__pack(record, data);
	memcpy(data + len, tail, tail_len);
	append(&stream, data, len + tail_len);
}

START_TEST(unsupported_records_are_skipped)
{
	Dff__Record record = DFF__RECORD__INIT;
	Dff__Lease lease = DFF__LEASE__INIT;
	Dff__CatalogueEdit edit = DFF__CATALOGUE_EDIT__INIT;
	char id[] = "later";
	char text[] = "[dragonflyfall]\nformat=1\n";
	uint8_t *garbage = malloc(4);

	memcpy(garbage, "\xff\xff\xff\xff", 4);
	append(&stream, garbage, 4);
	append(&stream, NULL, 0);
	record.version = 1;
	append_raw(&record, "", 0);
	record.body_case = DFF__RECORD__BODY_LEASE_CLAIM;
	record.lease_claim = &lease;
	append_raw(&record, "", 0);
	edit.edit_id = id;
	edit.text = text;
	record.version = 2;
	record.body_case = DFF__RECORD__BODY_EDIT;
	record.edit = &edit;
	append_raw(&record, "", 0);
	id[0] = ' ';
	record.version = 1;
	append_raw(&record, "", 0);
	for (uint64_t at = 1; at <= 6; at++) {
		ck_assert_int_eq(apply_at(history, &stream, at), -EINVAL);
		ck_assert_uint_eq(dff_history_applied(history), at);
		ck_assert_uint_eq(dff_history_skipped(history), at);
	}
	ck_assert_uint_eq(dff_history_revision(history), 0);
	ck_assert_ptr_null(dff_history_catalogue(history));
}
END_TEST

START_TEST(unknown_fields_are_ignored)
{
	static const uint8_t field_900_varint[] = {0xa0, 0x38, 0x05};
	Dff__Record record = DFF__RECORD__INIT;
	Dff__CatalogueEdit edit = DFF__CATALOGUE_EDIT__INIT;
	char id[] = "one";
	char text[] = "[dragonflyfall]\nformat=1\n";

	edit.edit_id = id;
	edit.text = text;
	record.version = 1;
	record.body_case = DFF__RECORD__BODY_EDIT;
	record.edit = &edit;
	append_raw(&record, field_900_varint, sizeof(field_900_varint));
	ck_assert_int_eq(apply_at(history, &stream, 1), 1);
}
END_TEST

START_TEST(snapshot_replaces_expired_records)
{
	dff_history_t *restored = dff_history_new(ctx);
	uint64_t at;

	append_named(&stream, "one", 0, "a");
	append_named(&stream, "two", 1, "b");
	append_named(&stream, "lost", 1, "c");
	append_edit(&stream, "bad", 2, BAD_FILE);
	apply_all(history, &stream);
	at = append_snapshot(&stream, history, "vm-1");
	append_named(&stream, "lost", 2, "d");
	append_named(&stream, "five", 2, "e");
	apply_all(history, &stream);
	/* Records 1 to 3 have expired. */
	ck_assert_int_eq(apply_at(restored, &stream, 4), -ERANGE);
	ck_assert_int_eq(load_at(restored, &stream, at, 4), 0);
	ck_assert_uint_eq(dff_history_applied(restored), 4);
	ck_assert_uint_eq(dff_history_revision(restored), 2);
	expect_verdict(restored, "lost", DFF_EDIT_BEATEN, 3, 2);
	expect_verdict(restored, "bad", DFF_EDIT_BAD, 4, 0);
	apply_all(restored, &stream);
	expect_same(history, restored);
	expect_verdict(restored, "five", DFF_EDIT_ACCEPTED, 7, 0);
	dff_history_drop(restored);
}
END_TEST

START_TEST(snapshot_must_reach_first_retained_record)
{
	dff_history_t *restored = dff_history_new(ctx);
	uint64_t at;

	append_named(&stream, "one", 0, "a");
	apply_all(history, &stream);
	at = append_snapshot(&stream, history, "vm-1");
	ck_assert_int_eq(load_at(restored, &stream, at, 3), -ERANGE);
	ck_assert_uint_eq(dff_history_applied(restored), 0);
	ck_assert_ptr_null(dff_history_text(restored));
	ck_assert_int_eq(load_at(restored, &stream, at, 2), 0);
	ck_assert_int_eq(load_at(restored, &stream, at, 2), -EALREADY);
	dff_history_drop(restored);
}
END_TEST

START_TEST(older_snapshot_is_refused)
{
	dff_history_t *paused = dff_history_new(ctx);
	dff_history_t *restored = dff_history_new(ctx);
	uint64_t newer;
	uint64_t stale;

	append_named(&stream, "one", 0, "a");
	apply_all(paused, &stream);
	append_named(&stream, "two", 1, "b");
	apply_all(history, &stream);
	newer = append_snapshot(&stream, history, "vm-1");
	stale = append_snapshot(&stream, paused, "vm-2");
	ck_assert_int_eq(load_at(restored, &stream, newer, 1), 0);
	ck_assert_int_eq(load_at(restored, &stream, stale, 1), -EALREADY);
	ck_assert_uint_eq(dff_history_revision(restored), 2);
	apply_all(restored, &stream);
	apply_all(history, &stream);
	expect_same(restored, history);
	ck_assert_uint_eq(dff_history_revision(restored), 2);
	dff_history_drop(paused);
	dff_history_drop(restored);
}
END_TEST

START_TEST(snapshot_before_the_first_edit)
{
	dff_history_t *restored = dff_history_new(ctx);
	uint8_t *data;
	uint64_t at;

	ck_assert_int_eq(
	    dff_history_save(ctx, history, "vm-1", 1, &data), -ENODATA);
	append_edit(&stream, "bad", 0, BAD_FILE);
	apply_all(history, &stream);
	at = append_snapshot(&stream, history, "vm-1");
	ck_assert_int_eq(load_at(restored, &stream, at, 2), 0);
	ck_assert_uint_eq(dff_history_applied(restored), 1);
	ck_assert_uint_eq(dff_history_revision(restored), 0);
	ck_assert_ptr_null(dff_history_catalogue(restored));
	dff_history_drop(restored);
}
END_TEST

/*
 * A snapshot with one bit flipped, in each of its bytes in turn, must be
 * refused or load the same state.
 */
START_TEST(corrupt_snapshot_is_refused)
{
	const log_record_t *record;
	uint8_t *corrupt;
	uint64_t at;
	size_t refused = 0;

	append_named(&stream, "one", 0, "a");
	append_named(&stream, "two", 0, "b");
	apply_all(history, &stream);
	at = append_snapshot(&stream, history, "vm-1");
	record = &g_array_index(stream.records, log_record_t, at - 1);
	corrupt = malloc(record->len);
	for (size_t i = 0; i < record->len; i++) {
		dff_history_t *restored = dff_history_new(ctx);

		memcpy(corrupt, record->data, record->len);
		corrupt[i] ^= 1u << dff_rand_below(ctx, 8);
		if (dff_history_load(ctx, restored, corrupt, record->len, 1) ==
		    0)
			expect_same(restored, history);
		else
			refused++;
		dff_history_drop(restored);
	}
	/* Only the writer and its incarnation are not hashed. */
	ck_assert_uint_ge(refused, record->len - 10);
	free(corrupt);
}
END_TEST

START_TEST(snapshot_is_not_applied_as_edit)
{
	dff_history_t *other = dff_history_new(ctx);

	append_named(&stream, "one", 0, "a");
	apply_all(history, &stream);
	append_snapshot(&stream, history, "vm-1");
	ck_assert_int_eq(load_at(other, &stream, 1, 1), -EINVAL);
	ck_assert_int_eq(apply_at(history, &stream, 2), 0);
	ck_assert_uint_eq(dff_history_skipped(history), 0);
	ck_assert_uint_eq(dff_history_revision(history), 1);
	dff_history_drop(other);
}
END_TEST

/* ---- random streams, compared with a reference model ---- */

/* An edit as input of the model. */
typedef struct model_edit {
	char id[16];
	uint64_t against;
	bool valid; /* the file passes the checks */
} model_edit_t;

/* Reference model of a stream of edits; records without an edit have no id. */
typedef struct model {
	GHashTable *ids;
	uint64_t revision;
	char *name;
} model_t;

static void
model_apply(
    model_t *model, uint64_t offset, const model_edit_t *edit, const char *name)
{
	if (edit->id[0] == '\0' || g_hash_table_contains(model->ids, edit->id))
		return;
	g_hash_table_add(model->ids, g_strdup(edit->id));
	if (edit->against != model->revision || !edit->valid)
		return;
	model->revision = offset;
	g_free(model->name);
	model->name = g_strdup(name);
}

static uint64_t
pick_base(uint64_t revision, uint64_t next)
{
	switch (dff_rand_below(ctx, 4)) {
	case 0:
		return dff_rand_below(ctx, (uint32_t)next + 3);
	case 1:
		return revision > 0 ? revision - 1 : 0;
	default:
		return revision;
	}
}

static void
append_garbage(stream_t *s)
{
	size_t len = dff_rand_below(ctx, 64);
	uint8_t *data = malloc(len + 1);

	for (size_t i = 0; i < len; i++)
		data[i] = (uint8_t)dff_rand_below(ctx, 256);
	append(s, data, len);
}

/* A valid edit whose record version is changed to 3, which is unsupported. */
static void
append_later_version(stream_t *s)
{
	log_record_t *record;
	uint64_t offset;

	offset = append_named(s, "later", 0, "later");
	record = &g_array_index(s->records, log_record_t, offset - 1);
	ck_assert_uint_eq(record->data[0], 0x08);
	record->data[1] = 3;
}

/* Append a random record; @edit is set to the model's input for it. */
static void
append_random(stream_t *s, const dff_history_t *replica, uint64_t revision,
    model_edit_t *edit, const char *name)
{
	uint64_t next = s->records->len + 1;

	memset(edit, 0, sizeof(*edit));
	switch (dff_rand_below(ctx, 10)) {
	case 0:
		append_garbage(s);
		return;
	case 1:
		append_later_version(s);
		return;
	case 2:
	case 3:
		if (dff_history_applied(replica) > 0) {
			append_snapshot(s, replica, "vm");
			return;
		}
		/* FALLTHROUGH */
	default:
		break;
	}
	(void)g_snprintf(edit->id, sizeof(edit->id), "id-%u",
	    dff_rand_below(ctx, RECORDS / 2));
	edit->against = pick_base(revision, next);
	edit->valid = dff_rand_below(ctx, 8) > 0;
	if (edit->valid)
		append_named(s, edit->id, edit->against, name);
	else
		append_edit(s, edit->id, edit->against, BAD_FILE);
}

/*
 * A replica that starts when only records from @first on are retained; NULL if
 * no snapshot reaches @first.
 */
static dff_history_t *
start_from_snapshot(const stream_t *s, uint64_t first)
{
	dff_history_t *restored = dff_history_new(ctx);

	for (uint64_t at = first; at <= s->records->len; at++)
		(void)load_at(restored, s, at, first);
	if (dff_history_applied(restored) + 1 < first) {
		dff_history_drop(restored);
		return NULL;
	}
	apply_all(restored, s);
	return restored;
}

static void
run_round(int round)
{
	dff_history_t *full = dff_history_new(ctx);
	dff_history_t *slow = dff_history_new(ctx);
	model_t model = {.ids = g_hash_table_new_full(
			     g_str_hash, g_str_equal, g_free, NULL)};
	stream_t s;
	int started = 0;

	stream_init(&s);
	for (int i = 0; i < RECORDS; i++) {
		uint64_t before = dff_history_revision(full);
		model_edit_t edit;
		char name[16];

		(void)g_snprintf(name, sizeof(name), "r%d-%d", round, i);
		append_random(&s, dff_rand_below(ctx, 2) ? full : slow,
		    model.revision, &edit, name);
		model_apply(&model, s.records->len, &edit, name);
		apply_all(full, &s);
		if (dff_rand_below(ctx, 20) == 0)
			apply_all(slow, &s);
		ck_assert_uint_ge(dff_history_revision(full), before);
		ck_assert_uint_eq(dff_history_revision(full), model.revision);
		if (model.name != NULL)
			ck_assert_ptr_nonnull(
			    strstr(dff_history_text(full), model.name));
	}
	apply_all(slow, &s);
	expect_same(full, slow);
	for (int i = 0; i < 8; i++) {
		uint64_t first = 1 + dff_rand_below(ctx, RECORDS);
		dff_history_t *restored = start_from_snapshot(&s, first);

		if (restored == NULL)
			continue;
		expect_same(full, restored);
		started++;
		dff_history_drop(restored);
	}
	ck_assert_int_gt(started, 0);
	g_hash_table_unref(model.ids);
	g_free(model.name);
	dff_history_drop(full);
	dff_history_drop(slow);
	stream_drop(&s);
}

START_TEST(replicas_agree_on_random_streams)
{
	for (int round = 0; round < ROUNDS; round++)
		run_round(round);
}
END_TEST

/* Corrupt records may decode to anything, but equally at every replica. */
START_TEST(replicas_agree_on_corrupt_records)
{
	for (int round = 0; round < ROUNDS * 10; round++) {
		dff_history_t *left = dff_history_new(ctx);
		dff_history_t *right = dff_history_new(ctx);
		stream_t s;

		stream_init(&s);
		append_named(&s, "one", 0, "a");
		apply_all(left, &s);
		append_snapshot(&s, left, "vm");
		append_named(&s, "two", 1, "b");
		append_named(&s, "three", 3, "c");
		for (guint i = 0; i < s.records->len; i++) {
			log_record_t *record =
			    &g_array_index(s.records, log_record_t, i);

			record->data[dff_rand_below(
			    ctx, (uint32_t)record->len)] ^= 1u
			    << dff_rand_below(ctx, 8);
		}
		dff_history_drop(left);
		left = dff_history_new(ctx);
		apply_all(left, &s);
		apply_all(right, &s);
		expect_same(left, right);
		ck_assert_uint_eq(
		    dff_history_skipped(left), dff_history_skipped(right));
		dff_history_drop(left);
		dff_history_drop(right);
		stream_drop(&s);
	}
}
END_TEST

START_TEST(edit_ids_are_checked)
{
	dff_edit_t edit = {.edit_id = "", .text = "x"};
	char longest[DFF_NAME_MAX + 1];
	uint8_t *data;

	ck_assert_int_eq(dff_edit_pack(&edit, &data), -EINVAL);
	ck_assert_ptr_null(data);
	memset(longest, 'x', sizeof(longest));
	longest[DFF_NAME_MAX] = '\0';
	edit.edit_id = longest;
	ck_assert_int_eq(dff_edit_pack(&edit, &data), -EINVAL);
	edit.edit_id = "a b";
	ck_assert_int_eq(dff_edit_pack(&edit, &data), -EINVAL);
}
END_TEST

/* A snapshot of the largest file and all kept edits must fit a peer frame. */
START_TEST(largest_snapshot_fits_a_frame)
{
	GString *text = g_string_new("[dragonflyfall]\nformat=1\n");
	char id[DFF_NAME_MAX];
	uint8_t *data;
	int len;

	while (text->len < DFF_CATALOGUE_BYTES_MAX)
		g_string_append(text, "# filled up\n");
	g_string_truncate(text, DFF_CATALOGUE_BYTES_MAX);
	ck_assert_uint_eq(append_edit(&stream, "big", 0, text->str), 1);
	for (int i = 0; i < DFF_EDITS_KEPT; i++) {
		(void)g_snprintf(id, sizeof(id), "%063d", i);
		append_edit(&stream, id, 0, "");
	}
	apply_all(history, &stream);
	ck_assert_uint_eq(dff_history_revision(history), 1);
	len = dff_history_save(ctx, history, "vm", 1, &data);
	ck_assert_int_gt(len, DFF_CATALOGUE_BYTES_MAX);
	ck_assert_int_lt(len, 1024 * 1024 - 1024);
	free(data);
	g_string_free(text, TRUE);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("history");
	TCase *tcase = tcase_create("history");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, first_of_two_edits_is_accepted);
	tcase_add_test(tcase, duplicate_edit_is_ignored);
	tcase_add_test(tcase, duplicate_of_dropped_edit_is_beaten);
	tcase_add_test(tcase, edit_base_must_be_in_force);
	tcase_add_test(tcase, bad_file_leaves_previous_in_force);
	tcase_add_test(tcase, offsets_are_applied_once_and_in_order);
	tcase_add_test(tcase, unsupported_records_are_skipped);
	tcase_add_test(tcase, unknown_fields_are_ignored);
	tcase_add_test(tcase, snapshot_replaces_expired_records);
	tcase_add_test(tcase, snapshot_must_reach_first_retained_record);
	tcase_add_test(tcase, older_snapshot_is_refused);
	tcase_add_test(tcase, snapshot_before_the_first_edit);
	tcase_add_test(tcase, corrupt_snapshot_is_refused);
	tcase_add_test(tcase, snapshot_is_not_applied_as_edit);
	tcase_add_test(tcase, replicas_agree_on_random_streams);
	tcase_add_test(tcase, replicas_agree_on_corrupt_records);
	tcase_add_test(tcase, edit_ids_are_checked);
	tcase_add_test(tcase, largest_snapshot_fits_a_frame);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
