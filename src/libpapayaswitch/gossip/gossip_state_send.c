/** @file gossip_state_send.c @brief Sends this host's state. */
#include "gossip_state.h"

#include "clock.h"
#include "state_plan.h"

#include <string.h>

/** Interval between state datagrams to a peer that is not live. */
#define PROBE_INTERVAL_US (2 * PPS_US_PER_S)
/** Hosts of a failure domain whose states may arrive each second: 50 of 200 B
 * are 10 KB/s at a relay, and as much again in the digests. */
#define DOMAIN_HOSTS_PER_S 50

static void
add_hint(pps_gossip_t *gossip, const pps_gossip_peer_t *peer, size_t total)
{
    uint64_t slot = gossip->own.hint_count;

    if (slot < PPS_GOSSIP_HINTS) {
        gossip->own.hint_count++;
    }
    else {
        slot = pps_rng_below(&gossip->rng, total);
    }
    if (slot < PPS_GOSSIP_HINTS) {
        memcpy(gossip->own.hints[slot], peer->state.address,
               PPS_GOSSIP_TEXT_BYTES);
    }
}

/* A hub names relays, so that those of different domains find each other. */
static void
choose_hints(pps_gossip_t *gossip, const pps_state_plan_t *plan)
{
    const pps_gossip_peer_t *peer;

    gossip->own.hint_count = 0;
    if (plan->is_hub && plan->all_relay_count > 0) {
        for (size_t i = 0; i < plan->all_relay_count; i++) {
            add_hint(gossip, plan->all_relays[i], plan->all_relay_count);
        }
        return;
    }
    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (pps_gossip_is_live(gossip, peer)) {
            add_hint(gossip, peer, gossip->peer_count);
        }
    }
}

/* Checks whether this round sends the state to a peer. Records a probe. */
static int
is_due(const pps_gossip_t *gossip, const pps_state_plan_t *plan,
       pps_gossip_peer_t *peer)
{
    int64_t now_us = gossip->reactor->now_us;
    int is_target = pps_state_plan_is_target(plan, gossip, peer);

    if (is_target && pps_gossip_is_live(gossip, peer)) {
        return 1;
    }
    if ((!is_target && !pps_state_plan_is_sought(plan, peer)) ||
        (peer->last_probe_us != 0 &&
         now_us - peer->last_probe_us < PROBE_INTERVAL_US)) {
        return 0;
    }
    peer->last_probe_us = now_us;
    return 1;
}

static void
measure_domain(pps_gossip_t *gossip)
{
    const char *own_domain = gossip->own.state.failure_domain;
    const pps_gossip_peer_t *peer;
    unsigned int hosts = 1;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        hosts += pps_gossip_is_live(gossip, peer) &&
                 strcmp(peer->state.failure_domain, own_domain) == 0;
    }
    gossip->period_scale = (double)hosts / DOMAIN_HOSTS_PER_S;
}

/* Sends roll-outs to the live hosts that get the state. */
static void
send_rollouts(pps_gossip_t *gossip, const pps_state_plan_t *plan,
              const pps_gossip_rollouts_t *rollouts)
{
    pps_buf_t encoded = PPS_BUF_INIT;
    const pps_gossip_peer_t *peer;

    if (pps_gossip_encode_rollouts(&encoded, rollouts,
                                   gossip->reactor->now_us) == 0) {
        cds_list_for_each_entry (peer, &gossip->peers, node) {
            if (pps_gossip_is_live(gossip, peer) &&
                pps_state_plan_is_target(plan, gossip, peer) &&
                (peer->state.lacks & PPS_GOSSIP_LACKS_ROLLOUT_REPORTS) == 0) {
                pps_gossip_send_to(gossip, peer->state.address, &encoded);
            }
        }
    }
    pps_buf_clear(&encoded);
}

/* Sends the roll-outs for which the state has no room. */
static void
send_further_rollouts(pps_gossip_t *gossip, const pps_state_plan_t *plan)
{
    static pps_gossip_rollouts_t rollouts;
    size_t first = gossip->own.state.rollout_count;

    if (gossip->ops->fill_rollouts == NULL || first < PPS_GOSSIP_ROLLOUTS) {
        return;
    }
    memcpy(rollouts.from, gossip->own.state.address, sizeof(rollouts.from));
    rollouts.incarnation = gossip->own.state.incarnation;
    do {
        rollouts.count =
            gossip->ops->fill_rollouts(gossip->user, rollouts.items, first);
        first += rollouts.count;
        if (rollouts.count > 0) {
            send_rollouts(gossip, plan, &rollouts);
        }
    } while (rollouts.count == PPS_GOSSIP_ROLLOUTS);
}

static void
describe_own(pps_gossip_t *gossip)
{
    gossip->own.state.rollout_count = 0;
    gossip->own.state.live_hosts =
        (int)pps_gossip_count_locally_live_hosts(gossip);
    gossip->ops->fill_state(gossip->user, &gossip->own.state);
}

void
pps_gossip_answer_first_state(pps_gossip_t *gossip,
                              const pps_gossip_peer_t *peer)
{
    pps_buf_t encoded = PPS_BUF_INIT;

    if (!pps_gossip_hears_all(gossip)) {
        return;
    }
    describe_own(gossip);
    if (pps_gossip_encode_state(&encoded, &gossip->own,
                                gossip->reactor->now_us) == 0) {
        pps_gossip_send_to(gossip, peer->state.address, &encoded);
    }
    pps_buf_clear(&encoded);
}

static void
send_state(pps_gossip_t *gossip, int is_urgent)
{
    pps_buf_t encoded = PPS_BUF_INIT;
    pps_gossip_peer_t *peer;
    pps_state_plan_t plan;

    measure_domain(gossip);
    describe_own(gossip);
    pps_state_plan_begin(&plan, gossip, is_urgent);
    choose_hints(gossip, &plan);
    if (pps_gossip_encode_state(&encoded, &gossip->own,
                                gossip->reactor->now_us) == 0) {
        cds_list_for_each_entry (peer, &gossip->peers, node) {
            if (is_due(gossip, &plan, peer)) {
                pps_gossip_send_to(gossip, peer->state.address, &encoded);
            }
        }
    }
    pps_buf_clear(&encoded);
    send_further_rollouts(gossip, &plan);
}

void
pps_gossip_send_state(pps_gossip_t *gossip)
{
    send_state(gossip, 1);
}

void
pps_gossip_send_regular_state(pps_gossip_t *gossip)
{
    send_state(gossip, 0);
}
