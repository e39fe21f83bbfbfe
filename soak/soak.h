/*
 * The fault soak: runs dff-edge processes against a store and upstreams that
 * are simulated in this program, injects faults from outside, and checks what
 * callers and upstreams receive.
 */
#ifndef DFF_SOAK_H
#define DFF_SOAK_H

#include <uv.h>

#include "dragonflyfall/h1.h"
#include "dragonflyfall/program.h"
#include "platform/test/standin.h"

#define EDGES	  3
#define UPSTREAMS 7 /* by index: 0-2 plain, 3 other, 4 prefill, 5-6 decode */

/** enum link_fault - fault of a proxied link */
typedef enum link_fault {
	LINK_OK,
	LINK_STALLED, /* nothing is read; data is delivered afterwards */
	LINK_SILENT, /* data is lost both ways, connections stay open */
	LINK_ONE_WAY, /* data towards the caller is lost */
	LINK_REFUSED, /* open and new connections are reset */
} link_fault_t;

/** typedef proxy_t - TCP proxy that can inject faults on a link */
typedef struct proxy proxy_t;

/** struct edge_proc - one dff-edge process */
typedef struct edge_proc {
	int index;
	uv_process_t process;
	bool running;
	bool paused;
	bool stopping;
	char front[32];
	char *settings; /* path of the settings file */
	proxy_t *store_proxy; /* its link to the store */
	dff_time_t cut_since; /* it is cut off from all upstreams; 0 if not */
	dff_time_t last_fault; /* last time a fault affected it */
	dff_time_t start_at; /* time of its next start; 0 if it runs */
	dff_time_t started;
	dff_time_t thawed_at; /* it went on after a stop, last; 0 */
} edge_proc_t;

/** struct rate_limit_sim - the rate limit that an upstream names */
typedef struct rate_limit_sim {
	double rate; /* requests a second; 0 for none */
	dff_time_t end;
	dff_time_t named_at; /* first answer with it; 0 before */
	dff_time_t told_at[EDGES]; /* the same to each edge */
	GArray *arrivals; /* dff_time_t, those of the last window that count */
} rate_limit_sim_t;

/** struct soak_upstream - one upstream simulated by this program */
typedef struct soak_upstream {
	struct soak *soak;
	int index;
	char id[32];
	char addr[32]; /* of its proxy */
	uint64_t start_wall_ms;
	uint64_t record_seq;
	dff_h1d_t *server;
	proxy_t *proxy; /* links of the edges to it */
	link_fault_t link; /* their fault */
	bool crashed;
	dff_time_t drain_start; /* 0 if it is not draining */
	dff_time_t restart_at; /* 0 if no restart is due */
	dff_time_t started;
	dff_time_t last_fault; /* of its link */
	int version; /* of its software */
	rate_limit_sim_t limit;
} soak_upstream_t;

/** typedef key_sim_t - a key that a caller sends */
typedef struct key_sim key_sim_t;

/** typedef keys_sim_t - the operator's and the callers' keys */
typedef struct keys_sim keys_sim_t;

/** typedef duties_sim_t - the platform's API and what it has seen */
typedef struct duties_sim duties_sim_t;

/** struct attempt - one request of a caller and its result */
typedef struct attempt {
	char id[32];
	int kind; /* enum soak_kind */
	int edge;
	int runs; /* how often upstreams began it */
	int status; /* received by the caller; 0 without an answer */
	int events; /* of a stream, received by the caller until its end */
	char first[32]; /* attempt whose stream it resumes; "" for none */
	int after_event; /* events received before it */
	int resumptions; /* of that stream, with this one */
	int version; /* of the software that made its events; 0 before any */
	bool ended;
	bool complete; /* the answer was received to its end */
	/* part of the recovery check: sent when the faults had long ended */
	bool counts_for_recovery;
	const key_sim_t *key; /* NULL in runs without keys */
	bool has_odd_key; /* removed or unknown: it may be refused */
	dff_time_t sent;
	dff_time_t done;
	GString *body;
	dff_h1c_req_t *req;
	struct soak *soak;
} attempt_t;

