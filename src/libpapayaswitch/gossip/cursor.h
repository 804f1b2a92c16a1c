/**
 * @file cursor.h
 * @brief Reads the members of a msgpack array one after the other. One member
 * of a wrong type, or one that is missing, fails the whole.
 */
#ifndef PPS_GOSSIP_CURSOR_H
#define PPS_GOSSIP_CURSOR_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

/** The members that are left. */
typedef struct {
    const msgpack_object *at;
    uint32_t left;
    int failed;
} pps_cursor_t;

/** The next member, or NULL when none is left. */
const msgpack_object *
pps_cursor_next(pps_cursor_t *cursor);

/** The members of the next member, an array. */
pps_cursor_t
pps_cursor_array(pps_cursor_t *cursor);

/** The next member, an integer, or 0. */
int64_t
pps_cursor_number(pps_cursor_t *cursor);

/** Copies the next member, a text shorter than `size`. */
void
pps_cursor_text(char *out, size_t size, pps_cursor_t *cursor);

#endif
