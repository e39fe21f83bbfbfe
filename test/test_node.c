/*
 * Tests of the reducer: one node, fed with single events, without network and
 * clock.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "dragonflyfall/node.h"
#include "proto/dragonflyfall.pb-c.h"

#define SECRET "test-key"

static const char catalogue_text[] =
    "[dragonflyfall]\nformat=1\n"
    "[owner yard]\n"
    "secret_sha256="
    "62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef\n"
    "weight=1\n"
    "[owner other]\n"
    "secret_sha256="
    "cfc4224853950e0c65738b75d9e9fde3458914db71c1aa19dcad30d313fe35af\n"
    "weight=1\n"
    "[class quick]\nfirst_token_ms=2000\ntoken_gap_ms=500\n"
    "whole_ms=20000\npriority=0\n"
    "[pool engines]\nkind=engine\nmodel=m\nversion=1\nfencing=ignored\n"
    "[pool ledger]\nkind=service\n"
    "[entry grade]\nowner=yard\nclass=quick\npool=engines\n"
    "max_prompt_tokens=1000\nmax_output_tokens=16\n"
    "[entry foreign]\nowner=other\nclass=quick\npool=engines\n"
    "max_prompt_tokens=1000\nmax_output_tokens=16\n"
    "[entry pay]\nowner=yard\nclass=quick\npool=ledger\npath=/pay\n"
    "may_repeat=false\nretry_window_ms=600000\n";

static dff_ctx_t *ctx;
static dff_node_t *node;
static dff_effects_t *fx;
static dff_time_t now;
static uint64_t next_offset[DFF_STREAM_COUNT];
static uint64_t next_call;

/* Effects of the last steps. */
static dff_fx_attempt_start_t start;
static dff_fx_call_refuse_t refuse;
static dff_fx_call_reply_t reply;
static dff_fx_log_append_t append;
static char vm_name[DFF_NAME_MAX];
static char code[64];
static uint8_t append_data[64 * 1024];
static GString *text;
/* VM ids of the upstreams whose load reports the node reads. */
static GHashTable *watched;
static int start_count;
static int cancel_count;
static int refusal_count;
static int end_count;
static int reply_count;
static int append_count;
static int stop_count;

static void
record_effect(const dff_effect_t *effect)
{
	switch (effect->type) {
	case DFF_FX_ATTEMPT_START:
		start = effect->u.attempt_start;
		(void)dff_name_copy(vm_name, start.vm);
		start_count++;
		break;
	case DFF_FX_ATTEMPT_CANCEL:
		cancel_count++;
		break;
	case DFF_FX_CALL_REFUSE:
		refuse = effect->u.call_refuse;
		(void)g_strlcpy(code, refuse.code, sizeof(code));
		refusal_count++;
		break;
	case DFF_FX_CALL_TOKENS:
		g_string_append_len(text, effect->u.call_tokens.text,
		    (gssize)effect->u.call_tokens.len);
		break;
	case DFF_FX_CALL_END:
		end_count++;
		break;
	case DFF_FX_CALL_REPLY:
		reply = effect->u.call_reply;
		reply_count++;
		break;
	case DFF_FX_LOG_APPEND:
		append = effect->u.log_append;
		memcpy(append_data, append.data, append.len);
		append_count++;
		break;
	case DFF_FX_STOPPED:
		stop_count++;
		break;
	default:
		break;
	}
}

static int
step(const dff_event_t *event)
{
	int err;

	dff_effects_clear(fx);
	err = dff_node_step(ctx, node, event, now, fx);
	for (size_t i = 0; i < dff_effects_count(fx); i++)
		record_effect(dff_effects_at(fx, i));
	return err;
}

static void
wait_until(dff_time_t at)
{
	dff_event_t wake = {.type = DFF_EV_WAKE};

	while (now < at) {
		now = MIN(now + 100 * DFF_MSEC, at);
		(void)step(&wake);
	}
}

static void
feed_head(dff_stream_t stream)
{
	dff_event_t event = {.type = DFF_EV_LOG_HEAD};

	event.u.log_head.stream = stream;
	event.u.log_head.first = 1;
	event.u.log_head.next = next_offset[stream];
	event.u.log_head.sent_at = now;
	(void)step(&event);
}

