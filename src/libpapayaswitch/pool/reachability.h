/**
 * @file reachability.h
 * @brief Detects that this host has lost its network path to the workers. Does
 * no I/O and reads no clock.
 *
 * Callers of such a host would wait for one connection timeout after another.
 * The host refuses them at once, so that they retry at another host, and
 * admits a probe call from time to time.
 */
#ifndef PPS_POOL_REACHABILITY_H
#define PPS_POOL_REACHABILITY_H

#include <stdint.h>

/** State of the path. Zero-initialize it. */
typedef struct {
    unsigned int failures; /**< consecutive connections without a reply */
    uint64_t last_worker;  /**< digest of the last worker that failed */
    int64_t failed_us;     /**< time of the last failure */
    int64_t admitted_us;   /**< time of the last admitted call */
} pps_reachability_t;

/** Records a connection without a reply. Consecutive failures of one worker
 * count once. @param worker digest of the worker's id */
void
pps_reachability_record_failure(pps_reachability_t *reach, uint64_t worker,
                                int64_t now_us);

/** Records a reply from any worker and resets the failure count. */
void
pps_reachability_record_reply(pps_reachability_t *reach);

/** Returns whether the path to the workers counts as lost, which it does only
 * for a limited time after the last failure. */
int
pps_reachability_is_lost(const pps_reachability_t *reach, int64_t now_us);

/** Admits a call, on a lost path one per probe interval. @return 1 or 0 */
int
pps_reachability_admit_call(pps_reachability_t *reach, int64_t now_us);

#endif
