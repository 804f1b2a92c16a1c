/** @file test_place.c @brief Tests the choice of a worker for a request. */
#include "pool/placement.h"

#include <criterion/criterion.h>

#define MS 1000.0

typedef struct {
    const char *name;
    pps_placement_candidate_t candidates[3];
    int chosen;
} case_t;

/* wait_us, busy, slots, failure_share, same_domain, has_prefix, cold_us */
static const case_t cases[] = {
    {"idle, own failure domain", {{0, 0, 8, 0, 1, 0}, {0, 0, 8, 0, 0, 0}}, 0},
    {"shorter prefill backlog",
     {{900 * MS, 1, 8, 0, 1, 0}, {100 * MS, 1, 8, 0, 1, 0}},
     1},
    {"prefix cached", {{0, 1, 8, 0, 1, 0}, {0, 1, 8, 0, 1, 1}}, 1},
    {"prefix cached, but a long backlog",
     {{0, 1, 8, 0, 1, 0}, {2000 * MS, 1, 8, 0, 1, 1}},
     0},
    {"other domain, much shorter backlog",
     {{900 * MS, 1, 8, 0, 1, 0}, {0, 1, 8, 0, 0, 0}},
     1},
    {"other domain, slightly shorter backlog",
     {{50 * MS, 1, 8, 0, 1, 0}, {0, 1, 8, 0, 0, 0}},
     0},
    {"all recent calls failed", {{0, 0, 8, 1, 1, 0}, {0, 4, 8, 0, 0, 0}}, 1},
    {"more requests than slots", {{0, 40, 8, 0, 1, 0}, {0, 7, 8, 0, 1, 0}}, 1},
    {"equal failures, own failure domain",
     {{0, 0, 8, 0.5, 0, 0}, {0, 0, 8, 0.5, 1, 0}},
     1},
    {"idle but cold, half loaded",
     {{0, 0, 8, 0, 1, 0, 100 * MS}, {0, 4, 8, 0, 1, 0}},
     1},
    {"idle but cold, overloaded",
     {{0, 0, 8, 0, 1, 0, 100 * MS}, {0, 16, 8, 0, 1, 0}},
     0},
};

Test(placement, table)
{
    const pps_placement_options_t options = {1500 * MS, 300 * MS, 100 * MS};

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        for (uint64_t seed = 1; seed < 30; seed++) {
            pps_rng_t rng;

            pps_rng_init(&rng, seed);
            cr_expect_eq(
                pps_placement_choose(cases[i].candidates, 2, &options, &rng),
                cases[i].chosen, "%s, seed %d", cases[i].name, (int)seed);
        }
    }
}

Test(placement, no_candidates)
{
    const pps_placement_options_t options = {0};
    pps_rng_t rng;

    pps_rng_init(&rng, 1);
    cr_expect_eq(pps_placement_choose(NULL, 0, &options, &rng), -1);
}

/* One prompt in ten takes 30 times as long as the others. Compares the mean
 * wait of short prompts with that under a random choice of workers. */
#define WORKERS 4
#define REQUESTS 4000
#define PERIOD_US (15 * MS)
#define SHORT_US (10 * MS)
#define LONG_US (300 * MS)

static double
mean_wait_us(int at_random)
{
    const pps_placement_options_t options = {1500 * MS, 0, 0};
    double free_at[WORKERS] = {0};
    double waited = 0;
    double now = 0;
    int short_prompts = 0;
    pps_rng_t rng;

    pps_rng_init(&rng, 7);
    for (int i = 0; i < REQUESTS; i++, now += PERIOD_US) {
        pps_placement_candidate_t candidates[WORKERS] = {0};
        int is_long = pps_rng_below(&rng, 10) == 0;
        int chosen;
        double wait;

        for (int w = 0; w < WORKERS; w++) {
            candidates[w] = (pps_placement_candidate_t){
                free_at[w] > now ? free_at[w] - now : 0, 1, 8, 0, 1, 0};
        }
        chosen = at_random ? (int)pps_rng_below(&rng, WORKERS)
                           : pps_placement_choose(candidates, WORKERS,
                                                  &options, &rng);
        wait = candidates[chosen].wait_us;
        free_at[chosen] = now + wait + (is_long ? LONG_US : SHORT_US);
        if (!is_long) {
            waited += wait;
            short_prompts++;
        }
    }
    return waited / short_prompts;
}

Test(placement, short_prompts_avoid_long_ones)
{
    cr_expect_lt(mean_wait_us(0), mean_wait_us(1) / 4);
}
