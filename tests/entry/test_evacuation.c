/** @file test_evacuation.c @brief Tests that workers of evacuated failure
 * domains get no new requests, and what their callers get. */
#include "clock.h"
#include "exchange/evacuation.h"
#include "exchange/path_watch.h"
#include "hosts_fixture.h"
#include "papayaswitch/errors.h"
#include "steady_clock.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define REQUESTS 40
#define ORDER "evacuate/x"
#define WAIT_MS 3500

/** The failure domains of the fixture's workers. */
static const char *const domains[FIXTURE_WORKERS] = {"za", "zb", "zc"};

static void
set_domains(pps_pool_t *pool)
{
    for (int i = 0; i < FIXTURE_WORKERS; i++) {
        char id[PPS_WORKER_TEXT_BYTES];
        pps_pool_worker_t *worker;

        snprintf(id, sizeof(id), "w%d", i);
        worker = pps_pool_lookup(pool, id);
        snprintf(worker->info.failure_domain,
                 sizeof(worker->info.failure_domain), "%s", domains[i]);
    }
}

static void
start(fixture_t *fixture, const net_answer_t *script, size_t size)
{
    fixture_start(fixture, script, size);
    set_domains(fixture->dispatcher.pool);
}

typedef struct {
    const char *name;
    const char *evacuated[4];
    const char *taken_back[4];
    const char *status;
    int gets_requests[FIXTURE_WORKERS];
} evacuation_case_t;

static const evacuation_case_t evacuation_cases[] = {
    {"none", {NULL}, {NULL}, "200", {1, 1, 1}},
    {"one domain", {"za"}, {NULL}, "200", {0, 1, 1}},
    {"two domains", {"za", "zc"}, {NULL}, "200", {0, 1, 0}},
    {"one taken back", {"za", "zb"}, {"za"}, "200", {1, 0, 1}},
    {"all taken back",
     {"za", "zb", "zc"},
     {"zc", "zb", "za"},
     "200",
     {1, 1, 1}},
    {"the same order twice, taken back once",
     {"za", "za"},
     {"za"},
     "200",
     {1, 1, 1}},
    {"a domain without workers", {"zx"}, {NULL}, "200", {1, 1, 1}},
    {"taken back without an order", {"za"}, {"zb", "zx"}, "200", {0, 1, 1}},
    {"all domains", {"za", "zb", "zc"}, {NULL}, "503", {0, 0, 0}},
};

static void
apply_orders(pps_dispatcher_t *dispatcher, const evacuation_case_t *item)
{
    for (size_t i = 0; item->evacuated[i] != NULL; i++) {
        cr_assert_geq(
            pps_evacuation_begin(dispatcher, item->evacuated[i], ORDER), 0);
    }
    for (size_t i = 0; item->taken_back[i] != NULL; i++) {
        pps_evacuation_end(dispatcher, item->taken_back[i]);
    }
}

/* Guards against a request sent to an evacuated worker, and against a domain
 * that stays without requests after its order was taken back. */
Test(evacuation, workers_of_evacuated_domains_get_nothing)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static const char *const paths[] = {"/safe/", "/once/"};

    for (size_t c = 0;
         c < sizeof(evacuation_cases) / sizeof(*evacuation_cases); c++) {
        const evacuation_case_t *item = &evacuation_cases[c];
        const fixture_answer_t answer = {item->name, item->status, ""};
        static fixture_t fixture;

        start(&fixture, script, 1);
        apply_orders(&fixture.dispatcher, item);
        for (int i = 0; i < REQUESTS; i++) {
            net_client_t client;

            fixture_run_request(&fixture, &client, paths[i % 2], "");
            fixture_expect(&answer, &client);
        }
        for (int i = 0; i < FIXTURE_WORKERS; i++) {
            cr_expect_eq(fixture.workers[i].requests > 0,
                         item->gets_requests[i], "%s: w%d", item->name, i);
        }
    }
}

/* Guards against a refusal that is held, has no or another retry time, or
 * makes the host count as out of reach (not ready). */
