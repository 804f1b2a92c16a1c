/** @file test_exchange_limit.c @brief Tests that a host keeps to the limits on
 * requests that workers name in answers. */
#include "clock.h"
#include "exchange_fixture.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define LIMITED_OK                                                            \
    "HTTP/1.1 200 OK\r\n" SEALED                                              \
    "Server-Limit: 1\r\nContent-Length: 2\r\n\r\nhi"
#define REQUESTS 60
/** Requests that a worker which takes one a second may get within 4 s: one and
 * a half times as many, and 5. */
#define ALLOWED 11

static unsigned int
status_of(fixture_t *fixture, const char *path)
{
    net_client_t client;

    fixture_run_request(fixture, &client, path, "");
    return (unsigned int)strtoul(
        pps_buf_text(&client.got) + strlen("HTTP/1.1 "), NULL, 10);
}

Test(exchange_limit, worker_gets_more_requests_than_the_limit_it_named)
{
    static const net_answer_t script[] = {{LIMITED_OK, NET_KEEP}};
    fixture_t fixture;
    unsigned int served = 0;

    fixture_start(&fixture, script, 1);
    for (int i = 0; i < REQUESTS; i++) {
        unsigned int status = status_of(&fixture, "/safe/");

        served += status == 200;
        cr_assert(status == 200 || status == 503);
    }
    for (int i = 0; i < FIXTURE_WORKERS; i++) {
        cr_expect(fixture.workers[i].requests <= ALLOWED, "w%d: %zu", i,
                  fixture.workers[i].requests);
    }
    cr_expect(served >= FIXTURE_WORKERS);
}

static unsigned int limit_reports;

static void
on_limit_notice(void *user, const pps_limit_notice_t *notice)
{
    limit_reports++;
}

static void
rank_last(void *user, const pps_pool_worker_t *worker, unsigned int *hosts,
          int *before)
{
    *hosts = 6;
    *before = 5;
}

static void
report_limit(fixture_t *fixture, const char *id, int is_named)
{
    const pps_limit_notice_t notice = {
        .worker = pps_pool_lookup(fixture->dispatcher.pool, id)->digest,
        .is_named = is_named,
        .per_s = 2,
    };

    pps_dispatcher_on_limit(&fixture->dispatcher, &notice);
}

/* A host without a share sends its callers on to another one at once, until it
 * hears that the limit has ended. */
Test(exchange_limit, limit_reported_by_another_host)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    fixture_t fixture;

    fixture_start(&fixture, script, 1);
    fixture.dispatcher.limit_rank = rank_last;
    for (int i = 0; i < FIXTURE_WORKERS; i++) {
        report_limit(&fixture, (const char *[]){"w0", "w1", "w2"}[i], 1);
    }
    cr_expect_eq(status_of(&fixture, "/once/"), 503);
    cr_expect_eq(fixture_request_count(&fixture), 0);
    net_run_for(&fixture.reactor, 5);
    report_limit(&fixture, "w1", 0);
    cr_expect_eq(status_of(&fixture, "/once/"), 200);
    cr_expect_eq(fixture.workers[1].requests, 1);
}

/* The worker names a limit once, and none when it is asked again. */
Test(exchange_limit, limit_ends_with_an_answer_that_names_none)
{
    static const net_answer_t script[] = {{LIMITED_OK, NET_KEEP},
                                          {OK_PLAIN, NET_KEEP}};
    fixture_t fixture;

    limit_reports = 0;
    fixture_start(&fixture, script, 2);
    fixture.dispatcher.limit_notice = on_limit_notice;
    pps_pool_remove(fixture.dispatcher.pool, "w1");
    pps_pool_remove(fixture.dispatcher.pool, "w2");
    cr_expect_eq(status_of(&fixture, "/safe/"), 200);
    cr_expect_eq(limit_reports, 1);
    cr_expect_eq(status_of(&fixture, "/safe/"), 503);
    net_run_for(&fixture.reactor, 1300);
    cr_expect_eq(status_of(&fixture, "/safe/"), 200);
    cr_expect_eq(limit_reports, 2);
    cr_expect_eq(status_of(&fixture, "/safe/"), 200);
    cr_expect_eq(status_of(&fixture, "/safe/"), 200);
}