static void
feed_record(dff_stream_t stream, const uint8_t *data, size_t len)
{
	dff_event_t event = {.type = DFF_EV_LOG_RECORD};

	event.u.log_record.stream = stream;
	event.u.log_record.offset = next_offset[stream]++;
	event.u.log_record.data = data;
	event.u.log_record.len = len;
	event.u.log_record.time_ms = (uint64_t)(now / DFF_MSEC);
	(void)step(&event);
}

static void
feed_edit(const char *edit_id, uint64_t against, const char *file)
{
	Dff__CatalogueEdit edit = DFF__CATALOGUE_EDIT__INIT;
	Dff__Record record = DFF__RECORD__INIT;
	uint8_t data[8192];
	size_t len;

	edit.edit_id = (char *)(uintptr_t)edit_id;
	edit.against = against;
	edit.text = (char *)(uintptr_t)file;
	record.version = 1;
	record.body_case = DFF__RECORD__BODY_EDIT;
	record.edit = &edit;
	len = dff__record__pack(&record, data);
	feed_record(DFF_STREAM_CATALOGUE, data, len);
}

static void
set_vm(dff_vm_t *vm, const char *id, const char *pool, dff_vm_kind_t kind)
{
	memset(vm, 0, sizeof(*vm));
	(void)dff_name_copy(vm->id, id);
	(void)dff_name_copy(vm->pool, pool);
	(void)dff_name_copy(vm->domain, "a");
	(void)strcpy(vm->addr, "127.0.0.1:1");
	vm->kind = kind;
	vm->incarnation = 1;
}

static void
feed_vms(void)
{
	dff_event_t event = {.type = DFF_EV_VM_LIST};
	dff_vm_t vms[5];

	set_vm(&vms[0], "engine-1", "engines", DFF_VM_ENGINE);
	set_vm(&vms[1], "engine-2", "engines", DFF_VM_ENGINE);
	set_vm(&vms[2], "engine-3", "engines", DFF_VM_ENGINE);
	set_vm(&vms[3], "ledger-1", "ledger", DFF_VM_SERVICE);
	set_vm(&vms[4], "entry-1", "", DFF_VM_ENTRY);
	event.u.vm_list.vms = vms;
	event.u.vm_list.count = 5;
	(void)step(&event);
}

static void
feed_report(const char *vm, uint64_t incarnation)
{
	dff_event_t event = {.type = DFF_EV_ENGINE_REPORT};
	dff_ev_engine_report_t *report = &event.u.engine_report;

	report->vm = vm;
	report->incarnation = incarnation;
	report->sampled_at = now;
	report->model = "m";
	report->version = 1;
	report->free_pieces = 1000;
	report->total_pieces = 1000;
	report->token_us = 10000;
	report->prefill_us = 100;
	(void)step(&event);
}

static const char *const upstreams[] = {
    "engine-1", "engine-2", "engine-3", "ledger-1"};
/* Incarnation of each upstream's process; grows when it crashes. */
static uint64_t incarnations[G_N_ELEMENTS(upstreams)];

static void
feed_reports(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++)
		feed_report(upstreams[i], incarnations[i]);
}

static void
restart_upstream(const char *vm)
{
	for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
		if (strcmp(upstreams[i], vm) == 0)
			incarnations[i]++;
	}
}

static void
setup(void)
{
	dff_node_config_t config;
	dff_event_t event = {.type = DFF_EV_START};

	dff_node_defaults(&config);
	(void)strcpy(config.id, "entry-1");
	(void)strcpy(config.domain, "a");
	config.incarnation = 7;
	config.serve = true;
	ctx = dff_ctx_new(1, DFF_LOG_DEBUG, NULL, NULL);
	node = dff_node_new(ctx, &config);
	fx = dff_effects_new();
	text = g_string_new(NULL);
	watched = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	now = DFF_SEC;
	start_count = cancel_count = refusal_count = end_count = reply_count =
	    append_count = stop_count = 0;
	next_call = 0;
	for (int i = 0; i < DFF_STREAM_COUNT; i++)
		next_offset[i] = 1;
	for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++)
		incarnations[i] = 1;
	(void)step(&event);
}

/* A node that has read all streams and accepts calls. */
static void
setup_ready(void)
{
	const char *reason;

	setup();
	feed_vms();
	feed_edit("first", 0, catalogue_text);
	for (int i = 0; i < DFF_STREAM_COUNT; i++)
		feed_head((dff_stream_t)i);
	feed_reports();
	ck_assert_msg(dff_node_ready(node, &reason), "%s", reason);
}

