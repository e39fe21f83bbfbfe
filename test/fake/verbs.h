/*
 * The verbs of the scenario language.
 */
#ifndef FAKE_VERBS_H
#define FAKE_VERBS_H

#include "world.h"

/** struct step - one line of a scenario */
typedef struct step {
	uint32_t line;
	char *text;
	char **words;
	int count; /* words that are no key=value, the verb among them */
} step_t;

/** struct run - one run of a scenario */
typedef struct run {
	dff_world_config_t config;
	dff_world_t *world; /* NULL before the first step but "world" */
	GHashTable *callers; /* name -> number */
	char *error; /* why the step failed */
} run_t;

/**
 * struct verb - one verb
 * @name: name
 * @min: fewest words after it
 * @max: most words after it
 * @keys: keys that it allows, parted by blanks
 * @run: carries a step out; @run's error is set if it fails
 */
typedef struct verb {
	const char *name;
	int min;
	int max;
	const char *keys;
	int (*run)(run_t *run, const step_t *step);
} verb_t;

/** verb_find() - a verb by name, or NULL */
const verb_t *verb_find(const char *name);

#endif
