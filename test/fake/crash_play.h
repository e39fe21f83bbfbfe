/*
 * A play of requests that crash upstreams: relays that exchange frames before
 * upstreams that crash, stay away and come back, in virtual time. One play at
 * a time.
 */
#ifndef DFF_FAKE_CRASH_PLAY_H
#define DFF_FAKE_CRASH_PLAY_H

#include "relay_net.h"

/* Content of requests that crash the upstream that begins them; any content
 * above it is harmless. */
#define CRASH_CONTENT 77

/**
 * struct crash_plan - how upstreams behave
 * @nodes: relays, in one domain up to 9, else in three
 * @upstreams: how many
 * @back: time after a crash at which an upstream is back, as a new start
 * @lapse: time after a crash at which its record is dropped, or
 *	DFF_TIME_NEVER where no record is heard
 * @lost: each so many-th harmless run breaks off; 0 for none
 * @engines: they read prompts and decode, half of them each
 * @spares_readers: engines that read a prompt do not crash under it
 * @far: a node whose sends break off every other time, and else find no
 *	connection, as its probes; 0 for none
 * @dark: who crashes falls silent: nothing breaks off
 */
typedef struct crash_plan {
	int nodes;
	int upstreams;
	dff_time_t back;
	dff_time_t lapse;
	uint32_t lost;
	bool engines;
	bool spares_readers;
	bool dark;
	int far;
} crash_plan_t;

/**
 * struct crash_tally - what upstreams and callers saw
 * @ended: crashes
 * @sent_late: arrivals of CRASH_CONTENT at live upstreams later than 3 s after
 *	the third crash
 * @answered: harmless requests that were answered
 * @refused: harmless requests that were refused
 * @failed: harmless requests that failed
 */
typedef struct crash_tally {
	int ended;
	int sent_late;
	int answered;
	int refused;
	int failed;
} crash_tally_t;

/** crash_play_start() - relays and upstreams that know each other */
void crash_play_start(const crash_plan_t *plan);

/** crash_play_stop() - free all */
void crash_play_stop(void);

/** crash_play_ask() - a request at a node */
void crash_play_ask(int node, const char *target, uint64_t content);

/** crash_play_prompt() - a request with a prompt, for engines */
void crash_play_prompt(int node, uint64_t content);

/** crash_play_pass() - let time pass */
void crash_play_pass(dff_time_t time);

/** crash_play_crash_all() - all upstreams crash, whatever they run */
void crash_play_crash_all(void);

/** crash_play_restart() - a node starts again and knows nothing */
void crash_play_restart(int node);

/** crash_play_cut() - a node hears and tells peers nothing, or again */
void crash_play_cut(int node, bool cut);

/** crash_play_tally() - so far */
const crash_tally_t *crash_play_tally(void);

/** crash_play_bytes() - of all frames so far */
uint64_t crash_play_bytes(void);

/** crash_play_status() - status of a node's last own answer; 0 if the last
 *	request was sent on */
int crash_play_status(int node);

/** crash_play_retry_after() - when that answer said to come back */
dff_time_t crash_play_retry_after(int node);

#endif
