/** @file test_gossip_records.c @brief Records reach all hosts through relays
 * in time, with lost datagrams and lost hosts. */
#include "clock.h"
#include "gossip_play.h"

#include <criterion/criterion.h>
#include <stdio.h>

/** A changed record is at all hosts within this time (heavy-load.md). */
#define CHANGE_MAX_US (1 * PPS_US_PER_S)
/** A leaving worker's record, also just after a host was lost (drain_ms). */
#define LEAVING_MAX_US (3 * PPS_US_PER_S)
#define RECORDS 40
#define RECORD_PERIOD_US (200 * PPS_US_PER_MS)
/** Time in which the hosts hear each other first. */
#define WARM_UP_US (6 * PPS_US_PER_S)
#define FREEZE_US (3 * PPS_US_PER_S)

typedef enum { NOBODY, READER, RELAY } victim_t;

typedef struct {
    const char *name;
    gossip_play_options_t options;
    victim_t victim;
    gossip_play_fault_t fault;
    int64_t delay_max_us;
} case_t;

static const case_t cases[] = {
    {"60 hosts", {60, 3, 0, 1}, NOBODY, GOSSIP_PLAY_NOTHING, CHANGE_MAX_US},
    {"60, lossy", {60, 3, 0.025, 2}, NOBODY, 0, CHANGE_MAX_US},
    {"300, lossy", {300, 3, 0.025, 3}, NOBODY, 0, CHANGE_MAX_US},
    {"60, relay killed",
     {60, 3, 0.025, 5},
     RELAY,
     GOSSIP_PLAY_KILLED,
     LEAVING_MAX_US},
    {"60, reader killed",
     {60, 3, 0.025, 6},
     READER,
     GOSSIP_PLAY_KILLED,
     LEAVING_MAX_US},
    {"300, relay killed",
     {300, 3, 0.025, 7},
     RELAY,
     GOSSIP_PLAY_KILLED,
     LEAVING_MAX_US},
    {"300, relay frozen",
     {300, 3, 0.025, 8},
     RELAY,
     GOSSIP_PLAY_FROZEN,
     LEAVING_MAX_US},
    {"300, relay cut off",
     {300, 3, 0.025, 9},
     RELAY,
     GOSSIP_PLAY_CUT_OFF,
     LEAVING_MAX_US},
    {"300, reader killed",
     {300, 3, 0.025, 10},
     READER,
     GOSSIP_PLAY_KILLED,
     LEAVING_MAX_US},
    {"300, reader frozen",
     {300, 3, 0.025, 11},
     READER,
     GOSSIP_PLAY_FROZEN,
     LEAVING_MAX_US},
    {"300, reader cut off",
     {300, 3, 0.025, 12},
     READER,
     GOSSIP_PLAY_CUT_OFF,
     LEAVING_MAX_US},
    {"600, relay frozen",
     {600, 10, 0.025, 13},
     RELAY,
     GOSSIP_PLAY_FROZEN,
     LEAVING_MAX_US},
};

typedef struct {
    int64_t worst_us;
    double most_bytes_per_s;
    unsigned int store_reads;
} result_t;

/* A host that was frozen or cut off gets what it missed when it is back; its
 * delays are not those of the hosts in contact. */
static result_t
sum_up(const gossip_play_t *play, unsigned int victim, int64_t duration_us)
{
    result_t result = {0};

    for (unsigned int i = 0; i < play->options.hosts; i++) {
        const gossip_play_host_t *host = &play->hosts[i];
        double per_s = (double)(host->sent_bytes + host->received_bytes) *
                       (double)PPS_US_PER_S / (double)duration_us;

        if (i == victim) {
            continue;
        }
        result.store_reads += host->store_reads;
        if (host->worst_delay_us > result.worst_us) {
            result.worst_us = host->worst_delay_us;
        }
        if (per_s > result.most_bytes_per_s) {
            result.most_bytes_per_s = per_s;
        }
    }
    return result;
}

static unsigned int
break_victim(gossip_play_t *play, const case_t *item)
{
    unsigned int victim = play->options.hosts;

    if (item->victim != NOBODY) {
        victim = item->victim == READER ? gossip_play_find_reader(play)
                                        : gossip_play_find_relay(play);
        gossip_play_break(play, victim, item->fault, FREEZE_US);
    }
    return victim;
}

/* Guards against records that are late or missing when datagrams or a host on
 * their way are lost. */
Test(gossip_records, reach_all_hosts, .timeout = 300)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const case_t *item = &cases[i];
        gossip_play_t *play = gossip_play_new(&item->options);
        int64_t start_us;
        unsigned int victim;
        result_t result;

        gossip_play_run(play, WARM_UP_US);
        gossip_play_reset_counts(play);
        start_us = play->reactor.now_us;
        victim = break_victim(play, item);
        for (unsigned int n = 0; n < RECORDS; n++) {
            gossip_play_publish(play);
            gossip_play_run(play, RECORD_PERIOD_US);
        }
        gossip_play_run(play, LEAVING_MAX_US);
        result = sum_up(play, victim, play->reactor.now_us - start_us);
        cr_log_info("%s: %.0f ms, %.0f B/s, %u reads\n", item->name,
                    (double)result.worst_us / PPS_US_PER_MS,
                    result.most_bytes_per_s, result.store_reads);
        cr_expect_eq(gossip_play_count_behind(play), 0, "%s", item->name);
        cr_expect_leq(result.worst_us, item->delay_max_us, "%s: %ld us",
                      item->name, (long)result.worst_us);
        gossip_play_free(play);
    }
}

typedef struct {
    const char *name;
    gossip_play_options_t options;
    double received_min; /* share of the other hosts */
} report_case_t;

static const report_case_t report_cases[] = {
    {"60", {60, 3, 0, 1}, 1},
    {"300", {300, 3, 0, 2}, 1},
    {"600", {600, 10, 0, 3}, 1},
    {"300, lossy", {300, 3, 0.025, 4}, 0.975},
};

static void
expect_report(gossip_play_t *play, const report_case_t *item,
              unsigned int origin, const char *role)
{
    unsigned int received = 0;

    for (unsigned int i = 0; i < play->options.hosts; i++) {
        play->hosts[i].reports = 0;
    }
    gossip_play_report_leaving(play, origin);
    gossip_play_run(play, PPS_US_PER_S);
    for (unsigned int i = 0; i < play->options.hosts; i++) {
        received += play->hosts[i].reports;
        cr_expect_leq(play->hosts[i].reports, 1, "%s, %s: host %u got %u",
                      item->name, role, i, play->hosts[i].reports);
    }
    cr_expect_eq(play->hosts[origin].reports, 0);
    cr_expect_geq(received, (play->options.hosts - 1) * item->received_min,
                  "%s, %s: %u received it", item->name, role, received);
}

/* Guards against reports of leaving, limited and brittle workers that miss
 * hosts, or arrive twice: a rejection would then count twice. A single
 * datagram to each host, as with few hosts, loses as many as the network does.
 */
Test(gossip_records, reports_reach_all_hosts_once, .timeout = 300)
{
    for (size_t i = 0; i < sizeof(report_cases) / sizeof(*report_cases); i++) {
        const report_case_t *item = &report_cases[i];
        gossip_play_t *play = gossip_play_new(&item->options);

        gossip_play_run(play, WARM_UP_US);
        expect_report(play, item, play->options.hosts - 1, "a host");
        expect_report(play, item, gossip_play_find_relay(play), "a relay");
        expect_report(play, item, gossip_play_find_reader(play), "a reader");
        gossip_play_free(play);
    }
}
