/*
 * Simulation of requests that crash upstreams: relays that exchange frames,
 * and upstreams that crash and restart, in virtual time. One simulation at a
 * time.
 */
#ifndef DFF_FAKE_CRASH_SIM_H
#define DFF_FAKE_CRASH_SIM_H

#include "relay_net.h"

/* Content of requests that crash the upstream that begins them; any content
 * above it is harmless. */
#define CRASH_CONTENT 77

/** enum crash_sim_cut - how a node is cut off from all upstreams */
typedef enum crash_sim_cut {
	CRASH_SIM_NOT_CUT,
	CRASH_SIM_RESET, /* connections are reset, new ones refused */
	CRASH_SIM_HANG, /* connections hang, new ones time out */
	CRASH_SIM_HALF_OPEN, /* connections live on, new ones are refused */
} crash_sim_cut_t;

/**
 * struct crash_sim_config - size of the fleet and behaviour of upstreams
 * @nodes: relays, in one domain up to 9, else in three
 * @upstreams: how many
 * @restart_delay: time from a crash to the restart of the upstream
 * @record_expiry: time from a crash to the removal of its record, or
 *	DFF_TIME_NEVER where no further record is received
 * @lost_every: every n-th harmless run breaks off; 0 for none
 * @engines: upstreams are engines, one half for prefill and one for decode
 * @prefill_is_safe: prefills do not crash engines
 * @late_crash: sends of CRASH_CONTENT count as late after this crash; 0 for
 *	the third
 * @unreliable_node: index of a node whose sends alternately break off and fail
 *	to connect, and whose probes time out; 0 for none
 * @dead_accept: crashed upstreams accept connections and close them, as behind
 *	a proxy
 * @uncut: upstreams of another pool, "llm", that cuts do not concern
 * @silent_crash: crashed upstreams become silent, and no connection breaks off
 */
typedef struct crash_sim_config {
	int nodes;
	int upstreams;
	dff_time_t restart_delay;
	dff_time_t record_expiry;
	uint32_t lost_every;
	bool engines;
	bool prefill_is_safe;
	bool silent_crash;
	bool dead_accept;
	int late_crash;
	int unreliable_node;
	int uncut;
} crash_sim_config_t;

/**
 * struct crash_sim_counts - events at upstreams and callers
 * @crashes: crashes of upstreams
 * @late_sends: arrivals of CRASH_CONTENT at live upstreams later than 3 s after
 *	the crash after which they are late
 * @answered: harmless requests that were answered
 * @refused: harmless requests that were refused
 * @suspected: of @refused, those refused because of crashes
 * @failed: harmless requests that failed
 * @repeated: runs of harmless requests that had begun at an upstream before
 */
typedef struct crash_sim_counts {
	int crashes;
	int late_sends;
	int answered;
	int refused;
	int suspected;
	int failed;
	int repeated;
} crash_sim_counts_t;

/** crash_sim_start() - start relays and upstreams that know each other */
void crash_sim_start(const crash_sim_config_t *config);

/** crash_sim_stop() - end the simulation and free it */
void crash_sim_stop(void);

/** crash_sim_request() - open a request at a node */
void crash_sim_request(int node, const char *target, uint64_t content);

/** crash_sim_hang_up() - the caller of a node's last request disconnects */
void crash_sim_hang_up(int node);

/** crash_sim_request_prompt() - open a request with a prompt, for engines */
void crash_sim_request_prompt(int node, uint64_t content);

/** crash_sim_request_parts() - open a request with these parts, for engines;
 *	each has a content of its own
 * @crashes: it crashes the engine that begins it */
void crash_sim_request_parts(
    int node, const uint64_t *parts, uint32_t count, bool crashes);

/** crash_sim_crash() - crash one upstream */
void crash_sim_crash(int upstream);

/** crash_sim_advance() - advance the virtual time */
void crash_sim_advance(dff_time_t time);

/** crash_sim_crash_all() - crash all upstreams */
void crash_sim_crash_all(void);

/** crash_sim_restart() - restart a node without its state */
void crash_sim_restart(int node);

/** crash_sim_cut() - cut a node off from all upstreams, or end that */
void crash_sim_cut(int node, crash_sim_cut_t cut);

/** crash_sim_served() - of a node's requests, those that were answered */
int crash_sim_served(int node);

/** crash_sim_forwarded() - sends to peers since the start */
uint64_t crash_sim_forwarded(void);

/** crash_sim_configure() - give a node a version of the configuration */
void crash_sim_configure(int node, uint64_t version);

/** crash_sim_from_peers() - requests that a node took from peers */
uint64_t crash_sim_from_peers(int node);

/** crash_sim_partition() - cut a node off from its peers, or reconnect it */
void crash_sim_partition(int node, bool cut);

/** crash_sim_counts() - counts since the start */
const crash_sim_counts_t *crash_sim_counts(void);

/** crash_sim_bytes() - bytes of all frames since the start */
uint64_t crash_sim_bytes(void);

/** crash_sim_status() - status of a node's last own answer; 0 if its last
 *	request was sent to an upstream */
int crash_sim_status(int node);

/** crash_sim_retry_after() - time after which that answer allows a retry */
dff_time_t crash_sim_retry_after(int node);

#endif
