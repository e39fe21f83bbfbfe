#include "base/fault.h"
#include "relay/budget.h"

#include <string.h>

/* Slots of one window. */
#define SLOTS 50
/* Share of the allowance that is spent: sends arrive later than they are
 * counted, and a sliding window may cover one slot more. */
#define SPEND_SHARE 0.8

/* Counts of the last window of one pool, in time slots. */
typedef struct window {
	int64_t slot; /* number of the newest slot */
	uint32_t requests[SLOTS + 1];
	uint32_t extras[SLOTS + 1];
} window_t;

struct budget {
	GHashTable *pools; /* name to window_t */
	dff_time_t window_time;
	double ratio;
	double slack;
	uint32_t nodes;
};

budget_t *
budget_new(void)
{
	budget_t *budget = g_new0(budget_t, 1);

	budget->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	budget->window_time = DFF_SEC;
	budget->nodes = 1;
	return budget;
}

void
budget_drop(budget_t *budget)
{
	g_hash_table_unref(budget->pools);
	g_free(budget);
}

void
budget_set(budget_t *budget, dff_time_t window, double ratio, double slack,
    uint32_t nodes)
{
	budget->window_time = MAX(window, DFF_SEC);
	budget->ratio = ratio;
	budget->slack = slack;
	budget->nodes = DFF_FAULT(RELAY_BUDGET_WHOLE) ? 1 : MAX(nodes, 1);
}

/* Get the window of a pool, advanced to @now. */
static window_t *
window_at(budget_t *budget, const char *pool, dff_time_t now)
{
	window_t *window = g_hash_table_lookup(budget->pools, pool);
	int64_t slot = now / (budget->window_time / SLOTS);

	if (window == NULL) {
		window = g_new0(window_t, 1);
		window->slot = slot;
		g_hash_table_insert(budget->pools, g_strdup(pool), window);
	}
	if (slot - window->slot > SLOTS) {
		memset(window->requests, 0, sizeof(window->requests));
		memset(window->extras, 0, sizeof(window->extras));
		window->slot = slot;
	}
	while (window->slot < slot) {
		window->slot++;
		window->requests[window->slot % (SLOTS + 1)] = 0;
		window->extras[window->slot % (SLOTS + 1)] = 0;
	}
	return window;
}

void
budget_note_request(budget_t *budget, const char *pool, dff_time_t now)
{
	window_t *window = window_at(budget, pool, now);

	window->requests[window->slot % (SLOTS + 1)]++;
}

double
budget_left(budget_t *budget, const char *pool, dff_time_t now)
{
	const window_t *window = window_at(budget, pool, now);
	double requests = 0;
	double extras = 0;

	for (int i = 0; i <= SLOTS; i++) {
		requests += window->requests[i];
		extras += window->extras[i];
	}
	return SPEND_SHARE *
	    (budget->ratio * requests + budget->slack / budget->nodes) -
	    extras;
}

bool
budget_take(budget_t *budget, const char *pool, dff_time_t now)
{
	window_t *window;

	if (budget_left(budget, pool, now) < 1.0)
		return false;
	window = window_at(budget, pool, now);
	window->extras[window->slot % (SLOTS + 1)]++;
	return true;
}