static void
teardown(void)
{
	dff_node_drop(node);
	dff_effects_drop(fx);
	g_string_free(text, TRUE);
	g_hash_table_unref(watched);
	dff_ctx_drop(ctx);
}

static uint64_t
open_call_as(const char *entry, const char *secret, const char *key)
{
	dff_event_t event = {.type = DFF_EV_CALL_OPEN};
	dff_ev_call_open_t *call = &event.u.call_open;

	call->call = ++next_call;
	call->kind =
	    strcmp(entry, "pay") == 0 ? DFF_CALL_SERVICE : DFF_CALL_MODEL;
	call->secret = secret;
	call->entry = entry;
	call->idem_key = key;
	call->prompt_len = 400;
	call->max_tokens = 8;
	call->body_hash = 99;
	(void)step(&event);
	return call->call;
}

static uint64_t
open_call(const char *entry)
{
	return open_call_as(entry, SECRET, "");
}

static void
feed_tokens(uint64_t attempt, uint32_t first, const char *tokens)
{
	dff_event_t event = {.type = DFF_EV_ATTEMPT_TOKENS};

	event.u.attempt_tokens.attempt = attempt;
	event.u.attempt_tokens.first = first;
	event.u.attempt_tokens.count = (uint32_t)strlen(tokens);
	event.u.attempt_tokens.text = tokens;
	event.u.attempt_tokens.len = strlen(tokens);
	(void)step(&event);
}

static void
feed_end(uint64_t attempt, uint32_t tokens)
{
	dff_event_t event = {.type = DFF_EV_ATTEMPT_END};

	event.u.attempt_end.attempt = attempt;
	event.u.attempt_end.prompt_tokens = 100;
	event.u.attempt_end.output_tokens = tokens;
	(void)step(&event);
}

static void
feed_failure(uint64_t attempt, dff_attempt_failure_t reason, bool sent)
{
	dff_event_t event = {.type = DFF_EV_ATTEMPT_FAILED};

	event.u.attempt_failed.attempt = attempt;
	event.u.attempt_failed.reason = reason;
	event.u.attempt_failed.sent = sent;
	(void)step(&event);
}

START_TEST(refuses_calls_before_catalogue_is_read)
{
	const char *reason;

	ck_assert(!dff_node_ready(node, &reason));
	(void)open_call("grade");
	ck_assert_str_eq(code, "not_ready");
	ck_assert_int_eq(refuse.execution, DFF_EXECUTION_NOT_RUN);
	ck_assert_int_gt(refuse.retry_after, 0);
}
END_TEST

START_TEST(delivers_complete_answer)
{
	(void)open_call("grade");
	ck_assert_int_eq(start_count, 1);
	feed_tokens(start.attempt, 0, "ab");
	feed_tokens(start.attempt, 2, "c");
	feed_end(start.attempt, 3);
	ck_assert_str_eq(text->str, "abc");
	ck_assert_int_eq(end_count, 1);
	ck_assert_int_eq(refusal_count, 0);
}
END_TEST

START_TEST(refuses_with_specific_code)
{
	(void)open_call_as("grade", "wrong", "");
	ck_assert_str_eq(code, "unknown_key");
	(void)open_call("nothing");
	ck_assert_str_eq(code, "unknown_entry");
	(void)open_call("foreign");
	ck_assert_str_eq(code, "wrong_owner");
	(void)open_call("pay");
	ck_assert_str_eq(code, "key_required");
	ck_assert_int_eq(start_count, 0);
}
END_TEST

START_TEST(resumes_at_next_token_on_another_engine)
{
	char first_vm[DFF_NAME_MAX];
	uint64_t old_attempt;

	(void)open_call("grade");
	old_attempt = start.attempt;
	(void)strcpy(first_vm, vm_name);
	feed_tokens(old_attempt, 0, "ab");
	feed_failure(old_attempt, DFF_FAIL_BROKEN, true);
	ck_assert_int_eq(start_count, 2);
	ck_assert_uint_eq(start.resume_at, 2);
	ck_assert_str_ne(vm_name, first_vm);
	/* Late events of the first attempt are dropped. */
	feed_tokens(old_attempt, 2, "XYZ");
	feed_tokens(start.attempt, 2, "cd");
	feed_end(old_attempt, 5);
	feed_end(start.attempt, 4);
	ck_assert_str_eq(text->str, "abcd");
	ck_assert_int_eq(end_count, 1);
	ck_assert_uint_eq(dff_node_counter(node, DFF_COUNT_LATE_EVENTS), 2);
}
END_TEST

