/** @file gossip_state.h @brief Inside of the exchange of datagrams. */
#ifndef PPS_GOSSIP_GOSSIP_STATE_H
#define PPS_GOSSIP_GOSSIP_STATE_H

#include "gossip.h"
#include "gossip_codec.h"
#include "rng.h"

struct pps_gossip {
    pps_reactor_t *reactor;
    uv_udp_t udp;
    unsigned int port;
    int64_t read_age_max_us;
    pps_gossip_message_t own;
    struct cds_list_head peers;
    size_t peer_count;
    pps_timer_t timer;
    pps_rng_t rng;
    const pps_gossip_ops_t *ops;
    void *user;
};

/** Hosts that this one itself heard of late, itself included. */
unsigned int
pps_gossip_count_live(const pps_gossip_t *gossip);

/** Whether a peer is one of the few that read the store for all. */
int
pps_gossip_reads(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer);

#endif
