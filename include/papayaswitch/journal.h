/**
 * @file journal.h
 * @brief What traffic threads ask of the stream `work`.
 *
 * A claim is appended and the stream folded up to it before anything is run;
 * the first claim in the log's order is granted. The control thread hands
 * over the entries of the stream; traffic threads wait for it.
 */
#ifndef PAPAYASWITCH_JOURNAL_H
#define PAPAYASWITCH_JOURNAL_H

#include "papayaswitch/appender.h"
#include "papayaswitch/work_fold.h"

#define PPS_JOURNAL_OPTIONS_VERSION 1

/** Settings of a journal. */
typedef struct {
    unsigned int version;
    const char *host;     /**< this host's name; copied */
    uint64_t incarnation; /**< rises with each start of this host */
    pps_appender_options_t appender;
    pps_work_fold_options_t fold;
    /** Longest wait for the decision on a claim or a pin, microseconds. */
    int64_t decision_timeout_us;
    /** Outcomes and releases that the log has not taken yet. */
    size_t pending_max;
    /** A checkpoint is due after this long, at most a quarter of the log's
     * retention, or after so many records. */
    uint32_t checkpoint_s;
    uint64_t checkpoint_records;
} pps_journal_options_t;

#define PPS_JOURNAL_OPTIONS_INIT                                              \
    {                                                                         \
        PPS_JOURNAL_OPTIONS_VERSION, "", 1, PPS_APPENDER_OPTIONS_INIT,        \
            PPS_WORK_FOLD_OPTIONS_INIT, 1000 * 1000, 100000, 600, 50000       \
    }

/** Decision on a claim. */
typedef enum {
    PPS_VERDICT_GRANTED,     /**< run it now, once */
    PPS_VERDICT_DONE,        /**< was run; the answer is in the result */
    PPS_VERDICT_IN_PROGRESS, /**< another request runs it */
    PPS_VERDICT_UNKNOWN,     /**< was claimed; outcome never known */
    PPS_VERDICT_MISMATCH,    /**< the key was used with another body */
} pps_verdict_kind_t;

/** Decision on a claim, with what it names. */
typedef struct {
    pps_verdict_kind_t kind;
    uint64_t fencing; /**< offset of the claim that holds the key */
    int status;       /**< DONE: HTTP status */
    char content_type[PPS_CONTENT_TYPE_MAX + 1];
    void *body; /**< DONE: NULL when it was too large to keep */
    size_t body_size;
} pps_verdict_t;

/** A host that may still finish what it has claimed. */
typedef struct {
    const char *name;
    uint64_t incarnation; /**< the one that was heard; 0: none */
} pps_journal_host_t;

/** The stream `work` as this host sees and writes it. */
typedef struct pps_journal pps_journal_t;

/** Starts the appender's thread. The backend must outlive the journal. */
int
pps_journal_new(pps_journal_t **out, pps_log_backend_t *backend,
                const pps_journal_options_t *options);

/** No caller may be inside. Appends what is queued. */
void
pps_journal_free(pps_journal_t *journal);

/** Frees what a verdict holds. */
void
pps_verdict_clear(pps_verdict_t *verdict);

/**
 * Claims the right to run a request; blocks until decided, at most until
 * `deadline_us` and the journal's own bound. Whatever the error, this request
 * holds no claim and must not be run: it was not run.
 *
 * @return 0 with a verdict; PPS_EUNAVAILABLE: surely not claimed;
 *         PPS_EUNKNOWN: the claim may appear, and is then released;
 *         PPS_ELIMIT: too much waits for the log; PPS_ECLOSED; PPS_ENOMEM;
 *         PPS_EINVALID: a name is too long
 */
int
pps_journal_claim(pps_verdict_t *out, pps_journal_t *journal,
                  const char *workspace, const char *key,
                  const uint8_t digest[PPS_BODY_DIGEST_SIZE],
                  const char *request_id, int64_t deadline_us);

/**
 * Writes what became of a granted claim. Returns at once; the journal repeats
 * the append until the log shows it. The body is copied.
 * @return 0; PPS_ELIMIT; PPS_ENOMEM
 */
int
pps_journal_record_outcome(pps_journal_t *journal,
                           const pps_outcome_t *outcome);

/**
 * What is known of a key, without claiming. Before it says that nothing is,
 * it waits for a read of the log's head that began after this call, at most
 * for twice the bound of a decision.
 * @return 0; PPS_ENOTFOUND: no claim held it at the start of this call;
 *         PPS_EUNKNOWN: the log could not be read; PPS_ENOMEM
 */
int
pps_journal_lookup(pps_verdict_t *out, pps_journal_t *journal,
                   const char *workspace, const char *key);

/**
 * Pins a session's version; the first pin in the log's order wins.
 * @param version in: the proposal; out: the winner; PPS_NAME_MAX + 1 bytes
 * @return as pps_journal_claim(); on an error no version is known
 */
int
pps_journal_pin(char *version, pps_journal_t *journal, const char *workspace,
                const char *session, uint32_t idle_s, int64_t deadline_us);

/** The version that a session is pinned to. @return 0 or PPS_ENOTFOUND */
int
pps_journal_get_pin(char *version, pps_journal_t *journal,
                    const char *workspace, const char *session);

/**
 * Notes that a session is in use; written coarsely, at most once in a quarter
 * of its idle time. @return 0; PPS_ENOTFOUND without a pin; PPS_ENOMEM
 */
int
pps_journal_touch(pps_journal_t *journal, const char *workspace,
                  const char *session);

/** Folds entries of the stream, in order; control thread. */
int
pps_journal_fold(pps_journal_t *journal, const pps_log_entry_t *entries,
                 size_t count);

/** Offset of the next entry to fold. */
uint64_t
pps_journal_next(pps_journal_t *journal);

/**
 * Tells what a read of the log has shown, after its entries were folded.
 * @param first first offset that the log keeps
 * @param head offset behind the last record at `read_us`
 * @param read_us when the read was sent
 */
void
pps_journal_on_read(pps_journal_t *journal, uint64_t first, uint64_t head,
                    int64_t read_us);

/**
 * Tells which hosts are present. Callers who ask for a claim of any other
 * host, or of an earlier incarnation, learn PPS_VERDICT_UNKNOWN in place of
 * PPS_VERDICT_IN_PROGRESS; who may run it does not depend on it. Until the
 * first call all are taken to be present.
 * @return 0 or PPS_ENOMEM
 */
int
pps_journal_set_present_hosts(pps_journal_t *journal,
                              const pps_journal_host_t *hosts, size_t count);

/** Replaces the state by a restored one, which is taken over. */
void
pps_journal_restore(pps_journal_t *journal, pps_work_fold_t *fold);

/** Writes again what failed, and the touches; control thread, each second. */
void
pps_journal_tick(pps_journal_t *journal);

/** Outcomes and releases that the log does not show yet. */
size_t
pps_journal_pending_count(pps_journal_t *journal);

/** Whether records would soon expire without a checkpoint after them. */
int
pps_journal_checkpoint_due(pps_journal_t *journal);

/** Queues a checkpoint of the state. @return 0 or as the appender */
int
pps_journal_checkpoint(pps_journal_t *journal);

/** What the appender has done. */
void
pps_journal_stats(pps_journal_t *journal, pps_appender_stats_t *out);

#endif
