/*
 * The catalogue: what operators declare. dff_catalogue_t is one parsed and
 * checked file and never changes; dff_history_t is the catalogue stream of
 * the log, which decides what file is in force.
 */
#ifndef DRAGONFLYFALL_CATALOGUE_H
#define DRAGONFLYFALL_CATALOGUE_H

#include "dragonflyfall/event.h"

/* The largest catalogue file: a record with it fits into one peer frame. */
#define DFF_CATALOGUE_BYTES_MAX (960 * 1024)

/** enum dff_fencing - what a pool's engines do with a fencing number */
typedef enum dff_fencing {
	DFF_FENCING_IGNORED,
	DFF_FENCING_CHECKED,
} dff_fencing_t;

/**
 * struct dff_owner - [owner NAME]
 * @name: name
 * @secret_sha256: hex SHA-256 of the API key that its callers send
 * @weight: share of a pool when owners compete
 * @max_running: calls that may run at once in the whole fleet; 0 no limit
 * @rate_per_s: calls that may start a second in the whole fleet; 0 no limit
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
 * @first_token: bound on the first token
 * @token_gap: bound on the time between tokens
 * @whole: bound on the whole answer
 * @priority: handed to engines; 0 is the most urgent
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
 * @name: name; upstream VMs name it in the VM list
 * @kind: DFF_VM_ENGINE or DFF_VM_SERVICE
 * @model: model that its engines should have loaded
 * @version: version of that model; 0 any
 * @adapter: adapter that its engines should have loaded, or ""
 * @fencing: whether its engines check the fencing number
 * @roles: engines may be given other roles than mixed
 * @role_change_price: engine-seconds that a role change is charged
 * @role_change_away: time for which a role change takes an engine away
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
 * struct dff_entry - [entry NAME]: what callers may ask for
 * @name: name
 * @owner: index of its owner
 * @cls: index of its class
 * @pool: index of its pool
 * @path: path at a plain service; "" for a model
 * @may_repeat: the work may be done twice; else it runs at most once
 * @retry_window: how long an idempotency key is remembered
 * @max_running: calls that may run at once in the whole fleet; 0 no limit
 * @rate_per_s: calls that may start a second in the whole fleet; 0 no limit
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
 * struct dff_problem - one thing wrong in a catalogue file
 * @line: line, from 1; 0 where it concerns the whole file
 * @group: group, or ""
 * @key: key, or ""
 * @text: what is wrong and what is allowed
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
 * @len: how many
 * @problems: filled with what is wrong
 * @max: room at @problems
 * @count: set to the number of problems, which may exceed @max
 * @cat: set to the catalogue, which the caller drops
 *
 * Return: 0, or -EINVAL with @count > 0 and @cat NULL, or -EFBIG.
 */
int dff_catalogue_load(dff_ctx_t *ctx, const char *text, size_t len,
    dff_problem_t *problems, size_t max, size_t *count, dff_catalogue_t **cat);

/** dff_catalogue_keep() - take another reference */
dff_catalogue_t *dff_catalogue_keep(dff_catalogue_t *cat);

/** dff_catalogue_drop() - give a reference back; NULL is allowed */
void dff_catalogue_drop(dff_catalogue_t *cat);

/** dff_catalogue_owners() - its owners; @count is set to how many */
const dff_owner_t *dff_catalogue_owners(
    const dff_catalogue_t *cat, uint32_t *count);

/** dff_catalogue_classes() - its classes; @count is set to how many */
const dff_class_t *dff_catalogue_classes(
    const dff_catalogue_t *cat, uint32_t *count);

/** dff_catalogue_pools() - its pools; @count is set to how many */
const dff_pool_t *dff_catalogue_pools(
    const dff_catalogue_t *cat, uint32_t *count);

/** dff_catalogue_entries() - its entries; @count is set to how many */
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

/* Edits whose verdicts are kept, the newest ones. */
#define DFF_EDITS_KEPT 256

/**
 * struct dff_edit - one edit, as the operators' tool appends it
 * @edit_id: printable ASCII, made once and kept when the append is repeated
 * @against: revision that the edit was made against; 0 for the first
 * @text: the whole catalogue file, NUL-terminated
 * @author: who edits, for people
 * @note: why, for people
 * @written_ms: wall clock of the writer, for people
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
 * dff_edit_pack() - make the record of an edit
 * @edit: edit
 * @data: set to the record, which the caller frees with free()
 *
 * Return: its length, or -EINVAL for an edit id that is empty, too long or
 * not printable.
 */
int dff_edit_pack(const dff_edit_t *edit, uint8_t **data);

/** enum dff_edit_verdict - what became of an edit */
typedef enum dff_edit_verdict {
	DFF_EDIT_NONE, /* not seen, or longer ago than is kept */
	DFF_EDIT_ACCEPTED, /* its offset became the revision in force */
	DFF_EDIT_BEATEN, /* another edit came first */
	DFF_EDIT_BAD, /* it does not pass the checks */
} dff_edit_verdict_t;

/** dff_edit_verdict_name() - "none", "accepted", "beaten" or "bad" */
const char *dff_edit_verdict_name(dff_edit_verdict_t verdict);

/**
 * typedef dff_history_t - state of the catalogue stream
 *
 * A pure function of the records applied, whoever applies them. An edit is
 * accepted if it was made against the revision in force, which is the offset
 * of the last accepted edit; the first such edit in offset order wins. Of
 * records with the same edit id only the first counts. A repeat that comes
 * after its id was forgotten has no effect either: the revision that it was
 * made against is not in force any more and never will be again.
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
 * @len: how many
 * @time_ms: platform's clock when it took the record
 *
 * A record that cannot be understood, or that fails a check, is skipped by
 * every node alike: it only moves the applied offset. So is a record of a
 * later version than is known here; fields that are not known here are
 * passed over.
 *
 * Return: 1 if the catalogue in force changed, 0 if not, -EINVAL if the
 * record was skipped as bad, -EALREADY if the offset was applied before,
 * -ERANGE if a record before it is missing (nothing is changed).
 */
int dff_history_apply(dff_ctx_t *ctx, dff_history_t *history, uint64_t offset,
    const uint8_t *data, size_t len, uint64_t time_ms);

/**
 * dff_history_load() - take over a snapshot record
 * @first: first offset that the log still retains
 *
 * Return: 0; -EALREADY if it is not newer than the state; -EINVAL if it is
 * no sound snapshot; -ERANGE if the record after it is no longer retained.
 */
int dff_history_load(dff_ctx_t *ctx, dff_history_t *history,
    const uint8_t *data, size_t len, uint64_t first);

/**
 * dff_history_save() - make a snapshot record of the state
 * @writer: VM id of this node
 * @incarnation: its incarnation
 * @data: set to the record, which the caller frees with free()
 *
 * Return: its length, or -ENODATA before the first record.
 */
int dff_history_save(dff_ctx_t *ctx, const dff_history_t *history,
    const char *writer, uint64_t incarnation, uint8_t **data);

/**
 * dff_history_rebase() - begin after an offset, with nothing before it
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
 * dff_history_find() - what became of an edit
 * @edit_id: its id
 * @offset: set to its offset
 * @beaten_by: set to the revision that beat it, else 0
 */
dff_edit_verdict_t dff_history_find(const dff_history_t *history,
    const char *edit_id, uint64_t *offset, uint64_t *beaten_by);

/** dff_history_skipped() - bad records passed over so far */
uint64_t dff_history_skipped(const dff_history_t *history);

#endif
