/*
 * The world: its places, its links, what happens when.
 */
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "parts.h"

/* How often edits and callers are looked after. */
#define CHECK_EVERY (1 * DFF_SEC)
/* Clocks of two nodes differ by so much. */
#define SKEW (1000 * DFF_SEC)
/* Clocks run fast or slow by this share. */
#define CLOCK_RATE 0.002

void
dff_world_defaults(dff_world_config_t *config)
{
	memset(config, 0, sizeof(*config));
	config->seed = 1;
	config->domains = 3;
	config->entries = 3;
	config->engines = 4;
	config->services = 2;
	config->placers = true;
	config->near = 500 * DFF_USEC;
	config->far = 4 * DFF_MSEC;
	config->jitter = 1 * DFF_MSEC;
	config->vm_lag = 1 * DFF_SEC;
	dff_engine_config_defaults(&config->engine);
	config->engine.journal_requests = true;
	config->engine.restart_downtime = 5 * DFF_SEC;
	config->engine.load_downtime = 5 * DFF_SEC;
	g_strlcpy(config->engine.model, "m1", sizeof(config->engine.model));
	dff_service_config_defaults(&config->service);
	dff_log_config_defaults(&config->log);
	dff_node_defaults(&config->node);
}

/* ---- what happens when ---- */

parcel_t *
parcel_new(fake_node_t *node)
{
	parcel_t *parcel;

	parcel = g_new0(parcel_t, 1);
	parcel->node = node;
	parcel->epoch = node != NULL ? node->epoch : 0;
	return parcel;
}

void
parcel_drop(parcel_t *parcel)
{
	if (parcel == NULL)
		return;
	g_free(parcel->text);
	if (parcel->bytes != NULL)
		g_bytes_unref(parcel->bytes);
	if (parcel->list != NULL)
		g_array_unref(parcel->list);
	g_free(parcel);
}

static gint
compare_items(gconstpointer a, gconstpointer b, gpointer arg)
{
	const item_t *x = a;
	const item_t *y = b;

	(void)arg;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	if (x->number != y->number)
		return x->number < y->number ? -1 : 1;
	return 0;
}

static void
free_item(gpointer data)
{
	item_t *item = data;

	parcel_drop(item->parcel);
	g_free(item);
}

static void
add_item(dff_world_t *world, item_t item)
{
	item_t *copy;

	item.number = world->item_count++;
	item.sent = world->now;
	copy = g_memdup2(&item, sizeof(item));
	g_tree_insert(world->items, copy, copy);
}

void
world_timer(dff_world_t *world, fake_node_t *node, dff_time_t delay,
    arrive_fn fn, parcel_t *parcel)
{
	item_t item = {
	    .at = world->now + delay, .node = node, .fn = fn, .parcel = parcel};

	add_item(world, item);
}

link_t *
world_link(dff_world_t *world, const place_t *from, const place_t *to)
{
	return &world->links[from->index * world->places + to->index];
}

void
world_send(dff_world_t *world, const place_t *from, const place_t *to,
    fake_node_t *node, arrive_fn fn, parcel_t *parcel)
{
	link_t *link = world_link(world, from, to);
	item_t item = {.link = link, .node = node, .fn = fn, .parcel = parcel};
	double loss = MAX(link->loss, world->config.loss);
	dff_time_t resend = RESEND_TIME;

	item.at = world->now + link->delay +
	    (strcmp(from->domain, to->domain) == 0 ? world->config.near :
						     world->config.far) +
	    dff_rand_below(world->ctx, (uint32_t)world->config.jitter + 1);
	while (loss > 0 && resend < TCP_TIMEOUT &&
	    dff_rand_unit(world->ctx) < loss) {
		item.at += resend;
		resend *= 2;
	}
	link->last = item.at = MAX(item.at, link->last);
	add_item(world, item);
}

static void
hold_item(dff_world_t *world, const item_t *item)
{
	item_t *copy = g_memdup2(item, sizeof(*item));

	copy->at = item->link->held_until;
	g_tree_insert(world->items, copy, copy);
}

/* Return: true if the link keeps the message back, or has lost it. */
static bool
link_holds(dff_world_t *world, item_t *item)
{
	link_t *link = item->link;

	if (link == NULL)
		return false;
	if (link->cut && link->held_until <= world->now)
		link->held_until = world->now + LINK_RETRY;
	if (!link->cut && link->held_until <= world->now)
		return false;
	/* What comes after a held message must not overtake it. */
	if (link->cut && world->now - item->sent > TCP_TIMEOUT)
		parcel_drop(item->parcel);
	else
		hold_item(world, item);
	return true;
}

