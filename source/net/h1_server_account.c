#include "net/h1_server.h"

#include "base/fault.h"

void
h1d_evict(conn_t *conn, dff_account_count_t why)
{
	h1_guard_count(&conn->h1d->guard, why);
	if (conn->head_since != 0 && conn->unsent == 0 && !conn->close_after)
		h1d_refuse(conn, why == DFF_ACCOUNT_SLOW_HEADS ? 408 : 503);
	h1d_close_conn(conn);
	/* Its handle is freed only at the end of the loop's iteration. */
	h1_guard_clear(&conn->body, SIZE_MAX);
	h1_guard_clear(&conn->input, SIZE_MAX);
}

void
h1d_enter_account(conn_t *conn)
{
	h1_guard_t *guard = &conn->h1d->guard;
	dff_holder_t *victim;

	if (guard->account == NULL)
		return;
	conn->holder.owner = conn;
	dff_account_enter(
	    guard->account, &conn->holder, h1_guard_client(&conn->tcp));
	while ((victim = dff_account_surplus(guard->account)) != NULL &&
	    !DFF_FAULT(CROWD_UNBOUNDED_CONNECTIONS))
		h1d_evict(victim->owner, DFF_ACCOUNT_REFUSED_CONNECTIONS);
}

void
h1d_charge(conn_t *conn)
{
	h1_guard_t *guard = &conn->h1d->guard;
	dff_holder_t *victim;

	if (conn->closing || guard->account == NULL ||
	    DFF_FAULT(CROWD_UNBOUNDED_REQUESTS))
		return;
	h1_guard_hold(guard, &conn->holder, DFF_ACCOUNT_REQUESTS,
	    h1_guard_cost(
		&conn->reader, conn->body, conn->input, conn->complete));
	while ((victim = dff_account_unfinished(guard->account)) != NULL)
		h1d_evict(victim->owner, DFF_ACCOUNT_REFUSED_BYTES);
}

bool
h1d_reads_too_slowly(const conn_t *conn)
{
	return conn->unsent > conn->h1d->limits.unread_max;
}

static void
on_shed(uv_timer_t *timer)
{
	dff_h1d_t *h1d = timer->data;
	dff_holder_t *victim;

	for (GList *link = h1d->conns.head; link != NULL; link = link->next) {
		conn_t *conn = link->data;

		if (conn->closing || !h1d_reads_too_slowly(conn))
			continue;
		h1_guard_count(&h1d->guard, DFF_ACCOUNT_SLOW_READERS);
		h1d_close_conn(conn);
	}
	while ((victim = h1_guard_slow_reader(&h1d->guard)) != NULL) {
		h1_guard_count(&h1d->guard, DFF_ACCOUNT_SLOW_READERS);
		h1d_close_conn(victim->owner);
	}
}

void
h1d_note_unsent(conn_t *conn)
{
	dff_h1d_t *h1d = conn->h1d;

	h1_guard_hold(
	    &h1d->guard, &conn->holder, DFF_ACCOUNT_ANSWERS, conn->unsent);
	if ((conn->unsent > h1d->limits.unread_max ||
		h1_guard_answers_press(&h1d->guard)) &&
	    !h1d->dropped && !uv_is_active((uv_handle_t *)&h1d->shed))
		(void)uv_timer_start(&h1d->shed, on_shed, 0, 0);
}

bool
h1d_head_is_late(conn_t *conn, uint64_t now)
{
	uint64_t limit = conn->h1d->guard.head_ms;
	bool late_before = conn->head_late;

	conn->head_late = limit > 0 && conn->req == NULL && conn->unsent == 0 &&
	    !conn->head_done && conn->head_since != 0 &&
	    now - conn->head_since > limit;
	return conn->head_late && late_before;
}
