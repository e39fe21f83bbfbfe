/*
 * Origins of streams that a node cannot store: it tells them to peers, which
 * store them in its place. A node asked to resume such a stream finds the row
 * in the store, whichever node wrote it.
 */
#ifndef DFF_RELAY_ORIGIN_TELL_H
#define DFF_RELAY_ORIGIN_TELL_H

#include "proto/dragonflyfall.pb-c.h"
#include "relay/origin_table.h"

/** origin_tell() - have peers store a row if the store fails for this node */
void origin_tell(step_t *step, const dff_stream_origin_t *row);

/** origin_note_store_answer() - the store has accepted or refused a batch */
void origin_note_store_answer(step_t *step, const dff_relay_stored_t *stored);

/** origin_tell_time() - when origin_tell_due() is due; DFF_TIME_NEVER if it is
 *	not */
dff_time_t origin_tell_time(const origins_t *origins);

/** origin_tell_due() - notice that the store is silent, and tell rows */
void origin_tell_due(step_t *step);

/** origin_receive() - store the rows of a peer's frame */
void origin_receive(step_t *step, const Dff__RelayBeat *frame);

#endif
