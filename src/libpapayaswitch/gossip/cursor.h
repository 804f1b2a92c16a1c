/**
 * @file cursor.h
 * @brief Reads the elements of a msgpack array in order, for decoders.
 *
 * A missing element or one of the wrong type sets `failed`. No call
 * clears it, so that a decoder can check each cursor once at the end.
 */
#ifndef PPS_GOSSIP_CURSOR_H
#define PPS_GOSSIP_CURSOR_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

/** The unread elements of an array. */
typedef struct {
    const msgpack_object *next;
    uint32_t unread_count;
    int failed;
} pps_cursor_t;

/** Unpacks a datagram and opens its elements behind the first, which states
 * its kind. @param unpacked destroyed by the caller, also after an error
 * @return 0, or PPS_ECORRUPT if it is of another kind */
int
pps_cursor_open_datagram(msgpack_unpacked *unpacked, pps_cursor_t *fields,
                         int version, const char *data, size_t size);

/** Reads the next element. @return NULL if there is none */
const msgpack_object *
pps_cursor_read(pps_cursor_t *cursor);

/** Reads the next element, an array. @return an empty cursor on failure */
pps_cursor_t
pps_cursor_read_array(pps_cursor_t *cursor);

/** Reads the next element, an integer modulo 2^64. @return 0 on failure */
int64_t
pps_cursor_read_integer(pps_cursor_t *cursor);

/** Copies the next element, a string shorter than `size`, unless it fails. */
void
pps_cursor_read_string(char *out, size_t size, pps_cursor_t *cursor);

#endif
