#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/policy.h"

/*
 * Two owners, an entry each in a pool of engines, one limited entry, and a
 * plain service.
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
	dff_policy_load_report(f->ctx, f->policy, &ev, now);
}

static void
set_up(fixture_t *f, dff_policy_kind_t kind, uint32_t parts_off)
{
	dff_policy_config_t config = {.kind = kind, .parts_off = parts_off};

	memset(f, 0, sizeof(*f));
	(void)dff_name_copy(config.domain, "north");
	f->ctx = dff_ctx_new(1, DFF_LOG_ERR, NULL, NULL);
	f->cat = catalogue_of(f->ctx, catalogue_text);
	f->policy = dff_policy_new(f->ctx, &config);
	dff_policy_set_catalogue(f->ctx, f->policy, f->cat);
	add_vm(f, "e1", "engines", DFF_VM_ENGINE);
	add_vm(f, "e2", "engines", DFF_VM_ENGINE);
	add_vm(f, "s1", "plain", DFF_VM_SERVICE);
	dff_policy_load_vms(f->ctx, f->policy, f->vms, f->count, T0);
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

static dff_work_t
work_of(fixture_t *f, uint32_t entry, uint32_t prompt, dff_time_t now)
{
	dff_work_t work = {0};

	work.call = ++f->next;
	work.entry = entry;
	work.arrived = now;
	work.prompt_tokens = prompt;
	work.max_tokens = 20;
	work.body_hash = f->next;
	return work;
}

static dff_decision_t
offer(fixture_t *f, const dff_work_t *work, dff_time_t now)
{
	dff_decision_t decision;

	dff_policy_offer(f->ctx, f->policy, work, now, &decision);
	if (decision.what == DFF_DECIDE_RUN)
		dff_policy_begin(f->ctx, f->policy, work->call, work,
		    decision.vm, decision.cached_tokens, now);
	return decision;
}

static dff_decision_t
offer_new(fixture_t *f, uint32_t entry, uint32_t prompt, dff_time_t now)
{
	dff_work_t work = work_of(f, entry, prompt, now);

	return offer(f, &work, now);
}

START_TEST(runs_where_least_is_ahead)
{
	fixture_t f;
	dff_decision_t decision;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	report(&f, "e1", 4, 3000, T0 + 1, T0 + 1);
	decision = offer_new(&f, ENTRY_ASK, 1000, T0 + 2);
	ck_assert_int_eq(decision.what, DFF_DECIDE_RUN);
	ck_assert_str_eq(decision.vm, "e2");
	ck_assert_str_eq(decision.addr, "127.0.0.1:2");
	ck_assert_int_gt(decision.first_token, 60 * DFF_MSEC);
	ck_assert_ptr_nonnull(strstr(decision.why, "first_ms="));
	tear_down(&f);
}
END_TEST

START_TEST(own_work_corrects_an_old_report)
{
	fixture_t f;
	dff_decision_t first;
	dff_decision_t second;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	first = offer_new(&f, ENTRY_ASK, 1000, T0 + DFF_MSEC);
	/* A report from before the send must not hide it. */
	report(&f, first.vm, 0, 0, T0 + 1, T0 + 300 * DFF_MSEC);
	second = offer_new(&f, ENTRY_ASK, 1000, T0 + 301 * DFF_MSEC);
	ck_assert_int_eq(second.what, DFF_DECIDE_RUN);
	ck_assert_str_ne(first.vm, second.vm);
	tear_down(&f);
}
END_TEST

START_TEST(peers_work_counts)
{
	fixture_t f;
	dff_decision_t decision;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	dff_policy_set_peer_work(
	    f.ctx, f.policy, "n2", "e1", 3, 4000, 60, T0 + 1);
	decision = offer_new(&f, ENTRY_ASK, 1000, T0 + 2);
	ck_assert_str_eq(decision.vm, "e2");
	dff_policy_set_peer_work(
	    f.ctx, f.policy, "n3", "e2", 6, 9000, 60, T0 + 3);
	decision = offer_new(&f, ENTRY_ASK, 1000, T0 + 4);
	ck_assert_str_ne(decision.vm, "e2");
	dff_policy_drop_peer(f.ctx, f.policy, "n3");
	dff_policy_set_peer_work(
	    f.ctx, f.policy, "n2", "e1", 9, 9000, 60, T0 + 5);
	decision = offer_new(&f, ENTRY_ASK, 1000, T0 + 6);
	ck_assert_str_eq(decision.vm, "e2");
	tear_down(&f);
}
END_TEST

