/** @file relay_tree.c @brief Choice of the relays of a failure domain. */
#include "relay_tree.h"

#include "gossip_state.h"

#include <string.h>
#include <xxhash.h>

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

static int
is_candidate(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer,
             const char *failure_domain)
{
    return pps_gossip_is_live(gossip, peer) && !peer->state.leaving &&
           (peer->state.lacks & PPS_GOSSIP_LACKS_FORWARDING) == 0 &&
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
    memmove(&list[at + 1], &list[at], (count - at - 1) * sizeof(*list));
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
