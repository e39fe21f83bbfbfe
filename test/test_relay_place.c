/*
 * Placement of one prompt: which engine reads it and from which engine cached
 * parts are fetched. The tests set the engines' backlog and cache directly.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "relay/place.h"

#define POOL "llm"

static upstreams_t *upstreams;
static pool_stats_t stats;
static placement_t place;

static upstream_t *
add_engine_of(const char *id, dff_role_t role, const char *software)
{
	dff_upstream_record_t news = {.pool = POOL,
	    .addr = "10.0.0.1:80",
	    .domain = "a",
	    .role = role,
	    .slots = 64,
	    .started_ms = 1,
	    .seq = 1};
	dff_handle_t handle;

	g_strlcpy(news.id, id, sizeof(news.id));
	g_strlcpy(news.software, software, sizeof(news.software));
	(void)upstreams_apply_record(upstreams, &news, 0, 0, &handle);
	return upstreams_get(upstreams, handle);
}

static upstream_t *
add_engine(const char *id, dff_role_t role)
{
	return add_engine_of(id, role, "v1");
}

static void
setup(void)
{
	upstreams = upstreams_new();
	pool_stats_init(&stats);
}

static void
teardown(void)
{
	upstreams_drop(upstreams);
}

static dff_prompt_t
make_prompt(uint32_t shared, uint32_t own)
{
	static uint64_t own_id = 100;

	return (dff_prompt_t){.parts = {{1, shared}, {++own_id, own}},
	    .count = 2,
	    .tokens = shared + own,
	    .tokens_out = 100};
}

/* Returns the id of the engine that is to read the prompt. */
static const char *
place_prompt(const dff_prompt_t *prompt, dff_time_t now)
{
	const dff_pool_t spec = {.name = POOL,
	    .slots = 64,
	    .kv_tokens = 500000,
	    .token_bytes = 300000,
	    .link_mbps = 3e6,
	    .handle_lifetime = 5 * DFF_SEC};
	const placement_request_t request = {.pool = POOL,
	    .software = "",
	    .domain = "a",
	    .pool_config = &spec,
	    .prompt = prompt,
	    .cross_domain_latency = 5 * DFF_MSEC,
	    .target_gap = 150 * DFF_MSEC};

	place_request(upstreams, &stats, &request, now, &place);
	ck_assert_uint_ne(place.upstream, 0);
	return upstreams_get(upstreams, place.upstream)->record.id;
}

/* A decode engine with an empty queue would read the prompt sooner, but it
 * also has answers to decode. */
START_TEST(long_prompt_waits_for_a_prefill_engine)
{
	dff_prompt_t prompt = make_prompt(10, 6000);
	upstream_t *reader = add_engine("reader", DFF_ROLE_PREFILL);

	(void)add_engine("decoder", DFF_ROLE_DECODE);
	reader->backlog = 10000;
	ck_assert_str_eq(place_prompt(&prompt, 0), "reader");
	ck_assert_int_eq(place.stage, DFF_STAGE_PREFILL);
}
END_TEST

START_TEST(short_prompt_is_read_by_a_decode_engine)
{
	dff_prompt_t prompt = make_prompt(10, 150);

	(void)add_engine("reader", DFF_ROLE_PREFILL);
	(void)add_engine("decoder", DFF_ROLE_DECODE);
	ck_assert_str_eq(place_prompt(&prompt, 0), "decoder");
	ck_assert_int_eq(place.stage, DFF_STAGE_WHOLE);
}
END_TEST

/* Place a prompt whose shared part was read 0.7 s ago by an engine that has
 * @backlog tokens queued, beside an idle engine and a decode engine. */
static const char *
place_beside_cached(uint64_t backlog, upstream_t **keeper)
{
	dff_prompt_t before = make_prompt(13000, 100);
	dff_prompt_t prompt = make_prompt(13000, 4000);

	*keeper = add_engine("keeper", DFF_ROLE_PREFILL);
	(void)add_engine("idle", DFF_ROLE_PREFILL);
	(void)add_engine("decoder", DFF_ROLE_DECODE);
	upstream_cache_prompt(*keeper, &before, 500000, 0);
	upstream_note_prompt_read(*keeper, &before, 300 * DFF_MSEC);
	(*keeper)->backlog = backlog;
	return place_prompt(&prompt, DFF_SEC);
}

/* The idle engine fetches the shared part from the busy one. */
START_TEST(cached_part_is_fetched_by_an_idle_engine)
{
	upstream_t *keeper;

	ck_assert_str_eq(place_beside_cached(40000, &keeper), "idle");
	ck_assert_ptr_eq(upstreams_get(upstreams, place.donor), keeper);
	ck_assert_uint_le(place.uncached, 4000);
}
END_TEST

/* A second copy evicts other parts, so it is not made to avoid a short queue.
 */
START_TEST(cached_part_is_not_copied_for_a_short_queue)
{
	upstream_t *keeper;

	ck_assert_str_eq(place_beside_cached(4000, &keeper), "keeper");
	ck_assert_uint_eq(place.donor, 0);
}
END_TEST

/* A part that is still being read cannot be fetched: the request waits at the
 * engine that reads it. */
