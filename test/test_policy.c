#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/policy.h"

/*
 * Two owners, each with one entry in a pool of engines, of which one owner has
 * limits, and a plain service.
 */
static const char catalogue_text[] =
    "[dragonflyfall]\n"
    "format=1\n"
    "[owner one]\n"
    "secret_sha256="
    "a906446263f86c8b71d003099a537d9a50b6ba335ca5f136d460ae8cd9da7ff7\n"
    "weight=1\n"
    "[owner two]\n"
    "secret_sha256="
    "cfc4224853950e0c65738b75d9e9fde3458914db71c1aa19dcad30d313fe35af\n"
    "weight=1\n"
    "max_running=6\n"
    "rate_per_s=100\n"
    "[class fast]\n"
    "first_token_ms=1000\n"
    "token_gap_ms=200\n"
    "whole_ms=10000\n"
    "priority=0\n"
    "[pool engines]\n"
    "kind=engine\n"
    "model=m\n"
    "version=1\n"
    "fencing=checked\n"
    "roles=any\n"
    "role_change_price=15\n"
    "role_change_away_ms=6000\n"
    "[pool plain]\n"
    "kind=service\n"
    "[entry ask]\n"
    "owner=one\n"
    "class=fast\n"
    "pool=engines\n"
    "max_prompt_tokens=30000\n"
    "max_output_tokens=100\n"
    "[entry other]\n"
    "owner=two\n"
    "class=fast\n"
    "pool=engines\n"
    "max_prompt_tokens=30000\n"
    "max_output_tokens=100\n"
    "[entry stock]\n"
    "owner=one\n"
    "class=fast\n"
    "pool=plain\n"
    "path=/stock\n";

#define ENTRY_ASK   0
#define ENTRY_OTHER 1
#define ENTRY_STOCK 2

#define T0 (100 * DFF_SEC)

typedef struct fixture {
	dff_ctx_t *ctx;
	dff_policy_t *policy;
	dff_catalogue_t *cat;
	dff_vm_t vms[8];
	size_t count;
	uint64_t next;
} fixture_t;

static dff_catalogue_t *
catalogue_of(dff_ctx_t *ctx, const char *text)
{
	dff_problem_t problems[4];
	dff_catalogue_t *cat;
	size_t count;
	int err;

	err = dff_catalogue_load(
	    ctx, text, strlen(text), problems, 4, &count, &cat);
	if (err != 0)
		ck_abort_msg("line %u %s: %s", problems[0].line,
		    problems[0].key, problems[0].text);
	return cat;
}

static void
add_vm(fixture_t *f, const char *id, const char *pool, dff_vm_kind_t kind)
{
	dff_vm_t *vm = &f->vms[f->count++];

	memset(vm, 0, sizeof(*vm));
	(void)dff_name_copy(vm->id, id);
	(void)snprintf(vm->addr, sizeof(vm->addr), "127.0.0.1:%zu", f->count);
	(void)dff_name_copy(vm->domain, "north");
	(void)dff_name_copy(vm->pool, pool);
	vm->kind = kind;
	vm->incarnation = 1;
}

static void
report(fixture_t *f, const char *vm, uint32_t running, uint64_t backlog,
    dff_time_t taken, dff_time_t now)
{
	dff_ev_engine_report_t ev = {0};

	ev.vm = vm;
	ev.incarnation = 1;
	ev.sampled_at = taken;
	ev.role = DFF_ROLE_MIXED;
	ev.model = "m";
	ev.version = 1;
	ev.running = running;
	ev.backlog_tokens = backlog;
	ev.free_pieces = 1000;
	ev.total_pieces = 1000;
	ev.token_us = 12000 + 400.0 * running;
	ev.prefill_us = 60;
	dff_policy_apply_report(f->ctx, f->policy, &ev, now);
}

