/*
 * Orders lead from the listed upstreams to the plan: more at once, fewer slowly,
 * and never so that what remains could not bear the loss of a domain.
 */
#include "relay/scaling_parts.h"

#include <math.h>
#include <string.h>

#include "base/fault.h"

/* Time beyond the boot time until a new upstream is listed here. */
#define LISTING_TIME (3 * DFF_SEC)
/* First and longest time without a new order after there were none to be
 * had. */
#define REFUSED_MIN (2 * DFF_SEC)
#define REFUSED_MAX (16 * DFF_SEC)
/* Longest time while regular upstreams stand in for reclaimable ones, for more
 * than this share of the need. */
#define STAND_IN_MAX   (4 * DFF_SEC)
#define STAND_IN_SHARE 0.1
/* Time without any order after too many calls, and time after which an
 * unanswered or rejected order is repeated. */
#define TOO_MANY_TIME DFF_SEC
#define REPEAT_TIME   DFF_SEC
/* Upstreams that start together are listed at most this long after each other.
 */
#define SETTLE_TIME  DFF_SEC
#define GROWTH_SHARE 0.1
/* Upstreams that are taken away from a domain at once, as a share of those
 * there: what they have cached is read again elsewhere. */
#define DECREASE_SHARE 0.5
/* Time between two such orders of a pool: a drain, and the reading. */
#define DECREASE_TIME (2 * DFF_SEC)
/* An order for more asks for this multiple; upstreams below a share beyond the
 * plan are kept: both save orders. */
#define INCREASE_FACTOR 1.1
#define SURPLUS_SHARE	0.15
/* Fewer upstreams are missing than this share of the plan: no order. */
#define MISSING_SHARE 0.1
/* Share of a domain's upstreams that may fail without a new order. */
#define FAILED_SHARE 0.1
/* Orders in a minute beyond which none asks for fewer: the rest is for more. */
#define DECREASES_MAX (SCALING_ORDERS_MAX * 3 / 4)

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

domain_state_t *
scaling_find_domain(scaling_t *scaling, const char *name)
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

uint32_t
scaling_total_of(const uint32_t counts[SCALING_KIND_COUNT])
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
		    scaling_find_domain(scaling, view->domains[i].name);

		state->listed_first = scaling_total_of(view->domains[i].listed);
		scaling->listed_first += state->listed_first;
	}
}

/* Regular upstreams that are listed late count among the first ones. */
static void
observe_listed(scaling_t *scaling, const scaling_view_t *view, dff_time_t now)
{
	uint32_t listed = 0;

	scaling->listed_first = 0;
	for (uint32_t i = 0; i < view->domain_count; i++) {
		const scaling_domain_t *domain = &view->domains[i];
		domain_state_t *state =
		    scaling_find_domain(scaling, domain->name);

		listed += scaling_total_of(domain->listed);
		if (state == NULL)
			continue;
		state->listed_first =
		    MAX(state->listed_first, domain->listed[SCALING_REGULAR]);
		scaling->listed_first += state->listed_first;
	}
	if (listed > scaling->listed * (1 + GROWTH_SHARE)) {
		scaling->grown_at = now;
		scaling->listed = listed;
	}
	scaling->listed = MIN(scaling->listed, listed);
}

void
scaling_observe(scaling_t *scaling, const scaling_view_t *view, dff_time_t now)
{
	scaling_demand_add(&scaling->demand, view->need, view->loaded, now);
	observe_listed(scaling, view, now);
	for (uint32_t i = 0; i < view->domain_count; i++) {
		const scaling_domain_t *domain = &view->domains[i];
		domain_state_t *state =
		    scaling_find_domain(scaling, domain->name);

		if (state == NULL)
			continue;
		for (int kind = 0; kind < SCALING_KIND_COUNT; kind++)
			state->kinds[kind].floor = MAX(state->kinds[kind].floor,
			    MIN(domain->listed[kind],
				state->kinds[kind].count));
	}
}

/* ---- orders ---- */

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

