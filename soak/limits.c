/*
 * Upstreams that limit the rate of requests from all edges together.
 */
#include "soak/soak.h"

/* Time from the first answer that names a limit until it must hold. */
#define IN_FORCE (3 * DFF_SEC)
/* An edge is bound this long after it received an answer with the limit. */
#define TOLD_AFTER (500 * DFF_MSEC)
/* Time after a fault of an edge, of a link or of this program in which its
 * effects are excused, as on the platform. */
#define FAULT_EFFECT_TIME (3 * DFF_SEC)
#define WINDOW		  (4 * DFF_SEC)
/* Bounds of the time for which an upstream names a limit. */
#define LIMIT_MIN_MSEC 6000
#define LIMIT_MAX_MSEC 14000
/* Mean time between two upstreams that begin to name a limit. */
#define BEGIN_MEAN_INTERVAL (4 * DFF_SEC)

static const double rates[] = {0.7, 1.3, 4};

static void
begin_limit(soak_t *soak, soak_upstream_t *up)
{
	rate_limit_sim_t *limit = &up->limit;

	limit->rate =
	    rates[g_rand_int_range(soak->limits_rng, 0, G_N_ELEMENTS(rates))];
	limit->end = MIN(soak->faults_end,
	    dff_program_now() +
		g_rand_int_range(
		    soak->limits_rng, LIMIT_MIN_MSEC, LIMIT_MAX_MSEC) *
		    DFF_MSEC);
	soak_trace(soak, "upstream limits its rate id=%s limit=%.1f", up->id,
	    limit->rate);
}

void
limit_end(soak_upstream_t *up)
{
	GArray *arrivals = up->limit.arrivals;

	if (up->limit.rate > 0)
		soak_trace(up->soak, "upstream's limit ends id=%s", up->id);
	up->limit = (rate_limit_sim_t){.arrivals = arrivals};
	g_array_set_size(arrivals, 0);
}

void
limits_start(soak_t *soak)
{
	soak->limits_rng = g_rand_new_with_seed(soak->seed + 1);
	for (int i = 0; i < UPSTREAMS; i++)
		soak->upstreams[i].limit.arrivals =
		    g_array_new(FALSE, FALSE, sizeof(dff_time_t));
}

void
limits_tick(soak_t *soak)
{
	dff_time_t now = dff_program_now();
	soak_upstream_t *up;

	for (int i = 0; i < UPSTREAMS; i++) {
		up = &soak->upstreams[i];
		if (up->limit.rate > 0 && now >= up->limit.end)
			limit_end(up);
	}
	if (now < soak->next_limit || now >= soak->faults_end)
		return;
	soak->next_limit = now +
	    (dff_time_t)(2 * g_rand_double(soak->limits_rng) *
		BEGIN_MEAN_INTERVAL);
	up = &soak->upstreams[g_rand_int_range(soak->limits_rng, 0, UPSTREAMS)];
	if (up->limit.rate == 0 && !up->crashed && up->drain_start == 0)
		begin_limit(soak, up);
}

const char *
limit_field(soak_upstream_t *up, const char *id, char *text, size_t size)
{
	rate_limit_sim_t *limit = &up->limit;
	const attempt_t *attempt = callers_find(up->soak, id);
	dff_time_t now = dff_program_now();

	text[0] = '\0';
	if (limit->rate == 0 || attempt == NULL)
		return text;
	if (limit->named_at == 0)
		limit->named_at = now;
	if (limit->told_at[attempt->edge] == 0)
		limit->told_at[attempt->edge] = now;
	(void)g_snprintf(text, size, "Server-Limit: %.1f\r\n", limit->rate);
	return text;
}

static bool
is_excused(const soak_t *soak, const soak_upstream_t *up,
    const attempt_t *attempt, dff_time_t now)
{
	const edge_proc_t *edge = &soak->edges[attempt->edge];
	dff_time_t told_at = up->limit.told_at[attempt->edge];

	return told_at == 0 || now - told_at < TOLD_AFTER ||
	    now - up->limit.named_at < IN_FORCE ||
	    now - edge->last_fault < FAULT_EFFECT_TIME ||
	    now - edge->started < FAULT_EFFECT_TIME ||
	    now - up->last_fault < FAULT_EFFECT_TIME ||
	    now - soak->last_stall < FAULT_EFFECT_TIME;
}

void
limit_count(soak_t *soak, soak_upstream_t *up, const char *id)
{
	GArray *arrivals = up->limit.arrivals;
	const attempt_t *attempt = callers_find(soak, id);
	dff_time_t now = dff_program_now();

	if (up->limit.rate == 0 || attempt == NULL ||
	    is_excused(soak, up, attempt, now))
		return;
	g_array_append_val(arrivals, now);
	while (now - g_array_index(arrivals, dff_time_t, 0) > WINDOW)
		g_array_remove_index(arrivals, 0);
	soak->limited_requests++;
	if (arrivals->len > 1.5 * up->limit.rate * 4 + 5)
		soak_fail(soak,
		    "limit exceeded upstream=%s limit=%.1f requests=%u", up->id,
		    up->limit.rate, arrivals->len);
}
