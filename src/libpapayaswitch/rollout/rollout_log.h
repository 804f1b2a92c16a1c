/**
 * @file rollout_log.h
 * @brief Log lines of roll-outs.
 */
#ifndef PPS_ROLLOUT_ROLLOUT_LOG_H
#define PPS_ROLLOUT_ROLLOUT_LOG_H

#include "rollout.h"

/** What one host sees of a roll-out beside the counted results. */
typedef struct {
    unsigned int waiting;     /**< calls to the target without an answer yet */
    int64_t longest_wait_us;  /**< of these calls */
    double target_load;       /**< requests per slot of the target's busiest
                                   worker */
    int64_t oldest_report_us; /**< age of the oldest report of a live host */
    unsigned int unheard_hosts; /**< live hosts that have not told of it
                                     lately */
} pps_rollout_view_t;

/** Where a change of a roll-out comes from. */
typedef struct {
    const char *from; /**< address of the host that told of it, "store", or
                           "self" */
    int64_t now_us;
    size_t processes; /**< whose counts the results are the sum of */
} pps_rollout_source_t;

/** Logs a change of a roll-out with the results that it rests on. */
void
pps_rollout_log(const char *event, const pps_rollout_t *rollout,
                const pps_rollout_tally_t *tally,
                const pps_rollout_source_t *source);

/** Logs the evidence that a roll-out is judged by at a moment. */
void
pps_rollout_log_evidence(const pps_rollout_t *rollout,
                         const pps_rollout_tally_t *tally,
                         const pps_rollout_view_t *view);

#endif
