/** @file test_serving.c @brief Tests the evaluation of the right to start
 * work. */
#include "papayaswitch/serving.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define HOSTS_MAX 5
#define NOW 10000
#define WINDOW 2000
#define STARTED 9500
#define NONE PPS_TIME_NONE

/** Report of a peer in a case; `echo` is NONE when no pong arrived. */
typedef struct {
    int64_t echo;
    uint64_t next;
    int64_t age;
    int unsynced;
} peer_case_t;

typedef struct {
    const char *name;
    size_t listed; /**< hosts in the list, including this one */
    uint64_t next;
    int unsynced;
    int64_t read_sent;
    uint64_t head;
    peer_case_t peers[HOSTS_MAX - 1];
    int64_t valid_until;
    int synced;
    pps_serving_reason_t reason;
} serving_case_t;

#define CASE(name, listed, next, unsynced, read, head, until, synced, reason, \
             ...)                                                             \
    {                                                                         \
        name, listed, next, unsynced, read, head, {__VA_ARGS__}, until,       \
            synced, PPS_SERVING_##reason                                      \
    }
#define PEER(echo, next, age, unsynced)                                       \
    {                                                                         \
        echo, next, age, unsynced                                             \
    }
#define NO_PONG PEER(NONE, 0, NONE, 0)
#define NO_PEERS NO_PONG, NO_PONG, NO_PONG, NO_PONG

static const serving_case_t serving_cases[] = {
    CASE("own read", 3, 5, 1, 9000, 5, 11000, 1, OWN_EVIDENCE, NO_PEERS),
    CASE("own read, records not applied yet", 3, 5, 0, 9000, 6, 0, 1, ISOLATED,
         NO_PEERS),
    CASE("own read too old", 3, 5, 0, 8000, 5, 0, 1, ISOLATED, NO_PEERS),
    CASE("peer's read, age counts from the ping", 3, 5, 1, NONE, 0, 11600, 1,
         PEER_EVIDENCE, PEER(9900, 5, 300, 0), NO_PONG),
    CASE("peer's read at a lower offset", 3, 5, 0, NONE, 0, 11900, 1, MAJORITY,
         PEER(9900, 4, 300, 0), NO_PONG),
    CASE("peer's read at a higher offset", 3, 5, 0, NONE, 0, 0, 1, BEHIND,
         PEER(9900, 6, 300, 0), NO_PONG),
    CASE("behind a peer, with an own read", 3, 5, 0, 9000, 5, 11000, 1,
         OWN_EVIDENCE, PEER(9900, 6, NONE, 0), NO_PONG),
    CASE("peer's read from before the start does not sync", 3, 5, 1, NONE, 0,
         0, 0, NO_STATE, PEER(9900, 5, 400, 0), NO_PONG),
    CASE("majority of three", 3, 5, 0, NONE, 0, 11500, 1, MAJORITY,
         PEER(9500, 5, NONE, 0), NO_PONG),
    CASE("majority of five takes the third newest", 5, 5, 0, NONE, 0, 11200, 1,
         MAJORITY, PEER(9900, 5, NONE, 0), PEER(9200, 5, NONE, 0),
         PEER(8500, 4, NONE, 0), NO_PONG),
    CASE("no majority", 5, 5, 0, NONE, 0, 0, 1, ISOLATED,
         PEER(9900, 5, NONE, 0), NO_PONG, NO_PONG, NO_PONG),
    CASE("half is no majority", 4, 5, 0, NONE, 0, 0, 1, ISOLATED,
         PEER(9900, 5, NONE, 0), NO_PONG, NO_PONG),
    CASE("a pong as old as the window does not count", 3, 5, 0, NONE, 0, 0, 1,
         ISOLATED, PEER(8000, 5, NONE, 0), NO_PONG),
    CASE("majority, one host at a higher offset", 3, 5, 0, NONE, 0, 0, 1,
         BEHIND, PEER(9900, 5, NONE, 0), PEER(9900, 6, NONE, 0)),
    CASE("an unsynced peer does not count", 3, 5, 0, NONE, 0, 0, 1, ISOLATED,
         PEER(9900, 5, NONE, 1), NO_PONG),
    CASE("unsynced self does not count", 3, 5, 1, NONE, 0, 0, 0, NO_STATE,
         PEER(9900, 5, NONE, 0), NO_PONG),
    CASE("a majority of other hosts syncs", 3, 5, 1, NONE, 0, 11700, 1,
         MAJORITY, PEER(9900, 5, NONE, 0), PEER(9700, 5, NONE, 0)),
    CASE("a majority of other hosts, records not fetched", 3, 5, 1, NONE, 0, 0,
         0, BEHIND, PEER(9900, 6, NONE, 0), PEER(9700, 5, NONE, 0)),
    CASE("alone in the list", 1, 5, 0, NONE, 0, 12000, 1, MAJORITY, NO_PEERS),
    CASE("alone in the list, never read the log", 1, 5, 1, NONE, 0, 0, 0,
         NO_STATE, NO_PEERS),
    CASE("no pong from the only other host", 2, 5, 0, NONE, 0, 0, 1, ISOLATED,
         NO_PONG),
};

