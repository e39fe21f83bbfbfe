/*
 * Fields of JSON objects that come from outside. A field that is missing,
 * of another type or out of range is told, or reads as zero or "".
 */
#ifndef DFF_NET_JSON_READ_H
#define DFF_NET_JSON_READ_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

/** json_read_u64() - a whole number of 0 or more; false if it is none */
bool json_read_u64(const json_t *object, const char *name, uint64_t *value);

/** json_read_u32() - likewise, below 2^32 */
bool json_read_u32(const json_t *object, const char *name, uint32_t *value);

/** json_get_u64() - a whole number, or 0 */
uint64_t json_get_u64(const json_t *object, const char *name);

/** json_get_u32() - a whole number below 2^32, or 0 */
uint32_t json_get_u32(const json_t *object, const char *name);

/** json_get_real() - a number of 0 or more, or 0 */
double json_get_real(const json_t *object, const char *name);

/** json_get_text() - a string, borrowed from the object, or "" */
const char *json_get_text(const json_t *object, const char *name);

/** json_get_flag() - true, or false if it is anything else */
bool json_get_flag(const json_t *object, const char *name);

#endif
