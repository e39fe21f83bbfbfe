#include "net/platform.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "dragonflyfall/program.h"
#include "net/address.h"
#include "net/fetch.h"
#include "net/json_read.h"
#include "net/json_split.h"

/* Records requested in one read, fewer if they are large. */
#define RECORDS_MAX 256
/* Largest answer to a read. */
#define READ_MAX (16 * 1024 * 1024)
/* Largest answer to an append. */
#define APPEND_ANSWER_MAX 4096
/* Largest VM list, in bytes of text and in VMs. */
#define VMS_BYTES_MAX (1024 * 1024)
#define VMS_MAX	      4096
/* Delay after a failed read; it doubles at each failure, with jitter. */
#define RETRY_MIN (100 * DFF_MSEC)
#define RETRY_MAX (2 * DFF_SEC)

/* One followed stream. */
typedef struct follower {
	dff_platform_t *platform;
	dff_stream_t stream;
	uint64_t from; /* next offset to read */
	uv_timer_t timer;
	dff_fetch_t *fetch;
	dff_time_t sent_at;
	dff_time_t retry_delay; /* next delay after a failure */
	uint64_t generation; /* number of dff_platform_follow() calls */
	uint32_t batch_max; /* records requested in one read */
	bool unanswered; /* no read was answered since the start or a failure */
} follower_t;

struct dff_platform {
	dff_ctx_t *ctx;
	uv_loop_t *loop;
	dff_platform_config_t config;
	char *addr;
	dff_sink_t sink;
	dff_fetcher_t *reads;
	dff_fetcher_t *appends;
	dff_fetcher_t *lists;
	follower_t followers[DFF_STREAM_COUNT];
	uv_timer_t vms_timer;
	bool vms_pending;
	unsigned open_timers;
};

static void
feed(dff_platform_t *platform, const dff_event_t *event)
{
	platform->sink.feed(platform->sink.arg, event);
}

/* ---- reading a stream ---- */

static void
report_head(follower_t *follower, const json_t *body)
{
	dff_event_t event = {.type = DFF_EV_LOG_HEAD,
	    .u.log_head = {
		.stream = follower->stream, .sent_at = follower->sent_at}};

	event.u.log_head.first = json_get_u64(body, "first");
	event.u.log_head.next = json_get_u64(body, "next");
	feed(follower->platform, &event);
}

/* Reports one record; false if it is invalid or its offset is too low. */
static bool
report_record(follower_t *follower, const json_t *item)
{
	const char *text = json_string_value(json_object_get(item, "data"));
	dff_event_t event = {.type = DFF_EV_LOG_RECORD,
	    .u.log_record = {.stream = follower->stream}};
	dff_ev_log_record_t *record = &event.u.log_record;
	uint8_t *data;

	if (text == NULL || !json_read_u64(item, "offset", &record->offset) ||
	    !json_read_u64(item, "time_ms", &record->time_ms) ||
	    record->offset < follower->from)
		return false;
	data = g_base64_decode(text, &record->len);
	record->data = data;
	follower->from = record->offset + 1;
	feed(follower->platform, &event);
	g_free(data);
	return true;
}

/*
 * Reports an answer: the range of retained offsets first, so that a gap can
 * be detected, then the records, then the range again, now read to its end.
 */
static bool
report_answer(follower_t *follower, const json_t *body)
{
	const json_t *records = json_object_get(body, "records");
	uint64_t generation = follower->generation;
	uint64_t number;

	if (!json_read_u64(body, "first", &number) ||
	    !json_read_u64(body, "next", &number) || !json_is_array(records))
		return false;
	report_head(follower, body);
	for (size_t i = 0; i < json_array_size(records); i++) {
		/* An event may have restarted the stream at another offset. */
		if (follower->generation != generation)
			return true;
		if (!report_record(follower, json_array_get(records, i)))
			return false;
	}
	if (json_array_size(records) > 0 && follower->generation == generation)
		report_head(follower, body);
	return true;
}

static void read_stream(follower_t *follower);

static void
on_retry(uv_timer_t *timer)
{
	read_stream(timer->data);
}

static void
fail_read(follower_t *follower)
{
	dff_platform_t *platform = follower->platform;
	const dff_event_t event = {.type = DFF_EV_LOG_DOWN,
	    .u.log_down = {.stream = follower->stream}};
	uint64_t generation = follower->generation;
	dff_time_t half = follower->retry_delay / 2;
	dff_time_t delay;

	feed(platform, &event);
	if (follower->generation != generation)
		return;
	delay =
	    half + (dff_time_t)(dff_rand_unit(platform->ctx) * (double)half);
	follower->retry_delay = MIN(follower->retry_delay * 2, RETRY_MAX);
	(void)uv_timer_start(
	    &follower->timer, on_retry, (uint64_t)(delay / DFF_MSEC), 0);
}

