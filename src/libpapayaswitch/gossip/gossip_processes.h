/**
 * @file gossip_processes.h
 * @brief Tells the processes of hosts apart, and sends what ended ones have
 * counted of roll-outs.
 */
#ifndef PPS_GOSSIP_GOSSIP_PROCESSES_H
#define PPS_GOSSIP_GOSSIP_PROCESSES_H

#include "gossip.h"

/** Maximum number of ended processes' counts in one datagram. */
#define PPS_GOSSIP_ENDED_COUNTS 4

/** A process of a host: a host has another one after each start. */
typedef struct {
    char host[PPS_GOSSIP_TEXT_BYTES]; /**< address */
    uint64_t incarnation;
} pps_gossip_process_t;

/** What a process counted of a roll-out until it ended. */
typedef struct {
    pps_gossip_process_t process;
    pps_rollout_tally_t tally;
} pps_gossip_ended_count_t;

/** Counts of ended processes that a host hands to another one. */
typedef struct pps_gossip_ended_counts {
    char from[PPS_GOSSIP_TEXT_BYTES]; /**< address of the sender */
    char upstream[PPS_ROLLOUT_TEXT_BYTES];
    char target[PPS_ROLLOUT_TEXT_BYTES];
    pps_gossip_ended_count_t items[PPS_GOSSIP_ENDED_COUNTS];
    size_t count;
} pps_gossip_ended_counts_t;

/** Sends counts of ended processes to a peer; the address of this host is
 * filled in. */
void
pps_gossip_send_ended_counts(pps_gossip_t *gossip,
                             const pps_gossip_peer_t *peer,
                             pps_gossip_ended_counts_t *counts);

/** Checks whether this host and a peer both hear all hosts, so that they keep
 * the counts of ended processes for each other. */
int
pps_gossip_shares_ended_counts(const pps_gossip_t *gossip,
                               const pps_gossip_peer_t *peer);

/** Checks whether this process has the address and incarnation. */
int
pps_gossip_is_own_process(const pps_gossip_t *gossip,
                          const pps_gossip_process_t *process);

/** Checks whether a live peer is the process, which then has not ended. */
int
pps_gossip_is_live_process(pps_gossip_t *gossip,
                           const pps_gossip_process_t *process);

#endif
