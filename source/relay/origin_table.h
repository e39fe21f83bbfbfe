/*
 * Origins that a node knows, and their way to and from the store.
 */
#ifndef DFF_RELAY_ORIGIN_TABLE_H
#define DFF_RELAY_ORIGIN_TABLE_H

#include "relay/origin.h"

/**
 * struct origin - one stream's origin
 * @stream: newest row
 * @own: this node began the stream
 * @batch: of an own stream, the last batch that its newest row was part of
 * @stored: the store has accepted that
 * @helped: a peer that could not store it began the stream, and this node
 *	stores it
 * @shared: two runs have the same attempt id
 * @ambiguous: they have different origins
 */
typedef struct origin {
	dff_stream_origin_t stream;
	bool own;
	uint64_t batch;
	bool stored;
	bool helped;
	bool shared;
	bool ambiguous;
	dff_time_t expires_at;
} origin_t;

/** struct untold - a row that peers are to store
 * @times: how often it is told yet
 */
typedef struct untold {
	dff_stream_origin_t row;
	uint32_t times;
} untold_t;

struct origins {
	GHashTable *by_attempt; /* uint64_t to origin_t, which holds it */
	GArray *unstored; /* dff_stream_origin_t */
	uint64_t batch; /* number of the last batch */
	dff_time_t stored_at; /* when that was handed to the store */
	dff_time_t store_at; /* when the next one is; 0 if @unstored is empty */
	dff_time_t unanswered_since; /* hand-over of the oldest batch that the
				      * store has not answered; 0 for none */
	bool store_fails; /* it refused that, or took too long */
	GArray *untold; /* untold_t, rows that peers are to store */
	dff_time_t tell_at; /* when the next are told; 0 if there are none */
	bool reading;
	uint64_t reads; /* number of the last read that has begun */
	uint64_t known_read; /* of the last one that succeeded; 0 for none */
	dff_time_t lookup_at; /* next read; 0 if none is planned */
	GHashTable *versions_read; /* pool to the version that all rows read
				    * since the start name, or "" */
	bool only_started; /* nothing but the start set @unchanged_since */
	dff_time_t started_at; /* origin_note_start() */
	dff_time_t unchanged_since; /* last origin_note_change() */
};

/** origin_add() - record the origin of a stream of this node, and store it
 *	soon */
void origin_add(step_t *step, const dff_stream_origin_t *stream);

/** origin_replace_unstored() - the same in place of a row of the same run that
 *	was not handed to the store yet; returns false if there is none */
bool origin_replace_unstored(step_t *step, const dff_stream_origin_t *stream);

/** origin_is_unstored() - whether a row of this run was not handed to the store
 *	yet */
bool origin_is_unstored(const dff_relay_t *relay, uint64_t run);

/** origin_store_now() - hand new rows to the store; returns the batch */
uint64_t origin_store_now(step_t *step);

/** origin_store_urgently() - store new rows without regard to the interval
 *	between writes */
void origin_store_urgently(step_t *step);

/** origin_note_stored() - the store has accepted or refused a batch: a refused
 *	one is stored again, unless newer rows are on the way */
void origin_note_stored(step_t *step, const dff_relay_stored_t *stored);

/** origin_is_calm() - one software version alone has run in each pool for so
 *	long that this node and most others need no rows */
bool origin_is_calm(const step_t *step);

/** origin_add_helped() - store a row for a peer, unless that is done */
void origin_add_helped(step_t *step, const dff_stream_origin_t *stream);

/** origin_is_stored() - whether the store has the newest row of a stream of this
 *	node */
bool origin_is_stored(const dff_relay_t *relay, uint64_t attempt);

/** origin_find() - the origin of a stream, if this node began it or a read not
 *	older than @read has found it; else NULL */
const origin_t *origin_find(step_t *step, uint64_t attempt, uint64_t read);

/** origin_read_now() - read rows of the store, unless a read is under way */
void origin_read_now(step_t *step);

/** origin_read_later() - read them again after the lookup interval */
void origin_read_later(step_t *step);

/** origin_note_read() - note the rows that a read found */
void origin_note_read(step_t *step, const dff_relay_origins_t *read);

/** origin_set_timer() - set the timer for the next batch and read */
void origin_set_timer(step_t *step);

#endif
