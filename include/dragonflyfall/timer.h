/*
 * The timer service. Parts subscribe with a kind and a subject; the node
 * reads the earliest deadline and dispatches the timers that are due. No
 * clock is read here: the caller passes the current time.
 */
#ifndef DRAGONFLYFALL_TIMER_H
#define DRAGONFLYFALL_TIMER_H

#include "dragonflyfall/base.h"

/** enum dff_timer_kind - the subscribing part and its purpose */
typedef enum dff_timer_kind {
	DFF_TIMER_NONE,
	DFF_TIMER_CALL_DEADLINE,
	DFF_TIMER_CALL_QUEUE,
	DFF_TIMER_ATTEMPT,
	DFF_TIMER_CLAIM_FLUSH,
	DFF_TIMER_CLAIM_SWEEP,
	DFF_TIMER_MEMBER_HEARTBEAT,
	DFF_TIMER_MEMBER_UPDATE,
	DFF_TIMER_FLEET_TICK,
	DFF_TIMER_AUTHORITY_TICK,
	DFF_TIMER_ROLE_TICK,
	DFF_TIMER_SNAPSHOT,
	DFF_TIMER_DRAIN,
} dff_timer_kind_t;

/**
 * struct dff_timer - one subscription that is due
 * @kind: kind
 * @subject: the subscriber's key, such as a handle
 * @at: deadline
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

/** dff_timers_cancel() - remove a subscription, if present */
void dff_timers_cancel(
    dff_timers_t *timers, dff_timer_kind_t kind, uint64_t subject);

/** dff_timers_next() - the earliest deadline, or DFF_TIME_NEVER */
dff_time_t dff_timers_next(dff_timers_t *timers);

/**
 * dff_timers_pop() - remove one subscription that is due
 * @timers: service
 * @now: current time
 * @due: set to the removed subscription
 *
 * Return: true if one was due. Equal deadlines are returned in the order set.
 */
bool dff_timers_pop(dff_timers_t *timers, dff_time_t now, dff_timer_t *due);

#endif
