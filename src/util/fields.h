/**
 * @file fields.h
 * @brief Typed key-value pairs of log lines and events.
 */
#ifndef PPS_UTIL_FIELDS_H
#define PPS_UTIL_FIELDS_H

#include <stddef.h>
#include <stdint.h>

/** Key with a string or, if `text` is NULL, an integer. */
typedef struct {
    const char *key;
    const char *text;
    int64_t number;
} pps_field_t;

#define PPS_STR(name, value) ((pps_field_t){(name), (value), 0})
#define PPS_INT(name, value) ((pps_field_t){(name), NULL, (int64_t)(value)})

/** Expands to the two arguments (array, count). */
#define PPS_FIELDS(...)                                                       \
    ((const pps_field_t[]){__VA_ARGS__}),                                     \
        (sizeof((const pps_field_t[]){__VA_ARGS__}) / sizeof(pps_field_t))

/** Expands to the same two arguments for an empty list. */
#define PPS_NO_FIELDS NULL, 0

#endif