static void
set_up(fixture_t *f, dff_policy_kind_t kind, uint32_t features_off)
{
	dff_policy_config_t config = {
	    .kind = kind, .features_off = features_off};

	memset(f, 0, sizeof(*f));
	(void)dff_name_copy(config.domain, "north");
	f->ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	f->cat = catalogue_of(f->ctx, catalogue_text);
	f->policy = dff_policy_new(f->ctx, &config);
	dff_policy_set_catalogue(f->ctx, f->policy, f->cat);
	add_vm(f, "e1", "engines", DFF_VM_ENGINE);
	add_vm(f, "e2", "engines", DFF_VM_ENGINE);
	add_vm(f, "s1", "plain", DFF_VM_SERVICE);
	dff_policy_set_vms(f->ctx, f->policy, f->vms, f->count, T0);
	report(f, "e1", 0, 0, T0, T0);
	report(f, "e2", 0, 0, T0, T0);
}

static void
tear_down(fixture_t *f)
{
	dff_policy_drop(f->policy);
	dff_catalogue_drop(f->cat);
	dff_ctx_drop(f->ctx);
}

static dff_policy_call_t
call_of(fixture_t *f, uint32_t entry, uint32_t prompt, dff_time_t now)
{
	dff_policy_call_t call = {0};

	call.handle = ++f->next;
	call.entry = entry;
	call.arrived_at = now;
	call.prompt_tokens = prompt;
	call.max_tokens = 20;
	call.body_hash = f->next;
	return call;
}

static dff_decision_t
offer(fixture_t *f, const dff_policy_call_t *call, dff_time_t now)
{
	dff_decision_t decision;

	dff_policy_offer(f->ctx, f->policy, call, now, &decision);
	if (decision.kind == DFF_DECISION_RUN)
		dff_policy_begin_attempt(f->ctx, f->policy, call->handle, call,
		    decision.vm, decision.cached_tokens, now);
	return decision;
}

static dff_decision_t
offer_new(fixture_t *f, uint32_t entry, uint32_t prompt, dff_time_t now)
{
	dff_policy_call_t call = call_of(f, entry, prompt, now);

	return offer(f, &call, now);
}

START_TEST(runs_on_the_least_loaded_upstream)
{
	fixture_t f;
	dff_decision_t decision;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	report(&f, "e1", 4, 3000, T0 + 1, T0 + 1);
	decision = offer_new(&f, ENTRY_ASK, 1000, T0 + 2);
	ck_assert_int_eq(decision.kind, DFF_DECISION_RUN);
	ck_assert_str_eq(decision.vm, "e2");
	ck_assert_str_eq(decision.addr, "127.0.0.1:2");
	ck_assert_int_gt(decision.first_token, 60 * DFF_MSEC);
	ck_assert_ptr_nonnull(strstr(decision.reason, "first_ms="));
	tear_down(&f);
}
END_TEST

START_TEST(own_calls_correct_an_old_report)
{
	fixture_t f;
	dff_decision_t first;
	dff_decision_t second;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	first = offer_new(&f, ENTRY_ASK, 1000, T0 + DFF_MSEC);
	/* A report taken before the call was sent must not cancel its load. */
	report(&f, first.vm, 0, 0, T0 + 1, T0 + 300 * DFF_MSEC);
	second = offer_new(&f, ENTRY_ASK, 1000, T0 + 301 * DFF_MSEC);
	ck_assert_int_eq(second.kind, DFF_DECISION_RUN);
	ck_assert_str_ne(first.vm, second.vm);
	tear_down(&f);
}
END_TEST

