/**
 * @file controller.h
 * @brief Steps all roll-outs of a host by what all hosts have seen, and says
 * when one is to be declared over.
 */
#ifndef PPS_ROLLOUT_CONTROLLER_H
#define PPS_ROLLOUT_CONTROLLER_H

#include "exchange/dispatcher.h"
#include "gossip/gossip.h"

/** Takes in an order. One that is known already changes nothing. */
void
pps_rollout_controller_apply_order(pps_dispatcher_t *dispatcher,
                                   const pps_rollout_t *order);

/** Takes in how far a roll-out was declared to be; `upstream` is set. */
void
pps_rollout_controller_apply_status(pps_dispatcher_t *dispatcher,
                                    const pps_rollout_t *status);

/** Takes over what another host knows of roll-outs: their start, the share
 * that has moved, and that one is held. */
void
pps_rollout_controller_merge_peer(pps_dispatcher_t *dispatcher,
                                  const pps_gossip_peer_t *peer);

/** The sum of this host's and the live peers' tallies. */
void
pps_rollout_controller_sum(pps_rollout_tally_t *out,
                           const pps_upstream_state_t *state,
                           pps_gossip_t *gossip);

/** Steps one roll-out. @return what is to be declared */
pps_rollout_verdict_t
pps_rollout_controller_step(pps_dispatcher_t *dispatcher,
                            pps_upstream_state_t *state, pps_gossip_t *gossip);

/** Fills in what is told to the other hosts. */
void
pps_rollout_controller_export(const pps_dispatcher_t *dispatcher,
                              pps_gossip_state_t *out);

#endif
