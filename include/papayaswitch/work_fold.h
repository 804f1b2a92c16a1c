/**
 * @file work_fold.h
 * @brief Folds the stream `work`: who may run what, and pins of sessions.
 *
 * The log's order decides: the first claim of a (workspace, key) holds it and
 * its offset is the fencing number. The state is pure: no clock, no I/O; time
 * is the log's own. Used from one thread.
 */
#ifndef PAPAYASWITCH_WORK_FOLD_H
#define PAPAYASWITCH_WORK_FOLD_H

#include "papayaswitch/log_backend.h"
#include "papayaswitch/work_record.h"

#define PPS_WORK_FOLD_OPTIONS_VERSION 1

/** How long things are remembered; alike on all hosts. */
typedef struct {
    unsigned int version;
    /** A claim is kept this long after its last record, in seconds. */
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
    PPS_CLAIM_UNKNOWN,     /**< held, and nobody will learn the outcome */
} pps_claim_state_t;

/** A held key. Pointers stay valid until the next change of the fold. */
typedef struct {
    pps_claim_state_t state;
    uint64_t offset; /**< of the claim that holds the key: fencing number */
    uint64_t incarnation;
    uint64_t attempt;
    const char *host;
    const uint8_t *digest; /**< of the request's body */
    int status;
    const char *content_type;
    const void *body; /**< NULL when there is none or it was not kept */
    size_t body_size;
    const uint8_t *body_digest;
} pps_held_claim_t;

/** A session's pin. Pointers stay valid until the next change. */
typedef struct {
    const char *version;
    uint64_t offset; /**< of the record that made the pin */
    uint32_t idle_s;
} pps_held_pin_t;

/** What a record did. */
typedef enum {
    PPS_WORK_NONE,
    PPS_WORK_CLAIM, /**< see `won` */
    PPS_WORK_OUTCOME,
    PPS_WORK_PIN,
    PPS_WORK_TOUCH,
    PPS_WORK_CHECKPOINT, /**< the last part of a whole checkpoint */
} pps_work_event_kind_t;

/** What the last applied record did. */
typedef struct {
    pps_work_event_kind_t kind;
    int won;           /**< of a claim: it holds its key now */
    pps_claim_t claim; /**< of a claim */
    pps_pin_t pin;     /**< of a pin: as written, not the winner */
} pps_work_event_t;

/** Folded stream. */
typedef struct pps_work_fold pps_work_fold_t;

/** A fold that has seen no record; NULL takes the usual options. */
int
pps_work_fold_new(pps_work_fold_t **out,
                  const pps_work_fold_options_t *options);
void
pps_work_fold_free(pps_work_fold_t *fold);

/**
 * Folds the record at `entry->offset`, which must be pps_work_fold_next().
 * A corrupt record or one of an unknown kind is counted and skipped.
 * @param event what the record did; may be NULL
 * @return 0; PPS_EINVALID when the offset is not the next one; PPS_ENOMEM
 */
int
pps_work_fold_apply(pps_work_fold_t *fold, const pps_log_entry_t *entry,
                    pps_work_event_t *event);

/** Offset of the next record to fold. */
uint64_t
pps_work_fold_next(const pps_work_fold_t *fold);

/** Highest time of the log seen so far, in microseconds. */
int64_t
pps_work_fold_log_time(const pps_work_fold_t *fold);

/** State of a key. @return 0 or PPS_ENOTFOUND when nobody holds it */
int
pps_work_fold_claim(const pps_work_fold_t *fold, pps_held_claim_t *out,
                    const char *workspace, const char *key);

/** A session's pin at `log_time_us`. @return 0 or PPS_ENOTFOUND */
int
pps_work_fold_pin(const pps_work_fold_t *fold, pps_held_pin_t *out,
                  const char *workspace, const char *session,
                  int64_t log_time_us);

/** Claims and pins held. */
size_t
pps_work_fold_claim_count(const pps_work_fold_t *fold);
size_t
pps_work_fold_pin_count(const pps_work_fold_t *fold);

/** Records skipped as corrupt or unknown so far. */
uint64_t
pps_work_fold_skipped(const pps_work_fold_t *fold);

/** Offset and log time that the newest whole checkpoint seen stands for. */
uint64_t
pps_work_fold_checkpoint_offset(const pps_work_fold_t *fold, int64_t *time_us);

/**
 * Hands the state over as payloads of kind PPS_RECORD_WORK_CHECKPOINT, in
 * order. Equal states give equal bytes.
 */
int
pps_work_fold_write_checkpoint(const pps_work_fold_t *fold,
                               int (*emit)(const void *payload, size_t size,
                                           void *user),
                               void *user);

/** Digest of the state, to compare hosts; 0 when out of memory. */
uint64_t
pps_work_fold_digest(const pps_work_fold_t *fold);

/** Gathers the parts of checkpoints from log entries. */
typedef struct pps_work_restorer pps_work_restorer_t;

int
pps_work_restorer_new(pps_work_restorer_t **out);
void
pps_work_restorer_free(pps_work_restorer_t *restorer);

/** Takes any entry of the stream; others than checkpoints are passed over. */
int
pps_work_restorer_feed(pps_work_restorer_t *restorer,
                       const pps_log_entry_t *entry);

/**
 * The fold of the newest whole checkpoint; reading goes on from
 * pps_work_fold_next().
 * @return 0; PPS_ENOTFOUND when no checkpoint was whole; PPS_ENOMEM
 */
int
pps_work_restorer_take(pps_work_restorer_t *restorer, pps_work_fold_t **out);

#endif