/* Fewest upstreams of a kind that remain while the last order is carried out. */
static uint32_t
least_of(const kind_state_t *state, uint32_t listed,
    const dff_scaling_t *bounds, dff_time_t now)
{
	if (state->ordered_at == 0 ||
	    now - state->ordered_at >= bounds->boot_time + LISTING_TIME ||
	    (!state->accepted && state->in_flight == 0 && !state->repeat))
		return listed;
	return MIN(listed, state->count);
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
	kind_state_t *state =
	    &scaling_find_domain(scaling, domain->name)->kinds[kind];

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
	scaling_pace_note(&scaling->pace, order->number, now);
}

/* An order whose result is not known is sent again before any other. */
static bool
repeat_order(scaling_t *scaling, const scaling_domain_t *domain, dff_time_t now,
    scaling_order_t *order)
{
	domain_state_t *state = scaling_find_domain(scaling, domain->name);

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

/* Asks again where there were no reclaimable upstreams to be had @wait ago or
 * longer. */
static bool
reopen_domains(scaling_t *scaling, dff_time_t wait, dff_time_t now)
{
	bool reopened = false;

	for (uint32_t i = 0; i < scaling->domain_count; i++) {
		kind_state_t *state =
		    &scaling->domains[i].kinds[SCALING_RECLAIMABLE];

		if (state->refused_at == 0 || now >= state->not_before ||
		    now - state->refused_at < wait)
			continue;
		state->not_before = now;
		reopened = true;
	}
	return reopened;
}

static uint32_t
count_regular(const scaling_view_t *view)
{
	uint32_t regular = 0;

	for (uint32_t i = 0; i < view->domain_count; i++)
		regular += view->domains[i].listed[SCALING_REGULAR];
	return regular;
}

static bool
order_more(scaling_t *scaling, const scaling_view_t *view, uint32_t index,
    dff_time_t now, scaling_order_t *order)
{
	const scaling_domain_t *domain = &view->domains[index];
	domain_state_t *state = scaling_find_domain(scaling, domain->name);
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
		    (scaling_total_of(expected) > 0 &&
			wanted[kind] - expected[kind] <
			    scaling_total_of(wanted) * MISSING_SHARE) ||
		    state->kinds[kind].repeat ||
		    now < state->kinds[kind].not_before)
			continue;
		/* Before the demand is known the plan has spare enough. */
		if (!scaling_demand_is_known(&scaling->demand, now))
			count = wanted[kind];
		count = MIN(count, room);
		count = expected[kind] +
		    scaling_pace_limit(&scaling->pace, view->changes_per_s,
			count - MIN(count, expected[kind]));
		if (count <= expected[kind])
			continue;
		if (kind == SCALING_REGULAR &&
		    reopen_domains(scaling, REFUSED_MIN, now)) {
			scaling_make_plan(scaling, view, now);
			return order_more(scaling, view, index, now, order);
		}
		set_order(scaling, domain, kind, count, "too_few", now, order);
		scaling_pace_take(
		    &scaling->pace, order->number, count - expected[kind]);
		return true;
	}
	return false;
}

/* Upstreams of a domain that serve now and stay. */
static void
count_staying(scaling_t *scaling, const scaling_view_t *view, uint32_t index,
    dff_time_t now, uint32_t counts[SCALING_KIND_COUNT])
{
	const scaling_domain_t *domain = &view->domains[index];
	const domain_state_t *state =
	    scaling_find_domain(scaling, domain->name);

	for (int kind = 0; kind < SCALING_KIND_COUNT; kind++)
		counts[kind] = state == NULL ?
		    domain->listed[kind] :
		    least_of(&state->kinds[kind], domain->listed[kind],
			view->bounds, now);
}

/* Whether what stays of those that serve now, without @fewer upstreams, still
 * bears a loss. */
static bool
may_lose(scaling_t *scaling, const scaling_view_t *view, uint32_t index,
    scaling_kind_t kind, uint32_t fewer, dff_time_t now)
{
	uint32_t counts[DFF_SCALING_DOMAINS_MAX][SCALING_KIND_COUNT];
	uint32_t total = 0;

	for (uint32_t i = 0; i < view->domain_count; i++) {
		count_staying(scaling, view, i, now, counts[i]);
		total += scaling_total_of(counts[i]);
	}
	/* Before the demand is known, only replaced ones may leave. */
	if (!scaling_demand_is_known(&scaling->demand, now) &&
	    !DFF_FAULT(RELAY_SCALING_HASTY) &&
	    (kind == SCALING_RECLAIMABLE ||
		total - fewer < scaling->listed_first))
		return false;
	counts[index][kind] -= fewer;
	return scaling_are_enough(
	    counts, view->domain_count, scaling->plan.need);
}

