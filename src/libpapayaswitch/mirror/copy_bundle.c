/** @file copy_bundle.c @brief Encodes copies of several topics. */
#include "copy_bundle.h"

#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <msgpack.h>
#include <string.h>

static int
append(void *user, const char *data, size_t size)
{
    return pps_buf_append(user, data, size);
}

int
pps_copy_bundle_begin(pps_buf_t *out, size_t count)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, append);
    msgpack_pack_array(&packer, count);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

int
pps_copy_bundle_add(pps_buf_t *out, const char *topic, const pps_buf_t *packed)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, append);
    msgpack_pack_array(&packer, 2);
    msgpack_pack_bin_with_body(&packer, topic, strlen(topic));
    msgpack_pack_bin_with_body(&packer, packed->data, packed->size);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

static int
is_copy(const msgpack_object *object)
{
    const msgpack_object *fields = object->via.array.ptr;

    return object->type == MSGPACK_OBJECT_ARRAY &&
           object->via.array.size == 2 &&
           fields[0].type == MSGPACK_OBJECT_BIN &&
           fields[1].type == MSGPACK_OBJECT_BIN;
}

static int
is_bundle(const msgpack_object *object)
{
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return 0;
    }
    for (uint32_t i = 0; i < object->via.array.size; i++) {
        if (!is_copy(&object->via.array.ptr[i])) {
            return 0;
        }
    }
    return 1;
}

static void
visit_copies(const msgpack_object_array *copies, pps_copy_bundle_fn visit,
             void *user)
{
    for (uint32_t i = 0; i < copies->size; i++) {
        const msgpack_object *fields = copies->ptr[i].via.array.ptr;

        visit(user, fields[0].via.bin.ptr, fields[0].via.bin.size,
              fields[1].via.bin.ptr, fields[1].via.bin.size);
    }
}

int
pps_copy_bundle_read(const char *data, size_t size, pps_copy_bundle_fn visit,
                     void *user)
{
    msgpack_unpacked unpacked;
    int error = PPS_ECORRUPT;

    if (pps_msgpack_unpack(&unpacked, data, size) == 0 &&
        is_bundle(&unpacked.data)) {
        visit_copies(&unpacked.data.via.array, visit, user);
        error = PPS_OK;
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}
