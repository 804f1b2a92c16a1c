/**
 * @file headers.h
 * @brief Stores the header fields of one HTTP message in order of arrival.
 */
#ifndef PPS_TRANSPORT_HEADERS_H
#define PPS_TRANSPORT_HEADERS_H

#include "buf.h"

#include <stdint.h>

/** Maximum number of fields in one message. */
#define PPS_HEADERS_MAX 64

/** Byte offsets of a field's name and value in `text`. */
typedef struct {
    uint32_t name;
    uint32_t value;
} pps_header_offsets_t;

/** Header fields. Initialize to zero; free with pps_headers_clear(). */
typedef struct {
    pps_buf_t text;
    pps_header_offsets_t offsets[PPS_HEADERS_MAX];
    unsigned int count;
    int in_value; /**< nonzero while a value is being appended */
    int overflow; /**< set by a field after PPS_HEADERS_MAX fields */
} pps_headers_t;

/** Appends a piece of a field's name. A piece after a value starts a field,
 * which at PPS_HEADERS_MAX replaces the last one and sets `overflow`. */
void
pps_headers_append_name(pps_headers_t *headers, const char *data, size_t size);

/** Appends a piece of the current field's value. */
void
pps_headers_append_value(pps_headers_t *headers, const char *data,
                         size_t size);

/** Terminates the last field; must be called before any field is read. */
void
pps_headers_end(pps_headers_t *headers);

/** Removes all fields but keeps the memory for reuse. */
void
pps_headers_reset(pps_headers_t *headers);

/** Removes all fields and frees the memory. */
void
pps_headers_clear(pps_headers_t *headers);

/** Returns the name of a field; `index` must be below `count`. */
const char *
pps_headers_name_at(const pps_headers_t *headers, unsigned int index);

/** Returns the value of a field; `index` must be below `count`. */
const char *
pps_headers_value_at(const pps_headers_t *headers, unsigned int index);

/** Returns the first value of `name`, ignoring case, or NULL. */
const char *
pps_headers_get(const pps_headers_t *headers, const char *name);

/** Counts the fields called `name`, ignoring case. */
unsigned int
pps_headers_count(const pps_headers_t *headers, const char *name);

/** Parses the first field called `name` as a number of 1 to 15 decimal digits.
 * @return 0, PPS_ENOTFOUND or PPS_EINVALID */
int
pps_headers_get_number(int64_t *out, const pps_headers_t *headers,
                       const char *name);

#endif