START_TEST(peer_load_is_counted)
{
	fixture_t f;
	dff_decision_t decision;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	dff_policy_set_peer_load(
	    f.ctx, f.policy, "n2", "e1", 3, 4000, 60, T0 + 1);
	decision = offer_new(&f, ENTRY_ASK, 1000, T0 + 2);
	ck_assert_str_eq(decision.vm, "e2");
	dff_policy_set_peer_load(
	    f.ctx, f.policy, "n3", "e2", 6, 9000, 60, T0 + 3);
	decision = offer_new(&f, ENTRY_ASK, 1000, T0 + 4);
	ck_assert_str_ne(decision.vm, "e2");
	dff_policy_drop_peer(f.ctx, f.policy, "n3");
	dff_policy_set_peer_load(
	    f.ctx, f.policy, "n2", "e1", 9, 9000, 60, T0 + 5);
	decision = offer_new(&f, ENTRY_ASK, 1000, T0 + 6);
	ck_assert_str_eq(decision.vm, "e2");
	tear_down(&f);
}
END_TEST

START_TEST(leaving_or_drained_upstream_gets_no_calls)
{
	fixture_t f;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	f.vms[0].leaving = true;
	dff_policy_set_vms(f.ctx, f.policy, f.vms, f.count, T0);
	for (int i = 0; i < 4; i++)
		ck_assert_str_eq(
		    offer_new(&f, ENTRY_ASK, 100, T0 + i).vm, "e2");
	dff_policy_set_drain(f.ctx, f.policy, "e2", true);
	ck_assert_int_eq(
	    offer_new(&f, ENTRY_ASK, 100, T0 + 9).kind, DFF_DECISION_REFUSE);
	dff_policy_set_drain(f.ctx, f.policy, "e2", false);
	ck_assert_int_eq(
	    offer_new(&f, ENTRY_ASK, 100, T0 + 10).kind, DFF_DECISION_RUN);
	tear_down(&f);
}
END_TEST

START_TEST(waiting_call_runs_once_an_upstream_has_room)
{
	fixture_t f;
	dff_policy_call_t call;
	dff_decision_t decision;
	dff_ev_attempt_end_t usage = {0};

	set_up(&f, DFF_POLICY_PREDICT, 0);
	dff_policy_set_drain(f.ctx, f.policy, "e2", true);
	call = call_of(&f, ENTRY_ASK, 6000, T0 + 1);
	ck_assert_int_eq(offer(&f, &call, T0 + 1).kind, DFF_DECISION_RUN);
	decision = offer_new(&f, ENTRY_ASK, 100, T0 + 2);
	ck_assert_int_eq(decision.kind, DFF_DECISION_WAIT);
	ck_assert(!dff_policy_decide_next(f.ctx, f.policy, T0 + 3, &decision));
	ck_assert_int_lt(
	    dff_policy_next_check(f.policy, T0 + 3), DFF_TIME_NEVER);
	dff_policy_add_tokens(f.ctx, f.policy, call.handle, 1, T0 + 4);
	usage.output_tokens = 1;
	dff_policy_end_attempt(
	    f.ctx, f.policy, call.handle, DFF_ATTEMPT_DONE, &usage, T0 + 5);
	ck_assert(dff_policy_decide_next(f.ctx, f.policy, T0 + 6, &decision));
	ck_assert_int_eq(decision.kind, DFF_DECISION_RUN);
	ck_assert_uint_eq(decision.call, 2);
	ck_assert(!dff_policy_decide_next(f.ctx, f.policy, T0 + 7, &decision));
	ck_assert_int_eq(
	    dff_policy_next_check(f.policy, T0 + 7), DFF_TIME_NEVER);
	tear_down(&f);
}
END_TEST

START_TEST(call_that_would_be_late_is_refused_at_once)
{
	fixture_t f;
	dff_decision_t decision;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	report(&f, "e1", 8, 40000, T0 + 1, T0 + 1);
	report(&f, "e2", 8, 40000, T0 + 1, T0 + 1);
	decision = offer_new(&f, ENTRY_ASK, 1000, T0 + 2);
	ck_assert_int_eq(decision.kind, DFF_DECISION_REFUSE);
	ck_assert_int_eq(decision.status, 503);
	ck_assert_int_gt(decision.retry_after, DFF_SEC);
	ck_assert_int_lt(decision.retry_after, 10 * DFF_SEC);
	tear_down(&f);
}
END_TEST

