/*
 * Streams before upstreams of two software versions: a stream goes on only at
 * the version that began it.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fake/relay_bench.h"

static relay_bench_t *bench;

static void
load_engine(relay_bench_t *at, const char *id, const char *software)
{
	relay_bench_load_software(
	    at, id, "llm", DFF_ROLE_DECODE, "a", 1, software);
}

/* A record of the engine d1. */
static void
load_record(
    const char *software, uint64_t started_ms, uint64_t seq, bool leaving)
{
	dff_upstream_record_t record = relay_bench_make_record(
	    "d1", "llm", DFF_ROLE_DECODE, "a", seq, software);

	record.started_ms = started_ms;
	record.leaving = leaving;
	relay_bench_load_record(bench, &record);
}

static void
end_probe(dff_probe_result_t result)
{
	dff_relay_event_t event = {.type = DFF_RELAY_PROBED};

	event.probed.upstream = "d1";
	event.probed.result = result;
	relay_bench_step(bench, &event);
}

static void
setup(void)
{
	bench = relay_bench_new();
	relay_bench_load_routing(bench, 1);
}

static void
teardown(void)
{
	relay_bench_drop(bench);
}

/* Begins a stream at the only engine and forwards its first event. */
static uint64_t
begin_stream(const char *id)
{
	uint64_t send;

	(void)relay_bench_open_stream(bench, "/resume/x", id, "", -1);
	send = relay_bench_send(bench);
	ck_assert_uint_ne(send, 0);
	relay_bench_head(bench, send, 200, false);
	relay_bench_data(bench, send, "id: 1\ndata: x\n\n");
	return send;
}

START_TEST(broken_stream_does_not_go_on_at_another_software_version)
{
	uint64_t send;

	load_engine(bench, "d1", "v1");
	send = begin_stream("one");
	load_engine(bench, "d2", "v2");
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	ck_assert_uint_eq(relay_bench_send(bench), 0);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_ABORT), 1);
}
END_TEST

START_TEST(resumed_stream_does_not_go_on_at_another_software_version)
{
	uint64_t send;

	load_engine(bench, "d1", "v1");
	send = begin_stream("one");
	load_engine(bench, "d2", "v2");
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	load_record("v1", 1, 2, true);
	(void)relay_bench_open_stream(bench, "/resume/x", "two", "one", 1);
	ck_assert_uint_eq(relay_bench_send(bench), 0);
	relay_bench_wait(bench, 3 * DFF_SEC);
	ck_assert_uint_eq(relay_bench_send(bench), 0);
}
END_TEST

START_TEST(stream_of_unknown_software_version_does_not_go_on)
{
	load_engine(bench, "d1", "v1");
	load_engine(bench, "d2", "v2");
	(void)relay_bench_open_stream(bench, "/resume/x", "two", "one", 1);
	ck_assert_uint_eq(relay_bench_send(bench), 0);
	relay_bench_wait(bench, 3 * DFF_SEC);
	ck_assert_uint_eq(relay_bench_send(bench), 0);
}
END_TEST

/* Sends a stream to d1 of v1 while d2 of v2 is in service too. */
static uint64_t
begin_stream_before_two_versions(void)
{
	uint64_t send;

	load_engine(bench, "d1", "v1");
	(void)relay_bench_open_stream(bench, "/resume/x", "one", "", -1);
	send = relay_bench_send(bench);
	ck_assert_uint_ne(send, 0);
	load_engine(bench, "d2", "v2");
	return send;
}

/* Expects the second send of a stream at d2, which answers it with an event,
 * and its origin there. */
static void
expect_begin_at_second_engine(void)
{
	const dff_relay_effect_t *fx =
	    relay_bench_find(bench, DFF_RELAY_FX_SEND);
	uint64_t send;

	ck_assert_ptr_nonnull(fx);
	ck_assert_str_eq(fx->send.upstream, "d2");
	send = fx->send.send;
	relay_bench_head(bench, send, 200, false);
	relay_bench_data(bench, send, "id: 1\ndata: x\n\n");
	relay_bench_wait(bench, DFF_SEC);
	fx = relay_bench_find(bench, DFF_RELAY_FX_STORE_ORIGINS);
	ck_assert_ptr_nonnull(fx);
	ck_assert_uint_eq(fx->origins.count, 1);
	ck_assert_str_eq(fx->origins.rows[0].software, "v2");
}

START_TEST(rejected_stream_begins_at_another_software_version)
{
	uint64_t send = begin_stream_before_two_versions();

	relay_bench_head(bench, send, 503, true);
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	expect_begin_at_second_engine();
}
END_TEST

