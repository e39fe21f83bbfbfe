/*
 * Declarations shared by suspect.c, suspect_verdict.c and suspect_evidence.c.
 */
#ifndef DFF_RELAY_SUSPECT_PARTS_H
#define DFF_RELAY_SUSPECT_PARTS_H

#include "relay/answered_parts.h"
#include "relay/suspect.h"

/* Number of crashes of upstreams after which a request is refused. */
#define CRASHES_TO_REFUSE 2
/* The same for requests with one part in common: a sound part may have shared
 * two upstreams that crashed before its first answer. */
#define PART_CRASHES_TO_REFUSE 3
/* The same at nodes that remember an answer for the part: those without one may
 * already refuse it, and only answers clear it. */
#define ANSWERED_PART_CRASHES_TO_REFUSE 6

/* Crashes of one upstream during requests with one key. */
typedef struct crash {
	uint32_t upstream; /* hash of its id */
	uint32_t count;
	uint64_t started_ms; /* start of the process that crashed last */
	dff_time_t last_at; /* moment of the last crash */
	dff_time_t learned_at;
	bool seen_here; /* this node's run broke off */
} crash_t;

typedef struct suspect {
	GArray *crashes; /* crash_t, one row an upstream */
	dff_time_t first_at; /* first crash; 0 if there is none */
	dff_time_t answered_at; /* crashes up to then do not count */
	dff_time_t answer_learned_at;
	bool answer_seen_here; /* this node received the answer */
	uint32_t crashes_to_refuse;
	uint32_t stored_crashes; /* those of the last stored report */
} suspect_t;

/* A run that broke off and is not attributed to a crash yet. */
typedef struct broken_run {
	uint64_t key;
	dff_handle_t upstream;
	uint64_t started_ms; /* start of the process that it was sent to */
	dff_time_t sent_at;
	dff_time_t ended_at;
	bool unresponsive; /* its upstream is silent, or a probe timed out */
	bool connected; /* its upstream accepted a connection since */
	bool cancelled; /* this node gave it up before any part of an answer; it
			 * is no evidence once the upstream sends a byte */
} broken_run_t;

/* An upstream does not restart sooner: runs that break off there within this
 * time met the same crash. */
#define RESTART_MIN (500 * DFF_MSEC)

/* A crash of an upstream, whichever requests it broke off. */
typedef struct crash_event {
	uint32_t upstream; /* hash of its id */
	dff_time_t at;
} crash_event_t;

/* Keys of one request: its content and the parts of its prompt. */
#define SUSPECT_KEYS_MAX (1 + DFF_PARTS_MAX)

struct suspects {
	GHashTable *by_key; /* key, boxed, to suspect_t */
	answered_parts_t *answered;
	GArray *crash_events; /* crash_event_t, the latest ones */
	GArray *refused_parts; /* keys; some may be refused no longer */
	GArray *broken_runs; /* broken_run_t */
	uint32_t next_row; /* next one to list, when one frame is too small */
};

/** suspects_find_or_add() - entry of a key, added if there is none; NULL if
 *	there are too many */
suspect_t *suspects_find_or_add(suspects_t *suspects, uint64_t key);

/** suspect_is_part() - whether the key is one of a prompt's part */
bool suspect_is_part(uint64_t key);

/** suspect_key_name() - name of a key's field in log lines */
const char *suspect_key_name(uint64_t key);

/** suspect_find_or_add_crash() - entry of an upstream, added if there is
 *	none */
crash_t *suspect_find_or_add_crash(suspect_t *suspect, uint32_t upstream);

/** suspect_count_crashes() - number of crashes of all upstreams */
uint32_t suspect_count_crashes(const suspect_t *suspect);

/** suspect_last_crash() - moment of the last crash of any upstream; 0 if there
 *	is none */
dff_time_t suspect_last_crash(const suspect_t *suspect);

/** suspect_retention_time() - time after the last of @crashes for which the
 *	evidence is kept */
dff_time_t suspect_retention_time(const suspect_t *suspect, uint32_t crashes);

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
void suspect_store_evidence(step_t *step, uint64_t key, suspect_t *suspect);

/** suspects_find() - entry of a key, or NULL */
suspect_t *suspects_find(const suspects_t *suspects, uint64_t key);

/** suspect_list_keys() - list the keys of a request; returns their number */
size_t suspect_list_keys(uint64_t content, const dff_prompt_t *prompt,
    uint64_t keys[SUSPECT_KEYS_MAX]);

/** suspect_threshold() - crashes after which a key without evidence is
 *	refused */
uint32_t suspect_threshold(const suspects_t *suspects, uint64_t key);

/** suspect_note_crash() - a crash was added to a key's evidence: update the
 *	verdict */
void suspect_note_crash(
    step_t *step, uint64_t key, suspect_t *suspect, const crash_t *crash);

/** suspect_sweep_refused() - forget parts that are refused no longer */
void suspect_sweep_refused(step_t *step);

/** suspect_is_refused() - whether requests with this key are refused */
bool suspect_is_refused(const suspect_t *suspect, dff_time_t now);

/** suspect_saw_crash() - whether a run of this node met one of the crashes */
bool suspect_saw_crash(const suspect_t *suspect);

#endif
