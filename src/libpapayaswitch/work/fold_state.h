/**
 * @file fold_state.h
 * @brief State of the fold of the stream `work`, shared by its source files.
 *
 * Each list is ordered by the last record on its members, which makes the
 * checkpoint canonical without sorting. Expired entries count as absent, even
 * before they are removed from memory.
 */
#ifndef PPS_WORK_FOLD_STATE_H
#define PPS_WORK_FOLD_STATE_H

#include "clock.h"
#include "papayaswitch/work_fold.h"
#include "table.h"

#include <urcu/list.h>

/** Maximum number of touches that a host writes in a session's idle time. */
#define PPS_TOUCH_DIVISOR 4
/** Longest expected delay of a touch until it is in the log. */
#define PPS_TOUCH_DELAY_US (2 * PPS_US_PER_S)

/** Longest table name in bytes: workspace, zero byte, key, zero byte. */
#define PPS_FOLD_NAME_MAX (PPS_NAME_MAX + PPS_WORK_KEY_MAX + 2)

/** A host that has written claims. */
typedef struct {
    char name[PPS_NAME_MAX + 1];
    uint64_t incarnation; /**< highest seen in its claims */
    int64_t time_us;      /**< log time of its last claim */
    size_t claims;        /**< number of keys that it holds */
    struct cds_list_head node;
    pps_table_item_t item;
} pps_fold_host_t;

/** Outcome kept with a claim. */
typedef struct {
    int status;
    char content_type[PPS_CONTENT_TYPE_MAX + 1];
    void *body;
    size_t body_size;
    uint8_t body_digest[PPS_BODY_DIGEST_SIZE];
} pps_fold_outcome_t;

/** A held key. */
typedef struct {
    pps_claim_state_t state;
    uint64_t offset;
    uint64_t incarnation;
    uint64_t attempt;
    int64_t time_us; /**< log time of its last record */
    pps_fold_host_t *host;
    uint8_t digest[PPS_BODY_DIGEST_SIZE];
    pps_fold_outcome_t *outcome; /**< NULL until completed */
    struct cds_list_head node;
    pps_table_item_t item;
    size_t name_size;
    char name[];
} pps_fold_claim_t;

/** A session's pin. */
typedef struct {
    char version[PPS_NAME_MAX + 1];
    uint64_t offset;
    uint32_t idle_s;
    int64_t time_us; /**< log time of the last pin or touch */
    struct cds_list_head node;
    pps_table_item_t item;
    size_t name_size;
    char name[];
} pps_fold_pin_t;

/** Checkpoint whose parts are being read. */
typedef struct {
    uint64_t next;
    uint64_t digest;
    uint64_t parts; /**< parts read so far, in order */
} pps_checkpoint_progress_t;

struct pps_work_fold {
    int64_t retention_us;
    uint64_t next; /**< offset of the next record */
    int64_t log_time_us;
    int64_t last_sweep_us; /**< log time of the last sweep() */
    uint64_t skipped;
    pps_checkpoint_progress_t progress;
    uint64_t checkpoint_next; /**< first offset that no checkpoint covers */
    int64_t checkpoint_time_us;
    pps_table_t hosts;
    pps_table_t claims;
    pps_table_t pins;
    struct cds_list_head host_list;
    struct cds_list_head claim_list;
    struct cds_list_head pin_list;
};

/** Writes the table name of (workspace, key). @return its size in bytes */
size_t
pps_fold_build_name(char out[PPS_FOLD_NAME_MAX], const char *workspace,
                    const char *key);

/** Finds or adds a host by name; NULL when out of memory. */
pps_fold_host_t *
pps_fold_host_intern(pps_work_fold_t *fold, const char *name);
/** Records a claim of the host at the current log time.
 * @return 0, or 1 without a change when a later incarnation has claimed */
int
pps_fold_host_record_claim(pps_work_fold_t *fold, pps_fold_host_t *host,
                           uint64_t incarnation);
/** Returns whether the host holds no key and its last claim has expired. */
int
pps_fold_host_is_expired(const pps_work_fold_t *fold,
                         const pps_fold_host_t *host);
void
pps_fold_host_remove(pps_work_fold_t *fold, pps_fold_host_t *host);

/** Adds a held claim at the end of the list; NULL when out of memory. */
pps_fold_claim_t *
pps_fold_claim_add(pps_work_fold_t *fold, const char *name, size_t name_size,
                   pps_fold_host_t *host);
pps_fold_claim_t *
pps_fold_claim_find(const pps_work_fold_t *fold, const char *workspace,
                    const char *key);
void
pps_fold_claim_remove(pps_work_fold_t *fold, pps_fold_claim_t *claim);
/** Applies a claim; sets `*won` to whether it holds its key now.
 * @return 0 or PPS_ENOMEM */
int
pps_fold_claim_apply(pps_work_fold_t *fold, uint64_t offset,
                     const pps_claim_t *claim, int *won);
/** Applies an outcome; takes ownership of its body. @return 0 or PPS_ENOMEM */
int
pps_fold_outcome_apply(pps_work_fold_t *fold, const pps_outcome_t *outcome);
/** Removes claims past the retention. */
void
pps_fold_claims_expire(pps_work_fold_t *fold);

/** Adds a pin at the end of the list and removes one of the same name; NULL
 * when out of memory. */
pps_fold_pin_t *
pps_fold_pin_add(pps_work_fold_t *fold, const char *name, size_t name_size);
/** Finds a pin that has not expired; it may have ended. */
pps_fold_pin_t *
pps_fold_pin_find(const pps_work_fold_t *fold, const char *workspace,
                  const char *session);
void
pps_fold_pin_remove(pps_work_fold_t *fold, pps_fold_pin_t *pin);
/** Returns whether the pin can no longer be renewed by a touch. */
int
pps_fold_pin_is_expired(const pps_work_fold_t *fold,
                        const pps_fold_pin_t *pin);
/** Returns whether idle time and touch delay have passed at `log_time_us`. */
int
pps_fold_pin_has_ended(const pps_fold_pin_t *pin, int64_t log_time_us);
int
pps_fold_pin_apply(pps_work_fold_t *fold, uint64_t offset,
                   const pps_pin_t *proposal);
void
pps_fold_touch_apply(pps_work_fold_t *fold, const pps_touch_t *touch);

/** Encodes the state. The caller frees `*out` with free(). */
int
pps_fold_encode(const pps_work_fold_t *fold, void **out, size_t *size);
/** Creates a fold from encoded state. @return 0, PPS_ECORRUPT or PPS_ENOMEM */
int
pps_fold_decode(pps_work_fold_t **out, const void *data, size_t size);

/** One part of a checkpoint. */
typedef struct {
    uint64_t next;
    uint64_t digest; /**< digest of the complete encoded state */
    uint64_t index;
    uint64_t count;
    int64_t time_us;
    const void *data; /**< points into the payload */
    size_t size;
} pps_fold_part_t;

/** Decodes a part. @return 0 or PPS_ECORRUPT */
int
pps_fold_part_decode(pps_fold_part_t *out, const void *payload, size_t size);

#endif
