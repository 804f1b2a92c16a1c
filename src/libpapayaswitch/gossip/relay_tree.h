/**
 * @file relay_tree.h
 * @brief The hosts that pass updates on inside a failure domain.
 *
 * All hosts that hear the same peers choose the same relays, without asking
 * each other: the hosts with the fastest links, then by a hash. Hosts of older
 * builds forward nothing and are not chosen.
 */
#ifndef PPS_GOSSIP_RELAY_TREE_H
#define PPS_GOSSIP_RELAY_TREE_H

#include "gossip.h"

/** Number of relays of a failure domain. */
#define PPS_GOSSIP_RELAYS 2

/** Lists the live relays of a failure domain, the first one first, without
 * this host. @param out at least PPS_GOSSIP_RELAYS entries @return the count
 */
size_t
pps_gossip_list_relays(const pps_gossip_peer_t **out,
                       const pps_gossip_t *gossip, const char *failure_domain);

/** Returns the rank of this host among the live hosts of its failure domain, 0
 * first; below PPS_GOSSIP_RELAYS it is a relay. */
unsigned int
pps_gossip_relay_rank(const pps_gossip_t *gossip);

#endif
