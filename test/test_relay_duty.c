/*
 * Duties with one holder: the rules hold in runs with faults, a duty does not
 * rest for long, and it costs few calls to the store.
 */
#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/duty_sim.h"
#include "relay/duty.h"

#define SEEDS 1000
#define TIME  (60 * DFF_SEC)

static void
check_seeds(unsigned faults, bool fence_required, uint32_t seeds)
{
	for (uint32_t seed = 1; seed <= seeds; seed++) {
		duty_sim_result_t result =
		    duty_sim_run(seed, faults, fence_required, TIME);

		ck_assert_msg(result.problem == NULL, "seed %u at %.3f s: %s",
		    seed, (double)result.at / DFF_SEC, result.problem);
		ck_assert_msg(result.calls > 0, "seed %u: no call", seed);
		ck_assert_msg(result.rest_at_end < 12 * DFF_SEC,
		    "seed %u: no call for %.3f s at the end", seed,
		    (double)result.rest_at_end / DFF_SEC);
	}
}

START_TEST(one_node_holds_a_duty_without_fence)
{
	check_seeds(DUTY_SIM_ALL, false, SEEDS);
}
END_TEST

START_TEST(one_node_holds_a_duty_with_fence)
{
	check_seeds(DUTY_SIM_ALL, true, SEEDS / 4);
}
END_TEST

START_TEST(one_node_holds_a_duty_while_nodes_fail)
{
	check_seeds(DUTY_SIM_NODES | DUTY_SIM_CUTS, false, SEEDS / 4);
}
END_TEST

START_TEST(one_node_holds_a_duty_while_the_store_fails)
{
	check_seeds(DUTY_SIM_STORE | DUTY_SIM_RETURNS, false, SEEDS / 4);
}
END_TEST

START_TEST(holder_stays_on_a_quiet_day_and_costs_few_calls)
{
	duty_sim_result_t result = duty_sim_run(1, DUTY_SIM_QUIET, false, TIME);

	ck_assert_ptr_null(result.problem);
	ck_assert_uint_eq(result.holders, 1);
	ck_assert_uint_le(result.store_calls, 50);
}
END_TEST

static dff_time_t
longest_takeover(bool fence_required, bool stop)
{
	dff_time_t longest = 0;

	for (uint32_t seed = 1; seed <= 100; seed++)
		longest = MAX(
		    longest, duty_sim_kill_holder(seed, fence_required, stop));
	return longest;
}

START_TEST(successor_of_a_killed_holder_acts_soon)
{
	dff_time_t unfenced = longest_takeover(false, false);
	dff_time_t fenced = longest_takeover(true, false);

	ck_assert_int_le(unfenced, 8500 * DFF_MSEC);
	ck_assert_int_le(fenced, 6000 * DFF_MSEC);
}
END_TEST

START_TEST(successor_of_a_stopped_holder_acts_at_once)
{
	ck_assert_int_le(longest_takeover(false, true), 4500 * DFF_MSEC);
}
END_TEST

/* ---- one node ---- */

#define LEASE (4 * DFF_SEC)
#define LATE  (2500 * DFF_MSEC)

static dff_ctx_t *ctx;
static duties_t *duties;
static const duty_view_t view = {.is_candidate = true};

/* A node that was started at 0. */
static void
start(bool fence_required)
{
	dff_duty_config_t config = {.count = 1,
	    .lease_time = 3 * DFF_SEC,
	    .fence_required = fence_required};

	ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	duties = duties_new();
	g_strlcpy(config.names[0], "a", DFF_NAME_MAX);
	duties_set_config(duties, "node", 7, &config, 0);
}

static void
end(void)
{
	duties_drop(duties);
	dff_ctx_drop(ctx);
}

/* Advances @now to the next call to the store. */
static dff_duty_request_t
wait_call(dff_time_t *now)
{
	dff_duty_request_t request;

	for (int i = 0; i < 10000; i++) {
		if (duties_next(ctx, duties, &view, *now, &request))
			return request;
		*now += 10 * DFF_MSEC;
	}
	ck_abort_msg("no call to the store");
}

/* The node reads an empty log, whose answer takes @delay, and asks for a claim.
 */
static dff_duty_request_t
wait_claim(dff_time_t *now, dff_time_t delay)
{
	dff_duty_request_t request = wait_call(now);
	const dff_duty_read_t read = {.answered = true, .end = 5};

	ck_assert(!request.append);
	*now += delay;
	duties_apply_read(ctx, duties, &read, *now);
	request = wait_call(now);
	ck_assert(request.append);
	ck_assert_uint_eq(request.position, 5);
	ck_assert_int_eq(request.record.kind, DFF_DUTY_CLAIM);
	return request;
}

static void
accept_at(uint64_t position, dff_time_t now)
{
	const dff_duty_appended_t appended = {DFF_DUTY_ACCEPTED, position};

	duties_apply_append(ctx, duties, &appended, now);
}

START_TEST(lease_counts_from_the_question)
{
	dff_time_t now = 0;
	dff_time_t asked_at;

	start(false);
	(void)wait_claim(&now, 0);
	asked_at = now;
	accept_at(5, now + 600 * DFF_MSEC);
	ck_assert_uint_eq(duty_token(duties, "a", now + DFF_SEC), 6);
	ck_assert_uint_eq(duty_token(duties, "b", now + DFF_SEC), 0);
	now = asked_at + 1900 * DFF_MSEC;
	ck_assert_int_eq(wait_call(&now).record.kind, DFF_DUTY_RENEW);
	ck_assert_int_eq(now, asked_at + LEASE / 2);
	asked_at = now;
	accept_at(6, now + 600 * DFF_MSEC);
	ck_assert_uint_eq(
	    duty_token(duties, "a", asked_at + LEASE - DUTY_CALL_TIME - 1), 6);
	ck_assert_uint_eq(
	    duty_token(duties, "a", asked_at + LEASE - DUTY_CALL_TIME), 0);
	end();
}
END_TEST

