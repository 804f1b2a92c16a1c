/** @file mirror.c @brief Keeps a keyed topic in a hash table. */
#include "mirror_state.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

int
pps_mirror_new(pps_mirror_t **out, const pps_mirror_ops_t *ops, void *user)
{
    pps_mirror_t *mirror = calloc(1, sizeof(*mirror));

    if (mirror == NULL) {
        return PPS_ENOMEM;
    }
    CDS_INIT_LIST_HEAD(&mirror->entries);
    mirror->end = -1;
    mirror->relevant_end = -1;
    mirror->current_offset = -1;
    mirror->unread = (pps_mirror_unread_t){-1, -1};
    mirror->ops = ops;
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
pps_mirror_required_end(const pps_mirror_t *mirror)
{
    return mirror->unread.end > mirror->relevant_end ? mirror->unread.end
                                                     : mirror->relevant_end;
}

int64_t
pps_mirror_current_offset(const pps_mirror_t *mirror)
{
    return mirror->current_offset;
}

static void
report_deletion(pps_mirror_t *mirror, const char *key)
{
    pps_mirror_relevance_t unused = {0};

    mirror->ops->on_changed(&unused, mirror->user, key, NULL, 0);
}

static void
delete_entry(pps_mirror_t *mirror, pps_mirror_entry_t *entry)
{
    report_deletion(mirror, entry->key);
    free_entry(mirror, entry);
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

static int
report_unknown_deletion(pps_mirror_t *mirror, const char *key, size_t key_size)
{
    char *text = strndup(key, key_size);

    if (text == NULL) {
        return PPS_ENOMEM;
    }
    report_deletion(mirror, text);
    free(text);
    return PPS_OK;
}

int
pps_mirror_delete_key(pps_mirror_t *mirror, int64_t offset, const char *key,
                      size_t key_size)
{
    pps_mirror_entry_t *entry = find_entry(mirror, key, key_size);

    if (memchr(key, '\0', key_size) != NULL) {
        return PPS_EINVALID;
    }
    mirror->own.key_deleted = 1;
    pps_mirror_note_deletion(mirror, offset, key, key_size);
    if (entry == NULL) {
        return report_unknown_deletion(mirror, key, key_size);
    }
    if (is_newer(entry, mirror->epoch, offset)) {
        delete_entry(mirror, entry);
    }
    return PPS_OK;
}

/* Reports the entry's new value and compares what it means with the value
 * before. */
static pps_mirror_effect_t
report_value(pps_mirror_t *mirror, pps_mirror_entry_t *entry)
{
    pps_mirror_relevance_t relevance = {0};
    uint64_t before = entry->meaning;

    mirror->ops->on_changed(&relevance, mirror->user, entry->key, entry->value,
                            entry->size);
    entry->meaning = relevance.meaning;
    return relevance.is_needed || relevance.meaning == 0 ||
                   relevance.meaning != before
               ? PPS_MIRROR_CHANGED
               : PPS_MIRROR_SAME;
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
    *effect = report_value(mirror, entry);
    return PPS_OK;
}

/* Returns whether an entry of an older epoch has the value that a listing of a
 * newer one shows. */
static int
is_listed_again(const pps_mirror_entry_t *entry, int64_t epoch,
                const char *value, size_t size)
{
    return epoch != entry->epoch && entry->value != NULL &&
           entry->size == size && memcmp(entry->value, value, size) == 0;
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
    is_same = is_listed_again(entry, epoch, value, size);
    entry->epoch = epoch;
    entry->offset = offset;
    *effect = PPS_MIRROR_SAME;
    return is_same ? PPS_OK : set_entry(effect, mirror, entry, value, size);
}

/* Reports a relevant record and moves the relevant end past it. */
static void
finish_relevant(pps_mirror_t *mirror, const char *key, size_t key_size,
                const char *value, size_t size)
{
    char *text = strndup(key, key_size);

    if (text != NULL && mirror->ops->on_relevant != NULL) {
        mirror->ops->on_relevant(mirror->user, text, value, size);
    }
    free(text);
    mirror->relevant_end = mirror->current_offset + 1;
}

/* Applies a record. It is relevant if it changes the copy, and also if the
 * copy had a listed value that is as new: what was there before is not known.
 */
static int
apply_record(pps_mirror_t *mirror, int64_t offset, const char *key,
             size_t key_size, const char *value, size_t size, int is_relevant)
{
    pps_mirror_effect_t effect = PPS_MIRROR_CHANGED;
    int error;

    if (offset < mirror->end) {
        return PPS_OK;
    }
    mirror->current_offset = offset;
    error = value == NULL
                ? pps_mirror_delete_key(mirror, offset, key, key_size)
                : pps_mirror_set_value(&effect, mirror, mirror->epoch, offset,
                                       key, key_size, value, size);
    if (error == 0 && (is_relevant || effect != PPS_MIRROR_SAME)) {
        finish_relevant(mirror, key, key_size, value, size);
    }
    mirror->current_offset = -1;
    if (error == 0) {
        mirror->end = offset + 1;
    }
    return error;
}

int
pps_mirror_apply_record(pps_mirror_t *mirror, int64_t offset, const char *key,
                        size_t key_size, const char *value, size_t size)
{
    return apply_record(mirror, offset, key, key_size, value, size, 0);
}

int
pps_mirror_apply_relayed(pps_mirror_t *mirror, int64_t offset, const char *key,
                         size_t key_size, const char *value, size_t size)
{
    return apply_record(mirror, offset, key, key_size, value, size, 1);
}

void
pps_mirror_advance(pps_mirror_t *mirror, int64_t end)
{
    if (end > mirror->end) {
        mirror->end = end;
    }
}

/* Returns whether an offset lies in the part that was listed and not read. */
static int
is_unread(const pps_mirror_t *mirror, int64_t offset)
{
    return mirror->unread.end > mirror->relevant_end &&
           offset > mirror->unread.from && offset <= mirror->unread.end;
}

void
pps_mirror_raise_relevant_end(pps_mirror_t *mirror, int64_t relevant_end)
{
    if (is_unread(mirror, relevant_end)) {
        relevant_end = mirror->unread.end;
    }
    if (relevant_end > mirror->relevant_end) {
        mirror->relevant_end = relevant_end;
    }
}

void
pps_mirror_sync_end(pps_mirror_t *mirror, int64_t relevant_end, int64_t end)
{
    if (mirror->end < 0 || relevant_end < 0) {
        return;
    }
    if (relevant_end == mirror->relevant_end) {
        pps_mirror_advance(mirror, end);
    }
    else if (is_unread(mirror, relevant_end)) {
        pps_mirror_raise_relevant_end(mirror, relevant_end);
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

/* Returns whether keys were deleted. */
static int
delete_absent(pps_mirror_t *mirror, const pps_mirror_listing_t *listing,
              int64_t end)
{
    pps_mirror_entry_t *entry;
    pps_mirror_entry_t *next;
    int has_deleted = 0;

    cds_list_for_each_entry_safe (entry, next, &mirror->entries, node) {
        int is_absent = entry->listing < listing->number &&
                        entry->epoch == listing->epoch && entry->offset < end;

        if (is_absent || entry->epoch < listing->epoch) {
            delete_entry(mirror, entry);
            has_deleted = 1;
        }
    }
    return has_deleted;
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
    if (listing->epoch > mirror->epoch) {
        pps_mirror_forget_deletions(mirror, end);
        mirror->epoch = listing->epoch;
        mirror->end = end;
        mirror->relevant_end = end;
        mirror->unread = (pps_mirror_unread_t){-1, -1};
        return 0;
    }
    if (has_changes && end > mirror->relevant_end) {
        mirror->relevant_end = end;
    }
    pps_mirror_advance(mirror, end);
    pps_mirror_forget_deletions(mirror, mirror->end);
    return listing->key_deleted;
}

/* Notes that the records from the copy's end up to that of a listing are not
 * read. What an earlier listing passed over is added. */
static void
note_unread(pps_mirror_t *mirror, int64_t end)
{
    pps_mirror_unread_t *unread = &mirror->unread;

    if (end <= mirror->end) {
        return;
    }
    if (unread->end <= mirror->relevant_end) {
        unread->from = mirror->end;
    }
    unread->end = end;
}

int
pps_mirror_end_listing(pps_mirror_t *mirror, int64_t end)
{
    if (mirror->own.epoch == mirror->epoch) {
        note_unread(mirror, end);
    }
    return pps_mirror_finish_listing(mirror, &mirror->own, end);
}

void
pps_mirror_replay(pps_mirror_t *mirror)
{
    pps_mirror_entry_t *entry;
    pps_mirror_entry_t *next;

    cds_list_for_each_entry_safe (entry, next, &mirror->entries, node) {
        report_value(mirror, entry);
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
