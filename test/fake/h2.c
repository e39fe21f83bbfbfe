#include "h2.h"

#include <string.h>

#define PREFACE "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

#define END_STREAM  0x1
#define END_HEADERS 0x4

/* Indexes of HPACK's static table. */
#define HPACK_AUTHORITY	    1
#define HPACK_GET	    2
#define HPACK_POST	    3
#define HPACK_PATH	    4
#define HPACK_HTTP	    6
#define HPACK_AUTHORIZATION 23

void
h2_frame(GByteArray *out, uint8_t type, uint8_t flags, uint32_t stream,
    const void *data, size_t len)
{
	const uint8_t head[] = {(uint8_t)(len >> 16), (uint8_t)(len >> 8),
	    (uint8_t)len, type, flags, 0, 0, 0, (uint8_t)stream};

	g_byte_array_append(out, head, sizeof(head));
	if (len > 0)
		g_byte_array_append(out, data, (guint)len);
}

void
h2_begin(GByteArray *out)
{
	g_byte_array_append(out, (const uint8_t *)PREFACE, sizeof(PREFACE) - 1);
	h2_frame(out, H2_SETTINGS, 0, 0, NULL, 0);
}

/* A header whose name and value are in the static table. */
static void
add_indexed(GByteArray *block, uint8_t index)
{
	const uint8_t byte = 0x80 | index;

	g_byte_array_append(block, &byte, 1);
}

/* A header with its name from the table; its value has under 127 bytes. */
static void
add_literal(GByteArray *block, uint8_t index, const char *value)
{
	/* A literal without indexing has four bits for the index. */
	const uint8_t small[] = {index, (uint8_t)strlen(value)};
	const uint8_t large[] = {
	    0x0f, (uint8_t)(index - 0x0f), (uint8_t)strlen(value)};

	if (index < 0x0f)
		g_byte_array_append(block, small, sizeof(small));
	else
		g_byte_array_append(block, large, sizeof(large));
	g_byte_array_append(
	    block, (const uint8_t *)value, (guint)strlen(value));
}

static GByteArray *
begin_block(uint8_t method, const char *path)
{
	GByteArray *block = g_byte_array_new();

	add_indexed(block, method);
	add_indexed(block, HPACK_HTTP);
	add_literal(block, HPACK_PATH, path);
	add_literal(block, HPACK_AUTHORITY, "a");
	return block;
}

void
h2_get(GByteArray *out, uint32_t stream, const char *path)
{
	GByteArray *block = begin_block(HPACK_GET, path);

	h2_frame(out, H2_HEADERS, END_STREAM | END_HEADERS, stream, block->data,
	    block->len);
	g_byte_array_unref(block);
}

void
h2_post(GByteArray *out, uint32_t stream, const char *path,
    const char *authorization, const char *body)
{
	GByteArray *block = begin_block(HPACK_POST, path);

	add_literal(block, HPACK_AUTHORIZATION, authorization);
	h2_frame(out, H2_HEADERS, END_HEADERS, stream, block->data, block->len);
	h2_frame(out, H2_DATA, END_STREAM, stream, body, strlen(body));
	g_byte_array_unref(block);
}
