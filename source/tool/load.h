/*
 * Interfaces shared by the files of the load tool. Requests arrive in an open
 * loop, at times that do not depend on the answers. They are sent to one or
 * two sides: entries of the system, and engine stand-ins without an entry in
 * between. With both sides, each drawn request is sent once to each, so that
 * the two can be compared.
 */
#ifndef DFF_TOOL_LOAD_H
#define DFF_TOOL_LOAD_H

#include <glib.h>

#include "dragonflyfall/event.h"
#include "dragonflyfall/hist.h"
#include "dragonflyfall/http.h"
#include "dragonflyfall/program.h"

/** enum load_side - kind of server that a request is sent to */
typedef enum load_side {
	LOAD_ENTRY,
	LOAD_ENGINE,
	LOAD_SIDES,
} load_side_t;

/** load_side_name() - "entry" or "engine" */
const char *load_side_name(load_side_t side);

/* ---- request mix ---- */

/**
 * struct load_group - one group of the mix file, [entry NAME]
 * @name: catalogue entry that is requested
 * @service: the entry is served by a plain service
 * @share: weight of the group among all groups when a request is drawn
 * @key: API key
 * @model: model of the entry, sent to engines and used to check answers
 * @prompt_tokens: median of prompt tokens
 * @prompt_sigma: sigma of their log-normal distribution
 * @prompt_max: maximum number of prompt tokens
 * @output_tokens: median of the requested maximum number of output tokens
 * @output_sigma: sigma of its log-normal distribution
 * @output_max: upper limit of that distribution
 * @prefix_count: number of prefixes that prompts share; 0: none
 * @prefix_share: fraction of a prompt that the shared prefix makes up
 * @stream: request a streamed answer
 * @idempotent: send an Idempotency-Key
 * @first_token_limit: longest time from arrival to the first token
 * @token_gap_limit: longest time between two token events
 * @total_limit: longest time from arrival to the end of the answer
 */
typedef struct load_group {
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
	double prefix_count;
	double prefix_share;
	bool stream;
	bool idempotent;
	dff_time_t first_token_limit;
	dff_time_t token_gap_limit;
	dff_time_t total_limit;
} load_group_t;

/**
 * struct load_draw - one randomly drawn request
 * @group: index of its group
 * @prompt_bytes: length of its prompt
 * @max_tokens: maximum number of output tokens
 * @prefix: index of the shared prefix of its prompt
 * @serial: random number that identifies the draw and makes the rest of its
 *	prompt unique
 */
typedef struct load_draw {
	uint32_t group;
	uint32_t prompt_bytes;
	uint32_t max_tokens;
	uint32_t prefix;
	uint64_t serial;
} load_draw_t;

/** typedef load_mix_t - contents of a mix file */
typedef struct load_mix load_mix_t;

/**
 * load_mix_read() - read a mix file; prints errors to stderr
 * @defaults: initial values of each group, such as its time limits
 *
 * Return: the mix, which the caller drops, or NULL.
 */
load_mix_t *load_mix_read(const char *path, const load_group_t *defaults);

/** load_mix_drop() - free a mix; NULL is allowed */
void load_mix_drop(load_mix_t *mix);

/** load_mix_groups() - groups of a mix; @count is set to their number */
const load_group_t *load_mix_groups(const load_mix_t *mix, uint32_t *count);

/** load_mix_draw() - draw a random request */
void load_mix_draw(dff_ctx_t *ctx, const load_mix_t *mix, load_draw_t *draw);

/** load_mix_prompt() - text of a request's prompt, which the caller frees;
 *	it differs between any two draws and between the sides */
char *load_mix_prompt(
    const load_mix_t *mix, const load_draw_t *draw, load_side_t side);

/* ---- results ---- */

/** enum load_outcome - outcome of a request */
typedef enum load_outcome {
	LOAD_DONE, /* a complete answer */
	LOAD_REFUSED, /* an error that says "not run" */
	LOAD_FAILED, /* an error after it may have run */
	LOAD_BROKEN, /* an incomplete or malformed answer */
	LOAD_WRONG, /* a complete answer with the wrong text */
	LOAD_OUTCOMES,
} load_outcome_t;

