/*
 * Runs one node on a libuv loop: feeds events to the reducer and executes its
 * effects through the adapters. Used by the entry and the placer.
 */
#ifndef DFF_NET_RUNNER_H
#define DFF_NET_RUNNER_H

#include "dragonflyfall/node.h"
#include "net/engine.h"
#include "net/front.h"
#include "net/peer.h"
#include "net/platform.h"
#include "net/service.h"

/**
 * struct dff_runner_config - settings of a process
 */
typedef struct dff_runner_config {
	dff_node_config_t node;
	dff_front_config_t front;
	dff_peers_config_t peers;
	dff_platform_config_t platform;
	dff_engine_config_t engine;
	dff_service_config_t service;
} dff_runner_config_t;

/** dff_runner_defaults() - default settings, for a small fleet */
void dff_runner_defaults(dff_runner_config_t *config);

/**
 * dff_runner_run() - run a node until SIGTERM or SIGINT, then stop it
 * @ctx: context
 * @config: settings; texts are borrowed
 *
 * Return: 0 after a graceful stop; a negative error number if it could not
 * start, or if the stop took too long.
 */
int dff_runner_run(dff_ctx_t *ctx, const dff_runner_config_t *config);

#endif
