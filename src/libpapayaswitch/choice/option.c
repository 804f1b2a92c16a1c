/** @file option.c @brief Selects the best version or cascade at a price. */
#include "papayaswitch/quality_price.h"

#include <math.h>

/** Minimum standard deviation of the predicted rating; below it, the judge is
 * uninformative. */
#define JUDGE_SPREAD_MIN 1e-6

static double
normal_density(double z)
{
    return exp(-0.5 * z * z) / sqrt(2.0 * M_PI);
}

static double
normal_cdf(double z)
{
    return 0.5 * erfc(-z * M_SQRT1_2);
}

static double
net_value(const pps_option_t *option, double price)
{
    return price * option->quality - option->cost;
}

static pps_option_t
single_option(const pps_candidate_t *candidates, size_t index)
{
    const pps_candidate_t *candidate = &candidates[index];

    return (pps_option_t){index,
                          PPS_OPTION_NONE,
                          0.0,
                          candidate->quality.mean,
                          candidate->quality.deviation,
                          candidate->version->cost};
}

/**
 * Evaluates a cascade. The rating predicted from the judgement of the first
 * answer is assumed to be normally distributed. The answer is escalated if the
 * expected gain in rating, times the price, exceeds the cost of the second
 * run.
 * @return 1, or 0 if the judge is uninformative or the second version is not
 *         more expensive
 */
static int
cascade_option(pps_option_t *out, const pps_candidate_t *candidates,
               size_t first, size_t second, double price)
{
    const pps_quality_t *a = &candidates[first].quality;
    const pps_quality_t *b = &candidates[second].quality;
    double second_cost = candidates[second].version->cost;
    double spread = a->judge_slope * a->judge_deviation;
    double rating_limit = b->escalated_mean - second_cost / price;
    double z;
    double escalated_share;

    if (spread < JUDGE_SPREAD_MIN ||
        second_cost <= candidates[first].version->cost) {
        return 0;
    }
    z = (rating_limit - a->mean) / spread;
    escalated_share = normal_cdf(z);
    out->first = first;
    out->second = second;
    out->escalate_below =
        a->judge_mean + (rating_limit - a->mean) / a->judge_slope;
    out->quality = escalated_share * b->escalated_mean +
                   (1.0 - escalated_share) * a->mean +
                   spread * normal_density(z);
    out->deviation = hypot(escalated_share * b->deviation,
                           (1.0 - escalated_share) * a->deviation);
    out->cost =
        candidates[first].version->cost + escalated_share * second_cost;
    return 1;
}

void
pps_option_select_best(pps_option_t *out, const pps_candidate_t *candidates,
                       size_t count, double price)
{
    pps_option_t option;

    *out = single_option(candidates, 0);
    for (size_t first = 0; first < count; first++) {
        option = single_option(candidates, first);
        if (net_value(&option, price) > net_value(out, price)) {
            *out = option;
        }
        for (size_t second = 0; second < count; second++) {
            if (cascade_option(&option, candidates, first, second, price) &&
                net_value(&option, price) > net_value(out, price)) {
                *out = option;
            }
        }
    }
}
