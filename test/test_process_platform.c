#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fake/netloop.h"
#include "net/platform.h"

#define ADDR "127.0.0.1:21121"

/* A platform with the answers that the test sets. */
typedef struct rig {
	netloop_t net;
	dff_httpd_t *httpd;
	dff_platform_t *platform;
	const char *vms;
	const char
	    *reads[4]; /* answers to reads, in order; later ones get none */
	size_t next_read;
	int append_status;
	const char *append_answer;
	char *last_path;
	char *last_from;
	char *last_body;
	int requests;
} rig_t;

static void
answer(dff_httpd_req_t *req, int status, const char *text)
{
	dff_httpd_answer(req, status, "", text, strlen(text));
}

static void
on_read(rig_t *rig, dff_httpd_req_t *req)
{
	const char *text = NULL;

	g_free(rig->last_from);
	rig->last_from = g_strdup(dff_httpd_query(req, "from"));
	if (rig->next_read < G_N_ELEMENTS(rig->reads))
		text = rig->reads[rig->next_read++];
	if (text == NULL)
		return;
	answer(req, text[0] == '{' ? 200 : 503, text);
}

static void
on_request(void *arg, dff_httpd_req_t *req)
{
	rig_t *rig = arg;
	size_t len;
	const char *data = dff_httpd_body(req, &len);

	if (strcmp(dff_httpd_path(req), "/vms") == 0) {
		if (rig->vms != NULL)
			answer(req, 200, rig->vms);
		return;
	}
	rig->requests++;
	g_free(rig->last_path);
	rig->last_path = g_strdup(dff_httpd_path(req));
	if (strcmp(dff_httpd_method(req), "GET") == 0) {
		on_read(rig, req);
		return;
	}
	g_free(rig->last_body);
	rig->last_body = g_strndup(data, len);
	if (rig->append_status != 0)
		answer(req, rig->append_status, rig->append_answer);
}

static void
rig_open(rig_t *rig, const char *vms)
{
	const dff_httpd_config_t config = {.addr = ADDR,
	    .body_max = 1 << 20,
	    .unread_max = 1 << 20,
	    .header_time = DFF_SEC};
	const dff_httpd_handlers_t handlers = {on_request, NULL};
	const dff_platform_config_t settings = {.addr = ADDR,
	    .vms_interval = 10 * DFF_SEC,
	    .poll_wait = 100 * DFF_MSEC,
	    .idle_timeout = 200 * DFF_MSEC};
	dff_sink_t sink;

	memset(rig, 0, sizeof(*rig));
	rig->vms = vms;
	netloop_open(&rig->net);
	sink = netloop_sink(&rig->net);
	ck_assert_int_eq(dff_httpd_new(rig->net.ctx, &rig->net.loop, &config,
			     &handlers, rig, &rig->httpd),
	    0);
	rig->platform = dff_platform_new(
	    rig->net.ctx, &rig->net.loop, rig->net.httpc, &settings, &sink);
}

static void
rig_close(rig_t *rig)
{
	dff_platform_drop(rig->platform);
	dff_httpd_drop(rig->httpd);
	g_free(rig->last_path);
	g_free(rig->last_from);
	g_free(rig->last_body);
	netloop_close(&rig->net);
}

static void
follow(rig_t *rig, uint64_t from)
{
	const dff_fx_log_follow_t fx = {
	    .stream = DFF_STREAM_CLAIMS, .from = from};

	dff_platform_follow(rig->platform, &fx);
}

START_TEST(platform_follows_a_stream)
{
	rig_t rig;

	rig_open(&rig, NULL);
	/* "YWI=" is "ab" and "Yw==" is "c". */
	rig.reads[0] = "{\"first\":4,\"next\":6,\"records\":["
		       "{\"offset\":4,\"time_ms\":70,\"data\":\"YWI=\"},"
		       "{\"offset\":5,\"time_ms\":71,\"data\":\"Yw==\"}]}";
	rig.reads[1] = "{\"first\":4,\"next\":6,\"records\":[]}";
	follow(&rig, 1);
	netloop_expect(&rig.net, 5,
	    "head claims 4 6\nrecord claims 4 ab 70\nrecord claims 5 c 71\n"
	    "head claims 4 6\nhead claims 4 6\n");
	netloop_until(&rig.net, &rig.requests, 3);
	ck_assert_str_eq(rig.last_path, "/log/claims");
	ck_assert_str_eq(rig.last_from, "6");
	rig_close(&rig);
}
END_TEST

START_TEST(platform_reports_that_the_log_is_down)
{
	rig_t rig;

	rig_open(&rig, NULL);
	rig.reads[0] = "down";
	rig.reads[1] = "{\"first\":1,\"records\":[]}";
	rig.reads[2] = "{\"first\":1,\"next\":1,\"records\":[]}";
	follow(&rig, 1);
	/* Refused, invalid, valid, then without an answer. */
	netloop_expect(&rig.net, 4,
	    "down claims\ndown claims\nhead claims 1 1\ndown claims\n");
	rig_close(&rig);
}
END_TEST

START_TEST(platform_reports_no_record_twice)
{
	rig_t rig;

	rig_open(&rig, NULL);
	rig.reads[0] = "{\"first\":1,\"next\":3,\"records\":["
		       "{\"offset\":2,\"time_ms\":70,\"data\":\"YWI=\"},"
		       "{\"offset\":2,\"time_ms\":70,\"data\":\"YWI=\"}]}";
	follow(&rig, 2);
	netloop_expect(&rig.net, 3,
	    "head claims 1 3\nrecord claims 2 ab 70\ndown claims\n");
	rig_close(&rig);
}
END_TEST

