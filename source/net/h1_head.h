/*
 * Parsing of HTTP/1.1 heads, shared by the server and the client.
 */
#ifndef DFF_NET_H1_HEAD_H
#define DFF_NET_H1_HEAD_H

#include <http_parser.h>

#include "dragonflyfall/h1.h"

/**
 * struct h1_reader - a parser and the head that it fills
 * @parser: http-parser's state; its data points to the owner
 * @head: head under way
 * @head_bytes: bytes of names and values so far
 * @in_value: the last part was of a value
 */
typedef struct h1_reader {
	http_parser parser;
	dff_h1_head_t head;
	size_t head_bytes;
	bool in_value;
} h1_reader_t;

/** h1_head_init() - an empty head */
void h1_head_init(dff_h1_head_t *head);

/** h1_head_clear() - free what a head holds */
void h1_head_clear(dff_h1_head_t *head);

/** h1_reader_init() - begin with the first message of a connection */
void h1_reader_init(h1_reader_t *reader, enum http_parser_type type);

/** h1_reader_clear() - free what the reader holds */
void h1_reader_clear(h1_reader_t *reader);

/** h1_reader_next() - forget the last head */
void h1_reader_next(h1_reader_t *reader);

/** h1_reader_url() - a part of the target */
void h1_reader_url(h1_reader_t *reader, const char *at, size_t len);

/** h1_reader_name() - a part of a field's name */
void h1_reader_name(h1_reader_t *reader, const char *at, size_t len);

/** h1_reader_value() - a part of a field's value */
void h1_reader_value(h1_reader_t *reader, const char *at, size_t len);

#endif
