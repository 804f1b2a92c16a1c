/**
 * @file fold_state.h
 * @brief State of the fold of stream `work`, shared by its parts.
 *
 * Each list is in the order of the last record on its members, which makes
 * the checkpoint canonical without sorting. What is past its time counts as
 * absent, whether or not it has been removed from memory.
 */
#ifndef PPS_WORK_FOLD_STATE_H
#define PPS_WORK_FOLD_STATE_H

#include "clock.h"
#include "papayaswitch/work_fold.h"
#include "table.h"

#include <urcu/list.h>

/** A session is touched in the log once in this part of its idle time. */
#define PPS_TOUCH_DIVISOR 4
/** Longest usual delay of a touch on its way to the log. */
#define PPS_TOUCH_DELAY_US (2 * PPS_US_PER_S)

/** Longest name in a table: workspace, zero byte, key, zero byte. */
#define PPS_FOLD_NAME_MAX (PPS_NAME_MAX + PPS_WORK_KEY_MAX + 2)

/** A host that has claimed. */
typedef struct {
    char name[PPS_NAME_MAX + 1];
    uint64_t incarnation; /**< the highest seen */
    int64_t time_us;      /**< log time of its last claim */
    size_t claims;        /**< held claims that name it */
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

/** Parts of one checkpoint seen in order so far. */
typedef struct {
    uint64_t next;
    uint64_t digest;
    uint64_t parts;
} pps_checkpoint_progress_t;

struct pps_work_fold {
    int64_t keep_us;
    uint64_t next;
    int64_t log_time_us;
    int64_t swept_us;
    uint64_t skipped;
    pps_checkpoint_progress_t seen;
    uint64_t checkpoint_next;
    int64_t checkpoint_time_us;
    pps_table_t hosts;
    pps_table_t claims;
    pps_table_t pins;
    struct cds_list_head host_list;
    struct cds_list_head claim_list;
    struct cds_list_head pin_list;
};

/** Writes the name of (workspace, key). @return its size, zero bytes included
 */
size_t
pps_fold_build_name(char out[PPS_FOLD_NAME_MAX], const char *workspace,
                    const char *key);

/** The host of that name, made when missing; NULL when out of memory. */
pps_fold_host_t *
pps_fold_host_intern(pps_work_fold_t *fold, const char *name);
/** Notes a claim by the host. @return 1 when a later incarnation was seen */
int
pps_fold_host_record_claim(pps_work_fold_t *fold, pps_fold_host_t *host,
                           uint64_t incarnation);
/** Whether the host is past its time. */
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
/** Applies a claim or an outcome record. @return 0 or PPS_ENOMEM */
int
pps_fold_claim_apply(pps_work_fold_t *fold, uint64_t offset,
                     const pps_claim_t *claim, int *won);
/** Takes over `outcome->body`. */
int
pps_fold_outcome_apply(pps_work_fold_t *fold, const pps_outcome_t *outcome);
/** Removes claims past their time. */
void
pps_fold_claims_expire(pps_work_fold_t *fold);

/** Adds a pin at the end of the list; NULL when out of memory. */
pps_fold_pin_t *
pps_fold_pin_add(pps_work_fold_t *fold, const char *name, size_t name_size);
/** The pin, ended or not, unless it is past its time altogether. */
pps_fold_pin_t *
pps_fold_pin_find(const pps_work_fold_t *fold, const char *workspace,
                  const char *session);
void
pps_fold_pin_remove(pps_work_fold_t *fold, pps_fold_pin_t *pin);
int
pps_fold_pin_is_expired(const pps_work_fold_t *fold,
                        const pps_fold_pin_t *pin);
int
pps_fold_pin_has_ended(const pps_fold_pin_t *pin, int64_t log_time_us);
int
pps_fold_pin_apply(pps_work_fold_t *fold, uint64_t offset,
                   const pps_pin_t *wanted);
void
pps_fold_touch_apply(pps_work_fold_t *fold, const pps_touch_t *touch);

/** Encodes the state; `*out` is freed with free(). */
int
pps_fold_encode(const pps_work_fold_t *fold, void **out, size_t *size);
/** Makes a fold of encoded state. @return 0, PPS_ECORRUPT or PPS_ENOMEM */
int
pps_fold_decode(pps_work_fold_t **out, const void *data, size_t size);

/** Header of one part of a checkpoint. */
typedef struct {
    uint64_t next;
    uint64_t digest; /**< of the whole encoded state */
    uint64_t index;
    uint64_t count;
    int64_t time_us;
    const void *data; /**< into the payload */
    size_t size;
} pps_fold_part_t;

/** Decodes a part. @return 0 or PPS_ECORRUPT */
int
pps_fold_part_decode(pps_fold_part_t *out, const void *payload, size_t size);

#endif
