#include "relay/scaling_pace.h"

#include <glib.h>

#include "base/fault.h"

#define MINUTE (60 * DFF_SEC)

static bool
is_recent(const sent_order_t *sent, dff_time_t now)
{
	return sent->number != 0 && now - sent->at < MINUTE;
}

uint32_t
scaling_pace_recent(const scaling_pace_t *pace, dff_time_t now)
{
	uint32_t recent = 0;

	for (uint32_t i = 0; i < SCALING_ORDERS_MAX; i++)
		recent += is_recent(&pace->sent[i], now);
	return recent;
}

void
scaling_pace_note(scaling_pace_t *pace, uint64_t number, dff_time_t now)
{
	for (uint32_t i = 0; i < SCALING_ORDERS_MAX; i++) {
		if (is_recent(&pace->sent[i], now))
			continue;
		pace->sent[i] = (sent_order_t){number, now, 0};
		return;
	}
}

void
scaling_pace_forget(scaling_pace_t *pace, uint64_t number)
{
	for (uint32_t i = 0; i < SCALING_ORDERS_MAX; i++) {
		sent_order_t *sent = &pace->sent[i];

		if (sent->number != number)
			continue;
		if (!DFF_FAULT(RELAY_SCALING_REFUSALS_PACED))
			pace->left += sent->changes;
		sent->number = 0;
	}
}

/* What one order may change at least. */
static double
second_of_changes(double changes_per_s)
{
	return MAX(changes_per_s, 1);
}

void
scaling_pace_refill(scaling_pace_t *pace, double changes_per_s, dff_time_t now)
{
	double most = second_of_changes(changes_per_s);

	if (pace->refilled_at == 0)
		pace->left = most;
	else
		pace->left = MIN(most,
		    pace->left +
			changes_per_s * (double)(now - pace->refilled_at) /
			    (double)DFF_SEC);
	pace->refilled_at = now;
}

uint32_t
scaling_pace_limit(
    const scaling_pace_t *pace, double changes_per_s, uint32_t changes)
{
	uint32_t most;

	if (changes_per_s <= 0 || DFF_FAULT(RELAY_SCALING_UNPACED))
		return changes;
	most = (uint32_t)second_of_changes(changes_per_s);
	changes = MIN(changes, most);
	return pace->left >= changes ? changes : 0;
}

void
scaling_pace_take(scaling_pace_t *pace, uint64_t number, uint32_t changes)
{
	pace->left -= changes;
	for (uint32_t i = 0; i < SCALING_ORDERS_MAX; i++) {
		if (pace->sent[i].number == number)
			pace->sent[i].changes = changes;
	}
}
