/**
 * @file work_fold.h
 * @brief Folds the stream `work` into claims on requests and session pins.
 *
 * The first claim of a (workspace, key) in the log's order holds the key, and
 * its offset is the fencing number. The fold does no I/O and reads no clock:
 * it takes the time from the log entries. It is not thread-safe.
 */
#ifndef PAPAYASWITCH_WORK_FOLD_H
#define PAPAYASWITCH_WORK_FOLD_H

#include "papayaswitch/log_backend.h"
#include "papayaswitch/work_record.h"

#define PPS_WORK_FOLD_OPTIONS_VERSION 1

/** Settings of a fold; they must be equal on all hosts. */
typedef struct {
    unsigned int version;
    /** Time that a claim is kept after its last record, in seconds. */
    uint32_t retention_s;
} pps_work_fold_options_t;

#define PPS_WORK_FOLD_OPTIONS_INIT                                            \
    {                                                                         \
        PPS_WORK_FOLD_OPTIONS_VERSION, 24 * 60 * 60                           \
    }

/** State of a key. */
typedef enum {
    PPS_CLAIM_IN_PROGRESS, /**< held, no outcome yet */
    PPS_CLAIM_COMPLETED,   /**< held, the answer is known */
    PPS_CLAIM_UNKNOWN, /**< held; it may have run, the outcome is not known */
} pps_claim_state_t;

/** A held key. Its pointers are valid until the next change of the fold. */
typedef struct {
    pps_claim_state_t state;
    uint64_t offset; /**< offset of the claim: the fencing number */
    uint64_t incarnation;
    uint64_t attempt;
    const char *host;
    const uint8_t *digest; /**< digest of the request's body */
    int status;            /**< this and below: 0 or NULL unless COMPLETED */
    const char *content_type;
    const void *body; /**< NULL when there is none or it was not kept */
    size_t body_size;
    const uint8_t *body_digest;
} pps_held_claim_t;

/** A session's pin. Its pointers are valid until the next change. */
typedef struct {
    const char *version;
    uint64_t offset; /**< offset of the record that created the pin */
    uint32_t idle_s;
} pps_held_pin_t;

/** Effect of a record. */
typedef enum {
    PPS_WORK_NONE,
    PPS_WORK_CLAIM, /**< `won` and `claim` are set */
    PPS_WORK_OUTCOME,
    PPS_WORK_PIN, /**< `pin` is set */
    PPS_WORK_TOUCH,
    PPS_WORK_CHECKPOINT, /**< the last part of a complete checkpoint */
} pps_work_event_kind_t;

/** Effect of the last applied record. */
typedef struct {
    pps_work_event_kind_t kind;
    int won;           /**< whether the claim holds its key now */
    pps_claim_t claim; /**< the claim as written */
    pps_pin_t pin; /**< the pin as written; an earlier one may be in force */
} pps_work_event_t;

/** State folded from the stream. */
typedef struct pps_work_fold pps_work_fold_t;

/** Creates an empty fold; NULL selects the default options. */
int
pps_work_fold_new(pps_work_fold_t **out,
                  const pps_work_fold_options_t *options);
void
pps_work_fold_free(pps_work_fold_t *fold);

/**
 * Folds the record at `entry->offset`, which must be pps_work_fold_next().
 * A corrupt record or one of an unknown kind is counted and skipped.
 * @param event effect of the record; may be NULL
 * @return 0; PPS_EINVALID when the offset is not the next one; PPS_ENOMEM
 */
int
pps_work_fold_apply(pps_work_fold_t *fold, const pps_log_entry_t *entry,
                    pps_work_event_t *event);

/** Returns the offset of the next record to fold. */
uint64_t
pps_work_fold_next(const pps_work_fold_t *fold);

/** Returns the highest time of a folded log entry, in microseconds. */
int64_t
pps_work_fold_log_time(const pps_work_fold_t *fold);

/** Looks up the claim that holds a key. @return 0 or PPS_ENOTFOUND */
int
pps_work_fold_claim(const pps_work_fold_t *fold, pps_held_claim_t *out,
                    const char *workspace, const char *key);

/** Looks up a pin in force at `log_time_us`. @return 0 or PPS_ENOTFOUND */
int
pps_work_fold_pin(const pps_work_fold_t *fold, pps_held_pin_t *out,
                  const char *workspace, const char *session,
                  int64_t log_time_us);

/** Returns the number of claims or pins in memory, including ended pins. */
size_t
pps_work_fold_claim_count(const pps_work_fold_t *fold);
size_t
pps_work_fold_pin_count(const pps_work_fold_t *fold);

/** Returns the number of records skipped as corrupt or unknown. */
uint64_t
pps_work_fold_skipped(const pps_work_fold_t *fold);

/** Returns the offset up to which the newest complete checkpoint covers the
 * stream, and its log time through `time_us` unless that is NULL. */
uint64_t
pps_work_fold_checkpoint_offset(const pps_work_fold_t *fold, int64_t *time_us);

/**
 * Encodes the state into payloads of kind PPS_RECORD_WORK_CHECKPOINT and
 * passes them to `emit` in order. Equal states give equal bytes.
 * @return 0, PPS_ENOMEM or the first error of `emit`
 */
int
pps_work_fold_write_checkpoint(const pps_work_fold_t *fold,
                               int (*emit)(const void *payload, size_t size,
                                           void *user),
                               void *user);

/** Returns a digest of the state for comparing hosts; 0 when out of memory. */
uint64_t
pps_work_fold_digest(const pps_work_fold_t *fold);

/** Assembles checkpoints from the parts in log entries. */
typedef struct pps_work_restorer pps_work_restorer_t;

int
pps_work_restorer_new(pps_work_restorer_t **out);
void
pps_work_restorer_free(pps_work_restorer_t *restorer);

/** Reads a checkpoint part; ignores other records. @return 0 or PPS_ENOMEM */
int
pps_work_restorer_feed(pps_work_restorer_t *restorer,
                       const pps_log_entry_t *entry);

/**
 * Returns the fold of the newest complete checkpoint, which the caller owns.
 * The next record to fold is at its pps_work_fold_next().
 * @return 0, or PPS_ENOTFOUND when no checkpoint was complete
 */
int
pps_work_restorer_take(pps_work_restorer_t *restorer, pps_work_fold_t **out);

#endif
