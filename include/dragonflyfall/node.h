/*
 * One node: the reducer over all events. An entry and a placer are the same
 * reducer with other parts turned on.
 */
#ifndef DRAGONFLYFALL_NODE_H
#define DRAGONFLYFALL_NODE_H

#include "dragonflyfall/authority.h"
#include "dragonflyfall/catalogue.h"
#include "dragonflyfall/claim.h"
#include "dragonflyfall/event.h"
#include "dragonflyfall/policy.h"

/**
 * struct dff_node_config - settings of a node
 * @id: VM id, as in the VM list; a placer has its VM's id and ".placer"
 * @domain: failure domain
 * @addr: "ip:port" of its peer port
 * @incarnation: differs at each start of the process, and grows
 * @serve: it takes callers' requests (entry)
 * @place: it may hold leases and give orders (placer)
 * @beat: time between heartbeats
 * @suspect_after: silence after which a peer is suspected
 * @dead_after: silence after which a peer counts as gone
 * @blind_after: time without log and without peers after which no new work
 *	is taken
 * @snapshot_every: time between snapshots of a stream
 * @drain_time: bound on a graceful stop
 * @try_silence: longest silence of an upstream during a try
 * @max_calls: calls at once
 * @policy: policy
 * @claims: claims; its node and incarnation are filled in
 * @authority: authority; its node, incarnation, domain and act likewise
 */
typedef struct dff_node_config {
	char id[DFF_NAME_MAX];
	char domain[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	uint64_t incarnation;
	bool serve;
	bool place;
	dff_time_t beat;
	dff_time_t suspect_after;
	dff_time_t dead_after;
	dff_time_t blind_after;
	dff_time_t snapshot_every;
	dff_time_t drain_time;
	dff_time_t try_silence;
	uint32_t max_calls;
	dff_policy_config_t policy;
	dff_claims_config_t claims;
	dff_authority_config_t authority;
} dff_node_config_t;

/** dff_node_defaults() - settings that suit a small fleet */
void dff_node_defaults(dff_node_config_t *config);

/** typedef dff_node_t - a node's whole state */
typedef struct dff_node dff_node_t;

/** dff_node_new() - a node before DFF_EV_START; the caller drops it */
dff_node_t *dff_node_new(dff_ctx_t *ctx, const dff_node_config_t *config);

/** dff_node_drop() - free a node; NULL is allowed */
void dff_node_drop(dff_node_t *node);

/**
 * dff_node_step() - take one event
 * @ctx: context
 * @node: node
 * @event: event; what it points to is borrowed
 * @now: moment, never before that of the last step
 * @fx: effects are added here
 *
 * Return: 0, or -EINVAL for an event that makes no sense here, which then
 * changed nothing.
 */
int dff_node_step(dff_ctx_t *ctx, dff_node_t *node, const dff_event_t *event,
    dff_time_t now, dff_effects_t *fx);

/** enum dff_counter - what a node counts */
typedef enum dff_counter {
	DFF_COUNT_CALLS,
	DFF_COUNT_DONE,
	DFF_COUNT_REFUSED,
	DFF_COUNT_FAILED,
	DFF_COUNT_GONE,
	DFF_COUNT_REPEATED,
	DFF_COUNT_TRIES,
	DFF_COUNT_RESUMES,
	DFF_COUNT_TOKENS,
	DFF_COUNT_LATE_DROPPED,
	DFF_COUNT_RECORDS,
	DFF_COUNT_RECORDS_BAD,
	DFF_COUNT_APPENDS,
	DFF_COUNT_FRAMES_IN,
	DFF_COUNT_FRAMES_OUT,
	DFF_COUNT_FRAMES_BAD,
	DFF_COUNT_BYTES_OUT,
	DFF_COUNT_POISON,
	DFF_COUNT_COUNT,
} dff_counter_t;

/** dff_counter_name() - metric name of a counter */
const char *dff_counter_name(dff_counter_t counter);

/** dff_node_counter() - a counter's value */
uint64_t dff_node_counter(const dff_node_t *node, dff_counter_t counter);

/** dff_node_ready() - whether new work is taken; @why is set to the reason */
bool dff_node_ready(const dff_node_t *node, const char **why);

/** dff_node_revision() - revision of the catalogue in force; 0 none */
uint64_t dff_node_revision(const dff_node_t *node);

/** dff_node_history() - state of the catalogue stream, borrowed */
const dff_history_t *dff_node_history(const dff_node_t *node);

/** dff_node_authority() - state of the authority stream, borrowed */
const dff_authority_t *dff_node_authority(const dff_node_t *node);

/** dff_node_status() - JSON text for the status page; the caller frees it */
char *dff_node_status(const dff_node_t *node, dff_time_t now);

#endif
