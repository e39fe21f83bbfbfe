#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jansson.h>

#include "dragonflyfall/program.h"
#include "fake/fleet.h"
#include "fake/h2.h"

START_TEST(entry_answers_whole_and_streamed)
{
	char *text = NULL;
	json_t *body;
	fleet_t fleet;
	reply_t reply;

	fleet_open(&fleet, 60);
	fleet_ask(&fleet, FLEET_OWNER,
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
	fleet_ask(&fleet, FLEET_OWNER,
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

START_TEST(entry_forwards_service_calls)
{
	fleet_t fleet;
	reply_t first;
	reply_t second;

	fleet_open(&fleet, 60);
	http_call(&fleet.net, FLEET_ENTRY, "/service/seller-payout",
	    FLEET_OWNER "idempotency-key: k1\r\n", "{\"pay\":1}", &first);
	ck_assert_msg(first.status == 200, "%s", first.body);
	netloop_run(&fleet.net, 200 * DFF_MSEC);
	http_call(&fleet.net, FLEET_ENTRY, "/service/seller-payout",
	    FLEET_OWNER "idempotency-key: k1\r\n", "{\"pay\":1}", &second);
	ck_assert_int_eq(second.status, 200);
	/* The answer names the number of its run: it is the same run. */
	ck_assert_str_eq(first.body, second.body);
	reply_clear(&first);
	reply_clear(&second);
	/* Without a key the call is refused, and so is another body. */
	http_call(&fleet.net, FLEET_ENTRY, "/service/seller-payout",
	    FLEET_OWNER, "{\"pay\":1}", &first);
	ck_assert_int_eq(first.status / 100, 4);
	ck_assert_ptr_nonnull(strstr(first.body, "\"ran\":\"not_run\""));
	reply_clear(&first);
	http_call(&fleet.net, FLEET_ENTRY, "/service/seller-payout",
	    FLEET_OWNER "idempotency-key: k1\r\n", "{\"pay\":2}", &first);
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
    {"/v1/completions", FLEET_OWNER, "{\"model\":", 400, "bad_request"},
    {"/v1/completions", FLEET_OWNER, "[1]", 400, "bad_request"},
    {"/v1/completions", FLEET_OWNER, "", 400, "bad_request"},
    {"/v1/completions", FLEET_OWNER, "{\"model\":1,\"prompt\":\"x\"}", 400,
	"bad_request"},
    {"/v1/completions", FLEET_OWNER,
	"{\"model\":\"serial-lookup\",\"prompt\":\"x\",\"max_tokens\":0}", 400,
	"bad_request"},
    {"/v1/completions", FLEET_OWNER,
	"{\"model\":\"serial-lookup\",\"prompt\":\"x\",\"stream\":1}", 400,
	"bad_request"},
    {"/v1/completions", FLEET_OWNER "idempotency-date: soon\r\n",
	"{\"model\":\"serial-lookup\",\"prompt\":\"x\"}", 400, "bad_request"},
    {"/v1/completions", FLEET_OWNER, "{\"model\":\"nothing\",\"prompt\":\"x\"}",
	404, "unknown_entry"},
    {"/service/nothing", FLEET_OWNER, "{}", 404, "unknown_entry"},
    {"/service/a/b", FLEET_OWNER, "{}", 404, "unknown_entry"},
    {"/v1/completions", "", "{\"model\":\"serial-lookup\",\"prompt\":\"x\"}",
	401, "unknown_key"},
    {"/other", FLEET_OWNER, "{}", 404, "unknown_path"},
    {"/v1/completions", FLEET_OWNER, NULL, 405, "bad_method"},
};

START_TEST(entry_refuses_invalid_requests)
{
	fleet_t fleet;
	reply_t reply;
	json_t *body;
	json_t *error;

	fleet_open(&fleet, 60);
	for (size_t i = 0; i < G_N_ELEMENTS(refused); i++) {
		http_call(&fleet.net, FLEET_ENTRY, refused[i].path,
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

START_TEST(entry_limits_body_size_and_receive_time)
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
	fleet_ask(&fleet, FLEET_OWNER, body, &reply);
	/* The server may close before the whole body was sent. */
	ck_assert(reply.status == 413 || reply.end == DFF_HTTPC_BROKEN);
	reply_clear(&reply);
	fd = netloop_connect(FLEET_ENTRY_PORT, half, strlen(half));
	netloop_run(&fleet.net, 1000 * DFF_MSEC);
	ck_assert_ptr_nonnull(netloop_read(fd));
	close(fd);
	ck_assert_int_eq(
	    fleet_metric(&fleet, FLEET_ENTRY, "dff_calls_total"), 0);
	g_free(body);
	g_free(prompt);
	fleet_close(&fleet);
}
END_TEST

START_TEST(entry_cancels_on_disconnect_in_prefill)
{
	dff_time_t start;
	fleet_t fleet;
	int fd;

	/* 1000 tokens at 2 ms are 2 s of prefill. */
	fleet_open(&fleet, 2000);
	fd = fleet_send_call("condition-assessment", 4000, 4);
	fleet_wait_running(&fleet, 1);
	ck_assert_ptr_null(netloop_read(fd));
	start = dff_program_now();
	close(fd);
	fleet_wait_running(&fleet, 0);
	ck_assert_int_lt(dff_program_now() - start, 1000 * DFF_MSEC);
	ck_assert_int_eq(
	    fleet_metric(&fleet, FLEET_ENTRY, "dff_callers_gone_total"), 1);
	fleet_close(&fleet);
}
END_TEST

/* The same over HTTP/2, where the connection may stay open. */
START_TEST(entry_cancels_on_stream_reset)
{
	static const uint8_t cancel[] = {0, 0, 0, 8};
	char *prompt = g_strnfill(4000, 'x');
	char *body = g_strdup_printf(
	    "{\"model\":\"condition-assessment\",\"prompt\":\"%s\","
	    "\"max_tokens\":4,\"stream\":true}",
	    prompt);
	GByteArray *out = g_byte_array_new();
	dff_time_t start;
	fleet_t fleet;
	int fd;

	fleet_open(&fleet, 2000);
	h2_begin(out);
	h2_post(out, 1, "/v1/completions", "Bearer katalyst-demo", body);
	fd = netloop_connect(FLEET_ENTRY_PORT, out->data, out->len);
	fleet_wait_running(&fleet, 1);
	start = dff_program_now();
	g_byte_array_set_size(out, 0);
	h2_frame(out, H2_RST_STREAM, 0, 1, cancel, sizeof(cancel));
	ck_assert_int_eq(send(fd, out->data, out->len, 0), (int)out->len);
	fleet_wait_running(&fleet, 0);
	ck_assert_int_lt(dff_program_now() - start, 1000 * DFF_MSEC);
	ck_assert_int_eq(
	    fleet_metric(&fleet, FLEET_ENTRY, "dff_callers_gone_total"), 1);
	close(fd);
	g_byte_array_unref(out);
	g_free(body);
	g_free(prompt);
	fleet_close(&fleet);
}
END_TEST

START_TEST(entry_stops_gracefully)
{
	char *said;
	fleet_t fleet;
	reply_t reply;
	int fd;

	fleet_open(&fleet, 60);
	fd = fleet_send_call("condition-assessment", 8, 60);
	fleet_wait_running(&fleet, 1);
	ck_assert_int_eq(kill(fleet.entry.pid, SIGTERM), 0);
	http_wait(&fleet.net, FLEET_ENTRY, "/healthz", 503);
	fleet_ask(&fleet, FLEET_OWNER,
	    "{\"model\":\"serial-lookup\",\"prompt\":\"x\"}", &reply);
	ck_assert_int_eq(reply.status, 503);
	ck_assert_ptr_nonnull(strstr(reply.body, "\"ran\":\"not_run\""));
	ck_assert_ptr_nonnull(reply.retry_after);
	reply_clear(&reply);
	/* The running answer ends whole, then the process ends. */
	said = netloop_read_all(&fleet.net, fd);
	ck_assert_ptr_nonnull(strstr(said, "data: [DONE]"));
	g_free(said);
	close(fd);
	while (!process_ended(&fleet.entry))
		netloop_run(&fleet.net, 10 * DFF_MSEC);
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
	    "dff-placer --id e1 --domain d1 --listen " FLEET_PLACER
	    " --platform " FLEET_PLATFORM);
	http_wait(&fleet.net, FLEET_PLACER, "/healthz", 200);
	http_wait(&fleet.net, FLEET_PLACER, "/status", 200);
	ck_assert_int_eq(
	    fleet_metric(&fleet, FLEET_PLACER, "dff_catalogue_revision"), 1);
	http_call(&fleet.net, FLEET_PLACER, "/v1/completions", FLEET_OWNER,
	    "{\"model\":\"serial-lookup\",\"prompt\":\"x\"}", &reply);
	ck_assert_int_eq(reply.status, 404);
	reply_clear(&reply);
	fleet_close(&fleet);
}
END_TEST

START_TEST(entry_peers_exchange_frames)
{
	fleet_t fleet;

	fleet_open(&fleet, 60);
	fleet_start_entry(
	    &fleet.entry2, "e2", "d2", FLEET_ENTRY2, FLEET_ENTRY2_PEER);
	http_wait(&fleet.net, FLEET_ENTRY2, "/healthz", 200);
	while (
	    fleet_metric(&fleet, FLEET_ENTRY, "dff_peer_frames_in_total") < 2 ||
	    fleet_metric(&fleet, FLEET_ENTRY2, "dff_peer_frames_in_total") < 2)
		netloop_run(&fleet.net, 20 * DFF_MSEC);
	ck_assert_int_eq(
	    fleet_metric(&fleet, FLEET_ENTRY, "dff_peer_bad_total"), 0);
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
	tcase_add_test(tcase, entry_forwards_service_calls);
	tcase_add_test(tcase, entry_refuses_invalid_requests);
	tcase_add_test(tcase, entry_limits_body_size_and_receive_time);
	tcase_add_test(tcase, entry_cancels_on_disconnect_in_prefill);
	tcase_add_test(tcase, entry_cancels_on_stream_reset);
	tcase_add_test(tcase, entry_stops_gracefully);
	tcase_add_test(tcase, entry_settings_are_checked);
	tcase_add_test(tcase, placer_serves_its_pages);
	tcase_add_test(tcase, entry_peers_exchange_frames);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
