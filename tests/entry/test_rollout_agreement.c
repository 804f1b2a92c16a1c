/** @file test_rollout_agreement.c @brief Tests that hosts that start, stop and
 * fail within a roll-out decide on what all hosts have counted. */
#include "rollout_play.h"

#include "play_apart.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

/** Seeds of each case in CI. PPS_PLAY_FIRST and PPS_PLAY_SEEDS set others. */
#define SEEDS 6

static const rollout_play_options_t cases[] = {
    {"nothing happens", 4, 0, ROLLOUT_PLAY_NOTHING, 0},
    {"one host restarts", 4, 0, ROLLOUT_PLAY_RESTARTS, 0},
    {"two of four restart at once", 4, 0, ROLLOUT_PLAY_TWO_RESTARTS, 0},
    {"two of three restart at once", 3, 0, ROLLOUT_PLAY_TWO_RESTARTS, 0},
    {"all restart in turn", 4, 0, ROLLOUT_PLAY_TURNS, 0},
    {"hosts are killed", 6, 0, ROLLOUT_PLAY_KILLS, 0},
    {"hosts are lost", 8, 0, ROLLOUT_PLAY_LOSSES, 0},
    {"hosts are added", 8, 4, ROLLOUT_PLAY_ADDITIONS, 0},
    {"hosts start without the store", 6, 2, ROLLOUT_PLAY_OUTAGE, 0},
    {"hosts start without a status", 6, 2, ROLLOUT_PLAY_NO_STATUS, 0},
    {"the store is restored", 6, 0, ROLLOUT_PLAY_RESTORE, 0},
    {"anything", 8, 2, ROLLOUT_PLAY_ANYTHING, 0},
    {"many hosts, nothing happens", 18, 0, ROLLOUT_PLAY_NOTHING, 0},
    {"many hosts restart in turn", 18, 0, ROLLOUT_PLAY_TURNS, 0},
    {"many hosts, two restart", 18, 0, ROLLOUT_PLAY_TWO_RESTARTS, 0},
    {"many hosts, anything", 18, 3, ROLLOUT_PLAY_ANYTHING, 0},
    {"many hosts start without the store", 18, 4, ROLLOUT_PLAY_OUTAGE, 0},
    {"bad, nothing happens", 4, 0, ROLLOUT_PLAY_NOTHING, 1},
    {"bad, one host restarts", 4, 0, ROLLOUT_PLAY_RESTARTS, 1},
    {"bad, all restart in turn", 4, 0, ROLLOUT_PLAY_TURNS, 1},
    {"bad, hosts are killed", 6, 0, ROLLOUT_PLAY_KILLS, 1},
    {"bad, hosts are lost", 8, 0, ROLLOUT_PLAY_LOSSES, 1},
    {"bad, hosts are added", 8, 4, ROLLOUT_PLAY_ADDITIONS, 1},
    {"bad, hosts start without the store", 6, 2, ROLLOUT_PLAY_OUTAGE, 1},
    {"bad, anything", 8, 2, ROLLOUT_PLAY_ANYTHING, 1},
    {"bad, many hosts restart in turn", 18, 0, ROLLOUT_PLAY_TURNS, 1},
    {"bad, many hosts, anything", 18, 3, ROLLOUT_PLAY_ANYTHING, 1},
};

static void
play(const void *options, uint64_t seed)
{
    rollout_play_run(options, seed);
}

static const rollout_play_options_t forgotten_cases[] = {
    {"bad, all are killed at once", 6, 0, ROLLOUT_PLAY_HERD, 1},
};

static void
expect_no_finding(const rollout_play_options_t *options)
{
    uint64_t first = play_apart_number("PPS_PLAY_FIRST", 1);
    uint64_t count = play_apart_number("PPS_PLAY_SEEDS", SEEDS);
    const char *only = getenv("PPS_PLAY_CASE");

    if (only != NULL && strcmp(only, options->name) != 0) {
        return;
    }
    for (uint64_t seed = first; seed < first + count; seed++) {
        node_play_finding_t finding;

        play_apart(&finding, play, options, seed);
        cr_expect_str_eq(finding.text, "", "%s, seed %llu: %s", options->name,
                         (unsigned long long)seed, finding.text);
    }
}

/* Guards against a good version that is rolled back, and sessions that go
 * back, as a host that starts decides on its own counts alone. */
Test(rollout_agreement, hosts_decide_on_what_all_have_counted)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        expect_no_finding(&cases[i]);
    }
}

/* Guards against a bad version that is not rolled back in time, as all hosts
 * have ended at once and the new ones take the roll-out for a new one. */
Test(rollout_agreement, all_hosts_forget_a_roll_out)
{
    for (size_t i = 0; i < sizeof(forgotten_cases) / sizeof(*forgotten_cases);
         i++) {
        expect_no_finding(&forgotten_cases[i]);
    }
}
