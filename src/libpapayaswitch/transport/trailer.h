/**
 * @file trailer.h
 * @brief Skips the trailer of a message in chunks: the field lines between its
 * last chunk and the empty line that ends it. Does no I/O.
 *
 * No field of a trailer is used or passed on. HTTP/1.1 allows a recipient to
 * discard them, and a field that is taken for one of the head could change the
 * message's id, its framing or its routing. Field lines are checked all the
 * same, so that what is no trailer is never taken for the end of a message.
 */
#ifndef PPS_TRANSPORT_TRAILER_H
#define PPS_TRANSPORT_TRAILER_H

#include <stddef.h>

/** State of a trailer after more of its bytes. */
typedef enum {
    PPS_TRAILER_MORE,      /**< it goes on */
    PPS_TRAILER_WHOLE,     /**< its empty line was read */
    PPS_TRAILER_MALFORMED, /**< this is no trailer */
} pps_trailer_state_t;

/** Where the next byte of a trailer belongs. */
typedef enum {
    PPS_TRAILER_AT_LINE_START,
    PPS_TRAILER_IN_NAME,
    PPS_TRAILER_IN_VALUE,
    PPS_TRAILER_BEHIND_CR,      /**< at the end of a field line */
    PPS_TRAILER_BEHIND_LAST_CR, /**< in the empty line */
} pps_trailer_position_t;

/** A trailer that is being read. Zero-initialize it. */
typedef struct {
    pps_trailer_position_t position;
    size_t field_bytes; /**< bytes of the field lines that were skipped */
} pps_trailer_t;

/** Skips bytes up to the end of the trailer.
 * @param used set to the number of bytes that belong to the trailer */
pps_trailer_state_t
pps_trailer_skip(pps_trailer_t *trailer, const char *data, size_t size,
                 size_t *used);

#endif