START_TEST(stream_that_broke_without_events_begins_at_another_software_version)
{
	uint64_t send = begin_stream_before_two_versions();

	relay_bench_head(bench, send, 200, false);
	relay_bench_data(bench, send, ": comment\n\nid: 1\ndata");
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	expect_begin_at_second_engine();
}
END_TEST

/* Resumes the stream "one" after its first event; returns the send, if any. */
static uint64_t
resume_stream(const char *id)
{
	(void)relay_bench_open_stream(bench, "/resume/x", id, "one", 1);
	return relay_bench_send(bench);
}

/* Two records of d1, as its process goes on to write them. */
static void
load_records_of_running_engine(void)
{
	load_record("v1", 1, 10, false);
	relay_bench_wait(bench, DFF_SEC);
	load_record("v1", 1, 11, false);
}

START_TEST(crashed_engine_resumes_no_stream_before_its_next_record)
{
	uint64_t send;

	load_engine(bench, "d1", "v1");
	send = begin_stream("one");
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	end_probe(DFF_PROBE_REFUSED);
	/* Written before the crash. */
	load_record("v1", 1, 2, false);
	relay_bench_wait(bench, 5 * DFF_SEC);
	ck_assert_uint_eq(resume_stream("two"), 0);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	load_records_of_running_engine();
	ck_assert_uint_ne(resume_stream("three"), 0);
}
END_TEST

START_TEST(records_of_before_an_outage_prove_no_software)
{
	uint64_t send;

	load_engine(bench, "d1", "v1");
	send = begin_stream("one");
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	end_probe(DFF_PROBE_REFUSED);
	relay_bench_wait(bench, 5 * DFF_SEC);
	/* Read together after the outage, or in an older copy of the store. */
	load_record("v1", 1, 2, false);
	load_record("v1", 1, 3, false);
	ck_assert_uint_eq(resume_stream("two"), 0);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
}
END_TEST

START_TEST(
    engine_without_a_probe_result_resumes_no_stream_before_its_next_record)
{
	uint64_t send;

	load_engine(bench, "d1", "v1");
	send = begin_stream("one");
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	end_probe(DFF_PROBE_INCONCLUSIVE);
	relay_bench_wait(bench, 2 * DFF_SEC);
	ck_assert_uint_eq(resume_stream("two"), 0);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	load_records_of_running_engine();
	ck_assert_uint_ne(resume_stream("three"), 0);
}
END_TEST

/* The send waits in the event loop for its moment. */
START_TEST(resumed_send_does_not_leave_for_an_engine_in_doubt)
{
	dff_relay_event_t event = {.type = DFF_RELAY_BEFORE_SEND};
	uint64_t first;
	uint64_t send;

	load_engine(bench, "d1", "v1");
	first = begin_stream("one");
	send = resume_stream("two");
	ck_assert_uint_ne(send, 0);
	relay_bench_end(bench, first, DFF_SEND_BROKEN, NULL);
	end_probe(DFF_PROBE_REFUSED);
	event.before_send = send;
	relay_bench_step(bench, &event);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_CANCEL), 1);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
}
END_TEST

/* The engine's statement for a send, or none at all if it does not answer. */
static void
identify(uint64_t send, bool answered, bool said, uint64_t started_ms)
{
	dff_relay_event_t event = {.type = DFF_RELAY_IDENTIFIED};

	event.identified.send = send;
	event.identified.answered = answered;
	event.identified.said = said;
	event.identified.started_ms = started_ms;
	relay_bench_step(bench, &event);
}

/* Resumes the stream "one" at d1, whose record is of the start 1; the answer has
 * an event and ends. */
static uint64_t
resume_with_one_event(void)
{
	const dff_relay_effect_t *fx;
	uint64_t send;

	load_engine(bench, "d1", "v1");
	send = begin_stream("one");
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_IDENTIFY), 0);
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	relay_bench_wait(bench, DFF_SEC);
	send = resume_stream("two");
	ck_assert_uint_ne(send, 0);
	relay_bench_head(bench, send, 200, false);
	fx = relay_bench_find(bench, DFF_RELAY_FX_IDENTIFY);
	ck_assert_ptr_nonnull(fx);
	ck_assert_uint_eq(fx->identify.send, send);
	ck_assert_str_eq(fx->identify.upstream, "d1");
	relay_bench_data(bench, send, "id: 2\ndata: x\n\nid: 3\nda");
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_FORWARD_DATA), 0);
	relay_bench_data(bench, send, "ta: x\n\n");
	relay_bench_end(bench, send, DFF_SEND_DONE, NULL);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_FORWARD_DATA), 0);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_FORWARD_END), 0);
	return send;
}

