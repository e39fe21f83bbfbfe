/*
 * Problems found in a catalogue file, added in any order and returned in
 * line order.
 */
#ifndef DFF_CATALOGUE_PROBLEM_H
#define DFF_CATALOGUE_PROBLEM_H

#include "dragonflyfall/catalogue.h"

/** typedef dff_problems_t - a growing list of problems */
typedef struct dff_problems dff_problems_t;

/** dff_problems_new() - make an empty list; the caller drops it */
dff_problems_t *dff_problems_new(void);

/** dff_problems_drop() - free the list; NULL is allowed */
void dff_problems_drop(dff_problems_t *problems);

/**
 * dff_problems_add() - add a problem
 * @line: line, from 1; 0 for the whole file
 * @group: group; NULL counts as ""
 * @key: key; NULL counts as ""
 * @fmt: the error and the allowed values
 */
void dff_problems_add(dff_problems_t *problems, uint32_t line,
    const char *group, const char *key, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/** dff_problems_count() - number of problems in the list */
size_t dff_problems_count(const dff_problems_t *problems);

/** dff_problems_copy() - copy the first @max problems, in line order */
void dff_problems_copy(
    dff_problems_t *problems, dff_problem_t *out, size_t max);

#endif
