/*
 * Simulation of a plain service, without I/O or clock: slots, a running time,
 * and a journal of the calls that ran, by which tests check "at most once".
 */
#ifndef DRAGONFLYFALL_MODEL_SERVICE_H
#define DRAGONFLYFALL_MODEL_SERVICE_H

#include <glib.h>

#include "dragonflyfall/event.h"

/**
 * struct dff_service_config - settings of a service
 * @incarnation: first incarnation of the process; each crash adds one
 * @slots: maximum calls that run at the same time
 * @queue_max: maximum calls waiting for a slot
 * @run_time: duration of a call
 * @restart_downtime: downtime after a crash
 */
typedef struct dff_service_config {
	uint64_t incarnation;
	uint32_t slots;
	uint32_t queue_max;
	dff_time_t run_time;
	dff_time_t restart_downtime;
} dff_service_config_t;

/** dff_service_config_defaults() - settings of a typical service */
void dff_service_config_defaults(dff_service_config_t *config);

/**
 * struct dff_service_journal_entry - one call that ran
 * @at: start time of the call
 * @id: id given to dff_service_model_submit()
 * @key: Idempotency-Key, or ""
 * @body_hash: hash of the body
 */
typedef struct dff_service_journal_entry {
	dff_time_t at;
	uint64_t id;
	char key[256];
	uint64_t body_hash;
} dff_service_journal_entry_t;

/** enum dff_service_out_type - tag of struct dff_service_out */
typedef enum dff_service_out_type {
	DFF_SERVICE_OUT_DONE,
	DFF_SERVICE_OUT_ABORTED,
	DFF_SERVICE_OUT_CRASH,
	DFF_SERVICE_OUT_RESTARTED,
} dff_service_out_type_t;

/**
 * struct dff_service_out - one output of a service
 * @type: tag
 * @id: call, with DONE and ABORTED
 * @body_hash: hash of the body, with DONE and ABORTED
 * @run_count: with DONE, calls that this service has started so far
 */
typedef struct dff_service_out {
	dff_service_out_type_t type;
	uint64_t id;
	uint64_t body_hash;
	uint64_t run_count;
} dff_service_out_t;

/** typedef dff_service_model_t - a service */
typedef struct dff_service_model dff_service_model_t;

/** dff_service_model_new() - an idle service; the caller drops it */
dff_service_model_t *dff_service_model_new(const dff_service_config_t *config);

/** dff_service_model_drop() - free a service; NULL is allowed */
void dff_service_model_drop(dff_service_model_t *service);

/** dff_service_model_config() - settings, which the caller may change */
dff_service_config_t *dff_service_model_config(dff_service_model_t *service);

/** dff_service_model_next() - time of the next event */
dff_time_t dff_service_model_next(const dff_service_model_t *service);

/** dff_service_model_advance() - run all events that are due; the outputs
 *	(dff_service_out_t) are appended to @out */
void dff_service_model_advance(
    dff_service_model_t *service, dff_time_t now, GArray *out);

/**
 * dff_service_model_submit() - submit a call
 *
 * Return: 0 if the call runs or waits; it then runs even if its caller leaves.
 * -EAGAIN if the queue is full and -ESHUTDOWN while the service is down; the
 * call is not run.
 */
int dff_service_model_submit(dff_service_model_t *service, uint64_t id,
    const char *key, uint64_t body_hash, dff_time_t now);

/** dff_service_model_crash() - crash immediately; the outcome of running calls
 *	is unknown */
void dff_service_model_crash(
    dff_service_model_t *service, dff_time_t now, GArray *out);

/** dff_service_model_up() - false between a crash and the restart */
bool dff_service_model_up(const dff_service_model_t *service);

/** dff_service_model_incarnation() - incarnation of the process */
uint64_t dff_service_model_incarnation(const dff_service_model_t *service);

/** dff_service_model_load() - number of running and of waiting calls */
void dff_service_model_load(
    const dff_service_model_t *service, uint32_t *running, uint32_t *waiting);

/** dff_service_model_journal() - calls that ran, also before a crash; valid
 *	until the next call */
const dff_service_journal_entry_t *dff_service_model_journal(
    const dff_service_model_t *service, size_t *count);

#endif
