/*
 * Random scenarios: the same verbs in random order, with random names and
 * times, then all faults mended and a time to settle.
 */
#ifndef FAKE_EXPLORE_H
#define FAKE_EXPLORE_H

#include "scenario.h"

/** dff_explore_script() - lines of a random scenario; the caller frees it */
char *dff_explore_script(uint32_t seed);

/**
 * dff_explore_run() - run one random scenario, and shrink it if it fails
 * @seed: seed of both the scenario and its world
 *
 * Return: NULL if it passed, else why, with the seed and the shortest
 * failing script that was found; the caller frees it.
 */
char *dff_explore_run(uint32_t seed);

#endif
