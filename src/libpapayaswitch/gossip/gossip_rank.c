/** @file gossip_rank.c @brief Ranks the live hosts for a key. */
#include "gossip_state.h"

#include <string.h>
#include <xxhash.h>

/** Mean number of hosts whose help a host asks for. */
#define HELPERS 16

static uint64_t
rank_of(const pps_gossip_state_t *host, uint64_t key)
{
    return XXH64(host->host_id, strlen(host->host_id), key);
}

static int
can_be_chosen(const pps_gossip_t *gossip, const pps_gossip_state_t *host,
              const char *failure_domain)
{
    return !host->leaving &&
           (gossip->peer_count <= PPS_GOSSIP_FULL_MESH_PEERS_MAX ||
            strcmp(host->failure_domain, failure_domain) == 0);
}

/* Ranks among the hosts that hear all others, which know who they are. */
static pps_gossip_rank_t
rank_among_hubs(const pps_gossip_t *gossip, uint64_t key)
{
    const pps_gossip_state_t *hubs[PPS_GOSSIP_READERS];
    size_t count = pps_gossip_list_hubs(hubs, gossip);
    const pps_gossip_state_t *own = &gossip->own.state;
    pps_gossip_rank_t rank = {(unsigned int)count, -1};
    int before = 0;

    for (size_t i = 0; i < count; i++) {
        before += rank_of(hubs[i], key) < rank_of(own, key);
        if (hubs[i] == own) {
            rank.before = 0;
        }
    }
    if (rank.before == 0) {
        rank.before = before;
    }
    return rank;
}

/* Ranks this host among the live ones that can be chosen.
 * @param lacks hosts of builds that lack any of this are left out */
static pps_gossip_rank_t
rank_among(const pps_gossip_t *gossip, uint64_t key,
           const char *failure_domain, unsigned int lacks)
{
    const pps_gossip_state_t *own = &gossip->own.state;
    int is_candidate = can_be_chosen(gossip, own, failure_domain);
    pps_gossip_rank_t rank = {is_candidate != 0, 0};
    const pps_gossip_peer_t *peer;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (pps_gossip_is_live(gossip, peer) &&
            (peer->state.lacks & lacks) == 0 &&
            can_be_chosen(gossip, &peer->state, failure_domain)) {
            rank.hosts++;
            rank.before += rank_of(&peer->state, key) < rank_of(own, key);
        }
    }
    if (!is_candidate) {
        rank.before = -1;
    }
    return rank;
}

pps_gossip_rank_t
pps_gossip_rank(const pps_gossip_t *gossip, uint64_t key,
                const char *failure_domain)
{
    pps_gossip_rank_t rank = rank_among(gossip, key, failure_domain, 0);

    return rank.hosts > 0 ? rank : rank_among_hubs(gossip, key);
}

int
pps_gossip_has_older(const pps_gossip_t *gossip, unsigned int lacks)
{
    const pps_gossip_peer_t *peer;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if ((peer->state.lacks & lacks) != 0 &&
            pps_gossip_is_live(gossip, peer)) {
            return 1;
        }
    }
    return 0;
}

int
pps_gossip_acts_for_older(const pps_gossip_t *gossip, uint64_t key,
                          const char *failure_domain, unsigned int lacks,
                          int first)
{
    pps_gossip_rank_t rank;

    if (!pps_gossip_has_older(gossip, lacks)) {
        return 0;
    }
    rank = rank_among(gossip, key, failure_domain, lacks);
    return rank.before >= 0 && rank.before < first;
}

/* Lists the live peers that can be chosen. */
static size_t
list_candidates(const pps_gossip_peer_t **out, size_t max,
                const pps_gossip_t *gossip, const char *failure_domain)
{
    const pps_gossip_peer_t *peer;
    size_t count = 0;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (count < max && pps_gossip_is_live(gossip, peer) &&
            can_be_chosen(gossip, &peer->state, failure_domain)) {
            out[count++] = peer;
        }
    }
    return count;
}

size_t
pps_gossip_list_first(const pps_gossip_peer_t **out, size_t max,
                      const pps_gossip_t *gossip,
                      const pps_gossip_choice_t *choice)
{
    static uint64_t ranks[PPS_GOSSIP_PEERS_MAX];
    const pps_gossip_state_t *own = &gossip->own.state;
    int is_candidate = can_be_chosen(gossip, own, choice->failure_domain);
    uint64_t own_rank = rank_of(own, choice->key);
    size_t candidates;
    size_t count = 0;

    if (max > PPS_GOSSIP_PEERS_MAX) {
        max = PPS_GOSSIP_PEERS_MAX;
    }
    candidates = list_candidates(out, max, gossip, choice->failure_domain);
    for (size_t i = 0; i < candidates; i++) {
        ranks[i] = rank_of(&out[i]->state, choice->key);
    }
    for (size_t i = 0; i < candidates; i++) {
        unsigned int before = is_candidate && own_rank < ranks[i];

        for (size_t j = 0; j < candidates && before < choice->first; j++) {
            before += ranks[j] < ranks[i];
        }
        if (before < choice->first) {
            out[count++] = out[i];
        }
    }
    return count;
}

int
pps_gossip_is_helper(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    const char *own = gossip->own.state.address;
    const char *other = peer->state.address;
    int is_own_first = strcmp(own, other) < 0;
    const char *first = is_own_first ? own : other;
    const char *second = is_own_first ? other : own;
    uint64_t pair =
        XXH64(second, strlen(second), XXH64(first, strlen(first), 0));

    return pair % (gossip->peer_count / HELPERS + 1) == 0;
}
