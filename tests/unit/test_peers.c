/** @file test_peers.c @brief Links between hosts on loopback. */
#include "clock.h"
#include "counters.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/peers.h"
#include "peer/link.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

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
static uv_timer_t driver;

static void
drive(uv_timer_t *handle)
{
    pps_timers_run(&timers, pps_clock_now_us());
}

static int
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

static void
setup(void)
{
    memset(nodes, 0, sizeof(nodes));
    uv_loop_init(&loop);
    pps_timers_init(&timers);
    uv_timer_init(&loop, &driver);
    uv_timer_start(&driver, drive, 0, 10);
}

static void
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

static pps_host_t
make_host(const char *id, uint16_t port)
{
    pps_host_t host = {.address = "127.0.0.1", .peer_port = port};

    strcpy(host.id, id);
    return host;
}

static void
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

static int
run_until(int (*condition)(void))
{
    int64_t limit = pps_clock_now_us() + LIMIT_US;

    while (!condition() && pps_clock_now_us() < limit) {
        uv_run(&loop, UV_RUN_ONCE);
    }
    return condition();
}

static void
on_closed(void *user)
{
    ((node_t *)user)->closed = 1;
}

static void
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

static void
teardown(void)
{
    for (size_t i = 0; i < HOSTS; i++) {
        if (nodes[i].peers != NULL) {
            stop_node(i);
        }
    }
    uv_close((uv_handle_t *)&driver, NULL);
    uv_run(&loop, UV_RUN_DEFAULT);
    cr_expect_eq(uv_loop_close(&loop), 0);
}

static pps_host_report_t
report_of(size_t node, const char *id)
{
    pps_host_report_t reports[HOSTS + 1];
    size_t count = pps_peers_reports(nodes[node].peers, reports, HOSTS + 1);

    for (size_t i = 0; i < count; i++) {
        if (strcmp(reports[i].id, id) == 0) {
            return reports[i];
        }
    }
    return (pps_host_report_t){.heard_us = PPS_TIME_NONE};
}

static int
all_heard(void)
{
    for (size_t i = 0; i < HOSTS; i++) {
        for (size_t j = 0; j < HOSTS; j++) {
            if (i != j && report_of(i, ids[j]).heard_us == PPS_TIME_NONE) {
                return 0;
            }
        }
    }
    return 1;
}

static int
all_got_message(void)
{
    return nodes[1].messages > 0 && nodes[2].messages > 0;
}

TestSuite(peers, .init = setup, .fini = teardown, .timeout = 120);

Test(peers, three_hosts_hear_each_other)
{
    pps_host_report_t report;

    for (size_t i = 0; i < HOSTS; i++) {
        start_node(i, 7);
    }
    list_all(HOSTS);
    cr_assert(run_until(all_heard));
    report = report_of(0, "h2");
    cr_expect_eq(report.status.incarnation, 102);
    cr_expect_eq(report.status.revision, 12);
    cr_expect_eq(report.status.next_offset, 22);
    cr_expect(report.status.synced);
    cr_expect_geq(report.status.evidence_age_us, 0);
    cr_expect_leq(report.echo_us, report.heard_us);
    cr_expect_eq(pps_peers_broadcast(nodes[0].peers, KIND, "hi", 3), 2);
    cr_assert(run_until(all_got_message));
    cr_expect_str_eq(nodes[2].last_from, "h0");
    cr_expect_eq(nodes[2].last_incarnation, 100);
    cr_expect_str_eq(nodes[2].last_payload, "hi");
    cr_expect_eq(pps_peers_send(nodes[0].peers, "nobody", KIND, "", 0),
                 PPS_EUNAVAILABLE);
    cr_expect_eq(pps_peers_send(nodes[0].peers, "h1", 3, "", 0), PPS_EINVALID);
}

static int
one_hears_zero(void)
{
    return report_of(1, "h0").heard_us != PPS_TIME_NONE;
}

static int
zero_suspected(void)
{
    return report_of(1, "h0").suspected;
}

static int
zero_cleared(void)
{
    return !report_of(1, "h0").suspected;
}

Test(peers, stopped_host_is_suspected_and_its_return_is_seen)
{
    start_node(0, 7);
    start_node(1, 7);
    list_all(2);
    cr_assert(run_until(one_hears_zero));
    stop_node(0);
    cr_assert(run_until(zero_suspected));
    nodes[0].closed = 0;
    start_node(0, 7);
    list_all(2);
    cr_assert(run_until(zero_cleared));
}

static int
bad_key_counted(void)
{
    return pps_counter_sum(PPS_COUNTER_PEER_HELLOS_BAD_KEY) > 0;
}

Test(peers, wrong_key_is_refused)
{
    start_node(0, 7);
    start_node(1, 8);
    list_all(2);
    cr_assert(run_until(bad_key_counted));
    cr_assert(run_until(zero_suspected));
    cr_expect_eq(report_of(1, "h0").heard_us, PPS_TIME_NONE);
}

static uint64_t bad_ids_before;

static int
bad_id_counted(void)
{
    return pps_counter_sum(PPS_COUNTER_PEER_HELLOS_BAD_ID) > bad_ids_before;
}

Test(peers, wrong_id_and_own_id_are_refused)
{
    static const char *const claimed[] = {"h7", "h1"};

    for (size_t i = 0; i < 2; i++) {
        pps_host_t host;
        pps_host_list_t list = {&host, 1};

        bad_ids_before = pps_counter_sum(PPS_COUNTER_PEER_HELLOS_BAD_ID);
        start_node(0, 7);
        start_node(1, 7);
        host = i == 0 ? make_host(claimed[i], pps_peers_port(nodes[0].peers))
                      : make_host("h9", pps_peers_port(nodes[1].peers));
        cr_assert_eq(pps_peers_set_hosts(nodes[1].peers, &list), 0);
        cr_assert(run_until(bad_id_counted), "%s", claimed[i]);
        stop_node(0);
        stop_node(1);
        nodes[0].closed = nodes[1].closed = 0;
    }
}

static int
unknown_counted(void)
{
    return pps_counter_sum(PPS_COUNTER_PEER_FRAMES_UNKNOWN) > 0;
}

Test(peers, unknown_kind_is_skipped_and_the_link_lives)
{
    start_node(0, 7);
    start_node(1, 7);
    start_node(2, 7);
    list_all(HOSTS);
    cr_assert(run_until(all_heard));
    cr_expect_eq(pps_peers_send(nodes[0].peers, "h1", KIND + 1, "?", 1), 0);
    cr_assert(run_until(unknown_counted));
    cr_expect_eq(pps_peers_broadcast(nodes[0].peers, KIND, "on", 3), 2);
    cr_assert(run_until(all_got_message));
}

Test(peers, full_queue_closes_the_link)
{
    static char payload[PPS_PEERS_PAYLOAD_MAX];
    int error = 0;

    start_node(0, 7);
    start_node(1, 7);
    list_all(2);
    cr_assert(run_until(one_hears_zero));
    for (int i = 0; i < 1000 && error == 0; i++) {
        error = pps_peers_send(nodes[1].peers, "h0", KIND, payload,
                               sizeof(payload));
    }
    cr_expect_eq(error, PPS_ELIMIT);
    cr_expect_eq(pps_counter_sum(PPS_COUNTER_PEER_LINKS_OVERFLOWED), 1);
}
