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

/** Requests are served again within this time after a start of all hosts. */
#define RECOVER_MAX_US (15 * PPS_US_PER_S)
/** A configuration of 400 KB and 3,000 workers: compressed, as the store sends
 * them, and the time of a core to apply them. Computed. */
#define START_PACKED_BYTES 250000
#define START_STORE_BYTES 1750000
#define START_APPLY_US 60000

static const copy_play_case_t starts[] = {
    {"60 hosts start", 60, 4, 900, 0, START_PACKED_BYTES, START_STORE_BYTES,
     START_APPLY_US, 0, 0, 1},
    {"300 hosts start", 300, 10, 1400, 0, START_PACKED_BYTES,
     START_STORE_BYTES, START_APPLY_US, 0, 0, 1},
    {"300 hosts start, packets are lost", 300, 10, 1400, 0.025,
     START_PACKED_BYTES, START_STORE_BYTES, START_APPLY_US, 0, 0, 1},
    {"300 hosts start, half of those listed are gone", 300, 10, 1400, 0.001,
     START_PACKED_BYTES, START_STORE_BYTES, START_APPLY_US, 0.5, 0, 1},
};

/* Guards against a start of all hosts in which each lists the whole store: 300
 * listings of 1.75 MB are 525 MB, over links of 10 Mbit/s. Less than half of
 * the hosts may list. */
Test(copy_spread, start_of_all_is_over_in_time)
{
    for (size_t i = 0; i < sizeof(starts) / sizeof(*starts); i++) {
        for (uint64_t seed = 1; seed <= SEEDS; seed++) {
            copy_play_result_t r = copy_play_run(&starts[i], seed);

            printf("%s, seed %u: %.3f s, median %.3f s, %u store reads, "
                   "%u refusals\n",
                   starts[i].name, (unsigned int)seed,
                   (double)r.last_us / PPS_US_PER_S,
                   (double)r.median_us / PPS_US_PER_S, r.store_reads,
                   r.refusals);
            cr_expect_eq(r.unfinished, 0, "%s: %u", starts[i].name,
                         r.unfinished);
            cr_expect_leq(r.last_us, RECOVER_MAX_US, "%s", starts[i].name);
            cr_expect_lt(r.store_reads, starts[i].hosts / 2, "%s: %u",
                         starts[i].name, r.store_reads);
        }
    }
}
