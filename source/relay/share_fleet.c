#include "relay/share_parts.h"

#include <math.h>
#include <string.h>

#include "base/fault.h"

/* A node that hears less than this part of the fleet averages over the longer
 * time, as few requests come to it within the shorter one. */
#define ALONE_PART 0.5
/* The shares of a pool are computed again after this time. */
#define LEVEL_INTERVAL (200 * DFF_MSEC)
/* A report tells for this time what organisations ask for. It tells only for
 * the shorter time whether room is short, as it is the last one then. */
#define REPORT_AGE_MAX (15 * DFF_SEC)
#define SHORT_AGE_MAX  (8 * DFF_SEC)
/* Room is short if this part of what was asked for was not admitted: with less,
 * each organisation is served over 0.9 without shares. */
#define SHORT_PART 0.05
/* Use is reported until this part of a refused request is left in the sums. */
#define REPORT_PART 0.25
/* Engine time of a request in milliseconds, where none was counted. */
#define COST_DEFAULT 100.0
/* Standard errors of a sample by which a demand must exceed its share. */
#define SAMPLE_ERRORS 2
/* Part of the room that is divided. The rest is lent, so that an error of the
 * estimate does not make requests within their shares wait in vain. */
#define ROOM_PART 0.9

/* ---- shares ---- */

/* Adds one organisation's use to a table of demands. */
static void
add_demand(
    GHashTable *demands, uint32_t organisation, uint32_t rank, double offered)
{
	share_demand_t *demand =
	    g_hash_table_lookup(demands, GUINT_TO_POINTER(organisation));

	if (demand == NULL) {
		demand = g_new0(share_demand_t, 1);
		demand->organisation = organisation;
		demand->members = 1;
		g_hash_table_insert(
		    demands, GUINT_TO_POINTER(organisation), demand);
	}
	demand->rank = rank;
	demand->offered += offered;
}

/* Adds what this node counted, and forgets organisations without use. */
static void
add_own(share_pool_t *pool, bool alone, GHashTable *demands, dff_time_t now)
{
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, pool->uses);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		share_use_t *use = value;
		double rate = share_sum_rate(&use->offered, alone, now);

		if (use->offered.slow < USE_MIN)
			g_hash_table_iter_remove(&iter);
		else
			add_demand(
			    demands, GPOINTER_TO_UINT(key), use->rank, rate);
	}
}

static void
drop_old_sources(share_pool_t *pool, dff_time_t now)
{
	for (guint i = pool->sources->len; i-- > 0;) {
		if (now -
			g_array_index(pool->sources, share_source_t, i)
			    .heard_at >
		    REPORT_AGE_MAX)
			g_array_remove_index_fast(pool->sources, i);
	}
}

/* Sums of a pool over this node and others. */
typedef struct totals {
	uint32_t nodes;
	double offered;
	double admitted;
	double listed; /* part of @offered by the organisations of @demands */
} totals_t;

/* Sums up what this node and its sources counted; @domain: without those of
 * other domains; @alone: over the longer time. */
static void
sum_up(share_pool_t *pool, bool domain, bool alone, GHashTable *demands,
    totals_t *totals, dff_time_t now)
{
	GHashTableIter iter;
	void *value;

	add_own(pool, alone, demands, now);
	*totals = (totals_t){.nodes = 1,
	    .offered = share_sum_rate(&pool->offered, alone, now),
	    .admitted = share_sum_rate(&pool->admitted, alone, now)};
	for (guint i = 0; i < pool->sources->len; i++) {
		const share_source_t *source =
		    &g_array_index(pool->sources, share_source_t, i);
		const share_report_t *report = &source->report;

		if ((domain && !source->in_domain) ||
		    DFF_FAULT(RELAY_SHARE_OWN_VIEW))
			continue;
		totals->nodes += report->nodes;
		totals->offered += report->offered;
		totals->admitted += report->admitted;
		for (uint32_t k = 0; k < report->row_count; k++)
			add_demand(demands, report->rows[k].organisation,
			    report->rows[k].rank, report->rows[k].offered);
	}
	g_hash_table_iter_init(&iter, demands);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		totals->listed += ((share_demand_t *)value)->offered;
}

/*
 * Gives what no report names to the organisations that ask for less than the
 * average, as reports name the others: to those of @demands, and to as many as
 * the configuration has besides, which are appended as one.
 */
