#include "net/poll.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "dragonflyfall/program.h"

/* Largest accepted answer. */
#define ANSWER_MAX (256 * 1024)

/* One polled VM. */
typedef struct target {
	dff_poll_t *poll;
	char vm[DFF_NAME_MAX];
	char addr[DFF_ADDR_MAX];
	uv_timer_t timer;
	dff_fetch_t *fetch;
	dff_time_t sent_at;
	uint64_t cursor;
} target_t;

struct dff_poll {
	dff_ctx_t *ctx;
	uv_loop_t *loop;
	dff_poll_config_t config;
	dff_poll_fn fn;
	void *arg;
	dff_fetcher_t *fetcher;
	GHashTable *targets; /* VM id to target_t */
	uint64_t failed;
};

static void
on_timer_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void
drop_target(void *data)
{
	target_t *target = data;

	if (target->fetch != NULL)
		dff_fetch_cancel(target->fetch);
	uv_close((uv_handle_t *)&target->timer, on_timer_closed);
}

static void
on_answer(void *arg, void *data, const dff_fetch_result_t *fetched)
{
	dff_poll_t *poll = arg;
	target_t *target = g_hash_table_lookup(poll->targets, data);
	json_t *body = NULL;

	target->fetch = NULL;
	if (fetched->end == DFF_HTTPC_DONE && fetched->status == 200)
		body = json_loadb(fetched->body, fetched->len, 0, NULL);
	if (json_is_object(body))
		poll->fn(poll->arg, target->vm, target->sent_at, body,
		    &target->cursor);
	else
		poll->failed++;
	json_decref(body);
}

static void
on_timer(uv_timer_t *timer)
{
	target_t *target = timer->data;
	dff_poll_t *poll = target->poll;
	dff_httpc_call_t call = {.addr = target->addr,
	    .method = "GET",
	    .path = poll->config.path,
	    .idle_timeout = poll->config.idle_timeout};
	char path[128];

	if (target->fetch != NULL)
		return;
	if (poll->config.has_cursor) {
		(void)snprintf(path, sizeof(path), "%s%" PRIu64,
		    poll->config.path, target->cursor);
		call.path = path;
	}
	target->sent_at = dff_program_now();
	target->fetch = dff_fetch_start(
	    poll->fetcher, &call, ANSWER_MAX, on_answer, g_strdup(target->vm));
}

static void
add_target(dff_poll_t *poll, const dff_fx_engine_watch_t *watch)
{
	uint64_t interval = (uint64_t)(poll->config.interval / DFF_MSEC);
	target_t *target = g_new0(target_t, 1);

	target->poll = poll;
	(void)g_strlcpy(target->vm, watch->vm, sizeof(target->vm));
	(void)g_strlcpy(target->addr, watch->addr, sizeof(target->addr));
	target->timer.data = target;
	(void)uv_timer_init(poll->loop, &target->timer);
	/* Spread, so that nodes that start together do not poll together. */
	(void)uv_timer_start(&target->timer, on_timer,
	    dff_rand_below(poll->ctx, (uint32_t)interval), interval);
	g_hash_table_insert(poll->targets, target->vm, target);
}

void
dff_poll_watch(dff_poll_t *poll, const dff_fx_engine_watch_t *watch)
{
	const target_t *target;

	/* An event that ends a watch has only the VM's id, no valid kind. */
	if (watch->enabled && watch->kind != poll->config.kind)
		return;
	target = g_hash_table_lookup(poll->targets, watch->vm);
	if (target != NULL && watch->enabled &&
	    strcmp(target->addr, watch->addr) == 0)
		return;
	if (target != NULL)
		(void)g_hash_table_remove(poll->targets, watch->vm);
	if (watch->enabled)
		add_target(poll, watch);
}

uint64_t
dff_poll_failed(const dff_poll_t *poll)
{
	return poll->failed;
}

dff_poll_t *
dff_poll_new(dff_ctx_t *ctx, uv_loop_t *loop, dff_httpc_t *httpc,
    const dff_poll_config_t *config, dff_poll_fn fn, void *arg)
{
	dff_poll_t *poll = g_new0(dff_poll_t, 1);

	poll->ctx = ctx;
	poll->loop = loop;
	poll->config = *config;
	poll->fn = fn;
	poll->arg = arg;
	poll->fetcher = dff_fetcher_new(httpc, poll);
	poll->targets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, drop_target);
	return poll;
}

void
dff_poll_drop(dff_poll_t *poll)
{
	if (poll == NULL)
		return;
	g_hash_table_unref(poll->targets);
	dff_fetcher_drop(poll->fetcher);
	g_free(poll);
}
