/*
 * Stand-in for the platform: serves a log with offsets, a VM list and a weight
 * store over HTTP. Requests to /control/ inject failures.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "dragonflyfall/model_log.h"
#include "dragonflyfall/model_platform.h"
#include "standin.h"

/* Most records in one answer, and size after which no more are added. */
#define READ_MAX       1000
#define READ_BYTES_MAX (1024 * 1024)
/* Longest wait of a read for new records. */
#define WAIT_MAX_MSEC 30000

typedef struct settings {
	const char *addr;
	const char *id;
	const char *vms;
	double append_rate;
	double append_burst;
	dff_time_t retention;
	dff_time_t vm_lag;
	dff_time_t weights_interval;
	dff_time_t drain_time;
} settings_t;

typedef struct platform {
	standin_t standin;
	dff_log_model_t *log;
	dff_vms_model_t *vms;
	dff_weights_model_t *weights;
	dff_time_t start;
	dff_time_t answer_delay; /* of answers outside /control/ */
	bool vms_unavailable;
	GQueue waiting_readers; /* reader_t, reads that wait for a record */
	uv_timer_t timer;
} platform_t;

typedef struct reader {
	dff_httpd_req_t *req;
	dff_stream_t stream;
	uint64_t from;
	size_t max;
	dff_time_t deadline;
} reader_t;

/* Times of the models count from the start of the process. */
static dff_time_t
model_now(const platform_t *platform)
{
	return dff_program_now() - platform->start;
}

/* Answer after the configured delay. */
static void
answer(platform_t *platform, dff_httpd_req_t *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	standin_answer_delayed(&platform->standin, req, status,
	    "application/json", text, strlen(text), platform->answer_delay);
	free(text);
	json_decref(body);
}

static void
answer_error(platform_t *platform, dff_httpd_req_t *req, int status,
    const char *error, dff_time_t retry)
{
	json_t *body = json_pack("{s:s}", "error", error);

	if (retry > 0) {
		json_object_set_new(body, "retry_after_ms",
		    json_integer((retry + DFF_MSEC - 1) / DFF_MSEC));
	}
	answer(platform, req, status, body);
}

/* ---- log ---- */

static int
parse_stream(const char *path)
{
	for (int stream = 0; stream < DFF_STREAM_COUNT; stream++) {
		if (strcmp(path, dff_stream_name(stream)) == 0)
			return stream;
	}
	return -ENOENT;
}

static json_t *
record_to_json(const dff_log_entry_t *entry)
{
	gchar *text = g_base64_encode(entry->data, entry->len);
	json_t *record;

	record = json_pack("{s:I,s:I,s:s}", "offset", (json_int_t)entry->offset,
	    "time_ms", (json_int_t)entry->time_ms, "data", text);
	g_free(text);
	return record;
}

static void
answer_read(
    platform_t *platform, const reader_t *reader, const dff_log_range_t *range)
{
	json_t *records = json_array();
	uint64_t offset = MAX(reader->from, range->first);
	size_t bytes = 0;
	dff_log_entry_t entry;

	while (json_array_size(records) < reader->max &&
	    bytes < READ_BYTES_MAX &&
	    dff_log_model_get(platform->log, reader->stream, offset, &entry)) {
		json_array_append_new(records, record_to_json(&entry));
		bytes += entry.len;
		offset++;
	}
	answer(platform, reader->req, 200,
	    json_pack("{s:I,s:I,s:o}", "first", (json_int_t)range->first,
		"next", (json_int_t)range->next, "records", records));
}

/* Return: true if the read was answered, false if it has to wait. */
static bool
answer_if_ready(platform_t *platform, const reader_t *reader)
{
	dff_log_range_t range;

	if (dff_log_model_range(platform->log, reader->stream,
		model_now(platform), &range) != DFF_LOG_OK) {
		answer_error(platform, reader->req, 503, "out", DFF_SEC);
		return true;
	}
	if (reader->from >= range.next &&
	    model_now(platform) < reader->deadline)
		return false;
	answer_read(platform, reader, &range);
	return true;
}

static void on_timer(uv_timer_t *timer);

static void
set_timer(platform_t *platform)
{
	dff_time_t next = dff_log_model_next(platform->log);
	dff_time_t wait;

	for (GList *link = platform->waiting_readers.head; link;
	     link = link->next)
		next = MIN(next, ((const reader_t *)link->data)->deadline);
	if (next == DFF_TIME_NEVER) {
		(void)uv_timer_stop(&platform->timer);
		return;
	}
	/* Read the clock once: MAX() would evaluate it twice. */
	wait = next - model_now(platform);
	wait = MAX(wait, 0);
	uv_update_time(platform->standin.loop);
	(void)uv_timer_start(&platform->timer, on_timer,
	    (uint64_t)((wait + DFF_MSEC - 1) / DFF_MSEC), 0);
}

