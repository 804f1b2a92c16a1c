/**
 * @file ended_counts.h
 * @brief Exchanges what processes counted of active roll-outs before they
 * ended, so that hosts that start after them judge by the same sums.
 */
#ifndef PPS_ROLLOUT_ENDED_COUNTS_H
#define PPS_ROLLOUT_ENDED_COUNTS_H

#include "exchange/dispatcher.h"
#include "gossip/gossip.h"
#include "gossip/gossip_processes.h"

/** Sends a peer what it may lack, if the digests that it has told with its
 * roll-outs are not those of this host. */
void
pps_ended_counts_sync(pps_dispatcher_t *dispatcher, pps_gossip_t *gossip,
                      const pps_gossip_peer_t *peer,
                      const pps_gossip_rollout_t *items, size_t count);

/** Adopts what a peer has sent. */
void
pps_ended_counts_merge(pps_dispatcher_t *dispatcher,
                       const pps_gossip_t *gossip,
                       const pps_gossip_ended_counts_t *counts);

#endif
