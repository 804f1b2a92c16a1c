/** @file test_rollout_start.c @brief Tests what a host that starts within a
 * roll-out makes of its order, its status and other hosts' reports. */
#include "clock.h"
#include "gossip/gossip_state.h"
#include "rollout/controller.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define S PPS_US_PER_S
#define DURATION_US (24 * S)
#define STEPS_MAX 3

typedef enum {
    NOTHING,
    READS_ORDER,
    READS_STATUS, /**< "active", without a duration */
    HEARS_PEER,
} step_t;

typedef struct {
    const char *name;
    step_t steps[STEPS_MAX];
    int64_t duration_us; /**< that is known after the steps */
} start_case_t;

static const start_case_t cases[] = {
    {"order", {READS_ORDER}, DURATION_US},
    {"order, status", {READS_ORDER, READS_STATUS}, DURATION_US},
    {"status, order", {READS_STATUS, READS_ORDER}, DURATION_US},
    {"status", {READS_STATUS}, 0},
    {"status, peer", {READS_STATUS, HEARS_PEER}, DURATION_US},
    {"status, peer, order",
     {READS_STATUS, HEARS_PEER, READS_ORDER},
     DURATION_US},
};

/** A hold that a host with all counts hears. */
typedef struct {
    const char *name;
    pps_rollout_hold_t reason;
    uint32_t failures; /**< of 100 answers of the target */
    int64_t age_us;
    int is_held; /**< it acts on the hold */
} hold_case_t;

static const hold_case_t hold_cases[] = {
    {"time, too early, of an older build", PPS_ROLLOUT_HOLD_UNKNOWN, 0,
     DURATION_US / 2, 0},
    {"time, of an older build", PPS_ROLLOUT_HOLD_UNKNOWN, 0, DURATION_US, 1},
    {"bad, of an older build", PPS_ROLLOUT_HOLD_UNKNOWN, 50, DURATION_US / 2,
     1},
    {"bad", PPS_ROLLOUT_HOLD_BAD, 0, DURATION_US / 2, 1},
};

/** Starts that a host hears, each a bit earlier than the one before. */
typedef struct {
    const char *name;
    int64_t learned_us; /**< after the others' start */
    int64_t heard_us;   /**< after it has learned of the roll-out */
    int is_adopted;     /**< it adopts small differences */
} clock_case_t;

static const clock_case_t clock_cases[] = {
    {"a host that learned of it with the others", 0, S / 10, 0},
    {"a host that starts", 5 * S, S, 1},
    {"a host that started a while ago", 5 * S, 5 * S, 0},
};

static void
ignore_state(void *user, pps_gossip_state_t *out)
{
}

static void
ignore_datagram(void *user, const char *address, const pps_buf_t *encoded)
{
}

static const pps_gossip_ops_t gossip_ops = {.fill_state = ignore_state};

static void
run_step(pps_dispatcher_t *dispatcher, step_t step)
{
    pps_rollout_t rollout = {.upstream = "s",
                             .target = "v2",
                             .state = PPS_ROLLOUT_ACTIVE,
                             .started_us = dispatcher->reactor->now_us - 3 * S,
                             .duration_us =
                                 step == READS_STATUS ? 0 : DURATION_US};
    pps_gossip_peer_t peer = {.state.rollout_count = 1,
                              .state.address = "127.0.0.2"};

    switch (step) {
    case NOTHING:
        break;
    case READS_ORDER:
        pps_rollout_controller_apply_order(dispatcher, &rollout);
        break;
    case READS_STATUS:
        pps_rollout_controller_apply_status(dispatcher, &rollout);
        break;
    case HEARS_PEER:
        peer.state.rollouts[0].rollout = rollout;
        pps_rollout_controller_merge_peer(dispatcher, &peer);
        break;
    }
}

static void
start_host(pps_reactor_t *reactor, pps_dispatcher_t *dispatcher)
{
    static const pps_dispatch_options_t options = {.repeat_window_us = 10 * S,
                                                   .rollout = {0.15, 30}};

    cr_assert_eq(pps_reactor_init(reactor), 0);
    reactor->now_us = 100 * S;
    cr_assert_eq(
        pps_dispatcher_init(dispatcher, reactor, &options, NULL, NULL), 0);
}

