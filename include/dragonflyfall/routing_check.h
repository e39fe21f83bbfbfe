/*
 * Check of a routing before it is sent to the nodes: entries that can never
 * match, limits that contradict each other, and what differs from the version
 * in force. No I/O.
 */
#ifndef DRAGONFLYFALL_ROUTING_CHECK_H
#define DRAGONFLYFALL_ROUTING_CHECK_H

#include "dragonflyfall/relay.h"

/** enum dff_section - part of a routing that a finding is about */
typedef enum dff_section {
	DFF_SECTION_WHOLE,
	DFF_SECTION_ROUTES,
	DFF_SECTION_POOLS,
	DFF_SECTION_ORGANISATIONS,
	DFF_SECTION_LIMITS
} dff_section_t;

/**
 * struct dff_finding - something that is wrong or has no effect
 * @is_error: wrong; else it is allowed and probably not meant
 * @section: where
 * @index: of the entry in its section, from 0; 0 for the whole and the limits
 * @name: of the entry, may be empty
 * @code: constant text, for programs
 * @text: for people
 */
typedef struct dff_finding {
	bool is_error;
	dff_section_t section;
	uint32_t index;
	char name[DFF_NAME_MAX];
	const char *code;
	char text[240];
} dff_finding_t;

/** enum dff_change - how an entry differs */
typedef enum dff_change {
	DFF_CHANGE_ADDED,
	DFF_CHANGE_REMOVED,
	DFF_CHANGE_CHANGED
} dff_change_t;

/**
 * struct dff_difference - an entry that differs between two routings
 * @name: of the entry; of a route, its host and prefix; empty for the limits
 * @text: the fields that changed, with the value before and the new one; empty
 *	for entries that were added or removed; owned
 */
typedef struct dff_difference {
	dff_change_t change;
	dff_section_t section;
	char *name;
	char *text;
} dff_difference_t;

/**
 * dff_routing_check() - find what is wrong or has no effect
 * @domains: the failure domains that there are, NULL-terminated; NULL if they
 *	are not known and domains are not checked
 * @in_force: the version in force, NULL if it is not known
 *
 * Return: GArray of dff_finding_t in the order of the sections, which the
 * caller unrefs.
 */
GArray *dff_routing_check(const dff_routing_t *routing,
    const char *const *domains, const dff_routing_t *in_force);

/**
 * dff_routing_compare() - find what differs from an earlier version
 *
 * Routes are told apart by host and prefix, pools and organisations by name.
 * Keys are compared and not shown.
 *
 * Return: GArray of dff_difference_t, which the caller unrefs.
 */
GArray *dff_routing_compare(
    const dff_routing_t *before, const dff_routing_t *after);

#endif
