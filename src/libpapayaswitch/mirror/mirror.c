/** @file mirror.c @brief Keeps a keyed topic in a hash table. */
#include "mirror.h"

#include "msgpack_check.h"
#include "papayaswitch/errors.h"
#include "table.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

/** Elements of an encoded copy: end, relevant end, entries. */
#define COPY_FIELDS 3

typedef struct {
    struct cds_list_head node;
    pps_table_item_t item;
    char *key;
    char *value;
    size_t size;
    int64_t offset;
    int listed; /* contained in the current listing or set since it began */
} entry_t;

struct pps_mirror {
    struct cds_list_head entries;
    pps_table_t table;
    int64_t end;
    int64_t relevant_end;
    int64_t listing_relevant_end; /* relevant end when the listing began */
    int64_t current_offset;
    pps_mirror_changed_fn on_changed;
    void *user;
};

int
pps_mirror_new(pps_mirror_t **out, pps_mirror_changed_fn on_changed,
               void *user)
{
    pps_mirror_t *mirror = calloc(1, sizeof(*mirror));

    if (mirror == NULL) {
        return PPS_ENOMEM;
    }
    CDS_INIT_LIST_HEAD(&mirror->entries);
    mirror->end = -1;
    mirror->relevant_end = -1;
    mirror->current_offset = -1;
    mirror->on_changed = on_changed;
    mirror->user = user;
    *out = mirror;
    return PPS_OK;
}

static entry_t *
find_entry(const pps_mirror_t *mirror, const char *key, size_t size)
{
    pps_table_item_t *item = pps_table_find(&mirror->table, key, size);

    return item != NULL ? caa_container_of(item, entry_t, item) : NULL;
}

static void
free_entry(pps_mirror_t *mirror, entry_t *entry)
{
    pps_table_remove(&mirror->table, &entry->item);
    cds_list_del(&entry->node);
    free(entry->key);
    free(entry->value);
    free(entry);
}

void
pps_mirror_free(pps_mirror_t *mirror)
{
    entry_t *entry;
    entry_t *next;

    if (mirror == NULL) {
        return;
    }
    cds_list_for_each_entry_safe (entry, next, &mirror->entries, node) {
        free_entry(mirror, entry);
    }
    free(mirror);
}

int64_t
pps_mirror_end(const pps_mirror_t *mirror)
{
    return mirror->end;
}

int64_t
pps_mirror_relevant_end(const pps_mirror_t *mirror)
{
    return mirror->relevant_end;
}

int64_t
pps_mirror_current_offset(const pps_mirror_t *mirror)
{
    return mirror->current_offset;
}

static void
notify_change(pps_mirror_t *mirror, const char *key, const char *value,
              size_t size, int64_t next_offset)
{
    if (mirror->on_changed(mirror->user, key, value, size) != 0 &&
        next_offset > mirror->relevant_end) {
        mirror->relevant_end = next_offset;
    }
}

static void
delete_entry(pps_mirror_t *mirror, entry_t *entry, int64_t next_offset)
{
    notify_change(mirror, entry->key, NULL, 0, next_offset);
    free_entry(mirror, entry);
}

static entry_t *
add_entry(pps_mirror_t *mirror, const char *key, size_t key_size)
{
    entry_t *entry = calloc(1, sizeof(*entry));

    if (entry == NULL) {
        return NULL;
    }
    entry->key = strndup(key, key_size);
    if (entry->key == NULL) {
        free(entry);
        return NULL;
    }
    entry->offset = -1;
    pps_table_add(&mirror->table, &entry->item, entry->key, key_size);
    cds_list_add_tail(&entry->node, &mirror->entries);
    return entry;
}

static int
apply_value(pps_mirror_t *mirror, int64_t offset, const char *key,
            size_t key_size, const char *value, size_t size)
{
    entry_t *entry = find_entry(mirror, key, key_size);
    char *stored;

    if (value == NULL) {
        if (entry != NULL && entry->offset < offset) {
            delete_entry(mirror, entry, offset + 1);
        }
        return PPS_OK;
    }
    if (entry == NULL) {
        entry = add_entry(mirror, key, key_size);
    }
    if (entry == NULL) {
        return PPS_ENOMEM;
    }
    entry->listed = 1;
    if (entry->offset >= offset) {
        return PPS_OK;
    }
    stored = malloc(size + 1);
    if (stored == NULL) {
        return PPS_ENOMEM;
    }
    memcpy(stored, value, size);
    stored[size] = '\0';
    free(entry->value);
    entry->value = stored;
    entry->size = size;
    entry->offset = offset;
    notify_change(mirror, entry->key, entry->value, entry->size, offset + 1);
    return PPS_OK;
}

