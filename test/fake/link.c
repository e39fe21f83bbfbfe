/*
 * What a test does to links, to the VM list and to upstreams.
 */
#include <errno.h>
#include <string.h>

#include "parts.h"

static const place_t *
place_at(const dff_world_t *world, uint32_t i)
{
	if (i == 0)
		return &world->platform;
	i--;
	if (i < world->nodes->len)
		return &((fake_node_t *)g_ptr_array_index(world->nodes, i))
			    ->place;
	i -= world->nodes->len;
	return &((upstream_t *)g_ptr_array_index(world->upstreams, i))->place;
}

static bool
matches(const place_t *place, const char *name)
{
	return strcmp(name, "*") == 0 || strcmp(place->name, name) == 0;
}

typedef void (*link_fn)(link_t *link, double value);

static int
set_links(dff_world_t *world, const char *from, const char *to, link_fn fn,
    double value)
{
	int found = 0;

	for (uint32_t i = 0; i < world->places; i++) {
		const place_t *source = place_at(world, i);

		if (!matches(source, from))
			continue;
		for (uint32_t k = 0; k < world->places; k++) {
			const place_t *target = place_at(world, k);

			if (i == k || !matches(target, to))
				continue;
			fn(world_link(world, source, target), value);
			found++;
		}
	}
	return found > 0 ? 0 : -ENOENT;
}

static void
set_cut(link_t *link, double value)
{
	link->cut = value > 0;
}

static void
set_delay(link_t *link, double value)
{
	link->delay = (dff_time_t)value;
}

static void
set_loss(link_t *link, double value)
{
	link->loss = value;
}

int
dff_world_cut(dff_world_t *world, const char *from, const char *to, bool cut)
{
	return set_links(world, from, to, set_cut, cut ? 1 : 0);
}

int
dff_world_delay(
    dff_world_t *world, const char *from, const char *to, dff_time_t delay)
{
	return set_links(world, from, to, set_delay, (double)delay);
}

int
dff_world_loss(
    dff_world_t *world, const char *from, const char *to, double loss)
{
	return set_links(world, from, to, set_loss, loss);
}

static void
describe(const dff_world_t *world, const char *name, dff_vm_t *vm)
{
	const upstream_t *up = world_upstream(world, name);
	const fake_node_t *node = world_node(world, name);

	g_strlcpy(vm->id, name, sizeof(vm->id));
	vm->incarnation = 1;
	if (up != NULL) {
		vm->kind = up->is_engine ? DFF_VM_ENGINE : DFF_VM_SERVICE;
		g_strlcpy(vm->addr, up->addr, sizeof(vm->addr));
		g_strlcpy(vm->domain, up->place.domain, sizeof(vm->domain));
		g_strlcpy(vm->pool, up->is_engine ? "llm" : "ledger",
		    sizeof(vm->pool));
		return;
	}
	vm->kind = DFF_VM_ENTRY;
	g_strlcpy(vm->addr, node->config.addr, sizeof(vm->addr));
	g_strlcpy(vm->domain, node->place.domain, sizeof(vm->domain));
}

int
dff_world_vm(dff_world_t *world, const char *name, const char *state)
{
	const dff_vm_t *old = dff_vms_model_find(world->vms, name);
	/* What is there from the start is older than the list's lag. */
	dff_time_t when =
	    old == NULL && world->now == 0 ? -world->config.vm_lag : world->now;
	dff_vm_t vm = {0};

	if (world_upstream(world, name) == NULL &&
	    world_node(world, name) == NULL)
		return -ENOENT;
	if (strcmp(state, "gone") == 0)
		return dff_vms_model_remove(world->vms, name, when);
	if (old != NULL)
		vm = *old;
	else
		describe(world, name, &vm);
	vm.leaving = strcmp(state, "leaving") == 0;
	dff_vms_model_set(world->vms, &vm, when);
	return 0;
}

int
dff_world_crash(dff_world_t *world, const char *name)
{
	upstream_t *up = world_upstream(world, name);

	if (up == NULL)
		return -ENOENT;
	/* What it gave before is carried out before. */
	upstream_pump(world, up);
	if (up->is_engine)
		dff_engine_model_crash(
		    up->engine, world->now, world->engine_outs);
	else
		dff_service_model_crash(
		    up->service, world->now, world->service_outs);
	upstream_pump(world, up);
	return 0;
}

dff_engine_model_t *
dff_world_engine(dff_world_t *world, const char *name)
{
	upstream_t *up = world_upstream(world, name);

	return up != NULL ? up->engine : NULL;
}

dff_service_model_t *
dff_world_service(dff_world_t *world, const char *name)
{
	upstream_t *up = world_upstream(world, name);

	return up != NULL ? up->service : NULL;
}

void
dff_world_slow(dff_world_t *world, dff_time_t delay)
{
	world->slow = delay;
}

dff_log_model_t *
dff_world_log(dff_world_t *world)
{
	return world->log;
}
