/*
 * Declarations shared by the source files of the operators' tool.
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
	CTL_DIFFERS = 1, /* bad file or edit, or the files differ */
	CTL_USAGE = 2, /* wrong flags or arguments; nothing was done */
	CTL_CONFLICT = 3, /* another edit came first; this one has no effect */
	CTL_PARTIAL = 4, /* done, but a node lacks it or does not answer */
	CTL_UNDECIDED = 5, /* the platform does not answer; run again */
	CTL_NOT_FOUND = 6, /* no such revision or request */
} ctl_exit_t;

/**
 * struct ctl - settings of the tool and its HTTP client
 * @platform: address of the platform
 * @nodes: addresses of status pages, separated by commas, or ""
 * @http_offset: port of an entry's status page minus its port in the VM
 *	list; 0 requests no status pages of entries
 * @placer_offset: the same for the placer on the VM of an entry
 * @against: revision that the edit is based on; -1 for the one in force
 * @revision: revision to show; 0 for the one in force
 * @edit_id: id of an edit that is submitted again, or ""
 * @author: author of the edit, or "" for the user's name
 * @note: reason for the edit
 * @timeout: longest wait for the verdict on an edit
 * @confirm_time: longest wait for all nodes to have the revision in force
 * @idle_timeout: longest time without data from a server
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
	dff_time_t idle_timeout;
} ctl_t;

/* ---- requests ---- */

/**
 * struct ctl_fetch - one request and its response
 * @done: the request has ended
 * @end: reason for the end
 * @status: HTTP status, with DFF_HTTPC_DONE
 * @body: response body
 */
typedef struct ctl_fetch {
	bool done;
	dff_httpc_end_t end;
	int status;
	GByteArray *body;
} ctl_fetch_t;

/** ctl_fetch_start() - send a request; @fetch must stay valid until it is
 *	done */
void ctl_fetch_start(ctl_t *ctl, ctl_fetch_t *fetch, const char *addr,
    const char *method, const char *path, const void *body, size_t len);

/** ctl_fetch_wait() - wait until all @count requests are done */
void ctl_fetch_wait(ctl_t *ctl, ctl_fetch_t *fetches, size_t count);

/** ctl_fetch_clear() - free the body of a finished request */
void ctl_fetch_clear(ctl_fetch_t *fetch);

/** ctl_fetch_json() - JSON object of a response with status 200, which the
 *	caller drops, or NULL */
json_t *ctl_fetch_json(const ctl_fetch_t *fetch);

/** ctl_get_json() - send a GET request and wait; returns as
 *	ctl_fetch_json() */
json_t *ctl_get_json(ctl_t *ctl, const char *addr, const char *path);

/** ctl_sleep() - run the loop for @time */
void ctl_sleep(ctl_t *ctl, dff_time_t time);

/** ctl_json_text() - string member of an object, or "" */
const char *ctl_json_text(const json_t *object, const char *key);

/** ctl_json_number() - integer member of an object, or 0 if it is missing or
 *	negative */
uint64_t ctl_json_number(const json_t *object, const char *key);

/* ---- the catalogue stream ---- */

/**
 * struct ctl_record - one retained record
 * @offset: offset
 * @time_ms: platform's wall clock at the append, in milliseconds
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
 * @first: first retained offset
 * @next: offset to read from
 * @has_base: @history starts at the stream's beginning or at a snapshot
 * @history: state after the records
 * @history_ctx: context of @history, which logs errors only
 */
typedef struct ctl_log {
	GArray *records;
	uint64_t first;
	uint64_t next;
	bool has_base;
	dff_history_t *history;
	dff_ctx_t *history_ctx;
} ctl_log_t;

/** ctl_log_new() - new log with no records; the caller drops it */
ctl_log_t *ctl_log_new(void);

/** ctl_log_drop() - free the log; NULL is allowed */
void ctl_log_drop(ctl_log_t *log);

/**
 * ctl_log_read() - read the records from @next to the stream's end
 * @wait: longest wait for a record if there is none
 *
 * Return: 0; -EIO if the platform does not answer; -ENODATA if the stream's
 * beginning has expired and no snapshot replaces it.
 */
int ctl_log_read(ctl_t *ctl, ctl_log_t *log, dff_time_t wait);

/** ctl_log_open() - new log, read to its end; prints the reason and returns
 *	NULL if that fails */
ctl_log_t *ctl_log_open(ctl_t *ctl);

/* ---- nodes ---- */

/**
 * struct ctl_node - a node of the VM list or one whose status page answered
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
 * ctl_nodes_read() - read the status pages of all nodes
 * @vms: set to the VM list, which the caller drops; NULL if the platform
 *	does not answer
 *
 * Return: ctl_node_t, sorted by id; the caller frees it by ctl_nodes_drop().
 */
GArray *ctl_nodes_read(ctl_t *ctl, json_t **vms);

/** ctl_nodes_drop() - free what ctl_nodes_read() returned */
void ctl_nodes_drop(GArray *nodes);

/* ---- subcommands; each returns an exit status ---- */

/**
 * ctl_load_file() - read and check a catalogue file; prints its problems
 * @text: set to its text, which the caller frees
 */
int ctl_load_file(ctl_t *ctl, const char *path, char **text);

/** ctl_print_diff() - print the differences between two files; returns their
 *	number */
size_t ctl_print_diff(const char *before, const char *after);

/** ctl_check() - check FILE */
int ctl_check(ctl_t *ctl, const char *path);

/** ctl_diff() - compare FILE with another file or the one in force */
int ctl_diff(ctl_t *ctl, const char *path, const char *other);

/** ctl_apply() - put FILE in force */
int ctl_apply(ctl_t *ctl, const char *path);

/** ctl_show() - print a revision */
int ctl_show(ctl_t *ctl);

/** ctl_history() - list the edits */
int ctl_history(ctl_t *ctl);

/** ctl_status() - print nodes, upstreams, leases and the revision in force */
int ctl_status(ctl_t *ctl);

/** ctl_explain() - explain the log lines about a request */
int ctl_explain(const char *id, char **paths, int count);

#endif
