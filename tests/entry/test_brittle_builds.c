/** @file test_brittle_builds.c @brief Hosts of the build before take a worker
 * that has just started for one that is not brittle, unless they are told. */
#include "clock.h"
#include "exchange/brittle_step.h"
#include "exchange_fixture.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define NOTICES_MAX 16
#define LOAD_AGE_US (300 * PPS_US_PER_MS)
/** Time in which one request ends at a worker. */
#define DRAINED_MS 150
/** The build before forgets a rejection after this time. */
#define OLD_CALM_US (3 * PPS_US_PER_S)

static pps_brittle_notice_t notices[NOTICES_MAX];
static size_t notice_count;
static int has_older_hosts;

static void
on_notice(void *user, const pps_brittle_notice_t *notice)
{
    if (notice_count < NOTICES_MAX) {
        notices[notice_count++] = *notice;
    }
}

static int
repeats(void *user, const pps_pool_worker_t *worker)
{
    return has_older_hosts;
}

static void
rank(void *user, const pps_pool_worker_t *worker, unsigned int *hosts,
     int *before)
{
    *hosts = 4;
    *before = 0;
}

static void
start(pps_dispatcher_t *dispatcher, pps_reactor_t *reactor)
{
    pps_http_server_t *callers;

    cr_assert_eq(pps_reactor_init(reactor), 0);
    fixture_start_host(dispatcher, &callers, reactor);
    dispatcher->brittle_notice = on_notice;
    dispatcher->brittle_repeats = repeats;
    dispatcher->limit_rank = rank;
    notice_count = 0;
}

static pps_pool_worker_t *
put(pps_dispatcher_t *dispatcher, const char *id, int64_t start_ms)
{
    pps_worker_info_t info = {.upstream = "s",
                              .failure_domain = "z",
                              .version = "v1",
                              .slots = 8,
                              .start_ms = start_ms};

    snprintf(info.id, sizeof(info.id), "%s", id);
    snprintf(info.address, sizeof(info.address), "127.0.0.1:9");
    pps_pool_put(dispatcher->pool, &info);
    pps_brittle_note_listed(dispatcher, id);
    return pps_pool_lookup(dispatcher->pool, id);
}

static void
hear_brittle(pps_dispatcher_t *dispatcher, const pps_pool_worker_t *worker)
{
    const pps_brittle_notice_t heard = {.worker = worker->digest,
                                        .start_ms = worker->info.start_ms,
                                        .is_brittle = 1,
                                        .age_us = LOAD_AGE_US};

    pps_dispatcher_on_brittle(dispatcher, &heard);
}

/* The worker has been seen to hold nothing from before the statement. */
static void
see_empty(pps_dispatcher_t *dispatcher, const pps_pool_worker_t *worker)
{
    const pps_brittle_notice_t heard = {.worker = worker->digest,
                                        .start_ms = worker->info.start_ms,
                                        .is_brittle = 1,
                                        .held = 1};

    pps_dispatcher_on_brittle(dispatcher, &heard);
    net_run_for(dispatcher->reactor, DRAINED_MS);
}

typedef struct {
    const char *name;
    int has_older_hosts;
    int is_brittle; /* another worker of the upstream has said so */
    size_t told;    /* when the worker is listed */
} build_case_t;

static const build_case_t cases[] = {
    {"all hosts are of this build", 0, 1, 0},
    {"the upstream is not brittle", 1, 0, 0},
    {"an older host, the upstream is brittle", 1, 1, 1},
};