Test(evacuation, refused_at_once_when_all_domains_are_evacuated)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    fixture_t fixture;
    net_client_t client;
    int64_t begun_us;

    start(&fixture, script, 1);
    for (int i = 0; i < FIXTURE_WORKERS; i++) {
        pps_evacuation_begin(&fixture.dispatcher, domains[i], ORDER);
    }
    begun_us = steady_clock_now_us();
    fixture_run_request(&fixture, &client, "/safe/", "");
    cr_expect_lt(steady_clock_now_us() - begun_us, 200 * PPS_US_PER_MS);
    cr_expect_eq(strncmp(pps_buf_text(&client.got), "HTTP/1.1 503", 12), 0);
    cr_expect_not_null(
        strstr(pps_buf_text(&client.got), "Retry-After: 1.00\r\n"));
    cr_expect_not(pps_path_watch_is_out_of_reach(&fixture.dispatcher, NULL));
}

/* Guards against a stream that is cut by the evacuation of its worker. */
Test(evacuation, stream_under_way_finishes)
{
    static const net_answer_t script[] = {
        {STREAM "\r\n" EVENT("1"), NET_KEEP}};
    static const char rest[] = EVENT("2") LAST_CHUNK;
    fixture_t fixture;
    net_client_t client;

    start(&fixture, script, 1);
    pps_evacuation_begin(&fixture.dispatcher, "zb", ORDER);
    pps_evacuation_begin(&fixture.dispatcher, "zc", ORDER);
    fixture_request(&fixture, &client, "/stream/", "");
    cr_assert(net_run_until(&fixture.reactor, &fixture.workers[0].requests, 1,
                            WAIT_MS));
    net_run_for(&fixture.reactor, 30);
    pps_evacuation_begin(&fixture.dispatcher, "za", ORDER);
    net_run_for(&fixture.reactor, 30);
    net_server_send(&fixture.workers[0], rest, strlen(rest));
    net_run_until_ended(&fixture.reactor, &client, WAIT_MS);
    fixture_expect(&(fixture_answer_t){"stream", "200",
                                       "id: 1\ndata: event 1\n\n"
                                       "id: 2\ndata: event 2\n\n"},
                   &client);
    cr_expect_eq(fixture_request_count(&fixture), 1);
}

/* Guards against a broken stream that is resumed at an evacuated worker. */
Test(evacuation, broken_stream_is_resumed_elsewhere)
{
    static const net_answer_t script[] = {
        {STREAM "\r\n" EVENT("1"), NET_KEEP},
        {STREAM "\r\n" EVENT("2") LAST_CHUNK, NET_KEEP}};
    fixture_t fixture;
    net_client_t client;

    start(&fixture, script, 2);
    net_server_share_script(fixture.workers, FIXTURE_WORKERS);
    pps_evacuation_begin(&fixture.dispatcher, "zb", ORDER);
    pps_evacuation_begin(&fixture.dispatcher, "zc", ORDER);
    fixture_request(&fixture, &client, "/stream/", "");
    cr_assert(net_run_until(&fixture.reactor, &fixture.workers[0].requests, 1,
                            WAIT_MS));
    net_run_for(&fixture.reactor, 30);
    pps_evacuation_begin(&fixture.dispatcher, "za", ORDER);
    pps_evacuation_end(&fixture.dispatcher, "zc");
    net_server_reset(&fixture.workers[0]);
    net_run_until_ended(&fixture.reactor, &client, WAIT_MS);
    fixture_expect(&(fixture_answer_t){"resumed", "200",
                                       "id: 1\ndata: event 1\n\n"
                                       "id: 2\ndata: event 2\n\n"},
                   &client);
    cr_expect_eq(fixture.workers[0].requests, 1);
    cr_expect_eq(fixture.workers[1].requests, 0);
    cr_expect_eq(fixture.workers[2].requests, 1);
}

/* Guards against a call of another host, which does not know the order yet,
 * that is passed on to an evacuated worker. */
Test(evacuation, calls_of_other_hosts_are_not_passed_on)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static hosts_t hosts;
    net_client_t client;

    hosts_start(&hosts, 2, script, 1);
    hosts_set_paths(&hosts, 0, PATH_REFUSED, 0, HOSTS_WORKERS - 1);
    hosts_mark_paths(&hosts, 0, 1);
    hosts_request(&hosts, 0, &client, "/safe/");
    net_run_until_ended(&hosts.reactor, &client, WAIT_MS);
    cr_assert_eq(hosts_count_requests(&hosts), 1, "the path is not relayed");
    pps_evacuation_begin(&hosts.hosts[1].dispatcher, "z", ORDER);
    hosts_request(&hosts, 0, &client, "/safe/");
    net_run_until_ended(&hosts.reactor, &client, WAIT_MS);
    cr_expect_eq(hosts_count_requests(&hosts), 1);
}

