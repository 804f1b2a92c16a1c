/** @file test_rolled_back.c @brief What was decided on a version outlives the
 * next order. */
#include "clock.h"
#include "exchange_fixture.h"
#include "rollout/controller.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define STEPS_MAX 6
#define REQUESTS 30

/** What a host hears of a roll-out. */
typedef enum {
    HEARS_NOTHING,
    HEARS_ORDER,
    HEARS_STATUS, /**< from the store */
    HEARS_PEER,   /**< from another host */
    HOLDS,        /**< the host itself holds the target */
} step_kind_t;

typedef struct {
    step_kind_t kind;
    const char *target;
    pps_rollout_state_t state;
} step_t;

typedef struct {
    const char *name;
    step_t steps[STEPS_MAX];
    const char *asked;
    int is_rolled_back;
} rolled_back_case_t;

#define ORDER(target)                                                         \
    {                                                                         \
        HEARS_ORDER, target, PPS_ROLLOUT_ACTIVE                               \
    }
#define STATUS(target, state)                                                 \
    {                                                                         \
        HEARS_STATUS, target, PPS_ROLLOUT_##state                             \
    }
#define PEER(target, state)                                                   \
    {                                                                         \
        HEARS_PEER, target, PPS_ROLLOUT_##state                               \
    }

static const rolled_back_case_t cases[] = {
    {"while it is the current one",
     {ORDER("v2"), STATUS("v2", ROLLED_BACK)},
     "v2",
     0},
    {"declared, then the next order",
     {ORDER("v2"), STATUS("v2", ROLLED_BACK), ORDER("v3")},
     "v2",
     1},
    {"held, then the next order",
     {ORDER("v2"), {HOLDS}, ORDER("v3")},
     "v2",
     1},
    {"told by another host, then the next order",
     {ORDER("v2"), PEER("v2", ROLLED_BACK), ORDER("v3")},
     "v2",
     1},
    {"told by another host after the next order",
     {ORDER("v2"), ORDER("v3"), PEER("v2", ROLLED_BACK)},
     "v2",
     1},
    {"declared after the next order",
     {ORDER("v2"), ORDER("v3"), STATUS("v2", ROLLED_BACK)},
     "v2",
     1},
    {"the next status comes before its order",
     {ORDER("v2"), STATUS("v2", ROLLED_BACK), STATUS("v3", ACTIVE)},
     "v2",
     1},
    {"two orders later",
     {ORDER("v2"), STATUS("v2", ROLLED_BACK), ORDER("v3"), ORDER("v4")},
     "v2",
     1},
    {"ordered anew",
     {ORDER("v2"), STATUS("v2", ROLLED_BACK), ORDER("v3"), ORDER("v2")},
     "v2",
     0},
    {"completed, then the next order",
     {ORDER("v2"), STATUS("v2", COMPLETED), ORDER("v3")},
     "v2",
     0},
    {"neither, then the next order", {ORDER("v2"), ORDER("v3")}, "v2", 0},
    {"the baseline",
     {ORDER("v2"), STATUS("v2", ROLLED_BACK), ORDER("v3")},
     "v1",
     0},
};

static void
run_step(pps_dispatcher_t *dispatcher, const step_t *step)
{
    pps_rollout_t rollout = {.upstream = "s",
                             .state = step->state,
                             .duration_us = 20 * PPS_US_PER_S};
    pps_gossip_peer_t peer;

    snprintf(rollout.target, sizeof(rollout.target), "%s",
             step->target != NULL ? step->target : "");
    switch (step->kind) {
    case HEARS_NOTHING:
        break;
    case HEARS_ORDER:
        pps_rollout_controller_apply_order(dispatcher, &rollout);
        break;
    case HEARS_STATUS:
        pps_rollout_controller_apply_status(dispatcher, &rollout);
        break;
    case HEARS_PEER:
        memset(&peer, 0, sizeof(peer));
        peer.state.rollout_count = 1;
        peer.state.rollouts[0].rollout = rollout;
        pps_rollout_controller_merge_peer(dispatcher, &peer);
        break;
    case HOLDS:
        pps_dispatcher_find_upstream(dispatcher, "s")->rollout.held = 1;
        break;
    }
}

/* Guards against a version that counts as sound again, once another one is
 * ordered. */
Test(rolled_back, next_order_forgets_a_roll_back)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const rolled_back_case_t *item = &cases[i];
        static pps_dispatcher_t dispatcher;
        static pps_reactor_t reactor;
        const pps_upstream_state_t *state;

        memset(&dispatcher, 0, sizeof(dispatcher));
        dispatcher.reactor = &reactor;
        CDS_INIT_LIST_HEAD(&dispatcher.upstreams);
        dispatcher.options.repeat_window_us = 10 * PPS_US_PER_S;
        for (size_t step = 0; step < STEPS_MAX; step++) {
            run_step(&dispatcher, &item->steps[step]);
        }
        state = pps_dispatcher_find_upstream(&dispatcher, "s");
        cr_expect_eq(
            pps_version_set_contains(&state->rolled_back, item->asked),
            item->is_rolled_back, "%s", item->name);
    }
}

static void
set_version(fixture_t *fixture, const char *id, const char *version)
{
    pps_pool_worker_t *worker = pps_pool_lookup(fixture->dispatcher.pool, id);

    snprintf(worker->info.version, sizeof(worker->info.version), "%s",
             version);
}

/* Guards against sessions that are given to a version which was rolled back,
 * as its workers are still listed when the next one is ordered. Without other
 * workers they serve, rather than nobody. */
Test(rolled_back, rolled_back_version_gets_new_sessions, .timeout = 60)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static const fixture_answer_t served = {"served", "200", "hi"};
    static const step_t steps[] = {ORDER("v2"), STATUS("v2", ROLLED_BACK),
                                   ORDER("v3")};
    static fixture_t fixture;
    net_client_t client;

    fixture_start(&fixture, script, 1);
    set_version(&fixture, "w0", "v2");
    set_version(&fixture, "w2", "v3");
    for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
        run_step(&fixture.dispatcher, &steps[i]);
    }
    for (int i = 0; i < REQUESTS; i++) {
        fixture_run_request(&fixture, &client, "/safe/", "");
        fixture_expect(&served, &client);
    }
    cr_expect_eq(fixture.workers[0].requests, 0, "%zu of %d",
                 fixture.workers[0].requests, REQUESTS);
    cr_expect_gt(fixture.workers[1].requests, 0);
    pps_pool_remove(fixture.dispatcher.pool, "w1");
    pps_pool_remove(fixture.dispatcher.pool, "w2");
    fixture_run_request(&fixture, &client, "/safe/", "");
    fixture_expect(&served, &client);
    cr_expect_eq(fixture.workers[0].requests, 1);
}
