#include "relay/scaling_demand.h"

#include <glib.h>

/* Shares of their time that upstreams may read prompts, and of their slots that
 * may be taken: a load that nearly doubles within the time to boot takes 0.8. */
#define READ_SHARE 0.42
#define SLOT_SHARE 0.42
/* Time with requests after which the demand is known, longer than waves and
 * mixes of requests usually last; and without any request. */
#define LOADED_TIME (30 * DFF_SEC)
#define IDLE_TIME   (SCALING_DEMAND_SECONDS * DFF_SEC)

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
close_second(scaling_demand_t *demand)
{
	if (demand->samples == 0)
		return;
	demand->means[demand->second % SCALING_DEMAND_SECONDS] =
	    demand->sum / demand->samples;
	demand->seconds = MIN(demand->seconds + 1, SCALING_DEMAND_SECONDS);
	demand->sum = 0;
	demand->samples = 0;
}

void
scaling_demand_add(
    scaling_demand_t *demand, double need, bool loaded, dff_time_t now)
{
	int64_t second = now / DFF_SEC;

	if (demand->since == 0) {
		demand->since = now;
		demand->second = second;
	}
	if (loaded && demand->loaded_since == 0)
		demand->loaded_since = now;
	while (demand->second < second) {
		if (second - demand->second > SCALING_DEMAND_SECONDS) {
			/* It slept for more than a minute. */
			*demand = (scaling_demand_t){.since = now,
			    .loaded_since = loaded ? now : 0,
			    .second = second};
			break;
		}
		if (demand->samples == 0) {
			demand->sum = 0;
			demand->samples = 1;
		}
		close_second(demand);
		demand->second++;
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

	/* The present second counts only without a complete one: the mean of
	 * a few samples is no demand. */
	if (demand->seconds == 0 && demand->samples > 0)
		return demand->sum / demand->samples;
	for (uint32_t age = 1; age <= demand->seconds; age++)
		peak = MAX(peak,
		    demand->means[(demand->second - age) %
			SCALING_DEMAND_SECONDS]);
	return peak;
}
