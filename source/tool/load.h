/*
 * What the parts of the load tool share. Requests arrive in an open loop, at
 * moments that do not depend on the answers, at one or two sides: entries of
 * the system, and engine stand-ins asked straight. With both sides each
 * drawn request is sent once to each, so that they can be compared.
 */
#ifndef DFF_TOOL_LOAD_H
#define DFF_TOOL_LOAD_H

#include <glib.h>

#include "dragonflyfall/event.h"
#include "dragonflyfall/hist.h"
#include "dragonflyfall/http.h"
#include "dragonflyfall/program.h"

/** enum load_side - whom a request is sent to */
typedef enum load_side {
	LOAD_ENTRY,
	LOAD_ENGINE,
	LOAD_SIDES,
} load_side_t;

/** load_side_name() - "entry" or "engine" */
const char *load_side_name(load_side_t side);

/* ---- the mix ---- */

/**
 * struct load_kind - one group of the mix file, [entry NAME]
 * @name: entry asked for
 * @service: a plain service is behind it
 * @share: how often it is drawn, beside the others' shares
 * @key: API key
 * @model: model behind it, for the engine's side and to check answers
 * @prompt_tokens: median of prompt tokens
 * @prompt_sigma: width of their log-normal distribution
 * @prompt_max: most prompt tokens
 * @output_tokens: median of the output bound asked for
 * @output_sigma: width
 * @output_max: most
 * @prefixes: how many beginnings the prompts have in common; 0 none
 * @prefix_share: share of a prompt that is such a beginning
 * @stream: tokens are wanted as they come
 * @idempotent: an Idempotency-Key is sent
 * @first_token: bound on the first token
 * @token_gap: bound on the time between two events of tokens
 * @whole: bound on the whole answer
 */
typedef struct load_kind {
	char name[DFF_NAME_MAX];
	bool service;
	double share;
	char key[128];
	char model[DFF_NAME_MAX];
	double prompt_tokens;
	double prompt_sigma;
	double prompt_max;
	double output_tokens;
	double output_sigma;
	double output_max;
	double prefixes;
	double prefix_share;
	bool stream;
	bool idempotent;
	dff_time_t first_token;
	dff_time_t token_gap;
	dff_time_t whole;
} load_kind_t;

/**
 * struct load_draw - one drawn request
 * @kind: index of its kind
 * @prompt_bytes: length of its prompt
 * @max_tokens: output bound
 * @prefix: which beginning it has
 * @serial: number of the draw, which makes the rest of its prompt
 */
typedef struct load_draw {
	uint32_t kind;
	uint32_t prompt_bytes;
	uint32_t max_tokens;
	uint32_t prefix;
	uint64_t serial;
} load_draw_t;

/** typedef load_mix_t - a mix file */
typedef struct load_mix load_mix_t;

/**
 * load_mix_read() - read a mix file; tells what is wrong
 * @defaults: class times of groups that give none
 *
 * Return: the mix, which the caller drops, or NULL.
 */
load_mix_t *load_mix_read(const char *path, const load_kind_t *defaults);

/** load_mix_drop() - free a mix; NULL is allowed */
void load_mix_drop(load_mix_t *mix);

/** load_mix_kinds() - its groups; @count is set to how many */
const load_kind_t *load_mix_kinds(const load_mix_t *mix, uint32_t *count);

/** load_mix_draw() - draw a request */
void load_mix_draw(dff_ctx_t *ctx, const load_mix_t *mix, load_draw_t *draw);

/** load_mix_prompt() - text of a request's prompt, which the caller frees;
 *	no two draws and sides have the same */
char *load_mix_prompt(
    const load_mix_t *mix, const load_draw_t *draw, load_side_t side);

/* ---- results ---- */

/** enum load_outcome - what became of a request */
typedef enum load_outcome {
	LOAD_DONE, /* a whole answer */
	LOAD_REFUSED, /* an error that says "not run" */
	LOAD_FAILED, /* an error after it may have run */
	LOAD_BROKEN, /* the answer broke off, or does not hold together */
	LOAD_WRONG, /* a whole answer, but not to this request */
	LOAD_OUTCOMES,
} load_outcome_t;