START_TEST(no_new_work_where_it_is_leaving)
{
	fixture_t f;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	f.vms[0].leaving = true;
	dff_policy_load_vms(f.ctx, f.policy, f.vms, f.count, T0);
	for (int i = 0; i < 4; i++)
		ck_assert_str_eq(
		    offer_new(&f, ENTRY_ASK, 100, T0 + i).vm, "e2");
	dff_policy_set_drain(f.ctx, f.policy, "e2", true);
	ck_assert_int_eq(
	    offer_new(&f, ENTRY_ASK, 100, T0 + 9).what, DFF_DECIDE_REFUSE);
	dff_policy_set_drain(f.ctx, f.policy, "e2", false);
	ck_assert_int_eq(
	    offer_new(&f, ENTRY_ASK, 100, T0 + 10).what, DFF_DECIDE_RUN);
	tear_down(&f);
}
END_TEST

START_TEST(waits_then_runs_when_there_is_room)
{
	fixture_t f;
	dff_work_t work;
	dff_decision_t decision;
	dff_ev_attempt_end_t usage = {0};

	set_up(&f, DFF_POLICY_PREDICT, 0);
	dff_policy_set_drain(f.ctx, f.policy, "e2", true);
	work = work_of(&f, ENTRY_ASK, 6000, T0 + 1);
	ck_assert_int_eq(offer(&f, &work, T0 + 1).what, DFF_DECIDE_RUN);
	decision = offer_new(&f, ENTRY_ASK, 100, T0 + 2);
	ck_assert_int_eq(decision.what, DFF_DECIDE_WAIT);
	ck_assert(!dff_policy_next(f.ctx, f.policy, T0 + 3, &decision));
	ck_assert_int_lt(dff_policy_wake(f.policy, T0 + 3), DFF_TIME_NEVER);
	dff_policy_tokens(f.ctx, f.policy, work.call, 1, T0 + 4);
	usage.output_tokens = 1;
	dff_policy_end(
	    f.ctx, f.policy, work.call, DFF_TRY_DONE, &usage, T0 + 5);
	ck_assert(dff_policy_next(f.ctx, f.policy, T0 + 6, &decision));
	ck_assert_int_eq(decision.what, DFF_DECIDE_RUN);
	ck_assert_uint_eq(decision.call, 2);
	ck_assert(!dff_policy_next(f.ctx, f.policy, T0 + 7, &decision));
	ck_assert_int_eq(dff_policy_wake(f.policy, T0 + 7), DFF_TIME_NEVER);
	tear_down(&f);
}
END_TEST

START_TEST(refuses_at_once_what_cannot_be_in_time)
{
	fixture_t f;
	dff_decision_t decision;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	report(&f, "e1", 8, 40000, T0 + 1, T0 + 1);
	report(&f, "e2", 8, 40000, T0 + 1, T0 + 1);
	decision = offer_new(&f, ENTRY_ASK, 1000, T0 + 2);
	ck_assert_int_eq(decision.what, DFF_DECIDE_REFUSE);
	ck_assert_int_eq(decision.status, 503);
	ck_assert_int_gt(decision.retry_after, DFF_SEC);
	ck_assert_int_lt(decision.retry_after, 10 * DFF_SEC);
	tear_down(&f);
}
END_TEST

START_TEST(waiting_call_past_its_time_is_refused)
{
	fixture_t f;
	dff_decision_t decision;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	dff_policy_set_drain(f.ctx, f.policy, "e2", true);
	ck_assert_int_eq(
	    offer_new(&f, ENTRY_ASK, 6000, T0 + 1).what, DFF_DECIDE_RUN);
	ck_assert_int_eq(
	    offer_new(&f, ENTRY_ASK, 100, T0 + 2).what, DFF_DECIDE_WAIT);
	ck_assert(
	    dff_policy_next(f.ctx, f.policy, T0 + 700 * DFF_MSEC, &decision));
	ck_assert_int_eq(decision.what, DFF_DECIDE_REFUSE);
	ck_assert_int_gt(decision.retry_after, 0);
	tear_down(&f);
}
END_TEST

