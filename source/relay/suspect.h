/*
 * Requests that break the upstreams that run them.
 */
#ifndef DFF_RELAY_SUSPECT_H
#define DFF_RELAY_SUSPECT_H

#include "proto/dragonflyfall.pb-c.h"
#include "relay/internal.h"

/* Rows of one frame. */
#define CRASHES_MAX 30

/** suspects_new() - none; the caller drops it */
suspects_t *suspects_new(void);

/** suspects_drop() - free all */
void suspects_drop(suspects_t *suspects);

/** suspect_note() - a call's run is over without an answer */
void suspect_note(step_t *step, const call_t *call);

/** suspect_probe() - a run broke off: does its upstream still listen? */
void suspect_probe(step_t *step, dff_handle_t upstream);

/** suspect_waits() - runs ended there, and it is not known by what */
bool suspect_waits(const step_t *step, dff_handle_t upstream);

/** suspect_take_probe() - it does, or not */
void suspect_take_probe(step_t *step, const dff_relay_probed_t *probed);

/**
 * suspect_confirm() - an upstream crashed: whose runs ended there?
 * @sure: it is known to have ended; else its record is missing, which says
 *	nothing against those that took a connection after the run broke off
 */
void suspect_confirm(step_t *step, dff_handle_t upstream, bool sure);

/** suspect_hangs_on_probe() - one more crash of that upstream would get the
 *	content refused, and whether it crashed is known soon */
bool suspect_hangs_on_probe(
    const step_t *step, uint64_t content, dff_handle_t upstream);

/** suspect_clear() - a request with this content was answered */
void suspect_clear(step_t *step, uint64_t content);

/**
 * suspect_refused_for() - whether a content broke too many upstreams
 *
 * Return: time for which requests with it are refused; 0 if they are served.
 */
dff_time_t suspect_refused_for(
    const dff_relay_t *relay, uint64_t content, dff_time_t now);

/** suspect_sweep() - forget what is long ago */
void suspect_sweep(step_t *step);

/** suspect_load() - a peer's evidence */
void suspect_load(step_t *step, const peer_t *peer, const Dff__RelayCrash *row);

/** suspect_load_evidence() - what was kept of an earlier life of the fleet */
void suspect_load_evidence(step_t *step, const dff_crash_report_t *evidence);

/** enum evidence - which evidence a frame tells */
typedef enum evidence {
	EVIDENCE_SEEN, /* what this node saw itself, lately */
	EVIDENCE_REFUSED, /* that, and all that gets requests refused */
	EVIDENCE_HEARD, /* that, and what peers told lately */
} evidence_t;

/**
 * suspect_list() - evidence for a frame
 * @rows: room for CRASHES_MAX
 *
 * Return: how many. What does not fit is for the next frame.
 */
size_t suspect_list(dff_relay_t *relay, Dff__RelayCrash *rows, evidence_t which,
    dff_time_t now);

#endif
