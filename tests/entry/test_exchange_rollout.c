/** @file test_exchange_rollout.c @brief Tests which requests a version gets
 * that is being rolled out. */
#include "clock.h"
#include "exchange_fixture.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define REQUESTS 40
#define QUARTER 250

static const fixture_answer_t served = {"served", "200", "hi"};

/* Starts the host with w0 of version v2, to which a roll-out moves sessions,
 * and w1 and w2 of version v1. */
static pps_rollout_t *
start(fixture_t *fixture, const net_answer_t *script, unsigned int share)
{
    pps_upstream_state_t *state;
    pps_pool_worker_t *worker;

    fixture_start(fixture, script, 1);
    worker = pps_pool_lookup(fixture->dispatcher.pool, "w0");
    snprintf(worker->info.version, sizeof(worker->info.version), "v2");
    state = pps_dispatcher_upstream(&fixture->dispatcher, "s");
    state->rollout = (pps_rollout_t){.upstream = "s",
                                     .target = "v2",
                                     .state = PPS_ROLLOUT_ACTIVE,
                                     .duration_us = 20 * PPS_US_PER_S,
                                     .share = share,
                                     .next_share = share};
    return &state->rollout;
}

static void
run(fixture_t *fixture, const char *path, const fixture_answer_t *expected)
{
    net_client_t client;

    fixture_run_request(fixture, &client, path, "");
    fixture_expect(expected, &client);
}

/* A request without a session must count as one of its own, not as one of the
 * same session as all others. */
Test(exchange_rollout, requests_without_a_session_all_move_at_once)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    fixture_t fixture;

    start(&fixture, script, QUARTER);
    for (int i = 0; i < REQUESTS; i++) {
        run(&fixture, "/safe/", &served);
    }
    cr_expect(fixture.workers[0].requests > 0);
    cr_expect(fixture.workers[0].requests < REQUESTS / 2, "%zu of %d",
              fixture.workers[0].requests, REQUESTS);
}
