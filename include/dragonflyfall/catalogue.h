/*
 * The catalogue: the configuration declared by operators. dff_catalogue_t is
 * one parsed and checked file and is immutable; dff_history_t is the state
 * of the log's catalogue stream, which decides which file is in force.
 */
#ifndef DRAGONFLYFALL_CATALOGUE_H
#define DRAGONFLYFALL_CATALOGUE_H

#include "dragonflyfall/event.h"

/* The largest catalogue file; a record that contains it fits into one peer
 * frame. */
#define DFF_CATALOGUE_BYTES_MAX (960 * 1024)

/** enum dff_fencing - whether a pool's engines check the fencing number */
typedef enum dff_fencing {
	DFF_FENCING_IGNORED,
	DFF_FENCING_CHECKED,
} dff_fencing_t;

/**
 * struct dff_owner - [owner NAME]
 * @name: name
 * @secret_sha256: hex SHA-256 of the API key that its callers send
 * @weight: share of a pool when owners compete
 * @max_running: concurrent calls allowed in the whole fleet; 0 no limit
 * @rate_per_s: calls per second that may start in the whole fleet; 0 no limit
 */
typedef struct dff_owner {
	char name[DFF_NAME_MAX];
	char secret_sha256[65];
	double weight;
	uint32_t max_running;
	double rate_per_s;
} dff_owner_t;

/**
 * struct dff_class - [class NAME]
 * @name: name
 * @first_token: limit on the time to the first token
 * @token_gap: limit on the time between tokens
 * @whole: limit on the time to the complete answer
 * @priority: passed to engines; 0 is the most urgent
 */
typedef struct dff_class {
	char name[DFF_NAME_MAX];
	dff_time_t first_token;
	dff_time_t token_gap;
	dff_time_t whole;
	uint32_t priority;
} dff_class_t;

/**
 * struct dff_pool - [pool NAME]
 * @name: name; upstream VMs refer to it in the VM list
 * @kind: DFF_VM_ENGINE or DFF_VM_SERVICE
 * @model: model that its engines should have loaded
 * @version: version of that model; 0 any
 * @adapter: adapter that its engines should have loaded, or ""
 * @fencing: whether its engines check the fencing number
 * @roles: engines may be given other roles than mixed
 * @role_change_price: cost of a role change in engine-seconds
 * @role_change_away: time for which an engine is unavailable during
 *	a role change
 */
typedef struct dff_pool {
	char name[DFF_NAME_MAX];
	dff_vm_kind_t kind;
	char model[DFF_NAME_MAX];
	uint32_t version;
	char adapter[DFF_NAME_MAX];
	dff_fencing_t fencing;
	bool roles;
	double role_change_price;
	dff_time_t role_change_away;
} dff_pool_t;

/**
 * struct dff_entry - [entry NAME]: a name that callers may request
 * @name: name
 * @owner: index of its owner
 * @cls: index of its class
 * @pool: index of its pool
 * @path: path at a plain service; "" for a model
 * @may_repeat: the work may run more than once; else it runs at most once
 * @retry_window: how long an idempotency key is kept
 * @max_running: concurrent calls allowed in the whole fleet; 0 no limit
 * @rate_per_s: calls per second that may start in the whole fleet; 0 no limit
 * @max_prompt_tokens: longest prompt
 * @max_output_tokens: longest answer
 */
typedef struct dff_entry {
	char name[DFF_NAME_MAX];
	uint32_t owner;
	uint32_t cls;
	uint32_t pool;
	char path[128];
	bool may_repeat;
	dff_time_t retry_window;
	uint32_t max_running;
	double rate_per_s;
	uint32_t max_prompt_tokens;
	uint32_t max_output_tokens;
} dff_entry_t;

/** typedef dff_catalogue_t - one checked catalogue file; reference counted */
typedef struct dff_catalogue dff_catalogue_t;

