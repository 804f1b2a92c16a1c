/** @file test_hedge_parts.c @brief Tests the estimate of the usual wait, the
 * limit on copies and the load above which none are sent. */
#include "hedge/hedge_delay.h"
#include "hedge/hedge_limit.h"
#include "hedge/hedge_load.h"
#include "rng.h"

#include <criterion/criterion.h>
#include <math.h>

#define SAMPLES 20000
#define MEAN_US 20000.0

/** The estimate may be off by so much: of exponential times, 3 to 8 % are then
 * beyond it instead of 5 %. The limit on copies holds all the same. */
#define TOLERANCE 0.15

typedef struct {
    double share;
    double quantile;
} quantile_case_t;

static const quantile_case_t quantiles[] = {
    {0, 0.99}, {0.005, 0.99}, {0.02, 0.98}, {0.05, 0.95}, {0.1, 0.9}, {1, 0.9},
};

static double
draw(pps_rng_t *rng, double mean)
{
    return -mean * log(1 - pps_rng_unit(rng));
}

/* Guards against an estimate that drifts from the quantile, or stays where it
 * was when the times change. */
Test(hedge_delay, follows_the_quantile)
{
    static const double means[] = {MEAN_US, MEAN_US * 5, MEAN_US};
    pps_rng_t rng;

    pps_rng_init(&rng, 3);
    for (size_t i = 0; i < sizeof(quantiles) / sizeof(*quantiles); i++) {
        double quantile = pps_hedge_quantile(quantiles[i].share);
        pps_hedge_delay_t delay = {0};

        cr_expect_float_eq(quantile, quantiles[i].quantile, 1e-9);
        for (size_t j = 0; j < sizeof(means) / sizeof(*means); j++) {
            double sum = 0;
            double exact = -means[j] * log(1 - quantile);

            for (int k = 0; k < SAMPLES; k++) {
                pps_hedge_delay_record(&delay, quantile,
                                       (int64_t)draw(&rng, means[j]));
                sum += k >= SAMPLES / 2 ? delay.log_us : 0;
            }
            cr_expect_lt(fabs(sum / (SAMPLES / 2) - log(exact)), TOLERANCE,
                         "quantile %f mean %f", quantile, means[j]);
        }
    }
}

/* Requests that are given up when their copy wins must not shorten the
 * estimate. */
Test(hedge_delay, hedging_does_not_shorten_it)
{
    double quantile = pps_hedge_quantile(0.05);
    pps_hedge_delay_t delay = {0};
    double sum = 0;
    pps_rng_t rng;

    pps_rng_init(&rng, 3);
    for (int k = 0; k < SAMPLES; k++) {
        int64_t us = (int64_t)draw(&rng, MEAN_US);
        int64_t usual_us = pps_hedge_delay_us(&delay);

        if (usual_us > 0 && us > usual_us) {
            pps_hedge_delay_record_longer(&delay, quantile);
        }
        else {
            pps_hedge_delay_record(&delay, quantile, us);
        }
        sum += k >= SAMPLES / 2 ? delay.log_us : 0;
    }
    cr_expect_lt(fabs(sum / (SAMPLES / 2) - log(-MEAN_US * log(1 - quantile))),
                 TOLERANCE);
}

Test(hedge_delay, nothing_is_slow_before_it_is_known)
{
    pps_hedge_delay_t delay = {0};

    pps_hedge_delay_record_longer(&delay, 0.95);
    for (int i = 0; i < 99; i++) {
        pps_hedge_delay_record(&delay, 0.95, 1000);
        cr_expect_eq(pps_hedge_delay_us(&delay), 0);
    }
    pps_hedge_delay_record(&delay, 0.95, 1000);
    cr_expect_geq(pps_hedge_delay_us(&delay), 2000);
}

typedef struct {
    int64_t tokens;
    unsigned int size;
} size_case_t;

Test(hedge_delay, size_classes)
{
    static const size_case_t cases[] = {
        {0, 0},    {256, 0},  {257, 1},       {1024, 1},
        {4096, 2}, {4097, 3}, {INT64_MAX, 3},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        cr_expect_eq(pps_hedge_size_class(cases[i].tokens), cases[i].size);
    }
}

/* At any time the copies must be within the share of the requests so far. */
Test(hedge_limit, holds_at_any_time)
{
    static const double shares[] = {0, 0.02, 0.05, 0.1, 1};

    for (size_t i = 0; i < sizeof(shares) / sizeof(*shares); i++) {
        pps_hedge_limit_t limit;
        int copies = 0;

        pps_hedge_limit_init(&limit);
        for (int requests = 1; requests <= 10000; requests++) {
            pps_hedge_limit_count_request(&limit, shares[i]);
            while (pps_hedge_limit_is_open(&limit)) {
                pps_hedge_limit_take(&limit);
                copies++;
            }
            cr_assert_leq(copies, shares[i] * requests + 1e-6);
        }
        cr_expect_geq(copies, (int)(shares[i] * 10000) - 1);
    }
}

/* After a quiet time no more than 10 copies may come at once. */
Test(hedge_limit, saves_up_few)
{
    pps_hedge_limit_t limit;
    int copies = 0;

    pps_hedge_limit_init(&limit);
    for (int i = 0; i < 10000; i++) {
        pps_hedge_limit_count_request(&limit, 0.1);
    }
    for (; pps_hedge_limit_is_open(&limit); copies++) {
        pps_hedge_limit_take(&limit);
    }
    cr_expect_eq(copies, 10);
}

/* The copy goes to the wait that is the largest multiple of the usual one, not
 * to the longest wait or the first in the list. */
Test(hedge_limit, longest_excess_first)
{
    pps_hedge_limit_t limit;
    pps_hedge_waiter_t waiters[] = {
        {.sent_us = 0, .usual_us = 500},
        {.sent_us = 600, .usual_us = 50},
        {.sent_us = 900, .usual_us = 60},
    };

    pps_hedge_limit_init(&limit);
    for (int i = 0; i < 3; i++) {
        pps_hedge_limit_add_waiter(&limit, &waiters[i]);
        pps_hedge_limit_add_waiter(&limit, &waiters[i]);
    }
    cr_expect_null(pps_hedge_limit_next(&limit, 1000));
    pps_hedge_limit_count_request(&limit, 1);
    cr_expect_eq(pps_hedge_limit_next(&limit, 1000), &waiters[1]);
    cr_expect_eq(pps_hedge_limit_next(&limit, 1000), &waiters[0]);
    pps_hedge_limit_remove_waiter(&waiters[2]);
    pps_hedge_limit_remove_waiter(&waiters[2]);
    cr_expect_null(pps_hedge_limit_next(&limit, 1000));
}

/* A load that is low for a moment must not let copies through. */
Test(hedge_load, moment_and_mean)
{
    pps_hedge_load_t load;

    pps_hedge_load_init(&load);
    cr_expect_not(pps_hedge_load_is_low(&load, 0.1), "not known yet");
    for (int i = 0; i < 1000; i++) {
        pps_hedge_load_record(&load, 0.5);
    }
    cr_expect(pps_hedge_load_is_low(&load, 0.5));
    cr_expect(pps_hedge_load_is_low(&load, PPS_HEDGE_LOAD_MAX));
    cr_expect_not(pps_hedge_load_is_low(&load, PPS_HEDGE_LOAD_MAX + 0.01));
    for (int i = 0; i < 1000; i++) {
        pps_hedge_load_record(&load, 0.9);
    }
    cr_expect_not(pps_hedge_load_is_low(&load, 0.1));
}
