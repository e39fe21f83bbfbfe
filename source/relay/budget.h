/*
 * The retry budget: bounds the extra sends of all nodes together over sliding
 * windows. Each node spends its own part: a ratio of the requests that it
 * received and an equal share of the slack. Without the bound, a crash of
 * several upstreams at once or many callers that retry at once would multiply
 * the load.
 */
#ifndef DFF_RELAY_BUDGET_H
#define DFF_RELAY_BUDGET_H

#include "dragonflyfall/relay.h"

/** typedef budget_t - the budgets of all pools */
typedef struct budget budget_t;

/** budget_new() - make unspent budgets; the caller drops them */
budget_t *budget_new(void);

/** budget_drop() - free the budgets */
void budget_drop(budget_t *budget);

/** budget_set() - set the limits; @nodes share the slack */
void budget_set(budget_t *budget, dff_time_t window, double ratio, double slack,
    uint32_t nodes);

/** budget_note_request() - count a caller's request for a pool */
void budget_note_request(budget_t *budget, const char *pool, dff_time_t now);

/** budget_take() - spend one extra send; false if none is left */
bool budget_take(budget_t *budget, const char *pool, dff_time_t now);

/** budget_left() - extra sends that this node may still spend */
double budget_left(budget_t *budget, const char *pool, dff_time_t now);

#endif
