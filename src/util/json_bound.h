/**
 * @file json_bound.h
 * @brief Parses JSON of others in which single values are out of bounds.
 *
 * A parser refuses a whole text for one number that is too large or one value
 * that is too deeply nested. Where others can write entries of a list, one
 * such entry would hide all of them.
 */
#ifndef PPS_UTIL_JSON_BOUND_H
#define PPS_UTIL_JSON_BOUND_H

#include <jansson.h>
#include <stddef.h>

/** Deepest nesting that is kept. */
#define PPS_JSON_DEPTH_MAX 32

/**
 * Parses a text in which numbers beyond 64 bits and values nested deeper than
 * PPS_JSON_DEPTH_MAX count as null.
 * @return a new reference; NULL if the rest is no JSON, or without memory
 */
json_t *
pps_json_load_bounded(const char *text, size_t size);

#endif
