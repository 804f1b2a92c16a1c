/** @file gossip_readers.c @brief Finds the live hosts and the readers. */
#include "gossip_state.h"

#include "clock.h"

#include <string.h>

/** A peer that sent no state datagram for this long is no longer live: three
 * are missing. With many peers it is multiplied by the scale of the periods.
 */
#define LIVENESS_TIMEOUT_US (3500 * PPS_US_PER_MS)
/** The least timeout with many peers: the age in a relay's digest grows for
 * 1.2 s, and one state and one digest may be lost. */
#define LIVENESS_TIMEOUT_DIGEST_US (4500 * PPS_US_PER_MS)

int
pps_gossip_is_large(const pps_gossip_t *gossip)
{
    return gossip->peer_count > PPS_GOSSIP_FULL_MESH_PEERS_MAX;
}

double
pps_gossip_period_scale(const pps_gossip_t *gossip)
{
    return gossip->period_scale > 1 && pps_gossip_is_large(gossip)
               ? gossip->period_scale
               : 1;
}

int
pps_gossip_is_live(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    double timeout_us = LIVENESS_TIMEOUT_US * pps_gossip_period_scale(gossip);

    if (pps_gossip_is_large(gossip) &&
        timeout_us < LIVENESS_TIMEOUT_DIGEST_US) {
        timeout_us = LIVENESS_TIMEOUT_DIGEST_US;
    }
    return peer->last_received_us != 0 &&
           gossip->reactor->now_us - peer->last_received_us <
               (int64_t)timeout_us;
}

unsigned int
pps_gossip_count_locally_live_hosts(const pps_gossip_t *gossip)
{
    const pps_gossip_peer_t *peer;
    unsigned int live = 1;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        live += pps_gossip_is_live(gossip, peer) != 0;
    }
    return live;
}

unsigned int
pps_gossip_count_live_hosts(const pps_gossip_t *gossip)
{
    const pps_gossip_peer_t *peer;
    unsigned int live = pps_gossip_count_locally_live_hosts(gossip);

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (pps_gossip_is_live(gossip, peer) &&
            peer->state.live_hosts > (int)live) {
            live = (unsigned int)peer->state.live_hosts;
        }
    }
    return live;
}

/* Checks whether a peer's relayed records can be ordered: a peer of an older
 * build doesn't state the epoch of its offsets. */
static int
is_comparable(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    return gossip->own.state.topic_epochs[0] == 0 ||
           peer->state.topic_epochs[0] != 0;
}

/* Checks whether a peer is not leaving and has read the store recently. */
static int
is_reader_candidate(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    int64_t state_age_us = gossip->reactor->now_us - peer->last_received_us;

    return peer->last_received_us != 0 && peer->state.read_age_us >= 0 &&
           !peer->state.leaving && is_comparable(gossip, peer) &&
           peer->state.read_age_us + state_age_us < gossip->read_age_max_us;
}

/* Checks whether a host ranks before another one as a reader. */
static int
ranks_before(const pps_gossip_state_t *host, const pps_gossip_state_t *other)
{
    if (host->link_mbps != other->link_mbps) {
        return host->link_mbps > other->link_mbps;
    }
    return strcmp(host->host_id, other->host_id) < 0;
}

/* Counts the reader candidates that rank before a host.
 * @param lacks those of builds that lack any of this are left out */
static unsigned int
count_candidates_before(const pps_gossip_t *gossip,
                        const pps_gossip_state_t *host, unsigned int lacks)
{
    const pps_gossip_peer_t *peer;
    unsigned int before = 0;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        before += is_reader_candidate(gossip, peer) &&
                  (peer->state.lacks & lacks) == 0 &&
                  ranks_before(&peer->state, host);
    }
    return before;
}

int
pps_gossip_is_reader(const pps_gossip_t *gossip)
{
    return count_candidates_before(gossip, &gossip->own.state, 0) <
           PPS_GOSSIP_READERS;
}