static void
answer_ready_readers(platform_t *platform)
{
	GList *link = platform->waiting_readers.head;

	while (link != NULL) {
		GList *next = link->next;

		if (answer_if_ready(platform, link->data)) {
			g_free(link->data);
			g_queue_delete_link(&platform->waiting_readers, link);
		}
		link = next;
	}
	set_timer(platform);
}

static void
on_timer(uv_timer_t *timer)
{
	platform_t *platform = timer->data;

	dff_log_model_advance(platform->log, model_now(platform));
	answer_ready_readers(platform);
}

static uint64_t
query_number(dff_httpd_req_t *req, const char *name, uint64_t fallback)
{
	const char *text = dff_httpd_query(req, name);

	return text != NULL ? g_ascii_strtoull(text, NULL, 10) : fallback;
}

static void
on_read(platform_t *platform, dff_httpd_req_t *req, dff_stream_t stream)
{
	reader_t reader = {.req = req, .stream = stream};
	uint64_t wait_ms = query_number(req, "wait_ms", 0);

	reader.from = MAX(query_number(req, "from", 1), 1);
	reader.max = CLAMP(query_number(req, "max", 100), 1, READ_MAX);
	reader.deadline = model_now(platform) +
	    (dff_time_t)MIN(wait_ms, WAIT_MAX_MSEC) * DFF_MSEC;
	/* While stopping, reads do not wait: the stop would wait for them. */
	if (platform->standin.stopping)
		reader.deadline = 0;
	if (answer_if_ready(platform, &reader))
		return;
	g_queue_push_tail(
	    &platform->waiting_readers, g_memdup2(&reader, sizeof(reader)));
	set_timer(platform);
}

static void
on_append(platform_t *platform, dff_httpd_req_t *req, dff_stream_t stream)
{
	dff_log_status_t status;
	uint64_t offset = 0;
	const char *data;
	size_t len;

	data = dff_httpd_body(req, &len);
	status = dff_log_model_append(
	    platform->log, stream, data, len, model_now(platform), &offset);
	dff_log(platform->standin.ctx, DFF_LOG_INFO, "append",
	    "stream=%s bytes=%zu status=%d offset=%" PRIu64,
	    dff_stream_name(stream), len, (int)status, offset);
	switch (status) {
	case DFF_LOG_OK:
		answer(platform, req, 200,
		    json_pack("{s:I}", "offset", (json_int_t)offset));
		break;
	case DFF_LOG_RATE_LIMITED:
		answer_error(platform, req, 429, "limited", 10 * DFF_MSEC);
		break;
	case DFF_LOG_UNAVAILABLE:
		answer_error(platform, req, 503, "out", DFF_SEC);
		break;
	case DFF_LOG_NO_ANSWER:
		/* An aborted answer leaves open whether the append
		 * took effect. */
		dff_httpd_begin(req, 200, "application/json");
		dff_httpd_abort(req);
		break;
	}
	answer_ready_readers(platform);
}

static void
on_log(platform_t *platform, dff_httpd_req_t *req)
{
	int stream = parse_stream(dff_httpd_path(req) + strlen("/log/"));

	if (stream < 0)
		answer_error(platform, req, 404, "unknown", 0);
	else if (strcmp(dff_httpd_method(req), "POST") == 0)
		on_append(platform, req, (dff_stream_t)stream);
	else
		on_read(platform, req, (dff_stream_t)stream);
}

/* ---- VM list and weight store ---- */

static const char *const kind_names[] = {"entry", "engine", "service"};

static json_t *
vm_to_json(const dff_vm_t *vm)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:s}", "id", vm->id, "addr",
	    vm->addr, "domain", vm->domain, "pool", vm->pool, "kind",
	    kind_names[vm->kind], "incarnation", (json_int_t)vm->incarnation,
	    "state", vm->leaving ? "leaving" : "live");
}

static void
on_vms(platform_t *platform, dff_httpd_req_t *req)
{
	json_t *list;
	const dff_vm_t *vms;
	size_t count;

	if (platform->vms_unavailable) {
		answer_error(platform, req, 503, "out", DFF_SEC);
		return;
	}
	list = json_array();
	vms = dff_vms_model_read(platform->vms, model_now(platform), &count);
	for (size_t i = 0; i < count; i++)
		json_array_append_new(list, vm_to_json(&vms[i]));
	answer(platform, req, 200, json_pack("{s:o}", "vms", list));
}

