/**
 * @file pack.h
 * @brief Packs fields and reads msgpack arrays for encoders of records.
 *
 * After the first field with an unexpected type or size, every read with the
 * cursor returns an empty value. pps_pack_finish() reports the failure.
 */
#ifndef PPS_COMMIT_PACK_H
#define PPS_COMMIT_PACK_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

/** The unread elements of an array. */
typedef struct {
    const msgpack_object *next;
    size_t unread_count;
    int failed;
} pps_pack_cursor_t;

/** Packs a null-terminated string. */
void
pps_pack_text(msgpack_packer *packer, const char *text);

/** Packs `size` bytes. */
void
pps_pack_bytes(msgpack_packer *packer, const void *data, size_t size);

/** Starts to read the array `object`; any other type is a failure. */
void
pps_pack_open(pps_pack_cursor_t *cursor, const msgpack_object *object);

/** Reads a string; a null byte in it or a too small `out` is a failure. */
void
pps_pack_read_text(pps_pack_cursor_t *cursor, char *out, size_t capacity);

/** Reads bytes, which the decoded message owns. */
void
pps_pack_read_bytes(pps_pack_cursor_t *cursor, const void **out, size_t *size);

/** Reads exactly `size` bytes; another size is a failure and zeroes `out`. */
void
pps_pack_read_exact(pps_pack_cursor_t *cursor, void *out, size_t size);

/** Reads an unsigned integer. */
uint64_t
pps_pack_read_u64(pps_pack_cursor_t *cursor);

/** Reads a signed integer; a value above INT64_MAX is a failure. */
int64_t
pps_pack_read_i64(pps_pack_cursor_t *cursor);

/** Starts to read the next element, an array, with the cursor `out`. */
void
pps_pack_read_array(pps_pack_cursor_t *cursor, pps_pack_cursor_t *out);

/** Returns 0, or PPS_ECORRUPT if a read failed or an element is unread. */
int
pps_pack_finish(const pps_pack_cursor_t *cursor);

#endif
