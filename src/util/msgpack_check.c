/** @file msgpack_check.c @brief Checks msgpack headers without allocating. */
#include "msgpack_check.h"

#include "papayaswitch/errors.h"

#include <stdint.h>

/* Layout after a tag: a length field, payload bytes and nested objects. */
typedef struct {
    unsigned int length_bytes;
    uint64_t bytes;          /**< fixed size, added to a length in bytes */
    unsigned int per_length; /**< nested objects per unit of the length */
    uint64_t objects;        /**< fixed number of nested objects */
    int length_is_bytes;
} layout_t;

static layout_t
layout_of_fixed_tag(unsigned char tag)
{
    if ((tag & 0xf0) == 0x80) {
        return (layout_t){.objects = 2 * (uint64_t)(tag & 0x0f)};
    }
    if ((tag & 0xf0) == 0x90) {
        return (layout_t){.objects = tag & 0x0f};
    }
    if ((tag & 0xe0) == 0xa0) {
        return (layout_t){.bytes = tag & 0x1f};
    }
    return (layout_t){0};
}

/* Layouts of the tags 0xc0 to 0xdf, indexed by their low five bits. */
static const layout_t tag_layouts[32] = {
    [0x04] = {.length_bytes = 1, .length_is_bytes = 1},             /* bin */
    [0x05] = {.length_bytes = 2, .length_is_bytes = 1},             /* bin */
    [0x06] = {.length_bytes = 4, .length_is_bytes = 1},             /* bin */
    [0x07] = {.length_bytes = 1, .length_is_bytes = 1, .bytes = 1}, /* ext */
    [0x08] = {.length_bytes = 2, .length_is_bytes = 1, .bytes = 1}, /* ext */
    [0x09] = {.length_bytes = 4, .length_is_bytes = 1, .bytes = 1}, /* ext */
    [0x0a] = {.bytes = 4},                                          /* float */
    [0x0b] = {.bytes = 8},                                          /* float */
    [0x0c] = {.bytes = 1},                                          /* uint */
    [0x0d] = {.bytes = 2},                                          /* uint */
    [0x0e] = {.bytes = 4},                                          /* uint */
    [0x0f] = {.bytes = 8},                                          /* uint */
    [0x10] = {.bytes = 1},                                          /* int */
    [0x11] = {.bytes = 2},                                          /* int */
    [0x12] = {.bytes = 4},                                          /* int */
    [0x13] = {.bytes = 8},                                          /* int */
    [0x14] = {.bytes = 2},                              /* fixext 1 */
    [0x15] = {.bytes = 3},                              /* fixext 2 */
    [0x16] = {.bytes = 5},                              /* fixext 4 */
    [0x17] = {.bytes = 9},                              /* fixext 8 */
    [0x18] = {.bytes = 17},                             /* fixext 16 */
    [0x19] = {.length_bytes = 1, .length_is_bytes = 1}, /* str */
    [0x1a] = {.length_bytes = 2, .length_is_bytes = 1}, /* str */
    [0x1b] = {.length_bytes = 4, .length_is_bytes = 1}, /* str */
    [0x1c] = {.length_bytes = 2, .per_length = 1},      /* array */
    [0x1d] = {.length_bytes = 4, .per_length = 1},      /* array */
    [0x1e] = {.length_bytes = 2, .per_length = 2},      /* map */
    [0x1f] = {.length_bytes = 4, .per_length = 2},      /* map */
};

static layout_t
layout_of(unsigned char tag)
{
    if (tag >= 0xc0 && tag <= 0xdf) {
        return tag_layouts[tag - 0xc0];
    }
    return layout_of_fixed_tag(tag);
}

int
pps_msgpack_check(const void *data, size_t size)
{
    const unsigned char *at = data;
    const unsigned char *end = at + size;
    uint64_t pending = 1;

    while (pending > 0) {
        uint64_t length = 0;
        layout_t layout;

        /* Every pending object needs at least one byte. */
        if (pending > (uint64_t)(end - at)) {
            return PPS_ECORRUPT;
        }
        layout = layout_of(*at++);
        if (layout.length_bytes > (size_t)(end - at)) {
            return PPS_ECORRUPT;
        }
        for (unsigned int i = 0; i < layout.length_bytes; i++) {
            length = (length << 8) | *at++;
        }
        layout.bytes += layout.length_is_bytes ? length : 0;
        if (layout.bytes > (uint64_t)(end - at)) {
            return PPS_ECORRUPT;
        }
        at += layout.bytes;
        pending += layout.objects + layout.per_length * length - 1;
    }
    return at == end ? PPS_OK : PPS_ECORRUPT;
}

int
pps_msgpack_unpack(msgpack_unpacked *out, const void *data, size_t size)
{
    size_t consumed = 0;

    msgpack_unpacked_init(out);
    if (pps_msgpack_check(data, size) < 0 ||
        msgpack_unpack_next(out, data, size, &consumed) !=
            MSGPACK_UNPACK_SUCCESS ||
        consumed != size) {
        return PPS_ECORRUPT;
    }
    return PPS_OK;
}
