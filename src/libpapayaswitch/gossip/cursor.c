/** @file cursor.c @brief Reads msgpack array elements with type checks. */
#include "cursor.h"

#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <string.h>

int
pps_cursor_open_datagram(msgpack_unpacked *unpacked, pps_cursor_t *fields,
                         int version, const char *data, size_t size)
{
    pps_cursor_t root;

    if (pps_msgpack_unpack(unpacked, data, size) != 0) {
        return PPS_ECORRUPT;
    }
    root = (pps_cursor_t){&unpacked->data, 1, 0};
    *fields = pps_cursor_read_array(&root);
    return pps_cursor_read_integer(fields) == version ? PPS_OK : PPS_ECORRUPT;
}

const msgpack_object *
pps_cursor_read(pps_cursor_t *cursor)
{
    if (cursor->unread_count == 0) {
        cursor->failed = 1;
        return NULL;
    }
    cursor->unread_count--;
    return cursor->next++;
}

pps_cursor_t
pps_cursor_read_array(pps_cursor_t *cursor)
{
    const msgpack_object *object = pps_cursor_read(cursor);
    pps_cursor_t inner = {0};

    if (object == NULL || object->type != MSGPACK_OBJECT_ARRAY) {
        cursor->failed = 1;
        return inner;
    }
    inner.next = object->via.array.ptr;
    inner.unread_count = object->via.array.size;
    return inner;
}

int64_t
pps_cursor_read_integer(pps_cursor_t *cursor)
{
    const msgpack_object *object = pps_cursor_read(cursor);

    if (object != NULL && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return (int64_t)object->via.u64;
    }
    if (object != NULL && object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        return object->via.i64;
    }
    cursor->failed = 1;
    return 0;
}

void
pps_cursor_read_string(char *out, size_t size, pps_cursor_t *cursor)
{
    const msgpack_object *object = pps_cursor_read(cursor);

    if (object == NULL || object->type != MSGPACK_OBJECT_STR ||
        object->via.str.size >= size) {
        cursor->failed = 1;
        return;
    }
    /* An empty string of a decoded datagram has no address. */
    if (object->via.str.size > 0) {
        memcpy(out, object->via.str.ptr, object->via.str.size);
    }
    out[object->via.str.size] = '\0';
}
