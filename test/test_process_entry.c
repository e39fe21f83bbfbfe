#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jansson.h>

#include "dragonflyfall/program.h"
#include "fake/netloop.h"
#include "fake/process.h"

#define PLATFORM    "127.0.0.1:21200"
#define ENTRY	    "127.0.0.1:21201"
#define ENTRY_PORT  21201
#define ENTRY_PEER  "127.0.0.1:21202"
#define ENTRY2	    "127.0.0.1:21203"
#define ENTRY2_PEER "127.0.0.1:21204"
#define PLACER	    "127.0.0.1:21205"
#define ENGINE	    "127.0.0.1:21211"
#define ENGINE2	    "127.0.0.1:21212"
#define SERVICE	    "127.0.0.1:21221"
#define OWNER	    "authorization: Bearer katalyst-demo\r\n"

/* A small fleet in separate processes. */
typedef struct fleet {
	netloop_t net;
	process_t platform;
	process_t engine;
	process_t engine2;
	process_t service;
	process_t entry;
	process_t entry2;
	process_t placer;
	char vms[256];
} fleet_t;

static const char vms[] =
    "{\"vms\":["
    "{\"id\":\"e1\",\"addr\":\"" ENTRY_PEER "\",\"domain\":\"d1\","
    "\"pool\":\"\",\"kind\":\"entry\",\"incarnation\":1,\"state\":\"live\"},"
    "{\"id\":\"e2\",\"addr\":\"" ENTRY2_PEER "\",\"domain\":\"d2\","
    "\"pool\":\"\",\"kind\":\"entry\",\"incarnation\":1,\"state\":\"live\"},"
    "{\"id\":\"m1\",\"addr\":\"" ENGINE "\",\"domain\":\"d1\","
    "\"pool\":\"assessor-llm\",\"kind\":\"engine\",\"incarnation\":1,"
    "\"state\":\"live\"},"
    "{\"id\":\"m2\",\"addr\":\"" ENGINE2 "\",\"domain\":\"d2\","
    "\"pool\":\"assessor-llm\",\"kind\":\"engine\",\"incarnation\":1,"
    "\"state\":\"live\"},"
    "{\"id\":\"s1\",\"addr\":\"" SERVICE "\",\"domain\":\"d1\","
    "\"pool\":\"yard-ledger\",\"kind\":\"service\",\"incarnation\":1,"
    "\"state\":\"live\"}]}";

static void
start_engine(process_t *process, const char *addr, const char *id,
    const char *domain, unsigned prefill_us)
{
	process_start(process,
	    "dff-engine --addr %s --id %s --domain %s --model assessor "
	    "--model-version 7 --check-fence=true --prefill-us %u "
	    "--report-lag 50",
	    addr, id, domain, prefill_us);
}

static void
start_entry(process_t *process, const char *id, const char *domain,
    const char *listen, const char *peer)
{
	process_start(process,
	    "dff-entry --id %s --domain %s --listen %s --peer-listen %s "
	    "--platform " PLATFORM " --load-every 50 --request-time 500 "
	    "--body-max 200000 --drain-time 5000",
	    id, domain, listen, peer);
}

/* @prefill_us makes a prefill as long as a test needs. */
static void
fleet_open(fleet_t *fleet, unsigned prefill_us)
{
	char *catalogue = read_file("catalogues/katalyst.conf");

	memset(fleet, 0, sizeof(*fleet));
	netloop_open(&fleet->net);
	g_snprintf(fleet->vms, sizeof(fleet->vms), "%s/dff-vms-%d.json",
	    g_get_tmp_dir(), (int)getpid());
	ck_assert(g_file_set_contents(fleet->vms, vms, -1, NULL));
	process_start(&fleet->platform,
	    "dff-platform --addr " PLATFORM " --vms %s", fleet->vms);
	start_engine(&fleet->engine, ENGINE, "m1", "d1", prefill_us);
	start_engine(&fleet->engine2, ENGINE2, "m2", "d2", prefill_us);
	process_start(
	    &fleet->service, "dff-service --addr " SERVICE " --id s1");
	start_entry(&fleet->entry, "e1", "d1", ENTRY, ENTRY_PEER);
	http_wait(&fleet->net, PLATFORM, "/vms", 200);
	publish(&fleet->net, PLATFORM, "edit-1", 0, catalogue);
	http_wait(&fleet->net, ENTRY, "/healthz", 200);
	http_wait(&fleet->net, ENGINE, "/v1/state", 200);
	http_wait(&fleet->net, ENGINE2, "/v1/state", 200);
	http_wait(&fleet->net, SERVICE, "/load", 200);
	/* Until reports of all upstreams have come. */
	netloop_run(&fleet->net, 300 * DFF_MSEC);
	g_free(catalogue);
}