START_TEST(answer_that_has_begun_is_not_given_up)
{
	fixture_t f;
	dff_work_t first;
	dff_work_t begun;
	dff_decision_t decision;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	dff_policy_set_drain(f.ctx, f.policy, "e2", true);
	first = work_of(&f, ENTRY_ASK, 6000, T0 + 1);
	ck_assert_int_eq(offer(&f, &first, T0 + 1).what, DFF_DECIDE_RUN);
	/* Its first token was due two seconds ago, and was in time. */
	begun = work_of(&f, ENTRY_ASK, 100, T0 - 3 * DFF_SEC);
	begun.tries = 1;
	begun.delivered = 5;
	ck_assert_int_eq(offer(&f, &begun, T0 + 2).what, DFF_DECIDE_WAIT);
	ck_assert(!dff_policy_next(f.ctx, f.policy, T0 + 3, &decision));
	dff_policy_end(
	    f.ctx, f.policy, first.call, DFF_TRY_CANCELLED, NULL, T0 + 4);
	ck_assert(dff_policy_next(f.ctx, f.policy, T0 + 5, &decision));
	ck_assert_int_eq(decision.what, DFF_DECIDE_RUN);
	ck_assert_uint_eq(decision.call, begun.call);
	tear_down(&f);
}
END_TEST

START_TEST(owner_limit_holds_with_peers)
{
	fixture_t f;
	int ran = 0;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	dff_policy_set_alone(f.policy, 2, 2);
	dff_policy_set_peer_use(
	    f.ctx, f.policy, "n2", "two", "other", 4, 0, 1, T0);
	for (int i = 0; i < 6; i++)
		ran += offer_new(&f, ENTRY_OTHER, 10, T0 + i).what ==
		    DFF_DECIDE_RUN;
	ck_assert_int_eq(ran, 2);
	tear_down(&f);
}
END_TEST

START_TEST(owner_limit_shrinks_when_alone)
{
	fixture_t f;
	int ran = 0;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	dff_policy_set_alone(f.policy, 1, 3);
	for (int i = 0; i < 6; i++)
		ran += offer_new(&f, ENTRY_OTHER, 10, T0 + i).what ==
		    DFF_DECIDE_RUN;
	ck_assert_int_eq(ran, 2);
	tear_down(&f);
}
END_TEST

START_TEST(rate_limit_refuses_and_says_when)
{
	fixture_t f;
	dff_decision_t decision = {0};
	dff_ev_attempt_end_t usage = {0};
	int refused = 0;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	for (int i = 0; i < 300; i++) {
		dff_work_t work = work_of(&f, ENTRY_OTHER, 1, T0 + i);

		decision = offer(&f, &work, T0 + i);
		if (decision.what == DFF_DECIDE_RUN)
			dff_policy_end(f.ctx, f.policy, work.call, DFF_TRY_DONE,
			    &usage, T0 + i);
		if (decision.status == 429)
			refused++;
	}
	ck_assert_int_eq(decision.what, DFF_DECIDE_REFUSE);
	ck_assert_str_eq(decision.code, "rate_limit");
	ck_assert_int_gt(decision.retry_after, 0);
	ck_assert_int_ge(refused, 195);
	ck_assert_int_le(refused, 205);
	tear_down(&f);
}
END_TEST

START_TEST(avoid_is_honoured_when_there_is_another)
{
	fixture_t f;
	dff_work_t work;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	report(&f, "e1", 2, 2000, T0 + 1, T0 + 1);
	work = work_of(&f, ENTRY_ASK, 10, T0 + 2);
	work.tries = 1;
	(void)dff_name_copy(work.avoid, "e2");
	ck_assert_str_eq(offer(&f, &work, T0 + 2).vm, "e1");
	dff_policy_set_drain(f.ctx, f.policy, "e1", true);
	work = work_of(&f, ENTRY_ASK, 10, T0 + 3);
	work.tries = 1;
	(void)dff_name_copy(work.avoid, "e2");
	ck_assert_str_eq(offer(&f, &work, T0 + 3).vm, "e2");
	tear_down(&f);
}
END_TEST

/*
 * Suspects that gave tokens and those that gave none never meet, whichever
 * node sends them; each kind goes where the fewest calls would be lost.
 */
