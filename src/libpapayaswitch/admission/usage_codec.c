/** @file usage_codec.c @brief Encodes usage for peer links as msgpack. */
#include "papayaswitch/admission.h"
#include "papayaswitch/errors.h"

#include <math.h>
#include <msgpack.h>
#include <string.h>

/** Ranges of the first byte of msgpack arrays and maps. */
#define FIXMAP_FIRST 0x80
#define FIXARRAY_LAST 0x9f
#define ARRAY16 0xdc
#define MAP32 0xdf

int
pps_usage_encode(void **out, size_t *size, const pps_usage_t *usage,
                 size_t count)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    int failed = 0;

    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    for (size_t i = 0; i < count; i++) {
        const char *name = usage[i].workspace;

        failed |= msgpack_pack_str_with_body(&packer, name, strlen(name));
        failed |= msgpack_pack_double(&packer, usage[i].in_flight);
        failed |= msgpack_pack_double(&packer, usage[i].demand);
    }
    *size = buffer.size;
    *out = msgpack_sbuffer_release(&buffer);
    return failed ? pps_error_set(PPS_ENOMEM, "usage: out of memory") : PPS_OK;
}

/**
 * Reads the next scalar. Refuses containers before decoding them, because a
 * header can demand an arbitrarily large allocation.
 */
static int
read_scalar(msgpack_unpacked *unpacked, const unsigned char *data, size_t size,
            size_t *offset)
{
    unsigned char first = *offset < size ? data[*offset] : ARRAY16;

    if ((first >= FIXMAP_FIRST && first <= FIXARRAY_LAST) ||
        (first >= ARRAY16 && first <= MAP32) ||
        msgpack_unpack_next(unpacked, (const char *)data, size, offset) !=
            MSGPACK_UNPACK_SUCCESS) {
        return PPS_ECORRUPT;
    }
    return PPS_OK;
}

static int
read_amount(msgpack_unpacked *unpacked, const unsigned char *data, size_t size,
            size_t *offset, double *out)
{
    if (read_scalar(unpacked, data, size, offset) < 0 ||
        unpacked->data.type != MSGPACK_OBJECT_FLOAT64 ||
        !isfinite(unpacked->data.via.f64) || unpacked->data.via.f64 < 0) {
        return PPS_ECORRUPT;
    }
    *out = unpacked->data.via.f64;
    return PPS_OK;
}

static int
read_usage(msgpack_unpacked *unpacked, const unsigned char *data, size_t size,
           size_t *offset, pps_usage_t *out)
{
    const msgpack_object_str *name = &unpacked->data.via.str;

    memset(out, 0, sizeof(*out));
    if (read_scalar(unpacked, data, size, offset) < 0 ||
        unpacked->data.type != MSGPACK_OBJECT_STR || name->size == 0 ||
        name->size > PPS_NAME_MAX ||
        memchr(name->ptr, '\0', name->size) != NULL) {
        return PPS_ECORRUPT;
    }
    memcpy(out->workspace, name->ptr, name->size);
    if (read_amount(unpacked, data, size, offset, &out->in_flight) < 0) {
        return PPS_ECORRUPT;
    }
    return read_amount(unpacked, data, size, offset, &out->demand);
}

int
pps_usage_decode(pps_usage_t *out, size_t *count, size_t capacity,
                 const void *data, size_t size)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;
    int error = PPS_OK;

    *count = 0;
    msgpack_unpacked_init(&unpacked);
    while (offset < size && error == PPS_OK) {
        error = *count < capacity
                    ? read_usage(&unpacked, data, size, &offset, &out[*count])
                    : PPS_ECORRUPT;
        *count += error == PPS_OK;
    }
    msgpack_unpacked_destroy(&unpacked);
    if (error < 0) {
        *count = 0;
        return pps_error_set(error, "malformed usage of %zu bytes", size);
    }
    return PPS_OK;
}
