/** @file test_copy_spread.c @brief Plays a new configuration at 60 and 300
 * hosts on a simulated clock. */
#include "clock.h"
#include "copy_play.h"

#include <criterion/criterion.h>
#include <stdio.h>

#define SEEDS 5
/** Limit for a configuration to be in force at all hosts (heavy-load.md). */
#define CONFIG_MAX_US (3000 * PPS_US_PER_MS)
/** 400 KB of JSON, compressed, and as the store sends it in base64. */
#define PACKED_BYTES 41000
#define STORE_BYTES 540000
/** Unpacking and parsing 460 KB took 9 ms of a core; applying it takes more.
 */
#define APPLY_US 20000

static const copy_play_case_t cases[] = {
    {"60 hosts, 4 domains", 60, 4, 900, 0, PACKED_BYTES, STORE_BYTES, APPLY_US,
     0, 0, 0},
    {"60 hosts, 3 far domains", 60, 3, 5400, 0, PACKED_BYTES, STORE_BYTES,
     APPLY_US, 0, 0, 0},
    {"300 hosts", 300, 10, 1400, 0, PACKED_BYTES, STORE_BYTES, APPLY_US, 0, 0,
     0},
    {"300 hosts, states go to relays only", 300, 10, 1400, 0, PACKED_BYTES,
     STORE_BYTES, APPLY_US, 0, 1, 0},
    {"300 hosts, 3 far domains", 300, 3, 5400, 0, PACKED_BYTES, STORE_BYTES,
     APPLY_US, 0, 1, 0},
    {"300 hosts, packets are lost", 300, 10, 1400, 0.025, PACKED_BYTES,
     STORE_BYTES, APPLY_US, 0, 1, 0},
    {"300 hosts, a tenth of them fail", 300, 10, 1400, 0.001, PACKED_BYTES,
     STORE_BYTES, APPLY_US, 0.1, 1, 0},
};

/* Guards against a configuration that waits for one host's link: 300 copies of
 * 400 KB from two hosts take over 10 s. */
Test(copy_spread, configuration_is_in_force_in_time)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        for (uint64_t seed = 1; seed <= SEEDS; seed++) {
            copy_play_result_t r = copy_play_run(&cases[i], seed);

            printf("%s, seed %u: %.3f s, median %.3f s, %u store reads, "
                   "%u refusals, %u outdated\n",
                   cases[i].name, (unsigned int)seed,
                   (double)r.last_us / PPS_US_PER_S,
                   (double)r.median_us / PPS_US_PER_S, r.store_reads,
                   r.refusals, r.outdated);
            cr_expect_eq(r.unfinished, 0, "%s: %u", cases[i].name,
                         r.unfinished);
            cr_expect_leq(r.last_us, CONFIG_MAX_US, "%s", cases[i].name);
        }
    }
}