static void
on_read(void *arg, void *data, const dff_fetch_result_t *fetched)
{
	dff_platform_t *platform = arg;
	follower_t *follower = &platform->followers[*(dff_stream_t *)data];
	uint64_t generation = follower->generation;
	json_t *body = NULL;
	bool valid;

	follower->fetch = NULL;
	if (fetched->too_large && follower->batch_max > 1)
		follower->batch_max /= 2;
	if (fetched->end == DFF_HTTPC_DONE && fetched->status == 200)
		body = json_loadb(fetched->body, fetched->len, 0, NULL);
	valid = body != NULL && report_answer(follower, body);
	json_decref(body);
	if (follower->generation != generation)
		return;
	follower->unanswered = !valid;
	if (!valid) {
		fail_read(follower);
		return;
	}
	follower->retry_delay = RETRY_MIN;
	read_stream(follower);
}

static void
read_stream(follower_t *follower)
{
	dff_platform_t *platform = follower->platform;
	/* The first answer reports the stream's end: it must not be delayed. */
	dff_time_t wait = follower->unanswered ? 0 : platform->config.poll_wait;
	char path[128];
	const dff_httpc_call_t call = {.addr = platform->addr,
	    .method = "GET",
	    .path = path,
	    .idle_timeout = wait + platform->config.idle_timeout};

	(void)snprintf(path, sizeof(path),
	    "/log/%s?from=%" PRIu64 "&max=%" PRIu32 "&wait_ms=%" PRId64,
	    dff_stream_name(follower->stream), follower->from,
	    follower->batch_max, wait / DFF_MSEC);
	follower->sent_at = dff_program_now();
	follower->fetch = dff_fetch_start(platform->reads, &call, READ_MAX,
	    on_read, g_memdup2(&follower->stream, sizeof(follower->stream)));
}

void
dff_platform_follow(dff_platform_t *platform, const dff_fx_log_follow_t *follow)
{
	follower_t *follower = &platform->followers[follow->stream];

	follower->generation++;
	follower->unanswered = true;
	if (follower->fetch != NULL)
		dff_fetch_cancel(follower->fetch);
	follower->fetch = NULL;
	follower->from = MAX(follow->from, 1);
	follower->retry_delay = RETRY_MIN;
	(void)uv_timer_stop(&follower->timer);
	read_stream(follower);
}

/* ---- appending ---- */

static void
on_append(void *arg, void *data, const dff_fetch_result_t *fetched)
{
	dff_platform_t *platform = arg;
	dff_event_t event = {.type = DFF_EV_LOG_APPENDED,
	    .u.log_appended = {
		.id = *(uint64_t *)data, .outcome = DFF_APPEND_UNKNOWN}};
	dff_ev_log_appended_t *appended = &event.u.log_appended;
	json_t *body = json_loadb(fetched->body, fetched->len, 0, NULL);

	if (fetched->end == DFF_HTTPC_CONNECT_FAILED)
		appended->outcome = DFF_APPEND_REFUSED;
	else if (fetched->end != DFF_HTTPC_DONE)
		appended->outcome = DFF_APPEND_UNKNOWN;
	else if (fetched->status == 429 || fetched->status == 503)
		appended->outcome = DFF_APPEND_REFUSED;
	else if (fetched->status == 200 &&
	    json_read_u64(body, "offset", &appended->offset))
		appended->outcome = DFF_APPEND_DONE;
	json_decref(body);
	feed(platform, &event);
}

void
dff_platform_append(dff_platform_t *platform, const dff_fx_log_append_t *append)
{
	char path[64];
	const dff_httpc_call_t call = {.addr = platform->addr,
	    .method = "POST",
	    .path = path,
	    .content_type = "application/octet-stream",
	    .body = append->data,
	    .len = append->len,
	    .idle_timeout = platform->config.idle_timeout};

	(void)snprintf(
	    path, sizeof(path), "/log/%s", dff_stream_name(append->stream));
	(void)dff_fetch_start(platform->appends, &call, APPEND_ANSWER_MAX,
	    on_append, g_memdup2(&append->id, sizeof(append->id)));
}

/* ---- the VM list ---- */

static int
read_kind(const char *name)
{
	static const char *const names[] = {"entry", "engine", "service"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (g_strcmp0(name, names[i]) == 0)
			return (int)i;
	}
	return -1;
}

static bool
read_name(const json_t *item, const char *name, char *dst, size_t size)
{
	const char *text = json_string_value(json_object_get(item, name));

	return text != NULL && g_strlcpy(dst, text, size) < size;
}

static bool
read_vm(const json_t *item, dff_vm_t *vm)
{
	const char *state = json_string_value(json_object_get(item, "state"));
	int kind = read_kind(json_string_value(json_object_get(item, "kind")));
	struct sockaddr_storage addr;

	memset(vm, 0, sizeof(*vm));
	if (kind < 0 || state == NULL ||
	    !read_name(item, "id", vm->id, sizeof(vm->id)) ||
	    !read_name(item, "addr", vm->addr, sizeof(vm->addr)) ||
	    !read_name(item, "domain", vm->domain, sizeof(vm->domain)))
		return false;
	if (dff_address_parse(vm->addr, &addr) < 0)
		return false;
	/* An entry VM serves no pool and may omit the field. */
	if (!read_name(item, "pool", vm->pool, sizeof(vm->pool)) &&
	    kind != DFF_VM_ENTRY)
		return false;
	vm->kind = (dff_vm_kind_t)kind;
	vm->leaving = strcmp(state, "leaving") == 0;
	return json_read_u64(item, "incarnation", &vm->incarnation);
}

