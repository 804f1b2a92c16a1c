/** @file gossip_readers.c @brief Who lives, and who reads for all. */
#include "gossip_state.h"

#include "clock.h"

#include <string.h>

/** A host not heard for so long counts as gone. */
#define LIVE_US (3500 * PPS_US_PER_MS)
/** Hosts that read the store for all. */
#define READERS 2

int
pps_gossip_is_live(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    return peer->heard_us != 0 &&
           gossip->reactor->now_us - peer->heard_us < LIVE_US;
}

unsigned int
pps_gossip_count_live(const pps_gossip_t *gossip)
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
    unsigned int live = pps_gossip_count_live(gossip);

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (pps_gossip_is_live(gossip, peer) && peer->state.live > (int)live) {
            live = (unsigned int)peer->state.live;
        }
    }
    return live;
}

/* Whether a host reads the store and what it read is new. */
static int
is_fresh(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    int64_t since_us = gossip->reactor->now_us - peer->heard_us;

    return peer->heard_us != 0 && peer->state.read_age_us >= 0 &&
           !peer->state.leaving &&
           peer->state.read_age_us + since_us < gossip->read_age_max_us;
}

/* Whether a host is to read rather than another one. */
static int
goes_before(const pps_gossip_state_t *host, const pps_gossip_state_t *other)
{
    if (host->link_mbps != other->link_mbps) {
        return host->link_mbps > other->link_mbps;
    }
    return strcmp(host->host_id, other->host_id) < 0;
}

/* Hosts before that one that read. */
static unsigned int
readers_before(const pps_gossip_t *gossip, const pps_gossip_state_t *host)
{
    const pps_gossip_peer_t *peer;
    unsigned int before = 0;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        before += is_fresh(gossip, peer) && goes_before(&peer->state, host);
    }
    return before;
}

int
pps_gossip_is_reader(const pps_gossip_t *gossip)
{
    return readers_before(gossip, &gossip->own.state) < READERS;
}

int
pps_gossip_is_first_reader(const pps_gossip_t *gossip)
{
    return gossip->own.state.read_age_us >= 0 &&
           readers_before(gossip, &gossip->own.state) == 0;
}

int
pps_gossip_reads(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    const pps_gossip_state_t *own = &gossip->own.state;
    unsigned int before = readers_before(gossip, &peer->state);

    if (!is_fresh(gossip, peer)) {
        return 0;
    }
    before += own->read_age_us >= 0 && goes_before(own, &peer->state);
    return before < READERS;
}
