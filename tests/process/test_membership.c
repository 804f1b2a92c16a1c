/**
 * @file test_membership.c
 * @brief Tests that leaving workers and hosts get no new work, and that hosts
 * with silent connections are not treated as dead.
 */
#include "harness_watch.h"

#include "clock.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define ROUTERS 3
/** After this time a leaving worker must get no new work. */
#define LEAVE_DEADLINE_US (2 * PPS_US_PER_S)
#define TRAFFIC_DURATION_US (4 * PPS_US_PER_S)

static cluster_t *cluster;

static void
set_up(void)
{
    const cluster_options_t options = {.routers = ROUTERS,
                                       .has_forwarders = 1};

    cr_assert_eq(cluster_new(&cluster, &options), 0);
}

static void
tear_down(void)
{
    cluster_free(cluster);
}

TestSuite(membership, .init = set_up, .fini = tear_down);

static void
call_once(int number)
{
    harness_reply_t reply;
    char key[32];

    snprintf(key, sizeof(key), "k%d", number);
    if (number % 2 == 0) {
        cluster_chat(
            &reply, cluster,
            &(cluster_chat_t){.router = number / 2 % ROUTERS, .prompt = key});
    }
    else {
        cluster_release(&reply, cluster, number / 2 % ROUTERS, key, NULL);
    }
    cr_expect_eq(reply.status, 200, "%d: %s", number,
                 pps_buf_text(&reply.text));
    harness_reply_clear(&reply);
}

/** Requests sent to a worker, counted from the routers' events. */
typedef struct {
    int before_count; /**< at or before a time */
    int after_count;
} request_counts_t;

static void
count_events(request_counts_t *counts, int router, const char *kind,
             const char *worker, int64_t time_us)
{
    json_t *events = cluster_events(cluster, router, kind);
    size_t index;
    json_t *event;

    json_array_foreach(events, index, event)
    {
        const char *id = json_string_value(json_object_get(event, "worker"));

        if (id == NULL || strcmp(id, worker) != 0) {
            continue;
        }
        if (json_integer_value(json_object_get(event, "time_us")) > time_us) {
            counts->after_count++;
        }
        else {
            counts->before_count++;
        }
    }
    json_decref(events);
}

static request_counts_t
count_requests(const char *worker, int64_t time_us)
{
    request_counts_t counts = {0};

    for (int i = 0; i < ROUTERS; i++) {
        count_events(&counts, i, "request_started", worker, time_us);
        count_events(&counts, i, "service_called", worker, time_us);
        count_events(&counts, i, "worker_refused", worker, time_us);
    }
    return counts;
}

static void
list_as_leaving(cluster_listing_t *listing)
{
    *listing = CLUSTER_LEAVING;
    cr_assert_eq(cluster_put_hosts(cluster), 0);
}

static void
order_drain(const harness_process_t *worker)
{
    cr_assert_eq(harness_status("POST", worker->port, "/orders",
                                json_pack("{s:s}", "action", "drain")),
                 200);
}

/* Sends requests until well after the deadline; all must succeed. */
static void
expect_no_new_work(const char *id, const char *other, int64_t leaving_since_us)
{
    int64_t end = pps_clock_now_us() + TRAFFIC_DURATION_US;
    int number = 100;
    request_counts_t counts;

    while (pps_clock_now_us() < end) {
        call_once(number++);
    }
    counts = count_requests(id, leaving_since_us + LEAVE_DEADLINE_US);
    cr_expect_gt(counts.before_count, 0, "%s got no work before the deadline",
                 id);
    cr_expect_eq(counts.after_count, 0,
                 "%s got %d requests after the deadline", id,
                 counts.after_count);
    counts = count_requests(other, leaving_since_us + LEAVE_DEADLINE_US);
    cr_expect_gt(counts.after_count, 0, "%s got no work after the deadline",
                 other);
}

static void
warm_up(void)
{
    for (int i = 0; i < 30; i++) {
        call_once(i);
    }
}

