/** @file place.c @brief Prefix affinity bounded by load. */
#include "place.h"

/** A worker below this share of its slots is never too busy for a prefix. */
#define CALM_SHARE 0.35
/** A prefix stays with its worker up to this factor over the mean load. */
#define BUSY_FACTOR 1.3
/** Weight of failures against load, in shares of the slots. */
#define FAILING_WEIGHT 3.0
/** Above this share of failures a worker keeps no prefix. */
#define FAILING_MAX 0.3
/** Random part that keeps hosts from choosing alike, in shares of the slots.
 */
#define JITTER 0.02

static double
share_of_slots(const pps_candidate_t *candidate)
{
    return candidate->busy / candidate->slots;
}

static double
mean_share(const pps_candidate_t *candidates, size_t count)
{
    double sum = 0;

    for (size_t i = 0; i < count; i++) {
        sum += share_of_slots(&candidates[i]);
    }
    return sum / (double)count;
}

static int
by_prefix(const pps_candidate_t *candidates, size_t count)
{
    double bound = mean_share(candidates, count) * BUSY_FACTOR;
    int best = -1;

    if (bound < CALM_SHARE) {
        bound = CALM_SHARE;
    }
    for (size_t i = 0; i < count; i++) {
        const pps_candidate_t *candidate = &candidates[i];

        if (!candidate->same_domain || candidate->failing > FAILING_MAX ||
            share_of_slots(candidate) > bound) {
            continue;
        }
        if (best < 0 || candidate->rank > candidates[best].rank) {
            best = (int)i;
        }
    }
    return best;
}

static int
by_load(const pps_candidate_t *candidates, size_t count,
        const pps_place_options_t *options, pps_rng_t *rng)
{
    double best_score = 0;
    int best = -1;

    for (size_t i = 0; i < count; i++) {
        const pps_candidate_t *candidate = &candidates[i];
        double score = share_of_slots(candidate) +
                       candidate->failing * FAILING_WEIGHT +
                       pps_rng_unit(rng) * JITTER;

        if (!candidate->same_domain) {
            score += options->cross_domain;
        }
        if (best < 0 || score < best_score) {
            best = (int)i;
            best_score = score;
        }
    }
    return best;
}

int
pps_place(const pps_candidate_t *candidates, size_t count,
          const pps_place_options_t *options, pps_rng_t *rng)
{
    int chosen = -1;

    if (count == 0) {
        return -1;
    }
    if (options->has_prefix) {
        chosen = by_prefix(candidates, count);
    }
    return chosen >= 0 ? chosen : by_load(candidates, count, options, rng);
}
