/** @file test_quality_price.c @brief Tests the cheapest mix of versions that
 * meets a target. */
#include "papayaswitch/quality_price.h"

#include <criterion/criterion.h>

static const pps_version_t versions[] = {
    {"m/a", "m", "u", PPS_VERSION_ACTIVE, 1.0, 0.70, 1.0, 1},
    {"m/b", "m", "u", PPS_VERSION_ACTIVE, 4.0, 0.85, 1.0, 1},
    {"m/c", "m", "u", PPS_VERSION_ACTIVE, 15.0, 0.95, 1.0, 1},
};

/** Fills in the candidates of one kind, with `offset` added to the quality. */
static void
fill(pps_candidate_t out[3], double offset, double judge_slope)
{
    for (int v = 0; v < 3; v++) {
        double mean = versions[v].quality + offset;

        out[v].version = &versions[v];
        out[v].quality =
            (pps_quality_t){mean, 0.01, 0.0, mean, mean, judge_slope, 0.2};
    }
}

/** Computes the expected quality and cost of two kinds of equal weight. */
static void
expected_quality_and_cost(const pps_price_t *price,
                          pps_candidate_t kinds[2][3], double *quality,
                          double *cost)
{
    *quality = 0.0;
    *cost = 0.0;
    for (int k = 0; k < 2; k++) {
        pps_option_t low;
        pps_option_t high;

        pps_option_select_best(&low, kinds[k], 3, price->low);
        pps_option_select_best(&high, kinds[k], 3, price->high);
        *quality += 0.5 * (price->high_share * high.quality +
                           (1.0 - price->high_share) * low.quality);
        *cost += 0.5 * (price->high_share * high.cost +
                        (1.0 - price->high_share) * low.cost);
    }
}

Test(quality_price, meets_the_target_at_the_least_cost)
{
    static const struct {
        const char *what;
        double target;
        double judge_slope;
        double quality;
        double cost_low;
        double cost_high;
        int reached;
    } cases[] = {
        {"cheapest suffices", 0.60, 0.0, 0.70, 1.0, 1.0, 1},
        {"a mix of two", 0.775, 0.0, 0.775, 2.5, 2.5, 1},
        {"a more expensive mix", 0.90, 0.0, 0.90, 9.5, 9.5, 1},
        {"a judge makes it cheaper", 0.90, 0.6, 0.90, 4.0, 9.0, 1},
        {"out of reach", 0.99, 0.0, 0.95, 15.0, 15.0, 0},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_candidate_t kinds[2][3];
        pps_demand_t demands[2] = {{1.0, kinds[0], 3}, {1.0, kinds[1], 3}};
        pps_price_t price;
        double quality;
        double cost;

        fill(kinds[0], -0.02, cases[i].judge_slope);
        fill(kinds[1], 0.02, cases[i].judge_slope);
        pps_price_find(&price, demands, 2, cases[i].target, 0.0);
        expected_quality_and_cost(&price, kinds, &quality, &cost);
        cr_expect_eq(price.reached, cases[i].reached, "%s", cases[i].what);
        cr_expect_float_eq(quality, cases[i].quality, 1e-6, "%s: %f",
                           cases[i].what, quality);
        cr_expect(cost >= cases[i].cost_low - 1e-6 &&
                      cost <= cases[i].cost_high + 1e-6,
                  "%s: %f", cases[i].what, cost);
    }
}

Test(quality_price, a_larger_margin_costs_more)
{
    pps_candidate_t kind[3];
    pps_demand_t demand = {1.0, kind, 3};
    double before = 0.0;

    fill(kind, 0.0, 0.0);
    for (int margin_deviations = 0; margin_deviations < 4;
         margin_deviations++) {
        pps_price_t price;

        pps_price_find(&price, &demand, 1, 0.86, margin_deviations);
        cr_expect_gt(price.high_share, before);
        before = price.high_share;
    }
}

Test(quality_price, a_shortfall_is_compensated)
{
    static const struct {
        double answers;
        double quality_sum;
        double expected;
    } cases[] = {
        {0, 0, 0.8},    {100, 80, 0.8}, {100, 70, 0.9},
        {100, 90, 0.7}, {100, 10, 1.0}, {100, 100, 0.6},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        cr_expect_float_eq(pps_target_correct(0.8, cases[i].answers,
                                              cases[i].quality_sum, 100),
                           cases[i].expected, 1e-9, "case %zu", i);
    }
}
