/*
 * Simulations of the platform's VM list, which lags, and of its weight store,
 * which is rate-limited; without I/O or clock.
 */
#ifndef DRAGONFLYFALL_MODEL_PLATFORM_H
#define DRAGONFLYFALL_MODEL_PLATFORM_H

#include "dragonflyfall/event.h"

/** typedef dff_vms_model_t - the VM list */
typedef struct dff_vms_model dff_vms_model_t;

/** dff_vms_model_new() - an empty list; readers see changes after @lag */
dff_vms_model_t *dff_vms_model_new(dff_time_t lag);

/** dff_vms_model_drop() - free the list; NULL is allowed */
void dff_vms_model_drop(dff_vms_model_t *vms);

/** dff_vms_model_set_lag() - set the lag */
void dff_vms_model_set_lag(dff_vms_model_t *vms, dff_time_t lag);

/** dff_vms_model_set() - add a VM, or replace the one with its id */
void dff_vms_model_set(
    dff_vms_model_t *vms, const dff_vm_t *vm, dff_time_t now);

/** dff_vms_model_remove() - remove a VM; -ENOENT for an unknown id */
int dff_vms_model_remove(dff_vms_model_t *vms, const char *id, dff_time_t now);

/** dff_vms_model_find() - current entry of a VM, without lag, or NULL */
const dff_vm_t *dff_vms_model_find(const dff_vms_model_t *vms, const char *id);

/** dff_vms_model_read() - the list that readers see; valid until the next
 *	call */
const dff_vm_t *dff_vms_model_read(
    dff_vms_model_t *vms, dff_time_t now, size_t *count);

/** typedef dff_weights_model_t - the weight store */
typedef struct dff_weights_model dff_weights_model_t;

/** dff_weights_model_new() - a store that permits one load per @period */
dff_weights_model_t *dff_weights_model_new(dff_time_t period);

/** dff_weights_model_drop() - free the store; NULL is allowed */
void dff_weights_model_drop(dff_weights_model_t *weights);

/** dff_weights_model_acquire() - ask for permission to load weights; returns 0
 *	if it is granted, else the time until the next request may succeed */
dff_time_t dff_weights_model_acquire(
    dff_weights_model_t *weights, dff_time_t now);

#endif
