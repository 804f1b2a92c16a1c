/** @file test_node_agreement.c @brief Tests that hosts in touch believe the
 * same of each worker, and what the store says, after faults in any order. */
#include "node_play.h"

#include "clock.h"
#include "play_apart.h"

#include <criterion/criterion.h>

/** Course of a play: faults, then changes without faults, then nothing. */
#define FAULTS_FROM_MS 3000
#define FAULTS_END_MS 15000
#define RESTORES_END_MS 10000
#define CHANGES_END_MS 24000
#define END_MS 27000
#define ACT_MIN_MS 50
#define ACT_MAX_MS 700
/** Seeds of each case in CI. PPS_PLAY_FIRST and PPS_PLAY_SEEDS set others. */
#define SEEDS 12

static const node_play_options_t cases[] = {
    {"few hosts", 6, 2, 10, 0},
    {"few hosts, a store that comes back from backups", 6, 2, 10, 1},
    {"many hosts", 18, 3, 14, 0},
    {"many hosts, a store that comes back from backups", 18, 3, 14, 1},
};

static unsigned int
draw(unsigned int bound)
{
    return (unsigned int)pps_rng_below(&node_play->rng, bound);
}

/* The store refuses some hosts for a time. */
static void
cut_from_store(int64_t duration_us)
{
    for (unsigned int i = 0; i < node_play->options.hosts; i++) {
        if (draw(5) < 2) {
            node_play->hosts[i].store_cut_until_us =
                node_play->now_us + duration_us;
        }
    }
}

static void
restore_store(void)
{
    if (!node_play->options.restores ||
        node_play_elapsed_ms() >= RESTORES_END_MS) {
        return;
    }
    if (draw(2) == 0) {
        node_play_store_back_up();
    }
    else {
        node_play_store_restore();
    }
}

static void
break_something(void)
{
    node_play_host_t *host = &node_play->hosts[draw(node_play->options.hosts)];
    enum {
        STOP,
        LAPSE,
        REFUSE,
        CUT,
        FREEZE,
        KILL,
        COMPACT,
        RESTORE,
        LOSE,
        ACTS
    };

    switch (draw(ACTS)) {
    case STOP:
        node_play_store_stop(node_play_draw_us(300, 4000), 0);
        break;
    case LAPSE:
        node_play_store_stop(node_play_draw_us(1000, 4000), 1);
        break;
    case REFUSE:
        cut_from_store(node_play_draw_us(500, 8000));
        break;
    case CUT:
        host->cut_until_us = node_play->now_us + node_play_draw_us(300, 6000);
        break;
    case FREEZE:
        host->frozen_until_us =
            node_play->now_us + node_play_draw_us(200, 3000);
        break;
    case KILL:
        node_play_kill((unsigned int)(host - node_play->hosts),
                       node_play_draw_us(200, 2000));
        break;
    case COMPACT:
        node_play_store_compact();
        break;
    case RESTORE:
        restore_store();
        break;
    default:
        node_play->loss = 0.3;
        node_play->lossy_until_us =
            node_play->now_us + node_play_draw_us(500, 4000);
        break;
    }
}

static void
change_something(void)
{
    if (draw(5) == 0) {
        node_play_change_operator();
    }
    else {
        node_play_change_worker();
    }
}

static void
play(const node_play_options_t *options, uint64_t seed)
{
    node_play_start(options, seed);
    node_play_store_back_up();
    node_play_run_until(FAULTS_FROM_MS);
    while (node_play_elapsed_ms() < FAULTS_END_MS &&
           node_play->finding.text[0] == '\0') {
        node_play_run_until(node_play_elapsed_ms() +
                            node_play_draw_us(ACT_MIN_MS, ACT_MAX_MS) /
                                PPS_US_PER_MS);
        if (draw(2) == 0) {
            break_something();
        }
        else {
            change_something();
        }
    }
    node_play_calm();
    while (node_play_elapsed_ms() < CHANGES_END_MS &&
           node_play->finding.text[0] == '\0') {
        node_play_run_until(node_play_elapsed_ms() +
                            node_play_draw_us(ACT_MIN_MS, ACT_MAX_MS) /
                                PPS_US_PER_MS);
        change_something();
    }
    node_play_run_until(END_MS);
    node_play->is_still = 1;
    node_play_compare();
}

static void
play_case(const void *options, uint64_t seed)
{
    play(options, seed);
}

/* Guards against a worker that has left, or has come back, and of which a host
 * never learns, as hosts judged by their own state which records count. */
Test(node_agreement, hosts_believe_what_the_store_says)
{
    uint64_t first = play_apart_number("PPS_PLAY_FIRST", 1);
    uint64_t count = play_apart_number("PPS_PLAY_SEEDS", SEEDS);

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        for (uint64_t seed = first; seed < first + count; seed++) {
            node_play_finding_t finding;

            play_apart(&finding, play_case, &cases[i], seed);
            cr_expect_str_eq(finding.text, "", "%s, seed %llu: %s",
                             cases[i].name, (unsigned long long)seed,
                             finding.text);
        }
    }
}
