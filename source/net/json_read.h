/*
 * Fields of JSON objects received from other processes. For a field that is
 * missing, of another type or out of range, json_read_*() return false and
 * json_get_*() return zero, "" or false.
 */
#ifndef DFF_NET_JSON_READ_H
#define DFF_NET_JSON_READ_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

/** json_read_u64() - read an integer of 0 or more */
bool json_read_u64(const json_t *object, const char *name, uint64_t *value);

/** json_read_u32() - read an integer from 0 to 2^32 - 1 */
bool json_read_u32(const json_t *object, const char *name, uint32_t *value);

/** json_get_u64() - integer of 0 or more, or 0 */
uint64_t json_get_u64(const json_t *object, const char *name);

/** json_get_u32() - integer below 2^32, or 0 */
uint32_t json_get_u32(const json_t *object, const char *name);

/** json_get_real() - a number of 0 or more, or 0 */
double json_get_real(const json_t *object, const char *name);

/** json_get_text() - a string, borrowed from the object, or "" */
const char *json_get_text(const json_t *object, const char *name);

/** json_get_flag() - true if the field is true, else false */
bool json_get_flag(const json_t *object, const char *name);

#endif
