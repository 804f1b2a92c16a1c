/**
 * @file config_fold.h
 * @brief Folds the config stream to the catalog in force.
 *
 * Every host folds the same records to the same state. The state is pure: no
 * clock, no I/O. Used from one thread.
 */
#ifndef PAPAYASWITCH_CONFIG_FOLD_H
#define PAPAYASWITCH_CONFIG_FOLD_H

#include "papayaswitch/catalog.h"
#include "papayaswitch/log_backend.h"

/** What became of a note. */
typedef struct {
    char id[PPS_NAME_MAX + 1];
    int accepted;
    uint64_t offset;   /**< offset of the record that decided it */
    uint64_t revision; /**< when accepted, the revision that it made */
    uint64_t digest;   /**< pps_note_digest() of the text that was judged */
    char reason[200];  /**< when rejected, why; a conflict names the winner */
} pps_note_verdict_t;

/** Folded config stream. */
typedef struct pps_config_fold pps_config_fold_t;

int
pps_config_fold_new(pps_config_fold_t **out);
void
pps_config_fold_free(pps_config_fold_t *fold);

/**
 * Folds the record at `entry->offset`, which must be pps_config_fold_next().
 * A corrupt record or one of an unknown kind is counted and skipped. A note
 * whose id has a verdict is the same note again. A checkpoint is compared
 * with the own state at its offset and never adopted.
 * @return 0; PPS_EINVALID when the offset is not the next one; PPS_ENOMEM
 */
int
pps_config_fold_apply(pps_config_fold_t *fold, const pps_log_entry_t *entry);

/** Offset of the next record to fold. */
uint64_t
pps_config_fold_next(const pps_config_fold_t *fold);

/** The catalog in force; owned by the fold, take a reference to keep it. */
const pps_catalog_t *
pps_config_fold_catalog(const pps_config_fold_t *fold);

/** The verdict on a note. @return 0 or PPS_ENOTFOUND */
int
pps_config_fold_verdict(const pps_config_fold_t *fold, pps_note_verdict_t *out,
                        const char *id);

/** Visits the remembered verdicts, oldest first. */
int
pps_config_fold_verdict_foreach(const pps_config_fold_t *fold,
                                int (*visit)(const pps_note_verdict_t *,
                                             void *),
                                void *user);

/**
 * Encodes the state as a checkpoint payload. Equal states have equal bytes:
 * a checkpoint at offset N has one possible content. free() by the caller.
 */
int
pps_config_fold_checkpoint(const pps_config_fold_t *fold, void **out,
                           size_t *size);

/**
 * Makes a fold from a checkpoint payload.
 * @return 0; PPS_ECORRUPT when the digest or the encoding does not hold
 */
int
pps_config_fold_restore(pps_config_fold_t **out, const void *payload,
                        size_t size);

/**
 * The offset to fold on from after pps_config_fold_restore(), without
 * restoring: a starter needs a checkpoint whose offset the log still keeps.
 * @return 0 or PPS_ECORRUPT
 */
int
pps_config_checkpoint_next(uint64_t *out, const void *payload, size_t size);

/**
 * Digest of the state, to compare hosts. The offset is no part of it: records
 * that change nothing leave it as it is.
 */
uint64_t
pps_config_fold_digest(const pps_config_fold_t *fold);

/** Records skipped as corrupt or unknown so far. */
uint64_t
pps_config_fold_skipped(const pps_config_fold_t *fold);

/** Notes met again after their verdict so far. */
uint64_t
pps_config_fold_repeated(const pps_config_fold_t *fold);

/** Checkpoints so far that differed from the own state at their offset. */
uint64_t
pps_config_fold_mismatches(const pps_config_fold_t *fold);

#endif
