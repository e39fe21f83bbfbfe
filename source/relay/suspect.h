/*
 * Requests that crash the upstreams that run them.
 */
#ifndef DFF_RELAY_SUSPECT_H
#define DFF_RELAY_SUSPECT_H

#include "proto/dragonflyfall.pb-c.h"
#include "relay/internal.h"

/* Most rows of one frame. */
#define CRASH_ROWS_MAX 30

/** suspects_new() - an empty table; the caller drops it */
suspects_t *suspects_new(void);

/** suspects_drop() - free the table and its evidence */
void suspects_drop(suspects_t *suspects);

/** suspect_add_broken_run() - record that a call's run ended without an
 *	answer */
void suspect_add_broken_run(step_t *step, const call_t *call);

/**
 * suspect_add_cancelled_run() - record that a call's run, if there is one, is
 *	given up before any part of an answer
 *
 * It is evidence if its upstream ends without having sent anything since.
 */
void suspect_add_cancelled_run(step_t *step, const call_t *call);

/** suspect_note_byte() - an upstream sent a byte: it did not crash before */
void suspect_note_byte(step_t *step, dff_handle_t upstream);

/** suspect_start_probe() - after a run broke off, probe whether its upstream
 *	still accepts connections */
void suspect_start_probe(step_t *step, dff_handle_t upstream);

/** suspect_has_broken_run() - runs broke off at the upstream for a reason that
 *	is not known yet */
bool suspect_has_broken_run(const step_t *step, dff_handle_t upstream);

/** suspect_apply_probe() - apply the result of a probe */
void suspect_apply_probe(step_t *step, const dff_relay_probed_t *probed);

/** suspect_settle_probes() - this node has reached an upstream: those whose
 *	probes failed meanwhile are down */
void suspect_settle_probes(step_t *step);

/** suspect_release_probed() - this node reaches no upstream: continue the calls
 *	that wait for the reason of failed probes, which stays unknown */
void suspect_release_probed(step_t *step);

/** suspect_forget_probes() - failed probes say nothing of their upstreams */
void suspect_forget_probes(step_t *step);

/**
 * suspect_confirm_crash() - count the crash of an upstream for the requests
 *	whose runs broke off there
 * @sure: the upstream is known to have ended; otherwise only its record is
 *	missing, which is no evidence if it accepted a connection after the run
 *	broke off
 */
void suspect_confirm_crash(step_t *step, dff_handle_t upstream, bool sure);

/** suspect_depends_on_probe() - a probe of the upstream is under way, and one
 *	more crash would cause the call to be refused */
bool suspect_depends_on_probe(
    const step_t *step, const call_t *call, dff_handle_t upstream);

/** suspect_clear_answered() - remove the evidence against the content and the
 *	parts of a call that was answered */
void suspect_clear_answered(step_t *step, const call_t *call);

/**
 * suspect_refusal_time() - remaining time for which a request is refused
 * @refused_key: set to the content or the key of the part that causes it; may
 *	be NULL
 *
 * Return: time for which requests with that content or part are refused because
 * they crashed too many upstreams; 0 if they are served.
 */
dff_time_t suspect_refusal_time(const dff_relay_t *relay, uint64_t content,
    const dff_prompt_t *prompt, dff_time_t now, uint64_t *refused_key);

/** suspect_note_refusal() - count and log that request @id is refused because of
 *	a key */
void suspect_note_refusal(step_t *step, const char *id, uint64_t key);

/** suspect_sweep() - remove expired evidence and broken runs */
void suspect_sweep(step_t *step);

/** suspect_apply_peer_crash() - apply one row of a peer's evidence */
void suspect_apply_peer_crash(
    step_t *step, const peer_t *peer, const Dff__RelayCrash *row);

/** suspect_restore_evidence() - load evidence stored before the whole fleet
 *	restarted */
void suspect_restore_evidence(step_t *step, const dff_crash_report_t *evidence);

/** enum evidence_scope - which evidence a frame contains */
typedef enum evidence_scope {
	EVIDENCE_OWN, /* recent evidence of this node */
	EVIDENCE_OWN_AND_REFUSED, /* also all evidence of refused contents */
	EVIDENCE_ALL, /* also recent evidence of peers */
} evidence_scope_t;

/**
 * suspect_list() - list evidence for a frame
 * @rows: room for CRASH_ROWS_MAX
 *
 * Return: number of rows. Rows that do not fit are left for the next frame.
 */
size_t suspect_list(dff_relay_t *relay, Dff__RelayCrash *rows,
    evidence_scope_t scope, dff_time_t now);

#endif
