/*
 * Parts that shares.c and share_fleet.c share.
 */
#ifndef DFF_RELAY_SHARE_PARTS_H
#define DFF_RELAY_SHARE_PARTS_H

#include <glib.h>

#include "relay/share_level.h"
#include "relay/share_sum.h"
#include "relay/shares.h"

/* Use below this is forgotten, in milliseconds. */
#define USE_MIN 0.01
/* Refused requests that are remembered. */
#define REFUSED_SLOTS 1024

/* Own use of a pool by one organisation. */
typedef struct share_use {
	uint32_t rank;
	share_sum_t offered;
} share_use_t;

/* The last report of one source. */
typedef struct share_source {
	uint64_t id;
	bool in_domain;
	dff_time_t heard_at;
	share_report_t report;
} share_source_t;

typedef struct share_pool {
	uint32_t key;
	GHashTable *uses; /* key of an organisation to share_use_t */
	share_sum_t offered;
	share_sum_t admitted;
	share_sum_t squares; /* of the engine times offered */
	GArray *sources; /* share_source_t */
	/* Shortest longest wait of a request since @waits_at, and before. */
	dff_time_t waits[2];
	dff_time_t waits_at;
	/* Computed before, and again at @compute_at: */
	dff_time_t compute_at;
	bool is_short;
	bool is_reported; /* some node refuses a part */
	GHashTable *demands; /* key of an organisation to share_demand_t */
	double unit; /* variance of a demand, divided by the demand */
	double scale; /* nodes of the fleet per node that reported */
} share_pool_t;

typedef struct share_refused {
	uint64_t content;
	dff_time_t at;
} share_refused_t;

struct shares {
	GHashTable *pools; /* key to share_pool_t */
	uint32_t nodes;
	uint32_t organisations;
	share_refused_t refused[REFUSED_SLOTS];
};

/** share_pool_get() - a pool's table, added if it is new */
share_pool_t *share_pool_get(shares_t *shares, uint32_t key);

/** share_pool_compute() - divide the room anew if that is due */
void share_pool_compute(
    const shares_t *shares, share_pool_t *pool, dff_time_t now);

/** share_pool_is_over() - whether an organisation asks for more than its share,
 *	beyond what the error of a small sample explains */
bool share_pool_is_over(const share_pool_t *pool, const share_demand_t *demand);

#endif
