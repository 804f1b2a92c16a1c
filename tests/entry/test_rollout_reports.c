/**
 * @file test_rollout_reports.c
 * @brief Plays hosts that tell each other of the roll-outs of many upstreams,
 * on a simulated clock and without a network.
 */
#include "clock.h"
#include "gossip/gossip_state.h"
#include "rollout/controller.h"
#include "rollout/rollout_export.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define S PPS_US_PER_S
#define HOSTS 2
#define STEP_US (400 * PPS_US_PER_MS)
#define DURATION_US (24 * S)
/** Time by which a completion that nobody opposes has been declared. */
#define PLAY_US (26 * S)
#define NAME_BYTES 16
#define TARGET "v2"

/** What happens to the datagrams that the second host sends. */
typedef enum {
    LINK_SOUND,
    LINK_STATES_ONLY, /**< all but its states are lost */
} link_t;

typedef struct {
    const char *name;
    unsigned int ended;  /* upstreams whose roll-outs have ended before */
    unsigned int active; /* upstreams with roll-outs at the same time */
    int is_reversed;     /* the second host meets the upstreams in another
                            order */
    link_t link;
} play_t;

static const play_t plays[] = {
    {"the only one", 0, 0, 0, LINK_SOUND},
    {"one has ended", 1, 0, 0, LINK_SOUND},
    {"two have ended", 2, 0, 0, LINK_SOUND},
    {"nine have ended", 9, 0, 0, LINK_SOUND},
    {"39 have ended", 39, 0, 0, LINK_SOUND},
    {"two are active", 0, 2, 0, LINK_SOUND},
    {"nine are active", 0, 9, 0, LINK_SOUND},
    {"39 are active", 0, 39, 0, LINK_SOUND},
    {"some have ended and some are active", 20, 19, 0, LINK_SOUND},
    {"hosts meet three in another order", 1, 1, 1, LINK_SOUND},
    {"hosts meet forty in another order", 20, 19, 1, LINK_SOUND},
    {"reports on the third one are lost", 0, 2, 0, LINK_STATES_ONLY},
    {"reports on the fortieth one are lost", 20, 19, 0, LINK_STATES_ONLY},
};

typedef struct {
    pps_dispatcher_t dispatcher;
    pps_gossip_t *gossip;
    int index;
} play_host_t;

static struct {
    const play_t *item;
    pps_reactor_t reactor;
    play_host_t hosts[HOSTS];
} play;

static void
fill_state(void *user, pps_gossip_state_t *out)
{
    play_host_t *host = user;

    out->rollout_count =
        pps_rollout_export(&host->dispatcher, out->rollouts, 0);
}

static void
on_state(void *user, const pps_gossip_peer_t *peer)
{
    play_host_t *host = user;

    pps_rollout_controller_merge_peer(&host->dispatcher, peer);
}

static size_t
fill_rollouts(void *user, pps_gossip_rollout_t *out, size_t first)
{
    play_host_t *host = user;

    return pps_rollout_export(&host->dispatcher, out, first);
}

static void
on_rollouts(void *user, const pps_gossip_peer_t *peer,
            const pps_gossip_rollouts_t *rollouts)
{
    play_host_t *host = user;

    pps_rollout_controller_merge_rollouts(&host->dispatcher, peer, rollouts);
}

static const pps_gossip_ops_t gossip_ops = {
    .fill_state = fill_state,
    .on_state = on_state,
    .fill_rollouts = fill_rollouts,
    .on_rollouts = on_rollouts,
};

static void
transmit(void *user, const char *address, const pps_buf_t *encoded)
{
    play_host_t *from = user;
    play_host_t *to = &play.hosts[1 - from->index];
    int is_state =
        pps_gossip_read_kind(encoded->data, encoded->size) == PPS_GOSSIP_STATE;

    if (from->index == 1 && play.item->link == LINK_STATES_ONLY && !is_state) {
        return;
    }
    cr_assert_eq(pps_gossip_receive(to->gossip, encoded->data, encoded->size),
                 0);
}

