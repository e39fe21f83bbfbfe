/*
 * Lists in JSON whose elements come from several writers. An element that no
 * reader can parse, as one that is nested too deeply or has too large a number,
 * must not make the others unreadable, so that each is parsed by itself.
 */
#ifndef DFF_NET_JSON_SPLIT_H
#define DFF_NET_JSON_SPLIT_H

#include <glib.h>

/** struct json_text - text of one element, borrowed from that of the list */
typedef struct json_text {
	const char *start;
	size_t len;
} json_text_t;

/**
 * json_split_list() - find the elements of a list
 * @text: an object
 * @len: length of @text in bytes
 * @name: the object's member that is the list
 *
 * Elements are told apart by brackets, strings and commas only.
 *
 * Return: GArray of json_text_t, owned by the caller; NULL if @text does not end
 * as an object or has no such list.
 */
GArray *json_split_list(const char *text, size_t len, const char *name);

#endif
