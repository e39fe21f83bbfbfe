#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/claim.h"

#include "claim/store.h"

#define BATCH_DELAY	 (20 * DFF_MSEC)
#define DECISION_TIMEOUT (2 * DFF_SEC)
#define KEY_RETENTION_MS 60000

/* A node under test; @fx collects its appends, which the test delivers. */
typedef struct node {
	dff_ctx_t *ctx;
	dff_timers_t *timers;
	dff_claims_t *claims;
	dff_effects_t *fx;
} node_t;

static void
node_open(node_t *node, const char *name, uint64_t incarnation)
{
	dff_claims_config_t config = {
	    .incarnation = incarnation,
	    .batch_delay = BATCH_DELAY,
	    .batch_max = 8,
	    .decision_timeout = DECISION_TIMEOUT,
	    .key_retention_ms = KEY_RETENTION_MS,
	};

	(void)dff_name_copy(config.node, name);
	node->ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	node->timers = dff_timers_new();
	node->fx = dff_effects_new();
	node->claims = dff_claims_new(node->ctx, &config, node->timers);
}

static void
node_close(node_t *node)
{
	dff_claims_drop(node->claims);
	dff_effects_drop(node->fx);
	dff_timers_drop(node->timers);
	dff_ctx_drop(node->ctx);
}

static dff_claim_state_t
begin(node_t *node, dff_key_t key, uint64_t body, uint64_t call, dff_time_t now)
{
	dff_claim_answer_t answer;

	return dff_claims_begin(node->ctx, node->claims, key, body, call, true,
	    now, node->fx, &answer);
}

static void
run_timers(node_t *node, dff_time_t now)
{
	dff_timer_t due;

	while (dff_timers_pop(node->timers, now, &due))
		dff_claims_timer_due(
		    node->ctx, node->claims, &due, now, node->fx);
}

static int
apply(node_t *node, uint64_t offset, const dff_fx_log_append_t *append,
    uint64_t time_ms, dff_time_t now)
{
	return dff_claims_apply(node->ctx, node->claims, offset, append->data,
	    append->len, time_ms, now, node->fx);
}

static const dff_fx_log_append_t *
append_at(const node_t *node, size_t i)
{
	ck_assert_uint_lt(i, dff_effects_count(node->fx));
	ck_assert_int_eq(dff_effects_at(node->fx, i)->type, DFF_FX_LOG_APPEND);
	return &dff_effects_at(node->fx, i)->u.log_append;
}

static dff_claim_state_t
next_verdict(node_t *node, uint64_t call)
{
	dff_claim_verdict_t got;

	if (!dff_claims_next_verdict(node->claims, &got))
		return DFF_CLAIM_WAIT;
	ck_assert_uint_eq(got.call, call);
	return got.state;
}

static void
complete_append(node_t *node, uint64_t id, dff_append_t outcome, dff_time_t now)
{
	dff_ev_log_appended_t ev = {.id = id, .outcome = outcome};

	dff_claims_appended(node->ctx, node->claims, &ev, now, node->fx);
}

START_TEST(first_claim_in_offset_order_wins)
{
	dff_key_t key = dff_key_make("keelwater", "transfer", "k1");
	node_t a, b;

	node_open(&a, "a", 1);
	node_open(&b, "b", 1);
	ck_assert_int_eq(begin(&a, key, 7, 1, 0), DFF_CLAIM_WAIT);
	ck_assert_int_eq(begin(&b, key, 7, 2, 0), DFF_CLAIM_WAIT);
	run_timers(&a, BATCH_DELAY);
	run_timers(&b, BATCH_DELAY);
	/* b's append is first in the log. */
	apply(&a, 1, append_at(&b, 0), 1000, 2 * BATCH_DELAY);
	ck_assert_int_eq(next_verdict(&a, 1), DFF_CLAIM_RUNNING);
	apply(&b, 1, append_at(&b, 0), 1000, 2 * BATCH_DELAY);
	ck_assert_int_eq(next_verdict(&b, 2), DFF_CLAIM_WON);
	apply(&a, 2, append_at(&a, 0), 1000, 2 * BATCH_DELAY);
	apply(&b, 2, append_at(&a, 0), 1000, 2 * BATCH_DELAY);
	ck_assert_int_eq(next_verdict(&a, 1), DFF_CLAIM_WAIT);
	ck_assert_int_eq(next_verdict(&b, 2), DFF_CLAIM_WAIT);
	node_close(&a);
	node_close(&b);
}
END_TEST

