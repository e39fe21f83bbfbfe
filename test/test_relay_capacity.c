/*
 * How much upstreams take well: a play of several nodes before upstreams of
 * different speed in virtual time. Nodes place with their own measurements and
 * those that the others report. The same requests are placed once with all
 * upstreams taken as equal, once with learned differences, and once by an
 * oracle that knows the speed of each upstream at each moment.
 */
#include <check.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_net.h"
#include "relay/internal.h"

#define NODES	  4
#define UPSTREAMS 24
#define SLOTS	  4
#define JOBS_MAX  512
#define TICK	  (DFF_MSEC)
/* Work of a usual request, and the time within which it is to be answered. */
#define WORK (20 * DFF_MSEC)
#define AIM  (40 * DFF_MSEC)
/* Requests a second of all callers; the upstreams can serve 5,200. */
#define LOAD 2000.0
/* Time between reports to peers. */
#define REPORT_TIME (50 * DFF_MSEC)
/* Some upstreams are slowed for such a time. */
#define NOISE_TIME   (600 * DFF_MSEC)
#define NOISE_SHARE  (1.0 / 6)
#define NOISE_FACTOR 2.5

typedef enum view {
	VIEW_EQUAL,
	VIEW_LEARNED,
	VIEW_ORACLE,
} view_t;

typedef struct job {
	int node;
	uint32_t in_flight;
	dff_time_t sent_at;
	double left; /* of its work at a usual upstream */
} job_t;

typedef struct vm {
	double speed; /* time that work takes, 1 as usual */
	double noise; /* the same for the moment */
	bool tells;
	double lie; /* what it says instead of its pace; 0 for the truth */
	double well; /* requests at once beyond which it slows down; 0 never */
	job_t jobs[JOBS_MAX];
	int count;
} vm_t;

typedef struct node {
	upstreams_t *upstreams;
	pool_stats_t stats;
	dff_handle_t handles[UPSTREAMS];
	upstream_t *ups[UPSTREAMS];
	double credit;
} node_t;

static node_t nodes[NODES];
static vm_t vms[UPSTREAMS];
static view_t view;
static bool noisy;
static bool reports;
static GRand *source;
static GRand *noise_source;
static dff_time_t now;
static int requests;
static int late;
static int explored;
static int placed[UPSTREAMS];

static void
add_record(node_t *node, int u, const char *id, dff_handle_t *handle)
{
	dff_upstream_record_t record = {.pool = "plain",
	    .domain = "a",
	    .slots = SLOTS,
	    .started_ms = 1,
	    .seq = 1};

	g_strlcpy(record.id, id, sizeof(record.id));
	(void)g_snprintf(
	    record.addr, sizeof(record.addr), "10.9.0.%u:80", (unsigned)u);
	(void)upstreams_apply_record(node->upstreams, &record, 0, now, handle);
}

static void
begin(view_t with, bool with_noise)
{
	view = with;
	noisy = with_noise;
	reports = true;
	now = 1000 * DFF_SEC;
	requests = late = explored = 0;
	memset(vms, 0, sizeof(vms));
	memset(placed, 0, sizeof(placed));
	source = g_rand_new_with_seed(7);
	noise_source = g_rand_new_with_seed(11);
	for (int u = 0; u < UPSTREAMS; u++) {
		static const double speeds[] = {0.6, 1.0, 1.6};

		vms[u].speed = speeds[u % 3];
		vms[u].noise = 1;
		vms[u].tells = true;
	}
	for (int n = 0; n < NODES; n++) {
		memset(&nodes[n], 0, sizeof(nodes[n]));
		nodes[n].upstreams = upstreams_new();
		pool_stats_init(&nodes[n].stats);
		nodes[n].stats.learns = with != VIEW_EQUAL;
		for (int u = 0; u < UPSTREAMS; u++) {
			char id[8];

			(void)g_snprintf(id, sizeof(id), "u%u", (unsigned)u);
			add_record(&nodes[n], u, id, &nodes[n].handles[u]);
			nodes[n].ups[u] = upstreams_get(
			    nodes[n].upstreams, nodes[n].handles[u]);
		}
	}
}

