/**
 * @file test_membership.c
 * @brief Leaving workers and hosts, graceful stops, silent links, forgeries.
 */
#include "harness_watch.h"

#include "clock.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define ROUTERS 3
/** How soon a leaving worker must be left alone. */
#define LEAVE_US (2 * PPS_US_PER_S)
#define TRAFFIC_US (4 * PPS_US_PER_S)

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

/** Work that a worker was given or asked to take, by the routers' events. */
typedef struct {
    int before; /**< at or before a time */
    int after;
} work_t;

static void
count_events(work_t *work, int router, const char *kind, const char *worker,
             int64_t time_us)
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
            work->after++;
        }
        else {
            work->before++;
        }
    }
    json_decref(events);
}

static work_t
count_work(const char *worker, int64_t time_us)
{
    work_t work = {0};

    for (int i = 0; i < ROUTERS; i++) {
        count_events(&work, i, "request_started", worker, time_us);
        count_events(&work, i, "service_called", worker, time_us);
        count_events(&work, i, "worker_refused", worker, time_us);
    }
    return work;
}

static void
leave_by_list(cluster_listing_t *listing)
{
    *listing = CLUSTER_LEAVING;
    cr_assert_eq(cluster_put_hosts(cluster), 0);
}

static void
leave_by_refusal(const harness_process_t *worker)
{
    cr_assert_eq(harness_status("POST", worker->port, "/orders",
                                json_pack("{s:s}", "action", "drain")),
                 200);
}

/* Traffic until well after the leaving; no call fails. */
static void
expect_left_alone(const char *id, const char *other, int64_t left_wall_us)
{
    int64_t end = pps_clock_now_us() + TRAFFIC_US;
    int number = 100;
    work_t work;

    while (pps_clock_now_us() < end) {
        call_once(number++);
    }
    work = count_work(id, left_wall_us + LEAVE_US);
    cr_expect_gt(work.before, 0, "%s had work", id);
    cr_expect_eq(work.after, 0, "%s got %d more", id, work.after);
    work = count_work(other, left_wall_us + LEAVE_US);
    cr_expect_gt(work.after, 0, "%s has work", other);
}

static void
warm_up(void)
{
    for (int i = 0; i < 30; i++) {
        call_once(i);
    }
}

Test(membership, an_engine_that_leaves_by_the_list_gets_no_work)
{
    int64_t left;

    warm_up();
    left = pps_clock_wall_us();
    leave_by_list(&cluster->engine_listing[1]);
    expect_left_alone("d1", "d0", left);
}

Test(membership, a_service_that_leaves_by_the_list_gets_no_work)
{
    int64_t left;

    warm_up();
    left = pps_clock_wall_us();
    leave_by_list(&cluster->service_listing[0]);
    expect_left_alone("o0", "o1", left);
}

Test(membership, an_engine_that_refuses_as_draining_gets_no_work)
{
    int64_t left;

    warm_up();
    left = pps_clock_wall_us();
    leave_by_refusal(cluster->engines[0]);
    expect_left_alone("d0", "d1", left);
}

static json_int_t
bills_of(int router, const char *name)
{
    json_t *status = cluster_status(cluster, router);
    json_int_t count = json_integer_value(
        json_object_get(json_object_get(status, "bills"), name));

    json_decref(status);
    return count;
}

static int
chats_at_others(int count)
{
    int whole = 0;

    for (int i = 0; i < count; i++) {
        harness_reply_t reply;

        cluster_chat(&reply, cluster, &(cluster_chat_t){.router = i % 2});
        whole += reply.status == 200;
        harness_reply_clear(&reply);
    }
    return whole;
}

/* A host that has just started may not have a partner yet. */
static int
others_have_partners(cluster_t *unused, void *user)
{
    return chats_at_others(2) == 2;
}

static int
is_not_chosen(cluster_t *unused, void *user)
{
    json_int_t before = bills_of(2, "held");

    return chats_at_others(6) == 6 && bills_of(2, "held") == before;
}

/* With the log down, bills stay with the partners that were chosen. */
Test(membership, a_leaving_host_holds_no_new_bills)
{
    json_int_t held;

    cluster_set_faults(cluster->platform, "{\"log\":\"down\"}");
    cr_assert(cluster_wait(cluster, others_have_partners, NULL));
    cluster->router_listing[2] = CLUSTER_LEAVING;
    cr_assert_eq(cluster_put_hosts(cluster), 0);
    cr_assert(cluster_wait(cluster, is_not_chosen, NULL));
    held = bills_of(2, "held");
    cr_expect_eq(chats_at_others(20), 20);
    cr_expect_eq(bills_of(2, "held"), held);
    cr_expect_geq(bills_of(0, "held") + bills_of(1, "held"), 20);
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
links_are_new(cluster_t *unused, void *user)
{
    const long *opened = user;

    return sum_counter("peer_links_opened_total") >=
           *opened + ROUTERS * (ROUTERS - 1);
}

/* All connections there are fall silent, those to the log too; new ones
 * pass. Nobody is taken for dead and callers notice nothing. */
Test(membership, silent_connections_are_not_dead_hosts)
{
    callers_t *callers = callers_start(cluster);
    callers_result_t account;
    long opened = sum_counter("peer_links_opened_total");
    int count;

    for (int i = 0; i < ROUTERS; i++) {
        forwarder_freeze_open(cluster->peer_forwarders[i]);
        forwarder_freeze_open(cluster->platform_forwarders[i]);
    }
    cr_expect(cluster_wait(cluster, links_are_new, &opened));
    usleep(1500 * 1000);
    count = callers_count(callers);
    while (callers_count(callers) < count + 60) {
        usleep(10000);
    }
    callers_stop(callers, &account);
    cr_expect_eq(account.other, 0, "%s", account.first_other);
    cr_expect_eq(account.refused, 0, "%d refused", account.refused);
    cr_expect_eq(account.withheld, 0, "%d withheld", account.withheld);
    cr_expect_eq(sum_counter("peer_suspicions_total"), 0);
}
