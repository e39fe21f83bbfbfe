/*
 * Line numbers of the groups and keys of a key file. GKeyFile reads the
 * values but reports no line numbers and merges duplicates, so the file is
 * scanned first; GKeyFile parses text accepted here in the same way.
 */
#ifndef DFF_CATALOGUE_LINES_H
#define DFF_CATALOGUE_LINES_H

#include "catalogue/problem.h"

/** typedef dff_lines_t - line numbers of one file */
typedef struct dff_lines dff_lines_t;

/**
 * dff_lines_scan() - record the line numbers of a file
 * @text: the file's bytes, NUL-terminated
 * @problems: receives lines that are not a group, key or comment, and
 *	duplicate groups and keys
 *
 * Return: the line numbers, which the caller drops.
 */
dff_lines_t *dff_lines_scan(const char *text, dff_problems_t *problems);

/** dff_lines_drop() - free the line numbers; NULL is allowed */
void dff_lines_drop(dff_lines_t *lines);

/**
 * dff_lines_find() - line of a key, or of a group with a NULL key
 *
 * Return: line from 1; for an absent key its group's line; 0 if the group
 * is absent too.
 */
uint32_t dff_lines_find(
    const dff_lines_t *lines, const char *group, const char *key);

#endif
