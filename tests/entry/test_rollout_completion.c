/** @file test_rollout_completion.c @brief Tests when a roll-out is declared
 * completed, by what other hosts say. */
#include "clock.h"
#include "gossip/gossip_codec.h"
#include "gossip/gossip_state.h"
#include "rollout/controller.h"
#include "rollout/rollout_export.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define S PPS_US_PER_S

static void
fill_state(void *user, pps_gossip_state_t *out)
{
    out->rollout_count = pps_rollout_export(user, out->rollouts, 0);
}

static void
on_state(void *user, const pps_gossip_peer_t *peer)
{
    pps_rollout_controller_merge_peer(user, peer);
}

static const pps_gossip_ops_t gossip_ops = {.fill_state = fill_state,
                                            .on_state = on_state};

/* Makes the host receive the state of another one, which holds the target or
 * does not. */
static void
hear_host(pps_gossip_t *gossip, const pps_rollout_t *rollout, int held,
          int64_t now_us)
{
    static pps_gossip_message_t message;
    pps_buf_t encoded = PPS_BUF_INIT;

    memset(&message, 0, sizeof(message));
    snprintf(message.state.host_id, sizeof(message.state.host_id), "b");
    snprintf(message.state.address, sizeof(message.state.address),
             "127.0.0.2");
    message.state.rollout_count = 1;
    message.state.rollouts[0].rollout = *rollout;
    message.state.rollouts[0].rollout.held = held;
    message.state.rollouts[0].rollout.hold_reason =
        held ? PPS_ROLLOUT_HOLD_BAD : PPS_ROLLOUT_HOLD_UNKNOWN;
    cr_assert_eq(pps_gossip_encode_state(&encoded, &message, now_us), 0);
    cr_assert_eq(pps_gossip_receive(gossip, encoded.data, encoded.size), 0);
    pps_buf_clear(&encoded);
}

typedef struct {
    const char *name;
    int64_t heard_until_us; /* since the roll-out is due */
    int64_t held_at_us;     /* -1: never */
    pps_rollout_verdict_t verdict;
} completion_case_t;

static const completion_case_t completions[] = {
    {"all hosts agree", 10 * S, -1, PPS_ROLLOUT_COMPLETE},
    {"a host holds in time", 10 * S, S / 4, PPS_ROLLOUT_ROLL_BACK},
    {"a live host was not heard for long", -2 * S, -1, PPS_ROLLOUT_CONTINUE},
};

/** Age at which a roll-out of 24 s can be completed. */
#define DUE_AGE_US (24 * S - 1500 * PPS_US_PER_MS)

/* A completion can't be taken back, so a hold that another host sends within
 * the time to object has to win. */
Test(rollout_completion, completion_on_the_view_of_one_host)
{
    for (size_t i = 0; i < sizeof(completions) / sizeof(*completions); i++) {
        const completion_case_t *item = &completions[i];
        static pps_dispatcher_t dispatcher;
        static pps_reactor_t reactor;
        pps_rollout_t order = {
            .upstream = "s", .target = "v2", .duration_us = 24 * S};
        const pps_dispatch_options_t options = {.repeat_window_us = 10 * S,
                                                .rollout = {0.15, 30}};
        pps_rollout_verdict_t verdict = PPS_ROLLOUT_CONTINUE;
        pps_upstream_state_t *state;
        pps_gossip_t *gossip;

        cr_assert_eq(pps_reactor_init(&reactor), 0);
        cr_assert_eq(
            pps_dispatcher_init(&dispatcher, &reactor, &options, NULL, NULL),
            0);
        cr_assert_eq(pps_gossip_new(&gossip, &reactor, "a", "127.0.0.1", "z",
                                    0, &gossip_ops, &dispatcher),
                     0);
        reactor.now_us = S;
        pps_rollout_controller_apply_order(&dispatcher, &order);
        state = pps_dispatcher_upstream(&dispatcher, "s");
        state->tally.requests = 2000;
        state->tally.baseline[0].answers = 1700;
        state->tally.target[0].answers = 300;
        state->tally.target[0].scored = 100;
        state->tally.loaded_target.answers = 60;
        for (int64_t due = -12 * S; due <= 3 * S / 4; due += S / 4) {
            reactor.now_us = S + DUE_AGE_US + due;
            if (due <= item->heard_until_us) {
                hear_host(gossip, &state->rollout,
                          item->held_at_us >= 0 && due >= item->held_at_us,
                          reactor.now_us);
            }
            verdict = pps_rollout_controller_step(&dispatcher, state, gossip);
            cr_expect(due >= S / 4 || verdict != PPS_ROLLOUT_COMPLETE,
                      "%s: declared at once", item->name);
        }
        cr_expect_eq(verdict, item->verdict, "%s: %d", item->name, verdict);
    }
}
