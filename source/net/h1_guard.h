/*
 * The part of the HTTP/1.1 server that accounts for its callers. Without an
 * account, nothing is counted.
 */
#ifndef DFF_NET_H1_GUARD_H
#define DFF_NET_H1_GUARD_H

#include "net/h1_head.h"

/**
 * struct h1_guard - a server's share in a node's bounds
 * @account: shared, or NULL
 * @head_ms: longest time for a head; 0 for no limit
 * @logged_at: time of the last log line on the loop's clock
 * @logged: refusals up to that line
 */
typedef struct h1_guard {
	dff_account_t *account;
	uint64_t head_ms;
	uint64_t logged_at;
	uint64_t logged;
} h1_guard_t;

/** h1_guard_client() - address of a connection's client, 0 if unknown */
uint32_t h1_guard_client(const uv_tcp_t *tcp);

/** h1_guard_cost() - bytes held for a request: what was read, and for a
 *	complete one the copy that is sent to an upstream */
size_t h1_guard_cost(const h1_reader_t *reader, const GByteArray *body,
    const GByteArray *input, bool complete);

/** h1_guard_clear() - empty a buffer that held @used bytes at most, and free
 *	it if that is much */
void h1_guard_clear(GByteArray **bytes, size_t used);

/* The account's functions, for a server that may have none. */
void h1_guard_leave(const h1_guard_t *guard, dff_holder_t *holder);
void h1_guard_active(const h1_guard_t *guard, dff_holder_t *holder);
void h1_guard_hold(const h1_guard_t *guard, dff_holder_t *holder,
    dff_account_class_t class, size_t bytes);
void h1_guard_count(const h1_guard_t *guard, dff_account_count_t count);
bool h1_guard_answers_press(const h1_guard_t *guard);
dff_holder_t *h1_guard_slow_reader(const h1_guard_t *guard);

/** h1_guard_log() - log refusals since the last line, at most one line per
 *	interval */
void h1_guard_log(h1_guard_t *guard, dff_ctx_t *ctx, uint64_t now);

#endif
