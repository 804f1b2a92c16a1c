/** @file record.c @brief Encodes and decodes the envelope of records. */
#include "papayaswitch/record.h"

#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <msgpack.h>
#include <xxhash.h>

#define FORMAT_NUMBER 1
#define ENVELOPE_FIELDS 4

int
pps_record_encode(void **out, size_t *out_size, pps_record_kind_t kind,
                  const void *payload, size_t size)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;

    if (size > PPS_RECORD_PAYLOAD_MAX) {
        return pps_error_set(
            PPS_ELIMIT, "record payload of %zu bytes exceeds the limit", size);
    }
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    if (msgpack_pack_array(&packer, ENVELOPE_FIELDS) != 0 ||
        msgpack_pack_int(&packer, FORMAT_NUMBER) != 0 ||
        msgpack_pack_int(&packer, (int)kind) != 0 ||
        msgpack_pack_bin_with_body(&packer, payload, size) != 0 ||
        msgpack_pack_uint64(&packer,
                            XXH64(payload, size, (XXH64_hash_t)kind)) != 0) {
        msgpack_sbuffer_destroy(&buffer);
        return pps_error_set(PPS_ENOMEM, "record: out of memory");
    }
    *out_size = buffer.size;
    *out = msgpack_sbuffer_release(&buffer);
    return PPS_OK;
}

static int
read_envelope(pps_record_t *out, const msgpack_object *object)
{
    const msgpack_object *field;

    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size != ENVELOPE_FIELDS) {
        return PPS_ECORRUPT;
    }
    field = object->via.array.ptr;
    if (field[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        field[0].via.u64 != FORMAT_NUMBER ||
        field[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        field[1].via.u64 > INT32_MAX || field[2].type != MSGPACK_OBJECT_BIN ||
        field[3].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return PPS_ECORRUPT;
    }
    out->kind = (pps_record_kind_t)field[1].via.u64;
    out->payload = field[2].via.bin.ptr;
    out->size = field[2].via.bin.size;
    if (XXH64(out->payload, out->size, field[1].via.u64) != field[3].via.u64) {
        return PPS_ECORRUPT;
    }
    return PPS_OK;
}

int
pps_record_decode(pps_record_t *out, const void *data, size_t size)
{
    msgpack_unpacked unpacked;
    int error = PPS_ECORRUPT;

    if (pps_msgpack_unpack(&unpacked, data, size) == PPS_OK) {
        error = read_envelope(out, &unpacked.data);
    }
    msgpack_unpacked_destroy(&unpacked);
    if (error < 0) {
        return pps_error_set(error, "record of %zu bytes does not decode",
                             size);
    }
    return PPS_OK;
}
