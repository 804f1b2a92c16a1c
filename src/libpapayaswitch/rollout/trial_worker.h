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

#include <stddef.h>
#include <stdint.h>

/** A worker of the target that can take the request. */
typedef struct {
    uint64_t digest;   /**< of its id */
    double load;       /**< requests per slot */
    double wait_share; /**< time to process the prompts queued there, as a
                            fraction of the route's target time */
} pps_trial_worker_t;

/** Returns the index of the first worker by digest that isn't full, or -1 if
 * all are. */
int
pps_trial_worker_choose(const pps_trial_worker_t *workers, size_t count);

#endif
