/*
 * How many upstreams of a pool are ordered, in which failure domain and of
 * which kind. Decides only: counts and loads in, orders out.
 */
#ifndef DFF_RELAY_SCALING_H
#define DFF_RELAY_SCALING_H

#include "dragonflyfall/relay.h"
#include "relay/scaling_demand.h"
#include "relay/scaling_pace.h"

/** enum scaling_kind - kinds of upstreams, which are counted separately */
typedef enum scaling_kind {
	SCALING_REGULAR,
	SCALING_RECLAIMABLE,
	SCALING_KIND_COUNT,
} scaling_kind_t;

/** scaling_kind_name() - name of a kind, for logs and metrics */
const char *scaling_kind_name(scaling_kind_t kind);

/**
 * struct scaling_domain - a failure domain in which a pool may have upstreams
 * @name: its name
 * @listed: upstreams by kind that are listed and do not leave
 */
typedef struct scaling_domain {
	char name[DFF_NAME_MAX];
	uint32_t listed[SCALING_KIND_COUNT];
} scaling_domain_t;

/**
 * struct scaling_view - what a node knows of a pool
 * @bounds: the operator's bounds and prices
 * @need: upstreams that its demand needs at this moment
 * @loaded: a request is in flight there
 * @keeps_parts: its upstreams have cached parts of prompts
 * @changes_per_s: upstreams that orders may add or take away in a second, as
 *	nodes tell each other of each; 0 for no bound
 * @domains: failure domains
 * @domain_count: number of these
 */
typedef struct scaling_view {
	const dff_scaling_t *bounds;
	double need;
	bool loaded;
	bool keeps_parts;
	double changes_per_s;
	scaling_domain_t domains[DFF_SCALING_DOMAINS_MAX];
	uint32_t domain_count;
} scaling_view_t;

/** scaling_view_domain() - a domain of a view, added if it is missing; NULL if
 *	there is no room */
scaling_domain_t *scaling_view_domain(scaling_view_t *view, const char *name);

/**
 * struct scaling_target - upstreams that are wanted in one failure domain
 * @domain: its name
 * @wanted: by kind
 */
typedef struct scaling_target {
	char domain[DFF_NAME_MAX];
	uint32_t wanted[SCALING_KIND_COUNT];
} scaling_target_t;

/**
 * struct scaling_plan - upstreams that are wanted
 * @need: upstreams that the demand needs
 * @targets: by domain, in the order of the view
 * @target_count: number of these
 */
typedef struct scaling_plan {
	uint32_t need;
	scaling_target_t targets[DFF_SCALING_DOMAINS_MAX];
	uint32_t target_count;
} scaling_plan_t;

/**
 * struct scaling_order - the number of upstreams of a kind in a domain
 * @number: number of the order
 * @domain: failure domain
 * @kind: kind
 * @count: upstreams that there are to be
 * @listed: upstreams that are listed there
 * @why: what decided it, for logs
 */
typedef struct scaling_order {
	uint64_t number;
	char domain[DFF_NAME_MAX];
	scaling_kind_t kind;
	uint32_t count;
	uint32_t listed;
	const char *why;
} scaling_order_t;

/** typedef scaling_t - orders and demand of one pool */
typedef struct scaling scaling_t;

/** scaling_new() - no demand and no orders are known; the caller drops it;
 *	orders are numbered from @first_number */
scaling_t *scaling_new(uint64_t first_number);

/** scaling_drop() - free it */
void scaling_drop(scaling_t *scaling);

/** scaling_begin() - this node begins to decide: it starts from the upstreams
 *	that are listed, not from its own earlier orders */
void scaling_begin(scaling_t *scaling, const scaling_view_t *view);

/** scaling_observe() - add what is known at this moment; also on nodes that do
 *	not decide, so that they know the demand when they begin to */
void scaling_observe(
    scaling_t *scaling, const scaling_view_t *view, dff_time_t now);

/**
 * scaling_next_order() - the next order that is due
 *
 * Return: true with @order set, which is then in flight until
 * scaling_note_result().
 */
bool scaling_next_order(scaling_t *scaling, const scaling_view_t *view,
    dff_time_t now, scaling_order_t *order);

/** scaling_note_result() - apply the result of an order; false if no such order
 *	is in flight */
bool scaling_note_result(scaling_t *scaling, uint64_t number,
    dff_order_result_t result, dff_time_t now);

/** scaling_plan() - what was wanted when it was last asked */
const scaling_plan_t *scaling_plan(const scaling_t *scaling);

#endif
