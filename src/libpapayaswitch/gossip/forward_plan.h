/**
 * @file forward_plan.h
 * @brief Chooses the hosts that a datagram is sent to on its way to all hosts.
 *
 * With more peers than PPS_GOSSIP_FULL_MESH_PEERS_MAX, what all hosts have to
 * know goes through the relays of each failure domain (relay_tree.h). A sender
 * states with each datagram what the receiver has to do with it, so that hosts
 * whose lists of live peers differ for a moment still forward it.
 */
#ifndef PPS_GOSSIP_FORWARD_PLAN_H
#define PPS_GOSSIP_FORWARD_PLAN_H

#include "gossip.h"

/** What the receiver of a datagram does besides handling it. */
typedef enum {
    PPS_FORWARD_NONE = 0,
    /** Sends it to the hosts of its own failure domain. */
    PPS_FORWARD_DOMAIN = 1,
    /** Sends it to the relays of all failure domains but the origin's. */
    PPS_FORWARD_OTHERS = 2,
    PPS_FORWARD_ALL = 3, /**< both */
} pps_forward_duty_t;

/** Called for each host to which the datagram is sent. */
typedef void (*pps_forward_fn)(void *user, const pps_gossip_peer_t *peer,
                               pps_forward_duty_t duty);

/** Visits the next hosts of a datagram that originates here. */
void
pps_forward_plan_origin(const pps_gossip_t *gossip, pps_forward_fn send,
                        void *user);

/** Visits the next hosts of a datagram that was received with a duty.
 * @param from_domain failure domain of the host where it originates */
void
pps_forward_plan_duty(const pps_gossip_t *gossip, pps_forward_duty_t duty,
                      const char *from_domain, pps_forward_fn send,
                      void *user);

#endif