START_TEST(rejects_tokens_with_unexpected_index)
{
	(void)open_call("grade");
	feed_tokens(start.attempt, 0, "ab");
	feed_tokens(start.attempt, 3, "d");
	ck_assert_int_eq(cancel_count, 1);
	ck_assert_int_eq(start_count, 2);
	ck_assert_uint_eq(start.resume_at, 2);
	ck_assert_str_eq(text->str, "ab");
}
END_TEST

START_TEST(truncated_answer_is_not_reported_complete)
{
	(void)open_call("grade");
	feed_tokens(start.attempt, 0, "ab");
	feed_end(start.attempt, 7);
	ck_assert_int_eq(end_count, 0);
	ck_assert_int_eq(start_count, 2);
}
END_TEST

START_TEST(ends_with_error_after_repeated_failures)
{
	(void)open_call("grade");
	feed_tokens(start.attempt, 0, "a");
	for (int i = 0; i < 10 && refusal_count == 0; i++) {
		feed_failure(start.attempt, DFF_FAIL_TIMEOUT, true);
		wait_until(now + 200 * DFF_MSEC);
		feed_reports();
	}
	ck_assert_int_eq(refusal_count, 1);
	ck_assert_int_eq(refuse.execution, DFF_EXECUTION_RAN);
	ck_assert_int_eq(end_count, 0);
}
END_TEST

/* Engines received the call and did not answer: it may have run. */
START_TEST(sent_call_is_not_reported_as_not_run)
{
	(void)open_call("grade");
	for (int i = 0; i < 10 && refusal_count == 0; i++) {
		feed_failure(start.attempt, DFF_FAIL_TIMEOUT, true);
		wait_until(now + 200 * DFF_MSEC);
		feed_reports();
	}
	ck_assert_int_eq(refusal_count, 1);
	ck_assert_int_eq(refuse.execution, DFF_EXECUTION_UNKNOWN);
}
END_TEST

START_TEST(cancels_attempt_when_caller_disconnects)
{
	dff_event_t event = {.type = DFF_EV_CALL_DISCONNECTED};

	event.u.call_disconnected.call = open_call("grade");
	(void)step(&event);
	ck_assert_int_eq(cancel_count, 1);
	feed_tokens(start.attempt, 0, "a");
	ck_assert_str_eq(text->str, "");
}
END_TEST

/* Feeds the claim that the node appended as a record of the stream. */
static void
feed_claim(void)
{
	wait_until(now + 20 * DFF_MSEC);
	ck_assert_int_ge(append_count, 1);
	feed_record(DFF_STREAM_CLAIMS, append_data, append.len);
}

START_TEST(runs_payout_only_after_claim_is_won)
{
	dff_event_t event = {.type = DFF_EV_ATTEMPT_REPLY};

	(void)open_call_as("pay", SECRET, "k1");
	ck_assert_int_eq(start_count, 0);
	feed_claim();
	ck_assert_int_eq(start_count, 1);
	ck_assert_str_eq(start.path, "/pay");
	event.u.attempt_reply.attempt = start.attempt;
	event.u.attempt_reply.status = 201;
	event.u.attempt_reply.content_type = "text/plain";
	event.u.attempt_reply.body = (const uint8_t *)"paid";
	event.u.attempt_reply.len = 4;
	(void)step(&event);
	ck_assert_int_eq(reply_count, 1);
	/* A second call with the same key is not run. */
	(void)open_call_as("pay", SECRET, "k1");
	wait_until(now + 20 * DFF_MSEC);
	ck_assert_int_eq(start_count, 1);
}
END_TEST

START_TEST(never_repeats_a_payout_that_may_have_run)
{
	(void)open_call_as("pay", SECRET, "k1");
	feed_claim();
	feed_failure(start.attempt, DFF_FAIL_BROKEN, true);
	ck_assert_int_eq(start_count, 1);
	ck_assert_int_eq(refusal_count, 1);
	ck_assert_int_eq(refuse.execution, DFF_EXECUTION_UNKNOWN);
}
END_TEST

