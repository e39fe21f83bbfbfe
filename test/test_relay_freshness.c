/*
 * How long ago the configuration of each node of a fleet was confirmed, in
 * virtual time: frames and answers of the store are delayed, reordered, lost,
 * repeated and kept while a node is stopped, and the clocks of the nodes
 * differ. Each version has one key of its own, which the next one removes; the
 * checker knows when the store accepted each.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_bench.h"
#include "relay/confirm.h"

#define NODES	    27
#define VERSIONS    2000
#define TICK	    (5 * DFF_MSEC)
#define DAY	    (60 * DFF_SEC)
#define TICKS	    ((int)((DAY + 20 * DFF_SEC) / TICK))
#define REVOKE_TIME (5 * DFF_SEC)
#define CONFIG_TIME (3 * DFF_SEC)
#define POLL_WAIT   DFF_SEC
#define POLL_LIMIT  (1900 * DFF_MSEC)
#define SEEDS	    40
#define SEEDS_CALM  6

typedef enum kind {
	FRAME,
	STORE_ASKED, /* a question has arrived at the store */
	STORE_ANSWER, /* its answer has arrived at the node */
	UPSTREAMS_ANSWER, /* of the topic of upstreams */
	FETCHED, /* a peer's configuration has arrived */
	REQUEST,
} kind_t;

/* Something that arrives at a node. */
typedef struct item {
	kind_t kind;
	int to;
	int from;
	GBytes *bytes;
	dff_time_t sent_at; /* true time */
	dff_time_t asked_at; /* by the clock of the node */
	dff_time_t wait_until; /* true time */
	uint64_t version;
	uint32_t poll;
} item_t;

typedef struct node {
	relay_bench_t *bench;
	dff_time_t offset; /* of its clock */
	dff_time_t stopped_until;
	dff_time_t cut_until; /* from everything */
	dff_time_t store_cut_until;
	GPtrArray *kept; /* item_t that arrived while it was stopped */
	uint32_t poll; /* number of the one under way */
	dff_time_t polled_at; /* 0: none is under way */
	dff_time_t next_poll;
	dff_time_t next_upstreams_read;
	uint64_t version;
} node_t;

static node_t nodes[NODES];
static int count;
static GPtrArray *buckets[TICKS]; /* item_t by the tick at which they arrive */
static dff_time_t accepted_at[VERSIONS + 1]; /* by the store */
static uint64_t newest;
static dff_time_t now;
static dff_time_t store_down_until;
static double loss;
static bool calm;
static GRand *rng;

/* What the checker counts. */
static int served;
static int refused;
static int unknown;
static int ran_late; /* with a key removed more than REVOKE_TIME before */
static int denied; /* 401 though the key was there for CONFIG_TIME */
static dff_time_t oldest; /* highest age of a configuration */

static double
unit(void)
{
	return g_rand_double(rng);
}

static dff_time_t
between(dff_time_t low, dff_time_t high)
{
	return low + (dff_time_t)(unit() * (double)(high - low));
}

static void
free_item(void *data)
{
	item_t *item = data;

	if (item->bytes != NULL)
		g_bytes_unref(item->bytes);
	g_free(item);
}

static item_t *
new_item(kind_t kind, int to, int from)
{
	item_t *item = g_new0(item_t, 1);

	item->kind = kind;
	item->to = to;
	item->from = from;
	item->sent_at = now;
	return item;
}

static void
deliver_at(item_t *item, dff_time_t at)
{
	dff_time_t tick = MAX(at / TICK, now / TICK + 1);

	if (tick >= TICKS) {
		free_item(item);
		return;
	}
	if (buckets[tick] == NULL)
		buckets[tick] = g_ptr_array_new_with_free_func(free_item);
	g_ptr_array_add(buckets[tick], item);
}

static dff_time_t
delay(void)
{
	if (!calm && unit() < 0.01)
		return between(100 * DFF_MSEC, 4 * DFF_SEC);
	return between(DFF_MSEC, 10 * DFF_MSEC);
}

static bool
is_cut(int i)
{
	return now < nodes[i].cut_until;
}

static int
find_node(const char *addr)
{
	for (int i = 0; i < count; i++) {
		if (strcmp(nodes[i].bench->frame_addr, addr) == 0)
			return i;
	}
	return -1;
}