START_TEST(suspect_runs_apart)
{
	fixture_t f;
	dff_work_t work;
	dff_decision_t silent;
	dff_decision_t heard;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	add_vm(&f, "e3", "engines", DFF_VM_ENGINE);
	add_vm(&f, "e4", "engines", DFF_VM_ENGINE);
	dff_policy_load_vms(f.ctx, f.policy, f.vms, f.count, T0);
	report(&f, "e1", 3, 0, T0 + 1, T0 + 1);
	report(&f, "e2", 3, 0, T0 + 1, T0 + 1);
	report(&f, "e3", 1, 1500, T0 + 1, T0 + 1);
	report(&f, "e4", 1, 1500, T0 + 1, T0 + 1);
	for (int i = 0; i < 20; i++) {
		work = work_of(&f, ENTRY_ASK, 10, T0 + 2);
		work.suspect = true;
		work.tries = 1;
		dff_policy_offer(f.ctx, f.policy, &work, T0 + 2, &silent);
		work.delivered = 5;
		dff_policy_offer(f.ctx, f.policy, &work, T0 + 2, &heard);
		ck_assert_str_eq(silent.vm, "e3");
		ck_assert_str_eq(heard.vm, "e4");
	}
	work.delivered = 0;
	silent = offer(&f, &work, T0 + 2);
	ck_assert_str_eq(silent.vm, "e3");
	for (int i = 0; i < 8; i++)
		ck_assert_str_ne(
		    offer_new(&f, ENTRY_ASK, 10, T0 + 3 + i).vm, "e3");
	tear_down(&f);
}
END_TEST

START_TEST(failing_upstream_is_ejected_and_tried_again)
{
	fixture_t f;
	int e1 = 0;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	for (int i = 0; i < 3; i++) {
		dff_work_t work = work_of(&f, ENTRY_ASK, 10, T0);

		dff_policy_begin(
		    f.ctx, f.policy, work.call, &work, "e1", 0, T0);
		dff_policy_end(
		    f.ctx, f.policy, work.call, DFF_TRY_BROKEN, NULL, T0);
	}
	for (int i = 0; i < 8; i++)
		e1 +=
		    strcmp(offer_new(&f, ENTRY_ASK, 10, T0 + i).vm, "e1") == 0;
	ck_assert_int_eq(e1, 0);
	for (int i = 0; i < 8; i++)
		e1 += strcmp(offer_new(&f, ENTRY_ASK, 10, T0 + 2 * DFF_SEC).vm,
			  "e1") == 0;
	ck_assert_int_eq(e1, 1);
	tear_down(&f);
}
END_TEST

START_TEST(cached_prefix_draws_the_call)
{
	fixture_t f;
	uint64_t prefix[40];
	dff_work_t work;
	dff_decision_t decision;
	dff_ev_engine_cache_t cache = {0};

	set_up(&f, DFF_POLICY_PREDICT, 0);
	for (uint64_t i = 0; i < 40; i++)
		prefix[i] = dff_hash(&i, sizeof(i), 7);
	cache.vm = "e2";
	cache.stored = prefix;
	cache.stored_count = 40;
	dff_policy_load_cache(f.ctx, f.policy, &cache, T0);
	for (int i = 0; i < 5; i++) {
		work = work_of(&f, ENTRY_ASK, 2600, T0 + i);
		work.prefix = prefix;
		work.prefix_count = 40;
		decision = offer(&f, &work, T0 + i);
		ck_assert_str_eq(decision.vm, "e2");
		ck_assert_uint_eq(decision.cached_tokens, 2560);
	}
	tear_down(&f);
}
END_TEST

START_TEST(belief_ends_when_evicted)
{
	fixture_t f;
	uint64_t prefix[4] = {11, 12, 13, 14};
	dff_work_t work;
	dff_ev_engine_cache_t stored = {.vm = "e2"};
	dff_ev_engine_cache_t evicted = {.vm = "e2"};

	set_up(&f, DFF_POLICY_PREDICT, 0);
	stored.stored = prefix;
	stored.stored_count = 4;
	evicted.evicted = &prefix[2];
	evicted.evicted_count = 1;
	dff_policy_load_cache(f.ctx, f.policy, &stored, T0);
	dff_policy_load_cache(f.ctx, f.policy, &evicted, T0);
	work = work_of(&f, ENTRY_ASK, 300, T0 + 1);
	work.prefix = prefix;
	work.prefix_count = 4;
	ck_assert_uint_eq(offer(&f, &work, T0 + 1).cached_tokens, 128);
	tear_down(&f);
}
END_TEST

