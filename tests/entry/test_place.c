/** @file test_place.c @brief The choice of a worker. */
#include "pool/placement.h"

#include <criterion/criterion.h>

#define MS 1000.0

typedef struct {
    const char *name;
    pps_placement_candidate_t candidates[3];
    int chosen;
} case_t;

/* wait, busy, slots, failing, same domain, has prefix */
static const case_t cases[] = {
    {"idle and near", {{0, 0, 8, 0, 1, 0}, {0, 0, 8, 0, 0, 0}}, 0},
    {"less to read before it",
     {{900 * MS, 1, 8, 0, 1, 0}, {100 * MS, 1, 8, 0, 1, 0}},
     1},
    {"prefix read there", {{0, 1, 8, 0, 1, 0}, {0, 1, 8, 0, 1, 1}}, 1},
    {"prefix behind a long queue",
     {{0, 1, 8, 0, 1, 0}, {2000 * MS, 1, 8, 0, 1, 1}},
     0},
    {"far but much less to read",
     {{900 * MS, 1, 8, 0, 1, 0}, {0, 1, 8, 0, 0, 0}},
     1},
    {"far and little less to read",
     {{50 * MS, 1, 8, 0, 1, 0}, {0, 1, 8, 0, 0, 0}},
     0},
    {"all late calls failed", {{0, 0, 8, 1, 1, 0}, {0, 4, 8, 0, 0, 0}}, 1},
    {"over its slots", {{0, 40, 8, 0, 1, 0}, {0, 7, 8, 0, 1, 0}}, 1},
    {"all fail alike: the nearest",
     {{0, 0, 8, 0.5, 0, 0}, {0, 0, 8, 0.5, 1, 0}},
     1},
};

Test(place, table)
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

Test(place, none)
{
    const pps_placement_options_t options = {0};
    pps_rng_t rng;

    pps_rng_init(&rng, 1);
    cr_expect_eq(pps_placement_choose(NULL, 0, &options, &rng), -1);
}

/* Load: one prompt in ten is fifty times as long as the others. What a caller
 * of a short prompt waits behind long ones is compared with choosing blindly.
 */
#define WORKERS 4
#define REQUESTS 4000
#define PERIOD_US (15 * MS)
#define SHORT_US (10 * MS)
#define LONG_US (300 * MS)

static double
mean_wait_us(int blind)
{
    const pps_placement_options_t options = {1500 * MS, 0, 0};
    double free_at[WORKERS] = {0};
    double waited = 0;
    double now = 0;
    int short_ones = 0;
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
        chosen =
            blind ? (int)pps_rng_below(&rng, WORKERS)
                  : pps_placement_choose(candidates, WORKERS, &options, &rng);
        wait = candidates[chosen].wait_us;
        free_at[chosen] = now + wait + (is_long ? LONG_US : SHORT_US);
        if (!is_long) {
            waited += wait;
            short_ones++;
        }
    }
    return waited / short_ones;
}

Test(place, short_prompts_avoid_long_ones)
{
    cr_expect_lt(mean_wait_us(0), mean_wait_us(1) / 4);
}
