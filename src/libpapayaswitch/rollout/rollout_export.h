/**
 * @file rollout_export.h
 * @brief What this host tells the others of its roll-outs.
 */
#ifndef PPS_ROLLOUT_ROLLOUT_EXPORT_H
#define PPS_ROLLOUT_ROLLOUT_EXPORT_H

#include "exchange/dispatcher.h"
#include "gossip/gossip.h"

/** Copies roll-outs that other hosts are told, with this host's tallies:
 * active ones, then those that have ended lately.
 * @param out at least PPS_GOSSIP_ROLLOUTS entries
 * @param first number of the first one to copy @return the count */
size_t
pps_rollout_export(const pps_dispatcher_t *dispatcher,
                   pps_gossip_rollout_t *out, size_t first);

#endif