static void
run_item(dff_world_t *world, item_t *item)
{
	fake_node_t *node = item->node;

	if (node != NULL &&
	    (node->node == NULL || node->epoch != item->parcel->epoch)) {
		parcel_drop(item->parcel);
		return;
	}
	if (node != NULL && node->paused) {
		g_queue_push_tail(&node->held, g_memdup2(item, sizeof(*item)));
		return;
	}
	item->fn(world, item->parcel);
	parcel_drop(item->parcel);
}

void
world_replay(dff_world_t *world, fake_node_t *node)
{
	GQueue held = node->held;
	item_t *item;

	g_queue_init(&node->held);
	while ((item = g_queue_pop_head(&held)) != NULL) {
		run_item(world, item);
		g_free(item);
	}
}

void
dff_world_run(dff_world_t *world, dff_time_t until)
{
	while (world->problem == NULL) {
		GTreeNode *first = g_tree_node_first(world->items);
		item_t *item;

		if (first == NULL)
			break;
		item = g_tree_node_key(first);
		if (item->at > until)
			break;
		g_tree_steal(world->items, item);
		world->now = MAX(world->now, item->at);
		if (!link_holds(world, item))
			run_item(world, item);
		g_free(item);
	}
	world->now = MAX(world->now, until);
}

dff_time_t
dff_world_now(const dff_world_t *world)
{
	return world->now;
}

uint64_t
dff_world_steps(const dff_world_t *world)
{
	return world->steps;
}

const char *
dff_world_problem(const dff_world_t *world)
{
	return world->problem;
}

void
world_problem(dff_world_t *world, const char *fmt, ...)
{
	va_list args;
	char *text;

	if (world->problem != NULL)
		return;
	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	world->problem = g_strdup_printf(
	    "at %.3f s: %s", (double)world->now / (double)DFF_SEC, text);
	g_free(text);
}

/* ---- places ---- */

fake_node_t *
world_node(const dff_world_t *world, const char *name)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		fake_node_t *node = g_ptr_array_index(world->nodes, i);

		if (strcmp(node->place.name, name) == 0)
			return node;
	}
	return NULL;
}

upstream_t *
world_upstream(const dff_world_t *world, const char *name)
{
	for (guint i = 0; i < world->upstreams->len; i++) {
		upstream_t *up = g_ptr_array_index(world->upstreams, i);

		if (strcmp(up->place.name, name) == 0 ||
		    strcmp(up->addr, name) == 0)
			return up;
	}
	return NULL;
}

static place_t
new_place(dff_world_t *world, const char *domain)
{
	place_t place = {.index = world->places++};

	g_strlcpy(place.domain, domain, sizeof(place.domain));
	return place;
}

static void
domain_of(const dff_world_t *world, uint32_t i, char domain[2])
{
	domain[0] = (char)('a' + (int)(i % world->config.domains));
	domain[1] = '\0';
}

static void
log_line(void *arg, dff_level_t level, const char *part, const char *text)
{
	fprintf(stderr, "<%d>%s %s: %s\n", (int)level, (const char *)arg, part,
	    text);
}

static dff_ctx_t *
new_ctx(dff_world_t *world, place_t *place)
{
	return dff_ctx_new((uint32_t)dff_rand_u64(world->ctx), DFF_LOG_INFO,
	    world->config.trace ? log_line : NULL, place->name);
}

static void
add_node(dff_world_t *world, uint32_t i, bool place)
{
	fake_node_t *node = g_new0(fake_node_t, 1);
	char domain[2];

	domain_of(world, i, domain);
	node->place = new_place(world, domain);
	g_snprintf(node->place.name, sizeof(node->place.name), "%s%u%s", domain,
	    i / world->config.domains + 1, place ? ".placer" : "");
	node->ctx = new_ctx(world, &node->place);
	node->fx = dff_effects_new();
	node->skew = SKEW * (1 + node->place.index);
	node->rate = CLOCK_RATE * ((double)(i % 3) - 1);
	node->config = world->config.node;
	node->config.serve = !place;
	node->config.place = place;
	(void)dff_name_copy(node->config.id, node->place.name);
	(void)dff_name_copy(node->config.domain, domain);
	g_snprintf(node->config.addr, sizeof(node->config.addr), "10.0.0.%u:1",
	    node->place.index);
	g_queue_init(&node->held);
	node->appends =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	node->orders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	node->asks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->told_leaving =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_ptr_array_add(world->nodes, node);
}

