#include "relay/shares.h"

#include <math.h>
#include <string.h>

#include "base/fault.h"
#include "relay/share_parts.h"

/* Requests are kept in mind for this time, and up to twice as long, to find the
 * kind that can wait least. */
#define WAITS_TIME (10 * DFF_SEC)
/* Part of the longest wait that the most and the least urgent requests beyond
 * their share may have. */
#define LEND_FIRST 0.6
#define LEND_LAST  0.3
/* The same, added for a repeat of a refused request, which is older. */
#define LEND_REPEAT 0.1
/* The least urgent priority. */
#define PRIORITY_LAST 9
/* For this time refused requests are remembered: callers return within
 * seconds. */
#define REFUSED_TIME (8 * DFF_SEC)

/* ---- table ---- */

static void
free_pool(void *data)
{
	share_pool_t *pool = data;

	g_hash_table_unref(pool->uses);
	g_hash_table_unref(pool->demands);
	g_array_unref(pool->sources);
	g_free(pool);
}

shares_t *
shares_new(void)
{
	shares_t *shares = g_new0(shares_t, 1);

	shares->pools = g_hash_table_new_full(NULL, NULL, NULL, free_pool);
	shares->nodes = 1;
	return shares;
}

void
shares_drop(shares_t *shares)
{
	g_hash_table_unref(shares->pools);
	g_free(shares);
}

uint32_t
share_key(const char *name)
{
	return (uint32_t)dff_hash(name, strlen(name), 0);
}

void
shares_set_fleet(shares_t *shares, uint32_t nodes, uint32_t organisations)
{
	shares->nodes = MAX(nodes, 1);
	shares->organisations = organisations;
}

share_pool_t *
share_pool_get(shares_t *shares, uint32_t key)
{
	share_pool_t *pool =
	    g_hash_table_lookup(shares->pools, GUINT_TO_POINTER(key));

	if (pool != NULL)
		return pool;
	pool = g_new0(share_pool_t, 1);
	pool->key = key;
	pool->uses = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	pool->demands = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	pool->sources = g_array_new(FALSE, FALSE, sizeof(share_source_t));
	pool->waits[0] = DFF_TIME_NEVER;
	pool->waits[1] = DFF_TIME_NEVER;
	pool->waits_at = -WAITS_TIME;
	g_hash_table_insert(shares->pools, GUINT_TO_POINTER(key), pool);
	return pool;
}

static double
to_ms(dff_time_t time)
{
	return (double)time / (double)DFF_MSEC;
}

/* ---- refused requests ---- */

static share_refused_t *
refused_slot(shares_t *shares, uint64_t content)
{
	return &shares->refused[content % REFUSED_SLOTS];
}

static bool
is_repeat(shares_t *shares, const share_request_t *request, dff_time_t now)
{
	const share_refused_t *refused = refused_slot(shares, request->content);

	return request->content != 0 && refused->content == request->content &&
	    now - refused->at < REFUSED_TIME;
}

void
shares_note_refused(
    shares_t *shares, const share_request_t *request, dff_time_t now)
{
	*refused_slot(shares, request->content) =
	    (share_refused_t){request->content, now};
}

/* ---- decisions ---- */

static void
count_request(
    share_pool_t *pool, const share_request_t *request, dff_time_t now)
{
	double cost = to_ms(request->cost);
	share_use_t *use = g_hash_table_lookup(
	    pool->uses, GUINT_TO_POINTER(request->organisation));

	if (use == NULL) {
		use = g_new0(share_use_t, 1);
		g_hash_table_insert(
		    pool->uses, GUINT_TO_POINTER(request->organisation), use);
	}
	use->rank = request->rank;
	share_sum_add(&use->offered, cost, now);
	share_sum_add(&pool->offered, cost, now);
	share_sum_add(&pool->squares, cost * cost, now);
}

/* Keeps the shortest of the waits of the last seconds. */
static void
note_wait(share_pool_t *pool, dff_time_t wait, dff_time_t now)
{
	if (now - pool->waits_at >= WAITS_TIME) {
		pool->waits[1] = pool->waits[0];
		pool->waits[0] = wait;
		pool->waits_at = now;
	}
	pool->waits[0] = MIN(pool->waits[0], wait);
}

/* Part of the longest wait for a request beyond its organisation's share: by
 * its priority, then by its age. */
static double
lend_part(const share_request_t *request, bool repeat)
{
	double urgency =
	    1 - (double)MIN(request->priority, PRIORITY_LAST) / PRIORITY_LAST;

	if (DFF_FAULT(RELAY_SHARE_NOT_LENT))
		return -1;
	return LEND_LAST + urgency * (LEND_FIRST - LEND_LAST) +
	    (repeat ? LEND_REPEAT : 0);
}

void
shares_decide(shares_t *shares, const share_request_t *request, double draw,
    dff_time_t now, share_verdict_t *verdict)
{
	share_pool_t *pool = share_pool_get(shares, share_key(request->pool));
	bool repeat = is_repeat(shares, request, now);
	const share_demand_t *demand;

	*verdict = (share_verdict_t){.limit = request->wait};
	share_pool_compute(shares, pool, now);
	note_wait(pool, request->wait, now);
	if (!repeat)
		count_request(pool, request, now);
	if (!pool->is_short || DFF_FAULT(RELAY_SHARE_NONE))
		return;
	demand = g_hash_table_lookup(
	    pool->demands, GUINT_TO_POINTER(request->organisation));
	if (demand == NULL)
		return;
	verdict->use = demand->offered * pool->scale;
	verdict->level = demand->granted * pool->scale;
	if (!share_pool_is_over(pool, demand))
		return;
	verdict->retry = (dff_time_t)((double)SHARE_TIME *
	    log(demand->offered / MAX(demand->granted, USE_MIN)));
	if (draw * demand->offered < demand->granted)
		return;
	verdict->beyond = true;
	verdict->limit = (dff_time_t)(lend_part(request, repeat) *
	    (double)MIN(pool->waits[0], pool->waits[1]));
}

void
shares_note_admitted(
    shares_t *shares, const share_request_t *request, dff_time_t now)
{
	share_sum_add(
	    &share_pool_get(shares, share_key(request->pool))->admitted,
	    to_ms(request->cost), now);
}
