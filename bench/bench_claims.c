/*
 * What calls that run at most once cost the log, and how long a shard has
 * no holder after its holder was killed; all in virtual time. A figure
 * beyond its bound fails the program.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "../test/fake/authority_sim.h"
#include "../test/fake/claim_sim.h"

#define NODES 9
/* Virtual time that is measured. */
#define CLAIM_TIME (20 * DFF_SEC)
/* Holders killed, one a run. */
#define KILLS 200
/* Appends a second that the log takes, all streams together. */
#define LOG_LIMIT 400.0

/** struct rate - one load and its bounds */
typedef struct rate {
	double calls_per_s;
	dff_time_t batch_time;
	double appends_max; /* a call */
	double wait_max_ms;
} rate_t;

/* The first batch time is the nodes' own setting. */
static const rate_t rates[] = {
    {1, 5 * DFF_MSEC, 2.05, 30},
    {10, 5 * DFF_MSEC, 1.4, 40},
    {100, 5 * DFF_MSEC, 0.4, 50},
    {100, 10 * DFF_MSEC, 0.2, 80},
};

static bool
measure_claims(const rate_t *rate)
{
	claim_sim_config_t config = {
	    .seed = 1,
	    .nodes = NODES,
	    .calls_per_s = rate->calls_per_s,
	    .batch_delay = rate->batch_time,
	    .fault_time = CLAIM_TIME,
	    .recovery_time = 10 * DFF_SEC,
	};
	claim_sim_result_t result;
	double per_call, wait_ms;

	claim_sim_run(&config, &result);
	per_call = (double)result.appends / (double)result.calls;
	wait_ms =
	    (double)result.decision_time / (double)result.verdicts / DFF_MSEC;
	printf(
	    "claims calls_per_s_a_node=%.0f nodes=%d batch_ms=%d calls=%" G_GUINT64_FORMAT
	    " ran=%" G_GUINT64_FORMAT " not_run=%" G_GUINT64_FORMAT
	    " appends=%" G_GUINT64_FORMAT
	    " appends_a_call=%.3f appends_per_s=%.0f mean_wait_ms=%.1f\n",
	    rate->calls_per_s, NODES, (int)(rate->batch_time / DFF_MSEC),
	    result.calls, result.executed, result.not_executed, result.appends,
	    per_call, (double)result.appends / ((double)CLAIM_TIME / DFF_SEC),
	    wait_ms);
	if (result.failed_check != NULL)
		printf("FAIL %s\n", result.failed_check);
	return result.failed_check == NULL && per_call <= rate->appends_max &&
	    wait_ms <= rate->wait_max_ms;
}

static int
compare_times(const void *a, const void *b)
{
	const dff_time_t *x = a;
	const dff_time_t *y = b;

	return *x < *y ? -1 : *x > *y;
}

/* Time from a holder's death to the next claim that the log granted. */
static bool
measure_handover(dff_time_t term, double p95_max_s)
{
	dff_time_t times[KILLS];
	size_t count = 0;
	uint64_t grants = 0;
	double p50, p95;

	for (uint32_t seed = 1; seed <= KILLS; seed++) {
		authority_sim_config_t config = {
		    .seed = seed,
		    .nodes = NODES,
		    .engines = 4,
		    .term = term,
		    .fault_time = 30 * DFF_SEC,
		    .recovery_time = 30 * DFF_SEC,
		    .kill_holder_at =
			20 * DFF_SEC + (dff_time_t)seed * 30 * DFF_MSEC,
		};
		authority_sim_result_t result;

		authority_sim_run(&config, &result);
		grants += result.grants;
		if (result.failover_time != 0)
			times[count++] = result.failover_time;
	}
	qsort(times, count, sizeof(times[0]), compare_times);
	p50 = (double)times[count / 2] / DFF_SEC;
	p95 = (double)times[count * 95 / 100] / DFF_SEC;
	printf("authority term_s=%.1f nodes=%d killed=%zu p50_s=%.2f "
	       "p95_s=%.2f max_s=%.2f claims_won_a_run=%.2f\n",
	    (double)term / DFF_SEC, NODES, count, p50, p95,
	    (double)times[count - 1] / DFF_SEC, (double)grants / KILLS);
	return count == KILLS && p95 <= p95_max_s;
}

/* Appends of leases alone: a quiet fleet for a minute. */
static bool
measure_quiet(void)
{
	authority_sim_config_t config = {
	    .seed = 1,
	    .nodes = NODES,
	    .engines = 4,
	    .term = 6 * DFF_SEC,
	    .fault_time = 0,
	    .recovery_time = 60 * DFF_SEC,
	};
	authority_sim_result_t result;
	double per_term;

	authority_sim_run(&config, &result);
	per_term = (double)result.appends / 2 / 10;
	printf("leases term_s=6.0 shards=2 appends_a_shard_a_term=%.2f\n",
	    per_term);
	return result.failed_check == NULL && per_term <= 2.5;
}

int
main(void)
{
	bool sound = true;

	for (size_t i = 0; i < sizeof(rates) / sizeof(rates[0]); i++)
		sound = measure_claims(&rates[i]) && sound;
	sound = measure_quiet() && sound;
	sound = measure_handover(3 * DFF_SEC, 5.0) && sound;
	sound = measure_handover(6 * DFF_SEC, 10.0) && sound;
	printf("bounds %s, log limit %.0f appends/s\n",
	    sound ? "kept" : "exceeded", LOG_LIMIT);
	return sound ? EXIT_SUCCESS : EXIT_FAILURE;
}
