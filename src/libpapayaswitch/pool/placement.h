/**
 * @file placement.h
 * @brief Chooses the worker for a request. Does no I/O and reads no clock.
 *
 * Designed for a mix of long and short prompts, where a long prompt delays
 * every prompt queued after it, and for load reports that arrive late. Each
 * candidate is scored by its expected time to the first byte. A worker that
 * has cached the shared prefix of the prompt needs no time to process it. A
 * worker in another failure domain or with recent failures is penalized by a
 * fraction of the route's target time.
 */
#ifndef PPS_POOL_PLACEMENT_H
#define PPS_POOL_PLACEMENT_H

#include "rng.h"

#include <stddef.h>
#include <stdint.h>

/** A worker that can serve the request. */
typedef struct {
    double wait_us;       /**< time to process the prompts queued there */
    double busy;          /**< requests running and queued there */
    double slots;         /**< requests it runs at once; above 0 */
    double failure_share; /**< smoothed share of failed calls, 0 to 1 */
    int same_domain;      /**< in the failure domain of this host */
    int has_prefix;       /**< has recently processed the prompt's prefix */
    double cold_us;       /**< time by which it is slower, as it is cold */
} pps_placement_candidate_t;

/** Properties of the request, in microseconds. */
typedef struct {
    double target_us;  /**< the route's target time to the first byte */
    double prefix_us;  /**< time to process the shared prefix */
    double service_us; /**< the upstream's smoothed time to the first byte */
} pps_placement_options_t;

/** Chooses the candidate with the lowest expected time to the first byte.
 * @return the index of the candidate, or -1 when `count` is 0 */
int
pps_placement_choose(const pps_placement_candidate_t *candidates, size_t count,
                     const pps_placement_options_t *options, pps_rng_t *rng);

#endif
