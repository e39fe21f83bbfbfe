/*
 * The plan places reclaimable upstreams in so many domains that the loss of
 * those of one domain leaves enough, where that costs less than regular ones.
 * Orders lead from the listed upstreams to the plan: more at once, fewer slowly,
 * and never so that what remains could not bear such a loss.
 */
#include "relay/scaling.h"

#include <math.h>
#include <string.h>

#include "base/fault.h"

/* Time beyond the boot time until a new upstream is listed here. */
#define LISTING_TIME (3 * DFF_SEC)
/* First and longest time without a new order after there were none to be
 * had. */
#define REFUSED_MIN (2 * DFF_SEC)
#define REFUSED_MAX (16 * DFF_SEC)
/* Time without any order after too many calls, and time after which an
 * unanswered or rejected order is repeated. */
#define TOO_MANY_TIME DFF_SEC
#define REPEAT_TIME   DFF_SEC
/* Upstreams that are taken away from a domain at once, as a share of those
 * there: what they have cached is read again elsewhere. */
#define DECREASE_SHARE 0.5
/* Time between two such orders of a pool: a drain, and the reading. */
#define DECREASE_TIME (2 * DFF_SEC)
/* An order for more asks for this multiple; upstreams below a share beyond the
 * plan are kept: both save orders. */
#define INCREASE_FACTOR 1.1
#define SURPLUS_SHARE	0.15
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
/* Fewer upstreams are missing than this share of the plan: no order. */
#define MISSING_SHARE 0.1
/* Share of a domain's upstreams that may fail without a new order. */
#define FAILED_SHARE 0.1
/* Orders in a minute beyond which none asks for fewer: the rest is for more. */
#define DECREASES_MAX (SCALING_ORDERS_MAX * 3 / 4)
#define MINUTE	      (60 * DFF_SEC)

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
} kind_state_t;

typedef struct domain_state {
	char name[DFF_NAME_MAX];
	uint32_t listed_first; /* when this node began to decide */
	kind_state_t kinds[SCALING_KIND_COUNT];
} domain_state_t;

struct scaling {
	scaling_demand_t demand;
	uint32_t listed_first; /* when this node began to decide */
	domain_state_t domains[DFF_SCALING_DOMAINS_MAX];
	uint32_t domain_count;
	scaling_plan_t plan;
	uint64_t next_number;
	dff_time_t paused_until; /* all orders */
	dff_time_t decreased_at; /* last order for fewer */
	dff_time_t sent_at[SCALING_ORDERS_MAX]; /* of the last orders */
	uint32_t sent;
};

const char *
scaling_kind_name(scaling_kind_t kind)
{
	switch (kind) {
	case SCALING_REGULAR:
		return "regular";
	case SCALING_RECLAIMABLE:
		return "reclaimable";
	case SCALING_KIND_COUNT:
		break;
	}
	g_assert_not_reached();
}

scaling_domain_t *
scaling_view_domain(scaling_view_t *view, const char *name)
{
	scaling_domain_t *domain;

	for (uint32_t i = 0; i < view->domain_count; i++) {
		if (strcmp(view->domains[i].name, name) == 0)
			return &view->domains[i];
	}
	if (view->domain_count == DFF_SCALING_DOMAINS_MAX)
		return NULL;
	domain = &view->domains[view->domain_count++];
	memset(domain, 0, sizeof(*domain));
	g_strlcpy(domain->name, name, sizeof(domain->name));
	return domain;
}

scaling_t *
scaling_new(uint64_t first_number)
{
	scaling_t *scaling = g_new0(scaling_t, 1);

	scaling->next_number = first_number;
	return scaling;
}

void
scaling_drop(scaling_t *scaling)
{
	g_free(scaling);
}

const scaling_plan_t *
scaling_plan(const scaling_t *scaling)
{
	return &scaling->plan;
}

static domain_state_t *
find_domain(scaling_t *scaling, const char *name)
{
	domain_state_t *domain;

	for (uint32_t i = 0; i < scaling->domain_count; i++) {
		if (strcmp(scaling->domains[i].name, name) == 0)
			return &scaling->domains[i];
	}
	if (scaling->domain_count == DFF_SCALING_DOMAINS_MAX)
		return NULL;
	domain = &scaling->domains[scaling->domain_count++];
	memset(domain, 0, sizeof(*domain));
	g_strlcpy(domain->name, name, sizeof(domain->name));
	return domain;
}

static uint32_t
total_of(const uint32_t counts[SCALING_KIND_COUNT])
{
	return counts[SCALING_REGULAR] + counts[SCALING_RECLAIMABLE];
}

