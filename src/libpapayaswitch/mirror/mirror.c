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

pps_mirror_entry_t *
pps_mirror_find_entry(const pps_mirror_t *mirror, const char *key, size_t size)
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

void
pps_mirror_delete_entry(pps_mirror_t *mirror, pps_mirror_entry_t *entry)
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
    pps_mirror_entry_t *entry = pps_mirror_find_entry(mirror, key, key_size);

    if (memchr(key, '\0', key_size) != NULL) {
        return PPS_EINVALID;
    }
    mirror->own.key_deleted = 1;
    pps_mirror_note_deletion(mirror, offset, key, key_size);
    if (entry == NULL) {
        return report_unknown_deletion(mirror, key, key_size);
    }
    if (is_newer(entry, mirror->epoch, offset)) {
        pps_mirror_delete_entry(mirror, entry);
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
is_listed_again(const pps_mirror_entry_t *entry, const pps_mirror_item_t *item)
{
    return item->epoch != entry->epoch && entry->value != NULL &&
           entry->size == item->size &&
           memcmp(entry->value, item->value, item->size) == 0;
}

/* Reports an entry whose new value was written below the copy's end and says
 * something else than the value before. */
static void
check_missed(const pps_mirror_t *mirror, const pps_mirror_entry_t *entry,
             uint64_t meaning_before)
{
    if (mirror->ops->on_missed != NULL && entry->epoch == mirror->epoch &&
        entry->offset < mirror->end &&
        (entry->meaning == 0 || entry->meaning != meaning_before)) {
        mirror->ops->on_missed(mirror->user, mirror, entry->key,
                               entry->offset);
    }
}

static int
update_entry(pps_mirror_effect_t *effect, pps_mirror_t *mirror,
             pps_mirror_entry_t *entry, const pps_mirror_item_t *item)
{
    int is_same = is_listed_again(entry, item);
    uint64_t meaning_before = entry->meaning;
    int error;

    entry->epoch = item->epoch;
    entry->offset = item->offset;
    *effect = PPS_MIRROR_SAME;
    if (is_same) {
        return PPS_OK;
    }
    error = set_entry(effect, mirror, entry, item->value, item->size);
    if (error == 0) {
        check_missed(mirror, entry, meaning_before);
    }
    return error;
}

int
pps_mirror_set_value(pps_mirror_effect_t *effect, pps_mirror_t *mirror,
                     const pps_mirror_item_t *item,
                     const pps_mirror_listing_t *listing)
{
    pps_mirror_entry_t *entry =
        pps_mirror_find_entry(mirror, item->key, item->key_size);

    *effect = PPS_MIRROR_OUTDATED;
    if (memchr(item->key, '\0', item->key_size) != NULL) {
        return PPS_EINVALID;
    }
    if (item->epoch < mirror->epoch) {
        return PPS_OK;
    }
    if (entry == NULL) {
        entry = add_entry(mirror, item->key, item->key_size);
    }
    if (entry == NULL) {
        return PPS_ENOMEM;
    }
    if (listing != NULL) {
        entry->marks[listing->kind] = listing->number;
    }
    return is_newer(entry, item->epoch, item->offset)
               ? update_entry(effect, mirror, entry, item)
               : PPS_OK;
}

/* Reports a relevant record and moves the relevant end past it. */
static void
finish_relevant(pps_mirror_t *mirror, const pps_mirror_item_t *record)
{
    char *key = strndup(record->key, record->key_size);

    if (key != NULL && mirror->ops->on_relevant != NULL) {
        mirror->ops->on_relevant(mirror->user, key, record->value,
                                 record->size);
    }
    free(key);
    mirror->relevant_end = record->offset + 1;
}

/* Applies a record. It is relevant if it changes the copy, and also if the
 * copy had a listed value that is as new: what was there before is not known.
 */
static int
apply_record(pps_mirror_t *mirror, const pps_mirror_item_t *record,
             int is_relevant)
{
    pps_mirror_effect_t effect = PPS_MIRROR_CHANGED;
    int error;

    if (record->offset < mirror->end) {
        return PPS_OK;
    }
    mirror->current_offset = record->offset;
    error = record->value == NULL
                ? pps_mirror_delete_key(mirror, record->offset, record->key,
                                        record->key_size)
                : pps_mirror_set_value(&effect, mirror, record, NULL);
    if (error == 0 && (is_relevant || effect != PPS_MIRROR_SAME)) {
        finish_relevant(mirror, record);
    }
    mirror->current_offset = -1;
    if (error == 0) {
        mirror->end = record->offset + 1;
    }
    return error;
}

int
pps_mirror_apply_record(pps_mirror_t *mirror, int64_t offset, const char *key,
                        size_t key_size, const char *value, size_t size)
{
    const pps_mirror_item_t record = {mirror->epoch, offset, key,
                                      key_size,      value,  size};

    return apply_record(mirror, &record, 0);
}

int
pps_mirror_apply_relayed(pps_mirror_t *mirror, int64_t offset, const char *key,
                         size_t key_size, const char *value, size_t size)
{
    const pps_mirror_item_t record = {mirror->epoch, offset, key,
                                      key_size,      value,  size};

    return apply_record(mirror, &record, 1);
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
    const pps_mirror_entry_t *entry =
        pps_mirror_find_entry(mirror, key, strlen(key));

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
