/*
 * Simulation of upstreams that limit their rate of requests: relays that
 * exchange frames, upstreams that name limits in their answers, and callers
 * that come back after a refusal, in virtual time. One simulation at a time.
 */
#ifndef DFF_FAKE_LIMIT_SIM_H
#define DFF_FAKE_LIMIT_SIM_H

#include "relay_bench.h"

#define LIMIT_SIM_NODES_MAX	340
#define LIMIT_SIM_UPSTREAMS_MAX 16

/**
 * struct limit_sim_config - size of the fleet and load
 * @nodes: relays
 * @domains: failure domains that nodes and upstreams are spread over
 * @upstreams: how many
 * @engines: upstreams are engines, one half for prefill and one for decode,
 *	and requests have prompts
 * @target: path of the requests
 * @per_s: requests a second
 * @busy_nodes: only so many nodes get requests; 0 for all
 * @answer_time: time from the arrival of a request to its answer
 * @seeds: nodes that a node knows at its start; 0 for all
 * @retries: refused callers come back once, at another node, when told
 */
typedef struct limit_sim_config {
	int nodes;
	int domains;
	int upstreams;
	bool engines;
	const char *target;
	double per_s;
	int busy_nodes;
	dff_time_t answer_time;
	int seeds;
	bool retries;
} limit_sim_config_t;

/**
 * struct limit_sim_counts - outcomes of requests
 * @requests: opened, without those of returning callers
 * @returns: opened by returning callers
 * @refused: answered 503, of @requests
 * @returns_refused: the same of @returns
 * @slowest_refusal: longest time from a request to its 503
 * @shortest_retry: shortest time to come back that a 503 named
 */
typedef struct limit_sim_counts {
	int requests;
	int returns;
	int served;
	int refused;
	int returns_refused;
	int failed;
	dff_time_t slowest_refusal;
	dff_time_t shortest_retry;
} limit_sim_counts_t;

/** limit_sim_start() - start relays and upstreams that know each other */
void limit_sim_start(const limit_sim_config_t *config);

/** limit_sim_stop() - end the simulation and free it */
void limit_sim_stop(void);

/** limit_sim_set_load() - change the rate of requests and the number of nodes
 *	that get them, 0 for all */
void limit_sim_set_load(double per_s, int busy_nodes);

/** limit_sim_set_limit() - from now on the upstream names @rate in all answers;
 *	a negative one is not named */
void limit_sim_set_limit(int upstream, double rate);

/** limit_sim_restart_upstream() - a new start under the same id, which names no
 *	limit */
void limit_sim_restart_upstream(int upstream);

/** limit_sim_remove_upstream() - its record is removed at all nodes */
void limit_sim_remove_upstream(int upstream);

/** limit_sim_run() - make requests and advance the time */
void limit_sim_run(dff_time_t time);

/** limit_sim_now() - time since the start */
dff_time_t limit_sim_now(void);

/* ---- nodes ---- */

/** limit_sim_kill_node() - end a node; its callers get no answer */
void limit_sim_kill_node(int node);

/** limit_sim_start_node() - start it again without its state */
void limit_sim_start_node(int node);

/** limit_sim_freeze_node() - stop its clock and what it does, or continue */
void limit_sim_freeze_node(int node, bool frozen);

/** limit_sim_cut_node() - cut it off from its peers, or reconnect it */
void limit_sim_cut_node(int node, bool cut);

/** limit_sim_split() - cut the first @nodes off from the others, not from each
 *	other; 0 reconnects all */
void limit_sim_split(int nodes);

/** limit_sim_lose_frames() - lose this share of all frames */
void limit_sim_lose_frames(double share);

/* ---- results ---- */

/** limit_sim_peak() - most requests in any 4 s from @from on that an upstream
 *	got from nodes that had received its limit half a second before */
int limit_sim_peak(int upstream, dff_time_t from);

/** limit_sim_peak_of_all() - the same from all nodes */
int limit_sim_peak_of_all(int upstream, dff_time_t from);

/** limit_sim_rate() - requests a second that an upstream got since @from */
double limit_sim_rate(int upstream, dff_time_t from);

/** limit_sim_rate_of() - the same from one node */
double limit_sim_rate_of(int upstream, int node, dff_time_t from);

/** limit_sim_counts() - outcomes of requests opened since @from */
limit_sim_counts_t limit_sim_counts(dff_time_t from);

/** limit_sim_bytes() - bytes of all frames so far */
uint64_t limit_sim_bytes(void);

#endif