START_TEST(retries_payout_if_nothing_was_sent)
{
	(void)open_call_as("pay", SECRET, "k1");
	feed_claim();
	feed_failure(start.attempt, DFF_FAIL_CONNECT, false);
	wait_until(now + 5 * DFF_SEC);
	/* If its only service is unreachable, it ends as "not run". */
	ck_assert(refusal_count == 1 ?
		refuse.execution == DFF_EXECUTION_NOT_RUN :
		start_count > 1);
}
END_TEST

START_TEST(refuses_payouts_while_the_log_is_down)
{
	dff_event_t event = {.type = DFF_EV_LOG_DOWN};

	event.u.log_down.stream = DFF_STREAM_CLAIMS;
	(void)step(&event);
	(void)open_call_as("pay", SECRET, "k1");
	ck_assert_str_eq(code, "log_down");
	ck_assert_int_eq(refuse.execution, DFF_EXECUTION_NOT_RUN);
	ck_assert_int_gt(refuse.retry_after, 0);
	(void)open_call("grade");
	ck_assert_int_eq(start_count, 1);
}
END_TEST

START_TEST(one_request_crashes_two_engines_at_most)
{
	int lost = 0;

	/* The caller repeats the request; each engine that gets it crashes and
	 * returns with another incarnation. */
	for (int i = 0; i < 6; i++) {
		int before = start_count;

		(void)open_call("grade");
		while (start_count > before) {
			before = start_count;
			lost++;
			restart_upstream(vm_name);
			feed_failure(start.attempt, DFF_FAIL_BROKEN, true);
			now += DFF_SEC;
			feed_reports();
		}
	}
	ck_assert_int_eq(lost, 2);
	ck_assert_str_eq(code, "poison");
}
END_TEST

START_TEST(broken_connection_is_not_counted_as_crash)
{
	for (int i = 0; i < 4; i++) {
		(void)open_call("grade");
		feed_failure(start.attempt, DFF_FAIL_BROKEN, true);
		now += DFF_SEC;
		feed_reports();
		feed_tokens(start.attempt, 0, "a");
		feed_end(start.attempt, 1);
		now += 10 * DFF_SEC;
		feed_head(DFF_STREAM_CATALOGUE);
		feed_reports();
	}
	ck_assert_int_eq(end_count, 4);
}
END_TEST

START_TEST(isolated_node_refuses_calls)
{
	dff_event_t event = {.type = DFF_EV_VM_LIST};
	const char *reason;
	dff_vm_t vms[3];

	set_vm(&vms[0], "entry-1", "", DFF_VM_ENTRY);
	set_vm(&vms[1], "entry-2", "", DFF_VM_ENTRY);
	set_vm(&vms[2], "entry-3", "", DFF_VM_ENTRY);
	event.u.vm_list.vms = vms;
	event.u.vm_list.count = 3;
	(void)step(&event);
	wait_until(now + 4 * DFF_SEC);
	ck_assert(dff_node_ready(node, &reason));
	wait_until(now + 2 * DFF_SEC);
	ck_assert(!dff_node_ready(node, &reason));
	feed_head(DFF_STREAM_CATALOGUE);
	ck_assert(dff_node_ready(node, &reason));
}
END_TEST

/* The process was suspended for a minute; its next event is a call. */
START_TEST(resumed_node_refuses_calls_before_log_read)
{
	dff_event_t event = {.type = DFF_EV_VM_LIST};
	dff_vm_t vms[3];

	set_vm(&vms[0], "entry-1", "", DFF_VM_ENTRY);
	set_vm(&vms[1], "entry-2", "", DFF_VM_ENTRY);
	set_vm(&vms[2], "entry-3", "", DFF_VM_ENTRY);
	event.u.vm_list.vms = vms;
	event.u.vm_list.count = 3;
	(void)step(&event);
	now += 60 * DFF_SEC;
	(void)open_call("grade");
	ck_assert_str_eq(code, "not_ready");
}
END_TEST

START_TEST(stopping_node_completes_running_calls)
{
	dff_event_t event = {.type = DFF_EV_STOP};

	(void)open_call("grade");
	(void)step(&event);
	ck_assert_int_eq(stop_count, 0);
	(void)open_call("grade");
	ck_assert_str_eq(code, "draining");
	feed_tokens(start.attempt, 0, "a");
	feed_end(start.attempt, 1);
	ck_assert_int_eq(end_count, 1);
	ck_assert_int_eq(stop_count, 1);
}
END_TEST