static void
expect_answer(bool forwarded)
{
	const dff_relay_effect_t *fx =
	    relay_bench_find(bench, DFF_RELAY_FX_FORWARD_DATA);

	ck_assert_int_eq(fx != NULL, forwarded);
	if (forwarded)
		ck_assert_uint_eq(fx->forward.len,
		    strlen("id: 2\ndata: x\n\nid: 3\ndata: x\n\n"));
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_FORWARD_END),
	    forwarded ? 1 : 0);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_ABORT), forwarded ? 0 : 1);
}

START_TEST(answer_of_the_recorded_process_goes_on_with_a_stream)
{
	identify(resume_with_one_event(), true, true, 1);
	expect_answer(true);
}
END_TEST

/* Nothing else tells that the record is of a process before. */
START_TEST(answer_of_another_process_does_not_go_on_with_a_stream)
{
	identify(resume_with_one_event(), true, true, 2);
	expect_answer(false);
	ck_assert_uint_eq(resume_stream("three"), 0);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
}
END_TEST

START_TEST(answer_of_a_process_that_cannot_be_asked_does_not_go_on)
{
	identify(resume_with_one_event(), false, false, 0);
	expect_answer(false);
}
END_TEST

START_TEST(record_counts_where_no_start_is_stated)
{
	identify(resume_with_one_event(), true, false, 0);
	expect_answer(true);
}
END_TEST

/* Another request finds no process at d1; then one answers there, and states
 * no start. Returns the send that goes on with the stream "one". */
static uint64_t
resume_after_refused_send(uint64_t record_seq)
{
	uint64_t send;

	load_engine(bench, "d1", "v1");
	relay_bench_end(bench, begin_stream("one"), DFF_SEND_DONE, NULL);
	(void)relay_bench_open_stream(bench, "/resume/x", "other", "", -1);
	send = relay_bench_send(bench);
	relay_bench_end(bench, send, DFF_SEND_UNSENT, NULL);
	relay_bench_wait(bench, 2 * DFF_SEC);
	if (record_seq != 0)
		load_record("v1", 1, record_seq, false);
	send = resume_stream("two");
	ck_assert_uint_ne(send, 0);
	relay_bench_head(bench, send, 200, false);
	relay_bench_data(bench, send, "id: 2\ndata: x\n\n");
	identify(send, true, false, 0);
	return send;
}

START_TEST(record_of_before_a_refused_send_does_not_count)
{
	(void)resume_after_refused_send(0);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_FORWARD_DATA), 0);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_ABORT), 1);
}
END_TEST

START_TEST(record_of_after_a_refused_send_counts)
{
	(void)resume_after_refused_send(2);
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_FORWARD_DATA), 1);
}
END_TEST

START_TEST(engine_listed_again_resumes_no_stream_before_its_next_record)
{
	dff_upstream_record_t removed = {.id = "d1", .removed = true};
	uint64_t send;

	load_engine(bench, "d1", "v1");
	send = begin_stream("one");
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	relay_bench_load_record(bench, &removed);
	relay_bench_wait(bench, 2 * DFF_SEC);
	load_record("v1", 1, 2, false);
	ck_assert_uint_eq(resume_stream("two"), 0);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	relay_bench_wait(bench, DFF_SEC);
	load_record("v1", 1, 3, false);
	ck_assert_uint_ne(resume_stream("three"), 0);
}
END_TEST

START_TEST(engine_restarted_under_its_id_resumes_no_stream_of_its_old_software)
{
	uint64_t send;

	load_engine(bench, "d1", "v1");
	send = begin_stream("one");
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	load_record("v2", 2, 1, false);
	ck_assert_uint_eq(resume_stream("two"), 0);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
}
END_TEST

START_TEST(event_of_a_restarted_engine_is_not_added_to_a_stream)
{
	uint64_t send;

	load_engine(bench, "d1", "v1");
	send = begin_stream("one");
	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	relay_bench_wait(bench, DFF_SEC);
	send = resume_stream("two");
	ck_assert_uint_ne(send, 0);
	relay_bench_head(bench, send, 200, false);
	load_record("v2", 2, 1, false);
	relay_bench_data(bench, send, "id: 2\ndata: x\n\n");
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_FORWARD_DATA), 0);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_ABORT), 1);
}
END_TEST

