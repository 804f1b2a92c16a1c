/** @file test_gossip_readers.c @brief Which hosts read the store for all. */
#include "clock.h"
#include "gossip/gossip_state.h"

#include <criterion/criterion.h>
#include <stdio.h>

#define NOW (100 * PPS_US_PER_S)
#define HOSTS 4

/** A host; the first one of a case is the host that is asked. */
typedef struct {
    const char *id;
    int link_mbps;
    int64_t read_age_us; /* -1: it does not reach the store */
    int leaving;
} host_t;

typedef struct {
    const char *what;
    host_t hosts[HOSTS];
    int reads;
    int is_first;
} case_t;

#define READS 1000

static const case_t cases[] = {
    {"alone", {{"c", 10, READS, 0}}, 1, 1},
    {"the first by id", {{"a", 10, READS}, {"b", 10, READS}}, 1, 1},
    {"the second by id", {{"b", 10, READS}, {"a", 10, READS}}, 1, 0},
    {"two go before it",
     {{"c", 10, READS}, {"a", 10, READS}, {"b", 10, READS}},
     0,
     0},
    {"one of these does not reach the store",
     {{"c", 10, READS}, {"a", 10, -1}, {"b", 10, READS}},
     1,
     0},
    {"one of these leaves",
     {{"c", 10, READS}, {"a", 10, READS, 1}, {"b", 10, READS}},
     1,
     0},
    {"what one of these read is old",
     {{"c", 10, READS}, {"a", 10, 3 * PPS_US_PER_S}, {"b", 10, READS}},
     1,
     0},
    {"first by id behind faster links",
     {{"a", 10, READS}, {"y", 200, READS}, {"z", 200, READS}},
     0,
     0},
    {"the fastest link",
     {{"z", 200, READS}, {"a", 10, READS}, {"b", 10, READS}},
     1,
     1},
    {"fast links that do not reach the store",
     {{"a", 10, READS}, {"y", 200, -1}, {"z", 200, -1}},
     1,
     1},
};

static void
fill(pps_gossip_state_t *state, const host_t *host)
{
    snprintf(state->host_id, sizeof(state->host_id), "%s", host->id);
    state->link_mbps = host->link_mbps;
    state->read_age_us = host->read_age_us;
    state->leaving = host->leaving;
}

Test(gossip_readers, table)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_reactor_t reactor = {.now_us = NOW};
        pps_gossip_t gossip = {.reactor = &reactor,
                               .read_age_max_us = PPS_US_PER_S};
        pps_gossip_peer_t peers[HOSTS] = {0};

        CDS_INIT_LIST_HEAD(&gossip.peers);
        fill(&gossip.own.state, &cases[i].hosts[0]);
        for (size_t n = 1; n < HOSTS && cases[i].hosts[n].id != NULL; n++) {
            fill(&peers[n].state, &cases[i].hosts[n]);
            peers[n].heard_us = NOW;
            cds_list_add_tail(&peers[n].node, &gossip.peers);
        }
        cr_expect_eq(pps_gossip_is_reader(&gossip), cases[i].reads, "%s",
                     cases[i].what);
        cr_expect_eq(pps_gossip_is_first_reader(&gossip), cases[i].is_first,
                     "%s: first", cases[i].what);
    }
}