static void
end(void)
{
	for (int n = 0; n < NODES; n++)
		upstreams_drop(nodes[n].upstreams);
	g_rand_free(source);
	g_rand_free(noise_source);
}

/* What each node knows of an upstream's load and, as the oracle, its speed. */
static void
set_view(node_t *node, int u)
{
	upstream_t *up = node->ups[u];
	capacity_mean_t *mean = pool_stats_mean(&node->stats, up);

	up->peer_sends.running = (uint32_t)vms[u].count - up->running;
	if (view != VIEW_ORACLE)
		return;
	mean->log_time = log((double)WORK / DFF_MSEC);
	mean->samples = 60;
	memset(&up->capacity, 0, sizeof(up->capacity));
	up->capacity.pace = vms[u].speed * vms[u].noise;
	up->capacity.pace_mean = up->capacity.pace;
	up->capacity.pace_at = now;
	up->capacity.takes_well = vms[u].well;
}

static void
send_request(double work)
{
	int n = g_rand_int_range(source, 0, NODES);
	node_t *node = &nodes[n];
	const dff_prompt_t prompt = {0};
	placement_request_t request = {
	    .pool = "plain", .domain = "a", .software = "", .prompt = &prompt};
	placement_t place;
	job_t *job;
	int u = 0;

	requests++;
	node->credit = MIN(node->credit + 1.0 / 128, 1);
	request.explores = node->credit >= 1;
	for (int i = 0; i < UPSTREAMS; i++)
		set_view(node, i);
	place_request(node->upstreams, &node->stats, &request, now, &place);
	while (node->handles[u] != place.upstream)
		u++;
	if (place.explored) {
		explored++;
		node->credit -= 1;
	}
	placed[u]++;
	ck_assert_int_lt(vms[u].count, JOBS_MAX);
	job = &vms[u].jobs[vms[u].count++];
	*job = (job_t){n, (uint32_t)vms[u].count, now, work};
	node->ups[u]->running++;
}

static void
answer(int u, const job_t *job)
{
	node_t *node = &nodes[job->node];
	upstream_t *up = node->ups[u];
	dff_time_t took = now - job->sent_at;
	double pace = vms[u].lie > 0 ? vms[u].lie : vms[u].speed * vms[u].noise;

	up->running--;
	if (took > AIM)
		late++;
	if (view != VIEW_LEARNED)
		return;
	if (vms[u].tells) {
		capacity_note_pace(&up->capacity, pace, now);
		up->capacity.own.pace = true;
	}
	pool_stats_add_plain(&node->stats, up, job->in_flight, took, now);
}

/* Processes one tick of work at an upstream: the first jobs have slots. */
static void
run_vm(int u)
{
	vm_t *vm = &vms[u];
	int running = MIN(vm->count, SLOTS);
	double step = (double)TICK / (vm->speed * vm->noise);
	int kept = 0;

	if (vm->well > 0 && running > vm->well)
		step *= pow(vm->well / running, 2);
	for (int i = 0; i < vm->count; i++) {
		if (i < running)
			vm->jobs[i].left -= step;
		if (vm->jobs[i].left <= 0)
			answer(u, &vm->jobs[i]);
		else
			vm->jobs[kept++] = vm->jobs[i];
	}
	vm->count = kept;
}

static void
report_to(node_t *peer, int u, const capacity_t *capacity)
{
	const capacity_report_t *report = &capacity->own;
	upstream_t *up = peer->ups[u];

	if (report->count > 0)
		pool_stats_add_reported(&peer->stats, up,
		    report->sum / report->count, report->count, now);
	if (report->pace)
		capacity_note_pace(
		    &up->capacity, capacity->pace, capacity->pace_at);
}

