/**
 * @file reachability.h
 * @brief Whether this host still reaches workers at all. Pure.
 *
 * Load it answers: callers of a host that has lost its path to the workers,
 * who would wait for one connection after the other. Such a host refuses at
 * once, so that they ask another one, and tries a call from time to time.
 */
#ifndef PPS_POOL_REACHABILITY_H
#define PPS_POOL_REACHABILITY_H

#include <stdint.h>

/** Zero-initialise it. */
typedef struct {
    unsigned int failures; /**< connections in a row that nobody answered */
    uint64_t last_worker;  /**< digest of the last of these workers */
    int64_t failed_us;     /**< when the last one was given up */
    int64_t tried_us;      /**< when a call was last let through */
} pps_reachability_t;

/** A connection to a worker, by the digest of its id, got no answer. One
 * worker that fails again and again counts once. */
void
pps_reachability_record_failure(pps_reachability_t *reach, uint64_t worker,
                                int64_t now_us);

/** A worker was heard. */
void
pps_reachability_record_reply(pps_reachability_t *reach);

/** Whether the path to the workers counts as lost. Without calls it is
 * believed in again after a while. */
int
pps_reachability_is_lost(const pps_reachability_t *reach, int64_t now_us);

/** Whether a call may be tried; while the path is lost a few are. */
int
pps_reachability_admit_call(pps_reachability_t *reach, int64_t now_us);

#endif