Test(membership, engine_listed_as_leaving_gets_no_work)
{
    int64_t leaving_since_us;

    warm_up();
    leaving_since_us = pps_clock_wall_us();
    list_as_leaving(&cluster->engine_listing[1]);
    expect_no_new_work("d1", "d0", leaving_since_us);
}

Test(membership, service_listed_as_leaving_gets_no_work)
{
    int64_t leaving_since_us;

    warm_up();
    leaving_since_us = pps_clock_wall_us();
    list_as_leaving(&cluster->service_listing[0]);
    expect_no_new_work("o0", "o1", leaving_since_us);
}

Test(membership, draining_engine_gets_no_work)
{
    int64_t leaving_since_us;

    warm_up();
    leaving_since_us = pps_clock_wall_us();
    order_drain(cluster->engines[0]);
    expect_no_new_work("d0", "d1", leaving_since_us);
}

static json_int_t
bill_count(int router, const char *name)
{
    json_t *status = cluster_status(cluster, router);
    json_int_t count = json_integer_value(
        json_object_get(json_object_get(status, "bills"), name));

    json_decref(status);
    return count;
}

static int
count_successful_chats(int count)
{
    int ok_count = 0;

    for (int i = 0; i < count; i++) {
        harness_reply_t reply;

        cluster_chat(&reply, cluster, &(cluster_chat_t){.router = i % 2});
        ok_count += reply.status == 200;
        harness_reply_clear(&reply);
    }
    return ok_count;
}

/* Without the log, a chat succeeds only on a host with a partner. A host that
 * has just started may have none yet. */
static int
others_have_partners(cluster_t *unused, void *user)
{
    return count_successful_chats(2) == 2;
}

static int
is_not_chosen_as_partner(cluster_t *unused, void *user)
{
    json_int_t before = bill_count(2, "held");

    return count_successful_chats(6) == 6 && bill_count(2, "held") == before;
}

/* While the log is down, partners hold the bills, so the counts of held bills
 * show which partners were chosen. */
Test(membership, a_leaving_host_holds_no_new_bills)
{
    json_int_t held;

    cluster_set_faults(cluster->platform, "{\"log\":\"down\"}");
    cr_assert(cluster_wait(cluster, others_have_partners, NULL));
    cluster->router_listing[2] = CLUSTER_LEAVING;
    cr_assert_eq(cluster_put_hosts(cluster), 0);
    cr_assert(cluster_wait(cluster, is_not_chosen_as_partner, NULL));
    held = bill_count(2, "held");
    cr_expect_eq(count_successful_chats(20), 20);
    cr_expect_eq(bill_count(2, "held"), held);
    cr_expect_geq(bill_count(0, "held") + bill_count(1, "held"), 20);
}

static long
sum_counter(const char *name)
{
    long sum = 0;

    for (int i = 0; i < ROUTERS; i++) {
        sum += cluster_counter(cluster, i, name);
    }
    return sum;
}

static int
links_are_reopened(cluster_t *unused, void *user)
{
    const long *opened = user;

    return sum_counter("peer_links_opened_total") >=
           *opened + ROUTERS * (ROUTERS - 1);
}

/* All existing connections go silent, also those to the log; new ones work.
 * No host may be suspected and no request may fail. */
Test(membership, silent_connections_are_not_dead_hosts)
{
    callers_t *callers = callers_start(cluster);
    callers_result_t result;
    long opened = sum_counter("peer_links_opened_total");
    int count;

    for (int i = 0; i < ROUTERS; i++) {
        forwarder_freeze_open(cluster->peer_forwarders[i]);
        forwarder_freeze_open(cluster->platform_forwarders[i]);
    }
    cr_expect(cluster_wait(cluster, links_are_reopened, &opened));
    usleep(1500 * 1000);
    count = callers_count(callers);
    while (callers_count(callers) < count + 60) {
        usleep(10000);
    }
    callers_stop(callers, &result);
    cr_expect_eq(result.other, 0, "%s", result.first_other);
    cr_expect_eq(result.refused, 0, "%d refused", result.refused);
    cr_expect_eq(result.withheld, 0, "%d withheld", result.withheld);
    cr_expect_eq(sum_counter("peer_suspicions_total"), 0);
}