START_TEST(second_call_at_same_node_is_running)
{
	dff_key_t key = dff_key_make("keelwater", "transfer", "k1");
	node_t a;

	node_open(&a, "a", 1);
	ck_assert_int_eq(begin(&a, key, 7, 1, 0), DFF_CLAIM_WAIT);
	ck_assert_int_eq(begin(&a, key, 7, 2, 1), DFF_CLAIM_RUNNING);
	ck_assert_int_eq(begin(&a, key, 8, 3, 1), DFF_CLAIM_MISMATCH);
	node_close(&a);
}
END_TEST

START_TEST(claims_within_batch_delay_share_one_append)
{
	node_t a;

	node_open(&a, "a", 1);
	for (uint64_t i = 0; i < 8; i++) {
		dff_key_t key = {i, i};

		ck_assert_uint_eq(dff_effects_count(a.fx), 0);
		ck_assert_int_eq(begin(&a, key, 7, i, 0), DFF_CLAIM_WAIT);
	}
	/* A full batch is appended at once. */
	ck_assert_uint_eq(dff_effects_count(a.fx), 1);
	run_timers(&a, BATCH_DELAY);
	ck_assert_uint_eq(dff_effects_count(a.fx), 1);
	node_close(&a);
}
END_TEST

/* Call 1 at node @a wins its claim, at offset 1. */
static void
win_claim(node_t *a, dff_key_t key)
{
	ck_assert_int_eq(begin(a, key, 7, 1, 0), DFF_CLAIM_WAIT);
	run_timers(a, BATCH_DELAY);
	apply(a, 1, append_at(a, 0), 1000, BATCH_DELAY);
	ck_assert_int_eq(next_verdict(a, 1), DFF_CLAIM_WON);
}

START_TEST(recorded_answer_is_replayed)
{
	dff_key_t key = dff_key_make("balik", "payout", "k1");
	dff_claim_answer_t answer = {
	    200, "text/plain", (const uint8_t *)"paid", 4};
	dff_claim_answer_t replayed;
	node_t a, b;

	node_open(&a, "a", 1);
	node_open(&b, "b", 1);
	win_claim(&a, key);
	apply(&b, 1, append_at(&a, 0), 1000, BATCH_DELAY);
	dff_claims_finish(a.ctx, a.claims, key, DFF_CLAIM_REPLAYED, &answer,
	    2 * BATCH_DELAY, a.fx);
	run_timers(&a, 30 * BATCH_DELAY);
	ck_assert_uint_eq(dff_claims_open_count(a.claims), 3);
	apply(&b, 2, append_at(&a, 1), 1000, 30 * BATCH_DELAY);
	apply(&a, 2, append_at(&a, 1), 1000, 30 * BATCH_DELAY);
	complete_append(
	    &a, append_at(&a, 0)->id, DFF_APPEND_DONE, 30 * BATCH_DELAY);
	complete_append(
	    &a, append_at(&a, 1)->id, DFF_APPEND_DONE, 30 * BATCH_DELAY);
	ck_assert_uint_eq(dff_claims_open_count(a.claims), 0);
	ck_assert_int_eq(dff_claims_begin(b.ctx, b.claims, key, 7, 9, false,
			     31 * BATCH_DELAY, b.fx, &replayed),
	    DFF_CLAIM_REPLAYED);
	ck_assert_int_eq(replayed.status, 200);
	ck_assert_str_eq(replayed.content_type, "text/plain");
	ck_assert_mem_eq(replayed.body, "paid", 4);
	ck_assert_int_eq(
	    begin(&b, key, 8, 10, 31 * BATCH_DELAY), DFF_CLAIM_MISMATCH);
	node_close(&a);
	node_close(&b);
}
END_TEST

START_TEST(large_answer_is_not_stored)
{
	static uint8_t body[DFF_CLAIM_BODY_MAX + 1];
	dff_key_t key = {1, 2};
	dff_claim_answer_t answer = {200, "text/plain", body, sizeof(body)};
	dff_claim_answer_t replayed;
	node_t a;

	node_open(&a, "a", 1);
	win_claim(&a, key);
	dff_claims_finish(a.ctx, a.claims, key, DFF_CLAIM_REPLAYED, &answer,
	    2 * BATCH_DELAY, a.fx);
	run_timers(&a, 30 * BATCH_DELAY);
	apply(&a, 2, append_at(&a, 1), 1000, 30 * BATCH_DELAY);
	ck_assert_int_eq(dff_claims_begin(a.ctx, a.claims, key, 7, 9, true,
			     31 * BATCH_DELAY, a.fx, &replayed),
	    DFF_CLAIM_REPLAYED);
	ck_assert_int_eq(replayed.status, DFF_CLAIM_NOT_KEPT_STATUS);
	ck_assert_ptr_nonnull(
	    strstr((const char *)replayed.body, "answer_not_kept"));
	node_close(&a);
}
END_TEST

