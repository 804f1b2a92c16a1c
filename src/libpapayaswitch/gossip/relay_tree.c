/** @file relay_tree.c @brief Choice of the relays of a failure domain. */
#include "relay_tree.h"

#include "clock.h"
#include "gossip_state.h"

#include <string.h>
#include <xxhash.h>

/** Silence of a relay after which the next host in rank takes its place: two
 * beacons are missing. With one, each lost datagram would change the relays.
 */
#define SILENCE_US (900 * PPS_US_PER_MS)
/** Above the largest liveness timeout of a failure domain of 100 hosts. */
#define SILENCE_END_US (10 * PPS_US_PER_S)

static uint64_t
hash_of(const pps_gossip_state_t *host)
{
    return XXH64(host->host_id, strlen(host->host_id),
                 XXH64(host->failure_domain, strlen(host->failure_domain), 0));
}

static int
ranks_before(const pps_gossip_state_t *host, const pps_gossip_state_t *other)
{
    if (host->link_mbps != other->link_mbps) {
        return host->link_mbps > other->link_mbps;
    }
    return hash_of(host) < hash_of(other);
}

/* Checks whether a host was a relay and has just fallen silent, long before
 * the liveness timeout. One that is no relay any more because a host with a
 * faster link is there counts as a candidate again after a time. */
static int
is_silent(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    int64_t silence_us = gossip->reactor->now_us - peer->beacon_us;

    return peer->beacon_us != 0 && silence_us > SILENCE_US &&
           silence_us < SILENCE_END_US;
}

static int
is_candidate(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer,
             const char *failure_domain)
{
    return pps_gossip_is_live(gossip, peer) && !peer->state.leaving &&
           (peer->state.lacks & PPS_GOSSIP_LACKS_FORWARDING) == 0 &&
           !is_silent(gossip, peer) &&
           strcmp(peer->state.failure_domain, failure_domain) == 0;
}

/* Inserts a peer into a ranked list of at most PPS_GOSSIP_RELAYS entries. */
static size_t
insert(const pps_gossip_peer_t **list, size_t count,
       const pps_gossip_peer_t *peer)
{
    size_t at = count;

    while (at > 0 && ranks_before(&peer->state, &list[at - 1]->state)) {
        at--;
    }
    if (at == PPS_GOSSIP_RELAYS) {
        return count;
    }
    if (count < PPS_GOSSIP_RELAYS) {
        count++;
    }
    for (size_t i = count - 1; i > at; i--) {
        list[i] = list[i - 1];
    }
    list[at] = peer;
    return count;
}

size_t
pps_gossip_list_relays(const pps_gossip_peer_t **out,
                       const pps_gossip_t *gossip, const char *failure_domain)
{
    const pps_gossip_peer_t *peer;
    size_t count = 0;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (is_candidate(gossip, peer, failure_domain)) {
            count = insert(out, count, peer);
        }
    }
    return count;
}

unsigned int
pps_gossip_relay_rank(const pps_gossip_t *gossip)
{
    const pps_gossip_state_t *own = &gossip->own.state;
    const pps_gossip_peer_t *peer;
    unsigned int rank = 0;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        rank += is_candidate(gossip, peer, own->failure_domain) &&
                ranks_before(&peer->state, own);
    }
    return rank;
}
