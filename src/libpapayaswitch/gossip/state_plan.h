/**
 * @file state_plan.h
 * @brief Chooses the hosts that get this host's state.
 *
 * With few peers all do. With more, a host sends it to the relays of its
 * failure domain and to the hubs, which hear all hosts. The relays tell the
 * domain who is live (gossip_digest.h), and exchange states with those of the
 * other domains. A host that no relay lists as live sends its state to its
 * whole domain, until one does.
 */
#ifndef PPS_GOSSIP_STATE_PLAN_H
#define PPS_GOSSIP_STATE_PLAN_H

#include "gossip_state.h"
#include "relay_tree.h"

/** Time for which a host counts as a relay of another failure domain after it
 * was last known to be one. */
#define PPS_STATE_PLAN_RELAY_KEPT_US (10 * PPS_US_PER_S)

/** Failure domains that are served through relays; a hub sends its state to
 * the hosts of further ones directly. */
#define PPS_STATE_PLAN_DOMAINS_MAX 64

/** What is the same for all peers of one round. */
typedef struct {
    int is_large;
    int is_urgent; /**< hubs send to all hosts */
    int is_hub;
    int is_relay;
    int is_served; /**< the domain's relays list this host as live */
    const pps_gossip_state_t *hubs[PPS_GOSSIP_READERS];
    size_t hub_count;
    const pps_gossip_peer_t *relays[PPS_GOSSIP_RELAYS]; /**< of the domain */
    size_t relay_count;
    /** For a hub: the relays of all domains, and the domains without two. */
    const pps_gossip_peer_t
        *all_relays[PPS_STATE_PLAN_DOMAINS_MAX * PPS_GOSSIP_RELAYS];
    size_t all_relay_count;
    const char *direct_domains[PPS_STATE_PLAN_DOMAINS_MAX];
    size_t direct_domain_count;
    size_t domain_count;
} pps_state_plan_t;

/** Prepares a round. @param is_urgent peers need the state soon */
void
pps_state_plan_begin(pps_state_plan_t *out, const pps_gossip_t *gossip,
                     int is_urgent);

/** Checks whether a peer gets the state, and every few seconds only if it is
 * not live. */
int
pps_state_plan_is_target(const pps_state_plan_t *plan,
                         const pps_gossip_t *gossip,
                         const pps_gossip_peer_t *peer);

/** Checks whether a peer from which nothing was ever received is asked for its
 * state, although it is no target. */
int
pps_state_plan_is_sought(const pps_state_plan_t *plan,
                         const pps_gossip_peer_t *peer);

#endif