START_TEST(late_claim_is_released)
{
	dff_key_t key = {1, 2};
	node_t a;

	node_open(&a, "a", 1);
	ck_assert_int_eq(begin(&a, key, 7, 1, 0), DFF_CLAIM_WAIT);
	run_timers(&a, BATCH_DELAY);
	complete_append(
	    &a, append_at(&a, 0)->id, DFF_APPEND_UNKNOWN, DECISION_TIMEOUT / 2);
	ck_assert_int_eq(next_verdict(&a, 1), DFF_CLAIM_WAIT);
	for (dff_time_t now = 0; now <= 2 * DECISION_TIMEOUT;
	     now += BATCH_DELAY)
		run_timers(&a, now);
	ck_assert_int_eq(next_verdict(&a, 1), DFF_CLAIM_NOT_EXECUTED);
	ck_assert_uint_eq(dff_effects_count(a.fx), 1);
	/* The append takes effect after the timeout. */
	apply(&a, 1, append_at(&a, 0), 1000, 3 * DECISION_TIMEOUT);
	ck_assert_int_eq(next_verdict(&a, 1), DFF_CLAIM_WAIT);
	run_timers(&a, 3 * DECISION_TIMEOUT + BATCH_DELAY);
	apply(
	    &a, 2, append_at(&a, 1), 1000, 3 * DECISION_TIMEOUT + BATCH_DELAY);
	ck_assert_int_eq(
	    begin(&a, key, 7, 2, 4 * DECISION_TIMEOUT), DFF_CLAIM_WAIT);
	node_close(&a);
}
END_TEST

START_TEST(abandoned_claim_is_released)
{
	dff_key_t key = {1, 2};
	node_t a;

	node_open(&a, "a", 1);
	ck_assert_int_eq(begin(&a, key, 7, 1, 0), DFF_CLAIM_WAIT);
	run_timers(&a, BATCH_DELAY);
	dff_claims_abandon(a.ctx, a.claims, 1);
	apply(&a, 1, append_at(&a, 0), 1000, 2 * BATCH_DELAY);
	ck_assert_int_eq(next_verdict(&a, 1), DFF_CLAIM_WAIT);
	run_timers(&a, 8 * BATCH_DELAY);
	apply(&a, 2, append_at(&a, 1), 1000, 8 * BATCH_DELAY);
	ck_assert_int_eq(begin(&a, key, 7, 2, 9 * BATCH_DELAY), DFF_CLAIM_WAIT);
	/* An abandoned claim still in the queue is never appended. */
	dff_claims_abandon(a.ctx, a.claims, 2);
	run_timers(&a, 30 * BATCH_DELAY);
	ck_assert_uint_eq(dff_effects_count(a.fx), 2);
	node_close(&a);
}
END_TEST

START_TEST(won_claim_abandoned_before_verdict_is_released)
{
	dff_key_t key = {1, 2};
	node_t a;

	node_open(&a, "a", 1);
	ck_assert_int_eq(begin(&a, key, 7, 1, 0), DFF_CLAIM_WAIT);
	run_timers(&a, BATCH_DELAY);
	apply(&a, 1, append_at(&a, 0), 1000, 2 * BATCH_DELAY);
	dff_claims_abandon(a.ctx, a.claims, 1);
	ck_assert_int_eq(next_verdict(&a, 1), DFF_CLAIM_WAIT);
	run_timers(&a, 8 * BATCH_DELAY);
	ck_assert_uint_eq(dff_effects_count(a.fx), 2);
	node_close(&a);
}
END_TEST

START_TEST(call_is_not_executed_while_log_is_down)
{
	dff_key_t key = {1, 2};
	dff_claim_answer_t answer;
	node_t a;

	node_open(&a, "a", 1);
	ck_assert_int_eq(dff_claims_begin(a.ctx, a.claims, key, 7, 1, false, 0,
			     a.fx, &answer),
	    DFF_CLAIM_NOT_EXECUTED);
	run_timers(&a, DECISION_TIMEOUT);
	ck_assert_uint_eq(dff_effects_count(a.fx), 0);
	node_close(&a);
}
END_TEST