START_TEST(waiting_call_past_its_deadline_is_refused)
{
	fixture_t f;
	dff_decision_t decision;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	dff_policy_set_drain(f.ctx, f.policy, "e2", true);
	ck_assert_int_eq(
	    offer_new(&f, ENTRY_ASK, 6000, T0 + 1).kind, DFF_DECISION_RUN);
	ck_assert_int_eq(
	    offer_new(&f, ENTRY_ASK, 100, T0 + 2).kind, DFF_DECISION_WAIT);
	ck_assert(dff_policy_decide_next(
	    f.ctx, f.policy, T0 + 700 * DFF_MSEC, &decision));
	ck_assert_int_eq(decision.kind, DFF_DECISION_REFUSE);
	ck_assert_int_gt(decision.retry_after, 0);
	tear_down(&f);
}
END_TEST

START_TEST(call_with_delivered_tokens_is_not_refused)
{
	fixture_t f;
	dff_policy_call_t first;
	dff_policy_call_t begun;
	dff_decision_t decision;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	dff_policy_set_drain(f.ctx, f.policy, "e2", true);
	first = call_of(&f, ENTRY_ASK, 6000, T0 + 1);
	ck_assert_int_eq(offer(&f, &first, T0 + 1).kind, DFF_DECISION_RUN);
	/* Its first token was due two seconds ago, and came in time. */
	begun = call_of(&f, ENTRY_ASK, 100, T0 - 3 * DFF_SEC);
	begun.attempts = 1;
	begun.delivered = 5;
	ck_assert_int_eq(offer(&f, &begun, T0 + 2).kind, DFF_DECISION_WAIT);
	ck_assert(!dff_policy_decide_next(f.ctx, f.policy, T0 + 3, &decision));
	dff_policy_end_attempt(
	    f.ctx, f.policy, first.handle, DFF_ATTEMPT_CANCELLED, NULL, T0 + 4);
	ck_assert(dff_policy_decide_next(f.ctx, f.policy, T0 + 5, &decision));
	ck_assert_int_eq(decision.kind, DFF_DECISION_RUN);
	ck_assert_uint_eq(decision.call, begun.handle);
	tear_down(&f);
}
END_TEST

START_TEST(owner_limit_counts_use_at_peers)
{
	fixture_t f;
	int started = 0;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	dff_policy_set_visible_nodes(f.policy, 2, 2);
	dff_policy_set_peer_use(
	    f.ctx, f.policy, "n2", "two", "other", 4, 0, 1, T0);
	for (int i = 0; i < 6; i++)
		started += offer_new(&f, ENTRY_OTHER, 10, T0 + i).kind ==
		    DFF_DECISION_RUN;
	ck_assert_int_eq(started, 2);
	tear_down(&f);
}
END_TEST

START_TEST(owner_limit_shrinks_when_nodes_are_not_visible)
{
	fixture_t f;
	int started = 0;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	dff_policy_set_visible_nodes(f.policy, 1, 3);
	for (int i = 0; i < 6; i++)
		started += offer_new(&f, ENTRY_OTHER, 10, T0 + i).kind ==
		    DFF_DECISION_RUN;
	ck_assert_int_eq(started, 2);
	tear_down(&f);
}
END_TEST

START_TEST(rate_limit_refusal_gives_retry_time)
{
	fixture_t f;
	dff_decision_t decision = {0};
	dff_ev_attempt_end_t usage = {0};
	int refused = 0;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	for (int i = 0; i < 300; i++) {
		dff_policy_call_t call = call_of(&f, ENTRY_OTHER, 1, T0 + i);

		decision = offer(&f, &call, T0 + i);
		if (decision.kind == DFF_DECISION_RUN)
			dff_policy_end_attempt(f.ctx, f.policy, call.handle,
			    DFF_ATTEMPT_DONE, &usage, T0 + i);
		if (decision.status == 429)
			refused++;
	}
	ck_assert_int_eq(decision.kind, DFF_DECISION_REFUSE);
	ck_assert_str_eq(decision.code, "rate_limit");
	ck_assert_int_gt(decision.retry_after, 0);
	ck_assert_int_ge(refused, 195);
	ck_assert_int_le(refused, 205);
	tear_down(&f);
}
END_TEST

