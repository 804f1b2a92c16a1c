/** @file test_gossip_readers.c @brief Tests the selection of readers. */
#include "clock.h"
#include "gossip/gossip_state.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define NOW_US (100 * PPS_US_PER_S)
#define HOSTS_MAX 4

/** A host; the first one of a case is the local host. */
typedef struct {
    const char *id;
    int link_mbps;
    int64_t read_age_us; /* -1: its reads of the store fail */
    int leaving;
    unsigned int lacks;
} host_t;

typedef struct {
    const char *name;
    host_t hosts[HOSTS_MAX];
    int is_reader;
    int is_first;
} case_t;

#define FRESH_US 1000

static const case_t cases[] = {
    {"the only host", {{"c", 10, FRESH_US, 0}}, 1, 1},
    {"first by id", {{"a", 10, FRESH_US}, {"b", 10, FRESH_US}}, 1, 1},
    {"second by id", {{"b", 10, FRESH_US}, {"a", 10, FRESH_US}}, 1, 0},
    {"two hosts rank before it",
     {{"c", 10, FRESH_US}, {"a", 10, FRESH_US}, {"b", 10, FRESH_US}},
     0,
     0},
    {"one of the two does not reach the store",
     {{"c", 10, FRESH_US}, {"a", 10, -1}, {"b", 10, FRESH_US}},
     1,
     0},
    {"one of the two is leaving",
     {{"c", 10, FRESH_US}, {"a", 10, FRESH_US, 1}, {"b", 10, FRESH_US}},
     1,
     0},
    {"the last read of one of the two is old",
     {{"c", 10, FRESH_US}, {"a", 10, 3 * PPS_US_PER_S}, {"b", 10, FRESH_US}},
     1,
     0},
    {"first by id, slower link than two others",
     {{"a", 10, FRESH_US}, {"y", 200, FRESH_US}, {"z", 200, FRESH_US}},
     0,
     0},
    {"fastest link",
     {{"z", 200, FRESH_US}, {"a", 10, FRESH_US}, {"b", 10, FRESH_US}},
     1,
     1},
    {"hosts with faster links do not reach the store",
     {{"a", 10, FRESH_US}, {"y", 200, -1}, {"z", 200, -1}},
     1,
     1},
};

static void
fill_state(pps_gossip_state_t *state, const host_t *host)
{
    snprintf(state->host_id, sizeof(state->host_id), "%s", host->id);
    state->link_mbps = host->link_mbps;
    state->read_age_us = host->read_age_us;
    state->leaving = host->leaving;
    state->lacks = host->lacks;
}

static pps_reactor_t reactor = {.now_us = NOW_US};

/* Lets the first host know the others. */
static void
start(pps_gossip_t *gossip, pps_gossip_peer_t *peers, const host_t *hosts)
{
    memset(gossip, 0, sizeof(*gossip));
    memset(peers, 0, HOSTS_MAX * sizeof(*peers));
    gossip->reactor = &reactor;
    gossip->read_age_max_us = PPS_US_PER_S;
    CDS_INIT_LIST_HEAD(&gossip->peers);
    fill_state(&gossip->own.state, &hosts[0]);
    for (size_t n = 1; n < HOSTS_MAX && hosts[n].id != NULL; n++) {
        fill_state(&peers[n].state, &hosts[n]);
        peers[n].last_received_us = NOW_US;
        cds_list_add_tail(&peers[n].node, &gossip->peers);
    }
}

Test(gossip_readers, table)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_gossip_t gossip;
        pps_gossip_peer_t peers[HOSTS_MAX];

        start(&gossip, peers, cases[i].hosts);
        cr_expect_eq(pps_gossip_is_reader(&gossip), cases[i].is_reader, "%s",
                     cases[i].name);
        cr_expect_eq(pps_gossip_is_first_reader(&gossip), cases[i].is_first,
                     "%s: first", cases[i].name);
    }
}

#define RULE PPS_GOSSIP_LACKS_RELEVANCE_RULE

typedef struct {
    const char *name;
    host_t hosts[HOSTS_MAX];
    int reads;
} beside_case_t;

static const beside_case_t beside_older[] = {
    {"no older build",
     {{"c", 10, FRESH_US}, {"a", 10, FRESH_US}, {"b", 10, FRESH_US}},
     0},
    {"both readers are of an older build",
     {{"c", 10, FRESH_US},
      {"a", 10, FRESH_US, 0, RULE},
      {"b", 10, FRESH_US, 0, RULE}},
     1},
    {"one of them is, and no other host ranks before it",
     {{"c", 10, FRESH_US}, {"a", 10, FRESH_US, 0, RULE}, {"b", 10, FRESH_US}},
     1},
    {"two hosts of its build rank before it",
     {{"d", 10, FRESH_US},
      {"a", 10, FRESH_US, 0, RULE},
      {"b", 10, FRESH_US},
      {"c", 10, FRESH_US}},
     0},
    {"a build that lacks something else",
     {{"c", 10, FRESH_US},
      {"a", 10, FRESH_US, 0, PPS_GOSSIP_LACKS_DIGESTS},
      {"b", 10, FRESH_US}},
     0},
};

Test(gossip_readers, hosts_that_read_beside_older_builds)
{
    for (size_t i = 0; i < sizeof(beside_older) / sizeof(*beside_older); i++) {
        pps_gossip_t gossip;
        pps_gossip_peer_t peers[HOSTS_MAX];

        start(&gossip, peers, beside_older[i].hosts);
        cr_expect_eq(pps_gossip_reads_beside_older(&gossip, RULE),
                     beside_older[i].reads, "%s", beside_older[i].name);
    }
}
