/*
 * A small deployment on loopback for the scripts of this review: a store, plain
 * workers behind proxies, dff-edge processes and callers. Everything but the
 * edges runs in one event loop.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <stdio.h>
#include <uv.h>

#include "dragonflyfall/h1.h"
#include "dragonflyfall/program.h"
#include "platform/test/standin.h"
#include "review/common/tunnel.h"

#define EDGES_MAX   3
#define WORKERS_MAX 8

typedef struct world world_t;
typedef struct attempt attempt_t;

/** enum crash - how a worker crashes */
typedef enum crash {
	CRASH_DARK, /* it sends nothing any more */
	CRASH_RESET, /* its process ends: connections are reset and refused */
} crash_t;

/** struct worker - a worker of the service "plain" or an engine of the service
 *	"llm", in one incarnation after another */
typedef struct worker {
	world_t *world;
	int index;
	int incarnation;
	char id[24];
	bool keeps_id; /* its next incarnation has the same id */
	char software[8]; /* of its next incarnation, too */
	GPtrArray *jobs; /* requests that it runs */
	uint64_t started_ms;
	uint64_t seq;
	dff_time_t heartbeat_at; /* its last one */
	dff_h1d_t *server;
	tunnel_t *tunnel;
	dff_time_t back_at; /* end of its time down; 0 while it is up */
} worker_t;

/** struct entry_end - the entry of an incarnation that has crashed */
typedef struct entry_end {
	char id[24];
	dff_time_t at; /* the store removes it then */
} entry_end_t;

/** struct edge - one dff-edge process */
typedef struct edge {
	int index;
	char front[32];
	char *settings;
	char *log;
	uv_process_t process;
	bool running;
	tunnel_t *store_link;
} edge_t;

/** struct attempt - one request of a caller */
struct attempt {
	world_t *world;
	char id[24];
	int edge;
	bool bad; /* its runs crash their workers */
	double sent_at; /* seconds since the start */
	double ended_at;
	int status; /* 0 without an answer */
	bool ended;
	GString *body;
	int runs; /* times that a worker began it */
	char resumes[24]; /* attempt that began its stream; "" if it does */
	int after_event;
	int tries; /* to resume the stream before this one */
	int thing; /* shared first part of its prompt */
	double deadline_at; /* of the caller, for all its tries */
	double retry_after; /* seconds that a 503 names */
	dff_h1c_req_t *req;
};

/** struct world - the deployment */
struct world {
	uv_loop_t loop;
	dff_ctx_t *ctx;
	GRand *rng;
	int net; /* second byte of all loopback addresses */
	char *folder;
	FILE *record;
	dff_time_t start;
	standin_t *store;
	dff_h1c_t *client;
	uv_timer_t tick;
	worker_t workers[WORKERS_MAX];
	int worker_count;
	GArray *entry_ends; /* entry_end_t */
	edge_t edges[EDGES_MAX];
	int edge_count;
	GPtrArray *attempts; /* attempt_t */
	GHashTable *attempts_by_id;
	bool engines; /* workers are engines, requests are streams */
	int target_ms; /* targetLatencyMs and timeoutMs of the route */
	int timeout_ms;
	int bad_wait_ms; /* X-Deadline-Ms of requests that are bad */
	int down_ms; /* how long a worker that has crashed is dark */
	bool trouble; /* not set with TROUBLE=0 */
	void (*on_end)(world_t *world, attempt_t *attempt); /* may be NULL */
	void (*on_bad_run)(
	    world_t *world, worker_t *worker, attempt_t *attempt);
};

/** world_start() - start everything; exits with 2 if that fails
 * @record: path of the record */
void world_start(world_t *world, const char *record, int edges, int workers);

/** world_run() - run the event loop for some seconds */
void world_run(world_t *world, double seconds);

/** world_now() - seconds since the start */
double world_now(const world_t *world);

/** world_note() - add a line to the record */
void world_note(world_t *world, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/** world_send() - a request of a caller to one edge; those that are bad have
 *	the same path and body */
attempt_t *world_send(world_t *world, int edge, bool bad);

/** world_resume() - a caller takes its stream up again at another edge, after
 *	the last complete event that it has */
attempt_t *world_resume(world_t *world, const attempt_t *broken, int edge);

/** world_kill_edge() - end an edge with SIGKILL */
void world_kill_edge(world_t *world, int edge);

/** world_crash() - a worker crashes, and starts again after the time down */
void world_crash(worker_t *worker, crash_t how);

/** world_end() - end all processes and exit with @status */
void world_end(world_t *world, int status) G_GNUC_NORETURN;

#endif