START_TEST(avoided_upstream_is_used_only_without_another)
{
	fixture_t f;
	dff_policy_call_t call;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	report(&f, "e1", 2, 2000, T0 + 1, T0 + 1);
	call = call_of(&f, ENTRY_ASK, 10, T0 + 2);
	call.attempts = 1;
	(void)dff_name_copy(call.avoid_vm, "e2");
	ck_assert_str_eq(offer(&f, &call, T0 + 2).vm, "e1");
	dff_policy_set_drain(f.ctx, f.policy, "e1", true);
	call = call_of(&f, ENTRY_ASK, 10, T0 + 3);
	call.attempts = 1;
	(void)dff_name_copy(call.avoid_vm, "e2");
	ck_assert_str_eq(offer(&f, &call, T0 + 3).vm, "e2");
	tear_down(&f);
}
END_TEST

/*
 * Suspects with and without delivered tokens never run on the same engine,
 * whichever node sends them; each kind goes where the fewest other calls would
 * be lost.
 */
START_TEST(suspects_run_apart_by_delivered_tokens)
{
	fixture_t f;
	dff_policy_call_t call;
	dff_decision_t undelivered;
	dff_decision_t delivered;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	add_vm(&f, "e3", "engines", DFF_VM_ENGINE);
	add_vm(&f, "e4", "engines", DFF_VM_ENGINE);
	dff_policy_set_vms(f.ctx, f.policy, f.vms, f.count, T0);
	report(&f, "e1", 3, 0, T0 + 1, T0 + 1);
	report(&f, "e2", 3, 0, T0 + 1, T0 + 1);
	report(&f, "e3", 1, 1500, T0 + 1, T0 + 1);
	report(&f, "e4", 1, 1500, T0 + 1, T0 + 1);
	for (int i = 0; i < 20; i++) {
		call = call_of(&f, ENTRY_ASK, 10, T0 + 2);
		call.suspect = true;
		call.attempts = 1;
		dff_policy_offer(f.ctx, f.policy, &call, T0 + 2, &undelivered);
		call.delivered = 5;
		dff_policy_offer(f.ctx, f.policy, &call, T0 + 2, &delivered);
		ck_assert_str_eq(undelivered.vm, "e3");
		ck_assert_str_eq(delivered.vm, "e4");
	}
	call.delivered = 0;
	undelivered = offer(&f, &call, T0 + 2);
	ck_assert_str_eq(undelivered.vm, "e3");
	for (int i = 0; i < 8; i++)
		ck_assert_str_ne(
		    offer_new(&f, ENTRY_ASK, 10, T0 + 3 + i).vm, "e3");
	tear_down(&f);
}
END_TEST

START_TEST(failing_upstream_is_ejected_then_probed)
{
	fixture_t f;
	int e1_calls = 0;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	for (int i = 0; i < 3; i++) {
		dff_policy_call_t call = call_of(&f, ENTRY_ASK, 10, T0);

		dff_policy_begin_attempt(
		    f.ctx, f.policy, call.handle, &call, "e1", 0, T0);
		dff_policy_end_attempt(
		    f.ctx, f.policy, call.handle, DFF_ATTEMPT_BROKEN, NULL, T0);
	}
	for (int i = 0; i < 8; i++)
		e1_calls +=
		    strcmp(offer_new(&f, ENTRY_ASK, 10, T0 + i).vm, "e1") == 0;
	ck_assert_int_eq(e1_calls, 0);
	for (int i = 0; i < 8; i++)
		e1_calls +=
		    strcmp(offer_new(&f, ENTRY_ASK, 10, T0 + 2 * DFF_SEC).vm,
			"e1") == 0;
	ck_assert_int_eq(e1_calls, 1);
	tear_down(&f);
}
END_TEST

