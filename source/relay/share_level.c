#include "relay/share_level.h"

#include <glib.h>
#include <stdlib.h>

/* Part of its max-min share over all ranks that an organisation gets whatever
 * its rank: no rank starves. */
#define FLOOR_PART 0.5

static int
compare_demands(const void *a, const void *b)
{
	const share_demand_t *x = a;
	const share_demand_t *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->offered != y->offered)
		return x->offered < y->offered ? -1 : 1;
	return 0;
}

static int
compare_offered(const void *a, const void *b)
{
	const share_demand_t *x = a;
	const share_demand_t *y = b;

	return x->offered < y->offered ? -1 : x->offered > y->offered;
}

static double
count_members(const share_demand_t *demands, size_t count)
{
	double members = 0;

	for (size_t i = 0; i < count; i++)
		members += demands[i].members;
	return members;
}

/* The level at which all demands, each cut there, fill the room. */
static double
flat_level(share_demand_t *demands, size_t count, double room)
{
	double left = count_members(demands, count);

	qsort(demands, count, sizeof(*demands), compare_offered);
	for (size_t i = 0; i < count; i++) {
		if (demands[i].offered * left > room)
			return room / left;
		room -= demands[i].offered * demands[i].members;
		left -= demands[i].members;
	}
	return demands[count - 1].offered;
}

/*
 * Fills one rank, sorted by demand, of which each has its floor already.
 * Returns the room that it leaves.
 */
static double
fill_rank(share_demand_t *demands, size_t count, double floor, double room)
{
	double left = count_members(demands, count);
	double level = floor;

	for (size_t i = 0; i < count; i++) {
		double step = MAX(demands[i].offered - level, 0);

		if (step * left > room) {
			level += room / left;
			for (; i < count; i++)
				demands[i].granted = level;
			return 0;
		}
		room -= step * left;
		left -= demands[i].members;
		level += step;
		demands[i].granted = demands[i].offered;
	}
	return room;
}

void
share_level_fill(share_demand_t *demands, size_t count, double room)
{
	double floor;

	if (count == 0)
		return;
	floor = FLOOR_PART * flat_level(demands, count, room);
	qsort(demands, count, sizeof(*demands), compare_demands);
	for (size_t i = 0; i < count; i++)
		room -= MIN(demands[i].offered, floor) * demands[i].members;
	room = MAX(room, 0);
	for (size_t from = 0, to; from < count; from = to) {
		for (to = from;
		     to < count && demands[to].rank == demands[from].rank;)
			to++;
		room = fill_rank(&demands[from], to - from, floor, room);
	}
}
