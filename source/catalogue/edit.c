#include "catalogue/edit.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

bool
dff_edit_id_valid(const char *edit_id)
{
	if (*edit_id == '\0' || strlen(edit_id) >= DFF_NAME_MAX)
		return false;
	for (; *edit_id != '\0'; edit_id++) {
		if (!g_ascii_isgraph(*edit_id))
			return false;
	}
	return true;
}

int
dff_record_pack(const Dff__Record *record, uint8_t **data)
{
	size_t len;

	len = dff__record__get_packed_size(record);
	*data = malloc(len);
	if (*data == NULL)
		return -ENOMEM;
	return (int)dff__record__pack(record, *data);
}

/* protobuf-c's strings are not const, but packing does not modify them. */
static char *
string_of(const char *text)
{
	return (char *)(uintptr_t)(text != NULL ? text : "");
}

int
dff_edit_pack(const dff_edit_t *edit, uint8_t **data)
{
	Dff__Record record = DFF__RECORD__INIT;
	Dff__CatalogueEdit body = DFF__CATALOGUE_EDIT__INIT;

	*data = NULL;
	if (!dff_edit_id_valid(edit->edit_id))
		return -EINVAL;
	body.edit_id = string_of(edit->edit_id);
	body.against = edit->against;
	body.text = string_of(edit->text);
	body.author = string_of(edit->author);
	body.note = string_of(edit->note);
	body.written_ms = edit->written_ms;
	record.version = DFF_RECORD_VERSION;
	record.writer = string_of(edit->author);
	record.body_case = DFF__RECORD__BODY_EDIT;
	record.edit = &body;
	return dff_record_pack(&record, data);
}

static uint64_t
hash_number(uint64_t number, uint64_t seed)
{
	number = GUINT64_TO_LE(number);
	return dff_hash(&number, sizeof(number), seed);
}

/* Hashes the length first, so that text boundaries affect the hash. */
static uint64_t
hash_text(const char *text, uint64_t seed)
{
	size_t len = strlen(text);

	return dff_hash(text, len, hash_number(len, seed));
}

uint64_t
dff_snapshot_hash(const Dff__CatalogueSnapshot *snapshot)
{
	uint64_t hash;

	hash = hash_number(snapshot->through, DFF_RECORD_VERSION);
	hash = hash_number(snapshot->revision, hash);
	hash = hash_text(snapshot->text, hash);
	hash = hash_number(snapshot->n_edits, hash);
	for (size_t i = 0; i < snapshot->n_edits; i++) {
		const Dff__EditSeen *edit = snapshot->edits[i];

		hash = hash_text(edit->edit_id, hash);
		hash = hash_number(edit->offset, hash);
		hash = hash_number(edit->verdict, hash);
		hash = hash_number(edit->beaten_by, hash);
	}
	return hash;
}