static void
spread_rest(const shares_t *shares, const totals_t *totals,
    share_demand_t *demands, guint *count)
{
	double rest = MAX(totals->offered - totals->listed, 0);
	uint32_t others = MAX(shares->organisations, *count) - *count;
	double average = totals->offered / (*count + others);
	uint32_t small = others;

	for (guint i = 0; i < *count; i++)
		small += demands[i].offered < average;
	if (small == 0)
		return;
	for (guint i = 0; i < *count; i++) {
		if (demands[i].offered < average)
			demands[i].offered += rest / small;
	}
	if (others > 0)
		demands[(*count)++] =
		    (share_demand_t){.rank = SHARE_RANK_DEFAULT,
			.members = others,
			.offered = rest / small};
}

/* Divides the room among the organisations. */
static void
fill(const shares_t *shares, GHashTable *table, const totals_t *totals)
{
	guint count = g_hash_table_size(table);
	share_demand_t *demands = g_new(share_demand_t, count + 1);
	GHashTableIter iter;
	void *value;
	guint i = 0;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		demands[i++] = *(share_demand_t *)value;
	spread_rest(shares, totals, demands, &count);
	share_level_fill(demands, count, ROOM_PART * totals->admitted);
	for (i = 0; i < count; i++) {
		share_demand_t *demand = g_hash_table_lookup(
		    table, GUINT_TO_POINTER(demands[i].organisation));

		if (demand != NULL)
			*demand = demands[i];
	}
	g_free(demands);
}

static bool
lacks_room(double offered, double admitted)
{
	return offered - admitted > SHORT_PART * offered;
}

/* Variance of a demand as a sample, divided by the demand. */
static double
sample_unit(share_pool_t *pool, bool alone, dff_time_t now)
{
	double offered = share_sum_rate(&pool->offered, alone, now);
	double squares = share_sum_rate(&pool->squares, alone, now);
	dff_time_t time = alone ? SHARE_TIME_SLOW : SHARE_TIME;

	return (offered > USE_MIN ? squares / offered : COST_DEFAULT) *
	    DFF_SEC / (double)time;
}

/*
 * Finds whether room is short by what this node and those that it hears did not
 * admit, beyond the error of a small sample: one long queue is no shortage. Use
 * is reported as soon as any node refuses a part.
 */
static void
find_shortage(share_pool_t *pool, dff_time_t now)
{
	double offered = share_sum_rate(&pool->offered, false, now);
	double admitted = share_sum_rate(&pool->admitted, false, now);
	double unit = sample_unit(pool, false, now);
	double least = REPORT_PART * unit;
	double error;

	pool->is_reported = lacks_room(offered, admitted + least);
	for (guint i = 0; i < pool->sources->len; i++) {
		const share_source_t *source =
		    &g_array_index(pool->sources, share_source_t, i);
		const share_report_t *report = &source->report;

		if (now - source->heard_at > SHORT_AGE_MAX)
			continue;
		offered += report->offered;
		admitted += report->admitted;
		pool->is_reported |=
		    lacks_room(report->offered, report->admitted + least);
	}
	error = SAMPLE_ERRORS * sqrt(MAX(offered - admitted, 0) * unit);
	if (DFF_FAULT(RELAY_SHARE_ANY_REFUSAL))
		error = 0;
	pool->is_short = lacks_room(offered, admitted + error);
}

/* Whether this node hears only a small part of the fleet. */
static bool
hears_few(const shares_t *shares, const share_pool_t *pool)
{
	double heard = 1;

	for (guint i = 0; i < pool->sources->len; i++)
		heard += g_array_index(pool->sources, share_source_t, i)
			     .report.nodes;
	return heard < ALONE_PART * shares->nodes;
}

/* Divides the room anew. The parts that organisations get are the same for any
 * sample of the nodes; only what is logged is scaled to the whole fleet. */
void
share_pool_compute(const shares_t *shares, share_pool_t *pool, dff_time_t now)
{
	bool alone;
	totals_t totals;

	if (now < pool->compute_at)
		return;
	pool->compute_at = now + LEVEL_INTERVAL;
	g_hash_table_remove_all(pool->demands);
	drop_old_sources(pool, now);
	alone = hears_few(shares, pool);
	sum_up(pool, false, alone, pool->demands, &totals, now);
	find_shortage(pool, now);
	pool->scale = MAX((double)shares->nodes / (double)totals.nodes, 1);
	pool->unit = sample_unit(pool, alone, now);
	if (pool->is_short)
		fill(shares, pool->demands, &totals);
}

