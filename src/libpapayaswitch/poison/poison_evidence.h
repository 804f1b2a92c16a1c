/**
 * @file poison_evidence.h
 * @brief What speaks for and against one key being the cause of crashes.
 *
 * A key names something that requests have in common and that is sent to
 * workers. If it is the cause, each worker that begins an answer with it ends;
 * an answer that goes on shows that it is not. Evidence of several hosts is
 * merged by union, so that neither order nor repetition matters.
 */
#ifndef PPS_POISON_POISON_EVIDENCE_H
#define PPS_POISON_POISON_EVIDENCE_H

#include <stddef.h>
#include <stdint.h>

/** Number of crashes that are kept for a key, the newest ones. */
#define PPS_POISON_CRASHES_MAX 8

/** An end of a worker while an answer with the key was beginning. */
typedef struct {
    uint64_t id;      /**< of the worker, its start as the host knew it, and
                           the number of the crash by that start */
    int64_t begun_us; /**< when the answer began */
    int64_t at_us;    /**< when it broke off */
    uint64_t worker;  /**< digest of the worker's name; 0: not told, or the
                           worker may have ended before the request was sent
                           to it, so that `id` alone says which crash it is */
} pps_poison_crash_t;

/** Evidence on one key. Times are those of this host's clock; they are
 * negative if the host started later. */
typedef struct {
    uint64_t key;
    int64_t good_us; /**< latest begin of an answer that went on; 0: none */
    int convicted;   /**< the crashes have sufficed once since `good_us` */
    int64_t ambiguous_us; /**< a record says that other keys may have caused
                               the crashes up to this time, and may be all that
                               is left of these; 0: none does */
    pps_poison_crash_t crashes[PPS_POISON_CRASHES_MAX]; /**< newest first */
    unsigned int crash_count;
} pps_poison_evidence_t;

/** Adds a crash unless it is known or an answer that began later went on.
 * @return whether it was added */
int
pps_poison_evidence_add_crash(pps_poison_evidence_t *evidence,
                              const pps_poison_crash_t *crash);

/** Notes that an answer that began at a time went on. Crashes of answers that
 * began before it no longer count. @return whether any was dropped */
int
pps_poison_evidence_add_good(pps_poison_evidence_t *evidence,
                             int64_t begun_us);

/** Adds what another host knows. @return whether it was new */
int
pps_poison_evidence_merge(pps_poison_evidence_t *evidence,
                          const pps_poison_evidence_t *other);

/** Copies evidence without the crashes that a record says are ambiguous.
 * @param out may be the evidence itself @return the number of crashes left */
unsigned int
pps_poison_evidence_without_ambiguous(pps_poison_evidence_t *out,
                                      const pps_poison_evidence_t *evidence);

/** Returns whether the crashes suffice to take the key for their cause:
 * independent ones of the last minutes. It takes more if an answer with the
 * key is known to have gone on before. */
int
pps_poison_evidence_suffices(const pps_poison_evidence_t *evidence);

/** Convicts the key if its crashes suffice. @return whether it was convicted
 * just now */
int
pps_poison_evidence_convict(pps_poison_evidence_t *evidence);

/** Returns whether requests with the key are to be kept from workers. The
 * conviction rests some time after the last crash; then one more crash
 * suffices. */
int
pps_poison_evidence_is_suspect(const pps_poison_evidence_t *evidence,
                               int64_t now_us);

/** Returns the time for which the key stays suspect without a crash. */
int64_t
pps_poison_evidence_rest_us(const pps_poison_evidence_t *evidence,
                            int64_t now_us);

/** Returns whether nothing of the crashes needs to be kept any more. */
int
pps_poison_evidence_is_stale(const pps_poison_evidence_t *evidence,
                             int64_t now_us);

/** Returns whether a crash may be one of the key's. One that is older than the
 * oldest of a full list may have been one. */
int
pps_poison_evidence_may_have_crash(const pps_poison_evidence_t *evidence,
                                   const pps_poison_crash_t *crash);

/** Returns whether all crashes of a key may be among those of another one. */
int
pps_poison_evidence_covers(const pps_poison_evidence_t *evidence,
                           const pps_poison_evidence_t *covered);

#endif