/* Set the members that @object has; the others keep their values. */
static int
parse_vm(const json_t *object, dff_vm_t *vm)
{
	const char *kind = standin_get_string(object, "kind");
	const struct {
		const char *key;
		char *dst;
	} names[] = {{"id", vm->id}, {"addr", vm->addr}, {"domain", vm->domain},
	    {"pool", vm->pool}};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		const char *text = standin_get_string(object, names[i].key);

		if (text[0] != '\0' && dff_name_copy(names[i].dst, text) < 0)
			return -EINVAL;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(kind_names); i++) {
		if (strcmp(kind, kind_names[i]) == 0)
			vm->kind = (dff_vm_kind_t)i;
	}
	vm->incarnation = (uint64_t)standin_get_int(
	    object, "incarnation", (json_int_t)vm->incarnation);
	vm->leaving =
	    strcmp(standin_get_string(object, "state"), "leaving") == 0;
	return vm->id[0] != '\0' && vm->addr[0] != '\0' ? 0 : -EINVAL;
}

static int
set_vm(platform_t *platform, const json_t *object, dff_time_t when)
{
	const char *id = standin_get_string(object, "id");
	const dff_vm_t *old = dff_vms_model_find(platform->vms, id);
	dff_vm_t vm = {.incarnation = 1};

	if (strcmp(standin_get_string(object, "state"), "gone") == 0)
		return dff_vms_model_remove(platform->vms, id, when);
	if (old != NULL)
		vm = *old;
	if (parse_vm(object, &vm) < 0)
		return -EINVAL;
	dff_vms_model_set(platform->vms, &vm, when);
	return 0;
}

static int
load_vms(platform_t *platform, const char *path)
{
	json_error_t error;
	json_t *root;
	json_t *vm;
	size_t i;
	int err = 0;

	root = json_load_file(path, 0, &error);
	if (root == NULL) {
		dff_log(platform->standin.ctx, DFF_LOG_ERR, "vms",
		    "cannot read file=%s line=%d error=%s", path, error.line,
		    error.text);
		return -EINVAL;
	}
	json_array_foreach(json_object_get(root, "vms"), i, vm)
	{
		/* The time is far in the past, so that the VMs are listed
		 * without the lag. */
		if (set_vm(platform, vm, INT64_MIN / 2) < 0)
			err = -EINVAL;
	}
	if (err < 0)
		dff_log(platform->standin.ctx, DFF_LOG_ERR, "vms",
		    "invalid VM in the VM list file=%s", path);
	json_decref(root);
	return err;
}

static void
on_weights(platform_t *platform, dff_httpd_req_t *req)
{
	dff_time_t wait;

	wait =
	    dff_weights_model_acquire(platform->weights, model_now(platform));
	if (wait > 0)
		answer_error(platform, req, 429, "limited", wait);
	else
		answer(platform, req, 200, json_object());
}

/* ---- control ---- */

static int
apply_control(platform_t *platform, const char *call, const json_t *body)
{
	dff_log_model_t *log = platform->log;
	uint32_t count = (uint32_t)standin_get_int(body, "count", 1);
	dff_time_t ms = standin_get_int(body, "ms", 0) * DFF_MSEC;

	if (strcmp(call, "outage") == 0) {
		dff_log_model_set_outage(log,
		    json_is_true(json_object_get(body, "appends")),
		    json_is_true(json_object_get(body, "reads")));
		platform->vms_unavailable =
		    json_is_true(json_object_get(body, "vms"));
	} else if (strcmp(call, "slow") == 0)
		platform->answer_delay = ms;
	else if (strcmp(call, "lose-answers") == 0)
		dff_log_model_lose_answers(log, count);
	else if (strcmp(call, "delay-appends") == 0)
		dff_log_model_delay_appends(log, count, ms);
	else if (strcmp(call, "retention") == 0)
		dff_log_model_config(log)->retention = ms;
	else if (strcmp(call, "vm-lag") == 0)
		dff_vms_model_set_lag(platform->vms, ms);
	else if (strcmp(call, "vm") == 0)
		return set_vm(platform, body, model_now(platform));
	else
		return -ENOENT;
	return 0;
}

static void
on_control(platform_t *platform, dff_httpd_req_t *req)
{
	const char *call = dff_httpd_path(req) + strlen("/control/");
	json_t *body = standin_parse_body(req);
	int err;

	if (body == NULL)
		return;
	err = apply_control(platform, call, body);
	dff_log(platform->standin.ctx, DFF_LOG_NOTICE, "control",
	    "call=%s result=%s", call, err < 0 ? dff_strerror(err) : "ok");
	json_decref(body);
	/* Control requests are answered without the configured delay. */
	if (err < 0)
		standin_answer_error(
		    req, err == -ENOENT ? 404 : 400, "refused", 0);
	else
		standin_answer(req, 200, json_object());
	answer_ready_readers(platform);
}

