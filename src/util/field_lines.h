/**
 * @file field_lines.h
 * @brief Checks the field lines of a head or a trailer, up to the empty line
 * that ends them. Does no I/O and keeps no field.
 *
 * No field of a trailer is used or passed on. HTTP/1.1 allows a recipient to
 * discard them, and a field that is taken for one of the head could change the
 * message's id, its framing or its routing. Field lines are checked all the
 * same, so that what is no trailer is never taken for the end of a message.
 */
#ifndef PPS_UTIL_FIELD_LINES_H
#define PPS_UTIL_FIELD_LINES_H

#include <stddef.h>

/** State of the lines after more of their bytes. */
typedef enum {
    PPS_FIELD_LINES_MORE,      /**< they go on */
    PPS_FIELD_LINES_WHOLE,     /**< the empty line was read */
    PPS_FIELD_LINES_MALFORMED, /**< these are no field lines */
} pps_field_lines_state_t;

/** Where the next byte belongs. */
typedef enum {
    PPS_FIELD_LINES_AT_LINE_START,
    PPS_FIELD_LINES_IN_NAME,
    PPS_FIELD_LINES_IN_VALUE,
    PPS_FIELD_LINES_BEHIND_CR,      /**< at the end of a field line */
    PPS_FIELD_LINES_BEHIND_LAST_CR, /**< in the empty line */
} pps_field_lines_position_t;

/** Field lines that are being read. Zero-initialize them. */
typedef struct {
    pps_field_lines_position_t position;
    size_t field_bytes;  /**< bytes of the field lines so far */
    int refuses_folding; /**< a value that goes on in the next line is
                              malformed, as it is in a head */
} pps_field_lines_t;

/** Reads bytes up to the end of the lines.
 * @param used set to the number of bytes that belong to them */
pps_field_lines_state_t
pps_field_lines_read(pps_field_lines_t *lines, const char *data, size_t size,
                     size_t *used);

#endif
