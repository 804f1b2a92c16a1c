/** @file test_rollout_agreement.c @brief Tests that hosts that start, stop and
 * fail within a roll-out decide on what all hosts have counted. */
#include "rollout_play.h"

#include "play_apart.h"

#include <criterion/criterion.h>
#include <stdlib.h>

/** Seeds of each case in CI. PPS_PLAY_FIRST and PPS_PLAY_SEEDS set others. */
#define SEEDS 4

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
    {"the store is restored", 6, 0, ROLLOUT_PLAY_RESTORE, 0},
    {"anything", 8, 2, ROLLOUT_PLAY_ANYTHING, 0},
    {"many hosts, nothing happens", 18, 0, ROLLOUT_PLAY_NOTHING, 0},
    {"many hosts restart in turn", 18, 0, ROLLOUT_PLAY_TURNS, 0},
    {"many hosts, two restart", 18, 0, ROLLOUT_PLAY_TWO_RESTARTS, 0},
    {"many hosts, anything", 18, 3, ROLLOUT_PLAY_ANYTHING, 0},
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

/* Guards against a good version that is rolled back, and sessions that go
 * back, as a host that starts decides on its own counts alone. */
Test(rollout_agreement, hosts_decide_on_what_all_have_counted)
{
    uint64_t first = play_apart_number("PPS_PLAY_FIRST", 1);
    uint64_t count = play_apart_number("PPS_PLAY_SEEDS", SEEDS);
    const char *only = getenv("PPS_PLAY_CASE");

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        if (only != NULL && strcmp(only, cases[i].name) != 0) {
            continue;
        }
        for (uint64_t seed = first; seed < first + count; seed++) {
            node_play_finding_t finding;

            play_apart(&finding, play, &cases[i], seed);
            cr_expect_str_eq(finding.text, "", "%s, seed %llu: %s",
                             cases[i].name, (unsigned long long)seed,
                             finding.text);
        }
    }
}