static bool
parse_vm(const json_text_t *text, dff_vm_t *vm)
{
	json_t *item = json_loadb(text->start, text->len, 0, NULL);
	bool valid = read_vm(item, vm);

	json_decref(item);
	return valid;
}

static void
report_vms(dff_platform_t *platform, const GArray *list)
{
	GArray *vms = g_array_new(FALSE, FALSE, sizeof(dff_vm_t));
	dff_event_t event = {.type = DFF_EV_VM_LIST};
	guint count = MIN(list->len, VMS_MAX);
	dff_vm_t vm;

	for (guint i = 0; i < count; i++) {
		if (parse_vm(&g_array_index(list, json_text_t, i), &vm))
			g_array_append_val(vms, vm);
		else
			dff_log(platform->ctx, DFF_LOG_WARNING, "platform",
			    "entry of the VM list is invalid line=%u", i);
	}
	event.u.vm_list.vms = (const dff_vm_t *)(void *)vms->data;
	event.u.vm_list.count = vms->len;
	feed(platform, &event);
	g_array_unref(vms);
}

static void
on_vms(void *arg, void *data, const dff_fetch_result_t *fetched)
{
	dff_platform_t *platform = arg;
	GArray *list = NULL;

	(void)data;
	platform->vms_pending = false;
	if (fetched->end == DFF_HTTPC_DONE && fetched->status == 200)
		list = json_split_list(fetched->body, fetched->len, "vms");
	if (list != NULL)
		report_vms(platform, list);
	else
		dff_log(platform->ctx, DFF_LOG_WARNING, "platform",
		    "VM list cannot be read end=%d status=%d",
		    (int)fetched->end, fetched->status);
	g_clear_pointer(&list, g_array_unref);
}

static void
on_vms_timer(uv_timer_t *timer)
{
	dff_platform_t *platform = timer->data;
	const dff_httpc_call_t call = {.addr = platform->addr,
	    .method = "GET",
	    .path = "/vms",
	    .idle_timeout = platform->config.idle_timeout};

	if (platform->vms_pending)
		return;
	platform->vms_pending = true;
	(void)dff_fetch_start(
	    platform->lists, &call, VMS_BYTES_MAX, on_vms, NULL);
}

/* ---- the adapter ---- */

static void
init_follower(dff_platform_t *platform, dff_stream_t stream)
{
	follower_t *follower = &platform->followers[stream];

	follower->platform = platform;
	follower->stream = stream;
	follower->batch_max = RECORDS_MAX;
	follower->timer.data = follower;
	(void)uv_timer_init(platform->loop, &follower->timer);
}

dff_platform_t *
dff_platform_new(dff_ctx_t *ctx, uv_loop_t *loop, dff_httpc_t *httpc,
    const dff_platform_config_t *config, const dff_sink_t *sink)
{
	dff_platform_t *platform = g_new0(dff_platform_t, 1);

	platform->ctx = ctx;
	platform->loop = loop;
	platform->config = *config;
	platform->addr = g_strdup(config->addr);
	platform->sink = *sink;
	platform->reads = dff_fetcher_new(httpc, platform);
	platform->appends = dff_fetcher_new(httpc, platform);
	platform->lists = dff_fetcher_new(httpc, platform);
	for (int i = 0; i < DFF_STREAM_COUNT; i++)
		init_follower(platform, (dff_stream_t)i);
	platform->open_timers = DFF_STREAM_COUNT + 1;
	platform->vms_timer.data = platform;
	(void)uv_timer_init(loop, &platform->vms_timer);
	(void)uv_timer_start(&platform->vms_timer, on_vms_timer, 0,
	    (uint64_t)(config->vms_interval / DFF_MSEC));
	return platform;
}

static void
free_platform(dff_platform_t *platform)
{
	if (--platform->open_timers > 0)
		return;
	g_free(platform->addr);
	g_free(platform);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	free_platform(handle->data);
}

void
dff_platform_drop(dff_platform_t *platform)
{
	if (platform == NULL)
		return;
	dff_fetcher_drop(platform->reads);
	dff_fetcher_drop(platform->appends);
	dff_fetcher_drop(platform->lists);
	for (int i = 0; i < DFF_STREAM_COUNT; i++) {
		platform->followers[i].timer.data = platform;
		uv_close((uv_handle_t *)&platform->followers[i].timer,
		    on_timer_closed);
	}
	uv_close((uv_handle_t *)&platform->vms_timer, on_timer_closed);
}