/**
 * struct load_result - result of one finished request
 * @serial: serial of its draw
 * @arrived: time at which it was due
 * @sent: time at which its last attempt was sent
 * @first_token: time of its first token or byte; 0: none
 * @ended: time at which it finished
 * @longest_gap: longest time between two token events
 * @tokens: output tokens
 * @attempts: number of attempts
 * @status: HTTP status, or 0
 * @code: code of the last error, or ""
 */
typedef struct load_result {
	load_side_t side;
	uint32_t group;
	uint64_t serial;
	dff_time_t arrived;
	dff_time_t sent;
	dff_time_t first_token;
	dff_time_t ended;
	dff_time_t longest_gap;
	uint32_t prompt_tokens;
	uint32_t tokens;
	uint32_t attempts;
	int status;
	char code[48];
	load_outcome_t outcome;
} load_result_t;

/** typedef load_report_t - statistics of the results so far */
typedef struct load_report load_report_t;

/** load_report_new() - make an empty report; each result is also written as
 *	a line to the file @csv unless it is ""; NULL if that file cannot be
 *	written */
load_report_t *load_report_new(const load_mix_t *mix, const char *csv);

/** load_report_drop() - free a report; NULL is allowed */
void load_report_drop(load_report_t *report);

/** load_report_add_gap() - count a time between two token events */
void load_report_add_gap(
    load_report_t *report, load_side_t side, dff_time_t gap);

/** load_report_add() - count a result */
void load_report_add(load_report_t *report, const load_result_t *result);

/** load_report_print() - print the statistics of a run of @duration */
void load_report_print(const load_report_t *report, dff_time_t duration);

/** load_report_count_invalid() - number of incomplete, malformed or wrong
 *	answers */
uint64_t load_report_count_invalid(const load_report_t *report);

/* ---- watched processes ---- */

/** typedef load_watch_t - CPU time and memory of processes */
typedef struct load_watch load_watch_t;

/** load_watch_new() - start to watch processes; ids separated by commas */
load_watch_t *load_watch_new(const char *pids);

/** load_watch_print() - print their CPU time and memory growth since */
void load_watch_print(const load_watch_t *watch, dff_time_t duration);

/** load_watch_drop() - free a watch; NULL is allowed */
void load_watch_drop(load_watch_t *watch);

/* ---- requests ---- */

/**
 * struct load - one run of the load tool
 * @addrs: addresses of each side, used in turn
 * @running: requests in flight on each side
 * @waiting: requests that wait for a free connection
 * @connections: maximum number of requests in flight on each side
 * @retries: maximum number of retries of a refused request
 * @idle_timeout: longest time without data from a server
 * @unfinished: requests that have not finished, waiting ones included
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
	dff_time_t idle_timeout;
	uint64_t unfinished;
	char run_id[24];
} load_t;

/** load_request_start() - start a drawn request at one side */
void load_request_start(load_t *load, const load_draw_t *draw, load_side_t side,
    dff_time_t arrived);

/**
 * struct load_parser - parser of the events of a streamed answer
 * @side: side whose format the answer has
 * @line: received part of the current line
 * @next_index: lowest valid index of the next token
 * @output_tokens: output tokens as reported at the end
 * @events: token events so far
 * @finished: the end of the answer was received
 * @invalid: the answer is malformed or ended in an error
 * @text: text of the tokens
 * @code: code of an error in the stream, or ""
 */
typedef struct load_parser {
	load_side_t side;
	GString *line;
	uint32_t next_index;
	uint32_t output_tokens;
	uint32_t events;
	bool finished;
	bool invalid;
	GString *text;
	char code[48];
} load_parser_t;

/** load_parser_init() - prepare for a new answer */
void load_parser_init(load_parser_t *parser, load_side_t side);

/** load_parser_clear() - free the buffers */
void load_parser_clear(load_parser_t *parser);

/**
 * load_parser_feed() - parse received bytes
 *
 * Return: number of token events among them.
 */
uint32_t load_parser_feed(load_parser_t *parser, const char *data, size_t len);

#endif
