/** @file mirror.c @brief Keeps a keyed topic in a hash table. */
#include "mirror.h"

#include "msgpack_check.h"
#include "papayaswitch/errors.h"
#include "table.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

/** Elements of an encoded copy: end, relevant end, entries, epoch. Copies of
 * builds without epochs lack the last one. */
#define COPY_FIELDS 4
#define COPY_FIELDS_MIN 3

typedef struct {
    struct cds_list_head node;
    pps_table_item_t item;
    char *key;
    char *value;
    size_t size;
    int64_t epoch;
    int64_t offset;   /* in `epoch` */
    uint64_t listing; /* newest listing that contains or precedes the value */
} entry_t;

/* A listing in progress. */
typedef struct {
    uint64_t number;
    int64_t epoch;
    int64_t relevant_end_before;
    int key_deleted; /* a record deleted a key since the listing began */
} listing_t;

struct pps_mirror {
    struct cds_list_head entries;
    pps_table_t table;
    int64_t epoch;
    int64_t end;
    int64_t relevant_end;
    uint64_t listing; /* number of the newest listing */
    listing_t own;    /* the listing between begin and end */
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
pps_mirror_epoch(const pps_mirror_t *mirror)
{
    return mirror->epoch;
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

/* Returns whether a value at this position is newer than the entry's. */
static int
is_newer(const entry_t *entry, int64_t epoch, int64_t offset)
{
    return epoch != entry->epoch ? epoch > entry->epoch
                                 : offset > entry->offset;
}

static void
delete_key(pps_mirror_t *mirror, int64_t offset, const char *key,
           size_t key_size)
{
    entry_t *entry = find_entry(mirror, key, key_size);

    mirror->own.key_deleted = 1;
    if (entry != NULL && is_newer(entry, mirror->epoch, offset)) {
        delete_entry(mirror, entry, offset + 1);
    }
}

static int
set_entry(pps_mirror_t *mirror, entry_t *entry, const char *value, size_t size)
{
    char *stored = malloc(size + 1);

    if (stored == NULL) {
        return PPS_ENOMEM;
    }
    memcpy(stored, value, size);
    stored[size] = '\0';
    free(entry->value);
    entry->value = stored;
    entry->size = size;
    notify_change(mirror, entry->key, entry->value, entry->size,
                  entry->offset + 1);
    return PPS_OK;
}

static int
set_value(pps_mirror_t *mirror, int64_t epoch, int64_t offset, const char *key,
          size_t key_size, const char *value, size_t size)
{
    entry_t *entry = find_entry(mirror, key, key_size);
    int is_same;

    if (memchr(key, '\0', key_size) != NULL) {
        return PPS_EINVALID;
    }
    if (epoch < mirror->epoch) {
        return PPS_OK;
    }
    if (entry == NULL) {
        entry = add_entry(mirror, key, key_size);
    }
    if (entry == NULL) {
        return PPS_ENOMEM;
    }
    entry->listing = mirror->listing;
    if (!is_newer(entry, epoch, offset)) {
        return PPS_OK;
    }
    is_same = epoch != entry->epoch && entry->value != NULL &&
              entry->size == size && memcmp(entry->value, value, size) == 0;
    entry->epoch = epoch;
    entry->offset = offset;
    return is_same ? PPS_OK : set_entry(mirror, entry, value, size);
}

int
pps_mirror_apply_record(pps_mirror_t *mirror, int64_t offset, const char *key,
                        size_t key_size, const char *value, size_t size)
{
    int error = PPS_OK;

    if (offset < mirror->end) {
        return PPS_OK;
    }
    mirror->current_offset = offset;
    if (value == NULL) {
        delete_key(mirror, offset, key, key_size);
    }
    else {
        error = set_value(mirror, mirror->epoch, offset, key, key_size, value,
                          size);
    }
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
pps_mirror_begin_listing(pps_mirror_t *mirror, int64_t epoch)
{
    mirror->listing++;
    mirror->own = (listing_t){
        .number = mirror->listing,
        .epoch = epoch,
        .relevant_end_before = mirror->relevant_end,
    };
}

int
pps_mirror_apply_listed(pps_mirror_t *mirror, int64_t offset, const char *key,
                        size_t key_size, const char *value, size_t size)
{
    return set_value(mirror, mirror->own.epoch, offset, key, key_size, value,
                     size);
}

static void
delete_absent(pps_mirror_t *mirror, const listing_t *listing, int64_t end)
{
    entry_t *entry;
    entry_t *next;

    cds_list_for_each_entry_safe (entry, next, &mirror->entries, node) {
        int is_absent = entry->listing < listing->number &&
                        entry->epoch == listing->epoch && entry->offset < end;

        if (is_absent || entry->epoch < listing->epoch) {
            delete_entry(mirror, entry, end);
        }
    }
}

/* Ends a listing in the copy's epoch. A listing shows no offsets of deletions:
 * pps_mirror_sync_end() must not treat copies listed before and after one as
 * equal. */
static void
end_in_same_epoch(pps_mirror_t *mirror, const listing_t *listing, int64_t end)
{
    if (mirror->relevant_end != listing->relevant_end_before &&
        end > mirror->relevant_end) {
        mirror->relevant_end = end;
    }
    pps_mirror_advance(mirror, end);
}

static int
end_listing(pps_mirror_t *mirror, const listing_t *listing, int64_t end)
{
    if (listing->epoch < mirror->epoch) {
        return 1;
    }
    delete_absent(mirror, listing, end);
    if (listing->epoch == mirror->epoch) {
        end_in_same_epoch(mirror, listing, end);
        return listing->key_deleted;
    }
    mirror->epoch = listing->epoch;
    mirror->end = end;
    mirror->relevant_end = end;
    return 0;
}

int
pps_mirror_end_listing(pps_mirror_t *mirror, int64_t end)
{
    return end_listing(mirror, &mirror->own, end);
}

void
pps_mirror_replay(pps_mirror_t *mirror)
{
    entry_t *entry;
    entry_t *next;

    cds_list_for_each_entry_safe (entry, next, &mirror->entries, node) {
        notify_change(mirror, entry->key, entry->value, entry->size, 0);
    }
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

        error = set_value(mirror, epoch, (int64_t)fields[0].via.u64,
                          fields[1].via.bin.ptr, fields[1].via.bin.size,
                          fields[2].via.bin.ptr, fields[2].via.bin.size);
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
    listing_t listing = {.epoch = copy_epoch(copy),
                         .relevant_end_before = mirror->relevant_end};
    int error;

    if (listing.epoch < mirror->epoch ||
        (listing.epoch == mirror->epoch &&
         relevant_end <= mirror->relevant_end)) {
        return PPS_OK;
    }
    listing.number = ++mirror->listing;
    error = import_entries(mirror, listing.epoch, &copy->ptr[2].via.array);
    if (error == 0) {
        end_listing(mirror, &listing, (int64_t)copy->ptr[0].via.u64);
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
