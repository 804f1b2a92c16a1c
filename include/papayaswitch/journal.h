/**
 * @file journal.h
 * @brief Claims requests and pins sessions through the stream `work`, for the
 * traffic threads.
 *
 * A request runs only after its claim has been appended and folded; the first
 * claim in the log's order is granted. The control thread folds the entries of
 * the stream while traffic threads wait for the decision.
 */
#ifndef PAPAYASWITCH_JOURNAL_H
#define PAPAYASWITCH_JOURNAL_H

#include "papayaswitch/appender.h"
#include "papayaswitch/work_fold.h"

#define PPS_JOURNAL_OPTIONS_VERSION 1

/** Settings of a journal. */
typedef struct {
    unsigned int version;
    const char *host;     /**< name of this host; copied */
    uint64_t incarnation; /**< increases with each start of this host */
    pps_appender_options_t appender;
    pps_work_fold_options_t fold;
    /** Longest wait for the decision on a claim or a pin. */
    int64_t decision_timeout_us;
    /** Maximum number of outcomes and releases not yet in the log. */
    size_t pending_max;
    /** Age of the newest checkpoint at which the next is due, at most a
     * quarter of the log's retention; the host's stagger adds up to half. */
    uint32_t checkpoint_s;
    uint64_t checkpoint_records; /**< records until due; also staggered */
} pps_journal_options_t;

#define PPS_JOURNAL_OPTIONS_INIT                                              \
    {                                                                         \
        PPS_JOURNAL_OPTIONS_VERSION, "", 1, PPS_APPENDER_OPTIONS_INIT,        \
            PPS_WORK_FOLD_OPTIONS_INIT, 1000 * 1000, 100000, 600, 50000       \
    }

/** Decision on a claim. */
typedef enum {
    PPS_VERDICT_GRANTED,     /**< the caller must run the request, once */
    PPS_VERDICT_DONE,        /**< already run; the verdict has the answer */
    PPS_VERDICT_IN_PROGRESS, /**< claimed by another request, not finished */
    PPS_VERDICT_UNKNOWN,     /**< claimed before; the outcome is not known */
    PPS_VERDICT_MISMATCH,    /**< the key was used with another body */
} pps_verdict_kind_t;

/** Decision on a claim, with the answer if there is one. */
typedef struct {
    pps_verdict_kind_t kind;
    uint64_t fencing; /**< offset of the claim that holds the key */
    int status;       /**< DONE: HTTP status */
    char content_type[PPS_CONTENT_TYPE_MAX + 1];
    void *body; /**< DONE: NULL when too large to keep */
    size_t body_size;
} pps_verdict_t;

/** A host that may still finish the requests it has claimed. */
typedef struct {
    const char *name;
    uint64_t incarnation; /**< last one reported; 0: any is present */
} pps_journal_host_t;

/** This host's view of the stream `work` and its pending records. */
typedef struct pps_journal pps_journal_t;

/** Creates a journal and starts its appender. The backend must outlive it. */
int
pps_journal_new(pps_journal_t **out, pps_log_backend_t *backend,
                const pps_journal_options_t *options);

/** Appends the queued records once, stops the appender and frees the journal.
 * No other thread may be in a call on it. */
void
pps_journal_free(pps_journal_t *journal);

/** Frees the body of a verdict. */
void
pps_verdict_clear(pps_verdict_t *verdict);

/**
 * Claims the right to run a request. Blocks until the claim is decided, at
 * most until `deadline_us` (pps_clock_now_us()) and for `decision_timeout_us`.
 * After any error this request holds no claim, was not run and must not be
 * run.
 *
 * @return 0 with a verdict; PPS_EUNAVAILABLE: certainly not claimed;
 *         PPS_EUNKNOWN: the claim may still appear in the log and is then
 *         released; PPS_ELIMIT: the append queue is full; PPS_ECLOSED;
 *         PPS_ENOMEM; PPS_EINVALID: a name is empty or too long
 */