START_TEST(refused_append_is_retried_until_timeout)
{
	dff_key_t key = {1, 2};
	size_t appends = 0;
	node_t a;

	node_open(&a, "a", 1);
	ck_assert_int_eq(begin(&a, key, 7, 1, 0), DFF_CLAIM_WAIT);
	for (dff_time_t now = 0; now <= 2 * DECISION_TIMEOUT;
	     now += BATCH_DELAY) {
		run_timers(&a, now);
		while (appends < dff_effects_count(a.fx)) {
			complete_append(&a, append_at(&a, appends)->id,
			    DFF_APPEND_REFUSED, now);
			appends++;
		}
	}
	ck_assert_uint_gt(appends, 1);
	ck_assert_int_eq(next_verdict(&a, 1), DFF_CLAIM_NOT_EXECUTED);
	ck_assert_uint_eq(dff_claims_open_count(a.claims), 0);
	node_close(&a);
}
END_TEST

START_TEST(claim_of_ended_holder_is_unknown)
{
	dff_key_t key = {1, 2};
	node_t a, b, c;

	node_open(&a, "a", 1);
	node_open(&b, "b", 1);
	node_open(&c, "a", 2);
	win_claim(&a, key);
	apply(&b, 1, append_at(&a, 0), 1000, BATCH_DELAY);
	apply(&c, 1, append_at(&a, 0), 1000, BATCH_DELAY);
	ck_assert_int_eq(begin(&b, key, 7, 2, BATCH_DELAY), DFF_CLAIM_RUNNING);
	dff_claims_holder_ended(b.ctx, b.claims, "a", 1);
	ck_assert_int_eq(begin(&b, key, 7, 2, BATCH_DELAY), DFF_CLAIM_UNKNOWN);
	/* The holder's next process reports unknown as well. */
	dff_claims_holder_ended(c.ctx, c.claims, "a", 1);
	ck_assert_int_eq(begin(&c, key, 7, 2, BATCH_DELAY), DFF_CLAIM_UNKNOWN);
	node_close(&a);
	node_close(&b);
	node_close(&c);
}
END_TEST

START_TEST(only_the_holder_can_release)
{
	dff_key_t key = {1, 2};
	node_t a, b, c;

	node_open(&a, "a", 1);
	node_open(&b, "a", 2);
	node_open(&c, "c", 1);
	win_claim(&a, key);
	win_claim(&b, key);
	apply(&c, 1, append_at(&a, 0), 1000, BATCH_DELAY);
	/* b, a later process of the same node, releases the claim. */
	dff_claims_finish(b.ctx, b.claims, key, DFF_CLAIM_NOT_EXECUTED, NULL,
	    2 * BATCH_DELAY, b.fx);
	run_timers(&b, 9 * BATCH_DELAY);
	apply(&c, 2, append_at(&b, 1), 1000, 9 * BATCH_DELAY);
	ck_assert_int_ne(begin(&c, key, 7, 2, BATCH_DELAY), DFF_CLAIM_WAIT);
	dff_claims_finish(a.ctx, a.claims, key, DFF_CLAIM_NOT_EXECUTED, NULL,
	    2 * BATCH_DELAY, a.fx);
	run_timers(&a, 9 * BATCH_DELAY);
	apply(&c, 3, append_at(&a, 1), 1000, 9 * BATCH_DELAY);
	ck_assert_int_eq(begin(&c, key, 7, 2, BATCH_DELAY), DFF_CLAIM_WAIT);
	node_close(&a);
	node_close(&b);
	node_close(&c);
}
END_TEST

START_TEST(keys_expire_by_platform_clock)
{
	dff_key_t key = {1, 2};
	dff_key_t other = {3, 4};
	node_t a, b;

	node_open(&a, "a", 1);
	node_open(&b, "b", 1);
	win_claim(&a, key);
	ck_assert_int_eq(begin(&b, other, 7, 2, 0), DFF_CLAIM_WAIT);
	run_timers(&b, BATCH_DELAY);
	apply(&a, 2, append_at(&b, 0), 1000 + KEY_RETENTION_MS, BATCH_DELAY);
	ck_assert_int_ne(begin(&a, key, 7, 3, BATCH_DELAY), DFF_CLAIM_WAIT);
	apply(&a, 3, append_at(&b, 0), 1001 + KEY_RETENTION_MS, BATCH_DELAY);
	/* A clock that goes back neither expires nor restores keys. */
	apply(&a, 4, append_at(&b, 0), 5, BATCH_DELAY);
	apply(&b, 1, append_at(&a, 0), 1000, BATCH_DELAY);
	apply(&b, 2, append_at(&b, 0), 1001 + KEY_RETENTION_MS, BATCH_DELAY);
	ck_assert_int_eq(begin(&b, key, 7, 3, BATCH_DELAY), DFF_CLAIM_WAIT);
	node_close(&a);
	node_close(&b);
}
END_TEST

