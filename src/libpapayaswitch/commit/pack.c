/** @file pack.c @brief Packs and reads msgpack arrays. */
#include "pack.h"

#include "papayaswitch/errors.h"

#include <string.h>

void
pps_pack_text(msgpack_packer *packer, const char *text)
{
    msgpack_pack_str_with_body(packer, text, strlen(text));
}

void
pps_pack_bytes(msgpack_packer *packer, const void *data, size_t size)
{
    msgpack_pack_bin_with_body(packer, data, size);
}

void
pps_pack_open(pps_pack_cursor_t *cursor, const msgpack_object *object)
{
    memset(cursor, 0, sizeof(*cursor));
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        cursor->failed = 1;
        return;
    }
    cursor->next = object->via.array.ptr;
    cursor->unread_count = object->via.array.size;
}

static const msgpack_object *
next_of_type(pps_pack_cursor_t *cursor, msgpack_object_type type)
{
    if (cursor->failed || cursor->unread_count == 0 ||
        cursor->next->type != type) {
        cursor->failed = 1;
        return NULL;
    }
    cursor->unread_count--;
    return cursor->next++;
}

void
pps_pack_read_text(pps_pack_cursor_t *cursor, char *out, size_t capacity)
{
    const msgpack_object *object = next_of_type(cursor, MSGPACK_OBJECT_STR);

    out[0] = '\0';
    if (object == NULL || object->via.str.size == 0) {
        return;
    }
    if (object->via.str.size >= capacity ||
        memchr(object->via.str.ptr, '\0', object->via.str.size) != NULL) {
        cursor->failed = 1;
        return;
    }
    memcpy(out, object->via.str.ptr, object->via.str.size);
    out[object->via.str.size] = '\0';
}

void
pps_pack_read_bytes(pps_pack_cursor_t *cursor, const void **out, size_t *size)
{
    const msgpack_object *object = next_of_type(cursor, MSGPACK_OBJECT_BIN);

    /* The decoder yields NULL for empty data, which memcpy() must not get. */
    *out = object && object->via.bin.size > 0 ? object->via.bin.ptr : "";
    *size = object ? object->via.bin.size : 0;
}

void
pps_pack_read_exact(pps_pack_cursor_t *cursor, void *out, size_t size)
{
    const void *data;
    size_t found;

    pps_pack_read_bytes(cursor, &data, &found);
    if (found != size) {
        cursor->failed = 1;
        memset(out, 0, size);
        return;
    }
    memcpy(out, data, size);
}

uint64_t
pps_pack_read_u64(pps_pack_cursor_t *cursor)
{
    const msgpack_object *object =
        next_of_type(cursor, MSGPACK_OBJECT_POSITIVE_INTEGER);

    return object ? object->via.u64 : 0;
}

int64_t
pps_pack_read_i64(pps_pack_cursor_t *cursor)
{
    const msgpack_object *object;

    if (cursor->unread_count > 0 &&
        cursor->next->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        object = next_of_type(cursor, MSGPACK_OBJECT_NEGATIVE_INTEGER);
        return object ? object->via.i64 : 0;
    }
    object = next_of_type(cursor, MSGPACK_OBJECT_POSITIVE_INTEGER);
    if (object != NULL && object->via.u64 > INT64_MAX) {
        cursor->failed = 1;
        return 0;
    }
    return object ? (int64_t)object->via.u64 : 0;
}

void
pps_pack_read_array(pps_pack_cursor_t *cursor, pps_pack_cursor_t *out)
{
    const msgpack_object *object = next_of_type(cursor, MSGPACK_OBJECT_ARRAY);

    if (object == NULL) {
        memset(out, 0, sizeof(*out));
        out->failed = 1;
        return;
    }
    pps_pack_open(out, object);
}

int
pps_pack_finish(const pps_pack_cursor_t *cursor)
{
    return cursor->failed || cursor->unread_count > 0 ? PPS_ECORRUPT : PPS_OK;
}
