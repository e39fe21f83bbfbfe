/*
 * Declarations shared by suspect.c and suspect_evidence.c.
 */
#ifndef DFF_RELAY_SUSPECT_PARTS_H
#define DFF_RELAY_SUSPECT_PARTS_H

#include "relay/suspect.h"

/* Number of crashes of upstreams after which a request is refused. */
#define CRASHES_TO_REFUSE 2

/* Crashes of one upstream during requests with one content. */
typedef struct crash {
	uint32_t upstream; /* hash of its id */
	uint32_t count;
	dff_time_t last_at; /* moment of the last crash */
	dff_time_t learned_at;
	bool seen_here; /* this node's run broke off */
} crash_t;

typedef struct suspect {
	GArray *crashes; /* crash_t, one row an upstream */
	dff_time_t answered_at; /* crashes up to then do not count */
	dff_time_t answer_learned_at;
	bool answer_seen_here; /* this node received the answer */
} suspect_t;

/* A run that broke off and is not attributed to a crash yet. */
typedef struct broken_run {
	uint64_t content;
	dff_handle_t upstream;
	dff_time_t sent_at;
	dff_time_t ended_at;
	bool unresponsive; /* its upstream is silent, or a probe timed out */
	bool connected; /* its upstream accepted a connection since */
} broken_run_t;

struct suspects {
	GHashTable *by_content; /* content hash, boxed, to suspect_t */
	GArray *broken_runs; /* broken_run_t */
	uint32_t next_row; /* next one to list, when one frame is too small */
};

/** suspects_find_or_add() - entry of a content, added if there is none; NULL
 *	if there are too many */
suspect_t *suspects_find_or_add(suspects_t *suspects, uint64_t content);

/** suspect_find_or_add_crash() - entry of an upstream, added if there is
 *	none */
crash_t *suspect_find_or_add_crash(suspect_t *suspect, uint32_t upstream);

/** suspect_count_crashes() - number of crashes of all upstreams */
uint32_t suspect_count_crashes(const suspect_t *suspect);

/** suspect_last_crash() - moment of the last crash of any upstream; 0 if there
 *	is none */
dff_time_t suspect_last_crash(const suspect_t *suspect);

/** suspect_retention_time() - time after the last crash for which evidence of
 *	this number of crashes is kept */
dff_time_t suspect_retention_time(uint32_t crashes);

/**
 * suspect_remove_crashes() - remove crashes up to an answer to the request
 * @seen: this node received the answer
 *
 * Crashes before an answer were not caused by the request. The answer is
 * reported to peers only where it removed crashes: ages are inexact, and the
 * same answer would look newer with each report.
 */
void suspect_remove_crashes(
    suspect_t *suspect, dff_time_t answered_at, bool seen, dff_time_t now);

/** suspect_store_evidence() - store evidence that causes a refusal, so that it
 *	outlives a restart of the whole fleet */
void suspect_store_evidence(
    step_t *step, uint64_t content, const suspect_t *suspect);

#endif