static void
fill_hosts(pps_host_t hosts[HOSTS_MAX])
{
    memset(hosts, 0, HOSTS_MAX * sizeof(*hosts));
    for (int i = 0; i < HOSTS_MAX; i++) {
        snprintf(hosts[i].id, sizeof(hosts[i].id), "h%d", i);
    }
}

static pps_serving_verdict_t
evaluate(const serving_case_t *c)
{
    pps_host_t hosts[HOSTS_MAX];
    pps_host_report_t reports[HOSTS_MAX];
    pps_host_list_t list = {hosts, c->listed};
    pps_serving_input_t input = PPS_SERVING_INPUT_INIT;
    pps_serving_verdict_t verdict;

    fill_hosts(hosts);
    memset(reports, 0, sizeof(reports));
    for (size_t i = 0; i + 1 < c->listed; i++) {
        const peer_case_t *peer = &c->peers[i];

        strcpy(reports[i].id, hosts[i + 1].id);
        reports[i].echo_us = peer->echo;
        reports[i].pong_received_us = peer->echo;
        reports[i].status.next_offset = peer->next;
        reports[i].status.evidence_age_us = peer->age;
        reports[i].status.synced = !peer->unsynced;
    }
    input.self_id = "h0";
    input.next_offset = c->next;
    input.synced = !c->unsynced;
    input.started_us = STARTED;
    input.read_sent_us = c->read_sent;
    input.read_head = c->head;
    input.hosts = &list;
    input.reports = reports;
    input.report_count = c->listed - 1;
    input.window_us = WINDOW;
    input.now_us = NOW;
    cr_assert_eq(pps_serving_evaluate(&verdict, &input), 0);
    return verdict;
}

Test(serving, cases)
{
    for (size_t i = 0; i < sizeof(serving_cases) / sizeof(serving_cases[0]);
         i++) {
        const serving_case_t *c = &serving_cases[i];
        pps_serving_verdict_t verdict = evaluate(c);

        cr_expect_eq(verdict.valid_until_us, c->valid_until, "%s: %ld",
                     c->name, (long)verdict.valid_until_us);
        cr_expect_eq(verdict.synced, c->synced, "%s", c->name);
        cr_expect_eq(verdict.reason, c->reason, "%s: %d", c->name,
                     verdict.reason);
    }
}

Test(serving, the_right_expires_without_an_update)
{
    pps_serving_verdict_t verdict = {.valid_until_us = 100,
                                     .reason = PPS_SERVING_MAJORITY};
    pps_serving_t serving;

    pps_serving_init(&serving);
    cr_expect_not(pps_serving_may_start(&serving, 0));
    cr_expect_str_eq(pps_serving_reason(&serving, 0), "not_started");
    pps_serving_publish(&serving, &verdict);
    cr_expect(pps_serving_may_start(&serving, 99));
    cr_expect_not(pps_serving_may_start(&serving, 100));
    cr_expect_str_eq(pps_serving_reason(&serving, 99), "majority");
    cr_expect_str_eq(pps_serving_reason(&serving, 100), "expired");
}
