/** @file test_http_requester.c @brief Tests calls over one connection. */
#include "net.h"
#include "papayaswitch/errors.h"
#include "transport/http_requester.h"

#include "clock.h"
#include "steady_clock.h"

#include <criterion/criterion.h>
#include <string.h>

#define TIMEOUT_MS 3000
#define HEAD "HTTP/1.1 200 OK\r\nContent-Length: "

typedef struct {
    size_t ended;
    int error;
    unsigned int status;
    size_t size;
} outcome_t;

static void
on_done(void *user, int error, unsigned int status, const char *body,
        size_t size)
{
    outcome_t *outcome = user;

    outcome->ended++;
    outcome->error = error;
    outcome->status = status;
    outcome->size = size;
}

static outcome_t
call(pps_reactor_t *reactor, pps_http_requester_t *requester)
{
    outcome_t outcome = {0};

    pps_http_requester_call(requester, "/x", NULL, TIMEOUT_MS * PPS_US_PER_MS,
                            on_done, &outcome);
    cr_assert(net_run_until(reactor, &outcome.ended, 1, TIMEOUT_MS));
    return outcome;
}

/* Guards against a response without end that fills the host's memory. A body
 * of the maximum size passes; the requester works after a larger one. */
Test(http_requester, body_is_limited)
{
    static const net_answer_t script[] = {
        {HEAD "4\r\n\r\n1234", NET_KEEP},
        {HEAD "5\r\n\r\n12345", NET_KEEP},
        {HEAD "2\r\n\r\n12", NET_KEEP},
    };
    static const outcome_t expected[] = {
        {1, 0, 200, 4}, {1, PPS_ELIMIT, 200, 0}, {1, 0, 200, 2}};
    pps_reactor_t reactor;
    pps_http_requester_t *requester;
    net_server_t server;

    steady_clock_init_reactor(&reactor);
    net_server_start(&server, &reactor, script, 3);
    cr_assert_eq(pps_http_requester_new(&requester, &reactor, server.address),
                 0);
    pps_http_requester_set_body_max(requester, 4);
    pps_http_requester_set_fields(requester, "Accept-Encoding: deflate\r\n");
    for (size_t i = 0; i < 3; i++) {
        outcome_t outcome = call(&reactor, requester);

        cr_expect_eq(outcome.error, expected[i].error, "call %zu", i);
        cr_expect_eq(outcome.status, expected[i].status);
        cr_expect_eq(outcome.size, expected[i].size, "call %zu", i);
        cr_expect_not(pps_http_requester_is_busy(requester));
    }
    cr_expect_not_null(strstr(pps_buf_text(&server.last),
                              "\r\nAccept-Encoding: deflate\r\n\r\n"));
}

static void
on_tick(int64_t now_us, void *user)
{
    net_server_send(user, "x", 1);
}

typedef struct {
    const char *name;
    int64_t step_ms;
    int64_t max_ms;
    int error;
} progress_case_t;

/* The answer of ten bytes takes 400 ms; a call's limit is 200 ms. */
static const progress_case_t progress_cases[] = {
    {"fixed limit", 0, 0, PPS_EUNAVAILABLE},
    {"the limit moves while bytes arrive", 200, 2000, 0},
    {"but not beyond the longest time", 200, 300, PPS_EUNAVAILABLE},
    {"a short step does not shorten the limit", 1, 2000, PPS_EUNAVAILABLE},
};

/* Guards against listings that are given up although they arrive, on a slow
 * link, and against servers that send a byte now and then. */
Test(http_requester, limit_moves_with_progress)
{
    static const net_answer_t script[] = {{HEAD "10\r\n\r\n", NET_KEEP}};

    for (size_t i = 0; i < sizeof(progress_cases) / sizeof(progress_case_t);
         i++) {
        const progress_case_t *c = &progress_cases[i];
        pps_reactor_t reactor;
        pps_http_requester_t *requester;
        net_server_t server;
        pps_timer_t timer = {0};
        outcome_t outcome = {0};

        steady_clock_init_reactor(&reactor);
        net_server_start(&server, &reactor, script, 1);
        cr_assert_eq(
            pps_http_requester_new(&requester, &reactor, server.address), 0);
        pps_http_requester_set_progress(requester, c->step_ms * PPS_US_PER_MS,
                                        c->max_ms * PPS_US_PER_MS);
        pps_http_requester_call(requester, "/x", NULL, 200 * PPS_US_PER_MS,
                                on_done, &outcome);
        cr_assert(net_run_until(&reactor, &server.requests, 1, TIMEOUT_MS));
        pps_reactor_every(&reactor, &timer, 40 * PPS_US_PER_MS, on_tick,
                          &server);
        cr_assert(net_run_until(&reactor, &outcome.ended, 1, TIMEOUT_MS));
        pps_timers_cancel(&timer);
        cr_expect_eq(outcome.error, c->error, "%s: %d", c->name,
                     outcome.error);
    }
}
