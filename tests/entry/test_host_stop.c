/** @file test_host_stop.c @brief Requests that a stopping host has no time for
 * are refused before they reach a worker; others are served. */
#include "clock.h"
#include "exchange_fixture.h"

#include <criterion/criterion.h>

#define OTHER "HTTP/1.1 200 OK\r\n" SEALED "Content-Length: 2\r\n\r\nhi"

typedef struct {
    fixture_answer_t answer;
    const char *path;
    int64_t usual_ms; /* of such requests; 0: none has ended */
    int64_t left_ms;  /* until the host ends; negative: it does not stop */
    size_t requests;  /* that workers got */
} stop_case_t;

static const stop_case_t cases[] = {
    {{"it does not stop", "200", "hi"}, "/once/", 5000, -1, 1},
    {{"there is time", "200", "hi"}, "/once/", 100, 1000, 1},
    {{"there is no time", "503", ""}, "/once/", 1000, 500, 0},
    {{"time for one that must not be repeated", "503", ""},
     "/once/",
     600,
     1000,
     0},
    {{"time for one that may be", "200", "hi"}, "/safe/", 600, 1000, 1},
    {{"no time for one that may be", "503", ""}, "/safe/", 600, 500, 0},
    {{"a stream", "503", ""}, "/stream/", 6000, 5000, 0},
    {{"none has ended, within the target", "200", "hi"}, "/safe/", 0, 3000, 1},
    {{"none has ended, not within it", "503", ""}, "/safe/", 0, 1500, 0},
    {{"its end has come", "503", ""}, "/safe/", 10, 0, 0},
};

static void
set_stop(fixture_t *fixture, const stop_case_t *item)
{
    pps_dispatcher_t *dispatcher = &fixture->dispatcher;
    pps_upstream_state_t *state = pps_dispatcher_upstream(dispatcher, "s");

    for (int kind = 0; kind < PPS_ROLLOUT_KINDS; kind++) {
        state->long_times_us[kind] = (double)item->usual_ms * PPS_US_PER_MS;
    }
    if (item->left_ms >= 0) {
        dispatcher->stops_us =
            dispatcher->reactor->now_us + item->left_ms * PPS_US_PER_MS;
    }
}

Test(host_stop, late_requests_are_passed_on_and_cut)
{
    static const net_answer_t script = {OK_PLAIN, NET_CLOSE};

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        static fixture_t fixture;
        net_client_t client;

        fixture_start(&fixture, &script, 1);
        set_stop(&fixture, &cases[i]);
        fixture_run_request(&fixture, &client, cases[i].path, "");
        fixture_expect(&cases[i].answer, &client);
        cr_expect_eq(fixture_request_count(&fixture), cases[i].requests,
                     "%s: %zu", cases[i].answer.name,
                     fixture_request_count(&fixture));
    }
}

/* What a host takes for the usual time is that of the longer answers. */
Test(host_stop, usual_time)
{
    static const net_answer_t script = {OK_PLAIN, NET_CLOSE};
    static fixture_t fixture;
    net_client_t client;
    double sum_us = 0;

    fixture_start(&fixture, &script, 1);
    fixture_run_request(&fixture, &client, "/once/", "");
    for (int kind = 0; kind < PPS_ROLLOUT_KINDS; kind++) {
        sum_us += pps_dispatcher_upstream(&fixture.dispatcher, "s")
                      ->long_times_us[kind];
    }
    cr_expect_gt(sum_us, 0);
}
