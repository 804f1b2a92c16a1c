/** @file gossip_relay.c @brief Periodic datagrams of relays. */
#include "gossip_digest.h"

#include "clock.h"
#include "relay_tree.h"
#include "state_plan.h"

#include <limits.h>
#include <string.h>

/** Period of beacons: a hub's state, which it sends as often, is then younger
 * at all hosts than the maximum age of a reader's last read. */
#define BEACON_PERIOD_US (400 * PPS_US_PER_MS)
/** Beacons for one digest, times the scale of the periods. */
#define DIGEST_STEPS 3
/** Least interval to a digest that is sent at once. */
#define DIGEST_INTERVAL_US (200 * PPS_US_PER_MS)
/** Topic of the operator's records. */
#define CONFIGURATION_TOPIC 0

static int
is_relay_elsewhere(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    return peer->relay_us != 0 && gossip->reactor->now_us - peer->relay_us <
                                      PPS_STATE_PLAN_RELAY_KEPT_US;
}

/* Sends to the domain's hosts, and to hubs and relays of other domains if it
 * is for them too. */
static void
send_to_domain(pps_gossip_t *gossip, const pps_buf_t *encoded,
               int is_for_others)
{
    const pps_gossip_state_t *hubs[PPS_GOSSIP_READERS];
    size_t hub_count = pps_gossip_list_hubs(hubs, gossip);
    const char *own_domain = gossip->own.state.failure_domain;
    const pps_gossip_peer_t *peer;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        int is_host = pps_gossip_is_live(gossip, peer) &&
                      strcmp(peer->state.failure_domain, own_domain) == 0;

        if ((is_host || (is_for_others &&
                         (is_relay_elsewhere(gossip, peer) ||
                          pps_gossip_is_listed(hubs, hub_count, peer)))) &&
            (peer->state.lacks & PPS_GOSSIP_LACKS_DIGESTS) == 0) {
            pps_gossip_send_to(gossip, peer->state.address, encoded);
        }
    }
}

static void
send_beacon(pps_gossip_t *gossip)
{
    pps_buf_t encoded = PPS_BUF_INIT;
    pps_gossip_beacon_t beacon;

    pps_gossip_fill_beacon(&beacon, gossip);
    if (pps_gossip_encode_beacon(&encoded, &beacon) == 0) {
        send_to_domain(gossip, &encoded, 1);
    }
    pps_buf_clear(&encoded);
}

static void
send_digest(pps_gossip_t *gossip)
{
    pps_buf_t encoded = PPS_BUF_INIT;
    pps_gossip_digest_t digest;

    gossip->is_digest_due = 0;
    gossip->last_digest_us = gossip->reactor->now_us;
    gossip->digest_start =
        pps_gossip_fill_digest(&digest, gossip, gossip->digest_start);
    if (pps_gossip_encode_digest(&encoded, &digest) == 0) {
        send_to_domain(gossip, &encoded, 0);
    }
    pps_buf_clear(&encoded);
}

static int
is_relay(const pps_gossip_t *gossip)
{
    return pps_gossip_is_large(gossip) && !gossip->own.state.leaving &&
           pps_gossip_relay_rank(gossip) < PPS_GOSSIP_RELAYS;
}

/* Whether a host stops or has lost its paths to workers is told at once. Who
 * has the newest configuration is told with the next beacon: all hosts change
 * in that at the same time. */
void
pps_gossip_note_change(pps_gossip_t *gossip, const pps_gossip_peer_t *peer,
                       const pps_gossip_state_t *state)
{
    const pps_gossip_state_t *known = &peer->state;
    int64_t now_us = gossip->reactor->now_us;
    int is_urgent = known->leaving != state->leaving ||
                    known->takes_relays != state->takes_relays;

    int is_changed =
        is_urgent || known->topic_relevant_ends[CONFIGURATION_TOPIC] !=
                         state->topic_relevant_ends[CONFIGURATION_TOPIC];

    if (peer->last_received_us == 0 || !is_changed || !is_relay(gossip)) {
        return;
    }
    gossip->relay_steps = UINT_MAX - 1;
    if (is_urgent && now_us - gossip->last_digest_us >= DIGEST_INTERVAL_US) {
        gossip->is_digest_due = 1;
    }
}

void
pps_gossip_step_relay(pps_gossip_t *gossip)
{
    unsigned int steps =
        (unsigned int)(DIGEST_STEPS * pps_gossip_period_scale(gossip));

    if (!is_relay(gossip)) {
        return;
    }
    send_beacon(gossip);
    if (++gossip->relay_steps >= steps) {
        gossip->relay_steps = 0;
        send_digest(gossip);
    }
}

void
pps_gossip_send_due_digest(pps_gossip_t *gossip)
{
    if (gossip->is_digest_due) {
        send_digest(gossip);
    }
}

static void
on_relay_timer(int64_t now_us, void *user)
{
    pps_gossip_step_relay(user);
}

void
pps_gossip_start_relaying(pps_gossip_t *gossip)
{
    pps_reactor_every(gossip->reactor, &gossip->relay_timer, BEACON_PERIOD_US,
                      on_relay_timer, gossip);
}

void
pps_gossip_note_relays(pps_gossip_t *gossip,
                       const pps_gossip_message_t *message,
                       const pps_gossip_peer_t *sender)
{
    const pps_gossip_state_t *hubs[PPS_GOSSIP_READERS];
    size_t count;

    if (!pps_gossip_is_large(gossip) ||
        sender->state.read_age_us >= gossip->read_age_max_us) {
        return;
    }
    count = pps_gossip_list_hubs(hubs, gossip);
    if (!pps_gossip_is_listed(hubs, count, sender)) {
        return;
    }
    for (size_t i = 0; i < message->hint_count; i++) {
        pps_gossip_peer_t *peer =
            pps_gossip_find_peer(gossip, message->hints[i]);

        if (peer != NULL) {
            peer->relay_us = gossip->reactor->now_us;
        }
    }
}
