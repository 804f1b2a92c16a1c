/** @file test_model_cost.c @brief Tests for whom the larger model is asked
 * when its time on the workers is scarce. */
#include "exchange/model_choice.h"
#include "exchange/model_cost.h"
#include "rng.h"

#include <criterion/criterion.h>

#define SHORT_TOKENS 800
#define LONG_TOKENS 12000
#define REQUESTS 20000
#define SEED 7

typedef struct {
    const char *name;
    int64_t mean_tokens; /* of the requests counted before; -1: none */
    int64_t tokens;
    double min;
    double max;
} factor_case_t;

/* A request of usual work must not be treated otherwise than before, and no
 * request may lose or get the larger model by its length alone. */
static const factor_case_t factors[] = {
    {"nothing known", -1, LONG_TOKENS, 1, 1},
    {"usual", 4000, 4000, 0.99, 1.01},
    {"short", 4000, SHORT_TOKENS, 0.4, 0.5},
    {"long", 4000, LONG_TOKENS, 1.6, 1.6},
    {"longest", 4000, INT64_MAX / 2, 1.6, 1.6},
    {"no prompt", 100000, 0, 0.35, 0.35},
    {"negative", 100000, -5, 0.35, 0.35},
};

Test(model_cost, factors)
{
    for (size_t i = 0; i < sizeof(factors) / sizeof(*factors); i++) {
        const factor_case_t *item = &factors[i];
        pps_model_cost_t cost = {0};
        double factor;

        for (int n = 0; item->mean_tokens >= 0 && n < 1000; n++) {
            pps_model_cost_add(&cost, item->mean_tokens);
        }
        factor = pps_model_cost_factor(&cost, item->tokens);
        cr_expect(factor >= item->min && factor <= item->max, "%s: %f",
                  item->name, factor);
    }
}

typedef struct {
    double work; /* of the larger model, in prompt tokens */
    unsigned int shorts;
    unsigned int longs;
} outcome_t;

/* Plays requests of low and high confidence, a fifth of them with long
 * prompts, at a load. */
static outcome_t
play(double load, int weighs_cost)
{
    outcome_t outcome = {0};
    pps_model_cost_t cost = {0};
    pps_rng_t rng;

    pps_rng_init(&rng, SEED);
    for (int i = 0; i < REQUESTS; i++) {
        int is_long = pps_rng_below(&rng, 5) == 0;
        int64_t tokens = is_long ? LONG_TOKENS : SHORT_TOKENS;
        pps_model_choice_t choice = {
            .model_count = 2,
            .confidence = (int)pps_rng_below(&rng, 100),
            .attempts_left = 1,
            .confidence_min = 50,
            .load = load,
        };

        pps_model_cost_add(&cost, tokens);
        if (weighs_cost) {
            choice.load *= pps_model_cost_factor(&cost, tokens);
        }
        if (pps_model_choose(&choice) == 0) {
            continue;
        }
        outcome.work += (double)tokens;
        outcome.shorts += !is_long;
        outcome.longs += is_long;
    }
    return outcome;
}

/* Fails if callers get no more answers of the larger model than without the
 * weighing, or if they cost the workers more. */
Test(model_cost, more_callers_get_the_larger_model_under_load)
{
    static const double loads[] = {0.7, 0.8, 0.9, 1.0};

    for (size_t i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
        outcome_t equal = play(loads[i], 0);
        outcome_t weighed = play(loads[i], 1);

        cr_expect_gt(weighed.shorts + weighed.longs,
                     equal.shorts + equal.longs, "load %.1f", loads[i]);
        cr_expect_lt(weighed.work, equal.work, "load %.1f", loads[i]);
    }
}

/* On idle workers the length of a prompt must not matter. */
Test(model_cost, no_difference_on_idle_workers)
{
    outcome_t equal = play(0.2, 0);
    outcome_t weighed = play(0.2, 1);

    cr_expect_eq(weighed.shorts, equal.shorts);
    cr_expect_eq(weighed.longs, equal.longs);
}