int
pps_gossip_reads_beside_older(const pps_gossip_t *gossip, unsigned int lacks)
{
    return pps_gossip_has_older(gossip, lacks) &&
           count_candidates_before(gossip, &gossip->own.state, lacks) <
               PPS_GOSSIP_READERS;
}

int
pps_gossip_is_first_reader(const pps_gossip_t *gossip)
{
    return gossip->own.state.read_age_us >= 0 &&
           count_candidates_before(gossip, &gossip->own.state, 0) == 0;
}

/* Inserts a host into a ranked list of at most PPS_GOSSIP_READERS entries. */
static size_t
insert(const pps_gossip_state_t **list, size_t count,
       const pps_gossip_state_t *host)
{
    size_t at = count;

    while (at > 0 && ranks_before(host, list[at - 1])) {
        at--;
    }
    if (at == PPS_GOSSIP_READERS) {
        return count;
    }
    if (count < PPS_GOSSIP_READERS) {
        count++;
    }
    for (size_t i = count - 1; i > at; i--) {
        list[i] = list[i - 1];
    }
    list[at] = host;
    return count;
}

size_t
pps_gossip_list_readers(const pps_gossip_state_t **out,
                        const pps_gossip_t *gossip)
{
    const pps_gossip_peer_t *peer;
    size_t count = 0;

    if (gossip->own.state.read_age_us >= 0) {
        out[count++] = &gossip->own.state;
    }
    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (is_reader_candidate(gossip, peer)) {
            count = insert(out, count, &peer->state);
        }
    }
    return count;
}

static int
is_own_fresh(const pps_gossip_t *gossip)
{
    const pps_gossip_state_t *own = &gossip->own.state;

    return own->read_age_us >= 0 && !own->leaving &&
           own->read_age_us < gossip->read_age_max_us;
}

static size_t
list_fresh(const pps_gossip_state_t **out, const pps_gossip_t *gossip)
{
    const pps_gossip_peer_t *peer;
    size_t count = 0;

    if (is_own_fresh(gossip)) {
        out[count++] = &gossip->own.state;
    }
    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (is_reader_candidate(gossip, peer)) {
            count = insert(out, count, &peer->state);
        }
    }
    return count;
}

/* While the store is unavailable no host has read it recently, and each ranks
 * as a reader. A few hosts go on to hear all others. */
size_t
pps_gossip_list_hubs(const pps_gossip_state_t **out,
                     const pps_gossip_t *gossip)
{
    size_t count = list_fresh(out, gossip);
    const pps_gossip_peer_t *peer;

    if (count > 0) {
        return count;
    }
    if (!gossip->own.state.leaving) {
        out[count++] = &gossip->own.state;
    }
    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (pps_gossip_is_live(gossip, peer) && !peer->state.leaving) {
            count = insert(out, count, &peer->state);
        }
    }
    return count;
}

int
pps_gossip_hears_all(const pps_gossip_t *gossip)
{
    const pps_gossip_state_t *hubs[PPS_GOSSIP_READERS];
    size_t count;

    if (!pps_gossip_is_large(gossip)) {
        return 1;
    }
    count = pps_gossip_list_hubs(hubs, gossip);
    for (size_t i = 0; i < count; i++) {
        if (hubs[i] == &gossip->own.state) {
            return 1;
        }
    }
    return 0;
}

int
pps_gossip_is_peer_reader(const pps_gossip_t *gossip,
                          const pps_gossip_peer_t *peer)
{
    const pps_gossip_state_t *readers[PPS_GOSSIP_READERS];
    size_t count = pps_gossip_list_readers(readers, gossip);

    return pps_gossip_is_listed(readers, count, peer);
}

int
pps_gossip_is_listed(const pps_gossip_state_t *const *readers, size_t count,
                     const pps_gossip_peer_t *peer)
{
    for (size_t i = 0; i < count; i++) {
        if (readers[i] == &peer->state) {
            return 1;
        }
    }
    return 0;
}