START_TEST(part_that_is_being_read_is_waited_for)
{
	dff_prompt_t before = make_prompt(13000, 100);
	dff_prompt_t prompt = make_prompt(13000, 4000);
	upstream_t *keeper = add_engine("keeper", DFF_ROLE_PREFILL);

	(void)add_engine("idle", DFF_ROLE_PREFILL);
	(void)add_engine("decoder", DFF_ROLE_DECODE);
	upstream_cache_prompt(keeper, &before, 500000, 0);
	keeper->backlog = 13500;
	ck_assert_str_eq(place_prompt(&prompt, 20 * DFF_MSEC), "keeper");
	ck_assert_uint_eq(place.donor, 0);
}
END_TEST

/*
 * Reading a long prompt at a decode engine would pause its streams for too
 * long. The prompt waits for a prefill engine although a decode engine would
 * read it sooner.
 */
START_TEST(long_prompt_avoids_engines_with_running_streams)
{
	dff_prompt_t prompt = make_prompt(10, 3000);
	upstream_t *reader = add_engine("reader", DFF_ROLE_PREFILL);
	upstream_t *decoder = add_engine("decoder", DFF_ROLE_DECODE);

	reader->backlog = 17000;
	decoder->running = 16;
	/* No stream has paused yet: only the time decides. */
	ck_assert_str_eq(place_prompt(&prompt, 0), "decoder");
	for (int i = 0; i < 100; i++)
		pool_stats_add_stream(&stats, i % 4 == 0);
	ck_assert_str_eq(place_prompt(&prompt, 0), "reader");
	ck_assert_int_eq(place.stage, DFF_STAGE_PREFILL);
	/* A short one is read within the tolerated pause. */
	prompt = make_prompt(10, 300);
	ck_assert_str_eq(place_prompt(&prompt, 0), "decoder");
	/* Without running streams there is none to delay. */
	prompt = make_prompt(10, 3000);
	decoder->running = 0;
	ck_assert_str_eq(place_prompt(&prompt, 0), "decoder");
}
END_TEST

/* The measured speed of an engine affects the next placement. */
START_TEST(slow_engine_gets_less)
{
	dff_prompt_t prompt = make_prompt(10, 6000);
	upstream_t *slow = add_engine("slow", DFF_ROLE_PREFILL);
	const char *id;

	(void)add_engine("fast", DFF_ROLE_PREFILL);
	(void)add_engine("decoder", DFF_ROLE_DECODE);
	for (int i = 0; i < 10; i++)
		pool_stats_add_prefill(
		    &stats, slow, 0, 6000, 600 * DFF_MSEC, 0);
	id = place_prompt(&prompt, 0);
	ck_assert_str_eq(id, "fast");
}
END_TEST

START_TEST(cached_part_is_fetched_from_the_same_software_version)
{
	dff_prompt_t before = make_prompt(13000, 100);
	dff_prompt_t prompt = make_prompt(13000, 4000);
	upstream_t *same = add_engine_of("same", DFF_ROLE_PREFILL, "v2");
	upstream_t *other = add_engine_of("other", DFF_ROLE_PREFILL, "v1");

	(void)add_engine_of("idle", DFF_ROLE_PREFILL, "v2");
	(void)add_engine_of("decoder", DFF_ROLE_DECODE, "v2");
	upstream_cache_prompt(other, &before, 500000, 0);
	upstream_note_prompt_read(other, &before, 300 * DFF_MSEC);
	other->backlog = 40000;
	same->backlog = 40000;
	ck_assert_str_eq(place_prompt(&prompt, DFF_SEC), "idle");
	ck_assert_uint_eq(place.donor, 0);
	upstream_cache_prompt(same, &before, 500000, 0);
	upstream_note_prompt_read(same, &before, 300 * DFF_MSEC);
	ck_assert_str_eq(place_prompt(&prompt, DFF_SEC), "idle");
	ck_assert_ptr_eq(upstreams_get(upstreams, place.donor), same);
}
END_TEST

/* Without a decode engine of its version, a prefill engine is of no use. */
START_TEST(prompt_is_not_handed_over_to_another_software_version)
{
	dff_prompt_t prompt = make_prompt(10, 6000);
	upstream_t *reader = add_engine_of("reader", DFF_ROLE_PREFILL, "v2");

	(void)add_engine_of("old", DFF_ROLE_DECODE, "v1");
	ck_assert_str_eq(place_prompt(&prompt, 0), "old");
	ck_assert_int_eq(place.stage, DFF_STAGE_WHOLE);
	(void)add_engine_of("new", DFF_ROLE_DECODE, "v2");
	ck_assert_ptr_nonnull(reader);
	ck_assert_str_eq(place_prompt(&prompt, 0), "reader");
	ck_assert_int_eq(place.stage, DFF_STAGE_PREFILL);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("relay_place");
	TCase *tcase = tcase_create("relay_place");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, long_prompt_waits_for_a_prefill_engine);
	tcase_add_test(tcase, short_prompt_is_read_by_a_decode_engine);
	tcase_add_test(tcase, cached_part_is_fetched_by_an_idle_engine);
	tcase_add_test(tcase, cached_part_is_not_copied_for_a_short_queue);
	tcase_add_test(tcase, part_that_is_being_read_is_waited_for);
	tcase_add_test(tcase, long_prompt_avoids_engines_with_running_streams);
	tcase_add_test(tcase, slow_engine_gets_less);
	tcase_add_test(
	    tcase, cached_part_is_fetched_from_the_same_software_version);
	tcase_add_test(
	    tcase, prompt_is_not_handed_over_to_another_software_version);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