START_TEST(answer_after_a_freeze_gives_no_token)
{
	dff_time_t now = 0;

	start(false);
	(void)wait_claim(&now, 0);
	now += 10 * DFF_SEC;
	accept_at(5, now);
	ck_assert_uint_eq(duty_token(duties, "a", now), 0);
	end();
}
END_TEST

START_TEST(claim_waits_from_the_answer_to_the_read)
{
	dff_time_t now = 0;
	dff_time_t asked_at;

	start(true);
	asked_at = now = 10 * DFF_SEC;
	(void)wait_claim(&now, 600 * DFF_MSEC);
	ck_assert_int_ge(now, asked_at + 600 * DFF_MSEC + LEASE);
	end();
}
END_TEST

START_TEST(claim_waits_for_late_calls_where_no_fence_is_checked)
{
	dff_time_t now = 10 * DFF_SEC;

	start(false);
	(void)wait_claim(&now, 0);
	ck_assert_int_ge(now, 10 * DFF_SEC + LEASE + LATE);
	end();
}
END_TEST

/* A log that has never had a record says that nobody has acted; an empty one of
 * a store that came back as an older copy does not. */
START_TEST(first_holder_waits_for_nobody)
{
	const uint64_t second_era = UINT64_C(1) << DFF_POSITION_OFFSET_BITS;
	dff_duty_read_t read = {.answered = true, .end = 0};
	dff_duty_request_t request;
	dff_time_t now = 0;

	start(false);
	(void)wait_call(&now);
	duties_apply_read(ctx, duties, &read, now);
	request = wait_call(&now);
	ck_assert(request.append);
	ck_assert_uint_eq(request.position, 0);
	ck_assert_int_lt(now, 2 * DFF_SEC);
	accept_at(0, now);
	ck_assert_uint_eq(duty_token(duties, "a", now), 1);
	end();

	now = 0;
	read.end = second_era;
	start(false);
	(void)wait_call(&now);
	duties_apply_read(ctx, duties, &read, now);
	request = wait_call(&now);
	ck_assert(request.append);
	ck_assert_uint_eq(request.position, second_era);
	ck_assert_int_ge(now, LEASE + LATE);
	end();
}
END_TEST

START_TEST(node_that_lost_a_duty_does_not_claim_it_soon)
{
	dff_duty_record_t records[2] = {
	    {.kind = DFF_DUTY_CLAIM, .node = "other", .position = 6},
	    {.kind = DFF_DUTY_RELEASE,
		.node = "other",
		.token = 7,
		.position = 7}};
	const dff_duty_read_t read = {true, 8, records, 2};
	const dff_duty_appended_t rejected = {.result = DFF_DUTY_REJECTED};
	dff_time_t now = 0;
	dff_time_t acted_at;

	start(true);
	(void)wait_claim(&now, 0);
	accept_at(5, now);
	now += LEASE / 2;
	ck_assert_uint_eq(duty_token(duties, "a", now), 6);
	acted_at = now;
	(void)wait_call(&now);
	duties_apply_append(ctx, duties, &rejected, now);
	(void)wait_call(&now);
	duties_apply_read(ctx, duties, &read, now);
	ck_assert_uint_eq(duty_token(duties, "a", now), 0);
	ck_assert_int_eq(wait_call(&now).record.kind, DFF_DUTY_CLAIM);
	ck_assert_int_ge(now - acted_at, 3 * DFF_SEC);
	end();
}
END_TEST

START_TEST(release_names_the_time_of_late_calls)
{
	dff_time_t now = 0;
	dff_duty_request_t request;

	start(false);
	(void)wait_claim(&now, 0);
	accept_at(5, now);
	duties_note_call(duties, false, now);
	duties_stop(duties, now);
	ck_assert_uint_eq(duty_token(duties, "a", now), 0);
	now += 100 * DFF_MSEC;
	request = wait_call(&now);
	ck_assert_int_eq(request.record.kind, DFF_DUTY_RELEASE);
	ck_assert_uint_eq(request.record.token, 6);
	ck_assert_int_eq(request.record.quiet, LATE - 100 * DFF_MSEC);
	end();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_duty");
	TCase *tcase = tcase_create("relay_duty");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, one_node_holds_a_duty_without_fence);
	tcase_add_test(tcase, one_node_holds_a_duty_with_fence);
	tcase_add_test(tcase, one_node_holds_a_duty_while_nodes_fail);
	tcase_add_test(tcase, one_node_holds_a_duty_while_the_store_fails);
	tcase_add_test(tcase, holder_stays_on_a_quiet_day_and_costs_few_calls);
	tcase_add_test(tcase, successor_of_a_killed_holder_acts_soon);
	tcase_add_test(tcase, successor_of_a_stopped_holder_acts_at_once);
	tcase_add_test(tcase, lease_counts_from_the_question);
	tcase_add_test(tcase, answer_after_a_freeze_gives_no_token);
	tcase_add_test(tcase, claim_waits_from_the_answer_to_the_read);
	tcase_add_test(
	    tcase, claim_waits_for_late_calls_where_no_fence_is_checked);
	tcase_add_test(tcase, first_holder_waits_for_nobody);
	tcase_add_test(tcase, node_that_lost_a_duty_does_not_claim_it_soon);
	tcase_add_test(tcase, release_names_the_time_of_late_calls);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