static void
on_request(void *arg, dff_httpd_req_t *req)
{
	platform_t *platform = arg;

	dff_log_model_advance(platform->log, model_now(platform));
	if (g_str_has_prefix(dff_httpd_path(req), "/log/"))
		on_log(platform, req);
	else if (standin_request_is(req, "GET", "/vms"))
		on_vms(platform, req);
	else if (standin_request_is(req, "POST", "/weights"))
		on_weights(platform, req);
	else if (g_str_has_prefix(dff_httpd_path(req), "/control/"))
		on_control(platform, req);
	else
		standin_answer_error(req, 404, "unknown", 0);
}

static void
on_gone(void *arg, dff_httpd_req_t *req)
{
	platform_t *platform = arg;
	GList *link = platform->waiting_readers.head;

	standin_cancel_delayed(&platform->standin, req);
	while (link != NULL) {
		GList *next = link->next;

		if (((const reader_t *)link->data)->req == req) {
			g_free(link->data);
			g_queue_delete_link(&platform->waiting_readers, link);
		}
		link = next;
	}
}

/* ---- start and stop ---- */

static void
set_up(platform_t *platform, const settings_t *settings)
{
	standin_t *standin = &platform->standin;
	dff_log_config_t config;

	dff_log_config_defaults(&config);
	config.append_rate = settings->append_rate;
	config.append_burst = settings->append_burst;
	config.retention = settings->retention;
	config.wall_start_ms = dff_program_wall_ms();
	platform->start = dff_program_now();
	platform->log = dff_log_model_new(&config);
	platform->vms = dff_vms_model_new(settings->vm_lag);
	platform->weights = dff_weights_model_new(settings->weights_interval);
	g_queue_init(&platform->waiting_readers);
	standin->ctx = dff_program_ctx(settings->id, 1);
	standin->loop = uv_default_loop();
	standin->addr = settings->addr;
	standin->drain_time = settings->drain_time;
	standin->handlers.request = on_request;
	standin->handlers.disconnected = on_gone;
	standin->arg = platform;
	(void)uv_timer_init(standin->loop, &platform->timer);
	platform->timer.data = platform;
}

static int
run(const settings_t *settings)
{
	platform_t platform = {0};
	int err = 0;

	set_up(&platform, settings);
	if (settings->vms[0] != '\0')
		err = load_vms(&platform, settings->vms);
	if (err == 0)
		err = standin_start(&platform.standin);
	if (err == 0)
		(void)uv_run(platform.standin.loop, UV_RUN_DEFAULT);
	g_queue_clear_full(&platform.waiting_readers, g_free);
	standin_drop(&platform.standin);
	dff_log_model_drop(platform.log);
	dff_vms_model_drop(platform.vms);
	dff_weights_model_drop(platform.weights);
	dff_ctx_drop(platform.standin.ctx);
	return err == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
	settings_t s = {0};
	const dff_setting_t settings[] = {
	    {"addr", DFF_SETTING_ADDR, &s.addr, NULL, 0, 0, NULL, NULL,
		"address to listen on"},
	    {"id", DFF_SETTING_TEXT, &s.id, "platform", 0, 0, NULL, NULL,
		"name in log lines"},
	    {"vms", DFF_SETTING_TEXT, &s.vms, "", 0, 0, NULL, NULL,
		"JSON file with the VM list at the start"},
	    {"append-rate", DFF_SETTING_REAL, &s.append_rate, "400", 1, 1e6,
		NULL, "1/s", "rate limit of appends"},
	    {"append-burst", DFF_SETTING_REAL, &s.append_burst, "100", 1, 1e6,
		NULL, "appends", "burst size of the append rate limit"},
	    {"retention", DFF_SETTING_MSEC, &s.retention, "3600000", 1000, 1e11,
		NULL, "ms", "age at which a record is deleted"},
	    {"vm-lag", DFF_SETTING_MSEC, &s.vm_lag, "1000", 0, 600000, NULL,
		"ms", "delay after which readers see a change of the VM list"},
	    {"weights-every", DFF_SETTING_MSEC, &s.weights_interval, "5000", 0,
		600000, NULL, "ms",
		"shortest time between two loads of weights"},
	    {"drain-time", DFF_SETTING_MSEC, &s.drain_time, "2000", 0, 600000,
		NULL, "ms", "time limit of a graceful stop"},
	    {NULL, DFF_SETTING_TEXT, NULL, NULL, 0, 0, NULL, NULL, NULL}};
	int status;
	int err;

	err = dff_settings_load(
	    "Stand-in for the platform: log, VM list and weight store.",
	    settings, &argc, &argv);
	if (err != 0)
		return err > 0 ? EXIT_SUCCESS : 2;
	status = run(&s);
	dff_settings_drop(settings);
	return status;
}
