/**
 * @file place.h
 * @brief Which worker gets a request. A pure function.
 *
 * Requests that share a prompt prefix go to the same worker of their failure
 * domain while that one is not busier than the rest, so that the prefix is
 * read once; the others go where least runs. Load is what the worker last
 * said, corrected by what this host has sent and got back since.
 */
#ifndef PPS_POOL_PLACE_H
#define PPS_POOL_PLACE_H

#include "rng.h"

#include <stddef.h>
#include <stdint.h>

/** A worker that may serve the request. */
typedef struct {
    double busy;     /**< requests running and waiting there */
    double slots;    /**< runs at a time; above 0 */
    double failing;  /**< share of late calls that failed, 0 to 1 */
    int same_domain; /**< in the host's own failure domain */
    uint64_t rank;   /**< digest of the prefix with the worker's id */
} pps_candidate_t;

/** What is known of the request. */
typedef struct {
    int has_prefix;      /**< `rank` is to be looked at */
    double cross_domain; /**< load that a worker elsewhere must be better by,
                              as a share of its slots */
} pps_place_options_t;

/** @return the index of the chosen candidate, or -1 when there is none */
int
pps_place(const pps_candidate_t *candidates, size_t count,
          const pps_place_options_t *options, pps_rng_t *rng);

#endif
