/**
 * @file placement.h
 * @brief Which worker gets a request. A pure function.
 *
 * Load it answers: long prompts, which hold up all that is read behind them,
 * among short ones, on workers whose own reports come late. Each candidate is
 * rated by the time until it would begin to answer; one that has read the
 * shared part of the prompt saves that time, and one elsewhere, or one that
 * fails, must be better by a part of what the route aims at.
 */
#ifndef PPS_POOL_PLACEMENT_H
#define PPS_POOL_PLACEMENT_H

#include "rng.h"

#include <stddef.h>
#include <stdint.h>

/** A worker that may serve the request. */
typedef struct {
    double wait_us;       /**< until what lies before the request is read */
    double busy;          /**< requests running and waiting there */
    double slots;         /**< runs at a time; above 0 */
    double failure_share; /**< share of late calls that failed, 0 to 1 */
    int same_domain;      /**< in the host's own failure domain */
    int has_prefix;       /**< it has read the shared part of late */
} pps_placement_candidate_t;

/** What is known of the request. */
typedef struct {
    double target_us;  /**< time to a first byte that the route aims at */
    double prefix_us;  /**< time to read the shared part of the prompt */
    double service_us; /**< usual time to a first byte */
} pps_placement_options_t;

/** @return the index of the chosen candidate, or -1 when there is none */
int
pps_placement_choose(const pps_placement_candidate_t *candidates, size_t count,
                     const pps_placement_options_t *options, pps_rng_t *rng);

#endif
