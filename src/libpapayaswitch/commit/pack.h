/**
 * @file pack.h
 * @brief Reads flat msgpack arrays field by field.
 *
 * The first field that does not fit makes all later reads empty; the caller
 * asks once at the end.
 */
#ifndef PPS_COMMIT_PACK_H
#define PPS_COMMIT_PACK_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

/** A cursor over the elements of an array. */
typedef struct {
    const msgpack_object *next;
    size_t unread_count;
    int failed;
} pps_pack_cursor_t;

/** Writes a zero-ended string. */
void
pps_pack_text(msgpack_packer *packer, const char *text);

/** Writes bytes. */
void
pps_pack_bytes(msgpack_packer *packer, const void *data, size_t size);

/** Opens the array in `object`. */
void
pps_pack_open(pps_pack_cursor_t *cursor, const msgpack_object *object);

/** Reads a string without zero bytes; one that does not fit is a failure. */
void
pps_pack_read_text(pps_pack_cursor_t *cursor, char *out, size_t capacity);

/** Reads bytes; they stay owned by the decoded message. */
void
pps_pack_read_bytes(pps_pack_cursor_t *cursor, const void **out, size_t *size);

/** Reads bytes of exactly `size`. */
void
pps_pack_read_exact(pps_pack_cursor_t *cursor, void *out, size_t size);

/** Reads a whole number that is not negative. */
uint64_t
pps_pack_read_u64(pps_pack_cursor_t *cursor);

/** Reads a signed whole number. */
int64_t
pps_pack_read_i64(pps_pack_cursor_t *cursor);

/** Opens the array that is the next element. */
void
pps_pack_read_array(pps_pack_cursor_t *cursor, pps_pack_cursor_t *out);

/** @return 0 when all was read and fitted, else PPS_ECORRUPT */
int
pps_pack_finish(const pps_pack_cursor_t *cursor);

#endif
