/*
 * A model of a plain service, without I/O or clock: slots, a running time,
 * and a journal of what it ran, so that "at most once" is judged by what
 * the service received.
 */
#ifndef DRAGONFLYFALL_MODEL_SERVICE_H
#define DRAGONFLYFALL_MODEL_SERVICE_H

#include <glib.h>

#include "dragonflyfall/event.h"

/**
 * struct dff_service_config - settings of a service
 * @incarnation: of its process; grows by one at each crash
 * @slots: calls that run at once
 * @queue_max: calls that wait for a slot
 * @run_time: time that a call runs
 * @restart_away: time away after a crash
 */
typedef struct dff_service_config {
	uint64_t incarnation;
	uint32_t slots;
	uint32_t queue_max;
	dff_time_t run_time;
	dff_time_t restart_away;
} dff_service_config_t;

/** dff_service_config_defaults() - a service as in today's fleets */
void dff_service_config_defaults(dff_service_config_t *config);

/**
 * struct dff_service_note - one call that was run
 * @at: moment at which it began to run
 * @id: number given by the harness
 * @key: Idempotency-Key, or ""
 * @body_hash: hash of the body
 */
typedef struct dff_service_note {
	dff_time_t at;
	uint64_t id;
	char key[256];
	uint64_t body_hash;
} dff_service_note_t;

/** enum dff_service_out_type - tag of struct dff_service_out */
typedef enum dff_service_out_type {
	DFF_SERVICE_OUT_DONE,
	DFF_SERVICE_OUT_BROKEN,
	DFF_SERVICE_OUT_CRASH,
	DFF_SERVICE_OUT_BACK,
} dff_service_out_type_t;

/**
 * struct dff_service_out - one thing that a service gave
 * @type: tag
 * @id: call, with DONE and BROKEN
 * @body_hash: of the call, with DONE
 * @ran: with DONE, how often this service has run a call by now
 */
typedef struct dff_service_out {
	dff_service_out_type_t type;
	uint64_t id;
	uint64_t body_hash;
	uint64_t ran;
} dff_service_out_t;

/** typedef dff_service_model_t - a service */
typedef struct dff_service_model dff_service_model_t;

/** dff_service_model_new() - an idle service; the caller drops it */
dff_service_model_t *dff_service_model_new(const dff_service_config_t *config);

/** dff_service_model_drop() - free a service; NULL is allowed */
void dff_service_model_drop(dff_service_model_t *service);

/** dff_service_model_config() - its settings, which may be changed */
dff_service_config_t *dff_service_model_config(dff_service_model_t *service);

/** dff_service_model_next() - next moment at which it does something */
dff_time_t dff_service_model_next(const dff_service_model_t *service);

/** dff_service_model_advance() - do all that is due; dff_service_out_t are
 *	added at @out */
void dff_service_model_advance(
    dff_service_model_t *service, dff_time_t now, GArray *out);

/**
 * dff_service_model_submit() - offer a call
 *
 * Return: 0 if it runs or waits, and then runs whatever its caller does;
 * -EAGAIN if it is full and -ESHUTDOWN after a crash, which did not run it.
 */
int dff_service_model_submit(dff_service_model_t *service, uint64_t id,
    const char *key, uint64_t body_hash, dff_time_t now);

/** dff_service_model_crash() - crash now; what ran is of unknown outcome */
void dff_service_model_crash(
    dff_service_model_t *service, dff_time_t now, GArray *out);

/** dff_service_model_up() - it runs; false after a crash */
bool dff_service_model_up(const dff_service_model_t *service);

/** dff_service_model_incarnation() - of its process */
uint64_t dff_service_model_incarnation(const dff_service_model_t *service);

/** dff_service_model_load() - calls that run, and that wait */
void dff_service_model_load(
    const dff_service_model_t *service, uint32_t *running, uint32_t *waiting);

/** dff_service_model_journal() - what it ran, also before a crash; good until
 *	the next call */
const dff_service_note_t *dff_service_model_journal(
    const dff_service_model_t *service, size_t *count);

#endif
