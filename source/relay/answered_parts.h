/*
 * Parts of prompts that were answered recently: they do not crash upstreams.
 */
#ifndef DFF_RELAY_ANSWERED_PARTS_H
#define DFF_RELAY_ANSWERED_PARTS_H

#include "dragonflyfall/base.h"

/** typedef answered_parts_t - keys of parts and times of their last answers */
typedef struct answered_parts answered_parts_t;

/** answered_parts_new() - an empty table; the caller drops it */
answered_parts_t *answered_parts_new(void);

/** answered_parts_drop() - free it */
void answered_parts_drop(answered_parts_t *parts);

/** answered_parts_note() - a request with the part was answered; forgotten if
 *	there are too many */
void answered_parts_note(answered_parts_t *parts, uint64_t key, dff_time_t now);

/** answered_parts_last() - time of the last answer for the part; 0 if none was
 *	received recently */
dff_time_t answered_parts_last(const answered_parts_t *parts, uint64_t key);

/** answered_parts_is_recent() - whether an answer for the part was received shortly
 *	before @at */
bool answered_parts_is_recent(
    const answered_parts_t *parts, uint64_t key, dff_time_t at);

/** answered_parts_sweep() - remove old entries */
void answered_parts_sweep(answered_parts_t *parts, dff_time_t now);

#endif