START_TEST(revision_never_decreases)
{
	uint64_t revision = dff_node_revision(node);

	feed_edit("late", 0, catalogue_text);
	ck_assert_uint_eq(dff_node_revision(node), revision);
	feed_edit("next", revision, catalogue_text);
	ck_assert_uint_gt(dff_node_revision(node), revision);
}
END_TEST

static void
record_watched(void)
{
	for (size_t i = 0; i < dff_effects_count(fx); i++) {
		const dff_effect_t *effect = dff_effects_at(fx, i);

		if (effect->type != DFF_FX_ENGINE_WATCH)
			continue;
		if (effect->u.engine_watch.enabled)
			g_hash_table_add(
			    watched, g_strdup(effect->u.engine_watch.vm));
		else
			g_hash_table_remove(watched, effect->u.engine_watch.vm);
	}
}

/* Three entry VMs of one domain and @engines engines, half in that domain. */
static void
feed_large_vms(int engines)
{
	dff_event_t event = {.type = DFF_EV_VM_LIST};
	dff_vm_t *vms = g_new0(dff_vm_t, engines + 3);

	for (int i = 0; i < engines + 3; i++) {
		char id[32];

		(void)g_snprintf(id, sizeof(id), "%s-%d",
		    i < 3 ? "entry" : "worker", i < 3 ? i + 1 : i);
		set_vm(&vms[i], id, i < 3 ? "" : "engines",
		    i < 3 ? DFF_VM_ENTRY : DFF_VM_ENGINE);
		if (i >= 3 && i % 2 == 0)
			(void)dff_name_copy(vms[i].domain, "b");
	}
	event.u.vm_list.vms = vms;
	event.u.vm_list.count = (size_t)engines + 3;
	(void)step(&event);
	record_watched();
	g_free(vms);
}

static void
feed_frame(const char *from, uint64_t incarnation, Dff__Frame *frame)
{
	dff_event_t event = {.type = DFF_EV_PEER_FRAME};
	uint8_t data[4096];

	frame->version = 1;
	frame->from = (char *)(uintptr_t)from;
	frame->incarnation = incarnation;
	event.u.peer.id = from;
	event.u.peer.len = dff__frame__pack(frame, data);
	event.u.peer.data = data;
	(void)step(&event);
}

static void
feed_heartbeat(const char *from)
{
	Dff__Heartbeat beat = DFF__HEARTBEAT__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;

	frame.body_case = DFF__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &beat;
	feed_frame(from, 1, &frame);
}

START_TEST(reads_all_reports_in_small_fleet)
{
	feed_large_vms(40);
	ck_assert_uint_eq(g_hash_table_size(watched), 40);
}
END_TEST

START_TEST(divides_reports_of_large_fleet_in_domain)
{
	guint alone;

	feed_large_vms(200);
	alone = g_hash_table_size(watched);
	/* Without a live peer: all of its own domain, none of the other. */
	ck_assert_uint_eq(alone, 100);
	feed_heartbeat("entry-2");
	feed_heartbeat("entry-3");
	for (int i = 0; i < 20; i++) {
		dff_event_t wake = {.type = DFF_EV_WAKE};

		now += 100 * DFF_MSEC;
		(void)step(&wake);
		record_watched();
	}
	ck_assert_uint_lt(g_hash_table_size(watched), 60);
	ck_assert_uint_gt(g_hash_table_size(watched), 10);
}
END_TEST

START_TEST(ignores_unknown_frames)
{
	dff_event_t event = {.type = DFF_EV_PEER_FRAME};
	static const uint8_t garbage[] = {0xff, 0xff, 0xff, 0x7f, 0x01};
	Dff__Frame frame = DFF__FRAME__INIT;
	uint64_t bad;

	feed_large_vms(0);
	bad = dff_node_counter(node, DFF_COUNT_FRAMES_BAD);
	event.u.peer.id = "entry-2";
	event.u.peer.data = garbage;
	event.u.peer.len = sizeof(garbage);
	(void)step(&event);
	ck_assert_uint_eq(
	    dff_node_counter(node, DFF_COUNT_FRAMES_BAD), bad + 1);
	/* A frame without a known body, as of a later release. */
	feed_frame("entry-2", 1, &frame);
	ck_assert_uint_eq(
	    dff_node_counter(node, DFF_COUNT_FRAMES_BAD), bad + 2);
	feed_frame("stranger", 1, &frame);
	ck_assert_uint_eq(
	    dff_node_counter(node, DFF_COUNT_FRAMES_BAD), bad + 3);
	feed_heartbeat("entry-2");
	ck_assert_uint_eq(
	    dff_node_counter(node, DFF_COUNT_FRAMES_BAD), bad + 3);
}
END_TEST