static void
start_host(int index)
{
    static const pps_dispatch_options_t options = {.repeat_window_us = 10 * S,
                                                   .rollout = {0.15, 30}};
    play_host_t *host = &play.hosts[index];
    char id[NAME_BYTES];
    char address[NAME_BYTES];

    host->index = index;
    snprintf(id, sizeof(id), "h%d", index);
    snprintf(address, sizeof(address), "127.0.0.%d", index + 1);
    cr_assert_eq(pps_dispatcher_init(&host->dispatcher, &play.reactor,
                                     &options, NULL, NULL),
                 0);
    cr_assert_eq(pps_gossip_new(&host->gossip, &play.reactor, id, address, "z",
                                0, &gossip_ops, host),
                 0);
    host->gossip->transmit = transmit;
}

static void
name_upstream(char out[NAME_BYTES], unsigned int number)
{
    snprintf(out, NAME_BYTES, "s%u", number);
}

static void
order(unsigned int number)
{
    pps_rollout_t order = {.target = TARGET, .duration_us = DURATION_US};

    snprintf(order.upstream, sizeof(order.upstream), "s%u", number);
    for (int i = 0; i < HOSTS; i++) {
        pps_rollout_controller_apply_order(&play.hosts[i].dispatcher, &order);
    }
}

static void
end(unsigned int number)
{
    pps_rollout_t status = {.target = TARGET, .state = PPS_ROLLOUT_COMPLETED};

    snprintf(status.upstream, sizeof(status.upstream), "s%u", number);
    for (int i = 0; i < HOSTS; i++) {
        pps_rollout_controller_apply_status(&play.hosts[i].dispatcher,
                                            &status);
    }
}

static void
send_states(void)
{
    for (int i = 0; i < HOSTS; i++) {
        pps_gossip_send_regular_state(play.hosts[i].gossip);
    }
}

/* Lets the hosts meet all upstreams, and the roll-outs of some end, before the
 * last one is ordered. */
static void
prepare(const play_t *item)
{
    unsigned int last = item->ended + item->active;
    char name[NAME_BYTES];

    memset(&play, 0, sizeof(play));
    play.item = item;
    cr_assert_eq(pps_reactor_init(&play.reactor), 0);
    play.reactor.now_us = S;
    for (int i = 0; i < HOSTS; i++) {
        start_host(i);
    }
    pps_gossip_add_address(play.hosts[0].gossip, "127.0.0.2");
    for (unsigned int i = 0; i <= last; i++) {
        name_upstream(name, i);
        cr_assert_not_null(
            pps_dispatcher_upstream(&play.hosts[0].dispatcher, name), "%s: %s",
            item->name, name);
        name_upstream(name, item->is_reversed ? last - i : i);
        cr_assert_not_null(
            pps_dispatcher_upstream(&play.hosts[1].dispatcher, name));
    }
    for (unsigned int i = 0; i < item->ended; i++) {
        order(i);
        end(i);
    }
    for (unsigned int i = item->ended; i <= last; i++) {
        order(i);
    }
}

static pps_upstream_state_t *
last_upstream(int host)
{
    char name[NAME_BYTES];

    name_upstream(name, play.item->ended + play.item->active);
    return pps_dispatcher_find_upstream(&play.hosts[host].dispatcher, name);
}

static pps_upstream_state_t *
first_upstream(int host)
{
    char name[NAME_BYTES];

    name_upstream(name, 0);
    return pps_dispatcher_find_upstream(&play.hosts[host].dispatcher, name);
}

/* Counts good answers of both versions, and failures of the target. */
static void
count_answers(pps_rollout_tally_t *tally, uint32_t failures)
{
    tally->requests = 2000;
    tally->exposed = 300;
    tally->baseline[0].answers = 1700;
    tally->target[0].answers = 300;
    tally->target[0].failures = failures;
    tally->target[0].scored = 100;
    tally->loaded_target.answers = 60;
}