int
pps_mirror_apply_record(pps_mirror_t *mirror, int64_t offset, const char *key,
                        size_t key_size, const char *value, size_t size)
{
    int error;

    if (offset < mirror->end) {
        return PPS_OK;
    }
    mirror->current_offset = offset;
    error = apply_value(mirror, offset, key, key_size, value, size);
    mirror->current_offset = -1;
    if (error == 0) {
        mirror->end = offset + 1;
    }
    return error;
}

void
pps_mirror_advance(pps_mirror_t *mirror, int64_t end)
{
    if (end > mirror->end) {
        mirror->end = end;
    }
}

void
pps_mirror_sync_end(pps_mirror_t *mirror, int64_t relevant_end, int64_t end)
{
    if (mirror->end >= 0 && relevant_end >= 0 &&
        relevant_end == mirror->relevant_end) {
        pps_mirror_advance(mirror, end);
    }
}

void
pps_mirror_begin_listing(pps_mirror_t *mirror)
{
    entry_t *entry;
    entry_t *next;

    cds_list_for_each_entry_safe (entry, next, &mirror->entries, node) {
        entry->listed = 0;
    }
    mirror->listing_relevant_end = mirror->relevant_end;
}

int
pps_mirror_apply_listed(pps_mirror_t *mirror, int64_t offset, const char *key,
                        size_t key_size, const char *value, size_t size)
{
    return apply_value(mirror, offset, key, key_size, value, size);
}

void
pps_mirror_end_listing(pps_mirror_t *mirror, int64_t end)
{
    entry_t *entry;
    entry_t *next;

    cds_list_for_each_entry_safe (entry, next, &mirror->entries, node) {
        if (!entry->listed && entry->offset < end) {
            delete_entry(mirror, entry, end);
        }
    }
    /* A listing shows no offsets of deletions. pps_mirror_sync_end() must not
     * treat copies listed before and after a deletion as equal. */
    if (mirror->relevant_end != mirror->listing_relevant_end &&
        end > mirror->relevant_end) {
        mirror->relevant_end = end;
    }
    pps_mirror_advance(mirror, end);
}

const char *
pps_mirror_get(size_t *size, const pps_mirror_t *mirror, const char *key)
{
    const entry_t *entry = find_entry(mirror, key, strlen(key));

    if (entry == NULL) {
        return NULL;
    }
    *size = entry->size;
    return entry->value;
}

size_t
pps_mirror_count(const pps_mirror_t *mirror)
{
    return pps_table_count(&mirror->table);
}

static int
append(void *user, const char *data, size_t size)
{
    return pps_buf_append(user, data, size);
}

int
pps_mirror_encode(const pps_mirror_t *mirror, pps_buf_t *out)
{
    msgpack_packer packer;
    entry_t *entry;
    entry_t *next;

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
import_entries(pps_mirror_t *mirror, const msgpack_object_array *entries)
{
    for (uint32_t i = 0; i < entries->size; i++) {
        const msgpack_object *fields = entries->ptr[i].via.array.ptr;
        int error;

        if (!is_entry(&entries->ptr[i])) {
            return PPS_ECORRUPT;
        }
        error = pps_mirror_apply_listed(
            mirror, (int64_t)fields[0].via.u64, fields[1].via.bin.ptr,
            fields[1].via.bin.size, fields[2].via.bin.ptr,
            fields[2].via.bin.size);
        if (error != 0) {
            return error;
        }
    }
    return PPS_OK;
}

static int
is_copy(const msgpack_object *object)
{
    const msgpack_object *fields = object->via.array.ptr;

    return object->type == MSGPACK_OBJECT_ARRAY &&
           object->via.array.size == COPY_FIELDS &&
           fields[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
           fields[1].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
           fields[2].type == MSGPACK_OBJECT_ARRAY;
}

int
pps_mirror_import(pps_mirror_t *mirror, const char *data, size_t size)
{
    msgpack_unpacked unpacked;
    const msgpack_object *fields;
    int64_t relevant_end;
    int error = PPS_ECORRUPT;

    if (pps_msgpack_unpack(&unpacked, data, size) != 0) {
        goto done;
    }
    fields = unpacked.data.via.array.ptr;
    if (!is_copy(&unpacked.data)) {
        goto done;
    }
    error = PPS_OK;
    relevant_end = (int64_t)fields[1].via.u64;
    if (relevant_end <= mirror->relevant_end) {
        goto done;
    }
    pps_mirror_begin_listing(mirror);
    error = import_entries(mirror, &fields[2].via.array);
    if (error == 0) {
        pps_mirror_end_listing(mirror, (int64_t)fields[0].via.u64);
        mirror->relevant_end = relevant_end;
    }

done:
    msgpack_unpacked_destroy(&unpacked);
    return error;
}