static unsigned int workers_back;

static void
on_worker_back(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker)
{
    cr_expect_str_eq(worker->info.failure_domain, "za");
    workers_back++;
}

/* Guards against workers that come back without being treated as cold: the
 * owner of that rule learns of each worker once. */
Test(evacuation, workers_are_reported_when_it_ends)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    fixture_t fixture;

    workers_back = 0;
    start(&fixture, script, 1);
    fixture.dispatcher.worker_back = on_worker_back;
    cr_expect_eq(pps_evacuation_begin(&fixture.dispatcher, "za", ORDER), 1);
    cr_expect_eq(pps_evacuation_begin(&fixture.dispatcher, "za", ORDER), 0);
    cr_expect_eq(workers_back, 0);
    cr_expect_eq(pps_evacuation_end(&fixture.dispatcher, "za"), 1);
    cr_expect_eq(pps_evacuation_end(&fixture.dispatcher, "za"), 0);
    cr_expect_eq(workers_back, 1);
}

#define COLD_PER_S 4
#define COLD_OVER 1.5
#define COLD_SLACK 5
#define COLD_REQUESTS 40

/* Guards against callers who overload a worker that comes back from an
 * evacuation: all of these requests come within the cold time. */
Test(evacuation, workers_are_cold_when_it_ends)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    fixture_t fixture;
    int64_t begun_us;

    start(&fixture, script, 1);
    fixture.dispatcher.options.cold_over = COLD_OVER;
    fixture.dispatcher.options.cold_slack = COLD_SLACK;
    fixture.dispatcher.deployment->upstreams[0].cold_rate_per_s = COLD_PER_S;
    fixture.dispatcher.deployment->upstreams[0].cold_start_us =
        3 * PPS_US_PER_S;
    pps_evacuation_begin(&fixture.dispatcher, "za", ORDER);
    pps_pool_remove(fixture.dispatcher.pool, "w1");
    pps_pool_remove(fixture.dispatcher.pool, "w2");
    net_run_for(&fixture.reactor, 10);
    pps_evacuation_end(&fixture.dispatcher, "za");
    begun_us = steady_clock_now_us();
    for (int i = 0; i < COLD_REQUESTS; i++) {
        net_client_t client;

        fixture_run_request(&fixture, &client, "/safe/", "");
        net_run_for(&fixture.reactor, 20);
    }
    cr_assert_lt(steady_clock_now_us() - begun_us, 3 * PPS_US_PER_S);
    cr_expect_gt(fixture.workers[0].requests, 0);
    cr_expect_leq((double)fixture.workers[0].requests,
                  (double)(steady_clock_now_us() - begun_us) / PPS_US_PER_S *
                          COLD_PER_S * COLD_OVER +
                      COLD_SLACK);
}

/* Guards against names that no worker can have, and against a list without a
 * bound. */
Test(evacuation, invalid_names)
{
    pps_evacuated_domains_t evacuated;
    char name[PPS_WORKER_TEXT_BYTES + 1];

    pps_evacuated_domains_init(&evacuated);
    memset(name, 'z', sizeof(name));
    name[sizeof(name) - 1] = '\0';
    cr_expect_eq(pps_evacuated_domains_add(&evacuated, name, 0), PPS_EINVALID);
    cr_expect_eq(pps_evacuated_domains_add(&evacuated, "", 0), PPS_EINVALID);
    name[sizeof(name) - 2] = '\0';
    cr_expect_eq(pps_evacuated_domains_add(&evacuated, name, 0), 1);
    for (int i = 1; i < PPS_EVACUATED_MAX; i++) {
        snprintf(name, sizeof(name), "z%d", i);
        cr_expect_eq(pps_evacuated_domains_add(&evacuated, name, 0), 1);
    }
    cr_expect_eq(pps_evacuated_domains_add(&evacuated, "more", 0), PPS_ELIMIT);
    cr_expect_eq(pps_evacuated_domains_remove(&evacuated, "z1"), 1);
    cr_expect_eq(pps_evacuated_domains_add(&evacuated, "more", 0), 1);
}
