/** @file mirror_state.h @brief Private state shared by the mirror files. */
#ifndef PPS_MIRROR_MIRROR_STATE_H
#define PPS_MIRROR_MIRROR_STATE_H

#include "mirror.h"
#include "table.h"

#include <urcu/list.h>

/** Where a full listing comes from. Both kinds may be in progress at once. */
typedef enum {
    PPS_MIRROR_OWN,      /**< the store */
    PPS_MIRROR_IMPORTED, /**< another host's copy */
    PPS_MIRROR_KINDS,
} pps_mirror_kind_t;

/** A key and its newest value. */
typedef struct {
    struct cds_list_head node;
    pps_table_item_t item;
    char *key;
    char *value;
    size_t size;
    int64_t epoch;
    int64_t offset;   /* in `epoch` */
    uint64_t meaning; /* of the value; see pps_mirror_relevance_t */
    uint64_t marks[PPS_MIRROR_KINDS]; /* the last listings that have it */
} pps_mirror_entry_t;

/** A listing in progress. */
typedef struct {
    pps_mirror_kind_t kind;
    uint64_t number;
    int64_t epoch;
    int64_t end;        /* of the topic, when the listing began */
    int64_t end_before; /* of the copy then */
    int has_changes;    /* it changed the copy */
    int key_deleted;    /* a record deleted a key since the listing began */
} pps_mirror_listing_t;

/** Offsets of records that were not read, since a listing that covers them
 * found nothing changed. Between them a key may have changed and changed
 * back. */
typedef struct {
    int64_t from;
    int64_t end; /* not above the relevant end: none */
} pps_mirror_unread_t;

/** Number of deletions that are remembered. */
#define PPS_MIRROR_DELETIONS 256

/** A key that a record deleted. */
typedef struct {
    int64_t offset;
    char *key; /* NULL: unused */
} pps_mirror_deletion_t;

/** The deletions since an offset, in the mirror's epoch: entries hold the
 * offsets of all other changes. */
typedef struct {
    pps_mirror_deletion_t items[PPS_MIRROR_DELETIONS];
    unsigned int next;  /* item that is replaced next */
    int64_t known_from; /* all deletions at or after it are remembered */
} pps_mirror_deletions_t;

struct pps_mirror {
    struct cds_list_head entries;
    pps_table_t table;
    int64_t epoch;
    int64_t end;
    int64_t relevant_end;
    uint64_t listings;        /* number of the newest listing */
    pps_mirror_listing_t own; /* the listing between begin and end */
    int64_t current_offset;
    pps_mirror_unread_t unread;
    pps_mirror_deletions_t deletions;
    const pps_mirror_ops_t *ops;
    void *user;
};

/** What a value has done to the copy. */
typedef enum {
    PPS_MIRROR_OUTDATED, /**< nothing: the copy has a value that is as new */
    PPS_MIRROR_SAME,     /**< it is newer, and means the same to all hosts */
    PPS_MIRROR_CHANGED,
} pps_mirror_effect_t;

/** A record, or an entry of a listing. */
typedef struct {
    int64_t epoch;
    int64_t offset;
    const char *key;
    size_t key_size;
    const char *value; /**< NULL: deletes the key */
    size_t size;
} pps_mirror_item_t;

/** Finds the entry of a key, or NULL. */
pps_mirror_entry_t *
pps_mirror_find_entry(const pps_mirror_t *mirror, const char *key,
                      size_t size);

/** Deletes an entry and reports it. */
void
pps_mirror_delete_entry(pps_mirror_t *mirror, pps_mirror_entry_t *entry);

/** Sets a value unless the entry's is as new: by epoch, then by offset.
 * @param listing that contains it; NULL: a record
 * @return 0, PPS_EINVALID if the key has a NUL byte, or PPS_ENOMEM */
int
pps_mirror_set_value(pps_mirror_effect_t *effect, pps_mirror_t *mirror,
                     const pps_mirror_item_t *item,
                     const pps_mirror_listing_t *listing);

/** Returns a new listing. @param end of the topic when it was made */
pps_mirror_listing_t
pps_mirror_start_listing(pps_mirror_t *mirror, pps_mirror_kind_t kind,
                         int64_t epoch, int64_t end);

/** Deletes a key unless its value is newer, and remembers the deletion. A key
 * that the copy lacks is reported too: other hosts may have it.
 * @return 0, PPS_EINVALID if the key has a NUL byte, or PPS_ENOMEM */
int
pps_mirror_delete_key(pps_mirror_t *mirror, int64_t offset, const char *key,
                      size_t key_size);

/** Remembers that a record deleted a key. */
void
pps_mirror_note_deletion(pps_mirror_t *mirror, int64_t offset, const char *key,
                         size_t key_size);

/** Forgets all deletions: those of a listing have no offsets.
 * @param end those from there on are remembered again */
void
pps_mirror_forget_deletions(pps_mirror_t *mirror, int64_t end);

/** Raises the relevant end to a peer's, whose copy was imported. */
void
pps_mirror_raise_relevant_end(pps_mirror_t *mirror, int64_t relevant_end);

/** Ends a listing as pps_mirror_end_listing(). */
int
pps_mirror_finish_listing(pps_mirror_t *mirror,
                          const pps_mirror_listing_t *listing);

#endif