static void
fleet_close(fleet_t *fleet)
{
	ck_assert_int_eq(process_stop(&fleet->placer, SIGTERM), 0);
	ck_assert_int_eq(process_stop(&fleet->entry2, SIGTERM), 0);
	ck_assert_int_eq(process_stop(&fleet->entry, SIGTERM), 0);
	ck_assert_int_eq(process_stop(&fleet->engine, SIGTERM), 0);
	ck_assert_int_eq(process_stop(&fleet->engine2, SIGTERM), 0);
	ck_assert_int_eq(process_stop(&fleet->service, SIGTERM), 0);
	ck_assert_int_eq(process_stop(&fleet->platform, SIGTERM), 0);
	(void)unlink(fleet->vms);
	netloop_close(&fleet->net);
}

static void
ask(fleet_t *fleet, const char *headers, const char *body, reply_t *reply)
{
	http_call(&fleet->net, ENTRY, "/v1/completions", headers, body, reply);
}

/* A counter of a metrics page. */
static long
metric(fleet_t *fleet, const char *addr, const char *name)
{
	char *start = g_strdup_printf("\n%s ", name);
	const char *found;
	long value = -1;
	reply_t reply;

	http_call(&fleet->net, addr, "/metrics", NULL, NULL, &reply);
	found = strstr(reply.body, start);
	if (found != NULL)
		value = strtol(found + strlen(start), NULL, 10);
	reply_clear(&reply);
	g_free(start);
	return value;
}

/* Requests that an engine runs or queues. */
static int
engine_running(fleet_t *fleet, const char *addr)
{
	reply_t reply;
	json_t *body;
	int running;

	http_call(&fleet->net, addr, "/v1/state", NULL, NULL, &reply);
	body = json_loads(reply.body, 0, NULL);
	running = (int)json_integer_value(json_object_get(body, "running"));
	json_decref(body);
	reply_clear(&reply);
	return running;
}

static int
all_running(fleet_t *fleet)
{
	return engine_running(fleet, ENGINE) + engine_running(fleet, ENGINE2);
}

static void
wait_running(fleet_t *fleet, int wanted)
{
	while (all_running(fleet) != wanted)
		netloop_run(&fleet->net, 20 * DFF_MSEC);
}

START_TEST(entry_answers_whole_and_streamed)
{
	char *text = NULL;
	json_t *body;
	fleet_t fleet;
	reply_t reply;

	fleet_open(&fleet, 60);
	ask(&fleet, OWNER,
	    "{\"model\":\"serial-lookup\",\"prompt\":\"one two\","
	    "\"max_tokens\":4}",
	    &reply);
	ck_assert_msg(reply.status == 200, "%s", reply.body);
	body = json_loads(reply.body, 0, NULL);
	text = g_strdup(json_string_value(json_object_get(body, "text")));
	ck_assert_ptr_nonnull(text);
	ck_assert_str_eq(
	    json_string_value(json_object_get(body, "finish")), "length");
	json_decref(body);
	reply_clear(&reply);
	ask(&fleet, OWNER,
	    "{\"model\":\"serial-lookup\",\"prompt\":\"one two\","
	    "\"max_tokens\":4,\"stream\":true}",
	    &reply);
	ck_assert_int_eq(reply.status, 200);
	ck_assert_int_eq(reply.end, DFF_HTTPC_DONE);
	ck_assert_ptr_nonnull(strstr(reply.body, "data: {\"i\":0,\"text\":\""));
	ck_assert_ptr_nonnull(
	    strstr(reply.body, "data: {\"finish\":\"length\""));
	ck_assert(g_str_has_suffix(reply.body, "data: [DONE]\n\n"));
	/* The same words, in groups of tokens. */
	ck_assert(text[0] != '\0');
	reply_clear(&reply);
	g_free(text);
	fleet_close(&fleet);
}
END_TEST

