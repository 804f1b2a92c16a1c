/**
 * @file head_lines.h
 * @brief Checks the bytes of a head by the grammar of HTTP/1.1 (RFC 9112,
 * sections 4 and 5), before they are parsed. Does no I/O.
 *
 * A head that does not follow the grammar is no message, as others may read it
 * differently. As the RFC allows, a line may end with a line feed alone, and
 * empty lines may come before the head.
 */
#ifndef PPS_UTIL_HEAD_LINES_H
#define PPS_UTIL_HEAD_LINES_H

#include "field_lines.h"

/** What a head is of. */
typedef enum {
    PPS_HEAD_OF_ANSWER,
    PPS_HEAD_OF_REQUEST, /**< the request line is left to the parser, except
                              for control bytes */
} pps_head_kind_t;

/** A head that is being read. Initialize with pps_head_lines_init(). */
typedef struct {
    pps_head_kind_t kind;
    size_t first_line_bytes; /**< of the first line so far */
    int has_reason;          /**< the next byte belongs to the reason */
    int is_behind_cr;        /**< the first line ends with the next byte */
    int has_first_line;
    pps_field_lines_t fields;
} pps_head_lines_t;

/** Prepares for the head of the next message. */
void
pps_head_lines_init(pps_head_lines_t *head, pps_head_kind_t kind);

/** Reads bytes up to the end of the head.
 * @param used set to the number of bytes that belong to it */
pps_field_lines_state_t
pps_head_lines_read(pps_head_lines_t *head, const char *data, size_t size,
                    size_t *used);

/** Returns the number of bytes of the head so far. */
size_t
pps_head_lines_bytes(const pps_head_lines_t *head);

#endif
