/**
 * @file mirror.h
 * @brief Keeps a local copy of one keyed topic of the platform's store.
 *
 * The copy is filled from a full listing, from the records that follow one, or
 * from another host's copy, and reports each changed key to its owner. Offsets
 * order these sources: an older value never replaces a newer one, and where
 * the offset of a deletion is not kept, the newer source says which keys there
 * are.
 *
 * Offsets are comparable within one epoch only. A store that comes back from a
 * backup starts a higher epoch and assigns offsets again. The copy enters an
 * epoch with the end of a complete listing in it; until then it keeps its
 * content. Nothing of a lower epoch replaces what a higher one has set.
 *
 * Hosts compare their copies by the offset after the last relevant record. So
 * that equal offsets mean equal content, it depends on the record and on the
 * copy alone whether a record is relevant, and not on what else a host knows:
 * deletions always are, and values unless they mean the same as the copy's. An
 * owner may count more records than these, never fewer.
 */
#ifndef PPS_MIRROR_MIRROR_H
#define PPS_MIRROR_MIRROR_H

#include "buf.h"

#include <stdint.h>

/** A copy of a topic. */
typedef struct pps_mirror pps_mirror_t;

/** Whether other hosts need a value; zero: they do. */
typedef struct {
    uint64_t meaning; /**< a digest of what the value says, equal for values
                           that say the same to all hosts: a function of the
                           key and the value. 0: unlike any other */
    int is_needed;    /**< they need it whatever it says */
} pps_mirror_relevance_t;

/** Callbacks of the owner of a copy. */
typedef struct {
    /** Called with a key's new value; `value` is NULL if a record deleted the
     * key, which the copy may lack.
     * @param out zero at first; not used for deletions, which are relevant */
    void (*on_changed)(pps_mirror_relevance_t *out, void *user,
                       const char *key, const char *value, size_t size);
    /** Called with each relevant record, after `on_changed` and before the
     * relevant end moves past it. May be NULL. */
    void (*on_relevant)(void *user, const char *key, const char *value,
                        size_t size);
    /** Called when a listing or another host's copy has just changed a key by
     * a value from below the copy's end: the copy had missed its record. May
     * be NULL. */
    void (*on_missed)(void *user, const pps_mirror_t *mirror, const char *key,
                      int64_t offset);
} pps_mirror_ops_t;

/** Creates an empty copy, whose end is -1. `ops` must outlive it.
 * @return 0 or PPS_ENOMEM */
int
pps_mirror_new(pps_mirror_t **out, const pps_mirror_ops_t *ops, void *user);

/** Frees a copy; NULL is allowed. */
void
pps_mirror_free(pps_mirror_t *mirror);

/** Returns the offset below which no relevant record is missing, or -1. */
int64_t
pps_mirror_end(const pps_mirror_t *mirror);

/** Returns the epoch of the store that the offsets belong to; 0 at first. */
int64_t
pps_mirror_epoch(const pps_mirror_t *mirror);

/** Returns an offset at or after the end of the last relevant record, and at
 * most the copy's end; -1 if no record or listing has changed the copy. */
int64_t
pps_mirror_relevant_end(const pps_mirror_t *mirror);

/** Returns the end that another copy must have reached before the next record
 * completes it: the relevant end, or that of a listing which found nothing
 * changed behind it, but does not show what had changed in the meantime. */
int64_t
pps_mirror_required_end(const pps_mirror_t *mirror);

/** Returns the offset that pps_mirror_apply_record() is applying, or -1. */
int64_t
pps_mirror_current_offset(const pps_mirror_t *mirror);

/** Applies one record of the copy's epoch that follows a listing. Skips
 * records below the end. @param value NULL: deletes the key
 * @return 0, PPS_EINVALID if the key has a NUL byte, or PPS_ENOMEM */
int
pps_mirror_apply_record(pps_mirror_t *mirror, int64_t offset, const char *key,
                        size_t key_size, const char *value, size_t size);