START_TEST(entry_passes_service_calls_on)
{
	fleet_t fleet;
	reply_t first;
	reply_t second;

	fleet_open(&fleet, 60);
	http_call(&fleet.net, ENTRY, "/service/seller-payout",
	    OWNER "idempotency-key: k1\r\n", "{\"pay\":1}", &first);
	ck_assert_msg(first.status == 200, "%s", first.body);
	netloop_run(&fleet.net, 200 * DFF_MSEC);
	http_call(&fleet.net, ENTRY, "/service/seller-payout",
	    OWNER "idempotency-key: k1\r\n", "{\"pay\":1}", &second);
	ck_assert_int_eq(second.status, 200);
	/* The answer names the number of its run: it is the same run. */
	ck_assert_str_eq(first.body, second.body);
	reply_clear(&first);
	reply_clear(&second);
	/* Without a key the call is refused, and so is another body. */
	http_call(&fleet.net, ENTRY, "/service/seller-payout", OWNER,
	    "{\"pay\":1}", &first);
	ck_assert_int_eq(first.status / 100, 4);
	ck_assert_ptr_nonnull(strstr(first.body, "\"ran\":\"not_run\""));
	reply_clear(&first);
	http_call(&fleet.net, ENTRY, "/service/seller-payout",
	    OWNER "idempotency-key: k1\r\n", "{\"pay\":2}", &first);
	ck_assert_int_eq(first.status / 100, 4);
	reply_clear(&first);
	fleet_close(&fleet);
}
END_TEST

/* Requests that are refused before they become calls, or as calls. */
static const struct {
	const char *path;
	const char *headers;
	const char *body;
	int status;
	const char *code;
} refused[] = {
    {"/v1/completions", OWNER, "{\"model\":", 400, "bad_request"},
    {"/v1/completions", OWNER, "[1]", 400, "bad_request"},
    {"/v1/completions", OWNER, "", 400, "bad_request"},
    {"/v1/completions", OWNER, "{\"model\":1,\"prompt\":\"x\"}", 400,
	"bad_request"},
    {"/v1/completions", OWNER,
	"{\"model\":\"serial-lookup\",\"prompt\":\"x\",\"max_tokens\":0}", 400,
	"bad_request"},
    {"/v1/completions", OWNER,
	"{\"model\":\"serial-lookup\",\"prompt\":\"x\",\"stream\":1}", 400,
	"bad_request"},
    {"/v1/completions", OWNER "idempotency-date: soon\r\n",
	"{\"model\":\"serial-lookup\",\"prompt\":\"x\"}", 400, "bad_request"},
    {"/v1/completions", OWNER, "{\"model\":\"nothing\",\"prompt\":\"x\"}", 404,
	"unknown_entry"},
    {"/service/nothing", OWNER, "{}", 404, "unknown_entry"},
    {"/service/a/b", OWNER, "{}", 404, "unknown_entry"},
    {"/v1/completions", "", "{\"model\":\"serial-lookup\",\"prompt\":\"x\"}",
	401, "unknown_key"},
    {"/other", OWNER, "{}", 404, "unknown_path"},
    {"/v1/completions", OWNER, NULL, 405, "bad_method"},
};

