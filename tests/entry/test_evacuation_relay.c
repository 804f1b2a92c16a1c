/** @file test_evacuation_relay.c @brief Tests that a reader passes orders to
 * evacuate on to the other hosts as single records. */
#include "clock.h"
#include "mirror_fixture.h"
#include "names.h"
#include "net.h"
#include "node_operator.h"
#include "steady_clock.h"

#include <criterion/criterion.h>
#include <string.h>
#include <unistd.h>

#define KEY PPS_KEY_EVACUATE "za"
#define PORT_FIRST 20100
#define PORTS 20000
#define READER_ADDRESS "127.0.77.1"
#define OTHER_ADDRESS "127.0.77.2"
#define WAIT_MS 2000
#define QUIET_MS 50

static pps_node_t node;
static size_t states;  /* received by the reader */
static size_t records; /* received by the other host */
static int is_deletion;
static int64_t offset;
static int64_t relevant_end_before;

static void
fill_state(void *user, pps_gossip_state_t *out)
{
    out->read_age_us = 0;
}

static void
on_state(void *user, const pps_gossip_peer_t *peer)
{
    states++;
}

static void
on_record(void *user, const pps_gossip_record_t *record)
{
    cr_expect_eq(record->topic, NODE_TOPIC_OPERATOR);
    cr_expect_eq(strncmp(record->key, KEY, record->key_size), 0);
    records++;
    is_deletion = record->value == NULL;
    offset = record->offset;
    relevant_end_before = record->relevant_end_before;
}

static const pps_gossip_ops_t ops = {
    .fill_state = fill_state, .on_state = on_state, .on_record = on_record};

/* Starts a reader, whose operator's topic is listed, and another host. */
static pps_mirror_t *
start(void)
{
    const pps_dispatch_options_t options = {.failure_domain = "za"};
    unsigned int port = PORT_FIRST + (unsigned int)getpid() % PORTS;
    pps_gossip_t *other;
    pps_mirror_t *mirror;

    steady_clock_init_reactor(&node.reactor);
    cr_assert_eq(pps_dispatcher_init(&node.dispatcher, &node.reactor, &options,
                                     NULL, NULL),
                 0);
    cr_assert_eq(pps_mirror_new(&node.mirrors[NODE_TOPIC_OPERATOR],
                                &pps_node_operator_mirror_ops, &node),
                 0);
    mirror = node.mirrors[NODE_TOPIC_OPERATOR];
    cr_assert_eq(pps_gossip_new(&node.gossip, &node.reactor, "a",
                                READER_ADDRESS, "za", port, &ops, NULL),
                 0);
    cr_assert_eq(pps_gossip_new(&other, &node.reactor, "b", OTHER_ADDRESS,
                                "za", port, &ops, NULL),
                 0);
    pps_gossip_set_read_age_max(node.gossip, PPS_US_PER_S);
    pps_gossip_add_address(other, READER_ADDRESS);
    pps_gossip_send_state(other);
    cr_assert(net_run_until(&node.reactor, &states, 1, WAIT_MS));
    pps_gossip_send_state(node.gossip);
    pps_mirror_begin_listing(mirror, 1, 10);
    pps_mirror_end_listing(mirror);
    return mirror;
}

/* Guards against orders that other hosts get only with a copy of the whole
 * topic, and against records that every host sends to all. */
Test(evacuation_relay, reader_passes_records_on)
{
    pps_mirror_t *mirror = start();

    mirror_fixture_apply(mirror, 12, KEY, "{}");
    cr_assert(net_run_until(&node.reactor, &records, 1, WAIT_MS));
    cr_expect_not(is_deletion);
    cr_expect_eq(offset, 12);
    cr_expect_eq(relevant_end_before, 10);
    mirror_fixture_apply(mirror, 13, KEY, NULL);
    cr_assert(net_run_until(&node.reactor, &records, 2, WAIT_MS));
    cr_expect(is_deletion);
    cr_expect_eq(relevant_end_before, 13);

    node.applying_peer_update = 1;
    mirror_fixture_apply(mirror, 14, KEY, "{}");
    node.applying_peer_update = 0;
    pps_mirror_begin_listing(mirror, 1, 21);
    pps_mirror_apply_listed(mirror, 20, KEY, strlen(KEY), "{}", 2);
    pps_mirror_end_listing(mirror);
    net_run_for(&node.reactor, QUIET_MS);
    cr_expect_eq(records, 2);
}
