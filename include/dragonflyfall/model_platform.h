/*
 * Models of what the platform offers beside its log, without I/O or clock:
 * the VM list, which lags, and the weight store, which is rate-limited.
 */
#ifndef DRAGONFLYFALL_MODEL_PLATFORM_H
#define DRAGONFLYFALL_MODEL_PLATFORM_H

#include "dragonflyfall/event.h"

/** typedef dff_vms_model_t - the VM list */
typedef struct dff_vms_model dff_vms_model_t;

/** dff_vms_model_new() - an empty list whose readers see it @lag late */
dff_vms_model_t *dff_vms_model_new(dff_time_t lag);

/** dff_vms_model_drop() - free the list; NULL is allowed */
void dff_vms_model_drop(dff_vms_model_t *vms);

/** dff_vms_model_set_lag() - set the lag */
void dff_vms_model_set_lag(dff_vms_model_t *vms, dff_time_t lag);

/** dff_vms_model_set() - add a VM, or replace the one with its id */
void dff_vms_model_set(
    dff_vms_model_t *vms, const dff_vm_t *vm, dff_time_t now);

/** dff_vms_model_remove() - take a VM off; -ENOENT for an unknown id */
int dff_vms_model_remove(dff_vms_model_t *vms, const char *id, dff_time_t now);

/** dff_vms_model_find() - a VM as it is now, without lag, or NULL */
const dff_vm_t *dff_vms_model_find(const dff_vms_model_t *vms, const char *id);

/** dff_vms_model_read() - the list that readers see; good until the next
 *	call */
const dff_vm_t *dff_vms_model_read(
    dff_vms_model_t *vms, dff_time_t now, size_t *count);

/** typedef dff_weights_model_t - the weight store */
typedef struct dff_weights_model dff_weights_model_t;

/** dff_weights_model_new() - a store that gives a leave each @every */
dff_weights_model_t *dff_weights_model_new(dff_time_t every);

/** dff_weights_model_drop() - free the store; NULL is allowed */
void dff_weights_model_drop(dff_weights_model_t *weights);

/** dff_weights_model_ask() - ask for leave to load; 0, or time to wait */
dff_time_t dff_weights_model_ask(dff_weights_model_t *weights, dff_time_t now);

#endif
