/*
 * A small harness in virtual time: several nodes' reducers, engine and
 * service models, one log, a VM list, links that delay, lose and break, and
 * callers that note all they get. After each step the invariants are
 * checked by what the fakes received and what callers got, never by what a
 * node says of itself. Same seed and same calls, same run.
 *
 * Names of places: entries "a1", "a2", "b1" ... (a failure domain's letter
 * and a number), their placers "a1.placer", engines "e1" ..., services
 * "s1" ..., and "platform".
 */
#ifndef FAKE_WORLD_H
#define FAKE_WORLD_H

#include "dragonflyfall/model_engine.h"
#include "dragonflyfall/model_log.h"
#include "dragonflyfall/model_platform.h"
#include "dragonflyfall/model_service.h"
#include "dragonflyfall/node.h"

/* Owner's API key in the catalogue that the world makes. */
#define DFF_WORLD_SECRET "key-k"

/**
 * struct dff_world_config - settings of a world
 * @seed: seed of all random numbers
 * @domains: failure domains, 1 to 3
 * @entries: entry VMs, spread over the domains
 * @engines: engines, likewise
 * @services: plain services, likewise
 * @placers: each entry VM runs a placer too
 * @near: delay inside a domain, one way
 * @far: delay between domains, one way
 * @jitter: most that is added at random
 * @loss: share of messages that are sent again after a while
 * @vm_lag: lag of the VM list
 * @engine: settings of the engines
 * @service: settings of the services
 * @log: settings of the log
 * @node: settings of the nodes; names and addresses are filled in
 * @trace: print the nodes' log lines on standard error
 */
typedef struct dff_world_config {
	uint32_t seed;
	uint32_t domains;
	uint32_t entries;
	uint32_t engines;
	uint32_t services;
	bool placers;
	dff_time_t near;
	dff_time_t far;
	dff_time_t jitter;
	double loss;
	dff_time_t vm_lag;
	dff_engine_config_t engine;
	dff_service_config_t service;
	dff_log_config_t log;
	dff_node_config_t node;
	bool trace;
} dff_world_config_t;

/** dff_world_defaults() - three entries, four engines, two services */
void dff_world_defaults(dff_world_config_t *config);

/** typedef dff_world_t - a world */
typedef struct dff_world dff_world_t;

/** dff_world_new() - a world at moment 0, its nodes started, its catalogue
 *	appended; the caller drops it */
dff_world_t *dff_world_new(const dff_world_config_t *config);

/** dff_world_drop() - free a world; NULL is allowed */
void dff_world_drop(dff_world_t *world);

/** dff_world_run() - go on until a moment, or until an invariant broke */
void dff_world_run(dff_world_t *world, dff_time_t until);

/** dff_world_now() - the moment */
dff_time_t dff_world_now(const dff_world_t *world);

/** dff_world_steps() - steps of nodes so far */
uint64_t dff_world_steps(const dff_world_t *world);

/** dff_world_problem() - the first invariant that broke, or NULL */
const char *dff_world_problem(const dff_world_t *world);

/* ---- nodes ---- */

/** dff_world_kill() - end a node's process at once; -ENOENT, -EALREADY */
int dff_world_kill(dff_world_t *world, const char *name);

/** dff_world_restart() - start a node's process anew, killing an old one */
int dff_world_restart(dff_world_t *world, const char *name);

/** dff_world_pause() - freeze a node: its events queue, its clock runs on */
int dff_world_pause(dff_world_t *world, const char *name);

/** dff_world_wake() - let a frozen node go on */
int dff_world_wake(dff_world_t *world, const char *name);

/** dff_world_pause_at_order() - freeze a node when it is about to send its
 *	next order, which leaves when it wakes */
int dff_world_pause_at_order(dff_world_t *world, const char *name);

/** dff_world_stop() - ask a node for a graceful stop */
int dff_world_stop(dff_world_t *world, const char *name);

/** dff_world_up() - a node's process runs (or is frozen) */
bool dff_world_up(const dff_world_t *world, const char *name);

/** dff_world_node() - a node's reducer, borrowed, or NULL */
const dff_node_t *dff_world_node(const dff_world_t *world, const char *name);

/* ---- links ---- */

/** dff_world_cut() - break or mend the link one way; "*" stands for all */
int dff_world_cut(
    dff_world_t *world, const char *from, const char *to, bool cut);

