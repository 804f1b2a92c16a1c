/** @file mirror.c @brief Keeps a keyed topic in a hash table. */
#include "mirror_state.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

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

static pps_mirror_entry_t *
find_entry(const pps_mirror_t *mirror, const char *key, size_t size)
{
    pps_table_item_t *item = pps_table_find(&mirror->table, key, size);

    return item != NULL ? caa_container_of(item, pps_mirror_entry_t, item)
                        : NULL;
}

static void
free_entry(pps_mirror_t *mirror, pps_mirror_entry_t *entry)
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
    pps_mirror_entry_t *entry;
    pps_mirror_entry_t *next;

    if (mirror == NULL) {
        return;
    }
    cds_list_for_each_entry_safe (entry, next, &mirror->entries, node) {
        free_entry(mirror, entry);
    }
    pps_mirror_forget_deletions(mirror, INT64_MAX);
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

/* Returns whether the change is relevant. */
static int
notify_change(pps_mirror_t *mirror, const char *key, const char *value,
              size_t size)
{
    return mirror->on_changed(mirror->user, key, value, size) != 0;
}

static int
delete_entry(pps_mirror_t *mirror, pps_mirror_entry_t *entry)
{
    int is_relevant = notify_change(mirror, entry->key, NULL, 0);

    free_entry(mirror, entry);
    return is_relevant;
}

static pps_mirror_entry_t *
add_entry(pps_mirror_t *mirror, const char *key, size_t key_size)
{
    pps_mirror_entry_t *entry = calloc(1, sizeof(*entry));

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
is_newer(const pps_mirror_entry_t *entry, int64_t epoch, int64_t offset)
{
    return epoch != entry->epoch ? epoch > entry->epoch
                                 : offset > entry->offset;
}

void
pps_mirror_delete_key(pps_mirror_effect_t *effect, pps_mirror_t *mirror,
                      int64_t offset, const char *key, size_t key_size)
{
    pps_mirror_entry_t *entry = find_entry(mirror, key, key_size);

    *effect = entry == NULL ? PPS_MIRROR_SAME : PPS_MIRROR_OUTDATED;
    mirror->own.key_deleted = 1;
    pps_mirror_note_deletion(mirror, offset, key, key_size);
    if (entry != NULL && is_newer(entry, mirror->epoch, offset)) {
        *effect =
            delete_entry(mirror, entry) ? PPS_MIRROR_CHANGED : PPS_MIRROR_SAME;
    }
}

static int
set_entry(pps_mirror_effect_t *effect, pps_mirror_t *mirror,
          pps_mirror_entry_t *entry, const char *value, size_t size)
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
    *effect = notify_change(mirror, entry->key, entry->value, entry->size)
                  ? PPS_MIRROR_CHANGED
                  : PPS_MIRROR_SAME;
    return PPS_OK;
}

int
pps_mirror_set_value(pps_mirror_effect_t *effect, pps_mirror_t *mirror,
                     int64_t epoch, int64_t offset, const char *key,
                     size_t key_size, const char *value, size_t size)
{
    pps_mirror_entry_t *entry = find_entry(mirror, key, key_size);
    int is_same;

    *effect = PPS_MIRROR_OUTDATED;
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
    *effect = PPS_MIRROR_SAME;
    return is_same ? PPS_OK : set_entry(effect, mirror, entry, value, size);
}

/* A record counts if it has changed the copy, and also if the copy had a
 * listed value that is as new: what was there before is not known. */
int
pps_mirror_apply_record(pps_mirror_t *mirror, int64_t offset, const char *key,
                        size_t key_size, const char *value, size_t size)
{
    pps_mirror_effect_t effect;
    int error = PPS_OK;

    if (offset < mirror->end) {
        return PPS_OK;
    }
    mirror->current_offset = offset;
    if (value == NULL) {
        pps_mirror_delete_key(&effect, mirror, offset, key, key_size);
    }
    else {
        error = pps_mirror_set_value(&effect, mirror, mirror->epoch, offset,
                                     key, key_size, value, size);
    }
    mirror->current_offset = -1;
    if (error == 0) {
        mirror->end = offset + 1;
        mirror->relevant_end =
            effect != PPS_MIRROR_SAME ? mirror->end : mirror->relevant_end;
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
    mirror->own = (pps_mirror_listing_t){
        .number = mirror->listing,
        .epoch = epoch,
    };
}

int
pps_mirror_apply_listed(pps_mirror_t *mirror, int64_t offset, const char *key,
                        size_t key_size, const char *value, size_t size)
{
    pps_mirror_effect_t effect;
    int error = pps_mirror_set_value(&effect, mirror, mirror->own.epoch,
                                     offset, key, key_size, value, size);

    mirror->own.has_changes |= effect == PPS_MIRROR_CHANGED;
    return error;
}

/* Returns whether a relevant change was made. */
static int
delete_absent(pps_mirror_t *mirror, const pps_mirror_listing_t *listing,
              int64_t end)
{
    pps_mirror_entry_t *entry;
    pps_mirror_entry_t *next;
    int has_changes = 0;

    cds_list_for_each_entry_safe (entry, next, &mirror->entries, node) {
        int is_absent = entry->listing < listing->number &&
                        entry->epoch == listing->epoch && entry->offset < end;

        if (is_absent || entry->epoch < listing->epoch) {
            has_changes |= delete_entry(mirror, entry);
        }
    }
    return has_changes;
}

/* Ends a listing in the copy's epoch. A listing shows no offsets of deletions:
 * pps_mirror_sync_end() must not treat copies listed before and after one as
 * equal. */
static void
end_in_same_epoch(pps_mirror_t *mirror, int has_changes, int64_t end)
{
    if (has_changes && end > mirror->relevant_end) {
        mirror->relevant_end = end;
    }
    pps_mirror_advance(mirror, end);
}

int
pps_mirror_finish_listing(pps_mirror_t *mirror,
                          const pps_mirror_listing_t *listing, int64_t end)
{
    int has_changes;

    if (listing->epoch < mirror->epoch) {
        return 1;
    }
    has_changes = delete_absent(mirror, listing, end) || listing->has_changes;
    if (listing->epoch == mirror->epoch) {
        end_in_same_epoch(mirror, has_changes, end);
        pps_mirror_forget_deletions(mirror, mirror->end);
        return listing->key_deleted;
    }
    pps_mirror_forget_deletions(mirror, end);
    mirror->epoch = listing->epoch;
    mirror->end = end;
    mirror->relevant_end = end;
    return 0;
}

int
pps_mirror_end_listing(pps_mirror_t *mirror, int64_t end)
{
    return pps_mirror_finish_listing(mirror, &mirror->own, end);
}

void
pps_mirror_replay(pps_mirror_t *mirror)
{
    pps_mirror_entry_t *entry;
    pps_mirror_entry_t *next;

    cds_list_for_each_entry_safe (entry, next, &mirror->entries, node) {
        notify_change(mirror, entry->key, entry->value, entry->size);
    }
}

const char *
pps_mirror_get(size_t *size, const pps_mirror_t *mirror, const char *key)
{
    const pps_mirror_entry_t *entry = find_entry(mirror, key, strlen(key));

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