START_TEST(call_goes_to_the_engine_with_its_cached_prefix)
{
	fixture_t f;
	uint64_t prefix[40];
	dff_policy_call_t call;
	dff_decision_t decision;
	dff_ev_engine_cache_t cache = {0};

	set_up(&f, DFF_POLICY_PREDICT, 0);
	for (uint64_t i = 0; i < 40; i++)
		prefix[i] = dff_hash(&i, sizeof(i), 7);
	cache.vm = "e2";
	cache.stored = prefix;
	cache.stored_count = 40;
	dff_policy_apply_cache_events(f.ctx, f.policy, &cache, T0);
	for (int i = 0; i < 5; i++) {
		call = call_of(&f, ENTRY_ASK, 2600, T0 + i);
		call.prefix = prefix;
		call.prefix_count = 40;
		decision = offer(&f, &call, T0 + i);
		ck_assert_str_eq(decision.vm, "e2");
		ck_assert_uint_eq(decision.cached_tokens, 2560);
	}
	tear_down(&f);
}
END_TEST

START_TEST(evicted_blocks_are_not_counted_as_cached)
{
	fixture_t f;
	uint64_t prefix[4] = {11, 12, 13, 14};
	dff_policy_call_t call;
	dff_ev_engine_cache_t stored = {.vm = "e2"};
	dff_ev_engine_cache_t evicted = {.vm = "e2"};

	set_up(&f, DFF_POLICY_PREDICT, 0);
	stored.stored = prefix;
	stored.stored_count = 4;
	evicted.evicted = &prefix[2];
	evicted.evicted_count = 1;
	dff_policy_apply_cache_events(f.ctx, f.policy, &stored, T0);
	dff_policy_apply_cache_events(f.ctx, f.policy, &evicted, T0);
	call = call_of(&f, ENTRY_ASK, 300, T0 + 1);
	call.prefix = prefix;
	call.prefix_count = 4;
	ck_assert_uint_eq(offer(&f, &call, T0 + 1).cached_tokens, 128);
	tear_down(&f);
}
END_TEST

START_TEST(waiting_calls_of_a_removed_entry_are_refused)
{
	fixture_t f;
	dff_decision_t decision;
	dff_catalogue_t *cat;
	char *text;
	char *cut;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	dff_policy_set_drain(f.ctx, f.policy, "e2", true);
	ck_assert_int_eq(
	    offer_new(&f, ENTRY_ASK, 6000, T0 + 1).kind, DFF_DECISION_RUN);
	ck_assert_int_eq(
	    offer_new(&f, ENTRY_OTHER, 100, T0 + 2).kind, DFF_DECISION_WAIT);
	ck_assert_int_eq(
	    offer_new(&f, ENTRY_ASK, 100, T0 + 2).kind, DFF_DECISION_WAIT);
	text = strdup(catalogue_text);
	cut = strstr(text, "[entry other]");
	memmove(cut, strstr(text, "[entry stock]"),
	    strlen(strstr(text, "[entry stock]")) + 1);
	cat = catalogue_of(f.ctx, text);
	dff_policy_set_catalogue(f.ctx, f.policy, cat);
	ck_assert(dff_policy_decide_next(f.ctx, f.policy, T0 + 3, &decision));
	ck_assert_int_eq(decision.kind, DFF_DECISION_REFUSE);
	ck_assert_uint_eq(decision.call, 2);
	ck_assert_int_eq(decision.status, 404);
	ck_assert(!dff_policy_decide_next(f.ctx, f.policy, T0 + 3, &decision));
	dff_policy_remove_waiting(f.policy, 3);
	ck_assert_int_eq(
	    dff_policy_next_check(f.policy, T0 + 3), DFF_TIME_NEVER);
	dff_catalogue_drop(cat);
	free(text);
	tear_down(&f);
}
END_TEST

