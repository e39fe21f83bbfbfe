/*
 * What suspect.c and suspect_tell.c share.
 */
#ifndef DFF_RELAY_SUSPECT_PARTS_H
#define DFF_RELAY_SUSPECT_PARTS_H

#include "relay/suspect.h"

/* Upstreams that one request may break before it is refused. */
#define BREAKS_MAX 2

/* Crashes of one upstream during one request. */
typedef struct crash {
	uint32_t upstream; /* hash of its id */
	uint32_t count;
	dff_time_t at; /* the last one */
	dff_time_t learned_at;
	bool seen; /* by this node */
} crash_t;

typedef struct suspect {
	GArray *crashes; /* crash_t, one row an upstream */
	dff_time_t answered_at; /* crashes up to then do not count */
	dff_time_t answer_learned_at;
	bool answer_seen; /* by this node */
} suspect_t;

/* A run that broke off, not yet put down to a crash. */
typedef struct broken_run {
	uint64_t content;
	dff_handle_t upstream;
	dff_time_t sent_at;
	dff_time_t at;
	bool silent; /* its upstream did not take a connection since */
	bool taken; /* it did */
} broken_run_t;

struct suspects {
	GHashTable *by_content; /* content hash, boxed, to suspect_t */
	GArray *broken_runs; /* broken_run_t */
	uint32_t first_row; /* of those that fit no frame together */
};

/** suspects_take() - the row of a content, made if there is none; NULL if
 *	there are too many */
suspect_t *suspects_take(suspects_t *suspects, uint64_t content);

/** suspect_take_crash() - the row of an upstream, made if there is none */
crash_t *suspect_take_crash(suspect_t *suspect, uint32_t upstream);

/** suspect_count() - crashes of all upstreams */
uint32_t suspect_count(const suspect_t *suspect);

/** suspect_last() - moment of the last crash; 0 if there is none */
dff_time_t suspect_last(const suspect_t *suspect);

/** suspect_remember_time() - how long after its last crash a request with so
 *	many is remembered */
dff_time_t suspect_remember_time(uint32_t crashes);

/**
 * suspect_drop_crashes() - a request was answered
 * @seen: this node saw the answer
 *
 * Crashes before an answer were no fault of the request. It is news where
 * there were any: ages are not exact, and would seem newer each time.
 */
void suspect_drop_crashes(
    suspect_t *suspect, dff_time_t answered_at, bool seen, dff_time_t now);

/** suspect_keep() - what gets a request refused outlives a fleet that starts
 *	anew as a whole */
void suspect_keep(step_t *step, uint64_t content, const suspect_t *suspect);

#endif