static void
send_frame(int from, const dff_relay_frame_t *frame)
{
	int to = find_node(frame->addr);
	int copies = !calm && unit() < 0.02 ? 2 : 1;

	if (to < 0 || is_cut(from) || is_cut(to) || unit() < loss)
		return;
	for (int i = 0; i < copies; i++) {
		item_t *item = new_item(FRAME, to, from);

		item->bytes = g_bytes_new(frame->bytes, frame->len);
		deliver_at(item, now + delay());
	}
}

/* Records are served at the frames' address. */
static void
fetch(int i, const char *addr)
{
	int from = find_node(addr);
	item_t *item;

	if (from < 0 || is_cut(from) || is_cut(i) ||
	    now < nodes[from].stopped_until)
		return;
	item = new_item(FETCHED, i, from);
	item->version = nodes[from].version;
	deliver_at(item, now + 3 * delay());
}

static void
step(int i, const dff_relay_event_t *event)
{
	relay_bench_t *bench = nodes[i].bench;

	bench->now = now + nodes[i].offset;
	relay_bench_step(bench, event);
	for (guint k = 0; k < bench->fx->len; k++) {
		const dff_relay_effect_t *fx =
		    &g_array_index(bench->fx, dff_relay_effect_t, k);

		if (fx->type == DFF_RELAY_FX_FRAME)
			send_frame(i, &fx->frame);
		else if (fx->type == DFF_RELAY_FX_FETCH)
			fetch(i, fx->fetch.addr);
	}
}

/* ---- the configuration ---- */

static void
load_version(int i, uint64_t version)
{
	dff_relay_event_t event = {.type = DFF_RELAY_ROUTING};
	dff_organisation_t organisation = {.name = "o"};
	char key[32];

	if (version <= nodes[i].version)
		return;
	(void)g_snprintf(key, sizeof(key), "key-%d", (int)version);
	event.routing = relay_bench_new_routing(version);
	event.routing->organisations = dff_organisations_new();
	dff_organisations_add_key(event.routing->organisations,
	    dff_organisations_add(event.routing->organisations, &organisation),
	    key);
	step(i, &event);
	dff_routing_drop(event.routing);
	nodes[i].version = version;
	dff_relay_set_feed_offset(
	    nodes[i].bench->relay, DFF_FEED_ROUTING, version);
}

static bool
store_is_reached(int i)
{
	return !is_cut(i) && now >= nodes[i].store_cut_until &&
	    now >= store_down_until;
}

static void
poll_store(int i)
{
	node_t *node = &nodes[i];
	dff_relay_t *relay = node->bench->relay;
	dff_time_t local = now + node->offset;
	item_t *item;

	if (node->polled_at != 0 && now - node->polled_at > POLL_LIMIT) {
		node->polled_at = 0;
		node->next_poll = now + 250 * DFF_MSEC;
	}
	if (node->polled_at != 0 || now < node->next_poll)
		return;
	if (node->version != 0 && !dff_relay_reads_source(relay, local) &&
	    !dff_relay_needs_confirmation(relay, local)) {
		node->next_poll = now + 250 * DFF_MSEC;
		return;
	}
	node->polled_at = now;
	node->poll++;
	if (!store_is_reached(i))
		return;
	item = new_item(STORE_ASKED, i, i);
	item->poll = node->poll;
	item->asked_at = local;
	item->version = node->version;
	item->wait_until =
	    now + (confirm_age(relay, local) > 2500 * DFF_MSEC ? 0 : POLL_WAIT);
	deliver_at(item, now + delay());
}

/* Answers at once if there is a newer version, else after the wait. */
static void
ask_store(item_t *question)
{
	item_t *item;

	if (newest <= question->version && now < question->wait_until) {
		item = g_memdup2(question, sizeof(*question));
		deliver_at(item, now + 4 * TICK);
		return;
	}
	if (!store_is_reached(question->to))
		return;
	item = g_memdup2(question, sizeof(*question));
	item->kind = STORE_ANSWER;
	item->version = newest;
	deliver_at(item, now + delay());
}