static void
add_upstream(dff_world_t *world, uint32_t i, bool is_engine)
{
	upstream_t *up = g_new0(upstream_t, 1);
	char domain[2];

	domain_of(world, i, domain);
	up->place = new_place(world, domain);
	up->is_engine = is_engine;
	up->wake_at = DFF_TIME_NEVER;
	g_snprintf(up->place.name, sizeof(up->place.name), "%s%u",
	    is_engine ? "e" : "s", i + 1);
	g_snprintf(up->addr, sizeof(up->addr), "10.0.1.%u:1", up->place.index);
	up->ctx = new_ctx(world, &up->place);
	if (is_engine)
		up->engine =
		    dff_engine_model_new(up->ctx, &world->config.engine, 0);
	else
		up->service = dff_service_model_new(&world->config.service);
	g_ptr_array_add(world->upstreams, up);
}

static void
list_vms(dff_world_t *world)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		fake_node_t *node = g_ptr_array_index(world->nodes, i);

		if (!node->config.place)
			(void)dff_world_vm(world, node->place.name, "live");
	}
	for (guint i = 0; i < world->upstreams->len; i++) {
		upstream_t *up = g_ptr_array_index(world->upstreams, i);

		(void)dff_world_vm(world, up->place.name, "live");
	}
}

static void
on_check(dff_world_t *world, parcel_t *parcel)
{
	(void)parcel;
	check_reach(world);
	world_timer(world, NULL, CHECK_EVERY, on_check, NULL);
}

dff_world_t *
dff_world_new(const dff_world_config_t *config)
{
	dff_world_t *world = g_new0(dff_world_t, 1);

	world->config = *config;
	world->ctx = dff_ctx_new(config->seed, DFF_LOG_ERR, NULL, NULL);
	world->items = g_tree_new_full(compare_items, NULL, free_item, NULL);
	world->nodes =
	    g_ptr_array_new_with_free_func((GDestroyNotify)node_free);
	world->upstreams =
	    g_ptr_array_new_with_free_func((GDestroyNotify)upstream_free);
	world->callers =
	    g_ptr_array_new_with_free_func((GDestroyNotify)caller_free);
	world->readers =
	    g_ptr_array_new_with_free_func((GDestroyNotify)parcel_drop);
	world->attempts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	world->engine_outs = g_array_new(FALSE, TRUE, sizeof(dff_engine_out_t));
	world->service_outs =
	    g_array_new(FALSE, TRUE, sizeof(dff_service_out_t));
	world->revisions = g_array_new(FALSE, TRUE, sizeof(revision_t));
	world->edit_ids =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->log = dff_log_model_new(&config->log);
	world->vms = dff_vms_model_new(config->vm_lag);
	world->weights = dff_weights_model_new(2 * DFF_SEC);
	world->model = g_strdup(config->engine.model);
	world->platform = new_place(world, "p");
	g_strlcpy(world->platform.name, "platform", DFF_NAME_MAX);
	for (uint32_t i = 0; i < config->entries; i++) {
		add_node(world, i, false);
		if (config->placers)
			add_node(world, i, true);
	}
	for (uint32_t i = 0; i < config->engines; i++)
		add_upstream(world, i, true);
	for (uint32_t i = 0; i < config->services; i++)
		add_upstream(world, i, false);
	world->links = g_new0(link_t, world->places * world->places);
	list_vms(world);
	(void)dff_world_edit(world, "first", 0, 100);
	for (guint i = 0; i < world->nodes->len; i++)
		node_start(world, g_ptr_array_index(world->nodes, i));
	world_timer(world, NULL, CHECK_EVERY, on_check, NULL);
	return world;
}

void
dff_world_drop(dff_world_t *world)
{
	if (world == NULL)
		return;
	g_tree_unref(world->items);
	g_ptr_array_unref(world->nodes);
	g_ptr_array_unref(world->upstreams);
	g_ptr_array_unref(world->callers);
	g_ptr_array_unref(world->readers);
	g_hash_table_unref(world->attempts);
	g_hash_table_unref(world->edit_ids);
	g_array_unref(world->engine_outs);
	g_array_unref(world->service_outs);
	g_array_unref(world->revisions);
	dff_log_model_drop(world->log);
	dff_vms_model_drop(world->vms);
	dff_weights_model_drop(world->weights);
	g_free(world->model);
	g_free(world->links);
	g_free(world->problem);
	dff_ctx_drop(world->ctx);
	g_free(world);
}