/** enum soak_kind - kinds of requests; each has a path of the same name */
typedef enum soak_kind {
	KIND_READ, /* idempotent */
	KIND_ORDER, /* not idempotent */
	KIND_TALK, /* stream that cannot be resumed */
	KIND_RESUME, /* resumable stream */
	KIND_MOVE, /* its route changes between two services */
	KIND_BAD, /* crashes the upstream that begins it; same body each time */
	KIND_PART, /* a stream that crashes the upstream that begins it; only a
		    * part of its prompt is the same each time */
	KIND_COUNT,
} soak_kind_t;

/** struct crash_count - crashes of upstreams by one kind of request */
typedef struct crash_count {
	int crashes;
	dff_time_t last_allowed; /* the crash after which they are late */
	int late; /* long after it, from edges without a recent fault */
} crash_count_t;

/** struct soak - state of one run */
typedef struct soak {
	uv_loop_t loop;
	dff_ctx_t *ctx;
	GRand *rng;
	GRand *limits_rng;
	GRand *returns_rng;
	keys_sim_t *keys; /* NULL in a run without organisations */
	duties_sim_t *duties; /* the same */
	uint32_t seed;
	int net; /* second byte of the loopback addresses */
	char *folder;
	const char *program;
	standin_t *store;
	edge_proc_t edges[EDGES];
	soak_upstream_t upstreams[UPSTREAMS];
	dff_h1c_t *client;
	GHashTable *attempts; /* id to attempt_t */
	GPtrArray *trace; /* lines of the trace, written if a check fails */
	dff_time_t start;
	dff_time_t faults_end; /* no faults are injected after it */
	dff_time_t end; /* of the run */
	dff_time_t last_tick; /* last run of on_tick() */
	dff_time_t last_stall; /* last time this program was stalled */
	dff_time_t store_last_fault;
	uint64_t version; /* of the configuration */
	dff_time_t config_written_at; /* the last that changes a route */
	char *config_text;
	dff_time_t written_at; /* any configuration, acknowledged */
	dff_time_t copied_at; /* the last copy has what was written before */
	dff_time_t lost_from; /* at its last return the store lost from here */
	dff_time_t returned_at; /* until its last return; 0 before any */
	dff_time_t next_copy; /* when the store is copied next */
	dff_time_t return_at; /* when it goes back to the copy; 0 without one */
	dff_time_t rewrite_at; /* when the configuration is written again; 0 */
	dff_time_t remove_at; /* when entries of the gone are removed; 0 */
	int returns; /* times that it went back */
	bool move_uses_other; /* KIND_MOVE goes to service "other" */
	uint64_t next_attempt;
	int requests;
	int served;
	int resumed; /* requests that resumed a stream */
	int went_on; /* of these, answered */
	int cuts; /* of an edge from all upstreams */
	int cut_first; /* first tries at such edges, once peers serve them */
	int cut_served;
	int others_first; /* meanwhile, at the others */
	int others_served;
	int recovery_requests;
	int recovery_served;
	crash_count_t bad; /* by KIND_BAD */
	crash_count_t part; /* by KIND_PART */
	dff_time_t next_limit; /* when an upstream begins to limit its rate */
	int limited_requests; /* that counted against a limit in force */
	int violations; /* failed checks */
} soak_t;