/** As pps_mirror_apply_record(), for a record that another host has found to
 * be relevant: it counts here too. */
int
pps_mirror_apply_relayed(pps_mirror_t *mirror, int64_t offset, const char *key,
                         size_t key_size, const char *value, size_t size);

/** Moves the end forward after all records below it have been applied. */
void
pps_mirror_advance(pps_mirror_t *mirror, int64_t end);

/** Compares the copy with a peer's of the same epoch. If both have the same
 * relevant end, the end moves forward to the peer's: no record between the two
 * ends is relevant or need be read. If the peer's relevant end lies in a part
 * of the topic that this host has listed instead of reading it, the relevant
 * end moves to the end of that part, so that the peer fetches what it lacks.
 */
void
pps_mirror_sync_end(pps_mirror_t *mirror, int64_t relevant_end, int64_t end);

/** Begins a full listing; pps_mirror_end_listing() deletes absent keys. Its
 * pages may be older than the copy, if that moves on by other sources: then
 * the copy shows what has been deleted, not the listing.
 * @param epoch of the listing; in one above the copy's, listed values replace
 *        those of the copy whatever their offsets, and an unchanged value is
 *        not reported; in one below, they are ignored
 * @param end the topic's end, as the first page states it */
void
pps_mirror_begin_listing(pps_mirror_t *mirror, int64_t epoch, int64_t end);

/** Applies one entry of the listing. Skips a key that the copy lacks if the
 * copy's end lies behind the listing's end and the entry.
 * @return 0, PPS_EINVALID if the key has a NUL byte, or PPS_ENOMEM */
int
pps_mirror_apply_listed(pps_mirror_t *mirror, int64_t offset, const char *key,
                        size_t key_size, const char *value, size_t size);

/** Ends a complete listing. Deletes keys that it did not contain, except those
 * written at or after its end in the same epoch, and none if the copy's end
 * lies behind its end.
 * @return 0, or 1 if another listing is needed: the copy is of a higher epoch
 *         by now, or a record deleted a key that the listing may have added
 *         again */
int
pps_mirror_end_listing(pps_mirror_t *mirror);

/** Returns the value of a key, valid until the key changes, or NULL. */
const char *
pps_mirror_get(size_t *size, const pps_mirror_t *mirror, const char *key);

/** Returns the number of keys. */
size_t
pps_mirror_count(const pps_mirror_t *mirror);

/** Appends the full copy, encoded for another host. @return 0 or PPS_ENOMEM */
int
pps_mirror_encode(const pps_mirror_t *mirror, pps_buf_t *out);

/** Appends the changes since an offset, encoded for another host whose copy
 * ends there. @param epoch of that copy
 * @return 0; PPS_ENOTFOUND if the epoch is another one or not all changes are
 *         known, then the host needs the full copy; or PPS_ENOMEM */
int
pps_mirror_encode_changes(const pps_mirror_t *mirror, int64_t epoch,
                          int64_t from, pps_buf_t *out);

/** Returns whether encoded bytes are a full copy: changes are none. */
int
pps_mirror_is_full_copy(const char *data, size_t size);

/** Calls `on_changed` for each key as if its value had just been set. No
 * record counts for it. */
void
pps_mirror_replay(pps_mirror_t *mirror);

/** Replaces the content with another host's encoded copy if that has a higher
 * epoch, or the same and a relevant end behind this copy's end. Keeps newer
 * entries. A copy without an epoch counts as of epoch 0. Encoded changes are
 * applied if they begin at or before this copy's end, in its epoch.
 * @return 0; PPS_ECORRUPT if it is malformed or its relevant end is -1, or
 *         PPS_ECONFLICT if changes do not follow this copy: then nothing is
 *         applied; or PPS_ENOMEM */
int
pps_mirror_import(pps_mirror_t *mirror, const char *data, size_t size);

#endif
