#include "dragonflyfall/account.h"

#include "base/fault.h"

/* A request that holds more is a large one. */
#define SMALL_MAX ((size_t)65536)
/* Part of the requests' limit that large requests leave to small ones, and
 * part of the answers' limit that must stay free of slow readers. */
#define SMALL_DIVISOR 4
#define FREE_DIVISOR  4
/* Parts of the machine's memory that may be held for requests and answers. */
#define REQUESTS_DIVISOR 3
#define ANSWERS_DIVISOR	 6
/* Sockets kept for health checks, peers and the store. */
#define KEPT_MAX     512
#define KEPT_DIVISOR 8

struct dff_account_client {
	uint32_t addr;
	size_t bytes; /* of requests */
	int connections;
};

struct dff_account {
	dff_account_limits_t limits;
	GQueue holders; /* longest idle first */
	GHashTable *clients; /* address to dff_account_client_t */
	size_t held[DFF_ACCOUNT_CLASSES];
	size_t large; /* bytes of large requests */
	uint64_t counts[DFF_ACCOUNT_COUNTS];
};

int
dff_account_kept(int sockets)
{
	return MIN(KEPT_MAX, sockets / KEPT_DIVISOR);
}

dff_account_limits_t
dff_account_limits(size_t memory, int sockets)
{
	dff_account_limits_t limits = {{0}, 0};

	limits.bytes[DFF_ACCOUNT_REQUESTS] = memory / REQUESTS_DIVISOR;
	limits.bytes[DFF_ACCOUNT_ANSWERS] = memory / ANSWERS_DIVISOR;
	limits.connections = (sockets - dff_account_kept(sockets)) / 2;
	return limits;
}

dff_account_t *
dff_account_new(const dff_account_limits_t *limits)
{
	dff_account_t *account = g_new0(dff_account_t, 1);

	account->limits = *limits;
	account->clients =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	g_queue_init(&account->holders);
	return account;
}

void
dff_account_drop(dff_account_t *account)
{
	if (account == NULL)
		return;
	g_hash_table_unref(account->clients);
	g_free(account);
}

void
dff_account_set_limits(
    dff_account_t *account, const dff_account_limits_t *limits)
{
	account->limits = *limits;
}

void
dff_account_enter(dff_account_t *account, dff_holder_t *holder, uint32_t addr)
{
	dff_account_client_t *client =
	    g_hash_table_lookup(account->clients, GUINT_TO_POINTER(addr));

	if (client == NULL) {
		client = g_new0(dff_account_client_t, 1);
		client->addr = addr;
		(void)g_hash_table_insert(
		    account->clients, GUINT_TO_POINTER(addr), client);
	}
	client->connections++;
	holder->client = client;
	holder->link.data = holder;
	g_queue_push_tail_link(&account->holders, &holder->link);
}

void
dff_account_leave(dff_account_t *account, dff_holder_t *holder)
{
	if (holder->client == NULL)
		return;
	for (int i = 0; i < DFF_ACCOUNT_CLASSES; i++)
		dff_account_hold(account, holder, (dff_account_class_t)i, 0);
	g_queue_unlink(&account->holders, &holder->link);
	if (--holder->client->connections == 0)
		(void)g_hash_table_remove(
		    account->clients, GUINT_TO_POINTER(holder->client->addr));
	holder->client = NULL;
}

void
dff_account_active(dff_account_t *account, dff_holder_t *holder)
{
	if (holder->client == NULL)
		return;
	g_queue_unlink(&account->holders, &holder->link);
	g_queue_push_tail_link(&account->holders, &holder->link);
}

static size_t
large_part(size_t bytes)
{
	return bytes > SMALL_MAX && !DFF_FAULT(ACCOUNT_NO_ROOM_FOR_SMALL) ?
	    bytes :
	    0;
}

