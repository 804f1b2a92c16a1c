/**
 * @file poison_table.h
 * @brief Keeps requests from workers that would end under them.
 *
 * Holds the evidence on all keys that were in an answer when a worker ended.
 * A request is blocked by a key that it holds if the crashes with that key
 * suffice, and no key that it does not hold is in all of them: then that key
 * may as well be the cause, and the request is let through to find out. The
 * table is bounded and reads no clock.
 */
#ifndef PPS_POISON_POISON_TABLE_H
#define PPS_POISON_POISON_TABLE_H

#include "poison_evidence.h"

/** Evidence on all keys. */
typedef struct pps_poison_table pps_poison_table_t;

/** Called for each key with crashes. @return nonzero to stop */
typedef int (*pps_poison_visit_fn)(void *user,
                                   const pps_poison_evidence_t *evidence);

/** Creates an empty table. @return 0 or PPS_ENOMEM */
int
pps_poison_table_new(pps_poison_table_t **out);

/** Frees a table; NULL is allowed. */
void
pps_poison_table_free(pps_poison_table_t *table);

/** Notes that an answer with the key, which began at a time, went on.
 * @return whether this contradicts crashes, so that other hosts need it */
int
pps_poison_table_note_good(pps_poison_table_t *table, uint64_t key,
                           int64_t begun_us);

/** Adds evidence on a key, of this host or another one.
 * @param convicted set if the key was convicted by it; may be NULL
 * @return 1 if it was new, 0 if not, or PPS_ENOMEM */
int
pps_poison_table_merge(pps_poison_table_t *table,
                       const pps_poison_evidence_t *evidence, int *convicted);

/** A key that blocks a request. */
typedef struct {
    uint64_t key;    /**< 0: none does */
    int is_doubtful; /**< answers with it went on before; or a record of it
                          says that it is ambiguous; or other convicted keys,
                        which the request does not hold, explain so many of the
                        crashes that the rest would not suffice; or, for a
                        part, two others may be the causes */
} pps_poison_block_t;

/** Finds a key that blocks a request with these keys; one that is not
 * doubtful, if there is one. */
pps_poison_block_t
pps_poison_table_find_block(const pps_poison_table_t *table,
                            const uint64_t *keys, size_t count,
                            int64_t now_us);

/** Returns whether a key, whatever requests hold it, may be one that was only
 * under way when another key ended workers: all its crashes may be that one's.
 * Keys of whole requests do not explain a part, as each request with a bad
 * part has one. */
int
pps_poison_table_is_explained(const pps_poison_table_t *table,
                              const pps_poison_evidence_t *evidence);

/** Returns whether one or two other keys, with which no answer is known to
 * have gone on, may have caused all crashes of a key, whatever requests hold
 * them. Crashes for which a record says so need no other key. */
int
pps_poison_table_is_ambiguous(const pps_poison_table_t *table,
                              const pps_poison_evidence_t *evidence);

/** Takes the right to let one request with a doubtful key through, which shows
 * whether the key is sound. Such trials become rare if they change nothing.
 * @return whether it was granted */
int
pps_poison_table_take_trial(pps_poison_table_t *table, uint64_t key,
                            int64_t now_us);

/** Ends a trial. One without a crash under the key shows nothing as long as no
 * answer went on either: the next trial comes as if it had not been taken. */
void
pps_poison_table_end_trial(pps_poison_table_t *table, uint64_t key,
                           int64_t now_us);

/** Returns the evidence on a key with crashes, or NULL. */
const pps_poison_evidence_t *
pps_poison_table_lookup(const pps_poison_table_t *table, uint64_t key);

/** Returns when an answer with the key last began that went on, or 0. */
int64_t
pps_poison_table_good_us(const pps_poison_table_t *table, uint64_t key);

/** Returns the number of keys with crashes. */
size_t
pps_poison_table_count(const pps_poison_table_t *table);

/** Visits the keys with at least a number of crashes, in no order. */
void
pps_poison_table_visit(const pps_poison_table_t *table,
                       unsigned int crashes_min, pps_poison_visit_fn visit,
                       void *user);

/** Returns a digest that is equal for tables with the same crashes. Keys with
 * one crash are left out. */
uint64_t
pps_poison_table_digest(const pps_poison_table_t *table);

/** Drops what is too old to matter. */
void
pps_poison_table_sweep(pps_poison_table_t *table, int64_t now_us);

#endif
