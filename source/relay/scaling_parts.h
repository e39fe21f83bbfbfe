/*
 * State shared by the files of scaling.
 */
#ifndef DFF_RELAY_SCALING_PARTS_H
#define DFF_RELAY_SCALING_PARTS_H

#include "relay/scaling.h"

/* Orders of one kind in one domain. */
typedef struct kind_state {
	uint64_t in_flight; /* number; 0 for none */
	uint32_t count; /* of the last order */
	uint32_t floor; /* most that were listed since, at most @count */
	bool accepted; /* it is being carried out */
	bool repeat; /* its result is not known */
	dff_time_t ordered_at; /* 0 for none */
	dff_time_t not_before;
	dff_time_t refused_time; /* last wait after a refusal; 0 for none */
	dff_time_t refused_at; /* 0 if the last result was no refusal */
} kind_state_t;

typedef struct domain_state {
	char name[DFF_NAME_MAX];
	uint32_t listed_first; /* when this node began to decide */
	kind_state_t kinds[SCALING_KIND_COUNT];
} domain_state_t;

struct scaling {
	scaling_demand_t demand;
	uint32_t listed_first; /* when this node began to decide */
	uint32_t listed; /* at the last change by a tenth */
	dff_time_t grown_at; /* last time that more were listed by a tenth */
	domain_state_t domains[DFF_SCALING_DOMAINS_MAX];
	uint32_t domain_count;
	scaling_plan_t plan;
	uint64_t next_number;
	dff_time_t paused_until; /* all orders */
	dff_time_t decreased_at; /* last order for fewer */
	scaling_pace_t pace;
};

/** scaling_find_domain() - state of a domain, added if it is missing; NULL if
 *	there is no room */
domain_state_t *scaling_find_domain(scaling_t *scaling, const char *name);

/** scaling_total_of() - upstreams of both kinds */
uint32_t scaling_total_of(const uint32_t counts[SCALING_KIND_COUNT]);

/** scaling_are_enough() - whether so many upstreams are enough, also without the
 *	reclaimable ones of the domain that has most of them */
bool scaling_are_enough(const uint32_t (*counts)[SCALING_KIND_COUNT],
    uint32_t domains, uint32_t need);

/** scaling_make_plan() - decide what is wanted now */
void scaling_make_plan(
    scaling_t *scaling, const scaling_view_t *view, dff_time_t now);

#endif
