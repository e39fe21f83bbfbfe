/*
 * Where each group and key of a key file stands. GKeyFile reads the values
 * but knows no lines and joins what is given twice, so the lines are walked
 * once before; what passes here is understood by GKeyFile in the same way.
 */
#ifndef DFF_CATALOGUE_LINES_H
#define DFF_CATALOGUE_LINES_H

#include "catalogue/problem.h"

/** typedef dff_lines_t - line numbers of one file */
typedef struct dff_lines dff_lines_t;

/**
 * dff_lines_scan() - walk a file
 * @text: the file's bytes, NUL-terminated
 * @problems: lines that are no group, key or comment, and whatever stands
 *	twice, are added here
 *
 * Return: the line numbers, which the caller drops.
 */
dff_lines_t *dff_lines_scan(const char *text, dff_problems_t *problems);

/** dff_lines_drop() - free the line numbers; NULL is allowed */
void dff_lines_drop(dff_lines_t *lines);

/**
 * dff_lines_find() - line of a key, or of a group with a NULL key
 *
 * Return: line from 1; a key that is not there gets its group's line; 0 if
 * that is not there either.
 */
uint32_t dff_lines_find(
    const dff_lines_t *lines, const char *group, const char *key);

#endif