START_TEST(service_call_runs_on_the_service)
{
	fixture_t f;
	dff_decision_t decision;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	decision = offer_new(&f, ENTRY_STOCK, 10, T0);
	ck_assert_int_eq(decision.kind, DFF_DECISION_RUN);
	ck_assert_str_eq(decision.vm, "s1");
	tear_down(&f);
}
END_TEST

START_TEST(baselines_spread_calls_evenly)
{
	fixture_t f;
	int e1_calls = 0;

	set_up(&f, DFF_POLICY_ROUND_ROBIN, 0);
	for (int i = 0; i < 10; i++)
		e1_calls += strcmp(offer_new(&f, ENTRY_ASK, 9000, T0 + i).vm,
				"e1") == 0;
	ck_assert_int_eq(e1_calls, 5);
	tear_down(&f);
	e1_calls = 0;
	set_up(&f, DFF_POLICY_LEAST_OUTSTANDING, 0);
	for (int i = 0; i < 10; i++)
		e1_calls += strcmp(offer_new(&f, ENTRY_ASK, 9000, T0 + i).vm,
				"e1") == 0;
	ck_assert_int_eq(e1_calls, 5);
	tear_down(&f);
}
END_TEST

START_TEST(upstream_loads_and_owner_uses_are_listed)
{
	fixture_t f;
	dff_upstream_load_t uses[8];
	dff_owner_use_t owners[8];
	char *status;
	size_t count;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	ck_assert_uint_eq(dff_policy_list_loads(f.policy, uses, 8), 0);
	(void)offer_new(&f, ENTRY_ASK, 500, T0);
	count = dff_policy_list_loads(f.policy, uses, 8);
	ck_assert_uint_eq(count, 1);
	ck_assert_uint_eq(uses[0].running, 1);
	ck_assert_uint_eq(uses[0].prefill_tokens, 500);
	count = dff_policy_list_owner_uses(f.policy, owners, 8);
	ck_assert_uint_eq(count, 1);
	ck_assert_str_eq(owners[0].owner, "one");
	ck_assert_str_eq(owners[0].entry, "ask");
	ck_assert_uint_eq(owners[0].running, 1);
	status = dff_policy_status(f.policy, T0);
	ck_assert_ptr_nonnull(strstr(status, "e1 pool=engines"));
	free(status);
	tear_down(&f);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("policy");
	TCase *tcase = tcase_create("policy");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, runs_on_the_least_loaded_upstream);
	tcase_add_test(tcase, own_calls_correct_an_old_report);
	tcase_add_test(tcase, peer_load_is_counted);
	tcase_add_test(tcase, leaving_or_drained_upstream_gets_no_calls);
	tcase_add_test(tcase, waiting_call_runs_once_an_upstream_has_room);
	tcase_add_test(tcase, call_that_would_be_late_is_refused_at_once);
	tcase_add_test(tcase, waiting_call_past_its_deadline_is_refused);
	tcase_add_test(tcase, call_with_delivered_tokens_is_not_refused);
	tcase_add_test(tcase, owner_limit_counts_use_at_peers);
	tcase_add_test(tcase, owner_limit_shrinks_when_nodes_are_not_visible);
	tcase_add_test(tcase, rate_limit_refusal_gives_retry_time);
	tcase_add_test(tcase, avoided_upstream_is_used_only_without_another);
	tcase_add_test(tcase, suspects_run_apart_by_delivered_tokens);
	tcase_add_test(tcase, failing_upstream_is_ejected_then_probed);
	tcase_add_test(tcase, call_goes_to_the_engine_with_its_cached_prefix);
	tcase_add_test(tcase, evicted_blocks_are_not_counted_as_cached);
	tcase_add_test(tcase, waiting_calls_of_a_removed_entry_are_refused);
	tcase_add_test(tcase, service_call_runs_on_the_service);
	tcase_add_test(tcase, baselines_spread_calls_evenly);
	tcase_add_test(tcase, upstream_loads_and_owner_uses_are_listed);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