START_TEST(entry_that_is_gone_ends_its_waiting_calls)
{
	fixture_t f;
	dff_decision_t decision;
	dff_catalogue_t *cat;
	char *text;
	char *cut;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	dff_policy_set_drain(f.ctx, f.policy, "e2", true);
	ck_assert_int_eq(
	    offer_new(&f, ENTRY_ASK, 6000, T0 + 1).what, DFF_DECIDE_RUN);
	ck_assert_int_eq(
	    offer_new(&f, ENTRY_OTHER, 100, T0 + 2).what, DFF_DECIDE_WAIT);
	ck_assert_int_eq(
	    offer_new(&f, ENTRY_ASK, 100, T0 + 2).what, DFF_DECIDE_WAIT);
	text = strdup(catalogue_text);
	cut = strstr(text, "[entry other]");
	memmove(cut, strstr(text, "[entry stock]"),
	    strlen(strstr(text, "[entry stock]")) + 1);
	cat = catalogue_of(f.ctx, text);
	dff_policy_set_catalogue(f.ctx, f.policy, cat);
	ck_assert(dff_policy_next(f.ctx, f.policy, T0 + 3, &decision));
	ck_assert_int_eq(decision.what, DFF_DECIDE_REFUSE);
	ck_assert_uint_eq(decision.call, 2);
	ck_assert_int_eq(decision.status, 404);
	ck_assert(!dff_policy_next(f.ctx, f.policy, T0 + 3, &decision));
	dff_policy_leave(f.policy, 3);
	ck_assert_int_eq(dff_policy_wake(f.policy, T0 + 3), DFF_TIME_NEVER);
	dff_catalogue_drop(cat);
	free(text);
	tear_down(&f);
}
END_TEST

START_TEST(services_share_calls)
{
	fixture_t f;
	dff_decision_t decision;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	decision = offer_new(&f, ENTRY_STOCK, 10, T0);
	ck_assert_int_eq(decision.what, DFF_DECIDE_RUN);
	ck_assert_str_eq(decision.vm, "s1");
	tear_down(&f);
}
END_TEST

START_TEST(baselines_send_each_call)
{
	fixture_t f;
	int e1 = 0;

	set_up(&f, DFF_POLICY_ROUND_ROBIN, 0);
	for (int i = 0; i < 10; i++)
		e1 += strcmp(offer_new(&f, ENTRY_ASK, 9000, T0 + i).vm, "e1") ==
		    0;
	ck_assert_int_eq(e1, 5);
	tear_down(&f);
	e1 = 0;
	set_up(&f, DFF_POLICY_LEAST_OUTSTANDING, 0);
	for (int i = 0; i < 10; i++)
		e1 += strcmp(offer_new(&f, ENTRY_ASK, 9000, T0 + i).vm, "e1") ==
		    0;
	ck_assert_int_eq(e1, 5);
	tear_down(&f);
}
END_TEST

START_TEST(work_and_use_are_told)
{
	fixture_t f;
	dff_policy_use_t uses[8];
	dff_owner_use_t owners[8];
	char *status;
	size_t count;

	set_up(&f, DFF_POLICY_PREDICT, 0);
	ck_assert_uint_eq(dff_policy_work(f.policy, uses, 8), 0);
	(void)offer_new(&f, ENTRY_ASK, 500, T0);
	count = dff_policy_work(f.policy, uses, 8);
	ck_assert_uint_eq(count, 1);
	ck_assert_uint_eq(uses[0].running, 1);
	ck_assert_uint_eq(uses[0].prefill_tokens, 500);
	count = dff_policy_owners(f.policy, owners, 8);
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

	tcase_add_test(tcase, runs_where_least_is_ahead);
	tcase_add_test(tcase, own_work_corrects_an_old_report);
	tcase_add_test(tcase, peers_work_counts);
	tcase_add_test(tcase, no_new_work_where_it_is_leaving);
	tcase_add_test(tcase, waits_then_runs_when_there_is_room);
	tcase_add_test(tcase, refuses_at_once_what_cannot_be_in_time);
	tcase_add_test(tcase, waiting_call_past_its_time_is_refused);
	tcase_add_test(tcase, answer_that_has_begun_is_not_given_up);
	tcase_add_test(tcase, owner_limit_holds_with_peers);
	tcase_add_test(tcase, owner_limit_shrinks_when_alone);
	tcase_add_test(tcase, rate_limit_refuses_and_says_when);
	tcase_add_test(tcase, avoid_is_honoured_when_there_is_another);
	tcase_add_test(tcase, suspect_runs_apart);
	tcase_add_test(tcase, failing_upstream_is_ejected_and_tried_again);
	tcase_add_test(tcase, cached_prefix_draws_the_call);
	tcase_add_test(tcase, belief_ends_when_evicted);
	tcase_add_test(tcase, entry_that_is_gone_ends_its_waiting_calls);
	tcase_add_test(tcase, services_share_calls);
	tcase_add_test(tcase, baselines_send_each_call);
	tcase_add_test(tcase, work_and_use_are_told);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