/** dff_world_delay() - add a delay to the link one way */
int dff_world_delay(
    dff_world_t *world, const char *from, const char *to, dff_time_t delay);

/** dff_world_loss() - set the share of messages lost on the link one way */
int dff_world_loss(
    dff_world_t *world, const char *from, const char *to, double loss);

/* ---- upstreams and platform ---- */

/** dff_world_crash() - crash an engine or a service */
int dff_world_crash(dff_world_t *world, const char *name);

/** dff_world_engine() - an engine's model, or NULL */
dff_engine_model_t *dff_world_engine(dff_world_t *world, const char *name);

/** dff_world_service() - a service's model, or NULL */
dff_service_model_t *dff_world_service(dff_world_t *world, const char *name);

/** dff_world_log() - the log's model */
dff_log_model_t *dff_world_log(dff_world_t *world);

/** dff_world_slow() - add a delay to each answer of the platform */
void dff_world_slow(dff_world_t *world, dff_time_t delay);

/** dff_world_vm() - set a VM's line in the VM list: "live", "leaving" or
 *	"gone" */
int dff_world_vm(dff_world_t *world, const char *name, const char *state);

/**
 * dff_world_edit() - an operator appends an edit of the catalogue
 * @edit_id: id of the edit
 * @against: revision, or -1 for the one in force
 * @limit: max_running of the owner in the edited file; 0 makes a file that
 *	does not pass the checks
 *
 * Return: 0, or -EAGAIN if the log took it not, or did not say.
 */
int dff_world_edit(
    dff_world_t *world, const char *edit_id, int64_t against, uint32_t limit);

/** dff_world_edit_model() - as above, but change version and model that the
 *	engines' pool names */
int dff_world_edit_model(
    dff_world_t *world, const char *edit_id, const char *model);

/** dff_world_garbage() - append bytes that are no record */
int dff_world_garbage(dff_world_t *world, dff_stream_t stream);

/** dff_world_revision() - revision in force by the log itself */
uint64_t dff_world_revision(const dff_world_t *world);

/* ---- callers ---- */

/**
 * struct dff_world_call - one request of a caller
 * @node: entry that the balancer picks; NULL for any that is healthy
 * @entry: "chat" (a model), "pay" (may not repeat) or "stock"
 * @prompt: prompt or body
 * @max_tokens: for a model
 * @key: Idempotency-Key, or NULL
 * @poison: the prompt crashes engines
 * @resend: how often the caller sends it again, elsewhere, if it got no
 *	whole answer
 * @patience: after this the caller hangs up; 0 never
 */
typedef struct dff_world_call {
	const char *node;
	const char *entry;
	const char *prompt;
	uint32_t max_tokens;
	const char *key;
	bool poison;
	uint32_t resend;
	dff_time_t patience;
} dff_world_call_t;

/** enum dff_got - what a caller got */
typedef enum dff_got {
	DFF_GOT_NOTHING_YET,
	DFF_GOT_WHOLE,
	DFF_GOT_REFUSED_NOT_RUN,
	DFF_GOT_ERROR_UNKNOWN,
	DFF_GOT_ERROR_RAN,
	DFF_GOT_BROKEN, /* the entry's process ended, or did not run */
	DFF_GOT_HUNG_UP, /* the caller itself did */
} dff_got_t;

/** dff_got_name() - "nothing", "whole", "not_run", "unknown", ... */
const char *dff_got_name(dff_got_t got);

/** dff_world_call() - send a request; returns the caller's number */
uint32_t dff_world_call(dff_world_t *world, const dff_world_call_t *call);

/** dff_world_got() - what a caller got in the end, its resends included */
dff_got_t dff_world_got(const dff_world_t *world, uint32_t caller);

/** dff_world_code() - code of the last error that a caller got, or "" */
const char *dff_world_code(const dff_world_t *world, uint32_t caller);

/** dff_world_count() - callers that got this */
uint32_t dff_world_count(const dff_world_t *world, dff_got_t got);

/** dff_world_ran() - how often services ran calls with a key */
uint32_t dff_world_ran(const dff_world_t *world, const char *key);

/** dff_world_crashes() - engines lost so far */
uint32_t dff_world_crashes(const dff_world_t *world);

#endif
