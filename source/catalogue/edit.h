/*
 * Encoding shared by edits and snapshots of the catalogue stream.
 */
#ifndef DFF_CATALOGUE_EDIT_H
#define DFF_CATALOGUE_EDIT_H

#include "dragonflyfall/catalogue.h"
#include "proto/dragonflyfall.pb-c.h"

/* The latest supported record version; versions begin at 1. */
#define DFF_RECORD_VERSION 1

/** dff_edit_id_valid() - whether a text may be an edit id */
bool dff_edit_id_valid(const char *edit_id);

/**
 * dff_record_pack() - encode a record
 * @data: set to the bytes, which the caller frees with free()
 *
 * Return: the number of bytes, or -ENOMEM.
 */
int dff_record_pack(const Dff__Record *record, uint8_t **data);

/** dff_snapshot_hash() - hash of all fields of a snapshot */
uint64_t dff_snapshot_hash(const Dff__CatalogueSnapshot *snapshot);

#endif
