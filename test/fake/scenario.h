/*
 * Scenarios: one line a step, run in a world. docs/SCENARIOS.md has the
 * verbs.
 */
#ifndef FAKE_SCENARIO_H
#define FAKE_SCENARIO_H

#include "world.h"

/** typedef dff_scenario_t - a scenario that was read and checked */
typedef struct dff_scenario dff_scenario_t;

/**
 * dff_scenario_parse() - read a scenario
 * @name: its name, for errors
 * @text: its lines
 * @error: set to "NAME:LINE: what is wrong", which the caller frees
 *
 * Return: the scenario, which the caller drops; NULL with @error set.
 */
dff_scenario_t *dff_scenario_parse(
    const char *name, const char *text, char **error);

/** dff_scenario_load() - read a scenario file; as above */
dff_scenario_t *dff_scenario_load(const char *path, char **error);

/** dff_scenario_drop() - free a scenario; NULL is allowed */
void dff_scenario_drop(dff_scenario_t *scenario);

/** dff_scenario_lines() - lines that hold a step */
size_t dff_scenario_lines(const dff_scenario_t *scenario);

/** dff_scenario_line() - text of a step, borrowed */
const char *dff_scenario_line(const dff_scenario_t *scenario, size_t i);

/**
 * dff_scenario_run() - run a scenario in a world of its own
 * @seed: seed, unless the scenario sets one
 * @skip: for each step, whether it is left out; NULL leaves none out
 *
 * Return: NULL if it passed, else "NAME:LINE: why", which the caller frees.
 */
char *dff_scenario_run(
    const dff_scenario_t *scenario, uint32_t seed, const bool *skip);

#endif
