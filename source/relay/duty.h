/*
 * Duties that one node of the fleet has at a time, by the order of a log in the
 * platform's store alone.
 *
 * A record is appended only if the log still ends where its writer knows it to
 * end, so that of two claims one is rejected. The fencing token is the position
 * of the accepted claim. The holder counts its lease from before it asked for
 * its last renewal; others count from after they learned of that renewal, from
 * the log or from a peer's frame, and then claim only if the log still ends
 * there. All duties of a fleet have the same holder, so that one record renews
 * them all.
 *
 * The module does no I/O: duties_next() says which call to the store is due,
 * and its answer is passed back. One call is under way at a time.
 */
#ifndef DFF_RELAY_DUTY_H
#define DFF_RELAY_DUTY_H

#include <glib.h>

#include "dragonflyfall/base.h"
#include "dragonflyfall/duty.h"
#include "proto/dragonflyfall.pb-c.h"
#include "relay/internal.h"

/* Longest time that a call under a token may take. duty_token() returns one
 * only if the lease lasts longer. */
#define DUTY_CALL_TIME (1000 * DFF_MSEC)

/**
 * struct duty_view - what a node knows of the fleet
 * @is_candidate: it may claim duties that have no holder
 * @turn: its turn among the candidates, 0 for the first
 */
typedef struct duty_view {
	bool is_candidate;
	uint32_t turn;
} duty_view_t;

/** enum duty_count - counters */
typedef enum duty_count {
	DUTY_READS,
	DUTY_APPENDS,
	DUTY_REJECTED, /* appends, as the log had gone on */
	DUTY_UNANSWERED, /* calls to the store */
	DUTY_GAINED,
	DUTY_LOST,
	DUTY_COUNT_MAX,
} duty_count_t;

/** duties_new() - no duties; the caller drops it */
duties_t *duties_new(void);

/** duties_drop() - free them */
void duties_drop(duties_t *duties);

/** duties_set_config() - set the names of the duties and their times; @config
 *	is copied */
void duties_set_config(duties_t *duties, const char *node, uint64_t incarnation,
    const dff_duty_config_t *config, dff_time_t now);

/** duties_are_enabled() - whether there are duties */
bool duties_are_enabled(const duties_t *duties);

/**
 * duty_token() - the fencing token under which this node may act
 *
 * It is to be asked again before each call. A call may be sent if its answer,
 * or its timeout, comes within DUTY_CALL_TIME.
 *
 * Return: the token, which grows with each change of the holder; 0 if this node
 * does not hold the duty, or not for long enough.
 */
uint64_t duty_token(const duties_t *duties, const char *name, dff_time_t now);

/**
 * duty_token_known() - the newest token that this node knows, of any holder
 *
 * Return: the token, 0 for none.
 */
uint64_t duty_token_known(const duties_t *duties);

/** duty_log_end() - end of the log as far as this node knows */
uint64_t duty_log_end(const duties_t *duties);

/** duty_held_since() - when this node became the holder; 0 if it is not */
dff_time_t duty_held_since(const duties_t *duties);

/** duties_note_call() - a call under a token was sent, or, with @answered, got
 *	its answer; one without an answer may still be carried out later */
void duties_note_call(duties_t *duties, bool answered, dff_time_t now);

/** duties_hear() - a peer's frame: the holder's token, and the end of the log
 *	after its last renewal */
void duties_hear(
    duties_t *duties, uint64_t token, uint64_t end, dff_time_t now);

/** duties_stop() - the process ends: give the duties up and claim none */
void duties_stop(duties_t *duties, dff_time_t now);

/**
 * duties_next() - the next call to the store
 *
 * Return: whether one is due; it then counts as sent, and its answer is to be
 * passed to duties_apply_read() or duties_apply_append().
 */
bool duties_next(dff_ctx_t *ctx, duties_t *duties, const duty_view_t *view,
    dff_time_t now, dff_duty_request_t *request);

/** duties_apply_read() - the answer to a read */
void duties_apply_read(dff_ctx_t *ctx, duties_t *duties,
    const dff_duty_read_t *read, dff_time_t now);

/** duties_apply_append() - the answer to an append */
void duties_apply_append(dff_ctx_t *ctx, duties_t *duties,
    const dff_duty_appended_t *appended, dff_time_t now);

/** duties_counter() - value of a counter */
uint64_t duties_counter(const duties_t *duties, duty_count_t counter);

/* ---- duty_relay.c: duties of a relay ---- */

/** duty_run() - with each frame and answer: make the call that is due */
void duty_run(step_t *step);

/** duty_metrics() - state and counters as text */
void duty_metrics(const dff_relay_t *relay, dff_time_t now, GString *text);

/** duty_receive_frame() - what a peer's frame says of the holder */
void duty_receive_frame(
    step_t *step, peer_t *peer, const Dff__RelayBeat *frame);

/** duty_fill_frame() - add what this node, or its domain, knows of the holder;
 *	@row has to last until the frame is packed */
void duty_fill_frame(step_t *step, Dff__RelayBeat *frame, Dff__RelayDuty *row);

#endif
