/**
 * @file config_fold.h
 * @brief Folds the config stream into the catalog in force.
 *
 * The fold has no I/O and no clock of its own, so that every host folds the
 * same records into the same state. Not thread-safe.
 */
#ifndef PAPAYASWITCH_CONFIG_FOLD_H
#define PAPAYASWITCH_CONFIG_FOLD_H

#include "papayaswitch/catalog.h"
#include "papayaswitch/log_backend.h"

/** Acceptance or rejection of a note. */
typedef struct {
    char id[PPS_NAME_MAX + 1];
    int accepted;
    uint64_t offset;   /**< offset of the record that set the verdict */
    uint64_t revision; /**< revision that an accepted note created */
    uint64_t digest;   /**< pps_note_digest() of the note */
    /** Rejection reason, which names any conflicting note. It is stored in
     * checkpoints and covered by the digests that hosts compare, so that hosts
     * with different texts have different digests. */
    char reason[200];
} pps_note_verdict_t;

/** State of the folded config stream. */
typedef struct pps_config_fold pps_config_fold_t;

/** Creates a fold with an empty catalog at offset 0. */
int
pps_config_fold_new(pps_config_fold_t **out);

/** Frees a fold. NULL is allowed. */
void
pps_config_fold_free(pps_config_fold_t *fold);

/**
 * Folds the record at `entry->offset`, which must be pps_config_fold_next().
 * A corrupt record or one of an unknown kind is counted and skipped. A note
 * whose id has a verdict is counted as repeated and has no effect. A
 * checkpoint is compared with the fold's state at its offset, never restored.
 * @return 0; PPS_EINVALID: the offset is not the next one; PPS_ENOMEM
 */
int
pps_config_fold_apply(pps_config_fold_t *fold, const pps_log_entry_t *entry);

/** Returns the offset of the next record to fold. */
uint64_t
pps_config_fold_next(const pps_config_fold_t *fold);

/** Returns the catalog in force, which the fold owns; pps_catalog_ref() keeps
 * it beyond the next record. */
const pps_catalog_t *
pps_config_fold_catalog(const pps_config_fold_t *fold);

/** Copies the verdict on the note `id`. @return 0 or PPS_ENOTFOUND */
int
pps_config_fold_verdict(const pps_config_fold_t *fold, pps_note_verdict_t *out,
                        const char *id);

/** Visits the stored verdicts, oldest first, until `visit` returns non-zero.
 * @return 0 or that non-zero result */
int
pps_config_fold_verdict_foreach(const pps_config_fold_t *fold,
                                int (*visit)(const pps_note_verdict_t *,
                                             void *),
                                void *user);

/**
 * Encodes the state as a checkpoint payload. Equal states have equal bytes,
 * so that a checkpoint at an offset has one possible content. The caller frees
 * `*out` with free().
 */
int
pps_config_fold_checkpoint(const pps_config_fold_t *fold, void **out,
                           size_t *size);

/**
 * Creates a fold from a checkpoint payload.
 * @return 0; PPS_ECORRUPT: the checksum or the encoding is invalid; PPS_ENOMEM
 */
int
pps_config_fold_restore(pps_config_fold_t **out, const void *payload,
                        size_t size);

/**
 * Reads the offset of the first record to fold after a restore, without
 * restoring. A starting host needs a checkpoint whose offset the log retains.
 * @return 0 or PPS_ECORRUPT
 */
int
pps_config_checkpoint_next(uint64_t *out, const void *payload, size_t size);

/**
 * Returns the digest of the state for comparing hosts. It does not cover the
 * offset, so that a record without effect does not change it.
 */
uint64_t
pps_config_fold_digest(const pps_config_fold_t *fold);

/** Returns the count of skipped records: corrupt ones, those of an unknown
 * kind and notes without an id. */
uint64_t
pps_config_fold_skipped(const pps_config_fold_t *fold);

/** Returns the count of ignored notes whose id already had a verdict. */
uint64_t
pps_config_fold_repeated(const pps_config_fold_t *fold);

/** Returns the count of checkpoints that differ from the fold's state. */
uint64_t
pps_config_fold_mismatches(const pps_config_fold_t *fold);

#endif
