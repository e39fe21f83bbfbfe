/*
 * Simulations of the VM list and the weight store.
 */
#include "dragonflyfall/model_platform.h"

#include <errno.h>
#include <string.h>

#include <glib.h>

/* The list since time @valid_from. */
typedef struct version {
	dff_time_t valid_from;
	GArray *vms; /* dff_vm_t */
} version_t;

struct dff_vms_model {
	dff_time_t lag;
	GQueue versions; /* version_t, oldest first */
};

struct dff_weights_model {
	dff_time_t period;
	dff_time_t next_load_at;
};

static version_t *
push_version(dff_vms_model_t *vms, dff_time_t now)
{
	const version_t *last = g_queue_peek_tail(&vms->versions);
	version_t *version;

	version = g_new0(version_t, 1);
	version->valid_from = now;
	version->vms = g_array_new(FALSE, TRUE, sizeof(dff_vm_t));
	if (last != NULL && last->vms->len > 0)
		g_array_append_vals(
		    version->vms, last->vms->data, last->vms->len);
	g_queue_push_tail(&vms->versions, version);
	return version;
}

static void
free_version(gpointer data)
{
	version_t *version = data;

	g_array_unref(version->vms);
	g_free(version);
}

dff_vms_model_t *
dff_vms_model_new(dff_time_t lag)
{
	dff_vms_model_t *vms;

	vms = g_new0(dff_vms_model_t, 1);
	vms->lag = lag;
	g_queue_init(&vms->versions);
	push_version(vms, INT64_MIN);
	return vms;
}

void
dff_vms_model_drop(dff_vms_model_t *vms)
{
	if (vms == NULL)
		return;
	g_queue_clear_full(&vms->versions, free_version);
	g_free(vms);
}

void
dff_vms_model_set_lag(dff_vms_model_t *vms, dff_time_t lag)
{
	vms->lag = lag;
}

static dff_vm_t *
find_vm(const version_t *version, const char *id, guint *index)
{
	for (guint i = 0; i < version->vms->len; i++) {
		dff_vm_t *vm = &g_array_index(version->vms, dff_vm_t, i);

		if (strcmp(vm->id, id) != 0)
			continue;
		*index = i;
		return vm;
	}
	return NULL;
}

void
dff_vms_model_set(dff_vms_model_t *vms, const dff_vm_t *vm, dff_time_t now)
{
	version_t *version;
	dff_vm_t *old;
	guint index;

	version = push_version(vms, now);
	old = find_vm(version, vm->id, &index);
	if (old != NULL)
		*old = *vm;
	else
		g_array_append_vals(version->vms, vm, 1);
}

int
dff_vms_model_remove(dff_vms_model_t *vms, const char *id, dff_time_t now)
{
	version_t *version;
	guint index;

	if (dff_vms_model_find(vms, id) == NULL)
		return -ENOENT;
	version = push_version(vms, now);
	if (find_vm(version, id, &index) != NULL)
		g_array_remove_index(version->vms, index);
	return 0;
}

const dff_vm_t *
dff_vms_model_find(const dff_vms_model_t *vms, const char *id)
{
	guint index;

	return find_vm(vms->versions.tail->data, id, &index);
}

const dff_vm_t *
dff_vms_model_read(dff_vms_model_t *vms, dff_time_t now, size_t *count)
{
	const version_t *version;

	while (vms->versions.length > 1) {
		version = vms->versions.head->next->data;
		if (version->valid_from > now - vms->lag)
			break;
		free_version(g_queue_pop_head(&vms->versions));
	}
	version = vms->versions.head->data;
	*count = version->vms->len;
	return (const dff_vm_t *)(const void *)version->vms->data;
}

dff_weights_model_t *
dff_weights_model_new(dff_time_t period)
{
	dff_weights_model_t *weights;

	weights = g_new0(dff_weights_model_t, 1);
	weights->period = period;
	weights->next_load_at = INT64_MIN;
	return weights;
}

void
dff_weights_model_drop(dff_weights_model_t *weights)
{
	g_free(weights);
}

dff_time_t
dff_weights_model_acquire(dff_weights_model_t *weights, dff_time_t now)
{
	if (now < weights->next_load_at)
		return weights->next_load_at - now;
	weights->next_load_at = now + weights->period;
	return 0;
}
