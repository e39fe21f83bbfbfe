/*
 * Where the adapters to the outside put their events.
 */
#ifndef DFF_NET_SINK_H
#define DFF_NET_SINK_H

#include "dragonflyfall/event.h"

/**
 * struct dff_sink - takes events
 * @feed: takes one event; what it points to is borrowed. Never called from
 *	inside a call that carries out an effect, so that the reducer is not
 *	entered twice.
 * @arg: handed to @feed
 */
typedef struct dff_sink {
	void (*feed)(void *arg, const dff_event_t *event);
	void *arg;
} dff_sink_t;

#endif
