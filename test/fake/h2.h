/*
 * HTTP/2 frames written out, for callers over h2c.
 */
#ifndef FAKE_H2_H
#define FAKE_H2_H

#include <stdint.h>

#include <glib.h>

/* Types of frames. */
#define H2_DATA	      0x0
#define H2_HEADERS    0x1
#define H2_RST_STREAM 0x3
#define H2_SETTINGS   0x4

/** h2_frame() - add a frame */
void h2_frame(GByteArray *out, uint8_t type, uint8_t flags, uint32_t stream,
    const void *data, size_t len);

/** h2_begin() - add what opens a connection */
void h2_begin(GByteArray *out);

/** h2_get() - add a GET of a path */
void h2_get(GByteArray *out, uint32_t stream, const char *path);

/** h2_post() - add a POST with a body */
void h2_post(GByteArray *out, uint32_t stream, const char *path,
    const char *authorization, const char *body);

#endif
