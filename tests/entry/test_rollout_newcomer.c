/** @file test_rollout_newcomer.c @brief Tests what a host that starts within a
 * roll-out decides on its own counts and the reports that it has heard. */
#include "clock.h"
#include "gossip/gossip_codec.h"
#include "gossip/gossip_state.h"
#include "rollout/controller.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define S PPS_US_PER_S
#define STEP_US (250 * PPS_US_PER_MS)
#define DURATION_US (24 * S)
/** Age of the roll-out when the host starts. */
#define AGE_US (15 * S)
/** Counts of this host, which look as if the bound were used up. */
#define OWN_REQUESTS 120
#define OWN_EXPOSED 100

typedef struct {
    const char *name;
    int is_heard;            /**< the other host has told its counts */
    int live_hosts;          /**< as many as the other host knows */
    uint32_t other_requests; /**< that it has counted */
    int64_t until_us;        /**< since the start */
    int is_held;             /**< by then */
    int is_complete;         /**< this host knows enough to judge by then */
} newcomer_case_t;

static const newcomer_case_t cases[] = {
    {"nobody is heard yet", 0, 0, 0, 2 * S, 0, 0},
    {"the other host is heard", 1, 2, 9000, 2 * S, 0, 1},
    {"the other host is heard, the bound is used up", 1, 2, 10, 2 * S, 1, 1},
    {"at once", 1, 2, 10, S / 2, 0, 0},
    {"the other host knows many more", 1, 18, 10, 5 * S, 0, 0},
    {"the other host knows one more", 1, 3, 9000, 2 * S, 0, 0},
};

static void
fill_state(void *user, pps_gossip_state_t *out)
{
}

static void
on_state(void *user, const pps_gossip_peer_t *peer)
{
    pps_rollout_controller_merge_peer(user, peer);
}

static void
ignore_datagram(void *user, const char *address, const pps_buf_t *encoded)
{
}

static const pps_gossip_ops_t gossip_ops = {.fill_state = fill_state,
                                            .on_state = on_state};

static void
hear_host(pps_gossip_t *gossip, const newcomer_case_t *item, int64_t now_us,
          int64_t started_us)
{
    static pps_gossip_message_t message;
    pps_gossip_rollout_t *told = &message.state.rollouts[0];
    pps_buf_t encoded = PPS_BUF_INIT;

    memset(&message, 0, sizeof(message));
    snprintf(message.state.host_id, PPS_GOSSIP_TEXT_BYTES, "b");
    snprintf(message.state.address, PPS_GOSSIP_TEXT_BYTES, "127.0.0.2");
    message.state.incarnation = 7;
    message.state.live_hosts = item->live_hosts;
    message.state.rollout_count = 1;
    told->rollout = (pps_rollout_t){.upstream = "s",
                                    .target = "v2",
                                    .state = PPS_ROLLOUT_ACTIVE,
                                    .started_us = started_us,
                                    .duration_us = DURATION_US};
    told->tally.requests = item->other_requests;
    cr_assert_eq(pps_gossip_encode_state(&encoded, &message, now_us), 0);
    cr_assert_eq(pps_gossip_receive(gossip, encoded.data, encoded.size), 0);
    pps_buf_clear(&encoded);
}

/* Guards against a good version that a host rolls back for all, as it judges
 * before it has heard the others. */
Test(rollout_newcomer, a_host_judges_before_it_has_heard_the_others)
{
    static const pps_dispatch_options_t options = {.repeat_window_us = 10 * S,
                                                   .rollout = {0.15, 30}};
    const pps_rollout_t status = {
        .upstream = "s", .target = "v2", .state = PPS_ROLLOUT_ACTIVE};
    const pps_rollout_t order = {
        .upstream = "s", .target = "v2", .duration_us = DURATION_US};

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_reactor_t reactor;
        pps_dispatcher_t dispatcher;
        pps_gossip_t *gossip;
        pps_upstream_state_t *state;
        int64_t start_us = 100 * S;

        cr_assert_eq(pps_reactor_init(&reactor), 0);
        reactor.now_us = start_us;
        cr_assert_eq(
            pps_dispatcher_init(&dispatcher, &reactor, &options, NULL, NULL),
            0);
        cr_assert_eq(pps_gossip_new(&gossip, &reactor, "a", "127.0.0.1", "z",
                                    0, &gossip_ops, &dispatcher),
                     0);
        gossip->transmit = ignore_datagram;
        pps_rollout_controller_apply_status(&dispatcher, &status);
        pps_rollout_controller_apply_order(&dispatcher, &order);
        state = pps_dispatcher_upstream(&dispatcher, "s");
        state->tally.requests = OWN_REQUESTS;
        state->tally.exposed = OWN_EXPOSED;
        while (reactor.now_us < start_us + cases[i].until_us) {
            if (cases[i].is_heard) {
                hear_host(gossip, &cases[i], reactor.now_us,
                          start_us - AGE_US);
            }
            pps_rollout_controller_step(&dispatcher, state, gossip);
            reactor.now_us += STEP_US;
        }
        cr_expect_eq(state->rollout.held, cases[i].is_held, "%s",
                     cases[i].name);
        cr_expect_eq(state->knowledge.is_complete, cases[i].is_complete, "%s",
                     cases[i].name);
    }
}