/* Whether reclaimable upstreams that are wanted, and have room, are not listed:
 * regular ones stand in for them. */
static bool
lacks_reclaimable(const scaling_t *scaling, const scaling_view_t *view)
{
	uint32_t missing = 0;
	uint32_t all = 0;

	for (uint32_t i = 0; i < view->domain_count; i++) {
		const uint32_t *listed = view->domains[i].listed;
		const uint32_t *wanted = scaling->plan.targets[i].wanted;
		uint32_t room = view->bounds->max -
		    MIN(listed[SCALING_REGULAR], view->bounds->max);
		uint32_t expected = MIN(wanted[SCALING_RECLAIMABLE], room);

		all += scaling_total_of(wanted);
		missing +=
		    expected - MIN(expected, listed[SCALING_RECLAIMABLE]);
	}
	return missing > all * MISSING_SHARE;
}

static bool
order_fewer(scaling_t *scaling, const scaling_view_t *view, uint32_t index,
    scaling_kind_t kind, dff_time_t now, scaling_order_t *order)
{
	const scaling_domain_t *domain = &view->domains[index];
	const kind_state_t *state =
	    &scaling_find_domain(scaling, domain->name)->kinds[kind];
	uint32_t wanted = scaling->plan.targets[index].wanted[kind];
	uint32_t listed = domain->listed[kind];
	uint32_t staying[SCALING_KIND_COUNT];
	uint32_t step = listed;
	uint32_t surplus;
	uint32_t total;

	count_staying(scaling, view, index, now, staying);
	total = scaling_total_of(staying);
	if (listed <= wanted || state->repeat || now < state->not_before ||
	    expected_count(state, listed, view->bounds, now) != listed)
		return false;
	if (kind == SCALING_REGULAR && lacks_reclaimable(scaling, view))
		return false;
	surplus = listed - wanted;
	if (wanted > 0 && surplus <= (uint32_t)(listed * SURPLUS_SHARE) + 1)
		return false;
	if (view->keeps_parts)
		step = (uint32_t)(total * DECREASE_SHARE) + 1;
	if (view->keeps_parts && scaling->decreased_at != 0 &&
	    now - scaling->decreased_at < DECREASE_TIME)
		return false;
	surplus = scaling_pace_limit(
	    &scaling->pace, view->changes_per_s, MIN(surplus, step));
	if (total - surplus < view->bounds->min)
		surplus = total - MIN(view->bounds->min, total);
	while (
	    surplus > 0 && !may_lose(scaling, view, index, kind, surplus, now))
		surplus--;
	if (surplus == 0)
		return false;
	set_order(
	    scaling, domain, kind, listed - surplus, "too_many", now, order);
	scaling_pace_take(&scaling->pace, order->number, surplus);
	scaling->decreased_at = now;
	return true;
}

static bool
is_ready(scaling_t *scaling, const scaling_domain_t *domain)
{
	const domain_state_t *state =
	    scaling_find_domain(scaling, domain->name);

	return state != NULL && !is_busy(state);
}

bool
scaling_next_order(scaling_t *scaling, const scaling_view_t *view,
    dff_time_t now, scaling_order_t *order)
{
	uint32_t recent = scaling_pace_recent(&scaling->pace, now);

	scaling_pace_refill(&scaling->pace, view->changes_per_s, now);
	if (count_regular(view) > scaling->plan.need * STAND_IN_SHARE)
		(void)reopen_domains(scaling, STAND_IN_MAX, now);
	scaling_make_plan(scaling, view, now);
	if (now < scaling->paused_until || recent >= SCALING_ORDERS_MAX)
		return false;
	if (!scaling_demand_is_known(&scaling->demand, now) &&
	    (scaling->grown_at == 0 || now - scaling->grown_at < SETTLE_TIME))
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
	state->refused_at = 0;
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
		state->refused_at = now;
		scaling_pace_forget(&scaling->pace, number);
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