START_TEST(snapshot_restores_same_state)
{
	dff_claim_answer_t answer = {
	    200, "text/plain", (const uint8_t *)"x", 1};
	dff_key_t key = {1, 2};
	uint8_t *data;
	uint8_t *replayed;
	node_t a, b;
	int len;

	node_open(&a, "a", 1);
	node_open(&b, "a", 1);
	ck_assert_int_eq(dff_claims_save(a.ctx, a.claims, &data), -ENODATA);
	win_claim(&a, key);
	dff_claims_finish(a.ctx, a.claims, key, DFF_CLAIM_REPLAYED, &answer,
	    2 * BATCH_DELAY, a.fx);
	run_timers(&a, 30 * BATCH_DELAY);
	apply(&a, 2, append_at(&a, 1), 1000, 30 * BATCH_DELAY);
	len = dff_claims_save(a.ctx, a.claims, &data);
	ck_assert_int_gt(len, 0);
	ck_assert_int_eq(
	    dff_claims_load(b.ctx, b.claims, data, (size_t)len, 4), -ERANGE);
	ck_assert_int_eq(
	    dff_claims_load(b.ctx, b.claims, data, (size_t)len, 3), 0);
	ck_assert_int_eq(
	    dff_claims_load(b.ctx, b.claims, data, (size_t)len, 3), -EALREADY);
	ck_assert_uint_eq(dff_claims_applied(b.claims), 2);
	ck_assert_int_eq(dff_claims_save(b.ctx, b.claims, &replayed), len);
	ck_assert_mem_eq(data, replayed, (size_t)len);
	free(replayed);
	ck_assert_int_eq(
	    begin(&b, key, 7, 2, 20 * BATCH_DELAY), DFF_CLAIM_REPLAYED);
	node_close(&b);
	node_open(&b, "b", 1);
	data[len - 3] ^= 1;
	ck_assert_int_eq(
	    dff_claims_load(b.ctx, b.claims, data, (size_t)len, 3), -EINVAL);
	free(data);
	node_close(&a);
	node_close(&b);
}
END_TEST

START_TEST(bad_records_only_advance_the_offset)
{
	static const uint8_t garbage[] = {0xff, 0xff, 0xff, 0x01};
	dff_fx_log_append_t append = {.data = garbage, .len = sizeof(garbage)};
	node_t a;

	node_open(&a, "a", 1);
	ck_assert_int_eq(apply(&a, 1, &append, 1, 0), -EINVAL);
	ck_assert_uint_eq(dff_claims_applied(a.claims), 1);
	ck_assert_int_eq(apply(&a, 1, &append, 1, 0), -EALREADY);
	ck_assert_int_eq(apply(&a, 3, &append, 1, 0), -ERANGE);
	ck_assert_uint_eq(dff_claims_applied(a.claims), 1);
	node_close(&a);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("claim");
	TCase *tcase = tcase_create("claim");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, first_claim_in_offset_order_wins);
	tcase_add_test(tcase, second_call_at_same_node_is_running);
	tcase_add_test(tcase, claims_within_batch_delay_share_one_append);
	tcase_add_test(tcase, recorded_answer_is_replayed);
	tcase_add_test(tcase, large_answer_is_not_stored);
	tcase_add_test(tcase, late_claim_is_released);
	tcase_add_test(tcase, abandoned_claim_is_released);
	tcase_add_test(tcase, won_claim_abandoned_before_verdict_is_released);
	tcase_add_test(tcase, call_is_not_executed_while_log_is_down);
	tcase_add_test(tcase, refused_append_is_retried_until_timeout);
	tcase_add_test(tcase, claim_of_ended_holder_is_unknown);
	tcase_add_test(tcase, only_the_holder_can_release);
	tcase_add_test(tcase, keys_expire_by_platform_clock);
	tcase_add_test(tcase, snapshot_restores_same_state);
	tcase_add_test(tcase, bad_records_only_advance_the_offset);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
