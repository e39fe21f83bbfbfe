/*
 * The parts of the virtual fleet among themselves.
 */
#ifndef BENCH_FLEET_STATE_H
#define BENCH_FLEET_STATE_H

#include "fleet.h"

/* Time between a mark of drain and the first look at the engine. */
#define DRAIN_SEEN (1 * DFF_SEC)
/* Time between two looks at an engine that drains. */
#define DRAIN_LOOK (100 * DFF_MSEC)
/* Longest drain before the change is given up. */
#define DRAIN_MOST (60 * DFF_SEC)
/* Tokens after the first that are told to a node in one event. */
#define TOKEN_GROUP 8
/* Tries of one call. */
#define TRIES_MAX 4

/** enum what_kind - tag of an event */
typedef enum what_kind {
	WHAT_ARRIVE,
	WHAT_VISIT,
	WHAT_SUBMIT,
	WHAT_CANCEL,
	WHAT_REJECTED,
	WHAT_TOKENS,
	WHAT_END,
	WHAT_BROKEN,
	WHAT_IMPORT,
	WHAT_LEAVE,
	WHAT_WAKE,
	WHAT_ENGINE,
	WHAT_SERVICE,
	WHAT_REPORTS,
	WHAT_CACHE,
	WHAT_BEAT,
	WHAT_TOLD,
	WHAT_VMS,
	WHAT_FAULT,
	WHAT_ROLE_TICK,
	WHAT_ROLE_LOOK,
	WHAT_SECOND,
} what_kind_t;

/** struct told - what a node tells its peers at a beat */
typedef struct told {
	uint32_t refs;
	uint32_t from;
	GArray *work; /* dff_upstream_load_t */
	GArray *use; /* dff_owner_use_t */
} told_t;

/** struct what - one event to come */
typedef struct what {
	dff_time_t at;
	uint64_t order;
	what_kind_t kind;
	uint32_t place; /* node, engine, fault or request */
	uint64_t id; /* visit or try */
	uint32_t count;
	dff_engine_out_t out;
	told_t *told;
} what_t;

/** struct request - what a caller wants, however often it comes back */
typedef struct request {
	uint32_t shape;
	uint32_t entry;
	uint32_t prompt;
	uint32_t output;
	uint64_t *prefix;
	uint32_t prefix_count;
	uint32_t visits;
	uint32_t crashes;
	double seconds;
	bool poison;
	bool service;
	bool counted;
	bool good;
} request_t;

/** struct visit - one call that a caller makes */
typedef struct visit {
	uint64_t id;
	uint32_t request;
	uint32_t node;
	dff_policy_call_t work;
	bool over;
	bool waiting;
	uint64_t attempt;
	dff_phase_t phase;
	uint32_t engine;
	uint32_t decode_engine;
	uint64_t kv_attempt;
	uint32_t kv_engine;
	dff_time_t first_at;
	dff_time_t token_at;
	dff_time_t gap;
	dff_time_t link_until;
	uint32_t told;
	double spent;
} visit_t;

/** struct member - one entry node */
typedef struct member {
	dff_policy_t *policy;
	char id[DFF_NAME_MAX];
	uint32_t domain;
	dff_time_t wake_at;
} member_t;

/** struct machine - one engine or service */
typedef struct machine {
	dff_vm_t vm;
	uint32_t domain;
	dff_engine_model_t *model;
	dff_time_t next;
	uint64_t cache_seen;
	uint32_t running; /* of a service */
	bool withdrawn;
} machine_t;

/** struct rolling - the change of role under way */
typedef struct rolling {
	bool open;
	bool ordered;
	uint32_t engine;
	dff_role_change_t change;
	dff_time_t since;
	uint64_t order;
} rolling_t;

/** struct world - the whole run */
typedef struct world {
	const bench_workload_t *load;
	bench_options_t options;
	dff_ctx_t *ctx; /* random numbers of the world itself */
	dff_ctx_t *policy_ctx; /* those of the policies */
	dff_catalogue_t *cat;
	const dff_entry_t *entries;
	const dff_class_t *classes;
	const dff_owner_t *owners;
	GArray *whats; /* a heap */
	uint64_t orders;
	dff_time_t now;
	dff_time_t start;
	GPtrArray *requests;
	GPtrArray *visits;
	GHashTable *attempts; /* try to visit */
	uint64_t attempt_count;
	member_t *members;
	machine_t *machines; /* engines, then services */
	uint32_t machine_count;
	dff_roles_t *roles;
	rolling_t rolling;
	GArray *out;
	GHashTable *prefixes_seen;
	bench_result_t *result;
} world_t;

/** what_push() - an event to come; the caller fills in the rest */
what_t *what_push(world_t *world, what_kind_t kind, dff_time_t at);

/** what_pop() - the next event; false at the end */
bool what_pop(world_t *world, what_t *what);

/* ---- callers.c ---- */

void callers_arrive(world_t *world);
void callers_visit(world_t *world, uint32_t request);
void callers_leave(world_t *world, uint64_t visit);
void callers_done(world_t *world, visit_t *visit);
void callers_refused(world_t *world, visit_t *visit, dff_time_t retry_after);
void callers_account(world_t *world);
bench_second_t *callers_second(world_t *world);

/* ---- members.c ---- */

void member_offer(world_t *world, visit_t *visit);
void member_pump(world_t *world, uint32_t node);
void member_end_try(world_t *world, visit_t *visit,
    dff_attempt_outcome_t outcome, const dff_ev_attempt_end_t *usage);
void member_cancel(world_t *world, visit_t *visit);
void member_take(world_t *world, const what_t *what);
void member_beat(world_t *world, uint32_t node);
void member_told(world_t *world, const what_t *what);
void member_reports(world_t *world);
void member_cache(world_t *world);
void member_vms(world_t *world);

/* ---- engines.c ---- */

dff_time_t engine_link(world_t *world, uint32_t node, uint32_t machine);
void engine_submit(world_t *world, uint64_t attempt);
void engine_run(world_t *world, uint32_t machine);
void engine_cancel(world_t *world, const what_t *what);
void engine_import(world_t *world, const what_t *what);
void engine_fault(world_t *world, const bench_fault_t *fault);
void engine_watch(world_t *world, uint32_t machine);
void engine_role_tick(world_t *world);
void engine_role_look(world_t *world);
void service_done(world_t *world, const what_t *what);

#endif
