/** @file quality_price.c @brief Bisection for the price of quality. */
#include "papayaswitch/quality_price.h"

#include <math.h>

/** Prices looked at, in cost for one unit of rating. */
#define PRICE_MIN 1e-3
#define PRICE_MAX 1e6

/** Halvings of the logarithm of the price. */
#define STEPS 40

/** Expected quality of all demands at a price, less the caution. */
static double
quality_at(const pps_demand_t *demands, size_t count, double price,
           double caution)
{
    double weight = 0.0;
    double quality = 0.0;
    double variance = 0.0;

    for (size_t i = 0; i < count; i++) {
        pps_option_t option;

        if (demands[i].count == 0 || demands[i].weight <= 0) {
            continue;
        }
        pps_option_select_best(&option, demands[i].candidates,
                               demands[i].count, price);
        weight += demands[i].weight;
        quality += demands[i].weight * option.quality;
        variance += pow(demands[i].weight * option.deviation, 2.0);
    }
    if (weight <= 0) {
        return 0.0;
    }
    return (quality - caution * sqrt(variance)) / weight;
}

void
pps_price_find(pps_price_t *out, const pps_demand_t *demands, size_t count,
               double target, double caution)
{
    double low = PRICE_MIN;
    double high = PRICE_MAX;
    double below = quality_at(demands, count, low, caution);
    double above = quality_at(demands, count, high, caution);

    *out = (pps_price_t){high, high, 1.0, above >= target};
    if (above < target) {
        return;
    }
    if (below >= target) {
        *out = (pps_price_t){low, low, 1.0, 1};
        return;
    }
    for (int i = 0; i < STEPS; i++) {
        double middle = sqrt(low * high);
        double quality = quality_at(demands, count, middle, caution);

        if (quality >= target) {
            high = middle;
            above = quality;
        }
        else {
            low = middle;
            below = quality;
        }
    }
    out->low = low;
    out->high = high;
    out->high_share = above > below ? (target - below) / (above - below) : 1.0;
}

double
pps_target_correct(double target, double answers, double quality_sum,
                   double horizon)
{
    double owed = target * answers - quality_sum;

    return fmin(fmax(target + owed / horizon, 0.0), 1.0);
}

double
pps_quality_predict(const pps_quality_t *quality, double judgement)
{
    return quality->mean +
           quality->judge_slope * (judgement - quality->judge_mean);
}

double
pps_price_draw(const pps_price_t *price, double draw)
{
    return draw < price->high_share ? price->high : price->low;
}
