/*
 * What every program shares: settings from flags and environment, the log
 * sink, the clock, and the signals that ask for a graceful stop.
 */
#ifndef DRAGONFLYFALL_PROGRAM_H
#define DRAGONFLYFALL_PROGRAM_H

#include <uv.h>

#include "dragonflyfall/base.h"

/** enum dff_setting_kind - type of a setting */
typedef enum dff_setting_kind {
	DFF_SETTING_TEXT, /* const char *, allocated */
	DFF_SETTING_ADDR, /* const char *, "ip:port", allocated */
	DFF_SETTING_INT, /* int64_t with bounds */
	DFF_SETTING_MSEC, /* dff_time_t, given in milliseconds, with bounds */
	DFF_SETTING_REAL, /* double with bounds */
	DFF_SETTING_FLAG, /* bool */
	DFF_SETTING_CHOICE, /* const char *, one of @allowed, allocated */
} dff_setting_kind_t;

/**
 * struct dff_setting - one setting
 * @name: flag without dashes; the environment variable is "DFF_" and the
 *	name in capitals with "_" for "-"
 * @kind: type
 * @value: where it goes
 * @fallback: default as text; NULL where it must be given
 * @min: least allowed, in the flag's unit
 * @max: most allowed, in the flag's unit
 * @allowed: for choices, words parted by "|"
 * @unit: unit for the help text, or NULL
 * @help: one line
 */
typedef struct dff_setting {
	const char *name;
	dff_setting_kind_t kind;
	void *value;
	const char *fallback;
	double min;
	double max;
	const char *allowed;
	const char *unit;
	const char *help;
} dff_setting_t;

/**
 * dff_settings_load() - read flags, then environment, then defaults
 * @summary: one line on what the program does
 * @settings: settings, ended by one with a NULL name
 * @argc: from main(); what is no flag is left in place for the caller
 * @argv: from main()
 *
 * Handles --help, --version and --check, and adds --log-level to every
 * program. A bad setting is told on standard error with its flag, the value
 * and what is allowed.
 *
 * Return: 0 to go on; 1 if the program is to exit with status 0 now;
 * -EINVAL if it is to exit with status 2.
 */
int dff_settings_load(const char *summary, const dff_setting_t *settings,
    int *argc, char ***argv);

/** dff_settings_drop() - free the texts that were allocated */
void dff_settings_drop(const dff_setting_t *settings);

/**
 * dff_program_ctx() - context that logs syslog-style lines on standard error
 * @name: program's name, on each line
 *
 * Lines are "<6>name part: sentence key=value". Repeats of one line's
 * sentence beyond a rate are counted and told as one line.
 */
dff_ctx_t *dff_program_ctx(const char *name, uint32_t seed);

/** dff_program_now() - now, by a clock that runs on during suspension */
dff_time_t dff_program_now(void);

/** dff_program_until() - time left until a moment; 0 once it has passed */
dff_time_t dff_program_until(dff_time_t at);

/** dff_program_wall_ms() - wall clock in milliseconds since 1970 */
uint64_t dff_program_wall_ms(void);

/**
 * dff_program_on_stop() - call @stop once at SIGTERM or SIGINT
 *
 * Also ignores SIGPIPE. A second signal ends the process at once.
 */
int dff_program_on_stop(uv_loop_t *loop, void (*stop)(void *arg), void *arg);

#endif
