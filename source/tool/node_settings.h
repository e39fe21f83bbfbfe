/*
 * Settings of the entry and the placer, and the process configuration that
 * is made from them.
 */
#ifndef TOOL_NODE_SETTINGS_H
#define TOOL_NODE_SETTINGS_H

#include "net/runner.h"

/** enum node_kind - program that loads the settings */
typedef enum node_kind {
	NODE_ENTRY,
	NODE_PLACER,
} node_kind_t;

/** typedef node_settings_t - settings and their strings */
typedef struct node_settings node_settings_t;

/**
 * node_settings_load() - read flags and environment
 * @settings: set to the settings, which the caller drops
 * @config: filled in; its strings are valid until @settings is dropped
 *
 * Return: as dff_settings_load().
 */
int node_settings_load(node_kind_t kind, const char *summary, int *argc,
    char ***argv, node_settings_t **settings, dff_runner_config_t *config);

/** node_settings_drop() - free the settings; NULL is allowed */
void node_settings_drop(node_settings_t *settings);

/** node_main() - main() of a program of this kind; returns its status */
int node_main(node_kind_t kind, const char *name, const char *summary, int argc,
    char **argv);

#endif
