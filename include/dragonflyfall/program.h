/*
 * Functions that all programs share: settings from flags and environment, the
 * log output, the clocks, and the signals that request a graceful stop.
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
 * @value: variable that receives the value
 * @fallback: default as text; NULL if the setting is required
 * @min: least allowed value, in the flag's unit
 * @max: largest allowed value, in the flag's unit
 * @allowed: for choices, the allowed words, separated by "|"
 * @unit: unit for the help text, or NULL
 * @help: one line of help text
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
 * @summary: one line that says what the program does
 * @settings: array of settings, ended by one with a NULL name
 * @argc: from main(); arguments that are not flags are left for the caller
 * @argv: from main()
 *
 * Handles --help, --version and --check, and adds --log-level to every
 * program. An invalid setting is reported on standard error with its flag, its
 * value and the allowed values.
 *
 * Return: 0 to go on; 1 if the program is to exit with status 0 now;
 * -EINVAL if it is to exit with status 2.
 */
int dff_settings_load(const char *summary, const dff_setting_t *settings,
    int *argc, char ***argv);

/** dff_settings_drop() - free the allocated texts */
void dff_settings_drop(const dff_setting_t *settings);

/**
 * dff_program_ctx() - new context that logs syslog-style lines on standard
 * error
 * @name: program's name, written on each line
 * @seed: seed of the context's random numbers
 *
 * Lines are "<6>name part: sentence key=value". Lines that
 * repeat one sentence beyond a rate are counted and reported in one line.
 */
dff_ctx_t *dff_program_ctx(const char *name, uint32_t seed);

/** dff_program_now() - current time, by a clock that advances during
 *	suspension */
dff_time_t dff_program_now(void);

/** dff_program_time_until() - time left until @at; 0 once it has passed */
dff_time_t dff_program_time_until(dff_time_t at);

/** dff_program_wall_ms() - wall-clock time in milliseconds since 1970 */
uint64_t dff_program_wall_ms(void);

/**
 * dff_program_on_stop() - call @stop once at SIGTERM or SIGINT
 *
 * Also ignores SIGPIPE. A second signal ends the process immediately.
 */
int dff_program_on_stop(uv_loop_t *loop, void (*stop)(void *arg), void *arg);

#endif
