#include "relay/scaling_demand.h"

#include <glib.h>

/* Shares of their time that upstreams may read prompts, and of their slots that
 * may be taken: a load that nearly doubles within the time to boot takes 0.8. */
#define READ_SHARE 0.42
#define SLOT_SHARE 0.42
/* Time over which the load is averaged: the shares above have room for more
 * within it. */
#define SPAN (2 * DFF_SEC)
/* Time with requests after which the demand is known, longer than waves and
 * mixes of requests usually last; and without any request. */
#define LOADED_TIME (30 * DFF_SEC)
#define IDLE_TIME   (SCALING_DEMAND_SPANS * SPAN)

double
scaling_demand_need(const scaling_load_t *load)
{
	uint32_t total = 0;
	double need = 0;

	for (int role = 0; role < DFF_ROLE_COUNT; role++)
		total += load->roles[role].upstreams;
	if (load->speed > 0)
		need = load->reading * total / (READ_SHARE * load->speed);
	for (int role = 0; role < DFF_ROLE_COUNT; role++) {
		const scaling_role_t *row = &load->roles[role];

		if (row->slots > 0)
			need = MAX(need,
			    (double)row->running * total /
				(SLOT_SHARE * row->slots));
	}
	return need;
}

static void
close_span(scaling_demand_t *demand)
{
	if (demand->samples == 0)
		return;
	demand->means[demand->span % SCALING_DEMAND_SPANS] =
	    demand->sum / demand->samples;
	demand->spans = MIN(demand->spans + 1, SCALING_DEMAND_SPANS);
	demand->sum = 0;
	demand->samples = 0;
}

void
scaling_demand_add(
    scaling_demand_t *demand, double need, bool loaded, dff_time_t now)
{
	int64_t span = now / SPAN;

	if (demand->since == 0) {
		demand->since = now;
		demand->span = span;
	}
	if (loaded && demand->loaded_since == 0)
		demand->loaded_since = now;
	while (demand->span < span) {
		if (span - demand->span > SCALING_DEMAND_SPANS) {
			/* It slept for more than a minute. */
			*demand = (scaling_demand_t){.since = now,
			    .loaded_since = loaded ? now : 0,
			    .span = span};
			break;
		}
		if (demand->samples == 0) {
			demand->sum = 0;
			demand->samples = 1;
		}
		close_span(demand);
		demand->span++;
	}
	demand->sum += need;
	demand->samples++;
}

bool
scaling_demand_is_known(const scaling_demand_t *demand, dff_time_t now)
{
	if (demand->loaded_since != 0 &&
	    now - demand->loaded_since >= LOADED_TIME)
		return true;
	return demand->since != 0 && demand->loaded_since == 0 &&
	    now - demand->since >= IDLE_TIME;
}

double
scaling_demand_peak(const scaling_demand_t *demand)
{
	double peak = 0;

	/* The present span counts only without a complete one: the mean of
	 * a few samples is no demand. */
	if (demand->spans == 0 && demand->samples > 0)
		return demand->sum / demand->samples;
	for (uint32_t age = 1; age <= demand->spans; age++)
		peak = MAX(peak,
		    demand->means[(demand->span - age) % SCALING_DEMAND_SPANS]);
	return peak;
}