void
dff_account_hold(dff_account_t *account, dff_holder_t *holder,
    dff_account_class_t class, size_t bytes)
{
	size_t before = holder->held[class];

	if (holder->client == NULL)
		return;
	holder->held[class] = bytes;
	account->held[class] += bytes - before;
	if (class != DFF_ACCOUNT_REQUESTS)
		return;
	account->large += large_part(bytes) - large_part(before);
	holder->client->bytes += bytes - before;
}

void
dff_account_add(
    dff_account_t *account, dff_account_class_t class, int64_t bytes)
{
	account->held[class] += (size_t)bytes;
}

bool
dff_account_has_room(
    const dff_account_t *account, dff_account_class_t class, size_t bytes)
{
	size_t limit = account->limits.bytes[class];

	return limit == 0 || account->held[class] + bytes <= limit;
}

/* ---- who is refused ---- */

static bool
is_over(size_t bytes, size_t limit, size_t left_free)
{
	return limit != 0 && bytes > limit - left_free;
}

dff_holder_t *
dff_account_unfinished(const dff_account_t *account)
{
	size_t limit = account->limits.bytes[DFF_ACCOUNT_REQUESTS];
	size_t held = account->held[DFF_ACCOUNT_REQUESTS];
	bool large = is_over(account->large, limit, limit / SMALL_DIVISOR);
	dff_holder_t *longest_idle = NULL;

	if (!large && !is_over(held, limit, 0))
		return NULL;
	for (GList *link = account->holders.head; link != NULL;
	     link = link->next) {
		dff_holder_t *holder = link->data;
		size_t bytes = holder->held[DFF_ACCOUNT_REQUESTS];

		if ((holder->passed_on &&
			!DFF_FAULT(ACCOUNT_REFUSES_PASSED_ON)) ||
		    bytes == 0 || (large && bytes <= SMALL_MAX))
			continue;
		if (holder->client->bytes > held / 2 &&
		    !DFF_FAULT(ACCOUNT_IGNORES_ADDRESSES))
			return holder;
		if (longest_idle == NULL)
			longest_idle = holder;
	}
	return longest_idle;
}

dff_holder_t *
dff_account_surplus(const dff_account_t *account)
{
	int limit = account->limits.connections;
	int count = (int)account->holders.length;
	dff_holder_t *longest_idle = NULL;

	if (limit == 0 || count <= limit)
		return NULL;
	for (GList *link = account->holders.head; link != NULL;
	     link = link->next) {
		dff_holder_t *holder = link->data;

		if (holder->passed_on)
			continue;
		if (holder->client->connections > count / 2)
			return holder;
		if (longest_idle == NULL)
			longest_idle = holder;
	}
	return longest_idle;
}

bool
dff_account_answers_press(const dff_account_t *account)
{
	size_t limit = account->limits.bytes[DFF_ACCOUNT_ANSWERS];

	return is_over(
	    account->held[DFF_ACCOUNT_ANSWERS], limit, limit / FREE_DIVISOR);
}

dff_holder_t *
dff_account_slow_reader(const dff_account_t *account)
{
	dff_holder_t *most = NULL;

	if (!dff_account_answers_press(account))
		return NULL;
	for (GList *link = account->holders.head; link != NULL;
	     link = link->next) {
		dff_holder_t *holder = link->data;

		if (holder->held[DFF_ACCOUNT_ANSWERS] > 0 &&
		    (most == NULL ||
			holder->held[DFF_ACCOUNT_ANSWERS] >
			    most->held[DFF_ACCOUNT_ANSWERS]))
			most = holder;
	}
	return most;
}

/* ---- for operators ---- */

void
dff_account_count(dff_account_t *account, dff_account_count_t count)
{
	account->counts[count]++;
}

uint64_t
dff_account_counted(const dff_account_t *account, dff_account_count_t count)
{
	return account->counts[count];
}

size_t
dff_account_held(const dff_account_t *account, dff_account_class_t class)
{
	return account->held[class];
}

int
dff_account_connections(const dff_account_t *account)
{
	return (int)account->holders.length;
}
