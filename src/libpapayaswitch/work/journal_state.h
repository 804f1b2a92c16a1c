/** @file journal_state.h @brief State of a journal, shared by its files. */
#ifndef PPS_WORK_JOURNAL_STATE_H
#define PPS_WORK_JOURNAL_STATE_H

#include "fold_state.h"
#include "papayaswitch/journal.h"

#include <pthread.h>
#include <urcu/list.h>

/** Kind of decision that a caller waits for. */
typedef enum {
    PPS_WAIT_CLAIM,
    PPS_WAIT_PIN,
} pps_wait_kind_t;

/** A waiting caller; allocated on its stack. */
typedef struct {
    struct cds_list_head node;
    pps_wait_kind_t kind;
    uint64_t attempt;
    const char *workspace;
    const char *name; /**< key or session */
    const uint8_t *digest;
    int decided;
    int result;
    pps_verdict_t *verdict;
    char *version;
    pthread_cond_t cond;
} pps_waiter_t;

/** An outcome that is not yet in the log. */
typedef struct {
    struct cds_list_head node;
    char workspace[PPS_NAME_MAX + 1];
    char key[PPS_WORK_KEY_MAX + 1];
    uint64_t claim_offset;
    pps_outcome_state_t state;
    uint64_t id;
    int in_flight;        /**< whether an append is queued or running */
    int64_t attempted_us; /**< time of the last attempt to append */
    void *data;           /**< the encoded record */
    size_t size;
} pps_pending_t;

/** A session in use on this host. */
typedef struct {
    pps_table_item_t item;
    struct cds_list_head node;
    pps_touch_t touch;
    int64_t idle_us;
    int64_t sent_us; /**< time of the last queued touch; 0: never */
    int queued;      /**< whether a touch is due */
    size_t name_size;
    char name[];
} pps_session_use_t;

/** A copy of pps_journal_host_t. */
typedef struct {
    char name[PPS_NAME_MAX + 1];
    uint64_t incarnation;
} pps_present_host_t;

struct pps_journal {
    pthread_mutex_t mutex;
    pthread_cond_t head_read; /**< signals lookups after a read */
    pps_journal_options_t options;
    char host[PPS_NAME_MAX + 1];
    pps_appender_t *appender;
    pps_work_fold_t *fold;
    uint64_t last_attempt;
    uint64_t last_pending;
    struct cds_list_head waiters;
    struct cds_list_head pending;
    size_t pending_count;
    pps_table_t uses;
    struct cds_list_head use_list;
    pps_present_host_t *present; /**< NULL: not set yet */
    size_t present_count;
    int checkpoint_queued;      /**< parts queued, not yet appended */
    int64_t checkpoint_seen_us; /**< time of start, restore or checkpoint */
    uint64_t log_first;         /**< first offset that the log keeps */
    int64_t head_read_us; /**< start of the newest read folded to the head */
    int64_t stagger_us;   /**< this host's delay of checkpoints */
    uint64_t stagger_records;
};

/** Queues an outcome. Mutex held. @return 0, PPS_ELIMIT or PPS_ENOMEM */
int
pps_pending_add(pps_journal_t *journal, const pps_outcome_t *outcome);
/** Removes outcomes that can no longer change the fold; repeats failed
 * appends. Mutex held. */
void
pps_pending_retry(pps_journal_t *journal, int64_t now_us);
void
pps_pending_clear(pps_journal_t *journal);

/** Writes due touches and removes idle sessions. Mutex held. */
void
pps_uses_flush(pps_journal_t *journal, int64_t now_us);
void
pps_uses_clear(pps_journal_t *journal);

/** Returns whether the incarnation that holds a claim may still finish it. */
int
pps_holder_is_present(const pps_journal_t *journal,
                      const pps_held_claim_t *held);

/** Fills a verdict from a held key; PPS_VERDICT_MISMATCH when `digest` is not
 * NULL and differs. @return 0 or PPS_ENOMEM */
int
pps_verdict_copy(pps_verdict_t *out, const pps_journal_t *journal,
                 const pps_held_claim_t *held, const uint8_t *digest);

#endif
