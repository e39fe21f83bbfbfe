/*
 * Stand-in for a plain service: runs each call once in one of its slots and
 * keeps a journal of the idempotency keys of the calls that it ran.
 */
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/model_service.h"
#include "standin.h"

typedef struct service {
	standin_t standin;
	dff_service_model_t *model;
	GArray *outputs;
	uv_timer_t timer;
	GHashTable *running_calls; /* id -> request */
	uint64_t last_id;
} service_t;

typedef struct settings {
	const char *addr;
	const char *id;
	int64_t incarnation;
	int64_t slots;
	int64_t queue;
	dff_time_t run_time;
	dff_time_t restart_downtime;
	dff_time_t drain_time;
} settings_t;

static void on_timer(uv_timer_t *timer);

static void
set_timer(service_t *service)
{
	dff_time_t next = dff_service_model_next(service->model);
	dff_time_t wait;

	if (next == DFF_TIME_NEVER) {
		(void)uv_timer_stop(&service->timer);
		return;
	}
	wait = dff_program_time_until(next);
	uv_update_time(service->standin.loop);
	(void)uv_timer_start(&service->timer, on_timer,
	    (uint64_t)((wait + DFF_MSEC - 1) / DFF_MSEC), 0);
}

static void
finish_call(service_t *service, const dff_service_out_t *output)
{
	dff_httpd_req_t *req;
	char hash[17];

	req = g_hash_table_lookup(service->running_calls, &output->id);
	if (req == NULL)
		return;
	dff_httpd_set_data(req, NULL);
	g_hash_table_remove(service->running_calls, &output->id);
	g_snprintf(hash, sizeof(hash), "%016" G_GINT64_MODIFIER "x",
	    output->body_hash);
	standin_answer(req, 200,
	    json_pack("{s:I,s:s}", "ran", (json_int_t)output->run_count,
		"body_hash", hash));
}

static void
abort_call(service_t *service, uint64_t id)
{
	dff_httpd_req_t *req = g_hash_table_lookup(service->running_calls, &id);

	if (req == NULL)
		return;
	dff_httpd_set_data(req, NULL);
	g_hash_table_remove(service->running_calls, &id);
	dff_httpd_abort(req);
}

static void
apply_outputs(service_t *service)
{
	for (guint i = 0; i < service->outputs->len; i++) {
		const dff_service_out_t *output;

		output = &g_array_index(service->outputs, dff_service_out_t, i);
		switch (output->type) {
		case DFF_SERVICE_OUT_DONE:
			finish_call(service, output);
			break;
		case DFF_SERVICE_OUT_ABORTED:
			abort_call(service, output->id);
			break;
		case DFF_SERVICE_OUT_CRASH:
			standin_close(&service->standin);
			break;
		case DFF_SERVICE_OUT_RESTARTED:
			(void)standin_listen(&service->standin);
			break;
		}
	}
	g_array_set_size(service->outputs, 0);
}

static void
on_timer(uv_timer_t *timer)
{
	service_t *service = timer->data;

	dff_service_model_advance(
	    service->model, dff_program_now(), service->outputs);
	apply_outputs(service);
	set_timer(service);
}

static void
answer_load(service_t *service, dff_httpd_req_t *req)
{
	uint32_t running;
	uint32_t waiting;

	dff_service_model_load(service->model, &running, &waiting);
	standin_answer(req, 200,
	    json_pack("{s:I,s:i,s:i,s:i,s:i}", "incarnation",
		(json_int_t)dff_service_model_incarnation(service->model),
		"age_ms", 0, "running", (int)running, "waiting", (int)waiting,
		"slots", (int)dff_service_model_config(service->model)->slots));
}

static void
answer_journal(service_t *service, dff_httpd_req_t *req)
{
	const dff_service_journal_entry_t *notes;
	json_t *list = json_array();
	size_t count;

	notes = dff_service_model_journal(service->model, &count);
	for (size_t i = 0; i < count; i++)
		json_array_append_new(list, json_string(notes[i].key));
	standin_answer(req, 200, json_pack("{s:o}", "ran", list));
}