static void
take_store_answer(const item_t *item)
{
	node_t *node = &nodes[item->to];
	dff_relay_event_t confirmed = {.type = DFF_RELAY_ROUTING_CONFIRMED};

	if (item->poll != node->poll || node->polled_at == 0)
		return;
	node->polled_at = 0;
	node->next_poll = now + 20 * DFF_MSEC;
	load_version(item->to, item->version);
	confirmed.confirmed.asked_at = item->asked_at;
	confirmed.confirmed.version = item->version;
	step(item->to, &confirmed);
}

static void
read_upstreams(int i)
{
	node_t *node = &nodes[i];

	if (now < node->next_upstreams_read)
		return;
	node->next_upstreams_read = now + 650 * DFF_MSEC;
	if (store_is_reached(i) &&
	    dff_relay_reads_source(node->bench->relay, now + node->offset))
		deliver_at(new_item(UPSTREAMS_ANSWER, i, i), now + delay());
}

/* ---- requests ---- */

static dff_time_t
removed_at(uint64_t version)
{
	return version < newest ? accepted_at[version + 1] : DFF_TIME_NEVER / 2;
}

static void
check_answer(const item_t *item, int status, bool sent)
{
	uint64_t version = item->version;
	bool known = version > 0 && version <= newest;

	served += sent;
	refused += status == 503;
	unknown += status == 401;
	ck_assert(sent || status == 503 || status == 401);
	if (sent &&
	    (!known || item->sent_at > removed_at(version) + REVOKE_TIME))
		ran_late++;
	if (status == 401 && known &&
	    item->sent_at > accepted_at[version] + CONFIG_TIME &&
	    item->sent_at < removed_at(version))
		denied++;
}

static void
take_request(const item_t *item)
{
	relay_bench_t *bench = nodes[item->to].bench;
	dff_relay_event_t event = {.type = DFF_RELAY_OPEN};
	const dff_relay_effect_t *fx;
	char key[32];
	uint64_t send = 0;
	int status;

	(void)g_snprintf(key, sizeof(key), "key-%d", (int)item->version);
	event.open.call = ++bench->next_call;
	event.open.id = "id";
	event.open.host = "h";
	event.open.target = "/order/x";
	event.open.content_hash = bench->next_call;
	event.open.timeout = 3 * DFF_SEC;
	event.open.after_event = -1;
	event.open.resumes = "";
	event.open.credential = key;
	event.open.organisation = "";
	step(item->to, &event);
	status = relay_bench_answer(bench);
	fx = relay_bench_find(bench, DFF_RELAY_FX_SEND);
	if (fx != NULL)
		send = fx->send.send;
	oldest = MAX(
	    oldest, confirm_age(bench->relay, now + nodes[item->to].offset));
	check_answer(item, status, send != 0);
	if (send == 0)
		return;
	relay_bench_head(bench, send, 200, false);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
}

/* With the newest key, an earlier one, or one that never was. */
static void
send_request(int i)
{
	item_t *item = new_item(REQUEST, i, i);
	uint64_t back = unit() < 0.5 ? 0 : (uint64_t)(unit() * 4);

	item->version = newest > back ? newest - back : newest;
	if (unit() < 0.05)
		item->version = VERSIONS + 1;
	deliver_at(item, now);
}

/* ---- the run ---- */

static void
take(item_t *item)
{
	dff_relay_event_t event = {.type = DFF_RELAY_HEARTBEAT};
	gsize len;

	switch (item->kind) {
	case FRAME:
		event.heartbeat.addr = nodes[item->from].bench->frame_addr;
		event.heartbeat.bytes = g_bytes_get_data(item->bytes, &len);
		event.heartbeat.len = len;
		step(item->to, &event);
		break;
	case STORE_ASKED:
		ask_store(item);
		break;
	case STORE_ANSWER:
		take_store_answer(item);
		break;
	case UPSTREAMS_ANSWER:
		event.type = DFF_RELAY_SOURCE_ANSWERED;
		step(item->to, &event);
		break;
	case FETCHED:
		load_version(item->to, item->version);
		break;
	case REQUEST:
		take_request(item);
		break;
	}
}

