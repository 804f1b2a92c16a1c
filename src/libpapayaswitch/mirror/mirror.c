/** @file mirror.c @brief Keyed topic in a hash table. */
#include "mirror.h"

#include "hash_table.h"
#include "papayaswitch/errors.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    UT_hash_handle hh;
    char *key;
    char *value;
    size_t size;
    int64_t offset;
    int listed; /* named by the listing under way */
} entry_t;

struct pps_mirror {
    entry_t *entries;
    int64_t end;
    pps_mirror_changed_fn changed;
    void *user;
};

int
pps_mirror_new(pps_mirror_t **out, pps_mirror_changed_fn changed, void *user)
{
    pps_mirror_t *mirror = calloc(1, sizeof(*mirror));

    if (mirror == NULL) {
        return PPS_ENOMEM;
    }
    mirror->end = -1;
    mirror->changed = changed;
    mirror->user = user;
    *out = mirror;
    return PPS_OK;
}

static void
free_entry(entry_t *entry)
{
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
    HASH_ITER (hh, mirror->entries, entry, next) {
        HASH_DEL(mirror->entries, entry);
        free_entry(entry);
    }
    free(mirror);
}

int64_t
pps_mirror_end(const pps_mirror_t *mirror)
{
    return mirror->end;
}

static void
drop(pps_mirror_t *mirror, entry_t *entry)
{
    HASH_DEL(mirror->entries, entry);
    mirror->changed(mirror->user, entry->key, NULL, 0);
    free_entry(entry);
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
    HASH_ADD_KEYPTR(hh, mirror->entries, entry->key, strlen(entry->key),
                    entry);
    return entry;
}

static int
set(pps_mirror_t *mirror, int64_t offset, const char *key, size_t key_size,
    const char *value, size_t size)
{
    entry_t *entry;
    char *copy;

    HASH_FIND(hh, mirror->entries, key, key_size, entry);
    if (value == NULL) {
        if (entry != NULL && entry->offset < offset) {
            drop(mirror, entry);
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
    copy = malloc(size + 1);
    if (copy == NULL) {
        return PPS_ENOMEM;
    }
    memcpy(copy, value, size);
    copy[size] = '\0';
    free(entry->value);
    entry->value = copy;
    entry->size = size;
    entry->offset = offset;
    mirror->changed(mirror->user, entry->key, entry->value, entry->size);
    return PPS_OK;
}

int
pps_mirror_record(pps_mirror_t *mirror, int64_t offset, const char *key,
                  size_t key_size, const char *value, size_t size)
{
    int error;

    if (offset < mirror->end) {
        return PPS_OK;
    }
    error = set(mirror, offset, key, key_size, value, size);
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
pps_mirror_listing_begin(pps_mirror_t *mirror)
{
    entry_t *entry;
    entry_t *next;

    HASH_ITER (hh, mirror->entries, entry, next) {
        entry->listed = 0;
    }
}

int
pps_mirror_listing_entry(pps_mirror_t *mirror, int64_t offset, const char *key,
                         size_t key_size, const char *value, size_t size)
{
    return set(mirror, offset, key, key_size, value, size);
}

void
pps_mirror_listing_end(pps_mirror_t *mirror, int64_t end)
{
    entry_t *entry;
    entry_t *next;

    HASH_ITER (hh, mirror->entries, entry, next) {
        if (!entry->listed && entry->offset < end) {
            drop(mirror, entry);
        }
    }
    pps_mirror_advance(mirror, end);
}

const char *
pps_mirror_get(size_t *size, const pps_mirror_t *mirror, const char *key)
{
    entry_t *entry;

    HASH_FIND(hh, mirror->entries, key, strlen(key), entry);
    if (entry == NULL) {
        return NULL;
    }
    *size = entry->size;
    return entry->value;
}

size_t
pps_mirror_count(const pps_mirror_t *mirror)
{
    return HASH_COUNT(mirror->entries);
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
    msgpack_pack_array(&packer, 2);
    msgpack_pack_int64(&packer, mirror->end);
    msgpack_pack_array(&packer, HASH_COUNT(mirror->entries));
    HASH_ITER (hh, mirror->entries, entry, next) {
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
    const msgpack_object *parts = object->via.array.ptr;

    return object->type == MSGPACK_OBJECT_ARRAY &&
           object->via.array.size == 3 &&
           parts[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
           parts[1].type == MSGPACK_OBJECT_BIN &&
           parts[2].type == MSGPACK_OBJECT_BIN;
}

static int
adopt_entries(pps_mirror_t *mirror, const msgpack_object_array *entries)
{
    for (uint32_t i = 0; i < entries->size; i++) {
        const msgpack_object *parts = entries->ptr[i].via.array.ptr;
        int error;

        if (!is_entry(&entries->ptr[i])) {
            return PPS_ECORRUPT;
        }
        error = pps_mirror_listing_entry(
            mirror, (int64_t)parts[0].via.u64, parts[1].via.bin.ptr,
            parts[1].via.bin.size, parts[2].via.bin.ptr,
            parts[2].via.bin.size);
        if (error != 0) {
            return error;
        }
    }
    return PPS_OK;
}

int
pps_mirror_adopt(pps_mirror_t *mirror, const char *data, size_t size)
{
    msgpack_unpacked unpacked;
    const msgpack_object *root;
    int error = PPS_ECORRUPT;

    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, data, size, NULL) !=
        MSGPACK_UNPACK_SUCCESS) {
        goto done;
    }
    root = &unpacked.data;
    if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size != 2 ||
        root->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        root->via.array.ptr[1].type != MSGPACK_OBJECT_ARRAY) {
        goto done;
    }
    error = PPS_OK;
    if ((int64_t)root->via.array.ptr[0].via.u64 <= mirror->end) {
        goto done;
    }
    pps_mirror_listing_begin(mirror);
    error = adopt_entries(mirror, &root->via.array.ptr[1].via.array);
    if (error == 0) {
        pps_mirror_listing_end(mirror,
                               (int64_t)root->via.array.ptr[0].via.u64);
    }

done:
    msgpack_unpacked_destroy(&unpacked);
    return error;
}