/* The log does not answer, but a peer sends an edit that it has read. */
START_TEST(applies_edit_received_from_peer)
{
	dff_event_t down = {.type = DFF_EV_LOG_DOWN};
	Dff__CatalogueEdit edit = DFF__CATALOGUE_EDIT__INIT;
	Dff__Record record = DFF__RECORD__INIT;
	Dff__PeerRecord row = DFF__PEER_RECORD__INIT;
	Dff__PeerRecord *rows[] = {&row};
	Dff__Records records = DFF__RECORDS__INIT;
	Dff__Frame frame = DFF__FRAME__INIT;
	char id[] = "by-peer";
	uint8_t data[2048];

	feed_large_vms(0);
	down.u.log_down.stream = DFF_STREAM_CATALOGUE;
	(void)step(&down);
	edit.edit_id = id;
	edit.against = dff_node_revision(node);
	edit.text = (char *)(uintptr_t)catalogue_text;
	record.version = 1;
	record.body_case = DFF__RECORD__BODY_EDIT;
	record.edit = &edit;
	row.stream = DFF_STREAM_CATALOGUE;
	row.offset = next_offset[DFF_STREAM_CATALOGUE];
	row.data.len = dff__record__pack(&record, data);
	row.data.data = data;
	records.n_records = 1;
	records.records = rows;
	frame.body_case = DFF__FRAME__BODY_RECORDS;
	frame.records = &records;
	feed_frame("entry-2", 1, &frame);
	ck_assert_uint_eq(dff_node_revision(node), row.offset);
	/* The same record, later read from the log, changes nothing. */
	feed_record(DFF_STREAM_CATALOGUE, data, row.data.len);
	ck_assert_uint_eq(dff_node_revision(node), row.offset);
}
END_TEST

/* Waits for a catalogue snapshot to be appended; seconds, or -1 at @max_s. */
static int
wait_for_snapshot(int max_s)
{
	for (int i = 0; i < max_s; i++) {
		int before = append_count;

		wait_until(now + DFF_SEC);
		feed_head(DFF_STREAM_CATALOGUE);
		if (append_count > before &&
		    append.stream == DFF_STREAM_CATALOGUE)
			return i;
	}
	return -1;
}

/* All records of the stream have expired and no peer has its state. */
START_TEST(restarts_expired_stream_only_after_wait)
{
	dff_event_t event = {.type = DFF_EV_LOG_HEAD};

	feed_vms();
	event.u.log_head.stream = DFF_STREAM_CATALOGUE;
	event.u.log_head.first = 50;
	event.u.log_head.next = 50;
	event.u.log_head.sent_at = now;
	next_offset[DFF_STREAM_CATALOGUE] = 50;
	(void)step(&event);
	feed_edit("early", 0, catalogue_text);
	ck_assert_uint_eq(dff_node_revision(node), 0);
	event.u.log_head.next = 51;
	for (int i = 0; i < 15; i++) {
		(void)step(&event);
		wait_until(now + DFF_SEC);
	}
	/* A stream restarted empty must not write a snapshot. */
	ck_assert_int_eq(wait_for_snapshot(200), -1);
	next_offset[DFF_STREAM_CATALOGUE] = 50;
	feed_edit("early", 0, catalogue_text);
	ck_assert_uint_eq(dff_node_revision(node), 50);
}
END_TEST

START_TEST(old_snapshot_does_not_delay_next_one)
{
	uint8_t old_snapshot[1024];
	size_t len;
	int before;

	ck_assert_int_ge(wait_for_snapshot(200), 0);
	len = append.len;
	memcpy(old_snapshot, append_data, len);
	feed_record(DFF_STREAM_CATALOGUE, old_snapshot, len);
	before = append_count;
	/* A writer that was paused appends its old snapshot three times. */
	for (int i = 0; i < 3; i++) {
		wait_until(now + 40 * DFF_SEC);
		feed_record(DFF_STREAM_CATALOGUE, old_snapshot, len);
	}
	/* Two periods have passed, so a new snapshot must have been written. */
	ck_assert_int_gt(append_count, before);
}
END_TEST

