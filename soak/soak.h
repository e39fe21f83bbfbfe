/*
 * The fault soak: real dff-edge processes before a store and upstreams that
 * this program plays, with faults from outside and checks of what callers
 * and upstreams see.
 */
#ifndef DFF_SOAK_H
#define DFF_SOAK_H

#include <uv.h>

#include "dragonflyfall/h1.h"
#include "dragonflyfall/program.h"
#include "platform/test/standin.h"

#define EDGES	  3
#define UPSTREAMS 7 /* 0-2 plain, 3 other, 4 prefill, 5-6 decode */

/** enum link_fault - what a proxied link does */
typedef enum link_fault {
	LINK_WELL,
	LINK_STALLED, /* nothing is read; bytes come when it ends */
	LINK_SILENT, /* bytes are lost both ways, connections stay */
	LINK_ONE_WAY, /* bytes back are lost */
	LINK_REFUSED, /* open ones are reset, new ones too */
} link_fault_t;

/** typedef proxy_t - a link through this program */
typedef struct proxy proxy_t;

/** struct edge - one dff-edge process */
typedef struct edge_proc {
	int index;
	uv_process_t process;
	bool running;
	bool paused;
	bool stopping;
	char front[32];
	char *settings; /* path */
	proxy_t *store; /* its way to the store */
	dff_time_t disturbed; /* last moment of a fault on it */
	dff_time_t start_at; /* to be started then; 0 if it runs */
	dff_time_t started;
} edge_proc_t;

/** struct upstream - one upstream that this program plays */
typedef struct soak_upstream {
	struct soak *soak;
	int index;
	char id[32];
	char addr[32]; /* of its proxy */
	uint64_t born;
	uint64_t seq;
	dff_h1d_t *server;
	proxy_t *proxy;
	bool dead;
	dff_time_t leaving; /* since; 0 if it is not */
	dff_time_t back_at;
	dff_time_t started;
} soak_upstream_t;

/** struct run - what became of one attempt of a caller */
typedef struct attempt {
	char id[32];
	int kind; /* of enum soak_kind */
	int edge;
	int runs;
	int status; /* the caller's; 0 without an answer */
	int events; /* of a stream, seen by its caller */
	bool ended;
	bool whole;
	bool calm; /* it is owed an answer: faults ended long before */
	dff_time_t sent;
	dff_time_t done;
	GString *body;
	dff_h1c_req_t *req;
	struct soak *soak;
} attempt_t;

/** enum soak_kind - kinds of requests, by their path */
typedef enum soak_kind {
	KIND_READ,
	KIND_ORDER,
	KIND_TALK,
	KIND_RESUME,
	KIND_MOVE,
	KIND_BAD, /* crashes the upstream that begins it; always the same */
	KIND_COUNT,
} soak_kind_t;

/** struct soak - one run */
typedef struct soak {
	uv_loop_t loop;
	dff_ctx_t *ctx;
	GRand *dice;
	uint32_t seed;
	int net; /* second byte of the loopback addresses */
	char *folder;
	const char *program;
	standin_t *store;
	edge_proc_t edges[EDGES];
	soak_upstream_t upstreams[UPSTREAMS];
	dff_h1c_t *client;
	GHashTable *attempts; /* id to attempt_t */
	GPtrArray *trace; /* what was done and seen, for a failure */
	dff_time_t start;
	dff_time_t calm_from; /* faults end here */
	dff_time_t end;
	dff_time_t ticked; /* last tick of this program */
	dff_time_t
	    stalled; /* last moment at which this program itself lagged */
	dff_time_t store_disturbed;
	uint64_t version;
	dff_time_t moved; /* last configuration */
	bool moved_to_other;
	uint64_t next_attempt;
	int asked;
	int served;
	int calm_asked;
	int calm_served;
	int bad_ended; /* upstreams that KIND_BAD has crashed */
	int bad_late; /* its runs from calm edges, long after the third crash */
	dff_time_t bad_third; /* moment of that crash */
	int broken; /* promises */
} soak_t;

/** soak_note() - a line of the trace */
void soak_note(soak_t *soak, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** soak_fail() - a promise is broken */
void soak_fail(soak_t *soak, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** soak_is_stalled() - this program itself lags: its next tick is overdue */
bool soak_is_stalled(soak_t *soak);

/* ---- proxy.c ---- */

proxy_t *proxy_new(soak_t *soak, const char *from, const char *to);
void proxy_set(proxy_t *proxy, link_fault_t fault);

/* ---- upstreams.c ---- */

void upstreams_start(soak_t *soak);
void upstreams_beat(soak_t *soak);
void upstream_leave(soak_t *soak, soak_upstream_t *up);
void upstream_crash(soak_t *soak, soak_upstream_t *up);
/** upstreams_serve() - whether a kind of request has an upstream that all
 *	nodes must know */
bool upstreams_serve(const soak_t *soak, int kind);
void upstream_spoil(soak_t *soak, double share);
void config_write(soak_t *soak);

/* ---- edges.c ---- */

void edges_start(soak_t *soak);
void edges_tick(soak_t *soak);
void edge_signal(soak_t *soak, edge_proc_t *edge, int signal);
void edges_end(soak_t *soak);
void edge_write_settings(soak_t *soak, edge_proc_t *edge);

/* ---- callers.c ---- */

void callers_tick(soak_t *soak);
attempt_t *callers_find(soak_t *soak, const char *id);
void callers_check_all(soak_t *soak);

#endif
