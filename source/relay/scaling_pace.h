/*
 * How many orders there are in a minute, and how many upstreams they add or take
 * away in a second.
 */
#ifndef DFF_RELAY_SCALING_PACE_H
#define DFF_RELAY_SCALING_PACE_H

#include "dragonflyfall/base.h"

/* Most orders of one pool in a minute. */
#define SCALING_ORDERS_MAX 48

/* An order that was not refused. */
typedef struct sent_order {
	uint64_t number; /* 0 for none */
	dff_time_t at;
	uint32_t changes;
} sent_order_t;

/**
 * struct scaling_pace - orders of a pool lately
 * @sent: those of the last minute
 * @left: upstreams that may be added or taken away now
 * @refilled_at: moment at which @left holds; 0 before the first
 */
typedef struct scaling_pace {
	sent_order_t sent[SCALING_ORDERS_MAX];
	double left;
	dff_time_t refilled_at;
} scaling_pace_t;

/** scaling_pace_recent() - orders of the last minute */
uint32_t scaling_pace_recent(const scaling_pace_t *pace, dff_time_t now);

/** scaling_pace_note() - an order is sent */
void scaling_pace_note(scaling_pace_t *pace, uint64_t number, dff_time_t now);

/** scaling_pace_forget() - it was refused and has changed nothing: its changes
 *	are left again */
void scaling_pace_forget(scaling_pace_t *pace, uint64_t number);

/** scaling_pace_refill() - time has passed; the changes of one second are kept
 *	at most */
void scaling_pace_refill(
    scaling_pace_t *pace, double changes_per_s, dff_time_t now);

/**
 * scaling_pace_limit() - how many of @changes may be ordered now
 * @changes_per_s: 0 for no bound
 *
 * Return: all, a second's worth, or 0 while neither is left: one order in a
 * second in place of many small ones.
 */
uint32_t scaling_pace_limit(
    const scaling_pace_t *pace, double changes_per_s, uint32_t changes);

/** scaling_pace_take() - the order that was noted asks for so many changes */
void scaling_pace_take(scaling_pace_t *pace, uint64_t number, uint32_t changes);

#endif
