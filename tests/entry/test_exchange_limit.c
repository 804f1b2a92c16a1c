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
