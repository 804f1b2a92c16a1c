/**
 * @file verdict.h
 * @brief Counts the results of a version that is rolled out and evaluates
 * them. Does no I/O and reads no clock.
 *
 * Two questions are separate: whether the results show that the target is bad,
 * and whether they show that it is sound. As long as neither is shown, the
 * target is unproven. Soundness has to be shown for each usual kind of request
 * and for workers that are loaded, since a version may fail only there.
 */
#ifndef PPS_ROLLOUT_VERDICT_H
#define PPS_ROLLOUT_VERDICT_H

#include <stddef.h>
#include <stdint.h>

/** Kinds of request counted separately: the class of the route modulo this. */
#define PPS_ROLLOUT_KINDS 8
/** Requests per slot from which a worker counts as loaded, and up to which the
 * times of its answers are judged: above, a sound version is slower, too. */
#define PPS_ROLLOUT_LOADED 0.75
#define PPS_ROLLOUT_LIGHT 0.5

/** Results of the target or the baseline for one kind of request. A request
 * that still waits counts as a slow answer once it is late. */
typedef struct {
    uint32_t answers; /**< including failed and slow ones */
    uint32_t failures;
    uint32_t timed;         /**< answers with a time to the first byte */
    uint64_t first_byte_us; /**< sum of these times, without the time that
                                 reading the prompts usually takes */
    uint32_t judged;        /**< answers whose time was judged */
    uint32_t slow;          /**< of these, those much slower than usual */
    uint32_t scored;        /**< answers whose time to the first byte has a
                                 score, see usual_times.h */
    int64_t score_milli;    /**< sum of the scores, in thousandths */
} pps_rollout_count_t;

/** Results since the roll-out began. */
typedef struct {
    pps_rollout_count_t baseline[PPS_ROLLOUT_KINDS]; /**< other versions */
    pps_rollout_count_t target[PPS_ROLLOUT_KINDS];
    /** Of all kinds, at workers that were loaded. */
    pps_rollout_count_t loaded_baseline;
    pps_rollout_count_t loaded_target;
    uint32_t requests; /**< calls sent to workers of the upstream */
    uint32_t exposed;  /**< calls sent to the target */
} pps_rollout_tally_t;

/** How a request ended, or what is known of it so far. */
typedef enum {
    PPS_ROLLOUT_GOOD,
    PPS_ROLLOUT_FAILED,
    PPS_ROLLOUT_SLOW,
} pps_rollout_result_t;

/** Which counts a request belongs to. */
typedef struct {
    int on_target;
    int is_loaded; /**< its worker has PPS_ROLLOUT_LOADED or more */
    int is_light;  /**< its worker has less than PPS_ROLLOUT_LIGHT */
    size_t kind;   /**< below PPS_ROLLOUT_KINDS */
} pps_rollout_sample_t;

/** Counts a request with its result. */
void
pps_rollout_tally_count(pps_rollout_tally_t *tally,
                        const pps_rollout_sample_t *sample,
                        pps_rollout_result_t result);

/** Corrects the result of a request that was counted as good. */
void
pps_rollout_tally_correct(pps_rollout_tally_t *tally,
                          const pps_rollout_sample_t *sample,
                          pps_rollout_result_t result);

/** Adds the time to the first byte of an answer, without the time that reading
 * its prompt usually takes. */
void
pps_rollout_tally_time(pps_rollout_tally_t *tally,
                       const pps_rollout_sample_t *sample,
                       int64_t first_byte_us);

/** Adds the score of the time to the first byte, which may still pass. */
void
pps_rollout_tally_score(pps_rollout_tally_t *tally,
                        const pps_rollout_sample_t *sample, double score);

/** Adds `tally` to `sum`. */
void
pps_rollout_tally_add(pps_rollout_tally_t *sum,
                      const pps_rollout_tally_t *tally);

/** Returns a number that grows with each change of a tally, so that the later
 * one of two tallies of a process is the one with the larger number. */
uint64_t
pps_rollout_tally_progress(const pps_rollout_tally_t *tally);

/** Returns the results of all kinds of request together. */
pps_rollout_count_t
pps_rollout_sum_kinds(const pps_rollout_count_t *counts);

/** Returns whether the target is much slower than the baseline in a kind of
 * request, or has clearly more failures and slow answers in a kind, at loaded
 * workers or in all. */
int
pps_rollout_is_bad(const pps_rollout_tally_t *tally);

/** Returns whether the results speak against a bad target strongly enough, in
 * all and in each usual kind of request. */
int
pps_rollout_is_clean(const pps_rollout_tally_t *tally);

/** Returns whether the target is clean, and sound at loaded workers. */
int
pps_rollout_is_sound(const pps_rollout_tally_t *tally);

#endif
