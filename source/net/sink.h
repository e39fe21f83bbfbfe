/*
 * Receiver of the events of the I/O adapters.
 */
#ifndef DFF_NET_SINK_H
#define DFF_NET_SINK_H

#include "dragonflyfall/event.h"

/**
 * struct dff_sink - receiver of events
 * @feed: receives one event; the data it points to is borrowed. Never called
 *	while an effect is carried out, so that the reducer is not
 *	reentered.
 * @arg: passed to @feed
 */
typedef struct dff_sink {
	void (*feed)(void *arg, const dff_event_t *event);
	void *arg;
} dff_sink_t;

#endif
