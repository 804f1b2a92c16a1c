/**
 * @file head_lines.h
 * @brief Checks the bytes of an answer's head by the grammar of HTTP/1.1 (RFC
 * 9112, sections 4 and 5), before they are parsed. Does no I/O.
 *
 * A head that does not follow the grammar comes from a server in trouble, and
 * others may read it differently: it is no answer. As the RFC allows, a line
 * may end with a line feed alone, and empty lines may come before the head.
 */
#ifndef PPS_UTIL_HEAD_LINES_H
#define PPS_UTIL_HEAD_LINES_H

#include "field_lines.h"

/** A head that is being read. Initialize with pps_head_lines_init(). */
typedef struct {
    size_t status_line_bytes; /**< of the status line so far */
    int has_reason;           /**< the next byte belongs to the reason */
    int is_behind_cr;         /**< the status line ends with the next byte */
    int has_status_line;
    pps_field_lines_t fields;
} pps_head_lines_t;

/** Prepares for the head of the next answer. */
void
pps_head_lines_init(pps_head_lines_t *head);

/** Reads bytes up to the end of the head.
 * @param used set to the number of bytes that belong to it */
pps_field_lines_state_t
pps_head_lines_read(pps_head_lines_t *head, const char *data, size_t size,
                    size_t *used);

/** Returns the number of bytes of the head so far. */
size_t
pps_head_lines_bytes(const pps_head_lines_t *head);

#endif
