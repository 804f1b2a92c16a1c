/**
 * @file rollout_view.h
 * @brief What a host sees of a roll-out beside the counted results: its calls
 * and workers, and what other hosts have told.
 */
#ifndef PPS_ROLLOUT_ROLLOUT_VIEW_H
#define PPS_ROLLOUT_ROLLOUT_VIEW_H

#include "exchange/dispatcher.h"
#include "gossip/gossip.h"
#include "rollout_log.h"

/** Fills in calls that wait, the load of workers and the age of reports. */
void
pps_rollout_view_all(pps_rollout_view_t *out,
                     const pps_dispatcher_t *dispatcher,
                     const pps_upstream_state_t *state, pps_gossip_t *gossip);

/** Fills in the age of reports and how many live hosts have not told of the
 * roll-out lately. */
void
pps_rollout_view_peers(pps_rollout_view_t *out,
                       const pps_upstream_state_t *state, pps_gossip_t *gossip,
                       int64_t now_us);

/** Returns what the live hosts have told of the roll-out, ever. */
pps_rollout_neighbours_t
pps_rollout_view_neighbours(const pps_upstream_state_t *state,
                            pps_gossip_t *gossip, int64_t now_us);

/** Estimates the requests that run at all workers of the upstream. */
double
pps_rollout_view_count_running(const pps_dispatcher_t *dispatcher,
                               const pps_upstream_state_t *state);

#endif