/* What arrives at a node that is stopped waits in its sockets. */
static void
arrive(item_t *item)
{
	node_t *node = &nodes[item->to];

	if (item->kind != STORE_ASKED && now < node->stopped_until) {
		g_ptr_array_add(node->kept, item);
		return;
	}
	take(item);
	free_item(item);
}

static void
start_node(int i, const char *domain)
{
	node_t *node = &nodes[i];
	char id[16];
	char addr[DFF_ADDR_MAX];
	dff_relay_config_t config;

	(void)g_snprintf(id, sizeof(id), "%s%d", domain, i);
	(void)g_snprintf(addr, sizeof(addr), "10.0.0.%d:7000", i + 1);
	memset(node, 0, sizeof(*node));
	node->offset = between(DFF_SEC, 100000 * DFF_SEC);
	node->bench = relay_bench_new_as(id, domain, addr, 100);
	g_strlcpy(node->bench->frame_addr, addr, DFF_ADDR_MAX);
	node->bench->now = now + node->offset;
	dff_relay_defaults(&config);
	config.revoke_strictly = true;
	config.revoke_time = REVOKE_TIME;
	config.config_time = CONFIG_TIME;
	dff_relay_set_config(node->bench->relay, &config);
	node->kept = g_ptr_array_new();
	relay_bench_load_upstream(
	    node->bench, "p1", "plain", DFF_ROLE_MIXED, domain, 1);
}

static void
start_fleet(uint32_t seed, int size, int domains)
{
	static const char *const names[] = {"a", "b", "c"};

	rng = g_rand_new_with_seed(seed);
	now = 0;
	count = size;
	newest = 0;
	store_down_until = 0;
	served = refused = unknown = ran_late = denied = 0;
	oldest = 0;
	for (int i = 0; i < count; i++)
		start_node(i, names[i % domains]);
	for (int i = 0; i < count; i++) {
		for (int k = 0; k < count; k++)
			dff_relay_add_peer(nodes[i].bench->relay,
			    nodes[k].bench->frame_addr, names[k % domains], 100,
			    now + nodes[i].offset);
	}
}

static void
stop_fleet(void)
{
	for (int i = 0; i < count; i++) {
		relay_bench_drop(nodes[i].bench);
		for (guint k = 0; k < nodes[i].kept->len; k++)
			free_item(nodes[i].kept->pdata[k]);
		g_ptr_array_unref(nodes[i].kept);
	}
	for (int i = 0; i < TICKS; i++)
		g_clear_pointer(&buckets[i], g_ptr_array_unref);
	g_rand_free(rng);
}

static void
run_node(int i)
{
	const dff_relay_event_t wake = {.type = DFF_RELAY_WAKE};
	node_t *node = &nodes[i];

	if (now < node->stopped_until)
		return;
	for (guint k = 0; k < node->kept->len; k++) {
		take(node->kept->pdata[k]);
		free_item(node->kept->pdata[k]);
	}
	g_ptr_array_set_size(node->kept, 0);
	if (dff_relay_wake(node->bench->relay) <= now + node->offset)
		step(i, &wake);
	poll_store(i);
	read_upstreams(i);
}

static void
set_fault(void)
{
	node_t *node = &nodes[(int)(unit() * count)];
	dff_time_t end = now + between(300 * DFF_MSEC, 9 * DFF_SEC);

	switch ((int)(unit() * 5)) {
	case 0:
	case 1:
		node->stopped_until = end;
		break;
	case 2:
		node->cut_until = end;
		break;
	case 3:
		node->store_cut_until = end;
		break;
	default:
		store_down_until = end;
		break;
	}
}

static void
run_tick(void)
{
	GPtrArray *due = buckets[now / TICK];

	for (guint i = 0; due != NULL && i < due->len; i++) {
		item_t *item = due->pdata[i];

		due->pdata[i] = NULL;
		arrive(item);
	}
	if (due != NULL)
		g_ptr_array_set_free_func(due, NULL);
	for (int i = 0; i < count; i++)
		run_node(i);
}