/* Guards against a good version that is held by a host that reads the status
 * before the order, as the time seems to be used up. */
Test(rollout_start, a_host_holds_nothing_before_it_knows_the_duration)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_reactor_t reactor;
        pps_dispatcher_t dispatcher;
        pps_gossip_t *gossip;
        pps_upstream_state_t *state;

        start_host(&reactor, &dispatcher);
        cr_assert_eq(pps_gossip_new(&gossip, &reactor, "h", "127.0.0.1", "z",
                                    0, &gossip_ops, NULL),
                     0);
        gossip->transmit = ignore_datagram;
        for (size_t step = 0; step < STEPS_MAX; step++) {
            run_step(&dispatcher, cases[i].steps[step]);
        }
        state = pps_dispatcher_upstream(&dispatcher, "s");
        for (int step = 0; step < 40; step++) {
            reactor.now_us += S / 4;
            cr_expect_eq(
                pps_rollout_controller_step(&dispatcher, state, gossip),
                PPS_ROLLOUT_CONTINUE, "%s", cases[i].name);
        }
        cr_expect_eq(state->rollout.held, 0, "%s", cases[i].name);
        cr_expect_eq(state->rollout.duration_us, cases[i].duration_us, "%s",
                     cases[i].name);
    }
}

/* Guards against a good version that is rolled back, as a host of a build
 * before has held it without its duration. */
Test(rollout_start, a_hold_of_an_older_build_is_obeyed_blindly)
{
    for (size_t i = 0; i < sizeof(hold_cases) / sizeof(*hold_cases); i++) {
        const hold_case_t *item = &hold_cases[i];
        pps_gossip_peer_t peer = {.state.rollout_count = 1,
                                  .state.address = "127.0.0.2"};
        pps_reactor_t reactor;
        pps_dispatcher_t dispatcher;
        pps_upstream_state_t *state;

        start_host(&reactor, &dispatcher);
        run_step(&dispatcher, READS_ORDER);
        state = pps_dispatcher_upstream(&dispatcher, "s");
        state->knowledge.is_complete = 1;
        state->tally.requests = 2000;
        state->tally.exposed = 100;
        state->tally.baseline[0].answers = 1900;
        state->tally.target[0].answers = 100;
        state->tally.target[0].failures = item->failures;
        reactor.now_us += item->age_us;
        peer.state.rollouts[0].rollout = state->rollout;
        peer.state.rollouts[0].rollout.held = 1;
        peer.state.rollouts[0].rollout.hold_reason = item->reason;
        pps_rollout_controller_merge_peer(&dispatcher, &peer);
        cr_expect_eq(state->rollout.held, item->is_held, "%s", item->name);
    }
}

/* Guards against moves that come ever earlier, in the first half of the
 * duration, as hosts adopt each other's starts without a tolerance. */
Test(rollout_start, starts_move_ever_earlier)
{
    const int64_t step_us = S / 50;

    for (size_t i = 0; i < sizeof(clock_cases) / sizeof(*clock_cases); i++) {
        const clock_case_t *item = &clock_cases[i];
        pps_gossip_peer_t peer = {.state.rollout_count = 1,
                                  .state.address = "127.0.0.2"};
        pps_rollout_t *told = &peer.state.rollouts[0].rollout;
        pps_reactor_t reactor;
        pps_dispatcher_t dispatcher;
        pps_upstream_state_t *state;
        int64_t first_us;

        start_host(&reactor, &dispatcher);
        run_step(&dispatcher, READS_ORDER);
        state = pps_dispatcher_upstream(&dispatcher, "s");
        *told = state->rollout;
        told->started_us = reactor.now_us - item->learned_us;
        pps_rollout_controller_merge_peer(&dispatcher, &peer);
        first_us = state->rollout.started_us;
        reactor.now_us += item->heard_us;
        for (int step = 0; step < 200; step++) {
            told->started_us = state->rollout.started_us - step_us;
            pps_rollout_controller_merge_peer(&dispatcher, &peer);
        }
        cr_expect_eq(state->rollout.started_us < first_us, item->is_adopted,
                     "%s: %lld us earlier", item->name,
                     (long long)(first_us - state->rollout.started_us));
    }
}
