/*
 * A node: the reducer over all events. Entries and placers use the same reducer
 * with different modules enabled.
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
 * @serve: it accepts callers' requests (entry)
 * @place: it may hold leases and send orders (placer)
 * @heartbeat_period: time between heartbeats
 * @suspect_after: time without frames after which a peer is suspected
 * @dead_after: time without frames after which a peer is considered dead
 * @isolated_after: time without answers of the log after which a node that does
 *	not reach most peers accepts no new calls
 * @snapshot_period: time between snapshots of a stream
 * @drain_time: maximum duration of a graceful stop
 * @attempt_idle_timeout: maximum time without progress in an attempt
 * @max_calls: maximum number of concurrent calls
 * @policy: settings of the policy; its domain is filled in
 * @claims: settings of claims; node and incarnation are filled in
 * @authority: settings of the authority; node, incarnation, domain and act are
 *	filled in
 */
typedef struct dff_node_config {
	char id[DFF_NAME_MAX];
	char domain[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	uint64_t incarnation;
	bool serve;
	bool place;
	dff_time_t heartbeat_period;
	dff_time_t suspect_after;
	dff_time_t dead_after;
	dff_time_t isolated_after;
	dff_time_t snapshot_period;
	dff_time_t drain_time;
	dff_time_t attempt_idle_timeout;
	uint32_t max_calls;
	dff_policy_config_t policy;
	dff_claims_config_t claims;
	dff_authority_config_t authority;
} dff_node_config_t;

/** dff_node_defaults() - default settings, suitable for a small fleet */
void dff_node_defaults(dff_node_config_t *config);

/** typedef dff_node_t - state of a node */
typedef struct dff_node dff_node_t;

/** dff_node_new() - make a node before DFF_EV_START; the caller drops it */
dff_node_t *dff_node_new(dff_ctx_t *ctx, const dff_node_config_t *config);

/** dff_node_drop() - free a node; NULL is allowed */
void dff_node_drop(dff_node_t *node);

/**
 * dff_node_step() - process one event
 * @ctx: context
 * @node: node
 * @event: event; what it points to is borrowed
 * @now: current time, never before that of the previous step
 * @fx: list to which effects are added
 *
 * Return: 0, or -EINVAL for an event that is invalid in the present state and
 * was ignored.
 */
int dff_node_step(dff_ctx_t *ctx, dff_node_t *node, const dff_event_t *event,
    dff_time_t now, dff_effects_t *fx);

/** enum dff_counter - counters of a node */
typedef enum dff_counter {
	DFF_COUNT_CALLS,
	DFF_COUNT_DONE,
	DFF_COUNT_REFUSED,
	DFF_COUNT_FAILED,
	DFF_COUNT_DISCONNECTS,
	DFF_COUNT_REPLAYED,
	DFF_COUNT_ATTEMPTS,
	DFF_COUNT_RESUMES,
	DFF_COUNT_TOKENS,
	DFF_COUNT_LATE_EVENTS,
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

/** dff_node_ready() - whether new calls are accepted; sets @reason */
bool dff_node_ready(const dff_node_t *node, const char **reason);

/** dff_node_revision() - revision of the catalogue in force; 0 if none */
uint64_t dff_node_revision(const dff_node_t *node);

/** dff_node_history() - state of the catalogue stream, borrowed */
const dff_history_t *dff_node_history(const dff_node_t *node);

/** dff_node_authority() - state of the authority stream, borrowed */
const dff_authority_t *dff_node_authority(const dff_node_t *node);

/** dff_node_status() - JSON text for the status page; the caller frees it */
char *dff_node_status(const dff_node_t *node, dff_time_t now);

#endif
