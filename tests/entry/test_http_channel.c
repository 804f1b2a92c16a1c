/** @file test_http_channel.c @brief Tests responses as workers send them. */
#include "channel_cases.h"
#include "transport/http_channel.h"

#include "clock.h"
#include "steady_clock.h"

#include <criterion/criterion.h>
#include <string.h>

#define LIMIT_MS 3000

static const pps_channel_options_t options = {500 * PPS_US_PER_MS, 2000};

#define OK "HTTP/1.1 200 OK\r\n"

static void
call(pps_http_channel_t *channel, channel_outcome_t *outcome)
{
    static const char text[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

    memset(outcome, 0, sizeof(*outcome));
    cr_assert_eq(pps_http_channel_call(channel, text, strlen(text),
                                       &channel_outcome_ops, outcome),
                 0);
}

Test(http_channel, answers)
{
    for (size_t i = 0; i < channel_case_count; i++) {
        pps_reactor_t reactor;
        net_server_t server;
        pps_http_channel_t *channel;
        channel_outcome_t outcome;

        steady_clock_init_reactor(&reactor);
        net_server_start(&server, &reactor, &channel_cases[i].answer, 1);
        cr_assert_eq(pps_http_channel_new(&channel, &reactor, server.address,
                                          &options, NULL, NULL),
                     0);
        call(channel, &outcome);
        cr_assert(net_run_until(&reactor, &outcome.finished, 1, LIMIT_MS),
                  "%s", channel_cases[i].name);
        channel_expect(&channel_cases[i], &outcome);
    }
}

Test(http_channel, a_refused_connection_fails_unsent)
{
    pps_reactor_t reactor;
    pps_http_channel_t *channel;
    channel_outcome_t outcome;

    steady_clock_init_reactor(&reactor);
    cr_assert_eq(pps_http_channel_new(&channel, &reactor, "127.0.0.1:1",
                                      &options, NULL, NULL),
                 0);
    call(channel, &outcome);
    cr_assert(net_run_until(&reactor, &outcome.finished, 1, LIMIT_MS));
    cr_expect_eq(outcome.failure, (int)PPS_CHANNEL_REFUSED);
}

Test(http_channel, a_channel_is_reused_for_several_calls)
{
    static const net_answer_t answer = {OK "Content-Length: 0\r\n\r\n",
                                        NET_KEEP};
    pps_reactor_t reactor;
    net_server_t server;
    pps_http_channel_t *channel;

    steady_clock_init_reactor(&reactor);
    net_server_start(&server, &reactor, &answer, 1);
    cr_assert_eq(pps_http_channel_new(&channel, &reactor, server.address,
                                      &options, NULL, NULL),
                 0);
    for (int i = 0; i < 3; i++) {
        channel_outcome_t outcome;

        call(channel, &outcome);
        cr_assert(net_run_until(&reactor, &outcome.finished, 1, LIMIT_MS));
        cr_expect_eq(outcome.failure, CHANNEL_COMPLETE);
        cr_expect(pps_http_channel_is_idle(channel));
    }
    cr_expect_eq(pps_http_channel_calls(channel), 3);
}

/* Guards against a trailer field that decides about the connection, or that
 * the next answer on it is read with. */
Test(http_channel, trailer_ends_a_channel)
{
    static const net_answer_t answer = {
        OK "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
           "Connection: close\r\nKeep-Alive: timeout=0\r\n"
           "Transfer-Encoding: gzip\r\n\r\n",
        NET_KEEP};
    pps_reactor_t reactor;
    net_server_t server;
    pps_http_channel_t *channel;

    steady_clock_init_reactor(&reactor);
    net_server_start(&server, &reactor, &answer, 1);
    cr_assert_eq(pps_http_channel_new(&channel, &reactor, server.address,
                                      &options, NULL, NULL),
                 0);
    for (int i = 0; i < 3; i++) {
        channel_outcome_t outcome;

        call(channel, &outcome);
        cr_assert(net_run_until(&reactor, &outcome.finished, 1, LIMIT_MS));
        cr_expect_eq(outcome.failure, CHANNEL_COMPLETE);
        cr_expect_str_eq(pps_buf_text(&outcome.body), "ab");
        cr_expect(pps_http_channel_is_idle(channel));
        cr_expect_eq(pps_http_channel_expires_us(channel), INT64_MAX);
        pps_buf_clear(&outcome.body);
    }
    cr_expect_eq(pps_http_channel_calls(channel), 3);
}