START_TEST(entry_refuses_what_it_cannot_run)
{
	fleet_t fleet;
	reply_t reply;
	json_t *body;
	json_t *error;

	fleet_open(&fleet, 60);
	for (size_t i = 0; i < G_N_ELEMENTS(refused); i++) {
		http_call(&fleet.net, ENTRY, refused[i].path,
		    refused[i].headers, refused[i].body, &reply);
		body = json_loads(reply.body, 0, NULL);
		error = json_object_get(body, "error");
		ck_assert_msg(reply.status == refused[i].status &&
			g_strcmp0(
			    json_string_value(json_object_get(error, "code")),
			    refused[i].code) == 0 &&
			g_strcmp0(
			    json_string_value(json_object_get(error, "ran")),
			    "not_run") == 0,
		    "case %zu: %d %s", i, reply.status, reply.body);
		json_decref(body);
		reply_clear(&reply);
	}
	fleet_close(&fleet);
}
END_TEST

START_TEST(entry_bounds_bodies_and_times)
{
	char *prompt = g_strnfill(300000, 'x');
	char *body = g_strdup_printf(
	    "{\"model\":\"serial-lookup\",\"prompt\":\"%s\"}", prompt);
	static const char half[] = "POST /v1/completions HTTP/1.1\r\n"
				   "host: a\r\ncontent-length: 10\r\n\r\n{";
	fleet_t fleet;
	reply_t reply;
	int fd;

	fleet_open(&fleet, 60);
	ask(&fleet, OWNER, body, &reply);
	/* The server may close before the whole body was sent. */
	ck_assert(reply.status == 413 || reply.end == DFF_HTTPC_BROKEN);
	reply_clear(&reply);
	fd = netloop_connect(ENTRY_PORT, half, strlen(half));
	netloop_run(&fleet.net, 1000 * DFF_MSEC);
	ck_assert_ptr_nonnull(netloop_read(fd));
	close(fd);
	ck_assert_int_eq(metric(&fleet, ENTRY, "dff_calls_total"), 0);
	g_free(body);
	g_free(prompt);
	fleet_close(&fleet);
}
END_TEST

START_TEST(entry_cancels_when_a_caller_leaves_in_prefill)
{
	/* 1000 tokens at 2 ms are 2 s of prefill. */
	char *prompt = g_strnfill(4000, 'x');
	char *body = g_strdup_printf(
	    "{\"model\":\"condition-assessment\",\"prompt\":\"%s\","
	    "\"max_tokens\":4,\"stream\":true}",
	    prompt);
	char *text =
	    g_strdup_printf("POST /v1/completions HTTP/1.1\r\n"
			    "host: a\r\n" OWNER "content-length: %zu\r\n\r\n%s",
		strlen(body), body);
	dff_time_t start;
	fleet_t fleet;
	int fd;

	fleet_open(&fleet, 2000);
	fd = netloop_connect(ENTRY_PORT, text, strlen(text));
	wait_running(&fleet, 1);
	ck_assert_ptr_null(netloop_read(fd));
	start = dff_program_now();
	close(fd);
	wait_running(&fleet, 0);
	ck_assert_int_lt(dff_program_now() - start, 1000 * DFF_MSEC);
	ck_assert_int_eq(metric(&fleet, ENTRY, "dff_callers_gone_total"), 1);
	g_free(text);
	g_free(body);
	g_free(prompt);
	fleet_close(&fleet);
}
END_TEST

