/** @file test_node_agreement.c @brief Tests that hosts in touch believe the
 * same of each worker, and what the store says, after faults in any order. */
#include "node_play.h"

#include "clock.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

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

/* Runs a play in a process of its own, as hosts are never freed. */
static void
play_apart(node_play_finding_t *out, const node_play_options_t *options,
           uint64_t seed)
{
    int ends[2];
    int status = 0;
    pid_t pid;
    ssize_t size;

    cr_assert_eq(pipe(ends), 0);
    pid = fork();
    cr_assert_geq(pid, 0);
    if (pid == 0) {
        play(options, seed);
        size = write(ends[1], &node_play->finding, sizeof(*out));
        _exit(size == sizeof(*out) ? 0 : 1);
    }
    close(ends[1]);
    size = read(ends[0], out, sizeof(*out));
    close(ends[0]);
    waitpid(pid, &status, 0);
    if (size != sizeof(*out) || status != 0) {
        snprintf(out->text, sizeof(out->text), "the play ended: status %d",
                 status);
    }
}

static uint64_t
read_number(const char *name, uint64_t otherwise)
{
    const char *text = getenv(name);

    return text != NULL ? strtoull(text, NULL, 10) : otherwise;
}

/* Guards against a worker that has left, or has come back, and of which a host
 * never learns, as hosts judged by their own state which records count. */
Test(node_agreement, hosts_believe_what_the_store_says)
{
    uint64_t first = read_number("PPS_PLAY_FIRST", 1);
    uint64_t count = read_number("PPS_PLAY_SEEDS", SEEDS);

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        for (uint64_t seed = first; seed < first + count; seed++) {
            node_play_finding_t finding;

            play_apart(&finding, &cases[i], seed);
            cr_expect_str_eq(finding.text, "", "%s, seed %llu: %s",
                             cases[i].name, (unsigned long long)seed,
                             finding.text);
        }
    }
}