/* Plays the last roll-out. @return what the first host declares at last */
static pps_rollout_verdict_t
run(void)
{
    int64_t end_us = play.reactor.now_us + PLAY_US;

    while (play.reactor.now_us < end_us) {
        send_states();
        for (int i = HOSTS - 1; i >= 0; i--) {
            pps_rollout_verdict_t verdict = pps_rollout_controller_step(
                &play.hosts[i].dispatcher, last_upstream(i),
                play.hosts[i].gossip);

            if (i == 0 && verdict != PPS_ROLLOUT_CONTINUE) {
                return verdict;
            }
        }
        play.reactor.now_us += STEP_US;
    }
    return PPS_ROLLOUT_CONTINUE;
}

/* Guards against a completion by the answers of one host, while another one
 * that saw the version fail can't tell it so. */
Test(rollout_reports, failures_at_another_host_are_not_heard)
{
    for (size_t i = 0; i < sizeof(plays) / sizeof(*plays); i++) {
        pps_rollout_verdict_t wanted = plays[i].link == LINK_SOUND
                                           ? PPS_ROLLOUT_ROLL_BACK
                                           : PPS_ROLLOUT_CONTINUE;
        pps_rollout_verdict_t verdict;

        prepare(&plays[i]);
        count_answers(&last_upstream(0)->tally, 0);
        count_answers(&last_upstream(1)->tally, 150);
        verdict = run();
        cr_expect_eq(verdict, wanted, "%s: %d", plays[i].name, verdict);
    }
}

/* Guards against a sound version that is not completed, because its roll-out
 * is one of many. */
Test(rollout_reports, sound_version_is_not_completed)
{
    for (size_t i = 0; i < sizeof(plays) / sizeof(*plays); i++) {
        pps_rollout_verdict_t wanted = plays[i].link == LINK_SOUND
                                           ? PPS_ROLLOUT_COMPLETE
                                           : PPS_ROLLOUT_CONTINUE;
        pps_rollout_verdict_t verdict;

        prepare(&plays[i]);
        count_answers(&last_upstream(0)->tally, 0);
        count_answers(&last_upstream(1)->tally, 0);
        verdict = run();
        cr_expect_eq(verdict, wanted, "%s: %d", plays[i].name, verdict);
    }
}

/** Time after the end at which a host that missed it is heard again. */
#define LATE_US (60 * S)

/* Guards against a host that was frozen while a roll-out ended and goes on
 * with it, as the others no longer tell of the end. */
Test(rollout_reports, host_that_missed_an_end_does_not_hear_of_it)
{
    for (size_t i = 0; i < sizeof(plays) / sizeof(*plays); i++) {
        pps_upstream_state_t *late;

        if (plays[i].ended == 0 || plays[i].link != LINK_SOUND) {
            continue;
        }
        prepare(&plays[i]);
        play.reactor.now_us += LATE_US;
        late = first_upstream(1);
        late->rollout.state = PPS_ROLLOUT_ACTIVE;
        for (int round = 0; round < 3; round++) {
            send_states();
            play.reactor.now_us += STEP_US;
        }
        cr_expect_eq(late->rollout.state, PPS_ROLLOUT_COMPLETED, "%s",
                     plays[i].name);
    }
}

/* Guards against memory that grows with each host and roll-out. */
Test(rollout_reports, reports_are_kept_after_the_end)
{
    pps_upstream_state_t *state;

    prepare(&plays[0]);
    send_states();
    send_states();
    state = last_upstream(0);
    cr_expect_eq(cds_list_empty(&state->reports), 0);
    end(0);
    cr_expect_neq(cds_list_empty(&state->reports), 0);
    send_states();
    cr_expect_neq(cds_list_empty(&state->reports), 0);
}
