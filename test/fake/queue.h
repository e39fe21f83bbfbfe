/*
 * Things that happen at moments of virtual time; equal moments in order of
 * their adding.
 */
#ifndef FAKE_QUEUE_H
#define FAKE_QUEUE_H

#include <glib.h>

#include "dragonflyfall/base.h"

/**
 * struct queue_item - one thing to happen
 * @at: moment
 * @kind: the owner's word for it
 * @node: node that it happens at
 * @life: life of that node; the owner drops what was for an earlier one
 * @id: number that belongs to it
 * @data: owned by the item, or NULL
 */
typedef struct queue_item {
	dff_time_t at;
	int kind;
	uint32_t node;
	uint64_t life;
	uint64_t id;
	void *data;
} queue_item_t;

/** typedef queue_t - what is to happen */
typedef struct queue queue_t;

/** queue_new() - nothing is to happen; the caller drops it */
queue_t *queue_new(void);

/** queue_drop() - free the queue and its items' data */
void queue_drop(queue_t *queue);

/** queue_add() - something is to happen */
void queue_add(queue_t *queue, const queue_item_t *item);

/** queue_pop() - take the next item; its data is the caller's to free */
bool queue_pop(queue_t *queue, queue_item_t *item);

#endif