START_TEST(platform_follow_replaces_the_previous_one)
{
	rig_t rig;

	rig_open(&rig, NULL);
	follow(&rig, 1);
	netloop_until(&rig.net, &rig.requests, 1);
	rig.next_read = 0;
	rig.reads[0] = "{\"first\":1,\"next\":9,\"records\":[]}";
	follow(&rig, 9);
	netloop_expect(&rig.net, 1, "head claims 1 9\n");
	ck_assert_str_eq(rig.last_from, "9");
	rig_close(&rig);
}
END_TEST

/* Answers to an append, and the event that must follow. */
static const struct {
	int status;
	const char *answer;
	const char *line;
} appends[] = {
    {200, "{\"offset\":12}", "appended 3 0 12\n"},
    {429, "{}", "appended 3 1 0\n"},
    {503, "{}", "appended 3 1 0\n"},
    {500, "{}", "appended 3 2 0\n"},
    {200, "hello", "appended 3 2 0\n"},
    {0, "", "appended 3 2 0\n"},
};

START_TEST(platform_append_outcomes)
{
	const dff_fx_log_append_t fx = {.id = 3,
	    .stream = DFF_STREAM_AUTHORITY,
	    .data = (const uint8_t *)"abc",
	    .len = 3};
	rig_t rig;

	rig_open(&rig, NULL);
	rig.append_status = appends[_i].status;
	rig.append_answer = appends[_i].answer;
	dff_platform_append(rig.platform, &fx);
	netloop_expect(&rig.net, 1, appends[_i].line);
	ck_assert_str_eq(rig.last_path, "/log/authority");
	ck_assert_str_eq(rig.last_body, "abc");
	/* Nothing listens: the append certainly has no effect. */
	dff_httpd_drop(rig.httpd);
	rig.httpd = NULL;
	netloop_run(&rig.net, 50 * DFF_MSEC);
	g_string_truncate(rig.net.events, 0);
	rig.net.count = 0;
	dff_platform_append(rig.platform, &fx);
	netloop_expect(&rig.net, 1, "appended 3 1 0\n");
	rig_close(&rig);
}
END_TEST

START_TEST(platform_reads_the_vm_list)
{
	rig_t rig;

	rig_open(&rig,
	    "{\"vms\":["
	    "{\"id\":\"e1\",\"addr\":\"127.0.0.1:1\",\"domain\":\"d\","
	    "\"kind\":\"entry\",\"incarnation\":1,\"state\":\"live\"},"
	    "{\"id\":\"m1\",\"addr\":\"127.0.0.1:2\",\"domain\":\"d\","
	    "\"pool\":\"p\",\"kind\":\"engine\",\"incarnation\":1,"
	    "\"state\":\"leaving\"},"
	    "{\"id\":\"m2\",\"addr\":\"nowhere\",\"domain\":\"d\","
	    "\"pool\":\"p\",\"kind\":\"engine\",\"incarnation\":1,"
	    "\"state\":\"live\"},"
	    "{\"id\":\"m3\"},7]}");
	netloop_expect(&rig.net, 1, "vms 2\n");
	rig_close(&rig);
}
END_TEST

/* An entry that cannot be parsed made the whole list unreadable, at each read. */
static const char *const odd_entries[] = {
    "{\"id\":\"odd\",\"addr\":\"127.0.0.1:1\",\"domain\":\"d\","
    "\"kind\":\"entry\",\"incarnation\":99999999999999999999,"
    "\"state\":\"live\"}",
    "{\"id\":\"odd\",\"addr\":\"127.0.0.1:1\",\"domain\":\"d\","
    "\"kind\":\"entry\",\"incarnation\":1e999,\"state\":\"live\"}",
    "{\"id\":\"odd\",\"addr\":\"127.0.0.1:65536\",\"domain\":\"d\","
    "\"kind\":\"entry\",\"incarnation\":1,\"state\":\"live\"}",
    "{\"id\":\"o\\\"],}{\",\"x\":\"\xff\"}", "{\"id\":nothing}",
    NULL, /* nested deeply */
};

START_TEST(platform_reads_the_vm_list_beside_odd_entries)
{
	rig_t rig;
	GString *text = g_string_new("{\"more\":[{}],\"vms\" : [ ");

	if (odd_entries[_i] != NULL)
		g_string_append(text, odd_entries[_i]);
	else {
		for (int i = 0; i < 100000; i++)
			g_string_append_c(text, '[');
		for (int i = 0; i < 100000; i++)
			g_string_append_c(text, ']');
	}
	g_string_append(text,
	    ",{\"id\":\"e1\",\"addr\":\"127.0.0.1:1\",\"domain\":\"d\","
	    "\"kind\":\"entry\",\"incarnation\":1,\"state\":\"live\"} ] }\n");
	rig_open(&rig, text->str);
	netloop_expect(&rig.net, 1, "vms 1\n");
	rig_close(&rig);
	(void)g_string_free(text, TRUE);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("platform");
	TCase *tcase = tcase_create("platform");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, platform_follows_a_stream);
	tcase_add_test(tcase, platform_reports_that_the_log_is_down);
	tcase_add_test(tcase, platform_reports_no_record_twice);
	tcase_add_test(tcase, platform_follow_replaces_the_previous_one);
	tcase_add_loop_test(
	    tcase, platform_append_outcomes, 0, G_N_ELEMENTS(appends));
	tcase_add_test(tcase, platform_reads_the_vm_list);
	tcase_add_loop_test(tcase,
	    platform_reads_the_vm_list_beside_odd_entries, 0,
	    G_N_ELEMENTS(odd_entries));
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
