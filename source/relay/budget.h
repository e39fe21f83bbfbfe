/*
 * The budget of extra sends, one for all nodes, over sliding windows. Each
 * node spends its own part: a ratio of the requests that it took itself and
 * an equal share of the slack. Load answered: a crash of several upstreams
 * at once, and callers that repeat at once, must not multiply the work.
 */
#ifndef DFF_RELAY_BUDGET_H
#define DFF_RELAY_BUDGET_H

#include "dragonflyfall/relay.h"

/** typedef budget_t - the budgets of all pools */
typedef struct budget budget_t;

/** budget_new() - none spent; the caller drops it */
budget_t *budget_new(void);

/** budget_drop() - free it */
void budget_drop(budget_t *budget);

/** budget_set() - figures in force; @nodes share the slack */
void budget_set(budget_t *budget, dff_time_t window, double ratio, double slack,
    uint32_t nodes);

/** budget_note_request() - a caller's request for a pool arrived */
void budget_note_request(budget_t *budget, const char *pool, dff_time_t now);

/** budget_take() - spend one extra send, if one is left */
bool budget_take(budget_t *budget, const char *pool, dff_time_t now);

/** budget_left() - extra sends left to this node */
double budget_left(budget_t *budget, const char *pool, dff_time_t now);

#endif
