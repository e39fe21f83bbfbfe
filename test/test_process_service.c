#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fake/netloop.h"
#include "net/service.h"

#define ADDR	  "127.0.0.1:21141"
#define DEAD_ADDR "127.0.0.1:21142"
#define SILENCE	  (300 * DFF_MSEC)
#define REPLY_MAX 1000

/* A service whose answer depends on the path. */
typedef struct rig {
	netloop_t net;
	dff_httpd_t *httpd;
	dff_service_t *service;
	char *last_call; /* method, content type, key and body */
	int calls;
	int gone;
} rig_t;

static const char *
or_none(const char *text)
{
	return text != NULL ? text : "none";
}

static void
on_call(rig_t *rig, dff_httpd_req_t *req)
{
	const char *path = dff_httpd_path(req);
	char *large = g_strnfill(REPLY_MAX + 1, 'x');
	size_t len;
	const char *body = dff_httpd_body(req, &len);

	rig->calls++;
	g_free(rig->last_call);
	rig->last_call = g_strdup_printf("%s %s %s %.*s", dff_httpd_method(req),
	    or_none(dff_httpd_header(req, "content-type")),
	    or_none(dff_httpd_header(req, "idempotency-key")), (int)len, body);
	if (strcmp(path, "/echo") == 0) {
		dff_httpd_answer(req, 422, "text/odd", body, len);
	} else if (strcmp(path, "/large") == 0) {
		dff_httpd_answer(req, 200, "", large, REPLY_MAX + 1);
	} else if (strcmp(path, "/cut") == 0) {
		dff_httpd_begin(req, 200, "");
		dff_httpd_write(req, "half", 4);
		dff_httpd_abort(req);
	}
	g_free(large);
}

static void
on_request(void *arg, dff_httpd_req_t *req)
{
	static const char load[] =
	    "{\"incarnation\":3,\"age_ms\":5,\"running\":6,\"waiting\":2,"
	    "\"slots\":8}";
	rig_t *rig = arg;

	if (strcmp(dff_httpd_path(req), "/load") == 0)
		dff_httpd_answer(req, 200, "", load, strlen(load));
	else
		on_call(rig, req);
}

static void
on_gone(void *arg, dff_httpd_req_t *req)
{
	rig_t *rig = arg;

	(void)req;
	rig->gone++;
}

static void
rig_open(rig_t *rig)
{
	const dff_httpd_config_t config = {.addr = ADDR,
	    .body_max = 1 << 20,
	    .unread_max = 1 << 20,
	    .header_time = DFF_SEC};
	const dff_httpd_handlers_t handlers = {on_request, on_gone};
	const dff_service_config_t settings = {.load_interval = 20 * DFF_MSEC,
	    .poll_idle_timeout = SILENCE,
	    .reply_max = REPLY_MAX};
	dff_sink_t sink;

	memset(rig, 0, sizeof(*rig));
	netloop_open(&rig->net);
	sink = netloop_sink(&rig->net);
	ck_assert_int_eq(dff_httpd_new(rig->net.ctx, &rig->net.loop, &config,
			     &handlers, rig, &rig->httpd),
	    0);
	rig->service = dff_service_new(
	    rig->net.ctx, &rig->net.loop, rig->net.httpc, &settings, &sink);
}

static void
rig_close(rig_t *rig)
{
	dff_service_drop(rig->service);
	dff_httpd_drop(rig->httpd);
	g_free(rig->last_call);
	netloop_close(&rig->net);
}

static void
start(rig_t *rig, const char *addr, const char *path)
{
	const dff_body_t body = {.kind = DFF_CALL_SERVICE,
	    .method = "PUT",
	    .content_type = "text/odd",
	    .data = "some body",
	    .len = 9};
	const dff_fx_attempt_start_t fx = {.attempt = 7,
	    .call = 1,
	    .vm = "s1",
	    .addr = addr,
	    .kind = DFF_CALL_SERVICE,
	    .model = "",
	    .idem_key = "key-1",
	    .path = path,
	    .kv_addr = "",
	    .timeout = SILENCE};

	dff_service_start(rig->service, &fx, &body);
}

/* Paths of calls, and the event that must follow. */
static const struct {
	const char *addr;
	const char *path;
	const char *line;
} calls[] = {
    {ADDR, "/echo", "reply 7 422 text/odd some body\n"},
    {ADDR, "/large", "failed 7 protocol sent=1 retry=0\n"},
    {ADDR, "/cut", "failed 7 broken sent=1 retry=0\n"},
    {ADDR, "/silent", "failed 7 timeout sent=1 retry=0\n"},
    {DEAD_ADDR, "/echo", "failed 7 connect sent=0 retry=0\n"},
};

START_TEST(service_calls)
{
	rig_t rig;

	rig_open(&rig);
	start(&rig, calls[_i].addr, calls[_i].path);
	ck_assert_int_eq(rig.net.count, 0);
	netloop_expect(&rig.net, 1, calls[_i].line);
	if (rig.calls > 0)
		ck_assert_str_eq(rig.last_call, "PUT text/odd key-1 some body");
	ck_assert(!dff_service_cancel(rig.service, 7));
	rig_close(&rig);
}
END_TEST

START_TEST(service_cancel_closes_the_connection)
{
	rig_t rig;

	rig_open(&rig);
	start(&rig, ADDR, "/silent");
	netloop_until(&rig.net, &rig.calls, 1);
	ck_assert(dff_service_cancel(rig.service, 7));
	netloop_until(&rig.net, &rig.gone, 1);
	ck_assert_int_eq(rig.net.count, 0);
	rig_close(&rig);
}
END_TEST

START_TEST(service_load_is_read_while_watched)
{
	dff_fx_engine_watch_t watch = {
	    .vm = "s1", .addr = ADDR, .kind = DFF_VM_ENGINE, .enabled = true};
	rig_t rig;

	rig_open(&rig);
	dff_service_watch(rig.service, &watch);
	netloop_run(&rig.net, 60 * DFF_MSEC);
	ck_assert_int_eq(rig.net.count, 0);
	watch.kind = DFF_VM_SERVICE;
	dff_service_watch(rig.service, &watch);
	netloop_expect(&rig.net, 1, "report s1 mixed  6/2 2/8\n");
	watch.kind = DFF_VM_ENGINE;
	watch.enabled = false;
	dff_service_watch(rig.service, &watch);
	netloop_run(&rig.net, 60 * DFF_MSEC);
	ck_assert_int_eq(rig.net.count, 0);
	rig_close(&rig);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("service");
	TCase *tcase = tcase_create("service");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, service_calls, 0, G_N_ELEMENTS(calls));
	tcase_add_test(tcase, service_cancel_closes_the_connection);
	tcase_add_test(tcase, service_load_is_read_while_watched);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
