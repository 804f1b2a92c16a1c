/**
 * @file trial_worker.h
 * @brief Chooses the target's worker for a request while the target is
 * unproven. Does no I/O and reads no clock.
 *
 * A new version has as many workers as the old one and gets a fraction of the
 * sessions, so each of its workers would be nearly idle, and a version that
 * fails under load would show nothing. The requests are therefore sent to as
 * few workers as can carry them, which all hosts choose in the same order.
 */
#ifndef PPS_ROLLOUT_TRIAL_WORKER_H
#define PPS_ROLLOUT_TRIAL_WORKER_H

#include "rng.h"

#include <stddef.h>
#include <stdint.h>

/** A worker of the target that can take the request. */
typedef struct {
    uint64_t digest;   /**< of its id */
    double load;       /**< requests per slot */
    double wait_share; /**< time to process the prompts queued there, as a
                            fraction of the route's target time */
} pps_trial_worker_t;

/** Returns the number of workers that a number of concurrent requests, of all
 * hosts, keeps loaded; at least 1. */
size_t
pps_trial_worker_count(double requests, double slots);

/** Chooses one of the first `wanted` workers by digest, or the first of the
 * others if they are full. @return its index, or -1 if all are full */
int
pps_trial_worker_choose(const pps_trial_worker_t *workers, size_t count,
                        size_t wanted, pps_rng_t *rng);

#endif
