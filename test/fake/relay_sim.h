/*
 * A load simulation in virtual time: four relays, six engines that read prompts
 * one after the other, and callers that may retry once after a refusal. Its
 * state is global, so there is only one simulation at a time.
 */
#ifndef DFF_FAKE_RELAY_SIM_H
#define DFF_FAKE_RELAY_SIM_H

#include "relay_bench.h"

#define SIM_RELAYS 4
#define SIM_TICK   (2 * DFF_MSEC)
/* Tokens of the shared part of each prompt. */
#define SIM_SHARED_TOKENS 8000

/**
 * struct relay_sim_tally - results of requests
 * @late: served after target_latency
 * @refused: answered 503
 * @long_requests: of @requests, those with a long part of their own
 * @retried: of @requests, those whose caller was refused before
 */
typedef struct relay_sim_tally {
	int requests;
	int in_target;
	int late;
	int refused;
	int failed;
	int long_requests;
	int long_served;
	int retried;
	int retries_refused;
} relay_sim_tally_t;

/** relay_sim_setup() - make relays and engines with empty state */
void relay_sim_setup(void);

/** relay_sim_teardown() - free the simulation */
void relay_sim_teardown(void);

/** relay_sim_restart_relays() - restart all relays and clear the results */
void relay_sim_restart_relays(void);

/** relay_sim_enable_retries() - from now on callers retry once, at the time
 *	that a refusal gives */
void relay_sim_enable_retries(void);

/** relay_sim_request() - make one request at a relay, with a shared part and a
 *	part of its own of @own tokens */
void relay_sim_request(int relay, uint64_t shared, uint32_t own);

/** relay_sim_tick() - advance the time by SIM_TICK */
void relay_sim_tick(void);

/** relay_sim_load() - make requests for some time: @per_s in total, each with
 *	one of @parts shared parts; most own parts have 500 tokens, one in ten
 *	6,000 */
void relay_sim_load(dff_time_t time, double per_s, int parts);

/** relay_sim_capacity() - requests of relay_sim_load() that the engines can
 *	read each second */
double relay_sim_capacity(void);

/** relay_sim_now() - the current time */
dff_time_t relay_sim_now(void);

/** relay_sim_count() - count the results of requests made since @since */
void relay_sim_count(relay_sim_tally_t *tally, dff_time_t since);

/** relay_sim_slowest_refusal() - longest time from a request to its 503 */
dff_time_t relay_sim_slowest_refusal(void);

/** relay_sim_shared_reads() - number of times that shared parts were read */
double relay_sim_shared_reads(void);

/** relay_sim_longest_queue() - length of the longest queue of an engine */
size_t relay_sim_longest_queue(void);

#endif
