/** @file heartbeat.c @brief Encodes and decodes pings and pongs. */
#include "peer/heartbeat.h"

#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <string.h>

#define FIELDS_MAX 7
#define PONG_FIELDS 7
#define FLAG_SYNCED 1
#define FLAG_LEAVING 2

static int
write_buf(void *user, const char *data, size_t size)
{
    return pps_buf_append(user, data, size);
}

/* Reads `count` integers from an array and ignores further elements. */
static int
read_numbers(int64_t *out, size_t count, const void *data, size_t size)
{
    msgpack_unpacked unpacked;
    int error = pps_msgpack_unpack(&unpacked, data, size);

    if (error != 0 || unpacked.data.type != MSGPACK_OBJECT_ARRAY ||
        unpacked.data.via.array.size < count) {
        error = pps_error_set(PPS_ECORRUPT, "heartbeat: malformed payload");
        goto done;
    }
    for (size_t i = 0; i < count; i++) {
        const msgpack_object *field = &unpacked.data.via.array.ptr[i];

        if (field->type != MSGPACK_OBJECT_POSITIVE_INTEGER &&
            field->type != MSGPACK_OBJECT_NEGATIVE_INTEGER) {
            error =
                pps_error_set(PPS_ECORRUPT, "heartbeat: malformed payload");
            goto done;
        }
        out[i] = field->via.i64;
    }

done:
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

int
pps_ping_encode(pps_buf_t *out, int64_t sent_us)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, write_buf);
    msgpack_pack_array(&packer, 1);
    msgpack_pack_int64(&packer, sent_us);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

int
pps_ping_decode(int64_t *sent_us, const void *data, size_t size)
{
    return read_numbers(sent_us, 1, data, size);
}

int
pps_pong_encode(pps_buf_t *out, int64_t echo_us,
                const pps_host_status_t *status)
{
    msgpack_packer packer;
    int flags = (status->synced ? FLAG_SYNCED : 0) |
                (status->leaving ? FLAG_LEAVING : 0);

    msgpack_packer_init(&packer, out, write_buf);
    msgpack_pack_array(&packer, PONG_FIELDS);
    msgpack_pack_int64(&packer, echo_us);
    msgpack_pack_uint64(&packer, status->incarnation);
    msgpack_pack_uint64(&packer, status->revision);
    msgpack_pack_uint64(&packer, status->next_offset);
    msgpack_pack_int64(&packer, status->evidence_age_us);
    msgpack_pack_int(&packer, flags);
    msgpack_pack_uint32(&packer, status->reachable_count);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

int
pps_pong_decode(int64_t *echo_us, pps_host_status_t *status, const void *data,
                size_t size)
{
    int64_t numbers[FIELDS_MAX];
    int error = read_numbers(numbers, PONG_FIELDS, data, size);

    if (error != 0) {
        return error;
    }
    memset(status, 0, sizeof(*status));
    *echo_us = numbers[0];
    status->incarnation = (uint64_t)numbers[1];
    status->revision = (uint64_t)numbers[2];
    status->next_offset = (uint64_t)numbers[3];
    status->evidence_age_us = numbers[4] < 0 ? PPS_TIME_NONE : numbers[4];
    status->synced = (numbers[5] & FLAG_SYNCED) != 0;
    status->leaving = (numbers[5] & FLAG_LEAVING) != 0;
    status->reachable_count = (uint32_t)numbers[6];
    return PPS_OK;
}
