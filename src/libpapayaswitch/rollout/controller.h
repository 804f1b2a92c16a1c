/**
 * @file controller.h
 * @brief Runs the roll-outs of a host on the results of all hosts, and reports
 * when one must be declared completed or rolled back.
 */
#ifndef PPS_ROLLOUT_CONTROLLER_H
#define PPS_ROLLOUT_CONTROLLER_H

#include "exchange/dispatcher.h"
#include "gossip/gossip.h"

/** Starts the ordered roll-out unless the current one has the same target.
 * Notes the duration if that one is known from its status only. */
void
pps_rollout_controller_apply_order(pps_dispatcher_t *dispatcher,
                                   const pps_rollout_t *order);

/** Returns whether the order's target was the upstream's earlier, and another
 * has been ordered since. */
int
pps_rollout_controller_is_superseded(pps_dispatcher_t *dispatcher,
                                     const pps_rollout_t *order);

/** Applies the declared state of a roll-out; `status` names its upstream. Of a
 * superseded roll-out only that it was rolled back is kept. */
void
pps_rollout_controller_apply_status(pps_dispatcher_t *dispatcher,
                                    const pps_rollout_t *status);

/** Merges another host's view of the roll-outs with the same target: state,
 * start, share, planned move and hold. Notes its counts. */
void
pps_rollout_controller_merge_peer(pps_dispatcher_t *dispatcher,
                                  const pps_gossip_peer_t *peer);

/** The same for the roll-outs that another host tells beside its state. */
void
pps_rollout_controller_merge_rollouts(pps_dispatcher_t *dispatcher,
                                      const pps_gossip_peer_t *peer,
                                      const pps_gossip_rollouts_t *rollouts);

/** Returns whether other hosts have told this one, which has just started, how
 * far the roll-out is: all live ones have, and one knew it before. */
int
pps_rollout_controller_knows_share(const pps_upstream_state_t *state,
                                   pps_gossip_t *gossip);

/** Sums the roll-out's tallies of this process and all others that have told
 * of it, ended or not. */
void
pps_rollout_controller_sum(pps_rollout_tally_t *out,
                           const pps_upstream_state_t *state);

/** Steps one roll-out and announces a new plan or hold to the other hosts.
 * @return the action to declare */
pps_rollout_verdict_t
pps_rollout_controller_step(pps_dispatcher_t *dispatcher,
                            pps_upstream_state_t *state, pps_gossip_t *gossip);

#endif