static void
start_call(service_t *service, dff_httpd_req_t *req)
{
	const char *key = dff_httpd_header(req, "idempotency-key");
	const char *body;
	uint64_t *id;
	size_t len;
	int err;

	body = dff_httpd_body(req, &len);
	id = g_new(uint64_t, 1);
	*id = ++service->last_id;
	err = dff_service_model_submit(service->model, *id,
	    key != NULL ? key : "", dff_hash(body, len, 0), dff_program_now());
	dff_log(service->standin.ctx, DFF_LOG_INFO, "call",
	    "%s method=%s path=%s key=%s bytes=%zu",
	    err == 0 ? "taken" : "refused", dff_httpd_method(req),
	    dff_httpd_path(req), key != NULL ? key : "-", len);
	if (err < 0) {
		g_free(id);
		standin_answer_error(req, 503, "full", DFF_SEC);
		return;
	}
	g_hash_table_insert(service->running_calls, id, req);
	dff_httpd_set_data(req, id);
	set_timer(service);
}

static void
on_request(void *arg, dff_httpd_req_t *req)
{
	service_t *service = arg;

	if (standin_request_is(req, "GET", "/load"))
		answer_load(service, req);
	else if (standin_request_is(req, "GET", "/control/journal"))
		answer_journal(service, req);
	else if (service->standin.stopping)
		standin_answer_error(req, 503, "away", DFF_SEC);
	else
		start_call(service, req);
}

static void
on_gone(void *arg, dff_httpd_req_t *req)
{
	service_t *service = arg;
	const uint64_t *id = dff_httpd_data(req);

	standin_cancel_delayed(&service->standin, req);
	/* An accepted call continues; only its answer is lost. */
	if (id != NULL)
		g_hash_table_remove(service->running_calls, id);
}

static int
run(const settings_t *settings)
{
	dff_service_config_t config;
	service_t service = {0};
	int err;

	dff_service_config_defaults(&config);
	config.incarnation = settings->incarnation != 0 ?
	    (uint64_t)settings->incarnation :
	    dff_program_wall_ms();
	config.slots = (uint32_t)settings->slots;
	config.queue_max = (uint32_t)settings->queue;
	config.run_time = settings->run_time;
	config.restart_downtime = settings->restart_downtime;
	service.standin.ctx = dff_program_ctx(settings->id, 1);
	service.standin.loop = uv_default_loop();
	service.standin.addr = settings->addr;
	service.standin.drain_time = settings->drain_time;
	service.standin.handlers.request = on_request;
	service.standin.handlers.disconnected = on_gone;
	service.standin.arg = &service;
	service.model = dff_service_model_new(&config);
	service.outputs = g_array_new(FALSE, TRUE, sizeof(dff_service_out_t));
	service.running_calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	(void)uv_timer_init(service.standin.loop, &service.timer);
	service.timer.data = &service;
	err = standin_start(&service.standin);
	if (err == 0)
		(void)uv_run(service.standin.loop, UV_RUN_DEFAULT);
	standin_drop(&service.standin);
	dff_service_model_drop(service.model);
	g_array_unref(service.outputs);
	g_hash_table_unref(service.running_calls);
	dff_ctx_drop(service.standin.ctx);
	return err == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
	settings_t s = {0};
	const dff_setting_t settings[] = {
	    {"addr", DFF_SETTING_ADDR, &s.addr, NULL, 0, 0, NULL, NULL,
		"address to listen on"},
	    {"id", DFF_SETTING_TEXT, &s.id, "service", 0, 0, NULL, NULL,
		"VM id"},
	    {"incarnation", DFF_SETTING_INT, &s.incarnation, "0", 0, 9e15, NULL,
		NULL, "incarnation of this process; 0: from the wall clock"},
	    {"slots", DFF_SETTING_INT, &s.slots, "8", 1, 10000, NULL, "calls",
		"maximum number of running calls"},
	    {"queue", DFF_SETTING_INT, &s.queue, "64", 1, 100000, NULL, "calls",
		"maximum number of calls that wait for a slot"},
	    {"run-time", DFF_SETTING_MSEC, &s.run_time, "20", 0, 600000, NULL,
		"ms", "duration of a call"},
	    {"restart-away", DFF_SETTING_MSEC, &s.restart_downtime, "5000", 0,
		600000, NULL, "ms", "time out of service after a crash"},
	    {"drain-time", DFF_SETTING_MSEC, &s.drain_time, "10000", 0, 600000,
		NULL, "ms", "time limit of a graceful stop"},
	    {NULL, DFF_SETTING_TEXT, NULL, NULL, 0, 0, NULL, NULL, NULL}};
	int status;
	int err;

	err = dff_settings_load(
	    "Stand-in for a plain service.", settings, &argc, &argv);
	if (err != 0)
		return err > 0 ? EXIT_SUCCESS : 2;
	status = run(&s);
	dff_settings_drop(settings);
	return status;
}
