#include "net/h1_guard.h"

#include <netinet/in.h>

#include "base/fault.h"

/* Bytes of memory that a header field takes besides its text. */
#define FIELD_COST ((size_t)96)
/* Buffers of up to this size are kept for the next request. */
#define KEPT_MAX 4096
/* Least time between two log lines. */
#define LOG_MSEC 10000

uint32_t
h1_guard_client(const uv_tcp_t *tcp)
{
	struct sockaddr_storage sa;
	const struct sockaddr_in *in = (const struct sockaddr_in *)&sa;
	int len = sizeof(sa);

	if (uv_tcp_getpeername(tcp, (struct sockaddr *)&sa, &len) != 0 ||
	    sa.ss_family != AF_INET)
		return 0;
	return in->sin_addr.s_addr;
}

size_t
h1_guard_cost(const h1_reader_t *reader, const GByteArray *body,
    const GByteArray *input, bool complete)
{
	size_t head =
	    reader->head_bytes + reader->head.fields->len * FIELD_COST;

	return input->len + (complete ? 2 : 1) * (head + body->len);
}

void
h1_guard_clear(GByteArray **bytes, size_t used)
{
	if (used <= KEPT_MAX || DFF_FAULT(CROWD_KEEPS_BUFFERS)) {
		g_byte_array_set_size(*bytes, 0);
		return;
	}
	g_byte_array_unref(*bytes);
	*bytes = g_byte_array_new();
}

void
h1_guard_leave(const h1_guard_t *guard, dff_holder_t *holder)
{
	if (guard->account != NULL)
		dff_account_leave(guard->account, holder);
}

void
h1_guard_active(const h1_guard_t *guard, dff_holder_t *holder)
{
	if (guard->account != NULL)
		dff_account_active(guard->account, holder);
}

void
h1_guard_hold(const h1_guard_t *guard, dff_holder_t *holder,
    dff_account_class_t class, size_t bytes)
{
	if (guard->account != NULL)
		dff_account_hold(guard->account, holder, class, bytes);
}

void
h1_guard_count(const h1_guard_t *guard, dff_account_count_t count)
{
	if (guard->account != NULL)
		dff_account_count(guard->account, count);
}

bool
h1_guard_answers_press(const h1_guard_t *guard)
{
	return guard->account != NULL &&
	    dff_account_answers_press(guard->account);
}

dff_holder_t *
h1_guard_slow_reader(const h1_guard_t *guard)
{
	return guard->account != NULL ?
	    dff_account_slow_reader(guard->account) :
	    NULL;
}

void
h1_guard_log(h1_guard_t *guard, dff_ctx_t *ctx, uint64_t now)
{
	uint64_t counts[DFF_ACCOUNT_COUNTS];
	uint64_t sum = 0;

	if (guard->account == NULL ||
	    (guard->logged_at != 0 && now - guard->logged_at < LOG_MSEC))
		return;
	for (int i = 0; i < DFF_ACCOUNT_COUNTS; i++) {
		counts[i] =
		    dff_account_counted(guard->account, (dff_account_count_t)i);
		sum += counts[i];
	}
	if (sum == guard->logged)
		return;
	guard->logged = sum;
	guard->logged_at = now;
	dff_log(ctx, DFF_LOG_WARNING, "front",
	    "callers refused to stay within this machine requests=%" G_GUINT64_FORMAT
	    " connections=%" G_GUINT64_FORMAT " slow_heads=%" G_GUINT64_FORMAT
	    " slow_readers=%" G_GUINT64_FORMAT
	    " held_requests=%zu held_answers=%zu open=%d",
	    counts[DFF_ACCOUNT_REFUSED_BYTES],
	    counts[DFF_ACCOUNT_REFUSED_CONNECTIONS],
	    counts[DFF_ACCOUNT_SLOW_HEADS], counts[DFF_ACCOUNT_SLOW_READERS],
	    dff_account_held(guard->account, DFF_ACCOUNT_REQUESTS),
	    dff_account_held(guard->account, DFF_ACCOUNT_ANSWERS),
	    dff_account_connections(guard->account));
}