Test(brittle_builds, older_hosts_overload_a_worker_that_has_started)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_reactor_t reactor;
        pps_dispatcher_t dispatcher;
        const pps_pool_worker_t *worker;

        start(&dispatcher, &reactor);
        has_older_hosts = cases[i].has_older_hosts;
        worker = put(&dispatcher, "w0", 1);
        if (cases[i].is_brittle) {
            hear_brittle(&dispatcher, worker);
        }
        worker = put(&dispatcher, "w1", 7);
        cr_expect_eq(notice_count, cases[i].told, "%s: %zu", cases[i].name,
                     notice_count);
        if (cases[i].told == 0) {
            continue;
        }
        cr_expect_eq(notices[0].worker, worker->digest);
        cr_expect_eq(notices[0].start_ms, 7);
        cr_expect_eq(notices[0].is_brittle, 1);
        cr_expect_geq(notices[0].age_us, LOAD_AGE_US);
    }
}

/* Without a rejection within 3 s an older host may send a worker with little
 * to do a request without a permit. */
Test(brittle_builds, older_hosts_send_without_a_permit)
{
    pps_reactor_t reactor;
    pps_dispatcher_t dispatcher;
    pps_pool_worker_t *worker;
    int64_t begin_us;
    size_t told;

    start(&dispatcher, &reactor);
    has_older_hosts = 1;
    worker = put(&dispatcher, "w0", 1);
    hear_brittle(&dispatcher, worker);
    see_empty(&dispatcher, worker);
    begin_us = reactor.now_us;
    while (reactor.now_us - begin_us < 2 * OLD_CALM_US) {
        pps_brittle_step(&dispatcher);
        net_run_for(&reactor, 50);
    }
    told = notice_count;
    cr_expect_geq(told, 4, "%zu", told);
    for (size_t i = 0; i < told; i++) {
        cr_expect_eq(notices[i].is_rejected, 1);
        cr_expect_geq(notices[i].held, 2 * 8);
    }
}

typedef struct {
    const char *name;
    double held;     /* by the worker, when it states that it is brittle */
    double told_max; /* held, as told to older hosts */
} queue_case_t;

static const queue_case_t queues[] = {
    {"its queue is full", 24, 1.2},
    {"half of its slots are taken", 4, 5},
};

/* Older hosts count no requests from before the statement. */
Test(brittle_builds, older_hosts_send_on_top_of_full_queues)
{
    for (size_t i = 0; i < sizeof(queues) / sizeof(*queues); i++) {
        pps_reactor_t reactor;
        pps_dispatcher_t dispatcher;
        pps_pool_worker_t *worker;
        pps_brittle_notice_t heard = {.is_brittle = 1};

        start(&dispatcher, &reactor);
        has_older_hosts = 0;
        worker = put(&dispatcher, "w0", 1);
        heard.worker = worker->digest;
        heard.start_ms = worker->info.start_ms;
        heard.held = queues[i].held;
        pps_dispatcher_on_brittle(&dispatcher, &heard);
        has_older_hosts = 1;
        pps_brittle_step(&dispatcher);
        cr_assert_eq(notice_count, 1, "%s: %zu", queues[i].name, notice_count);
        cr_expect_eq(notices[0].is_for_older, 1);
        cr_expect_eq(notices[0].is_rejected, 1);
        cr_expect_leq(notices[0].held, queues[i].told_max, "%s: %f",
                      queues[i].name, notices[0].held);
        pps_dispatcher_on_brittle(&dispatcher, &notices[0]);
        cr_expect_eq(worker->permits.rejected_us, 0, "%s", queues[i].name);
    }
}

/* What is repeated for older hosts is no rejection for this build. */
Test(brittle_builds, repeated_report_lowers_no_permits)
{
    pps_reactor_t reactor;
    pps_dispatcher_t dispatcher;
    pps_pool_worker_t *worker;

    start(&dispatcher, &reactor);
    has_older_hosts = 1;
    hear_brittle(&dispatcher, put(&dispatcher, "w0", 1));
    worker = put(&dispatcher, "w1", 7);
    cr_assert_eq(notice_count, 1);
    pps_dispatcher_on_brittle(&dispatcher, &notices[0]);
    cr_expect_eq(worker->permits.is_brittle, 1);
    cr_expect_eq(worker->permits.rejected_us, 0);
}