/* Versions follow each other after up to @pause. */
static void
play(dff_time_t pause)
{
	dff_time_t next_version = 0;
	dff_time_t next_fault = 8 * DFF_SEC;

	for (now = 0; now < DAY; now += TICK) {
		if (now >= next_version && newest < VERSIONS) {
			accepted_at[++newest] = now;
			next_version = now + between(200 * DFF_MSEC, pause);
		}
		if (!calm && now >= next_fault) {
			set_fault();
			next_fault =
			    now + between(100 * DFF_MSEC, 1500 * DFF_MSEC);
		}
		run_tick();
		for (int i = 0; now > 6 * DFF_SEC && i < count; i++) {
			if (unit() < 0.1)
				send_request(i);
		}
	}
}

static void
expect_kept(uint32_t seed)
{
	ck_assert_msg(ran_late == 0 && denied == 0,
	    "seed %u: %d ran late, %d denied; %d served", seed, ran_late,
	    denied, served);
	ck_assert_int_gt(served, 300);
}

static void
play_faults(int size, int domains, uint32_t first, uint32_t seeds)
{
	for (uint32_t seed = first; seed < first + seeds; seed++) {
		start_fleet(seed, size, domains);
		calm = false;
		loss = seed % 3 == 0 ? 0.2 : 0;
		play(seed % 2 == 0 ? 8 * DFF_SEC : 600 * DFF_MSEC);
		expect_kept(seed);
		stop_fleet();
	}
}

START_TEST(small_fleet_keeps_the_rules_under_faults)
{
	play_faults(9, 3, 1, SEEDS);
}
END_TEST

START_TEST(large_fleet_keeps_the_rules_under_faults)
{
	play_faults(NODES, 3, 1001, SEEDS / 4);
}
END_TEST

/* No request of the newest version or the one before it is refused. */
static void
play_calm(int size, int domains, dff_time_t pause)
{
	for (uint32_t seed = 1; seed <= SEEDS_CALM; seed++) {
		start_fleet(seed, size, domains);
		calm = true;
		loss = 0;
		play(pause);
		expect_kept(seed);
		ck_assert_int_eq(refused, 0);
		ck_assert_int_gt(unknown, 0);
		ck_assert_int_le(oldest, 2500 * DFF_MSEC);
		stop_fleet();
	}
}

START_TEST(calm_fleet_is_confirmed_all_the_time)
{
	play_calm(9, 3, 20 * DFF_SEC);
	play_calm(NODES, 3, 20 * DFF_SEC);
	play_calm(NODES, 3, 400 * DFF_MSEC);
}
END_TEST

/* ---- the moment by itself ---- */

START_TEST(source_with_an_older_version_confirms_nothing)
{
	freshness_t freshness = {0};

	ck_assert_int_eq(freshness_age(&freshness, 5), DFF_TIME_NEVER);
	ck_assert(freshness_confirm(&freshness, 100, 4, 4));
	ck_assert(!freshness_confirm(&freshness, 200, 3, 4));
	ck_assert_int_eq(freshness_age(&freshness, 300), 200);
	ck_assert(!freshness_confirm(&freshness, 50, 4, 4));
	ck_assert_int_eq(freshness_age(&freshness, 300), 200);
}
END_TEST

START_TEST(newer_version_confirms_once_it_is_in_force)
{
	freshness_t freshness = {0};

	ck_assert(!freshness_confirm(&freshness, 100, 5, 4));
	ck_assert(!freshness_confirm(&freshness, 200, 7, 4));
	ck_assert(!freshness_confirm(&freshness, 300, 8, 4));
	ck_assert(freshness_note_version(&freshness, 6));
	ck_assert_int_eq(freshness_age(&freshness, 1000), 900);
	ck_assert(!freshness_note_version(&freshness, 7));
	ck_assert(freshness_note_version(&freshness, 9));
	ck_assert_int_eq(freshness_age(&freshness, 1000), 700);
	ck_assert(!freshness_note_version(&freshness, 10));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_freshness");
	TCase *tcase = tcase_create("relay_freshness");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, source_with_an_older_version_confirms_nothing);
	tcase_add_test(tcase, newer_version_confirms_once_it_is_in_force);
	tcase_add_test(tcase, small_fleet_keeps_the_rules_under_faults);
	tcase_add_test(tcase, large_fleet_keeps_the_rules_under_faults);
	tcase_add_test(tcase, calm_fleet_is_confirmed_all_the_time);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
