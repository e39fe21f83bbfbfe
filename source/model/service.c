/*
 * Simulation of a plain service.
 */
#include "dragonflyfall/model_service.h"

#include <errno.h>

typedef struct call {
	uint64_t id;
	char key[256];
	uint64_t body_hash;
	dff_time_t done_at;
} call_t;

struct dff_service_model {
	dff_service_config_t config;
	uint64_t incarnation;
	GQueue running; /* call_t, by end */
	GQueue waiting;
	GArray *journal;
	dff_time_t restart_at;
};

void
dff_service_config_defaults(dff_service_config_t *config)
{
	config->incarnation = 1;
	config->slots = 8;
	config->queue_max = 64;
	config->run_time = 20 * DFF_MSEC;
	config->restart_downtime = 5 * DFF_SEC;
}

dff_service_model_t *
dff_service_model_new(const dff_service_config_t *config)
{
	dff_service_model_t *service;

	service = g_new0(dff_service_model_t, 1);
	service->config = *config;
	service->incarnation = config->incarnation;
	g_queue_init(&service->running);
	g_queue_init(&service->waiting);
	service->journal =
	    g_array_new(FALSE, TRUE, sizeof(dff_service_journal_entry_t));
	service->restart_at = DFF_TIME_NEVER;
	return service;
}

void
dff_service_model_drop(dff_service_model_t *service)
{
	if (service == NULL)
		return;
	g_queue_clear_full(&service->running, g_free);
	g_queue_clear_full(&service->waiting, g_free);
	g_array_unref(service->journal);
	g_free(service);
}

dff_service_config_t *
dff_service_model_config(dff_service_model_t *service)
{
	return &service->config;
}

bool
dff_service_model_up(const dff_service_model_t *service)
{
	return service->restart_at == DFF_TIME_NEVER;
}

uint64_t
dff_service_model_incarnation(const dff_service_model_t *service)
{
	return service->incarnation;
}

void
dff_service_model_load(
    const dff_service_model_t *service, uint32_t *running, uint32_t *waiting)
{
	*running = service->running.length;
	*waiting = service->waiting.length;
}

const dff_service_journal_entry_t *
dff_service_model_journal(const dff_service_model_t *service, size_t *count)
{
	*count = service->journal->len;
	return (const dff_service_journal_entry_t *)(const void *)
	    service->journal->data;
}

dff_time_t
dff_service_model_next(const dff_service_model_t *service)
{
	const call_t *first;

	if (!dff_service_model_up(service))
		return service->restart_at;
	first = g_queue_peek_head((GQueue *)&service->running);
	return first == NULL ? DFF_TIME_NEVER : first->done_at;
}

static void
emit(GArray *out, dff_service_out_type_t type, const call_t *call,
    uint64_t run_count)
{
	dff_service_out_t item = {.type = type, .run_count = run_count};

	if (call != NULL) {
		item.id = call->id;
		item.body_hash = call->body_hash;
	}
	g_array_append_val(out, item);
}

static gint
compare_end(gconstpointer a, gconstpointer b, gpointer arg)
{
	const call_t *x = a;
	const call_t *y = b;

	(void)arg;
	return x->done_at < y->done_at ? -1 : x->done_at > y->done_at;
}

static void
start_call(dff_service_model_t *service, call_t *call, dff_time_t now)
{
	dff_service_journal_entry_t entry = {.at = now, .id = call->id};

	g_strlcpy(entry.key, call->key, sizeof(entry.key));
	entry.body_hash = call->body_hash;
	g_array_append_val(service->journal, entry);
	call->done_at = now + service->config.run_time;
	/* run_time may change between calls, so a later call may end first. */
	g_queue_insert_sorted(&service->running, call, compare_end, NULL);
}

static void
start_waiting(dff_service_model_t *service, dff_time_t now)
{
	while (service->running.length < service->config.slots &&
	    service->waiting.length > 0)
		start_call(service, g_queue_pop_head(&service->waiting), now);
}

int
dff_service_model_submit(dff_service_model_t *service, uint64_t id,
    const char *key, uint64_t body_hash, dff_time_t now)
{
	call_t *call;

	if (!dff_service_model_up(service))
		return -ESHUTDOWN;
	if (service->waiting.length >= service->config.queue_max)
		return -EAGAIN;
	call = g_new0(call_t, 1);
	call->id = id;
	g_strlcpy(call->key, key, sizeof(call->key));
	call->body_hash = body_hash;
	g_queue_push_tail(&service->waiting, call);
	start_waiting(service, now);
	return 0;
}

static void
run_next_event(dff_service_model_t *service, dff_time_t now, GArray *out)
{
	call_t *call;

	if (!dff_service_model_up(service)) {
		service->incarnation++;
		service->restart_at = DFF_TIME_NEVER;
		emit(out, DFF_SERVICE_OUT_RESTARTED, NULL, 0);
		return;
	}
	call = g_queue_pop_head(&service->running);
	emit(out, DFF_SERVICE_OUT_DONE, call, service->journal->len);
	g_free(call);
	start_waiting(service, now);
}

void
dff_service_model_advance(
    dff_service_model_t *service, dff_time_t now, GArray *out)
{
	dff_time_t next;

	while ((next = dff_service_model_next(service)) <= now)
		run_next_event(service, next, out);
}

void
dff_service_model_crash(
    dff_service_model_t *service, dff_time_t now, GArray *out)
{
	GQueue *lists[] = {&service->running, &service->waiting};

	if (!dff_service_model_up(service))
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
		call_t *call;

		while ((call = g_queue_pop_head(lists[i])) != NULL) {
			emit(out, DFF_SERVICE_OUT_ABORTED, call, 0);
			g_free(call);
		}
	}
	service->restart_at = now + service->config.restart_downtime;
	emit(out, DFF_SERVICE_OUT_CRASH, NULL, 0);
}
