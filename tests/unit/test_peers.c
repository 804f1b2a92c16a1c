/** @file test_peers.c @brief Tests links between hosts over loopback. */
#include "peers_fixture.h"

static int
all_pongs_received(void)
{
    for (size_t i = 0; i < HOSTS; i++) {
        for (size_t j = 0; j < HOSTS; j++) {
            if (i != j &&
                report_of(i, ids[j]).pong_received_us == PPS_TIME_NONE) {
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

Test(peers, three_hosts_exchange_pongs_and_messages)
{
    pps_host_report_t report;

    for (size_t i = 0; i < HOSTS; i++) {
        start_node(i, 7);
    }
    list_all(HOSTS);
    cr_assert(run_until(all_pongs_received));
    report = report_of(0, "h2");
    cr_expect_eq(report.status.incarnation, 102);
    cr_expect_eq(report.status.revision, 12);
    cr_expect_eq(report.status.next_offset, 22);
    cr_expect(report.status.synced);
    cr_expect_geq(report.status.evidence_age_us, 0);
    cr_expect_leq(report.echo_us, report.pong_received_us);
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
host_0_is_suspected(void)
{
    return report_of(1, "h0").suspected;
}

static int
host_0_is_not_suspected(void)
{
    return !report_of(1, "h0").suspected;
}

Test(peers, suspicion_of_a_stopped_host_ends_with_its_restart)
{
    start_node(0, 7);
    start_node(1, 7);
    list_all(2);
    cr_assert(run_until(host_1_receives_pongs_from_0));
    stop_node(0);
    cr_assert(run_until(host_0_is_suspected));
    nodes[0].closed = 0;
    start_node(0, 7);
    list_all(2);
    cr_assert(run_until(host_0_is_not_suspected));
}

static void
ignore_connection(uv_stream_t *server, int status)
{
}

static int
link_given_up(void)
{
    return pps_counter_sum(PPS_COUNTER_PEER_LINKS_GIVEN_UP) > 0;
}

static int
new_link_receives_pongs(void)
{
    return report_of(1, "h0").echo_us >
               pps_peers_find(nodes[1].peers, "h0")->dial.attempt_us &&
           pps_counter_sum(PPS_COUNTER_PEER_LINKS_OPENED) >= 4;
}

/* The accepting side stops reading from one connection, as if a middlebox had
 * dropped its state. New connections work, so the host is not suspected. */
Test(peers, one_silent_connection_does_not_cause_suspicion)
{
    pps_host_t host;
    pps_host_list_t list = {&host, 1};
    pps_peer_link_t *link;

    start_node(0, 7);
    start_node(1, 7);
    host = make_host("h0", pps_peers_port(nodes[0].peers));
    cr_assert_eq(pps_peers_set_hosts(nodes[1].peers, &list), 0);
    cr_assert(run_until(host_1_receives_pongs_from_0));
    link = pps_peers_find(nodes[0].peers, "h1")->inbound;
    cr_assert_eq(uv_read_stop((uv_stream_t *)&link->tcp), 0);
    cr_assert(run_until(link_given_up));
    cr_assert(run_until(new_link_receives_pongs));
    cr_expect_eq(pps_counter_sum(PPS_COUNTER_PEER_SUSPICIONS), 0);
}

/* A listener that accepts connections but sends nothing does not count as a
 * live host. */
Test(peers, a_host_that_never_answers_is_suspected)
{
    static uv_tcp_t silent;
    struct sockaddr_in address;
    int size = sizeof(address);
    pps_host_t host;
    pps_host_list_t list = {&host, 1};

    uv_ip4_addr("127.0.0.1", 0, &address);
    uv_tcp_init(&loop, &silent);
    uv_tcp_bind(&silent, (struct sockaddr *)&address, 0);
    cr_assert_eq(uv_listen((uv_stream_t *)&silent, 8, ignore_connection), 0);
    uv_tcp_getsockname(&silent, (struct sockaddr *)&address, &size);
    start_node(1, 7);
    host = make_host("h0", ntohs(address.sin_port));
    cr_assert_eq(pps_peers_set_hosts(nodes[1].peers, &list), 0);
    cr_assert(run_until(host_0_is_suspected));
    cr_expect_geq(pps_counter_sum(PPS_COUNTER_PEER_LINKS_GIVEN_UP), 2);
    uv_close((uv_handle_t *)&silent, NULL);
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
    cr_assert(run_until(host_0_is_suspected));
    cr_expect_eq(report_of(1, "h0").pong_received_us, PPS_TIME_NONE);
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

Test(peers, unknown_kind_is_skipped_and_the_link_stays_open)
{
    start_node(0, 7);
    start_node(1, 7);
    start_node(2, 7);
    list_all(HOSTS);
    cr_assert(run_until(all_pongs_received));
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
    cr_assert(run_until(host_1_receives_pongs_from_0));
    for (int i = 0; i < 1000 && error == 0; i++) {
        error = pps_peers_send(nodes[1].peers, "h0", KIND, payload,
                               sizeof(payload));
    }
    cr_expect_eq(error, PPS_ELIMIT);
    cr_expect_eq(pps_counter_sum(PPS_COUNTER_PEER_LINKS_OVERFLOWED), 1);
}

static int
host_2_is_removed(void)
{
    return pps_peers_find(nodes[0].peers, "h2") == NULL;
}

Test(peers, an_unlisted_host_is_removed_after_it_disconnects)
{
    for (size_t i = 0; i < HOSTS; i++) {
        start_node(i, 7);
    }
    list_all(HOSTS);
    cr_assert(run_until(all_pongs_received));
    list_all(2);
    cr_expect_not(host_2_is_removed());
    stop_node(2);
    cr_assert(run_until(host_2_is_removed));
    cr_expect_eq(pps_peers_broadcast(nodes[0].peers, KIND, "", 0), 1);
}