static void
exchange_reports(void)
{
	for (int n = 0; n < NODES; n++) {
		for (int u = 0; u < UPSTREAMS; u++) {
			capacity_t *capacity = &nodes[n].ups[u]->capacity;

			for (int k = 0; k < NODES && reports; k++) {
				if (k != n)
					report_to(&nodes[k], u, capacity);
			}
			capacity->own = (capacity_report_t){0};
		}
	}
}

static void
tick(double per_s)
{
	double chance = per_s * TICK / DFF_SEC;

	if (noisy && now % NOISE_TIME == 0) {
		for (int u = 0; u < UPSTREAMS; u++)
			vms[u].noise =
			    g_rand_double(noise_source) < NOISE_SHARE ?
			    NOISE_FACTOR :
			    1;
	}
	while (g_rand_double(source) < chance) {
		send_request(
		    (double)WORK * (0.6 + 0.8 * g_rand_double(source)));
		chance -= 1;
	}
	for (int u = 0; u < UPSTREAMS; u++)
		run_vm(u);
	if (view == VIEW_LEARNED && now % REPORT_TIME == 0)
		exchange_reports();
	now += TICK;
}

static void
play(dff_time_t time, double per_s)
{
	dff_time_t until = now + time;

	while (now < until)
		tick(per_s);
}

static void
clear_counts(void)
{
	requests = late = explored = 0;
	memset(placed, 0, sizeof(placed));
}

/* Share of late answers once it has been learned. */
static double
late_share(view_t with, bool with_noise)
{
	double share;

	begin(with, with_noise);
	play(3 * DFF_SEC, LOAD);
	clear_counts();
	play(12 * DFF_SEC, LOAD);
	share = (double)late / requests;
	ck_assert_msg(100 * explored <= requests, "explored %d of %d", explored,
	    requests);
	end();
	return share;
}

/* At least two thirds of what an oracle would save. */
START_TEST(most_late_answers_are_saved)
{
	bool with_noise = _i == 1;
	double equal = late_share(VIEW_EQUAL, with_noise);
	double oracle = late_share(VIEW_ORACLE, with_noise);
	double learned = late_share(VIEW_LEARNED, with_noise);

	ck_assert_double_gt(equal, oracle);
	ck_assert_msg(equal - learned >= (equal - oracle) * 2 / 3,
	    "late %.4f with equal, %.4f with learned, %.4f with known speeds",
	    equal, learned, oracle);
}
END_TEST

static double
factor_at(int n, int u)
{
	return pool_stats_plain_factor(&nodes[n].stats, nodes[n].ups[u], now);
}

/* A change is known to all nodes within 3 s, also that a slow one is fast
 * again, which only requests can tell. */
START_TEST(change_is_followed_within_3_s)
{
	const int u = 4;
	double before;

	begin(VIEW_LEARNED, false);
	for (int i = 0; i < UPSTREAMS; i++)
		vms[i].tells = false;
	play(5 * DFF_SEC, LOAD);
	before = factor_at(0, u);
	vms[u].speed = 4;
	play(3 * DFF_SEC, LOAD);
	for (int n = 0; n < NODES; n++)
		ck_assert_msg(factor_at(n, u) > 2 * before,
		    "node %d takes it for %.2f, before %.2f", n,
		    factor_at(n, u), before);
	play(5 * DFF_SEC, LOAD);
	clear_counts();
	vms[u].speed = 1;
	play(3 * DFF_SEC, LOAD);
	for (int n = 0; n < NODES; n++)
		ck_assert_msg(factor_at(n, u) < 1.3 * before,
		    "node %d takes it for %.2f, before %.2f", n,
		    factor_at(n, u), before);
	ck_assert_msg(100 * explored <= requests, "explored %d of %d", explored,
	    requests);
	end();
}
END_TEST

/* An upstream that says its pace is usual while its answers are late, and one
 * whose statements have nothing to do with its times. */
