/** @file config_checkpoint.c @brief Packs and opens checkpoints. */
#include "fold/config_checkpoint.h"

#include "msgpack_check.h"
#include "papayaswitch/config_fold.h"
#include "papayaswitch/errors.h"

#include <xxhash.h>

#define FORMAT_NUMBER 1
#define CHECKPOINT_FIELDS 4

int
pps_config_checkpoint_pack(void **out, size_t *out_size, uint64_t next_offset,
                           const void *state, size_t size)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;

    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    if (msgpack_pack_array(&packer, CHECKPOINT_FIELDS) != 0 ||
        msgpack_pack_int(&packer, FORMAT_NUMBER) != 0 ||
        msgpack_pack_uint64(&packer, next_offset) != 0 ||
        msgpack_pack_bin_with_body(&packer, state, size) != 0 ||
        msgpack_pack_uint64(&packer, XXH64(state, size, next_offset)) != 0) {
        msgpack_sbuffer_destroy(&buffer);
        return pps_error_set(PPS_ENOMEM, "checkpoint: out of memory");
    }
    *out_size = buffer.size;
    *out = msgpack_sbuffer_release(&buffer);
    return PPS_OK;
}

static int
read_fields(pps_config_checkpoint_t *out, const msgpack_object *data)
{
    const msgpack_object *fields = data->via.array.ptr;

    if (data->type != MSGPACK_OBJECT_ARRAY ||
        data->via.array.size != CHECKPOINT_FIELDS ||
        fields[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        fields[0].via.u64 != FORMAT_NUMBER ||
        fields[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        fields[2].type != MSGPACK_OBJECT_BIN ||
        fields[3].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return PPS_ECORRUPT;
    }
    out->next_offset = fields[1].via.u64;
    out->state = fields[2].via.bin.ptr;
    out->size = fields[2].via.bin.size;
    if (XXH64(out->state, out->size, out->next_offset) != fields[3].via.u64) {
        return PPS_ECORRUPT;
    }
    return PPS_OK;
}

int
pps_config_checkpoint_open(pps_config_checkpoint_t *out, const void *payload,
                           size_t size)
{
    int error = PPS_ECORRUPT;

    if (pps_msgpack_unpack(&out->unpacked, payload, size) == PPS_OK) {
        error = read_fields(out, &out->unpacked.data);
    }
    if (error < 0) {
        msgpack_unpacked_destroy(&out->unpacked);
        return pps_error_set(error, "checkpoint of %zu bytes does not decode",
                             size);
    }
    return PPS_OK;
}

void
pps_config_checkpoint_close(pps_config_checkpoint_t *checkpoint)
{
    msgpack_unpacked_destroy(&checkpoint->unpacked);
}

int
pps_config_checkpoint_next(uint64_t *out, const void *payload, size_t size)
{
    pps_config_checkpoint_t checkpoint;
    int error = pps_config_checkpoint_open(&checkpoint, payload, size);

    if (error < 0) {
        return error;
    }
    *out = checkpoint.next_offset;
    pps_config_checkpoint_close(&checkpoint);
    return PPS_OK;
}
