/*
 * A play of load on the relay: four relays before six engines that read
 * prompts one after the other, in virtual time, and callers that may return
 * once after a refusal. One play at a time.
 */
#ifndef DFF_FAKE_RELAY_PLAY_H
#define DFF_FAKE_RELAY_PLAY_H

#include "relay_bench.h"

#define PLAY_RELAYS 4
#define PLAY_TICK   (2 * DFF_MSEC)
/* Tokens of the shared part of each prompt. */
#define PLAY_SHARED 8000

/**
 * struct play_tally - what callers got
 * @late: served after their aim
 * @refused: answered 503
 * @long_asked: of @asked, those with a long part of their own
 * @again: of @asked, those whose caller was turned away before
 */
typedef struct play_tally {
	int asked;
	int in_aim;
	int late;
	int refused;
	int failed;
	int long_asked;
	int long_served;
	int again;
	int again_refused;
} play_tally_t;

/** play_setup() - relays and engines that know nothing yet */
void play_setup(void);

/** play_teardown() - free all */
void play_teardown(void);

/** play_restart_relays() - all relays start again; the tally begins anew */
void play_restart_relays(void);

/** play_return_callers() - from now on callers come back once when told to */
void play_return_callers(void);

/** play_ask() - one request at a relay, for a shared part */
void play_ask(int relay, uint64_t shared, uint32_t own);

/** play_tick() - PLAY_TICK passes */
void play_tick(void);

/** play_load() - requests for some time: @per_s in all, for one of @parts
 *	shared parts; most own parts have 500 tokens, one in ten 6,000 */
void play_load(dff_time_t time, double per_s, int parts);

/** play_capacity() - such requests a second that the engines can read */
double play_capacity(void);

/** play_now() - the moment */
dff_time_t play_now(void);

/** play_count() - of requests that were asked from @since on */
void play_count(play_tally_t *tally, dff_time_t since);

/** play_slowest_refusal() - longest time from a request to its 503 */
dff_time_t play_slowest_refusal(void);

/** play_shared_read() - how many times shared parts were read */
double play_shared_read(void);

/** play_longest_queue() - sends that wait at the fullest engine */
size_t play_longest_queue(void);

#endif
