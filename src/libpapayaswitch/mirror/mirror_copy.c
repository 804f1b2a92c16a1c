/** @file mirror_copy.c @brief Encodes copies of topics for other hosts. */
#include "mirror_state.h"

#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <msgpack.h>
#include <string.h>

/** Elements of an encoded copy: end, relevant end, entries, epoch. Copies of
 * builds without epochs lack the last one. */
#define COPY_FIELDS 4
#define COPY_FIELDS_MIN 3

static int
append(void *user, const char *data, size_t size)
{
    return pps_buf_append(user, data, size);
}

int
pps_mirror_encode(const pps_mirror_t *mirror, pps_buf_t *out)
{
    msgpack_packer packer;
    pps_mirror_entry_t *entry;
    pps_mirror_entry_t *next;

    msgpack_packer_init(&packer, out, append);
    msgpack_pack_array(&packer, COPY_FIELDS);
    msgpack_pack_int64(&packer, mirror->end);
    msgpack_pack_int64(&packer, mirror->relevant_end);
    msgpack_pack_array(&packer, pps_table_count(&mirror->table));
    cds_list_for_each_entry_safe (entry, next, &mirror->entries, node) {
        msgpack_pack_array(&packer, 3);
        msgpack_pack_int64(&packer, entry->offset);
        msgpack_pack_bin_with_body(&packer, entry->key, strlen(entry->key));
        msgpack_pack_bin_with_body(&packer, entry->value, entry->size);
    }
    msgpack_pack_int64(&packer, mirror->epoch);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

static int
is_entry(const msgpack_object *object)
{
    const msgpack_object *fields = object->via.array.ptr;

    return object->type == MSGPACK_OBJECT_ARRAY &&
           object->via.array.size == 3 &&
           fields[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
           fields[1].type == MSGPACK_OBJECT_BIN &&
           fields[2].type == MSGPACK_OBJECT_BIN;
}

static int
are_entries(const msgpack_object_array *entries)
{
    for (uint32_t i = 0; i < entries->size; i++) {
        if (!is_entry(&entries->ptr[i])) {
            return 0;
        }
    }
    return 1;
}

static int
import_entries(pps_mirror_t *mirror, int64_t epoch,
               const msgpack_object_array *entries)
{
    int error = PPS_OK;

    for (uint32_t i = 0; error == 0 && i < entries->size; i++) {
        const msgpack_object *fields = entries->ptr[i].via.array.ptr;

        error = pps_mirror_set_value(
            mirror, epoch, (int64_t)fields[0].via.u64, fields[1].via.bin.ptr,
            fields[1].via.bin.size, fields[2].via.bin.ptr,
            fields[2].via.bin.size);
    }
    return error;
}

static int
is_copy(const msgpack_object *object)
{
    const msgpack_object *fields = object->via.array.ptr;

    return object->type == MSGPACK_OBJECT_ARRAY &&
           object->via.array.size >= COPY_FIELDS_MIN &&
           fields[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
           fields[1].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
           fields[2].type == MSGPACK_OBJECT_ARRAY &&
           (object->via.array.size < COPY_FIELDS ||
            fields[3].type == MSGPACK_OBJECT_POSITIVE_INTEGER) &&
           are_entries(&fields[2].via.array);
}

static int64_t
copy_epoch(const msgpack_object_array *copy)
{
    return copy->size < COPY_FIELDS ? 0 : (int64_t)copy->ptr[3].via.u64;
}

static int
import_copy(pps_mirror_t *mirror, const msgpack_object_array *copy)
{
    int64_t relevant_end = (int64_t)copy->ptr[1].via.u64;
    pps_mirror_listing_t listing = {.epoch = copy_epoch(copy),
                                    .relevant_end_before =
                                        mirror->relevant_end};
    int error;

    if (listing.epoch < mirror->epoch ||
        (listing.epoch == mirror->epoch &&
         relevant_end <= mirror->relevant_end)) {
        return PPS_OK;
    }
    listing.number = ++mirror->listing;
    error = import_entries(mirror, listing.epoch, &copy->ptr[2].via.array);
    if (error == 0) {
        pps_mirror_finish_listing(mirror, &listing,
                                  (int64_t)copy->ptr[0].via.u64);
        mirror->relevant_end = relevant_end;
    }
    return error;
}

int
pps_mirror_import(pps_mirror_t *mirror, const char *data, size_t size)
{
    msgpack_unpacked unpacked;
    int error = PPS_ECORRUPT;

    if (pps_msgpack_unpack(&unpacked, data, size) == 0 &&
        is_copy(&unpacked.data)) {
        error = import_copy(mirror, &unpacked.data.via.array);
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}
