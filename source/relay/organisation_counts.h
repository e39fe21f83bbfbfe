/*
 * Requests of each organisation since the start, for operators. Metrics name
 * those with most requests only.
 */
#ifndef DFF_RELAY_ORGANISATION_COUNTS_H
#define DFF_RELAY_ORGANISATION_COUNTS_H

#include <glib.h>

#include "dragonflyfall/base.h"

/* Organisations that metrics name. */
#define ORGANISATIONS_NAMED 20

/** typedef organisation_counts_t - requests by organisation */
typedef struct organisation_counts organisation_counts_t;

organisation_counts_t *organisation_counts_new(void);
void organisation_counts_drop(organisation_counts_t *counts);

/** organisation_counts_note() - count a request; "" is not counted */
void organisation_counts_note(organisation_counts_t *counts, const char *name);

/** organisation_counts_write() - append lines of metrics */
void organisation_counts_write(
    const organisation_counts_t *counts, GString *text);

#endif