START_TEST(measured_times_overrule_statements)
{
	begin(VIEW_LEARNED, false);
	vms[1].speed = 4;
	vms[1].lie = 1;
	play(3 * DFF_SEC, LOAD);
	for (int n = 0; n < NODES; n++)
		ck_assert_double_gt(factor_at(n, 1), 1.8);
	for (int i = 0; i < 200; i++) {
		vms[4].lie = i % 2 == 0 ? 0.3 : 3;
		play(20 * DFF_MSEC, LOAD);
	}
	for (int n = 0; n < NODES; n++) {
		capacity_t *liar = &nodes[n].ups[4]->capacity;

		ck_assert_msg(capacity_pace(liar, now) == 1,
		    "node %d believes %.2f, distrust %.2f", n,
		    capacity_pace(liar, now), liar->distrust);
	}
	end();
}
END_TEST

/* One that slows down with the second request although it has four slots. */
START_TEST(slowing_down_before_being_full_is_learned)
{
	const int u = 4;

	begin(VIEW_LEARNED, false);
	for (int i = 0; i < UPSTREAMS; i++) {
		vms[i].tells = false;
		vms[i].speed = 1;
	}
	vms[u].well = 1;
	play(10 * DFF_SEC, 2000);
	for (int n = 0; n < NODES; n++)
		ck_assert_msg(
		    capacity_takes_well(&nodes[n].ups[u]->capacity, SLOTS) < 3,
		    "node %d: %.2f", n,
		    capacity_takes_well(&nodes[n].ups[u]->capacity, SLOTS));
	for (int n = 0; n < NODES; n++)
		ck_assert_double_ge(
		    capacity_takes_well(&nodes[n].ups[0]->capacity, SLOTS),
		    0.9 * SLOTS);
	end();
}
END_TEST

/* A process that follows at the same address is believed to be as slow, until
 * new answers show the contrary. */
START_TEST(restart_keeps_a_guess)
{
	const int u = 2;
	double before;
	dff_handle_t handle;
	upstream_t *up;

	begin(VIEW_LEARNED, false);
	for (int i = 0; i < UPSTREAMS; i++)
		vms[i].tells = false;
	play(3 * DFF_SEC, LOAD);
	before = factor_at(0, u);
	ck_assert_double_gt(before, 1.2);
	add_record(&nodes[0], u, "u2-next", &handle);
	up = upstreams_get(nodes[0].upstreams, handle);
	ck_assert_double_gt(
	    pool_stats_mean_factor(&nodes[0].stats, up, now), 1.1);
	for (int i = 0; i < 5; i++) {
		now += 200 * DFF_MSEC;
		pool_stats_add_plain(
		    &nodes[0].stats, up, 1, 12 * DFF_MSEC, now);
	}
	ck_assert_double_lt(
	    pool_stats_mean_factor(&nodes[0].stats, up, now), 1.25);
	/* One at another address begins as a usual one. */
	add_record(&nodes[0], 200, "u-new", &handle);
	up = upstreams_get(nodes[0].upstreams, handle);
	ck_assert(pool_stats_factor(&nodes[0].stats, up, now) == 1);
	end();
}
END_TEST

/* Where all upstreams are alike, requests go where they went before. */
START_TEST(equal_upstreams_are_placed_as_before)
{
	int with_equal;

	begin(VIEW_EQUAL, false);
	for (int i = 0; i < UPSTREAMS; i++)
		vms[i].speed = 1;
	play(8 * DFF_SEC, LOAD);
	with_equal = late;
	end();
	begin(VIEW_LEARNED, false);
	for (int i = 0; i < UPSTREAMS; i++)
		vms[i].speed = 1;
	play(8 * DFF_SEC, LOAD);
	ck_assert_msg(late <= with_equal + requests / 100,
	    "late %d, before %d of %d", late, with_equal, requests);
	end();
}
END_TEST

