/*
 * Parsing of HTTP/1.1 heads, shared by the server and the client.
 */
#ifndef DFF_NET_H1_HEAD_H
#define DFF_NET_H1_HEAD_H

#include <http_parser.h>

#include "dragonflyfall/h1.h"

/**
 * struct h1_reader - a parser and the head that it reads into
 * @parser: http-parser's state; its data points to the owner
 * @head: head being read
 * @head_bytes: bytes of names and values so far
 * @in_value: the last part belonged to a value
 */
typedef struct h1_reader {
	http_parser parser; /* first, so that a parser is a reader */
	dff_h1_head_t head;
	size_t head_bytes;
	bool in_value;
} h1_reader_t;

/** h1_head_init() - initialise an empty head */
void h1_head_init(dff_h1_head_t *head);

/** h1_head_clear() - free the contents of a head */
void h1_head_clear(dff_h1_head_t *head);

/** h1_reader_init() - prepare for the first message of a connection */
void h1_reader_init(h1_reader_t *reader, enum http_parser_type type);

/** h1_reader_clear() - free the contents of a reader */
void h1_reader_clear(h1_reader_t *reader);

/** h1_reader_reset() - clear the last head before the next message */
void h1_reader_reset(h1_reader_t *reader);

/** h1_reader_url() - parser callback: a part of the target */
int h1_reader_url(http_parser *parser, const char *at, size_t len);

/** h1_reader_name() - parser callback: a part of a field's name */
int h1_reader_name(http_parser *parser, const char *at, size_t len);

/** h1_reader_value() - parser callback: a part of a field's value */
int h1_reader_value(http_parser *parser, const char *at, size_t len);

/** h1_status_has_no_body() - whether answers with this status have no body */
bool h1_status_has_no_body(int status);

/** h1_alloc() - a uv_alloc_cb; the read callback frees the buffer */
void h1_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf);

#endif