/* Feeds the next record of the authority stream, written by a placer. */
static void
feed_authority(Dff__Record *record)
{
	uint8_t data[1024];
	char writer[] = "entry-1.placer";

	record->version = 1;
	record->writer = writer;
	record->incarnation = 9;
	record->sequence = next_offset[DFF_STREAM_AUTHORITY];
	feed_record(
	    DFF_STREAM_AUTHORITY, data, dff__record__pack(record, data));
}

/* A placer claims the lease of the shard and sets a drain mark on an engine. */
static void
mark_engine(const char *vm)
{
	Dff__Lease lease = DFF__LEASE__INIT;
	Dff__DrainMark mark = DFF__DRAIN_MARK__INIT;
	Dff__Record claim = DFF__RECORD__INIT;
	Dff__Record drain = DFF__RECORD__INIT;
	char shard[] = "engines@a";
	char holder[] = "entry-1.placer";

	lease.shard = shard;
	lease.holder = holder;
	lease.incarnation = 9;
	lease.term_ms = 6000;
	claim.body_case = DFF__RECORD__BODY_LEASE_CLAIM;
	claim.lease_claim = &lease;
	mark.shard = shard;
	mark.fence = next_offset[DFF_STREAM_AUTHORITY];
	mark.vm = (char *)(uintptr_t)vm;
	mark.on = true;
	drain.body_case = DFF__RECORD__BODY_DRAIN;
	drain.drain = &mark;
	feed_authority(&claim);
	feed_authority(&drain);
}

START_TEST(drained_engine_gets_no_calls)
{
	bool seen[2] = {false};

	for (int i = 0; i < 30; i++) {
		(void)open_call("grade");
		seen[0] |= strcmp(vm_name, "engine-2") == 0;
	}
	mark_engine("engine-2");
	for (int i = 0; i < 30; i++) {
		int before = start_count;

		(void)open_call("grade");
		seen[1] |=
		    start_count > before && strcmp(vm_name, "engine-2") == 0;
	}
	ck_assert(seen[0]);
	ck_assert(!seen[1]);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("node");
	TCase *boot = tcase_create("boot");
	TCase *ready = tcase_create("ready");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(boot, setup, teardown);
	tcase_add_test(boot, refuses_calls_before_catalogue_is_read);
	tcase_add_test(boot, restarts_expired_stream_only_after_wait);
	tcase_add_checked_fixture(ready, setup_ready, teardown);
	tcase_add_test(ready, reads_all_reports_in_small_fleet);
	tcase_add_test(ready, divides_reports_of_large_fleet_in_domain);
	tcase_add_test(ready, ignores_unknown_frames);
	tcase_add_test(ready, applies_edit_received_from_peer);
	tcase_add_test(ready, drained_engine_gets_no_calls);
	tcase_add_test(ready, old_snapshot_does_not_delay_next_one);
	tcase_add_test(ready, delivers_complete_answer);
	tcase_add_test(ready, refuses_with_specific_code);
	tcase_add_test(ready, resumes_at_next_token_on_another_engine);
	tcase_add_test(ready, rejects_tokens_with_unexpected_index);
	tcase_add_test(ready, truncated_answer_is_not_reported_complete);
	tcase_add_test(ready, ends_with_error_after_repeated_failures);
	tcase_add_test(ready, sent_call_is_not_reported_as_not_run);
	tcase_add_test(ready, cancels_attempt_when_caller_disconnects);
	tcase_add_test(ready, runs_payout_only_after_claim_is_won);
	tcase_add_test(ready, never_repeats_a_payout_that_may_have_run);
	tcase_add_test(ready, retries_payout_if_nothing_was_sent);
	tcase_add_test(ready, refuses_payouts_while_the_log_is_down);
	tcase_add_test(ready, one_request_crashes_two_engines_at_most);
	tcase_add_test(ready, broken_connection_is_not_counted_as_crash);
	tcase_add_test(ready, isolated_node_refuses_calls);
	tcase_add_test(ready, resumed_node_refuses_calls_before_log_read);
	tcase_add_test(ready, stopping_node_completes_running_calls);
	tcase_add_test(ready, revision_never_decreases);
	suite_add_tcase(suite, boot);
	suite_add_tcase(suite, ready);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