/* Whether an organisation asks for more than its share, beyond what the error
 * of a small sample explains. */
bool
share_pool_is_over(const share_pool_t *pool, const share_demand_t *demand)
{
	double error = SAMPLE_ERRORS * sqrt(demand->offered * pool->unit);

	return demand->offered - error > demand->granted;
}

uint32_t
shares_count_short(shares_t *shares, dff_time_t now)
{
	GHashTableIter iter;
	uint32_t count = 0;
	void *value;

	g_hash_table_iter_init(&iter, shares->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		share_pool_t *pool = value;

		share_pool_compute(shares, pool, now);
		count += pool->is_short;
	}
	return count;
}

/* ---- reports ---- */

/* Order of rows in a report: the organisations that are over their shares come
 * first, as all nodes have to know the whole of what these ask for. */
static bool
comes_before(
    const share_pool_t *pool, const share_row_t *a, const share_row_t *b)
{
	const share_demand_t *x = g_hash_table_lookup(
	    pool->demands, GUINT_TO_POINTER(a->organisation));
	const share_demand_t *y = g_hash_table_lookup(
	    pool->demands, GUINT_TO_POINTER(b->organisation));
	bool x_over = x != NULL && share_pool_is_over(pool, x);
	bool y_over = y != NULL && share_pool_is_over(pool, y);

	if (x_over != y_over)
		return x_over;
	return a->offered > b->offered;
}

/* Adds a row if it is among the first @max. */
static void
add_row(const share_pool_t *pool, share_report_t *report, uint32_t max,
    const share_row_t *row)
{
	uint32_t i;

	if (report->row_count == max &&
	    !comes_before(pool, row, &report->rows[max - 1]))
		return;
	if (report->row_count < max)
		report->row_count++;
	for (i = report->row_count - 1;
	     i > 0 && comes_before(pool, row, &report->rows[i - 1]); i--)
		report->rows[i] = report->rows[i - 1];
	report->rows[i] = *row;
}

static void
make_report(
    share_pool_t *pool, bool domain, share_report_t *report, dff_time_t now)
{
	GHashTable *demands = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	GHashTableIter iter;
	totals_t totals;
	void *value;

	memset(report, 0, sizeof(*report));
	if (domain)
		sum_up(pool, true, false, demands, &totals, now);
	else {
		add_own(pool, false, demands, now);
		totals = (totals_t){.nodes = 1,
		    .offered = share_sum_rate(&pool->offered, false, now),
		    .admitted = share_sum_rate(&pool->admitted, false, now)};
	}
	report->pool = pool->key;
	report->nodes = totals.nodes;
	report->offered = totals.offered;
	report->admitted = totals.admitted;
	g_hash_table_iter_init(&iter, demands);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const share_demand_t *demand = value;
		share_row_t row = {
		    demand->organisation, demand->rank, demand->offered};

		add_row(pool, report,
		    domain ? SHARE_ROWS_MAX : SHARE_NODE_ROWS_MAX, &row);
	}
	g_hash_table_unref(demands);
}

size_t
shares_list(shares_t *shares, bool domain, share_report_t *reports, size_t max,
    dff_time_t now)
{
	GHashTableIter iter;
	size_t count = 0;
	void *value;

	g_hash_table_iter_init(&iter, shares->pools);
	while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		share_pool_t *pool = value;

		share_pool_compute(shares, pool, now);
		if (pool->is_reported)
			make_report(pool, domain, &reports[count++], now);
	}
	return count;
}

void
shares_apply(shares_t *shares, uint64_t id, bool in_domain,
    const share_report_t *report, dff_time_t now)
{
	share_pool_t *pool = share_pool_get(shares, report->pool);
	share_source_t source = {.id = id,
	    .in_domain = in_domain,
	    .heard_at = now,
	    .report = *report};

	for (guint i = 0; i < pool->sources->len; i++) {
		share_source_t *known =
		    &g_array_index(pool->sources, share_source_t, i);

		if (known->id == id) {
			*known = source;
			return;
		}
	}
	g_array_append_val(pool->sources, source);
}