/**
 * struct dff_problem - one error in a catalogue file
 * @line: line, from 1; 0 for the whole file
 * @group: group, or ""
 * @key: key, or ""
 * @text: the error and the allowed values
 */
typedef struct dff_problem {
	uint32_t line;
	char group[DFF_NAME_MAX * 2];
	char key[DFF_NAME_MAX];
	char text[192];
} dff_problem_t;

/**
 * dff_catalogue_load() - parse and check a catalogue file
 * @ctx: context
 * @text: the file's bytes
 * @len: number of bytes
 * @problems: receives the problems found
 * @max: capacity of @problems
 * @count: set to the number of problems, which may exceed @max
 * @cat: set to the catalogue, which the caller drops
 *
 * Return: 0, or -EINVAL with @count > 0 and @cat NULL, or -EFBIG.
 */
int dff_catalogue_load(dff_ctx_t *ctx, const char *text, size_t len,
    dff_problem_t *problems, size_t max, size_t *count, dff_catalogue_t **cat);

/** dff_catalogue_keep() - take another reference */
dff_catalogue_t *dff_catalogue_keep(dff_catalogue_t *cat);

/** dff_catalogue_drop() - release a reference; NULL is allowed */
void dff_catalogue_drop(dff_catalogue_t *cat);

/** dff_catalogue_owners() - its owners; @count is set to their number */
const dff_owner_t *dff_catalogue_owners(
    const dff_catalogue_t *cat, uint32_t *count);

/** dff_catalogue_classes() - its classes; @count is set to their number */
const dff_class_t *dff_catalogue_classes(
    const dff_catalogue_t *cat, uint32_t *count);

/** dff_catalogue_pools() - its pools; @count is set to their number */
const dff_pool_t *dff_catalogue_pools(
    const dff_catalogue_t *cat, uint32_t *count);

/** dff_catalogue_entries() - its entries; @count is set to their number */
const dff_entry_t *dff_catalogue_entries(
    const dff_catalogue_t *cat, uint32_t *count);

/** dff_catalogue_find_entry() - index of an entry, or -ENOENT */
int dff_catalogue_find_entry(const dff_catalogue_t *cat, const char *name);

/** dff_catalogue_find_pool() - index of a pool, or -ENOENT */
int dff_catalogue_find_pool(const dff_catalogue_t *cat, const char *name);

/** dff_catalogue_find_owner() - index of an owner by name, or -ENOENT */
int dff_catalogue_find_owner(const dff_catalogue_t *cat, const char *name);

/** dff_catalogue_find_secret() - index of the owner with an API key, or
 *	-ENOENT; @secret is the key itself, as the caller sent it */
int dff_catalogue_find_secret(const dff_catalogue_t *cat, const char *secret);

/* ---- the catalogue stream ---- */

/* Number of newest edits whose verdicts are kept. */
#define DFF_EDITS_KEPT 256

/**
 * struct dff_edit - one edit, as appended by the operators' tool
 * @edit_id: printable ASCII; unchanged when the append is retried
 * @against: revision that the edit was made against; 0 for the first
 * @text: the whole catalogue file, NUL-terminated
 * @author: author, informational only
 * @note: reason for the edit, informational only
 * @written_ms: wall clock of the writer, informational only
 */
typedef struct dff_edit {
	const char *edit_id;
	uint64_t against;
	const char *text;
	const char *author;
	const char *note;
	uint64_t written_ms;
} dff_edit_t;

/**
 * dff_edit_pack() - encode an edit as a record
 * @edit: edit
 * @data: set to the record, which the caller frees with free()
 *
 * Return: its length, or -EINVAL for an edit id that is empty, too long or
 * not printable.
 */
int dff_edit_pack(const dff_edit_t *edit, uint8_t **data);

/** enum dff_edit_verdict - outcome of an edit */
typedef enum dff_edit_verdict {
	DFF_EDIT_NONE, /* never seen, or its verdict is no longer kept */
	DFF_EDIT_ACCEPTED, /* its offset became the revision in force */
	DFF_EDIT_BEATEN, /* another edit was accepted before it */
	DFF_EDIT_BAD, /* it failed the checks */
} dff_edit_verdict_t;