/* The store's answer to the last batch, which withdraws the origin of "one". */
static void
end_withdrawal(bool accepted)
{
	dff_relay_event_t event = {.type = DFF_RELAY_ORIGINS_STORED};
	const dff_relay_effect_t *fx;

	relay_bench_wait(bench, 20 * DFF_MSEC);
	fx = relay_bench_find(bench, DFF_RELAY_FX_STORE_ORIGINS);
	ck_assert_ptr_nonnull(fx);
	ck_assert_uint_eq(fx->origins.count, 1);
	ck_assert_str_eq(fx->origins.rows[0].software, "");
	event.stored.batch = fx->origins.batch;
	event.stored.accepted = accepted;
	relay_bench_step(bench, &event);
}

/* Begins the stream "one" at a process that had restarted with other software
 * before, as its record shows now. */
static uint64_t
begin_stream_around_a_restart(void)
{
	uint64_t send;

	load_engine(bench, "d1", "v1");
	send = begin_stream("one");
	relay_bench_wait(bench, 20 * DFF_MSEC);
	load_engine(bench, "d2", "v1");
	load_record("v2", 2, 1, false);
	return send;
}

START_TEST(stream_is_not_broken_off_before_its_origin_is_withdrawn)
{
	uint64_t send = begin_stream_around_a_restart();

	relay_bench_data(bench, send, "id: 2\ndata: x\n\n");
	end_withdrawal(false);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_ABORT), 0);
	relay_bench_wait(bench, 200 * DFF_MSEC);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_ABORT), 0);
	relay_bench_wait(bench, 300 * DFF_MSEC);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_ABORT), 1);
}
END_TEST

START_TEST(stream_that_broke_after_a_restart_does_not_go_on)
{
	uint64_t send = begin_stream_around_a_restart();

	relay_bench_end(bench, send, DFF_SEND_BROKEN, NULL);
	ck_assert_uint_eq(relay_bench_send(bench), 0);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_ABORT), 0);
	end_withdrawal(true);
	ck_assert_uint_eq(relay_bench_send(bench), 0);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_ABORT), 1);
}
END_TEST

START_TEST(stream_begun_around_a_restart_does_not_go_on)
{
	uint64_t send;

	load_engine(bench, "d1", "v1");
	send = begin_stream("one");
	load_engine(bench, "d2", "v1");
	load_record("v2", 2, 1, false);
	relay_bench_data(bench, send, "id: 2\ndata: x\n\n");
	ck_assert_uint_eq(
	    relay_bench_count(bench, DFF_RELAY_FX_FORWARD_DATA), 0);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_ABORT), 0);
	end_withdrawal(true);
	ck_assert_uint_eq(relay_bench_count(bench, DFF_RELAY_FX_ABORT), 1);
	ck_assert_uint_eq(resume_stream("two"), 0);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
}
END_TEST

/* Lets time pass while the source of records answers. */
static void
follow_source(dff_time_t time)
{
	const dff_relay_event_t answered = {.type = DFF_RELAY_SOURCE_ANSWERED};

	for (dff_time_t t = 0; t < time; t += DFF_SEC) {
		relay_bench_wait(bench, DFF_SEC);
		relay_bench_step(bench, &answered);
	}
}

/* Resumes a stream whose caller names no attempt. */
static uint64_t
resume_unnamed(void)
{
	(void)relay_bench_open_stream(bench, "/resume/x", "two", "", 1);
	return relay_bench_send(bench);
}

START_TEST(stream_goes_on_unnamed_where_one_software_version_ran)
{
	load_engine(bench, "d1", "v1");
	follow_source(20 * DFF_SEC);
	ck_assert_uint_eq(resume_unnamed(), 0);
	ck_assert_int_eq(relay_bench_answer(bench), 503);
	follow_source(20 * DFF_SEC);
	ck_assert_uint_ne(resume_unnamed(), 0);
	ck_assert_uint_ne(resume_stream("three"), 0);
}
END_TEST

START_TEST(stream_of_unknown_origin_does_not_go_on_after_a_release)
{
	load_engine(bench, "d1", "v1");
	follow_source(40 * DFF_SEC);
	load_engine(bench, "d2", "v2");
	ck_assert_uint_eq(resume_unnamed(), 0);
	/* The engine of the old version leaves. */
	load_record("v1", 1, 2, true);
	follow_source(20 * DFF_SEC);
	ck_assert_uint_eq(resume_unnamed(), 0);
}
END_TEST

