/*
 * The timer service. Parts subscribe with a kind and a subject; the node
 * asks for the earliest deadline and hands back what is due. No clock is
 * read here: the moment comes with each call.
 */
#ifndef DRAGONFLYFALL_TIMER_H
#define DRAGONFLYFALL_TIMER_H

#include "dragonflyfall/base.h"

/** enum dff_timer_kind - which part subscribed, and for what */
typedef enum dff_timer_kind {
	DFF_TIMER_NONE,
	DFF_TIMER_CALL_DEADLINE,
	DFF_TIMER_CALL_QUEUE,
	DFF_TIMER_TRY,
	DFF_TIMER_CLAIM_FLUSH,
	DFF_TIMER_CLAIM_SWEEP,
	DFF_TIMER_MEMBER_BEAT,
	DFF_TIMER_MEMBER_TELL,
	DFF_TIMER_FLEET_TICK,
	DFF_TIMER_AUTHORITY_TICK,
	DFF_TIMER_ROLE_TICK,
	DFF_TIMER_SNAPSHOT,
	DFF_TIMER_DRAIN,
} dff_timer_kind_t;

/**
 * struct dff_timer - one subscription that is due
 * @kind: kind
 * @subject: what the subscriber passed, such as a handle
 * @at: the moment it was set for
 */
typedef struct dff_timer {
	dff_timer_kind_t kind;
	uint64_t subject;
	dff_time_t at;
} dff_timer_t;

/** typedef dff_timers_t - the timer service of one node */
typedef struct dff_timers dff_timers_t;

/** dff_timers_new() - make an empty service; the caller drops it */
dff_timers_t *dff_timers_new(void);

/** dff_timers_drop() - free the service; NULL is allowed */
void dff_timers_drop(dff_timers_t *timers);

/**
 * dff_timers_set() - subscribe, or move a subscription
 * @timers: service
 * @kind: kind
 * @subject: subject; one (kind, subject) pair has one deadline at most
 * @at: deadline
 */
void dff_timers_set(dff_timers_t *timers, dff_timer_kind_t kind,
    uint64_t subject, dff_time_t at);

/** dff_timers_cancel() - forget a subscription, if there is one */
void dff_timers_cancel(
    dff_timers_t *timers, dff_timer_kind_t kind, uint64_t subject);

/** dff_timers_next() - the earliest deadline, or DFF_TIME_NEVER */
dff_time_t dff_timers_next(dff_timers_t *timers);

/**
 * dff_timers_pop() - take one subscription that is due
 * @timers: service
 * @now: moment
 * @due: set to the subscription, which is then forgotten
 *
 * Return: true if one was due. Equal deadlines come in order of setting.
 */
bool dff_timers_pop(dff_timers_t *timers, dff_time_t now, dff_timer_t *due);

#endif
