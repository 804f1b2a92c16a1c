/** @file test_exchange_hedge_refused.c @brief Tests that no copies are sent
 * where that is not allowed. */
#include "clock.h"
#include "exchange/cold_gate.h"
#include "exchange/evacuation.h"
#include "exchange/worker_share.h"
#include "hedge_fixture.h"

#include <criterion/criterion.h>
#include <stdio.h>

static void
make_cold(fixture_t *fixture, pps_upstream_state_t *state)
{
    pps_dispatcher_t *dispatcher = &fixture->dispatcher;
    pps_upstream_t *upstream = &dispatcher->deployment->upstreams[0];
    pps_pool_worker_t *worker;

    upstream->cold_rate_per_s = 12;
    upstream->cold_start_us = 3 * PPS_US_PER_S;
    dispatcher->options.cold_over = 1.5;
    dispatcher->options.cold_slack = 5;
    cds_list_for_each_entry (worker, pps_pool_workers(dispatcher->pool),
                             node) {
        pps_worker_info_t info = worker->info;

        info.received_us = dispatcher->reactor->now_us;
        info.cold_remaining_us = 3 * PPS_US_PER_S;
        pps_pool_put(dispatcher->pool, &info);
    }
    pps_cold_gate_step(dispatcher);
}

static void
make_brittle(fixture_t *fixture, pps_upstream_state_t *state)
{
    pps_pool_worker_t *worker;

    cds_list_for_each_entry (
        worker, pps_pool_workers(fixture->dispatcher.pool), node) {
        worker->permits.is_brittle = 1;
    }
}

static void
pause_workers(fixture_t *fixture, pps_upstream_state_t *state)
{
    int64_t now_us = fixture->reactor.now_us;
    pps_pool_worker_t *worker;

    cds_list_for_each_entry (
        worker, pps_pool_workers(fixture->dispatcher.pool), node) {
        pps_pool_pause(worker, now_us, now_us + PPS_US_PER_S);
    }
}

static void
start_trial(fixture_t *fixture, pps_upstream_state_t *state)
{
    state->rollout.state = PPS_ROLLOUT_ACTIVE;
    snprintf(state->rollout.target, sizeof(state->rollout.target), "v2");
}

static void
limit_workers(fixture_t *fixture, pps_upstream_state_t *state)
{
    pps_pool_worker_t *worker;

    cds_list_for_each_entry (
        worker, pps_pool_workers(fixture->dispatcher.pool), node) {
        pps_worker_share_name(&fixture->dispatcher, worker, 0, 1000);
    }
}

static void
evacuate(fixture_t *fixture, pps_upstream_state_t *state)
{
    pps_evacuation_begin(&fixture->dispatcher, "z", "test");
}

static void
make_loaded(fixture_t *fixture, pps_upstream_state_t *state)
{
    state->hedge_load.smoothed = PPS_HEDGE_LOAD_MAX + 0.1;
}

static void
make_late(fixture_t *fixture, pps_upstream_state_t *state)
{
    state->lateness.ratio = 1;
}

static void
use_up_repeats(fixture_t *fixture, pps_upstream_state_t *state)
{
    fixture->dispatcher.options.repeat_allowance = 0;
}

/* Settings are read again while the host serves. */
static void
turn_off(fixture_t *fixture, pps_upstream_state_t *state)
{
    fixture->dispatcher.options.hedge_share = 0;
}

typedef struct {
    const char *name;
    const char *path;
    double share;
    void (*prepare)(fixture_t *fixture, pps_upstream_state_t *state);
} refused_case_t;

/* Guards against copies that must not be sent. */
static const refused_case_t refused[] = {
    {"must not run twice", "/once/", 1, NULL},
    {"share 0", "/safe/", 0, NULL},
    {"share used up", "/safe/", 0.5, NULL},
    {"workers are cold", "/safe/", 1, make_cold},
    {"workers are brittle", "/safe/", 1, make_brittle},
    {"workers name a limit", "/safe/", 1, limit_workers},
    {"workers are evacuated", "/safe/", 1, evacuate},
    {"workers are paused", "/safe/", 1, pause_workers},
    {"trial of a roll-out", "/safe/", 1, start_trial},
    {"mean load is high", "/safe/", 1, make_loaded},
    {"load is high", "/safe/", 1, make_late},
    {"share set to 0 meanwhile", "/safe/", 1, turn_off},
    {"limit of repeats", "/safe/", 1, use_up_repeats},
};

Test(exchange_hedge_refused, cases)
{
    static const net_answer_t script[HEDGE_SCRIPT_SIZE] = {HEDGE_SILENT,
                                                           HEDGE_SILENT};

    for (size_t i = 0; i < sizeof(refused) / sizeof(*refused); i++) {
        fixture_t fixture;
        net_client_t client;
        pps_upstream_state_t *state =
            hedge_start(&fixture, script, refused[i].share);

        fixture_request(&fixture, &client, refused[i].path, "");
        hedge_run_until_sent(&fixture, 1);
        if (refused[i].prepare != NULL) {
            refused[i].prepare(&fixture, state);
        }
        net_run_for(&fixture.reactor, HEDGE_COPY_MS);
        cr_expect_eq(fixture_request_count(&fixture), 1, "%s",
                     refused[i].name);
    }
}