/* What an upstream says holds for a moment. */
START_TEST(old_statement_falls_back_to_the_mean)
{
	capacity_t capacity = {0};

	for (int i = 0; i < 40; i++)
		capacity_note_pace(
		    &capacity, i % 2 == 0 ? 1 : 2, i * 100 * DFF_MSEC);
	now = 3900 * DFF_MSEC;
	ck_assert(capacity_pace(&capacity, now) == 2);
	ck_assert_double_lt(
	    capacity_pace(&capacity, now + 400 * DFF_MSEC), 1.7);
	ck_assert_double_lt(
	    fabs(capacity_pace(&capacity, now + DFF_SEC) - 1.5), 0.1);
}
END_TEST

/* What one node measured and was told is known to the other by its frames. */
START_TEST(peers_learn_from_frames)
{
	relay_net_t net = {0};
	dff_relay_event_t head = {.type = DFF_RELAY_HEAD};
	relay_bench_t *one;
	const upstream_t *up;

	relay_net_add(&net, "a", 1, 100);
	relay_net_add(&net, "a", 2, 100);
	relay_net_add_all_peers(&net);
	one = net.nodes[0];
	for (int i = 0; i < 2; i++) {
		relay_bench_load_routing(net.nodes[i], 1);
		relay_bench_load_upstream(
		    net.nodes[i], "p1", "plain", DFF_ROLE_MIXED, "a", 1);
	}
	relay_net_advance(&net, DFF_SEC);
	(void)relay_bench_open(one, "/read/x", 1);
	head.head = (dff_relay_head_t){.send = relay_bench_send(one),
	    .status = 200,
	    .stamped = true,
	    .loaded = true,
	    .pace = 3};
	relay_net_advance(&net, 20 * DFF_MSEC);
	relay_bench_step(one, &head);
	relay_net_advance(&net, 400 * DFF_MSEC);
	up =
	    upstreams_find(net.nodes[1]->relay->upstreams, upstream_hash("p1"));
	ck_assert_double_gt(up->capacity.weight, 0.5);
	ck_assert(up->capacity.pace == 3);
	relay_net_drop(&net);
}
END_TEST

/* The time to a first token is a start and a time for each token. */
START_TEST(start_is_kept_apart_from_reading)
{
	static const uint32_t tokens[] = {500, 8000, 2000, 16000, 1000, 4000};
	upstream_t *up;

	begin(VIEW_LEARNED, false);
	up = nodes[0].ups[0];
	up->record.role = DFF_ROLE_PREFILL;
	for (int i = 0; i < 32; i++) {
		uint32_t count = tokens[i % 6];
		dff_time_t took = 80 * DFF_MSEC + count * DFF_MSEC / 100 +
		    (i % 4 == 0 ? 60 * DFF_MSEC : 0);

		now += 100 * DFF_MSEC;
		pool_stats_add_prefill(
		    &nodes[0].stats, up, 0, count, took, now);
	}
	ck_assert_msg(nodes[0].stats.start_time >= 70 * DFF_MSEC &&
		nodes[0].stats.start_time <= 95 * DFF_MSEC,
	    "start %d us", (int)nodes[0].stats.start_time);
	ck_assert_msg(nodes[0].stats.tokens_per_ms >= 85 &&
		nodes[0].stats.tokens_per_ms <= 115,
	    "%.1f tokens a ms", nodes[0].stats.tokens_per_ms);
	end();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_capacity");
	TCase *tcase = tcase_create("relay_capacity");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 300);
	tcase_add_loop_test(tcase, most_late_answers_are_saved, 0, 2);
	tcase_add_test(tcase, change_is_followed_within_3_s);
	tcase_add_test(tcase, measured_times_overrule_statements);
	tcase_add_test(tcase, slowing_down_before_being_full_is_learned);
	tcase_add_test(tcase, restart_keeps_a_guess);
	tcase_add_test(tcase, equal_upstreams_are_placed_as_before);
	tcase_add_test(tcase, old_statement_falls_back_to_the_mean);
	tcase_add_test(tcase, peers_learn_from_frames);
	tcase_add_test(tcase, start_is_kept_apart_from_reading);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
