/** @file placement.c @brief Expected time to a first byte, worker by worker.
 */
#include "placement.h"

/** Parts of the route's target that a worker must be better by when it is in
 * another failure domain, or when all its late calls failed. */
#define CROSS_DOMAIN_PART 0.07
#define FAILING_PART 2.0
/** Random part that keeps hosts from choosing alike. */
#define JITTER_PART 0.01

static double
expected_us(const pps_placement_candidate_t *candidate,
            const pps_placement_options_t *options)
{
    double share = candidate->busy / candidate->slots;
    double over = share > 1 ? share - 1 : 0;
    double expected =
        candidate->wait_us + options->service_us * (share + over);

    if (!candidate->has_prefix) {
        expected += options->prefix_us;
    }
    if (!candidate->same_domain) {
        expected += options->target_us * CROSS_DOMAIN_PART;
    }
    return expected +
           candidate->failure_share * options->target_us * FAILING_PART;
}

int
pps_placement_choose(const pps_placement_candidate_t *candidates, size_t count,
                     const pps_placement_options_t *options, pps_rng_t *rng)
{
    double best_us = 0;
    int best = -1;

    for (size_t i = 0; i < count; i++) {
        double us = expected_us(&candidates[i], options) +
                    pps_rng_unit(rng) * options->target_us * JITTER_PART;

        if (best < 0 || us < best_us) {
            best = (int)i;
            best_us = us;
        }
    }
    return best;
}
