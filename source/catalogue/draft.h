/*
 * A catalogue during parsing: the values of the file, with references by
 * name. dff_draft_parse() fills it in, dff_draft_check() resolves the
 * references.
 */
#ifndef DFF_CATALOGUE_DRAFT_H
#define DFF_CATALOGUE_DRAFT_H

#include <glib.h>

#include "catalogue/lines.h"
#include "catalogue/problem.h"
#include "dragonflyfall/catalogue.h"

/* The only supported format of catalogue files. */
#define DFF_CATALOGUE_FORMAT 1

/** enum dff_section - the type of a group */
typedef enum dff_section {
	DFF_SECTION_FILE, /* [dragonflyfall] */
	DFF_SECTION_OWNER,
	DFF_SECTION_CLASS,
	DFF_SECTION_POOL,
	DFF_SECTION_ENTRY,
	DFF_SECTION_COUNT,
} dff_section_t;

/** dff_section_name() - first word of the names of the section's groups */
const char *dff_section_name(dff_section_t section);

/**
 * struct dff_draft_entry - an entry whose references are names
 * @entry: its other settings
 * @owner: name of its owner
 * @cls: name of its class
 * @pool: name of its pool
 */
typedef struct dff_draft_entry {
	dff_entry_t entry;
	char owner[DFF_NAME_MAX];
	char cls[DFF_NAME_MAX];
	char pool[DFF_NAME_MAX];
} dff_draft_entry_t;

/**
 * struct dff_draft - a catalogue file during parsing
 * @file: parsed groups and keys
 * @lines: line numbers
 * @problems: problems found, borrowed
 * @owners: dff_owner_t
 * @classes: dff_class_t
 * @pools: dff_pool_t
 * @entries: dff_draft_entry_t
 * @format: format number given in the file
 */
typedef struct dff_draft {
	GKeyFile *file;
	dff_lines_t *lines;
	dff_problems_t *problems;
	GArray *owners;
	GArray *classes;
	GArray *pools;
	GArray *entries;
	uint32_t format;
} dff_draft_t;

/**
 * dff_draft_parse() - read a file's groups and values
 * @text: the file's bytes, NUL-terminated
 * @problems: receives the problems found; must outlive the draft
 *
 * Return: the draft, which the caller drops, also if there are problems.
 */
dff_draft_t *dff_draft_parse(const char *text, dff_problems_t *problems);

/** dff_draft_drop() - free a draft; NULL is allowed */
void dff_draft_drop(dff_draft_t *draft);

/** dff_draft_has() - whether a group has a key */
bool dff_draft_has(const dff_draft_t *draft, dff_section_t section,
    const char *name, const char *key);

/**
 * dff_draft_problem() - add a problem of one key, with its line
 * @section: section
 * @name: name of the group, or ""
 * @key: key; an absent key is reported at its group's line
 */
void dff_draft_problem(dff_draft_t *draft, dff_section_t section,
    const char *name, const char *key, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/** dff_draft_check() - check settings against each other and resolve the
 *	references of entries; problems are added to the draft's */
void dff_draft_check(dff_draft_t *draft);

#endif