void
scaling_begin(scaling_t *scaling, const scaling_view_t *view)
{
	scaling->listed_first = 0;
	memset(scaling->domains, 0, sizeof(scaling->domains));
	scaling->domain_count = 0;
	scaling->paused_until = 0;
	scaling->decreased_at = 0;
	for (uint32_t i = 0; i < view->domain_count; i++) {
		domain_state_t *state =
		    find_domain(scaling, view->domains[i].name);

		state->listed_first = total_of(view->domains[i].listed);
		scaling->listed_first += state->listed_first;
	}
}

void
scaling_observe(scaling_t *scaling, const scaling_view_t *view, dff_time_t now)
{
	scaling_demand_add(&scaling->demand, view->need, view->loaded, now);
	for (uint32_t i = 0; i < view->domain_count; i++) {
		const scaling_domain_t *domain = &view->domains[i];
		domain_state_t *state = find_domain(scaling, domain->name);

		if (state == NULL)
			continue;
		for (int kind = 0; kind < SCALING_KIND_COUNT; kind++)
			state->kinds[kind].floor = MAX(state->kinds[kind].floor,
			    MIN(domain->listed[kind],
				state->kinds[kind].count));
	}
}

/* ---- the plan ---- */

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

/* Whether so many upstreams are enough, also without the reclaimable ones of
 * the domain that has most of them. */
