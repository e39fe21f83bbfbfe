/*
 * The plan places reclaimable upstreams in so many domains that the loss of
 * those of one domain leaves enough, where that costs less than regular ones.
 */
#include <math.h>
#include <string.h>

#include "base/fault.h"
#include "relay/scaling_parts.h"

/* Share of the need that must remain when the reclaimable upstreams of one
 * domain are lost: the need has room for a load that nearly doubles, which is
 * not expected at the same moment. */
#define LOSS_SHARE 0.7
/* Upstreams beyond the need, as a factor, where reclaimable ones cost at most
 * half of regular ones: fewer prompts meet one that reads another. */
#define CHEAP_FACTOR 1.5
#define CHEAP_PRICE  0.5
/* Share of the cost below which fewer domains are preferred. */
#define SAVING_SHARE 0.8

static double
price_of(const dff_scaling_t *bounds, const char *domain)
{
	for (uint32_t i = 0; i < bounds->price_count; i++) {
		if (strcmp(bounds->prices[i].domain, domain) == 0)
			return bounds->prices[i].price;
	}
	return 1.0;
}

/* Domains of a view by price, the cheapest first. */
typedef struct by_price {
	uint32_t index[DFF_SCALING_DOMAINS_MAX];
	double price[DFF_SCALING_DOMAINS_MAX];
	uint32_t count;
} by_price_t;

static void
insert_by_price(by_price_t *list, uint32_t index, double price)
{
	uint32_t at = list->count++;

	for (; at > 0 && list->price[at - 1] > price; at--) {
		list->index[at] = list->index[at - 1];
		list->price[at] = list->price[at - 1];
	}
	list->index[at] = index;
	list->price[at] = price;
}

/* Number of upstreams in each of @domains domains; 0 if they cannot bear the
 * loss of one. */
static uint32_t
each_of(double need, uint32_t domains)
{
	double each = need / domains;

	if (DFF_FAULT(RELAY_SCALING_NO_SPARE))
		return (uint32_t)ceil(each);
	if (domains < 2)
		return 0;
	return (uint32_t)ceil(MAX(each, LOSS_SHARE * need / (domains - 1)));
}

/* Number of the cheapest domains to have reclaimable upstreams, 0 if regular
 * ones cost less. More domains lose less at once: fewer must cost clearly
 * less. */
static uint32_t
choose_spread(const by_price_t *open, const dff_scaling_t *bounds, double need,
    double regular_price)
{
	double least = need * regular_price;
	uint32_t chosen = 0;

	if (bounds->reclaimable_price <= 0)
		return 0;
	for (uint32_t k = open->count; k > 0; k--) {
		uint32_t each = each_of(need, k);
		double cost = 0;

		for (uint32_t i = 0; i < k; i++)
			cost +=
			    each * open->price[i] * bounds->reclaimable_price;
		if (each == 0 || each > bounds->max ||
		    cost >= least * (chosen == 0 ? 1 : SAVING_SHARE))
			continue;
		least = cost;
		chosen = k;
	}
	/* More than one domain could hold: as many as there can be. */
	if (chosen == 0 && open->count > 1 && bounds->reclaimable_price < 1)
		return open->count;
	return chosen;
}

bool
scaling_are_enough(const uint32_t (*counts)[SCALING_KIND_COUNT],
    uint32_t domains, uint32_t need)
{
	uint32_t total = 0;
	uint32_t most = 0;

	for (uint32_t i = 0; i < domains; i++) {
		total += scaling_total_of(counts[i]);
		most = MAX(most, counts[i][SCALING_RECLAIMABLE]);
	}
	if (DFF_FAULT(RELAY_SCALING_NO_SPARE))
		most = 0;
	return total >= need && total - most >= LOSS_SHARE * need;
}

/* Regular upstreams for what is missing, evenly, the cheapest domain first. */
static void
add_regular(uint32_t (*wanted)[SCALING_KIND_COUNT], const by_price_t *all,
    const dff_scaling_t *bounds, uint32_t need)
{
	uint32_t domains = all->count;
	bool added = true;

	while (added && !scaling_are_enough(wanted, domains, need)) {
		added = false;
		for (uint32_t i = 0; i < domains; i++) {
			uint32_t *counts = wanted[all->index[i]];

			if (scaling_total_of(counts) >= bounds->max ||
			    scaling_are_enough(wanted, domains, need))
				continue;
			counts[SCALING_REGULAR]++;
			added = true;
		}
	}
}

static void
keep_minimum(uint32_t counts[SCALING_KIND_COUNT], const dff_scaling_t *bounds,
    bool is_open)
{
	scaling_kind_t kind = is_open && bounds->reclaimable_price > 0 &&
		bounds->reclaimable_price < 1 ?
	    SCALING_RECLAIMABLE :
	    SCALING_REGULAR;

	if (scaling_total_of(counts) < bounds->min)
		counts[kind] += bounds->min - scaling_total_of(counts);
}

