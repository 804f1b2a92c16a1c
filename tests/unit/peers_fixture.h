/**
 * @file peers_fixture.h
 * @brief Runs up to three hosts on one event loop for the tests of links.
 */
#ifndef PPS_TEST_PEERS_FIXTURE_H
#define PPS_TEST_PEERS_FIXTURE_H

#include "clock.h"
#include "counters.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/peers.h"
#include "peer/peers_internal.h"

#include <criterion/criterion.h>
#include <string.h>

#define HOSTS 3
#define LIMIT_US (20 * PPS_US_PER_S)
#define KIND 16

typedef struct {
    pps_peers_t *peers;
    size_t messages;
    char last_from[PPS_HOST_ID_MAX + 1];
    uint64_t last_incarnation;
    char last_payload[16];
    int closed;
} node_t;

static const char *const ids[HOSTS] = {"h0", "h1", "h2"};
static node_t nodes[HOSTS];
static uv_loop_t loop;
static pps_timers_t timers;
static uv_timer_t tick_timer;

static inline void
on_tick(uv_timer_t *handle)
{
    pps_timers_run(&timers, pps_clock_now_us());
}

static inline int
on_message(void *user, const char *from, uint64_t incarnation, uint32_t kind,
           const void *payload, size_t size)
{
    node_t *node = user;

    if (kind != KIND) {
        return PPS_ENOTFOUND;
    }
    node->messages++;
    node->last_incarnation = incarnation;
    strcpy(node->last_from, from);
    memcpy(node->last_payload, payload,
           size < sizeof(node->last_payload) ? size : 0);
    return PPS_OK;
}

static const pps_peers_callbacks_t callbacks = {.message = on_message};

static inline void
setup(void)
{
    memset(nodes, 0, sizeof(nodes));
    uv_loop_init(&loop);
    pps_timers_init(&timers);
    uv_timer_init(&loop, &tick_timer);
    uv_timer_start(&tick_timer, on_tick, 0, 10);
}

static inline void
start_node(size_t i, unsigned char key)
{
    pps_peers_options_t options = PPS_PEERS_OPTIONS_INIT;
    pps_peers_status_t status = {.revision = 10 + i,
                                 .next_offset = 20 + i,
                                 .evidence_us = pps_clock_now_us(),
                                 .synced = 1};

    options.loop = &loop;
    options.timers = &timers;
    options.self_id = ids[i];
    options.incarnation = 100 + i;
    options.seed = i;
    memset(options.key, key, sizeof(options.key));
    options.callbacks = &callbacks;
    options.user = &nodes[i];
    cr_assert_eq(pps_peers_new(&nodes[i].peers, &options), 0, "%s",
                 pps_error_last());
    pps_peers_set_status(nodes[i].peers, &status);
}

static inline pps_host_t
make_host(const char *id, uint16_t port)
{
    pps_host_t host = {.address = "127.0.0.1", .peer_port = port};

    strcpy(host.id, id);
    return host;
}

static inline void
list_all(size_t count)
{
    pps_host_t hosts[HOSTS];
    pps_host_list_t list = {hosts, count};

    for (size_t i = 0; i < count; i++) {
        hosts[i] = make_host(ids[i], pps_peers_port(nodes[i].peers));
    }
    for (size_t i = 0; i < count; i++) {
        cr_assert_eq(pps_peers_set_hosts(nodes[i].peers, &list), 0);
    }
}

static inline int
run_until(int (*condition)(void))
{
    int64_t limit = pps_clock_now_us() + LIMIT_US;

    while (!condition() && pps_clock_now_us() < limit) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    return condition();
}

static inline void
on_closed(void *user)
{
    ((node_t *)user)->closed = 1;
}

static inline void
stop_node(size_t i)
{
    int64_t limit = pps_clock_now_us() + LIMIT_US;

    pps_peers_close(nodes[i].peers, on_closed, &nodes[i]);
    while (!nodes[i].closed && pps_clock_now_us() < limit) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    cr_assert(nodes[i].closed);
    nodes[i].peers = NULL;
}

static inline void
teardown(void)
{
    for (size_t i = 0; i < HOSTS; i++) {
        if (nodes[i].peers != NULL) {
            stop_node(i);
        }
    }
    uv_close((uv_handle_t *)&tick_timer, NULL);
    uv_run(&loop, UV_RUN_DEFAULT);
    cr_expect_eq(uv_loop_close(&loop), 0);
}

static inline pps_host_report_t
report_of(size_t node, const char *id)
{
    pps_host_report_t reports[HOSTS + 1];
    size_t count =
        pps_peers_copy_reports(nodes[node].peers, reports, HOSTS + 1);

    for (size_t i = 0; i < count; i++) {
        if (strcmp(reports[i].id, id) == 0) {
            return reports[i];
        }
    }
    return (pps_host_report_t){.pong_received_us = PPS_TIME_NONE};
}

static inline int
host_1_receives_pongs_from_0(void)
{
    return report_of(1, "h0").pong_received_us != PPS_TIME_NONE;
}

#endif
