/**
 * @file mirror.h
 * @brief A copy of one keyed topic of the platform's store.
 *
 * It is filled from a full listing, from the records behind one, or from
 * another host's copy, and tells its owner of each key that changed. The end
 * offset orders all of these: a copy never goes back.
 */
#ifndef PPS_MIRROR_MIRROR_H
#define PPS_MIRROR_MIRROR_H

#include "buf.h"

#include <stdint.h>

/** A copy of a topic. */
typedef struct pps_mirror pps_mirror_t;

/**
 * Told of a key's newest value; `value` is NULL when the key is gone.
 * @return nonzero when other hosts should hear of it soon
 */
typedef int (*pps_mirror_changed_fn)(void *user, const char *key,
                                     const char *value, size_t size);

/** Makes an empty copy, whose end is -1. */
int
pps_mirror_new(pps_mirror_t **out, pps_mirror_changed_fn changed, void *user);

/** Frees a copy; NULL is allowed. */
void
pps_mirror_free(pps_mirror_t *mirror);

/** The offset behind the last record taken in, or -1. */
int64_t
pps_mirror_end(const pps_mirror_t *mirror);

/** The offset behind the last record that other hosts should hear of, or -1.
 */
int64_t
pps_mirror_relevant_end(const pps_mirror_t *mirror);

/** The offset of the record being told of, or -1 within a listing. */
int64_t
pps_mirror_current_offset(const pps_mirror_t *mirror);

/** Takes in one record that lies behind a listing. Records below the end are
 * skipped. @param value NULL: the key is dropped */
int
pps_mirror_apply_record(pps_mirror_t *mirror, int64_t offset, const char *key,
                        size_t key_size, const char *value, size_t size);

/** Moves the end when records up to there have been taken in. */
void
pps_mirror_advance(pps_mirror_t *mirror, int64_t end);

/** Another host's copy has this mark and end: one with the same mark lacks no
 * record that matters up to that end, and need not read them. */
void
pps_mirror_sync_end(pps_mirror_t *mirror, int64_t mark, int64_t end);

/** Begins a full listing: keys that it does not name are gone at its end. */
void
pps_mirror_begin_listing(pps_mirror_t *mirror);

/** A key of the listing. */
int
pps_mirror_apply_listed(pps_mirror_t *mirror, int64_t offset, const char *key,
                        size_t key_size, const char *value, size_t size);

/** Ends a listing that was whole. @param end the topic's end when it began */
void
pps_mirror_end_listing(pps_mirror_t *mirror, int64_t end);

/** The value of a key, or NULL. */
const char *
pps_mirror_get(size_t *size, const pps_mirror_t *mirror, const char *key);

/** Number of keys. */
size_t
pps_mirror_count(const pps_mirror_t *mirror);

/** Writes the whole copy for another host. */
int
pps_mirror_encode(const pps_mirror_t *mirror, pps_buf_t *out);

/** Takes over another host's copy when its mark is higher.
 * @return 0; PPS_ECORRUPT */
int
pps_mirror_import(pps_mirror_t *mirror, const char *data, size_t size);

#endif