/** soak_trace() - add a line to the trace */
void soak_trace(soak_t *soak, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** soak_fail() - report a failed check */
void soak_fail(soak_t *soak, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** soak_is_stalled() - whether the next tick of this program is overdue */
bool soak_is_stalled(soak_t *soak);

/* ---- proxy.c ---- */

proxy_t *proxy_new(soak_t *soak, const char *from, const char *to);
/** proxy_set() - set the fault of the link of one edge */
void proxy_set(proxy_t *proxy, int edge, link_fault_t fault);

/* ---- owners.c ---- */

/** edges_find_owner() - index of the edge that opened an accepted connection;
 *	-1 if the edge has closed it */
int edges_find_owner(const soak_t *soak, const uv_tcp_t *tcp);

/* ---- upstreams.c ---- */

void upstreams_start(soak_t *soak);
void upstreams_refresh_records(soak_t *soak);
void upstream_drain(soak_t *soak, soak_upstream_t *up);
void upstream_crash(soak_t *soak, soak_upstream_t *up);
/** upstreams_can_serve() - whether a kind of request has a ready upstream that
 *	all nodes know */
bool upstreams_can_serve(const soak_t *soak, int kind);
void upstreams_set_corrupt_share(soak_t *soak, double share);
void config_write(soak_t *soak);

/** upstreams_set_links() - apply the faults of all links between edges and
 *	upstreams */
void upstreams_set_links(soak_t *soak);

/* ---- limits.c ---- */

void limits_start(soak_t *soak);
void limits_tick(soak_t *soak);
/** limit_field() - header line of an answer to a request, or "" */
const char *limit_field(
    soak_upstream_t *up, const char *id, char *text, size_t size);
/** limit_count() - check that a request may arrive under the limit */
void limit_count(soak_t *soak, soak_upstream_t *up, const char *id);
void limit_end(soak_upstream_t *up);

/* ---- keys.c ---- */

void keys_start(soak_t *soak);
void keys_tick(soak_t *soak);
/** keys_store_fault() - fault of the store when none of another kind is on */
standin_fault_t keys_store_fault(const soak_t *soak);
/** keys_settings() - lines of an edge's settings, or "" */
const char *keys_settings(const soak_t *soak);
/** keys_is_public() - whether the route of a kind of request needs no key,
 *	though others do */
bool keys_is_public(const soak_t *soak, int kind);
/** keys_append_config() - append the organisations to a configuration */
void keys_append_config(const soak_t *soak, GString *text);
/** keys_fields() - choose the key of a request; the header lines about it */
char *keys_fields(soak_t *soak, attempt_t *attempt);
/** keys_check_request() - check what reached an upstream */
void keys_check_request(
    soak_t *soak, const dff_h1_head_t *head, const char *id);
/** keys_check_answer() - check a status that a caller received */
void keys_check_answer(soak_t *soak, const attempt_t *attempt);
void keys_print(const soak_t *soak);

/* ---- duties.c ---- */

void duties_start(soak_t *soak);
void duties_tick(soak_t *soak);
/** duties_settings() - lines of an edge's settings, or ""; the caller frees
 *	them */
char *duties_settings(const soak_t *soak, int edge);
void duties_print(const soak_t *soak);

/* ---- store_return.c ---- */

void returns_start(soak_t *soak);
void returns_tick(soak_t *soak);

/* ---- edges.c ---- */

void edges_start(soak_t *soak);
void edges_tick(soak_t *soak);
void edge_signal(soak_t *soak, edge_proc_t *edge, int signal);
/** edge_resume() - let a process go on that was stopped */
void edge_resume(soak_t *soak, edge_proc_t *edge);
void edges_kill(soak_t *soak);
void edge_write_settings(soak_t *soak, edge_proc_t *edge);

/* ---- streams.c ---- */

/** stream_check() - check the events of an attempt: in order, without gaps or
 *	duplicates, and all of one software version */
void stream_check(soak_t *soak, attempt_t *attempt);
/** stream_resume() - resume a stream whose attempt broke off or was refused */
void stream_resume(soak_t *soak, const attempt_t *attempt);

/* ---- callers.c ---- */

void callers_tick(soak_t *soak);
/** callers_new() - a request of a kind to an edge at random, not yet sent */
attempt_t *callers_new(soak_t *soak, int kind);
void callers_send(soak_t *soak, attempt_t *attempt);
/** callers_have_stopped() - whether no more requests are sent in this run */
bool callers_have_stopped(const soak_t *soak);
attempt_t *callers_find(soak_t *soak, const char *id);
void callers_check_all(soak_t *soak);

#endif
