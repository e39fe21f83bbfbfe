/*
 * What the parts of the operators' tool share.
 */
#ifndef DFF_TOOL_CTL_H
#define DFF_TOOL_CTL_H

#include <glib.h>
#include <jansson.h>

#include "dragonflyfall/catalogue.h"
#include "dragonflyfall/http.h"
#include "dragonflyfall/program.h"

/** enum ctl_exit - exit statuses of the tool */
typedef enum ctl_exit {
	CTL_OK = 0,
	CTL_DIFFERS = 1, /* problems in a file, or two files differ */
	CTL_USAGE = 2, /* wrong flags or words; nothing was done */
	CTL_BEATEN = 3, /* another edit came first; this one has no effect */
	CTL_PARTIAL = 4, /* done, but not every node has it or answers */
	CTL_UNDECIDED = 5, /* the platform does not answer; ask again */
	CTL_NOT_FOUND = 6, /* no such revision or request */
} ctl_exit_t;

/**
 * struct ctl - the tool's settings and its client
 * @platform: address of the platform
 * @nodes: addresses of status pages, parted by commas, or ""
 * @http_offset: port of an entry's status page, less its port in the VM
 *	list; 0 asks none
 * @placer_offset: the same for the placer on its VM
 * @against: revision that was edited; -1 for the one in force
 * @revision: revision to show; 0 for the one in force
 * @edit_id: id of an edit that is sent again, or ""
 * @author: who edits, or "" for the user's name
 * @note: why
 * @timeout: time to get an edit decided
 * @confirm_time: time for the nodes to have it
 * @silence: longest silence of a server
 */
typedef struct ctl {
	dff_ctx_t *ctx;
	uv_loop_t loop;
	dff_httpc_t *httpc;
	char *platform;
	char *nodes;
	int64_t http_offset;
	int64_t placer_offset;
	int64_t against;
	int64_t revision;
	char *edit_id;
	char *author;
	char *note;
	dff_time_t timeout;
	dff_time_t confirm_time;
	dff_time_t silence;
} ctl_t;

/* ---- requests ---- */

/**
 * struct ctl_fetch - one request and its answer
 * @done: it is over
 * @end: how it ended
 * @status: HTTP status, with DFF_HTTPC_DONE
 * @body: answer's body
 */
typedef struct ctl_fetch {
	bool done;
	dff_httpc_end_t end;
	int status;
	GByteArray *body;
} ctl_fetch_t;

/** ctl_fetch_start() - send a request; @fetch must stay until it is done */
void ctl_fetch_start(ctl_t *ctl, ctl_fetch_t *fetch, const char *addr,
    const char *method, const char *path, const void *body, size_t len);

/** ctl_fetch_wait() - wait until all of some requests are done */
void ctl_fetch_wait(ctl_t *ctl, ctl_fetch_t *fetches, size_t count);

/** ctl_fetch_clear() - free what a request that is done holds */
void ctl_fetch_clear(ctl_fetch_t *fetch);

/** ctl_fetch_json() - object in an answer with status 200, which the caller
 *	drops, or NULL */
json_t *ctl_fetch_json(const ctl_fetch_t *fetch);

/** ctl_get_json() - ask and wait; as ctl_fetch_json() */
json_t *ctl_get_json(ctl_t *ctl, const char *addr, const char *path);

/** ctl_sleep() - wait */
void ctl_sleep(ctl_t *ctl, dff_time_t time);

/** ctl_json_text() - a string of an object, or "" */
const char *ctl_json_text(const json_t *object, const char *key);

/** ctl_json_number() - a number of an object that is not negative, or 0 */
uint64_t ctl_json_number(const json_t *object, const char *key);

/* ---- the catalogue stream ---- */

/**
 * struct ctl_record - one record that is retained
 * @offset: offset
 * @time_ms: platform's clock when it took the record
 * @data: bytes
 */
typedef struct ctl_record {
	uint64_t offset;
	uint64_t time_ms;
	GBytes *data;
} ctl_record_t;

/**
 * struct ctl_log - the catalogue stream as read so far
 * @records: ctl_record_t, by offset
 * @first: first offset that is retained
 * @next: offset to read from
 * @based: @history stands on the stream's beginning or on a snapshot
 * @history: state
 */
typedef struct ctl_log {
	GArray *records;
	uint64_t first;
	uint64_t next;
	bool based;
	dff_history_t *history;
	dff_ctx_t *quiet;
} ctl_log_t;

/** ctl_log_new() - nothing read yet; the caller drops it */
ctl_log_t *ctl_log_new(void);

/** ctl_log_drop() - free what was read; NULL is allowed */
void ctl_log_drop(ctl_log_t *log);

/**
 * ctl_log_read() - read on up to the stream's end
 * @wait: how long to wait for a record if there is none
 *
 * Return: 0; -EIO if the platform does not answer; -ENODATA if the stream's
 * beginning has expired and no snapshot stands for it.
 */
int ctl_log_read(ctl_t *ctl, ctl_log_t *log, dff_time_t wait);

/** ctl_log_open() - a new log, read up to its end; tells why if it cannot
 *	be, and returns NULL */
ctl_log_t *ctl_log_open(ctl_t *ctl);

/* ---- nodes ---- */

/**
 * struct ctl_node - a node of the VM list, or one that answered
 * @id: VM id, or the address of a status page that does not answer
 * @status: its status page, or NULL if it does not answer
 * @revision: revision in force there
 */
typedef struct ctl_node {
	char id[DFF_NAME_MAX];
	json_t *status;
	uint64_t revision;
} ctl_node_t;

/**
 * ctl_nodes_read() - ask all nodes for their status
 * @vms: set to the VM list, which the caller drops; NULL if the platform
 *	does not answer
 *
 * Return: ctl_node_t, by id; the caller frees it by ctl_nodes_drop().
 */
GArray *ctl_nodes_read(ctl_t *ctl, json_t **vms);

/** ctl_nodes_drop() - free what ctl_nodes_read() returned */
void ctl_nodes_drop(GArray *nodes);

/* ---- subcommands; each returns an exit status ---- */

/**
 * ctl_load_file() - read and check a catalogue file; tells its problems
 * @text: set to its text, which the caller frees
 */
int ctl_load_file(ctl_t *ctl, const char *path, char **text);

/** ctl_print_diff() - print what differs between two files; returns how many
 *	differences there are */
size_t ctl_print_diff(const char *before, const char *after);

/** ctl_check() - check FILE */
int ctl_check(ctl_t *ctl, const char *path);

/** ctl_diff() - compare FILE with another, or with what is in force */
int ctl_diff(ctl_t *ctl, const char *path, const char *other);

/** ctl_apply() - put FILE in force */
int ctl_apply(ctl_t *ctl, const char *path);

/** ctl_show() - print a revision */
int ctl_show(ctl_t *ctl);

/** ctl_history() - list the edits */
int ctl_history(ctl_t *ctl);

/** ctl_status() - nodes, engines, leases and the revision in force */
int ctl_status(ctl_t *ctl);

/** ctl_explain() - why a request was routed, refused or queued */
int ctl_explain(const char *id, char **paths, int count);

#endif
