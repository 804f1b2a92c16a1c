/** @file test_poison_hosts.c @brief Tests that many hosts together keep
 * workers from requests which end them. */
#include "poison_play.h"

#include <criterion/criterion.h>

#define SEEDS 6
#define SENDS_AFTER_MAX 3
/** Share of the sound requests that may be refused. */
#define REFUSED_MAX 0.1

static const play_case_t plays[] = {
    {"six hosts", 6, 4, 40, 1, 0, 0, KEEP_ALL},
    {"six hosts, many bad requests", 6, 30, 40, 1, 0, 0, KEEP_ALL},
    {"six hosts, few bad requests", 6, 0.7, 20, 1, 0, 0, KEEP_ALL},
    {"six hosts, bad ones first", 6, 4, 2, 1, 10 * S, 0, KEEP_ALL},
    {"six hosts, few sound requests", 6, 4, 1, 1, 0, 0, KEEP_ALL},
    {"two bad parts at once", 6, 4, 40, 2, 0, 0, KEEP_ALL},
    {"two bad parts, first, few sound ones", 6, 4, 2, 2, 10 * S, 0, KEEP_ALL},
    {"95 hosts", 95, 4, 60, 1, 0, 0, KEEP_ALL},
    {"95 hosts, bad ones first", 95, 4, 3, 1, 10 * S, 0, KEEP_ALL},
    {"300 hosts", 300, 4, 60, 1, 0, 0, KEEP_ALL},
    {"hosts restarted", 6, 4, 40, 1, 0, 0, RESTART_ONE},
    {"95 hosts, restarted", 95, 4, 60, 1, 0, 0, RESTART_ONE},
    {"all hosts killed", 6, 4, 40, 1, 0, 0, KILL_ALL},
    {"a third of the hosts cut off", 6, 4, 40, 1, 0, 0, CUT_THIRD},
    {"95 hosts, a third cut off", 95, 4, 60, 1, 0, 0, CUT_THIRD},
    {"racks end as well", 6, 4, 40, 1, 0, 5 * S, KEEP_ALL},
    {"racks end, no bad request", 6, 0, 40, 0, 0, 4 * S, KEEP_ALL},
    {"racks end, few requests", 6, 0, 2, 0, 0, 2 * S, KEEP_ALL},
    {"same request", 6, 2, 40, 1, 0, 0, KEEP_ALL, 1},
    {"same request, often", 6, 15, 40, 1, 0, 0, KEEP_ALL, 1},
    {"same request, few others", 6, 1, 1, 1, 0, 0, KEEP_ALL, 1},
    {"two requests come again", 6, 2, 40, 2, 0, 0, KEEP_ALL, 1},
    {"same request, 95 hosts", 95, 2, 60, 1, 0, 0, KEEP_ALL, 1},
    {"same request, 300 hosts", 300, 2, 60, 1, 0, 0, KEEP_ALL, 1},
    {"same request, hosts restarted", 6, 2, 40, 1, 0, 0, RESTART_ONE, 1},
    {"same request, all hosts killed", 6, 2, 40, 1, 0, 0, KILL_ALL, 1},
    {"same request, a third cut off", 6, 2, 40, 1, 0, 0, CUT_THIRD, 1},
};

Test(poison_hosts, bad_requests_are_sent_on_after_enough_crashes)
{
    for (size_t i = 0; i < sizeof(plays) / sizeof(*plays); i++) {
        for (uint64_t seed = 1; seed <= SEEDS; seed++) {
            play_run(&plays[i], seed);
            for (unsigned int bad = 0; bad < plays[i].bad_kinds; bad++) {
                cr_expect(play.sends_after[bad] <= SENDS_AFTER_MAX,
                          "%s, seed %d: sent %u times more, %u ended",
                          plays[i].name, (int)seed, play.sends_after[bad],
                          play.crashes[bad]);
            }
            cr_expect(play.refused <= play.sound * REFUSED_MAX,
                      "%s, seed %d: %u of %u sound requests refused",
                      plays[i].name, (int)seed, play.refused, play.sound);
        }
    }
}