int
pps_journal_claim(pps_verdict_t *out, pps_journal_t *journal,
                  const char *workspace, const char *key,
                  const uint8_t digest[PPS_BODY_DIGEST_SIZE],
                  const char *request_id, int64_t deadline_us);

/**
 * Queues the outcome of a granted claim and returns without waiting. The
 * journal repeats the append until the outcome is in the log. Copies the body.
 * @return 0; PPS_ELIMIT; PPS_ENOMEM
 */
int
pps_journal_record_outcome(pps_journal_t *journal,
                           const pps_outcome_t *outcome);

/**
 * Looks up a key without claiming it. When no claim is known, waits for a read
 * of the log's head that began after this call, at most for twice
 * `decision_timeout_us`.
 * @return 0; PPS_ENOTFOUND: no claim held it at the start of this call;
 *         PPS_EUNKNOWN: the log was not read in time; PPS_ENOMEM
 */
int
pps_journal_lookup(pps_verdict_t *out, pps_journal_t *journal,
                   const char *workspace, const char *key);

/**
 * Pins a session's version; the first pin in the log's order wins.
 * @param version in: proposal; out: pinned version; PPS_NAME_MAX + 1 bytes
 * @return as pps_journal_claim(); after an error the pin is not known
 */
int
pps_journal_pin(char *version, pps_journal_t *journal, const char *workspace,
                const char *session, uint32_t idle_s, int64_t deadline_us);

/** Copies the version that a session is pinned to, up to PPS_NAME_MAX + 1
 * bytes, without waiting. @return 0 or PPS_ENOTFOUND */
int
pps_journal_get_pin(char *version, pps_journal_t *journal,
                    const char *workspace, const char *session);

/**
 * Records that a session is in use. Touches are written to the log at most
 * once in a quarter of the session's idle time.
 * @return 0; PPS_ENOTFOUND without a pin; PPS_ENOMEM
 */
int
pps_journal_touch(pps_journal_t *journal, const char *workspace,
                  const char *session);

/** Folds entries in order on the control thread, up to the first error.
 * @return as pps_work_fold_apply() */
int
pps_journal_fold(pps_journal_t *journal, const pps_log_entry_t *entries,
                 size_t count);

/** Returns the offset of the next entry to fold. */
uint64_t
pps_journal_next(pps_journal_t *journal);

/**
 * Records the range that a read of the log returned, after its entries were
 * folded.
 * @param first first offset that the log keeps
 * @param head offset after the last record at `read_us`
 * @param read_us time at which the read was sent
 */
void
pps_journal_on_read(pps_journal_t *journal, uint64_t first, uint64_t head,
                    int64_t read_us);

/**
 * Sets the hosts that are present; this host always is. Claims in progress of
 * an absent host, or of an earlier incarnation, are reported as
 * PPS_VERDICT_UNKNOWN; the grant of claims does not depend on it. All hosts
 * count as present until the first call.
 * @return 0 or PPS_ENOMEM
 */
int
pps_journal_set_present_hosts(pps_journal_t *journal,
                              const pps_journal_host_t *hosts, size_t count);

/** Replaces the folded state, takes ownership of `fold`. */
void
pps_journal_restore(pps_journal_t *journal, pps_work_fold_t *fold);

/** Retries failed appends and writes due touches. Called on the control thread
 * each second. */
void
pps_journal_tick(pps_journal_t *journal);

/** Retries failed appends; returns how many outcomes are not in the log. */
size_t
pps_journal_pending_count(pps_journal_t *journal);

/** Returns whether a checkpoint is due: by age or number of records, so that
 * no record expires uncovered, or because the log has dropped uncovered ones.
 */
int
pps_journal_checkpoint_due(pps_journal_t *journal);

/** Queues a checkpoint of the state. @return 0 or the appender's error */
int
pps_journal_checkpoint(pps_journal_t *journal);

/** Returns the appender's counts. */
void
pps_journal_stats(pps_journal_t *journal, pps_appender_stats_t *out);

#endif
