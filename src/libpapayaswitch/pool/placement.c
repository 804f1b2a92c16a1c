/** @file placement.c @brief Scores workers by expected time to first byte. */
#include "placement.h"

/** Penalties as fractions of the route's target time: for a worker in another
 * failure domain, and for one whose recent calls all failed. */
#define CROSS_DOMAIN_PENALTY 0.07
#define FAILURE_PENALTY 2.0
/** Maximum random penalty, as a fraction of the route's target time; prevents
 * all hosts from choosing the same worker. */
#define JITTER_SHARE 0.01

static double
expected_us(const pps_placement_candidate_t *candidate,
            const pps_placement_options_t *options)
{
    double load = candidate->busy / candidate->slots;
    double overload = load > 1 ? load - 1 : 0;
    double expected = candidate->wait_us + candidate->cold_us +
                      options->service_us * (load + overload);

    if (!candidate->has_prefix) {
        expected += options->prefix_us;
    }
    if (!candidate->same_domain) {
        expected += options->target_us * CROSS_DOMAIN_PENALTY;
    }
    return expected +
           candidate->failure_share * options->target_us * FAILURE_PENALTY;
}

int
pps_placement_choose(const pps_placement_candidate_t *candidates, size_t count,
                     const pps_placement_options_t *options, pps_rng_t *rng)
{
    double best_us = 0;
    int best = -1;

    for (size_t i = 0; i < count; i++) {
        double us = expected_us(&candidates[i], options) +
                    pps_rng_unit(rng) * options->target_us * JITTER_SHARE;

        if (best < 0 || us < best_us) {
            best = (int)i;
            best_us = us;
        }
    }
    return best;
}