/** dff_edit_verdict_name() - "none", "accepted", "beaten" or "bad" */
const char *dff_edit_verdict_name(dff_edit_verdict_t verdict);

/**
 * typedef dff_history_t - state of the catalogue stream
 *
 * A pure function of the applied records, the same on every node. An edit is
 * accepted if it was made against the revision in force, which is the offset
 * of the last accepted edit; the first such edit in offset order wins. Of
 * records with the same edit id only the first counts. A duplicate that
 * arrives after its id was evicted has no effect either: the revision that
 * it was made against is no longer in force and never will be again.
 */
typedef struct dff_history dff_history_t;

/** dff_history_new() - state before the first record; the caller drops it */
dff_history_t *dff_history_new(dff_ctx_t *ctx);

/** dff_history_drop() - free the state; NULL is allowed */
void dff_history_drop(dff_history_t *history);

/**
 * dff_history_apply() - apply one record in offset order
 * @ctx: context
 * @history: state
 * @offset: the record's offset
 * @data: its bytes
 * @len: number of bytes
 * @time_ms: platform's clock when it accepted the record
 *
 * Every node skips a record that cannot be decoded, fails a check or has an
 * unsupported later version: it only advances the applied offset. Unknown
 * fields are ignored.
 *
 * Return: 1 if the catalogue in force changed, 0 if not, -EINVAL if the
 * record was skipped as bad, -EALREADY if the offset was already applied,
 * -ERANGE if a record before it is missing (nothing is changed).
 */
int dff_history_apply(dff_ctx_t *ctx, dff_history_t *history, uint64_t offset,
    const uint8_t *data, size_t len, uint64_t time_ms);

/**
 * dff_history_load() - load the state from a snapshot record
 * @first: first offset that the log still retains
 *
 * Return: 0; -EALREADY if it is not newer than the state; -EINVAL if it is
 * not a valid snapshot; -ERANGE if the record after it is no longer retained.
 */
int dff_history_load(dff_ctx_t *ctx, dff_history_t *history,
    const uint8_t *data, size_t len, uint64_t first);

/**
 * dff_history_save() - encode the state as a snapshot record
 * @writer: VM id of this node
 * @incarnation: its incarnation
 * @data: set to the record, which the caller frees with free()
 *
 * Return: its length, or -ENODATA before the first record.
 */
int dff_history_save(dff_ctx_t *ctx, const dff_history_t *history,
    const char *writer, uint64_t incarnation, uint8_t **data);

/**
 * dff_history_rebase() - start an empty state after an offset
 *
 * For a stream whose beginning has expired without a usable snapshot.
 *
 * Return: 0, or -EALREADY if records have been applied.
 */
int dff_history_rebase(dff_history_t *history, uint64_t applied);

/** dff_history_applied() - last offset applied; 0 none */
uint64_t dff_history_applied(const dff_history_t *history);

/** dff_history_revision() - offset of the edit in force; 0 none */
uint64_t dff_history_revision(const dff_history_t *history);

/** dff_history_catalogue() - the catalogue in force, borrowed, or NULL */
dff_catalogue_t *dff_history_catalogue(const dff_history_t *history);

/** dff_history_text() - the file in force, borrowed, or NULL */
const char *dff_history_text(const dff_history_t *history);

/**
 * dff_history_find() - outcome of an edit
 * @edit_id: its id
 * @offset: set to its offset
 * @beaten_by: set to the revision accepted instead of it, else 0
 */
dff_edit_verdict_t dff_history_find(const dff_history_t *history,
    const char *edit_id, uint64_t *offset, uint64_t *beaten_by);

/** dff_history_skipped() - number of bad records skipped so far */
uint64_t dff_history_skipped(const dff_history_t *history);

#endif
