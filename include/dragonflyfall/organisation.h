/*
 * The organisations of one version of the configuration and their keys. A key
 * is kept as its SHA-256 digest only.
 */
#ifndef DRAGONFLYFALL_ORGANISATION_H
#define DRAGONFLYFALL_ORGANISATION_H

#include "dragonflyfall/base.h"

/**
 * struct dff_organisation - one organisation
 * @name: name, by which upstreams and peers know it
 * @has_priority: its requests have @priority, not that of their route
 * @priority: 0 is the most urgent
 */
typedef struct dff_organisation {
	char name[DFF_NAME_MAX];
	bool has_priority;
	uint32_t priority;
} dff_organisation_t;

/** typedef dff_organisations_t - organisations and the digests of their keys */
typedef struct dff_organisations dff_organisations_t;

/** dff_organisations_new() - make an empty table; the caller drops it */
dff_organisations_t *dff_organisations_new(void);

/** dff_organisations_drop() - free a table; NULL is allowed */
void dff_organisations_drop(dff_organisations_t *organisations);

/** dff_organisations_add() - add an organisation; returns its index */
uint32_t dff_organisations_add(
    dff_organisations_t *organisations, const dff_organisation_t *organisation);

/**
 * dff_organisations_add_key() - add a key of the organisation at @index
 *
 * An empty key is ignored. A key of another organisation stays that one's, and
 * counts as a conflict.
 */
void dff_organisations_add_key(
    dff_organisations_t *organisations, uint32_t index, const char *key);

/** dff_organisations_find() - the organisation that has a key, or NULL; takes
 *	the same time for any key of the same length */
const dff_organisation_t *dff_organisations_find(
    const dff_organisations_t *organisations, const char *key);

/** dff_organisations_find_name() - the organisation of this name, or NULL */
const dff_organisation_t *dff_organisations_find_name(
    const dff_organisations_t *organisations, const char *name);

/** dff_organisations_get() - the organisation at an index */
const dff_organisation_t *dff_organisations_get(
    const dff_organisations_t *organisations, uint32_t index);

/** dff_organisations_count() - number of organisations */
uint32_t dff_organisations_count(const dff_organisations_t *organisations);

/** dff_organisations_keys() - number of keys */
uint32_t dff_organisations_keys(const dff_organisations_t *organisations);

/** dff_organisations_conflicts() - keys that two organisations had */
uint32_t dff_organisations_conflicts(const dff_organisations_t *organisations);

/**
 * struct dff_key_conflict - a key that two organisations had
 * @index: the later one, which does not have it
 * @owner: the one that has it
 */
typedef struct dff_key_conflict {
	uint32_t index;
	uint32_t owner;
} dff_key_conflict_t;

/** dff_organisations_conflict() - one of these keys, by number */
dff_key_conflict_t dff_organisations_conflict(
    const dff_organisations_t *organisations, uint32_t number);

/** dff_organisations_count_keys() - add each organisation's number of keys to
 *	@counts, by its index */
void dff_organisations_count_keys(
    const dff_organisations_t *organisations, uint32_t *counts);

/** dff_organisations_lost_keys() - number of keys of @one, in @organisations,
 *	that @other, in @others, does not have */
uint32_t dff_organisations_lost_keys(const dff_organisations_t *organisations,
    const dff_organisation_t *one, const dff_organisations_t *others,
    const dff_organisation_t *other);

#endif
