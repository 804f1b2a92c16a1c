/**
 * @file headers.h
 * @brief The header fields of one HTTP message, in order of arrival.
 */
#ifndef PPS_TRANSPORT_HEADERS_H
#define PPS_TRANSPORT_HEADERS_H

#include "buf.h"

#include <stdint.h>

/** Fields that one message may have. */
#define PPS_HEADERS_MAX 64

/** Where a field's name and value lie in the text. */
typedef struct {
    uint32_t name;
    uint32_t value;
} pps_header_at_t;

/** Header fields. Zero-initialise; free with pps_headers_clear(). */
typedef struct {
    pps_buf_t text;
    pps_header_at_t at[PPS_HEADERS_MAX];
    unsigned int count;
    int in_value; /**< a value is being read, not a name */
    int overflow; /**< more fields came than there is room for */
} pps_headers_t;

/** Takes a piece of a field's name as a parser hands it over. */
void
pps_headers_append_name(pps_headers_t *headers, const char *data, size_t size);

/** Takes a piece of a field's value. */
void
pps_headers_append_value(pps_headers_t *headers, const char *data,
                         size_t size);

/** Ends the last field. Call before reading. */
void
pps_headers_end(pps_headers_t *headers);

/** Forgets all fields and keeps the memory. */
void
pps_headers_reset(pps_headers_t *headers);

/** Frees the memory. */
void
pps_headers_clear(pps_headers_t *headers);

/** The name of a field; `index` is below `count`. */
const char *
pps_headers_name_at(const pps_headers_t *headers, unsigned int index);

/** The value of a field; `index` is below `count`. */
const char *
pps_headers_value_at(const pps_headers_t *headers, unsigned int index);

/** The first value of that name, whatever its case, or NULL. */
const char *
pps_headers_get(const pps_headers_t *headers, const char *name);

/** How many fields have that name. */
unsigned int
pps_headers_count(const pps_headers_t *headers, const char *name);

/** Reads a whole number of decimal digits. @return 0, PPS_ENOTFOUND,
 * PPS_EINVALID */
int
pps_headers_get_number(int64_t *out, const pps_headers_t *headers,
                       const char *name);

#endif