START_TEST(entry_stops_gracefully)
{
	static const char body[] =
	    "{\"model\":\"condition-assessment\",\"prompt\":\"one two\","
	    "\"max_tokens\":60,\"stream\":true}";
	char *text =
	    g_strdup_printf("POST /v1/completions HTTP/1.1\r\n"
			    "host: a\r\n" OWNER "content-length: %zu\r\n\r\n%s",
		strlen(body), body);
	GString *said = g_string_new(NULL);
	const char *more;
	fleet_t fleet;
	reply_t reply;
	int fd;

	fleet_open(&fleet, 60);
	fd = netloop_connect(ENTRY_PORT, text, strlen(text));
	wait_running(&fleet, 1);
	ck_assert_int_eq(kill(fleet.entry.pid, SIGTERM), 0);
	http_wait(&fleet.net, ENTRY, "/healthz", 503);
	ask(&fleet, OWNER, "{\"model\":\"serial-lookup\",\"prompt\":\"x\"}",
	    &reply);
	ck_assert_int_eq(reply.status, 503);
	ck_assert_ptr_nonnull(strstr(reply.body, "\"ran\":\"not_run\""));
	ck_assert_ptr_nonnull(reply.retry_after);
	reply_clear(&reply);
	/* The running answer ends whole, then the process ends. */
	while ((more = netloop_read(fd)) == NULL || *more != '\0') {
		if (more != NULL)
			g_string_append(said, more);
		netloop_run(&fleet.net, 5 * DFF_MSEC);
	}
	ck_assert_ptr_nonnull(strstr(said->str, "data: [DONE]"));
	close(fd);
	while (!process_ended(&fleet.entry))
		netloop_run(&fleet.net, 10 * DFF_MSEC);
	g_string_free(said, TRUE);
	g_free(text);
	fleet_close(&fleet);
}
END_TEST

START_TEST(entry_settings_are_checked)
{
	process_t process;
	char *log;

	process_start(&process, "dff-entry --id e1");
	while (!process_ended(&process))
		g_usleep(5000);
	log = process_log(&process);
	ck_assert_ptr_nonnull(strstr(log, "--listen"));
	ck_assert_ptr_nonnull(strstr(log, "missing"));
	ck_assert_int_eq(process_stop(&process, SIGTERM), 2);
	g_free(log);
}
END_TEST

START_TEST(placer_serves_its_pages)
{
	fleet_t fleet;
	reply_t reply;

	fleet_open(&fleet, 60);
	process_start(&fleet.placer,
	    "dff-placer --id e1 --domain d1 --listen " PLACER
	    " --platform " PLATFORM);
	http_wait(&fleet.net, PLACER, "/healthz", 200);
	http_wait(&fleet.net, PLACER, "/status", 200);
	ck_assert_int_eq(metric(&fleet, PLACER, "dff_catalogue_revision"), 1);
	http_call(&fleet.net, PLACER, "/v1/completions", OWNER,
	    "{\"model\":\"serial-lookup\",\"prompt\":\"x\"}", &reply);
	ck_assert_int_eq(reply.status, 404);
	reply_clear(&reply);
	fleet_close(&fleet);
}
END_TEST

START_TEST(entry_peers_see_each_other)
{
	fleet_t fleet;

	fleet_open(&fleet, 60);
	start_entry(&fleet.entry2, "e2", "d2", ENTRY2, ENTRY2_PEER);
	http_wait(&fleet.net, ENTRY2, "/healthz", 200);
	while (metric(&fleet, ENTRY, "dff_peer_frames_in_total") < 2 ||
	    metric(&fleet, ENTRY2, "dff_peer_frames_in_total") < 2)
		netloop_run(&fleet.net, 20 * DFF_MSEC);
	ck_assert_int_eq(metric(&fleet, ENTRY, "dff_peer_bad_total"), 0);
	fleet_close(&fleet);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("entry");
	TCase *tcase = tcase_create("entry");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, entry_answers_whole_and_streamed);
	tcase_add_test(tcase, entry_passes_service_calls_on);
	tcase_add_test(tcase, entry_refuses_what_it_cannot_run);
	tcase_add_test(tcase, entry_bounds_bodies_and_times);
	tcase_add_test(tcase, entry_cancels_when_a_caller_leaves_in_prefill);
	tcase_add_test(tcase, entry_stops_gracefully);
	tcase_add_test(tcase, entry_settings_are_checked);
	tcase_add_test(tcase, placer_serves_its_pages);
	tcase_add_test(tcase, entry_peers_see_each_other);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
