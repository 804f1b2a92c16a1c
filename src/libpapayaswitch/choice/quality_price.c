/** @file quality_price.c @brief Finds the price of quality by bisection. */
#include "papayaswitch/quality_price.h"

#include <math.h>

/** Range of the search, in cost per unit of rating. */
#define PRICE_MIN 1e-3
#define PRICE_MAX 1e6

/** Bisection steps on the logarithm of the price. */
#define BISECTION_STEPS 40

/** Computes the expected quality at a price, less the safety margin. */
static double
quality_at(const pps_demand_t *demands, size_t count, double price,
           double margin_deviations)
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
    return (quality - margin_deviations * sqrt(variance)) / weight;
}

void
pps_price_find(pps_price_t *out, const pps_demand_t *demands, size_t count,
               double target, double margin_deviations)
{
    double low = PRICE_MIN;
    double high = PRICE_MAX;
    double low_quality = quality_at(demands, count, low, margin_deviations);
    double high_quality = quality_at(demands, count, high, margin_deviations);

    *out = (pps_price_t){high, high, 1.0, high_quality >= target};
    if (high_quality < target) {
        return;
    }
    if (low_quality >= target) {
        *out = (pps_price_t){low, low, 1.0, 1};
        return;
    }
    for (int i = 0; i < BISECTION_STEPS; i++) {
        double middle = sqrt(low * high);
        double quality = quality_at(demands, count, middle, margin_deviations);

        if (quality >= target) {
            high = middle;
            high_quality = quality;
        }
        else {
            low = middle;
            low_quality = quality;
        }
    }
    out->low = low;
    out->high = high;
    out->high_share =
        high_quality > low_quality
            ? (target - low_quality) / (high_quality - low_quality)
            : 1.0;
}

double
pps_target_correct(double target, double answers, double quality_sum,
                   double horizon)
{
    double shortfall = target * answers - quality_sum;

    return fmin(fmax(target + shortfall / horizon, 0.0), 1.0);
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
