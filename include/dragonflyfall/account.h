/*
 * Account of what a node holds for others: bytes and connections, with limits
 * and the choice of who is refused. No I/O; the caller closes what it is told.
 */
#ifndef DRAGONFLYFALL_ACCOUNT_H
#define DRAGONFLYFALL_ACCOUNT_H

#include <glib.h>

#include "dragonflyfall/base.h"

/**
 * enum dff_account_class - what bytes are held for
 * @DFF_ACCOUNT_REQUESTS: requests that are read or not answered yet
 * @DFF_ACCOUNT_ANSWERS: answers that callers have not read or that are not
 *	whole yet
 */
typedef enum dff_account_class {
	DFF_ACCOUNT_REQUESTS,
	DFF_ACCOUNT_ANSWERS,
	DFF_ACCOUNT_CLASSES
} dff_account_class_t;

/**
 * struct dff_account_limits - limits of an account; 0 is no limit
 * @bytes: of each class
 * @connections: of callers
 */
typedef struct dff_account_limits {
	size_t bytes[DFF_ACCOUNT_CLASSES];
	int connections;
} dff_account_limits_t;

/** enum dff_account_count - why somebody was refused */
typedef enum dff_account_count {
	DFF_ACCOUNT_REFUSED_BYTES, /* an unfinished request, for memory */
	DFF_ACCOUNT_REFUSED_CONNECTIONS, /* a connection, for another one */
	DFF_ACCOUNT_SLOW_HEADS, /* a head that took too long */
	DFF_ACCOUNT_SLOW_READERS, /* an answer that was not read */
	DFF_ACCOUNT_COUNTS
} dff_account_count_t;

/** typedef dff_account_client_t - one client address */
typedef struct dff_account_client dff_account_client_t;

/**
 * struct dff_holder - a connection for which bytes are held
 * @held: bytes of each class
 * @passed_on: its request is whole and was passed on: never refused
 * @owner: for its caller
 */
typedef struct dff_holder {
	GList link; /* in order of last activity */
	dff_account_client_t *client;
	size_t held[DFF_ACCOUNT_CLASSES];
	bool passed_on;
	void *owner;
} dff_holder_t;

/** typedef dff_account_t - an account */
typedef struct dff_account dff_account_t;

/**
 * dff_account_limits() - limits for a machine
 * @memory: of the machine in bytes, 0: no limit
 * @sockets: that its process may open, 0: no limit
 *
 * A third of the memory may be held for requests and a sixth for answers; the
 * rest is that of the process itself and of what its sockets hold. Half of the sockets are callers'; the others
 * carry their requests on, but for those that are kept for health checks,
 * peers and the store: dff_account_kept().
 */
dff_account_limits_t dff_account_limits(size_t memory, int sockets);

/** dff_account_kept() - sockets kept for health checks, peers and the store */
int dff_account_kept(int sockets);

/** dff_account_new() - an empty account; the caller drops it after the last
 *	holder has left */
dff_account_t *dff_account_new(const dff_account_limits_t *limits);

/** dff_account_drop() - free it; NULL is allowed */
void dff_account_drop(dff_account_t *account);

/** dff_account_set_limits() - change the limits */
void dff_account_set_limits(
    dff_account_t *account, const dff_account_limits_t *limits);

/** dff_account_enter() - add a connection of a client address */
void dff_account_enter(
    dff_account_t *account, dff_holder_t *holder, uint32_t addr);

/** dff_account_leave() - remove it and all that is held for it */
void dff_account_leave(dff_account_t *account, dff_holder_t *holder);

/** dff_account_active() - note that its client has sent something */
void dff_account_active(dff_account_t *account, dff_holder_t *holder);

/** dff_account_hold() - set what is held for a connection */
void dff_account_hold(dff_account_t *account, dff_holder_t *holder,
    dff_account_class_t class, size_t bytes);

/** dff_account_add() - hold bytes of no connection; negative to release */
void dff_account_add(
    dff_account_t *account, dff_account_class_t class, int64_t bytes);

/** dff_account_has_room() - whether @bytes more stay within a class */
bool dff_account_has_room(
    const dff_account_t *account, dff_account_class_t class, size_t bytes);

/**
 * dff_account_unfinished() - the unfinished request to refuse next
 *
 * It is the one that has been idle longest, of a client address that takes
 * more than half if there is one. Large requests have a part of the limit, so
 * that small ones find room while large ones have been passed on.
 *
 * Return: its connection, or NULL if requests are within their limit or all
 * were passed on.
 */
dff_holder_t *dff_account_unfinished(const dff_account_t *account);

/** dff_account_surplus() - the connection to close next because there are too
 *	many, chosen in the same order; NULL if there are not or all carry
 *	requests that were passed on */
dff_holder_t *dff_account_surplus(const dff_account_t *account);

/** dff_account_answers_press() - whether answers leave too little room for
 *	others */
bool dff_account_answers_press(const dff_account_t *account);

/** dff_account_slow_reader() - the connection that holds most of the answers
 *	if there is too little room left for others, else NULL */
dff_holder_t *dff_account_slow_reader(const dff_account_t *account);

/** dff_account_count() - count a refusal */
void dff_account_count(dff_account_t *account, dff_account_count_t count);

/** dff_account_counted() - refusals so far */
uint64_t dff_account_counted(
    const dff_account_t *account, dff_account_count_t count);

/** dff_account_held() - bytes held of a class */
size_t dff_account_held(
    const dff_account_t *account, dff_account_class_t class);

/** dff_account_connections() - connections of callers */
int dff_account_connections(const dff_account_t *account);

#endif
