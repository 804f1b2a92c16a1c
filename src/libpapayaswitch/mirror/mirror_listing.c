/** @file mirror_listing.c @brief Applies full listings to a mirror. */
#include "mirror_state.h"

#include "papayaswitch/errors.h"

pps_mirror_listing_t
pps_mirror_start_listing(pps_mirror_t *mirror, pps_mirror_kind_t kind,
                         int64_t epoch, int64_t end)
{
    return (pps_mirror_listing_t){
        .kind = kind,
        .number = ++mirror->listings,
        .epoch = epoch,
        .end = end,
        .end_before = mirror->end,
    };
}

void
pps_mirror_begin_listing(pps_mirror_t *mirror, int64_t epoch, int64_t end)
{
    mirror->own = pps_mirror_start_listing(mirror, PPS_MIRROR_OWN, epoch, end);
}

/* Returns whether the copy has come to an end behind that of a listing, of
 * which a page may be older than the copy. */
static int
is_overtaken(const pps_mirror_t *mirror, const pps_mirror_listing_t *listing)
{
    return listing->epoch == mirror->epoch && mirror->end > listing->end;
}

/* An entry that an earlier listing has shown already, behind the copy's end,
 * is a change: its record has not counted yet. */
int
pps_mirror_apply_listed(pps_mirror_t *mirror, int64_t offset, const char *key,
                        size_t key_size, const char *value, size_t size)
{
    const pps_mirror_item_t item = {mirror->own.epoch, offset, key,
                                    key_size,          value,  size};
    pps_mirror_effect_t effect;
    int error;

    if (is_overtaken(mirror, &mirror->own) && offset < mirror->end &&
        pps_mirror_find_entry(mirror, key, key_size) == NULL) {
        return PPS_OK;
    }
    error = pps_mirror_set_value(&effect, mirror, &item, &mirror->own);
    mirror->own.has_changes |=
        effect == PPS_MIRROR_CHANGED ||
        (effect == PPS_MIRROR_OUTDATED && offset >= mirror->end);
    return error;
}

/* Returns whether an entry has been deleted, as a listing does not have it. */
static int
is_absent(const pps_mirror_t *mirror, const pps_mirror_listing_t *listing,
          const pps_mirror_entry_t *entry)
{
    if (entry->epoch != listing->epoch) {
        return entry->epoch < listing->epoch;
    }
    return entry->marks[listing->kind] != listing->number &&
           entry->offset < listing->end && !is_overtaken(mirror, listing);
}

/* Returns whether keys were deleted. */
static int
delete_absent(pps_mirror_t *mirror, const pps_mirror_listing_t *listing)
{
    pps_mirror_entry_t *entry;
    pps_mirror_entry_t *next;
    int has_deleted = 0;

    cds_list_for_each_entry_safe (entry, next, &mirror->entries, node) {
        if (is_absent(mirror, listing, entry)) {
            pps_mirror_delete_entry(mirror, entry);
            has_deleted = 1;
        }
    }
    return has_deleted;
}

static void
enter_epoch(pps_mirror_t *mirror, const pps_mirror_listing_t *listing)
{
    pps_mirror_forget_deletions(mirror, listing->end);
    mirror->epoch = listing->epoch;
    mirror->end = listing->end;
    mirror->relevant_end = listing->end;
    mirror->unread = (pps_mirror_unread_t){-1, -1};
}

int
pps_mirror_finish_listing(pps_mirror_t *mirror,
                          const pps_mirror_listing_t *listing)
{
    int has_changes;

    if (listing->epoch < mirror->epoch) {
        return 1;
    }
    has_changes = delete_absent(mirror, listing) || listing->has_changes;
    if (listing->epoch > mirror->epoch) {
        enter_epoch(mirror, listing);
        return 0;
    }
    if (has_changes && listing->end > mirror->relevant_end) {
        mirror->relevant_end = listing->end;
    }
    pps_mirror_advance(mirror, listing->end);
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

/* The entries have been compared with the copy at several ends if it has moved
 * on meanwhile: that nothing has changed is not known then. */
int
pps_mirror_end_listing(pps_mirror_t *mirror)
{
    mirror->own.has_changes |=
        mirror->end < mirror->own.end && mirror->end != mirror->own.end_before;
    if (mirror->own.epoch == mirror->epoch) {
        note_unread(mirror, mirror->own.end);
    }
    return pps_mirror_finish_listing(mirror, &mirror->own);
}
