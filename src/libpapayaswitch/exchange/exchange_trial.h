/**
 * @file exchange_trial.h
 * @brief Requests that try the target of a roll-out, and their workers.
 */
#ifndef PPS_EXCHANGE_EXCHANGE_TRIAL_H
#define PPS_EXCHANGE_EXCHANGE_TRIAL_H

#include "exchange.h"
#include "pool/placement.h"

/** Most workers that one attempt is chosen among. */
#define PPS_EXCHANGE_CANDIDATES_MAX 1024

/** Returns whether the roll-out has moved the session to its target. */
int
pps_exchange_has_moved(const pps_exchange_t *exchange);

/** Returns whether the request is one of those that try an unproven version.
 */
int
pps_exchange_is_on_trial(const pps_exchange_t *exchange);

/** Chooses among the workers of the unproven version so that a few of them are
 * loaded. @return an index, or -1 to choose as usual */
int
pps_exchange_choose_for_trial(const pps_exchange_t *exchange,
                              const pps_placement_candidate_t *candidates,
                              pps_pool_worker_t *const *workers, size_t count);

#endif
