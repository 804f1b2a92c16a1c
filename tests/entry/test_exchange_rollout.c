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
static const fixture_answer_t refused = {"refused", "503", ""};

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

typedef struct {
    const char *name;
    pps_rollout_state_t state;
    int held;
    int has_old_workers;
    const fixture_answer_t *answer;
    size_t requests; /* of the target's worker */
} fallback_case_t;

static const fallback_case_t fallbacks[] = {
    {"on trial", PPS_ROLLOUT_ACTIVE, 0, 1, &refused, 0},
    {"held", PPS_ROLLOUT_ACTIVE, 1, 1, &refused, 0},
    {"rolled back", PPS_ROLLOUT_ROLLED_BACK, 1, 1, &refused, 0},
    {"no other version is left", PPS_ROLLOUT_ACTIVE, 0, 0, &served, 1},
};

/* Requests that the roll-out has not moved must not reach the target because
 * the workers of the old version are full. */
Test(exchange_rollout, full_workers_send_all_sessions_to_the_target)
{
    static const net_answer_t full[] = {{FULL, NET_KEEP}};
    static const net_answer_t ok[] = {{OK_PLAIN, NET_KEEP}};

    for (size_t i = 0; i < sizeof(fallbacks) / sizeof(*fallbacks); i++) {
        const fallback_case_t *item = &fallbacks[i];
        fixture_t fixture;
        pps_rollout_t *rollout = start(&fixture, ok, 0);

        rollout->state = item->state;
        rollout->held = item->held;
        fixture.workers[1].script = full;
        fixture.workers[2].script = full;
        if (!item->has_old_workers) {
            pps_pool_remove(fixture.dispatcher.pool, "w1");
            pps_pool_remove(fixture.dispatcher.pool, "w2");
        }
        run(&fixture, "/safe/", item->answer);
        cr_expect_eq(fixture.workers[0].requests, item->requests, "%s: %zu",
                     item->name, fixture.workers[0].requests);
    }
}