/* Whether reclaimable upstreams may be had in a domain. */
static bool
is_open(const domain_state_t *state, dff_time_t now)
{
	const kind_state_t *kind;

	if (state == NULL)
		return false;
	kind = &state->kinds[SCALING_RECLAIMABLE];
	return kind->refused_time == 0 || now >= kind->not_before;
}

/* Before the demand is known nothing is taken away, but regular upstreams are
 * replaced, one for one. */
static uint32_t
keep_first(const scaling_t *scaling, const domain_state_t *state,
    const scaling_view_t *view, uint32_t index, uint32_t wanted, dff_time_t now)
{
	const dff_scaling_t *bounds = view->bounds;
	const uint32_t *listed = view->domains[index].listed;

	if (scaling_demand_is_known(&scaling->demand, now) ||
	    DFF_FAULT(RELAY_SCALING_HASTY))
		return wanted;
	wanted = MAX(wanted, listed[SCALING_RECLAIMABLE]);
	if (listed[SCALING_REGULAR] > 0 && bounds->reclaimable_price > 0 &&
	    bounds->reclaimable_price < 1 && is_open(state, now))
		wanted = MAX(wanted, MIN(state->listed_first, bounds->max));
	return wanted;
}

/* More reclaimable upstreams where there are some to be had, for domains where
 * there are none now. */
static void
add_reclaimable(uint32_t (*wanted)[SCALING_KIND_COUNT], const by_price_t *open,
    const dff_scaling_t *bounds, uint32_t domains, uint32_t need)
{
	uint32_t total = 0;
	bool added = true;

	for (uint32_t i = 0; i < domains; i++)
		total += scaling_total_of(wanted[i]);
	while (added && total < need) {
		added = false;
		for (uint32_t i = 0; i < open->count && total < need; i++) {
			uint32_t *counts = wanted[open->index[i]];

			if (scaling_total_of(counts) >= bounds->max)
				continue;
			counts[SCALING_RECLAIMABLE]++;
			total++;
			added = true;
		}
	}
}

static void
set_targets(scaling_t *scaling, const scaling_view_t *view,
    uint32_t (*wanted)[SCALING_KIND_COUNT], dff_time_t now)
{
	scaling->plan.target_count = view->domain_count;
	for (uint32_t i = 0; i < view->domain_count; i++) {
		scaling_target_t *target = &scaling->plan.targets[i];
		const domain_state_t *state =
		    scaling_find_domain(scaling, view->domains[i].name);

		wanted[i][SCALING_RECLAIMABLE] = keep_first(scaling, state,
		    view, i, wanted[i][SCALING_RECLAIMABLE], now);
		keep_minimum(wanted[i], view->bounds, is_open(state, now));
		g_strlcpy(target->domain, view->domains[i].name,
		    sizeof(target->domain));
		memcpy(target->wanted, wanted[i], sizeof(target->wanted));
	}
}

void
scaling_make_plan(
    scaling_t *scaling, const scaling_view_t *view, dff_time_t now)
{
	const dff_scaling_t *bounds = view->bounds;
	uint32_t wanted[DFF_SCALING_DOMAINS_MAX][SCALING_KIND_COUNT] = {0};
	by_price_t open = {.count = 0};
	by_price_t all = {.count = 0};
	double need = ceil(scaling_demand_peak(&scaling->demand));
	double with_spare = need;
	double prices = 0;
	uint32_t spread;

	if (bounds->reclaimable_price <= CHEAP_PRICE)
		with_spare = ceil(need * CHEAP_FACTOR);
	for (uint32_t i = 0; i < view->domain_count; i++) {
		double price = price_of(bounds, view->domains[i].name);

		insert_by_price(&all, i, price);
		prices += price;
	}
	spread = choose_spread(
	    &all, bounds, need, prices / MAX(view->domain_count, 1));
	for (uint32_t i = 0; i < spread; i++) {
		const scaling_domain_t *domain = &view->domains[all.index[i]];
		uint32_t each = MIN(each_of(with_spare, spread), bounds->max);

		if (is_open(scaling_find_domain(scaling, domain->name), now))
			insert_by_price(&open, all.index[i], all.price[i]);
		else
			each = MIN(each, domain->listed[SCALING_RECLAIMABLE]);
		wanted[all.index[i]][SCALING_RECLAIMABLE] = each;
	}
	add_reclaimable(
	    wanted, &open, bounds, view->domain_count, (uint32_t)with_spare);
	add_regular(wanted, &all, bounds, (uint32_t)need);
	scaling->plan.need = (uint32_t)need;
	set_targets(scaling, view, wanted, now);
}
