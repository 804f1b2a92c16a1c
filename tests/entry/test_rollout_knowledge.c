/** @file test_rollout_knowledge.c @brief Tests when a host may judge a target
 * for all hosts. */
#include "clock.h"
#include "rollout/rollout.h"
#include "rollout/rollout_knowledge.h"

#include <criterion/criterion.h>

#define S PPS_US_PER_S
#define STEPS_MAX 3

typedef struct {
    int64_t at_us; /**< since the host learned of the roll-out; 0: no step */
    pps_rollout_neighbours_t neighbours;
} step_t;

typedef struct {
    const char *name;
    step_t steps[STEPS_MAX];
    int is_complete; /**< after the last step */
} knowledge_case_t;

static const knowledge_case_t cases[] = {
    {"all have told, at once", {{S / 2, {1, 5, 0, 0, 0}}}, 0},
    {"all have told", {{S / 4, {1, 5}}, {2 * S, {1, 5, 0, 0, 0}}}, 1},
    {"one has not told", {{S / 4, {1, 5}}, {2 * S, {1, 5, 1, 0, 0}}}, 0},
    {"one has not told for long", {{S / 4, {1, 5}}, {4 * S, {1, 5, 1}}}, 1},
    {"most have not told for long", {{S / 4, {1, 8}}, {9 * S, {1, 8, 5}}}, 0},
    {"one knows other ended processes",
     {{S / 4, {1, 5}}, {2 * S, {1, 5, 0, 1, 0}}},
     0},
    {"one knows others for long", {{S / 4, {1, 5}}, {4 * S, {1, 5, 0, 1}}}, 1},
    {"nobody is heard yet", {{S / 4, {1, 0}}, {2 * S, {1, 0}}}, 0},
    {"the only host", {{S / 4, {1, 0}}, {4 * S, {1, 0}}}, 1},
    {"others report elsewhere", {{S / 4, {0, 5}}, {9 * S, {0, 5}}}, 0},
    {"others have just begun to report",
     {{S / 4, {0, 5}}, {8 * S, {1, 5}}, {8 * S + S / 2, {1, 5}}},
     0},
    {"it stays so when a host starts",
     {{S / 4, {1, 5}}, {2 * S, {1, 5}}, {3 * S, {1, 6, 1}}},
     1},
    {"others report elsewhere again",
     {{S / 4, {1, 5}}, {2 * S, {1, 5}}, {3 * S, {0, 5}}},
     0},
};

/* Guards against a host that judges by what it has counted since its start, or
 * by the reports of a few. */
Test(rollout_knowledge, a_host_judges_by_a_part_of_the_counts)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_rollout_knowledge_t knowledge = {.known_us = 100 * S};

        for (size_t step = 0; step < STEPS_MAX; step++) {
            const step_t *item = &cases[i].steps[step];

            if (item->at_us != 0) {
                pps_rollout_knowledge_update(&knowledge, &item->neighbours,
                                             100 * S + item->at_us);
            }
        }
        cr_expect_eq(knowledge.is_complete, cases[i].is_complete, "%s",
                     cases[i].name);
    }
}

static const struct {
    const char *name;
    pps_rollout_neighbours_t neighbours;
    uint32_t exposed; /**< of 1,000 requests */
    uint32_t failures;
    int is_held;
} cut_cases[] = {
    {"in touch, within the bound", {.live = 5, .lost = 1}, 60, 0, 0},
    {"in touch, the bound is used up", {.live = 5, .lost = 1}, 400, 0, 1},
    {"half are lost, the bound is used up", {.live = 3, .lost = 4}, 400, 0, 1},
    {"cut off, the bound seems used up", {.live = 1, .lost = 6}, 400, 0, 0},
    {"cut off, a bad target", {.live = 1, .lost = 6}, 60, 30, 1},
};

/* Guards against a good version that a host rolls back for all, as the
 * requests of those that it does not hear are missing. */
Test(rollout_knowledge, a_host_that_is_cut_off_finds_the_bound_used_up)
{
    for (size_t i = 0; i < sizeof(cut_cases) / sizeof(*cut_cases); i++) {
        const pps_rollout_basis_t basis = {
            .bounds = {0.1, 20},
            .knows_all_hosts = 1,
            .is_cut_off =
                pps_rollout_knowledge_is_cut_off(&cut_cases[i].neighbours),
        };
        pps_rollout_t rollout = {.duration_us = 24 * S};
        pps_rollout_tally_t tally = {.requests = 1000,
                                     .exposed = cut_cases[i].exposed};

        tally.baseline[0].answers = 1000 - cut_cases[i].exposed;
        tally.target[0].answers = cut_cases[i].exposed;
        tally.target[0].failures = cut_cases[i].failures;
        pps_rollout_begin(&rollout, 100 * S);
        pps_rollout_step(&rollout, &tally, &basis, 114 * S);
        cr_expect_eq(rollout.held, cut_cases[i].is_held, "%s",
                     cut_cases[i].name);
    }
}