static bool
are_enough(const uint32_t (*counts)[SCALING_KIND_COUNT], uint32_t domains,
    uint32_t need)
{
	uint32_t total = 0;
	uint32_t most = 0;

	for (uint32_t i = 0; i < domains; i++) {
		total += total_of(counts[i]);
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

	while (added && !are_enough(wanted, domains, need)) {
		added = false;
		for (uint32_t i = 0; i < domains; i++) {
			uint32_t *counts = wanted[all->index[i]];

			if (total_of(counts) >= bounds->max ||
			    are_enough(wanted, domains, need))
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

	if (total_of(counts) < bounds->min)
		counts[kind] += bounds->min - total_of(counts);
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
		total += total_of(wanted[i]);
	while (added && total < need) {
		added = false;
		for (uint32_t i = 0; i < open->count && total < need; i++) {
			uint32_t *counts = wanted[open->index[i]];

			if (total_of(counts) >= bounds->max)
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
		    find_domain(scaling, view->domains[i].name);

		wanted[i][SCALING_RECLAIMABLE] = keep_first(scaling, state,
		    view, i, wanted[i][SCALING_RECLAIMABLE], now);
		keep_minimum(wanted[i], view->bounds, is_open(state, now));
		g_strlcpy(target->domain, view->domains[i].name,
		    sizeof(target->domain));
		memcpy(target->wanted, wanted[i], sizeof(target->wanted));
	}
}

static void
make_plan(scaling_t *scaling, const scaling_view_t *view, dff_time_t now)
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

		if (is_open(find_domain(scaling, domain->name), now))
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

/* ---- orders ---- */

static uint32_t
count_recent(const scaling_t *scaling, dff_time_t now)
{
	uint32_t recent = 0;

	for (uint32_t i = 0; i < MIN(scaling->sent, SCALING_ORDERS_MAX); i++)
		recent += now - scaling->sent_at[i] < MINUTE;
	return recent;
}

/* Upstreams of a kind that there are, or will be once the last order was
 * carried out. */
static uint32_t
expected_count(const kind_state_t *state, uint32_t listed,
    const dff_scaling_t *bounds, dff_time_t now)
{
	uint32_t failed = (uint32_t)(state->floor * FAILED_SHARE) + 1;

	if (state->ordered_at == 0 ||
	    now - state->ordered_at >= bounds->boot_time + LISTING_TIME)
		return listed;
	if (!state->accepted && state->in_flight == 0 && !state->repeat)
		return listed;
	/* They have left: reclaimed, or an older order was carried out
	 * late. */
	if (listed + failed < state->floor &&
	    !DFF_FAULT(RELAY_SCALING_LATE_IGNORED))
		return listed;
	return state->count;
}

/* Most upstreams of a kind that there may be, whatever became of the last
 * order. */
static uint32_t
most_of(const kind_state_t *state, uint32_t listed, const dff_scaling_t *bounds,
    dff_time_t now)
{
	if (state->ordered_at == 0 ||
	    now - state->ordered_at >= bounds->boot_time + LISTING_TIME)
		return listed;
	return MAX(listed, state->count);
}

/* Whether the domain has an order in flight. */
static bool
is_busy(const domain_state_t *domain)
{
	return !DFF_FAULT(RELAY_SCALING_TWO_IN_FLIGHT) &&
	    (domain->kinds[SCALING_REGULAR].in_flight != 0 ||
		domain->kinds[SCALING_RECLAIMABLE].in_flight != 0);
}

static void
set_order(scaling_t *scaling, const scaling_domain_t *domain,
    scaling_kind_t kind, uint32_t count, const char *why, dff_time_t now,
    scaling_order_t *order)
{
	kind_state_t *state = &find_domain(scaling, domain->name)->kinds[kind];

	*order = (scaling_order_t){.number = scaling->next_number++,
	    .kind = kind,
	    .count = count,
	    .listed = domain->listed[kind],
	    .why = why};
	g_strlcpy(order->domain, domain->name, sizeof(order->domain));
	state->in_flight = order->number;
	state->count = count;
	state->floor = MIN(domain->listed[kind], count);
	state->accepted = false;
	state->ordered_at = now;
	scaling->sent_at[scaling->sent % SCALING_ORDERS_MAX] = now;
	scaling->sent++;
}

/* An order whose result is not known is sent again before any other. */
static bool
repeat_order(scaling_t *scaling, const scaling_domain_t *domain, dff_time_t now,
    scaling_order_t *order)
{
	domain_state_t *state = find_domain(scaling, domain->name);

	for (int kind = 0; kind < SCALING_KIND_COUNT; kind++) {
		if (!state->kinds[kind].repeat ||
		    now < state->kinds[kind].not_before)
			continue;
		set_order(scaling, domain, kind, state->kinds[kind].count,
		    "unanswered", now, order);
		return true;
	}
	return false;
}

static bool
order_more(scaling_t *scaling, const scaling_view_t *view, uint32_t index,
    dff_time_t now, scaling_order_t *order)
{
	const scaling_domain_t *domain = &view->domains[index];
	domain_state_t *state = find_domain(scaling, domain->name);
	const uint32_t *wanted = scaling->plan.targets[index].wanted;
	uint32_t expected[SCALING_KIND_COUNT];

	for (int kind = 0; kind < SCALING_KIND_COUNT; kind++)
		expected[kind] = expected_count(&state->kinds[kind],
		    domain->listed[kind], view->bounds, now);
	for (int kind = 0; kind < SCALING_KIND_COUNT; kind++) {
		int other_kind = SCALING_KIND_COUNT - 1 - kind;
		uint32_t other = most_of(&state->kinds[other_kind],
		    domain->listed[other_kind], view->bounds, now);
		uint32_t room =
		    view->bounds->max - MIN(other, view->bounds->max);
		uint32_t count = (uint32_t)ceil(wanted[kind] * INCREASE_FACTOR);

		if (expected[kind] >= wanted[kind] ||
		    (total_of(expected) > 0 &&
			wanted[kind] - expected[kind] <
			    total_of(wanted) * MISSING_SHARE) ||
		    state->kinds[kind].repeat ||
		    now < state->kinds[kind].not_before)
			continue;
		/* Before the demand is known the plan has spare enough. */
		if (!scaling_demand_is_known(&scaling->demand, now))
			count = wanted[kind];
		count = MIN(count, room);
		if (count <= expected[kind])
			continue;
		set_order(scaling, domain, kind, count, "too_few", now, order);
		return true;
	}
	return false;
}

/* Whether what serves now, without @fewer upstreams, still bears a loss. */
static bool
may_lose(const scaling_t *scaling, const scaling_view_t *view, uint32_t index,
    scaling_kind_t kind, uint32_t fewer, dff_time_t now)
{
	uint32_t counts[DFF_SCALING_DOMAINS_MAX][SCALING_KIND_COUNT];
	uint32_t total = 0;

	for (uint32_t i = 0; i < view->domain_count; i++) {
		memcpy(counts[i], view->domains[i].listed, sizeof(counts[i]));
		total += total_of(counts[i]);
	}
	/* Before the demand is known, only replaced ones may leave. */
	if (!scaling_demand_is_known(&scaling->demand, now) &&
	    !DFF_FAULT(RELAY_SCALING_HASTY) &&
	    (kind == SCALING_RECLAIMABLE ||
		total - fewer < scaling->listed_first))
		return false;
	counts[index][kind] -= fewer;
	return are_enough(counts, view->domain_count, scaling->plan.need);
}

static bool
order_fewer(scaling_t *scaling, const scaling_view_t *view, uint32_t index,
    scaling_kind_t kind, dff_time_t now, scaling_order_t *order)
{
	const scaling_domain_t *domain = &view->domains[index];
	const kind_state_t *state =
	    &find_domain(scaling, domain->name)->kinds[kind];
	uint32_t wanted = scaling->plan.targets[index].wanted[kind];
	uint32_t listed = domain->listed[kind];
	uint32_t total = total_of(domain->listed);
	uint32_t step = listed;
	uint32_t surplus;

	if (listed <= wanted || state->repeat || now < state->not_before ||
	    expected_count(state, listed, view->bounds, now) != listed)
		return false;
	surplus = listed - wanted;
	if (wanted > 0 && surplus <= (uint32_t)(listed * SURPLUS_SHARE) + 1)
		return false;
	if (view->keeps_parts)
		step = (uint32_t)(total * DECREASE_SHARE) + 1;
	if (view->keeps_parts && scaling->decreased_at != 0 &&
	    now - scaling->decreased_at < DECREASE_TIME)
		return false;
	surplus = MIN(surplus, step);
	if (total - surplus < view->bounds->min)
		surplus = total - MIN(view->bounds->min, total);
	while (
	    surplus > 0 && !may_lose(scaling, view, index, kind, surplus, now))
		surplus--;
	if (surplus == 0)
		return false;
	set_order(
	    scaling, domain, kind, listed - surplus, "too_many", now, order);
	scaling->decreased_at = now;
	return true;
}

static bool
is_ready(scaling_t *scaling, const scaling_domain_t *domain)
{
	const domain_state_t *state = find_domain(scaling, domain->name);

	return state != NULL && !is_busy(state);
}

bool
scaling_next_order(scaling_t *scaling, const scaling_view_t *view,
    dff_time_t now, scaling_order_t *order)
{
	uint32_t recent = count_recent(scaling, now);

	make_plan(scaling, view, now);
	if (now < scaling->paused_until || recent >= SCALING_ORDERS_MAX)
		return false;
	for (uint32_t i = 0; i < view->domain_count; i++) {
		if (is_ready(scaling, &view->domains[i]) &&
		    repeat_order(scaling, &view->domains[i], now, order))
			return true;
	}
	for (uint32_t i = 0; i < view->domain_count; i++) {
		if (is_ready(scaling, &view->domains[i]) &&
		    order_more(scaling, view, i, now, order))
			return true;
	}
	if (recent >= DECREASES_MAX)
		return false;
	for (int kind = 0; kind < SCALING_KIND_COUNT; kind++) {
		for (uint32_t i = 0; i < view->domain_count; i++) {
			if (is_ready(scaling, &view->domains[i]) &&
			    order_fewer(scaling, view, i, kind, now, order))
				return true;
		}
	}
	return false;
}

static kind_state_t *
find_in_flight(scaling_t *scaling, uint64_t number)
{
	for (uint32_t i = 0; i < scaling->domain_count; i++) {
		for (int kind = 0; kind < SCALING_KIND_COUNT; kind++) {
			if (scaling->domains[i].kinds[kind].in_flight == number)
				return &scaling->domains[i].kinds[kind];
		}
	}
	return NULL;
}

bool
scaling_note_result(scaling_t *scaling, uint64_t number,
    dff_order_result_t result, dff_time_t now)
{
	kind_state_t *state = find_in_flight(scaling, number);

	if (state == NULL)
		return false;
	state->in_flight = 0;
	state->repeat = false;
	switch (result) {
	case DFF_ORDERED_ACCEPTED:
		state->accepted = true;
		state->ordered_at = now;
		state->refused_time = 0;
		state->not_before = 0;
		break;
	case DFF_ORDERED_NONE_AVAILABLE:
		state->refused_time = state->refused_time == 0 ?
		    REFUSED_MIN :
		    MIN(2 * state->refused_time, REFUSED_MAX);
		if (DFF_FAULT(RELAY_SCALING_REFUSAL_IGNORED))
			state->refused_time = 0;
		state->not_before = now + state->refused_time;
		break;
	case DFF_ORDERED_TOO_MANY:
		scaling->paused_until = now + TOO_MANY_TIME;
		break;
	case DFF_ORDERED_UNANSWERED:
		state->repeat = !DFF_FAULT(RELAY_SCALING_NO_REPEAT);
		state->not_before = now + REPEAT_TIME;
		break;
	case DFF_ORDERED_REJECTED:
		state->not_before = now + REFUSED_MAX;
		break;
	}
	return true;
}