/**
 * struct load_result - one request that is over
 * @serial: number of its draw
 * @arrived: moment it was due
 * @sent: moment its last try was sent
 * @first: moment of its first token or byte; 0 none
 * @ended: moment it was over
 * @longest_gap: longest time between two events of tokens
 * @tokens: output tokens
 * @tries: how often it was sent
 * @status: HTTP status, or 0
 * @code: code of the last error, or ""
 */
typedef struct load_result {
	load_side_t side;
	uint32_t kind;
	uint64_t serial;
	dff_time_t arrived;
	dff_time_t sent;
	dff_time_t first;
	dff_time_t ended;
	dff_time_t longest_gap;
	uint32_t prompt_tokens;
	uint32_t tokens;
	uint32_t tries;
	int status;
	char code[48];
	load_outcome_t outcome;
} load_result_t;

/** typedef load_report_t - results so far */
typedef struct load_report load_report_t;

/** load_report_new() - no results; writes a line each to @csv unless "";
 *	NULL if that file cannot be written */
load_report_t *load_report_new(const load_mix_t *mix, const char *csv);

/** load_report_drop() - free a report; NULL is allowed */
void load_report_drop(load_report_t *report);

/** load_report_gap() - count a time between two events of tokens */
void load_report_gap(load_report_t *report, load_side_t side, dff_time_t gap);

/** load_report_add() - count a result */
void load_report_add(load_report_t *report, const load_result_t *result);

/** load_report_print() - print what was measured over @time */
void load_report_print(const load_report_t *report, dff_time_t time);

/** load_report_faults() - answers that broke off or were wrong */
uint64_t load_report_faults(const load_report_t *report);

/* ---- processes watched ---- */

/** typedef load_watch_t - processor time and memory of processes */
typedef struct load_watch load_watch_t;

/** load_watch_new() - begin to watch processes, ids parted by commas */
load_watch_t *load_watch_new(const char *pids);

/** load_watch_print() - print what they used since */
void load_watch_print(const load_watch_t *watch, dff_time_t time);

/** load_watch_drop() - free a watch; NULL is allowed */
void load_watch_drop(load_watch_t *watch);

/* ---- requests ---- */

/**
 * struct load - one run
 * @addrs: addresses of each side, asked in turn
 * @connections: requests at once on each side
 * @retries: how often a request that was refused is sent again
 * @silence: longest silence of a server
 * @open: requests under way
 */
typedef struct load {
	dff_ctx_t *ctx;
	uv_loop_t loop;
	dff_httpc_t *httpc;
	load_mix_t *mix;
	load_report_t *report;
	char **addrs[LOAD_SIDES];
	uint32_t next_addr[LOAD_SIDES];
	uint32_t running[LOAD_SIDES];
	GQueue waiting[LOAD_SIDES];
	int64_t connections;
	int64_t retries;
	dff_time_t silence;
	uint64_t open;
	char run_id[24];
} load_t;

/** load_request_start() - a drawn request is due at one side */
void load_request_start(load_t *load, const load_draw_t *draw, load_side_t side,
    dff_time_t arrived);

/**
 * struct load_parser - reads the events of a streamed answer
 * @side: whose form it has
 * @line: what has come of the present line
 * @next: index of the token that comes next
 * @tokens: output tokens as told at the end
 * @events: events of tokens so far
 * @finished: the answer's end has come
 * @broken: it does not hold together
 * @text: tokens' text
 * @code: code of an error in the stream, or ""
 */
typedef struct load_parser {
	load_side_t side;
	GString *line;
	uint32_t next;
	uint32_t tokens;
	uint32_t events;
	bool finished;
	bool broken;
	GString *text;
	char code[48];
} load_parser_t;

/** load_parser_init() - before the first byte */
void load_parser_init(load_parser_t *parser, load_side_t side);

/** load_parser_clear() - free what it holds */
void load_parser_clear(load_parser_t *parser);

/** load_parser_feed() - take bytes; returns events of tokens among them */
uint32_t load_parser_feed(load_parser_t *parser, const char *data, size_t len);

#endif
