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
	http_parser parser; /* first, so that a parser is a reader */
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

/** h1_reader_url() - a parser's callback: a part of the target */
int h1_reader_url(http_parser *parser, const char *at, size_t len);

/** h1_reader_name() - a parser's callback: a part of a field's name */
int h1_reader_name(http_parser *parser, const char *at, size_t len);

/** h1_reader_value() - a parser's callback: a part of a field's value */
int h1_reader_value(http_parser *parser, const char *at, size_t len);

/** h1_alloc() - a uv_alloc_cb; what reads frees the buffer */
void h1_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf);

#endif