START_TEST(stream_of_unknown_origin_does_not_go_on_after_an_upgrade_in_place)
{
	load_engine(bench, "d1", "v1");
	follow_source(40 * DFF_SEC);
	load_record("v2", 2, 1, false);
	follow_source(20 * DFF_SEC);
	ck_assert_uint_eq(resume_unnamed(), 0);
	follow_source(20 * DFF_SEC);
	ck_assert_uint_ne(resume_unnamed(), 0);
}
END_TEST

START_TEST(
    stream_of_unknown_origin_does_not_go_on_after_an_outage_of_the_source)
{
	load_engine(bench, "d1", "v1");
	follow_source(40 * DFF_SEC);
	relay_bench_wait(bench, 10 * DFF_SEC);
	follow_source(10 * DFF_SEC);
	ck_assert_uint_eq(resume_unnamed(), 0);
}
END_TEST

START_TEST(stream_of_unknown_origin_does_not_go_on_after_its_route_moved)
{
	dff_relay_event_t event = {.type = DFF_RELAY_ROUTING};
	dff_route_t *route;

	load_engine(bench, "d1", "v1");
	relay_bench_load_software(
	    bench, "e1", "next", DFF_ROLE_DECODE, "a", 1, "v1");
	follow_source(40 * DFF_SEC);
	event.routing = relay_bench_new_routing(2);
	route = event.routing->routes->pdata[3];
	ck_assert_str_eq(route->prefix, "/resume/");
	g_strlcpy(g_array_index(route->shares, dff_route_share_t, 0).pool,
	    "next", DFF_NAME_MAX);
	relay_bench_step(bench, &event);
	dff_routing_drop(event.routing);
	ck_assert_uint_eq(resume_unnamed(), 0);
	follow_source(40 * DFF_SEC);
	ck_assert_uint_ne(resume_unnamed(), 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_stream_software");
	TCase *tcase = tcase_create("relay_stream_software");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(
	    tcase, broken_stream_does_not_go_on_at_another_software_version);
	tcase_add_test(
	    tcase, resumed_stream_does_not_go_on_at_another_software_version);
	tcase_add_test(
	    tcase, stream_of_unknown_software_version_does_not_go_on);
	tcase_add_test(
	    tcase, rejected_stream_begins_at_another_software_version);
	tcase_add_test(tcase,
	    stream_that_broke_without_events_begins_at_another_software_version);
	tcase_add_test(
	    tcase, crashed_engine_resumes_no_stream_before_its_next_record);
	tcase_add_test(tcase, records_of_before_an_outage_prove_no_software);
	tcase_add_test(tcase,
	    engine_without_a_probe_result_resumes_no_stream_before_its_next_record);
	tcase_add_test(
	    tcase, resumed_send_does_not_leave_for_an_engine_in_doubt);
	tcase_add_test(
	    tcase, answer_of_the_recorded_process_goes_on_with_a_stream);
	tcase_add_test(
	    tcase, answer_of_another_process_does_not_go_on_with_a_stream);
	tcase_add_test(
	    tcase, answer_of_a_process_that_cannot_be_asked_does_not_go_on);
	tcase_add_test(tcase, record_counts_where_no_start_is_stated);
	tcase_add_test(tcase, record_of_before_a_refused_send_does_not_count);
	tcase_add_test(tcase, record_of_after_a_refused_send_counts);
	tcase_add_test(tcase,
	    engine_listed_again_resumes_no_stream_before_its_next_record);
	tcase_add_test(tcase,
	    engine_restarted_under_its_id_resumes_no_stream_of_its_old_software);
	tcase_add_test(
	    tcase, event_of_a_restarted_engine_is_not_added_to_a_stream);
	tcase_add_test(tcase, stream_begun_around_a_restart_does_not_go_on);
	tcase_add_test(
	    tcase, stream_is_not_broken_off_before_its_origin_is_withdrawn);
	tcase_add_test(tcase, stream_that_broke_after_a_restart_does_not_go_on);
	tcase_add_test(
	    tcase, stream_goes_on_unnamed_where_one_software_version_ran);
	tcase_add_test(
	    tcase, stream_of_unknown_origin_does_not_go_on_after_a_release);
	tcase_add_test(tcase,
	    stream_of_unknown_origin_does_not_go_on_after_an_upgrade_in_place);
	tcase_add_test(tcase,
	    stream_of_unknown_origin_does_not_go_on_after_an_outage_of_the_source);
	tcase_add_test(tcase,
	    stream_of_unknown_origin_does_not_go_on_after_its_route_moved);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
