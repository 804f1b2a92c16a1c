/** @file msgpack_guard.c @brief Bounds of msgpack headers. */
#include "peer/msgpack_guard.h"

#include "papayaswitch/errors.h"

#include <stdint.h>

/** What a header says: bytes of its own and of its value, objects inside. */
typedef struct {
    unsigned char first; /**< lowest type byte of this form */
    unsigned char length_bytes;
    unsigned char fixed_bytes; /**< value bytes that do not depend on it */
    unsigned char per_length;  /**< value bytes for each unit of the length */
    unsigned char children;    /**< objects for each unit of the length */
} form_t;

/* By type byte from 0xc0 on; a form holds until the next one begins. */
static const form_t forms[] = {
    {0xc0, 0, 0, 0, 0},  {0xc4, 1, 0, 1, 0}, {0xc5, 2, 0, 1, 0},
    {0xc6, 4, 0, 1, 0},  {0xc7, 1, 1, 1, 0}, {0xc8, 2, 1, 1, 0},
    {0xc9, 4, 1, 1, 0},  {0xca, 0, 4, 0, 0}, {0xcb, 0, 8, 0, 0},
    {0xcc, 0, 1, 0, 0},  {0xcd, 0, 2, 0, 0}, {0xce, 0, 4, 0, 0},
    {0xcf, 0, 8, 0, 0},  {0xd0, 0, 1, 0, 0}, {0xd1, 0, 2, 0, 0},
    {0xd2, 0, 4, 0, 0},  {0xd3, 0, 8, 0, 0}, {0xd4, 0, 2, 0, 0},
    {0xd5, 0, 3, 0, 0},  {0xd6, 0, 5, 0, 0}, {0xd7, 0, 9, 0, 0},
    {0xd8, 0, 17, 0, 0}, {0xd9, 1, 0, 1, 0}, {0xda, 2, 0, 1, 0},
    {0xdb, 4, 0, 1, 0},  {0xdc, 2, 0, 0, 1}, {0xdd, 4, 0, 0, 1},
    {0xde, 2, 0, 0, 2},  {0xdf, 4, 0, 0, 2}, {0xe0, 0, 0, 0, 0},
};

#define FORM_COUNT (sizeof(forms) / sizeof(forms[0]))

static const form_t *
find_form(unsigned char type)
{
    size_t i = FORM_COUNT - 1;

    while (forms[i].first > type) {
        i--;
    }
    return &forms[i];
}

/* Types below 0xc0 carry their length in the type byte. */
static void
read_fixed(unsigned char type, uint64_t *bytes, uint64_t *children)
{
    if (type >= 0xa0) {
        *bytes = type & 0x1f;
    }
    else if (type >= 0x90) {
        *children = type & 0x0f;
    }
    else if (type >= 0x80) {
        *children = 2 * (uint64_t)(type & 0x0f);
    }
}

int
pps_msgpack_check(const void *data, size_t size)
{
    const unsigned char *at = data;
    uint64_t left = size;
    uint64_t objects = 1;

    while (objects > 0 && left > 0) {
        unsigned char type = *at;
        uint64_t bytes = 0;
        uint64_t children = 0;
        uint64_t length = 0;

        at++;
        left--;
        if (type < 0xc0) {
            read_fixed(type, &bytes, &children);
        }
        else {
            const form_t *form = find_form(type);

            if (form->length_bytes > left) {
                return PPS_ECORRUPT;
            }
            for (int i = 0; i < form->length_bytes; i++) {
                length = length << 8 | *at++;
            }
            left -= form->length_bytes;
            bytes = form->fixed_bytes + form->per_length * length;
            children = form->children * length;
        }
        objects += children - 1;
        if (bytes > left || objects > left - bytes) {
            return PPS_ECORRUPT;
        }
        at += bytes;
        left -= bytes;
    }
    return objects == 0 && left == 0 ? PPS_OK : PPS_ECORRUPT;
}

int
pps_msgpack_unpack(msgpack_unpacked *out, const void *data, size_t size)
{
    size_t offset = 0;

    msgpack_unpacked_init(out);
    if (pps_msgpack_check(data, size) != 0 ||
        msgpack_unpack_next(out, data, size, &offset) !=
            MSGPACK_UNPACK_SUCCESS ||
        offset != size) {
        return PPS_ECORRUPT;
    }
    return PPS_OK;
}
