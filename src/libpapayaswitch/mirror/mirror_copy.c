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
/** Elements of encoded changes: as above, then the offset that they begin at
 * and the deletions. */
#define CHANGES_FIELDS 6

static int
append(void *user, const char *data, size_t size)
{
    return pps_buf_append(user, data, size);
}

static void
pack_entry(msgpack_packer *packer, const pps_mirror_entry_t *entry)
{
    msgpack_pack_array(packer, 3);
    msgpack_pack_int64(packer, entry->offset);
    msgpack_pack_bin_with_body(packer, entry->key, strlen(entry->key));
    msgpack_pack_bin_with_body(packer, entry->value, entry->size);
}

int
pps_mirror_encode(const pps_mirror_t *mirror, pps_buf_t *out)
{
    msgpack_packer packer;
    const pps_mirror_entry_t *entry;

    msgpack_packer_init(&packer, out, append);
    msgpack_pack_array(&packer, COPY_FIELDS);
    msgpack_pack_int64(&packer, mirror->end);
    msgpack_pack_int64(&packer, pps_mirror_required_end(mirror));
    msgpack_pack_array(&packer, pps_table_count(&mirror->table));
    cds_list_for_each_entry (entry, &mirror->entries, node) {
        pack_entry(&packer, entry);
    }
    msgpack_pack_int64(&packer, mirror->epoch);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

static size_t
count_entries_from(const pps_mirror_t *mirror, int64_t from)
{
    const pps_mirror_entry_t *entry;
    size_t count = 0;

    cds_list_for_each_entry (entry, &mirror->entries, node) {
        count += entry->offset >= from;
    }
    return count;
}

static int
is_deletion_from(const pps_mirror_deletion_t *deletion, int64_t from)
{
    return deletion->key != NULL && deletion->offset >= from;
}

static void
pack_deletions(msgpack_packer *packer, const pps_mirror_deletions_t *deletions,
               int64_t from)
{
    size_t count = 0;

    for (unsigned int i = 0; i < PPS_MIRROR_DELETIONS; i++) {
        count += is_deletion_from(&deletions->items[i], from) != 0;
    }
    msgpack_pack_array(packer, count);
    for (unsigned int i = 0; i < PPS_MIRROR_DELETIONS; i++) {
        const pps_mirror_deletion_t *deletion = &deletions->items[i];

        if (is_deletion_from(deletion, from)) {
            msgpack_pack_array(packer, 2);
            msgpack_pack_int64(packer, deletion->offset);
            msgpack_pack_bin_with_body(packer, deletion->key,
                                       strlen(deletion->key));
        }
    }
}

/* Returns whether all entries are of the mirror's epoch: a listing of a higher
 * one may be in progress. */
static int
is_of_one_epoch(const pps_mirror_t *mirror)
{
    const pps_mirror_entry_t *entry;

    cds_list_for_each_entry (entry, &mirror->entries, node) {
        if (entry->epoch != mirror->epoch) {
            return 0;
        }
    }
    return 1;
}

int
pps_mirror_encode_changes(const pps_mirror_t *mirror, int64_t epoch,
                          int64_t from, pps_buf_t *out)
{
    msgpack_packer packer;
    const pps_mirror_entry_t *entry;

    if (mirror->relevant_end < 0 || epoch != mirror->epoch || from < 0 ||
        from < mirror->deletions.known_from || from > mirror->end ||
        !is_of_one_epoch(mirror)) {
        return PPS_ENOTFOUND;
    }
    msgpack_packer_init(&packer, out, append);
    msgpack_pack_array(&packer, CHANGES_FIELDS);
    msgpack_pack_int64(&packer, mirror->end);
    msgpack_pack_int64(&packer, pps_mirror_required_end(mirror));
    msgpack_pack_array(&packer, count_entries_from(mirror, from));
    cds_list_for_each_entry (entry, &mirror->entries, node) {
        if (entry->offset >= from) {
            pack_entry(&packer, entry);
        }
    }
    msgpack_pack_int64(&packer, mirror->epoch);
    msgpack_pack_int64(&packer, from);
    pack_deletions(&packer, &mirror->deletions, from);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

int
pps_mirror_is_full_copy(const char *data, size_t size)
{
    unsigned char head = size > 0 ? (unsigned char)data[0] : 0;

    /* The first byte of a msgpack array of less than 16 elements. */
    return head >= 0x90 + COPY_FIELDS_MIN && head < 0x90 + CHANGES_FIELDS;
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

/* @param listing NULL: the entries are changes, not a full copy */
static int
import_entries(pps_mirror_t *mirror, const msgpack_object_array *entries,
               int64_t epoch, const pps_mirror_listing_t *listing)
{
    int error = PPS_OK;

    for (uint32_t i = 0; error == 0 && i < entries->size; i++) {
        const msgpack_object *fields = entries->ptr[i].via.array.ptr;
        const pps_mirror_item_t item = {
            .epoch = epoch,
            .offset = (int64_t)fields[0].via.u64,
            .key = fields[1].via.bin.ptr,
            .key_size = fields[1].via.bin.size,
            .value = fields[2].via.bin.ptr,
            .size = fields[2].via.bin.size,
        };
        pps_mirror_effect_t effect;

        error = pps_mirror_set_value(&effect, mirror, &item, listing);
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

/* Ends the import of a full copy of this epoch or a higher one. The sender's
 * relevant end holds, whatever the copy has changed here. */
static void
finish_import(pps_mirror_t *mirror, const pps_mirror_listing_t *listing,
              int64_t relevant_end)
{
    int64_t before =
        listing->epoch == mirror->epoch ? mirror->relevant_end : -1;

    pps_mirror_finish_listing(mirror, listing);
    mirror->relevant_end = before;
    pps_mirror_raise_relevant_end(mirror, relevant_end);
}

static int
import_copy(pps_mirror_t *mirror, const msgpack_object_array *copy)
{
    int64_t end = (int64_t)copy->ptr[0].via.u64;
    int64_t relevant_end = (int64_t)copy->ptr[1].via.u64;
    int64_t epoch = copy_epoch(copy);
    pps_mirror_listing_t listing;
    int error;

    if (epoch < mirror->epoch ||
        (epoch == mirror->epoch && relevant_end <= mirror->end)) {
        return PPS_OK;
    }
    listing =
        pps_mirror_start_listing(mirror, PPS_MIRROR_IMPORTED, epoch, end);
    error = import_entries(mirror, &copy->ptr[2].via.array, epoch, &listing);
    if (error == 0) {
        finish_import(mirror, &listing, relevant_end);
    }
    return error;
}

static int
are_deletions(const msgpack_object *object)
{
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return 0;
    }
    for (uint32_t i = 0; i < object->via.array.size; i++) {
        const msgpack_object *item = &object->via.array.ptr[i];
        const msgpack_object *fields = item->via.array.ptr;

        if (item->type != MSGPACK_OBJECT_ARRAY || item->via.array.size != 2 ||
            fields[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
            fields[1].type != MSGPACK_OBJECT_BIN) {
            return 0;
        }
    }
    return 1;
}

/* Checks the elements that full copies lack. */
static int
are_changes(const msgpack_object_array *copy)
{
    return copy->ptr[4].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
           are_deletions(&copy->ptr[5]);
}

static int
apply_deletions(pps_mirror_t *mirror, const msgpack_object_array *deletions)
{
    int error = PPS_OK;

    for (uint32_t i = 0; error == 0 && i < deletions->size; i++) {
        const msgpack_object *fields = deletions->ptr[i].via.array.ptr;

        error = pps_mirror_delete_key(mirror, (int64_t)fields[0].via.u64,
                                      fields[1].via.bin.ptr,
                                      fields[1].via.bin.size);
    }
    return error;
}

static int
import_changes(pps_mirror_t *mirror, const msgpack_object_array *copy)
{
    int64_t relevant_end = (int64_t)copy->ptr[1].via.u64;
    int error;

    if (copy_epoch(copy) != mirror->epoch ||
        mirror->end < (int64_t)copy->ptr[4].via.u64) {
        return PPS_ECONFLICT;
    }
    if (relevant_end <= mirror->end) {
        return PPS_OK;
    }
    error =
        import_entries(mirror, &copy->ptr[2].via.array, mirror->epoch, NULL);
    if (error == 0) {
        error = apply_deletions(mirror, &copy->ptr[5].via.array);
    }
    if (error == 0) {
        pps_mirror_advance(mirror, (int64_t)copy->ptr[0].via.u64);
        pps_mirror_raise_relevant_end(mirror, relevant_end);
    }
    return error;
}

static int
import_any(pps_mirror_t *mirror, const msgpack_object_array *copy)
{
    if (copy->size < CHANGES_FIELDS) {
        return import_copy(mirror, copy);
    }
    return are_changes(copy) ? import_changes(mirror, copy) : PPS_ECORRUPT;
}

int
pps_mirror_import(pps_mirror_t *mirror, const char *data, size_t size)
{
    msgpack_unpacked unpacked;
    int error = PPS_ECORRUPT;

    if (pps_msgpack_unpack(&unpacked, data, size) == 0 &&
        is_copy(&unpacked.data)) {
        error = import_any(mirror, &unpacked.data.via.array);
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}
